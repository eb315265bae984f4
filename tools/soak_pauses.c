#include "tools/soak_pauses.h"

#include <stdio.h>

#define DISTURB_MS 300
/* A stream of the emulated platform is moved after 600 ms without an event, an
 * answer that has not begun after 600 ms or half of its time. */
#define PAUSE_MIN_MS 100
#define PAUSE_MAX_MS 1100
#define PAUSES_MAX 2
#define EVENTS_MAX 4
/* One upstream in so many works without a pause, in a draw. */
#define QUICK_SHARE 3
#define QUICK_MS 10
/* An entry is told to end, or started again, in one draw in so many. */
#define TOGGLE_SHARE 3
/* Answers below which a run shows nothing. */
#define COUNT_MIN 20

struct soak_pauses {
	struct soak_pauses_options options;
	GRand *random;
	guint timer;
	bool spends_budget;
	uint32_t toggles;
	uint32_t whole;
	uint32_t lost;
};

static uint32_t draw(struct soak_pauses *pauses, int from, int to)
{
	return (uint32_t)g_rand_int_range(pauses->random, from, to + 1);
}

static void draw_pause(struct soak_pauses *pauses, struct pe_upstream *upstream)
{
	bool is_quick = !draw(pauses, 0, QUICK_SHARE - 1);
	uint32_t pause_ms = draw(pauses, PAUSE_MIN_MS, PAUSE_MAX_MS);
	struct pe_pauses of_streams = {
		.pause_ms = pause_ms,
		.count = is_quick ? 0 : draw(pauses, 1, PAUSES_MAX),
		.events = draw(pauses, 1, EVENTS_MAX),
	};

	if (pe_is_stage(upstream))
		return;
	pe_set_pauses(upstream, &of_streams);
	if (pe_is_of(upstream, "plain"))
		pe_set_work_ms(upstream, is_quick ? QUICK_MS : pause_ms);
}

static gboolean on_timer(gpointer userdata)
{
	struct soak_pauses *pauses = userdata;
	const GPtrArray *upstreams = pauses->options.upstreams;

	draw_pause(pauses,
		   g_ptr_array_index(upstreams,
				     draw(pauses, 0, (int)upstreams->len - 1)));
	if (pauses->options.has_faults || draw(pauses, 0, TOGGLE_SHARE - 1))
		return G_SOURCE_CONTINUE;
	pauses->toggles++;
	pauses->options.toggle_entry(
		pauses->options.userdata,
		draw(pauses, 0, (int)pauses->options.entries - 1));
	return G_SOURCE_CONTINUE;
}

struct soak_pauses *
soak_pauses_create(const struct soak_pauses_options *options)
{
	struct soak_pauses *pauses = g_new0(struct soak_pauses, 1);

	pauses->options = *options;
	pauses->random = g_rand_new_with_seed(options->seed);
	pauses->spends_budget = draw(pauses, 0, 1);
	for (guint i = 0; i < options->upstreams->len; i++)
		draw_pause(pauses, g_ptr_array_index(options->upstreams, i));
	return pauses;
}

void soak_pauses_begin(struct soak_pauses *pauses)
{
	if (pauses)
		pauses->timer = g_timeout_add(DISTURB_MS, on_timer, pauses);
}

void soak_pauses_end(struct soak_pauses *pauses)
{
	if (pauses && pauses->timer)
		g_source_remove(pauses->timer);
	if (pauses)
		pauses->timer = 0;
}

void soak_pauses_destroy(struct soak_pauses *pauses)
{
	if (!pauses)
		return;
	soak_pauses_end(pauses);
	g_rand_free(pauses->random);
	g_free(pauses);
}

bool soak_pauses_spend_budget(const struct soak_pauses *pauses)
{
	return pauses && pauses->spends_budget;
}

void soak_pauses_judge(struct soak_pauses *pauses,
		       const struct soak_pauses_outcome *outcome)
{
	if (!pauses || pauses->options.has_faults)
		return;
	if (outcome->is_whole) {
		pauses->whole++;
		return;
	}
	if (outcome->is_refused || outcome->status == 503 || outcome->is_due)
		return;
	pauses->lost++;
	pauses->options.breach(pauses->options.userdata, outcome->id,
			       "an answer of a sound upstream was lost");
}

void soak_pauses_settle(struct soak_pauses *pauses)
{
	if (!pauses)
		return;
	printf("upstreams that pause, budget %s: %u whole answers, %u lost, "
	       "entries told to end or started %u times\n",
	       pauses->spends_budget ? "spent" : "not spent", pauses->whole,
	       pauses->lost, pauses->toggles);
	if (!pauses->options.has_faults && pauses->whole < COUNT_MIN)
		pauses->options.breach(pauses->options.userdata, "the run",
				       "too few answers to show anything");
}
