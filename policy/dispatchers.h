/**
 * Choice of the entry that dispatches the pieces of a service for all entries.
 *
 * An upstream of stages processes one call at a time, and a call costs much
 * more than a piece (pieces.h). So calls have to be full, and thirty entries
 * cannot fill them if each makes its own calls. Instead one entry, the
 * dispatcher, collects the pieces of all entries and alone calls the service's
 * upstreams; a large service is split into shards, each with a dispatcher.
 *
 * Each entry computes the dispatchers by itself from the members it knows, and
 * entries that know the same members get the same result. If they do not, two
 * entries dispatch for a while, and calls are less full. The functions keep no
 * state; times are in microseconds.
 */
#ifndef DISPATCHERS_H
#define DISPATCHERS_H

#include <stdbool.h>
#include <stdint.h>

/** An entry that may be chosen. */
struct dispatchers_member {
	uint64_t hash;	   /**< identifies the member */
	uint32_t capacity; /**< in thousandths of a core; 0: takes no work */
};

/** The dispatching of a service, or of one shard of a large service. */
struct dispatchers_task {
	uint64_t hash;	     /**< identifies the service and shard */
	uint64_t dispatcher; /**< result: a member's hash; 0: none can */
};

/** How far an entry that has just started has discovered the others. */
struct dispatchers_discovery {
	int64_t started_us;	    /**< when the entry started */
	int64_t last_discovered_us; /**< last first contact with a member;
					0: none yet */
	bool has_silent_members;    /**< known; no hello received yet */
};

/**
 * How much longer an entry waits for the discovery of others before it submits
 * pieces; 0: discovery is over. Without this wait, each entry of a fleet that
 * starts at once would dispatch by itself.
 *
 * Running members answer within a few ms, and members that start together
 * discover each other one by one. So the entry waits as long as new members
 * appear, and somewhat longer while known members are silent.
 */
int64_t
dispatchers_discovery_left_us(const struct dispatchers_discovery *discovery,
			      int64_t now_us);
/** Number of shards of a service with this many upstreams: 1, 2, 4, ... */
uint32_t dispatchers_shard_count(uint32_t upstreams);
/**
 * Assigns a dispatcher to each task. Only strong members, those with at least
 * half of the highest capacity, get tasks, and none gets a second one before
 * each of them has a first. Sorts the tasks by hash.
 */
void dispatchers_assign(const struct dispatchers_member *members,
			uint32_t members_count, struct dispatchers_task *tasks,
			uint32_t tasks_count);

#endif
