/**
 * Rate at which the engines of a service read prompts, learnt from the times of
 * first events. It is the mean of the service; how an engine deviates from it
 * is its slowness (pool.h).
 */
#ifndef PREFILL_RATE_H
#define PREFILL_RATE_H

#include <stdint.h>

struct prefill_rate {
	double tokens_per_ms;
	uint32_t count; /**< private: prompts recorded, up to a bound */
};

/** The rate assumed until one is learnt. */
struct prefill_rate prefill_rate_initial(void);
/** Record a prompt with nothing ahead of it at its engine: `tokens` were read,
 * and the first event came after `took_us`. Short prompts are ignored, as most
 * of their time is not reading. */
void prefill_rate_record(struct prefill_rate *rate, int64_t tokens,
			 int64_t took_us);
/** Estimated time to read so many tokens. */
int64_t prefill_rate_us(const struct prefill_rate *rate, int64_t tokens);

#endif
