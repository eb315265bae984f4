/* status, explain, watch, drain: asking the processes themselves. */
#include "base/lp_id.h"
#include "cli/cli.h"

#include <stdio.h>
#include <string.h>

#define POLL_US (100 * LP_US_PER_MS)
#define WATCH_US (500 * LP_US_PER_MS)

static const char *text(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, "");
}

static gint64 number(JsonObject *object, const char *name)
{
	return json_object_get_int_member_with_default(object, name, 0);
}

static JsonNode *ask_host(struct cli *cli, JsonObject *host, const char *path)
{
	g_autofree char *url =
		g_strdup_printf("http://%s%s", text(host, "admin"), path);

	return cli_get(cli, url);
}

static void print_status(JsonObject *host, JsonNode *node, gint64 newest)
{
	JsonObject *status;

	if (!node || !JSON_NODE_HOLDS_OBJECT(node)) {
		printf("%-16s does not answer\n", text(host, "id"));
		return;
	}
	status = json_node_get_object(node);
	printf("%-16s %-6s %-14s %-8s revision %" G_GINT64_FORMAT "%s%s",
	       text(host, "id"), text(status, "role"), text(status, "domain"),
	       text(status, "state"), number(status, "revision"),
	       number(status, "revision") < newest ? " LAGS" : "",
	       json_object_get_boolean_member_with_default(status, "reader",
							   FALSE)
		       ? " reader"
		       : "");
	if (!strcmp(text(status, "role"), "entry"))
		printf(" agents %" G_GINT64_FORMAT "/%" G_GINT64_FORMAT
		       " in_flight %" G_GINT64_FORMAT "\n",
		       number(status, "agents_heard"), number(status, "agents"),
		       number(status, "in_flight"));
	else
		printf(" %s queued %" G_GINT64_FORMAT
		       " running %" G_GINT64_FORMAT "/%" G_GINT64_FORMAT "\n",
		       text(status, "service"), number(status, "queued"),
		       number(status, "running"), number(status, "limit"));
}

int cli_status(struct cli *cli)
{
	g_autoptr(JsonNode) hosts = cli_hosts(cli);
	g_autoptr(GPtrArray) answers = g_ptr_array_new();
	JsonArray *list;
	gint64 newest = 0;

	if (!hosts)
		return CLI_FAILED;
	list = json_node_get_array(hosts);
	for (guint i = 0; i < json_array_get_length(list); i++) {
		JsonNode *node =
			ask_host(cli, json_array_get_object_element(list, i),
				 "/v1/status");

		g_ptr_array_add(answers, node);
		if (node && JSON_NODE_HOLDS_OBJECT(node))
			newest = MAX(newest, number(json_node_get_object(node),
						    "revision"));
	}
	for (guint i = 0; i < answers->len; i++) {
		JsonNode *node = g_ptr_array_index(answers, i);

		print_status(json_array_get_object_element(list, i), node,
			     newest);
		if (node)
			json_node_unref(node);
	}
	return CLI_DONE;
}

/* Hosts that lag behind a revision: "ID (reason)" lines. */
static GPtrArray *laggards(struct cli *cli, JsonArray *hosts, uint64_t revision)
{
	GPtrArray *late = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < json_array_get_length(hosts); i++) {
		JsonObject *host = json_array_get_object_element(hosts, i);
		g_autoptr(JsonNode) node = ask_host(cli, host, "/v1/status");

		if (!node)
			g_ptr_array_add(late,
					g_strdup_printf("%s (does not answer)",
							text(host, "id")));
		else if ((uint64_t)number(json_node_get_object(node),
					  "revision") < revision)
			g_ptr_array_add(
				late,
				g_strdup_printf(
					"%s (revision %" G_GINT64_FORMAT ")",
					text(host, "id"),
					number(json_node_get_object(node),
					       "revision")));
	}
	return late;
}

int cli_wait_in_force(struct cli *cli, uint64_t revision)
{
	g_autoptr(JsonNode) hosts = cli_hosts(cli);
	int64_t until_us =
		g_get_monotonic_time() + cli->settings->wait_ms * LP_US_PER_MS;

	if (!hosts)
		return CLI_FAILED;
	while (true) {
		g_autoptr(GPtrArray) late =
			laggards(cli, json_node_get_array(hosts), revision);

		if (!late->len) {
			printf("in force everywhere\n");
			return CLI_DONE;
		}
		if (g_get_monotonic_time() > until_us) {
			for (guint i = 0; i < late->len; i++)
				cli_error("not in force at %s",
					  (char *)g_ptr_array_index(late, i));
			return CLI_FAILED;
		}
		cli_pause(POLL_US);
	}
}

/* ---- explain ---- */

struct told {
	gint64 time_us;
	char *line;
};

static void free_told(gpointer data)
{
	struct told *told = data;

	g_free(told->line);
	g_free(told);
}

static int by_time(gconstpointer a, gconstpointer b)
{
	const struct told *left = *(struct told *const *)a;
	const struct told *right = *(struct told *const *)b;

	return (left->time_us > right->time_us) -
	       (left->time_us < right->time_us);
}

static char *event_line(JsonObject *host, JsonObject *event)
{
	bool agent = !strcmp(text(host, "role"), "agent");
	g_autofree char *where =
		agent ? g_strdup_printf("%s (%s)", text(host, "id"),
					text(host, "service"))
		      : g_strdup(text(host, "id"));

	if (!number(event, "attempt"))
		return g_strdup_printf("%s: %s", where, text(event, "text"));
	return g_strdup_printf("%s: stage %" G_GINT64_FORMAT
			       ", try %" G_GINT64_FORMAT ": %s",
			       where, number(event, "stage") + 1,
			       number(event, "attempt"), text(event, "text"));
}

static void gather_events(JsonObject *host, JsonNode *node, GPtrArray *lines,
			  GHashTable *named)
{
	JsonArray *events;

	if (!node || !JSON_NODE_HOLDS_OBJECT(node))
		return;
	events = json_object_get_array_member(json_node_get_object(node),
					      "events");
	for (guint i = 0; i < json_array_get_length(events); i++) {
		JsonObject *event = json_array_get_object_element(events, i);
		struct told *told = g_new0(struct told, 1);

		told->time_us = number(event, "time_us");
		told->line = event_line(host, event);
		g_ptr_array_add(lines, told);
		if (*text(event, "who"))
			g_hash_table_add(named, g_strdup(text(event, "who")));
	}
}

static void print_told(const GPtrArray *lines)
{
	const struct told *first = g_ptr_array_index(lines, 0);

	for (guint i = 0; i < lines->len; i++) {
		const struct told *told = g_ptr_array_index(lines, i);

		printf("%8.1f ms  %s\n",
		       (double)(told->time_us - first->time_us) / LP_US_PER_MS,
		       told->line);
	}
}

/* The id names the entry's host; its events name the agents to ask. */
int cli_explain(struct cli *cli)
{
	g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(free_told);
	g_autoptr(GHashTable) named =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autoptr(JsonNode) hosts = NULL;
	g_autofree char *path = NULL;
	struct lp_call_id id;
	JsonArray *list;

	if (!cli->args[0] || !lp_request_id_parse(cli->args[0], &id)) {
		cli_error("expected a request id, as an answer's 'id' shows "
			  "it");
		return CLI_USAGE;
	}
	hosts = cli_hosts(cli);
	if (!hosts)
		return CLI_FAILED;
	list = json_node_get_array(hosts);
	path = g_strdup_printf("/v1/explain?id=%s", cli->args[0]);
	for (guint i = 0; i < json_array_get_length(list); i++) {
		JsonObject *host = json_array_get_object_element(list, i);
		g_autoptr(JsonNode) node = NULL;

		if (lp_host_hash(text(host, "id")) != id.entry >> 32)
			continue;
		node = ask_host(cli, host, path);
		gather_events(host, node, lines, named);
	}
	for (guint i = 0; i < json_array_get_length(list); i++) {
		JsonObject *host = json_array_get_object_element(list, i);
		g_autoptr(JsonNode) node = NULL;

		if (!g_hash_table_contains(named, text(host, "id")))
			continue;
		node = ask_host(cli, host, path);
		gather_events(host, node, lines, named);
	}
	if (!lines->len) {
		cli_error("no process remembers %s: it is too long ago, or "
			  "its entry is gone",
			  cli->args[0]);
		return CLI_FAILED;
	}
	g_ptr_array_sort(lines, by_time);
	print_told(lines);
	return CLI_DONE;
}

static JsonObject *find_host(JsonArray *hosts, const char *id)
{
	for (guint i = 0; i < json_array_get_length(hosts); i++) {
		JsonObject *host = json_array_get_object_element(hosts, i);

		if (!strcmp(text(host, "id"), id))
			return host;
	}
	cli_error("%s: no such host in the list", id);
	return NULL;
}

static JsonObject *named_host(struct cli *cli, JsonNode **hosts)
{
	if (!cli->args[0]) {
		cli_error("expected a host's id");
		return NULL;
	}
	*hosts = cli_hosts(cli);
	if (!*hosts)
		return NULL;
	return find_host(json_node_get_array(*hosts), cli->args[0]);
}

int cli_watch(struct cli *cli)
{
	g_autoptr(JsonNode) hosts = NULL;
	JsonObject *host = named_host(cli, &hosts);
	int64_t until_us =
		g_get_monotonic_time() + cli->settings->wait_ms * LP_US_PER_MS;
	gint64 next = 0;

	if (!host)
		return CLI_USAGE;
	while (g_get_monotonic_time() < until_us) {
		g_autofree char *path = g_strdup_printf(
			"/v1/explain?since=%" G_GINT64_FORMAT, next);
		g_autoptr(JsonNode) node = ask_host(cli, host, path);
		JsonArray *events;

		if (!node) {
			cli_error("%s does not answer", cli->args[0]);
			return CLI_FAILED;
		}
		next = number(json_node_get_object(node), "next");
		events = json_object_get_array_member(
			json_node_get_object(node), "events");
		for (guint i = 0; i < json_array_get_length(events); i++) {
			JsonObject *event =
				json_array_get_object_element(events, i);
			g_autofree char *line = event_line(host, event);

			printf("%s %s\n", text(event, "id"), line);
		}
		fflush(stdout);
		cli_pause(WATCH_US);
	}
	return CLI_DONE;
}

int cli_drain(struct cli *cli)
{
	g_autoptr(JsonNode) hosts = NULL;
	JsonObject *host = named_host(cli, &hosts);
	g_autofree char *url = NULL;

	if (!host)
		return CLI_USAGE;
	url = g_strdup_printf("http://%s/v1/drain", text(host, "admin"));
	if (!cli_post(cli, url)) {
		cli_error("%s does not answer", cli->args[0]);
		return CLI_FAILED;
	}
	printf("%s was told to leave\n", cli->args[0]);
	return CLI_DONE;
}
