#include "policy/peer_liveness.h"

#include <glib.h>

int64_t peer_liveness_silence_us(const struct peer_liveness *liveness,
				 const struct peer_report *report)
{
	int64_t owed_since_us = liveness->since_us;

	if (!report->is_in_flight && !report->is_probed_often) {
		if (!liveness->unanswered_us)
			return 0;
		owed_since_us = liveness->unanswered_us;
	}
	return MAX(report->now_us - MAX(report->heard_us, owed_since_us), 0);
}

/* The system does not tell when it sent a probe: at the latest just before the
 * first report that has it. */
static void note_probe(struct peer_liveness *liveness,
		       const struct peer_report *report)
{
	if (!report->is_probe_unanswered)
		liveness->unanswered_us = 0;
	else if (!liveness->unanswered_us ||
		 liveness->unanswered_us < report->heard_us)
		liveness->unanswered_us = report->now_us;
}

enum peer_state peer_liveness_update(struct peer_liveness *liveness,
				     const struct peer_report *report,
				     int64_t silence_max_us)
{
	note_probe(liveness, report);
	if (!report->undelivered_bytes)
		return PEER_DELIVERED;
	if (peer_liveness_silence_us(liveness, report) >= silence_max_us)
		return PEER_GONE;
	return report->is_in_flight ? PEER_IN_FLIGHT : PEER_SLOW;
}
