#include "policy/dispatchers.h"

#include "base/lp_clock.h"
#include "base/lp_id.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

/* Upstreams that one dispatcher keeps busy: some 120 calls a second, about a
 * tenth of a core. */
#define UPSTREAMS_PER_SHARD 32
/* Members are strong if their capacity is at least the highest one divided by
 * this. */
#define STRONG_CAPACITY_DIVISOR 2

/* A hello is sent again after 100 ms to members that have not answered, as one
 * hello may be lost. */
#define DISCOVERY_QUIET_US (100 * LP_US_PER_MS)
/* Hosts that start together come up within 300 ms, and their hellos take a
 * few ms more. */
#define DISCOVERY_SILENT_US (350 * LP_US_PER_MS)
/* By then thirty entries have discovered each other, even if some hellos are
 * lost. */
#define DISCOVERY_MAX_US (700 * LP_US_PER_MS)

int64_t
dispatchers_discovery_left_us(const struct dispatchers_discovery *discovery,
			      int64_t now_us)
{
	int64_t started_us = discovery->started_us;
	int64_t until_us = MAX(started_us, discovery->last_discovered_us) +
			   DISCOVERY_QUIET_US;

	if (discovery->has_silent_members)
		until_us = MAX(until_us, started_us + DISCOVERY_SILENT_US);
	return MAX(MIN(until_us, started_us + DISCOVERY_MAX_US) - now_us, 0);
}

uint32_t dispatchers_shard_count(uint32_t upstreams)
{
	uint32_t shards = 1;

	while (upstreams > shards * UPSTREAMS_PER_SHARD)
		shards *= 2;
	return shards;
}

static int compare_hash(const void *a, const void *b)
{
	const struct dispatchers_task *one = a;
	const struct dispatchers_task *two = b;

	return one->hash < two->hash ? -1 : one->hash > two->hash;
}

static uint32_t max_capacity(const struct dispatchers_member *members,
			     uint32_t count)
{
	uint32_t top_capacity = 0;

	for (uint32_t i = 0; i < count; i++)
		top_capacity = MAX(top_capacity, members[i].capacity);
	return top_capacity;
}

static bool is_strong(const struct dispatchers_member *member,
		      uint32_t top_capacity)
{
	return member->capacity &&
	       member->capacity * STRONG_CAPACITY_DIVISOR >= top_capacity;
}

/* The strong member with the fewest tasks; of several, the one with the highest
 * rendezvous hash. Returns its index, or `count` if no member is strong. */
static uint32_t choose_dispatcher(const struct dispatchers_member *members,
				  uint32_t count, const uint32_t *task_counts,
				  uint32_t top_capacity, uint64_t task_hash)
{
	uint32_t best = count;
	uint64_t best_rank = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t rank = lp_hash_pair(members[i].hash, task_hash);

		if (!is_strong(&members[i], top_capacity))
			continue;
		if (best < count && (task_counts[i] > task_counts[best] ||
				     (task_counts[i] == task_counts[best] &&
				      rank <= best_rank)))
			continue;
		best = i;
		best_rank = rank;
	}
	return best;
}

static void assign_each(const struct dispatchers_member *members,
			uint32_t members_count, struct dispatchers_task *tasks,
			uint32_t tasks_count, uint32_t *task_counts)
{
	uint32_t top_capacity = max_capacity(members, members_count);

	for (uint32_t i = 0; i < tasks_count; i++) {
		uint32_t member =
			choose_dispatcher(members, members_count, task_counts,
					  top_capacity, tasks[i].hash);

		tasks[i].dispatcher =
			member < members_count ? members[member].hash : 0;
		if (member < members_count)
			task_counts[member]++;
	}
}

void dispatchers_assign(const struct dispatchers_member *members,
			uint32_t members_count, struct dispatchers_task *tasks,
			uint32_t tasks_count)
{
	uint32_t *task_counts;

	if (!tasks_count)
		return;
	task_counts = g_new0(uint32_t, members_count + 1);
	qsort(tasks, tasks_count, sizeof(*tasks), compare_hash);
	assign_each(members, members_count, tasks, tasks_count, task_counts);
	g_free(task_counts);
}
