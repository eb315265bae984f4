/**
 * Which waiting work of an overloaded queue is shed: dropped, so that its owner
 * refuses the request at once instead of holding it until its deadline.
 *
 * Work is shed only when it is late and either cannot be completed while it is
 * of use, or occupies result memory of the stage before that work which can
 * still be on time needs. A pure decision without state. All times are in
 * microseconds.
 */
#ifndef LOAD_SHEDDING_H
#define LOAD_SHEDDING_H

#include <stdbool.h>
#include <stdint.h>

enum load_shedding_reason {
	LOAD_SHEDDING_NONE,   /**< it stays */
	LOAD_SHEDDING_EXPIRY, /**< cannot be completed while it is of use */
	LOAD_SHEDDING_MEMORY, /**< occupies memory that on-time work needs */
};

/** State of the queue. */
struct load_shedding_queue {
	int64_t now_us;
	int64_t call_us;    /**< expected time of a full call */
	double on_time_us;  /**< time in which all upstreams would process the
			       work that can be on time and is waiting */
	double on_time_use; /**< part of the capacity that newly arriving
			       on-time work takes, 0 or more */
};

/** Waiting pieces of one stage of one request, none of which is in a running
 * call. */
struct load_shedding_group {
	bool late;
	bool holds_memory;  /**< its inputs occupy scarce result memory */
	int64_t wait_us;    /**< shortest time until its completion that the
			       forecast allows for */
	int64_t expires_us; /**< last time at which it is of use */
};

enum load_shedding_reason
load_shedding_decide(const struct load_shedding_queue *queue,
		     const struct load_shedding_group *group);
/** Name for logs and metrics. */
const char *load_shedding_reason_name(enum load_shedding_reason reason);

#endif
