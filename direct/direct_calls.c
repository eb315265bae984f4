/** Queues of pieces at their dispatcher, and the calls that carry them. */
#include "direct/direct_calls.h"

#include "base/lp_timer.h"

#include "direct/direct_private.h"
#include "direct/direct_relay.h"

#include <string.h>

/* A query of result memory; a later answer is not worth waiting for. */
#define MEMORY_QUERY_TIMEOUT_US (500 * LP_US_PER_MS)
/* Peers that receive the report of an unreachable upstream eject it for this
 * long: about as long as it would take them to find out. */
#define PEER_EJECTION_US (1 * LP_US_PER_S)
/* Shedding visits the whole queue, which may have 2,000 pieces. Entries may
 * have a fifteenth of a processor. */
#define SHEDDING_INTERVAL_US (20 * LP_US_PER_MS)
#define GAUGES_INTERVAL_US (200 * LP_US_PER_MS)
/* Limit of the answer to a call: a handle or a reason for each piece. */
#define CALL_ANSWER_BYTES 4096
#define CALL_ITEM_BYTES 1024

struct call_queue {
	struct direct_calls *calls;
	struct pieces *pieces;
	char *name;
	guint wake_timer;
	int64_t shed_us;   /* when pieces were last shed */
	int64_t gauges_us; /* when the gauges were last set */
	bool gauges_show_empty;
	int64_t *wait_gauges[DIRECT_PRIORITY_RANKS]; /* by rank */
	int64_t *late_wait_gauge;
};

struct direct_job {
	struct direct_calls *calls;
	struct call_queue *queue;
	struct direct_work work;
	uint32_t open_pieces; /* pieces without a result yet */
	bool is_notifying;    /* on_results is being called */
	bool is_cancelled;    /* results are freed, not passed on */
	direct_results_fn on_results;
	void *userdata;
};

struct direct_calls {
	struct direct *direct;
	GHashTable *queues;	     /* name -> struct call_queue */
	GHashTable *calls_in_flight; /* of struct stage_call */
	GHashTable *memory_queries;  /* of struct memory_query */
	guint run_source;
};

struct stage_call {
	struct direct_calls *calls;
	struct call_queue *queue;
	struct pieces_call *batch;
	struct direct_fetch *fetch;
	uint32_t no_memory_pieces; /* refused for want of result memory */
	bool is_lost;		   /* was sent, but got no complete answer */
	struct direct_reply reply;
	int64_t born_ms; /* start time that the upstream reported; 0: none */
	bool is_overdue; /* it is kept beyond its timeout */
};

static void schedule_run(struct direct_calls *calls);

/* ---- work ---- */

void direct_work_clear(struct direct_work *work)
{
	g_free(work->id);
	g_free(work->service);
	g_free(work->key);
	if (work->inputs)
		g_ptr_array_unref(work->inputs);
	if (work->indices)
		g_array_unref(work->indices);
	memset(work, 0, sizeof(*work));
}

/* ---- queues ---- */

static void free_queue(gpointer data)
{
	struct call_queue *queue = data;

	if (queue->wake_timer)
		g_source_remove(queue->wake_timer);
	pieces_destroy(queue->pieces);
	g_free(queue->name);
	g_free(queue);
}

static void set_service_limits(struct pieces_options *options,
			       const struct direct_service *service_config)
{
	options->batch_max = 1;
	if (!service_config || !service_config->serves_pieces)
		return;
	options->batch_max = MAX(service_config->batch_max, 1);
	options->call_us = service_config->call_us;
	options->piece_us = service_config->piece_us;
	options->result_memory_bytes = service_config->result_memory_bytes;
	options->result_ttl_us = service_config->result_ttl_us;
}

static int64_t *wait_gauge(struct direct *direct, const char *service,
			   const char *rank)
{
	g_autofree char *labels =
		g_strdup_printf("service=\"%s\",rank=\"%s\"", service, rank);

	return direct_counter(direct, "linepier_queue_wait_us", labels);
}

static void create_wait_gauges(struct call_queue *queue)
{
	struct direct *direct = queue->calls->direct;
	char rank[12];

	for (int i = 0; i < DIRECT_PRIORITY_RANKS; i++) {
		g_snprintf(rank, sizeof(rank), "%d", i);
		queue->wait_gauges[i] = wait_gauge(direct, queue->name, rank);
	}
	queue->late_wait_gauge = wait_gauge(direct, queue->name, "late");
}

static void set_wait_gauges(struct call_queue *queue)
{
	int64_t waits_us[DIRECT_PRIORITY_RANKS];
	int64_t late_us = pieces_late_wait_us(queue->pieces);

	pieces_estimate_by_priority_us(queue->pieces, waits_us,
				       DIRECT_PRIORITY_RANKS);
	for (int i = 0; i < DIRECT_PRIORITY_RANKS; i++)
		*queue->wait_gauges[i] = waits_us[i];
	*queue->late_wait_gauge = late_us == INT64_MAX ? -1 : late_us;
}

/* Without pieces the gauges are set once. */
static void update_wait_gauges(struct call_queue *queue)
{
	int64_t now_us = lp_now_us(queue->calls->direct->options.clock);
	bool is_empty = !pieces_next_check_us(queue->pieces);

	if (is_empty ? queue->gauges_show_empty
		     : now_us - queue->gauges_us < GAUGES_INTERVAL_US)
		return;
	queue->gauges_us = now_us;
	queue->gauges_show_empty = is_empty;
	set_wait_gauges(queue);
}

static struct call_queue *get_or_create_queue(struct direct_calls *calls,
					      const char *name)
{
	struct direct *direct = calls->direct;
	const struct direct_service *service_config =
		direct_config_service(direct->config, name);
	struct call_queue *queue = g_hash_table_lookup(calls->queues, name);
	struct pieces_options options = {
		.clock = direct->options.clock,
		.pool = direct->pool,
		.service = name,
	};

	if (queue)
		return queue;
	set_service_limits(&options, service_config);
	queue = g_new0(struct call_queue, 1);
	queue->calls = calls;
	queue->name = g_strdup(name);
	queue->pieces = pieces_create(&options);
	create_wait_gauges(queue);
	g_hash_table_insert(calls->queues, queue->name, queue);
	return queue;
}

void direct_calls_configure(struct direct_calls *calls,
			    const struct direct_config *config)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, calls->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct call_queue *queue = value;
		struct pieces_options options = { 0 };

		set_service_limits(&options,
				   direct_config_service(config, queue->name));
		pieces_update_options(queue->pieces, &options);
	}
}

void direct_calls_set_shards(struct direct_calls *calls, const char *service,
			     uint32_t shards, uint64_t own)
{
	pieces_set_shards(get_or_create_queue(calls, service)->pieces, shards,
			  own);
}

/* ---- jobs ---- */

static void free_job(struct direct_job *job)
{
	direct_work_clear(&job->work);
	g_free(job);
}

struct direct_job *direct_calls_add(struct direct_calls *calls,
				    struct direct_work *work,
				    direct_results_fn on_results,
				    void *userdata)
{
	struct direct_job *job = g_new0(struct direct_job, 1);
	struct piece piece = work->piece;

	job->calls = calls;
	job->queue = get_or_create_queue(calls, work->service);
	job->work = *work;
	memset(work, 0, sizeof(*work));
	job->open_pieces = job->work.indices->len;
	job->on_results = on_results;
	job->userdata = userdata;
	piece.request = job;
	for (guint i = 0; i < job->work.indices->len; i++) {
		piece.index = g_array_index(job->work.indices, uint32_t, i);
		pieces_add(job->queue->pieces, &piece);
	}
	schedule_run(calls);
	return job;
}

void direct_calls_cancel(struct direct_job *job)
{
	job->is_cancelled = true;
	job->open_pieces -= pieces_drop_request(job->queue->pieces, job);
	if (!job->open_pieces && !job->is_notifying)
		free_job(job);
}

static void free_results(struct direct_job *job, struct direct_result *results,
			 uint32_t count)
{
	struct direct *direct = job->calls->direct;

	for (uint32_t i = 0; i < count; i++) {
		if (results[i].outcome != DIRECT_ITEM_COMPLETED)
			continue;
		direct_results_free(direct->results, results[i].producer,
				    g_steal_pointer(&results[i].handle),
				    job->work.piece.result_bytes);
	}
}

static void notify_job(struct direct_job *job, struct direct_result *results,
		       uint32_t count)
{
	job->open_pieces -= count;
	job->is_notifying = true;
	if (job->is_cancelled)
		free_results(job, results, count);
	else
		job->on_results(job->userdata, results, count,
				job->open_pieces);
	job->is_notifying = false;
	for (uint32_t i = 0; i < count; i++)
		g_free(results[i].handle);
	if (!job->open_pieces)
		free_job(job);
}

/* ---- end of a call ---- */

static void log_call(const struct stage_call *call, const char *outcome)
{
	struct lp_event_log *log = call->calls->direct->options.log;
	const struct pieces_call *batch = call->batch;
	int64_t now_us = lp_now_us(call->calls->direct->options.clock);

	if (!lp_event_begin(log, "stage_call", NULL))
		return;
	lp_event_text(log, "service", call->queue->name);
	lp_event_text(log, "upstream", batch->upstream->info.id);
	lp_event_text(log, "outcome", outcome);
	lp_event_int(log, "pieces", batch->pieces->len);
	lp_event_int(log, "no_room", call->no_memory_pieces);
	lp_event_int(log, "own_bytes", batch->own_bytes);
	lp_event_int(
		log, "other_bytes",
		result_memory_untracked_bytes(batch->upstream->result_memory));
	lp_event_int(log, "took_us", now_us - batch->started_us);
	lp_event_int(log, "expected_us", batch->expected_us);
	lp_event_int(log, "rest_us", call->reply.pushback_us);
	lp_event_int(log, "others_running", call->reply.running);
	lp_event_int(log, "others_waiting", call->reply.waiting);
	lp_event_end(log);
}

/* Reads a result for each piece; NULL: the call failed or has no readable
 * answer. */
static struct direct_item_outcome *
read_results(struct stage_call *call, const struct http_fetch_answer *answer)
{
	const struct direct_codec *codec = call->calls->direct->options.codec;
	uint32_t count = call->batch->pieces->len;
	struct direct_item_outcome *items;

	if (answer->error || answer->status != 200)
		return NULL;
	items = g_new0(struct direct_item_outcome, count);
	if (codec->read_items(answer->body, answer->size, items, count,
			      &call->born_ms))
		return items;
	g_free(items);
	return NULL;
}

/* Result of one piece, whose handle is moved out of `items`. `items`: NULL if
 * the call failed. `producer`: 0 if that incarnation has terminated, and its
 * results are lost. */
static struct direct_result result_of(const struct stage_call *call, guint at,
				      struct direct_item_outcome *items,
				      uint64_t producer)
{
	struct pieces *pieces = call->queue->pieces;
	const struct piece *piece =
		&g_array_index(call->batch->pieces, struct piece, at);
	struct direct_result result = {
		.index = piece->index,
		.outcome = items ? items[at].result : DIRECT_ITEM_FAILED,
		.producer = producer,
	};

	if (!producer && result.outcome == DIRECT_ITEM_COMPLETED)
		result.outcome = DIRECT_ITEM_FAILED;
	if (call->is_lost) {
		result.outcome = DIRECT_ITEM_LOST;
		result.producer = call->batch->upstream->incarnation;
	}
	if (result.outcome == DIRECT_ITEM_COMPLETED) {
		result.handle = g_steal_pointer(&items[at].handle);
		pieces_piece_completed(pieces, call->batch, piece,
				       result.handle);
	} else {
		pieces_piece_failed(pieces, call->batch, piece,
				    result.outcome ==
					    DIRECT_ITEM_NO_RESULT_MEMORY);
	}
	return result;
}

/* Passes the results of a call to its jobs, one notification for each job. */
static void deliver_results(struct stage_call *call,
			    struct direct_item_outcome *items,
			    uint64_t producer)
{
	GArray *pieces = call->batch->pieces;
	g_autoptr(GArray) results =
		g_array_new(FALSE, FALSE, sizeof(struct direct_result));

	for (guint i = 0; i < pieces->len; i++) {
		struct direct_job *job =
			g_array_index(pieces, struct piece, i).request;

		g_array_set_size(results, 0);
		for (guint j = i; job && j < pieces->len; j++) {
			struct piece *piece =
				&g_array_index(pieces, struct piece, j);
			struct direct_result result;

			if (piece->request != job)
				continue;
			result = result_of(call, j, items, producer);
			g_array_append_val(results, result);
			piece->request = NULL;
		}
		if (job)
			notify_job(job, (struct direct_result *)results->data,
				   results->len);
	}
}

/* The incarnation that answered; 0: it has terminated since. */
static uint64_t find_producer(const struct stage_call *call)
{
	struct pool_upstream *producer = pool_attribute_answer(
		call->calls->direct->pool, call->batch->upstream, call->born_ms,
		call->batch->started_us);

	return producer ? producer->incarnation : 0;
}

static enum pool_outcome outcome_of(const struct stage_call *call, int error,
				    const struct direct_item_outcome *items)
{
	if (error)
		return POOL_UNREACHABLE;
	if (call->reply.other_process)
		return POOL_WRONG_PROCESS;
	if (items)
		return POOL_SERVED;
	return call->reply.not_run ? POOL_OVERLOADED : POOL_ERROR_ANSWER;
}

static const char *outcome_name(enum pool_outcome outcome)
{
	static const char *const names[] = {
		"served", "full", "error", "unreachable", "wrong", "unknown"
	};

	return names[outcome];
}

/* Reports the upstream as terminated if its host refused the connection or
 * another process answered. */
static void report_termination(const struct stage_call *call,
			       const struct http_fetch_answer *answer)
{
	struct direct_terminations *terminations =
		call->calls->direct->terminations;

	if (answer->error == LP_ERROR_NOT_LISTENING)
		direct_terminations_confirm(terminations, call->batch->upstream,
					    DIRECT_TERMINATION_REFUSED);
	else if (!answer->error && call->reply.other_process)
		direct_terminations_confirm(terminations, call->batch->upstream,
					    DIRECT_TERMINATION_REPLACED);
}

static void finish_call(struct stage_call *call,
			const struct http_fetch_answer *answer)
{
	struct direct_calls *calls = call->calls;
	struct direct_item_outcome *items = read_results(call, answer);
	enum pool_outcome outcome = outcome_of(call, answer->error, items);
	uint64_t producer = items ? find_producer(call) : 0;
	guint count = call->batch->pieces->len;

	call->is_lost = answer->error && answer->sent;
	report_termination(call, answer);
	for (guint i = 0; items && i < count; i++)
		call->no_memory_pieces +=
			items[i].result == DIRECT_ITEM_NO_RESULT_MEMORY;
	log_call(call,
		 items && !producer ? "restarted" : outcome_name(outcome));
	deliver_results(call, items, producer);
	for (guint i = 0; items && i < count; i++)
		g_free(items[i].handle);
	g_free(items);
	g_hash_table_remove(calls->calls_in_flight, call);
	if (outcome == POOL_UNREACHABLE && calls->direct->peers)
		direct_peers_report_unreachable(
			calls->direct->peers,
			call->batch->upstream->incarnation, PEER_EJECTION_US);
	pieces_end_call(call->queue->pieces, call->batch, outcome,
			call->reply.running, call->reply.waiting);
	g_free(call);
	schedule_run(calls);
}

static void on_call_done(void *userdata, const struct http_fetch_answer *answer,
			 const struct direct_reply *reply)
{
	struct stage_call *call = userdata;

	call->reply = *reply;
	finish_call(call, answer);
}

/* Stands for the answer of a call that could not be sent or is cancelled. */
static const struct http_fetch_answer no_answer = {
	.error = LP_ERROR_UPSTREAM_GONE,
	.body = "",
};

/* ---- calls that take longer than expected ---- */

static int64_t on_call_overdue(void *userdata)
{
	struct stage_call *call = userdata;
	struct direct *direct = call->calls->direct;
	int64_t wait_us =
		pieces_overdue_wait_us(call->queue->pieces, call->batch);

	if (direct_terminations_is_replaced(direct->terminations,
					    call->batch->upstream))
		wait_us = 0;
	if (wait_us && !call->is_overdue)
		*direct_counter(direct, "linepier_stage_calls_overdue_total",
				NULL) += 1;
	call->is_overdue = wait_us;
	return wait_us;
}

/* ---- start of a call ---- */

static void fill_item(const struct direct_calls *calls,
		      const struct piece *piece, struct direct_item *item)
{
	const struct direct_work *work =
		&((struct direct_job *)piece->request)->work;

	item->id = work->id;
	item->stage = piece->stage;
	item->piece = piece->index;
	item->time_left_us =
		piece->expires_us - lp_now_us(calls->direct->options.clock);
	item->inputs = work->inputs;
	if (!work->inputs->len)
		item->key = work->key;
}

static char *write_items(struct direct_calls *calls, const GArray *pieces)
{
	struct direct_item *items = g_new0(struct direct_item, pieces->len);
	char *body;

	for (guint i = 0; i < pieces->len; i++)
		fill_item(calls, &g_array_index(pieces, struct piece, i),
			  &items[i]);
	body = calls->direct->options.codec->write_items(items, pieces->len);
	g_free(items);
	return body;
}

static void start_call(struct call_queue *queue, struct pieces_call *batch)
{
	struct direct_calls *calls = queue->calls;
	const struct direct_codec *codec = calls->direct->options.codec;
	g_autofree char *body = write_items(calls, batch->pieces);
	struct stage_call *call = g_new0(struct stage_call, 1);

	call->calls = calls;
	call->queue = queue;
	call->batch = batch;
	call->reply.running = -1;
	call->reply.waiting = -1;
	g_hash_table_add(calls->calls_in_flight, call);
	call->fetch = direct_fetch_start(&(struct direct_fetch_options){
		.log = calls->direct->options.log,
		.counters = calls->direct->options.counters,
		.memory = &calls->direct->memory,
		.codec = codec,
		.notices = calls->direct->notices,
		.upstream = batch->upstream,
		.method = "POST",
		.target = codec->items_target,
		.body = body,
		.answer_bytes_max = CALL_ANSWER_BYTES +
				    CALL_ITEM_BYTES * batch->pieces->len,
		.timeout_us = batch->timeout_us,
		.overdue = on_call_overdue,
		.done = on_call_done,
		.userdata = call,
	});
	if (!call->fetch)
		finish_call(call, &no_answer);
}

/* ---- result memory of upstreams ---- */

struct memory_query {
	struct call_queue *queue;
	struct pool_upstream *upstream; /* held by pool_upstream_ref() */
	int64_t own_bytes;
	int64_t sent_us;
	struct direct_fetch *fetch;
};

static void log_memory_query(const struct memory_query *query, bool is_answered,
			     int64_t min_bytes)
{
	struct lp_event_log *log = query->queue->calls->direct->options.log;

	if (!lp_event_begin(log, "room_asked", NULL))
		return;
	lp_event_text(log, "service", query->queue->name);
	lp_event_text(log, "upstream", query->upstream->info.id);
	lp_event_text(log, "outcome", is_answered ? "told" : "not_told");
	lp_event_int(log, "least_bytes", min_bytes);
	lp_event_int(log, "own_bytes", query->own_bytes);
	lp_event_int(
		log, "other_bytes",
		result_memory_untracked_bytes(query->upstream->result_memory));
	lp_event_end(log);
}

static void finish_memory_query(struct memory_query *query)
{
	g_hash_table_remove(query->queue->calls->memory_queries, query);
	pool_upstream_unref(query->upstream);
	g_free(query);
}

/* Reads an answer; false: there is none, or another incarnation sent it. */
static bool read_memory_answer(const struct memory_query *query,
			       const struct http_fetch_answer *answer,
			       struct direct_result_memory *memory)
{
	struct direct *direct = query->queue->calls->direct;

	return !answer->error && answer->status == 200 &&
	       direct->options.codec->read_result_memory(
		       answer->body, answer->size, memory) &&
	       pool_attribute_answer(direct->pool, query->upstream,
				     memory->born_ms,
				     query->sent_us) == query->upstream;
}

/* Without an answer calls are made nevertheless; their results show how much
 * memory there is. */
static void on_memory_answer(void *userdata,
			     const struct http_fetch_answer *answer,
			     const struct direct_reply *reply)
{
	struct memory_query *query = userdata;
	struct direct_calls *calls = query->queue->calls;
	struct direct_result_memory memory = { 0 };
	bool is_answered = read_memory_answer(query, answer, &memory);

	if (is_answered)
		pieces_memory_reported(query->queue->pieces, query->upstream,
				       query->own_bytes, memory.min_bytes,
				       memory.max_bytes);
	log_memory_query(query, is_answered, memory.min_bytes);
	finish_memory_query(query);
	schedule_run(calls);
}

static void query_memory(struct call_queue *queue,
			 struct pool_upstream *upstream)
{
	struct direct_calls *calls = queue->calls;
	const struct direct_codec *codec = calls->direct->options.codec;
	struct memory_query *query = g_new0(struct memory_query, 1);

	query->queue = queue;
	query->upstream = pool_upstream_ref(upstream);
	query->own_bytes = result_memory_tracked_bytes(upstream->result_memory);
	query->sent_us = lp_now_us(calls->direct->options.clock);
	g_hash_table_add(calls->memory_queries, query);
	query->fetch = direct_fetch_start(&(struct direct_fetch_options){
		.log = calls->direct->options.log,
		.counters = calls->direct->options.counters,
		.memory = &calls->direct->memory,
		.codec = codec,
		.notices = calls->direct->notices,
		.upstream = upstream,
		.method = "GET",
		.target = codec->result_memory_target,
		.timeout_us = MEMORY_QUERY_TIMEOUT_US,
		.done = on_memory_answer,
		.userdata = query,
	});
	if (!query->fetch)
		finish_memory_query(query);
}

static gboolean on_wake_timer(gpointer userdata)
{
	struct call_queue *queue = userdata;

	queue->wake_timer = 0;
	schedule_run(queue->calls);
	return G_SOURCE_REMOVE;
}

static void set_wake_timer(struct call_queue *queue)
{
	int64_t wake_us = pieces_next_check_us(queue->pieces);
	int64_t now_us = lp_now_us(queue->calls->direct->options.clock);

	if (!wake_us || queue->wake_timer)
		return;
	queue->wake_timer =
		lp_timer_add((guint)(MAX(wake_us - now_us, 0) / LP_US_PER_MS),
			     on_wake_timer, queue);
}

/* ---- shedding ---- */

static void log_shed(struct call_queue *queue, const struct piece *piece,
		     uint32_t count)
{
	const struct direct_job *job = piece->request;
	struct direct *direct = queue->calls->direct;
	struct lp_event_log *log = direct->options.log;
	int64_t now_us = lp_now_us(direct->options.clock);
	const char *why = load_shedding_reason_name(piece->shed_reason);
	g_autofree char *label = g_strdup_printf("why=\"%s\"", why);

	*direct_counter(direct, "linepier_pieces_shed_total", label) += count;
	if (!lp_event_begin(log, "shed", job->work.id))
		return;
	lp_event_text(log, "service", queue->name);
	lp_event_text(log, "why", why);
	lp_event_int(log, "stage", piece->stage);
	lp_event_int(log, "pieces", count);
	lp_event_int(log, "rank", piece->priority);
	lp_event_int(log, "waited_us", now_us - piece->added_us);
	lp_event_int(log, "wait_us", piece->shed_wait_us);
	lp_event_int(log, "late_us", now_us - piece->due_us);
	lp_event_int(log, "left_us", piece->expires_us - now_us);
	lp_event_end(log);
}

/* Reports `count` shed pieces of one job to its owner, who refuses the
 * request. */
static void report_shed(struct call_queue *queue, const struct piece *pieces,
			uint32_t count)
{
	struct direct_result *results = g_new0(struct direct_result, count);

	log_shed(queue, pieces, count);
	for (uint32_t i = 0; i < count; i++) {
		results[i].index = pieces[i].index;
		results[i].outcome = DIRECT_ITEM_LATE;
	}
	notify_job(pieces->request, results, count);
	g_free(results);
}

/* A job that is cancelled while others are reported still has open pieces
 * here, so it is not freed before its turn. */
static void shed_pieces(struct call_queue *queue)
{
	int64_t now_us = lp_now_us(queue->calls->direct->options.clock);
	g_autoptr(GArray) shed = NULL;
	guint end;

	if (!pieces_next_check_us(queue->pieces) ||
	    now_us - queue->shed_us < SHEDDING_INTERVAL_US)
		return;
	queue->shed_us = now_us;
	shed = g_array_new(FALSE, FALSE, sizeof(struct piece));
	pieces_shed(queue->pieces, shed);
	for (guint start = 0; start < shed->len; start = end) {
		const struct piece *first =
			&g_array_index(shed, struct piece, start);

		for (end = start + 1; end < shed->len; end++)
			if (g_array_index(shed, struct piece, end).request !=
			    first->request)
				break;
		report_shed(queue, first, end - start);
	}
}

void direct_calls_run(struct direct_calls *calls)
{
	g_autoptr(GList) queues = g_hash_table_get_values(calls->queues);

	for (GList *at = queues; at; at = at->next) {
		struct call_queue *queue = at->data;
		struct pool_upstream *upstream;
		struct pieces_call *batch;

		shed_pieces(queue);
		while ((upstream = pieces_next_memory_query(queue->pieces)))
			query_memory(queue, upstream);
		while ((batch = pieces_start_call(queue->pieces)))
			start_call(queue, batch);
		update_wait_gauges(queue);
		set_wake_timer(queue);
	}
}

static gboolean on_run(gpointer userdata)
{
	struct direct_calls *calls = userdata;

	calls->run_source = 0;
	direct_calls_run(calls);
	return G_SOURCE_REMOVE;
}

/* Runs after this event-loop iteration, so that pieces added later in it share
 * the calls. */
static void schedule_run(struct direct_calls *calls)
{
	if (!calls->run_source)
		calls->run_source = g_idle_add_full(G_PRIORITY_DEFAULT, on_run,
						    calls, NULL);
}

int64_t direct_calls_estimate_us(struct direct_calls *calls,
				 const char *service, int32_t priority)
{
	return pieces_estimate_us(get_or_create_queue(calls, service)->pieces,
				  priority);
}

void direct_calls_estimate_each_us(struct direct_calls *calls,
				   const char *service, int64_t *out,
				   int32_t count)
{
	pieces_estimate_by_priority_us(
		get_or_create_queue(calls, service)->pieces, out, count);
}

int64_t direct_calls_late_wait_us(struct direct_calls *calls,
				  const char *service)
{
	return pieces_late_wait_us(get_or_create_queue(calls, service)->pieces);
}

void direct_calls_set_committed(struct direct_calls *calls, const char *service,
				const uint32_t *by_rank, uint32_t ranks)
{
	pieces_set_committed(get_or_create_queue(calls, service)->pieces,
			     by_rank, ranks);
}

struct direct_calls *direct_calls_create(struct direct *direct)
{
	struct direct_calls *calls = g_new0(struct direct_calls, 1);

	calls->direct = direct;
	calls->queues = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      free_queue);
	calls->calls_in_flight = g_hash_table_new(NULL, NULL);
	calls->memory_queries = g_hash_table_new(NULL, NULL);
	return calls;
}

static void cancel_calls_in_flight(struct direct_calls *calls)
{
	g_autoptr(GList) list = g_hash_table_get_keys(calls->calls_in_flight);

	for (GList *at = list; at; at = at->next) {
		struct stage_call *call = at->data;

		direct_fetch_cancel(call->fetch);
		finish_call(call, &no_answer);
	}
}

static void cancel_memory_queries(struct direct_calls *calls)
{
	g_autoptr(GList) list = g_hash_table_get_keys(calls->memory_queries);

	for (GList *at = list; at; at = at->next) {
		struct memory_query *query = at->data;

		direct_fetch_cancel(query->fetch);
		finish_memory_query(query);
	}
}

void direct_calls_destroy(struct direct_calls *calls)
{
	cancel_calls_in_flight(calls);
	cancel_memory_queries(calls);
	if (calls->run_source)
		g_source_remove(calls->run_source);
	g_hash_table_unref(calls->queues);
	g_hash_table_unref(calls->calls_in_flight);
	g_hash_table_unref(calls->memory_queries);
	g_free(calls);
}
