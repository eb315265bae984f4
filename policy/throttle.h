/**
 * Adaptive throttling: refuse requests at admission that agents would refuse.
 *
 * For each pair of organisation and service, the share of admitted requests
 * follows the share that agents accepted recently (decaying counts of requests
 * and accepts), so that an organisation over its share wastes no work of
 * earlier stages. Other organisations are not affected. A pair also has the
 * queueing time that the service's agents reported for calls of the
 * organisation. Times are in microseconds.
 */
#ifndef THROTTLE_H
#define THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

struct throttle;

struct throttle *throttle_create(uint64_t seed);
void throttle_destroy(struct throttle *throttle);
/** Whether to admit a request. A refusal is itself counted as an outcome. */
bool throttle_admit(struct throttle *throttle, const char *organisation,
		    const char *service, int64_t now_us);
/** Record whether an agent accepted a call or refused it for load. */
void throttle_record_outcome(struct throttle *throttle,
			     const char *organisation, const char *service,
			     bool accepted, int64_t now_us);
/** Record the queueing time that an agent reports for a new call. */
void throttle_record_wait(struct throttle *throttle, const char *organisation,
			  const char *service, int64_t wait_us, int64_t now_us);
/** The expected queueing time now; it decreases as time passes. */
int64_t throttle_wait_us(struct throttle *throttle, const char *organisation,
			 const char *service, int64_t now_us);

#endif
