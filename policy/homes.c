#include "policy/homes.h"

#include "base/lp_texts.h"

#include <string.h>

#define SEPARATOR ","
/* How HOMES_ANYWHERE is written; no region has this name. */
#define ANYWHERE_TEXT "*"

/* Takes an array of borrowed names, in any order. */
static const char *intern_set(GPtrArray *names)
{
	g_autofree char *text = NULL;

	lp_texts_sort(names);
	text = lp_texts_join(names, SEPARATOR);
	return g_intern_string(text);
}

const char *homes_create(const char *const *regions, guint count)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();

	for (guint i = 0; i < count; i++)
		g_ptr_array_add(names, (char *)regions[i]);
	return intern_set(names);
}

const char *homes_both(const char *one, const char *two)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();
	g_auto(GStrv) regions = NULL;

	if (!one || !two)
		return one ? one : two;
	regions = g_strsplit(one, SEPARATOR, -1);
	for (char **region = regions; *region; region++)
		if (homes_have(two, *region))
			g_ptr_array_add(names, *region);
	return intern_set(names);
}

bool homes_have(const char *homes, const char *region)
{
	g_auto(GStrv) regions = NULL;

	if (!homes)
		return true;
	if (!region || !*region)
		return false;
	regions = g_strsplit(homes, SEPARATOR, -1);
	return g_strv_contains((const char *const *)regions, region);
}

const char *homes_write(const char *homes)
{
	return homes ? homes : ANYWHERE_TEXT;
}

const char *homes_read(const char *text)
{
	return strcmp(text, ANYWHERE_TEXT) != 0 ? g_intern_string(text)
						: HOMES_ANYWHERE;
}
