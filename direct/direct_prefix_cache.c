#include "direct/direct_prefix_cache.h"

#include "direct/direct_fetch.h"

/* Contents that are not reported by then are known from placed prompts. */
#define ANSWER_TIMEOUT_US (1 * LP_US_PER_S)
/* Shortest interval between two queries to an engine. */
#define QUERY_INTERVAL_US (10 * LP_US_PER_S)

struct query {
	struct direct_prefix_cache *cache;
	struct pool_upstream *engine; /* held */
	int64_t started_us;
	struct direct_fetch *fetch;
};

struct direct_prefix_cache {
	struct direct_prefix_cache_options options;
	GHashTable *queries; /* of struct query, owned */
};

static int64_t now_us(const struct direct_prefix_cache *cache)
{
	return lp_now_us(cache->options.clock);
}

static void log_answer(const struct query *query, const char *outcome,
		       uint32_t blocks)
{
	const struct direct_prefix_cache *cache = query->cache;
	struct lp_event_log *log = cache->options.log;

	if (!lp_event_begin(log, "memory_asked", NULL))
		return;
	lp_event_text(log, "service", query->engine->info.service);
	lp_event_text(log, "upstream", query->engine->info.id);
	lp_event_text(log, "outcome", outcome);
	lp_event_int(log, "parts", blocks);
	lp_event_int(log, "took_us", now_us(cache) - query->started_us);
	lp_event_end(log);
}

static void free_query(gpointer data)
{
	struct query *query = data;

	if (query->fetch)
		direct_fetch_cancel(query->fetch);
	pool_upstream_unref(query->engine);
	g_free(query);
}

/* Returns whether the answer is valid. It is discarded if the queried
 * incarnation is no longer in the pool. */
static bool read_answer(const struct query *query,
			const struct http_fetch_answer *answer, GArray *blocks)
{
	const struct direct_prefix_cache *cache = query->cache;

	return !answer->error && answer->status == 200 &&
	       cache->options.codec->read_prefix_cache(answer->body,
						       answer->size, blocks) &&
	       pool_find_incarnation(cache->options.pool,
				     query->engine->incarnation) ==
		       query->engine;
}

static void on_answer(void *userdata, const struct http_fetch_answer *answer,
		      const struct direct_reply *reply)
{
	struct query *query = userdata;
	struct direct_prefix_cache *cache = query->cache;
	g_autoptr(GArray) blocks =
		g_array_new(FALSE, FALSE, sizeof(struct pool_prefix_block));
	bool accepted = read_answer(query, answer, blocks);

	query->fetch = NULL;
	if (accepted)
		pool_set_cached_blocks(
			cache->options.pool, query->engine,
			(const struct pool_prefix_block *)blocks->data,
			blocks->len);
	log_answer(query, accepted ? "told" : "not_told", blocks->len);
	g_hash_table_remove(cache->queries, query);
}

static void query_engine(struct direct_prefix_cache *cache,
			 struct pool_upstream *engine)
{
	const struct direct_prefix_cache_options *options = &cache->options;
	struct query *query = g_new0(struct query, 1);

	engine->prefix_cache_queried_us = now_us(cache);
	query->cache = cache;
	query->engine = pool_upstream_ref(engine);
	query->started_us = now_us(cache);
	query->fetch = direct_fetch_start(&(struct direct_fetch_options){
		.log = options->log,
		.counters = options->counters,
		.memory = options->memory,
		.codec = options->codec,
		.notices = options->notices,
		.upstream = engine,
		.method = "GET",
		.target = options->codec->prefix_cache_target,
		.answer_bytes_max = HTTP_FETCH_BYTES_MAX,
		.timeout_us = ANSWER_TIMEOUT_US,
		.done = on_answer,
		.userdata = query,
	});
	if (query->fetch)
		g_hash_table_add(cache->queries, query);
	else
		free_query(query);
}

static bool should_query(const struct direct_prefix_cache *cache,
			 const struct pool_upstream *engine)
{
	/* The capacity of an engine with an advertised rate limit is left to
	 * callers. */
	return pool_is_available(cache->options.pool, engine) &&
	       !engine->rate_limit.advertised &&
	       (!engine->prefix_cache_queried_us ||
		now_us(cache) - engine->prefix_cache_queried_us >=
			QUERY_INTERVAL_US);
}

void direct_prefix_cache_query(struct direct_prefix_cache *cache,
			       const char *service)
{
	const GPtrArray *engines =
		pool_service_upstreams(cache->options.pool, service);

	for (guint i = 0; engines && i < engines->len; i++) {
		struct pool_upstream *engine = g_ptr_array_index(engines, i);

		if (should_query(cache, engine))
			query_engine(cache, engine);
	}
}

struct direct_prefix_cache *
direct_prefix_cache_create(const struct direct_prefix_cache_options *options)
{
	struct direct_prefix_cache *cache =
		g_new0(struct direct_prefix_cache, 1);

	cache->options = *options;
	cache->queries = g_hash_table_new_full(NULL, NULL, free_query, NULL);
	return cache;
}

void direct_prefix_cache_destroy(struct direct_prefix_cache *cache)
{
	if (!cache)
		return;
	g_hash_table_unref(cache->queries);
	g_free(cache);
}
