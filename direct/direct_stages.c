/** Stages of our requests: their pieces are asked of whoever dispatches. */
#include "direct/direct_relay.h"
#include "direct/direct_request.h"

#include "base/lp_id.h"
#include "base/lp_timer.h"
#include "policy/admission.h"

#include <string.h>

/* What a dispatcher said of its queue counts for as long. */
#define DISPATCHER_WAITS_VALID_US (500 * LP_US_PER_MS)
/* Members and upstreams change slowly against this. */
#define ASSIGNMENT_INTERVAL_MS 200
/* Members that are being met may all be heard before the wait would end. */
#define DISCOVERY_POLL_MS 10
/* To place prompts at so many engines is as much work as to keep one upstream
 * of stages full. */
#define ENGINES_PER_STAGE_UPSTREAM 4
/* Parts of a service that can be told apart. */
#define SHARDS_MAX 64

struct stage_service {
	char *name;
	bool is_engines; /* prompts are placed there, no pieces dispatched */
	bool is_placed_here; /* and we place some of them, members being met */
	uint32_t shards;
	uint64_t dispatchers[SHARDS_MAX];
	int64_t acquired_us; /* when the last part became ours */
	struct admission_memory latencies[DIRECT_RANKS];
	int64_t queue_waits_us[DIRECT_RANKS]; /* at the dispatcher */
	int64_t queue_waits_received_us;
};

/* Pieces of one stage of a request that were asked for together. */
struct submission {
	struct direct_stages *stages;
	uint64_t number;
	struct direct_request *request;
	uint32_t stage;
	uint32_t round; /* direct_request_round() when it was asked, ... */
	int64_t submitted_us; /* and the time */
	struct stage_service *service;
	struct direct_job *job;	 /* served here; NULL: at a peer, or waits */
	struct direct_work work; /* at a peer: kept to be asked elsewhere */
};

struct direct_stages {
	struct direct *direct;
	GHashTable *services;	 /* name -> struct stage_service */
	GHashTable *submissions; /* number -> struct submission */
	uint64_t next_number;
	double phase; /* unlike that of other entries: warmup.h, rate_limit.h */
	guint assignment_timer;
	guint discovery_timer; /* pieces wait for it; 0: members are met */
};

static int64_t time_now_us(const struct direct_stages *stages)
{
	return lp_now_us(stages->direct->options.clock);
}

static int32_t rank_of_priority(int32_t priority)
{
	return CLAMP(priority, 0, DIRECT_RANKS - 1);
}

/* ---- who dispatches ---- */

static void free_service(gpointer data)
{
	struct stage_service *service = data;

	g_free(service->name);
	g_free(service);
}

static uint64_t own_hash(const struct direct_stages *stages)
{
	const struct direct *direct = stages->direct;

	return direct->relay ? direct_peers_self(direct->peers) : 0;
}

static struct stage_service *get_or_create_service(struct direct_stages *stages,
						   const char *name)
{
	struct stage_service *service =
		g_hash_table_lookup(stages->services, name);

	if (service)
		return service;
	service = g_new0(struct stage_service, 1);
	service->name = g_strdup(name);
	service->shards = 1;
	service->dispatchers[0] = own_hash(stages);
	service->acquired_us = time_now_us(stages);
	g_hash_table_insert(stages->services, service->name, service);
	return service;
}

static void log_dispatcher(struct direct_stages *stages,
			   const struct stage_service *service, uint32_t shard,
			   uint64_t dispatcher, uint32_t members)
{
	struct lp_event_log *log = stages->direct->options.log;

	if (!lp_event_begin(log, "dispatcher", NULL))
		return;
	lp_event_text(log, "service", service->name);
	lp_event_int(log, "part", shard);
	lp_event_int(log, "parts", service->shards);
	lp_event_text(log, "peer",
		      direct_peers_ip(stages->direct->peers, dispatcher));
	lp_event_int(log, "members", members);
	lp_event_end(log);
}

static void set_dispatcher(struct direct_stages *stages,
			   struct stage_service *service, uint32_t shard,
			   uint64_t dispatcher, uint32_t members)
{
	if (service->dispatchers[shard] == dispatcher)
		return;
	service->dispatchers[shard] = dispatcher;
	if (dispatcher == own_hash(stages))
		service->acquired_us = time_now_us(stages);
	log_dispatcher(stages, service, shard, dispatcher, members);
}

/* Bits of the parts that are ours. */
static uint64_t own_shards(const struct direct_stages *stages,
			   const struct stage_service *service)
{
	uint64_t own = 0;

	for (uint32_t i = 0; i < service->shards; i++)
		if (service->dispatchers[i] == own_hash(stages))
			own |= UINT64_C(1) << i;
	return own;
}

/* Our own queue calls the upstreams of the parts that are ours; all of them
 * while none is, for who believes that they are. */
static void set_own_shards(struct direct_stages *stages,
			   const struct stage_service *service)
{
	uint64_t own = own_shards(stages, service);

	direct_calls_set_parts(stages->direct->calls, service->name,
			       service->shards, own ? own : UINT64_MAX);
}

static uint32_t count_shards(const struct direct_stages *stages,
			     const struct stage_service *service)
{
	const GPtrArray *list =
		pool_of_service(stages->direct->pool, service->name);
	uint32_t upstreams = list ? list->len : 1;

	if (service->is_engines)
		upstreams /= ENGINES_PER_STAGE_UPSTREAM;
	return MIN(dispatchers_parts(upstreams), SHARDS_MAX);
}

static uint64_t task_hash(const struct stage_service *service, uint32_t shard)
{
	return lp_hash_pair(lp_hash_str(service->name), shard);
}

static GArray *list_tasks(struct direct_stages *stages)
{
	GArray *tasks =
		g_array_new(FALSE, FALSE, sizeof(struct dispatchers_task));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct stage_service *service = value;

		service->shards = count_shards(stages, service);
		for (uint32_t i = 0; i < service->shards; i++) {
			struct dispatchers_task task = {
				.hash = task_hash(service, i),
			};

			g_array_append_val(tasks, task);
		}
	}
	return tasks;
}

static uint64_t dispatcher_of_task(const GArray *tasks, uint64_t hash)
{
	for (guint i = 0; i < tasks->len; i++) {
		const struct dispatchers_task *task =
			&g_array_index(tasks, struct dispatchers_task, i);

		if (task->hash == hash)
			return task->dispatcher;
	}
	return 0;
}

static bool owns_any_shard(const struct direct_stages *stages,
			   const struct stage_service *service)
{
	return own_shards(stages, service) != 0;
}

/* Whether we send to a service on behalf of all entries; plain services have
 * nobody who does. */
static bool sends_for_all(const struct direct_stages *stages,
			  const struct stage_service *service, uint32_t members)
{
	return members < 2 || (service && owns_any_shard(stages, service));
}

/* Ours, of what a cold upstream of a service takes. */
static double own_warmup_share(const struct stage_service *service,
			       bool for_all, uint32_t members)
{
	if (for_all)
		return WARMUP_OWNER_SHARE;
	return (service ? WARMUP_OTHERS_SHARE : WARMUP_OWNER_SHARE) / members;
}

static void set_warmup_shares(struct direct_stages *stages, uint32_t members)
{
	const struct direct_config *config = stages->direct->config;
	GHashTableIter iter;
	gpointer value;

	if (!config)
		return;
	g_hash_table_iter_init(&iter, config->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct direct_service *figures = value;
		const struct stage_service *service;
		struct warmup_limits limits = {
			.cold_us = figures->cold_us,
			.per_s = figures->cold_per_s,
			.phase = members > 1 ? stages->phase : 0,
		};

		if (!figures->cold_us || figures->cold_per_s <= 0)
			continue;
		service = g_hash_table_lookup(stages->services, figures->name);
		limits.for_all = sends_for_all(stages, service, members);
		limits.share =
			own_warmup_share(service, limits.for_all, members);
		pool_set_warmup(stages->direct->pool, figures->name, &limits);
	}
}

static struct rate_limit_share
find_rate_limit_share(const struct direct_stages *stages,
		      const struct rate_limit_fleet *fleet)
{
	struct rate_limit_share share = rate_limit_find_share(fleet);

	share.phase = stages->phase;
	return share;
}

/* Our shares of the limits that upstreams name. */
static void set_rate_limit_shares(struct direct_stages *stages)
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
		.own_share = find_rate_limit_share(stages, &fleet),
	};
	GHashTableIter iter;
	gpointer value;

	pool_set_limit_share(stages->direct->pool, NULL, &share);
	fleet.has_owner = true;
	share.other_share = find_rate_limit_share(stages, &fleet);
	fleet.is_owner = true;
	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct stage_service *service = value;

		share.parts = service->shards;
		share.own = own_shards(stages, service);
		fleet.owner_us = time_now_us(stages) - service->acquired_us;
		share.own_share = find_rate_limit_share(stages, &fleet);
		pool_set_limit_share(stages->direct->pool, service->name,
				     &share);
	}
}

static void assign_dispatchers(struct direct_stages *stages)
{
	g_autoptr(GArray) members =
		g_array_new(FALSE, FALSE, sizeof(struct dispatchers_member));
	g_autoptr(GArray) tasks = NULL;
	GHashTableIter iter;
	gpointer value;

	if (!stages->direct->relay) {
		set_warmup_shares(stages, 1);
		set_rate_limit_shares(stages);
		return;
	}
	direct_peers_members(stages->direct->peers, members);
	tasks = list_tasks(stages);
	dispatchers_find((struct dispatchers_member *)members->data,
			 members->len, (struct dispatchers_task *)tasks->data,
			 tasks->len);
	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct stage_service *service = value;

		for (uint32_t i = 0; i < service->shards; i++) {
			uint64_t found = dispatcher_of_task(
				tasks, task_hash(service, i));

			set_dispatcher(stages, service, i,
				       found ? found : own_hash(stages),
				       members->len);
		}
		if (!service->is_engines)
			set_own_shards(stages, service);
	}
	set_warmup_shares(stages, direct_peers_count(stages->direct->peers));
	set_rate_limit_shares(stages);
}

/* Whoever begins to place prompts asks what is in the engines' memory. */
static void query_acquired_engines(struct direct_stages *stages)
{
	GHashTableIter iter;
	gpointer value;

	if (stages->discovery_timer || !direct_ready(stages->direct))
		return;
	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct stage_service *service = value;
		bool was_placed_here = service->is_placed_here;

		service->is_placed_here =
			service->is_engines && owns_any_shard(stages, service);
		if (service->is_placed_here && !was_placed_here)
			direct_memory_ask(stages->direct->memory,
					  service->name);
	}
}

static gboolean on_assignment_timer(gpointer userdata)
{
	assign_dispatchers(userdata);
	query_acquired_engines(userdata);
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
		if (service->does_pieces || service->engine_tokens)
			get_or_create_service(stages, service->name)
				->is_engines = !service->does_pieces;
	}
	assign_dispatchers(stages);
}

uint64_t direct_stages_dispatcher(struct direct_stages *stages,
				  const struct pool_upstream *upstream)
{
	/* Before a configuration names it, nobody dispatches a service. */
	const struct stage_service *service =
		g_hash_table_lookup(stages->services, upstream->entry.service);
	uint64_t dispatcher;

	if (!service)
		return 0;
	dispatcher = service->dispatchers[upstream->hash % service->shards];
	return dispatcher == own_hash(stages) ? 0 : dispatcher;
}

void direct_stages_set_shard(struct direct_stages *stages, struct pool_ask *ask)
{
	const struct stage_service *service =
		g_hash_table_lookup(stages->services, ask->service);
	uint32_t last = ask->parts_count - 1;

	if (!service || !service->is_engines || !ask->parts_count)
		return;
	/* By the last part that others share. */
	ask->share_count = service->shards;
	ask->share = (uint32_t)(ask->parts[last ? last - 1 : 0].id %
				service->shards);
}

uint64_t direct_stages_placer(struct direct_stages *stages,
			      const struct pool_ask *ask)
{
	const struct stage_service *service =
		g_hash_table_lookup(stages->services, ask->service);

	if (!service || !service->is_engines ||
	    service->dispatchers[ask->share] == own_hash(stages))
		return 0;
	return service->dispatchers[ask->share];
}

/* ---- asks ---- */

static void free_submission(gpointer data)
{
	struct submission *submission = data;

	direct_work_clear(&submission->work);
	g_free(submission);
}

static void store_result(struct submission *submission,
			 struct direct_result *result)
{
	struct graph *graph = submission->request->graph;

	/* Our list may not name its maker yet; the dispatcher's does. */
	if (result->result == DIRECT_ITEM_MADE)
		graph_made(graph, submission->stage, result->index,
			   result->handle, result->maker,
			   submission->request->route->stages[submission->stage]
				   .bytes);
	else
		graph_not_made(graph, submission->stage, result->index);
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

static bool any_has_outcome(const struct direct_result *results, uint32_t count,
			    enum direct_item_result kind)
{
	for (uint32_t i = 0; i < count; i++)
		if (results[i].result == kind)
			return true;
	return false;
}

/* Calls broke off: what was asked of these upstreams is lost. */
static void report_lost_requests(const struct submission *submission,
				 const struct direct_result *results,
				 uint32_t count)
{
	struct direct_request *request = submission->request;
	const struct pool_upstream *before = NULL;

	for (uint32_t i = 0; i < count; i++) {
		const struct pool_upstream *upstream;

		if (results[i].result != DIRECT_ITEM_LOST)
			continue;
		upstream =
			pool_find_life(request->direct->pool, results[i].maker);
		if (upstream && upstream != before)
			direct_request_lost(request, upstream,
					    submission->round,
					    submission->submitted_us);
		before = upstream;
	}
}

/* Results have come; the ask is over when `left` is 0. Its request may end by
 * this. */
static void deliver_results(struct submission *submission,
			    struct direct_result *results, uint32_t count,
			    uint32_t left)
{
	struct direct_stages *stages = submission->stages;
	struct direct_request *request = submission->request;
	uint32_t stage = submission->stage;
	bool late = any_has_outcome(results, count, DIRECT_ITEM_LATE);

	report_lost_requests(submission, results, count);
	for (uint32_t i = 0; i < count; i++) {
		store_result(submission, &results[i]);
		remove_index(submission->work.indices, results[i].index);
	}
	if (!left)
		g_hash_table_remove(stages->submissions, &submission->number);
	if (any_has_outcome(results, count, DIRECT_ITEM_INPUT_GONE))
		direct_stages_recompute_inputs(stages, request, stage);
	if (late)
		direct_request_pieces_late(request);
	else
		direct_request_advance(request);
}

static void on_job_results(void *userdata, struct direct_result *results,
			   uint32_t count, uint32_t left)
{
	deliver_results(userdata, results, count, left);
}

static void on_relay_results(void *userdata, uint64_t number,
			     struct direct_result *results, uint32_t count)
{
	struct direct_stages *stages = userdata;
	struct submission *submission =
		g_hash_table_lookup(stages->submissions, &number);
	uint32_t left;

	if (!submission)
		return;
	left = submission->work.indices->len -
	       MIN(count, submission->work.indices->len);
	if (!left)
		direct_relay_forget(stages->direct->relay, number, false);
	deliver_results(submission, results, count, left);
}

static void on_relay_waits(void *userdata, uint64_t number,
			   const int64_t queue_waits_us[DIRECT_RANKS])
{
	struct direct_stages *stages = userdata;
	struct submission *submission =
		g_hash_table_lookup(stages->submissions, &number);

	if (!submission)
		return;
	memcpy(submission->service->queue_waits_us, queue_waits_us,
	       sizeof(submission->service->queue_waits_us));
	submission->service->queue_waits_received_us = time_now_us(stages);
}

/* To the dispatcher of its part, or to our own queue. */
static void dispatch(struct direct_stages *stages,
		     struct submission *submission)
{
	const struct stage_service *service = submission->service;
	uint32_t shard =
		(uint32_t)(lp_hash_str(submission->work.id) % service->shards);
	uint64_t dispatcher = service->dispatchers[shard];

	if (stages->direct->relay && dispatcher != own_hash(stages) &&
	    direct_relay_ask(stages->direct->relay, dispatcher,
			     submission->number, &submission->work))
		return;
	submission->job =
		direct_calls_add(stages->direct->calls, &submission->work,
				 on_job_results, submission);
}

static gboolean on_discovery_timer(gpointer userdata)
{
	struct direct_stages *stages = userdata;
	g_autoptr(GList) waiting = NULL;

	if (direct_peers_meeting_left_us(stages->direct->peers))
		return G_SOURCE_CONTINUE;
	stages->discovery_timer = 0;
	waiting = g_hash_table_get_values(stages->submissions);
	assign_dispatchers(stages);
	query_acquired_engines(stages);
	for (GList *at = waiting; at; at = at->next)
		dispatch(stages, at->data);
	return G_SOURCE_REMOVE;
}

static void on_relay_lost(void *userdata, uint64_t number)
{
	struct direct_stages *stages = userdata;
	struct submission *submission =
		g_hash_table_lookup(stages->submissions, &number);
	struct lp_event_log *log = stages->direct->options.log;

	if (!submission)
		return;
	assign_dispatchers(stages);
	/* Results that still come of the old number are not ours any more. */
	g_hash_table_steal(stages->submissions, &submission->number);
	submission->number = stages->next_number++;
	g_hash_table_insert(stages->submissions, &submission->number,
			    submission);
	if (lp_event_begin(log, "pieces_moved", submission->work.id)) {
		lp_event_text(log, "service", submission->service->name);
		lp_event_int(log, "pieces", submission->work.indices->len);
		lp_event_end(log);
	}
	dispatch(stages, submission);
}

void direct_stages_submit(struct direct_stages *stages,
			  struct direct_request *request,
			  struct direct_work *work)
{
	struct submission *submission = g_new0(struct submission, 1);

	submission->stages = stages;
	submission->number = stages->next_number++;
	submission->request = request;
	submission->stage = work->piece.stage;
	submission->round = direct_request_round(request);
	submission->submitted_us = time_now_us(stages);
	submission->service = get_or_create_service(stages, work->service);
	submission->work = *work;
	memset(work, 0, sizeof(*work));
	g_hash_table_insert(stages->submissions, &submission->number,
			    submission);
	if (!stages->discovery_timer)
		dispatch(stages, submission);
}

static void cancel_submission(struct direct_stages *stages,
			      struct submission *submission)
{
	if (submission->job)
		direct_calls_drop(submission->job);
	else if (stages->direct->relay)
		direct_relay_forget(stages->direct->relay, submission->number,
				    true);
	g_hash_table_remove(stages->submissions, &submission->number);
}

static void cancel_submissions(struct direct_stages *stages,
			       const struct direct_request *request,
			       const uint32_t *stage)
{
	g_autoptr(GList) submissions =
		g_hash_table_get_values(stages->submissions);

	for (GList *at = submissions; at; at = at->next) {
		struct submission *submission = at->data;

		if (submission->request == request &&
		    (!stage || submission->stage == *stage))
			cancel_submission(stages, submission);
	}
}

/* ---- giving results up ---- */

static void free_results(struct direct_stages *stages, const GArray *results)
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
	free_results(stages, results);
}

/* Pieces that wait with the old inputs are not made. */
static void reset_submitted(struct graph *graph, uint32_t stage)
{
	for (uint32_t i = 0; i < graph_pieces(graph, stage); i++)
		if (graph_state(graph, stage, i) == GRAPH_PIECE_ASKED)
			graph_not_made(graph, stage, i);
}

void direct_stages_recompute_inputs(struct direct_stages *stages,
				    struct direct_request *request,
				    uint32_t stage)
{
	g_autoptr(GArray) results =
		g_array_new(FALSE, FALSE, sizeof(struct graph_result));

	if (stage < request->route->stages_count) {
		cancel_submissions(stages, request, &stage);
		reset_submitted(request->graph, stage);
	}
	graph_lost_inputs(request->graph, stage, results);
	free_results(stages, results);
}

void direct_stages_cancel(struct direct_stages *stages,
			  struct direct_request *request)
{
	cancel_submissions(stages, request, NULL);
	direct_stages_free_results(stages, request, true);
}

/* ---- estimates ---- */

static int64_t queue_wait_us(struct direct_stages *stages,
			     const struct stage_service *service,
			     int32_t priority)
{
	if (service->dispatchers[0] == own_hash(stages))
		return direct_calls_estimate_us(stages->direct->calls,
						service->name, priority);
	if (time_now_us(stages) - service->queue_waits_received_us >
	    DISPATCHER_WAITS_VALID_US)
		return 0;
	return service->queue_waits_us[rank_of_priority(priority)];
}

int64_t direct_stages_estimate_us(struct direct_stages *stages,
				  const char *name, int32_t priority)
{
	struct stage_service *service = get_or_create_service(stages, name);

	return admission_stage_us(
		&service->latencies[rank_of_priority(priority)],
		queue_wait_us(stages, service, priority), time_now_us(stages));
}

void direct_stages_record_latency(struct direct_stages *stages,
				  const char *name, int32_t priority,
				  int64_t took_us)
{
	struct stage_service *service = get_or_create_service(stages, name);

	admission_learn(&service->latencies[rank_of_priority(priority)],
			took_us, time_now_us(stages));
}

/* ---- start and end ---- */

void direct_stages_set_peers(struct direct_stages *stages,
			     struct direct_peers *peers)
{
	const struct direct_relay_events events = {
		.made = on_relay_results,
		.waits = on_relay_waits,
		.lost = on_relay_lost,
		.userdata = stages,
	};

	if (!peers)
		return;
	stages->direct->relay =
		direct_relay_create(stages->direct, peers, &events);
	stages->discovery_timer =
		lp_timer_add(DISCOVERY_POLL_MS, on_discovery_timer, stages);
	assign_dispatchers(stages);
}

struct direct_stages *direct_stages_create(struct direct *direct)
{
	struct direct_stages *stages = g_new0(struct direct_stages, 1);

	stages->direct = direct;
	stages->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_service);
	stages->submissions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, free_submission);
	/* Unlike those of an earlier life. */
	stages->next_number = lp_random_u64();
	stages->phase = g_random_double();
	stages->assignment_timer = lp_timer_add(ASSIGNMENT_INTERVAL_MS,
						on_assignment_timer, stages);
	return stages;
}

void direct_stages_destroy(struct direct_stages *stages)
{
	g_source_remove(stages->assignment_timer);
	if (stages->discovery_timer)
		g_source_remove(stages->discovery_timer);
	g_hash_table_unref(stages->submissions);
	g_hash_table_unref(stages->services);
	g_free(stages);
}
