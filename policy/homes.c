#include "policy/homes.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

static int by_hash(const void *a, const void *b)
{
	const struct homes_place *one = a;
	const struct homes_place *two = b;

	return one->hash < two->hash ? -1 : one->hash > two->hash;
}

/* The upstream with the fewest entries; among those, one of the domain. */
static uint32_t pick(const struct homes_place *entry,
		     const struct homes_place *upstreams, uint32_t count,
		     const uint32_t *taken)
{
	uint32_t best = 0;
	bool best_near = false;

	for (uint32_t i = 0; i < count; i++) {
		bool near = !strcmp(upstreams[i].domain, entry->domain);

		if (i && (taken[i] > taken[best] ||
			  (taken[i] == taken[best] && best_near >= near)))
			continue;
		best = i;
		best_near = near;
	}
	return best;
}

int32_t homes_find(struct homes_place *entries, uint32_t entries_count,
		   struct homes_place *upstreams, uint32_t upstreams_count,
		   uint64_t self)
{
	uint32_t *taken;
	int32_t found = -1;

	if (!upstreams_count)
		return found;
	taken = g_new0(uint32_t, upstreams_count);
	qsort(entries, entries_count, sizeof(*entries), by_hash);
	qsort(upstreams, upstreams_count, sizeof(*upstreams), by_hash);
	for (uint32_t i = 0; i < entries_count && found < 0; i++) {
		uint32_t home =
			pick(&entries[i], upstreams, upstreams_count, taken);

		if (entries[i].hash == self)
			found = (int32_t)home;
		taken[home]++;
	}
	g_free(taken);
	return found;
}
