#include "policy/dispatchers.h"

#include "base/lp_clock.h"
#include "base/lp_id.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

/* Upstreams that one entry keeps at work: some 120 calls a second, about a
 * tenth of a core. */
#define UPSTREAMS_EACH 32
/* Members of at least this part of the strongest one's capacity are strong. */
#define STRONG_PART 2

/* Whoever has not been heard is greeted again after 100 ms: one greeting may
 * be lost. */
#define MEET_QUIET_US (100 * LP_US_PER_MS)
/* Hosts that start together do so within 300 ms, and their greetings take a few
 * ms more. */
#define MEET_SILENT_US (350 * LP_US_PER_MS)
/* Thirty entries have met by then, though some greetings are lost. */
#define MEET_MAX_US (700 * LP_US_PER_MS)

int64_t
dispatchers_discovery_left_us(const struct dispatchers_discovery *meeting,
			      int64_t now_us)
{
	int64_t started_us = meeting->started_us;
	int64_t until_us =
		MAX(started_us, meeting->last_discovered_us) + MEET_QUIET_US;

	if (meeting->has_silent_members)
		until_us = MAX(until_us, started_us + MEET_SILENT_US);
	return MAX(MIN(until_us, started_us + MEET_MAX_US) - now_us, 0);
}

uint32_t dispatchers_shard_count(uint32_t upstreams)
{
	uint32_t parts = 1;

	while (upstreams > parts * UPSTREAMS_EACH)
		parts *= 2;
	return parts;
}

static int by_hash(const void *a, const void *b)
{
	const struct dispatchers_task *one = a;
	const struct dispatchers_task *two = b;

	return one->hash < two->hash ? -1 : one->hash > two->hash;
}

static uint32_t strongest(const struct dispatchers_member *members,
			  uint32_t count)
{
	uint32_t most = 0;

	for (uint32_t i = 0; i < count; i++)
		most = MAX(most, members[i].capacity);
	return most;
}

static bool is_strong(const struct dispatchers_member *member, uint32_t most)
{
	return member->capacity && member->capacity * STRONG_PART >= most;
}

/* Among strong members of the fewest tasks, the one that ranks highest. */
static uint32_t pick(const struct dispatchers_member *members, uint32_t count,
		     const uint32_t *held, uint32_t most, uint64_t task)
{
	uint32_t best = count;
	uint64_t best_rank = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t rank = lp_hash_pair(members[i].hash, task);

		if (!is_strong(&members[i], most))
			continue;
		if (best < count &&
		    (held[i] > held[best] ||
		     (held[i] == held[best] && rank <= best_rank)))
			continue;
		best = i;
		best_rank = rank;
	}
	return best;
}

static void find_each(const struct dispatchers_member *members,
		      uint32_t members_count, struct dispatchers_task *tasks,
		      uint32_t tasks_count, uint32_t *held)
{
	uint32_t most = strongest(members, members_count);

	for (uint32_t i = 0; i < tasks_count; i++) {
		uint32_t at =
			pick(members, members_count, held, most, tasks[i].hash);

		tasks[i].dispatcher = at < members_count ? members[at].hash : 0;
		if (at < members_count)
			held[at]++;
	}
}

void dispatchers_assign(const struct dispatchers_member *members,
			uint32_t members_count, struct dispatchers_task *tasks,
			uint32_t tasks_count)
{
	uint32_t *held;

	if (!tasks_count)
		return;
	held = g_new0(uint32_t, members_count + 1);
	qsort(tasks, tasks_count, sizeof(*tasks), by_hash);
	find_each(members, members_count, tasks, tasks_count, held);
	g_free(held);
}
