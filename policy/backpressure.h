/**
 * Flow control between an upstream and a caller that reads more slowly.
 *
 * What the caller has not taken yet is buffered up to a limit; above it the
 * upstream is not read from, until half of the limit is left. Pure.
 */
#ifndef BACKPRESSURE_H
#define BACKPRESSURE_H

#include <stdbool.h>
#include <stdint.h>

/** Whether the upstream is to be paused from now on. */
static inline bool backpressure_pauses(bool is_paused, int64_t buffered_bytes,
				       int64_t limit_bytes)
{
	return buffered_bytes > (is_paused ? limit_bytes / 2 : limit_bytes);
}

#endif
