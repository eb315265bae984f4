/**
 * When a draining process may close its listener.
 *
 * A balancer sends new connections until "not ready" answers to its readiness
 * probes have made it stop. A listener that closes after a fixed time refuses
 * connections of a balancer that probes late, is suspended, or needs a second
 * failed probe. So the settle time counts from the first "not ready" answer to
 * a prober. A prober is notified once it was given such an answer, and informed
 * once it has probed again, as it must then have read the first answer.
 *
 * Each prober is tracked by name, as there may be several balancers. A prober
 * that was silent for longer than the longest probe interval when draining
 * started is ignored. A young process that was never probed may have a balancer
 * that has not started to probe it, and waits for the first probe.
 *
 * Agents use the same rules: their probers are the entries, whose hellos they
 * answer with their load and whether they are draining.
 */
#ifndef DRAIN_H
#define DRAIN_H

#include "base/lp_clock.h"

#include <stdbool.h>
#include <stdint.h>

struct drain;

struct drain_options {
	const struct lp_clock *clock;
	/** Shortest time from the start of draining to closing ... */
	int64_t min_us;
	/** ... and from the first notification of each prober. */
	int64_t settle_us;
	/** Longest interval between two probes of a prober. */
	int64_t probe_interval_max_us;
	/** Longest time from the start of the process to the first probe. */
	int64_t first_probe_max_us;
	/** Longest time from the start of draining to closing. */
	int64_t max_us;
};

enum drain_state {
	DRAIN_NOT_DRAINING,
	DRAIN_WAITING,	/**< the listener must stay open */
	DRAIN_INFORMED, /**< it may close: all probers are informed */
	DRAIN_UNPROBED, /**< it may close: there are no probers */
	DRAIN_TIMEOUT,	/**< it may close: the longest time is over */
};

/** What the state is based on, for log lines. -1: never. */
struct drain_view {
	int64_t draining_for_us;
	uint32_t probers;	   /**< not ignored */
	uint32_t notified;	   /**< of these */
	uint32_t informed;	   /**< of these */
	int64_t last_probe_age_us; /**< of any prober */
	int64_t first_notified_us; /**< of any prober, from draining on */
};

/** The process counts as started now. */
struct drain *drain_create(const struct drain_options *options);
void drain_destroy(struct drain *drain);
/** Draining starts: the caller answers probes "not ready" from now on. */
void drain_begin(struct drain *drain);
/** A probe of `prober` (an address; copied) is being answered. */
void drain_record_probe(struct drain *drain, const char *prober);
enum drain_state drain_get_state(const struct drain *drain);
/** A static string. */
const char *drain_state_name(enum drain_state state);
void drain_get_view(const struct drain *drain, struct drain_view *out);

#endif
