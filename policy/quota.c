#include "policy/quota.h"

#include "policy/bucket.h"

#include <glib.h>
#include <math.h>

#define LEASE_US (3 * LP_US_PER_S)
#define ASK_US (1 * LP_US_PER_S)
#define IDLE_US (30 * LP_US_PER_S) /* then an organisation is forgotten */
#define DEMAND_FLOOR 1.0	   /* per second, so that newcomers get some */
#define DEMAND_SMOOTHING 0.5
#define BURST_S 0.5 /* seconds of a share that may come at once */

/* ---- the holder's side ---- */

struct share {
	double demand;
	double granted;
	int64_t until_us;
};

struct quota_holder {
	const struct lp_clock *clock;
	GHashTable *organisations; /* name to table of entry to share */
};

static void unref_table(gpointer data)
{
	g_hash_table_unref(data);
}

struct quota_holder *quota_holder_create(const struct lp_clock *clock)
{
	struct quota_holder *holder = g_new0(struct quota_holder, 1);

	holder->clock = clock;
	holder->organisations = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, unref_table);
	return holder;
}

void quota_holder_destroy(struct quota_holder *holder)
{
	if (!holder)
		return;
	g_hash_table_unref(holder->organisations);
	g_free(holder);
}

static GHashTable *get_shares(struct quota_holder *holder,
			      const char *organisation)
{
	GHashTable *shares =
		g_hash_table_lookup(holder->organisations, organisation);

	if (shares)
		return shares;
	shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(holder->organisations, g_strdup(organisation),
			    shares);
	return shares;
}

struct totals {
	double demand;
	double granted;
};

static struct totals sum_other_shares(GHashTable *shares,
				      const struct share *own, int64_t now_us)
{
	struct totals totals = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shares);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct share *share = value;

		if (share->until_us < now_us) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (share == own)
			continue;
		totals.demand += share->demand;
		totals.granted += share->granted;
	}
	return totals;
}

/* Shares still leased are kept back: grants never sum to over the rate. */
double quota_holder_grant(struct quota_holder *holder, const char *organisation,
			  const char *entry, double demand_per_s, double rate,
			  int64_t *lease_us)
{
	GHashTable *shares = get_shares(holder, organisation);
	struct share *share = g_hash_table_lookup(shares, entry);
	int64_t now_us = lp_now_us(holder->clock);
	struct totals others;
	double fair;

	if (!share) {
		share = g_new0(struct share, 1);
		g_hash_table_insert(shares, g_strdup(entry), share);
	}
	share->demand = MAX(demand_per_s, DEMAND_FLOOR);
	share->until_us = now_us + LEASE_US;
	others = sum_other_shares(shares, share, now_us);
	fair = rate * share->demand / (others.demand + share->demand);
	share->granted = CLAMP(rate - others.granted, 0, fair);
	*lease_us = LEASE_US;
	return share->granted;
}

double quota_holder_granted_total(struct quota_holder *holder,
				  const char *organisation)
{
	return sum_other_shares(get_shares(holder, organisation), NULL,
				lp_now_us(holder->clock))
		.granted;
}

/* ---- an entry's side ---- */

struct use {
	struct bucket bucket;
	double demand; /* smoothed requests per second */
	uint32_t seen; /* since the last ask */
	int64_t asked_us;
	int64_t used_us;
	int64_t lease_until_us;
	double leased;
	double current; /* rate the bucket runs at */
};

struct quota {
	struct quota_options options;
	GHashTable *uses;
};

struct quota *quota_create(const struct quota_options *options)
{
	struct quota *quota = g_new0(struct quota, 1);

	quota->options = *options;
	quota->uses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return quota;
}

void quota_destroy(struct quota *quota)
{
	if (!quota)
		return;
	g_hash_table_unref(quota->uses);
	g_free(quota);
}

static double burst_for_rate(double rate)
{
	return MAX(1.0, rate * BURST_S);
}

static struct use *get_usage(struct quota *quota, const char *organisation,
			     double fallback)
{
	struct use *use = g_hash_table_lookup(quota->uses, organisation);
	int64_t now_us = lp_now_us(quota->options.clock);

	if (use)
		return use;
	use = g_new0(struct use, 1);
	use->current = fallback;
	use->asked_us = now_us - ASK_US;
	bucket_init(&use->bucket, fallback, burst_for_rate(fallback), now_us);
	g_hash_table_insert(quota->uses, g_strdup(organisation), use);
	return use;
}

static void set_bucket_rate(struct use *use, double rate, int64_t now_us)
{
	if (fabs(rate - use->current) < rate * 0.01)
		return;
	use->current = rate;
	bucket_set_rate(&use->bucket, rate, burst_for_rate(rate), now_us);
}

bool quota_take(struct quota *quota, const char *organisation, uint32_t rate,
		uint32_t entries, int64_t *retry_us)
{
	int64_t now_us = lp_now_us(quota->options.clock);
	double fallback = (double)rate / MAX(1, entries);
	struct use *use;

	if (!rate)
		return true;
	use = get_usage(quota, organisation, fallback);
	use->seen += 1;
	use->used_us = now_us;
	set_bucket_rate(use,
			use->lease_until_us > now_us ? use->leased : fallback,
			now_us);
	if (bucket_take(&use->bucket, now_us))
		return true;
	*retry_us = bucket_wait_us(&use->bucket, now_us);
	return false;
}

void quota_apply_grant(struct quota *quota, const char *organisation,
		       double rate_per_s, int64_t lease_us)
{
	struct use *use = g_hash_table_lookup(quota->uses, organisation);

	if (!use)
		return;
	use->leased = rate_per_s;
	/* Counted from the asking: the holder's lease began later. */
	use->lease_until_us = use->asked_us + lease_us;
}

static void ask(struct quota *quota, const char *organisation, struct use *use,
		int64_t now_us)
{
	double seconds = (double)(now_us - use->asked_us) / LP_US_PER_S;

	use->demand += (use->seen / MAX(seconds, 0.001) - use->demand) *
		       DEMAND_SMOOTHING;
	use->seen = 0;
	use->asked_us = now_us;
	quota->options.request_share(quota->options.userdata, organisation,
				     use->demand);
}

void quota_tick(struct quota *quota)
{
	int64_t now_us = lp_now_us(quota->options.clock);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->uses);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct use *use = value;

		if (now_us - use->used_us > IDLE_US)
			g_hash_table_iter_remove(&iter);
		else if (now_us - use->asked_us >= ASK_US)
			ask(quota, key, use, now_us);
	}
}
