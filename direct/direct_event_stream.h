/** Splits a stream of server-sent events into complete events and reads their
 * ids. */
#ifndef DIRECT_EVENT_STREAM_H
#define DIRECT_EVENT_STREAM_H

#include <stddef.h>

/**
 * Returns the length of the complete events at the start of a text. The last id
 * among them, if any, replaces `*last_id` (owned by the caller; `*last_id` may
 * be NULL).
 */
size_t direct_event_stream_complete_size(const char *text, size_t size,
					 char **last_id);

#endif
