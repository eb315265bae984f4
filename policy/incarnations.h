/**
 * Lives of upstreams: one that starts again keeps its id and address, and
 * neither holds nor knows anything of before.
 *
 * A life is told by its start, in milliseconds of the upstream's own wall
 * clock. Words of it come over several ways, some of them late: the list, the
 * lists of peers, answers of the upstream itself. So an older life never takes
 * the place of a newer one. The exception is a clock that was set back: an
 * older start that answers calls which began after the newer one was known, or
 * that lists go on naming for INCARNATIONS_CLOCK_SET_BACK_US, is the life that
 * is there. A newer one would have written its own entry again by then.
 *
 * Beliefs of before end with their life (an empty engine is not taken for one
 * that has a prompt in memory, results of a dead maker are not passed on), and
 * a word that is late ends nothing.
 */
#ifndef INCARNATIONS_H
#define INCARNATIONS_H

#include "base/lp_clock.h"

#include <stdbool.h>

/** Two heartbeats of an upstream, by the platform's usual pause of 1.2 s. */
#define INCARNATIONS_CLOCK_SET_BACK_US (2500 * LP_US_PER_MS)
/** An id that no list has named for so long is forgotten: longer than a late
 * word is on its way. */
#define INCARNATIONS_RETENTION_US (60 * LP_US_PER_S)

struct incarnations;

enum incarnation_status {
	INCARNATION_CURRENT, /**< the life that is known */
	INCARNATION_NEW,     /**< what was known of the id ends */
	INCARNATION_STALE,   /**< of a life that has ended: to be left out. Of a
			list: to   be asked again later, as its clock may be set
			back */
};

struct incarnations *incarnations_create(const struct lp_clock *clock);
void incarnations_destroy(struct incarnations *lives);
/** A list names this upstream. `born_ms` 0: no start is said, which agrees
 * with every life. */
enum incarnation_status incarnations_observe_listed(struct incarnations *lives,
						    const char *id,
						    int64_t born_ms);
/**
 * The upstream says of itself when it was started, to a call that began at
 * `asked_us`. After we knew of a newer life only the one that is there can take
 * a call: then its clock was set back.
 */
enum incarnation_status incarnations_observe_answer(struct incarnations *lives,
						    const char *id,
						    int64_t born_ms,
						    int64_t asked_us);
/** Drop ids that no list has named for INCARNATIONS_RETENTION_US. */
void incarnations_expire(struct incarnations *lives);

#endif
