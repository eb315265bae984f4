#include "policy/client_wait.h"

#include "base/lp_clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

/* Times that lie closer are one: a request takes some of it to be read. */
#define STEP_US (20 * LP_US_PER_MS)
/* A time is usual if so many of those remembered are the same: a sixteenth. */
#define USUAL_MIN 4

static bool is_usual(const struct client_wait *patience, int32_t steps)
{
	uint32_t same = 0;

	for (uint32_t i = 0; i < CLIENT_WAIT_SAMPLES; i++)
		if (abs(patience->samples[i] - steps) <= 1)
			same++;
	return same >= USUAL_MIN;
}

/* The next longer time that is usual, or 0. */
static int32_t usual_above(const struct client_wait *patience, int32_t steps)
{
	int32_t best = 0;

	for (uint32_t i = 0; i < CLIENT_WAIT_SAMPLES; i++) {
		int32_t given = patience->samples[i];

		if (given > steps && (!best || given < best) &&
		    is_usual(patience, given))
			best = given;
	}
	return best;
}

int64_t client_wait_elapsed_us(struct client_wait *patience, int64_t left_us)
{
	int32_t steps = (int32_t)MIN(left_us / STEP_US, G_MAXINT32 / 2);
	int32_t usual;

	if (steps <= 0)
		return 0;
	patience->samples[patience->next_sample++ % CLIENT_WAIT_SAMPLES] =
		steps;
	if (is_usual(patience, steps))
		return 0;
	usual = usual_above(patience, steps);
	return usual ? (usual - steps) * STEP_US : 0;
}
