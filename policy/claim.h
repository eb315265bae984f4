/**
 * Claims: decide in the KV which entry owns a caller's idempotency key.
 *
 * A claim is a create-if-absent of the key, with the owner as its value. Claims
 * that arrive while a write is in flight are batched into the next one, so the
 * number of writes is bounded by round trips, not by requests. A write whose
 * answer was lost is retried; a key then found with this owner's value is
 * owned. If some keys of a batch exist already, their claims are settled with
 * the stored owners and the others are written again.
 *
 * Pure: events and the clock in, actions out through struct claims_ops. Times
 * are in microseconds on the clock of claims_options.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "base/lp_clock.h"
#include "base/lp_error.h"

struct claims;

/** Maximum claims per write: the KV's limit of operations per transaction. */
#define CLAIM_BATCH_MAX 100

/** One claim of a write. Strings are owned by the claims. */
struct claim_item {
	const char *key;
	const char *owner; /**< the value to write */
};

struct claims_ops {
	/**
	 * In one transaction create all keys if none exists, else read the
	 * existing ones. claims_write_done() must follow.
	 */
	void (*write)(void *userdata, const struct claim_item *items,
		      uint32_t count);
	/**
	 * A claim is settled. LP_OK: `owner`, maybe another entry, owns the
	 * key. LP_ERROR_PLATFORM_DOWN: unknown; the request must not run.
	 */
	void (*settled)(void *userdata, void *waiter, int error,
			const char *owner);
};

struct claims_options {
	const struct lp_clock *clock;
	const struct claims_ops *ops;
	void *userdata;
	bool naive; /**< baseline: one write per claim */
};

struct claims *claims_create(const struct claims_options *options);
/** Free all claims without calling settled(). */
void claims_destroy(struct claims *claims);
/** Claim a key; unsettled at `deadline_us`, it fails with PLATFORM_DOWN. */
void claims_add(struct claims *claims, const char *key, const char *owner,
		int64_t deadline_us, void *waiter);
/** Remove a waiter without calling settled(); its claim may be written. */
void claims_remove_waiter(struct claims *claims, void *waiter);

/** An existing key that a write found, and its owner. */
struct claim_found {
	const char *key;
	const char *owner;
};

/**
 * The answer to write(). On an error the outcome of the write is unknown. Else,
 * if `created`, all keys were created; if not, none, and `found` lists the
 * existing keys.
 */
void claims_write_done(struct claims *claims, int error, bool created,
		       const struct claim_found *found, uint32_t found_count);
/** Expire claims, retry or start a write. */
void claims_tick(struct claims *claims);
/** Writes started so far. */
uint64_t claims_writes(const struct claims *claims);

#endif
