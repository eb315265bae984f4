/** Sends a request to upstreams and handles their answers. */
#include "base/lp_timer.h"
#include "direct/direct_answer_flow.h"
#include "direct/direct_delivery.h"
#include "direct/direct_excess.h"
#include "direct/direct_request.h"

#include <string.h>

/* A request is sent again only if this much time is left until its deadline. */
#define RETRY_TIME_MIN_US (50 * LP_US_PER_MS)
/* Interval at which a resumed stream looks for an engine while all of them are
 * limited. */
#define PLACEMENT_RETRY_MS 20
/* Urgency of a resumed stream at its engine: before all priorities. */
#define RESUMED_PRIORITY (-1)
/* An event ends with two line ends, CR LF at the longest. */
#define EVENT_END_BYTES_MAX 4
/* A stream with a longer event id is not resumed, as upstreams might refuse the
 * field with it. */
#define EVENT_ID_BYTES_MAX 1024
/* A buffer that is larger is freed once it is empty. */
#define EMPTY_BUFFER_BYTES_MAX 65536

void direct_sending_record_lost(struct direct_request *request)
{
	request->lost_sendings++;
	direct_request_report_lost(request);
}

void direct_sending_end(struct direct_request *request,
			enum pool_outcome outcome)
{
	struct pool_upstream *upstream = request->upstream;

	direct_stall_end(request, outcome);
	direct_clear_timer(&request->placement_timer);
	if (request->placement_query)
		direct_placement_cancel(request->direct->placement,
					request->placement_query);
	request->placement_query = 0;
	if (request->exchange)
		http_exchange_cancel(request->exchange);
	request->exchange = NULL;
	request->is_upstream_paused = false;
	if (!upstream)
		return;
	upstream->in_flight--;
	if (!request->upstream_responded)
		upstream->pending_prefill_tokens -= request->cold_tokens;
	pool_record_outcome(request->direct->pool, upstream, outcome, 0, 0);
	if (request->placement.placer)
		direct_placement_report_end(request->direct->placement,
					    &request->placement, outcome);
	pool_upstream_unref(upstream);
	request->upstream = NULL;
}

/* ---- query to the pool ---- */

static const char *producer_domain(void *userdata, uint64_t producer)
{
	const struct pool *pool = userdata;
	const struct pool_upstream *upstream =
		pool_find_incarnation(pool, producer);

	return upstream ? upstream->info.domain : NULL;
}

/* The latest time at which the next event of a request is on time. */
static int64_t event_due_us(const struct direct_request *request)
{
	return direct_request_is_resumed(request)
		       ? direct_stream_resume_limit_us(request)
		       : request->arrived_us + request->route->target_us;
}

void direct_sending_fill_pick_args(const struct direct_request *request,
				   struct pool_pick_args *pick_args)
{
	*pick_args = (struct pool_pick_args){
		.service = request->service,
		.allowed_regions = request->allowed_regions,
		.blocks = (struct pool_prefix_block *)
				  request->info.prefix_blocks->data,
		.blocks_count = request->info.prefix_blocks->len,
		.tried = (const char *const *)request->tried_upstreams->pdata,
		.tried_count = request->tried_upstreams->len,
		.target_us =
			event_due_us(request) - direct_request_now_us(request),
		.version_id = request->version_id,
	};
	direct_stages_set_shard(request->direct->stages, pick_args);
	if (request->graph)
		pick_args->preferred_domain = graph_main_domain(
			request->graph, producer_domain, request->direct->pool,
			&pick_args->fetch_bytes);
	/* The target time has passed already. */
	if (pick_args->target_us < 0)
		pick_args->target_us = 0;
}

/* ---- after a sending ---- */

static void log_budget_spent(struct direct_request *request)
{
	struct lp_event_log *log = request->direct->options.log;
	struct retry_budget_view view;

	if (!lp_event_begin(log, "retry_budget", request->id))
		return;
	retry_budget_get_view(request->direct->retry_budget, request->service,
			      &view);
	lp_event_text(log, "outcome", "spent");
	lp_event_text(log, "service", request->service);
	lp_event_int(log, "requests", view.requests);
	lp_event_int(log, "retries", view.retries);
	lp_event_int(log, "slack_milli", (int64_t)(view.slack * 1000));
	lp_event_int(log, "slack_left_milli",
		     (int64_t)(view.slack_left * 1000));
	lp_event_int(log, "up_us",
		     direct_request_now_us(request) -
			     request->direct->started_us);
	lp_event_end(log);
}

bool direct_sending_take_budget(void *userdata)
{
	struct direct_request *request = userdata;
	bool taken = retry_budget_take(request->direct->retry_budget,
				       request->service);
	g_autofree char *labels =
		g_strdup_printf("budget=\"%s\",service=\"%s\"",
				taken ? "taken" : "spent", request->service);

	*direct_counter(request->direct, "linepier_retries_total", labels) += 1;
	if (!taken)
		log_budget_spent(request);
	return taken;
}

void direct_sending_log_end(struct direct_request *request,
			    enum retry_event event, enum retry_step step,
			    enum retry_obstacle obstacle, const char *why)
{
	static const char *const events[] = { "not_sent", "not_run",
					      "answered", "error",
					      "broken",	  "input_gone" };
	static const char *const steps[] = { "pass",   "again",	 "resume",
					     "remake", "refuse", "fail",
					     "cut" };
	struct lp_event_log *log = request->direct->options.log;

	if (step == RETRY_STEP_FORWARD ||
	    !lp_event_begin(log, "sending_end", request->id))
		return;
	lp_event_text(log, "ended", events[event]);
	lp_event_text(log, "why", why);
	lp_event_text(log, "outcome", steps[step]);
	lp_event_text(log, "obstacle", retry_obstacle_name(obstacle));
	lp_event_text(
		log, "upstream",
		request->tried_upstreams->len
			? g_ptr_array_index(request->tried_upstreams,
					    request->tried_upstreams->len - 1)
			: "");
	lp_event_int(log, "status", request->status);
	lp_event_int(log, "rest_us", request->reply.pushback_us);
	lp_event_int(log, "after_us",
		     direct_request_now_us(request) - request->sent_us);
	lp_event_int(log, "sendings", request->sendings);
	lp_event_end(log);
}

static void forward_answer(struct direct_request *request)
{
	direct_request_log_end(request, "answered", request->status, NULL);
	http_call_answer(request->call, request->status, &request->fields,
			 request->body->str, request->body->len);
	direct_request_free(request);
}

static void recompute_inputs(struct direct_request *request)
{
	if (!request->graph) {
		direct_request_refuse(request, DIRECT_RETRY_AFTER_FULL_US,
				      "inputs_gone");
		return;
	}
	direct_stages_recompute_inputs(request->direct->stages, request,
				       request->route->stages_count);
	if (!direct_stream_resume_check(request))
		return;
	request->state = DIRECT_STATE_STAGES;
	direct_request_advance(request);
}

/* A suspect request may have terminated the upstreams that it was lost with, so
 * it is not sent to further ones in this attempt of its caller. */
static bool is_suspect(const struct direct_request *request)
{
	return request->was_trial ||
	       request->lost_sendings + request->left_sendings >=
		       QUARANTINE_SUSPECT_TERMINATIONS;
}

/* Refuses a request that did not run. Retry-After is the time until some
 * upstream can take it. */
static void refuse_not_run(struct direct_request *request, const char *why)
{
	struct pool_pick_args pick_args;
	int64_t wait_us;

	direct_sending_fill_pick_args(request, &pick_args);
	wait_us = pool_retry_after_us(request->direct->pool, &pick_args);
	direct_request_refuse(
		request, wait_us ? wait_us : DIRECT_RETRY_AFTER_FULL_US, why);
}

/* Whether enough time is left for a further sending. */
static bool has_time_to_retry(const struct direct_request *request)
{
	if (request->answer_begun && !direct_stream_resume_is_possible(request))
		return false;
	return direct_request_now_us(request) + RETRY_TIME_MIN_US <
	       request->deadline_us;
}

static bool is_further_attempt(enum retry_step step)
{
	return step == RETRY_STEP_RETRY || step == RETRY_STEP_RESUME ||
	       step == RETRY_STEP_RECOMPUTE_INPUTS;
}

struct retry_state
direct_sending_retry_state(const struct direct_request *request)
{
	bool repeatable = (request->route->kind == DIRECT_IDEMPOTENT ||
			   request->route->is_resumable) &&
			  !is_suspect(request);

	return (struct retry_state){
		.repeatable = repeatable,
		.resumable = request->route->is_resumable &&
			     !request->passes_through &&
			     !request->has_split_event &&
			     !request->has_long_event_id &&
			     (!request->has_version || request->version_id),
		.response_started = request->answer_begun,
		.may_have_run = request->may_have_run,
		.executions = request->possible_runs + 1,
		.executions_max = MAX(request->route->attempts_max, 1),
		.attempts = request->sendings,
		.has_time = has_time_to_retry(request),
	};
}

void direct_sending_note_possible_run(struct direct_request *request)
{
	request->may_have_run = true;
	request->possible_runs++;
}

/* Decides and performs the step that follows a sending (policy/retry.h). To
 * be called after direct_sending_end(). */
void direct_sending_handle_end(struct direct_request *request,
			       enum retry_event event, const char *why)
{
	struct retry_state state = direct_sending_retry_state(request);
	enum retry_obstacle obstacle = retry_find_obstacle(&state, event);
	enum retry_step step = retry_next_step(
		&state, event, direct_sending_take_budget, request);

	if (!obstacle && !is_further_attempt(step))
		obstacle = RETRY_OBSTACLE_BUDGET;
	if (event == RETRY_EVENT_BROKEN || event == RETRY_EVENT_ERROR)
		direct_sending_note_possible_run(request);
	direct_sending_log_end(request, event, step, obstacle, why);
	if (request->answer_begun && state.resumable)
		direct_stream_resume_begin(request);
	if (step == RETRY_STEP_ABORT && !state.has_time)
		direct_stream_resume_end(request, "late", why);
	switch (step) {
	case RETRY_STEP_FORWARD:
		forward_answer(request);
		break;
	case RETRY_STEP_RETRY:
	case RETRY_STEP_RESUME:
		direct_sending_start(request);
		break;
	case RETRY_STEP_RECOMPUTE_INPUTS:
		recompute_inputs(request);
		break;
	case RETRY_STEP_REFUSE:
		refuse_not_run(request, why);
		break;
	case RETRY_STEP_FAIL:
		direct_request_reply_locally(request, 502, 0, why);
		break;
	case RETRY_STEP_ABORT:
		direct_request_abort(request, why);
		break;
	}
}

/* ---- answers of upstreams ---- */

/* An upstream that answers has read the prompt and the inputs of the request.
 */
static void record_first_response(struct direct_request *request)
{
	struct direct *direct = request->direct;
	int64_t took_us = direct_request_now_us(request) - request->sent_us;

	if (request->upstream_responded)
		return;
	request->upstream_responded = true;
	if (!request->first_event_us) {
		request->first_event_us = direct_request_now_us(request);
		direct_stage_plan_learn(request);
	}
	request->upstream->pending_prefill_tokens -= request->cold_tokens;
	pool_record_outcome(direct->pool, request->upstream, POOL_SERVED,
			    took_us, request->expected_us);
	if (request->placement.placer)
		direct_placement_report_answering(direct->placement,
						  &request->placement, took_us,
						  request->expected_us);
	if (request->route->kind == DIRECT_STREAM)
		lp_histogram_add(direct->first_event_times,
				 direct_request_now_us(request) -
					 request->arrived_us);
	/* Results are freed although a resumed stream has to recompute them:
	 * resumption is rare, and the result memory of their producers is
	 * scarce. */
	if (request->graph)
		direct_stages_free_results(direct->stages, request, true);
}

static void on_head(void *userdata, uint32_t status,
		    const struct http_fields *fields)
{
	struct direct_request *request = userdata;

	request->status = status;
	request->ends_with_connection =
		!http_fields_get(fields, "Content-Length") &&
		!http_fields_get(fields, "Transfer-Encoding");
	request->direct->options.codec->read_reply(status, fields, request->id,
						   &request->reply);
	direct_notices_receive(request->direct->notices, request->upstream,
			       &request->reply);
	/* A resumed stream keeps the header fields of its first upstream. */
	if (request->answer_begun)
		return;
	http_fields_clear(&request->fields);
	http_fields_init(&request->fields);
	http_fields_copy_end_to_end(&request->fields, fields);
	direct_answer_flow_count(request);
}

static bool is_event_stream(const struct direct_request *request)
{
	return request->status / 100 == 2 && request->reply.is_event_stream &&
	       request->reply.matches_request &&
	       request->reply.has_upstream_seal;
}

static void begin_answer(struct direct_request *request)
{
	if (request->answer_begun)
		return;
	request->answer_begun = true;
	http_call_start(request->call, request->status, &request->fields);
}

/* The first event decides which version may serve the stream from then on: the
 * events of two versions do not fit together. Returns whether this one may. */
static bool check_stream_version(struct direct_request *request)
{
	const struct pool_upstream *upstream = request->upstream;

	if (request->has_version)
		return upstream->version_id == request->version_id;
	request->has_version = true;
	request->version_id = upstream->version_id;
	request->stream_version = g_strdup(upstream->info.version);
	return true;
}

/* Before its first event is passed on, so that the caller can resume the stream
 * at another entry. */
static void record_origin(struct direct_request *request)
{
	if (request->route->is_resumable && request->version_id)
		direct_stream_origins_record(request->direct->stream_origins,
					     request->id, request->version_id,
					     request->info.timeout_us);
}

/* Removes the first bytes of the buffered answer. */
static void remove_buffered(struct direct_request *request, size_t size)
{
	g_string_erase(request->body, 0, (gssize)size);
	direct_event_stream_remove(&request->event_stream, size);
	if (!request->body->len &&
	    request->body->allocated_len > EMPTY_BUFFER_BYTES_MAX) {
		g_string_free(request->body, TRUE);
		request->body = g_string_new(NULL);
	}
	direct_answer_flow_count(request);
}

/* Passes on the first bytes of what is buffered of a stream. Returns false if
 * the answer was aborted and the request freed. */
static bool forward_stream(struct direct_request *request, size_t size)
{
	if (!request->upstream_responded && !check_stream_version(request)) {
		*direct_counter(request->direct,
				"linepier_streams_of_two_versions_total",
				NULL) += 1;
		direct_request_abort(request, "version");
		return false;
	}
	if (!request->answer_begun)
		record_origin(request);
	if (!request->upstream_responded)
		direct_quarantine_request_begun(request->direct->quarantine,
						request);
	record_first_response(request);
	begin_answer(request);
	direct_stream_resume_end(request, "continued", NULL);
	http_call_write(request->call, request->body->str, size);
	request->last_event_us = direct_request_now_us(request);
	remove_buffered(request, size);
	direct_quarantine_request_progressed(request->direct->quarantine,
					     request);
	return true;
}

static void forget_long_id(struct direct_request *request)
{
	if (!request->last_event_id ||
	    strlen(request->last_event_id) <= EVENT_ID_BYTES_MAX)
		return;
	g_clear_pointer(&request->last_event_id, g_free);
	request->has_long_event_id = true;
}

/* As forward_stream(). An event that is too large to be buffered is passed on
 * without what may be the beginning of its end, so that a stream that ends
 * inside it still leaves bytes in the buffer. */
static bool forward_events(struct direct_request *request)
{
	size_t size = direct_event_stream_complete_size(
		&request->event_stream, request->body->str, request->body->len,
		&request->last_event_id);

	forget_long_id(request);
	if (size && !forward_stream(request, size))
		return false;
	if (!direct_answer_flow_is_full(request))
		return true;
	request->has_split_event = true;
	return forward_stream(request,
			      request->body->len - EVENT_END_BYTES_MAX + 1);
}

/* Whether a stream was broken off although its connection ended in good order:
 * inside an event, or, as it has no framing that would show its end, before any
 * event. A resumed stream may have had its last event already. */
static bool is_truncated(const struct direct_request *request)
{
	return request->body->len ||
	       (request->ends_with_connection && !request->upstream_responded &&
		!request->answer_begun && !direct_request_is_resumed(request));
}

static void finish_stream(struct direct_request *request)
{
	bool truncated = is_truncated(request);

	if (truncated) {
		direct_sending_record_lost(request);
		direct_sending_end(request, POOL_UNREACHABLE);
		g_string_truncate(request->body, 0);
		direct_sending_handle_end(request, RETRY_EVENT_BROKEN, "torn");
		return;
	}
	record_first_response(request);
	direct_sending_end(request, POOL_SERVED);
	direct_quarantine_request_served(request->direct->quarantine, request,
					 true);
	direct_stream_resume_end(request, "continued", NULL);
	begin_answer(request);
	direct_request_log_end(request, "answered", request->status, NULL);
	http_call_finish(request->call);
	direct_request_free(request);
}

static void finish_answer(struct direct_request *request)
{
	const struct direct_reply *reply = &request->reply;
	bool success = request->status / 100 == 2;

	if (reply->other_process) {
		direct_terminations_confirm(request->direct->terminations,
					    request->upstream,
					    DIRECT_TERMINATION_REPLACED);
		direct_sending_end(request, POOL_WRONG_PROCESS);
		direct_sending_handle_end(request, RETRY_EVENT_NOT_RUN,
					  "other_process");
	} else if (reply->not_run) {
		direct_sending_end(request, POOL_OVERLOADED);
		direct_sending_handle_end(request,
					  reply->input_gone
						  ? RETRY_EVENT_INPUT_LOST
						  : RETRY_EVENT_NOT_RUN,
					  "not_run");
	} else if (!reply->matches_request ||
		   (success && !reply->has_upstream_seal)) {
		direct_sending_end(request, POOL_UNREACHABLE);
		direct_sending_handle_end(request, RETRY_EVENT_BROKEN,
					  "not_ours");
	} else if (request->answer_begun) {
		direct_quarantine_request_served(request->direct->quarantine,
						 request, success);
		direct_sending_end(request, POOL_ERROR_ANSWER);
		direct_sending_handle_end(request, RETRY_EVENT_BROKEN,
					  "no_stream");
	} else if (request->status >= 500) {
		direct_quarantine_request_served(request->direct->quarantine,
						 request, success);
		direct_sending_end(request, POOL_ERROR_ANSWER);
		direct_sending_handle_end(request, RETRY_EVENT_ERROR, "error");
	} else {
		direct_quarantine_request_served(request->direct->quarantine,
						 request, success);
		record_first_response(request);
		direct_sending_end(request, POOL_SERVED);
		direct_sending_handle_end(request, RETRY_EVENT_ANSWERED,
					  "answered");
	}
}

/* Whether an answer that is not an event stream may be passed on. */
static bool is_answer_to_request(const struct direct_request *request)
{
	const struct direct_reply *reply = &request->reply;

	return reply->matches_request && !reply->not_run &&
	       !reply->other_process &&
	       (request->status / 100 != 2 || reply->has_upstream_seal);
}

/* Passes on what has come of an answer that is too large to be buffered whole.
 * From here on the request cannot be sent again. */
static void forward_part(struct direct_request *request)
{
	if (!request->passes_through)
		direct_quarantine_request_begun(request->direct->quarantine,
						request);
	request->passes_through = true;
	record_first_response(request);
	begin_answer(request);
	http_call_write(request->call, request->body->str, request->body->len);
	remove_buffered(request, request->body->len);
	direct_stall_watch(request);
	direct_answer_flow_update(request);
}

/* Handles a part of an answer that is not an event stream. One that is too
 * large to be buffered and may not be passed on ends the sending, as the rest
 * of it cannot change that. May free the request. */
static void handle_part(struct direct_request *request)
{
	if (request->passes_through) {
		forward_part(request);
		return;
	}
	if (!direct_answer_flow_is_full(request))
		return;
	if (!request->answer_begun && is_answer_to_request(request))
		forward_part(request);
	else
		finish_answer(request);
}

static void on_body(void *userdata, const char *bytes, size_t size)
{
	struct direct_request *request = userdata;

	g_string_append_len(request->body, bytes, (gssize)size);
	direct_answer_flow_count(request);
	if (!is_event_stream(request)) {
		handle_part(request);
		return;
	}
	/* Events end with a line. */
	if ((memchr(bytes, '\n', size) ||
	     direct_answer_flow_is_full(request)) &&
	    !forward_events(request))
		return;
	/* A part of an event shows that the upstream is not silent. */
	direct_stall_watch(request);
	direct_answer_flow_update(request);
}

static void finish_passed_on(struct direct_request *request)
{
	direct_quarantine_request_served(request->direct->quarantine, request,
					 request->status / 100 == 2);
	direct_sending_end(request, POOL_SERVED);
	direct_request_log_end(request, "answered", request->status, NULL);
	http_call_finish(request->call);
	direct_request_free(request);
}

/* The exchange has failed. An upstream that ends an answer because it is not
 * read has not ended itself. */
static void handle_failure(struct direct_request *request, int error, bool sent)
{
	bool was_unread = request->has_upstream_waited;
	const char *why = error == LP_ERROR_PROTOCOL	       ? "garbled"
			  : error == LP_ERROR_ANSWER_TOO_LARGE ? "oversized"
							       : "connection";

	g_string_truncate(request->body, 0);
	if (sent && !was_unread)
		direct_sending_record_lost(request);
	else if (error == LP_ERROR_NOT_LISTENING)
		direct_terminations_confirm(request->direct->terminations,
					    request->upstream,
					    DIRECT_TERMINATION_REFUSED);
	direct_sending_end(request,
			   was_unread ? POOL_UNDETERMINED : POOL_UNREACHABLE);
	direct_sending_handle_end(
		request, sent ? RETRY_EVENT_BROKEN : RETRY_EVENT_NOT_SENT,
		was_unread ? "unread" : why);
}

static void on_excess(void *userdata, const struct http_excess *excess)
{
	struct direct_request *request = userdata;
	const struct direct_options *options = &request->direct->options;

	direct_excess_report(options->log, options->counters, "upstream",
			     request->upstream->info.id, request->id, excess);
}

static void on_done(void *userdata, int error, bool sent)
{
	struct direct_request *request = userdata;

	request->exchange = NULL;
	if (error)
		handle_failure(request, error, sent);
	else if (request->passes_through)
		finish_passed_on(request);
	else if (is_event_stream(request))
		finish_stream(request);
	else
		finish_answer(request);
}

static const struct http_exchange_events exchange_events = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static void on_delivery(void *userdata, const struct http_delivery *delivery)
{
	struct direct_request *request = userdata;

	direct_delivery_report(request->direct, DIRECT_DELIVERY_UPSTREAM,
			       request->upstream->info.id, request->id,
			       delivery);
}

/* ---- sending ---- */

static void write_request_fields(struct direct_request *request,
				 struct http_fields *fields)
{
	GPtrArray *inputs = NULL;
	struct direct_upstream_request upstream_request = {
		.caller_fields = http_call_fields(request->call),
		.upstream = request->upstream->info.id,
		.organisation = request->organisation
					? request->organisation->name
					: NULL,
		.time_left_us =
			request->deadline_us - direct_request_now_us(request),
		.priority = direct_request_is_resumed(request)
				    ? RESUMED_PRIORITY
				    : request->priority,
		.last_event_id = request->last_event_id
					 ? request->last_event_id
					 : request->info.last_event_id,
		.copy_from = request->copy_from
				     ? request->copy_from->info.address
				     : NULL,
	};

	if (request->graph) {
		inputs = g_ptr_array_new();
		graph_input_handles(request->graph,
				    request->route->stages_count, inputs);
		upstream_request.inputs = inputs;
	}
	request->direct->options.codec->write_request(&upstream_request,
						      fields);
	if (inputs)
		g_ptr_array_unref(inputs);
}

/* Where the engine copies a part of the prompt's prefix from, and what it has
 * to read: from the placer's answer, or by this entry's own knowledge. */
static struct pool_cache_copy
find_prefix_copy(const struct direct_request *request)
{
	const struct pool *pool = request->direct->pool;
	const struct direct_placement_result *placement = &request->placement;
	struct pool_pick_args pick_args;
	struct pool_upstream *source;

	if (!placement->placer) {
		direct_sending_fill_pick_args(request, &pick_args);
		return pool_find_cache_copy(pool, request->upstream,
					    &pick_args);
	}
	source = placement->copy_source
			 ? pool_find_incarnation(pool, placement->copy_source)
			 : NULL;
	/* A placer of an older release does not compare versions. */
	if (source && (!source->version_id ||
		       source->version_id != request->upstream->version_id))
		return (struct pool_cache_copy){
			.prefill_tokens = placement->cold_tokens +
					  placement->copied_tokens,
		};
	return (struct pool_cache_copy){
		.source = source,
		.copied_tokens = placement->copied_tokens,
		.prefill_tokens = placement->cold_tokens,
	};
}

/* Estimates what the engine has to read of the prompt, and the time until its
 * first response. */
static void estimate_prompt_read(struct direct_request *request)
{
	const struct direct_placement_result *placement = &request->placement;
	struct pool_cache_copy copy = find_prefix_copy(request);
	int64_t ahead = placement->placer
				? placement->tokens_ahead
				: request->upstream->pending_prefill_tokens;

	request->copy_from = copy.source;
	request->cold_tokens = copy.prefill_tokens;
	request->expected_us =
		DIRECT_ENGINE_FIRST_EVENT_US / 4 +
		(ahead + request->cold_tokens) * LP_US_PER_MS /
			POOL_PREFILL_TOKENS_PER_MS +
		pool_cache_copy_us(request->direct->pool, request->service,
				   copy.copied_tokens);
	*direct_counter(request->direct, "linepier_prompt_tokens_total",
			"cached=\"copied\"") += copy.copied_tokens;
}

static void prepare_sending(struct direct_request *request,
			    struct pool_upstream *upstream)
{
	const GArray *blocks = request->info.prefix_blocks;

	request->state = DIRECT_STATE_SENT;
	request->upstream = pool_upstream_ref(upstream);
	request->sent_us = direct_request_now_us(request);
	direct_quarantine_note_rounds(request->direct->quarantine, request);
	request->upstream_responded = false;
	request->has_upstream_waited = false;
	request->status = 0;
	memset(&request->reply, 0, sizeof(request->reply));
	g_string_truncate(request->body, 0);
	request->event_stream = (struct direct_event_stream){ 0 };
	direct_answer_flow_count(request);
	request->cold_tokens = 0;
	request->expected_us = 0;
	request->copy_from = NULL;
	if (blocks->len) {
		estimate_prompt_read(request);
		pool_note_cached_blocks(
			request->direct->pool, upstream,
			(struct pool_prefix_block *)blocks->data, blocks->len,
			direct_prefix_cache_capacity(request->direct,
						     request->service));
	}
	*direct_counter(request->direct, "linepier_prompt_tokens_total",
			"cached=\"no\"") += request->cold_tokens;
	upstream->in_flight++;
	upstream->pending_prefill_tokens += request->cold_tokens;
	request->sendings++;
	g_ptr_array_add(request->tried_upstreams, g_strdup(upstream->info.id));
}

static void log_sending(struct direct_request *request)
{
	struct lp_event_log *log = request->direct->options.log;

	if (!lp_event_begin(log, "sending", request->id))
		return;
	lp_event_text(log, "service", request->service);
	lp_event_text(log, "upstream", request->upstream->info.id);
	lp_event_text(log, "domain", request->upstream->info.domain);
	lp_event_text(log, "version",
		      request->upstream->info.version
			      ? request->upstream->info.version
			      : "");
	direct_request_log_resumed(request);
	lp_event_int(log, "cold_tokens", request->cold_tokens);
	lp_event_text(log, "copy_from",
		      request->copy_from ? request->copy_from->info.id : "");
	lp_event_int(log, "tokens_ahead",
		     request->upstream->pending_prefill_tokens);
	lp_event_int(log, "expected_us", request->expected_us);
	lp_event_text(log, "placer",
		      request->placement.placer
			      ? direct_peers_ip(request->direct->peers,
						request->placement.placer)
			      : "");
	lp_event_int(log, "in_flight", request->upstream->in_flight);
	lp_event_int(log, "waited_us", request->sent_us - request->arrived_us);
	lp_event_int(log, "config", request->config->version);
	lp_event_int(log, "list_age_us",
		     request->sent_us - request->direct->upstreams_updated_us);
	lp_event_end(log);
}

static void start_exchange(struct direct_request *request)
{
	const char *method = http_call_method(request->call);
	struct http_fields fields;
	size_t size;
	const char *body = http_call_body(request->call, &size);

	http_fields_init(&fields);
	write_request_fields(request, &fields);
	request->exchange = http_exchange_start(&(struct http_exchange_options){
		.address = request->upstream->info.address,
		.method = method,
		.target = http_call_target(request->call),
		.fields = &fields,
		.body = body,
		.body_size = size,
		.has_body = size || (strcmp(method, "GET") != 0 &&
				     strcmp(method, "HEAD") != 0),
		.memory = &request->direct->memory,
		.connect_timeout_us = DIRECT_CONNECT_TIMEOUT_US,
		.events = &exchange_events,
		.delivery = on_delivery,
		.excess = on_excess,
		.userdata = request,
	});
	http_fields_clear(&fields);
}

/* Time until an upstream can be expected where none can take the request. If
 * none is listed, those of the service have not registered yet since the entry
 * has started, or again after an outage. */
static int64_t unplaced_wait_us(const struct direct_request *request)
{
	const GPtrArray *listed =
		pool_service_upstreams(request->direct->pool, request->service);

	return listed && listed->len ? DIRECT_RETRY_AFTER_FULL_US
				     : direct_request_recovery_wait_us(request);
}

static gboolean on_placement_timer(gpointer userdata)
{
	struct direct_request *request = userdata;

	request->placement_timer = 0;
	direct_sending_start(request);
	return G_SOURCE_REMOVE;
}

/* Refuses a request that no upstream can take, or lets a resumed stream wait
 * within its time limit. `wait_us`: time until one can; 0: unknown. */
static void refuse_unplaced(struct direct_request *request, int64_t wait_us)
{
	const char *why = wait_us ? "limited" : "no_upstream";

	if (request->resume_began_us && wait_us) {
		request->state = DIRECT_STATE_PLACING;
		request->placement_timer = lp_timer_add(
			PLACEMENT_RETRY_MS, on_placement_timer, request);
		return;
	}
	direct_request_refuse(
		request, wait_us ? wait_us : unplaced_wait_us(request), why);
}

static void send_to_upstream(struct direct_request *request,
			     struct pool_upstream *upstream,
			     const struct direct_placement_result *placement)
{
	direct_stall_leave(request);
	request->placement = *placement;
	prepare_sending(request, upstream);
	log_sending(request);
	start_exchange(request);
	if (!request->exchange) {
		direct_sending_end(request, POOL_UNREACHABLE);
		direct_sending_handle_end(request, RETRY_EVENT_NOT_SENT,
					  "connection");
		return;
	}
	direct_stall_watch(request);
}

/* Selects an upstream without a placer. `wait_us`: time after which the placer
 * expects an upstream to be available; 0: no such answer. */
static void place_locally(struct direct_request *request,
			  struct pool_pick_args *pick_args, int64_t wait_us)
{
	const struct direct_placement_result own = { 0 };
	struct pool *pool = request->direct->pool;
	struct pool_upstream *upstream;

	upstream = pool_pick(pool, pick_args);
	if (!upstream) { /* no usable upstream in the shard */
		pick_args->shard_count = 0;
		upstream = pool_pick(pool, pick_args);
	}
	if (!upstream) {
		refuse_unplaced(request,
				wait_us ? wait_us
					: pool_retry_after_us(pool, pick_args));
		return;
	}
	pool_note_sent(pool, upstream);
	send_to_upstream(request, upstream, &own);
}

static void on_placed(void *userdata, struct pool_upstream *upstream,
		      const struct direct_placement_result *placement)
{
	struct direct_request *request = userdata;
	struct pool_pick_args pick_args;

	request->placement_query = 0;
	/* A placer of an older release does not exclude other versions. */
	if (upstream && request->has_version &&
	    upstream->version_id != request->version_id) {
		direct_placement_report_end(request->direct->placement,
					    placement, POOL_UNDETERMINED);
		upstream = NULL;
	}
	if (!upstream) {
		direct_sending_fill_pick_args(request, &pick_args);
		place_locally(request, &pick_args, placement->wait_us);
		return;
	}
	send_to_upstream(request, upstream, placement);
}

/* Returns whether a peer was asked to place the prompt. */
static bool query_placer(struct direct_request *request,
			 const struct pool_pick_args *pick_args)
{
	struct direct *direct = request->direct;
	uint64_t placer;

	if (!direct->placement || !request->info.prefix_blocks->len)
		return false;
	placer = direct_stages_placer(direct->stages, pick_args);
	if (!placer)
		return false;
	request->placement_query = direct_placement_query(
		direct->placement, placer, pick_args, on_placed, request);
	if (!request->placement_query)
		return false;
	request->state = DIRECT_STATE_PLACING;
	return true;
}

/* A stream whose caller has a lot to read yet is resumed later: its events
 * would wait here, and its upstream with them. */
static bool waits_for_caller(struct direct_request *request)
{
	if (!request->resume_began_us || !direct_answer_flow_is_behind(request))
		return false;
	request->state = DIRECT_STATE_PLACING;
	request->placement_timer =
		lp_timer_add(PLACEMENT_RETRY_MS, on_placement_timer, request);
	return true;
}

void direct_sending_start(struct direct_request *request)
{
	struct pool_pick_args pick_args;

	if (waits_for_caller(request))
		return;
	if (!direct_request_check_quarantine(request) ||
	    !direct_stream_resume_check(request) ||
	    !direct_stream_version_check(request))
		return;
	if (request->graph &&
	    !graph_inputs_available(request->graph,
				    request->route->stages_count)) {
		recompute_inputs(request);
		return;
	}
	direct_sending_fill_pick_args(request, &pick_args);
	if (!query_placer(request, &pick_args))
		place_locally(request, &pick_args, 0);
}
