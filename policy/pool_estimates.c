/** Estimates of upstreams from the outcomes of requests and calls. */
#include "policy/pool_private.h"

#include <math.h>

/* Ejection time after a failure; doubles with each consecutive one. */
#define EJECTION_BASE_US (250 * LP_US_PER_MS)
#define EJECTION_DOUBLINGS_MAX 4
#define EJECTION_MAX_US (4 * LP_US_PER_S)
/* Reports of other entries are ignored for so long after an answer. */
#define RECENT_OUTCOME_US (300 * LP_US_PER_MS)
/* Ejection time after a refusal because of load. */
#define OVERLOAD_EJECTION_US (60 * LP_US_PER_MS)
/* Weight of the newest outcome in an exponential moving average. */
#define OUTCOME_WEIGHT 0.3
/* Half-life of the recent slowness and of the error rate without outcomes, so
 * that an upstream that has recovered is selected again. */
#define ESTIMATE_HALF_LIFE_US (2 * LP_US_PER_S)
/* Weight of the newest outcome in the usual slowness: a machine that is always
 * slower is known after some twenty calls. */
#define USUAL_WEIGHT 0.05
/* An outcome counts in the usual slowness as at most this much slower or faster
 * than the service's mean. So the few calls of a disturbance hardly change it,
 * and an upstream that counts as slower by no more than this still gets work
 * under load, whose outcomes correct the estimate. One that falsely reports a
 * loaded host, and so counts as fast for that load, does not attract all work
 * when the report has faded. */
#define USUAL_DEVIATION_MAX 2.0
/* Half-life of usual slowness beyond the service's mean without outcomes: it
 * lasts through calm periods, but a slow upstream that gets no work at all is
 * tried again at some time. */
#define USUAL_HALF_LIFE_US (90 * LP_US_PER_S)
#define SLOWNESS_MAX 20.0

/* Mean of the usual slowness; 1 if it is not known of any upstream. */
static double mean_slowness(const GPtrArray *upstreams)
{
	double sum = 0;
	uint32_t count = 0;

	for (guint i = 0; i < upstreams->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(upstreams, i);

		sum += upstream->usual_slowness;
		count += upstream->usual_slowness > 0;
	}
	return count ? sum / count : 1.0;
}

/* An upstream without outcomes that counted as faster than the others would get
 * most of the work until it is measured. */
void pool_begin_estimates(const GPtrArray *upstreams)
{
	double mean = mean_slowness(upstreams);

	for (guint i = 0; i < upstreams->len; i++) {
		struct pool_upstream *upstream =
			g_ptr_array_index(upstreams, i);

		if (upstream->usual_slowness > 0)
			continue;
		upstream->slowness = mean;
		upstream->usual_slowness = mean;
	}
}

/* The recent slowness returns to the usual one. Without this an upstream that
 * was disturbed for a while would not be found well again: while it counts as
 * slow it gets little or no work, and to try it sooner would delay requests. */
static void decay_upstream(struct pool_upstream *upstream, double mean,
			   int64_t now_us)
{
	int64_t half_lives =
		(now_us - upstream->last_outcome_us) / ESTIMATE_HALF_LIFE_US;
	int64_t faded_us = half_lives * ESTIMATE_HALF_LIFE_US;
	double rest = exp2(-(double)half_lives);

	if (half_lives <= 0)
		return;
	if (upstream->usual_slowness > mean)
		upstream->usual_slowness =
			mean +
			(upstream->usual_slowness - mean) *
				exp2(-(double)faded_us / USUAL_HALF_LIFE_US);
	upstream->slowness =
		upstream->usual_slowness +
		(upstream->slowness - upstream->usual_slowness) * rest;
	upstream->error_rate *= rest;
	upstream->last_outcome_us += faded_us;
}

void pool_decay_estimates(const GPtrArray *upstreams, int64_t now_us)
{
	double mean = mean_slowness(upstreams);

	for (guint i = 0; i < upstreams->len; i++)
		decay_upstream(g_ptr_array_index(upstreams, i), mean, now_us);
}

static void record_time(struct pool_upstream *upstream, double mean,
			double ratio)
{
	upstream->slowness += OUTCOME_WEIGHT * (ratio - upstream->slowness);
	upstream->usual_slowness +=
		USUAL_WEIGHT * (CLAMP(ratio, mean / USUAL_DEVIATION_MAX,
				      mean * USUAL_DEVIATION_MAX) -
				upstream->usual_slowness);
}

static void eject(struct pool_upstream *upstream, int64_t now_us,
		  int64_t ejection_us)
{
	if (now_us + ejection_us > upstream->ejected_until_us)
		upstream->ejected_until_us = now_us + ejection_us;
}

void pool_record_outcome(struct pool *pool, struct pool_upstream *upstream,
			 enum pool_outcome outcome, int64_t took_us,
			 int64_t expected_us)
{
	static const GPtrArray none;
	const GPtrArray *listed =
		pool_service_upstreams(pool, upstream->info.service);
	const GPtrArray *others = listed ? listed : &none;
	int64_t now_us = lp_now_us(pool->clock);
	bool failed =
		outcome == POOL_UNREACHABLE || outcome == POOL_WRONG_PROCESS;
	uint32_t doublings =
		MIN(upstream->consecutive_failures, EJECTION_DOUBLINGS_MAX);

	if (outcome == POOL_UNDETERMINED)
		return;
	/* Also of the others: a stage's upstreams are not selected by
	 * pool_pick(). */
	pool_decay_estimates(others, now_us);
	upstream->last_outcome_us = now_us;
	if (failed) {
		eject(upstream, now_us,
		      MIN(MAX(EJECTION_BASE_US, took_us) << doublings,
			  EJECTION_MAX_US));
		upstream->consecutive_failures++;
		pool_suspect_cold(pool, upstream);
	} else {
		upstream->consecutive_failures = 0;
	}
	if (outcome == POOL_OVERLOADED)
		eject(upstream, now_us, OVERLOAD_EJECTION_US);
	upstream->error_rate +=
		OUTCOME_WEIGHT *
		((failed || outcome == POOL_ERROR_ANSWER ? 1.0 : 0.0) -
		 upstream->error_rate);
	if (!failed && took_us && expected_us) {
		double ratio = CLAMP((double)took_us / (double)expected_us, 0.5,
				     SLOWNESS_MAX);

		/* The reported load is part of the expected time already. As
		 * the slowness is learnt relative to it, measured times correct
		 * an upstream that constantly reports a wrong load. */
		ratio /= host_load_factor(&upstream->host_load, now_us);

		record_time(upstream, mean_slowness(others), ratio);
	}
}

void pool_note_host_load(struct pool *pool, struct pool_upstream *upstream,
			 int32_t percent)
{
	host_load_record(&upstream->host_load, percent, lp_now_us(pool->clock));
}

double pool_upstream_time_factor(const struct pool *pool,
				 const struct pool_upstream *upstream)
{
	if (!upstream->host_load.updated_us)
		return upstream->slowness;
	return upstream->slowness *
	       host_load_factor(&upstream->host_load, lp_now_us(pool->clock));
}

static const struct prefill_rate *prefill_rate_of(const struct pool *pool,
						  const char *service)
{
	return g_hash_table_lookup(pool->prefill_rates, service);
}

void pool_record_prefill(struct pool *pool,
			 const struct pool_upstream *upstream, int64_t tokens,
			 int64_t took_us)
{
	const char *service = upstream->info.service;
	const struct prefill_rate *known = prefill_rate_of(pool, service);
	struct prefill_rate rate = known ? *known : prefill_rate_initial();
	/* The rate is that of engines on hosts of usual load. */
	double usual_us =
		(double)took_us /
		host_load_factor(&upstream->host_load, lp_now_us(pool->clock));

	prefill_rate_record(&rate, tokens, (int64_t)usual_us);
	g_hash_table_replace(pool->prefill_rates, g_strdup(service),
			     g_memdup2(&rate, sizeof(rate)));
}

int64_t pool_prefill_us(const struct pool *pool, const char *service,
			int64_t tokens)
{
	const struct prefill_rate *known = prefill_rate_of(pool, service);
	const struct prefill_rate initial = prefill_rate_initial();

	return prefill_rate_us(known ? known : &initial, tokens);
}

void pool_note_busy(struct pool *pool, struct pool_upstream *upstream,
		    int64_t until_us)
{
	upstream->busy_until_us = until_us;
}

void pool_note_unreachable(struct pool *pool, struct pool_upstream *upstream,
			   int64_t ejection_us)
{
	int64_t now_us = lp_now_us(pool->clock);

	if (!upstream->consecutive_failures &&
	    now_us - upstream->last_outcome_us < RECENT_OUTCOME_US)
		return;
	eject(upstream, now_us, MIN(ejection_us, EJECTION_MAX_US));
}

bool pool_is_available(const struct pool *pool,
		       const struct pool_upstream *upstream)
{
	return pool_is_send_permitted(pool, upstream) &&
	       lp_now_us(pool->clock) >= upstream->ejected_until_us;
}
