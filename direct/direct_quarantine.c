#include "direct/direct_quarantine.h"

#include "base/lp_digest.h"
#include "base/lp_timer.h"
#include "direct/direct_request.h"

/* A word about one request: what, request, life of the upstream, round, and
 * two times in us (an age, how long a run took or may take). */
#define KIND_WORDS 'W'
#define WORDS_TYPE "a(yttuxx)"
#define WORD_ENDED 'E'	/* life, round, age, ran */
#define WORD_SERVED 'S' /* age */
#define WORD_TRIES 'T'	/* us that its try may take yet; 0: over */
/* In a datagram, about 4 KB. */
#define WORDS_MAX 96
/* A word is sent so often, this long after each other: three that are lost are
 * one in 64,000 where one in 40 is. */
#define TELLS 3
#define TELL_MS 150
/* What is held against requests is told to one member more each time: it may
 * have heard nothing while it was cut off. */
#define REMIND_MS 2000
/* A loss is found out to be an end within some round trips. */
#define FIND_OUT_US (1 * LP_US_PER_S)
/* A run that lasts so many times the longest one to an end, and this beside it,
 * has outlived what ended those. */
#define OUTLIVES 2
#define OUTLIVES_US (1 * LP_US_PER_S)
/* What another entry can mean: a round more each minute for a week. */
#define ROUND_MAX 10000
#define AGE_MAX_US (INT64_C(24) * 3600 * LP_US_PER_S)

struct word {
	guint8 what;
	uint64_t request;
	uint64_t life;
	uint32_t round;
	int64_t at_us; /* what its age counts from, or when the try is over */
	int64_t ran_us;
	uint32_t tells; /* still to be made */
};

struct direct_quarantine {
	struct direct *direct;
	struct direct_peers *peers; /* NULL: nobody is told */
	struct quarantine *known;
	GArray *words; /* of struct word, to be told again */
	guint tell_timer;
	guint remind_timer;
	guint reminded; /* members, so far */
};

static struct word word_of_end(const struct quarantine_end *end)
{
	return (struct word){
		.what = WORD_ENDED,
		.request = end->request,
		.life = end->life,
		.round = end->round,
		.at_us = end->ended_us,
		.ran_us = end->ran_us,
	};
}

/* Of WORD_SERVED and WORD_TRIES. */
static struct word word_of_time(guint8 what, uint64_t request, int64_t at_us)
{
	return (struct word){
		.what = what,
		.request = request,
		.at_us = at_us,
	};
}

static int64_t now(const struct direct_quarantine *quarantine)
{
	return lp_now_us(quarantine->direct->options.clock);
}

/* ---- telling ---- */

static void add_word(GVariantBuilder *builder, const struct word *word,
		     int64_t now_us)
{
	int64_t time_us = word->what == WORD_TRIES ? word->at_us - now_us
						   : now_us - word->at_us;

	g_variant_builder_add(builder, "(yttuxx)", word->what,
			      (guint64)word->request, (guint64)word->life,
			      (guint32)word->round, (gint64)MAX(time_us, 0),
			      (gint64)word->ran_us);
}

static GVariant *write_words(const struct direct_quarantine *quarantine,
			     const struct word *words, guint count)
{
	GVariantBuilder builder;

	g_variant_builder_init(&builder, G_VARIANT_TYPE(WORDS_TYPE));
	for (guint i = 0; i < count; i++)
		add_word(&builder, &words[i], now(quarantine));
	return g_variant_builder_end(&builder);
}

/* To one member, or to all (0). */
static void send_words(struct direct_quarantine *quarantine, uint64_t peer,
		       const struct word *words, guint count)
{
	for (guint i = 0; i < count; i += WORDS_MAX) {
		g_autoptr(GVariant) body = g_variant_ref_sink(write_words(
			quarantine, words + i, MIN(count - i, WORDS_MAX)));

		if (peer)
			direct_peers_send(quarantine->peers, peer, KIND_WORDS,
					  body);
		else
			direct_peers_send_all(quarantine->peers, KIND_WORDS,
					      body);
	}
}

/* Returns whether there are words left. */
static bool tell_words(struct direct_quarantine *quarantine)
{
	GArray *words = quarantine->words;
	struct word *cells = (struct word *)words->data;

	send_words(quarantine, 0, cells, words->len);
	for (guint i = words->len; i-- > 0;)
		if (!--cells[i].tells)
			g_array_remove_index_fast(words, i);
	return words->len > 0;
}

static gboolean on_tell(gpointer userdata)
{
	struct direct_quarantine *quarantine = userdata;

	if (tell_words(quarantine))
		return G_SOURCE_CONTINUE;
	quarantine->tell_timer = 0;
	return G_SOURCE_REMOVE;
}

/* A newer word takes the place of an older one of the same matter. */
static void drop_older(GArray *words, const struct word *word)
{
	for (guint i = words->len; i-- > 0;) {
		const struct word *older =
			&g_array_index(words, struct word, i);

		if (older->what == word->what &&
		    older->request == word->request &&
		    older->life == word->life)
			g_array_remove_index_fast(words, i);
	}
}

static void tell(struct direct_quarantine *quarantine, struct word word)
{
	if (!quarantine->peers)
		return;
	word.tells = TELLS - 1;
	drop_older(quarantine->words, &word);
	send_words(quarantine, 0, &word, 1);
	g_array_append_val(quarantine->words, word);
	if (!quarantine->tell_timer)
		quarantine->tell_timer =
			lp_timer_add(TELL_MS, on_tell, quarantine);
}

/* ---- telling one member all ---- */

static void add_request(void *userdata, const struct quarantine_view *view)
{
	GArray *words = userdata;
	struct word word =
		word_of_time(WORD_SERVED, view->request, view->served_us);

	if (view->served_us)
		g_array_append_val(words, word);
	for (uint32_t i = 0; i < view->count; i++) {
		word = word_of_end(&view->ends[i]);
		g_array_append_val(words, word);
	}
}

static void add_suspect(void *userdata, const struct quarantine_view *view)
{
	if (view->count >= QUARANTINE_SUSPECT_ENDS)
		add_request(userdata, view);
}

static void on_met(void *userdata, uint64_t peer)
{
	struct direct_quarantine *quarantine = userdata;
	g_autoptr(GArray) words =
		g_array_new(FALSE, FALSE, sizeof(struct word));

	quarantine_each(quarantine->known, add_request, words);
	send_words(quarantine, peer, (struct word *)words->data, words->len);
}

static uint64_t next_member(struct direct_quarantine *quarantine)
{
	g_autoptr(GArray) members =
		g_array_new(FALSE, FALSE, sizeof(struct dispatchers_member));

	direct_peers_members(quarantine->peers, members);
	return g_array_index(members, struct dispatchers_member,
			     quarantine->reminded++ % members->len)
		.hash;
}

static gboolean on_remind(gpointer userdata)
{
	struct direct_quarantine *quarantine = userdata;
	g_autoptr(GArray) words =
		g_array_new(FALSE, FALSE, sizeof(struct word));

	quarantine_forget(quarantine->known);
	if (!quarantine->peers || quarantine_is_empty(quarantine->known))
		return G_SOURCE_CONTINUE;
	quarantine_each(quarantine->known, add_suspect, words);
	if (words->len)
		send_words(quarantine, next_member(quarantine),
			   (struct word *)words->data, words->len);
	return G_SOURCE_CONTINUE;
}

/* ---- what is held against a request ---- */

static void log_change(struct direct_quarantine *quarantine, uint64_t request,
		       const char *outcome, uint64_t peer)
{
	struct direct *direct = quarantine->direct;
	struct lp_event_log *log = direct->options.log;
	g_autofree char *label = g_strdup_printf("outcome=\"%s\"", outcome);
	struct quarantine_view view = { 0 };

	*direct_counter(direct, "linepier_quarantine_total", label) += 1;
	if (!lp_event_begin(log, "quarantine", NULL))
		return;
	quarantine_look(quarantine->known, request, &view);
	lp_event_digest(log, "content", request);
	lp_event_text(log, "outcome", outcome);
	lp_event_int(log, "ends", view.count);
	lp_event_int(log, "rounds", view.rounds);
	lp_event_int(log, "out_us",
		     MAX(view.out_until_us - now(quarantine), 0));
	lp_event_text(log, "peer",
		      peer ? direct_peers_ip(quarantine->peers, peer) : "");
	lp_event_end(log);
}

static const char *standing(const struct direct_quarantine *quarantine,
			    uint64_t request)
{
	struct quarantine_view view = { 0 };

	quarantine_look(quarantine->known, request, &view);
	if (view.out_until_us > now(quarantine))
		return "kept_out";
	return view.count >= QUARANTINE_SUSPECT_ENDS ? "one_at_a_time"
						     : "noted";
}

/* `peer`: who says so; 0: we saw it. Returns whether it is news. */
static bool note_end(struct direct_quarantine *quarantine,
		     const struct quarantine_end *end, uint64_t peer)
{
	if (!quarantine_ended(quarantine->known, end))
		return false;
	log_change(quarantine, end->request, standing(quarantine, end->request),
		   peer);
	return true;
}

static void note_served(struct direct_quarantine *quarantine, uint64_t request,
			int64_t served_us, uint64_t peer)
{
	if (quarantine_served(quarantine->known, request, served_us))
		log_change(quarantine, request, "cleared", peer);
}

/* Here and at the others: it is tried until then; not any more, if that is now.
 */
static void set_try(struct direct_quarantine *quarantine, uint64_t request,
		    int64_t until_us)
{
	quarantine_trying(quarantine->known, request, until_us);
	tell(quarantine, word_of_time(WORD_TRIES, request, until_us));
}

/* Whoever tried it has an answer to what became of it. */
static void free_try(struct direct_quarantine *quarantine, uint64_t request)
{
	int64_t now_us = now(quarantine);
	struct quarantine_view view;

	if (quarantine_look(quarantine->known, request, &view) &&
	    view.try_until_us > now_us)
		set_try(quarantine, request, now_us);
}

/* What was until now is cleared, here and at the others. */
static void clear_now(struct direct_quarantine *quarantine, uint64_t request)
{
	int64_t now_us = now(quarantine);

	note_served(quarantine, request, now_us, 0);
	tell(quarantine, word_of_time(WORD_SERVED, request, now_us));
}

static void tell_kept_out(struct direct_quarantine *quarantine,
			  uint64_t request)
{
	const struct direct_options *options = &quarantine->direct->options;
	struct quarantine_view view = { 0 };

	quarantine_look(quarantine->known, request, &view);
	if (view.out_until_us > now(quarantine) && options->kept_out)
		options->kept_out(options->userdata, request);
}

void direct_quarantine_ended(struct direct_quarantine *quarantine,
			     const struct loss *lost, guint count)
{
	for (guint i = 0; i < count; i++) {
		const struct quarantine_end end = {
			.request = lost[i].request,
			.life = lost[i].life,
			.round = lost[i].round,
			.ended_us = lost[i].lost_us,
			.ran_us = MAX(lost[i].lost_us - lost[i].began_us, 0),
		};

		if (note_end(quarantine, &end, 0))
			tell(quarantine, word_of_end(&end));
		tell_kept_out(quarantine, end.request);
		/* A run of a later round can only have been a try. */
		if (end.round > 1)
			free_try(quarantine, end.request);
	}
}

/* ---- hearing ---- */

static void take_word(struct direct_quarantine *quarantine, uint64_t peer,
		      const struct word *word, int64_t time_us)
{
	int64_t now_us = now(quarantine);
	const struct quarantine_end end = {
		.request = word->request,
		.life = word->life,
		.round = MIN(word->round, ROUND_MAX),
		.ended_us = now_us - time_us,
		.ran_us = CLAMP(word->ran_us, 0, AGE_MAX_US),
	};

	switch (word->what) {
	case WORD_ENDED:
		note_end(quarantine, &end, peer);
		break;
	case WORD_SERVED:
		note_served(quarantine, word->request, end.ended_us, peer);
		break;
	case WORD_TRIES:
		quarantine_trying(quarantine->known, word->request,
				  now_us + time_us);
		break;
	default: /* of a newer entry */
		break;
	}
}

static void on_words(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_quarantine *quarantine = userdata;
	struct word word = { 0 };
	GVariantIter iter;
	guint64 request;
	guint64 life;
	gint64 time_us;
	gint64 ran_us;

	g_variant_iter_init(&iter, body);
	while (g_variant_iter_next(&iter, "(yttuxx)", &word.what, &request,
				   &life, &word.round, &time_us, &ran_us)) {
		word.request = request;
		word.life = life;
		word.ran_us = ran_us;
		take_word(quarantine, peer, &word,
			  CLAMP(time_us, 0, AGE_MAX_US));
	}
}

/* ---- a request's way ---- */

static void log_refusal(struct direct_quarantine *quarantine,
			struct direct_request *request, int64_t wait_us)
{
	struct lp_event_log *log = quarantine->direct->options.log;

	*direct_counter(quarantine->direct, "linepier_quarantine_total",
			"outcome=\"refused\"") += 1;
	if (!lp_event_begin(log, "quarantine", request->id))
		return;
	lp_event_digest(log, "content", direct_request_digest(request));
	lp_event_text(log, "outcome", "refused");
	lp_event_int(log, "wait_us", wait_us);
	lp_event_end(log);
}

bool direct_quarantine_passes(struct direct_quarantine *quarantine,
			      struct direct_request *request, int64_t *wait_us)
{
	uint64_t digest;

	if (request->is_try || quarantine_is_empty(quarantine->known))
		return true;
	digest = direct_request_digest(request);
	if (request->was_try) {
		*wait_us = FIND_OUT_US;
		log_refusal(quarantine, request, *wait_us);
		return false;
	}
	switch (quarantine_ask(quarantine->known, digest, request->give_up_us,
			       wait_us)) {
	case QUARANTINE_PASS:
		return true;
	case QUARANTINE_TRY:
		request->is_try = true;
		request->was_try = true;
		log_change(quarantine, digest, "tried", 0);
		set_try(quarantine, digest, request->give_up_us);
		return true;
	case QUARANTINE_REFUSE:
		break;
	}
	log_refusal(quarantine, request, *wait_us);
	return false;
}

uint32_t direct_quarantine_round(const struct direct_quarantine *quarantine,
				 struct direct_request *request)
{
	if (quarantine_is_empty(quarantine->known))
		return 1;
	return quarantine_round(quarantine->known,
				direct_request_digest(request));
}

void direct_quarantine_served(struct direct_quarantine *quarantine,
			      struct direct_request *request)
{
	struct quarantine_view view;
	uint64_t digest;

	if (quarantine_is_empty(quarantine->known))
		return;
	digest = direct_request_digest(request);
	request->is_try = false;
	if (!quarantine_look(quarantine->known, digest, &view) || !view.count)
		return;
	clear_now(quarantine, digest);
	set_try(quarantine, digest, now(quarantine));
}

void direct_quarantine_goes_on(struct direct_quarantine *quarantine,
			       struct direct_request *request)
{
	struct quarantine_view view;
	int64_t ran_us = now(quarantine) - request->sent_us;

	if (!request->is_try ||
	    !quarantine_look(quarantine->known, direct_request_digest(request),
			     &view))
		return;
	if (ran_us > OUTLIVES * view.ran_us + OUTLIVES_US)
		direct_quarantine_served(quarantine, request);
}

static void end_try(struct direct_quarantine *quarantine,
		    struct direct_request *request, int64_t until_us)
{
	if (!request->is_try)
		return;
	request->is_try = false;
	set_try(quarantine, direct_request_digest(request), until_us);
}

void direct_quarantine_lost(struct direct_quarantine *quarantine,
			    struct direct_request *request)
{
	end_try(quarantine, request, now(quarantine) + FIND_OUT_US);
}

void direct_quarantine_over(struct direct_quarantine *quarantine,
			    struct direct_request *request)
{
	end_try(quarantine, request, now(quarantine));
}

/* ---- what is written down ---- */

bool direct_quarantine_look(const struct direct_quarantine *quarantine,
			    uint64_t request, struct quarantine_view *out)
{
	return quarantine_look(quarantine->known, request, out);
}

/* Those that are met are told all that is known, this with it. */
void direct_quarantine_offer(struct direct_quarantine *quarantine,
			     const struct quarantine_end *end)
{
	note_end(quarantine, end, 0);
}

/* ---- operators ---- */

void direct_quarantine_turn(struct direct_quarantine *quarantine, bool on)
{
	quarantine_turn(quarantine->known, on);
}

void direct_quarantine_let_in(struct direct_quarantine *quarantine,
			      uint64_t request)
{
	clear_now(quarantine, request);
}

struct printing {
	const struct direct_quarantine *quarantine;
	GString *out;
};

static void print_end(const struct direct_quarantine *quarantine,
		      const struct quarantine_end *end, GString *out)
{
	char life[LP_DIGEST_SIZE];

	lp_digest_print(end->life, life);
	g_string_append_printf(out,
			       "{\"life\":\"%s\",\"round\":%u,"
			       "\"age_us\":%" G_GINT64_FORMAT
			       ",\"ran_us\":%" G_GINT64_FORMAT "}",
			       life, end->round,
			       (gint64)(now(quarantine) - end->ended_us),
			       (gint64)end->ran_us);
}

static void print_request(void *userdata, const struct quarantine_view *view)
{
	const struct printing *printing = userdata;
	const struct direct_quarantine *quarantine = printing->quarantine;
	char content[LP_DIGEST_SIZE];

	if (!view->count)
		return;
	lp_digest_print(view->request, content);
	g_string_append_printf(
		printing->out,
		"{\"content\":\"%s\",\"standing\":"
		"\"%s\",\"rounds\":%u,\"out_us\":%" G_GINT64_FORMAT
		",\"ends\":[",
		content, standing(quarantine, view->request), view->rounds,
		(gint64)MAX(view->out_until_us - now(quarantine), 0));
	for (uint32_t i = 0; i < view->count; i++) {
		if (i)
			g_string_append_c(printing->out, ',');
		print_end(quarantine, &view->ends[i], printing->out);
	}
	g_string_append(printing->out, "]}\n");
}

void direct_quarantine_print(const struct direct_quarantine *quarantine,
			     GString *out)
{
	struct printing printing = { quarantine, out };

	quarantine_each(quarantine->known, print_request, &printing);
}

struct counting {
	int64_t now_us;
	uint32_t out;
};

static void count_out(void *userdata, const struct quarantine_view *view)
{
	struct counting *counting = userdata;

	if (view->out_until_us > counting->now_us)
		counting->out++;
}

uint32_t direct_quarantine_count(const struct direct_quarantine *quarantine)
{
	struct counting counting = { .now_us = now(quarantine) };

	quarantine_each(quarantine->known, count_out, &counting);
	return counting.out;
}

/* ---- start and end ---- */

void direct_quarantine_set_peers(struct direct_quarantine *quarantine,
				 struct direct_peers *peers)
{
	quarantine->peers = peers;
	if (!peers)
		return;
	direct_peers_listen(peers, KIND_WORDS, WORDS_TYPE, on_words,
			    quarantine);
	direct_peers_on_discovered(peers, on_met, quarantine);
}

struct direct_quarantine *direct_quarantine_create(struct direct *direct)
{
	struct direct_quarantine *quarantine =
		g_new0(struct direct_quarantine, 1);

	quarantine->direct = direct;
	quarantine->known = quarantine_create(direct->options.clock);
	quarantine->words = g_array_new(FALSE, FALSE, sizeof(struct word));
	quarantine->remind_timer =
		lp_timer_add(REMIND_MS, on_remind, quarantine);
	return quarantine;
}

void direct_quarantine_destroy(struct direct_quarantine *quarantine)
{
	direct_clear_timer(&quarantine->tell_timer);
	direct_clear_timer(&quarantine->remind_timer);
	g_array_unref(quarantine->words);
	quarantine_destroy(quarantine->known);
	g_free(quarantine);
}
