#include "base/lp_counter.h"

#include <string.h>

struct lp_counters {
	GTree *cells; /* "name{labels}" to int64_t */
};

static int compare_names(gconstpointer a, gconstpointer b, gpointer userdata)
{
	return g_strcmp0(a, b);
}

struct lp_counters *lp_counters_create(void)
{
	struct lp_counters *counters = g_new0(struct lp_counters, 1);

	counters->cells = g_tree_new_full(compare_names, NULL, g_free, g_free);
	return counters;
}

void lp_counters_destroy(struct lp_counters *counters)
{
	if (!counters)
		return;
	g_tree_destroy(counters->cells);
	g_free(counters);
}

int64_t *lp_counter(struct lp_counters *counters, const char *name,
		    const char *labels)
{
	char *key = labels ? g_strdup_printf("%s{%s}", name, labels)
			   : g_strdup(name);
	int64_t *cell = g_tree_lookup(counters->cells, key);

	if (cell) {
		g_free(key);
		return cell;
	}
	cell = g_new0(int64_t, 1);
	g_tree_insert(counters->cells, key, cell);
	return cell;
}

static gboolean print_cell(gpointer key, gpointer value, gpointer userdata)
{
	g_string_append_printf(userdata, "%s %" G_GINT64_FORMAT "\n",
			       (const char *)key, *(int64_t *)value);
	return FALSE;
}

void lp_counters_print(const struct lp_counters *counters, GString *out)
{
	g_tree_foreach(counters->cells, print_cell, out);
}

struct summary {
	const char *name;
	GString *out;
};

static void append_without_quotes(GString *out, const char *labels)
{
	for (; *labels && *labels != '}'; labels++)
		if (*labels != '"')
			g_string_append_c(out, *labels);
}

static gboolean summarize_cell(gpointer key, gpointer value, gpointer userdata)
{
	struct summary *summary = userdata;
	size_t length = strlen(summary->name);
	const char *labels = (const char *)key + length;

	if (!g_str_has_prefix(key, summary->name) || *labels != '{' ||
	    !*(int64_t *)value)
		return FALSE;
	if (summary->out->len)
		g_string_append_c(summary->out, ' ');
	append_without_quotes(summary->out, labels + 1);
	g_string_append_printf(summary->out, "=%" G_GINT64_FORMAT,
			       *(int64_t *)value);
	return FALSE;
}

void lp_counters_summarize(const struct lp_counters *counters, const char *name,
			   GString *out)
{
	struct summary summary = { name, out };

	g_tree_foreach(counters->cells, summarize_cell, &summary);
}
