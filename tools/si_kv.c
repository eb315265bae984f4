#include "tools/si_kv.h"

#include "base/lp_json.h"
#include "tools/si_http.h"

#include <stdbool.h>
#include <string.h>

#define TXN_OPS_MAX 128

struct pair {
	char *key; /* base64, as it came */
	char *value;
	gint64 create_revision;
	gint64 mod_revision;
	gint64 version;
	gint64 lease;
};

struct watcher {
	struct si_kv *kv;
	char *key;
	SoupServerMessage *msg;
};

struct si_kv {
	GHashTable *pairs;
	GPtrArray *watchers;
	gint64 revision;
	gint64 lease;
	gint64 reads;
	gint64 writes;
	gint64 watches;
	gint64 leases;
};

static void free_pair(gpointer data)
{
	struct pair *pair = data;

	g_free(pair->key);
	g_free(pair->value);
	g_free(pair);
}

static void add_int(JsonBuilder *builder, const char *name, gint64 value)
{
	g_autofree char *text = g_strdup_printf("%" G_GINT64_FORMAT, value);

	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, text);
}

static void add_text(JsonBuilder *builder, const char *name, const char *text)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, text);
}

static void add_pair(JsonBuilder *builder, const struct pair *pair)
{
	json_builder_begin_object(builder);
	add_text(builder, "key", pair->key);
	add_text(builder, "value", pair->value);
	add_int(builder, "create_revision", pair->create_revision);
	add_int(builder, "mod_revision", pair->mod_revision);
	add_int(builder, "version", pair->version);
	json_builder_end_object(builder);
}

static void add_header(struct si_kv *kv, JsonBuilder *builder)
{
	json_builder_set_member_name(builder, "header");
	json_builder_begin_object(builder);
	add_int(builder, "revision", kv->revision);
	json_builder_end_object(builder);
}

static char *decoded(const char *key)
{
	gsize size;
	guchar *data = g_base64_decode(key, &size);
	char *text = g_strndup((const char *)data, size);

	g_free(data);
	return text;
}

static bool in_range(const char *key, const char *from, const char *end)
{
	g_autofree char *text = decoded(key);

	return strcmp(text, from) >= 0 && strcmp(text, end) < 0;
}

static void add_range(struct si_kv *kv, JsonBuilder *builder,
		      JsonObject *request)
{
	const char *key =
		json_object_get_string_member_with_default(request, "key", "");
	const char *end = json_object_get_string_member_with_default(
		request, "range_end", NULL);
	g_autofree char *from = decoded(key);
	g_autofree char *to = end ? decoded(end) : NULL;
	struct pair *pair = g_hash_table_lookup(kv->pairs, key);
	GHashTableIter iter;
	gpointer value;

	json_builder_set_member_name(builder, "kvs");
	json_builder_begin_array(builder);
	if (!end && pair)
		add_pair(builder, pair);
	g_hash_table_iter_init(&iter, kv->pairs);
	while (end && g_hash_table_iter_next(&iter, NULL, &value)) {
		pair = value;
		if (in_range(pair->key, from, to))
			add_pair(builder, pair);
	}
	json_builder_end_array(builder);
}

static void on_range(struct si_kv *kv, SoupServerMessage *msg,
		     JsonObject *request)
{
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autofree char *text = NULL;

	kv->reads += 1;
	json_builder_begin_object(builder);
	add_header(kv, builder);
	add_range(kv, builder, request);
	json_builder_end_object(builder);
	text = lp_json_print(builder);
	si_respond(msg, SOUP_STATUS_OK, text);
}

/* ---- transactions ---- */

static gint64 int_member(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node)
		return 0;
	if (json_node_get_value_type(node) == G_TYPE_STRING)
		return g_ascii_strtoll(json_node_get_string(node), NULL, 10);
	return json_node_get_int(node);
}

static bool compare_holds(struct si_kv *kv, JsonObject *compare)
{
	const char *key =
		json_object_get_string_member_with_default(compare, "key", "");
	const char *target = json_object_get_string_member_with_default(
		compare, "target", "MOD");
	const struct pair *pair = g_hash_table_lookup(kv->pairs, key);

	if (!strcmp(target, "CREATE"))
		return (pair ? pair->create_revision : 0) ==
		       int_member(compare, "create_revision");
	return (pair ? pair->mod_revision : 0) ==
	       int_member(compare, "mod_revision");
}

static void tell_watcher(struct si_kv *kv, struct watcher *watcher,
			 const struct pair *pair)
{
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autofree char *text = NULL;
	g_autofree char *line = NULL;
	SoupMessageBody *body =
		soup_server_message_get_response_body(watcher->msg);

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "result");
	json_builder_begin_object(builder);
	add_header(kv, builder);
	json_builder_set_member_name(builder, "events");
	json_builder_begin_array(builder);
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "kv");
	add_pair(builder, pair);
	json_builder_end_object(builder);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	json_builder_end_object(builder);
	text = lp_json_print(builder);
	line = g_strconcat(text, "\n", NULL);
	soup_message_body_append(body, SOUP_MEMORY_COPY, line, strlen(line));
	soup_server_message_unpause(watcher->msg);
}

static void put(struct si_kv *kv, JsonObject *request)
{
	const char *key =
		json_object_get_string_member_with_default(request, "key", "");
	struct pair *pair = g_hash_table_lookup(kv->pairs, key);

	kv->revision += 1;
	if (!pair) {
		pair = g_new0(struct pair, 1);
		pair->key = g_strdup(key);
		pair->create_revision = kv->revision;
		g_hash_table_insert(kv->pairs, pair->key, pair);
	}
	g_free(pair->value);
	pair->value = g_strdup(json_object_get_string_member_with_default(
		request, "value", ""));
	pair->mod_revision = kv->revision;
	pair->version += 1;
	pair->lease = int_member(request, "lease");
	for (guint i = 0; i < kv->watchers->len; i++) {
		struct watcher *watcher = g_ptr_array_index(kv->watchers, i);

		if (!strcmp(watcher->key, key))
			tell_watcher(kv, watcher, pair);
	}
}

static void run_op(struct si_kv *kv, JsonBuilder *builder, JsonObject *op)
{
	json_builder_begin_object(builder);
	if (json_object_has_member(op, "request_put")) {
		put(kv, json_object_get_object_member(op, "request_put"));
		json_builder_set_member_name(builder, "response_put");
		json_builder_begin_object(builder);
		json_builder_end_object(builder);
	} else if (json_object_has_member(op, "request_range")) {
		json_builder_set_member_name(builder, "response_range");
		json_builder_begin_object(builder);
		add_range(kv, builder,
			  json_object_get_object_member(op, "request_range"));
		json_builder_end_object(builder);
	}
	json_builder_end_object(builder);
}

static JsonArray *list(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node)
						   : NULL;
}

static guint length(JsonArray *array)
{
	return array ? json_array_get_length(array) : 0;
}

static void on_txn(struct si_kv *kv, SoupServerMessage *msg,
		   JsonObject *request)
{
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autofree char *text = NULL;
	JsonArray *compares = list(request, "compare");
	JsonArray *ops;
	bool holds = true;

	kv->writes += 1;
	if (length(compares) > TXN_OPS_MAX ||
	    length(list(request, "success")) > TXN_OPS_MAX) {
		si_respond(msg, SOUP_STATUS_BAD_REQUEST,
			   "{\"error\":\"too many operations in txn\"}");
		return;
	}
	for (guint i = 0; i < length(compares); i++)
		holds = holds &&
			compare_holds(
				kv, json_array_get_object_element(compares, i));
	ops = list(request, holds ? "success" : "failure");
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "succeeded");
	json_builder_add_boolean_value(builder, holds);
	json_builder_set_member_name(builder, "responses");
	json_builder_begin_array(builder);
	for (guint i = 0; i < length(ops); i++)
		run_op(kv, builder, json_array_get_object_element(ops, i));
	json_builder_end_array(builder);
	add_header(kv, builder);
	json_builder_end_object(builder);
	text = lp_json_print(builder);
	si_respond(msg, SOUP_STATUS_OK, text);
}

static gboolean drop_leased(gpointer key, gpointer value, gpointer userdata)
{
	const struct pair *pair = value;

	return pair->lease && pair->lease == *(gint64 *)userdata;
}

struct lease {
	struct si_kv *kv;
	gint64 id;
};

static gboolean on_lease_over(gpointer userdata)
{
	struct lease *lease = userdata;

	g_hash_table_foreach_remove(lease->kv->pairs, drop_leased, &lease->id);
	g_free(lease);
	return G_SOURCE_REMOVE;
}

static void on_lease(struct si_kv *kv, SoupServerMessage *msg,
		     JsonObject *request)
{
	g_autofree char *text = NULL;
	struct lease *lease = g_new0(struct lease, 1);
	gint64 ttl_s = int_member(request, "TTL");

	kv->leases += 1;
	lease->kv = kv;
	lease->id = ++kv->lease;
	g_timeout_add_seconds((guint)ttl_s, on_lease_over, lease);
	text = g_strdup_printf("{\"ID\":\"%" G_GINT64_FORMAT
			       "\",\"TTL\":\"%" G_GINT64_FORMAT "\"}",
			       lease->id, ttl_s);
	si_respond(msg, SOUP_STATUS_OK, text);
}

/* ---- watches ---- */

static void on_watch_finished(SoupServerMessage *msg, gpointer userdata)
{
	struct watcher *watcher = userdata;

	g_ptr_array_remove_fast(watcher->kv->watchers, watcher);
	g_free(watcher->key);
	g_free(watcher);
}

static void on_watch(struct si_kv *kv, SoupServerMessage *msg,
		     JsonObject *request)
{
	static const char created[] = "{\"result\":{\"created\":true}}\n";
	struct watcher *watcher = g_new0(struct watcher, 1);
	JsonObject *create =
		json_object_get_object_member(request, "create_request");

	kv->watches += 1;
	watcher->kv = kv;
	watcher->msg = msg;
	watcher->key = g_strdup(
		json_object_get_string_member_with_default(create, "key", ""));
	g_ptr_array_add(kv->watchers, watcher);
	g_signal_connect(msg, "finished", G_CALLBACK(on_watch_finished),
			 watcher);
	soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
	soup_message_headers_set_encoding(
		soup_server_message_get_response_headers(msg),
		SOUP_ENCODING_CHUNKED);
	soup_message_body_append(soup_server_message_get_response_body(msg),
				 SOUP_MEMORY_STATIC, created, strlen(created));
}

/* ---- dispatch ---- */

static void on_call(SoupServer *server, SoupServerMessage *msg,
		    const char *path, GHashTable *query, gpointer userdata)
{
	struct si_kv *kv = userdata;
	g_autoptr(JsonNode) body = si_body(msg);
	JsonObject *request = body ? json_node_get_object(body) : NULL;

	if (!request)
		si_respond(msg, SOUP_STATUS_BAD_REQUEST, "{}");
	else if (!strcmp(path, "/v3/kv/range"))
		on_range(kv, msg, request);
	else if (!strcmp(path, "/v3/kv/txn"))
		on_txn(kv, msg, request);
	else if (!strcmp(path, "/v3/lease/grant"))
		on_lease(kv, msg, request);
	else if (!strcmp(path, "/v3/watch"))
		on_watch(kv, msg, request);
	else
		si_respond(msg, SOUP_STATUS_NOT_FOUND, "{}");
}

static void on_counts(SoupServer *server, SoupServerMessage *msg,
		      const char *path, GHashTable *query, gpointer userdata)
{
	struct si_kv *kv = userdata;
	g_autofree char *text = g_strdup_printf(
		"{\"reads\":%" G_GINT64_FORMAT ",\"writes\":%" G_GINT64_FORMAT
		",\"watches\":%" G_GINT64_FORMAT ",\"leases\":%" G_GINT64_FORMAT
		",\"watching\":%u,\"keys\":%u}",
		kv->reads, kv->writes, kv->watches, kv->leases,
		kv->watchers->len, g_hash_table_size(kv->pairs));

	si_respond(msg, SOUP_STATUS_OK, text);
}

struct si_kv *si_kv_create(SoupServer *server)
{
	struct si_kv *kv = g_new0(struct si_kv, 1);

	kv->pairs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pair);
	kv->watchers = g_ptr_array_new();
	soup_server_add_handler(server, "/v3", on_call, kv, NULL);
	soup_server_add_handler(server, "/standin/counts", on_counts, kv, NULL);
	return kv;
}

void si_kv_destroy(struct si_kv *kv)
{
	g_ptr_array_unref(kv->watchers);
	g_hash_table_unref(kv->pairs);
	g_free(kv);
}
