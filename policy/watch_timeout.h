/**
 * Timeout of the long-poll calls by which readers watch the configuration
 * (store_reader.h).
 *
 * A reader notices that its call was lost or forgotten by the service when the
 * call times out. Readers report changes to each other, so it is enough if any
 * of them starts a new call in time, as long as their calls start at different
 * times.
 *
 * Calls would otherwise start together, when the fleet starts and whenever a
 * change is reported to all of them. So the first call after that gets a random
 * fraction of the timeout.
 *
 * The function keeps no state; times are in microseconds.
 */
#ifndef WATCH_TIMEOUT_H
#define WATCH_TIMEOUT_H

#include <stdbool.h>
#include <stdint.h>

/** A call that is about to start. */
struct watch_timeout_call {
	int64_t wait_us;	  /**< timeout of calls at rest */
	int64_t previous_wait_us; /**< of the previous call; 0: none */
	/** The previous call returned a change, and so did those of others. */
	bool had_change;
	bool is_fleet; /**< other entries report changes to this one */
};

/** The timeout of the call; `random`: uniform from 0 to 1. */
int64_t watch_timeout_next_us(const struct watch_timeout_call *call,
			      double random);

#endif
