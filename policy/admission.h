/**
 * Whether a request that needs pieces of stages is let in, and when a caller
 * that is refused comes back.
 *
 * Answers the burst: more requests come for some seconds than stages can serve
 * in time. Each that is let in makes the others wait, so one that would be
 * late is refused at once, before any work is done for it.
 *
 * Grounds: admitting within 1.2 and 1.5 targets gained 0.005 and 0.010 of the
 * credit where bursts are short against a target, and lost 0.023 and 0.047
 * where stages are short for long (15 paired runs each).
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdint.h>

/** How long the pieces of one rank took lately; all zero: nothing learnt. */
struct admission_memory {
	int64_t took_us; /**< fading mean */
	int64_t at_us;	 /**< when it was heard last */
};

/** Pieces that were asked for in time took so long. */
void admission_learn(struct admission_memory *memory, int64_t took_us,
		     int64_t now_us);
/**
 * Time until a piece that comes now would be made, by the queue's own estimate
 * and by what pieces took lately.
 *
 * The queue counts what waits now; what is on its way to it does not show. What
 * was learnt does, but outlasts the queue: it counts up to twice the queue's
 * estimate. Without that bound, an empty queue still refused: 0.005 and 0.020
 * of the credit on days with bursts (two deployments, 35 paired runs). Without
 * what was learnt, the second deployment gains 0.018 and a third loses 0.008.
 */
int64_t admission_stage_us(const struct admission_memory *memory,
			   int64_t queue_us, int64_t now_us);

struct admission_request {
	int64_t estimate_us; /**< until its first event, if it is let in now */
	int64_t target_us;   /**< on time within this; 0: no matter */
	uint64_t hash;	     /**< of its id: spreads callers out */
};

/** 0: it is let in; else refuse it, its caller comes back after so long. */
int64_t admission_refuse_us(const struct admission_request *request);

#endif
