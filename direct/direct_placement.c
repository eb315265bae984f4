#include "direct/direct_placement.h"

#include "direct/direct_private.h"

#include "base/lp_id.h"
#include "base/lp_timer.h"

#define KIND_QUERY 'P'
#define KIND_ANSWER 'Q'
#define KIND_STATE 'E'

/* number, service, prefix blocks (id, tokens), hashes of excluded upstreams,
 * domain and bytes of what is fetched, us until the target, allowed regions */
#define QUERY_TYPE "(tsa(tx)atsxxs)"
/* number, engine, engine to copy from, copied tokens, cold tokens, tokens
 * ahead, us until some engine may take the prompt if none may now */
#define ANSWER_TYPE "(tttxxxx)"
#define STATE_TYPE "(tuxx)" /* number, state, us taken, us expected */

/* States of a placed prompt; a value of enum pool_outcome is added to
 * STATE_ENDED. */
#define STATE_ANSWERING 0
#define STATE_ENDED 1

/* Thirty round trips. Without an answer by then the entry places the prompt
 * itself. */
#define ANSWER_TIMEOUT_US (40 * LP_US_PER_MS)
/* A placer that is silent for this long gets no queries for a while. */
#define SUSPECT_AFTER_US (400 * LP_US_PER_MS)
/* State datagrams may be lost: a prompt counts as read after the first period,
 * and its request as ended after the second. */
#define PREFILL_MAX_US (3 * LP_US_PER_S)
#define REQUEST_MAX_US (15 * LP_US_PER_S)
#define EXPIRY_INTERVAL_MS 500

/* A query sent to a placer. */
struct query {
	struct direct_placement *placement;
	uint64_t number;
	uint64_t peer;
	guint timer;
	direct_placement_fn on_placed;
	void *userdata;
};

/* A prompt placed for a peer, counted at its engine until the
 * request ends. */
struct reservation {
	uint64_t key; /* hash of peer and number */
	struct pool_upstream *upstream;
	uint64_t copy_source; /* engine whose prefix cache is copied; 0: none */
	int64_t copied_tokens;
	int64_t cold_tokens; /* that the engine has to read */
	int64_t reserved_us;
	bool is_prefilled;
};

struct direct_placement {
	struct direct *direct;
	struct direct_peers *peers;
	GHashTable *queries;	  /* number -> struct query */
	GHashTable *reservations; /* key -> struct reservation */
	uint64_t next_number;
	guint expiry_timer;
};

static int64_t time_now_us(const struct direct_placement *placement)
{
	return lp_now_us(placement->direct->options.clock);
}

/* ---- queries to placers ---- */

static void free_query(gpointer data)
{
	struct query *query = data;

	if (query->timer)
		g_source_remove(query->timer);
	g_free(query);
}

static void finish_query(struct query *query, struct pool_upstream *upstream,
			 const struct direct_placement_result *result)
{
	direct_placement_fn on_placed = query->on_placed;
	void *userdata = query->userdata;

	g_hash_table_remove(query->placement->queries, &query->number);
	on_placed(userdata, upstream, result);
}

static gboolean on_answer_timeout(gpointer data)
{
	struct query *query = data;
	struct direct_placement *placement = query->placement;
	const struct direct_placement_result none = { 0 };
	int64_t received_us =
		direct_peers_last_received_us(placement->peers, query->peer);

	query->timer = 0;
	if (time_now_us(placement) - received_us > SUSPECT_AFTER_US)
		direct_peers_suspect(placement->peers, query->peer);
	else
		direct_peers_probe(placement->peers, query->peer);
	finish_query(query, NULL, &none);
	return G_SOURCE_REMOVE;
}

static GVariant *write_prefix_blocks(const struct pool_pick_args *pick_args)
{
	GVariantBuilder blocks;

	g_variant_builder_init(&blocks, G_VARIANT_TYPE("a(tx)"));
	for (uint32_t i = 0; i < pick_args->blocks_count; i++)
		g_variant_builder_add(&blocks, "(tx)",
				      (guint64)pick_args->blocks[i].id,
				      (gint64)pick_args->blocks[i].tokens);
	return g_variant_builder_end(&blocks);
}

/* Upstreams tried before, those in pushback towards this entry (to them the
 * placer is another entry), and those of other versions than the stream's. */
static GVariant *write_excluded(const struct direct_placement *placement,
				const struct pool_pick_args *pick_args)
{
	const struct pool *pool = placement->direct->pool;
	const GPtrArray *upstreams =
		pool_service_upstreams(pool, pick_args->service);
	GVariantBuilder tried;

	g_variant_builder_init(&tried, G_VARIANT_TYPE("at"));
	for (uint32_t i = 0; i < pick_args->tried_count; i++)
		g_variant_builder_add(
			&tried, "t", (guint64)lp_hash_str(pick_args->tried[i]));
	for (guint i = 0; upstreams && i < upstreams->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(upstreams, i);

		if (pool_has_pushback(pool, upstream) ||
		    (pick_args->version_id &&
		     upstream->version_id != pick_args->version_id))
			g_variant_builder_add(&tried, "t",
					      (guint64)upstream->hash);
	}
	return g_variant_builder_end(&tried);
}

uint64_t direct_placement_query(struct direct_placement *placement,
				uint64_t placer,
				const struct pool_pick_args *pick_args,
				direct_placement_fn on_placed, void *userdata)
{
	uint64_t number = placement->next_number++;
	g_autoptr(GVariant) body = g_variant_ref_sink(g_variant_new(
		"(ts@a(tx)@atsxxs)", (guint64)number, pick_args->service,
		write_prefix_blocks(pick_args),
		write_excluded(placement, pick_args),
		pick_args->preferred_domain ? pick_args->preferred_domain : "",
		(gint64)pick_args->fetch_bytes, (gint64)pick_args->target_us,
		allowed_regions_encode(pick_args->allowed_regions)));
	struct query *query;

	if (!direct_peers_send(placement->peers, placer, KIND_QUERY, body))
		return 0;
	query = g_new0(struct query, 1);
	query->placement = placement;
	query->number = number;
	query->peer = placer;
	query->on_placed = on_placed;
	query->userdata = userdata;
	query->timer = lp_timer_add(ANSWER_TIMEOUT_US / LP_US_PER_MS,
				    on_answer_timeout, query);
	g_hash_table_insert(placement->queries, &query->number, query);
	return number;
}

void direct_placement_cancel(struct direct_placement *placement,
			     uint64_t number)
{
	g_hash_table_remove(placement->queries, &number);
}

static void send_state(struct direct_placement *placement,
		       const struct direct_placement_result *result,
		       uint32_t state, int64_t took_us, int64_t expected_us)
{
	g_autoptr(GVariant) body = g_variant_ref_sink(
		g_variant_new(STATE_TYPE, (guint64)result->number, state,
			      (gint64)took_us, (gint64)expected_us));

	direct_peers_send(placement->peers, result->placer, KIND_STATE, body);
}

void direct_placement_report_answering(
	struct direct_placement *placement,
	const struct direct_placement_result *result, int64_t took_us,
	int64_t expected_us)
{
	send_state(placement, result, STATE_ANSWERING, took_us, expected_us);
}

void direct_placement_report_end(struct direct_placement *placement,
				 const struct direct_placement_result *result,
				 enum pool_outcome outcome)
{
	send_state(placement, result, STATE_ENDED + (uint32_t)outcome, 0, 0);
}

static void on_answer(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_placement *placement = userdata;
	struct direct_placement_result result = { .placer = peer };
	struct pool_upstream *upstream;
	struct query *query;
	guint64 number;
	guint64 engine;
	guint64 copy_source;

	g_variant_get(body, ANSWER_TYPE, &number, &engine, &copy_source,
		      &result.copied_tokens, &result.cold_tokens,
		      &result.tokens_ahead, &result.wait_us);
	result.number = number;
	result.copy_source = copy_source;
	query = g_hash_table_lookup(placement->queries, &number);
	/* Too late: this entry has placed the prompt itself. */
	if (!query || query->peer != peer) {
		direct_placement_report_end(placement, &result,
					    POOL_UNDETERMINED);
		return;
	}
	upstream = pool_find_incarnation(placement->direct->pool, engine);
	if (upstream && (!pool_is_eligible(upstream) ||
			 pool_has_pushback(placement->direct->pool, upstream)))
		upstream = NULL;
	if (!upstream) {
		direct_placement_report_end(placement, &result,
					    POOL_UNDETERMINED);
		result = (struct direct_placement_result){
			.wait_us = result.wait_us
		};
	}
	finish_query(query, upstream, &result);
}

/* ---- prompts placed for peers ---- */

static void mark_prefilled(struct reservation *reservation)
{
	if (!reservation->is_prefilled)
		reservation->upstream->pending_prefill_tokens -=
			reservation->cold_tokens;
	reservation->is_prefilled = true;
}

static void free_reservation(gpointer data)
{
	struct reservation *reservation = data;

	mark_prefilled(reservation);
	reservation->upstream->in_flight--;
	pool_upstream_unref(reservation->upstream);
	g_free(reservation);
}

static struct pool_prefix_block *read_prefix_blocks(GVariant *list,
						    uint32_t *count)
{
	struct pool_prefix_block *blocks;
	GVariantIter iter;
	guint64 id;
	gint64 tokens;

	blocks = g_new0(struct pool_prefix_block,
			g_variant_n_children(list) + 1);
	*count = 0;
	g_variant_iter_init(&iter, list);
	while (g_variant_iter_next(&iter, "(tx)", &id, &tokens))
		blocks[(*count)++] =
			(struct pool_prefix_block){ id, MAX(tokens, 0) };
	return blocks;
}

static struct pool_upstream *find_by_hash(const GPtrArray *upstreams,
					  uint64_t hash)
{
	for (guint i = 0; upstreams && i < upstreams->len; i++) {
		struct pool_upstream *upstream =
			g_ptr_array_index(upstreams, i);

		if (upstream->hash == hash)
			return upstream;
	}
	return NULL;
}

/* Ids of the excluded upstreams. Unknown ones are left out, as they cannot be
 * chosen anyway. */
static GPtrArray *read_excluded(const struct direct_placement *placement,
				const char *service, GVariant *list)
{
	const GPtrArray *upstreams =
		pool_service_upstreams(placement->direct->pool, service);
	GPtrArray *tried = g_ptr_array_new();
	GVariantIter iter;
	guint64 hash;

	g_variant_iter_init(&iter, list);
	while (g_variant_iter_next(&iter, "t", &hash)) {
		struct pool_upstream *upstream = find_by_hash(upstreams, hash);

		if (upstream)
			g_ptr_array_add(tried, upstream->info.id);
	}
	return tried;
}

static struct reservation *reserve(struct direct_placement *placement,
				   uint64_t key,
				   const struct pool_pick_args *pick_args)
{
	struct direct *direct = placement->direct;
	struct pool_upstream *upstream = pool_pick(direct->pool, pick_args);
	struct pool_cache_copy copy;
	struct reservation *reservation;

	if (!upstream)
		return NULL;
	reservation = g_new0(struct reservation, 1);
	reservation->key = key;
	reservation->upstream = pool_upstream_ref(upstream);
	pool_note_sent(direct->pool, upstream);
	reservation->reserved_us = time_now_us(placement);
	copy = pool_find_cache_copy(direct->pool, upstream, pick_args);
	reservation->copy_source = copy.source ? copy.source->incarnation : 0;
	reservation->copied_tokens = copy.copied_tokens;
	reservation->cold_tokens = copy.prefill_tokens;
	upstream->in_flight++;
	upstream->pending_prefill_tokens += reservation->cold_tokens;
	pool_note_cached_blocks(
		direct->pool, upstream, pick_args->blocks,
		pick_args->blocks_count,
		direct_prefix_cache_capacity(direct, pick_args->service));
	g_hash_table_replace(placement->reservations, &reservation->key,
			     reservation);
	return reservation;
}

/* `reservation` NULL: the prompt could not be placed. */
static GVariant *write_answer(uint64_t number,
			      const struct reservation *reservation,
			      int64_t wait_us)
{
	if (!reservation)
		return g_variant_new(ANSWER_TYPE, (guint64)number, (guint64)0,
				     (guint64)0, (gint64)0, (gint64)0,
				     (gint64)0, (gint64)wait_us);
	return g_variant_new(
		ANSWER_TYPE, (guint64)number,
		(guint64)reservation->upstream->incarnation,
		(guint64)reservation->copy_source,
		(gint64)reservation->copied_tokens,
		(gint64)reservation->cold_tokens,
		(gint64)(reservation->upstream->pending_prefill_tokens -
			 reservation->cold_tokens),
		(gint64)0);
}

static void on_query(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_placement *placement = userdata;
	g_autoptr(GVariant) list = NULL;
	g_autoptr(GVariant) tried_list = NULL;
	g_autoptr(GVariant) reply = NULL;
	g_autoptr(GPtrArray) tried = NULL;
	g_autofree struct pool_prefix_block *blocks = NULL;
	struct pool_pick_args pick_args = { 0 };
	const struct reservation *reservation;
	const char *domain;
	const char *regions;
	guint64 number;

	if (!direct_ready(placement->direct))
		return;
	g_variant_get(body, "(t&s@a(tx)@at&sxx&s)", &number, &pick_args.service,
		      &list, &tried_list, &domain, &pick_args.fetch_bytes,
		      &pick_args.target_us, &regions);
	pick_args.allowed_regions = allowed_regions_decode(regions);
	blocks = read_prefix_blocks(list, &pick_args.blocks_count);
	tried = read_excluded(placement, pick_args.service, tried_list);
	pick_args.blocks = blocks;
	pick_args.tried = (const char *const *)tried->pdata;
	pick_args.tried_count = tried->len;
	pick_args.preferred_domain = *domain ? domain : NULL;
	direct_stages_set_shard(placement->direct->stages, &pick_args);
	reservation =
		reserve(placement, lp_hash_pair(peer, number), &pick_args);
	reply = g_variant_ref_sink(write_answer(
		number, reservation,
		reservation ? 0
			    : pool_retry_after_us(placement->direct->pool,
						  &pick_args)));
	direct_peers_send(placement->peers, peer, KIND_ANSWER, reply);
}

static void on_state(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_placement *placement = userdata;
	struct pool *pool = placement->direct->pool;
	struct reservation *reservation;
	guint64 number;
	guint32 state;
	gint64 took_us;
	gint64 expected_us;
	uint64_t key;

	g_variant_get(body, STATE_TYPE, &number, &state, &took_us,
		      &expected_us);
	key = lp_hash_pair(peer, number);
	reservation = g_hash_table_lookup(placement->reservations, &key);
	if (!reservation)
		return;
	if (state == STATE_ANSWERING) {
		mark_prefilled(reservation);
		pool_record_outcome(pool, reservation->upstream, POOL_SERVED,
				    took_us, expected_us);
		return;
	}
	pool_record_outcome(
		pool, reservation->upstream,
		MIN(state - STATE_ENDED, (guint32)POOL_UNDETERMINED), 0, 0);
	g_hash_table_remove(placement->reservations, &key);
}

static gboolean on_expiry_timer(gpointer userdata)
{
	struct direct_placement *placement = userdata;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, placement->reservations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct reservation *reservation = value;
		int64_t age_us =
			time_now_us(placement) - reservation->reserved_us;

		if (age_us > PREFILL_MAX_US)
			mark_prefilled(reservation);
		if (age_us > REQUEST_MAX_US)
			g_hash_table_iter_remove(&iter);
	}
	return G_SOURCE_CONTINUE;
}

/* ---- start and end ---- */

struct direct_placement *direct_placement_create(struct direct *direct,
						 struct direct_peers *peers)
{
	struct direct_placement *placement = g_new0(struct direct_placement, 1);

	placement->direct = direct;
	placement->peers = peers;
	placement->queries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, free_query);
	placement->reservations = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, free_reservation);
	/* Random, to differ from those of an earlier start. */
	placement->next_number = lp_random_u64();
	placement->expiry_timer =
		lp_timer_add(EXPIRY_INTERVAL_MS, on_expiry_timer, placement);
	direct_peers_listen(peers, KIND_QUERY, QUERY_TYPE, on_query, placement);
	direct_peers_listen(peers, KIND_ANSWER, ANSWER_TYPE, on_answer,
			    placement);
	direct_peers_listen(peers, KIND_STATE, STATE_TYPE, on_state, placement);
	return placement;
}

void direct_placement_destroy(struct direct_placement *placement)
{
	if (!placement)
		return;
	g_source_remove(placement->expiry_timer);
	g_hash_table_unref(placement->queries);
	g_hash_table_unref(placement->reservations);
	g_free(placement);
}
