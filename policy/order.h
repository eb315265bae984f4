/**
 * Orders: an agent tells its upstream which model to serve.
 *
 * Only one agent may order at a time. Before its first order an agent takes a
 * fence, an increasing number, from the KV and sends it with each order.
 * Upstreams that check the fence refuse orders of an older agent. For the
 * others, the agents keep apart by time: an agent orders only for a bounded
 * time after it saw its own fence as the current one in the KV, and a new agent
 * first waits for that time.
 *
 * Pure: events and the clock in, actions out through struct order_ops. Times
 * are in microseconds on the clock of order_options.
 */
#ifndef ORDER_H
#define ORDER_H

#include "base/lp_clock.h"

#include <stdbool.h>

struct order;

struct order_ops {
	/** Take a fence from the KV; order_fence_taken() must follow. */
	void (*take_fence)(void *userdata);
	/** Read the KV's current fence; order_fence_checked() must follow. */
	void (*check_fence)(void *userdata);
	/** Send the order; order_finished() must follow. */
	void (*send)(void *userdata, int64_t fence, const char *model);
};

struct order_options {
	const struct lp_clock *clock;
	const struct order_ops *ops;
	void *userdata;
};

/** The result of an order. */
enum order_result {
	ORDER_ACCEPTED,
	ORDER_FAILED,	     /**< maybe not accepted: sent again */
	ORDER_REFUSED_FENCE, /**< the upstream has seen a higher fence */
};

struct order *order_create(const struct order_options *options);
void order_destroy(struct order *order);
/**
 * Set the model to serve ("" or NULL: none is ordered), whether the upstream
 * checks fences, and for how long a sent order may still take effect.
 */
void order_set_target(struct order *order, const char *model, bool checks_fence,
		      int64_t timeout_us);
/** The fence taken from the KV; 0 if the KV was unreachable. */
void order_fence_taken(struct order *order, int64_t fence);
/** Whether the KV answered, and if so whether this agent's fence is current. */
void order_fence_checked(struct order *order, bool answered, bool current);
/** The result of the order that was sent. */
void order_finished(struct order *order, enum order_result result);
/** Take the next step that is due. */
void order_tick(struct order *order);
/** The model of the last order that the upstream accepted, or "". */
const char *order_active_model(const struct order *order);
int64_t order_fence(const struct order *order);
/** Whether a newer agent took over; this agent then orders nothing more. */
bool order_superseded(const struct order *order);

#endif
