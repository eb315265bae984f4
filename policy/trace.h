/**
 * Decisions as typed events in a bounded ring, told in plain sentences.
 *
 * Each process keeps the ring of what it decided itself; `linepier explain`
 * gathers the events of entry and agents by request id.
 */
#ifndef TRACE_H
#define TRACE_H

#include "base/lp_id.h"

#include <glib.h>

enum trace_kind {
	TRACE_ACCEPTED, /**< a: estimate us, b: time left us */
	TRACE_REFUSED,	/**< error; a: estimate us, b: time left us */
	TRACE_SENT,	/**< who: upstream; a: expected us, b: time left us */
	TRACE_ANSWERED, /**< who; a: queue us, b: run us */
	TRACE_FAILED,	/**< who; error; a: enum lp_run */
	TRACE_FAILED_OVER, /**< who: from; error: why */
	TRACE_HEDGED,	   /**< who: second upstream; a: waited us */
	TRACE_QUERIED,	   /**< who; a: waited us */
	TRACE_LOST,	   /**< who; a: waited us */
	TRACE_RESUMED,	   /**< who: from; a: tokens had */
	TRACE_NO_BUDGET,   /**< error: of the try not repeated */
	TRACE_FINISHED,	   /**< error; a: total us */
	TRACE_QUEUED,	   /**< at an agent; a: calls before it, b: running */
	TRACE_STARTED,	   /**< at an agent; a: waited us, b: running */
	TRACE_ENDED,	   /**< at an agent; error; a: run us */
	TRACE_RETURNED,	   /**< at an agent; error; a: waited us */
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

/** A ring of `capacity` events; the oldest give way. */
struct trace *trace_create(uint32_t capacity);
void trace_destroy(struct trace *trace);
/** Record an event; the time is the wall clock's. `who` may be NULL. */
void trace_add(struct trace *trace, const struct lp_call_id *id,
	       enum trace_kind kind, const char *who, int error, int64_t a,
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
/** The event as a sentence. `stage` is its stage's name, or NULL. */
char *trace_sentence(const struct trace_event *event, const char *stage);

#endif
