#include "direct/direct_config.h"

#include <string.h>

/* Sort key of priorities: `second` decides between equal `first`. */
struct rank {
	int32_t first;
	int32_t second;
};

static void free_route(gpointer data)
{
	struct direct_route *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	for (uint32_t i = 0; i < route->weighted_services_count; i++)
		g_free(route->weighted_services[i].service);
	g_free(route->weighted_services);
	for (uint32_t i = 0; i < route->stages_count; i++) {
		g_free(route->stages[i].service);
		g_free(route->stages[i].input_stages);
	}
	g_free(route->stages);
	g_free(route);
}

static void free_service(gpointer data)
{
	struct direct_service *service = data;

	g_free(service->name);
	g_free(service);
}

static void free_organisation(gpointer data)
{
	struct direct_organisation *organisation = data;

	g_free(organisation->name);
	g_free(organisation);
}

struct direct_config *direct_config_create(void)
{
	struct direct_config *config = g_new0(struct direct_config, 1);

	config->refs = 1;
	config->routes = g_ptr_array_new_with_free_func(free_route);
	config->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_service);
	config->organisations =
		g_ptr_array_new_with_free_func(free_organisation);
	config->routes_by_prefix =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	config->ranks = g_array_new(FALSE, FALSE, sizeof(struct rank));
	config->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return config;
}

/* Key of routes_by_prefix: host and path prefix. Neither contains a line feed,
 * so keys are unique. */
static char *prefix_key(const char *host, const char *path, size_t prefix_size)
{
	g_autofree char *lower = g_ascii_strdown(host, -1);
	g_autofree char *prefix = g_strndup(path, prefix_size);

	return g_strconcat(lower, "\n", prefix, NULL);
}

/* Of two routes with the same host and prefix the first one is used. */
static void index_route(struct direct_config *config,
			struct direct_route *route)
{
	size_t prefix_size = strlen(route->prefix);
	char *name = prefix_key(route->host, route->prefix, prefix_size);

	config->prefix_max = MAX(config->prefix_max, prefix_size);
	if (g_hash_table_contains(config->routes_by_prefix, name))
		g_free(name);
	else
		g_hash_table_insert(config->routes_by_prefix, name, route);
}

/* ---- ranks ---- */

static struct rank make_rank(const struct direct_route *route,
			     const struct direct_organisation *organisation)
{
	struct rank rank = { route->priority, route->priority };

	if (organisation && organisation->priority >= 0)
		rank.first = organisation->priority;
	return rank;
}

static int compare_ranks(gconstpointer left, gconstpointer right)
{
	const struct rank *left_rank = left;
	const struct rank *right_rank = right;

	if (left_rank->first != right_rank->first)
		return left_rank->first < right_rank->first ? -1 : 1;
	return (left_rank->second > right_rank->second) -
	       (left_rank->second < right_rank->second);
}

static void add_rank(GArray *ranks, struct rank rank)
{
	if (!g_array_binary_search(ranks, &rank, compare_ranks, NULL)) {
		g_array_append_val(ranks, rank);
		g_array_sort(ranks, compare_ranks);
	}
}

/* One organisation of each priority, since routes are many and priorities few.
 */
static GPtrArray *distinct_organisations(const struct direct_config *config)
{
	GPtrArray *distinct = g_ptr_array_new();

	for (guint i = 0; i < config->organisations->len; i++) {
		const struct direct_organisation *organisation =
			g_ptr_array_index(config->organisations, i);
		guint index = 0;

		while (index < distinct->len &&
		       ((const struct direct_organisation *)g_ptr_array_index(
				distinct, index))
				       ->priority != organisation->priority)
			index++;
		if (index == distinct->len)
			g_ptr_array_add(distinct, (gpointer)organisation);
	}
	return distinct;
}

static void index_ranks(struct direct_config *config)
{
	g_autoptr(GPtrArray) organisations = distinct_organisations(config);

	for (guint i = 0; i < config->routes->len; i++) {
		const struct direct_route *route =
			g_ptr_array_index(config->routes, i);

		if (route->is_public || !organisations->len)
			add_rank(config->ranks, make_rank(route, NULL));
		for (guint j = 0; !route->is_public && j < organisations->len;
		     j++)
			add_rank(config->ranks,
				 make_rank(route, g_ptr_array_index(
							  organisations, j)));
	}
}

int32_t direct_config_rank(const struct direct_config *config,
			   const struct direct_route *route,
			   const struct direct_organisation *organisation)
{
	struct rank rank = make_rank(route, organisation);
	guint index = 0;

	while (index < config->ranks->len &&
	       compare_ranks(&g_array_index(config->ranks, struct rank, index),
			     &rank) < 0)
		index++;
	return (int32_t)index;
}

static const char *find_least_key(const struct direct_config *config)
{
	const char *least = NULL;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, config->keys);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!least || strcmp(key, least) < 0)
			least = key;
	return least ? least : "";
}

void direct_config_seal(struct direct_config *config)
{
	config->least_key = find_least_key(config);
	for (guint i = 0; i < config->routes->len; i++)
		index_route(config, g_ptr_array_index(config->routes, i));
	index_ranks(config);
}

struct direct_config *direct_config_ref(struct direct_config *config)
{
	config->refs++;
	return config;
}

void direct_config_unref(struct direct_config *config)
{
	if (!config || --config->refs)
		return;
	g_hash_table_unref(config->routes_by_prefix);
	g_array_unref(config->ranks);
	g_ptr_array_unref(config->routes);
	g_hash_table_unref(config->services);
	g_hash_table_unref(config->keys);
	g_ptr_array_unref(config->organisations);
	g_free(config);
}

struct direct_route *direct_config_add_route(struct direct_config *config)
{
	struct direct_route *route = g_new0(struct direct_route, 1);

	g_ptr_array_add(config->routes, route);
	return route;
}

struct direct_service *direct_config_add_service(struct direct_config *config,
						 const char *name)
{
	struct direct_service *service = g_new0(struct direct_service, 1);

	service->name = g_strdup(name);
	g_hash_table_replace(config->services, service->name, service);
	return service;
}

struct direct_organisation *
direct_config_add_organisation(struct direct_config *config, const char *name)
{
	struct direct_organisation *organisation =
		g_new0(struct direct_organisation, 1);

	organisation->name = g_strdup(name);
	organisation->priority = -1;
	g_ptr_array_add(config->organisations, organisation);
	return organisation;
}

const struct direct_route *
direct_config_route(const struct direct_config *config, const char *host,
		    const char *path)
{
	/* Prefixes end with a slash; the longest one is tried first. */
	size_t prefix_size = MIN(strlen(path), config->prefix_max);
	g_autofree char *name = prefix_key(host, path, prefix_size);
	char *begin = name + strlen(host) + 1;

	for (char *end = begin + prefix_size; end > begin; end--) {
		const struct direct_route *route;

		if (end[-1] != '/')
			continue;
		*end = '\0';
		route = g_hash_table_lookup(config->routes_by_prefix, name);
		if (route)
			return route;
	}
	return NULL;
}

const struct direct_service *
direct_config_service(const struct direct_config *config, const char *name)
{
	return g_hash_table_lookup(config->services, name);
}

const char *direct_route_pick_service(const struct direct_route *route,
				      uint64_t hash)
{
	uint64_t total = 0;
	uint64_t point;

	for (uint32_t i = 0; i < route->weighted_services_count; i++)
		total += route->weighted_services[i].weight;
	if (!total)
		return route->weighted_services_count
			       ? route->weighted_services[0].service
			       : NULL;
	point = hash % total;
	for (uint32_t i = 0; i < route->weighted_services_count; i++) {
		if (point < route->weighted_services[i].weight)
			return route->weighted_services[i].service;
		point -= route->weighted_services[i].weight;
	}
	return NULL;
}
