/**
 * Staggered Retry-After times for clients whose requests are refused because a
 * service takes only so many requests a second. Each client gets a later time
 * than the one before, at the rate of the service, so that they do not all
 * return at once.
 */
#ifndef RETRY_SCHEDULE_H
#define RETRY_SCHEDULE_H

#include <stdint.h>

/** Retry times assigned so far; all zero: none. */
struct retry_schedule {
	int64_t next_retry_us;
};

/**
 * Assign the next retry time; returned relative to now. It is at least
 * `wait_us` and follows the previous one at the rate `per_s`. Times are
 * assigned up to two seconds beyond `wait_us`, as clients tend to give up on
 * longer ones; beyond that, the schedule starts again at `wait_us`.
 */
int64_t retry_schedule_next_us(struct retry_schedule *schedule, int64_t wait_us,
			       double per_s, int64_t now_us);

#endif
