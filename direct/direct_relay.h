/**
 * Submits work to the peer that dispatches it and returns the results, by
 * datagrams between entries.
 *
 * Work and results are resent until they are confirmed, so a lost datagram
 * costs some 60 ms. Work is lost with a dispatcher that is silent for half a
 * second or has restarted: on_lost is called, and the caller submits it
 * elsewhere. A piece may be computed twice by that, which is allowed.
 */
#ifndef DIRECT_RELAY_H
#define DIRECT_RELAY_H

#include "direct/direct_calls.h"
#include "direct/direct_peers.h"
#include "policy/admission.h"

struct direct;
struct direct_relay;

/** Priority ranks with a queue wait of their own; the last covers the rest. */
#define DIRECT_PRIORITY_RANKS ADMISSION_RANKS

struct direct_relay_events {
	/** Results of submitted work; handles may be taken. */
	void (*on_results)(void *userdata, uint64_t number,
			   struct direct_result *results, uint32_t count);
	/** Queue waits of each rank at the dispatcher of this work: `peer`.
	 * `late_wait_us`: of late work, or ADMISSION_UNKNOWN_US. */
	void (*on_queue_waits)(void *userdata, uint64_t number, uint64_t peer,
			       const int64_t waits_us[DIRECT_PRIORITY_RANKS],
			       int64_t late_wait_us);
	/** The dispatcher has restarted, is gone, or does not accept the work.
	 */
	void (*on_lost)(void *userdata, uint64_t number);
	void *userdata;
};

struct direct_relay *
direct_relay_create(struct direct *direct, struct direct_peers *peers,
		    const struct direct_relay_events *events);
void direct_relay_destroy(struct direct_relay *relay);
/** Submit work to a peer under a number unique to this entry. False: the peer
 * is unknown or the work too large for a datagram. Borrows `work`. */
bool direct_relay_submit(struct direct_relay *relay, uint64_t peer,
			 uint64_t number, const struct direct_work *work);
/** Forget submitted work; with `notify`, have its dispatcher cancel it. */
void direct_relay_cancel(struct direct_relay *relay, uint64_t number,
			 bool notify);
/** Whether submitted work has neither all its results nor been cancelled or
 * reported as lost. */
bool direct_relay_has_work(const struct direct_relay *relay, uint64_t number);
/** Have a dispatcher free results at their producer. The datagram may be lost.
 * `bytes`: size of all results. */
void direct_relay_free_results(struct direct_relay *relay, uint64_t peer,
			       uint64_t producer, const GPtrArray *handles,
			       int64_t bytes);

#endif
