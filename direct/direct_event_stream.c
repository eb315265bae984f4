#include "direct/direct_event_stream.h"

#include <glib.h>
#include <string.h>

static const char id_field[] = "id:";

/* Reads one line, without its end. Only a line that begins with "id:" is
 * an id, since data may contain the same text. */
static void read_id_line(const char *line, size_t size, char **last_id)
{
	size_t skip = sizeof(id_field) - 1;

	if (size < skip || strncmp(line, id_field, skip) != 0)
		return;
	g_free(*last_id);
	*last_id = g_strstrip(g_strndup(line + skip, size - skip));
}

/* An event ends with an empty line; lines end with LF or CR LF. */
size_t direct_event_stream_complete_size(const char *text, size_t size,
					 char **last_id)
{
	g_autofree char *id = NULL;
	size_t complete_size = 0;
	size_t start = 0;
	const char *end;

	while ((end = memchr(text + start, '\n', size - start))) {
		size_t length = (size_t)(end - text) - start;

		if (length && text[start + length - 1] == '\r')
			length--;
		read_id_line(text + start, length, &id);
		start = (size_t)(end - text) + 1;
		if (length)
			continue;
		complete_size = start;
		if (!id)
			continue;
		g_free(*last_id);
		*last_id = g_steal_pointer(&id);
	}
	return complete_size;
}
