/**
 * Where prompts go: asked of the one entry that places them for all.
 *
 * An engine's queue is made by all entries; one alone sees its own requests
 * only, and each would read the same prompts in again somewhere else. The
 * placer of a service knows what all sent where, which prompts that left in
 * each engine's memory, and what is still unread. It is asked in one datagram
 * and answers in one; an entry that hears nothing soon decides by itself.
 */
#ifndef DIRECT_PLACEMENT_H
#define DIRECT_PLACEMENT_H

#include "direct/direct_peers.h"
#include "policy/pool.h"

struct direct;
struct direct_placement;

/** Where a request was placed; all zero: by ourselves. */
struct direct_placement_result {
	int64_t wait_us; /**< nobody may take it yet: until then, about; 0: the
			    placer does not say so */
	uint64_t placer; /**< the placer */
	uint64_t number; /**< of this placing */
	uint64_t copy_source; /**< engine to copy memory from; 0: none */
	int64_t copied_tokens;
	int64_t cold_tokens;  /**< to be read */
	int64_t tokens_ahead; /**< at the engine before it */
};

/** The answer; `upstream` NULL: decide by yourself. */
typedef void (*direct_placement_fn)(
	void *userdata, struct pool_upstream *upstream,
	const struct direct_placement_result *result);

struct direct_placement *direct_placement_create(struct direct *direct,
						 struct direct_peers *peers);
void direct_placement_destroy(struct direct_placement *placement);
/**
 * Ask `placer`. Returns the question's number, or 0: it cannot be asked.
 * `placed` is called once, later, unless the question is dropped.
 */
uint64_t direct_placement_query(struct direct_placement *placement,
				uint64_t placer, const struct pool_ask *ask,
				direct_placement_fn on_placed, void *userdata);
void direct_placement_cancel(struct direct_placement *placement,
			     uint64_t number);
/** The engine has begun to answer, after `took_us` of `expected_us`. */
void direct_placement_report_answering(
	struct direct_placement *placement,
	const struct direct_placement_result *result, int64_t took_us,
	int64_t expected_us);
/** It is over there. */
void direct_placement_report_end(struct direct_placement *placement,
				 const struct direct_placement_result *result,
				 enum pool_outcome outcome);

#endif
