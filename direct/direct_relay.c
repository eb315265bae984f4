#include "direct/direct_relay.h"

#include "direct/direct_private.h"

#include "base/lp_id.h"
#include "base/lp_timer.h"

#include <string.h>

#define KIND_ASK 'A'
#define KIND_TAKEN 'K'
#define KIND_DROP 'D'
#define KIND_MADE 'R'
#define KIND_HEARD 'C'
#define KIND_GIVE_UP 'G'

/* number, service, request, key, stage, pieces, inputs, due and useless in so
 * many us, priority, bytes, flags, domain and bytes of what is near, regions */
#define ASK_TYPE "(tsssuauasxxixusxs)"
#define TAKEN_TYPE "(tax)" /* number, waits a rank */
#define DROP_TYPE "(t)"	   /* number */
/* number, serial, results (piece, result, maker, handle), waits a rank */
#define MADE_TYPE "(tta(uuts)ax)"
#define HEARD_TYPE "(t)"      /* serial */
#define GIVE_UP_TYPE "(txas)" /* maker, bytes, handles */

#define FLAG_HAS_INPUTS 1
#define FLAG_HOLDS_ROOM 2
#define FLAG_SPLIT 4
#define FLAG_ALONE 8

/* Twenty round trips: what is not confirmed by then was lost, or its receiver
 * has much to do. */
#define AGAIN_US (60 * LP_US_PER_MS)
#define TICK_MS 20
/* A dispatcher that owes us something is asked for a sign of life after this,
 * and given up after that: it may be on a slow host. */
#define QUIET_US (150 * LP_US_PER_MS)
#define GONE_US (500 * LP_US_PER_MS)
/* Results are sent so often; their receiver is gone then. */
#define MADE_TRIES_MAX 8
/* Serials of results are remembered for as long as they may come again. */
#define SERIALS_US (2 * LP_US_PER_S)
/* Results named in one datagram: about 4 KB. */
#define RESULTS_MAX 96
/* The longest time to a due date that is believed. */
#define DUE_MAX_US (600 * LP_US_PER_S)

/* What we asked of a peer. */
struct asked {
	uint64_t number;
	uint64_t peer;
	GVariant *body;
	int64_t first_us;
	int64_t sent_us;
	bool taken;
};

/* What a peer asked of us. */
struct served {
	struct direct_relay *relay;
	uint64_t key;
	uint64_t peer;
	uint64_t number;
	char *service;
	int64_t until_us; /* of no use after it */
	struct direct_job *job;
};

/* Results that a peer has not confirmed yet. */
struct sent_result {
	uint64_t serial;
	uint64_t peer;
	GVariant *body;
	int64_t sent_us;
	uint32_t tries;
};

struct direct_relay {
	struct direct *direct;
	struct direct_peers *peers;
	struct direct_relay_events events;
	GHashTable *asked;   /* number -> struct asked */
	GHashTable *served;  /* key -> struct served */
	GHashTable *results; /* serial -> struct sent_result */
	GHashTable *serials; /* heard lately -> time */
	uint64_t next_serial;
	guint tick;
};

static int64_t now(const struct direct_relay *relay)
{
	return lp_now_us(relay->direct->options.clock);
}

static void free_asked(gpointer data)
{
	struct asked *asked = data;

	g_variant_unref(asked->body);
	g_free(asked);
}

static void free_served(gpointer data)
{
	struct served *served = data;

	g_free(served->service);
	g_free(served);
}

static void free_sent_result(gpointer data)
{
	struct sent_result *sent = data;

	g_variant_unref(sent->body);
	g_free(sent);
}

static void send_number(struct direct_relay *relay, uint64_t peer, char kind,
			uint64_t number)
{
	g_autoptr(GVariant) body =
		g_variant_ref_sink(g_variant_new("(t)", (guint64)number));

	direct_peers_send(relay->peers, peer, kind, body);
}

/* ---- the tick: what is sent again, who is gone ---- */

static void ask_again(struct direct_relay *relay, struct asked *asked)
{
	asked->sent_us = now(relay);
	direct_peers_send(relay->peers, asked->peer, KIND_ASK, asked->body);
}

/* Silent, or it hears us and does not take the work. */
static bool is_gone(struct direct_relay *relay, const struct asked *asked)
{
	int64_t heard_us = direct_peers_heard_us(relay->peers, asked->peer);

	if (!asked->taken)
		heard_us = 0;
	return now(relay) - MAX(heard_us, asked->first_us) > GONE_US;
}

/* Returns whether its dispatcher is gone. */
static bool look_at(struct direct_relay *relay, struct asked *asked)
{
	int64_t now_us = now(relay);
	int64_t heard_us = direct_peers_heard_us(relay->peers, asked->peer);

	if (is_gone(relay, asked))
		return true;
	if (!asked->taken && now_us - asked->sent_us >= AGAIN_US)
		ask_again(relay, asked);
	else if (asked->taken &&
		 now_us - MAX(heard_us, asked->sent_us) >= QUIET_US)
		direct_peers_ask_sign(relay->peers, asked->peer);
	return false;
}

static void lose(struct direct_relay *relay, uint64_t number)
{
	g_hash_table_remove(relay->asked, &number);
	relay->events.on_lost(relay->events.userdata, number);
}

static void look_at_asked(struct direct_relay *relay)
{
	g_autoptr(GList) all = g_hash_table_get_values(relay->asked);
	g_autoptr(GArray) gone = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (GList *at = all; at; at = at->next) {
		struct asked *asked = at->data;

		if (!look_at(relay, asked))
			continue;
		direct_peers_suspect(relay->peers, asked->peer);
		g_array_append_val(gone, asked->number);
	}
	for (guint i = 0; i < gone->len; i++)
		lose(relay, g_array_index(gone, uint64_t, i));
}

static void look_at_results(struct direct_relay *relay)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, relay->results);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sent_result *sent = value;

		if (now(relay) - sent->sent_us < AGAIN_US)
			continue;
		if (sent->tries++ >= MADE_TRIES_MAX) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		sent->sent_us = now(relay);
		direct_peers_send(relay->peers, sent->peer, KIND_MADE,
				  sent->body);
	}
}

static void forget_serials(struct direct_relay *relay)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, relay->serials);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (now(relay) - *(int64_t *)value > SERIALS_US)
			g_hash_table_iter_remove(&iter);
}

/* A peer that ended without a word, or whose word was lost. */
static void drop_expired(struct direct_relay *relay)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, relay->served);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct served *served = value;

		if (served->until_us > now(relay))
			continue;
		direct_calls_cancel(served->job);
		g_hash_table_iter_remove(&iter);
	}
}

static gboolean on_tick(gpointer userdata)
{
	struct direct_relay *relay = userdata;

	drop_expired(relay);
	look_at_asked(relay);
	look_at_results(relay);
	forget_serials(relay);
	if (g_hash_table_size(relay->asked) ||
	    g_hash_table_size(relay->served) ||
	    g_hash_table_size(relay->results) ||
	    g_hash_table_size(relay->serials))
		return G_SOURCE_CONTINUE;
	relay->tick = 0;
	return G_SOURCE_REMOVE;
}

static void start_tick(struct direct_relay *relay)
{
	if (!relay->tick)
		relay->tick = lp_timer_add(TICK_MS, on_tick, relay);
}

/* ---- asking ---- */

static GVariant *strings(const GPtrArray *list)
{
	return g_variant_new_strv((const char *const *)list->pdata,
				  (gssize)list->len);
}

static GVariant *write_ask(struct direct_relay *relay, uint64_t number,
			   const struct direct_work *work)
{
	const struct piece *piece = &work->piece;
	int64_t now_us = now(relay);
	uint32_t flags = (piece->has_inputs ? FLAG_HAS_INPUTS : 0) |
			 (piece->holds_room ? FLAG_HOLDS_ROOM : 0) |
			 (piece->split ? FLAG_SPLIT : 0) |
			 (piece->alone ? FLAG_ALONE : 0);

	return g_variant_ref_sink(g_variant_new(
		"(tsssu@au@asxxixusxs)", (guint64)number, work->service,
		work->id, work->key ? work->key : "", piece->stage,
		g_variant_new_fixed_array(G_VARIANT_TYPE_UINT32,
					  work->indices->data,
					  work->indices->len, sizeof(uint32_t)),
		strings(work->inputs), (gint64)(piece->due_us - now_us),
		(gint64)(piece->until_us - now_us), piece->priority,
		(gint64)piece->bytes, flags,
		piece->preferred_domain ? piece->preferred_domain : "",
		(gint64)piece->preferred_bytes, homes_write(piece->homes)));
}

bool direct_relay_ask(struct direct_relay *relay, uint64_t peer,
		      uint64_t number, const struct direct_work *work)
{
	GVariant *body = write_ask(relay, number, work);
	struct asked *asked;

	if (!direct_peers_send(relay->peers, peer, KIND_ASK, body)) {
		g_variant_unref(body);
		return false;
	}
	asked = g_new0(struct asked, 1);
	asked->number = number;
	asked->peer = peer;
	asked->body = body;
	asked->first_us = now(relay);
	asked->sent_us = asked->first_us;
	g_hash_table_insert(relay->asked, &asked->number, asked);
	start_tick(relay);
	return true;
}

void direct_relay_forget(struct direct_relay *relay, uint64_t number, bool tell)
{
	struct asked *asked = g_hash_table_lookup(relay->asked, &number);

	if (!asked)
		return;
	if (tell)
		send_number(relay, asked->peer, KIND_DROP, number);
	g_hash_table_remove(relay->asked, &number);
}

static void take_waits(struct direct_relay *relay, uint64_t number,
		       GVariant *list)
{
	gsize count;
	const int64_t *waits_us =
		g_variant_get_fixed_array(list, &count, sizeof(int64_t));

	if (count == DIRECT_RANKS)
		relay->events.on_queue_waits(relay->events.userdata, number,
					     waits_us);
}

static void on_taken(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_relay *relay = userdata;
	g_autoptr(GVariant) waits = NULL;
	struct asked *asked;
	guint64 number;

	g_variant_get(body, "(t@ax)", &number, &waits);
	asked = g_hash_table_lookup(relay->asked, &number);
	if (!asked || asked->peer != peer)
		return;
	asked->taken = true;
	take_waits(relay, number, waits);
}

/* False: these results came before. */
static bool note_serial(struct direct_relay *relay, uint64_t peer,
			uint64_t serial)
{
	uint64_t key = lp_hash_pair(peer, serial);
	int64_t now_us = now(relay);

	if (g_hash_table_contains(relay->serials, &key))
		return false;
	g_hash_table_insert(relay->serials, g_memdup2(&key, sizeof(key)),
			    g_memdup2(&now_us, sizeof(now_us)));
	start_tick(relay);
	return true;
}

/* Nobody waits for these any more. */
static void give_up_results(struct direct_relay *relay,
			    struct direct_result *results, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (results[i].outcome == DIRECT_ITEM_MADE)
			direct_results_give_up(
				relay->direct->results, results[i].producer,
				g_steal_pointer(&results[i].handle), 0);
}

static GArray *read_results(GVariant *list)
{
	GArray *results =
		g_array_new(FALSE, TRUE, sizeof(struct direct_result));
	GVariantIter iter;
	guint32 index;
	guint32 kind;
	guint64 maker;
	const char *handle;

	g_variant_iter_init(&iter, list);
	while (g_variant_iter_next(&iter, "(uut&s)", &index, &kind, &maker,
				   &handle)) {
		struct direct_result result = {
			.index = index,
			.outcome = MIN(kind, DIRECT_ITEM_LOST),
			.producer = maker,
		};

		if (result.outcome == DIRECT_ITEM_MADE)
			result.handle = g_strdup(handle);
		g_array_append_val(results, result);
	}
	return results;
}

static void on_made(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_relay *relay = userdata;
	g_autoptr(GVariant) list = NULL;
	g_autoptr(GVariant) waits = NULL;
	g_autoptr(GArray) results = NULL;
	struct asked *asked;
	guint64 number;
	guint64 serial;

	g_variant_get(body, "(tt@a(uuts)@ax)", &number, &serial, &list, &waits);
	send_number(relay, peer, KIND_HEARD, serial);
	if (!note_serial(relay, peer, serial))
		return;
	results = read_results(list);
	asked = g_hash_table_lookup(relay->asked, &number);
	if (asked && asked->peer == peer) {
		asked->taken = true;
		take_waits(relay, number, waits);
		relay->events.on_results(relay->events.userdata, number,
					 (struct direct_result *)results->data,
					 results->len);
	} else {
		give_up_results(relay, (struct direct_result *)results->data,
				results->len);
	}
	for (guint i = 0; i < results->len; i++)
		g_free(g_array_index(results, struct direct_result, i).handle);
}

void direct_relay_give_up(struct direct_relay *relay, uint64_t peer,
			  uint64_t maker, const GPtrArray *handles,
			  int64_t bytes)
{
	g_autoptr(GVariant) body = g_variant_ref_sink(g_variant_new(
		"(tx@as)", (guint64)maker, (gint64)bytes, strings(handles)));

	direct_peers_send(relay->peers, peer, KIND_GIVE_UP, body);
}

/* ---- serving ---- */

static GVariant *write_waits(struct direct_relay *relay, const char *service)
{
	int64_t waits_us[DIRECT_RANKS];

	direct_calls_estimate_each_us(relay->direct->calls, service, waits_us,
				      DIRECT_RANKS);
	return g_variant_new_fixed_array(G_VARIANT_TYPE_INT64, waits_us,
					 DIRECT_RANKS, sizeof(int64_t));
}

static void send_results(struct direct_relay *relay,
			 const struct served *served,
			 const struct direct_result *results, uint32_t count)
{
	struct sent_result *sent = g_new0(struct sent_result, 1);
	GVariantBuilder list;

	g_variant_builder_init(&list, G_VARIANT_TYPE("a(uuts)"));
	for (uint32_t i = 0; i < count; i++)
		g_variant_builder_add(&list, "(uuts)", results[i].index,
				      (guint32)results[i].outcome,
				      (guint64)results[i].producer,
				      results[i].handle ? results[i].handle
							: "");
	sent->serial = relay->next_serial++;
	sent->peer = served->peer;
	sent->sent_us = now(relay);
	sent->body = g_variant_ref_sink(
		g_variant_new("(tta(uuts)@ax)", (guint64)served->number,
			      (guint64)sent->serial, &list,
			      write_waits(relay, served->service)));
	g_hash_table_insert(relay->results, &sent->serial, sent);
	direct_peers_send(relay->peers, sent->peer, KIND_MADE, sent->body);
	start_tick(relay);
}

static void on_job_made(void *userdata, struct direct_result *results,
			uint32_t count, uint32_t left)
{
	struct served *served = userdata;
	struct direct_relay *relay = served->relay;

	for (uint32_t i = 0; i < count; i += RESULTS_MAX)
		send_results(relay, served, results + i,
			     MIN(count - i, RESULTS_MAX));
	if (!left)
		g_hash_table_remove(relay->served, &served->key);
}

static GPtrArray *read_strings(GVariant *list)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	GVariantIter iter;
	const char *text;

	g_variant_iter_init(&iter, list);
	while (g_variant_iter_next(&iter, "&s", &text))
		g_ptr_array_add(out, g_strdup(text));
	return out;
}

static void read_ask(struct direct_relay *relay, GVariant *body,
		     struct direct_work *work)
{
	struct piece *piece = &work->piece;
	g_autoptr(GVariant) indices = NULL;
	g_autoptr(GVariant) inputs = NULL;
	int64_t now_us = now(relay);
	const char *preferred;
	const char *homes;
	guint64 number;
	gint64 due_us;
	gint64 until_us;
	guint32 flags;
	gsize count;
	const void *cells;

	g_variant_get(body, "(tsssu@au@asxxixu&sx&s)", &number, &work->service,
		      &work->id, &work->key, &piece->stage, &indices, &inputs,
		      &due_us, &until_us, &piece->priority, &piece->bytes,
		      &flags, &preferred, &piece->preferred_bytes, &homes);
	cells = g_variant_get_fixed_array(indices, &count, sizeof(uint32_t));
	work->indices = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_array_append_vals(work->indices, cells, (guint)count);
	work->inputs = read_strings(inputs);
	if (!*work->key)
		g_clear_pointer(&work->key, g_free);
	piece->due_us = now_us + CLAMP(due_us, -DUE_MAX_US, DUE_MAX_US);
	piece->until_us = now_us + CLAMP(until_us, 0, DUE_MAX_US);
	piece->has_inputs = flags & FLAG_HAS_INPUTS;
	piece->holds_room = flags & FLAG_HOLDS_ROOM;
	piece->split = flags & FLAG_SPLIT;
	piece->alone = flags & FLAG_ALONE;
	/* Domains are few. */
	piece->preferred_domain =
		*preferred ? g_intern_string(preferred) : NULL;
	piece->homes = homes_read(homes);
}

static void confirm_ask(struct direct_relay *relay, const struct served *served)
{
	g_autoptr(GVariant) taken = g_variant_ref_sink(
		g_variant_new("(t@ax)", (guint64)served->number,
			      write_waits(relay, served->service)));

	direct_peers_send(relay->peers, served->peer, KIND_TAKEN, taken);
}

static void on_ask(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_relay *relay = userdata;
	struct direct_work work = { 0 };
	struct served *served;
	guint64 number;
	uint64_t key;

	g_variant_get_child(body, 0, "t", &number);
	key = lp_hash_pair(peer, number);
	served = g_hash_table_lookup(relay->served, &key);
	if (served) {
		confirm_ask(relay, served);
		return;
	}
	/* Started just now, and asked for who we were: it hears our hello. */
	if (!direct_ready(relay->direct))
		return;
	read_ask(relay, body, &work);
	if (!work.indices->len) {
		direct_work_clear(&work);
		return;
	}
	served = g_new0(struct served, 1);
	served->relay = relay;
	served->key = key;
	served->peer = peer;
	served->number = number;
	served->service = g_strdup(work.service);
	served->until_us = work.piece.until_us;
	g_hash_table_insert(relay->served, &served->key, served);
	served->job = direct_calls_add(relay->direct->calls, &work, on_job_made,
				       served);
	start_tick(relay);
	confirm_ask(relay, served);
}

static void on_drop(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_relay *relay = userdata;
	struct served *served;
	guint64 number;
	uint64_t key;

	g_variant_get(body, "(t)", &number);
	key = lp_hash_pair(peer, number);
	served = g_hash_table_lookup(relay->served, &key);
	if (!served)
		return;
	direct_calls_cancel(served->job);
	g_hash_table_remove(relay->served, &key);
}

static void on_heard(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_relay *relay = userdata;
	guint64 serial;

	g_variant_get(body, "(t)", &serial);
	g_hash_table_remove(relay->results, &serial);
}

static void on_give_up(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_relay *relay = userdata;
	g_autoptr(GVariant) list = NULL;
	g_autoptr(GPtrArray) handles = NULL;
	guint64 maker;
	gint64 bytes;

	g_variant_get(body, "(tx@as)", &maker, &bytes, &list);
	handles = read_strings(list);
	direct_results_take(relay->direct->results, maker, handles,
			    MAX(bytes, 0));
}

/* A peer has started anew: it knows nothing of what we asked. */
static void on_restarted(void *userdata, uint64_t peer)
{
	struct direct_relay *relay = userdata;
	g_autoptr(GList) all = g_hash_table_get_values(relay->asked);
	g_autoptr(GArray) gone = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (GList *at = all; at; at = at->next) {
		struct asked *asked = at->data;

		if (asked->peer == peer)
			g_array_append_val(gone, asked->number);
	}
	for (guint i = 0; i < gone->len; i++)
		lose(relay, g_array_index(gone, uint64_t, i));
}

struct direct_relay *
direct_relay_create(struct direct *direct, struct direct_peers *peers,
		    const struct direct_relay_events *events)
{
	struct direct_relay *relay = g_new0(struct direct_relay, 1);

	relay->direct = direct;
	relay->peers = peers;
	relay->events = *events;
	relay->asked = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     free_asked);
	relay->served = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      free_served);
	relay->results = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, free_sent_result);
	relay->serials = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	/* Unlike those of an earlier life. */
	relay->next_serial = lp_random_u64();
	direct_peers_listen(peers, KIND_ASK, ASK_TYPE, on_ask, relay);
	direct_peers_listen(peers, KIND_TAKEN, TAKEN_TYPE, on_taken, relay);
	direct_peers_listen(peers, KIND_DROP, DROP_TYPE, on_drop, relay);
	direct_peers_listen(peers, KIND_MADE, MADE_TYPE, on_made, relay);
	direct_peers_listen(peers, KIND_HEARD, HEARD_TYPE, on_heard, relay);
	direct_peers_listen(peers, KIND_GIVE_UP, GIVE_UP_TYPE, on_give_up,
			    relay);
	direct_peers_on_restart(peers, on_restarted, relay);
	return relay;
}

static void drop_served(struct direct_relay *relay)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, relay->served);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		direct_calls_cancel(((struct served *)value)->job);
}

void direct_relay_destroy(struct direct_relay *relay)
{
	if (!relay)
		return;
	drop_served(relay);
	if (relay->tick)
		g_source_remove(relay->tick);
	g_hash_table_unref(relay->asked);
	g_hash_table_unref(relay->served);
	g_hash_table_unref(relay->results);
	g_hash_table_unref(relay->serials);
	g_free(relay);
}
