/**
 * Failure domains that operators have closed to new work.
 *
 * The set carries the revision of the key-value service at which it was valid.
 * It is received from that service, as a whole or as single changes, and as a
 * whole from peers. Anything older than the known revision is ignored. Work
 * that is already running in a domain when it is closed continues.
 *
 * The first set after the service was restored from an older copy may lack
 * domains that operators have closed since, and close again: those that were
 * closed are retained until closed_domains_drop_retained().
 */
#ifndef CLOSED_DOMAINS_H
#define CLOSED_DOMAINS_H

#include "policy/store_era.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct closed_domains;

struct closed_domains *closed_domains_create(void);
void closed_domains_destroy(struct closed_domains *closed_domains);
/** Replace the set by the one at this revision. Returns whether the revision
 * was newer than the known one; otherwise nothing changes. */
bool closed_domains_replace(struct closed_domains *closed_domains,
			    const struct store_revision *revision,
			    const char *const *domains, uint32_t count);
/** Apply the next change after the known state. Changes that were made together
 * have the same revision. Returns whether the revision was not older than the
 * known one; otherwise nothing changes. */
bool closed_domains_set(struct closed_domains *closed_domains,
			const struct store_revision *revision,
			const char *domain, bool closed);
/** Whether it is closed, or retained. */
bool closed_domains_contain(const struct closed_domains *closed_domains,
			    const char *domain);
/** Whether the set was ever received, even if empty. */
bool closed_domains_is_known(const struct closed_domains *closed_domains);
const struct store_revision *
closed_domains_revision(const struct closed_domains *closed_domains);
/** Sorted names of the closed domains without retained ones, borrowed until the
 * next change. The caller owns the array: g_ptr_array_unref(). */
GPtrArray *closed_domains_list(const struct closed_domains *closed_domains);
uint32_t
closed_domains_retained_count(const struct closed_domains *closed_domains);
/** Open the domains that were retained and not closed again. */
void closed_domains_drop_retained(struct closed_domains *closed_domains);

#endif
