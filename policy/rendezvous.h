/**
 * Which hosts a process deals with: rendezvous choices over the host list.
 *
 * Every choice is a pure function of names, so that all processes with the
 * same list agree without talking, and one host's coming or going moves only
 * what belonged to it.
 */
#ifndef RENDEZVOUS_H
#define RENDEZVOUS_H

#include <stdbool.h>
#include <stdint.h>

/** A host as these choices see it. Strings are borrowed. */
struct rendezvous_host {
	const char *id;
	const char *domain;
};

/**
 * Choose up to `max` of the members for `self`, spread evenly over failure
 * domains; `chosen[i]` says whether members[i] is in. Returns how many.
 */
uint32_t rendezvous_subset(const char *self,
			   const struct rendezvous_host *members,
			   uint32_t count, uint32_t max, bool *chosen);
/**
 * Is `self` among the `readers` hosts of its failure domain that read the
 * KV for the others? `members` may or may not contain self.
 */
bool rendezvous_is_reader(const char *self, const char *domain,
			  const struct rendezvous_host *members, uint32_t count,
			  uint32_t readers);
/** The member that owns a key; NULL if there are none. */
const struct rendezvous_host *
rendezvous_owner(const char *key, const struct rendezvous_host *members,
		 uint32_t count);

#endif
