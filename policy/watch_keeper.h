/**
 * Keeps one watch of a remote service running.
 *
 * The watch is in exactly one of three states, and each of them ends by an
 * event that is sure to come:
 *
 *   running    until the watch ends
 *   delayed    until the retry timer fires, or the service answers
 *   suspended  until the service answers anything at all
 *
 * It is suspended only while the service is unreachable: the caller probes the
 * service until it answers, so retries of the watch would only be refused, and
 * refused calls are paid for. The caller carries out the returned action at
 * once, before it passes on another event.
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
};

enum watch_keeper_action {
	WATCH_KEEPER_NOTHING,
	WATCH_KEEPER_START, /**< begin the watch anew; a retry timer is removed
			     */
	WATCH_KEEPER_DELAY, /**< set the retry timer, by `failures` */
};

struct watch_keeper {
	const struct lp_clock *clock;
	enum watch_keeper_state state;
	bool unreachable; /**< the last probe failed, and nothing came since */
	int64_t started_us; /**< when the watch began last */
	uint32_t failures;  /**< short watches that ended in a row */
};

/** The watch begins at once: the caller starts it. */
void watch_keeper_init(struct watch_keeper *keeper,
		       const struct lp_clock *clock);
enum watch_keeper_action watch_keeper_on_ended(struct watch_keeper *keeper);
enum watch_keeper_action watch_keeper_on_timer(struct watch_keeper *keeper);
/** A probe of the service failed; another one follows. */
void watch_keeper_on_probe_failed(struct watch_keeper *keeper);
/**
 * An answer of the service has begun to come. `is_silent`: nothing of an answer
 * is coming to the watch that runs, which may have been lost unnoticed.
 */
enum watch_keeper_action watch_keeper_on_answer(struct watch_keeper *keeper,
						bool is_silent);
/** For log lines; static. */
const char *watch_keeper_state_name(const struct watch_keeper *keeper);

#endif
