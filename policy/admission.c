#include "policy/admission.h"

#include "base/lp_clock.h"

#include <glib.h>
#include <stdbool.h>

/* Measured piece times predict those of the next ones for about four calls; the
 * newest one has a weight of a quarter. */
#define PIECE_TIME_TTL_US (1 * LP_US_PER_S)
#define SMOOTHING_DIVISOR 4
/* Measured times count up to this many times the queue's estimate. */
#define QUEUE_FACTOR_MAX 2

/* A full queue is emptied within about one call. */
#define RETRY_AFTER_MIN_US (250 * LP_US_PER_MS)
/* Longest retry delay before the spread: bursts last some seconds. */
#define RETRY_AFTER_MAX_US (1500 * LP_US_PER_MS)
/* Spreads the retries of callers that were refused in the same burst. */
#define RETRY_AFTER_SPREAD_US (1500 * LP_US_PER_MS)

static bool is_fresh(const struct admission_piece_time *piece_time,
		     int64_t now_us)
{
	return piece_time->updated_us &&
	       now_us - piece_time->updated_us <= PIECE_TIME_TTL_US;
}

void admission_record_piece_time(struct admission_piece_time *piece_time,
				 int64_t took_us, int64_t now_us)
{
	if (is_fresh(piece_time, now_us))
		piece_time->mean_us +=
			(took_us - piece_time->mean_us) / SMOOTHING_DIVISOR;
	else
		piece_time->mean_us = took_us;
	piece_time->updated_us = now_us;
}

int64_t
admission_estimate_stage_us(const struct admission_piece_time *piece_time,
			    int64_t queue_us, int64_t now_us)
{
	if (!is_fresh(piece_time, now_us))
		return queue_us;
	return MAX(queue_us,
		   MIN(piece_time->mean_us, QUEUE_FACTOR_MAX * queue_us));
}

int64_t admission_retry_after_us(const struct admission_request *request)
{
	int64_t excess_us = request->estimate_us - request->target_us;

	if (!request->target_us || excess_us <= 0)
		return 0;
	return CLAMP(excess_us, RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US) +
	       (int64_t)(request->hash % RETRY_AFTER_SPREAD_US);
}
