/** Declarations shared by policy/pool*.c; private to them. */
#ifndef POOL_PRIVATE_H
#define POOL_PRIVATE_H

#include "policy/pool.h"

struct pool {
	const struct lp_clock *clock;
	char *domain;
	GHashTable *upstreams;	    /* id -> struct pool_upstream */
	GHashTable *by_incarnation; /* incarnation -> the same */
	struct incarnations *incarnations;
	bool needs_reapply;
	pool_restarted_fn restarted;
	void *restarted_userdata;
	GHashTable *services; /* name -> GPtrArray of struct pool_upstream */
	const struct closed_domains *closed_domains; /* NULL: unknown */
	GHashTable *warmup_limits;     /* service -> struct warmup_limits */
	GHashTable *cache_copying;     /* service -> struct cache_copying */
	GHashTable *rate_limit_shares; /* service -> struct
					  pool_rate_limit_shares */
	struct pool_rate_limit_shares
		default_rate_limit_shares; /* of other services */
	GHashTable *retry_schedules; /* service -> struct retry_schedule */
	GHashTable *unlisted;	     /* incarnation -> struct unlisted_state */
	GHashTable *regions;	     /* domain -> interned region */
};

/* How engines of a service copy prefix caches from each other. */
struct cache_copying {
	int64_t token_bytes;
	double bytes_per_us;
};

/* Software versions of a service whose engines copy from each other. A release
 * rarely meets the end of another one. */
#define COPY_VERSIONS_MAX 4

/* The engine of a version from which a prompt's prefix cache can be copied. */
struct copy_source {
	uint64_t version_id;
	struct pool_upstream *upstream; /* with the longest prefix */
	int64_t prefilled_tokens;	/* in its cache */
};

/* The engines from which a prompt's prefix cache can be copied: one of each
 * version, since a version cannot use what another one wrote. */
struct copy_sources {
	const struct cache_copying *copying; /* NULL: nothing is copied */
	struct copy_source versions[COPY_VERSIONS_MAX];
	uint32_t count;
	int64_t prompt_tokens;
};

/** Whether a request is permitted now by eligibility, warm-up, pushback and the
 * advertised rate limit, which must hold even if there is no other upstream. */
bool pool_is_send_permitted(const struct pool *pool,
			    const struct pool_upstream *upstream);
/** The upstream may have restarted unnoticed. */
void pool_suspect_cold(const struct pool *pool, struct pool_upstream *upstream);
/** Time left of its pushback; 0: none. */
int64_t pool_pushback_left_us(const struct pool *pool,
			      const struct pool_upstream *upstream);
/** Let the estimates fade for the time without outcomes. */
void pool_decay_estimates(struct pool_upstream *upstream, int64_t now_us);
/** The engines from which the prompt's prefix cache can be copied. */
struct copy_sources pool_find_copy_sources(const struct pool *pool,
					   const GPtrArray *list,
					   const struct pool_pick_args *args);
struct pool_cache_copy pool_plan_copy(const struct copy_sources *sources,
				      const struct pool_upstream *upstream,
				      const struct pool_pick_args *args);
/** Time of a copy; `copying` NULL: the service does not copy, and `tokens` is
 * 0. */
int64_t pool_copy_time_us(const struct cache_copying *copying, int64_t tokens);
/** Cost of a copy, as time. */
int64_t pool_copy_cost_us(const struct cache_copying *copying, int64_t tokens);

#endif
