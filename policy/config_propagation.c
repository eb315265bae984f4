#include "policy/config_propagation.h"

#include <glib.h>

#define PULL_TIMEOUT_US (700 * LP_US_PER_MS)
#define FIRST_READ_US (300 * LP_US_PER_MS) /* a peer may be quicker */
#define HOSTS_PER_S 500.0 /* first reads of a fleet that starts at once */
#define REREAD_US (2 * LP_US_PER_S) /* also shows others that we live */
#define PATIENCE_US (6 * LP_US_PER_S)
#define NEVER_US (1000000 * LP_US_PER_S)
#define BACKOFF_MIN_US (250 * LP_US_PER_MS)
#define BACKOFF_MAX_US (10 * LP_US_PER_S)

struct config_propagation {
	struct config_propagation_options options;
	GRand *random;
	uint64_t revision;
	uint64_t highest_revision;
	bool reader;
	bool watching;
	bool reading;
	int64_t next_read_us;
	int64_t next_watch_us;
	int64_t pull_started_us; /* when the outstanding pull was sent, or 0 */
	int64_t backoff_us;
	int64_t kv_reached_us;	   /* someone reached the KV, on our clock */
	int64_t takeover_after_us; /* jittered anew each time */
	uint32_t hosts;
};

static int64_t now_us(const struct config_propagation *spread)
{
	return lp_now_us(spread->options.clock);
}

/* Between half of it and one and a half. */
static int64_t jitter(struct config_propagation *spread, int64_t base_us)
{
	return (int64_t)((double)base_us *
			 g_rand_double_range(spread->random, 0.5, 1.5));
}

struct config_propagation *
config_propagation_create(const struct config_propagation_options *options)
{
	struct config_propagation *spread =
		g_new0(struct config_propagation, 1);

	spread->options = *options;
	spread->random = g_rand_new_with_seed((guint32)options->seed);
	spread->backoff_us = BACKOFF_MIN_US;
	if (!options->takeover_after_us)
		spread->options.takeover_after_us = PATIENCE_US;
	spread->kv_reached_us = now_us(spread) - NEVER_US;
	spread->takeover_after_us =
		jitter(spread, spread->options.takeover_after_us);
	spread->next_read_us = now_us(spread) + jitter(spread, FIRST_READ_US);
	if (options->watch_always)
		config_propagation_set_reader(spread, true, 1);
	return spread;
}

void config_propagation_destroy(struct config_propagation *spread)
{
	if (!spread)
		return;
	g_rand_free(spread->random);
	g_free(spread);
}

void config_propagation_set_reader(struct config_propagation *spread,
				   bool reader, uint32_t hosts)
{
	bool first = !spread->hosts;

	spread->hosts = hosts;
	if (first && !spread->revision && !reader)
		spread->next_read_us += jitter(
			spread, (int64_t)(hosts / HOSTS_PER_S * LP_US_PER_S));
	reader = reader || spread->options.watch_always;
	if (reader == spread->reader)
		return;
	spread->reader = reader;
	if (!reader && spread->watching) {
		spread->watching = false;
		spread->options.ops->watch(spread->options.userdata, false);
	}
	if (reader)
		spread->next_read_us = 0;
}

void config_propagation_handle_revision(struct config_propagation *spread,
					const char *peer, uint64_t revision)
{
	int64_t now = now_us(spread);

	if (revision <= spread->revision)
		return;
	spread->highest_revision = MAX(spread->highest_revision, revision);
	if (spread->pull_started_us &&
	    now - spread->pull_started_us < PULL_TIMEOUT_US)
		return;
	spread->pull_started_us = now;
	spread->options.ops->pull(spread->options.userdata, peer);
}

bool config_propagation_accept(struct config_propagation *spread,
			       uint64_t revision)
{
	if (revision <= spread->revision)
		return false;
	spread->revision = revision;
	spread->highest_revision = MAX(spread->highest_revision, revision);
	spread->pull_started_us = 0;
	return true;
}

void config_propagation_handle_kv_age(struct config_propagation *spread,
				      int64_t age_us)
{
	spread->kv_reached_us =
		MAX(spread->kv_reached_us, now_us(spread) - age_us);
}

int64_t config_propagation_kv_age_us(const struct config_propagation *spread)
{
	return now_us(spread) - spread->kv_reached_us;
}

/* Nobody has reached the KV for so long that this process tries. */
static bool must_step_in(struct config_propagation *spread)
{
	return config_propagation_kv_age_us(spread) > spread->takeover_after_us;
}

/* The whole fleet may be trying: its size bounds how often one does. */
static int64_t backoff_max_us(const struct config_propagation *spread)
{
	return BACKOFF_MAX_US +
	       (int64_t)(spread->hosts / HOSTS_PER_S * LP_US_PER_S);
}

static int64_t back_off(struct config_propagation *spread)
{
	int64_t wait_us = jitter(spread, spread->backoff_us);

	spread->backoff_us =
		MIN(spread->backoff_us * 2, backoff_max_us(spread));
	return now_us(spread) + wait_us;
}

void config_propagation_read_done(struct config_propagation *spread, bool ok)
{
	spread->reading = false;
	if (!ok) {
		spread->next_read_us = back_off(spread);
		return;
	}
	spread->backoff_us = BACKOFF_MIN_US;
	spread->kv_reached_us = now_us(spread);
	spread->takeover_after_us =
		jitter(spread, spread->options.takeover_after_us);
	spread->next_read_us = now_us(spread) + jitter(spread, REREAD_US);
	if (!spread->revision) /* the KV has none yet: look again soon */
		spread->next_read_us =
			now_us(spread) + jitter(spread, 2 * BACKOFF_MIN_US);
}

void config_propagation_watch_ended(struct config_propagation *spread)
{
	spread->watching = false;
	spread->next_watch_us = back_off(spread);
	spread->next_read_us = MIN(spread->next_read_us, spread->next_watch_us);
}

void config_propagation_tick(struct config_propagation *spread)
{
	int64_t now = now_us(spread);
	bool wants =
		spread->reader || !spread->revision || must_step_in(spread);

	if (spread->reader && !spread->watching &&
	    now >= spread->next_watch_us) {
		spread->watching = true;
		spread->options.ops->watch(spread->options.userdata, true);
	}
	if (wants && !spread->reading && now >= spread->next_read_us) {
		spread->reading = true;
		spread->options.ops->read(spread->options.userdata);
	}
}

uint64_t config_propagation_revision(const struct config_propagation *spread)
{
	return spread->revision;
}

bool config_propagation_is_reader(const struct config_propagation *spread)
{
	return spread->reader;
}

uint64_t
config_propagation_highest_revision(const struct config_propagation *spread)
{
	return spread->highest_revision;
}
