/** The admin interface of a process. Private to node/. */
#ifndef NODE_ADMIN_H
#define NODE_ADMIN_H

#include "node/node.h"

/** What the admin interface shows and does. */
struct node_admin_options {
	const char *address; /**< IP:PORT */
	struct node *node;
	void (*metrics)(void *userdata, GString *out);
	void (*status)(void *userdata, JsonBuilder *builder);
	const char *(*unready)(void *userdata);
	/** Readiness is answered to this IP address. */
	void (*probed)(void *userdata, const char *prober);
	void *userdata;
};

struct node_admin;

int node_admin_create(const struct node_admin_options *options,
		      struct node_admin **out, char **why);
void node_admin_destroy(struct node_admin *admin);

#endif
