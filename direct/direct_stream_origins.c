#include "direct/direct_stream_origins.h"

#include "base/lp_id.h"
#include "base/lp_timer.h"
#include "direct/direct_private.h"
#include "policy/version_history.h"

#define KIND_RECORDS 'O'
#define KIND_QUERY 'F'
#define KIND_ANSWER 'I'
#define KIND_HISTORY 'M'

#define RECORDS_TYPE "a(ttu)" /* attempt, version (0: ambiguous), ms left */
#define QUERY_TYPE "(tt)"     /* number, attempt */
#define ANSWER_TYPE "(tyt)"   /* number, status, version */
/* us since the history begins (G_MAXINT64: with the fleet), us since the last
 * list; service, version, us since it was listed */
#define HISTORY_TYPE "(xxa(ttx))"

/* About 5 KB. */
#define RECORDS_PER_DATAGRAM 200
/* A few megabytes; ten times what an entry of a large fleet keeps. */
#define RECORDS_MAX 65536
/* Queries are sent again to peers that have not answered, as datagrams may be
 * lost, and then given up. */
#define QUERY_RESEND_MS 60
#define QUERY_SENDS 3
/* Time by which the list of upstreams has been read again: the longest interval
 * between two reads, and the time of one. */
#define LIST_WAIT_MS 1300
/* Versions in a history that is sent; about 6 KB. */
#define HISTORY_MAX 250

struct query_peer {
	uint64_t peer;
	bool answered;
};

/* A search under way. */
struct search {
	struct direct_stream_origins *origins;
	uint64_t number;
	struct direct_stream_search options;
	uint64_t attempt; /* hash */
	int64_t began_us;
	struct query_peer asked[STREAM_ORIGINS_ASKED];
	uint32_t asked_count;
	uint32_t sends;
	bool waits_for_list; /* all peers have answered, or were given up */
	guint timer;
	struct direct_stream_origin origin;
};

struct direct_stream_origins {
	struct direct *direct;
	struct direct_peers *peers; /* NULL: no peers */
	struct stream_origins *records;
	struct version_history *versions;
	GHashTable *searches; /* number -> struct search */
	uint64_t last_number;
};

static int64_t now_us(const struct direct_stream_origins *origins)
{
	return lp_now_us(origins->direct->options.clock);
}

/* ---- records ---- */

static GVariant *write_record(uint64_t attempt, uint64_t version,
			      int64_t left_us)
{
	return g_variant_new("(ttu)", (guint64)attempt, (guint64)version,
			     (guint32)(left_us / LP_US_PER_MS));
}

/* Hashes of the peers that may keep records; g_array_unref(). */
static GArray *list_keepers(const struct direct_stream_origins *origins)
{
	GArray *keepers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_autoptr(GArray) members =
		g_array_new(FALSE, FALSE, sizeof(struct dispatchers_member));
	uint64_t own = direct_peers_own_hash(origins->peers);

	direct_peers_members(origins->peers, members);
	for (guint i = 0; i < members->len; i++) {
		const struct dispatchers_member *member =
			&g_array_index(members, struct dispatchers_member, i);

		if (member->hash != own && member->capacity)
			g_array_append_val(keepers, member->hash);
	}
	return keepers;
}

static uint32_t choose(uint64_t attempt, const GArray *peers, uint32_t max,
		       uint64_t *chosen)
{
	return stream_origins_choose(attempt, (const uint64_t *)peers->data,
				     peers->len, max, chosen);
}

static void send_record(struct direct_stream_origins *origins, uint64_t attempt,
			uint64_t version, int64_t left_us)
{
	g_autoptr(GArray) keepers = list_keepers(origins);
	uint64_t chosen[STREAM_ORIGINS_REPLICAS];
	uint32_t count =
		choose(attempt, keepers, STREAM_ORIGINS_REPLICAS, chosen);
	GVariant *record = write_record(attempt, version, left_us);
	g_autoptr(GVariant) body =
		g_variant_ref_sink(g_variant_new_array(NULL, &record, 1));

	for (uint32_t i = 0; i < count; i++)
		direct_peers_send(origins->peers, chosen[i], KIND_RECORDS,
				  body);
}

void direct_stream_origins_record(struct direct_stream_origins *origins,
				  const char *attempt, uint64_t version,
				  int64_t lifetime_us)
{
	uint64_t hash = lp_hash_str(attempt);
	int64_t left_us = lifetime_us
				  ? MIN(lifetime_us, STREAM_ORIGINS_LIFETIME_US)
				  : STREAM_ORIGINS_LIFETIME_US;

	stream_origins_add(origins->records, hash, version, left_us);
	if (origins->peers)
		send_record(origins, hash, version, left_us);
}

static void on_records(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_stream_origins *origins = userdata;
	GVariantIter iter;
	guint64 attempt;
	guint64 version;
	guint32 left_ms;

	g_variant_iter_init(&iter, body);
	while (g_variant_iter_next(&iter, "(ttu)", &attempt, &version,
				   &left_ms))
		stream_origins_add(origins->records, attempt, version,
				   left_ms * LP_US_PER_MS);
}

/* ---- records of an entry that terminates ---- */

/* The records for each peer, and those that may keep them. */
struct handover {
	GHashTable *by_peer; /* hash -> GPtrArray of GVariant: records */
	GArray *keepers;
};

static GPtrArray *records_for(struct handover *handover, uint64_t peer)
{
	GPtrArray *records = g_hash_table_lookup(handover->by_peer, &peer);

	if (!records) {
		records = g_ptr_array_new_with_free_func(
			(GDestroyNotify)g_variant_unref);
		g_hash_table_insert(handover->by_peer,
				    g_memdup2(&peer, sizeof(peer)), records);
	}
	return records;
}

static void add_to_handover(void *userdata, uint64_t attempt, uint64_t version,
			    int64_t left_us)
{
	struct handover *handover = userdata;
	uint64_t chosen[STREAM_ORIGINS_REPLICAS];
	uint32_t count = choose(attempt, handover->keepers,
				STREAM_ORIGINS_REPLICAS, chosen);

	for (uint32_t i = 0; i < count; i++)
		g_ptr_array_add(records_for(handover, chosen[i]),
				g_variant_ref_sink(write_record(
					attempt, version, left_us)));
}

static void send_records(struct direct_stream_origins *origins, uint64_t peer,
			 const GPtrArray *records)
{
	for (guint i = 0; i < records->len; i += RECORDS_PER_DATAGRAM) {
		guint count = MIN(records->len - i, RECORDS_PER_DATAGRAM);
		g_autoptr(GVariant) body =
			g_variant_ref_sink(g_variant_new_array(
				NULL, (GVariant *const *)records->pdata + i,
				count));

		direct_peers_send(origins->peers, peer, KIND_RECORDS, body);
	}
}

void direct_stream_origins_hand_over(struct direct_stream_origins *origins)
{
	struct handover handover;
	GHashTableIter iter;
	gpointer peer;
	gpointer records;

	if (!origins->peers)
		return;
	handover.keepers = list_keepers(origins);
	handover.by_peer =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	stream_origins_foreach(origins->records, add_to_handover, &handover);
	g_hash_table_iter_init(&iter, handover.by_peer);
	while (g_hash_table_iter_next(&iter, &peer, &records))
		send_records(origins, *(const uint64_t *)peer, records);
	g_hash_table_unref(handover.by_peer);
	g_array_unref(handover.keepers);
}

/* ---- searches ---- */

static void free_search(gpointer data)
{
	struct search *search = data;

	direct_clear_timer(&search->timer);
	g_free(search);
}

static void finish_search(struct search *search,
			  enum stream_origin_status status)
{
	struct direct_stream_origin origin = search->origin;
	direct_stream_origin_fn on_found = search->options.on_found;
	void *userdata = search->options.userdata;

	origin.status = status;
	g_hash_table_remove(search->origins->searches, &search->number);
	on_found(userdata, &origin);
}

/* The only version that can have begun the stream, as far as is known; 0: there
 * are several, or it is not known. */
static uint64_t sole_version(const struct search *search)
{
	int64_t age_us = search->origins->direct->options.stream_age_max_us;

	return search->options.service
		       ? version_history_sole_version(
				 search->origins->versions,
				 lp_hash_str(search->options.service),
				 search->began_us -
					 (age_us ? age_us
						 : STREAM_ORIGINS_LIFETIME_US))
		       : 0;
}

/* Ends the search if the list of upstreams decides. A version that is not
 * listed yet may have begun the stream at another entry, so the list must have
 * been read after the search began. */
static void check_list(struct search *search)
{
	uint64_t version = sole_version(search);

	if (!version) {
		finish_search(search, STREAM_ORIGIN_UNKNOWN);
		return;
	}
	if (version_history_read_us(search->origins->versions) <
	    search->began_us)
		return;
	search->origin.source = DIRECT_STREAM_ORIGIN_SOLE;
	search->origin.version = version;
	finish_search(search, STREAM_ORIGIN_KNOWN);
}

static gboolean on_list_timeout(gpointer userdata)
{
	struct search *search = userdata;

	search->timer = 0;
	finish_search(search, STREAM_ORIGIN_UNKNOWN);
	return G_SOURCE_REMOVE;
}

static void request_list(const struct direct_stream_origins *origins)
{
	const struct direct_options *options = &origins->direct->options;

	if (options->needs_list)
		options->needs_list(options->userdata);
}

static void wait_for_list(struct search *search)
{
	direct_clear_timer(&search->timer);
	search->waits_for_list = true;
	search->timer = lp_timer_add(LIST_WAIT_MS, on_list_timeout, search);
	if (sole_version(search))
		request_list(search->origins);
	check_list(search);
}

static void send_queries(struct search *search)
{
	struct direct_stream_origins *origins = search->origins;
	g_autoptr(GVariant) body = g_variant_ref_sink(g_variant_new(
		QUERY_TYPE, (guint64)search->number, (guint64)search->attempt));

	search->sends++;
	for (uint32_t i = 0; i < search->asked_count; i++)
		if (!search->asked[i].answered)
			direct_peers_send(origins->peers, search->asked[i].peer,
					  KIND_QUERY, body);
}

static gboolean on_resend(gpointer userdata)
{
	struct search *search = userdata;

	if (search->sends < QUERY_SENDS) {
		send_queries(search);
		return G_SOURCE_CONTINUE;
	}
	search->timer = 0;
	wait_for_list(search);
	return G_SOURCE_REMOVE;
}

static void choose_peers(struct search *search)
{
	struct direct_stream_origins *origins = search->origins;
	g_autoptr(GArray) peers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t chosen[STREAM_ORIGINS_ASKED];

	direct_peers_list_live(origins->peers, peers);
	search->asked_count =
		choose(search->attempt, peers, STREAM_ORIGINS_ASKED, chosen);
	for (uint32_t i = 0; i < search->asked_count; i++)
		search->asked[i].peer = chosen[i];
	search->origin.asked = search->asked_count;
}

static gboolean on_begin(gpointer userdata)
{
	struct search *search = userdata;
	struct direct_stream_origins *origins = search->origins;
	enum stream_origin_status status = STREAM_ORIGIN_UNKNOWN;

	search->timer = 0;
	if (search->options.attempt)
		status = stream_origins_find(origins->records, search->attempt,
					     &search->origin.version);
	if (status != STREAM_ORIGIN_UNKNOWN) {
		finish_search(search, status);
		return G_SOURCE_REMOVE;
	}
	if (search->options.attempt && origins->peers)
		choose_peers(search);
	if (!search->asked_count) {
		wait_for_list(search);
		return G_SOURCE_REMOVE;
	}
	send_queries(search);
	search->timer = lp_timer_add(QUERY_RESEND_MS, on_resend, search);
	return G_SOURCE_REMOVE;
}

uint64_t
direct_stream_origins_search(struct direct_stream_origins *origins,
			     const struct direct_stream_search *options)
{
	struct search *search = g_new0(struct search, 1);

	search->origins = origins;
	search->number = ++origins->last_number;
	search->options = *options;
	search->attempt = options->attempt ? lp_hash_str(options->attempt) : 0;
	search->began_us = now_us(origins);
	search->timer = lp_timer_add(0, on_begin, search);
	g_hash_table_insert(origins->searches, &search->number, search);
	return search->number;
}

void direct_stream_origins_cancel(struct direct_stream_origins *origins,
				  uint64_t number)
{
	g_hash_table_remove(origins->searches, &number);
}

/* ---- queries and answers ---- */

static void on_query(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_stream_origins *origins = userdata;
	g_autoptr(GVariant) reply = NULL;
	enum stream_origin_status status;
	uint64_t version = 0;
	guint64 number;
	guint64 attempt;

	g_variant_get(body, QUERY_TYPE, &number, &attempt);
	status = stream_origins_find(origins->records, attempt, &version);
	reply = g_variant_ref_sink(g_variant_new(
		ANSWER_TYPE, number, (guint8)status, (guint64)version));
	direct_peers_send(origins->peers, peer, KIND_ANSWER, reply);
}

/* Returns whether it was asked and had not answered yet. */
static bool note_answer(struct search *search, uint64_t peer)
{
	for (uint32_t i = 0; i < search->asked_count; i++) {
		struct query_peer *asked = &search->asked[i];

		if (asked->peer != peer || asked->answered)
			continue;
		asked->answered = true;
		search->origin.answered++;
		return true;
	}
	return false;
}

static void on_answer(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_stream_origins *origins = userdata;
	struct search *search;
	guint64 number;
	guint8 status;
	guint64 version;

	g_variant_get(body, ANSWER_TYPE, &number, &status, &version);
	search = g_hash_table_lookup(origins->searches, &number);
	if (!search || !note_answer(search, peer))
		return;
	if (status == STREAM_ORIGIN_KNOWN && version) {
		search->origin.source = DIRECT_STREAM_ORIGIN_PEER;
		search->origin.version = version;
		finish_search(search, STREAM_ORIGIN_KNOWN);
	} else if (status == STREAM_ORIGIN_AMBIGUOUS) {
		finish_search(search, STREAM_ORIGIN_AMBIGUOUS);
	} else if (search->origin.answered == search->asked_count &&
		   !search->waits_for_list) {
		wait_for_list(search);
	}
}

/* ---- the list of upstreams ---- */

/* Searches that end may free others, together with their requests. */
static void check_searches(struct direct_stream_origins *origins)
{
	g_autoptr(GArray) numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, origins->searches);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((const struct search *)value)->waits_for_list)
			g_array_append_val(
				numbers,
				((const struct search *)value)->number);
	for (guint i = 0; i < numbers->len; i++) {
		struct search *search = g_hash_table_lookup(
			origins->searches,
			&g_array_index(numbers, uint64_t, i));

		if (search)
			check_list(search);
	}
}

static void add_upstream(void *userdata, const struct pool_upstream *upstream)
{
	struct direct_stream_origins *origins = userdata;

	version_history_add(origins->versions,
			    lp_hash_str(upstream->info.service),
			    upstream->version_id);
}

void direct_stream_origins_set_list(struct direct_stream_origins *origins,
				    const struct pool *pool, int64_t read_us)
{
	version_history_begin_list(origins->versions, read_us);
	pool_foreach(pool, add_upstream, origins);
	check_searches(origins);
}

void direct_stream_origins_confirm_list(struct direct_stream_origins *origins,
					int64_t read_us)
{
	version_history_confirm_list(origins->versions, read_us);
	check_searches(origins);
}

/* ---- histories of peers ---- */

static void send_history(void *userdata, uint64_t peer)
{
	struct direct_stream_origins *origins = userdata;
	int64_t at_us = now_us(origins);
	struct version_history_view view;
	GVariantBuilder listings;
	g_autoptr(GVariant) body = NULL;

	if (!version_history_get_view(origins->versions, &view) ||
	    !view.count || view.count > HISTORY_MAX)
		return;
	g_variant_builder_init(&listings, G_VARIANT_TYPE("a(ttx)"));
	for (uint32_t i = 0; i < view.count; i++)
		g_variant_builder_add(
			&listings, "(ttx)", (guint64)view.listings[i].service,
			(guint64)view.listings[i].version,
			(gint64)(at_us - view.listings[i].listed_us));
	body = g_variant_ref_sink(g_variant_new(
		"(xxa(ttx))",
		view.since_us == G_MININT64 ? (gint64)G_MAXINT64
					    : (gint64)(at_us - view.since_us),
		(gint64)(at_us - view.read_us), &listings));
	direct_peers_send(origins->peers, peer, KIND_HISTORY, body);
}

static void on_history(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_stream_origins *origins = userdata;
	g_autoptr(GArray) listings = g_array_new(
		FALSE, FALSE, sizeof(struct version_history_listing));
	int64_t at_us = now_us(origins);
	struct version_history_view view = { 0 };
	GVariantIter *iter;
	guint64 service;
	guint64 version;
	gint64 since_age_us;
	gint64 read_age_us;
	gint64 age_us;

	g_variant_get(body, HISTORY_TYPE, &since_age_us, &read_age_us, &iter);
	while (g_variant_iter_next(iter, "(ttx)", &service, &version,
				   &age_us)) {
		struct version_history_listing listing = {
			service, version, at_us - MAX(age_us, 0), false
		};

		g_array_append_val(listings, listing);
	}
	g_variant_iter_free(iter);
	view.since_us = since_age_us == G_MAXINT64
				? G_MININT64
				: at_us - MAX(since_age_us, 0);
	view.read_us = at_us - MAX(read_age_us, 0);
	view.listings = (const struct version_history_listing *)listings->data;
	view.count = listings->len;
	version_history_merge(origins->versions, &view);
}

/* ---- start and end ---- */

struct direct_stream_origins *
direct_stream_origins_create(struct direct *direct)
{
	struct direct_stream_origins *origins =
		g_new0(struct direct_stream_origins, 1);

	origins->direct = direct;
	origins->records =
		stream_origins_create(direct->options.clock, RECORDS_MAX);
	origins->versions = version_history_create();
	if (direct->options.is_first_start)
		version_history_set_first_start(origins->versions,
						direct->started_us);
	origins->searches = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, free_search);
	/* Differs from those of an earlier start, whose answers may be late. */
	origins->last_number = lp_random_u64() >> 1;
	return origins;
}

void direct_stream_origins_set_peers(struct direct_stream_origins *origins,
				     struct direct_peers *peers)
{
	origins->peers = peers;
	if (!peers)
		return;
	direct_peers_listen(peers, KIND_RECORDS, RECORDS_TYPE, on_records,
			    origins);
	direct_peers_listen(peers, KIND_QUERY, QUERY_TYPE, on_query, origins);
	direct_peers_listen(peers, KIND_ANSWER, ANSWER_TYPE, on_answer,
			    origins);
	direct_peers_listen(peers, KIND_HISTORY, HISTORY_TYPE, on_history,
			    origins);
	direct_peers_on_discovered(peers, send_history, origins);
}

void direct_stream_origins_destroy(struct direct_stream_origins *origins)
{
	if (!origins)
		return;
	g_hash_table_unref(origins->searches);
	stream_origins_destroy(origins->records);
	version_history_destroy(origins->versions);
	g_free(origins);
}
