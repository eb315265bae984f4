/**
 * Memory for results at one upstream of a stage, as tracked by the stage's
 * dispatcher: the entry that batches the stage's pieces into calls. The
 * upstream that computes a result is its producer and holds it.
 *
 * A result occupies memory at its producer from the start of its call until it
 * is released or its TTL expires. A piece that finds no memory is not
 * completed, yet its call costs its fixed time; so calls carry only pieces that
 * fit.
 *
 * Results are tracked by their handles: releasing a result that was produced
 * for an earlier dispatcher does not reduce the tracked bytes. Untracked
 * memory, used by others, is observed in two ways: pieces that did not fit show
 * how much was free when their call began, and the upstream can be queried. It
 * counts until it is released through this dispatcher or must have expired.
 */
#ifndef RESULT_MEMORY_H
#define RESULT_MEMORY_H

#include "base/lp_clock.h"

#include <stdbool.h>
#include <stdint.h>

struct result_memory;

struct result_memory_options {
	const struct lp_clock *clock;
	/** Producers drop a result at this time after its call. */
	int64_t result_ttl_us;
};

struct result_memory *
result_memory_create(const struct result_memory_options *options);
void result_memory_destroy(struct result_memory *memory);
void result_memory_set_ttl(struct result_memory *memory, int64_t result_ttl_us);

/** Reserve memory for the results of a call that begins. */
void result_memory_reserve(struct result_memory *memory, int64_t bytes);
/** Turn reserved memory into a result with this handle. */
void result_memory_commit(struct result_memory *memory, const char *handle,
			  int64_t bytes);
/** Cancel the reservation for a result that was not produced. */
void result_memory_cancel(struct result_memory *memory, int64_t bytes);
/** Record that the producer has freed a result. */
void result_memory_release(struct result_memory *memory, const char *handle,
			   int64_t bytes);

/**
 * Derive the untracked memory from a call that ended.
 *
 * `total_bytes`: the upstream's result memory; 0: unknown. `tracked_bytes`:
 * result_memory_tracked_bytes() just before the call. `completed_bytes`: of the
 * call's results. `was_short`: some pieces did not fit, so no more than
 * `completed_bytes` was free.
 */
void result_memory_note_call(struct result_memory *memory, int64_t total_bytes,
			     int64_t tracked_bytes, int64_t completed_bytes,
			     bool was_short);
/** Record an upstream's report of its free memory, as a minimum and a maximum.
 * `tracked_bytes` was tracked when the query was sent. */
void result_memory_note_report(struct result_memory *memory,
			       int64_t total_bytes, int64_t tracked_bytes,
			       int64_t free_min_bytes, int64_t free_max_bytes);

/** Memory used by this dispatcher's calls and results. */
int64_t result_memory_tracked_bytes(struct result_memory *memory);
/** Memory known to be used by others. */
int64_t result_memory_untracked_bytes(struct result_memory *memory);
/** Tracked and untracked memory. */
int64_t result_memory_used_bytes(struct result_memory *memory);

#endif
