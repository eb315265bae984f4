/**
 * How long a stream may take to go on after it has lost its upstream.
 *
 * A caller that has received events leaves when the next one does not come
 * within its patience. Work for a stream after that is wasted, so its answer
 * is aborted once it cannot go on in time.
 *
 * The functions keep no state. All times are in microseconds.
 */
#ifndef STREAM_RESUME_H
#define STREAM_RESUME_H

#include <stdbool.h>
#include <stdint.h>

struct stream_resume {
	int64_t last_event_us; /**< when its last event was sent to the caller
				*/
	int64_t target_us;     /**< of its route, for the first event */
	int64_t gap_us; /**< of its route: longest pause between events */
	int64_t deadline_us;
};

/** The time by which the next event must be sent to the caller. */
int64_t stream_resume_limit_us(const struct stream_resume *stream);
/** Whether the next event can be sent in time. `needed_us`: the least time that
 * it takes from now. */
bool stream_resume_is_possible(const struct stream_resume *stream,
			       int64_t now_us, int64_t needed_us);

#endif
