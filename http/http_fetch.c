#include "http/http_fetch.h"

#include "base/lp_clock.h"
#include "base/lp_timer.h"
#include "base/lp_transfer.h"
#include "http/http_client.h"

#include <string.h>

struct http_fetch {
	struct http_exchange *exchange;
	struct lp_transfer transfer; /* used if stall_us is set */
	guint timer;
	uint32_t status;
	GString *body;
	void (*head)(void *userdata, uint32_t status,
		     const struct http_fields *fields);
	void (*done)(void *userdata, const struct http_fetch_answer *answer);
	void *userdata;
};

static void free_fetch(struct http_fetch *fetch)
{
	if (fetch->timer)
		g_source_remove(fetch->timer);
	g_string_free(fetch->body, TRUE);
	g_free(fetch);
}

static void finish_fetch(struct http_fetch *fetch, int error, bool sent)
{
	const struct http_fetch_answer answer = {
		.error = error,
		.sent = sent,
		.status = fetch->status,
		.body = fetch->body->str,
		.size = fetch->body->len,
	};

	fetch->done(fetch->userdata, &answer);
	free_fetch(fetch);
}

static gboolean on_timeout(gpointer userdata)
{
	struct http_fetch *fetch = userdata;
	bool sent = http_exchange_has_sent(fetch->exchange);

	fetch->timer = 0;
	http_exchange_cancel(fetch->exchange);
	finish_fetch(fetch, LP_ERROR_UPSTREAM_GONE, sent);
	return G_SOURCE_REMOVE;
}

static void set_timer(struct http_fetch *fetch, int64_t wait_us)
{
	if (fetch->timer)
		g_source_remove(fetch->timer);
	fetch->timer = lp_timer_add((guint)(wait_us / LP_US_PER_MS), on_timeout,
				    fetch);
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

static void on_body(void *userdata, const char *bytes, size_t size)
{
	struct http_fetch *fetch = userdata;

	g_string_append_len(fetch->body, bytes, (gssize)size);
	fetch->transfer.received += size;
	restart_stall_timer(fetch);
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
	fetch->head = options->head;
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
		.events = &events,
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
