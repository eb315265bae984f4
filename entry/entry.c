#include "entry/entry.h"

#include "base/lp_json.h"
#include "base/lp_log.h"
#include "entry/entry_private.h"

#include <string.h>

#define SOCKET_FLUSH_US (200 * LP_US_PER_MS) /* to send last answers */
/* Time before the end of the process at which unfinished requests are failed,
 * so that their callers still get an answer. */
#define FINAL_ANSWERS_US (2 * SOCKET_FLUSH_US)

void entry_increment_counter(struct entry *entry, const char *name,
			     const char *label, const char *value)
{
	g_autofree char *labels =
		label ? g_strdup_printf("%s=\"%s\"", label, value) : NULL;

	*lp_counter(node_counters(entry->node), name, labels) += 1;
}

/* ---- the flow's timer ---- */

static gboolean timer_dispatch(GSource *source, GSourceFunc callback,
			       gpointer userdata)
{
	return callback(userdata);
}

static GSourceFuncs timer_funcs = {
	NULL, NULL, timer_dispatch, NULL, NULL, NULL
};

void entry_rearm_timer(struct entry *entry)
{
	int64_t next_us = flow_next_us(entry->flow);

	g_source_set_ready_time(entry->timer,
				next_us == INT64_MAX ? -1 : next_us);
}

static gboolean on_timer(gpointer userdata)
{
	struct entry *entry = userdata;

	flow_tick(entry->flow);
	entry_rearm_timer(entry);
	return G_SOURCE_CONTINUE;
}

static void create_timer(struct entry *entry)
{
	entry->timer = g_source_new(&timer_funcs, sizeof(GSource));
	g_source_set_callback(entry->timer, on_timer, entry, NULL);
	g_source_set_ready_time(entry->timer, -1);
	g_source_attach(entry->timer, NULL);
}

/* ---- quotas ---- */

static uint32_t organisation_rate(const struct entry *entry,
				  const char *organisation)
{
	const struct cfg_snapshot *snapshot = node_snapshot(entry->node);
	const struct cfg_organisation *found;

	if (!snapshot)
		return 0;
	found = cfg_organisation_find(snapshot->doc, organisation);
	return found ? found->rate_per_s : 0;
}

static double grant_quota(struct entry *entry, const char *organisation,
			  const char *host, double demand, int64_t *lease_us)
{
	return quota_holder_grant(
		entry->quota_holder, organisation, host, demand,
		organisation_rate(entry, organisation), lease_us);
}

static void request_quota(void *userdata, const char *organisation,
			  double demand)
{
	struct entry *entry = userdata;
	const char *holder =
		entry_peers_quota_holder(entry->peers, organisation);
	struct wire_msg msg = { .type = WIRE_QUOTA_ASK };
	int64_t lease_us;
	double rate;

	if (!strcmp(holder, entry->settings->host)) {
		rate = grant_quota(entry, organisation, holder, demand,
				   &lease_us);
		quota_apply_grant(entry->quota, organisation, rate, lease_us);
		return;
	}
	msg.u.quota_ask.organisation = (char *)organisation;
	msg.u.quota_ask.demand_per_s = (uint32_t)demand;
	entry_peers_send_entry(entry->peers, holder, &msg);
}

static void handle_quota_request(struct entry *entry, const char *peer,
				 const struct wire_quota_ask *request)
{
	struct wire_msg msg = { .type = WIRE_QUOTA_GRANT };
	int64_t lease_us;

	msg.u.quota_grant.organisation = request->organisation;
	msg.u.quota_grant.rate_per_s =
		(uint32_t)grant_quota(entry, request->organisation, peer,
				      request->demand_per_s, &lease_us);
	msg.u.quota_grant.lease_ms = (uint32_t)(lease_us / LP_US_PER_MS);
	node_send(entry->node, peer, &msg);
}

/* ---- messages ---- */

static void handle_result(struct entry *entry, const char *peer,
			  const struct wire_result *wire)
{
	const struct flow_result result = {
		.id = wire->id,
		.error = wire->error,
		.run = wire->run,
		.chunks = wire->chunks,
		.queue_us = wire->queue_us,
		.run_us = wire->run_us,
		.tokens = wire->tokens,
		.retry_us = wire->retry_us,
		.body = wire->body,
	};

	struct flow_report report;
	bool known = entry_peers_agent_report(entry->peers, peer, &wire->load,
					      &report);

	flow_handle_result(entry->flow, &result, known ? &report : NULL);
}

static void handle_beat(struct entry *entry, const char *peer,
			const struct wire_load *load)
{
	struct flow_report report;

	if (entry_peers_agent_report(entry->peers, peer, load, &report))
		flow_handle_report(entry->flow, &report);
}

static void handle_call_state(struct entry *entry,
			      const struct wire_state *wire)
{
	static const enum flow_state states[] = {
		[WIRE_CALL_NOT_RUN] = FLOW_STATE_NOT_RUN,
		[WIRE_CALL_QUEUED] = FLOW_STATE_QUEUED,
		[WIRE_CALL_RUNNING] = FLOW_STATE_RUNNING,
		[WIRE_CALL_CANCELLED] = FLOW_STATE_CANCELLED,
		[WIRE_CALL_DONE] = FLOW_STATE_DONE,
		[WIRE_CALL_LOST] = FLOW_STATE_LOST,
	};

	if (wire->state < G_N_ELEMENTS(states))
		flow_handle_state(entry->flow, &wire->id, states[wire->state]);
}

static void on_message(void *userdata, const char *peer, struct wire_msg *msg)
{
	struct entry *entry = userdata;

	switch (msg->type) {
	case WIRE_BEAT:
		handle_beat(entry, peer, &msg->u.beat);
		break;
	case WIRE_CHUNK:
		flow_handle_chunk(entry->flow, &msg->u.chunk.id,
				  msg->u.chunk.seq, msg->u.chunk.text,
				  msg->u.chunk.tokens);
		break;
	case WIRE_RESULT:
		handle_result(entry, peer, &msg->u.result);
		break;
	case WIRE_STATE:
		handle_call_state(entry, &msg->u.state);
		break;
	case WIRE_FORWARD:
	case WIRE_FORWARD_SEEN:
	case WIRE_FORWARDED:
		entry_idempotency_message(entry->idempotency, peer, msg);
		break;
	case WIRE_QUOTA_ASK:
		handle_quota_request(entry, peer, &msg->u.quota_ask);
		break;
	case WIRE_QUOTA_GRANT:
		quota_apply_grant(entry->quota, msg->u.quota_grant.organisation,
				  msg->u.quota_grant.rate_per_s,
				  msg->u.quota_grant.lease_ms * LP_US_PER_MS);
		break;
	default:
		entry_increment_counter(entry, "linepier_wire_unexpected_total",
					NULL, NULL);
	}
	entry_rearm_timer(entry);
}

/* ---- node callbacks ---- */

static void on_configured(void *userdata, struct cfg_snapshot *snapshot)
{
	struct entry *entry = userdata;

	entry_plan_attach(entry, snapshot);
}

static void on_hosts(void *userdata, const struct store_hosts *hosts)
{
	struct entry *entry = userdata;

	entry_peers_set_hosts(entry->peers, hosts);
	flow_set_entry_count(entry->flow,
			     entry_peers_live_entry_count(entry->peers));
	entry_rearm_timer(entry);
}

/* Keeps -1, which means "never". */
static int64_t age_ms(int64_t age_us)
{
	return age_us < 0 ? -1 : age_us / LP_US_PER_MS;
}

static void log_listener_close(const struct entry *entry,
			       enum drain_state state)
{
	struct drain_view view;

	drain_get_view(entry->drain, &view);
	lp_log(LP_LOG_INFO, "entry", NULL,
	       "closed to callers %" G_GINT64_FORMAT " ms after leaving (%s): "
	       "%u probers, %u told, %u informed; first told after "
	       "%" G_GINT64_FORMAT " ms, last probe %" G_GINT64_FORMAT
	       " ms ago",
	       view.draining_for_us / LP_US_PER_MS, drain_state_name(state),
	       view.probers, view.notified, view.informed,
	       age_ms(view.first_notified_us), age_ms(view.last_probe_age_us));
}

static void check_drain(struct entry *entry)
{
	enum drain_state state = drain_get_state(entry->drain);

	if (entry->listen_stopped_us || state == DRAIN_NOT_DRAINING ||
	    state == DRAIN_WAITING)
		return;
	entry->listen_stopped_us = entry_now_us(entry);
	log_listener_close(entry, state);
	entry_http_stop_listening(entry->http);
}

static void set_gauge(struct entry *entry, const char *name, uint64_t value)
{
	*lp_counter(node_counters(entry->node), name, NULL) = (int64_t)value;
}

static void set_gauges(void *userdata)
{
	struct entry *entry = userdata;
	const struct flow_stats *stats = flow_stats(entry->flow);

	set_gauge(entry, "linepier_flow_accepted_total", stats->accepted);
	set_gauge(entry, "linepier_flow_refused_door_total",
		  stats->refused_admission);
	set_gauge(entry, "linepier_flow_calls_total", stats->sent);
	set_gauge(entry, "linepier_flow_moved_total", stats->failovers);
	set_gauge(entry, "linepier_flow_retried_total", stats->retried);
	set_gauge(entry, "linepier_flow_hedged_total", stats->hedged);
	set_gauge(entry, "linepier_flow_resumed_total", stats->resumed);
	set_gauge(entry, "linepier_flow_asked_total", stats->queries);
	set_gauge(entry, "linepier_flow_lost_total", stats->lost);
	set_gauge(entry, "linepier_flow_dropped_answers_total", stats->dropped);
	set_gauge(entry, "linepier_flow_no_budget_total", stats->no_budget);
	set_gauge(entry, "linepier_flow_stays_total", stats->stays);
	set_gauge(entry, "linepier_entry_in_flight", entry->requests);
	set_gauge(entry, "linepier_entry_agents",
		  entry_peers_agent_count(entry->peers));
}

static void on_tick(void *userdata)
{
	struct entry *entry = userdata;

	flow_tick(entry->flow);
	entry_peers_tick(entry->peers);
	entry_idempotency_tick(entry->idempotency);
	quota_tick(entry->quota);
	check_drain(entry);
	entry_rearm_timer(entry);
}

static void send_hellos(void *userdata)
{
	struct entry *entry = userdata;

	entry_peers_send_hellos(entry->peers);
}

static void on_drain(void *userdata)
{
	struct entry *entry = userdata;

	drain_begin(entry->drain);
	flow_cap_deadlines(entry->flow, node_drain_deadline_us(entry->node) -
						FINAL_ANSWERS_US);
	entry_rearm_timer(entry);
}

void entry_record_probe(struct entry *entry, const char *prober)
{
	drain_record_probe(entry->drain, prober);
	entry_increment_counter(entry, "linepier_probes_total", "answer",
				node_is_draining(entry->node) ? "leaving"
							      : "other");
}

static void on_probed(void *userdata, const char *prober)
{
	entry_record_probe(userdata, prober);
}

/* Connections without a request are waited for up to read_timeout_ms. */
static bool connections_done(const struct entry *entry)
{
	int64_t since_us = entry_now_us(entry) - entry->listen_stopped_us;

	return !entry_http_open(entry->http) ||
	       since_us > entry->settings->read_timeout_ms * LP_US_PER_MS;
}

static bool is_idle(void *userdata)
{
	struct entry *entry = userdata;

	return entry->listen_stopped_us && !entry->requests &&
	       !entry_http_unanswered(entry->http) && connections_done(entry) &&
	       entry_now_us(entry) - entry->listen_stopped_us > SOCKET_FLUSH_US;
}

static const char *unready_reason(void *userdata)
{
	struct entry *entry = userdata;

	return entry_peers_usable_agent_count(entry->peers)
		       ? NULL
		       : "no agent heard of yet\n";
}

static void add_status(void *userdata, JsonBuilder *builder)
{
	struct entry *entry = userdata;
	const struct flow_stats *stats = flow_stats(entry->flow);

	lp_json_int(builder, "agents", entry_peers_agent_count(entry->peers));
	lp_json_int(builder, "agents_heard",
		    entry_peers_usable_agent_count(entry->peers));
	lp_json_int(builder, "in_flight", entry->requests);
	lp_json_int(builder, "accepted", (int64_t)stats->accepted);
	lp_json_int(builder, "refused_door", (int64_t)stats->refused_admission);
	lp_json_int(builder, "answered", (int64_t)stats->finished_ok);
	lp_json_int(builder, "failed", (int64_t)stats->finished_error);
	lp_json_int(builder, "keys",
		    entry_idempotency_key_count(entry->idempotency));
}

static const struct node_role role = {
	.message = on_message,
	.configured = on_configured,
	.hosts = on_hosts,
	.tick = on_tick,
	.announce = send_hellos,
	.drain = on_drain,
	.idle = is_idle,
	.unready_reason = unready_reason,
	.probed = on_probed,
	.gauges = set_gauges,
	.status = add_status,
};

/* ---- lifecycle ---- */

/* Allows for two probes and drain_wait_ms, but takes at most half of the drain
 * time, since running requests need the rest, and at least drain_wait_ms. */
static int64_t max_listen_us(const struct node_settings *settings)
{
	int64_t probed_ms =
		2 * settings->probe_interval_ms + settings->drain_wait_ms;
	int64_t max_ms = MIN(probed_ms, settings->drain_max_ms / 2);

	return MAX(max_ms, settings->drain_wait_ms) * LP_US_PER_MS;
}

static struct drain *create_drain(const struct entry *entry)
{
	const struct node_settings *settings = entry->settings;

	return drain_create(&(struct drain_options){
		.clock = node_clock(entry->node),
		.min_us = settings->drain_wait_ms * LP_US_PER_MS,
		.settle_us = settings->drain_wait_ms * LP_US_PER_MS,
		.probe_interval_max_us =
			settings->probe_interval_ms * LP_US_PER_MS,
		.first_probe_max_us =
			settings->probe_interval_ms * LP_US_PER_MS,
		.max_us = max_listen_us(settings),
	});
}

static void create_components(struct entry *entry)
{
	const struct node_settings *settings = entry->settings;
	uint64_t incarnation = node_incarnation(entry->node);
	const struct flow_options flow = {
		.clock = node_clock(entry->node),
		.ops = &entry_flow_ops,
		.userdata = entry,
		.trace = node_trace(entry->node),
		.entry = lp_entry_tag(settings->host, (uint32_t)incarnation),
		.domain = settings->domain,
		.seed = incarnation,
		.report_timeout_us =
			(int64_t)((double)settings->beat_ms * LP_US_PER_MS *
				  NODE_SILENCE_BEATS),
		.naive = settings->naive,
		.no_affinity = !settings->affinity,
	};
	const struct quota_options quota = {
		.clock = node_clock(entry->node),
		.request_share = request_quota,
		.userdata = entry,
	};

	entry->drain = create_drain(entry);
	entry->flow = flow_create(&flow);
	entry->quota = quota_create(&quota);
	entry->quota_holder = quota_holder_create(node_clock(entry->node));
	entry->peers = entry_peers_create(entry);
	entry->idempotency = entry_idempotency_create(entry);
	create_timer(entry);
}

static void destroy_components(struct entry *entry)
{
	g_source_destroy(entry->timer);
	g_source_unref(entry->timer);
	flow_destroy(entry->flow);
	quota_destroy(entry->quota);
	quota_holder_destroy(entry->quota_holder);
	entry_idempotency_destroy(entry->idempotency);
	entry_peers_destroy(entry->peers);
	drain_destroy(entry->drain);
}

int entry_run(const struct node_settings *settings)
{
	struct entry entry = { .settings = settings };
	const struct node_options options = { settings, &role, &entry };
	g_autofree char *why = NULL;
	int error = node_create(&options, &entry.node, &why);

	if (!error) {
		create_components(&entry);
		error = entry_http_create(&entry, &entry.http, &why);
		if (!error) {
			lp_log(LP_LOG_INFO, "entry", NULL,
			       "listening for requests at %s",
			       settings->listen);
			node_run(entry.node);
		}
		entry_http_destroy(entry.http);
		node_destroy(entry.node);
		destroy_components(&entry);
	}
	if (error)
		lp_log(LP_LOG_ERROR, "entry", NULL, "%s", why);
	return error;
}
