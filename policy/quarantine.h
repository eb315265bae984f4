/**
 * Requests that are kept from upstreams because upstreams end under them.
 *
 * A request may end whoever begins it, and its caller brings it again. It is
 * known by a digest of its content, as each try has another id. Each upstream
 * that ended while it was under way there counts against it, also if others
 * were under way there too; each run that comes to an answer clears it of all
 * that was before, as what ends its upstreams never does.
 *
 * - Under two ends it goes like any other.
 * - From two on it goes one at a time in the whole fleet (QUARANTINE_TRIAL),
 * and is refused meanwhile. Who shared its upstreams by chance comes to an
 * answer now; so does what many ask for while upstreams end for another reason.
 * - After three rounds it is kept out (QUARANTINE_REFUSE). A round is a run
 * that was begun although the ends of the round before were known, so that ends
 * of one moment, of a whole service even, are one round.
 * - It is let in again for one try after a minute, then after four times as
 *   long, at most after an hour: upstreams may have new software. Each such try
 *   may cost an upstream. An operator can let it in at once.
 *
 * What entries know of a request is a set that only grows until an answer
 * clears it, so words of each other may come late, twice and in any order.
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include "base/lp_clock.h"

#include <stdbool.h>

/** From so many ends on, one at a time: one may be chance, and happens to all
 * who were under way there. */
#define QUARANTINE_SUSPECT_TERMINATIONS 2
/** Kept out after so many rounds. */
#define QUARANTINE_BLOCK_ROUNDS 3
/** Kept out for so long at first: longer than a caller's patience, so that it
 * costs no upstream more for one caller who comes again. */
#define QUARANTINE_BLOCK_US (60 * LP_US_PER_S)
#define QUARANTINE_BLOCK_FACTOR 4
#define QUARANTINE_BLOCK_MAX_US (3600 * LP_US_PER_S)
/** What is not kept out is forgotten so long after its last end; what is, so
 * long after it may be tried again. */
#define QUARANTINE_RECORD_TTL_US (600 * LP_US_PER_S)
/** Who meets a try under way is told to come back within this. */
#define QUARANTINE_TRIAL_WAIT_MAX_US (1 * LP_US_PER_S)
/** Requests that are known at a time, some 400 bytes each. Those with the
 * fewest rounds and ends yield first, of these the oldest. */
#define QUARANTINE_RECORDS_MAX 1024
/** Ends of one request that are kept. */
#define QUARANTINE_TERMINATIONS_MAX 16

struct quarantine;

/** An upstream ended while a request was under way there. */
struct quarantine_termination {
	uint64_t request;     /**< digest of its content */
	uint64_t incarnation; /**< of the upstream */
	uint32_t round;	      /**< quarantine_round() when it was sent there */
	int64_t terminated_us;
	int64_t run_us; /**< from its sending to the end */
};

enum quarantine_decision {
	QUARANTINE_PASS,   /**< nothing is held against it */
	QUARANTINE_TRIAL,  /**< it goes, as the only one of its kind */
	QUARANTINE_REFUSE, /**< not now */
};

/** What is known of a request. */
struct quarantine_view {
	uint64_t request;
	const struct quarantine_termination
		*terminations; /**< the earliest first */
	uint32_t terminations_count;
	uint32_t rounds;
	int64_t cleared_us;	  /**< an answer cleared it last; 0: none did */
	int64_t blocked_until_us; /**< kept out until then; in the past: it is
				   * not
				   */
	int64_t trial_until_us;	  /**< a try is under way until then at the most
				   */
	int64_t longest_run_us;	  /**< the longest that a run took to an end */
};

struct quarantine *quarantine_create(const struct lp_clock *clock);
void quarantine_destroy(struct quarantine *quarantine);
/** Turned off, it goes on counting and refuses nothing. */
void quarantine_set_enabled(struct quarantine *quarantine, bool on);
/** Nothing is known of any request. */
bool quarantine_is_empty(const struct quarantine *quarantine);
/** The round that a run begun now would belong to. */
uint32_t quarantine_round(const struct quarantine *quarantine,
			  uint64_t request);
/** An upstream has ended under a request. Returns whether that is news. */
bool quarantine_add_termination(struct quarantine *quarantine,
				const struct quarantine_termination *end);
/**
 * May it go to an upstream now? QUARANTINE_TRIAL: until quarantine_tried() or
 * an answer, at most until `until_us`, it is the only one. Refused: `*wait_us`
 * is when to come back.
 */
enum quarantine_decision quarantine_admit(struct quarantine *quarantine,
					  uint64_t request, int64_t until_us,
					  int64_t *wait_us);
/** Another entry tries it until then; in the past: its try is over. */
void quarantine_set_trial(struct quarantine *quarantine, uint64_t request,
			  int64_t until_us);
/** It came to an answer, or an operator lets it in: what was until then is
 * cleared. Returns whether there was anything. */
bool quarantine_clear(struct quarantine *quarantine, uint64_t request,
		      int64_t served_us);
/** What is known of a request. False: nothing. */
bool quarantine_get_view(const struct quarantine *quarantine, uint64_t request,
			 struct quarantine_view *out);
/** Look at each. Nothing may be changed meanwhile. */
void quarantine_foreach(const struct quarantine *quarantine,
			void (*look)(void *userdata,
				     const struct quarantine_view *view),
			void *userdata);
/** Drop what is too old. */
void quarantine_expire(struct quarantine *quarantine);

#endif
