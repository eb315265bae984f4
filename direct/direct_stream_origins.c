#include "direct/direct_stream_origins.h"

#include "base/lp_id.h"
#include "base/lp_timer.h"
#include "direct/direct_private.h"

#define KIND_RECORDS 'O'
#define KIND_QUERY 'F'
#define KIND_ANSWER 'I'

#define RECORDS_TYPE "a(ttu)" /* attempt, version (0: ambiguous), ms left */
#define QUERY_TYPE "(tt)"     /* number, attempt */
#define ANSWER_TYPE "(tyt)"   /* number, status, version */

/* About 5 KB. */
#define RECORDS_PER_DATAGRAM 200
/* A few megabytes. */
#define RECORDS_MAX 65536
/* Queries are sent again to peers that have not answered, as datagrams may be
 * lost, and then given up. */
#define QUERY_RESEND_MS 60
#define QUERY_SENDS 3
/* Time by which the list of upstreams has been read again: the longest interval
 * between two reads, and the time of one. */
#define LIST_WAIT_MS 1300
struct query_peer {
	uint64_t peer;
	bool answered;
};

/* A lookup in progress. */
struct lookup {
	struct direct_stream_origins *origins;
	uint64_t number;
	struct direct_stream_lookup options;
	uint64_t attempt; /* hash */
	int64_t began_us;
	struct query_peer queried[STREAM_ORIGINS_QUERIED];
	uint32_t queried_count;
	uint32_t sends;
	bool waits_for_list; /* all peers have answered, or were given up */
	guint timer;
	struct direct_stream_origin origin;
};

struct direct_stream_origins {
	struct direct *direct;
	struct direct_peers *peers; /* NULL: no peers */
	struct stream_origins *records;
	GHashTable *lookups; /* number -> struct lookup */
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

/* Hashes of the peers that may get replicas; g_array_unref(). */
static GArray *list_replica_peers(const struct direct_stream_origins *origins)
{
	GArray *replica_peers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_autoptr(GArray) members =
		g_array_new(FALSE, FALSE, sizeof(struct dispatchers_member));
	uint64_t own = direct_peers_own_hash(origins->peers);

	direct_peers_members(origins->peers, members);
	for (guint i = 0; i < members->len; i++) {
		const struct dispatchers_member *member =
			&g_array_index(members, struct dispatchers_member, i);

		if (member->hash != own && member->capacity)
			g_array_append_val(replica_peers, member->hash);
	}
	return replica_peers;
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
	g_autoptr(GArray) replica_peers = list_replica_peers(origins);
	uint64_t chosen[STREAM_ORIGINS_REPLICAS];
	uint32_t count =
		choose(attempt, replica_peers, STREAM_ORIGINS_REPLICAS, chosen);
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

/* The records for each peer, and the peers that may get replicas. */
struct handover {
	GHashTable *by_peer; /* hash -> GPtrArray of GVariant: records */
	GArray *replica_peers;
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
	uint32_t count = choose(attempt, handover->replica_peers,
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
	handover.replica_peers = list_replica_peers(origins);
	handover.by_peer =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	stream_origins_foreach(origins->records, add_to_handover, &handover);
	g_hash_table_iter_init(&iter, handover.by_peer);
	while (g_hash_table_iter_next(&iter, &peer, &records))
		send_records(origins, *(const uint64_t *)peer, records);
	g_hash_table_unref(handover.by_peer);
	g_array_unref(handover.replica_peers);
}

/* ---- lookups ---- */

static void free_lookup(gpointer data)
{
	struct lookup *lookup = data;

	direct_clear_timer(&lookup->timer);
	g_free(lookup);
}

static void finish_lookup(struct lookup *lookup,
			  enum stream_origin_status status)
{
	struct direct_stream_origin origin = lookup->origin;
	direct_stream_origin_fn on_found = lookup->options.on_found;
	void *userdata = lookup->options.userdata;

	origin.status = status;
	g_hash_table_remove(lookup->origins->lookups, &lookup->number);
	on_found(userdata, &origin);
}

/* The only version that can have begun the stream, as far as is known; 0: there
 * are several, or it is not known. */
static uint64_t sole_version(const struct lookup *lookup)
{
	const struct direct *direct = lookup->origins->direct;
	int64_t age_us = direct->options.stream_age_max_us;

	if (!lookup->options.service)
		return 0;
	return direct_version_history_sole_version(
		direct->version_history, lookup->options.service,
		lookup->began_us -
			(age_us ? age_us : STREAM_ORIGINS_LIFETIME_US));
}

/* Ends the lookup if the list of upstreams decides. A version that is not
 * listed yet may have begun the stream at another entry, so the list must have
 * been read after the lookup began. */
static void check_list(struct lookup *lookup)
{
	uint64_t version = sole_version(lookup);

	if (!version) {
		finish_lookup(lookup, STREAM_ORIGIN_UNKNOWN);
		return;
	}
	if (direct_version_history_read_us(
		    lookup->origins->direct->version_history) <
	    lookup->began_us)
		return;
	lookup->origin.source = DIRECT_STREAM_ORIGIN_SOLE;
	lookup->origin.version = version;
	finish_lookup(lookup, STREAM_ORIGIN_KNOWN);
}

static gboolean on_list_timeout(gpointer userdata)
{
	struct lookup *lookup = userdata;

	lookup->timer = 0;
	finish_lookup(lookup, STREAM_ORIGIN_UNKNOWN);
	return G_SOURCE_REMOVE;
}

static void request_list(const struct direct_stream_origins *origins)
{
	const struct direct_options *options = &origins->direct->options;

	if (options->needs_list)
		options->needs_list(options->userdata);
}

static void wait_for_list(struct lookup *lookup)
{
	direct_clear_timer(&lookup->timer);
	lookup->waits_for_list = true;
	lookup->timer = lp_timer_add(LIST_WAIT_MS, on_list_timeout, lookup);
	if (sole_version(lookup))
		request_list(lookup->origins);
	check_list(lookup);
}

static void send_queries(struct lookup *lookup)
{
	struct direct_stream_origins *origins = lookup->origins;
	g_autoptr(GVariant) body = g_variant_ref_sink(g_variant_new(
		QUERY_TYPE, (guint64)lookup->number, (guint64)lookup->attempt));

	lookup->sends++;
	for (uint32_t i = 0; i < lookup->queried_count; i++)
		if (!lookup->queried[i].answered)
			direct_peers_send(origins->peers,
					  lookup->queried[i].peer, KIND_QUERY,
					  body);
}

static gboolean on_resend(gpointer userdata)
{
	struct lookup *lookup = userdata;

	if (lookup->sends < QUERY_SENDS) {
		send_queries(lookup);
		return G_SOURCE_CONTINUE;
	}
	lookup->timer = 0;
	wait_for_list(lookup);
	return G_SOURCE_REMOVE;
}

static void choose_peers(struct lookup *lookup)
{
	struct direct_stream_origins *origins = lookup->origins;
	g_autoptr(GArray) peers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t chosen[STREAM_ORIGINS_QUERIED];

	direct_peers_list_live(origins->peers, peers);
	lookup->queried_count =
		choose(lookup->attempt, peers, STREAM_ORIGINS_QUERIED, chosen);
	for (uint32_t i = 0; i < lookup->queried_count; i++)
		lookup->queried[i].peer = chosen[i];
	lookup->origin.queried = lookup->queried_count;
}

static gboolean on_begin(gpointer userdata)
{
	struct lookup *lookup = userdata;
	struct direct_stream_origins *origins = lookup->origins;
	enum stream_origin_status status = STREAM_ORIGIN_UNKNOWN;

	lookup->timer = 0;
	if (lookup->options.attempt)
		status = stream_origins_find(origins->records, lookup->attempt,
					     &lookup->origin.version);
	if (status != STREAM_ORIGIN_UNKNOWN) {
		finish_lookup(lookup, status);
		return G_SOURCE_REMOVE;
	}
	if (lookup->options.attempt && origins->peers)
		choose_peers(lookup);
	if (!lookup->queried_count) {
		wait_for_list(lookup);
		return G_SOURCE_REMOVE;
	}
	send_queries(lookup);
	lookup->timer = lp_timer_add(QUERY_RESEND_MS, on_resend, lookup);
	return G_SOURCE_REMOVE;
}

uint64_t
direct_stream_origins_lookup(struct direct_stream_origins *origins,
			     const struct direct_stream_lookup *options)
{
	struct lookup *lookup = g_new0(struct lookup, 1);

	lookup->origins = origins;
	lookup->number = ++origins->last_number;
	lookup->options = *options;
	lookup->attempt = options->attempt ? lp_hash_str(options->attempt) : 0;
	lookup->began_us = now_us(origins);
	lookup->timer = lp_timer_add(0, on_begin, lookup);
	g_hash_table_insert(origins->lookups, &lookup->number, lookup);
	return lookup->number;
}

void direct_stream_origins_cancel(struct direct_stream_origins *origins,
				  uint64_t number)
{
	g_hash_table_remove(origins->lookups, &number);
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

/* Returns whether it was queried and had not answered yet. */
static bool note_answer(struct lookup *lookup, uint64_t peer)
{
	for (uint32_t i = 0; i < lookup->queried_count; i++) {
		struct query_peer *queried = &lookup->queried[i];

		if (queried->peer != peer || queried->answered)
			continue;
		queried->answered = true;
		lookup->origin.answered++;
		return true;
	}
	return false;
}

static void on_answer(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_stream_origins *origins = userdata;
	struct lookup *lookup;
	guint64 number;
	guint8 status;
	guint64 version;

	g_variant_get(body, ANSWER_TYPE, &number, &status, &version);
	lookup = g_hash_table_lookup(origins->lookups, &number);
	if (!lookup || !note_answer(lookup, peer))
		return;
	if (status == STREAM_ORIGIN_KNOWN && version) {
		lookup->origin.source = DIRECT_STREAM_ORIGIN_PEER;
		lookup->origin.version = version;
		finish_lookup(lookup, STREAM_ORIGIN_KNOWN);
	} else if (status == STREAM_ORIGIN_AMBIGUOUS) {
		finish_lookup(lookup, STREAM_ORIGIN_AMBIGUOUS);
	} else if (lookup->origin.answered == lookup->queried_count &&
		   !lookup->waits_for_list) {
		wait_for_list(lookup);
	}
}

/* ---- the list of upstreams ---- */

/* Lookups that end may free others, together with their requests. */
void direct_stream_origins_check_list(struct direct_stream_origins *origins)
{
	g_autoptr(GArray) numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, origins->lookups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((const struct lookup *)value)->waits_for_list)
			g_array_append_val(
				numbers,
				((const struct lookup *)value)->number);
	for (guint i = 0; i < numbers->len; i++) {
		struct lookup *lookup = g_hash_table_lookup(
			origins->lookups, &g_array_index(numbers, uint64_t, i));

		if (lookup)
			check_list(lookup);
	}
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
	origins->lookups = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, free_lookup);
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
}

void direct_stream_origins_destroy(struct direct_stream_origins *origins)
{
	if (!origins)
		return;
	g_hash_table_unref(origins->lookups);
	stream_origins_destroy(origins->records);
	g_free(origins);
}
