/**
 * How long to wait before a service that did not serve us is asked again:
 * twice as long after each failure in a row, up to a bound, and of each wait a
 * part is drawn, so that a fleet does not ask in step.
 *
 * A service that is short of something is not held down by those that ask, and
 * calls that are refused are not paid for.
 */
#ifndef BACKOFF_H
#define BACKOFF_H

#include <stdint.h>

struct backoff {
	int64_t initial_us; /**< after one failure */
	int64_t max_us;	    /**< never longer, drawn part included */
};

/** `failures` in a row, 1 or more; `draw` from 0 to 1. */
int64_t backoff_wait_us(const struct backoff *backoff, uint32_t failures,
			double draw);

#endif
