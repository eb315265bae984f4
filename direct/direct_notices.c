#include "direct/direct_notices.h"

#include "base/lp_timer.h"

#include <math.h>

#define KIND_LIMITS 'N'
/* incarnation, whether a limit is advertised, requests a second, us since the
 * answer that said so */
#define LIMITS_TYPE "a(tbdx)"
/* Limits per datagram. */
#define LIMITS_MAX 100
#define KIND_DRAINING 'X'
#define DRAINING_TYPE "at" /* incarnations */
/* Incarnations per datagram. */
#define DRAINING_MAX 500
/* Drain notices are sent once more after this time: a datagram may be lost. */
#define DRAINING_RESEND_MS 500
/* Limits are logged in thousandths, since log fields are integers. */
#define LIMIT_LOG_SCALE 1000

struct direct_notices {
	struct direct_notices_options options;
	struct direct_peers *peers; /* NULL: no peers */
	GArray *draining; /* of uint64_t: incarnations to send once more */
	guint resend_timer;
};

static int64_t now_us(const struct direct_notices *notices)
{
	return lp_now_us(notices->options.clock);
}

/* ---- sending to peers ---- */

static void add_limit(const struct direct_notices *notices,
		      const struct pool_upstream *upstream,
		      GVariantBuilder *limits)
{
	const struct rate_limit *limit = &upstream->rate_limit;

	g_variant_builder_add(limits, "(tbdx)", (guint64)upstream->incarnation,
			      (gboolean)limit->advertised, limit->per_s,
			      (gint64)(now_us(notices) - limit->answered_us));
}

static void send_limit(struct direct_notices *notices,
		       struct pool_upstream *upstream)
{
	GVariantBuilder limits;

	upstream->rate_limit.broadcast_us = now_us(notices);
	if (!notices->peers)
		return;
	g_variant_builder_init(&limits, G_VARIANT_TYPE(LIMITS_TYPE));
	add_limit(notices, upstream, &limits);
	direct_peers_send_all(notices->peers, KIND_LIMITS,
			      g_variant_builder_end(&limits));
}

static GVariant *write_draining(const GArray *incarnations)
{
	return g_variant_new_fixed_array(
		G_VARIANT_TYPE_UINT64, incarnations->data,
		MIN(incarnations->len, DRAINING_MAX), sizeof(uint64_t));
}

static gboolean on_resend_draining(gpointer userdata)
{
	struct direct_notices *notices = userdata;

	notices->resend_timer = 0;
	if (notices->peers)
		direct_peers_send_all(notices->peers, KIND_DRAINING,
				      write_draining(notices->draining));
	g_array_set_size(notices->draining, 0);
	return G_SOURCE_REMOVE;
}

static void send_draining(struct direct_notices *notices,
			  const struct pool_upstream *upstream)
{
	g_array_append_val(notices->draining, upstream->incarnation);
	if (notices->peers)
		direct_peers_send_all(notices->peers, KIND_DRAINING,
				      write_draining(notices->draining));
	if (!notices->resend_timer)
		notices->resend_timer = lp_timer_add(
			DRAINING_RESEND_MS, on_resend_draining, notices);
}

static void send_draining_to_peer(struct direct_notices *notices, uint64_t peer)
{
	g_autoptr(GPtrArray) draining =
		pool_list_drain_notices(notices->options.pool);
	g_autoptr(GArray) incarnations =
		g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_autoptr(GVariant) body = NULL;

	for (guint i = 0; i < draining->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(draining, i);

		g_array_append_val(incarnations, upstream->incarnation);
	}
	if (!incarnations->len)
		return;
	body = g_variant_ref_sink(write_draining(incarnations));
	direct_peers_send(notices->peers, peer, KIND_DRAINING, body);
}

/* Sends all advertised limits, so that an entry that has just started observes
 * them. */
static void send_limits_to_peer(struct direct_notices *notices, uint64_t peer)
{
	g_autoptr(GPtrArray) limited =
		pool_list_rate_limited(notices->options.pool);
	guint count = MIN(limited->len, LIMITS_MAX);
	g_autoptr(GVariant) body = NULL;
	GVariantBuilder limits;

	if (!count)
		return;
	g_variant_builder_init(&limits, G_VARIANT_TYPE(LIMITS_TYPE));
	for (guint i = 0; i < count; i++)
		add_limit(notices, g_ptr_array_index(limited, i), &limits);
	body = g_variant_ref_sink(g_variant_builder_end(&limits));
	direct_peers_send(notices->peers, peer, KIND_LIMITS, body);
}

static void on_peer_discovered(void *userdata, uint64_t peer)
{
	send_limits_to_peer(userdata, peer);
	send_draining_to_peer(userdata, peer);
}

/* ---- receiving ---- */

static void log_limit(const struct direct_notices *notices,
		      const struct pool_upstream *upstream, const char *source)
{
	const struct rate_limit *limit = &upstream->rate_limit;
	struct lp_event_log *log = notices->options.log;

	*lp_counter(notices->options.counters, "linepier_upstream_limits_total",
		    limit->advertised ? "outcome=\"named\""
				      : "outcome=\"ended\"") += 1;
	if (!lp_event_begin(log, "upstream_limit", NULL))
		return;
	lp_event_text(log, "upstream", upstream->info.id);
	lp_event_text(log, "service", upstream->info.service);
	lp_event_text(log, "outcome", limit->advertised ? "named" : "ended");
	lp_event_int(log, "per_1000_s",
		     (int64_t)(limit->per_s * LIMIT_LOG_SCALE));
	lp_event_text(log, "source", source);
	lp_event_int(log, "age_us", now_us(notices) - limit->answered_us);
	lp_event_end(log);
}

static void log_unreadable(const struct direct_notices *notices,
			   const struct pool_upstream *upstream)
{
	struct lp_event_log *log = notices->options.log;

	if (!lp_event_begin(log, "upstream_limit", NULL))
		return;
	lp_event_text(log, "upstream", upstream->info.id);
	lp_event_text(log, "outcome", "unreadable");
	lp_event_end(log);
}

static void receive_limit(struct direct_notices *notices,
			  struct pool_upstream *upstream,
			  const struct direct_reply *reply)
{
	struct rate_limit_report notice = {
		.advertised = reply->limit == DIRECT_LIMIT_ADVERTISED,
		.per_s = reply->limit_per_s,
		.answered_us = now_us(notices),
	};
	bool changed;

	if (reply->limit == DIRECT_LIMIT_UNREADABLE) {
		log_unreadable(notices, upstream);
		return;
	}
	/* A refusal or a failure may omit the limit; only a success without one
	 * means that there is none. */
	if (!notice.advertised && !reply->is_success)
		return;
	changed =
		pool_note_rate_limit(notices->options.pool, upstream, &notice);
	if (changed)
		log_limit(notices, upstream, "answer");
	if (changed || rate_limit_needs_broadcast(&upstream->rate_limit,
						  notice.answered_us))
		send_limit(notices, upstream);
}

static void log_draining(const struct direct_notices *notices,
			 const struct pool_upstream *upstream,
			 const char *source)
{
	struct lp_event_log *log = notices->options.log;

	*lp_counter(notices->options.counters,
		    "linepier_upstream_leaving_total", NULL) += 1;
	if (!lp_event_begin(log, "upstream_leaving", NULL))
		return;
	lp_event_text(log, "upstream", upstream->info.id);
	lp_event_text(log, "service", upstream->info.service);
	lp_event_text(log, "source", source);
	lp_event_text(log, "listed",
		      upstream->info.draining ? "leaving" : "ready");
	lp_event_int(log, "in_flight", upstream->in_flight);
	lp_event_end(log);
}

static void receive_draining(struct direct_notices *notices,
			     struct pool_upstream *upstream)
{
	if (!pool_note_drain_notice(notices->options.pool, upstream))
		return;
	log_draining(notices, upstream, "answer");
	send_draining(notices, upstream);
}

void direct_notices_receive(struct direct_notices *notices,
			    struct pool_upstream *upstream,
			    const struct direct_reply *reply)
{
	/* An answer of another process, or to another request, is no statement
	 * of this upstream. */
	if (reply->other_process || !reply->matches_request)
		return;
	receive_limit(notices, upstream, reply);
	if (reply->work_time_percent)
		pool_note_host_load(notices->options.pool, upstream,
				    reply->work_time_percent);
	if (reply->draining)
		receive_draining(notices, upstream);
	if (reply->pushback_us)
		pool_note_pushback(notices->options.pool, upstream,
				   reply->pushback_us);
}

static void apply_peer_limit(struct direct_notices *notices, uint64_t peer,
			     struct pool_upstream *upstream,
			     const struct rate_limit_report *notice)
{
	if (pool_note_rate_limit(notices->options.pool, upstream, notice))
		log_limit(notices, upstream,
			  direct_peers_ip(notices->peers, peer));
	/* The peer has sent the limit to all other entries, too. */
	if (upstream->rate_limit.answered_us == notice->answered_us)
		upstream->rate_limit.broadcast_us = now_us(notices);
}

static void on_limits(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_notices *notices = userdata;
	GVariantIter iter;
	guint64 incarnation;
	gboolean advertised;
	gdouble per_s;
	gint64 age_us;

	g_variant_iter_init(&iter, body);
	while (g_variant_iter_next(&iter, "(tbdx)", &incarnation, &advertised,
				   &per_s, &age_us)) {
		struct rate_limit_report notice = {
			.advertised = advertised,
			.per_s = per_s,
			.answered_us = now_us(notices) - MAX(age_us, 0),
		};
		struct pool_upstream *upstream = pool_find_incarnation(
			notices->options.pool, incarnation);

		if (upstream && isfinite(per_s) && per_s >= 0)
			apply_peer_limit(notices, peer, upstream, &notice);
	}
}

static void on_draining(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_notices *notices = userdata;
	struct pool *pool = notices->options.pool;
	gsize count;
	const uint64_t *incarnations =
		g_variant_get_fixed_array(body, &count, sizeof(uint64_t));

	for (gsize i = 0; i < count; i++) {
		struct pool_upstream *upstream =
			pool_find_incarnation(pool, incarnations[i]);

		if (upstream && pool_note_drain_notice(pool, upstream))
			log_draining(notices, upstream,
				     direct_peers_ip(notices->peers, peer));
	}
}

/* ---- creation ---- */

void direct_notices_set_peers(struct direct_notices *notices,
			      struct direct_peers *peers)
{
	notices->peers = peers;
	if (!peers)
		return;
	direct_peers_listen(peers, KIND_LIMITS, LIMITS_TYPE, on_limits,
			    notices);
	direct_peers_listen(peers, KIND_DRAINING, DRAINING_TYPE, on_draining,
			    notices);
	direct_peers_on_discovered(peers, on_peer_discovered, notices);
}

struct direct_notices *
direct_notices_create(const struct direct_notices_options *options)
{
	struct direct_notices *notices = g_new0(struct direct_notices, 1);

	notices->options = *options;
	notices->draining = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return notices;
}

void direct_notices_destroy(struct direct_notices *notices)
{
	if (!notices)
		return;
	if (notices->resend_timer)
		g_source_remove(notices->resend_timer);
	g_array_unref(notices->draining);
	g_free(notices);
}
