#include "policy/claim.h"

#include <glib.h>
#include <string.h>

#define RETRY_MIN_US (50 * LP_US_PER_MS)
#define RETRY_MAX_US (1 * LP_US_PER_S)

struct claim {
	char *key;
	char *owner;
	int64_t deadline_us;
	void *waiter; /* NULL after removal or failure */
};

struct claims {
	struct claims_options options;
	GQueue waiting;
	GPtrArray *batch; /* claims of the write in flight or to be retried */
	bool writing;
	int64_t retry_at_us; /* when to retry the write; 0: no retry */
	int64_t backoff_us;
	uint64_t writes;
};

static void free_claim(gpointer data)
{
	struct claim *claim = data;

	g_free(claim->key);
	g_free(claim->owner);
	g_free(claim);
}

struct claims *claims_create(const struct claims_options *options)
{
	struct claims *claims = g_new0(struct claims, 1);

	claims->options = *options;
	claims->batch = g_ptr_array_new();
	claims->backoff_us = RETRY_MIN_US;
	g_queue_init(&claims->waiting);
	return claims;
}

void claims_destroy(struct claims *claims)
{
	if (!claims)
		return;
	g_queue_clear_full(&claims->waiting, free_claim);
	g_ptr_array_set_free_func(claims->batch, free_claim);
	g_ptr_array_unref(claims->batch);
	g_free(claims);
}

static int64_t now_us(const struct claims *claims)
{
	return lp_now_us(claims->options.clock);
}

static void settle_claim(struct claims *claims, struct claim *claim, int error,
			 const char *owner)
{
	if (claim->waiter)
		claims->options.ops->settled(claims->options.userdata,
					     claim->waiter, error, owner);
	free_claim(claim);
}

static void write_batch(struct claims *claims)
{
	struct claim_item items[CLAIM_BATCH_MAX];

	for (guint i = 0; i < claims->batch->len; i++) {
		const struct claim *claim = g_ptr_array_index(claims->batch, i);

		items[i].key = claim->key;
		items[i].owner = claim->owner;
	}
	claims->writing = true;
	claims->retry_at_us = 0;
	claims->writes += 1;
	claims->options.ops->write(claims->options.userdata, items,
				   claims->batch->len);
}

/* The KV refuses a write that has a key twice: the second claim waits. */
static bool is_in_batch(const struct claims *claims, const char *key)
{
	for (guint i = 0; i < claims->batch->len; i++) {
		const struct claim *claim = g_ptr_array_index(claims->batch, i);

		if (!strcmp(claim->key, key))
			return true;
	}
	return false;
}

static void fill_batch(struct claims *claims)
{
	guint max = claims->options.naive ? 1 : CLAIM_BATCH_MAX;

	while (claims->batch->len < max) {
		struct claim *claim = g_queue_peek_head(&claims->waiting);

		if (!claim || is_in_batch(claims, claim->key))
			return;
		g_ptr_array_add(claims->batch,
				g_queue_pop_head(&claims->waiting));
	}
}

static void start_next_write(struct claims *claims)
{
	if (claims->writing || claims->retry_at_us)
		return;
	fill_batch(claims);
	if (claims->batch->len)
		write_batch(claims);
}

void claims_add(struct claims *claims, const char *key, const char *owner,
		int64_t deadline_us, void *waiter)
{
	struct claim *claim = g_new0(struct claim, 1);

	claim->key = g_strdup(key);
	claim->owner = g_strdup(owner);
	claim->deadline_us = deadline_us;
	claim->waiter = waiter;
	g_queue_push_tail(&claims->waiting, claim);
	start_next_write(claims);
}

static void clear_waiter(struct claim *claim, const void *waiter)
{
	if (claim->waiter == waiter)
		claim->waiter = NULL;
}

void claims_remove_waiter(struct claims *claims, void *waiter)
{
	for (GList *link = claims->waiting.head; link; link = link->next)
		clear_waiter(link->data, waiter);
	for (guint i = 0; i < claims->batch->len; i++)
		clear_waiter(g_ptr_array_index(claims->batch, i), waiter);
}

static const char *find_owner(const char *key, const struct claim_found *found,
			      uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(found[i].key, key))
			return found[i].owner;
	return NULL;
}

static void settle_all(struct claims *claims)
{
	g_autoptr(GPtrArray) done = claims->batch;

	claims->batch = g_ptr_array_new();
	for (guint i = 0; i < done->len; i++) {
		struct claim *claim = g_ptr_array_index(done, i);

		settle_claim(claims, claim, LP_OK, claim->owner);
	}
}

/* Settles claims of existing keys with the stored owners; keeps the others. */
static void settle_existing(struct claims *claims,
			    const struct claim_found *found, uint32_t count)
{
	g_autoptr(GPtrArray) done = claims->batch;

	claims->batch = g_ptr_array_new();
	for (guint i = 0; i < done->len; i++) {
		struct claim *claim = g_ptr_array_index(done, i);
		const char *owner = find_owner(claim->key, found, count);

		if (owner)
			settle_claim(claims, claim, LP_OK, owner);
		else
			g_ptr_array_add(claims->batch, claim);
	}
}

void claims_write_done(struct claims *claims, int error, bool created,
		       const struct claim_found *found, uint32_t found_count)
{
	claims->writing = false;
	if (error) {
		claims->retry_at_us = now_us(claims) + claims->backoff_us;
		claims->backoff_us = MIN(claims->backoff_us * 2, RETRY_MAX_US);
		return;
	}
	claims->backoff_us = RETRY_MIN_US;
	if (created)
		settle_all(claims);
	else
		settle_existing(claims, found, found_count);
	start_next_write(claims);
}

/* Fails a claim towards its waiter; a write in flight goes on. */
static void fail_claim(struct claims *claims, struct claim *claim)
{
	void *waiter = claim->waiter;

	claim->waiter = NULL;
	if (waiter)
		claims->options.ops->settled(claims->options.userdata, waiter,
					     LP_ERROR_PLATFORM_DOWN, NULL);
}

/* Fails claims past their deadline; their writes may have taken effect. */
static void expire_claims(struct claims *claims)
{
	int64_t now = now_us(claims);

	for (GList *link = claims->waiting.head; link;) {
		struct claim *claim = link->data;
		GList *next = link->next;

		if (claim->deadline_us <= now) {
			g_queue_delete_link(&claims->waiting, link);
			fail_claim(claims, claim);
			free_claim(claim);
		}
		link = next;
	}
	for (guint i = claims->batch->len; i > 0; i--) {
		struct claim *claim = g_ptr_array_index(claims->batch, i - 1);

		if (claim->deadline_us > now)
			continue;
		fail_claim(claims, claim);
		if (claims->writing)
			continue;
		g_ptr_array_remove_index(claims->batch, i - 1);
		free_claim(claim);
	}
}

void claims_tick(struct claims *claims)
{
	expire_claims(claims);
	if (claims->retry_at_us && now_us(claims) >= claims->retry_at_us)
		claims->retry_at_us = 0;
	start_next_write(claims);
}

uint64_t claims_writes(const struct claims *claims)
{
	return claims->writes;
}
