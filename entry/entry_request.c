/* A request from admission to its answer. */
#include "base/lp_log.h"

#include "base/lp_json.h"
#include "entry/entry_private.h"

#include <string.h>

struct entry_request {
	struct entry *entry;
	struct entry_request **handle; /* the caller's, cleared at the end */
	struct cfg_snapshot *snapshot;
	const struct plan *plan;
	const struct cfg_organisation *organisation;
	const struct entry_caller_ops *ops; /* NULL once disconnected */
	void *userdata;
	char *key;	  /* "" for none */
	char *scoped_key; /* organisation and key */
	char *trace;
	char *body;   /* may be forwarded to another entry */
	char *detail; /* error text of an upstream */
	JsonNode *request;
	JsonNode **results;
	int64_t deadline_us;
	uint64_t fingerprint;
	bool holds_key; /* entry_idempotency_end() must be called */
	bool submitted;
	struct lp_call_id id; /* in the flow, once `submitted` */
};

/* ---- the tables of a configuration ---- */

/* Counters of one stage, looked up once per configuration. */
struct stage_counters {
	int64_t *answers;
	int64_t *queue_us;
	int64_t *run_us;
	int64_t *tokens;
	int64_t *attempts;
};

/* One pipeline in the form that flow_submit() takes. */
struct plan {
	const struct cfg_pipeline *pipeline;
	struct flow_stage stages[CFG_STAGES_MAX];
	const char *paths[CFG_STAGES_MAX];
	struct stage_counters counters[CFG_STAGES_MAX];
	uint32_t answer;
	bool needs_claim;
};

static void plan_stage(struct plan *plan, const struct cfg_doc *doc,
		       uint32_t index)
{
	const struct cfg_stage *stage = &plan->pipeline->stages[index];
	const struct cfg_service *service =
		cfg_service_find(doc, stage->service);
	bool generate = service->kind == CFG_KIND_GENERATE;

	plan->stages[index] = (struct flow_stage){
		.name = stage->name,
		.service = stage->service,
		.repeatable = stage->repeatable,
		.stream = generate,
		.affinity = generate,
	};
	plan->paths[index] = cfg_stage_path(doc, stage);
	if (!stage->repeatable)
		plan->needs_claim = true;
	if (plan->pipeline->answer &&
	    !strcmp(plan->pipeline->answer, stage->name))
		plan->answer = index;
}

static void plan_counters(struct plan *plan, struct lp_counters *counters,
			  uint32_t index)
{
	struct stage_counters *counters_of_stage = &plan->counters[index];
	g_autofree char *labels =
		g_strdup_printf("pipeline=\"%s\",stage=\"%s\"",
				plan->pipeline->name, plan->stages[index].name);

	counters_of_stage->answers =
		lp_counter(counters, "linepier_stage_answers_total", labels);
	counters_of_stage->queue_us =
		lp_counter(counters, "linepier_stage_queue_us_total", labels);
	counters_of_stage->run_us =
		lp_counter(counters, "linepier_stage_run_us_total", labels);
	counters_of_stage->tokens =
		lp_counter(counters, "linepier_stage_tokens_total", labels);
	counters_of_stage->attempts =
		lp_counter(counters, "linepier_stage_attempts_total", labels);
}

static void free_plans(void *plans)
{
	g_hash_table_unref(plans);
}

void entry_plan_attach(struct entry *entry, struct cfg_snapshot *snapshot)
{
	GHashTable *plans =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);

	for (uint32_t i = 0; i < snapshot->doc->pipelines_count; i++) {
		struct plan *plan = g_new0(struct plan, 1);

		plan->pipeline = &snapshot->doc->pipelines[i];
		plan->answer = plan->pipeline->stages_count - 1;
		for (uint32_t j = 0; j < plan->pipeline->stages_count; j++) {
			plan_stage(plan, snapshot->doc, j);
			plan_counters(plan, node_counters(entry->node), j);
		}
		g_hash_table_insert(plans, plan->pipeline->name, plan);
	}
	snapshot->attached = plans;
	snapshot->free_attached = free_plans;
}

/* ---- ending ---- */

/* Clears the caller's pointer to this request. */
static void clear_handle(struct entry_request *request)
{
	if (request->handle)
		*request->handle = NULL;
	request->handle = NULL;
}

static void free_request(struct entry_request *request)
{
	uint32_t count = request->plan->pipeline->stages_count;

	request->entry->requests -= 1;
	clear_handle(request);
	for (uint32_t i = 0; i < count; i++)
		if (request->results[i])
			json_node_unref(request->results[i]);
	g_free(request->results);
	if (request->request)
		json_node_unref(request->request);
	g_free(request->key);
	g_free(request->scoped_key);
	g_free(request->trace);
	g_free(request->body);
	g_free(request->detail);
	cfg_snapshot_unref(request->snapshot);
	g_free(request);
}

static void count_answer(struct entry *entry, const struct entry_answer *answer)
{
	entry_increment_counter(entry, "linepier_entry_answers_total", "kind",
				lp_error_info(answer->error)->name);
}

static void send_answer(struct entry_request *request,
			const struct entry_answer *answer)
{
	clear_handle(request);
	count_answer(request->entry, answer);
	if (request->ops)
		request->ops->answer(request->userdata, answer);
}

void entry_request_end(struct entry_request *request,
		       const struct entry_answer *answer)
{
	struct entry_idempotency *idempotency = request->entry->idempotency;

	if (*request->key)
		entry_idempotency_forget(idempotency, request);
	if (request->holds_key)
		entry_idempotency_end(idempotency, request->scoped_key, answer);
	send_answer(request, answer);
	free_request(request);
}

void entry_request_abandon(struct entry_request *request)
{
	struct entry *entry = request->entry;

	request->ops = NULL;
	clear_handle(request);
	if (*request->key)
		return;
	if (request->submitted)
		flow_cancel(entry->flow, &request->id);
	entry_rearm_timer(entry);
	entry_increment_counter(entry, "linepier_entry_abandoned_total", NULL,
				NULL);
	free_request(request);
}

/* ---- flow callbacks ---- */

static struct entry_values values_of(const struct entry_request *request)
{
	const struct entry_values values = {
		.request = request->request,
		.pipeline = request->plan->pipeline,
		.results = request->results,
	};

	return values;
}

static char *call_body(const struct entry_request *request,
		       const struct flow_send *send, uint32_t stage)
{
	const struct entry_values values = values_of(request);
	g_autoptr(JsonNode) input = entry_stage_input(&values, stage);

	if (request->plan->stages[stage].stream)
		entry_enable_streaming(input, send->resume,
				       send->resume_tokens);
	return json_to_string(input, FALSE);
}

/* The idempotency key sent to an upstream: the caller's scoped key, else the
 * request id, with the stage's name. */
static char *call_key(const struct entry_request *request, const char *id,
		      const char *stage)
{
	if (*request->key)
		return g_strdup_printf("%s/%s", request->scoped_key, stage);
	return g_strdup_printf("%s/%s", id, stage);
}

static int flow_send_call(void *userdata, struct flow_request *flowing,
			  const struct flow_send *send)
{
	struct entry *entry = userdata;
	struct entry_request *request = flowing->owner;
	uint32_t stage = flowing->stage;
	char id[LP_REQUEST_ID_SIZE];
	g_autofree char *body = call_body(request, send, stage);
	g_autofree char *key = NULL;
	struct wire_msg msg = { .type = WIRE_CALL };
	struct wire_call *call = &msg.u.call;

	lp_request_id_format(&flowing->id, id);
	key = call_key(request, id, request->plan->stages[stage].name);
	call->id = send->attempt->id;
	call->incarnation = send->attempt->incarnation;
	call->revision = request->snapshot->revision;
	call->echo_us = send->echo_us;
	call->held_us = send->held_us;
	call->left_us = send->left_us;
	call->organisation = flowing->organisation;
	call->weight = flowing->weight;
	call->repeatable = request->plan->stages[stage].repeatable;
	call->stream = request->plan->stages[stage].stream;
	call->pipeline = request->plan->pipeline->name;
	call->stage = (char *)request->plan->stages[stage].name;
	call->key = key;
	call->path = (char *)request->plan->paths[stage];
	call->body = body;
	call->trace = request->trace;
	return entry_peers_send_agent(entry->peers, send->attempt->agent, &msg);
}

static void flow_query_call(void *userdata, const struct flow_attempt *attempt,
			    bool withdraw)
{
	struct entry *entry = userdata;
	struct wire_msg msg = { .type = WIRE_QUERY };

	msg.u.query.id = attempt->id;
	msg.u.query.query = withdraw ? WIRE_QUERY_WITHDRAW : WIRE_QUERY_PEEK;
	msg.u.query.incarnation = attempt->incarnation;
	msg.u.query.sent_us = attempt->agent_sent_us;
	entry_peers_send_agent(entry->peers, attempt->agent, &msg);
}

static void flow_forward_chunk(void *userdata, struct flow_request *flowing,
			       const char *text, uint32_t tokens)
{
	struct entry_request *request = flowing->owner;
	char id[LP_REQUEST_ID_SIZE];

	if (!request->ops || !request->ops->chunk ||
	    flowing->stage != request->plan->answer)
		return;
	lp_request_id_format(&flowing->id, id);
	request->ops->chunk(request->userdata, id, text);
}

static int flow_stage_done(void *userdata, struct flow_request *flowing,
			   uint32_t stage, const char *body)
{
	struct entry_request *request = flowing->owner;
	g_autoptr(JsonNode) node = lp_json_node(body);

	if (!node)
		return LP_ERROR_UPSTREAM_FAILED;
	if (request->plan->stages[stage].stream)
		request->results[stage] = entry_stream_result(
			flowing->text->str, flowing->tokens, node);
	else
		request->results[stage] = g_steal_pointer(&node);
	return LP_OK;
}

static void add_cost(JsonBuilder *builder, const struct flow_stage *stage,
		     const struct flow_cost *cost)
{
	json_builder_begin_object(builder);
	lp_json_text(builder, "stage", stage->name);
	lp_json_text(builder, "upstream", cost->upstream);
	lp_json_int(builder, "queue_us", cost->queue_us);
	lp_json_int(builder, "run_us", cost->run_us);
	lp_json_int(builder, "total_us", cost->total_us);
	lp_json_int(builder, "tokens", cost->tokens);
	lp_json_int(builder, "attempts", cost->attempts);
	json_builder_end_object(builder);
}

static char *answer_body(const struct entry_request *request,
			 const struct flow_request *flowing, const char *id)
{
	const struct plan *plan = request->plan;
	g_autoptr(JsonBuilder) builder = json_builder_new();

	json_builder_begin_object(builder);
	lp_json_text(builder, "id", id);
	lp_json_text(builder, "pipeline", plan->pipeline->name);
	lp_json_int(builder, "revision", (gint64)request->snapshot->revision);
	json_builder_set_member_name(builder, "answer");
	json_builder_add_value(builder,
			       json_node_copy(request->results[plan->answer]));
	json_builder_set_member_name(builder, "cost");
	json_builder_begin_array(builder);
	for (uint32_t i = 0; i < flowing->stages_count; i++)
		add_cost(builder, &plan->stages[i], &flowing->costs[i]);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	return lp_json_print(builder);
}

/* Cost by stage, in microseconds and tokens. */
static void count_costs(const struct entry_request *request,
			const struct flow_request *flowing)
{
	for (uint32_t i = 0; i < flowing->stages_count; i++) {
		const struct stage_counters *counters_of_stage =
			&request->plan->counters[i];
		const struct flow_cost *cost = &flowing->costs[i];

		if (!cost->attempts)
			break;
		*counters_of_stage->answers += 1;
		*counters_of_stage->queue_us += cost->queue_us;
		*counters_of_stage->run_us += cost->run_us;
		*counters_of_stage->tokens += cost->tokens;
		*counters_of_stage->attempts += cost->attempts;
	}
}

static void flow_finish(void *userdata, struct flow_request *flowing,
			const struct flow_outcome *outcome)
{
	struct entry_request *request = flowing->owner;
	char id[LP_REQUEST_ID_SIZE];
	g_autofree char *body = NULL;
	g_autofree char *detail = NULL;
	struct entry_answer answer = {
		.error = outcome->error,
		.run = outcome->run,
		.retry_after_us = outcome->retry_us,
		.id = id,
	};

	lp_request_id_format(&flowing->id, id);
	count_costs(request, flowing);
	if (outcome->error) {
		detail = g_strdup_printf(
			"in stage '%s'",
			request->plan->stages[outcome->stage].name);
		answer.detail = detail;
	} else {
		body = answer_body(request, flowing, id);
		answer.body = body;
	}
	entry_request_end(request, &answer);
}

const struct flow_ops entry_flow_ops = {
	.send = flow_send_call,
	.query = flow_query_call,
	.chunk = flow_forward_chunk,
	.stage_done = flow_stage_done,
	.finish = flow_finish,
};

/* ---- beginning ---- */

/* Requests that share a prefix have one hash: that of the organisation, the
 * pipeline and the value at the pipeline's affinity path. */
static uint64_t affinity_hash(const struct entry_request *request)
{
	const struct cfg_pipeline *pipeline = request->plan->pipeline;
	const struct entry_values values = values_of(request);
	g_autofree char *text = NULL;
	JsonNode *node;

	if (!pipeline->affinity)
		return 0;
	node = entry_lookup(&values, pipeline->affinity);
	text = node ? json_to_string(node, FALSE) : g_strdup("");
	return lp_hash_pair(
		lp_hash_pair(lp_hash_str(pipeline->name), lp_hash_str(text)),
		lp_hash_str(request->organisation->name));
}

static void submit_to_flow(struct entry_request *request)
{
	struct entry *entry = request->entry;
	const struct plan *plan = request->plan;
	const struct flow_submit submit = {
		.stages = plan->stages,
		.stages_count = plan->pipeline->stages_count,
		.organisation = request->organisation->name,
		.weight = MAX(1, request->organisation->weight),
		.affinity = affinity_hash(request),
		.deadline_us = request->deadline_us,
		.owner = request,
	};
	struct flow_outcome outcome;
	char id[LP_REQUEST_ID_SIZE];

	request->submitted = true;
	/*
	 * On LP_OK the request may already be freed. The flow writes the id
	 * into the request itself, because entry_request_abandon() cancels by
	 * it; without that the flow would use the request after it is freed.
	 */
	if (!flow_submit(entry->flow, &submit, &request->id, &outcome)) {
		entry_rearm_timer(entry);
		return;
	}
	lp_request_id_format(&request->id, id);
	const struct entry_answer answer = {
		.error = outcome.error,
		.run = outcome.run,
		.retry_after_us = outcome.retry_us,
		.id = id,
		.detail = "at admission",
	};
	entry_request_end(request, &answer);
}

static struct entry_keyed_request keyed_of(struct entry_request *request)
{
	const struct entry_keyed_request keyed = {
		.request = request,
		.pipeline = request->plan->pipeline->name,
		.organisation = request->organisation->name,
		.key = request->key,
		.scoped_key = request->scoped_key,
		.fingerprint = request->fingerprint,
		.deadline_us = request->deadline_us,
		.needs_claim = request->plan->needs_claim,
		.body = request->body,
	};

	return keyed;
}

void entry_request_begin_owned(struct entry_request *request)
{
	const struct entry_keyed_request keyed = keyed_of(request);

	if (!entry_idempotency_begin(request->entry->idempotency, &keyed))
		return;
	request->holds_key = true;
	submit_to_flow(request);
}

static struct entry_request *
create_request(struct entry *entry, const struct entry_request_params *params,
	       struct cfg_snapshot *snapshot, const struct plan *plan)
{
	struct entry_request *request = g_new0(struct entry_request, 1);
	int64_t left_us = plan->pipeline->deadline_ms * LP_US_PER_MS;

	if (params->timeout_us)
		left_us = MIN(left_us, params->timeout_us);
	request->entry = entry;
	request->snapshot = cfg_snapshot_ref(snapshot);
	request->plan = plan;
	request->organisation =
		cfg_organisation_find(snapshot->doc, params->organisation);
	request->ops = params->ops;
	request->userdata = params->userdata;
	request->key = g_strdup(params->key);
	request->scoped_key =
		g_strdup_printf("%s/%s", params->organisation, params->key);
	request->trace = g_strdup(params->trace);
	request->body = g_strndup(params->body, params->body_size);
	request->results = g_new0(JsonNode *, plan->pipeline->stages_count);
	request->request = entry_json_parse(params->body, params->body_size);
	request->deadline_us = entry_now_us(entry) + left_us;
	request->fingerprint = lp_hash_pair(lp_hash_str(request->body),
					    lp_hash_str(params->pipeline));
	entry->requests += 1;
	return request;
}

static void refuse(struct entry *entry,
		   const struct entry_request_params *params, int error,
		   int64_t retry_us, const char *detail)
{
	const struct entry_answer answer = {
		.error = error,
		.run = LP_RUN_NOT_RUN,
		.retry_after_us = retry_us,
		.id = "",
		.detail = detail,
	};

	count_answer(entry, &answer);
	params->ops->answer(params->userdata, &answer);
}

static int check_admission(struct entry *entry,
			   const struct entry_request_params *params,
			   const struct cfg_organisation *organisation,
			   int64_t *retry_us)
{
	if (entry->requests >= entry->settings->requests_max) {
		*retry_us = LP_US_PER_S;
		return LP_ERROR_OVERLOADED;
	}
	/* The forwarding entry has taken a forwarded request off the quota. */
	if (params->key_owned)
		return LP_OK;
	if (!quota_take(entry->quota, organisation->name,
			organisation->rate_per_s,
			entry_peers_live_entry_count(entry->peers), retry_us))
		return LP_ERROR_RATE_LIMITED;
	return LP_OK;
}

void entry_request_begin(struct entry *entry,
			 const struct entry_request_params *params,
			 struct entry_request **handle)
{
	struct cfg_snapshot *snapshot = node_snapshot(entry->node);
	const struct cfg_organisation *organisation;
	struct entry_request *request;
	const struct plan *plan;
	int64_t retry_us = 0;
	int error;

	if (!snapshot) {
		refuse(entry, params, LP_ERROR_NO_CONFIG, LP_US_PER_S, NULL);
		return;
	}
	plan = g_hash_table_lookup(snapshot->attached, params->pipeline);
	organisation =
		cfg_organisation_find(snapshot->doc, params->organisation);
	if (!plan) {
		refuse(entry, params, LP_ERROR_UNKNOWN_PIPELINE, 0, NULL);
		return;
	}
	if (!organisation || !cfg_may_call(organisation, params->pipeline)) {
		refuse(entry, params, LP_ERROR_FORBIDDEN, 0, NULL);
		return;
	}
	error = check_admission(entry, params, organisation, &retry_us);
	if (error) {
		refuse(entry, params, error, retry_us, NULL);
		return;
	}
	request = create_request(entry, params, snapshot, plan);
	if (!request->request) {
		free_request(request);
		refuse(entry, params, LP_ERROR_BAD_REQUEST, 0,
		       "the body must be a JSON object, at most 32 deep");
		return;
	}
	request->handle = handle;
	if (handle)
		*handle = request;
	if (!*request->key) {
		submit_to_flow(request);
	} else if (params->key_owned) {
		entry_request_begin_owned(request);
	} else {
		const struct entry_keyed_request keyed = keyed_of(request);

		entry_idempotency_find_owner(entry->idempotency, &keyed);
	}
}
