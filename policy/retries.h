/**
 * How often requests may be sent a second time: a sliding window a service.
 *
 * The bound holds for the whole fleet: `ratio` x requests + `slack` in any
 * window. Entries do not ask each other; each keeps to its own requests and
 * to a share of the slack.
 */
#ifndef RETRIES_H
#define RETRIES_H

#include "base/lp_clock.h"

#include <stdbool.h>

struct retries;

struct retries_options {
	const struct lp_clock *clock;
	double ratio;
	double slack;	   /**< of this entry */
	int64_t window_us; /**< 0: 10 s */
};

struct retries *retries_create(const struct retries_options *options);
void retries_destroy(struct retries *retries);
/** The bounds have changed. */
void retries_set(struct retries *retries, double ratio, double slack);
/** A request for this service came. */
void retries_saw_request(struct retries *retries, const char *service);
/** Take one repeat out of the budget, if there is one. */
bool retries_take(struct retries *retries, const char *service);

#endif
