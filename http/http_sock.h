/**
 * A non-blocking TCP connection on the GLib main loop, with a queue of outgoing
 * bytes.
 *
 * Reading goes on while an answer is pending, so that a peer's disconnect is
 * noticed at once. Bytes may be written before the connection is established;
 * they are sent after that.
 *
 * A peer may take its time to read what was written: the connection stays as
 * long as it acknowledges. If it acknowledges nothing for three seconds
 * although it should, it is gone (policy/peer_liveness.h).
 *
 * The caller owns the connection until http_sock_close() or http_sock_abort(),
 * also after ended().
 */
#ifndef HTTP_SOCK_H
#define HTTP_SOCK_H

#include "base/lp_error.h"
#include "http/http_memory.h"

#include <gio/gio.h>

/** Limit of bytes read at once: an answer of a plain service fits in one read.
 */
#define HTTP_SOCK_READ_BYTES_MAX 16384

struct http_sock;

/** What became of written bytes that a peer does not take. */
enum http_delivery_state {
	HTTP_DELIVERY_SLOW,	/**< the peer is there, and reads nothing */
	HTTP_DELIVERY_GONE,	/**< it is silent or has reset the connection */
	HTTP_DELIVERY_DEADLINE, /**< dropped, as their deadline has passed */
	HTTP_DELIVERY_STATES,
};

struct http_delivery {
	enum http_delivery_state state;
	int64_t undelivered_bytes;
	int64_t waited_us; /**< since the first of them was written */
	int64_t silent_us; /**< for which the peer has owed an acknowledgement
			    */
};

/** "slow", "gone" or "deadline". */
const char *http_delivery_name(enum http_delivery_state state);

/** Callbacks about written bytes; all may be NULL. */
struct http_sock_watch {
	/**
	 * Called once for each time that the peer falls behind, and when the
	 * connection ends with undelivered bytes. Must not close or free it.
	 */
	void (*delivery)(void *userdata, const struct http_delivery *delivery);
	/** Called when the system has taken queued bytes. */
	void (*taken)(void *userdata);
	/** Report a reset at once while reading is paused, and drop what is not
	 * read yet; otherwise it is reported after that. */
	bool ends_while_paused;
};

/** Callbacks. After http_sock_close(), only delivered() is called. */
struct http_sock_events {
	/** Called when an outgoing connection is established. May be NULL. */
	void (*connected)(void *userdata);
	void (*data)(void *userdata, const char *bytes, size_t size);
	/**
	 * Called when the connection is over. LP_OK: the peer closed its side
	 * in order; LP_ERROR_UPSTREAM_GONE: the connection was reset, or could
	 * not be established, or the peer is gone; LP_ERROR_DEADLINE_PASSED:
	 * http_sock_set_deadline(); LP_ERROR_NOT_LISTENING: the peer's host
	 * refused the connection, as no process listens on that port.
	 */
	void (*ended)(void *userdata, int error);
	/**
	 * Called after http_sock_close() with undelivered bytes, once the peer
	 * has them or they were dropped; the connection is freed afterwards.
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
/** `watch` is copied; its callbacks get the userdata of the connection. */
void http_sock_set_watch(struct http_sock *sock,
			 const struct http_sock_watch *watch);
/** Set the size of the system's buffer of received bytes. */
void http_sock_set_receive_buffer(struct http_sock *sock, int size);
/** Count queued bytes in `holding`, which must stay until the connection is
 * freed, or until delivered(). */
void http_sock_set_holding(struct http_sock *sock,
			   struct http_holding *holding);
/**
 * Drop bytes that are still queued, and end the connection, at this time of
 * lp_clock_boot(); 0: never.
 */
void http_sock_set_deadline(struct http_sock *sock, int64_t deadline_us);
/** Send bytes; those that the socket's buffer does not take are queued. */
void http_sock_write(struct http_sock *sock, const char *bytes, size_t size);
/** Number of bytes that were written and are still queued. */
size_t http_sock_unsent_bytes(const struct http_sock *sock);
/** Number of bytes that were written and the peer has not acknowledged. */
int64_t http_sock_undelivered_bytes(const struct http_sock *sock);
/** Number of those that have not left this host, as the peer takes no more. */
int64_t http_sock_blocked_bytes(const struct http_sock *sock);
/** Whether any byte was sent; if none was, the peer cannot have read any. */
bool http_sock_has_sent(const struct http_sock *sock);
/** The peer's IP address, "" if it disconnected; g_free(). */
char *http_sock_peer_ip(const struct http_sock *sock);
/** Probe the peer from now on, also while nothing is undelivered, so that the
 * connection fails soon once the peer is gone. */
void http_sock_probe_peer(struct http_sock *sock);
/** Pause or resume reading. */
void http_sock_pause(struct http_sock *sock, bool pause);
/**
 * Close in order once the peer has acknowledged everything. Bytes are dropped
 * if it is gone, or at the connection's deadline. Returns whether there are
 * undelivered bytes: the connection is then freed after delivered(), otherwise
 * on return.
 */
bool http_sock_close(struct http_sock *sock);
/**
 * Close at once. The system goes on sending what it has taken; queued bytes are
 * lost and make it a reset. Also allowed between http_sock_close() and
 * delivered(), which is then not called.
 */
void http_sock_close_now(struct http_sock *sock);
/**
 * Close at once with a reset; queued and sent bytes may be lost. Also allowed
 * between http_sock_close() and delivered(), which is then not called.
 */
void http_sock_abort(struct http_sock *sock);

#endif
