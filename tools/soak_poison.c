#include "tools/soak_poison.h"

#include <stdio.h>

/* One request in so many. */
#define SHARE 12
/* Arrivals of a request later than three seconds after its third end. */
#define LATE_MAX 3

/* Parts under which engines crash: the first one, or the second. */
static const char *const bad_parts[] = { "bad0", "bad1", NULL };
#define SOUND_PARTS 5

static const char *const contents[] = { "crash one", "crash two",
					"crash three" };

struct soak_poison {
	struct soak_poison_options options;
	GRand *random;
	uint32_t excuses;
};

struct soak_poison *
soak_poison_create(const struct soak_poison_options *options)
{
	struct soak_poison *poison = g_new0(struct soak_poison, 1);
	struct pe_poison_options how = { .content = "crash",
					 .parts = bad_parts };

	poison->options = *options;
	poison->random = g_rand_new_with_seed(options->seed);
	how.after_ms = (uint32_t)g_rand_int_range(poison->random, 0, 30);
	how.after_event = g_rand_boolean(poison->random) ? 3 : 0;
	how.end.away_ms = g_rand_int_range(poison->random, 50, 800);
	how.end.told_ms = g_rand_int_range(poison->random, 100, 500);
	how.end.new_id = g_rand_boolean(poison->random);
	pe_poison(options->platform, &how);
	return poison;
}

void soak_poison_destroy(struct soak_poison *poison)
{
	if (!poison)
		return;
	g_rand_free(poison->random);
	g_free(poison);
}

const char *soak_poison_draw(struct soak_poison *poison)
{
	if (!poison || g_rand_int_range(poison->random, 0, SHARE))
		return NULL;
	return contents[g_rand_int_range(poison->random, 0,
					 G_N_ELEMENTS(contents))];
}

char *soak_poison_draw_prompt(struct soak_poison *poison, const char *id)
{
	int bad;
	int first;
	int second;

	if (!poison)
		return NULL;
	bad = g_rand_int_range(poison->random, 0, 2 * SHARE);
	first = g_rand_int_range(poison->random, 0, SOUND_PARTS);
	second = g_rand_int_range(poison->random, 0, SOUND_PARTS);
	if (bad == 0)
		return g_strdup_printf("%s:100,a%d:50,%s:20", bad_parts[0],
				       second, id);
	if (bad == 1)
		return g_strdup_printf("f%d:100,%s:50,%s:20", first,
				       bad_parts[1], id);
	return g_strdup_printf("f%d:100,a%d:50,%s:20", first, second, id);
}

void soak_poison_excuse(struct soak_poison *poison)
{
	if (poison)
		poison->excuses++;
}

void soak_poison_settle(struct soak_poison *poison)
{
	struct pe_poison_book worst;

	if (!poison)
		return;
	pe_poison_seen(poison->options.platform, &worst);
	printf("poison: %u ends, %u arrivals, %u after the third end, %u late, "
	       "%u entries killed or stopped\n",
	       worst.ends, worst.arrivals, worst.arrivals_after,
	       worst.arrivals_late, poison->excuses);
	if (worst.arrivals_late > LATE_MAX + poison->excuses / 2)
		poison->options.breach(
			poison->options.userdata, "poison",
			"a request, or part of a prompt, that crashes its "
			"upstreams reached too many");
}
