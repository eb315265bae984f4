/**
 * One ZeroMQ ROUTER socket on the process's main loop.
 *
 * A ROUTER both binds and connects: an agent binds, an entry binds for its
 * peers and connects out to agents. Peers are named by strings: the host id
 * for a connection made, the other side's routing id for one accepted.
 * All functions belong to the loop's thread.
 */
#ifndef WIRE_SOCK_H
#define WIRE_SOCK_H

#include "wire/wire_msg.h"

struct wire_sock;

struct wire_sock_options {
	const char *routing_id; /**< ours, shown to peers; at most 200 bytes */
	const char *bind;	/**< "IP:PORT", or NULL not to bind */
	int queue_max;	   /**< messages a peer may have waiting; 0: 10000 */
	int64_t linger_ms; /**< at destroy; 0: 1000 */
	/** CURVE (Z85 text), all NULL for plain connections. */
	const char *curve_public;
	const char *curve_secret;
	/** A message came. Called from the loop; `msg` is cleared after. */
	void (*on_message)(void *userdata, const char *peer,
			   struct wire_msg *msg);
	/** A frame was not a message of ours. */
	void (*on_malformed)(void *userdata, const char *peer, size_t size);
	void *userdata;
};

struct wire_sock_stats {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t malformed;
	uint64_t unsendable;
};

/** Returns LP_OK, LP_ERROR_SYSTEM (errno says why) or LP_ERROR_BAD_CONFIG. */
int wire_sock_create(const struct wire_sock_options *options,
		     struct wire_sock **out);
void wire_sock_destroy(struct wire_sock *sock);
/** Connect to a peer under a name of ours. */
int wire_sock_connect(struct wire_sock *sock, const char *peer,
		      const char *address);
void wire_sock_disconnect(struct wire_sock *sock, const char *address);
/**
 * Queue a message for a peer. LP_ERROR_UPSTREAM_GONE: no such peer, or its
 * queue is full; the message was certainly not sent.
 */
int wire_sock_send(struct wire_sock *sock, const char *peer,
		   const struct wire_msg *msg);
const struct wire_sock_stats *wire_sock_stats(const struct wire_sock *sock);

#endif
