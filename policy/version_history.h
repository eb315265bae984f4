/**
 * Which software versions of each service the lists of upstreams have named
 * lately. A stream whose origin nobody knows may go on only if a single version
 * can have begun it: the only one that was listed since before the stream can
 * have begun, up to a list that was read after its caller resumed it.
 *
 * Pure: lists and times in, decisions out. Times are in microseconds.
 */
#ifndef VERSION_HISTORY_H
#define VERSION_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct version_history;

struct version_history *version_history_create(void);
void version_history_destroy(struct version_history *history);
/** No stream can have begun before `started_us`, the first start of the whole
 * fleet. To be called before any list. */
void version_history_set_first_start(struct version_history *history,
				     int64_t started_us);
/** Begin a list that was read at `read_us`; its upstreams follow. */
void version_history_begin_list(struct version_history *history,
				int64_t read_us);
/** An upstream of the list. `service`: hash of its name; `version` 0: unknown.
 */
void version_history_add(struct version_history *history, uint64_t service,
			 uint64_t version);
/** The last list was read once more, unchanged, at `read_us`. */
void version_history_confirm_list(struct version_history *history,
				  int64_t read_us);
/** When the last list was read; 0: there is none. */
int64_t version_history_read_us(const struct version_history *history);
/**
 * The only version of a service that can have begun a stream since `since_us`;
 * 0: there were several or none, or lists were not read without a long pause
 * since then.
 */
uint64_t version_history_sole_version(const struct version_history *history,
				      uint64_t service, int64_t since_us);

/** A version that was listed. */
struct version_history_listing {
	uint64_t service;
	uint64_t version;
	int64_t listed_us; /**< when it was last known to be listed */
	bool is_listed;	   /**< in this entry's last list */
};

/** A history as one entry tells it to another. */
struct version_history_view {
	int64_t since_us; /**< lists were read without a long pause since then;
			     G_MININT64: since the first start of the fleet */
	int64_t read_us;  /**< the last one */
	const struct version_history_listing *listings;
	uint32_t count;
};

/** The history, borrowed until it changes. Returns false if no list was read.
 */
bool version_history_get_view(const struct version_history *history,
			      struct version_history_view *view);
/**
 * Add what another entry knows. The time that it covers counts if it leaves no
 * long pause to the time that is covered here. `since_us` and the times of
 * listings may be later than they were, not earlier.
 */
void version_history_merge(struct version_history *history,
			   const struct version_history_view *view);

#endif
