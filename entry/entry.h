/**
 * The entry: takes callers' requests and runs pipelines stage by stage.
 *
 * Connects HTTP, the wire and the policy library: entry_http.c serves callers,
 * entry_request.c runs a request, entry_idempotency.c finds the owner of an
 * idempotency key, entry_peers.c manages the connections to agents and to
 * other entries.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "node/node.h"

/** Run an entry until it is shut down. Returns LP_OK or an error. */
int entry_run(const struct node_settings *settings);

#endif
