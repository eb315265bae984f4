/**
 * Request flow: how an entry takes a request through its pipeline's stages.
 *
 * An entry accepts callers' requests and sends each stage as a call to an
 * agent, the process in front of one upstream. The flow decides on admission,
 * upstream selection, failover, hedging and withdrawal. An attempt is one call
 * to one agent, under its own id; an answer counts only if its id names a live
 * attempt. A stage that is not repeatable is sent again only after the agent
 * reported that the call did not run.
 *
 * Pure: events and the clock in, actions out through struct flow_ops. The flow
 * owns its requests, services and routing tables. Times are in microseconds
 * on the clock of flow_options; errors are enum lp_error values.
 */
#ifndef FLOW_H
#define FLOW_H

#include "base/lp_clock.h"
#include "base/lp_error.h"
#include "base/lp_id.h"
#include "policy/bucket.h"
#include "policy/quantile.h"
#include "policy/route.h"
#include "policy/trace.h"

struct flow;
struct flow_request;

/** Attempts of a stage that may be live at once: the first and its hedge. */
#define FLOW_ATTEMPTS 2

/** One stage of a pipeline; must outlive the requests that use it. */
struct flow_stage {
	const char *name;
	const char *service;
	bool repeatable;
	bool stream;   /**< answers in chunks; can be resumed */
	bool affinity; /**< prefers the owner of the affinity hash */
};

/** Time and tokens that one stage of a request used. */
struct flow_cost {
	uint32_t queue_us;
	uint32_t run_us;
	uint32_t total_us; /**< as seen by the entry, over all attempts */
	uint32_t tokens;
	uint32_t attempts;
	char upstream[TRACE_HOST_SIZE];
};

/** One call of a stage to one agent. */
struct flow_attempt {
	bool live;	/**< sent, not ended yet */
	bool withdrawn; /**< the agent was asked to cancel it */
	bool hedge;
	struct lp_call_id id;
	struct route_upstream *upstream; /**< owned by the routing table */
	char agent[TRACE_HOST_SIZE];
	uint64_t incarnation;
	int64_t agent_sent_us; /**< sending time on the agent's clock */
	int64_t sent_us;
	int64_t query_due_us; /**< when to query the agent for its state */
	uint32_t unanswered_queries; /**< consecutive */
	uint32_t chunks;	     /**< received of the stream */
};

/** What the owner needs to send an attempt. */
struct flow_send {
	const struct flow_attempt *attempt;
	int64_t echo_us;    /**< the agent's clock in its last report */
	int64_t held_us;    /**< time since that report was received */
	int64_t left_us;    /**< time until the stage must be done */
	const char *resume; /**< stream text received so far, or "" */
	uint32_t resume_tokens;
};

/** The final result of a request. */
struct flow_outcome {
	int error;
	enum lp_run run;
	int64_t retry_us; /**< suggested Retry-After; 0: none */
	uint32_t stage;	  /**< the stage at which the request ended */
};

/** An answer from an agent. */
struct flow_result {
	struct lp_call_id id;
	int error;
	enum lp_run run;
	uint32_t chunks;
	uint32_t queue_us;
	uint32_t run_us;
	uint32_t tokens;
	uint32_t retry_us; /**< expected queueing time for a new call */
	const char *body;
};

/** An agent's load report, and the agent that sent it. */
struct flow_report {
	const char *service;
	const char *agent;
	const char *domain;
	struct route_report load;
};

/** The state of a call, as its agent reports it. */
enum flow_state {
	FLOW_STATE_NOT_RUN,
	FLOW_STATE_QUEUED,
	FLOW_STATE_RUNNING,
	FLOW_STATE_CANCELLED,
	FLOW_STATE_DONE,
	FLOW_STATE_LOST,
};

struct flow_ops {
	/** Send a call. Nonzero: it was certainly not sent. */
	int (*send)(void *userdata, struct flow_request *request,
		    const struct flow_send *send);
	/** Query an agent for an attempt's state; `withdraw`: also cancel. */
	void (*query)(void *userdata, const struct flow_attempt *attempt,
		      bool withdraw);
	/** A chunk of the stage's stream; each comes once, in order. */
	void (*chunk)(void *userdata, struct flow_request *request,
		      const char *text, uint32_t tokens);
	/** A stage's answer. A nonzero error fails the request. */
	int (*stage_done)(void *userdata, struct flow_request *request,
			  uint32_t stage, const char *body);
	/** The request ended. It is freed after this returns. */
	void (*finish)(void *userdata, struct flow_request *request,
		       const struct flow_outcome *outcome);
};

struct flow_request {
	struct lp_call_id id; /**< stage and attempt are 0 */
	const struct flow_stage *stages;
	uint32_t stages_count;
	uint32_t stage;
	char *organisation;
	uint32_t weight;
	uint64_t affinity;
	int64_t arrived_us;
	int64_t deadline_us;
	struct flow_cost *costs; /**< one per stage */
	GString *text;		 /**< stream text of the stage so far */
	uint32_t tokens;	 /**< in `text` */
	void *owner;		 /**< the caller's data */
	/* private */
	struct flow_attempt attempts[FLOW_ATTEMPTS];
	enum lp_run run;
	uint16_t attempt_serial;
	uint32_t failovers;
	int64_t stage_started_us;
	int64_t hedge_us;
	bool withdrawing;
	int last_error;
	int64_t retry_us;
	GSequenceIter *wake_position;
	int64_t wake_us;
};

struct flow_options {
	const struct lp_clock *clock;
	const struct flow_ops *ops;
	void *userdata;
	struct trace *trace; /**< borrowed; may be NULL */
	uint64_t entry;	     /**< lp_entry_tag() of this process */
	const char *domain;
	uint64_t seed;
	int64_t report_timeout_us; /**< an agent's, until it gets no calls; 0: 7
				      s */
	/** Baseline: no admission control, hedges, queries or withdrawals. */
	bool naive;
	bool no_affinity; /**< for measurements: ignore affinity */
};

/** A new request. Stages are borrowed, strings are copied. */
struct flow_submit {
	const struct flow_stage *stages;
	uint32_t stages_count;
	const char *organisation;
	uint32_t weight;
	uint64_t affinity;
	int64_t deadline_us;
	void *owner;
};

struct flow_stats {
	uint64_t accepted;
	uint64_t refused_admission;
	uint64_t finished_ok;
	uint64_t finished_error;
	uint64_t sent;
	uint64_t failovers;
	uint64_t retried;
	uint64_t hedged;
	uint64_t resumed;
	uint64_t queries;
	uint64_t lost;
	uint64_t dropped;   /**< messages that name no live attempt */
	uint64_t no_budget; /**< failovers denied by the retry budget */
	uint64_t
		stays; /**< queries to silent agents that a call cannot leave */
};

struct flow *flow_create(const struct flow_options *options);
void flow_destroy(struct flow *flow);
/** The routing table of a service; created on first use. */
struct route *flow_route(struct flow *flow, const char *service);
/**
 * Apply an agent's load report. Attempts at the agent's earlier incarnation
 * are lost.
 */
void flow_handle_report(struct flow *flow, const struct flow_report *report);
/** Set how many entries share the upstreams; initially 1. */
void flow_set_entry_count(struct flow *flow, uint32_t entries);
/** Remove an agent that left the host list; its attempts are lost. */
void flow_agent_removed(struct flow *flow, const char *service,
			const char *agent);
/**
 * Admit or refuse a request. On LP_OK the request exists until finish(), which
 * may already have been called. On an error nothing ran, and `outcome` is
 * filled. `id` is filled in either case, before the first callback and never
 * after one, so it may be part of memory that finish() frees.
 */
int flow_submit(struct flow *flow, const struct flow_submit *submit,
		struct lp_call_id *id, struct flow_outcome *outcome);
/**
 * Handle an answer, with the load report of the same message (or NULL). The
 * answer takes effect before attempts at an earlier incarnation are lost: a
 * refusal by a new incarnation proves that this call did not run.
 */
void flow_handle_result(struct flow *flow, const struct flow_result *result,
			const struct flow_report *report);
/** Handle a chunk of a stream; `seq` counts from 0. A gap fails the attempt. */
void flow_handle_chunk(struct flow *flow, const struct lp_call_id *id,
		       uint32_t seq, const char *text, uint32_t tokens);
/** Handle an agent's reply to a query. */
void flow_handle_state(struct flow *flow, const struct lp_call_id *id,
		       enum flow_state state);
/** The caller has disconnected: withdraw and free the request, without
 * finish(). */
void flow_cancel(struct flow *flow, const struct lp_call_id *id);
/**
 * Cap the deadlines of all current and later requests at `end_us`. Admission
 * refuses requests that would take longer.
 */
void flow_cap_deadlines(struct flow *flow, int64_t end_us);
/** Run all due actions. */
void flow_tick(struct flow *flow);
/** When flow_tick() is next due; INT64_MAX: there are no requests. */
int64_t flow_next_us(const struct flow *flow);
/** Requests that have not ended. */
uint32_t flow_request_count(const struct flow *flow);
const struct flow_stats *flow_stats(const struct flow *flow);

#endif
