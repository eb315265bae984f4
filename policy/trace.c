#include "policy/trace.h"

#include "base/lp_error.h"

#include <string.h>

#define MS(us) ((double)(us) / 1000.0)

struct trace {
	struct trace_event *events;
	uint32_t capacity;
	uint64_t added;
};

struct trace *trace_create(uint32_t capacity)
{
	struct trace *trace = g_new0(struct trace, 1);

	trace->events = g_new0(struct trace_event, capacity);
	trace->capacity = capacity;
	return trace;
}

void trace_destroy(struct trace *trace)
{
	if (!trace)
		return;
	g_free(trace->events);
	g_free(trace);
}

void trace_add(struct trace *trace, const struct lp_call_id *id,
	       enum trace_kind kind, const char *host, int error, int64_t a,
	       int64_t b)
{
	struct trace_event *event =
		&trace->events[trace->added % trace->capacity];

	*event = (struct trace_event){
		.time_us = g_get_real_time(),
		.id = *id,
		.kind = kind,
		.error = error,
		.a = a,
		.b = b,
	};
	if (host)
		g_strlcpy(event->host, host, sizeof(event->host));
	trace->added += 1;
}

void trace_visit(const struct trace *trace, const struct lp_call_id *request,
		 void (*visit)(void *userdata, const struct trace_event *event),
		 void *userdata)
{
	uint64_t first = trace->added > trace->capacity
				 ? trace->added - trace->capacity
				 : 0;

	for (uint64_t i = first; i < trace->added; i++) {
		const struct trace_event *event =
			&trace->events[i % trace->capacity];

		if (!request || (event->id.entry == request->entry &&
				 event->id.serial == request->serial))
			visit(userdata, event);
	}
}

uint64_t trace_added(const struct trace *trace)
{
	return trace->added;
}

uint64_t trace_visit_since(const struct trace *trace, uint64_t since,
			   void (*visit)(void *userdata,
					 const struct trace_event *event),
			   void *userdata)
{
	uint64_t first = trace->added > trace->capacity
				 ? trace->added - trace->capacity
				 : 0;

	for (uint64_t i = MAX(first, since); i < trace->added; i++)
		visit(userdata, &trace->events[i % trace->capacity]);
	return trace->added;
}

static char *describe(const struct trace_event *event)
{
	const char *reason = lp_strerror(event->error);
	const char *host = event->host;

	switch (event->kind) {
	case TRACE_ACCEPTED:
		return g_strdup_printf("accepted: expected to take %.1f ms of "
				       "the %.1f ms left",
				       MS(event->a), MS(event->b));
	case TRACE_REFUSED:
		return g_strdup_printf("refused before anything ran, because "
				       "%s: expected %.1f ms, left %.1f ms",
				       reason, MS(event->a), MS(event->b));
	case TRACE_SENT:
		return g_strdup_printf("sent to %s, which was expected to "
				       "take %.1f ms; %.1f ms left",
				       host, MS(event->a), MS(event->b));
	case TRACE_ANSWERED:
		return g_strdup_printf("%s answered: waited %.1f ms there, "
				       "ran %.1f ms",
				       host, MS(event->a), MS(event->b));
	case TRACE_FAILED:
		return g_strdup_printf("%s refused or failed (%s): %s", host,
				       lp_run_name(event->a), reason);
	case TRACE_FAILED_OVER:
		return g_strdup_printf("failed over from %s because %s", host,
				       reason);
	case TRACE_HEDGED:
		return g_strdup_printf(
			"hedged: a second attempt went to %s after %.1f ms "
			"without an answer",
			host, MS(event->a));
	case TRACE_QUERIED:
		return g_strdup_printf("queried %s for the call's state after "
				       "%.1f ms",
				       host, MS(event->a));
	case TRACE_LOST:
		return g_strdup_printf("lost the call at %s after %.1f ms "
				       "without an answer",
				       host, MS(event->a));
	case TRACE_RESUMED:
		return g_strdup_printf("the stream from %s broke; resuming "
				       "elsewhere after %" G_GINT64_FORMAT
				       " tokens",
				       host, event->a);
	case TRACE_NO_BUDGET:
		return g_strdup_printf("not retried (%s): the service's "
				       "retry budget is used up",
				       reason);
	case TRACE_FINISHED:
		if (event->error)
			return g_strdup_printf("ended after %.1f ms: %s",
					       MS(event->a), reason);
		return g_strdup_printf("answered whole after %.1f ms",
				       MS(event->a));
	case TRACE_QUEUED:
		return g_strdup_printf("queued behind %" G_GINT64_FORMAT
				       " calls, %" G_GINT64_FORMAT " running",
				       event->a, event->b);
	case TRACE_STARTED:
		return g_strdup_printf("started after %.1f ms in the queue, "
				       "%" G_GINT64_FORMAT " running",
				       MS(event->a), event->b);
	case TRACE_ENDED:
		if (event->error)
			return g_strdup_printf("ended after %.1f ms: %s",
					       MS(event->a), reason);
		return g_strdup_printf("done after %.1f ms", MS(event->a));
	case TRACE_RETURNED:
		return g_strdup_printf("refused without running after "
				       "%.1f ms, because %s",
				       MS(event->a), reason);
	}
	return g_strdup("unknown event");
}

char *trace_sentence(const struct trace_event *event, const char *stage)
{
	char *sentence = describe(event);
	char *prefixed;

	if (!stage)
		return sentence;
	prefixed = g_strdup_printf("%s: %s", stage, sentence);
	g_free(sentence);
	return prefixed;
}
