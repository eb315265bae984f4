#include "policy/quarantine.h"

#include <glib.h>
#include <string.h>

struct record {
	uint64_t request;
	struct quarantine_termination
		terminations[QUARANTINE_TERMINATIONS_MAX]; /* by time */
	uint32_t count;
	uint32_t rounds;
	int64_t cleared_us;
	int64_t trial_until_us;
};

struct quarantine {
	const struct lp_clock *clock;
	GHashTable *records; /* request -> struct record */
	bool disabled;
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

void quarantine_set_enabled(struct quarantine *quarantine, bool enabled)
{
	quarantine->disabled = !enabled;
}

bool quarantine_is_empty(const struct quarantine *quarantine)
{
	return !g_hash_table_size(quarantine->records);
}

static struct record *find_record(const struct quarantine *quarantine,
				  uint64_t request)
{
	return g_hash_table_lookup(quarantine->records, &request);
}

/* ---- properties of a record ---- */

static int64_t last_termination_us(const struct record *record)
{
	return record->count
		       ? record->terminations[record->count - 1].terminated_us
		       : 0;
}

static int64_t blocked_until_us(const struct record *record)
{
	int64_t block_us = QUARANTINE_BLOCK_US;

	if (record->rounds < QUARANTINE_BLOCK_ROUNDS)
		return 0;
	for (uint32_t i = QUARANTINE_BLOCK_ROUNDS;
	     i < record->rounds && block_us < QUARANTINE_BLOCK_MAX_US; i++)
		block_us *= QUARANTINE_BLOCK_FACTOR;
	return last_termination_us(record) +
	       MIN(block_us, QUARANTINE_BLOCK_MAX_US);
}

static int64_t expires_us(const struct record *record)
{
	int64_t until_us =
		MAX(last_termination_us(record), blocked_until_us(record));

	return MAX(until_us, record->cleared_us) + QUARANTINE_RECORD_TTL_US;
}

uint32_t quarantine_round(const struct quarantine *quarantine, uint64_t request)
{
	const struct record *record = find_record(quarantine, request);

	return record ? record->rounds + 1 : 1;
}

/* ---- records ---- */

static bool is_evicted_before(const struct record *a, const struct record *b)
{
	if (a->rounds != b->rounds)
		return a->rounds < b->rounds;
	if (a->count != b->count)
		return a->count < b->count;
	return last_termination_us(a) < last_termination_us(b);
}

static void evict_record(struct quarantine *quarantine)
{
	const struct record *victim = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!victim || is_evicted_before(value, victim))
			victim = value;
	if (victim)
		g_hash_table_remove(quarantine->records, &victim->request);
}

static struct record *add_record(struct quarantine *quarantine,
				 uint64_t request)
{
	struct record *record = g_new0(struct record, 1);

	if (g_hash_table_size(quarantine->records) == QUARANTINE_RECORDS_MAX)
		evict_record(quarantine);
	record->request = request;
	g_hash_table_insert(quarantine->records, &record->request, record);
	return record;
}

/* A termination of the same incarnation in a later round is a different one:
 * the run was sent although the earlier termination was known, so the upstream
 * has restarted, and the list of upstreams does not show it yet. */
static bool has_termination(const struct record *record,
			    const struct quarantine_termination *termination)
{
	for (uint32_t i = 0; i < record->count; i++)
		if (record->terminations[i].incarnation ==
			    termination->incarnation &&
		    record->terminations[i].round == termination->round)
			return true;
	return false;
}

static void remove_at(struct record *record, uint32_t index)
{
	record->count--;
	memmove(&record->terminations[index], &record->terminations[index + 1],
		(record->count - index) * sizeof(record->terminations[0]));
}

/* Keeps the terminations sorted by time. If there are too many, the second
 * oldest is dropped, so that the first and the newest stay. */
static void insert_termination(struct record *record,
			       const struct quarantine_termination *termination)
{
	uint32_t index;

	if (record->count == QUARANTINE_TERMINATIONS_MAX)
		remove_at(record, 1);
	index = record->count;
	while (index && record->terminations[index - 1].terminated_us >
				termination->terminated_us)
		index--;
	memmove(&record->terminations[index + 1], &record->terminations[index],
		(record->count - index) * sizeof(record->terminations[0]));
	record->terminations[index] = *termination;
	record->count++;
}

bool quarantine_add_termination(
	struct quarantine *quarantine,
	const struct quarantine_termination *termination)
{
	struct record *record = find_record(quarantine, termination->request);

	if (record && (has_termination(record, termination) ||
		       termination->terminated_us <= record->cleared_us))
		return false;
	if (!record)
		record = add_record(quarantine, termination->request);
	insert_termination(record, termination);
	record->rounds = MAX(record->rounds, termination->round);
	return true;
}

static void recount_rounds(struct record *record)
{
	record->rounds = 0;
	for (uint32_t i = 0; i < record->count; i++)
		record->rounds =
			MAX(record->rounds, record->terminations[i].round);
}

bool quarantine_clear(struct quarantine *quarantine, uint64_t request,
		      int64_t cleared_us)
{
	struct record *record = find_record(quarantine, request);
	bool any_removed = false;

	if (!record)
		return false;
	while (record->count &&
	       record->terminations[0].terminated_us <= cleared_us) {
		remove_at(record, 0);
		any_removed = true;
	}
	recount_rounds(record);
	record->cleared_us = MAX(record->cleared_us, cleared_us);
	record->trial_until_us = 0;
	return any_removed;
}

/* ---- admission ---- */

enum quarantine_decision quarantine_admit(struct quarantine *quarantine,
					  uint64_t request, int64_t until_us,
					  int64_t *wait_us)
{
	struct record *record = find_record(quarantine, request);
	int64_t now_us = lp_now_us(quarantine->clock);

	*wait_us = 0;
	if (quarantine->disabled || !record ||
	    record->count < QUARANTINE_SUSPECT_TERMINATIONS)
		return QUARANTINE_PASS;
	if (now_us < blocked_until_us(record)) {
		*wait_us = blocked_until_us(record) - now_us;
		return QUARANTINE_REFUSE;
	}
	if (now_us < record->trial_until_us) {
		*wait_us = MIN(record->trial_until_us - now_us,
			       QUARANTINE_TRIAL_WAIT_MAX_US);
		return QUARANTINE_REFUSE;
	}
	record->trial_until_us = until_us;
	return QUARANTINE_TRIAL;
}

void quarantine_set_trial(struct quarantine *quarantine, uint64_t request,
			  int64_t until_us)
{
	struct record *record = find_record(quarantine, request);

	if (record)
		record->trial_until_us = until_us;
}

/* ---- views ---- */

static int64_t longest_run_us(const struct record *record)
{
	int64_t longest_us = 0;

	for (uint32_t i = 0; i < record->count; i++)
		longest_us = MAX(longest_us, record->terminations[i].run_us);
	return longest_us;
}

static struct quarantine_view make_view(const struct record *record)
{
	return (struct quarantine_view){
		.request = record->request,
		.terminations = record->terminations,
		.terminations_count = record->count,
		.rounds = record->rounds,
		.cleared_us = record->cleared_us,
		.blocked_until_us = blocked_until_us(record),
		.trial_until_us = record->trial_until_us,
		.longest_run_us = longest_run_us(record),
	};
}

bool quarantine_get_view(const struct quarantine *quarantine, uint64_t request,
			 struct quarantine_view *out)
{
	const struct record *record = find_record(quarantine, request);

	if (record)
		*out = make_view(record);
	return record != NULL;
}

void quarantine_foreach(const struct quarantine *quarantine,
			void (*visit)(void *userdata,
				      const struct quarantine_view *view),
			void *userdata)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quarantine_view view = make_view(value);

		visit(userdata, &view);
	}
}

void quarantine_expire(struct quarantine *quarantine)
{
	int64_t now_us = lp_now_us(quarantine->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (expires_us(value) < now_us)
			g_hash_table_iter_remove(&iter);
}
