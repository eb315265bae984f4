#include "policy/rendezvous.h"

#include "base/lp_id.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

struct ranked {
	uint32_t index;
	uint64_t hash;
	uint32_t place; /* within its domain */
};

static uint64_t weight_of(const char *key, const char *id)
{
	return lp_hash_pair(lp_hash_str(key), lp_hash_str(id));
}

static int by_hash(const void *a, const void *b)
{
	const struct ranked *left = a;
	const struct ranked *right = b;

	return (left->hash < right->hash) - (left->hash > right->hash);
}

static int by_place(const void *a, const void *b)
{
	const struct ranked *left = a;
	const struct ranked *right = b;

	if (left->place != right->place)
		return left->place < right->place ? -1 : 1;
	return by_hash(a, b);
}

uint32_t rendezvous_subset(const char *self,
			   const struct rendezvous_host *members,
			   uint32_t count, uint32_t max, bool *chosen)
{
	struct ranked *ranked = g_new0(struct ranked, count + 1);
	g_autoptr(GHashTable) places =
		g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < count; i++) {
		ranked[i].index = i;
		ranked[i].hash = weight_of(self, members[i].id);
		chosen[i] = false;
	}
	qsort(ranked, count, sizeof(*ranked), by_hash);
	for (uint32_t i = 0; i < count; i++) {
		gpointer domain = (gpointer)members[ranked[i].index].domain;

		ranked[i].place =
			GPOINTER_TO_UINT(g_hash_table_lookup(places, domain));
		g_hash_table_insert(places, domain,
				    GUINT_TO_POINTER(ranked[i].place + 1));
	}
	qsort(ranked, count, sizeof(*ranked), by_place);
	for (uint32_t i = 0; i < MIN(count, max); i++)
		chosen[ranked[i].index] = true;
	g_free(ranked);
	return MIN(count, max);
}

bool rendezvous_is_reader(const char *self, const char *domain,
			  const struct rendezvous_host *members, uint32_t count,
			  uint32_t readers)
{
	uint64_t own = weight_of(domain, self);
	uint32_t above = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(members[i].domain, domain) != 0 ||
		    !strcmp(members[i].id, self))
			continue;
		if (weight_of(domain, members[i].id) > own)
			above += 1;
	}
	return above < readers;
}

const struct rendezvous_host *
rendezvous_owner(const char *key, const struct rendezvous_host *members,
		 uint32_t count)
{
	const struct rendezvous_host *owner = NULL;
	uint64_t best = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t weight = weight_of(key, members[i].id);

		if (!owner || weight > best) {
			owner = &members[i];
			best = weight;
		}
	}
	return owner;
}
