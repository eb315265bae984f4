#include "policy/backoff.h"

#include <glib.h>

/* The part of a wait that is drawn. */
#define DRAWN 0.3
/* More doublings than this are past every bound. */
#define DOUBLINGS_MAX 20

int64_t backoff_wait_us(const struct backoff *backoff, uint32_t failures,
			double draw)
{
	uint32_t doublings = MIN(MAX(failures, 1) - 1, DOUBLINGS_MAX);
	int64_t wait_us =
		MIN(backoff->initial_us << doublings, backoff->max_us);

	return (int64_t)((double)wait_us * (1.0 - DRAWN * draw));
}
