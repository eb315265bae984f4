#include "policy/result_memory.h"

#include <glib.h>

/* A result that its producer holds. */
struct held_result {
	char *handle;
	int64_t bytes;
	int64_t expires_us; /* end of its TTL */
};

struct result_memory {
	struct result_memory_options options;
	int64_t reserved_bytes; /* for calls under way */
	int64_t held_bytes;
	GQueue held;		 /* struct held_result, oldest first */
	GHashTable *links;	 /* handle -> its GList in `held` */
	int64_t untracked_bytes; /* used by others, as far as known */
	int64_t untracked_until_us;
};

static int64_t now_us(const struct result_memory *memory)
{
	return lp_now_us(memory->options.clock);
}

static void free_result(gpointer data)
{
	struct held_result *result = data;

	g_free(result->handle);
	g_free(result);
}

struct result_memory *
result_memory_create(const struct result_memory_options *options)
{
	struct result_memory *memory = g_new0(struct result_memory, 1);

	memory->options = *options;
	g_queue_init(&memory->held);
	memory->links = g_hash_table_new(g_str_hash, g_str_equal);
	return memory;
}

void result_memory_destroy(struct result_memory *memory)
{
	if (!memory)
		return;
	g_hash_table_unref(memory->links);
	g_queue_clear_full(&memory->held, free_result);
	g_free(memory);
}

void result_memory_set_ttl(struct result_memory *memory, int64_t result_ttl_us)
{
	memory->options.result_ttl_us = result_ttl_us;
}

/* ---- tracked results ---- */

static void remove_result(struct result_memory *memory, GList *link)
{
	struct held_result *result = link->data;

	memory->held_bytes -= result->bytes;
	g_hash_table_remove(memory->links, result->handle);
	g_queue_delete_link(&memory->held, link);
	free_result(result);
}

static void drop_expired(struct result_memory *memory)
{
	GList *oldest = g_queue_peek_head_link(&memory->held);

	while (oldest && ((struct held_result *)oldest->data)->expires_us <=
				 now_us(memory)) {
		remove_result(memory, oldest);
		oldest = g_queue_peek_head_link(&memory->held);
	}
	if (memory->untracked_until_us <= now_us(memory))
		memory->untracked_bytes = 0;
}

void result_memory_reserve(struct result_memory *memory, int64_t bytes)
{
	memory->reserved_bytes += bytes;
}

void result_memory_cancel(struct result_memory *memory, int64_t bytes)
{
	memory->reserved_bytes -= bytes;
}

void result_memory_commit(struct result_memory *memory, const char *handle,
			  int64_t bytes)
{
	struct held_result *result;

	memory->reserved_bytes -= bytes;
	if (g_hash_table_contains(memory->links, handle))
		return;
	result = g_new0(struct held_result, 1);
	result->handle = g_strdup(handle);
	result->bytes = bytes;
	result->expires_us = now_us(memory) + memory->options.result_ttl_us;
	g_queue_push_tail(&memory->held, result);
	g_hash_table_insert(memory->links, result->handle,
			    g_queue_peek_tail_link(&memory->held));
	memory->held_bytes += bytes;
}

void result_memory_release(struct result_memory *memory, const char *handle,
			   int64_t bytes)
{
	GList *link = g_hash_table_lookup(memory->links, handle);

	if (link)
		remove_result(memory, link);
	else
		memory->untracked_bytes =
			MAX(memory->untracked_bytes - bytes, 0);
}

/* ---- untracked memory ---- */

static void set_untracked(struct result_memory *memory, int64_t bytes)
{
	memory->untracked_bytes = MAX(bytes, 0);
	memory->untracked_until_us =
		now_us(memory) + memory->options.result_ttl_us;
}

static void cap_untracked(struct result_memory *memory, int64_t max_bytes)
{
	memory->untracked_bytes =
		MIN(memory->untracked_bytes, MAX(max_bytes, 0));
}

void result_memory_note_call(struct result_memory *memory, int64_t total_bytes,
			     int64_t tracked_bytes, int64_t completed_bytes,
			     bool was_short)
{
	int64_t untracked_bytes = total_bytes - tracked_bytes - completed_bytes;

	if (!total_bytes)
		return;
	drop_expired(memory);
	if (was_short)
		set_untracked(memory, untracked_bytes);
	else
		cap_untracked(memory, untracked_bytes);
}

void result_memory_note_report(struct result_memory *memory,
			       int64_t total_bytes, int64_t tracked_bytes,
			       int64_t free_min_bytes, int64_t free_max_bytes)
{
	int64_t untracked_max = total_bytes - tracked_bytes - free_min_bytes;
	int64_t untracked_min = total_bytes - tracked_bytes - free_max_bytes;

	drop_expired(memory);
	if (memory->untracked_bytes < untracked_min)
		set_untracked(memory, untracked_min);
	else
		cap_untracked(memory, untracked_max);
}

int64_t result_memory_tracked_bytes(struct result_memory *memory)
{
	drop_expired(memory);
	return memory->reserved_bytes + memory->held_bytes;
}

int64_t result_memory_untracked_bytes(struct result_memory *memory)
{
	drop_expired(memory);
	return memory->untracked_bytes;
}

int64_t result_memory_used_bytes(struct result_memory *memory)
{
	return result_memory_tracked_bytes(memory) + memory->untracked_bytes;
}
