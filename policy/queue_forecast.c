#include "policy/queue_forecast.h"

#include "base/lp_clock.h"

#include <glib.h>
#include <string.h>

#define SLOT_US (100 * LP_US_PER_MS)
#define RECENT_SLOTS 5
/* Upstreams that wait for memory complete a call in about a second, so half a
 * second may have none, or two of each. */
#define COMPLETED_SLOTS 20
/* Admitted requests reach a stage within about this time. */
#define COMMITTED_SPAN_US (1 * LP_US_PER_S)
/* Bursts last 3 to 8 s. Beyond this time the average rate is assumed, which a
 * burst raises as it lasts. */
#define RECENT_SPAN_US (3 * LP_US_PER_S)
#define WAIT_MAX_US (60 * LP_US_PER_S)

void queue_forecast_init(struct queue_forecast *forecast, int64_t now_us)
{
	memset(forecast, 0, sizeof(*forecast));
	forecast->started_us = now_us;
	forecast->slot = now_us / SLOT_US;
}

static int32_t clamp_rank(int32_t rank)
{
	return CLAMP(rank, 0, QUEUE_FORECAST_RANKS - 1);
}

/* Clears the slots that have begun since the last event. */
static void advance(struct queue_forecast *forecast, int64_t now_us)
{
	int64_t slot = now_us / SLOT_US;
	int64_t first =
		MAX(forecast->slot + 1, slot - QUEUE_FORECAST_SLOTS + 1);

	for (int64_t i = first; i <= slot; i++) {
		memset(forecast->arrivals[i % QUEUE_FORECAST_SLOTS], 0,
		       sizeof(forecast->arrivals[0]));
		forecast->completed[i % QUEUE_FORECAST_SLOTS] = 0;
	}
	forecast->slot = MAX(forecast->slot, slot);
}

void queue_forecast_note_arrival(struct queue_forecast *forecast, int32_t rank,
				 int64_t now_us)
{
	/* After a pause the queue may be used anew, as its owner has become
	 * dispatcher: the pause is not part of the average. */
	if (now_us - forecast->last_arrival_us >=
	    QUEUE_FORECAST_SLOTS * SLOT_US)
		forecast->started_us = now_us;
	forecast->last_arrival_us = now_us;
	advance(forecast, now_us);
	forecast->arrivals[forecast->slot % QUEUE_FORECAST_SLOTS]
			  [clamp_rank(rank)]++;
}

void queue_forecast_note_completed(struct queue_forecast *forecast,
				   int64_t now_us)
{
	advance(forecast, now_us);
	forecast->completed[forecast->slot % QUEUE_FORECAST_SLOTS]++;
}

void queue_forecast_set_committed(struct queue_forecast *forecast,
				  const uint32_t *by_rank, uint32_t ranks)
{
	memset(forecast->committed, 0, sizeof(forecast->committed));
	for (uint32_t i = 0; i < ranks; i++)
		forecast->committed[MIN(i, QUEUE_FORECAST_RANKS - 1)] +=
			by_rank[i];
}

uint32_t queue_forecast_committed(const struct queue_forecast *forecast,
				  int32_t ranks)
{
	uint32_t sum = 0;

	for (int32_t i = 0; i < MIN(ranks, QUEUE_FORECAST_RANKS); i++)
		sum += forecast->committed[i];
	return sum;
}

/* Start of the period that the last `slots` slots cover, as far as it was
 * observed. */
static int64_t period_start_us(const struct queue_forecast *forecast,
			       int64_t slots, int64_t now_us)
{
	return MAX(forecast->started_us,
		   (now_us / SLOT_US - slots + 1) * SLOT_US);
}

/* Whether rates are known already. */
static bool has_rates(const struct queue_forecast *forecast, int64_t now_us)
{
	return now_us - forecast->started_us >= RECENT_SLOTS * SLOT_US;
}

static uint32_t sum_arrivals(const struct queue_forecast *forecast,
			     int64_t slot, int32_t ranks)
{
	const uint32_t *by_rank =
		forecast->arrivals[slot % QUEUE_FORECAST_SLOTS];
	uint32_t sum = 0;

	for (int32_t i = 0; i < MIN(ranks, QUEUE_FORECAST_RANKS); i++)
		sum += by_rank[i];
	return sum;
}

/* Mean rate over the last `slots` slots. */
static double arrival_rate(const struct queue_forecast *forecast, int64_t slots,
			   int32_t ranks, int64_t now_us)
{
	int64_t current = now_us / SLOT_US;
	int64_t length_us = now_us - period_start_us(forecast, slots, now_us);
	uint32_t sum = 0;

	for (int64_t i = MAX(current - slots + 1, 0);
	     i <= MIN(current, forecast->slot); i++)
		sum += sum_arrivals(forecast, i, ranks);
	return length_us > 0 ? (double)sum / (double)length_us : 0;
}

struct queue_forecast_rates
queue_forecast_arrivals(const struct queue_forecast *forecast, int32_t ranks,
			int64_t now_us)
{
	struct queue_forecast_rates rates = { 0 };

	if (!has_rates(forecast, now_us))
		return rates;
	/* The current slot has just begun, so one more is taken. */
	rates.recent = arrival_rate(forecast, RECENT_SLOTS + 1, ranks, now_us);
	rates.average =
		arrival_rate(forecast, QUEUE_FORECAST_SLOTS, ranks, now_us);
	return rates;
}

double queue_forecast_completions(const struct queue_forecast *forecast,
				  int64_t since_us, int64_t now_us)
{
	int64_t current = now_us / SLOT_US;
	int64_t first = MAX(since_us / SLOT_US, current - COMPLETED_SLOTS);
	int64_t length_us = now_us - first * SLOT_US;
	uint32_t sum = 0;

	if (length_us < RECENT_SLOTS * SLOT_US)
		return 0;
	for (int64_t i = first; i <= MIN(current, forecast->slot); i++)
		sum += forecast->completed[i % QUEUE_FORECAST_SLOTS];
	return (double)sum / (double)length_us;
}

/* ---- waiting time ---- */

/* Lets work arrive at `rate` for `span_us`. False: the queue is not empty by
 * then; else `wait_us` is increased by the time until it is. */
static bool drain(double *ahead, double rate, double capacity, int64_t span_us,
		  int64_t *wait_us)
{
	double drained = (capacity - rate) * (double)span_us;

	if (*ahead > drained) {
		*ahead -= drained;
		*wait_us += span_us;
		return false;
	}
	if (*ahead > 0)
		*wait_us += (int64_t)(*ahead / (capacity - rate));
	return true;
}

int64_t queue_forecast_wait_us(const struct queue_forecast_load *load)
{
	const struct queue_forecast_rates *arrivals = &load->arrivals;
	/* Committed work is among the next arrivals. */
	double first_rate =
		MAX(arrivals->recent, load->committed / COMMITTED_SPAN_US);
	double ahead = load->ahead;
	int64_t wait_us = 0;

	if (load->capacity <= 0)
		return INT64_MAX;
	if (ahead <= 0 ||
	    drain(&ahead, first_rate, load->capacity, COMMITTED_SPAN_US,
		  &wait_us) ||
	    drain(&ahead, arrivals->recent, load->capacity,
		  RECENT_SPAN_US - COMMITTED_SPAN_US, &wait_us) ||
	    drain(&ahead, arrivals->average, load->capacity,
		  WAIT_MAX_US - RECENT_SPAN_US, &wait_us))
		return wait_us;
	return INT64_MAX;
}
