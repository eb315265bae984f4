/** Results of stages that nobody needs any more: their makers are told. */
#include "direct/direct_private.h"

#include "base/lp_timer.h"
#include "direct/direct_relay.h"

/* Results are gathered this long, so that one call names many; once here and
 * once at the dispatcher. Room is scarce: short against a call of a stage. */
#define GATHER_MS 20
/* Results named to a dispatcher in one datagram. */
#define HANDLES_MAX 64
/* An upstream drops what nobody names by itself after a few seconds. */
#define FREE_TIMEOUT_US (2 * LP_US_PER_S)
#define DROPPED_US (4 * LP_US_PER_S)

/* Results of one maker that are given up next. */
struct gathered {
	GPtrArray *handles;
	int64_t bytes;
	int64_t since_us;
};

struct direct_results {
	struct direct *direct;
	GHashTable *gathered; /* maker's life -> struct gathered: our own */
	GHashTable *taken;    /* likewise: of peers, to be called here */
	GHashTable *calls;    /* of struct free_call */
	guint timer;
};

struct free_call {
	struct direct_results *results;
	uint64_t maker;
	GPtrArray *handles;
	int64_t each_bytes;
	int64_t started_us;
	struct direct_fetch *fetch;
};

static void free_gathered(gpointer data)
{
	struct gathered *gathered = data;

	g_ptr_array_unref(gathered->handles);
	g_free(gathered);
}

static GHashTable *create_frees(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				     free_gathered);
}

/* The maker has the room again, or will drop the results by itself. */
static void end_free_call(struct free_call *call)
{
	struct pool *pool = call->results->direct->pool;
	struct pool_upstream *upstream = pool_find_life(pool, call->maker);

	for (guint i = 0; upstream && i < call->handles->len; i++)
		room_given_up(upstream->room,
			      g_ptr_array_index(call->handles, i),
			      call->each_bytes);
	g_hash_table_remove(call->results->calls, call);
	g_ptr_array_unref(call->handles);
	g_free(call);
}

static void log_free(const struct free_call *call, uint32_t status)
{
	struct direct *direct = call->results->direct;
	const struct pool_upstream *maker =
		pool_find_life(direct->pool, call->maker);

	if (!lp_event_begin(direct->options.log, "results_given_up", NULL))
		return;
	lp_event_text(direct->options.log, "upstream",
		      maker ? maker->entry.id : "");
	lp_event_int(direct->options.log, "results", call->handles->len);
	lp_event_int(direct->options.log, "status", status);
	lp_event_int(direct->options.log, "took_us",
		     lp_now_us(direct->options.clock) - call->started_us);
	lp_event_end(direct->options.log);
}

/* Lost or not: an upstream drops what nobody names after a few seconds. */
static void on_free_done(void *userdata, const struct http_fetch_answer *answer,
			 const struct direct_reply *reply)
{
	struct free_call *call = userdata;

	*lp_counter(call->results->direct->options.counters,
		    "linepier_result_frees_total",
		    answer->error ? "outcome=\"failed\""
				  : "outcome=\"done\"") += 1;
	log_free(call, answer->status);
	end_free_call(call);
}

static void send_free(struct direct_results *results,
		      struct pool_upstream *upstream,
		      const struct gathered *gathered)
{
	const struct direct_codec *codec = results->direct->options.codec;
	g_autofree char *body = NULL;
	struct free_call *call;

	body = codec->write_free(gathered->handles);
	call = g_new0(struct free_call, 1);
	call->results = results;
	call->maker = upstream->life;
	call->handles = g_ptr_array_ref(gathered->handles);
	call->each_bytes = gathered->bytes / gathered->handles->len;
	call->started_us = lp_now_us(results->direct->options.clock);
	call->fetch = direct_fetch_start(&(struct direct_fetch_options){
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
		end_free_call(call);
}

/* The dispatcher counts the room, and calls for all entries at once. */
static void send_to_dispatcher(struct direct_results *results,
			       uint64_t dispatcher,
			       const struct pool_upstream *upstream,
			       const struct gathered *gathered)
{
	uint32_t count = gathered->handles->len;

	for (uint32_t i = 0; i < count; i += HANDLES_MAX) {
		uint32_t part = MIN(count - i, HANDLES_MAX);
		g_autoptr(GPtrArray) handles = g_ptr_array_new();

		for (uint32_t j = i; j < i + part; j++)
			g_ptr_array_add(handles, g_ptr_array_index(
							 gathered->handles, j));
		direct_relay_free_results(results->direct->relay, dispatcher,
					  upstream->life, handles,
					  gathered->bytes * part / count);
	}
}

static gboolean on_free_gathered(gpointer userdata);

static struct gathered *gathered_of(struct direct_results *results,
				    GHashTable *all, uint64_t maker)
{
	struct gathered *gathered = g_hash_table_lookup(all, &maker);

	if (!results->timer)
		results->timer =
			lp_timer_add(GATHER_MS, on_free_gathered, results);
	if (gathered)
		return gathered;
	gathered = g_new0(struct gathered, 1);
	gathered->handles = g_ptr_array_new_with_free_func(g_free);
	gathered->since_us = lp_now_us(results->direct->options.clock);
	g_hash_table_insert(all, g_memdup2(&maker, sizeof(maker)), gathered);
	return gathered;
}

/* Until the maker's rest is over and its limit lets us call; together with what
 * comes meanwhile. */
static void put_off(struct direct_results *results, uint64_t maker,
		    const struct gathered *gathered)
{
	int64_t now_us = lp_now_us(results->direct->options.clock);
	struct gathered *waiting;

	if (now_us - gathered->since_us >= DROPPED_US)
		return;
	waiting = gathered_of(results, results->taken, maker);
	waiting->since_us = MIN(waiting->since_us, gathered->since_us);
	waiting->bytes += gathered->bytes;
	for (guint i = 0; i < gathered->handles->len; i++)
		g_ptr_array_add(
			waiting->handles,
			g_strdup(g_ptr_array_index(gathered->handles, i)));
}

static void call_maker(struct direct_results *results,
		       struct pool_upstream *upstream,
		       const struct gathered *gathered)
{
	struct pool *pool = results->direct->pool;

	/* It takes no more calls of ours, and takes its results with it. */
	if (upstream->said_leaving)
		return;
	if (pool_is_resting(pool, upstream) ||
	    pool_limit_wait_us(pool, upstream)) {
		put_off(results, upstream->life, gathered);
		return;
	}
	if (upstream->limit.named)
		pool_sent(pool, upstream);
	send_free(results, upstream, gathered);
}

static void send_all(struct direct_results *results, GHashTable *all,
		     bool are_ours)
{
	GHashTableIter iter;
	gpointer maker;
	gpointer gathered;

	g_hash_table_iter_init(&iter, all);
	while (g_hash_table_iter_next(&iter, &maker, &gathered)) {
		struct direct *direct = results->direct;
		struct pool_upstream *upstream =
			pool_find_life(direct->pool, *(uint64_t *)maker);
		uint64_t dispatcher;

		if (!upstream) /* its results went with it */
			continue;
		dispatcher = are_ours ? direct_stages_dispatcher(direct->stages,
								 upstream)
				      : 0;
		if (dispatcher)
			send_to_dispatcher(results, dispatcher, upstream,
					   gathered);
		else
			call_maker(results, upstream, gathered);
	}
}

static gboolean on_free_gathered(gpointer userdata)
{
	struct direct_results *results = userdata;
	g_autoptr(GHashTable) gathered = results->gathered;
	g_autoptr(GHashTable) taken = results->taken;

	results->timer = 0;
	results->gathered = create_frees();
	results->taken = create_frees();
	send_all(results, gathered, true);
	send_all(results, taken, false);
	return G_SOURCE_REMOVE;
}

void direct_results_free(struct direct_results *results, uint64_t maker,
			 char *handle, int64_t bytes)
{
	struct gathered *gathered =
		gathered_of(results, results->gathered, maker);

	g_ptr_array_add(gathered->handles, handle);
	gathered->bytes += bytes;
}

void direct_results_free_for_peer(struct direct_results *results,
				  uint64_t maker, GPtrArray *handles,
				  int64_t bytes)
{
	struct gathered *gathered = gathered_of(results, results->taken, maker);

	for (guint i = 0; i < handles->len; i++)
		g_ptr_array_add(gathered->handles,
				g_strdup(g_ptr_array_index(handles, i)));
	gathered->bytes += bytes;
}

struct direct_results *direct_results_create(struct direct *direct)
{
	struct direct_results *results = g_new0(struct direct_results, 1);

	results->direct = direct;
	results->gathered = create_frees();
	results->taken = create_frees();
	results->calls = g_hash_table_new(NULL, NULL);
	return results;
}

void direct_results_destroy(struct direct_results *results)
{
	g_autoptr(GList) calls = g_hash_table_get_keys(results->calls);

	for (GList *at = calls; at; at = at->next) {
		struct free_call *call = at->data;

		direct_fetch_cancel(call->fetch);
		end_free_call(call);
	}
	if (results->timer)
		g_source_remove(results->timer);
	g_hash_table_unref(results->gathered);
	g_hash_table_unref(results->taken);
	g_hash_table_unref(results->calls);
	g_free(results);
}
