/**
 * The requests a second that an upstream takes from all entries together, as
 * it says in its answers while it is in need.
 *
 * The newest answer counts, whichever entry had it: one that names a limit,
 * or one that names none any more.
 *
 * Entries keep to a limit together without a message a request: each has a
 * part of it, and one slot after the other in which it may send once. The
 * parts add up to less than the limit whoever can hear whom:
 *
 * - Whoever places or dispatches for a service has RATE_LIMIT_OWNER_FRACTION,
 * and only as much of it as it hears of the fleet. So two groups of entries
 * that are cut off from each other have one limit between them. One that has
 * just taken over has RATE_LIMIT_NEW_OWNER_FRACTION: the one before may not
 * know yet.
 * - The others, who send there only while that one does not answer, divide
 *   RATE_LIMIT_OTHERS_FRACTION among all.
 * - Where nobody places, entries divide RATE_LIMIT_NO_OWNER_FRACTION evenly.
 * Hosts have no clock in common, so slots of many entries may fall together: it
 * is less.
 *
 * A slot that one of many does not use is lost after RATE_LIMIT_SLOT_VALID_US,
 * or they could all save one up and use them at once.
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
/** An owner is new for so long: by then the one before has noticed that it
 * does not hear the others. */
#define RATE_LIMIT_NEW_OWNER_US (4 * LP_US_PER_S)
#define RATE_LIMIT_SLOT_VALID_US (1 * LP_US_PER_S)
/** Less than this is not kept to, or nobody would hear that it has ended. */
#define RATE_LIMIT_MIN_PER_S 0.2

/** What is known of one upstream; all zero: it has named none. */
struct rate_limit {
	bool advertised;
	double per_s;	     /**< of all entries; only if it is named */
	int64_t answered_us; /**< when the answer came that says so; 0: never */
	int64_t withdrawn_us; /**< when one came that named none any more */
	int64_t broadcast_us; /**< when entries were told last */
	int64_t last_sent_us; /**< our last request there while it is named */
};

/** What an answer said of it. */
struct rate_limit_report {
	bool advertised;
	double per_s;
	int64_t answered_us;
};

/** Our share of the limits of a service. */
struct rate_limit_share {
	double fraction; /**< of the limit, 0 to 1 */
	/** Where our slots begin, unlike those of others; 0 to 1. */
	double phase;
	int64_t slot_valid_us; /**< a slot may be used for so long; 0: all of it
				*/
};

/** What an entry knows of its fleet, for its share of a limit. */
struct rate_limit_fleet {
	uint32_t reachable_entries; /**< entries heard now, ourselves among them
				     */
	uint32_t known_entries; /**< entries heard or named lately, likewise */
	bool has_owner;		/**< one of them sends for all */
	bool is_owner;		/**< and it is us ... */
	int64_t owner_for_us;	/**< ... for so long */
};

/** Take a word, unless a newer one is known. Returns whether it changes what
 * is known. */
bool rate_limit_update(struct rate_limit *limit,
		       const struct rate_limit_report *word);
/** An answer has confirmed what is known: whether other entries are to be told
 * again. They have not been for a while, and may have missed it. */
bool rate_limit_needs_broadcast(const struct rate_limit *limit, int64_t now_us);
/** Our share of the limits of a service; its phase is left at 0. */
struct rate_limit_share
rate_limit_find_share(const struct rate_limit_fleet *fleet);
/** Time until we may send a request there; 0: now. */
int64_t rate_limit_wait_us(const struct rate_limit *limit,
			   const struct rate_limit_share *share,
			   int64_t now_us);
/** Requests a second that we may send there; only if it is named. */
double rate_limit_share_per_s(const struct rate_limit *limit,
			      const struct rate_limit_share *share);
/** A request is sent there. */
void rate_limit_note_sent(struct rate_limit *limit, int64_t now_us);

#endif
