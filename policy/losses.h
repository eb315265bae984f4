/**
 * Requests that were lost with an upstream, until it is known whether the
 * upstream has ended or only a connection to it.
 *
 * A reset, a garbled answer or silence may come of the network, of a full or a
 * draining upstream, or of its end; only the last says anything about the
 * request. So a loss is kept for a while and comes to count when the upstream's
 * life is known to be over: its host refuses connections, another process
 * answers at its address, or it says a new start. If nothing of this is seen,
 * it is forgotten.
 */
#ifndef LOSSES_H
#define LOSSES_H

#include "base/lp_clock.h"

#include <glib.h>
#include <stdbool.h>

/** A loss that nothing was found out about is forgotten; also how long an end
 * is remembered for losses that show later. An upstream that starts again under
 * its id says so within some heartbeats. */
#define LOSSES_KEEP_US (10 * LP_US_PER_S)

struct losses;

struct loss {
	uint64_t request; /**< digest of its content */
	uint64_t life;	  /**< of the upstream */
	uint32_t round;	  /**< quarantine_round() then */
	int64_t began_us; /**< when it was sent there */
	int64_t lost_us;
};

enum losses_word {
	LOSSES_ASK,   /**< the first one there: find out what became of it */
	LOSSES_WAIT,  /**< that is being found out already */
	LOSSES_ENDED, /**< it is known to have ended: the loss counts */
};

struct losses *losses_create(const struct lp_clock *clock);
void losses_destroy(struct losses *losses);
/**
 * It had ended before: `loss->lost_us` becomes the time of the end if that was
 * earlier. What was sent after an end met a new process that the list does not
 * tell apart yet: that one's end is to be found out again.
 */
enum losses_word losses_add(struct losses *losses, struct loss *loss);
/**
 * A life is over: what was lost with it (struct loss) is appended to `out`.
 * Returns whether that is news. `restarted`: it says a new start, else nobody
 * is there. Of the second, what someone was seen alive after did not end it.
 */
bool losses_ended(struct losses *losses, uint64_t life, bool restarted,
		  GArray *out);
/**
 * It was asked about, and nothing was found out: the next loss there is to be
 * asked about anew. `seen_alive`: someone takes connections there, who may be
 * another life of it; only a new start tells.
 */
void losses_not_found(struct losses *losses, uint64_t life, bool seen_alive);
/** Drop what is older than LOSSES_KEEP_US. */
void losses_forget(struct losses *losses);

#endif
