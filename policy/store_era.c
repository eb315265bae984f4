#include "policy/store_era.h"

int store_revision_compare(const struct store_revision *a,
			   const struct store_revision *b)
{
	if (a->era != b->era)
		return a->era < b->era ? -1 : 1;
	return (a->revision > b->revision) - (a->revision < b->revision);
}

void store_era_init(struct store_era *state)
{
	*state = (struct store_era){ .era = STORE_ERA_UNKNOWN };
}

static enum store_era_verdict compare(const struct store_era *state,
				      int64_t era, int64_t sent_us)
{
	if (era == state->era)
		return STORE_ERA_SAME;
	if (era == STORE_ERA_UNKNOWN)
		return state->is_missing ? STORE_ERA_SAME : STORE_ERA_MISSING;
	if (state->era == STORE_ERA_UNKNOWN)
		return STORE_ERA_FIRST;
	if (era > state->era)
		return STORE_ERA_NEW;
	return sent_us <= state->noted_us ? STORE_ERA_STALE : STORE_ERA_BACK;
}

enum store_era_verdict store_era_handle_answer(struct store_era *state,
					       int64_t era, int64_t sent_us,
					       int64_t now_us)
{
	enum store_era_verdict verdict = compare(state, era, sent_us);

	state->is_missing = era == STORE_ERA_UNKNOWN;
	switch (verdict) {
	case STORE_ERA_NEW:
	case STORE_ERA_BACK:
		state->changes++;
		/* fall through */
	case STORE_ERA_FIRST:
		state->era = era;
		state->noted_us = now_us;
		break;
	case STORE_ERA_SAME:
	case STORE_ERA_STALE:
	case STORE_ERA_MISSING:
		break;
	}
	return verdict;
}

const char *store_era_verdict_name(enum store_era_verdict verdict)
{
	static const char *const names[] = {
		[STORE_ERA_SAME] = "same",   [STORE_ERA_FIRST] = "first",
		[STORE_ERA_NEW] = "new",     [STORE_ERA_BACK] = "back",
		[STORE_ERA_STALE] = "stale", [STORE_ERA_MISSING] = "missing",
	};

	return names[verdict];
}
