#include "policy/graph.h"

#include <string.h>

struct piece {
	enum graph_piece_state state;
	char *handle;	/* of a made one that is still kept */
	uint64_t maker; /* 0: nobody */
	int64_t result_bytes;
};

struct stage {
	uint32_t *after;
	uint32_t after_count;
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

		stage->after =
			g_memdup2(stages[i].dependencies,
				  stages[i].dependencies_count *
					  sizeof(*stages[i].dependencies));
		stage->after_count = stages[i].dependencies_count;
		stage->pieces_count = stages[i].pieces;
		stage->pieces = g_new0(struct piece, stages[i].pieces);
	}
	return graph;
}

static void forget(struct piece *piece)
{
	g_clear_pointer(&piece->handle, g_free);
	piece->maker = 0;
}

void graph_destroy(struct graph *graph)
{
	if (!graph)
		return;
	for (uint32_t i = 0; i < graph->count; i++) {
		struct stage *stage = &graph->stages[i];

		for (uint32_t j = 0; j < stage->pieces_count; j++)
			forget(&stage->pieces[j]);
		g_free(stage->pieces);
		g_free(stage->after);
	}
	g_free(graph->stages);
	g_free(graph);
}

static bool stage_made(const struct stage *stage)
{
	for (uint32_t i = 0; i < stage->pieces_count; i++)
		if (stage->pieces[i].state != GRAPH_PIECE_COMPLETED)
			return false;
	return true;
}

bool graph_stage_ready(const struct graph *graph, uint32_t number)
{
	const struct stage *stage = &graph->stages[number];

	for (uint32_t i = 0; i < stage->after_count; i++) {
		uint32_t before = stage->after[i];

		if (!stage_made(&graph->stages[before]))
			return false;
		if (!graph->stages[before].pieces_count &&
		    !graph_stage_ready(graph, before))
			return false;
	}
	return true;
}

bool graph_stage_completed(const struct graph *graph, uint32_t stage)
{
	return stage_made(&graph->stages[stage]);
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
			  const char *handle, uint64_t maker, int64_t bytes)
{
	struct piece *piece = &graph->stages[stage].pieces[number];

	forget(piece);
	piece->state = GRAPH_PIECE_COMPLETED;
	piece->handle = g_strdup(handle);
	piece->maker = maker;
	piece->result_bytes = bytes;
}

bool graph_is_complete(const struct graph *graph)
{
	for (uint32_t i = 0; i < graph->count; i++)
		if (!stage_made(&graph->stages[i]))
			return false;
	return true;
}

/* Whether stage `taker` (or the request: taker == count) takes in the results
 * of `maker`, directly or past stages of no pieces. */
static bool takes_from(const struct graph *graph, uint32_t taker,
		       uint32_t maker)
{
	const struct stage *stage;

	if (taker == graph->count) {
		/* The request takes in what no other stage does. */
		for (uint32_t i = maker + 1; i < graph->count; i++)
			if (graph->stages[i].pieces_count &&
			    takes_from(graph, i, maker))
				return false;
		return true;
	}
	stage = &graph->stages[taker];
	for (uint32_t i = 0; i < stage->after_count; i++) {
		uint32_t before = stage->after[i];

		if (before == maker)
			return true;
		if (!graph->stages[before].pieces_count &&
		    takes_from(graph, before, maker))
			return true;
	}
	return false;
}

void graph_input_handles(const struct graph *graph, uint32_t taker,
			 GPtrArray *out)
{
	uint32_t end = MIN(taker, graph->count);

	for (uint32_t i = 0; i < end; i++) {
		const struct stage *stage = &graph->stages[i];

		if (!takes_from(graph, taker, i))
			continue;
		for (uint32_t j = 0; j < stage->pieces_count; j++)
			if (stage->pieces[j].handle)
				g_ptr_array_add(out, stage->pieces[j].handle);
	}
}

bool graph_inputs_available(const struct graph *graph, uint32_t taker)
{
	uint32_t end = MIN(taker, graph->count);

	for (uint32_t i = 0; i < end; i++) {
		const struct stage *stage = &graph->stages[i];

		if (!takes_from(graph, taker, i))
			continue;
		for (uint32_t j = 0; j < stage->pieces_count; j++)
			if (!stage->pieces[j].handle)
				return false;
	}
	return true;
}

static bool is_needed(const struct graph *graph, uint32_t maker)
{
	if (takes_from(graph, graph->count, maker))
		return true;
	for (uint32_t i = maker + 1; i < graph->count; i++)
		if (takes_from(graph, i, maker) &&
		    !stage_made(&graph->stages[i]))
			return true;
	return false;
}

/* Hand a kept result over to be given up. */
static void take_result(struct piece *piece, GArray *out)
{
	struct graph_result result;

	if (!piece->handle)
		return;
	result.handle = g_steal_pointer(&piece->handle);
	result.producer = piece->maker;
	piece->maker = 0;
	result.bytes = piece->result_bytes;
	g_array_append_val(out, result);
}

void graph_discard_inputs(struct graph *graph, uint32_t taker, GArray *out)
{
	uint32_t end = MIN(taker, graph->count);

	for (uint32_t i = 0; i < end; i++) {
		struct stage *stage = &graph->stages[i];

		if (!takes_from(graph, taker, i))
			continue;
		for (uint32_t j = 0; j < stage->pieces_count; j++) {
			if (stage->pieces[j].state != GRAPH_PIECE_COMPLETED)
				continue;
			take_result(&stage->pieces[j], out);
			stage->pieces[j].state = GRAPH_PIECE_MISSING;
		}
	}
}

uint64_t graph_stage_producer(const struct graph *graph, uint32_t number)
{
	const struct stage *stage = &graph->stages[number];

	return stage->pieces_count ? stage->pieces[0].maker : 0;
}

struct share {
	const char *domain;
	int64_t bytes;
};

static void add_share(GArray *shares, const char *domain, int64_t bytes)
{
	struct share share = { domain, bytes };

	for (guint i = 0; i < shares->len; i++) {
		struct share *other = &g_array_index(shares, struct share, i);

		if (strcmp(other->domain, domain) != 0)
			continue;
		other->bytes += bytes;
		return;
	}
	g_array_append_val(shares, share);
}

const char *graph_main_domain(const struct graph *graph,
			      graph_domain_fn domain_of, void *userdata,
			      int64_t *bytes)
{
	g_autoptr(GArray) shares =
		g_array_new(FALSE, FALSE, sizeof(struct share));
	struct share best = { 0 };

	for (uint32_t i = 0; i < graph->count; i++) {
		const struct stage *stage = &graph->stages[i];

		if (!takes_from(graph, graph->count, i))
			continue;
		for (uint32_t j = 0; j < stage->pieces_count; j++) {
			const struct piece *piece = &stage->pieces[j];
			const char *domain = domain_of(userdata, piece->maker);

			if (domain)
				add_share(shares, domain, piece->result_bytes);
		}
	}
	for (guint i = 0; i < shares->len; i++) {
		struct share share = g_array_index(shares, struct share, i);

		if (share.bytes > best.bytes)
			best = share;
	}
	*bytes = best.bytes;
	return best.domain;
}

void graph_take_unused_results(struct graph *graph, bool all, GArray *out)
{
	for (uint32_t i = 0; i < graph->count; i++) {
		struct stage *stage = &graph->stages[i];

		if (!all && is_needed(graph, i))
			continue;
		for (uint32_t j = 0; j < stage->pieces_count; j++)
			take_result(&stage->pieces[j], out);
	}
}
