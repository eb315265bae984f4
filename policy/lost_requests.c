#include "policy/lost_requests.h"

/* Maximum number of unresolved lost requests, enough for all open requests of a
 * host; beyond it the oldest are dropped. */
#define UNRESOLVED_MAX 4096

struct unresolved_request {
	struct lost_request request;
	bool accepts_connections; /* its address, after the connection failed */
};

struct lost_requests {
	const struct lp_clock *clock;
	GArray *unresolved;	/* struct unresolved_request, oldest first */
	GHashTable *probed;	/* incarnation -> start of its probe */
	GHashTable *terminated; /* incarnation -> time of termination */
};

struct lost_requests *lost_requests_create(const struct lp_clock *clock)
{
	struct lost_requests *lost_requests = g_new0(struct lost_requests, 1);

	lost_requests->clock = clock;
	lost_requests->unresolved =
		g_array_new(FALSE, FALSE, sizeof(struct unresolved_request));
	lost_requests->probed = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	lost_requests->terminated = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	return lost_requests;
}

void lost_requests_destroy(struct lost_requests *lost_requests)
{
	if (!lost_requests)
		return;
	g_array_unref(lost_requests->unresolved);
	g_hash_table_unref(lost_requests->probed);
	g_hash_table_unref(lost_requests->terminated);
	g_free(lost_requests);
}

static struct unresolved_request *
unresolved_at(const struct lost_requests *lost_requests, guint at)
{
	return &g_array_index(lost_requests->unresolved,
			      struct unresolved_request, at);
}

/* Adds an incarnation with a time, unless it is in the table. Returns whether
 * it was added. */
static bool add_if_absent(GHashTable *times, uint64_t incarnation,
			  int64_t when_us)
{
	if (g_hash_table_contains(times, &incarnation))
		return false;
	g_hash_table_insert(times, g_memdup2(&incarnation, sizeof(incarnation)),
			    g_memdup2(&when_us, sizeof(when_us)));
	return true;
}

enum lost_request_status lost_requests_add(struct lost_requests *lost_requests,
					   struct lost_request *lost)
{
	const struct unresolved_request unresolved = { .request = *lost };
	const int64_t *terminated_us = g_hash_table_lookup(
		lost_requests->terminated, &lost->incarnation);

	if (terminated_us && lost->sent_us <= *terminated_us) {
		lost->lost_us = MIN(lost->lost_us, *terminated_us);
		return LOST_REQUEST_UPSTREAM_TERMINATED;
	}
	/* The request was sent after the termination, and a process took it. */
	g_hash_table_remove(lost_requests->terminated, &lost->incarnation);
	if (lost_requests->unresolved->len == UNRESOLVED_MAX)
		g_array_remove_index(lost_requests->unresolved, 0);
	g_array_append_val(lost_requests->unresolved, unresolved);
	return add_if_absent(lost_requests->probed, lost->incarnation,
			     lost->lost_us)
		       ? LOST_REQUEST_PROBE_NEEDED
		       : LOST_REQUEST_PROBE_PENDING;
}

void lost_requests_note_undetermined(struct lost_requests *lost_requests,
				     uint64_t incarnation,
				     bool accepts_connections)
{
	g_hash_table_remove(lost_requests->probed, &incarnation);
	for (guint i = 0; i < lost_requests->unresolved->len; i++)
		if (unresolved_at(lost_requests, i)->request.incarnation ==
		    incarnation)
			unresolved_at(lost_requests, i)->accepts_connections |=
				accepts_connections;
}

/* Moves the requests that count against an incarnation's termination to `out`.
 */
static void extract_terminated(struct lost_requests *lost_requests,
			       uint64_t incarnation, bool restarted,
			       GArray *out)
{
	guint at = 0;

	while (at < lost_requests->unresolved->len) {
		const struct unresolved_request *unresolved =
			unresolved_at(lost_requests, at);

		if (unresolved->request.incarnation != incarnation ||
		    (unresolved->accepts_connections && !restarted)) {
			at++;
			continue;
		}
		g_array_append_val(out, unresolved->request);
		g_array_remove_index(lost_requests->unresolved, at);
	}
}

bool lost_requests_note_termination(struct lost_requests *lost_requests,
				    uint64_t incarnation, bool restarted,
				    GArray *out)
{
	g_hash_table_remove(lost_requests->probed, &incarnation);
	extract_terminated(lost_requests, incarnation, restarted, out);
	return add_if_absent(lost_requests->terminated, incarnation,
			     lp_now_us(lost_requests->clock));
}

static void drop_before(GHashTable *times, int64_t before_us)
{
	GHashTableIter iter;
	gpointer when_us;

	g_hash_table_iter_init(&iter, times);
	while (g_hash_table_iter_next(&iter, NULL, &when_us))
		if (*(int64_t *)when_us < before_us)
			g_hash_table_iter_remove(&iter);
}

void lost_requests_expire(struct lost_requests *lost_requests)
{
	int64_t before_us =
		lp_now_us(lost_requests->clock) - LOST_REQUESTS_RETENTION_US;

	while (lost_requests->unresolved->len &&
	       unresolved_at(lost_requests, 0)->request.lost_us < before_us)
		g_array_remove_index(lost_requests->unresolved, 0);
	drop_before(lost_requests->probed, before_us);
	drop_before(lost_requests->terminated, before_us);
}
