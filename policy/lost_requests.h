/**
 * Requests that were in flight at an upstream when its connection failed, kept
 * until it is known whether the upstream terminated or only the connection
 * failed.
 *
 * A reset, a malformed answer or a timeout may be caused by the network, by an
 * overloaded or draining upstream, or by its termination; only the last is
 * evidence against the request. So a lost request is kept for a while and
 * counts once the upstream's incarnation is known to have terminated: its host
 * refuses connections, another process answers at its address, or its answers
 * or the list give a new start time. If none of this is observed, the lost
 * request is dropped.
 */
#ifndef LOST_REQUESTS_H
#define LOST_REQUESTS_H

#include "base/lp_clock.h"
#include "policy/quarantine.h"

#include <glib.h>
#include <stdbool.h>

/** Retention of lost requests whose cause stays undetermined, and of
 * terminations for lost requests that are detected later. An upstream that
 * restarts under its id gives its new start time within some heartbeats. */
#define LOST_REQUESTS_RETENTION_US (10 * LP_US_PER_S)

struct lost_requests;

struct lost_request {
	struct quarantine_keys keys; /**< the first: of its content */
	uint64_t incarnation;	     /**< of the upstream; policy/pool.h */
	bool had_begun;		     /**< its answer had begun */
	int64_t sent_us;
	int64_t lost_us;
};

enum lost_request_status {
	LOST_REQUEST_PROBE_NEEDED,  /**< the caller must probe the upstream */
	LOST_REQUEST_PROBE_PENDING, /**< a probe is under way */
	LOST_REQUEST_UPSTREAM_TERMINATED, /**< the lost request counts */
};

struct lost_requests *lost_requests_create(const struct lp_clock *clock);
void lost_requests_destroy(struct lost_requests *lost_requests);
/**
 * Add a lost request. If the upstream is known to have terminated,
 * `lost->lost_us` is set to the time of the termination if that was earlier. A
 * request sent after the termination reached a new process that the list does
 * not distinguish yet: whether that one terminated must be probed again.
 */
enum lost_request_status lost_requests_add(struct lost_requests *lost_requests,
					   struct lost_request *lost);
/**
 * Record that an incarnation has terminated and append the requests lost with
 * it (struct lost_request) to `out`. Returns whether this was not known yet.
 * `restarted`: a new start time was observed; otherwise nobody accepts
 * connections at its address. In that case, a request does not count if the
 * address accepted connections after the request's connection had failed.
 */
bool lost_requests_note_termination(struct lost_requests *lost_requests,
				    uint64_t incarnation, bool restarted,
				    GArray *out);
/**
 * Record that a probe did not determine whether the incarnation has terminated:
 * the next lost request is to be probed again. `accepts_connections`: a process
 * accepts connections at the address. It may be another incarnation, so only a
 * new start time can show that this one has terminated.
 */
void lost_requests_note_undetermined(struct lost_requests *lost_requests,
				     uint64_t incarnation,
				     bool accepts_connections);
/** Drop what is older than LOST_REQUESTS_RETENTION_US. */
void lost_requests_expire(struct lost_requests *lost_requests);

#endif
