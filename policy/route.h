/**
 * Load balancing within one service: selects the upstream for the next call.
 *
 * Two random choices in the entry's failure domain and one outside it are
 * compared by expected time: the load that agents reported, reduced by the age
 * of the report, plus the calls that this entry has sent since. Calls with an
 * affinity go to the owner of their hash on a consistent-hash ring while its
 * load stays bounded. An upstream that keeps failing is ejected for a growing
 * time; the ejected share of a service is bounded.
 *
 * The route owns its upstreams. Times are in microseconds on the clock of
 * route_options, unless a comment names the agent's clock.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include "base/lp_clock.h"

#include <glib.h>
#include <stdbool.h>

struct route;

/** The state of one upstream, owned by the route. */
struct route_upstream {
	char *name;   /**< host id */
	char *domain; /**< failure domain */
	uint64_t incarnation;
	int64_t agent_time_us; /**< of the last report, on the agent's clock */
	int64_t report_received_us; /**< of the last report, on this clock */
	uint64_t revision;
	uint32_t queued;
	uint32_t running;
	uint32_t limit;
	uint32_t wait_us;
	uint32_t run_us;
	uint32_t inflight; /**< calls from this entry that have not ended */
	uint32_t sent_since_report; /**< calls sent since that report */
	bool draining;		    /**< as its agent reported */
	bool listed_draining; /**< as in the host list; set by the caller */
	bool silent;	      /**< no report within report_timeout_us */
	/* private */
	double error_rate;
	int64_t last_call_ended_us; /* when the last call ended */
	uint32_t consecutive_failures;
	uint32_t ejections;
	int64_t ejected_until_us;
};

/** An agent's load report. */
struct route_report {
	uint64_t incarnation;  /**< changes with each start of the agent */
	int64_t agent_time_us; /**< when it was made, on the agent's clock */
	uint64_t revision;
	uint32_t queued;  /**< calls waiting at the agent */
	uint32_t running; /**< calls running at the upstream */
	uint32_t limit;	  /**< the agent's concurrency limit */
	uint32_t wait_us; /**< expected queueing time of a new call */
	uint32_t run_us;  /**< usual run time of a call */
	bool draining;
};

struct route_options {
	const struct lp_clock *clock;
	const char *domain; /**< own failure domain; copied */
	uint64_t seed;
	int64_t remote_cost_us;	   /**< added for another domain; 0: 1 ms */
	int64_t report_timeout_us; /**< then an upstream is silent; 0: 7 s */
	bool naive;		   /**< baseline: random choice, no ejections */
};

/** Constraints on a selection. */
struct route_query {
	uint64_t affinity;		    /**< hash, 0 for none */
	const struct route_upstream *avoid; /**< never selected; may be NULL */
};

struct route *route_create(const struct route_options *options);
void route_destroy(struct route *route);
/** Find or add an upstream. */
struct route_upstream *route_find_or_add(struct route *route, const char *name,
					 const char *domain);
struct route_upstream *route_find(const struct route *route, const char *name);
void route_remove(struct route *route, const char *name);
/** Apply an agent's report. Returns true if its incarnation changed. */
bool route_apply_report(struct route *route, struct route_upstream *upstream,
			const struct route_report *report);
/** Select the upstream for a call; NULL if none is eligible. */
struct route_upstream *route_pick(struct route *route,
				  const struct route_query *query);
/** Count a call as sent, or as ended; `failed`: the upstream is at fault. */
void route_call_sent(struct route *route, struct route_upstream *upstream);
void route_call_ended(struct route *route, struct route_upstream *upstream,
		      bool failed);
/** Expected queueing plus run time of a new call; -1: no upstream. */
int64_t route_estimate_us(struct route *route);
/** Concurrency of all eligible upstreams as of the last tick; at least 1. */
uint32_t route_slots(const struct route *route);
/** The index-th upstream, for listings. */
struct route_upstream *route_at(const struct route *route, uint32_t index);
/** Mark upstreams without recent reports silent; returns how many. */
uint32_t route_tick(struct route *route);
/** Whether failures currently exclude the upstream from selection. */
bool route_is_ejected(const struct route *route,
		      const struct route_upstream *upstream);

#endif
