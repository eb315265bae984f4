/**
 * Whether an engine runs more requests than its share of the service's, by
 * capacity. A decode step takes longer with each request that runs, so an
 * engine with too many of them delays the events of all.
 */
#ifndef ENGINE_BALANCE_H
#define ENGINE_BALANCE_H

#include <stdbool.h>
#include <stdint.h>

/** Sums over the engines among which a request is placed; initially zero. */
struct engine_balance {
	double capacity;
	uint32_t running;
};

/** Relative capacity of an engine that takes `slowness` times as long as is
 * expected of its service. */
double engine_capacity(uint32_t slots, double slowness);
void engine_balance_add(struct engine_balance *balance, double capacity,
			uint32_t running);
/** Whether one more request would put an engine above its share. */
bool engine_balance_is_exceeded(const struct engine_balance *balance,
				double capacity, uint32_t running);

#endif
