/** Sheds waiting pieces that have no prospect: load_shedding.h. */
#include "policy/pieces_private.h"

/* Error of the forecast that shedding allows for: the queue may drain faster
 * by this factor, as calls are shorter than expected or other work is dropped.
 */
#define FORECAST_ERROR 1.25

/* A late group in the queue. */
struct late_group {
	int64_t rank_us;
	guint start;
	guint end;
	enum load_shedding_reason reason;
	int64_t wait_us;
};

static gint compare_late_groups(gconstpointer a, gconstpointer b)
{
	const struct late_group *first = a;
	const struct late_group *second = b;

	if (first->rank_us != second->rank_us)
		return first->rank_us < second->rank_us ? -1 : 1;
	return first->start < second->start ? -1 : first->start > second->start;
}

static gint compare_starts(gconstpointer a, gconstpointer b)
{
	const struct late_group *first = a;
	const struct late_group *second = b;

	return first->start < second->start ? -1 : first->start > second->start;
}

/* The late groups in their order. `others`: number of the other pieces. */
static GArray *list_late_groups(const struct pieces *pieces, uint32_t *others)
{
	GArray *groups = g_array_new(FALSE, TRUE, sizeof(struct late_group));
	int64_t cutoff_us = pieces_lateness_cutoff_us(pieces);
	int64_t now_us = pieces_now_us(pieces);
	guint end;

	*others = 0;
	for (guint start = 0; start < pieces->waiting->len; start = end) {
		const struct piece *first = pieces_waiting(pieces, start);
		struct late_group group = { .start = start };

		end = pieces_group_end(pieces, start);
		group.end = end;
		group.rank_us = pieces_rank_us(first, cutoff_us);
		if (!first->resumes &&
		    (first->due_us < cutoff_us || first->expires_us <= now_us))
			g_array_append_val(groups, group);
		else
			*others += end - start;
	}
	g_array_sort(groups, compare_late_groups);
	return groups;
}

static bool is_in_progress(const struct pieces *pieces,
			   const struct piece *piece)
{
	for (guint i = 0; i < pieces->calls->len; i++) {
		const struct pieces_call *call =
			g_ptr_array_index(pieces->calls, i);

		for (guint j = 0; j < call->pieces->len; j++) {
			const struct piece *other =
				&g_array_index(call->pieces, struct piece, j);

			if (other->request == piece->request &&
			    other->stage == piece->stage)
				return true;
		}
	}
	return false;
}

/* Forecast for a queue with late groups, by the shortest waiting times that its
 * error allows for. */
struct forecast {
	struct pieces_capacity capacity;
	struct load_shedding_queue queue;
	/* Work ahead of the next late group. */
	struct queue_forecast_load load;
};

static struct forecast make_forecast(const struct pieces *pieces,
				     uint32_t others)
{
	int64_t now_us = pieces_now_us(pieces);
	struct forecast forecast = {
		.capacity = pieces_measure_capacity(pieces),
		.load.ahead = others,
		.load.committed = queue_forecast_committed(
			&pieces->forecast, QUEUE_FORECAST_RANKS),
		.load.arrivals = queue_forecast_arrivals(
			&pieces->forecast, QUEUE_FORECAST_RANKS, now_us),
	};
	double rate = forecast.capacity.pieces_per_us;

	forecast.load.capacity = rate * FORECAST_ERROR;
	forecast.queue.now_us = now_us;
	forecast.queue.call_us =
		pieces_call_time_us(pieces, pieces->options.batch_max);
	forecast.queue.on_time_us = others / rate;
	forecast.queue.on_time_use = forecast.load.arrivals.recent / rate;
	return forecast;
}

/* Shortest time until the group is completed. */
static int64_t forecast_group_us(const struct pieces *pieces,
				 const struct forecast *forecast,
				 const struct late_group *group)
{
	const struct piece *first = pieces_waiting(pieces, group->start);
	int64_t own_us =
		pieces_call_time_us(pieces, MIN(group->end - group->start,
						pieces->options.batch_max));
	int64_t wait_us;

	/* The rest of a group does not wait behind on-time work. Without
	 * upstreams there is no forecast. */
	if (first->group_started || !forecast->capacity.known)
		return own_us;
	wait_us = queue_forecast_wait_us(&forecast->load);
	if (wait_us == INT64_MAX)
		return INT64_MAX;
	return forecast->capacity.idle_in_us + wait_us + own_us;
}

static enum load_shedding_reason decide_group(const struct pieces *pieces,
					      const struct forecast *forecast,
					      const struct late_group *group)
{
	const struct piece *first = pieces_waiting(pieces, group->start);
	const struct load_shedding_group decided = {
		.late = true,
		.holds_memory = first->holds_memory && !first->group_started &&
				forecast->capacity.known,
		.wait_us = group->wait_us,
		.expires_us = first->expires_us,
	};
	enum load_shedding_reason reason =
		load_shedding_decide(&forecast->queue, &decided);

	return reason && is_in_progress(pieces, first) ? LOAD_SHEDDING_NONE
						       : reason;
}

/* Decides on each late group in their order. A group that is shed does not
 * delay those behind it. Returns whether any is shed. */
static bool decide_groups(const struct pieces *pieces, GArray *groups,
			  uint32_t others)
{
	struct forecast forecast = make_forecast(pieces, others);
	bool any = false;

	for (guint i = 0; i < groups->len; i++) {
		struct late_group *group =
			&g_array_index(groups, struct late_group, i);

		group->wait_us = forecast_group_us(pieces, &forecast, group);
		group->reason = decide_group(pieces, &forecast, group);
		if (group->reason)
			any = true;
		else
			forecast.load.ahead += group->end - group->start;
	}
	return any;
}

/* Moves a group to `out`. */
static void take_group(struct pieces *pieces, const struct late_group *group,
		       GArray *out)
{
	for (guint i = group->start; i < group->end; i++) {
		struct piece *piece = pieces_waiting(pieces, i);

		piece->shed_reason = group->reason;
		piece->shed_wait_us = group->wait_us;
		g_array_append_val(out, *piece);
	}
	g_array_remove_range(pieces->waiting, group->start,
			     group->end - group->start);
}

uint32_t pieces_shed(struct pieces *pieces, GArray *out)
{
	g_autoptr(GArray) groups = NULL;
	uint32_t shed = 0;
	uint32_t others;

	if (!pieces->waiting->len)
		return 0;
	groups = list_late_groups(pieces, &others);
	if (!groups->len || !decide_groups(pieces, groups, others))
		return 0;
	/* From the back, so that the positions of the others stay valid. */
	g_array_sort(groups, compare_starts);
	for (guint i = groups->len; i-- > 0;) {
		const struct late_group *group =
			&g_array_index(groups, struct late_group, i);

		if (!group->reason)
			continue;
		take_group(pieces, group, out);
		shed++;
	}
	return shed;
}
