/**
 * Work that goes to the entry that dispatches it, and its results: datagrams
 * between entries.
 *
 * Asks and results are confirmed and sent again until they are, so a lost
 * datagram costs some 60 ms. A dispatcher that is not heard for half a second,
 * or that has started anew, has lost our work: whoever asked is told, and asks
 * elsewhere. Pieces may be made twice by that; a piece may be.
 */
#ifndef DIRECT_RELAY_H
#define DIRECT_RELAY_H

#include "direct/direct_calls.h"
#include "direct/direct_peers.h"

struct direct;
struct direct_relay;

/** Ranks of priority whose waits are told apart; the last is for the rest. */
#define DIRECT_PRIORITY_RANKS 4

struct direct_relay_events {
	/** Results of an ask; handles may be taken. */
	void (*on_results)(void *userdata, uint64_t number,
			   struct direct_result *results, uint32_t count);
	/** What asks of this number wait at their dispatcher, a rank. */
	void (*on_queue_waits)(void *userdata, uint64_t number,
			       const int64_t waits_us[DIRECT_PRIORITY_RANKS]);
	/** A dispatcher has lost this ask, or cannot be reached. */
	void (*on_lost)(void *userdata, uint64_t number);
	void *userdata;
};

struct direct_relay *
direct_relay_create(struct direct *direct, struct direct_peers *peers,
		    const struct direct_relay_events *events);
void direct_relay_destroy(struct direct_relay *relay);
/** Ask a peer; false: the work is too large for a datagram. Borrows `work`. */
bool direct_relay_submit(struct direct_relay *relay, uint64_t peer,
			 uint64_t number, const struct direct_work *work);
/** An ask is over for us; with `tell`, for its dispatcher as well. */
void direct_relay_cancel(struct direct_relay *relay, uint64_t number,
			 bool notify);
/** Have a dispatcher give up results of a maker. May be lost. */
void direct_relay_free_results(struct direct_relay *relay, uint64_t peer,
			       uint64_t producer, const GPtrArray *handles,
			       int64_t bytes);

#endif
