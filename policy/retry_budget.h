/**
 * How often requests may be sent a second time: a sliding window a service.
 *
 * The bound holds for the whole fleet: `ratio` x requests + `slack` in any
 * window. Entries do not ask each other; each keeps to its own requests and
 * to a share of the slack.
 */
#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include "base/lp_clock.h"

#include <stdbool.h>

struct retry_budget;

struct retry_budget_options {
	const struct lp_clock *clock;
	double ratio;
	double slack;	   /**< of this entry */
	int64_t window_us; /**< 0: 10 s */
};

struct retry_budget *
retry_budget_create(const struct retry_budget_options *options);
void retry_budget_destroy(struct retry_budget *retry_budget);
/** The bounds have changed. */
void retry_budget_set_bounds(struct retry_budget *retry_budget, double ratio,
			     double slack);
/** A request for this service came. */
void retry_budget_add_request(struct retry_budget *retry_budget,
			      const char *service);
/** Take one repeat out of the budget, if there is one. */
bool retry_budget_take(struct retry_budget *retry_budget, const char *service);

#endif
