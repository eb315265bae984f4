#include "policy/retry_schedule.h"

#include "base/lp_clock.h"

#include <glib.h>

#define SCHEDULE_HORIZON_US (2 * LP_US_PER_S)

int64_t retry_schedule_next_us(struct retry_schedule *schedule, int64_t wait_us,
			       double per_s, int64_t now_us)
{
	int64_t first_us = now_us + wait_us;
	int64_t retry_us = MAX(schedule->next_retry_us, first_us);

	if (retry_us - first_us > SCHEDULE_HORIZON_US)
		retry_us = first_us;
	schedule->next_retry_us = retry_us + (int64_t)(LP_US_PER_S / per_s);
	return retry_us - now_us;
}
