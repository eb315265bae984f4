/**
 * An HTTP/1.1 server whose requests may be answered asynchronously.
 *
 * libsoup's server is not used here: it never closes connections whose client
 * went away between two requests, notices a client's disconnect only when it
 * writes, and cannot end a body such that the client sees it as truncated. This
 * server reads complete requests, one at a time per connection, and goes on
 * reading while an answer is pending, so that a disconnect is noticed.
 * Pipelined requests are begun one after the other, and none while the client
 * leaves too much of its answers unread.
 *
 * The server owns its connections and calls. Times are in microseconds.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "base/lp_clock.h"
#include "base/lp_error.h"
#include "http/http_fields.h"
#include "http/http_memory.h"
#include "http/http_parse.h"
#include "http/http_sock.h"

struct http_server;
/**
 * A request whose answer is pending. Owned by the server until it is answered.
 */
struct http_call;

/** Limits of one request; 0: none. */
struct http_limits {
	size_t head_bytes; /**< 0: HTTP_HEAD_BYTES_MAX */
	size_t body_bytes; /**< 0: no limit */
	int64_t read_us;   /**< from the first byte of a request to its last */
	int64_t idle_us;   /**< idle timeout of a connection between requests */
};

struct http_server_options {
	const char *address; /**< "IP:PORT" */
	const struct lp_clock *clock;
	struct http_limits limits;
	/**
	 * Called with a complete request, which may be answered in the callback
	 * or later.
	 */
	void (*request)(void *userdata, struct http_call *call);
	/**
	 * Called after a request was rejected while it was read; may be NULL.
	 * `excess`: which part of it was too large; NULL: none.
	 */
	void (*refused)(void *userdata, int error, uint32_t status,
			const struct http_excess *excess);
	/**
	 * Called when a client does not take its answer: struct
	 * http_sock_watch. `client_ip`: "" if it has disconnected. May be NULL.
	 */
	void (*delivery)(void *userdata, const char *client_ip,
			 const struct http_delivery *delivery);
	/** Counts what clients send and have not read yet; requests that find
	 * no room are refused with 503. NULL: not counted. */
	struct http_memory *memory;
	/** Reserved for the answer of each request, from its head on. */
	int64_t answer_bytes;
	/** How many times the owner keeps a body while it is served; 0: it is
	 * not kept but by the connection. */
	uint32_t body_copies;
	/** Adds fields to such a refusal; may be NULL. */
	void (*write_refusal)(void *userdata, const struct http_fields *request,
			      struct http_fields *out);
	void *userdata;
};

/**
 * On failure returns NULL and sets `*error` to LP_ERROR_SYSTEM (invalid
 * address, or in use).
 */
struct http_server *
http_server_create(const struct http_server_options *options, int *error);
/**
 * Resets connections with an unfinished request, and closes the others in
 * order. Their calls must not be used any more.
 */
void http_server_destroy(struct http_server *server);
void http_server_set_limits(struct http_server *server,
			    const struct http_limits *limits);
/** From now on each connection is closed after its next answer. */
void http_server_drain(struct http_server *server);
/** Accept the connections that are waiting, and no more after that. */
void http_server_stop_listening(struct http_server *server);
/**
 * Number of requests that are being read, or whose answer is pending or not yet
 * delivered.
 */
uint32_t http_server_busy_count(const struct http_server *server);

const char *http_call_method(const struct http_call *call);
const char *http_call_target(const struct http_call *call);
const struct http_fields *http_call_fields(const struct http_call *call);
/** The body, NUL-terminated. */
const char *http_call_body(const struct http_call *call, size_t *size);
/** The client's IP address, "" if it disconnected; g_free(). */
char *http_call_client_ip(const struct http_call *call);
/** When the first byte of the request was read. */
int64_t http_call_arrived_us(const struct http_call *call);
/**
 * Set a callback for the client's disconnect. on_disconnect() is called once;
 * the call is over then and must not be used any more.
 */
void http_call_set_disconnect_handler(struct http_call *call,
				      void (*on_disconnect)(void *userdata),
				      void *userdata);
/**
 * Set until when the client may take its time to read the answer. What it has
 * not taken by then is dropped, and its connection reset. Without a deadline
 * the connection is closed after the idle timeout.
 */
void http_call_set_deadline(struct http_call *call, int64_t deadline_us);
/**
 * Send a complete answer. `fields` must not hold framing or connection fields.
 * The call is over.
 */
void http_call_answer(struct http_call *call, uint32_t status,
		      const struct http_fields *fields, const char *body,
		      size_t size);
/** Begin an answer of unknown length, in chunks. */
void http_call_start(struct http_call *call, uint32_t status,
		     const struct http_fields *fields);
void http_call_write(struct http_call *call, const char *bytes, size_t size);
/** Count so many bytes, which the owner buffers of the answer until the call
 * is over, beside those that are queued. */
void http_call_set_buffered(struct http_call *call, int64_t bytes);
/** Set a callback for the system's taking of written bytes while the answer is
 * not complete. */
void http_call_set_taken_handler(struct http_call *call,
				 void (*on_taken)(void *userdata),
				 void *userdata);
/** Number of written bytes that the socket has not taken yet. */
size_t http_call_unsent_bytes(const struct http_call *call);
/** Complete a started answer. The call is over. */
void http_call_finish(struct http_call *call);
/**
 * Close the connection without completing the answer, so that the client sees
 * it as truncated. The call is over.
 */
void http_call_abort(struct http_call *call);

#endif
