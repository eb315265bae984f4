/** Forecast of the waiting times in a queue of pieces. */
#include "policy/pieces_private.h"

/* Estimates are added up along a route's stages, so they are bounded. */
#define ESTIMATE_MAX_US (60 * LP_US_PER_S)
/* The measured rate varies by whole calls, so it counts only down to this part
 * of the capacity. */
#define MEASURED_CAPACITY_MIN 0.2

/* ---- contents ---- */

/* Numbers of the waiting pieces. */
struct contents {
	uint32_t first; /* before all others: resumed, rest of a group */
	uint32_t on_time[QUEUE_FORECAST_RANKS];
	int64_t result_bytes; /* of all, also late ones */
};

/* Whether a waiting piece goes before all others. */
static bool goes_first(const struct piece *piece)
{
	return piece->resumes || piece->group_started;
}

static struct contents count_contents(const struct pieces *pieces)
{
	int64_t cutoff_us = pieces_lateness_cutoff_us(pieces);
	struct contents contents = { 0 };

	for (guint i = 0; i < pieces->waiting->len; i++) {
		const struct piece *piece = pieces_waiting(pieces, i);

		contents.result_bytes += piece->result_bytes;
		if (goes_first(piece))
			contents.first++;
		else if (piece->due_us >= cutoff_us)
			contents.on_time[CLAMP(piece->priority, 0,
					       QUEUE_FORECAST_RANKS - 1)]++;
	}
	return contents;
}

/* Pieces that go ahead of one that can be on time and is of rank `ranks` - 1.
 */
static uint32_t count_on_time(const struct contents *contents, int32_t ranks)
{
	uint32_t count = contents->first;

	for (int32_t i = 0; i < MIN(ranks, QUEUE_FORECAST_RANKS); i++)
		count += contents->on_time[i];
	return count;
}

/* ---- capacity ---- */

/* Whether only its advertised rate limit keeps the upstream from a call. */
static bool awaits_rate_limit(const struct pieces *pieces,
			      const struct pool_upstream *upstream)
{
	return pieces_is_own_upstream(pieces, upstream) &&
	       pool_is_eligible(upstream) &&
	       pool_rate_limit_wait_us(pieces->options.pool, upstream);
}

/* Calls that the upstream completes in the time of one at normal speed. */
static double relative_speed(const struct pieces *pieces,
			     const struct pool_upstream *upstream)
{
	double speed = 1.0 / MAX(pool_upstream_time_factor(pieces->options.pool,
							   upstream),
				 0.1);
	int64_t call_us =
		pieces_call_time_us(pieces, pieces->options.batch_max);

	if (!upstream->rate_limit.advertised)
		return speed;
	return MIN(speed,
		   pool_rate_limit_per_s(pieces->options.pool, upstream) *
			   (double)call_us / LP_US_PER_S);
}

/* Whether a full call does not fit into the upstream's memory now. */
static bool lacks_memory(const struct pieces *pieces,
			 const struct pool_upstream *upstream,
			 const struct contents *contents)
{
	uint32_t count = pieces->waiting->len;

	return pieces->options.result_memory_bytes && count &&
	       pieces_free_memory_bytes(pieces, upstream) <
		       contents->result_bytes / count *
			       (int64_t)MIN(count, pieces->options.batch_max);
}

static double full_call_rate(const struct pieces *pieces, double total_speed)
{
	uint32_t batch = MAX(pieces->options.batch_max, 1);

	return batch * total_speed /
	       (double)MAX(pieces_call_time_us(pieces, batch), 1);
}

/* Rate at which pieces are processed where memory limits it. */
static double memory_limited_rate(const struct pieces *pieces, double rate)
{
	double measured;

	if (!pieces->backlog_since_us)
		return rate;
	measured = queue_forecast_completions(&pieces->forecast,
					      pieces->backlog_since_us,
					      pieces_now_us(pieces));
	if (measured <= 0)
		return rate;
	return CLAMP(measured, MEASURED_CAPACITY_MIN * rate, rate);
}

static struct pieces_capacity measure_capacity(const struct pieces *pieces,
					       const struct contents *contents)
{
	const GPtrArray *list = pieces_upstreams(pieces);
	struct pieces_capacity capacity = { .idle_in_us = G_MAXINT64 };
	uint32_t usable_count = 0;
	uint32_t short_count = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (!pieces_is_usable(pieces, upstream) &&
		    !awaits_rate_limit(pieces, upstream))
			continue;
		usable_count++;
		short_count += lacks_memory(pieces, upstream, contents);
		capacity.total_speed += relative_speed(pieces, upstream);
		capacity.idle_in_us =
			MIN(capacity.idle_in_us,
			    MAX(pieces_time_until_idle_us(pieces, upstream),
				pool_rate_limit_wait_us(pieces->options.pool,
							upstream)));
	}
	capacity.known = capacity.total_speed > 0;
	if (!capacity.known) {
		capacity.total_speed = 1.0;
		capacity.idle_in_us = pieces_call_time_us(pieces, 1);
	}
	capacity.pieces_per_us = full_call_rate(pieces, capacity.total_speed);
	if (short_count && 2 * short_count >= usable_count)
		capacity.pieces_per_us =
			memory_limited_rate(pieces, capacity.pieces_per_us);
	return capacity;
}

struct pieces_capacity pieces_measure_capacity(const struct pieces *pieces)
{
	struct contents contents = count_contents(pieces);

	return measure_capacity(pieces, &contents);
}

/* ---- estimates ---- */

void pieces_set_committed(struct pieces *pieces, const uint32_t *by_rank,
			  uint32_t ranks)
{
	queue_forecast_set_committed(&pieces->forecast, by_rank, ranks);
}

/* Committed pieces of the ranks 0 to ranks - 1 that the rate of arrivals does
 * not predict for the next second anyway. */
static double unpredicted_committed(const struct pieces *pieces, int32_t ranks,
				    const struct queue_forecast_rates *arrivals)
{
	return MAX(queue_forecast_committed(&pieces->forecast, ranks) -
			   arrivals->recent * LP_US_PER_S,
		   0);
}

/* Time until a piece is completed that waits for `load`. */
static int64_t completion_us(const struct pieces *pieces,
			     const struct pieces_capacity *capacity,
			     const struct queue_forecast_load *load)
{
	int64_t wait_us = queue_forecast_wait_us(load);
	uint32_t batch = MAX(pieces->options.batch_max, 1);
	uint32_t count = (uint32_t)MIN(load->ahead + 1, batch);

	if (wait_us == INT64_MAX)
		return INT64_MAX;
	return capacity->idle_in_us + wait_us +
	       pieces_call_time_us(pieces, count);
}

/* Committed work of the same rank is ahead of a piece that is promised now. */
static int64_t estimate_us(const struct pieces *pieces,
			   const struct contents *contents,
			   const struct pieces_capacity *capacity, int32_t rank)
{
	const struct queue_forecast *forecast = &pieces->forecast;
	struct queue_forecast_load load = {
		.arrivals = queue_forecast_arrivals(forecast, rank,
						    pieces_now_us(pieces)),
		.capacity = capacity->pieces_per_us,
	};
	int64_t time_us;

	load.ahead = count_on_time(contents, rank + 1) +
		     queue_forecast_committed(forecast, rank + 1) -
		     queue_forecast_committed(forecast, rank) +
		     unpredicted_committed(pieces, rank, &load.arrivals);
	time_us = completion_us(pieces, capacity, &load);
	return MIN(time_us, ESTIMATE_MAX_US);
}

int64_t pieces_estimate_us(const struct pieces *pieces, int32_t priority)
{
	struct contents contents = count_contents(pieces);
	struct pieces_capacity capacity = measure_capacity(pieces, &contents);

	return estimate_us(pieces, &contents, &capacity,
			   CLAMP(priority, 0, QUEUE_FORECAST_RANKS - 1));
}

void pieces_estimate_by_priority_us(const struct pieces *pieces, int64_t *out,
				    int32_t count)
{
	struct contents contents = count_contents(pieces);
	struct pieces_capacity capacity = measure_capacity(pieces, &contents);

	for (int32_t i = 0; i < count; i++)
		out[i] = estimate_us(pieces, &contents, &capacity,
				     MIN(i, QUEUE_FORECAST_RANKS - 1));
}

int64_t pieces_late_wait_us(const struct pieces *pieces)
{
	struct pieces_capacity capacity = pieces_measure_capacity(pieces);
	struct queue_forecast_load load = {
		.arrivals = queue_forecast_arrivals(&pieces->forecast,
						    QUEUE_FORECAST_RANKS,
						    pieces_now_us(pieces)),
		.capacity = capacity.pieces_per_us,
	};

	load.ahead = pieces->waiting->len +
		     unpredicted_committed(pieces, QUEUE_FORECAST_RANKS,
					   &load.arrivals);
	return completion_us(pieces, &capacity, &load);
}
