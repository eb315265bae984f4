#include "tools/soak_evacuation.h"

#include <string.h>

/* An order is in force everywhere after this: the platform's bound and what a
 * service that was away may add. */
#define IN_FORCE_MS 11000
#define COLD_MS 3000

struct soak_evacuation {
	struct soak_evacuation_options options;
	GRand *random;
	const char *closed; /* domain, or NULL */
};

static void open_domain(struct soak_evacuation *evacuation)
{
	if (evacuation->closed)
		pe_take_back(evacuation->options.platform, evacuation->closed);
	evacuation->closed = NULL;
}

static void close_domain(struct soak_evacuation *evacuation, const char *domain)
{
	open_domain(evacuation);
	pe_evacuate(evacuation->options.platform, domain);
	evacuation->closed = domain;
}

void soak_evacuation_write_again(struct soak_evacuation *evacuation)
{
	static const char *const domains[] = { SOAK_DOMAIN, SOAK_OTHER_DOMAIN };

	if (!evacuation)
		return;
	for (guint i = 0; i < G_N_ELEMENTS(domains); i++) {
		struct pe *platform = evacuation->options.platform;

		if (!g_strcmp0(domains[i], evacuation->closed))
			pe_evacuate(platform, domains[i]);
		else
			pe_take_back(platform, domains[i]);
	}
}

static void set_cold(struct soak_evacuation *evacuation)
{
	const GPtrArray *upstreams = evacuation->options.upstreams;
	guint which = (guint)g_rand_int_range(evacuation->random, 0,
					      (gint32)upstreams->len);
	bool cold = g_rand_boolean(evacuation->random);

	pe_set_cold(g_ptr_array_index(upstreams, which), cold ? COLD_MS : 0);
}

void soak_evacuation_disturb(struct soak_evacuation *evacuation)
{
	if (!evacuation)
		return;
	switch (g_rand_int_range(evacuation->random, 0, 8)) {
	case 0:
		close_domain(evacuation, SOAK_DOMAIN);
		break;
	case 1:
		close_domain(evacuation, SOAK_OTHER_DOMAIN);
		break;
	case 2:
	case 3:
		open_domain(evacuation);
		break;
	case 4:
		set_cold(evacuation);
		break;
	default:
		break;
	}
}

/* Requests that began in a domain. Stage upstreams are also asked how much room
 * they have, which is no work: their calls count. */
static uint32_t work_in(const struct soak_evacuation *evacuation,
			const char *domain)
{
	const GPtrArray *upstreams = evacuation->options.upstreams;
	uint32_t sum = 0;

	for (guint i = 0; i < upstreams->len; i++) {
		const struct pe_upstream *upstream =
			g_ptr_array_index(upstreams, i);

		if (!strcmp(pe_domain(upstream), domain))
			sum += pe_is_stage(upstream) ? pe_calls(upstream)
						     : pe_arrivals(upstream);
	}
	return sum;
}

static gboolean on_waited(gpointer userdata)
{
	g_main_loop_quit(userdata);
	return G_SOURCE_REMOVE;
}

static void wait_until_in_force(void)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	g_timeout_add(IN_FORCE_MS, on_waited, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
}

static uint32_t work_while_asked(struct soak_evacuation *evacuation)
{
	uint32_t before;

	wait_until_in_force();
	before = work_in(evacuation, SOAK_DOMAIN);
	evacuation->options.ask(evacuation->options.userdata);
	return work_in(evacuation, SOAK_DOMAIN) - before;
}

void soak_evacuation_settle(struct soak_evacuation *evacuation)
{
	uint32_t work;

	if (!evacuation)
		return;
	for (guint i = 0; i < evacuation->options.upstreams->len; i++)
		pe_set_cold(g_ptr_array_index(evacuation->options.upstreams, i),
			    0);
	close_domain(evacuation, SOAK_DOMAIN);
	work = work_while_asked(evacuation);
	if (work)
		evacuation->options.breach(evacuation->options.userdata,
					   SOAK_DOMAIN,
					   "work in a closed domain");
	open_domain(evacuation);
	work = work_while_asked(evacuation);
	if (!work)
		evacuation->options.breach(evacuation->options.userdata,
					   SOAK_DOMAIN,
					   "no work in a domain that is open");
}

struct soak_evacuation *
soak_evacuation_create(const struct soak_evacuation_options *options)
{
	struct soak_evacuation *evacuation = g_new0(struct soak_evacuation, 1);

	evacuation->options = *options;
	evacuation->random = g_rand_new_with_seed(options->seed);
	return evacuation;
}

void soak_evacuation_destroy(struct soak_evacuation *evacuation)
{
	if (!evacuation)
		return;
	g_rand_free(evacuation->random);
	g_free(evacuation);
}
