/** One HTTP exchange with JSON both ways, over libsoup. */
#ifndef STORE_HTTP_H
#define STORE_HTTP_H

#include "base/lp_error.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

struct store_http;

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
	int64_t timeout_us; /**< 0: 2 s */
	void (*done)(void *userdata, const struct store_http_answer *answer);
	/** Called in place of done() when the client is destroyed; or NULL. */
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
void store_http_send(struct store_http *http,
		     const struct store_http_request *request);
SoupSession *store_http_session(struct store_http *http);

#endif
