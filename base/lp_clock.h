/** The clock, passed in as an interface so that tests can own time. */
#ifndef LP_CLOCK_H
#define LP_CLOCK_H

#include <stdint.h>

#define LP_US_PER_MS INT64_C(1000)
#define LP_US_PER_S INT64_C(1000000)

struct lp_clock {
	/** Monotonic microseconds since an arbitrary origin. */
	int64_t (*now_us)(void *userdata);
	void *userdata;
};

/**
 * Time since the host's boot, also that in which it is suspended: leases,
 * deadlines and ages are over then for everyone else. Never set. Static; never
 * freed.
 */
const struct lp_clock *lp_clock_boot(void);

static inline int64_t lp_now_us(const struct lp_clock *clock)
{
	return clock->now_us(clock->userdata);
}

#endif
