#include "node/node.h"

#include "base/lp_id.h"
#include "base/lp_json.h"
#include "base/lp_log.h"
#include "base/lp_timer.h"
#include "node/node_admin.h"
#include "policy/rendezvous.h"

#include <errno.h>
#include <glib-unix.h>
#include <malloc.h>
#include <signal.h>
#include <string.h>

#define CONFIG_READERS_PER_DOMAIN 3 /* processes that watch the KV */
/* An agent reads the KV itself if the last known access is older than this.
 * Entries learn of KV accesses with every beat, agents only with HELLOs. */
#define AGENT_KV_AGE_MAX_US (40 * LP_US_PER_S)
#define DRAIN_MIN_US (500 * LP_US_PER_MS) /* for drain notices to arrive */

struct node {
	struct node_options options;
	const struct node_settings *settings;
	const struct lp_clock *clock;
	struct lp_counters *counters;
	struct trace *trace;
	struct wire_sock *sock;
	struct store_kv *kv;
	struct store_hosts_client *hosts;
	struct config_propagation *propagation;
	struct cfg_snapshot *snapshot;
	struct node_admin *admin;
	GMainLoop *loop;
	uint64_t incarnation;
	int64_t drain_started_us; /* 0: not draining */
	bool interrupted;	  /* by SIGINT */
	guint tick_timer;
	guint signals[2];
};

/* ---- configuration ---- */

static void install_snapshot(struct node *node, struct cfg_snapshot *snapshot,
			     const char *from)
{
	if (!config_propagation_accept(node->propagation, snapshot->revision)) {
		cfg_snapshot_unref(snapshot);
		return;
	}
	cfg_snapshot_unref(node->snapshot);
	node->snapshot = snapshot;
	lp_log(LP_LOG_INFO, "node", NULL,
	       "configuration %" G_GUINT64_FORMAT " in force, from %s",
	       snapshot->revision, from);
	node->options.role->configured(node->options.userdata, snapshot);
	/* Parsing used many times the memory that is kept. */
	malloc_trim(0);
	node->options.role->announce(node->options.userdata);
}

static void reject_record(struct node *node, const char *from)
{
	*lp_counter(node->counters, "linepier_config_rejected_total", NULL) +=
		1;
	lp_log(LP_LOG_ERROR, "node", NULL,
	       "rejected an invalid configuration from %s; the last valid one "
	       "stays in force",
	       from);
}

static void handle_record(struct node *node, const struct store_pair *pair)
{
	struct cfg_record *record;
	struct cfg_snapshot *snapshot;

	if (cfg_record_parse(pair->value, &record)) {
		reject_record(node, "the KV");
		return;
	}
	if (record->revision < config_propagation_revision(node->propagation)) {
		*lp_counter(node->counters, "linepier_config_old_reads_total",
			    NULL) += 1;
	} else if (record->revision >
		   config_propagation_revision(node->propagation)) {
		if (cfg_snapshot_create(record, &snapshot))
			reject_record(node, "the KV");
		else
			install_snapshot(node, snapshot, "the KV");
	}
	cfg_record_destroy(record);
}

static void on_record_read(void *userdata, const struct store_answer *answer)
{
	struct node *node = userdata;

	if (!answer->error && answer->pairs_count)
		handle_record(node, &answer->pairs[0]);
	config_propagation_read_done(node->propagation, !answer->error);
}

static void read_record(struct node *node)
{
	node->kv->ops->range(node->kv, "config_read", CFG_KEY, false,
			     on_record_read, node);
}

static void on_revision_read(void *userdata, const struct store_answer *answer)
{
	struct node *node = userdata;
	uint64_t revision = 0;

	if (!answer->error && answer->pairs_count)
		revision = g_ascii_strtoull(answer->pairs[0].value, NULL, 10);
	if (revision > config_propagation_revision(node->propagation))
		read_record(node);
	else
		config_propagation_read_done(node->propagation, !answer->error);
}

/* The revision number has a separate key, so polling it often is cheap. */
static void read_revision(void *userdata)
{
	struct node *node = userdata;

	node->kv->ops->range(node->kv, "config_number", CFG_NUMBER_KEY, false,
			     on_revision_read, node);
}

static void on_record_changed(void *userdata, const struct store_pair *pair)
{
	handle_record(userdata, pair);
}

static void on_watch_ended(void *userdata, int error)
{
	struct node *node = userdata;

	config_propagation_watch_ended(node->propagation);
}

static void set_config_watch(void *userdata, bool on)
{
	struct node *node = userdata;
	const struct store_watch watch = {
		.key = CFG_KEY,
		.changed = on_record_changed,
		.ended = on_watch_ended,
		.userdata = node,
	};

	if (on)
		node->kv->ops->watch(node->kv, "config_watch", &watch);
	else
		node->kv->ops->unwatch(node->kv);
}

static void request_config(void *userdata, const char *peer)
{
	struct node *node = userdata;
	const struct wire_msg msg = {
		.type = WIRE_CONFIG_GET,
		.u.config_get.have =
			config_propagation_revision(node->propagation),
	};

	node_send(node, peer, &msg);
}

static const struct config_propagation_ops config_propagation_ops = {
	.read = read_revision,
	.watch = set_config_watch,
	.pull = request_config,
};

static void send_config_body(struct node *node, const char *peer,
			     const struct wire_config_get *get)
{
	struct wire_msg msg = { .type = WIRE_CONFIG_BODY };

	if (!node->snapshot || node->snapshot->revision <= get->have)
		return;
	msg.u.config_body.revision = node->snapshot->revision;
	msg.u.config_body.packed = node->snapshot->packed;
	node_send(node, peer, &msg);
	*lp_counter(node->counters, "linepier_config_bodies_sent_total",
		    NULL) += 1;
}

static void handle_config_body(struct node *node, const char *peer,
			       const struct wire_config_body *body)
{
	struct cfg_snapshot *snapshot;

	if (body->revision <= config_propagation_revision(node->propagation))
		return;
	if (cfg_snapshot_unpack(body->packed, &snapshot))
		reject_record(node, peer);
	else
		install_snapshot(node, snapshot, peer);
}

void node_report_peer_revision(struct node *node, const char *peer,
			       uint64_t revision, uint32_t kv_age_ms)
{
	config_propagation_handle_revision(node->propagation, peer, revision);
	config_propagation_handle_kv_age(node->propagation,
					 kv_age_ms * LP_US_PER_MS);
}

uint32_t node_kv_age_ms(const struct node *node)
{
	int64_t age_ms =
		config_propagation_kv_age_us(node->propagation) / LP_US_PER_MS;

	return (uint32_t)MIN(age_ms, G_MAXUINT32);
}

/* ---- messages ---- */

static void on_message(void *userdata, const char *peer, struct wire_msg *msg)
{
	struct node *node = userdata;

	if (msg->type == WIRE_CONFIG_GET)
		send_config_body(node, peer, &msg->u.config_get);
	else if (msg->type == WIRE_CONFIG_BODY)
		handle_config_body(node, peer, &msg->u.config_body);
	else
		node->options.role->message(node->options.userdata, peer, msg);
}

int node_send(struct node *node, const char *peer, const struct wire_msg *msg)
{
	return wire_sock_send(node->sock, peer, msg);
}

int node_connect(struct node *node, const char *peer, const char *address)
{
	return wire_sock_connect(node->sock, peer, address);
}

void node_disconnect(struct node *node, const char *address)
{
	wire_sock_disconnect(node->sock, address);
}

/* ---- hosts ---- */

static void elect_readers(struct node *node, const struct store_hosts *hosts)
{
	struct rendezvous_host *members =
		g_new0(struct rendezvous_host, hosts->count + 1);
	uint32_t count = 0;

	for (uint32_t i = 0; i < hosts->count; i++) {
		if (hosts->hosts[i].leaving)
			continue;
		members[count].id = hosts->hosts[i].id;
		members[count].domain = hosts->hosts[i].domain;
		count += 1;
	}
	config_propagation_set_reader(
		node->propagation,
		rendezvous_is_reader(node->settings->host,
				     node->settings->domain, members, count,
				     CONFIG_READERS_PER_DOMAIN),
		hosts->count);
	g_free(members);
}

static void on_hosts(void *userdata, const struct store_hosts *hosts)
{
	struct node *node = userdata;

	elect_readers(node, hosts);
	node->options.role->hosts(node->options.userdata, hosts);
}

static void on_hosts_failed(void *userdata)
{
	struct node *node = userdata;

	*lp_counter(node->counters, "linepier_hosts_failures_total", NULL) += 1;
}

/* ---- admin ---- */

static void set_gauge(struct node *node, const char *name, int64_t value)
{
	*lp_counter(node->counters, name, NULL) = value;
}

static void admin_metrics(void *userdata, GString *out)
{
	struct node *node = userdata;
	const struct wire_sock_stats *stats = wire_sock_stats(node->sock);

	set_gauge(node, "linepier_wire_sent_total", (int64_t)stats->sent);
	set_gauge(node, "linepier_wire_sent_bytes_total",
		  (int64_t)stats->sent_bytes);
	set_gauge(node, "linepier_wire_received_total",
		  (int64_t)stats->received);
	set_gauge(node, "linepier_wire_received_bytes_total",
		  (int64_t)stats->received_bytes);
	set_gauge(node, "linepier_wire_malformed_total",
		  (int64_t)stats->malformed);
	set_gauge(node, "linepier_wire_unsendable_total",
		  (int64_t)stats->unsendable);
	set_gauge(node, "linepier_config_revision",
		  (int64_t)node_revision(node));
	if (node->snapshot)
		set_gauge(node, "linepier_config_packed_bytes",
			  (int64_t)g_bytes_get_size(node->snapshot->packed));
	set_gauge(node, "linepier_config_reader",
		  config_propagation_is_reader(node->propagation));
	if (node->options.role->gauges)
		node->options.role->gauges(node->options.userdata);
	lp_counters_print(node->counters, out);
}

static const char *admin_unready_reason(void *userdata)
{
	struct node *node = userdata;

	if (node->drain_started_us)
		return "leaving\n";
	if (!node->snapshot)
		return "no configuration received yet\n";
	return node->options.role->unready_reason(node->options.userdata);
}

static void admin_probe(void *userdata, const char *prober)
{
	struct node *node = userdata;

	if (node->options.role->probed)
		node->options.role->probed(node->options.userdata, prober);
}

static void admin_status(void *userdata, JsonBuilder *builder)
{
	struct node *node = userdata;
	const char *why = admin_unready_reason(node);

	lp_json_text(builder, "host", node->settings->host);
	lp_json_text(builder, "domain", node->settings->domain);
	lp_json_text(builder, "role",
		     node->settings->role == NODE_ROLE_ENTRY ? "entry"
							     : "agent");
	lp_json_int(builder, "revision", (int64_t)node_revision(node));
	lp_json_int(builder, "revision_since_us",
		    node->snapshot ? node->snapshot->since_us : 0);
	lp_json_int(builder, "revision_heard",
		    (int64_t)config_propagation_highest_revision(
			    node->propagation));
	lp_json_bool(builder, "reader",
		     config_propagation_is_reader(node->propagation));
	lp_json_text(builder, "state",
		     node->drain_started_us ? "leaving"
		     : why		    ? "unready"
					    : "ready");
	node->options.role->status(node->options.userdata, builder);
}

/* ---- lifecycle ---- */

void node_begin_drain(struct node *node)
{
	if (node->drain_started_us)
		return;
	node->drain_started_us = lp_now_us(node->clock);
	lp_log(LP_LOG_INFO, "node", NULL, "leaving");
	node->options.role->drain(node->options.userdata);
	node->options.role->announce(node->options.userdata);
}

/* SIGTERM may be repeated by a service manager, or follow an operator's drain.
 */
static gboolean on_term(gpointer userdata)
{
	node_begin_drain(userdata);
	return G_SOURCE_CONTINUE;
}

/* A second SIGINT, from a user at a terminal, skips the drain. */
static gboolean on_interrupt(gpointer userdata)
{
	struct node *node = userdata;

	if (node->interrupted) {
		lp_log(LP_LOG_WARN, "node", NULL,
		       "interrupted twice: exiting at once");
		g_main_loop_quit(node->loop);
	}
	node->interrupted = true;
	node_begin_drain(node);
	return G_SOURCE_CONTINUE;
}

static void check_drained(struct node *node)
{
	int64_t now_us = lp_now_us(node->clock);

	if (now_us - node->drain_started_us < DRAIN_MIN_US)
		return;
	if (!node->options.role->idle(node->options.userdata) &&
	    now_us < node_drain_deadline_us(node))
		return;
	lp_log(LP_LOG_INFO, "node", NULL, "left");
	g_main_loop_quit(node->loop);
}

static gboolean on_tick(gpointer userdata)
{
	struct node *node = userdata;

	config_propagation_tick(node->propagation);
	node->options.role->tick(node->options.userdata);
	if (node->drain_started_us)
		check_drained(node);
	return G_SOURCE_CONTINUE;
}

static int open_sock(struct node *node, char **why)
{
	const struct node_settings *settings = node->settings;
	bool curve = *settings->curve_public;
	const struct wire_sock_options options = {
		.routing_id = settings->host,
		.bind = settings->bind,
		.curve_public = curve ? settings->curve_public : NULL,
		.curve_secret = curve ? settings->curve_secret : NULL,
		.on_message = on_message,
		.userdata = node,
	};
	int error = wire_sock_create(&options, &node->sock);

	if (error)
		*why = g_strdup_printf("cannot bind %s: %s", settings->bind,
				       error == LP_ERROR_SYSTEM
					       ? g_strerror(errno)
					       : "bad CURVE keys");
	return error;
}

static int open_admin(struct node *node, char **why)
{
	const struct node_admin_options options = {
		.address = node->settings->admin,
		.node = node,
		.metrics = admin_metrics,
		.status = admin_status,
		.unready_reason = admin_unready_reason,
		.probed = admin_probe,
		.userdata = node,
	};

	return node_admin_create(&options, &node->admin, why);
}

static void create_platform_clients(struct node *node)
{
	const struct store_etcd_options kv = {
		.url = node->settings->kv_url,
		.clock = node->clock,
		.counters = node->counters,
		.calls_per_s = (double)node->settings->kv_calls_per_s,
	};
	const struct store_hosts_options hosts = {
		.url = node->settings->hosts_url,
		.poll_us = node->settings->hosts_poll_ms * LP_US_PER_MS,
		.changed = on_hosts,
		.failed = on_hosts_failed,
		.userdata = node,
	};
	const struct config_propagation_options options = {
		.clock = node->clock,
		.ops = &config_propagation_ops,
		.userdata = node,
		.seed = node->incarnation,
		.takeover_after_us = node->settings->role == NODE_ROLE_AGENT
					     ? AGENT_KV_AGE_MAX_US
					     : 0,
		.watch_always = node->settings->config_watch_all,
	};

	node->kv = store_etcd_create(&kv);
	node->propagation = config_propagation_create(&options);
	node->hosts = store_hosts_create(&hosts);
}

int node_create(const struct node_options *options, struct node **out,
		char **why)
{
	struct node *node = g_new0(struct node, 1);
	int error;

	node->options = *options;
	node->settings = options->settings;
	node->clock = lp_clock_boot();
	node->counters = lp_counters_create();
	node->trace = trace_create((uint32_t)node->settings->trace_events);
	node->incarnation = lp_random_u64();
	node->loop = g_main_loop_new(NULL, FALSE);
	error = open_sock(node, why);
	if (!error)
		error = open_admin(node, why);
	if (error) {
		node_destroy(node);
		return error;
	}
	create_platform_clients(node);
	node->tick_timer = lp_timer_add(NODE_TICK_MS, on_tick, node);
	node->signals[0] = g_unix_signal_add(SIGTERM, on_term, node);
	node->signals[1] = g_unix_signal_add(SIGINT, on_interrupt, node);
	*out = node;
	return LP_OK;
}

void node_destroy(struct node *node)
{
	if (!node)
		return;
	if (node->tick_timer)
		g_source_remove(node->tick_timer);
	for (size_t i = 0; i < G_N_ELEMENTS(node->signals); i++)
		if (node->signals[i])
			g_source_remove(node->signals[i]);
	store_hosts_destroy(node->hosts);
	store_kv_destroy(node->kv);
	config_propagation_destroy(node->propagation);
	node_admin_destroy(node->admin);
	wire_sock_destroy(node->sock);
	cfg_snapshot_unref(node->snapshot);
	trace_destroy(node->trace);
	lp_counters_destroy(node->counters);
	g_main_loop_unref(node->loop);
	g_free(node);
}

void node_run(struct node *node)
{
	g_main_loop_run(node->loop);
}

const struct node_settings *node_settings(const struct node *node)
{
	return node->settings;
}

const struct lp_clock *node_clock(const struct node *node)
{
	return node->clock;
}

struct lp_counters *node_counters(const struct node *node)
{
	return node->counters;
}

struct trace *node_trace(const struct node *node)
{
	return node->trace;
}

struct store_kv *node_kv(const struct node *node)
{
	return node->kv;
}

struct cfg_snapshot *node_snapshot(const struct node *node)
{
	return node->snapshot;
}

uint64_t node_revision(const struct node *node)
{
	return config_propagation_revision(node->propagation);
}

uint64_t node_incarnation(const struct node *node)
{
	return node->incarnation;
}

bool node_is_draining(const struct node *node)
{
	return node->drain_started_us;
}

int64_t node_drain_deadline_us(const struct node *node)
{
	if (!node->drain_started_us)
		return INT64_MAX;
	return node->drain_started_us +
	       node->settings->drain_max_ms * LP_US_PER_MS;
}
