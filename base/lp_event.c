#include "base/lp_event.h"

#include "base/lp_digest.h"
#include "base/lp_out.h"
#include "base/lp_timer.h"

/* At a front's usual load a request takes about three lines; thirty requests
 * a second and a storm of repeats stay well within it. */
#define DEFAULT_LINES_PER_S 400
#define FLUSH_MS 200
/* Lines that wait for a reader; beyond it they are lost. */
#define BUFFER_MAX 262144

struct lp_event_log {
	struct lp_event_options options;
	char *process;
	GString *buffer;
	guint timer;
	int64_t second_us; /* start of the second that is counted */
	uint32_t lines;	   /* in it */
	int64_t lost;
	int64_t lost_told;
	bool open; /* a line is begun */
};

static gboolean on_flush(gpointer userdata)
{
	struct lp_event_log *log = userdata;

	log->timer = 0;
	lp_event_log_flush(log);
	return G_SOURCE_REMOVE;
}

struct lp_event_log *lp_event_log_create(const struct lp_event_options *options)
{
	struct lp_event_log *log = g_new0(struct lp_event_log, 1);

	log->options = *options;
	if (!log->options.lines_per_s)
		log->options.lines_per_s = DEFAULT_LINES_PER_S;
	log->process = g_strdup(options->process);
	log->buffer = g_string_new(NULL);
	return log;
}

void lp_event_log_destroy(struct lp_event_log *log)
{
	if (!log)
		return;
	lp_event_log_flush(log);
	if (log->timer)
		g_source_remove(log->timer);
	g_string_free(log->buffer, TRUE);
	g_free(log->process);
	g_free(log);
}

void lp_event_log_flush(struct lp_event_log *log)
{
	gsize done = lp_out_write(log->options.fd, log->buffer->str,
				  log->buffer->len);

	g_string_erase(log->buffer, 0, (gssize)done);
	if (log->buffer->len && !log->timer)
		log->timer = lp_timer_add(FLUSH_MS, on_flush, log);
}

int64_t lp_event_log_lost(const struct lp_event_log *log)
{
	return log->lost;
}

static bool may_write(struct lp_event_log *log)
{
	int64_t now_us = lp_now_us(log->options.clock);

	if (now_us - log->second_us >= LP_US_PER_S) {
		log->second_us = now_us;
		log->lines = 0;
	}
	if (++log->lines <= log->options.lines_per_s &&
	    log->buffer->len < BUFFER_MAX)
		return true;
	log->lost++;
	return false;
}

static void add_escaped(GString *out, const char *text)
{
	g_string_append_c(out, '"');
	for (const char *at = text; *at; at++) {
		unsigned char c = (unsigned char)*at;

		if (c == '"' || c == '\\')
			g_string_append_printf(out, "\\%c", c);
		else if (c < 0x20 || c >= 0x7f)
			g_string_append_printf(out, "\\u%04x", c);
		else
			g_string_append_c(out, (char)c);
	}
	g_string_append_c(out, '"');
}

void lp_event_text(struct lp_event_log *log, const char *name,
		   const char *value)
{
	if (!log->open)
		return;
	g_string_append_printf(log->buffer, ",\"%s\":", name);
	add_escaped(log->buffer, value ? value : "");
}

void lp_event_int(struct lp_event_log *log, const char *name, int64_t value)
{
	if (log->open)
		g_string_append_printf(log->buffer, ",\"%s\":%" G_GINT64_FORMAT,
				       name, (gint64)value);
}

void lp_event_digest(struct lp_event_log *log, const char *name,
		     uint64_t digest)
{
	char text[LP_DIGEST_SIZE];

	lp_digest_print(digest, text);
	lp_event_text(log, name, text);
}

bool lp_event_begin(struct lp_event_log *log, const char *event,
		    const char *request)
{
	if (!may_write(log))
		return false;
	log->open = true;
	g_string_append_printf(log->buffer, "{\"t_us\":%" G_GINT64_FORMAT,
			       (gint64)lp_now_us(log->options.clock));
	lp_event_text(log, "process", log->process);
	lp_event_text(log, "event", event);
	if (request)
		lp_event_text(log, "request", request);
	if (log->lost > log->lost_told) {
		lp_event_int(log, "lines_lost", log->lost - log->lost_told);
		log->lost_told = log->lost;
	}
	return true;
}

void lp_event_end(struct lp_event_log *log)
{
	if (!log->open)
		return;
	log->open = false;
	g_string_append(log->buffer, "}\n");
	if (!log->timer)
		log->timer = lp_timer_add(FLUSH_MS, on_flush, log);
}
