#include "policy/quarantine.h"

#include <glib.h>

struct record {
	uint64_t key;
	bool is_part;
	GArray *terminations; /* of struct quarantine_termination, by time */
	uint32_t rounds;
	int64_t cleared_us;
	int64_t begun_us;
	int64_t trial_until_us;
};

struct quarantine {
	const struct lp_clock *clock;
	GHashTable *records; /* key -> struct record */
	bool disabled;
};

static void free_record(gpointer data)
{
	struct record *record = data;

	g_array_unref(record->terminations);
	g_free(record);
}

struct quarantine *quarantine_create(const struct lp_clock *clock)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->clock = clock;
	quarantine->records = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, free_record);
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
				  uint64_t key)
{
	return g_hash_table_lookup(quarantine->records, &key);
}

static uint32_t count_of(const struct record *record)
{
	return record->terminations->len;
}

static struct quarantine_termination *
termination_at(const struct record *record, uint32_t index)
{
	return &g_array_index(record->terminations,
			      struct quarantine_termination, index);
}

/* ---- keys of a request ---- */

static bool has_key(const struct quarantine_keys *keys, uint64_t digest)
{
	for (uint32_t i = 0; i < keys->count; i++)
		if (keys->items[i].digest == digest)
			return true;
	return false;
}

void quarantine_keys_add(struct quarantine_keys *keys, uint64_t digest,
			 bool is_part)
{
	if (keys->count == QUARANTINE_KEYS_MAX || has_key(keys, digest))
		return;
	keys->items[keys->count++] = (struct quarantine_key){
		.digest = digest,
		.round = 1,
		.is_part = is_part,
	};
}

/* ---- evidence: terminations that count against a request ---- */

struct evidence {
	const struct quarantine_termination
		*items[QUARANTINE_TERMINATIONS_MAX]; /* by time */
	uint32_t count;
	uint32_t rounds;
};

static bool is_of_organisation(const struct quarantine_termination *termination,
			       uint64_t organisation)
{
	return termination->organisations[0] == organisation ||
	       termination->organisations[1] == organisation;
}

/* Whether requests of two organisations other than this one were lost. */
static bool concerns_two_others(const struct record *record,
				uint64_t organisation)
{
	uint64_t first = 0;

	for (uint32_t i = 0; i < count_of(record); i++)
		for (uint32_t j = 0; j < 2; j++) {
			uint64_t other =
				termination_at(record, i)->organisations[j];

			if (!other || other == organisation || other == first)
				continue;
			if (first)
				return true;
			first = other;
		}
	return false;
}

static struct evidence all_evidence(const struct record *record)
{
	struct evidence evidence = { .count = count_of(record),
				     .rounds = record->rounds };

	for (uint32_t i = 0; i < count_of(record); i++)
		evidence.items[i] = termination_at(record, i);
	return evidence;
}

static struct evidence evidence_for(const struct record *record,
				    uint64_t organisation)
{
	struct evidence evidence = { 0 };

	if (!record->is_part || concerns_two_others(record, organisation))
		return all_evidence(record);
	for (uint32_t i = 0; i < count_of(record); i++) {
		const struct quarantine_termination *termination =
			termination_at(record, i);

		if (!is_of_organisation(termination, organisation))
			continue;
		evidence.items[evidence.count++] = termination;
		evidence.rounds = MAX(evidence.rounds, termination->round);
	}
	return evidence;
}

static int64_t last_termination_us(const struct evidence *evidence)
{
	return evidence->count
		       ? evidence->items[evidence->count - 1]->terminated_us
		       : 0;
}

static uint32_t all_of(const struct evidence *evidence)
{
	return (1U << evidence->count) - 1;
}

/* The number of rounds among the terminations in `mask`. */
static uint32_t count_rounds(const struct evidence *evidence, uint32_t mask)
{
	uint32_t rounds = 0;

	for (uint32_t i = 0; i < evidence->count; i++) {
		bool is_known = !(mask & (1U << i));

		for (uint32_t j = 0; j < i && !is_known; j++)
			is_known = mask & (1U << j) &&
				   evidence->items[j]->round ==
					   evidence->items[i]->round;
		rounds += !is_known;
	}
	return rounds;
}

static int64_t blocked_until_us(const struct evidence *evidence)
{
	int64_t block_us = QUARANTINE_BLOCK_US;

	if (evidence->rounds < QUARANTINE_BLOCK_ROUNDS)
		return 0;
	for (uint32_t i = QUARANTINE_BLOCK_ROUNDS;
	     i < evidence->rounds && block_us < QUARANTINE_BLOCK_MAX_US; i++)
		block_us *= QUARANTINE_BLOCK_FACTOR;
	return last_termination_us(evidence) +
	       MIN(block_us, QUARANTINE_BLOCK_MAX_US);
}

static bool is_suspect(const struct evidence *evidence, bool is_part)
{
	return evidence->count >= QUARANTINE_SUSPECT_TERMINATIONS &&
	       (!is_part || evidence->rounds >= QUARANTINE_SUSPECT_PART_ROUNDS);
}

/* ---- properties of a record ---- */

static bool is_record_suspect(const struct record *record)
{
	struct evidence evidence = all_evidence(record);

	return is_suspect(&evidence, record->is_part);
}

static int64_t expires_us(const struct record *record)
{
	struct evidence evidence = all_evidence(record);
	int64_t until_us = MAX(last_termination_us(&evidence),
			       blocked_until_us(&evidence));

	until_us = MAX(until_us, MAX(record->cleared_us, record->begun_us));
	return until_us + QUARANTINE_RECORD_TTL_US;
}

uint32_t quarantine_round(const struct quarantine *quarantine, uint64_t key)
{
	const struct record *record = find_record(quarantine, key);

	return record ? record->rounds + 1 : 1;
}

/* ---- records ---- */

static bool is_evicted_before(const struct record *a, const struct record *b)
{
	if (a->rounds != b->rounds)
		return a->rounds < b->rounds;
	if (count_of(a) != count_of(b))
		return count_of(a) < count_of(b);
	return count_of(a) &&
	       termination_at(a, count_of(a) - 1)->terminated_us <
		       termination_at(b, count_of(b) - 1)->terminated_us;
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
		g_hash_table_remove(quarantine->records, &victim->key);
}

static struct record *add_record(struct quarantine *quarantine,
				 const struct quarantine_termination *first)
{
	struct record *record = g_new0(struct record, 1);

	if (g_hash_table_size(quarantine->records) == QUARANTINE_RECORDS_MAX)
		evict_record(quarantine);
	record->key = first->key;
	record->is_part = first->is_part;
	record->terminations = g_array_new(
		FALSE, FALSE, sizeof(struct quarantine_termination));
	g_hash_table_insert(quarantine->records, &record->key, record);
	return record;
}

/* Whether two terminations of one incarnation are the same. One of a later
 * round is a different one: the run was sent although the earlier termination
 * was known, so the upstream has restarted, and the list of upstreams does not
 * show it yet. Requests that share a part may be in flight together although
 * they were sent in different rounds. */
static bool is_same_crash(const struct quarantine_termination *a,
			  const struct quarantine_termination *b)
{
	if (a->incarnation != b->incarnation)
		return false;
	return a->round == b->round ||
	       (a->is_part && ABS(a->terminated_us - b->terminated_us) <
				      QUARANTINE_SAME_CRASH_US);
}

static struct quarantine_termination *
find_same_crash(const struct record *record,
		const struct quarantine_termination *termination)
{
	for (uint32_t i = 0; i < count_of(record); i++)
		if (is_same_crash(termination_at(record, i), termination))
			return termination_at(record, i);
	return NULL;
}

static bool add_organisation(struct quarantine_termination *termination,
			     uint64_t organisation)
{
	uint64_t *known = termination->organisations;

	if (!organisation || organisation == known[0] || known[1])
		return false;
	known[known[0] ? 1 : 0] = organisation;
	return true;
}

/* Adds what another request with the same key tells of the same crash. Returns
 * whether it was not known. */
static bool merge_termination(struct quarantine_termination *known,
			      const struct quarantine_termination *other)
{
	bool is_new = other->round > known->round ||
		      (other->had_begun && !known->had_begun);

	known->round = MAX(known->round, other->round);
	known->had_begun |= other->had_begun;
	for (uint32_t i = 0; i < G_N_ELEMENTS(other->organisations); i++)
		is_new |= add_organisation(known, other->organisations[i]);
	return is_new;
}

/* Keeps the terminations sorted by time. If there are too many, the second
 * oldest is dropped, so that the first and the newest stay. */
static void insert_termination(struct record *record,
			       const struct quarantine_termination *termination)
{
	uint32_t index;

	if (count_of(record) == QUARANTINE_TERMINATIONS_MAX)
		g_array_remove_index(record->terminations, 1);
	index = count_of(record);
	while (index && termination_at(record, index - 1)->terminated_us >
				termination->terminated_us)
		index--;
	g_array_insert_val(record->terminations, index, *termination);
}

static bool was_cleared(const struct record *record,
			const struct quarantine_termination *termination)
{
	int64_t cleared_us = termination->had_begun ? record->cleared_us
						    : MAX(record->cleared_us,
							  record->begun_us);

	return termination->terminated_us <= cleared_us;
}

bool quarantine_add_termination(
	struct quarantine *quarantine,
	const struct quarantine_termination *termination)
{
	struct record *record = find_record(quarantine, termination->key);
	struct quarantine_termination *known = NULL;
	bool is_new = true;

	if (record && was_cleared(record, termination))
		return false;
	if (!record)
		record = add_record(quarantine, termination);
	known = find_same_crash(record, termination);
	if (known)
		is_new = merge_termination(known, termination);
	else
		insert_termination(record, termination);
	record->rounds = MAX(record->rounds, termination->round);
	return is_new;
}

static void recount_rounds(struct record *record)
{
	record->rounds = 0;
	for (uint32_t i = 0; i < count_of(record); i++)
		record->rounds =
			MAX(record->rounds, termination_at(record, i)->round);
}

/* Removes the terminations up to `until_us`, or only those before which no
 * answer had begun. Returns whether there were any. */
static bool remove_terminations(struct record *record, int64_t until_us,
				bool only_unbegun)
{
	uint32_t count = count_of(record);

	for (uint32_t i = count_of(record); i-- > 0;) {
		const struct quarantine_termination *termination =
			termination_at(record, i);

		if (termination->terminated_us <= until_us &&
		    !(only_unbegun && termination->had_begun))
			g_array_remove_index(record->terminations, i);
	}
	recount_rounds(record);
	if (!is_record_suspect(record))
		record->trial_until_us = 0;
	return count_of(record) < count;
}

bool quarantine_clear(struct quarantine *quarantine, uint64_t key,
		      int64_t cleared_us)
{
	struct record *record = find_record(quarantine, key);

	if (!record)
		return false;
	record->cleared_us = MAX(record->cleared_us, cleared_us);
	record->trial_until_us = 0;
	return remove_terminations(record, cleared_us, false);
}

bool quarantine_clear_unbegun(struct quarantine *quarantine, uint64_t key,
			      int64_t begun_us)
{
	struct record *record = find_record(quarantine, key);

	if (!record)
		return false;
	record->begun_us = MAX(record->begun_us, begun_us);
	return remove_terminations(record, begun_us, true);
}

/* ---- which of several keys causes terminations ---- */

/* The termination of the same upstream at the same time; or NULL. An upstream
 * that has restarted under its id may terminate again before it is listed. */
static const struct quarantine_termination *
find_simultaneous(const struct record *record,
		  const struct quarantine_termination *termination)
{
	for (uint32_t i = 0; i < count_of(record); i++) {
		const struct quarantine_termination *other =
			termination_at(record, i);

		if (other->incarnation == termination->incarnation &&
		    ABS(other->terminated_us - termination->terminated_us) <
			    QUARANTINE_SAME_CRASH_US)
			return other;
	}
	return NULL;
}

/* The terminations of the evidence that a record has as well, as bits. */
static uint32_t covered_by(const struct evidence *evidence,
			   const struct record *other)
{
	uint32_t covered = 0;

	for (uint32_t i = 0; i < evidence->count; i++)
		if (find_simultaneous(other, evidence->items[i]))
			covered |= 1U << i;
	return covered;
}

/* Whether another key has all of these terminations and more. */
static bool is_explained(const struct quarantine *quarantine,
			 const struct record *record,
			 const struct evidence *evidence)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct record *other = value;

		if (count_of(other) > count_of(record) &&
		    count_of(other) >= QUARANTINE_SUSPECT_TERMINATIONS &&
		    covered_by(evidence, other) == all_of(evidence))
			return true;
	}
	return false;
}

/* Terminations of a key that other keys may have caused, as bits. */
struct alternatives {
	uint32_t best;	  /* by the one that leaves the fewest rounds */
	uint32_t tainted; /* by any that had an earlier termination */
};

/* Whether another key may have caused a termination: a suspect, or a part of
 * the same run. */
static bool is_alternative(const struct record *other,
			   const struct quarantine_termination *theirs,
			   const struct quarantine_termination *ours)
{
	return count_of(other) >= QUARANTINE_SUSPECT_TERMINATIONS ||
	       (other->is_part && theirs->run_us == ours->run_us);
}

static void add_alternative(struct alternatives *alternatives,
			    const struct evidence *evidence,
			    const struct record *other)
{
	uint32_t covered = 0;
	uint32_t all = all_of(evidence);

	for (uint32_t i = 0; i < evidence->count; i++) {
		const struct quarantine_termination *ours = evidence->items[i];
		const struct quarantine_termination *theirs =
			find_simultaneous(other, ours);

		if (!theirs || !is_alternative(other, theirs, ours))
			continue;
		covered |= 1U << i;
		if (theirs->round > 1)
			alternatives->tainted |= 1U << i;
	}
	if (!(covered & ~alternatives->best))
		return;
	if (count_rounds(evidence, all & ~covered) <
	    count_rounds(evidence, all & ~alternatives->best))
		alternatives->best = covered;
}

/* The alternatives that a request with `keys` lacks. */
static struct alternatives
find_alternatives(const struct quarantine *quarantine,
		  const struct record *record, const struct evidence *evidence,
		  const struct quarantine_keys *keys)
{
	struct alternatives alternatives = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct record *other = value;

		if (other != record && !has_key(keys, other->key))
			add_alternative(&alternatives, evidence, other);
	}
	return alternatives;
}

/* The terminations under runs that only a trial can have been, as bits. */
static uint32_t trials_of(const struct evidence *evidence)
{
	uint32_t trials = 0;

	for (uint32_t i = 0; i < evidence->count; i++)
		if (evidence->items[i]->round > QUARANTINE_SUSPECT_PART_ROUNDS)
			trials |= 1U << i;
	return trials;
}

/* The rounds that count against a key for a request with `keys`: those that the
 * likeliest other cause leaves. Trials beside which no other key was tainted
 * count anyway, or ever new second parts would excuse a first one. */
static uint32_t rounds_against(const struct quarantine *quarantine,
			       const struct record *record,
			       const struct evidence *evidence,
			       const struct quarantine_keys *keys)
{
	struct alternatives alternatives =
		find_alternatives(quarantine, record, evidence, keys);
	uint32_t sole_trials = trials_of(evidence) & ~alternatives.tainted;

	return MAX(
		count_rounds(evidence, all_of(evidence) & ~alternatives.best),
		1 + count_rounds(evidence, sole_trials));
}

/* The evidence that blocks a request with `keys`, or NULL. That of other
 * organisations blocks nobody by itself, but confirms own evidence. */
static const struct evidence *find_blocking(const struct quarantine *quarantine,
					    const struct record *record,
					    const struct evidence *own,
					    const struct evidence *everyone,
					    const struct quarantine_keys *keys)
{
	uint32_t rounds = rounds_against(quarantine, record, own, keys);

	if (rounds >= QUARANTINE_BLOCK_ROUNDS)
		return own;
	if (rounds < QUARANTINE_SUSPECT_PART_ROUNDS ||
	    everyone->count == own->count ||
	    rounds_against(quarantine, record, everyone, keys) <
		    QUARANTINE_CONFIRMED_ROUNDS)
		return NULL;
	return everyone;
}

/* Until when a request with `keys` is blocked; 0: it is not. */
static int64_t block_end_us(const struct quarantine *quarantine,
			    const struct record *record,
			    const struct evidence *own,
			    const struct quarantine_keys *keys)
{
	int64_t now_us = lp_now_us(quarantine->clock);
	struct evidence everyone = all_evidence(record);
	const struct evidence *blocking;

	if (blocked_until_us(&everyone) <= now_us)
		return 0;
	blocking = find_blocking(quarantine, record, own, &everyone, keys);
	return blocking ? blocked_until_us(blocking) : 0;
}

void quarantine_foreach_explained(const struct quarantine *quarantine,
				  uint64_t key,
				  void (*visit)(void *userdata, uint64_t key),
				  void *userdata)
{
	const struct record *cause = find_record(quarantine, key);
	GHashTableIter iter;
	gpointer value;

	if (!cause)
		return;
	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct record *record = value;
		struct evidence evidence = all_evidence(record);

		if (record != cause && count_of(record) &&
		    covered_by(&evidence, cause) == all_of(&evidence))
			visit(userdata, record->key);
	}
}

/* ---- admission ---- */

/* The time for which a request must wait because of one of its keys; 0: it may
 * run. `*is_trial`: only as a trial. */
static int64_t wait_for_key(const struct quarantine *quarantine,
			    const struct quarantine_keys *keys,
			    const struct record *record, bool *is_trial)
{
	int64_t now_us = lp_now_us(quarantine->clock);
	struct evidence evidence;
	int64_t until_us;

	*is_trial = false;
	if (!record || count_of(record) < QUARANTINE_SUSPECT_TERMINATIONS)
		return 0;
	evidence = evidence_for(record, keys->organisation);
	if (!is_suspect(&evidence, record->is_part))
		return 0;
	if (is_explained(quarantine, record, &evidence))
		return 0;
	until_us = block_end_us(quarantine, record, &evidence, keys);
	if (now_us < until_us)
		return until_us - now_us;
	if (now_us < record->trial_until_us)
		return MIN(record->trial_until_us - now_us,
			   QUARANTINE_TRIAL_WAIT_MAX_US);
	*is_trial = true;
	return 0;
}

struct quarantine_admission quarantine_admit(struct quarantine *quarantine,
					     const struct quarantine_keys *keys,
					     int64_t until_us)
{
	struct quarantine_admission admission = { 0 };

	for (uint32_t i = 0; i < keys->count && !quarantine->disabled; i++) {
		uint64_t key = keys->items[i].digest;
		bool is_trial;
		int64_t wait_us =
			wait_for_key(quarantine, keys,
				     find_record(quarantine, key), &is_trial);

		if (is_trial)
			admission.trials |= 1U << i;
		if (wait_us <= admission.wait_us)
			continue;
		admission.wait_us = wait_us;
		admission.refused_by = key;
	}
	if (admission.wait_us) {
		admission.decision = QUARANTINE_REFUSE;
		admission.trials = 0;
	} else if (admission.trials) {
		admission.decision = QUARANTINE_TRIAL;
	}
	for (uint32_t i = 0; i < keys->count; i++)
		if (admission.trials & (1U << i))
			quarantine_set_trial(quarantine, keys->items[i].digest,
					     until_us);
	return admission;
}

void quarantine_set_trial(struct quarantine *quarantine, uint64_t key,
			  int64_t until_us)
{
	struct record *record = find_record(quarantine, key);

	if (record)
		record->trial_until_us = until_us;
}

/* ---- views ---- */

static int64_t longest_run_us(const struct record *record)
{
	int64_t longest_us = 0;

	for (uint32_t i = 0; i < count_of(record); i++)
		longest_us = MAX(longest_us, termination_at(record, i)->run_us);
	return longest_us;
}

static struct quarantine_view make_view(const struct quarantine *quarantine,
					const struct record *record)
{
	struct evidence evidence = all_evidence(record);
	bool suspect = is_suspect(&evidence, record->is_part);

	return (struct quarantine_view){
		.key = record->key,
		.is_part = record->is_part,
		.terminations = (const struct quarantine_termination *)
					record->terminations->data,
		.terminations_count = count_of(record),
		.rounds = record->rounds,
		.is_suspect = suspect,
		.is_explained =
			suspect && is_explained(quarantine, record, &evidence),
		.cleared_us = record->cleared_us,
		.begun_us = record->begun_us,
		.blocked_until_us = blocked_until_us(&evidence),
		.trial_until_us = record->trial_until_us,
		.longest_run_us = longest_run_us(record),
	};
}

bool quarantine_get_view(const struct quarantine *quarantine, uint64_t key,
			 struct quarantine_view *out)
{
	const struct record *record = find_record(quarantine, key);

	if (record)
		*out = make_view(quarantine, record);
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
		struct quarantine_view view = make_view(quarantine, value);

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
