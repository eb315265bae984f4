/* Verbs that make one call. */
#include "tools/scenario_private.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

static void print_problem(JsonObject *object)
{
	printf("%" G_GINT64_FORMAT " %s, %s%s\n",
	       json_object_get_int_member_with_default(object, "status", 0),
	       json_object_get_string_member_with_default(object, "kind", "?"),
	       json_object_get_string_member_with_default(object, "run", "?"),
	       json_object_has_member(object, "retry_after_ms")
		       ? ", says when to come back"
		       : "");
}

static void print_answer(JsonObject *object)
{
	g_autofree char *text = NULL;

	text = json_to_string(json_object_get_member(object, "answer"), FALSE);
	printf("200 %s\n", text);
}

static void keep_id(struct scenario *scenario, JsonObject *object)
{
	const char *id =
		json_object_get_string_member_with_default(object, "id", NULL);

	if (!id)
		return;
	g_free(scenario->last_id);
	scenario->last_id = g_strdup(id);
}

static void print_body(struct scenario *scenario, const char *body)
{
	g_autoptr(JsonNode) root = json_from_string(body, NULL);
	JsonObject *object;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		printf("%s\n", body);
		return;
	}
	object = json_node_get_object(root);
	keep_id(scenario, object);
	if (json_object_has_member(object, "answer"))
		print_answer(object);
	else
		print_problem(object);
}

/* Events as they came; the last one's data as an answer or a problem. */
static void print_events(struct scenario *scenario, const char *body)
{
	g_auto(GStrv) lines = g_strsplit(body, "\n", -1);
	const char *event = "";
	uint32_t tokens = 0;

	for (int i = 0; lines[i]; i++) {
		if (g_str_has_prefix(lines[i], "event: "))
			event = lines[i] + strlen("event: ");
		if (!g_str_has_prefix(lines[i], "data: "))
			continue;
		if (!strcmp(event, "token")) {
			tokens += 1;
			continue;
		}
		printf("%u tokens, then %s: ", tokens, event);
		print_body(scenario, lines[i] + strlen("data: "));
	}
}

static char *call_body(struct scenario *scenario, const struct words *words)
{
	const char *raw = sc_option(words, "body", NULL);
	uint32_t fill = sc_number(words, "fill", 0);
	const char *subject = sc_option(words, "subject", "s1");
	g_autofree char *padding =
		g_strnfill(sc_number(words, "token_bytes", 0), 'x');
	g_autofree char *mark = NULL;

	if (raw)
		return g_strdup(raw);
	if (fill) {
		g_autofree char *text = g_strnfill(fill, 'x');

		return g_strdup_printf("{\"text\":\"%s\"}", text);
	}
	mark = g_strdup_printf("w%s%u", padding,
			       sc_number(words, "mark", ++scenario->calls));
	return g_strdup_printf("{\"text\":\"please [[%s]]\","
			       "\"subject\":\"%s\",\"max_tokens\":%u}",
			       mark, subject, sc_number(words, "tokens", 3));
}

/*
 * call PIPELINE [org=NAME] [token=TEXT] [entry=N] [stream=yes] [key=K|ticket]
 *      [deadline_ms=N] [mark=N] [subject=S] [tokens=N] [body=JSON|fill=N]
 */
void sc_verb_call(struct scenario *scenario, const struct words *words)
{
	const char *entry = scenario->entries[sc_number(words, "entry", 0)];
	const char *org = sc_option(words, "org", "head-office");
	g_autofree char *known = g_strdup_printf("token-%s", org);
	g_autofree char *token =
		g_strdup_printf("Bearer %s", sc_option(words, "token", known));
	g_autofree char *url = g_strdup_printf("http://%s/v1/pipelines/%s",
					       entry, sc_word(words, 1));
	g_autofree char *body = call_body(scenario, words);
	const char *key = sc_option(words, "key", NULL);
	const char *deadline = sc_option(words, "deadline_ms", NULL);
	bool stream = !strcmp(sc_option(words, "stream", "no"), "yes");
	g_autoptr(GPtrArray) headers = g_ptr_array_new();
	struct fleet_reply reply;

	g_ptr_array_add(headers, "Authorization");
	g_ptr_array_add(headers, token);
	if (key) {
		g_ptr_array_add(headers, "Idempotency-Key");
		g_ptr_array_add(headers, strcmp(key, "ticket")
						 ? (char *)key
						 : scenario->ticket);
	}
	if (deadline) {
		g_ptr_array_add(headers, "Linepier-Deadline-Ms");
		g_ptr_array_add(headers, (char *)deadline);
	}
	if (stream) {
		g_ptr_array_add(headers, "Accept");
		g_ptr_array_add(headers, "text/event-stream");
	}
	g_ptr_array_add(headers, NULL);
	reply = fleet_http(sc_option(words, "method", "POST"), url, body,
			   (const char *const *)headers->pdata,
			   CALL_TIMEOUT_US);
	if (!reply.status)
		printf("no answer\n");
	else if (stream && reply.status == 200)
		print_events(scenario, reply.body);
	else
		print_body(scenario, reply.body);
	g_free(reply.body);
}

/* ticket [entry=N] [org=NAME]: for "key=ticket" of later calls. */
void sc_verb_ticket(struct scenario *scenario, const struct words *words)
{
	g_autofree char *url = g_strdup_printf(
		"http://%s/v1/tickets",
		scenario->entries[sc_number(words, "entry", 0)]);
	g_autofree char *token = g_strdup_printf(
		"Bearer token-%s", sc_option(words, "org", "head-office"));
	const char *headers[] = { "Authorization", token, NULL };
	struct fleet_reply reply =
		fleet_http("POST", url, NULL, headers, CALL_TIMEOUT_US);
	g_autoptr(JsonNode) root =
		reply.body ? json_from_string(reply.body, NULL) : NULL;

	g_free(reply.body);
	g_free(scenario->ticket);
	scenario->ticket = NULL;
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		scenario->ticket =
			g_strdup(json_object_get_string_member_with_default(
				json_node_get_object(root), "ticket", ""));
	if (!scenario->ticket)
		sc_fail(scenario, "no ticket");
}

static char *read_all(GSocketConnection *connection)
{
	GInputStream *stream =
		g_io_stream_get_input_stream(G_IO_STREAM(connection));
	GString *text = g_string_new(NULL);
	char buffer[512];
	gssize size;

	while ((size = g_input_stream_read(stream, buffer, sizeof(buffer), NULL,
					   NULL)) > 0)
		g_string_append_len(text, buffer, size);
	return g_string_free(text, FALSE);
}

static GSocketConnection *connect_to(const struct scenario *scenario,
				     const struct words *words)
{
	const char *entry = scenario->entries[sc_number(words, "entry", 0)];
	g_autoptr(GSocketClient) client = g_socket_client_new();

	return g_socket_client_connect_to_host(client, entry, 0, NULL, NULL);
}

/* Bytes as they are ("\\r\\n" for line ends); prints the first line of what
 * comes back. */
static void send_text(GSocketConnection *connection, const char *escaped)
{
	g_autofree char *text = g_strcompress(escaped);
	g_autofree char *answer = NULL;
	g_auto(GStrv) lines = NULL;

	g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(connection)), text,
		strlen(text), NULL, NULL, NULL);
	answer = read_all(connection);
	lines = g_strsplit(answer, "\r\n", 2);
	printf("%s\n", lines[0] ? lines[0] : "nothing");
}

/* send-raw TEXT [entry=N]: on a connection of its own. */
void sc_verb_send_raw(struct scenario *scenario, const struct words *words)
{
	g_autoptr(GSocketConnection) connection = connect_to(scenario, words);

	if (connection)
		send_text(connection, sc_word(words, 1));
	else
		sc_fail(scenario, "no connection");
}

/* connect [entry=N]: a connection that sends nothing yet. */
void sc_verb_connect(struct scenario *scenario, const struct words *words)
{
	g_clear_object(&scenario->held);
	scenario->held = connect_to(scenario, words);
	if (!scenario->held)
		sc_fail(scenario, "no connection");
}

/* send-held TEXT: as send-raw, on the connection of the last connect. */
void sc_verb_send_held(struct scenario *scenario, const struct words *words)
{
	if (scenario->held)
		send_text(scenario->held, sc_word(words, 1));
	else
		sc_fail(scenario, "no connection is held");
	g_clear_object(&scenario->held);
}

/* wait-closed [entry=N]: until the entry takes no connections. */
void sc_verb_wait_closed(struct scenario *scenario, const struct words *words)
{
	int64_t until_us = g_get_monotonic_time() + WAIT_TIMEOUT_US;

	while (g_get_monotonic_time() < until_us) {
		g_autoptr(GSocketConnection) connection =
			connect_to(scenario, words);

		if (!connection)
			return;
		fleet_pause(POLL_US);
	}
	sc_fail(scenario, "it still takes connections");
}

/* Reads until `text` has come, or the entry closes. */
static bool read_until(GSocketConnection *connection, const char *text)
{
	GInputStream *stream =
		g_io_stream_get_input_stream(G_IO_STREAM(connection));
	g_autoptr(GString) got = g_string_new(NULL);
	char buffer[512];
	gssize size;

	while (!strstr(got->str, text)) {
		size = g_input_stream_read(stream, buffer, sizeof(buffer), NULL,
					   NULL);
		if (size <= 0)
			return false;
		g_string_append_len(got, buffer, size);
	}
	return true;
}

static char *hang_up_request(struct scenario *scenario,
			     const struct words *words, bool stream)
{
	g_autofree char *body = call_body(scenario, words);

	return g_strdup_printf(
		"POST /v1/pipelines/%s HTTP/1.1\r\nHost: entry\r\n"
		"Authorization: Bearer token-%s\r\nAccept: %s\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		sc_word(words, 1), sc_option(words, "org", "head-office"),
		stream ? "text/event-stream" : "application/json", strlen(body),
		body);
}

static bool send_request(struct scenario *scenario,
			 GSocketConnection *connection, const char *request)
{
	if (!connection) {
		sc_fail(scenario, "no connection");
		return false;
	}
	return g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(connection)), request,
		strlen(request), NULL, NULL, NULL);
}

/*
 * hang-up PIPELINE [after_ms=N] [org=NAME] [entry=N] [subject=S] [tokens=N]:
 * a caller closes its connection after that time, or after the first token of
 * its stream.
 */
void sc_verb_hang_up(struct scenario *scenario, const struct words *words)
{
	const char *entry = scenario->entries[sc_number(words, "entry", 0)];
	uint32_t after_ms = sc_number(words, "after_ms", 0);
	g_autofree char *request = hang_up_request(scenario, words, !after_ms);
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) connection =
		g_socket_client_connect_to_host(client, entry, 0, NULL, NULL);

	if (!send_request(scenario, connection, request))
		return;
	if (after_ms)
		fleet_pause(after_ms * LP_US_PER_MS);
	else if (!read_until(connection, "event: token"))
		sc_fail(scenario, "no token came");
	g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
}

/* So that the systems of both sides hold little for a caller that does not
 * read. */
#define SMALL_SEGMENT_BYTES 536
#define SMALL_WINDOW_BYTES 8192

static GSocketConnection *connect_narrowly(const char *address)
{
	g_autoptr(GSocketConnectable) to =
		g_network_address_parse(address, 0, NULL);
	g_autoptr(GSocketAddress) ip = g_inet_socket_address_new_from_string(
		g_network_address_get_hostname(G_NETWORK_ADDRESS(to)),
		g_network_address_get_port(G_NETWORK_ADDRESS(to)));
	g_autoptr(GSocket) socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);

	g_socket_set_option(socket, IPPROTO_TCP, TCP_MAXSEG,
			    SMALL_SEGMENT_BYTES, NULL);
	g_socket_set_option(socket, SOL_SOCKET, SO_RCVBUF, SMALL_WINDOW_BYTES,
			    NULL);
	if (!g_socket_connect(socket, ip, NULL, NULL))
		return NULL;
	return g_socket_connection_factory_create_connection(socket);
}

/*
 * read-later PIPELINE for_ms=N [org=NAME] [entry=N] [subject=S] [tokens=N]
 * [token_bytes=N] [leave=yes]: a caller that reads nothing of its stream for so
 * long, and then all of it, or closes its connection.
 */
void sc_verb_read_later(struct scenario *scenario, const struct words *words)
{
	g_autofree char *request = hang_up_request(scenario, words, true);
	g_autofree char *answer = NULL;
	g_autoptr(GSocketConnection) connection = connect_narrowly(
		scenario->entries[sc_number(words, "entry", 0)]);

	if (!send_request(scenario, connection, request))
		return;
	fleet_pause((int64_t)sc_number(words, "for_ms", 0) * LP_US_PER_MS);
	if (!strcmp(sc_option(words, "leave", "no"), "yes"))
		return;
	answer = read_all(connection);
	printf("%s\n", strstr(answer, "event: done") &&
				       g_str_has_suffix(answer, "\r\n0\r\n\r\n")
			       ? "whole"
			       : "cut off");
}

/* executions SERVICE: runs of keys that may run once. */
struct fleet_reply sc_executions_of(struct scenario *scenario,
				    const char *service, const char *path)
{
	g_autofree char *id = g_strdup_printf("%s-0", service);
	struct fleet_host *host = fleet_find(scenario->fleet, id);
	g_autofree char *url = NULL;

	if (!host)
		return (struct fleet_reply){ 0 };
	url = g_strdup_printf("http://%s%s", host->upstream, path);
	return fleet_http("GET", url, NULL, NULL, CALL_TIMEOUT_US);
}

void sc_verb_executions(struct scenario *scenario, const struct words *words)
{
	struct fleet_reply reply = sc_executions_of(scenario, sc_word(words, 1),
						    "/standin/executions");
	g_autoptr(JsonNode) root =
		reply.body ? json_from_string(reply.body, NULL) : NULL;

	g_free(reply.body);
	if (!root) {
		sc_fail(scenario, "no such service");
		return;
	}
	printf("%" G_GINT64_FORMAT " keys ran, %" G_GINT64_FORMAT
	       " of them twice\n",
	       json_object_get_int_member(json_node_get_object(root), "keys"),
	       json_object_get_int_member(json_node_get_object(root),
					  "doubled"));
}
