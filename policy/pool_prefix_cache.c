/** Prefix caches of engines, and copies between them. */
#include "policy/pool_private.h"

/* Cost of a copied prefix cache, as time: a token of a typical model costs
 * about a fifth of the cost of repeating its prefill. */
#define CACHE_COPY_COST_BYTES_PER_US 8000
/* Time to request and start a copy. */
#define CACHE_COPY_SETUP_US (5 * LP_US_PER_MS)

struct cached_block {
	int64_t tokens;
	int64_t used_us;
	int64_t prefilled_us; /* estimated end of its prefill */
};

/* ---- prefix caches ---- */

int64_t pool_uncached_tokens(const struct pool_upstream *upstream,
			     const struct pool_prefix_block *blocks,
			     uint32_t count)
{
	int64_t uncached = 0;

	for (uint32_t i = 0; i < count; i++)
		/* A block is usable only if all before it are cached. */
		if (uncached || !g_hash_table_contains(upstream->cached_blocks,
						       &blocks[i].id))
			uncached += blocks[i].tokens;
	return uncached;
}

/* Estimated time until the prefill of a prompt that is sent now completes. */
static int64_t prefill_time_us(const struct pool_upstream *upstream,
			       const struct pool_prefix_block *blocks,
			       uint32_t count)
{
	int64_t tokens = upstream->pending_prefill_tokens +
			 pool_uncached_tokens(upstream, blocks, count);

	return tokens * LP_US_PER_MS / POOL_PREFILL_TOKENS_PER_MS;
}

/* Tokens at the start of a prompt whose prefill has completed at an engine. */
static int64_t prefilled_prefix_tokens(const struct pool_upstream *upstream,
				       const struct pool_prefix_block *blocks,
				       uint32_t count, int64_t now_us)
{
	int64_t tokens = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct cached_block *block = g_hash_table_lookup(
			upstream->cached_blocks, &blocks[i].id);

		if (!block || block->prefilled_us > now_us)
			break;
		tokens += block->tokens;
	}
	return tokens;
}

/* ---- prefix caches copied between engines ---- */

void pool_set_cache_copying(struct pool *pool, const char *service,
			    int64_t token_bytes, double bytes_per_us)
{
	const struct cache_copying copying = { token_bytes, bytes_per_us };

	if (token_bytes > 0 && bytes_per_us > 0)
		g_hash_table_replace(pool->cache_copying, g_strdup(service),
				     g_memdup2(&copying, sizeof(copying)));
	else
		g_hash_table_remove(pool->cache_copying, service);
}

static const struct cache_copying *cache_copying_of(const struct pool *pool,
						    const char *service)
{
	return g_hash_table_lookup(pool->cache_copying, service);
}

/* `copying` NULL: the service does not copy; then `tokens` is 0. */
int64_t pool_copy_time_us(const struct cache_copying *copying, int64_t tokens)
{
	if (!copying || !tokens)
		return 0;
	return CACHE_COPY_SETUP_US +
	       (int64_t)((double)(tokens * copying->token_bytes) /
			 copying->bytes_per_us);
}

int64_t pool_cache_copy_us(const struct pool *pool, const char *service,
			   int64_t tokens)
{
	return pool_copy_time_us(cache_copying_of(pool, service), tokens);
}

/* Cost of a copy, as time. */
int64_t pool_copy_cost_us(const struct cache_copying *copying, int64_t tokens)
{
	return copying ? tokens * copying->token_bytes /
				 CACHE_COPY_COST_BYTES_PER_US
		       : 0;
}

static int64_t total_tokens(const struct pool_prefix_block *blocks,
			    uint32_t count)
{
	int64_t tokens = 0;

	for (uint32_t i = 0; i < count; i++)
		tokens += blocks[i].tokens;
	return tokens;
}

/* NULL: no engine of this version has a part of the prompt. */
static const struct copy_source *find_source(const struct copy_sources *sources,
					     uint64_t version_id)
{
	for (uint32_t i = 0; i < sources->count; i++)
		if (sources->versions[i].version_id == version_id)
			return &sources->versions[i];
	return NULL;
}

/* Keeps the engine with the longest prefix of each version. */
static void add_source(struct copy_sources *sources,
		       struct pool_upstream *upstream, int64_t tokens)
{
	const struct copy_source added = { upstream->version_id, upstream,
					   tokens };
	uint32_t at = 0;

	while (at < sources->count &&
	       sources->versions[at].version_id != added.version_id)
		at++;
	if (at == COPY_VERSIONS_MAX || tokens <= 0)
		return;
	if (at == sources->count)
		sources->count++;
	else if (tokens <= sources->versions[at].prefilled_tokens)
		return;
	sources->versions[at] = added;
}

/* The last block is the request's own: a prompt of one block shares nothing. */
struct copy_sources pool_find_copy_sources(const struct pool *pool,
					   const GPtrArray *list,
					   const struct pool_pick_args *args)
{
	struct copy_sources sources = {
		.copying = args->blocks_count > 1
				   ? cache_copying_of(pool, args->service)
				   : NULL,
		.prompt_tokens = total_tokens(args->blocks, args->blocks_count),
	};
	int64_t now_us = lp_now_us(pool->clock);

	for (guint i = 0; sources.copying && i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);

		if (upstream->consecutive_failures || !upstream->version_id ||
		    now_us < upstream->ejected_until_us ||
		    !allowed_regions_contain(args->allowed_regions,
					     upstream->region))
			continue;
		add_source(&sources, upstream,
			   prefilled_prefix_tokens(upstream, args->blocks,
						   args->blocks_count, now_us));
	}
	return sources;
}

struct pool_cache_copy pool_plan_copy(const struct copy_sources *sources,
				      const struct pool_upstream *upstream,
				      const struct pool_pick_args *args)
{
	int64_t uncached = pool_uncached_tokens(upstream, args->blocks,
						args->blocks_count);
	const struct copy_source *source =
		find_source(sources, upstream->version_id);
	const struct pool_cache_copy none = { .prefill_tokens = uncached };
	int64_t tokens;

	if (!source || source->upstream == upstream)
		return none;
	tokens = source->prefilled_tokens - (sources->prompt_tokens - uncached);
	if (tokens <= 0 ||
	    pool_copy_time_us(sources->copying, tokens) >=
		    tokens * LP_US_PER_MS / POOL_PREFILL_TOKENS_PER_MS)
		return none;
	return (struct pool_cache_copy){ source->upstream, tokens,
					 uncached - tokens };
}

struct pool_cache_copy
pool_find_cache_copy(const struct pool *pool,
		     const struct pool_upstream *upstream,
		     const struct pool_pick_args *args)
{
	static const GPtrArray empty;
	const GPtrArray *list = pool_service_upstreams(pool, args->service);
	struct copy_sources sources =
		pool_find_copy_sources(pool, list ? list : &empty, args);

	return pool_plan_copy(&sources, upstream, args);
}

static void drop_least_recently_used(struct pool_upstream *upstream)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	const int64_t *oldest = NULL;
	int64_t oldest_us = G_MAXINT64;

	g_hash_table_iter_init(&iter, upstream->cached_blocks);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct cached_block *block = value;

		if (block->used_us < oldest_us) {
			oldest = key;
			oldest_us = block->used_us;
		}
	}
	if (!oldest)
		return;
	upstream->cached_tokens -= ((struct cached_block *)g_hash_table_lookup(
					    upstream->cached_blocks, oldest))
					   ->tokens;
	g_hash_table_remove(upstream->cached_blocks, oldest);
}

void pool_note_cached_blocks(struct pool *pool, struct pool_upstream *upstream,
			     const struct pool_prefix_block *blocks,
			     uint32_t count, int64_t capacity_tokens)
{
	int64_t now_us = lp_now_us(pool->clock);
	int64_t prefilled_us =
		now_us + prefill_time_us(upstream, blocks, count);

	for (uint32_t i = 0; i < count; i++) {
		struct cached_block *block = g_hash_table_lookup(
			upstream->cached_blocks, &blocks[i].id);

		if (!block) {
			block = g_new0(struct cached_block, 1);
			block->tokens = blocks[i].tokens;
			block->prefilled_us = prefilled_us;
			upstream->cached_tokens += block->tokens;
			g_hash_table_insert(
				upstream->cached_blocks,
				g_memdup2(&blocks[i].id, sizeof(blocks[i].id)),
				block);
		}
		block->used_us = now_us;
	}
	while (capacity_tokens && upstream->cached_tokens > capacity_tokens &&
	       g_hash_table_size(upstream->cached_blocks))
		drop_least_recently_used(upstream);
}

static gboolean is_prefilled(gpointer block_id, gpointer value,
			     gpointer userdata)
{
	const int64_t *now_us = userdata;

	return ((const struct cached_block *)value)->prefilled_us <= *now_us;
}

void pool_set_cached_blocks(struct pool *pool, struct pool_upstream *upstream,
			    const struct pool_prefix_block *blocks,
			    uint32_t count)
{
	int64_t now_us = lp_now_us(pool->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_foreach_remove(upstream->cached_blocks, is_prefilled,
				    &now_us);
	for (uint32_t i = 0; i < count; i++) {
		struct cached_block block = { blocks[i].tokens, now_us,
					      now_us };

		if (!g_hash_table_contains(upstream->cached_blocks,
					   &blocks[i].id))
			g_hash_table_insert(
				upstream->cached_blocks,
				g_memdup2(&blocks[i].id, sizeof(blocks[i].id)),
				g_memdup2(&block, sizeof(block)));
	}
	upstream->cached_tokens = 0;
	g_hash_table_iter_init(&iter, upstream->cached_blocks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		upstream->cached_tokens +=
			((const struct cached_block *)value)->tokens;
}
