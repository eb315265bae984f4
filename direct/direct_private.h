/** Internal declarations shared by the files of direct/. */
#ifndef DIRECT_PRIVATE_H
#define DIRECT_PRIVATE_H

#include "base/lp_histogram.h"
#include "direct/direct.h"
#include "direct/direct_calls.h"
#include "direct/direct_fetch.h"
#include "direct/direct_notices.h"
#include "direct/direct_peers.h"
#include "direct/direct_prefix_cache.h"
#include "direct/direct_quarantine.h"
#include "direct/direct_stream_origins.h"
#include "direct/direct_terminations.h"
#include "direct/direct_version_history.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "http/http_sock.h"
#include "policy/admission.h"
#include "policy/client_wait.h"
#include "policy/graph.h"
#include "policy/pieces.h"
#include "policy/remaining_latency.h"
#include "policy/retry.h"
#include "policy/retry_budget.h"

/** Fraction of an engine's prefix cache that is assumed to hold prompts. */
#define DIRECT_PREFIX_CACHE_FRACTION 0.8

struct direct_closed_domains;
struct direct_terminations;
struct direct_placement;
struct direct_relay;
struct direct_results;
struct direct_stages;
struct direct_request;

/** Only the first stages of a route, this many, have estimates. */
#define DIRECT_ESTIMATED_STAGES_MAX 8

/** Estimates learnt from the requests of one route, kept until a configuration
 * removes the route. */
struct direct_route_estimates {
	struct admission_error admission_error;
	struct client_wait client_wait;
	struct admission_return_share return_share;
	struct remaining_latency
		remaining[DIRECT_ESTIMATED_STAGES_MAX]; /* per stage */
};

struct direct {
	struct direct_options options;
	char *domain;
	struct http_server *server;
	struct http_memory memory;    /* held for callers and upstreams */
	struct direct_config *config; /* NULL: not configured yet */
	struct pool *pool;
	bool has_upstreams;
	int64_t upstreams_updated_us; /* time of the last list */
	int64_t started_us;
	int64_t shutdown_us; /* planned termination; 0: none */
	struct retry_budget *retry_budget;
	struct direct_closed_domains *closed_domains;
	struct direct_notices *notices;
	struct direct_terminations *terminations;
	struct direct_quarantine *quarantine;
	struct direct_stages *stages;
	struct direct_calls *calls;
	struct direct_results *results;
	struct direct_prefix_cache *prefix_cache;
	struct direct_version_history *version_history;
	struct direct_stream_origins *stream_origins;
	struct direct_peers *peers;	    /* NULL: no peers */
	struct direct_relay *relay;	    /* NULL: no peers */
	struct direct_placement *placement; /* NULL: no peers */
	GHashTable *requests;		    /* of struct direct_request */
	GHashTable *route_estimates;	    /* name of a route -> struct
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
	const struct direct_service *service_config =
		direct_config_service(direct->config, service);

	return service_config
		       ? (int64_t)(DIRECT_PREFIX_CACHE_FRACTION *
				   (double)service_config->prefix_cache_tokens)
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
/** Refuse a request whose stages are in progress, or abort its answer, if no
 * upstream of the version that began its stream is left. */
void direct_request_refuse_if_version_gone(struct direct_request *request);
/** Refuse a request that is at no upstream, or abort a stream that waits to be
 * resumed, because the entry terminates. */
void direct_request_refuse_unsent(struct direct_request *request);
/** Refuse a request because a piece of it cannot be completed in time. */
void direct_request_refuse_late(struct direct_request *request);

/** Begin a check of what this request waits for. */
void direct_request_clear_waiting(struct direct_request *request);
/** A stage of this request waits for its pieces. */
void direct_request_mark_waiting(struct direct_request *request,
				 uint32_t stage);
/** Whether a request waits for something that has a timer other than its
 * deadline: submitted pieces, a query to a placer, or an exchange with an
 * upstream. Valid after its stages have been marked. */
bool direct_request_is_waiting(const struct direct_request *request);

/* ---- direct_results.c: freeing results that nobody needs any more ---- */

struct direct_results *direct_results_create(struct direct *direct);
/** Drops the results that are gathered. */
void direct_results_destroy(struct direct_results *results);
/** Have a result of `bytes` freed at its producer, by way of the dispatcher of
 * that upstream. Takes the handle. */
void direct_results_free(struct direct_results *results, uint64_t producer,
			 char *handle, int64_t bytes);
/** Free results of a peer whose dispatcher this entry is. `bytes`: of all of
 * them. Copies the handles. */
void direct_results_free_for_peer(struct direct_results *results,
				  uint64_t producer, GPtrArray *handles,
				  int64_t bytes);

/* ---- direct_stages.c: pieces of this entry's requests, dispatchers ---- */

struct direct_stages *direct_stages_create(struct direct *direct);
void direct_stages_destroy(struct direct_stages *stages);
/** Let this entry and its peers dispatch for each other. NULL: no peers. */
void direct_stages_set_peers(struct direct_stages *stages,
			     struct direct_peers *peers);
/** Take over the services of a new configuration. */
void direct_stages_configure(struct direct_stages *stages,
			     const struct direct_config *config);
/** Hash of the peer that dispatches to this upstream; 0: this entry does. */
uint64_t direct_stages_dispatcher(struct direct_stages *stages,
				  const struct pool_upstream *upstream);
/** Set the shard of a service's engines at which a prompt is placed. */
void direct_stages_set_shard(struct direct_stages *stages,
			     struct pool_pick_args *pick_args);
/** Hash of the peer that places this prompt; 0: this entry does. */
uint64_t direct_stages_placer(struct direct_stages *stages,
			      const struct pool_pick_args *pick_args);
/** Submit pieces to their dispatcher. Takes over the fields of `work`. The
 * graph of `request` gets the results. */
void direct_stages_submit(struct direct_stages *stages,
			  struct direct_request *request,
			  struct direct_work *work);
/** A request was admitted: tell the dispatchers of its stages how many pieces
 * will come. */
void direct_stages_commit(struct direct_stages *stages,
			  struct direct_request *request, bool is_late);
/** A request has ended: cancel its pieces and free its results. */
void direct_stages_cancel(struct direct_stages *stages,
			  struct direct_request *request);
/** Mark each stage of a request whose pieces wait in a queue here, at a
 * dispatcher, or for the discovery of members. */
void direct_stages_mark_waiting(struct direct_stages *stages);
/** Free the results that a request does not need any more; `all`: every one. */
void direct_stages_free_results(struct direct_stages *stages,
				struct direct_request *request, bool all);
/** Cancel all pieces of a request and free its results; they are computed again
 * when they are needed. */
void direct_stages_discard(struct direct_stages *stages,
			   struct direct_request *request);
/** Inputs of a stage of a request are gone: cancel the stage's pieces, free the
 * other inputs and mark them all as missing, to be computed again. */
void direct_stages_recompute_inputs(struct direct_stages *stages,
				    struct direct_request *request,
				    uint32_t stage);
/** Fill in what is known of the queue to which this service's pieces of a
 * request would go: waits, their age, and measured times. `id`: of the request.
 */
void direct_stages_estimate(struct direct_stages *stages, const char *service,
			    const char *id, int32_t priority,
			    struct admission_stage *out);
/** Recent refusals because of this service. */
struct admission_pressure *direct_stages_pressure(struct direct_stages *stages,
						  const char *service);
/** Record how long the pieces of a stage took that were submitted before their
 * request's target time. */
void direct_stages_record_latency(struct direct_stages *stages,
				  const char *service, int32_t priority,
				  int64_t took_us);

#endif
