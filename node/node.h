/**
 * What every linepierd process has, whatever its role: settings, the wire
 * socket, the configuration in force, the host list, the admin interface,
 * and the order of shutting down.
 */
#ifndef NODE_H
#define NODE_H

#include "base/lp_clock.h"
#include "base/lp_counter.h"
#include "base/lp_settings.h"
#include "config/cfg_record.h"
#include "policy/config_propagation.h"
#include "policy/trace.h"
#include "store/store_etcd.h"
#include "store/store_hosts.h"
#include "wire/wire_sock.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

enum node_role_id {
	NODE_ROLE_ENTRY,
	NODE_ROLE_AGENT,
};

/** All settings of linepierd; see node_settings_table. */
struct node_settings {
	int64_t role; /**< enum node_role_id */
	char *host;
	char *domain;
	char *service;
	char *listen;
	char *bind;
	char *admin;
	char *kv_url;
	char *hosts_url;
	char *upstream_url;
	char *curve_public;
	char *curve_secret;
	int64_t log_level;
	int64_t naive;
	int64_t affinity;
	int64_t config_watch_all;
	int64_t agents_max;
	int64_t agents_total;
	int64_t beat_ms;
	int64_t hosts_poll_ms;
	int64_t drain_wait_ms;
	int64_t drain_max_ms;
	int64_t probe_interval_ms;
	int64_t body_max;
	int64_t read_timeout_ms;
	int64_t age_limit_ms;
	int64_t queue_max;
	int64_t kv_calls_per_s;
	int64_t key_keep_ms;
	int64_t trace_events;
	int64_t requests_max;
};

extern const struct lp_setting node_settings_table[];
extern const size_t node_settings_count;
/** Checks across settings; adds lines to `errors`. */
void node_settings_check(const struct node_settings *settings,
			 GPtrArray *errors);

struct node;

/** What a role brings. Every callback gets the role's own userdata. */
struct node_role {
	/** A message that the node did not take care of itself. */
	void (*message)(void *userdata, const char *peer, struct wire_msg *msg);
	/** A configuration came into force. */
	void (*configured)(void *userdata, struct cfg_snapshot *snapshot);
	void (*hosts)(void *userdata, const struct store_hosts *hosts);
	/** Every NODE_TICK_MS. */
	void (*tick)(void *userdata);
	/** Tell peers of a new revision or of leaving. */
	void (*announce)(void *userdata);
	/** Shutdown has begun. */
	void (*leave)(void *userdata);
	/** May the process end now? */
	bool (*idle)(void *userdata);
	/** NULL when ready for work, else why not. */
	const char *(*unready)(void *userdata);
	/** `prober`, an IP address, is given that as an answer; or NULL. */
	void (*probed)(void *userdata, const char *prober);
	/** Set the role's gauges, which are about to be printed; or NULL. */
	void (*gauges)(void *userdata);
	/** Add members to the status object. */
	void (*status)(void *userdata, JsonBuilder *builder);
};

#define NODE_TICK_MS 100
/** Without a word of an agent for so many beats an entry sends it no calls. */
#define NODE_BEATS_SILENT 2.8
/** An entry says hello to each of its agents at least so often. */
#define NODE_HELLO_US (15 * LP_US_PER_S)

struct node_options {
	const struct node_settings *settings;
	const struct node_role *role;
	void *userdata;
};

/** Returns LP_OK or a negative error with a line in `*why` (g_free). */
int node_create(const struct node_options *options, struct node **out,
		char **why);
void node_destroy(struct node *node);
/** Run until shut down. */
void node_run(struct node *node);
/** Begin a graceful shutdown, as SIGTERM does. */
void node_leave(struct node *node);

const struct node_settings *node_settings(const struct node *node);
const struct lp_clock *node_clock(const struct node *node);
struct lp_counters *node_counters(const struct node *node);
struct trace *node_trace(const struct node *node);
struct store_kv *node_kv(const struct node *node);
/** Configuration in force, or NULL. Borrowed. */
struct cfg_snapshot *node_snapshot(const struct node *node);
uint64_t node_revision(const struct node *node);
/** Random, of this process's start; never 0. */
uint64_t node_incarnation(const struct node *node);
bool node_leaving(const struct node *node);
/** When the process ends though work is left; INT64_MAX unless it leaves. */
int64_t node_ends_us(const struct node *node);
int node_send(struct node *node, const char *peer, const struct wire_msg *msg);
int node_connect(struct node *node, const char *peer, const char *address);
void node_disconnect(struct node *node, const char *address);
/** A peer showed this revision, and how long ago someone reached the KV. */
void node_heard_revision(struct node *node, const char *peer, uint64_t revision,
			 uint32_t kv_age_ms);
/** What to tell peers of that. */
uint32_t node_kv_age_ms(const struct node *node);

#endif
