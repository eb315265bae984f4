#include "tools/pe_private.h"

#include <string.h>
#include <sys/socket.h>

#define SMALL_WINDOW_BYTES 8192
#define BACKLOG 256

static void free_conn(struct pe_conn *conn)
{
	http_parse_clear(&conn->parse);
	g_string_free(conn->body, TRUE);
	g_free(conn->poison);
	g_free(conn);
}

static void drop(struct pe_conn *conn, bool reset)
{
	const struct pe_pace *pace = &conn->listener->pace;

	if (!conn->sock)
		return;
	if (pace->cut_ms)
		http_sock_set_deadline(conn->sock,
				       lp_now_us(lp_clock_boot()) +
					       pace->cut_ms * LP_US_PER_MS);
	if (reset)
		http_sock_abort(conn->sock);
	else
		http_sock_close(conn->sock);
	conn->sock = NULL;
	if (conn->pause)
		g_source_remove(conn->pause);
	conn->pause = 0;
	if (conn->flood)
		g_source_remove(conn->flood);
	conn->flood = 0;
	if (conn->timer)
		g_source_remove(conn->timer);
	conn->timer = 0;
	g_ptr_array_remove_fast(conn->listener->conns, conn);
}

static gboolean on_free(gpointer userdata)
{
	free_conn(userdata);
	return G_SOURCE_REMOVE;
}

void pe_conn_end(struct pe_conn *conn, bool reset)
{
	if (!conn->sock)
		return;
	drop(conn, reset);
	/* Whoever called may still look at it. */
	g_idle_add(on_free, conn);
}

void pe_conn_silence(struct pe_conn *conn)
{
	conn->silent = true;
	if (conn->timer)
		g_source_remove(conn->timer);
	conn->timer = 0;
}

static void on_body(void *userdata, const char *bytes, size_t size)
{
	struct pe_conn *conn = userdata;

	g_string_append_len(conn->body, bytes, (gssize)size);
}

static gboolean on_pause_over(gpointer userdata)
{
	struct pe_conn *conn = userdata;

	conn->pause = 0;
	http_sock_pause(conn->sock, false);
	return G_SOURCE_REMOVE;
}

static void pause_once(struct pe_conn *conn)
{
	uint32_t pause_ms = conn->listener->pace.pause_ms;

	if (!pause_ms || conn->has_paused)
		return;
	conn->has_paused = true;
	http_sock_pause(conn->sock, true);
	conn->pause = g_timeout_add(pause_ms, on_pause_over, conn);
}

static void on_data(void *userdata, const char *bytes, size_t size)
{
	struct pe_conn *conn = userdata;
	size_t used;

	pause_once(conn);
	if (conn->parse.is_complete || conn->silent)
		return;
	if (http_parse_feed(&conn->parse, bytes, size, &used))
		pe_conn_end(conn, true);
	else if (conn->parse.is_complete)
		conn->listener->request(conn->listener->userdata, conn);
}

static void on_ended(void *userdata, int error)
{
	struct pe_conn *conn = userdata;
	struct pe_listener *listener = conn->listener;

	if (listener->left)
		listener->left(listener->userdata, conn);
	pe_conn_end(conn, true);
}

static const struct http_sock_events events = {
	.data = on_data,
	.ended = on_ended,
};

static void begin_parse(struct pe_conn *conn)
{
	http_parse_init(&conn->parse, HTTP_REQUEST);
	conn->parse.body = on_body;
	conn->parse.userdata = conn;
}

void pe_conn_next(struct pe_conn *conn)
{
	http_parse_clear(&conn->parse);
	g_string_truncate(conn->body, 0);
	begin_parse(conn);
}

static gboolean on_accept(GSocket *socket, GIOCondition condition,
			  gpointer userdata)
{
	struct pe_listener *listener = userdata;
	g_autoptr(GSocket) accepted = g_socket_accept(socket, NULL, NULL);
	struct pe_conn *conn;

	if (!accepted)
		return G_SOURCE_CONTINUE;
	conn = g_new0(struct pe_conn, 1);
	conn->listener = listener;
	conn->body = g_string_new(NULL);
	begin_parse(conn);
	g_ptr_array_add(listener->conns, conn);
	conn->sock = http_sock_from_accepted(accepted, &events, conn);
	return G_SOURCE_CONTINUE;
}

/* Bound, and nobody listens. */
static GSocket *bind_socket(GSocketAddress *at)
{
	GSocket *socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);

	g_socket_bind(socket, at, TRUE, NULL);
	g_socket_set_blocking(socket, FALSE);
	return socket;
}

void pe_listener_go_on(struct pe_listener *listener)
{
	g_socket_set_listen_backlog(listener->socket, BACKLOG);
	g_socket_listen(listener->socket, NULL);
	listener->source =
		g_socket_create_source(listener->socket, G_IO_IN, NULL);
	g_source_set_callback(listener->source, G_SOURCE_FUNC(on_accept),
			      listener, NULL);
	g_source_attach(listener->source, NULL);
}

void pe_listener_set_pace(struct pe_listener *listener,
			  const struct pe_pace *pace)
{
	listener->pace = *pace;
	if (pace->pause_ms)
		g_socket_set_option(listener->socket, SOL_SOCKET, SO_RCVBUF,
				    SMALL_WINDOW_BYTES, NULL);
}

static void end_source(struct pe_listener *listener)
{
	if (!listener->source)
		return;
	g_source_destroy(listener->source);
	g_source_unref(listener->source);
	listener->source = NULL;
}

/* The port stays ours, so that nobody else gets it meanwhile. */
void pe_listener_stop(struct pe_listener *listener)
{
	g_autoptr(GSocketAddress) at =
		g_socket_get_local_address(listener->socket, NULL);

	end_source(listener);
	g_socket_close(listener->socket, NULL);
	g_object_unref(listener->socket);
	listener->socket = bind_socket(at);
}

struct pe_listener *
pe_listener_create(void (*request)(void *userdata, struct pe_conn *conn),
		   void (*left)(void *userdata, struct pe_conn *conn),
		   void *userdata)
{
	struct pe_listener *listener = g_new0(struct pe_listener, 1);
	g_autoptr(GSocketAddress) any =
		g_inet_socket_address_new_from_string("127.0.0.1", 0);
	g_autoptr(GSocketAddress) at = NULL;

	listener->socket = bind_socket(any);
	pe_listener_go_on(listener);
	at = g_socket_get_local_address(listener->socket, NULL);
	listener->address = g_strdup_printf(
		"127.0.0.1:%u",
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(at)));
	listener->conns = g_ptr_array_new();
	listener->request = request;
	listener->left = left;
	listener->userdata = userdata;
	return listener;
}

void pe_listener_destroy(struct pe_listener *listener)
{
	end_source(listener);
	g_object_unref(listener->socket);
	while (listener->conns->len)
		pe_conn_end(g_ptr_array_index(listener->conns, 0), true);
	g_ptr_array_unref(listener->conns);
	g_free(listener->address);
	g_free(listener);
}

const char *pe_conn_field(const struct pe_conn *conn, const char *name)
{
	return http_fields_get(&conn->parse.fields, name);
}

void pe_conn_write(struct pe_conn *conn, const char *text)
{
	if (conn->sock)
		http_sock_write(conn->sock, text, strlen(text));
}

char *pe_answer_text(uint32_t status, const char *extra, const char *body)
{
	return g_strdup_printf(
		"HTTP/1.1 %u X\r\nContent-Length: %zu\r\n%s\r\n%s", status,
		strlen(body), extra, body);
}

void pe_conn_answer(struct pe_conn *conn, uint32_t status, const char *extra,
		    const char *body)
{
	g_autofree char *text = pe_answer_text(status, extra, body);

	pe_conn_write(conn, text);
	pe_conn_end(conn, false);
}
