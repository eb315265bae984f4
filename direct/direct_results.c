/**
 * Frees results of stages that nobody needs any more: gathers them in batches
 * and has their producers drop them, by way of the dispatcher.
 */
#include "direct/direct_private.h"

#include "base/lp_timer.h"
#include "direct/direct_relay.h"

/* Results are gathered this long, so that one call frees many: once here and
 * once at the dispatcher. Short against a call of a stage, as result memory is
 * scarce. */
#define BATCH_DELAY_MS 20
/* Results that one datagram to a dispatcher names. */
#define HANDLES_PER_DATAGRAM 64
#define FREE_TIMEOUT_US (2 * LP_US_PER_S)
/* Upstreams drop results that nobody frees after a few seconds, so older ones
 * need no call. */
#define RESULT_TTL_US (4 * LP_US_PER_S)

/* Results of one producer that are freed next. */
struct batch {
	GPtrArray *handles;
	int64_t bytes;
	int64_t started_us;
};

struct direct_results {
	struct direct *direct;
	GHashTable *own_batches;  /* producer's incarnation -> struct batch */
	GHashTable *call_batches; /* same: of peers, or postponed */
	GHashTable *calls;	  /* of struct free_call */
	guint batch_timer;
};

struct free_call {
	struct direct_results *results;
	uint64_t producer;
	GPtrArray *handles;
	int64_t each_bytes;
	int64_t started_us;
	struct direct_fetch *fetch;
};

static void free_batch(gpointer data)
{
	struct batch *batch = data;

	g_ptr_array_unref(batch->handles);
	g_free(batch);
}

static GHashTable *create_batches(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				     free_batch);
}

/* Counts the results' memory as free, also after a failed call: the producer
 * will drop them by itself. */
static void finish_free_call(struct free_call *call)
{
	struct pool *pool = call->results->direct->pool;
	struct pool_upstream *upstream =
		pool_find_incarnation(pool, call->producer);

	for (guint i = 0; upstream && i < call->handles->len; i++)
		result_memory_release(upstream->result_memory,
				      g_ptr_array_index(call->handles, i),
				      call->each_bytes);
	g_hash_table_remove(call->results->calls, call);
	g_ptr_array_unref(call->handles);
	g_free(call);
}

static void log_free(const struct free_call *call, uint32_t status)
{
	struct direct *direct = call->results->direct;
	const struct pool_upstream *producer =
		pool_find_incarnation(direct->pool, call->producer);

	if (!lp_event_begin(direct->options.log, "results_given_up", NULL))
		return;
	lp_event_text(direct->options.log, "upstream",
		      producer ? producer->info.id : "");
	lp_event_int(direct->options.log, "results", call->handles->len);
	lp_event_int(direct->options.log, "status", status);
	lp_event_int(direct->options.log, "took_us",
		     lp_now_us(direct->options.clock) - call->started_us);
	lp_event_end(direct->options.log);
}

/* A failed call is not repeated: the upstream drops results that nobody frees
 * after a few seconds. */
static void on_free_done(void *userdata, const struct http_fetch_answer *answer,
			 const struct direct_reply *reply)
{
	struct free_call *call = userdata;

	*lp_counter(call->results->direct->options.counters,
		    "linepier_result_frees_total",
		    answer->error ? "outcome=\"failed\""
				  : "outcome=\"done\"") += 1;
	log_free(call, answer->status);
	finish_free_call(call);
}

static void send_free(struct direct_results *results,
		      struct pool_upstream *upstream, const struct batch *batch)
{
	const struct direct_codec *codec = results->direct->options.codec;
	g_autofree char *body = NULL;
	struct free_call *call;

	body = codec->write_free(batch->handles);
	call = g_new0(struct free_call, 1);
	call->results = results;
	call->producer = upstream->incarnation;
	call->handles = g_ptr_array_ref(batch->handles);
	call->each_bytes = batch->bytes / batch->handles->len;
	call->started_us = lp_now_us(results->direct->options.clock);
	call->fetch = direct_fetch_start(&(struct direct_fetch_options){
		.log = results->direct->options.log,
		.counters = results->direct->options.counters,
		.memory = &results->direct->memory,
		.codec = codec,
		.notices = results->direct->notices,
		.upstream = upstream,
		.method = "POST",
		.target = codec->free_target,
		.body = body,
		.timeout_us = FREE_TIMEOUT_US,
		.done = on_free_done,
		.userdata = call,
	});
	g_hash_table_add(results->calls, call);
	if (!call->fetch)
		finish_free_call(call);
}

/* The dispatcher counts the result memory, and calls for all entries at once.
 */
static void send_to_dispatcher(struct direct_results *results,
			       uint64_t dispatcher,
			       const struct pool_upstream *upstream,
			       const struct batch *batch)
{
	uint32_t count = batch->handles->len;

	for (uint32_t i = 0; i < count; i += HANDLES_PER_DATAGRAM) {
		uint32_t chunk = MIN(count - i, HANDLES_PER_DATAGRAM);
		g_autoptr(GPtrArray) handles = g_ptr_array_new();

		for (uint32_t j = i; j < i + chunk; j++)
			g_ptr_array_add(handles,
					g_ptr_array_index(batch->handles, j));
		direct_relay_free_results(results->direct->relay, dispatcher,
					  upstream->incarnation, handles,
					  batch->bytes * chunk / count);
	}
}

static gboolean on_batch_timer(gpointer userdata);

static struct batch *get_or_create_batch(struct direct_results *results,
					 GHashTable *batches, uint64_t producer)
{
	struct batch *batch = g_hash_table_lookup(batches, &producer);

	if (!results->batch_timer)
		results->batch_timer =
			lp_timer_add(BATCH_DELAY_MS, on_batch_timer, results);
	if (batch)
		return batch;
	batch = g_new0(struct batch, 1);
	batch->handles = g_ptr_array_new_with_free_func(g_free);
	batch->started_us = lp_now_us(results->direct->options.clock);
	g_hash_table_insert(batches, g_memdup2(&producer, sizeof(producer)),
			    batch);
	return batch;
}

/* Adds a batch to the next one, while the producer is in pushback or its
 * advertised rate allows no call. Drops results that it has dropped itself by
 * now. */
static void postpone(struct direct_results *results, uint64_t producer,
		     const struct batch *batch)
{
	int64_t now_us = lp_now_us(results->direct->options.clock);
	struct batch *next_batch;

	if (now_us - batch->started_us >= RESULT_TTL_US)
		return;
	next_batch =
		get_or_create_batch(results, results->call_batches, producer);
	next_batch->started_us = MIN(next_batch->started_us, batch->started_us);
	next_batch->bytes += batch->bytes;
	for (guint i = 0; i < batch->handles->len; i++)
		g_ptr_array_add(next_batch->handles,
				g_strdup(g_ptr_array_index(batch->handles, i)));
}

static void call_producer(struct direct_results *results,
			  struct pool_upstream *upstream,
			  const struct batch *batch)
{
	struct pool *pool = results->direct->pool;

	/* A draining upstream takes no more calls, and its results are lost
	 * when it terminates. */
	if (upstream->drain_notice)
		return;
	if (pool_has_pushback(pool, upstream) ||
	    pool_rate_limit_wait_us(pool, upstream)) {
		postpone(results, upstream->incarnation, batch);
		return;
	}
	if (upstream->rate_limit.advertised)
		pool_note_sent(pool, upstream);
	send_free(results, upstream, batch);
}

static void send_batches(struct direct_results *results, GHashTable *batches,
			 bool is_own)
{
	GHashTableIter iter;
	gpointer producer;
	gpointer batch;

	g_hash_table_iter_init(&iter, batches);
	while (g_hash_table_iter_next(&iter, &producer, &batch)) {
		struct direct *direct = results->direct;
		struct pool_upstream *upstream = pool_find_incarnation(
			direct->pool, *(uint64_t *)producer);
		uint64_t dispatcher;

		if (!upstream) /* its results are lost with it */
			continue;
		dispatcher = is_own ? direct_stages_dispatcher(direct->stages,
							       upstream)
				    : 0;
		if (dispatcher)
			send_to_dispatcher(results, dispatcher, upstream,
					   batch);
		else
			call_producer(results, upstream, batch);
	}
}

static gboolean on_batch_timer(gpointer userdata)
{
	struct direct_results *results = userdata;
	g_autoptr(GHashTable) own_batches = results->own_batches;
	g_autoptr(GHashTable) call_batches = results->call_batches;

	results->batch_timer = 0;
	results->own_batches = create_batches();
	results->call_batches = create_batches();
	send_batches(results, own_batches, true);
	send_batches(results, call_batches, false);
	return G_SOURCE_REMOVE;
}

void direct_results_free(struct direct_results *results, uint64_t producer,
			 char *handle, int64_t bytes)
{
	struct batch *batch =
		get_or_create_batch(results, results->own_batches, producer);

	g_ptr_array_add(batch->handles, handle);
	batch->bytes += bytes;
}

void direct_results_free_for_peer(struct direct_results *results,
				  uint64_t producer, GPtrArray *handles,
				  int64_t bytes)
{
	struct batch *batch =
		get_or_create_batch(results, results->call_batches, producer);

	for (guint i = 0; i < handles->len; i++)
		g_ptr_array_add(batch->handles,
				g_strdup(g_ptr_array_index(handles, i)));
	batch->bytes += bytes;
}

struct direct_results *direct_results_create(struct direct *direct)
{
	struct direct_results *results = g_new0(struct direct_results, 1);

	results->direct = direct;
	results->own_batches = create_batches();
	results->call_batches = create_batches();
	results->calls = g_hash_table_new(NULL, NULL);
	return results;
}

void direct_results_destroy(struct direct_results *results)
{
	g_autoptr(GList) calls = g_hash_table_get_keys(results->calls);

	for (GList *at = calls; at; at = at->next) {
		struct free_call *call = at->data;

		direct_fetch_cancel(call->fetch);
		finish_free_call(call);
	}
	if (results->batch_timer)
		g_source_remove(results->batch_timer);
	g_hash_table_unref(results->own_batches);
	g_hash_table_unref(results->call_batches);
	g_hash_table_unref(results->calls);
	g_free(results);
}
