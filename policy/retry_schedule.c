#include "policy/retry_schedule.h"

#include "base/lp_clock.h"

#include <glib.h>

#define SCHEDULE_HORIZON_US (2 * LP_US_PER_S)

int64_t retry_schedule_next_us(struct retry_schedule *turns, int64_t wait_us,
			       double per_s, int64_t now_us)
{
	int64_t first_us = now_us + wait_us;
	int64_t turn_us = MAX(turns->next_retry_us, first_us);

	if (turn_us - first_us > SCHEDULE_HORIZON_US)
		turn_us = first_us;
	turns->next_retry_us = turn_us + (int64_t)(LP_US_PER_S / per_s);
	return turn_us - now_us;
}
