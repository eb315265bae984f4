/**
 * Questions and calls of an entry's own to an upstream, as opposed to requests
 * of callers: one exchange whose answer is wanted whole. What the upstream says
 * of itself in it is heard (direct_notices.h).
 */
#ifndef DIRECT_FETCH_H
#define DIRECT_FETCH_H

#include "base/lp_clock.h"
#include "direct/direct_codec.h"
#include "direct/direct_notices.h"
#include "http/http_fetch.h"

/**
 * Within a region a connection stands in a few ms; a lost packet is sent again
 * after a second, and by then another upstream is the better choice.
 */
#define DIRECT_CONNECT_TIMEOUT_US (400 * LP_US_PER_MS)

struct direct_fetch;

struct direct_fetch_options {
	const struct direct_codec *codec;
	struct direct_notices *notices;
	struct pool_upstream *upstream; /**< held while it lasts */
	const char *method;
	const char *target;
	const char *body; /**< NUL-terminated, or NULL: none is sent */
	int64_t timeout_us;
	/** Called once, never from inside direct_fetch_start(); the fetch is
	 * gone by then. `reply`: what the answer's head says, or as one that
	 * says nothing. Both are borrowed. */
	void (*done)(void *userdata, const struct http_fetch_answer *answer,
		     const struct direct_reply *reply);
	void *userdata;
};

/** Only the upstream that is expected there answers. NULL: no connection can be
 * begun; done() is not called. */
struct direct_fetch *
direct_fetch_start(const struct direct_fetch_options *options);
/** End it at once; done() is not called. */
void direct_fetch_cancel(struct direct_fetch *fetch);

#endif
