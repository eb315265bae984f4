/**
 * The dispatcher's side of stages: pieces of all entries wait in one queue a
 * service and are carried by calls to its upstreams.
 *
 * A job is the pieces of one stage of one request. Its owner is told of them
 * as they come, in one or several turns. All functions belong to the loop's
 * thread.
 */
#ifndef DIRECT_CALLS_H
#define DIRECT_CALLS_H

#include "direct/direct_codec.h"
#include "direct/direct_config.h"
#include "policy/pieces.h"

struct direct;
struct direct_calls;
struct direct_job;

/** Pieces of one stage of one request that are to be made. Owns its fields. */
struct direct_work {
	char *id; /**< of the request */
	char *service;
	char *key;	    /**< what first stages are made from, or NULL */
	GPtrArray *inputs;  /**< handles */
	struct piece piece; /**< what the pieces have in common */
	GArray *indices;    /**< uint32_t: which pieces of the stage */
};

/** What came of one piece. */
struct direct_result {
	uint32_t index;
	enum direct_item_result outcome;
	char *handle;	   /**< of a made one */
	uint64_t producer; /**< life of the upstream */
};

/**
 * Results for a job's owner, who may take handles. `left`: pieces of which
 * nothing is known yet; at 0 the job is over and its pointer ends.
 */
typedef void (*direct_results_fn)(void *userdata, struct direct_result *results,
				  uint32_t count, uint32_t left);

void direct_work_clear(struct direct_work *work);

struct direct_calls *direct_calls_create(struct direct *direct);
/** Calls under way are cancelled; their jobs' owners hear that they failed. */
void direct_calls_destroy(struct direct_calls *calls);
/** Figures of services may have changed. */
void direct_calls_configure(struct direct_calls *calls,
			    const struct direct_config *config);
/** Of a service in so many parts we dispatch those whose bits are set. */
void direct_calls_set_shards(struct direct_calls *calls, const char *service,
			     uint32_t shards, uint64_t own);
/** Takes over the fields of `work` and leaves it empty. */
struct direct_job *direct_calls_add(struct direct_calls *calls,
				    struct direct_work *work,
				    direct_results_fn on_results,
				    void *userdata);
/** Nobody waits for it any more; its pointer ends here. */
void direct_calls_cancel(struct direct_job *job);
/** Time until a piece for this service that came now would be made. */
int64_t direct_calls_estimate_us(struct direct_calls *calls,
				 const char *service, int32_t priority);
/** The same for each of the priorities 0 to count - 1. */
void direct_calls_estimate_each_us(struct direct_calls *calls,
				   const char *service, int64_t *out,
				   int32_t count);
/** Make the calls that can be made now. */
void direct_calls_run(struct direct_calls *calls);

#endif
