#include "http/http_fetch.h"

#include "base/lp_clock.h"
#include "base/lp_timer.h"
#include "base/lp_transfer.h"
#include "http/http_client.h"

#include <string.h>

/* Limit of an answer's body while memory is short. */
#define BODY_BYTES_MIN 8192

struct http_fetch {
	struct http_exchange *exchange;
	size_t body_bytes_max;
	struct http_holding held;
	struct http_excess excess;   /* limit 0: none */
	struct lp_transfer transfer; /* used if stall_us is set */
	guint timer;
	uint32_t status;
	GString *body;
	void (*head)(void *userdata, uint32_t status,
		     const struct http_fields *fields);
	int64_t (*overdue)(void *userdata);
	void (*done)(void *userdata, const struct http_fetch_answer *answer);
	void *userdata;
};

static void free_fetch(struct http_fetch *fetch)
{
	if (fetch->timer)
		g_source_remove(fetch->timer);
	http_holding_set(&fetch->held, 0);
	g_string_free(fetch->body, TRUE);
	g_free(fetch);
}

static void finish_fetch(struct http_fetch *fetch, int error, bool sent)
{
	const struct http_fetch_answer answer = {
		.error = error,
		.excess = fetch->excess.limit ? &fetch->excess : NULL,
		.sent = sent,
		.status = fetch->status,
		.body = fetch->body->str,
		.size = fetch->body->len,
	};

	fetch->done(fetch->userdata, &answer);
	free_fetch(fetch);
}

static gboolean on_timeout(gpointer userdata);

static void set_timer(struct http_fetch *fetch, int64_t wait_us)
{
	if (fetch->timer)
		g_source_remove(fetch->timer);
	fetch->timer = lp_timer_add((guint)(wait_us / LP_US_PER_MS), on_timeout,
				    fetch);
}

static gboolean on_timeout(gpointer userdata)
{
	struct http_fetch *fetch = userdata;
	int64_t wait_us = fetch->overdue ? fetch->overdue(fetch->userdata) : 0;
	bool sent = http_exchange_has_sent(fetch->exchange);

	fetch->timer = 0;
	if (wait_us) {
		http_exchange_probe_peer(fetch->exchange);
		set_timer(fetch, wait_us);
		return G_SOURCE_REMOVE;
	}
	http_exchange_cancel(fetch->exchange);
	finish_fetch(fetch, LP_ERROR_UPSTREAM_GONE, sent);
	return G_SOURCE_REMOVE;
}

static void restart_stall_timer(struct http_fetch *fetch)
{
	int64_t now_us = lp_now_us(lp_clock_boot());

	if (fetch->transfer.stall_us)
		set_timer(fetch, lp_transfer_wait_us(&fetch->transfer, now_us));
}

static void on_head(void *userdata, uint32_t status,
		    const struct http_fields *fields)
{
	struct http_fetch *fetch = userdata;

	fetch->status = status;
	fetch->transfer.begun_us = lp_now_us(lp_clock_boot());
	restart_stall_timer(fetch);
	if (fetch->head)
		fetch->head(fetch->userdata, status, fields);
}

static int64_t body_limit(const struct http_fetch *fetch)
{
	int64_t limit = (int64_t)fetch->body_bytes_max;

	return http_memory_share(fetch->held.memory, MIN(BODY_BYTES_MIN, limit),
				 limit);
}

static bool has_room(const struct http_fetch *fetch, size_t size)
{
	return (int64_t)(fetch->body->len + size) <= body_limit(fetch);
}

static void finish_oversized(struct http_fetch *fetch, size_t size)
{
	bool sent = http_exchange_has_sent(fetch->exchange);

	fetch->excess = (struct http_excess){
		.part = HTTP_PART_BODY,
		.received = (int64_t)(fetch->body->len + size),
		.limit = body_limit(fetch),
	};
	http_exchange_cancel(fetch->exchange);
	finish_fetch(fetch, LP_ERROR_ANSWER_TOO_LARGE, sent);
}

static void on_body(void *userdata, const char *bytes, size_t size)
{
	struct http_fetch *fetch = userdata;

	if (!has_room(fetch, size)) {
		finish_oversized(fetch, size);
		return;
	}
	g_string_append_len(fetch->body, bytes, (gssize)size);
	http_holding_set(&fetch->held, (int64_t)fetch->body->len);
	fetch->transfer.received += size;
	restart_stall_timer(fetch);
}

static void on_excess(void *userdata, const struct http_excess *excess)
{
	struct http_fetch *fetch = userdata;

	fetch->excess = *excess;
}

static void on_done(void *userdata, int error, bool sent)
{
	finish_fetch(userdata, error, sent);
}

static const struct http_exchange_events events = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

struct http_fetch *http_fetch_start(const struct http_fetch_options *options)
{
	struct http_fetch *fetch = g_new0(struct http_fetch, 1);

	fetch->body = g_string_new(NULL);
	fetch->body_bytes_max = options->body_bytes_max
					? options->body_bytes_max
					: HTTP_FETCH_BYTES_MAX;
	fetch->held.memory = options->memory;
	fetch->head = options->head;
	fetch->overdue = options->overdue;
	fetch->done = options->done;
	fetch->userdata = options->userdata;
	fetch->exchange = http_exchange_start(&(struct http_exchange_options){
		.address = options->address,
		.method = options->method,
		.target = options->target,
		.fields = options->fields,
		.body = options->body,
		.body_size = options->body ? strlen(options->body) : 0,
		.has_body = options->body != NULL,
		.connect_timeout_us = options->connect_timeout_us,
		.memory = options->memory,
		.events = &events,
		.excess = on_excess,
		.userdata = fetch,
	});
	if (!fetch->exchange) {
		free_fetch(fetch);
		return NULL;
	}
	fetch->transfer.stall_us = options->stall_us;
	set_timer(fetch, options->timeout_us);
	return fetch;
}

void http_fetch_cancel(struct http_fetch *fetch)
{
	http_exchange_cancel(fetch->exchange);
	free_fetch(fetch);
}
