#include "http/http_client.h"

#include "base/lp_clock.h"
#include "base/lp_timer.h"

#include <string.h>

/* Bodies up to this size are written together with the head. */
#define SMALL_BODY_MAX 16384
/* Limit of an answer's head while memory is short. */
#define HEAD_BYTES_MIN 8192

struct http_exchange {
	struct http_sock *sock;
	struct http_parse parse;
	struct http_holding held;
	const struct http_exchange_events *events;
	void (*delivery)(void *userdata, const struct http_delivery *delivery);
	void (*excess)(void *userdata, const struct http_excess *excess);
	void *userdata;
	guint connect_timer;
	/* the parts of the body in one read */
	const char *body; /* the first one */
	size_t body_size;
	GByteArray *joined_body; /* all, if there are more; otherwise NULL */
	bool parsing;	/* it must not be freed, as the parser, or a callback
			   of it, is running */
	bool cancelled; /* free after parsing */
};

static void free_exchange(struct http_exchange *exchange)
{
	http_holding_set(&exchange->held, 0);
	http_parse_clear(&exchange->parse);
	g_free(exchange);
}

static void close_exchange(struct http_exchange *exchange)
{
	if (exchange->connect_timer)
		g_source_remove(exchange->connect_timer);
	exchange->connect_timer = 0;
	http_sock_abort(exchange->sock);
}

static void finish_exchange(struct http_exchange *exchange, int error)
{
	bool sent = http_sock_has_sent(exchange->sock);

	close_exchange(exchange);
	exchange->events->done(exchange->userdata, error, sent);
	free_exchange(exchange);
}

static gboolean on_connect_timeout(gpointer userdata)
{
	struct http_exchange *exchange = userdata;

	exchange->connect_timer = 0;
	finish_exchange(exchange, LP_ERROR_UPSTREAM_GONE);
	return G_SOURCE_REMOVE;
}

static void on_connected(void *userdata)
{
	struct http_exchange *exchange = userdata;

	g_source_remove(exchange->connect_timer);
	exchange->connect_timer = 0;
}

static void on_head(void *userdata)
{
	struct http_exchange *exchange = userdata;

	if (!exchange->cancelled)
		exchange->events->head(exchange->userdata,
				       exchange->parse.parser.status_code,
				       &exchange->parse.fields);
}

static void on_body(void *userdata, const char *bytes, size_t size)
{
	struct http_exchange *exchange = userdata;

	if (!exchange->body_size) {
		exchange->body = bytes;
		exchange->body_size = size;
		return;
	}
	if (!exchange->joined_body) {
		exchange->joined_body = g_byte_array_new();
		g_byte_array_append(exchange->joined_body,
				    (const guint8 *)exchange->body,
				    (guint)exchange->body_size);
	}
	g_byte_array_append(exchange->joined_body, (const guint8 *)bytes,
			    (guint)size);
}

/* Reports the body of one read at once: receivers do as much for a part of a
 * few bytes as for a whole read. */
static void report_body(struct http_exchange *exchange)
{
	g_autoptr(GByteArray) joined = g_steal_pointer(&exchange->joined_body);
	const char *bytes =
		joined ? (const char *)joined->data : exchange->body;
	size_t size = joined ? joined->len : exchange->body_size;

	exchange->body_size = 0;
	if (size && !exchange->cancelled)
		exchange->events->body(exchange->userdata, bytes, size);
}

static void finish_oversized(struct http_exchange *exchange)
{
	if (exchange->excess)
		exchange->excess(exchange->userdata, &exchange->parse.excess);
	finish_exchange(exchange, LP_ERROR_ANSWER_TOO_LARGE);
}

static int parse_answer(struct http_exchange *exchange, const char *bytes,
			size_t size)
{
	struct http_parse *parse = &exchange->parse;
	size_t used;
	int error;

	parse->head_bytes_max = (size_t)http_memory_share(
		exchange->held.memory, HEAD_BYTES_MIN, HTTP_HEAD_BYTES_MAX);
	exchange->parsing = true;
	error = http_parse_feed(parse, bytes, size, &used);
	http_holding_set(&exchange->held, http_parse_held_bytes(parse));
	report_body(exchange);
	exchange->parsing = false;
	return error;
}

/* Bytes after a complete answer are not read: the connection is closed. */
static void on_data(void *userdata, const char *bytes, size_t size)
{
	struct http_exchange *exchange = userdata;
	int error = parse_answer(exchange, bytes, size);

	if (exchange->cancelled)
		free_exchange(exchange);
	else if (error == LP_ERROR_TOO_LARGE)
		finish_oversized(exchange);
	else if (error)
		finish_exchange(exchange, LP_ERROR_PROTOCOL);
	else if (exchange->parse.is_complete)
		finish_exchange(exchange, LP_OK);
}

static void on_ended(void *userdata, int error)
{
	struct http_exchange *exchange = userdata;

	if (!error) {
		exchange->parsing = true;
		http_parse_end(&exchange->parse);
		exchange->parsing = false;
	}
	if (exchange->cancelled)
		free_exchange(exchange);
	else if (exchange->parse.is_complete)
		finish_exchange(exchange, LP_OK);
	else
		finish_exchange(exchange,
				error ? error : LP_ERROR_UPSTREAM_GONE);
}

static const struct http_sock_events sock_events = {
	.connected = on_connected,
	.data = on_data,
	.ended = on_ended,
};

static void on_delivery(void *userdata, const struct http_delivery *delivery)
{
	struct http_exchange *exchange = userdata;

	if (exchange->delivery)
		exchange->delivery(exchange->userdata, delivery);
}

static const struct http_sock_watch sock_watch = {
	.delivery = on_delivery,
};

/* A large body is not copied, as the system takes most of it at once. */
static void write_request(struct http_exchange *exchange,
			  const struct http_exchange_options *options)
{
	bool is_small = options->body_size <= SMALL_BODY_MAX;
	g_autoptr(GString) text =
		g_string_sized_new(512 + (is_small ? options->body_size : 0));

	g_string_printf(text, "%s %s HTTP/1.1\r\n", options->method,
			options->target);
	http_fields_print(options->fields, text);
	if (options->has_body)
		g_string_append_printf(text, "Content-Length: %zu\r\n",
				       options->body_size);
	g_string_append(text, "Connection: close\r\n\r\n");
	if (options->body_size && is_small)
		g_string_append_len(text, options->body,
				    (gssize)options->body_size);
	http_sock_write(exchange->sock, text->str, text->len);
	if (!is_small)
		http_sock_write(exchange->sock, options->body,
				options->body_size);
}

struct http_exchange *
http_exchange_start(const struct http_exchange_options *options)
{
	struct http_exchange *exchange = g_new0(struct http_exchange, 1);

	exchange->sock =
		http_sock_connect(options->address, &sock_events, exchange);
	if (!exchange->sock) {
		g_free(exchange);
		return NULL;
	}
	if (options->receive_buffer_bytes)
		http_sock_set_receive_buffer(exchange->sock,
					     options->receive_buffer_bytes);
	http_sock_set_watch(exchange->sock, &sock_watch);
	exchange->events = options->events;
	exchange->delivery = options->delivery;
	exchange->excess = options->excess;
	exchange->userdata = options->userdata;
	exchange->held.memory = options->memory;
	http_parse_init(&exchange->parse, HTTP_RESPONSE);
	exchange->parse.no_body = !strcmp(options->method, "HEAD");
	exchange->parse.head = on_head;
	exchange->parse.body = on_body;
	exchange->parse.userdata = exchange;
	exchange->connect_timer = lp_timer_add(
		(guint)(options->connect_timeout_us / LP_US_PER_MS),
		on_connect_timeout, exchange);
	write_request(exchange, options);
	return exchange;
}

void http_exchange_cancel(struct http_exchange *exchange)
{
	close_exchange(exchange);
	if (exchange->parsing)
		exchange->cancelled = true;
	else
		free_exchange(exchange);
}

void http_exchange_pause(struct http_exchange *exchange, bool pause)
{
	http_sock_pause(exchange->sock, pause);
}

void http_exchange_probe_peer(struct http_exchange *exchange)
{
	http_sock_probe_peer(exchange->sock);
}

int64_t http_exchange_blocked_bytes(const struct http_exchange *exchange)
{
	return http_sock_blocked_bytes(exchange->sock);
}

bool http_exchange_has_sent(const struct http_exchange *exchange)
{
	return http_sock_has_sent(exchange->sock);
}
