/**
 * Quantiles of a stream of durations, in constant memory.
 *
 * A histogram with buckets a fixed ratio apart; when the weight reaches a
 * bound all buckets are halved, so old samples fade. Error: one bucket, 10%.
 */
#ifndef QUANTILE_H
#define QUANTILE_H

#include <stdint.h>

struct quantile;

struct quantile *quantile_create(void);
void quantile_destroy(struct quantile *quantile);
void quantile_add(struct quantile *quantile, int64_t sample_us);
/** The value at `share` (0 to 1), or `fallback_us` under 5 samples. */
int64_t quantile_get(const struct quantile *quantile, double share,
		     int64_t fallback_us);

#endif
