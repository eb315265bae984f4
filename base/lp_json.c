#include "base/lp_json.h"

void lp_json_text(JsonBuilder *builder, const char *name, const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

void lp_json_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

void lp_json_bool(JsonBuilder *builder, const char *name, bool value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, value);
}

char *lp_json_print(JsonBuilder *builder)
{
	g_autoptr(JsonNode) root = json_builder_get_root(builder);

	return json_to_string(root, FALSE);
}

JsonObject *lp_json_read(JsonParser *parser, const char *text)
{
	JsonNode *root;

	if (!text || !json_parser_load_from_data(parser, text, -1, NULL))
		return NULL;
	root = json_parser_get_root(parser);
	return root && JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root)
						    : NULL;
}
