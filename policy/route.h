/**
 * Routing within one service: which upstream gets the next call.
 *
 * Two random choices in the own failure domain and one outside it, compared
 * by estimated time (load the agents reported, aged, plus what this entry
 * has sent since). Calls with an affinity go to the owner of their hash on a
 * ring while its load stays bounded. An upstream that keeps failing is set
 * aside for a growing time, never more than a share of the service.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include "base/lp_clock.h"

#include <glib.h>
#include <stdbool.h>

struct route;

/** What is known of one upstream. Owned by the route. */
struct route_upstream {
	char *name;   /**< host id */
	char *domain; /**< failure domain */
	uint64_t incarnation;
	int64_t agent_time_us;	    /**< last heard, on the agent's clock */
	int64_t report_received_us; /**< on our clock */
	uint64_t revision;
	uint32_t queued;
	uint32_t running;
	uint32_t limit;
	uint32_t wait_us;
	uint32_t run_us;
	uint32_t inflight;	    /**< ours, unanswered */
	uint32_t sent_since_report; /**< ours since the last word */
	bool draining;		    /**< by its own word */
	bool listed_draining;	    /**< by the host list; set by the owner */
	bool silent;		    /**< not heard of for too long */
	/* private */
	double error_rate;
	int64_t last_call_ended_us;    /* when a call last ended */
	uint32_t consecutive_failures; /* in a row */
	uint32_t ejections;
	int64_t ejected_until_us;
};

/** An agent's word about itself. */
struct route_report {
	uint64_t incarnation;
	int64_t agent_time_us;
	uint64_t revision;
	uint32_t queued;
	uint32_t running;
	uint32_t limit;
	uint32_t wait_us;
	uint32_t run_us;
	bool draining;
};

struct route_options {
	const struct lp_clock *clock;
	const char *domain; /**< own failure domain; copied */
	uint64_t seed;
	int64_t remote_cost_us;	   /**< of another domain; 0: 1 ms */
	int64_t report_timeout_us; /**< no word for this long: silent; 0: 7 s */
	bool naive;		   /**< random among all that are not leaving */
};

/** What a pick must respect. */
struct route_query {
	uint64_t affinity;		    /**< hash, 0 for none */
	const struct route_upstream *avoid; /**< tried already, or NULL */
};

struct route *route_create(const struct route_options *options);
void route_destroy(struct route *route);
/** Find or add an upstream. */
struct route_upstream *route_find_or_add(struct route *route, const char *name,
					 const char *domain);
struct route_upstream *route_find(const struct route *route, const char *name);
void route_remove(struct route *route, const char *name);
/** Take an agent's word. Returns true if its incarnation changed. */
bool route_apply_report(struct route *route, struct route_upstream *upstream,
			const struct route_report *word);
/** The upstream for a call, or NULL when none is eligible. */
struct route_upstream *route_pick(struct route *route,
				  const struct route_query *query);
/** A call was sent / has ended; failed: by the upstream's fault. */
void route_call_sent(struct route *route, struct route_upstream *upstream);
void route_call_ended(struct route *route, struct route_upstream *upstream,
		      bool failed);
/** Estimated wait plus run at the better of two choices; -1: none. */
int64_t route_estimate_us(struct route *route);
/** Calls that all usable upstreams run at once, as of the last tick. */
uint32_t route_slots(const struct route *route);
/** The index-th upstream, for listings. */
struct route_upstream *route_at(const struct route *route, uint32_t index);
/** Mark what has been silent too long; returns how many became so. */
uint32_t route_tick(struct route *route);
bool route_is_ejected(const struct route *route,
		      const struct route_upstream *upstream);

#endif
