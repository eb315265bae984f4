#include "policy/backoff.h"

#include <glib.h>

/* The share of a wait that is random. */
#define JITTER_SHARE 0.3
/* Beyond this every bound is reached. */
#define DOUBLINGS_MAX 20

int64_t backoff_wait_us(const struct backoff *backoff, uint32_t failures,
			double random)
{
	uint32_t doublings = MIN(MAX(failures, 1) - 1, DOUBLINGS_MAX);
	int64_t wait_us =
		MIN(backoff->initial_us << doublings, backoff->max_us);

	return (int64_t)((double)wait_us * (1.0 - JITTER_SHARE * random));
}
