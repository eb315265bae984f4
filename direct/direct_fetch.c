#include "direct/direct_fetch.h"

#include "direct/direct_excess.h"

struct direct_fetch {
	struct direct_fetch_options options;
	struct http_fetch *http;
	struct direct_reply reply;
};

static void free_fetch(struct direct_fetch *fetch)
{
	pool_upstream_unref(fetch->options.upstream);
	g_free(fetch);
}

static void on_head(void *userdata, uint32_t status,
		    const struct http_fields *fields)
{
	struct direct_fetch *fetch = userdata;
	const struct direct_fetch_options *options = &fetch->options;

	options->codec->read_reply(status, fields, NULL, &fetch->reply);
	direct_notices_receive(options->notices, options->upstream,
			       &fetch->reply);
}

static int64_t on_overdue(void *userdata)
{
	const struct direct_fetch *fetch = userdata;

	return fetch->options.overdue
		       ? fetch->options.overdue(fetch->options.userdata)
		       : 0;
}

static void on_done(void *userdata, const struct http_fetch_answer *answer)
{
	struct direct_fetch *fetch = userdata;
	const struct direct_reply reply = fetch->reply;
	const struct direct_fetch_options options = fetch->options;

	if (answer->excess)
		direct_excess_report(options.log, options.counters, "upstream",
				     options.upstream->info.id, NULL,
				     answer->excess);
	free_fetch(fetch);
	options.done(options.userdata, answer, &reply);
}

static struct http_fetch *start_http(struct direct_fetch *fetch)
{
	const struct direct_fetch_options *options = &fetch->options;
	struct http_fields fields;
	struct http_fetch *http;

	http_fields_init(&fields);
	options->codec->write_call_fields(options->upstream->info.id, &fields);
	http = http_fetch_start(&(struct http_fetch_options){
		.address = options->upstream->info.address,
		.method = options->method,
		.target = options->target,
		.fields = &fields,
		.body = options->body,
		.body_bytes_max = options->answer_bytes_max
					  ? options->answer_bytes_max
					  : DIRECT_FETCH_ANSWER_BYTES,
		.memory = options->memory,
		.connect_timeout_us = DIRECT_CONNECT_TIMEOUT_US,
		.timeout_us = options->timeout_us,
		.head = on_head,
		.overdue = on_overdue,
		.done = on_done,
		.userdata = fetch,
	});
	http_fields_clear(&fields);
	return http;
}

struct direct_fetch *
direct_fetch_start(const struct direct_fetch_options *options)
{
	struct direct_fetch *fetch = g_new0(struct direct_fetch, 1);

	fetch->options = *options;
	fetch->reply.running = -1;
	fetch->reply.waiting = -1;
	pool_upstream_ref(fetch->options.upstream);
	fetch->http = start_http(fetch);
	if (fetch->http)
		return fetch;
	free_fetch(fetch);
	return NULL;
}

void direct_fetch_cancel(struct direct_fetch *fetch)
{
	http_fetch_cancel(fetch->http);
	free_fetch(fetch);
}
