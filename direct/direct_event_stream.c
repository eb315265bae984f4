#include "direct/direct_event_stream.h"

#include <glib.h>
#include <string.h>

static const char id_field[] = "id:";

/* Reads one line, without its line feed. Only a line that begins with "id:" is
 * an id, since data may contain the same text. */
static void read_id_line(const char *line, size_t size, char **last_id)
{
	size_t skip = sizeof(id_field) - 1;

	if (size < skip || strncmp(line, id_field, skip) != 0)
		return;
	g_free(*last_id);
	*last_id = g_strstrip(g_strndup(line + skip, size - skip));
}

static void read_ids(const char *event, size_t size, char **last_id)
{
	size_t start = 0;

	while (start < size) {
		const char *end = memchr(event + start, '\n', size - start);
		size_t length =
			end ? (size_t)(end - event) - start : size - start;

		read_id_line(event + start, length, last_id);
		start += length + 1;
	}
}

size_t direct_event_stream_complete_size(const char *text, size_t size,
					 char **last_id)
{
	size_t complete_size = 0;

	while (complete_size < size) {
		const char *end =
			g_strstr_len(text + complete_size,
				     (gssize)(size - complete_size), "\n\n");
		size_t event_size;

		if (!end)
			break;
		event_size = (size_t)(end - text) + 2 - complete_size;
		read_ids(text + complete_size, event_size, last_id);
		complete_size += event_size;
	}
	return complete_size;
}
