/**
 * The pieces of one request's stages: which may be made now, where the made
 * ones lie, and which results nobody needs any more.
 *
 * A result is named by a handle and dies with its maker. A stage may begin
 * when all pieces of the stages before it are made; a stage of no pieces is
 * left out, and whoever comes after it needs what it would have needed.
 */
#ifndef GRAPH_H
#define GRAPH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct graph;

/** A result that is given up. */
struct graph_result {
	char *handle;	   /**< the receiver's */
	uint64_t producer; /**< the life of an upstream */
	int64_t bytes;
};

enum graph_piece_state {
	GRAPH_PIECE_MISSING,
	GRAPH_PIECE_REQUESTED, /**< queued or at work */
	GRAPH_PIECE_COMPLETED,
};

struct graph_stage {
	const uint32_t *dependencies;
	uint32_t dependencies_count;
	uint32_t pieces;
};

/** Copies what it needs. Stages refer to earlier ones only. */
struct graph *graph_create(const struct graph_stage *stages, uint32_t count);
void graph_destroy(struct graph *graph);

/** Whether all pieces of a stage's inputs are made. */
bool graph_stage_ready(const struct graph *graph, uint32_t stage);
/** Whether all pieces of a stage are made. */
bool graph_stage_completed(const struct graph *graph, uint32_t stage);
uint32_t graph_piece_count(const struct graph *graph, uint32_t stage);
enum graph_piece_state graph_get_piece_state(const struct graph *graph,
					     uint32_t stage, uint32_t piece);
void graph_set_requested(struct graph *graph, uint32_t stage, uint32_t piece);
/** An asked piece was not made: it is missing again. */
void graph_reset_piece(struct graph *graph, uint32_t stage, uint32_t piece);
void graph_complete_piece(struct graph *graph, uint32_t stage, uint32_t piece,
			  const char *handle, uint64_t maker, int64_t bytes);
/** Every piece of every stage is made. */
bool graph_is_complete(const struct graph *graph);
/**
 * Handles that a stage takes in, appended to `out` (borrowed); stage ==
 * the number of stages: those that the request itself takes in.
 */
void graph_input_handles(const struct graph *graph, uint32_t stage,
			 GPtrArray *out);
/** Whether all handles that a stage takes in are still kept. */
bool graph_inputs_available(const struct graph *graph, uint32_t stage);
/**
 * Some inputs of a stage are gone, nobody knows which: all are missing. Those
 * still kept are appended to `out`, of struct graph_result, to be given up.
 */
void graph_discard_inputs(struct graph *graph, uint32_t stage, GArray *out);
/** The maker of the first piece of a stage, or 0. */
uint64_t graph_stage_producer(const struct graph *graph, uint32_t stage);
/** The domain of a maker; NULL: it is not known. */
typedef const char *(*graph_domain_fn)(void *userdata, uint64_t maker);
/**
 * Where most bytes lie of what the request itself takes in, and how many; NULL:
 * nowhere. Borrowed from `domain_of`.
 *
 * A request may take in few large results of one stage and many small ones of
 * another: bytes count, not numbers.
 */
const char *graph_main_domain(const struct graph *graph,
			      graph_domain_fn domain_of, void *userdata,
			      int64_t *bytes);
/**
 * Take out handles that nobody needs any more: results whose takers are all
 * made; with `all`, every one. Appended to `out`, of struct graph_result.
 */
void graph_take_unused_results(struct graph *graph, bool all, GArray *out);

#endif
