/** The order in which waiting pieces are sent. */
#include "policy/pieces_private.h"

/* Among pieces that can be on time, a step of priority outweighs any due time:
 * less urgent pieces must not be served more often. */
#define PRIORITY_RANK_US (20 * LP_US_PER_S)
/* Late pieces are ordered behind all that can still be on time. */
#define LATE_RANK_US (1000 * LP_US_PER_S)

int64_t pieces_lateness_cutoff_us(const struct pieces *pieces)
{
	uint32_t others =
		MIN(MAX(pieces->waiting->len, 1), pieces->options.batch_max) -
		1;

	return pieces_now_us(pieces) + others * pieces->options.piece_us;
}

/*
 * Pieces of resumed streams go first: their callers wait only a short time for
 * the next event. The rest of a started group goes before other pieces, as the
 * results of its other pieces occupy memory until then. Late pieces go last,
 * also where their inputs occupy scarce memory: if they went first, each piece
 * of an overloaded stage would start when it is already too late. Shedding
 * frees the memory of those that have no prospect (load_shedding.h).
 */
int64_t pieces_rank_us(const struct piece *piece, int64_t lateness_cutoff_us)
{
	int64_t rank = piece->due_us + piece->priority * PRIORITY_RANK_US;

	if (piece->resumes)
		return rank - 2 * LATE_RANK_US;
	if (piece->group_started)
		return rank - LATE_RANK_US;
	return piece->due_us >= lateness_cutoff_us ? rank : rank + LATE_RANK_US;
}

static int compare_rank(gconstpointer a, gconstpointer b, gpointer userdata)
{
	const int64_t *cutoff_us = userdata;
	const struct piece *first = a;
	const struct piece *second = b;
	int64_t one = pieces_rank_us(first, *cutoff_us);
	int64_t two = pieces_rank_us(second, *cutoff_us);

	if (one != two)
		return one < two ? -1 : 1;
	/* Pieces of one request stay adjacent. */
	if (first->request != second->request)
		return first->request < second->request ? -1 : 1;
	return first->stage < second->stage ? -1 : first->stage > second->stage;
}

void pieces_sort(struct pieces *pieces)
{
	int64_t cutoff_us = pieces_lateness_cutoff_us(pieces);

	g_array_sort_with_data(pieces->waiting, compare_rank, &cutoff_us);
}

guint pieces_group_end(const struct pieces *pieces, guint start)
{
	const struct piece *first = pieces_waiting(pieces, start);
	guint end = start + 1;

	while (end < pieces->waiting->len &&
	       pieces_waiting(pieces, end)->request == first->request &&
	       pieces_waiting(pieces, end)->stage == first->stage)
		end++;
	return end;
}
