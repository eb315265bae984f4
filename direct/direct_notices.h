/**
 * What upstreams say of themselves in their answers, whatever was asked: that
 * they take only so many requests a second (policy/rate_limit.h), leave, or
 * want nothing of this entry for a while.
 *
 * Every answer of an upstream is read here, of requests as of calls of our own,
 * and what it changes is believed in the pool. Rest is asked of one entry; of
 * the others, members are told, and each that is met: a limit holds for all
 * entries together, and who sends there next may not have had an answer yet. A
 * word of a limit that is lost is told again with a later answer; of one that
 * leaves there may be none, so it is told twice.
 */
#ifndef DIRECT_NOTICES_H
#define DIRECT_NOTICES_H

#include "base/lp_counter.h"
#include "base/lp_event.h"
#include "direct/direct_codec.h"
#include "direct/direct_peers.h"

struct direct_notices;

struct direct_notices_options {
	const struct lp_clock *clock;
	struct lp_event_log *log;
	struct lp_counters *counters;
	struct pool *pool;
};

struct direct_notices *
direct_notices_create(const struct direct_notices_options *options);
void direct_notices_destroy(struct direct_notices *notices);
/** Tell these and hear them; NULL: nobody. Borrowed. */
void direct_notices_set_peers(struct direct_notices *notices,
			      struct direct_peers *peers);
/** The head of an answer of this upstream has come. */
void direct_notices_receive(struct direct_notices *notices,
			    struct pool_upstream *upstream,
			    const struct direct_reply *reply);

#endif
