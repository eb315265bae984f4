/** What the files of direct/ share. */
#ifndef DIRECT_PRIVATE_H
#define DIRECT_PRIVATE_H

#include "base/lp_histogram.h"
#include "direct/direct.h"
#include "direct/direct_calls.h"
#include "direct/direct_ends.h"
#include "direct/direct_fetch.h"
#include "direct/direct_memory.h"
#include "direct/direct_notices.h"
#include "direct/direct_peers.h"
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

/** Part of an engine's memory that is believed to hold prompts. */
#define DIRECT_MEMORY_SHARE 0.8

struct direct_closures;
struct direct_ends;
struct direct_placement;
struct direct_relay;
struct direct_results;
struct direct_stages;
struct direct_request;

/** Stages of one route that are learnt of. */
#define DIRECT_LEARNT_STAGES 8

/** What is learnt of a route, for as long as it is in force. */
struct direct_learnt {
	struct patience patience;
	struct remaining remaining[DIRECT_LEARNT_STAGES]; /* a stage */
};

struct direct {
	struct direct_options options;
	char *domain;
	struct http_server *server;
	struct direct_config *config; /* NULL: none yet */
	struct pool *pool;
	bool has_upstreams;
	int64_t listed_us; /* when the list was handed in last */
	int64_t end_us;	   /* about to end then; 0: it is not */
	struct retries *retries;
	struct direct_closures *closures;
	struct direct_notices *notices;
	struct direct_ends *ends;
	struct direct_quarantine *quarantine;
	struct direct_stages *stages;
	struct direct_calls *calls;
	struct direct_results *results;
	struct direct_memory *memory;
	struct direct_peers *peers;	 /* NULL: no other entries are known */
	struct direct_relay *relay;	 /* NULL: likewise */
	struct direct_placement *places; /* NULL: likewise */
	GHashTable *requests;		 /* of struct direct_request */
	GHashTable *learnt; /* route's name -> struct direct_learnt */
	struct lp_histogram *answer_times;
	struct lp_histogram *first_times;
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

/** Tokens of prompts that an engine of this service keeps; 0: not known. */
static inline int64_t direct_prompt_tokens(const struct direct *direct,
					   const char *service)
{
	const struct direct_service *figures =
		direct_config_service(direct->config, service);

	return figures ? (int64_t)(DIRECT_MEMORY_SHARE *
				   (double)figures->engine_tokens)
		       : 0;
}

/* ---- direct_request.c: the life of a request ---- */

/** Take a whole request from its caller. */
void direct_request_begin(struct direct *direct, struct http_call *call);
/** The entry ends: drop it without an answer. */
void direct_request_drop(struct direct_request *request);
/** Its pieces have moved on; called by the stages. */
void direct_request_advance(struct direct_request *request);
/** Operators have closed a domain: if nothing is left that could serve it, it
 * is refused. */
void direct_request_domain_closed(struct direct_request *request);
/** The entry ends: it is refused unless an upstream has it. */
void direct_request_entry_ends(struct direct_request *request);
/** A piece cannot be made in time. */
void direct_request_pieces_late(struct direct_request *request);

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
			     struct pool_ask *ask);
/** Hash of the peer that places this prompt; 0: this entry does. */
uint64_t direct_stages_placer(struct direct_stages *stages,
			      const struct pool_ask *ask);
/** Submit pieces to their dispatcher. Takes over the fields of `work`. The
 * graph of `request` gets the results. */
void direct_stages_submit(struct direct_stages *stages,
			  struct direct_request *request,
			  struct direct_work *work);
/** A request has ended: cancel its pieces and free its results. */
void direct_stages_cancel(struct direct_stages *stages,
			  struct direct_request *request);
/** Free the results that a request does not need any more; `all`: every one. */
void direct_stages_free_results(struct direct_stages *stages,
				struct direct_request *request, bool all);
/** Inputs of a stage of a request are gone: cancel the stage's pieces, free the
 * other inputs and mark them all as missing, to be computed again. */
void direct_stages_recompute_inputs(struct direct_stages *stages,
				    struct direct_request *request,
				    uint32_t stage);
/** Estimated time until a piece submitted now to this service is completed. */
int64_t direct_stages_estimate_us(struct direct_stages *stages,
				  const char *service, int32_t priority);
/** Record how long the pieces of a stage took that were submitted before their
 * request's target time. */
void direct_stages_record_latency(struct direct_stages *stages,
				  const char *service, int32_t priority,
				  int64_t took_us);

#endif
