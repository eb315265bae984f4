#include "policy/stream_resume.h"

#include "base/lp_clock.h"

#include <glib.h>

/* A caller waits for the longest of these times for the next event. */
#define PATIENCE_MIN_US (2 * LP_US_PER_S)
#define PATIENCE_TARGETS 4
#define PATIENCE_GAPS 8
/* The event has to reach the caller before it leaves. */
#define MARGIN_US (100 * LP_US_PER_MS)

int64_t stream_resume_limit_us(const struct stream_resume *stream)
{
	int64_t patience_us = MAX(PATIENCE_TARGETS * stream->target_us,
				  PATIENCE_GAPS * stream->gap_us);

	patience_us = MAX(patience_us, PATIENCE_MIN_US);
	return MIN(stream->last_event_us + patience_us - MARGIN_US,
		   stream->deadline_us);
}

bool stream_resume_is_possible(const struct stream_resume *stream,
			       int64_t now_us, int64_t needed_us)
{
	return now_us + needed_us < stream_resume_limit_us(stream);
}
