/** Calls that carry pieces of stages, and the giving up of their results. */
#include "direct/direct_private.h"

#include <string.h>

/* A call may take this many times what is expected of it. */
#define CALL_SLACK 3
#define CALL_TIMEOUT_MIN_US (700 * LP_US_PER_MS)
/* Peers that hear of an upstream that does not answer leave it alone for as
 * long as it would take them to find out. */
#define TELL_ASIDE_US (1 * LP_US_PER_S)
/* What pieces took tells of the next ones for about four calls; the newest
 * counts a quarter. */
#define LEARNT_US (1 * LP_US_PER_S)
#define LEARN_PARTS 4
/* Ranks of priority that are told apart; the last one stands for the rest. */
#define PRIORITIES 4
/* Members and upstreams change slowly against this. */
#define HOMES_MS 500
/* An upstream without room is asked again after about half a call. */
#define NO_ROOM_US (100 * LP_US_PER_MS)

/* How long the pieces of one priority took lately. */
struct learnt {
	int64_t took_us; /* fading mean */
	int64_t at_us;	 /* when it was heard last */
};

struct service {
	struct direct_stages *stages;
	struct pieces *pieces;
	char *name;
	guint wake;
	struct learnt learnt[PRIORITIES];
};

struct direct_stages {
	struct direct *direct;
	GHashTable *services; /* name -> struct service */
	GHashTable *calls;    /* of struct stage_call */
	struct direct_results *results;
	guint homes_timer;
	guint run_source;
};

struct stage_call {
	struct direct_stages *stages;
	struct service *service;
	struct pieces_call *call;
	struct http_fetch *fetch;
	uint32_t no_room; /* pieces not made for want of it */
	struct direct_reply reply;
};

static void schedule_run(struct direct_stages *stages);

/* ---- services ---- */

static void free_service(gpointer data)
{
	struct service *service = data;

	if (service->wake)
		g_source_remove(service->wake);
	pieces_destroy(service->pieces);
	g_free(service->name);
	g_free(service);
}

static void set_figures(struct pieces_options *options,
			const struct direct_service *figures)
{
	options->batch_max = 1;
	if (!figures || !figures->does_pieces)
		return;
	options->batch_max = MAX(figures->batch_max, 1);
	options->call_us = figures->call_us;
	options->piece_us = figures->piece_us;
	options->room_bytes = figures->room_bytes;
}

static struct service *service_of(struct direct_stages *stages,
				  const char *name)
{
	struct direct *direct = stages->direct;
	const struct direct_service *figures =
		direct_config_service(direct->config, name);
	struct service *service = g_hash_table_lookup(stages->services, name);
	struct pieces_options options = {
		.clock = direct->options.clock,
		.pool = direct->pool,
		.service = name,
		.domain = direct->domain,
		.self = direct->self,
	};

	if (service)
		return service;
	set_figures(&options, figures);
	service = g_new0(struct service, 1);
	service->stages = stages;
	service->name = g_strdup(name);
	service->pieces = pieces_create(&options);
	g_hash_table_insert(stages->services, service->name, service);
	return service;
}

void direct_stages_configure(struct direct_stages *stages,
			     const struct direct_config *config)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;
		struct pieces_options figures = { 0 };

		set_figures(&figures,
			    direct_config_service(config, service->name));
		pieces_set(service->pieces, &figures);
	}
}

void direct_stages_tell_busy(struct direct_stages *stages,
			     const struct pool_upstream *upstream,
			     int64_t for_us)
{
	if (stages->direct->peers)
		direct_peers_tell_busy(stages->direct->peers, upstream->hash,
				       for_us, upstream->kept_bytes);
}

/* How long a call of ours keeps this upstream at work still. */
int64_t direct_stages_own_work_us(const struct direct_stages *stages,
				  const struct pool_upstream *upstream)
{
	int64_t now_us = lp_now_us(stages->direct->options.clock);
	GHashTableIter iter;
	gpointer value;
	int64_t left_us = 0;

	g_hash_table_iter_init(&iter, stages->calls);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const struct pieces_call *call =
			((struct stage_call *)value)->call;

		if (call->upstream == upstream)
			left_us = MAX(left_us, call->started_us +
						       call->expected_us -
						       now_us);
	}
	return left_us;
}

/* ---- giving results up ---- */

static void give_up(struct direct_stages *stages, const GArray *results)
{
	for (guint i = 0; i < results->len; i++) {
		struct graph_result *result =
			&g_array_index(results, struct graph_result, i);

		direct_results_give_up(stages->results, result->maker,
				       result->handle, result->bytes);
		g_free(result->maker);
	}
}

void direct_stages_free_results(struct direct_stages *stages,
				struct graph *graph, bool all)
{
	g_autoptr(GArray) results =
		g_array_new(FALSE, FALSE, sizeof(struct graph_result));

	graph_take_unneeded(graph, all, results);
	give_up(stages, results);
}

void direct_stages_lost_inputs(struct direct_stages *stages,
			       struct graph *graph, uint32_t stage)
{
	g_autoptr(GArray) results =
		g_array_new(FALSE, FALSE, sizeof(struct graph_result));

	graph_lost_inputs(graph, stage, results);
	give_up(stages, results);
}

/* ---- a call's end ---- */

static void take_made(struct stage_call *call, const struct piece *piece,
		      struct direct_made *made)
{
	struct pool_upstream *upstream = call->call->upstream;
	struct graph *graph;

	if (made->result == DIRECT_ITEM_NO_ROOM)
		upstream->no_room_until_us =
			lp_now_us(call->stages->direct->options.clock) +
			NO_ROOM_US;
	if (!piece->request) {
		/* Its request ended meanwhile. */
		if (made->result == DIRECT_ITEM_MADE)
			direct_results_give_up(
				call->stages->results, upstream->entry.id,
				g_steal_pointer(&made->handle), piece->bytes);
		return;
	}
	graph = direct_request_graph(piece->request);
	if (made->result == DIRECT_ITEM_MADE) {
		graph_made(graph, piece->stage, piece->index, made->handle,
			   upstream->entry.id, piece->bytes);
		return;
	}
	graph_not_made(graph, piece->stage, piece->index);
	if (made->result == DIRECT_ITEM_INPUT_GONE)
		direct_stages_lost_inputs(call->stages, graph, piece->stage);
}

static void log_call(const struct stage_call *call, const char *outcome)
{
	struct lp_event_log *log = call->stages->direct->options.log;
	const struct pieces_call *made = call->call;
	int64_t now_us = lp_now_us(call->stages->direct->options.clock);

	if (!lp_event_begin(log, "stage_call", NULL))
		return;
	lp_event_text(log, "service", call->service->name);
	lp_event_text(log, "upstream", made->upstream->entry.id);
	lp_event_text(log, "outcome", outcome);
	lp_event_int(log, "pieces", made->pieces->len);
	lp_event_int(log, "no_room", call->no_room);
	lp_event_int(
		log, "kept_bytes",
		pool_kept_bytes(call->stages->direct->pool, made->upstream));
	lp_event_int(log, "took_us", now_us - made->started_us);
	lp_event_int(log, "expected_us", made->expected_us);
	lp_event_int(log, "others_running", call->reply.running);
	lp_event_int(log, "others_waiting", call->reply.waiting);
	lp_event_end(log);
}

/* Results, or NULL when the call brought none. */
static struct direct_made *read_results(struct stage_call *call,
					const struct http_fetch_answer *answer)
{
	const struct direct_codec *codec = call->stages->direct->options.codec;
	uint32_t count = call->call->pieces->len;
	struct direct_made *made;

	if (answer->error || answer->status != 200)
		return NULL;
	made = g_new0(struct direct_made, count);
	if (codec->read_items(answer->body, made, count))
		return made;
	g_free(made);
	return NULL;
}

static void take_results(struct stage_call *call, struct direct_made *made)
{
	GArray *pieces = call->call->pieces;

	for (guint i = 0; i < pieces->len; i++) {
		const struct piece *piece =
			&g_array_index(pieces, struct piece, i);

		if (!made || made[i].result != DIRECT_ITEM_MADE)
			call->call->upstream->kept_bytes -= piece->bytes;
		if (made)
			take_made(call, piece, &made[i]);
		else if (piece->request)
			graph_not_made(direct_request_graph(piece->request),
				       piece->stage, piece->index);
	}
	/* Requests may end while they are told: their pieces are unset then. */
	for (guint i = 0; i < pieces->len; i++) {
		const struct piece *piece =
			&g_array_index(pieces, struct piece, i);

		if (!piece->request)
			continue;
		if (made && made[i].result == DIRECT_ITEM_LATE)
			direct_request_pieces_late(piece->request);
		else
			direct_request_advance(piece->request);
	}
}

static enum pool_outcome outcome_of(const struct stage_call *call, int error,
				    const struct direct_made *made)
{
	if (error)
		return POOL_UNREACHABLE;
	if (call->reply.other_process)
		return POOL_WRONG;
	if (made)
		return POOL_SERVED;
	return call->reply.not_run ? POOL_FULL : POOL_ERROR;
}

static const char *outcome_name(enum pool_outcome outcome)
{
	static const char *const names[] = {
		"served", "full", "error", "unreachable", "wrong", "unknown"
	};

	return names[outcome];
}

static void end_call(struct stage_call *call,
		     const struct http_fetch_answer *answer)
{
	struct direct_stages *stages = call->stages;
	struct direct_made *made = read_results(call, answer);
	enum pool_outcome outcome = outcome_of(call, answer->error, made);
	guint count = call->call->pieces->len;

	for (guint i = 0; made && i < count; i++)
		call->no_room += made[i].result == DIRECT_ITEM_NO_ROOM;
	log_call(call, outcome_name(outcome));
	take_results(call, made);
	for (guint i = 0; made && i < count; i++)
		g_free(made[i].handle);
	g_free(made);
	g_hash_table_remove(stages->calls, call);
	if (outcome == POOL_UNREACHABLE && stages->direct->peers)
		direct_peers_tell_unreachable(stages->direct->peers,
					      call->call->upstream->hash,
					      TELL_ASIDE_US);
	direct_stages_tell_busy(stages, call->call->upstream, 0);
	pieces_end(call->service->pieces, call->call, outcome,
		   call->reply.running, call->reply.waiting);
	g_free(call);
	schedule_run(stages);
}

static void on_call_head(void *userdata, uint32_t status,
			 const struct http_fields *fields)
{
	struct stage_call *call = userdata;

	call->stages->direct->options.codec->read_reply(status, fields, NULL,
							&call->reply);
}

static void on_call_done(void *userdata, const struct http_fetch_answer *answer)
{
	end_call(userdata, answer);
}

/* What stands for the answer of a call that could not be made or is dropped. */
static const struct http_fetch_answer no_answer = {
	.error = LP_ERROR_UPSTREAM_GONE,
	.body = "",
};

/* ---- a call's start ---- */

static void fill_item(struct direct_stages *stages, const struct piece *piece,
		      struct direct_item *item)
{
	struct graph *graph = direct_request_graph(piece->request);
	GPtrArray *inputs = g_ptr_array_new();
	int64_t now_us = lp_now_us(stages->direct->options.clock);

	graph_inputs(graph, piece->stage, inputs);
	item->id = direct_request_id(piece->request);
	item->stage = piece->stage;
	item->piece = piece->index;
	item->left_us = piece->until_us - now_us;
	item->inputs = inputs;
	if (!inputs->len)
		item->key = direct_request_piece_key(piece->request);
}

static char *write_items(struct direct_stages *stages, const GArray *pieces)
{
	struct direct_item *items = g_new0(struct direct_item, pieces->len);
	char *body;

	for (guint i = 0; i < pieces->len; i++)
		fill_item(stages, &g_array_index(pieces, struct piece, i),
			  &items[i]);
	body = stages->direct->options.codec->write_items(items, pieces->len);
	for (guint i = 0; i < pieces->len; i++)
		g_ptr_array_unref((GPtrArray *)items[i].inputs);
	g_free(items);
	return body;
}

/* Inputs may have been lost since a piece was asked for. Such pieces leave the
 * call; their requests ask for the inputs again. */
static void drop_unready(struct pieces_call *made)
{
	g_autoptr(GPtrArray) requests = g_ptr_array_new();

	for (guint i = made->pieces->len; i-- > 0;) {
		const struct piece *piece =
			&g_array_index(made->pieces, struct piece, i);
		struct graph *graph = direct_request_graph(piece->request);

		if (graph_stage_ready(graph, piece->stage) &&
		    graph_inputs_kept(graph, piece->stage))
			continue;
		graph_not_made(graph, piece->stage, piece->index);
		made->upstream->kept_bytes -= piece->bytes;
		if (!g_ptr_array_find(requests, piece->request, NULL))
			g_ptr_array_add(requests, piece->request);
		g_array_remove_index(made->pieces, i);
	}
	for (guint i = 0; i < requests->len; i++)
		direct_request_advance(g_ptr_array_index(requests, i));
}

static void start_call(struct service *service, struct pieces_call *made)
{
	struct direct_stages *stages = service->stages;
	const struct direct_codec *codec = stages->direct->options.codec;
	g_autofree char *body = write_items(stages, made->pieces);
	struct stage_call *call = g_new0(struct stage_call, 1);
	struct http_fields fields;

	call->stages = stages;
	call->service = service;
	call->call = made;
	call->reply.running = -1;
	call->reply.waiting = -1;
	http_fields_init(&fields);
	codec->write_call(made->upstream->entry.id, &fields);
	g_hash_table_add(stages->calls, call);
	call->fetch = http_fetch_start(&(struct http_fetch_options){
		.address = made->upstream->entry.address,
		.method = "POST",
		.target = codec->items_target,
		.fields = &fields,
		.body = body,
		.connect_timeout_us = DIRECT_CONNECT_TIMEOUT_US,
		.timeout_us = MAX(CALL_SLACK * made->expected_us,
				  CALL_TIMEOUT_MIN_US),
		.head = on_call_head,
		.done = on_call_done,
		.userdata = call,
	});
	http_fields_clear(&fields);
	if (!call->fetch) {
		end_call(call, &no_answer);
		return;
	}
	direct_stages_tell_busy(stages, made->upstream, made->expected_us);
}

static gboolean on_wake(gpointer userdata)
{
	struct service *service = userdata;

	service->wake = 0;
	schedule_run(service->stages);
	return G_SOURCE_REMOVE;
}

static void set_wake(struct service *service)
{
	int64_t wake_us = pieces_wake_us(service->pieces);
	int64_t now_us = lp_now_us(service->stages->direct->options.clock);

	if (!wake_us || service->wake)
		return;
	service->wake =
		g_timeout_add((guint)(MAX(wake_us - now_us, 0) / LP_US_PER_MS),
			      on_wake, service);
}

/* The upstream of a service that we go to first, among the peers. */
static void find_home(struct direct_stages *stages, struct service *service)
{
	struct direct_peers *peers = stages->direct->peers;
	const GPtrArray *list =
		pool_of_service(stages->direct->pool, service->name);
	g_autoptr(GArray) entries =
		g_array_new(FALSE, FALSE, sizeof(struct homes_place));
	g_autoptr(GArray) upstreams =
		g_array_new(FALSE, FALSE, sizeof(struct homes_place));
	struct homes_place *places;
	int32_t home;

	for (guint i = 0; list && i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);
		struct homes_place place = { upstream->hash,
					     upstream->entry.domain };

		if (!upstream->entry.leaving)
			g_array_append_val(upstreams, place);
	}
	direct_peers_list(peers, entries);
	places = (struct homes_place *)upstreams->data;
	home = homes_find((struct homes_place *)entries->data, entries->len,
			  places, upstreams->len, direct_peers_self(peers));
	pieces_set_home(service->pieces, home >= 0 ? places[home].hash : 0);
}

static gboolean on_homes(gpointer userdata)
{
	struct direct_stages *stages = userdata;
	GHashTableIter iter;
	gpointer value;

	if (!stages->direct->peers)
		return G_SOURCE_CONTINUE;
	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		find_home(stages, value);
	return G_SOURCE_CONTINUE;
}

void direct_stages_run(struct direct_stages *stages)
{
	g_autoptr(GList) services = g_hash_table_get_values(stages->services);

	for (GList *at = services; at; at = at->next) {
		struct service *service = at->data;
		struct pieces_call *call;

		while ((call = pieces_next(service->pieces))) {
			drop_unready(call);
			if (call->pieces->len)
				start_call(service, call);
			else
				pieces_end(service->pieces, call, POOL_UNKNOWN,
					   -1, -1);
		}
		set_wake(service);
	}
}

static gboolean on_run(gpointer userdata)
{
	struct direct_stages *stages = userdata;

	stages->run_source = 0;
	direct_stages_run(stages);
	return G_SOURCE_REMOVE;
}

/* Once this turn of the loop is over, so that what comes in it goes along. */
static void schedule_run(struct direct_stages *stages)
{
	if (!stages->run_source)
		stages->run_source = g_idle_add_full(G_PRIORITY_DEFAULT, on_run,
						     stages, NULL);
}

/* ---- for requests ---- */

void direct_stages_add(struct direct_stages *stages, const char *service,
		       const struct piece *piece)
{
	pieces_add(service_of(stages, service)->pieces, piece);
	schedule_run(stages);
}

void direct_stages_drop(struct direct_stages *stages,
			struct direct_request *request)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pieces_drop(((struct service *)value)->pieces, request);
	g_hash_table_iter_init(&iter, stages->calls);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		GArray *pieces = ((struct stage_call *)value)->call->pieces;

		for (guint i = 0; i < pieces->len; i++) {
			struct piece *piece =
				&g_array_index(pieces, struct piece, i);

			if (piece->request == request)
				piece->request = NULL;
		}
	}
	direct_stages_free_results(stages, direct_request_graph(request), true);
}

static struct learnt *learnt_of(struct service *service, int32_t priority)
{
	return &service->learnt[CLAMP(priority, 0, PRIORITIES - 1)];
}

int64_t direct_stages_estimate_us(struct direct_stages *stages,
				  const char *service, int32_t priority)
{
	struct service *known = service_of(stages, service);
	int64_t model_us = pieces_estimate_us(known->pieces, priority);
	const struct learnt *learnt = learnt_of(known, priority);
	int64_t now_us = lp_now_us(stages->direct->options.clock);

	if (now_us - learnt->at_us > LEARNT_US)
		return model_us;
	return MAX(model_us, learnt->took_us);
}

void direct_stages_learn(struct direct_stages *stages, const char *name,
			 int32_t priority, int64_t took_us)
{
	struct learnt *learnt = learnt_of(service_of(stages, name), priority);
	int64_t now_us = lp_now_us(stages->direct->options.clock);

	if (now_us - learnt->at_us > LEARNT_US)
		learnt->took_us = took_us;
	else
		learnt->took_us += (took_us - learnt->took_us) / LEARN_PARTS;
	learnt->at_us = now_us;
}

struct direct_stages *direct_stages_create(struct direct *direct)
{
	struct direct_stages *stages = g_new0(struct direct_stages, 1);

	stages->direct = direct;
	stages->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_service);
	stages->results = direct_results_create(direct);
	stages->calls = g_hash_table_new(NULL, NULL);
	stages->homes_timer = g_timeout_add(HOMES_MS, on_homes, stages);
	return stages;
}

static void drop_calls(struct direct_stages *stages)
{
	g_autoptr(GList) calls = g_hash_table_get_keys(stages->calls);

	for (GList *at = calls; at; at = at->next) {
		struct stage_call *call = at->data;

		http_fetch_cancel(call->fetch);
		end_call(call, &no_answer);
	}
}

void direct_stages_destroy(struct direct_stages *stages)
{
	drop_calls(stages);
	g_source_remove(stages->homes_timer);
	if (stages->run_source)
		g_source_remove(stages->run_source);
	g_hash_table_unref(stages->services);
	direct_results_destroy(stages->results);
	g_hash_table_unref(stages->calls);
	g_free(stages);
}
