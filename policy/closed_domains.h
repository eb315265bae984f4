/**
 * Failure domains that operators have closed to new work.
 *
 * A belief with a revision: that of the key-value service at which it held.
 * It comes from the service, whole or change by change, and whole from peers;
 * whatever is older than what is known changes nothing. Work that runs in a
 * domain when it is closed goes on.
 */
#ifndef CLOSED_DOMAINS_H
#define CLOSED_DOMAINS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct closed_domains;

struct closed_domains *closed_domains_create(void);
void closed_domains_destroy(struct closed_domains *closures);
/** All that is closed at this revision. Returns whether it was newer than what
 * was known. */
bool closed_domains_replace(struct closed_domains *closures, int64_t revision,
			    const char *const *domains, uint32_t count);
/** One change, the next after what is known; several may have one revision, as
 * they were made together. Returns whether it was not older. */
bool closed_domains_set(struct closed_domains *closures, int64_t revision,
			const char *domain, bool closed);
bool closed_domains_contain(const struct closed_domains *closures,
			    const char *domain);
/** Whether anything is known yet: that nothing is closed, too. */
bool closed_domains_is_known(const struct closed_domains *closures);
int64_t closed_domains_revision(const struct closed_domains *closures);
/** Names of closed domains, sorted; g_ptr_array_unref(). They are borrowed
 * until the next change. */
GPtrArray *closed_domains_list(const struct closed_domains *closures);

#endif
