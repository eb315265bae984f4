/**
 * Whether an upstream with which requests were lost has ended, and what was
 * under way there.
 *
 * The first loss at an upstream has its address asked for a connection: a host
 * that refuses one has no such process any more. An answer of another process,
 * and a new start under the same id, tell the same. A host that says nothing at
 * all is asked a few times; nobody is held to have ended what was merely cut
 * off.
 *
 * All functions belong to the loop's thread.
 */
#ifndef DIRECT_ENDS_H
#define DIRECT_ENDS_H

#include "policy/lost_requests.h"
#include "policy/pool.h"

struct direct;
struct direct_ends;

/** How an end was found out. */
enum direct_end {
	DIRECT_END_REFUSED,   /**< its host refuses connections */
	DIRECT_END_REPLACED,  /**< another process answers at its address */
	DIRECT_END_RESTARTED, /**< it has said a new start */
};

struct direct_ends_options {
	struct direct *direct;
	/** An upstream has ended by itself; `lost`: what was under way there
	 * for callers of ours. Borrowed. */
	void (*ended)(void *userdata, const struct lost_request *lost,
		      guint count);
	void *userdata;
};

struct direct_ends *
direct_ends_create(const struct direct_ends_options *options);
void direct_ends_destroy(struct direct_ends *ends);
/**
 * A request was lost with this upstream. One that leaves, or has left the list,
 * may end as it pleases: that says nothing. Of `loss`, upstream and time are
 * filled in here.
 */
void direct_ends_lost(struct direct_ends *ends,
		      const struct pool_upstream *upstream,
		      struct lost_request loss);
/** It is known that this upstream has ended. */
void direct_ends_saw(struct direct_ends *ends,
		     const struct pool_upstream *upstream, enum direct_end how);

#endif
