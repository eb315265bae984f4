/**
 * Placement of prompts: the engine of a prompt is chosen by its placer, the one
 * entry that places the prompts of a shard of a service for all entries.
 *
 * All entries add to an engine's queue. An entry that knew only its own
 * requests could not see that queue, and each entry would have the same prefix
 * read at another engine. The placer knows what all entries sent where, which
 * prefix blocks that left in each engine's prefix cache, and how many tokens
 * are still unread. A query is one datagram, and so is the answer. Without an
 * answer within 40 ms the entry chooses an engine by itself.
 */
#ifndef DIRECT_PLACEMENT_H
#define DIRECT_PLACEMENT_H

#include "direct/direct_peers.h"
#include "policy/pool.h"

struct direct;
struct direct_placement;

/** Where a prompt was placed; all zero: by this entry. */
struct direct_placement_result {
	int64_t wait_us;      /**< estimated time until some engine may take the
				 prompt, if none may now; else 0 */
	uint64_t placer;      /**< hash of the peer */
	uint64_t number;      /**< of the query */
	uint64_t copy_source; /**< engine to copy KV cache from; 0: none */
	int64_t copied_tokens;
	int64_t cold_tokens;  /**< that the engine has to read */
	int64_t tokens_ahead; /**< unread tokens queued there before it */
};

/** Passes the answer of a query. `upstream` NULL: choose an engine yourself. */
typedef void (*direct_placement_fn)(
	void *userdata, struct pool_upstream *upstream,
	const struct direct_placement_result *result);

struct direct_placement *direct_placement_create(struct direct *direct,
						 struct direct_peers *peers);
void direct_placement_destroy(struct direct_placement *placement);
/**
 * Ask `placer` for an engine. Returns the query's number, or 0: the query
 * cannot be sent. `on_placed` is called once, later, unless the query is
 * cancelled.
 */
uint64_t direct_placement_query(struct direct_placement *placement,
				uint64_t placer,
				const struct pool_pick_args *pick_args,
				direct_placement_fn on_placed, void *userdata);
void direct_placement_cancel(struct direct_placement *placement,
			     uint64_t number);
/** Tell the placer that the engine has begun to answer, after `took_us`;
 * `expected_us` had been expected. */
void direct_placement_report_answering(
	struct direct_placement *placement,
	const struct direct_placement_result *result, int64_t took_us,
	int64_t expected_us);
/** Tell the placer that a request has ended, or that its choice is not used.
 */
void direct_placement_report_end(struct direct_placement *placement,
				 const struct direct_placement_result *result,
				 enum pool_outcome outcome);

#endif
