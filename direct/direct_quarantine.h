/**
 * The quarantine of an entry (policy/quarantine.h), kept in step with those of
 * the other entries of the fleet.
 *
 * Terminations, clearings and trials that this entry detects are reported to
 * all members, and reports of members are applied. Each report is sent three
 * times, and reports may arrive in any order. A newly discovered member gets
 * all records, and the records of suspects are sent again to one member after
 * the other. Reports hold digests and times, but no content of a request. An
 * entry without contact to others decides by its own records.
 *
 * The keys of a request are the digest of its content, keyed with the caller's
 * API key, and of a stream the digests of the parts of its prompt but the last.
 * Parts are shared by organisations, so they are keyed with one API key of the
 * configuration, the same at all entries.
 *
 * All functions must be called on the event loop's thread.
 */
#ifndef DIRECT_QUARANTINE_H
#define DIRECT_QUARANTINE_H

#include "policy/lost_requests.h"
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
/** Disabled, the quarantine refuses nothing but continues to keep records. */
void direct_quarantine_set_enabled(struct direct_quarantine *quarantine,
				   bool enabled);
/** Sets the API key with which the parts of prompts are keyed. Records under
 * the two keys that were set before it stay in use. */
void direct_quarantine_set_part_key(struct direct_quarantine *quarantine,
				    const char *api_key);
/** Clears a key at all entries, for an operator, and the keys whose
 * terminations it explains. */
void direct_quarantine_clear(struct direct_quarantine *quarantine,
			     uint64_t key);
/** An upstream has terminated with these requests of this entry. */
void direct_quarantine_add_terminations(struct direct_quarantine *quarantine,
					const struct lost_request *lost,
					guint count);
/**
 * Whether a request may be sent to an upstream now. False: `*wait_us` is the
 * time after which to retry. A request that runs as a trial is admitted again
 * until it is lost, and then refused.
 */
bool direct_quarantine_admit(struct direct_quarantine *quarantine,
			     struct direct_request *request, int64_t *wait_us);
/** The round of the content of a request that is sent now. */
uint32_t direct_quarantine_round(const struct direct_quarantine *quarantine,
				 struct direct_request *request);
/** Fills in the rounds of the keys of a request that is sent now. */
void direct_quarantine_note_rounds(const struct direct_quarantine *quarantine,
				   struct direct_request *request);
/** The keys of a request, with the rounds as of its sending. */
const struct quarantine_keys *
direct_quarantine_keys(const struct direct_quarantine *quarantine,
		       struct direct_request *request);
/** The first event of an answer to the request was received: clears the parts
 * of terminations before which no answer had begun. */
void direct_quarantine_request_begun(struct direct_quarantine *quarantine,
				     struct direct_request *request);
/** The request was answered, or has run much longer than the runs that
 * terminated upstreams: clears its content and ends its trial. A success clears
 * the parts of its prompt, too. */
void direct_quarantine_request_served(struct direct_quarantine *quarantine,
				      struct direct_request *request,
				      bool is_success);
/** The request's stream has made progress; clears a trial that has outlived all
 * runs that terminated upstreams. */
void direct_quarantine_request_progressed(struct direct_quarantine *quarantine,
					  struct direct_request *request);
/** The request was lost, and it is not known yet whether its upstream has
 * terminated: allows no other trial until that can be detected. */
void direct_quarantine_request_lost(struct direct_quarantine *quarantine,
				    struct direct_request *request);
/** The request ends without an answer: ends its trial. */
void direct_quarantine_request_ended(struct direct_quarantine *quarantine,
				     struct direct_request *request);
/** Fills in the record of a key. False: there is none. */
bool direct_quarantine_get_view(const struct direct_quarantine *quarantine,
				uint64_t key, struct quarantine_view *out);
/** Adds a stored termination, which was recorded by an entry that may no longer
 * run. */
void direct_quarantine_restore(
	struct direct_quarantine *quarantine,
	const struct quarantine_termination *termination);
/** Prints the keys with terminations for operators, one JSON object a line. */
void direct_quarantine_print(const struct direct_quarantine *quarantine,
			     GString *out);
/** Number of keys that are blocked now. */
uint32_t
direct_quarantine_blocked_count(const struct direct_quarantine *quarantine);

#endif
