/**
 * Where a soup server takes its connections.
 *
 * libsoup takes one connection in a turn of the loop. On a busy host a turn
 * takes tens of milliseconds, and connections wait in the system's queue, which
 * is reset with the listener: an entry that was stopped lost requests that had
 * been sent to it. This one takes all that wait, and once more before it
 * closes.
 */
#ifndef NODE_LISTENER_H
#define NODE_LISTENER_H

#include <libsoup/soup.h>
#include <stdint.h>

struct node_listener;

/** Listen on "IP:PORT" for `server`, which outlives it. LP_OK or
 * LP_ERROR_SYSTEM, and `*why`: g_free(). */
int node_listener_create(SoupServer *server, const char *address,
			 struct node_listener **out, char **why);
/** The socket of a request that came by a listener; borrowed. NULL: its caller
 * was gone when it was taken. */
GSocket *node_listener_socket(SoupServerMessage *msg);
/** Hand over what has connected, then take nothing new. */
void node_listener_close(struct node_listener *listener);
/** Connections handed over that have not ended. Each ends with its answer, so
 * these have a request to send, or an answer to get. */
uint32_t node_listener_open(const struct node_listener *listener);
/** NULL is allowed. */
void node_listener_destroy(struct node_listener *listener);

#endif
