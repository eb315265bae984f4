#include "direct/direct_answer_flow.h"

#include "direct/direct_request.h"
#include "policy/backpressure.h"

/* What a caller may leave unread of its answer. */
#define UNREAD_MAX_BYTES (1 << 20)
/* What is buffered of an answer that is passed on whole. */
#define BUFFERED_MAX_BYTES (8 << 20)
/* Both while memory is short. */
#define SHORT_BYTES (DIRECT_ANSWER_RESERVED_BYTES / 4)

static int64_t unread_limit(const struct direct_request *request)
{
	return http_memory_share(&request->direct->memory, SHORT_BYTES,
				 UNREAD_MAX_BYTES);
}

static bool pauses(const struct direct_request *request)
{
	return backpressure_pauses(
		request->is_upstream_paused,
		(int64_t)http_call_unsent_bytes(request->call),
		unread_limit(request));
}

void direct_answer_flow_update(struct direct_request *request)
{
	bool pause = request->exchange && pauses(request);

	if (request->is_upstream_paused == pause)
		return;
	request->is_upstream_paused = pause;
	request->has_upstream_waited = true;
	if (pause)
		*direct_counter(request->direct,
				"linepier_upstreams_paused_total", NULL) += 1;
	if (!request->exchange)
		return;
	http_exchange_pause(request->exchange, pause);
	direct_stall_watch(request);
}

/* The caller waits for the next event from now on. */
void direct_answer_flow_on_taken(void *userdata)
{
	struct direct_request *request = userdata;

	request->last_event_us = direct_request_now_us(request);
	direct_answer_flow_update(request);
}

bool direct_answer_flow_is_behind(const struct direct_request *request)
{
	return request->answer_begun &&
	       backpressure_pauses(
		       true, (int64_t)http_call_unsent_bytes(request->call),
		       unread_limit(request));
}

bool direct_answer_flow_is_full(const struct direct_request *request)
{
	return (int64_t)request->body->len >
	       http_memory_share(&request->direct->memory, SHORT_BYTES,
				 BUFFERED_MAX_BYTES);
}

void direct_answer_flow_count(struct direct_request *request)
{
	http_call_set_buffered(
		request->call,
		(int64_t)request->body->len +
			http_fields_held_bytes(&request->fields));
}
