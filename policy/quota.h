/**
 * Fleet-wide rate limits of organisations, by leased shares.
 *
 * For each organisation one entry (rendezvous over the host list) holds the
 * quota and divides it by the demand that the others report; a share is
 * valid for a lease. An entry that cannot reach the holder falls back to a
 * static share, rate / entries, so the limit holds without agreement.
 */
#ifndef QUOTA_H
#define QUOTA_H

#include "base/lp_clock.h"

#include <stdbool.h>

/* ---- the holder's side ---- */

struct quota_holder;

struct quota_holder *quota_holder_create(const struct lp_clock *clock);
void quota_holder_destroy(struct quota_holder *holder);
/**
 * An entry reports its demand; the answer is its share (per second) of
 * `rate`, valid for `*lease_us`.
 */
double quota_holder_grant(struct quota_holder *holder, const char *organisation,
			  const char *entry, double demand_per_s, double rate,
			  int64_t *lease_us);
/** Shares given out now for an organisation, summed. */
double quota_holder_granted_total(struct quota_holder *holder,
				  const char *organisation);

/* ---- an entry's side ---- */

struct quota;

struct quota_options {
	const struct lp_clock *clock;
	/** Ask the holder of this organisation's quota for a share. */
	void (*request_share)(void *userdata, const char *organisation,
			      double demand_per_s);
	void *userdata;
};

struct quota *quota_create(const struct quota_options *options);
void quota_destroy(struct quota *quota);
/**
 * May a request of this organisation pass? `rate` is its fleet-wide limit
 * (0: none), `entries` how many entries there are. On false `*retry_us` says
 * when to come back.
 */
bool quota_take(struct quota *quota, const char *organisation, uint32_t rate,
		uint32_t entries, int64_t *retry_us);
void quota_apply_grant(struct quota *quota, const char *organisation,
		       double rate_per_s, int64_t lease_us);
/** Ask for shares that are due. */
void quota_tick(struct quota *quota);

#endif
