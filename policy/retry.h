/**
 * Retry policy: the next step after an attempt to run a request at an upstream
 * has ended.
 *
 * It guarantees two things. A request that may run at most once is sent again
 * only if it is certain that it has not run. And the caller gets a refusal,
 * which says "not run", only if no attempt can have run.
 *
 * The functions keep no state.
 */
#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** How an attempt ended. */
enum retry_event {
	RETRY_EVENT_NOT_SENT, /**< no byte was sent: it cannot have run */
	RETRY_EVENT_NOT_RUN,  /**< the upstream answered "not run" */
	RETRY_EVENT_ANSWERED, /**< a complete answer, no failure */
	RETRY_EVENT_ERROR,    /**< a complete answer: the upstream failed */
	/** The answer was cut, garbled or abandoned: it may have run. */
	RETRY_EVENT_BROKEN,
	RETRY_EVENT_INPUT_LOST, /**< not run: results of stages are lost */
};

enum retry_step {
	RETRY_STEP_FORWARD, /**< pass the upstream's answer on */
	RETRY_STEP_RETRY,   /**< send to another upstream */
	/** Send to another upstream, from where the stream broke off. */
	RETRY_STEP_RESUME,
	/** Recompute the lost results of stages, then send again. */
	RETRY_STEP_RECOMPUTE_INPUTS,
	RETRY_STEP_REFUSE, /**< answer "not run" */
	RETRY_STEP_FAIL,   /**< answer that it may have run */
	/** End a started answer so that the caller sees it is incomplete. */
	RETRY_STEP_ABORT,
};

struct retry_state {
	bool repeatable; /**< may run more than once */
	bool resumable;	 /**< a stream that another upstream can continue */
	bool response_started; /**< a part was sent to the caller */
	bool may_have_run;     /**< an earlier attempt may have run */
	/** Attempts that may have run, this one included. */
	uint32_t executions;
	uint32_t executions_max;
	uint32_t attempts; /**< so far */
	bool has_time;	   /**< the deadline allows a further attempt */
};

/** Why a request is not sent again. */
enum retry_obstacle {
	RETRY_OBSTACLE_NONE,
	RETRY_OBSTACLE_NOT_REPEATABLE,
	RETRY_OBSTACLE_NOT_RESUMABLE, /**< a started answer that is no stream */
	RETRY_OBSTACLE_EXECUTIONS,    /**< `executions_max` is reached */
	RETRY_OBSTACLE_ATTEMPTS,      /**< too many that did not run */
	RETRY_OBSTACLE_TIME,
	RETRY_OBSTACLE_BUDGET,
	RETRY_OBSTACLE_BLOCKED, /**< by the quarantine */
	RETRY_OBSTACLE_PLACE,	/**< no other upstream may take it now */
};

/** What forbids a further attempt after this one, the budget aside. */
enum retry_obstacle retry_find_obstacle(const struct retry_state *state,
					enum retry_event event);
/** For log lines and labels. */
const char *retry_obstacle_name(enum retry_obstacle obstacle);

/**
 * `take_budget` takes one retry out of the budget and returns whether there was
 * one; it is called at most once, and only for a retry that costs budget.
 */
enum retry_step retry_next_step(const struct retry_state *state,
				enum retry_event event,
				bool (*take_budget)(void *userdata),
				void *userdata);

#endif
