#include "policy/incarnations.h"

#include <glib.h>

struct incarnation {
	int64_t born_ms;
	int64_t observed_us;	/* when this incarnation was first observed */
	int64_t last_listed_us; /* when a list last named the id */
	int64_t older_start_ms; /* older start time in the lists, or 0 */
	int64_t older_listed_since_us;
};

struct incarnations {
	const struct lp_clock *clock;
	GHashTable *current_by_id; /* id -> struct incarnation */
};

struct incarnations *incarnations_create(const struct lp_clock *clock)
{
	struct incarnations *incarnations = g_new0(struct incarnations, 1);

	incarnations->clock = clock;
	incarnations->current_by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return incarnations;
}

void incarnations_destroy(struct incarnations *incarnations)
{
	if (!incarnations)
		return;
	g_hash_table_unref(incarnations->current_by_id);
	g_free(incarnations);
}

static struct incarnation *add_id(struct incarnations *incarnations,
				  const char *id)
{
	struct incarnation *incarnation = g_new0(struct incarnation, 1);

	g_hash_table_insert(incarnations->current_by_id, g_strdup(id),
			    incarnation);
	return incarnation;
}

static void start_incarnation(struct incarnation *incarnation, int64_t born_ms,
			      int64_t now_us)
{
	incarnation->born_ms = born_ms;
	incarnation->observed_us = now_us;
	incarnation->older_start_ms = 0;
}

/* Records an older start time in a list. Returns whether lists have named it
 * for INCARNATIONS_CLOCK_SET_BACK_US. */
static bool older_start_persists(struct incarnation *incarnation,
				 int64_t born_ms, int64_t now_us)
{
	if (incarnation->older_start_ms != born_ms) {
		incarnation->older_start_ms = born_ms;
		incarnation->older_listed_since_us = now_us;
	}
	return now_us - incarnation->older_listed_since_us >=
	       INCARNATIONS_CLOCK_SET_BACK_US;
}

enum incarnation_status
incarnations_observe_listed(struct incarnations *incarnations, const char *id,
			    int64_t born_ms)
{
	struct incarnation *incarnation =
		g_hash_table_lookup(incarnations->current_by_id, id);
	int64_t now_us = lp_now_us(incarnations->clock);
	bool known = incarnation != NULL;

	if (!known)
		incarnation = add_id(incarnations, id);
	incarnation->last_listed_us = now_us;
	if (known && born_ms < incarnation->born_ms && born_ms &&
	    !older_start_persists(incarnation, born_ms, now_us))
		return INCARNATION_STALE;
	if (known && (!born_ms || born_ms == incarnation->born_ms)) {
		incarnation->older_start_ms = 0;
		return INCARNATION_CURRENT;
	}
	start_incarnation(incarnation, born_ms, now_us);
	return INCARNATION_NEW;
}

enum incarnation_status
incarnations_observe_answer(struct incarnations *incarnations, const char *id,
			    int64_t born_ms, int64_t sent_us)
{
	struct incarnation *incarnation =
		g_hash_table_lookup(incarnations->current_by_id, id);

	if (!incarnation || !incarnation->born_ms || !born_ms ||
	    born_ms == incarnation->born_ms)
		return INCARNATION_CURRENT;
	if (born_ms < incarnation->born_ms &&
	    sent_us <= incarnation->observed_us)
		return INCARNATION_STALE;
	start_incarnation(incarnation, born_ms, lp_now_us(incarnations->clock));
	return INCARNATION_NEW;
}

void incarnations_expire(struct incarnations *incarnations)
{
	int64_t now_us = lp_now_us(incarnations->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, incarnations->current_by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (now_us - ((struct incarnation *)value)->last_listed_us >
		    INCARNATIONS_RETENTION_US)
			g_hash_table_iter_remove(&iter);
}
