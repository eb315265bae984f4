#include "http/http_server.h"

#include "base/lp_timer.h"

#include "http/http_parse.h"
#include "http/http_sock.h"

#include <string.h>

/* How often connections are looked through for silence. */
#define TIMEOUT_SWEEP_MS 250
/* Bytes of a next request that are read ahead of its turn. */
#define READ_AHEAD_MAX 65536
/* Connections that wait to be taken. */
#define BACKLOG 512
/* New connections taken at one wake-up. */
#define ACCEPTS_PER_WAKEUP 64

struct conn;

struct http_call {
	struct conn *conn;
	bool started;
	void (*gone)(void *userdata);
	void *gone_userdata;
};

struct conn {
	struct http_server *server;
	struct http_sock *sock;
	struct http_parse parse;
	GByteArray *body;
	GByteArray *ahead;
	struct http_call call;
	int64_t since_us; /* of the request's first byte, or of the silence */
	bool reading;	  /* a part of a request is here */
	bool owed;	  /* a whole request waits for its answer */
	bool refused;	  /* what still comes is thrown away */
};

struct http_server {
	struct http_server_options options;
	GSocket *listener;
	GSource *source;
	guint sweep;
	GHashTable *conns;
	GHashTable *delivering; /* closed, with bytes on their way */
	GPtrArray *dropped;	/* connections that have ended, to be freed */
	uint32_t busy;
	bool draining;
};

static void begin_request(struct conn *conn);
static void feed(struct conn *conn, const char *bytes, size_t size);

static int64_t now_us(const struct conn *conn)
{
	return lp_now_us(conn->server->options.clock);
}

/* ---- connections ---- */

static void free_conn(gpointer data)
{
	struct conn *conn = data;
	http_parse_clear(&conn->parse);
	g_byte_array_unref(conn->body);
	g_byte_array_unref(conn->ahead);
	g_free(conn);
}

static void set_reading(struct conn *conn, bool reading)
{
	if (conn->reading == reading)
		return;
	conn->reading = reading;
	if (reading)
		conn->server->busy++;
	else if (!conn->owed)
		conn->server->busy--;
}

static void set_owed(struct conn *conn, bool owed)
{
	if (conn->owed == owed)
		return;
	conn->owed = owed;
	if (!owed)
		conn->server->busy--;
}

static void drop_conn(struct conn *conn, bool reset)
{
	set_owed(conn, false);
	set_reading(conn, false);
	g_hash_table_remove(conn->server->conns, conn);
	if (!reset && http_sock_unsent_bytes(conn->sock)) {
		g_hash_table_add(conn->server->delivering, conn);
		http_sock_close(conn->sock);
		return;
	}
	if (reset)
		http_sock_abort(conn->sock);
	else
		http_sock_close(conn->sock);
	/* Whoever called may still look at it: freed by the next sweep. */
	g_ptr_array_add(conn->server->dropped, conn);
}

static bool ends_connection(const struct conn *conn)
{
	return conn->server->draining || conn->refused ||
	       !http_parse_keeps_alive(&conn->parse);
}

/* The answer has been written: the next request, or the end. */
static void after_answer(struct conn *conn, bool ends)
{
	g_autoptr(GByteArray) ahead = NULL;

	set_owed(conn, false);
	if (ends) {
		drop_conn(conn, false);
		return;
	}
	begin_request(conn);
	ahead = conn->ahead;
	conn->ahead = g_byte_array_new();
	http_sock_pause(conn->sock, false);
	if (ahead->len)
		feed(conn, (const char *)ahead->data, ahead->len);
}

static void write_head(struct conn *conn, uint32_t status,
		       const struct http_fields *fields, const char *framing,
		       bool ends)
{
	g_autoptr(GString) head = g_string_new(NULL);

	g_string_printf(head, "HTTP/1.1 %u %s\r\n", status,
			http_status_str((enum http_status)status));
	if (fields)
		http_fields_print(fields, head);
	g_string_append(head, framing);
	if (ends)
		g_string_append(head, "Connection: close\r\n");
	g_string_append(head, "\r\n");
	http_sock_write(conn->sock, head->str, head->len);
}

/* A refusal of the server itself: the connection ends, as what follows on it
 * is not known to be a request. */
static void refuse(struct conn *conn, int error, uint32_t status)
{
	struct http_server *server = conn->server;

	conn->refused = true;
	write_head(conn, status, NULL, "Content-Length: 0\r\n", true);
	if (server->options.refused)
		server->options.refused(server->options.userdata, error,
					status);
	drop_conn(conn, false);
}

/* ---- reading ---- */

static void on_head(void *userdata)
{
	struct conn *conn = userdata;

	if (http_fields_has_token(&conn->parse.fields, "Expect",
				  "100-continue")) {
		static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";

		http_sock_write(conn->sock, go_on, sizeof(go_on) - 1);
	}
}

static void on_body(void *userdata, const char *bytes, size_t size)
{
	struct conn *conn = userdata;
	size_t most = conn->server->options.limits.body_bytes;

	if (most && conn->body->len + size > most)
		conn->refused = true;
	else
		g_byte_array_append(conn->body, (const guint8 *)bytes,
				    (guint)size);
}

static void begin_request(struct conn *conn)
{
	http_parse_restart(&conn->parse);
	conn->parse.head_bytes_max = conn->server->options.limits.head_bytes;
	g_byte_array_set_size(conn->body, 0);
	memset(&conn->call, 0, sizeof(conn->call));
	conn->call.conn = conn;
	conn->since_us = now_us(conn);
}

static void take_request(struct conn *conn)
{
	set_owed(conn, true);
	conn->reading = false;
	g_byte_array_append(conn->body, (const guint8 *)"", 1);
	conn->server->options.request(conn->server->options.userdata,
				      &conn->call);
}

static void judge_fed(struct conn *conn, int error)
{
	if (error == LP_ERROR_TOO_LARGE)
		refuse(conn, error, 431);
	else if (error)
		refuse(conn, error, 400);
	else if (conn->refused)
		refuse(conn, LP_ERROR_TOO_LARGE, 413);
	else if (conn->parse.is_complete)
		take_request(conn);
}

static void feed(struct conn *conn, const char *bytes, size_t size)
{
	size_t used;
	int error;

	if (!conn->reading) {
		set_reading(conn, true);
		conn->since_us = now_us(conn);
	}

	error = http_parse_feed(&conn->parse, bytes, size, &used);
	if (!error && used < size)
		g_byte_array_append(conn->ahead, (const guint8 *)bytes + used,
				    (guint)(size - used));
	judge_fed(conn, error);
}

static void on_data(void *userdata, const char *bytes, size_t size)
{
	struct conn *conn = userdata;

	if (!conn->owed) {
		feed(conn, bytes, size);
		return;
	}
	g_byte_array_append(conn->ahead, (const guint8 *)bytes, (guint)size);
	if (conn->ahead->len > READ_AHEAD_MAX)
		http_sock_pause(conn->sock, true);
}

static void on_ended(void *userdata, int error)
{
	struct conn *conn = userdata;
	void (*gone)(void *userdata) = conn->owed ? conn->call.gone : NULL;
	void *gone_userdata = conn->call.gone_userdata;

	drop_conn(conn, true);
	if (gone)
		gone(gone_userdata);
}

static void on_delivered(void *userdata)
{
	struct conn *conn = userdata;

	g_hash_table_remove(conn->server->delivering, conn);
	g_ptr_array_add(conn->server->dropped, conn);
}

static const struct http_sock_events sock_events = {
	.data = on_data,
	.ended = on_ended,
	.delivered = on_delivered,
};

/* ---- the listener ---- */

static void add_conn(struct http_server *server, GSocket *socket)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->server = server;
	conn->body = g_byte_array_new();
	conn->ahead = g_byte_array_new();
	http_parse_init(&conn->parse, HTTP_REQUEST);
	conn->parse.head = on_head;
	conn->parse.body = on_body;
	conn->parse.userdata = conn;
	g_hash_table_add(server->conns, conn);
	begin_request(conn);
	conn->sock = http_sock_from_accepted(socket, &sock_events, conn);
}

static void take(struct http_server *server, uint32_t most)
{
	for (uint32_t i = 0; i < most; i++) {
		g_autoptr(GSocket) accepted =
			g_socket_accept(server->listener, NULL, NULL);

		if (!accepted)
			return;
		add_conn(server, accepted);
	}
}

static gboolean on_accept(GSocket *socket, GIOCondition condition,
			  gpointer userdata)
{
	take(userdata, ACCEPTS_PER_WAKEUP);
	return G_SOURCE_CONTINUE;
}

static void check_silence(struct conn *conn)
{
	const struct http_limits *limits = &conn->server->options.limits;
	int64_t silent_us = now_us(conn) - conn->since_us;

	if (conn->owed)
		return;
	if (conn->reading) {
		if (limits->read_us && silent_us > limits->read_us)
			refuse(conn, LP_ERROR_SLOW_REQUEST, 408);
	} else if (limits->idle_us && silent_us > limits->idle_us) {
		drop_conn(conn, false);
	}
}

static gboolean on_sweep(gpointer userdata)
{
	struct http_server *server = userdata;
	g_autoptr(GList) conns = g_hash_table_get_keys(server->conns);

	for (GList *at = conns; at; at = at->next)
		check_silence(at->data);
	g_ptr_array_set_size(server->dropped, 0);
	return G_SOURCE_CONTINUE;
}

static GSocket *open_listener(const char *address)
{
	const char *colon = strrchr(address, ':');
	g_autofree char *ip = NULL;
	g_autoptr(GSocketAddress) at = NULL;
	g_autoptr(GSocket) socket = NULL;

	if (!colon)
		return NULL;
	ip = g_strndup(address, (gsize)(colon - address));
	at = g_inet_socket_address_new_from_string(
		ip, (guint)g_ascii_strtoull(colon + 1, NULL, 10));
	socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			      G_SOCKET_PROTOCOL_TCP, NULL);
	if (!at || !socket || !g_socket_bind(socket, at, TRUE, NULL))
		return NULL;
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_listen_backlog(socket, BACKLOG);
	if (!g_socket_listen(socket, NULL))
		return NULL;
	return g_steal_pointer(&socket);
}

struct http_server *
http_server_create(const struct http_server_options *options, int *error)
{
	GSocket *listener = open_listener(options->address);
	struct http_server *server;

	*error = listener ? LP_OK : LP_ERROR_SYSTEM;
	if (!listener)
		return NULL;
	server = g_new0(struct http_server, 1);
	server->options = *options;
	server->options.address = NULL;
	server->listener = listener;
	server->conns = g_hash_table_new(NULL, NULL);
	server->delivering = g_hash_table_new(NULL, NULL);
	server->dropped = g_ptr_array_new_with_free_func(free_conn);
	server->source = g_socket_create_source(listener, G_IO_IN, NULL);
	g_source_set_callback(server->source, G_SOURCE_FUNC(on_accept), server,
			      NULL);
	g_source_attach(server->source, NULL);
	server->sweep = lp_timer_add(TIMEOUT_SWEEP_MS, on_sweep, server);
	return server;
}

void http_server_stop_listening(struct http_server *server)
{
	if (!server->source)
		return;
	take(server, BACKLOG);
	g_source_destroy(server->source);
	g_clear_pointer(&server->source, g_source_unref);
	g_clear_object(&server->listener);
}

static void stop_delivering(gpointer key, gpointer value, gpointer userdata)
{
	struct conn *conn = key;

	http_sock_abort(conn->sock);
	free_conn(conn);
}

/* A reset tells that an answer is cut; where none is owed it could take with
 * it the last one, which the client has not read yet. */
static void end_conn(struct conn *conn)
{
	drop_conn(conn, conn->owed || conn->reading);
}

void http_server_destroy(struct http_server *server)
{
	g_autoptr(GList) conns = NULL;

	if (!server)
		return;
	http_server_stop_listening(server);
	g_source_remove(server->sweep);
	conns = g_hash_table_get_keys(server->conns);
	for (GList *at = conns; at; at = at->next)
		end_conn(at->data);
	g_hash_table_foreach(server->delivering, stop_delivering, NULL);
	g_hash_table_unref(server->delivering);
	g_hash_table_unref(server->conns);
	g_ptr_array_unref(server->dropped);
	g_free(server);
}

void http_server_set_limits(struct http_server *server,
			    const struct http_limits *limits)
{
	server->options.limits = *limits;
}

void http_server_drain(struct http_server *server)
{
	server->draining = true;
}

/* Kept connections whose last answer is still on its way. */
static uint32_t count_unsent(const struct http_server *server)
{
	GHashTableIter iter;
	gpointer key;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, server->conns);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct conn *conn = key;

		count += !conn->owed && !conn->reading &&
			 http_sock_unsent_bytes(conn->sock);
	}
	return count;
}

uint32_t http_server_busy_count(const struct http_server *server)
{
	return server->busy + g_hash_table_size(server->delivering) +
	       count_unsent(server);
}

/* ---- a call ---- */

const char *http_call_method(const struct http_call *call)
{
	return http_method_str(
		(enum http_method)call->conn->parse.parser.method);
}

const char *http_call_target(const struct http_call *call)
{
	return call->conn->parse.target->str;
}

const struct http_fields *http_call_fields(const struct http_call *call)
{
	return &call->conn->parse.fields;
}

const char *http_call_body(const struct http_call *call, size_t *size)
{
	*size = call->conn->body->len - 1;
	return (const char *)call->conn->body->data;
}

char *http_call_client_ip(const struct http_call *call)
{
	return http_sock_peer_ip(call->conn->sock);
}

int64_t http_call_arrived_us(const struct http_call *call)
{
	return call->conn->since_us;
}

void http_call_set_disconnect_handler(struct http_call *call,
				      void (*gone)(void *userdata),
				      void *userdata)
{
	call->gone = gone;
	call->gone_userdata = userdata;
}

static bool is_head_method(const struct conn *conn)
{
	return conn->parse.parser.method == HTTP_HEAD;
}

void http_call_answer(struct http_call *call, uint32_t status,
		      const struct http_fields *fields, const char *body,
		      size_t size)
{
	struct conn *conn = call->conn;
	bool ends = ends_connection(conn);
	char framing[48];

	g_snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", size);
	if (status == 204 || status == 304)
		framing[0] = '\0';
	write_head(conn, status, fields, framing, ends);
	if (!is_head_method(conn) && size)
		http_sock_write(conn->sock, body, size);
	after_answer(conn, ends);
}

void http_call_start(struct http_call *call, uint32_t status,
		     const struct http_fields *fields)
{
	call->started = true;
	write_head(call->conn, status, fields, "Transfer-Encoding: chunked\r\n",
		   ends_connection(call->conn));
}

void http_call_write(struct http_call *call, const char *bytes, size_t size)
{
	g_autoptr(GString) chunk = g_string_sized_new(size + 16);

	if (!size)
		return;
	g_string_append_printf(chunk, "%zx\r\n", size);
	g_string_append_len(chunk, bytes, (gssize)size);
	g_string_append(chunk, "\r\n");
	http_sock_write(call->conn->sock, chunk->str, chunk->len);
}

size_t http_call_unsent_bytes(const struct http_call *call)
{
	return http_sock_unsent_bytes(call->conn->sock);
}

void http_call_finish(struct http_call *call)
{
	struct conn *conn = call->conn;

	http_sock_write(conn->sock, "0\r\n\r\n", 5);
	after_answer(conn, ends_connection(conn));
}

void http_call_abort(struct http_call *call)
{
	drop_conn(call->conn, !call->started);
}
