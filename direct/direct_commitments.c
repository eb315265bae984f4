#include "direct/direct_commitments.h"

#include "base/lp_timer.h"

#include <string.h>

/* Interval between datagrams to a dispatcher: requests reach their second stage
 * some 300 ms after their admission. */
#define INTERVAL_US (100 * LP_US_PER_MS)
/* In a large fleet, a dispatcher receives one datagram each 4 ms. */
#define INTERVAL_PER_MEMBER_US (4 * LP_US_PER_MS)
/* Numbers of an entry that is not heard of count for this long, or for three
 * intervals of a large fleet ... */
#define EXPIRY_US (1 * LP_US_PER_S)
#define EXPIRY_INTERVALS 3
/* ... and are repeated, if they do not change, at this part of it: one datagram
 * may be lost. */
#define REPEATS_PER_EXPIRY 3
/* Bounds what a peer may state: pieces of a service, and services. */
#define PIECES_MAX 1000000
#define SERVICES_MAX 64
#define SHARDS_MAX 64

struct counts {
	uint32_t by_rank[ADMISSION_RANKS];
};

/* One stage of a request of this entry. */
struct committed_stage {
	struct service *service;
	uint32_t stage;
	int32_t rank;
	uint32_t pieces; /* not submitted yet */
};

struct committed_request {
	uint64_t hash;
	GArray *stages; /* of struct committed_stage */
};

struct service {
	char *name;
	uint32_t shards;
	struct counts own[SHARDS_MAX]; /* of this entry's requests */
	struct counts own_here; /* of these, for this entry's own queue */
	struct counts sum;	/* own_here, and what peers state */
};

/* What was sent to a dispatcher. */
struct sent {
	GVariant *list;
	int64_t sent_us;
};

/* What a peer has stated. */
struct stated {
	uint64_t sequence;
	int64_t received_us;
	GHashTable *services; /* name -> struct counts */
};

struct direct_commitments {
	struct direct_commitments_options options;
	GHashTable *requests; /* owner -> struct committed_request */
	GHashTable *services; /* name -> struct service */
	GHashTable *sent;     /* peer -> struct sent */
	GHashTable *peers;    /* peer -> struct stated */
	uint64_t last_sequence;
	guint timer;
};

static int64_t time_now_us(const struct direct_commitments *commitments)
{
	return lp_now_us(commitments->options.clock);
}

static int64_t interval_us(const struct direct_commitments *commitments)
{
	uint32_t members =
		commitments->options.members(commitments->options.userdata);

	return MAX(INTERVAL_US, members * INTERVAL_PER_MEMBER_US);
}

static int64_t expiry_us(const struct direct_commitments *commitments)
{
	return MAX(EXPIRY_US, EXPIRY_INTERVALS * interval_us(commitments));
}

static gboolean on_timer(gpointer userdata)
{
	struct direct_commitments *commitments = userdata;

	if (direct_commitments_run(commitments))
		return G_SOURCE_CONTINUE;
	commitments->timer = 0;
	return G_SOURCE_REMOVE;
}

static void start_timer(struct direct_commitments *commitments)
{
	if (!commitments->timer)
		commitments->timer =
			lp_timer_add((guint)(INTERVAL_US / LP_US_PER_MS),
				     on_timer, commitments);
}

/* ---- services and sums ---- */

static void free_service(gpointer data)
{
	struct service *service = data;

	g_free(service->name);
	g_free(service);
}

static uint32_t shard_count(const struct direct_commitments *commitments,
			    const char *name)
{
	return CLAMP(commitments->options.shard_count(
			     commitments->options.userdata, name),
		     1, SHARDS_MAX);
}

static struct service *
get_or_create_service(struct direct_commitments *commitments, const char *name)
{
	struct service *service =
		g_hash_table_lookup(commitments->services, name);

	if (service)
		return service;
	service = g_new0(struct service, 1);
	service->name = g_strdup(name);
	service->shards = shard_count(commitments, name);
	g_hash_table_insert(commitments->services, service->name, service);
	return service;
}

/* Number of ranks up to the last one with pieces. */
static uint32_t used_ranks(const struct counts *counts)
{
	uint32_t ranks = ADMISSION_RANKS;

	while (ranks && !counts->by_rank[ranks - 1])
		ranks--;
	return ranks;
}

static bool is_empty(const struct counts *counts)
{
	for (uint32_t i = 0; i < ADMISSION_RANKS; i++)
		if (counts->by_rank[i])
			return false;
	return true;
}

static void add_counts(struct counts *to, const struct counts *counts)
{
	for (uint32_t i = 0; i < ADMISSION_RANKS; i++)
		to->by_rank[i] += counts->by_rank[i];
}

static void subtract_counts(struct counts *from, const struct counts *counts)
{
	for (uint32_t i = 0; i < ADMISSION_RANKS; i++)
		from->by_rank[i] -= counts->by_rank[i];
}

static void report_sum(struct direct_commitments *commitments,
		       const struct service *service)
{
	commitments->options.on_changed(commitments->options.userdata,
					service->name, service->sum.by_rank);
}

static void replace_in_sum(struct direct_commitments *commitments,
			   struct service *service, const struct counts *before,
			   const struct counts *after)
{
	if (!memcmp(before, after, sizeof(*before)))
		return;
	subtract_counts(&service->sum, before);
	add_counts(&service->sum, after);
	report_sum(commitments, service);
}

static uint64_t dispatcher_of(const struct direct_commitments *commitments,
			      const struct service *service, uint32_t shard)
{
	return commitments->options.dispatcher(commitments->options.userdata,
					       service->name, shard);
}

/* Adds up this entry's numbers of the shards of one dispatcher. */
static struct counts own_counts(const struct direct_commitments *commitments,
				const struct service *service,
				uint64_t dispatcher)
{
	struct counts counts = { { 0 } };

	for (uint32_t i = 0; i < service->shards; i++)
		if (!is_empty(&service->own[i]) &&
		    dispatcher_of(commitments, service, i) == dispatcher)
			add_counts(&counts, &service->own[i]);
	return counts;
}

/* Our own queue is told of our own requests without a datagram. */
static void update_own_queue(struct direct_commitments *commitments,
			     struct service *service)
{
	struct counts before = service->own_here;

	service->own_here = own_counts(commitments, service, 0);
	replace_in_sum(commitments, service, &before, &service->own_here);
}

/* ---- requests of this entry ---- */

static void free_request(gpointer data)
{
	struct committed_request *request = data;

	g_array_unref(request->stages);
	g_free(request);
}

static uint32_t *own_count(const struct committed_request *request,
			   const struct committed_stage *stage)
{
	struct service *service = stage->service;

	return &service->own[request->hash % service->shards]
			.by_rank[stage->rank];
}

void direct_commitments_add(struct direct_commitments *commitments,
			    const void *owner, uint64_t hash,
			    const char *service, uint32_t stage, int32_t rank,
			    uint32_t pieces)
{
	struct committed_request *request =
		g_hash_table_lookup(commitments->requests, owner);
	struct committed_stage committed = {
		.service = get_or_create_service(commitments, service),
		.stage = stage,
		.rank = CLAMP(rank, 0, ADMISSION_RANKS - 1),
		.pieces = pieces,
	};

	if (!pieces)
		return;
	if (!request) {
		request = g_new0(struct committed_request, 1);
		request->hash = hash;
		request->stages = g_array_new(FALSE, FALSE,
					      sizeof(struct committed_stage));
		g_hash_table_insert(commitments->requests, (gpointer)owner,
				    request);
	}
	g_array_append_val(request->stages, committed);
	*own_count(request, &committed) += pieces;
	update_own_queue(commitments, committed.service);
	start_timer(commitments);
}

static void take_pieces(struct direct_commitments *commitments,
			const struct committed_request *request,
			struct committed_stage *stage, uint32_t pieces)
{
	uint32_t taken = MIN(pieces, stage->pieces);

	if (!taken)
		return;
	stage->pieces -= taken;
	*own_count(request, stage) -= taken;
	update_own_queue(commitments, stage->service);
}

void direct_commitments_submitted(struct direct_commitments *commitments,
				  const void *owner, uint32_t stage,
				  uint32_t pieces)
{
	struct committed_request *request =
		g_hash_table_lookup(commitments->requests, owner);

	for (guint i = 0; request && i < request->stages->len; i++) {
		struct committed_stage *committed = &g_array_index(
			request->stages, struct committed_stage, i);

		if (committed->stage == stage)
			take_pieces(commitments, request, committed, pieces);
	}
}

void direct_commitments_end(struct direct_commitments *commitments,
			    const void *owner)
{
	struct committed_request *request =
		g_hash_table_lookup(commitments->requests, owner);

	if (!request)
		return;
	for (guint i = 0; i < request->stages->len; i++)
		take_pieces(commitments, request,
			    &g_array_index(request->stages,
					   struct committed_stage, i),
			    UINT32_MAX);
	g_hash_table_remove(commitments->requests, owner);
}

/* Assigns the pieces of a service to its shards again. */
static void recount(struct direct_commitments *commitments,
		    struct service *service)
{
	GHashTableIter iter;
	gpointer value;

	memset(service->own, 0, sizeof(service->own));
	g_hash_table_iter_init(&iter, commitments->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct committed_request *request = value;

		for (guint i = 0; i < request->stages->len; i++) {
			const struct committed_stage *stage = &g_array_index(
				request->stages, struct committed_stage, i);

			if (stage->service == service)
				*own_count(request, stage) += stage->pieces;
		}
	}
}

void direct_commitments_reassign(struct direct_commitments *commitments)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, commitments->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;
		uint32_t shards = shard_count(commitments, service->name);

		if (service->shards != shards) {
			service->shards = shards;
			recount(commitments, service);
		}
		update_own_queue(commitments, service);
	}
}

/* ---- datagrams to dispatchers ---- */

static void free_sent(gpointer data)
{
	struct sent *sent = data;

	g_variant_unref(sent->list);
	g_free(sent);
}

static GVariant *write_list(struct direct_commitments *commitments,
			    uint64_t dispatcher)
{
	GVariantBuilder list;
	GHashTableIter iter;
	gpointer value;

	g_variant_builder_init(&list, G_VARIANT_TYPE("a(sau)"));
	g_hash_table_iter_init(&iter, commitments->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct service *service = value;
		struct counts counts =
			own_counts(commitments, service, dispatcher);

		if (!is_empty(&counts))
			g_variant_builder_add(
				&list, "(s@au)", service->name,
				g_variant_new_fixed_array(
					G_VARIANT_TYPE_UINT32, counts.by_rank,
					used_ranks(&counts), sizeof(uint32_t)));
	}
	return g_variant_ref_sink(g_variant_builder_end(&list));
}

/* Adds the dispatchers of shards with pieces to those that were sent to. */
static void find_dispatchers(struct direct_commitments *commitments)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, commitments->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct service *service = value;

		for (uint32_t i = 0; i < service->shards; i++) {
			uint64_t peer;
			struct sent *sent;

			if (is_empty(&service->own[i]))
				continue;
			peer = dispatcher_of(commitments, service, i);
			if (!peer ||
			    g_hash_table_contains(commitments->sent, &peer))
				continue;
			sent = g_new0(struct sent, 1);
			sent->list = g_variant_ref_sink(g_variant_new_array(
				G_VARIANT_TYPE("(sau)"), NULL, 0));
			g_hash_table_insert(commitments->sent,
					    g_memdup2(&peer, sizeof(peer)),
					    sent);
		}
	}
}

static void send_list(struct direct_commitments *commitments, uint64_t peer,
		      GVariant *list)
{
	int64_t now_us = time_now_us(commitments);
	g_autoptr(GVariant) body = NULL;

	/* Increases also across restarts of this entry, as the clock does. */
	commitments->last_sequence =
		MAX(commitments->last_sequence + 1, (uint64_t)now_us);
	body = g_variant_ref_sink(g_variant_new(
		"(t@a(sau))", (guint64)commitments->last_sequence, list));
	commitments->options.send(commitments->options.userdata, peer, body);
}

/* Whether a dispatcher is to be sent this list now. */
static bool is_due(const struct direct_commitments *commitments,
		   const struct sent *sent, GVariant *list)
{
	int64_t elapsed_us = time_now_us(commitments) - sent->sent_us;

	if (sent->sent_us && elapsed_us < interval_us(commitments))
		return false;
	if (!g_variant_equal(sent->list, list))
		return true;
	return g_variant_n_children(list) &&
	       elapsed_us >= expiry_us(commitments) / REPEATS_PER_EXPIRY;
}

static void send_due(struct direct_commitments *commitments)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	find_dispatchers(commitments);
	g_hash_table_iter_init(&iter, commitments->sent);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct sent *sent = value;
		uint64_t peer = *(const uint64_t *)key;
		g_autoptr(GVariant) list = write_list(commitments, peer);

		if (is_due(commitments, sent, list)) {
			send_list(commitments, peer, list);
			g_variant_unref(sent->list);
			sent->list = g_variant_ref(list);
			sent->sent_us = time_now_us(commitments);
		}
		/* Kept until the interval is over, which limits the rate. */
		if (!g_variant_n_children(sent->list) &&
		    time_now_us(commitments) - sent->sent_us >=
			    interval_us(commitments))
			g_hash_table_iter_remove(&iter);
	}
}

/* ---- datagrams of peers ---- */

static void free_stated(gpointer data)
{
	struct stated *stated = data;

	g_hash_table_unref(stated->services);
	g_free(stated);
}

/* Sets the number of one service of a peer; `counts` NULL: none. */
static void set_stated(struct direct_commitments *commitments,
		       struct stated *stated, const char *name,
		       const struct counts *counts)
{
	static const struct counts none;
	const struct counts *before =
		g_hash_table_lookup(stated->services, name);

	replace_in_sum(commitments, get_or_create_service(commitments, name),
		       before ? before : &none, counts ? counts : &none);
	if (counts)
		g_hash_table_insert(stated->services, g_strdup(name),
				    g_memdup2(counts, sizeof(*counts)));
	else
		g_hash_table_remove(stated->services, name);
}

/* Drops what a peer has stated of services that are not in `kept`. */
static void drop_others(struct direct_commitments *commitments,
			struct stated *stated, GHashTable *kept)
{
	g_autoptr(GList) names = g_hash_table_get_keys(stated->services);

	for (GList *at = names; at; at = at->next)
		if (!kept || !g_hash_table_contains(kept, at->data))
			set_stated(commitments, stated, at->data, NULL);
}

void direct_commitments_peer_restarted(struct direct_commitments *commitments,
				       uint64_t peer)
{
	struct stated *stated = g_hash_table_lookup(commitments->peers, &peer);

	if (!stated)
		return;
	drop_others(commitments, stated, NULL);
	g_hash_table_remove(commitments->peers, &peer);
}

static void drop_expired(struct direct_commitments *commitments)
{
	int64_t expiry = expiry_us(commitments);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, commitments->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct stated *stated = value;

		if (time_now_us(commitments) - stated->received_us <= expiry)
			continue;
		drop_others(commitments, stated, NULL);
		g_hash_table_iter_remove(&iter);
	}
}

/* Ranks beyond those known here count as the last one. */
static struct counts read_counts(GVariant *list)
{
	struct counts counts = { { 0 } };
	gsize count;
	const uint32_t *cells =
		g_variant_get_fixed_array(list, &count, sizeof(uint32_t));

	for (gsize i = 0; i < count; i++) {
		uint32_t *to =
			&counts.by_rank[MIN(i, (gsize)ADMISSION_RANKS - 1)];

		*to = MIN(*to + MIN(cells[i], PIECES_MAX), PIECES_MAX);
	}
	return counts;
}

/* The peer's statement, to be replaced; NULL: a newer one is known. */
static struct stated *begin_statement(struct direct_commitments *commitments,
				      uint64_t peer, uint64_t sequence)
{
	struct stated *stated = g_hash_table_lookup(commitments->peers, &peer);

	if (stated && sequence <= stated->sequence)
		return NULL;
	if (!stated) {
		stated = g_new0(struct stated, 1);
		stated->services = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(commitments->peers,
				    g_memdup2(&peer, sizeof(peer)), stated);
	}
	stated->sequence = sequence;
	stated->received_us = time_now_us(commitments);
	return stated;
}

void direct_commitments_receive(struct direct_commitments *commitments,
				uint64_t peer, GVariant *body)
{
	g_autoptr(GVariant) list = NULL;
	g_autoptr(GHashTable) kept = NULL;
	struct stated *stated;
	guint64 sequence;
	gsize count;

	g_variant_get(body, "(t@a(sau))", &sequence, &list);
	stated = begin_statement(commitments, peer, sequence);
	if (!stated)
		return;
	kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	count = MIN(g_variant_n_children(list), SERVICES_MAX);
	for (gsize i = 0; i < count; i++) {
		g_autoptr(GVariant) cells = NULL;
		struct counts counts;
		const char *name;

		g_variant_get_child(list, i, "(&s@au)", &name, &cells);
		if (!commitments->options.is_dispatched(
			    commitments->options.userdata, name))
			continue;
		counts = read_counts(cells);
		set_stated(commitments, stated, name, &counts);
		g_hash_table_add(kept, g_strdup(name));
	}
	drop_others(commitments, stated, kept);
	start_timer(commitments);
}

/* ---- start and end ---- */

bool direct_commitments_run(struct direct_commitments *commitments)
{
	drop_expired(commitments);
	send_due(commitments);
	return g_hash_table_size(commitments->requests) ||
	       g_hash_table_size(commitments->sent) ||
	       g_hash_table_size(commitments->peers);
}

struct direct_commitments *
direct_commitments_create(const struct direct_commitments_options *options)
{
	struct direct_commitments *commitments =
		g_new0(struct direct_commitments, 1);

	commitments->options = *options;
	commitments->requests =
		g_hash_table_new_full(NULL, NULL, NULL, free_request);
	commitments->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						      NULL, free_service);
	commitments->sent = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, free_sent);
	commitments->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, free_stated);
	return commitments;
}

void direct_commitments_destroy(struct direct_commitments *commitments)
{
	if (!commitments)
		return;
	if (commitments->timer)
		g_source_remove(commitments->timer);
	g_hash_table_unref(commitments->requests);
	g_hash_table_unref(commitments->services);
	g_hash_table_unref(commitments->sent);
	g_hash_table_unref(commitments->peers);
	g_free(commitments);
}
