#include "policy/losses.h"

struct losses {
	const struct lp_clock *clock;
	GArray *waiting;   /* of struct loss, the oldest first */
	GHashTable *ended; /* life -> struct ended */
};

/* A life as the list names it. One that starts again ends again before the list
 * has its new start. */
struct ended {
	int64_t at_us; /* 0: there is one again */
	int64_t noted_us;
};

/* Losses that wait at a time; the oldest yield. A host's open requests. */
#define WAITING_MAX 4096

struct losses *losses_create(const struct lp_clock *clock)
{
	struct losses *losses = g_new0(struct losses, 1);

	losses->clock = clock;
	losses->waiting = g_array_new(FALSE, FALSE, sizeof(struct loss));
	losses->ended = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	return losses;
}

void losses_destroy(struct losses *losses)
{
	if (!losses)
		return;
	g_array_unref(losses->waiting);
	g_hash_table_unref(losses->ended);
	g_free(losses);
}

static struct loss *waiting_at(const struct losses *losses, guint at)
{
	return &g_array_index(losses->waiting, struct loss, at);
}

static bool waits_for(const struct losses *losses, uint64_t life)
{
	for (guint i = 0; i < losses->waiting->len; i++)
		if (waiting_at(losses, i)->life == life)
			return true;
	return false;
}

enum losses_word losses_add(struct losses *losses, struct loss *loss)
{
	struct ended *ended = g_hash_table_lookup(losses->ended, &loss->life);
	bool waits;

	/* Sent after the end, and somebody took it. */
	if (ended && loss->began_us > ended->at_us)
		ended->at_us = 0;
	if (ended && ended->at_us) {
		loss->lost_us = MIN(loss->lost_us, ended->at_us);
		return LOSSES_ENDED;
	}
	waits = waits_for(losses, loss->life);
	if (losses->waiting->len == WAITING_MAX)
		g_array_remove_index(losses->waiting, 0);
	g_array_append_val(losses->waiting, *loss);
	return waits ? LOSSES_WAIT : LOSSES_ASK;
}

/* Take out what was lost with a life. */
static void take(struct losses *losses, uint64_t life, GArray *out)
{
	guint at = 0;

	while (at < losses->waiting->len) {
		struct loss loss = *waiting_at(losses, at);

		if (loss.life != life) {
			at++;
			continue;
		}
		g_array_append_val(out, loss);
		g_array_remove_index(losses->waiting, at);
	}
}

bool losses_ended(struct losses *losses, uint64_t life, GArray *out)
{
	struct ended *ended = g_hash_table_lookup(losses->ended, &life);
	bool is_news = !ended || !ended->at_us;

	if (!ended) {
		ended = g_new0(struct ended, 1);
		g_hash_table_insert(losses->ended,
				    g_memdup2(&life, sizeof(life)), ended);
	}
	if (is_news) {
		ended->at_us = lp_now_us(losses->clock);
		ended->noted_us = ended->at_us;
	}
	take(losses, life, out);
	return is_news;
}

void losses_forget(struct losses *losses)
{
	int64_t before_us = lp_now_us(losses->clock) - LOSSES_KEEP_US;
	GHashTableIter iter;
	gpointer value;

	while (losses->waiting->len &&
	       waiting_at(losses, 0)->lost_us < before_us)
		g_array_remove_index(losses->waiting, 0);
	g_hash_table_iter_init(&iter, losses->ended);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct ended *)value)->noted_us < before_us)
			g_hash_table_iter_remove(&iter);
}
