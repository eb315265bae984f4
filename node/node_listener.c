#include "node/node_listener.h"

#include "base/lp_error.h"
#include "base/lp_log.h"
#include "store/store_serve.h"

#include <stdbool.h>
#include <string.h>

/* Connections that wait to be taken. libsoup's own 10 are there within 20 ms at
 * 600 a second; what is beyond is reset, and its request lost. */
#define BACKLOG 1024
/* In one turn; then what has been taken has its own. */
#define ACCEPTS_PER_WAKEUP 256
/* libsoup does not tell the socket of a connection that it was handed; the
 * address of its peer goes with it. */
#define SOCKET_KEY "node-listener-socket"

struct node_listener {
	SoupServer *server;
	GSocket *socket; /* NULL: closed */
	GSource *source;
	GHashTable *open; /* sockets handed over, not owned, not ended */
	bool failing; /* the last attempt to take one failed, and was logged */
};

static GSocket *open_socket(const char *address, GError **gerror)
{
	const char *colon = strrchr(address, ':');
	g_autofree char *ip = g_strndup(address, (gsize)(colon - address));
	g_autoptr(GSocketAddress) at = g_inet_socket_address_new_from_string(
		ip, (guint)g_ascii_strtoull(colon + 1, NULL, 10));
	g_autoptr(GSocket) socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, gerror);

	if (!at || !socket || !g_socket_bind(socket, at, TRUE, gerror))
		return NULL;
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_listen_backlog(socket, BACKLOG);
	if (!g_socket_listen(socket, gerror))
		return NULL;
	return g_steal_pointer(&socket);
}

static void on_socket_ended(gpointer userdata, GObject *socket)
{
	struct node_listener *listener = userdata;

	g_hash_table_remove(listener->open, socket);
}

static void note_open(struct node_listener *listener, GSocket *socket)
{
	g_hash_table_add(listener->open, socket);
	g_object_weak_ref(G_OBJECT(socket), on_socket_ended, listener);
}

static bool hand_over(struct node_listener *listener, GSocket *accepted,
		      GError **gerror)
{
	g_autoptr(GSocketConnection) connection =
		g_socket_connection_factory_create_connection(accepted);
	g_autoptr(GSocketAddress) local =
		g_socket_get_local_address(accepted, NULL);
	g_autoptr(GSocketAddress) remote =
		g_socket_get_remote_address(accepted, NULL);

	note_open(listener, accepted);
	if (remote)
		g_object_set_data_full(G_OBJECT(remote), SOCKET_KEY,
				       g_object_ref(accepted), g_object_unref);
	return soup_server_accept_iostream(listener->server,
					   G_IO_STREAM(connection), local,
					   remote, gerror);
}

/* Logged once until one succeeds. */
static void note_failure(struct node_listener *listener, const GError *gerror)
{
	if (g_error_matches(gerror, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		return;
	if (!listener->failing)
		lp_log(LP_LOG_WARN, "listener", NULL,
		       "cannot take a connection: %s", gerror->message);
	listener->failing = true;
}

/* Returns whether there was one. */
static bool take_one(struct node_listener *listener)
{
	g_autoptr(GError) gerror = NULL;
	g_autoptr(GSocket) accepted =
		g_socket_accept(listener->socket, NULL, &gerror);

	if (!accepted || !hand_over(listener, accepted, &gerror)) {
		note_failure(listener, gerror);
		return accepted;
	}
	listener->failing = false;
	return true;
}

static void take(struct node_listener *listener, uint32_t most)
{
	for (uint32_t i = 0; i < most; i++)
		if (!take_one(listener))
			return;
}

static gboolean on_accept(GSocket *socket, GIOCondition condition,
			  gpointer userdata)
{
	take(userdata, ACCEPTS_PER_WAKEUP);
	return G_SOURCE_CONTINUE;
}

GSocket *node_listener_socket(SoupServerMessage *msg)
{
	GSocketAddress *remote = soup_server_message_get_remote_address(msg);

	return remote ? g_object_get_data(G_OBJECT(remote), SOCKET_KEY) : NULL;
}

int node_listener_create(SoupServer *server, const char *address,
			 struct node_listener **out, char **why)
{
	g_autoptr(GError) gerror = NULL;
	GSocket *socket = open_socket(address, &gerror);
	struct node_listener *listener;

	if (!socket) {
		*why = g_strdup_printf("cannot listen on %s: %s", address,
				       gerror ? gerror->message
					      : "bad address");
		return LP_ERROR_SYSTEM;
	}
	store_serve_once(server);
	listener = g_new0(struct node_listener, 1);
	listener->server = server;
	listener->socket = socket;
	listener->open = g_hash_table_new(NULL, NULL);
	listener->source = g_socket_create_source(socket, G_IO_IN, NULL);
	g_source_set_callback(listener->source, G_SOURCE_FUNC(on_accept),
			      listener, NULL);
	g_source_attach(listener->source, NULL);
	*out = listener;
	return LP_OK;
}

void node_listener_close(struct node_listener *listener)
{
	if (!listener->socket)
		return;
	take(listener, BACKLOG);
	g_source_destroy(listener->source);
	g_clear_pointer(&listener->source, g_source_unref);
	g_socket_close(listener->socket, NULL);
	g_clear_object(&listener->socket);
}

uint32_t node_listener_open(const struct node_listener *listener)
{
	return g_hash_table_size(listener->open);
}

static void forget_socket(gpointer socket, gpointer value, gpointer userdata)
{
	g_object_weak_unref(socket, on_socket_ended, userdata);
}

void node_listener_destroy(struct node_listener *listener)
{
	if (!listener)
		return;
	node_listener_close(listener);
	g_hash_table_foreach(listener->open, forget_socket, listener);
	g_hash_table_unref(listener->open);
	g_free(listener);
}
