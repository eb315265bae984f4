#include "policy/flow_private.h"

int64_t flow_now_us(const struct flow *flow)
{
	return lp_now_us(flow->options.clock);
}

void flow_add_trace(struct flow *flow, const struct lp_call_id *id,
		    enum trace_kind kind, const char *host, int error,
		    int64_t a, int64_t b)
{
	if (flow->options.trace)
		trace_add(flow->options.trace, id, kind, host, error, a, b);
}

/* ---- services ---- */

static void free_service(gpointer data)
{
	struct flow_service *service = data;

	route_destroy(service->route);
	quantile_destroy(service->stage_times);
	g_free(service->name);
	g_free(service);
}

struct flow_service *flow_get_service(struct flow *flow, const char *name)
{
	struct flow_service *service =
		g_hash_table_lookup(flow->services, name);
	struct route_options options = {
		.clock = flow->options.clock,
		.domain = flow->domain,
		.report_timeout_us = flow->options.report_timeout_us,
		.seed = lp_hash_pair(flow->options.seed, lp_hash_str(name)),
		.naive = flow->options.naive,
	};

	if (service)
		return service;
	service = g_new0(struct flow_service, 1);
	service->name = g_strdup(name);
	service->route = route_create(&options);
	service->stage_times = quantile_create();
	bucket_init(&service->retry_budget, 0, RETRY_BUDGET_BURST,
		    flow_now_us(flow));
	g_hash_table_insert(flow->services, service->name, service);
	return service;
}

struct route *flow_route(struct flow *flow, const char *service)
{
	return flow_get_service(flow, service)->route;
}

/* ---- requests ---- */

static void free_request(gpointer data)
{
	struct flow_request *request = data;

	g_string_free(request->text, TRUE);
	g_free(request->costs);
	g_free(request->organisation);
	g_free(request);
}

struct flow *flow_create(const struct flow_options *options)
{
	struct flow *flow = g_new0(struct flow, 1);

	flow->options = *options;
	flow->domain = g_strdup(options->domain);
	flow->entry_increment_counter = 1;
	flow->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_service);
	flow->requests = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					       NULL, free_request);
	flow->deadline_cap_us = INT64_MAX;
	flow->wakes = g_sequence_new(NULL);
	flow->throttle = throttle_create(options->seed);
	return flow;
}

void flow_destroy(struct flow *flow)
{
	if (!flow)
		return;
	g_sequence_free(flow->wakes);
	g_hash_table_unref(flow->requests);
	g_hash_table_unref(flow->services);
	throttle_destroy(flow->throttle);
	g_free(flow->domain);
	g_free(flow);
}

const struct flow_stage *flow_current_stage(const struct flow_request *request)
{
	return &request->stages[request->stage];
}

struct flow_service *flow_current_service(struct flow *flow,
					  const struct flow_request *request)
{
	return flow_get_service(flow, flow_current_stage(request)->service);
}

static struct flow_request *find_request(struct flow *flow,
					 const struct lp_call_id *id)
{
	if (id->entry != flow->options.entry)
		return NULL;
	return g_hash_table_lookup(flow->requests,
				   GUINT_TO_POINTER(id->serial));
}

struct flow_attempt *flow_find_attempt(struct flow *flow,
				       const struct lp_call_id *id,
				       struct flow_request **request)
{
	*request = find_request(flow, id);
	if (*request) {
		for (int i = 0; i < FLOW_ATTEMPTS; i++) {
			struct flow_attempt *attempt = &(*request)->attempts[i];

			if (attempt->live && lp_call_id_equal(&attempt->id, id))
				return attempt;
		}
	}
	flow->stats.dropped += 1;
	return NULL;
}

uint32_t flow_live_attempts(const struct flow_request *request)
{
	uint32_t live = 0;

	for (int i = 0; i < FLOW_ATTEMPTS; i++)
		live += request->attempts[i].live;
	return live;
}

/* ---- admission ---- */

/*
 * The expected queueing time of an organisation at a service: the time that
 * agents reported, plus the calls that entries have admitted but not sent yet.
 * Every entry is assumed to have as many of these as this one.
 */
static int64_t estimate_wait_us(struct flow *flow, struct flow_service *service,
				const char *organisation)
{
	int64_t run_us = quantile_get(service->stage_times, 0.5, 0);
	int64_t expected_us = run_us * service->expected_calls *
			      flow->entry_increment_counter /
			      route_slots(service->route);

	return throttle_wait_us(flow->throttle, organisation, service->name,
				flow_now_us(flow)) +
	       expected_us;
}

struct admission_estimate {
	int64_t total_us; /* all stages; -1: no upstream */
	int64_t wait_us;  /* thereof in queues */
};

static struct admission_estimate
estimate_request(struct flow *flow, const struct flow_submit *submit)
{
	struct admission_estimate estimate = { 0 };

	for (uint32_t i = 0; i < submit->stages_count; i++) {
		struct flow_service *service =
			flow_get_service(flow, submit->stages[i].service);
		int64_t stage_us = route_estimate_us(service->route);
		int64_t wait_us =
			estimate_wait_us(flow, service, submit->organisation);

		if (stage_us < 0)
			return (struct admission_estimate){ -1, 0 };
		estimate.total_us += stage_us + wait_us;
		estimate.wait_us += wait_us;
	}
	return estimate;
}

static bool throttle_admits_stages(struct flow *flow,
				   const struct flow_submit *submit)
{
	int64_t now = flow_now_us(flow);

	for (uint32_t i = 0; i < submit->stages_count; i++)
		if (!throttle_admit(flow->throttle, submit->organisation,
				    submit->stages[i].service, now))
			return false;
	return true;
}

static int64_t capped_deadline_us(const struct flow *flow,
				  const struct flow_submit *submit)
{
	return MIN(submit->deadline_us, flow->deadline_cap_us);
}

static int check_admission(struct flow *flow, const struct flow_submit *submit,
			   int64_t *estimate_us)
{
	int64_t left_us = capped_deadline_us(flow, submit) - flow_now_us(flow);
	struct admission_estimate estimate = estimate_request(flow, submit);
	int64_t spare_us = left_us - (estimate.total_us - estimate.wait_us);

	*estimate_us = estimate.total_us;
	if (estimate.total_us < 0)
		return LP_ERROR_NO_UPSTREAM;
	if (left_us <= 0)
		return LP_ERROR_DEADLINE_PASSED;
	if (flow->options.naive)
		return LP_OK;
	if (spare_us < 0 || estimate.wait_us > (int64_t)((double)spare_us *
							 ADMISSION_QUEUE_SHARE))
		return LP_ERROR_DEADLINE_UNREACHABLE;
	if (!throttle_admits_stages(flow, submit))
		return LP_ERROR_OVERLOADED;
	return LP_OK;
}

static void add_expected_calls(struct flow *flow,
			       const struct flow_request *request)
{
	for (uint32_t i = 0; i < request->stages_count; i++)
		flow_get_service(flow, request->stages[i].service)
			->expected_calls += 1;
}

static struct flow_request *add_request(struct flow *flow,
					const struct flow_submit *submit,
					const struct lp_call_id *id)
{
	struct flow_request *request = g_new0(struct flow_request, 1);

	request->id = *id;
	request->stages = submit->stages;
	request->stages_count = submit->stages_count;
	request->organisation = g_strdup(submit->organisation);
	request->weight = submit->weight;
	request->affinity = submit->affinity;
	request->arrived_us = flow_now_us(flow);
	request->deadline_us = capped_deadline_us(flow, submit);
	request->costs = g_new0(struct flow_cost, submit->stages_count);
	request->text = g_string_new(NULL);
	request->owner = submit->owner;
	g_hash_table_insert(flow->requests, GUINT_TO_POINTER(id->serial),
			    request);
	flow_update_wake(flow, request);
	return request;
}

static void assign_request_id(struct flow *flow, struct lp_call_id *id)
{
	*id = (struct lp_call_id){ .entry = flow->options.entry };
	do
		id->serial = ++flow->serial;
	while (!id->serial || find_request(flow, id));
}

int flow_submit(struct flow *flow, const struct flow_submit *submit,
		struct lp_call_id *id, struct flow_outcome *outcome)
{
	int64_t left_us = capped_deadline_us(flow, submit) - flow_now_us(flow);
	int64_t estimate_us;
	struct flow_request *request;
	int error;

	assign_request_id(flow, id);
	error = check_admission(flow, submit, &estimate_us);
	if (error) {
		*outcome = (struct flow_outcome){
			.error = error,
			.run = LP_RUN_NOT_RUN,
			.retry_us =
				MAX(estimate_us - left_us, 100 * LP_US_PER_MS),
		};
		flow->stats.refused_admission += 1;
		flow_add_trace(flow, id, TRACE_REFUSED, NULL, error,
			       estimate_us, left_us);
		return error;
	}
	request = add_request(flow, submit, id);
	flow->stats.accepted += 1;
	add_expected_calls(flow, request);
	flow_add_trace(flow, id, TRACE_ACCEPTED, NULL, 0, estimate_us, left_us);
	flow_start_stage(flow, request);
	return LP_OK;
}

/* ---- agents ---- */

void flow_lose_attempts_at(struct flow *flow,
			   const struct route_upstream *upstream,
			   bool any_incarnation)
{
	g_autoptr(GPtrArray) requests = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, flow->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(requests, value);
	for (guint i = 0; i < requests->len; i++) {
		struct flow_request *request = g_ptr_array_index(requests, i);

		for (int j = 0; j < FLOW_ATTEMPTS; j++) {
			struct flow_attempt *attempt = &request->attempts[j];

			if (!attempt->live || attempt->upstream != upstream)
				continue;
			if (!any_incarnation &&
			    attempt->incarnation == upstream->incarnation)
				continue;
			flow_lose_attempt(flow, request, attempt);
			break; /* the request may be freed */
		}
	}
}

void flow_handle_report(struct flow *flow, const struct flow_report *report)
{
	struct route *route = flow_route(flow, report->service);
	struct route_upstream *upstream =
		route_find_or_add(route, report->agent, report->domain);

	if (route_apply_report(route, upstream, &report->load))
		flow_lose_attempts_at(flow, upstream, false);
}

void flow_set_entry_count(struct flow *flow, uint32_t entries)
{
	flow->entry_increment_counter = MAX(1, entries);
}

void flow_agent_removed(struct flow *flow, const char *service,
			const char *agent)
{
	struct route *route = flow_route(flow, service);
	struct route_upstream *upstream = route_find(route, agent);

	if (!upstream)
		return;
	upstream->draining = true; /* excludes it from failovers */
	/* A request may have two attempts there; each call loses one. */
	flow_lose_attempts_at(flow, upstream, true);
	flow_lose_attempts_at(flow, upstream, true);
	route_remove(route, agent);
}

void flow_cancel(struct flow *flow, const struct lp_call_id *id)
{
	struct flow_request *request = find_request(flow, id);

	if (!request)
		return;
	flow_withdraw_all(flow, request);
	flow_remove_request(flow, request);
}

/* ---- timers ---- */

static void query_attempt(struct flow *flow, struct flow_request *request,
			  struct flow_attempt *attempt)
{
	if (attempt->unanswered_queries >= UNANSWERED_QUERIES_MAX) {
		if (flow_may_leave(flow, request, attempt)) {
			flow_lose_attempt(flow, request, attempt);
			return;
		}
		flow->stats.stays += 1;
	}
	attempt->unanswered_queries += 1;
	attempt->query_due_us = flow_now_us(flow) + QUERY_INTERVAL_US;
	flow->stats.queries += 1;
	flow_add_trace(flow, &attempt->id, TRACE_QUERIED, attempt->agent, 0,
		       flow_now_us(flow) - attempt->sent_us, 0);
	flow->options.ops->query(flow->options.userdata, attempt, false);
	flow_update_wake(flow, request);
}

static void send_hedge(struct flow *flow, struct flow_request *request)
{
	struct flow_service *service = flow_current_service(flow, request);
	const struct flow_attempt *first = &request->attempts[0];

	request->hedge_us = 0;
	if (!first->live)
		first = &request->attempts[1];
	if (flow_live_attempts(request) == 1 &&
	    service->retry_budget.tokens > HEDGE_BUDGET_RESERVE &&
	    bucket_take(&service->retry_budget, flow_now_us(flow)) &&
	    !flow_dispatch(flow, request, first->upstream, true)) {
		flow->stats.hedged += 1;
		flow_add_trace(
			flow, &request->id, TRACE_HEDGED,
			request->attempts[1].hedge ? request->attempts[1].agent
						   : request->attempts[0].agent,
			0, flow_now_us(flow) - request->stage_started_us, 0);
	}
	flow_update_wake(flow, request);
}

static void start_withdrawal(struct flow *flow, struct flow_request *request)
{
	request->withdrawing = true;
	request->hedge_us = 0;
	for (int i = 0; i < FLOW_ATTEMPTS; i++)
		if (request->attempts[i].live)
			flow_withdraw_attempt(flow, request,
					      &request->attempts[i]);
	flow_update_wake(flow, request);
}

/* Runs one due action of a request, which may free the request. */
static void run_due_action(struct flow *flow, struct flow_request *request)
{
	int64_t now = flow_now_us(flow);

	if (now >= request->deadline_us) {
		flow_finish_request(flow, request, LP_ERROR_DEADLINE_PASSED);
		return;
	}
	if (!request->withdrawing &&
	    now >= request->deadline_us - WITHDRAW_LEAD_US) {
		start_withdrawal(flow, request);
		return;
	}
	if (request->hedge_us && now >= request->hedge_us) {
		send_hedge(flow, request);
		return;
	}
	for (int i = 0; i < FLOW_ATTEMPTS; i++) {
		struct flow_attempt *attempt = &request->attempts[i];

		if (attempt->live && now >= attempt->query_due_us) {
			query_attempt(flow, request, attempt);
			return;
		}
	}
	flow_update_wake(flow, request);
}

void flow_cap_deadlines(struct flow *flow, int64_t end_us)
{
	GHashTableIter iter;
	gpointer value;

	flow->deadline_cap_us = end_us;
	g_hash_table_iter_init(&iter, flow->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_request *request = value;

		request->deadline_us = MIN(request->deadline_us, end_us);
		flow_update_wake(flow, request);
	}
}

static void tick_routes(struct flow *flow)
{
	GHashTableIter iter;
	gpointer service;

	if (flow_now_us(flow) < flow->services_tick_us)
		return;
	flow->services_tick_us = flow_now_us(flow) + SERVICE_TICK_US;
	g_hash_table_iter_init(&iter, flow->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		route_tick(((struct flow_service *)service)->route);
}

void flow_tick(struct flow *flow)
{
	tick_routes(flow);
	while (true) {
		GSequenceIter *first = g_sequence_get_begin_iter(flow->wakes);
		struct flow_request *request;

		if (g_sequence_iter_is_end(first))
			return;
		request = g_sequence_get(first);
		if (request->wake_us > flow_now_us(flow))
			return;
		run_due_action(flow, request);
	}
}

int64_t flow_next_us(const struct flow *flow)
{
	GSequenceIter *first = g_sequence_get_begin_iter(flow->wakes);
	const struct flow_request *request;

	if (g_sequence_iter_is_end(first))
		return INT64_MAX;
	request = g_sequence_get(first);
	return request->wake_us;
}

uint32_t flow_request_count(const struct flow *flow)
{
	return g_hash_table_size(flow->requests);
}

const struct flow_stats *flow_stats(const struct flow *flow)
{
	return &flow->stats;
}
