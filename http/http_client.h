/**
 * A client for one HTTP/1.1 exchange on a connection of its own.
 *
 * A connection is never reused: late or surplus bytes of a server cannot be
 * taken for the next answer, and no request is retried implicitly. libsoup's
 * session does not guarantee this, so it is not used here.
 *
 * An exchange is owned by this module, and freed after done() or by
 * http_exchange_cancel().
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "base/lp_error.h"
#include "http/http_fields.h"
#include "http/http_memory.h"
#include "http/http_parse.h"
#include "http/http_sock.h"

struct http_exchange;

struct http_exchange_events {
	/**
	 * Called with the status and header fields of the answer; interim
	 * answers are skipped.
	 */
	void (*head)(void *userdata, uint32_t status,
		     const struct http_fields *fields);
	/** Called once for each read, with all that it has of the body. */
	void (*body)(void *userdata, const char *bytes, size_t size);
	/**
	 * Called when the exchange is over; it is freed afterwards. LP_OK: the
	 * answer is complete; LP_ERROR_UPSTREAM_GONE: the connection failed or
	 * was closed early; LP_ERROR_NOT_LISTENING: the address refused the
	 * connection; LP_ERROR_PROTOCOL: the bytes are not an HTTP answer;
	 * LP_ERROR_ANSWER_TOO_LARGE: a part of it other than the body is larger
	 * than allowed (http_parse.h).
	 * `sent`: a byte of the request was sent.
	 */
	void (*done)(void *userdata, int error, bool sent);
};

struct http_exchange_options {
	const char *address; /**< "IP:PORT" */
	const char *method;
	const char *target;
	const struct http_fields *fields; /**< without framing fields */
	const char *body;
	size_t body_size;
	bool has_body; /**< send a Content-Length, even if it is 0 */
	int64_t connect_timeout_us;
	int receive_buffer_bytes; /**< of the system; 0: its default */
	/** Counts the head of the answer, which is limited to its share while
	 * memory is short. NULL: not counted. */
	struct http_memory *memory;
	const struct http_exchange_events *events;
	/** Called when the server does not take the request: struct
	 * http_sock_watch. May be NULL. */
	void (*delivery)(void *userdata, const struct http_delivery *delivery);
	/** Called before done() with LP_ERROR_ANSWER_TOO_LARGE. May be NULL. */
	void (*excess)(void *userdata, const struct http_excess *excess);
	void *userdata;
};

/**
 * NULL: the connection could not be started; nothing was sent and no callback
 * is called.
 */
struct http_exchange *
http_exchange_start(const struct http_exchange_options *options);
/** Reset the connection and free the exchange; done() is not called. */
void http_exchange_cancel(struct http_exchange *exchange);
/**
 * Pause or resume reading the answer. The server is not read from meanwhile, so
 * that it stops sending. The end of its connection is reported after that.
 */
void http_exchange_pause(struct http_exchange *exchange, bool pause);
/** Probe the server from now on: the exchange fails soon once its host is gone.
 */
void http_exchange_probe_peer(struct http_exchange *exchange);
/** Number of bytes of the request that the server takes no more of for now. */
int64_t http_exchange_blocked_bytes(const struct http_exchange *exchange);
/** Whether a byte of the request was sent. */
bool http_exchange_has_sent(const struct http_exchange *exchange);

#endif
