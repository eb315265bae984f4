#include "base/lp_json.h"

#include <string.h>

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

static bool ends_value(char c, uint32_t depth)
{
	return !depth && (c == '"' || c == '}' || c == ']');
}

static bool is_of_number_or_word(char c)
{
	return g_ascii_isalnum(c) || c == '+' || c == '-' || c == '.';
}

bool lp_json_is_plain(const char *text, size_t size, uint32_t depth_max)
{
	uint32_t depth = 0;
	bool quoted = false;
	bool ended = false; /* the value */
	bool in_word = false;

	for (size_t i = 0; i < size; i++) {
		char c = text[i];

		if (quoted && c == '\\') {
			i++;
			continue;
		}
		if (quoted && c != '"')
			continue;
		if (g_ascii_isspace(c)) {
			ended |= in_word;
			continue;
		}
		if (ended || (in_word && !is_of_number_or_word(c)))
			return false;
		if (c == '"')
			quoted = !quoted;
		else if (c == '{' || c == '[')
			depth++;
		else if ((c == '}' || c == ']') && depth)
			depth--;
		else if (is_of_number_or_word(c))
			in_word = !depth;
		else if (!depth || (c != ',' && c != ':'))
			return false;
		if (depth > depth_max)
			return false;
		ended = !quoted && ends_value(c, depth);
	}
	return true;
}

bool lp_json_load(JsonParser *parser, const char *text, gssize size)
{
	size_t length = size < 0 ? strlen(text) : (size_t)size;

	return lp_json_is_plain(text, length, LP_JSON_DEPTH_MAX) &&
	       json_parser_load_from_data(parser, text, (gssize)length, NULL);
}

JsonNode *lp_json_node(const char *text)
{
	g_autoptr(JsonParser) parser = json_parser_new();

	return lp_json_load(parser, text, -1) ? json_parser_steal_root(parser)
					      : NULL;
}

JsonObject *lp_json_read(JsonParser *parser, const char *text)
{
	JsonNode *root;

	if (!text || !lp_json_load(parser, text, -1))
		return NULL;
	root = json_parser_get_root(parser);
	return root && JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root)
						    : NULL;
}
