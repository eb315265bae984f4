/**
 * Dependency graph of one request's stages: which pieces may run now, which
 * upstreams hold results, and which results are no longer needed.
 *
 * The work of a stage is split into pieces, each of which yields one result. A
 * result is named by a handle and is kept by its producer, an incarnation of an
 * upstream, until it is freed or the producer terminates. A stage is ready when
 * all pieces of its dependencies are completed. A stage without pieces is
 * skipped: the stages that depend on it depend on its dependencies instead.
 *
 * The graph copies the handles it is given. All functions are pure bookkeeping;
 * the caller runs pieces and frees results. Stages and pieces are named by
 * their indexes.
 */
#ifndef GRAPH_H
#define GRAPH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct graph;

/** A result that the graph no longer keeps. */
struct graph_result {
	char *handle;	   /**< owned by the receiver */
	uint64_t producer; /**< incarnation of an upstream */
	int64_t bytes;
};

enum graph_piece_state {
	GRAPH_PIECE_MISSING,
	GRAPH_PIECE_REQUESTED, /**< queued or running */
	GRAPH_PIECE_COMPLETED,
};

struct graph_stage {
	const uint32_t *dependencies;
	uint32_t dependencies_count;
	uint32_t pieces;
};

/** Copies `stages`. A stage may depend on earlier ones only. */
struct graph *graph_create(const struct graph_stage *stages, uint32_t count);
void graph_destroy(struct graph *graph);

/** Whether all pieces of a stage's dependencies are completed. */
bool graph_stage_ready(const struct graph *graph, uint32_t stage);
/** Whether all pieces of a stage are completed. */
bool graph_stage_completed(const struct graph *graph, uint32_t stage);
uint32_t graph_piece_count(const struct graph *graph, uint32_t stage);
enum graph_piece_state graph_get_piece_state(const struct graph *graph,
					     uint32_t stage, uint32_t piece);
void graph_set_requested(struct graph *graph, uint32_t stage, uint32_t piece);
/** A requested piece was not completed: it is missing again. */
void graph_reset_piece(struct graph *graph, uint32_t stage, uint32_t piece);
void graph_complete_piece(struct graph *graph, uint32_t stage, uint32_t piece,
			  const char *handle, uint64_t producer, int64_t bytes);
/** Whether all pieces of all stages are completed. */
bool graph_is_complete(const struct graph *graph);
/**
 * Appends the handles that a stage takes in to `out` (borrowed). The number of
 * stages instead of a stage stands for the request itself, which takes in the
 * results that no stage does.
 */
void graph_input_handles(const struct graph *graph, uint32_t stage,
			 GPtrArray *out);
/** Whether all results that a stage takes in are available. */
bool graph_inputs_available(const struct graph *graph, uint32_t stage);
/**
 * Marks all completed inputs of a stage as missing, because some of them are
 * lost and it is not known which. Results still available are appended to
 * `out`, of struct graph_result, to be freed at their producers.
 */
void graph_discard_inputs(struct graph *graph, uint32_t stage, GArray *out);
/** The producer of a stage's first piece, or 0. */
uint64_t graph_stage_producer(const struct graph *graph, uint32_t stage);
/** The failure domain of a producer; NULL: unknown. */
typedef const char *(*graph_domain_fn)(void *userdata, uint64_t producer);
/**
 * The failure domain that holds most bytes of the results that the request
 * itself takes in, and how many; NULL: none. Borrowed from `domain_of`.
 *
 * Compares bytes, not numbers of results, as a request may take in few large
 * results of one stage and many small ones of another.
 */
const char *graph_main_domain(const struct graph *graph,
			      graph_domain_fn domain_of, void *userdata,
			      int64_t *bytes);
/**
 * Moves the results that are no longer needed, or with `all` every result, to
 * `out`, of struct graph_result. A result is needed by the request, or by a
 * stage that takes it in and is not completed.
 */
void graph_take_unused_results(struct graph *graph, bool all, GArray *out);

#endif
