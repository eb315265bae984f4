#include "agent/agent.h"

#include "agent/agent_load.h"
#include "agent/agent_orders.h"
#include "agent/agent_upstream.h"
#include "base/lp_json.h"
#include "base/lp_log.h"
#include "policy/drain.h"
#include "policy/worker.h"

#include <string.h>

#define PEER_FORGET_US (60 * LP_US_PER_S)
/* An entry without a HELLO for this long is no longer connected. */
#define HELLO_TIMEOUT_US (NODE_HELLO_INTERVAL_US + 5 * LP_US_PER_S)

/* An entry that has sent a message to this agent. */
struct peer {
	char *name;
	int64_t last_received_us;
	int64_t last_sent_us;
};

struct agent {
	const struct node_settings *settings;
	struct node *node;
	struct worker *worker;
	struct upstream *upstream;
	struct agent_orders *orders;
	struct agent_load *load;
	struct drain *drain; /* entries count as its probers */
	GHashTable *peers;
	int64_t *calls;
	int64_t *runs;
	int64_t *refused;
	int64_t *cancelled;
	int64_t *chunks;
};

/* Payload of a call in the worker: the wire message and the worker's call. */
struct payload {
	struct agent *agent;
	struct worker_call *call;
	struct wire_call wire;
};

static int64_t now_us(const struct agent *agent)
{
	return lp_now_us(node_clock(agent->node));
}

/* ---- messages to entries ---- */

static void fill_load(const struct agent *agent, struct wire_load *load)
{
	struct worker_load own;

	worker_get_load(agent->worker, &own);
	*load = (struct wire_load){
		.agent_time_us = now_us(agent),
		.incarnation = node_incarnation(agent->node),
		.revision = node_revision(agent->node),
		.queued = own.queued,
		.running = own.running,
		.limit = own.limit,
		.wait_us = own.wait_us,
		.run_us = own.run_us,
		.kv_age_ms = node_kv_age_ms(agent->node),
		.leaving = own.draining,
	};
}

static struct peer *get_peer(struct agent *agent, const char *name)
{
	struct peer *peer = g_hash_table_lookup(agent->peers, name);

	if (!peer) {
		peer = g_new0(struct peer, 1);
		peer->name = g_strdup(name);
		g_hash_table_insert(agent->peers, peer->name, peer);
	}
	return peer;
}

static void free_peer(gpointer data)
{
	struct peer *peer = data;

	g_free(peer->name);
	g_free(peer);
}

static void send_to(struct agent *agent, const char *name,
		    const struct wire_msg *msg)
{
	node_send(agent->node, name, msg);
}

static void send_beat(struct agent *agent, struct peer *peer)
{
	struct wire_msg msg = { .type = WIRE_BEAT };

	fill_load(agent, &msg.u.beat);
	send_to(agent, peer->name, &msg);
	peer->last_sent_us = now_us(agent);
}

static void send_beats(void *userdata)
{
	struct agent *agent = userdata;
	GHashTableIter iter;
	gpointer peer;

	g_hash_table_iter_init(&iter, agent->peers);
	while (g_hash_table_iter_next(&iter, NULL, &peer))
		send_beat(agent, peer);
}

static void send_result(struct agent *agent, const char *peer,
			const struct lp_call_id *id,
			const struct worker_result *result)
{
	struct wire_msg msg = { .type = WIRE_RESULT };
	struct wire_result *wire = &msg.u.result;

	wire->id = *id;
	wire->error = result->error;
	wire->run = (uint8_t)result->run;
	wire->chunks = result->chunks;
	wire->queue_us = result->queue_us;
	wire->run_us = result->run_us;
	wire->tokens = result->tokens;
	wire->retry_us = result->retry_us;
	wire->body = result->body ? result->body : "";
	fill_load(agent, &wire->load);
	send_to(agent, peer, &msg);
	get_peer(agent, peer)->last_sent_us = now_us(agent);
}

/* ---- worker callbacks ---- */

static void start_call(void *userdata, struct worker_call *call)
{
	struct agent *agent = userdata;
	struct payload *payload = call->payload;
	const struct upstream_request request = {
		.path = payload->wire.path,
		.body = payload->wire.body,
		.key = payload->wire.key,
		.trace = payload->wire.trace,
		.stream = payload->wire.stream,
		.repeatable = payload->wire.repeatable,
		.userdata = payload,
	};
	struct worker_load load;

	worker_get_load(agent->worker, &load);
	payload->call = call;
	*agent->runs += 1;
	trace_add(node_trace(agent->node), &call->id, TRACE_STARTED, NULL, 0,
		  call->result.queue_us, load.running);
	call->run_data = upstream_start_run(agent->upstream, &request);
}

static void cancel_call(void *userdata, struct worker_call *call)
{
	struct agent *agent = userdata;

	*agent->cancelled += 1;
	upstream_cancel_run(call->run_data);
}

static void send_call_result(void *userdata, const struct worker_call *call)
{
	struct agent *agent = userdata;

	if (call->state == WORKER_DONE)
		trace_add(node_trace(agent->node), &call->id, TRACE_ENDED, NULL,
			  call->result.error, call->result.run_us, 0);
	else
		trace_add(node_trace(agent->node), &call->id, TRACE_RETURNED,
			  NULL, call->result.error, call->result.queue_us, 0);
	send_result(agent, call->peer, &call->id, &call->result);
}

static void send_refusal(void *userdata, const char *peer,
			 const struct lp_call_id *id,
			 const struct worker_result *result)
{
	struct agent *agent = userdata;

	*agent->refused += 1;
	trace_add(node_trace(agent->node), id, TRACE_RETURNED, NULL,
		  result->error, 0, 0);
	send_result(agent, peer, id, result);
}

static void send_call_state(void *userdata, const char *peer,
			    const struct lp_call_id *id,
			    enum worker_state state)
{
	static const uint8_t wire_states[] = {
		[WORKER_FENCED] = WIRE_CALL_NOT_RUN,
		[WORKER_QUEUED] = WIRE_CALL_QUEUED,
		[WORKER_RUNNING] = WIRE_CALL_RUNNING,
		[WORKER_CANCELLED] = WIRE_CALL_CANCELLED,
		[WORKER_DONE] = WIRE_CALL_DONE,
		[WORKER_LOST] = WIRE_CALL_LOST,
	};
	struct agent *agent = userdata;
	struct wire_msg msg = { .type = WIRE_STATE };

	msg.u.state.id = *id;
	msg.u.state.incarnation = node_incarnation(agent->node);
	msg.u.state.state = wire_states[state];
	send_to(agent, peer, &msg);
}

static void free_payload(void *data)
{
	struct payload *payload = data;
	struct wire_msg msg = { .type = WIRE_CALL };

	msg.u.call = payload->wire;
	wire_msg_clear(&msg);
	g_free(payload);
}

static const struct worker_ops worker_ops = {
	.start = start_call,
	.cancel = cancel_call,
	.reply = send_call_result,
	.refuse = send_refusal,
	.state = send_call_state,
	.free_payload = free_payload,
};

/* ---- upstream callbacks ---- */

static void on_stream_chunk(void *userdata, const char *text, uint32_t tokens)
{
	struct payload *payload = userdata;
	struct worker_call *call = payload->call;
	struct wire_msg msg = { .type = WIRE_CHUNK };

	if (call->state != WORKER_RUNNING)
		return;
	msg.u.chunk.id = call->id;
	msg.u.chunk.seq = call->chunks++;
	msg.u.chunk.tokens = tokens;
	msg.u.chunk.text = (char *)text;
	*payload->agent->chunks += 1;
	send_to(payload->agent, call->peer, &msg);
}

static void on_run_finished(void *userdata,
			    struct upstream_run_result *run_result)
{
	struct payload *payload = userdata;
	const struct worker_result result = {
		.error = run_result->error,
		.run = run_result->run,
		.tokens = run_result->tokens,
		.body = run_result->body,
	};

	worker_finished(payload->agent->worker, payload->call, &result);
}

static const struct upstream_ops upstream_ops = { on_stream_chunk,
						  on_run_finished };

static void on_upstream_waiting(void *userdata, uint32_t waiting)
{
	struct agent *agent = userdata;

	worker_set_upstream_queued(agent->worker, waiting);
}

/* ---- messages from entries ---- */

static void submit_call(struct agent *agent, const char *peer,
			struct wire_call *call)
{
	struct payload *payload = g_new0(struct payload, 1);
	struct worker_load load;
	const struct worker_submit submit = {
		.id = call->id,
		.peer = peer,
		.organisation = call->organisation,
		.weight = call->weight,
		.incarnation = call->incarnation,
		.echo_us = call->echo_us,
		.held_us = call->held_us,
		.left_us = call->left_us,
		.repeatable = call->repeatable,
		.payload = payload,
	};

	payload->agent = agent;
	payload->wire = *call;
	*call = (struct wire_call){ 0 }; /* the payload owns the strings */
	*agent->calls += 1;
	worker_get_load(agent->worker, &load);
	trace_add(node_trace(agent->node), &submit.id, TRACE_QUEUED, NULL, 0,
		  load.queued, load.running);
	worker_submit(agent->worker, &submit);
}

static void on_message(void *userdata, const char *name, struct wire_msg *msg)
{
	struct agent *agent = userdata;
	struct peer *peer = get_peer(agent, name);

	peer->last_received_us = now_us(agent);
	if (msg->type == WIRE_HELLO) {
		node_report_peer_revision(agent->node, name,
					  msg->u.hello.revision,
					  msg->u.hello.kv_age_ms);
		drain_record_probe(agent->drain, name);
		send_beat(agent, peer);
	} else if (msg->type == WIRE_CALL) {
		node_report_peer_revision(agent->node, name,
					  msg->u.call.revision, G_MAXUINT32);
		submit_call(agent, name, &msg->u.call);
	} else if (msg->type == WIRE_QUERY) {
		const struct worker_state_query question = {
			.id = msg->u.query.id,
			.peer = name,
			.incarnation = msg->u.query.incarnation,
			.sent_us = msg->u.query.sent_us,
			.withdraw = msg->u.query.query == WIRE_QUERY_WITHDRAW,
		};

		worker_query(agent->worker, &question);
	}
}

/* ---- node callbacks ---- */

static void on_configured(void *userdata, struct cfg_snapshot *snapshot)
{
	struct agent *agent = userdata;
	const struct cfg_service *service =
		cfg_service_find(snapshot->doc, agent->settings->service);

	if (service) {
		worker_set_concurrency(agent->worker, service->concurrency);
		agent_orders_configured(agent->orders, service);
	}
	/* An agent keeps only the packed configuration, to send to peers. */
	cfg_snapshot_forget_doc(snapshot);
}

static void on_hosts(void *userdata, const struct store_hosts *hosts)
{
}

static void on_tick(void *userdata)
{
	struct agent *agent = userdata;
	int64_t now = now_us(agent);
	int64_t beat_us = agent->settings->beat_ms * LP_US_PER_MS;
	GHashTableIter iter;
	gpointer value;

	worker_tick(agent->worker);
	agent_orders_tick(agent->orders);
	g_hash_table_iter_init(&iter, agent->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (now - peer->last_received_us > PEER_FORGET_US)
			g_hash_table_iter_remove(&iter);
		else if (now - peer->last_sent_us >= beat_us)
			send_beat(agent, peer);
	}
}

static void on_drain(void *userdata)
{
	struct agent *agent = userdata;

	drain_begin(agent->drain);
	worker_drain(agent->worker);
}

static void log_drain_end(const struct agent *agent, enum drain_state state)
{
	struct drain_view view;

	drain_get_view(agent->drain, &view);
	lp_log(LP_LOG_INFO, "agent", NULL,
	       "ends %" G_GINT64_FORMAT
	       " ms after leaving (%s): entries %u, told %u, informed %u",
	       view.draining_for_us / LP_US_PER_MS, drain_state_name(state),
	       view.probers, view.notified, view.informed);
}

/* An entry that is not informed of the drain may still send calls; the agent
 * stays up during DRAIN_WAITING to refuse them. */
static bool is_idle(void *userdata)
{
	struct agent *agent = userdata;
	enum drain_state state = drain_get_state(agent->drain);

	if (!worker_is_idle(agent->worker) || state == DRAIN_WAITING)
		return false;
	log_drain_end(agent, state);
	return true;
}

static const char *unready_reason(void *userdata)
{
	return NULL;
}

static void add_status(void *userdata, JsonBuilder *builder)
{
	struct agent *agent = userdata;
	struct worker_load load;

	worker_get_load(agent->worker, &load);
	lp_json_text(builder, "service", agent->settings->service);
	lp_json_int(builder, "queued", load.queued);
	lp_json_int(builder, "running", load.running);
	lp_json_int(builder, "limit", load.limit);
	lp_json_int(builder, "wait_us", load.wait_us);
	lp_json_int(builder, "run_us", load.run_us);
	lp_json_int(builder, "remembered", worker_call_count(agent->worker));
	lp_json_int(builder, "peers", g_hash_table_size(agent->peers));
	agent_orders_status(agent->orders, builder);
}

static const struct node_role role = {
	.message = on_message,
	.configured = on_configured,
	.hosts = on_hosts,
	.tick = on_tick,
	.announce = send_beats,
	.drain = on_drain,
	.idle = is_idle,
	.unready_reason = unready_reason,
	.status = add_status,
};

/* ---- lifecycle ---- */

static void create_worker(struct agent *agent)
{
	const struct node_settings *settings = agent->settings;
	const struct worker_options options = {
		.clock = node_clock(agent->node),
		.ops = &worker_ops,
		.userdata = agent,
		.incarnation = node_incarnation(agent->node),
		.queue_max = (uint32_t)settings->queue_max,
		.age_limit_us = settings->age_limit_ms * LP_US_PER_MS,
		.naive = settings->naive,
	};

	agent->worker = worker_create(&options);
}

static struct drain *create_drain(const struct agent *agent)
{
	double silent_ms =
		NODE_SILENCE_BEATS * (double)agent->settings->beat_ms;

	return drain_create(&(struct drain_options){
		.clock = node_clock(agent->node),
		.probe_interval_max_us = HELLO_TIMEOUT_US,
		.max_us = (int64_t)(silent_ms * LP_US_PER_MS),
	});
}

static void create_counters(struct agent *agent)
{
	struct lp_counters *counters = node_counters(agent->node);

	agent->calls = lp_counter(counters, "linepier_agent_calls_total", NULL);
	agent->runs = lp_counter(counters, "linepier_agent_runs_total", NULL);
	agent->refused =
		lp_counter(counters, "linepier_agent_refused_total", NULL);
	agent->cancelled =
		lp_counter(counters, "linepier_agent_cancelled_total", NULL);
	agent->chunks =
		lp_counter(counters, "linepier_agent_chunks_total", NULL);
}

int agent_run(const struct node_settings *settings)
{
	struct agent agent = { .settings = settings };
	const struct node_options options = { settings, &role, &agent };
	g_autofree char *why = NULL;
	int error = node_create(&options, &agent.node, &why);

	if (error) {
		lp_log(LP_LOG_ERROR, "agent", NULL, "%s", why);
		return error;
	}
	agent.peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	agent.upstream = upstream_create(settings->upstream_url, &upstream_ops);
	agent.orders = agent_orders_create(agent.node);
	create_counters(&agent);
	create_worker(&agent);
	agent.drain = create_drain(&agent);
	const struct agent_load_options load = {
		.url = settings->upstream_url,
		.waiting = on_upstream_waiting,
		.userdata = &agent,
	};
	agent.load = agent_load_create(&load);
	lp_log(LP_LOG_INFO, "agent", NULL, "serving %s at %s",
	       settings->service, settings->upstream_url);
	node_run(agent.node);
	agent_load_destroy(agent.load);
	agent_orders_destroy(agent.orders);
	node_destroy(agent.node);
	upstream_destroy(agent.upstream);
	worker_destroy(agent.worker);
	drain_destroy(agent.drain);
	g_hash_table_unref(agent.peers);
	return LP_OK;
}
