/**
 * Orders to an upstream (which model to serve), given by its agent alone.
 *
 * Pure. An agent takes a fencing number from the KV before its first order
 * and sends it with each. Upstreams that check the number refuse an older
 * agent's order. For those that ignore it the agent itself keeps apart from
 * its predecessor: every agent orders only for a bounded time after it saw
 * its own number stand in the KV, and a new one waits that time out first.
 */
#ifndef ORDER_H
#define ORDER_H

#include "base/lp_clock.h"

#include <stdbool.h>

struct order;

struct order_ops {
	/** Take a number; answer with order_fence_taken(). */
	void (*take_fence)(void *userdata);
	/** Is our number still the one? Answer with order_fence_checked(). */
	void (*check_fence)(void *userdata);
	/** Give the order; answer with order_finished(). */
	void (*send)(void *userdata, int64_t fence, const char *model);
};

struct order_options {
	const struct lp_clock *clock;
	const struct order_ops *ops;
	void *userdata;
};

/** What became of an order. */
enum order_result {
	ORDER_ACCEPTED,
	ORDER_FAILED,	     /**< not known to be taken: ordered again */
	ORDER_REFUSED_FENCE, /**< the upstream has seen a higher number */
};

struct order *order_create(const struct order_options *options);
void order_destroy(struct order *order);
/**
 * What the upstream is to serve ("" or NULL: nothing is ordered), whether
 * it checks numbers, and how long an order may still act.
 */
void order_set_target(struct order *order, const char *model, bool checked,
		      int64_t timeout_us);
/** Our number, 0 if the KV could not be asked. */
void order_fence_taken(struct order *order, int64_t fence);
void order_fence_checked(struct order *order, bool asked, bool ours);
void order_finished(struct order *order, enum order_result end);
void order_tick(struct order *order);
/** The model last taken by the upstream from us, or "". */
const char *order_active_model(const struct order *order);
int64_t order_fence(const struct order *order);
/** A successor has taken over; this agent orders nothing any more. */
bool order_superseded(const struct order *order);

#endif
