/**
 * Sends orders (load a model) to the upstream: policy/order.h over KV and HTTP.
 *
 * Each order carries a fence, a number by which the upstream rejects orders of
 * a superseded agent. The fence is the KV's modification revision of the key
 * linepier/fence/HOST, whose value is the incarnation that wrote it.
 */
#ifndef AGENT_ORDERS_H
#define AGENT_ORDERS_H

#include "node/node.h"

struct agent_orders;

struct agent_orders *agent_orders_create(struct node *node);
void agent_orders_destroy(struct agent_orders *orders);
/** Apply the service of the configuration in force. */
void agent_orders_configured(struct agent_orders *orders,
			     const struct cfg_service *service);
void agent_orders_tick(struct agent_orders *orders);
void agent_orders_status(const struct agent_orders *orders,
			 JsonBuilder *builder);

#endif
