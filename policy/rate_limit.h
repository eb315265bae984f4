/**
 * Rate limit that an upstream advertises in its answers while it is overloaded:
 * requests a second from all entries together.
 *
 * The newest answer to any entry decides: it advertises a limit, or none, which
 * withdraws an earlier one.
 *
 * Entries enforce a limit jointly without a message per request. Each entry has
 * a fraction of the limit, and time is divided into slots in each of which it
 * may send once. The fractions add up to less than the limit whichever entries
 * can reach each other:
 *
 * - The owner of a service is the entry that places or dispatches for it.
 *   It has RATE_LIMIT_OWNER_FRACTION, reduced to the share of the fleet that
 *   it can reach. So two groups of entries that are partitioned from each
 *   other have one limit between them. A new owner has
 *   RATE_LIMIT_NEW_OWNER_FRACTION, as its predecessor may not know yet.
 * - The other entries, which send only while the owner does not answer, divide
 *   RATE_LIMIT_OTHERS_FRACTION among all entries.
 * - Without an owner, entries divide RATE_LIMIT_NO_OWNER_FRACTION evenly. It is
 *   smaller because hosts have no common clock, so slots of many entries may
 *   coincide.
 *
 * An unused slot of one of many entries expires after
 * RATE_LIMIT_SLOT_VALID_US; otherwise all entries could save a slot and use
 * them at the same time.
 */
#ifndef RATE_LIMIT_H
#define RATE_LIMIT_H

#include "base/lp_clock.h"

#include <stdbool.h>
#include <stdint.h>

#define RATE_LIMIT_OWNER_FRACTION 0.9
#define RATE_LIMIT_NEW_OWNER_FRACTION 0.45
#define RATE_LIMIT_OTHERS_FRACTION 0.1
#define RATE_LIMIT_NO_OWNER_FRACTION 0.6
/** Time for which an owner is new. By then its predecessor has noticed that it
 * does not reach the other entries. */
#define RATE_LIMIT_NEW_OWNER_US (4 * LP_US_PER_S)
#define RATE_LIMIT_SLOT_VALID_US (1 * LP_US_PER_S)
/** Lowest limit that is enforced. With a lower one no request would be sent
 * whose answer could withdraw the limit. */
#define RATE_LIMIT_MIN_PER_S 0.2

/** The known limit of one upstream; all zero: none. */
struct rate_limit {
	bool advertised;
	double per_s;	      /**< of all entries; 0 if not advertised */
	int64_t answered_us;  /**< time of the newest answer; 0: none */
	int64_t withdrawn_us; /**< time of the withdrawing answer */
	int64_t broadcast_us; /**< last broadcast to the other entries */
	int64_t last_sent_us; /**< this entry's last request under the limit */
};

/** What an answer of the upstream advertises. */
struct rate_limit_report {
	bool advertised;
	double per_s;
	int64_t answered_us;
};

/** This entry's share of the limits of a service's upstreams. */
struct rate_limit_share {
	double fraction; /**< of the limit, 0 to 1 */
	/** Offset of the slots, as a fraction of one, different for each
	 * entry; 0 to 1. */
	double phase;
	int64_t slot_valid_us; /**< part of a slot that may be used; 0: all */
};

/** What an entry knows of the fleet of all entries; determines its share. */
struct rate_limit_fleet {
	uint32_t reachable_entries; /**< including this one */
	uint32_t known_entries;	    /**< recently reachable or listed, including
				       this one */
	bool has_owner;		    /**< one of them is the owner */
	bool is_owner;		    /**< this entry is the owner */
	int64_t owner_for_us;	    /**< since when, as a duration */
};

/** Apply a report unless a newer one is known. Returns whether it changed the
 * limit. */
bool rate_limit_update(struct rate_limit *limit,
		       const struct rate_limit_report *report);
/** Whether to broadcast the known limit again after an answer that confirms it,
 * because entries may have missed the last broadcast. */
bool rate_limit_needs_broadcast(const struct rate_limit *limit, int64_t now_us);
/** Determine this entry's share. `phase` is left at 0. */
struct rate_limit_share
rate_limit_find_share(const struct rate_limit_fleet *fleet);
/** Time until this entry may send a request; 0: now. */
int64_t rate_limit_wait_us(const struct rate_limit *limit,
			   const struct rate_limit_share *share,
			   int64_t now_us);
/** This entry's share in requests a second. Only valid while a limit is
 * advertised. */
double rate_limit_share_per_s(const struct rate_limit *limit,
			      const struct rate_limit_share *share);
/** Record that a request is sent. */
void rate_limit_note_sent(struct rate_limit *limit, int64_t now_us);

#endif
