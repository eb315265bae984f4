/**
 * The configuration in force at an entry that calls upstreams directly, as
 * typed values. Immutable once built, and counted: a request keeps the one it
 * began with for as long as it needs its route.
 */
#ifndef DIRECT_CONFIG_H
#define DIRECT_CONFIG_H

#include "policy/homes.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum direct_route_kind {
	DIRECT_IDEMPOTENT, /**< may run more than once */
	DIRECT_ONCE,	   /**< at most once */
	DIRECT_STREAM, /**< a series of events; at most once unless resumed */
};

/** A service that gets a share of a route's requests. */
struct direct_weighted_service {
	char *service;
	uint32_t weight;
};

/** Work done in pieces before the request itself can run. */
struct direct_stage {
	char *service;
	uint32_t *after; /**< indices of the stages whose results it needs */
	uint32_t after_count;
	int64_t bytes; /**< about the size of one result */
};

struct direct_route {
	char *name;
	char *host;
	char *prefix; /**< of the path; begins and ends with a slash */
	enum direct_route_kind kind;
	int64_t timeout_us; /**< the final answer is due after it */
	int64_t target_us;  /**< an answer (of a stream: its first event) within
			       this is on time */
	int64_t gap_us;	    /**< longest pause between events */
	int32_t priority;   /**< 0 goes first */
	uint32_t attempts_max; /**< upstreams that one request may be sent to */
	struct direct_weighted_service *weighted_services;
	uint32_t weighted_services_count;
	struct direct_stage *stages;
	uint32_t stages_count;
	const char *allowed_regions; /**< regions that may have it:
					policy/homes.h */
	bool is_public;		     /**< needs no key */
	bool resumes; /**< a stream may go on at another upstream */
};

struct direct_service {
	char *name;
	/* of a service that does stages' pieces */
	bool serves_pieces;
	uint32_t batch_max;	     /**< pieces of one call */
	int64_t call_us;	     /**< a call's fixed time, about */
	int64_t piece_us;	     /**< and that of each piece */
	int64_t result_memory_bytes; /**< for results, one upstream */
	int64_t result_ttl_us; /**< results that nobody gives up stay so long */
	/* of upstreams that have just started */
	int64_t cold_us;   /**< cold for so long; 0: no bound */
	double cold_per_s; /**< requests that a cold one takes, of all entries
			    */
	/* of a service of model engines */
	int64_t prefix_cache_tokens; /**< memory for prompts, in tokens */
	int64_t token_bytes;	     /**< of that memory */
	double copy_bytes_per_us;    /**< from engine to engine; 0: they do not
					copy */
};

struct direct_organisation {
	char *name;
	int32_t priority; /**< compared before the route's; negative: none */
	const char *allowed_regions; /**< regions that may have its requests */
};

struct direct_limits {
	int64_t head_bytes;
	int64_t body_bytes;
	int64_t read_us;
	int64_t idle_us;
};

struct direct_config {
	int64_t version;
	GPtrArray *routes;    /**< of struct direct_route */
	GHashTable *services; /**< name -> struct direct_service */
	GPtrArray *organisations;
	GHashTable *keys; /**< key -> struct direct_organisation */
	bool needs_keys;  /**< requests carry a key, but for public routes */
	struct direct_limits limits;
	/* private */
	GHashTable *
		routes_by_prefix; /**< host and prefix -> struct direct_route */
	size_t prefix_max;	  /**< bytes of the longest prefix */
	GArray *ranks;		  /**< of struct rank, the most urgent first */
	uint32_t refs;
};

/** Empty, with one reference; filled by the adapter, then sealed. */
struct direct_config *direct_config_create(void);
/** Index what was filled in. Nothing is changed after it. */
void direct_config_seal(struct direct_config *config);
struct direct_config *direct_config_ref(struct direct_config *config);
void direct_config_unref(struct direct_config *config);

/** A new route of this configuration, to be filled. */
struct direct_route *direct_config_add_route(struct direct_config *config);
struct direct_service *direct_config_add_service(struct direct_config *config,
						 const char *name);
struct direct_organisation *
direct_config_add_organisation(struct direct_config *config, const char *name);

/**
 * The route of a host and path: of those whose prefix begins the path the one
 * with the longest, or NULL. Looks up the path's beginnings, so its cost does
 * not grow with the routes: 0.2 us of a core among 4,250, where comparing them
 * in turn takes 85 to 180.
 */
const struct direct_route *
direct_config_route(const struct direct_config *config, const char *host,
		    const char *path);
const struct direct_service *
direct_config_service(const struct direct_config *config, const char *name);
/**
 * How urgent a request is among all that this configuration allows: 0 goes
 * first, and no rank is left out. An organisation's priority is compared before
 * the route's; among organisations of one priority the route's decides.
 * `organisation`: NULL for a public route.
 */
int32_t direct_config_rank(const struct direct_config *config,
			   const struct direct_route *route,
			   const struct direct_organisation *organisation);
/** The service that gets a request, by its weights and a hash of the request.
 */
const char *direct_route_pick_service(const struct direct_route *route,
				      uint64_t hash);

#endif
