#include "policy/config_propagation.h"

#include <glib.h>

#define PULL_TIMEOUT_US (700 * LP_US_PER_MS)
#define FIRST_READ_US (300 * LP_US_PER_MS) /* a peer may answer sooner */
#define HOSTS_PER_S 500.0	    /* bound on the KV reads of a whole fleet */
#define REREAD_US (2 * LP_US_PER_S) /* also renews the KV age for peers */
#define DEFAULT_TAKEOVER_US (6 * LP_US_PER_S)
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
	int64_t kv_reached_us;	   /* when any process last reached the KV */
	int64_t takeover_after_us; /* jittered again after each read */
	uint32_t hosts;
};

static int64_t now_us(const struct config_propagation *propagation)
{
	return lp_now_us(propagation->options.clock);
}

/* Uniformly between 0.5 and 1.5 times the base. */
static int64_t jitter(struct config_propagation *propagation, int64_t base_us)
{
	return (int64_t)((double)base_us *
			 g_rand_double_range(propagation->random, 0.5, 1.5));
}

struct config_propagation *
config_propagation_create(const struct config_propagation_options *options)
{
	struct config_propagation *propagation =
		g_new0(struct config_propagation, 1);

	propagation->options = *options;
	propagation->random = g_rand_new_with_seed((guint32)options->seed);
	propagation->backoff_us = BACKOFF_MIN_US;
	if (!options->takeover_after_us)
		propagation->options.takeover_after_us = DEFAULT_TAKEOVER_US;
	propagation->kv_reached_us = now_us(propagation) - NEVER_US;
	propagation->takeover_after_us =
		jitter(propagation, propagation->options.takeover_after_us);
	propagation->next_read_us =
		now_us(propagation) + jitter(propagation, FIRST_READ_US);
	if (options->watch_always)
		config_propagation_set_reader(propagation, true, 1);
	return propagation;
}

void config_propagation_destroy(struct config_propagation *propagation)
{
	if (!propagation)
		return;
	g_rand_free(propagation->random);
	g_free(propagation);
}

void config_propagation_set_reader(struct config_propagation *propagation,
				   bool reader, uint32_t hosts)
{
	bool first = !propagation->hosts;

	propagation->hosts = hosts;
	if (first && !propagation->revision && !reader)
		propagation->next_read_us +=
			jitter(propagation,
			       (int64_t)(hosts / HOSTS_PER_S * LP_US_PER_S));
	reader = reader || propagation->options.watch_always;
	if (reader == propagation->reader)
		return;
	propagation->reader = reader;
	if (!reader && propagation->watching) {
		propagation->watching = false;
		propagation->options.ops->watch(propagation->options.userdata,
						false);
	}
	if (reader)
		propagation->next_read_us = 0;
}

void config_propagation_handle_revision(struct config_propagation *propagation,
					const char *peer, uint64_t revision)
{
	int64_t now = now_us(propagation);

	if (revision <= propagation->revision)
		return;
	propagation->highest_revision =
		MAX(propagation->highest_revision, revision);
	if (propagation->pull_started_us &&
	    now - propagation->pull_started_us < PULL_TIMEOUT_US)
		return;
	propagation->pull_started_us = now;
	propagation->options.ops->pull(propagation->options.userdata, peer);
}

bool config_propagation_accept(struct config_propagation *propagation,
			       uint64_t revision)
{
	if (revision <= propagation->revision)
		return false;
	propagation->revision = revision;
	propagation->highest_revision =
		MAX(propagation->highest_revision, revision);
	propagation->pull_started_us = 0;
	return true;
}

void config_propagation_handle_kv_age(struct config_propagation *propagation,
				      int64_t age_us)
{
	propagation->kv_reached_us =
		MAX(propagation->kv_reached_us, now_us(propagation) - age_us);
}

int64_t
config_propagation_kv_age_us(const struct config_propagation *propagation)
{
	return now_us(propagation) - propagation->kv_reached_us;
}

/* Whether no process reached the KV for so long that this one reads it. */
static bool must_take_over(struct config_propagation *propagation)
{
	return config_propagation_kv_age_us(propagation) >
	       propagation->takeover_after_us;
}

/* Grows with the fleet's size, as all its hosts may retry at once. */
static int64_t backoff_max_us(const struct config_propagation *propagation)
{
	return BACKOFF_MAX_US +
	       (int64_t)(propagation->hosts / HOSTS_PER_S * LP_US_PER_S);
}

/* Doubles the backoff and returns the time of the next retry. */
static int64_t advance_backoff(struct config_propagation *propagation)
{
	int64_t wait_us = jitter(propagation, propagation->backoff_us);

	propagation->backoff_us =
		MIN(propagation->backoff_us * 2, backoff_max_us(propagation));
	return now_us(propagation) + wait_us;
}

void config_propagation_read_done(struct config_propagation *propagation,
				  bool ok)
{
	propagation->reading = false;
	if (!ok) {
		propagation->next_read_us = advance_backoff(propagation);
		return;
	}
	propagation->backoff_us = BACKOFF_MIN_US;
	propagation->kv_reached_us = now_us(propagation);
	propagation->takeover_after_us =
		jitter(propagation, propagation->options.takeover_after_us);
	propagation->next_read_us =
		now_us(propagation) + jitter(propagation, REREAD_US);
	if (!propagation->revision) /* the KV is empty: read again soon */
		propagation->next_read_us =
			now_us(propagation) +
			jitter(propagation, 2 * BACKOFF_MIN_US);
}

void config_propagation_watch_ended(struct config_propagation *propagation)
{
	propagation->watching = false;
	propagation->next_watch_us = advance_backoff(propagation);
	propagation->next_read_us =
		MIN(propagation->next_read_us, propagation->next_watch_us);
}

void config_propagation_tick(struct config_propagation *propagation)
{
	int64_t now = now_us(propagation);
	bool should_read = propagation->reader || !propagation->revision ||
			   must_take_over(propagation);

	if (propagation->reader && !propagation->watching &&
	    now >= propagation->next_watch_us) {
		propagation->watching = true;
		propagation->options.ops->watch(propagation->options.userdata,
						true);
	}
	if (should_read && !propagation->reading &&
	    now >= propagation->next_read_us) {
		propagation->reading = true;
		propagation->options.ops->read(propagation->options.userdata);
	}
}

uint64_t
config_propagation_revision(const struct config_propagation *propagation)
{
	return propagation->revision;
}

bool config_propagation_is_reader(const struct config_propagation *propagation)
{
	return propagation->reader;
}

uint64_t config_propagation_highest_revision(
	const struct config_propagation *propagation)
{
	return propagation->highest_revision;
}
