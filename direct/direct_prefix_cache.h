/**
 * Queries engines for the contents of their prefix caches when an entry becomes
 * the placer of their service.
 *
 * A placer knows cached prefixes from the prompts it has placed. A placer that
 * has just started, or has just taken over, knows none: prompts would be placed
 * at engines that have to read them again, although others have them cached. It
 * therefore queries each engine once. A query delays the work of an engine a
 * little, and its answer has some KB, so an engine is not queried again for a
 * while, and only by placers.
 */
#ifndef DIRECT_PREFIX_CACHE_H
#define DIRECT_PREFIX_CACHE_H

#include "base/lp_counter.h"
#include "base/lp_event.h"
#include "direct/direct_codec.h"
#include "direct/direct_notices.h"
#include "http/http_memory.h"
#include "policy/pool.h"

struct direct_prefix_cache;

struct direct_prefix_cache_options {
	const struct lp_clock *clock;
	struct lp_event_log *log;
	struct lp_counters *counters;
	struct http_memory *memory; /**< counts the answers */
	const struct direct_codec *codec;
	struct pool *pool;
	struct direct_notices *notices;
};

struct direct_prefix_cache *
direct_prefix_cache_create(const struct direct_prefix_cache_options *options);
/** Cancels queries in progress. To be called before the pool is destroyed. */
void direct_prefix_cache_destroy(struct direct_prefix_cache *cache);
/** Query all usable engines of a service that have not been queried lately. */
void direct_prefix_cache_query(struct direct_prefix_cache *cache,
			       const char *service);

#endif
