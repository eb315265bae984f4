/**
 * What follows when a request that was sent to an upstream ends there: pass
 * the answer on, try again, resume, refuse, fail or cut.
 *
 * Keeps two promises. What may run at most once is sent again only after a
 * certain "not run". And a refusal that says "not run" is given only if
 * nothing that was sent can have run.
 */
#ifndef VERDICT_H
#define VERDICT_H

#include <stdbool.h>
#include <stdint.h>

/** How one sending ended. */
enum verdict_event {
	VERDICT_NOT_SENT,   /**< no byte left: it cannot have run */
	VERDICT_NOT_RUN,    /**< the upstream says so */
	VERDICT_ANSWERED,   /**< a whole answer that is no failure */
	VERDICT_ERROR,	    /**< a whole answer: the upstream failed */
	VERDICT_BROKEN,	    /**< cut, garbled or given up: it may have run */
	VERDICT_INPUT_GONE, /**< not run: results of stages are gone */
};

enum verdict_step {
	VERDICT_PASS,	/**< the upstream's answer is the answer */
	VERDICT_AGAIN,	/**< send to another upstream */
	VERDICT_RESUME, /**< send to another, from where the stream broke */
	VERDICT_REMAKE, /**< make the lost results again, then send */
	VERDICT_REFUSE, /**< answer "not run" */
	VERDICT_FAIL,	/**< answer that it may have run */
	VERDICT_CUT,	/**< end a begun answer so that it is seen to be cut */
};

struct verdict_state {
	bool repeatable;   /**< may run more than once */
	bool resumes;	   /**< a stream that may go on elsewhere */
	bool begun;	   /**< a part of the answer has reached the caller */
	bool may_have_run; /**< by what was sent before this event */
	uint32_t runs;	   /**< sendings that may have run, this one included */
	uint32_t runs_max;
	uint32_t moves; /**< sendings so far */
	bool has_time;	/**< a further try can still be of use */
};

/**
 * `take` asks the retry budget, once and only if a repeat is wanted that
 * costs it.
 */
enum verdict_step verdict_next(const struct verdict_state *state,
			       enum verdict_event event,
			       bool (*take)(void *userdata), void *userdata);

#endif
