/**
 * Calls of the entry itself to an upstream, as opposed to requests of callers:
 * one HTTP exchange whose answer is read completely. Notices in the answer's
 * header are applied (direct_notices.h). An answer that is larger than allowed
 * is reported (direct_excess.h).
 */
#ifndef DIRECT_FETCH_H
#define DIRECT_FETCH_H

#include "base/lp_clock.h"
#include "base/lp_counter.h"
#include "base/lp_event.h"
#include "direct/direct_codec.h"
#include "direct/direct_notices.h"
#include "http/http_fetch.h"

/**
 * Within a region a connection is established in a few ms. A lost packet is
 * retransmitted after a second, and until then another upstream is faster.
 */
#define DIRECT_CONNECT_TIMEOUT_US (400 * LP_US_PER_MS)

/** Default of `answer_bytes_max`: a report, or the answer to an order. */
#define DIRECT_FETCH_ANSWER_BYTES 65536

struct direct_fetch;

struct direct_fetch_options {
	struct lp_event_log *log;
	struct lp_counters *counters;
	struct http_memory *memory; /**< counts the answer */
	const struct direct_codec *codec;
	struct direct_notices *notices;
	struct pool_upstream *upstream; /**< held until the fetch is freed */
	const char *method;
	const char *target;
	const char *body;	 /**< NUL-terminated, or NULL: no body */
	size_t answer_bytes_max; /**< body; 0: DIRECT_FETCH_ANSWER_BYTES */
	int64_t timeout_us;
	/** As in struct http_fetch_options; may be NULL. */
	int64_t (*overdue)(void *userdata);
	/** Called once, never from inside direct_fetch_start(), after the fetch
	 * was freed. `reply`: header of the answer; empty if there was none.
	 * Both are borrowed. */
	void (*done)(void *userdata, const struct http_fetch_answer *answer,
		     const struct direct_reply *reply);
	void *userdata;
};

/** Start a call. It is addressed to one upstream by id, and a different process
 * at the address refuses it. Returns NULL if no connection can be started;
 * done() is not called then. */
struct direct_fetch *
direct_fetch_start(const struct direct_fetch_options *options);
/** Cancel and free a fetch; done() is not called. */
void direct_fetch_cancel(struct direct_fetch *fetch);

#endif
