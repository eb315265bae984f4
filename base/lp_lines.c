#include "base/lp_lines.h"

#include <stdbool.h>
#include <string.h>

#define READ_BYTES_MAX 16384
/* Of one stream in one turn; then others have theirs. */
#define TURN_SIZE ((gsize)16 * READ_BYTES_MAX)

struct lp_lines {
	struct lp_lines_options options;
	GSource *source;
	GString *rest; /* of a line whose end has not come */
	bool telling;
	bool destroyed; /* while telling */
};

static void free_lines(struct lp_lines *lines)
{
	g_object_unref(lines->options.stream);
	g_clear_object(&lines->options.cancellable);
	g_string_free(lines->rest, TRUE);
	g_free(lines);
}

static bool is_over(const struct lp_lines *lines)
{
	return lines->destroyed ||
	       g_cancellable_is_cancelled(lines->options.cancellable);
}

/* Every whole line that is there. */
static void tell_lines(struct lp_lines *lines)
{
	gsize from = 0;
	char *end;

	while (!is_over(lines) && (end = memchr(lines->rest->str + from, '\n',
						lines->rest->len - from))) {
		*end = '\0';
		lines->options.line(lines->options.userdata,
				    lines->rest->str + from);
		from = (gsize)(end + 1 - lines->rest->str);
	}
	g_string_erase(lines->rest, 0, (gssize)from);
}

static void tell_end(struct lp_lines *lines, const GError *error)
{
	if (!error && lines->rest->len)
		lines->options.line(lines->options.userdata, lines->rest->str);
	if (!lines->destroyed)
		lines->options.ended(lines->options.userdata, error);
}

static bool is_too_long(const struct lp_lines *lines)
{
	return lines->options.line_bytes_max &&
	       lines->rest->len > lines->options.line_bytes_max;
}

/* Reads and tells what is there. Returns whether more is to be awaited. */
static bool read_all(struct lp_lines *lines)
{
	GPollableInputStream *stream =
		G_POLLABLE_INPUT_STREAM(lines->options.stream);
	g_autoptr(GError) error = NULL;
	char buffer[READ_BYTES_MAX];

	for (gsize had = 0; had < TURN_SIZE && !lines->destroyed;) {
		gssize size = g_pollable_input_stream_read_nonblocking(
			stream, buffer, sizeof(buffer),
			lines->options.cancellable, &error);

		if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
			return true;
		if (size <= 0) {
			tell_end(lines, error);
			return false;
		}
		had += (gsize)size;
		g_string_append_len(lines->rest, buffer, size);
		tell_lines(lines);
		if (!lines->destroyed && is_too_long(lines)) {
			error = g_error_new(G_IO_ERROR,
					    G_IO_ERROR_MESSAGE_TOO_LARGE,
					    "a line is longer than %zu bytes",
					    lines->options.line_bytes_max);
			tell_end(lines, error);
			return false;
		}
	}
	return !lines->destroyed;
}

static gboolean on_readable(GObject *stream, gpointer userdata);

/* Anew for each wait: a source of libsoup's streams is made for what is
 * buffered at the time, and one made while something was is ready for ever. */
static void await_more(struct lp_lines *lines)
{
	lines->source = g_pollable_input_stream_create_source(
		G_POLLABLE_INPUT_STREAM(lines->options.stream),
		lines->options.cancellable);
	g_source_set_callback(lines->source, G_SOURCE_FUNC(on_readable), lines,
			      NULL);
	g_source_attach(lines->source, NULL);
}

static void drop_source(struct lp_lines *lines)
{
	if (!lines->source)
		return;
	g_source_destroy(lines->source);
	g_clear_pointer(&lines->source, g_source_unref);
}

static gboolean on_readable(GObject *stream, gpointer userdata)
{
	struct lp_lines *lines = userdata;
	bool more;

	drop_source(lines);
	lines->telling = true;
	more = read_all(lines);
	lines->telling = false;
	if (lines->destroyed)
		free_lines(lines);
	else if (more)
		await_more(lines);
	return G_SOURCE_REMOVE;
}

struct lp_lines *lp_lines_create(const struct lp_lines_options *options)
{
	struct lp_lines *lines = g_new0(struct lp_lines, 1);

	lines->options = *options;
	g_object_ref(options->stream);
	if (options->cancellable)
		g_object_ref(options->cancellable);
	lines->rest = g_string_new(NULL);
	await_more(lines);
	return lines;
}

void lp_lines_destroy(struct lp_lines *lines)
{
	if (!lines)
		return;
	drop_source(lines);
	lines->destroyed = true;
	/* Freed by on_readable(), if this is one of its callbacks. */
	if (!lines->telling)
		free_lines(lines);
}
