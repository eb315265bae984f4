#include "policy/idempotency.h"

#include "base/lp_id.h"

#include <glib.h>
#include <string.h>

#define DEFAULT_BYTES_MAX (4u << 20)
#define RECORD_BYTES 160 /* per record, beside its strings */
#define TICKET_PREFIX "lpt1"
#define TICKET_FIELDS 5

/* A duplicate request that waits for the first one. */
struct waiter {
	char *key;
	void *userdata;
	int64_t deadline_us;
};

struct record {
	char *key;
	uint64_t fingerprint;
	bool running;
	int64_t expires_us;
	int error;
	enum lp_run run;
	char *body;
};

struct idempotency_keys {
	struct idempotency_options options;
	GHashTable *records;
	GQueue expiring;    /* records of ended requests, oldest first */
	GPtrArray *waiters; /* few: duplicates of running requests */
	size_t bytes;
};

static void free_record(gpointer data)
{
	struct record *record = data;

	g_free(record->key);
	g_free(record->body);
	g_free(record);
}

static void free_waiter(gpointer data)
{
	struct waiter *waiter = data;

	g_free(waiter->key);
	g_free(waiter);
}

struct idempotency_keys *
idempotency_create(const struct idempotency_options *options)
{
	struct idempotency_keys *keys = g_new0(struct idempotency_keys, 1);

	keys->options = *options;
	if (!keys->options.bytes_max)
		keys->options.bytes_max = DEFAULT_BYTES_MAX;
	keys->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      free_record);
	g_queue_init(&keys->expiring);
	keys->waiters = g_ptr_array_new_with_free_func(free_waiter);
	return keys;
}

void idempotency_destroy(struct idempotency_keys *keys)
{
	if (!keys)
		return;
	g_queue_clear(&keys->expiring);
	g_ptr_array_unref(keys->waiters);
	g_hash_table_unref(keys->records);
	g_free(keys);
}

static size_t record_size(const struct record *record)
{
	return RECORD_BYTES + strlen(record->key) +
	       (record->body ? strlen(record->body) : 0);
}

static enum idempotency_verdict
add_record(struct idempotency_keys *keys, const char *key, uint64_t fingerprint)
{
	struct record *record;

	if (keys->bytes >= keys->options.bytes_max)
		return IDEMPOTENCY_FULL;
	record = g_new0(struct record, 1);
	record->key = g_strdup(key);
	record->fingerprint = fingerprint;
	record->running = true;
	keys->bytes += record_size(record);
	g_hash_table_insert(keys->records, record->key, record);
	return IDEMPOTENCY_NEW;
}

static void add_waiter(struct idempotency_keys *keys,
		       const struct idempotency_request *request)
{
	struct waiter *waiter = g_new0(struct waiter, 1);

	waiter->key = g_strdup(request->key);
	waiter->userdata = request->waiter;
	waiter->deadline_us = request->deadline_us;
	g_ptr_array_add(keys->waiters, waiter);
}

enum idempotency_verdict
idempotency_begin(struct idempotency_keys *keys,
		  const struct idempotency_request *request,
		  struct idempotency_answer *answer)
{
	struct record *record =
		g_hash_table_lookup(keys->records, request->key);

	if (!record)
		return add_record(keys, request->key, request->fingerprint);
	if (record->fingerprint != request->fingerprint)
		return IDEMPOTENCY_MISMATCH;
	if (record->running) {
		add_waiter(keys, request);
		return IDEMPOTENCY_WAIT;
	}
	*answer = (struct idempotency_answer){
		.error = record->error,
		.run = record->run,
		.body = record->body,
	};
	return IDEMPOTENCY_ANSWERED;
}

/* Removes and wakes the waiters of a key, or with NULL those past deadline. */
static void wake_waiters(struct idempotency_keys *keys, const char *key,
			 int64_t now_us,
			 const struct idempotency_answer *answer)
{
	g_autoptr(GPtrArray) woken = g_ptr_array_new();

	for (guint i = keys->waiters->len; i > 0; i--) {
		struct waiter *waiter = g_ptr_array_index(keys->waiters, i - 1);

		if (key ? strcmp(waiter->key, key) != 0
			: waiter->deadline_us > now_us)
			continue;
		g_ptr_array_add(woken, waiter->userdata);
		g_ptr_array_remove_index(keys->waiters, i - 1);
	}
	for (guint i = 0; i < woken->len; i++)
		keys->options.wake(keys->options.userdata,
				   g_ptr_array_index(woken, i), answer);
}

static void remove_record(struct idempotency_keys *keys, struct record *record)
{
	keys->bytes -= record_size(record);
	g_hash_table_remove(keys->records, record->key);
}

void idempotency_finish(struct idempotency_keys *keys, const char *key,
			const struct idempotency_answer *answer)
{
	struct record *record = g_hash_table_lookup(keys->records, key);

	if (!record || !record->running)
		return;
	record->running = false;
	if (answer->error && answer->run == LP_RUN_NOT_RUN) {
		remove_record(keys, record);
	} else {
		keys->bytes -= record_size(record);
		record->error = answer->error;
		record->run = answer->run;
		record->body = g_strdup(answer->body);
		keys->bytes += record_size(record);
		record->expires_us = lp_now_us(keys->options.clock) +
				     keys->options.result_ttl_us;
		g_queue_push_tail(&keys->expiring, record);
	}
	wake_waiters(keys, key, 0, answer);
}

void idempotency_remove_waiter(struct idempotency_keys *keys, void *waiter)
{
	for (guint i = keys->waiters->len; i > 0; i--) {
		const struct waiter *entry =
			g_ptr_array_index(keys->waiters, i - 1);

		if (entry->userdata == waiter)
			g_ptr_array_remove_index(keys->waiters, i - 1);
	}
}

void idempotency_tick(struct idempotency_keys *keys)
{
	int64_t now_us = lp_now_us(keys->options.clock);
	const struct idempotency_answer deadline_passed = {
		.error = LP_ERROR_DEADLINE_PASSED,
		.run = LP_RUN_MAY_HAVE_RUN,
	};
	struct record *record;

	wake_waiters(keys, NULL, now_us, &deadline_passed);
	while ((record = g_queue_peek_head(&keys->expiring)) &&
	       record->expires_us < now_us) {
		g_queue_pop_head(&keys->expiring);
		remove_record(keys, record);
	}
}

uint32_t idempotency_record_count(const struct idempotency_keys *keys)
{
	return g_hash_table_size(keys->records);
}

/* ---- tickets ---- */

char *idempotency_ticket_create(const char *host, uint64_t incarnation,
				int64_t expires_s)
{
	return g_strdup_printf(
		TICKET_PREFIX ":%s:%" G_GINT64_MODIFIER "x:%" G_GINT64_FORMAT
			      ":%" G_GINT64_MODIFIER "x",
		host, incarnation, (gint64)expires_s, lp_random_u64());
}

bool idempotency_ticket_parse(const char *key, struct idempotency_ticket *out)
{
	g_auto(GStrv) parts = g_strsplit(key, ":", TICKET_FIELDS + 1);

	if (g_strv_length(parts) != TICKET_FIELDS ||
	    strcmp(parts[0], TICKET_PREFIX) != 0)
		return false;
	out->host = g_strdup(parts[1]);
	out->incarnation = g_ascii_strtoull(parts[2], NULL, 16);
	out->expires_s = g_ascii_strtoll(parts[3], NULL, 10);
	return true;
}
