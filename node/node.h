/**
 * The parts common to every linepierd process, entry or agent: settings, the
 * wire socket, the configuration in force, the host list, the admin interface
 * and graceful shutdown. A role is added by callbacks (struct node_role).
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
	int64_t memory_mb;
	int64_t requests_max;
};

extern const struct lp_setting node_settings_table[];
extern const size_t node_settings_count;
/** Check settings and their combinations; appends messages to `errors`. */
void node_settings_check(const struct node_settings *settings,
			 GPtrArray *errors);

struct node;

/** Callbacks of a role. Each gets the role's own userdata. */
struct node_role {
	/** A message that the node did not handle itself. */
	void (*message)(void *userdata, const char *peer, struct wire_msg *msg);
	/** A configuration came into force. */
	void (*configured)(void *userdata, struct cfg_snapshot *snapshot);
	void (*hosts)(void *userdata, const struct store_hosts *hosts);
	/** Every NODE_TICK_MS. */
	void (*tick)(void *userdata);
	/** Notify peers of a new configuration revision or of the drain. */
	void (*announce)(void *userdata);
	/** Graceful shutdown began. */
	void (*drain)(void *userdata);
	/** Returns whether a draining process may exit now. */
	bool (*idle)(void *userdata);
	/** NULL when ready, else the reason as a line of text. */
	const char *(*unready_reason)(void *userdata);
	/** `prober`, an IP address, gets the answer to a readiness probe. The
	 * callback may be NULL. */
	void (*probed)(void *userdata, const char *prober);
	/** Update the role's gauges before metrics are printed. The callback
	 * may be NULL. */
	void (*gauges)(void *userdata);
	/** Add members to the status object. */
	void (*status)(void *userdata, JsonBuilder *builder);
};

#define NODE_TICK_MS 100
/** An entry sends no calls to an agent that was silent for this many beats. */
#define NODE_SILENCE_BEATS 2.8
/** Longest interval between an entry's HELLO messages to an agent. */
#define NODE_HELLO_INTERVAL_US (15 * LP_US_PER_S)

struct node_options {
	const struct node_settings *settings;
	const struct node_role *role;
	void *userdata;
};

/** Returns LP_OK or a negative error with a message in `*why` (g_free). */
int node_create(const struct node_options *options, struct node **out,
		char **why);
void node_destroy(struct node *node);
/** Run the event loop until the shutdown is complete. */
void node_run(struct node *node);
/** Begin a graceful shutdown, as SIGTERM does. */
void node_begin_drain(struct node *node);

const struct node_settings *node_settings(const struct node *node);
const struct lp_clock *node_clock(const struct node *node);
struct lp_counters *node_counters(const struct node *node);
struct trace *node_trace(const struct node *node);
struct store_kv *node_kv(const struct node *node);
/** Configuration in force, or NULL. Borrowed. */
struct cfg_snapshot *node_snapshot(const struct node *node);
uint64_t node_revision(const struct node *node);
/** Random number that identifies this start of the process; never 0. */
uint64_t node_incarnation(const struct node *node);
bool node_is_draining(const struct node *node);
/** Time at which a draining process exits even with work left; INT64_MAX
 * unless draining. */
int64_t node_drain_deadline_us(const struct node *node);
int node_send(struct node *node, const char *peer, const struct wire_msg *msg);
int node_connect(struct node *node, const char *peer, const char *address);
void node_disconnect(struct node *node, const char *address);
/** Record the configuration revision a peer has, and the age of the last
 * successful KV access that it knows of. */
void node_report_peer_revision(struct node *node, const char *peer,
			       uint64_t revision, uint32_t kv_age_ms);
/** Age of the last successful KV access known here, to report to peers. */
uint32_t node_kv_age_ms(const struct node *node);

#endif
