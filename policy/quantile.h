/**
 * Quantile estimator for a stream of durations, in constant memory.
 *
 * A histogram whose bucket bounds grow by a fixed ratio. All buckets are halved
 * when their sum reaches a limit, so that old samples fade. The error is one
 * bucket, 10%. Durations are in microseconds.
 */
#ifndef QUANTILE_H
#define QUANTILE_H

#include <stdint.h>

struct quantile;

struct quantile *quantile_create(void);
void quantile_destroy(struct quantile *quantile);
void quantile_add(struct quantile *quantile, int64_t sample_us);
/** The quantile at `share` (0 to 1); `fallback_us` below 5 samples. */
int64_t quantile_get(const struct quantile *quantile, double share,
		     int64_t fallback_us);

#endif
