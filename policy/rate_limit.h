/**
 * The requests a second that an upstream takes from all entries together, as
 * it says in its answers while it is in need.
 *
 * The newest answer counts, whichever entry had it: one that names a limit,
 * or one that names none any more.
 */
#ifndef RATE_LIMIT_H
#define RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** What is known of one upstream; all zero: it has named none. */
struct rate_limit {
	bool named;
	double per_s;	  /**< of all entries; only if it is named */
	int64_t heard_us; /**< when the answer came that says so; 0: never */
};

/** What an answer said of it. */
struct rate_limit_word {
	bool named;
	double per_s;
	int64_t heard_us;
};

/** Take a word, unless a newer one is known. Returns whether it changes what
 * is known. */
bool rate_limit_hear(struct rate_limit *limit,
		     const struct rate_limit_word *word);

#endif
