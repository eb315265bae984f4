/**
 * Structured log of decisions: JSON lines on standard output.
 *
 * One line a decision on a request or change of belief. Lines are gathered
 * and written a few times a second, never blocking: a reader that does not
 * keep up, or more lines than the rate allows, costs lines, and the next line
 * written says how many.
 */
#ifndef LP_EVENT_H
#define LP_EVENT_H

#include "base/lp_clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct lp_event_log;

struct lp_event_options {
	const char *process; /**< stands in every line; copied */
	const struct lp_clock *clock;
	int fd;		      /**< written to without blocking; not closed */
	uint32_t lines_per_s; /**< 0: 400 */
};

struct lp_event_log *
lp_event_log_create(const struct lp_event_options *options);
/** Writes what is gathered. */
void lp_event_log_destroy(struct lp_event_log *log);
void lp_event_log_flush(struct lp_event_log *log);
/** Lines that could not be written so far. */
int64_t lp_event_log_lost(const struct lp_event_log *log);

/**
 * Begin a line. `event` names the decision; `request` is its id or NULL.
 * Returns false when the line is not to be written; the other calls do
 * nothing then.
 */
bool lp_event_begin(struct lp_event_log *log, const char *event,
		    const char *request);
void lp_event_text(struct lp_event_log *log, const char *name,
		   const char *value);
void lp_event_int(struct lp_event_log *log, const char *name, int64_t value);
/** A digest, in hexadecimal digits. */
void lp_event_digest(struct lp_event_log *log, const char *name,
		     uint64_t digest);
void lp_event_end(struct lp_event_log *log);

#endif
