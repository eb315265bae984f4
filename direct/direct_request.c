/** A request from the door to its answer. */
#include "direct/direct_request.h"

#include "base/lp_digest.h"
#include "base/lp_id.h"
#include "base/lp_timer.h"
#include "policy/admission.h"

#include <string.h>

/* An entry that ends still takes what lasts no longer than its restart. */
#define SHORT_US (1 * LP_US_PER_S)

/* ---- the end ---- */

void direct_request_free(struct direct_request *request)
{
	direct_sending_leave(request, POOL_UNKNOWN);
	direct_clear_timer(&request->give_up_timer);
	direct_quarantine_over(request->direct->quarantine, request);
	if (request->graph)
		direct_stages_drop(request->direct->stages, request);
	g_hash_table_remove(request->direct->requests, request);
	graph_destroy(request->graph);
	g_free(request->asked_us);
	g_free(request->made_us);
	http_fields_clear(&request->fields);
	g_string_free(request->body, TRUE);
	g_ptr_array_unref(request->tried);
	g_array_unref(request->ask.parts);
	g_array_unref(request->ask.pieces);
	direct_config_unref(request->config);
	g_free(request->last_event_id);
	g_free(request->id);
	g_free(request);
}

void direct_request_drop(struct direct_request *request)
{
	direct_request_free(request);
}

/* For each stage "asked+took" in ms since the request arrived. */
static void add_stage_times(struct direct_request *request)
{
	g_autoptr(GString) text = g_string_new(NULL);

	if (!request->graph || !request->route)
		return;
	for (uint32_t i = 0; i < request->route->stages_count; i++) {
		int64_t asked_us = request->asked_us[i];
		int64_t made_us = request->made_us[i];

		if (!asked_us)
			continue;
		g_string_append_printf(
			text, "%s%u:%" G_GINT64_FORMAT "+%" G_GINT64_FORMAT,
			text->len ? " " : "", i,
			(gint64)((asked_us - request->arrived_us) /
				 LP_US_PER_MS),
			(gint64)(made_us ? (made_us - asked_us) / LP_US_PER_MS
					 : -1));
	}
	lp_event_text(request->direct->options.log, "stages_ms", text->str);
}

void direct_request_log_end(struct direct_request *request, const char *outcome,
			    uint32_t status, const char *why)
{
	struct direct *direct = request->direct;
	struct lp_event_log *log = direct->options.log;
	g_autofree char *labels = g_strdup_printf(
		"outcome=\"%s\",status=\"%u\"", outcome, status);

	*direct_counter(direct, "linepier_requests_total", labels) += 1;
	lp_histogram_add(direct->answer_times,
			 direct_request_now_us(request) - request->arrived_us);
	if (!lp_event_begin(log, "request_end", request->id))
		return;
	lp_event_text(log, "outcome", outcome);
	lp_event_int(log, "status", status);
	if (why)
		lp_event_text(log, "why", why);
	if (request->route)
		lp_event_text(log, "route", request->route->name);
	lp_event_int(log, "took_us",
		     direct_request_now_us(request) - request->arrived_us);
	lp_event_int(log, "first_us",
		     request->first_us ? request->first_us - request->arrived_us
				       : -1);
	lp_event_int(log, "waited_us", request->waited_us);
	if (request->give_up_us)
		lp_event_int(log, "left_us",
			     request->give_up_us -
				     direct_request_now_us(request));
	lp_event_int(log, "sendings", request->moves);
	lp_event_int(log, "config", direct_config_version(direct));
	add_stage_times(request);
	lp_event_end(log);
}

/* An answer of our own, at once. `wait_after_us`: come back after; 0: none. */
void direct_request_answer_own(struct direct_request *request, uint32_t status,
			       int64_t wait_after_us, const char *why)
{
	struct http_fields fields;

	direct_sending_leave(request, POOL_UNKNOWN);
	direct_request_log_end(request, status == 503 ? "refused" : "failed",
			       status, why);
	http_fields_init(&fields);
	request->direct->options.codec->write_refusal(request->id,
						      wait_after_us, &fields);
	http_call_answer(request->call, status, &fields, NULL, 0);
	http_fields_clear(&fields);
	direct_request_free(request);
}

/* True only if nothing that was sent can have run. */
void direct_request_refuse(struct direct_request *request,
			   int64_t wait_after_us, const char *why)
{
	if (request->may_have_run)
		direct_request_answer_own(request, 502, 0, why);
	else
		direct_request_answer_own(request, 503, wait_after_us, why);
}

void direct_request_cut(struct direct_request *request, const char *why)
{
	direct_sending_leave(request, POOL_UNKNOWN);
	direct_request_log_end(request, "cut", request->status, why);
	http_call_abort(request->call);
	direct_request_free(request);
}

static gboolean on_give_up(gpointer userdata)
{
	struct direct_request *request = userdata;

	request->give_up_timer = 0;
	if (request->begun)
		direct_request_cut(request, "deadline");
	else if (request->state == DIRECT_STATE_SENT && request->exchange &&
		 http_exchange_has_sent(request->exchange))
		direct_request_answer_own(request, 504, 0, "deadline");
	else
		direct_request_refuse(request, DIRECT_WAIT_FULL_US, "deadline");
	return G_SOURCE_REMOVE;
}

static void on_caller_gone(void *userdata)
{
	struct direct_request *request = userdata;

	direct_request_log_end(request, "caller_gone", 0, NULL);
	direct_request_free(request);
}

/* ---- its content ---- */

/* The caller's own key makes the digest: all entries have it of the caller, and
 * nobody else can try texts against what logs and datagrams say. */
uint64_t direct_request_digest(struct direct_request *request)
{
	const char *method = http_call_method(request->call);
	const char *host = request->ask.host ? request->ask.host : "";
	const char *target = http_call_target(request->call);
	const char *key = request->ask.key ? request->ask.key : "";
	struct lp_digest_part parts[] = {
		{ method, strlen(method) },
		{ host, strlen(host) },
		{ target, strlen(target) },
		{ NULL, 0 },
	};

	if (request->digest)
		return request->digest;
	parts[3].bytes = http_call_body(request->call, &parts[3].size);
	request->digest = lp_digest_keyed(key, parts, G_N_ELEMENTS(parts));
	return request->digest;
}

/* ---- upstreams that end under it ---- */

bool direct_request_passes(struct direct_request *request)
{
	struct direct_quarantine *quarantine = request->direct->quarantine;
	int64_t wait_us;

	if (direct_quarantine_passes(quarantine, request, &wait_us))
		return true;
	if (request->begun)
		direct_request_cut(request, "kept_out");
	else
		direct_request_refuse(request, wait_us, "kept_out");
	return false;
}

uint32_t direct_request_round(struct direct_request *request)
{
	return direct_quarantine_round(request->direct->quarantine, request);
}

void direct_request_lost(struct direct_request *request,
			 const struct pool_upstream *upstream, uint32_t round,
			 int64_t began_us)
{
	const struct loss loss = {
		.request = direct_request_digest(request),
		.round = round,
		.began_us = began_us,
	};

	direct_quarantine_lost(request->direct->quarantine, request);
	direct_ends_lost(request->direct->ends, upstream, loss);
}

/* ---- admission ---- */

/* Time until the first event, if it were let in now. */
static int64_t estimate_us(struct direct_request *request)
{
	const struct direct_route *route = request->route;
	int64_t *done_us = g_new0(int64_t, route->stages_count);
	int64_t longest_us = 0;

	for (uint32_t i = 0; i < route->stages_count; i++) {
		for (uint32_t j = 0; j < route->stages[i].after_count; j++)
			done_us[i] = MAX(done_us[i],
					 done_us[route->stages[i].after[j]]);
		if (graph_pieces(request->graph, i))
			done_us[i] += direct_stages_estimate_us(
				request->direct->stages,
				route->stages[i].service, request->priority);
		longest_us = MAX(longest_us, done_us[i]);
	}
	g_free(done_us);
	return longest_us + direct_prepare_engine_us(request);
}

static void log_overload(struct direct_request *request,
			 const struct admission_request *ask)
{
	struct lp_event_log *log = request->direct->options.log;

	if (!lp_event_begin(log, "admission", request->id))
		return;
	lp_event_text(log, "outcome", "refused");
	lp_event_int(log, "estimate_us", ask->estimate_us);
	lp_event_int(log, "within_us", ask->target_us);
	lp_event_int(log, "priority", request->priority);
	lp_event_int(log, "config", request->config->version);
	lp_event_end(log);
}

/* Returns whether it is let in; else it is refused and gone. */
static bool admit(struct direct_request *request)
{
	struct admission_request ask = {
		.target_us = request->route->target_us,
		.hash = lp_hash_str(request->id),
	};
	int64_t wait_us;

	if (!request->graph)
		return true;
	ask.estimate_us = estimate_us(request);
	wait_us = admission_refuse_us(&ask);
	if (!wait_us)
		return true;
	log_overload(request, &ask);
	direct_request_refuse(request, wait_us, "overload");
	return false;
}

/* Of a service that it still needs, no upstream is open in its regions. */
static bool needs_closed(const struct direct_request *request)
{
	const struct pool *pool = request->direct->pool;
	const struct direct_route *route = request->route;

	if (pool_is_closed(pool, request->service, request->homes))
		return true;
	for (uint32_t i = 0; request->graph && i < route->stages_count; i++)
		if (!graph_stage_made(request->graph, i) &&
		    pool_is_closed(pool, route->stages[i].service,
				   request->homes))
			return true;
	return false;
}

/* Returns whether an open domain could serve it; else it is refused and gone.
 */
static bool is_servable(struct direct_request *request)
{
	if (!needs_closed(request))
		return true;
	direct_request_refuse(request, DIRECT_WAIT_FULL_US, "domains_closed");
	return false;
}

void direct_request_domain_closed(struct direct_request *request)
{
	if (request->state == DIRECT_STATE_STAGES && request->service)
		is_servable(request);
}

void direct_request_entry_ends(struct direct_request *request)
{
	if (request->state != DIRECT_STATE_SENT && !request->begun)
		direct_request_refuse(request, DIRECT_WAIT_ELSEWHERE_US,
				      "draining");
}

/* ---- the beginning ---- */

static const struct direct_organisation *
find_organisation(const struct direct_config *config, const char *key)
{
	return key ? g_hash_table_lookup(config->keys, key) : NULL;
}

/* Match the request to the configuration; 0 or the status of a refusal. */
static uint32_t match(struct direct_request *request)
{
	struct direct *direct = request->direct;
	const char *target = http_call_target(request->call);
	g_autofree char *path = g_strndup(target, strcspn(target, "?#"));

	request->config = direct_config_ref(direct->config);
	request->route =
		direct_config_route(request->config, request->ask.host, path);
	if (!request->route)
		return 404;
	request->organisation =
		find_organisation(request->config, request->ask.key);
	if (request->config->needs_keys && !request->route->is_public &&
	    !request->organisation)
		return 401;
	request->homes =
		homes_both(request->route->homes,
			   request->organisation ? request->organisation->homes
						 : HOMES_ANYWHERE);
	request->priority = direct_config_rank(request->config, request->route,
					       request->organisation);
	request->service =
		direct_route_service(request->route, lp_hash_str(request->id));
	return request->service ? 0 : 404;
}

struct direct_learnt *
direct_request_learnt(const struct direct_request *request)
{
	GHashTable *routes = request->direct->learnt;
	const char *route = request->route->name;
	struct direct_learnt *learnt = g_hash_table_lookup(routes, route);

	if (!learnt) {
		learnt = g_new0(struct direct_learnt, 1);
		g_hash_table_insert(routes, g_strdup(route), learnt);
	}
	return learnt;
}

static void set_give_up(struct direct_request *request)
{
	int64_t wait_us = request->route->timeout_us;
	int64_t deadline_us = request->ask.deadline_us;
	int64_t left_us;

	if (deadline_us && (!wait_us || deadline_us < wait_us))
		wait_us = deadline_us;
	request->give_up_us = request->arrived_us + wait_us;
	left_us = MAX(request->give_up_us - direct_request_now_us(request), 0);
	request->give_up_timer = lp_timer_add((guint)(left_us / LP_US_PER_MS),
					      on_give_up, request);
}

static struct direct_request *create_request(struct direct *direct,
					     struct http_call *call)
{
	struct direct_request *request = g_new0(struct direct_request, 1);

	request->direct = direct;
	request->call = call;
	request->arrived_us = http_call_arrived_us(call);
	request->body = g_string_new(NULL);
	request->tried = g_ptr_array_new_with_free_func(g_free);
	request->ask.parts =
		g_array_new(FALSE, FALSE, sizeof(struct pool_part));
	request->ask.pieces = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_add(direct->requests, request);
	return request;
}

/* Before its entry does, and without putting that off. */
static bool ends_in_time(const struct direct_request *request)
{
	return request->give_up_us <= request->direct->end_us &&
	       request->give_up_us - request->arrived_us <= SHORT_US;
}

/* It can be read, and its entry is configured. */
static void enter(struct direct_request *request)
{
	struct direct *direct = request->direct;
	uint32_t status = match(request);

	if (status) {
		direct_request_answer_own(request, status, 0,
					  status == 401 ? "unknown_key"
							: "no_route");
		return;
	}
	http_call_set_disconnect_handler(request->call, on_caller_gone,
					 request);
	set_give_up(request);
	if (direct->end_us && !ends_in_time(request)) {
		direct_request_refuse(request, DIRECT_WAIT_ELSEWHERE_US,
				      "draining");
		return;
	}
	request->waited_us =
		patience_waited_us(&direct_request_learnt(request)->patience,
				   request->ask.deadline_us);
	retries_saw_request(direct->retries, request->service);
	if (!direct_request_passes(request))
		return;
	if (request->route->stages_count)
		direct_prepare_create(request);
	if (is_servable(request) && admit(request))
		direct_request_advance(request);
}

void direct_request_begin(struct direct *direct, struct http_call *call)
{
	struct direct_request *request = create_request(direct, call);
	bool readable = direct->options.codec->read_ask(http_call_fields(call),
							&request->ask);

	request->id = g_strdup(request->ask.id ? request->ask.id : "");
	if (!direct_ready(direct))
		direct_request_refuse(request, DIRECT_WAIT_START_US,
				      "not_configured");
	else if (!readable)
		direct_request_answer_own(request, 400, 0, "unreadable");
	else
		enter(request);
}
