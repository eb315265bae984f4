/** Histograms of times, kept as counters of the usual cumulative form. */
#ifndef LP_HISTOGRAM_H
#define LP_HISTOGRAM_H

#include "base/lp_counter.h"

struct lp_histogram;

/** `name` is that of the metric, without a suffix; in milliseconds. */
struct lp_histogram *lp_histogram_create(struct lp_counters *counters,
					 const char *name);
void lp_histogram_destroy(struct lp_histogram *histogram);
void lp_histogram_add(struct lp_histogram *histogram, int64_t time_us);

#endif
