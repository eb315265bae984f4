#include "policy/retry_budget.h"

#include <glib.h>

/* Parts of a window that are counted apart. */
#define PARTS 10
#define DEFAULT_WINDOW_US (10 * LP_US_PER_S)

struct part {
	int64_t number; /* of the part since the clock's origin */
	uint32_t requests;
	uint32_t repeats;
};

/* One more part than the window has: the bound is on any window. */
struct account {
	struct part parts[PARTS + 1];
};

struct retry_budget {
	struct retry_budget_options options;
	GHashTable *accounts; /* service -> struct account */
};

struct retry_budget *
retry_budget_create(const struct retry_budget_options *options)
{
	struct retry_budget *retry_budget = g_new0(struct retry_budget, 1);

	retry_budget->options = *options;
	if (!retry_budget->options.window_us)
		retry_budget->options.window_us = DEFAULT_WINDOW_US;
	retry_budget->accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return retry_budget;
}

void retry_budget_destroy(struct retry_budget *retry_budget)
{
	if (!retry_budget)
		return;
	g_hash_table_unref(retry_budget->accounts);
	g_free(retry_budget);
}

void retry_budget_set_bounds(struct retry_budget *retry_budget, double ratio,
			     double slack)
{
	retry_budget->options.ratio = ratio;
	retry_budget->options.slack = slack;
}

static int64_t part_number(const struct retry_budget *retry_budget)
{
	return lp_now_us(retry_budget->options.clock) /
	       (retry_budget->options.window_us / PARTS);
}

static struct account *account_of(struct retry_budget *retry_budget,
				  const char *service)
{
	struct account *account =
		g_hash_table_lookup(retry_budget->accounts, service);

	if (!account) {
		account = g_new0(struct account, 1);
		g_hash_table_insert(retry_budget->accounts, g_strdup(service),
				    account);
	}
	return account;
}

static struct part *current_part(struct retry_budget *retry_budget,
				 struct account *account)
{
	int64_t number = part_number(retry_budget);
	struct part *part = &account->parts[number % (PARTS + 1)];

	if (part->number != number)
		*part = (struct part){ .number = number };
	return part;
}

void retry_budget_add_request(struct retry_budget *retry_budget,
			      const char *service)
{
	current_part(retry_budget, account_of(retry_budget, service))
		->requests++;
}

bool retry_budget_take(struct retry_budget *retry_budget, const char *service)
{
	struct account *account = account_of(retry_budget, service);
	struct part *now = current_part(retry_budget, account);
	uint32_t requests = 0;
	uint32_t repeats = 0;

	for (uint32_t i = 0; i <= PARTS; i++) {
		const struct part *part = &account->parts[i];

		if (part->number < now->number - PARTS)
			continue;
		repeats += part->repeats;
		/* The oldest part may lie outside of the window. */
		if (part->number > now->number - PARTS)
			requests += part->requests;
	}
	if (repeats + 1 > retry_budget->options.ratio * requests +
				  retry_budget->options.slack)
		return false;
	now->repeats++;
	return true;
}
