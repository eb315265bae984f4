#include "http/http_server.h"

#include "base/lp_timer.h"

#include "http/http_parse.h"
#include "http/http_sock.h"

#include <string.h>

/* Interval of checks for read and idle timeouts. */
#define TIMEOUT_SWEEP_MS 250
/* Limit of bytes read ahead while an answer is pending; reading pauses above
 * it. */
#define READ_AHEAD_MAX 65536
/* Memory of a body that is kept for the connection's next request. */
#define KEPT_BODY_MAX 4096
/* Limit of connections that wait to be accepted. */
#define BACKLOG 512
/* Limit of connections accepted in one event-loop iteration. */
#define ACCEPTS_PER_ITERATION 64
/* Limit of pipelined requests that one connection begins in an event-loop
 * iteration. */
#define REQUESTS_PER_ITERATION 16
/* A client that leaves more of its answers unread gets no further request
 * begun. */
#define UNREAD_ANSWERS_MAX 65536
/* Time for a client to take the rest of its answer from a connection that is
 * closed, where nothing else limits it. */
#define CLOSE_TIMEOUT_US (60 * LP_US_PER_S)

struct conn;

struct http_call {
	struct conn *conn;
	bool started;
	int64_t deadline_us;	/* of its answer's delivery; 0: none */
	int64_t buffered_bytes; /* as counted for its owner */
	void (*on_disconnect)(void *userdata);
	void *disconnect_userdata;
	void (*on_taken)(void *userdata);
	void *taken_userdata;
};

struct conn {
	struct http_server *server;
	struct http_sock *sock;
	struct http_parse parse;
	GByteArray *body;
	GByteArray *read_ahead;
	guint resume_source;	   /* parses read_ahead in the next iteration */
	struct http_excess excess; /* why it is rejected; limit 0: not */
	struct http_holding held;  /* body and read_ahead */
	struct http_holding answer_held; /* buffered, and queued answers */
	int64_t announced_bytes; /* of the body, held from its head on */
	struct http_call call;
	int64_t deliver_until_us; /* deadline of the last answer; 0: none */
	int64_t phase_started_us; /* when the request's first byte arrived, or
				     the idle time began */
	bool request_started;	  /* a request has arrived in part */
	bool answer_pending;	  /* a complete request waits for its answer */
	bool is_rejected;   /* its body is too large, or it got an error answer
			     */
	bool is_overloaded; /* there is no room for its body */
	bool is_parsing;    /* parse_now() or parse_read_ahead() is running */
	bool is_closed;
};

struct http_server {
	struct http_server_options options;
	GSocket *listener;
	GSource *source;
	guint sweep;
	GHashTable *conns;
	GHashTable *delivering;	 /* closed connections with unsent bytes */
	GPtrArray *closed_conns; /* freed by the next sweep */
	uint32_t busy;
	bool draining;
};

static void begin_request(struct conn *conn);
static void parse_read_ahead(struct conn *conn);

static int64_t now_us(const struct conn *conn)
{
	return lp_now_us(conn->server->options.clock);
}

/* ---- connections ---- */

static void free_conn(gpointer data)
{
	struct conn *conn = data;

	http_holding_set(&conn->held, 0);
	http_holding_set(&conn->answer_held, 0);
	http_parse_clear(&conn->parse);
	g_byte_array_unref(conn->body);
	g_byte_array_unref(conn->read_ahead);
	g_free(conn);
}

static void count_held(struct conn *conn)
{
	uint32_t copies = 1 + conn->server->options.body_copies;

	http_holding_set(
		&conn->held,
		copies * MAX((int64_t)conn->body->len, conn->announced_bytes) +
			conn->read_ahead->len +
			http_parse_held_bytes(&conn->parse));
}

static void release_answer(struct conn *conn)
{
	http_call_set_buffered(&conn->call, 0);
	http_holding_reserve(&conn->answer_held, 0);
}

static void set_request_started(struct conn *conn, bool request_started)
{
	if (conn->request_started == request_started)
		return;
	conn->request_started = request_started;
	if (request_started)
		conn->server->busy++;
	else if (!conn->answer_pending)
		conn->server->busy--;
}

static void set_answer_pending(struct conn *conn, bool answer_pending)
{
	if (conn->answer_pending == answer_pending)
		return;
	conn->answer_pending = answer_pending;
	if (!answer_pending)
		conn->server->busy--;
}

/* The clock of the server's owner is not that of its connections. */
static void set_sock_deadline(struct conn *conn, int64_t left_us)
{
	http_sock_set_deadline(conn->sock,
			       lp_now_us(lp_clock_boot()) + MAX(left_us, 0));
}

static void set_delivery_deadline(struct conn *conn)
{
	conn->deliver_until_us = conn->call.deadline_us;
	if (conn->deliver_until_us)
		set_sock_deadline(conn, conn->deliver_until_us - now_us(conn));
	else
		http_sock_set_deadline(conn->sock, 0);
}

static void close_conn(struct conn *conn, bool reset)
{
	conn->is_closed = true;
	if (conn->resume_source)
		g_source_remove(conn->resume_source);
	conn->resume_source = 0;
	set_answer_pending(conn, false);
	set_request_started(conn, false);
	release_answer(conn);
	g_hash_table_remove(conn->server->conns, conn);
	if (!conn->deliver_until_us)
		set_sock_deadline(conn, CLOSE_TIMEOUT_US);
	if (reset) {
		http_sock_abort(conn->sock);
	} else if (http_sock_close(conn->sock)) {
		g_hash_table_add(conn->server->delivering, conn);
		return;
	}
	/* Callers up the stack may still use it: freed by the next sweep. */
	g_ptr_array_add(conn->server->closed_conns, conn);
}

static bool closes_after_answer(const struct conn *conn)
{
	return conn->server->draining || conn->is_rejected ||
	       !http_parse_keeps_alive(&conn->parse);
}

/* Begins the next request of the connection after an answer was written, or
 * closes it. */
static void finish_answer(struct conn *conn, bool closes)
{
	set_answer_pending(conn, false);
	set_delivery_deadline(conn);
	if (closes) {
		close_conn(conn, false);
		return;
	}
	begin_request(conn);
	parse_read_ahead(conn);
}

static void write_head(struct conn *conn, uint32_t status,
		       const struct http_fields *fields, const char *framing,
		       bool closes)
{
	g_autoptr(GString) head = g_string_new(NULL);

	g_string_printf(head, "HTTP/1.1 %u %s\r\n", status,
			http_status_str((enum http_status)status));
	if (fields)
		http_fields_print(fields, head);
	g_string_append(head, framing);
	if (closes)
		g_string_append(head, "Connection: close\r\n");
	g_string_append(head, "\r\n");
	http_sock_write(conn->sock, head->str, head->len);
}

static void write_rejection(struct conn *conn, uint32_t status)
{
	const struct http_server_options *options = &conn->server->options;
	struct http_fields fields;

	http_fields_init(&fields);
	if (conn->is_overloaded && options->write_refusal)
		options->write_refusal(options->userdata, &conn->parse.fields,
				       &fields);
	write_head(conn, status, &fields, "Content-Length: 0\r\n", true);
	http_fields_clear(&fields);
}

static void clear_body(struct conn *conn)
{
	if (conn->body->len > KEPT_BODY_MAX) {
		g_byte_array_unref(conn->body);
		conn->body = g_byte_array_new();
	}
	g_byte_array_set_size(conn->body, 0);
	conn->announced_bytes = 0;
	count_held(conn);
}

/* Answers with an error of the server itself. The connection is closed, as
 * its next bytes may not be the start of a request. */
static void reject(struct conn *conn, int error, uint32_t status)
{
	struct http_server *server = conn->server;

	conn->is_rejected = true;
	set_delivery_deadline(conn);
	write_rejection(conn, status);
	if (server->options.refused)
		server->options.refused(server->options.userdata, error, status,
					conn->excess.limit ? &conn->excess
							   : NULL);
	http_parse_restart(&conn->parse);
	clear_body(conn);
	close_conn(conn, false);
}

/* ---- reading requests ---- */

/* Length of the body that the head announces; 0: none, unknown, or too large.
 */
static int64_t announced_body_bytes(const struct conn *conn)
{
	uint64_t length = conn->parse.parser.content_length;
	size_t limit = conn->server->options.limits.body_bytes;

	return length > (limit ? limit : INT64_MAX) ? 0 : (int64_t)length;
}

static void on_head(void *userdata)
{
	struct conn *conn = userdata;
	const struct http_server_options *options = &conn->server->options;
	int64_t announced_bytes = announced_body_bytes(conn);

	conn->is_overloaded = !http_memory_fits(
		options->memory, (1 + options->body_copies) * announced_bytes +
					 options->answer_bytes);
	if (conn->is_overloaded)
		return;
	conn->announced_bytes = announced_bytes;
	count_held(conn);
	http_holding_reserve(&conn->answer_held, options->answer_bytes);
	if (http_fields_has_token(&conn->parse.fields, "Expect",
				  "100-continue")) {
		static const char continue_line[] =
			"HTTP/1.1 100 Continue\r\n\r\n";

		http_sock_write(conn->sock, continue_line,
				sizeof(continue_line) - 1);
	}
}

static void on_body(void *userdata, const char *bytes, size_t size)
{
	struct conn *conn = userdata;
	const struct http_server_options *options = &conn->server->options;
	size_t limit = options->limits.body_bytes;

	if (limit && conn->body->len + size > limit) {
		conn->is_rejected = true;
		conn->excess = (struct http_excess){
			.part = HTTP_PART_BODY,
			.received = (int64_t)(conn->body->len + size),
			.limit = (int64_t)limit,
		};
		return;
	}
	if (!conn->announced_bytes)
		conn->is_overloaded |= !http_memory_fits(
			options->memory,
			(1 + options->body_copies) * (int64_t)size);
	if (conn->is_overloaded)
		return;
	g_byte_array_append(conn->body, (const guint8 *)bytes, (guint)size);
	count_held(conn);
}

static void begin_request(struct conn *conn)
{
	release_answer(conn);
	http_parse_restart(&conn->parse);
	conn->parse.head_bytes_max = conn->server->options.limits.head_bytes;
	if (!conn->parse.head_bytes_max)
		conn->parse.head_bytes_max = HTTP_HEAD_BYTES_MAX;
	clear_body(conn);
	conn->is_overloaded = false;
	memset(&conn->call, 0, sizeof(conn->call));
	conn->call.conn = conn;
	conn->phase_started_us = now_us(conn);
}

static void dispatch_request(struct conn *conn)
{
	set_answer_pending(conn, true);
	conn->request_started = false;
	g_byte_array_append(conn->body, (const guint8 *)"", 1);
	conn->server->options.request(conn->server->options.userdata,
				      &conn->call);
}

static void handle_parse_result(struct conn *conn, int error)
{
	if (error == LP_ERROR_TOO_LARGE)
		conn->excess = conn->parse.excess;
	if (error == LP_ERROR_TOO_LARGE)
		reject(conn, error, 431);
	else if (error)
		reject(conn, error, 400);
	else if (conn->is_rejected)
		reject(conn, LP_ERROR_TOO_LARGE, 413);
	else if (conn->is_overloaded)
		reject(conn, LP_ERROR_OVERLOADED, 503);
	else if (conn->parse.is_complete)
		dispatch_request(conn);
}

/* Parses bytes of one request. Returns how many belong to it. */
static size_t parse_request(struct conn *conn, const char *bytes, size_t size,
			    int *error)
{
	size_t used;

	if (!conn->request_started) {
		set_request_started(conn, true);
		conn->phase_started_us = now_us(conn);
	}
	*error = http_parse_feed(&conn->parse, bytes, size, &used);
	return used;
}

static void handle_parsed(struct conn *conn, int error)
{
	count_held(conn);
	if (!conn->parse.has_head &&
	    !http_memory_fits(conn->server->options.memory, 0))
		conn->is_overloaded = true;
	handle_parse_result(conn, error);
}

static bool has_unread_answers(const struct conn *conn)
{
	return http_sock_unsent_bytes(conn->sock) > UNREAD_ANSWERS_MAX;
}

static bool may_parse(const struct conn *conn)
{
	return !conn->is_closed && !conn->answer_pending &&
	       !conn->resume_source &&
	       (conn->request_started || !has_unread_answers(conn));
}

static gboolean on_resume(gpointer userdata)
{
	struct conn *conn = userdata;

	conn->resume_source = 0;
	parse_read_ahead(conn);
	return G_SOURCE_REMOVE;
}

static void update_pause(struct conn *conn)
{
	http_sock_pause(conn->sock,
			conn->read_ahead->len >
				http_memory_share(conn->server->options.memory,
						  0, READ_AHEAD_MAX));
}

/* Parses what is read ahead, as long as requests are answered at once. Their
 * answers call this function again, which leaves the rest to its first call. */
static void parse_read_ahead(struct conn *conn)
{
	GByteArray *bytes = conn->read_ahead;
	uint32_t parsed = 0;
	size_t start = 0;
	int error;

	if (conn->is_parsing)
		return;
	conn->is_parsing = true;
	while (start < bytes->len && may_parse(conn)) {
		if (parsed++ == REQUESTS_PER_ITERATION) {
			conn->resume_source = g_idle_add_full(
				G_PRIORITY_DEFAULT, on_resume, conn, NULL);
			break;
		}
		start += parse_request(conn, (const char *)bytes->data + start,
				       bytes->len - start, &error);
		handle_parsed(conn, error);
	}
	conn->is_parsing = false;
	if (conn->is_closed)
		return;
	g_byte_array_remove_range(bytes, 0, (guint)start);
	count_held(conn);
	update_pause(conn);
}

/* Parses bytes that need not be read ahead. */
static void parse_now(struct conn *conn, const char *bytes, size_t size)
{
	int error;
	size_t used = parse_request(conn, bytes, size, &error);

	if (!error)
		g_byte_array_append(conn->read_ahead,
				    (const guint8 *)bytes + used,
				    (guint)(size - used));
	conn->is_parsing = true;
	handle_parsed(conn, error);
	conn->is_parsing = false;
	if (!conn->is_closed && conn->read_ahead->len)
		parse_read_ahead(conn);
}

static void on_data(void *userdata, const char *bytes, size_t size)
{
	struct conn *conn = userdata;

	if (!conn->read_ahead->len && may_parse(conn)) {
		parse_now(conn, bytes, size);
		return;
	}
	g_byte_array_append(conn->read_ahead, (const guint8 *)bytes,
			    (guint)size);
	count_held(conn);
	update_pause(conn);
}

static void on_ended(void *userdata, int error)
{
	struct conn *conn = userdata;
	void (*on_disconnect)(void *userdata) =
		conn->answer_pending ? conn->call.on_disconnect : NULL;
	void *disconnect_userdata = conn->call.disconnect_userdata;

	close_conn(conn, true);
	if (on_disconnect)
		on_disconnect(disconnect_userdata);
}

static void on_delivered(void *userdata)
{
	struct conn *conn = userdata;

	g_hash_table_remove(conn->server->delivering, conn);
	g_ptr_array_add(conn->server->closed_conns, conn);
}

static const struct http_sock_events sock_events = {
	.data = on_data,
	.ended = on_ended,
	.delivered = on_delivered,
};

static void on_delivery(void *userdata, const struct http_delivery *delivery)
{
	const struct conn *conn = userdata;
	const struct http_server_options *options = &conn->server->options;
	g_autofree char *ip = http_sock_peer_ip(conn->sock);

	if (options->delivery)
		options->delivery(options->userdata, ip, delivery);
}

static void on_taken(void *userdata)
{
	struct conn *conn = userdata;

	if (!conn->answer_pending)
		parse_read_ahead(conn);
	else if (conn->call.on_taken)
		conn->call.on_taken(conn->call.taken_userdata);
}

static const struct http_sock_watch sock_watch = {
	.delivery = on_delivery,
	.taken = on_taken,
	.ends_while_paused = true,
};

/* ---- listener ---- */

static void add_conn(struct http_server *server, GSocket *socket)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->server = server;
	conn->body = g_byte_array_new();
	conn->read_ahead = g_byte_array_new();
	conn->held.memory = server->options.memory;
	conn->answer_held.memory = server->options.memory;
	conn->call.conn = conn;
	http_parse_init(&conn->parse, HTTP_REQUEST);
	conn->parse.head = on_head;
	conn->parse.body = on_body;
	conn->parse.userdata = conn;
	g_hash_table_add(server->conns, conn);
	begin_request(conn);
	conn->sock = http_sock_from_accepted(socket, &sock_events, conn);
	http_sock_set_watch(conn->sock, &sock_watch);
	http_sock_set_holding(conn->sock, &conn->answer_held);
}

static void accept_pending(struct http_server *server, uint32_t limit)
{
	for (uint32_t i = 0; i < limit; i++) {
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
	accept_pending(userdata, ACCEPTS_PER_ITERATION);
	return G_SOURCE_CONTINUE;
}

static void check_timeouts(struct conn *conn)
{
	const struct http_limits *limits = &conn->server->options.limits;
	int64_t silent_us;

	if (conn->answer_pending)
		return;
	/* A client that still reads its answer is not idle. */
	if (!conn->request_started && now_us(conn) < conn->deliver_until_us &&
	    http_sock_undelivered_bytes(conn->sock))
		conn->phase_started_us = now_us(conn);
	silent_us = now_us(conn) - conn->phase_started_us;
	if (conn->request_started) {
		if (limits->read_us && silent_us > limits->read_us)
			reject(conn, LP_ERROR_SLOW_REQUEST, 408);
	} else if (limits->idle_us && silent_us > limits->idle_us) {
		close_conn(conn, false);
	}
}

static gboolean on_sweep(gpointer userdata)
{
	struct http_server *server = userdata;
	g_autoptr(GList) conns = g_hash_table_get_keys(server->conns);

	for (GList *at = conns; at; at = at->next)
		check_timeouts(at->data);
	g_ptr_array_set_size(server->closed_conns, 0);
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
	server->closed_conns = g_ptr_array_new_with_free_func(free_conn);
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
	accept_pending(server, BACKLOG);
	g_source_destroy(server->source);
	g_clear_pointer(&server->source, g_source_unref);
	g_clear_object(&server->listener);
}

static void abort_delivery(gpointer key, gpointer value, gpointer userdata)
{
	struct conn *conn = key;

	http_sock_close_now(conn->sock);
	free_conn(conn);
}

/* A reset shows the client that its answer is truncated. Without a request
 * under way the connection is closed in order, since a reset could discard
 * the previous answer, which the client may not have read yet. */
static void shut_down_conn(struct conn *conn)
{
	close_conn(conn, conn->answer_pending || conn->request_started);
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
		shut_down_conn(at->data);
	g_hash_table_foreach(server->delivering, abort_delivery, NULL);
	g_hash_table_unref(server->delivering);
	g_hash_table_unref(server->conns);
	g_ptr_array_unref(server->closed_conns);
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

static bool has_blocked_answer(const struct conn *conn)
{
	return !conn->answer_pending && !conn->request_started &&
	       http_sock_blocked_bytes(conn->sock) > 0;
}

static uint32_t count_blocked_answers(GHashTable *conns)
{
	GHashTableIter iter;
	gpointer conn;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, conns);
	while (g_hash_table_iter_next(&iter, &conn, NULL))
		count += has_blocked_answer(conn);
	return count;
}

uint32_t http_server_busy_count(const struct http_server *server)
{
	return server->busy + count_blocked_answers(server->conns) +
	       count_blocked_answers(server->delivering);
}

/* ---- calls ---- */

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
	return call->conn->phase_started_us;
}

void http_call_set_disconnect_handler(struct http_call *call,
				      void (*on_disconnect)(void *userdata),
				      void *userdata)
{
	call->on_disconnect = on_disconnect;
	call->disconnect_userdata = userdata;
}

void http_call_set_taken_handler(struct http_call *call,
				 void (*on_taken)(void *userdata),
				 void *userdata)
{
	call->on_taken = on_taken;
	call->taken_userdata = userdata;
}

void http_call_set_buffered(struct http_call *call, int64_t bytes)
{
	http_holding_add(&call->conn->answer_held,
			 bytes - call->buffered_bytes);
	call->buffered_bytes = bytes;
}

void http_call_set_deadline(struct http_call *call, int64_t deadline_us)
{
	call->deadline_us = deadline_us;
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
	bool closes = closes_after_answer(conn);
	char framing[48];

	g_snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", size);
	if (status == 204 || status == 304)
		framing[0] = '\0';
	write_head(conn, status, fields, framing, closes);
	if (!is_head_method(conn) && size)
		http_sock_write(conn->sock, body, size);
	finish_answer(conn, closes);
}

void http_call_start(struct http_call *call, uint32_t status,
		     const struct http_fields *fields)
{
	call->started = true;
	write_head(call->conn, status, fields, "Transfer-Encoding: chunked\r\n",
		   closes_after_answer(call->conn));
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
	finish_answer(conn, closes_after_answer(conn));
}

void http_call_abort(struct http_call *call)
{
	set_delivery_deadline(call->conn);
	close_conn(call->conn, !call->started);
}
