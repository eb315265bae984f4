#include "policy/quota.h"

#include "policy/bucket.h"

#include <glib.h>
#include <math.h>

#define LEASE_US (3 * LP_US_PER_S)
#define REQUEST_INTERVAL_US (1 * LP_US_PER_S)
#define IDLE_TIMEOUT_US (30 * LP_US_PER_S) /* of an organisation */
#define DEMAND_FLOOR 1.0 /* per second, so that new entries get a share */
#define DEMAND_SMOOTHING 0.5
#define BURST_SECONDS 0.5 /* seconds' worth of a share */

/* ---- the quota holder ---- */

struct share {
	double demand;
	double granted;
	int64_t lease_until_us;
};

struct quota_holder {
	const struct lp_clock *clock;
	GHashTable *organisations; /* name to table of entry to struct share */
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

		if (share->lease_until_us < now_us) {
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

/* Unexpired shares of others are deducted: grants never exceed the rate. */
double quota_holder_grant(struct quota_holder *holder, const char *organisation,
			  const char *entry, double demand_per_s, double rate,
			  int64_t *lease_us)
{
	GHashTable *shares = get_shares(holder, organisation);
	struct share *share = g_hash_table_lookup(shares, entry);
	int64_t now_us = lp_now_us(holder->clock);
	struct totals others;
	double proportional;

	if (!share) {
		share = g_new0(struct share, 1);
		g_hash_table_insert(shares, g_strdup(entry), share);
	}
	share->demand = MAX(demand_per_s, DEMAND_FLOOR);
	share->lease_until_us = now_us + LEASE_US;
	others = sum_other_shares(shares, share, now_us);
	proportional = rate * share->demand / (others.demand + share->demand);
	share->granted = CLAMP(rate - others.granted, 0, proportional);
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

/* ---- an entry's quota ---- */

struct usage {
	struct bucket bucket;
	double demand;	   /* smoothed requests per second */
	uint32_t requests; /* since the last share request */
	int64_t share_requested_us;
	int64_t last_request_us;
	int64_t lease_until_us;
	double leased; /* rate granted until then */
	double rate;   /* of the bucket, per second */
};

struct quota {
	struct quota_options options;
	GHashTable *usages; /* organisation to struct usage */
};

struct quota *quota_create(const struct quota_options *options)
{
	struct quota *quota = g_new0(struct quota, 1);

	quota->options = *options;
	quota->usages =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return quota;
}

void quota_destroy(struct quota *quota)
{
	if (!quota)
		return;
	g_hash_table_unref(quota->usages);
	g_free(quota);
}

static double burst_for_rate(double rate)
{
	return MAX(1.0, rate * BURST_SECONDS);
}

static struct usage *get_usage(struct quota *quota, const char *organisation,
			       double fallback)
{
	struct usage *usage = g_hash_table_lookup(quota->usages, organisation);
	int64_t now_us = lp_now_us(quota->options.clock);

	if (usage)
		return usage;
	usage = g_new0(struct usage, 1);
	usage->rate = fallback;
	usage->share_requested_us = now_us - REQUEST_INTERVAL_US;
	bucket_init(&usage->bucket, fallback, burst_for_rate(fallback), now_us);
	g_hash_table_insert(quota->usages, g_strdup(organisation), usage);
	return usage;
}

static void set_bucket_rate(struct usage *usage, double rate, int64_t now_us)
{
	if (fabs(rate - usage->rate) < rate * 0.01)
		return;
	usage->rate = rate;
	bucket_set_rate(&usage->bucket, rate, burst_for_rate(rate), now_us);
}

bool quota_take(struct quota *quota, const char *organisation, uint32_t rate,
		uint32_t entries, int64_t *retry_us)
{
	int64_t now_us = lp_now_us(quota->options.clock);
	double fallback = (double)rate / MAX(1, entries);
	struct usage *usage;

	if (!rate)
		return true;
	usage = get_usage(quota, organisation, fallback);
	usage->requests += 1;
	usage->last_request_us = now_us;
	set_bucket_rate(usage,
			usage->lease_until_us > now_us ? usage->leased
						       : fallback,
			now_us);
	if (bucket_take(&usage->bucket, now_us))
		return true;
	*retry_us = bucket_wait_us(&usage->bucket, now_us);
	return false;
}

void quota_apply_grant(struct quota *quota, const char *organisation,
		       double rate_per_s, int64_t lease_us)
{
	struct usage *usage = g_hash_table_lookup(quota->usages, organisation);

	if (!usage)
		return;
	usage->leased = rate_per_s;
	/* From the time of the request: the holder's lease began after it. */
	usage->lease_until_us = usage->share_requested_us + lease_us;
}

static void request_share(struct quota *quota, const char *organisation,
			  struct usage *usage, int64_t now_us)
{
	double seconds =
		(double)(now_us - usage->share_requested_us) / LP_US_PER_S;

	usage->demand +=
		(usage->requests / MAX(seconds, 0.001) - usage->demand) *
		DEMAND_SMOOTHING;
	usage->requests = 0;
	usage->share_requested_us = now_us;
	quota->options.request_share(quota->options.userdata, organisation,
				     usage->demand);
}

void quota_tick(struct quota *quota)
{
	int64_t now_us = lp_now_us(quota->options.clock);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->usages);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct usage *usage = value;

		if (now_us - usage->last_request_us > IDLE_TIMEOUT_US)
			g_hash_table_iter_remove(&iter);
		else if (now_us - usage->share_requested_us >=
			 REQUEST_INTERVAL_US)
			request_share(quota, key, usage, now_us);
	}
}
