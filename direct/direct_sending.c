/** A request on its way to an upstream and back. */
#include "direct/direct_events.h"

#include "base/lp_timer.h"
#include "direct/direct_request.h"

#include <string.h>

/* A further try needs at least this much time. */
#define TRY_MIN_US (50 * LP_US_PER_MS)
/* What may be repeated is sent elsewhere when this much of the target has
 * passed without an answer, within these bounds. */
#define STALL_TARGETS 2
#define STALL_MIN_US (300 * LP_US_PER_MS)
/* A stream that may resume: no event for this many of its longest pauses. */
#define STALL_GAPS 3
#define STALL_FIRST_MIN_US (1000 * LP_US_PER_MS)
#define STALL_EXPECTED 4
/* An answer of this size is not buffered any further. */
#define ANSWER_MAX (8 << 20)
/* A caller that takes nothing holds no more than this. */
#define UNSENT_MAX (1 << 20)

static void note_lost(struct direct_request *request)
{
	request->losses++;
	direct_request_lost(request, request->upstream, request->round,
			    request->sent_us);
}

/* End the sending under way; nothing is learnt from it but by `outcome`. */
void direct_sending_leave(struct direct_request *request,
			  enum pool_outcome outcome)
{
	struct pool_upstream *upstream = request->upstream;

	direct_clear_timer(&request->stall_timer);
	if (request->question)
		direct_places_drop(request->direct->places, request->question);
	request->question = 0;
	if (request->exchange)
		http_exchange_cancel(request->exchange);
	request->exchange = NULL;
	if (!upstream)
		return;
	upstream->in_flight--;
	if (!request->heard)
		upstream->tokens_ahead -= request->cold_tokens;
	pool_learn(request->direct->pool, upstream, outcome, 0, 0);
	if (request->place.peer)
		direct_places_ended(request->direct->places, &request->place,
				    outcome);
	pool_release(upstream);
	request->upstream = NULL;
}

/* ---- what the pool is asked ---- */

static const char *domain_of_maker(void *userdata, uint64_t maker)
{
	const struct pool *pool = userdata;
	const struct pool_upstream *upstream = pool_find_life(pool, maker);

	return upstream ? upstream->entry.domain : NULL;
}

static void write_pool_ask(const struct direct_request *request,
			   struct pool_ask *ask)
{
	*ask = (struct pool_ask){
		.service = request->service,
		.homes = request->homes,
		.parts = (struct pool_part *)request->ask.parts->data,
		.parts_count = request->ask.parts->len,
		.tried = (const char *const *)request->tried->pdata,
		.tried_count = request->tried->len,
		.target_us = request->arrived_us + request->route->target_us -
			     direct_request_now_us(request),
	};
	direct_stages_share(request->direct->stages, ask);
	if (request->graph)
		ask->domain = graph_main_domain(request->graph, domain_of_maker,
						request->direct->pool,
						&ask->fetch_bytes);
	/* Late in any case. */
	if (ask->target_us < 0)
		ask->target_us = 0;
}

/* ---- what follows a sending ---- */

static bool take_retry(void *userdata)
{
	struct direct_request *request = userdata;
	bool taken = retries_take(request->direct->retries, request->service);

	*direct_counter(request->direct, "linepier_retries_total",
			taken ? "budget=\"taken\"" : "budget=\"spent\"") += 1;
	return taken;
}

static void log_step(struct direct_request *request, enum verdict_event event,
		     enum verdict_step step, const char *why)
{
	static const char *const events[] = { "not_sent", "not_run",
					      "answered", "error",
					      "broken",	  "input_gone" };
	static const char *const steps[] = { "pass",   "again",	 "resume",
					     "remake", "refuse", "fail",
					     "cut" };
	struct lp_event_log *log = request->direct->options.log;

	if (step == VERDICT_PASS ||
	    !lp_event_begin(log, "sending_end", request->id))
		return;
	lp_event_text(log, "ended", events[event]);
	lp_event_text(log, "why", why);
	lp_event_text(log, "outcome", steps[step]);
	lp_event_text(log, "upstream",
		      request->tried->len
			      ? g_ptr_array_index(request->tried,
						  request->tried->len - 1)
			      : "");
	lp_event_int(log, "status", request->status);
	lp_event_int(log, "rest_us", request->reply.rest_us);
	lp_event_int(log, "after_us",
		     direct_request_now_us(request) - request->sent_us);
	lp_event_int(log, "sendings", request->moves);
	lp_event_end(log);
}

static void pass_answer(struct direct_request *request)
{
	direct_request_log_end(request, "answered", request->status, NULL);
	http_call_answer(request->call, request->status, &request->fields,
			 request->body->str, request->body->len);
	direct_request_free(request);
}

static void remake_inputs(struct direct_request *request)
{
	if (!request->graph) {
		direct_request_refuse(request, DIRECT_WAIT_FULL_US,
				      "inputs_gone");
		return;
	}
	direct_stages_lost_inputs(request->direct->stages, request,
				  request->route->stages_count);
	request->state = DIRECT_STATE_STAGES;
	direct_request_advance(request);
}

/* It may have ended the upstreams that it was lost with: no more of them in
 * this try. */
static bool is_suspect(const struct direct_request *request)
{
	return request->was_try || request->losses >= QUARANTINE_SUSPECT_ENDS;
}

/* Not run, and not sent again: back when some upstream may take it. */
static void refuse_not_run(struct direct_request *request, const char *why)
{
	struct pool_ask ask;
	int64_t wait_us;

	write_pool_ask(request, &ask);
	wait_us = pool_turn_us(request->direct->pool, &ask);
	direct_request_refuse(request, wait_us ? wait_us : DIRECT_WAIT_FULL_US,
			      why);
}

/* The sending has ended (the upstream is left); decide and act. */
static void step_on(struct direct_request *request, enum verdict_event event,
		    const char *why)
{
	bool repeatable = (request->route->kind == DIRECT_IDEMPOTENT ||
			   request->route->resumes) &&
			  !is_suspect(request);
	struct verdict_state state = {
		.repeatable = repeatable,
		.resumes = request->route->resumes,
		.begun = request->begun,
		.may_have_run = request->may_have_run,
		.runs = request->runs + 1,
		.runs_max = MAX(request->route->attempts_max, 1),
		.moves = request->moves,
		.has_time = direct_request_now_us(request) + TRY_MIN_US <
			    request->give_up_us,
	};
	enum verdict_step step =
		verdict_next(&state, event, take_retry, request);

	if (event == VERDICT_BROKEN || event == VERDICT_ERROR) {
		request->may_have_run = true;
		request->runs++;
	}
	log_step(request, event, step, why);
	switch (step) {
	case VERDICT_PASS:
		pass_answer(request);
		break;
	case VERDICT_AGAIN:
	case VERDICT_RESUME:
		direct_sending_start(request);
		break;
	case VERDICT_REMAKE:
		remake_inputs(request);
		break;
	case VERDICT_REFUSE:
		refuse_not_run(request, why);
		break;
	case VERDICT_FAIL:
		direct_request_answer_own(request, 502, 0, why);
		break;
	case VERDICT_CUT:
		direct_request_cut(request, why);
		break;
	}
}

/* ---- hearing from the upstream ---- */

static int64_t stall_us(const struct direct_request *request)
{
	const struct direct_route *route = request->route;
	int64_t left_us = request->give_up_us - direct_request_now_us(request);

	if (route->kind == DIRECT_STREAM && request->heard)
		return MAX(STALL_GAPS * route->gap_us, STALL_MIN_US);
	if (route->kind == DIRECT_STREAM)
		return MAX(STALL_EXPECTED * request->expected_us,
			   STALL_FIRST_MIN_US);
	return MIN(MAX(STALL_TARGETS * route->target_us, STALL_MIN_US),
		   left_us / 2);
}

static gboolean on_stall(gpointer userdata)
{
	struct direct_request *request = userdata;

	request->stall_timer = 0;
	note_lost(request);
	direct_sending_leave(request, POOL_UNREACHABLE);
	step_on(request, VERDICT_BROKEN, "silent");
	return G_SOURCE_REMOVE;
}

/* Only what may be repeated is taken from an upstream that is silent, and
 * only while a repeat is still allowed. */
static void set_stall_timer(struct direct_request *request)
{
	const struct direct_route *route = request->route;

	direct_clear_timer(&request->stall_timer);
	if (route->kind != DIRECT_IDEMPOTENT && !route->resumes)
		return;
	if (request->runs + 1 >= route->attempts_max)
		return;
	request->stall_timer = lp_timer_add(
		(guint)(stall_us(request) / LP_US_PER_MS), on_stall, request);
}

/* The upstream has begun to answer: it has read the prompt and its inputs. */
static void note_heard(struct direct_request *request)
{
	struct direct *direct = request->direct;
	int64_t took_us = direct_request_now_us(request) - request->sent_us;

	if (request->heard)
		return;
	request->heard = true;
	if (!request->first_us) {
		request->first_us = direct_request_now_us(request);
		direct_prepare_learn(request);
	}
	request->upstream->tokens_ahead -= request->cold_tokens;
	pool_learn(direct->pool, request->upstream, POOL_SERVED, took_us,
		   request->expected_us);
	if (request->place.peer)
		direct_places_heard(direct->places, &request->place, took_us,
				    request->expected_us);
	if (request->route->kind == DIRECT_STREAM)
		lp_histogram_add(direct->first_times,
				 direct_request_now_us(request) -
					 request->arrived_us);
	/* A stream that resumes has them made again: that is rare, and their
	 * makers' room is scarce. */
	if (request->graph)
		direct_stages_free_results(direct->stages, request, true);
}

static void on_head(void *userdata, uint32_t status,
		    const struct http_fields *fields)
{
	struct direct_request *request = userdata;

	request->status = status;
	request->unframed = !http_fields_get(fields, "Content-Length") &&
			    !http_fields_get(fields, "Transfer-Encoding");
	request->direct->options.codec->read_reply(status, fields, request->id,
						   &request->reply);
	direct_notices_hear(request->direct->notices, request->upstream,
			    &request->reply);
	/* A resumed stream keeps the head of its first upstream. */
	if (request->begun)
		return;
	http_fields_clear(&request->fields);
	http_fields_init(&request->fields);
	http_fields_copy_end_to_end(&request->fields, fields);
}

static bool is_stream(const struct direct_request *request)
{
	return request->status / 100 == 2 && request->reply.is_events &&
	       request->reply.is_ours && request->reply.is_genuine;
}

static void begin_answer(struct direct_request *request)
{
	if (request->begun)
		return;
	request->begun = true;
	http_call_start(request->call, request->status, &request->fields);
}

static void pass_events(struct direct_request *request)
{
	size_t size =
		direct_events_whole(request->body->str, request->body->len,
				    &request->last_event_id);

	if (!size)
		return;
	note_heard(request);
	begin_answer(request);
	http_call_write(request->call, request->body->str, size);
	g_string_erase(request->body, 0, (gssize)size);
	direct_quarantine_goes_on(request->direct->quarantine, request);
	set_stall_timer(request);
}

static void on_body(void *userdata, const char *bytes, size_t size)
{
	struct direct_request *request = userdata;

	g_string_append_len(request->body, bytes, (gssize)size);
	if (is_stream(request))
		pass_events(request);
	if (request->body->len > ANSWER_MAX ||
	    http_call_unsent_bytes(request->call) > UNSENT_MAX) {
		if (request->begun)
			direct_request_cut(request, "too_large");
		else
			direct_request_answer_own(request, 502, 0, "too_large");
	}
}

static void end_stream(struct direct_request *request)
{
	bool torn = request->unframed && request->body->len;

	note_heard(request);
	if (torn)
		note_lost(request);
	direct_sending_leave(request, torn ? POOL_UNREACHABLE : POOL_SERVED);
	if (torn) {
		g_string_truncate(request->body, 0);
		step_on(request, VERDICT_BROKEN, "torn");
		return;
	}
	direct_quarantine_served(request->direct->quarantine, request);
	begin_answer(request);
	http_call_write(request->call, request->body->str, request->body->len);
	direct_request_log_end(request, "answered", request->status, NULL);
	http_call_finish(request->call);
	direct_request_free(request);
}

static void end_plain(struct direct_request *request)
{
	const struct direct_reply *reply = &request->reply;
	bool success = request->status / 100 == 2;

	if (reply->other_process) {
		direct_ends_saw(request->direct->ends, request->upstream,
				DIRECT_END_REPLACED);
		direct_sending_leave(request, POOL_WRONG);
		step_on(request, VERDICT_NOT_RUN, "other_process");
	} else if (reply->not_run) {
		direct_sending_leave(request, POOL_FULL);
		step_on(request,
			reply->input_gone ? VERDICT_INPUT_GONE
					  : VERDICT_NOT_RUN,
			"not_run");
	} else if (!reply->is_ours || (success && !reply->is_genuine)) {
		direct_sending_leave(request, POOL_UNREACHABLE);
		step_on(request, VERDICT_BROKEN, "not_ours");
	} else if (request->begun) {
		direct_quarantine_served(request->direct->quarantine, request);
		direct_sending_leave(request, POOL_ERROR);
		step_on(request, VERDICT_BROKEN, "no_stream");
	} else if (request->status >= 500) {
		direct_quarantine_served(request->direct->quarantine, request);
		direct_sending_leave(request, POOL_ERROR);
		step_on(request, VERDICT_ERROR, "error");
	} else {
		direct_quarantine_served(request->direct->quarantine, request);
		note_heard(request);
		direct_sending_leave(request, POOL_SERVED);
		step_on(request, VERDICT_ANSWERED, "answered");
	}
}

static void on_done(void *userdata, int error, bool sent)
{
	struct direct_request *request = userdata;

	request->exchange = NULL;
	if (error) {
		g_string_truncate(request->body, 0);
		if (sent)
			note_lost(request);
		else if (error == LP_ERROR_NOT_LISTENING)
			direct_ends_saw(request->direct->ends,
					request->upstream, DIRECT_END_REFUSED);
		direct_sending_leave(request, POOL_UNREACHABLE);
		step_on(request, sent ? VERDICT_BROKEN : VERDICT_NOT_SENT,
			error == LP_ERROR_PROTOCOL ? "garbled" : "connection");
	} else if (is_stream(request)) {
		end_stream(request);
	} else {
		end_plain(request);
	}
}

static const struct http_exchange_events exchange_events = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

/* ---- sending ---- */

static void write_fields(struct direct_request *request,
			 struct http_fields *fields)
{
	GPtrArray *inputs = NULL;
	struct direct_offer offer = {
		.from = http_call_fields(request->call),
		.upstream = request->upstream->entry.id,
		.organisation = request->organisation
					? request->organisation->name
					: NULL,
		.left_us = request->give_up_us - direct_request_now_us(request),
		.priority = request->priority,
		.last_event_id = request->last_event_id
					 ? request->last_event_id
					 : request->ask.last_event_id,
		.copy_from = request->copy_from
				     ? request->copy_from->entry.address
				     : NULL,
	};

	if (request->graph) {
		inputs = g_ptr_array_new();
		graph_inputs(request->graph, request->route->stages_count,
			     inputs);
		offer.inputs = inputs;
	}
	request->direct->options.codec->write_offer(&offer, fields);
	if (inputs)
		g_ptr_array_unref(inputs);
}

/* What the engine lacks of the prompt and copies: by ourselves, or as its
 * placer says. */
static struct pool_copy find_copy(const struct direct_request *request)
{
	const struct pool *pool = request->direct->pool;
	const struct direct_place *place = &request->place;
	struct pool_ask ask;

	if (!place->peer) {
		write_pool_ask(request, &ask);
		return pool_find_copy(pool, request->upstream, &ask);
	}
	return (struct pool_copy){
		.from = place->source ? pool_find_life(pool, place->source)
				      : NULL,
		.tokens = place->copied_tokens,
		.cold_tokens = place->cold_tokens,
	};
}

/* By ourselves, or as its placer counts. */
static void count_tokens(struct direct_request *request)
{
	const struct direct_place *place = &request->place;
	struct pool_copy copy = find_copy(request);
	int64_t ahead = place->peer ? place->tokens_ahead
				    : request->upstream->tokens_ahead;

	request->copy_from = copy.from;
	request->cold_tokens = copy.cold_tokens;
	request->expected_us = DIRECT_ENGINE_FIRST_US / 4 +
			       (ahead + request->cold_tokens) * LP_US_PER_MS /
				       POOL_TOKENS_PER_MS +
			       pool_copy_us(request->direct->pool,
					    request->service, copy.tokens);
	*direct_counter(request->direct, "linepier_prompt_tokens_total",
			"cached=\"copied\"") += copy.tokens;
}

static void prepare_sending(struct direct_request *request,
			    struct pool_upstream *upstream)
{
	const GArray *parts = request->ask.parts;

	request->state = DIRECT_STATE_SENT;
	request->upstream = pool_hold(upstream);
	request->sent_us = direct_request_now_us(request);
	request->round = direct_request_round(request);
	request->heard = false;
	request->status = 0;
	memset(&request->reply, 0, sizeof(request->reply));
	g_string_truncate(request->body, 0);
	request->cold_tokens = 0;
	request->expected_us = 0;
	request->copy_from = NULL;
	if (parts->len) {
		count_tokens(request);
		pool_remember(request->direct->pool, upstream,
			      (struct pool_part *)parts->data, parts->len,
			      direct_prompt_tokens(request->direct,
						   request->service));
	}
	*direct_counter(request->direct, "linepier_prompt_tokens_total",
			"cached=\"no\"") += request->cold_tokens;
	upstream->in_flight++;
	upstream->tokens_ahead += request->cold_tokens;
	request->moves++;
	g_ptr_array_add(request->tried, g_strdup(upstream->entry.id));
}

static void log_sending(struct direct_request *request)
{
	struct lp_event_log *log = request->direct->options.log;

	if (!lp_event_begin(log, "sending", request->id))
		return;
	lp_event_text(log, "service", request->service);
	lp_event_text(log, "upstream", request->upstream->entry.id);
	lp_event_text(log, "domain", request->upstream->entry.domain);
	lp_event_int(log, "cold_tokens", request->cold_tokens);
	lp_event_text(log, "copy_from",
		      request->copy_from ? request->copy_from->entry.id : "");
	lp_event_int(log, "tokens_ahead", request->upstream->tokens_ahead);
	lp_event_int(log, "expected_us", request->expected_us);
	lp_event_text(log, "placer",
		      request->place.peer
			      ? direct_peers_ip(request->direct->peers,
						request->place.peer)
			      : "");
	lp_event_int(log, "in_flight", request->upstream->in_flight);
	lp_event_int(log, "waited_us", request->sent_us - request->arrived_us);
	lp_event_int(log, "config", request->config->version);
	lp_event_int(log, "list_age_us",
		     request->sent_us - request->direct->listed_us);
	lp_event_end(log);
}

static void start_exchange(struct direct_request *request)
{
	const char *method = http_call_method(request->call);
	struct http_fields fields;
	size_t size;
	const char *body = http_call_body(request->call, &size);

	http_fields_init(&fields);
	write_fields(request, &fields);
	request->exchange = http_exchange_start(&(struct http_exchange_options){
		.address = request->upstream->entry.address,
		.method = method,
		.target = http_call_target(request->call),
		.fields = &fields,
		.body = body,
		.body_size = size,
		.has_body = size || (strcmp(method, "GET") != 0 &&
				     strcmp(method, "HEAD") != 0),
		.connect_timeout_us = DIRECT_CONNECT_TIMEOUT_US,
		.events = &exchange_events,
		.userdata = request,
	});
	http_fields_clear(&fields);
}

/* Nobody may take it; some upstream may in `wait_us`; 0: that is not known. */
static void refuse_unplaced(struct direct_request *request, int64_t wait_us)
{
	const char *why = wait_us ? "limited" : "no_upstream";

	if (request->begun)
		direct_request_cut(request, why);
	else
		direct_request_refuse(
			request, wait_us ? wait_us : DIRECT_WAIT_FULL_US, why);
}

static void send_to(struct direct_request *request,
		    struct pool_upstream *upstream)
{
	prepare_sending(request, upstream);
	log_sending(request);
	start_exchange(request);
	if (!request->exchange) {
		direct_sending_leave(request, POOL_UNREACHABLE);
		step_on(request, VERDICT_NOT_SENT, "connection");
		return;
	}
	set_stall_timer(request);
}

/* `wait_us`: its placer had none and says when some may take it; else 0. */
static void place_by_ourselves(struct direct_request *request,
			       struct pool_ask *ask, int64_t wait_us)
{
	struct pool *pool = request->direct->pool;
	struct pool_upstream *upstream;

	request->place = (struct direct_place){ 0 };
	upstream = pool_pick(pool, ask);
	if (!upstream) { /* none of its share is left */
		ask->share_count = 0;
		upstream = pool_pick(pool, ask);
	}
	if (!upstream) {
		refuse_unplaced(request,
				wait_us ? wait_us : pool_turn_us(pool, ask));
		return;
	}
	pool_sent(pool, upstream);
	send_to(request, upstream);
}

static void on_placed(void *userdata, struct pool_upstream *upstream,
		      const struct direct_place *place)
{
	struct direct_request *request = userdata;
	struct pool_ask ask;

	request->question = 0;
	if (!upstream) {
		write_pool_ask(request, &ask);
		place_by_ourselves(request, &ask, place->wait_us);
		return;
	}
	request->place = *place;
	send_to(request, upstream);
}

/* Returns whether a peer was asked where the prompt goes. */
static bool ask_placer(struct direct_request *request,
		       const struct pool_ask *ask)
{
	struct direct *direct = request->direct;
	uint64_t placer;

	if (!direct->places || !request->ask.parts->len)
		return false;
	placer = direct_stages_placer(direct->stages, ask);
	if (!placer)
		return false;
	request->question = direct_places_ask(direct->places, placer, ask,
					      on_placed, request);
	if (!request->question)
		return false;
	request->state = DIRECT_STATE_PLACED;
	return true;
}

void direct_sending_start(struct direct_request *request)
{
	struct pool_ask ask;

	if (!direct_request_passes(request))
		return;
	if (request->graph &&
	    !graph_inputs_kept(request->graph, request->route->stages_count)) {
		remake_inputs(request);
		return;
	}
	write_pool_ask(request, &ask);
	if (!ask_placer(request, &ask))
		place_by_ourselves(request, &ask, 0);
}
