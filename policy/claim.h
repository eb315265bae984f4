/**
 * Claims: who owns an idempotency key of a caller's own making.
 *
 * Pure. A claim is a create-if-absent in the KV. Claims that arrive while a
 * write is in flight join the next one, so writes are bounded by round
 * trips, not by requests. A write whose answer was lost is tried again; a
 * claim that then stands with our own value is ours. All claims of a batch
 * are settled one by one when some of them already exist.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "base/lp_clock.h"
#include "base/lp_error.h"

struct claims;

/** Most claims of one write: the KV's limit on a transaction's operations. */
#define CLAIM_BATCH_MAX 100

/** One claim in a batch. Strings belong to the claims. */
struct claim_item {
	const char *key;
	const char *owner; /**< the value to write */
};

struct claims_ops {
	/**
	 * Create all keys, if none exists; else read those that do. Answer
	 * with claims_write_done().
	 */
	void (*write)(void *userdata, const struct claim_item *items,
		      uint32_t count);
	/**
	 * A claim is settled. LP_OK: `owner` owns the key (maybe someone
	 * else). LP_ERROR_PLATFORM_DOWN: not known; nothing may run.
	 */
	void (*settled)(void *userdata, void *waiter, int error,
			const char *owner);
};

struct claims_options {
	const struct lp_clock *clock;
	const struct claims_ops *ops;
	void *userdata;
	bool naive; /**< one write a claim */
};

struct claims *claims_create(const struct claims_options *options);
/** Waiters are not called. */
void claims_destroy(struct claims *claims);
/** Claim a key until a time, after which it is PLATFORM_DOWN. */
void claims_add(struct claims *claims, const char *key, const char *owner,
		int64_t until_us, void *waiter);
/** The waiter is gone; its claim may still be written. */
void claims_remove_waiter(struct claims *claims, void *waiter);

/** A key that a failed write found. */
struct claim_found {
	const char *key;
	const char *owner;
};

/**
 * The answer to write(). error: nothing is known. `created`: all were.
 * Else `found` lists those that exist.
 */
void claims_write_done(struct claims *claims, int error, bool created,
		       const struct claim_found *found, uint32_t found_count);
void claims_tick(struct claims *claims);
uint64_t claims_writes(const struct claims *claims);

#endif
