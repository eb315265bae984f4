/**
 * Polls the number of waiting requests from an upstream's Prometheus metrics.
 *
 * Engines and some services export how many requests wait inside them. The
 * value lags, so it only adds to the agent's own estimate. An upstream without
 * this metric is polled at a longer interval.
 */
#ifndef AGENT_LOAD_H
#define AGENT_LOAD_H

#include <stdint.h>

struct agent_load;

struct agent_load_options {
	const char *url; /**< of the upstream */
	/** Receives the number of requests waiting inside the upstream. */
	void (*waiting)(void *userdata, uint32_t waiting);
	void *userdata;
};

/** Sends the first poll at once. */
struct agent_load *agent_load_create(const struct agent_load_options *options);
void agent_load_destroy(struct agent_load *load);
/** The sum of a metric over its labels; -1 if the text has none. */
double agent_load_parse(const char *text, const char *metric);

#endif
