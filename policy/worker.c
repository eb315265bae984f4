#include "policy/worker.h"

#include "policy/concurrency_limit.h"
#include "policy/quantile.h"

#include <string.h>

#define DEFAULT_CONCURRENCY 8
#define DEFAULT_QUEUE_MAX 1000
#define DEFAULT_AGE_LIMIT_US (8 * LP_US_PER_S)
#define DEFAULT_RESULT_TTL_US (5 * LP_US_PER_S)
/*
 * Of the time a call has beyond its run, the queue may use this much: a
 * longer queue serves nobody sooner, and leaves none for the order by
 * deadline to trade with.
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
	GQueue expiring;   /* worker_call by forget_us, which only grows */
	GPtrArray *running_calls;
	uint32_t running;
	uint32_t upstream_queued; /* calls waiting within the upstream, it says
				   */
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
 * Slots free up at limit / usual time: what goes before a new call leaves
 * the queue at that rate.
 */
static int64_t estimate_queue_us(const struct worker *worker,
				 const char *organisation, uint32_t weight)
{
	double usual_us = MAX(worker->limit.smoothed_run_us, 1.0);
	double ahead = queue_calls_ahead(worker->queue, organisation, weight) +
		       worker->upstream_queued;

	if (worker->running < worker->limit.value && ahead < 1)
		return 0;
	return (int64_t)((ahead + 1) * usual_us / worker->limit.value);
}

/*
 * Runs that do not end tell of an upstream that hangs: the mean age of what
 * runs, about half a run while all is well.
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
 * An id is remembered while a copy of its call could still be young enough
 * to run. Times to forget are made monotonic so that one list keeps order.
 */
static void remember(struct worker *worker, struct worker_call *call,
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

static void fence(struct worker *worker, const struct lp_call_id *id,
		  const char *peer)
{
	struct worker_call *call = add_call(worker, id, peer);

	call->state = WORKER_FENCED;
	call->result.error = LP_ERROR_WITHDRAWN;
	call->result.run = LP_RUN_NOT_RUN;
	remember(worker, call, call->arrived_us + worker->options.age_limit_us);
}

static void refuse(struct worker *worker, const struct worker_submit *offer,
		   int error, int64_t retry_us)
{
	struct worker_result result = {
		.error = error,
		.run = LP_RUN_NOT_RUN,
		.retry_us = (uint32_t)CLAMP(retry_us, 0, G_MAXUINT32),
	};

	worker->options.ops->refuse(worker->options.userdata, offer->peer,
				    &offer->id, &result);
	if (offer->payload)
		worker->options.ops->free_payload(offer->payload);
}

/* The call is answered now: from its state on it never runs (again). */
static void settle(struct worker *worker, struct worker_call *call,
		   enum worker_state state)
{
	call->state = state;
	call->run_data = NULL;
	if (call->payload)
		worker->options.ops->free_payload(call->payload);
	call->payload = NULL;
	remember(worker, call,
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
	settle(worker, call, WORKER_FENCED);
}

static void start(struct worker *worker, struct worker_call *call)
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
	/* The lower quartile: refuse only what would hardly ever make it. */
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
			start(worker, item->owner);
	}
	worker->starting = false;
}

/* A call seen before is never run again: it is answered from memory. */
static void answer_duplicate(struct worker *worker, struct worker_call *call,
			     const struct worker_submit *offer)
{
	if (call->state == WORKER_FENCED || call->state == WORKER_DONE)
		worker->options.ops->reply(worker->options.userdata, call);
	if (offer->payload)
		worker->options.ops->free_payload(offer->payload);
}

static int check_submit(const struct worker *worker,
			const struct worker_submit *offer, int64_t *retry_us)
{
	const struct worker_options *options = &worker->options;
	int64_t now = now_us(worker);
	int64_t wait_us;
	int64_t spare_us;

	*retry_us = 0;
	if (offer->incarnation != options->incarnation)
		return LP_ERROR_WRONG_INCARNATION;
	if (now - (offer->echo_us + offer->held_us) > options->age_limit_us)
		return LP_ERROR_STALE_CALL;
	if (worker->draining)
		return LP_ERROR_LEAVING;
	wait_us = estimate_queue_us(worker, offer->organisation, offer->weight);
	*retry_us = wait_us;
	if (queue_length(worker->queue) >= options->queue_max)
		return LP_ERROR_OVERLOADED;
	if (options->naive)
		return LP_OK;
	spare_us = offer->left_us - estimate_run_us(worker);
	if (spare_us < 0 || wait_us > (int64_t)(spare_us * QUEUE_TIME_SHARE))
		return LP_ERROR_DEADLINE_UNREACHABLE;
	return LP_OK;
}

void worker_submit(struct worker *worker, const struct worker_submit *offer)
{
	struct worker_call *call =
		g_hash_table_lookup(worker->calls, &offer->id);
	int64_t retry_us;
	int error;

	if (call) {
		answer_duplicate(worker, call, offer);
		return;
	}
	error = check_submit(worker, offer, &retry_us);
	if (error) {
		/* A second copy must find the same answer. */
		if (error != LP_ERROR_WRONG_INCARNATION &&
		    error != LP_ERROR_STALE_CALL)
			fence(worker, &offer->id, offer->peer);
		refuse(worker, offer, error, retry_us);
		return;
	}
	call = add_call(worker, &offer->id, offer->peer);
	call->state = WORKER_QUEUED;
	call->repeatable = offer->repeatable;
	call->organisation = g_strdup(offer->organisation);
	call->weight = offer->weight;
	call->payload = offer->payload;
	call->item.deadline_us = call->arrived_us + offer->left_us;
	queue_push(worker->queue, &call->item, call->organisation,
		   offer->weight);
	start_queued(worker);
}

static void cancel_run(struct worker *worker, struct worker_call *call)
{
	call->state = WORKER_CANCELLED;
	worker->options.ops->cancel(worker->options.userdata, call);
}

static void withdraw(struct worker *worker, struct worker_call *call)
{
	if (call->state == WORKER_QUEUED) {
		queue_remove(worker->queue, &call->item);
		refuse_queued(worker, call, LP_ERROR_WITHDRAWN);
	} else if (call->state == WORKER_RUNNING) {
		cancel_run(worker, call);
	}
}

/* Memory holds every id that arrived within the age limit, none for ever. */
static bool is_outside_memory(const struct worker *worker,
			      const struct worker_state_query *question)
{
	int64_t age_us = now_us(worker) - question->sent_us;

	return question->incarnation != worker->options.incarnation ||
	       age_us > worker->options.age_limit_us;
}

void worker_query(struct worker *worker,
		  const struct worker_state_query *question)
{
	const struct worker_ops *ops = worker->options.ops;
	void *userdata = worker->options.userdata;
	const struct lp_call_id *id = &question->id;
	struct worker_call *call = g_hash_table_lookup(worker->calls, id);

	if (!call && is_outside_memory(worker, question)) {
		ops->state(userdata, question->peer, id, WORKER_LOST);
		return;
	}
	if (!call) {
		fence(worker, id, question->peer);
		call = g_hash_table_lookup(worker->calls, id);
	} else if (question->withdraw) {
		withdraw(worker, call);
	}
	if (call->state == WORKER_DONE)
		ops->reply(userdata, call);
	ops->state(userdata, question->peer, id, call->state);
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
	settle(worker, call, WORKER_DONE);
	start_queued(worker);
}

void worker_drain(struct worker *worker)
{
	struct queue_item *item;

	worker->draining = true;
	while ((item = queue_pop(worker->queue)))
		refuse_queued(worker, item->owner, LP_ERROR_LEAVING);
}

/* Runs past their use: their entry died, or its withdrawal was lost. */
static void cancel_overdue(struct worker *worker)
{
	int64_t now = now_us(worker);

	for (guint i = worker->running_calls->len; i > 0; i--) {
		struct worker_call *call =
			g_ptr_array_index(worker->running_calls, i - 1);

		if (call->state == WORKER_RUNNING &&
		    now > call->item.deadline_us + OVERRUN_GRACE_US)
			cancel_run(worker, call);
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
