#include "tools/soak_notices.h"

/* Requests a second that an upstream in need takes. */
#define LIMIT_MAX 6
/* Rounds of requests in which each upstream must get some work, ... */
#define ROUNDS_MAX 10
/* ... which lasts long enough that one alone does not do it all. */
#define LONG_WORK_MS 300
#define USUAL_WORK_MS 10

struct soak_notices {
	struct soak_notices_options options;
	GRand *random;
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

void soak_notices_disturb(struct soak_notices *notices)
{
	if (notices && g_rand_boolean(notices->random))
		set_limit(notices);
}

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
	const GPtrArray *upstreams;
	const struct pe_upstream *unused;
	g_autoptr(GArray) before = NULL;

	if (!notices)
		return;
	upstreams = notices->options.upstreams;
	for (guint i = 0; i < upstreams->len; i++)
		pe_set_limit(g_ptr_array_index(upstreams, i), -1);
	set_work_ms(notices, LONG_WORK_MS);
	before = count_work(notices);
	unused = find_unused(notices, before);
	for (int i = 0; unused && i < ROUNDS_MAX; i++) {
		notices->options.ask(notices->options.userdata);
		unused = find_unused(notices, before);
	}
	set_work_ms(notices, USUAL_WORK_MS);
	if (unused)
		notices->options.breach(notices->options.userdata,
					pe_name(unused),
					"no work since its limit has ended");
}

struct soak_notices *
soak_notices_create(const struct soak_notices_options *options)
{
	struct soak_notices *notices = g_new0(struct soak_notices, 1);

	notices->options = *options;
	notices->random = g_rand_new_with_seed(options->seed);
	return notices;
}

void soak_notices_destroy(struct soak_notices *notices)
{
	if (!notices)
		return;
	g_rand_free(notices->random);
	g_free(notices);
}
