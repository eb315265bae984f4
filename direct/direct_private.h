/** Internal declarations shared by the files of direct/. */
#ifndef DIRECT_PRIVATE_H
#define DIRECT_PRIVATE_H

#include "base/lp_histogram.h"
#include "direct/direct.h"
#include "direct/direct_calls.h"
#include "direct/direct_ends.h"
#include "direct/direct_fetch.h"
#include "direct/direct_notices.h"
#include "direct/direct_peers.h"
#include "direct/direct_prefix_cache.h"
#include "direct/direct_quarantine.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "http/http_sock.h"
#include "policy/graph.h"
#include "policy/patience.h"
#include "policy/pieces.h"
#include "policy/remaining.h"
#include "policy/retries.h"
#include "policy/verdict.h"

/** Fraction of an engine's prefix cache that is assumed to hold prompts. */
#define DIRECT_PREFIX_CACHE_FRACTION 0.8

struct direct_closed_domains;
struct direct_ends;
struct direct_places;
struct direct_relay;
struct direct_results;
struct direct_stages;
struct direct_request;

/** Only the first stages of a route, this many, have estimates. */
#define DIRECT_ESTIMATED_STAGES_MAX 8

/** Estimates learnt from the requests of one route, kept until a configuration
 * removes the route. */
struct direct_route_estimates {
	struct patience client_wait;
	struct remaining remaining[DIRECT_ESTIMATED_STAGES_MAX]; /* per stage */
};

struct direct {
	struct direct_options options;
	char *domain;
	struct http_server *server;
	struct direct_config *config; /* NULL: not configured yet */
	struct pool *pool;
	bool has_upstreams;
	int64_t upstreams_updated_us; /* time of the last list */
	int64_t shutdown_us;	      /* planned termination; 0: none */
	struct retries *retry_budget;
	struct direct_closed_domains *closed_domains;
	struct direct_notices *notices;
	struct direct_ends *terminations;
	struct direct_quarantine *quarantine;
	struct direct_stages *stages;
	struct direct_calls *calls;
	struct direct_results *results;
	struct direct_prefix_cache *prefix_cache;
	struct direct_peers *peers;	 /* NULL: no peers */
	struct direct_relay *relay;	 /* NULL: no peers */
	struct direct_places *placement; /* NULL: no peers */
	GHashTable *requests;		 /* of struct direct_request */
	GHashTable *route_estimates;	 /* name of a route -> struct
					    direct_route_estimates */
	struct lp_histogram *answer_times;
	struct lp_histogram *first_event_times;
};

static inline int64_t *direct_counter(struct direct *direct, const char *name,
				      const char *labels)
{
	return lp_counter(direct->options.counters, name, labels);
}

static inline void direct_clear_timer(guint *timer)
{
	if (*timer)
		g_source_remove(*timer);
	*timer = 0;
}

/** Prompt tokens that an engine of this service is assumed to keep in its
 * prefix cache; 0: unknown. */
static inline int64_t direct_prefix_cache_capacity(const struct direct *direct,
						   const char *service)
{
	const struct direct_service *figures =
		direct_config_service(direct->config, service);

	return figures ? (int64_t)(DIRECT_PREFIX_CACHE_FRACTION *
				   (double)figures->prefix_cache_tokens)
		       : 0;
}

/* ---- direct_request.c: requests of callers, from admission to answer ---- */

/** Serve a request that has been read completely. */
void direct_request_begin(struct direct *direct, struct http_call *call);
/** Free a request without answering it, when the entry is destroyed. */
void direct_request_discard(struct direct_request *request);
/** Continue a request: to its next stages, or to an upstream once all its
 * stages are completed. Called whenever the state of its pieces changes. */
void direct_request_advance(struct direct_request *request);
/** Refuse a request whose stages are in progress if closed domains leave no
 * upstream for a service that it still needs. */
void direct_request_refuse_if_closed(struct direct_request *request);
/** Refuse a request that has not been sent, because the entry terminates. */
void direct_request_refuse_unsent(struct direct_request *request);
/** Refuse a request because a piece of it cannot be completed in time. */
void direct_request_refuse_late(struct direct_request *request);

/* ---- direct_results.c: results that nobody needs any more ---- */

struct direct_results *direct_results_create(struct direct *direct);
/** What is gathered is dropped. */
void direct_results_destroy(struct direct_results *results);
/** Have a result of so many bytes dropped by its maker, by way of whoever
 * dispatches there. Takes the handle. */
void direct_results_give_up(struct direct_results *results, uint64_t maker,
			    char *handle, int64_t bytes);
/** A peer gives results up that we dispatched. Copies the handles. */
void direct_results_take(struct direct_results *results, uint64_t maker,
			 GPtrArray *handles, int64_t bytes);

/* ---- direct_stages.c: pieces of our requests ---- */

struct direct_stages *direct_stages_create(struct direct *direct);
void direct_stages_destroy(struct direct_stages *stages);
/** Other entries dispatch for us and we for them. */
void direct_stages_set_peers(struct direct_stages *stages,
			     struct direct_peers *peers);
/** Services may have come. */
void direct_stages_configure(struct direct_stages *stages,
			     const struct direct_config *config);
/** Who dispatches at this upstream; 0: we do. */
uint64_t direct_stages_dispatcher(struct direct_stages *stages,
				  const struct pool_upstream *upstream);
/** Set the share of a service's engines at which a prompt is placed. */
void direct_stages_share(struct direct_stages *stages, struct pool_ask *ask);
/** Who places this prompt; 0: we do. */
uint64_t direct_stages_placer(struct direct_stages *stages,
			      const struct pool_ask *ask);
/** Have pieces made. Takes over the fields of `work`. */
void direct_stages_ask(struct direct_stages *stages,
		       struct direct_request *request,
		       struct direct_work *work);
/** A request has ended; its results are given up. */
void direct_stages_drop(struct direct_stages *stages,
			struct direct_request *request);
/** Give up what a request does not need any more. */
void direct_stages_free_results(struct direct_stages *stages,
				struct direct_request *request, bool all);
/** Inputs of a stage of a request are gone: have them made again. */
void direct_stages_lost_inputs(struct direct_stages *stages,
			       struct direct_request *request, uint32_t stage);
/** Time until a piece for this service that came now would be made. */
int64_t direct_stages_estimate_us(struct direct_stages *stages,
				  const char *service, int32_t priority);
/** The pieces of a stage that were asked for in time took so long. */
void direct_stages_learn(struct direct_stages *stages, const char *service,
			 int32_t priority, int64_t took_us);

#endif
