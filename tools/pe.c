#include "tools/pe_private.h"

#include "base/lp_json.h"

#include <string.h>

#define DEFAULT_WORK_MS 10
/* Of the keys of upstreams' entries. */
#define EVACUATIONS_PREFIX "op/evacuate/"
#define ENTRIES_PREFIX "servers/"
/* Events of one stream, and the time between two. */
#define EVENTS 6
#define EVENT_MS 10
#define CUT_AT 3

void pe_breach(struct pe *pe, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_ptr_array_add(pe->breaches, g_strdup_vprintf(format, args));
	va_end(args);
}

/* ---- what runs ---- */

static void note_run(struct pe_upstream *upstream, struct pe_conn *conn)
{
	struct pe *pe = upstream->pe;
	const char *id = pe_conn_field(conn, "X-Attempt-Id");
	gpointer count = g_hash_table_lookup(pe->runs, id);

	g_hash_table_replace(pe->runs, g_strdup(id),
			     GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
}

void pe_answer(struct pe_upstream *upstream, struct pe_conn *conn,
	       uint32_t status, const char *extra, const char *body)
{
	g_autofree char *notices = pe_notice_fields(upstream);
	g_autofree char *fields = g_strconcat(extra, notices, NULL);

	if (upstream->fault == PE_FAULT_ENDLESS && status == 200)
		pe_endless_begin(upstream, conn, fields);
	else
		pe_conn_answer(conn, status, fields, body);
}

static char *answer_fields(struct pe_upstream *upstream, struct pe_conn *conn,
			   bool foreign)
{
	g_autofree char *notices = pe_notice_fields(upstream);

	return g_strdup_printf("X-Attempt-Id: %s\r\nX-Server-Seal: mark\r\n%s",
			       foreign ? "another"
				       : pe_conn_field(conn, "X-Attempt-Id"),
			       notices);
}

/* A text, and what its pace adds; g_free(). */
static char *pad(const char *text, const struct pe_upstream *upstream)
{
	g_autofree char *more =
		g_strnfill(upstream->listener->pace.answer_bytes, 'x');

	return g_strconcat(text, more, NULL);
}

static void answer_plain(struct pe_upstream *upstream, struct pe_conn *conn)
{
	g_autofree char *fields = answer_fields(
		upstream, conn, upstream->fault == PE_FAULT_FOREIGN);
	g_autofree char *whole = pad("whole", upstream);
	g_autofree char *text = NULL;

	switch (upstream->fault) {
	case PE_FAULT_ERROR:
		pe_conn_answer(conn, 500, fields, "failed");
		return;
	case PE_FAULT_RESET:
		pe_conn_end(conn, true);
		return;
	case PE_FAULT_SILENT:
		return;
	case PE_FAULT_GARBLED:
		pe_conn_write(conn, "HTTP/9 what is this\r\n\r\n");
		pe_conn_end(conn, false);
		return;
	case PE_FAULT_TRUNCATED:
		text = g_strdup_printf("HTTP/1.1 200 OK\r\n%s"
				       "Content-Length: 100\r\n\r\nshort",
				       fields);
		break;
	case PE_FAULT_UNFRAMED:
		text = g_strdup_printf("HTTP/1.1 200 OK\r\n%s\r\n%s", fields,
				       whole);
		break;
	case PE_FAULT_EXTRA:
		text = g_strdup_printf("HTTP/1.1 200 OK\r\n%s"
				       "Content-Length: %zu\r\n\r\n%s"
				       "HTTP/1.1 200 OK\r\n%s"
				       "Content-Length: 5\r\n\r\nextra",
				       fields, strlen(whole), whole, fields);
		break;
	case PE_FAULT_ENDLESS:
		pe_endless_begin(upstream, conn, fields);
		return;
	default:
		pe_conn_answer(conn, 200, fields, whole);
		return;
	}
	pe_conn_write(conn, text);
	pe_conn_end(conn, false);
}

/* Path and body: what its caller sends again; g_free(). */
static char *content_of(const struct pe_conn *conn)
{
	return g_strconcat(conn->parse.target->str, " ", conn->body->str, NULL);
}

/* The request ends who begins it. */
static void end_by(struct pe_upstream *upstream, struct pe_conn *conn)
{
	pe_poison_struck(upstream->pe, conn->poison);
	pe_end(upstream, &upstream->pe->poison.end);
}

/* ---- an engine's stream ---- */

struct stream {
	struct pe_conn *conn;
	struct pe_upstream *upstream;
	uint32_t next;
	struct pe_pauses pauses; /* those to come */
	int64_t paused_until_us;
	bool begun;    /* an event was written */
	bool unframed; /* as its head said */
};

static bool is_unframed(const struct pe_upstream *upstream)
{
	return upstream->stream_end.unframed ||
	       upstream->fault == PE_FAULT_UNFRAMED;
}

static void write_part(const struct stream *stream, const char *text)
{
	g_autofree char *chunk = NULL;

	if (!stream->unframed)
		chunk = g_strdup_printf("%zx\r\n%s\r\n", strlen(text), text);
	pe_conn_write(stream->conn, chunk ? chunk : text);
}

static void end_stream(struct stream *stream)
{
	struct pe_conn *conn = stream->conn;

	if (!stream->unframed)
		pe_conn_write(conn, "0\r\n\r\n");
	conn->timer = 0;
	pe_conn_end(conn, false);
}

/* Returns whether the stream has ended in good order, early or not. */
static bool end_if_due(struct stream *stream)
{
	const struct pe_stream_end *how = &stream->upstream->stream_end;
	bool is_early = how->early && stream->next > how->events;

	if (stream->next <= EVENTS && !is_early)
		return false;
	if (is_early && how->in_event) {
		g_autofree char *part = pad("id: 9\nda", stream->upstream);

		write_part(stream, part);
	}
	end_stream(stream);
	return true;
}

/* Begins the pause that is due after so many events. */
static void pause_if_due(struct stream *stream, uint32_t events)
{
	if (!stream->pauses.count || events % stream->pauses.events)
		return;
	stream->pauses.count--;
	stream->paused_until_us =
		g_get_monotonic_time() +
		stream->pauses.pause_ms * (int64_t)LP_US_PER_MS;
}

void pe_set_pauses(struct pe_upstream *upstream, const struct pe_pauses *pauses)
{
	upstream->pauses = *pauses;
}

static gboolean on_event(gpointer userdata)
{
	struct stream *stream = userdata;
	struct pe_conn *conn = stream->conn;
	g_autofree char *token = g_strdup_printf("token %u", stream->next);
	g_autofree char *data = pad(token, stream->upstream);
	g_autofree char *event =
		g_strdup_printf("id: %0*u\ndata: %s\n\n",
				(int)stream->upstream->stream_end.id_digits,
				stream->next, data);

	if (g_get_monotonic_time() < stream->paused_until_us)
		return G_SOURCE_CONTINUE;
	if (end_if_due(stream))
		return G_SOURCE_REMOVE;
	if (stream->upstream->fault == PE_FAULT_CUT && stream->next == CUT_AT) {
		pe_conn_write(conn, "8\r\nid: 3\nda\r\n");
		conn->timer = 0;
		pe_conn_end(conn, false);
		return G_SOURCE_REMOVE;
	}
	if (conn->poison &&
	    stream->next > stream->upstream->pe->poison.after_event) {
		conn->timer = 0;
		end_by(stream->upstream, conn);
		return G_SOURCE_REMOVE;
	}
	if (!stream->begun)
		pe_versions_event(stream->upstream, conn);
	stream->begun = true;
	write_part(stream, event);
	pause_if_due(stream, stream->next++);
	return G_SOURCE_CONTINUE;
}

void pe_set_stream_end(struct pe_upstream *upstream,
		       const struct pe_stream_end *how)
{
	upstream->stream_end = *how;
}

static void begin_stream(struct pe_upstream *upstream, struct pe_conn *conn)
{
	const char *after = pe_conn_field(conn, "Last-Event-Id");
	g_autofree char *fields = answer_fields(upstream, conn, false);
	g_autofree char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
		"%s\r\n",
		fields,
		is_unframed(upstream) ? "" : "Transfer-Encoding: chunked\r\n");
	struct stream *stream = g_new0(struct stream, 1);

	stream->conn = conn;
	stream->upstream = upstream;
	stream->unframed = is_unframed(upstream);
	stream->pauses = upstream->pauses;
	stream->next =
		after ? (uint32_t)g_ascii_strtoull(after, NULL, 10) + 1 : 1;
	pe_conn_write(conn, head);
	conn->timer = g_timeout_add_full(G_PRIORITY_DEFAULT, EVENT_MS, on_event,
					 stream, g_free);
}

/* All inputs there and of this request. */
static bool engine_inputs_there(struct pe_upstream *upstream,
				struct pe_conn *conn)
{
	const char *id = pe_conn_field(conn, "X-Attempt-Id");
	const char *inputs = pe_conn_field(conn, "X-Inputs");
	g_auto(GStrv) handles = g_strsplit(inputs ? inputs : "", ",", -1);

	if (!inputs && strstr(conn->parse.target->str, "staged/"))
		pe_breach(upstream->pe, "%s came without its inputs", id);
	for (char **handle = handles; *handle; handle++) {
		const struct pe_result *result =
			pe_find_result(upstream->pe, *handle);

		if (!result)
			return false;
		if (strcmp(result->request, id) != 0)
			pe_breach(upstream->pe, "%s takes in a result of %s",
				  id, result->request);
	}
	return true;
}

/* ---- a request at an upstream ---- */

/* Faults with which an engine still begins a stream. */
static bool streams(enum pe_fault fault)
{
	return fault == PE_FAULT_NONE || fault == PE_FAULT_CUT ||
	       fault == PE_FAULT_FULL || /* that decides at arrival only */
	       fault == PE_FAULT_FORGET || fault == PE_FAULT_EXTRA ||
	       fault == PE_FAULT_UNFRAMED;
}

static gboolean on_work_over(gpointer userdata)
{
	struct pe_conn *conn = userdata;
	struct pe_upstream *upstream = conn->listener->userdata;

	conn->timer = 0;
	if (upstream->kind == PE_ENGINE &&
	    (streams(upstream->fault) || conn->poison))
		begin_stream(upstream, conn);
	else
		answer_plain(upstream, conn);
	return G_SOURCE_REMOVE;
}

static gboolean on_poisoned(gpointer userdata)
{
	struct pe_conn *conn = userdata;

	conn->timer = 0;
	end_by(conn->listener->userdata, conn);
	return G_SOURCE_REMOVE;
}

/* What of a request may crash this upstream; g_free(). NULL: nothing. */
static char *find_poison(const struct pe_upstream *upstream,
			 const struct pe_conn *conn)
{
	if (pe_is_poison(upstream->pe, conn->body->str))
		return content_of(conn);
	return upstream->kind == PE_ENGINE ? pe_poison_part(upstream->pe, conn)
					   : NULL;
}

/* Returns whether it ends the upstream before any event. */
static bool begin_poison(struct pe_upstream *upstream, struct pe_conn *conn)
{
	struct pe *pe = upstream->pe;
	g_autofree char *poison = find_poison(upstream, conn);

	g_clear_pointer(&conn->poison, g_free);
	if (!poison)
		return false;
	pe_poison_arrived(pe, poison);
	if (!pe_poison_strikes(pe))
		return false;
	conn->poison = g_steal_pointer(&poison);
	if (upstream->kind == PE_ENGINE && pe->poison.after_event)
		return false;
	conn->timer = g_timeout_add(pe->poison.after_ms, on_poisoned, conn);
	return true;
}

static void run(struct pe_upstream *upstream, struct pe_conn *conn)
{
	if (upstream->fault == PE_FAULT_FULL) {
		pe_answer(upstream, conn, 503, "X-Not-Run: 1\r\n", "");
		return;
	}
	if (upstream->kind == PE_ENGINE &&
	    !engine_inputs_there(upstream, conn)) {
		pe_answer(upstream, conn, 409, "X-Not-Run: 1\r\n", "");
		return;
	}
	pe_memory_take(upstream, conn);
	note_run(upstream, conn);
	if (begin_poison(upstream, conn))
		return;
	conn->timer = g_timeout_add(upstream->work_ms, on_work_over, conn);
}

static void on_request(void *userdata, struct pe_conn *conn)
{
	struct pe_upstream *upstream = userdata;
	const char *expected = pe_conn_field(conn, "X-Expect-Instance");
	const char *id = upstream->other_id ? upstream->other_id : upstream->id;

	if (upstream->kind == PE_ENGINE && pe_memory_request(upstream, conn))
		return;
	upstream->arrivals++;
	if (pe_conn_field(conn, "Authorization"))
		pe_breach(upstream->pe, "a key was passed on");
	if (g_strcmp0(expected, id) != 0) {
		pe_conn_answer(conn, 421, "", "");
		return;
	}
	pe_notices_arrived(upstream);
	if (pe_notices_turn_away(upstream, conn))
		return;
	if (upstream->kind == PE_STAGE) {
		pe_stage_request(upstream, conn);
		return;
	}
	if (!pe_conn_field(conn, "X-Attempt-Id") ||
	    !pe_conn_field(conn, "X-Deadline-Ms"))
		pe_breach(upstream->pe, "a request without id or deadline");
	if (g_strcmp0(pe_conn_field(conn, "X-Tenant"), "acme") != 0)
		pe_breach(upstream->pe, "a request of another organisation");
	run(upstream, conn);
}

static void on_left(void *userdata, struct pe_conn *conn)
{
	struct pe_upstream *upstream = userdata;

	if (upstream->kind == PE_STAGE && conn->timer)
		upstream->at_work--;
}

/* ---- upstreams ---- */

char *pe_entry(const struct pe_upstream *upstream)
{
	g_autofree char *born = g_strdup_printf(",\"born\":%" G_GINT64_FORMAT,
						(gint64)upstream->born_ms);

	return g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		"\"version\":\"%s\",\"slots\":4,\"state\":\"%s\","
		"\"cold_left_ms\":%u,\"seq_no\":1%s}",
		upstream->service, upstream->listener->address,
		upstream->domain, upstream->version,
		upstream->draining ? "draining" : "ready", upstream->cold_ms,
		upstream->pe->no_start ? "" : born);
}

void pe_write(struct pe *pe, const char *id, const void *bytes, size_t size)
{
	g_autofree char *key = g_strconcat(ENTRIES_PREFIX, id, NULL);

	pe_store_put_bytes(pe, key, bytes, size);
}

void pe_put(struct pe *pe, const char *key, const void *bytes, size_t size)
{
	pe_store_put_bytes(pe, key, bytes, size);
}

void pe_erase(struct pe *pe, const char *id)
{
	g_autofree char *key = g_strconcat(ENTRIES_PREFIX, id, NULL);

	pe_store_remove(pe, key);
}

void pe_set_cold(struct pe_upstream *upstream, uint32_t cold_ms)
{
	upstream->cold_ms = cold_ms;
	pe_tell(upstream);
}

void pe_evacuate(struct pe *pe, const char *domain)
{
	g_autofree char *key = g_strconcat(EVACUATIONS_PREFIX, domain, NULL);

	pe_store_put(pe, key, "{}");
}

void pe_take_back(struct pe *pe, const char *domain)
{
	g_autofree char *key = g_strconcat(EVACUATIONS_PREFIX, domain, NULL);

	pe_store_remove(pe, key);
}

void pe_tell(struct pe_upstream *upstream)
{
	g_autofree char *value = pe_entry(upstream);

	if (upstream->away)
		return;
	pe_write(upstream->pe, upstream->id, value, strlen(value));
}

struct pe_upstream *pe_add(struct pe *pe, enum pe_kind kind,
			   const char *service, const char *domain)
{
	struct pe_upstream *upstream = g_new0(struct pe_upstream, 1);

	upstream->pe = pe;
	upstream->kind = kind;
	upstream->id = g_strdup_printf("i-%u", ++pe->serial);
	upstream->service = g_strdup(service);
	upstream->domain = g_strdup(domain);
	upstream->version = g_strdup("v1");
	upstream->work_ms = DEFAULT_WORK_MS;
	upstream->born_ms = g_get_real_time() / 1000;
	upstream->memory =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	upstream->listener = pe_listener_create(on_request, on_left, upstream);
	if (kind == PE_STAGE)
		upstream->results = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, pe_result_free);
	g_ptr_array_add(pe->upstreams, upstream);
	pe_tell(upstream);
	return upstream;
}

static void free_upstream(gpointer data)
{
	struct pe_upstream *upstream = data;

	if (upstream->away)
		g_source_remove(upstream->away);
	if (upstream->telling)
		g_source_remove(upstream->telling);
	pe_listener_destroy(upstream->listener);
	pe_notices_clear(upstream);
	if (upstream->results)
		g_hash_table_unref(upstream->results);
	g_hash_table_unref(upstream->memory);
	g_free(upstream->id);
	g_free(upstream->other_id);
	g_free(upstream->service);
	g_free(upstream->domain);
	g_free(upstream->version);
	g_free(upstream);
}

void pe_fault(struct pe_upstream *upstream, enum pe_fault fault)
{
	upstream->fault = fault;
}

void pe_set_work_ms(struct pe_upstream *upstream, uint32_t work_ms)
{
	upstream->work_ms = work_ms;
}

void pe_set_pace(struct pe_upstream *upstream, const struct pe_pace *pace)
{
	pe_listener_set_pace(upstream->listener, pace);
}

void pe_set_stage_cost(struct pe_upstream *upstream,
		       const struct pe_stage_cost *cost)
{
	upstream->cost = *cost;
}

void pe_drain(struct pe_upstream *upstream)
{
	upstream->draining = true;
	pe_tell(upstream);
}

void pe_replace(struct pe_upstream *upstream)
{
	upstream->other_id = g_strdup("i-other");
}

/* Nothing of before answers any more. */
static void end_connections(struct pe_upstream *upstream, bool silent)
{
	GPtrArray *conns = upstream->listener->conns;

	for (guint i = conns->len; i-- > 0;) {
		struct pe_conn *conn = g_ptr_array_index(conns, i);

		if (silent)
			pe_conn_silence(conn);
		else
			pe_conn_end(conn, true);
	}
}

/* What it had is gone, and it starts anew. */
static void begin_life(struct pe_upstream *upstream)
{
	if (upstream->results)
		g_hash_table_remove_all(upstream->results);
	g_hash_table_remove_all(upstream->memory);
	pe_notices_clear(upstream);
	upstream->at_work = 0;
	upstream->busy_until_us = 0;
	upstream->draining = false;
	upstream->born_ms =
		MAX(upstream->born_ms + 1, g_get_real_time() / 1000);
}

void pe_restart(struct pe_upstream *upstream,
		const struct pe_restart_options *how)
{
	if (upstream->away)
		return;
	end_connections(upstream, how->silent);
	begin_life(upstream);
	upstream->born_ms -= how->back_ms;
	if (!how->untold)
		pe_tell(upstream);
}

static gboolean on_told(gpointer userdata)
{
	struct pe_upstream *upstream = userdata;

	upstream->telling = 0;
	pe_erase(upstream->pe, upstream->id);
	return G_SOURCE_REMOVE;
}

static gboolean on_back(gpointer userdata)
{
	struct pe_upstream *upstream = userdata;

	upstream->away = 0;
	if (upstream->telling)
		g_source_remove(upstream->telling);
	upstream->telling = 0;
	if (upstream->end.new_id) {
		pe_erase(upstream->pe, upstream->id);
		g_free(upstream->id);
		upstream->id = g_strdup_printf("i-%u", ++upstream->pe->serial);
	}
	begin_life(upstream);
	pe_listener_go_on(upstream->listener);
	pe_tell(upstream);
	return G_SOURCE_REMOVE;
}

void pe_end(struct pe_upstream *upstream, const struct pe_end_options *how)
{
	if (upstream->away) {
		upstream->end.new_id |= how->new_id;
		return;
	}
	pe_listener_stop(upstream->listener);
	end_connections(upstream, false);
	upstream->end = *how;
	upstream->away = g_timeout_add((guint)how->away_ms, on_back, upstream);
	upstream->telling =
		g_timeout_add((guint)how->told_ms, on_told, upstream);
}

void pe_say_no_start(struct pe *pe)
{
	pe->no_start = true;
}

void pe_remove(struct pe_upstream *upstream)
{
	pe_erase(upstream->pe, upstream->id);
	g_ptr_array_remove_fast(upstream->pe->upstreams, upstream);
}

uint32_t pe_calls(const struct pe_upstream *upstream)
{
	return upstream->calls;
}

const char *pe_name(const struct pe_upstream *upstream)
{
	return upstream->id;
}

uint32_t pe_arrivals(const struct pe_upstream *upstream)
{
	return upstream->arrivals;
}

uint32_t pe_connections(const struct pe_upstream *upstream)
{
	return upstream->listener->conns->len;
}

/* ---- the emulator ---- */

struct pe *pe_create(void)
{
	struct pe *pe = g_new0(struct pe, 1);

	pe->revision = 1;
	pe->upstreams = g_ptr_array_new_with_free_func(free_upstream);
	pe->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pe->stream_versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pe->accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pe->breaches = g_ptr_array_new_with_free_func(g_free);
	pe_store_create(pe);
	return pe;
}

void pe_destroy(struct pe *pe)
{
	g_ptr_array_unref(pe->upstreams);
	pe_link_destroy(pe->link);
	pe_listener_destroy(pe->store);
	g_ptr_array_unref(pe->watches);
	g_hash_table_unref(pe->items);
	g_clear_pointer(&pe->copied_items, g_hash_table_unref);
	g_hash_table_unref(pe->runs);
	g_hash_table_unref(pe->stream_versions);
	g_hash_table_unref(pe->accounts);
	g_ptr_array_unref(pe->breaches);
	g_free(pe);
}

const char *pe_store_address(const struct pe *pe)
{
	return pe->store->address;
}

uint32_t pe_runs(const struct pe *pe, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(pe->runs, id));
}

uint32_t pe_pieces_made(const struct pe *pe)
{
	return pe->made;
}

uint32_t pe_pieces_kept(const struct pe *pe)
{
	uint32_t kept = 0;

	for (guint i = 0; i < pe->upstreams->len; i++) {
		const struct pe_upstream *upstream =
			g_ptr_array_index(pe->upstreams, i);

		if (upstream->results)
			kept += g_hash_table_size(upstream->results);
	}
	return kept;
}

const GPtrArray *pe_breaches(const struct pe *pe)
{
	return pe->breaches;
}

/* Routes that nobody asks for, each ends with a comma; g_free(). */
static char *more_routes(uint32_t count)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < count; i++)
		g_string_append_printf(
			text,
			"{\"name\":\"r%u\",\"host\":\"a.example\",\"prefix\":"
			"\"/more%u/\",\"kind\":\"idempotent\",\"timeout_ms\":"
			"2000,\"service\":\"plain\",\"max_attempts\":2},",
			i, i);
	return g_string_free(text, FALSE);
}

char *pe_sample_config(int64_t version)
{
	return pe_grown_config(version, 0);
}

/* Times of the routes. */
struct route_times {
	uint32_t plain_ms; /* timeouts */
	uint32_t stream_ms;
	uint32_t first_ms; /* targets of streams without stages: first event, */
	uint32_t gap_ms;   /* and pauses */
};

static char *print_config(int64_t version, uint32_t routes_more,
			  const struct route_times *times)
{
	g_autofree char *more = more_routes(routes_more);
	g_autofree char *routes = g_strdup_printf(
		"{\"name\":\"look\",\"host\":\"a.example\",\"prefix\":\"/look/"
		"\","
		"\"kind\":\"idempotent\",\"timeout_ms\":%u,"
		"\"target_latency_ms\":300,\"priority\":2,\"service\":"
		"\"plain\","
		"\"max_attempts\":2},"
		"{\"name\":\"order\",\"host\":\"a.example\",\"prefix\":"
		"\"/order/\",\"kind\":\"non_idempotent\",\"timeout_ms\":%u,"
		"\"target_latency_ms\":300,\"priority\":2,\"service\":"
		"\"plain\","
		"\"max_attempts\":1},"
		"{\"name\":\"once\",\"host\":\"a.example\",\"prefix\":\"/once/"
		"\","
		"\"kind\":\"streaming\",\"timeout_ms\":%u,"
		"\"target_latency_ms\":%u,\"target_gap_ms\":%u,\"priority\":"
		"1,"
		"\"service\":\"engine\",\"max_attempts\":1},"
		"{\"name\":\"again\",\"host\":\"a.example\",\"prefix\":"
		"\"/again/\",\"kind\":\"streaming\",\"timeout_ms\":%u,"
		"\"target_latency_ms\":%u,\"target_gap_ms\":%u,\"priority\":"
		"0,"
		"\"service\":\"engine\",\"max_attempts\":2,"
		"\"resume_streams\":true},"
		"{\"name\":\"staged\",\"host\":\"a.example\",\"prefix\":"
		"\"/staged/\",\"kind\":\"streaming\",\"timeout_ms\":%u,"
		"\"target_latency_ms\":2000,\"target_gap_ms\":200,"
		"\"priority\":0,\"service\":\"engine\",\"max_attempts\":1,"
		"\"stages\":[{\"service\":\"first\",\"after\":[],\"bytes\":"
		"1000},"
		"{\"service\":\"second\",\"after\":[0],\"bytes\":1000}]},"
		"{\"name\":\"restaged\",\"host\":\"a.example\",\"prefix\":"
		"\"/restaged/\",\"kind\":\"streaming\",\"timeout_ms\":%u,"
		"\"target_latency_ms\":2000,\"target_gap_ms\":200,"
		"\"priority\":0,\"service\":\"engine\",\"max_attempts\":2,"
		"\"resume_streams\":true,"
		"\"stages\":[{\"service\":\"first\",\"after\":[],\"bytes\":"
		"1000},"
		"{\"service\":\"second\",\"after\":[0],\"bytes\":1000}]}",
		times->plain_ms, times->plain_ms, times->stream_ms,
		times->first_ms, times->gap_ms, times->stream_ms,
		times->first_ms, times->gap_ms, times->stream_ms,
		times->stream_ms);
	static const char pieces[] =
		"\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":8,"
		"\"call_ms\":10,\"item_ms\":1,\"headroom_mb\":1,\"handle_s\":"
		"4}";

	return g_strdup_printf(
		"{\"version\":%" G_GINT64_FORMAT
		",\"routes\":[%s%s],\"services\":[{\"name\":\"plain\"},"
		"{\"name\":\"engine\",\"engine\":{\"slots\":8,"
		"\"kv_capacity\":100000}},{\"name\":\"first\",%s},"
		"{\"name\":\"second\",%s}],"
		"\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":"
		"65536,"
		"\"header_timeout_ms\":1000,\"idle_timeout_ms\":5000},"
		"\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"key-"
		"%" G_GINT64_FORMAT "\",\"key-always\"],\"priority\":-1}]}",
		(gint64)version, more, routes, pieces, pieces, (gint64)version);
}

char *pe_grown_config(int64_t version, uint32_t routes_more)
{
	return print_config(version, routes_more,
			    &(struct route_times){ 2000, 3000, 500, 200 });
}

char *pe_patient_config(int64_t version, uint32_t routes_more,
			uint32_t timeout_ms)
{
	return print_config(
		version, routes_more,
		&(struct route_times){ timeout_ms, timeout_ms, 3000, 1000 });
}

const char *pe_domain(const struct pe_upstream *upstream)
{
	return upstream->domain;
}

bool pe_is_stage(const struct pe_upstream *upstream)
{
	return upstream->kind == PE_STAGE;
}
