#include "base/lp_texts.h"

#include <string.h>

static gint by_bytes(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

void lp_texts_sort(GPtrArray *texts)
{
	g_ptr_array_sort(texts, by_bytes);
}

char *lp_texts_join(const GPtrArray *texts, const char *separator)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < texts->len; i++) {
		if (i)
			g_string_append(out, separator);
		g_string_append(out, g_ptr_array_index(texts, i));
	}
	return g_string_free(out, FALSE);
}
