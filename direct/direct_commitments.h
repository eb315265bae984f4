/**
 * Tells dispatchers how many pieces the admitted requests of this entry will
 * still submit to them, and adds up what the entries tell this one.
 *
 * A request reaches its later stages some 0.3 to 0.9 s after it was admitted.
 * Without this, a dispatcher would not know of its pieces until then, and its
 * queue waits would let in too many requests at the start of a burst.
 *
 * An entry sends each dispatcher its present numbers by service and rank, at
 * most one datagram per interval, and only after a change or to keep the
 * numbers from expiring. Each datagram replaces the sender's last one, so a
 * lost one is made up for by the next, and the numbers of an entry that
 * terminates expire. Both the size and the cost of a datagram depend on the
 * services and ranks only, not on the number of requests.
 */
#ifndef DIRECT_COMMITMENTS_H
#define DIRECT_COMMITMENTS_H

#include "base/lp_clock.h"
#include "policy/admission.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Kind and body of the datagram: sequence number, pieces of each rank by
 * service. */
#define DIRECT_COMMITMENTS_KIND 'T'
#define DIRECT_COMMITMENTS_TYPE "(ta(sau))"

struct direct_commitments;

struct direct_commitments_options {
	const struct lp_clock *clock;
	/** Shards of a service at present. */
	uint32_t (*shard_count)(void *userdata, const char *service);
	/** The dispatcher of a shard; 0: this entry. */
	uint64_t (*dispatcher)(void *userdata, const char *service,
			       uint32_t shard);
	/** Number of live entries, this one included. */
	uint32_t (*members)(void *userdata);
	/** Whether this entry may dispatch pieces of a service. */
	bool (*is_dispatched)(void *userdata, const char *service);
	/** Send a datagram; `body` is borrowed. */
	void (*send)(void *userdata, uint64_t peer, GVariant *body);
	/** The sums of all entries for this one's queue have changed. */
	void (*on_changed)(void *userdata, const char *service,
			   const uint32_t by_rank[ADMISSION_RANKS]);
	void *userdata;
};

struct direct_commitments *
direct_commitments_create(const struct direct_commitments_options *options);
void direct_commitments_destroy(struct direct_commitments *commitments);
/**
 * A request was admitted that will submit `pieces` pieces of a stage. `owner`:
 * the request, opaque; `hash`: of its id, which assigns the shard.
 */
void direct_commitments_add(struct direct_commitments *commitments,
			    const void *owner, uint64_t hash,
			    const char *service, uint32_t stage, int32_t rank,
			    uint32_t pieces);
/** Pieces of a stage of the request were submitted. Those that are computed
 * again do not count, as none were committed for that. */
void direct_commitments_submitted(struct direct_commitments *commitments,
				  const void *owner, uint32_t stage,
				  uint32_t pieces);
/** The request has ended. */
void direct_commitments_end(struct direct_commitments *commitments,
			    const void *owner);
/** Dispatchers or shards were assigned. */
void direct_commitments_reassign(struct direct_commitments *commitments);
/** A datagram of a peer, of DIRECT_COMMITMENTS_TYPE. */
void direct_commitments_receive(struct direct_commitments *commitments,
				uint64_t peer, GVariant *body);
/** A peer has restarted: its requests are gone. */
void direct_commitments_peer_restarted(struct direct_commitments *commitments,
				       uint64_t peer);
/** Send what is to be sent, and drop what has expired. Called by a timer while
 * there is anything to do. Returns whether there is. */
bool direct_commitments_run(struct direct_commitments *commitments);

#endif
