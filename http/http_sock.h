/**
 * A non-blocking TCP connection on the GLib main loop, with a queue of outgoing
 * bytes.
 *
 * Reading goes on while an answer is pending, so that a peer's disconnect is
 * noticed at once. Bytes may be written before the connection is established;
 * they are sent after that.
 *
 * The caller owns the connection until http_sock_close() or http_sock_abort(),
 * also after ended().
 */
#ifndef HTTP_SOCK_H
#define HTTP_SOCK_H

#include "base/lp_error.h"

#include <gio/gio.h>

struct http_sock;

/** Callbacks. After http_sock_close(), only delivered() is called. */
struct http_sock_events {
	/** Called when an outgoing connection is established. May be NULL. */
	void (*connected)(void *userdata);
	void (*data)(void *userdata, const char *bytes, size_t size);
	/**
	 * Called when the connection is over. LP_OK: the peer closed its side
	 * in order; LP_ERROR_UPSTREAM_GONE: the connection was reset, or could
	 * not be established; LP_ERROR_NOT_LISTENING: the peer's host refused
	 * it, as no process listens on that port.
	 */
	void (*ended)(void *userdata, int error);
	/**
	 * Called after http_sock_close() with unsent bytes, once the system has
	 * taken them or they were dropped; the connection is freed afterwards.
	 * May be NULL.
	 */
	void (*delivered)(void *userdata);
};

/** Create a connection from an accepted socket; takes a reference. */
struct http_sock *http_sock_from_accepted(GSocket *socket,
					  const struct http_sock_events *events,
					  void *userdata);
/**
 * Start connecting to "IP:PORT". Returns NULL if the address is invalid or no
 * socket can be created.
 */
struct http_sock *http_sock_connect(const char *address,
				    const struct http_sock_events *events,
				    void *userdata);
/** Send bytes; those that the socket's buffer does not take are queued. */
void http_sock_write(struct http_sock *sock, const char *bytes, size_t size);
/** Number of bytes that were written and are still queued. */
size_t http_sock_unsent_bytes(const struct http_sock *sock);
/** Whether any byte was sent; if none was, the peer cannot have read any. */
bool http_sock_has_sent(const struct http_sock *sock);
/** The peer's IP address, "" if it disconnected; g_free(). */
char *http_sock_peer_ip(const struct http_sock *sock);
/** Pause or resume reading. */
void http_sock_pause(struct http_sock *sock, bool pause);
/**
 * Close in order after the queued bytes are sent. The bytes are dropped if the
 * peer takes none of them for two seconds. Without queued bytes the connection
 * is freed on return, else after delivered().
 */
void http_sock_close(struct http_sock *sock);
/**
 * Close at once with a reset; queued and sent bytes may be lost. Also allowed
 * between http_sock_close() and delivered(), which is then not called.
 */
void http_sock_abort(struct http_sock *sock);

#endif
