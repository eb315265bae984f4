/**
 * What a process that leaves has told whoever probes its readiness.
 *
 * A balancer sends new connections until the process's own answers to its
 * probes have taken the process out. A prober is told by the first answer that
 * says "not ready", and informed once it has probed again after that: then it
 * is known to have read an answer. Probers are told apart by name, as there may
 * be several balancers.
 */
#ifndef DRAIN_H
#define DRAIN_H

#include "base/lp_clock.h"

#include <stdbool.h>
#include <stdint.h>

struct drain;

struct drain_options {
	const struct lp_clock *clock;
	int64_t interval_us; /**< longest time between probes of a balancer */
};

/** What a decision went by, for log lines. Ages are -1 for "never". */
struct drain_view {
	int64_t leaving_for_us;
	uint32_t probers;      /**< that probed within an interval of leaving */
	uint32_t told;	       /**< of these */
	uint32_t informed;     /**< of these */
	int64_t probed_age_us; /**< the last probe of anyone */
	int64_t told_first_us; /**< after leaving, whoever was told first */
};

/** The process's life begins now. */
struct drain *drain_create(const struct drain_options *options);
void drain_destroy(struct drain *drain);
/** The process leaves: probes are answered "not ready" from now on. */
void drain_begin(struct drain *drain);
/** `prober` (an address; copied) is given an answer to its probe. */
void drain_probed(struct drain *drain, const char *prober);
void drain_get_view(const struct drain *drain, struct drain_view *out);

#endif
