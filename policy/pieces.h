/**
 * Pieces that wait for one service, and the calls that carry them.
 *
 * An upstream does one call at a time, and a call costs much more than a
 * piece. This queue is the only one that calls its upstreams (dispatchers.h
 * says whose it is): whatever waits when one of them is idle goes to it, most
 * urgent first, so calls fill by themselves as upstreams get busy. Pieces of
 * different requests share a call.
 */
#ifndef PIECES_H
#define PIECES_H

#include "policy/pool.h"

struct pieces;

struct piece {
	void *request; /**< whose it is, one stage of it; opaque */
	uint32_t stage;
	uint32_t index;
	int64_t due_us; /**< begun by then in a call that carries nothing else,
			   its request is on time */
	int64_t expires_us;   /**< of no use after it */
	int32_t priority;     /**< 0 goes first */
	int64_t result_bytes; /**< of its result, about */
	bool has_inputs;
	bool holds_memory;  /**< its inputs take up scarce room meanwhile */
	bool exclusive;	    /**< shares a call with its own request only */
	bool group_started; /**< others of its stage and request went ahead */
	const char *preferred_domain; /**< domain of what it takes in, or of who
			     takes it; NULL: no matter. Interned. */
	int64_t preferred_bytes;      /**< that would cross domains elsewhere */
	const char *allowed_regions;  /**< regions that may have it: homes.h */
	int64_t added_us; /**< when it began to wait; set by pieces_add() */
};

struct pieces_options {
	const struct lp_clock *clock;
	struct pool *pool;
	const char *service; /**< copied */
	uint32_t batch_max;
	int64_t call_us;	     /**< a call's fixed time */
	int64_t piece_us;	     /**< and that of each piece */
	int64_t result_memory_bytes; /**< for results, one upstream; 0: no limit
				      */
	int64_t result_ttl_us; /**< results that nobody gives up stay so long */
};

/** A call to be made. */
struct pieces_call {
	struct pool_upstream *upstream; /**< held by the call */
	GArray *pieces;			/**< of struct piece */
	int64_t started_us;
	int64_t expected_us;	 /**< its time, waiting included */
	int64_t own_bytes;	 /**< of results counted there before it */
	int64_t completed_bytes; /**< of its results */
	bool memory_exhausted;	 /**< pieces of it met no room */
};

struct pieces *pieces_create(const struct pieces_options *options);
void pieces_destroy(struct pieces *pieces);
/** The service's figures have changed. */
void pieces_update_options(struct pieces *pieces,
			   const struct pieces_options *figures);
void pieces_add(struct pieces *pieces, const struct piece *piece);
/** Call upstreams of this part of so many parts of the service only. */
void pieces_set_shards(struct pieces *pieces, uint32_t parts, uint64_t own);
/** What waits for this one is dropped; returns how many pieces. */
uint32_t pieces_drop_request(struct pieces *pieces, const void *request);
/** The next call to be made now, or NULL. End it by pieces_end_call(). */
struct pieces_call *pieces_start_call(struct pieces *pieces);
/** When pieces_start_call() may have a call although nothing happens; 0: never.
 */
int64_t pieces_next_check_us(const struct pieces *pieces);
/** A piece of a call is made; its result goes by this handle. */
void pieces_piece_completed(struct pieces *pieces, struct pieces_call *call,
			    const struct piece *piece, const char *handle);
/** A piece of a call is not made; `no_room`: for want of room. */
void pieces_piece_failed(struct pieces *pieces, struct pieces_call *call,
			 const struct piece *piece, bool no_room);
/**
 * A call is over; all its pieces are made or not. Frees it. `running` and
 * `waiting`: calls of others that the upstream told of, or negative.
 */
void pieces_end_call(struct pieces *pieces, struct pieces_call *call,
		     enum pool_outcome outcome, int32_t running,
		     int32_t waiting);
/**
 * An upstream that is to be asked now how much room it has, or NULL: what
 * others left there is not known, or still counted. Counts as asked.
 */
struct pool_upstream *pieces_next_memory_query(struct pieces *pieces);
/** It had at least and at most so much when `own_bytes` were counted there. */
void pieces_memory_reported(struct pieces *pieces,
			    struct pool_upstream *upstream, int64_t own_bytes,
			    int64_t least_bytes, int64_t most_bytes);
/** Time until a piece of this priority that came now would be made. */
int64_t pieces_estimate_us(const struct pieces *pieces, int32_t priority);
/** The same for each of the priorities 0 to count - 1. */
void pieces_estimate_by_priority_us(const struct pieces *pieces, int64_t *out,
				    int32_t count);

#endif
