#include "policy/outage_wait.h"

#include "base/lp_clock.h"

#include <glib.h>

/* An entry that has just started is configured within about 100 ms. */
#define WAIT_MIN_US (100 * LP_US_PER_MS)
/* Upstreams whose keys expired register again within about two seconds after
 * the service has returned; callers wait no longer than a third of their
 * timeout anyway. */
#define WAIT_MAX_US (2500 * LP_US_PER_MS)

int64_t outage_wait_us(int64_t lasted_us, uint64_t hash)
{
	int64_t wait_us = CLAMP(lasted_us, WAIT_MIN_US, WAIT_MAX_US);

	return wait_us + (int64_t)(hash % (uint64_t)(wait_us / 2));
}
