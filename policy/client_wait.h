/**
 * Estimate of how long a client has already waited in earlier tries when its
 * request arrives.
 *
 * A client whose request was refused, or whose entry terminated, sends a new
 * request that gives only the remaining part of its timeout. The time that it
 * has waited before still counts towards its latency: such a request is late
 * sooner than a first try and must not precede requests that can still be on
 * time.
 *
 * Clients of a route usually have one timeout, or one of a few. A timeout that
 * occurs often is taken as that of a first try. A rare one is taken as the
 * remainder of the next longer frequent one. If all timeouts differ, nothing is
 * estimated.
 */
#ifndef CLIENT_WAIT_H
#define CLIENT_WAIT_H

#include <stdint.h>

/** Most recent requests of a route that are kept: those of some seconds. */
#define CLIENT_WAIT_SAMPLES 64

/** Timeouts of the clients of one route; initially all zero. */
struct client_wait {
	int32_t samples[CLIENT_WAIT_SAMPLES]; /**< private: in steps */
	uint32_t next_sample;		      /**< private */
};

/**
 * Record a request with the remaining timeout `left_us`. Returns the estimated
 * time that its client has waited before; 0: a first try, or unknown.
 */
int64_t client_wait_elapsed_us(struct client_wait *wait, int64_t left_us);

#endif
