#include "policy/order.h"

#include <glib.h>

#define RETRY_US (1 * LP_US_PER_S)
/* Of the time an order may act: confirming, then sending, fit twice. */
#define VALIDITY_DIVISOR 3

enum state {
	IDLE,	    /* nothing wanted */
	FENCING,    /* asked for a number */
	WAITING,    /* the predecessor may still act */
	CONFIRMING, /* asked whether the number is still ours */
	READY,
	ORDERING,
	SUPERSEDED,
};

struct order {
	struct order_options options;
	char *model;
	char *active_model;
	bool upstream_checks_fence;
	int64_t timeout_us;
	enum state state;
	int64_t fence;
	int64_t wait_until_us;
	int64_t check_started_us; /* when the confirmation was asked for */
	int64_t confirmed_us;	  /* our number stood then; 0: not yet */
	int64_t not_before_us;	  /* nothing is tried before */
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

static bool is_due(const struct order *order)
{
	return *order->model && g_strcmp0(order->model, order->active_model);
}

void order_set_target(struct order *order, const char *model, bool checked,
		      int64_t timeout_us)
{
	g_free(order->model);
	order->model = g_strdup(model ? model : "");
	order->upstream_checks_fence = checked;
	order->timeout_us = timeout_us;
}

void order_fence_taken(struct order *order, int64_t fence)
{
	if (order->state != FENCING)
		return;
	if (!fence) {
		order->state = IDLE;
		order->not_before_us = now_us(order) + RETRY_US;
		return;
	}
	order->fence = fence;
	order->state = WAITING;
	order->wait_until_us = now_us(order);
	if (!order->upstream_checks_fence)
		order->wait_until_us += order->timeout_us;
}

void order_fence_checked(struct order *order, bool asked, bool ours)
{
	if (order->state != CONFIRMING)
		return;
	if (!asked) {
		order->state = READY;
		order->not_before_us = now_us(order) + RETRY_US;
	} else if (ours) {
		order->state = READY;
		order->confirmed_us = order->check_started_us;
	} else {
		order->state = SUPERSEDED;
	}
}

void order_finished(struct order *order, enum order_result end)
{
	if (order->state != ORDERING)
		return;
	order->state = READY;
	if (end == ORDER_REFUSED_FENCE) {
		order->state = SUPERSEDED;
	} else if (end == ORDER_ACCEPTED) {
		g_free(order->active_model);
		order->active_model = g_strdup(order->model);
	} else {
		order->not_before_us = now_us(order) + RETRY_US;
	}
}

/*
 * An upstream that ignores numbers gets an order only shortly after our
 * number was seen to stand: a process that stood still confirms again.
 */
static bool is_fence_fresh(const struct order *order)
{
	int64_t valid_us = order->timeout_us / VALIDITY_DIVISOR;

	return order->upstream_checks_fence ||
	       (order->confirmed_us &&
		now_us(order) - order->confirmed_us < valid_us);
}

static void take_fence(struct order *order)
{
	order->state = FENCING;
	order->options.ops->take_fence(order->options.userdata);
}

static void confirm(struct order *order)
{
	order->state = CONFIRMING;
	order->check_started_us = now_us(order);
	order->options.ops->check_fence(order->options.userdata);
}

void order_tick(struct order *order)
{
	int64_t now = now_us(order);

	if (!is_due(order) || now < order->not_before_us)
		return;
	if (order->state == WAITING && now >= order->wait_until_us)
		order->state = READY;
	if (order->state == IDLE) {
		take_fence(order);
	} else if (order->state == READY && !is_fence_fresh(order)) {
		confirm(order);
	} else if (order->state == READY) {
		order->state = ORDERING;
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
