/**
 * Timeout of the long-poll calls by which entries watch the configuration.
 *
 * A longer timeout means fewer calls to pay for, but an entry notices later
 * that its call was lost or forgotten by the service: it must start a new one
 * within the time in which a change has to be in force. Entries that are in
 * contact report changes to each other, so it is enough if any of them starts a
 * new call in time. Hence the timeout may grow with the number of members, as
 * long as their calls start at different times: then the fleet starts calls at
 * least as often as a single entry would.
 *
 * Calls would otherwise start together, when the fleet starts and whenever a
 * change is reported to all of them. So the first call after that gets a random
 * fraction of the timeout.
 *
 * The functions keep no state; times are in microseconds.
 */
#ifndef WATCH_TIMEOUT_H
#define WATCH_TIMEOUT_H

#include <stdbool.h>
#include <stdint.h>

/** The timeout of an entry in a fleet of `members`, itself included.
 * `single_us`: timeout of an entry without contact to others. */
int64_t watch_timeout_fleet_us(int64_t single_us, uint32_t members);

/** A call that is about to start. */
struct watch_timeout_call {
	int64_t wait_us;	  /**< by watch_timeout_fleet_us() */
	int64_t previous_wait_us; /**< of the previous call; 0: none */
	/** The previous call returned a change, and so did those of others. */
	bool had_change;
	bool is_fleet; /**< other entries report changes to this one */
};

/** The timeout of the call; `random`: uniform from 0 to 1. */
int64_t watch_timeout_next_us(const struct watch_timeout_call *call,
			      double random);

#endif
