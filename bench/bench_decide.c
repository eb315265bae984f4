/* decide: processor time of one routing and one admission decision, and of the
 * decisions about streams' versions. */
#include "base/lp_id.h"
#include "bench/bench.h"
#include "policy/queue.h"
#include "policy/route.h"
#include "policy/stream_origins.h"
#include "policy/version_history.h"
#include "policy/worker.h"

#include <stdio.h>
#include <time.h>

#define PICKS 400000
#define CALLS 200000
#define STREAMS 20000
#define LISTS 500
/* Services of a large deployment, each with a release under way. */
#define SERVICES 20

static double cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * LP_US_PER_S + (double)now.tv_nsec / 1000.0;
}

static double route_cost_us(uint32_t upstreams, bool affinity)
{
	const struct route_options options = {
		.clock = lp_clock_boot(),
		.domain = "d0",
		.seed = 1,
	};
	struct route *route = route_create(&options);
	struct route_query query = { 0 };
	double start_us;

	for (uint32_t i = 0; i < upstreams; i++) {
		g_autofree char *name = g_strdup_printf("u%u", i);
		const char *domain = i % 3 ? (i % 3 == 1 ? "d1" : "d2") : "d0";
		const struct route_report word = {
			.incarnation = 1,
			.agent_time_us = 1,
			.limit = 8,
			.run_us = 5000 + i,
		};

		route_apply_report(
			route, route_find_or_add(route, name, domain), &word);
	}
	start_us = cpu_us();
	for (uint32_t i = 0; i < PICKS; i++) {
		struct route_upstream *upstream;

		if (affinity)
			query.affinity = lp_hash_pair(i % 1000, 1);
		upstream = route_pick(route, &query);
		route_call_sent(route, upstream);
		route_call_ended(route, upstream, false);
	}
	start_us = cpu_us() - start_us;
	route_destroy(route);
	return start_us / PICKS;
}

/* ---- admission ---- */

struct bed {
	GQueue running;
};

static void on_start(void *userdata, struct worker_call *call)
{
	g_queue_push_tail(&((struct bed *)userdata)->running, call);
}

static void on_cancel(void *userdata, struct worker_call *call)
{
}

static void on_reply(void *userdata, const struct worker_call *call)
{
}

static void on_refuse(void *userdata, const char *peer,
		      const struct lp_call_id *id,
		      const struct worker_result *result)
{
}

static void on_state(void *userdata, const char *peer,
		     const struct lp_call_id *id, enum worker_state state)
{
}

static void on_free(void *payload)
{
}

static const struct worker_ops ops = { on_start,  on_cancel, on_reply,
				       on_refuse, on_state,  on_free };

static int64_t fake_now_us;

static int64_t read_clock(void *userdata)
{
	return fake_now_us;
}

/* Offer, start, finish and forget one call, with a queue that stays full. */
static double admit_cost_us(uint32_t organisations)
{
	const struct lp_clock clock = { read_clock, NULL };
	struct bed bed = { G_QUEUE_INIT };
	const struct worker_options options = {
		.clock = &clock,
		.ops = &ops,
		.userdata = &bed,
		.incarnation = 1,
		.concurrency = 8,
		.queue_max = 2000,
	};
	struct worker *worker = worker_create(&options);
	g_auto(GStrv) names = g_new0(char *, organisations + 1);
	double start_us;

	for (uint32_t i = 0; i < organisations; i++)
		names[i] = g_strdup_printf("organisation-%u", i);
	start_us = cpu_us();
	for (uint32_t i = 0; i < CALLS; i++) {
		const struct worker_submit offer = {
			.id = { 1, i + 1, 0, 1 },
			.peer = "entry",
			.organisation = names[i % organisations],
			.weight = 1 + i % 4,
			.incarnation = 1,
			.echo_us = fake_now_us,
			.left_us = 60 * LP_US_PER_S,
		};
		const struct worker_result result = { .run = LP_RUN_RAN };

		fake_now_us += 25;
		worker_submit(worker, &offer);
		if (i > 1000)
			worker_finished(worker, g_queue_pop_head(&bed.running),
					&result);
		if (i % 1000 == 0)
			worker_tick(worker);
	}
	start_us = cpu_us() - start_us;
	g_queue_clear(&bed.running);
	worker_destroy(worker);
	return start_us / CALLS;
}

/* The replicas of one stream's record, among so many entries. */
static double replicas_cost_us(uint32_t count)
{
	g_autofree uint64_t *entries = g_new(uint64_t, count);
	uint64_t chosen[STREAM_ORIGINS_REPLICAS];
	double start_us;

	for (uint32_t i = 0; i < count; i++)
		entries[i] = lp_hash_pair(i, 1);
	start_us = cpu_us();
	for (uint32_t i = 0; i < STREAMS; i++)
		stream_origins_choose(lp_hash_pair(i, 2), entries, count,
				      STREAM_ORIGINS_REPLICAS, chosen);
	return (cpu_us() - start_us) / STREAMS;
}

/* One list of so many upstreams, added to the history of versions. */
static double history_cost_us(uint32_t count)
{
	struct version_history *history = version_history_create();
	double start_us = cpu_us();

	for (uint32_t list = 1; list <= LISTS; list++) {
		version_history_begin_list(history, list);
		for (uint32_t i = 0; i < count; i++)
			version_history_add(history, i % SERVICES,
					    1 + i % (2 * SERVICES));
	}
	start_us = cpu_us() - start_us;
	version_history_destroy(history);
	return start_us / LISTS;
}

static void print_stream_costs(void)
{
	static const uint32_t counts[] = { 5, 100, 385, 1400 };

	printf("%10s %14s %12s\n", "n", "replicas_us", "history_us");
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		printf("%10u %14.3f %12.3f\n", counts[i],
		       replicas_cost_us(counts[i]), history_cost_us(counts[i]));
}

int bench_decide(const struct bench_settings *settings)
{
	static const uint32_t upstreams[] = { 10, 100, 256 };
	static const uint32_t organisations[] = { 5, 100, 840 };
	double route_us[G_N_ELEMENTS(upstreams)];
	double admit_us[G_N_ELEMENTS(organisations)];

	printf("%10s %12s %14s\n", "upstreams", "route_us", "affinity_us");
	for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
		route_us[i] = route_cost_us(upstreams[i], false);
		printf("%10u %12.3f %14.3f\n", upstreams[i], route_us[i],
		       route_cost_us(upstreams[i], true));
	}
	printf("%14s %12s\n", "organisations", "admit_us");
	for (size_t i = 0; i < G_N_ELEMENTS(organisations); i++) {
		admit_us[i] = admit_cost_us(organisations[i]);
		printf("%14u %12.3f\n", organisations[i], admit_us[i]);
	}
	print_stream_costs();
	printf("decide route_us=%.3f route_growth=%.2f admit_us=%.3f "
	       "admit_growth=%.2f\n",
	       route_us[2], route_us[2] / route_us[0], admit_us[2],
	       admit_us[2] / admit_us[0]);
	return 0;
}
