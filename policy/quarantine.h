/**
 * Quarantine of requests that seem to crash the upstreams that run them.
 *
 * Such a request terminates one upstream after the other. Its caller retries it
 * with the same content, or a part of its prompt comes again in requests of
 * which no two are alike. So a request is known by several keys: a digest of
 * its whole content, and one of each part of its prompt but the last, which
 * belongs to it alone. A termination of an upstream counts against each key of
 * each request in flight there, also of those that shared it by chance.
 *
 * - An answer clears all keys of its request: what crashes its upstreams never
 *   gets one. An answer that has only begun clears the parts of terminations
 *   before which no answer had begun; a part that crashes its upstreams later
 *   in a stream is cleared by a complete answer only.
 * - With fewer than two terminations a key restricts nothing. From two on it is
 *   a suspect; a part only if one of them has a later round, as popular parts
 *   are in flight at all upstreams of a service. Of a suspect only one run at a
 *   time is allowed in the whole fleet, the trial (QUARANTINE_TRIAL); other
 *   runs are refused meanwhile. This clears keys that shared upstreams by
 *   chance.
 * - After three rounds it is blocked (QUARANTINE_REFUSE). The round of a run is
 *   one more than the highest round of the terminations of the key that were
 *   known when the run was sent. So terminations of one moment, even of a whole
 *   service, are one round.
 * - After a minute one trial is allowed again, as upstreams may have new
 *   software; each further block lasts four times as long, at most an hour,
 *   because a trial may cost an upstream. An operator can clear the key at
 *   once.
 *
 * Parts come together, and upstreams also terminate by chance. So it depends on
 * the request how many rounds count against one of its keys: not those that the
 * likeliest of the keys which it lacks may have caused, a suspect or a part of
 * the same run. With three rounds left it is refused, else allowed as a trial,
 * whose outcome tells the keys apart. A request with all keys that may be the
 * cause is refused, one with a part of them is tried. Two failed trials count
 * as three rounds if none of the keys that the request lacks had a termination
 * before them. A key whose terminations are all also terminations of another
 * key, which has more, restricts nothing: the other explains them.
 *
 * Anybody may name a part of somebody else's prompts. A part restricts an
 * organisation only if it was lost in a request of that organisation, or of two
 * others; rounds of one other confirm own ones, and count for nothing alone.
 *
 * What entries know of a key is a set that only grows until it is cleared, so
 * reports of other entries may arrive late, twice and in any order. Times are
 * in microseconds of the given clock.
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include "base/lp_clock.h"

#include <stdbool.h>

/** Terminations that make a key a suspect. A single one may be chance, and
 * counts against all requests that were in flight there. */
#define QUARANTINE_SUSPECT_TERMINATIONS 2
/** Rounds after which a part with so many terminations is a suspect. */
#define QUARANTINE_SUSPECT_PART_ROUNDS 2
/** Rounds after which a key is blocked. */
#define QUARANTINE_BLOCK_ROUNDS 3
/** Rounds of all organisations after which a key is blocked for one in which it
 * is a suspect. */
#define QUARANTINE_CONFIRMED_ROUNDS 4
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
/** Maximum number of records. Those with the fewest rounds are evicted first,
 * of these those with the fewest terminations, then
 * the oldest. */
#define QUARANTINE_RECORDS_MAX 2048
/** Terminations kept for each key. */
#define QUARANTINE_TERMINATIONS_MAX 16
/** Keys of one request: its content and up to 15 parts of its prompt. */
#define QUARANTINE_KEYS_MAX 16
/** Reports of one crash may give times that differ by this much. */
#define QUARANTINE_SAME_CRASH_US (1 * LP_US_PER_S)

struct quarantine;

/** One of the keys by which a request is known. */
struct quarantine_key {
	uint64_t digest;
	uint32_t round; /**< quarantine_round() when the request was sent */
	bool is_part;	/**< of a part of the prompt, not of the content */
};

struct quarantine_keys {
	struct quarantine_key items[QUARANTINE_KEYS_MAX];
	uint32_t count;
	uint64_t organisation; /**< digest of the caller's organisation */
};

/** An upstream terminated while a request with this key was in flight there. */
struct quarantine_termination {
	uint64_t key;
	uint64_t incarnation; /**< of the upstream */
	uint32_t round;	      /**< quarantine_round() when it was sent */
	int64_t terminated_us;
	int64_t run_us; /**< from sending to termination */
	bool is_part;
	bool had_begun; /**< an answer to such a request had begun */
	/** Of such requests, the first two; of the second: 0 if there is none.
	 */
	uint64_t organisations[2];
};

enum quarantine_decision {
	QUARANTINE_PASS,   /**< no suspect, or disabled */
	QUARANTINE_TRIAL,  /**< passes as the only run of it in the fleet */
	QUARANTINE_REFUSE, /**< blocked, or a trial is running */
};

/** Whether a request may be sent to an upstream now. */
struct quarantine_admission {
	enum quarantine_decision decision;
	uint32_t trials;     /**< keys whose trial it is, as bits */
	int64_t wait_us;     /**< refused: time after which to retry */
	uint64_t refused_by; /**< refused: the key */
};

/** The record of a key. */
struct quarantine_view {
	uint64_t key;
	bool is_part;
	const struct quarantine_termination
		*terminations; /**< earliest first */
	uint32_t terminations_count;
	uint32_t rounds;
	bool is_suspect;
	bool is_explained;	  /**< by another key: it restricts nothing */
	int64_t cleared_us;	  /**< last; 0: never */
	int64_t begun_us;	  /**< last answer that had begun; 0: none */
	int64_t blocked_until_us; /**< in the past: not blocked */
	int64_t trial_until_us;	  /**< latest end of the running trial; in the
				     past: none is running */
	int64_t longest_run_us;	  /**< longest run up to a termination */
};

/** Adds a key, with the first round. No effect if it is there already, or if
 * there are QUARANTINE_KEYS_MAX. */
void quarantine_keys_add(struct quarantine_keys *keys, uint64_t digest,
			 bool is_part);

struct quarantine *quarantine_create(const struct lp_clock *clock);
void quarantine_destroy(struct quarantine *quarantine);
/** Disabled, it refuses nothing but continues to count terminations. */
void quarantine_set_enabled(struct quarantine *quarantine, bool enabled);
/** Whether there are no records. */
bool quarantine_is_empty(const struct quarantine *quarantine);
/** The round of a run that is sent now. */
uint32_t quarantine_round(const struct quarantine *quarantine, uint64_t key);
/** Records a termination. Returns false if it is known or was cleared. */
bool quarantine_add_termination(
	struct quarantine *quarantine,
	const struct quarantine_termination *termination);
/**
 * Decides on a request with these keys. QUARANTINE_TRIAL: others with one of
 * the keys that it is the trial of are refused until quarantine_set_trial() or
 * quarantine_clear() is called, at most until `until_us`.
 */
struct quarantine_admission quarantine_admit(struct quarantine *quarantine,
					     const struct quarantine_keys *keys,
					     int64_t until_us);
/** Sets the latest end of the running trial, also of another entry's; now or in
 * the past: the trial is over. */
void quarantine_set_trial(struct quarantine *quarantine, uint64_t key,
			  int64_t until_us);
/** Clears the terminations of a key up to `cleared_us`, because a request with
 * it was answered, or by an operator. Returns whether there were any. */
bool quarantine_clear(struct quarantine *quarantine, uint64_t key,
		      int64_t cleared_us);
/** Clears the terminations up to `begun_us` before which no answer had begun,
 * because one has begun now. Returns whether there were any. */
bool quarantine_clear_unbegun(struct quarantine *quarantine, uint64_t key,
			      int64_t begun_us);
/** Fills in the record of a key. False: there is none. */
bool quarantine_get_view(const struct quarantine *quarantine, uint64_t key,
			 struct quarantine_view *out);
/** Calls `visit` for each record; it must not change the quarantine. */
void quarantine_foreach(const struct quarantine *quarantine,
			void (*visit)(void *userdata,
				      const struct quarantine_view *view),
			void *userdata);
/** Calls `visit` for the key of each record that this key explains; it must not
 * change the quarantine. */
void quarantine_foreach_explained(const struct quarantine *quarantine,
				  uint64_t key,
				  void (*visit)(void *userdata, uint64_t key),
				  void *userdata);
/** Drops expired records. */
void quarantine_expire(struct quarantine *quarantine);

#endif
