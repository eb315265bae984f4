/**
 * Queues of pieces at their dispatcher: the pieces of all entries wait in one
 * queue for each service and are carried by calls to its upstreams.
 *
 * A job is the pieces of one stage of one request. Its owner gets their results
 * in one or several callbacks. All functions belong to the event loop's thread.
 */
#ifndef DIRECT_CALLS_H
#define DIRECT_CALLS_H

#include "direct/direct_codec.h"
#include "direct/direct_config.h"
#include "policy/pieces.h"

struct direct;
struct direct_calls;
struct direct_job;

/** Pieces to be computed, of one stage of one request. Owns its fields. */
struct direct_work {
	char *id; /**< id of the request */
	char *service;
	char *key; /**< input of a stage without predecessors, or NULL */
	GPtrArray *inputs;  /**< handles of results of earlier stages */
	struct piece piece; /**< fields that all the pieces share */
	GArray *indices;    /**< uint32_t: which pieces of the stage */
};

/** Result of one piece. */
struct direct_result {
	uint32_t index;
	enum direct_item_result outcome;
	char *handle;	   /**< of a completed piece */
	uint64_t producer; /**< incarnation of the upstream */
};

/**
 * Passes results to a job's owner, who may take the handles. `left`: pieces
 * without a result yet; at 0 the job is over and freed after the call.
 */
typedef void (*direct_results_fn)(void *userdata, struct direct_result *results,
				  uint32_t count, uint32_t left);

void direct_work_clear(struct direct_work *work);

struct direct_calls *direct_calls_create(struct direct *direct);
/** Cancels the calls in flight; their jobs get failed results. */
void direct_calls_destroy(struct direct_calls *calls);
/** Take over the limits and costs of services from a configuration. */
void direct_calls_configure(struct direct_calls *calls,
			    const struct direct_config *config);
/** Call only the upstreams of these shards: `own` is a bit mask of `shards`. */
void direct_calls_set_shards(struct direct_calls *calls, const char *service,
			     uint32_t shards, uint64_t own);
/** Queue pieces as a job. Takes over the fields of `work` and empties it. */
struct direct_job *direct_calls_add(struct direct_calls *calls,
				    struct direct_work *work,
				    direct_results_fn on_results,
				    void *userdata);
/** Cancel a job, whose pointer is invalid from here on. Results of calls in
 * flight are freed. */
void direct_calls_cancel(struct direct_job *job);
/** Estimated time until a piece added now to this service is completed. */
int64_t direct_calls_estimate_us(struct direct_calls *calls,
				 const char *service, int32_t priority);
/** The same for each of the priorities 0 to count - 1. */
void direct_calls_estimate_each_us(struct direct_calls *calls,
				   const char *service, int64_t *out,
				   int32_t count);
/** The same for work that is late on arrival; INT64_MAX: not within a minute.
 */
int64_t direct_calls_late_wait_us(struct direct_calls *calls,
				  const char *service);
/** Set the pieces of this service that admitted requests will still submit to
 * this entry, by rank. */
void direct_calls_set_committed(struct direct_calls *calls, const char *service,
				const uint32_t *by_rank, uint32_t ranks);
/** Make the calls and queries that can be made now. */
void direct_calls_run(struct direct_calls *calls);

#endif
