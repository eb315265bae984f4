/**
 * Admission control: which requests are served, which of them late, and which
 * are refused, and after what time callers of the latter are to retry.
 *
 * Guards against bursts in which more requests arrive for some seconds than
 * stages can serve in time. Each admitted request delays the others, so one
 * that could not be completed in time is refused at once, before any work is
 * done for it. The time to the first event is estimated along the graph of the
 * request's stages, from the queue waits that the dispatchers of the stages
 * report.
 *
 * The caller owns the notices, the measured times and the states; there is no
 * other state. All times are in microseconds.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/** Priority ranks with a queue wait of their own; the last covers the rest.
 * Four priorities of routes within three of organisations have one each. */
#define ADMISSION_RANKS 12
/** A wait that is not known. */
#define ADMISSION_UNKNOWN_US INT64_C(-1)
/** Longer waits, and INT64_MAX for an unbounded one, count as this. */
#define ADMISSION_WAIT_MAX_US INT64_C(600000000)

/** Measured time of the pieces of one priority class; all zero: none. */
struct admission_piece_time {
	int64_t mean_us;    /**< moving average */
	int64_t updated_us; /**< last measurement */
};

/** Records the time from submission to completion of pieces that were submitted
 * before their request was late. */
void admission_record_piece_time(struct admission_piece_time *piece_time,
				 int64_t took_us, int64_t now_us);
/**
 * Expected time until a piece that is submitted now would be completed, from
 * the queue's estimate and the measured times.
 *
 * The queue's estimate does not include pieces that are on their way to it.
 * Measured times do, but they outlast the queue, so that requests would still
 * be refused when it is empty: they count up to twice the queue's estimate.
 */
int64_t
admission_estimate_stage_us(const struct admission_piece_time *piece_time,
			    int64_t queue_us, int64_t now_us);

/** Queue waits that one dispatcher has reported; all zero: none yet. */
struct admission_notice {
	int64_t received_us; /**< last report; 0: none */
	/** Of each rank, then of work that is late on arrival. */
	int64_t waits_us[ADMISSION_RANKS + 1];
	/* private: samples for the rate at which the waits change */
	int64_t sampled_us;
	int64_t sampled_waits_us[ADMISSION_RANKS + 1];
	double growth[ADMISSION_RANKS + 1];
};

/** Records a report. `late_wait_us`: ADMISSION_UNKNOWN_US if the dispatcher
 * does not report it. */
void admission_record_notice(struct admission_notice *notice,
			     const int64_t waits_us[ADMISSION_RANKS],
			     int64_t late_wait_us, int64_t now_us);

/** What is known of one stage of a request. */
struct admission_stage {
	int64_t wait_us;      /**< until a piece submitted now is completed */
	int64_t late_wait_us; /**< the same of late work; or unknown */
	int64_t age_us;	      /**< of the notice; ADMISSION_UNKNOWN_US: none */
	double drain;	      /**< decrease of wait_us per us of time, 0 to 1 */
	double late_drain;    /**< decrease of late_wait_us */
	struct admission_piece_time measured; /**< of pieces of its rank */
	int64_t alone_us;	/**< duration of the stage with no queue */
	const uint32_t *inputs; /**< indices of earlier stages */
	uint32_t inputs_count;
	bool is_skipped; /**< it has no pieces */
};

/**
 * Fills in waits, drains, age and measured time of a stage for a rank.
 * `piece_times`: of each rank.
 *
 * A rank never waits less than a more urgent one, so that a less urgent request
 * is refused first. A notice older than 500 ms counts as unknown: its waits
 * decay, as nothing says whether the queue is still there.
 */
void admission_read_notice(
	const struct admission_notice *notice,
	const struct admission_piece_time piece_times[ADMISSION_RANKS],
	int32_t priority, int64_t now_us, struct admission_stage *out);

/**
 * Error of the estimates of a route's requests, from those that were admitted
 * and have had their first event; all zero: none yet.
 *
 * Each stage is estimated as if the request just missed a call, and errors add
 * up along the path: without correction requests whose path has three stages
 * were refused that would have been on time.
 */
struct admission_error {
	int64_t mean_us; /**< moving average of actual less estimated time */
	int64_t updated_us;
};

/** Records that a request had its first event after `took_us`, where the
 * uncorrected estimate was `estimate_us`. */
void admission_record_error(struct admission_error *error, int64_t estimate_us,
			    int64_t took_us, int64_t now_us);
/** The estimate, corrected by at most two fifths of it. */
int64_t admission_correct_us(const struct admission_error *error,
			     int64_t estimate_us, int64_t now_us);

/** Estimate of the whole path of a request, from now on. */
struct admission_path {
	int64_t first_event_us; /**< time to the first event */
	int64_t late_us;	/**< the same if it is served as late work;
				   ADMISSION_UNKNOWN_US: no dispatcher says */
	uint32_t bottleneck; /**< the stage that takes longest; 0 if none does
			      */
	int64_t age_us;	     /**< of the bottleneck's notice, or unknown */
};

/**
 * Estimates a path. Each stage is estimated for the time at which the request
 * gets there. `engine_wait_us`: time from now until an engine takes requests;
 * `engine_us`: its time to the first event. `done_us`: when each stage is
 * completed from now on, of `count` cells.
 */
struct admission_path
admission_estimate_path(const struct admission_stage *stages, uint32_t count,
			int64_t engine_wait_us, int64_t engine_us,
			int64_t now_us, int64_t *done_us);

/**
 * Recent refusals by a bottleneck, all zero at first. While it refuses, the
 * limits are lower, so that entries do not alternate between admitting all
 * requests and none. Refusals of a rank lower the limits of this rank and of
 * less urgent ones.
 */
struct admission_pressure {
	int64_t refused_us[ADMISSION_RANKS]; /**< last refusal by full limits */
};

bool admission_is_under_pressure(const struct admission_pressure *pressure,
				 int32_t priority, int64_t now_us);

/** Limits how many returning callers are admitted before new ones; all zero at
 * first. */
struct admission_return_share {
	double admitted;  /**< fading number of admissions */
	double preferred; /**< of these, by the share */
	int64_t updated_us;
};

/** Whether a returning caller may be admitted before new ones. */
bool admission_has_return_share(const struct admission_return_share *share,
				int64_t now_us);
/** Records an admission. */
void admission_record_admission(struct admission_return_share *share,
				bool is_preferred, int64_t now_us);

struct admission_request {
	int64_t estimate_us; /**< time to its first event, if admitted now */
	int64_t late_us;     /**< the same as late work; or unknown */
	int64_t age_us; /**< of the notice that decides the estimate; unknown:
			   there is none */
	int64_t target_us; /**< latest time to the first event; 0: none */
	int64_t waited_us; /**< by its caller in earlier attempts; 0: a new one
			    */
	int64_t left_us;   /**< time until its deadline */
	uint64_t hash;	   /**< of its id: spreads retries */
	bool is_under_pressure;
	bool has_return_share;
};

enum admission_outcome {
	ADMISSION_ON_TIME, /**< admitted */
	ADMISSION_LATE,	   /**< admitted; it will be late */
	ADMISSION_REFUSED,
};

struct admission_decision {
	enum admission_outcome outcome;
	int64_t retry_after_us; /**< of a refused request */
	bool is_preferred;	/**< admitted only as a returning caller */
	bool is_probe;		/**< admitted because the estimate is too old */
	bool is_refused_by_full_limits; /**< not only by the lower ones of
					   refusals before */
};

struct admission_decision
admission_decide(const struct admission_request *request);

/** The time after which the caller of a request that is not served is to
 * retry: a slot for late work is expected then. At most a third of its time
 * left, and spread by the hash. */
int64_t admission_retry_after_us(const struct admission_request *request);
/** Records the outcome of a decision at its bottleneck. */
void admission_record_decision(struct admission_pressure *pressure,
			       int32_t priority,
			       const struct admission_decision *decision,
			       int64_t now_us);
const char *admission_outcome_name(enum admission_outcome outcome);

#endif
