/**
 * Retry budget: limits the retries of each service in a sliding window.
 *
 * Retries of the whole fleet stay within `ratio` x requests + `slack` in any
 * window. Entries do not coordinate, and one that starts does not know what its
 * earlier process has used. So a retry is paid from two sources, neither of
 * which a restart renews:
 *
 * - `ratio` of each request that this process has received in the window.
 * - A token bucket with this entry's share of the slack. It holds half of the
 *   share, and fills at half of the share in a window. It is empty at the
 * start: all processes of one entry together get at most what one bucket holds
 * when a window begins, and what one bucket gets during it.
 *
 * While the number of entries is unknown the share is 0, and the bucket does
 * not fill. If the share changes, the bucket is as full as before in
 * proportion, so that a share that was too large is corrected at once.
 */
#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include "base/lp_clock.h"

#include <stdbool.h>
#include <stdint.h>

struct retry_budget;

struct retry_budget_options {
	const struct lp_clock *clock;
	double ratio;
	double slack;	   /**< this entry's share; 0: none, or unknown yet */
	int64_t window_us; /**< 0: 10 s */
	/** The buckets are full at the start, as no earlier process of this
	 * entry can have taken a retry. */
	bool starts_full;
};

/** What a service has used of its budget within the last window. */
struct retry_budget_view {
	uint32_t requests;
	uint32_t retries;
	double slack;	   /**< this entry's share */
	double slack_left; /**< in the bucket */
};

/**
 * An entry's share of the fleet's slack. `entries`: the most that may be
 * running, as far as this entry knows; 0: unknown, and the share is 0. Entries
 * that start together, or lie behind a partition, are known late, so the share
 * is smaller than 1/entries.
 */
double retry_budget_share(double slack, uint32_t entries);

struct retry_budget *
retry_budget_create(const struct retry_budget_options *options);
void retry_budget_destroy(struct retry_budget *retry_budget);
/** Changes the bounds; the counts stay. */
void retry_budget_set_bounds(struct retry_budget *retry_budget, double ratio,
			     double slack);
/** Counts a new request to this service. */
void retry_budget_add_request(struct retry_budget *retry_budget,
			      const char *service);
/** Fills in the usage of a service. */
void retry_budget_get_view(struct retry_budget *retry_budget,
			   const char *service, struct retry_budget_view *out);
/** Whether the service's budget has a retry now. */
bool retry_budget_allows(struct retry_budget *retry_budget,
			 const char *service);
/** Takes one retry out of the service's budget. False: it is exhausted. */
bool retry_budget_take(struct retry_budget *retry_budget, const char *service);

#endif
