#include "policy/pool.h"

#include "base/lp_id.h"
#include "policy/lives.h"
#include "policy/turns.h"

#include <math.h>
#include <string.h>

/* Time of an engine's answer beside its prompt: the first step. */
#define FIRST_DECODE_STEP_US (10 * LP_US_PER_MS)
/* Requests at work slow an engine's steps: about 0.3% each. */
#define PER_REQUEST_US (500)
/* A request that goes elsewhere than where all entries would place its
 * prefix must gain this much by it: two thirds of a usual prompt's reading. */
#define NON_AFFINITY_COST_US (40 * LP_US_PER_MS)
/* Shared tokens read once more cost the platform beside the time: five times
 * it, by the prices of the sites (a thousand tokens weigh like 3 MB fetched
 * across domains). */
#define REPEATED_PREFILL_WEIGHT 5
/* Being late costs as much as reading some 25,000 tokens again: six sevenths of
 * a request's worth, by the sites' sheets. */
#define LATE_COST_US (2000 * LP_US_PER_MS)
/* Another domain: a round trip more, and its bytes are paid for. */
#define OTHER_DOMAIN_COST_US (20 * LP_US_PER_MS)
/* Bytes fetched across domains are weighed as time: 3 MB as 95 ms. */
#define FETCH_BYTES_PER_US 31
/* An upstream that fails is left alone, twice as long each time. */
#define EJECTION_BASE_US (250 * LP_US_PER_MS)
#define EJECTION_DOUBLINGS_MAX 4
#define EJECTION_MAX_US (4 * LP_US_PER_S)
/* An answer of this age outweighs the word of others. */
#define RECENT_OUTCOME_US (300 * LP_US_PER_MS)
/* One that is full is asked again soon. */
#define OVERLOAD_EJECTION_US (60 * LP_US_PER_MS)
/* Weight of the newest outcome in a fading mean. */
#define FADE 0.3
/* Time after which half of a belief in slowness or errors is forgotten, so
 * that an upstream that has recovered is tried again. */
#define ESTIMATE_HALF_LIFE_US (2 * LP_US_PER_S)
#define SLOWNESS_MAX 20.0
/* Upstreams keep results that nobody gives up for about so long, until the
 * configuration says how long. */
#define DEFAULT_RESULT_TTL_US (4 * LP_US_PER_S)
/* Requests of plain services are weighed in these units of time. */
#define PLAIN_CALL_COST_US (60 * LP_US_PER_MS)

/* Copied memory is priced by the byte: what a token of a usual model costs is
 * about a fifth of what reading it again does. */
#define CACHE_COPY_COST_BYTES_PER_US 8000
/* A copy is asked for and begun in this time. */
#define CACHE_COPY_SETUP_US (5 * LP_US_PER_MS)

/* What unlisted upstreams have said of themselves is kept for so long, ... */
#define UNLISTED_KEEP_US (600 * LP_US_PER_S)
/* ... and of so many of them. */
#define UNLISTED_MAX 1000

struct part {
	int64_t tokens;
	int64_t used_us;
	int64_t prefilled_us; /* it is being read until then, about */
};

/* How engines of a service copy memory of prompts. */
struct copying {
	int64_t token_bytes;
	double bytes_per_us;
};

/* What a life said of itself that is not in the list. */
struct unlisted {
	struct rate_limit rate_limit;
	int64_t pushback_until_us;
	bool drain_notice;
	int64_t unlisted_us;
};

struct pool {
	const struct lp_clock *clock;
	char *domain;
	GHashTable *upstreams;	    /* id -> struct pool_upstream */
	GHashTable *by_incarnation; /* life -> the same */
	struct lives *lives;
	bool needs_reapply;
	pool_restarted_fn restarted;
	void *restarted_userdata;
	GHashTable *services; /* name -> GPtrArray of struct pool_upstream */
	const struct closures *closures; /* NULL: none are known */
	GHashTable *warmups;		 /* service -> struct warmup_limits */
	GHashTable *cache_copying;	 /* service -> struct copying */
	GHashTable
		*rate_limit_shares; /* likewise struct pool_rate_limit_shares */
	struct pool_rate_limit_shares
		default_rate_limit_shares; /* of other services */
	GHashTable *turns;		   /* service -> struct turns */
	GHashTable *unlisted;		   /* life -> struct unlisted */
	GHashTable *regions;		   /* domain -> interned region */
};

/* ---- start and end ---- */

struct pool_upstream *pool_upstream_ref(struct pool_upstream *upstream)
{
	upstream->refs++;
	return upstream;
}

static void clear_entry(struct pool_upstream_info *entry)
{
	g_free(entry->id);
	g_free(entry->service);
	g_free(entry->address);
	g_free(entry->domain);
}

void pool_upstream_unref(struct pool_upstream *upstream)
{
	if (!upstream || --upstream->refs)
		return;
	clear_entry(&upstream->info);
	g_hash_table_unref(upstream->cached_blocks);
	room_destroy(upstream->result_memory);
	g_free(upstream);
}

static void unlist(gpointer data)
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
	pool->lives = lives_create(clock);
	pool->upstreams =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unlist);
	pool->by_incarnation = g_hash_table_new(g_int64_hash, g_int64_equal);
	pool->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	pool->warmups =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->cache_copying =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->rate_limit_shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->default_rate_limit_shares = (struct pool_rate_limit_shares){
		.shard_count = 1,
		.owned_shards = 1,
		.owned_share = { .part = RATE_LIMIT_OWNER },
	};
	pool->turns =
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
	g_hash_table_unref(pool->warmups);
	g_hash_table_unref(pool->cache_copying);
	g_hash_table_unref(pool->rate_limit_shares);
	g_hash_table_unref(pool->turns);
	g_hash_table_unref(pool->unlisted);
	g_hash_table_unref(pool->regions);
	g_hash_table_unref(pool->by_incarnation);
	g_hash_table_unref(pool->upstreams);
	lives_destroy(pool->lives);
	g_free(pool->domain);
	g_free(pool);
}

/* ---- closed domains, cold upstreams ---- */

static const struct warmup_limits *
limits_of(const struct pool *pool, const struct pool_upstream *upstream)
{
	return g_hash_table_lookup(pool->warmups, upstream->info.service);
}

static void note_cold(const struct pool *pool, struct pool_upstream *upstream,
		      int64_t for_us)
{
	int64_t now_us = lp_now_us(pool->clock);

	warmup_begin(&upstream->warmup, limits_of(pool, upstream), now_us,
		     now_us + for_us);
}

/* It has started, or is opened again: cold for as long as one that has. */
static void assume_cold(const struct pool *pool, struct pool_upstream *upstream)
{
	const struct warmup_limits *limits = limits_of(pool, upstream);

	if (limits)
		note_cold(pool, upstream, limits->cold_us);
}

/* It may have started unnoticed. Whoever sends for all can wait for the list to
 * say more; the share of one entry is too small to live on a suspicion. */
static void suspect_cold(const struct pool *pool,
			 struct pool_upstream *upstream)
{
	const struct warmup_limits *limits = limits_of(pool, upstream);

	if (limits && limits->for_all)
		assume_cold(pool, upstream);
}

static bool is_closed(const struct pool *pool,
		      const struct pool_upstream *upstream)
{
	return pool->closures &&
	       closures_has(pool->closures, upstream->info.domain);
}

uint32_t pool_set_closed_domains(struct pool *pool,
				 const struct closures *closures)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t changes = 0;

	pool->closures = closures;
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
	g_hash_table_replace(pool->warmups, g_strdup(service),
			     g_memdup2(limits, sizeof(*limits)));
}

void pool_note_sent(struct pool *pool, struct pool_upstream *upstream)
{
	int64_t now_us = lp_now_us(pool->clock);

	warmup_sent(&upstream->warmup, limits_of(pool, upstream), now_us);
	rate_limit_sent(&upstream->rate_limit, now_us);
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
			    const char *homes)
{
	const GPtrArray *list = pool_service_upstreams(pool, service);
	bool any = false;

	for (guint i = 0; list && i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (pool_is_draining(upstream))
			continue;
		if (!upstream->domain_closed &&
		    homes_have(homes, upstream->region))
			return false;
		any = true;
	}
	return any;
}

/* ---- limits that upstreams name ---- */

void pool_set_rate_limit_shares(struct pool *pool, const char *service,
				const struct pool_rate_limit_shares *share)
{
	if (service)
		g_hash_table_replace(pool->rate_limit_shares, g_strdup(service),
				     g_memdup2(share, sizeof(*share)));
	else
		pool->default_rate_limit_shares = *share;
}

static struct rate_limit_share share_of(const struct pool *pool,
					const struct pool_upstream *upstream)
{
	const struct pool_rate_limit_shares *found = g_hash_table_lookup(
		pool->rate_limit_shares, upstream->info.service);
	const struct pool_rate_limit_shares *all =
		found ? found : &pool->default_rate_limit_shares;
	bool is_own =
		all->owned_shards >> (upstream->hash % all->shard_count) & 1;
	struct rate_limit_share share =
		is_own ? all->owned_share : all->other_share;

	/* Slots of one entry at several upstreams do not coincide. */
	share.phase += (double)upstream->hash / (double)UINT64_MAX;
	share.phase -= floor(share.phase);
	return share;
}

bool pool_note_rate_limit(struct pool *pool, struct pool_upstream *upstream,
			  const struct rate_limit_word *word)
{
	return rate_limit_hear(&upstream->rate_limit, word);
}

/* Listed upstreams of which something holds. */
static GPtrArray *
find_upstreams(const struct pool *pool,
	       bool (*holds)(const struct pool_upstream *upstream))
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (holds(value))
			g_ptr_array_add(found, value);
	return found;
}

static bool names_limit(const struct pool_upstream *upstream)
{
	return upstream->rate_limit.named;
}

GPtrArray *pool_list_rate_limited(const struct pool *pool)
{
	return find_upstreams(pool, names_limit);
}

static bool has_said_leaving(const struct pool_upstream *upstream)
{
	return upstream->drain_notice;
}

GPtrArray *pool_list_drain_notices(const struct pool *pool)
{
	return find_upstreams(pool, has_said_leaving);
}

int64_t pool_rate_limit_wait_us(const struct pool *pool,
				const struct pool_upstream *upstream)
{
	struct rate_limit_share share;

	if (!upstream->rate_limit.named)
		return 0;
	share = share_of(pool, upstream);
	return rate_limit_wait_us(&upstream->rate_limit, &share,
				  lp_now_us(pool->clock));
}

double pool_rate_limit_per_s(const struct pool *pool,
			     const struct pool_upstream *upstream)
{
	struct rate_limit_share share = share_of(pool, upstream);

	return rate_limit_own_per_s(&upstream->rate_limit, &share);
}

/* ---- upstreams that rest ---- */

void pool_note_pushback(struct pool *pool, struct pool_upstream *upstream,
			int64_t rest_us)
{
	upstream->pushback_until_us = MAX(upstream->pushback_until_us,
					  lp_now_us(pool->clock) + rest_us);
}

static int64_t rest_left_us(const struct pool *pool,
			    const struct pool_upstream *upstream)
{
	/* Most never asked for any: the clock is not read for them. */
	if (!upstream->pushback_until_us)
		return 0;
	return MAX(upstream->pushback_until_us - lp_now_us(pool->clock), 0);
}

bool pool_has_pushback(const struct pool *pool,
		       const struct pool_upstream *upstream)
{
	return rest_left_us(pool, upstream) > 0;
}

/* ---- what outlives the list ---- */

static gboolean is_forgotten(gpointer life, gpointer value, gpointer userdata)
{
	const int64_t *now_us = userdata;

	return *now_us - ((const struct unlisted *)value)->unlisted_us >=
	       UNLISTED_KEEP_US;
}

/* It leaves the list, and may be back in it: an entry lapses while the service
 * is away. */
static void keep_unlisted(struct pool *pool,
			  const struct pool_upstream *upstream)
{
	int64_t now_us = lp_now_us(pool->clock);
	struct unlisted unlisted = {
		.rate_limit = upstream->rate_limit,
		.pushback_until_us = upstream->pushback_until_us,
		.drain_notice = upstream->drain_notice,
		.unlisted_us = now_us,
	};

	if (!upstream->rate_limit.named && !upstream->drain_notice &&
	    !pool_has_pushback(pool, upstream))
		return;
	g_hash_table_foreach_remove(pool->unlisted, is_forgotten, &now_us);
	if (g_hash_table_size(pool->unlisted) >= UNLISTED_MAX)
		return;
	g_hash_table_replace(pool->unlisted,
			     g_memdup2(&upstream->incarnation,
				       sizeof(upstream->incarnation)),
			     g_memdup2(&unlisted, sizeof(unlisted)));
}

static void take_unlisted(struct pool *pool, struct pool_upstream *upstream)
{
	const struct unlisted *unlisted =
		g_hash_table_lookup(pool->unlisted, &upstream->incarnation);

	if (!unlisted)
		return;
	upstream->rate_limit = unlisted->rate_limit;
	upstream->pushback_until_us = unlisted->pushback_until_us;
	upstream->drain_notice = unlisted->drain_notice;
	g_hash_table_remove(pool->unlisted, &upstream->incarnation);
}

/* Whether it may get something at this moment, as far as others' safety goes.
 */
static bool may_send(const struct pool *pool,
		     const struct pool_upstream *upstream)
{
	return pool_is_eligible(upstream) &&
	       warmup_may_send(&upstream->warmup, lp_now_us(pool->clock)) &&
	       !pool_has_pushback(pool, upstream) &&
	       !pool_rate_limit_wait_us(pool, upstream);
}

/* ---- the list ---- */

static struct pool_upstream *
create_upstream(const struct pool *pool, const struct pool_upstream_info *entry)
{
	const struct room_options room = {
		.clock = pool->clock,
		.linger_us = DEFAULT_RESULT_TTL_US,
	};
	struct pool_upstream *upstream = g_new0(struct pool_upstream, 1);

	upstream->info.id = g_strdup(entry->id);
	upstream->info.service = g_strdup(entry->service);
	upstream->info.address = g_strdup(entry->address);
	upstream->info.domain = g_strdup(entry->domain);
	upstream->info.slots = entry->slots;
	upstream->info.draining = entry->draining;
	upstream->info.born_ms = entry->born_ms;
	upstream->hash = lp_hash_str(entry->id);
	upstream->incarnation =
		entry->born_ms
			? lp_hash_pair(upstream->hash, (uint64_t)entry->born_ms)
			: upstream->hash;
	upstream->listed = true;
	upstream->refs = 1;
	upstream->slowness = 1.0;
	upstream->result_memory = room_create(&room);
	upstream->cached_blocks = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	upstream->domain_closed = is_closed(pool, upstream);
	upstream->region = g_hash_table_lookup(pool->regions, entry->domain);
	note_cold(pool, upstream, entry->cold_left_us);
	return upstream;
}

static GPtrArray *service_list(struct pool *pool, const char *service)
{
	GPtrArray *list = g_hash_table_lookup(pool->services, service);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(pool->services, g_strdup(service), list);
	}
	return list;
}

static bool is_same(const struct pool_upstream *upstream,
		    const struct pool_upstream_info *entry)
{
	return !strcmp(upstream->info.address, entry->address) &&
	       !strcmp(upstream->info.service, entry->service);
}

void pool_set_restart_callback(struct pool *pool, pool_restarted_fn restarted,
			       void *userdata)
{
	pool->restarted = restarted;
	pool->restarted_userdata = userdata;
}

static struct pool_upstream *begin_life(struct pool *pool,
					const struct pool_upstream_info *entry)
{
	struct pool_upstream *upstream = create_upstream(pool, entry);

	take_unlisted(pool, upstream);
	g_hash_table_insert(pool->upstreams, upstream->info.id, upstream);
	return upstream;
}

/* All that was believed of the life before ends with it; who holds it ends
 * what is under way there. */
static struct pool_upstream *follow_life(struct pool *pool,
					 struct pool_upstream *listed,
					 const struct pool_upstream_info *entry)
{
	struct pool_upstream *before = pool_upstream_ref(listed);
	struct pool_upstream *after;

	g_hash_table_remove(pool->upstreams, before->info.id);
	after = begin_life(pool, entry);
	if (pool->restarted)
		pool->restarted(pool->restarted_userdata, before, after);
	pool_upstream_unref(before);
	return after;
}

/* Returns whether anything changed. */
static bool take_entry(struct pool *pool,
		       const struct pool_upstream_info *entry)
{
	struct pool_upstream *upstream = pool_find(pool, entry->id);
	enum lives_word word =
		lives_listed(pool->lives, entry->id, entry->born_ms);
	bool changed;

	if (word == LIVES_OLD) {
		pool->needs_reapply = true;
		return false;
	}
	if (!upstream) {
		begin_life(pool, entry);
		return true;
	}
	if (word == LIVES_NEW || !is_same(upstream, entry)) {
		follow_life(pool, upstream, entry);
		return true;
	}
	if (entry->cold_left_us)
		note_cold(pool, upstream, entry->cold_left_us);
	changed = upstream->info.draining != entry->draining;
	upstream->info.slots = entry->slots;
	upstream->info.draining = entry->draining;
	return changed;
}

static uint32_t remove_missing(struct pool *pool,
			       const struct pool_upstream_info *entries,
			       uint32_t count)
{
	g_autoptr(GHashTable) named = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	uint32_t removed = 0;

	for (uint32_t i = 0; i < count; i++)
		g_hash_table_add(named, entries[i].id);
	g_hash_table_iter_init(&iter, pool->upstreams);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (g_hash_table_contains(named, key))
			continue;
		keep_unlisted(pool, value);
		g_hash_table_iter_remove(&iter);
		removed++;
	}
	return removed;
}

/* It borrows from upstreams, of which some may leave now. */
static void clear_index(struct pool *pool)
{
	g_hash_table_remove_all(pool->services);
	g_hash_table_remove_all(pool->by_incarnation);
}

/* Lists by service, and lives: of what is listed now. */
static void index_upstreams(struct pool *pool)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_upstream *upstream = value;

		g_ptr_array_add(service_list(pool, upstream->info.service),
				upstream);
		g_hash_table_insert(pool->by_incarnation,
				    &upstream->incarnation, upstream);
	}
}

uint32_t pool_update(struct pool *pool,
		     const struct pool_upstream_info *entries, uint32_t count)
{
	uint32_t changes;

	clear_index(pool);
	pool->needs_reapply = false;
	changes = remove_missing(pool, entries, count);
	for (uint32_t i = 0; i < count; i++)
		if (take_entry(pool, &entries[i]))
			changes++;
	lives_forget(pool->lives);
	index_upstreams(pool);
	return changes;
}

bool pool_needs_reapply(const struct pool *pool)
{
	return pool->needs_reapply;
}

/* The list has not heard yet: the same entry, but for its start. */
static struct pool_upstream *
renew(struct pool *pool, struct pool_upstream *listed, int64_t born_ms)
{
	struct pool_upstream_info entry = listed->info;
	struct pool_upstream *after;

	entry.born_ms = born_ms;
	clear_index(pool);
	after = follow_life(pool, listed, &entry);
	assume_cold(pool, after);
	index_upstreams(pool);
	return after;
}

struct pool_upstream *pool_attribute_answer(struct pool *pool,
					    struct pool_upstream *upstream,
					    int64_t born_ms, int64_t asked_us)
{
	struct pool_upstream *listed = pool_find(pool, upstream->info.id);
	enum lives_word word = lives_answered(pool->lives, upstream->info.id,
					      born_ms, asked_us);

	if (word == LIVES_OLD)
		return NULL;
	if (!listed) /* it leaves, and has what it made for a while */
		return upstream;
	if (!is_same(listed, &upstream->info)) /* it has moved */
		return NULL;
	if (word == LIVES_NEW)
		return renew(pool, listed, born_ms);
	/* Who does not say may be the one that was asked, and has ended. */
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
					    uint64_t life)
{
	return g_hash_table_lookup(pool->by_incarnation, &life);
}

/* ---- beliefs ---- */

int64_t pool_uncached_tokens(const struct pool_upstream *upstream,
			     const struct pool_prefix_block *parts,
			     uint32_t count)
{
	int64_t cold = 0;

	for (uint32_t i = 0; i < count; i++)
		/* A part counts only if all before it are there. */
		if (cold || !g_hash_table_contains(upstream->cached_blocks,
						   &parts[i].id))
			cold += parts[i].tokens;
	return cold;
}

/* Until it has read a prompt that is sent there now, about. */
static int64_t read_time_us(const struct pool_upstream *upstream,
			    const struct pool_prefix_block *parts,
			    uint32_t count)
{
	int64_t tokens = upstream->pending_prefill_tokens +
			 pool_uncached_tokens(upstream, parts, count);

	return tokens * LP_US_PER_MS / POOL_PREFILL_TOKENS_PER_MS;
}

/* Tokens at the start of a prompt that an engine has read. */
static int64_t tokens_read(const struct pool_upstream *upstream,
			   const struct pool_prefix_block *parts,
			   uint32_t count, int64_t now_us)
{
	int64_t tokens = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct part *part = g_hash_table_lookup(
			upstream->cached_blocks, &parts[i].id);

		if (!part || part->prefilled_us > now_us)
			break;
		tokens += part->tokens;
	}
	return tokens;
}

/* ---- memory that engines copy from each other ---- */

void pool_set_cache_copying(struct pool *pool, const char *service,
			    int64_t token_bytes, double bytes_per_us)
{
	const struct copying copying = { token_bytes, bytes_per_us };

	if (token_bytes > 0 && bytes_per_us > 0)
		g_hash_table_replace(pool->cache_copying, g_strdup(service),
				     g_memdup2(&copying, sizeof(copying)));
	else
		g_hash_table_remove(pool->cache_copying, service);
}

static const struct copying *copying_of(const struct pool *pool,
					const char *service)
{
	return g_hash_table_lookup(pool->cache_copying, service);
}

/* `copying` NULL: they do not, and no tokens are copied. */
static int64_t copy_us(const struct copying *copying, int64_t tokens)
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
	return copy_us(copying_of(pool, service), tokens);
}

/* Its price, as time. */
static int64_t copy_price_us(const struct copying *copying, int64_t tokens)
{
	return copying ? tokens * copying->token_bytes /
				 CACHE_COPY_COST_BYTES_PER_US
		       : 0;
}

static int64_t all_tokens(const struct pool_prefix_block *parts, uint32_t count)
{
	int64_t tokens = 0;

	for (uint32_t i = 0; i < count; i++)
		tokens += parts[i].tokens;
	return tokens;
}

/* Who can copy a prompt to the others of its service. */
struct source {
	const struct copying *copying;	/* NULL: nothing is copied */
	struct pool_upstream *upstream; /* has read the most of it; or NULL */
	int64_t prefilled_tokens;	/* that it has read */
	int64_t prompt_tokens;		/* of the prompt */
};

/* A prompt of one part has nothing that others share. */
static struct source find_source(const struct pool *pool, const GPtrArray *list,
				 const struct pool_pick_args *ask)
{
	struct source source = {
		.copying = ask->blocks_count > 1
				   ? copying_of(pool, ask->service)
				   : NULL,
		.prompt_tokens = all_tokens(ask->blocks, ask->blocks_count),
	};
	int64_t now_us = lp_now_us(pool->clock);

	for (guint i = 0; source.copying && i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);
		int64_t tokens;

		if (upstream->consecutive_failures ||
		    now_us < upstream->ejected_until_us ||
		    !homes_have(ask->allowed_regions, upstream->region))
			continue;
		tokens = tokens_read(upstream, ask->blocks, ask->blocks_count,
				     now_us);
		if (tokens <= source.prefilled_tokens)
			continue;
		source.upstream = upstream;
		source.prefilled_tokens = tokens;
	}
	return source;
}

static struct pool_cache_copy copy_from(const struct source *source,
					const struct pool_upstream *upstream,
					const struct pool_pick_args *ask)
{
	int64_t cold =
		pool_uncached_tokens(upstream, ask->blocks, ask->blocks_count);
	int64_t tokens =
		source->prefilled_tokens - (source->prompt_tokens - cold);
	const struct pool_cache_copy none = { .prefill_tokens = cold };

	if (!source->upstream || source->upstream == upstream || tokens <= 0 ||
	    copy_us(source->copying, tokens) >=
		    tokens * LP_US_PER_MS / POOL_PREFILL_TOKENS_PER_MS)
		return none;
	return (struct pool_cache_copy){ source->upstream, tokens,
					 cold - tokens };
}

struct pool_cache_copy
pool_find_cache_copy(const struct pool *pool,
		     const struct pool_upstream *upstream,
		     const struct pool_pick_args *ask)
{
	static const GPtrArray empty;
	const GPtrArray *list = pool_service_upstreams(pool, ask->service);
	struct source source = find_source(pool, list ? list : &empty, ask);

	return copy_from(&source, upstream, ask);
}

static void forget_oldest(struct pool_upstream *upstream)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	const int64_t *oldest = NULL;
	int64_t oldest_us = G_MAXINT64;

	g_hash_table_iter_init(&iter, upstream->cached_blocks);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct part *part = value;

		if (part->used_us < oldest_us) {
			oldest = key;
			oldest_us = part->used_us;
		}
	}
	if (!oldest)
		return;
	upstream->cached_tokens -= ((struct part *)g_hash_table_lookup(
					    upstream->cached_blocks, oldest))
					   ->tokens;
	g_hash_table_remove(upstream->cached_blocks, oldest);
}

void pool_note_cached_blocks(struct pool *pool, struct pool_upstream *upstream,
			     const struct pool_prefix_block *parts,
			     uint32_t count, int64_t capacity_tokens)
{
	int64_t now_us = lp_now_us(pool->clock);
	int64_t read_us = now_us + read_time_us(upstream, parts, count);

	for (uint32_t i = 0; i < count; i++) {
		struct part *part = g_hash_table_lookup(upstream->cached_blocks,
							&parts[i].id);

		if (!part) {
			part = g_new0(struct part, 1);
			part->tokens = parts[i].tokens;
			part->prefilled_us = read_us;
			upstream->cached_tokens += part->tokens;
			g_hash_table_insert(
				upstream->cached_blocks,
				g_memdup2(&parts[i].id, sizeof(parts[i].id)),
				part);
		}
		part->used_us = now_us;
	}
	while (capacity_tokens && upstream->cached_tokens > capacity_tokens &&
	       g_hash_table_size(upstream->cached_blocks))
		forget_oldest(upstream);
}

static gboolean is_read_part(gpointer id, gpointer value, gpointer userdata)
{
	const int64_t *now_us = userdata;

	return ((const struct part *)value)->prefilled_us <= *now_us;
}

void pool_set_cached_blocks(struct pool *pool, struct pool_upstream *upstream,
			    const struct pool_prefix_block *parts,
			    uint32_t count)
{
	int64_t now_us = lp_now_us(pool->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_foreach_remove(upstream->cached_blocks, is_read_part,
				    &now_us);
	for (uint32_t i = 0; i < count; i++) {
		struct part part = { parts[i].tokens, now_us, now_us };

		if (!g_hash_table_contains(upstream->cached_blocks,
					   &parts[i].id))
			g_hash_table_insert(
				upstream->cached_blocks,
				g_memdup2(&parts[i].id, sizeof(parts[i].id)),
				g_memdup2(&part, sizeof(part)));
	}
	upstream->cached_tokens = 0;
	g_hash_table_iter_init(&iter, upstream->cached_blocks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		upstream->cached_tokens += ((const struct part *)value)->tokens;
}

static void fade_beliefs(struct pool_upstream *upstream, int64_t now_us)
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

static void set_aside(struct pool_upstream *upstream, int64_t now_us,
		      int64_t time_us)
{
	if (now_us + time_us > upstream->ejected_until_us)
		upstream->ejected_until_us = now_us + time_us;
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
	fade_beliefs(upstream, now_us);
	upstream->last_outcome_us = now_us;
	if (failed) {
		set_aside(upstream, now_us,
			  MIN(MAX(EJECTION_BASE_US, took_us) << doublings,
			      EJECTION_MAX_US));
		upstream->consecutive_failures++;
		suspect_cold(pool, upstream);
	} else {
		upstream->consecutive_failures = 0;
	}
	if (outcome == POOL_OVERLOADED)
		set_aside(upstream, now_us, OVERLOAD_EJECTION_US);
	upstream->error_rate +=
		FADE * ((failed || outcome == POOL_ERROR_ANSWER ? 1.0 : 0.0) -
			upstream->error_rate);
	if (!failed && took_us && expected_us) {
		double ratio = CLAMP((double)took_us / (double)expected_us, 0.5,
				     SLOWNESS_MAX);

		upstream->slowness += FADE * (ratio - upstream->slowness);
	}
}

void pool_note_busy(struct pool *pool, struct pool_upstream *upstream,
		    int64_t until_us)
{
	upstream->busy_until_us = until_us;
}

void pool_note_unreachable(struct pool *pool, struct pool_upstream *upstream,
			   int64_t aside_us)
{
	int64_t now_us = lp_now_us(pool->clock);

	if (!upstream->consecutive_failures &&
	    now_us - upstream->last_outcome_us < RECENT_OUTCOME_US)
		return;
	set_aside(upstream, now_us, MIN(aside_us, EJECTION_MAX_US));
}

bool pool_is_available(const struct pool *pool,
		       const struct pool_upstream *upstream)
{
	return may_send(pool, upstream) &&
	       lp_now_us(pool->clock) >= upstream->ejected_until_us;
}

/* ---- the choice ---- */

static bool was_tried(const struct pool_pick_args *ask, const char *id)
{
	for (uint32_t i = 0; i < ask->tried_count; i++)
		if (!strcmp(ask->tried[i], id))
			return true;
	return false;
}

static bool is_in_share(const struct pool_pick_args *ask,
			const struct pool_upstream *upstream)
{
	return ask->shard_count < 2 ||
	       upstream->hash % ask->shard_count == ask->shard;
}

/* Where all entries would place this prefix, had they the same beliefs. */
static uint64_t home_rank(const struct pool_pick_args *ask,
			  const struct pool_upstream *upstream)
{
	uint32_t deepest_shared = ask->blocks_count - 2;

	return lp_hash_pair(ask->blocks[deepest_shared].id, upstream->hash);
}

static const struct pool_upstream *find_home(const struct pool_pick_args *ask,
					     const GPtrArray *list)
{
	const struct pool_upstream *home = NULL;
	uint64_t best = 0;

	if (ask->blocks_count < 2)
		return NULL;
	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);
		uint64_t rank = home_rank(ask, upstream);

		if (!pool_is_eligible(upstream) || rank <= best ||
		    !homes_have(ask->allowed_regions, upstream->region) ||
		    !is_in_share(ask, upstream))
			continue;
		best = rank;
		home = upstream;
	}
	return home;
}

const struct pool_upstream *
pool_affinity_upstream(const struct pool *pool,
		       const struct pool_pick_args *ask)
{
	const GPtrArray *list = pool_service_upstreams(pool, ask->service);

	return list ? find_home(ask, list) : NULL;
}

/* What a choice among all upstreams of a service goes by. */
struct choice {
	const struct pool_pick_args *args;
	const struct pool_upstream *affinity_upstream;
	struct source source; /* of the prompt */
};

/* Shared tokens that would be read once more; the last part is the request's
 * own and is read in any case. */
static int64_t shared_cold(const struct pool_pick_args *ask,
			   const struct pool_upstream *upstream)
{
	return pool_uncached_tokens(upstream, ask->blocks,
				    ask->blocks_count - 1);
}

/* Estimated time until a prompt is read there, with what else counts as time.
 */
static double prompt_cost_us(const struct choice *choice,
			     const struct pool_upstream *upstream)
{
	const struct pool_pick_args *ask = choice->args;
	const struct copying *copying = choice->source.copying;
	struct pool_cache_copy copy = copy_from(&choice->source, upstream, ask);
	int64_t tokens = upstream->pending_prefill_tokens + copy.prefill_tokens;
	double cost =
		FIRST_DECODE_STEP_US +
		(double)PER_REQUEST_US * upstream->in_flight +
		(double)tokens * LP_US_PER_MS / POOL_PREFILL_TOKENS_PER_MS +
		(double)copy_us(copying, copy.copied_tokens);

	if (ask->target_us &&
	    cost * upstream->slowness > (double)ask->target_us)
		cost += LATE_COST_US;
	cost += (double)copy_price_us(copying, copy.copied_tokens);
	if (choice->affinity_upstream && upstream != choice->affinity_upstream)
		cost += NON_AFFINITY_COST_US +
			(double)MAX(shared_cold(ask, upstream) -
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

/* Estimated time to the answer's start, with what else counts as time. */
static double cost_us(const struct pool *pool, const struct choice *choice,
		      const struct pool_upstream *upstream)
{
	const struct pool_pick_args *ask = choice->args;
	double cost = ask->blocks_count ? prompt_cost_us(choice, upstream)
					: plain_cost_us(upstream);

	cost *= upstream->slowness * (1.0 + 4.0 * upstream->error_rate);
	if (strcmp(upstream->info.domain, pool->domain) != 0)
		cost += OTHER_DOMAIN_COST_US;
	if (ask->preferred_domain &&
	    strcmp(upstream->info.domain, ask->preferred_domain) != 0)
		cost += (double)ask->fetch_bytes / FETCH_BYTES_PER_US;
	return cost;
}

struct pool_upstream *pool_pick(struct pool *pool,
				const struct pool_pick_args *ask)
{
	const GPtrArray *list = pool_service_upstreams(pool, ask->service);
	struct choice choice;
	struct pool_upstream *best = NULL;
	double best_cost = 0;
	bool best_usable = false;
	int64_t now_us = lp_now_us(pool->clock);

	if (!list)
		return NULL;
	choice = (struct choice){
		.args = ask,
		.affinity_upstream = find_home(ask, list),
		.source = find_source(pool, list, ask),
	};
	for (guint i = 0; i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);
		bool usable = pool_is_available(pool, upstream);
		double cost;

		if (!may_send(pool, upstream) || !is_in_share(ask, upstream) ||
		    !homes_have(ask->allowed_regions, upstream->region) ||
		    was_tried(ask, upstream->info.id))
			continue;
		fade_beliefs(upstream, now_us);
		cost = cost_us(pool, &choice, upstream);
		/* One that is set aside is better than none. */
		if (best && (best_usable > usable ||
			     (best_usable == usable && cost >= best_cost)))
			continue;
		best = upstream;
		best_cost = cost;
		best_usable = usable;
	}
	return best;
}

/* ---- when to come back ---- */

/* Of all that could take it: when the first may, and how often they may
 * together then. */
struct outlook {
	int64_t wait_us; /* G_MAXINT64: there is none */
	double per_s;	 /* INFINITY: as often as they are asked */
};

static bool could_take(const struct pool_pick_args *ask,
		       const struct pool_upstream *upstream)
{
	return pool_is_eligible(upstream) && is_in_share(ask, upstream) &&
	       homes_have(ask->allowed_regions, upstream->region);
}

static struct outlook look_ahead(const struct pool *pool,
				 const struct pool_pick_args *ask)
{
	const GPtrArray *list = pool_service_upstreams(pool, ask->service);
	struct outlook outlook = { .wait_us = G_MAXINT64 };

	for (guint i = 0; list && i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (!could_take(ask, upstream))
			continue;
		outlook.wait_us =
			MIN(outlook.wait_us,
			    MAX(rest_left_us(pool, upstream),
				pool_rate_limit_wait_us(pool, upstream)));
		outlook.per_s += upstream->rate_limit.named
					 ? pool_rate_limit_per_s(pool, upstream)
					 : INFINITY;
	}
	return outlook;
}

static struct turns *turns_of(struct pool *pool, const char *service)
{
	struct turns *turns = g_hash_table_lookup(pool->turns, service);

	if (turns)
		return turns;
	turns = g_new0(struct turns, 1);
	g_hash_table_insert(pool->turns, g_strdup(service), turns);
	return turns;
}

int64_t pool_retry_after_us(struct pool *pool, const struct pool_pick_args *ask)
{
	struct outlook outlook = look_ahead(pool, ask);

	if (!outlook.wait_us || outlook.wait_us == G_MAXINT64)
		return 0;
	return turns_next_us(turns_of(pool, ask->service), outlook.wait_us,
			     outlook.per_s, lp_now_us(pool->clock));
}
