/**
 * Adaptive concurrency: how many calls an upstream runs at once.
 *
 * Windows of run times are compared with the best recent window. While
 * times stay near it the limit grows towards the configured maximum; when
 * they inflate past the tolerance it shrinks, since more concurrency then
 * only adds waiting.
 */
#ifndef CONCURRENCY_LIMIT_H
#define CONCURRENCY_LIMIT_H

#include <stdint.h>

struct concurrency_limit {
	uint32_t value; /**< in force now */
	uint32_t max;	/**< configured */
	uint32_t samples;
	int64_t sum_us;
	double best_mean_us;
	double smoothed_run_us; /**< smoothed time of a call */
};

void concurrency_limit_init(struct concurrency_limit *limit, uint32_t max);
/** A call ended after run_us. */
void concurrency_limit_add_sample(struct concurrency_limit *limit,
				  int64_t run_us);

#endif
