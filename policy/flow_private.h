/** What the files of the flow share. Private to policy/. */
#ifndef FLOW_PRIVATE_H
#define FLOW_PRIVATE_H

#include "policy/flow.h"
#include "policy/throttle.h"

#include <string.h>

#define FAILOVERS_MAX 4	       /* attempts of a stage beyond the first */
#define RETRY_BUDGET_SHARE 0.1 /* retries and hedges per first try */
#define RETRY_BUDGET_BURST 20.0
#define HEDGE_BUDGET_RESERVE \
	(RETRY_BUDGET_BURST / 2) /* left for what has failed */
#define QUERY_DELAY_MIN_US (250 * LP_US_PER_MS)
#define QUERY_INTERVAL_US (200 * LP_US_PER_MS)
#define UNANSWERED_QUERIES_MAX \
	3		     /* unanswered, then a repeatable call moves on */
#define QUERY_DELAY_FACTOR 3 /* times the service's 95th percentile */
#define HEDGE_MIN_US (5 * LP_US_PER_MS)
#define WITHDRAW_LEAD_US (30 * LP_US_PER_MS) /* before the deadline */
/* Somewhat under what agents allow, so that they seldom refuse. */
#define ADMISSION_QUEUE_SHARE 0.5
#define RETRY_HINT_MIN_US (100 * LP_US_PER_MS)
#define SERVICE_TICK_US (500 * LP_US_PER_MS)

struct flow_service {
	char *name;
	struct route *route;
	struct bucket retry_budget;
	struct quantile *stage_times; /* of a stage, sent to answered */
	uint32_t expected_calls; /* accepted requests that will yet call it */
};

struct flow {
	struct flow_options options;
	char *domain;
	GHashTable *services;
	GHashTable *requests;	 /* serial to flow_request */
	int64_t deadline_cap_us; /* no request lasts longer; INT64_MAX: any */
	GSequence *wakes;	 /* flow_request by wake_us */
	struct throttle *throttle;
	struct flow_stats stats;
	uint32_t serial;
	uint32_t entry_count; /* live, this one included */
	int64_t services_tick_us;
};

/* ---- flow.c ---- */

int64_t flow_now_us(const struct flow *flow);
/** Record a decision, if a trace is kept. */
void flow_add_trace(struct flow *flow, const struct lp_call_id *id,
		    enum trace_kind kind, const char *who, int error, int64_t a,
		    int64_t b);
/** A service by name, created when first asked for. */
struct flow_service *flow_get_service(struct flow *flow, const char *name);
const struct flow_stage *flow_current_stage(const struct flow_request *request);
struct flow_service *flow_current_service(struct flow *flow,
					  const struct flow_request *request);
/** The live attempt of an id, or NULL (counted as dropped). */
struct flow_attempt *flow_find_attempt(struct flow *flow,
				       const struct lp_call_id *id,
				       struct flow_request **request);
uint32_t flow_live_attempts(const struct flow_request *request);
/** Lose attempts at an upstream: all, or those on an older incarnation. */
void flow_lose_attempts_at(struct flow *flow,
			   const struct route_upstream *upstream,
			   bool any_incarnation);

/* ---- flow_attempt.c ---- */

/** Call whenever what a request waits for has changed. */
void flow_update_wake(struct flow *flow, struct flow_request *request);
/** failed: by the upstream's fault. */
void flow_end_attempt(struct flow *flow, struct flow_request *request,
		      struct flow_attempt *attempt, bool failed);
/** Ask the agent to take it out or end it. */
void flow_withdraw_attempt(struct flow *flow, struct flow_request *request,
			   struct flow_attempt *attempt);
/** End what is still out there; whether it ran is then unknown. */
void flow_withdraw_all(struct flow *flow, struct flow_request *request);
/** Free a request without an answer. */
void flow_remove_request(struct flow *flow, struct flow_request *request);
/** Answer a request; it is gone after this. */
void flow_finish_request(struct flow *flow, struct flow_request *request,
			 int error);
/** When an attempt without a sign is asked after. */
int64_t flow_query_delay_us(const struct flow *flow,
			    const struct flow_service *service);
/** Send the stage to another upstream than `avoid`, if there is one. */
int flow_dispatch(struct flow *flow, struct flow_request *request,
		  const struct route_upstream *avoid, bool hedge);
/** May end the request. */
void flow_start_stage(struct flow *flow, struct flow_request *request);
bool flow_is_load_refusal(int error);
/** An attempt ended without an answer: go elsewhere, or end the request. */
void flow_fail_over(struct flow *flow, struct flow_request *request,
		    struct flow_attempt *attempt, int error, enum lp_run run);
/** No word of it: as flow_fail_over(), having perhaps run. */
void flow_lose_attempt(struct flow *flow, struct flow_request *request,
		       struct flow_attempt *attempt);

#endif
