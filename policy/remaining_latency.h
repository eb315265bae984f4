/**
 * Estimate of the time from the completion of a stage to a request's first
 * event, from recent requests of the same route.
 *
 * It prevents queues from serving nearly all requests slightly late. Pieces are
 * started in the order of their due times, so under load each is started just
 * when it is due. A due time that assumes calls without other pieces and an
 * idle engine is 100 to 300 ms too late. Then nearly every request that a queue
 * serves misses its latency target by less than that, although serving them on
 * time would not need more capacity. So the excess over the expected time
 * is estimated by its mean and its mean deviation, so that most requests are on
 * time and not only half of them.
 */
#ifndef REMAINING_LATENCY_H
#define REMAINING_LATENCY_H

#include <stdint.h>

/** Estimate for one stage of one route; initially all zero. */
struct remaining_latency {
	int64_t mean_excess_us;	   /**< private: moving average */
	int64_t mean_deviation_us; /**< private: moving average */
};

/** Record a request that continued immediately after the stage and was answered
 * `took_us` after its completion, where `expected_us` was expected. */
void remaining_latency_record(struct remaining_latency *latency,
			      int64_t expected_us, int64_t took_us);
/** Time to allow where `expected_us` is expected: at least that, at most twice
 * as much. */
int64_t remaining_latency_us(const struct remaining_latency *latency,
			     int64_t expected_us);

#endif
