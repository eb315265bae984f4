/**
 * How long a caller has waited already when its request comes.
 *
 * A caller that was refused, or whose entry died, comes back with a new request
 * that says only how much of its time is left. What it has waited counts for
 * being late all the same: such a request is late sooner than one that has just
 * begun, and must not go before those that can still be on time.
 *
 * Callers of a route usually wait equally long, or as long as one of a few
 * kinds: a time that is given again and again is that of a first try. One that
 * is not given often is what is left of the next longer one that is. Where all
 * wait differently nothing is concluded.
 */
#ifndef CLIENT_WAIT_H
#define CLIENT_WAIT_H

#include <stdint.h>

/** Requests of one route that are remembered: some seconds' worth. */
#define CLIENT_WAIT_SAMPLES 64

/** Of the callers of one route; all zero at first. */
struct client_wait {
	int32_t samples[CLIENT_WAIT_SAMPLES]; /**< private: in steps, 0: none */
	uint32_t next_sample;		      /**< private */
};

/**
 * Note a request whose caller waits `left_us` from now on. Returns how long it
 * has waited before, about; 0: this is its first try, or nothing is known.
 */
int64_t client_wait_elapsed_us(struct client_wait *patience, int64_t left_us);

#endif
