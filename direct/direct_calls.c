/** The dispatcher's side of stages: queues of pieces, calls that carry them. */
#include "direct/direct_calls.h"

#include "base/lp_timer.h"

#include "direct/direct_private.h"

#include <string.h>

/* A call may take this many times what is expected of it. */
#define CALL_SLACK 3
#define CALL_TIMEOUT_MIN_US (700 * LP_US_PER_MS)
/* A question about room; what is not told by then is not worth waiting for. */
#define ROOM_TIMEOUT_US (500 * LP_US_PER_MS)
/* Peers that hear of an upstream that does not answer leave it alone for as
 * long as it would take them to find out. */
#define TELL_ASIDE_US (1 * LP_US_PER_S)

struct service {
	struct direct_calls *calls;
	struct pieces *pieces;
	char *name;
	guint wake;
};

struct direct_job {
	struct direct_calls *calls;
	struct service *service;
	struct direct_work work;
	uint32_t open; /* pieces not told of yet */
	bool telling;  /* its owner is being told of results */
	bool dropped;  /* nobody waits for it any more */
	direct_made_fn made;
	void *userdata;
};

struct direct_calls {
	struct direct *direct;
	GHashTable *services;  /* name -> struct service */
	GHashTable *under_way; /* of struct stage_call */
	GHashTable *questions; /* of struct room_question */
	guint run_source;
};

struct stage_call {
	struct direct_calls *calls;
	struct service *service;
	struct pieces_call *call;
	struct direct_fetch *fetch;
	uint32_t no_room; /* pieces not made for want of it */
	bool lost;	  /* it was sent, and no whole answer came */
	struct direct_reply reply;
	int64_t born_ms; /* of the upstream that answered; 0: not said */
};

static void schedule_run(struct direct_calls *calls);

/* ---- work ---- */

void direct_work_clear(struct direct_work *work)
{
	g_free(work->id);
	g_free(work->service);
	g_free(work->key);
	if (work->inputs)
		g_ptr_array_unref(work->inputs);
	if (work->indices)
		g_array_unref(work->indices);
	memset(work, 0, sizeof(*work));
}

/* ---- services ---- */

static void free_service(gpointer data)
{
	struct service *service = data;

	if (service->wake)
		g_source_remove(service->wake);
	pieces_destroy(service->pieces);
	g_free(service->name);
	g_free(service);
}

static void set_figures(struct pieces_options *options,
			const struct direct_service *figures)
{
	options->batch_max = 1;
	if (!figures || !figures->serves_pieces)
		return;
	options->batch_max = MAX(figures->batch_max, 1);
	options->call_us = figures->call_us;
	options->piece_us = figures->piece_us;
	options->room_bytes = figures->result_memory_bytes;
	options->linger_us = figures->result_ttl_us;
}

static struct service *service_of(struct direct_calls *calls, const char *name)
{
	struct direct *direct = calls->direct;
	const struct direct_service *figures =
		direct_config_service(direct->config, name);
	struct service *service = g_hash_table_lookup(calls->services, name);
	struct pieces_options options = {
		.clock = direct->options.clock,
		.pool = direct->pool,
		.service = name,
	};

	if (service)
		return service;
	set_figures(&options, figures);
	service = g_new0(struct service, 1);
	service->calls = calls;
	service->name = g_strdup(name);
	service->pieces = pieces_create(&options);
	g_hash_table_insert(calls->services, service->name, service);
	return service;
}

void direct_calls_configure(struct direct_calls *calls,
			    const struct direct_config *config)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, calls->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;
		struct pieces_options figures = { 0 };

		set_figures(&figures,
			    direct_config_service(config, service->name));
		pieces_set(service->pieces, &figures);
	}
}

void direct_calls_set_parts(struct direct_calls *calls, const char *service,
			    uint32_t parts, uint64_t own)
{
	pieces_set_parts(service_of(calls, service)->pieces, parts, own);
}

/* ---- jobs ---- */

static void free_job(struct direct_job *job)
{
	direct_work_clear(&job->work);
	g_free(job);
}

struct direct_job *direct_calls_add(struct direct_calls *calls,
				    struct direct_work *work,
				    direct_made_fn made, void *userdata)
{
	struct direct_job *job = g_new0(struct direct_job, 1);
	struct piece piece = work->piece;

	job->calls = calls;
	job->service = service_of(calls, work->service);
	job->work = *work;
	memset(work, 0, sizeof(*work));
	job->open = job->work.indices->len;
	job->made = made;
	job->userdata = userdata;
	piece.request = job;
	for (guint i = 0; i < job->work.indices->len; i++) {
		piece.index = g_array_index(job->work.indices, uint32_t, i);
		pieces_add(job->service->pieces, &piece);
	}
	schedule_run(calls);
	return job;
}

void direct_calls_drop(struct direct_job *job)
{
	job->dropped = true;
	job->open -= pieces_drop(job->service->pieces, job);
	if (!job->open && !job->telling)
		free_job(job);
}

static void give_up(struct direct_job *job, struct direct_result *results,
		    uint32_t count)
{
	struct direct *direct = job->calls->direct;

	for (uint32_t i = 0; i < count; i++) {
		if (results[i].result != DIRECT_ITEM_COMPLETED)
			continue;
		direct_results_give_up(direct->results, results[i].maker,
				       g_steal_pointer(&results[i].handle),
				       job->work.piece.bytes);
	}
}

static void tell_job(struct direct_job *job, struct direct_result *results,
		     uint32_t count)
{
	job->open -= count;
	job->telling = true;
	if (job->dropped)
		give_up(job, results, count);
	else
		job->made(job->userdata, results, count, job->open);
	job->telling = false;
	for (uint32_t i = 0; i < count; i++)
		g_free(results[i].handle);
	if (!job->open)
		free_job(job);
}

/* ---- a call's end ---- */

static void log_call(const struct stage_call *call, const char *outcome)
{
	struct lp_event_log *log = call->calls->direct->options.log;
	const struct pieces_call *made = call->call;
	int64_t now_us = lp_now_us(call->calls->direct->options.clock);

	if (!lp_event_begin(log, "stage_call", NULL))
		return;
	lp_event_text(log, "service", call->service->name);
	lp_event_text(log, "upstream", made->upstream->entry.id);
	lp_event_text(log, "outcome", outcome);
	lp_event_int(log, "pieces", made->pieces->len);
	lp_event_int(log, "no_room", call->no_room);
	lp_event_int(log, "own_bytes", made->own_bytes);
	lp_event_int(log, "other_bytes",
		     room_other_bytes(made->upstream->room));
	lp_event_int(log, "took_us", now_us - made->started_us);
	lp_event_int(log, "expected_us", made->expected_us);
	lp_event_int(log, "rest_us", call->reply.pushback_us);
	lp_event_int(log, "others_running", call->reply.running);
	lp_event_int(log, "others_waiting", call->reply.waiting);
	lp_event_end(log);
}

/* Results, or NULL when the call brought none. */
static struct direct_item_outcome *
read_results(struct stage_call *call, const struct http_fetch_answer *answer)
{
	const struct direct_codec *codec = call->calls->direct->options.codec;
	uint32_t count = call->call->pieces->len;
	struct direct_item_outcome *made;

	if (answer->error || answer->status != 200)
		return NULL;
	made = g_new0(struct direct_item_outcome, count);
	if (codec->read_items(answer->body, answer->size, made, count,
			      &call->born_ms))
		return made;
	g_free(made);
	return NULL;
}

/* What came of one piece; its handle is moved. `maker`: 0 if whoever made it
 * has ended, and its results with it. */
static struct direct_result result_of(const struct stage_call *call, guint at,
				      struct direct_item_outcome *made,
				      uint64_t maker)
{
	struct pieces *pieces = call->service->pieces;
	const struct piece *piece =
		&g_array_index(call->call->pieces, struct piece, at);
	struct direct_result result = {
		.index = piece->index,
		.result = made ? made[at].result : DIRECT_ITEM_FAILED,
		.maker = maker,
	};

	if (!maker && result.result == DIRECT_ITEM_COMPLETED)
		result.result = DIRECT_ITEM_FAILED;
	if (call->lost) {
		result.result = DIRECT_ITEM_LOST;
		result.maker = call->call->upstream->life;
	}
	if (result.result == DIRECT_ITEM_COMPLETED) {
		result.handle = g_steal_pointer(&made[at].handle);
		pieces_made(pieces, call->call, piece, result.handle);
	} else {
		pieces_not_made(pieces, call->call, piece,
				result.result == DIRECT_ITEM_NO_RESULT_MEMORY);
	}
	return result;
}

/* Tell the jobs of a call, each of all its pieces at once. */
static void take_results(struct stage_call *call,
			 struct direct_item_outcome *made, uint64_t maker)
{
	GArray *pieces = call->call->pieces;
	g_autoptr(GArray) results =
		g_array_new(FALSE, FALSE, sizeof(struct direct_result));

	for (guint i = 0; i < pieces->len; i++) {
		struct direct_job *job =
			g_array_index(pieces, struct piece, i).request;

		g_array_set_size(results, 0);
		for (guint j = i; job && j < pieces->len; j++) {
			struct piece *piece =
				&g_array_index(pieces, struct piece, j);
			struct direct_result result;

			if (piece->request != job)
				continue;
			result = result_of(call, j, made, maker);
			g_array_append_val(results, result);
			piece->request = NULL;
		}
		if (job)
			tell_job(job, (struct direct_result *)results->data,
				 results->len);
	}
}

/* The life of whoever answered; 0: it has ended. */
static uint64_t maker_of(const struct stage_call *call)
{
	struct pool_upstream *maker =
		pool_answered(call->calls->direct->pool, call->call->upstream,
			      call->born_ms, call->call->started_us);

	return maker ? maker->life : 0;
}

static enum pool_outcome outcome_of(const struct stage_call *call, int error,
				    const struct direct_item_outcome *made)
{
	if (error)
		return POOL_UNREACHABLE;
	if (call->reply.other_process)
		return POOL_WRONG;
	if (made)
		return POOL_SERVED;
	return call->reply.not_run ? POOL_FULL : POOL_ERROR;
}

static const char *outcome_name(enum pool_outcome outcome)
{
	static const char *const names[] = {
		"served", "full", "error", "unreachable", "wrong", "unknown"
	};

	return names[outcome];
}

/* What its end says of the upstream's own. */
static void note_end(const struct stage_call *call,
		     const struct http_fetch_answer *answer)
{
	struct direct_ends *ends = call->calls->direct->terminations;

	if (answer->error == LP_ERROR_NOT_LISTENING)
		direct_ends_saw(ends, call->call->upstream, DIRECT_END_REFUSED);
	else if (!answer->error && call->reply.other_process)
		direct_ends_saw(ends, call->call->upstream,
				DIRECT_END_REPLACED);
}

static void end_call(struct stage_call *call,
		     const struct http_fetch_answer *answer)
{
	struct direct_calls *calls = call->calls;
	struct direct_item_outcome *made = read_results(call, answer);
	enum pool_outcome outcome = outcome_of(call, answer->error, made);
	uint64_t maker = made ? maker_of(call) : 0;
	guint count = call->call->pieces->len;

	call->lost = answer->error && answer->sent;
	note_end(call, answer);
	for (guint i = 0; made && i < count; i++)
		call->no_room += made[i].result == DIRECT_ITEM_NO_RESULT_MEMORY;
	log_call(call, made && !maker ? "restarted" : outcome_name(outcome));
	take_results(call, made, maker);
	for (guint i = 0; made && i < count; i++)
		g_free(made[i].handle);
	g_free(made);
	g_hash_table_remove(calls->under_way, call);
	if (outcome == POOL_UNREACHABLE && calls->direct->peers)
		direct_peers_tell_unreachable(calls->direct->peers,
					      call->call->upstream->life,
					      TELL_ASIDE_US);
	pieces_end(call->service->pieces, call->call, outcome,
		   call->reply.running, call->reply.waiting);
	g_free(call);
	schedule_run(calls);
}

static void on_call_done(void *userdata, const struct http_fetch_answer *answer,
			 const struct direct_reply *reply)
{
	struct stage_call *call = userdata;

	call->reply = *reply;
	end_call(call, answer);
}

/* What stands for the answer of a call that could not be made or is dropped. */
static const struct http_fetch_answer no_answer = {
	.error = LP_ERROR_UPSTREAM_GONE,
	.body = "",
};

/* ---- a call's start ---- */

static void fill_item(const struct direct_calls *calls,
		      const struct piece *piece, struct direct_item *item)
{
	const struct direct_work *work =
		&((struct direct_job *)piece->request)->work;

	item->id = work->id;
	item->stage = piece->stage;
	item->piece = piece->index;
	item->time_left_us =
		piece->until_us - lp_now_us(calls->direct->options.clock);
	item->inputs = work->inputs;
	if (!work->inputs->len)
		item->key = work->key;
}

static char *write_items(struct direct_calls *calls, const GArray *pieces)
{
	struct direct_item *items = g_new0(struct direct_item, pieces->len);
	char *body;

	for (guint i = 0; i < pieces->len; i++)
		fill_item(calls, &g_array_index(pieces, struct piece, i),
			  &items[i]);
	body = calls->direct->options.codec->write_items(items, pieces->len);
	g_free(items);
	return body;
}

static void start_call(struct service *service, struct pieces_call *made)
{
	struct direct_calls *calls = service->calls;
	const struct direct_codec *codec = calls->direct->options.codec;
	g_autofree char *body = write_items(calls, made->pieces);
	struct stage_call *call = g_new0(struct stage_call, 1);

	call->calls = calls;
	call->service = service;
	call->call = made;
	call->reply.running = -1;
	call->reply.waiting = -1;
	g_hash_table_add(calls->under_way, call);
	call->fetch = direct_fetch_start(&(struct direct_fetch_options){
		.codec = codec,
		.notices = calls->direct->notices,
		.upstream = made->upstream,
		.method = "POST",
		.target = codec->items_target,
		.body = body,
		.timeout_us = MAX(CALL_SLACK * made->expected_us,
				  CALL_TIMEOUT_MIN_US),
		.done = on_call_done,
		.userdata = call,
	});
	if (!call->fetch)
		end_call(call, &no_answer);
}

/* ---- an upstream's room ---- */

struct room_question {
	struct service *service;
	struct pool_upstream *upstream; /* held */
	int64_t own_bytes;
	int64_t asked_us;
	struct direct_fetch *fetch;
};

static void log_room(const struct room_question *question, bool told,
		     int64_t least_bytes)
{
	struct lp_event_log *log =
		question->service->calls->direct->options.log;

	if (!lp_event_begin(log, "room_asked", NULL))
		return;
	lp_event_text(log, "service", question->service->name);
	lp_event_text(log, "upstream", question->upstream->entry.id);
	lp_event_text(log, "outcome", told ? "told" : "not_told");
	lp_event_int(log, "least_bytes", least_bytes);
	lp_event_int(log, "own_bytes", question->own_bytes);
	lp_event_int(log, "other_bytes",
		     room_other_bytes(question->upstream->room));
	lp_event_end(log);
}

static void end_question(struct room_question *question)
{
	g_hash_table_remove(question->service->calls->questions, question);
	pool_release(question->upstream);
	g_free(question);
}

/* What the life that was asked says of itself; not what another one has. */
static bool read_room(const struct room_question *question,
		      const struct http_fetch_answer *answer,
		      struct direct_result_memory *room)
{
	struct direct *direct = question->service->calls->direct;

	return !answer->error && answer->status == 200 &&
	       direct->options.codec->read_result_memory(answer->body,
							 answer->size, room) &&
	       pool_answered(direct->pool, question->upstream, room->born_ms,
			     question->asked_us) == question->upstream;
}

/* Not told: calls go there all the same, and tell. */
static void on_room_told(void *userdata, const struct http_fetch_answer *answer,
			 const struct direct_reply *reply)
{
	struct room_question *question = userdata;
	struct direct_calls *calls = question->service->calls;
	struct direct_result_memory room = { 0 };
	bool told = read_room(question, answer, &room);

	if (told)
		pieces_room_told(question->service->pieces, question->upstream,
				 question->own_bytes, room.min_bytes,
				 room.max_bytes);
	log_room(question, told, room.min_bytes);
	end_question(question);
	schedule_run(calls);
}

static void ask_room(struct service *service, struct pool_upstream *upstream)
{
	struct direct_calls *calls = service->calls;
	const struct direct_codec *codec = calls->direct->options.codec;
	struct room_question *question = g_new0(struct room_question, 1);

	question->service = service;
	question->upstream = pool_hold(upstream);
	question->own_bytes = room_own_bytes(upstream->room);
	question->asked_us = lp_now_us(calls->direct->options.clock);
	g_hash_table_add(calls->questions, question);
	question->fetch = direct_fetch_start(&(struct direct_fetch_options){
		.codec = codec,
		.notices = calls->direct->notices,
		.upstream = upstream,
		.method = "GET",
		.target = codec->result_memory_target,
		.timeout_us = ROOM_TIMEOUT_US,
		.done = on_room_told,
		.userdata = question,
	});
	if (!question->fetch)
		end_question(question);
}

static gboolean on_wake(gpointer userdata)
{
	struct service *service = userdata;

	service->wake = 0;
	schedule_run(service->calls);
	return G_SOURCE_REMOVE;
}

static void set_wake(struct service *service)
{
	int64_t wake_us = pieces_wake_us(service->pieces);
	int64_t now_us = lp_now_us(service->calls->direct->options.clock);

	if (!wake_us || service->wake)
		return;
	service->wake =
		lp_timer_add((guint)(MAX(wake_us - now_us, 0) / LP_US_PER_MS),
			     on_wake, service);
}

void direct_calls_run(struct direct_calls *calls)
{
	g_autoptr(GList) services = g_hash_table_get_values(calls->services);

	for (GList *at = services; at; at = at->next) {
		struct service *service = at->data;
		struct pool_upstream *upstream;
		struct pieces_call *call;

		while ((upstream = pieces_ask_room(service->pieces)))
			ask_room(service, upstream);
		while ((call = pieces_next(service->pieces)))
			start_call(service, call);
		set_wake(service);
	}
}

static gboolean on_run(gpointer userdata)
{
	struct direct_calls *calls = userdata;

	calls->run_source = 0;
	direct_calls_run(calls);
	return G_SOURCE_REMOVE;
}

/* Once this turn of the loop is over, so that what comes in it goes along. */
static void schedule_run(struct direct_calls *calls)
{
	if (!calls->run_source)
		calls->run_source = g_idle_add_full(G_PRIORITY_DEFAULT, on_run,
						    calls, NULL);
}

int64_t direct_calls_estimate_us(struct direct_calls *calls,
				 const char *service, int32_t priority)
{
	return pieces_estimate_us(service_of(calls, service)->pieces, priority);
}

void direct_calls_estimate_each_us(struct direct_calls *calls,
				   const char *service, int64_t *out,
				   int32_t count)
{
	pieces_estimate_each_us(service_of(calls, service)->pieces, out, count);
}

struct direct_calls *direct_calls_create(struct direct *direct)
{
	struct direct_calls *calls = g_new0(struct direct_calls, 1);

	calls->direct = direct;
	calls->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_service);
	calls->under_way = g_hash_table_new(NULL, NULL);
	calls->questions = g_hash_table_new(NULL, NULL);
	return calls;
}

static void end_under_way(struct direct_calls *calls)
{
	g_autoptr(GList) list = g_hash_table_get_keys(calls->under_way);

	for (GList *at = list; at; at = at->next) {
		struct stage_call *call = at->data;

		direct_fetch_cancel(call->fetch);
		end_call(call, &no_answer);
	}
}

static void drop_questions(struct direct_calls *calls)
{
	g_autoptr(GList) list = g_hash_table_get_keys(calls->questions);

	for (GList *at = list; at; at = at->next) {
		struct room_question *question = at->data;

		direct_fetch_cancel(question->fetch);
		end_question(question);
	}
}

void direct_calls_destroy(struct direct_calls *calls)
{
	end_under_way(calls);
	drop_questions(calls);
	if (calls->run_source)
		g_source_remove(calls->run_source);
	g_hash_table_unref(calls->services);
	g_hash_table_unref(calls->under_way);
	g_hash_table_unref(calls->questions);
	g_free(calls);
}
