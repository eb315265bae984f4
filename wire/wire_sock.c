#include "wire/wire_sock.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

#define DEFAULT_QUEUE_MAX 10000
#define DEFAULT_LINGER_MS 1000
#define PEER_MAX 255
/* A peer that sends a larger message is disconnected. */
#define MESSAGE_BYTES_MAX ((int64_t)64 << 20)
#define BATCH_MAX 256 /* messages taken before the loop runs others */

struct wire_sock {
	struct wire_sock_options options;
	struct wire_sock_stats stats;
	void *context;
	void *socket;
	GSource *source;
};

/* ZMQ_FD is edge-triggered, so readiness is asked of ZMQ_EVENTS. */
struct sock_source {
	GSource base;
	struct wire_sock *sock;
};

static bool readable(struct wire_sock *sock)
{
	int events = 0;
	size_t size = sizeof(events);

	zmq_getsockopt(sock->socket, ZMQ_EVENTS, &events, &size);
	return events & ZMQ_POLLIN;
}

static gboolean source_prepare(GSource *source, int *timeout_ms)
{
	*timeout_ms = -1;
	return readable(((struct sock_source *)source)->sock);
}

static gboolean source_check(GSource *source)
{
	return readable(((struct sock_source *)source)->sock);
}

static void deliver(struct wire_sock *sock, const char *peer, zmq_msg_t *frame)
{
	struct wire_msg msg;
	size_t size = zmq_msg_size(frame);

	sock->stats.received += 1;
	sock->stats.received_bytes += size;
	if (wire_msg_decode(zmq_msg_data(frame), size, &msg)) {
		sock->stats.malformed += 1;
		if (sock->options.on_malformed)
			sock->options.on_malformed(sock->options.userdata, peer,
						   size);
		return;
	}
	sock->options.on_message(sock->options.userdata, peer, &msg);
	wire_msg_clear(&msg);
}

/* One routing frame, one message frame; whatever more came is dropped. */
static bool receive_one(struct wire_sock *sock)
{
	char peer[PEER_MAX + 1];
	zmq_msg_t frame;
	int size = zmq_recv(sock->socket, peer, PEER_MAX, ZMQ_DONTWAIT);
	bool first = true;

	if (size < 0)
		return false;
	peer[MIN(size, PEER_MAX)] = '\0';
	while (true) {
		int more = 0;
		size_t more_size = sizeof(more);

		zmq_getsockopt(sock->socket, ZMQ_RCVMORE, &more, &more_size);
		if (!more)
			break;
		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, sock->socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&frame);
			break;
		}
		if (first)
			deliver(sock, peer, &frame);
		first = false;
		zmq_msg_close(&frame);
	}
	return true;
}

static gboolean source_dispatch(GSource *source, GSourceFunc callback,
				gpointer userdata)
{
	struct wire_sock *sock = ((struct sock_source *)source)->sock;

	for (int i = 0; i < BATCH_MAX && receive_one(sock); i++)
		;
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {
	source_prepare, source_check, source_dispatch, NULL, NULL, NULL
};

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static int set_curve(struct wire_sock *sock)
{
	const struct wire_sock_options *options = &sock->options;

	if (!options->curve_public)
		return LP_OK;
	if (zmq_setsockopt(sock->socket, ZMQ_CURVE_PUBLICKEY,
			   options->curve_public,
			   strlen(options->curve_public) + 1) ||
	    zmq_setsockopt(sock->socket, ZMQ_CURVE_SECRETKEY,
			   options->curve_secret,
			   strlen(options->curve_secret) + 1))
		return LP_ERROR_BAD_CONFIG;
	return LP_OK;
}

static int bind_socket(struct wire_sock *sock)
{
	g_autofree char *endpoint = NULL;
	bool curve = sock->options.curve_public;

	if (!sock->options.bind)
		return LP_OK;
	if (curve)
		set_int(sock->socket, ZMQ_CURVE_SERVER, 1);
	endpoint = g_strdup_printf("tcp://%s", sock->options.bind);
	if (zmq_bind(sock->socket, endpoint))
		return LP_ERROR_SYSTEM;
	if (curve)
		set_int(sock->socket, ZMQ_CURVE_SERVER, 0);
	return LP_OK;
}

static void attach(struct wire_sock *sock)
{
	int fd;
	size_t size = sizeof(fd);

	zmq_getsockopt(sock->socket, ZMQ_FD, &fd, &size);
	sock->source = g_source_new(&source_funcs, sizeof(struct sock_source));
	((struct sock_source *)sock->source)->sock = sock;
	g_source_add_unix_fd(sock->source, fd, G_IO_IN);
	g_source_attach(sock->source, NULL);
}

int wire_sock_create(const struct wire_sock_options *options,
		     struct wire_sock **out)
{
	static const int64_t message_bytes_max = MESSAGE_BYTES_MAX;
	struct wire_sock *sock = g_new0(struct wire_sock, 1);
	int queue_max =
		options->queue_max ? options->queue_max : DEFAULT_QUEUE_MAX;
	int error;

	sock->options = *options;
	sock->context = zmq_ctx_new();
	sock->socket = zmq_socket(sock->context, ZMQ_ROUTER);
	zmq_setsockopt(sock->socket, ZMQ_ROUTING_ID, options->routing_id,
		       strlen(options->routing_id));
	set_int(sock->socket, ZMQ_ROUTER_MANDATORY, 1);
	set_int(sock->socket, ZMQ_ROUTER_HANDOVER, 1);
	set_int(sock->socket, ZMQ_SNDHWM, queue_max);
	set_int(sock->socket, ZMQ_RCVHWM, queue_max);
	zmq_setsockopt(sock->socket, ZMQ_MAXMSGSIZE, &message_bytes_max,
		       sizeof(message_bytes_max));
	set_int(sock->socket, ZMQ_RECONNECT_IVL, 100);
	set_int(sock->socket, ZMQ_RECONNECT_IVL_MAX, 2000);
	set_int(sock->socket, ZMQ_LINGER,
		options->linger_ms ? (int)options->linger_ms
				   : DEFAULT_LINGER_MS);
	error = set_curve(sock);
	if (!error)
		error = bind_socket(sock);
	if (error) {
		wire_sock_destroy(sock);
		return error;
	}
	attach(sock);
	*out = sock;
	return LP_OK;
}

void wire_sock_destroy(struct wire_sock *sock)
{
	if (!sock)
		return;
	if (sock->source) {
		g_source_destroy(sock->source);
		g_source_unref(sock->source);
	}
	zmq_close(sock->socket);
	zmq_ctx_term(sock->context);
	g_free(sock);
}

int wire_sock_connect(struct wire_sock *sock, const char *peer,
		      const char *address)
{
	g_autofree char *endpoint = g_strdup_printf("tcp://%s", address);

	if (sock->options.curve_public)
		zmq_setsockopt(sock->socket, ZMQ_CURVE_SERVERKEY,
			       sock->options.curve_public,
			       strlen(sock->options.curve_public) + 1);
	zmq_setsockopt(sock->socket, ZMQ_CONNECT_ROUTING_ID, peer,
		       strlen(peer));
	return zmq_connect(sock->socket, endpoint) ? LP_ERROR_SYSTEM : LP_OK;
}

void wire_sock_disconnect(struct wire_sock *sock, const char *address)
{
	g_autofree char *endpoint = g_strdup_printf("tcp://%s", address);

	zmq_disconnect(sock->socket, endpoint);
}

int wire_sock_send(struct wire_sock *sock, const char *peer,
		   const struct wire_msg *msg)
{
	GBytes *bytes = wire_msg_encode(msg);
	size_t size;
	const void *data = g_bytes_get_data(bytes, &size);
	int error = LP_ERROR_UPSTREAM_GONE;

	if (zmq_send(sock->socket, peer, strlen(peer),
		     ZMQ_DONTWAIT | ZMQ_SNDMORE) >= 0 &&
	    zmq_send(sock->socket, data, size, ZMQ_DONTWAIT) >= 0)
		error = LP_OK;
	g_bytes_unref(bytes);
	if (error) {
		sock->stats.unsendable += 1;
		return error;
	}
	sock->stats.sent += 1;
	sock->stats.sent_bytes += size;
	return LP_OK;
}

const struct wire_sock_stats *wire_sock_stats(const struct wire_sock *sock)
{
	return &sock->stats;
}
