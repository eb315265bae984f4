#include "direct/direct_notices.h"

#include "base/lp_timer.h"

#include <math.h>

#define KIND_LIMITS 'N'
/* upstream, whether it names a limit, requests a second, us since the answer */
#define LIMITS_TYPE "a(tbdx)"
/* Limits in one datagram. */
#define LIMITS_MAX 100
#define KIND_LEAVING 'X'
#define LEAVING_TYPE "at" /* upstreams */
/* Upstreams in one datagram. */
#define LEAVING_MAX 500
/* They are told of again after this: a datagram may be lost. */
#define LEAVING_AGAIN_MS 500
/* A limit is logged in thousandths: log lines carry whole numbers. */
#define LIMIT_LOG_SCALE 1000

struct direct_notices {
	struct direct_notices_options options;
	struct direct_peers *peers; /* NULL: nobody */
	GArray *leaving; /* lives that are told of again, of uint64_t */
	guint leaving_timer;
};

static int64_t now(const struct direct_notices *notices)
{
	return lp_now_us(notices->options.clock);
}

/* ---- telling ---- */

static void add_limit(const struct direct_notices *notices,
		      const struct pool_upstream *upstream,
		      GVariantBuilder *limits)
{
	const struct rate_limit *limit = &upstream->limit;

	g_variant_builder_add(limits, "(tbdx)", (guint64)upstream->life,
			      (gboolean)limit->named, limit->per_s,
			      (gint64)(now(notices) - limit->heard_us));
}

static void tell_limit(struct direct_notices *notices,
		       struct pool_upstream *upstream)
{
	GVariantBuilder limits;

	upstream->limit.told_us = now(notices);
	if (!notices->peers)
		return;
	g_variant_builder_init(&limits, G_VARIANT_TYPE(LIMITS_TYPE));
	add_limit(notices, upstream, &limits);
	direct_peers_send_all(notices->peers, KIND_LIMITS,
			      g_variant_builder_end(&limits));
}

static GVariant *write_leaving(const GArray *lives)
{
	return g_variant_new_fixed_array(G_VARIANT_TYPE_UINT64, lives->data,
					 MIN(lives->len, LEAVING_MAX),
					 sizeof(uint64_t));
}

static gboolean on_leaving_again(gpointer userdata)
{
	struct direct_notices *notices = userdata;

	notices->leaving_timer = 0;
	if (notices->peers)
		direct_peers_send_all(notices->peers, KIND_LEAVING,
				      write_leaving(notices->leaving));
	g_array_set_size(notices->leaving, 0);
	return G_SOURCE_REMOVE;
}

static void tell_leaving(struct direct_notices *notices,
			 const struct pool_upstream *upstream)
{
	g_array_append_val(notices->leaving, upstream->life);
	if (notices->peers)
		direct_peers_send_all(notices->peers, KIND_LEAVING,
				      write_leaving(notices->leaving));
	if (!notices->leaving_timer)
		notices->leaving_timer = lp_timer_add(
			LEAVING_AGAIN_MS, on_leaving_again, notices);
}

static void greet_with_leaving(struct direct_notices *notices, uint64_t peer)
{
	g_autoptr(GPtrArray) leaving = pool_said_leaving(notices->options.pool);
	g_autoptr(GArray) lives = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_autoptr(GVariant) body = NULL;

	for (guint i = 0; i < leaving->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(leaving, i);

		g_array_append_val(lives, upstream->life);
	}
	if (!lives->len)
		return;
	body = g_variant_ref_sink(write_leaving(lives));
	direct_peers_send(notices->peers, peer, KIND_LEAVING, body);
}

/* All that are named, so that who has just started keeps to them. */
static void greet_with_limits(struct direct_notices *notices, uint64_t peer)
{
	g_autoptr(GPtrArray) limited = pool_limited(notices->options.pool);
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

static void on_met(void *userdata, uint64_t peer)
{
	greet_with_limits(userdata, peer);
	greet_with_leaving(userdata, peer);
}

/* ---- learning ---- */

static void log_limit(const struct direct_notices *notices,
		      const struct pool_upstream *upstream, const char *source)
{
	const struct rate_limit *limit = &upstream->limit;
	struct lp_event_log *log = notices->options.log;

	*lp_counter(notices->options.counters, "linepier_upstream_limits_total",
		    limit->named ? "outcome=\"named\"" : "outcome=\"ended\"") +=
		1;
	if (!lp_event_begin(log, "upstream_limit", NULL))
		return;
	lp_event_text(log, "upstream", upstream->entry.id);
	lp_event_text(log, "service", upstream->entry.service);
	lp_event_text(log, "outcome", limit->named ? "named" : "ended");
	lp_event_int(log, "per_1000_s",
		     (int64_t)(limit->per_s * LIMIT_LOG_SCALE));
	lp_event_text(log, "source", source);
	lp_event_int(log, "age_us", now(notices) - limit->heard_us);
	lp_event_end(log);
}

static void log_unreadable(const struct direct_notices *notices,
			   const struct pool_upstream *upstream)
{
	struct lp_event_log *log = notices->options.log;

	if (!lp_event_begin(log, "upstream_limit", NULL))
		return;
	lp_event_text(log, "upstream", upstream->entry.id);
	lp_event_text(log, "outcome", "unreadable");
	lp_event_end(log);
}

static void hear_limit(struct direct_notices *notices,
		       struct pool_upstream *upstream,
		       const struct direct_reply *reply)
{
	struct rate_limit_word word = {
		.named = reply->limit == DIRECT_LIMIT_NAMED,
		.per_s = reply->limit_per_s,
		.heard_us = now(notices),
	};
	bool changed;

	if (reply->limit == DIRECT_LIMIT_UNREADABLE) {
		log_unreadable(notices, upstream);
		return;
	}
	/* A refusal or a failure may leave out what a success says. */
	if (!word.named && !reply->is_success)
		return;
	changed = pool_heard_limit(notices->options.pool, upstream, &word);
	if (changed)
		log_limit(notices, upstream, "answer");
	if (changed ||
	    rate_limit_is_to_be_told(&upstream->limit, word.heard_us))
		tell_limit(notices, upstream);
}

static void log_leaving(const struct direct_notices *notices,
			const struct pool_upstream *upstream,
			const char *source)
{
	struct lp_event_log *log = notices->options.log;

	*lp_counter(notices->options.counters,
		    "linepier_upstream_leaving_total", NULL) += 1;
	if (!lp_event_begin(log, "upstream_leaving", NULL))
		return;
	lp_event_text(log, "upstream", upstream->entry.id);
	lp_event_text(log, "service", upstream->entry.service);
	lp_event_text(log, "source", source);
	lp_event_text(log, "listed",
		      upstream->entry.leaving ? "leaving" : "ready");
	lp_event_int(log, "in_flight", upstream->in_flight);
	lp_event_end(log);
}

static void hear_leaving(struct direct_notices *notices,
			 struct pool_upstream *upstream)
{
	if (!pool_heard_leaving(notices->options.pool, upstream))
		return;
	log_leaving(notices, upstream, "answer");
	tell_leaving(notices, upstream);
}

void direct_notices_hear(struct direct_notices *notices,
			 struct pool_upstream *upstream,
			 const struct direct_reply *reply)
{
	/* Another process, or an answer to somebody else, says nothing of it.
	 */
	if (reply->other_process || !reply->is_ours)
		return;
	hear_limit(notices, upstream, reply);
	if (reply->leaving)
		hear_leaving(notices, upstream);
	if (reply->rest_us)
		pool_heard_rest(notices->options.pool, upstream,
				reply->rest_us);
}

static void take_told(struct direct_notices *notices, uint64_t peer,
		      struct pool_upstream *upstream,
		      const struct rate_limit_word *word)
{
	if (pool_heard_limit(notices->options.pool, upstream, word))
		log_limit(notices, upstream,
			  direct_peers_ip(notices->peers, peer));
	/* Whoever told us has told the others. */
	if (upstream->limit.heard_us == word->heard_us)
		upstream->limit.told_us = now(notices);
}

static void on_limits(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_notices *notices = userdata;
	GVariantIter iter;
	guint64 life;
	gboolean named;
	gdouble per_s;
	gint64 age_us;

	g_variant_iter_init(&iter, body);
	while (g_variant_iter_next(&iter, "(tbdx)", &life, &named, &per_s,
				   &age_us)) {
		struct rate_limit_word word = {
			.named = named,
			.per_s = per_s,
			.heard_us = now(notices) - MAX(age_us, 0),
		};
		struct pool_upstream *upstream =
			pool_find_life(notices->options.pool, life);

		if (upstream && isfinite(per_s) && per_s >= 0)
			take_told(notices, peer, upstream, &word);
	}
}

static void on_leaving(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_notices *notices = userdata;
	struct pool *pool = notices->options.pool;
	gsize count;
	const uint64_t *lives =
		g_variant_get_fixed_array(body, &count, sizeof(uint64_t));

	for (gsize i = 0; i < count; i++) {
		struct pool_upstream *upstream = pool_find_life(pool, lives[i]);

		if (upstream && pool_heard_leaving(pool, upstream))
			log_leaving(notices, upstream,
				    direct_peers_ip(notices->peers, peer));
	}
}

/* ---- start and end ---- */

void direct_notices_set_peers(struct direct_notices *notices,
			      struct direct_peers *peers)
{
	notices->peers = peers;
	if (!peers)
		return;
	direct_peers_listen(peers, KIND_LIMITS, LIMITS_TYPE, on_limits,
			    notices);
	direct_peers_listen(peers, KIND_LEAVING, LEAVING_TYPE, on_leaving,
			    notices);
	direct_peers_on_discovered(peers, on_met, notices);
}

struct direct_notices *
direct_notices_create(const struct direct_notices_options *options)
{
	struct direct_notices *notices = g_new0(struct direct_notices, 1);

	notices->options = *options;
	notices->leaving = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return notices;
}

void direct_notices_destroy(struct direct_notices *notices)
{
	if (!notices)
		return;
	if (notices->leaving_timer)
		g_source_remove(notices->leaving_timer);
	g_array_unref(notices->leaving);
	g_free(notices);
}
