/**
 * Which software version began each stream, for callers that resume a stream at
 * another entry.
 *
 * A caller names the attempt that delivered the first event of its stream. The
 * entry that served that attempt may have terminated since, or be cut off, so
 * each record is replicated to a few other entries, chosen by rendezvous hash
 * of the attempt: whoever gets the next attempt chooses the same ones without
 * knowing who served the first, and no message goes to all entries.
 *
 * A record lives as long as the stream's caller waits. An attempt for which two
 * versions were recorded is ambiguous, and stays so.
 *
 * Pure: the clock is passed in, and nothing is sent. Times are in microseconds.
 */
#ifndef STREAM_ORIGINS_H
#define STREAM_ORIGINS_H

#include "base/lp_clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Replicas of a record, and entries that are queried for one: more of them, as
 * entries may have started or terminated in between. */
#define STREAM_ORIGINS_REPLICAS 3
#define STREAM_ORIGINS_QUERIED 6
/** Longest lifetime of a record, and that of a stream whose caller gives no
 * deadline. */
#define STREAM_ORIGINS_LIFETIME_US (60 * LP_US_PER_S)

enum stream_origin_status {
	STREAM_ORIGIN_UNKNOWN,
	STREAM_ORIGIN_KNOWN,
	STREAM_ORIGIN_AMBIGUOUS,
};

struct stream_origins;

/** `capacity`: records that are kept; beyond it the oldest are dropped. */
struct stream_origins *stream_origins_create(const struct lp_clock *clock,
					     uint32_t capacity);
void stream_origins_destroy(struct stream_origins *origins);
/**
 * Record that `attempt`, the hash of its id, delivered the first event of a
 * stream, from an upstream of `version`. A record that exists keeps the later
 * end of the two lifetimes. `version` 0: the attempt is ambiguous.
 */
void stream_origins_add(struct stream_origins *origins, uint64_t attempt,
			uint64_t version, int64_t lifetime_us);
/** Find the version that began a stream. `*version` is set only if it is known.
 */
enum stream_origin_status stream_origins_find(struct stream_origins *origins,
					      uint64_t attempt,
					      uint64_t *version);
/** Number of records, the expired ones included that are not dropped yet. */
uint32_t stream_origins_count(const struct stream_origins *origins);
/** Calls `fn` for each record that has not expired, the oldest first. `version`
 * 0: ambiguous. It must not change the records. */
void stream_origins_foreach(struct stream_origins *origins,
			    void (*fn)(void *userdata, uint64_t attempt,
				       uint64_t version, int64_t left_us),
			    void *userdata);
/**
 * Choose the entries that are replicas for an attempt, or are queried for it:
 * the first `max` by rendezvous hash among `entries`, hashes of their
 * addresses. Writes them to `chosen` and returns how many they are. `max`: at
 * most STREAM_ORIGINS_QUERIED.
 */
uint32_t stream_origins_choose(uint64_t attempt, const uint64_t *entries,
			       uint32_t count, uint32_t max, uint64_t *chosen);

#endif
