#include "direct/direct_event_stream.h"

#include <glib.h>
#include <string.h>

static const char id_field[] = "id:";

/* Reads one line, without its end. Only a line that begins with "id:" is
 * an id, since data may contain the same text. */
static void read_id_line(struct direct_event_stream *stream, const char *line,
			 size_t size)
{
	size_t skip = sizeof(id_field) - 1;

	if (size < skip || strncmp(line, id_field, skip) != 0)
		return;
	stream->has_id = true;
	stream->id_start = stream->line_start + skip;
	stream->id_size = size - skip;
}

static void end_event(struct direct_event_stream *stream, const char *text,
		      char **last_id)
{
	if (!stream->has_id)
		return;
	stream->has_id = false;
	g_free(*last_id);
	*last_id =
		g_strstrip(g_strndup(text + stream->id_start, stream->id_size));
}

/* An event ends with an empty line; lines end with LF or CR LF. */
size_t direct_event_stream_complete_size(struct direct_event_stream *stream,
					 const char *text, size_t size,
					 char **last_id)
{
	size_t complete_size = 0;
	const char *end;

	while ((end = memchr(text + stream->line_start, '\n',
			     size - stream->line_start))) {
		const char *line = text + stream->line_start;
		size_t length = (size_t)(end - line);

		if (length && line[length - 1] == '\r')
			length--;
		read_id_line(stream, line, length);
		stream->line_start = (size_t)(end - text) + 1;
		if (length)
			continue;
		complete_size = stream->line_start;
		end_event(stream, text, last_id);
	}
	return complete_size;
}

void direct_event_stream_remove(struct direct_event_stream *stream, size_t size)
{
	stream->has_id &= stream->id_start >= size;
	stream->id_start -= MIN(stream->id_start, size);
	stream->line_start -= MIN(stream->line_start, size);
}
