#include "direct/direct_notices.h"

/* A limit is logged in thousandths: log lines carry whole numbers. */
#define LIMIT_LOG_SCALE 1000

struct direct_notices {
	struct direct_notices_options options;
};

static int64_t now(const struct direct_notices *notices)
{
	return lp_now_us(notices->options.clock);
}

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

	if (reply->limit == DIRECT_LIMIT_UNREADABLE) {
		log_unreadable(notices, upstream);
		return;
	}
	/* A refusal or a failure may leave out what a success says. */
	if (!word.named && !reply->is_success)
		return;
	if (rate_limit_hear(&upstream->limit, &word))
		log_limit(notices, upstream, "answer");
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
}

struct direct_notices *
direct_notices_create(const struct direct_notices_options *options)
{
	struct direct_notices *notices = g_new0(struct direct_notices, 1);

	notices->options = *options;
	return notices;
}

void direct_notices_destroy(struct direct_notices *notices)
{
	g_free(notices);
}
