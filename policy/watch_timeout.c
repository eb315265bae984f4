#include "policy/watch_timeout.h"

#include <glib.h>

/* Each wait grows by this for each member from the ninth on: eight calls of the
 * fleet begin in the time of one alone. */
#define PER_MEMBER 0.125
/* A call that went silent just before its entry lost all others too ends before
 * the time for a change and the slack of a disturbance are over together. */
#define MOST 3.0
/* A call that is drawn to be short still waits for this part. */
#define PART_LEAST 0.05

int64_t watch_timeout_fleet_us(int64_t alone_us, uint32_t members)
{
	double times = CLAMP(PER_MEMBER * members, 1.0, MOST);

	return (int64_t)(times * (double)alone_us);
}

int64_t watch_timeout_next_us(const struct watch_timeout_call *call,
			      double drawn)
{
	double part = PART_LEAST + (1.0 - PART_LEAST) * drawn;

	if (!call->is_fleet ||
	    (!call->had_change && call->wait_us == call->previous_wait_us))
		return call->wait_us;
	return (int64_t)(part * (double)call->wait_us);
}
