#include "policy/bucket.h"

#include "base/lp_clock.h"

#include <glib.h>

#define NO_RATE_WAIT_US (3600 * LP_US_PER_S)

static void refill(struct bucket *bucket, int64_t now_us)
{
	double seconds = (double)(now_us - bucket->filled_us) / LP_US_PER_S;

	bucket->filled_us = now_us;
	bucket->tokens = MIN(bucket->burst,
			     bucket->tokens + seconds * bucket->rate_per_s);
}

void bucket_init(struct bucket *bucket, double rate_per_s, double burst,
		 int64_t now_us)
{
	bucket->tokens = burst;
	bucket->rate_per_s = rate_per_s;
	bucket->burst = burst;
	bucket->filled_us = now_us;
}

void bucket_set_rate(struct bucket *bucket, double rate_per_s, double burst,
		     int64_t now_us)
{
	refill(bucket, now_us);
	bucket->rate_per_s = rate_per_s;
	bucket->burst = burst;
	bucket->tokens = MIN(bucket->tokens, burst);
}

bool bucket_take(struct bucket *bucket, int64_t now_us)
{
	refill(bucket, now_us);
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}

void bucket_add(struct bucket *bucket, double tokens)
{
	bucket->tokens = MIN(bucket->burst, bucket->tokens + tokens);
}

int64_t bucket_wait_us(struct bucket *bucket, int64_t now_us)
{
	refill(bucket, now_us);
	if (bucket->tokens >= 1)
		return 0;
	if (bucket->rate_per_s <= 0)
		return NO_RATE_WAIT_US;
	return (int64_t)((1 - bucket->tokens) / bucket->rate_per_s *
			 LP_US_PER_S);
}
