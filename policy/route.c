#include "policy/route.h"

#include "base/lp_id.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_REMOTE_COST_US (1 * LP_US_PER_MS)
#define DEFAULT_REPORT_TIMEOUT_US (7 * LP_US_PER_S)
#define RING_POINTS 32		/* per upstream */
#define RING_OWNERS_MAX 8	/* upstreams tried for an affinity */
#define AFFINITY_LOAD_BOUND 1.5 /* times the mean load per upstream */
#define AFFINITY_SPEED_ADVANTAGE \
	2.0		    /* how much faster another upstream must be */
#define RANDOM_DRAWS 8	    /* random draws before a linear scan */
#define EJECTION_FAILURES 5 /* in a row */
#define EJECTION_ERROR_RATE 0.6
#define ERROR_SMOOTHING 0.1
#define EJECTION_US (1 * LP_US_PER_S)
#define EJECTION_DOUBLINGS_MAX 5
#define EJECTED_SHARE_DIVISOR 3		  /* at most one third of a service */
#define ERROR_COST_US (50 * LP_US_PER_MS) /* per expected failure */
#define ERROR_HALF_LIFE_US (5.0 * LP_US_PER_S) /* while no calls end */
#define RUN_TIME_FADE_US (5 * LP_US_PER_S) /* of an idle upstream's report */

struct ring_point {
	uint64_t hash;
	struct route_upstream *upstream;
};

struct route {
	struct route_options options;
	char *domain;
	GRand *random;
	GHashTable *by_name;
	GPtrArray *upstreams;
	GPtrArray *local; /* own domain */
	GPtrArray *remote;
	GArray *ring;
	bool ring_stale;
	uint32_t inflight;
	uint32_t ejected; /* counted at each tick, and ejections since */
	uint32_t slots;	  /* of eligible upstreams, counted at each tick */
};

static int64_t now_us(const struct route *route)
{
	return lp_now_us(route->options.clock);
}

static void free_upstream(gpointer data)
{
	struct route_upstream *upstream = data;

	g_free(upstream->name);
	g_free(upstream->domain);
	g_free(upstream);
}

struct route *route_create(const struct route_options *options)
{
	struct route *route = g_new0(struct route, 1);

	route->options = *options;
	if (!route->options.remote_cost_us)
		route->options.remote_cost_us = DEFAULT_REMOTE_COST_US;
	if (!route->options.report_timeout_us)
		route->options.report_timeout_us = DEFAULT_REPORT_TIMEOUT_US;
	route->domain = g_strdup(options->domain);
	route->random = g_rand_new_with_seed((guint32)options->seed);
	route->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_upstream);
	route->upstreams = g_ptr_array_new();
	route->local = g_ptr_array_new();
	route->remote = g_ptr_array_new();
	route->ring = g_array_new(FALSE, FALSE, sizeof(struct ring_point));
	return route;
}

void route_destroy(struct route *route)
{
	if (!route)
		return;
	g_array_unref(route->ring);
	g_ptr_array_unref(route->local);
	g_ptr_array_unref(route->remote);
	g_ptr_array_unref(route->upstreams);
	g_hash_table_unref(route->by_name);
	g_rand_free(route->random);
	g_free(route->domain);
	g_free(route);
}

static GPtrArray *domain_upstreams(const struct route *route,
				   const struct route_upstream *upstream)
{
	return strcmp(upstream->domain, route->domain) ? route->remote
						       : route->local;
}

struct route_upstream *route_find(const struct route *route, const char *name)
{
	return g_hash_table_lookup(route->by_name, name);
}

struct route_upstream *route_find_or_add(struct route *route, const char *name,
					 const char *domain)
{
	struct route_upstream *upstream = route_find(route, name);

	if (upstream)
		return upstream;
	upstream = g_new0(struct route_upstream, 1);
	upstream->name = g_strdup(name);
	upstream->domain = g_strdup(domain);
	upstream->silent = true; /* until its first report */
	g_hash_table_insert(route->by_name, upstream->name, upstream);
	g_ptr_array_add(route->upstreams, upstream);
	g_ptr_array_add(domain_upstreams(route, upstream), upstream);
	route->ring_stale = true;
	return upstream;
}

void route_remove(struct route *route, const char *name)
{
	struct route_upstream *upstream = route_find(route, name);

	if (!upstream)
		return;
	route->inflight -= upstream->inflight;
	g_ptr_array_remove_fast(domain_upstreams(route, upstream), upstream);
	g_ptr_array_remove_fast(route->upstreams, upstream);
	route->ring_stale = true;
	g_hash_table_remove(route->by_name, name);
}

bool route_apply_report(struct route *route, struct route_upstream *upstream,
			const struct route_report *report)
{
	bool restarted = upstream->incarnation &&
			 upstream->incarnation != report->incarnation;

	/* Reports may be reordered on the way; an older one is ignored. */
	if (upstream->incarnation == report->incarnation &&
	    report->agent_time_us < upstream->agent_time_us)
		return false;
	upstream->incarnation = report->incarnation;
	upstream->agent_time_us = report->agent_time_us;
	upstream->report_received_us = now_us(route);
	upstream->revision = report->revision;
	upstream->queued = report->queued;
	upstream->running = report->running;
	upstream->limit = report->limit;
	upstream->wait_us = report->wait_us;
	upstream->run_us = report->run_us;
	upstream->draining = report->draining;
	upstream->silent = false;
	upstream->sent_since_report = 0;
	if (restarted) {
		upstream->consecutive_failures = 0;
		upstream->error_rate = 0;
		upstream->ejected_until_us = 0;
		upstream->ejections = 0;
	}
	return restarted;
}

bool route_is_ejected(const struct route *route,
		      const struct route_upstream *upstream)
{
	return upstream->ejected_until_us > now_us(route);
}

static bool eligible(const struct route *route,
		     const struct route_upstream *upstream,
		     const struct route_query *query)
{
	if (upstream->draining || upstream->listed_draining || upstream->silent)
		return false;
	if (query && query->avoid == upstream)
		return false;
	return route->options.naive || !route_is_ejected(route, upstream);
}

/* The expected share of failing calls; decays while no calls end. */
static double current_error_rate(const struct route *route,
				 const struct route_upstream *upstream)
{
	double idle_us = (double)(now_us(route) - upstream->last_call_ended_us);

	return upstream->error_rate * exp2(-idle_us / ERROR_HALF_LIFE_US);
}

/*
 * The expected time of a call sent now: the reported queueing time less the age
 * of the report, plus the calls sent since, plus the usual run time. The run
 * time of an idle upstream fades, so that a recovered one is tried again.
 */
static int64_t expected_time_us(const struct route *route,
				const struct route_upstream *upstream)
{
	int64_t age_us = now_us(route) - upstream->report_received_us;
	int64_t wait_us = MAX(0, (int64_t)upstream->wait_us - age_us);
	int64_t run_us = upstream->run_us;
	uint32_t limit = MAX(1, upstream->limit);
	uint32_t busy = upstream->running + upstream->queued +
			upstream->sent_since_report;

	if (!upstream->inflight && age_us > RUN_TIME_FADE_US)
		run_us = run_us * RUN_TIME_FADE_US / age_us;
	if (busy >= limit)
		wait_us += run_us * upstream->sent_since_report / limit;
	if (upstream->error_rate > 0)
		wait_us += (int64_t)(current_error_rate(route, upstream) *
				     ERROR_COST_US);
	/* Prefer emptier upstreams: calls in a batch slow each other. */
	return wait_us + run_us + run_us * MIN(busy, limit) / limit / 2;
}

static struct route_upstream *draw_eligible(struct route *route,
					    GPtrArray *candidates,
					    const struct route_query *query)
{
	struct route_upstream *upstream;
	guint start;

	if (!candidates->len)
		return NULL;
	for (int i = 0; i < RANDOM_DRAWS; i++) {
		upstream = g_ptr_array_index(
			candidates, g_rand_int_range(route->random, 0,
						     (gint32)candidates->len));
		if (eligible(route, upstream, query))
			return upstream;
	}
	start = (guint)g_rand_int_range(route->random, 0,
					(gint32)candidates->len);
	for (guint i = 0; i < candidates->len; i++) {
		upstream = g_ptr_array_index(candidates,
					     (start + i) % candidates->len);
		if (eligible(route, upstream, query))
			return upstream;
	}
	return NULL;
}

static struct route_upstream *faster_of(const struct route *route,
					struct route_upstream *a,
					struct route_upstream *b,
					int64_t cost_b_us)
{
	if (!a || !b)
		return a ? a : b;
	return expected_time_us(route, b) + cost_b_us <
			       expected_time_us(route, a)
		       ? b
		       : a;
}

static struct route_upstream *pick_by_load(struct route *route,
					   const struct route_query *query)
{
	struct route_upstream *local;
	struct route_upstream *remote;

	local = draw_eligible(route, route->local, query);
	local = faster_of(route, local,
			  draw_eligible(route, route->local, query), 0);
	remote = draw_eligible(route, route->remote, query);
	if (!local)
		return faster_of(route, remote,
				 draw_eligible(route, route->remote, query), 0);
	return faster_of(route, local, remote, route->options.remote_cost_us);
}

static int compare_ring_points(const void *a, const void *b)
{
	const struct ring_point *left = a;
	const struct ring_point *right = b;

	return (left->hash > right->hash) - (left->hash < right->hash);
}

static void build_ring(struct route *route)
{
	g_array_set_size(route->ring, 0);
	for (guint i = 0; i < route->upstreams->len; i++) {
		struct route_upstream *upstream =
			g_ptr_array_index(route->upstreams, i);
		uint64_t base = lp_hash_str(upstream->name);

		for (uint64_t point = 0; point < RING_POINTS; point++) {
			struct ring_point entry = { lp_hash_pair(base, point),
						    upstream };
			g_array_append_val(route->ring, entry);
		}
	}
	g_array_sort(route->ring, compare_ring_points);
	route->ring_stale = false;
}

static guint ring_position(const struct route *route, uint64_t hash)
{
	guint low = 0;
	guint high = route->ring->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (g_array_index(route->ring, struct ring_point, middle).hash <
		    hash)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool has_bounded_load(const struct route *route,
			     const struct route_upstream *upstream)
{
	double mean = (route->inflight + 1.0) / route->upstreams->len;

	return upstream->inflight < mean * AFFINITY_LOAD_BOUND + 1;
}

static struct route_upstream *pick_by_affinity(struct route *route,
					       const struct route_query *query)
{
	struct route_upstream *previous = NULL;
	guint position;

	if (route->ring_stale)
		build_ring(route);
	position = ring_position(route, query->affinity);
	for (int i = 0; i < RING_OWNERS_MAX * RING_POINTS; i++) {
		struct route_upstream *upstream =
			g_array_index(route->ring, struct ring_point,
				      (position + i) % route->ring->len)
				.upstream;

		if (upstream == previous)
			continue;
		previous = upstream;
		if (eligible(route, upstream, query) &&
		    has_bounded_load(route, upstream))
			return upstream;
	}
	return NULL;
}

struct route_upstream *route_pick(struct route *route,
				  const struct route_query *query)
{
	struct route_upstream *owner;
	struct route_upstream *other;

	if (!route->upstreams->len)
		return NULL;
	if (route->options.naive)
		return draw_eligible(route, route->upstreams, query);
	other = pick_by_load(route, query);
	if (!query->affinity)
		return other;
	owner = pick_by_affinity(route, query);
	if (!owner || !other)
		return owner ? owner : other;
	if (expected_time_us(route, other) * AFFINITY_SPEED_ADVANTAGE <
	    expected_time_us(route, owner))
		return other;
	return owner;
}

void route_call_sent(struct route *route, struct route_upstream *upstream)
{
	upstream->inflight += 1;
	upstream->sent_since_report += 1;
	route->inflight += 1;
}

static void eject_upstream(struct route *route, struct route_upstream *upstream)
{
	uint32_t doublings = MIN(upstream->ejections, EJECTION_DOUBLINGS_MAX);

	if ((route->ejected + 1) * EJECTED_SHARE_DIVISOR >
	    route->upstreams->len)
		return;
	upstream->ejected_until_us = now_us(route) + (EJECTION_US << doublings);
	upstream->ejections += 1;
	upstream->consecutive_failures = 0;
	upstream->error_rate = 0;
	route->ejected += 1;
}

void route_call_ended(struct route *route, struct route_upstream *upstream,
		      bool failed)
{
	if (upstream->inflight) {
		upstream->inflight -= 1;
		route->inflight -= 1;
	}
	upstream->error_rate = current_error_rate(route, upstream);
	upstream->error_rate +=
		((failed ? 1.0 : 0.0) - upstream->error_rate) * ERROR_SMOOTHING;
	upstream->last_call_ended_us = now_us(route);
	if (!failed) {
		upstream->consecutive_failures = 0;
		if (upstream->error_rate < ERROR_SMOOTHING)
			upstream->ejections = 0;
		return;
	}
	upstream->consecutive_failures += 1;
	if (route_is_ejected(route, upstream))
		return;
	if (upstream->consecutive_failures >= EJECTION_FAILURES ||
	    upstream->error_rate > EJECTION_ERROR_RATE)
		eject_upstream(route, upstream);
}

int64_t route_estimate_us(struct route *route)
{
	const struct route_query query = { 0 };
	struct route_upstream *upstream;

	if (!route->upstreams->len)
		return -1;
	upstream = pick_by_load(route, &query);
	return upstream ? expected_time_us(route, upstream) : -1;
}

uint32_t route_slots(const struct route *route)
{
	return MAX(1, route->slots);
}

struct route_upstream *route_at(const struct route *route, uint32_t index)
{
	return g_ptr_array_index(route->upstreams, index);
}

uint32_t route_tick(struct route *route)
{
	uint32_t silent = 0;

	route->ejected = 0;
	route->slots = 0;
	for (guint i = 0; i < route->upstreams->len; i++) {
		struct route_upstream *upstream =
			g_ptr_array_index(route->upstreams, i);

		if (route_is_ejected(route, upstream))
			route->ejected += 1;
		if (eligible(route, upstream, NULL))
			route->slots += upstream->limit;
		if (upstream->silent ||
		    now_us(route) - upstream->report_received_us <
			    route->options.report_timeout_us)
			continue;
		upstream->silent = true;
		silent += 1;
	}
	return silent;
}
