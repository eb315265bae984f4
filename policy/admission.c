#include "policy/admission.h"

#include "base/lp_clock.h"

#include <glib.h>
#include <stdbool.h>

/* What pieces took tells of the next ones for about four calls; the newest
 * counts a quarter. */
#define LEARNT_US (1 * LP_US_PER_S)
#define LEARN_PARTS 4
/* What was learnt counts up to so many times the queue's estimate. */
#define LEARNT_QUEUES_MAX 2

/* A full queue empties within about a call. */
#define WAIT_MIN_US (250 * LP_US_PER_MS)
/* The longest that a caller is told to stay away: bursts last some seconds. */
#define WAIT_MAX_US (1500 * LP_US_PER_MS)
/* Those that a burst brought together come back apart. */
#define WAIT_SPREAD_US (1500 * LP_US_PER_MS)

static bool is_fresh(const struct admission_piece_time *memory, int64_t now_us)
{
	return memory->updated_us && now_us - memory->updated_us <= LEARNT_US;
}

void admission_record_piece_time(struct admission_piece_time *memory,
				 int64_t took_us, int64_t now_us)
{
	if (is_fresh(memory, now_us))
		memory->mean_us += (took_us - memory->mean_us) / LEARN_PARTS;
	else
		memory->mean_us = took_us;
	memory->updated_us = now_us;
}

int64_t admission_estimate_stage_us(const struct admission_piece_time *memory,
				    int64_t queue_us, int64_t now_us)
{
	if (!is_fresh(memory, now_us))
		return queue_us;
	return MAX(queue_us,
		   MIN(memory->mean_us, LEARNT_QUEUES_MAX * queue_us));
}

int64_t admission_retry_after_us(const struct admission_request *request)
{
	int64_t over_us = request->estimate_us - request->target_us;

	if (!request->target_us || over_us <= 0)
		return 0;
	return CLAMP(over_us, WAIT_MIN_US, WAIT_MAX_US) +
	       (int64_t)(request->hash % WAIT_SPREAD_US);
}
