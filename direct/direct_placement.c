#include "direct/direct_placement.h"

#include "direct/direct_private.h"

#include "base/lp_id.h"
#include "base/lp_timer.h"

#define KIND_PLACE 'P'
#define KIND_PLACED 'Q'
#define KIND_STATE 'E'

/* number, service, parts (id, tokens), tried, domain and bytes of what is
 * fetched, us until the target, regions */
#define PLACE_TYPE "(tsa(tx)atsxxs)"
/* number, engine, source of a copy, copied, cold tokens, tokens ahead, us until
 * some engine may take it if there is none */
#define PLACED_TYPE "(tttxxxx)"
#define STATE_TYPE "(tuxx)" /* number, state, took and expected us */

/* States of a placed request; an outcome of enum pool_outcome is added to the
 * second. */
#define STATE_HEARD 0
#define STATE_ENDED 1

/* Thirty round trips: an entry that hears nothing places by itself. */
#define ANSWER_US (40 * LP_US_PER_MS)
/* A placer that is silent for so long gets no questions for a while. */
#define GONE_US (400 * LP_US_PER_MS)
/* Words of an end may be lost: a prompt is read by then, ... */
#define READ_US (3 * LP_US_PER_S)
/* ... and a stream over. */
#define OVER_US (15 * LP_US_PER_S)
#define LOOK_MS 500

/* What we asked. */
struct question {
	struct direct_places *places;
	uint64_t number;
	uint64_t peer;
	guint timer;
	direct_placed_fn placed;
	void *userdata;
};

/* What we placed for a peer. */
struct held {
	uint64_t key;
	struct pool_upstream *upstream;
	uint64_t source; /* engine to copy memory from; 0: none */
	int64_t copied_tokens;
	int64_t cold_tokens; /* to be read */
	int64_t at_us;
	bool read;
};

struct direct_places {
	struct direct *direct;
	struct direct_peers *peers;
	GHashTable *questions; /* number -> struct question */
	GHashTable *held;      /* key -> struct held */
	uint64_t next_number;
	guint look_timer;
};

static int64_t now(const struct direct_places *places)
{
	return lp_now_us(places->direct->options.clock);
}

/* ---- asking ---- */

static void free_question(gpointer data)
{
	struct question *question = data;

	if (question->timer)
		g_source_remove(question->timer);
	g_free(question);
}

static void answer(struct question *question, struct pool_upstream *upstream,
		   const struct direct_place *place)
{
	direct_placed_fn placed = question->placed;
	void *userdata = question->userdata;

	g_hash_table_remove(question->places->questions, &question->number);
	placed(userdata, upstream, place);
}

static gboolean on_no_answer(gpointer data)
{
	struct question *question = data;
	struct direct_places *places = question->places;
	const struct direct_place none = { 0 };
	int64_t heard_us = direct_peers_heard_us(places->peers, question->peer);

	question->timer = 0;
	if (now(places) - heard_us > GONE_US)
		direct_peers_suspect(places->peers, question->peer);
	else
		direct_peers_ask_sign(places->peers, question->peer);
	answer(question, NULL, &none);
	return G_SOURCE_REMOVE;
}

static GVariant *write_parts(const struct pool_ask *ask)
{
	GVariantBuilder parts;

	g_variant_builder_init(&parts, G_VARIANT_TYPE("a(tx)"));
	for (uint32_t i = 0; i < ask->parts_count; i++)
		g_variant_builder_add(&parts, "(tx)", (guint64)ask->parts[i].id,
				      (gint64)ask->parts[i].tokens);
	return g_variant_builder_end(&parts);
}

/* And those that want nothing of us: its placer is another entry to them. */
static GVariant *write_tried(const struct direct_places *places,
			     const struct pool_ask *ask)
{
	const struct pool *pool = places->direct->pool;
	const GPtrArray *upstreams = pool_of_service(pool, ask->service);
	GVariantBuilder tried;

	g_variant_builder_init(&tried, G_VARIANT_TYPE("at"));
	for (uint32_t i = 0; i < ask->tried_count; i++)
		g_variant_builder_add(&tried, "t",
				      (guint64)lp_hash_str(ask->tried[i]));
	for (guint i = 0; upstreams && i < upstreams->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(upstreams, i);

		if (pool_is_resting(pool, upstream))
			g_variant_builder_add(&tried, "t",
					      (guint64)upstream->hash);
	}
	return g_variant_builder_end(&tried);
}

uint64_t direct_places_ask(struct direct_places *places, uint64_t placer,
			   const struct pool_ask *ask, direct_placed_fn placed,
			   void *userdata)
{
	uint64_t number = places->next_number++;
	g_autoptr(GVariant) body = g_variant_ref_sink(g_variant_new(
		"(ts@a(tx)@atsxxs)", (guint64)number, ask->service,
		write_parts(ask), write_tried(places, ask),
		ask->domain ? ask->domain : "", (gint64)ask->fetch_bytes,
		(gint64)ask->target_us, homes_write(ask->homes)));
	struct question *question;

	if (!direct_peers_send(places->peers, placer, KIND_PLACE, body))
		return 0;
	question = g_new0(struct question, 1);
	question->places = places;
	question->number = number;
	question->peer = placer;
	question->placed = placed;
	question->userdata = userdata;
	question->timer =
		lp_timer_add(ANSWER_US / LP_US_PER_MS, on_no_answer, question);
	g_hash_table_insert(places->questions, &question->number, question);
	return number;
}

void direct_places_drop(struct direct_places *places, uint64_t number)
{
	g_hash_table_remove(places->questions, &number);
}

static void send_state(struct direct_places *places,
		       const struct direct_place *place, uint32_t state,
		       int64_t took_us, int64_t expected_us)
{
	g_autoptr(GVariant) body = g_variant_ref_sink(
		g_variant_new(STATE_TYPE, (guint64)place->number, state,
			      (gint64)took_us, (gint64)expected_us));

	direct_peers_send(places->peers, place->placer, KIND_STATE, body);
}

void direct_places_heard(struct direct_places *places,
			 const struct direct_place *place, int64_t took_us,
			 int64_t expected_us)
{
	send_state(places, place, STATE_HEARD, took_us, expected_us);
}

void direct_places_ended(struct direct_places *places,
			 const struct direct_place *place,
			 enum pool_outcome outcome)
{
	send_state(places, place, STATE_ENDED + (uint32_t)outcome, 0, 0);
}

static void on_placed(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_places *places = userdata;
	struct direct_place place = { .placer = peer };
	struct pool_upstream *upstream;
	struct question *question;
	guint64 number;
	guint64 engine;
	guint64 source;

	g_variant_get(body, PLACED_TYPE, &number, &engine, &source,
		      &place.copied_tokens, &place.cold_tokens,
		      &place.tokens_ahead, &place.wait_us);
	place.number = number;
	place.copy_source = source;
	question = g_hash_table_lookup(places->questions, &number);
	/* Too late: placed by ourselves meanwhile. */
	if (!question || question->peer != peer) {
		direct_places_ended(places, &place, POOL_UNKNOWN);
		return;
	}
	upstream = pool_find_life(places->direct->pool, engine);
	if (upstream && (!pool_is_open(upstream) ||
			 pool_is_resting(places->direct->pool, upstream)))
		upstream = NULL;
	if (!upstream) {
		direct_places_ended(places, &place, POOL_UNKNOWN);
		place = (struct direct_place){ .wait_us = place.wait_us };
	}
	answer(question, upstream, &place);
}

/* ---- placing for peers ---- */

static void set_read(struct held *held)
{
	if (!held->read)
		held->upstream->tokens_ahead -= held->cold_tokens;
	held->read = true;
}

static void free_held(gpointer data)
{
	struct held *held = data;

	set_read(held);
	held->upstream->in_flight--;
	pool_release(held->upstream);
	g_free(held);
}

static struct pool_part *read_parts(GVariant *list, uint32_t *count)
{
	struct pool_part *parts;
	GVariantIter iter;
	guint64 id;
	gint64 tokens;

	parts = g_new0(struct pool_part, g_variant_n_children(list) + 1);
	*count = 0;
	g_variant_iter_init(&iter, list);
	while (g_variant_iter_next(&iter, "(tx)", &id, &tokens))
		parts[(*count)++] = (struct pool_part){ id, MAX(tokens, 0) };
	return parts;
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

/* Ids of what was tried; those that we do not know cannot be chosen anyway. */
static GPtrArray *read_tried(const struct direct_places *places,
			     const char *service, GVariant *list)
{
	const GPtrArray *upstreams =
		pool_of_service(places->direct->pool, service);
	GPtrArray *tried = g_ptr_array_new();
	GVariantIter iter;
	guint64 hash;

	g_variant_iter_init(&iter, list);
	while (g_variant_iter_next(&iter, "t", &hash)) {
		struct pool_upstream *upstream = find_by_hash(upstreams, hash);

		if (upstream)
			g_ptr_array_add(tried, upstream->entry.id);
	}
	return tried;
}

static struct held *hold(struct direct_places *places, uint64_t key,
			 const struct pool_ask *ask)
{
	struct direct *direct = places->direct;
	struct pool_upstream *upstream = pool_pick(direct->pool, ask);
	struct pool_copy copy;
	struct held *held;

	if (!upstream)
		return NULL;
	held = g_new0(struct held, 1);
	held->key = key;
	held->upstream = pool_hold(upstream);
	pool_sent(direct->pool, upstream);
	held->at_us = now(places);
	copy = pool_find_copy(direct->pool, upstream, ask);
	held->source = copy.from ? copy.from->life : 0;
	held->copied_tokens = copy.tokens;
	held->cold_tokens = copy.cold_tokens;
	upstream->in_flight++;
	upstream->tokens_ahead += held->cold_tokens;
	pool_remember(direct->pool, upstream, ask->parts, ask->parts_count,
		      direct_prompt_tokens(direct, ask->service));
	g_hash_table_replace(places->held, &held->key, held);
	return held;
}

/* `held` NULL: it could not be placed. */
static GVariant *write_placed(uint64_t number, const struct held *held,
			      int64_t wait_us)
{
	if (!held)
		return g_variant_new(PLACED_TYPE, (guint64)number, (guint64)0,
				     (guint64)0, (gint64)0, (gint64)0,
				     (gint64)0, (gint64)wait_us);
	return g_variant_new(
		PLACED_TYPE, (guint64)number, (guint64)held->upstream->life,
		(guint64)held->source, (gint64)held->copied_tokens,
		(gint64)held->cold_tokens,
		(gint64)(held->upstream->tokens_ahead - held->cold_tokens),
		(gint64)0);
}

static void on_place(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_places *places = userdata;
	g_autoptr(GVariant) list = NULL;
	g_autoptr(GVariant) tried_list = NULL;
	g_autoptr(GVariant) reply = NULL;
	g_autoptr(GPtrArray) tried = NULL;
	g_autofree struct pool_part *parts = NULL;
	struct pool_ask ask = { 0 };
	const struct held *held;
	const char *domain;
	const char *homes;
	guint64 number;

	if (!direct_ready(places->direct))
		return;
	g_variant_get(body, "(t&s@a(tx)@at&sxx&s)", &number, &ask.service,
		      &list, &tried_list, &domain, &ask.fetch_bytes,
		      &ask.target_us, &homes);
	ask.homes = homes_read(homes);
	parts = read_parts(list, &ask.parts_count);
	tried = read_tried(places, ask.service, tried_list);
	ask.parts = parts;
	ask.tried = (const char *const *)tried->pdata;
	ask.tried_count = tried->len;
	ask.domain = *domain ? domain : NULL;
	direct_stages_set_shard(places->direct->stages, &ask);
	held = hold(places, lp_hash_pair(peer, number), &ask);
	reply = g_variant_ref_sink(write_placed(
		number, held,
		held ? 0 : pool_turn_us(places->direct->pool, &ask)));
	direct_peers_send(places->peers, peer, KIND_PLACED, reply);
}

static void on_state(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_places *places = userdata;
	struct pool *pool = places->direct->pool;
	struct held *held;
	guint64 number;
	guint32 state;
	gint64 took_us;
	gint64 expected_us;
	uint64_t key;

	g_variant_get(body, STATE_TYPE, &number, &state, &took_us,
		      &expected_us);
	key = lp_hash_pair(peer, number);
	held = g_hash_table_lookup(places->held, &key);
	if (!held)
		return;
	if (state == STATE_HEARD) {
		set_read(held);
		pool_learn(pool, held->upstream, POOL_SERVED, took_us,
			   expected_us);
		return;
	}
	pool_learn(pool, held->upstream,
		   MIN(state - STATE_ENDED, (guint32)POOL_UNKNOWN), 0, 0);
	g_hash_table_remove(places->held, &key);
}

static gboolean on_look(gpointer userdata)
{
	struct direct_places *places = userdata;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, places->held);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct held *held = value;
		int64_t age_us = now(places) - held->at_us;

		if (age_us > READ_US)
			set_read(held);
		if (age_us > OVER_US)
			g_hash_table_iter_remove(&iter);
	}
	return G_SOURCE_CONTINUE;
}

/* ---- start and end ---- */

struct direct_places *direct_places_create(struct direct *direct,
					   struct direct_peers *peers)
{
	struct direct_places *places = g_new0(struct direct_places, 1);

	places->direct = direct;
	places->peers = peers;
	places->questions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, free_question);
	places->held = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     free_held);
	/* Unlike those of an earlier life. */
	places->next_number = lp_random_u64();
	places->look_timer = lp_timer_add(LOOK_MS, on_look, places);
	direct_peers_listen(peers, KIND_PLACE, PLACE_TYPE, on_place, places);
	direct_peers_listen(peers, KIND_PLACED, PLACED_TYPE, on_placed, places);
	direct_peers_listen(peers, KIND_STATE, STATE_TYPE, on_state, places);
	return places;
}

void direct_places_destroy(struct direct_places *places)
{
	if (!places)
		return;
	g_source_remove(places->look_timer);
	g_hash_table_unref(places->questions);
	g_hash_table_unref(places->held);
	g_free(places);
}
