#include "policy/closed_domains.h"

#include "base/lp_texts.h"

struct closed_domains {
	GHashTable *domains;  /* set of names */
	GHashTable *retained; /* likewise */
	struct store_revision revision;
	bool is_known;
};

static GHashTable *create_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct closed_domains *closed_domains_create(void)
{
	struct closed_domains *closed_domains =
		g_new0(struct closed_domains, 1);

	closed_domains->domains = create_set();
	closed_domains->retained = create_set();
	return closed_domains;
}

void closed_domains_destroy(struct closed_domains *closed_domains)
{
	if (!closed_domains)
		return;
	g_hash_table_unref(closed_domains->domains);
	g_hash_table_unref(closed_domains->retained);
	g_free(closed_domains);
}

static bool is_older(const struct closed_domains *closed_domains,
		     const struct store_revision *revision)
{
	return closed_domains->is_known &&
	       store_revision_compare(revision, &closed_domains->revision) < 0;
}

static void retain_all(struct closed_domains *closed_domains)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, closed_domains->domains);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_hash_table_add(closed_domains->retained, g_strdup(name));
}

/* An era that was not known before is none that the service was restored to. */
static bool begins_era(const struct closed_domains *closed_domains,
		       const struct store_revision *revision)
{
	return closed_domains->is_known &&
	       closed_domains->revision.era != STORE_ERA_UNKNOWN &&
	       revision->era > closed_domains->revision.era;
}

bool closed_domains_replace(struct closed_domains *closed_domains,
			    const struct store_revision *revision,
			    const char *const *domains, uint32_t count)
{
	if (closed_domains->is_known &&
	    store_revision_compare(revision, &closed_domains->revision) <= 0)
		return false;
	if (begins_era(closed_domains, revision))
		retain_all(closed_domains);
	closed_domains->is_known = true;
	closed_domains->revision = *revision;
	g_hash_table_remove_all(closed_domains->domains);
	for (uint32_t i = 0; i < count; i++) {
		g_hash_table_add(closed_domains->domains, g_strdup(domains[i]));
		g_hash_table_remove(closed_domains->retained, domains[i]);
	}
	return true;
}

bool closed_domains_set(struct closed_domains *closed_domains,
			const struct store_revision *revision,
			const char *domain, bool closed)
{
	if (is_older(closed_domains, revision))
		return false;
	closed_domains->is_known = true;
	closed_domains->revision = *revision;
	g_hash_table_remove(closed_domains->retained, domain);
	if (closed)
		g_hash_table_add(closed_domains->domains, g_strdup(domain));
	else
		g_hash_table_remove(closed_domains->domains, domain);
	return true;
}

bool closed_domains_contain(const struct closed_domains *closed_domains,
			    const char *domain)
{
	return g_hash_table_contains(closed_domains->domains, domain) ||
	       g_hash_table_contains(closed_domains->retained, domain);
}

bool closed_domains_is_known(const struct closed_domains *closed_domains)
{
	return closed_domains->is_known;
}

const struct store_revision *
closed_domains_revision(const struct closed_domains *closed_domains)
{
	return &closed_domains->revision;
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

uint32_t
closed_domains_retained_count(const struct closed_domains *closed_domains)
{
	return g_hash_table_size(closed_domains->retained);
}

void closed_domains_drop_retained(struct closed_domains *closed_domains)
{
	g_hash_table_remove_all(closed_domains->retained);
}
