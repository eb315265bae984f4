/**
 * HTTP exchanges with JSON both ways, over libsoup.
 *
 * A client serves one service. If it adapts its timeout, an exchange that got
 * no answer in time fails, and the answer is still awaited for a while. When it
 * begins, it tells how long the service takes, and exchanges under way and
 * later ones are given that time (policy/call_timeout.h). The answer itself
 * goes to an exchange for the same URL that is under way by then and accepts
 * it. Times are in microseconds, of lp_clock_boot().
 */
#ifndef STORE_HTTP_H
#define STORE_HTTP_H

#include "base/lp_error.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>

struct store_http;
/** One on its way; ends with done() or dropped(). */
struct store_http_exchange;

/** What came of an exchange. Borrowed during the callback. */
struct store_http_answer {
	/** LP_OK: any HTTP answer came whole; LP_ERROR_ANSWER_TOO_LARGE: more
	 * came than is allowed; else LP_ERROR_PLATFORM_DOWN. */
	int error;
	/** By how much the request that was answered was sent before the
	 * exchange: store_http_request.accepts_earlier. */
	int64_t earlier_us;
	uint32_t status;
	const char *etag; /**< or NULL */
	const char *era;  /**< store_http_options.era_field, or NULL */
	const char *body; /**< NUL-terminated; NULL on error */
	size_t size;	  /**< bytes received, also of an answer cut short */
};

struct store_http_request {
	const char *method;
	const char *url;
	const char *body;   /**< JSON, or NULL */
	const char *etag;   /**< sent as If-None-Match, or NULL */
	int64_t timeout_us; /**< until the answer begins; 0: 2 s. Longer if the
			       client adapts it */
	/** Time for which the service may hold the answer back, beyond the
	 * timeout (long poll). */
	int64_t wait_us;
	int64_t stall_us; /**< between two pieces of it; 0: timeout_us */
	/** The answer to an earlier request for the same URL, whose exchange
	 * failed, is as good: whichever begins first is taken. */
	bool accepts_earlier;
	/** The answer begins to come; or NULL. */
	void (*begun)(void *userdata, uint32_t status);
	void (*done)(void *userdata, const struct store_http_answer *answer);
	/** Called in place of done() when it is cancelled or the client is
	 * destroyed; or NULL. */
	void (*dropped)(void *userdata);
	void *userdata;
};

/** Default of `answer_bytes_max`. */
#define STORE_HTTP_ANSWER_BYTES_MAX 16777216

struct store_http_options {
	uint32_t connections;	 /**< most exchanges at the same time */
	size_t answer_bytes_max; /**< of a body; 0: the default */
	bool adapts_timeout;	 /**< to the time that the service takes */
	/** Header field with the era of the service's history; static. NULL:
	 * none. */
	const char *era_field;
	/** Called when an answer begins `took_us` after its request was sent,
	 * whose exchange had failed; or NULL. An exchange that is sent by the
	 * callback may receive that answer. */
	void (*late)(void *userdata, int64_t took_us);
	void *userdata;
};

struct store_http *store_http_create(const struct store_http_options *options);
/** Outstanding exchanges are cancelled and dropped. */
void store_http_destroy(struct store_http *http);
/**
 * Start an exchange. done() is called once, never from inside this call.
 */
struct store_http_exchange *
store_http_send(struct store_http *http,
		const struct store_http_request *request);
void store_http_cancel(struct store_http_exchange *exchange);
SoupSession *store_http_session(struct store_http *http);
/** The timeout of an exchange that is sent now and asks for this one. */
int64_t store_http_timeout_us(const struct store_http *http,
			      int64_t initial_us);

#endif
