#include "policy/lost_requests.h"

/* Losses that wait at a time; the oldest yield. A host's open requests. */
#define WAITING_MAX 4096

struct unresolved_loss {
	struct lost_request request;
	bool accepts_connections; /* after it, someone took connections there */
};

struct lost_requests {
	const struct lp_clock *clock;
	GArray *unresolved; /* of struct unresolved_loss, the oldest first */
	GHashTable *probed; /* life that is asked about -> since when */
	GHashTable *terminated; /* life -> when */
};

struct lost_requests *lost_requests_create(const struct lp_clock *clock)
{
	struct lost_requests *losses = g_new0(struct lost_requests, 1);

	losses->clock = clock;
	losses->unresolved =
		g_array_new(FALSE, FALSE, sizeof(struct unresolved_loss));
	losses->probed = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	losses->terminated = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);
	return losses;
}

void lost_requests_destroy(struct lost_requests *losses)
{
	if (!losses)
		return;
	g_array_unref(losses->unresolved);
	g_hash_table_unref(losses->probed);
	g_hash_table_unref(losses->terminated);
	g_free(losses);
}

static struct unresolved_loss *waiting_at(const struct lost_requests *losses,
					  guint at)
{
	return &g_array_index(losses->unresolved, struct unresolved_loss, at);
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
	const struct unresolved_loss waiting = { .request = *loss };
	const int64_t *ended_us =
		g_hash_table_lookup(losses->terminated, &loss->incarnation);

	if (ended_us && loss->sent_us <= *ended_us) {
		loss->lost_us = MIN(loss->lost_us, *ended_us);
		return LOST_REQUEST_UPSTREAM_TERMINATED;
	}
	/* Sent after the end, and somebody took it. */
	g_hash_table_remove(losses->terminated, &loss->incarnation);
	if (losses->unresolved->len == WAITING_MAX)
		g_array_remove_index(losses->unresolved, 0);
	g_array_append_val(losses->unresolved, waiting);
	return note(losses->probed, loss->incarnation, loss->lost_us)
		       ? LOST_REQUEST_PROBE_NEEDED
		       : LOST_REQUEST_PROBE_PENDING;
}

void lost_requests_note_undetermined(struct lost_requests *losses,
				     uint64_t life, bool seen_alive)
{
	g_hash_table_remove(losses->probed, &life);
	for (guint i = 0; i < losses->unresolved->len; i++)
		if (waiting_at(losses, i)->request.incarnation == life)
			waiting_at(losses, i)->accepts_connections |=
				seen_alive;
}

/* Take out what counts of what was lost with a life. */
static void take(struct lost_requests *losses, uint64_t life, bool restarted,
		 GArray *out)
{
	guint at = 0;

	while (at < losses->unresolved->len) {
		const struct unresolved_loss *waiting = waiting_at(losses, at);

		if (waiting->request.incarnation != life ||
		    (waiting->accepts_connections && !restarted)) {
			at++;
			continue;
		}
		g_array_append_val(out, waiting->request);
		g_array_remove_index(losses->unresolved, at);
	}
}

bool lost_requests_note_termination(struct lost_requests *losses, uint64_t life,
				    bool restarted, GArray *out)
{
	g_hash_table_remove(losses->probed, &life);
	take(losses, life, restarted, out);
	return note(losses->terminated, life, lp_now_us(losses->clock));
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

	while (losses->unresolved->len &&
	       waiting_at(losses, 0)->request.lost_us < before_us)
		g_array_remove_index(losses->unresolved, 0);
	drop_before(losses->probed, before_us);
	drop_before(losses->terminated, before_us);
}
