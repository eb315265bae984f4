#include "policy/stall.h"

#include <glib.h>

/* An answer is late beyond its target; only a much later one is a stall. */
#define TARGET_MULTIPLE 2
#define GAP_MULTIPLE 3
#define EXPECTED_MULTIPLE 4
#define TIMEOUT_MIN_US (300 * LP_US_PER_MS)
#define FIRST_EVENT_MIN_US (1000 * LP_US_PER_MS)

int64_t stall_timeout_us(const struct stall_times *times)
{
	if (times->is_stream && times->has_begun)
		return MAX(GAP_MULTIPLE * times->gap_us, TIMEOUT_MIN_US);
	if (times->is_stream)
		return MAX(EXPECTED_MULTIPLE * times->expected_us,
			   FIRST_EVENT_MIN_US);
	/* Half of the time is left for another upstream. */
	return MIN(MAX(TARGET_MULTIPLE * times->target_us, TIMEOUT_MIN_US),
		   times->left_us / 2);
}

static enum retry_obstacle find_obstacle(const struct stall_attempt *attempt)
{
	if (attempt->retry_obstacle)
		return attempt->retry_obstacle;
	if (attempt->is_blocked)
		return RETRY_OBSTACLE_BLOCKED;
	if (!attempt->has_place)
		return RETRY_OBSTACLE_PLACE;
	return attempt->has_budget ? RETRY_OBSTACLE_NONE
				   : RETRY_OBSTACLE_BUDGET;
}

struct stall_decision stall_decide(const struct stall_attempt *attempt)
{
	enum retry_obstacle obstacle = find_obstacle(attempt);
	struct stall_decision decision = {
		.step = obstacle ? STALL_STAY : STALL_MOVE,
		.obstacle = obstacle,
		.recheck_us = obstacle == RETRY_OBSTACLE_BLOCKED
				      ? STALL_BLOCKED_RECHECK_US
				      : STALL_RECHECK_US,
	};

	if (attempt->is_peer_gone) {
		decision.step = STALL_END;
		decision.obstacle = RETRY_OBSTACLE_NONE;
	}
	return decision;
}
