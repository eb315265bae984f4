#include "http/http_sock.h"

#include "base/lp_clock.h"
#include "base/lp_timer.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Limit of bytes read at once: an answer of a plain service fits in one
 * read. */
#define READ_BYTES_MAX 16384
/* A connection whose sent bytes are not acknowledged for this long has
 * failed: three times a round trip with one retransmission after the usual
 * second. */
#define UNACKED_TIMEOUT_MS 3000
/* A closed connection is dropped if its peer acknowledges nothing for this
 * long. */
#define CLOSE_STALL_MS 2000

struct http_sock {
	GSocket *socket;
	GSource *source;
	gpointer tag;
	guint close_timer; /* runs while a closed connection has unsent bytes */
	int64_t undelivered_bytes; /* when that timer was set or last ran */
	struct http_sock_events events;
	void *userdata;
	GByteArray *out_buffer;
	size_t out_start; /* number of its bytes already sent */
	bool connecting;
	bool paused;
	bool closed;	/* by this side: no more events but delivered() */
	bool has_ended; /* the source is removed */
	bool sent_any;
};

struct sock_source {
	GSource source;
	struct http_sock *sock;
};

static void clear_sock(gpointer data)
{
	struct http_sock *sock = data;

	if (sock->close_timer)
		g_source_remove(sock->close_timer);
	if (sock->source) {
		g_source_destroy(sock->source);
		g_source_unref(sock->source);
	}
	g_object_unref(sock->socket);
	g_byte_array_unref(sock->out_buffer);
}

static void unref_sock(struct http_sock *sock)
{
	g_rc_box_release_full(sock, clear_sock);
}

size_t http_sock_unsent_bytes(const struct http_sock *sock)
{
	return sock->out_buffer->len - sock->out_start;
}

bool http_sock_has_sent(const struct http_sock *sock)
{
	return sock->sent_any;
}

char *http_sock_peer_ip(const struct http_sock *sock)
{
	g_autoptr(GSocketAddress) address =
		g_socket_get_remote_address(sock->socket, NULL);

	if (!G_IS_INET_SOCKET_ADDRESS(address))
		return g_strdup("");
	return g_inet_address_to_string(g_inet_socket_address_get_address(
		G_INET_SOCKET_ADDRESS(address)));
}

static void update_interest(struct http_sock *sock)
{
	GIOCondition condition = 0;

	if (!sock->source || sock->has_ended)
		return;
	if (!sock->paused && !sock->connecting && !sock->closed)
		condition |= G_IO_IN;
	if (sock->connecting || http_sock_unsent_bytes(sock))
		condition |= G_IO_OUT;
	g_source_modify_unix_fd(sock->source, sock->tag, condition);
}

/* Reports the end of the connection, once. */
static void end_connection(struct http_sock *sock, int error)
{
	if (sock->has_ended)
		return;
	sock->has_ended = true;
	g_source_destroy(sock->source);
	if (!sock->closed) {
		sock->events.ended(sock->userdata, error);
		return;
	}
	if (sock->events.delivered)
		sock->events.delivered(sock->userdata);
	unref_sock(sock); /* the reference kept by http_sock_close() */
}

static void send_queued(struct http_sock *sock)
{
	int fd = g_socket_get_fd(sock->socket);

	while (http_sock_unsent_bytes(sock)) {
		ssize_t size =
			send(fd, sock->out_buffer->data + sock->out_start,
			     http_sock_unsent_bytes(sock),
			     MSG_NOSIGNAL | MSG_DONTWAIT);

		if (size < 0 && errno == EINTR)
			continue;
		if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return;
		if (size < 0) {
			/* The error is reported when the socket is read. */
			g_byte_array_set_size(sock->out_buffer, 0);
			sock->out_start = 0;
			return;
		}
		sock->sent_any = true;
		sock->out_start += (size_t)size;
	}
	g_byte_array_set_size(sock->out_buffer, 0);
	sock->out_start = 0;
}

static void finish_connect(struct http_sock *sock)
{
	g_autoptr(GError) gerror = NULL;

	if (!g_socket_check_connect_result(sock->socket, &gerror)) {
		end_connection(sock,
			       g_error_matches(gerror, G_IO_ERROR,
					       G_IO_ERROR_CONNECTION_REFUSED)
				       ? LP_ERROR_NOT_LISTENING
				       : LP_ERROR_UPSTREAM_GONE);
		return;
	}
	sock->connecting = false;
	send_queued(sock);
	if (sock->events.connected)
		sock->events.connected(sock->userdata);
}

static void read_available(struct http_sock *sock)
{
	char buffer[READ_BYTES_MAX];
	ssize_t size = recv(g_socket_get_fd(sock->socket), buffer,
			    sizeof(buffer), MSG_DONTWAIT);

	if (size > 0)
		sock->events.data(sock->userdata, buffer, (size_t)size);
	else if (!size)
		end_connection(sock, LP_OK);
	else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
		end_connection(sock, LP_ERROR_UPSTREAM_GONE);
}

static gboolean dispatch(GSource *source, GSourceFunc callback,
			 gpointer userdata)
{
	struct http_sock *sock = ((struct sock_source *)source)->sock;
	GIOCondition ready = g_source_query_unix_fd(source, sock->tag);

	g_rc_box_acquire(sock);
	if (sock->connecting) {
		if (ready)
			finish_connect(sock);
	} else {
		if (ready & G_IO_OUT)
			send_queued(sock);
		if (!sock->closed && !sock->has_ended &&
		    (ready & (G_IO_IN | G_IO_HUP | G_IO_ERR)))
			read_available(sock);
	}
	if (sock->closed && !sock->has_ended && !http_sock_unsent_bytes(sock))
		end_connection(sock, LP_OK);
	if (!sock->has_ended)
		update_interest(sock);
	unref_sock(sock);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = { .dispatch = dispatch };

static struct http_sock *create_sock(GSocket *socket,
				     const struct http_sock_events *events,
				     void *userdata)
{
	struct http_sock *sock = g_rc_box_new0(struct http_sock);

	sock->socket = socket;
	sock->events = *events;
	sock->userdata = userdata;
	sock->out_buffer = g_byte_array_new();

	g_socket_set_blocking(socket, FALSE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
			    UNACKED_TIMEOUT_MS, NULL);
	return sock;
}

static void add_source(struct http_sock *sock)
{
	sock->source = g_source_new(&source_funcs, sizeof(struct sock_source));
	((struct sock_source *)sock->source)->sock = sock;
	sock->tag = g_source_add_unix_fd(sock->source,
					 g_socket_get_fd(sock->socket), 0);
	update_interest(sock);
	g_source_attach(sock->source, NULL);
}

struct http_sock *http_sock_from_accepted(GSocket *socket,
					  const struct http_sock_events *events,
					  void *userdata)
{
	struct http_sock *sock =
		create_sock(g_object_ref(socket), events, userdata);

	add_source(sock);
	return sock;
}

static GSocketAddress *parse_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	g_autofree char *ip = NULL;
	guint64 port;

	if (!colon ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL))
		return NULL;
	ip = g_strndup(text, (gsize)(colon - text));
	return g_inet_socket_address_new_from_string(ip, (guint)port);
}

struct http_sock *http_sock_connect(const char *address,
				    const struct http_sock_events *events,
				    void *userdata)
{
	g_autoptr(GSocketAddress) to = parse_address(address);
	g_autoptr(GError) gerror = NULL;
	struct http_sock *sock;
	GSocket *socket;

	if (!to)
		return NULL;
	socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			      G_SOCKET_PROTOCOL_TCP, NULL);
	if (!socket)
		return NULL;
	sock = create_sock(socket, events, userdata);
	sock->connecting = true;
	if (!g_socket_connect(socket, to, NULL, &gerror) &&
	    !g_error_matches(gerror, G_IO_ERROR, G_IO_ERROR_PENDING)) {
		unref_sock(sock);
		return NULL;
	}
	add_source(sock);
	return sock;
}

void http_sock_write(struct http_sock *sock, const char *bytes, size_t size)
{
	if (sock->has_ended || sock->closed)
		return;
	g_byte_array_append(sock->out_buffer, (const guint8 *)bytes,
			    (guint)size);
	if (!sock->connecting)
		send_queued(sock);
	update_interest(sock);
}

void http_sock_pause(struct http_sock *sock, bool pause)
{
	if (sock->paused == pause)
		return;
	sock->paused = pause;
	update_interest(sock);
}

/* Number of bytes that the peer has not acknowledged, queued here or in the
 * system. */
static int64_t undelivered_bytes(const struct http_sock *sock)
{
	int queued = 0;

	ioctl(g_socket_get_fd(sock->socket), SIOCOUTQ, &queued);
	return (int64_t)http_sock_unsent_bytes(sock) + queued;
}

static gboolean on_close_stalled(gpointer userdata)
{
	struct http_sock *sock = userdata;
	int64_t before = sock->undelivered_bytes;

	sock->undelivered_bytes = undelivered_bytes(sock);
	if (sock->undelivered_bytes < before)
		return G_SOURCE_CONTINUE;
	sock->close_timer = 0;
	end_connection(sock, LP_ERROR_UPSTREAM_GONE);
	return G_SOURCE_REMOVE;
}

void http_sock_close(struct http_sock *sock)
{
	sock->closed = true;
	if (!sock->has_ended && !sock->connecting &&
	    http_sock_unsent_bytes(sock)) {
		sock->undelivered_bytes = undelivered_bytes(sock);
		sock->close_timer =
			lp_timer_add(CLOSE_STALL_MS, on_close_stalled, sock);
		update_interest(sock);
		return;
	}
	sock->has_ended = true;
	if (sock->source)
		g_source_destroy(sock->source);
	/* Closes before the last reference is dropped, so that the peer is
	 * notified now. */
	g_socket_close(sock->socket, NULL);
	unref_sock(sock);
}

void http_sock_abort(struct http_sock *sock)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(g_socket_get_fd(sock->socket), SOL_SOCKET, SO_LINGER, &reset,
		   sizeof(reset));
	g_byte_array_set_size(sock->out_buffer, 0);
	sock->out_start = 0;
	http_sock_close(sock);
}
