#include "policy/queue.h"

#define ORGS_MAX 1024 /* above this, organisations without items are freed */

struct queue_org {
	char *name;
	uint32_t weight;
	double virtual_time;
	GSequence *items;	 /* by deadline */
	GSequenceIter *position; /* in queue->active; NULL if no items */
};

struct queue {
	bool fifo;
	double virtual_time;
	uint64_t pushed;
	uint32_t length;
	double active_weight;
	GHashTable *orgs;  /* name to queue_org */
	GSequence *active; /* by virtual time */
};

static void free_org(gpointer data)
{
	struct queue_org *org = data;

	g_sequence_free(org->items);
	g_free(org->name);
	g_free(org);
}

struct queue *queue_create(bool fifo)
{
	struct queue *queue = g_new0(struct queue, 1);

	queue->fifo = fifo;
	queue->orgs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_org);
	queue->active = g_sequence_new(NULL);
	return queue;
}

void queue_destroy(struct queue *queue)
{
	if (!queue)
		return;
	g_sequence_free(queue->active);
	g_hash_table_unref(queue->orgs);
	g_free(queue);
}

static int compare_virtual_times(gconstpointer a, gconstpointer b,
				 gpointer userdata)
{
	const struct queue_org *left = a;
	const struct queue_org *right = b;

	return (left->virtual_time > right->virtual_time) -
	       (left->virtual_time < right->virtual_time);
}

static int compare_deadlines(gconstpointer a, gconstpointer b,
			     gpointer userdata)
{
	const struct queue_item *left = a;
	const struct queue_item *right = b;

	return (left->deadline_us > right->deadline_us) -
	       (left->deadline_us < right->deadline_us);
}

static gboolean is_idle(gpointer key, gpointer value, gpointer userdata)
{
	const struct queue_org *org = value;

	return !org->position;
}

static struct queue_org *get_org(struct queue *queue, const char *name)
{
	struct queue_org *org = g_hash_table_lookup(queue->orgs, name);

	if (org)
		return org;
	if (g_hash_table_size(queue->orgs) > ORGS_MAX)
		g_hash_table_foreach_remove(queue->orgs, is_idle, NULL);
	org = g_new0(struct queue_org, 1);
	org->name = g_strdup(name);
	org->weight = 1;
	org->items = g_sequence_new(NULL);
	g_hash_table_insert(queue->orgs, org->name, org);
	return org;
}

static void activate(struct queue *queue, struct queue_org *org)
{
	org->virtual_time = MAX(org->virtual_time, queue->virtual_time);
	org->position = g_sequence_insert_sorted(queue->active, org,
						 compare_virtual_times, NULL);
	queue->active_weight += org->weight;
}

static void deactivate(struct queue *queue, struct queue_org *org)
{
	g_sequence_remove(org->position);
	org->position = NULL;
	queue->active_weight -= org->weight;
}

void queue_push(struct queue *queue, struct queue_item *item,
		const char *organisation, uint32_t weight)
{
	struct queue_org *org = get_org(queue, queue->fifo ? "" : organisation);

	if (!org->position)
		org->weight = MAX(1, weight);
	item->org = org;
	if (queue->fifo)
		item->position = g_sequence_append(org->items, item);
	else
		item->position = g_sequence_insert_sorted(
			org->items, item, compare_deadlines, NULL);
	queue->length += 1;
	if (!org->position)
		activate(queue, org);
}

void queue_remove(struct queue *queue, struct queue_item *item)
{
	struct queue_org *org = item->org;

	g_sequence_remove(item->position);
	item->position = NULL;
	item->org = NULL;
	queue->length -= 1;
	if (g_sequence_is_empty(org->items))
		deactivate(queue, org);
}

struct queue_item *queue_pop(struct queue *queue)
{
	GSequenceIter *first = g_sequence_get_begin_iter(queue->active);
	struct queue_org *org;
	struct queue_item *item;

	if (g_sequence_iter_is_end(first))
		return NULL;
	org = g_sequence_get(first);
	item = g_sequence_get(g_sequence_get_begin_iter(org->items));
	queue->virtual_time = org->virtual_time;
	org->virtual_time += 1.0 / org->weight;
	queue_remove(queue, item);
	if (org->position)
		g_sequence_sort_changed(org->position, compare_virtual_times,
					NULL);
	return item;
}

bool queue_item_is_queued(const struct queue_item *item)
{
	return item->position;
}

uint32_t queue_length(const struct queue *queue)
{
	return queue->length;
}

uint32_t queue_org_length(const struct queue *queue, const char *organisation)
{
	const struct queue_org *org = g_hash_table_lookup(
		queue->orgs, queue->fifo ? "" : organisation);

	return org ? (uint32_t)g_sequence_get_length(org->items) : 0;
}

double queue_calls_ahead(const struct queue *queue, const char *organisation,
			 uint32_t weight)
{
	const struct queue_org *org =
		g_hash_table_lookup(queue->orgs, organisation);
	double own_weight = weight ? weight : 1;
	double other_weight = queue->active_weight;
	double ahead;

	if (queue->fifo || !queue->length)
		return queue->length;
	if (org && org->position)
		other_weight -= org->weight;
	ahead = queue_org_length(queue, organisation) *
			(own_weight + other_weight) / own_weight +
		other_weight / own_weight;
	return MIN(ahead, queue->length);
}
