/**
 * Requests under which upstreams ended, for the whole fleet: what this entry
 * finds out, what it hears of others, and what it tells them.
 *
 * Each word is sent three times and may come in any order; a member that is met
 * is told all, and what is held against requests is told one member after the
 * other again. A word holds digests and times, nothing of a request. An entry
 * that hears nobody decides by what it has seen itself.
 */
#ifndef DIRECT_QUARANTINE_H
#define DIRECT_QUARANTINE_H

#include "policy/losses.h"
#include "policy/quarantine.h"

#include <glib.h>

struct direct;
struct direct_peers;
struct direct_quarantine;
struct direct_request;

struct direct_quarantine *direct_quarantine_create(struct direct *direct);
void direct_quarantine_destroy(struct direct_quarantine *quarantine);
void direct_quarantine_set_peers(struct direct_quarantine *quarantine,
				 struct direct_peers *peers);
/** Refuse nothing, or go on as usual. */
void direct_quarantine_set_enabled(struct direct_quarantine *quarantine,
				   bool on);
/** An operator lets a request in again, at all entries. */
void direct_quarantine_clear(struct direct_quarantine *quarantine,
			     uint64_t request);
/** An upstream has ended with these of our requests. */
void direct_quarantine_add_terminations(struct direct_quarantine *quarantine,
					const struct loss *lost, guint count);
/**
 * May it go to an upstream now? Refused: `*wait_us` is when to come back. One
 * that is tried goes on without being asked again, until it is lost: that was
 * its try.
 */
bool direct_quarantine_admit(struct direct_quarantine *quarantine,
			     struct direct_request *request, int64_t *wait_us);
/** It goes to an upstream: which round of ends its own would belong to. */
uint32_t direct_quarantine_round(const struct direct_quarantine *quarantine,
				 struct direct_request *request);
/** It has come to an answer, or has run much longer than those that ended. */
void direct_quarantine_request_served(struct direct_quarantine *quarantine,
				      struct direct_request *request);
/** Its stream goes on; one that outlives all ends so far is cleared. */
void direct_quarantine_request_progressed(struct direct_quarantine *quarantine,
					  struct direct_request *request);
/** It is lost with an upstream of which it is not known yet whether it has
 * ended: nothing is tried until then. */
void direct_quarantine_request_lost(struct direct_quarantine *quarantine,
				    struct direct_request *request);
/** It ends without an answer; its try is over. */
void direct_quarantine_request_ended(struct direct_quarantine *quarantine,
				     struct direct_request *request);
/** What is known of a request. False: nothing. */
bool direct_quarantine_get_view(const struct direct_quarantine *quarantine,
				uint64_t request, struct quarantine_view *out);
/** An end that was written down by an entry that may be gone. */
void direct_quarantine_restore(struct direct_quarantine *quarantine,
			       const struct quarantine_termination *end);
/** Requests that are kept out, a JSON object a line, for operators. */
void direct_quarantine_print(const struct direct_quarantine *quarantine,
			     GString *out);
/** How many are kept out at this moment. */
uint32_t
direct_quarantine_blocked_count(const struct direct_quarantine *quarantine);

#endif
