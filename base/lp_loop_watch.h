/**
 * Measures how long the turns of the main loop take: what one turn does, all
 * other connections and timers wait for.
 *
 * A turn is counted from the end of its poll to the beginning of the next one.
 * All functions belong to the thread of the default main loop.
 */
#ifndef LP_LOOP_WATCH_H
#define LP_LOOP_WATCH_H

#include "base/lp_clock.h"
#include "base/lp_counter.h"
#include "base/lp_event.h"

struct lp_loop_watch;

struct lp_loop_watch_options {
	const struct lp_clock *clock;
	struct lp_event_log *log;
	/**
	 * Gets linepier_loop_slow_turns_total and
	 * linepier_loop_longest_turn_us.
	 */
	struct lp_counters *counters;
	/** A longer turn is slow: counted, and logged as `slow_turn`. */
	int64_t slow_us;
};

struct lp_loop_watch *
lp_loop_watch_create(const struct lp_loop_watch_options *options);
void lp_loop_watch_destroy(struct lp_loop_watch *watch);

#endif
