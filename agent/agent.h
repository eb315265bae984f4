/**
 * The agent: a process beside each upstream, through which all its calls pass.
 *
 * Connects the wire, policy/worker.h and agent_upstream.h; queueing and
 * admission are decided in policy/worker.h.
 */
#ifndef AGENT_H
#define AGENT_H

#include "node/node.h"

/** Run an agent until it is shut down. Returns LP_OK or an error. */
int agent_run(const struct node_settings *settings);

#endif
