/**
 * Selection among the upstreams that an entry calls directly.
 *
 * The pool keeps this entry's own estimates for each upstream: calls in flight,
 * prompt tokens whose prefill is pending, cached prefix blocks, latency and
 * error rate. pool_pick() selects the upstream with the lowest estimated cost.
 * The list of upstreams comes from the caller (pool_update()). Upstreams are
 * reference-counted: one that was removed from the list stays valid until its
 * last reference is released.
 *
 * Terms: an entry is a process of this system that takes callers' requests; an
 * engine is an upstream that runs prompts and caches their prefixes; a stage is
 * a service whose upstreams keep the results of their calls; a piece is one
 * unit of stage work, batched with others in a call. Times are in microseconds
 * of the pool's clock unless the name says otherwise.
 */
#ifndef POOL_H
#define POOL_H

#include "base/lp_clock.h"
#include "policy/allowed_regions.h"
#include "policy/closed_domains.h"
#include "policy/host_load.h"
#include "policy/rate_limit.h"
#include "policy/result_memory.h"
#include "policy/warmup.h"

#include <glib.h>
#include <stdbool.h>

struct pool;

/** Assumed prefill rate of an engine. Deviations of a particular engine are
 * captured by pool_upstream.slowness. */
#define POOL_PREFILL_TOKENS_PER_MS INT64_C(60)

/** An upstream as described by the list. */
struct pool_upstream_info {
	char *id; /**< stable across restarts */
	char *service;
	char *address; /**< "IP:PORT" */
	char *domain;
	uint32_t slots;
	bool draining;
	int64_t born_ms; /**< start time, upstream's wall clock; 0: unknown */
	int64_t cold_left_us; /**< remaining cold period; 0: warm */
	char *version;	      /**< of its software; NULL: unknown */
};

/** One incarnation of an upstream: policy/incarnations.h. */
struct pool_upstream {
	struct pool_upstream_info info;
	uint64_t hash; /**< of the id; ranks the upstream and assigns its shard,
			  stable across restarts */
	uint64_t incarnation; /**< of id and start time; identifies the
				 incarnation to other entries */
	uint64_t version_id;  /**< of service and software version, the same
				 at all entries; 0: unknown */
	bool listed;	      /**< in the current list */
	int64_t pushback_until_us; /**< no requests before this time */
	bool drain_notice;	   /**< received in an answer */
	bool domain_closed;	   /**< closed by operators */
	const char *region; /**< of its domain, interned; NULL: unknown */
	struct warmup warmup;
	struct rate_limit rate_limit;	/**< that it advertises */
	uint32_t in_flight;		/**< this entry's requests and calls */
	int64_t pending_prefill_tokens; /**< prompt tokens sent by this entry
					 whose prefill has not completed */
	int64_t ejected_until_us; /**< selected before this time only if no
				     other is available */
	uint32_t consecutive_failures;
	double error_rate; /**< fading mean of recent outcomes, 0 to 1 */
	double slowness; /**< fading mean of time taken / time expected, without
			    the effect of host_load */
	struct host_load host_load;	     /**< that it reports */
	int64_t busy_until_us;		     /**< with calls of other entries */
	struct result_memory *result_memory; /**< of a stage */
	int64_t result_memory_queried_us;    /**< last query; 0: never */
	int64_t result_memory_reported_us;   /**< last report; 0: never */
	int64_t prefix_cache_queried_us;     /**< last query; 0: never */
	/* private */
	uint32_t refs;
	GHashTable *cached_blocks; /* block id -> struct cached_block */
	int64_t cached_tokens;
	int64_t last_outcome_us; /* or last decay of the estimates */
};

/** One block of a prompt's prefix; blocks are ordered from its start. */
struct pool_prefix_block {
	uint64_t id;
	int64_t tokens;
};

/** How an engine gets the prefix cache for a prompt: part of it is copied from
 * another engine, the rest is computed by prefill. */
struct pool_cache_copy {
	struct pool_upstream *source; /**< borrowed; NULL: nothing is copied */
	int64_t copied_tokens;
	int64_t prefill_tokens;
};

/** Criteria of one selection. */
struct pool_pick_args {
	const char *service;
	const struct pool_prefix_block *blocks; /**< of the prompt, or NULL */
	uint32_t blocks_count;
	const char *allowed_regions;  /**< policy/allowed_regions.h */
	const char *preferred_domain; /**< where the inputs are, or NULL */
	int64_t fetch_bytes;  /**< inputs to fetch from preferred_domain */
	int64_t target_us;    /**< latency target of the first event; 0: none */
	uint32_t shard_count; /**< shards into which the service's upstreams are
				 divided */
	uint32_t shard; /**< the only shard considered; all are considered if
			   shard_count is 0 or 1 */
	const char *const *tried; /**< ids excluded from selection */
	uint32_t tried_count;
	uint64_t version_id; /**< of the only software version that may be
				selected; 0: any */
};

/** This entry's shares of the rate limits that the upstreams of a service
 * advertise: policy/rate_limit.h. */
struct pool_rate_limit_shares {
	uint32_t shard_count;  /**< into which the service's upstreams are
				  divided */
	uint64_t owned_shards; /**< bit set of the shards to which this entry
				  sends on behalf of all entries */
	struct rate_limit_share owned_share; /**< in owned shards */
	struct rate_limit_share other_share; /**< in other shards */
};

/** Outcome of a request or call. */
enum pool_outcome {
	POOL_SERVED,
	POOL_OVERLOADED,    /**< refused because of load, not executed */
	POOL_ERROR_ANSWER,  /**< error answer of the upstream itself */
	POOL_UNREACHABLE,   /**< connection failed or broke, or timeout */
	POOL_WRONG_PROCESS, /**< another process has the address */
	POOL_UNDETERMINED,  /**< cancelled by this entry; not recorded */
};

/** Called when an upstream has restarted; both incarnations are borrowed. */
typedef void (*pool_restarted_fn)(void *userdata,
				  const struct pool_upstream *before,
				  const struct pool_upstream *after);

struct pool *pool_create(const struct lp_clock *clock, const char *domain);
void pool_destroy(struct pool *pool);
/** Set the callback for restarts. It must not modify the pool. */
void pool_set_restart_callback(struct pool *pool, pool_restarted_fn restarted,
			       void *userdata);
/** Replace the list. Returns how many upstreams were added, removed, restarted
 * or changed. */
uint32_t pool_update(struct pool *pool,
		     const struct pool_upstream_info *entries, uint32_t count);
/** Listed upstreams of a service (struct pool_upstream), borrowed; or NULL. */
const GPtrArray *pool_service_upstreams(const struct pool *pool,
					const char *service);
/** Calls `fn` for each listed upstream. It must not change the pool. */
void pool_foreach(const struct pool *pool,
		  void (*fn)(void *userdata,
			     const struct pool_upstream *upstream),
		  void *userdata);
/** A listed upstream of a service that runs this software version, an eligible
 * one if there is any; or NULL. */
const struct pool_upstream *pool_find_version(const struct pool *pool,
					      const char *service,
					      uint64_t version_id);
struct pool_upstream *pool_find(const struct pool *pool, const char *id);
struct pool_upstream *pool_find_incarnation(const struct pool *pool,
					    uint64_t incarnation);
/**
 * Determine which incarnation answered a request sent to `upstream` at
 * `sent_us`. `born_ms` is the start time given in the answer; 0: none.
 * Returns NULL if that incarnation has terminated, and its results with it. An
 * incarnation newer than the listed one replaces it.
 */
struct pool_upstream *pool_attribute_answer(struct pool *pool,
					    struct pool_upstream *upstream,
					    int64_t born_ms, int64_t sent_us);
/** Whether the last list had an incarnation that seems to have terminated: the
 * same list must be applied again later, as the upstream's clock may have been
 * set back. */
bool pool_needs_reapply(const struct pool *pool);
/** Set the domains closed to new work; borrowed. To be called again after each
 * change of `closed_domains`. Returns for how many upstreams this changed. */
uint32_t pool_set_closed_domains(struct pool *pool,
				 const struct closed_domains *closed_domains);
/** Set the warm-up limits of a service's upstreams; copied. */
void pool_set_warmup(struct pool *pool, const char *service,
		     const struct warmup_limits *limits);
/** Set this entry's shares of a service's advertised rate limits; copied.
 * `service` NULL: default for services without a setting. */
void pool_set_rate_limit_shares(struct pool *pool, const char *service,
				const struct pool_rate_limit_shares *shares);
/** Record an advertised rate limit or its withdrawal. Returns whether this
 * changed the known limit, which is kept when the upstream leaves the list. */
bool pool_note_rate_limit(struct pool *pool, struct pool_upstream *upstream,
			  const struct rate_limit_report *report);
/** Listed upstreams that advertise a rate limit, or that gave a drain notice.
 * An array of borrowed struct pool_upstream, owned by the caller:
 * g_ptr_array_unref(). */
GPtrArray *pool_list_rate_limited(const struct pool *pool);
GPtrArray *pool_list_drain_notices(const struct pool *pool);
/** Time until the advertised rate limit permits the next request; 0: now. */
int64_t pool_rate_limit_wait_us(const struct pool *pool,
				const struct pool_upstream *upstream);
/** This entry's share of the advertised rate limit, in requests a second. Only
 * valid while a limit is advertised. */
double pool_rate_limit_per_s(const struct pool *pool,
			     const struct pool_upstream *upstream);
/**
 * Retry-After time for a request that no upstream can take now. If all eligible
 * upstreams are in pushback or at their rate limits, returns the time until one
 * of them may take a request, after those already scheduled. Otherwise 0.
 */
int64_t pool_retry_after_us(struct pool *pool,
			    const struct pool_pick_args *args);
/** Record that a request or call is sent now. */
void pool_note_sent(struct pool *pool, struct pool_upstream *upstream);
/** Record a drain notice. It excludes this incarnation from selection whatever
 * the list says, and is kept when the upstream leaves the list. Returns whether
 * the notice was new. */
bool pool_note_drain_notice(struct pool *pool, struct pool_upstream *upstream);
/** Record that the upstream rejected a request and asked for no further ones
 * for `pushback_us`. This is enforced even if no other upstream is available,
 * and is kept when the upstream leaves the list. */
void pool_note_pushback(struct pool *pool, struct pool_upstream *upstream,
			int64_t pushback_us);
bool pool_has_pushback(const struct pool *pool,
		       const struct pool_upstream *upstream);
/** Upstreams that are draining by the list, or were when they left it, stay so
 * until they start again: the list may be restored to what it was before. */
void pool_keep_draining(struct pool *pool);
/** Whether it is draining, by the list or by its drain notice. */
bool pool_is_draining(const struct pool_upstream *upstream);
/** Whether it is listed, not draining, and its domain is not closed. */
bool pool_is_eligible(const struct pool_upstream *upstream);
/** Whether the service has upstreams that are not draining, and each of them is
 * in a closed domain or outside the allowed regions. */
bool pool_service_is_closed(const struct pool *pool, const char *service,
			    const char *allowed_regions);
/** Set the region of a failure domain. To be called before the first list. */
void pool_set_region(struct pool *pool, const char *domain, const char *region);
/** The upstream that all entries prefer for prompts with this prefix, by
 * rendezvous hashing; or NULL. */
const struct pool_upstream *
pool_affinity_upstream(const struct pool *pool,
		       const struct pool_pick_args *args);

/**
 * Set the size and the transfer rate of prefix caches that engines of a service
 * copy from each other; 0: no copying.
 */
void pool_set_cache_copying(struct pool *pool, const char *service,
			    int64_t token_bytes, double bytes_per_us);
/** How this engine best gets the uncached blocks of a prompt: the engine to
 * copy from, if copying is faster than prefill. */
struct pool_cache_copy
pool_find_cache_copy(const struct pool *pool,
		     const struct pool_upstream *upstream,
		     const struct pool_pick_args *args);
/** Estimated time to copy the prefix cache of so many tokens. */
int64_t pool_cache_copy_us(const struct pool *pool, const char *service,
			   int64_t tokens);
/** Select the upstream with the lowest estimated cost, or NULL. Borrowed: see
 * pool_upstream_ref(). */
struct pool_upstream *pool_pick(struct pool *pool,
				const struct pool_pick_args *args);
/** Prompt tokens of these blocks that this upstream has not cached. */
int64_t pool_uncached_tokens(const struct pool_upstream *upstream,
			     const struct pool_prefix_block *blocks,
			     uint32_t count);
/** Record that the upstream has these blocks in its prefix cache, or will have
 * them after their prefill. If the total exceeds `capacity_tokens` (0:
 * unlimited), the least recently used blocks are dropped. */
void pool_note_cached_blocks(struct pool *pool, struct pool_upstream *upstream,
			     const struct pool_prefix_block *blocks,
			     uint32_t count, int64_t capacity_tokens);
/** Set the blocks that an engine reports to have cached. Other blocks are
 * dropped, except those whose prefill is assumed to be under way. */
void pool_set_cached_blocks(struct pool *pool, struct pool_upstream *upstream,
			    const struct pool_prefix_block *blocks,
			    uint32_t count);
/**
 * Update the estimates by an outcome. `took_us` and `expected_us` are the
 * actual and the expected time to an answer; 0: unknown. For a failure,
 * `took_us` is the time until it was detected: slower detection leads to longer
 * ejection.
 */
void pool_record_outcome(struct pool *pool, struct pool_upstream *upstream,
			 enum pool_outcome outcome, int64_t took_us,
			 int64_t expected_us);
/** Record that an upstream which counted as unreachable has sent something: it
 * is not ejected any longer. */
void pool_note_recovered(struct pool *pool, struct pool_upstream *upstream);
/** Record the load that an upstream reports for its host: how long work takes
 * there, in per cent of the usual time. */
void pool_note_host_load(struct pool *pool, struct pool_upstream *upstream,
			 int32_t percent);
/** Expected time of work at this upstream, as a multiple of the time expected
 * of the service: the learnt slowness, and the present load of its host. */
double pool_upstream_time_factor(const struct pool *pool,
				 const struct pool_upstream *upstream);
/** Record until when calls of other entries keep the upstream busy; a time in
 * the past: it is idle. */
void pool_note_busy(struct pool *pool, struct pool_upstream *upstream,
		    int64_t until_us);
/** Record that other entries could not reach the upstream. Ignored if this
 * entry had an answer recently. */
void pool_note_unreachable(struct pool *pool, struct pool_upstream *upstream,
			   int64_t ejection_us);
/** Whether it may get a request now and is not ejected. */
bool pool_is_available(const struct pool *pool,
		       const struct pool_upstream *upstream);

struct pool_upstream *pool_upstream_ref(struct pool_upstream *upstream);
void pool_upstream_unref(struct pool_upstream *upstream);

#endif
