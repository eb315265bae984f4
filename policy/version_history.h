/**
 * Which software versions of each service the lists of upstreams have named
 * lately. A stream whose origin nobody knows may go on only if a single version
 * can have begun it: the only one that was listed since before the stream can
 * have begun, up to a list that was read after its caller took it up.
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
/** Begin a list that was read at `read_us`; its upstreams follow. */
void version_history_begin_list(struct version_history *history,
				int64_t read_us);
/** An upstream of the list. `version` 0: unknown. */
void version_history_add(struct version_history *history, const char *service,
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
				      const char *service, int64_t since_us);

#endif
