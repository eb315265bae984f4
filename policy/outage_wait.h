/**
 * Retry-After of refusals for want of something whose return cannot be
 * predicted, such as a configuration or the upstreams of a service while the
 * key-value service is away.
 *
 * Guards against an outage of some seconds in which all callers are refused
 * with a short wait: they spend their only retry while the outage lasts, and
 * are refused again. An outage is expected to last about as long again as it
 * has lasted so far, so refusals in its first moments still have a short wait.
 *
 * Pure. Times are in microseconds.
 */
#ifndef OUTAGE_WAIT_H
#define OUTAGE_WAIT_H

#include <stdint.h>

/** `lasted_us`: since the outage began, as far as is known; `hash`: of the
 * request's id, spreads the returning callers. */
int64_t outage_wait_us(int64_t lasted_us, uint64_t hash);

#endif
