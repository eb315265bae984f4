#include "entry/entry_json.h"

#include "base/lp_json.h"

#include <string.h>

#define TEMPLATE_OPEN "{{"
#define TEMPLATE_CLOSE "}}"

JsonNode *entry_json_parse(const char *text, size_t size)
{
	g_autoptr(JsonParser) parser = NULL;
	JsonNode *root;

	if (!g_utf8_validate(text, (gssize)size, NULL) ||
	    !lp_json_is_plain(text, size, ENTRY_JSON_DEPTH_MAX))
		return NULL;
	parser = json_parser_new_immutable();
	if (!json_parser_load_from_data(parser, text, (gssize)size, NULL))
		return NULL;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return NULL;
	return json_node_ref(root);
}

static JsonNode *child_node(JsonNode *node, const char *name)
{
	guint64 index;

	if (JSON_NODE_HOLDS_OBJECT(node))
		return json_object_get_member(json_node_get_object(node), name);
	if (!JSON_NODE_HOLDS_ARRAY(node) ||
	    !g_ascii_string_to_unsigned(name, 10, 0, G_MAXUINT32, &index, NULL))
		return NULL;
	if (index >= json_array_get_length(json_node_get_array(node)))
		return NULL;
	return json_array_get_element(json_node_get_array(node), (guint)index);
}

static JsonNode *root_node(const struct entry_values *values, const char *name)
{
	if (!strcmp(name, "request"))
		return values->request;
	for (uint32_t i = 0; i < values->pipeline->stages_count; i++)
		if (!strcmp(values->pipeline->stages[i].name, name))
			return values->results[i];
	return NULL;
}

JsonNode *entry_lookup(const struct entry_values *values, const char *path)
{
	g_auto(GStrv) parts = g_strsplit(path, ".", -1);
	JsonNode *node = parts[0] ? root_node(values, parts[0]) : NULL;

	for (int i = 1; node && parts[i]; i++)
		node = child_node(node, parts[i]);
	return node;
}

static void append_node(GString *out, JsonNode *node)
{
	g_autofree char *text = NULL;

	if (!node)
		return;
	if (JSON_NODE_HOLDS_VALUE(node) &&
	    json_node_get_value_type(node) == G_TYPE_STRING) {
		g_string_append(out, json_node_get_string(node));
		return;
	}
	text = json_to_string(node, FALSE);
	g_string_append(out, text);
}

static char *expand_template(const struct entry_values *values,
			     const char *text)
{
	GString *out = g_string_new(NULL);
	const char *open;
	const char *close;

	while ((open = strstr(text, TEMPLATE_OPEN)) &&
	       (close = strstr(open, TEMPLATE_CLOSE))) {
		g_autofree char *path = g_strndup(
			open + strlen(TEMPLATE_OPEN),
			(gsize)(close - open) - strlen(TEMPLATE_OPEN));

		g_string_append_len(out, text, open - text);
		append_node(out, entry_lookup(values, g_strstrip(path)));
		text = close + strlen(TEMPLATE_CLOSE);
	}
	g_string_append(out, text);
	return g_string_free(out, FALSE);
}

/* A literal is JSON if it parses and has no "{{", else a text template. */
static JsonNode *expand_literal(const struct entry_values *values,
				const char *value)
{
	g_autofree char *text = NULL;
	JsonNode *node = NULL;

	if (!strstr(value, TEMPLATE_OPEN))
		node = lp_json_node(value);
	if (node)
		return node;
	text = expand_template(values, value);
	node = json_node_new(JSON_NODE_VALUE);
	json_node_set_string(node, text);
	return node;
}

static void set_field(JsonObject *object, const char *path, JsonNode *node)
{
	g_auto(GStrv) parts = g_strsplit(path, ".", -1);
	int i;

	for (i = 0; parts[i + 1]; i++) {
		JsonNode *inner = json_object_get_member(object, parts[i]);

		if (!inner || !JSON_NODE_HOLDS_OBJECT(inner))
			json_object_set_object_member(object, parts[i],
						      json_object_new());
		object = json_object_get_object_member(object, parts[i]);
	}
	json_object_set_member(object, parts[i], node);
}

JsonNode *entry_stage_input(const struct entry_values *values, uint32_t stage)
{
	const struct cfg_stage *config = &values->pipeline->stages[stage];
	JsonObject *object = json_object_new();
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);

	for (uint32_t i = 0; i < config->input_count; i++) {
		const struct cfg_input *input = &config->input[i];
		JsonNode *node;

		if (input->from) {
			node = entry_lookup(values, input->from);
			node = node ? json_node_copy(node)
				    : json_node_new(JSON_NODE_NULL);
		} else {
			node = expand_literal(values, input->value);
		}
		set_field(object, input->field, node);
	}
	json_node_take_object(root, object);
	return root;
}

void entry_enable_streaming(JsonNode *input, const char *resume,
			    uint32_t resume_tokens)
{
	JsonObject *object = json_node_get_object(input);
	const char *prompt;
	g_autofree char *longer = NULL;
	gint64 max_tokens;

	json_object_set_boolean_member(object, "stream", TRUE);
	if (!resume_tokens)
		return;
	prompt = json_object_get_string_member_with_default(object, "prompt",
							    "");
	longer = g_strconcat(prompt, resume, NULL);
	json_object_set_string_member(object, "prompt", longer);
	max_tokens = json_object_get_int_member_with_default(object,
							     "max_tokens", 0);
	if (max_tokens > resume_tokens)
		json_object_set_int_member(object, "max_tokens",
					   max_tokens - resume_tokens);
}

JsonNode *entry_stream_result(const char *text, uint32_t tokens, JsonNode *end)
{
	const char *reason = "stop";
	g_autoptr(JsonBuilder) builder = json_builder_new();

	if (end && JSON_NODE_HOLDS_OBJECT(end))
		reason = json_object_get_string_member_with_default(
			json_node_get_object(end), "finish_reason", "stop");
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "choices");
	json_builder_begin_array(builder);
	json_builder_begin_object(builder);
	lp_json_text(builder, "text", text);
	lp_json_text(builder, "finish_reason", reason);
	json_builder_end_object(builder);
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "usage");
	json_builder_begin_object(builder);
	lp_json_int(builder, "completion_tokens", tokens);
	json_builder_end_object(builder);
	json_builder_end_object(builder);
	return json_builder_get_root(builder);
}
