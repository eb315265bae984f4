#include "agent/agent_load.h"

#include "base/lp_timer.h"

#include "store/store_http.h"

#include <string.h>

#define POLL_MS 1000
#define POLL_WITHOUT_METRIC_MS 30000
/* vLLM's name, and the same without its prefix. */
#define WAITING_METRIC "num_requests_waiting"

struct agent_load {
	struct agent_load_options options;
	struct store_http *http;
	char *url;
	guint timer;
};

/* "prefix:NAME{labels} value" or "NAME value". */
static bool parse_line(const char *line, const char *metric, double *value)
{
	const char *end = line + strcspn(line, "{ ");
	size_t length = strlen(metric);
	const char *number = strrchr(line, ' ');

	if (*line == '#' || !number || (size_t)(end - line) < length ||
	    strncmp(end - length, metric, length) != 0)
		return false;
	if (end - length != line && end[-(ptrdiff_t)length - 1] != ':')
		return false;
	*value = g_ascii_strtod(number + 1, NULL);
	return true;
}

double agent_load_parse(const char *text, const char *metric)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	double sum = 0;
	bool found = false;

	for (int i = 0; lines[i]; i++) {
		double value;

		if (!parse_line(lines[i], metric, &value))
			continue;
		sum += value;
		found = true;
	}
	return found ? sum : -1;
}

static gboolean poll_metrics(gpointer userdata);

static void on_metrics(void *userdata, const struct store_http_answer *answer)
{
	struct agent_load *load = userdata;
	double waiting = -1;

	if (!answer->error && answer->status == SOUP_STATUS_OK)
		waiting = agent_load_parse(answer->body, WAITING_METRIC);
	if (waiting >= 0)
		load->options.waiting(load->options.userdata,
				      (uint32_t)waiting);
	load->timer =
		lp_timer_add(waiting >= 0 ? POLL_MS : POLL_WITHOUT_METRIC_MS,
			     poll_metrics, load);
}

static gboolean poll_metrics(gpointer userdata)
{
	struct agent_load *load = userdata;
	const struct store_http_request request = {
		.method = "GET",
		.url = load->url,
		.done = on_metrics,
		.userdata = load,
	};

	load->timer = 0;
	store_http_send(load->http, &request);
	return G_SOURCE_REMOVE;
}

struct agent_load *agent_load_create(const struct agent_load_options *options)
{
	struct agent_load *load = g_new0(struct agent_load, 1);

	load->options = *options;
	load->url = g_strconcat(options->url, "/metrics", NULL);
	load->http = store_http_create(&(struct store_http_options){
		.connections = 1,
		.adapts_timeout = true,
	});
	poll_metrics(load);
	return load;
}

void agent_load_destroy(struct agent_load *load)
{
	if (!load)
		return;
	if (load->timer)
		g_source_remove(load->timer);
	store_http_destroy(load->http);
	g_free(load->url);
	g_free(load);
}
