/**
 * What to do with an attempt whose upstream has sent nothing for a while.
 *
 * An upstream that sends nothing may pause, hang or be gone, which its silence
 * does not tell. So the attempt is kept until something better is certain:
 * another upstream that may and can take the request now, or that its own is
 * gone. Its deadline and its caller end it otherwise. Whoever keeps it asks
 * again after a while, and stops asking once the upstream sends.
 *
 * The functions keep no state. All times are in microseconds.
 */
#ifndef STALL_H
#define STALL_H

#include "base/lp_clock.h"
#include "policy/retry.h"

#include <stdbool.h>
#include <stdint.h>

/** Interval between two decisions about a silent upstream, and if the
 * quarantine blocks the request. */
#define STALL_RECHECK_US (100 * LP_US_PER_MS)
#define STALL_BLOCKED_RECHECK_US (1 * LP_US_PER_S)

/** What is expected of an attempt. */
struct stall_times {
	bool is_stream;
	bool has_begun;	     /**< a stream: an event has come */
	int64_t target_us;   /**< of its route, for the answer or first event */
	int64_t gap_us;	     /**< of its route: longest pause of a stream */
	int64_t expected_us; /**< a stream: estimate, to its first event */
	int64_t left_us;     /**< to the deadline */
};

/** How long an upstream may send nothing until a move is considered. */
int64_t stall_timeout_us(const struct stall_times *times);

struct stall_attempt {
	/** Its host acknowledges nothing, or its process has terminated. */
	bool is_peer_gone;
	/** retry_find_obstacle() after RETRY_EVENT_BROKEN. */
	enum retry_obstacle retry_obstacle;
	bool is_blocked; /**< by the quarantine */
	bool has_place;	 /**< an upstream that it has not tried may take it */
	bool has_budget; /**< the retry budget allows a retry */
};

enum stall_step {
	STALL_STAY, /**< keep the attempt */
	STALL_MOVE, /**< send to another upstream, then end the attempt */
	STALL_END,  /**< end the attempt as RETRY_EVENT_BROKEN */
};

struct stall_decision {
	enum stall_step step;
	enum retry_obstacle obstacle; /**< why it stays */
	int64_t recheck_us;	      /**< until the next decision */
};

struct stall_decision stall_decide(const struct stall_attempt *attempt);

#endif
