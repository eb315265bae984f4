/** The events of a stream as they pass: whole ones, and their ids. */
#ifndef DIRECT_EVENT_STREAM_H
#define DIRECT_EVENT_STREAM_H

#include <stddef.h>

/**
 * Length of the whole events at the start of a text. The last id that one of
 * them has replaces `*last_id` (owned by the caller; may be NULL).
 */
size_t direct_event_stream_complete_size(const char *text, size_t size,
					 char **last_id);

#endif
