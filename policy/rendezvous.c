#include "policy/rendezvous.h"

#include "base/lp_id.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

struct ranked {
	uint32_t index;
	uint64_t hash;
	uint32_t domain_rank; /* within its failure domain */
};

static uint64_t hash_weight(const char *key, const char *id)
{
	return lp_hash_pair(lp_hash_str(key), lp_hash_str(id));
}

static int compare_hashes(const void *a, const void *b)
{
	const struct ranked *left = a;
	const struct ranked *right = b;

	return (left->hash < right->hash) - (left->hash > right->hash);
}

static int compare_domain_ranks(const void *a, const void *b)
{
	const struct ranked *left = a;
	const struct ranked *right = b;

	if (left->domain_rank != right->domain_rank)
		return left->domain_rank < right->domain_rank ? -1 : 1;
	return compare_hashes(a, b);
}

uint32_t rendezvous_subset(const char *self,
			   const struct rendezvous_host *hosts, uint32_t count,
			   uint32_t max, bool *chosen)
{
	struct ranked *ranked = g_new0(struct ranked, count + 1);
	g_autoptr(GHashTable) next_ranks =
		g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < count; i++) {
		ranked[i].index = i;
		ranked[i].hash = hash_weight(self, hosts[i].id);
		chosen[i] = false;
	}
	qsort(ranked, count, sizeof(*ranked), compare_hashes);
	for (uint32_t i = 0; i < count; i++) {
		gpointer domain = (gpointer)hosts[ranked[i].index].domain;

		ranked[i].domain_rank = GPOINTER_TO_UINT(
			g_hash_table_lookup(next_ranks, domain));
		g_hash_table_insert(
			next_ranks, domain,
			GUINT_TO_POINTER(ranked[i].domain_rank + 1));
	}
	qsort(ranked, count, sizeof(*ranked), compare_domain_ranks);
	for (uint32_t i = 0; i < MIN(count, max); i++)
		chosen[ranked[i].index] = true;
	g_free(ranked);
	return MIN(count, max);
}

bool rendezvous_is_reader(const char *self, const char *domain,
			  const struct rendezvous_host *hosts, uint32_t count,
			  uint32_t readers)
{
	uint64_t own_weight = hash_weight(domain, self);
	uint32_t higher_count = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(hosts[i].domain, domain) != 0 ||
		    !strcmp(hosts[i].id, self))
			continue;
		if (hash_weight(domain, hosts[i].id) > own_weight)
			higher_count += 1;
	}
	return higher_count < readers;
}

const struct rendezvous_host *
rendezvous_owner(const char *key, const struct rendezvous_host *hosts,
		 uint32_t count)
{
	const struct rendezvous_host *owner = NULL;
	uint64_t best = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t weight = hash_weight(key, hosts[i].id);

		if (!owner || weight > best) {
			owner = &hosts[i];
			best = weight;
		}
	}
	return owner;
}
