/**
 * What engines have in memory, asked of them by an entry that begins to place
 * prompts there.
 *
 * A placer knows prefixes by the prompts it has placed. One that has just
 * started, or taken over, knows none: it would have prompts read again that
 * engines still hold. So it asks each engine once. The question delays an
 * engine's work a little and answers are some KB, so an engine is not asked
 * again for a while, and not by entries that do not place.
 */
#ifndef DIRECT_PREFIX_CACHE_H
#define DIRECT_PREFIX_CACHE_H

#include "base/lp_event.h"
#include "direct/direct_codec.h"
#include "direct/direct_notices.h"
#include "policy/pool.h"

struct direct_prefix_cache;

struct direct_prefix_cache_options {
	const struct lp_clock *clock;
	struct lp_event_log *log;
	const struct direct_codec *codec;
	struct pool *pool;
	struct direct_notices *notices;
};

struct direct_prefix_cache *
direct_prefix_cache_create(const struct direct_prefix_cache_options *options);
/** Questions under way end; before the pool does. */
void direct_prefix_cache_destroy(struct direct_prefix_cache *cache);
/** Ask all engines of a service that have not been asked lately. */
void direct_prefix_cache_query(struct direct_prefix_cache *cache,
			       const char *service);

#endif
