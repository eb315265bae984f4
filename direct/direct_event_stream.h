/** Splits a stream of server-sent events into complete events and reads their
 * ids. */
#ifndef DIRECT_EVENT_STREAM_H
#define DIRECT_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>

/** A position in a stream whose text is buffered from the beginning of an
 * event: each line is read once, however many parts the event arrives in. All
 * zero at the beginning of a stream. */
struct direct_event_stream {
	/* private */
	size_t line_start; /* of the first line that was not read yet */
	bool has_id;	   /* the event that is not complete has an id line */
	size_t id_start;
	size_t id_size;
};

/**
 * Returns the length of the complete events at the start of the buffered text.
 * The last id among them, if any, replaces `*last_id` (owned by the caller;
 * `*last_id` may be NULL).
 */
size_t direct_event_stream_complete_size(struct direct_event_stream *stream,
					 const char *text, size_t size,
					 char **last_id);
/** The first bytes of the buffered text were removed. */
void direct_event_stream_remove(struct direct_event_stream *stream,
				size_t size);

#endif
