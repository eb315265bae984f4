#include "policy/store_reader.h"

#include "base/lp_id.h"

#include <glib.h>
#include <math.h>

/* Seed of the rendezvous hash that ranks members. */
#define RANK_SEED UINT64_C(0x73746f7265)
/* Members are strong if their capacity is at least the highest one divided by
 * this: answers of the service are large. */
#define STRONG_CAPACITY_DIVISOR 2
/* Parts of the apply time: takeovers begin after the first without a report,
 * and are spread over the second. A read then has half of the time left. */
#define TAKEOVER_PER_APPLY 0.3
#define SPREAD_PER_APPLY 0.2
/* A member is reading while it reports within this part of the apply time: the
 * duration of a watch call, and some more for its answer. */
#define ACTIVE_PER_APPLY 0.75
/* Parts of the apply time: a report is repeated after the first without any,
 * for as long as the own watch was answered within the second. */
#define REPEAT_PER_APPLY 0.2
#define REPEAT_MAX_PER_APPLY 0.3
/* Ages of the list, in poll intervals, at which the elected readers poll in the
 * order of their ranks. The first one gets time to announce its result. */
#define FIRST_READER_AGE 1.1
#define SECOND_READER_AGE 1.25
#define AGE_PER_READER 0.05
#define AGE_JITTER 0.05
/* Ages at which the first and the last other entry polls. */
#define TAKEOVER_AGE_FIRST 1.65
#define TAKEOVER_AGE_LAST 2.0
/* The last one may also wait for this part of the time in which a change of the
 * list has to be known, if that is longer. */
#define TAKEOVER_PER_LIST_BOUND 0.6

/* ---- ranks ---- */

static uint32_t max_capacity(const struct dispatchers_member *members,
			     uint32_t count)
{
	uint32_t top = 0;

	for (uint32_t i = 0; i < count; i++)
		top = MAX(top, members[i].capacity);
	return top;
}

/* 0: takes no work, 1: weak, 2: strong. */
static int strength(const struct dispatchers_member *member, uint32_t top)
{
	if (!member->capacity)
		return 0;
	return member->capacity * STRONG_CAPACITY_DIVISOR >= top ? 2 : 1;
}

static bool is_before(const struct dispatchers_member *a,
		      const struct dispatchers_member *b, uint32_t top)
{
	int strength_a = strength(a, top);
	int strength_b = strength(b, top);

	if (strength_a != strength_b)
		return strength_a > strength_b;
	return lp_hash_pair(a->hash, RANK_SEED) >
	       lp_hash_pair(b->hash, RANK_SEED);
}

uint32_t store_reader_rank(const struct dispatchers_member *members,
			   uint32_t count, uint64_t self)
{
	uint32_t top = max_capacity(members, count);
	const struct dispatchers_member *own = NULL;
	uint32_t rank = 0;

	for (uint32_t i = 0; i < count; i++)
		if (members[i].hash == self)
			own = &members[i];
	if (!own)
		return count;
	for (uint32_t i = 0; i < count; i++)
		rank += is_before(&members[i], own, top);
	return rank;
}

/* ---- reports ---- */

static int64_t now_us(const struct store_reader *reader)
{
	return lp_now_us(reader->options.clock);
}

void store_reader_init(struct store_reader *reader,
		       const struct store_reader_options *options)
{
	*reader = (struct store_reader){
		.options = *options,
		.standing = { .rank = 0, .members = 1 },
		.is_watching = options->is_bootstrap_reader,
	};
	reader->reported_us = now_us(reader);
}

void store_reader_set_standing(struct store_reader *reader,
			       const struct store_reader_standing *standing)
{
	reader->standing = *standing;
}

bool store_reader_is_elected(const struct store_reader *reader)
{
	return reader->standing.rank < STORE_READER_COUNT;
}

/* The member's last report, or the oldest one, which it replaces. */
static struct store_reader_report *find_report(struct store_reader *reader,
					       uint64_t member)
{
	struct store_reader_report *oldest = reader->reports;

	for (uint32_t i = 0; i < STORE_READER_REPORTS; i++) {
		struct store_reader_report *report = &reader->reports[i];

		if (report->answered_us && report->member == member)
			return report;
		if (report->answered_us < oldest->answered_us)
			oldest = report;
	}
	return oldest;
}

void store_reader_handle_report(struct store_reader *reader, uint64_t member,
				uint32_t rank, int64_t age_us)
{
	struct store_reader_report *report = find_report(reader, member);
	int64_t answered_us = now_us(reader) - MAX(age_us, 0);

	reader->reported_us = MAX(reader->reported_us, answered_us);
	if (report->member == member && report->answered_us > answered_us)
		return;
	*report = (struct store_reader_report){
		.member = member,
		.rank = rank,
		.answered_us = answered_us,
	};
}

/* Members with a better rank that are reading. */
static uint32_t count_better_readers(const struct store_reader *reader)
{
	int64_t active_us =
		(int64_t)(ACTIVE_PER_APPLY * (double)reader->options.apply_us);
	uint32_t count = 0;

	for (uint32_t i = 0; i < STORE_READER_REPORTS; i++) {
		const struct store_reader_report *report = &reader->reports[i];

		count += report->answered_us &&
			 report->rank < reader->standing.rank &&
			 now_us(reader) - report->answered_us < active_us;
	}
	return count;
}

void store_reader_handle_answer(struct store_reader *reader)
{
	reader->answered_us = now_us(reader);
	reader->reported_us = reader->answered_us;
}

static bool is_older(int64_t age_us, double part,
		     const struct store_reader *reader)
{
	return (double)age_us > part * (double)reader->options.apply_us;
}

bool store_reader_should_repeat_report(struct store_reader *reader)
{
	int64_t now = now_us(reader);

	if (!reader->is_watching || !reader->answered_us ||
	    is_older(now - reader->answered_us, REPEAT_MAX_PER_APPLY, reader) ||
	    !is_older(now - reader->reported_us, REPEAT_PER_APPLY, reader))
		return false;
	reader->reported_us = now;
	return true;
}

/* ---- decisions ---- */

/*
 * The place of an entry that is not elected in the time over which takeovers
 * are spread, from 0 to 1. The places grow with the logarithm of the rank: a
 * fleet of any size begins with a few takeovers, and as many again follow in
 * each further step if those have not helped.
 */
static double takeover_place(const struct store_reader *reader)
{
	const struct store_reader_standing *standing = &reader->standing;

	if (standing->rank < STORE_READER_COUNT ||
	    standing->members <= STORE_READER_COUNT)
		return 0;
	return MIN(log1p(standing->rank - STORE_READER_COUNT) /
			   log1p(standing->members - STORE_READER_COUNT),
		   1.0);
}

static int64_t takeover_wait_us(const struct store_reader *reader)
{
	double part =
		TAKEOVER_PER_APPLY + takeover_place(reader) * SPREAD_PER_APPLY;

	return (int64_t)(part * (double)reader->options.apply_us);
}

bool store_reader_handle_watch_failure(struct store_reader *reader)
{
	if (store_reader_is_elected(reader))
		return true;
	reader->is_watching = false;
	reader->retry_us = now_us(reader) + 2 * takeover_wait_us(reader);
	return false;
}

static bool is_takeover_due(const struct store_reader *reader)
{
	int64_t now = now_us(reader);

	return now >= reader->retry_us &&
	       now - reader->reported_us >= takeover_wait_us(reader);
}

bool store_reader_should_watch(struct store_reader *reader)
{
	if (store_reader_is_elected(reader))
		reader->is_watching |= reader->standing.is_settled;
	else if (reader->is_watching)
		reader->is_watching =
			count_better_readers(reader) < STORE_READER_COUNT;
	else
		reader->is_watching = is_takeover_due(reader);
	return reader->is_watching;
}

/* The age at which the last entry that is not elected polls the list. */
static double last_takeover_age_us(const struct store_reader *reader)
{
	const struct store_reader_options *options = &reader->options;

	return MAX(TAKEOVER_AGE_LAST * (double)options->poll_us,
		   TAKEOVER_PER_LIST_BOUND * (double)options->list_bound_us);
}

static double takeover_age_us(const struct store_reader *reader)
{
	double first_us = TAKEOVER_AGE_FIRST * (double)reader->options.poll_us;
	double last_us = last_takeover_age_us(reader);

	return first_us + takeover_place(reader) * (last_us - first_us);
}

static double elected_age(uint32_t rank, double random)
{
	if (!rank)
		return FIRST_READER_AGE + AGE_JITTER * random;
	return SECOND_READER_AGE + AGE_PER_READER * (rank - 1) +
	       AGE_JITTER * random;
}

int64_t store_reader_poll_age_us(const struct store_reader *reader,
				 double random)
{
	const struct store_reader_options *options = &reader->options;
	const struct store_reader_standing *standing = &reader->standing;

	if (!standing->is_settled && !options->is_bootstrap_reader)
		return (int64_t)last_takeover_age_us(reader);
	if (!store_reader_is_elected(reader))
		return (int64_t)takeover_age_us(reader);
	return (int64_t)(elected_age(standing->rank, random) *
			 (double)options->poll_us);
}
