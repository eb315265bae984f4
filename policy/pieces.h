/**
 * Queue of a stage service's pieces, and the batched calls that carry them.
 *
 * A piece is one unit of work of a request's stage. An upstream processes one
 * call at a time, and a call has a fixed cost much larger than that of a piece.
 * So pieces wait here until an upstream is idle, and the most urgent of them
 * share the next call, also pieces of different requests: calls get fuller as
 * upstreams get busier.
 *
 * Only the queue of the service's dispatcher calls its upstreams
 * (dispatchers.h), which may be one shard of them. It also accounts for the
 * memory in which an upstream keeps results. The caller makes the calls and
 * reports what became of each piece. All times are in microseconds.
 */
#ifndef PIECES_H
#define PIECES_H

#include "policy/load_shedding.h"
#include "policy/pool.h"

struct pieces;

struct piece {
	void *request; /**< opaque owner of the piece */
	uint32_t stage;
	uint32_t index;
	int64_t due_us; /**< latest start, in a call of its own, for its request
			   to be on time */
	int64_t expires_us;   /**< useless afterwards */
	int32_t priority;     /**< 0 is the most urgent */
	int64_t result_bytes; /**< estimated */
	bool has_inputs;
	bool holds_memory;  /**< its inputs occupy scarce result memory */
	bool exclusive;	    /**< shares a call with its own request only */
	bool group_started; /**< others of its stage and request were sent */
	bool resumes;	    /**< of a stream that broke after its first event:
			       goes first and is not shed */
	const char *preferred_domain; /**< of its inputs, or of the consumer of
			     its result; NULL: any. Interned. */
	int64_t preferred_bytes;      /**< transferred between domains if it
					 runs in another one */
	const char *allowed_regions;  /**< see allowed_regions.h */
	int64_t added_us;	      /**< set by pieces_add() */
	enum load_shedding_reason shed_reason; /**< set by pieces_shed() */
	int64_t shed_wait_us; /**< set by pieces_shed(): time until it would
				 have been completed, at least */
};

struct pieces_options {
	const struct lp_clock *clock;
	struct pool *pool;
	const char *service; /**< copied */
	uint32_t batch_max;
	int64_t call_us;	     /**< fixed time of a call ... */
	int64_t piece_us;	     /**< ... and time of each piece in it */
	int64_t result_memory_bytes; /**< of one upstream; 0: no limit */
	int64_t result_ttl_us; /**< retention of results that nobody frees */
};

/** A call to an upstream. */
struct pieces_call {
	struct pool_upstream *upstream; /**< the call holds a reference */
	GArray *pieces;			/**< of struct piece */
	int64_t started_us;
	int64_t expected_us; /**< duration, given the upstream's present speed
			      */
	int64_t timeout_us;  /**< after which the call is given up */
	int64_t own_bytes;   /**< of results counted there before the call */
	int64_t completed_bytes; /**< of the call's results */
	bool memory_exhausted;	 /**< a piece failed for want of memory */
};

struct pieces *pieces_create(const struct pieces_options *options);
void pieces_destroy(struct pieces *pieces);
/** Updates the service's batch size, times and memory limits; clock, pool and
 * service stay. */
void pieces_update_options(struct pieces *pieces,
			   const struct pieces_options *options);
void pieces_add(struct pieces *pieces, const struct piece *piece);
/**
 * Restricts the queue to some of the service's upstreams, which are split into
 * `shards` shards by hash; `own_shards` is a bitmask. Initially one shard, own.
 */
void pieces_set_shards(struct pieces *pieces, uint32_t shards,
		       uint64_t own_shards);
/** Drops the waiting pieces of a request; returns how many. */
uint32_t pieces_drop_request(struct pieces *pieces, const void *request);
/** The next call to make now, or NULL. The caller sends it, reports each of its
 * pieces as completed or failed, and ends it by pieces_end_call(). */
struct pieces_call *pieces_start_call(struct pieces *pieces);
/** When pieces_start_call() is to be tried again without any event; 0: never.
 */
int64_t pieces_next_check_us(const struct pieces *pieces);
/** Reports that a piece is completed; `handle` names its result. */
void pieces_piece_completed(struct pieces *pieces, struct pieces_call *call,
			    const struct piece *piece, const char *handle);
/**
 * How long to wait on for a call whose timeout is over; 0: it is given up. It
 * is kept if it was made again already, so that its connection is not at fault,
 * no upstream that has answered its last call can take its pieces, and one of
 * them is still of use.
 */
int64_t pieces_overdue_wait_us(const struct pieces *pieces,
			       const struct pieces_call *call);
/** Reports that a piece is not completed; `memory_exhausted`: for want of
 * result memory. */
void pieces_piece_failed(struct pieces *pieces, struct pieces_call *call,
			 const struct piece *piece, bool memory_exhausted);
/**
 * Ends and frees a call, all pieces of which have been reported. `running` and
 * `waiting`: calls of other clients that the upstream reported, or negative.
 */
void pieces_end_call(struct pieces *pieces, struct pieces_call *call,
		     enum pool_outcome outcome, int32_t running,
		     int32_t waiting);
/**
 * An upstream to query now for its free result memory, or NULL: what other
 * dispatchers left there is unknown, or was counted and may have been freed.
 * The upstream counts as queried.
 */
struct pool_upstream *pieces_next_memory_query(struct pieces *pieces);
/** The upstream's answer: bounds of its free memory when `own_bytes` of this
 * queue's results were counted there. */
void pieces_memory_reported(struct pieces *pieces,
			    struct pool_upstream *upstream, int64_t own_bytes,
			    int64_t min_bytes, int64_t max_bytes);
/** Pieces that admitted requests will still add, by priority. */
void pieces_set_committed(struct pieces *pieces, const uint32_t *by_rank,
			  uint32_t ranks);
/** Time until a piece of this priority, which can be on time, would be
 * completed if added now; at most about a minute. Includes committed work and
 * more urgent work that is expected to arrive meanwhile (queue_forecast.h). */
int64_t pieces_estimate_us(const struct pieces *pieces, int32_t priority);
/** The same for each of the priorities 0 to count - 1. */
void pieces_estimate_by_priority_us(const struct pieces *pieces, int64_t *out,
				    int32_t count);
/** The same for a piece that is late when it is added, behind all other late
 * ones; INT64_MAX: not within a minute. */
int64_t pieces_late_wait_us(const struct pieces *pieces);
/**
 * Sheds waiting groups (load_shedding.h): moves their pieces to `out` (of
 * struct piece) and returns the number of groups. The pieces of a group are
 * adjacent there.
 */
uint32_t pieces_shed(struct pieces *pieces, GArray *out);

#endif
