/**
 * Refusing at the door what agents would refuse later.
 *
 * Per organisation and service, the share let in follows the share that
 * agents accepted lately (adaptive throttling: requests against accepts,
 * both fading), so that an organisation over its share wastes no work of
 * earlier stages. Others are not touched. Also kept per pair: how long a call
 * of this organisation would wait at the service's agents, as they said.
 */
#ifndef THROTTLE_H
#define THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

struct throttle;

struct throttle *throttle_create(uint64_t seed);
void throttle_destroy(struct throttle *throttle);
/** May a request be let in? A refusal counts as an outcome at once. */
bool throttle_admit(struct throttle *throttle, const char *organisation,
		    const char *service, int64_t now_us);
/** What an agent said to a call: taken, or refused for load. */
void throttle_record_outcome(struct throttle *throttle,
			     const char *organisation, const char *service,
			     bool taken, int64_t now_us);
/** An agent's word: what a new call of this organisation would wait there. */
void throttle_record_wait(struct throttle *throttle, const char *organisation,
			  const char *service, int64_t wait_us, int64_t now_us);
/** That wait now: it drains while time passes. */
int64_t throttle_wait_us(struct throttle *throttle, const char *organisation,
			 const char *service, int64_t now_us);

#endif
