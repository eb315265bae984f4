/**
 * The agent's queue: fair by weight between organisations, ordered by
 * deadline within one.
 *
 * Start-time fair queueing: each organisation has a virtual time that a
 * call taken advances by 1 / weight; the organisation with the smallest goes
 * next. Both orders are balanced trees, so each step is logarithmic.
 */
#ifndef QUEUE_H
#define QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct queue;

/** Embedded in what is queued; the queue owns none of it. */
struct queue_item {
	int64_t deadline_us;
	void *owner; /**< the caller's */
	/* private */
	struct queue_org *org;
	GSequenceIter *position;
};

/** fifo: first come, first served; the naive twin. */
struct queue *queue_create(bool fifo);
void queue_destroy(struct queue *queue);
void queue_push(struct queue *queue, struct queue_item *item,
		const char *organisation, uint32_t weight);
/** The next item, taken out; NULL when empty. */
struct queue_item *queue_pop(struct queue *queue);
/** Take out an item that waits. */
void queue_remove(struct queue *queue, struct queue_item *item);
bool queue_item_is_queued(const struct queue_item *item);
uint32_t queue_length(const struct queue *queue);
/** Calls waiting of one organisation. */
uint32_t queue_org_length(const struct queue *queue, const char *organisation);
/**
 * How many calls go before a new one of this organisation, by its share;
 * never more than all that wait.
 */
double queue_calls_ahead(const struct queue *queue, const char *organisation,
			 uint32_t weight);

#endif
