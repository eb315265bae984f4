/**
 * How long a call that waits for a change of the configuration may wait.
 *
 * The longer it waits the fewer calls are paid for, and the later an entry
 * alone notices that its call has been lost or forgotten: then it has to begin
 * anew within the time in which a change must be in force. Entries that hear
 * each other tell each other of a change: whoever begins a call next tells the
 * others. So what each waits may grow with the members, as long as their calls
 * begin at times of their own, and one of them still begins a call as often as
 * one alone would, or more often.
 *
 * By themselves they would not: all begin when the fleet starts, and again when
 * a change is told to all. So the first call after that waits for a part of the
 * time that each entry draws.
 */
#ifndef WATCH_TIMEOUT_H
#define WATCH_TIMEOUT_H

#include <stdbool.h>
#include <stdint.h>

/** `alone_us`: what an entry that hears nobody waits; `members`: with itself.
 */
int64_t watch_timeout_fleet_us(int64_t alone_us, uint32_t members);

/** A call that is about to wait. */
struct watch_timeout_call {
	int64_t wait_us;	  /**< by watch_timeout_fleet_us() */
	int64_t previous_wait_us; /**< the same at the call before; 0: none was
				   */
	bool had_change; /**< that one told a change: others' did, too */
	bool is_fleet;	 /**< others notice what we do not */
};

/** How long it waits; `drawn`: from 0 to 1, by chance. */
int64_t watch_timeout_next_us(const struct watch_timeout_call *call,
			      double drawn);

#endif
