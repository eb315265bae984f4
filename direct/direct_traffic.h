/**
 * Counters of the datagrams that this entry exchanges with its peers, by kind.
 *
 *   linepier_peer_datagrams_total{direction="sent",kind="H"}
 *   linepier_peer_datagram_bytes_total{direction="sent",kind="H"}
 *
 * The kind is the datagram's last byte. Bytes are those of the payload.
 */
#ifndef DIRECT_TRAFFIC_H
#define DIRECT_TRAFFIC_H

#include "base/lp_counter.h"

#include <stddef.h>

/** Where a datagram was counted. */
enum direct_traffic_direction {
	DIRECT_TRAFFIC_SENT,
	DIRECT_TRAFFIC_RECEIVED,
	DIRECT_TRAFFIC_MALFORMED, /**< received and dropped */
	DIRECT_TRAFFIC_DIRECTIONS,
};

struct direct_traffic;

/** `counters` are borrowed; NULL: nothing is counted. */
struct direct_traffic *direct_traffic_create(struct lp_counters *counters);
void direct_traffic_destroy(struct direct_traffic *traffic);
/** Counts a datagram of `size` bytes. */
void direct_traffic_count(struct direct_traffic *traffic,
			  enum direct_traffic_direction direction, char kind,
			  size_t size);

#endif
