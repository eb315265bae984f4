/* HTTP interface for callers: whole answers or server-sent event streams. */
#include "base/lp_log.h"

#include "base/lp_json.h"
#include "base/lp_timer.h"
#include "entry/entry_delivery.h"
#include "entry/entry_disconnect.h"
#include "entry/entry_private.h"
#include "node/node_listener.h"

#include <math.h>
#include <string.h>

#define PIPELINES_PATH "/v1/pipelines/"
#define TICKETS_PATH "/v1/tickets"
#define DEADLINE_HEADER "Linepier-Deadline-Ms"
#define KEY_HEADER "Idempotency-Key"
#define KEY_MAX 200
#define DEADLINE_MS_MAX 3600000
#define IDLE_TIMEOUT_MS 60000 /* a connection without a whole header */
/* Memory is freed as soon as other callers read their answers. */
#define MEMORY_RETRY_AFTER_US (1 * LP_US_PER_S)
#define PROBLEM_TYPE "application/problem+json"
#define REQUEST_TIMEOUT_RESPONSE                     \
	"HTTP/1.1 408 Request Timeout\r\n"           \
	"Content-Type: application/problem+json\r\n" \
	"Connection: close\r\nContent-Length: %zu\r\n\r\n%s"

struct entry_http {
	struct entry *entry;
	SoupServer *server;
	struct node_listener *listener;
	struct entry_disconnect *disconnect;
	GHashTable *exchanges; /* of struct exchange */
};

/* One caller's HTTP exchange. */
struct exchange {
	struct entry_http *http;
	SoupServerMessage *msg;
	struct entry_request *request; /* NULL once answered */
	GSocket *socket;	       /* watched for disconnection, or NULL */
	int64_t deadline_us;
	bool wants_events; /* the caller takes server-sent events */
	bool streaming;	   /* the head of the event stream is sent */
};

/* ---- answers ---- */

static char *format_problem(const struct entry_answer *answer)
{
	const struct lp_error_info *info = lp_error_info(answer->error);
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autofree char *type =
		g_strdup_printf("urn:linepier:error:%s", info->name);

	json_builder_begin_object(builder);
	lp_json_text(builder, "type", type);
	lp_json_text(builder, "title", info->title);
	lp_json_int(builder, "status", info->http_status);
	if (answer->detail)
		lp_json_text(builder, "detail", answer->detail);
	lp_json_text(builder, "kind", info->name);
	lp_json_text(builder, "run", lp_run_name(answer->run));
	if (answer->retry_after_us > 0) {
		lp_json_int(builder, "retry_after_ms",
			    (answer->retry_after_us + LP_US_PER_MS - 1) /
				    LP_US_PER_MS);
	}
	if (answer->id && *answer->id)
		lp_json_text(builder, "id", answer->id);
	json_builder_end_object(builder);
	return lp_json_print(builder);
}

static void respond(SoupServerMessage *msg, guint status, const char *type,
		    const char *text)
{
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, type, SOUP_MEMORY_COPY, text,
					 strlen(text));
	entry_delivery_add(msg, (int64_t)strlen(text));
}

static void respond_answer(SoupServerMessage *msg,
			   const struct entry_answer *answer)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(msg);
	g_autofree char *text = NULL;

	if (answer->id && *answer->id)
		soup_message_headers_replace(headers, "Linepier-Request",
					     answer->id);
	if (!answer->error) {
		respond(msg, SOUP_STATUS_OK, "application/json", answer->body);
		return;
	}
	text = format_problem(answer);
	if (answer->retry_after_us > 0) {
		g_autofree char *seconds = g_strdup_printf(
			"%.0f",
			ceil((double)answer->retry_after_us / LP_US_PER_S));

		soup_message_headers_replace(headers, "Retry-After", seconds);
	}
	if (answer->error == LP_ERROR_UNAUTHENTICATED)
		soup_message_headers_replace(headers, "WWW-Authenticate",
					     "Bearer");
	respond(msg, lp_error_info(answer->error)->http_status, PROBLEM_TYPE,
		text);
}

static void respond_error(struct entry_http *http, SoupServerMessage *msg,
			  int error, const char *detail)
{
	const struct entry_answer answer = {
		.error = error,
		.run = LP_RUN_NOT_RUN,
		.retry_after_us = error == LP_ERROR_OVERLOADED
					  ? MEMORY_RETRY_AFTER_US
					  : 0,
		.detail = detail,
	};

	entry_increment_counter(http->entry, "linepier_entry_answers_total",
				"kind", lp_error_info(error)->name);
	respond_answer(msg, &answer);
}

/* ---- an exchange ---- */

static void free_exchange(struct exchange *exchange)
{
	if (exchange->socket) {
		entry_disconnect_unwatch(exchange->http->disconnect,
					 exchange->socket);
		g_object_unref(exchange->socket);
	}
	g_signal_handlers_disconnect_by_data(exchange->msg, exchange);
	g_hash_table_remove(exchange->http->exchanges, exchange);
	g_object_unref(exchange->msg);
	g_free(exchange);
}

static void send_event(struct exchange *exchange, const char *event,
		       const char *data)
{
	SoupMessageBody *body =
		soup_server_message_get_response_body(exchange->msg);
	g_autofree char *text =
		g_strdup_printf("event: %s\ndata: %s\n\n", event, data);

	soup_message_body_append(body, SOUP_MEMORY_COPY, text, strlen(text));
	entry_delivery_add(exchange->msg, (int64_t)strlen(text));
}

static void begin_stream(struct exchange *exchange, const char *id)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(exchange->msg);

	if (exchange->streaming)
		return;
	exchange->streaming = true;
	soup_server_message_set_status(exchange->msg, SOUP_STATUS_OK, NULL);
	soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
	soup_message_headers_replace(headers, "Content-Type",
				     "text/event-stream");
	soup_message_headers_replace(headers, "Cache-Control", "no-store");
	soup_message_headers_replace(headers, "Linepier-Request", id);
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(exchange->msg), FALSE);
}

static void on_chunk(void *userdata, const char *id, const char *text)
{
	struct exchange *exchange = userdata;
	g_autoptr(JsonNode) node = NULL;
	g_autofree char *quoted = NULL;
	g_autofree char *data = NULL;

	if (!exchange->wants_events)
		return;
	begin_stream(exchange, id);
	node = json_node_new(JSON_NODE_VALUE);
	json_node_set_string(node, text);
	quoted = json_to_string(node, FALSE);
	data = g_strdup_printf("{\"text\":%s}", quoted);
	send_event(exchange, "token", data);
	soup_server_message_unpause(exchange->msg);
}

static void answer_stream(struct exchange *exchange,
			  const struct entry_answer *answer)
{
	g_autofree char *text = NULL;

	begin_stream(exchange, answer->id);
	if (answer->error) {
		text = format_problem(answer);
		send_event(exchange, "error", text);
	} else {
		send_event(exchange, "done", answer->body);
	}
	soup_message_body_complete(
		soup_server_message_get_response_body(exchange->msg));
}

static void on_answer(void *userdata, const struct entry_answer *answer)
{
	struct exchange *exchange = userdata;

	/* An error before the first token still has an HTTP error status. */
	if (exchange->wants_events && (exchange->streaming || !answer->error))
		answer_stream(exchange, answer);
	else
		respond_answer(exchange->msg, answer);
	entry_delivery_complete(exchange->msg, exchange->deadline_us);
	soup_server_message_unpause(exchange->msg);
}

static const struct entry_caller_ops caller_ops = { on_chunk, on_answer };

static void on_finished(SoupServerMessage *msg, gpointer userdata)
{
	struct exchange *exchange = userdata;

	if (exchange->request)
		entry_request_abandon(exchange->request);
	free_exchange(exchange);
}

static void on_disconnect(void *userdata)
{
	struct exchange *exchange = userdata;

	if (exchange->request)
		entry_request_abandon(exchange->request);
}

static void watch_caller(struct exchange *exchange)
{
	GSocket *socket = node_listener_socket(exchange->msg);

	if (!socket)
		return;
	exchange->socket = g_object_ref(socket);
	entry_disconnect_watch(exchange->http->disconnect, socket, exchange);
}

/* ---- reading a request ---- */

static const char *request_header(SoupServerMessage *msg, const char *name)
{
	const char *value = soup_message_headers_get_one(
		soup_server_message_get_request_headers(msg), name);

	return value ? value : "";
}

static const struct cfg_organisation *authenticate(struct entry_http *http,
						   SoupServerMessage *msg)
{
	const struct cfg_snapshot *snapshot = node_snapshot(http->entry->node);
	const char *value = request_header(msg, "Authorization");

	if (g_ascii_strncasecmp(value, "Bearer ", strlen("Bearer ")) != 0)
		return NULL;
	return cfg_organisation_by_token(snapshot->doc,
					 value + strlen("Bearer "));
}

static bool is_pipeline_path(const char *path)
{
	return g_str_has_prefix(path, PIPELINES_PATH) &&
	       path[strlen(PIPELINES_PATH)];
}

/* Checks that need no body. Returns LP_OK or the error to answer with. */
static int check_request_head(struct entry_http *http, SoupServerMessage *msg,
			      const char *path)
{
	const struct cfg_snapshot *snapshot = node_snapshot(http->entry->node);
	const struct cfg_organisation *organisation;
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(msg);

	if (!is_pipeline_path(path) && strcmp(path, TICKETS_PATH) != 0)
		return LP_ERROR_UNKNOWN_PIPELINE;
	if (strcmp(soup_server_message_get_method(msg), "POST") != 0)
		return LP_ERROR_METHOD;
	if (!snapshot)
		return LP_ERROR_NO_CONFIG;
	organisation = authenticate(http, msg);
	if (!organisation)
		return LP_ERROR_UNAUTHENTICATED;
	if (soup_message_headers_get_content_length(headers) >
	    http->entry->settings->body_max)
		return LP_ERROR_TOO_LARGE;
	if (!is_pipeline_path(path))
		return LP_OK;
	if (!cfg_pipeline_find(snapshot->doc, path + strlen(PIPELINES_PATH)))
		return LP_ERROR_UNKNOWN_PIPELINE;
	if (!cfg_may_call(organisation, path + strlen(PIPELINES_PATH)))
		return LP_ERROR_FORBIDDEN;
	return LP_OK;
}

static void on_body_chunk(SoupServerMessage *msg, GBytes *chunk,
			  gpointer userdata)
{
	struct entry_http *http = userdata;
	SoupMessageBody *body = soup_server_message_get_request_body(msg);

	if (soup_server_message_get_status(msg) ||
	    body->length <= http->entry->settings->body_max)
		return;
	soup_message_body_set_accumulate(body, FALSE);
	respond_error(http, msg, LP_ERROR_TOO_LARGE, NULL);
}

/* A request that does not arrive in time is answered with 408, and its
 * connection closed. */
static gboolean on_request_timeout(gpointer userdata)
{
	SoupServerMessage *msg = userdata;
	const struct entry_answer answer = {
		.error = LP_ERROR_SLOW_REQUEST,
		.run = LP_RUN_NOT_RUN,
	};
	GSocket *socket = node_listener_socket(msg);
	g_autofree char *body = format_problem(&answer);
	g_autofree char *text =
		g_strdup_printf(REQUEST_TIMEOUT_RESPONSE, strlen(body), body);

	g_object_set_data(G_OBJECT(msg), "slow-timer", NULL);
	if (socket) {
		g_socket_send(socket, text, strlen(text), NULL, NULL);
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	}
	return G_SOURCE_REMOVE;
}

static void remove_request_timer(gpointer timer)
{
	g_source_remove(GPOINTER_TO_UINT(timer));
}

static void set_request_timer(SoupServerMessage *msg, guint timeout_ms)
{
	guint timer = lp_timer_add(timeout_ms, on_request_timeout, msg);

	g_object_set_data_full(G_OBJECT(msg), "slow-timer",
			       GUINT_TO_POINTER(timer), remove_request_timer);
}

static void clear_request_timer(SoupServerMessage *msg)
{
	g_object_set_data(G_OBJECT(msg), "slow-timer", NULL);
}

static void on_request_started(SoupServer *server, SoupServerMessage *msg,
			       gpointer userdata)
{
	set_request_timer(msg, IDLE_TIMEOUT_MS);
	g_signal_connect(msg, "disconnected", G_CALLBACK(clear_request_timer),
			 NULL);
}

/* Without a length, as large as may be. */
static int64_t largest_body_bytes(const struct entry_http *http,
				  SoupServerMessage *msg)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(msg);

	if (soup_message_headers_get_encoding(headers) ==
	    SOUP_ENCODING_CONTENT_LENGTH)
		return soup_message_headers_get_content_length(headers);
	return http->entry->settings->body_max;
}

static void on_request_head(SoupServer *server, SoupServerMessage *msg,
			    const char *path, GHashTable *query,
			    gpointer userdata)
{
	struct entry_http *http = userdata;
	int error = check_request_head(http, msg, path);

	if (!error && !entry_delivery_begin(http->entry, msg,
					    largest_body_bytes(http, msg)))
		error = LP_ERROR_OVERLOADED;
	set_request_timer(msg, (guint)http->entry->settings->read_timeout_ms);
	if (error) {
		soup_message_body_set_accumulate(
			soup_server_message_get_request_body(msg), FALSE);
		respond_error(http, msg, error, NULL);
		return;
	}
	g_signal_connect(msg, "got-chunk", G_CALLBACK(on_body_chunk), http);
}

static bool parse_deadline(SoupServerMessage *msg, int64_t *timeout_us)
{
	const char *text = request_header(msg, DEADLINE_HEADER);
	guint64 value;

	*timeout_us = 0;
	if (!*text)
		return true;
	if (!g_ascii_string_to_unsigned(text, 10, 1, DEADLINE_MS_MAX, &value,
					NULL))
		return false;
	*timeout_us = (int64_t)value * LP_US_PER_MS;
	return true;
}

static bool key_is_valid(const char *key)
{
	if (strlen(key) > KEY_MAX)
		return false;
	for (; *key; key++)
		if (!g_ascii_isprint(*key))
			return false;
	return true;
}

static void respond_ticket(struct entry_http *http, SoupServerMessage *msg)
{
	g_autofree char *ticket = entry_ticket_mint(http->entry);
	g_autofree char *text = g_strdup_printf("{\"ticket\":\"%s\"}", ticket);

	respond(msg, SOUP_STATUS_OK, "application/json", text);
}

static void begin_exchange(struct entry_http *http, SoupServerMessage *msg,
			   const char *path, const struct cfg_organisation *org,
			   int64_t timeout_us)
{
	const struct cfg_pipeline *pipeline =
		cfg_pipeline_find(node_snapshot(http->entry->node)->doc,
				  path + strlen(PIPELINES_PATH));
	int64_t deadline_us =
		pipeline ? pipeline->deadline_ms * LP_US_PER_MS : 0;
	struct exchange *exchange = g_new0(struct exchange, 1);
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	g_autoptr(GBytes) bytes = soup_message_body_flatten(body);
	gsize size;
	const char *data = g_bytes_get_data(bytes, &size);
	const struct entry_request_params params = {
		.pipeline = path + strlen(PIPELINES_PATH),
		.organisation = org->name,
		.key = request_header(msg, KEY_HEADER),
		.trace = request_header(msg, "traceparent"),
		.timeout_us = timeout_us,
		.body = data ? data : "",
		.body_size = size,
		.ops = &caller_ops,
		.userdata = exchange,
	};

	exchange->http = http;
	exchange->deadline_us =
		entry_now_us(http->entry) +
		(timeout_us ? MIN(timeout_us, deadline_us) : deadline_us);
	exchange->msg = g_object_ref(msg);
	exchange->wants_events =
		strstr(request_header(msg, "Accept"), "text/event-stream");
	g_hash_table_add(http->exchanges, exchange);
	g_signal_connect(msg, "finished", G_CALLBACK(on_finished), exchange);
	soup_server_message_pause(msg);
	entry_request_begin(http->entry, &params, &exchange->request);
	if (exchange->request)
		watch_caller(exchange);
}

static void on_request(SoupServer *server, SoupServerMessage *msg,
		       const char *path, GHashTable *query, gpointer userdata)
{
	struct entry_http *http = userdata;
	const struct cfg_organisation *organisation;
	int64_t timeout_us;

	clear_request_timer(msg);
	if (soup_server_message_get_status(msg))
		return;
	organisation = authenticate(http, msg);
	if (!organisation) {
		respond_error(http, msg, LP_ERROR_UNAUTHENTICATED, NULL);
	} else if (!is_pipeline_path(path)) {
		respond_ticket(http, msg);
	} else if (!parse_deadline(msg, &timeout_us)) {
		respond_error(http, msg, LP_ERROR_BAD_REQUEST,
			      DEADLINE_HEADER
			      ": expected milliseconds, 1 to 3600000");
	} else if (!key_is_valid(request_header(msg, KEY_HEADER))) {
		respond_error(http, msg, LP_ERROR_BAD_REQUEST,
			      KEY_HEADER ": expected at most 200 printable "
					 "ASCII characters");
	} else {
		begin_exchange(http, msg, path, organisation, timeout_us);
	}
}

static void on_health(SoupServer *server, SoupServerMessage *msg,
		      const char *path, GHashTable *query, gpointer userdata)
{
	clear_request_timer(msg);
	respond(msg, SOUP_STATUS_OK, "text/plain", "live\n");
}

static void on_ready(SoupServer *server, SoupServerMessage *msg,
		     const char *path, GHashTable *query, gpointer userdata)
{
	struct entry *entry = ((struct entry_http *)userdata)->entry;
	const char *why = NULL;

	clear_request_timer(msg);
	entry_record_probe(entry, soup_server_message_get_remote_host(msg));
	if (node_is_draining(entry->node))
		why = "leaving\n";
	else if (!node_snapshot(entry->node))
		why = "no configuration received yet\n";
	else if (!entry_peers_usable_agent_count(entry->peers))
		why = "no agent heard of yet\n";
	respond(msg, why ? SOUP_STATUS_SERVICE_UNAVAILABLE : SOUP_STATUS_OK,
		"text/plain", why ? why : "ready\n");
}

/* ---- lifecycle ---- */

int entry_http_create(struct entry *entry, struct entry_http **out, char **why)
{
	struct entry_http *http = g_new0(struct entry_http, 1);
	int error;

	http->entry = entry;
	entry_delivery_set_memory(entry, entry->settings->memory_mb << 20);
	http->disconnect = entry_disconnect_create(on_disconnect);
	http->exchanges = g_hash_table_new(g_direct_hash, g_direct_equal);
	http->server = soup_server_new("server-header", "linepier", NULL);
	g_signal_connect(http->server, "request-started",
			 G_CALLBACK(on_request_started), http);
	soup_server_add_early_handler(http->server, "/v1", on_request_head,
				      http, NULL);
	soup_server_add_handler(http->server, "/v1", on_request, http, NULL);
	soup_server_add_handler(http->server, "/healthz", on_health, http,
				NULL);
	soup_server_add_handler(http->server, "/readyz", on_ready, http, NULL);
	error = node_listener_create(http->server, entry->settings->listen,
				     &http->listener, why);
	if (error) {
		entry_http_destroy(http);
		return error;
	}
	*out = http;
	return LP_OK;
}

void entry_http_stop_listening(struct entry_http *http)
{
	node_listener_close(http->listener);
}

uint32_t entry_http_unanswered(const struct entry_http *http)
{
	return g_hash_table_size(http->exchanges);
}

uint32_t entry_http_open(const struct entry_http *http)
{
	return node_listener_open_count(http->listener);
}

void entry_http_destroy(struct entry_http *http)
{
	if (!http)
		return;
	node_listener_destroy(http->listener);
	soup_server_disconnect(http->server);
	g_object_unref(http->server);
	entry_disconnect_destroy(http->disconnect);
	g_hash_table_unref(http->exchanges);
	g_free(http);
}
