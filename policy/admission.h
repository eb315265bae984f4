/**
 * Admission control for requests that need pieces of stages: which of them are
 * refused, and after what time their callers are to retry.
 *
 * Guards against bursts in which more requests arrive for some seconds than
 * stages can serve in time. Each admitted request delays the others, so one
 * that would be late is refused at once, before any work is done for it.
 *
 * The caller owns the measured times; there is no other state. All times are in
 * microseconds.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdint.h>

/** Measured time of the pieces of one priority class; all zero: none. */
struct admission_piece_time {
	int64_t mean_us;    /**< moving average */
	int64_t updated_us; /**< last measurement */
};

/** Records the time from submission to completion of pieces that were submitted
 * before their request was late. */
void admission_record_piece_time(struct admission_piece_time *piece_time,
				 int64_t took_us, int64_t now_us);
/**
 * Expected time until a piece that is submitted now would be completed, from
 * the queue's estimate and the measured times.
 *
 * The queue's estimate does not include pieces that are on their way to it.
 * Measured times do, but they outlast the queue, so that requests would still
 * be refused when it is empty: they count up to twice the queue's estimate.
 */
int64_t
admission_estimate_stage_us(const struct admission_piece_time *piece_time,
			    int64_t queue_us, int64_t now_us);

struct admission_request {
	int64_t estimate_us; /**< time to its first event, if admitted now */
	int64_t target_us;   /**< latest time to it; 0: none */
	uint64_t hash;	     /**< of its id: spreads retries */
};

/** 0: the request is admitted; else it is refused, and its caller is to retry
 * after this time. */
int64_t admission_retry_after_us(const struct admission_request *request);

#endif
