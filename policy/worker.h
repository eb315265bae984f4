/**
 * The decisions of an agent: what it runs, refuses, remembers and withdraws.
 *
 * Pure: events and the clock in, actions out through struct worker_ops.
 * It is the only way to its upstream, so what it says of a call is certain:
 * a call it has not started did not run, and one it has fenced never will.
 */
#ifndef WORKER_H
#define WORKER_H

#include "base/lp_clock.h"
#include "base/lp_error.h"
#include "base/lp_id.h"
#include "policy/queue.h"

struct worker;

enum worker_state {
	WORKER_FENCED, /**< never seen or refused: will not run */
	WORKER_QUEUED,
	WORKER_RUNNING,
	WORKER_CANCELLED, /**< started, nobody waits; is being ended */
	WORKER_DONE,
	WORKER_LOST, /**< too long ago to tell, or another incarnation's */
};

/** A question about a call. */
struct worker_state_query {
	struct lp_call_id id;
	const char *peer;
	uint64_t incarnation; /**< that the call was sent to */
	int64_t sent_us;      /**< of the call, on this agent's clock */
	bool withdraw;	      /**< also take it out of the queue, or end it */
};

/** The one answer to a call. */
struct worker_result {
	int error;
	enum lp_run run;
	uint32_t chunks;
	uint32_t queue_us;
	uint32_t run_us;
	uint32_t tokens;
	uint32_t retry_us; /**< what its organisation would wait now */
	char *body;
};

/** A call as the worker remembers it. */
struct worker_call {
	struct lp_call_id id;
	enum worker_state state;
	int64_t arrived_us;
	int64_t started_us;
	int64_t expires_us;
	bool repeatable;
	uint32_t chunks;
	char *peer;
	char *organisation;
	uint32_t weight;
	struct queue_item item;
	struct worker_result result;
	void *payload;	/**< the owner's; freed by free_payload */
	void *run_data; /**< the owner's, while RUNNING or CANCELLED */
};

/** A call as it comes in. Strings are copied; the payload is taken. */
struct worker_submit {
	struct lp_call_id id;
	const char *peer;
	const char *organisation;
	uint32_t weight;
	uint64_t incarnation;
	int64_t echo_us;
	int64_t held_us;
	int64_t left_us;
	bool repeatable;
	void *payload;
};

struct worker_load {
	uint32_t queued;
	uint32_t running;
	uint32_t limit;
	uint32_t wait_us;
	uint32_t run_us;
	bool draining;
};

struct worker_ops {
	/** Run the call at the upstream; end with worker_finished(). */
	void (*start)(void *userdata, struct worker_call *call);
	/** End a run early; worker_finished() must still follow. */
	void (*cancel)(void *userdata, struct worker_call *call);
	void (*reply)(void *userdata, const struct worker_call *call);
	/** A refusal of a call that is not kept as one. */
	void (*refuse)(void *userdata, const char *peer,
		       const struct lp_call_id *id,
		       const struct worker_result *result);
	void (*state)(void *userdata, const char *peer,
		      const struct lp_call_id *id, enum worker_state state);
	void (*free_payload)(void *payload);
};

struct worker_options {
	const struct lp_clock *clock;
	const struct worker_ops *ops;
	void *userdata;
	uint64_t incarnation;
	uint32_t concurrency;  /**< most calls at once; 0: 8 */
	uint32_t queue_max;    /**< calls waiting; 0: 1000 */
	int64_t age_limit_us;  /**< oldest call that may run; 0: 8 s */
	int64_t result_ttl_us; /**< results kept after the end; 0: 5 s */
	bool naive; /**< FIFO, no refusal by deadline, fixed concurrency */
};

struct worker *worker_create(const struct worker_options *options);
void worker_destroy(struct worker *worker);
void worker_set_concurrency(struct worker *worker, uint32_t concurrency);

/** The upstream says that this many calls wait inside it. */
void worker_set_upstream_queued(struct worker *worker, uint32_t waiting);

void worker_submit(struct worker *worker, const struct worker_submit *offer);
/**
 * Answer a question. A call never seen is refused for good, so that "it did
 * not run" stays true when the call itself arrives after the question.
 */
void worker_query(struct worker *worker,
		  const struct worker_state_query *question);
/** The upstream ended a call. `result->body` is taken. */
void worker_finished(struct worker *worker, struct worker_call *call,
		     const struct worker_result *result);
/** Refuse all new work from now on; queued work is given back. */
void worker_drain(struct worker *worker);
/** Forget what is past its time; refuse what can no longer be in time. */
void worker_tick(struct worker *worker);
/** Nothing runs and nothing waits. */
bool worker_is_idle(const struct worker *worker);
void worker_get_load(const struct worker *worker, struct worker_load *out);
uint32_t worker_call_count(const struct worker *worker);

#endif
