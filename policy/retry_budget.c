#include "policy/retry_budget.h"

#include <glib.h>

/* Slots of a window, each with counts of its own. */
#define WINDOW_SLOTS 10
#define DEFAULT_WINDOW_US (10 * LP_US_PER_S)

struct slot {
	int64_t number; /* slots since the clock's origin */
	uint32_t requests;
	uint32_t retries;
};

/* Counts of one service. One slot more than a window has, as the bound holds in
 * any window, not only in those that begin with a slot. */
struct usage {
	struct slot slots[WINDOW_SLOTS + 1];
};

struct retry_budget {
	struct retry_budget_options options;
	GHashTable *usages; /* service -> struct usage */
};

struct retry_budget *
retry_budget_create(const struct retry_budget_options *options)
{
	struct retry_budget *retry_budget = g_new0(struct retry_budget, 1);

	retry_budget->options = *options;
	if (!retry_budget->options.window_us)
		retry_budget->options.window_us = DEFAULT_WINDOW_US;
	retry_budget->usages =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return retry_budget;
}

void retry_budget_destroy(struct retry_budget *retry_budget)
{
	if (!retry_budget)
		return;
	g_hash_table_unref(retry_budget->usages);
	g_free(retry_budget);
}

void retry_budget_set_bounds(struct retry_budget *retry_budget, double ratio,
			     double slack)
{
	retry_budget->options.ratio = ratio;
	retry_budget->options.slack = slack;
}

static int64_t slot_number(const struct retry_budget *retry_budget)
{
	return lp_now_us(retry_budget->options.clock) /
	       (retry_budget->options.window_us / WINDOW_SLOTS);
}

static struct usage *usage_of(struct retry_budget *retry_budget,
			      const char *service)
{
	struct usage *usage =
		g_hash_table_lookup(retry_budget->usages, service);

	if (!usage) {
		usage = g_new0(struct usage, 1);
		g_hash_table_insert(retry_budget->usages, g_strdup(service),
				    usage);
	}
	return usage;
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
static struct retry_budget_view usage_view(struct retry_budget *retry_budget,
					   const struct usage *usage)
{
	struct retry_budget_view view = {
		.slack = retry_budget->options.slack,
	};
	int64_t number = slot_number(retry_budget);

	for (uint32_t i = 0; i <= WINDOW_SLOTS; i++) {
		const struct slot *slot = &usage->slots[i];

		if (slot->number < number - WINDOW_SLOTS)
			continue;
		view.retries += slot->retries;
		/* Requests of the oldest slot may lie outside of the window. */
		if (slot->number > number - WINDOW_SLOTS)
			view.requests += slot->requests;
	}
	return view;
}

void retry_budget_get_view(struct retry_budget *retry_budget,
			   const char *service, struct retry_budget_view *out)
{
	*out = usage_view(retry_budget, usage_of(retry_budget, service));
}

bool retry_budget_take(struct retry_budget *retry_budget, const char *service)
{
	struct usage *usage = usage_of(retry_budget, service);
	struct slot *current = current_slot(retry_budget, usage);
	struct retry_budget_view view = usage_view(retry_budget, usage);

	if (view.retries + 1 >
	    retry_budget->options.ratio * view.requests + view.slack)
		return false;
	current->retries++;
	return true;
}
