#include "tools/soak_slow.h"

#include <stdio.h>

/* One caller in so many reads slowly, one request in so many has a body. */
#define SLOW_SHARE 4
#define BODY_SHARE 3
#define BODY_BYTES 60000
/* Longer than the 3 s after which a silent peer is gone. */
#define PAUSE_MIN_MS 3500
#define PAUSE_MAX_MS 6000
/* Of an answer or event: an answer is larger than a caller's window. */
#define ANSWER_BYTES 120000
/* An upstream cuts off what is not taken by then. */
#define CUT_MS 8000
/* Served share of slow callers, in per cent of that of others; few of them say
 * nothing. */
#define SHARE_MIN_PERCENT 80
#define COUNT_MIN 20

struct count {
	uint32_t begun;
	uint32_t whole;
};

struct soak_slow {
	struct soak_slow_options options;
	GRand *random;
	struct count quick;
	struct count slow;
};

/* A third of the upstreams reads bodies slowly. */
static void set_paces(struct soak_slow *slow)
{
	const GPtrArray *upstreams = slow->options.upstreams;

	for (guint i = 0; i < upstreams->len; i++) {
		struct pe_upstream *upstream = g_ptr_array_index(upstreams, i);
		struct pe_pace pace = {
			.answer_bytes = ANSWER_BYTES,
			.cut_ms = CUT_MS,
		};

		if (pe_is_stage(upstream))
			continue;
		if (!g_rand_int_range(slow->random, 0, 3))
			pace.pause_ms = (uint32_t)g_rand_int_range(
				slow->random, PAUSE_MIN_MS, PAUSE_MAX_MS);
		pe_set_pace(upstream, &pace);
	}
}

struct soak_slow *soak_slow_create(const struct soak_slow_options *options)
{
	struct soak_slow *slow = g_new0(struct soak_slow, 1);

	slow->options = *options;
	slow->random = g_rand_new_with_seed(options->seed);
	set_paces(slow);
	return slow;
}

void soak_slow_destroy(struct soak_slow *slow)
{
	if (!slow)
		return;
	g_rand_free(slow->random);
	g_free(slow);
}

uint32_t soak_slow_answer_bytes(const struct soak_slow *slow)
{
	return slow ? ANSWER_BYTES : 0;
}

struct soak_slow_draw soak_slow_draw(struct soak_slow *slow)
{
	struct soak_slow_draw draw = { 0 };

	if (!slow)
		return draw;
	if (!g_rand_int_range(slow->random, 0, SLOW_SHARE))
		draw.pause_ms = (uint32_t)g_rand_int_range(
			slow->random, PAUSE_MIN_MS, PAUSE_MAX_MS);
	if (!g_rand_int_range(slow->random, 0, BODY_SHARE))
		draw.body_bytes = BODY_BYTES;
	return draw;
}

void soak_slow_add(struct soak_slow *slow, const char *id,
		   const struct soak_slow_draw *draw, bool is_whole)
{
	struct count *count;

	if (!slow)
		return;
	count = draw->pause_ms ? &slow->slow : &slow->quick;
	count->begun++;
	count->whole += is_whole;
	if (!slow->options.has_faults && !is_whole)
		slow->options.breach(slow->options.userdata, id,
				     "an answer that had begun was cut off");
}

static uint32_t whole_percent(const struct count *count)
{
	return count->begun ? 100 * count->whole / count->begun : 0;
}

void soak_slow_settle(struct soak_slow *slow)
{
	if (!slow)
		return;
	printf("whole answers: %u of %u slow callers, %u of %u others\n",
	       slow->slow.whole, slow->slow.begun, slow->quick.whole,
	       slow->quick.begun);
	if (slow->slow.begun >= COUNT_MIN &&
	    100 * whole_percent(&slow->slow) <
		    SHARE_MIN_PERCENT * whole_percent(&slow->quick))
		slow->options.breach(slow->options.userdata, "slow callers",
				     "their answers were cut off more often "
				     "than those of others");
}
