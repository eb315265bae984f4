/**
 * Room for results at one upstream of stages, as its dispatcher counts it.
 *
 * A result takes up room at its maker from the start of its call until it is
 * given up, or until the maker drops it by itself. A piece that finds no room
 * is not made, and its call has cost its fixed time for nothing, so calls
 * carry only what has room.
 *
 * Results are counted by their handles: giving up one that an earlier
 * dispatcher had made does not make room among those that are counted here.
 * What others hold there shows in two ways, and counts until it is given up
 * through us or the maker must have dropped it: pieces that met no room tell
 * how much there was when their call began, and the upstream can be asked.
 */
#ifndef RESULT_MEMORY_H
#define RESULT_MEMORY_H

#include "base/lp_clock.h"

#include <stdbool.h>
#include <stdint.h>

struct result_memory;

struct result_memory_options {
	const struct lp_clock *clock;
	/** Makers drop a result by themselves so long after its call. */
	int64_t result_ttl_us;
};

struct result_memory *
result_memory_create(const struct result_memory_options *options);
void result_memory_destroy(struct result_memory *room);
void result_memory_set_ttl(struct result_memory *room, int64_t linger_us);

/** A call begins whose results will take up so many bytes. */
void result_memory_reserve(struct result_memory *room, int64_t bytes);
/** One of a call's results is made; it goes by this handle. */
void result_memory_commit(struct result_memory *room, const char *handle,
			  int64_t bytes);
/** One of a call's results is not made. */
void result_memory_cancel(struct result_memory *room, int64_t bytes);
/** The maker has dropped a result. */
void result_memory_release(struct result_memory *room, const char *handle,
			   int64_t bytes);

/**
 * A call has told how much room there was for it when it began.
 *
 * `all_bytes`: the upstream's room. `own_bytes`: result_memory_tracked_bytes()
 * just before the call. `made_bytes`: of its results. `was_short`: pieces met
 * no room, so there was no more than that.
 */
void result_memory_note_call(struct result_memory *room, int64_t all_bytes,
			     int64_t own_bytes, int64_t made_bytes,
			     bool was_short);
/** Asked when `own_bytes` were counted here, the upstream says that it has at
 * least and at most so much room. */
void result_memory_note_report(struct result_memory *room, int64_t all_bytes,
			       int64_t own_bytes, int64_t least_bytes,
			       int64_t most_bytes);

/** Taken up by what is counted here. */
int64_t result_memory_tracked_bytes(struct result_memory *room);
/** Taken up by what is not counted here, as far as is known. */
int64_t result_memory_untracked_bytes(struct result_memory *room);
/** Taken up in all. */
int64_t result_memory_used_bytes(struct result_memory *room);

#endif
