/** The stages of one request: which pieces are asked for, and when. */
#include "direct/direct_request.h"

/* Part of a prompt that an engine has still to read, on the average. */
#define PROMPT_PARTS 4
/* Pieces that have to be made again, for all stages of one request. */
#define REMAKES_MAX 24
/* A request's results that fill this part of an upstream's room (a fiftieth)
 * are not left waiting there. */
#define ROOM_SHARES 50

/* A stage is asked for this soon after its inputs are made, if nothing else
 * holds it back. */
#define AT_ONCE_US (20 * LP_US_PER_MS)

/* ---- stages ---- */

/* Time that a stage takes by itself, about. */
static int64_t stage_us(struct direct_request *request, uint32_t stage)
{
	const struct direct_service *service = direct_config_service(
		request->config, request->route->stages[stage].service);

	if (!service || !graph_pieces(request->graph, stage))
		return 0;
	return service->call_us +
	       service->piece_us * graph_pieces(request->graph, stage);
}

/* Time that a request still needs once this stage is made, about. */
static int64_t after_stage_us(struct direct_request *request, uint32_t stage)
{
	const struct direct_route *route = request->route;
	int64_t longest_us = 0;

	for (uint32_t i = stage + 1; i < route->stages_count; i++) {
		for (uint32_t j = 0; j < route->stages[i].after_count; j++) {
			int64_t us;

			if (route->stages[i].after[j] != stage)
				continue;
			us = stage_us(request, i) + after_stage_us(request, i);
			longest_us = MAX(longest_us, us);
		}
	}
	return longest_us;
}

int64_t direct_prepare_engine_us(const struct direct_request *request)
{
	return DIRECT_ENGINE_FIRST_US +
	       request->ask.tokens_in * LP_US_PER_MS /
		       (PROMPT_PARTS * POOL_TOKENS_PER_MS);
}

/* Time from the end of a stage to the first event, about. */
static int64_t expected_us(struct direct_request *request, uint32_t stage)
{
	return after_stage_us(request, stage) +
	       direct_prepare_engine_us(request);
}

/* ... as it is allowed for. */
static int64_t allowed_us(struct direct_request *request, uint32_t stage)
{
	const struct direct_learnt *learnt = direct_request_learnt(request);
	int64_t us = expected_us(request, stage);

	return stage < DIRECT_LEARNT_STAGES
		       ? remaining_us(&learnt->remaining[stage], us)
		       : us;
}

static bool is_last_made(const struct direct_request *request, uint32_t stage)
{
	for (uint32_t i = 0; i < request->route->stages_count; i++)
		if (request->made_us[i] > request->made_us[stage])
			return false;
	return true;
}

/* Whether the request went on at once from this stage to its first event: what
 * it took then waited for nothing beside it. */
static bool went_on(const struct direct_request *request, uint32_t stage)
{
	const struct direct_route *route = request->route;

	if (!request->made_us[stage])
		return false;
	if (is_last_made(request, stage))
		return true;
	for (uint32_t i = stage + 1; i < route->stages_count; i++)
		for (uint32_t j = 0; j < route->stages[i].after_count; j++)
			if (route->stages[i].after[j] == stage &&
			    request->asked_us[i] &&
			    request->asked_us[i] <
				    request->made_us[stage] + AT_ONCE_US &&
			    went_on(request, i))
				return true;
	return false;
}

void direct_prepare_learn(struct direct_request *request)
{
	uint32_t count =
		MIN(request->route->stages_count, DIRECT_LEARNT_STAGES);
	struct direct_learnt *learnt;

	if (!request->graph || request->remakes || request->moves != 1)
		return;
	learnt = direct_request_learnt(request);
	for (uint32_t i = 0; i < count; i++)
		if (went_on(request, i))
			remaining_learn(
				&learnt->remaining[i], expected_us(request, i),
				request->first_us - request->made_us[i]);
}

static bool has_missing(const struct graph *graph, uint32_t stage)
{
	for (uint32_t i = 0; i < graph_pieces(graph, stage); i++)
		if (graph_state(graph, stage, i) == GRAPH_PIECE_MISSING)
			return true;
	return false;
}

/* Near its inputs, if it has any; else near the engine that will take it. */
static void set_preferred_domain(struct direct_request *request, uint32_t stage,
				 struct piece *piece)
{
	const struct direct_stage *stages = request->route->stages;
	const struct pool *pool = request->direct->pool;
	const struct pool_upstream *preferred = NULL;
	struct pool_ask ask = {
		.service = request->service,
		.homes = request->homes,
		.parts = (struct pool_part *)request->ask.parts->data,
		.parts_count = request->ask.parts->len,
	};

	for (uint32_t i = 0; i < stages[stage].after_count; i++) {
		uint32_t before = stages[stage].after[i];
		uint64_t maker = graph_maker(request->graph, before);

		if (!maker)
			continue;
		preferred = pool_find_life(pool, maker);
		piece->preferred_bytes +=
			stages[before].bytes *
			(int64_t)graph_pieces(request->graph, before);
	}
	if (!stages[stage].after_count && !after_stage_us(request, stage)) {
		direct_stages_set_shard(request->direct->stages, &ask);
		preferred = pool_home(pool, &ask);
		piece->preferred_bytes = stages[stage].bytes;
	}
	/* The upstream may be gone before the piece is. Domains are few. */
	piece->preferred_domain =
		preferred ? g_intern_string(preferred->entry.domain) : NULL;
}

/* Whether a stage's inputs take up a good part of their makers' room. */
static bool holds_room(const struct direct_request *request, uint32_t stage)
{
	const struct direct_stage *stages = request->route->stages;

	for (uint32_t i = 0; i < stages[stage].after_count; i++) {
		uint32_t before = stages[stage].after[i];
		const struct direct_service *maker = direct_config_service(
			request->config, stages[before].service);
		int64_t bytes = stages[before].bytes *
				graph_pieces(request->graph, before);

		if (maker && maker->room_bytes &&
		    bytes * ROOM_SHARES >= maker->room_bytes)
			return true;
	}
	return false;
}

/* Whether some pieces of a stage are made or asked for already. */
static bool is_begun(const struct graph *graph, uint32_t stage)
{
	for (uint32_t i = 0; i < graph_pieces(graph, stage); i++)
		if (graph_state(graph, stage, i) != GRAPH_PIECE_MISSING)
			return true;
	return false;
}

static GPtrArray *copy_inputs(const struct graph *graph, uint32_t stage)
{
	GPtrArray *inputs = g_ptr_array_new();

	graph_inputs(graph, stage, inputs);
	for (guint i = 0; i < inputs->len; i++)
		inputs->pdata[i] = g_strdup(inputs->pdata[i]);
	g_ptr_array_set_free_func(inputs, g_free);
	return inputs;
}

/* The missing pieces of a stage, which count as asked for from now on. */
static GArray *take_missing(struct graph *graph, uint32_t stage)
{
	GArray *indices = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (uint32_t i = 0; i < graph_pieces(graph, stage); i++) {
		if (graph_state(graph, stage, i) != GRAPH_PIECE_MISSING)
			continue;
		graph_asked(graph, stage, i);
		g_array_append_val(indices, i);
	}
	return indices;
}

static void ask_pieces(struct direct_request *request, uint32_t stage)
{
	const struct direct_stage *config = &request->route->stages[stage];
	const struct direct_service *service =
		direct_config_service(request->config, config->service);
	int64_t call_us = service ? service->call_us + service->piece_us : 0;
	struct direct_work work = {
		.id = g_strdup(request->id),
		.service = g_strdup(config->service),
		.key = g_strdup(request->ask.piece_key),
		.inputs = copy_inputs(request->graph, stage),
		.piece = {
			.stage = stage,
			.due_us = request->arrived_us - request->waited_us +
				  request->route->target_us -
				  allowed_us(request, stage) - call_us,
			.until_us = request->give_up_us,
			.priority = request->priority,
			.bytes = config->bytes,
			.homes = request->homes,
			.has_inputs = config->after_count > 0,
			.holds_room = holds_room(request, stage),
			.alone = request->is_try,
			.split = is_begun(request->graph, stage),
		},
	};

	set_preferred_domain(request, stage, &work.piece);
	if (request->asked_us[stage])
		request->remakes++;
	else
		request->asked_us[stage] = direct_request_now_us(request);
	work.indices = take_missing(request->graph, stage);
	direct_stages_submit(request->direct->stages, request, &work);
}

/* Results take up room until the request goes off. What is needed only at the
 * end is made together with the last steps of the longest way there. */
static bool is_early(struct direct_request *request, uint32_t stage)
{
	int64_t own_us =
		stage_us(request, stage) + after_stage_us(request, stage);

	for (uint32_t i = 0; i < request->route->stages_count; i++) {
		if (!has_missing(request->graph, i))
			continue;
		if (stage_us(request, i) + after_stage_us(request, i) >
		    own_us + stage_us(request, stage))
			return true;
	}
	return false;
}

/* Ask for what can be made now. A stage whose inputs were given up already
 * has them made again, so look once more from the start. */
static void ask_ready_stages(struct direct_request *request)
{
	for (uint32_t i = 0; i < request->route->stages_count; i++) {
		if (!has_missing(request->graph, i) ||
		    !graph_stage_ready(request->graph, i) ||
		    is_early(request, i))
			continue;
		if (!graph_inputs_kept(request->graph, i)) {
			direct_stages_recompute_inputs(request->direct->stages,
						       request, i);
			i = UINT32_MAX; /* the loop adds one */
			continue;
		}
		ask_pieces(request, i);
	}
}

static void note_stage_made(struct direct_request *request, uint32_t stage)
{
	request->made_us[stage] = direct_request_now_us(request);
	if (request->asked_us[stage] <=
	    request->arrived_us + request->route->target_us)
		direct_stages_record_latency(
			request->direct->stages,
			request->route->stages[stage].service,
			request->priority,
			request->made_us[stage] - request->asked_us[stage]);
}

static void note_made(struct direct_request *request)
{
	for (uint32_t i = 0; i < request->route->stages_count; i++)
		if (request->asked_us[i] && !request->made_us[i] &&
		    graph_stage_made(request->graph, i))
			note_stage_made(request, i);
}

void direct_request_advance(struct direct_request *request)
{
	if (request->state != DIRECT_STATE_STAGES)
		return;
	if (request->graph)
		note_made(request);
	if (!request->graph || graph_complete(request->graph)) {
		direct_sending_start(request);
		return;
	}
	if (!direct_request_passes(request))
		return;
	ask_ready_stages(request);
	if (request->remakes > REMAKES_MAX) {
		direct_request_refuse(request, DIRECT_WAIT_FULL_US,
				      "stages_fail");
		return;
	}
	direct_stages_free_results(request->direct->stages, request, false);
}

void direct_request_pieces_late(struct direct_request *request)
{
	direct_request_refuse(request, DIRECT_WAIT_FULL_US, "stages_late");
}

void direct_prepare_create(struct direct_request *request)
{
	const struct direct_route *route = request->route;
	struct graph_stage *stages =
		g_new0(struct graph_stage, route->stages_count);

	for (uint32_t i = 0; i < route->stages_count; i++) {
		stages[i].after = route->stages[i].after;
		stages[i].after_count = route->stages[i].after_count;
		stages[i].pieces = i < request->ask.pieces->len
					   ? g_array_index(request->ask.pieces,
							   uint32_t, i)
					   : 1;
	}
	request->graph = graph_create(stages, route->stages_count);
	request->asked_us = g_new0(int64_t, route->stages_count);
	request->made_us = g_new0(int64_t, route->stages_count);
	g_free(stages);
}
