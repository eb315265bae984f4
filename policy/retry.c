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

static enum retry_step after_not_run(const struct retry_state *state,
				     enum retry_event event,
				     bool (*take_budget)(void *userdata),
				     void *userdata)
{
	if (state->attempts >= ATTEMPTS_MAX || !state->has_time)
		return final_step(state, state->may_have_run);
	/* An attempt that was not sent adds no load and costs no budget. */
	if (event != RETRY_EVENT_NOT_SENT && !take_budget(userdata))
		return final_step(state, state->may_have_run);
	if (event == RETRY_EVENT_INPUT_LOST)
		return RETRY_STEP_RECOMPUTE_INPUTS;
	return state->response_started ? RETRY_STEP_RESUME : RETRY_STEP_RETRY;
}

static bool may_retry(const struct retry_state *state,
		      bool (*take_budget)(void *userdata), void *userdata)
{
	if (!state->repeatable || !state->has_time ||
	    state->executions >= state->executions_max)
		return false;
	return take_budget(userdata);
}

enum retry_step retry_next_step(const struct retry_state *state,
				enum retry_event event,
				bool (*take_budget)(void *userdata),
				void *userdata)
{
	switch (event) {
	case RETRY_EVENT_ANSWERED:
		return RETRY_STEP_FORWARD;
	case RETRY_EVENT_NOT_SENT:
	case RETRY_EVENT_NOT_RUN:
	case RETRY_EVENT_INPUT_LOST:
		return after_not_run(state, event, take_budget, userdata);
	case RETRY_EVENT_ERROR:
		if (state->response_started) /* no place is left for another
						answer */
			break;
		return may_retry(state, take_budget, userdata)
			       ? RETRY_STEP_RETRY
			       : RETRY_STEP_FORWARD;
	case RETRY_EVENT_BROKEN:
		break;
	}
	if (state->response_started && !state->resumable)
		return RETRY_STEP_ABORT;
	if (!may_retry(state, take_budget, userdata))
		return final_step(state, true);
	return state->response_started ? RETRY_STEP_RESUME : RETRY_STEP_RETRY;
}
