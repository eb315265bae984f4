/* The leaves of a YAML text with their lines, and the diff made of them. */
#include "config/cfg.h"

#include <string.h>
#include <yaml.h>

static void free_leaf(gpointer data)
{
	struct cfg_leaf *leaf = data;

	g_free(leaf->path);
	g_free(leaf->value);
	g_free(leaf);
}

static const char *scalar_of(const yaml_node_t *node)
{
	if (!node || node->type != YAML_SCALAR_NODE)
		return NULL;
	return (const char *)node->data.scalar.value;
}

/* Elements of lists are named by their name or field, not their place. */
static const char *element_name(yaml_document_t *document, yaml_node_t *node)
{
	if (node->type != YAML_MAPPING_NODE)
		return scalar_of(node);
	for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		const char *key =
			scalar_of(yaml_document_get_node(document, pair->key));

		if (key && (!strcmp(key, "name") || !strcmp(key, "field")))
			return scalar_of(
				yaml_document_get_node(document, pair->value));
	}
	return NULL;
}

static char *join(const char *path, const char *name)
{
	return *path ? g_strdup_printf("%s.%s", path, name) : g_strdup(name);
}

static void walk(yaml_document_t *document, yaml_node_t *node, const char *path,
		 GPtrArray *leaves);

static void walk_mapping(yaml_document_t *document, yaml_node_t *node,
			 const char *path, GPtrArray *leaves)
{
	for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		const char *key =
			scalar_of(yaml_document_get_node(document, pair->key));
		g_autofree char *inner = join(path, key ? key : "?");

		walk(document, yaml_document_get_node(document, pair->value),
		     inner, leaves);
	}
}

static void walk_sequence(yaml_document_t *document, yaml_node_t *node,
			  const char *path, GPtrArray *leaves)
{
	int place = 0;

	for (yaml_node_item_t *item = node->data.sequence.items.start;
	     item < node->data.sequence.items.top; item++, place++) {
		yaml_node_t *element = yaml_document_get_node(document, *item);
		g_autofree char *number = g_strdup_printf("%d", place);
		const char *name = element_name(document, element);
		g_autofree char *inner = join(path, name ? name : number);

		walk(document, element, inner, leaves);
	}
}

static void walk(yaml_document_t *document, yaml_node_t *node, const char *path,
		 GPtrArray *leaves)
{
	struct cfg_leaf *leaf;

	if (node->type == YAML_MAPPING_NODE) {
		walk_mapping(document, node, path, leaves);
		return;
	}
	if (node->type == YAML_SEQUENCE_NODE) {
		walk_sequence(document, node, path, leaves);
		return;
	}
	leaf = g_new0(struct cfg_leaf, 1);
	leaf->path = g_strdup(path);
	leaf->value = g_strdup(scalar_of(node));
	leaf->line = (uint32_t)node->start_mark.line + 1;
	g_ptr_array_add(leaves, leaf);
}

GPtrArray *cfg_leaves(const char *text, size_t size)
{
	GPtrArray *leaves = g_ptr_array_new_with_free_func(free_leaf);
	yaml_parser_t parser;
	yaml_document_t document;
	yaml_node_t *root;

	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(&parser, (const unsigned char *)text,
				     size);
	if (!yaml_parser_load(&parser, &document)) {
		yaml_parser_delete(&parser);
		g_ptr_array_unref(leaves);
		return NULL;
	}
	root = yaml_document_get_root_node(&document);
	if (root)
		walk(&document, root, "", leaves);
	yaml_document_delete(&document);
	yaml_parser_delete(&parser);
	return leaves;
}

static GHashTable *index_leaves(GPtrArray *leaves)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; leaves && i < leaves->len; i++) {
		struct cfg_leaf *leaf = g_ptr_array_index(leaves, i);

		g_hash_table_insert(index, leaf->path, leaf);
	}
	return index;
}

static void diff_new(GPtrArray *lines, GHashTable *old, GPtrArray *leaves)
{
	for (guint i = 0; leaves && i < leaves->len; i++) {
		struct cfg_leaf *leaf = g_ptr_array_index(leaves, i);
		struct cfg_leaf *was = g_hash_table_lookup(old, leaf->path);

		if (!was)
			g_ptr_array_add(lines,
					g_strdup_printf("+ %s: %s", leaf->path,
							leaf->value));
		else if (strcmp(was->value, leaf->value) != 0)
			g_ptr_array_add(lines,
					g_strdup_printf("~ %s: %s -> %s",
							leaf->path, was->value,
							leaf->value));
	}
}

GPtrArray *cfg_diff(const char *from, const char *to)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GPtrArray) old_leaves = cfg_leaves(from, strlen(from));
	g_autoptr(GPtrArray) new_leaves = cfg_leaves(to, strlen(to));
	g_autoptr(GHashTable) old = index_leaves(old_leaves);
	g_autoptr(GHashTable) new = index_leaves(new_leaves);

	for (guint i = 0; old_leaves && i < old_leaves->len; i++) {
		struct cfg_leaf *leaf = g_ptr_array_index(old_leaves, i);

		if (!g_hash_table_contains(new, leaf->path))
			g_ptr_array_add(lines,
					g_strdup_printf("- %s: %s", leaf->path,
							leaf->value));
	}
	diff_new(lines, old, new_leaves);
	return lines;
}
