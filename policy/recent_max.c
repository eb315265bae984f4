#include "policy/recent_max.h"

#include <glib.h>

uint32_t recent_max_update(struct recent_max *recent_max, uint32_t value,
			   int64_t now_us)
{
	int64_t age_us = now_us - recent_max->began_us;

	if (!recent_max->began_us || age_us >= 2 * recent_max->period_us) {
		recent_max->previous = 0;
		recent_max->current = 0;
		recent_max->began_us = now_us;
	} else if (age_us >= recent_max->period_us) {
		recent_max->previous = recent_max->current;
		recent_max->current = 0;
		recent_max->began_us += recent_max->period_us;
	}
	recent_max->current = MAX(recent_max->current, value);
	return MAX(recent_max->current, recent_max->previous);
}
