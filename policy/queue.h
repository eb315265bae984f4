/**
 * An agent's queue of calls: weighted fair between organisations, earliest
 * deadline first within each.
 *
 * Start-time fair queueing: an organisation's virtual time advances by 1 /
 * weight for each call taken, and the organisation with the smallest virtual
 * time is served next. Both orders are balanced trees, so each operation is
 * logarithmic. The queue borrows its items; the caller owns them.
 */
#ifndef QUEUE_H
#define QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct queue;

/** Embedded in the queued object; must stay valid while it is queued. */
struct queue_item {
	int64_t deadline_us; /**< on any clock, the same for all items */
	void *owner;	     /**< the caller's data */
	/* private */
	struct queue_org *org;
	GSequenceIter *position;
};

/** `fifo`: first in, first out over all organisations, as a baseline. */
struct queue *queue_create(bool fifo);
void queue_destroy(struct queue *queue);
/** Add an item. `weight` applies if the organisation has no items queued. */
void queue_push(struct queue *queue, struct queue_item *item,
		const char *organisation, uint32_t weight);
/** Remove and return the next item; NULL if the queue is empty. */
struct queue_item *queue_pop(struct queue *queue);
/** Remove an item, which must be queued. */
void queue_remove(struct queue *queue, struct queue_item *item);
bool queue_item_is_queued(const struct queue_item *item);
uint32_t queue_length(const struct queue *queue);
/** Queued items of one organisation. */
uint32_t queue_org_length(const struct queue *queue, const char *organisation);
/**
 * How many queued items would be served before a new one of this organisation;
 * at most the queue's length.
 */
double queue_calls_ahead(const struct queue *queue, const char *organisation,
			 uint32_t weight);

#endif
