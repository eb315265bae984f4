#include "policy/retry.h"

/* Attempts of one request after which it is not sent again if none has run it.
 */
#define ATTEMPTS_MAX 4

static enum retry_step final_step(const struct retry_state *state,
				  bool may_have_run)
{
	if (state->response_started)
		return RETRY_STEP_ABORT;
	return may_have_run ? RETRY_STEP_FAIL : RETRY_STEP_REFUSE;
}

static bool has_run(enum retry_event event)
{
	return event == RETRY_EVENT_ERROR || event == RETRY_EVENT_BROKEN;
}

enum retry_obstacle retry_find_obstacle(const struct retry_state *state,
					enum retry_event event)
{
	if (!has_run(event)) {
		if (state->attempts >= ATTEMPTS_MAX)
			return RETRY_OBSTACLE_ATTEMPTS;
		return state->has_time ? RETRY_OBSTACLE_NONE
				       : RETRY_OBSTACLE_TIME;
	}
	/* No place is left for another answer. */
	if (state->response_started && !state->resumable)
		return RETRY_OBSTACLE_NOT_RESUMABLE;
	if (!state->repeatable)
		return RETRY_OBSTACLE_NOT_REPEATABLE;
	if (!state->has_time)
		return RETRY_OBSTACLE_TIME;
	if (state->executions >= state->executions_max)
		return RETRY_OBSTACLE_EXECUTIONS;
	return RETRY_OBSTACLE_NONE;
}

const char *retry_obstacle_name(enum retry_obstacle obstacle)
{
	static const char *const names[] = {
		[RETRY_OBSTACLE_NONE] = "none",
		[RETRY_OBSTACLE_NOT_REPEATABLE] = "not_repeatable",
		[RETRY_OBSTACLE_NOT_RESUMABLE] = "not_resumable",
		[RETRY_OBSTACLE_EXECUTIONS] = "executions",
		[RETRY_OBSTACLE_ATTEMPTS] = "attempts",
		[RETRY_OBSTACLE_TIME] = "time",
		[RETRY_OBSTACLE_BUDGET] = "budget",
		[RETRY_OBSTACLE_BLOCKED] = "blocked",
		[RETRY_OBSTACLE_PLACE] = "no_place",
	};

	return names[obstacle];
}

static enum retry_step next_attempt(const struct retry_state *state,
				    enum retry_event event)
{
	if (event == RETRY_EVENT_INPUT_LOST)
		return RETRY_STEP_RECOMPUTE_INPUTS;
	return state->response_started ? RETRY_STEP_RESUME : RETRY_STEP_RETRY;
}

static enum retry_step last_step(const struct retry_state *state,
				 enum retry_event event)
{
	if (event == RETRY_EVENT_ERROR && !state->response_started)
		return RETRY_STEP_FORWARD;
	return final_step(state, has_run(event) || state->may_have_run);
}

enum retry_step retry_next_step(const struct retry_state *state,
				enum retry_event event,
				bool (*take_budget)(void *userdata),
				void *userdata)
{
	if (event == RETRY_EVENT_ANSWERED)
		return RETRY_STEP_FORWARD;
	if (retry_find_obstacle(state, event))
		return last_step(state, event);
	/* An attempt that was not sent adds no load and costs no budget. */
	if (event != RETRY_EVENT_NOT_SENT && !take_budget(userdata))
		return last_step(state, event);
	return next_attempt(state, event);
}
