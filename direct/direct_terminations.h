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
#ifndef DIRECT_TERMINATIONS_H
#define DIRECT_TERMINATIONS_H

#include "policy/losses.h"
#include "policy/pool.h"

struct direct;
struct direct_terminations;

/** How an end was found out. */
enum direct_termination_cause {
	DIRECT_TERMINATION_REFUSED,  /**< its host refuses connections */
	DIRECT_TERMINATION_REPLACED, /**< another process answers at its address
				      */
	DIRECT_TERMINATION_RESTARTED, /**< it has said a new start */
};

struct direct_terminations_options {
	struct direct *direct;
	/** An upstream has ended by itself; `lost`: what was under way there
	 * for callers of ours. Borrowed. */
	void (*ended)(void *userdata, const struct loss *lost, guint count);
	void *userdata;
};

struct direct_terminations *
direct_terminations_create(const struct direct_terminations_options *options);
void direct_terminations_destroy(struct direct_terminations *ends);
/**
 * A request was lost with this upstream. One that leaves, or has left the list,
 * may end as it pleases: that says nothing. Of `loss`, upstream and time are
 * filled in here.
 */
void direct_terminations_add_loss(struct direct_terminations *ends,
				  const struct pool_upstream *upstream,
				  struct loss loss);
/** It is known that this upstream has ended. */
void direct_terminations_confirm(struct direct_terminations *ends,
				 const struct pool_upstream *upstream,
				 enum direct_termination_cause how);

#endif
