/** What the emulator's engines have in memory, and copy from each other. */
#include "tools/pe_private.h"

#include "base/lp_json.h"

#include <string.h>

#define LIST_TARGET "/linepier/kv-list"
#define FIELD_COPY_FROM "Kv-Fetch"

static bool is_other_engine(const struct pe_upstream *upstream,
			    const char *address)
{
	const GPtrArray *all = upstream->pe->upstreams;

	for (guint i = 0; i < all->len; i++) {
		const struct pe_upstream *other = g_ptr_array_index(all, i);

		if (other != upstream && other->kind == PE_ENGINE &&
		    !strcmp(other->service, upstream->service) &&
		    !strcmp(other->listener->address, address))
			return true;
	}
	return false;
}

void pe_memory_take(struct pe_upstream *upstream, struct pe_conn *conn)
{
	const char *prefix = pe_conn_field(conn, "X-Prompt-Prefix");
	const char *source = pe_conn_field(conn, FIELD_COPY_FROM);
	g_auto(GStrv) parts = g_strsplit(prefix ? prefix : "", ",", -1);

	if (upstream->kind != PE_ENGINE)
		return;
	if (source && !is_other_engine(upstream, source))
		pe_breach(upstream->pe, "memory is copied from %s", source);
	for (char **part = parts; *part; part++) {
		char *colon = strchr(*part, ':');

		if (!colon)
			continue;
		*colon = '\0';
		g_hash_table_replace(upstream->memory, g_strdup(*part),
				     g_strdup(colon + 1));
	}
}

static void answer_list(struct pe_upstream *upstream, struct pe_conn *conn)
{
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autofree char *body = NULL;
	GHashTableIter iter;
	gpointer id;
	gpointer tokens;

	json_builder_begin_object(builder);
	lp_json_int(builder, "epoch", 1);
	lp_json_int(builder, "next", 1);
	json_builder_set_member_name(builder, "held");
	json_builder_begin_array(builder);
	g_hash_table_iter_init(&iter, upstream->memory);
	while (g_hash_table_iter_next(&iter, &id, &tokens)) {
		json_builder_begin_array(builder);
		json_builder_add_string_value(builder, "");
		json_builder_add_string_value(builder, id);
		json_builder_add_int_value(builder,
					   g_ascii_strtoll(tokens, NULL, 10));
		json_builder_add_string_value(builder, "m");
		json_builder_end_array(builder);
	}
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	body = lp_json_print(builder);
	pe_answer(upstream, conn, 200, "Content-Type: application/json\r\n",
		  body);
}

bool pe_memory_request(struct pe_upstream *upstream, struct pe_conn *conn)
{
	if (strcmp(conn->parse.target->str, LIST_TARGET) != 0)
		return false;
	pe_notices_arrived(upstream);
	answer_list(upstream, conn);
	return true;
}
