#include "node/node_admin.h"

#include "base/lp_json.h"
#include "node/node_listener.h"

#include <string.h>

struct node_admin {
	struct node_admin_options options;
	SoupServer *server;
	struct node_listener *listener;
};

static void respond(SoupServerMessage *msg, guint status, const char *type,
		    const char *text)
{
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, type, SOUP_MEMORY_COPY, text,
					 strlen(text));
}

static void on_metrics(SoupServer *server, SoupServerMessage *msg,
		       const char *path, GHashTable *query, gpointer userdata)
{
	struct node_admin *admin = userdata;
	g_autoptr(GString) text = g_string_new(NULL);

	admin->options.metrics(admin->options.userdata, text);
	respond(msg, SOUP_STATUS_OK, "text/plain; version=0.0.4", text->str);
}

static void on_health(SoupServer *server, SoupServerMessage *msg,
		      const char *path, GHashTable *query, gpointer userdata)
{
	respond(msg, SOUP_STATUS_OK, "text/plain", "live\n");
}

static void on_ready(SoupServer *server, SoupServerMessage *msg,
		     const char *path, GHashTable *query, gpointer userdata)
{
	struct node_admin *admin = userdata;
	const char *why =
		admin->options.unready_reason(admin->options.userdata);

	admin->options.probed(admin->options.userdata,
			      soup_server_message_get_remote_host(msg));
	if (why)
		respond(msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain",
			why);
	else
		respond(msg, SOUP_STATUS_OK, "text/plain", "ready\n");
}

static void respond_json(SoupServerMessage *msg, JsonBuilder *builder)
{
	g_autofree char *text = lp_json_print(builder);

	respond(msg, SOUP_STATUS_OK, "application/json", text);
}

static void on_status(SoupServer *server, SoupServerMessage *msg,
		      const char *path, GHashTable *query, gpointer userdata)
{
	struct node_admin *admin = userdata;
	g_autoptr(JsonBuilder) builder = json_builder_new();

	json_builder_begin_object(builder);
	admin->options.status(admin->options.userdata, builder);
	json_builder_end_object(builder);
	respond_json(msg, builder);
}

static void add_event(void *userdata, const struct trace_event *event)
{
	JsonBuilder *builder = userdata;
	char id[LP_REQUEST_ID_SIZE];
	g_autofree char *text = trace_sentence(event, NULL);

	lp_request_id_format(&event->id, id);
	json_builder_begin_object(builder);
	lp_json_int(builder, "time_us", event->time_us);
	lp_json_text(builder, "id", id);
	lp_json_int(builder, "stage", event->id.stage);
	lp_json_int(builder, "attempt", event->id.attempt);
	lp_json_text(builder, "who", event->host);
	lp_json_text(builder, "text", text);
	json_builder_end_object(builder);
}

/* ?id=REQUEST: events of a request; ?since=N: all from sequence number N. */
static void on_explain(SoupServer *server, SoupServerMessage *msg,
		       const char *path, GHashTable *query, gpointer userdata)
{
	struct node_admin *admin = userdata;
	struct trace *trace = node_trace(admin->options.node);
	const char *text = query ? g_hash_table_lookup(query, "id") : NULL;
	const char *since = query ? g_hash_table_lookup(query, "since") : NULL;
	g_autoptr(JsonBuilder) builder = json_builder_new();
	struct lp_call_id id;

	if (text && !lp_request_id_parse(text, &id)) {
		respond(msg, SOUP_STATUS_BAD_REQUEST, "text/plain",
			"id: expected 16 and 8 hexadecimal digits with a "
			"'-' between\n");
		return;
	}
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "events");
	json_builder_begin_array(builder);
	if (text)
		trace_visit(trace, &id, add_event, builder);
	else
		trace_visit_since(trace,
				  since ? g_ascii_strtoull(since, NULL, 10) : 0,
				  add_event, builder);
	json_builder_end_array(builder);
	lp_json_int(builder, "next", (gint64)trace_added(trace));
	json_builder_end_object(builder);
	respond_json(msg, builder);
}

static void on_drain(SoupServer *server, SoupServerMessage *msg,
		     const char *path, GHashTable *query, gpointer userdata)
{
	struct node_admin *admin = userdata;

	if (strcmp(soup_server_message_get_method(msg), "POST") != 0) {
		respond(msg, SOUP_STATUS_METHOD_NOT_ALLOWED, "text/plain",
			"expected POST\n");
		return;
	}
	node_begin_drain(admin->options.node);
	respond(msg, SOUP_STATUS_ACCEPTED, "text/plain", "leaving\n");
}

int node_admin_create(const struct node_admin_options *options,
		      struct node_admin **out, char **why)
{
	struct node_admin *admin = g_new0(struct node_admin, 1);
	int error;

	admin->options = *options;
	admin->server = soup_server_new("server-header", "linepier", NULL);
	soup_server_add_handler(admin->server, "/metrics", on_metrics, admin,
				NULL);
	soup_server_add_handler(admin->server, "/healthz", on_health, admin,
				NULL);
	soup_server_add_handler(admin->server, "/readyz", on_ready, admin,
				NULL);
	soup_server_add_handler(admin->server, "/v1/status", on_status, admin,
				NULL);
	soup_server_add_handler(admin->server, "/v1/explain", on_explain, admin,
				NULL);
	soup_server_add_handler(admin->server, "/v1/drain", on_drain, admin,
				NULL);
	error = node_listener_create(admin->server, options->address,
				     &admin->listener, why);
	if (error) {
		node_admin_destroy(admin);
		return error;
	}
	*out = admin;
	return LP_OK;
}

void node_admin_destroy(struct node_admin *admin)
{
	if (!admin)
		return;
	node_listener_destroy(admin->listener);
	soup_server_disconnect(admin->server);
	g_object_unref(admin->server);
	g_free(admin);
}
