#include "direct/direct_terminations.h"

#include "base/lp_timer.h"

#include "direct/direct_private.h"

/* An upstream that accepts a connection is probed once more after this delay: a
 * process that terminates may close its connections before its listener. */
#define CONFIRM_DELAY_MS 100
/* Delay before the next attempt after an attempt without a result. */
#define RETRY_DELAY_MS 1000
/* Attempts of one probe; they end within the time for which lost requests are
 * kept. */
#define ATTEMPTS_MAX 5

/* A liveness probe: attempts to connect to the address of an upstream. */
struct probe {
	struct direct_terminations *terminations;
	struct pool_upstream *upstream; /* held */
	struct http_sock *sock;		/* NULL: between two connections */
	guint timer;
	uint32_t attempts;
	bool connected_once; /* the upstream accepted a connection */
};

struct direct_terminations {
	struct direct_terminations_options options;
	struct lost_requests *lost_requests;
	GHashTable *probes; /* incarnation -> struct probe */
};

static void start_probe(struct probe *probe);

static struct direct *direct_of(const struct direct_terminations *terminations)
{
	return terminations->options.direct;
}

static void free_probe(gpointer data)
{
	struct probe *probe = data;

	if (probe->sock)
		http_sock_abort(probe->sock);
	direct_clear_timer(&probe->timer);
	pool_upstream_unref(probe->upstream);
	g_free(probe);
}

/* ---- confirmed terminations ---- */

static void log_termination(struct direct_terminations *terminations,
			    const struct pool_upstream *upstream,
			    enum direct_termination_evidence evidence,
			    const GArray *lost)
{
	static const char *const names[] = { "refused", "replaced",
					     "restarted" };
	struct direct *direct = direct_of(terminations);
	struct lp_event_log *log = direct->options.log;
	g_autofree char *label = g_strdup_printf("how=\"%s\"", names[evidence]);

	*direct_counter(direct, "linepier_upstream_ends_total", label) += 1;
	if (!lp_event_begin(log, "upstream_ended", NULL))
		return;
	lp_event_text(log, "upstream", upstream->info.id);
	lp_event_text(log, "service", upstream->info.service);
	lp_event_digest(log, "life", upstream->incarnation);
	lp_event_text(log, "how", names[evidence]);
	lp_event_int(log, "lost", lost->len);
	lp_event_int(log, "list_age_us",
		     lp_now_us(direct->options.clock) -
			     direct->upstreams_updated_us);
	lp_event_end(log);
}

static void log_lost_request(struct direct_terminations *terminations,
			     const struct pool_upstream *upstream,
			     const struct lost_request *lost)
{
	struct lp_event_log *log = direct_of(terminations)->options.log;

	if (!lp_event_begin(log, "lost_with_upstream", NULL))
		return;
	lp_event_text(log, "upstream", upstream->info.id);
	lp_event_digest(log, "content", lost->keys.items[0].digest);
	lp_event_int(log, "after_us", lost->lost_us - lost->sent_us);
	lp_event_end(log);
}

void direct_terminations_confirm(struct direct_terminations *terminations,
				 const struct pool_upstream *upstream,
				 enum direct_termination_evidence evidence)
{
	g_autoptr(GArray) lost =
		g_array_new(FALSE, FALSE, sizeof(struct lost_request));
	uint64_t incarnation = upstream->incarnation;

	if (pool_is_draining(upstream))
		return;
	if (lost_requests_note_termination(
		    terminations->lost_requests, incarnation,
		    evidence == DIRECT_TERMINATION_RESTARTED, lost) &&
	    lost->len)
		log_termination(terminations, upstream, evidence, lost);
	for (guint i = 0; i < lost->len; i++)
		log_lost_request(terminations, upstream,
				 &g_array_index(lost, struct lost_request, i));
	if (lost->len)
		terminations->options.terminated(
			terminations->options.userdata,
			(struct lost_request *)lost->data, lost->len);
	g_hash_table_remove(terminations->probes, &incarnation);
}

/* ---- liveness probes ---- */

/* Ends a probe that has not shown a termination. */
static void end_inconclusive(struct probe *probe, bool is_alive)
{
	struct direct_terminations *terminations = probe->terminations;
	uint64_t incarnation = probe->upstream->incarnation;

	lost_requests_note_undetermined(terminations->lost_requests,
					incarnation, is_alive);
	g_hash_table_remove(terminations->probes, &incarnation);
}

static gboolean on_retry_timer(gpointer userdata)
{
	struct probe *probe = userdata;

	probe->timer = 0;
	start_probe(probe);
	return G_SOURCE_REMOVE;
}

static void retry_probe(struct probe *probe, guint wait_ms)
{
	if (probe->sock)
		http_sock_abort(probe->sock);
	probe->sock = NULL;
	direct_clear_timer(&probe->timer);
	if (probe->attempts == ATTEMPTS_MAX)
		end_inconclusive(probe, probe->connected_once);
	else
		probe->timer = lp_timer_add(wait_ms, on_retry_timer, probe);
}

static void on_connected(void *userdata)
{
	struct probe *probe = userdata;

	if (probe->connected_once) {
		end_inconclusive(probe, true);
		return;
	}
	probe->connected_once = true;
	retry_probe(probe, CONFIRM_DELAY_MS);
}

static void on_data(void *userdata, const char *bytes, size_t size)
{
}

static void on_ended(void *userdata, int error)
{
	struct probe *probe = userdata;

	if (error == LP_ERROR_NOT_LISTENING)
		direct_terminations_confirm(probe->terminations,
					    probe->upstream,
					    DIRECT_TERMINATION_REFUSED);
	else
		retry_probe(probe, RETRY_DELAY_MS);
}

static gboolean on_timeout(gpointer userdata)
{
	struct probe *probe = userdata;

	probe->timer = 0;
	retry_probe(probe, RETRY_DELAY_MS);
	return G_SOURCE_REMOVE;
}

static void start_probe(struct probe *probe)
{
	static const struct http_sock_events events = {
		.connected = on_connected,
		.data = on_data,
		.ended = on_ended,
	};

	probe->attempts++;
	probe->sock = http_sock_connect(probe->upstream->info.address, &events,
					probe);
	if (probe->sock)
		probe->timer =
			lp_timer_add(DIRECT_CONNECT_TIMEOUT_US / LP_US_PER_MS,
				     on_timeout, probe);
	else
		retry_probe(probe, RETRY_DELAY_MS);
}

static void probe_upstream(struct direct_terminations *terminations,
			   const struct pool_upstream *upstream)
{
	struct probe *probe = g_new0(struct probe, 1);

	probe->terminations = terminations;
	probe->upstream = pool_upstream_ref((struct pool_upstream *)upstream);
	g_hash_table_replace(terminations->probes,
			     &probe->upstream->incarnation, probe);
	start_probe(probe);
}

/* ---- lost requests ---- */

bool direct_terminations_is_replaced(
	const struct direct_terminations *terminations,
	const struct pool_upstream *upstream)
{
	const struct pool_upstream *newest =
		pool_find(direct_of(terminations)->pool, upstream->info.id);

	return newest && newest != upstream;
}

void direct_terminations_add_lost_request(
	struct direct_terminations *terminations,
	const struct pool_upstream *upstream, struct lost_request lost)
{
	bool is_replaced =
		direct_terminations_is_replaced(terminations, upstream);

	lost.incarnation = upstream->incarnation;
	lost.lost_us = lp_now_us(direct_of(terminations)->options.clock);
	lost_requests_expire(terminations->lost_requests);
	if (pool_is_draining(upstream) || (!upstream->listed && !is_replaced))
		return;
	switch (lost_requests_add(terminations->lost_requests, &lost)) {
	case LOST_REQUEST_UPSTREAM_TERMINATED:
		log_lost_request(terminations, upstream, &lost);
		terminations->options.terminated(terminations->options.userdata,
						 &lost, 1);
		return;
	case LOST_REQUEST_PROBE_NEEDED:
		if (!is_replaced)
			probe_upstream(terminations, upstream);
		break;
	case LOST_REQUEST_PROBE_PENDING:
		break;
	}
	if (is_replaced)
		direct_terminations_confirm(terminations, upstream,
					    DIRECT_TERMINATION_RESTARTED);
}

struct direct_terminations *
direct_terminations_create(const struct direct_terminations_options *options)
{
	struct direct_terminations *terminations =
		g_new0(struct direct_terminations, 1);

	terminations->options = *options;
	terminations->lost_requests =
		lost_requests_create(options->direct->options.clock);
	terminations->probes = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, free_probe);
	return terminations;
}

void direct_terminations_destroy(struct direct_terminations *terminations)
{
	g_hash_table_unref(terminations->probes);
	lost_requests_destroy(terminations->lost_requests);
	g_free(terminations);
}
