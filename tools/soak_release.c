#include "tools/soak_release.h"

#include "base/lp_clock.h"

#include <stdio.h>

/* From the notice until the engine is replaced: longer than entries may send
 * there. */
#define DRAIN_MS 2500
#define AWAY_MS 200
#define TOLD_MS 100
/* Entries are undisturbed after this time without a fault of theirs. */
#define CALM_US (3 * LP_US_PER_S)
/* Fewer streams than this do not show a share. */
#define STREAMS_MIN 12
#define PAUSE_MAX_MS 300
#define ENGINE_SERVICE "engine"

struct share {
	uint32_t count;
	uint32_t succeeded;
};

/* An engine that drains, to be replaced. */
struct replacement {
	struct soak_release *release;
	struct pe_upstream *engine;
	guint timer;
};

struct soak_release {
	struct soak_release_options options;
	GRand *random;
	uint32_t serial;    /* of the newest version */
	char *target;	    /* version that is being released */
	GPtrArray *pending; /* of struct replacement */
	int64_t disturbed_us;
	uint32_t replaced;
	struct share begun;
	struct share resumed;
};

static void free_replacement(gpointer data)
{
	struct replacement *replacement = data;

	if (replacement->timer)
		g_source_remove(replacement->timer);
	g_free(replacement);
}

struct soak_release *
soak_release_create(const struct soak_release_options *options)
{
	struct soak_release *release = g_new0(struct soak_release, 1);

	release->options = *options;
	release->random = g_rand_new_with_seed(options->seed);
	release->serial = 1;
	release->target = g_strdup("v1");
	release->pending = g_ptr_array_new_with_free_func(free_replacement);
	return release;
}

void soak_release_destroy(struct soak_release *release)
{
	if (!release)
		return;
	g_ptr_array_unref(release->pending);
	g_rand_free(release->random);
	g_free(release->target);
	g_free(release);
}

/* ---- replacing engines ---- */

static void replace(struct soak_release *release, struct pe_upstream *engine)
{
	const struct pe_end_options end = { .away_ms = AWAY_MS,
					    .told_ms = TOLD_MS,
					    .new_id = true };

	pe_end(engine, &end);
	pe_set_version(engine, release->target);
	release->replaced++;
}

static gboolean on_drained(gpointer userdata)
{
	struct replacement *replacement = userdata;

	replacement->timer = 0;
	replace(replacement->release, replacement->engine);
	g_ptr_array_remove_fast(replacement->release->pending, replacement);
	return G_SOURCE_REMOVE;
}

static bool is_pending(const struct soak_release *release,
		       const struct pe_upstream *engine)
{
	for (guint i = 0; i < release->pending->len; i++)
		if (((struct replacement *)g_ptr_array_index(release->pending,
							     i))
			    ->engine == engine)
			return true;
	return false;
}

static void begin_replacement(struct soak_release *release,
			      struct pe_upstream *engine)
{
	struct replacement *replacement = g_new0(struct replacement, 1);

	replacement->release = release;
	replacement->engine = engine;
	replacement->timer = g_timeout_add(DRAIN_MS, on_drained, replacement);
	g_ptr_array_add(release->pending, replacement);
	pe_drain(engine);
}

static void begin_release(struct soak_release *release)
{
	g_free(release->target);
	release->target = g_rand_int_range(release->random, 0, 4)
				  ? g_strdup_printf("v%u", ++release->serial)
				  : g_strdup("v1");
}

/* An engine of another version than the one that is being released; or NULL. */
static struct pe_upstream *draw_engine(struct soak_release *release)
{
	const GPtrArray *upstreams = release->options.upstreams;
	guint first = (guint)g_rand_int_range(release->random, 0,
					      (gint32)upstreams->len);

	for (guint i = 0; i < upstreams->len; i++) {
		struct pe_upstream *upstream = g_ptr_array_index(
			upstreams, (first + i) % upstreams->len);

		if (pe_is_of(upstream, ENGINE_SERVICE) &&
		    !is_pending(release, upstream) &&
		    g_strcmp0(pe_version(upstream), release->target) != 0)
			return upstream;
	}
	return NULL;
}

void soak_release_disturb(struct soak_release *release)
{
	struct pe_upstream *engine;

	if (!release)
		return;
	if (!g_rand_int_range(release->random, 0, 6))
		begin_release(release);
	engine = draw_engine(release);
	if (!engine)
		begin_release(release);
	else if (g_rand_int_range(release->random, 0, 3))
		begin_replacement(release, engine);
	else
		replace(release, engine);
}

/* ---- streams ---- */

void soak_release_entry_disturbed(struct soak_release *release)
{
	if (release)
		release->disturbed_us = g_get_monotonic_time();
}

bool soak_release_draw_leaving(struct soak_release *release)
{
	return release && !g_rand_int_range(release->random, 0, 3);
}

uint32_t soak_release_draw_pause_ms(struct soak_release *release)
{
	return (uint32_t)g_rand_int_range(release->random, 0, PAUSE_MAX_MS);
}

bool soak_release_counts(struct soak_release *release, const char *first)
{
	const char *version;

	if (!release ||
	    g_get_monotonic_time() - release->disturbed_us < CALM_US)
		return false;
	if (!first)
		return true;
	version = pe_stream_version(release->options.platform, first);
	return version && pe_ready_count(release->options.platform,
					 ENGINE_SERVICE, version) >= 2;
}

void soak_release_add(struct soak_release *release, bool resumed,
		      bool has_succeeded)
{
	struct share *share = resumed ? &release->resumed : &release->begun;

	share->count++;
	share->succeeded += has_succeeded;
}

/* The share of streams that go on is at least half of that of new ones that
 * begin. */
static bool is_share_low(const struct soak_release *release)
{
	const struct share *resumed = &release->resumed;
	const struct share *begun = &release->begun;

	return resumed->count >= STREAMS_MIN && begun->count &&
	       2 * (uint64_t)resumed->succeeded * begun->count <
		       (uint64_t)begun->succeeded * resumed->count;
}

void soak_release_settle(struct soak_release *release)
{
	if (!release)
		return;
	printf("release: %u engines replaced, %u versions, %u of %u new "
	       "streams "
	       "answered, %u of %u resumed ones continued, %u at another "
	       "version\n",
	       release->replaced, release->serial, release->begun.succeeded,
	       release->begun.count, release->resumed.succeeded,
	       release->resumed.count,
	       pe_mixed_streams(release->options.platform));
	if (is_share_low(release))
		release->options.breach(release->options.userdata, "release",
					"too few streams went on");
}
