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
	GPtrArray *overdue;  /* of struct attempt whose exchange has failed */
	struct call_timeout timeout;
};

/* One request that was sent for an exchange, and its answer. */
struct attempt {
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
	struct attempt *attempt;
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
	if (!http->options.answer_bytes_max)
		http->options.answer_bytes_max = STORE_HTTP_ANSWER_BYTES_MAX;
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

static void free_attempt(struct attempt *attempt)
{
	if (attempt->timer)
		g_source_remove(attempt->timer);
	if (attempt->stream)
		g_object_unref(attempt->stream);
	g_string_free(attempt->body, TRUE);
	g_object_unref(attempt->message);
	g_object_unref(attempt->cancel);
	g_free(attempt->url);
	g_free(attempt);
}

/* Freed when the cancelled call comes back. */
static void abandon(struct attempt *attempt)
{
	attempt->http = NULL;
	attempt->exchange = NULL;
	g_cancellable_cancel(attempt->cancel);
}

static void drop(struct store_http_exchange *exchange)
{
	abandon(exchange->attempt);
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

static const char *answer_field(const struct attempt *attempt, const char *name)
{
	SoupMessageHeaders *fields =
		soup_message_get_response_headers(attempt->message);

	return name ? soup_message_headers_get_one(fields, name) : NULL;
}

static void finish_exchange(struct store_http_exchange *exchange, int error)
{
	const struct attempt *attempt = exchange->attempt;
	struct store_http_answer answer = {
		.error = error,
		.earlier_us = exchange->sent_us - attempt->sent_us,
		.size = attempt->body->len,
	};

	if (!error) {
		answer.status = soup_message_get_status(attempt->message);
		answer.etag = answer_field(attempt, "ETag");
		answer.era = answer_field(attempt,
					  exchange->http->options.era_field);
		answer.body = attempt->body->str;
	}
	g_hash_table_remove(exchange->http->pending, exchange);
	exchange->done(exchange->userdata, &answer);
	g_free(exchange);
}

/* The answer has ended, or will not come. */
static void finish(struct attempt *attempt, int error)
{
	struct store_http_exchange *exchange = attempt->exchange;

	if (exchange)
		finish_exchange(exchange, error);
	else if (attempt->http)
		g_ptr_array_remove(attempt->http->overdue, attempt);
	free_attempt(attempt);
}

/* ---- the time until the answer begins ---- */

static int64_t age_us(const struct attempt *attempt)
{
	return lp_now_us(lp_clock_boot()) - attempt->sent_us;
}

static int64_t head_wait_us(const struct store_http_exchange *exchange)
{
	return exchange->wait_us +
	       store_http_timeout_us(exchange->http, exchange->timeout_us) -
	       age_us(exchange->attempt);
}

static gboolean on_timeout(gpointer userdata);

static void set_timer(struct attempt *attempt, int64_t wait_us)
{
	if (attempt->timer)
		g_source_remove(attempt->timer);
	attempt->timer = lp_timer_add((guint)(wait_us / LP_US_PER_MS),
				      on_timeout, attempt);
}

/* Of the overdue requests, the one that was sent soonest after the one before
 * it makes room: what remains covers services of any slowness, and the first
 * one is kept as the next to be answered. */
static void thin_out_overdue(GPtrArray *overdue)
{
	guint removed = 1;
	int64_t shortest_us = INT64_MAX;

	for (guint i = 1; i < overdue->len; i++) {
		const struct attempt *before =
			g_ptr_array_index(overdue, i - 1);
		const struct attempt *attempt = g_ptr_array_index(overdue, i);
		int64_t gap_us = attempt->sent_us - before->sent_us;

		if (gap_us < shortest_us) {
			shortest_us = gap_us;
			removed = i;
		}
	}
	abandon(g_ptr_array_remove_index(overdue, removed));
}

static void await_overdue(struct attempt *attempt)
{
	struct store_http *http = attempt->http;

	if (http->overdue->len == OVERDUE_MAX)
		thin_out_overdue(http->overdue);
	g_ptr_array_add(http->overdue, attempt);
	set_timer(attempt, CALL_TIMEOUT_MAX_US);
}

static void fail_overdue(struct store_http_exchange *exchange)
{
	struct attempt *attempt = exchange->attempt;

	call_timeout_on_overdue(&attempt->http->timeout);
	attempt->exchange = NULL;
	await_overdue(attempt);
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
	struct attempt *attempt = userdata;
	struct store_http_exchange *exchange =
		attempt->stream ? NULL : attempt->exchange;

	attempt->timer = 0;
	if (exchange && head_wait_us(exchange) >= LP_US_PER_MS)
		set_timer(attempt, head_wait_us(exchange));
	else if (exchange && can_learn(exchange))
		fail_overdue(exchange);
	else
		g_cancellable_cancel(attempt->cancel);
	return G_SOURCE_REMOVE;
}

/* ---- the answer ---- */

static void read_on(struct attempt *attempt);

static void on_bytes(GObject *source, GAsyncResult *result, gpointer userdata)
{
	struct attempt *attempt = userdata;
	g_autoptr(GBytes) bytes = g_input_stream_read_bytes_finish(
		G_INPUT_STREAM(source), result, NULL);
	gsize size;
	const char *data;

	if (!bytes) {
		finish(attempt, LP_ERROR_PLATFORM_DOWN);
		return;
	}
	data = g_bytes_get_data(bytes, &size);
	if (!size) {
		finish(attempt, LP_OK);
		return;
	}
	g_string_append_len(attempt->body, data, (gssize)size);
	if (attempt->http &&
	    attempt->body->len > attempt->http->options.answer_bytes_max) {
		finish(attempt, LP_ERROR_ANSWER_TOO_LARGE);
		return;
	}
	attempt->transfer.received += size;
	read_on(attempt);
}

static void read_on(struct attempt *attempt)
{
	int64_t now_us = lp_now_us(lp_clock_boot());

	set_timer(attempt, lp_transfer_wait_us(&attempt->transfer, now_us));
	g_input_stream_read_bytes_async(attempt->stream, READ_BYTES,
					G_PRIORITY_DEFAULT, attempt->cancel,
					on_bytes, attempt);
}

/* A refusal is quick also where an answer is not. */
static bool is_refusal(uint32_t status)
{
	return status == STATUS_TOO_MANY_REQUESTS ||
	       SOUP_STATUS_IS_SERVER_ERROR(status);
}

static void learn(const struct attempt *attempt)
{
	struct store_http *http = attempt->http;
	bool is_overdue = !attempt->exchange;

	if (is_refusal(soup_message_get_status(attempt->message)) ||
	    !(is_overdue || can_learn(attempt->exchange)))
		return;
	call_timeout_on_answer(&http->timeout, age_us(attempt));
	if (is_overdue && http->options.late)
		http->options.late(http->options.userdata, age_us(attempt));
}

/* An exchange that awaits an answer and accepts the one to this request. */
static struct store_http_exchange *find_waiting(const struct attempt *attempt)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, attempt->http->pending);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct store_http_exchange *exchange = key;

		if (exchange->accepts_earlier && !exchange->attempt->stream &&
		    !strcmp(exchange->attempt->url, attempt->url))
			return exchange;
	}
	return NULL;
}

/* Gives the answer that begins to an exchange that accepts it, if there is one;
 * that exchange's own request is cancelled. */
static bool reassign(struct attempt *attempt)
{
	struct store_http_exchange *exchange = find_waiting(attempt);

	if (!exchange)
		return false;
	g_ptr_array_remove(attempt->http->overdue, attempt);
	abandon(exchange->attempt);
	exchange->attempt = attempt;
	attempt->exchange = exchange;
	return true;
}

static void on_head(GObject *source, GAsyncResult *result, gpointer userdata)
{
	struct attempt *attempt = userdata;
	struct store_http_exchange *exchange;

	attempt->stream =
		soup_session_send_finish(SOUP_SESSION(source), result, NULL);
	if (!attempt->stream || !attempt->http) {
		finish(attempt, LP_ERROR_PLATFORM_DOWN);
		return;
	}
	learn(attempt);
	if (!attempt->exchange && !reassign(attempt)) {
		finish(attempt, LP_ERROR_PLATFORM_DOWN);
		return;
	}
	exchange = attempt->exchange;
	attempt->transfer.begun_us = lp_now_us(lp_clock_boot());
	attempt->transfer.stall_us = exchange->stall_us;
	if (exchange->begun)
		exchange->begun(exchange->userdata,
				soup_message_get_status(attempt->message));
	read_on(attempt);
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

static struct attempt *create_attempt(struct store_http_exchange *exchange,
				      const struct store_http_request *request)
{
	struct attempt *attempt = g_new0(struct attempt, 1);

	attempt->http = exchange->http;
	attempt->exchange = exchange;
	attempt->sent_us = exchange->sent_us;
	attempt->url = g_strdup(request->url);
	attempt->body = g_string_new(NULL);
	attempt->cancel = g_cancellable_new();
	attempt->message = create_message(exchange->http, request);
	return attempt;
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
	exchange->attempt = create_attempt(exchange, request);
	set_timer(exchange->attempt, head_wait_us(exchange));
	g_hash_table_add(http->pending, exchange);
	soup_session_send_async(http->session, exchange->attempt->message,
				G_PRIORITY_DEFAULT, exchange->attempt->cancel,
				on_head, exchange->attempt);
	return exchange;
}
