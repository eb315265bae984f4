/**
 * Forecast of the waiting time in a queue whose work is served by rank: 0 is
 * the most urgent.
 *
 * It answers two load patterns that the length of the queue alone does not
 * show. Work waits not only for what is ahead of it, but also for more urgent
 * work that arrives meanwhile: behind work that arrives at 90% of the capacity,
 * a queue drains at a tenth of the capacity. And work that has been promised to
 * the queue (committed) will be ahead of work that is promised later.
 *
 * Rates are those of the last half second and, for times further ahead, of the
 * last ten seconds. All times are in microseconds.
 */
#ifndef QUEUE_FORECAST_H
#define QUEUE_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

/** Less urgent work counts as of the last rank. */
#define QUEUE_FORECAST_RANKS 12
#define QUEUE_FORECAST_SLOTS 100

/** What a queue has observed. Initialize by queue_forecast_init(). */
struct queue_forecast {
	/* private */
	int64_t started_us; /* begin of the observation */
	int64_t last_arrival_us;
	int64_t slot; /* number of the current slot */
	uint32_t arrivals[QUEUE_FORECAST_SLOTS][QUEUE_FORECAST_RANKS];
	uint32_t completed[QUEUE_FORECAST_SLOTS];
	uint32_t committed[QUEUE_FORECAST_RANKS];
};

void queue_forecast_init(struct queue_forecast *forecast, int64_t now_us);
/** Record a piece that arrived and can be on time. */
void queue_forecast_note_arrival(struct queue_forecast *forecast, int32_t rank,
				 int64_t now_us);
/** Record a piece that was completed. */
void queue_forecast_note_completed(struct queue_forecast *forecast,
				   int64_t now_us);
/** Set the pieces that have been promised and have not arrived yet. */
void queue_forecast_set_committed(struct queue_forecast *forecast,
				  const uint32_t *by_rank, uint32_t ranks);
/** Committed pieces of the ranks 0 to ranks - 1. */
uint32_t queue_forecast_committed(const struct queue_forecast *forecast,
				  int32_t ranks);

/** Pieces per microsecond. */
struct queue_forecast_rates {
	double recent;	/**< of the last half second */
	double average; /**< of the last ten seconds */
};

/** Arrivals of the ranks 0 to ranks - 1; 0 in the first half second. */
struct queue_forecast_rates
queue_forecast_arrivals(const struct queue_forecast *forecast, int32_t ranks,
			int64_t now_us);
/** Pieces completed per microsecond since a time, within the last two seconds;
 * 0: that time is less than half a second ago. */
double queue_forecast_completions(const struct queue_forecast *forecast,
				  int64_t since_us, int64_t now_us);

/** What a piece waits for. */
struct queue_forecast_load {
	double ahead;	  /**< pieces in the queue or sure to come */
	double committed; /**< further pieces that will arrive ahead of it, if
			     it is still waiting then */
	struct queue_forecast_rates arrivals; /**< that go ahead of it */
	double capacity;		      /**< pieces per microsecond */
};

/** Time until the piece is sent; INT64_MAX: not within a minute. */
int64_t queue_forecast_wait_us(const struct queue_forecast_load *load);

#endif
