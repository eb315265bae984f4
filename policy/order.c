#include "policy/order.h"

#include <glib.h>

#define RETRY_US (1 * LP_US_PER_S)
/*
 * A check of the fence is valid for this part (1 / 3) of the time that an order
 * may take effect, so that checking and sending fit into it twice.
 */
#define VALIDITY_DIVISOR 3

enum order_state {
	NO_FENCE,		 /* no fence taken yet */
	TAKING_FENCE,		 /* taking a fence from the KV */
	WAITING_FOR_PREDECESSOR, /* its last order may still act */
	CHECKING_FENCE,		 /* checking the fence in the KV */
	READY,
	SENDING_ORDER,
	SUPERSEDED,
};

struct order {
	struct order_options options;
	char *model;
	char *active_model;
	bool upstream_checks_fence;
	int64_t timeout_us;
	enum order_state state;
	int64_t fence;
	int64_t wait_until_us;
	int64_t check_started_us; /* when the fence check was sent */
	int64_t confirmed_us; /* sending time of the last good check; 0: none */
	int64_t not_before_us; /* earliest time of the next step */
};

struct order *order_create(const struct order_options *options)
{
	struct order *order = g_new0(struct order, 1);

	order->options = *options;
	order->model = g_strdup("");
	order->active_model = g_strdup("");
	return order;
}

void order_destroy(struct order *order)
{
	if (!order)
		return;
	g_free(order->model);
	g_free(order->active_model);
	g_free(order);
}

static int64_t now_us(const struct order *order)
{
	return lp_now_us(order->options.clock);
}

static bool is_order_due(const struct order *order)
{
	return *order->model && g_strcmp0(order->model, order->active_model);
}

void order_set_target(struct order *order, const char *model, bool checks_fence,
		      int64_t timeout_us)
{
	g_free(order->model);
	order->model = g_strdup(model ? model : "");
	order->upstream_checks_fence = checks_fence;
	order->timeout_us = timeout_us;
}

void order_fence_taken(struct order *order, int64_t fence)
{
	if (order->state != TAKING_FENCE)
		return;
	if (!fence) {
		order->state = NO_FENCE;
		order->not_before_us = now_us(order) + RETRY_US;
		return;
	}
	order->fence = fence;
	order->state = WAITING_FOR_PREDECESSOR;
	order->wait_until_us = now_us(order);
	if (!order->upstream_checks_fence)
		order->wait_until_us += order->timeout_us;
}

void order_fence_checked(struct order *order, bool answered, bool current)
{
	if (order->state != CHECKING_FENCE)
		return;
	if (!answered) {
		order->state = READY;
		order->not_before_us = now_us(order) + RETRY_US;
	} else if (current) {
		order->state = READY;
		order->confirmed_us = order->check_started_us;
	} else {
		order->state = SUPERSEDED;
	}
}

void order_finished(struct order *order, enum order_result result)
{
	if (order->state != SENDING_ORDER)
		return;
	order->state = READY;
	if (result == ORDER_REFUSED_FENCE) {
		order->state = SUPERSEDED;
	} else if (result == ORDER_ACCEPTED) {
		g_free(order->active_model);
		order->active_model = g_strdup(order->model);
	} else {
		order->not_before_us = now_us(order) + RETRY_US;
	}
}

/*
 * An upstream that ignores fences gets an order only shortly after this agent's
 * fence was seen as current. An agent that was suspended checks it again.
 */
static bool may_send_order(const struct order *order)
{
	int64_t valid_us = order->timeout_us / VALIDITY_DIVISOR;

	return order->upstream_checks_fence ||
	       (order->confirmed_us &&
		now_us(order) - order->confirmed_us < valid_us);
}

static void take_fence(struct order *order)
{
	order->state = TAKING_FENCE;
	order->options.ops->take_fence(order->options.userdata);
}

static void check_fence(struct order *order)
{
	order->state = CHECKING_FENCE;
	order->check_started_us = now_us(order);
	order->options.ops->check_fence(order->options.userdata);
}

void order_tick(struct order *order)
{
	int64_t now = now_us(order);

	if (!is_order_due(order) || now < order->not_before_us)
		return;
	if (order->state == WAITING_FOR_PREDECESSOR &&
	    now >= order->wait_until_us)
		order->state = READY;
	if (order->state == NO_FENCE) {
		take_fence(order);
	} else if (order->state == READY && !may_send_order(order)) {
		check_fence(order);
	} else if (order->state == READY) {
		order->state = SENDING_ORDER;
		order->options.ops->send(order->options.userdata, order->fence,
					 order->model);
	}
}

const char *order_active_model(const struct order *order)
{
	return order->active_model;
}

int64_t order_fence(const struct order *order)
{
	return order->fence;
}

bool order_superseded(const struct order *order)
{
	return order->state == SUPERSEDED;
}
