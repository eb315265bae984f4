#include "base/lp_log.h"

#include "base/lp_json.h"
#include "base/lp_out.h"

#include <json-glib/json-glib.h>
#include <log4c.h>
#include <string.h>
#include <unistd.h>

static log4c_category_t *category;
static char *process_name;

static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	return event->evt_msg;
}

static const log4c_layout_type_t json_layout_type = {
	.name = "json_line",
	.format = format_line,
};

static int to_log4c(enum lp_log_level level)
{
	switch (level) {
	case LP_LOG_ERROR:
		return LOG4C_PRIORITY_ERROR;
	case LP_LOG_WARN:
		return LOG4C_PRIORITY_WARN;
	case LP_LOG_INFO:
		return LOG4C_PRIORITY_INFO;
	case LP_LOG_DEBUG:
		break;
	}
	return LOG4C_PRIORITY_DEBUG;
}

/* A line that cannot be taken at once is lost: nothing waits for a reader. */
static int append_stdout(log4c_appender_t *appender,
			 const log4c_logging_event_t *event)
{
	g_autofree char *line =
		g_strconcat(event->evt_rendered_msg, "\n", NULL);

	return (int)lp_out_write(STDOUT_FILENO, line, strlen(line));
}

static const log4c_appender_type_t stdout_type = {
	.name = "json_stdout",
	.append = append_stdout,
};

void lp_log_init(const char *process, enum lp_log_level level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	process_name = g_strdup(process);
	log4c_layout_type_set(&json_layout_type);
	log4c_appender_type_set(&stdout_type);
	layout = log4c_layout_get("json_line");
	log4c_layout_set_type(layout, &json_layout_type);
	appender = log4c_appender_get("json_stdout");
	log4c_appender_set_type(appender, &stdout_type);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get("linepier");
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, to_log4c(level));
}

static char *render(enum lp_log_level level, const char *module,
		    const char *request, const char *message)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autoptr(GDateTime) now = g_date_time_new_now_utc();
	g_autofree char *when =
		g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");

	json_builder_begin_object(builder);
	lp_json_text(builder, "time", when);
	lp_json_text(builder, "level", names[level]);
	lp_json_text(builder, "process", process_name);
	lp_json_text(builder, "module", module);
	if (request)
		lp_json_text(builder, "request", request);
	lp_json_text(builder, "message", message);
	json_builder_end_object(builder);
	return lp_json_print(builder);
}

void lp_log(enum lp_log_level level, const char *module, const char *request,
	    const char *format, ...)
{
	g_autofree char *message = NULL;
	g_autofree char *line = NULL;
	va_list args;

	if (!category ||
	    !log4c_category_is_priority_enabled(category, to_log4c(level)))
		return;
	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	line = render(level, module, request, message);
	log4c_category_log(category, to_log4c(level), "%s", line);
}
