/**
 * How often an upstream gets a request while it is cold: one that has just
 * started, or that comes back, takes a few a second and ends under many more.
 *
 * The bound holds for all entries together, without a message a request. Who
 * places or dispatches for a service has most of it (WARMUP_OWNER_SHARE). The
 * others, who send there only while that one is not heard, divide the rest
 * among them, and each begins at a time of its own.
 */
#ifndef WARMUP_H
#define WARMUP_H

#include <stdbool.h>
#include <stdint.h>

/** Of a service's bound: for whoever sends on behalf of all entries, ... */
#define WARMUP_OWNER_SHARE 0.75
/** ... and for all the others together. */
#define WARMUP_OTHERS_SHARE 0.4

struct warmup_limits {
	int64_t cold_period_us; /**< an upstream is cold for so long; 0: no
				   bound */
	double requests_per_s;	/**< requests a second that it takes, of all */
	double own_share;	/**< of that, ours */
	bool is_owner;		/**< we send on behalf of all entries */
	double phase; /**< 0 to 1: our first one, in pauses between two */
};

/** One upstream; all zero: not cold. */
struct warmup {
	int64_t cold_until_us;
	int64_t next_send_us;
};

/** It is cold until then at the least. `limits` may be NULL: not known yet. */
void warmup_begin(struct warmup *warmup, const struct warmup_limits *limits,
		  int64_t now_us, int64_t until_us);
bool warmup_is_cold(const struct warmup *warmup, int64_t now_us);
bool warmup_may_send(const struct warmup *warmup, int64_t now_us);
/** A request is sent there. */
void warmup_note_sent(struct warmup *warmup, const struct warmup_limits *limits,
		      int64_t now_us);

#endif
