/**
 * Trace: a bounded ring of typed events, one per decision on a request.
 *
 * Each process records its own decisions; `linepier explain` collects the
 * events of the entry and the agents by request id and prints them as
 * sentences.
 */
#ifndef TRACE_H
#define TRACE_H

#include "base/lp_id.h"

#include <glib.h>

/** Kinds of events, with the contents of the fields that they use. */
enum trace_kind {
	TRACE_ACCEPTED, /**< a: estimate us, b: time left us */
	TRACE_REFUSED,	/**< error; a: estimate us, b: time left us */
	TRACE_SENT,	/**< host: upstream; a: expected us, b: time left us */
	TRACE_ANSWERED, /**< host; a: queue us, b: run us */
	TRACE_FAILED,	/**< host; error; a: enum lp_run */
	TRACE_FAILED_OVER, /**< host: failed upstream; error: reason */
	TRACE_HEDGED,	   /**< host: second upstream; a: waited us */
	TRACE_QUERIED,	   /**< host; a: waited us */
	TRACE_LOST,	   /**< host; a: waited us */
	TRACE_RESUMED,	   /**< host: failed upstream; a: tokens received */
	TRACE_NO_BUDGET,   /**< error: of the attempt not retried */
	TRACE_FINISHED,	   /**< error; a: total us */
	TRACE_QUEUED,	   /**< at an agent; a: calls ahead, b: running */
	TRACE_STARTED,	   /**< at an agent; a: waited us, b: running */
	TRACE_ENDED,	   /**< at an agent; error; a: run us */
	TRACE_RETURNED,	   /**< at an agent, not run; error; a: waited us */
};

#define TRACE_HOST_SIZE 32

struct trace_event {
	int64_t time_us; /**< wall clock, since 1970 */
	struct lp_call_id id;
	enum trace_kind kind;
	int32_t error;
	int64_t a;
	int64_t b;
	char host[TRACE_HOST_SIZE];
};

struct trace;

/** A ring of `capacity` events; the oldest are overwritten. */
struct trace *trace_create(uint32_t capacity);
void trace_destroy(struct trace *trace);
/** Record an event at the present wall-clock time. `host` may be NULL. */
void trace_add(struct trace *trace, const struct lp_call_id *id,
	       enum trace_kind kind, const char *host, int error, int64_t a,
	       int64_t b);
/** Visit the events of one request, or all if NULL, oldest first. */
void trace_visit(const struct trace *trace, const struct lp_call_id *request,
		 void (*visit)(void *userdata, const struct trace_event *event),
		 void *userdata);
/** Events added so far: the sequence number of the next. */
uint64_t trace_added(const struct trace *trace);
/** Visit events from this sequence number on; returns the next number. */
uint64_t trace_visit_since(const struct trace *trace, uint64_t since,
			   void (*visit)(void *userdata,
					 const struct trace_event *event),
			   void *userdata);
/** The event as a sentence; free with g_free(). `stage` may be NULL. */
char *trace_sentence(const struct trace_event *event, const char *stage);

#endif
