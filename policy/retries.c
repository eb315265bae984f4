#include "policy/retries.h"

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

struct retries {
	struct retries_options options;
	GHashTable *accounts; /* service -> struct account */
};

struct retries *retries_create(const struct retries_options *options)
{
	struct retries *retries = g_new0(struct retries, 1);

	retries->options = *options;
	if (!retries->options.window_us)
		retries->options.window_us = DEFAULT_WINDOW_US;
	retries->accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return retries;
}

void retries_destroy(struct retries *retries)
{
	if (!retries)
		return;
	g_hash_table_unref(retries->accounts);
	g_free(retries);
}

void retries_set(struct retries *retries, double ratio, double slack)
{
	retries->options.ratio = ratio;
	retries->options.slack = slack;
}

static int64_t part_number(const struct retries *retries)
{
	return lp_now_us(retries->options.clock) /
	       (retries->options.window_us / PARTS);
}

static struct account *account_of(struct retries *retries, const char *service)
{
	struct account *account =
		g_hash_table_lookup(retries->accounts, service);

	if (!account) {
		account = g_new0(struct account, 1);
		g_hash_table_insert(retries->accounts, g_strdup(service),
				    account);
	}
	return account;
}

static struct part *current_part(struct retries *retries,
				 struct account *account)
{
	int64_t number = part_number(retries);
	struct part *part = &account->parts[number % (PARTS + 1)];

	if (part->number != number)
		*part = (struct part){ .number = number };
	return part;
}

void retries_saw_request(struct retries *retries, const char *service)
{
	current_part(retries, account_of(retries, service))->requests++;
}

bool retries_take(struct retries *retries, const char *service)
{
	struct account *account = account_of(retries, service);
	struct part *now = current_part(retries, account);
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
	if (repeats + 1 >
	    retries->options.ratio * requests + retries->options.slack)
		return false;
	now->repeats++;
	return true;
}
