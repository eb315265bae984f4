/**
 * An HTTP exchange whose answer is buffered and returned whole, up to a limit,
 * with a timeout for the whole exchange, or with a timeout that restarts as
 * long as bytes arrive: http_client.h with a buffer and a timer.
 *
 * A fetch is owned by this module, and freed after done() or by
 * http_fetch_cancel(). Times are in microseconds.
 */
#ifndef HTTP_FETCH_H
#define HTTP_FETCH_H

#include "http/http_fields.h"
#include "http/http_memory.h"
#include "http/http_parse.h"

#include <stddef.h>

/** Default of `body_bytes_max`. */
#define HTTP_FETCH_BYTES_MAX 1048576

struct http_fetch;

/** The result of a fetch; borrowed during the callback. */
struct http_fetch_answer {
	int error; /**< LP_OK: the answer is complete */
	/** With LP_ERROR_ANSWER_TOO_LARGE; else NULL. */
	const struct http_excess *excess;
	bool sent; /**< a byte of the request was sent */
	uint32_t status;
	const char *body; /**< NUL-terminated */
	size_t size;
};

struct http_fetch_options {
	const char *address; /**< "IP:PORT" */
	const char *method;
	const char *target;
	const struct http_fields *fields;
	const char *body;      /**< NUL-terminated, or NULL: no body */
	size_t body_bytes_max; /**< of the answer; 0: HTTP_FETCH_BYTES_MAX */
	/** Counts the answer, which is limited to its share while memory is
	 * short. NULL: not counted. */
	struct http_memory *memory;
	int64_t connect_timeout_us;
	int64_t timeout_us; /**< for the whole exchange, or if stall_us is set,
			       until the answer begins */
	/**
	 * Timeout between parts of an answer of unbounded size; 0: the answer
	 * is short, and timeout_us limits the whole exchange.
	 */
	int64_t stall_us;
	/**
	 * Called with the status and header fields of the answer; may be NULL.
	 */
	void (*head)(void *userdata, uint32_t status,
		     const struct http_fields *fields);
	/**
	 * Called when the timeout is over: how long to wait on, or 0 to end the
	 * fetch. While it waits on, the server is probed. May be NULL.
	 */
	int64_t (*overdue)(void *userdata);
	/** Called once, never from inside http_fetch_start(). */
	void (*done)(void *userdata, const struct http_fetch_answer *answer);
	void *userdata;
};

/** NULL: the connection could not be started; done() is not called. */
struct http_fetch *http_fetch_start(const struct http_fetch_options *options);
/** Cancel and free the fetch; done() is not called. */
void http_fetch_cancel(struct http_fetch *fetch);

#endif
