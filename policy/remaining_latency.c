#include "policy/remaining_latency.h"

#include <glib.h>

/* Weights of the newest time, as where round trips are measured: some ten
 * requests make the mean, and a route has more of them in a second. */
#define MEAN_WEIGHT 8
#define SPREAD_WEIGHT 4

void remaining_latency_record(struct remaining_latency *remaining,
			      int64_t expected_us, int64_t took_us)
{
	/* One that met a fault says nothing of the next one. */
	int64_t over_us =
		CLAMP(took_us - expected_us, -expected_us, expected_us);
	int64_t off_us = over_us - remaining->mean_excess_us;

	remaining->mean_excess_us += off_us / MEAN_WEIGHT;
	remaining->mean_deviation_us +=
		(ABS(off_us) - remaining->mean_deviation_us) / SPREAD_WEIGHT;
}

int64_t remaining_latency_us(const struct remaining_latency *remaining,
			     int64_t expected_us)
{
	int64_t over_us =
		remaining->mean_excess_us + remaining->mean_deviation_us;

	return expected_us + CLAMP(over_us, 0, expected_us);
}
