#include "policy/incarnations.h"

#include <glib.h>

struct incarnation {
	int64_t born_ms;
	int64_t observed_us;	/* known */
	int64_t last_listed_us; /* named by a list last */
	int64_t older_start_ms; /* an older start that the list names, or 0 */
	int64_t older_listed_since_us;
};

struct incarnations {
	const struct lp_clock *clock;
	GHashTable *current_by_id; /* id -> struct incarnation */
};

struct incarnations *incarnations_create(const struct lp_clock *clock)
{
	struct incarnations *lives = g_new0(struct incarnations, 1);

	lives->clock = clock;
	lives->current_by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return lives;
}

void incarnations_destroy(struct incarnations *lives)
{
	if (!lives)
		return;
	g_hash_table_unref(lives->current_by_id);
	g_free(lives);
}

static struct incarnation *add_life(struct incarnations *lives, const char *id)
{
	struct incarnation *life = g_new0(struct incarnation, 1);

	g_hash_table_insert(lives->current_by_id, g_strdup(id), life);
	return life;
}

static void begin_life(struct incarnation *life, int64_t born_ms,
		       int64_t now_us)
{
	life->born_ms = born_ms;
	life->observed_us = now_us;
	life->older_start_ms = 0;
}

/* A list names an older start. Returns whether lists have for long enough. */
static bool note_older(struct incarnation *life, int64_t born_ms,
		       int64_t now_us)
{
	if (life->older_start_ms != born_ms) {
		life->older_start_ms = born_ms;
		life->older_listed_since_us = now_us;
	}
	return now_us - life->older_listed_since_us >=
	       INCARNATIONS_CLOCK_SET_BACK_US;
}

enum incarnation_status incarnations_observe_listed(struct incarnations *lives,
						    const char *id,
						    int64_t born_ms)
{
	struct incarnation *life =
		g_hash_table_lookup(lives->current_by_id, id);
	int64_t now_us = lp_now_us(lives->clock);
	bool known = life != NULL;

	if (!known)
		life = add_life(lives, id);
	life->last_listed_us = now_us;
	if (known && born_ms < life->born_ms && born_ms &&
	    !note_older(life, born_ms, now_us))
		return INCARNATION_STALE;
	if (known && (!born_ms || born_ms == life->born_ms)) {
		life->older_start_ms = 0;
		return INCARNATION_CURRENT;
	}
	begin_life(life, born_ms, now_us);
	return INCARNATION_NEW;
}

enum incarnation_status incarnations_observe_answer(struct incarnations *lives,
						    const char *id,
						    int64_t born_ms,
						    int64_t asked_us)
{
	struct incarnation *life =
		g_hash_table_lookup(lives->current_by_id, id);

	if (!life || !life->born_ms || !born_ms || born_ms == life->born_ms)
		return INCARNATION_CURRENT;
	if (born_ms < life->born_ms && asked_us <= life->observed_us)
		return INCARNATION_STALE;
	begin_life(life, born_ms, lp_now_us(lives->clock));
	return INCARNATION_NEW;
}

void incarnations_expire(struct incarnations *lives)
{
	int64_t now_us = lp_now_us(lives->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, lives->current_by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (now_us - ((struct incarnation *)value)->last_listed_us >
		    INCARNATIONS_RETENTION_US)
			g_hash_table_iter_remove(&iter);
}
