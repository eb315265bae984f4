/**
 * Detects whether an upstream whose connections failed has terminated, and
 * reports the requests that were in flight there (lost requests).
 *
 * The first lost request of an upstream starts a liveness probe of its address:
 * if the host refuses the connection, the process has terminated. An answer of
 * another process at the address, and a new start under the same id, show the
 * same. If the host does not respond at all, a few more attempts are made; an
 * upstream that is merely unreachable does not count as terminated.
 *
 * All functions must be called on the event loop's thread.
 */
#ifndef DIRECT_TERMINATIONS_H
#define DIRECT_TERMINATIONS_H

#include "policy/lost_requests.h"
#include "policy/pool.h"

struct direct;
struct direct_terminations;

/** How a termination was detected. */
enum direct_termination_evidence {
	DIRECT_TERMINATION_REFUSED,   /**< its host refuses connections */
	DIRECT_TERMINATION_REPLACED,  /**< another process has the address */
	DIRECT_TERMINATION_RESTARTED, /**< it reported a new start time */
};

struct direct_terminations_options {
	struct direct *direct;
	/** An upstream has terminated without draining; `lost`: requests of
	 * this entry's callers that were in flight there. Borrowed. */
	void (*terminated)(void *userdata, const struct lost_request *lost,
			   guint count);
	void *userdata;
};

struct direct_terminations *
direct_terminations_create(const struct direct_terminations_options *options);
void direct_terminations_destroy(struct direct_terminations *terminations);
/**
 * Records a lost request; fills in the incarnation and time of `lost`. Ignored
 * if the upstream is draining, or is no longer listed and not replaced by a
 * newer incarnation: its termination is expected.
 */
void direct_terminations_add_lost_request(
	struct direct_terminations *terminations,
	const struct pool_upstream *upstream, struct lost_request lost);
/** Whether a newer incarnation of an upstream is known, so that this one has
 * terminated. */
bool direct_terminations_is_replaced(
	const struct direct_terminations *terminations,
	const struct pool_upstream *upstream);
/** Records that an upstream has terminated, and reports its lost requests. */
void direct_terminations_confirm(struct direct_terminations *terminations,
				 const struct pool_upstream *upstream,
				 enum direct_termination_evidence evidence);

#endif
