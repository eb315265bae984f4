/* Connections of an entry to its subset of agents and to other entries. */
#include "base/lp_log.h"
#include "entry/entry_private.h"
#include "policy/rendezvous.h"

#include <string.h>

#define HELLO_RETRY_US (500 * LP_US_PER_MS) /* to an unresponsive agent */
#define HELLO_RETRY_BEATS 1.4
#define AGENTS_PER_SERVICE_MIN 4 /* even beyond agents_total */

struct conn {
	char *name; /* of the connection, unique: "HOST#N", "to:HOST#N" */
	char *host;
	char *service; /* "" for an entry */
	char *domain;
	char *address;
	int64_t hello_sent_us; /* when the last HELLO was sent */
	bool wanted;
};

struct entry_peers {
	struct entry *entry;
	GHashTable *agents;		  /* host to conn */
	GHashTable *agents_by_connection; /* connection's name to conn */
	GHashTable *entries;	 /* host to conn, connected on demand */
	GPtrArray *live_entries; /* hosts of live entries, self included */
	uint64_t serial;
};

static void free_conn(gpointer data)
{
	struct conn *conn = data;

	g_free(conn->name);
	g_free(conn->host);
	g_free(conn->service);
	g_free(conn->domain);
	g_free(conn->address);
	g_free(conn);
}

struct entry_peers *entry_peers_create(struct entry *entry)
{
	struct entry_peers *peers = g_new0(struct entry_peers, 1);

	peers->entry = entry;
	peers->agents =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_conn);
	peers->agents_by_connection = g_hash_table_new(g_str_hash, g_str_equal);
	peers->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_conn);
	peers->live_entries = g_ptr_array_new_with_free_func(g_free);
	return peers;
}

void entry_peers_destroy(struct entry_peers *peers)
{
	if (!peers)
		return;
	g_hash_table_unref(peers->agents_by_connection);
	g_hash_table_unref(peers->agents);
	g_hash_table_unref(peers->entries);
	g_ptr_array_unref(peers->live_entries);
	g_free(peers);
}

static struct conn *open_conn(struct entry_peers *peers,
			      const struct store_host *host)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->name = g_strdup_printf("%s#%" G_GUINT64_FORMAT, host->id,
				     ++peers->serial);
	conn->host = g_strdup(host->id);
	conn->service = g_strdup(host->service);
	conn->domain = g_strdup(host->domain);
	conn->address = g_strdup(host->address);
	if (node_connect(peers->entry->node, conn->name, conn->address))
		lp_log(LP_LOG_WARN, "entry", NULL, "cannot connect to %s at %s",
		       conn->host, conn->address);
	return conn;
}

static void send_hello(struct entry_peers *peers, struct conn *conn)
{
	struct node *node = peers->entry->node;
	const struct wire_msg msg = {
		.type = WIRE_HELLO,
		.u.hello.incarnation = node_incarnation(node),
		.u.hello.revision = node_revision(node),
		.u.hello.kv_age_ms = node_kv_age_ms(node),
	};

	node_send(node, conn->name, &msg);
	conn->hello_sent_us = entry_now_us(peers->entry);
}

static struct route_upstream *find_upstream(const struct entry_peers *peers,
					    const struct conn *conn)
{
	struct route *route = flow_route(peers->entry->flow, conn->service);

	return route_find(route, conn->host);
}

static void open_agent(struct entry_peers *peers, const struct store_host *host)
{
	struct conn *conn = open_conn(peers, host);

	g_hash_table_insert(peers->agents, conn->host, conn);
	g_hash_table_insert(peers->agents_by_connection, conn->name, conn);
	route_find_or_add(flow_route(peers->entry->flow, conn->service),
			  conn->host, conn->domain);
	send_hello(peers, conn);
}

static void close_agent(struct entry_peers *peers, struct conn *conn)
{
	flow_agent_removed(peers->entry->flow, conn->service, conn->host);
	entry_rearm_timer(peers->entry);
	node_disconnect(peers->entry->node, conn->address);
	g_hash_table_remove(peers->agents_by_connection, conn->name);
	g_hash_table_remove(peers->agents, conn->host);
}

/* ---- the host list ---- */

/* Maps each service to the indices of its agents in the host list. */
static GHashTable *group_by_service(const struct store_hosts *hosts)
{
	GHashTable *groups = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_array_unref);

	for (uint32_t i = 0; i < hosts->count; i++) {
		const struct store_host *host = &hosts->hosts[i];
		GArray *group;

		if (host->role != STORE_ROLE_AGENT)
			continue;
		group = g_hash_table_lookup(groups, host->service);
		if (!group) {
			group = g_array_new(FALSE, FALSE, sizeof(uint32_t));
			g_hash_table_insert(groups, host->service, group);
		}
		g_array_append_val(group, i);
	}
	return groups;
}

static void update_agent(struct entry_peers *peers,
			 const struct store_host *host)
{
	struct conn *conn = g_hash_table_lookup(peers->agents, host->id);
	struct route_upstream *upstream;

	if (conn && (strcmp(conn->address, host->address) != 0 ||
		     strcmp(conn->service, host->service) != 0)) {
		close_agent(peers, conn);
		conn = NULL;
	}
	if (!conn) {
		open_agent(peers, host);
		conn = g_hash_table_lookup(peers->agents, host->id);
	}
	conn->wanted = true;
	upstream = find_upstream(peers, conn);
	if (upstream)
		upstream->listed_draining = host->leaving;
}

/* An equal share of agents_total, at least AGENTS_PER_SERVICE_MIN and at most
 * agents_max. */
static uint32_t max_agents_per_service(const struct entry_peers *peers,
				       uint32_t services)
{
	const struct node_settings *settings = peers->entry->settings;
	int64_t service_share = settings->agents_total / MAX(1, services);

	return (uint32_t)MIN(settings->agents_max,
			     MAX(service_share, AGENTS_PER_SERVICE_MIN));
}

static void select_agents(struct entry_peers *peers,
			  const struct store_hosts *hosts, const GArray *group,
			  uint32_t max_agents)
{
	struct rendezvous_host *members =
		g_new0(struct rendezvous_host, group->len + 1);
	bool *chosen = g_new0(bool, group->len + 1);
	const char *self = peers->entry->settings->host;

	for (guint i = 0; i < group->len; i++) {
		const struct store_host *host =
			&hosts->hosts[g_array_index(group, uint32_t, i)];

		members[i].id = host->id;
		members[i].domain = host->domain;
	}
	rendezvous_subset(self, members, group->len, max_agents, chosen);
	for (guint i = 0; i < group->len; i++)
		if (chosen[i])
			update_agent(peers, &hosts->hosts[g_array_index(
						    group, uint32_t, i)]);
	g_free(members);
	g_free(chosen);
}

/* The host list lags: an unlisted agent stays connected while it sends beats
 * or has requests in flight. */
static bool can_close(const struct entry_peers *peers, const struct conn *conn)
{
	const struct route_upstream *upstream = find_upstream(peers, conn);

	return !upstream || (upstream->silent && !upstream->inflight);
}

static void close_unwanted(struct entry_peers *peers)
{
	g_autoptr(GPtrArray) unwanted = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct conn *conn = value;

		if (!conn->wanted && can_close(peers, conn))
			g_ptr_array_add(unwanted, conn);
	}
	for (guint i = 0; i < unwanted->len; i++)
		close_agent(peers, g_ptr_array_index(unwanted, i));
}

static void close_entry(struct entry_peers *peers, struct conn *conn)
{
	node_disconnect(peers->entry->node, conn->address);
	g_hash_table_remove(peers->entries, conn->host);
}

static void update_entry(struct entry_peers *peers,
			 const struct store_host *host)
{
	const char *self = peers->entry->settings->host;
	struct conn *conn = g_hash_table_lookup(peers->entries, host->id);

	if (!host->leaving)
		g_ptr_array_add(peers->live_entries, g_strdup(host->id));
	if (!strcmp(host->id, self))
		return;
	if (conn && strcmp(conn->address, host->address) != 0) {
		close_entry(peers, conn);
		conn = NULL;
	}
	if (!conn) {
		conn = g_new0(struct conn, 1);
		conn->host = g_strdup(host->id);
		conn->address = g_strdup(host->address);
		g_hash_table_insert(peers->entries, conn->host, conn);
	}
	conn->wanted = true;
}

static void set_wanted(GHashTable *conns, bool wanted)
{
	GHashTableIter iter;
	gpointer conn;

	g_hash_table_iter_init(&iter, conns);
	while (g_hash_table_iter_next(&iter, NULL, &conn))
		((struct conn *)conn)->wanted = wanted;
}

static void update_entries(struct entry_peers *peers,
			   const struct store_hosts *hosts)
{
	g_autoptr(GPtrArray) unlisted = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(peers->live_entries, 0);
	set_wanted(peers->entries, false);
	for (uint32_t i = 0; i < hosts->count; i++)
		if (hosts->hosts[i].role == STORE_ROLE_ENTRY)
			update_entry(peers, &hosts->hosts[i]);
	g_hash_table_iter_init(&iter, peers->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((struct conn *)value)->wanted)
			g_ptr_array_add(unlisted, value);
	for (guint i = 0; i < unlisted->len; i++)
		close_entry(peers, g_ptr_array_index(unlisted, i));
}

void entry_peers_set_hosts(struct entry_peers *peers,
			   const struct store_hosts *hosts)
{
	g_autoptr(GHashTable) groups = group_by_service(hosts);
	uint32_t max_agents =
		max_agents_per_service(peers, g_hash_table_size(groups));
	GHashTableIter iter;
	gpointer group;

	set_wanted(peers->agents, false);
	g_hash_table_iter_init(&iter, groups);
	while (g_hash_table_iter_next(&iter, NULL, &group))
		select_agents(peers, hosts, group, max_agents);
	close_unwanted(peers);
	update_entries(peers, hosts);
}

/* ---- hellos ---- */

static bool is_usable(const struct entry_peers *peers, const struct conn *conn)
{
	const struct route_upstream *upstream = find_upstream(peers, conn);

	return upstream && !upstream->silent && !upstream->draining;
}

/*
 * An agent that is draining, or missed a beat, may have been replaced by an
 * incarnation that has not received a HELLO from this entry.
 */
static bool may_have_restarted(const struct entry_peers *peers,
			       const struct conn *conn, int64_t now_us)
{
	const struct route_upstream *upstream = find_upstream(peers, conn);
	int64_t beat_us = peers->entry->settings->beat_ms * LP_US_PER_MS;

	return !is_usable(peers, conn) ||
	       now_us - upstream->report_received_us >
		       beat_us * HELLO_RETRY_BEATS;
}

void entry_peers_tick(struct entry_peers *peers)
{
	int64_t now_us = entry_now_us(peers->entry);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct conn *conn = value;
		int64_t after_us = may_have_restarted(peers, conn, now_us)
					   ? HELLO_RETRY_US
					   : NODE_HELLO_INTERVAL_US;

		if (now_us - conn->hello_sent_us >= after_us)
			send_hello(peers, conn);
	}
	close_unwanted(peers);
}

void entry_peers_send_hellos(struct entry_peers *peers)
{
	GHashTableIter iter;
	gpointer conn;

	g_hash_table_iter_init(&iter, peers->agents);
	while (g_hash_table_iter_next(&iter, NULL, &conn))
		send_hello(peers, conn);
}

/* ---- messages ---- */

int entry_peers_send_agent(struct entry_peers *peers, const char *host,
			   const struct wire_msg *msg)
{
	struct conn *conn = g_hash_table_lookup(peers->agents, host);

	if (!conn)
		return LP_ERROR_UPSTREAM_GONE;
	return node_send(peers->entry->node, conn->name, msg);
}

/*
 * An outgoing connection has a separate name ("to:HOST#N"), since the host id
 * names the incoming connection if the other entry connected to this one.
 */
int entry_peers_send_entry(struct entry_peers *peers, const char *host,
			   const struct wire_msg *msg)
{
	struct conn *conn = g_hash_table_lookup(peers->entries, host);
	struct node *node = peers->entry->node;

	if (!conn)
		return LP_ERROR_UPSTREAM_GONE;
	if (!conn->name) {
		conn->name = g_strdup_printf("to:%s#%" G_GUINT64_FORMAT, host,
					     ++peers->serial);
		if (node_connect(node, conn->name, conn->address))
			return LP_ERROR_UPSTREAM_GONE;
	}
	return node_send(node, conn->name, msg);
}

bool entry_peers_agent_report(struct entry_peers *peers, const char *peer,
			      const struct wire_load *load,
			      struct flow_report *out)
{
	const struct conn *conn =
		g_hash_table_lookup(peers->agents_by_connection, peer);

	if (!conn)
		return false;
	out->service = conn->service;
	out->agent = conn->host;
	out->domain = conn->domain;
	out->load = (struct route_report){
		.incarnation = load->incarnation,
		.agent_time_us = load->agent_time_us,
		.revision = load->revision,
		.queued = load->queued,
		.running = load->running,
		.limit = load->limit,
		.wait_us = load->wait_us,
		.run_us = load->run_us,
		.draining = load->leaving,
	};
	node_report_peer_revision(peers->entry->node, peer, load->revision,
				  load->kv_age_ms);
	return true;
}

/* ---- queries ---- */

uint32_t entry_peers_live_entry_count(const struct entry_peers *peers)
{
	return MAX(1, peers->live_entries->len);
}

const char *entry_peers_quota_holder(const struct entry_peers *peers,
				     const char *organisation)
{
	struct rendezvous_host *members =
		g_new0(struct rendezvous_host, peers->live_entries->len + 1);
	const struct rendezvous_host *owner;
	const char *host = peers->entry->settings->host;

	for (guint i = 0; i < peers->live_entries->len; i++) {
		members[i].id = g_ptr_array_index(peers->live_entries, i);
		members[i].domain = "";
	}
	owner = rendezvous_owner(organisation, members,
				 peers->live_entries->len);
	if (owner)
		host = owner->id;
	g_free(members);
	return host;
}

uint32_t entry_peers_agent_count(const struct entry_peers *peers)
{
	return g_hash_table_size(peers->agents);
}

uint32_t entry_peers_usable_agent_count(const struct entry_peers *peers)
{
	uint32_t usable = 0;
	GHashTableIter iter;
	gpointer conn;

	g_hash_table_iter_init(&iter, peers->agents);
	while (g_hash_table_iter_next(&iter, NULL, &conn))
		usable += is_usable(peers, conn);
	return usable;
}
