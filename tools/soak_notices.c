#include "tools/soak_notices.h"

/* Requests a second that an upstream in need takes. */
#define LIMIT_MAX 6
/* An upstream that leaves starts again, and one that rests serves again, after
 * this. */
#define WORD_MS 3500
#define REST_MIN_MS 1000
#define REST_MAX_MS 3500
/* Of one entry: one that tells it, and two that the platform allows. */
#define EACH_MAX 3
/* Rounds of requests in which each upstream must get some work, ... */
#define ROUNDS_MAX 10
/* ... which lasts long enough that one alone does not do it all. */
#define LONG_WORK_MS 300
#define USUAL_WORK_MS 10

struct soak_notices {
	struct soak_notices_options options;
	GRand *random;
	GPtrArray *words; /* of struct word */
};

/* What an upstream says for a while. */
struct word {
	struct soak_notices *notices;
	struct pe_upstream *upstream;
	bool leaves; /* else it rests */
	guint timer;
};

static struct pe_upstream *draw_upstream(struct soak_notices *notices)
{
	const GPtrArray *upstreams = notices->options.upstreams;

	return g_ptr_array_index(
		upstreams,
		g_rand_int_range(notices->random, 0, (gint32)upstreams->len));
}

static void set_limit(struct soak_notices *notices)
{
	bool named = g_rand_int_range(notices->random, 0, 3) > 0;
	double per_s = g_rand_double_range(notices->random, 0, LIMIT_MAX);

	pe_set_limit(draw_upstream(notices), named ? per_s : -1);
}

/* ---- words that last a while ---- */

static void check_word(const struct word *word)
{
	const struct soak_notices_options *options = &word->notices->options;

	if (word->leaves && pe_late_arrivals(word->upstream))
		options->breach(options->userdata, pe_name(word->upstream),
				"said that it leaves, and got more");
	if (!word->leaves &&
	    pe_rest_arrivals(word->upstream) > EACH_MAX * options->entries)
		options->breach(options->userdata, pe_name(word->upstream),
				"asked for rest, and got more");
}

/* Checks it, and has the upstream serve as before. Takes it. */
static void end_word(struct word *word)
{
	const struct pe_restart_options how = { 0 };

	check_word(word);
	if (word->leaves)
		pe_restart(word->upstream, &how);
	else
		pe_set_rest(word->upstream, 0);
	if (word->timer)
		g_source_remove(word->timer);
	g_free(word);
}

static gboolean on_word_over(gpointer userdata)
{
	struct word *word = userdata;

	word->timer = 0;
	g_ptr_array_remove_fast(word->notices->words, word);
	end_word(word);
	return G_SOURCE_REMOVE;
}

static bool has_word(const struct soak_notices *notices,
		     const struct pe_upstream *upstream)
{
	for (guint i = 0; i < notices->words->len; i++) {
		const struct word *word = g_ptr_array_index(notices->words, i);

		if (word->upstream == upstream)
			return true;
	}
	return false;
}

static void begin_word(struct soak_notices *notices, bool leaves)
{
	struct pe_upstream *upstream = draw_upstream(notices);
	struct word *word;

	if (has_word(notices, upstream))
		return;
	word = g_new0(struct word, 1);
	word->notices = notices;
	word->upstream = upstream;
	word->leaves = leaves;
	word->timer = g_timeout_add(WORD_MS, on_word_over, word);
	g_ptr_array_add(notices->words, word);
	if (leaves)
		pe_say_leaving(upstream);
	else
		pe_set_rest(upstream,
			    (uint32_t)g_rand_int_range(
				    notices->random, REST_MIN_MS, REST_MAX_MS));
}

void soak_notices_disturb(struct soak_notices *notices)
{
	if (!notices)
		return;
	switch (g_rand_int_range(notices->random, 0, 6)) {
	case 0:
	case 1:
		set_limit(notices);
		break;
	case 2:
		begin_word(notices, true);
		break;
	case 3:
		begin_word(notices, false);
		break;
	default:
		break;
	}
}

void soak_notices_end(struct soak_notices *notices)
{
	const GPtrArray *upstreams;

	if (!notices)
		return;
	while (notices->words->len)
		end_word(g_ptr_array_steal_index_fast(notices->words, 0));
	upstreams = notices->options.upstreams;
	for (guint i = 0; i < upstreams->len; i++)
		pe_set_limit(g_ptr_array_index(upstreams, i), -1);
}

/* ---- work afterwards ---- */

static uint32_t work_of(const struct pe_upstream *upstream)
{
	return pe_is_stage(upstream) ? pe_calls(upstream)
				     : pe_arrivals(upstream);
}

/* Requests and calls that each has had. */
static GArray *count_work(const struct soak_notices *notices)
{
	const GPtrArray *upstreams = notices->options.upstreams;
	GArray *work = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (guint i = 0; i < upstreams->len; i++) {
		uint32_t count = work_of(g_ptr_array_index(upstreams, i));

		g_array_append_val(work, count);
	}
	return work;
}

/* One that has had nothing since then, or NULL. */
static const struct pe_upstream *find_unused(const struct soak_notices *notices,
					     const GArray *before)
{
	const GPtrArray *upstreams = notices->options.upstreams;

	for (guint i = 0; i < upstreams->len; i++) {
		const struct pe_upstream *upstream =
			g_ptr_array_index(upstreams, i);

		if (work_of(upstream) == g_array_index(before, uint32_t, i))
			return upstream;
	}
	return NULL;
}

static void set_work_ms(struct soak_notices *notices, uint32_t work_ms)
{
	const GPtrArray *upstreams = notices->options.upstreams;

	for (guint i = 0; i < upstreams->len; i++)
		pe_set_work_ms(g_ptr_array_index(upstreams, i), work_ms);
}

void soak_notices_settle(struct soak_notices *notices)
{
	const struct pe_upstream *unused;
	g_autoptr(GArray) before = NULL;

	if (!notices)
		return;
	set_work_ms(notices, LONG_WORK_MS);
	before = count_work(notices);
	unused = find_unused(notices, before);
	for (int i = 0; unused && i < ROUNDS_MAX; i++) {
		notices->options.ask(notices->options.userdata);
		unused = find_unused(notices, before);
	}
	set_work_ms(notices, USUAL_WORK_MS);
	if (unused)
		notices->options.breach(
			notices->options.userdata, pe_name(unused),
			"no work since it says nothing any more");
}

struct soak_notices *
soak_notices_create(const struct soak_notices_options *options)
{
	struct soak_notices *notices = g_new0(struct soak_notices, 1);

	notices->options = *options;
	notices->random = g_rand_new_with_seed(options->seed);
	notices->words = g_ptr_array_new();
	return notices;
}

void soak_notices_destroy(struct soak_notices *notices)
{
	if (!notices)
		return;
	g_rand_free(notices->random);
	g_ptr_array_unref(notices->words);
	g_free(notices);
}
