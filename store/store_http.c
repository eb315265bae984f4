#include "store/store_http.h"

#include "base/lp_clock.h"

#define DEFAULT_TIMEOUT_US (2 * LP_US_PER_S)

struct store_http {
	SoupSession *session;
	GHashTable *pending; /* of struct exchange */
};

struct exchange {
	struct store_http *http; /* NULL once it is destroyed */
	SoupMessage *message;
	GCancellable *cancel;
	guint timer;
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

void store_http_destroy(struct store_http *http)
{
	GHashTableIter iter;
	gpointer key;

	if (!http)
		return;
	g_hash_table_iter_init(&iter, http->pending);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct exchange *exchange = key;

		exchange->http = NULL;
		if (exchange->dropped)
			exchange->dropped(exchange->userdata);
		g_cancellable_cancel(exchange->cancel);
	}
	g_hash_table_unref(http->pending);
	soup_session_abort(http->session);
	g_object_unref(http->session);
	g_free(http);
}

SoupSession *store_http_session(struct store_http *http)
{
	return http->session;
}

static void free_exchange(struct exchange *exchange)
{
	if (exchange->timer)
		g_source_remove(exchange->timer);
	g_object_unref(exchange->message);
	g_object_unref(exchange->cancel);
	g_free(exchange);
}

static void on_answer(GObject *source, GAsyncResult *result, gpointer userdata)
{
	struct exchange *exchange = userdata;
	struct store_http_answer answer = { 0 };
	g_autoptr(GError) gerror = NULL;
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(source),
							  result, &gerror);
	g_autofree char *text = NULL;

	if (bytes) {
		gsize size;
		const char *data = g_bytes_get_data(bytes, &size);

		text = g_strndup(data ? data : "", size);
		answer.status = soup_message_get_status(exchange->message);
		answer.etag = soup_message_headers_get_one(
			soup_message_get_response_headers(exchange->message),
			"ETag");
		answer.body = text;
		answer.size = size;
		g_bytes_unref(bytes);
	} else {
		answer.error = LP_ERROR_PLATFORM_DOWN;
	}
	if (exchange->http) {
		g_hash_table_remove(exchange->http->pending, exchange);
		exchange->done(exchange->userdata, &answer);
	}
	free_exchange(exchange);
}

static gboolean on_timeout(gpointer userdata)
{
	struct exchange *exchange = userdata;

	exchange->timer = 0;
	g_cancellable_cancel(exchange->cancel);
	return G_SOURCE_REMOVE;
}

void store_http_send(struct store_http *http,
		     const struct store_http_request *request)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	int64_t timeout_us =
		request->timeout_us ? request->timeout_us : DEFAULT_TIMEOUT_US;

	exchange->http = http;
	exchange->done = request->done;
	exchange->dropped = request->dropped;
	exchange->userdata = request->userdata;
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
	exchange->timer = g_timeout_add((guint)(timeout_us / LP_US_PER_MS),
					on_timeout, exchange);
	g_hash_table_add(http->pending, exchange);
	soup_session_send_and_read_async(http->session, exchange->message,
					 G_PRIORITY_DEFAULT, exchange->cancel,
					 on_answer, exchange);
}
