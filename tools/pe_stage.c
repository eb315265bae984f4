/** The emulator's services that do stages' pieces. */
#include "tools/pe_private.h"

#include "base/lp_json.h"

#include <string.h>

#define RUN_TARGET "/linepier/stage-run"
#define FREE_TARGET "/linepier/stage-free"
#define REPORT_TARGET "/linepier/report"
/* Calls that may wait behind the one at work. */
#define QUEUE_MAX 2
#define BYTES_PER_MB 1000000

void pe_result_free(gpointer data)
{
	struct pe_result *result = data;

	g_free(result->request);
	g_free(result);
}

const struct pe_result *pe_find_result(const struct pe *pe, const char *handle)
{
	for (guint i = 0; i < pe->upstreams->len; i++) {
		const struct pe_upstream *upstream =
			g_ptr_array_index(pe->upstreams, i);
		const struct pe_result *result =
			upstream->results
				? g_hash_table_lookup(upstream->results, handle)
				: NULL;

		if (result)
			return result;
	}
	return NULL;
}

/* Inputs: all there, of the same request and an earlier stage, none twice. */
static bool inputs_are_there(struct pe *pe, JsonObject *item)
{
	const char *id =
		json_object_get_string_member_with_default(item, "id", "");
	gint64 stage =
		json_object_get_int_member_with_default(item, "stage", 0);
	JsonArray *inputs = json_object_get_array_member(item, "inputs");
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < json_array_get_length(inputs); i++) {
		const char *handle = json_array_get_string_element(inputs, i);
		const struct pe_result *result = pe_find_result(pe, handle);

		if (!result)
			return false;
		if (strcmp(result->request, id) != 0)
			pe_breach(pe, "piece of %s takes in a result of %s", id,
				  result->request);
		if (result->stage >= stage)
			pe_breach(pe, "stage %d takes in stage %u", (int)stage,
				  result->stage);
		if (!g_hash_table_add(seen, (gpointer)handle))
			pe_breach(pe, "an input of %s stands twice", id);
	}
	return true;
}

/* ---- result memory ---- */

static gboolean has_expired(gpointer handle, gpointer data, gpointer userdata)
{
	const struct pe_result *result = data;
	const struct pe_upstream *upstream = userdata;

	return g_get_monotonic_time() - result->made_us >
	       upstream->cost.kept_ms * LP_US_PER_MS;
}

/* Of results that exist: those of a call in progress are not counted yet. */
static int64_t free_bytes(struct pe_upstream *upstream)
{
	g_hash_table_foreach_remove(upstream->results, has_expired, upstream);
	return upstream->cost.memory_bytes -
	       upstream->cost.result_bytes *
		       (int64_t)g_hash_table_size(upstream->results);
}

static bool has_room(struct pe_upstream *upstream)
{
	return !upstream->cost.memory_bytes ||
	       free_bytes(upstream) >= upstream->cost.result_bytes;
}

static char *make_result(struct pe_upstream *upstream, JsonObject *item)
{
	struct pe_result *result = g_new0(struct pe_result, 1);
	char *handle = g_strdup_printf("%s/%x", upstream->listener->address,
				       ++upstream->pe->serial);

	result->request = g_strdup(
		json_object_get_string_member_with_default(item, "id", ""));
	result->stage = (uint32_t)json_object_get_int_member_with_default(
		item, "stage", 0);
	result->piece = (uint32_t)json_object_get_int_member_with_default(
		item, "piece", 0);
	result->made_us = g_get_monotonic_time();
	upstream->pe->made++;
	if (upstream->fault == PE_FAULT_FORGET)
		pe_result_free(result);
	else
		g_hash_table_insert(upstream->results, g_strdup(handle),
				    result);
	return handle;
}

static void add_answer(struct pe_upstream *upstream, JsonObject *item,
		       JsonBuilder *builder)
{
	bool has_inputs = json_object_has_member(item, "inputs");
	g_autofree char *handle = NULL;

	json_builder_begin_object(builder);
	if (!has_inputs && !json_object_has_member(item, "key"))
		pe_breach(upstream->pe, "a piece with neither key nor inputs");
	/* In the sample configuration each stage but the first has some. */
	if (!has_inputs &&
	    json_object_get_int_member_with_default(item, "stage", 0) > 0)
		pe_breach(upstream->pe, "a later stage without its inputs");
	if (has_inputs && !inputs_are_there(upstream->pe, item)) {
		lp_json_text(builder, "reason", "gone");
	} else if (!has_room(upstream)) {
		lp_json_text(builder, "reason", "room");
	} else {
		handle = make_result(upstream, item);
		lp_json_text(builder, "handle", handle);
	}
	json_builder_end_object(builder);
}

static void answer_call(struct pe_upstream *upstream, struct pe_conn *conn)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autofree char *text = NULL;
	JsonArray *items;

	if (!json_parser_load_from_data(parser, conn->body->str, -1, NULL)) {
		pe_breach(upstream->pe, "a call that is no JSON");
		pe_conn_answer(conn, 400, "", "");
		return;
	}
	items = json_object_get_array_member(
		json_node_get_object(json_parser_get_root(parser)), "items");
	json_builder_begin_object(builder);
	if (!upstream->pe->no_start)
		lp_json_int(builder, "born", upstream->born_ms);
	json_builder_set_member_name(builder, "items");
	json_builder_begin_array(builder);
	for (guint i = 0; i < json_array_get_length(items); i++)
		add_answer(upstream, json_array_get_object_element(items, i),
			   builder);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	text = lp_json_print(builder);
	pe_answer(upstream, conn, 200, "X-Server-Load: 0,0,1\r\n", text);
}

char *pe_stage_poison(const struct pe *pe, const struct pe_conn *conn)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonArray *items;

	if (!pe->poison.content ||
	    !json_parser_load_from_data(parser, conn->body->str, -1, NULL))
		return NULL;
	items = json_object_get_array_member(
		json_node_get_object(json_parser_get_root(parser)), "items");
	for (guint i = 0; i < json_array_get_length(items); i++) {
		const char *key = json_object_get_string_member_with_default(
			json_array_get_object_element(items, i), "key", "");

		if (pe_is_poison(pe, key))
			return g_strdup(key);
	}
	return NULL;
}

/* The call ends who begins it. */
static gboolean on_poisoned(gpointer userdata)
{
	struct pe_conn *conn = userdata;
	struct pe_upstream *upstream = conn->listener->userdata;
	g_autofree char *key = pe_stage_poison(upstream->pe, conn);

	conn->timer = 0;
	pe_poison_struck(upstream->pe, key);
	pe_end(upstream, &upstream->pe->poison.end);
	return G_SOURCE_REMOVE;
}

static bool begin_poison(struct pe_upstream *upstream, struct pe_conn *conn)
{
	const struct pe *pe = upstream->pe;
	g_autofree char *key = pe_stage_poison(pe, conn);

	if (!key)
		return false;
	pe_poison_arrived(upstream->pe, key);
	conn->timer = g_timeout_add(pe->poison.after_ms, on_poisoned, conn);
	return true;
}

static gboolean on_call_over(gpointer userdata)
{
	struct pe_conn *conn = userdata;
	struct pe_upstream *upstream = conn->listener->userdata;

	conn->timer = 0;
	upstream->at_work--;
	if (upstream->fault == PE_FAULT_RESET)
		pe_conn_end(conn, true);
	else
		answer_call(upstream, conn);
	return G_SOURCE_REMOVE;
}

static void give_up(struct pe_upstream *upstream, struct pe_conn *conn)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonArray *handles;

	if (json_parser_load_from_data(parser, conn->body->str, -1, NULL)) {
		handles = json_object_get_array_member(
			json_node_get_object(json_parser_get_root(parser)),
			"handles");
		for (guint i = 0; i < json_array_get_length(handles); i++)
			g_hash_table_remove(
				upstream->results,
				json_array_get_string_element(handles, i));
	}
	pe_answer(upstream, conn, 200, "", "{}");
}

/* Without a limit of its memory, it always has a megabyte. */
static int64_t free_mb(struct pe_upstream *upstream)
{
	return upstream->cost.memory_bytes ? free_bytes(upstream) / BYTES_PER_MB
					   : 1;
}

static void report(struct pe_upstream *upstream, struct pe_conn *conn)
{
	g_autofree char *born = g_strdup_printf(
		"\"born\":%" G_GINT64_FORMAT ",", (gint64)upstream->born_ms);
	g_autofree char *text = g_strdup_printf(
		"{%s\"waiting\":0,\"busy\":%d,\"free_mb\":%" G_GINT64_FORMAT
		"}",
		upstream->pe->no_start ? "" : born, upstream->at_work > 0,
		(gint64)free_mb(upstream));

	pe_answer(upstream, conn, 200, "", text);
}

static guint count_items(const struct pe_conn *conn)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *root = lp_json_read(parser, conn->body->str);

	return root ? json_array_get_length(
			      json_object_get_array_member(root, "items"))
		    : 0;
}

/* The time until a call that has just come is over. */
static guint call_ms(struct pe_upstream *upstream, const struct pe_conn *conn)
{
	const struct pe_stage_cost *cost = &upstream->cost;
	int64_t now_us = g_get_monotonic_time();
	double took_ms;

	if (cost->call_ms <= 0)
		return upstream->work_ms * upstream->at_work;
	took_ms = cost->call_ms + cost->piece_ms * count_items(conn);
	upstream->busy_until_us = MAX(upstream->busy_until_us, now_us) +
				  (int64_t)(took_ms * LP_US_PER_MS);
	return (guint)((upstream->busy_until_us - now_us) / LP_US_PER_MS);
}

void pe_stage_request(struct pe_upstream *upstream, struct pe_conn *conn)
{
	const char *target = conn->parse.target->str;

	if (!strcmp(target, FREE_TARGET)) {
		give_up(upstream, conn);
		return;
	}
	if (!strcmp(target, REPORT_TARGET)) {
		report(upstream, conn);
		return;
	}
	if (strcmp(target, RUN_TARGET) != 0) {
		pe_breach(upstream->pe, "%s at a service of stages", target);
		pe_conn_answer(conn, 404, "", "");
		return;
	}
	if (upstream->fault == PE_FAULT_FULL || upstream->at_work > QUEUE_MAX) {
		pe_answer(upstream, conn, 503,
			  "X-Not-Run: 1\r\nX-Server-Load: 1,2,1\r\n", "");
		return;
	}
	upstream->calls++;
	upstream->at_work++;
	if (begin_poison(upstream, conn))
		return;
	conn->timer =
		g_timeout_add(call_ms(upstream, conn), on_call_over, conn);
}
