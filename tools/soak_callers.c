/** The soak's callers: what they ask of the entries, and what may come of it.
 */
#include "tools/soak_private.h"

#include "http/http_client.h"
#include "tools/pe_caller.h"

#include <stdio.h>
#include <string.h>

#define STREAM_EVENTS 6
#define ASK_TIMEOUT_MS 9000
/* With --slow, where routes have timeouts of 12 s. */
#define SLOW_ASK_TIMEOUT_MS 16000
#define SLOW_ROUTE_MAX_US (12 * LP_US_PER_S)
/* What the system of a slow caller holds of an answer. */
#define SLOW_WINDOW_BYTES 16384
/* How often a caller resumes a stream, with --release. */
#define RESUMES_MAX 3
/* The longest timeout of a route, and what a busy host may take beyond it to
 * say that it is over. */
#define ROUTE_MAX_US (3 * LP_US_PER_S)
#define PLAIN_ROUTE_US (2 * LP_US_PER_S)
#define ANSWER_SLACK_US (1500 * LP_US_PER_MS)
/* An entry that is not stopped has read a request by then. */
#define READ_US (500 * LP_US_PER_MS)
/* Before the end of its grace time an entry may refuse, then cut. */
#define GRACE_LAST_US (1500 * LP_US_PER_MS)

enum kind { KIND_LOOK, KIND_ORDER, KIND_ONCE, KIND_AGAIN, KIND_STAGED, KINDS };

struct ask {
	struct soak *soak;
	enum kind kind;
	char *id;
	const char *poison; /* what ends who begins it, or NULL */
	char *prompt;	    /* of a stream, or NULL */
	uint32_t entry;
	uint32_t stops;	 /* of its entry, when it began */
	bool sent_there; /* by the balancer, which had it in rotation */
	int64_t begun_us;
	struct http_exchange *exchange;
	guint timer;
	uint32_t status;
	GString *body; /* after what earlier attempts of the stream delivered */
	/* of a stream, with --release */
	char *first;	  /* attempt that delivered its first event; or NULL */
	char *last_event; /* of those that the attempts before delivered */
	gsize earlier;	  /* bytes of the body that they delivered */
	uint32_t resumes;
	struct soak_slow_draw slow;
	guint pause; /* timer: its caller reads on; 0: it reads */
	bool counts; /* its outcome belongs to a share */
	bool leaves; /* its caller leaves after the first events */
	bool has_left;
	guint leave_source;
};

static const char *const targets[KINDS] = { "/look/x", "/order/x", "/once/x",
					    "/again/x", "/staged/x" };

/* The whole answer to a request; g_free(). */
static char *expected_answer(const struct ask *ask)
{
	g_autofree char *more =
		g_strnfill(soak_slow_answer_bytes(ask->soak->slow), 'x');
	GString *expected;

	if (ask->kind < KIND_ONCE)
		return g_strconcat("whole", more, NULL);
	expected = g_string_new(NULL);
	for (int i = 1; i <= STREAM_EVENTS; i++)
		g_string_append_printf(expected, "id: %d\ndata: token %d%s\n\n",
				       i, i, more);
	return g_string_free(expected, FALSE);
}

static bool is_whole(const struct ask *ask)
{
	g_autofree char *expected = expected_answer(ask);

	return !strcmp(ask->body->str, expected);
}

/* When its entry could read it: what came while it stood still, or just before,
 * is read when it goes on. */
static int64_t read_us(const struct ask *ask, const GArray *pauses)
{
	int64_t at_us = ask->begun_us;

	for (guint i = 0; i < pauses->len; i++) {
		const struct pause *pause =
			&g_array_index(pauses, struct pause, i);

		if (at_us + READ_US > pause->from_us && at_us < pause->to_us)
			at_us = pause->to_us;
	}
	return at_us;
}

/* When its entry had to answer at the latest. Its time goes on while its entry
 * stands still, but no answer comes then. */
static int64_t due_us(const struct ask *ask)
{
	const struct entry *entry = &ask->soak->entries[ask->entry];

	return MAX(read_us(ask, entry->pauses) +
			   (ask->soak->slow ? SLOW_ROUTE_MAX_US : ROUTE_MAX_US),
		   entry->resumed_us);
}

static void judge_time(const struct ask *ask)
{
	struct soak *soak = ask->soak;
	const struct entry *entry = &soak->entries[ask->entry];
	int64_t now_us = g_get_monotonic_time();

	/* The system of an entry that was killed gives up callers that read
	 * nothing, and cannot tell them. */
	if (ask->slow.pause_ms && entry->stops != ask->stops)
		return;
	/* Of several stops only the last is known. */
	if (entry->paused || soak_suspend_holds(soak->suspend, ask->entry) ||
	    entry->stops > ask->stops + 1 ||
	    now_us <= due_us(ask) + ANSWER_SLACK_US)
		return;
	soak_breach(soak, ask->id, "held past its time");
	printf("it was %s, status %u, %d ms after it began, %d ms after its "
	       "entry went on%s\n",
	       targets[ask->kind], ask->status,
	       (int)((now_us - ask->begun_us) / LP_US_PER_MS),
	       (int)((now_us - entry->resumed_us) / LP_US_PER_MS),
	       entry->leaving ? ", leaving" : "");
}

/* An entry that ends in order, in this one life and without standing still,
 * answers whoever its balancer sent there, until shortly before its time is up.
 */
static void judge_planned_end(const struct ask *ask, int error)
{
	struct soak *soak = ask->soak;
	const struct entry *entry = &soak->entries[ask->entry];
	int64_t since_us = g_get_monotonic_time() - entry->term_us;

	if (!ask->sent_there || !entry->leaving || !error || ask->status ||
	    !ask->timer || entry->stops != ask->stops || entry->paused ||
	    soak_suspend_holds(soak->suspend, ask->entry) ||
	    since_us > GRACE_US - GRACE_LAST_US)
		return;
	soak_breach(soak, ask->id, "no answer of an entry that ends in order");
	printf("it was %s, %s, %d ms after SIGTERM, begun %d ms before\n",
	       targets[ask->kind], lp_strerror(error),
	       (int)(since_us / LP_US_PER_MS),
	       (int)((g_get_monotonic_time() - ask->begun_us) / LP_US_PER_MS));
}

/* What was begun by an entry that nothing happened to meanwhile, and is over
 * before its deadline. */
static void judge_slow(const struct ask *ask, bool is_whole_answer)
{
	const struct entry *entry = &ask->soak->entries[ask->entry];
	int64_t took_us = g_get_monotonic_time() - ask->begun_us;

	if (ask->status == 200 && took_us < SLOW_ROUTE_MAX_US &&
	    entry->stops == ask->stops && !entry->leaving && !entry->paused)
		soak_slow_add(ask->soak->slow, ask->id, &ask->slow,
			      is_whole_answer);
}

/* When its route gives up. */
static int64_t route_us(const struct ask *ask)
{
	return ask->kind < KIND_ONCE ? PLAIN_ROUTE_US : ROUTE_MAX_US;
}

static void judge_pauses(const struct ask *ask, int error, bool is_whole_answer)
{
	const struct entry *entry = &ask->soak->entries[ask->entry];
	int64_t now_us = g_get_monotonic_time();
	const struct soak_pauses_outcome outcome = {
		.id = ask->id,
		.status = ask->status,
		.is_refused = error == LP_ERROR_NOT_LISTENING,
		.is_whole = is_whole_answer,
		.is_due = now_us - ask->begun_us >= route_us(ask) ||
			  (entry->leaving &&
			   now_us - entry->term_us > GRACE_US - GRACE_LAST_US),
	};

	if (entry->stops == ask->stops)
		soak_pauses_judge(ask->soak->pauses, &outcome);
}

static void judge(struct ask *ask, int error)
{
	struct soak *soak = ask->soak;
	uint32_t runs = pe_runs(soak->platform, ask->id);
	bool whole = is_whole(ask);

	if (!error && ask->status == 200)
		soak->answered++;
	else if (!error && ask->status == 503)
		soak->refused++;
	else
		soak->failed++;
	if (ask->has_left)
		return;
	judge_slow(ask, !error && whole);
	judge_pauses(ask, error, !error && whole);
	judge_time(ask);
	judge_planned_end(ask, error);
	if (!error && ask->status == 200 && !whole) {
		soak_breach(soak, ask->id,
			    "a success without the whole answer");
		printf("it was %s: %zu bytes, %.80s\n", targets[ask->kind],
		       ask->body->len, ask->body->str);
	}
	if (!error && ask->status == 503 && runs)
		soak_breach(soak, ask->id,
			    "refused as not run, and it has run");
	if (runs > 1 && ask->kind != KIND_LOOK && ask->kind != KIND_AGAIN)
		soak_breach(soak, ask->id, "ran twice");
}

static void free_ask(struct ask *ask)
{
	if (ask->timer)
		g_source_remove(ask->timer);
	if (ask->leave_source)
		g_source_remove(ask->leave_source);
	if (ask->pause)
		g_source_remove(ask->pause);
	g_string_free(ask->body, TRUE);
	g_free(ask->first);
	g_free(ask->last_event);
	g_free(ask->prompt);
	g_free(ask->id);
	g_free(ask);
}

static void resume_stream(struct ask *ask);

static void end_ask(struct ask *ask, int error)
{
	struct soak *soak = ask->soak;

	judge(ask, error);
	if (ask->counts)
		soak_release_add(soak->release, ask->first != NULL,
				 ask->body->len > ask->earlier);
	if (error)
		resume_stream(ask);
	soak->open--;
	if (!soak->open && soak->asked == soak->settings.requests)
		g_main_loop_quit(soak->loop);
	free_ask(ask);
}

static void on_head(void *userdata, uint32_t status,
		    const struct http_fields *fields)
{
	struct ask *ask = userdata;
	const char *id = http_fields_get(fields, "X-Attempt-Id");

	ask->status = status;
	if (g_strcmp0(id, ask->id) != 0)
		soak_breach(ask->soak, ask->id, "an answer of another request");
}

static gboolean on_leave(gpointer userdata)
{
	struct ask *ask = userdata;

	ask->leave_source = 0;
	ask->has_left = true;
	http_exchange_cancel(ask->exchange);
	end_ask(ask, LP_ERROR_UPSTREAM_GONE);
	return G_SOURCE_REMOVE;
}

static gboolean on_pause_over(gpointer userdata)
{
	struct ask *ask = userdata;

	ask->pause = 0;
	http_exchange_pause(ask->exchange, false);
	return G_SOURCE_REMOVE;
}

static void pause_once(struct ask *ask)
{
	if (!ask->slow.pause_ms)
		return;
	http_exchange_pause(ask->exchange, true);
	ask->pause = g_timeout_add(ask->slow.pause_ms, on_pause_over, ask);
}

static void on_body(void *userdata, const char *bytes, size_t size)
{
	struct ask *ask = userdata;

	if (!ask->body->len)
		pause_once(ask);
	g_string_append_len(ask->body, bytes, (gssize)size);
	if (ask->leaves && !ask->leave_source)
		ask->leave_source = g_idle_add(on_leave, ask);
}

static void on_done(void *userdata, int error, bool sent)
{
	end_ask(userdata, error);
}

static gboolean on_ask_timeout(gpointer userdata)
{
	struct ask *ask = userdata;

	ask->timer = 0;
	http_exchange_cancel(ask->exchange);
	/* Paused entries answer nobody: that is no breach. */
	end_ask(ask, LP_ERROR_UPSTREAM_GONE);
	return G_SOURCE_REMOVE;
}

static void start_exchange(struct ask *ask, const char *address)
{
	static const struct http_exchange_events events = { on_head, on_body,
							    on_done };
	bool is_staged = ask->kind == KIND_STAGED;
	const char *piece_key = ask->poison ? ask->poison : ask->id;
	g_autofree char *filler = g_strnfill(ask->slow.body_bytes, 'y');
	const char *body = ask->poison ? ask->poison : filler;
	struct http_fields fields;

	http_fields_init(&fields);
	pe_caller_write(
		&(struct pe_caller_request){
			.attempt = ask->id,
			.key = "key-always",
			.tokens = ask->prompt ? "170,20" : NULL,
			.prompt = ask->prompt,
			.pieces = is_staged ? "2,3" : NULL,
			.piece_key = is_staged ? piece_key : NULL,
			.resumed_attempt = ask->first,
			.last_event = ask->last_event,
		},
		&fields);
	ask->exchange = http_exchange_start(&(struct http_exchange_options){
		.address = address,
		.method = "POST",
		.target = targets[ask->kind],
		.fields = &fields,
		.body = body,
		.body_size = strlen(body),
		.has_body = true,
		.receive_buffer_bytes =
			ask->slow.pause_ms ? SLOW_WINDOW_BYTES : 0,
		.connect_timeout_us = LP_US_PER_S,
		.events = &events,
		.userdata = ask,
	});
	http_fields_clear(&fields);
}

/* Sends a request to an entry. */
static void send_ask(struct ask *ask, uint32_t entry)
{
	struct soak *soak = ask->soak;

	ask->entry = entry;
	ask->stops = soak->entries[entry].stops;
	ask->sent_there = soak_balancer_has(soak->balancer, entry);
	ask->begun_us = g_get_monotonic_time();
	ask->counts = ask->kind == KIND_AGAIN &&
		      soak_release_counts(soak->release, ask->first);
	start_exchange(ask, soak->entries[entry].callers);
	if (ask->exchange)
		ask->timer = g_timeout_add(soak->slow ? SLOW_ASK_TIMEOUT_MS
						      : ASK_TIMEOUT_MS,
					   on_ask_timeout, ask);
	else
		end_ask(ask, LP_ERROR_UPSTREAM_GONE);
}

/* ---- streams that callers resume ---- */

static gboolean on_resume(gpointer userdata)
{
	struct ask *ask = userdata;

	ask->timer = 0;
	send_ask(ask, (uint32_t)g_rand_int_range(ask->soak->random, 0,
						 (gint32)ask->soak->count));
	return G_SOURCE_REMOVE;
}

/* The id of the last whole event; g_free(). NULL: there is none. */
static char *last_event_id(const char *body)
{
	const char *end = g_strrstr(body, "\n\n");
	g_autofree char *whole = end ? g_strndup(body, end - body) : NULL;
	const char *id = whole ? g_strrstr(whole, "id: ") : NULL;

	return id ? g_strndup(id + 4, strcspn(id + 4, "\n")) : NULL;
}

/* Continues a stream that broke off, after the last whole event, with a new
 * attempt at any entry. */
static void resume_stream(struct ask *before)
{
	struct soak *soak = before->soak;
	char *last_event = last_event_id(before->body->str);
	struct ask *ask;

	if (!soak->release || before->kind != KIND_AGAIN || !last_event ||
	    before->resumes == RESUMES_MAX) {
		g_free(last_event);
		return;
	}
	ask = g_new0(struct ask, 1);
	ask->soak = soak;
	ask->kind = before->kind;
	ask->resumes = before->resumes + 1;
	ask->id = g_strdup_printf("%s-%u",
				  before->first ? before->first : before->id,
				  ask->resumes);
	ask->first = g_strdup(before->first ? before->first : before->id);
	ask->last_event = last_event;
	ask->body = g_string_new_len(before->body->str,
				     g_strrstr(before->body->str, "\n\n") + 2 -
					     before->body->str);
	ask->earlier = ask->body->len;
	ask->leaves = soak_release_draw_leaving(soak->release);
	soak->open++;
	ask->timer = g_timeout_add(soak_release_draw_pause_ms(soak->release),
				   on_resume, ask);
}

/* ---- requests ---- */

gboolean soak_callers_on_timer(gpointer userdata)
{
	struct soak *soak = userdata;
	uint32_t drawn = (uint32_t)g_rand_int_range(soak->random, 0,
						    (gint32)soak->count);
	uint32_t entry = soak_balancer_choose(soak->balancer, drawn);
	struct ask *ask = g_new0(struct ask, 1);

	if (soak_cut_keeps_from(soak->cut, entry))
		entry = (entry + 1) % soak->count;
	ask->soak = soak;
	ask->kind = (enum kind)g_rand_int_range(soak->random, 0, KINDS);
	ask->id = g_strdup_printf("s%" G_GINT64_FORMAT "-%u",
				  (gint64)soak->settings.seed, ++soak->asked);
	ask->body = g_string_new(NULL);
	ask->slow = soak_slow_draw(soak->slow);
	ask->poison = soak_poison_draw(soak->poison);
	if (ask->kind >= KIND_ONCE)
		ask->prompt = soak_poison_draw_prompt(soak->poison, ask->id);
	ask->leaves = ask->kind == KIND_AGAIN &&
		      soak_release_draw_leaving(soak->release);
	soak->open++;
	send_ask(ask, entry);
	return soak->asked < soak->settings.requests ? G_SOURCE_CONTINUE
						     : G_SOURCE_REMOVE;
}
