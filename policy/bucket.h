/**
 * Token bucket, for rate limits (tokens per second) and for retry budgets
 * (tokens added per call). Times are in microseconds.
 */
#ifndef BUCKET_H
#define BUCKET_H

#include <stdbool.h>
#include <stdint.h>

struct bucket {
	double tokens;
	double rate_per_s;
	double burst;	   /**< capacity in tokens */
	int64_t filled_us; /**< when `tokens` was last updated */
};

/** Start with a full bucket. With a rate of 0 only bucket_add() fills it. */
void bucket_init(struct bucket *bucket, double rate_per_s, double burst,
		 int64_t now_us);
void bucket_set_rate(struct bucket *bucket, double rate_per_s, double burst,
		     int64_t now_us);
/** Take one token; false if there is none. */
bool bucket_take(struct bucket *bucket, int64_t now_us);
/** Add tokens (or a fraction of one), up to the burst. */
void bucket_add(struct bucket *bucket, double tokens);
/** Time until the next token; 0 if there is one, 1 hour without a rate. */
int64_t bucket_wait_us(struct bucket *bucket, int64_t now_us);

#endif
