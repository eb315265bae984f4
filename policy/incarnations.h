/**
 * Incarnations of upstreams. An incarnation is one start of an upstream. An
 * upstream that restarts keeps its id and address but loses all its state.
 *
 * An incarnation is identified by its start time, in milliseconds of the
 * upstream's own wall clock. Observations of it arrive by several ways and may
 * be delayed: the list, the lists of peers, answers of the upstream itself. So
 * an older incarnation never replaces a newer one. The exception is a clock
 * that was set back: an older start time is accepted as the current incarnation
 * if it is in the answer to a call that began after the newer one was observed,
 * or if lists continue to name it for INCARNATIONS_CLOCK_SET_BACK_US. By then a
 * newer incarnation would have written its own entry again.
 *
 * Estimates about an upstream end with its incarnation (an empty engine is not
 * assumed to have a prompt in its prefix cache, results of a terminated
 * producer are not passed on). A delayed observation ends none.
 */
#ifndef INCARNATIONS_H
#define INCARNATIONS_H

#include "base/lp_clock.h"

#include <stdbool.h>

/** Two heartbeats of an upstream at the platform's usual interval of 1.2 s. */
#define INCARNATIONS_CLOCK_SET_BACK_US (2500 * LP_US_PER_MS)
/** Time after which an id that no list names is dropped. Longer than any delay
 * of an observation. */
#define INCARNATIONS_RETENTION_US (60 * LP_US_PER_S)

struct incarnations;

enum incarnation_status {
	INCARNATION_CURRENT, /**< the known incarnation */
	INCARNATION_NEW,     /**< replaces the known one */
	INCARNATION_STALE, /**< of a terminated incarnation; ignored. If a list
			      names it, the list must be applied again later,
			      as the upstream's clock may be set back */
};

struct incarnations *incarnations_create(const struct lp_clock *clock);
void incarnations_destroy(struct incarnations *incarnations);
/** Observe an upstream in a list. `born_ms` is its start time; 0: not given,
 * which matches every incarnation. */
enum incarnation_status
incarnations_observe_listed(struct incarnations *incarnations, const char *id,
			    int64_t born_ms);
/**
 * Observe a start time in an upstream's answer to a call that began at
 * `sent_us`. If a newer incarnation was observed before the call began, only
 * the current process can have answered: its clock was set back.
 */
enum incarnation_status
incarnations_observe_answer(struct incarnations *incarnations, const char *id,
			    int64_t born_ms, int64_t sent_us);
/** Drop ids that no list has named for INCARNATIONS_RETENTION_US. */
void incarnations_expire(struct incarnations *incarnations);

#endif
