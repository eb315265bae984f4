/**
 * The highest value of the recent past: at least of the last period, at most of
 * the last two.
 */
#ifndef RECENT_MAX_H
#define RECENT_MAX_H

#include <stdint.h>

/** All zero but `period_us`: no value yet. */
struct recent_max {
	int64_t period_us;
	int64_t began_us; /**< start of the current period; 0: no value yet */
	uint32_t current;
	uint32_t previous; /**< of the period before */
};

/** Records a value and returns the highest one. */
uint32_t recent_max_update(struct recent_max *recent_max, uint32_t value,
			   int64_t now_us);

#endif
