/**
 * Listening socket of a libsoup server.
 *
 * libsoup's own listener accepts one connection per event-loop iteration. On a
 * busy host an iteration takes tens of milliseconds, so connections wait in the
 * kernel's accept queue. Closing the socket resets them: an entry that was
 * stopped lost requests that callers had sent. This listener accepts many
 * waiting connections per iteration, and again before it closes.
 */
#ifndef NODE_LISTENER_H
#define NODE_LISTENER_H

#include <libsoup/soup.h>
#include <stdint.h>

struct node_listener;

/** Listen on "IP:PORT" for `server`, which must outlive the listener. Returns
 * LP_OK, or LP_ERROR_SYSTEM with a message in `*why` (g_free()). */
int node_listener_create(SoupServer *server, const char *address,
			 struct node_listener **out, char **why);
/** Socket of a request accepted by a listener; borrowed. NULL if the caller had
 * disconnected before the connection was accepted. */
GSocket *node_listener_socket(SoupServerMessage *msg);
/** Accept the waiting connections, then stop listening. */
void node_listener_close(struct node_listener *listener);
/** Number of accepted connections that are still open. Each is closed after
 * its answer, so each has a request to send or an answer to receive. */
uint32_t node_listener_open_count(const struct node_listener *listener);
/** NULL is allowed. */
void node_listener_destroy(struct node_listener *listener);

#endif
