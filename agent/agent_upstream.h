/**
 * HTTP calls of an agent to its upstream: whole answers, or OpenAI-style
 * streams of completions.
 *
 * A result states whether the request ran, as exactly as HTTP allows: it did
 * not run if no connection was made, and may have run if the connection broke.
 */
#ifndef AGENT_UPSTREAM_H
#define AGENT_UPSTREAM_H

#include "base/lp_error.h"

#include <glib.h>

/** Limit of a whole answer, and of a line of a stream. An upstream that exceeds
 * it is cut off, and its request may have run: LP_ERROR_ANSWER_TOO_LARGE. */
#define UPSTREAM_ANSWER_BYTES_MAX 16777216

struct upstream;
struct upstream_run;

/** The result of a run. The receiver frees `body` with g_free(). */
struct upstream_run_result {
	int error;
	enum lp_run run;
	uint32_t tokens;
	char *body; /**< JSON on success, an error message otherwise */
};

struct upstream_ops {
	/** Receives the text and token count of one part of a stream. */
	void (*chunk)(void *userdata, const char *text, uint32_t tokens);
	/** Called exactly once per run; the run is freed afterwards. */
	void (*end)(void *userdata, struct upstream_run_result *result);
};

struct upstream_request {
	const char *path;
	const char *body;
	const char *key;   /**< Idempotency-Key, or "" */
	const char *trace; /**< traceparent, or "" */
	bool stream;
	bool repeatable; /**< may be sent over a connection kept alive */
	void *userdata;	 /**< passed to this run's callbacks */
};

struct upstream *upstream_create(const char *url,
				 const struct upstream_ops *ops);
/** All runs must have finished. */
void upstream_destroy(struct upstream *upstream);
/** Start a run; end() is never called from inside this function. */
struct upstream_run *upstream_start_run(struct upstream *upstream,
					const struct upstream_request *request);
/** Close the connection; end() follows from the event loop. */
void upstream_cancel_run(struct upstream_run *run);

#endif
