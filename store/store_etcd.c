#include "store/store_etcd.h"

#include "base/lp_json.h"
#include "base/lp_timer.h"
#include "policy/bucket.h"
#include "store/store_http.h"

#include <string.h>

#define DEFAULT_CALLS_PER_S 20.0
#define DEFAULT_BURST 20.0
#define CONNECTIONS 4

struct etcd {
	struct store_kv base;
	struct store_etcd_options options;
	char *url;
	struct store_http *http;
	struct bucket budget;
	GQueue waiting; /* of struct call, past the budget */
	guint timer;
	/* the watch */
	GCancellable *watch_cancel;
	GDataInputStream *watch_stream;
	void (*watch_changed)(void *userdata, const struct store_pair *pair);
	void (*watch_ended)(void *userdata, int error);
	void *watch_userdata;
};

struct call {
	struct etcd *etcd;
	char *path;
	char *body;
	void (*done)(void *userdata, const struct store_answer *answer);
	void *userdata;
};

static void free_call(struct call *call)
{
	g_free(call->path);
	g_free(call->body);
	g_free(call);
}

static void drop_call(void *userdata)
{
	free_call(userdata);
}

/* ---- JSON ---- */

static void add_b64(JsonBuilder *builder, const char *name, const char *text)
{
	g_autofree char *encoded =
		g_base64_encode((const guchar *)text, strlen(text));

	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, encoded);
}

/* The gateway writes 64-bit numbers as strings. */
static void add_int64(JsonBuilder *builder, const char *name, int64_t value)
{
	g_autofree char *text =
		g_strdup_printf("%" G_GINT64_FORMAT, (gint64)value);

	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, text);
}

static char *decode_b64(const char *encoded)
{
	gsize size;
	guchar *data = g_base64_decode(encoded, &size);
	char *text = g_strndup((const char *)data, size);

	g_free(data);
	return text;
}

static int64_t get_int64(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE(node))
		return 0;
	if (json_node_get_value_type(node) == G_TYPE_STRING)
		return g_ascii_strtoll(json_node_get_string(node), NULL, 10);
	return json_node_get_int(node);
}

static void parse_pair(JsonObject *object, struct store_pair *pair)
{
	pair->key = decode_b64(
		json_object_get_string_member_with_default(object, "key", ""));
	pair->value = decode_b64(json_object_get_string_member_with_default(
		object, "value", ""));
	pair->value_size = strlen(pair->value);
	pair->create_revision = get_int64(object, "create_revision");
	pair->mod_revision = get_int64(object, "mod_revision");
}

static void clear_pair(gpointer data)
{
	struct store_pair *pair = data;

	g_free(pair->key);
	g_free(pair->value);
}

static void add_kvs(JsonObject *object, GArray *pairs)
{
	JsonArray *kvs;

	if (!object || !json_object_has_member(object, "kvs"))
		return;
	kvs = json_object_get_array_member(object, "kvs");
	for (guint i = 0; i < json_array_get_length(kvs); i++) {
		struct store_pair pair = { 0 };

		parse_pair(json_array_get_object_element(kvs, i), &pair);
		g_array_append_val(pairs, pair);
	}
}

static void add_responses(JsonObject *root, GArray *pairs)
{
	JsonArray *responses;

	if (!json_object_has_member(root, "responses"))
		return;
	responses = json_object_get_array_member(root, "responses");
	for (guint i = 0; i < json_array_get_length(responses); i++) {
		JsonObject *item = json_array_get_object_element(responses, i);

		if (json_object_has_member(item, "response_range"))
			add_kvs(json_object_get_object_member(item,
							      "response_range"),
				pairs);
	}
}

static void on_answer(void *userdata, const struct store_http_answer *http)
{
	struct call *call = userdata;
	struct store_answer answer = { .error = http->error };
	g_autoptr(JsonParser) parser = json_parser_new();
	GArray *pairs = g_array_new(FALSE, TRUE, sizeof(struct store_pair));
	JsonObject *root = NULL;

	g_array_set_clear_func(pairs, clear_pair);
	if (!http->error && http->status == SOUP_STATUS_OK)
		root = lp_json_read(parser, http->body);
	if (root) {
		add_kvs(root, pairs);
		add_responses(root, pairs);
		answer.succeeded = json_object_get_boolean_member_with_default(
			root, "succeeded", FALSE);
		answer.lease = get_int64(root, "ID");
		answer.pairs = (struct store_pair *)pairs->data;
		answer.pairs_count = pairs->len;
	} else {
		answer.error = LP_ERROR_PLATFORM_DOWN;
		*lp_counter(call->etcd->options.counters,
			    "linepier_kv_failures_total", NULL) += 1;
	}
	call->done(call->userdata, &answer);
	g_array_unref(pairs);
	free_call(call);
}

/* ---- the budget ---- */

static void send_call(struct call *call)
{
	struct etcd *etcd = call->etcd;
	g_autofree char *url = g_strconcat(etcd->url, call->path, NULL);
	const struct store_http_request request = {
		.method = "POST",
		.url = url,
		.body = call->body,
		.timeout_us = etcd->options.timeout_us,
		.done = on_answer,
		.dropped = drop_call,
		.userdata = call,
	};

	store_http_send(etcd->http, &request);
}

static gboolean on_budget(gpointer userdata);

static void run_waiting(struct etcd *etcd)
{
	int64_t now_us = lp_now_us(etcd->options.clock);
	struct call *call;
	guint wait_ms;

	while ((call = g_queue_peek_head(&etcd->waiting)) &&
	       bucket_take(&etcd->budget, now_us)) {
		g_queue_pop_head(&etcd->waiting);
		send_call(call);
	}
	if (g_queue_is_empty(&etcd->waiting) || etcd->timer)
		return;
	wait_ms =
		(guint)(bucket_wait_us(&etcd->budget, now_us) / LP_US_PER_MS) +
		1;
	etcd->timer = lp_timer_add(wait_ms, on_budget, etcd);
}

static gboolean on_budget(gpointer userdata)
{
	struct etcd *etcd = userdata;

	etcd->timer = 0;
	run_waiting(etcd);
	return G_SOURCE_REMOVE;
}

static void count_call(struct etcd *etcd, const char *purpose)
{
	g_autofree char *labels = g_strdup_printf("purpose=\"%s\"", purpose);

	*lp_counter(etcd->options.counters, "linepier_kv_calls_total",
		    labels) += 1;
}

static void
add_call(struct etcd *etcd, const char *purpose, const char *path, char *body,
	 void (*done)(void *userdata, const struct store_answer *answer),
	 void *userdata)
{
	struct call *call = g_new0(struct call, 1);

	call->etcd = etcd;
	call->path = g_strdup(path);
	call->body = body;
	call->done = done;
	call->userdata = userdata;
	count_call(etcd, purpose);
	g_queue_push_tail(&etcd->waiting, call);
	run_waiting(etcd);
}

/* ---- the calls ---- */

/* The end of a prefix range: the last byte plus one. */
static char *prefix_end(const char *key)
{
	char *end = g_strdup(key);

	end[strlen(end) - 1] += 1;
	return end;
}

static void etcd_range(struct store_kv *kv, const char *purpose,
		       const char *key, bool prefix,
		       void (*done)(void *userdata,
				    const struct store_answer *answer),
		       void *userdata)
{
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autofree char *end = prefix ? prefix_end(key) : NULL;

	json_builder_begin_object(builder);
	add_b64(builder, "key", key);
	if (end)
		add_b64(builder, "range_end", end);
	json_builder_end_object(builder);
	add_call((struct etcd *)kv, purpose, "/v3/kv/range",
		 lp_json_print(builder), done, userdata);
}

static void add_compares(JsonBuilder *builder, const struct store_txn *txn)
{
	json_builder_set_member_name(builder, "compare");
	json_builder_begin_array(builder);
	for (uint32_t i = 0; i < txn->compares_count; i++) {
		json_builder_begin_object(builder);
		add_b64(builder, "key", txn->compares[i].key);
		lp_json_text(builder, "target", "MOD");
		lp_json_text(builder, "result", "EQUAL");
		add_int64(builder, "mod_revision",
			  txn->compares[i].mod_revision);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static void add_puts(JsonBuilder *builder, const struct store_txn *txn)
{
	json_builder_set_member_name(builder, "success");
	json_builder_begin_array(builder);
	for (uint32_t i = 0; i < txn->puts_count; i++) {
		json_builder_begin_object(builder);
		json_builder_set_member_name(builder, "request_put");
		json_builder_begin_object(builder);
		add_b64(builder, "key", txn->puts[i].key);
		add_b64(builder, "value", txn->puts[i].value);
		if (txn->puts[i].lease)
			add_int64(builder, "lease", txn->puts[i].lease);
		json_builder_end_object(builder);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static void add_reads(JsonBuilder *builder, const struct store_txn *txn)
{
	json_builder_set_member_name(builder, "failure");
	json_builder_begin_array(builder);
	for (uint32_t i = 0; i < txn->reads_count; i++) {
		json_builder_begin_object(builder);
		json_builder_set_member_name(builder, "request_range");
		json_builder_begin_object(builder);
		add_b64(builder, "key", txn->reads[i]);
		json_builder_end_object(builder);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static void
etcd_txn(struct store_kv *kv, const char *purpose, const struct store_txn *txn,
	 void (*done)(void *userdata, const struct store_answer *answer),
	 void *userdata)
{
	g_autoptr(JsonBuilder) builder = json_builder_new();

	json_builder_begin_object(builder);
	add_compares(builder, txn);
	add_puts(builder, txn);
	add_reads(builder, txn);
	json_builder_end_object(builder);
	add_call((struct etcd *)kv, purpose, "/v3/kv/txn",
		 lp_json_print(builder), done, userdata);
}

static void etcd_lease_grant(struct store_kv *kv, const char *purpose,
			     int64_t ttl_s,
			     void (*done)(void *userdata,
					  const struct store_answer *answer),
			     void *userdata)
{
	g_autoptr(JsonBuilder) builder = json_builder_new();

	json_builder_begin_object(builder);
	add_int64(builder, "TTL", ttl_s);
	json_builder_end_object(builder);
	add_call((struct etcd *)kv, purpose, "/v3/lease/grant",
		 lp_json_print(builder), done, userdata);
}

/* ---- the watch ---- */

static void end_watch(struct etcd *etcd, int error)
{
	void (*ended)(void *userdata, int error) = etcd->watch_ended;

	g_clear_object(&etcd->watch_stream);
	g_clear_object(&etcd->watch_cancel);
	etcd->watch_ended = NULL;
	if (ended && error)
		ended(etcd->watch_userdata, error);
}

static void deliver_events(struct etcd *etcd, const char *line)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *root = lp_json_read(parser, line);
	JsonObject *result;
	JsonArray *events;

	if (!root || !json_object_has_member(root, "result"))
		return;
	result = json_object_get_object_member(root, "result");
	if (!json_object_has_member(result, "events"))
		return;
	events = json_object_get_array_member(result, "events");
	for (guint i = 0; i < json_array_get_length(events); i++) {
		JsonObject *event = json_array_get_object_element(events, i);
		struct store_pair pair = { 0 };

		if (!json_object_has_member(event, "kv"))
			continue;
		parse_pair(json_object_get_object_member(event, "kv"), &pair);
		etcd->watch_changed(etcd->watch_userdata, &pair);
		clear_pair(&pair);
	}
}

static void on_watch_line(GObject *source, GAsyncResult *result,
			  gpointer userdata)
{
	struct etcd *etcd;
	g_autoptr(GError) gerror = NULL;
	g_autofree char *line = g_data_input_stream_read_line_finish(
		G_DATA_INPUT_STREAM(source), result, NULL, &gerror);

	/* Cancelled: the client may be gone, so it is not looked at. */
	if (g_error_matches(gerror, G_IO_ERROR, G_IO_ERROR_CANCELLED))
		return;
	etcd = userdata;
	if (!line) {
		end_watch(etcd, LP_ERROR_PLATFORM_DOWN);
		return;
	}
	deliver_events(etcd, line);
	if (etcd->watch_stream)
		g_data_input_stream_read_line_async(
			etcd->watch_stream, G_PRIORITY_DEFAULT,
			etcd->watch_cancel, on_watch_line, etcd);
}

static void on_watch_open(GObject *source, GAsyncResult *result,
			  gpointer userdata)
{
	struct etcd *etcd;
	g_autoptr(GError) gerror = NULL;
	GInputStream *stream =
		soup_session_send_finish(SOUP_SESSION(source), result, &gerror);

	if (g_error_matches(gerror, G_IO_ERROR, G_IO_ERROR_CANCELLED))
		return;
	etcd = userdata;
	if (!stream) {
		end_watch(etcd, LP_ERROR_PLATFORM_DOWN);
		return;
	}
	etcd->watch_stream = g_data_input_stream_new(stream);
	g_object_unref(stream);
	g_data_input_stream_read_line_async(
		etcd->watch_stream, G_PRIORITY_DEFAULT, etcd->watch_cancel,
		on_watch_line, etcd);
}

static void etcd_unwatch(struct store_kv *kv)
{
	struct etcd *etcd = (struct etcd *)kv;

	if (etcd->watch_cancel)
		g_cancellable_cancel(etcd->watch_cancel);
	end_watch(etcd, LP_OK);
}

/* Its answer is one stream without an end. */
static bool etcd_watch_waits(const struct store_kv *kv)
{
	const struct etcd *etcd = (const struct etcd *)kv;

	return etcd->watch_cancel != NULL;
}

static void etcd_watch(struct store_kv *kv, const char *purpose,
		       const struct store_watch *watch)
{
	struct etcd *etcd = (struct etcd *)kv;
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autoptr(SoupMessage) message = NULL;
	g_autofree char *url = g_strconcat(etcd->url, "/v3/watch", NULL);
	g_autofree char *body = NULL;
	g_autoptr(GBytes) bytes = NULL;

	etcd_unwatch(kv);
	count_call(etcd, purpose);
	etcd->watch_changed = watch->changed;
	etcd->watch_ended = watch->ended;
	etcd->watch_userdata = watch->userdata;
	etcd->watch_cancel = g_cancellable_new();
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "create_request");
	json_builder_begin_object(builder);
	add_b64(builder, "key", watch->key);
	json_builder_end_object(builder);
	json_builder_end_object(builder);
	body = lp_json_print(builder);
	bytes = g_bytes_new(body, strlen(body));
	message = soup_message_new("POST", url);
	soup_message_set_request_body_from_bytes(message, "application/json",
						 bytes);
	soup_session_send_async(store_http_session(etcd->http), message,
				G_PRIORITY_DEFAULT, etcd->watch_cancel,
				on_watch_open, etcd);
}

static void etcd_destroy(struct store_kv *kv)
{
	struct etcd *etcd = (struct etcd *)kv;
	struct call *call;

	etcd_unwatch(kv);
	if (etcd->timer)
		g_source_remove(etcd->timer);
	while ((call = g_queue_pop_head(&etcd->waiting)))
		free_call(call);
	store_http_destroy(etcd->http);
	g_free(etcd->url);
	g_free(etcd);
}

static const struct store_kv_ops etcd_ops = {
	.range = etcd_range,
	.txn = etcd_txn,
	.lease_grant = etcd_lease_grant,
	.watch = etcd_watch,
	.unwatch = etcd_unwatch,
	.watch_waits = etcd_watch_waits,
	.destroy = etcd_destroy,
};

struct store_kv *store_etcd_create(const struct store_etcd_options *options)
{
	struct etcd *etcd = g_new0(struct etcd, 1);
	double rate = options->calls_per_s ? options->calls_per_s
					   : DEFAULT_CALLS_PER_S;
	double burst = options->burst ? options->burst : DEFAULT_BURST;

	etcd->base.ops = &etcd_ops;
	etcd->options = *options;
	etcd->url = g_strdup(options->url);
	etcd->http = store_http_create(&(struct store_http_options){
		.connections = CONNECTIONS,
		.adapts_timeout = true,
	});
	g_queue_init(&etcd->waiting);
	bucket_init(&etcd->budget, rate, burst, lp_now_us(options->clock));
	return &etcd->base;
}

void store_kv_destroy(struct store_kv *kv)
{
	if (kv)
		kv->ops->destroy(kv);
}
