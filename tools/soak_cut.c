#include "tools/soak_cut.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>

#define CUT_ENTRY 0
#define TICK_MS 20
/* Since the entries are ready: the cut, ... */
#define CUT_MS 3000
#define SERVICE_MS 11000
/* ... whose peers are out of reach for longer than the service. Otherwise a
 * peer's list reaches the entry before its own poll, and nothing is missing in
 * the list that it polls. */
#define PEERS_MS 11800
/* It polls again within the longest interval, 0.9 s. */
#define CALLERS_MS 12500
/* Drains begin in this time; the key is removed before the drain time is over,
 * which is as the entries' settings have it. */
#define DRAIN_FIRST_MS 7000
#define DRAIN_LAST_MS 10200
#define LEAVES_MS 500
#define DRAIN_TIME_MS 2000
/* Of the upstreams of a service, one stays. */
#define UPSTREAMS_EACH 3

struct leaver {
	struct pe_upstream *upstream;
	int64_t drain_ms;
	uint32_t steps; /* done: drains, left, drain time over */
	uint32_t work;	/* when its drain time was over */
};

struct soak_cut {
	struct soak_cut_options options;
	char *path;	  /* of the file of the entry that is cut off */
	int64_t begun_us; /* 0: not yet */
	GArray *leavers;  /* of struct leaver */
	guint timer;
};

/* Of a stage upstream, its calls: it is also asked for its free memory. */
static uint32_t count_work(const struct pe_upstream *upstream)
{
	return pe_is_stage(upstream) ? pe_calls(upstream)
				     : pe_arrivals(upstream);
}

/* In place: the process has it mapped. */
static void write_file(const struct soak_cut *cut, int64_t value)
{
	FILE *file = g_fopen(cut->path, "r+");

	fwrite(&value, sizeof(value), 1, file);
	fclose(file);
}

struct soak_cut *soak_cut_create(const struct soak_cut_options *options)
{
	struct soak_cut *cut = g_new0(struct soak_cut, 1);
	g_autoptr(GRand) random = g_rand_new_with_seed(options->seed);
	struct leaver leaver = { 0 };

	cut->options = *options;
	cut->path = g_strdup_printf("%s/cut", options->folder);
	cut->leavers = g_array_new(FALSE, FALSE, sizeof(leaver));
	for (guint i = 0; i < options->upstreams->len; i++) {
		leaver.upstream = g_ptr_array_index(options->upstreams, i);
		leaver.drain_ms =
			g_rand_int_range(random, DRAIN_FIRST_MS, DRAIN_LAST_MS);
		if (i % UPSTREAMS_EACH)
			g_array_append_val(cut->leavers, leaver);
	}
	g_file_set_contents(cut->path, "\0\0\0\0\0\0\0", sizeof(int64_t), NULL);
	return cut;
}

void soak_cut_destroy(struct soak_cut *cut)
{
	if (!cut)
		return;
	if (cut->timer)
		g_source_remove(cut->timer);
	g_unlink(cut->path);
	g_free(cut->path);
	g_array_unref(cut->leavers);
	g_free(cut);
}

const char *soak_cut_path(const struct soak_cut *cut, uint32_t entry)
{
	return entry == CUT_ENTRY ? cut->path : "";
}

static int64_t elapsed_ms(const struct soak_cut *cut)
{
	return (g_get_monotonic_time() - cut->begun_us) / 1000;
}

/* What is in the file at this moment: tests/cut_shim.c. */
static int64_t cut_value(const struct soak_cut *cut)
{
	const char *address = pe_store_address(cut->options.platform);
	int64_t ms = elapsed_ms(cut);

	if (ms < CUT_MS || ms >= PEERS_MS)
		return 0;
	return ms < SERVICE_MS
		       ? 1
		       : g_ascii_strtoll(strchr(address, ':') + 1, NULL, 10);
}

static gboolean on_tick(gpointer userdata)
{
	struct soak_cut *cut = userdata;

	write_file(cut, cut_value(cut));
	for (guint i = 0; i < cut->leavers->len; i++) {
		struct leaver *leaver =
			&g_array_index(cut->leavers, struct leaver, i);
		int64_t since_ms = elapsed_ms(cut) - leaver->drain_ms;

		if (!leaver->steps && since_ms >= 0) {
			pe_drain(leaver->upstream);
			leaver->steps++;
		} else if (leaver->steps == 1 && since_ms >= LEAVES_MS) {
			pe_erase(cut->options.platform,
				 pe_name(leaver->upstream));
			leaver->steps++;
		} else if (leaver->steps == 2 && since_ms >= DRAIN_TIME_MS) {
			leaver->work = count_work(leaver->upstream);
			leaver->steps++;
		}
	}
	return G_SOURCE_CONTINUE;
}

void soak_cut_begin(struct soak_cut *cut)
{
	if (!cut)
		return;
	cut->begun_us = g_get_monotonic_time();
	cut->timer = g_timeout_add(TICK_MS, on_tick, cut);
}

bool soak_cut_keeps_from(const struct soak_cut *cut, uint32_t entry)
{
	return cut && entry == CUT_ENTRY && elapsed_ms(cut) < CALLERS_MS;
}

void soak_cut_settle(struct soak_cut *cut)
{
	for (guint i = 0; cut && i < cut->leavers->len; i++) {
		const struct leaver *leaver =
			&g_array_index(cut->leavers, struct leaver, i);

		if (leaver->steps < 3 ||
		    count_work(leaver->upstream) > leaver->work)
			cut->options.breach(cut->options.userdata,
					    pe_name(leaver->upstream),
					    "work after its drain time, or "
					    "the run ended before that");
	}
}
