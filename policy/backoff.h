/**
 * Exponential backoff with jitter, for retries at a service that failed or
 * refused a call.
 *
 * The wait doubles with each consecutive failure up to a bound, and a random
 * part is subtracted, so that a fleet does not retry in step. Retries thus
 * don't keep an overloaded service down, and fewer refused calls are made.
 * Times are in microseconds.
 */
#ifndef BACKOFF_H
#define BACKOFF_H

#include <stdint.h>

struct backoff {
	int64_t initial_us; /**< after the first failure */
	int64_t max_us;	    /**< upper bound */
};

/** `failures`: consecutive, at least 1; `random`: from 0 to 1. */
int64_t backoff_wait_us(const struct backoff *backoff, uint32_t failures,
			double random);

#endif
