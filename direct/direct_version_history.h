/**
 * Which software versions the lists of upstreams have named
 * (policy/version_history.h), by the lists of this entry and those of its
 * peers.
 *
 * An entry that has restarted has read few lists. When two entries discover
 * each other, each sends its history to the other one, in one datagram.
 *
 * All functions must be called on the event loop's thread. Times are in
 * microseconds of the clock.
 */
#ifndef DIRECT_VERSION_HISTORY_H
#define DIRECT_VERSION_HISTORY_H

#include "policy/pool.h"

struct direct_peers;
struct direct_version_history;

struct direct_version_history_options {
	const struct lp_clock *clock;
	/** When the whole fleet started for the first time, if this is that
	 * start: no stream is older. 0: it is not. */
	int64_t first_start_us;
};

struct direct_version_history *direct_version_history_create(
	const struct direct_version_history_options *options);
void direct_version_history_destroy(struct direct_version_history *history);
void direct_version_history_set_peers(struct direct_version_history *history,
				      struct direct_peers *peers);
/** Add the list of upstreams, which was read at `read_us`. */
void direct_version_history_add_list(struct direct_version_history *history,
				     const struct pool *pool, int64_t read_us);
/** The list was read once more, unchanged, at `read_us`. */
void direct_version_history_confirm_list(struct direct_version_history *history,
					 int64_t read_us);
/** When the last list was read; 0: there is none. */
int64_t
direct_version_history_read_us(const struct direct_version_history *history);
/** The only version of a service that can have begun a stream since `since_us`;
 * 0: there are several, or it is not known. */
uint64_t direct_version_history_sole_version(
	const struct direct_version_history *history, const char *service,
	int64_t since_us);

#endif
