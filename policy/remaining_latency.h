/**
 * What a request still needs once a stage is made, by what requests of its
 * route needed lately.
 *
 * Answers the queue that serves everyone a little late: pieces are begun in the
 * order of their due times, so under load each is begun just when it is due. A
 * due time that counts calls as if nothing else was in them, and an engine
 * without load, is 100 to 300 ms too late; then nearly all that a queue lets
 * through misses its target by less than that, though nothing is short of what
 * being on time would take. What is learnt is the time beyond the expected one:
 * its mean and its spread, so that most are on time and not half of them.
 */
#ifndef REMAINING_LATENCY_H
#define REMAINING_LATENCY_H

#include <stdint.h>

/** Of one stage of one route; all zero at first. */
struct remaining_latency {
	int64_t mean_excess_us;	   /**< private: fading mean beyond what is
				      expected */
	int64_t mean_deviation_us; /**< private: fading mean distance from that
				    */
};

/** A request went on at once after the stage, and was answered `took_us` after
 * it; `expected_us` had been. */
void remaining_latency_record(struct remaining_latency *remaining,
			      int64_t expected_us, int64_t took_us);
/** What is to be allowed for where `expected_us` is expected: at least that, at
 * most twice as much. */
int64_t remaining_latency_us(const struct remaining_latency *remaining,
			     int64_t expected_us);

#endif
