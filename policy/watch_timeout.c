#include "policy/watch_timeout.h"

#include <glib.h>

/* The timeout grows by this for each member from the ninth on: the fleet starts
 * eight calls in the timeout of a single entry. */
#define FACTOR_PER_MEMBER 0.125
/* With this bound, a call that was lost just before its entry also lost contact
 * with all others still ends within the time allowed for a change plus the
 * slack allowed for a disturbance. */
#define FACTOR_MAX 3.0
/* The shortest random fraction of the timeout. */
#define FRACTION_MIN 0.05

int64_t watch_timeout_fleet_us(int64_t single_us, uint32_t members)
{
	double factor = CLAMP(FACTOR_PER_MEMBER * members, 1.0, FACTOR_MAX);

	return (int64_t)(factor * (double)single_us);
}

int64_t watch_timeout_next_us(const struct watch_timeout_call *call,
			      double random)
{
	double fraction = FRACTION_MIN + (1.0 - FRACTION_MIN) * random;

	if (!call->is_fleet ||
	    (!call->had_change && call->wait_us == call->previous_wait_us))
		return call->wait_us;
	return (int64_t)(fraction * (double)call->wait_us);
}
