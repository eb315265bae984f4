/**
 * Every answer of our servers ends its connection.
 *
 * libsoup 3.2.3's server keeps a connection, and its descriptor, for ever once
 * its client has closed it between two requests (seen as CLOSE_WAIT sockets:
 * 20,000 after 50,000 requests). A connection that the server itself ends
 * after the answer is freed. The price is a connection a request.
 */
#ifndef STORE_SERVE_H
#define STORE_SERVE_H

#include <libsoup/soup.h>

/** Call once, before the server listens. */
void store_serve_once(SoupServer *server);

#endif
