#include "policy/host_load.h"

#include "base/lp_clock.h"

#include <glib.h>
#include <math.h>

#define PERCENT_MIN 25
#define PERCENT_MAX 1000
/* Load that lasts for seconds is recognised within a second, while a figure
 * that changes every 100 ms is averaged. */
#define TIME_CONSTANT_US (500.0 * LP_US_PER_MS)
/* Bounds the effect of one report after a pause. */
#define REPORT_WEIGHT_MAX (1.0 / 3)
/* Reports arrive with answers, about 0.2 to 0.5 s apart while an upstream has
 * work. The estimate is kept for this long before it returns to the usual load,
 * else it would be too low for a load that lasts. */
#define HOLD_US (500 * LP_US_PER_MS)

static double faded_excess(const struct host_load *load, int64_t now_us)
{
	int64_t quiet_us = now_us - load->updated_us - HOLD_US;

	if (quiet_us <= 0)
		return load->excess;
	return load->excess * exp(-(double)quiet_us / TIME_CONSTANT_US);
}

void host_load_record(struct host_load *load, int32_t percent, int64_t now_us)
{
	double reported = CLAMP(percent, PERCENT_MIN, PERCENT_MAX) / 100.0 - 1;
	double elapsed_us = (double)MAX(now_us - load->updated_us, 0);
	double weight = load->updated_us
				? 1 - exp(-elapsed_us / TIME_CONSTANT_US)
				: REPORT_WEIGHT_MAX;

	load->excess = faded_excess(load, now_us);
	load->excess +=
		MIN(weight, REPORT_WEIGHT_MAX) * (reported - load->excess);
	load->updated_us = now_us;
}

double host_load_factor(const struct host_load *load, int64_t now_us)
{
	/* Most deployments report no load: avoids the exponential. */
	return load->updated_us ? 1 + faded_excess(load, now_us) : 1;
}
