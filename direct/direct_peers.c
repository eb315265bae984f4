#include "direct/direct_peers.h"

#include "base/lp_id.h"
#include "base/lp_timer.h"

#include "direct/direct_traffic.h"

#include <string.h>

/* A hello costs one datagram for each peer. A peer that misses three of them is
 * taken as gone: LIVENESS_TIMEOUT_US. */
#define HELLO_INTERVAL_MS 1000
/* Periodic hellos are sent in bursts of so many, spread over the interval: a
 * narrow link drops what exceeds its queue. */
#define HELLOS_PER_BURST 32
/* After the start, peers that have not sent a hello yet get ours more often:
 * they may have started a little later. */
#define INITIAL_HELLO_INTERVAL_MS 100
#define INITIAL_HELLOS 10
/* Peers that get a hello at each of these times, in turn: in a fleet that
 * starts at once, hellos to all of them would delay the answers of all. */
#define INITIAL_HELLO_PEERS 32
#define LIVENESS_TIMEOUT_US (3500 * LP_US_PER_MS)
/* Enough for work with many inputs or results; larger bodies are not sent. */
#define DATAGRAM_MAX 8192
/* Entries that are not known yet are ignored beyond it. */
#define PEERS_MAX 16384
/* Peers named in a hello to one peer; the next such hello names those after
 * them. */
#define NAMES_PER_HELLO 40
/* Periodic hellos name each newly discovered peer so often, ... */
#define NAMINGS 2
/* ... and so many others in turn, in case hellos that named them were lost. */
#define NAMES_IN_TURN 2
#define DATAGRAMS_PER_ITERATION 32
/* Peers that get a hello at once when this entry got a configuration from a
 * peer: enough for each version to spread in a few rounds. */
#define HELLO_SAMPLE 8
/* A suspected peer gets no work for this long, nor before a datagram of it has
 * been received again. */
#define SUSPECT_US (2 * LP_US_PER_S)

/* Minimum time between two liveness probes of a peer. */
#define PROBE_INTERVAL_US (50 * LP_US_PER_MS)

/* Slow start: an entry that has just started advertises its capacity divided by
 * this. An entry that was killed must not take its work back at once, as it may
 * be killed again. In a fleet that starts at once all are reduced alike. The
 * period is shorter than the time from a fleet's start to its traffic. */
#define SLOW_START_DIVISOR 4
#define SLOW_START_DEFAULT_US (8 * LP_US_PER_S)
/* An entry without a configuration after this time advertises no capacity. */
#define CONFIG_GRACE_US (3 * LP_US_PER_S)

/* An entry that sent a hello, or was first named, within this time may be
 * running although no hello arrives. */
#define KNOWN_RETENTION_US (60 * LP_US_PER_S)

/* A peer whose datagrams pause for longer than this may have been cut off:
 * hellos come each second, and one of them may be delayed. */
#define CONTACT_SILENCE_US (1500 * LP_US_PER_MS)

#define KIND_HELLO 'H'
#define KIND_PROBE 'S' /* liveness probe; answered by a hello */
#define KIND_UNREACHABLE 'U'
#define KIND_UPSTREAM_LIST 'L'
#define KIND_LIST_CHANGES 'J'
#define KIND_WATCH 'Y'		  /* the sender reads the key-value service */
#define UPSTREAM_LIST_TYPE "(tx)" /* hash, us since the list was requested */
/* hash before, hash, us since the list was requested, changes */
#define LIST_CHANGES_TYPE "(ttxs)"
/* configuration version, IPs of live peers, capacity, start id */
#define HELLO_TYPE "(xasut)"
#define PROBE_TYPE "(t)"
/* configuration version, rank of the reader, us since the answer; hash of its
 * list, us since that was read */
#define WATCH_TYPE "(xuxtx)"
#define UNREACHABLE_TYPE "(tx)" /* upstream's incarnation, us to eject it */

struct peer {
	char *ip;
	uint64_t hash; /* of the IP */
	GSocketAddress *address;
	int64_t added_us; /* when it was seeded, named or first received from */
	int64_t hello_us; /* last hello from it; 0: none yet */
	int64_t received_us;	  /* last datagram of any kind from it */
	int64_t contact_since_us; /* no silence of it since then */
	int64_t probed_us;	  /* last liveness probe sent to it */
	int64_t suspect_until_us;
	uint32_t capacity;     /* in thousandths of a core */
	uint64_t start_id;     /* random, changes with each start */
	uint32_t namings_left; /* in periodic hellos */
};

/* An entry that may be running, also if it is no peer at present. */
struct known {
	int64_t at_us;	   /* last hello, or when it was first named */
	uint64_t start_id; /* of its last hello; 0: none */
};

/* Handler of the datagrams of a kind. */
struct listener {
	char kind;
	const char *type;
	direct_peers_datagram_fn handler;
	void *userdata;
};

/* Callback for peers that are discovered. */
struct discovery_listener {
	void (*on_discovered)(void *userdata, uint64_t peer);
	void *userdata;
};

struct direct_peers {
	struct direct_peers_options options;
	struct direct_traffic *traffic;
	char *ip;
	char **seeds;
	GSocket *socket;
	GSource *source;
	guint hello_timer;
	GArray *round;	       /* hashes of the peers of this round of hellos */
	guint round_next;      /* the first of them that got none yet */
	GVariant *round_hello; /* or NULL */
	guint slow_start_timer; /* 0: slow start is over */
	guint burst_timer;	/* 0: the round is complete */
	guint initial_timer;	/* 0: the initial hellos have been sent */
	uint32_t initial_hellos;
	uint32_t next_name;  /* first peer that the next hello names in turn */
	GHashTable *peers;   /* ip -> struct peer */
	GHashTable *by_hash; /* hash -> struct peer */
	GHashTable *known;   /* ip -> struct known */
	GArray *listeners;   /* of struct listener */
	void (*on_restarted)(void *userdata, uint64_t peer);
	void *on_restarted_userdata;
	GArray *discovery_listeners; /* of struct discovery_listener */
	int64_t config_version;
	bool is_ready; /* can take work of peers */
	bool is_draining;
	uint64_t start_id;
	int64_t started_us;
	int64_t discovered_us; /* last new live peer; 0: none yet */
};

static void free_peer(gpointer data)
{
	struct peer *peer = data;

	g_free(peer->ip);
	g_object_unref(peer->address);
	g_free(peer);
}

/* Returns the record of an entry that is known from now on. */
static struct known *record_known(struct direct_peers *peers, const char *ip)
{
	struct known *known = g_hash_table_lookup(peers->known, ip);

	if (!known) {
		known = g_new0(struct known, 1);
		g_hash_table_insert(peers->known, g_strdup(ip), known);
	}
	known->at_us = lp_now_us(peers->options.clock);
	return known;
}

static struct peer *get_or_add_peer(struct direct_peers *peers, const char *ip)
{
	struct peer *peer = g_hash_table_lookup(peers->peers, ip);
	GSocketAddress *address;

	if (peer || !strcmp(ip, peers->ip))
		return peer;
	if (g_hash_table_size(peers->peers) >= PEERS_MAX) {
		*lp_counter(peers->options.counters,
			    "linepier_peers_ignored_total", NULL) += 1;
		return NULL;
	}
	address =
		g_inet_socket_address_new_from_string(ip, peers->options.port);
	if (!address)
		return NULL;
	if (!g_hash_table_contains(peers->known, ip))
		record_known(peers, ip);
	peer = g_new0(struct peer, 1);
	peer->ip = g_strdup(ip);
	peer->hash = lp_hash_str(ip);
	peer->added_us = lp_now_us(peers->options.clock);
	peer->address = address;
	g_hash_table_insert(peers->peers, peer->ip, peer);
	g_hash_table_insert(peers->by_hash, &peer->hash, peer);
	return peer;
}

static bool is_alive(const struct direct_peers *peers, const struct peer *peer)
{
	return peer->hello_us &&
	       lp_now_us(peers->options.clock) - peer->hello_us <
		       LIVENESS_TIMEOUT_US;
}

/* ---- sending ---- */

/* False: the body is too large. */
static bool send_datagram(struct direct_peers *peers, const struct peer *peer,
			  char kind, GVariant *body)
{
	/* GVariant needs aligned bytes, so the kind comes last. */
	_Alignas(8) char datagram[DATAGRAM_MAX];
	gsize size = g_variant_get_size(body);

	if (size + 1 > sizeof(datagram))
		return false;
	g_variant_store(body, datagram);
	datagram[size] = kind;
	direct_traffic_count(peers->traffic, DIRECT_TRAFFIC_SENT, kind,
			     size + 1);
	/* A datagram that cannot be sent counts as lost on the way. */
	g_socket_send_to(peers->socket, peer->address, datagram, size + 1, NULL,
			 NULL);
	return true;
}

/* Capacity to advertise. An entry that has just started counts already before
 * it has a configuration, which follows soon. Otherwise a fleet that starts at
 * once would reassign its work with each entry that is configured. */
static uint32_t own_capacity(const struct direct_peers *peers)
{
	uint32_t capacity = peers->options.capacity;
	int64_t age_us = lp_now_us(peers->options.clock) - peers->started_us;

	if (peers->is_draining ||
	    (!peers->is_ready && age_us > CONFIG_GRACE_US))
		return 0;
	return age_us < peers->options.slow_start_us
		       ? capacity / SLOW_START_DIVISOR
		       : capacity;
}

static GPtrArray *live_peers(const struct direct_peers *peers)
{
	GPtrArray *live = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_alive(peers, value))
			g_ptr_array_add(live, value);
	return live;
}

static GVariant *write_hello(const struct direct_peers *peers,
			     GVariantBuilder *names)
{
	return g_variant_ref_sink(
		g_variant_new(HELLO_TYPE, (gint64)peers->config_version, names,
			      own_capacity(peers), (guint64)peers->start_id));
}

/* Names up to `max` live peers, beginning with the one at `first`. */
static void name_in_turn(const GPtrArray *live, uint32_t first, uint32_t max,
			 GVariantBuilder *names)
{
	for (uint32_t i = 0; i < MIN(live->len, max); i++) {
		const struct peer *peer =
			g_ptr_array_index(live, (first + i) % live->len);

		g_variant_builder_add(names, "s", peer->ip);
	}
}

/* A hello for a peer that may know few others. It names peers from a random one
 * on, as the order is much the same at all entries. */
static GVariant *write_full_hello(const struct direct_peers *peers)
{
	g_autoptr(GPtrArray) live = live_peers(peers);
	GVariantBuilder names;

	g_variant_builder_init(&names, G_VARIANT_TYPE("as"));
	name_in_turn(live, g_random_int(), NAMES_PER_HELLO, &names);
	return write_hello(peers, &names);
}

/* Names live peers with this many namings left. Returns how many. */
static uint32_t name_new(const GPtrArray *live, uint32_t namings_left,
			 uint32_t max, GVariantBuilder *names)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < live->len && count < max; i++) {
		struct peer *peer = g_ptr_array_index(live, i);

		if (peer->namings_left != namings_left)
			continue;
		peer->namings_left--;
		g_variant_builder_add(names, "s", peer->ip);
		count++;
	}
	return count;
}

/* A hello that says what has changed here, and names few peers. */
static GVariant *write_short_hello(const struct direct_peers *peers)
{
	g_autoptr(GPtrArray) live = live_peers(peers);
	GVariantBuilder names;

	g_variant_builder_init(&names, G_VARIANT_TYPE("as"));
	name_in_turn(live, peers->next_name, NAMES_IN_TURN, &names);
	return write_hello(peers, &names);
}

/* A hello for all peers. They know almost all others: it names those that were
 * discovered lately, beginning with those that were named the least. */
static GVariant *write_periodic_hello(const struct direct_peers *peers)
{
	g_autoptr(GPtrArray) live = live_peers(peers);
	uint32_t left = NAMES_PER_HELLO - NAMES_IN_TURN;
	GVariantBuilder names;

	g_variant_builder_init(&names, G_VARIANT_TYPE("as"));
	for (uint32_t namings_left = NAMINGS; namings_left; namings_left--)
		left -= name_new(live, namings_left, left, &names);
	name_in_turn(live, peers->next_name, NAMES_IN_TURN, &names);
	return write_hello(peers, &names);
}

static void add_seeds(struct direct_peers *peers)
{
	for (char **seed = peers->seeds; *seed; seed++) {
		g_autofree char *ip = g_strndup(*seed, strcspn(*seed, ":"));

		get_or_add_peer(peers, ip);
	}
}

static void remove_silent(struct direct_peers *peers)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (lp_now_us(peers->options.clock) -
			    MAX(peer->hello_us, peer->added_us) <
		    LIVENESS_TIMEOUT_US)
			continue;
		if (peer->hello_us &&
		    lp_event_begin(peers->options.log, "peer_lost", NULL)) {
			lp_event_text(peers->options.log, "peer", peer->ip);
			lp_event_end(peers->options.log);
		}
		g_hash_table_remove(peers->by_hash, &peer->hash);
		g_hash_table_iter_remove(&iter);
	}
}

/* Ends the round of periodic hellos under way, whose hello is outdated now. */
static void cancel_round(struct direct_peers *peers)
{
	if (peers->burst_timer)
		g_source_remove(peers->burst_timer);
	peers->burst_timer = 0;
	g_array_set_size(peers->round, 0);
}

/* Sends a hello to all peers at once, short enough for the burst to pass a
 * narrow link. */
static void send_hellos(struct direct_peers *peers)
{
	g_autoptr(GVariant) hello = write_short_hello(peers);
	GHashTableIter iter;
	gpointer value;

	cancel_round(peers);
	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_datagram(peers, value, KIND_HELLO, hello);
}

/* All entries of a fleet that started at once leave slow start at about the
 * same time. Each tells it at once: whoever seems to be the only strong member
 * takes over all work. */
static gboolean on_slow_start_end(gpointer userdata)
{
	struct direct_peers *peers = userdata;

	peers->slow_start_timer = 0;
	send_hellos(peers);
	return G_SOURCE_REMOVE;
}

/* ---- rounds of periodic hellos ---- */

static bool is_round_complete(const struct direct_peers *peers)
{
	return peers->round_next >= peers->round->len;
}

/* Sends hellos to the next peers of the round; some may be gone. */
static void send_burst(struct direct_peers *peers, guint count)
{
	for (; count && !is_round_complete(peers); count--) {
		uint64_t hash = g_array_index(peers->round, uint64_t,
					      peers->round_next++);
		const struct peer *peer =
			g_hash_table_lookup(peers->by_hash, &hash);

		if (peer)
			send_datagram(peers, peer, KIND_HELLO,
				      peers->round_hello);
	}
}

static gboolean on_burst_timer(gpointer userdata)
{
	struct direct_peers *peers = userdata;

	send_burst(peers, HELLOS_PER_BURST);
	if (!is_round_complete(peers))
		return G_SOURCE_CONTINUE;
	peers->burst_timer = 0;
	return G_SOURCE_REMOVE;
}

/* A late timer may leave peers of the round before without a hello. */
static void finish_round(struct direct_peers *peers)
{
	if (peers->burst_timer)
		g_source_remove(peers->burst_timer);
	peers->burst_timer = 0;
	send_burst(peers, peers->round->len);
}

static void begin_round(struct direct_peers *peers)
{
	GHashTableIter iter;
	gpointer value;
	guint bursts;

	finish_round(peers);
	g_clear_pointer(&peers->round_hello, g_variant_unref);
	peers->round_hello = write_periodic_hello(peers);
	g_array_set_size(peers->round, 0);
	peers->round_next = 0;
	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_array_append_val(peers->round, ((struct peer *)value)->hash);
	bursts = (peers->round->len + HELLOS_PER_BURST - 1) / HELLOS_PER_BURST;
	send_burst(peers, HELLOS_PER_BURST);
	if (bursts > 1)
		peers->burst_timer = lp_timer_add(HELLO_INTERVAL_MS / bursts,
						  on_burst_timer, peers);
}

/* Peers that have not sent a hello yet. */
static GPtrArray *silent_peers(const struct direct_peers *peers)
{
	GPtrArray *silent = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((const struct peer *)value)->hello_us)
			g_ptr_array_add(silent, value);
	return silent;
}

static gboolean on_initial_timer(gpointer userdata)
{
	struct direct_peers *peers = userdata;
	g_autoptr(GVariant) hello = write_full_hello(peers);
	g_autoptr(GPtrArray) silent = silent_peers(peers);
	uint32_t first = peers->initial_hellos * INITIAL_HELLO_PEERS;

	for (uint32_t i = 0; i < MIN(silent->len, INITIAL_HELLO_PEERS); i++)
		send_datagram(
			peers,
			g_ptr_array_index(silent, (first + i) % silent->len),
			KIND_HELLO, hello);
	if (++peers->initial_hellos < INITIAL_HELLOS)
		return G_SOURCE_CONTINUE;
	peers->initial_timer = 0;
	return G_SOURCE_REMOVE;
}

static bool is_known(const struct direct_peers *peers,
		     const struct known *known)
{
	return lp_now_us(peers->options.clock) - known->at_us <
	       KNOWN_RETENTION_US;
}

/* Entries that are still listed as peers are kept. Seeds are added with each
 * hello, and would otherwise count as newly known each time. */
static void expire_known(struct direct_peers *peers)
{
	GHashTableIter iter;
	gpointer ip;
	gpointer known;

	g_hash_table_iter_init(&iter, peers->known);
	while (g_hash_table_iter_next(&iter, &ip, &known))
		if (!is_known(peers, known) &&
		    !g_hash_table_contains(peers->peers, ip))
			g_hash_table_iter_remove(&iter);
}

static gboolean on_hello_timer(gpointer userdata)
{
	struct direct_peers *peers = userdata;

	peers->next_name += NAMES_IN_TURN;
	remove_silent(peers);
	add_seeds(peers);
	expire_known(peers);
	begin_round(peers);
	return G_SOURCE_CONTINUE;
}

/* Sends hellos to live peers chosen at random, some possibly twice. */
static void send_hello_sample(struct direct_peers *peers)
{
	g_autoptr(GPtrArray) live = live_peers(peers);
	g_autoptr(GVariant) hello = write_full_hello(peers);

	for (uint32_t i = 0; i < MIN(live->len, HELLO_SAMPLE); i++) {
		guint at = live->len <= HELLO_SAMPLE
				   ? i
				   : (guint)g_random_int_range(
					     0, (gint32)live->len);

		send_datagram(peers, g_ptr_array_index(live, at), KIND_HELLO,
			      hello);
	}
}

void direct_peers_set_config_version(struct direct_peers *peers,
				     int64_t version, bool to_all)
{
	peers->config_version = version;
	if (to_all)
		send_hellos(peers);
	else
		send_hello_sample(peers);
}

void direct_peers_set_ready(struct direct_peers *peers, bool is_ready)
{
	if (peers->is_ready == is_ready)
		return;
	peers->is_ready = is_ready;
	send_hellos(peers);
}

void direct_peers_drain(struct direct_peers *peers)
{
	peers->is_draining = true;
	send_hellos(peers);
}

void direct_peers_send_all(struct direct_peers *peers, char kind,
			   GVariant *body)
{
	g_autoptr(GVariant) held = g_variant_ref_sink(body);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_alive(peers, value))
			send_datagram(peers, value, kind, held);
}

void direct_peers_report_unreachable(struct direct_peers *peers,
				     uint64_t upstream, int64_t ejection_us)
{
	direct_peers_send_all(peers, KIND_UNREACHABLE,
			      g_variant_new(UNREACHABLE_TYPE, (guint64)upstream,
					    (gint64)ejection_us));
}

void direct_peers_report_upstream_list(struct direct_peers *peers,
				       uint64_t hash, int64_t age_us)
{
	direct_peers_send_all(peers, KIND_UPSTREAM_LIST,
			      g_variant_new(UPSTREAM_LIST_TYPE, (guint64)hash,
					    (gint64)age_us));
}

void direct_peers_report_list_changes(struct direct_peers *peers,
				      uint64_t previous_hash, uint64_t hash,
				      int64_t age_us, const char *changes)
{
	direct_peers_send_all(
		peers, KIND_LIST_CHANGES,
		g_variant_new(LIST_CHANGES_TYPE, (guint64)previous_hash,
			      (guint64)hash, (gint64)age_us, changes));
}

void direct_peers_report_watch(struct direct_peers *peers,
			       const struct direct_peers_watch_report *report)
{
	direct_peers_send_all(
		peers, KIND_WATCH,
		g_variant_new(WATCH_TYPE, (gint64)peers->config_version,
			      (guint32)report->rank, (gint64)report->age_us,
			      (guint64)report->list_hash,
			      (gint64)report->list_age_us));
}

static bool may_get_work(const struct direct_peers *peers,
			 const struct peer *peer)
{
	return is_alive(peers, peer) &&
	       lp_now_us(peers->options.clock) >= peer->suspect_until_us &&
	       peer->received_us >= peer->suspect_until_us - SUSPECT_US;
}

void direct_peers_members(const struct direct_peers *peers, GArray *out)
{
	struct dispatchers_member member = { direct_peers_own_hash(peers),
					     own_capacity(peers) };
	GHashTableIter iter;
	gpointer value;

	g_array_append_val(out, member);
	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (!may_get_work(peers, peer))
			continue;
		member.hash = peer->hash;
		member.capacity = peer->capacity;
		g_array_append_val(out, member);
	}
}

void direct_peers_list_live(const struct direct_peers *peers, GArray *out)
{
	g_autoptr(GPtrArray) live = live_peers(peers);

	for (guint i = 0; i < live->len; i++)
		g_array_append_val(
			out, ((const struct peer *)g_ptr_array_index(live, i))
				     ->hash);
}

bool direct_peers_send(struct direct_peers *peers, uint64_t peer, char kind,
		       GVariant *body)
{
	const struct peer *to = g_hash_table_lookup(peers->by_hash, &peer);

	return to && send_datagram(peers, to, kind, body);
}

int64_t direct_peers_last_received_us(const struct direct_peers *peers,
				      uint64_t peer)
{
	const struct peer *from = g_hash_table_lookup(peers->by_hash, &peer);

	return from ? from->received_us : 0;
}

static bool knows_silent(const struct direct_peers *peers)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((const struct peer *)value)->hello_us)
			return true;
	return false;
}

int64_t direct_peers_discovery_left_us(const struct direct_peers *peers)
{
	const struct dispatchers_discovery discovery = {
		.started_us = peers->started_us,
		.last_discovered_us = peers->discovered_us,
		.has_silent_members = knows_silent(peers),
	};

	return dispatchers_discovery_left_us(&discovery,
					     lp_now_us(peers->options.clock));
}

const char *direct_peers_ip(const struct direct_peers *peers, uint64_t peer)
{
	const struct peer *from = g_hash_table_lookup(peers->by_hash, &peer);

	if (from)
		return from->ip;
	return peer == direct_peers_own_hash(peers) ? peers->ip : "";
}

void direct_peers_probe(struct direct_peers *peers, uint64_t peer)
{
	struct peer *to = g_hash_table_lookup(peers->by_hash, &peer);
	int64_t now_us = lp_now_us(peers->options.clock);
	g_autoptr(GVariant) body = NULL;

	if (!to || now_us - to->probed_us < PROBE_INTERVAL_US)
		return;
	to->probed_us = now_us;
	body = g_variant_ref_sink(
		g_variant_new(PROBE_TYPE, (guint64)peers->start_id));
	send_datagram(peers, to, KIND_PROBE, body);
}

void direct_peers_suspect(struct direct_peers *peers, uint64_t peer)
{
	struct peer *silent = g_hash_table_lookup(peers->by_hash, &peer);
	int64_t now_us = lp_now_us(peers->options.clock);

	if (!silent || silent->suspect_until_us > now_us)
		return;
	silent->suspect_until_us = now_us + SUSPECT_US;
	if (!lp_event_begin(peers->options.log, "peer_suspect", NULL))
		return;
	lp_event_text(peers->options.log, "peer", silent->ip);
	lp_event_int(peers->options.log, "silent_us",
		     now_us - silent->received_us);
	lp_event_end(peers->options.log);
}

static const struct listener *listener_of(const struct direct_peers *peers,
					  char kind)
{
	for (guint i = 0; i < peers->listeners->len; i++) {
		const struct listener *listener =
			&g_array_index(peers->listeners, struct listener, i);

		if (listener->kind == kind)
			return listener;
	}
	return NULL;
}

/* GVariant type of a kind's body; NULL: the kind is unknown. */
static const char *body_type(const struct direct_peers *peers, char kind)
{
	const struct listener *listener = listener_of(peers, kind);

	switch (kind) {
	case KIND_HELLO:
		return HELLO_TYPE;
	case KIND_PROBE:
		return PROBE_TYPE;
	case KIND_UNREACHABLE:
		return UNREACHABLE_TYPE;
	case KIND_UPSTREAM_LIST:
		return UPSTREAM_LIST_TYPE;
	case KIND_LIST_CHANGES:
		return LIST_CHANGES_TYPE;
	case KIND_WATCH:
		return WATCH_TYPE;
	default:
		return listener ? listener->type : NULL;
	}
}

void direct_peers_listen(struct direct_peers *peers, char kind,
			 const char *type, direct_peers_datagram_fn handler,
			 void *userdata)
{
	struct listener listener = { kind, type, handler, userdata };

	g_assert(!body_type(peers, kind));
	g_array_append_val(peers->listeners, listener);
}

void direct_peers_remove_listeners(struct direct_peers *peers)
{
	g_array_set_size(peers->listeners, 0);
	peers->on_restarted = NULL;
	g_array_set_size(peers->discovery_listeners, 0);
}

void direct_peers_on_discovered(struct direct_peers *peers,
				void (*on_discovered)(void *userdata,
						      uint64_t peer),
				void *userdata)
{
	struct discovery_listener discovery_listener = { on_discovered,
							 userdata };

	g_array_append_val(peers->discovery_listeners, discovery_listener);
}

void direct_peers_on_restart(struct direct_peers *peers,
			     void (*on_restarted)(void *userdata,
						  uint64_t peer),
			     void *userdata)
{
	peers->on_restarted = on_restarted;
	peers->on_restarted_userdata = userdata;
}

uint32_t direct_peers_count(const struct direct_peers *peers)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 1;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_alive(peers, value))
			count++;
	return count;
}

uint32_t direct_peers_known_count(const struct direct_peers *peers)
{
	GHashTableIter iter;
	gpointer known;
	uint32_t count = 1;

	g_hash_table_iter_init(&iter, peers->known);
	while (g_hash_table_iter_next(&iter, NULL, &known))
		count += is_known(peers, known);
	return count;
}

bool direct_peers_had_contact_since(const struct direct_peers *peers,
				    int64_t since_us)
{
	int64_t now_us = lp_now_us(peers->options.clock);
	uint32_t known = direct_peers_known_count(peers);
	uint32_t in_contact = 1;
	GHashTableIter iter;
	gpointer value;

	if (known == 1)
		return !peers->discovered_us;
	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (peer->received_us && peer->contact_since_us <= since_us &&
		    now_us - peer->received_us <= CONTACT_SILENCE_US)
			in_contact++;
	}
	return 2 * in_contact >= known && in_contact > 1;
}

uint64_t direct_peers_own_hash(const struct direct_peers *peers)
{
	return lp_hash_str(peers->ip);
}

/* ---- receiving ---- */

static void log_discovered(struct direct_peers *peers, const struct peer *from)
{
	if (!lp_event_begin(peers->options.log, "peer_found", NULL))
		return;
	lp_event_text(peers->options.log, "peer", from->ip);
	lp_event_int(peers->options.log, "capacity", from->capacity);
	lp_event_end(peers->options.log);
}

/* Calls on_restarted if the start id of a known peer has changed. */
static void record_start(struct direct_peers *peers, struct peer *from,
			 uint64_t start_id)
{
	bool is_restart = from->start_id && from->start_id != start_id;

	from->start_id = start_id;
	if (is_restart && peers->on_restarted)
		peers->on_restarted(peers->on_restarted_userdata, from->hash);
}

/* Sends a hello at once. Entries that start together thus know each other after
 * some round trips, not after some hello intervals; until then each would
 * dispatch by itself. */
static void send_hello(struct direct_peers *peers, const struct peer *peer)
{
	g_autoptr(GVariant) hello = write_full_hello(peers);

	send_datagram(peers, peer, KIND_HELLO, hello);
}

/* Adds a peer that another one named, and sends it a hello. */
static void discover(struct direct_peers *peers, const char *ip)
{
	const struct peer *peer;

	if (g_hash_table_contains(peers->peers, ip))
		return;
	peer = get_or_add_peer(peers, ip);
	if (peer)
		send_hello(peers, peer);
}

/* A start that was not known is named to the other peers. A peer that was only
 * silent for a while is known to them. */
static void note_start(struct direct_peers *peers, struct peer *from,
		       uint64_t start_id)
{
	struct known *known = record_known(peers, from->ip);

	if (known->start_id != start_id)
		from->namings_left = NAMINGS;
	known->start_id = start_id;
}

static void handle_hello(struct direct_peers *peers, struct peer *from,
			 GVariant *body)
{
	g_autoptr(GVariantIter) names = NULL;
	gint64 version;
	guint64 start_id;
	const char *ip;
	bool was_alive = is_alive(peers, from);
	bool is_new;

	from->hello_us = lp_now_us(peers->options.clock);
	g_variant_get(body, HELLO_TYPE, &version, &names, &from->capacity,
		      &start_id);
	is_new = !was_alive || from->start_id != start_id;
	note_start(peers, from, start_id);
	if (!was_alive) {
		peers->discovered_us = from->hello_us;
		log_discovered(peers, from);
	}
	while (g_variant_iter_next(names, "&s", &ip))
		discover(peers, ip);
	record_start(peers, from, start_id);
	if (is_new)
		send_hello(peers, from);
	for (guint i = 0; is_new && i < peers->discovery_listeners->len; i++) {
		const struct discovery_listener *discovery_listener =
			&g_array_index(peers->discovery_listeners,
				       struct discovery_listener, i);

		discovery_listener->on_discovered(discovery_listener->userdata,
						  from->hash);
	}
	peers->options.on_config_version(peers->options.userdata, from->ip,
					 version);
}

static void handle_probe(struct direct_peers *peers, const struct peer *from)
{
	send_hello(peers, from);
}

static void handle_unreachable(struct direct_peers *peers, GVariant *body)
{
	guint64 upstream;
	gint64 ejection_us;

	g_variant_get(body, UNREACHABLE_TYPE, &upstream, &ejection_us);
	peers->options.on_unreachable(peers->options.userdata, upstream,
				      ejection_us);
}

static void handle_upstream_list(struct direct_peers *peers,
				 const struct peer *from, GVariant *body)
{
	guint64 hash;
	gint64 age_us;

	g_variant_get(body, UPSTREAM_LIST_TYPE, &hash, &age_us);
	peers->options.on_upstream_list(peers->options.userdata, from->ip, hash,
					age_us);
}

static void handle_list_changes(struct direct_peers *peers, GVariant *body)
{
	guint64 previous_hash;
	guint64 hash;
	gint64 age_us;
	const char *changes;

	g_variant_get(body, "(ttx&s)", &previous_hash, &hash, &age_us,
		      &changes);
	peers->options.on_list_changes(peers->options.userdata, previous_hash,
				       hash, age_us, changes);
}

static void handle_watch(struct direct_peers *peers, const struct peer *from,
			 GVariant *body)
{
	gint64 version;
	guint32 rank;
	gint64 age_us;
	guint64 list_hash;
	gint64 list_age_us;

	g_variant_get(body, WATCH_TYPE, &version, &rank, &age_us, &list_hash,
		      &list_age_us);
	peers->options.on_watch_report(peers->options.userdata, from->hash,
				       rank, version, age_us);
	peers->options.on_config_version(peers->options.userdata, from->ip,
					 version);
	if (list_hash)
		peers->options.on_upstream_list(peers->options.userdata,
						from->ip, list_hash,
						list_age_us);
}

static GVariant *read_body(const char *type, const char *bytes, gsize size)
{
	GVariant *body = g_variant_ref_sink(g_variant_new_from_data(
		G_VARIANT_TYPE(type), bytes, size, FALSE, NULL, NULL));

	if (g_variant_is_normal_form(body))
		return body;
	g_variant_unref(body);
	return NULL;
}

static void pass_to_listener(struct direct_peers *peers,
			     const struct peer *from, char kind, GVariant *body)
{
	const struct listener *listener = listener_of(peers, kind);

	if (listener)
		listener->handler(listener->userdata, from->hash, body);
}

static void note_received(struct direct_peers *peers, struct peer *peer)
{
	int64_t now_us = lp_now_us(peers->options.clock);

	if (now_us - peer->received_us > CONTACT_SILENCE_US)
		peer->contact_since_us = now_us;
	peer->received_us = now_us;
}

static void handle_datagram(struct direct_peers *peers, GSocketAddress *source,
			    const char *bytes, gsize size)
{
	GInetAddress *from = g_inet_socket_address_get_address(
		G_INET_SOCKET_ADDRESS(source));
	g_autofree char *ip = g_inet_address_to_string(from);
	struct peer *peer = get_or_add_peer(peers, ip);
	char kind = bytes[size - 1];
	const char *type = body_type(peers, kind);
	GVariant *body = type ? read_body(type, bytes, size - 1) : NULL;

	direct_traffic_count(peers->traffic,
			     body ? DIRECT_TRAFFIC_RECEIVED
				  : DIRECT_TRAFFIC_MALFORMED,
			     kind, size);
	if (!peer || !body) {
		if (body)
			g_variant_unref(body);
		return;
	}
	note_received(peers, peer);
	if (kind == KIND_HELLO)
		handle_hello(peers, peer, body);
	else if (kind == KIND_PROBE)
		handle_probe(peers, peer);
	else if (kind == KIND_UNREACHABLE)
		handle_unreachable(peers, body);
	else if (kind == KIND_UPSTREAM_LIST)
		handle_upstream_list(peers, peer, body);
	else if (kind == KIND_LIST_CHANGES)
		handle_list_changes(peers, body);
	else if (kind == KIND_WATCH)
		handle_watch(peers, peer, body);
	else
		pass_to_listener(peers, peer, kind, body);
	g_variant_unref(body);
}

static gboolean on_datagram(GSocket *socket, GIOCondition condition,
			    gpointer userdata)
{
	struct direct_peers *peers = userdata;
	_Alignas(8) char datagram[DATAGRAM_MAX];

	for (uint32_t i = 0; i < DATAGRAMS_PER_ITERATION; i++) {
		g_autoptr(GSocketAddress) source = NULL;
		gssize size =
			g_socket_receive_from(socket, &source, datagram,
					      sizeof(datagram), NULL, NULL);

		if (size <= 0)
			break;
		if (size > 1)
			handle_datagram(peers, source, datagram, (gsize)size);
	}
	return G_SOURCE_CONTINUE;
}

/* ---- start and end ---- */

static GSocket *open_socket(const char *ip, uint16_t port)
{
	g_autoptr(GSocketAddress) at =
		g_inet_socket_address_new_from_string(ip, port);
	g_autoptr(GSocket) socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
			     G_SOCKET_PROTOCOL_UDP, NULL);

	if (!at || !socket || !g_socket_bind(socket, at, TRUE, NULL))
		return NULL;
	g_socket_set_blocking(socket, FALSE);
	return g_steal_pointer(&socket);
}

struct direct_peers *
direct_peers_create(const struct direct_peers_options *options)
{
	GSocket *socket = open_socket(options->ip, options->port);
	struct direct_peers *peers;

	if (!socket)
		return NULL;
	peers = g_new0(struct direct_peers, 1);
	peers->options = *options;
	peers->traffic = direct_traffic_create(options->counters);
	peers->ip = g_strdup(options->ip);
	peers->seeds = g_strdupv((char **)options->seeds);
	peers->socket = socket;
	peers->config_version = -1;
	peers->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	peers->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	peers->known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	peers->round = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	peers->listeners = g_array_new(FALSE, FALSE, sizeof(struct listener));
	peers->discovery_listeners =
		g_array_new(FALSE, FALSE, sizeof(struct discovery_listener));
	peers->start_id = lp_random_u64();
	peers->started_us = lp_now_us(options->clock);
	if (!peers->options.slow_start_us)
		peers->options.slow_start_us = SLOW_START_DEFAULT_US;
	peers->source = g_socket_create_source(socket, G_IO_IN, NULL);
	g_source_set_callback(peers->source, G_SOURCE_FUNC(on_datagram), peers,
			      NULL);
	g_source_attach(peers->source, NULL);
	add_seeds(peers);
	send_hellos(peers);
	peers->hello_timer =
		lp_timer_add(HELLO_INTERVAL_MS, on_hello_timer, peers);
	peers->slow_start_timer = lp_timer_add(
		(guint)(peers->options.slow_start_us / LP_US_PER_MS) + 1,
		on_slow_start_end, peers);
	peers->initial_timer = lp_timer_add(INITIAL_HELLO_INTERVAL_MS,
					    on_initial_timer, peers);
	return peers;
}

void direct_peers_destroy(struct direct_peers *peers)
{
	if (!peers)
		return;
	g_source_remove(peers->hello_timer);
	if (peers->initial_timer)
		g_source_remove(peers->initial_timer);
	if (peers->slow_start_timer)
		g_source_remove(peers->slow_start_timer);
	if (peers->burst_timer)
		g_source_remove(peers->burst_timer);
	g_clear_pointer(&peers->round_hello, g_variant_unref);
	g_array_unref(peers->round);
	g_source_destroy(peers->source);
	g_source_unref(peers->source);
	g_object_unref(peers->socket);
	g_hash_table_unref(peers->by_hash);
	g_hash_table_unref(peers->peers);
	g_hash_table_unref(peers->known);
	g_array_unref(peers->listeners);
	g_array_unref(peers->discovery_listeners);
	g_strfreev(peers->seeds);
	direct_traffic_destroy(peers->traffic);
	g_free(peers->ip);
	g_free(peers);
}
