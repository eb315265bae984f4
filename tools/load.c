#include "tools/load_private.h"

#include <stdio.h>

static void send_request(struct request *request);

/* ---- choosing ---- */

static const struct load_share *
draw(GRand *random, const struct load_share *shares, uint32_t count)
{
	double total = 0;
	double at;

	for (uint32_t i = 0; i < count; i++)
		total += shares[i].weight;
	at = g_rand_double(random) * total;
	for (uint32_t i = 0; i + 1 < count; i++) {
		at -= shares[i].weight;
		if (at < 0)
			return &shares[i];
	}
	return &shares[count - 1];
}

static const struct cfg_organisation *choose_organisation(struct load *load)
{
	const struct load_options *options = &load->options;
	const struct cfg_doc *doc = options->doc;
	struct load_share *shares;
	const struct cfg_organisation *chosen;

	if (options->only_from)
		return cfg_organisation_find(doc, options->only_from);
	if (options->organisations)
		return cfg_organisation_find(
			doc, draw(load->random, options->organisations,
				  options->organisations_count)
				     ->name);
	shares = g_new0(struct load_share, doc->organisations_count);
	for (uint32_t i = 0; i < doc->organisations_count; i++) {
		shares[i].name = doc->organisations[i].name;
		shares[i].weight = MAX(1, doc->organisations[i].weight);
	}
	chosen = cfg_organisation_find(
		doc,
		draw(load->random, shares, doc->organisations_count)->name);
	g_free(shares);
	return chosen;
}

static double weight_of(const struct load *load, const char *pipeline)
{
	const struct load_options *options = &load->options;

	if (!options->pipelines)
		return 1;
	for (uint32_t i = 0; i < options->pipelines_count; i++)
		if (!strcmp(options->pipelines[i].name, pipeline))
			return options->pipelines[i].weight;
	return 0;
}

static const struct cfg_pipeline *
choose_pipeline(struct load *load, const struct cfg_organisation *organisation)
{
	uint32_t count = organisation->pipelines_count;
	struct load_share *shares = g_new0(struct load_share, count + 1);
	const struct cfg_pipeline *chosen = NULL;
	const struct load_share *share;

	for (uint32_t i = 0; i < count; i++) {
		shares[i].name = organisation->pipelines[i];
		shares[i].weight = weight_of(load, organisation->pipelines[i]);
	}
	share = draw(load->random, shares, count);
	if (share->weight > 0)
		chosen = cfg_pipeline_find(load->options.doc, share->name);
	g_free(shares);
	return chosen;
}

static bool percent(struct load *load, uint32_t share)
{
	return (uint32_t)g_rand_int_range(load->random, 0, 100) < share;
}

/* ---- the life of a request ---- */

static void finish_load(struct load *load)
{
	load->ended_us = g_get_monotonic_time();
	if (load->ready_timer)
		g_source_remove(load->ready_timer);
	load->ready_timer = 0;
	if (load->done)
		load->done(load->userdata);
}

static void end_request(struct request *request)
{
	struct load *load = request->load;

	if (request->timer)
		g_source_remove(request->timer);
	request->timer = 0;
	g_clear_pointer(&request->lines, lp_lines_destroy);
	g_clear_object(&request->msg);
	if (request->session)
		request->session->open -= 1;
	request->session = NULL;
	request->ended = true;
	load->open -= 1;
	if (!load->open && load->sent == load->options.requests)
		finish_load(load);
}

/* Counts it as lost; for whoever reads the log of a failed run, where and why.
 */
static void lose(struct request *request, const char *where,
		 const GError *gerror)
{
	request->load->report.lost += 1;
	fprintf(stderr,
		"lost: request %u, %s, %" G_GINT64_FORMAT
		" ms after it was due: %s\n",
		request->number, where,
		(gint64)(g_get_monotonic_time() - request->due_us) /
			LP_US_PER_MS,
		gerror ? gerror->message : "it ended");
}

/* Nothing was sent: a balancer tries the next entry. */
static bool never_connected(const GError *gerror)
{
	return g_error_matches(gerror, G_IO_ERROR,
			       G_IO_ERROR_CONNECTION_REFUSED);
}

/* The first was not even reached. */
static void send_elsewhere(struct request *request)
{
	request->resent += 1;
	g_source_remove(request->timer);
	g_clear_object(&request->msg);
	g_clear_object(&request->cancel);
	request->session->open -= 1;
	send_request(request);
}

static void take_token(struct request *request, const char *data)
{
	struct load *load = request->load;
	g_autoptr(JsonNode) root = json_from_string(data, NULL);
	int64_t now_us = g_get_monotonic_time();
	int64_t took_us;
	g_autofree char *before = request->streamed;

	if (request->last_token_us) {
		took_us = now_us - request->last_token_us;
		g_array_append_val(load->between_times, took_us);
	} else {
		took_us = now_us - request->due_us;
		g_array_append_val(load->first_times, took_us);
	}
	request->last_token_us = now_us;
	request->streamed = g_strconcat(
		before ? before : "",
		root ? json_object_get_string_member_with_default(
			       json_node_get_object(root), "text", "")
		     : "",
		NULL);
}

static void take_event(struct request *request, const char *data)
{
	if (!request->event)
		return;
	if (!strcmp(request->event, "token"))
		take_token(request, data);
	else if (!strcmp(request->event, "done"))
		load_take_answer(request, data);
	else
		load_take_problem(request, data);
}

static bool is_refused(const struct request *request)
{
	return soup_message_get_status(request->msg) != SOUP_STATUS_OK;
}

static void on_line(void *userdata, const char *line)
{
	struct request *request = userdata;

	if (!request->stream || is_refused(request)) {
		g_string_append(request->text, line);
	} else if (g_str_has_prefix(line, "event: ")) {
		g_free(request->event);
		request->event = g_strdup(line + strlen("event: "));
	} else if (g_str_has_prefix(line, "data: ")) {
		take_event(request, line + strlen("data: "));
	}
}

static void on_ended(void *userdata, const GError *gerror)
{
	struct request *request = userdata;

	if (request->stream && !is_refused(request)) {
		if (!request->whole && !request->has_problem)
			lose(request, "within a stream", gerror);
	} else if (gerror && !request->stream) {
		lose(request, "whole answer", gerror);
	} else if (is_refused(request)) {
		load_take_problem(request, request->text->str);
	} else {
		load_take_answer(request, request->text->str);
	}
	end_request(request);
}

/* No head of an answer came. */
static void take_silence(struct request *request, const GError *gerror)
{
	if (request->stream) {
		lose(request, "before a stream", gerror);
	} else if (never_connected(gerror) && request->resent < RESENDS_MAX) {
		send_elsewhere(request);
		return;
	} else {
		lose(request, "whole answer", gerror);
	}
	end_request(request);
}

static void on_head(GObject *source, GAsyncResult *result, gpointer data)
{
	struct request *request = data;
	g_autoptr(GError) gerror = NULL;
	g_autoptr(GInputStream) stream =
		soup_session_send_finish(SOUP_SESSION(source), result, &gerror);

	if (!stream) {
		take_silence(request, gerror);
		return;
	}
	request->text = g_string_new(NULL);
	request->lines = lp_lines_create(&(struct lp_lines_options){
		.stream = stream,
		.cancellable = request->cancel,
		.line = on_line,
		.ended = on_ended,
		.userdata = request,
	});
}

static gboolean on_too_late(gpointer data)
{
	struct request *request = data;

	request->timer = 0;
	g_cancellable_cancel(request->cancel);
	return G_SOURCE_REMOVE;
}

static char *request_body(const struct request *request)
{
	const struct load_options *options = &request->load->options;
	uint32_t subject = request->number % options->subjects;

	return g_strdup_printf("{\"text\":\"please [[%s]]\",\"subject\":"
			       "\"s%05u-with-a-history-long-enough-to-name-a-"
			       "prefix-by-itself\",\"max_tokens\":%u}",
			       request->mark, subject, options->tokens);
}

static void set_headers(struct request *request)
{
	SoupMessageHeaders *headers =
		soup_message_get_request_headers(request->msg);
	g_autofree char *token =
		g_strdup_printf("Bearer token-%s", request->organisation->name);
	g_autofree char *left =
		g_strdup_printf("%" G_GINT64_FORMAT,
				(gint64)(request->deadline_us / LP_US_PER_MS));

	soup_message_headers_replace(headers, "Authorization", token);
	soup_message_headers_replace(headers, "Linepier-Deadline-Ms", left);
	if (request->key)
		soup_message_headers_replace(headers, "Idempotency-Key",
					     request->key);
	if (request->stream)
		soup_message_headers_replace(headers, "Accept",
					     "text/event-stream");
}

/* The number-th ready entry, counting round; any if none is ready. */
static const char *choose_entry(const struct load *load, uint32_t number)
{
	uint32_t count = MAX(1, load->targets_count);

	for (uint32_t i = 0; i < count; i++) {
		const struct target *target =
			load->targets[(number + i) % count];

		if (target->ready)
			return target->address;
	}
	return load->targets[number % count]->address;
}

static void on_ready(GObject *source, GAsyncResult *result, gpointer data)
{
	struct target *target = data;
	g_autoptr(GError) gerror = NULL;
	SoupMessage *msg = soup_session_get_async_result_message(
		SOUP_SESSION(source), result);
	bool ready = soup_message_get_status(msg) == SOUP_STATUS_OK;
	g_autoptr(GBytes) bytes = soup_session_send_and_read_finish(
		SOUP_SESSION(source), result, &gerror);

	target->ready = bytes && ready;
	target->asking = false;
	g_rc_box_release(target);
}

static gboolean ask_ready(gpointer data)
{
	struct load *load = data;

	for (uint32_t i = 0; i < load->targets_count; i++) {
		struct target *target = load->targets[i];
		g_autofree char *url = NULL;
		g_autoptr(SoupMessage) msg = NULL;

		if (target->asking)
			continue;
		url = g_strdup_printf("http://%s/readyz", target->address);
		msg = soup_message_new("GET", url);
		target->asking = true;
		soup_session_send_and_read_async(
			load->probes, msg, G_PRIORITY_HIGH, NULL, on_ready,
			g_rc_box_acquire(target));
	}
	return G_SOURCE_CONTINUE;
}

static struct session *take_session(struct load *load)
{
	struct session *session;

	for (guint i = 0; i < load->sessions->len; i++) {
		session = g_ptr_array_index(load->sessions, i);
		if (session->open < SESSION_REQUESTS) {
			session->open += 1;
			return session;
		}
	}
	session = g_new0(struct session, 1);
	session->soup = soup_session_new_with_options(
		"max-conns", SESSION_CONNECTIONS, "max-conns-per-host",
		SESSION_CONNECTIONS, NULL);
	session->open = 1;
	g_ptr_array_add(load->sessions, session);
	return session;
}

static void free_session(gpointer data)
{
	struct session *session = data;

	soup_session_abort(session->soup);
	g_object_unref(session->soup);
	g_free(session);
}

bool load_changes_things(const struct cfg_pipeline *pipeline)
{
	for (uint32_t i = 0; i < pipeline->stages_count; i++)
		if (!pipeline->stages[i].repeatable)
			return true;
	return false;
}

static void send_request(struct request *request)
{
	struct load *load = request->load;
	const char *entry =
		choose_entry(load, request->number + request->second);
	g_autofree char *url = g_strdup_printf("http://%s/v1/pipelines/%s",
					       entry, request->pipeline->name);
	g_autofree char *body = request_body(request);
	g_autoptr(GBytes) bytes = g_bytes_new(body, strlen(body));

	request->msg = soup_message_new("POST", url);
	soup_message_set_request_body_from_bytes(request->msg,
						 "application/json", bytes);
	set_headers(request);
	/* Only what changes nothing may go out on a kept connection. */
	if (!load_changes_things(request->pipeline))
		soup_message_add_flags(request->msg, SOUP_MESSAGE_IDEMPOTENT);
	else
		soup_message_headers_replace(
			soup_message_get_request_headers(request->msg),
			"Connection", "close");
	request->session = take_session(load);
	request->cancel = g_cancellable_new();
	/*
	 * After all that has come is read: a loop that is late with its own
	 * work must not count against the entries what stands in its sockets.
	 */
	request->timer = g_timeout_add_full(
		G_PRIORITY_LOW,
		(guint)((request->deadline_us + PATIENCE_US) / LP_US_PER_MS),
		on_too_late, request, NULL);
	soup_session_send_async(request->session->soup, request->msg,
				G_PRIORITY_DEFAULT, request->cancel, on_head,
				request);
}

/* ---- keys ---- */

static struct request *add_request(struct load *load, uint32_t number)
{
	struct request *request = g_new0(struct request, 1);

	request->load = load;
	request->number = number;
	request->mark = g_strdup_printf("w%un%ue", load->options.seed, number);
	g_ptr_array_add(load->requests, request);
	load->open += 1;
	return request;
}

static gboolean on_second_try(gpointer data)
{
	struct request *request = data;

	request->retry_timer = 0;
	send_request(request);
	return G_SOURCE_REMOVE;
}

/* The same request with the same key, at another entry, at once or soon. */
static void send_second(const struct request *first)
{
	struct load *load = first->load;
	struct request *second = add_request(load, first->number);

	second->pipeline = first->pipeline;
	second->organisation = first->organisation;
	second->deadline_us = first->deadline_us;
	second->due_us = first->due_us;
	second->key = g_strdup(first->key);
	second->second = true;
	second->retry_timer = g_timeout_add(
		(guint)g_rand_int_range(load->random, 0, RETRY_AFTER_MS),
		on_second_try, second);
}

static void on_ticket(GObject *source, GAsyncResult *result, gpointer data)
{
	struct request *request = data;
	g_autoptr(GError) gerror = NULL;
	g_autoptr(GBytes) bytes = soup_session_send_and_read_finish(
		SOUP_SESSION(source), result, &gerror);
	g_autoptr(JsonNode) root = NULL;
	g_autofree char *text = NULL;
	gsize size;
	const char *raw = bytes ? g_bytes_get_data(bytes, &size) : NULL;

	text = raw ? g_strndup(raw, size) : NULL;
	root = text ? json_from_string(text, NULL) : NULL;
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		request->key =
			g_strdup(json_object_get_string_member_with_default(
				json_node_get_object(root), "ticket", NULL));
	g_clear_object(&request->msg);
	request->session->open -= 1;
	request->session = NULL;
	if (!request->key) {
		lose(request, "ticket", gerror);
		end_request(request);
		return;
	}
	send_request(request);
	if (percent(request->load, request->load->options.retry_percent))
		send_second(request);
}

static void fetch_ticket(struct request *request)
{
	struct load *load = request->load;
	g_autofree char *url = g_strdup_printf(
		"http://%s/v1/tickets", choose_entry(load, request->number));
	g_autofree char *token =
		g_strdup_printf("Bearer token-%s", request->organisation->name);

	request->msg = soup_message_new("POST", url);
	soup_message_headers_replace(
		soup_message_get_request_headers(request->msg), "Authorization",
		token);
	request->session = take_session(load);
	soup_session_send_and_read_async(request->session->soup, request->msg,
					 G_PRIORITY_DEFAULT, NULL, on_ticket,
					 request);
}

static void start_request(struct load *load, int64_t due_us)
{
	const struct load_options *options = &load->options;
	struct request *request = add_request(load, load->sent++);
	uint32_t draw_key = (uint32_t)g_rand_int_range(load->random, 0, 100);

	do {
		request->organisation = choose_organisation(load);
		request->pipeline =
			choose_pipeline(load, request->organisation);
	} while (!request->pipeline);
	request->due_us = due_us;
	request->deadline_us =
		options->deadline_us
			? options->deadline_us
			: request->pipeline->deadline_ms * LP_US_PER_MS;
	if (!load_changes_things(request->pipeline)) {
		request->stream = percent(load, options->stream_percent);
		send_request(request);
	} else if (draw_key < options->ticket_percent) {
		fetch_ticket(request);
	} else if (draw_key < options->ticket_percent + options->key_percent) {
		request->key = g_strdup_printf("key-%s", request->mark);
		send_request(request);
		if (percent(load, options->retry_percent))
			send_second(request);
	} else {
		send_request(request);
	}
}

static gboolean on_tick(gpointer data)
{
	struct load *load = data;
	int64_t now_us = g_get_monotonic_time();

	while (load->sent < load->options.requests) {
		int64_t due_us = load->started_us +
				 (int64_t)(load->sent * (double)LP_US_PER_S /
					   load->options.rate_per_s);

		if (due_us > now_us)
			return G_SOURCE_CONTINUE;
		start_request(load, due_us);
	}
	load->timer = 0;
	return G_SOURCE_REMOVE;
}

/* ---- life ---- */

static void free_request(gpointer data)
{
	struct request *request = data;

	g_free(request->mark);
	g_free(request->key);
	g_free(request->id);
	g_free(request->streamed);
	g_free(request->event);
	if (request->text)
		g_string_free(request->text, TRUE);
	g_clear_object(&request->cancel);
	g_free(request);
}

static void free_cost(gpointer data)
{
	struct load_cost *cost = data;

	g_free(cost->pipeline);
	g_free(cost->stage);
	g_free(cost);
}

struct load *load_create(const struct load_options *options)
{
	struct load *load = g_new0(struct load, 1);

	load->options = *options;
	if (!load->options.tokens)
		load->options.tokens = DEFAULT_TOKENS;
	if (!load->options.probe_ms)
		load->options.probe_ms = READY_MS;
	if (!load->options.subjects)
		load->options.subjects = DEFAULT_SUBJECTS;
	load->random = g_rand_new_with_seed(options->seed);
	load->targets_count = g_strv_length((char **)options->entries);
	load->targets = g_new0(struct target *, load->targets_count + 1);
	for (uint32_t i = 0; i < load->targets_count; i++) {
		load->targets[i] = g_rc_box_new0(struct target);
		load->targets[i]->address = options->entries[i];
		load->targets[i]->ready = true;
	}
	load->probes =
		soup_session_new_with_options("timeout", READY_TIMEOUT_S, NULL);
	load->sessions = g_ptr_array_new_with_free_func(free_session);
	load->requests = g_ptr_array_new_with_free_func(free_request);
	load->costs = g_ptr_array_new_with_free_func(free_cost);
	load->executed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	load->times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	load->first_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	load->between_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	return load;
}

/* It has not been sent. */
static void end_second_try(struct request *request)
{
	g_source_remove(request->retry_timer);
	request->retry_timer = 0;
	end_request(request);
}

/* Callbacks of requests under way still name them. */
static void end_open_requests(struct load *load)
{
	if (load->timer)
		g_source_remove(load->timer);
	load->timer = 0;
	load->done = NULL;
	for (guint i = 0; i < load->requests->len; i++) {
		struct request *request = g_ptr_array_index(load->requests, i);

		if (request->retry_timer)
			end_second_try(request);
		else if (!request->ended && request->cancel)
			g_cancellable_cancel(request->cancel);
	}
	for (guint i = 0; i < load->sessions->len; i++) {
		struct session *session = g_ptr_array_index(load->sessions, i);

		soup_session_abort(session->soup);
	}
	while (load->open)
		g_main_context_iteration(NULL, TRUE);
}

void load_destroy(struct load *load)
{
	if (!load)
		return;
	end_open_requests(load);
	if (load->ready_timer)
		g_source_remove(load->ready_timer);
	soup_session_abort(load->probes);
	g_object_unref(load->probes);
	g_ptr_array_unref(load->sessions);
	for (uint32_t i = 0; i < load->targets_count; i++)
		g_rc_box_release(load->targets[i]);
	g_free(load->targets);
	g_array_unref(load->times);
	g_array_unref(load->first_times);
	g_array_unref(load->between_times);
	g_hash_table_unref(load->executed);
	g_ptr_array_unref(load->costs);
	g_ptr_array_unref(load->requests);
	g_rand_free(load->random);
	g_free(load);
}

void load_start(struct load *load, void (*done)(void *userdata), void *userdata)
{
	load->done = done;
	load->userdata = userdata;
	load->started_us = g_get_monotonic_time();
	load->timer = g_timeout_add(TICK_MS, on_tick, load);
	if (!load->options.direct)
		load->ready_timer =
			g_timeout_add(load->options.probe_ms, ask_ready, load);
}

static void on_done(void *loop)
{
	g_main_loop_quit(loop);
}

void load_run(struct load *load)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	load_start(load, on_done, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
}

uint32_t load_sent(const struct load *load)
{
	return load->sent;
}
