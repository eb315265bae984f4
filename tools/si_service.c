#include "tools/si_service.h"

#include "base/lp_clock.h"
#include "tools/si_http.h"

#include <stdbool.h>
#include <string.h>

#define PREFIX_CHARS 64 /* of a prompt, name what is cached */
#define TOKENS_DEFAULT 16
#define TOKENS_MAX 4096

struct upstream {
	struct si_service *service;
	SoupServer *server;
	GQueue waiting; /* of struct call */
	GQueue cache;	/* prefixes, most recent first */
	uint32_t running;
	uint64_t prompts;
	uint64_t hits;
	double slow;	   /* factor on every time */
	double fail;	   /* share of calls answered 500 */
	int64_t cut_after; /* tokens, then the stream breaks; -1: never */
	bool hang;	   /* takes calls, never answers */
	uint32_t index;
	int64_t fence; /* highest number seen */
	char *model;
	uint32_t orders;
};

struct si_service {
	struct si_service_options options;
	struct upstream *upstreams;
	GHashTable *executions; /* key to count */
	GRand *random;
	uint64_t runs;
	uint64_t doubled;
};

struct call {
	struct upstream *upstream;
	SoupServerMessage *msg;
	char *mark;
	char *prefix;
	uint32_t next_token;
	uint32_t tokens;
	bool stream;
	bool running;
	guint timer;
};

/* ---- the life of a call ---- */

static void start_waiting(struct upstream *upstream);

static void end_call(struct call *call)
{
	struct upstream *upstream = call->upstream;

	if (call->timer)
		g_source_remove(call->timer);
	if (call->running)
		upstream->running -= 1;
	else
		g_queue_remove(&upstream->waiting, call);
	g_signal_handlers_disconnect_by_data(call->msg, call);
	g_object_unref(call->msg);
	g_free(call->mark);
	g_free(call->prefix);
	g_free(call);
	start_waiting(upstream);
}

static void on_gone(SoupServerMessage *msg, gpointer userdata)
{
	end_call(userdata);
}

static guint scaled_ms(const struct upstream *upstream, double base_us)
{
	const struct si_service_options *options = &upstream->service->options;
	double crowd =
		1 + (upstream->running - 1) * options->crowd_percent / 100.0;
	double us = base_us * crowd * upstream->slow *
		    g_rand_double_range(upstream->service->random, 0.8, 1.2);

	return (guint)(us / (double)LP_US_PER_MS + 0.5);
}

/* ---- plain answers ---- */

static char *answer_of(const struct call *call)
{
	const char *mark = call->mark;

	switch (call->upstream->service->options.kind) {
	case SI_ENCODE:
		return g_strdup_printf(
			"{\"data\":[{\"embedding\":[0.25,0.5,0.75],"
			"\"mark\":\"[[%s]]\"}],\"usage\":{\"total_tokens\":8}}",
			mark);
	case SI_RETRIEVE:
		return g_strdup_printf(
			"{\"documents\":[\"one [[%s]]\",\"two\",\"three\"]}",
			mark);
	case SI_RERANK:
		return g_strdup_printf(
			"{\"results\":[{\"index\":0,\"document\":\"one "
			"[[%s]]\",\"relevance_score\":0.9}]}",
			mark);
	case SI_GENERATE:
	case SI_PLAIN:
		break;
	}
	return g_strdup_printf("{\"ok\":true,\"mark\":\"[[%s]]\"}", mark);
}

static gboolean on_plain_done(gpointer userdata)
{
	struct call *call = userdata;
	struct upstream *upstream = call->upstream;
	g_autofree char *text = answer_of(call);

	call->timer = 0;
	if (g_rand_double(upstream->service->random) < upstream->fail)
		si_respond(call->msg, SOUP_STATUS_INTERNAL_SERVER_ERROR,
			   "{\"error\":\"told to fail\"}");
	else
		si_respond(call->msg, SOUP_STATUS_OK, text);
	soup_server_message_unpause(call->msg);
	end_call(call);
	return G_SOURCE_REMOVE;
}

static void count_execution(struct call *call)
{
	struct si_service *service = call->upstream->service;
	const char *key = soup_message_headers_get_one(
		soup_server_message_get_request_headers(call->msg),
		"Idempotency-Key");
	guint count;

	service->runs += 1;
	if (!key)
		return;
	count = GPOINTER_TO_UINT(g_hash_table_lookup(service->executions, key));
	if (count == 1)
		service->doubled += 1;
	g_hash_table_insert(service->executions, g_strdup(key),
			    GUINT_TO_POINTER(count + 1));
}

/* ---- generation ---- */

static void append(struct call *call, const char *text)
{
	soup_message_body_append(
		soup_server_message_get_response_body(call->msg),
		SOUP_MEMORY_COPY, text, strlen(text));
}

static void finish_stream(struct call *call)
{
	append(call, "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":"
		     "\"length\"}]}\n\ndata: [DONE]\n\n");
	soup_message_body_complete(
		soup_server_message_get_response_body(call->msg));
	soup_server_message_unpause(call->msg);
	end_call(call);
}

/* Break the connection in the middle, as a dying engine does. */
static void cut_stream(struct call *call)
{
	GSocket *socket = soup_server_message_get_socket(call->msg);

	if (socket)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	soup_server_message_unpause(call->msg);
	end_call(call);
}

static gboolean on_token(gpointer userdata)
{
	struct call *call = userdata;
	struct upstream *upstream = call->upstream;
	g_autofree char *event = NULL;

	call->timer = 0;
	if (upstream->cut_after >= 0 &&
	    call->next_token >= (uint64_t)upstream->cut_after) {
		cut_stream(call);
		return G_SOURCE_REMOVE;
	}
	event = g_strdup_printf("data: {\"choices\":[{\"text\":\"%s.%u \","
				"\"finish_reason\":null}]}\n\n",
				call->mark, call->next_token++);
	append(call, event);
	if (call->next_token >= call->tokens) {
		finish_stream(call);
		return G_SOURCE_REMOVE;
	}
	soup_server_message_unpause(call->msg);
	call->timer = g_timeout_add(
		scaled_ms(upstream, upstream->service->options.decode_us),
		on_token, call);
	return G_SOURCE_REMOVE;
}

/* Is the prefix cached? It is now, and the oldest gives way. */
static bool touch_cache(struct upstream *upstream, const char *prefix)
{
	GList *link = g_queue_find_custom(&upstream->cache, prefix,
					  (GCompareFunc)strcmp);
	bool hit = link;

	upstream->prompts += 1;
	upstream->hits += hit;
	if (hit) {
		g_queue_unlink(&upstream->cache, link);
		g_queue_push_head_link(&upstream->cache, link);
		return true;
	}
	g_queue_push_head(&upstream->cache, g_strdup(prefix));
	if (upstream->cache.length > upstream->service->options.cache_entries)
		g_free(g_queue_pop_tail(&upstream->cache));
	return false;
}

static void start_stream(struct call *call)
{
	struct upstream *upstream = call->upstream;
	const struct si_service_options *options = &upstream->service->options;
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(call->msg);
	double first_us = options->base_us;

	if (!touch_cache(upstream, call->prefix))
		first_us += options->prefill_us;
	soup_server_message_set_status(call->msg, SOUP_STATUS_OK, NULL);
	soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
	soup_message_headers_replace(headers, "Content-Type",
				     "text/event-stream");
	call->timer =
		g_timeout_add(scaled_ms(upstream, first_us), on_token, call);
}

/* ---- taking calls ---- */

static void start(struct call *call)
{
	struct upstream *upstream = call->upstream;

	call->running = true;
	upstream->running += 1;
	if (upstream->hang)
		return;
	if (upstream->service->options.kind == SI_GENERATE) {
		start_stream(call);
		return;
	}
	count_execution(call);
	call->timer = g_timeout_add(
		scaled_ms(upstream, upstream->service->options.base_us),
		on_plain_done, call);
}

static void start_waiting(struct upstream *upstream)
{
	while (upstream->running < upstream->service->options.slots &&
	       !g_queue_is_empty(&upstream->waiting))
		start(g_queue_pop_head(&upstream->waiting));
}

static char *find_mark(const char *body)
{
	const char *open = strstr(body, "[[");
	const char *close = open ? strstr(open, "]]") : NULL;

	return close ? g_strndup(open + 2, (gsize)(close - open) - 2)
		     : g_strdup("none");
}

/* Tokens of this mark that the prompt already ends with. */
static uint32_t tokens_had(const char *prompt, const char *mark)
{
	g_autofree char *token = g_strconcat(mark, ".", NULL);
	const char *at = prompt;
	uint32_t had = 0;

	while ((at = strstr(at, token))) {
		had += 1;
		at += strlen(token);
	}
	return had;
}

static void read_prompt(struct call *call, JsonObject *request)
{
	const char *prompt = json_object_get_string_member_with_default(
		request, "prompt", "");
	gint64 tokens = json_object_get_int_member_with_default(
		request, "max_tokens", TOKENS_DEFAULT);

	call->stream = true;
	call->prefix = g_strndup(prompt, PREFIX_CHARS);
	call->next_token = tokens_had(prompt, call->mark);
	call->tokens =
		call->next_token + (uint32_t)CLAMP(tokens, 1, TOKENS_MAX);
}

static void on_call(SoupServer *server, SoupServerMessage *msg,
		    const char *path, GHashTable *query, gpointer userdata)
{
	struct upstream *upstream = userdata;
	g_autoptr(JsonNode) body = si_body(msg);
	g_autofree char *text = body ? json_to_string(body, FALSE) : NULL;
	struct call *call;

	if (!body) {
		si_respond(msg, SOUP_STATUS_BAD_REQUEST,
			   "{\"error\":\"expected a JSON object\"}");
		return;
	}
	call = g_new0(struct call, 1);
	call->upstream = upstream;
	call->msg = g_object_ref(msg);
	call->mark = find_mark(text);
	if (upstream->service->options.kind == SI_GENERATE)
		read_prompt(call, json_node_get_object(body));
	g_signal_connect(msg, "disconnected", G_CALLBACK(on_gone), call);
	soup_server_message_pause(msg);
	g_queue_push_tail(&upstream->waiting, call);
	start_waiting(upstream);
}

/* ---- control ---- */

static void on_control(SoupServer *server, SoupServerMessage *msg,
		       const char *path, GHashTable *query, gpointer userdata)
{
	struct upstream *upstream = userdata;
	g_autoptr(JsonNode) body = si_body(msg);
	JsonObject *object = body ? json_node_get_object(body) : NULL;

	if (object) {
		upstream->slow = json_object_get_double_member_with_default(
			object, "slow", upstream->slow);
		upstream->fail = json_object_get_double_member_with_default(
			object, "fail", upstream->fail);
		upstream->hang = json_object_get_boolean_member_with_default(
			object, "hang", upstream->hang);
		upstream->cut_after = json_object_get_int_member_with_default(
			object, "cut_after", upstream->cut_after);
	}
	si_respond(msg, SOUP_STATUS_OK, "{}");
}

static void on_executions(SoupServer *server, SoupServerMessage *msg,
			  const char *path, GHashTable *query,
			  gpointer userdata)
{
	struct upstream *upstream = userdata;
	struct si_service *service = upstream->service;
	uint64_t prompts = 0;
	uint64_t hits = 0;
	g_autofree char *text = NULL;

	for (uint32_t i = 0; i < service->options.count; i++) {
		prompts += service->upstreams[i].prompts;
		hits += service->upstreams[i].hits;
	}
	text = g_strdup_printf("{\"runs\":%" G_GUINT64_FORMAT ",\"keys\":%u,"
			       "\"doubled\":%" G_GUINT64_FORMAT
			       ",\"prompts\":%" G_GUINT64_FORMAT
			       ",\"cache_hits\":%" G_GUINT64_FORMAT "}",
			       service->runs,
			       g_hash_table_size(service->executions),
			       service->doubled, prompts, hits);
	si_respond(msg, SOUP_STATUS_OK, text);
}

/* An order; an old fencing number is refused where numbers are checked. */
static void on_order(SoupServer *server, SoupServerMessage *msg,
		     const char *path, GHashTable *query, gpointer userdata)
{
	struct upstream *upstream = userdata;
	g_autoptr(JsonNode) body = si_body(msg);
	JsonObject *object = body ? json_node_get_object(body) : NULL;
	int64_t fence;

	if (!object) {
		si_respond(msg, SOUP_STATUS_BAD_REQUEST, "{}");
		return;
	}
	fence = json_object_get_int_member_with_default(object, "fence", 0);
	if (upstream->service->options.check_fences &&
	    fence < upstream->fence) {
		si_respond(msg, SOUP_STATUS_PRECONDITION_FAILED, "{}");
		return;
	}
	upstream->fence = MAX(upstream->fence, fence);
	g_free(upstream->model);
	upstream->model = g_strdup(json_object_get_string_member_with_default(
		object, "model", ""));
	upstream->orders += 1;
	si_respond(msg, SOUP_STATUS_OK, "{}");
}

static void on_model(SoupServer *server, SoupServerMessage *msg,
		     const char *path, GHashTable *query, gpointer userdata)
{
	struct upstream *upstream = userdata;
	g_autofree char *text = g_strdup_printf(
		"{\"model\":\"%s\",\"orders\":%u}",
		upstream->model ? upstream->model : "", upstream->orders);

	si_respond(msg, SOUP_STATUS_OK, text);
}

/* Every key that ran, a line each: "COUNT KEY". */
static void on_keys(SoupServer *server, SoupServerMessage *msg,
		    const char *path, GHashTable *query, gpointer userdata)
{
	struct upstream *upstream = userdata;
	g_autoptr(GString) text = g_string_new(NULL);
	GHashTableIter iter;
	gpointer key;
	gpointer count;

	g_hash_table_iter_init(&iter, upstream->service->executions);
	while (g_hash_table_iter_next(&iter, &key, &count))
		g_string_append_printf(text, "%u %s\n", GPOINTER_TO_UINT(count),
				       (const char *)key);
	soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(msg, "text/plain", SOUP_MEMORY_COPY,
					 text->str, text->len);
}

static void on_metrics(SoupServer *server, SoupServerMessage *msg,
		       const char *path, GHashTable *query, gpointer userdata)
{
	struct upstream *upstream = userdata;
	g_autofree char *text = g_strdup_printf(
		"num_requests_running %u\nnum_requests_waiting %u\n",
		upstream->running, upstream->waiting.length);

	soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(msg, "text/plain", SOUP_MEMORY_COPY,
					 text, strlen(text));
}

/* ---- life ---- */

static void open_upstream(struct si_service *service, uint32_t index)
{
	struct upstream *upstream = &service->upstreams[index];
	g_autofree char *address = g_strdup_printf(
		"%s:%u", service->options.ip, service->options.port + index);

	upstream->service = service;
	upstream->index = index;
	upstream->slow = 1;
	upstream->cut_after = -1;
	g_queue_init(&upstream->waiting);
	g_queue_init(&upstream->cache);
	upstream->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(upstream->server, "/", on_call, upstream, NULL);
	soup_server_add_handler(upstream->server, "/standin", on_control,
				upstream, NULL);
	soup_server_add_handler(upstream->server, "/standin/executions",
				on_executions, upstream, NULL);
	soup_server_add_handler(upstream->server, "/admin/v1/orders", on_order,
				upstream, NULL);
	soup_server_add_handler(upstream->server, "/standin/model", on_model,
				upstream, NULL);
	soup_server_add_handler(upstream->server, "/standin/keys", on_keys,
				upstream, NULL);
	soup_server_add_handler(upstream->server, "/metrics", on_metrics,
				upstream, NULL);
	si_listen(upstream->server, address);
}

struct si_service *si_service_create(const struct si_service_options *options)
{
	struct si_service *service = g_new0(struct si_service, 1);

	service->options = *options;
	service->random = g_rand_new_with_seed(options->port);
	service->executions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	service->upstreams = g_new0(struct upstream, options->count);
	for (uint32_t i = 0; i < options->count; i++)
		open_upstream(service, i);
	return service;
}

void si_service_destroy(struct si_service *service)
{
	for (uint32_t i = 0; i < service->options.count; i++) {
		soup_server_disconnect(service->upstreams[i].server);
		g_object_unref(service->upstreams[i].server);
	}
	g_hash_table_unref(service->executions);
	g_rand_free(service->random);
	g_free(service->upstreams);
	g_free(service);
}
