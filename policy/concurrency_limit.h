/**
 * Adaptive concurrency limit: how many calls may run at an upstream at once.
 *
 * The mean run time of each window of calls is compared with that of the best
 * recent window. While it stays near the best, the limit grows towards the
 * configured maximum. When it exceeds the best by too large a factor, the limit
 * shrinks, as more concurrency then only adds queueing. Times are in
 * microseconds.
 */
#ifndef CONCURRENCY_LIMIT_H
#define CONCURRENCY_LIMIT_H

#include <stdint.h>

struct concurrency_limit {
	uint32_t value; /**< current limit */
	uint32_t max;	/**< configured maximum */
	/* The current window. */
	uint32_t samples;
	int64_t sum_us;
	double best_mean_us;	/**< of the windows; drifts upwards */
	double smoothed_run_us; /**< moving average of run times */
};

void concurrency_limit_init(struct concurrency_limit *limit, uint32_t max);
/** Add the run time of a call that ended. */
void concurrency_limit_add_sample(struct concurrency_limit *limit,
				  int64_t run_us);

#endif
