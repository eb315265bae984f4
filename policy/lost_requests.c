#include "policy/lost_requests.h"

/* Losses that wait at a time; the oldest yield. A host's open requests. */
#define WAITING_MAX 4096

struct unresolved_loss {
	struct lost_request loss;
	bool seen_alive; /* after it, someone took connections there */
};

struct lost_requests {
	const struct lp_clock *clock;
	GArray *waiting;   /* of struct unresolved_loss, the oldest first */
	GHashTable *asked; /* life that is asked about -> since when */
	GHashTable *ended; /* life -> when */
};

struct lost_requests *lost_requests_create(const struct lp_clock *clock)
{
	struct lost_requests *losses = g_new0(struct lost_requests, 1);

	losses->clock = clock;
	losses->waiting =
		g_array_new(FALSE, FALSE, sizeof(struct unresolved_loss));
	losses->asked = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	losses->ended = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	return losses;
}

void lost_requests_destroy(struct lost_requests *losses)
{
	if (!losses)
		return;
	g_array_unref(losses->waiting);
	g_hash_table_unref(losses->asked);
	g_hash_table_unref(losses->ended);
	g_free(losses);
}

static struct unresolved_loss *waiting_at(const struct lost_requests *losses,
					  guint at)
{
	return &g_array_index(losses->waiting, struct unresolved_loss, at);
}

/* Returns whether it was not noted yet. */
static bool note(GHashTable *lives, uint64_t life, int64_t when_us)
{
	if (g_hash_table_contains(lives, &life))
		return false;
	g_hash_table_insert(lives, g_memdup2(&life, sizeof(life)),
			    g_memdup2(&when_us, sizeof(when_us)));
	return true;
}

enum lost_request_status lost_requests_add(struct lost_requests *losses,
					   struct lost_request *loss)
{
	const struct unresolved_loss waiting = { .loss = *loss };
	const int64_t *ended_us =
		g_hash_table_lookup(losses->ended, &loss->life);

	if (ended_us && loss->began_us <= *ended_us) {
		loss->lost_us = MIN(loss->lost_us, *ended_us);
		return LOST_REQUEST_UPSTREAM_TERMINATED;
	}
	/* Sent after the end, and somebody took it. */
	g_hash_table_remove(losses->ended, &loss->life);
	if (losses->waiting->len == WAITING_MAX)
		g_array_remove_index(losses->waiting, 0);
	g_array_append_val(losses->waiting, waiting);
	return note(losses->asked, loss->life, loss->lost_us)
		       ? LOST_REQUEST_PROBE_NEEDED
		       : LOST_REQUEST_PROBE_PENDING;
}

void lost_requests_note_undetermined(struct lost_requests *losses,
				     uint64_t life, bool seen_alive)
{
	g_hash_table_remove(losses->asked, &life);
	for (guint i = 0; i < losses->waiting->len; i++)
		if (waiting_at(losses, i)->loss.life == life)
			waiting_at(losses, i)->seen_alive |= seen_alive;
}

/* Take out what counts of what was lost with a life. */
static void take(struct lost_requests *losses, uint64_t life, bool restarted,
		 GArray *out)
{
	guint at = 0;

	while (at < losses->waiting->len) {
		const struct unresolved_loss *waiting = waiting_at(losses, at);

		if (waiting->loss.life != life ||
		    (waiting->seen_alive && !restarted)) {
			at++;
			continue;
		}
		g_array_append_val(out, waiting->loss);
		g_array_remove_index(losses->waiting, at);
	}
}

bool lost_requests_note_termination(struct lost_requests *losses, uint64_t life,
				    bool restarted, GArray *out)
{
	g_hash_table_remove(losses->asked, &life);
	take(losses, life, restarted, out);
	return note(losses->ended, life, lp_now_us(losses->clock));
}

static void drop_before(GHashTable *lives, int64_t before_us)
{
	GHashTableIter iter;
	gpointer when_us;

	g_hash_table_iter_init(&iter, lives);
	while (g_hash_table_iter_next(&iter, NULL, &when_us))
		if (*(int64_t *)when_us < before_us)
			g_hash_table_iter_remove(&iter);
}

void lost_requests_expire(struct lost_requests *losses)
{
	int64_t before_us =
		lp_now_us(losses->clock) - LOST_REQUESTS_RETENTION_US;

	while (losses->waiting->len &&
	       waiting_at(losses, 0)->loss.lost_us < before_us)
		g_array_remove_index(losses->waiting, 0);
	drop_before(losses->asked, before_us);
	drop_before(losses->ended, before_us);
}
