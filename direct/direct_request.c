/** The life of one request, from its caller to an upstream and back. */
#include "direct/direct_private.h"

#include "base/lp_id.h"

#include <string.h>

/* A connection that does not stand by then will not be used. */
#define CONNECT_TIMEOUT_US (400 * LP_US_PER_MS)
/* Come back after this: no configuration, no upstream, all full. A restart
 * or a new list takes about a second, a full queue empties sooner. */
#define WAIT_START_US (500 * LP_US_PER_MS)
#define WAIT_FULL_US (250 * LP_US_PER_MS)
#define WAIT_MAX_US (1500 * LP_US_PER_MS)
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
/* A first event at an engine without load; a start value for estimates. */
#define ENGINE_FIRST_US (120 * LP_US_PER_MS)
#define TOKENS_PER_MS 60
/* Pieces that have to be made again, for all stages of one request. */
#define REMAKES_MAX 24
/* A request's results that fill this part of an upstream's room (a fiftieth)
 * are not left waiting there. */
#define ROOM_SHARES 50
/* Let in what is expected within so many targets. 0.85 was tried: refusals cost
 * more than late answers did (journal of 2026-12-02). */
#define ADMIT_TARGETS 1.0
/* Part of an engine's memory that is believed to hold prompts. */
#define MEMORY_SHARE 0.8
/* An answer of this size is not buffered any further. */
#define ANSWER_MAX (8 << 20)
/* A caller that takes nothing holds no more than this. */
#define UNSENT_MAX (1 << 20)

enum state {
	STATE_STAGES, /* pieces are being made */
	STATE_SENT,   /* an upstream has it */
};

struct direct_request {
	struct direct *direct;
	struct http_call *call;
	char *id;
	struct direct_config *config;
	const struct direct_route *route;
	const char *service;
	const struct direct_organisation *organisation;
	struct direct_ask ask;
	int64_t arrived_us;
	int64_t give_up_us;
	int32_t priority;
	guint give_up_timer;
	guint stall_timer;
	enum state state;
	/* stages */
	struct graph *graph; /* NULL: none */
	uint32_t remakes;
	int64_t *asked_us; /* a stage: when its pieces were asked for first */
	int64_t *made_us;  /* and when the last of them was made */
	/* the sending under way */
	struct http_exchange *exchange;
	struct pool_upstream *upstream;
	int64_t sent_us;
	int64_t expected_us;
	int64_t cold_tokens;
	bool heard; /* an event, or the head of another answer */
	uint32_t status;
	struct http_fields fields;
	struct direct_reply reply;
	bool unframed;
	GString *body; /* of an answer; of a stream: what is no event yet */
	/* over all sendings */
	GPtrArray *tried; /* ids, owned */
	uint32_t runs;
	uint32_t moves;
	bool may_have_run;
	bool begun;
	char *last_event_id;
};

static void send_request(struct direct_request *request);

static int64_t now_us(const struct direct_request *request)
{
	return lp_now_us(request->direct->options.clock);
}

static int64_t *counter(struct direct *direct, const char *name,
			const char *labels)
{
	return lp_counter(direct->options.counters, name, labels);
}

struct graph *direct_request_graph(struct direct_request *request)
{
	return request->graph;
}

const char *direct_request_id(const struct direct_request *request)
{
	return request->id;
}

const char *direct_request_piece_key(const struct direct_request *request)
{
	return request->ask.piece_key;
}

int64_t direct_request_give_up_us(const struct direct_request *request)
{
	return request->give_up_us;
}

/* ---- the end ---- */

static void clear_timer(guint *timer)
{
	if (*timer)
		g_source_remove(*timer);
	*timer = 0;
}

/* End the sending under way; nothing is learnt from it but by `outcome`. */
static void leave_upstream(struct direct_request *request,
			   enum pool_outcome outcome)
{
	struct pool_upstream *upstream = request->upstream;

	clear_timer(&request->stall_timer);
	if (request->exchange)
		http_exchange_cancel(request->exchange);
	request->exchange = NULL;
	if (!upstream)
		return;
	upstream->in_flight--;
	if (!request->heard)
		upstream->tokens_ahead -= request->cold_tokens;
	pool_learn(request->direct->pool, upstream, outcome, 0, 0);
	pool_release(upstream);
	request->upstream = NULL;
}

static void free_request(struct direct_request *request)
{
	leave_upstream(request, POOL_UNKNOWN);
	clear_timer(&request->give_up_timer);
	if (request->graph)
		direct_stages_drop(request->direct->stages, request);
	g_hash_table_remove(request->direct->requests, request);
	graph_destroy(request->graph);
	g_free(request->asked_us);
	g_free(request->made_us);
	http_fields_clear(&request->fields);
	g_string_free(request->body, TRUE);
	g_ptr_array_unref(request->tried);
	if (request->ask.parts)
		g_array_unref(request->ask.parts);
	if (request->ask.pieces)
		g_array_unref(request->ask.pieces);
	direct_config_unref(request->config);
	g_free(request->last_event_id);
	g_free(request->id);
	g_free(request);
}

void direct_request_drop(struct direct_request *request)
{
	free_request(request);
}

/* For each stage "asked+took" in ms since the request arrived. */
static void add_stage_times(struct direct_request *request)
{
	g_autoptr(GString) text = g_string_new(NULL);

	if (!request->graph)
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

static void log_end(struct direct_request *request, const char *outcome,
		    uint32_t status, const char *why)
{
	struct direct *direct = request->direct;
	struct lp_event_log *log = direct->options.log;
	g_autofree char *labels = g_strdup_printf(
		"outcome=\"%s\",status=\"%u\"", outcome, status);

	*counter(direct, "linepier_requests_total", labels) += 1;
	lp_histogram_add(direct->answer_times,
			 now_us(request) - request->arrived_us);
	if (!lp_event_begin(log, "request_end", request->id))
		return;
	lp_event_text(log, "outcome", outcome);
	lp_event_int(log, "status", status);
	if (why)
		lp_event_text(log, "why", why);
	if (request->route)
		lp_event_text(log, "route", request->route->name);
	lp_event_int(log, "took_us", now_us(request) - request->arrived_us);
	lp_event_int(log, "left_us", request->give_up_us - now_us(request));
	lp_event_int(log, "sendings", request->moves);
	lp_event_int(log, "config", direct_config_version(direct));
	add_stage_times(request);
	lp_event_end(log);
}

/* An answer of our own, at once. `wait_after_us`: come back after; 0: none. */
static void answer_own(struct direct_request *request, uint32_t status,
		       int64_t wait_after_us, const char *why)
{
	struct http_fields fields;

	leave_upstream(request, POOL_UNKNOWN);
	log_end(request, status == 503 ? "refused" : "failed", status, why);
	http_fields_init(&fields);
	request->direct->options.codec->write_refusal(request->id,
						      wait_after_us, &fields);
	http_call_answer(request->call, status, &fields, NULL, 0);
	http_fields_clear(&fields);
	free_request(request);
}

/* True only if nothing that was sent can have run. */
static void refuse(struct direct_request *request, int64_t wait_after_us,
		   const char *why)
{
	if (request->may_have_run)
		answer_own(request, 502, 0, why);
	else
		answer_own(request, 503, wait_after_us, why);
}

static void cut(struct direct_request *request, const char *why)
{
	leave_upstream(request, POOL_UNKNOWN);
	log_end(request, "cut", request->status, why);
	http_call_abort(request->call);
	free_request(request);
}

static gboolean on_give_up(gpointer userdata)
{
	struct direct_request *request = userdata;

	request->give_up_timer = 0;
	if (request->begun)
		cut(request, "deadline");
	else if (request->state == STATE_SENT && request->exchange &&
		 http_exchange_sent(request->exchange))
		answer_own(request, 504, 0, "deadline");
	else
		refuse(request, WAIT_FULL_US, "deadline");
	return G_SOURCE_REMOVE;
}

static void on_caller_gone(void *userdata)
{
	struct direct_request *request = userdata;

	log_end(request, "caller_gone", 0, NULL);
	free_request(request);
}

/* ---- what follows a sending ---- */

static bool take_retry(void *userdata)
{
	struct direct_request *request = userdata;
	bool taken = retries_take(request->direct->retries, request->service);

	*counter(request->direct, "linepier_retries_total",
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
	lp_event_text(log, "event", events[event]);
	lp_event_text(log, "why", why);
	lp_event_text(log, "outcome", steps[step]);
	lp_event_text(log, "upstream",
		      request->tried->len
			      ? g_ptr_array_index(request->tried,
						  request->tried->len - 1)
			      : "");
	lp_event_int(log, "status", request->status);
	lp_event_int(log, "after_us", now_us(request) - request->sent_us);
	lp_event_int(log, "sendings", request->moves);
	lp_event_end(log);
}

static void pass_answer(struct direct_request *request)
{
	struct http_fields fields;

	log_end(request, "answered", request->status, NULL);
	http_fields_init(&fields);
	http_fields_copy_end_to_end(&fields, &request->fields);
	http_call_answer(request->call, request->status, &fields,
			 request->body->str, request->body->len);
	http_fields_clear(&fields);
	free_request(request);
}

static void remake_inputs(struct direct_request *request)
{
	if (!request->graph) {
		refuse(request, WAIT_FULL_US, "inputs_gone");
		return;
	}
	direct_stages_lost_inputs(request->direct->stages, request->graph,
				  request->route->stages_count);
	request->state = STATE_STAGES;
	direct_request_advance(request);
}

/* The sending has ended (the upstream is left); decide and act. */
static void step_on(struct direct_request *request, enum verdict_event event,
		    const char *why)
{
	bool repeatable = request->route->kind == DIRECT_IDEMPOTENT ||
			  request->route->resumes;
	struct verdict_state state = {
		.repeatable = repeatable,
		.resumes = request->route->resumes,
		.begun = request->begun,
		.may_have_run = request->may_have_run,
		.runs = request->runs + 1,
		.runs_max = MAX(request->route->attempts_max, 1),
		.moves = request->moves,
		.has_time = now_us(request) + TRY_MIN_US < request->give_up_us,
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
		send_request(request);
		break;
	case VERDICT_REMAKE:
		remake_inputs(request);
		break;
	case VERDICT_REFUSE:
		refuse(request, WAIT_FULL_US, why);
		break;
	case VERDICT_FAIL:
		answer_own(request, 502, 0, why);
		break;
	case VERDICT_CUT:
		cut(request, why);
		break;
	}
}

/* ---- hearing from the upstream ---- */

static int64_t stall_us(const struct direct_request *request)
{
	const struct direct_route *route = request->route;
	int64_t left_us = request->give_up_us - now_us(request);

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
	leave_upstream(request, POOL_UNREACHABLE);
	step_on(request, VERDICT_BROKEN, "silent");
	return G_SOURCE_REMOVE;
}

/* Only what may be repeated is taken from an upstream that is silent, and
 * only while a repeat is still allowed. */
static void set_stall_timer(struct direct_request *request)
{
	const struct direct_route *route = request->route;

	clear_timer(&request->stall_timer);
	if (route->kind != DIRECT_IDEMPOTENT && !route->resumes)
		return;
	if (request->runs + 1 >= route->attempts_max)
		return;
	request->stall_timer = g_timeout_add(
		(guint)(stall_us(request) / LP_US_PER_MS), on_stall, request);
}

/* The upstream has begun to answer: it has read the prompt and its inputs. */
static void note_heard(struct direct_request *request)
{
	struct direct *direct = request->direct;
	int64_t took_us = now_us(request) - request->sent_us;

	if (request->heard)
		return;
	request->heard = true;
	request->upstream->tokens_ahead -= request->cold_tokens;
	pool_learn(direct->pool, request->upstream, POOL_SERVED, took_us,
		   request->expected_us);
	if (request->route->kind == DIRECT_STREAM)
		lp_histogram_add(direct->first_times,
				 now_us(request) - request->arrived_us);
	if (request->graph && !request->route->resumes)
		direct_stages_free_results(direct->stages, request->graph,
					   true);
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

static void remember_event_id(struct direct_request *request, const char *event,
			      size_t size)
{
	static const char name[] = "id:";
	const char *at = g_strstr_len(event, (gssize)size, name);
	const char *end;

	if (!at || (at != event && at[-1] != '\n'))
		return;
	at += sizeof(name) - 1;
	while (at < event + size && *at == ' ')
		at++;
	end = memchr(at, '\n', (size_t)(event + size - at));
	if (!end)
		return;
	g_free(request->last_event_id);
	request->last_event_id = g_strstrip(g_strndup(at, (gsize)(end - at)));
}

/* Length of the whole events at the start of the text; ids are noted. */
static size_t whole_events(struct direct_request *request, const char *text,
			   size_t size)
{
	size_t done = 0;

	while (done < size) {
		const char *end = g_strstr_len(text + done,
					       (gssize)(size - done), "\n\n");
		size_t event_size;

		if (!end)
			break;
		event_size = (size_t)(end - text) + 2 - done;
		remember_event_id(request, text + done, event_size);
		done += event_size;
	}
	return done;
}

static void pass_events(struct direct_request *request)
{
	size_t size =
		whole_events(request, request->body->str, request->body->len);

	if (!size)
		return;
	note_heard(request);
	begin_answer(request);
	http_call_write(request->call, request->body->str, size);
	g_string_erase(request->body, 0, (gssize)size);
	set_stall_timer(request);
}

static void on_body(void *userdata, const char *bytes, size_t size)
{
	struct direct_request *request = userdata;

	g_string_append_len(request->body, bytes, (gssize)size);
	if (is_stream(request))
		pass_events(request);
	if (request->body->len > ANSWER_MAX ||
	    http_call_unsent(request->call) > UNSENT_MAX) {
		if (request->begun)
			cut(request, "too_large");
		else
			answer_own(request, 502, 0, "too_large");
	}
}

static void end_stream(struct direct_request *request)
{
	bool torn = request->unframed && request->body->len;

	note_heard(request);
	leave_upstream(request, torn ? POOL_UNREACHABLE : POOL_SERVED);
	if (torn) {
		g_string_truncate(request->body, 0);
		step_on(request, VERDICT_BROKEN, "torn");
		return;
	}
	begin_answer(request);
	http_call_write(request->call, request->body->str, request->body->len);
	log_end(request, "answered", request->status, NULL);
	http_call_finish(request->call);
	free_request(request);
}

static void end_plain(struct direct_request *request)
{
	const struct direct_reply *reply = &request->reply;
	bool success = request->status / 100 == 2;

	if (reply->other_process) {
		leave_upstream(request, POOL_WRONG);
		step_on(request, VERDICT_NOT_RUN, "other_process");
	} else if (reply->not_run) {
		leave_upstream(request, POOL_FULL);
		step_on(request,
			reply->input_gone ? VERDICT_INPUT_GONE
					  : VERDICT_NOT_RUN,
			"not_run");
	} else if (!reply->is_ours || (success && !reply->is_genuine)) {
		leave_upstream(request, POOL_UNREACHABLE);
		step_on(request, VERDICT_BROKEN, "not_ours");
	} else if (request->begun) {
		leave_upstream(request, POOL_ERROR);
		step_on(request, VERDICT_BROKEN, "no_stream");
	} else if (request->status >= 500) {
		leave_upstream(request, POOL_ERROR);
		step_on(request, VERDICT_ERROR, "error");
	} else {
		note_heard(request);
		leave_upstream(request, POOL_SERVED);
		step_on(request, VERDICT_ANSWERED, "answered");
	}
}

static void on_done(void *userdata, int error, bool sent)
{
	struct direct_request *request = userdata;

	request->exchange = NULL;
	if (error) {
		g_string_truncate(request->body, 0);
		leave_upstream(request, POOL_UNREACHABLE);
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

static struct pool_upstream *pick_upstream(struct direct_request *request)
{
	const struct pool_part *parts =
		request->ask.parts
			? (struct pool_part *)request->ask.parts->data
			: NULL;
	const char *maker =
		request->graph ? graph_main_maker(request->graph) : NULL;
	struct pool_upstream *maker_upstream =
		maker ? pool_find(request->direct->pool, maker) : NULL;
	struct pool_ask ask = {
		.service = request->service,
		.parts = parts,
		.parts_count = parts ? request->ask.parts->len : 0,
		.tried = (const char *const *)request->tried->pdata,
		.tried_count = request->tried->len,
	};

	for (uint32_t i = 0; i < request->route->stages_count; i++)
		ask.fetch_bytes += request->route->stages[i].bytes;
	if (maker_upstream)
		ask.domain = maker_upstream->entry.domain;
	return pool_pick(request->direct->pool, &ask);
}

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
		.left_us = request->give_up_us - now_us(request),
		.priority = request->priority,
		.last_event_id = request->last_event_id
					 ? request->last_event_id
					 : request->ask.last_event_id,
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

static void prepare_sending(struct direct_request *request,
			    struct pool_upstream *upstream)
{
	const struct direct_service *service =
		direct_config_service(request->config, request->service);
	const GArray *parts = request->ask.parts;

	request->state = STATE_SENT;
	request->upstream = pool_hold(upstream);
	request->sent_us = now_us(request);
	request->heard = false;
	request->status = 0;
	memset(&request->reply, 0, sizeof(request->reply));
	g_string_truncate(request->body, 0);
	request->cold_tokens = 0;
	request->expected_us = 0;
	if (parts && parts->len) {
		const struct pool_part *list = (struct pool_part *)parts->data;

		request->cold_tokens =
			pool_cold_tokens(upstream, list, parts->len);
		request->expected_us =
			ENGINE_FIRST_US / 4 +
			(upstream->tokens_ahead + request->cold_tokens) *
				LP_US_PER_MS / TOKENS_PER_MS;
		pool_remember(
			request->direct->pool, upstream, list, parts->len,
			service ? (int64_t)(MEMORY_SHARE *
					    (double)service->engine_tokens)
				: 0);
	}
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
	lp_event_int(log, "tokens_ahead", request->upstream->tokens_ahead);
	lp_event_int(log, "in_flight", request->upstream->in_flight);
	lp_event_int(log, "waited_us", request->sent_us - request->arrived_us);
	lp_event_int(log, "config", request->config->version);
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
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.events = &exchange_events,
		.userdata = request,
	});
	http_fields_clear(&fields);
}

static void send_request(struct direct_request *request)
{
	struct pool_upstream *upstream = pick_upstream(request);

	if (!upstream) {
		if (request->begun)
			cut(request, "no_upstream");
		else
			refuse(request, WAIT_FULL_US, "no_upstream");
		return;
	}
	prepare_sending(request, upstream);
	log_sending(request);
	start_exchange(request);
	if (!request->exchange) {
		leave_upstream(request, POOL_UNREACHABLE);
		step_on(request, VERDICT_NOT_SENT, "connection");
		return;
	}
	set_stall_timer(request);
}

/* ---- stages ---- */

/* Time that a stage takes by itself, about. */
static int64_t stage_us(struct direct_request *request, uint32_t stage)
{
	const struct direct_service *service = direct_config_service(
		request->config, request->route->stages[stage].service);

	if (!service || !graph_pieces(request->graph, stage))
		return 0;
	return service->call_us +
	       service->piece_us * graph_pieces(request->graph, stage);
}

/* Time that a request still needs once this stage is made, about. */
static int64_t after_stage_us(struct direct_request *request, uint32_t stage)
{
	const struct direct_route *route = request->route;
	int64_t longest_us = 0;

	for (uint32_t i = stage + 1; i < route->stages_count; i++) {
		for (uint32_t j = 0; j < route->stages[i].after_count; j++) {
			int64_t us;

			if (route->stages[i].after[j] != stage)
				continue;
			us = stage_us(request, i) + after_stage_us(request, i);
			longest_us = MAX(longest_us, us);
		}
	}
	return longest_us;
}

static int64_t engine_us(const struct direct_request *request)
{
	return ENGINE_FIRST_US +
	       request->ask.tokens_in * LP_US_PER_MS / (4 * TOKENS_PER_MS);
}

static bool has_missing(const struct graph *graph, uint32_t stage)
{
	for (uint32_t i = 0; i < graph_pieces(graph, stage); i++)
		if (graph_state(graph, stage, i) == GRAPH_PIECE_MISSING)
			return true;
	return false;
}

/* Near its inputs, if it has any; else near the engine that will take it. */
static void set_near(struct direct_request *request, uint32_t stage,
		     struct piece *piece)
{
	const struct direct_stage *stages = request->route->stages;
	const struct pool *pool = request->direct->pool;
	const struct pool_upstream *near = NULL;

	for (uint32_t i = 0; i < stages[stage].after_count; i++) {
		uint32_t before = stages[stage].after[i];
		const char *maker = graph_maker(request->graph, before);

		if (!maker)
			continue;
		near = pool_find(pool, maker);
		piece->near_bytes += stages[before].bytes *
				     graph_pieces(request->graph, before);
	}
	if (!stages[stage].after_count && !after_stage_us(request, stage)) {
		near = pool_home(
			pool, &(struct pool_ask){
				      .service = request->service,
				      .parts = (struct pool_part *)
						       request->ask.parts->data,
				      .parts_count = request->ask.parts->len,
			      });
		piece->near_bytes = stages[stage].bytes;
	}
	piece->near = near ? near->entry.domain : NULL;
}

/* Whether a stage's inputs take up a good part of their makers' room. */
static bool holds_room(const struct direct_request *request, uint32_t stage)
{
	const struct direct_stage *stages = request->route->stages;

	for (uint32_t i = 0; i < stages[stage].after_count; i++) {
		uint32_t before = stages[stage].after[i];
		const struct direct_service *maker = direct_config_service(
			request->config, stages[before].service);
		int64_t bytes = stages[before].bytes *
				graph_pieces(request->graph, before);

		if (maker && maker->room_bytes &&
		    bytes * ROOM_SHARES >= maker->room_bytes)
			return true;
	}
	return false;
}

/* Whether some pieces of a stage are made or asked for already. */
static bool is_begun(const struct graph *graph, uint32_t stage)
{
	for (uint32_t i = 0; i < graph_pieces(graph, stage); i++)
		if (graph_state(graph, stage, i) != GRAPH_PIECE_MISSING)
			return true;
	return false;
}

static void ask_pieces(struct direct_request *request, uint32_t stage)
{
	const struct direct_stage *config = &request->route->stages[stage];
	const struct direct_service *service =
		direct_config_service(request->config, config->service);
	int64_t call_us = service ? service->call_us : 0;
	struct piece piece = {
		.request = request,
		.stage = stage,
		.due_us = request->arrived_us + request->route->target_us -
			  engine_us(request) - after_stage_us(request, stage) -
			  call_us,
		.until_us = request->give_up_us,
		.priority = request->priority,
		.bytes = config->bytes,
		.has_inputs = config->after_count > 0,
		.holds_room = holds_room(request, stage),
		.split = is_begun(request->graph, stage),
	};

	set_near(request, stage, &piece);
	if (request->asked_us[stage])
		request->remakes++;
	else
		request->asked_us[stage] = now_us(request);
	for (uint32_t i = 0; i < graph_pieces(request->graph, stage); i++) {
		if (graph_state(request->graph, stage, i) !=
		    GRAPH_PIECE_MISSING)
			continue;
		graph_asked(request->graph, stage, i);
		piece.index = i;
		direct_stages_add(request->direct->stages, config->service,
				  &piece);
	}
}

/* Results take up room until the request goes off. What is needed only at the
 * end is made together with the last steps of the longest way there. */
static bool is_early(struct direct_request *request, uint32_t stage)
{
	int64_t own_us =
		stage_us(request, stage) + after_stage_us(request, stage);

	for (uint32_t i = 0; i < request->route->stages_count; i++) {
		if (!has_missing(request->graph, i))
			continue;
		if (stage_us(request, i) + after_stage_us(request, i) >
		    own_us + stage_us(request, stage))
			return true;
	}
	return false;
}

/* Ask for what can be made now. A stage whose inputs were given up already
 * has them made again, so look once more from the start. */
static void ask_ready_stages(struct direct_request *request)
{
	for (uint32_t i = 0; i < request->route->stages_count; i++) {
		if (!has_missing(request->graph, i) ||
		    !graph_stage_ready(request->graph, i) ||
		    is_early(request, i))
			continue;
		if (!graph_inputs_kept(request->graph, i)) {
			direct_stages_lost_inputs(request->direct->stages,
						  request->graph, i);
			i = UINT32_MAX; /* the loop adds one */
			continue;
		}
		ask_pieces(request, i);
	}
}

static void note_stage_made(struct direct_request *request, uint32_t stage)
{
	request->made_us[stage] = now_us(request);
	if (request->asked_us[stage] <=
	    request->arrived_us + request->route->target_us)
		direct_stages_learn(request->direct->stages,
				    request->route->stages[stage].service,
				    request->made_us[stage] -
					    request->asked_us[stage]);
}

static void note_made(struct direct_request *request)
{
	for (uint32_t i = 0; i < request->route->stages_count; i++)
		if (request->asked_us[i] && !request->made_us[i] &&
		    graph_stage_made(request->graph, i))
			note_stage_made(request, i);
}

void direct_request_advance(struct direct_request *request)
{
	if (request->state != STATE_STAGES)
		return;
	if (request->graph)
		note_made(request);
	if (!request->graph || graph_complete(request->graph)) {
		send_request(request);
		return;
	}
	ask_ready_stages(request);
	if (request->remakes > REMAKES_MAX) {
		refuse(request, WAIT_FULL_US, "stages_fail");
		return;
	}
	direct_stages_free_results(request->direct->stages, request->graph,
				   false);
}

void direct_request_pieces_late(struct direct_request *request)
{
	refuse(request, WAIT_FULL_US, "stages_late");
}

static void create_graph(struct direct_request *request)
{
	const struct direct_route *route = request->route;
	struct graph_stage *stages =
		g_new0(struct graph_stage, route->stages_count);

	for (uint32_t i = 0; i < route->stages_count; i++) {
		stages[i].after = route->stages[i].after;
		stages[i].after_count = route->stages[i].after_count;
		stages[i].pieces = i < request->ask.pieces->len
					   ? g_array_index(request->ask.pieces,
							   uint32_t, i)
					   : 1;
	}
	request->graph = graph_create(stages, route->stages_count);
	request->asked_us = g_new0(int64_t, route->stages_count);
	request->made_us = g_new0(int64_t, route->stages_count);
	g_free(stages);
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
	return longest_us + engine_us(request);
}

/*
 * Refuse at the door what could not be on time, before any work is done: it
 * may be on time when it comes back.
 */
static bool admit(struct direct_request *request)
{
	int64_t within_us =
		(int64_t)(ADMIT_TARGETS * (double)request->route->target_us);
	int64_t over_us;

	if (!request->graph || !within_us)
		return true;
	over_us = estimate_us(request) - within_us;
	if (over_us <= 0)
		return true;
	refuse(request, CLAMP(over_us, WAIT_FULL_US, WAIT_MAX_US), "overload");
	return false;
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
	request->priority = request->route->priority;
	if (request->organisation && request->organisation->priority >= 0)
		request->priority = request->organisation->priority;
	request->service =
		direct_route_service(request->route, lp_hash_str(request->id));
	return request->service ? 0 : 404;
}

static void set_give_up(struct direct_request *request)
{
	int64_t wait_us = request->route->timeout_us;
	int64_t deadline_us = request->ask.deadline_us;
	int64_t left_us;

	if (deadline_us && (!wait_us || deadline_us < wait_us))
		wait_us = deadline_us;
	request->give_up_us = request->arrived_us + wait_us;
	left_us = MAX(request->give_up_us - now_us(request), 0);
	request->give_up_timer = g_timeout_add((guint)(left_us / LP_US_PER_MS),
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

void direct_request_begin(struct direct *direct, struct http_call *call)
{
	struct direct_request *request = create_request(direct, call);
	bool readable = direct->options.codec->read_ask(http_call_fields(call),
							&request->ask);
	uint32_t status;

	request->id = g_strdup(request->ask.id ? request->ask.id : "");
	if (!direct_ready(direct) || direct->refuses_new) {
		refuse(request, WAIT_START_US,
		       direct->refuses_new ? "draining" : "not_configured");
		return;
	}
	if (!readable) {
		answer_own(request, 400, 0, "unreadable");
		return;
	}
	status = match(request);
	if (status) {
		answer_own(request, status, 0,
			   status == 401 ? "unknown_key" : "no_route");
		return;
	}
	http_call_on_gone(call, on_caller_gone, request);
	set_give_up(request);
	retries_saw_request(direct->retries, request->service);
	if (request->route->stages_count)
		create_graph(request);
	if (admit(request))
		direct_request_advance(request);
}
