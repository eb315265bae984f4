#include "policy/pool.h"

#include "base/lp_id.h"
#include "policy/incarnations.h"
#include "policy/retry_schedule.h"

#include <math.h>
#include <string.h>

/* Time from the end of the prefill to an engine's first event. */
#define FIRST_DECODE_STEP_US (10 * LP_US_PER_MS)
/* Each request in flight slows an engine's steps by about 0.3%. */
#define STEP_SLOWDOWN_PER_REQUEST_US (500)
/* Another upstream than the affinity upstream of a prefix must be faster by
 * this to be selected: two thirds of the prefill of a typical prompt. */
#define NON_AFFINITY_COST_US (40 * LP_US_PER_MS)
/* Repeating the prefill of shared tokens costs the platform five times its
 * duration, by the prices of the sites (a thousand tokens cost as much as 3 MB
 * fetched across domains). */
#define REPEATED_PREFILL_WEIGHT 5
/* Missing the latency target costs as much as repeating the prefill of some
 * 25,000 tokens: six sevenths of a request's value, by the sites' prices. */
#define LATE_COST_US (2000 * LP_US_PER_MS)
/* An upstream in another domain than this entry: one more round trip, and the
 * traffic is paid for. */
#define OTHER_DOMAIN_COST_US (20 * LP_US_PER_MS)
/* Cost of bytes fetched across domains, as time: 3 MB cost 95 ms. */
#define FETCH_BYTES_PER_US 31
/* Ejection time after a failure; doubles with each consecutive one. */
#define EJECTION_BASE_US (250 * LP_US_PER_MS)
#define EJECTION_DOUBLINGS_MAX 4
#define EJECTION_MAX_US (4 * LP_US_PER_S)
/* Reports of other entries are ignored for so long after an answer. */
#define RECENT_OUTCOME_US (300 * LP_US_PER_MS)
/* Ejection time after a refusal because of load. */
#define OVERLOAD_EJECTION_US (60 * LP_US_PER_MS)
/* Weight of the newest outcome in an exponential moving average. */
#define OUTCOME_WEIGHT 0.3
/* Half-life of the slowness and error rate estimates without outcomes, so that
 * an upstream that has recovered is selected again. */
#define ESTIMATE_HALF_LIFE_US (2 * LP_US_PER_S)
#define SLOWNESS_MAX 20.0
/* Time after which upstreams drop results that were not freed, until the
 * configuration gives it. */
#define DEFAULT_RESULT_TTL_US (4 * LP_US_PER_S)
/* Cost of a request to an idle upstream of a service without prompts. */
#define PLAIN_CALL_COST_US (60 * LP_US_PER_MS)

/* Cost of a copied prefix cache, as time: a token of a typical model costs
 * about a fifth of the cost of repeating its prefill. */
#define CACHE_COPY_COST_BYTES_PER_US 8000
/* Time to request and start a copy. */
#define CACHE_COPY_SETUP_US (5 * LP_US_PER_MS)

/* Retention of the state of upstreams that left the list ... */
#define UNLISTED_RETENTION_US (600 * LP_US_PER_S)
/* ... and the maximum number of them. */
#define UNLISTED_MAX 1000

struct cached_block {
	int64_t tokens;
	int64_t used_us;
	int64_t prefilled_us; /* estimated end of its prefill */
};

/* How engines of a service copy prefix caches from each other. */
struct cache_copying {
	int64_t token_bytes;
	double bytes_per_us;
};

/* State received from an incarnation that is not in the list. */
struct unlisted_state {
	struct rate_limit rate_limit;
	int64_t pushback_until_us;
	bool drain_notice;
	int64_t unlisted_us;
};

struct pool {
	const struct lp_clock *clock;
	char *domain;
	GHashTable *upstreams;	    /* id -> struct pool_upstream */
	GHashTable *by_incarnation; /* incarnation -> the same */
	struct incarnations *incarnations;
	bool needs_reapply;
	pool_restarted_fn restarted;
	void *restarted_userdata;
	GHashTable *services; /* name -> GPtrArray of struct pool_upstream */
	const struct closed_domains *closed_domains; /* NULL: unknown */
	GHashTable *warmup_limits;     /* service -> struct warmup_limits */
	GHashTable *cache_copying;     /* service -> struct cache_copying */
	GHashTable *rate_limit_shares; /* service -> struct
					  pool_rate_limit_shares */
	struct pool_rate_limit_shares
		default_rate_limit_shares; /* of other services */
	GHashTable *retry_schedules; /* service -> struct retry_schedule */
	GHashTable *unlisted;	     /* incarnation -> struct unlisted_state */
	GHashTable *regions;	     /* domain -> interned region */
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
static void suspect_cold(const struct pool *pool,
			 struct pool_upstream *upstream)
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

static int64_t pushback_left_us(const struct pool *pool,
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
	return pushback_left_us(pool, upstream) > 0;
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
		.unlisted_us = now_us,
	};

	if (!upstream->rate_limit.advertised && !upstream->drain_notice &&
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
static bool is_send_permitted(const struct pool *pool,
			      const struct pool_upstream *upstream)
{
	return pool_is_eligible(upstream) &&
	       warmup_may_send(&upstream->warmup, lp_now_us(pool->clock)) &&
	       !pool_has_pushback(pool, upstream) &&
	       !pool_rate_limit_wait_us(pool, upstream);
}

/* ---- the list ---- */

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
	upstream->info.slots = info->slots;
	upstream->info.draining = info->draining;
	upstream->info.born_ms = info->born_ms;
	upstream->hash = lp_hash_str(info->id);
	upstream->incarnation =
		info->born_ms
			? lp_hash_pair(upstream->hash, (uint64_t)info->born_ms)
			: upstream->hash;
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
	if (status == INCARNATION_NEW ||
	    !has_same_address_and_service(upstream, info)) {
		replace_incarnation(pool, upstream, info);
		return true;
	}
	if (info->cold_left_us)
		begin_cold_period(pool, upstream, info->cold_left_us);
	changed = upstream->info.draining != info->draining;
	upstream->info.slots = info->slots;
	upstream->info.draining = info->draining;
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
 * yet: the same info except for the start time. */
static struct pool_upstream *
adopt_newer_incarnation(struct pool *pool, struct pool_upstream *listed,
			int64_t born_ms)
{
	struct pool_upstream_info info = listed->info;
	struct pool_upstream *after;

	info.born_ms = born_ms;
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

struct pool_upstream *pool_find(const struct pool *pool, const char *id)
{
	return g_hash_table_lookup(pool->upstreams, id);
}

struct pool_upstream *pool_find_incarnation(const struct pool *pool,
					    uint64_t incarnation)
{
	return g_hash_table_lookup(pool->by_incarnation, &incarnation);
}

/* ---- prefix caches ---- */

int64_t pool_uncached_tokens(const struct pool_upstream *upstream,
			     const struct pool_prefix_block *blocks,
			     uint32_t count)
{
	int64_t uncached = 0;

	for (uint32_t i = 0; i < count; i++)
		/* A block is usable only if all before it are cached. */
		if (uncached || !g_hash_table_contains(upstream->cached_blocks,
						       &blocks[i].id))
			uncached += blocks[i].tokens;
	return uncached;
}

/* Estimated time until the prefill of a prompt that is sent now completes. */
static int64_t prefill_time_us(const struct pool_upstream *upstream,
			       const struct pool_prefix_block *blocks,
			       uint32_t count)
{
	int64_t tokens = upstream->pending_prefill_tokens +
			 pool_uncached_tokens(upstream, blocks, count);

	return tokens * LP_US_PER_MS / POOL_PREFILL_TOKENS_PER_MS;
}

/* Tokens at the start of a prompt whose prefill has completed at an engine. */
static int64_t prefilled_prefix_tokens(const struct pool_upstream *upstream,
				       const struct pool_prefix_block *blocks,
				       uint32_t count, int64_t now_us)
{
	int64_t tokens = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct cached_block *block = g_hash_table_lookup(
			upstream->cached_blocks, &blocks[i].id);

		if (!block || block->prefilled_us > now_us)
			break;
		tokens += block->tokens;
	}
	return tokens;
}

/* ---- prefix caches copied between engines ---- */

void pool_set_cache_copying(struct pool *pool, const char *service,
			    int64_t token_bytes, double bytes_per_us)
{
	const struct cache_copying copying = { token_bytes, bytes_per_us };

	if (token_bytes > 0 && bytes_per_us > 0)
		g_hash_table_replace(pool->cache_copying, g_strdup(service),
				     g_memdup2(&copying, sizeof(copying)));
	else
		g_hash_table_remove(pool->cache_copying, service);
}

static const struct cache_copying *cache_copying_of(const struct pool *pool,
						    const char *service)
{
	return g_hash_table_lookup(pool->cache_copying, service);
}

/* `copying` NULL: the service does not copy; then `tokens` is 0. */
static int64_t copy_us(const struct cache_copying *copying, int64_t tokens)
{
	if (!copying || !tokens)
		return 0;
	return CACHE_COPY_SETUP_US +
	       (int64_t)((double)(tokens * copying->token_bytes) /
			 copying->bytes_per_us);
}

int64_t pool_cache_copy_us(const struct pool *pool, const char *service,
			   int64_t tokens)
{
	return copy_us(cache_copying_of(pool, service), tokens);
}

/* Cost of a copy, as time. */
static int64_t copy_cost_us(const struct cache_copying *copying, int64_t tokens)
{
	return copying ? tokens * copying->token_bytes /
				 CACHE_COPY_COST_BYTES_PER_US
		       : 0;
}

static int64_t total_tokens(const struct pool_prefix_block *blocks,
			    uint32_t count)
{
	int64_t tokens = 0;

	for (uint32_t i = 0; i < count; i++)
		tokens += blocks[i].tokens;
	return tokens;
}

/* The engine from which a prompt's prefix cache can be copied. */
struct copy_source {
	const struct cache_copying *copying; /* NULL: nothing is copied */
	struct pool_upstream *upstream; /* with the longest prefix; or NULL */
	int64_t prefilled_tokens;	/* in its cache */
	int64_t prompt_tokens;
};

/* The last block is the request's own: a prompt of one block shares nothing. */
static struct copy_source find_source(const struct pool *pool,
				      const GPtrArray *list,
				      const struct pool_pick_args *args)
{
	struct copy_source source = {
		.copying = args->blocks_count > 1
				   ? cache_copying_of(pool, args->service)
				   : NULL,
		.prompt_tokens = total_tokens(args->blocks, args->blocks_count),
	};
	int64_t now_us = lp_now_us(pool->clock);

	for (guint i = 0; source.copying && i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);
		int64_t tokens;

		if (upstream->consecutive_failures ||
		    now_us < upstream->ejected_until_us ||
		    !allowed_regions_contain(args->allowed_regions,
					     upstream->region))
			continue;
		tokens = prefilled_prefix_tokens(upstream, args->blocks,
						 args->blocks_count, now_us);
		if (tokens <= source.prefilled_tokens)
			continue;
		source.upstream = upstream;
		source.prefilled_tokens = tokens;
	}
	return source;
}

static struct pool_cache_copy plan_copy(const struct copy_source *source,
					const struct pool_upstream *upstream,
					const struct pool_pick_args *args)
{
	int64_t uncached = pool_uncached_tokens(upstream, args->blocks,
						args->blocks_count);
	int64_t tokens =
		source->prefilled_tokens - (source->prompt_tokens - uncached);
	const struct pool_cache_copy none = { .prefill_tokens = uncached };

	if (!source->upstream || source->upstream == upstream || tokens <= 0 ||
	    copy_us(source->copying, tokens) >=
		    tokens * LP_US_PER_MS / POOL_PREFILL_TOKENS_PER_MS)
		return none;
	return (struct pool_cache_copy){ source->upstream, tokens,
					 uncached - tokens };
}

struct pool_cache_copy
pool_find_cache_copy(const struct pool *pool,
		     const struct pool_upstream *upstream,
		     const struct pool_pick_args *args)
{
	static const GPtrArray empty;
	const GPtrArray *list = pool_service_upstreams(pool, args->service);
	struct copy_source source =
		find_source(pool, list ? list : &empty, args);

	return plan_copy(&source, upstream, args);
}

static void drop_least_recently_used(struct pool_upstream *upstream)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	const int64_t *oldest = NULL;
	int64_t oldest_us = G_MAXINT64;

	g_hash_table_iter_init(&iter, upstream->cached_blocks);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct cached_block *block = value;

		if (block->used_us < oldest_us) {
			oldest = key;
			oldest_us = block->used_us;
		}
	}
	if (!oldest)
		return;
	upstream->cached_tokens -= ((struct cached_block *)g_hash_table_lookup(
					    upstream->cached_blocks, oldest))
					   ->tokens;
	g_hash_table_remove(upstream->cached_blocks, oldest);
}

void pool_note_cached_blocks(struct pool *pool, struct pool_upstream *upstream,
			     const struct pool_prefix_block *blocks,
			     uint32_t count, int64_t capacity_tokens)
{
	int64_t now_us = lp_now_us(pool->clock);
	int64_t prefilled_us =
		now_us + prefill_time_us(upstream, blocks, count);

	for (uint32_t i = 0; i < count; i++) {
		struct cached_block *block = g_hash_table_lookup(
			upstream->cached_blocks, &blocks[i].id);

		if (!block) {
			block = g_new0(struct cached_block, 1);
			block->tokens = blocks[i].tokens;
			block->prefilled_us = prefilled_us;
			upstream->cached_tokens += block->tokens;
			g_hash_table_insert(
				upstream->cached_blocks,
				g_memdup2(&blocks[i].id, sizeof(blocks[i].id)),
				block);
		}
		block->used_us = now_us;
	}
	while (capacity_tokens && upstream->cached_tokens > capacity_tokens &&
	       g_hash_table_size(upstream->cached_blocks))
		drop_least_recently_used(upstream);
}

static gboolean is_prefilled(gpointer block_id, gpointer value,
			     gpointer userdata)
{
	const int64_t *now_us = userdata;

	return ((const struct cached_block *)value)->prefilled_us <= *now_us;
}

void pool_set_cached_blocks(struct pool *pool, struct pool_upstream *upstream,
			    const struct pool_prefix_block *blocks,
			    uint32_t count)
{
	int64_t now_us = lp_now_us(pool->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_foreach_remove(upstream->cached_blocks, is_prefilled,
				    &now_us);
	for (uint32_t i = 0; i < count; i++) {
		struct cached_block block = { blocks[i].tokens, now_us,
					      now_us };

		if (!g_hash_table_contains(upstream->cached_blocks,
					   &blocks[i].id))
			g_hash_table_insert(
				upstream->cached_blocks,
				g_memdup2(&blocks[i].id, sizeof(blocks[i].id)),
				g_memdup2(&block, sizeof(block)));
	}
	upstream->cached_tokens = 0;
	g_hash_table_iter_init(&iter, upstream->cached_blocks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		upstream->cached_tokens +=
			((const struct cached_block *)value)->tokens;
}

static void decay_estimates(struct pool_upstream *upstream, int64_t now_us)
{
	int64_t quiet_us = now_us - upstream->last_outcome_us;

	for (; quiet_us > ESTIMATE_HALF_LIFE_US;
	     quiet_us -= ESTIMATE_HALF_LIFE_US) {
		upstream->slowness = 1.0 + (upstream->slowness - 1.0) / 2;
		upstream->error_rate /= 2;
		upstream->last_outcome_us += ESTIMATE_HALF_LIFE_US;
		if (upstream->slowness < 1.05 && upstream->error_rate < 0.02) {
			upstream->last_outcome_us = now_us;
			return;
		}
	}
}

static void eject(struct pool_upstream *upstream, int64_t now_us,
		  int64_t ejection_us)
{
	if (now_us + ejection_us > upstream->ejected_until_us)
		upstream->ejected_until_us = now_us + ejection_us;
}

void pool_record_outcome(struct pool *pool, struct pool_upstream *upstream,
			 enum pool_outcome outcome, int64_t took_us,
			 int64_t expected_us)
{
	int64_t now_us = lp_now_us(pool->clock);
	bool failed =
		outcome == POOL_UNREACHABLE || outcome == POOL_WRONG_PROCESS;
	uint32_t doublings =
		MIN(upstream->consecutive_failures, EJECTION_DOUBLINGS_MAX);

	if (outcome == POOL_UNDETERMINED)
		return;
	decay_estimates(upstream, now_us);
	upstream->last_outcome_us = now_us;
	if (failed) {
		eject(upstream, now_us,
		      MIN(MAX(EJECTION_BASE_US, took_us) << doublings,
			  EJECTION_MAX_US));
		upstream->consecutive_failures++;
		suspect_cold(pool, upstream);
	} else {
		upstream->consecutive_failures = 0;
	}
	if (outcome == POOL_OVERLOADED)
		eject(upstream, now_us, OVERLOAD_EJECTION_US);
	upstream->error_rate +=
		OUTCOME_WEIGHT *
		((failed || outcome == POOL_ERROR_ANSWER ? 1.0 : 0.0) -
		 upstream->error_rate);
	if (!failed && took_us && expected_us) {
		double ratio = CLAMP((double)took_us / (double)expected_us, 0.5,
				     SLOWNESS_MAX);

		upstream->slowness +=
			OUTCOME_WEIGHT * (ratio - upstream->slowness);
	}
}

void pool_note_busy(struct pool *pool, struct pool_upstream *upstream,
		    int64_t until_us)
{
	upstream->busy_until_us = until_us;
}

void pool_note_unreachable(struct pool *pool, struct pool_upstream *upstream,
			   int64_t ejection_us)
{
	int64_t now_us = lp_now_us(pool->clock);

	if (!upstream->consecutive_failures &&
	    now_us - upstream->last_outcome_us < RECENT_OUTCOME_US)
		return;
	eject(upstream, now_us, MIN(ejection_us, EJECTION_MAX_US));
}

bool pool_is_available(const struct pool *pool,
		       const struct pool_upstream *upstream)
{
	return is_send_permitted(pool, upstream) &&
	       lp_now_us(pool->clock) >= upstream->ejected_until_us;
}

/* ---- selection ---- */

static bool was_tried(const struct pool_pick_args *args, const char *id)
{
	for (uint32_t i = 0; i < args->tried_count; i++)
		if (!strcmp(args->tried[i], id))
			return true;
	return false;
}

static bool is_in_shard(const struct pool_pick_args *args,
			const struct pool_upstream *upstream)
{
	return args->shard_count < 2 ||
	       upstream->hash % args->shard_count == args->shard;
}

/* Rendezvous hash: gives all entries the same ranking for a prefix. */
static uint64_t affinity_rank(const struct pool_pick_args *args,
			      const struct pool_upstream *upstream)
{
	uint32_t deepest_shared = args->blocks_count - 2;

	return lp_hash_pair(args->blocks[deepest_shared].id, upstream->hash);
}

static const struct pool_upstream *
find_affinity_upstream(const struct pool_pick_args *args, const GPtrArray *list)
{
	const struct pool_upstream *preferred = NULL;
	uint64_t best = 0;

	if (args->blocks_count < 2)
		return NULL;
	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);
		uint64_t rank = affinity_rank(args, upstream);

		if (!pool_is_eligible(upstream) || rank <= best ||
		    !allowed_regions_contain(args->allowed_regions,
					     upstream->region) ||
		    !is_in_shard(args, upstream))
			continue;
		best = rank;
		preferred = upstream;
	}
	return preferred;
}

const struct pool_upstream *
pool_affinity_upstream(const struct pool *pool,
		       const struct pool_pick_args *args)
{
	const GPtrArray *list = pool_service_upstreams(pool, args->service);

	return list ? find_affinity_upstream(args, list) : NULL;
}

/* State of one selection that is common to all candidates. */
struct selection {
	const struct pool_pick_args *args;
	const struct pool_upstream *affinity_upstream;
	struct copy_source source; /* of a cache copy */
};

/* Shared tokens whose prefill would be repeated. The last block is the
 * request's own, which needs prefill anywhere. */
static int64_t uncached_shared_tokens(const struct pool_pick_args *args,
				      const struct pool_upstream *upstream)
{
	return pool_uncached_tokens(upstream, args->blocks,
				    args->blocks_count - 1);
}

/* Estimated time to the first event, plus other costs expressed as time. */
static double prompt_cost_us(const struct selection *selection,
			     const struct pool_upstream *upstream)
{
	const struct pool_pick_args *args = selection->args;
	const struct cache_copying *copying = selection->source.copying;
	struct pool_cache_copy copy =
		plan_copy(&selection->source, upstream, args);
	int64_t tokens = upstream->pending_prefill_tokens + copy.prefill_tokens;
	double cost =
		FIRST_DECODE_STEP_US +
		(double)STEP_SLOWDOWN_PER_REQUEST_US * upstream->in_flight +
		(double)tokens * LP_US_PER_MS / POOL_PREFILL_TOKENS_PER_MS +
		(double)copy_us(copying, copy.copied_tokens);

	if (args->target_us &&
	    cost * upstream->slowness > (double)args->target_us)
		cost += LATE_COST_US;
	cost += (double)copy_cost_us(copying, copy.copied_tokens);
	if (selection->affinity_upstream &&
	    upstream != selection->affinity_upstream)
		cost += NON_AFFINITY_COST_US +
			(double)MAX(uncached_shared_tokens(args, upstream) -
					    copy.copied_tokens,
				    0) *
				REPEATED_PREFILL_WEIGHT * LP_US_PER_MS /
				POOL_PREFILL_TOKENS_PER_MS;
	return cost;
}

static double plain_cost_us(const struct pool_upstream *upstream)
{
	uint32_t slots = MAX(upstream->info.slots, 1);

	return PLAIN_CALL_COST_US * (1.0 + (double)upstream->in_flight / slots);
}

/* Estimated time to the start of the answer, plus other costs as time. */
static double cost_us(const struct pool *pool,
		      const struct selection *selection,
		      const struct pool_upstream *upstream)
{
	const struct pool_pick_args *args = selection->args;
	double cost = args->blocks_count ? prompt_cost_us(selection, upstream)
					 : plain_cost_us(upstream);

	cost *= upstream->slowness * (1.0 + 4.0 * upstream->error_rate);
	if (strcmp(upstream->info.domain, pool->domain) != 0)
		cost += OTHER_DOMAIN_COST_US;
	if (args->preferred_domain &&
	    strcmp(upstream->info.domain, args->preferred_domain) != 0)
		cost += (double)args->fetch_bytes / FETCH_BYTES_PER_US;
	return cost;
}

struct pool_upstream *pool_pick(struct pool *pool,
				const struct pool_pick_args *args)
{
	const GPtrArray *list = pool_service_upstreams(pool, args->service);
	struct selection selection;
	struct pool_upstream *best = NULL;
	double best_cost = 0;
	bool best_available = false;
	int64_t now_us = lp_now_us(pool->clock);

	if (!list)
		return NULL;
	selection = (struct selection){
		.args = args,
		.affinity_upstream = find_affinity_upstream(args, list),
		.source = find_source(pool, list, args),
	};
	for (guint i = 0; i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);
		bool available = pool_is_available(pool, upstream);
		double cost;

		if (!is_send_permitted(pool, upstream) ||
		    !is_in_shard(args, upstream) ||
		    !allowed_regions_contain(args->allowed_regions,
					     upstream->region) ||
		    was_tried(args, upstream->info.id))
			continue;
		decay_estimates(upstream, now_us);
		cost = cost_us(pool, &selection, upstream);
		/* An ejected upstream is better than none. */
		if (best &&
		    (best_available > available ||
		     (best_available == available && cost >= best_cost)))
			continue;
		best = upstream;
		best_cost = cost;
		best_available = available;
	}
	return best;
}

/* ---- Retry-After ---- */

/* When the first of the upstreams that could take a request is permitted to,
 * and their joint rate from then on. */
struct capacity_forecast {
	int64_t wait_us; /* G_MAXINT64: there is no such upstream */
	double per_s;	 /* INFINITY: unlimited */
};

static bool could_take(const struct pool_pick_args *args,
		       const struct pool_upstream *upstream)
{
	return pool_is_eligible(upstream) && is_in_shard(args, upstream) &&
	       allowed_regions_contain(args->allowed_regions, upstream->region);
}

static struct capacity_forecast
forecast_capacity(const struct pool *pool, const struct pool_pick_args *args)
{
	const GPtrArray *list = pool_service_upstreams(pool, args->service);
	struct capacity_forecast forecast = { .wait_us = G_MAXINT64 };

	for (guint i = 0; list && i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (!could_take(args, upstream))
			continue;
		forecast.wait_us =
			MIN(forecast.wait_us,
			    MAX(pushback_left_us(pool, upstream),
				pool_rate_limit_wait_us(pool, upstream)));
		forecast.per_s +=
			upstream->rate_limit.advertised
				? pool_rate_limit_per_s(pool, upstream)
				: INFINITY;
	}
	return forecast;
}

static struct retry_schedule *retry_schedule_of(struct pool *pool,
						const char *service)
{
	struct retry_schedule *schedule =
		g_hash_table_lookup(pool->retry_schedules, service);

	if (schedule)
		return schedule;
	schedule = g_new0(struct retry_schedule, 1);
	g_hash_table_insert(pool->retry_schedules, g_strdup(service), schedule);
	return schedule;
}

int64_t pool_retry_after_us(struct pool *pool,
			    const struct pool_pick_args *args)
{
	struct capacity_forecast forecast = forecast_capacity(pool, args);

	if (!forecast.wait_us || forecast.wait_us == G_MAXINT64)
		return 0;
	return retry_schedule_next_us(retry_schedule_of(pool, args->service),
				      forecast.wait_us, forecast.per_s,
				      lp_now_us(pool->clock));
}
