/**
 * When callers may come back that are refused because a service takes only so
 * many requests a second: one after the other, as it can take them, so that
 * they are not all back at once for one place.
 */
#ifndef RETRY_SCHEDULE_H
#define RETRY_SCHEDULE_H

#include <stdint.h>

/** Turns that were promised; all zero: none. */
struct retry_schedule {
	int64_t next_retry_us;
};

/**
 * The next turn, in time from now: `wait_us` at the least, behind those before
 * it at this rate. Turns are given out for two seconds: callers who were told
 * more would rather go, and whoever comes then is told to come sooner.
 */
int64_t retry_schedule_next_us(struct retry_schedule *turns, int64_t wait_us,
			       double per_s, int64_t now_us);

#endif
