/**
 * Which entry dispatches the pieces of a service for all entries.
 *
 * An upstream of stages does one call at a time, and a call costs much more
 * than a piece. So calls have to be full, and thirty entries that call by
 * themselves cannot fill them: one entry gathers the pieces of all, and it
 * alone calls these upstreams. Each entry works out for itself who that is,
 * from the members it knows; all come to the same where they know the same.
 * Where they do not, two entries dispatch for a while, and calls are less full.
 */
#ifndef DISPATCHERS_H
#define DISPATCHERS_H

#include <stdbool.h>
#include <stdint.h>

struct dispatchers_member {
	uint64_t hash;	   /**< names it */
	uint32_t capacity; /**< in thousandths of a core; 0: takes no work */
};

/** What one entry dispatches: a service, or a part of a large one. */
struct dispatchers_task {
	uint64_t hash;	     /**< names it */
	uint64_t dispatcher; /**< found: a member's hash; 0: nobody can */
};

/** What an entry that has just started knows of the others. */
struct dispatchers_discovery {
	int64_t started_us;	    /**< when it started itself */
	int64_t last_discovered_us; /**< when it heard a new member last; 0:
				       none yet */
	bool has_silent_members;    /**< of members that it has not heard */
};

/**
 * How long it waits yet before it asks for pieces; 0: it knows the others, as
 * far as it can. Else each entry of a fleet that starts at once would dispatch
 * by itself.
 *
 * Members that are there answer within a few ms, and those that start together
 * find each other one by one, so it waits for as long as new ones turn up, and
 * a little longer while some that it knows of are silent.
 */
int64_t
dispatchers_discovery_left_us(const struct dispatchers_discovery *meeting,
			      int64_t now_us);
/** Parts into which a service of so many upstreams is split: 1, 2, 4, ... */
uint32_t dispatchers_shard_count(uint32_t upstreams);
/**
 * Find the dispatcher of each task. Strong members go first, and none gets a
 * second task before each strong one has a first. Sorts the tasks by hash.
 */
void dispatchers_assign(const struct dispatchers_member *members,
			uint32_t members_count, struct dispatchers_task *tasks,
			uint32_t tasks_count);

#endif
