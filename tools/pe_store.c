/** The emulator's key-value service: reads, ranges, watches, writes. */
#include "tools/pe_private.h"

#include "base/lp_json.h"

#include <string.h>

#define PREFIX "/linepier/kv-"
/* Of a lease. */
#define LEASE_MIN_MS 1000
#define LEASE_MAX_MS 600000

static void free_item(gpointer data)
{
	struct pe_item *item = data;

	if (item->value)
		g_bytes_unref(item->value);
	g_free(item);
}

/* The value of a name in the query, decoded; "" if it is not there. */
static char *query(const struct pe_conn *conn, const char *name)
{
	const char *at = strchr(conn->parse.target->str, '?');
	g_auto(GStrv) pairs = g_strsplit(at ? at + 1 : "", "&", -1);
	size_t size = strlen(name);

	for (char **pair = pairs; *pair; pair++)
		if (!strncmp(*pair, name, size) && (*pair)[size] == '=')
			return g_uri_unescape_string(*pair + size + 1, NULL);
	return g_strdup("");
}

static bool is_removed(const struct pe_item *item)
{
	return !item->value;
}

static void add_item(JsonBuilder *builder, const char *key,
		     const struct pe_item *item)
{
	g_autofree char *value = NULL;

	lp_json_text(builder, "key", key);
	lp_json_int(builder, "revision", item->revision);
	if (is_removed(item)) {
		lp_json_bool(builder, "tombstone", true);
		return;
	}
	value = g_base64_encode(g_bytes_get_data(item->value, NULL),
				g_bytes_get_size(item->value));
	lp_json_text(builder, "value", value);
	lp_json_int(builder, "made", item->revision);
	lp_json_int(builder, "lease", 0);
}

static void answer_with(struct pe *pe, struct pe_conn *conn, uint32_t status,
			const char *extra, const char *body)
{
	g_autofree char *fields =
		g_strdup_printf("Store-Era: %" G_GINT64_FORMAT "\r\n%s",
				(gint64)pe->era, extra);

	pe_link_answer(pe->link, conn, status, fields, body);
}

static void answer(struct pe *pe, struct pe_conn *conn, uint32_t status,
		   const char *body)
{
	answer_with(pe, conn, status, "", body);
}

static void answer_json(struct pe *pe, struct pe_conn *conn,
			JsonBuilder *builder)
{
	g_autofree char *text = lp_json_print(builder);

	answer_with(pe, conn, 200, "Content-Type: application/json\r\n", text);
}

static void answer_key(struct pe *pe, struct pe_conn *conn)
{
	g_autofree char *key = query(conn, "key");
	const struct pe_item *item = g_hash_table_lookup(pe->items, key);
	g_autoptr(JsonBuilder) builder = json_builder_new();

	if (!item || is_removed(item)) {
		g_autofree char *body = g_strdup_printf(
			"{\"current_rev\":%" G_GINT64_FORMAT "}",
			(gint64)pe->revision);

		answer(pe, conn, 404, body);
		return;
	}
	json_builder_begin_object(builder);
	add_item(builder, key, item);
	lp_json_int(builder, "current_rev", pe->revision);
	json_builder_end_object(builder);
	answer_json(pe, conn, builder);
}

static gint newest_first(gconstpointer left, gconstpointer right,
			 gpointer userdata)
{
	struct pe *pe = userdata;
	const struct pe_item *a = g_hash_table_lookup(pe->items, left);
	const struct pe_item *b = g_hash_table_lookup(pe->items, right);

	return (a->revision < b->revision) - (a->revision > b->revision);
}

/* Items under a prefix that changed after a revision, with those that were
 * removed or without; returns how many. The platform promises no order: the
 * newest stand first. */
static uint32_t add_items(struct pe *pe, JsonBuilder *builder,
			  const char *prefix, int64_t after, bool with_removed)
{
	g_autoptr(GList) keys = g_hash_table_get_keys(pe->items);
	uint32_t count = 0;

	keys = g_list_sort_with_data(keys, newest_first, pe);
	for (GList *at = keys; at; at = at->next) {
		const struct pe_item *item =
			g_hash_table_lookup(pe->items, at->data);

		if (!g_str_has_prefix(at->data, prefix) ||
		    item->revision <= after ||
		    (is_removed(item) && !with_removed))
			continue;
		json_builder_begin_object(builder);
		add_item(builder, at->data, item);
		json_builder_end_object(builder);
		count++;
	}
	return count;
}

static void answer_range(struct pe *pe, struct pe_conn *conn)
{
	g_autofree char *prefix = query(conn, "prefix");
	g_autoptr(JsonBuilder) builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "items");
	json_builder_begin_array(builder);
	add_items(pe, builder, prefix, -1, false);
	json_builder_end_array(builder);
	lp_json_bool(builder, "has_more", false);
	lp_json_int(builder, "current_rev", pe->revision);
	json_builder_end_object(builder);
	answer_json(pe, conn, builder);
}

/* Returns whether there was something to tell. */
static bool answer_watch(struct pe *pe, struct pe_conn *conn, bool timed_out)
{
	g_autofree char *prefix = query(conn, "prefix");
	g_autofree char *text = query(conn, "after");
	int64_t after = g_ascii_strtoll(text, NULL, 10);
	g_autoptr(JsonBuilder) builder = json_builder_new();
	uint32_t count;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "events");
	json_builder_begin_array(builder);
	count = add_items(pe, builder, prefix, after, true);
	json_builder_end_array(builder);
	lp_json_int(builder, "current_rev", pe->revision);
	json_builder_end_object(builder);
	if (!count && !timed_out)
		return false;
	g_ptr_array_remove_fast(pe->watches, conn);
	answer_json(pe, conn, builder);
	return true;
}

/* Nothing is told, and the revision has gone on all the same. */
static void answer_deaf(struct pe *pe, struct pe_conn *conn)
{
	g_autofree char *body = g_strdup_printf(
		"{\"events\":[],\"current_rev\":%" G_GINT64_FORMAT "}",
		(gint64)pe->revision);

	g_ptr_array_remove_fast(pe->watches, conn);
	answer(pe, conn, 200, body);
}

static gboolean on_watch_over(gpointer userdata)
{
	struct pe_conn *conn = userdata;
	struct pe *pe = conn->listener->userdata;

	conn->timer = 0;
	if (pe->store_fault == PE_STORE_FINE)
		answer_watch(pe, conn, true);
	else if (pe->store_fault == PE_STORE_DEAF_WATCHES)
		answer_deaf(pe, conn);
	return G_SOURCE_REMOVE;
}

static void begin_watch(struct pe *pe, struct pe_conn *conn)
{
	g_autofree char *wait_ms = query(conn, "wait_ms");
	g_autofree char *after = query(conn, "after");

	if (pe->store_fault == PE_STORE_FINE &&
	    g_ascii_strtoll(after, NULL, 10) > pe->revision) {
		answer(pe, conn, 410, "{}");
		return;
	}
	g_ptr_array_add(pe->watches, conn);
	conn->timer = g_timeout_add((guint)g_ascii_strtoull(wait_ms, NULL, 10),
				    on_watch_over, conn);
	if (pe->store_fault == PE_STORE_FINE)
		answer_watch(pe, conn, false);
}

/* ---- writing ---- */

/* Longer than any test, so nothing runs out here. */
static void grant_lease(struct pe *pe, struct pe_conn *conn)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *root = lp_json_read(parser, conn->body->str);
	gint64 ttl_ms = root ? json_object_get_int_member_with_default(
				       root, "ttl_ms", 0)
			     : 0;
	g_autofree char *body = g_strdup_printf(
		"{\"lease\":%u,\"ttl_ms\":%" G_GINT64_FORMAT "}", ++pe->serial,
		ttl_ms);

	if (ttl_ms < LEASE_MIN_MS || ttl_ms > LEASE_MAX_MS)
		pe_breach(pe, "a lease of %" G_GINT64_FORMAT " ms", ttl_ms);
	answer(pe, conn, 200, body);
}

static void write_item(struct pe *pe, JsonObject *write)
{
	const char *key = json_object_get_string_member(write, "key");
	gsize size;
	g_autofree guchar *value = g_base64_decode(
		json_object_get_string_member(write, "value"), &size);

	if (g_str_has_prefix(key, "op/") || g_str_has_prefix(key, "servers/"))
		pe_breach(pe, "%s is written by an entry", key);
	pe_store_put_bytes(pe, key, value, size);
}

static int64_t revision_of(struct pe *pe, const char *key)
{
	const struct pe_item *item = g_hash_table_lookup(pe->items, key);

	return item && !is_removed(item) ? item->revision : 0;
}

static bool conditions_hold(struct pe *pe, JsonObject *root)
{
	JsonArray *list =
		json_object_has_member(root, "expected_rev")
			? json_object_get_array_member(root, "expected_rev")
			: NULL;

	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *at = json_array_get_object_element(list, i);

		if (json_object_get_int_member(at, "revision") !=
		    revision_of(pe, json_object_get_string_member(at, "key")))
			return false;
	}
	return true;
}

static void take_txn(struct pe *pe, struct pe_conn *conn)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *root = lp_json_read(parser, conn->body->str);
	JsonArray *writes =
		root ? json_object_get_array_member(root, "writes") : NULL;
	g_autofree char *body = NULL;

	if (root && !conditions_hold(pe, root)) {
		answer(pe, conn, 412, "{}");
		return;
	}
	for (guint i = 0; writes && i < json_array_get_length(writes); i++)
		write_item(pe, json_array_get_object_element(writes, i));
	body = g_strdup_printf("{\"revision\":%" G_GINT64_FORMAT "}",
			       (gint64)pe->revision);
	answer(pe, conn, 200, body);
}

static void on_request(void *userdata, struct pe_conn *conn)
{
	struct pe *pe = userdata;
	const char *target = conn->parse.target->str;

	if (pe->store_fault == PE_STORE_SILENT)
		return;
	if (pe->store_fault == PE_STORE_BUSY)
		answer(pe, conn, 503, "");
	else if (g_str_has_prefix(target, PREFIX "key?"))
		answer_key(pe, conn);
	else if (g_str_has_prefix(target, PREFIX "range?"))
		answer_range(pe, conn);
	else if (g_str_has_prefix(target, PREFIX "watch?"))
		begin_watch(pe, conn);
	else if (!strcmp(target, PREFIX "lease"))
		grant_lease(pe, conn);
	else if (!strcmp(target, PREFIX "txn"))
		take_txn(pe, conn);
	else
		answer(pe, conn, 404, "");
}

static void on_left(void *userdata, struct pe_conn *conn)
{
	struct pe *pe = userdata;

	g_ptr_array_remove_fast(pe->watches, conn);
	pe_link_forget(pe->link, conn);
}

static GHashTable *create_items(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_item);
}

void pe_store_create(struct pe *pe)
{
	pe->era = 1;
	pe->link = pe_link_create();
	pe->items = create_items();
	pe->watches = g_ptr_array_new();
	pe->store = pe_listener_create(on_request, on_left, pe);
}

static void tell_watches(struct pe *pe)
{
	if (pe->store_fault != PE_STORE_FINE)
		return;
	for (guint i = pe->watches->len; i-- > 0;)
		answer_watch(pe, g_ptr_array_index(pe->watches, i), false);
}

void pe_store_put(struct pe *pe, const char *key, const char *value)
{
	pe_store_put_bytes(pe, key, value, strlen(value));
}

/* Takes the value; NULL: the key is removed. */
static void change_item(struct pe *pe, const char *key, GBytes *value)
{
	struct pe_item *item = g_new0(struct pe_item, 1);

	item->value = value;
	item->revision = ++pe->revision;
	g_hash_table_replace(pe->items, g_strdup(key), item);
	tell_watches(pe);
}

void pe_store_put_bytes(struct pe *pe, const char *key, const void *bytes,
			size_t size)
{
	change_item(pe, key, g_bytes_new(bytes, size));
}

void pe_store_remove(struct pe *pe, const char *key)
{
	change_item(pe, key, NULL);
}

static GHashTable *copy_items(GHashTable *items)
{
	GHashTable *copy = create_items();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct pe_item *item = g_memdup2(value, sizeof(*item));

		if (item->value)
			g_bytes_ref(item->value);
		g_hash_table_insert(copy, g_strdup(key), item);
	}
	return copy;
}

void pe_store_take_copy(struct pe *pe)
{
	g_clear_pointer(&pe->copied_items, g_hash_table_unref);
	pe->copied_items = copy_items(pe->items);
	pe->copied_revision = pe->revision;
}

void pe_store_go_back(struct pe *pe)
{
	g_hash_table_unref(pe->items);
	pe->items = copy_items(pe->copied_items);
	pe->revision = pe->copied_revision;
	pe->era++;
}

void pe_store_fault(struct pe *pe, enum pe_store_fault fault)
{
	pe->store_fault = fault;
}

void pe_store_set_rate(struct pe *pe, uint32_t bytes_per_s)
{
	pe_link_set_rate(pe->link, bytes_per_s);
}

void pe_store_set_delay(struct pe *pe, uint32_t delay_ms)
{
	pe_link_set_delay(pe->link, delay_ms);
}

void pe_store_silence(struct pe *pe)
{
	pe_link_stall(pe->link);
	for (guint i = 0; i < pe->store->conns->len; i++)
		pe_conn_silence(g_ptr_array_index(pe->store->conns, i));
}

void pe_set_config(struct pe *pe, const char *json)
{
	pe_store_put(pe, "op/config", json);
}
