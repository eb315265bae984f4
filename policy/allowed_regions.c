#include "policy/allowed_regions.h"

#include "base/lp_texts.h"

#include <string.h>

#define SEPARATOR ","
/* Wire format of ALLOWED_REGIONS_ANY; no region has this name. */
#define ANY_REGION_TEXT "*"

/* `names` are borrowed and get sorted. */
static const char *intern_set(GPtrArray *names)
{
	g_autofree char *text = NULL;

	lp_texts_sort(names);
	text = lp_texts_join(names, SEPARATOR);
	return g_intern_string(text);
}

const char *allowed_regions_create(const char *const *regions, guint count)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();

	for (guint i = 0; i < count; i++)
		g_ptr_array_add(names, (char *)regions[i]);
	return intern_set(names);
}

const char *allowed_regions_intersect(const char *one, const char *two)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();
	g_auto(GStrv) regions = NULL;

	if (!one || !two)
		return one ? one : two;
	regions = g_strsplit(one, SEPARATOR, -1);
	for (char **region = regions; *region; region++)
		if (allowed_regions_contain(two, *region))
			g_ptr_array_add(names, *region);
	return intern_set(names);
}

bool allowed_regions_contain(const char *allowed_regions, const char *region)
{
	g_auto(GStrv) regions = NULL;

	if (!allowed_regions)
		return true;
	if (!region || !*region)
		return false;
	regions = g_strsplit(allowed_regions, SEPARATOR, -1);
	return g_strv_contains((const char *const *)regions, region);
}

const char *allowed_regions_encode(const char *allowed_regions)
{
	return allowed_regions ? allowed_regions : ANY_REGION_TEXT;
}

const char *allowed_regions_decode(const char *text)
{
	return strcmp(text, ANY_REGION_TEXT) != 0 ? g_intern_string(text)
						  : ALLOWED_REGIONS_ANY;
}
