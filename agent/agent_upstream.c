#include "agent/agent_upstream.h"

#include "base/lp_json.h"
#include "base/lp_lines.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <string.h>

#define CONNECTIONS_MAX 4096
#define READ_BYTES 65536
#define DATA_PREFIX "data: "
#define DATA_DONE "[DONE]"
#define ERROR_TEXT_MAX \
	200 /* bytes of an upstream's error text that are passed on */
#define STATUS_TOO_MANY_REQUESTS 429 /* libsoup has no name for it */

struct upstream {
	char *url;
	SoupSession *session;
	const struct upstream_ops *ops;
};

struct upstream_run {
	struct upstream *upstream;
	SoupMessage *message;
	GCancellable *cancel;
	struct lp_lines *lines;
	GInputStream *body_stream; /* of a whole answer */
	GString *body;
	bool stream;
	uint32_t tokens;
	char *finish; /* finish reason sent by the engine */
	void *userdata;
};

struct upstream *upstream_create(const char *url,
				 const struct upstream_ops *ops)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->url = g_strdup(url);
	upstream->ops = ops;
	upstream->session = soup_session_new_with_options(
		"max-conns", CONNECTIONS_MAX, "max-conns-per-host",
		CONNECTIONS_MAX, "timeout", 0, NULL);
	return upstream;
}

void upstream_destroy(struct upstream *upstream)
{
	if (!upstream)
		return;
	soup_session_abort(upstream->session);
	g_object_unref(upstream->session);
	g_free(upstream->url);
	g_free(upstream);
}

static void finish_run(struct upstream_run *run, int error,
		       enum lp_run run_state, char *body)
{
	struct upstream_run_result result = {
		.error = error,
		.run = run_state,
		.tokens = run->tokens,
		.body = body,
	};

	run->upstream->ops->end(run->userdata, &result);
	lp_lines_destroy(run->lines);
	g_clear_object(&run->body_stream);
	if (run->body)
		g_string_free(run->body, TRUE);
	g_object_unref(run->message);
	g_object_unref(run->cancel);
	g_free(run->finish);
	g_free(run);
}

/* The connection was not made, so the upstream received nothing. */
static bool never_connected(const GError *gerror)
{
	return g_error_matches(gerror, G_IO_ERROR,
			       G_IO_ERROR_CONNECTION_REFUSED) ||
	       g_error_matches(gerror, G_IO_ERROR,
			       G_IO_ERROR_HOST_UNREACHABLE) ||
	       g_error_matches(gerror, G_IO_ERROR,
			       G_IO_ERROR_NETWORK_UNREACHABLE);
}

static void finish_with_io_error(struct upstream_run *run, const GError *gerror)
{
	enum lp_run run_state =
		never_connected(gerror) ? LP_RUN_NOT_RUN : LP_RUN_MAY_HAVE_RUN;
	int error = LP_ERROR_UPSTREAM_FAILED;

	if (g_error_matches(gerror, G_IO_ERROR, G_IO_ERROR_CANCELLED))
		error = LP_ERROR_WITHDRAWN;
	else if (g_error_matches(gerror, G_IO_ERROR,
				 G_IO_ERROR_MESSAGE_TOO_LARGE))
		error = LP_ERROR_ANSWER_TOO_LARGE;
	finish_run(run, error, run_state, g_strdup(gerror->message));
}

static bool is_definite_rejection(guint status)
{
	return status >= SOUP_STATUS_BAD_REQUEST &&
	       status < SOUP_STATUS_INTERNAL_SERVER_ERROR &&
	       status != SOUP_STATUS_REQUEST_TIMEOUT &&
	       status != STATUS_TOO_MANY_REQUESTS;
}

static void finish_with_status(struct upstream_run *run, const char *text)
{
	guint status = soup_message_get_status(run->message);
	enum lp_run run_state = is_definite_rejection(status)
					? LP_RUN_RAN
					: LP_RUN_MAY_HAVE_RUN;

	finish_run(run, LP_ERROR_UPSTREAM_FAILED, run_state,
		   g_strdup_printf("status %u: %.*s", status, ERROR_TEXT_MAX,
				   text));
}

static uint32_t usage_tokens(JsonObject *root)
{
	JsonNode *usage = json_object_get_member(root, "usage");

	if (!usage || !JSON_NODE_HOLDS_OBJECT(usage))
		return 0;
	return (uint32_t)json_object_get_int_member_with_default(
		json_node_get_object(usage), "total_tokens", 0);
}

static void finish_whole(struct upstream_run *run)
{
	g_autoptr(JsonParser) parser = NULL;
	gssize size = (gssize)run->body->len;
	g_autofree char *text =
		g_string_free(g_steal_pointer(&run->body), FALSE);
	JsonNode *root;

	if (soup_message_get_status(run->message) != SOUP_STATUS_OK) {
		finish_with_status(run, text);
		return;
	}
	parser = json_parser_new();
	if (!lp_json_load(parser, text, size)) {
		finish_run(run, LP_ERROR_UPSTREAM_FAILED, LP_RUN_MAY_HAVE_RUN,
			   g_strdup("the answer is not valid JSON"));
		return;
	}
	root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		run->tokens = usage_tokens(json_node_get_object(root));
	finish_run(run, LP_OK, LP_RUN_RAN, g_steal_pointer(&text));
}

static void read_body(struct upstream_run *run);

static void on_body_read(GObject *source, GAsyncResult *result,
			 gpointer userdata)
{
	struct upstream_run *run = userdata;
	g_autoptr(GError) gerror = NULL;
	g_autoptr(GBytes) bytes = g_input_stream_read_bytes_finish(
		G_INPUT_STREAM(source), result, &gerror);
	const char *data;
	gsize size;

	if (!bytes) {
		finish_with_io_error(run, gerror);
		return;
	}
	data = g_bytes_get_data(bytes, &size);
	if (!size) {
		finish_whole(run);
		return;
	}
	g_string_append_len(run->body, data, (gssize)size);
	if (run->body->len <= UPSTREAM_ANSWER_BYTES_MAX) {
		read_body(run);
		return;
	}
	gerror = g_error_new(G_IO_ERROR, G_IO_ERROR_MESSAGE_TOO_LARGE,
			     "the answer is larger than %d bytes",
			     UPSTREAM_ANSWER_BYTES_MAX);
	finish_with_io_error(run, gerror);
}

static void read_body(struct upstream_run *run)
{
	g_input_stream_read_bytes_async(run->body_stream, READ_BYTES,
					G_PRIORITY_DEFAULT, run->cancel,
					on_body_read, run);
}

static void on_answer_begun(GObject *source, GAsyncResult *result,
			    gpointer userdata)
{
	struct upstream_run *run = userdata;
	g_autoptr(GError) gerror = NULL;

	run->body_stream =
		soup_session_send_finish(SOUP_SESSION(source), result, &gerror);
	if (!run->body_stream) {
		finish_with_io_error(run, gerror);
		return;
	}
	run->body = g_string_new(NULL);
	read_body(run);
}

/* ---- streams ---- */

static void finish_stream(struct upstream_run *run)
{
	char *body;

	if (!run->finish) {
		finish_run(
			run, LP_ERROR_STREAM_BROKEN, LP_RUN_MAY_HAVE_RUN,
			g_strdup("the stream ended without a finish reason"));
		return;
	}
	body = g_strdup_printf("{\"finish_reason\":\"%s\"}", run->finish);
	finish_run(run, LP_OK, LP_RUN_RAN, body);
}

static JsonObject *first_choice(JsonNode *root)
{
	JsonNode *choices;
	JsonNode *choice;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return NULL;
	choices = json_object_get_member(json_node_get_object(root), "choices");
	if (!choices || !JSON_NODE_HOLDS_ARRAY(choices) ||
	    !json_array_get_length(json_node_get_array(choices)))
		return NULL;
	choice = json_array_get_element(json_node_get_array(choices), 0);
	return JSON_NODE_HOLDS_OBJECT(choice) ? json_node_get_object(choice)
					      : NULL;
}

static void handle_stream_data(struct upstream_run *run, const char *data)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *choice;
	const char *text;
	const char *finish;

	if (!lp_json_load(parser, data, -1))
		return;
	choice = first_choice(json_parser_get_root(parser));
	if (!choice)
		return;
	text = json_object_get_string_member_with_default(choice, "text", "");
	finish = json_object_get_string_member_with_default(
		choice, "finish_reason", NULL);
	if (*text) {
		run->tokens += 1;
		run->upstream->ops->chunk(run->userdata, text, 1);
	}
	if (finish && !run->finish && g_ascii_isalpha(*finish))
		run->finish = g_strdup(finish);
}

static void on_stream_line(void *userdata, const char *line)
{
	struct upstream_run *run = userdata;

	if (!strcmp(line, DATA_PREFIX DATA_DONE))
		finish_stream(run);
	else if (g_str_has_prefix(line, DATA_PREFIX))
		handle_stream_data(run, line + strlen(DATA_PREFIX));
}

static void on_stream_ended(void *userdata, const GError *gerror)
{
	if (gerror)
		finish_with_io_error(userdata, gerror);
	else
		finish_stream(userdata);
}

static void on_stream_opened(GObject *source, GAsyncResult *result,
			     gpointer userdata)
{
	struct upstream_run *run = userdata;
	g_autoptr(GError) gerror = NULL;
	g_autoptr(GInputStream) stream =
		soup_session_send_finish(SOUP_SESSION(source), result, &gerror);

	if (!stream) {
		finish_with_io_error(run, gerror);
		return;
	}
	if (soup_message_get_status(run->message) != SOUP_STATUS_OK) {
		finish_with_status(run, "");
		return;
	}
	run->lines = lp_lines_create(&(struct lp_lines_options){
		.stream = stream,
		.cancellable = run->cancel,
		.line_bytes_max = UPSTREAM_ANSWER_BYTES_MAX,
		.line = on_stream_line,
		.ended = on_stream_ended,
		.userdata = run,
	});
}

static void set_headers(struct upstream_run *run,
			const struct upstream_request *request)
{
	SoupMessageHeaders *headers =
		soup_message_get_request_headers(run->message);

	if (*request->key)
		soup_message_headers_replace(headers, "Idempotency-Key",
					     request->key);
	if (*request->trace)
		soup_message_headers_replace(headers, "traceparent",
					     request->trace);
	/*
	 * Without this flag libsoup opens a new connection for each POST and
	 * never resends it, as required for a call that may not be repeated.
	 * That connection would not be reused, so it is closed.
	 */
	if (request->repeatable)
		soup_message_add_flags(run->message, SOUP_MESSAGE_IDEMPOTENT);
	else
		soup_message_headers_replace(headers, "Connection", "close");
}

struct upstream_run *upstream_start_run(struct upstream *upstream,
					const struct upstream_request *request)
{
	struct upstream_run *run = g_new0(struct upstream_run, 1);
	g_autofree char *url = g_strconcat(upstream->url, request->path, NULL);
	g_autoptr(GBytes) body =
		g_bytes_new(request->body, strlen(request->body));

	run->upstream = upstream;
	run->userdata = request->userdata;
	run->stream = request->stream;
	run->cancel = g_cancellable_new();
	run->message = soup_message_new("POST", url);
	soup_message_set_request_body_from_bytes(run->message,
						 "application/json", body);
	set_headers(run, request);
	if (request->stream)
		soup_session_send_async(upstream->session, run->message,
					G_PRIORITY_DEFAULT, run->cancel,
					on_stream_opened, run);
	else
		soup_session_send_async(upstream->session, run->message,
					G_PRIORITY_DEFAULT, run->cancel,
					on_answer_begun, run);
	return run;
}

void upstream_cancel_run(struct upstream_run *run)
{
	g_cancellable_cancel(run->cancel);
}
