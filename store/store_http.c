#include "store/store_http.h"

#include "base/lp_clock.h"
#include "base/lp_timer.h"
#include "base/lp_transfer.h"

#define DEFAULT_TIMEOUT_US (2 * LP_US_PER_S)
/* Read at once: of an answer of a megabyte, some dozen reads on a fast link. */
#define READ_BYTES 65536

struct store_http {
	SoupSession *session;
	GHashTable *pending; /* of struct store_http_exchange */
};

struct store_http_exchange {
	struct store_http *http; /* NULL once it is destroyed */
	SoupMessage *message;
	GInputStream *stream; /* NULL: the answer's head has not come */
	GString *body;	      /* what was received of it */
	GCancellable *cancel;
	struct lp_transfer transfer; /* of the body */
	guint timer;
	void (*begun)(void *userdata, uint32_t status);
	void (*done)(void *userdata, const struct store_http_answer *answer);
	void (*dropped)(void *userdata);
	void *userdata;
};

struct store_http *store_http_create(uint32_t connections)
{
	struct store_http *http = g_new0(struct store_http, 1);

	http->session = soup_session_new_with_options(
		"max-conns", (int)connections * 4, "max-conns-per-host",
		(int)connections, "proxy-resolver", NULL, NULL);
	http->pending = g_hash_table_new(g_direct_hash, g_direct_equal);
	return http;
}

/* Freed when the cancelled call comes back. */
static void drop(struct store_http_exchange *exchange)
{
	exchange->http = NULL;
	if (exchange->dropped)
		exchange->dropped(exchange->userdata);
	g_cancellable_cancel(exchange->cancel);
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
	g_hash_table_unref(http->pending);
	soup_session_abort(http->session);
	g_object_unref(http->session);
	g_free(http);
}

SoupSession *store_http_session(struct store_http *http)
{
	return http->session;
}

static void free_exchange(struct store_http_exchange *exchange)
{
	if (exchange->timer)
		g_source_remove(exchange->timer);
	if (exchange->stream)
		g_object_unref(exchange->stream);
	g_string_free(exchange->body, TRUE);
	g_object_unref(exchange->message);
	g_object_unref(exchange->cancel);
	g_free(exchange);
}

static void finish(struct store_http_exchange *exchange, int error)
{
	struct store_http_answer answer = {
		.error = error,
		.size = exchange->body->len,
	};

	if (!error) {
		answer.status = soup_message_get_status(exchange->message);
		answer.etag = soup_message_headers_get_one(
			soup_message_get_response_headers(exchange->message),
			"ETag");
		answer.body = exchange->body->str;
	}
	if (exchange->http) {
		g_hash_table_remove(exchange->http->pending, exchange);
		exchange->done(exchange->userdata, &answer);
	}
	free_exchange(exchange);
}

static gboolean on_timeout(gpointer userdata)
{
	struct store_http_exchange *exchange = userdata;

	exchange->timer = 0;
	g_cancellable_cancel(exchange->cancel);
	return G_SOURCE_REMOVE;
}

static void set_timer(struct store_http_exchange *exchange, int64_t wait_us)
{
	if (exchange->timer)
		g_source_remove(exchange->timer);
	exchange->timer = lp_timer_add((guint)(wait_us / LP_US_PER_MS),
				       on_timeout, exchange);
}

static void read_on(struct store_http_exchange *exchange);

static void on_bytes(GObject *source, GAsyncResult *result, gpointer userdata)
{
	struct store_http_exchange *exchange = userdata;
	g_autoptr(GBytes) bytes = g_input_stream_read_bytes_finish(
		G_INPUT_STREAM(source), result, NULL);
	gsize size;
	const char *data;

	if (!bytes) {
		finish(exchange, LP_ERROR_PLATFORM_DOWN);
		return;
	}
	data = g_bytes_get_data(bytes, &size);
	if (!size) {
		finish(exchange, LP_OK);
		return;
	}
	g_string_append_len(exchange->body, data, (gssize)size);
	exchange->transfer.received += size;
	read_on(exchange);
}

static void read_on(struct store_http_exchange *exchange)
{
	int64_t now_us = lp_now_us(lp_clock_boot());

	set_timer(exchange, lp_transfer_wait_us(&exchange->transfer, now_us));
	g_input_stream_read_bytes_async(exchange->stream, READ_BYTES,
					G_PRIORITY_DEFAULT, exchange->cancel,
					on_bytes, exchange);
}

static void on_head(GObject *source, GAsyncResult *result, gpointer userdata)
{
	struct store_http_exchange *exchange = userdata;

	exchange->stream =
		soup_session_send_finish(SOUP_SESSION(source), result, NULL);
	if (!exchange->stream) {
		finish(exchange, LP_ERROR_PLATFORM_DOWN);
		return;
	}
	exchange->transfer.begun_us = lp_now_us(lp_clock_boot());
	if (exchange->http && exchange->begun)
		exchange->begun(exchange->userdata,
				soup_message_get_status(exchange->message));
	read_on(exchange);
}

struct store_http_exchange *
store_http_send(struct store_http *http,
		const struct store_http_request *request)
{
	struct store_http_exchange *exchange =
		g_new0(struct store_http_exchange, 1);
	int64_t timeout_us =
		request->timeout_us ? request->timeout_us : DEFAULT_TIMEOUT_US;

	exchange->http = http;
	exchange->begun = request->begun;
	exchange->done = request->done;
	exchange->dropped = request->dropped;
	exchange->userdata = request->userdata;
	exchange->body = g_string_new(NULL);
	exchange->cancel = g_cancellable_new();
	exchange->message = soup_message_new(request->method, request->url);
	/*
	 * libsoup reuses a connection only for what it may send again when
	 * the connection turns out dead. Every exchange with the platform may
	 * be: reads are reads, and transactions compare revisions.
	 */
	soup_message_add_flags(exchange->message, SOUP_MESSAGE_IDEMPOTENT);
	if (request->body) {
		g_autoptr(GBytes) bytes =
			g_bytes_new(request->body, strlen(request->body));

		soup_message_set_request_body_from_bytes(
			exchange->message, "application/json", bytes);
	}
	if (request->etag)
		soup_message_headers_replace(
			soup_message_get_request_headers(exchange->message),
			"If-None-Match", request->etag);
	exchange->transfer.stall_us =
		request->stall_us ? request->stall_us : timeout_us;
	set_timer(exchange, timeout_us);
	g_hash_table_add(http->pending, exchange);
	soup_session_send_async(http->session, exchange->message,
				G_PRIORITY_DEFAULT, exchange->cancel, on_head,
				exchange);
	return exchange;
}
