/* Messages from agents: results, stream chunks, call states. */
#include "policy/flow_private.h"

/* ---- answers ---- */

static void record_cost(struct flow *flow, struct flow_request *request,
			const struct flow_attempt *attempt,
			const struct flow_result *result)
{
	struct flow_cost *cost = &request->costs[request->stage];

	cost->queue_us = result->queue_us;
	cost->run_us = result->run_us;
	cost->tokens = result->tokens;
	cost->total_us =
		(uint32_t)(flow_now_us(flow) - request->stage_started_us);
	g_strlcpy(cost->upstream, attempt->agent, sizeof(cost->upstream));
}

static void complete_stage(struct flow *flow, struct flow_request *request,
			   struct flow_attempt *attempt,
			   const struct flow_result *result)
{
	struct flow_service *service = flow_current_service(flow, request);
	int error;

	flow_end_attempt(flow, request, attempt, false);
	quantile_add(service->stage_times,
		     flow_now_us(flow) - attempt->sent_us);
	throttle_record_outcome(flow->throttle, request->organisation,
				service->name, true, flow_now_us(flow));
	record_cost(flow, request, attempt, result);
	flow_add_trace(flow, &attempt->id, TRACE_ANSWERED, attempt->agent, 0,
		       result->queue_us, result->run_us);
	flow_withdraw_all(flow, request);
	request->run = MAX(request->run, flow_current_stage(request)->repeatable
						 ? LP_RUN_MAY_HAVE_RUN
						 : LP_RUN_RAN);
	error = flow->options.ops->stage_done(flow->options.userdata, request,
					      request->stage, result->body);
	if (error) {
		flow_finish_request(flow, request, error);
		return;
	}
	if (request->stage + 1 == request->stages_count) {
		flow_finish_request(flow, request, LP_OK);
		return;
	}
	request->stage += 1;
	flow_start_stage(flow, request);
}

static void fail_stream(struct flow *flow, struct flow_request *request,
			struct flow_attempt *attempt)
{
	flow_withdraw_attempt(flow, request, attempt);
	flow_end_attempt(flow, request, attempt, true);
	flow_fail_over(flow, request, attempt, LP_ERROR_STREAM_BROKEN,
		       LP_RUN_MAY_HAVE_RUN);
}

static void apply_result(struct flow *flow, const struct flow_result *result)
{
	struct flow_request *request;
	struct flow_attempt *attempt =
		flow_find_attempt(flow, &result->id, &request);
	bool upstream_at_fault;

	if (!attempt)
		return;
	throttle_record_wait(flow->throttle, request->organisation,
			     flow_current_stage(request)->service,
			     result->retry_us, flow_now_us(flow));
	if (!result->error) {
		if (flow_current_stage(request)->stream &&
		    result->chunks != attempt->chunks)
			fail_stream(flow, request, attempt);
		else
			complete_stage(flow, request, attempt, result);
		return;
	}
	flow_add_trace(flow, &attempt->id, TRACE_FAILED, attempt->agent,
		       result->error, result->run, 0);
	upstream_at_fault = result->run != LP_RUN_NOT_RUN ||
			    result->error == LP_ERROR_UPSTREAM_FAILED;
	throttle_record_outcome(flow->throttle, request->organisation,
				flow_current_stage(request)->service,
				!flow_is_load_refusal(result->error),
				flow_now_us(flow));
	request->retry_us = result->retry_us;
	flow_end_attempt(flow, request, attempt, upstream_at_fault);
	/* The upstream ran the call and answered an error: no retry helps. */
	if (result->run == LP_RUN_RAN) {
		request->run = MAX(request->run,
				   flow_current_stage(request)->repeatable
					   ? LP_RUN_MAY_HAVE_RUN
					   : LP_RUN_RAN);
		flow_finish_request(flow, request, result->error);
		return;
	}
	flow_fail_over(flow, request, attempt, result->error, result->run);
}

void flow_handle_result(struct flow *flow, const struct flow_result *result,
			const struct flow_report *report)
{
	struct route_upstream *upstream = NULL;
	struct route *route;
	bool restarted = false;

	if (report) {
		route = flow_route(flow, report->service);
		upstream =
			route_find_or_add(route, report->agent, report->domain);
		restarted = route_apply_report(route, upstream, &report->load);
	}
	apply_result(flow, result);
	if (restarted)
		flow_lose_attempts_at(flow, upstream, false);
}

void flow_handle_chunk(struct flow *flow, const struct lp_call_id *id,
		       uint32_t seq, const char *text, uint32_t tokens)
{
	struct flow_request *request;
	struct flow_attempt *attempt = flow_find_attempt(flow, id, &request);

	if (!attempt || attempt->withdrawn)
		return;
	if (seq != attempt->chunks) {
		fail_stream(flow, request, attempt);
		return;
	}
	attempt->chunks += 1;
	attempt->unanswered_queries = 0;
	attempt->query_due_us =
		flow_now_us(flow) +
		flow_query_delay_us(flow, flow_current_service(flow, request));
	request->tokens += tokens;
	g_string_append(request->text, text);
	flow->options.ops->chunk(flow->options.userdata, request, text, tokens);
	flow_update_wake(flow, request);
}

/*
 * Whether to fail over a stream that its agent reports as running. The agent
 * was queried because no chunk came for much longer than usual, so the engine
 * hangs. Stages without a stream are covered by their hedge.
 */
static bool may_leave_stalled_stream(struct flow *flow,
				     struct flow_request *request,
				     const struct flow_attempt *attempt)
{
	return flow_current_stage(request)->stream && !request->withdrawing &&
	       flow_may_leave(flow, request, attempt);
}

void flow_handle_state(struct flow *flow, const struct lp_call_id *id,
		       enum flow_state state)
{
	struct flow_request *request;
	struct flow_attempt *attempt = flow_find_attempt(flow, id, &request);

	if (!attempt)
		return;
	attempt->unanswered_queries = 0;
	switch (state) {
	case FLOW_STATE_NOT_RUN:
		flow_end_attempt(flow, request, attempt, false);
		flow_fail_over(flow, request, attempt, LP_ERROR_WITHDRAWN,
			       LP_RUN_NOT_RUN);
		return;
	case FLOW_STATE_CANCELLED:
		flow_end_attempt(flow, request, attempt, false);
		flow_fail_over(flow, request, attempt, LP_ERROR_WITHDRAWN,
			       LP_RUN_MAY_HAVE_RUN);
		return;
	case FLOW_STATE_LOST:
		flow_lose_attempt(flow, request, attempt);
		return;
	case FLOW_STATE_RUNNING:
		if (may_leave_stalled_stream(flow, request, attempt)) {
			fail_stream(flow, request, attempt);
			return;
		}
		break;
	case FLOW_STATE_QUEUED:
	case FLOW_STATE_DONE:
		break;
	}
	attempt->query_due_us =
		flow_now_us(flow) +
		flow_query_delay_us(flow, flow_current_service(flow, request));
	flow_update_wake(flow, request);
}
