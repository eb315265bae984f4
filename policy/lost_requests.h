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
#ifndef LOST_REQUESTS_H
#define LOST_REQUESTS_H

#include "base/lp_clock.h"

#include <glib.h>
#include <stdbool.h>

/** A loss that nothing was found out about is forgotten; also how long an end
 * is remembered for losses that show later. An upstream that starts again under
 * its id says so within some heartbeats. */
#define LOST_REQUESTS_RETENTION_US (10 * LP_US_PER_S)

struct lost_requests;

struct lost_request {
	uint64_t request_digest; /**< digest of its content */
	uint64_t incarnation;	 /**< of the upstream */
	uint32_t round;		 /**< quarantine_round() then */
	int64_t sent_us;	 /**< when it was sent there */
	int64_t lost_us;
};

enum lost_request_status {
	LOST_REQUEST_PROBE_NEEDED,  /**< the first one there: find out what
				       became of it */
	LOST_REQUEST_PROBE_PENDING, /**< that is being found out already */
	LOST_REQUEST_UPSTREAM_TERMINATED, /**< it is known to have ended: the
					     loss counts */
};

struct lost_requests *lost_requests_create(const struct lp_clock *clock);
void lost_requests_destroy(struct lost_requests *losses);
/**
 * It had ended before: `loss->lost_us` becomes the time of the end if that was
 * earlier. What was sent after an end met a new process that the list does not
 * tell apart yet: that one's end is to be found out again.
 */
enum lost_request_status lost_requests_add(struct lost_requests *losses,
					   struct lost_request *loss);
/**
 * A life is over: what was lost with it (struct lost_request) is appended to
 * `out`. Returns whether that is news. `restarted`: it says a new start, else
 * nobody is there. Of the second, what someone was seen alive after did not end
 * it.
 */
bool lost_requests_note_termination(struct lost_requests *losses, uint64_t life,
				    bool restarted, GArray *out);
/**
 * It was asked about, and nothing was found out: the next loss there is to be
 * asked about anew. `seen_alive`: someone takes connections there, who may be
 * another life of it; only a new start tells.
 */
void lost_requests_note_undetermined(struct lost_requests *losses,
				     uint64_t life, bool seen_alive);
/** Drop what is older than LOST_REQUESTS_RETENTION_US. */
void lost_requests_expire(struct lost_requests *losses);

#endif
