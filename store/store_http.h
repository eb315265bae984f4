/** One HTTP exchange with JSON both ways, over libsoup. */
#ifndef STORE_HTTP_H
#define STORE_HTTP_H

#include "base/lp_error.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

struct store_http;
/** One on its way; ends with done() or dropped(). */
struct store_http_exchange;

/** What came of an exchange. Borrowed during the callback. */
struct store_http_answer {
	int error; /**< LP_OK: any HTTP answer came whole */
	uint32_t status;
	const char *etag; /**< or NULL */
	const char *body; /**< NUL-terminated; NULL on error */
	size_t size;	  /**< bytes received, also of an answer cut short */
};

struct store_http_request {
	const char *method;
	const char *url;
	const char *body;   /**< JSON, or NULL */
	const char *etag;   /**< sent as If-None-Match, or NULL */
	int64_t timeout_us; /**< until the answer begins; 0: 2 s */
	int64_t stall_us;   /**< between two pieces of it; 0: timeout_us */
	/** The answer begins to come; or NULL. */
	void (*begun)(void *userdata, uint32_t status);
	void (*done)(void *userdata, const struct store_http_answer *answer);
	/** Called in place of done() when it is cancelled or the client is
	 * destroyed; or NULL. */
	void (*dropped)(void *userdata);
	void *userdata;
};

/** `connections`: most connections to one host. */
struct store_http *store_http_create(uint32_t connections);
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

#endif
