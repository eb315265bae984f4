/**
 * Failure domains that operators have closed to new work.
 *
 * A belief with a revision: that of the key-value service at which it held.
 * It comes from the service, whole or change by change, and whole from peers;
 * whatever is older than what is known changes nothing. Work that runs in a
 * domain when it is closed goes on.
 */
#ifndef CLOSURES_H
#define CLOSURES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct closures;

struct closures *closures_create(void);
void closures_destroy(struct closures *closures);
/** All that is closed at this revision. Returns whether it was newer than what
 * was known. */
bool closures_set_all(struct closures *closures, int64_t revision,
		      const char *const *domains, uint32_t count);
/** One change, the next after what is known; several may have one revision, as
 * they were made together. Returns whether it was not older. */
bool closures_set(struct closures *closures, int64_t revision,
		  const char *domain, bool closed);
bool closures_has(const struct closures *closures, const char *domain);
/** Whether anything is known yet: that nothing is closed, too. */
bool closures_is_known(const struct closures *closures);
int64_t closures_revision(const struct closures *closures);
/** Names of closed domains, sorted; g_ptr_array_unref(). They are borrowed
 * until the next change. */
GPtrArray *closures_list(const struct closures *closures);

#endif
