/**
 * The failure domains that operators have closed to new work, shared with the
 * peers of this entry (policy/closed_domains.h).
 *
 * Changes come from the platform's key-value service, as a whole set or one at
 * a time, and from peers: an entry that receives a change from the service
 * sends the set to all peers, and each peer receives the current set on first
 * contact. An entry without access to the service is therefore informed, too,
 * and an entry that starts knows the closed domains before it admits requests.
 * They carry the era of the service as well, so that entries that do not call
 * it know of a restore.
 */
#ifndef DIRECT_CLOSED_DOMAINS_H
#define DIRECT_CLOSED_DOMAINS_H

#include "base/lp_counter.h"
#include "base/lp_event.h"
#include "direct/direct_peers.h"
#include "policy/closed_domains.h"

struct direct_closed_domains;

struct direct_closed_domains_options {
	struct lp_event_log *log;
	struct lp_counters *counters;
	/** Called after each change, from the service or from a peer. */
	void (*changed)(void *userdata);
	/** Called when the service is found, here or by a peer, to have been
	 * restored from an older copy. */
	void (*restored)(void *userdata);
	void *userdata;
};

struct direct_closed_domains *direct_closed_domains_create(
	const struct direct_closed_domains_options *options);
void direct_closed_domains_destroy(
	struct direct_closed_domains *closed_domains);
/** Exchange changes with these peers; NULL: none. Borrowed. */
void direct_closed_domains_set_peers(
	struct direct_closed_domains *closed_domains,
	struct direct_peers *peers);
/** An answer of the service has named this era. Peers are told of a new one. */
void direct_closed_domains_note_era(
	struct direct_closed_domains *closed_domains, int64_t era);
/** Apply the whole set of closed domains, as of this revision of the service.
 */
void direct_closed_domains_set_all(struct direct_closed_domains *closed_domains,
				   const struct store_revision *revision,
				   const char *const *domains, uint32_t count);
/** Apply a change of one domain, as of this revision of the service. */
void direct_closed_domains_set(struct direct_closed_domains *closed_domains,
			       const struct store_revision *revision,
			       const char *domain, bool closed);
/** Send the current set, if it is known, to all peers: they may have missed a
 * change. */
void direct_closed_domains_share(struct direct_closed_domains *closed_domains);
/** The current set; borrowed. */
const struct closed_domains *
direct_closed_domains_known(const struct direct_closed_domains *closed_domains);

#endif
