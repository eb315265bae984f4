#include "policy/load_shedding.h"

/* The upstreams of a stage can hold the results of about two calls. Late work
 * that waits for longer leaves them no memory for on-time work. */
#define HELD_CALLS_MAX 2
/* On-time work that takes this part of the capacity leaves late work only the
 * remainders of calls. */
#define CAPACITY_TAKEN 0.9

static int64_t held_wait_max_us(const struct load_shedding_queue *queue)
{
	return HELD_CALLS_MAX * queue->call_us;
}

/* Whether on-time work takes all the capacity for as long as late work may
 * occupy memory. */
static bool is_capacity_taken(const struct load_shedding_queue *queue)
{
	double period_us = (double)held_wait_max_us(queue);

	return queue->on_time_us + queue->on_time_use * period_us >=
	       CAPACITY_TAKEN * period_us;
}

enum load_shedding_reason
load_shedding_decide(const struct load_shedding_queue *queue,
		     const struct load_shedding_group *group)
{
	if (!group->late && queue->now_us < group->expires_us)
		return LOAD_SHEDDING_NONE;
	if (group->wait_us > group->expires_us - queue->now_us)
		return LOAD_SHEDDING_EXPIRY;
	if (group->holds_memory && is_capacity_taken(queue) &&
	    group->wait_us > held_wait_max_us(queue) + queue->call_us)
		return LOAD_SHEDDING_MEMORY;
	return LOAD_SHEDDING_NONE;
}

const char *load_shedding_reason_name(enum load_shedding_reason reason)
{
	static const char *const names[] = { "none", "expiry", "memory" };

	return names[reason];
}
