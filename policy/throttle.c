#include "policy/throttle.h"

#include "base/lp_clock.h"
#include "base/lp_id.h"

#include <glib.h>
#include <math.h>

#define COUNT_HALF_LIFE_US (2.0 * LP_US_PER_S)
#define HEADROOM 1.25	   /* requests admitted per accepted one */
#define FREE_REQUESTS 10.0 /* allowance before requests are refused */
#define WAIT_SMOOTHING 0.3
#define PAIRS_MAX 8192

struct pair {
	double requests;
	double accepts;
	int64_t decayed_us;
	double wait_us; /* smoothed over agents */
	int64_t wait_reported_us;
};

struct throttle {
	GHashTable *pairs; /* hash of the two names to pair */
	GRand *random;
};

struct throttle *throttle_create(uint64_t seed)
{
	struct throttle *throttle = g_new0(struct throttle, 1);

	throttle->pairs = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
	throttle->random = g_rand_new_with_seed((guint32)seed);
	return throttle;
}

void throttle_destroy(struct throttle *throttle)
{
	if (!throttle)
		return;
	g_rand_free(throttle->random);
	g_hash_table_unref(throttle->pairs);
	g_free(throttle);
}

static void decay_counts(struct pair *pair, int64_t now_us)
{
	double factor =
		exp2(-(double)(now_us - pair->decayed_us) / COUNT_HALF_LIFE_US);

	pair->requests *= factor;
	pair->accepts *= factor;
	pair->decayed_us = now_us;
}

static struct pair *get_pair(struct throttle *throttle,
			     const char *organisation, const char *service,
			     int64_t now_us)
{
	gint64 key = (gint64)lp_hash_pair(lp_hash_str(organisation),
					  lp_hash_str(service));
	struct pair *pair = g_hash_table_lookup(throttle->pairs, &key);

	if (!pair) {
		if (g_hash_table_size(throttle->pairs) >= PAIRS_MAX)
			g_hash_table_remove_all(throttle->pairs);
		pair = g_new0(struct pair, 1);
		pair->decayed_us = now_us;
		g_hash_table_insert(throttle->pairs,
				    g_memdup2(&key, sizeof(key)), pair);
	}
	decay_counts(pair, now_us);
	return pair;
}

bool throttle_admit(struct throttle *throttle, const char *organisation,
		    const char *service, int64_t now_us)
{
	struct pair *pair = get_pair(throttle, organisation, service, now_us);
	double excess =
		pair->requests - HEADROOM * pair->accepts - FREE_REQUESTS;

	if (excess <= 0)
		return true;
	if (g_rand_double(throttle->random) > excess / (pair->requests + 1))
		return true;
	pair->requests += 1;
	return false;
}

void throttle_record_outcome(struct throttle *throttle,
			     const char *organisation, const char *service,
			     bool accepted, int64_t now_us)
{
	struct pair *pair = get_pair(throttle, organisation, service, now_us);

	pair->requests += 1;
	if (accepted)
		pair->accepts += 1;
}

static double remaining_wait_us(const struct pair *pair, int64_t now_us)
{
	double left_us =
		pair->wait_us - (double)(now_us - pair->wait_reported_us);

	return MAX(0, left_us);
}

void throttle_record_wait(struct throttle *throttle, const char *organisation,
			  const char *service, int64_t wait_us, int64_t now_us)
{
	struct pair *pair = get_pair(throttle, organisation, service, now_us);
	double before_us = remaining_wait_us(pair, now_us);

	pair->wait_us =
		before_us + ((double)wait_us - before_us) * WAIT_SMOOTHING;
	pair->wait_reported_us = now_us;
}

int64_t throttle_wait_us(struct throttle *throttle, const char *organisation,
			 const char *service, int64_t now_us)
{
	return (int64_t)remaining_wait_us(
		get_pair(throttle, organisation, service, now_us), now_us);
}
