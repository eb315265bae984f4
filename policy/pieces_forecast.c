/** Forecast of a queue of pieces: waiting times, and which pieces are shed. */
#include "policy/pieces_private.h"

/* Error of the forecast that shedding allows for: the queue may drain faster
 * by this factor, as calls are shorter than expected or other work is dropped.
 */
#define FORECAST_ERROR 1.25

/* ---- capacity ---- */

/* Capacity of the upstreams that this queue may call. */
struct capacity {
	double total_speed; /* in upstreams of normal speed */
	int64_t idle_in_us; /* time until the first is idle */
	bool known;	    /* there are upstreams */
};

/* Whether only its advertised rate limit keeps the upstream from a call. */
static bool awaits_rate_limit(const struct pieces *pieces,
			      const struct pool_upstream *upstream)
{
	return pieces_is_own_upstream(pieces, upstream) &&
	       pool_is_eligible(upstream) &&
	       pool_rate_limit_wait_us(pieces->options.pool, upstream);
}

/* Calls that the upstream completes in the time of one at normal speed. */
static double relative_speed(const struct pieces *pieces,
			     const struct pool_upstream *upstream)
{
	double speed = 1.0 / MAX(upstream->slowness, 0.1);
	int64_t call_us =
		pieces_call_time_us(pieces, pieces->options.batch_max);

	if (!upstream->rate_limit.advertised)
		return speed;
	return MIN(speed,
		   pool_rate_limit_per_s(pieces->options.pool, upstream) *
			   (double)call_us / LP_US_PER_S);
}

static struct capacity measure_capacity(const struct pieces *pieces)
{
	const GPtrArray *list = pieces_upstreams(pieces);
	struct capacity capacity = { .idle_in_us = G_MAXINT64 };

	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (!pieces_is_usable(pieces, upstream) &&
		    !awaits_rate_limit(pieces, upstream))
			continue;
		capacity.known = true;
		capacity.total_speed += relative_speed(pieces, upstream);
		capacity.idle_in_us =
			MIN(capacity.idle_in_us,
			    MAX(pieces_time_until_idle_us(pieces, upstream),
				pool_rate_limit_wait_us(pieces->options.pool,
							upstream)));
	}
	if (capacity.total_speed > 0)
		return capacity;
	return (struct capacity){
		.total_speed = 1.0,
		.idle_in_us = pieces_call_time_us(pieces, 1),
	};
}

/* Time in which full calls process so many pieces. */
static double queue_time_us(const struct pieces *pieces,
			    const struct capacity *capacity, double count)
{
	uint32_t batch = MAX(pieces->options.batch_max, 1);

	return count * (double)pieces_call_time_us(pieces, batch) /
	       (batch * capacity->total_speed);
}

/* ---- estimates ---- */

/* Whether a waiting piece goes behind those that can be on time. */
static bool is_late(const struct piece *piece, int64_t cutoff_us)
{
	return !piece->group_started && piece->due_us < cutoff_us;
}

/* Pieces that go ahead of one of this priority that is added now and can be on
 * time. Late ones do not. */
static uint32_t count_ahead(const struct pieces *pieces, int32_t priority)
{
	int64_t cutoff_us = pieces_lateness_cutoff_us(pieces);
	uint32_t count = 0;

	for (guint i = 0; i < pieces->waiting->len; i++) {
		const struct piece *piece = pieces_waiting(pieces, i);

		if (is_late(piece, cutoff_us))
			continue;
		count += piece->group_started || piece->priority <= priority;
	}
	return count;
}

static int64_t estimate_us(const struct pieces *pieces,
			   const struct capacity *capacity, int32_t priority)
{
	uint32_t ahead = count_ahead(pieces, priority);
	uint32_t batch = MAX(pieces->options.batch_max, 1);

	return capacity->idle_in_us +
	       (int64_t)queue_time_us(pieces, capacity, ahead) +
	       pieces_call_time_us(pieces, MIN(ahead + 1, batch));
}

int64_t pieces_estimate_us(const struct pieces *pieces, int32_t priority)
{
	struct capacity capacity = measure_capacity(pieces);

	return estimate_us(pieces, &capacity, priority);
}

void pieces_estimate_by_priority_us(const struct pieces *pieces, int64_t *out,
				    int32_t count)
{
	struct capacity capacity = measure_capacity(pieces);

	for (int32_t priority = 0; priority < count; priority++)
		out[priority] = estimate_us(pieces, &capacity, priority);
}

/* ---- shedding ---- */

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
		if (first->due_us < cutoff_us || first->expires_us <= now_us)
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

static void decide_group(const struct pieces *pieces,
			 const struct capacity *capacity,
			 const struct load_shedding_queue *queue,
			 uint32_t ahead, struct late_group *group)
{
	const struct piece *first = pieces_waiting(pieces, group->start);
	bool waits = !first->group_started; /* behind on-time work */
	uint32_t count = group->end - group->start;
	struct load_shedding_group decided = {
		.late = true,
		.holds_memory = first->holds_memory && waits,
		.expires_us = first->expires_us,
	};

	group->wait_us = pieces_call_time_us(
		pieces, MIN(count, pieces->options.batch_max));
	if (capacity->known && waits)
		group->wait_us +=
			capacity->idle_in_us +
			(int64_t)(queue_time_us(pieces, capacity, ahead) /
				  FORECAST_ERROR);
	decided.wait_us = group->wait_us;
	group->reason = load_shedding_decide(queue, &decided);
	if (group->reason && is_in_progress(pieces, first))
		group->reason = LOAD_SHEDDING_NONE;
}

/* Decides on each late group in their order. A group that is shed does not
 * delay those behind it. Returns whether any is shed. */
static bool decide_groups(const struct pieces *pieces, GArray *groups,
			  uint32_t others)
{
	struct capacity capacity = measure_capacity(pieces);
	const struct load_shedding_queue queue = {
		.now_us = pieces_now_us(pieces),
		.call_us =
			pieces_call_time_us(pieces, pieces->options.batch_max),
		.on_time_us = queue_time_us(pieces, &capacity, others),
	};
	uint32_t ahead = others;
	bool any = false;

	for (guint i = 0; i < groups->len; i++) {
		struct late_group *group =
			&g_array_index(groups, struct late_group, i);

		decide_group(pieces, &capacity, &queue, ahead, group);
		if (group->reason)
			any = true;
		else
			ahead += group->end - group->start;
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
