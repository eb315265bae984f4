#include "policy/retry_budget.h"

#include <glib.h>

/* Slots of a window, each with counts of its own. */
#define WINDOW_SLOTS 10
#define DEFAULT_WINDOW_US (10 * LP_US_PER_S)
/* Part of the share that a bucket holds. The rest is the rate at which it
 * fills, per window. */
#define BURST_FRACTION 0.5
/* Sums of fractions of retries may miss a whole one by rounding. */
#define WHOLE_RETRY (1 - 1e-9)

/* Entries that may have started without being known yet: so many in a small
 * fleet, this factor in a large one. */
#define ENTRIES_MIN 8
#define ENTRIES_MARGIN 1.25

struct slot {
	int64_t number; /* slots since the clock's origin */
	uint32_t requests;
	uint32_t retries;
	double from_requests; /* retries that were paid from requests */
};

/* Counts of one service. One slot more than a window has, as the bound holds in
 * any window, not only in those that begin with a slot. */
struct usage {
	struct slot slots[WINDOW_SLOTS + 1];
	double fill;	   /* of the bucket, 0 to 1 */
	int64_t filled_us; /* when `fill` was last updated */
};

struct retry_budget {
	struct retry_budget_options options;
	GHashTable *usages; /* service -> struct usage */
	int64_t started_us;
};

double retry_budget_share(double slack, uint32_t entries)
{
	if (!entries)
		return 0;
	return slack / MAX(ENTRIES_MARGIN * entries, ENTRIES_MIN);
}

static int64_t now(const struct retry_budget *retry_budget)
{
	return lp_now_us(retry_budget->options.clock);
}

struct retry_budget *
retry_budget_create(const struct retry_budget_options *options)
{
	struct retry_budget *retry_budget = g_new0(struct retry_budget, 1);

	retry_budget->options = *options;
	if (!retry_budget->options.window_us)
		retry_budget->options.window_us = DEFAULT_WINDOW_US;
	retry_budget->usages =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	retry_budget->started_us = now(retry_budget);
	return retry_budget;
}

void retry_budget_destroy(struct retry_budget *retry_budget)
{
	if (!retry_budget)
		return;
	g_hash_table_unref(retry_budget->usages);
	g_free(retry_budget);
}

/* ---- the bucket ---- */

/* An empty bucket is full after one window. */
static void refill(const struct retry_budget *retry_budget, struct usage *usage)
{
	int64_t now_us = now(retry_budget);
	int64_t elapsed_us = now_us - usage->filled_us;

	usage->filled_us = now_us;
	if (retry_budget->options.slack > 0)
		usage->fill = MIN(
			1, usage->fill + (double)elapsed_us /
						 (double)retry_budget->options
							 .window_us);
}

static double burst(const struct retry_budget *retry_budget)
{
	return BURST_FRACTION * retry_budget->options.slack;
}

/* A service that is used for the first time has a bucket that has filled since
 * the start. */
static struct usage *create_usage(const struct retry_budget *retry_budget)
{
	struct usage *usage = g_new0(struct usage, 1);

	usage->filled_us = retry_budget->started_us;
	usage->fill = retry_budget->options.starts_full ? 1 : 0;
	return usage;
}

static struct usage *usage_of(struct retry_budget *retry_budget,
			      const char *service)
{
	struct usage *usage =
		g_hash_table_lookup(retry_budget->usages, service);

	if (!usage) {
		usage = create_usage(retry_budget);
		g_hash_table_insert(retry_budget->usages, g_strdup(service),
				    usage);
	}
	refill(retry_budget, usage);
	return usage;
}

void retry_budget_set_bounds(struct retry_budget *retry_budget, double ratio,
			     double slack)
{
	GHashTableIter iter;
	gpointer usage;

	/* Up to now the buckets have filled, or not, by the former share. */
	g_hash_table_iter_init(&iter, retry_budget->usages);
	while (g_hash_table_iter_next(&iter, NULL, &usage))
		refill(retry_budget, usage);
	if (retry_budget->options.slack <= 0)
		retry_budget->started_us = now(retry_budget);
	retry_budget->options.ratio = ratio;
	retry_budget->options.slack = slack;
}

/* ---- counts ---- */

static int64_t slot_number(const struct retry_budget *retry_budget)
{
	return now(retry_budget) /
	       (retry_budget->options.window_us / WINDOW_SLOTS);
}

static struct slot *current_slot(struct retry_budget *retry_budget,
				 struct usage *usage)
{
	int64_t number = slot_number(retry_budget);
	struct slot *slot = &usage->slots[number % (WINDOW_SLOTS + 1)];

	if (slot->number != number)
		*slot = (struct slot){ .number = number };
	return slot;
}

void retry_budget_add_request(struct retry_budget *retry_budget,
			      const char *service)
{
	current_slot(retry_budget, usage_of(retry_budget, service))->requests++;
}

/* Counts of the window that ends now. */
static struct slot sum_slots(const struct retry_budget *retry_budget,
			     const struct usage *usage)
{
	struct slot sum = { .number = slot_number(retry_budget) };

	for (uint32_t i = 0; i <= WINDOW_SLOTS; i++) {
		const struct slot *slot = &usage->slots[i];

		if (slot->number < sum.number - WINDOW_SLOTS)
			continue;
		sum.retries += slot->retries;
		sum.from_requests += slot->from_requests;
		/* Requests of the oldest slot may lie outside of the window. */
		if (slot->number > sum.number - WINDOW_SLOTS)
			sum.requests += slot->requests;
	}
	return sum;
}

void retry_budget_get_view(struct retry_budget *retry_budget,
			   const char *service, struct retry_budget_view *out)
{
	const struct usage *usage = usage_of(retry_budget, service);
	struct slot sum = sum_slots(retry_budget, usage);

	*out = (struct retry_budget_view){
		.requests = sum.requests,
		.retries = sum.retries,
		.slack = retry_budget->options.slack,
		.slack_left = usage->fill * burst(retry_budget),
	};
}

/* The part of a retry that requests pay for. */
static double paid_by_requests(const struct retry_budget *retry_budget,
			       const struct usage *usage)
{
	struct slot sum = sum_slots(retry_budget, usage);

	return CLAMP(retry_budget->options.ratio * sum.requests -
			     sum.from_requests,
		     0, 1);
}

bool retry_budget_allows(struct retry_budget *retry_budget, const char *service)
{
	struct usage *usage = usage_of(retry_budget, service);

	return paid_by_requests(retry_budget, usage) +
		       usage->fill * burst(retry_budget) >=
	       WHOLE_RETRY;
}

bool retry_budget_take(struct retry_budget *retry_budget, const char *service)
{
	struct usage *usage = usage_of(retry_budget, service);
	struct slot *current = current_slot(retry_budget, usage);
	double from_requests = paid_by_requests(retry_budget, usage);
	double from_bucket = 1 - from_requests;
	double burst_size = burst(retry_budget);

	if (!retry_budget_allows(retry_budget, service))
		return false;
	if (burst_size > 0)
		usage->fill = MAX(usage->fill - from_bucket / burst_size, 0);
	current->from_requests += from_requests;
	current->retries++;
	return true;
}
