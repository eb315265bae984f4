/**
 * Rendezvous hashing (highest random weight) over the host list.
 *
 * Each choice is a pure function of names: processes with the same host list
 * agree without communication, and adding or removing a host moves only what
 * that host is chosen for.
 */
#ifndef RENDEZVOUS_H
#define RENDEZVOUS_H

#include <stdbool.h>
#include <stdint.h>

/** A host and its failure domain. Strings are borrowed. */
struct rendezvous_host {
	const char *id;
	const char *domain;
};

/**
 * Choose up to `max` of the hosts for `self`, evenly over failure domains, and
 * set `chosen[i]` for each host. Returns the number of chosen hosts.
 */
uint32_t rendezvous_subset(const char *self,
			   const struct rendezvous_host *hosts, uint32_t count,
			   uint32_t max, bool *chosen);
/**
 * Whether `self` is one of the `readers` hosts of its failure domain that read
 * the KV for the others. `hosts` need not contain `self`.
 */
bool rendezvous_is_reader(const char *self, const char *domain,
			  const struct rendezvous_host *hosts, uint32_t count,
			  uint32_t readers);
/** The host that owns a key; NULL if there are no hosts. */
const struct rendezvous_host *
rendezvous_owner(const char *key, const struct rendezvous_host *hosts,
		 uint32_t count);

#endif
