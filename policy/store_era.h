/**
 * Which history the key-value service is in.
 *
 * After a restore the service continues from an older copy: what it had
 * acknowledged since is gone, and revisions are given out again. Its answers
 * name the era, which rises with each restore. Nothing that one era gave out,
 * such as a revision, may be compared with that of another one.
 *
 * An answer of an earlier era is stale if its call was sent before the current
 * era was known. Otherwise the service names a lower era now, which counts as a
 * change as well.
 */
#ifndef STORE_ERA_H
#define STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

/** Time within which other users of the service write again what a restore has
 * lost. */
#define STORE_ERA_REWRITE_US INT64_C(2200000)
/** Of an answer that does not name its era. */
#define STORE_ERA_UNKNOWN (-1)

struct store_era {
	int64_t era; /**< STORE_ERA_UNKNOWN: no answer has named one */
	/** Counts the changes, so that what was read before one can be told. */
	uint32_t changes;
	int64_t noted_us; /**< when the era was first named */
	bool is_missing;  /**< the last answer did not name it */
};

enum store_era_verdict {
	STORE_ERA_SAME,
	STORE_ERA_FIRST,   /**< the first that is known */
	STORE_ERA_NEW,	   /**< the service was restored */
	STORE_ERA_BACK,	   /**< likewise; it names a lower era */
	STORE_ERA_STALE,   /**< an answer of an earlier era: not to be used */
	STORE_ERA_MISSING, /**< it is not named, and was by the answer before */
};

/** A revision and the era that gave it out. */
struct store_revision {
	int64_t era;
	int64_t revision;
};

/** Negative, 0 or positive: `a` is older, the same, or newer. */
int store_revision_compare(const struct store_revision *a,
			   const struct store_revision *b);

void store_era_init(struct store_era *state);
/** Handle an answer that names this era; its call was sent at `sent_us`. */
enum store_era_verdict store_era_handle_answer(struct store_era *state,
					       int64_t era, int64_t sent_us,
					       int64_t now_us);
/** "same", "first", "new", "back", "stale" or "missing". */
const char *store_era_verdict_name(enum store_era_verdict verdict);

#endif
