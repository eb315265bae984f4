#include "policy/room.h"

#include <glib.h>

/* A result that is kept. */
struct result {
	char *handle;
	int64_t bytes;
	int64_t until_us; /* its maker drops it then by itself */
};

struct room {
	struct room_options options;
	int64_t begun_bytes; /* of calls under way */
	int64_t kept_bytes;
	GQueue kept;	     /* of struct result, oldest first */
	GHashTable *links;   /* handle -> its GList in `kept` */
	int64_t other_bytes; /* not counted here */
	int64_t other_until_us;
};

static int64_t now(const struct room *room)
{
	return lp_now_us(room->options.clock);
}

static void free_result(gpointer data)
{
	struct result *result = data;

	g_free(result->handle);
	g_free(result);
}

struct room *room_create(const struct room_options *options)
{
	struct room *room = g_new0(struct room, 1);

	room->options = *options;
	g_queue_init(&room->kept);
	room->links = g_hash_table_new(g_str_hash, g_str_equal);
	return room;
}

void room_destroy(struct room *room)
{
	if (!room)
		return;
	g_hash_table_unref(room->links);
	g_queue_clear_full(&room->kept, free_result);
	g_free(room);
}

void room_set_linger(struct room *room, int64_t linger_us)
{
	room->options.linger_us = linger_us;
}

/* ---- results of our calls ---- */

static void remove_result(struct room *room, GList *link)
{
	struct result *result = link->data;

	room->kept_bytes -= result->bytes;
	g_hash_table_remove(room->links, result->handle);
	g_queue_delete_link(&room->kept, link);
	free_result(result);
}

static void drop_expired(struct room *room)
{
	GList *oldest = g_queue_peek_head_link(&room->kept);

	while (oldest &&
	       ((struct result *)oldest->data)->until_us <= now(room)) {
		remove_result(room, oldest);
		oldest = g_queue_peek_head_link(&room->kept);
	}
	if (room->other_until_us <= now(room))
		room->other_bytes = 0;
}

void room_begin(struct room *room, int64_t bytes)
{
	room->begun_bytes += bytes;
}

void room_not_made(struct room *room, int64_t bytes)
{
	room->begun_bytes -= bytes;
}

void room_made(struct room *room, const char *handle, int64_t bytes)
{
	struct result *result;

	room->begun_bytes -= bytes;
	if (g_hash_table_contains(room->links, handle))
		return;
	result = g_new0(struct result, 1);
	result->handle = g_strdup(handle);
	result->bytes = bytes;
	result->until_us = now(room) + room->options.linger_us;
	g_queue_push_tail(&room->kept, result);
	g_hash_table_insert(room->links, result->handle,
			    g_queue_peek_tail_link(&room->kept));
	room->kept_bytes += bytes;
}

void room_given_up(struct room *room, const char *handle, int64_t bytes)
{
	GList *link = g_hash_table_lookup(room->links, handle);

	if (link)
		remove_result(room, link);
	else
		room->other_bytes = MAX(room->other_bytes - bytes, 0);
}

/* ---- what is not counted here ---- */

static void set_other(struct room *room, int64_t bytes)
{
	room->other_bytes = MAX(bytes, 0);
	room->other_until_us = now(room) + room->options.linger_us;
}

/* There is not more than that. */
static void bound_other(struct room *room, int64_t most_bytes)
{
	room->other_bytes = MIN(room->other_bytes, MAX(most_bytes, 0));
}

void room_learn(struct room *room, int64_t all_bytes, int64_t own_bytes,
		int64_t made_bytes, bool was_short)
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

void room_told(struct room *room, int64_t all_bytes, int64_t own_bytes,
	       int64_t least_bytes, int64_t most_bytes)
{
	int64_t most_other = all_bytes - own_bytes - least_bytes;
	int64_t least_other = all_bytes - own_bytes - most_bytes;

	drop_expired(room);
	if (room->other_bytes < least_other)
		set_other(room, least_other);
	else
		bound_other(room, most_other);
}

int64_t room_own_bytes(struct room *room)
{
	drop_expired(room);
	return room->begun_bytes + room->kept_bytes;
}

int64_t room_other_bytes(struct room *room)
{
	drop_expired(room);
	return room->other_bytes;
}

int64_t room_taken_bytes(struct room *room)
{
	return room_own_bytes(room) + room->other_bytes;
}
