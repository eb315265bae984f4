#include "policy/stream_origins.h"

#include "base/lp_id.h"

struct record {
	uint64_t attempt;
	uint64_t version; /* 0: ambiguous */
	int64_t expires_us;
};

struct stream_origins {
	const struct lp_clock *clock;
	uint32_t capacity;
	GHashTable *records; /* attempt -> struct record */
	GQueue *by_age;	     /* of the same, borrowed; the oldest first */
};

struct stream_origins *stream_origins_create(const struct lp_clock *clock,
					     uint32_t capacity)
{
	struct stream_origins *origins = g_new0(struct stream_origins, 1);

	origins->clock = clock;
	origins->capacity = capacity;
	origins->records = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	origins->by_age = g_queue_new();
	return origins;
}

void stream_origins_destroy(struct stream_origins *origins)
{
	if (!origins)
		return;
	g_queue_free(origins->by_age);
	g_hash_table_unref(origins->records);
	g_free(origins);
}

static void drop_oldest(struct stream_origins *origins)
{
	struct record *oldest = g_queue_pop_head(origins->by_age);

	g_hash_table_remove(origins->records, &oldest->attempt);
}

/* A record behind one that lives longer is dropped together with that one. */
static void drop_expired(struct stream_origins *origins, int64_t now_us)
{
	const struct record *oldest;

	while ((oldest = g_queue_peek_head(origins->by_age)) &&
	       oldest->expires_us <= now_us)
		drop_oldest(origins);
}

static struct record *find_record(struct stream_origins *origins,
				  uint64_t attempt, int64_t now_us)
{
	struct record *record = g_hash_table_lookup(origins->records, &attempt);

	return record && record->expires_us > now_us ? record : NULL;
}

static void insert_record(struct stream_origins *origins,
			  const struct record *values)
{
	struct record *record =
		g_hash_table_lookup(origins->records, &values->attempt);

	/* One that has expired. */
	if (record) {
		*record = *values;
		return;
	}
	while (g_queue_get_length(origins->by_age) >= origins->capacity)
		drop_oldest(origins);
	record = g_memdup2(values, sizeof(*values));
	g_hash_table_insert(origins->records, &record->attempt, record);
	g_queue_push_tail(origins->by_age, record);
}

void stream_origins_add(struct stream_origins *origins, uint64_t attempt,
			uint64_t version, int64_t lifetime_us)
{
	int64_t now_us = lp_now_us(origins->clock);
	const struct record values = {
		.attempt = attempt,
		.version = version,
		.expires_us = now_us +
			      CLAMP(lifetime_us, 0, STREAM_ORIGINS_LIFETIME_US),
	};
	struct record *record;

	drop_expired(origins, now_us);
	record = find_record(origins, attempt, now_us);
	if (!record) {
		insert_record(origins, &values);
		return;
	}
	record->expires_us = MAX(record->expires_us, values.expires_us);
	if (record->version != version)
		record->version = 0;
}

enum stream_origin_status stream_origins_find(struct stream_origins *origins,
					      uint64_t attempt,
					      uint64_t *version)
{
	const struct record *record =
		find_record(origins, attempt, lp_now_us(origins->clock));

	if (!record)
		return STREAM_ORIGIN_UNKNOWN;
	if (!record->version)
		return STREAM_ORIGIN_AMBIGUOUS;
	*version = record->version;
	return STREAM_ORIGIN_KNOWN;
}

uint32_t stream_origins_count(const struct stream_origins *origins)
{
	return g_queue_get_length(origins->by_age);
}

void stream_origins_foreach(struct stream_origins *origins,
			    void (*fn)(void *userdata, uint64_t attempt,
				       uint64_t version, int64_t left_us),
			    void *userdata)
{
	int64_t now_us = lp_now_us(origins->clock);

	for (const GList *at = origins->by_age->head; at; at = at->next) {
		const struct record *record = at->data;

		if (record->expires_us > now_us)
			fn(userdata, record->attempt, record->version,
			   record->expires_us - now_us);
	}
}

uint32_t stream_origins_choose(uint64_t attempt, const uint64_t *entries,
			       uint32_t count, uint32_t max, uint64_t *chosen)
{
	uint64_t ranks[STREAM_ORIGINS_QUERIED];
	uint32_t size = 0;

	max = MIN(max, STREAM_ORIGINS_QUERIED);
	for (uint32_t i = 0; i < count; i++) {
		uint64_t rank = lp_hash_pair(attempt, entries[i]);
		uint32_t at = size;

		while (at && rank > ranks[at - 1])
			at--;
		if (at == max)
			continue;
		size = MIN(size + 1, max);
		for (uint32_t j = size - 1; j > at; j--) {
			ranks[j] = ranks[j - 1];
			chosen[j] = chosen[j - 1];
		}
		ranks[at] = rank;
		chosen[at] = entries[i];
	}
	return size;
}
