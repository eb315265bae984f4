/**
 * Notices of upstreams in the header of their answers: an advertised rate limit
 * (policy/rate_limit.h), a drain notice, and pushback (Retry-After).
 *
 * Every answer of an upstream is examined, to callers' requests and to calls of
 * the entry itself, and its notices are applied to the pool. Pushback concerns
 * this entry only. Rate limits and drain notices are sent to all peers, and to
 * each peer on first contact, since a limit holds for all entries together and
 * a peer may send a request before it has received an answer of its own. A
 * lost datagram with a limit is made up for by a later answer. A draining
 * upstream may give no later answer, so a drain notice is sent twice.
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
/** Exchange notices with these peers; NULL: none. Borrowed. */
void direct_notices_set_peers(struct direct_notices *notices,
			      struct direct_peers *peers);
/** Apply the notices in the header of an answer of this upstream. */
void direct_notices_receive(struct direct_notices *notices,
			    struct pool_upstream *upstream,
			    const struct direct_reply *reply);

#endif
