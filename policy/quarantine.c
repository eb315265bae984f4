#include "policy/quarantine.h"

#include <glib.h>
#include <string.h>

struct record {
	uint64_t request;
	struct quarantine_termination
		ends[QUARANTINE_TERMINATIONS_MAX]; /* by time */
	uint32_t count;
	uint32_t rounds;
	int64_t served_us;
	int64_t try_until_us;
};

struct quarantine {
	const struct lp_clock *clock;
	GHashTable *records; /* request -> struct record */
	bool off;
};

struct quarantine *quarantine_create(const struct lp_clock *clock)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->clock = clock;
	quarantine->records = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	return quarantine;
}

void quarantine_destroy(struct quarantine *quarantine)
{
	if (!quarantine)
		return;
	g_hash_table_unref(quarantine->records);
	g_free(quarantine);
}

void quarantine_set_enabled(struct quarantine *quarantine, bool on)
{
	quarantine->off = !on;
}

bool quarantine_is_empty(const struct quarantine *quarantine)
{
	return !g_hash_table_size(quarantine->records);
}

static struct record *find(const struct quarantine *quarantine,
			   uint64_t request)
{
	return g_hash_table_lookup(quarantine->records, &request);
}

/* ---- what follows from a record ---- */

static int64_t last_end_us(const struct record *record)
{
	return record->count ? record->ends[record->count - 1].terminated_us
			     : 0;
}

static int64_t out_until_us(const struct record *record)
{
	int64_t out_us = QUARANTINE_BLOCK_US;

	if (record->rounds < QUARANTINE_BLOCK_ROUNDS)
		return 0;
	for (uint32_t i = QUARANTINE_BLOCK_ROUNDS;
	     i < record->rounds && out_us < QUARANTINE_BLOCK_MAX_US; i++)
		out_us *= QUARANTINE_BLOCK_FACTOR;
	return last_end_us(record) + MIN(out_us, QUARANTINE_BLOCK_MAX_US);
}

static int64_t keep_until_us(const struct record *record)
{
	int64_t until_us = MAX(last_end_us(record), out_until_us(record));

	return MAX(until_us, record->served_us) + QUARANTINE_RECORD_TTL_US;
}

uint32_t quarantine_round(const struct quarantine *quarantine, uint64_t request)
{
	const struct record *record = find(quarantine, request);

	return record ? record->rounds + 1 : 1;
}

/* ---- records ---- */

/* Whether `a` yields its place before `b`. */
static bool yields_before(const struct record *a, const struct record *b)
{
	if (a->rounds != b->rounds)
		return a->rounds < b->rounds;
	if (a->count != b->count)
		return a->count < b->count;
	return last_end_us(a) < last_end_us(b);
}

static void drop_least(struct quarantine *quarantine)
{
	const struct record *least = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!least || yields_before(value, least))
			least = value;
	if (least)
		g_hash_table_remove(quarantine->records, &least->request);
}

static struct record *add(struct quarantine *quarantine, uint64_t request)
{
	struct record *record = g_new0(struct record, 1);

	if (g_hash_table_size(quarantine->records) == QUARANTINE_RECORDS_MAX)
		drop_least(quarantine);
	record->request = request;
	g_hash_table_insert(quarantine->records, &record->request, record);
	return record;
}

/* A life that ends in a later round is another one: that run was begun although
 * its end was known, so it has started again, and no list says so yet. */
static bool has_end(const struct record *record,
		    const struct quarantine_termination *end)
{
	for (uint32_t i = 0; i < record->count; i++)
		if (record->ends[i].incarnation == end->incarnation &&
		    record->ends[i].round == end->round)
			return true;
	return false;
}

static void remove_at(struct record *record, uint32_t at)
{
	record->count--;
	memmove(&record->ends[at], &record->ends[at + 1],
		(record->count - at) * sizeof(record->ends[0]));
}

/* By time. Of too many the first and the newest are kept. */
static void insert(struct record *record,
		   const struct quarantine_termination *end)
{
	uint32_t at;

	if (record->count == QUARANTINE_TERMINATIONS_MAX)
		remove_at(record, 1);
	at = record->count;
	while (at && record->ends[at - 1].terminated_us > end->terminated_us)
		at--;
	memmove(&record->ends[at + 1], &record->ends[at],
		(record->count - at) * sizeof(record->ends[0]));
	record->ends[at] = *end;
	record->count++;
}

bool quarantine_add_termination(struct quarantine *quarantine,
				const struct quarantine_termination *end)
{
	struct record *record = find(quarantine, end->request);

	if (record &&
	    (has_end(record, end) || end->terminated_us <= record->served_us))
		return false;
	if (!record)
		record = add(quarantine, end->request);
	insert(record, end);
	record->rounds = MAX(record->rounds, end->round);
	return true;
}

static void count_rounds(struct record *record)
{
	record->rounds = 0;
	for (uint32_t i = 0; i < record->count; i++)
		record->rounds = MAX(record->rounds, record->ends[i].round);
}

bool quarantine_clear(struct quarantine *quarantine, uint64_t request,
		      int64_t served_us)
{
	struct record *record = find(quarantine, request);
	bool any = false;

	if (!record)
		return false;
	while (record->count && record->ends[0].terminated_us <= served_us) {
		remove_at(record, 0);
		any = true;
	}
	count_rounds(record);
	record->served_us = MAX(record->served_us, served_us);
	record->try_until_us = 0;
	return any;
}

/* ---- may it go ---- */

enum quarantine_decision quarantine_admit(struct quarantine *quarantine,
					  uint64_t request, int64_t until_us,
					  int64_t *wait_us)
{
	struct record *record = find(quarantine, request);
	int64_t now_us = lp_now_us(quarantine->clock);

	*wait_us = 0;
	if (quarantine->off || !record ||
	    record->count < QUARANTINE_SUSPECT_TERMINATIONS)
		return QUARANTINE_PASS;
	if (now_us < out_until_us(record)) {
		*wait_us = out_until_us(record) - now_us;
		return QUARANTINE_REFUSE;
	}
	if (now_us < record->try_until_us) {
		*wait_us = MIN(record->try_until_us - now_us,
			       QUARANTINE_TRIAL_WAIT_MAX_US);
		return QUARANTINE_REFUSE;
	}
	record->try_until_us = until_us;
	return QUARANTINE_TRIAL;
}

void quarantine_set_trial(struct quarantine *quarantine, uint64_t request,
			  int64_t until_us)
{
	struct record *record = find(quarantine, request);

	if (record)
		record->try_until_us = until_us;
}

/* ---- looking ---- */

static int64_t longest_ran_us(const struct record *record)
{
	int64_t longest_us = 0;

	for (uint32_t i = 0; i < record->count; i++)
		longest_us = MAX(longest_us, record->ends[i].run_us);
	return longest_us;
}

static struct quarantine_view view_of(const struct record *record)
{
	return (struct quarantine_view){
		.request = record->request,
		.terminations = record->ends,
		.terminations_count = record->count,
		.rounds = record->rounds,
		.cleared_us = record->served_us,
		.blocked_until_us = out_until_us(record),
		.trial_until_us = record->try_until_us,
		.longest_run_us = longest_ran_us(record),
	};
}

bool quarantine_get_view(const struct quarantine *quarantine, uint64_t request,
			 struct quarantine_view *out)
{
	const struct record *record = find(quarantine, request);

	if (record)
		*out = view_of(record);
	return record != NULL;
}

void quarantine_foreach(const struct quarantine *quarantine,
			void (*look)(void *userdata,
				     const struct quarantine_view *view),
			void *userdata)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quarantine_view view = view_of(value);

		look(userdata, &view);
	}
}

void quarantine_expire(struct quarantine *quarantine)
{
	int64_t now_us = lp_now_us(quarantine->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (keep_until_us(value) < now_us)
			g_hash_table_iter_remove(&iter);
}
