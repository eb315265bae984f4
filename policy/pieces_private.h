/** Internal declarations shared by the files of the queue of pieces. */
#ifndef PIECES_PRIVATE_H
#define PIECES_PRIVATE_H

#include "policy/pieces.h"
#include "policy/queue_forecast.h"

struct pieces {
	struct pieces_options options;
	char *service;
	GArray *waiting;     /* of struct piece */
	GPtrArray *calls;    /* in flight; owned by the caller */
	uint32_t shards;     /* of the service */
	uint64_t own_shards; /* bitmask of the shards of this queue */
	struct queue_forecast forecast;
	int64_t backlog_since_us; /* a full call is waiting since; 0: is not */
};

static inline int64_t pieces_now_us(const struct pieces *pieces)
{
	return lp_now_us(pieces->options.clock);
}

static inline struct piece *pieces_waiting(const struct pieces *pieces, guint i)
{
	return &g_array_index(pieces->waiting, struct piece, i);
}

/** Expected time of a call with so many pieces at an upstream of normal speed.
 */
static inline int64_t pieces_call_time_us(const struct pieces *pieces,
					  uint32_t count)
{
	return pieces->options.call_us + count * pieces->options.piece_us;
}

static inline const GPtrArray *pieces_upstreams(const struct pieces *pieces)
{
	static const GPtrArray none;
	const GPtrArray *list =
		pool_service_upstreams(pieces->options.pool, pieces->service);

	return list ? list : &none;
}

/* ---- pieces.c: upstreams ---- */

bool pieces_is_own_upstream(const struct pieces *pieces,
			    const struct pool_upstream *upstream);
/** Whether this queue may call the upstream now, if it is idle. */
bool pieces_is_usable(const struct pieces *pieces,
		      const struct pool_upstream *upstream);
/** Time until the upstream has finished calls of this queue and of others; 0:
 * it is idle. */
int64_t pieces_time_until_idle_us(const struct pieces *pieces,
				  const struct pool_upstream *upstream);
/** Result memory of the upstream that is free, as far as is known. */
int64_t pieces_free_memory_bytes(const struct pieces *pieces,
				 const struct pool_upstream *upstream);

/* ---- pieces_order.c: the order in which pieces are sent ---- */

/** A piece that is due before this time is late: the next call carries as much
 * of the queue as fits, and each further piece makes the call longer. */
int64_t pieces_lateness_cutoff_us(const struct pieces *pieces);
/** Position in the order: lower ranks are sent first. */
int64_t pieces_rank_us(const struct piece *piece, int64_t lateness_cutoff_us);
/** Sort the waiting pieces; those of one group become adjacent. */
void pieces_sort(struct pieces *pieces);
/** End of the group that begins at `start`. A group is the pieces of one stage
 * of one request, which are adjacent in the order. */
guint pieces_group_end(const struct pieces *pieces, guint start);

/* ---- pieces_forecast.c ---- */

/** Capacity of the upstreams that this queue may call. */
struct pieces_capacity {
	double total_speed;   /**< in upstreams of normal speed */
	double pieces_per_us; /**< in full calls, as far as memory permits */
	int64_t idle_in_us;   /**< time until the first is idle */
	bool known;	      /**< there are upstreams */
};

struct pieces_capacity pieces_measure_capacity(const struct pieces *pieces);

#endif
