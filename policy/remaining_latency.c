#include "policy/remaining_latency.h"

#include <glib.h>

/* Divisors of the newest sample, as in TCP's round-trip time estimator: some
 * ten requests determine the mean, and a route has more than that in a second.
 */
#define MEAN_DIVISOR 8
#define DEVIATION_DIVISOR 4

void remaining_latency_record(struct remaining_latency *latency,
			      int64_t expected_us, int64_t took_us)
{
	/* Bounds the effect of a request that met a fault. */
	int64_t excess_us =
		CLAMP(took_us - expected_us, -expected_us, expected_us);
	int64_t deviation_us = excess_us - latency->mean_excess_us;

	latency->mean_excess_us += deviation_us / MEAN_DIVISOR;
	latency->mean_deviation_us +=
		(ABS(deviation_us) - latency->mean_deviation_us) /
		DEVIATION_DIVISOR;
}

int64_t remaining_latency_us(const struct remaining_latency *latency,
			     int64_t expected_us)
{
	int64_t excess_us =
		latency->mean_excess_us + latency->mean_deviation_us;

	return expected_us + CLAMP(excess_us, 0, expected_us);
}
