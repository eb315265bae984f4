/** Estimates of upstreams from the outcomes of requests and calls. */
#include "policy/pool_private.h"

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
/* Half-life of the slowness and error rate estimates without outcomes, so that
 * an upstream that has recovered is selected again. */
#define ESTIMATE_HALF_LIFE_US (2 * LP_US_PER_S)
#define SLOWNESS_MAX 20.0

void pool_decay_estimates(struct pool_upstream *upstream, int64_t now_us)
{
	int64_t quiet_us = now_us - upstream->last_outcome_us;

	for (; quiet_us > ESTIMATE_HALF_LIFE_US;
	     quiet_us -= ESTIMATE_HALF_LIFE_US) {
		upstream->slowness = 1.0 + (upstream->slowness - 1.0) / 2;
		upstream->error_rate /= 2;
		upstream->last_outcome_us += ESTIMATE_HALF_LIFE_US;
		if (upstream->slowness < 1.05 && upstream->error_rate < 0.02) {
			upstream->last_outcome_us = now_us;
			return;
		}
	}
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
	int64_t now_us = lp_now_us(pool->clock);
	bool failed =
		outcome == POOL_UNREACHABLE || outcome == POOL_WRONG_PROCESS;
	uint32_t doublings =
		MIN(upstream->consecutive_failures, EJECTION_DOUBLINGS_MAX);

	if (outcome == POOL_UNDETERMINED)
		return;
	pool_decay_estimates(upstream, now_us);
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

		upstream->slowness +=
			OUTCOME_WEIGHT * (ratio - upstream->slowness);
	}
}

void pool_note_recovered(struct pool *pool, struct pool_upstream *upstream)
{
	int64_t now_us = lp_now_us(pool->clock);

	upstream->consecutive_failures = 0;
	upstream->ejected_until_us = MIN(upstream->ejected_until_us, now_us);
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
