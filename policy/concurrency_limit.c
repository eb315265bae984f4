#include "policy/concurrency_limit.h"

#include <glib.h>

#define WINDOW_SAMPLES_MIN 20
#define GROW_BELOW 2.0 /* times the best window's mean */
#define SHRINK_ABOVE 3.0
#define SHRINK_FACTOR 0.85
#define BEST_DRIFT 1.02 /* per window, so that an outdated best fades */
#define RUN_TIME_SMOOTHING 0.1

void concurrency_limit_init(struct concurrency_limit *limit, uint32_t max)
{
	*limit = (struct concurrency_limit){ .value = max, .max = max };
}

static void close_window(struct concurrency_limit *limit)
{
	double mean_us = (double)limit->sum_us / limit->samples;
	uint32_t floor = MAX(1, limit->max / 8);

	limit->samples = 0;
	limit->sum_us = 0;
	if (limit->best_mean_us == 0 || mean_us < limit->best_mean_us)
		limit->best_mean_us = mean_us;
	if (mean_us > limit->best_mean_us * SHRINK_ABOVE)
		limit->value = (uint32_t)(limit->value * SHRINK_FACTOR);
	else if (mean_us < limit->best_mean_us * GROW_BELOW)
		limit->value += MAX(1, limit->value / 8);
	limit->value = CLAMP(limit->value, floor, limit->max);
	limit->best_mean_us *= BEST_DRIFT;
}

void concurrency_limit_add_sample(struct concurrency_limit *limit,
				  int64_t run_us)
{
	if (limit->smoothed_run_us == 0)
		limit->smoothed_run_us = (double)run_us;
	limit->smoothed_run_us +=
		((double)run_us - limit->smoothed_run_us) * RUN_TIME_SMOOTHING;
	limit->sum_us += run_us;
	limit->samples += 1;
	if (limit->samples >= MAX(WINDOW_SAMPLES_MIN, limit->value))
		close_window(limit);
}
