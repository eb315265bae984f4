/**
 * Submits the pieces of this entry's requests to the entry that dispatches
 * them, and assigns dispatchers.
 *
 * The upstreams of each service of stages or engines are split into shards,
 * and each shard has one dispatcher (stages) or placer (engines) among the
 * entries: dispatchers.h. Pieces of a shard that this entry dispatches go to
 * its own queue (direct_calls.h), others to the dispatcher by direct_relay.h.
 */
#include "direct/direct_commitments.h"
#include "direct/direct_relay.h"
#include "direct/direct_request.h"

#include "base/lp_id.h"
#include "base/lp_timer.h"
#include "policy/admission.h"

#include <string.h>

/* Interval at which dispatchers are assigned again. Members and upstreams
 * change more slowly. */
#define ASSIGNMENT_INTERVAL_MS 200
/* Polls for the end of member discovery: it may end early, when all known
 * members have sent a hello. */
#define DISCOVERY_POLL_MS 10
/* Placing prompts at this many engines is as much work as keeping one upstream
 * of stages full. */
#define ENGINES_PER_STAGE_UPSTREAM 4
/* As many as own_shards() has bits. */
#define SHARDS_MAX 64

struct stage_service {
	char *name;
	bool is_engines;     /* takes prompts that are placed, not pieces */
	bool is_placed_here; /* this entry is placer of some shard */
	uint32_t shards;
	uint64_t dispatchers[SHARDS_MAX]; /* member hash of each shard */
	int64_t acquired_us; /* when this entry last took over a shard */
	struct admission_piece_time latencies[DIRECT_PRIORITY_RANKS];
	/* of the dispatcher of each shard */
	struct admission_notice notices[SHARDS_MAX];
	struct admission_pressure pressure;
};

/* Pieces of one stage of a request that were submitted together. */
struct submission {
	struct direct_stages *stages;
	uint64_t number;
	struct direct_request *request;
	uint32_t stage;
	uint32_t round; /* direct_request_quarantine_round() at submission */
	int64_t submitted_us;
	struct stage_service *service;
	struct direct_job *job;	 /* in our queue; NULL: at a peer or waiting */
	struct direct_work work; /* at a peer: kept for submission elsewhere */
};

struct direct_stages {
	struct direct *direct;
	GHashTable *services;	 /* name -> struct stage_service */
	GHashTable *submissions; /* number -> struct submission */
	struct direct_commitments *commitments;
	uint64_t next_number;
	double phase; /* random per entry: warmup.h, rate_limit.h */
	guint assignment_timer;
	guint discovery_timer; /* runs while pieces wait for member discovery */
};

static int64_t time_now_us(const struct direct_stages *stages)
{
	return lp_now_us(stages->direct->options.clock);
}

static int32_t rank_of_priority(int32_t priority)
{
	return CLAMP(priority, 0, DIRECT_PRIORITY_RANKS - 1);
}

/* ---- assignment of dispatchers ---- */

static void free_service(gpointer data)
{
	struct stage_service *service = data;

	g_free(service->name);
	g_free(service);
}

static uint64_t own_hash(const struct direct_stages *stages)
{
	const struct direct *direct = stages->direct;

	return direct->relay ? direct_peers_own_hash(direct->peers) : 0;
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
	/* The last notice stays: the entries submit what the earlier dispatcher
	 * had in its queue to this one. */
	service->dispatchers[shard] = dispatcher;
	if (dispatcher == own_hash(stages))
		service->acquired_us = time_now_us(stages);
	log_dispatcher(stages, service, shard, dispatcher, members);
}

/* Bit mask of the shards that this entry dispatches or places. */
static uint64_t own_shards(const struct direct_stages *stages,
			   const struct stage_service *service)
{
	uint64_t own = 0;

	for (uint32_t i = 0; i < service->shards; i++)
		if (service->dispatchers[i] == own_hash(stages))
			own |= UINT64_C(1) << i;
	return own;
}

/* Our own queue calls the upstreams of our shards. Without any shard it calls
 * all upstreams: peers that still take this entry for the dispatcher may send
 * it pieces. */
static void set_own_shards(struct direct_stages *stages,
			   const struct stage_service *service)
{
	uint64_t own = own_shards(stages, service);

	direct_calls_set_shards(stages->direct->calls, service->name,
				service->shards, own ? own : UINT64_MAX);
}

static uint32_t count_shards(const struct direct_stages *stages,
			     const struct stage_service *service)
{
	const GPtrArray *list =
		pool_service_upstreams(stages->direct->pool, service->name);
	uint32_t upstreams = list ? list->len : 1;

	if (service->is_engines)
		upstreams /= ENGINES_PER_STAGE_UPSTREAM;
	return MIN(dispatchers_shard_count(upstreams), SHARDS_MAX);
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

/* Whether this entry sends to a service on behalf of all entries. Nobody does
 * for a plain service, unless there is only one entry. */
static bool sends_for_all(const struct direct_stages *stages,
			  const struct stage_service *service, uint32_t members)
{
	return members < 2 || (service && owns_any_shard(stages, service));
}

/* This entry's share of the request rate that a cold upstream takes. */
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
		const struct direct_service *service_config = value;
		const struct stage_service *service;
		struct warmup_limits limits = {
			.cold_period_us = service_config->cold_us,
			.requests_per_s = service_config->cold_per_s,
			.phase = members > 1 ? stages->phase : 0,
		};

		if (!service_config->cold_us || service_config->cold_per_s <= 0)
			continue;
		service = g_hash_table_lookup(stages->services,
					      service_config->name);
		limits.is_owner = sends_for_all(stages, service, members);
		limits.own_share =
			own_warmup_share(service, limits.is_owner, members);
		pool_set_warmup(stages->direct->pool, service_config->name,
				&limits);
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

/* This entry's shares of the rates that upstreams advertise. */
static void set_rate_limit_shares(struct direct_stages *stages)
{
	const struct direct_peers *peers =
		stages->direct->relay ? stages->direct->peers : NULL;
	struct rate_limit_fleet fleet = {
		.reachable_entries = peers ? direct_peers_count(peers) : 1,
		.known_entries = peers ? direct_peers_known_count(peers) : 1,
	};
	struct pool_rate_limit_shares share = {
		.shard_count = 1,
		.owned_shards = 1,
		.owned_share = find_rate_limit_share(stages, &fleet),
	};
	GHashTableIter iter;
	gpointer value;

	pool_set_rate_limit_shares(stages->direct->pool, NULL, &share);
	fleet.has_owner = true;
	share.other_share = find_rate_limit_share(stages, &fleet);
	fleet.is_owner = true;
	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct stage_service *service = value;

		share.shard_count = service->shards;
		share.owned_shards = own_shards(stages, service);
		fleet.owner_for_us = time_now_us(stages) - service->acquired_us;
		share.owned_share = find_rate_limit_share(stages, &fleet);
		pool_set_rate_limit_shares(stages->direct->pool, service->name,
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
	dispatchers_assign((struct dispatchers_member *)members->data,
			   members->len, (struct dispatchers_task *)tasks->data,
			   tasks->len);
	g_hash_table_iter_init(&iter, stages->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct stage_service *service = value;

		for (uint32_t i = 0; i < service->shards; i++) {
			uint64_t dispatcher = dispatcher_of_task(
				tasks, task_hash(service, i));

			set_dispatcher(stages, service, i,
				       dispatcher ? dispatcher
						  : own_hash(stages),
				       members->len);
		}
		if (!service->is_engines)
			set_own_shards(stages, service);
	}
	set_warmup_shares(stages, direct_peers_count(stages->direct->peers));
	set_rate_limit_shares(stages);
	direct_commitments_reassign(stages->commitments);
}

/* A new placer queries the engines' prefix caches. */
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
			direct_prefix_cache_query(stages->direct->prefix_cache,
						  service->name);
	}
}

static gboolean on_assignment_timer(gpointer userdata)
{
	assign_dispatchers(userdata);
	query_acquired_engines(userdata);
	return G_SOURCE_CONTINUE;
}

/* Services are taken from the configuration, not from requests, so that all
 * entries assign the same dispatchers. */
void direct_stages_configure(struct direct_stages *stages,
			     const struct direct_config *config)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, config->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct direct_service *service = value;

		pool_set_cache_copying(stages->direct->pool, service->name,
				       service->token_bytes,
				       service->copy_bytes_per_us);
		if (service->serves_pieces || service->prefix_cache_tokens)
			get_or_create_service(stages, service->name)
				->is_engines = !service->serves_pieces;
	}
	assign_dispatchers(stages);
}

uint64_t direct_stages_dispatcher(struct direct_stages *stages,
				  const struct pool_upstream *upstream)
{
	/* A service has no dispatcher until a configuration names it. */
	const struct stage_service *service =
		g_hash_table_lookup(stages->services, upstream->info.service);
	uint64_t dispatcher;

	if (!service)
		return 0;
	dispatcher = service->dispatchers[upstream->hash % service->shards];
	return dispatcher == own_hash(stages) ? 0 : dispatcher;
}

void direct_stages_set_shard(struct direct_stages *stages,
			     struct pool_pick_args *pick_args)
{
	const struct stage_service *service =
		g_hash_table_lookup(stages->services, pick_args->service);
	uint32_t last = pick_args->blocks_count - 1;

	if (!service || !service->is_engines || !pick_args->blocks_count)
		return;
	/* By the last prefix block but one: the last block is taken as not
	 * shared with other prompts. */
	pick_args->shard_count = service->shards;
	pick_args->shard =
		(uint32_t)(pick_args->blocks[last ? last - 1 : 0].id %
			   service->shards);
}

uint64_t direct_stages_placer(struct direct_stages *stages,
			      const struct pool_pick_args *pick_args)
{
	const struct stage_service *service =
		g_hash_table_lookup(stages->services, pick_args->service);

	if (!service || !service->is_engines ||
	    service->dispatchers[pick_args->shard] == own_hash(stages))
		return 0;
	return service->dispatchers[pick_args->shard];
}

/* ---- submissions ---- */

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

	/* Our upstream list may not contain the producer yet; the dispatcher's
	 * does. */
	if (result->outcome == DIRECT_ITEM_COMPLETED)
		graph_complete_piece(
			graph, submission->stage, result->index, result->handle,
			result->producer,
			submission->request->route->stages[submission->stage]
				.bytes);
	else
		graph_reset_piece(graph, submission->stage, result->index);
}

/* Returns whether the index was there. */
static bool remove_index(GArray *indices, uint32_t index)
{
	for (guint i = 0; indices && i < indices->len; i++) {
		if (g_array_index(indices, uint32_t, i) != index)
			continue;
		g_array_remove_index_fast(indices, i);
		return true;
	}
	return false;
}

static bool any_has_outcome(const struct direct_result *results, uint32_t count,
			    enum direct_item_result outcome)
{
	for (uint32_t i = 0; i < count; i++)
		if (results[i].outcome == outcome)
			return true;
	return false;
}

/* Reports the request as lost with each upstream whose call broke off. */
static void report_lost_requests(const struct submission *submission,
				 const struct direct_result *results,
				 uint32_t count)
{
	struct direct_request *request = submission->request;
	const struct pool_upstream *previous = NULL;

	for (uint32_t i = 0; i < count; i++) {
		const struct pool_upstream *upstream;

		if (results[i].outcome != DIRECT_ITEM_LOST)
			continue;
		upstream = pool_find_incarnation(request->direct->pool,
						 results[i].producer);
		if (upstream && upstream != previous)
			direct_request_report_lost_pieces(
				request, upstream, submission->round,
				submission->submitted_us);
		previous = upstream;
	}
}

/* Stores results of a submission, which is freed when `left` is 0. The request
 * may end and be freed in here. */
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
		direct_request_refuse_late(request);
	else
		direct_request_advance(request);
}

static void on_job_results(void *userdata, struct direct_result *results,
			   uint32_t count, uint32_t left)
{
	deliver_results(userdata, results, count, left);
}

/* Moves the first result of each piece that has none yet to the front, and
 * returns their number. Other results must not count: a submission that ended
 * with pieces outstanding left its request waiting for nothing. */
static uint32_t take_outstanding(struct submission *submission,
				 struct direct_result *results, uint32_t count)
{
	uint32_t taken = 0;

	for (uint32_t i = 0; i < count; i++) {
		struct direct_result result = results[i];

		if (!remove_index(submission->work.indices, result.index))
			continue;
		results[i] = results[taken];
		results[taken++] = result;
	}
	return taken;
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
	count = take_outstanding(submission, results, count);
	if (!count)
		return;
	left = submission->work.indices->len;
	if (!left)
		direct_relay_cancel(stages->direct->relay, number, false);
	deliver_results(submission, results, count, left);
}

/* The shard whose dispatcher gets the pieces of a request. */
static uint32_t shard_of_request(const struct stage_service *service,
				 const char *id)
{
	return (uint32_t)(lp_hash_str(id) % service->shards);
}

static void on_relay_waits(void *userdata, uint64_t number, uint64_t peer,
			   const int64_t queue_waits_us[DIRECT_PRIORITY_RANKS],
			   int64_t late_wait_us)
{
	struct direct_stages *stages = userdata;
	struct submission *submission =
		g_hash_table_lookup(stages->submissions, &number);
	struct stage_service *service;

	if (!submission)
		return;
	service = submission->service;
	/* A dispatcher has one queue for all of its shards of a service. */
	for (uint32_t i = 0; i < service->shards; i++)
		if (service->dispatchers[i] == peer)
			admission_record_notice(&service->notices[i],
						queue_waits_us, late_wait_us,
						time_now_us(stages));
}

/* Sends a submission to the dispatcher of its shard, or adds it to our own
 * queue if that is us or the dispatcher cannot be sent to. */
static void dispatch(struct direct_stages *stages,
		     struct submission *submission)
{
	const struct stage_service *service = submission->service;
	uint64_t dispatcher = service->dispatchers[shard_of_request(
		service, submission->work.id)];

	if (stages->direct->relay && dispatcher != own_hash(stages) &&
	    direct_relay_submit(stages->direct->relay, dispatcher,
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

	if (direct_peers_discovery_left_us(stages->direct->peers))
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
	/* Results that still arrive under the old number match nothing. */
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
	submission->round = direct_request_quarantine_round(request);
	submission->submitted_us = time_now_us(stages);
	submission->service = get_or_create_service(stages, work->service);
	submission->work = *work;
	memset(work, 0, sizeof(*work));
	direct_commitments_submitted(stages->commitments, request,
				     submission->stage,
				     submission->work.indices->len);
	g_hash_table_insert(stages->submissions, &submission->number,
			    submission);
	if (!stages->discovery_timer)
		dispatch(stages, submission);
}

static void cancel_submission(struct direct_stages *stages,
			      struct submission *submission)
{
	if (submission->job)
		direct_calls_cancel(submission->job);
	else if (stages->direct->relay)
		direct_relay_cancel(stages->direct->relay, submission->number,
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

void direct_stages_mark_waiting(struct direct_stages *stages)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, stages->submissions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct submission *submission = value;

		if (submission->job || stages->discovery_timer ||
		    (stages->direct->relay &&
		     direct_relay_has_work(stages->direct->relay,
					   submission->number)))
			direct_request_mark_waiting(submission->request,
						    submission->stage);
	}
}

/* ---- freeing results ---- */

static void free_results(struct direct_stages *stages, const GArray *results)
{
	struct direct *direct = stages->direct;

	for (guint i = 0; i < results->len; i++) {
		struct graph_result *result =
			&g_array_index(results, struct graph_result, i);

		direct_results_free(direct->results, result->producer,
				    result->handle, result->bytes);
	}
}

void direct_stages_free_results(struct direct_stages *stages,
				struct direct_request *request, bool all)
{
	g_autoptr(GArray) results =
		g_array_new(FALSE, FALSE, sizeof(struct graph_result));

	graph_take_unused_results(request->graph, all, results);
	free_results(stages, results);
}

/* Marks the submitted pieces of a stage as missing: they were queued with
 * inputs that are gone. */
static void reset_submitted(struct graph *graph, uint32_t stage)
{
	for (uint32_t i = 0; i < graph_piece_count(graph, stage); i++)
		if (graph_get_piece_state(graph, stage, i) ==
		    GRAPH_PIECE_REQUESTED)
			graph_reset_piece(graph, stage, i);
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
	graph_discard_inputs(request->graph, stage, results);
	free_results(stages, results);
}

void direct_stages_discard(struct direct_stages *stages,
			   struct direct_request *request)
{
	cancel_submissions(stages, request, NULL);
	for (uint32_t i = 0; i < request->route->stages_count; i++)
		reset_submitted(request->graph, i);
	direct_stages_free_results(stages, request, true);
}

void direct_stages_cancel(struct direct_stages *stages,
			  struct direct_request *request)
{
	direct_commitments_end(stages->commitments, request);
	cancel_submissions(stages, request, NULL);
	direct_stages_free_results(stages, request, true);
}

/* ---- estimates ---- */

/* Our own queue is read for each estimate, as a notice of no age. */
static void read_own_queue(struct direct_stages *stages,
			   struct stage_service *service, uint32_t shard)
{
	int64_t waits_us[DIRECT_PRIORITY_RANKS];

	direct_calls_estimate_each_us(stages->direct->calls, service->name,
				      waits_us, DIRECT_PRIORITY_RANKS);
	admission_record_notice(
		&service->notices[shard], waits_us,
		direct_calls_late_wait_us(stages->direct->calls, service->name),
		time_now_us(stages));
}

void direct_stages_estimate(struct direct_stages *stages, const char *name,
			    const char *id, int32_t priority,
			    struct admission_stage *out)
{
	struct stage_service *service = get_or_create_service(stages, name);
	uint32_t shard = shard_of_request(service, id);

	if (service->dispatchers[shard] == own_hash(stages))
		read_own_queue(stages, service, shard);
	admission_read_notice(&service->notices[shard], service->latencies,
			      priority, time_now_us(stages), out);
}

struct admission_pressure *direct_stages_pressure(struct direct_stages *stages,
						  const char *name)
{
	return &get_or_create_service(stages, name)->pressure;
}

void direct_stages_record_latency(struct direct_stages *stages,
				  const char *name, int32_t priority,
				  int64_t took_us)
{
	struct stage_service *service = get_or_create_service(stages, name);

	admission_record_piece_time(
		&service->latencies[rank_of_priority(priority)], took_us,
		time_now_us(stages));
}

/* ---- commitments ---- */

/* Late work is committed at the last rank: it does not go before the on-time
 * work of its own rank. */
void direct_stages_commit(struct direct_stages *stages,
			  struct direct_request *request, bool is_late)
{
	uint64_t hash = lp_hash_str(request->id);

	for (uint32_t i = 0; i < request->route->stages_count; i++)
		direct_commitments_add(stages->commitments, request, hash,
				       request->route->stages[i].service, i,
				       is_late ? DIRECT_PRIORITY_RANKS - 1
					       : request->priority,
				       graph_piece_count(request->graph, i));
}

static uint32_t get_shard_count(void *userdata, const char *service)
{
	return get_or_create_service(userdata, service)->shards;
}

static uint64_t get_dispatcher(void *userdata, const char *name, uint32_t shard)
{
	struct direct_stages *stages = userdata;
	const struct stage_service *service =
		get_or_create_service(stages, name);
	uint64_t dispatcher = service->dispatchers[shard];

	return !stages->direct->relay || dispatcher == own_hash(stages)
		       ? 0
		       : dispatcher;
}

static uint32_t count_members(void *userdata)
{
	struct direct_stages *stages = userdata;

	return stages->direct->relay ? direct_peers_count(stages->direct->peers)
				     : 1;
}

static bool is_stage_service(void *userdata, const char *name)
{
	struct direct_stages *stages = userdata;
	const struct direct_service *service =
		direct_config_service(stages->direct->config, name);

	return service && service->serves_pieces;
}

static void send_commitments(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_stages *stages = userdata;

	direct_peers_send(stages->direct->peers, peer, DIRECT_COMMITMENTS_KIND,
			  body);
}

static void on_commitments_changed(void *userdata, const char *service,
				   const uint32_t by_rank[ADMISSION_RANKS])
{
	struct direct_stages *stages = userdata;

	direct_calls_set_committed(stages->direct->calls, service, by_rank,
				   ADMISSION_RANKS);
}

static void on_commitments(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_stages *stages = userdata;

	if (direct_ready(stages->direct))
		direct_commitments_receive(stages->commitments, peer, body);
}

/* A peer that was not live, or has restarted. */
static void on_peer_discovered(void *userdata, uint64_t peer)
{
	struct direct_stages *stages = userdata;

	direct_commitments_peer_restarted(stages->commitments, peer);
}

static struct direct_commitments *
create_commitments(struct direct_stages *stages)
{
	const struct direct_commitments_options options = {
		.clock = stages->direct->options.clock,
		.shard_count = get_shard_count,
		.dispatcher = get_dispatcher,
		.members = count_members,
		.is_dispatched = is_stage_service,
		.send = send_commitments,
		.on_changed = on_commitments_changed,
		.userdata = stages,
	};

	return direct_commitments_create(&options);
}

/* ---- start and end ---- */

void direct_stages_set_peers(struct direct_stages *stages,
			     struct direct_peers *peers)
{
	const struct direct_relay_events events = {
		.on_results = on_relay_results,
		.on_queue_waits = on_relay_waits,
		.on_lost = on_relay_lost,
		.userdata = stages,
	};

	if (!peers)
		return;
	stages->direct->relay =
		direct_relay_create(stages->direct, peers, &events);
	direct_peers_listen(peers, DIRECT_COMMITMENTS_KIND,
			    DIRECT_COMMITMENTS_TYPE, on_commitments, stages);
	direct_peers_on_discovered(peers, on_peer_discovered, stages);
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
	stages->commitments = create_commitments(stages);
	/* Random, to differ from those of an earlier start. */
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
	direct_commitments_destroy(stages->commitments);
	g_hash_table_unref(stages->submissions);
	g_hash_table_unref(stages->services);
	g_free(stages);
}
