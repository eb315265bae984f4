#include "policy/result_memory.h"

#include <glib.h>

/* A result that is kept. */
struct held_result {
	char *handle;
	int64_t bytes;
	int64_t expires_us; /* its maker drops it then by itself */
};

struct result_memory {
	struct result_memory_options options;
	int64_t reserved_bytes; /* of calls under way */
	int64_t held_bytes;
	GQueue held;		 /* of struct held_result, oldest first */
	GHashTable *links;	 /* handle -> its GList in `kept` */
	int64_t untracked_bytes; /* not counted here */
	int64_t untracked_until_us;
};

static int64_t now(const struct result_memory *room)
{
	return lp_now_us(room->options.clock);
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
	struct result_memory *room = g_new0(struct result_memory, 1);

	room->options = *options;
	g_queue_init(&room->held);
	room->links = g_hash_table_new(g_str_hash, g_str_equal);
	return room;
}

void result_memory_destroy(struct result_memory *room)
{
	if (!room)
		return;
	g_hash_table_unref(room->links);
	g_queue_clear_full(&room->held, free_result);
	g_free(room);
}

void result_memory_set_ttl(struct result_memory *room, int64_t linger_us)
{
	room->options.result_ttl_us = linger_us;
}

/* ---- results of our calls ---- */

static void remove_result(struct result_memory *room, GList *link)
{
	struct held_result *result = link->data;

	room->held_bytes -= result->bytes;
	g_hash_table_remove(room->links, result->handle);
	g_queue_delete_link(&room->held, link);
	free_result(result);
}

static void drop_expired(struct result_memory *room)
{
	GList *oldest = g_queue_peek_head_link(&room->held);

	while (oldest &&
	       ((struct held_result *)oldest->data)->expires_us <= now(room)) {
		remove_result(room, oldest);
		oldest = g_queue_peek_head_link(&room->held);
	}
	if (room->untracked_until_us <= now(room))
		room->untracked_bytes = 0;
}

void result_memory_reserve(struct result_memory *room, int64_t bytes)
{
	room->reserved_bytes += bytes;
}

void result_memory_cancel(struct result_memory *room, int64_t bytes)
{
	room->reserved_bytes -= bytes;
}

void result_memory_commit(struct result_memory *room, const char *handle,
			  int64_t bytes)
{
	struct held_result *result;

	room->reserved_bytes -= bytes;
	if (g_hash_table_contains(room->links, handle))
		return;
	result = g_new0(struct held_result, 1);
	result->handle = g_strdup(handle);
	result->bytes = bytes;
	result->expires_us = now(room) + room->options.result_ttl_us;
	g_queue_push_tail(&room->held, result);
	g_hash_table_insert(room->links, result->handle,
			    g_queue_peek_tail_link(&room->held));
	room->held_bytes += bytes;
}

void result_memory_release(struct result_memory *room, const char *handle,
			   int64_t bytes)
{
	GList *link = g_hash_table_lookup(room->links, handle);

	if (link)
		remove_result(room, link);
	else
		room->untracked_bytes = MAX(room->untracked_bytes - bytes, 0);
}

/* ---- what is not counted here ---- */

static void set_other(struct result_memory *room, int64_t bytes)
{
	room->untracked_bytes = MAX(bytes, 0);
	room->untracked_until_us = now(room) + room->options.result_ttl_us;
}

/* There is not more than that. */
static void bound_other(struct result_memory *room, int64_t most_bytes)
{
	room->untracked_bytes = MIN(room->untracked_bytes, MAX(most_bytes, 0));
}

void result_memory_note_call(struct result_memory *room, int64_t all_bytes,
			     int64_t own_bytes, int64_t made_bytes,
			     bool was_short)
{
	int64_t other_bytes = all_bytes - own_bytes - made_bytes;

	if (!all_bytes)
		return;
	drop_expired(room);
	if (was_short)
		set_other(room, other_bytes);
	else
		bound_other(room, other_bytes);
}

void result_memory_note_report(struct result_memory *room, int64_t all_bytes,
			       int64_t own_bytes, int64_t least_bytes,
			       int64_t most_bytes)
{
	int64_t most_other = all_bytes - own_bytes - least_bytes;
	int64_t least_other = all_bytes - own_bytes - most_bytes;

	drop_expired(room);
	if (room->untracked_bytes < least_other)
		set_other(room, least_other);
	else
		bound_other(room, most_other);
}

int64_t result_memory_tracked_bytes(struct result_memory *room)
{
	drop_expired(room);
	return room->reserved_bytes + room->held_bytes;
}

int64_t result_memory_untracked_bytes(struct result_memory *room)
{
	drop_expired(room);
	return room->untracked_bytes;
}

int64_t result_memory_used_bytes(struct result_memory *room)
{
	return result_memory_tracked_bytes(room) + room->untracked_bytes;
}
