/**
 * One exchange whose answer is wanted whole, within a time or as long as its
 * bytes come: http_client.h with a buffer and a timer.
 */
#ifndef HTTP_FETCH_H
#define HTTP_FETCH_H

#include "http/http_fields.h"

#include <stddef.h>

struct http_fetch;

/** What came of it. Borrowed during the callback. */
struct http_fetch_answer {
	int error; /**< LP_OK: an answer came whole */
	bool sent; /**< a byte of the request has left */
	uint32_t status;
	const char *body; /**< NUL-terminated */
	size_t size;
};

struct http_fetch_options {
	const char *address; /**< "IP:PORT" */
	const char *method;
	const char *target;
	const struct http_fields *fields;
	const char *body; /**< NUL-terminated, or NULL: none is sent */
	int64_t connect_timeout_us;
	int64_t timeout_us; /**< of the whole exchange, or if stall_us is set:
				 until the answer begins */
	/** Between two pieces of an answer whose size is not bounded; 0: the
	 * answer is short, and the time is that of the whole. */
	int64_t stall_us;
	/** The head of the answer; may be NULL. */
	void (*head)(void *userdata, uint32_t status,
		     const struct http_fields *fields);
	/** Called once, never from inside http_fetch_start(). */
	void (*done)(void *userdata, const struct http_fetch_answer *answer);
	void *userdata;
};

/** NULL: no connection can be begun; done() is not called. */
struct http_fetch *http_fetch_start(const struct http_fetch_options *options);
/** End it at once; done() is not called. */
void http_fetch_cancel(struct http_fetch *fetch);

#endif
