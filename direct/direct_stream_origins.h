/**
 * The software versions that began streams (policy/stream_origins.h),
 * replicated to a few peers for each stream, and looked up when a caller
 * resumes one.
 *
 * A record is sent to each of three peers, in one datagram, when the first
 * event is forwarded. If all replicas are lost, the stream is unknown: it may
 * still continue if the lists of upstreams show that a single version can have
 * begun it (direct_version_history.h).
 *
 * All functions must be called on the event loop's thread. Times are in
 * microseconds.
 */
#ifndef DIRECT_STREAM_ORIGINS_H
#define DIRECT_STREAM_ORIGINS_H

#include "policy/stream_origins.h"

struct direct;
struct direct_peers;
struct direct_stream_origins;

struct direct_stream_origins *
direct_stream_origins_create(struct direct *direct);
void direct_stream_origins_destroy(struct direct_stream_origins *origins);
void direct_stream_origins_set_peers(struct direct_stream_origins *origins,
				     struct direct_peers *peers);
/** Record which version delivered the first event of an attempt. `lifetime_us`:
 * for which its caller waits; 0: unknown. */
void direct_stream_origins_record(struct direct_stream_origins *origins,
				  const char *attempt, uint64_t version,
				  int64_t lifetime_us);
/** Send all records to the peers that are their replicas without this entry, as
 * it terminates. */
void direct_stream_origins_hand_over(struct direct_stream_origins *origins);

/** The list of upstreams was read: lookups that wait for it may end. */
void direct_stream_origins_check_list(struct direct_stream_origins *origins);

/** How a stream's origin was found, for log lines. */
enum direct_stream_origin_source {
	DIRECT_STREAM_ORIGIN_OWN,  /**< this entry's record */
	DIRECT_STREAM_ORIGIN_PEER, /**< a peer's record */
	DIRECT_STREAM_ORIGIN_SOLE, /**< no other version can have begun it */
};

/** What is known of a stream that a caller resumes. */
struct direct_stream_origin {
	enum stream_origin_status status;
	enum direct_stream_origin_source source;
	uint64_t version; /**< if it is known */
	uint32_t queried; /**< peers */
	uint32_t answered;
};

/** Passes the origin of a stream. */
typedef void (*direct_stream_origin_fn)(
	void *userdata, const struct direct_stream_origin *origin);

/** A lookup for the origin of a stream. */
struct direct_stream_lookup {
	const char *attempt; /**< that the caller names; NULL: none */
	const char *service; /**< the only one that can have begun it; NULL:
				there are several. Must outlive the lookup */
	direct_stream_origin_fn on_found;
	void *userdata;
};

/**
 * Find the origin of a stream: in own records, at peers, or by the list of
 * upstreams. `on_found` is called once, later, unless the lookup is cancelled.
 * Returns its number, never 0.
 */
uint64_t
direct_stream_origins_lookup(struct direct_stream_origins *origins,
			     const struct direct_stream_lookup *lookup);
/** No effect on a lookup that has ended. */
void direct_stream_origins_cancel(struct direct_stream_origins *origins,
				  uint64_t number);

#endif
