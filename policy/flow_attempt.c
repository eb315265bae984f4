/* Attempts: sending and ending them, failover, and the end of a request. */
#include "policy/flow_private.h"

/* ---- wake times ---- */

static int compare_wake_times(gconstpointer a, gconstpointer b,
			      gpointer userdata)
{
	const struct flow_request *left = a;
	const struct flow_request *right = b;

	return (left->wake_us > right->wake_us) -
	       (left->wake_us < right->wake_us);
}

static int64_t next_wake_us(const struct flow_request *request)
{
	int64_t wake_us = request->deadline_us;

	if (!request->withdrawing)
		wake_us -= WITHDRAW_LEAD_US;
	for (int i = 0; i < FLOW_ATTEMPTS; i++)
		if (request->attempts[i].live)
			wake_us =
				MIN(wake_us, request->attempts[i].query_due_us);
	if (request->hedge_us)
		wake_us = MIN(wake_us, request->hedge_us);
	return wake_us;
}

void flow_update_wake(struct flow *flow, struct flow_request *request)
{
	request->wake_us = next_wake_us(request);
	if (request->wake_position)
		g_sequence_sort_changed(request->wake_position,
					compare_wake_times, NULL);
	else
		request->wake_position = g_sequence_insert_sorted(
			flow->wakes, request, compare_wake_times, NULL);
}

/* ---- attempts ---- */

void flow_end_attempt(struct flow *flow, struct flow_request *request,
		      struct flow_attempt *attempt, bool failed)
{
	attempt->live = false;
	if (attempt->upstream)
		route_call_ended(flow_current_service(flow, request)->route,
				 attempt->upstream, failed);
}

void flow_withdraw_attempt(struct flow *flow, struct flow_request *request,
			   struct flow_attempt *attempt)
{
	attempt->withdrawn = true;
	if (!flow->options.naive)
		flow->options.ops->query(flow->options.userdata, attempt, true);
}

void flow_withdraw_all(struct flow *flow, struct flow_request *request)
{
	for (int i = 0; i < FLOW_ATTEMPTS; i++) {
		struct flow_attempt *attempt = &request->attempts[i];

		if (!attempt->live)
			continue;
		if (!attempt->withdrawn)
			flow_withdraw_attempt(flow, request, attempt);
		flow_end_attempt(flow, request, attempt, false);
		request->run = MAX(request->run, LP_RUN_MAY_HAVE_RUN);
	}
}

/* Calls of the stages that the request did not reach are not expected. */
static void remove_unreached_calls(struct flow *flow,
				   const struct flow_request *request)
{
	for (uint32_t i = request->stage + 1; i < request->stages_count; i++)
		flow_get_service(flow, request->stages[i].service)
			->expected_calls -= 1;
}

void flow_remove_request(struct flow *flow, struct flow_request *request)
{
	remove_unreached_calls(flow, request);
	g_sequence_remove(request->wake_position);
	g_hash_table_remove(flow->requests,
			    GUINT_TO_POINTER(request->id.serial));
}

void flow_finish_request(struct flow *flow, struct flow_request *request,
			 int error)
{
	struct flow_outcome outcome = { .error = error };

	flow_withdraw_all(flow, request);
	outcome.run = error ? request->run : LP_RUN_RAN;
	outcome.retry_us = request->retry_us;
	outcome.stage = request->stage;
	if (error)
		flow->stats.finished_error += 1;
	else
		flow->stats.finished_ok += 1;
	flow_add_trace(flow, &request->id, TRACE_FINISHED, NULL, error,
		       flow_now_us(flow) - request->arrived_us, 0);
	flow->options.ops->finish(flow->options.userdata, request, &outcome);
	flow_remove_request(flow, request);
}

/* The median time of the stages after the current one, summed. */
static int64_t later_stages_us(struct flow *flow,
			       const struct flow_request *request)
{
	int64_t sum_us = 0;

	for (uint32_t i = request->stage + 1; i < request->stages_count; i++) {
		struct flow_service *service =
			flow_get_service(flow, request->stages[i].service);

		sum_us += quantile_get(service->stage_times, 0.5, 0);
	}
	return sum_us;
}

static int64_t stage_time_left_us(struct flow *flow,
				  const struct flow_request *request)
{
	int64_t left_us = request->deadline_us - flow_now_us(flow);

	if (flow->options.naive)
		return left_us;
	return left_us - later_stages_us(flow, request);
}

static struct flow_attempt *find_free_attempt(struct flow_request *request)
{
	for (int i = 0; i < FLOW_ATTEMPTS; i++)
		if (!request->attempts[i].live)
			return &request->attempts[i];
	return NULL;
}

int64_t flow_query_delay_us(const struct flow *flow,
			    const struct flow_service *service)
{
	int64_t p95_us = quantile_get(service->stage_times, 0.95, 0);

	if (flow->options.naive)
		return G_MAXINT64 / 2;
	return MAX(QUERY_DELAY_MIN_US, p95_us * QUERY_DELAY_FACTOR);
}

static void init_attempt(struct flow *flow, struct flow_request *request,
			 struct flow_attempt *attempt,
			 struct route_upstream *upstream)
{
	int64_t now = flow_now_us(flow);

	*attempt = (struct flow_attempt){
		.live = true,
		.id = request->id,
		.upstream = upstream,
		.incarnation = upstream->incarnation,
		.agent_sent_us = upstream->agent_time_us +
				 (now - upstream->report_received_us),
		.sent_us = now,
		.query_due_us =
			now + flow_query_delay_us(flow, flow_current_service(
								flow, request)),
	};
	attempt->id.stage = (uint16_t)request->stage;
	attempt->id.attempt = ++request->attempt_serial;
	g_strlcpy(attempt->agent, upstream->name, sizeof(attempt->agent));
}

static int send_attempt(struct flow *flow, struct flow_request *request,
			struct flow_attempt *attempt,
			struct route_upstream *upstream)
{
	struct flow_send send = {
		.attempt = attempt,
		.echo_us = upstream->agent_time_us,
		.held_us = flow_now_us(flow) - upstream->report_received_us,
		.left_us = stage_time_left_us(flow, request),
		.resume = request->text->str,
		.resume_tokens = request->tokens,
	};
	int error;

	init_attempt(flow, request, attempt, upstream);
	error = flow->options.ops->send(flow->options.userdata, request, &send);
	if (error) {
		attempt->live = false;
		return error;
	}
	route_call_sent(flow_current_service(flow, request)->route, upstream);
	flow->stats.sent += 1;
	request->costs[request->stage].attempts += 1;
	flow_add_trace(flow, &attempt->id, TRACE_SENT, upstream->name, 0,
		       (int64_t)upstream->wait_us + upstream->run_us,
		       send.left_us);
	return LP_OK;
}

static struct route_upstream *pick_upstream(struct flow *flow,
					    struct flow_request *request,
					    const struct route_upstream *avoid)
{
	const struct flow_stage *stage = flow_current_stage(request);
	struct route *route = flow_current_service(flow, request)->route;
	struct route_query query = { .avoid = avoid };

	if (stage->affinity && !flow->options.no_affinity)
		query.affinity = request->affinity;
	return route_pick(route, &query);
}

int flow_dispatch(struct flow *flow, struct flow_request *request,
		  const struct route_upstream *avoid, bool hedge)
{
	struct flow_attempt *attempt = find_free_attempt(request);
	struct route_upstream *upstream;
	int error = LP_ERROR_NO_UPSTREAM;

	for (int i = 0; attempt && i <= FAILOVERS_MAX; i++) {
		upstream = pick_upstream(flow, request, avoid);
		if (!upstream && avoid && !hedge)
			upstream = pick_upstream(flow, request, NULL);
		if (!upstream)
			return LP_ERROR_NO_UPSTREAM;
		error = send_attempt(flow, request, attempt, upstream);
		if (!error) {
			attempt->hedge = hedge;
			return LP_OK;
		}
		avoid = upstream;
	}
	return error;
}

static void schedule_hedge(struct flow *flow, struct flow_request *request)
{
	const struct flow_stage *stage = flow_current_stage(request);
	int64_t hedge_delay_us = quantile_get(
		flow_current_service(flow, request)->stage_times, 0.95, 0);

	request->hedge_us = 0;
	if (flow->options.naive || !stage->repeatable || stage->stream ||
	    !hedge_delay_us)
		return;
	request->hedge_us =
		flow_now_us(flow) + MAX(hedge_delay_us, HEDGE_MIN_US);
}

void flow_start_stage(struct flow *flow, struct flow_request *request)
{
	int error;

	request->failovers = 0;
	request->attempt_serial = 0; /* the id has the stage as well */
	request->stage_started_us = flow_now_us(flow);
	request->tokens = 0;
	g_string_truncate(request->text, 0);
	flow_current_service(flow, request)->expected_calls -= 1;
	bucket_add(&flow_current_service(flow, request)->retry_budget,
		   RETRY_BUDGET_SHARE);
	error = flow_dispatch(flow, request, NULL, false);
	if (error) {
		flow_finish_request(flow, request, error);
		return;
	}
	schedule_hedge(flow, request);
	flow_update_wake(flow, request);
}

/* ---- failover ---- */

bool flow_is_load_refusal(int error)
{
	return error == LP_ERROR_OVERLOADED ||
	       error == LP_ERROR_DEADLINE_UNREACHABLE;
}

/*
 * Refusals for reasons other than load take nothing from the retry budget: they
 * cannot cause a retry storm.
 */
static bool may_fail_over(struct flow *flow, struct flow_request *request,
			  int error, enum lp_run run)
{
	struct flow_service *service = flow_current_service(flow, request);

	if (request->failovers >= FAILOVERS_MAX)
		return false;
	if (run == LP_RUN_NOT_RUN && !flow_is_load_refusal(error))
		return true;
	if (flow->options.naive)
		return true;
	if (bucket_take(&service->retry_budget, flow_now_us(flow)))
		return true;
	flow->stats.no_budget += 1;
	flow_add_trace(flow, &request->id, TRACE_NO_BUDGET, NULL, error, 0, 0);
	return false;
}

bool flow_may_leave(struct flow *flow, struct flow_request *request,
		    const struct flow_attempt *attempt)
{
	if (!flow_current_stage(request)->repeatable)
		return false;
	if (flow->options.naive || request->withdrawing ||
	    flow_live_attempts(request) > 1)
		return true;
	return request->failovers < FAILOVERS_MAX &&
	       flow_current_service(flow, request)->retry_budget.tokens >= 1 &&
	       pick_upstream(flow, request, attempt->upstream);
}

static bool may_repeat(const struct flow_request *request, enum lp_run run)
{
	return run == LP_RUN_NOT_RUN || flow_current_stage(request)->repeatable;
}

void flow_fail_over(struct flow *flow, struct flow_request *request,
		    struct flow_attempt *attempt, int error, enum lp_run run)
{
	struct route_upstream *failed_upstream = attempt->upstream;

	if (run != LP_RUN_NOT_RUN)
		request->run = MAX(request->run, LP_RUN_MAY_HAVE_RUN);
	request->last_error = error;
	if (flow_live_attempts(request)) {
		flow_update_wake(flow, request);
		return;
	}
	if (request->withdrawing) {
		flow_finish_request(flow, request, LP_ERROR_DEADLINE_PASSED);
		return;
	}
	if (!may_repeat(request, run) ||
	    !may_fail_over(flow, request, error, run)) {
		flow_finish_request(flow, request, error);
		return;
	}
	request->failovers += 1;
	flow->stats.failovers += 1;
	if (run != LP_RUN_NOT_RUN)
		flow->stats.retried += 1;
	flow_add_trace(flow, &attempt->id, TRACE_FAILED_OVER, attempt->agent,
		       error, 0, 0);
	if (request->text->len) {
		flow->stats.resumed += 1;
		flow_add_trace(flow, &attempt->id, TRACE_RESUMED,
			       attempt->agent, 0, request->tokens, 0);
	}
	if (flow_dispatch(flow, request, failed_upstream, false))
		flow_finish_request(flow, request, error);
	else
		flow_update_wake(flow, request);
}

void flow_lose_attempt(struct flow *flow, struct flow_request *request,
		       struct flow_attempt *attempt)
{
	flow->stats.lost += 1;
	flow_add_trace(flow, &attempt->id, TRACE_LOST, attempt->agent, 0,
		       flow_now_us(flow) - attempt->sent_us, 0);
	flow_end_attempt(flow, request, attempt, true);
	flow_fail_over(flow, request, attempt, LP_ERROR_UPSTREAM_GONE,
		       LP_RUN_MAY_HAVE_RUN);
}
