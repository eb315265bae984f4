#include "policy/pool_private.h"

#include "base/lp_id.h"
#include "policy/incarnations.h"

#include <math.h>
#include <string.h>

/* Time after which upstreams drop results that were not freed, until the
 * configuration gives it. */
#define DEFAULT_RESULT_TTL_US (4 * LP_US_PER_S)

/* Retention of the state of upstreams that left the list ... */
#define UNLISTED_RETENTION_US (600 * LP_US_PER_S)
/* ... and the maximum number of them. */
#define UNLISTED_MAX 1000

/* State received from an incarnation that is not in the list. */
struct unlisted_state {
	struct rate_limit rate_limit;
	int64_t pushback_until_us;
	bool drain_notice;
	bool was_draining; /* by the list */
	int64_t unlisted_us;
};

/* ---- creation and destruction ---- */

struct pool_upstream *pool_upstream_ref(struct pool_upstream *upstream)
{
	upstream->refs++;
	return upstream;
}

static void clear_info(struct pool_upstream_info *info)
{
	g_free(info->id);
	g_free(info->service);
	g_free(info->address);
	g_free(info->domain);
	g_free(info->version);
}

void pool_upstream_unref(struct pool_upstream *upstream)
{
	if (!upstream || --upstream->refs)
		return;
	clear_info(&upstream->info);
	g_hash_table_unref(upstream->cached_blocks);
	result_memory_destroy(upstream->result_memory);
	g_free(upstream);
}

static void unlist_upstream(gpointer data)
{
	struct pool_upstream *upstream = data;

	upstream->listed = false;
	pool_upstream_unref(upstream);
}

struct pool *pool_create(const struct lp_clock *clock, const char *domain)
{
	struct pool *pool = g_new0(struct pool, 1);

	pool->clock = clock;
	pool->domain = g_strdup(domain);
	pool->incarnations = incarnations_create(clock);
	pool->upstreams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						unlist_upstream);
	pool->by_incarnation = g_hash_table_new(g_int64_hash, g_int64_equal);
	pool->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	pool->warmup_limits =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->cache_copying =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->rate_limit_shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->default_rate_limit_shares = (struct pool_rate_limit_shares){
		.shard_count = 1,
		.owned_shards = 1,
		.owned_share = { .fraction = RATE_LIMIT_OWNER_FRACTION },
	};
	pool->retry_schedules =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->unlisted = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	pool->regions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return pool;
}

void pool_destroy(struct pool *pool)
{
	if (!pool)
		return;
	g_hash_table_unref(pool->services);
	g_hash_table_unref(pool->warmup_limits);
	g_hash_table_unref(pool->cache_copying);
	g_hash_table_unref(pool->rate_limit_shares);
	g_hash_table_unref(pool->retry_schedules);
	g_hash_table_unref(pool->unlisted);
	g_hash_table_unref(pool->regions);
	g_hash_table_unref(pool->by_incarnation);
	g_hash_table_unref(pool->upstreams);
	incarnations_destroy(pool->incarnations);
	g_free(pool->domain);
	g_free(pool);
}

/* ---- closed domains, cold upstreams ---- */

static const struct warmup_limits *
warmup_limits_of(const struct pool *pool, const struct pool_upstream *upstream)
{
	return g_hash_table_lookup(pool->warmup_limits, upstream->info.service);
}

static void begin_cold_period(const struct pool *pool,
			      struct pool_upstream *upstream, int64_t for_us)
{
	int64_t now_us = lp_now_us(pool->clock);

	warmup_begin(&upstream->warmup, warmup_limits_of(pool, upstream),
		     now_us, now_us + for_us);
}

/* The upstream has started, or its domain was reopened: assumes the full cold
 * period of a start. */
static void assume_cold(const struct pool *pool, struct pool_upstream *upstream)
{
	const struct warmup_limits *limits = warmup_limits_of(pool, upstream);

	if (limits)
		begin_cold_period(pool, upstream, limits->cold_period_us);
}

/* The upstream may have restarted unnoticed. An entry that sends on behalf of
 * all entries paces it until the list says more; the share of any other entry
 * is too small to be paced on a suspicion. */
void pool_suspect_cold(const struct pool *pool, struct pool_upstream *upstream)
{
	const struct warmup_limits *limits = warmup_limits_of(pool, upstream);

	if (limits && limits->is_owner)
		assume_cold(pool, upstream);
}

static bool is_closed(const struct pool *pool,
		      const struct pool_upstream *upstream)
{
	return pool->closed_domains &&
	       closed_domains_contain(pool->closed_domains,
				      upstream->info.domain);
}

uint32_t pool_set_closed_domains(struct pool *pool,
				 const struct closed_domains *closed_domains)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t changes = 0;

	pool->closed_domains = closed_domains;
	g_hash_table_iter_init(&iter, pool->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_upstream *upstream = value;
		bool closed = is_closed(pool, upstream);

		if (closed == upstream->domain_closed)
			continue;
		upstream->domain_closed = closed;
		changes++;
		if (!closed)
			assume_cold(pool, upstream);
	}
	return changes;
}

void pool_set_warmup(struct pool *pool, const char *service,
		     const struct warmup_limits *limits)
{
	g_hash_table_replace(pool->warmup_limits, g_strdup(service),
			     g_memdup2(limits, sizeof(*limits)));
}

void pool_note_sent(struct pool *pool, struct pool_upstream *upstream)
{
	int64_t now_us = lp_now_us(pool->clock);

	warmup_note_sent(&upstream->warmup, warmup_limits_of(pool, upstream),
			 now_us);
	rate_limit_note_sent(&upstream->rate_limit, now_us);
}

bool pool_is_eligible(const struct pool_upstream *upstream)
{
	return upstream->listed && !pool_is_draining(upstream) &&
	       !upstream->domain_closed;
}

bool pool_is_draining(const struct pool_upstream *upstream)
{
	return upstream->info.draining || upstream->drain_notice;
}

bool pool_note_drain_notice(struct pool *pool, struct pool_upstream *upstream)
{
	bool is_new = !upstream->drain_notice;

	upstream->drain_notice = true;
	return is_new;
}

void pool_keep_draining(struct pool *pool)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_upstream *upstream = value;

		upstream->drain_notice |= upstream->info.draining;
	}
	g_hash_table_iter_init(&iter, pool->unlisted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct unlisted_state *state = value;

		state->drain_notice |= state->was_draining;
	}
}

void pool_set_region(struct pool *pool, const char *domain, const char *region)
{
	g_hash_table_replace(pool->regions, g_strdup(domain),
			     (gpointer)g_intern_string(region));
}

bool pool_service_is_closed(const struct pool *pool, const char *service,
			    const char *allowed_regions)
{
	const GPtrArray *list = pool_service_upstreams(pool, service);
	bool any = false;

	for (guint i = 0; list && i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (pool_is_draining(upstream))
			continue;
		if (!upstream->domain_closed &&
		    allowed_regions_contain(allowed_regions, upstream->region))
			return false;
		any = true;
	}
	return any;
}

/* ---- advertised rate limits ---- */

void pool_set_rate_limit_shares(struct pool *pool, const char *service,
				const struct pool_rate_limit_shares *shares)
{
	if (service)
		g_hash_table_replace(pool->rate_limit_shares, g_strdup(service),
				     g_memdup2(shares, sizeof(*shares)));
	else
		pool->default_rate_limit_shares = *shares;
}

static struct rate_limit_share
rate_limit_share_of(const struct pool *pool,
		    const struct pool_upstream *upstream)
{
	const struct pool_rate_limit_shares *found = g_hash_table_lookup(
		pool->rate_limit_shares, upstream->info.service);
	const struct pool_rate_limit_shares *shares =
		found ? found : &pool->default_rate_limit_shares;
	bool is_owned =
		shares->owned_shards >> (upstream->hash % shares->shard_count) &
		1;
	struct rate_limit_share share =
		is_owned ? shares->owned_share : shares->other_share;

	/* Keeps this entry's slots at several upstreams from coinciding. */
	share.phase += (double)upstream->hash / (double)UINT64_MAX;
	share.phase -= floor(share.phase);
	return share;
}

bool pool_note_rate_limit(struct pool *pool, struct pool_upstream *upstream,
			  const struct rate_limit_report *report)
{
	return rate_limit_update(&upstream->rate_limit, report);
}

/* Listed upstreams that satisfy the predicate. */
static GPtrArray *
find_upstreams(const struct pool *pool,
	       bool (*predicate)(const struct pool_upstream *upstream))
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (predicate(value))
			g_ptr_array_add(found, value);
	return found;
}

static bool advertises_rate_limit(const struct pool_upstream *upstream)
{
	return upstream->rate_limit.advertised;
}

GPtrArray *pool_list_rate_limited(const struct pool *pool)
{
	return find_upstreams(pool, advertises_rate_limit);
}

static bool gave_drain_notice(const struct pool_upstream *upstream)
{
	return upstream->drain_notice;
}

GPtrArray *pool_list_drain_notices(const struct pool *pool)
{
	return find_upstreams(pool, gave_drain_notice);
}

int64_t pool_rate_limit_wait_us(const struct pool *pool,
				const struct pool_upstream *upstream)
{
	struct rate_limit_share share;

	if (!upstream->rate_limit.advertised)
		return 0;
	share = rate_limit_share_of(pool, upstream);
	return rate_limit_wait_us(&upstream->rate_limit, &share,
				  lp_now_us(pool->clock));
}

double pool_rate_limit_per_s(const struct pool *pool,
			     const struct pool_upstream *upstream)
{
	struct rate_limit_share share = rate_limit_share_of(pool, upstream);

	return rate_limit_share_per_s(&upstream->rate_limit, &share);
}

/* ---- pushback ---- */

void pool_note_pushback(struct pool *pool, struct pool_upstream *upstream,
			int64_t pushback_us)
{
	upstream->pushback_until_us = MAX(upstream->pushback_until_us,
					  lp_now_us(pool->clock) + pushback_us);
}

int64_t pool_pushback_left_us(const struct pool *pool,
			      const struct pool_upstream *upstream)
{
	/* Most upstreams never sent a pushback: avoids reading the clock. */
	if (!upstream->pushback_until_us)
		return 0;
	return MAX(upstream->pushback_until_us - lp_now_us(pool->clock), 0);
}

bool pool_has_pushback(const struct pool *pool,
		       const struct pool_upstream *upstream)
{
	return pool_pushback_left_us(pool, upstream) > 0;
}

/* ---- state of upstreams that left the list ---- */

static gboolean unlisted_has_expired(gpointer incarnation, gpointer value,
				     gpointer userdata)
{
	const int64_t *now_us = userdata;

	return *now_us - ((const struct unlisted_state *)value)->unlisted_us >=
	       UNLISTED_RETENTION_US;
}

/* Saves state of an upstream that leaves the list and may return: its entry
 * expires while the key-value service is unavailable. */
static void save_unlisted_state(struct pool *pool,
				const struct pool_upstream *upstream)
{
	int64_t now_us = lp_now_us(pool->clock);
	struct unlisted_state state = {
		.rate_limit = upstream->rate_limit,
		.pushback_until_us = upstream->pushback_until_us,
		.drain_notice = upstream->drain_notice,
		.was_draining = upstream->info.draining,
		.unlisted_us = now_us,
	};

	if (!upstream->rate_limit.advertised && !pool_is_draining(upstream) &&
	    !pool_has_pushback(pool, upstream))
		return;
	g_hash_table_foreach_remove(pool->unlisted, unlisted_has_expired,
				    &now_us);
	if (g_hash_table_size(pool->unlisted) >= UNLISTED_MAX)
		return;
	g_hash_table_replace(pool->unlisted,
			     g_memdup2(&upstream->incarnation,
				       sizeof(upstream->incarnation)),
			     g_memdup2(&state, sizeof(state)));
}

static void restore_unlisted_state(struct pool *pool,
				   struct pool_upstream *upstream)
{
	const struct unlisted_state *state =
		g_hash_table_lookup(pool->unlisted, &upstream->incarnation);

	if (!state)
		return;
	upstream->rate_limit = state->rate_limit;
	upstream->pushback_until_us = state->pushback_until_us;
	upstream->drain_notice = state->drain_notice;
	g_hash_table_remove(pool->unlisted, &upstream->incarnation);
}

/* Whether a request is permitted now by eligibility, warm-up, pushback and the
 * advertised rate limit, which must hold even if there is no other upstream. */
bool pool_is_send_permitted(const struct pool *pool,
			    const struct pool_upstream *upstream)
{
	return pool_is_eligible(upstream) &&
	       warmup_may_send(&upstream->warmup, lp_now_us(pool->clock)) &&
	       !pool_has_pushback(pool, upstream) &&
	       !pool_rate_limit_wait_us(pool, upstream);
}

/* ---- the list ---- */

static uint64_t version_id(const struct pool_upstream_info *info)
{
	return info->version ? lp_hash_pair(lp_hash_str(info->service),
					    lp_hash_str(info->version))
			     : 0;
}

static struct pool_upstream *
create_upstream(const struct pool *pool, const struct pool_upstream_info *info)
{
	const struct result_memory_options options = {
		.clock = pool->clock,
		.result_ttl_us = DEFAULT_RESULT_TTL_US,
	};
	struct pool_upstream *upstream = g_new0(struct pool_upstream, 1);

	upstream->info.id = g_strdup(info->id);
	upstream->info.service = g_strdup(info->service);
	upstream->info.address = g_strdup(info->address);
	upstream->info.domain = g_strdup(info->domain);
	upstream->info.version = g_strdup(info->version);
	upstream->info.slots = info->slots;
	upstream->info.draining = info->draining;
	upstream->info.born_ms = info->born_ms;
	upstream->hash = lp_hash_str(info->id);
	upstream->incarnation =
		info->born_ms
			? lp_hash_pair(upstream->hash, (uint64_t)info->born_ms)
			: upstream->hash;
	upstream->version_id = version_id(info);
	upstream->listed = true;
	upstream->refs = 1;
	upstream->slowness = 1.0;
	upstream->result_memory = result_memory_create(&options);
	upstream->cached_blocks = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	upstream->domain_closed = is_closed(pool, upstream);
	upstream->region = g_hash_table_lookup(pool->regions, info->domain);
	begin_cold_period(pool, upstream, info->cold_left_us);
	return upstream;
}

static GPtrArray *service_upstreams(struct pool *pool, const char *service)
{
	GPtrArray *list = g_hash_table_lookup(pool->services, service);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(pool->services, g_strdup(service), list);
	}
	return list;
}

static bool has_same_address_and_service(const struct pool_upstream *upstream,
					 const struct pool_upstream_info *info)
{
	return !strcmp(upstream->info.address, info->address) &&
	       !strcmp(upstream->info.service, info->service);
}

/* Whether the listed upstream can be the same process: a process does not
 * change its software. */
static bool is_same_process(const struct pool_upstream *upstream,
			    const struct pool_upstream_info *info)
{
	return has_same_address_and_service(upstream, info) &&
	       (!upstream->info.version ||
		!g_strcmp0(upstream->info.version, info->version));
}

void pool_set_restart_callback(struct pool *pool, pool_restarted_fn restarted,
			       void *userdata)
{
	pool->restarted = restarted;
	pool->restarted_userdata = userdata;
}

static struct pool_upstream *
add_incarnation(struct pool *pool, const struct pool_upstream_info *info)
{
	struct pool_upstream *upstream = create_upstream(pool, info);

	restore_unlisted_state(pool, upstream);
	g_hash_table_insert(pool->upstreams, upstream->info.id, upstream);
	return upstream;
}

/* Replaces an incarnation; no estimate is carried over. Holders of the previous
 * one end their work in progress there. */
static struct pool_upstream *
replace_incarnation(struct pool *pool, struct pool_upstream *listed,
		    const struct pool_upstream_info *info)
{
	struct pool_upstream *before = pool_upstream_ref(listed);
	struct pool_upstream *after;

	g_hash_table_remove(pool->upstreams, before->info.id);
	after = add_incarnation(pool, info);
	if (pool->restarted)
		pool->restarted(pool->restarted_userdata, before, after);
	pool_upstream_unref(before);
	return after;
}

/* Returns whether anything changed. */
static bool apply_info(struct pool *pool, const struct pool_upstream_info *info)
{
	struct pool_upstream *upstream = pool_find(pool, info->id);
	enum incarnation_status status = incarnations_observe_listed(
		pool->incarnations, info->id, info->born_ms);
	bool changed;

	if (status == INCARNATION_STALE) {
		pool->needs_reapply = true;
		return false;
	}
	if (!upstream) {
		add_incarnation(pool, info);
		return true;
	}
	if (status == INCARNATION_NEW || !is_same_process(upstream, info)) {
		replace_incarnation(pool, upstream, info);
		return true;
	}
	if (info->cold_left_us)
		begin_cold_period(pool, upstream, info->cold_left_us);
	changed = upstream->info.draining != info->draining;
	upstream->info.slots = info->slots;
	upstream->info.draining = info->draining;
	if (!upstream->info.version) {
		upstream->info.version = g_strdup(info->version);
		upstream->version_id = version_id(info);
	}
	return changed;
}

static uint32_t remove_missing(struct pool *pool,
			       const struct pool_upstream_info *infos,
			       uint32_t count)
{
	g_autoptr(GHashTable) listed_ids =
		g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	uint32_t removed = 0;

	for (uint32_t i = 0; i < count; i++)
		g_hash_table_add(listed_ids, infos[i].id);
	g_hash_table_iter_init(&iter, pool->upstreams);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (g_hash_table_contains(listed_ids, key))
			continue;
		save_unlisted_state(pool, value);
		g_hash_table_iter_remove(&iter);
		removed++;
	}
	return removed;
}

/* The index borrows from upstreams, some of which may be removed next. */
static void clear_index(struct pool *pool)
{
	g_hash_table_remove_all(pool->services);
	g_hash_table_remove_all(pool->by_incarnation);
}

/* Rebuilds the indexes by service and by incarnation. */
static void index_upstreams(struct pool *pool)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_upstream *upstream = value;

		g_ptr_array_add(service_upstreams(pool, upstream->info.service),
				upstream);
		g_hash_table_insert(pool->by_incarnation,
				    &upstream->incarnation, upstream);
	}
}

uint32_t pool_update(struct pool *pool, const struct pool_upstream_info *infos,
		     uint32_t count)
{
	uint32_t changes;

	clear_index(pool);
	pool->needs_reapply = false;
	changes = remove_missing(pool, infos, count);
	for (uint32_t i = 0; i < count; i++)
		if (apply_info(pool, &infos[i]))
			changes++;
	incarnations_expire(pool->incarnations);
	index_upstreams(pool);
	return changes;
}

bool pool_needs_reapply(const struct pool *pool)
{
	return pool->needs_reapply;
}

/* Replaces the listed incarnation by a newer one that the list does not have
 * yet: the same info except for the start time. It may run other software than
 * the one before. */
static struct pool_upstream *
adopt_newer_incarnation(struct pool *pool, struct pool_upstream *listed,
			int64_t born_ms)
{
	struct pool_upstream_info info = listed->info;
	struct pool_upstream *after;

	info.born_ms = born_ms;
	info.version = NULL;
	clear_index(pool);
	after = replace_incarnation(pool, listed, &info);
	assume_cold(pool, after);
	index_upstreams(pool);
	return after;
}

struct pool_upstream *pool_attribute_answer(struct pool *pool,
					    struct pool_upstream *upstream,
					    int64_t born_ms, int64_t sent_us)
{
	struct pool_upstream *listed = pool_find(pool, upstream->info.id);
	enum incarnation_status status = incarnations_observe_answer(
		pool->incarnations, upstream->info.id, born_ms, sent_us);

	if (status == INCARNATION_STALE)
		return NULL;
	if (!listed) /* unlisted while draining; keeps results for a while */
		return upstream;
	if (!has_same_address_and_service(listed, &upstream->info))
		return NULL;
	if (status == INCARNATION_NEW)
		return adopt_newer_incarnation(pool, listed, born_ms);
	/* Without a start time the answer may come from `upstream`, which has
	 * terminated. */
	return listed == upstream || born_ms ? listed : NULL;
}

const GPtrArray *pool_service_upstreams(const struct pool *pool,
					const char *service)
{
	return g_hash_table_lookup(pool->services, service);
}

void pool_foreach(const struct pool *pool,
		  void (*fn)(void *userdata,
			     const struct pool_upstream *upstream),
		  void *userdata)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(userdata, value);
}

const struct pool_upstream *pool_find_version(const struct pool *pool,
					      const char *service,
					      uint64_t version_id)
{
	const GPtrArray *list = pool_service_upstreams(pool, service);
	const struct pool_upstream *found = NULL;

	for (guint i = 0; list && i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (upstream->version_id == version_id &&
		    (!found || !pool_is_eligible(found)))
			found = upstream;
	}
	return found;
}

struct pool_upstream *pool_find(const struct pool *pool, const char *id)
{
	return g_hash_table_lookup(pool->upstreams, id);
}

struct pool_upstream *pool_find_incarnation(const struct pool *pool,
					    uint64_t incarnation)
{
	return g_hash_table_lookup(pool->by_incarnation, &incarnation);
}
