/** A request from admission to its answer. */
#include "direct/direct_request.h"

#include "direct/direct_answer_flow.h"

#include "base/lp_digest.h"
#include "base/lp_id.h"
#include "base/lp_timer.h"
#include "policy/admission.h"
#include "policy/outage_wait.h"

#include <string.h>

/* An entry that shuts down still admits requests that last no longer than its
 * restart. */
#define SHUTDOWN_TIMEOUT_MAX_US (1 * LP_US_PER_S)

/* Bytes of a caller's text in a log line. */
#define LOGGED_TEXT_MAX 64

/* ---- answering and freeing ---- */

void direct_request_free(struct direct_request *request)
{
	direct_sending_end(request, POOL_UNDETERMINED);
	direct_clear_timer(&request->deadline_timer);
	direct_clear_timer(&request->resume_timer);
	direct_stream_version_cancel(request);
	direct_quarantine_request_ended(request->direct->quarantine, request);
	if (request->graph)
		direct_stages_cancel(request->direct->stages, request);
	g_hash_table_remove(request->direct->requests, request);
	graph_destroy(request->graph);
	g_free(request->requested_us);
	g_free(request->completed_us);
	http_fields_clear(&request->fields);
	g_string_free(request->body, TRUE);
	g_ptr_array_unref(request->tried_upstreams);
	g_array_unref(request->info.prefix_blocks);
	g_array_unref(request->info.pieces);
	direct_config_unref(request->config);
	g_free(request->stream_version);
	g_free(request->last_event_id);
	g_free(request->id);
	g_free(request);
}

void direct_request_discard(struct direct_request *request)
{
	direct_request_log_end(request, "cut", request->status, "shutdown");
	direct_request_free(request);
}

/* Adds "stage:requested+took" for each stage: when its pieces were requested,
 * in ms since the request arrived, and how many ms they took (-1: incomplete).
 */
static void add_stage_times(struct direct_request *request)
{
	g_autoptr(GString) text = g_string_new(NULL);

	if (!request->graph || !request->route)
		return;
	for (uint32_t i = 0; i < request->route->stages_count; i++) {
		int64_t requested_us = request->requested_us[i];
		int64_t completed_us = request->completed_us[i];

		if (!requested_us)
			continue;
		g_string_append_printf(
			text, "%s%u:%" G_GINT64_FORMAT "+%" G_GINT64_FORMAT,
			text->len ? " " : "", i,
			(gint64)((requested_us - request->arrived_us) /
				 LP_US_PER_MS),
			(gint64)(completed_us ? (completed_us - requested_us) /
							LP_US_PER_MS
					      : -1));
	}
	lp_event_text(request->direct->options.log, "stages_ms", text->str);
}

/* Callers choose the length of their ids. */
static void log_caller_text(struct lp_event_log *log, const char *name,
			    const char *text)
{
	g_autofree char *start = g_strndup(text, LOGGED_TEXT_MAX);

	lp_event_text(log, name, start);
}

void direct_request_log_resumed(const struct direct_request *request)
{
	struct lp_event_log *log = request->direct->options.log;
	const char *after_event = request->last_event_id
					  ? request->last_event_id
					  : request->info.last_event_id;

	if (after_event)
		log_caller_text(log, "after_event", after_event);
	if (request->info.resumed_attempt)
		log_caller_text(log, "resumes", request->info.resumed_attempt);
	if (request->stream_version)
		lp_event_text(log, "stream_version", request->stream_version);
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
		     request->first_event_us
			     ? request->first_event_us - request->arrived_us
			     : -1);
	lp_event_int(log, "waited_us", request->client_waited_us);
	if (request->deadline_us)
		lp_event_int(log, "left_us",
			     request->deadline_us -
				     direct_request_now_us(request));
	lp_event_int(log, "sendings", request->sendings);
	lp_event_int(log, "config", direct_config_version(direct));
	add_stage_times(request);
	lp_event_end(log);
}

void direct_request_reply_locally(struct direct_request *request,
				  uint32_t status, int64_t retry_after_us,
				  const char *why)
{
	struct http_fields fields;

	/* The caller would take a second answer for a part of the first. */
	if (request->answer_begun) {
		direct_request_abort(request, why);
		return;
	}
	direct_sending_end(request, POOL_UNDETERMINED);
	direct_request_log_end(request, status == 503 ? "refused" : "failed",
			       status, why);
	http_fields_init(&fields);
	request->direct->options.codec->write_refusal(request->id,
						      retry_after_us, &fields);
	http_call_answer(request->call, status, &fields, NULL, 0);
	http_fields_clear(&fields);
	direct_request_free(request);
}

/* The status 503 says "not run", which holds only if no sending can have run.
 */
void direct_request_refuse(struct direct_request *request,
			   int64_t retry_after_us, const char *why)
{
	if (request->is_moving)
		direct_stall_stay(request);
	else if (request->may_have_run)
		direct_request_reply_locally(request, 502, 0, why);
	else
		direct_request_reply_locally(request, 503, retry_after_us, why);
}

int64_t direct_request_recovery_wait_us(const struct direct_request *request)
{
	return outage_wait_us(direct_request_now_us(request) -
				      request->direct->started_us,
			      lp_hash_str(request->id));
}

void direct_request_abort(struct direct_request *request, const char *why)
{
	direct_sending_end(request, POOL_UNDETERMINED);
	direct_stream_resume_end(request, "failed", why);
	direct_request_log_end(request, "cut", request->status, why);
	http_call_abort(request->call);
	direct_request_free(request);
}

static gboolean on_deadline(gpointer userdata)
{
	struct direct_request *request = userdata;

	request->deadline_timer = 0;
	direct_stall_stay(request);
	if (request->answer_begun)
		direct_request_abort(request, "deadline");
	else if (request->exchange && http_exchange_has_sent(request->exchange))
		direct_request_reply_locally(request, 504, 0, "deadline");
	else
		direct_request_refuse(request, DIRECT_RETRY_AFTER_FULL_US,
				      "deadline");
	return G_SOURCE_REMOVE;
}

static void on_caller_gone(void *userdata)
{
	struct direct_request *request = userdata;

	direct_stream_resume_end(request, "caller_gone", NULL);
	direct_request_log_end(request, "caller_gone", 0, NULL);
	direct_request_free(request);
}

/* ---- digest ---- */

/* The digest is keyed with the caller's own API key. Every entry receives the
 * key from the caller, and nobody without it can test guesses of the content
 * against digests in logs and datagrams. */
uint64_t direct_request_digest(struct direct_request *request)
{
	const char *method = http_call_method(request->call);
	const char *host = request->info.host ? request->info.host : "";
	const char *target = http_call_target(request->call);
	const char *key = request->info.organisation_key
				  ? request->info.organisation_key
				  : "";
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

/* ---- quarantine ---- */

/* Adds the digests of the parts of a prompt. */
static void add_part_digests(struct lp_event_log *log,
			     const struct quarantine_keys *keys)
{
	g_autoptr(GString) text = g_string_new(NULL);

	for (uint32_t i = 0; i < keys->count; i++) {
		char digest[LP_DIGEST_SIZE];

		if (!keys->items[i].is_part)
			continue;
		lp_digest_print(keys->items[i].digest, digest);
		g_string_append_printf(text, "%s%s", text->len ? " " : "",
				       digest);
	}
	lp_event_text(log, "parts", text->str);
}

static void log_lost(const struct direct_request *request, const char *event,
		     const struct pool_upstream *upstream,
		     const struct lost_request *lost)
{
	struct lp_event_log *log = request->direct->options.log;

	if (!lp_event_begin(log, event, request->id))
		return;
	lp_event_text(log, "upstream", upstream->info.id);
	lp_event_digest(log, "content", lost->keys.items[0].digest);
	lp_event_text(log, "organisation",
		      request->organisation ? request->organisation->name : "");
	lp_event_int(log, "responded", lost->had_begun);
	add_part_digests(log, &lost->keys);
	lp_event_end(log);
}

bool direct_request_check_quarantine(struct direct_request *request)
{
	struct direct_quarantine *quarantine = request->direct->quarantine;
	int64_t wait_us;

	if (direct_quarantine_admit(quarantine, request, &wait_us))
		return true;
	direct_request_refuse(request, wait_us, "kept_out");
	return false;
}

uint32_t direct_request_quarantine_round(struct direct_request *request)
{
	return direct_quarantine_round(request->direct->quarantine, request);
}

static void report_lost(struct direct_request *request,
			const struct pool_upstream *upstream,
			const struct lost_request *lost)
{
	*direct_counter(request->direct, "linepier_requests_lost_total",
			NULL) += 1;
	log_lost(request, "request_lost", upstream, lost);
	direct_quarantine_request_lost(request->direct->quarantine, request);
	direct_terminations_add_lost_request(request->direct->terminations,
					     upstream, *lost);
}

/* The sending in progress. */
static struct lost_request describe_sending(struct direct_request *request)
{
	return (struct lost_request){
		.keys = *direct_quarantine_keys(request->direct->quarantine,
						request),
		.had_begun = request->upstream_responded,
		.sent_us = request->sent_us,
	};
}

void direct_request_report_lost(struct direct_request *request)
{
	const struct lost_request lost = describe_sending(request);

	report_lost(request, request->upstream, &lost);
}

void direct_request_report_left(struct direct_request *request)
{
	const struct lost_request left = describe_sending(request);

	*direct_counter(request->direct, "linepier_requests_left_total",
			NULL) += 1;
	log_lost(request, "request_left", request->upstream, &left);
	direct_terminations_add_lost_request(request->direct->terminations,
					     request->upstream, left);
}

/* Upstreams that compute pieces do not read the prompt. */
void direct_request_report_lost_pieces(struct direct_request *request,
				       const struct pool_upstream *upstream,
				       uint32_t round, int64_t began_us)
{
	struct lost_request lost = { .sent_us = began_us };

	quarantine_keys_add(&lost.keys, direct_request_digest(request), false);
	lost.keys.items[0].round = round;
	report_lost(request, upstream, &lost);
}

/* ---- admission ---- */

/* What is known of the stages of a request. */
static struct admission_stage *read_stages(struct direct_request *request)
{
	const struct direct_route *route = request->route;
	struct admission_stage *stages =
		g_new0(struct admission_stage, route->stages_count);

	for (uint32_t i = 0; i < route->stages_count; i++) {
		struct admission_stage *stage = &stages[i];

		stage->inputs = route->stages[i].input_stages;
		stage->inputs_count = route->stages[i].input_stages_count;
		stage->is_skipped = !graph_piece_count(request->graph, i);
		if (stage->is_skipped)
			continue;
		direct_stages_estimate(request->direct->stages,
				       route->stages[i].service, request->id,
				       request->priority, stage);
		stage->alone_us = direct_stage_plan_stage_us(request, i);
	}
	return stages;
}

/* Time until an upstream of the request's own service takes requests: all are
 * in pushback or at their rate limits until then. 0: now, or unknown. */
static int64_t upstream_wait_us(const struct direct_request *request)
{
	const struct pool *pool = request->direct->pool;
	const GPtrArray *list = pool_service_upstreams(pool, request->service);
	int64_t now_us = direct_request_now_us(request);
	int64_t shortest_us = -1;

	for (guint i = 0; list && i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);
		int64_t wait_us = MAX(upstream->pushback_until_us - now_us,
				      pool_rate_limit_wait_us(pool, upstream));

		if (!pool_is_eligible(upstream) ||
		    (request->has_version &&
		     upstream->version_id != request->version_id))
			continue;
		if (wait_us <= 0)
			return 0;
		if (shortest_us < 0 || wait_us < shortest_us)
			shortest_us = wait_us;
	}
	return MAX(shortest_us, 0);
}

/* Information used for a decision. */
struct admission_basis {
	struct admission_stage *stages;
	int64_t *done_us; /* per stage, from now on */
	uint32_t count;
	int64_t upstream_wait_us;
	struct admission_path path;
};

static void estimate(struct direct_request *request,
		     struct admission_basis *basis)
{
	basis->count = request->route->stages_count;
	basis->done_us = g_new0(int64_t, basis->count);
	basis->stages = read_stages(request);
	basis->upstream_wait_us = upstream_wait_us(request);
	basis->path = admission_estimate_path(
		basis->stages, basis->count, basis->upstream_wait_us,
		direct_stage_plan_engine_us(request),
		direct_request_now_us(request), basis->done_us);
}

static void clear_basis(struct admission_basis *basis)
{
	g_free(basis->stages);
	g_free(basis->done_us);
}

/* Adds "stage:done@age" for each stage: in how many ms it would be completed,
 * and the age in ms of the notice of its dispatcher (-1: none). */
static void add_stage_estimates(struct lp_event_log *log,
				const struct admission_basis *basis)
{
	g_autoptr(GString) text = g_string_new(NULL);

	for (uint32_t i = 0; i < basis->count; i++) {
		const struct admission_stage *stage = &basis->stages[i];

		if (stage->is_skipped)
			continue;
		g_string_append_printf(
			text, "%s%u:%" G_GINT64_FORMAT "@%" G_GINT64_FORMAT,
			text->len ? " " : "", i,
			(gint64)(basis->done_us[i] / LP_US_PER_MS),
			(gint64)(stage->age_us < 0
					 ? -1
					 : stage->age_us / LP_US_PER_MS));
	}
	lp_event_text(log, "estimates_ms", text->str);
}

static void log_admission(struct direct_request *request,
			  const struct admission_request *admission,
			  const struct admission_basis *basis,
			  const struct admission_decision *decision)
{
	struct lp_event_log *log = request->direct->options.log;

	if (!lp_event_begin(log, "admission", request->id))
		return;
	lp_event_text(log, "outcome",
		      admission_outcome_name(decision->outcome));
	lp_event_text(log, "route", request->route->name);
	lp_event_int(log, "estimate_us", admission->estimate_us);
	lp_event_int(log, "late_us", admission->late_us);
	lp_event_int(log, "within_us", admission->target_us);
	lp_event_int(log, "waited_us", admission->waited_us);
	lp_event_int(log, "left_us", admission->left_us);
	lp_event_int(log, "priority", request->priority);
	lp_event_int(log, "upstream_wait_us", basis->upstream_wait_us);
	add_stage_estimates(log, basis);
	lp_event_int(log, "pressure", admission->is_under_pressure);
	lp_event_int(log, "preferred", decision->is_preferred);
	lp_event_int(log, "probe", decision->is_probe);
	lp_event_int(log, "retry_after_us", decision->retry_after_us);
	lp_event_int(log, "config", request->config->version);
	lp_event_end(log);
}

/* Whether the service of any of its stages refuses at present. */
static bool is_under_pressure(struct direct_request *request,
			      const struct admission_basis *basis)
{
	for (uint32_t i = 0; i < basis->count; i++)
		if (!basis->stages[i].is_skipped &&
		    admission_is_under_pressure(
			    direct_stages_pressure(
				    request->direct->stages,
				    request->route->stages[i].service),
			    request->priority, direct_request_now_us(request)))
			return true;
	return false;
}

static void record_decision(struct direct_request *request,
			    const struct admission_basis *basis,
			    const struct admission_decision *decision)
{
	struct direct *direct = request->direct;
	const char *outcome = admission_outcome_name(decision->outcome);
	g_autofree char *labels = g_strdup_printf("outcome=\"%s\"", outcome);

	*direct_counter(direct, "linepier_admissions_total", labels) += 1;
	if (decision->outcome != ADMISSION_REFUSED)
		admission_record_admission(
			&direct_request_estimates(request)->return_share,
			decision->is_preferred, direct_request_now_us(request));
	admission_record_decision(
		direct_stages_pressure(
			direct->stages,
			request->route->stages[basis->path.bottleneck].service),
		request->priority, decision, direct_request_now_us(request));
}

/* Time within which the next event is of use to the caller. */
static int64_t target_us(const struct direct_request *request)
{
	return direct_request_is_resumed(request)
		       ? direct_stream_resume_limit_us(request) -
				 request->arrived_us
		       : request->route->target_us;
}

static struct admission_decision decide(struct direct_request *request,
					const struct admission_basis *basis)
{
	int64_t now_us = direct_request_now_us(request);
	const struct admission_request admission = {
		.estimate_us = admission_correct_us(
			&direct_request_estimates(request)->admission_error,
			basis->path.first_event_us, now_us),
		.late_us = basis->path.late_us,
		.age_us = basis->path.age_us,
		.target_us = target_us(request),
		.waited_us = direct_request_is_resumed(request)
				     ? 0
				     : request->client_waited_us,
		.left_us = MAX(request->deadline_us - now_us, 0),
		.hash = lp_hash_str(request->id),
		.is_under_pressure = is_under_pressure(request, basis),
		.has_return_share = admission_has_return_share(
			&direct_request_estimates(request)->return_share,
			now_us),
	};
	struct admission_decision decision = admission_decide(&admission);

	record_decision(request, basis, &decision);
	if (decision.outcome == ADMISSION_ON_TIME)
		request->estimated_us = basis->path.first_event_us;
	if (decision.outcome != ADMISSION_ON_TIME)
		log_admission(request, &admission, basis, &decision);
	return decision;
}

/* Returns whether the request is admitted; otherwise it is refused and freed.
 * Without stages, only the wait for an upstream is known. Sending decides by it
 * at once, and refuses with the time at which an upstream can take the request
 * after those that were refused before. */
static bool admit(struct direct_request *request)
{
	struct admission_basis basis = { 0 };
	struct admission_decision decision;

	if (!request->graph)
		return true;
	estimate(request, &basis);
	decision = decide(request, &basis);
	clear_basis(&basis);
	if (decision.outcome == ADMISSION_REFUSED) {
		direct_request_refuse(request, decision.retry_after_us,
				      "overload");
		return false;
	}
	request->is_admitted_late = decision.outcome == ADMISSION_LATE;
	direct_stages_commit(request->direct->stages, request,
			     request->is_admitted_late);
	return true;
}

/* Whether a service that the request still needs has upstreams in closed
 * domains only, within the allowed regions. */
static bool needs_closed_domain(const struct direct_request *request)
{
	const struct pool *pool = request->direct->pool;
	const struct direct_route *route = request->route;

	if (pool_service_is_closed(pool, request->service,
				   request->allowed_regions))
		return true;
	for (uint32_t i = 0; request->graph && i < route->stages_count; i++)
		if (!graph_stage_completed(request->graph, i) &&
		    pool_service_is_closed(pool, route->stages[i].service,
					   request->allowed_regions))
			return true;
	return false;
}

/* Returns whether open domains can serve the request; otherwise it is refused
 * and freed. */
static bool check_domains_open(struct direct_request *request)
{
	if (!needs_closed_domain(request))
		return true;
	direct_request_refuse(request, DIRECT_RETRY_AFTER_FULL_US,
			      "domains_closed");
	return false;
}

void direct_request_refuse_if_closed(struct direct_request *request)
{
	if (request->state == DIRECT_STATE_STAGES && request->service)
		check_domains_open(request);
}

void direct_request_refuse_if_version_gone(struct direct_request *request)
{
	if (request->state == DIRECT_STATE_STAGES && request->service)
		direct_stream_version_check(request);
}

void direct_request_refuse_unsent(struct direct_request *request)
{
	if (!request->exchange)
		direct_request_refuse(request, DIRECT_RETRY_AFTER_DRAINING_US,
				      "draining");
}

/* ---- what a request waits for ---- */

/* Stages from this one on share a bit of the mask. */
#define WAITING_STAGE_MAX 63

static uint64_t stage_bit(uint32_t stage)
{
	return UINT64_C(1) << MIN(stage, WAITING_STAGE_MAX);
}

void direct_request_clear_waiting(struct direct_request *request)
{
	request->waiting_stages = 0;
}

void direct_request_mark_waiting(struct direct_request *request, uint32_t stage)
{
	request->waiting_stages |= stage_bit(stage);
}

static bool has_requested_piece(const struct graph *graph, uint32_t stage)
{
	for (uint32_t i = 0; i < graph_piece_count(graph, stage); i++)
		if (graph_get_piece_state(graph, stage, i) ==
		    GRAPH_PIECE_REQUESTED)
			return true;
	return false;
}

static bool waits_for_stages(const struct direct_request *request)
{
	if (!request->graph)
		return false;
	for (uint32_t i = 0; i < request->route->stages_count; i++)
		if (has_requested_piece(request->graph, i) &&
		    !(request->waiting_stages & stage_bit(i)))
			return false;
	return request->waiting_stages != 0;
}

bool direct_request_is_waiting(const struct direct_request *request)
{
	if (request->exchange)
		return true;
	switch (request->state) {
	case DIRECT_STATE_STAGES:
		return waits_for_stages(request);
	case DIRECT_STATE_ORIGIN:
		return request->origin_lookup != 0;
	case DIRECT_STATE_PLACING:
		return request->placement_query || request->placement_timer;
	case DIRECT_STATE_SENT:
		break;
	}
	return false;
}

/* ---- arrival ---- */

static const struct direct_organisation *
find_organisation(const struct direct_config *config, const char *key)
{
	return key ? g_hash_table_lookup(config->keys, key) : NULL;
}

/* Finds route, organisation, allowed regions, priority and service of a
 * request. Returns 0 or the status of a refusal. */
static uint32_t match_route(struct direct_request *request)
{
	struct direct *direct = request->direct;
	const char *target = http_call_target(request->call);
	g_autofree char *path = g_strndup(target, strcspn(target, "?#"));

	request->config = direct_config_ref(direct->config);
	request->route =
		direct_config_route(request->config, request->info.host, path);
	if (!request->route)
		return 404;
	request->organisation = find_organisation(
		request->config, request->info.organisation_key);
	if (request->config->needs_keys && !request->route->is_public &&
	    !request->organisation)
		return 401;
	request->allowed_regions = allowed_regions_intersect(
		request->route->allowed_regions,
		request->organisation ? request->organisation->allowed_regions
				      : ALLOWED_REGIONS_ANY);
	request->priority = direct_config_rank(request->config, request->route,
					       request->organisation);
	request->service = direct_route_pick_service(request->route,
						     lp_hash_str(request->id));
	return request->service ? 0 : 404;
}

struct direct_route_estimates *
direct_request_estimates(const struct direct_request *request)
{
	GHashTable *routes = request->direct->route_estimates;
	const char *route = request->route->name;
	struct direct_route_estimates *estimates =
		g_hash_table_lookup(routes, route);

	if (!estimates) {
		estimates = g_new0(struct direct_route_estimates, 1);
		g_hash_table_insert(routes, g_strdup(route), estimates);
	}
	return estimates;
}

static void set_deadline(struct direct_request *request)
{
	int64_t wait_us = request->route->timeout_us;
	int64_t deadline_us = request->info.timeout_us;
	int64_t left_us;

	if (deadline_us && (!wait_us || deadline_us < wait_us))
		wait_us = deadline_us;
	request->deadline_us = request->arrived_us + wait_us;
	http_call_set_deadline(request->call, request->deadline_us);
	left_us = MAX(request->deadline_us - direct_request_now_us(request), 0);
	request->deadline_timer = lp_timer_add((guint)(left_us / LP_US_PER_MS),
					       on_deadline, request);
}

static struct direct_request *create_request(struct direct *direct,
					     struct http_call *call)
{
	struct direct_request *request = g_new0(struct direct_request, 1);

	request->direct = direct;
	request->call = call;
	request->arrived_us = http_call_arrived_us(call);
	request->body = g_string_new(NULL);
	request->tried_upstreams = g_ptr_array_new_with_free_func(g_free);
	request->info.prefix_blocks =
		g_array_new(FALSE, FALSE, sizeof(struct pool_prefix_block));
	request->info.pieces = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_add(direct->requests, request);
	return request;
}

/* Whether the deadline of a request lies before the planned termination of the
 * entry and is short enough not to delay it. */
static bool ends_before_shutdown(const struct direct_request *request)
{
	return request->deadline_us <= request->direct->shutdown_us &&
	       request->deadline_us - request->arrived_us <=
		       SHUTDOWN_TIMEOUT_MAX_US;
}

/* Serves a request whose service is known. */
static void admit_request(struct direct_request *request)
{
	struct direct *direct = request->direct;

	request->client_waited_us = client_wait_elapsed_us(
		&direct_request_estimates(request)->client_wait,
		request->info.timeout_us);
	retry_budget_add_request(direct->retry_budget, request->service);
	if (!direct_request_check_quarantine(request))
		return;
	if (request->route->stages_count)
		direct_stage_plan_create(request);
	if (check_domains_open(request) && admit(request))
		direct_request_advance(request);
}

/* Serves a readable request at an entry that is ready. */
static void process_request(struct direct_request *request)
{
	struct direct *direct = request->direct;
	uint32_t status = match_route(request);

	if (status) {
		direct_request_reply_locally(request, status, 0,
					     status == 401 ? "unknown_key"
							   : "no_route");
		return;
	}
	http_call_set_disconnect_handler(request->call, on_caller_gone,
					 request);
	http_call_set_taken_handler(request->call, direct_answer_flow_on_taken,
				    request);
	set_deadline(request);
	if (direct->shutdown_us && !ends_before_shutdown(request)) {
		direct_request_refuse(request, DIRECT_RETRY_AFTER_DRAINING_US,
				      "draining");
		return;
	}
	if (direct_stream_version_needs_lookup(request))
		direct_stream_version_look_up(request, admit_request);
	else
		admit_request(request);
}

void direct_request_begin(struct direct *direct, struct http_call *call)
{
	struct direct_request *request = create_request(direct, call);
	bool readable = direct->options.codec->read_request(
		http_call_fields(call), &request->info);

	request->id = g_strdup(request->info.id ? request->info.id : "");
	if (!direct_ready(direct))
		direct_request_refuse(request,
				      direct_request_recovery_wait_us(request),
				      "not_configured");
	else if (!readable)
		direct_request_reply_locally(request, 400, 0, "unreadable");
	else
		process_request(request);
}
