/** Stages of our requests: their pieces are asked of whoever dispatches. */
#include "direct/direct_relay.h"
#include "direct/direct_request.h"

#include "base/lp_id.h"
#include "base/lp_timer.h"
#include "policy/admission.h"

#include <string.h>

/* What a dispatcher said of its queue counts for as long. */
#define WAITS_US (500 * LP_US_PER_MS)
/* Members and upstreams change slowly against this. */
#define LOOK_MS 200
/* Members that are being met may all be heard before the wait would end. */
#define MEET_LOOK_MS 10
/* To place prompts at so many engines is as much work as to keep one upstream
 * of stages full. */
#define ENGINES_PER_UPSTREAM 4
/* Parts of a service that can be told apart. */
#define PARTS_MAX 64

struct service {
	char *name;
	bool is_engines; /* prompts are placed there, no pieces dispatched */
	bool is_ours;	 /* and we place some of them, members being met */
	uint32_t parts;
	uint64_t dispatchers[PARTS_MAX];
	int64_t owned_us; /* when the last part became ours */
	struct admission_memory learnt[DIRECT_RANKS];
	int64_t waits_us[DIRECT_RANKS]; /* at the dispatcher */
	int64_t waits_at_us;
};

/* Pieces of one stage of a request that were asked for together. */
struct ask {
	struct direct_stages *stages;
	uint64_t number;
	struct direct_request *request;
	uint32_t stage;
	uint32_t round; /* direct_request_quarantine_round() when it was asked,
			   ... */
	int64_t asked_us; /* and the time */
	struct service *service;
	struct direct_job *job;	 /* served here; NULL: at a peer, or waits */
	struct direct_work work; /* at a peer: kept to be asked elsewhere */
};

struct direct_stages {
	struct direct *direct;
	GHashTable *services; /* name -> struct service */
	GHashTable *asks;     /* number -> struct ask */
	uint64_t next_number;
	double phase; /* unlike that of other entries: warmup.h, rate_limit.h */
	guint look_timer;
	guint meet_timer; /* pieces wait for it; 0: members are met */
};

static int64_t now(const struct direct_stages *stages)
{
	return lp_now_us(stages->direct->options.clock);
}

static int32_t rank_of(int32_t priority)
{
	return CLAMP(priority, 0, DIRECT_RANKS - 1);
}

/* ---- who dispatches ---- */

static void free_service(gpointer data)
{
	struct service *service = data;

	g_free(service->name);
	g_free(service);
}

static uint64_t self_of(const struct direct_stages *stages)
{
	const struct direct *direct = stages->direct;

	return direct->relay ? direct_peers_self(direct->peers) : 0;
}

static struct service *service_of(struct direct_stages *stages,
				  const char *name)
{
	struct service *service = g_hash_table_lookup(stages->services, name);

	if (service)
		return service;
	service = g_new0(struct service, 1);
	service->name = g_strdup(name);
	service->parts = 1;
	service->dispatchers[0] = self_of(stages);
	service->owned_us = now(stages);
	g_hash_table_insert(stages->services, service->name, service);
	return service;
}

static void log_dispatcher(struct direct_stages *stages,
			   const struct service *service, uint32_t part,
			   uint64_t dispatcher, uint32_t members)
{
	struct lp_event_log *log = stages->direct->options.log;

	if (!lp_event_begin(log, "dispatcher", NULL))
		return;
	lp_event_text(log, "service", service->name);
	lp_event_int(log, "part", part);
	lp_event_int(log, "parts", service->parts);
	lp_event_text(log, "peer",
		      direct_peers_ip(stages->direct->peers, dispatcher));
	lp_event_int(log, "members", members);
	lp_event_end(log);
}

static void set_dispatcher(struct direct_stages *stages,
			   struct service *service, uint32_t part,
			   uint64_t dispatcher, uint32_t members)
{
	if (service->dispatchers[part] == dispatcher)
		return;
	service->dispatchers[part] = dispatcher;
	if (dispatcher == self_of(stages))
		service->owned_us = now(stages);
	log_dispatcher(stages, service, part, dispatcher, members);
}

/* Bits of the parts that are ours. */
static uint64_t own_parts(const struct direct_stages *stages,
			  const struct service *service)
{
	uint64_t own = 0;

	for (uint32_t i = 0; i < service->parts; i++)
		if (service->dispatchers[i] == self_of(stages))
			own |= UINT64_C(1) << i;
	return own;
}

/* Our own queue calls the upstreams of the parts that are ours; all of them
 * while none is, for who believes that they are. */
static void set_own_parts(struct direct_stages *stages,
			  const struct service *service)
{
	uint64_t own = own_parts(stages, service);

	direct_calls_set_parts(stages->direct->calls, service->name,
			       service->parts, own ? own : UINT64_MAX);
}

static uint32_t parts_of(const struct direct_stages *stages,
			 const struct service *service)
{
	const GPtrArray *list =
		pool_of_service(stages->direct->pool, service->name);
	uint32_t upstreams = list ? list->len : 1;

	if (service->is_engines)
		upstreams /= ENGINES_PER_UPSTREAM;
	return MIN(dispatchers_parts(upstreams), PARTS_MAX);
}

static uint64_t task_hash(const struct service *service, uint32_t part)
{
	return lp_hash_pair(lp_hash_str(service->name), part);
}

static GArray *list_tasks(struct direct_stages *stages)
{
	GArray *tasks =
		g_array_new(FALSE, FALSE, sizeof(struct dispatchers_task));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;

		service->parts = parts_of(stages, service);
		for (uint32_t i = 0; i < service->parts; i++) {
			struct dispatchers_task task = {
				.hash = task_hash(service, i),
			};

			g_array_append_val(tasks, task);
		}
	}
	return tasks;
}

static uint64_t found_for(const GArray *tasks, uint64_t hash)
{
	for (guint i = 0; i < tasks->len; i++) {
		const struct dispatchers_task *task =
			&g_array_index(tasks, struct dispatchers_task, i);

		if (task->hash == hash)
			return task->dispatcher;
	}
	return 0;
}

static bool places_some(const struct direct_stages *stages,
			const struct service *service)
{
	return own_parts(stages, service) != 0;
}

/* Whether we send to a service on behalf of all entries; plain services have
 * nobody who does. */
static bool sends_for_all(const struct direct_stages *stages,
			  const struct service *service, uint32_t members)
{
	return members < 2 || (service && places_some(stages, service));
}

/* Ours, of what a cold upstream of a service takes. */
static double cold_share(const struct service *service, bool for_all,
			 uint32_t members)
{
	if (for_all)
		return WARMUP_OWNER_SHARE;
	return (service ? WARMUP_OTHERS_SHARE : WARMUP_OWNER_SHARE) / members;
}

static void share_cold_upstreams(struct direct_stages *stages, uint32_t members)
{
	const struct direct_config *config = stages->direct->config;
	GHashTableIter iter;
	gpointer value;

	if (!config)
		return;
	g_hash_table_iter_init(&iter, config->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct direct_service *figures = value;
		const struct service *service;
		struct warmup_limits limits = {
			.cold_us = figures->cold_us,
			.per_s = figures->cold_per_s,
			.phase = members > 1 ? stages->phase : 0,
		};

		if (!figures->cold_us || figures->cold_per_s <= 0)
			continue;
		service = g_hash_table_lookup(stages->services, figures->name);
		limits.for_all = sends_for_all(stages, service, members);
		limits.share = cold_share(service, limits.for_all, members);
		pool_set_warmup(stages->direct->pool, figures->name, &limits);
	}
}

static struct rate_limit_share find_share(const struct direct_stages *stages,
					  const struct rate_limit_fleet *fleet)
{
	struct rate_limit_share share = rate_limit_find_share(fleet);

	share.phase = stages->phase;
	return share;
}

/* Our shares of the limits that upstreams name. */
static void share_limits(struct direct_stages *stages)
{
	const struct direct_peers *peers =
		stages->direct->relay ? stages->direct->peers : NULL;
	struct rate_limit_fleet fleet = {
		.heard = peers ? direct_peers_count(peers) : 1,
		.known = peers ? direct_peers_known(peers) : 1,
	};
	struct pool_limit_share share = {
		.parts = 1,
		.own = 1,
		.own_share = find_share(stages, &fleet),
	};
	GHashTableIter iter;
	gpointer value;

	pool_set_limit_share(stages->direct->pool, NULL, &share);
	fleet.has_owner = true;
	share.other_share = find_share(stages, &fleet);
	fleet.is_owner = true;
	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct service *service = value;

		share.parts = service->parts;
		share.own = own_parts(stages, service);
		fleet.owner_us = now(stages) - service->owned_us;
		share.own_share = find_share(stages, &fleet);
		pool_set_limit_share(stages->direct->pool, service->name,
				     &share);
	}
}

static void find_dispatchers(struct direct_stages *stages)
{
	g_autoptr(GArray) members =
		g_array_new(FALSE, FALSE, sizeof(struct dispatchers_member));
	g_autoptr(GArray) tasks = NULL;
	GHashTableIter iter;
	gpointer value;

	if (!stages->direct->relay) {
		share_cold_upstreams(stages, 1);
		share_limits(stages);
		return;
	}
	direct_peers_members(stages->direct->peers, members);
	tasks = list_tasks(stages);
	dispatchers_find((struct dispatchers_member *)members->data,
			 members->len, (struct dispatchers_task *)tasks->data,
			 tasks->len);
	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;

		for (uint32_t i = 0; i < service->parts; i++) {
			uint64_t found =
				found_for(tasks, task_hash(service, i));

			set_dispatcher(stages, service, i,
				       found ? found : self_of(stages),
				       members->len);
		}
		if (!service->is_engines)
			set_own_parts(stages, service);
	}
	share_cold_upstreams(stages, direct_peers_count(stages->direct->peers));
	share_limits(stages);
}

/* Whoever begins to place prompts asks what is in the engines' memory. */
static void take_over_engines(struct direct_stages *stages)
{
	GHashTableIter iter;
	gpointer value;

	if (stages->meet_timer || !direct_ready(stages->direct))
		return;
	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;
		bool was_ours = service->is_ours;

		service->is_ours =
			service->is_engines && places_some(stages, service);
		if (service->is_ours && !was_ours)
			direct_prefix_cache_query(stages->direct->prefix_cache,
						  service->name);
	}
}

static gboolean on_look(gpointer userdata)
{
	find_dispatchers(userdata);
	take_over_engines(userdata);
	return G_SOURCE_CONTINUE;
}

/* Services of stages are known from the configuration, so that all entries
 * share them out alike. */
void direct_stages_configure(struct direct_stages *stages,
			     const struct direct_config *config)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, config->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct direct_service *service = value;

		pool_set_copying(stages->direct->pool, service->name,
				 service->token_bytes,
				 service->copy_bytes_per_us);
		if (service->serves_pieces || service->prefix_cache_tokens)
			service_of(stages, service->name)->is_engines =
				!service->serves_pieces;
	}
	find_dispatchers(stages);
}

uint64_t direct_stages_dispatcher(struct direct_stages *stages,
				  const struct pool_upstream *upstream)
{
	/* Before a configuration names it, nobody dispatches a service. */
	const struct service *service =
		g_hash_table_lookup(stages->services, upstream->entry.service);
	uint64_t dispatcher;

	if (!service)
		return 0;
	dispatcher = service->dispatchers[upstream->hash % service->parts];
	return dispatcher == self_of(stages) ? 0 : dispatcher;
}

void direct_stages_share(struct direct_stages *stages, struct pool_ask *ask)
{
	const struct service *service =
		g_hash_table_lookup(stages->services, ask->service);
	uint32_t last = ask->parts_count - 1;

	if (!service || !service->is_engines || !ask->parts_count)
		return;
	/* By the last part that others share. */
	ask->share_count = service->parts;
	ask->share =
		(uint32_t)(ask->parts[last ? last - 1 : 0].id % service->parts);
}

uint64_t direct_stages_placer(struct direct_stages *stages,
			      const struct pool_ask *ask)
{
	const struct service *service =
		g_hash_table_lookup(stages->services, ask->service);

	if (!service || !service->is_engines ||
	    service->dispatchers[ask->share] == self_of(stages))
		return 0;
	return service->dispatchers[ask->share];
}

/* ---- asks ---- */

static void free_ask(gpointer data)
{
	struct ask *ask = data;

	direct_work_clear(&ask->work);
	g_free(ask);
}

static void take_result(struct ask *ask, struct direct_result *result)
{
	struct graph *graph = ask->request->graph;

	/* Our list may not name its maker yet; the dispatcher's does. */
	if (result->result == DIRECT_ITEM_COMPLETED)
		graph_made(graph, ask->stage, result->index, result->handle,
			   result->maker,
			   ask->request->route->stages[ask->stage].bytes);
	else
		graph_not_made(graph, ask->stage, result->index);
}

static void remove_index(GArray *indices, uint32_t index)
{
	for (guint i = 0; indices && i < indices->len; i++) {
		if (g_array_index(indices, uint32_t, i) != index)
			continue;
		g_array_remove_index_fast(indices, i);
		return;
	}
}

static bool any_is(const struct direct_result *results, uint32_t count,
		   enum direct_item_result kind)
{
	for (uint32_t i = 0; i < count; i++)
		if (results[i].result == kind)
			return true;
	return false;
}

/* Calls broke off: what was asked of these upstreams is lost. */
static void note_lost(const struct ask *ask,
		      const struct direct_result *results, uint32_t count)
{
	struct direct_request *request = ask->request;
	const struct pool_upstream *before = NULL;

	for (uint32_t i = 0; i < count; i++) {
		const struct pool_upstream *upstream;

		if (results[i].result != DIRECT_ITEM_LOST)
			continue;
		upstream =
			pool_find_life(request->direct->pool, results[i].maker);
		if (upstream && upstream != before)
			direct_request_report_lost(request, upstream,
						   ask->round, ask->asked_us);
		before = upstream;
	}
}

/* Results have come; the ask is over when `left` is 0. Its request may end by
 * this. */
static void take_results(struct ask *ask, struct direct_result *results,
			 uint32_t count, uint32_t left)
{
	struct direct_stages *stages = ask->stages;
	struct direct_request *request = ask->request;
	uint32_t stage = ask->stage;
	bool late = any_is(results, count, DIRECT_ITEM_LATE);

	note_lost(ask, results, count);
	for (uint32_t i = 0; i < count; i++) {
		take_result(ask, &results[i]);
		remove_index(ask->work.indices, results[i].index);
	}
	if (!left)
		g_hash_table_remove(stages->asks, &ask->number);
	if (any_is(results, count, DIRECT_ITEM_INPUT_GONE))
		direct_stages_lost_inputs(stages, request, stage);
	if (late)
		direct_request_refuse_late(request);
	else
		direct_request_advance(request);
}

static void on_job_made(void *userdata, struct direct_result *results,
			uint32_t count, uint32_t left)
{
	take_results(userdata, results, count, left);
}

static void on_relay_made(void *userdata, uint64_t number,
			  struct direct_result *results, uint32_t count)
{
	struct direct_stages *stages = userdata;
	struct ask *ask = g_hash_table_lookup(stages->asks, &number);
	uint32_t left;

	if (!ask)
		return;
	left = ask->work.indices->len - MIN(count, ask->work.indices->len);
	if (!left)
		direct_relay_forget(stages->direct->relay, number, false);
	take_results(ask, results, count, left);
}

static void on_relay_waits(void *userdata, uint64_t number,
			   const int64_t waits_us[DIRECT_RANKS])
{
	struct direct_stages *stages = userdata;
	struct ask *ask = g_hash_table_lookup(stages->asks, &number);

	if (!ask)
		return;
	memcpy(ask->service->waits_us, waits_us,
	       sizeof(ask->service->waits_us));
	ask->service->waits_at_us = now(stages);
}

/* To the dispatcher of its part, or to our own queue. */
static void place(struct direct_stages *stages, struct ask *ask)
{
	const struct service *service = ask->service;
	uint32_t part = (uint32_t)(lp_hash_str(ask->work.id) % service->parts);
	uint64_t dispatcher = service->dispatchers[part];

	if (stages->direct->relay && dispatcher != self_of(stages) &&
	    direct_relay_ask(stages->direct->relay, dispatcher, ask->number,
			     &ask->work))
		return;
	ask->job = direct_calls_add(stages->direct->calls, &ask->work,
				    on_job_made, ask);
}

static gboolean on_met_look(gpointer userdata)
{
	struct direct_stages *stages = userdata;
	g_autoptr(GList) waiting = NULL;

	if (direct_peers_meeting_left_us(stages->direct->peers))
		return G_SOURCE_CONTINUE;
	stages->meet_timer = 0;
	waiting = g_hash_table_get_values(stages->asks);
	find_dispatchers(stages);
	take_over_engines(stages);
	for (GList *at = waiting; at; at = at->next)
		place(stages, at->data);
	return G_SOURCE_REMOVE;
}

static void on_relay_lost(void *userdata, uint64_t number)
{
	struct direct_stages *stages = userdata;
	struct ask *ask = g_hash_table_lookup(stages->asks, &number);
	struct lp_event_log *log = stages->direct->options.log;

	if (!ask)
		return;
	find_dispatchers(stages);
	/* Results that still come of the old number are not ours any more. */
	g_hash_table_steal(stages->asks, &ask->number);
	ask->number = stages->next_number++;
	g_hash_table_insert(stages->asks, &ask->number, ask);
	if (lp_event_begin(log, "pieces_moved", ask->work.id)) {
		lp_event_text(log, "service", ask->service->name);
		lp_event_int(log, "pieces", ask->work.indices->len);
		lp_event_end(log);
	}
	place(stages, ask);
}

void direct_stages_ask(struct direct_stages *stages,
		       struct direct_request *request, struct direct_work *work)
{
	struct ask *ask = g_new0(struct ask, 1);

	ask->stages = stages;
	ask->number = stages->next_number++;
	ask->request = request;
	ask->stage = work->piece.stage;
	ask->round = direct_request_quarantine_round(request);
	ask->asked_us = now(stages);
	ask->service = service_of(stages, work->service);
	ask->work = *work;
	memset(work, 0, sizeof(*work));
	g_hash_table_insert(stages->asks, &ask->number, ask);
	if (!stages->meet_timer)
		place(stages, ask);
}

static void drop_ask(struct direct_stages *stages, struct ask *ask)
{
	if (ask->job)
		direct_calls_drop(ask->job);
	else if (stages->direct->relay)
		direct_relay_forget(stages->direct->relay, ask->number, true);
	g_hash_table_remove(stages->asks, &ask->number);
}

static void drop_asks(struct direct_stages *stages,
		      const struct direct_request *request,
		      const uint32_t *stage)
{
	g_autoptr(GList) asks = g_hash_table_get_values(stages->asks);

	for (GList *at = asks; at; at = at->next) {
		struct ask *ask = at->data;

		if (ask->request == request && (!stage || ask->stage == *stage))
			drop_ask(stages, ask);
	}
}

/* ---- giving results up ---- */

static void give_up(struct direct_stages *stages, const GArray *results)
{
	struct direct *direct = stages->direct;

	for (guint i = 0; i < results->len; i++) {
		struct graph_result *result =
			&g_array_index(results, struct graph_result, i);

		direct_results_give_up(direct->results, result->maker,
				       result->handle, result->bytes);
	}
}

void direct_stages_free_results(struct direct_stages *stages,
				struct direct_request *request, bool all)
{
	g_autoptr(GArray) results =
		g_array_new(FALSE, FALSE, sizeof(struct graph_result));

	graph_take_unneeded(request->graph, all, results);
	give_up(stages, results);
}

/* Pieces that wait with the old inputs are not made. */
static void forget_asked(struct graph *graph, uint32_t stage)
{
	for (uint32_t i = 0; i < graph_pieces(graph, stage); i++)
		if (graph_state(graph, stage, i) == GRAPH_PIECE_ASKED)
			graph_not_made(graph, stage, i);
}

void direct_stages_lost_inputs(struct direct_stages *stages,
			       struct direct_request *request, uint32_t stage)
{
	g_autoptr(GArray) results =
		g_array_new(FALSE, FALSE, sizeof(struct graph_result));

	if (stage < request->route->stages_count) {
		drop_asks(stages, request, &stage);
		forget_asked(request->graph, stage);
	}
	graph_lost_inputs(request->graph, stage, results);
	give_up(stages, results);
}

void direct_stages_drop(struct direct_stages *stages,
			struct direct_request *request)
{
	drop_asks(stages, request, NULL);
	direct_stages_free_results(stages, request, true);
}

/* ---- estimates ---- */

static int64_t queue_us(struct direct_stages *stages,
			const struct service *service, int32_t priority)
{
	if (service->dispatchers[0] == self_of(stages))
		return direct_calls_estimate_us(stages->direct->calls,
						service->name, priority);
	if (now(stages) - service->waits_at_us > WAITS_US)
		return 0;
	return service->waits_us[rank_of(priority)];
}

int64_t direct_stages_estimate_us(struct direct_stages *stages,
				  const char *name, int32_t priority)
{
	struct service *service = service_of(stages, name);

	return admission_stage_us(&service->learnt[rank_of(priority)],
				  queue_us(stages, service, priority),
				  now(stages));
}

void direct_stages_learn(struct direct_stages *stages, const char *name,
			 int32_t priority, int64_t took_us)
{
	struct service *service = service_of(stages, name);

	admission_learn(&service->learnt[rank_of(priority)], took_us,
			now(stages));
}

/* ---- start and end ---- */

void direct_stages_set_peers(struct direct_stages *stages,
			     struct direct_peers *peers)
{
	const struct direct_relay_events events = {
		.made = on_relay_made,
		.waits = on_relay_waits,
		.lost = on_relay_lost,
		.userdata = stages,
	};

	if (!peers)
		return;
	stages->direct->relay =
		direct_relay_create(stages->direct, peers, &events);
	stages->meet_timer = lp_timer_add(MEET_LOOK_MS, on_met_look, stages);
	find_dispatchers(stages);
}

struct direct_stages *direct_stages_create(struct direct *direct)
{
	struct direct_stages *stages = g_new0(struct direct_stages, 1);

	stages->direct = direct;
	stages->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_service);
	stages->asks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     free_ask);
	/* Unlike those of an earlier life. */
	stages->next_number = lp_random_u64();
	stages->phase = g_random_double();
	stages->look_timer = lp_timer_add(LOOK_MS, on_look, stages);
	return stages;
}

void direct_stages_destroy(struct direct_stages *stages)
{
	g_source_remove(stages->look_timer);
	if (stages->meet_timer)
		g_source_remove(stages->meet_timer);
	g_hash_table_unref(stages->asks);
	g_hash_table_unref(stages->services);
	g_free(stages);
}
