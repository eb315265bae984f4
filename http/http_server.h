/**
 * An HTTP/1.1 server for requests that are answered later.
 *
 * libsoup's server does not serve here: it keeps connections for ever whose
 * client left between two requests, tells of a client that leaves only when
 * it writes, and cannot end a body so that it is seen to be cut. This one
 * reads whole requests, one at a time a connection, and goes on reading while
 * an answer is awaited.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "base/lp_clock.h"
#include "base/lp_error.h"
#include "http/http_fields.h"

struct http_server;
/** A request whose answer is owed. Owned by the server until it is answered. */
struct http_call;

/** Bounds of one request; 0: none. */
struct http_limits {
	size_t head_bytes;
	size_t body_bytes;
	int64_t read_us; /**< from the first byte of a request to its last */
	int64_t idle_us; /**< of a connection between requests */
};

struct http_server_options {
	const char *address; /**< "IP:PORT" */
	const struct lp_clock *clock;
	struct http_limits limits;
	/** A whole request. It is answered here or later. */
	void (*request)(void *userdata, struct http_call *call);
	/** A request was refused before it was whole; may be NULL. */
	void (*refused)(void *userdata, int error, uint32_t status);
	void *userdata;
};

/** NULL, and `*error`: LP_ERROR_SYSTEM (no such address, or taken). */
struct http_server *
http_server_create(const struct http_server_options *options, int *error);
/** Connections with a request end by a reset, others in order. No call of them
 * may be used any more. */
void http_server_destroy(struct http_server *server);
void http_server_set_limits(struct http_server *server,
			    const struct http_limits *limits);
/** From now on each answer ends its connection. */
void http_server_drain(struct http_server *server);
/** Take what has connected, and no new connections after that. */
void http_server_stop_listening(struct http_server *server);
/** Requests that are being read, or whose answer is owed or being delivered. */
uint32_t http_server_busy_count(const struct http_server *server);

const char *http_call_method(const struct http_call *call);
const char *http_call_target(const struct http_call *call);
const struct http_fields *http_call_fields(const struct http_call *call);
/** The body, NUL-terminated. */
const char *http_call_body(const struct http_call *call, size_t *size);
/** The client's IP address, "" if it has gone; g_free(). */
char *http_call_client_ip(const struct http_call *call);
/** When the first byte of the request was read. */
int64_t http_call_arrived_us(const struct http_call *call);
/**
 * Hear of a client that leaves. gone() is called once; the call is over then
 * and no other function of it may be called.
 */
void http_call_set_disconnect_handler(struct http_call *call,
				      void (*gone)(void *userdata),
				      void *userdata);
/**
 * Answer whole. `fields` hold nothing of framing or of the connection. The
 * call is over.
 */
void http_call_answer(struct http_call *call, uint32_t status,
		      const struct http_fields *fields, const char *body,
		      size_t size);
/** Begin an answer whose length is not known. */
void http_call_start(struct http_call *call, uint32_t status,
		     const struct http_fields *fields);
void http_call_write(struct http_call *call, const char *bytes, size_t size);
/** Bytes that the client has not taken yet. */
size_t http_call_unsent_bytes(const struct http_call *call);
/** End a started answer as complete. The call is over. */
void http_call_finish(struct http_call *call);
/** Cut: whatever was begun is seen to be incomplete. The call is over. */
void http_call_abort(struct http_call *call);

#endif
