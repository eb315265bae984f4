/** Plans the stages of one request: which pieces are requested, and when. */
#include "direct/direct_request.h"

#include "base/lp_id.h"

/* On average an engine has to read one in this many tokens of a prompt; the
 * rest is in its prefix cache. */
#define COLD_PROMPT_DIVISOR 4
/* A request is refused if pieces of its stages have been requested again more
 * often than this, over all stages. */
#define RECOMPUTATIONS_MAX 24
/* Results of a request that fill at least this part (1/50) of an upstream's
 * result memory are not left waiting there. */
#define RESULT_MEMORY_DIVISOR 50

/* A stage that is requested within this time after its inputs are completed was
 * not held back by anything else. */
#define IMMEDIATE_US (20 * LP_US_PER_MS)

/* ---- stages ---- */

int64_t direct_stage_plan_stage_us(const struct direct_request *request,
				   uint32_t stage)
{
	const struct direct_service *service = direct_config_service(
		request->config, request->route->stages[stage].service);

	if (!service || !graph_piece_count(request->graph, stage))
		return 0;
	return service->call_us +
	       service->piece_us * graph_piece_count(request->graph, stage);
}

/* Estimated time of the longest path of stages after this one. */
static int64_t time_after_stage_us(struct direct_request *request,
				   uint32_t stage)
{
	const struct direct_route *route = request->route;
	int64_t longest_us = 0;

	for (uint32_t i = stage + 1; i < route->stages_count; i++) {
		for (uint32_t j = 0; j < route->stages[i].input_stages_count;
		     j++) {
			int64_t estimate_us;

			if (route->stages[i].input_stages[j] != stage)
				continue;
			estimate_us = direct_stage_plan_stage_us(request, i) +
				      time_after_stage_us(request, i);
			longest_us = MAX(longest_us, estimate_us);
		}
	}
	return longest_us;
}

/* The same where each call carries one piece only. */
static int64_t least_stage_time_us(const struct direct_request *request,
				   uint32_t stage)
{
	const struct direct_service *service = direct_config_service(
		request->config, request->route->stages[stage].service);

	return service ? service->call_us + service->piece_us : 0;
}

static bool lacks_results(const struct direct_request *request, uint32_t stage)
{
	return graph_piece_count(request->graph, stage) &&
	       !graph_stage_completed(request->graph, stage);
}

int64_t direct_stage_plan_least_us(const struct direct_request *request)
{
	const struct direct_route *route = request->route;
	int64_t *done_us = g_new0(int64_t, route->stages_count);
	int64_t longest_us = 0;

	for (uint32_t i = 0; i < route->stages_count; i++) {
		for (uint32_t j = 0; j < route->stages[i].input_stages_count;
		     j++)
			done_us[i] =
				MAX(done_us[i],
				    done_us[route->stages[i].input_stages[j]]);
		if (lacks_results(request, i))
			done_us[i] += least_stage_time_us(request, i);
		longest_us = MAX(longest_us, done_us[i]);
	}
	g_free(done_us);
	return longest_us;
}

int64_t direct_stage_plan_engine_us(const struct direct_request *request)
{
	return DIRECT_ENGINE_FIRST_EVENT_US +
	       request->info.tokens_in * LP_US_PER_MS /
		       (COLD_PROMPT_DIVISOR * POOL_PREFILL_TOKENS_PER_MS);
}

/* Estimated time from the completion of a stage to the first event. */
static int64_t expected_remaining_us(struct direct_request *request,
				     uint32_t stage)
{
	return time_after_stage_us(request, stage) +
	       direct_stage_plan_engine_us(request);
}

/* The time to allow from the completion of a stage to the first event: the
 * expected time, corrected by the observations of the route. */
static int64_t budgeted_remaining_us(struct direct_request *request,
				     uint32_t stage)
{
	const struct direct_route_estimates *estimates =
		direct_request_estimates(request);
	int64_t estimate_us = expected_remaining_us(request, stage);

	return stage < DIRECT_ESTIMATED_STAGES_MAX
		       ? remaining_latency_us(&estimates->remaining[stage],
					      estimate_us)
		       : estimate_us;
}

static bool completed_last(const struct direct_request *request, uint32_t stage)
{
	for (uint32_t i = 0; i < request->route->stages_count; i++)
		if (request->completed_us[i] > request->completed_us[stage])
			return false;
	return true;
}

/* Whether the request continued from this stage to its first event without
 * waiting for other stages: only then is the time it took an observation for
 * this stage. */
static bool continued_at_once(const struct direct_request *request,
			      uint32_t stage)
{
	const struct direct_route *route = request->route;

	if (!request->completed_us[stage])
		return false;
	if (completed_last(request, stage))
		return true;
	for (uint32_t i = stage + 1; i < route->stages_count; i++)
		for (uint32_t j = 0; j < route->stages[i].input_stages_count;
		     j++)
			if (route->stages[i].input_stages[j] == stage &&
			    request->requested_us[i] &&
			    request->requested_us[i] <
				    request->completed_us[stage] +
					    IMMEDIATE_US &&
			    continued_at_once(request, i))
				return true;
	return false;
}

void direct_stage_plan_learn(struct direct_request *request)
{
	uint32_t count =
		MIN(request->route->stages_count, DIRECT_ESTIMATED_STAGES_MAX);
	struct direct_route_estimates *estimates;

	if (!request->graph || request->recomputations ||
	    request->sendings != 1)
		return;
	estimates = direct_request_estimates(request);
	if (request->estimated_us)
		admission_record_error(
			&estimates->admission_error, request->estimated_us,
			request->first_event_us - request->arrived_us,
			request->first_event_us);
	for (uint32_t i = 0; i < count; i++)
		if (continued_at_once(request, i))
			remaining_latency_record(
				&estimates->remaining[i],
				expected_remaining_us(request, i),
				request->first_event_us -
					request->completed_us[i]);
}

static bool has_missing_piece(const struct graph *graph, uint32_t stage)
{
	for (uint32_t i = 0; i < graph_piece_count(graph, stage); i++)
		if (graph_get_piece_state(graph, stage, i) ==
		    GRAPH_PIECE_MISSING)
			return true;
	return false;
}

/* Prefers the domain of the piece's inputs, if it has any; else, if no stage
 * follows, the domain of the engine that will receive its result. */
static void set_preferred_domain(struct direct_request *request, uint32_t stage,
				 struct piece *piece)
{
	const struct direct_stage *stages = request->route->stages;
	const struct pool *pool = request->direct->pool;
	const struct pool_upstream *preferred = NULL;
	struct pool_pick_args pick_args = {
		.service = request->service,
		.allowed_regions = request->allowed_regions,
		.blocks = (struct pool_prefix_block *)
				  request->info.prefix_blocks->data,
		.blocks_count = request->info.prefix_blocks->len,
	};

	for (uint32_t i = 0; i < stages[stage].input_stages_count; i++) {
		uint32_t input_stage = stages[stage].input_stages[i];
		uint64_t producer =
			graph_stage_producer(request->graph, input_stage);

		if (!producer)
			continue;
		preferred = pool_find_incarnation(pool, producer);
		piece->preferred_bytes +=
			stages[input_stage].bytes *
			(int64_t)graph_piece_count(request->graph, input_stage);
	}
	if (!stages[stage].input_stages_count &&
	    !time_after_stage_us(request, stage)) {
		direct_stages_set_shard(request->direct->stages, &pick_args);
		preferred = pool_affinity_upstream(pool, &pick_args);
		piece->preferred_bytes = stages[stage].bytes;
	}
	/* Interned, since the upstream may be freed before the piece. Domains
	 * are few. */
	piece->preferred_domain =
		preferred ? g_intern_string(preferred->info.domain) : NULL;
}

/* Whether a stage's inputs fill a large part of the result memory of their
 * producers. */
static bool occupies_result_memory(const struct direct_request *request,
				   uint32_t stage)
{
	const struct direct_stage *stages = request->route->stages;

	for (uint32_t i = 0; i < stages[stage].input_stages_count; i++) {
		uint32_t input_stage = stages[stage].input_stages[i];
		const struct direct_service *producer = direct_config_service(
			request->config, stages[input_stage].service);
		int64_t bytes = stages[input_stage].bytes *
				graph_piece_count(request->graph, input_stage);

		if (producer && producer->result_memory_bytes &&
		    bytes * RESULT_MEMORY_DIVISOR >=
			    producer->result_memory_bytes)
			return true;
	}
	return false;
}

/* Whether some pieces of a stage are completed or requested already. */
static bool has_started_piece(const struct graph *graph, uint32_t stage)
{
	for (uint32_t i = 0; i < graph_piece_count(graph, stage); i++)
		if (graph_get_piece_state(graph, stage, i) !=
		    GRAPH_PIECE_MISSING)
			return true;
	return false;
}

static GPtrArray *copy_inputs(const struct graph *graph, uint32_t stage)
{
	GPtrArray *inputs = g_ptr_array_new();

	graph_input_handles(graph, stage, inputs);
	for (guint i = 0; i < inputs->len; i++)
		inputs->pdata[i] = g_strdup(inputs->pdata[i]);
	g_ptr_array_set_free_func(inputs, g_free);
	return inputs;
}

/* The indices of the missing pieces of a stage, which are marked as requested.
 */
static GArray *claim_missing_pieces(struct graph *graph, uint32_t stage)
{
	GArray *indices = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (uint32_t i = 0; i < graph_piece_count(graph, stage); i++) {
		if (graph_get_piece_state(graph, stage, i) !=
		    GRAPH_PIECE_MISSING)
			continue;
		graph_set_requested(graph, stage, i);
		g_array_append_val(indices, i);
	}
	return indices;
}

static void request_pieces(struct direct_request *request, uint32_t stage)
{
	const struct direct_stage *stage_config =
		&request->route->stages[stage];
	const struct direct_service *service =
		direct_config_service(request->config, stage_config->service);
	int64_t call_us = service ? service->call_us + service->piece_us : 0;
	bool resumes = direct_request_is_resumed(request);
	int64_t event_due_us = resumes ? direct_stream_resume_limit_us(request)
				       : request->arrived_us -
						 request->client_waited_us +
						 request->route->target_us;
	struct direct_work work = {
		.id = g_strdup(request->id),
		.service = g_strdup(stage_config->service),
		.key = g_strdup(request->info.piece_key),
		.inputs = copy_inputs(request->graph, stage),
		.piece = {
			.stage = stage,
			.due_us = request->is_admitted_late && !resumes
				  ? direct_request_now_us(request) - 1
				  : event_due_us -
				  budgeted_remaining_us(request, stage) - call_us,
			.expires_us = resumes ? event_due_us
					      : request->deadline_us -
							expected_remaining_us(
								request, stage),
			.priority = request->priority,
			.result_bytes = stage_config->bytes,
			.allowed_regions = request->allowed_regions,
			.has_inputs = stage_config->input_stages_count > 0,
			.holds_memory = occupies_result_memory(request, stage),
			.exclusive =
				direct_request_is_content_trial(request),
			.group_started = has_started_piece(request->graph, stage),
			.resumes = resumes,
		},
	};

	set_preferred_domain(request, stage, &work.piece);
	if (request->requested_us[stage])
		request->recomputations++;
	else
		request->requested_us[stage] = direct_request_now_us(request);
	work.indices = claim_missing_pieces(request->graph, stage);
	direct_stages_submit(request->direct->stages, request, &work);
}

/* Results occupy result memory until the request is sent. A stage therefore
 * waits as long as the remaining path from another stage is longer than its own
 * by more than its own time, so that it runs together with the last stages of
 * the longest path. */
static bool should_wait(struct direct_request *request, uint32_t stage)
{
	int64_t own_us = direct_stage_plan_stage_us(request, stage) +
			 time_after_stage_us(request, stage);

	for (uint32_t i = 0; i < request->route->stages_count; i++) {
		if (!has_missing_piece(request->graph, i))
			continue;
		if (direct_stage_plan_stage_us(request, i) +
			    time_after_stage_us(request, i) >
		    own_us + direct_stage_plan_stage_us(request, stage))
			return true;
	}
	return false;
}

/* Requests all pieces that can be computed now. If the inputs of a stage were
 * freed already, they are recomputed first, and the stages are examined again
 * from the start. */
static void request_ready_stages(struct direct_request *request)
{
	for (uint32_t i = 0; i < request->route->stages_count; i++) {
		if (!has_missing_piece(request->graph, i) ||
		    !graph_stage_ready(request->graph, i) ||
		    should_wait(request, i))
			continue;
		if (!graph_inputs_available(request->graph, i)) {
			direct_stages_recompute_inputs(request->direct->stages,
						       request, i);
			i = UINT32_MAX; /* the loop adds one */
			continue;
		}
		request_pieces(request, i);
	}
}

static void record_stage_completion(struct direct_request *request,
				    uint32_t stage)
{
	request->completed_us[stage] = direct_request_now_us(request);
	if (request->requested_us[stage] <=
	    request->arrived_us + request->route->target_us)
		direct_stages_record_latency(
			request->direct->stages,
			request->route->stages[stage].service,
			request->priority,
			request->completed_us[stage] -
				request->requested_us[stage]);
}

static void record_completed_stages(struct direct_request *request)
{
	for (uint32_t i = 0; i < request->route->stages_count; i++)
		if (request->requested_us[i] && !request->completed_us[i] &&
		    graph_stage_completed(request->graph, i))
			record_stage_completion(request, i);
}

bool direct_stage_plan_can_recompute(const struct direct_request *request)
{
	return request->recomputations <= RECOMPUTATIONS_MAX;
}

void direct_request_advance(struct direct_request *request)
{
	if (request->state != DIRECT_STATE_STAGES)
		return;
	if (request->graph)
		record_completed_stages(request);
	if (!request->graph || graph_is_complete(request->graph)) {
		direct_sending_start(request);
		return;
	}
	if (!direct_request_check_quarantine(request) ||
	    !direct_stream_resume_check(request))
		return;
	request_ready_stages(request);
	if (!direct_stage_plan_can_recompute(request)) {
		direct_request_refuse(request, DIRECT_RETRY_AFTER_FULL_US,
				      "stages_fail");
		return;
	}
	direct_stages_free_results(request->direct->stages, request, false);
}

void direct_request_refuse_late(struct direct_request *request)
{
	const struct admission_request admission = {
		.late_us = ADMISSION_UNKNOWN_US,
		.left_us = MAX(request->deadline_us -
				       direct_request_now_us(request),
			       0),
		.hash = lp_hash_str(request->id),
	};

	direct_request_refuse(request, admission_retry_after_us(&admission),
			      "stages_late");
}

void direct_stage_plan_create(struct direct_request *request)
{
	const struct direct_route *route = request->route;
	struct graph_stage *stages =
		g_new0(struct graph_stage, route->stages_count);

	for (uint32_t i = 0; i < route->stages_count; i++) {
		stages[i].dependencies = route->stages[i].input_stages;
		stages[i].dependencies_count =
			route->stages[i].input_stages_count;
		stages[i].pieces = i < request->info.pieces->len
					   ? g_array_index(request->info.pieces,
							   uint32_t, i)
					   : 1;
	}
	request->graph = graph_create(stages, route->stages_count);
	request->requested_us = g_new0(int64_t, route->stages_count);
	request->completed_us = g_new0(int64_t, route->stages_count);
	g_free(stages);
}
