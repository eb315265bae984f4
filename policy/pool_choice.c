/** Selection of an upstream, and the time until one can be selected. */
#include "policy/pool_private.h"

#include "base/lp_id.h"
#include "policy/retry_schedule.h"

#include <math.h>
#include <string.h>

/* Time from the end of the prefill to an engine's first event. */
#define FIRST_DECODE_STEP_US (10 * LP_US_PER_MS)
/* Each request in flight slows an engine's steps by about 0.3%. */
#define STEP_SLOWDOWN_PER_REQUEST_US (500)
/* Another upstream than the affinity upstream of a prefix must be faster by
 * this to be selected: two thirds of the prefill of a typical prompt. */
#define NON_AFFINITY_COST_US (40 * LP_US_PER_MS)
/* Repeating the prefill of shared tokens costs the platform five times its
 * duration, by the prices of the sites (a thousand tokens cost as much as 3 MB
 * fetched across domains). */
#define REPEATED_PREFILL_WEIGHT 5
/* Missing the latency target costs as much as repeating the prefill of some
 * 25,000 tokens: six sevenths of a request's value, by the sites' prices. */
#define LATE_COST_US (2000 * LP_US_PER_MS)
/* An upstream in another domain than this entry: one more round trip, and the
 * traffic is paid for. */
#define OTHER_DOMAIN_COST_US (20 * LP_US_PER_MS)
/* Cost of bytes fetched across domains, as time: 3 MB cost 95 ms. */
#define FETCH_BYTES_PER_US 31
/* Cost of a request to an idle upstream of a service without prompts. */
#define PLAIN_CALL_COST_US (60 * LP_US_PER_MS)

/* ---- selection ---- */

static bool was_tried(const struct pool_pick_args *args, const char *id)
{
	for (uint32_t i = 0; i < args->tried_count; i++)
		if (!strcmp(args->tried[i], id))
			return true;
	return false;
}

static bool is_of_version(const struct pool_pick_args *args,
			  const struct pool_upstream *upstream)
{
	return !args->version_id || upstream->version_id == args->version_id;
}

static bool is_in_shard(const struct pool_pick_args *args,
			const struct pool_upstream *upstream)
{
	return args->shard_count < 2 ||
	       upstream->hash % args->shard_count == args->shard;
}

/* Rendezvous hash: gives all entries the same ranking for a prefix. */
static uint64_t affinity_rank(const struct pool_pick_args *args,
			      const struct pool_upstream *upstream)
{
	uint32_t deepest_shared = args->blocks_count - 2;

	return lp_hash_pair(args->blocks[deepest_shared].id, upstream->hash);
}

static const struct pool_upstream *
find_affinity_upstream(const struct pool_pick_args *args, const GPtrArray *list)
{
	const struct pool_upstream *preferred = NULL;
	uint64_t best = 0;

	if (args->blocks_count < 2)
		return NULL;
	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);
		uint64_t rank = affinity_rank(args, upstream);

		if (!pool_is_eligible(upstream) || rank <= best ||
		    !allowed_regions_contain(args->allowed_regions,
					     upstream->region) ||
		    !is_of_version(args, upstream) ||
		    !is_in_shard(args, upstream))
			continue;
		best = rank;
		preferred = upstream;
	}
	return preferred;
}

const struct pool_upstream *
pool_affinity_upstream(const struct pool *pool,
		       const struct pool_pick_args *args)
{
	const GPtrArray *list = pool_service_upstreams(pool, args->service);

	return list ? find_affinity_upstream(args, list) : NULL;
}

/* State of one selection that is common to all candidates. */
struct selection {
	const struct pool_pick_args *args;
	const struct pool_upstream *affinity_upstream;
	struct copy_sources sources; /* of a cache copy */
};

/* Shared tokens whose prefill would be repeated. The last block is the
 * request's own, which needs prefill anywhere. */
static int64_t uncached_shared_tokens(const struct pool_pick_args *args,
				      const struct pool_upstream *upstream)
{
	return pool_uncached_tokens(upstream, args->blocks,
				    args->blocks_count - 1);
}

/* Estimated time to the first event, plus other costs expressed as time. */
static double prompt_cost_us(const struct pool *pool,
			     const struct selection *selection,
			     const struct pool_upstream *upstream)
{
	const struct pool_pick_args *args = selection->args;
	const struct cache_copying *copying = selection->sources.copying;
	struct pool_cache_copy copy =
		pool_plan_copy(&selection->sources, upstream, args);
	int64_t tokens = upstream->pending_prefill_tokens + copy.prefill_tokens;
	double cost =
		FIRST_DECODE_STEP_US +
		(double)STEP_SLOWDOWN_PER_REQUEST_US * upstream->in_flight +
		(double)tokens * LP_US_PER_MS / POOL_PREFILL_TOKENS_PER_MS +
		(double)pool_copy_time_us(copying, copy.copied_tokens);

	if (args->target_us &&
	    cost * pool_upstream_time_factor(pool, upstream) >
		    (double)args->target_us)
		cost += LATE_COST_US;
	cost += (double)pool_copy_cost_us(copying, copy.copied_tokens);
	if (selection->affinity_upstream &&
	    upstream != selection->affinity_upstream)
		cost += NON_AFFINITY_COST_US +
			(double)MAX(uncached_shared_tokens(args, upstream) -
					    copy.copied_tokens,
				    0) *
				REPEATED_PREFILL_WEIGHT * LP_US_PER_MS /
				POOL_PREFILL_TOKENS_PER_MS;
	return cost;
}

static double plain_cost_us(const struct pool_upstream *upstream)
{
	uint32_t slots = MAX(upstream->info.slots, 1);

	return PLAIN_CALL_COST_US * (1.0 + (double)upstream->in_flight / slots);
}

/* Estimated time to the start of the answer, plus other costs as time. */
static double cost_us(const struct pool *pool,
		      const struct selection *selection,
		      const struct pool_upstream *upstream)
{
	const struct pool_pick_args *args = selection->args;
	double cost = args->blocks_count
			      ? prompt_cost_us(pool, selection, upstream)
			      : plain_cost_us(upstream);

	cost *= pool_upstream_time_factor(pool, upstream) *
		(1.0 + 4.0 * upstream->error_rate);
	if (strcmp(upstream->info.domain, pool->domain) != 0)
		cost += OTHER_DOMAIN_COST_US;
	if (args->preferred_domain &&
	    strcmp(upstream->info.domain, args->preferred_domain) != 0)
		cost += (double)args->fetch_bytes / FETCH_BYTES_PER_US;
	return cost;
}

struct pool_upstream *pool_pick(struct pool *pool,
				const struct pool_pick_args *args)
{
	const GPtrArray *list = pool_service_upstreams(pool, args->service);
	struct selection selection;
	struct pool_upstream *best = NULL;
	double best_cost = 0;
	bool best_available = false;
	int64_t now_us = lp_now_us(pool->clock);

	if (!list)
		return NULL;
	selection = (struct selection){
		.args = args,
		.affinity_upstream = find_affinity_upstream(args, list),
		.sources = pool_find_copy_sources(pool, list, args),
	};
	for (guint i = 0; i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);
		bool available = pool_is_available(pool, upstream);
		double cost;

		if (!pool_is_send_permitted(pool, upstream) ||
		    !is_in_shard(args, upstream) ||
		    !allowed_regions_contain(args->allowed_regions,
					     upstream->region) ||
		    !is_of_version(args, upstream) ||
		    was_tried(args, upstream->info.id))
			continue;
		pool_decay_estimates(upstream, now_us);
		cost = cost_us(pool, &selection, upstream);
		/* An ejected upstream is better than none. */
		if (best &&
		    (best_available > available ||
		     (best_available == available && cost >= best_cost)))
			continue;
		best = upstream;
		best_cost = cost;
		best_available = available;
	}
	return best;
}

/* ---- Retry-After ---- */

/* When the first of the upstreams that could take a request is permitted to,
 * and their joint rate from then on. */
struct capacity_forecast {
	int64_t wait_us; /* G_MAXINT64: there is no such upstream */
	double per_s;	 /* INFINITY: unlimited */
};

static bool could_take(const struct pool_pick_args *args,
		       const struct pool_upstream *upstream)
{
	return pool_is_eligible(upstream) && is_in_shard(args, upstream) &&
	       is_of_version(args, upstream) &&
	       allowed_regions_contain(args->allowed_regions, upstream->region);
}

static struct capacity_forecast
forecast_capacity(const struct pool *pool, const struct pool_pick_args *args)
{
	const GPtrArray *list = pool_service_upstreams(pool, args->service);
	struct capacity_forecast forecast = { .wait_us = G_MAXINT64 };

	for (guint i = 0; list && i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (!could_take(args, upstream))
			continue;
		forecast.wait_us =
			MIN(forecast.wait_us,
			    MAX(pool_pushback_left_us(pool, upstream),
				pool_rate_limit_wait_us(pool, upstream)));
		forecast.per_s +=
			upstream->rate_limit.advertised
				? pool_rate_limit_per_s(pool, upstream)
				: INFINITY;
	}
	return forecast;
}

static struct retry_schedule *retry_schedule_of(struct pool *pool,
						const char *service)
{
	struct retry_schedule *schedule =
		g_hash_table_lookup(pool->retry_schedules, service);

	if (schedule)
		return schedule;
	schedule = g_new0(struct retry_schedule, 1);
	g_hash_table_insert(pool->retry_schedules, g_strdup(service), schedule);
	return schedule;
}

int64_t pool_retry_after_us(struct pool *pool,
			    const struct pool_pick_args *args)
{
	struct capacity_forecast forecast = forecast_capacity(pool, args);

	if (!forecast.wait_us || forecast.wait_us == G_MAXINT64)
		return 0;
	return retry_schedule_next_us(retry_schedule_of(pool, args->service),
				      forecast.wait_us, forecast.per_s,
				      lp_now_us(pool->clock));
}
