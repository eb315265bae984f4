#include "direct/direct_ends.h"

#include "base/lp_timer.h"

#include "direct/direct_private.h"

/* One that takes a connection is asked once more after this: a process that
 * ends may close its connections before the address it listens at. */
#define SURE_MS 100
/* A host that says nothing is asked again after this, ... */
#define SILENT_MS 1000
/* ... and so often: within the time for which losses are kept. */
#define QUESTIONS_MAX 5

/* A question to the address of an upstream: is there still anyone? */
struct question {
	struct direct_ends *ends;
	struct pool_upstream *upstream; /* held */
	struct http_sock *sock;		/* NULL: between two connections */
	guint timer;
	uint32_t asked;
	bool took_one; /* it has taken a connection */
};

struct direct_ends {
	struct direct_ends_options options;
	struct losses *losses;
	GHashTable *questions; /* life -> struct question */
};

static void ask(struct question *question);

static struct direct *direct_of(const struct direct_ends *ends)
{
	return ends->options.direct;
}

static void free_question(gpointer data)
{
	struct question *question = data;

	if (question->sock)
		http_sock_abort(question->sock);
	direct_clear_timer(&question->timer);
	pool_release(question->upstream);
	g_free(question);
}

/* ---- what was found out ---- */

static void log_end(struct direct_ends *ends,
		    const struct pool_upstream *upstream, enum direct_end how,
		    const GArray *lost)
{
	static const char *const names[] = { "refused", "replaced",
					     "restarted" };
	struct direct *direct = direct_of(ends);
	struct lp_event_log *log = direct->options.log;
	g_autofree char *label = g_strdup_printf("how=\"%s\"", names[how]);

	*direct_counter(direct, "linepier_upstream_ends_total", label) += 1;
	if (!lp_event_begin(log, "upstream_ended", NULL))
		return;
	lp_event_text(log, "upstream", upstream->entry.id);
	lp_event_text(log, "service", upstream->entry.service);
	lp_event_digest(log, "life", upstream->life);
	lp_event_text(log, "how", names[how]);
	lp_event_int(log, "lost", lost->len);
	lp_event_int(log, "list_age_us",
		     lp_now_us(direct->options.clock) -
			     direct->upstreams_updated_us);
	lp_event_end(log);
}

static void log_lost(struct direct_ends *ends,
		     const struct pool_upstream *upstream,
		     const struct loss *lost)
{
	struct lp_event_log *log = direct_of(ends)->options.log;

	if (!lp_event_begin(log, "lost_with_upstream", NULL))
		return;
	lp_event_text(log, "upstream", upstream->entry.id);
	lp_event_digest(log, "content", lost->request);
	lp_event_int(log, "after_us", lost->lost_us - lost->began_us);
	lp_event_end(log);
}

void direct_ends_saw(struct direct_ends *ends,
		     const struct pool_upstream *upstream, enum direct_end how)
{
	g_autoptr(GArray) lost = g_array_new(FALSE, FALSE, sizeof(struct loss));
	uint64_t life = upstream->life;

	if (pool_is_leaving(upstream))
		return;
	if (losses_ended(ends->losses, life, how == DIRECT_END_RESTARTED,
			 lost) &&
	    lost->len)
		log_end(ends, upstream, how, lost);
	for (guint i = 0; i < lost->len; i++)
		log_lost(ends, upstream, &g_array_index(lost, struct loss, i));
	if (lost->len)
		ends->options.ended(ends->options.userdata,
				    (struct loss *)lost->data, lost->len);
	g_hash_table_remove(ends->questions, &life);
}

/* ---- asking ---- */

/* Nothing was found out. Ends the question. */
static void give_up(struct question *question, bool seen_alive)
{
	struct direct_ends *ends = question->ends;
	uint64_t life = question->upstream->life;

	losses_not_found(ends->losses, life, seen_alive);
	g_hash_table_remove(ends->questions, &life);
}

static gboolean on_ask_again(gpointer userdata)
{
	struct question *question = userdata;

	question->timer = 0;
	ask(question);
	return G_SOURCE_REMOVE;
}

static void ask_again(struct question *question, guint wait_ms)
{
	if (question->sock)
		http_sock_abort(question->sock);
	question->sock = NULL;
	direct_clear_timer(&question->timer);
	if (question->asked == QUESTIONS_MAX)
		give_up(question, question->took_one);
	else
		question->timer = lp_timer_add(wait_ms, on_ask_again, question);
}

static void on_connected(void *userdata)
{
	struct question *question = userdata;

	if (question->took_one) {
		give_up(question, true);
		return;
	}
	question->took_one = true;
	ask_again(question, SURE_MS);
}

static void on_data(void *userdata, const char *bytes, size_t size)
{
}

static void on_ended(void *userdata, int error)
{
	struct question *question = userdata;

	if (error == LP_ERROR_NOT_LISTENING)
		direct_ends_saw(question->ends, question->upstream,
				DIRECT_END_REFUSED);
	else
		ask_again(question, SILENT_MS);
}

static gboolean on_silent(gpointer userdata)
{
	struct question *question = userdata;

	question->timer = 0;
	ask_again(question, SILENT_MS);
	return G_SOURCE_REMOVE;
}

static void ask(struct question *question)
{
	static const struct http_sock_events events = {
		.connected = on_connected,
		.data = on_data,
		.ended = on_ended,
	};

	question->asked++;
	question->sock = http_sock_connect(question->upstream->entry.address,
					   &events, question);
	if (question->sock)
		question->timer =
			lp_timer_add(DIRECT_CONNECT_TIMEOUT_US / LP_US_PER_MS,
				     on_silent, question);
	else
		ask_again(question, SILENT_MS);
}

static void find_out(struct direct_ends *ends,
		     const struct pool_upstream *upstream)
{
	struct question *question = g_new0(struct question, 1);

	question->ends = ends;
	question->upstream = pool_hold((struct pool_upstream *)upstream);
	g_hash_table_replace(ends->questions, &question->upstream->life,
			     question);
	ask(question);
}

/* ---- losses ---- */

/* A newer life of it is known, so that this one is over. */
static bool is_superseded(const struct direct_ends *ends,
			  const struct pool_upstream *upstream)
{
	const struct pool_upstream *listed =
		pool_find(direct_of(ends)->pool, upstream->entry.id);

	return listed && listed != upstream;
}

void direct_ends_lost(struct direct_ends *ends,
		      const struct pool_upstream *upstream, struct loss loss)
{
	bool superseded = is_superseded(ends, upstream);

	loss.life = upstream->life;
	loss.lost_us = lp_now_us(direct_of(ends)->options.clock);
	losses_forget(ends->losses);
	if (pool_is_leaving(upstream) || (!upstream->listed && !superseded))
		return;
	switch (losses_add(ends->losses, &loss)) {
	case LOSSES_ENDED:
		log_lost(ends, upstream, &loss);
		ends->options.ended(ends->options.userdata, &loss, 1);
		return;
	case LOSSES_ASK:
		if (!superseded)
			find_out(ends, upstream);
		break;
	case LOSSES_WAIT:
		break;
	}
	if (superseded)
		direct_ends_saw(ends, upstream, DIRECT_END_RESTARTED);
}

struct direct_ends *
direct_ends_create(const struct direct_ends_options *options)
{
	struct direct_ends *ends = g_new0(struct direct_ends, 1);

	ends->options = *options;
	ends->losses = losses_create(options->direct->options.clock);
	ends->questions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, free_question);
	return ends;
}

void direct_ends_destroy(struct direct_ends *ends)
{
	g_hash_table_unref(ends->questions);
	losses_destroy(ends->losses);
	g_free(ends);
}
