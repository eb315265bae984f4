#include "http/http_sock.h"

#include "base/lp_clock.h"
#include "base/lp_timer.h"
#include "policy/peer_liveness.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* A peer that owes an acknowledgement for this long is gone: three times a
 * round trip with one retransmission after the usual second. */
#define SILENCE_MAX_MS 3000
/* The same once the connection is closed, when nothing but the last bytes is
 * left. */
#define CLOSED_SILENCE_MAX_MS 2000
/* Most writes are acknowledged by the first check. */
#define FIRST_CHECK_MS 1000
#define CHECK_MS 500
#define CHECK_MIN_MS 50
/* Longest interval between probes of a closed window, and between
 * retransmissions; by default it doubles up to two minutes. Since Linux 6.15.
 */
#define PROBE_INTERVAL_MAX_MS 1000
#define PROBE_INTERVAL_DEFAULT_MS 120000
#ifndef TCP_RTO_MAX_MS
#define TCP_RTO_MAX_MS 44
#endif
/* An empty queue keeps this much memory at most. */
#define EMPTY_QUEUE_BYTES_MAX 4096

struct http_sock {
	GSocket *socket;
	GSource *source;
	gpointer tag;
	struct http_sock_events events;
	struct http_sock_watch watch;
	void *userdata;
	GByteArray *out_buffer;
	size_t out_start;	      /* number of its bytes already sent */
	struct http_holding *holding; /* of the queue; may be NULL */
	int64_t held_bytes;	      /* of `holding` */
	guint check_timer; /* runs while written bytes may be undelivered */
	struct peer_liveness liveness;
	int64_t deadline_us;
	int user_timeout_ms; /* as set: TCP_USER_TIMEOUT */
	bool reports_acks;   /* the system tells when the peer acknowledged */
	bool slow_reported;  /* since bytes are undelivered */
	bool asks_often;     /* ask_often() */
	bool is_probed_often;
	bool keepalive;
	bool probes_peer; /* http_sock_probe_peer() */
	bool connecting;
	bool paused;
	bool closed;	  /* by this side: no more events but delivered() */
	bool peer_closed; /* seen after `closed` */
	bool has_ended;	  /* the source is removed */
	bool sent_any;
	bool send_failed; /* the system has told the error to send() */
};

struct sock_source {
	GSource source;
	struct http_sock *sock;
};

static void count_queue(struct http_sock *sock)
{
	int64_t before = sock->held_bytes;

	sock->held_bytes = sock->out_buffer->len;
	if (sock->holding)
		http_holding_add(sock->holding, sock->held_bytes - before);
}

void http_sock_set_holding(struct http_sock *sock, struct http_holding *holding)
{
	if (sock->holding)
		http_holding_add(sock->holding, -sock->held_bytes);
	sock->holding = holding;
	if (sock->holding)
		http_holding_add(sock->holding, sock->held_bytes);
}

static void clear_sock(gpointer data)
{
	struct http_sock *sock = data;

	if (sock->check_timer)
		g_source_remove(sock->check_timer);
	http_sock_set_holding(sock, NULL);
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

const char *http_delivery_name(enum http_delivery_state state)
{
	static const char *const names[HTTP_DELIVERY_STATES] = {
		[HTTP_DELIVERY_SLOW] = "slow",
		[HTTP_DELIVERY_GONE] = "gone",
		[HTTP_DELIVERY_DEADLINE] = "deadline",
	};

	return names[state];
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

	if (!sock->source || sock->has_ended || !sock->tag)
		return;
	/* The system would report the hang-up again and again. What is left is
	 * noticed by the checks of the delivery. */
	if (sock->peer_closed && !http_sock_unsent_bytes(sock)) {
		g_source_remove_unix_fd(sock->source, sock->tag);
		sock->tag = NULL;
		return;
	}
	if (sock->closed ? !sock->peer_closed
			 : !sock->paused && !sock->connecting)
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
	http_sock_set_holding(sock, NULL);
	if (sock->events.delivered)
		sock->events.delivered(sock->userdata);
	unref_sock(sock); /* the reference kept by http_sock_close() */
}

/* ---- queue of outgoing bytes ---- */

static void drop_queue(struct http_sock *sock)
{
	if (sock->out_buffer->len > EMPTY_QUEUE_BYTES_MAX) {
		g_byte_array_unref(sock->out_buffer);
		sock->out_buffer = g_byte_array_new();
	}
	g_byte_array_set_size(sock->out_buffer, 0);
	sock->out_start = 0;
	count_queue(sock);
}

static void remove_sent_bytes(struct http_sock *sock)
{
	if (!http_sock_unsent_bytes(sock)) {
		drop_queue(sock);
		return;
	}
	if (sock->out_start < sock->out_buffer->len / 2)
		return;
	g_byte_array_remove_range(sock->out_buffer, 0, (guint)sock->out_start);
	sock->out_start = 0;
	count_queue(sock);
}

static void queue_bytes(struct http_sock *sock, const char *bytes, size_t size)
{
	g_byte_array_append(sock->out_buffer, (const guint8 *)bytes,
			    (guint)size);
	count_queue(sock);
}

/* Returns the number of bytes that the system took, or -1: the connection has
 * failed, which is reported when it is read. The system tells an error only
 * once, and an end in order after that. */
static ssize_t send_bytes(struct http_sock *sock, const void *bytes,
			  size_t size)
{
	int fd = g_socket_get_fd(sock->socket);
	size_t sent = 0;

	while (sent < size) {
		ssize_t taken = send(fd, (const char *)bytes + sent,
				     size - sent, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (taken < 0 && errno == EINTR)
			continue;
		if (taken < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			break;
		if (taken < 0) {
			sock->send_failed = true;
			return -1;
		}
		sock->sent_any = true;
		sent += (size_t)taken;
	}
	return (ssize_t)sent;
}

/* Returns whether the system took some. */
static bool send_queued(struct http_sock *sock)
{
	ssize_t sent;

	if (!http_sock_unsent_bytes(sock))
		return false;
	sent = send_bytes(sock, sock->out_buffer->data + sock->out_start,
			  http_sock_unsent_bytes(sock));
	if (sent < 0) {
		drop_queue(sock);
		return false;
	}
	sock->out_start += (size_t)sent;
	remove_sent_bytes(sock);
	return sent > 0;
}

/* ---- delivery ---- */

/* Bytes that the system has taken, by one of its queue sizes; 0 if it does not
 * tell. Without a pending check everything is known to be delivered. */
static int64_t system_queue_bytes(const struct http_sock *sock,
				  unsigned long request)
{
	int queued = 0;

	if (sock->check_timer && !sock->connecting)
		ioctl(g_socket_get_fd(sock->socket), request, &queued);
	return queued;
}

int64_t http_sock_undelivered_bytes(const struct http_sock *sock)
{
	return (int64_t)http_sock_unsent_bytes(sock) +
	       system_queue_bytes(sock, SIOCOUTQ);
}

int64_t http_sock_blocked_bytes(const struct http_sock *sock)
{
	return (int64_t)http_sock_unsent_bytes(sock) +
	       system_queue_bytes(sock, SIOCOUTQNSD);
}

static void set_option(struct http_sock *sock, int level, int option, int value)
{
	g_socket_set_option(sock->socket, level, option, value, NULL);
}

static void set_user_timeout(struct http_sock *sock, int timeout_ms)
{
	if (sock->user_timeout_ms == timeout_ms)
		return;
	sock->user_timeout_ms = timeout_ms;
	set_option(sock, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms);
}

/* Has a peer that does not acknowledge asked often, so that it is soon known
 * whether it is there: its window may be closed, or have shrunk with bytes in
 * flight, which are sent again then. */
static void ask_often(struct http_sock *sock)
{
	if (sock->asks_often)
		return;
	sock->asks_often = true;
	sock->is_probed_often =
		g_socket_set_option(sock->socket, IPPROTO_TCP, TCP_RTO_MAX_MS,
				    PROBE_INTERVAL_MAX_MS, NULL);
	set_option(sock, IPPROTO_TCP, TCP_KEEPIDLE, 1);
	set_option(sock, IPPROTO_TCP, TCP_KEEPINTVL, 1);
	set_option(sock, IPPROTO_TCP, TCP_KEEPCNT, SILENCE_MAX_MS / 1000);
}

/* Systems that do not probe a closed window send keep-alive probes while bytes
 * wait; Linux does the first and not the second. */
static void set_keepalive(struct http_sock *sock, bool on)
{
	if (sock->keepalive == on)
		return;
	sock->keepalive = on;
	set_option(sock, SOL_SOCKET, SO_KEEPALIVE, on);
}

static struct peer_report read_report(struct http_sock *sock)
{
	struct peer_report report = {
		.now_us = lp_now_us(lp_clock_boot()),
		.undelivered_bytes = http_sock_undelivered_bytes(sock),
		.is_probed_often = sock->is_probed_often,
	};
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);

	getsockopt(g_socket_get_fd(sock->socket), IPPROTO_TCP, TCP_INFO, &info,
		   &size);
	sock->reports_acks |= info.tcpi_last_ack_recv != 0;
	report.heard_us = report.now_us;
	if (sock->reports_acks)
		report.heard_us -= info.tcpi_last_ack_recv * LP_US_PER_MS;
	report.is_in_flight = info.tcpi_unacked != 0;
	report.is_probe_unanswered = info.tcpi_probes != 0;
	return report;
}

static void report_delivery(struct http_sock *sock,
			    enum http_delivery_state state)
{
	struct peer_report report = read_report(sock);
	const struct http_delivery delivery = {
		.state = state,
		.undelivered_bytes = report.undelivered_bytes,
		.waited_us = report.now_us - sock->liveness.since_us,
		.silent_us = peer_liveness_silence_us(&sock->liveness, &report),
	};

	if (sock->watch.delivery)
		sock->watch.delivery(sock->userdata, &delivery);
}

/* Lets the system discard what it has not delivered when it closes the
 * socket. */
static void set_reset(struct http_sock *sock)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(g_socket_get_fd(sock->socket), SOL_SOCKET, SO_LINGER, &reset,
		   sizeof(reset));
}

/* Ends a connection whose undelivered bytes are given up. */
static void give_up(struct http_sock *sock, enum http_delivery_state state,
		    int error)
{
	report_delivery(sock, state);
	set_reset(sock);
	end_connection(sock, error);
}

static void schedule_check(struct http_sock *sock, int64_t wait_ms);

static bool is_past_deadline(const struct http_sock *sock, int64_t now_us)
{
	return sock->deadline_us && now_us >= sock->deadline_us &&
	       (sock->closed || http_sock_unsent_bytes(sock));
}

/* Ends the connection if its peer is gone or its deadline has passed, otherwise
 * sets up what notices that. */
static void check_delivery(struct http_sock *sock)
{
	int64_t silence_max_us =
		(sock->closed ? CLOSED_SILENCE_MAX_MS : SILENCE_MAX_MS) *
		LP_US_PER_MS;
	struct peer_report report = read_report(sock);
	enum peer_state state =
		peer_liveness_update(&sock->liveness, &report, silence_max_us);
	int64_t left_us;

	if (state != PEER_DELIVERED && is_past_deadline(sock, report.now_us)) {
		give_up(sock, HTTP_DELIVERY_DEADLINE, LP_ERROR_DEADLINE_PASSED);
		return;
	}
	if (state == PEER_GONE) {
		give_up(sock, HTTP_DELIVERY_GONE, LP_ERROR_UPSTREAM_GONE);
		return;
	}
	/* On Linux this option also ends connections whose window is closed.
	 * It is needed only if acknowledgements are not reported. */
	set_user_timeout(sock, state == PEER_IN_FLIGHT && !sock->reports_acks
				       ? SILENCE_MAX_MS
				       : 0);
	if (state == PEER_SLOW && !sock->slow_reported) {
		sock->slow_reported = true;
		report_delivery(sock, HTTP_DELIVERY_SLOW);
	}
	set_keepalive(sock, state == PEER_SLOW || sock->probes_peer);
	if (state == PEER_DELIVERED) {
		if (sock->closed)
			end_connection(sock, LP_OK);
		return;
	}
	ask_often(sock);
	left_us = silence_max_us -
		  peer_liveness_silence_us(&sock->liveness, &report);
	schedule_check(sock,
		       CLAMP(left_us / LP_US_PER_MS, CHECK_MIN_MS, CHECK_MS));
}

static gboolean on_check(gpointer userdata)
{
	struct http_sock *sock = g_rc_box_acquire(userdata);
	guint timer = sock->check_timer;

	check_delivery(sock);
	if (sock->check_timer == timer)
		sock->check_timer = 0;
	unref_sock(sock);
	return G_SOURCE_REMOVE;
}

static void schedule_check(struct http_sock *sock, int64_t wait_ms)
{
	sock->check_timer = lp_timer_add((guint)wait_ms, on_check, sock);
}

/* Bytes were given to the system or queued. */
static void expect_delivery(struct http_sock *sock)
{
	if (sock->check_timer || sock->has_ended)
		return;
	sock->liveness = (struct peer_liveness){
		.since_us = lp_now_us(lp_clock_boot()),
	};
	sock->slow_reported = false;
	schedule_check(sock, FIRST_CHECK_MS);
}

/* The connection was reset, or has failed. The last bytes in flight may have
 * arrived. */
static void fail_connection(struct http_sock *sock)
{
	if (sock->send_failed || http_sock_blocked_bytes(sock))
		report_delivery(sock, HTTP_DELIVERY_GONE);
	end_connection(sock, LP_ERROR_UPSTREAM_GONE);
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
	if (http_sock_unsent_bytes(sock)) {
		expect_delivery(sock);
		send_queued(sock);
	}
	if (sock->events.connected)
		sock->events.connected(sock->userdata);
}

static bool is_transient(int error)
{
	return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

static void read_available(struct http_sock *sock)
{
	char buffer[HTTP_SOCK_READ_BYTES_MAX];
	ssize_t size = recv(g_socket_get_fd(sock->socket), buffer,
			    sizeof(buffer), MSG_DONTWAIT);

	if (size > 0)
		sock->events.data(sock->userdata, buffer, (size_t)size);
	else if (!size && !sock->send_failed)
		end_connection(sock, LP_OK);
	else if (!size || !is_transient(errno))
		fail_connection(sock);
}

/* Reads what the peer of a closed connection still sends: unread bytes would
 * turn the close into a reset, which may cost the peer its answer. */
static void discard_available(struct http_sock *sock)
{
	char buffer[HTTP_SOCK_READ_BYTES_MAX];
	ssize_t size = recv(g_socket_get_fd(sock->socket), buffer,
			    sizeof(buffer), MSG_DONTWAIT);

	if (!size && !sock->send_failed)
		sock->peer_closed = true;
	else if (size <= 0 && !is_transient(size ? errno : ECONNRESET))
		fail_connection(sock);
}

static void end_if_delivered(struct http_sock *sock)
{
	if (sock->peer_closed && !http_sock_undelivered_bytes(sock))
		end_connection(sock, LP_OK);
}

static void handle_writable(struct http_sock *sock)
{
	bool taken = send_queued(sock);

	if (sock->closed && !http_sock_unsent_bytes(sock))
		shutdown(g_socket_get_fd(sock->socket), SHUT_WR);
	else if (taken && !sock->closed && sock->watch.taken)
		sock->watch.taken(sock->userdata);
}

/* The peer has reset the connection, or closed both its sides. The system would
 * report that again and again. */
static void handle_hang_up_while_paused(struct http_sock *sock)
{
	if (sock->watch.ends_while_paused) {
		fail_connection(sock);
		return;
	}
	g_source_remove_unix_fd(sock->source, sock->tag);
	sock->tag = NULL;
}

static void handle_readable(struct http_sock *sock)
{
	if (sock->has_ended)
		return;
	if (!sock->closed && sock->paused) {
		handle_hang_up_while_paused(sock);
		return;
	}
	if (!sock->closed) {
		read_available(sock);
		return;
	}
	discard_available(sock);
	if (!sock->has_ended)
		end_if_delivered(sock);
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
			handle_writable(sock);
		if (ready & (G_IO_IN | G_IO_HUP | G_IO_ERR))
			handle_readable(sock);
	}
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
	return sock;
}

static void add_unix_fd(struct http_sock *sock)
{
	sock->tag = g_source_add_unix_fd(sock->source,
					 g_socket_get_fd(sock->socket), 0);
}

static void add_source(struct http_sock *sock)
{
	sock->source = g_source_new(&source_funcs, sizeof(struct sock_source));
	((struct sock_source *)sock->source)->sock = sock;
	add_unix_fd(sock);
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

void http_sock_set_watch(struct http_sock *sock,
			 const struct http_sock_watch *watch)
{
	sock->watch = *watch;
}

void http_sock_set_receive_buffer(struct http_sock *sock, int size)
{
	set_option(sock, SOL_SOCKET, SO_RCVBUF, size);
}

void http_sock_set_deadline(struct http_sock *sock, int64_t deadline_us)
{
	sock->deadline_us = deadline_us;
}

void http_sock_write(struct http_sock *sock, const char *bytes, size_t size)
{
	ssize_t sent = 0;

	if (sock->has_ended || sock->closed)
		return;
	if (!sock->connecting) {
		expect_delivery(sock);
		if (!http_sock_unsent_bytes(sock))
			sent = send_bytes(sock, bytes, size);
		if (sent < 0)
			return;
	}
	if ((size_t)sent < size)
		queue_bytes(sock, bytes + sent, size - (size_t)sent);
	update_interest(sock);
}

void http_sock_probe_peer(struct http_sock *sock)
{
	if (sock->has_ended)
		return;
	sock->probes_peer = true;
	ask_often(sock);
	set_keepalive(sock, true);
}

void http_sock_pause(struct http_sock *sock, bool pause)
{
	if (sock->paused == pause)
		return;
	sock->paused = pause;
	if (!sock->tag && !sock->has_ended)
		add_unix_fd(sock);
	update_interest(sock);
}

void http_sock_close_now(struct http_sock *sock)
{
	if (http_sock_unsent_bytes(sock))
		set_reset(sock);
	/* Without an owner the system gives up a connection after a number of
	 * probes, and frequent ones are used up while a slow peer pauses. */
	if (sock->is_probed_often && http_sock_undelivered_bytes(sock))
		set_option(sock, IPPROTO_TCP, TCP_RTO_MAX_MS,
			   PROBE_INTERVAL_DEFAULT_MS);
	http_sock_set_holding(sock, NULL);
	sock->closed = true;
	sock->has_ended = true;
	if (sock->source)
		g_source_destroy(sock->source);
	/* Closes before the last reference is dropped, so that the peer is
	 * notified now. */
	g_socket_close(sock->socket, NULL);
	unref_sock(sock);
}

bool http_sock_close(struct http_sock *sock)
{
	if (sock->has_ended || sock->connecting ||
	    !http_sock_undelivered_bytes(sock)) {
		http_sock_close_now(sock);
		return false;
	}
	sock->closed = true;
	if (!http_sock_unsent_bytes(sock))
		shutdown(g_socket_get_fd(sock->socket), SHUT_WR);
	g_source_remove(sock->check_timer);
	schedule_check(sock, CHECK_MS);
	update_interest(sock);
	return true;
}

void http_sock_abort(struct http_sock *sock)
{
	set_reset(sock);
	drop_queue(sock);
	http_sock_close_now(sock);
}
