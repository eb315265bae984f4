#include "policy/rate_limit.h"

bool rate_limit_hear(struct rate_limit *limit,
		     const struct rate_limit_word *word)
{
	bool changed = limit->named != word->named ||
		       (word->named && limit->per_s != word->per_s);

	if (word->heard_us < limit->heard_us)
		return false;
	limit->heard_us = word->heard_us;
	limit->named = word->named;
	limit->per_s = word->named ? word->per_s : 0;
	return changed;
}
