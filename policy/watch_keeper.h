/**
 * Restarts one watch of a remote service whenever it ends or is lost.
 *
 * While the watch is wanted it is in exactly one of three states, each of which
 * ends by an event that is certain to occur:
 *
 *   running    until the watch ends
 *   delayed    until the retry timer fires, or the service answers
 *   suspended  until the service answers anything at all
 *
 * The caller may stop the watch in any state, and start it again later:
 *
 *   stopped    until the caller starts the watch
 *
 * The watch is suspended only while the service is unreachable. The caller
 * probes the service until it answers; until then retries of the watch would
 * only be refused, and refused calls cost money.
 *
 * The caller owns the watch, the timer and the probes, and passes their events
 * in. It carries out the returned action at once, before it passes another
 * event.
 */
#ifndef WATCH_KEEPER_H
#define WATCH_KEEPER_H

#include "base/lp_clock.h"

#include <stdbool.h>
#include <stdint.h>

enum watch_keeper_state {
	WATCH_KEEPER_RUNNING,
	WATCH_KEEPER_DELAYED,
	WATCH_KEEPER_SUSPENDED,
	WATCH_KEEPER_STOPPED,
};

enum watch_keeper_action {
	WATCH_KEEPER_NOTHING,
	WATCH_KEEPER_START, /**< start a new watch; remove the retry timer */
	WATCH_KEEPER_DELAY, /**< set the retry timer, by `failures` */
};

struct watch_keeper {
	const struct lp_clock *clock;
	enum watch_keeper_state state;
	bool unreachable;   /**< a probe failed, and no answer has arrived since
			     */
	int64_t started_us; /**< start of the current or last watch */
	uint32_t failures;  /**< ended watches, since the last long one */
};

/** The watch counts as running: the caller starts it at once. */
void watch_keeper_init(struct watch_keeper *keeper,
		       const struct lp_clock *clock);
enum watch_keeper_action watch_keeper_on_ended(struct watch_keeper *keeper);
enum watch_keeper_action watch_keeper_on_timer(struct watch_keeper *keeper);
/** A probe of the service failed; the caller sends another one. */
void watch_keeper_on_probe_failed(struct watch_keeper *keeper);
/**
 * The first bytes of an answer of the service have arrived. `is_silent`: the
 * running watch is receiving nothing and may have been lost unnoticed.
 */
enum watch_keeper_action watch_keeper_on_answer(struct watch_keeper *keeper,
						bool is_silent);
/** The caller has ended the watch and removed the retry timer. */
void watch_keeper_stop(struct watch_keeper *keeper);
/** The caller wants the watch again; nothing if it was not stopped. */
enum watch_keeper_action watch_keeper_resume(struct watch_keeper *keeper);
/** A static string for log lines. */
const char *watch_keeper_state_name(const struct watch_keeper *keeper);

#endif
