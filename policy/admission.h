/**
 * Whether a request that needs pieces of stages is let in, and when a caller
 * that is refused comes back.
 *
 * Answers the burst: more requests come for some seconds than stages can serve
 * in time. Each that is let in makes the others wait, so one that would be
 * late is refused at once, before any work is done for it.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdint.h>

/** How long the pieces of one rank took lately; all zero: nothing learnt. */
struct admission_piece_time {
	int64_t mean_us;    /**< fading mean */
	int64_t updated_us; /**< when it was heard last */
};

/** Pieces that were asked for in time took so long. */
void admission_record_piece_time(struct admission_piece_time *memory,
				 int64_t took_us, int64_t now_us);
/**
 * Time until a piece that comes now would be made, by the queue's own estimate
 * and by what pieces took lately.
 *
 * The queue counts what waits now; what is on its way to it does not show. What
 * was learnt does, but outlasts the queue, and an empty queue would still
 * refuse: it counts up to twice the queue's estimate.
 */
int64_t admission_estimate_stage_us(const struct admission_piece_time *memory,
				    int64_t queue_us, int64_t now_us);

struct admission_request {
	int64_t estimate_us; /**< until its first event, if it is let in now */
	int64_t target_us;   /**< on time within this; 0: no matter */
	uint64_t hash;	     /**< of its id: spreads callers out */
};

/** 0: it is let in; else refuse it, its caller comes back after so long. */
int64_t admission_retry_after_us(const struct admission_request *request);

#endif
