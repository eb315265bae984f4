/**
 * One HTTP/1.1 exchange on a connection of its own.
 *
 * A connection is never used twice: what a server sends late or on top of an
 * answer cannot be taken for the next one, and nothing is sent again behind
 * the caller's back. That is also why libsoup's session does not serve here.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "base/lp_error.h"
#include "http/http_fields.h"

struct http_exchange;

struct http_exchange_events {
	/** The head of the answer; interim answers are skipped. */
	void (*head)(void *userdata, uint32_t status,
		     const struct http_fields *fields);
	void (*body)(void *userdata, const char *bytes, size_t size);
	/**
	 * The exchange is over and freed after this call. LP_OK: the answer
	 * came whole; LP_ERROR_UPSTREAM_GONE: the connection failed or was
	 * cut; LP_ERROR_NOT_LISTENING: nobody listens at the address;
	 * LP_ERROR_PROTOCOL: the bytes were no answer.
	 * `sent`: a byte of the request has left.
	 */
	void (*done)(void *userdata, int error, bool sent);
};

struct http_exchange_options {
	const char *address; /**< "IP:PORT" */
	const char *method;
	const char *target;
	const struct http_fields *fields; /**< without framing */
	const char *body;
	size_t body_size;
	bool has_body; /**< send a length, also of 0 */
	int64_t connect_timeout_us;
	const struct http_exchange_events *events;
	void *userdata;
};

/** NULL: no connection can be begun; nothing was sent and nothing is called. */
struct http_exchange *
http_exchange_start(const struct http_exchange_options *options);
/** Close the connection at once; done() is not called. */
void http_exchange_cancel(struct http_exchange *exchange);
/** Whether a byte of the request has left. */
bool http_exchange_has_sent(const struct http_exchange *exchange);

#endif
