/**
 * One TCP connection on the main loop: bytes in as they come, bytes out
 * through a queue.
 *
 * Reading goes on while an answer is awaited, so that a peer that leaves is
 * noticed at once. Bytes may be written before the connection stands; none of
 * them leaves before that.
 */
#ifndef HTTP_SOCK_H
#define HTTP_SOCK_H

#include "base/lp_error.h"

#include <gio/gio.h>

struct http_sock;

/** Of these only delivered() is called after http_sock_close(). */
struct http_sock_events {
	/** Outgoing connections: it stands. May be NULL. */
	void (*connected)(void *userdata);
	void (*data)(void *userdata, const char *bytes, size_t size);
	/**
	 * The connection is over. LP_OK: the peer ended its side in order;
	 * LP_ERROR_UPSTREAM_GONE: it was reset, or never came to stand;
	 * LP_ERROR_NOT_LISTENING: its host refused it, as nobody listens there.
	 */
	void (*ended)(void *userdata, int error);
	/**
	 * What http_sock_close() left to be delivered has been taken by the
	 * system, or was given up: the last word of it. May be NULL.
	 */
	void (*delivered)(void *userdata);
};

/** Take over an accepted socket. */
struct http_sock *http_sock_from_accepted(GSocket *socket,
					  const struct http_sock_events *events,
					  void *userdata);
/**
 * Begin to connect to "IP:PORT". Returns NULL when the address is not one or
 * no socket can be had.
 */
struct http_sock *http_sock_connect(const char *address,
				    const struct http_sock_events *events,
				    void *userdata);
/** Bytes that wait beyond the socket's own buffer are kept here. */
void http_sock_write(struct http_sock *sock, const char *bytes, size_t size);
/** Bytes written and not yet taken by the socket. */
size_t http_sock_unsent_bytes(const struct http_sock *sock);
/** Whether any byte has left: before that, nothing can have been read. */
bool http_sock_has_sent(const struct http_sock *sock);
/** The peer's IP address, "" if it has gone; g_free(). */
char *http_sock_peer_ip(const struct http_sock *sock);
/** Stop or go on reading. */
void http_sock_pause(struct http_sock *sock, bool pause);
/**
 * Close in order, once what was written has left. It is given up when the peer
 * takes nothing of it for two seconds. With nothing unsent the socket is gone
 * on return, else after delivered().
 */
void http_sock_close(struct http_sock *sock);
/**
 * Close at once with a reset; what was written may be lost. Allowed also
 * between http_sock_close() and delivered(), which is then not called.
 */
void http_sock_abort(struct http_sock *sock);

#endif
