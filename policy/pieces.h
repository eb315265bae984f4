/**
 * Pieces that wait for one service, and the calls that carry them.
 *
 * An upstream does one call at a time, and a call costs much more than a
 * piece. So an entry has one call under way and gathers pieces while it runs;
 * it opens a further one when a whole batch waits or the most urgent piece
 * cannot wait. Pieces of different requests share a call.
 */
#ifndef PIECES_H
#define PIECES_H

#include "policy/pool.h"

struct pieces;

struct piece {
	void *request; /**< whose it is; opaque */
	uint32_t stage;
	uint32_t index;
	int64_t due_us;	  /**< begun by then, its request is on time */
	int64_t until_us; /**< of no use after it */
	int32_t priority; /**< 0 goes first */
	int64_t bytes;	  /**< of its result, about */
	bool has_inputs;
	bool holds_room;    /**< its inputs take up scarce room meanwhile */
	bool split;	    /**< others of its stage and request went ahead */
	const char *near;   /**< domain of what it takes in, or of who takes
			       it; NULL: no matter. Interned. */
	int64_t near_bytes; /**< that would cross domains elsewhere */
};

struct pieces_options {
	const struct lp_clock *clock;
	struct pool *pool;
	const char *service; /**< copied */
	const char *domain;  /**< own; copied */
	uint64_t self;	     /**< sets this entry apart from others */
	uint32_t batch_max;
	int64_t call_us;    /**< a call's fixed time */
	int64_t piece_us;   /**< and that of each piece */
	int64_t room_bytes; /**< for results, one upstream; 0: no limit */
};

/** A call to be made. */
struct pieces_call {
	struct pool_upstream *upstream; /**< held by the call */
	GArray *pieces;			/**< of struct piece */
	int64_t started_us;
	int64_t expected_us; /**< its time, waiting included */
};

struct pieces *pieces_create(const struct pieces_options *options);
void pieces_destroy(struct pieces *pieces);
/** The service's figures have changed. */
void pieces_set(struct pieces *pieces, const struct pieces_options *figures);
void pieces_add(struct pieces *pieces, const struct piece *piece);
/** The upstream that this entry goes to first, by its hash; 0: none. */
void pieces_set_home(struct pieces *pieces, uint64_t upstream);
/** A request has ended: what waits for it is dropped. */
void pieces_drop(struct pieces *pieces, const void *request);
/** The next call to be made now, or NULL. End it by pieces_end(). */
struct pieces_call *pieces_next(struct pieces *pieces);
/** When pieces_next() may have a call although nothing happens; 0: never. */
int64_t pieces_wake_us(const struct pieces *pieces);
/**
 * A call is over; frees it. `running` and `waiting`: calls of others that the
 * upstream told of, or negative.
 */
void pieces_end(struct pieces *pieces, struct pieces_call *call,
		enum pool_outcome outcome, int32_t running, int32_t waiting);
/** Time until a piece of this priority that came now would be made. */
int64_t pieces_estimate_us(const struct pieces *pieces, int32_t priority);

#endif
