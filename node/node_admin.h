/** HTTP admin interface: metrics, probes, status, explain, drain. Private to
 * node/. */
#ifndef NODE_ADMIN_H
#define NODE_ADMIN_H

#include "node/node.h"

/** Address and callbacks of the admin interface. */
struct node_admin_options {
	const char *address; /**< IP:PORT */
	struct node *node;
	void (*metrics)(void *userdata, GString *out);
	void (*status)(void *userdata, JsonBuilder *builder);
	const char *(*unready_reason)(void *userdata);
	/** `prober`, an IP address, gets the answer to a readiness probe. */
	void (*probed)(void *userdata, const char *prober);
	void *userdata;
};

struct node_admin;

int node_admin_create(const struct node_admin_options *options,
		      struct node_admin **out, char **why);
void node_admin_destroy(struct node_admin *admin);

#endif
