/** Declarations shared by policy/flow*.c; private to them. */
#ifndef FLOW_PRIVATE_H
#define FLOW_PRIVATE_H

#include "policy/flow.h"
#include "policy/throttle.h"

#include <string.h>

#define FAILOVERS_MAX 4	       /* attempts of a stage after the first */
#define RETRY_BUDGET_SHARE 0.1 /* retries and hedges per first attempt */
#define RETRY_BUDGET_BURST 20.0
#define HEDGE_BUDGET_RESERVE \
	(RETRY_BUDGET_BURST / 2) /* tokens reserved for failovers */
#define QUERY_DELAY_MIN_US (250 * LP_US_PER_MS)
#define QUERY_INTERVAL_US (200 * LP_US_PER_MS)
#define UNANSWERED_QUERIES_MAX 3 /* then a repeatable call may fail over */
#define QUERY_DELAY_FACTOR 3	 /* times the 95th percentile of stage times */
#define HEDGE_MIN_US (5 * LP_US_PER_MS)
#define WITHDRAW_LEAD_US (30 * LP_US_PER_MS) /* before the deadline */
/*
 * The share of a request's spare time that queues may use; below the agents'
 * own share, so that agents seldom refuse.
 */
#define ADMISSION_QUEUE_SHARE 0.5
#define RETRY_HINT_MIN_US (100 * LP_US_PER_MS)
#define SERVICE_TICK_US (500 * LP_US_PER_MS)

struct flow_service {
	char *name;
	struct route *route;
	struct bucket retry_budget;
	struct quantile *stage_times; /* from sending to answer, in us */
	uint32_t expected_calls;      /* by admitted requests, not sent yet */
};

struct flow {
	struct flow_options options;
	char *domain;
	GHashTable *services;
	GHashTable *requests;	 /* serial to flow_request */
	int64_t deadline_cap_us; /* INT64_MAX: none */
	GSequence *wakes;	 /* flow_request by wake_us */
	struct throttle *throttle;
	struct flow_stats stats;
	uint32_t serial;
	uint32_t entry_increment_counter; /* including this one */
	int64_t services_tick_us;
};

/* ---- flow.c ---- */

int64_t flow_now_us(const struct flow *flow);
/** Record a decision in the trace, if there is one. */
void flow_add_trace(struct flow *flow, const struct lp_call_id *id,
		    enum trace_kind kind, const char *host, int error,
		    int64_t a, int64_t b);
/** Find a service by name, or create it. */
struct flow_service *flow_get_service(struct flow *flow, const char *name);
const struct flow_stage *flow_current_stage(const struct flow_request *request);
struct flow_service *flow_current_service(struct flow *flow,
					  const struct flow_request *request);
/** Find the live attempt of an id; if none, count as dropped: NULL. */
struct flow_attempt *flow_find_attempt(struct flow *flow,
				       const struct lp_call_id *id,
				       struct flow_request **request);
uint32_t flow_live_attempts(const struct flow_request *request);
/** Mark attempts at an upstream lost: all, or those at other incarnations. */
void flow_lose_attempts_at(struct flow *flow,
			   const struct route_upstream *upstream,
			   bool any_incarnation);

/* ---- flow_attempt.c ---- */

/** Recompute the wake time; call after any change to the request's timers. */
void flow_update_wake(struct flow *flow, struct flow_request *request);
/** End an attempt; `failed`: the upstream is at fault. */
void flow_end_attempt(struct flow *flow, struct flow_request *request,
		      struct flow_attempt *attempt, bool failed);
/** Ask the agent to dequeue or cancel the call. */
void flow_withdraw_attempt(struct flow *flow, struct flow_request *request,
			   struct flow_attempt *attempt);
/** Withdraw and end all live attempts; whether they ran is unknown. */
void flow_withdraw_all(struct flow *flow, struct flow_request *request);
/** Free a request without calling finish(). */
void flow_remove_request(struct flow *flow, struct flow_request *request);
/** Call finish() for a request and free it. */
void flow_finish_request(struct flow *flow, struct flow_request *request,
			 int error);
/** How long an attempt may be silent before its agent is queried. */
int64_t flow_query_delay_us(const struct flow *flow,
			    const struct flow_service *service);
/**
 * Send the stage to an upstream other than `avoid`. Without another one, a
 * hedge fails and other attempts use `avoid` again. Returns LP_OK or the reason
 * why nothing was sent.
 */
int flow_dispatch(struct flow *flow, struct flow_request *request,
		  const struct route_upstream *avoid, bool hedge);
/** Send the first attempt of the current stage; may end the request. */
void flow_start_stage(struct flow *flow, struct flow_request *request);
/** Whether a repeatable call may leave an agent or engine that is silent: the
 * retry budget allows it, and another upstream can take the call. */
bool flow_may_leave(struct flow *flow, struct flow_request *request,
		    const struct flow_attempt *attempt);
/** Whether an agent refused a call because of its load. */
bool flow_is_load_refusal(int error);
/** After an attempt without an answer: send another one or end the request. */
void flow_fail_over(struct flow *flow, struct flow_request *request,
		    struct flow_attempt *attempt, int error, enum lp_run run);
/** End an attempt that may have run, and fail over. */
void flow_lose_attempt(struct flow *flow, struct flow_request *request,
		       struct flow_attempt *attempt);

#endif
