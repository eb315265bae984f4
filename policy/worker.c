#include "policy/worker.h"

#include "policy/concurrency_limit.h"
#include "policy/quantile.h"

#include <string.h>

#define DEFAULT_CONCURRENCY 8
#define DEFAULT_QUEUE_MAX 1000
#define DEFAULT_AGE_LIMIT_US (8 * LP_US_PER_S)
#define DEFAULT_RESULT_TTL_US (5 * LP_US_PER_S)
/*
 * The share of a call's spare time (left after its run) that it may spend in
 * the queue. A longer queue serves no call sooner and leaves no slack for
 * ordering by deadline.
 */
#define QUEUE_TIME_SHARE 0.6
#define OVERRUN_GRACE_US (200 * LP_US_PER_MS)
#define DEFAULT_RUN_US (1 * LP_US_PER_MS)

struct worker {
	struct worker_options options;
	struct concurrency_limit limit;
	struct queue *queue;
	struct quantile *run_times;
	GHashTable *calls; /* lp_call_id to worker_call */
	GQueue expiring;   /* worker_call, in order of expires_us */
	GPtrArray *running_calls;
	uint32_t running;
	uint32_t upstream_queued; /* calls queued inside the upstream */
	bool draining;
	bool starting; /* guards against re-entry of start_queued() */
};

static int64_t now_us(const struct worker *worker)
{
	return lp_now_us(worker->options.clock);
}

static void free_call(struct worker *worker, struct worker_call *call)
{
	if (call->payload)
		worker->options.ops->free_payload(call->payload);
	g_free(call->result.body);
	g_free(call->peer);
	g_free(call->organisation);
	g_free(call);
}

struct worker *worker_create(const struct worker_options *options)
{
	struct worker *worker = g_new0(struct worker, 1);
	struct worker_options *own = &worker->options;

	*own = *options;
	if (!own->concurrency)
		own->concurrency = DEFAULT_CONCURRENCY;
	if (!own->queue_max)
		own->queue_max = DEFAULT_QUEUE_MAX;
	if (!own->age_limit_us)
		own->age_limit_us = DEFAULT_AGE_LIMIT_US;
	if (!own->result_ttl_us)
		own->result_ttl_us = DEFAULT_RESULT_TTL_US;
	concurrency_limit_init(&worker->limit, own->concurrency);
	worker->queue = queue_create(own->naive);
	worker->run_times = quantile_create();
	worker->calls = g_hash_table_new(lp_call_id_hash, lp_call_id_equal);
	g_queue_init(&worker->expiring);
	worker->running_calls = g_ptr_array_new();
	return worker;
}

void worker_destroy(struct worker *worker)
{
	GHashTableIter iter;
	gpointer call;

	if (!worker)
		return;
	g_ptr_array_unref(worker->running_calls);
	queue_destroy(worker->queue);
	quantile_destroy(worker->run_times);
	g_hash_table_iter_init(&iter, worker->calls);
	while (g_hash_table_iter_next(&iter, NULL, &call))
		free_call(worker, call);
	g_hash_table_unref(worker->calls);
	g_queue_clear(&worker->expiring);
	g_free(worker);
}

void worker_set_concurrency(struct worker *worker, uint32_t concurrency)
{
	if (concurrency == worker->limit.max)
		return;
	worker->limit.max = concurrency;
	worker->limit.value = concurrency;
}

void worker_set_upstream_queued(struct worker *worker, uint32_t waiting)
{
	worker->upstream_queued = waiting;
}

static uint32_t estimate_run_us(const struct worker *worker)
{
	return (uint32_t)quantile_get(worker->run_times, 0.5, DEFAULT_RUN_US);
}

/*
 * The expected queueing time of a new call. Slots become free at a rate of
 * limit / mean run time, and the calls ahead leave the queue at that rate.
 */
static int64_t estimate_queue_us(const struct worker *worker,
				 const char *organisation, uint32_t weight)
{
	double mean_run_us = MAX(worker->limit.smoothed_run_us, 1.0);
	double calls_ahead =
		queue_calls_ahead(worker->queue, organisation, weight) +
		worker->upstream_queued;

	if (worker->running < worker->limit.value && calls_ahead < 1)
		return 0;
	return (int64_t)((calls_ahead + 1) * mean_run_us / worker->limit.value);
}

/*
 * The mean age of the running calls: about half a run time normally, and more
 * if the upstream hangs, as its calls don't end.
 */
static uint32_t mean_running_age_us(const struct worker *worker)
{
	int64_t sum_us = 0;

	for (guint i = 0; i < worker->running_calls->len; i++) {
		const struct worker_call *call =
			g_ptr_array_index(worker->running_calls, i);

		sum_us += now_us(worker) - call->started_us;
	}
	return (uint32_t)(sum_us / MAX(1, worker->running_calls->len));
}

void worker_get_load(const struct worker *worker, struct worker_load *out)
{
	*out = (struct worker_load){
		.queued = queue_length(worker->queue),
		.running = worker->running,
		.limit = worker->limit.value,
		.wait_us = (uint32_t)estimate_queue_us(worker, "", 1),
		.run_us = MAX(estimate_run_us(worker),
			      mean_running_age_us(worker)),
		.draining = worker->draining,
	};
}

/*
 * Keeps a call's id while a duplicate could still be young enough to run.
 * Expiry times are made monotonic, so that one list stays sorted.
 */
static void schedule_expiry(struct worker *worker, struct worker_call *call,
			    int64_t until_us)
{
	struct worker_call *last = g_queue_peek_tail(&worker->expiring);

	if (last)
		until_us = MAX(until_us, last->expires_us);
	call->expires_us = until_us;
	g_queue_push_tail(&worker->expiring, call);
}

static struct worker_call *
add_call(struct worker *worker, const struct lp_call_id *id, const char *peer)
{
	struct worker_call *call = g_new0(struct worker_call, 1);

	call->id = *id;
	call->peer = g_strdup(peer);
	call->arrived_us = now_us(worker);
	call->item.owner = call;
	g_hash_table_insert(worker->calls, &call->id, call);
	return call;
}

static void add_fence(struct worker *worker, const struct lp_call_id *id,
		      const char *peer)
{
	struct worker_call *call = add_call(worker, id, peer);

	call->state = WORKER_FENCED;
	call->result.error = LP_ERROR_WITHDRAWN;
	call->result.run = LP_RUN_NOT_RUN;
	schedule_expiry(worker, call,
			call->arrived_us + worker->options.age_limit_us);
}

static void refuse(struct worker *worker, const struct worker_submit *submit,
		   int error, int64_t retry_us)
{
	struct worker_result result = {
		.error = error,
		.run = LP_RUN_NOT_RUN,
		.retry_us = (uint32_t)CLAMP(retry_us, 0, G_MAXUINT32),
	};

	worker->options.ops->refuse(worker->options.userdata, submit->peer,
				    &submit->id, &result);
	if (submit->payload)
		worker->options.ops->free_payload(submit->payload);
}

/* Ends a call with its final state and sends its answer. */
static void end_call(struct worker *worker, struct worker_call *call,
		     enum worker_state state)
{
	call->state = state;
	call->run_data = NULL;
	if (call->payload)
		worker->options.ops->free_payload(call->payload);
	call->payload = NULL;
	schedule_expiry(worker, call,
			MAX(call->arrived_us + worker->options.age_limit_us,
			    now_us(worker) + worker->options.result_ttl_us));
	worker->options.ops->reply(worker->options.userdata, call);
}

static void refuse_queued(struct worker *worker, struct worker_call *call,
			  int error)
{
	call->result.error = error;
	call->result.run = LP_RUN_NOT_RUN;
	call->result.queue_us = (uint32_t)(now_us(worker) - call->arrived_us);
	call->result.retry_us =
		(uint32_t)estimate_queue_us(worker, call->organisation, 1);
	end_call(worker, call, WORKER_FENCED);
}

static void start_call(struct worker *worker, struct worker_call *call)
{
	call->state = WORKER_RUNNING;
	call->started_us = now_us(worker);
	call->result.queue_us = (uint32_t)(call->started_us - call->arrived_us);
	worker->running += 1;
	g_ptr_array_add(worker->running_calls, call);
	worker->options.ops->start(worker->options.userdata, call);
}

static bool misses_deadline(const struct worker *worker,
			    const struct worker_call *call)
{
	int64_t need_us;

	if (worker->options.naive)
		return false;
	/* The lower quartile: refuse only calls that would hardly ever fit. */
	need_us = quantile_get(worker->run_times, 0.25, 0);
	return now_us(worker) + need_us > call->item.deadline_us;
}

static void start_queued(struct worker *worker)
{
	struct queue_item *item;

	if (worker->starting)
		return;
	worker->starting = true;
	while (worker->running < worker->limit.value) {
		item = queue_pop(worker->queue);
		if (!item)
			break;
		if (misses_deadline(worker, item->owner))
			refuse_queued(worker, item->owner,
				      LP_ERROR_DEADLINE_UNREACHABLE);
		else
			start_call(worker, item->owner);
	}
	worker->starting = false;
}

/* A duplicate of a known call never runs: an ended one is answered again. */
static void answer_duplicate(struct worker *worker, struct worker_call *call,
			     const struct worker_submit *submit)
{
	if (call->state == WORKER_FENCED || call->state == WORKER_DONE)
		worker->options.ops->reply(worker->options.userdata, call);
	if (submit->payload)
		worker->options.ops->free_payload(submit->payload);
}

static int check_submit(const struct worker *worker,
			const struct worker_submit *submit, int64_t *retry_us)
{
	const struct worker_options *options = &worker->options;
	int64_t now = now_us(worker);
	int64_t wait_us;
	int64_t spare_us;

	*retry_us = 0;
	if (submit->incarnation != options->incarnation)
		return LP_ERROR_WRONG_INCARNATION;
	if (now - (submit->echo_us + submit->held_us) > options->age_limit_us)
		return LP_ERROR_STALE_CALL;
	if (worker->draining)
		return LP_ERROR_LEAVING;
	wait_us =
		estimate_queue_us(worker, submit->organisation, submit->weight);
	*retry_us = wait_us;
	if (queue_length(worker->queue) >= options->queue_max)
		return LP_ERROR_OVERLOADED;
	if (options->naive)
		return LP_OK;
	spare_us = submit->left_us - estimate_run_us(worker);
	if (spare_us < 0 || wait_us > (int64_t)(spare_us * QUEUE_TIME_SHARE))
		return LP_ERROR_DEADLINE_UNREACHABLE;
	return LP_OK;
}

void worker_submit(struct worker *worker, const struct worker_submit *submit)
{
	struct worker_call *call =
		g_hash_table_lookup(worker->calls, &submit->id);
	int64_t retry_us;
	int error;

	if (call) {
		answer_duplicate(worker, call, submit);
		return;
	}
	error = check_submit(worker, submit, &retry_us);
	if (error) {
		/* A duplicate must get the same answer. */
		if (error != LP_ERROR_WRONG_INCARNATION &&
		    error != LP_ERROR_STALE_CALL)
			add_fence(worker, &submit->id, submit->peer);
		refuse(worker, submit, error, retry_us);
		return;
	}
	call = add_call(worker, &submit->id, submit->peer);
	call->state = WORKER_QUEUED;
	call->repeatable = submit->repeatable;
	call->organisation = g_strdup(submit->organisation);
	call->weight = submit->weight;
	call->payload = submit->payload;
	call->item.deadline_us = call->arrived_us + submit->left_us;
	queue_push(worker->queue, &call->item, call->organisation,
		   submit->weight);
	start_queued(worker);
}

static void cancel_call(struct worker *worker, struct worker_call *call)
{
	call->state = WORKER_CANCELLED;
	worker->options.ops->cancel(worker->options.userdata, call);
}

static void withdraw_call(struct worker *worker, struct worker_call *call)
{
	if (call->state == WORKER_QUEUED) {
		queue_remove(worker->queue, &call->item);
		refuse_queued(worker, call, LP_ERROR_WITHDRAWN);
	} else if (call->state == WORKER_RUNNING) {
		cancel_call(worker, call);
	}
}

/* Whether a call may have been forgotten: ids are kept for the age limit. */
static bool is_outside_memory(const struct worker *worker,
			      const struct worker_state_query *query)
{
	int64_t age_us = now_us(worker) - query->sent_us;

	return query->incarnation != worker->options.incarnation ||
	       age_us > worker->options.age_limit_us;
}

void worker_query(struct worker *worker, const struct worker_state_query *query)
{
	const struct worker_ops *ops = worker->options.ops;
	void *userdata = worker->options.userdata;
	const struct lp_call_id *id = &query->id;
	struct worker_call *call = g_hash_table_lookup(worker->calls, id);

	if (!call && is_outside_memory(worker, query)) {
		ops->state(userdata, query->peer, id, WORKER_LOST);
		return;
	}
	if (!call) {
		add_fence(worker, id, query->peer);
		call = g_hash_table_lookup(worker->calls, id);
	} else if (query->withdraw) {
		withdraw_call(worker, call);
	}
	if (call->state == WORKER_DONE)
		ops->reply(userdata, call);
	ops->state(userdata, query->peer, id, call->state);
}

void worker_finished(struct worker *worker, struct worker_call *call,
		     const struct worker_result *result)
{
	uint32_t queue_us = call->result.queue_us;
	int64_t run_us = now_us(worker) - call->started_us;

	g_free(call->result.body);
	call->result = *result;
	call->result.queue_us = queue_us;
	call->result.run_us = (uint32_t)run_us;
	call->result.chunks = call->chunks;
	call->result.retry_us = (uint32_t)estimate_queue_us(
		worker, call->organisation, call->weight);
	worker->running -= 1;
	g_ptr_array_remove_fast(worker->running_calls, call);
	if (!result->error) {
		quantile_add(worker->run_times, run_us);
		if (!worker->options.naive)
			concurrency_limit_add_sample(&worker->limit, run_us);
		else
			worker->limit.smoothed_run_us = (double)run_us;
	}
	end_call(worker, call, WORKER_DONE);
	start_queued(worker);
}

void worker_drain(struct worker *worker)
{
	struct queue_item *item;

	worker->draining = true;
	while ((item = queue_pop(worker->queue)))
		refuse_queued(worker, item->owner, LP_ERROR_LEAVING);
}

/* Cancels overdue calls: their entry terminated, or its withdrawal was lost. */
static void cancel_overdue(struct worker *worker)
{
	int64_t now = now_us(worker);

	for (guint i = worker->running_calls->len; i > 0; i--) {
		struct worker_call *call =
			g_ptr_array_index(worker->running_calls, i - 1);

		if (call->state == WORKER_RUNNING &&
		    now > call->item.deadline_us + OVERRUN_GRACE_US)
			cancel_call(worker, call);
	}
}

void worker_tick(struct worker *worker)
{
	int64_t now = now_us(worker);
	struct worker_call *call;

	if (!worker->options.naive)
		cancel_overdue(worker);

	while ((call = g_queue_peek_head(&worker->expiring)) &&
	       call->expires_us < now) {
		g_queue_pop_head(&worker->expiring);
		g_hash_table_remove(worker->calls, &call->id);
		free_call(worker, call);
	}
	start_queued(worker);
}

bool worker_is_idle(const struct worker *worker)
{
	return !worker->running && !queue_length(worker->queue);
}

uint32_t worker_call_count(const struct worker *worker)
{
	return g_hash_table_size(worker->calls);
}
