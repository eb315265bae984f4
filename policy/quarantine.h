/**
 * Quarantine of requests that seem to crash the upstreams that run them.
 *
 * Such a request terminates one upstream after the other, as its caller retries
 * it. Each retry has another id, so a request is known by a digest of its
 * content. A termination of an upstream counts against each request in flight
 * there, also against those that shared it by chance. An answer clears a
 * request of all earlier terminations: a request that crashes its upstreams
 * never gets one.
 *
 * - With fewer than two terminations a request passes.
 * - From two on it is a suspect. Only one run of it at a time is allowed in the
 *   whole fleet, the trial (QUARANTINE_TRIAL); other runs are refused
 *   meanwhile. This clears requests that shared upstreams by chance, and
 *   popular requests that were in flight while upstreams terminated for another
 *   reason.
 * - After three rounds it is blocked (QUARANTINE_REFUSE). The round of a run is
 *   one more than the highest round of the terminations that were known when
 *   the run was sent. So terminations of one moment, even of a whole service,
 *   are one round.
 * - After a minute one trial is allowed again, as upstreams may have new
 *   software; each further block lasts four times as long, at most an hour,
 *   because a trial may cost an upstream. An operator can clear the request at
 *   once.
 *
 * What entries know of a request is a set that only grows until it is cleared,
 * so reports of other entries may arrive late, twice and in any order. Times
 * are in microseconds of the given clock.
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include "base/lp_clock.h"

#include <stdbool.h>

/** Terminations that make a request a suspect. A single one may be chance, and
 * counts against all requests that were in flight there. */
#define QUARANTINE_SUSPECT_TERMINATIONS 2
/** Rounds after which a request is blocked. */
#define QUARANTINE_BLOCK_ROUNDS 3
/** First block: longer than callers keep retrying, so that the retries of one
 * caller cost no further upstream. */
#define QUARANTINE_BLOCK_US (60 * LP_US_PER_S)
#define QUARANTINE_BLOCK_FACTOR 4
#define QUARANTINE_BLOCK_MAX_US (3600 * LP_US_PER_S)
/** A record is dropped this long after its last termination, the end of its
 * block or the time until which it was cleared, whichever is latest. */
#define QUARANTINE_RECORD_TTL_US (600 * LP_US_PER_S)
/** Longest retry delay for a request of which a trial is running. */
#define QUARANTINE_TRIAL_WAIT_MAX_US (1 * LP_US_PER_S)
/** Maximum number of records, some 400 bytes each. Those with the fewest rounds
 * are evicted first, of these those with the fewest terminations, then the
 * oldest. */
#define QUARANTINE_RECORDS_MAX 1024
/** Terminations kept for each request. */
#define QUARANTINE_TERMINATIONS_MAX 16

struct quarantine;

/** An upstream terminated while a request was in flight there. */
struct quarantine_termination {
	uint64_t request;     /**< digest of the request's content */
	uint64_t incarnation; /**< of the upstream */
	uint32_t round;	      /**< quarantine_round() when it was sent */
	int64_t terminated_us;
	int64_t run_us; /**< from sending to termination */
};

enum quarantine_decision {
	QUARANTINE_PASS,   /**< no suspect, or disabled */
	QUARANTINE_TRIAL,  /**< passes as the only run of it in the fleet */
	QUARANTINE_REFUSE, /**< blocked, or a trial is running */
};

/** The record of a request. */
struct quarantine_view {
	uint64_t request;
	const struct quarantine_termination
		*terminations; /**< earliest first */
	uint32_t terminations_count;
	uint32_t rounds;
	int64_t cleared_us;	  /**< last; 0: never */
	int64_t blocked_until_us; /**< in the past: not blocked */
	int64_t trial_until_us;	  /**< latest end of the running trial; in the
				     past: none is running */
	int64_t longest_run_us;	  /**< longest run up to a termination */
};

struct quarantine *quarantine_create(const struct lp_clock *clock);
void quarantine_destroy(struct quarantine *quarantine);
/** Disabled, it refuses nothing but continues to count terminations. */
void quarantine_set_enabled(struct quarantine *quarantine, bool enabled);
/** Whether there are no records. */
bool quarantine_is_empty(const struct quarantine *quarantine);
/** The round of a run that is sent now. */
uint32_t quarantine_round(const struct quarantine *quarantine,
			  uint64_t request);
/** Records a termination. Returns false if it is known or was cleared. */
bool quarantine_add_termination(
	struct quarantine *quarantine,
	const struct quarantine_termination *termination);
/**
 * Whether a request may be sent to an upstream now. QUARANTINE_TRIAL: others of
 * the same content are refused until quarantine_set_trial() or
 * quarantine_clear() is called, at most until `until_us`. QUARANTINE_REFUSE:
 * `*wait_us` is the time after which to retry.
 */
enum quarantine_decision quarantine_admit(struct quarantine *quarantine,
					  uint64_t request, int64_t until_us,
					  int64_t *wait_us);
/** Sets the latest end of the running trial, also of another entry's; now or in
 * the past: the trial is over. */
void quarantine_set_trial(struct quarantine *quarantine, uint64_t request,
			  int64_t until_us);
/** Clears the terminations of a request up to `cleared_us`, because it was
 * answered or by an operator. Returns whether there were any. */
bool quarantine_clear(struct quarantine *quarantine, uint64_t request,
		      int64_t cleared_us);
/** Fills in the record of a request. False: there is none. */
bool quarantine_get_view(const struct quarantine *quarantine, uint64_t request,
			 struct quarantine_view *out);
/** Calls `visit` for each record; it must not change the quarantine. */
void quarantine_foreach(const struct quarantine *quarantine,
			void (*visit)(void *userdata,
				      const struct quarantine_view *view),
			void *userdata);
/** Drops expired records. */
void quarantine_expire(struct quarantine *quarantine);

#endif
