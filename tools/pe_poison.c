/** Requests that end whoever begins them, and the book that is kept of them. */
#include "tools/pe_private.h"

#include <string.h>

/* Ends after which a request may reach a few upstreams more, and for long after
 * the third end that is not held against anyone. */
#define ENDS_ALLOWED 3
#define PART_ENDS_ALLOWED 5
#define CONTACT_US (3 * LP_US_PER_S)

/* Names of the accounts of parts; no target of a request begins so. */
#define PART_ACCOUNT "part "

/* What is known of one such request: whoever sends it, in all its tries. */
struct account {
	uint32_t ends_allowed;
	int64_t allowed_us; /* when the last end that is allowed was */
	struct pe_poison_book book;
};

static struct account *account_of(struct pe *pe, const char *content)
{
	struct account *account = g_hash_table_lookup(pe->accounts, content);

	if (!account) {
		account = g_new0(struct account, 1);
		account->ends_allowed = g_str_has_prefix(content, PART_ACCOUNT)
						? PART_ENDS_ALLOWED
						: ENDS_ALLOWED;
		g_hash_table_insert(pe->accounts, g_strdup(content), account);
	}
	return account;
}

void pe_poison(struct pe *pe, const struct pe_poison_options *how)
{
	pe->poison = *how;
}

bool pe_is_poison(const struct pe *pe, const char *content)
{
	return pe->poison.content && content &&
	       strstr(content, pe->poison.content);
}

static bool is_poison_part(const struct pe *pe, const char *id)
{
	return pe->poison.parts && g_strv_contains(pe->poison.parts, id);
}

char *pe_poison_part(const struct pe *pe, const struct pe_conn *conn)
{
	const char *prefix = pe_conn_field(conn, "X-Prompt-Prefix");
	g_auto(GStrv) parts = g_strsplit(prefix ? prefix : "", ",", -1);
	guint count = g_strv_length(parts);

	for (guint i = 0; i + 1 < count; i++) {
		g_strstrip(parts[i]);
		parts[i][strcspn(parts[i], ":")] = '\0';
		if (is_poison_part(pe, parts[i]))
			return g_strconcat(PART_ACCOUNT, parts[i], NULL);
	}
	return NULL;
}

bool pe_poison_strikes(const struct pe *pe)
{
	return !pe->poison.percent ||
	       g_random_int_range(0, 100) < (gint32)pe->poison.percent;
}

void pe_poison_arrived(struct pe *pe, const char *content)
{
	struct account *account = account_of(pe, content);
	int64_t now_us = g_get_monotonic_time();

	account->book.arrivals++;
	if (account->book.ends < account->ends_allowed)
		return;
	account->book.arrivals_after++;
	if (now_us - account->allowed_us > CONTACT_US)
		account->book.arrivals_late++;
}

void pe_poison_struck(struct pe *pe, const char *content)
{
	struct account *account = account_of(pe, content);

	account->book.ends++;
	if (account->book.ends == account->ends_allowed)
		account->allowed_us = g_get_monotonic_time();
}

void pe_poison_seen(const struct pe *pe, struct pe_poison_book *worst)
{
	GHashTableIter iter;
	gpointer value;

	*worst = (struct pe_poison_book){ 0 };
	g_hash_table_iter_init(&iter, pe->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pe_poison_book *book =
			&((struct account *)value)->book;

		worst->ends = MAX(worst->ends, book->ends);
		worst->arrivals = MAX(worst->arrivals, book->arrivals);
		worst->arrivals_after =
			MAX(worst->arrivals_after, book->arrivals_after);
		worst->arrivals_late =
			MAX(worst->arrivals_late, book->arrivals_late);
	}
}
