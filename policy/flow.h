/**
 * The decisions of an entry: a request's way through its stages.
 *
 * Pure: events and the clock in, actions out through struct flow_ops. One
 * attempt is one call to one agent, with an id of its own. Answers count
 * only for the live attempt that their id names. What may not be repeated
 * is sent again only after an agent said for certain that it did not run.
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

/** Attempts of one stage that may be live at once: one and its hedge. */
#define FLOW_ATTEMPTS 2

/** One stage of a pipeline; borrowed while the request lives. */
struct flow_stage {
	const char *name;
	const char *service;
	bool repeatable;
	bool stream;   /**< answers in chunks, can be resumed */
	bool affinity; /**< prefers the upstream that saw the prefix */
};

/** What an upstream's answer to one stage cost. */
struct flow_cost {
	uint32_t queue_us;
	uint32_t run_us;
	uint32_t total_us; /**< as seen by the entry, over all attempts */
	uint32_t tokens;
	uint32_t attempts;
	char upstream[TRACE_HOST_SIZE];
};

struct flow_attempt {
	bool live;
	bool withdrawn;
	bool hedge;
	struct lp_call_id id;
	struct route_upstream *upstream; /**< NULL once it is removed */
	char agent[TRACE_HOST_SIZE];
	uint64_t incarnation;
	int64_t agent_sent_us; /**< sending time on the agent's clock */
	int64_t sent_us;
	int64_t query_due_us;	     /**< when to ask what became of it */
	uint32_t unanswered_queries; /**< in a row, unanswered */
	uint32_t chunks;
};

/** What the owner needs to send an attempt. */
struct flow_send {
	const struct flow_attempt *attempt;
	int64_t echo_us;
	int64_t held_us;
	int64_t left_us;
	const char *resume; /**< text so far, "" at first */
	uint32_t resume_tokens;
};

/** How a request ended. */
struct flow_outcome {
	int error;
	enum lp_run run;
	int64_t retry_us; /**< come back after this; 0: no hint */
	uint32_t stage;	  /**< where it ended */
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
	uint32_t retry_us;
	const char *body;
};

/** An agent's word about itself, and which agent it is. */
struct flow_report {
	const char *service;
	const char *agent;
	const char *domain;
	struct route_report load;
};

enum flow_state {
	FLOW_STATE_NOT_RUN,
	FLOW_STATE_QUEUED,
	FLOW_STATE_RUNNING,
	FLOW_STATE_CANCELLED,
	FLOW_STATE_DONE,
	FLOW_STATE_LOST,
};

struct flow_ops {
	/** Send a call. Negative: certainly not sent. */
	int (*send)(void *userdata, struct flow_request *request,
		    const struct flow_send *send);
	/** Ask an agent about an attempt. */
	void (*query)(void *userdata, const struct flow_attempt *attempt,
		      bool withdraw);
	/** A chunk of the stage's stream, in order, once. */
	void (*chunk)(void *userdata, struct flow_request *request,
		      const char *text, uint32_t tokens);
	/** A stage's answer. Negative: it can't be used, the request fails. */
	int (*stage_done)(void *userdata, struct flow_request *request,
			  uint32_t stage, const char *body);
	/** The request's end. It is freed after this returns. */
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
	struct flow_cost *costs; /**< one a stage */
	GString *text;		 /**< of the stage's stream so far */
	uint32_t tokens;
	void *owner; /**< the owner's */
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
	bool naive;	  /**< random routing, no door, no hedging, no asking */
	bool no_affinity; /**< measurement: two choices for every call */
};

/** A request as it comes in. Stages are borrowed, strings copied. */
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
	uint64_t dropped; /**< answers that no live attempt waits for */
	uint64_t no_budget;
};

struct flow *flow_create(const struct flow_options *options);
void flow_destroy(struct flow *flow);
/** The routing table of a service, created when first asked for. */
struct route *flow_route(struct flow *flow, const char *service);
/** An agent's word; attempts on its earlier incarnation are lost. */
void flow_handle_report(struct flow *flow, const struct flow_report *word);
/** How many entries share the upstreams; 1 until told. */
void flow_set_entry_count(struct flow *flow, uint32_t entries);
/** The host list no longer has this agent. */
void flow_agent_removed(struct flow *flow, const char *service,
			const char *agent);
/**
 * Accept a request or refuse it at the door. On LP_OK it lives until finish(),
 * which may already have been called. A refusal did not run; `outcome` is
 * filled then. `id` is filled in either case, before any callback and not
 * touched after one: it may stand in what finish() frees.
 */
int flow_submit(struct flow *flow, const struct flow_submit *submit,
		struct lp_call_id *id, struct flow_outcome *outcome);
/**
 * An answer, with the word that came in the same message (or NULL). The
 * answer is judged first: "did not run" from a new incarnation is certain,
 * while other attempts on the old one are lost.
 */
void flow_handle_result(struct flow *flow, const struct flow_result *result,
			const struct flow_report *word);
void flow_handle_chunk(struct flow *flow, const struct lp_call_id *id,
		       uint32_t seq, const char *text, uint32_t tokens);
void flow_handle_state(struct flow *flow, const struct lp_call_id *id,
		       enum flow_state state);
/** Nobody waits any more: withdraw and forget. finish() is not called. */
void flow_cancel(struct flow *flow, const struct lp_call_id *id);
/**
 * Every request, also one that comes later, ends by then: its deadline is cut
 * to it, and the door refuses what would take longer.
 */
void flow_cap_deadlines(struct flow *flow, int64_t end_us);
/** Do what is due. */
void flow_tick(struct flow *flow);
/** When flow_tick() is next needed; INT64_MAX: no request waits. */
int64_t flow_next_us(const struct flow *flow);
uint32_t flow_request_count(const struct flow *flow);
const struct flow_stats *flow_stats(const struct flow *flow);

#endif
