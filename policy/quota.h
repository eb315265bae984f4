/**
 * Fleet-wide rate limits of organisations, as leased shares.
 *
 * For each organisation one entry, chosen by rendezvous hashing over the host
 * list, is the quota holder: it divides the rate among the entries in
 * proportion to the demand that they report. A share is valid for a lease time.
 * An entry that cannot reach the holder falls back to a static share, rate /
 * entries, so that the limit holds without coordination. Rates and demands are
 * requests per second, times are in microseconds.
 */
#ifndef QUOTA_H
#define QUOTA_H

#include "base/lp_clock.h"

#include <stdbool.h>

/* ---- the quota holder ---- */

struct quota_holder;

struct quota_holder *quota_holder_create(const struct lp_clock *clock);
void quota_holder_destroy(struct quota_holder *holder);
/**
 * Grant an entry a share of `rate` for its reported demand; the result is
 * valid for `*lease_us`. The unexpired shares never sum to more than `rate`.
 */
double quota_holder_grant(struct quota_holder *holder, const char *organisation,
			  const char *entry, double demand_per_s, double rate,
			  int64_t *lease_us);
/** The sum of an organisation's unexpired shares. */
double quota_holder_granted_total(struct quota_holder *holder,
				  const char *organisation);

/* ---- an entry's quota ---- */

struct quota;

struct quota_options {
	const struct lp_clock *clock;
	/** Send a share request to the organisation's quota holder. */
	void (*request_share)(void *userdata, const char *organisation,
			      double demand_per_s);
	void *userdata;
};

struct quota *quota_create(const struct quota_options *options);
void quota_destroy(struct quota *quota);
/**
 * Take a token for a request of this organisation. `rate` is its fleet-wide
 * limit (0: none), `entries` the number of entries. If the limit is reached the
 * result is false and `*retry_us` the time until the next token.
 */
bool quota_take(struct quota *quota, const char *organisation, uint32_t rate,
		uint32_t entries, int64_t *retry_us);
/** Apply the quota holder's answer to a share request. */
void quota_apply_grant(struct quota *quota, const char *organisation,
		       double rate_per_s, int64_t lease_us);
/** Request the shares that are due; drop organisations without requests. */
void quota_tick(struct quota *quota);

#endif
