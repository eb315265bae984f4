#include "node/node_listener.h"

#include "base/lp_error.h"
#include "base/lp_log.h"
#include "store/store_serve.h"

#include <stdbool.h>
#include <string.h>

/* Length of the kernel's accept queue. At 600 connections a second, libsoup's
 * own 10 fill up within 20 ms; further connections are reset and their requests
 * lost. */
#define BACKLOG 1024
/* Limit per event-loop iteration, so that accepted connections get served. */
#define ACCEPTS_PER_ITERATION 256
/* libsoup does not expose the socket of a connection passed to it, but keeps
 * the remote address object, so the socket is attached to that under this key.
 */
#define SOCKET_KEY "node-listener-socket"

struct node_listener {
	SoupServer *server;
	GSocket *socket; /* NULL: closed */
	GSource *source;
	GHashTable *open_sockets; /* not finalized; weak references */
	bool accept_failing;	  /* the last accept failed, and was logged */
};

static GSocket *open_socket(const char *address, GError **gerror)
{
	const char *colon = strrchr(address, ':');
	g_autofree char *ip = g_strndup(address, (gsize)(colon - address));
	g_autoptr(GSocketAddress) socket_address =
		g_inet_socket_address_new_from_string(
			ip, (guint)g_ascii_strtoull(colon + 1, NULL, 10));
	g_autoptr(GSocket) socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, gerror);

	if (!socket_address || !socket ||
	    !g_socket_bind(socket, socket_address, TRUE, gerror))
		return NULL;
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_listen_backlog(socket, BACKLOG);
	if (!g_socket_listen(socket, gerror))
		return NULL;
	return g_steal_pointer(&socket);
}

static void on_socket_finalized(gpointer userdata, GObject *socket)
{
	struct node_listener *listener = userdata;

	g_hash_table_remove(listener->open_sockets, socket);
}

static void track_socket(struct node_listener *listener, GSocket *socket)
{
	g_hash_table_add(listener->open_sockets, socket);
	g_object_weak_ref(G_OBJECT(socket), on_socket_finalized, listener);
}

static bool pass_to_server(struct node_listener *listener, GSocket *accepted,
			   GError **gerror)
{
	g_autoptr(GSocketConnection) connection =
		g_socket_connection_factory_create_connection(accepted);
	g_autoptr(GSocketAddress) local =
		g_socket_get_local_address(accepted, NULL);
	g_autoptr(GSocketAddress) remote =
		g_socket_get_remote_address(accepted, NULL);

	track_socket(listener, accepted);
	if (remote)
		g_object_set_data_full(G_OBJECT(remote), SOCKET_KEY,
				       g_object_ref(accepted), g_object_unref);
	return soup_server_accept_iostream(listener->server,
					   G_IO_STREAM(connection), local,
					   remote, gerror);
}

/* Logs only the first failure since the last success. */
static void log_accept_failure(struct node_listener *listener,
			       const GError *gerror)
{
	if (g_error_matches(gerror, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		return;
	if (!listener->accept_failing)
		lp_log(LP_LOG_WARN, "listener", NULL,
		       "cannot accept connection: %s", gerror->message);
	listener->accept_failing = true;
}

/* Returns whether a connection was waiting. */
static bool accept_one(struct node_listener *listener)
{
	g_autoptr(GError) gerror = NULL;
	g_autoptr(GSocket) accepted =
		g_socket_accept(listener->socket, NULL, &gerror);

	if (!accepted || !pass_to_server(listener, accepted, &gerror)) {
		log_accept_failure(listener, gerror);
		return accepted;
	}
	listener->accept_failing = false;
	return true;
}

static void accept_pending(struct node_listener *listener, uint32_t max)
{
	for (uint32_t i = 0; i < max; i++)
		if (!accept_one(listener))
			return;
}

static gboolean on_accept(GSocket *socket, GIOCondition condition,
			  gpointer userdata)
{
	accept_pending(userdata, ACCEPTS_PER_ITERATION);
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
	listener->open_sockets = g_hash_table_new(NULL, NULL);
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
	accept_pending(listener, BACKLOG);
	g_source_destroy(listener->source);
	g_clear_pointer(&listener->source, g_source_unref);
	g_socket_close(listener->socket, NULL);
	g_clear_object(&listener->socket);
}

uint32_t node_listener_open_count(const struct node_listener *listener)
{
	return g_hash_table_size(listener->open_sockets);
}

static void untrack_socket(gpointer socket, gpointer value, gpointer userdata)
{
	g_object_weak_unref(socket, on_socket_finalized, userdata);
}

void node_listener_destroy(struct node_listener *listener)
{
	if (!listener)
		return;
	node_listener_close(listener);
	g_hash_table_foreach(listener->open_sockets, untrack_socket, listener);
	g_hash_table_unref(listener->open_sockets);
	g_free(listener);
}
