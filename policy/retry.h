/**
 * What follows when a request that was sent to an upstream ends there: pass
 * the answer on, try again, resume, refuse, fail or cut.
 *
 * Keeps two promises. What may run at most once is sent again only after a
 * certain "not run". And a refusal that says "not run" is given only if
 * nothing that was sent can have run.
 */
#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** How one sending ended. */
enum retry_event {
	RETRY_EVENT_NOT_SENT, /**< no byte left: it cannot have run */
	RETRY_EVENT_NOT_RUN,  /**< the upstream says so */
	RETRY_EVENT_ANSWERED, /**< a whole answer that is no failure */
	RETRY_EVENT_ERROR,    /**< a whole answer: the upstream failed */
	RETRY_EVENT_BROKEN,   /**< cut, garbled or given up: it may have run */
	RETRY_EVENT_INPUT_LOST, /**< not run: results of stages are gone */
};

enum retry_step {
	RETRY_STEP_FORWARD, /**< the upstream's answer is the answer */
	RETRY_STEP_RETRY,   /**< send to another upstream */
	RETRY_STEP_RESUME,  /**< send to another, from where the stream broke */
	RETRY_STEP_RECOMPUTE_INPUTS, /**< make the lost results again, then send
				      */
	RETRY_STEP_REFUSE,	     /**< answer "not run" */
	RETRY_STEP_FAIL,	     /**< answer that it may have run */
	RETRY_STEP_ABORT, /**< end a begun answer so that it is seen to be cut
			   */
};

struct retry_state {
	bool repeatable;       /**< may run more than once */
	bool resumable;	       /**< a stream that may go on elsewhere */
	bool response_started; /**< a part of the answer has reached the caller
				*/
	bool may_have_run;     /**< by what was sent before this event */
	uint32_t executions; /**< sendings that may have run, this one included
			      */
	uint32_t executions_max;
	uint32_t attempts; /**< sendings so far */
	bool has_time;	   /**< a further try can still be of use */
};

/**
 * `take` asks the retry budget, once and only if a repeat is wanted that
 * costs it.
 */
enum retry_step retry_next_step(const struct retry_state *state,
				enum retry_event event,
				bool (*take)(void *userdata), void *userdata);

#endif
