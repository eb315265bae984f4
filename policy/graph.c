#include "policy/graph.h"

#include <string.h>

struct piece {
	enum graph_piece_state state;
	char *handle;	   /* of an available result, else NULL */
	uint64_t producer; /* 0: none */
	int64_t result_bytes;
};

struct stage {
	uint32_t *dependencies;
	uint32_t dependencies_count;
	struct piece *pieces;
	uint32_t pieces_count;
};

struct graph {
	struct stage *stages;
	uint32_t count;
};

struct graph *graph_create(const struct graph_stage *stages, uint32_t count)
{
	struct graph *graph = g_new0(struct graph, 1);

	graph->count = count;
	graph->stages = g_new0(struct stage, count);
	for (uint32_t i = 0; i < count; i++) {
		struct stage *stage = &graph->stages[i];

		stage->dependencies =
			g_memdup2(stages[i].dependencies,
				  stages[i].dependencies_count *
					  sizeof(*stages[i].dependencies));
		stage->dependencies_count = stages[i].dependencies_count;
		stage->pieces_count = stages[i].pieces;
		stage->pieces = g_new0(struct piece, stages[i].pieces);
	}
	return graph;
}

static void clear_result(struct piece *piece)
{
	g_clear_pointer(&piece->handle, g_free);
	piece->producer = 0;
}

void graph_destroy(struct graph *graph)
{
	if (!graph)
		return;
	for (uint32_t i = 0; i < graph->count; i++) {
		struct stage *stage = &graph->stages[i];

		for (uint32_t j = 0; j < stage->pieces_count; j++)
			clear_result(&stage->pieces[j]);
		g_free(stage->pieces);
		g_free(stage->dependencies);
	}
	g_free(graph->stages);
	g_free(graph);
}

static bool is_stage_completed(const struct stage *stage)
{
	for (uint32_t i = 0; i < stage->pieces_count; i++)
		if (stage->pieces[i].state != GRAPH_PIECE_COMPLETED)
			return false;
	return true;
}

bool graph_stage_ready(const struct graph *graph, uint32_t number)
{
	const struct stage *stage = &graph->stages[number];

	for (uint32_t i = 0; i < stage->dependencies_count; i++) {
		uint32_t dependency = stage->dependencies[i];

		if (!is_stage_completed(&graph->stages[dependency]))
			return false;
		if (!graph->stages[dependency].pieces_count &&
		    !graph_stage_ready(graph, dependency))
			return false;
	}
	return true;
}

bool graph_stage_completed(const struct graph *graph, uint32_t stage)
{
	return is_stage_completed(&graph->stages[stage]);
}

uint32_t graph_piece_count(const struct graph *graph, uint32_t stage)
{
	return graph->stages[stage].pieces_count;
}

enum graph_piece_state graph_get_piece_state(const struct graph *graph,
					     uint32_t stage, uint32_t piece)
{
	return graph->stages[stage].pieces[piece].state;
}

void graph_set_requested(struct graph *graph, uint32_t stage, uint32_t piece)
{
	graph->stages[stage].pieces[piece].state = GRAPH_PIECE_REQUESTED;
}

void graph_reset_piece(struct graph *graph, uint32_t stage, uint32_t piece)
{
	graph->stages[stage].pieces[piece].state = GRAPH_PIECE_MISSING;
}

void graph_complete_piece(struct graph *graph, uint32_t stage, uint32_t number,
			  const char *handle, uint64_t producer, int64_t bytes)
{
	struct piece *piece = &graph->stages[stage].pieces[number];

	clear_result(piece);
	piece->state = GRAPH_PIECE_COMPLETED;
	piece->handle = g_strdup(handle);
	piece->producer = producer;
	piece->result_bytes = bytes;
}

bool graph_is_complete(const struct graph *graph)
{
	for (uint32_t i = 0; i < graph->count; i++)
		if (!is_stage_completed(&graph->stages[i]))
			return false;
	return true;
}

/* Whether stage `consumer` (or the request: consumer == count) takes in the
 * results of stage `producer`, directly or through stages without pieces. */
static bool consumes(const struct graph *graph, uint32_t consumer,
		     uint32_t producer)
{
	const struct stage *stage;

	if (consumer == graph->count) {
		/* The request takes in the results that no stage takes in. */
		for (uint32_t i = producer + 1; i < graph->count; i++)
			if (graph->stages[i].pieces_count &&
			    consumes(graph, i, producer))
				return false;
		return true;
	}
	stage = &graph->stages[consumer];
	for (uint32_t i = 0; i < stage->dependencies_count; i++) {
		uint32_t dependency = stage->dependencies[i];

		if (dependency == producer)
			return true;
		if (!graph->stages[dependency].pieces_count &&
		    consumes(graph, dependency, producer))
			return true;
	}
	return false;
}

void graph_input_handles(const struct graph *graph, uint32_t consumer,
			 GPtrArray *out)
{
	uint32_t end = MIN(consumer, graph->count);

	for (uint32_t i = 0; i < end; i++) {
		const struct stage *stage = &graph->stages[i];

		if (!consumes(graph, consumer, i))
			continue;
		for (uint32_t j = 0; j < stage->pieces_count; j++)
			if (stage->pieces[j].handle)
				g_ptr_array_add(out, stage->pieces[j].handle);
	}
}

bool graph_inputs_available(const struct graph *graph, uint32_t consumer)
{
	uint32_t end = MIN(consumer, graph->count);

	for (uint32_t i = 0; i < end; i++) {
		const struct stage *stage = &graph->stages[i];

		if (!consumes(graph, consumer, i))
			continue;
		for (uint32_t j = 0; j < stage->pieces_count; j++)
			if (!stage->pieces[j].handle)
				return false;
	}
	return true;
}

static bool is_result_needed(const struct graph *graph, uint32_t producer)
{
	if (consumes(graph, graph->count, producer))
		return true;
	for (uint32_t i = producer + 1; i < graph->count; i++)
		if (consumes(graph, i, producer) &&
		    !is_stage_completed(&graph->stages[i]))
			return true;
	return false;
}

/* Moves an available result to `out`, whose owner frees it at its producer. */
static void move_result(struct piece *piece, GArray *out)
{
	struct graph_result result;

	if (!piece->handle)
		return;
	result.handle = g_steal_pointer(&piece->handle);
	result.producer = piece->producer;
	piece->producer = 0;
	result.bytes = piece->result_bytes;
	g_array_append_val(out, result);
}

void graph_discard_inputs(struct graph *graph, uint32_t consumer, GArray *out)
{
	uint32_t end = MIN(consumer, graph->count);

	for (uint32_t i = 0; i < end; i++) {
		struct stage *stage = &graph->stages[i];

		if (!consumes(graph, consumer, i))
			continue;
		for (uint32_t j = 0; j < stage->pieces_count; j++) {
			if (stage->pieces[j].state != GRAPH_PIECE_COMPLETED)
				continue;
			move_result(&stage->pieces[j], out);
			stage->pieces[j].state = GRAPH_PIECE_MISSING;
		}
	}
}

uint64_t graph_stage_producer(const struct graph *graph, uint32_t number)
{
	const struct stage *stage = &graph->stages[number];

	return stage->pieces_count ? stage->pieces[0].producer : 0;
}

struct domain_bytes {
	const char *domain;
	int64_t bytes;
};

static void add_bytes(GArray *totals, const char *domain, int64_t bytes)
{
	struct domain_bytes domain_bytes = { domain, bytes };

	for (guint i = 0; i < totals->len; i++) {
		struct domain_bytes *entry =
			&g_array_index(totals, struct domain_bytes, i);

		if (strcmp(entry->domain, domain) != 0)
			continue;
		entry->bytes += bytes;
		return;
	}
	g_array_append_val(totals, domain_bytes);
}

const char *graph_main_domain(const struct graph *graph,
			      graph_domain_fn domain_of, void *userdata,
			      int64_t *bytes)
{
	g_autoptr(GArray) totals =
		g_array_new(FALSE, FALSE, sizeof(struct domain_bytes));
	struct domain_bytes best = { 0 };

	for (uint32_t i = 0; i < graph->count; i++) {
		const struct stage *stage = &graph->stages[i];

		if (!consumes(graph, graph->count, i))
			continue;
		for (uint32_t j = 0; j < stage->pieces_count; j++) {
			const struct piece *piece = &stage->pieces[j];
			const char *domain =
				domain_of(userdata, piece->producer);

			if (domain)
				add_bytes(totals, domain, piece->result_bytes);
		}
	}
	for (guint i = 0; i < totals->len; i++) {
		struct domain_bytes domain_bytes =
			g_array_index(totals, struct domain_bytes, i);

		if (domain_bytes.bytes > best.bytes)
			best = domain_bytes;
	}
	*bytes = best.bytes;
	return best.domain;
}

void graph_take_unused_results(struct graph *graph, bool all, GArray *out)
{
	for (uint32_t i = 0; i < graph->count; i++) {
		struct stage *stage = &graph->stages[i];

		if (!all && is_result_needed(graph, i))
			continue;
		for (uint32_t j = 0; j < stage->pieces_count; j++)
			move_result(&stage->pieces[j], out);
	}
}
