/**
 * Pacing of requests to a cold upstream: one that has just started or returns
 * to service. It takes a few requests a second and fails if it gets many more.
 *
 * The bound holds for all entries together, without a message per request. The
 * owner of a service, the entry that places or dispatches for it, has most of
 * the bound (WARMUP_OWNER_SHARE). The other entries, which send only while the
 * owner is unreachable, divide WARMUP_OTHERS_SHARE among them, each with its
 * own phase.
 */
#ifndef WARMUP_H
#define WARMUP_H

#include <stdbool.h>
#include <stdint.h>

/** Share of a service's bound for its owner, ... */
#define WARMUP_OWNER_SHARE 0.75
/** ... and for all other entries together. */
#define WARMUP_OTHERS_SHARE 0.4

struct warmup_limits {
	int64_t cold_period_us; /**< 0: no bound */
	double requests_per_s;	/**< bound for all entries together */
	double own_share;	/**< this entry's share of the bound, 0 to 1 */
	bool is_owner; /**< this entry sends on behalf of all entries */
	double phase;  /**< delay of the first request, as a fraction of the
			  interval between two; 0 to 1 */
};

/** Warm-up state of one upstream; all zero: not cold. */
struct warmup {
	int64_t cold_until_us;
	int64_t next_send_us;
};

/** Begin a cold period, or extend it to `until_us`. `limits` NULL: unknown. */
void warmup_begin(struct warmup *warmup, const struct warmup_limits *limits,
		  int64_t now_us, int64_t until_us);
bool warmup_is_cold(const struct warmup *warmup, int64_t now_us);
bool warmup_may_send(const struct warmup *warmup, int64_t now_us);
/** Record that a request is sent. */
void warmup_note_sent(struct warmup *warmup, const struct warmup_limits *limits,
		      int64_t now_us);

#endif
