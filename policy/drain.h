/**
 * When a process that leaves may stop listening.
 *
 * A balancer sends new connections until the process's own answers to its
 * probes have taken the process out. A listener that closes after a fixed time
 * refuses connections of a balancer that probes late, is suspended, or needs a
 * second failed probe. So the time counts from the first answer that told a
 * prober, and a prober is informed once it has been told and has probed again:
 * then it is known to have read an answer.
 *
 * Probers are told apart by name, as there may be several balancers. One that
 * has been silent for longer than a prober ever is gets no say. A process that
 * is young and was never probed may have a balancer that has not come to it
 * yet.
 *
 * An agent has the same question: its probers are the entries, whose hellos it
 * answers with its load, and with whether it leaves.
 */
#ifndef DRAIN_H
#define DRAIN_H

#include "base/lp_clock.h"

#include <stdbool.h>
#include <stdint.h>

struct drain;

struct drain_options {
	const struct lp_clock *clock;
	int64_t min_us;	   /**< listen for so long after leaving */
	int64_t settle_us; /**< and after each prober was told first */
	int64_t probe_interval_max_us; /**< longest time between probes of a
					  prober */
	int64_t first_probe_max_us; /**< the first probe comes within this life
				       time */
	int64_t max_us; /**< after leaving: stop listening in any case */
};

enum drain_state {
	DRAIN_NOT_DRAINING,
	DRAIN_WAITING,	/**< the listener stays */
	DRAIN_INFORMED, /**< it may close: every prober is informed, ... */
	DRAIN_UNPROBED, /**< ... nobody probes, ... */
	DRAIN_TIMEOUT,	/**< ... or a prober was not informed in time */
};

/** What a decision went by, for log lines. Ages are -1 for "never". */
struct drain_view {
	int64_t draining_for_us;
	uint32_t probers;	   /**< that have a say */
	uint32_t notified;	   /**< of these */
	uint32_t informed;	   /**< of these */
	int64_t last_probe_age_us; /**< the last probe of anyone */
	int64_t first_notified_us; /**< after leaving, whoever was told first */
};

/** The process's life begins now. */
struct drain *drain_create(const struct drain_options *options);
void drain_destroy(struct drain *drain);
/** The process leaves: probes are answered "not ready" from now on. */
void drain_begin(struct drain *drain);
/** `prober` (an address; copied) is given an answer to its probe. */
void drain_record_probe(struct drain *drain, const char *prober);
enum drain_state drain_get_state(const struct drain *drain);
/** Static. */
const char *drain_state_name(enum drain_state state);
void drain_get_view(const struct drain *drain, struct drain_view *out);

#endif
