/**
 * Retry budget: limits the retries of each service in a sliding window.
 *
 * Retries of the whole fleet stay within `ratio` x requests + `slack` in any
 * window. Entries do not coordinate: each counts its own requests and gets a
 * share of the slack.
 */
#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include "base/lp_clock.h"

#include <stdbool.h>

struct retry_budget;

struct retry_budget_options {
	const struct lp_clock *clock;
	double ratio;
	double slack;	   /**< this entry's share */
	int64_t window_us; /**< 0: 10 s */
};

struct retry_budget *
retry_budget_create(const struct retry_budget_options *options);
void retry_budget_destroy(struct retry_budget *retry_budget);
/** Changes the bounds; the counts stay. */
void retry_budget_set_bounds(struct retry_budget *retry_budget, double ratio,
			     double slack);
/** Counts a new request to this service. */
void retry_budget_add_request(struct retry_budget *retry_budget,
			      const char *service);
/** What a service has used of its budget within the last window. */
struct retry_budget_view {
	uint32_t requests;
	uint32_t retries;
	double slack; /**< this entry's share */
};

/** Fills in the usage of a service. */
void retry_budget_get_view(struct retry_budget *retry_budget,
			   const char *service, struct retry_budget_view *out);
/** Takes one retry out of the service's budget. False: it is exhausted. */
bool retry_budget_take(struct retry_budget *retry_budget, const char *service);

#endif
