/**
 * Which failure domains operators have closed to new work, as this entry and
 * its peers know it (policy/closures.h).
 *
 * Learnt from the platform's service, whole or change by change, and from
 * peers: whoever learns of a change from the service tells all members, and
 * each member that is met is told what holds. So an entry that the service
 * does not serve knows it too, and one that starts knows it before it takes
 * any request.
 */
#ifndef DIRECT_CLOSED_DOMAINS_H
#define DIRECT_CLOSED_DOMAINS_H

#include "base/lp_counter.h"
#include "base/lp_event.h"
#include "direct/direct_peers.h"
#include "policy/closures.h"

struct direct_closed_domains;

struct direct_closed_domains_options {
	struct lp_event_log *log;
	struct lp_counters *counters;
	/** Something newer is known, from wherever it came. */
	void (*changed)(void *userdata);
	void *userdata;
};

struct direct_closed_domains *direct_closed_domains_create(
	const struct direct_closed_domains_options *options);
void direct_closed_domains_destroy(
	struct direct_closed_domains *closed_domains);
/** Tell these and hear them; NULL: nobody. Borrowed. */
void direct_closed_domains_set_peers(
	struct direct_closed_domains *closed_domains,
	struct direct_peers *peers);
/** The service says all that is closed at this revision. */
void direct_closed_domains_set_all(struct direct_closed_domains *closed_domains,
				   int64_t revision, const char *const *domains,
				   uint32_t count);
/** The service tells a change. */
void direct_closed_domains_set(struct direct_closed_domains *closed_domains,
			       int64_t revision, const char *domain,
			       bool closed);
const struct closures *
direct_closed_domains_known(const struct direct_closed_domains *closed_domains);

#endif
