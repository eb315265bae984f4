#include "store/store_http.h"

#include "base/lp_clock.h"
#include "base/lp_timer.h"
#include "base/lp_transfer.h"
#include "policy/call_timeout.h"

#include <string.h>

#define DEFAULT_TIMEOUT_US (2 * LP_US_PER_S)
/* Read at once: of an answer of a megabyte, some dozen reads on a fast link. */
#define READ_BYTES 65536
#define STATUS_TOO_MANY_REQUESTS 429
/* Overdue requests whose answer is still awaited; each has a connection. */
#define OVERDUE_MAX 8

struct store_http {
	struct store_http_options options;
	SoupSession *session;
	GHashTable *pending; /* of struct store_http_exchange */
	GPtrArray *overdue;  /* of struct sending, without an exchange */
	struct call_timeout timeout;
};

/* A request that was sent, and its answer. */
struct sending {
	struct store_http *http; /* NULL: cancelled, freed when it returns */
	struct store_http_exchange *exchange; /* NULL: it has failed */
	int64_t sent_us;
	char *url;
	SoupMessage *message;
	GInputStream *stream; /* NULL: the answer's head has not come */
	GString *body;	      /* what was received of it */
	GCancellable *cancel;
	struct lp_transfer transfer; /* of the body */
	guint timer;
};

struct store_http_exchange {
	struct store_http *http;
	struct sending *sending;
	int64_t sent_us;
	int64_t timeout_us; /* until the answer begins, before adaptation */
	int64_t wait_us;    /* by which the service may hold it back */
	int64_t stall_us;
	bool accepts_earlier;
	void (*begun)(void *userdata, uint32_t status);
	void (*done)(void *userdata, const struct store_http_answer *answer);
	void (*dropped)(void *userdata);
	void *userdata;
};

struct store_http *store_http_create(const struct store_http_options *options)
{
	struct store_http *http = g_new0(struct store_http, 1);
	int connections = (int)options->connections +
			  (options->adapts_timeout ? OVERDUE_MAX : 0);

	http->options = *options;
	http->session = soup_session_new_with_options(
		"max-conns", connections, "max-conns-per-host", connections,
		"proxy-resolver", NULL, NULL);
	http->pending = g_hash_table_new(g_direct_hash, g_direct_equal);
	http->overdue = g_ptr_array_new();
	return http;
}

int64_t store_http_timeout_us(const struct store_http *http, int64_t initial_us)
{
	return http->options.adapts_timeout
		       ? call_timeout_us(&http->timeout, initial_us)
		       : initial_us;
}

SoupSession *store_http_session(struct store_http *http)
{
	return http->session;
}

/* ---- requests that are of no use any more ---- */

static void free_sending(struct sending *sending)
{
	if (sending->timer)
		g_source_remove(sending->timer);
	if (sending->stream)
		g_object_unref(sending->stream);
	g_string_free(sending->body, TRUE);
	g_object_unref(sending->message);
	g_object_unref(sending->cancel);
	g_free(sending->url);
	g_free(sending);
}

/* Freed when the cancelled call comes back. */
static void abandon(struct sending *sending)
{
	sending->http = NULL;
	sending->exchange = NULL;
	g_cancellable_cancel(sending->cancel);
}

static void drop(struct store_http_exchange *exchange)
{
	abandon(exchange->sending);
	if (exchange->dropped)
		exchange->dropped(exchange->userdata);
	g_free(exchange);
}

void store_http_cancel(struct store_http_exchange *exchange)
{
	g_hash_table_remove(exchange->http->pending, exchange);
	drop(exchange);
}

void store_http_destroy(struct store_http *http)
{
	GHashTableIter iter;
	gpointer key;

	if (!http)
		return;
	g_hash_table_iter_init(&iter, http->pending);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		drop(key);
	for (guint i = 0; i < http->overdue->len; i++)
		abandon(g_ptr_array_index(http->overdue, i));
	g_ptr_array_unref(http->overdue);
	g_hash_table_unref(http->pending);
	soup_session_abort(http->session);
	g_object_unref(http->session);
	g_free(http);
}

/* ---- the end of an exchange ---- */

static void finish_exchange(struct store_http_exchange *exchange, int error)
{
	const struct sending *sending = exchange->sending;
	struct store_http_answer answer = {
		.error = error,
		.earlier_us = exchange->sent_us - sending->sent_us,
		.size = sending->body->len,
	};

	if (!error) {
		answer.status = soup_message_get_status(sending->message);
		answer.etag = soup_message_headers_get_one(
			soup_message_get_response_headers(sending->message),
			"ETag");
		answer.body = sending->body->str;
	}
	g_hash_table_remove(exchange->http->pending, exchange);
	exchange->done(exchange->userdata, &answer);
	g_free(exchange);
}

/* The answer has ended, or will not come. */
static void finish(struct sending *sending, int error)
{
	struct store_http_exchange *exchange = sending->exchange;

	if (exchange)
		finish_exchange(exchange, error);
	else if (sending->http)
		g_ptr_array_remove(sending->http->overdue, sending);
	free_sending(sending);
}

/* ---- the time until the answer begins ---- */

static int64_t age_us(const struct sending *sending)
{
	return lp_now_us(lp_clock_boot()) - sending->sent_us;
}

static int64_t head_wait_us(const struct store_http_exchange *exchange)
{
	return exchange->wait_us +
	       store_http_timeout_us(exchange->http, exchange->timeout_us) -
	       age_us(exchange->sending);
}

static gboolean on_timeout(gpointer userdata);

static void set_timer(struct sending *sending, int64_t wait_us)
{
	if (sending->timer)
		g_source_remove(sending->timer);
	sending->timer = lp_timer_add((guint)(wait_us / LP_US_PER_MS),
				      on_timeout, sending);
}

/* Of the overdue requests, the one that was sent soonest after the one before
 * it makes room: what remains covers services of any slowness, and the first
 * one is kept as the next to be answered. */
static void thin_out_overdue(GPtrArray *overdue)
{
	guint removed = 1;
	int64_t shortest_us = INT64_MAX;

	for (guint i = 1; i < overdue->len; i++) {
		const struct sending *before =
			g_ptr_array_index(overdue, i - 1);
		const struct sending *sending = g_ptr_array_index(overdue, i);
		int64_t gap_us = sending->sent_us - before->sent_us;

		if (gap_us < shortest_us) {
			shortest_us = gap_us;
			removed = i;
		}
	}
	abandon(g_ptr_array_remove_index(overdue, removed));
}

static void await_overdue(struct sending *sending)
{
	struct store_http *http = sending->http;

	if (http->overdue->len == OVERDUE_MAX)
		thin_out_overdue(http->overdue);
	g_ptr_array_add(http->overdue, sending);
	set_timer(sending, CALL_TIMEOUT_MAX_US);
}

static void fail_overdue(struct store_http_exchange *exchange)
{
	struct sending *sending = exchange->sending;

	call_timeout_on_overdue(&sending->http->timeout);
	sending->exchange = NULL;
	await_overdue(sending);
	finish_exchange(exchange, LP_ERROR_PLATFORM_DOWN);
}

/* How long a long poll was held back is not known, so its answer tells nothing
 * of the time that the service takes. */
static bool can_learn(const struct store_http_exchange *exchange)
{
	return exchange->http->options.adapts_timeout && !exchange->wait_us;
}

static gboolean on_timeout(gpointer userdata)
{
	struct sending *sending = userdata;
	struct store_http_exchange *exchange =
		sending->stream ? NULL : sending->exchange;

	sending->timer = 0;
	if (exchange && head_wait_us(exchange) >= LP_US_PER_MS)
		set_timer(sending, head_wait_us(exchange));
	else if (exchange && can_learn(exchange))
		fail_overdue(exchange);
	else
		g_cancellable_cancel(sending->cancel);
	return G_SOURCE_REMOVE;
}

/* ---- the answer ---- */

static void read_on(struct sending *sending);

static void on_bytes(GObject *source, GAsyncResult *result, gpointer userdata)
{
	struct sending *sending = userdata;
	g_autoptr(GBytes) bytes = g_input_stream_read_bytes_finish(
		G_INPUT_STREAM(source), result, NULL);
	gsize size;
	const char *data;

	if (!bytes) {
		finish(sending, LP_ERROR_PLATFORM_DOWN);
		return;
	}
	data = g_bytes_get_data(bytes, &size);
	if (!size) {
		finish(sending, LP_OK);
		return;
	}
	g_string_append_len(sending->body, data, (gssize)size);
	sending->transfer.received += size;
	read_on(sending);
}

static void read_on(struct sending *sending)
{
	int64_t now_us = lp_now_us(lp_clock_boot());

	set_timer(sending, lp_transfer_wait_us(&sending->transfer, now_us));
	g_input_stream_read_bytes_async(sending->stream, READ_BYTES,
					G_PRIORITY_DEFAULT, sending->cancel,
					on_bytes, sending);
}

/* A refusal is quick also where an answer is not. */
static bool is_refusal(uint32_t status)
{
	return status == STATUS_TOO_MANY_REQUESTS ||
	       SOUP_STATUS_IS_SERVER_ERROR(status);
}

static void learn(const struct sending *sending)
{
	struct store_http *http = sending->http;
	bool is_overdue = !sending->exchange;

	if (is_refusal(soup_message_get_status(sending->message)) ||
	    !(is_overdue || can_learn(sending->exchange)))
		return;
	call_timeout_on_answer(&http->timeout, age_us(sending));
	if (is_overdue && http->options.late)
		http->options.late(http->options.userdata, age_us(sending));
}

/* An exchange that awaits an answer and accepts the one to this request. */
static struct store_http_exchange *find_heir(const struct sending *sending)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, sending->http->pending);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct store_http_exchange *exchange = key;

		if (exchange->accepts_earlier && !exchange->sending->stream &&
		    !strcmp(exchange->sending->url, sending->url))
			return exchange;
	}
	return NULL;
}

/* Hands the answer that begins to an exchange that accepts it, if there is one,
 * whose own request is cancelled. */
static bool hand_over(struct sending *sending)
{
	struct store_http_exchange *heir = find_heir(sending);

	if (!heir)
		return false;
	g_ptr_array_remove(sending->http->overdue, sending);
	abandon(heir->sending);
	heir->sending = sending;
	sending->exchange = heir;
	return true;
}

static void on_head(GObject *source, GAsyncResult *result, gpointer userdata)
{
	struct sending *sending = userdata;
	struct store_http_exchange *exchange;

	sending->stream =
		soup_session_send_finish(SOUP_SESSION(source), result, NULL);
	if (!sending->stream || !sending->http) {
		finish(sending, LP_ERROR_PLATFORM_DOWN);
		return;
	}
	learn(sending);
	if (!sending->exchange && !hand_over(sending)) {
		finish(sending, LP_ERROR_PLATFORM_DOWN);
		return;
	}
	exchange = sending->exchange;
	sending->transfer.begun_us = lp_now_us(lp_clock_boot());
	sending->transfer.stall_us = exchange->stall_us;
	if (exchange->begun)
		exchange->begun(exchange->userdata,
				soup_message_get_status(sending->message));
	read_on(sending);
}

/* ---- requests ---- */

static SoupMessage *create_message(const struct store_http *http,
				   const struct store_http_request *request)
{
	SoupMessage *message = soup_message_new(request->method, request->url);

	/*
	 * libsoup reuses a connection only for what it may send again when
	 * the connection turns out dead. Every exchange with the platform may
	 * be: reads are reads, and transactions compare revisions.
	 */
	soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
	/* Connections that are idle may be lost like those of overdue ones. */
	if (http->overdue->len)
		soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
	if (request->body) {
		g_autoptr(GBytes) bytes =
			g_bytes_new(request->body, strlen(request->body));

		soup_message_set_request_body_from_bytes(
			message, "application/json", bytes);
	}
	if (request->etag)
		soup_message_headers_replace(
			soup_message_get_request_headers(message),
			"If-None-Match", request->etag);
	return message;
}

static struct sending *send_request(struct store_http_exchange *exchange,
				    const struct store_http_request *request)
{
	struct sending *sending = g_new0(struct sending, 1);

	sending->http = exchange->http;
	sending->exchange = exchange;
	sending->sent_us = exchange->sent_us;
	sending->url = g_strdup(request->url);
	sending->body = g_string_new(NULL);
	sending->cancel = g_cancellable_new();
	sending->message = create_message(exchange->http, request);
	return sending;
}

struct store_http_exchange *
store_http_send(struct store_http *http,
		const struct store_http_request *request)
{
	struct store_http_exchange *exchange =
		g_new0(struct store_http_exchange, 1);

	exchange->http = http;
	exchange->sent_us = lp_now_us(lp_clock_boot());
	exchange->timeout_us =
		request->timeout_us ? request->timeout_us : DEFAULT_TIMEOUT_US;
	exchange->wait_us = request->wait_us;
	exchange->stall_us =
		request->stall_us ? request->stall_us : exchange->timeout_us;
	exchange->accepts_earlier = request->accepts_earlier;
	exchange->begun = request->begun;
	exchange->done = request->done;
	exchange->dropped = request->dropped;
	exchange->userdata = request->userdata;
	exchange->sending = send_request(exchange, request);
	set_timer(exchange->sending, head_wait_us(exchange));
	g_hash_table_add(http->pending, exchange);
	soup_session_send_async(http->session, exchange->sending->message,
				G_PRIORITY_DEFAULT, exchange->sending->cancel,
				on_head, exchange->sending);
	return exchange;
}
