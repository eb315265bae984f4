/**
 * Worker: an agent's decisions on the calls to its upstream.
 *
 * The worker queues, starts, refuses, cancels and remembers calls. All calls to
 * the upstream go through its agent, so the states it reports are certain: a
 * call that it has not started did not run, and a fenced call never will. A
 * fence is a remembered call id that must not run any more.
 *
 * Pure: events and the clock in, actions out through struct worker_ops. The
 * worker owns its calls. Times are in microseconds on the agent's clock; errors
 * are enum lp_error values.
 */
#ifndef WORKER_H
#define WORKER_H

#include "base/lp_clock.h"
#include "base/lp_error.h"
#include "base/lp_id.h"
#include "policy/queue.h"

struct worker;

enum worker_state {
	WORKER_FENCED, /**< did not run and never will */
	WORKER_QUEUED,
	WORKER_RUNNING,
	WORKER_CANCELLED, /**< started, cancelled, not ended yet */
	WORKER_DONE,
	WORKER_LOST, /**< unknown: too old, or of another incarnation */
};

/** An entry's query for the state of a call. */
struct worker_state_query {
	struct lp_call_id id;
	const char *peer;
	uint64_t incarnation; /**< to which the call was sent */
	int64_t sent_us;      /**< when the call was sent */
	bool withdraw;	      /**< also dequeue or cancel the call */
};

/** The answer to a call; each call has exactly one. */
struct worker_result {
	int error;
	enum lp_run run;
	uint32_t chunks;
	uint32_t queue_us;
	uint32_t run_us;
	uint32_t tokens;
	uint32_t retry_us; /**< expected queueing time of a new call */
	char *body;
};

/** A call that the worker has accepted or fenced; owned by the worker. */
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
	void *payload;	/**< the caller's data; freed by free_payload */
	void *run_data; /**< the caller's, while RUNNING or CANCELLED */
};

/** A new call. Strings are copied; the worker takes over the payload. */
struct worker_submit {
	struct lp_call_id id;
	const char *peer;
	const char *organisation;
	uint32_t weight;
	uint64_t incarnation;
	int64_t echo_us; /**< this agent's time in its last report */
	int64_t held_us; /**< time from that report's arrival to the sending */
	int64_t left_us; /**< time until the call must be done */
	bool repeatable;
	void *payload;
};

/** The load that an agent reports to entries. */
struct worker_load {
	uint32_t queued;
	uint32_t running;
	uint32_t limit;	  /**< current concurrency limit */
	uint32_t wait_us; /**< expected queueing time of a new call */
	uint32_t run_us;  /**< median run time, or mean age of runs if more */
	bool draining;
};

struct worker_ops {
	/** Run the call at the upstream; worker_finished() must follow. */
	void (*start)(void *userdata, struct worker_call *call);
	/** Cancel a running call; worker_finished() must still follow. */
	void (*cancel)(void *userdata, struct worker_call *call);
	/** Send `call->result` to the call's peer. */
	void (*reply)(void *userdata, const struct worker_call *call);
	/** Send the refusal of a newly arrived call. */
	void (*refuse)(void *userdata, const char *peer,
		       const struct lp_call_id *id,
		       const struct worker_result *result);
	/** Answer a query with the call's state. */
	void (*state)(void *userdata, const char *peer,
		      const struct lp_call_id *id, enum worker_state state);
	void (*free_payload)(void *payload);
};

struct worker_options {
	const struct lp_clock *clock;
	const struct worker_ops *ops;
	void *userdata;
	uint64_t incarnation;
	uint32_t concurrency;  /**< maximum of running calls; 0: 8 */
	uint32_t queue_max;    /**< maximum of queued calls; 0: 1000 */
	int64_t age_limit_us;  /**< maximum age of a call to run; 0: 8 s */
	int64_t result_ttl_us; /**< retention of results; 0: 5 s */
	bool naive; /**< baseline: FIFO, no refusal by deadline, fixed limit */
};

struct worker *worker_create(const struct worker_options *options);
void worker_destroy(struct worker *worker);
void worker_set_concurrency(struct worker *worker, uint32_t concurrency);

/** Set how many calls the upstream reports as queued inside it. */
void worker_set_upstream_queued(struct worker *worker, uint32_t waiting);

/** Accept or refuse a call. A duplicate is answered, never run again. */
void worker_submit(struct worker *worker, const struct worker_submit *submit);
/**
 * Answer a query. A call that has not arrived is fenced, so that "did not run"
 * stays true if the call arrives after the query.
 */
void worker_query(struct worker *worker,
		  const struct worker_state_query *query);
/** A started call ended. The worker takes over `result->body`. */
void worker_finished(struct worker *worker, struct worker_call *call,
		     const struct worker_result *result);
/** Drain: refuse queued calls and all new ones; running calls go on. */
void worker_drain(struct worker *worker);
/** Free expired calls, cancel overdue ones, start queued ones. */
void worker_tick(struct worker *worker);
/** Whether no call runs or is queued. */
bool worker_is_idle(const struct worker *worker);
void worker_get_load(const struct worker *worker, struct worker_load *out);
/** Calls in memory, ended and fenced ones included. */
uint32_t worker_call_count(const struct worker *worker);

#endif
