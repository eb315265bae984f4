/* claims: KV writes a claim and added latency, grouped and one by one. */
#include "bench/bench.h"
#include "policy/claim.h"
#include "store/store_etcd.h"

#include <stdio.h>
#include <string.h>

#define SECONDS 4
#define CLAIM_TIMEOUT_US (30 * LP_US_PER_S)
#define TICK_MS 1
#define KV_CALLS_PER_S 100000.0
#define KV_DELAY_MS 3 /* the platform answers in milliseconds */

struct run {
	struct store_kv *kv;
	struct claims *claims;
	GMainLoop *loop;
	char **keys;
	uint32_t idempotency_record_count;
	uint32_t rate;
	uint32_t sent;
	uint32_t settled;
	uint32_t failed;
	uint32_t total;
	int64_t start_us;
	int64_t *sent_us;
	double *took_us;
};

static void on_txn(void *userdata, const struct store_answer *answer)
{
	struct run *run = userdata;

	claims_write_done(run->claims, answer->error, answer->succeeded, NULL,
			  0);
}

static void write_claims(void *userdata, const struct claim_item *items,
			 uint32_t count)
{
	struct run *run = userdata;
	g_autofree struct store_compare *compares =
		g_new0(struct store_compare, count);
	g_autofree struct store_put *puts = g_new0(struct store_put, count);

	for (uint32_t i = 0; i < count; i++) {
		compares[i].key = items[i].key;
		puts[i].key = items[i].key;
		puts[i].value = items[i].owner;
	}
	const struct store_txn txn = {
		.compares = compares,
		.compares_count = count,
		.puts = puts,
		.puts_count = count,
	};
	run->kv->ops->txn(run->kv, "claim", &txn, on_txn, run);
}

static void on_settled(void *userdata, void *waiter, int error,
		       const char *owner)
{
	struct run *run = userdata;
	uint32_t index = GPOINTER_TO_UINT(waiter) - 1;

	run->failed += error != LP_OK;
	run->took_us[index] =
		(double)(g_get_monotonic_time() - run->sent_us[index]);
	run->settled += 1;
	if (run->settled == run->total)
		g_main_loop_quit(run->loop);
}

static const struct claims_ops ops = { write_claims, on_settled };

static gboolean on_tick(gpointer data)
{
	struct run *run = data;
	int64_t now_us = g_get_monotonic_time();

	while (run->sent < run->total &&
	       run->start_us + run->sent * LP_US_PER_S / run->rate <= now_us) {
		g_autofree char *key = g_strdup_printf(
			"k-%" G_GINT64_FORMAT "-%u", run->start_us, run->sent);

		run->sent_us[run->sent] = now_us;
		run->sent += 1;
		claims_add(run->claims, key, "bench", now_us + CLAIM_TIMEOUT_US,
			   GUINT_TO_POINTER(run->sent));
	}
	claims_tick(run->claims);
	return G_SOURCE_CONTINUE;
}

struct point {
	double writes_per_claim;
	double p50_ms;
	double p99_ms;
};

static struct point run_at(struct store_kv *kv, uint32_t rate, bool naive)
{
	struct run run = {
		.kv = kv,
		.loop = g_main_loop_new(NULL, FALSE),
		.rate = rate,
		.total = MAX(10, rate * SECONDS),
	};
	const struct claims_options options = {
		.clock = lp_clock_boot(),
		.ops = &ops,
		.userdata = &run,
		.naive = naive,
	};
	struct point point;
	guint timer;

	if (rate == 1)
		run.rate = 5; /* still alone in its write; a shorter run */
	run.claims = claims_create(&options);
	run.sent_us = g_new0(int64_t, run.total);
	run.took_us = g_new0(double, run.total);
	run.start_us = g_get_monotonic_time();
	timer = g_timeout_add(TICK_MS, on_tick, &run);
	g_main_loop_run(run.loop);
	g_source_remove(timer);
	point.writes_per_claim = (double)claims_writes(run.claims) / run.total;
	point.p50_ms = bench_median(run.took_us, run.total) / LP_US_PER_MS;
	point.p99_ms = run.took_us[(uint32_t)(run.total * 0.99)] / LP_US_PER_MS;
	claims_destroy(run.claims);
	g_main_loop_unref(run.loop);
	g_free(run.sent_us);
	g_free(run.took_us);
	return point;
}

int bench_claims(const struct bench_settings *settings)
{
	static const uint32_t rates[] = { 1, 10, 100, 1000 };
	const struct bench_fleet_options fleet_options = {
		.entries = 1,
		.scale_percent = 1,
		.proxied = true,
	};
	struct bench_fleet *fleet =
		bench_fleet_create(settings, &fleet_options);
	struct lp_counters *counters = lp_counters_create();
	const struct store_etcd_options kv_options = {
		.url = fleet_kv_url(fleet->fleet),
		.clock = lp_clock_boot(),
		.counters = counters,
		.calls_per_s = KV_CALLS_PER_S,
		.burst = KV_CALLS_PER_S,
	};
	struct store_kv *kv = store_etcd_create(&kv_options);
	struct point last[2] = { { 0 } };

	fleet_fault(fleet->fleet, "kv", "pass", KV_DELAY_MS, NULL);
	printf("%8s %-8s %14s %8s %8s\n", "claims/s", "writes", "writes/claim",
	       "p50_ms", "p99_ms");
	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		for (int naive = 0; naive < 2; naive++) {
			last[naive] = run_at(kv, rates[i], naive);
			printf("%8u %-8s %14.3f %8.1f %8.1f\n", rates[i],
			       naive ? "one each" : "grouped",
			       last[naive].writes_per_claim, last[naive].p50_ms,
			       last[naive].p99_ms);
		}
	}
	printf("claims rate=1000 writes_per_claim=%.3f "
	       "writes_per_claim_naive=%.3f p50_ms=%.1f p50_ms_naive=%.1f\n",
	       last[0].writes_per_claim, last[1].writes_per_claim,
	       last[0].p50_ms, last[1].p50_ms);
	store_kv_destroy(kv);
	lp_counters_destroy(counters);
	bench_fleet_destroy(fleet);
	return 0;
}
