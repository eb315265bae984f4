#include "base/lp_id.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#define ENTRY_DIGITS 16
#define SERIAL_DIGITS 8

uint64_t lp_random_u64(void)
{
	uint64_t value = 0;

	while (!value)
		if (getrandom(&value, sizeof(value), 0) != sizeof(value))
			value = 0;
	return value;
}

uint64_t lp_hash_str(const char *str)
{
	return XXH3_64bits(str, strlen(str));
}

uint64_t lp_hash_pair(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = { a, b };

	return XXH3_64bits(pair, sizeof(pair));
}

uint32_t lp_host_hash(const char *host)
{
	return (uint32_t)lp_hash_str(host);
}

uint64_t lp_entry_tag(const char *host, uint32_t incarnation)
{
	return (uint64_t)lp_host_hash(host) << 32 | incarnation;
}

guint lp_call_id_hash(gconstpointer id)
{
	return (guint)XXH3_64bits(id, sizeof(struct lp_call_id));
}

gboolean lp_call_id_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct lp_call_id));
}

void lp_request_id_format(const struct lp_call_id *id, char *out)
{
	snprintf(out, LP_REQUEST_ID_SIZE, "%016" G_GINT64_MODIFIER "x-%08x",
		 id->entry, id->serial);
}

bool lp_request_id_parse(const char *str, struct lp_call_id *out)
{
	char *end;

	memset(out, 0, sizeof(*out));
	if (strlen(str) != LP_REQUEST_ID_SIZE - 1)
		return false;
	errno = 0;
	out->entry = strtoull(str, &end, 16);
	if (errno || end != str + ENTRY_DIGITS || *end != '-')
		return false;
	out->serial = (uint32_t)strtoul(end + 1, &end, 16);
	return !errno && end == str + ENTRY_DIGITS + 1 + SERIAL_DIGITS;
}
