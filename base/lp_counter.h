/** Counters and gauges of our own, printed as Prometheus text. */
#ifndef LP_COUNTER_H
#define LP_COUNTER_H

#include <glib.h>
#include <stdint.h>

struct lp_counters;

struct lp_counters *lp_counters_create(void);
void lp_counters_destroy(struct lp_counters *counters);
/**
 * The cell of a counter, created at 0. `labels` is the text between the
 * braces, or NULL. The cell lives as long as the set and is written without
 * a call: `*cell += 1`.
 */
int64_t *lp_counter(struct lp_counters *counters, const char *name,
		    const char *labels);
/** Print every cell, sorted by name. */
void lp_counters_print(const struct lp_counters *counters, GString *out);
/**
 * Append the cells of one counter to `out` as `labels=value`, separated by
 * blanks and without quotes; cells at 0 are left out.
 */
void lp_counters_summarize(const struct lp_counters *counters, const char *name,
			   GString *out);

#endif
