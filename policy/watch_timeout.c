#include "policy/watch_timeout.h"

#include <glib.h>

/* The shortest random fraction of the timeout. */
#define FRACTION_MIN 0.05

int64_t watch_timeout_next_us(const struct watch_timeout_call *call,
			      double random)
{
	double fraction = FRACTION_MIN + (1.0 - FRACTION_MIN) * random;

	if (!call->is_fleet ||
	    (!call->had_change && call->wait_us == call->previous_wait_us))
		return call->wait_us;
	return (int64_t)(fraction * (double)call->wait_us);
}
