#include "policy/client_wait.h"

#include "base/lp_clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

/* Timeouts that differ by less count as equal, as some time passes until a
 * request has been read. */
#define STEP_US (20 * LP_US_PER_MS)
/* Number of equal samples, a sixteenth, that makes a timeout frequent. */
#define FREQUENT_MIN 4

static bool is_frequent(const struct client_wait *wait, int32_t steps)
{
	uint32_t same = 0;

	for (uint32_t i = 0; i < CLIENT_WAIT_SAMPLES; i++)
		if (abs(wait->samples[i] - steps) <= 1)
			same++;
	return same >= FREQUENT_MIN;
}

/* The next longer frequent timeout, or 0. */
static int32_t next_longer_frequent(const struct client_wait *wait,
				    int32_t steps)
{
	int32_t best = 0;

	for (uint32_t i = 0; i < CLIENT_WAIT_SAMPLES; i++) {
		int32_t sample = wait->samples[i];

		if (sample > steps && (!best || sample < best) &&
		    is_frequent(wait, sample))
			best = sample;
	}
	return best;
}

int64_t client_wait_elapsed_us(struct client_wait *wait, int64_t left_us)
{
	int32_t steps = (int32_t)MIN(left_us / STEP_US, G_MAXINT32 / 2);
	int32_t frequent;

	if (steps <= 0)
		return 0;
	wait->samples[wait->next_sample++ % CLIENT_WAIT_SAMPLES] = steps;
	if (is_frequent(wait, steps))
		return 0;
	frequent = next_longer_frequent(wait, steps);
	return frequent ? (frequent - steps) * STEP_US : 0;
}
