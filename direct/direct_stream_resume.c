/** Streams that have begun and lost their upstream: their time limit. */
#include "direct/direct_request.h"

#include "base/lp_timer.h"
#include "policy/stream_resume.h"

/* Least time from sending a request to an engine until its next event. */
#define ENGINE_MIN_US (50 * LP_US_PER_MS)

/* A caller does not wait for the next event while it has not taken the last. */
static int64_t last_event_us(const struct direct_request *request)
{
	return request->answer_begun && http_call_unsent_bytes(request->call)
		       ? direct_request_now_us(request)
		       : request->last_event_us;
}

static struct stream_resume describe(const struct direct_request *request)
{
	return (struct stream_resume){
		.last_event_us = last_event_us(request),
		.target_us = request->route->target_us,
		.gap_us = request->route->gap_us,
		.deadline_us = request->deadline_us,
	};
}

int64_t direct_stream_resume_limit_us(const struct direct_request *request)
{
	const struct stream_resume stream = describe(request);

	return stream_resume_limit_us(&stream);
}

bool direct_stream_resume_is_possible(const struct direct_request *request)
{
	const struct stream_resume stream = describe(request);
	int64_t needed_us = ENGINE_MIN_US;

	if (request->graph)
		needed_us += direct_stage_plan_least_us(request);
	return stream_resume_is_possible(
		&stream, direct_request_now_us(request), needed_us);
}

/* `why`: of an outcome other than "continued"; may be NULL. */
static void log_outcome(struct direct_request *request, const char *outcome,
			const char *why)
{
	struct lp_event_log *log = request->direct->options.log;
	int64_t now_us = direct_request_now_us(request);

	if (!lp_event_begin(log, "resume", request->id))
		return;
	lp_event_text(log, "outcome", outcome);
	if (why)
		lp_event_text(log, "why", why);
	lp_event_text(log, "after_event",
		      request->last_event_id ? request->last_event_id : "");
	lp_event_int(log, "event_age_us", now_us - request->last_event_us);
	lp_event_int(log, "limit_us",
		     direct_stream_resume_limit_us(request) -
			     request->last_event_us);
	lp_event_int(log, "took_us", now_us - request->resume_began_us);
	lp_event_int(log, "sendings", request->sendings);
	lp_event_end(log);
}

static void set_limit_timer(struct direct_request *request);

static gboolean on_limit(gpointer userdata)
{
	struct direct_request *request = userdata;

	request->resume_timer = 0;
	if (http_call_unsent_bytes(request->call)) {
		set_limit_timer(request);
		return G_SOURCE_REMOVE;
	}
	direct_stream_resume_end(request, "late", "limit");
	direct_request_abort(request, "resume_late");
	return G_SOURCE_REMOVE;
}

static void set_limit_timer(struct direct_request *request)
{
	int64_t left_us = direct_stream_resume_limit_us(request) -
			  direct_request_now_us(request);

	request->resume_timer = lp_timer_add(
		(guint)(MAX(left_us, 0) / LP_US_PER_MS), on_limit, request);
}

void direct_stream_resume_begin(struct direct_request *request)
{
	if (request->resume_began_us)
		return;
	request->resume_began_us = direct_request_now_us(request);
	set_limit_timer(request);
}

void direct_stream_resume_end(struct direct_request *request,
			      const char *outcome, const char *why)
{
	g_autofree char *labels = NULL;

	direct_clear_timer(&request->resume_timer);
	if (!request->resume_began_us)
		return;
	labels = g_strdup_printf("outcome=\"%s\"", outcome);
	*direct_counter(request->direct, "linepier_stream_resumes_total",
			labels) += 1;
	log_outcome(request, outcome, why);
	request->resume_began_us = 0;
}

bool direct_stream_resume_check(struct direct_request *request)
{
	if (!request->resume_began_us ||
	    direct_stream_resume_is_possible(request))
		return true;
	direct_stream_resume_end(request, "late", "needs_longer");
	direct_request_abort(request, "resume_late");
	return false;
}
