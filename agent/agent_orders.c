#include "agent/agent_orders.h"

#include "base/lp_json.h"
#include "base/lp_log.h"
#include "policy/order.h"

#include <string.h>

#define FENCE_PREFIX "linepier/fence/"
#define DEFAULT_TIMEOUT_MS 10000
#define SEND_TIMEOUT_US (2 * LP_US_PER_S)
#define STATUS_STALE_FENCE 412 /* precondition failed: outdated fence */

struct agent_orders {
	struct node *node;
	struct order *order;
	struct store_http *http;
	char *key;
	char *fence_value; /* this process's incarnation in hexadecimal */
};

/* ---- the fence ---- */

static const struct store_pair *own_pair(const struct agent_orders *orders,
					 const struct store_answer *answer)
{
	if (answer->error || !answer->pairs_count ||
	    strcmp(answer->pairs[0].value, orders->fence_value) != 0)
		return NULL;
	return &answer->pairs[0];
}

static void on_fence_read(void *userdata, const struct store_answer *answer)
{
	struct agent_orders *orders = userdata;
	const struct store_pair *pair = own_pair(orders, answer);

	order_fence_taken(orders->order, pair ? pair->mod_revision : 0);
	if (pair)
		lp_log(LP_LOG_INFO, "agent", NULL,
		       "fencing number %" G_GINT64_FORMAT,
		       (gint64)pair->mod_revision);
}

/* The outcome of the write is read from the KV, also after an error. */
static void on_fence_written(void *userdata, const struct store_answer *answer)
{
	struct agent_orders *orders = userdata;
	struct store_kv *kv = node_kv(orders->node);

	kv->ops->range(kv, "fence", orders->key, false, on_fence_read, orders);
}

static void acquire_fence(void *userdata)
{
	struct agent_orders *orders = userdata;
	struct store_kv *kv = node_kv(orders->node);
	const struct store_put put = { orders->key, orders->fence_value, 0 };
	const struct store_txn txn = { .puts = &put, .puts_count = 1 };

	kv->ops->txn(kv, "fence", &txn, on_fence_written, orders);
}

static void on_fence_checked(void *userdata, const struct store_answer *answer)
{
	struct agent_orders *orders = userdata;
	bool ours = own_pair(orders, answer);

	order_fence_checked(orders->order, !answer->error, ours);
	if (!answer->error && !ours)
		lp_log(LP_LOG_WARN, "agent", NULL,
		       "superseded: another incarnation holds the fence");
}

static void check_fence(void *userdata)
{
	struct agent_orders *orders = userdata;
	struct store_kv *kv = node_kv(orders->node);

	kv->ops->range(kv, "fence_check", orders->key, false, on_fence_checked,
		       orders);
}

/* ---- the order ---- */

static void on_order_answer(void *userdata,
			    const struct store_http_answer *answer)
{
	struct agent_orders *orders = userdata;
	enum order_result result = ORDER_FAILED;

	if (!answer->error && answer->status == SOUP_STATUS_OK)
		result = ORDER_ACCEPTED;
	else if (!answer->error && answer->status == STATUS_STALE_FENCE)
		result = ORDER_REFUSED_FENCE;
	order_finished(orders->order, result);
	lp_log(LP_LOG_INFO, "agent", NULL, "order: %s",
	       result == ORDER_ACCEPTED ? "taken"
	       : result == ORDER_REFUSED_FENCE
		       ? "rejected: fencing number outdated"
		       : "failed");
}

static void send_order(void *userdata, int64_t fence, const char *model)
{
	struct agent_orders *orders = userdata;
	g_autofree char *url =
		g_strconcat(node_settings(orders->node)->upstream_url,
			    "/admin/v1/orders", NULL);
	g_autofree char *body =
		g_strdup_printf("{\"order\":\"load_model\",\"model\":\"%s\","
				"\"fence\":%" G_GINT64_FORMAT "}",
				model, (gint64)fence);
	const struct store_http_request request = {
		.method = "POST",
		.url = url,
		.body = body,
		.timeout_us = SEND_TIMEOUT_US,
		.done = on_order_answer,
		.userdata = orders,
	};

	store_http_send(orders->http, &request);
}

static const struct order_ops order_ops = { acquire_fence, check_fence,
					    send_order };

/* ---- lifecycle ---- */

struct agent_orders *agent_orders_create(struct node *node)
{
	struct agent_orders *orders = g_new0(struct agent_orders, 1);
	const struct order_options options = {
		.clock = node_clock(node),
		.ops = &order_ops,
		.userdata = orders,
	};

	orders->node = node;
	orders->order = order_create(&options);
	orders->http = store_http_create(
		&(struct store_http_options){ .connections = 1 });
	orders->key =
		g_strconcat(FENCE_PREFIX, node_settings(node)->host, NULL);
	orders->fence_value = g_strdup_printf("%" G_GINT64_MODIFIER "x",
					      node_incarnation(node));
	return orders;
}

void agent_orders_destroy(struct agent_orders *orders)
{
	if (!orders)
		return;
	store_http_destroy(orders->http);
	order_destroy(orders->order);
	g_free(orders->key);
	g_free(orders->fence_value);
	g_free(orders);
}

void agent_orders_configured(struct agent_orders *orders,
			     const struct cfg_service *service)
{
	int64_t timeout_ms = service->order_timeout_ms
				     ? service->order_timeout_ms
				     : DEFAULT_TIMEOUT_MS;

	order_set_target(orders->order, service->model,
			 service->fencing == CFG_FENCING_CHECKED,
			 timeout_ms * LP_US_PER_MS);
}

void agent_orders_tick(struct agent_orders *orders)
{
	order_tick(orders->order);
}

void agent_orders_status(const struct agent_orders *orders,
			 JsonBuilder *builder)
{
	lp_json_text(builder, "model", order_active_model(orders->order));
	lp_json_int(builder, "fence", order_fence(orders->order));
	lp_json_bool(builder, "superseded", order_superseded(orders->order));
}
