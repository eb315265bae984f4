/**
 * The lines of a stream, as they come.
 *
 * One turn of the loop reads all that is there, however many lines that is. A
 * reader that takes one line a turn (g_data_input_stream_read_line_async()) is
 * late by a turn for each line: beside other work, where a turn takes long, an
 * answer of fifty lines that had come whole was read for 50 turns, 8 s in which
 * its reader gave up.
 */
#ifndef LP_LINES_H
#define LP_LINES_H

#include <gio/gio.h>

struct lp_lines;

struct lp_lines_options {
	GInputStream *stream; /**< can be polled; a reference is taken */
	/** Ends it with an error; no line is told after it. May be NULL. */
	GCancellable *cancellable;
	/** Of a line; a longer one ends the stream with
	 * G_IO_ERROR_MESSAGE_TOO_LARGE. 0: no limit. */
	gsize line_bytes_max;
	/** A line without its newline, borrowed; also the rest without one. A
	 * zero byte ends it early. */
	void (*line)(void *userdata, const char *line);
	/** Once, last: NULL at the end of the stream, else why it broke off;
	 * borrowed. */
	void (*ended)(void *userdata, const GError *error);
	void *userdata;
};

/** Both callbacks come from the loop, never from inside here, and may destroy
 * it. */
struct lp_lines *lp_lines_create(const struct lp_lines_options *options);
/** No callback comes any more. */
void lp_lines_destroy(struct lp_lines *lines);

#endif
