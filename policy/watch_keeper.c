#include "policy/watch_keeper.h"

/* A watch that lasted longer resets the count of failures. */
#define STABLE_WATCH_US (1 * LP_US_PER_S)

static enum watch_keeper_action start(struct watch_keeper *keeper)
{
	keeper->state = WATCH_KEEPER_RUNNING;
	keeper->started_us = lp_now_us(keeper->clock);
	return WATCH_KEEPER_START;
}

void watch_keeper_init(struct watch_keeper *keeper,
		       const struct lp_clock *clock)
{
	*keeper = (struct watch_keeper){ .clock = clock };
	start(keeper);
}

enum watch_keeper_action watch_keeper_on_ended(struct watch_keeper *keeper)
{
	if (lp_now_us(keeper->clock) - keeper->started_us > STABLE_WATCH_US)
		keeper->failures = 0;
	keeper->failures++;
	if (keeper->unreachable) {
		keeper->state = WATCH_KEEPER_SUSPENDED;
		return WATCH_KEEPER_NOTHING;
	}
	keeper->state = WATCH_KEEPER_DELAYED;
	return WATCH_KEEPER_DELAY;
}

enum watch_keeper_action watch_keeper_on_timer(struct watch_keeper *keeper)
{
	return start(keeper);
}

void watch_keeper_on_probe_failed(struct watch_keeper *keeper)
{
	keeper->unreachable = true;
}

enum watch_keeper_action watch_keeper_on_answer(struct watch_keeper *keeper,
						bool is_silent)
{
	bool was_unreachable = keeper->unreachable;

	keeper->unreachable = false;
	if (!was_unreachable || keeper->state == WATCH_KEEPER_STOPPED)
		return WATCH_KEEPER_NOTHING;
	if (keeper->state == WATCH_KEEPER_RUNNING && !is_silent)
		return WATCH_KEEPER_NOTHING;
	return start(keeper);
}

void watch_keeper_stop(struct watch_keeper *keeper)
{
	keeper->state = WATCH_KEEPER_STOPPED;
	keeper->unreachable = false;
	keeper->failures = 0;
}

enum watch_keeper_action watch_keeper_resume(struct watch_keeper *keeper)
{
	return keeper->state == WATCH_KEEPER_STOPPED ? start(keeper)
						     : WATCH_KEEPER_NOTHING;
}

const char *watch_keeper_state_name(const struct watch_keeper *keeper)
{
	static const char *const names[] = { "running", "delayed", "suspended",
					     "stopped" };

	return names[keeper->state];
}
