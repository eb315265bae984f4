#include "policy/prefill_rate.h"

#include "base/lp_clock.h"

#include <glib.h>

#define INITIAL_TOKENS_PER_MS 60
#define TOKENS_PER_MS_MIN 10
#define TOKENS_PER_MS_MAX 200
/* Reading such a prompt takes several times as long as what comes before and
 * after it, at the rates of known engines. */
#define TOKENS_MIN 3000
/* Time of the request to the engine and of its first decode step. */
#define OTHER_TIME_US (15 * LP_US_PER_MS)
/* The initial rate counts as this many prompts ... */
#define INITIAL_COUNT 2
/* ... and the mean is that of about so many recent prompts. */
#define COUNT_MAX 16
/* A prompt counts as read at most by this much faster or slower than the mean:
 * bounds the effect of an engine that was disturbed. */
#define DEVIATION_MAX 2.0

struct prefill_rate prefill_rate_initial(void)
{
	return (struct prefill_rate){ INITIAL_TOKENS_PER_MS, INITIAL_COUNT };
}

void prefill_rate_record(struct prefill_rate *rate, int64_t tokens,
			 int64_t took_us)
{
	double mean = rate->tokens_per_ms;
	double read_ms = (double)(took_us - OTHER_TIME_US) / LP_US_PER_MS;
	double sample;

	if (tokens < TOKENS_MIN || read_ms <= 0)
		return;
	sample = CLAMP((double)tokens / read_ms, mean / DEVIATION_MAX,
		       mean * DEVIATION_MAX);
	rate->count = MIN(rate->count + 1, COUNT_MAX);
	rate->tokens_per_ms = CLAMP(mean + (sample - mean) / rate->count,
				    TOKENS_PER_MS_MIN, TOKENS_PER_MS_MAX);
}

int64_t prefill_rate_us(const struct prefill_rate *rate, int64_t tokens)
{
	return (int64_t)((double)tokens * LP_US_PER_MS / rate->tokens_per_ms);
}
