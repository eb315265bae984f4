#include "direct/direct_relay.h"

#include "direct/direct_private.h"

#include "base/lp_id.h"
#include "base/lp_timer.h"

#include <string.h>

#define KIND_SUBMIT 'A'
#define KIND_ACCEPTED 'K'
#define KIND_CANCEL 'D'
#define KIND_RESULTS 'R'
#define KIND_RESULTS_ACK 'C'
#define KIND_FREE 'G'

/* number, service, request, key, stage, pieces, inputs, us until due, us until
 * useless, priority, bytes, flags, preferred domain, bytes that would cross
 * domains elsewhere, allowed regions */
#define SUBMIT_TYPE "(tsssuauasxxixusxs)"
#define ACCEPTED_TYPE "(tax)" /* number, queue waits */
#define CANCEL_TYPE "(t)"     /* number */
/* number, serial, results (piece, outcome, producer, handle), queue waits */
#define RESULTS_TYPE "(tta(uuts)ax)"
#define RESULTS_ACK_TYPE "(t)" /* serial */
#define FREE_TYPE "(txas)"     /* producer, bytes, handles */

/* Queue waits: of each rank, then of late work. */
#define WAITS_COUNT (DIRECT_PRIORITY_RANKS + 1)

#define FLAG_HAS_INPUTS 1
#define FLAG_HOLDS_MEMORY 2
#define FLAG_SPLIT 4
#define FLAG_ALONE 8
/* Older releases ignore it, and queue the pieces by their due time. */
#define FLAG_RESUMES 16

/* Twenty round trips: a datagram that is not confirmed by then was lost, or its
 * receiver is busy. */
#define RESEND_US (60 * LP_US_PER_MS)
#define TIMER_MS 20
/* Accepted work is sent again at this interval. A dispatcher that has it
 * confirms it again. One that has given up sending its results, because none
 * was confirmed for half a second, computes them again; the request waited for
 * its deadline otherwise. */
#define RECONFIRM_US (1 * LP_US_PER_S)
/* A dispatcher with work of this entry gets a liveness probe after the first
 * period of silence. After the second it counts as gone; it may be on a slow
 * host, so the period is long. */
#define PROBE_AFTER_US (150 * LP_US_PER_MS)
#define GONE_AFTER_US (500 * LP_US_PER_MS)
/* A receiver that has not confirmed results after this many resends is gone. */
#define RESULTS_RESENDS_MAX 8
/* Serials are remembered for as long as the same results may arrive again. */
#define SERIAL_RETENTION_US (2 * LP_US_PER_S)
/* About 4 KB. */
#define RESULTS_PER_DATAGRAM 96
/* Work that is useless is shed, and its owner is told. Pieces that are in a
 * call then, or are not shed, are cancelled after this time. */
#define EXPIRY_GRACE_US (2 * LP_US_PER_S)
/* Times until due or useless that peers send are clamped to this. */
#define DUE_TIME_MAX_US (600 * LP_US_PER_S)

/* Work submitted to a peer. */
struct outgoing_work {
	uint64_t number;
	uint64_t peer;
	GVariant *body;
	int64_t first_sent_us;
	int64_t sent_us;
	int64_t expires_us; /* useless after it */
	bool is_accepted;
};

/* Work of a peer that this entry dispatches. */
struct incoming_work {
	struct direct_relay *relay;
	uint64_t key;
	uint64_t peer;
	uint64_t number;
	char *service;
	int64_t until_us; /* cancelled after it */
	struct direct_job *job;
};

/* Results sent to a peer that has not confirmed them yet. */
struct sent_result {
	uint64_t serial;
	uint64_t peer;
	GVariant *body;
	int64_t sent_us;
	uint32_t resends;
};

struct direct_relay {
	struct direct *direct;
	struct direct_peers *peers;
	struct direct_relay_events events;
	GHashTable *outgoing;	      /* number -> struct outgoing_work */
	GHashTable *incoming;	      /* key -> struct incoming_work */
	GHashTable *unacked_results;  /* serial -> struct sent_result */
	GHashTable *received_serials; /* hash of peer and serial -> time */
	uint64_t next_serial;
	guint timer;
};

static int64_t time_now_us(const struct direct_relay *relay)
{
	return lp_now_us(relay->direct->options.clock);
}

static void free_outgoing(gpointer data)
{
	struct outgoing_work *outgoing = data;

	g_variant_unref(outgoing->body);
	g_free(outgoing);
}

static void free_incoming(gpointer data)
{
	struct incoming_work *incoming = data;

	g_free(incoming->service);
	g_free(incoming);
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

/* ---- timer: resends, dispatchers that are gone ---- */

static void resend_work(struct direct_relay *relay,
			struct outgoing_work *outgoing)
{
	outgoing->sent_us = time_now_us(relay);
	direct_peers_send(relay->peers, outgoing->peer, KIND_SUBMIT,
			  outgoing->body);
}

/* Whether the dispatcher has been silent, or has not accepted the work, for too
 * long. */
static bool is_dispatcher_gone(struct direct_relay *relay,
			       const struct outgoing_work *outgoing)
{
	int64_t received_us =
		direct_peers_last_received_us(relay->peers, outgoing->peer);

	if (!outgoing->is_accepted)
		received_us = 0;
	return time_now_us(relay) - MAX(received_us, outgoing->first_sent_us) >
	       GONE_AFTER_US;
}

/* Resends work or probes its dispatcher; returns whether that is gone. */
static bool check_outgoing(struct direct_relay *relay,
			   struct outgoing_work *outgoing)
{
	int64_t now_us = time_now_us(relay);
	int64_t received_us =
		direct_peers_last_received_us(relay->peers, outgoing->peer);

	if (is_dispatcher_gone(relay, outgoing))
		return true;
	if (now_us - outgoing->sent_us >=
		    (outgoing->is_accepted ? RECONFIRM_US : RESEND_US) &&
	    (!outgoing->is_accepted || now_us < outgoing->expires_us))
		resend_work(relay, outgoing);
	else if (outgoing->is_accepted &&
		 now_us - MAX(received_us, outgoing->sent_us) >= PROBE_AFTER_US)
		direct_peers_probe(relay->peers, outgoing->peer);
	return false;
}

static void report_lost(struct direct_relay *relay, uint64_t number)
{
	g_hash_table_remove(relay->outgoing, &number);
	relay->events.on_lost(relay->events.userdata, number);
}

static void check_all_outgoing(struct direct_relay *relay)
{
	g_autoptr(GList) all = g_hash_table_get_values(relay->outgoing);
	g_autoptr(GArray) gone = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (GList *at = all; at; at = at->next) {
		struct outgoing_work *outgoing = at->data;

		if (!check_outgoing(relay, outgoing))
			continue;
		direct_peers_suspect(relay->peers, outgoing->peer);
		g_array_append_val(gone, outgoing->number);
	}
	for (guint i = 0; i < gone->len; i++)
		report_lost(relay, g_array_index(gone, uint64_t, i));
}

static void resend_results(struct direct_relay *relay)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, relay->unacked_results);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sent_result *sent = value;

		if (time_now_us(relay) - sent->sent_us < RESEND_US)
			continue;
		if (sent->resends++ >= RESULTS_RESENDS_MAX) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		sent->sent_us = time_now_us(relay);
		direct_peers_send(relay->peers, sent->peer, KIND_RESULTS,
				  sent->body);
	}
}

static void expire_serials(struct direct_relay *relay)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, relay->received_serials);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (time_now_us(relay) - *(int64_t *)value >
		    SERIAL_RETENTION_US)
			g_hash_table_iter_remove(&iter);
}

/* Cancels work whose result is useless by now: its peer has terminated, or the
 * cancel datagram was lost. */
static void cancel_expired(struct direct_relay *relay)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, relay->incoming);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct incoming_work *incoming = value;

		if (incoming->until_us > time_now_us(relay))
			continue;
		direct_calls_cancel(incoming->job);
		g_hash_table_iter_remove(&iter);
	}
}

static gboolean on_timer(gpointer userdata)
{
	struct direct_relay *relay = userdata;

	cancel_expired(relay);
	check_all_outgoing(relay);
	resend_results(relay);
	expire_serials(relay);
	if (g_hash_table_size(relay->outgoing) ||
	    g_hash_table_size(relay->incoming) ||
	    g_hash_table_size(relay->unacked_results) ||
	    g_hash_table_size(relay->received_serials))
		return G_SOURCE_CONTINUE;
	relay->timer = 0;
	return G_SOURCE_REMOVE;
}

static void start_timer(struct direct_relay *relay)
{
	if (!relay->timer)
		relay->timer = lp_timer_add(TIMER_MS, on_timer, relay);
}

/* ---- work submitted to peers ---- */

static GVariant *new_strings(const GPtrArray *list)
{
	return g_variant_new_strv((const char *const *)list->pdata,
				  (gssize)list->len);
}

static GVariant *write_work(struct direct_relay *relay, uint64_t number,
			    const struct direct_work *work)
{
	const struct piece *piece = &work->piece;
	int64_t now_us = time_now_us(relay);
	uint32_t flags = (piece->has_inputs ? FLAG_HAS_INPUTS : 0) |
			 (piece->holds_memory ? FLAG_HOLDS_MEMORY : 0) |
			 (piece->group_started ? FLAG_SPLIT : 0) |
			 (piece->exclusive ? FLAG_ALONE : 0) |
			 (piece->resumes ? FLAG_RESUMES : 0);

	return g_variant_ref_sink(g_variant_new(
		"(tsssu@au@asxxixusxs)", (guint64)number, work->service,
		work->id, work->key ? work->key : "", piece->stage,
		g_variant_new_fixed_array(G_VARIANT_TYPE_UINT32,
					  work->indices->data,
					  work->indices->len, sizeof(uint32_t)),
		new_strings(work->inputs), (gint64)(piece->due_us - now_us),
		(gint64)(piece->expires_us - now_us), piece->priority,
		(gint64)piece->result_bytes, flags,
		piece->preferred_domain ? piece->preferred_domain : "",
		(gint64)piece->preferred_bytes,
		allowed_regions_encode(piece->allowed_regions)));
}

bool direct_relay_submit(struct direct_relay *relay, uint64_t peer,
			 uint64_t number, const struct direct_work *work)
{
	GVariant *body = write_work(relay, number, work);
	struct outgoing_work *outgoing;

	if (!direct_peers_send(relay->peers, peer, KIND_SUBMIT, body)) {
		g_variant_unref(body);
		return false;
	}
	outgoing = g_new0(struct outgoing_work, 1);
	outgoing->number = number;
	outgoing->peer = peer;
	outgoing->body = body;
	outgoing->first_sent_us = time_now_us(relay);
	outgoing->sent_us = outgoing->first_sent_us;
	outgoing->expires_us = work->piece.expires_us;
	g_hash_table_insert(relay->outgoing, &outgoing->number, outgoing);
	start_timer(relay);
	return true;
}

void direct_relay_cancel(struct direct_relay *relay, uint64_t number,
			 bool notify)
{
	struct outgoing_work *outgoing =
		g_hash_table_lookup(relay->outgoing, &number);

	if (!outgoing)
		return;
	if (notify)
		send_number(relay, outgoing->peer, KIND_CANCEL, number);
	g_hash_table_remove(relay->outgoing, &number);
}

bool direct_relay_has_work(const struct direct_relay *relay, uint64_t number)
{
	return g_hash_table_contains(relay->outgoing, &number);
}

static void report_queue_waits(struct direct_relay *relay,
			       const struct outgoing_work *outgoing,
			       GVariant *list)
{
	int64_t by_rank[DIRECT_PRIORITY_RANKS];
	gsize count;
	const int64_t *waits_us =
		g_variant_get_fixed_array(list, &count, sizeof(int64_t));

	/* Entries of an older release report fewer ranks, of which the last
	 * covers the rest, and do not append the wait of late work. */
	if (!count || count > WAITS_COUNT)
		return;
	for (gsize i = 0; i < DIRECT_PRIORITY_RANKS; i++)
		by_rank[i] = waits_us[MIN(i, count - 1)];
	relay->events.on_queue_waits(relay->events.userdata, outgoing->number,
				     outgoing->peer, by_rank,
				     count == WAITS_COUNT
					     ? waits_us[DIRECT_PRIORITY_RANKS]
					     : ADMISSION_UNKNOWN_US);
}

static void on_accepted(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_relay *relay = userdata;
	g_autoptr(GVariant) waits = NULL;
	struct outgoing_work *outgoing;
	guint64 number;

	g_variant_get(body, "(t@ax)", &number, &waits);
	outgoing = g_hash_table_lookup(relay->outgoing, &number);
	if (!outgoing || outgoing->peer != peer)
		return;
	outgoing->is_accepted = true;
	report_queue_waits(relay, outgoing, waits);
}

/* False: the same results were received before. */
static bool record_serial(struct direct_relay *relay, uint64_t peer,
			  uint64_t serial)
{
	uint64_t key = lp_hash_pair(peer, serial);
	int64_t now_us = time_now_us(relay);

	if (g_hash_table_contains(relay->received_serials, &key))
		return false;
	g_hash_table_insert(relay->received_serials,
			    g_memdup2(&key, sizeof(key)),
			    g_memdup2(&now_us, sizeof(now_us)));
	start_timer(relay);
	return true;
}

/* Frees results of work that was cancelled or resubmitted. */
static void free_results(struct direct_relay *relay,
			 struct direct_result *results, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (results[i].outcome == DIRECT_ITEM_COMPLETED)
			direct_results_free(
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
	guint64 producer;
	const char *handle;

	g_variant_iter_init(&iter, list);
	while (g_variant_iter_next(&iter, "(uut&s)", &index, &kind, &producer,
				   &handle)) {
		struct direct_result result = {
			.index = index,
			.outcome = MIN(kind, DIRECT_ITEM_LOST),
			.producer = producer,
		};

		if (result.outcome == DIRECT_ITEM_COMPLETED)
			result.handle = g_strdup(handle);
		g_array_append_val(results, result);
	}
	return results;
}

static void on_results_received(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_relay *relay = userdata;
	g_autoptr(GVariant) list = NULL;
	g_autoptr(GVariant) waits = NULL;
	g_autoptr(GArray) results = NULL;
	struct outgoing_work *outgoing;
	guint64 number;
	guint64 serial;

	g_variant_get(body, "(tt@a(uuts)@ax)", &number, &serial, &list, &waits);
	send_number(relay, peer, KIND_RESULTS_ACK, serial);
	if (!record_serial(relay, peer, serial))
		return;
	results = read_results(list);
	outgoing = g_hash_table_lookup(relay->outgoing, &number);
	if (outgoing && outgoing->peer == peer) {
		outgoing->is_accepted = true;
		report_queue_waits(relay, outgoing, waits);
		relay->events.on_results(relay->events.userdata, number,
					 (struct direct_result *)results->data,
					 results->len);
	} else {
		free_results(relay, (struct direct_result *)results->data,
			     results->len);
	}
	for (guint i = 0; i < results->len; i++)
		g_free(g_array_index(results, struct direct_result, i).handle);
}

void direct_relay_free_results(struct direct_relay *relay, uint64_t peer,
			       uint64_t producer, const GPtrArray *handles,
			       int64_t bytes)
{
	g_autoptr(GVariant) body = g_variant_ref_sink(
		g_variant_new("(tx@as)", (guint64)producer, (gint64)bytes,
			      new_strings(handles)));

	direct_peers_send(relay->peers, peer, KIND_FREE, body);
}

/* ---- work of peers ---- */

static GVariant *write_waits(struct direct_relay *relay, const char *service)
{
	int64_t waits_us[WAITS_COUNT];

	direct_calls_estimate_each_us(relay->direct->calls, service, waits_us,
				      DIRECT_PRIORITY_RANKS);
	waits_us[DIRECT_PRIORITY_RANKS] =
		direct_calls_late_wait_us(relay->direct->calls, service);
	return g_variant_new_fixed_array(G_VARIANT_TYPE_INT64, waits_us,
					 WAITS_COUNT, sizeof(int64_t));
}

static void send_results(struct direct_relay *relay,
			 const struct incoming_work *incoming,
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
	sent->peer = incoming->peer;
	sent->sent_us = time_now_us(relay);
	sent->body = g_variant_ref_sink(
		g_variant_new("(tta(uuts)@ax)", (guint64)incoming->number,
			      (guint64)sent->serial, &list,
			      write_waits(relay, incoming->service)));
	g_hash_table_insert(relay->unacked_results, &sent->serial, sent);
	direct_peers_send(relay->peers, sent->peer, KIND_RESULTS, sent->body);
	start_timer(relay);
}

static void on_job_results(void *userdata, struct direct_result *results,
			   uint32_t count, uint32_t left)
{
	struct incoming_work *incoming = userdata;
	struct direct_relay *relay = incoming->relay;

	for (uint32_t i = 0; i < count; i += RESULTS_PER_DATAGRAM)
		send_results(relay, incoming, results + i,
			     MIN(count - i, RESULTS_PER_DATAGRAM));
	if (!left)
		g_hash_table_remove(relay->incoming, &incoming->key);
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

static void read_work(struct direct_relay *relay, GVariant *body,
		      struct direct_work *work)
{
	struct piece *piece = &work->piece;
	g_autoptr(GVariant) indices = NULL;
	g_autoptr(GVariant) inputs = NULL;
	int64_t now_us = time_now_us(relay);
	const char *preferred;
	const char *regions;
	guint64 number;
	gint64 due_us;
	gint64 until_us;
	guint32 flags;
	gsize count;
	const void *cells;

	g_variant_get(body, "(tsssu@au@asxxixu&sx&s)", &number, &work->service,
		      &work->id, &work->key, &piece->stage, &indices, &inputs,
		      &due_us, &until_us, &piece->priority,
		      &piece->result_bytes, &flags, &preferred,
		      &piece->preferred_bytes, &regions);
	cells = g_variant_get_fixed_array(indices, &count, sizeof(uint32_t));
	work->indices = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_array_append_vals(work->indices, cells, (guint)count);
	work->inputs = read_strings(inputs);
	if (!*work->key)
		g_clear_pointer(&work->key, g_free);
	piece->due_us =
		now_us + CLAMP(due_us, -DUE_TIME_MAX_US, DUE_TIME_MAX_US);
	piece->expires_us = now_us + CLAMP(until_us, 0, DUE_TIME_MAX_US);
	piece->has_inputs = flags & FLAG_HAS_INPUTS;
	piece->holds_memory = flags & FLAG_HOLDS_MEMORY;
	piece->group_started = flags & FLAG_SPLIT;
	piece->exclusive = flags & FLAG_ALONE;
	piece->resumes = flags & FLAG_RESUMES;
	/* Interned strings are never freed, but there are few domains. */
	piece->preferred_domain =
		*preferred ? g_intern_string(preferred) : NULL;
	piece->allowed_regions = allowed_regions_decode(regions);
}

static void send_accepted(struct direct_relay *relay,
			  const struct incoming_work *incoming)
{
	g_autoptr(GVariant) reply = g_variant_ref_sink(
		g_variant_new("(t@ax)", (guint64)incoming->number,
			      write_waits(relay, incoming->service)));

	direct_peers_send(relay->peers, incoming->peer, KIND_ACCEPTED, reply);
}

static void on_submit(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_relay *relay = userdata;
	struct direct_work work = { 0 };
	struct incoming_work *incoming;
	guint64 number;
	uint64_t key;

	g_variant_get_child(body, 0, "t", &number);
	key = lp_hash_pair(peer, number);
	incoming = g_hash_table_lookup(relay->incoming, &key);
	if (incoming) {
		send_accepted(relay, incoming);
		return;
	}
	/* Without a configuration yet. The peer means an earlier start of this
	 * entry, and will notice the restart by our hello. */
	if (!direct_ready(relay->direct))
		return;
	read_work(relay, body, &work);
	if (!work.indices->len) {
		direct_work_clear(&work);
		return;
	}
	incoming = g_new0(struct incoming_work, 1);
	incoming->relay = relay;
	incoming->key = key;
	incoming->peer = peer;
	incoming->number = number;
	incoming->service = g_strdup(work.service);
	incoming->until_us = work.piece.expires_us + EXPIRY_GRACE_US;
	g_hash_table_insert(relay->incoming, &incoming->key, incoming);
	incoming->job = direct_calls_add(relay->direct->calls, &work,
					 on_job_results, incoming);
	start_timer(relay);
	send_accepted(relay, incoming);
}

static void on_cancel(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_relay *relay = userdata;
	struct incoming_work *incoming;
	guint64 number;
	uint64_t key;

	g_variant_get(body, "(t)", &number);
	key = lp_hash_pair(peer, number);
	incoming = g_hash_table_lookup(relay->incoming, &key);
	if (!incoming)
		return;
	direct_calls_cancel(incoming->job);
	g_hash_table_remove(relay->incoming, &key);
}

static void on_results_ack(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_relay *relay = userdata;
	guint64 serial;

	g_variant_get(body, "(t)", &serial);
	g_hash_table_remove(relay->unacked_results, &serial);
}

static void on_free(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_relay *relay = userdata;
	g_autoptr(GVariant) list = NULL;
	g_autoptr(GPtrArray) handles = NULL;
	guint64 producer;
	gint64 bytes;

	g_variant_get(body, "(tx@as)", &producer, &bytes, &list);
	handles = read_strings(list);
	direct_results_free_for_peer(relay->direct->results, producer, handles,
				     MAX(bytes, 0));
}

/* A restarted peer has lost the work that was submitted to it. */
static void on_peer_restarted(void *userdata, uint64_t peer)
{
	struct direct_relay *relay = userdata;
	g_autoptr(GList) all = g_hash_table_get_values(relay->outgoing);
	g_autoptr(GArray) gone = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (GList *at = all; at; at = at->next) {
		struct outgoing_work *outgoing = at->data;

		if (outgoing->peer == peer)
			g_array_append_val(gone, outgoing->number);
	}
	for (guint i = 0; i < gone->len; i++)
		report_lost(relay, g_array_index(gone, uint64_t, i));
}

struct direct_relay *
direct_relay_create(struct direct *direct, struct direct_peers *peers,
		    const struct direct_relay_events *events)
{
	struct direct_relay *relay = g_new0(struct direct_relay, 1);

	relay->direct = direct;
	relay->peers = peers;
	relay->events = *events;
	relay->outgoing = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, free_outgoing);
	relay->incoming = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, free_incoming);
	relay->unacked_results = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, free_sent_result);
	relay->received_serials = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	/* Random, to differ from those of an earlier start. */
	relay->next_serial = lp_random_u64();
	direct_peers_listen(peers, KIND_SUBMIT, SUBMIT_TYPE, on_submit, relay);
	direct_peers_listen(peers, KIND_ACCEPTED, ACCEPTED_TYPE, on_accepted,
			    relay);
	direct_peers_listen(peers, KIND_CANCEL, CANCEL_TYPE, on_cancel, relay);
	direct_peers_listen(peers, KIND_RESULTS, RESULTS_TYPE,
			    on_results_received, relay);
	direct_peers_listen(peers, KIND_RESULTS_ACK, RESULTS_ACK_TYPE,
			    on_results_ack, relay);
	direct_peers_listen(peers, KIND_FREE, FREE_TYPE, on_free, relay);
	direct_peers_on_restart(peers, on_peer_restarted, relay);
	return relay;
}

static void cancel_incoming(struct direct_relay *relay)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, relay->incoming);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		direct_calls_cancel(((struct incoming_work *)value)->job);
}

void direct_relay_destroy(struct direct_relay *relay)
{
	if (!relay)
		return;
	cancel_incoming(relay);
	if (relay->timer)
		g_source_remove(relay->timer);
	g_hash_table_unref(relay->outgoing);
	g_hash_table_unref(relay->incoming);
	g_hash_table_unref(relay->unacked_results);
	g_hash_table_unref(relay->received_serials);
	g_free(relay);
}
