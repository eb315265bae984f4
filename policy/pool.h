/**
 * Upstreams that an entry calls directly: what is believed of each, and which
 * one gets a request.
 *
 * A belief is this entry's own: calls in flight, prompt tokens not read yet,
 * parts of prompts sent there, how long answers took, how often they failed.
 * The list of upstreams comes from outside. An upstream that has left the list
 * stays valid for as long as someone holds it.
 */
#ifndef POOL_H
#define POOL_H

#include "base/lp_clock.h"
#include "policy/closures.h"
#include "policy/homes.h"
#include "policy/rate_limit.h"
#include "policy/room.h"
#include "policy/warmup.h"

#include <glib.h>
#include <stdbool.h>

struct pool;

/** Prompt tokens that an engine reads in a millisecond: a start value, what an
 * engine really does shows in its slowness. */
#define POOL_PREFILL_TOKENS_PER_MS INT64_C(60)

/** What the list says of an upstream. */
struct pool_upstream_info {
	char *id; /**< kept when it starts again */
	char *service;
	char *address; /**< "IP:PORT" */
	char *domain;
	uint32_t slots;
	bool draining;
	int64_t born_ms;      /**< wall clock at its start; 0: not said */
	int64_t cold_left_us; /**< cold for so long yet, by the list; 0: it is
				 not */
};

/** One life of an upstream: lives.h. */
struct pool_upstream {
	struct pool_upstream_info info;
	uint64_t hash; /**< of its id: its place among upstreams, which a new
			  life keeps */
	uint64_t incarnation; /**< of its id and start: names it to others */
	bool listed;
	int64_t pushback_until_us; /**< it wants nothing of us before */
	bool drain_notice;	   /**< it said in an answer that it leaves */
	bool domain_closed;	   /**< operators have closed its domain */
	const char *region; /**< of its domain; NULL: not known. Interned. */
	struct warmup warmup;
	struct rate_limit rate_limit;	/**< that it has named */
	uint32_t in_flight;		/**< our requests or calls there */
	int64_t pending_prefill_tokens; /**< prompt tokens we sent, not read yet
					 */
	int64_t ejected_until_us; /**< gets nothing before, if others can */
	uint32_t consecutive_failures; /**< in a row */
	double error_rate;	       /**< of late answers, 0 to 1 */
	double slowness;	    /**< time taken / time expected, fading */
	int64_t busy_until_us;	    /**< with calls of others */
	struct room *result_memory; /**< for results of stages */
	int64_t result_memory_queried_us; /**< when it was asked of its room; 0:
					     never */
	int64_t result_memory_reported_us; /**< when it told of it; 0: never */
	int64_t prefix_cache_queried_us;   /**< when it was asked of its memory;
					    * 0: never
					    */
	/* private */
	uint32_t refs;
	GHashTable *cached_blocks; /* part id -> struct part */
	int64_t cached_tokens;
	int64_t last_outcome_us; /* an answer last */
};

/** One part of a prompt, in the order in which it is read. */
struct pool_prefix_block {
	uint64_t id;
	int64_t tokens;
};

/** What an engine does for a prompt's memory: copies some, reads the rest. */
struct pool_cache_copy {
	struct pool_upstream *source; /**< NULL: none is copied; not held */
	int64_t copied_tokens;	      /**< that are copied */
	int64_t prefill_tokens;	      /**< that are read */
};

struct pool_pick_args {
	const char *service;
	const struct pool_prefix_block *blocks; /**< of the prompt, or NULL */
	uint32_t blocks_count;
	const char *allowed_regions;  /**< regions that may have it: homes.h */
	const char *preferred_domain; /**< near what the upstream has to fetch,
					 or NULL */
	int64_t fetch_bytes;  /**< that it has to fetch from that domain */
	int64_t target_us;    /**< the first event is on time within this; 0: no
				 matter */
	uint32_t shard_count; /**< of so many shares of the service's upstreams
			       */
	uint32_t shard;	      /**< only this one counts; 0 or 1 share: all */
	const char *const *tried; /**< ids that are not to be chosen */
	uint32_t tried_count;
};

/** Our shares of the limits that a service's upstreams name: rate_limit.h. */
struct pool_rate_limit_shares {
	uint32_t shard_count;  /**< of the service's upstreams */
	uint64_t owned_shards; /**< bits of those that we send to for all */
	struct rate_limit_share owned_share; /**< of a limit there ... */
	struct rate_limit_share other_share; /**< ... and elsewhere */
};

/** What became of something sent. */
enum pool_outcome {
	POOL_SERVED,
	POOL_OVERLOADED,    /**< refused for load, not run */
	POOL_ERROR_ANSWER,  /**< its own error answer */
	POOL_UNREACHABLE,   /**< no connection, cut, or no answer in time */
	POOL_WRONG_PROCESS, /**< another process has the address */
	POOL_UNDETERMINED,  /**< we ended it; nothing is learnt */
};

/** An upstream has started again; both lives are borrowed. */
typedef void (*pool_restarted_fn)(void *userdata,
				  const struct pool_upstream *before,
				  const struct pool_upstream *after);

struct pool *pool_create(const struct lp_clock *clock, const char *domain);
void pool_destroy(struct pool *pool);
/** Hear of lives that end; nothing of the pool may be changed meanwhile. */
void pool_set_restart_callback(struct pool *pool, pool_restarted_fn restarted,
			       void *userdata);
/** Replace the list. Returns how many upstreams came, left, started again or
 * changed. */
uint32_t pool_update(struct pool *pool,
		     const struct pool_upstream_info *entries, uint32_t count);
/** Upstreams of a service in the list: of struct pool_upstream; or NULL. */
const GPtrArray *pool_service_upstreams(const struct pool *pool,
					const char *service);
struct pool_upstream *pool_find(const struct pool *pool, const char *id);
struct pool_upstream *pool_find_incarnation(const struct pool *pool,
					    uint64_t life);
/**
 * What we asked of this upstream at `asked_us` was answered by the one that
 * started then (0: it did not say). Returns that life, or NULL: it has ended,
 * and what it made with it. A life that is newer than the list takes its place.
 */
struct pool_upstream *pool_attribute_answer(struct pool *pool,
					    struct pool_upstream *upstream,
					    int64_t born_ms, int64_t asked_us);
/** The list names a life that seems to have ended: the same list may have to
 * be taken again. */
bool pool_needs_reapply(const struct pool *pool);
/** Domains that are closed to new work: borrowed, and looked at again with each
 * call. Returns how many upstreams were closed or opened by it. */
uint32_t pool_set_closed_domains(struct pool *pool,
				 const struct closures *closures);
/** Bounds of a service's upstreams while they are cold; copied. */
void pool_set_warmup(struct pool *pool, const char *service,
		     const struct warmup_limits *limits);
/** Our shares of the limits of a service's upstreams; copied. `service` NULL:
 * of all that are not set. */
void pool_set_rate_limit_shares(struct pool *pool, const char *service,
				const struct pool_rate_limit_shares *share);
/** An answer said this of an upstream's limit. Returns whether it changes what
 * is known, which outlives the upstream's entry in the list. */
bool pool_note_rate_limit(struct pool *pool, struct pool_upstream *upstream,
			  const struct rate_limit_word *word);
/** Listed upstreams that name a limit, or have said that they leave: of struct
 * pool_upstream, borrowed; g_ptr_array_unref(). */
GPtrArray *pool_list_rate_limited(const struct pool *pool);
GPtrArray *pool_list_drain_notices(const struct pool *pool);
/** Time until its limit lets us send there; 0: now. */
int64_t pool_rate_limit_wait_us(const struct pool *pool,
				const struct pool_upstream *upstream);
/** Requests a second that its limit leaves to us; only if it is named. */
double pool_rate_limit_per_s(const struct pool *pool,
			     const struct pool_upstream *upstream);
/**
 * When whoever asks may be told to come back: if all upstreams that could take
 * it rest or are at their limits, time until one of them may, behind those that
 * were told so before. Else 0.
 */
int64_t pool_retry_after_us(struct pool *pool,
			    const struct pool_pick_args *ask);
/** A request or call goes there now. */
void pool_note_sent(struct pool *pool, struct pool_upstream *upstream);
/** An answer said that it leaves: nothing new goes there, whatever the list
 * says, for as long as this life lasts and beyond its entry in the list.
 * Returns whether that was not known. */
bool pool_note_drain_notice(struct pool *pool, struct pool_upstream *upstream);
/** It turned us away and wants nothing of us for so long. Kept to whatever else
 * there is, and beyond its entry in the list. */
void pool_note_pushback(struct pool *pool, struct pool_upstream *upstream,
			int64_t rest_us);
bool pool_has_pushback(const struct pool *pool,
		       const struct pool_upstream *upstream);
/** It leaves, by the list or by what it said. */
bool pool_is_draining(const struct pool_upstream *upstream);
/** Whether it may get anything new at all, now or later. */
bool pool_is_eligible(const struct pool_upstream *upstream);
/** Whether a service has upstreams, and all of them are closed or elsewhere
 * than in these regions. */
bool pool_service_is_closed(const struct pool *pool, const char *service,
			    const char *homes);
/** The region of a failure domain, before the first list. */
void pool_set_region(struct pool *pool, const char *domain, const char *region);
/** Where all entries would place a prompt of these parts, or NULL. */
const struct pool_upstream *
pool_affinity_upstream(const struct pool *pool,
		       const struct pool_pick_args *ask);

/**
 * Engines of a service copy memory of prompts from each other, at this many
 * bytes a token and bytes a microsecond; 0: they do not.
 */
void pool_set_cache_copying(struct pool *pool, const char *service,
			    int64_t token_bytes, double bytes_per_us);
/** What this engine lacks of a prompt, and where it best copies from, if that
 * is faster than to read it. */
struct pool_cache_copy
pool_find_cache_copy(const struct pool *pool,
		     const struct pool_upstream *upstream,
		     const struct pool_pick_args *ask);
/** How long engines of a service take to copy so many tokens. */
int64_t pool_cache_copy_us(const struct pool *pool, const char *service,
			   int64_t tokens);
/** The best upstream, or NULL. Not held: see pool_upstream_ref(). */
struct pool_upstream *pool_pick(struct pool *pool,
				const struct pool_pick_args *ask);
/** Prompt tokens that this upstream would have to read for these parts. */
int64_t pool_uncached_tokens(const struct pool_upstream *upstream,
			     const struct pool_prefix_block *parts,
			     uint32_t count);
/** Remember that these parts are in this upstream's memory, or will be once it
 * has read what it lacks of them. */
void pool_note_cached_blocks(struct pool *pool, struct pool_upstream *upstream,
			     const struct pool_prefix_block *parts,
			     uint32_t count, int64_t capacity_tokens);
/** An engine says which parts it has in memory: these, and no others but those
 * that it is believed to be reading. */
void pool_set_cached_blocks(struct pool *pool, struct pool_upstream *upstream,
			    const struct pool_prefix_block *parts,
			    uint32_t count);
/**
 * Learn from an outcome. `took_us` and `expected_us` compare the time of an
 * answer with what was expected; 0: not known. Of a failure, `took_us` is how
 * long it took to show: what costs more to find out is not tried as often.
 */
void pool_record_outcome(struct pool *pool, struct pool_upstream *upstream,
			 enum pool_outcome outcome, int64_t took_us,
			 int64_t expected_us);
/** Calls of others keep it at work until then; in the past: none does. */
void pool_note_busy(struct pool *pool, struct pool_upstream *upstream,
		    int64_t until_us);
/** Others found it unreachable; believed unless it answered us lately. */
void pool_note_unreachable(struct pool *pool, struct pool_upstream *upstream,
			   int64_t aside_us);
/** Whether it may be called at this moment. */
bool pool_is_available(const struct pool *pool,
		       const struct pool_upstream *upstream);

struct pool_upstream *pool_upstream_ref(struct pool_upstream *upstream);
void pool_upstream_unref(struct pool_upstream *upstream);

#endif
