#include "policy/verdict.h"

/* Upstreams that one request is moved over when none has run it. */
#define MOVES_MAX 4

static enum verdict_step give_up(const struct verdict_state *state,
				 bool may_have_run)
{
	if (state->begun)
		return VERDICT_CUT;
	return may_have_run ? VERDICT_FAIL : VERDICT_REFUSE;
}

static enum verdict_step after_not_run(const struct verdict_state *state,
				       enum verdict_event event,
				       bool (*take)(void *userdata),
				       void *userdata)
{
	if (state->moves >= MOVES_MAX || !state->has_time)
		return give_up(state, state->may_have_run);
	/* What never left us is no arrival and costs no budget. */
	if (event != VERDICT_NOT_SENT && !take(userdata))
		return give_up(state, state->may_have_run);
	if (event == VERDICT_INPUT_GONE)
		return VERDICT_REMAKE;
	return state->begun ? VERDICT_RESUME : VERDICT_AGAIN;
}

static bool may_repeat(const struct verdict_state *state,
		       bool (*take)(void *userdata), void *userdata)
{
	if (!state->repeatable || !state->has_time ||
	    state->runs >= state->runs_max)
		return false;
	return take(userdata);
}

enum verdict_step verdict_next(const struct verdict_state *state,
			       enum verdict_event event,
			       bool (*take)(void *userdata), void *userdata)
{
	switch (event) {
	case VERDICT_ANSWERED:
		return VERDICT_PASS;
	case VERDICT_NOT_SENT:
	case VERDICT_NOT_RUN:
	case VERDICT_INPUT_GONE:
		return after_not_run(state, event, take, userdata);
	case VERDICT_ERROR:
		if (state->begun) /* no place is left for another answer */
			break;
		return may_repeat(state, take, userdata) ? VERDICT_AGAIN
							 : VERDICT_PASS;
	case VERDICT_BROKEN:
		break;
	}
	if (state->begun && !state->resumes)
		return VERDICT_CUT;
	if (!may_repeat(state, take, userdata))
		return give_up(state, true);
	return state->begun ? VERDICT_RESUME : VERDICT_AGAIN;
}
