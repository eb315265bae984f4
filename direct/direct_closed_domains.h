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

struct direct_closures;

struct direct_closures_options {
	struct lp_event_log *log;
	struct lp_counters *counters;
	/** Something newer is known, from wherever it came. */
	void (*changed)(void *userdata);
	void *userdata;
};

struct direct_closures *
direct_closures_create(const struct direct_closures_options *options);
void direct_closures_destroy(struct direct_closures *closures);
/** Tell these and hear them; NULL: nobody. Borrowed. */
void direct_closures_set_peers(struct direct_closures *closures,
			       struct direct_peers *peers);
/** The service says all that is closed at this revision. */
void direct_closures_set_all(struct direct_closures *closures, int64_t revision,
			     const char *const *domains, uint32_t count);
/** The service tells a change. */
void direct_closures_set(struct direct_closures *closures, int64_t revision,
			 const char *domain, bool closed);
const struct closures *
direct_closures_known(const struct direct_closures *closures);

#endif
