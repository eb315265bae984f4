#include "policy/closed_domains.h"

#include "base/lp_texts.h"

#define REVISION_UNKNOWN (-1)

struct closed_domains {
	GHashTable *domains; /* set of names */
	int64_t revision;
};

struct closed_domains *closed_domains_create(void)
{
	struct closed_domains *closed_domains =
		g_new0(struct closed_domains, 1);

	closed_domains->domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	closed_domains->revision = REVISION_UNKNOWN;
	return closed_domains;
}

void closed_domains_destroy(struct closed_domains *closed_domains)
{
	if (!closed_domains)
		return;
	g_hash_table_unref(closed_domains->domains);
	g_free(closed_domains);
}

bool closed_domains_replace(struct closed_domains *closed_domains,
			    int64_t revision, const char *const *domains,
			    uint32_t count)
{
	if (revision <= closed_domains->revision)
		return false;
	closed_domains->revision = revision;
	g_hash_table_remove_all(closed_domains->domains);
	for (uint32_t i = 0; i < count; i++)
		g_hash_table_add(closed_domains->domains, g_strdup(domains[i]));
	return true;
}

bool closed_domains_set(struct closed_domains *closed_domains, int64_t revision,
			const char *domain, bool closed)
{
	if (revision < closed_domains->revision)
		return false;
	closed_domains->revision = revision;
	if (closed)
		g_hash_table_add(closed_domains->domains, g_strdup(domain));
	else
		g_hash_table_remove(closed_domains->domains, domain);
	return true;
}

bool closed_domains_contain(const struct closed_domains *closed_domains,
			    const char *domain)
{
	return g_hash_table_contains(closed_domains->domains, domain);
}

bool closed_domains_is_known(const struct closed_domains *closed_domains)
{
	return closed_domains->revision != REVISION_UNKNOWN;
}

int64_t closed_domains_revision(const struct closed_domains *closed_domains)
{
	return closed_domains->revision;
}

GPtrArray *closed_domains_list(const struct closed_domains *closed_domains)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, closed_domains->domains);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(list, name);
	lp_texts_sort(list);
	return list;
}
