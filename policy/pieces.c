#include "policy/pieces_private.h"

#include "policy/stall.h"

#include <string.h>

/* Transfers between failure domains cost money, so a piece waits for an
 * upstream in its preferred domain: 3 MB of results are worth 48 ms of
 * waiting ... */
#define RESULT_FETCH_BYTES_PER_US 62
/* ... and inputs are worth more, as each piece of a stage fetches all of them
 * ... */
#define INPUT_FETCH_BYTES_PER_US 10
/* ... but no piece waits longer than about the time of a full call. */
#define DOMAIN_WAIT_MAX_US (400 * LP_US_PER_MS)
/* Longest time until the queue is checked again while pieces wait. */
#define RECHECK_INTERVAL_US (10 * LP_US_PER_MS)
/* An idle upstream stays idle if a busy one would finish the same call sooner
 * by this factor. */
#define SLOW_CALL_FACTOR 1.5

/* A call times out after this many times its expected duration. */
#define CALL_TIMEOUT_FACTOR 3
#define CALL_TIMEOUT_MIN_US (700 * LP_US_PER_MS)
#define CALL_TIMEOUT_DOUBLINGS_MAX 2

/* Interval between memory queries to an upstream that holds results of other
 * dispatchers; a call lasts about twice as long. */
#define MEMORY_QUERY_INTERVAL_US (150 * LP_US_PER_MS)
/* An upstream gets no call until it has answered its first memory query, or
 * until five round trips have passed. */
#define MEMORY_QUERY_TIMEOUT_US (25 * LP_US_PER_MS)

struct pieces *pieces_create(const struct pieces_options *options)
{
	struct pieces *pieces = g_new0(struct pieces, 1);

	pieces->options = *options;
	pieces->service = g_strdup(options->service);
	pieces->waiting = g_array_new(FALSE, FALSE, sizeof(struct piece));
	pieces->calls = g_ptr_array_new();
	queue_forecast_init(&pieces->forecast, pieces_now_us(pieces));
	pieces_set_shards(pieces, 1, 1);
	return pieces;
}

void pieces_destroy(struct pieces *pieces)
{
	if (!pieces)
		return;
	g_free(pieces->service);
	g_array_unref(pieces->waiting);
	g_ptr_array_unref(pieces->calls);
	g_free(pieces);
}

void pieces_update_options(struct pieces *pieces,
			   const struct pieces_options *options)
{
	pieces->options.batch_max = options->batch_max;
	pieces->options.call_us = options->call_us;
	pieces->options.piece_us = options->piece_us;
	pieces->options.result_memory_bytes = options->result_memory_bytes;
	pieces->options.result_ttl_us = options->result_ttl_us;
}

/* The previous dispatcher of a shard may have left results at any upstream. */
static void invalidate_memory_reports(struct pieces *pieces)
{
	const GPtrArray *list = pieces_upstreams(pieces);

	for (guint i = 0; i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);

		upstream->result_memory_queried_us = 0;
		upstream->result_memory_reported_us = 0;
	}
}

void pieces_set_shards(struct pieces *pieces, uint32_t shards,
		       uint64_t own_shards)
{
	if (pieces->shards == shards && pieces->own_shards == own_shards)
		return;
	pieces->shards = shards;
	pieces->own_shards = own_shards;
	invalidate_memory_reports(pieces);
}

void pieces_add(struct pieces *pieces, const struct piece *piece)
{
	int64_t now_us = pieces_now_us(pieces);

	g_array_append_vals(pieces->waiting, piece, 1);
	pieces_waiting(pieces, pieces->waiting->len - 1)->added_us = now_us;
	if (piece->due_us >= now_us)
		queue_forecast_note_arrival(&pieces->forecast, piece->priority,
					    now_us);
}

uint32_t pieces_drop_request(struct pieces *pieces, const void *request)
{
	uint32_t dropped = 0;

	for (guint i = pieces->waiting->len; i-- > 0;) {
		if (pieces_waiting(pieces, i)->request != request)
			continue;
		g_array_remove_index(pieces->waiting, i);
		dropped++;
	}
	return dropped;
}

/* ---- upstreams ---- */

bool pieces_is_own_upstream(const struct pieces *pieces,
			    const struct pool_upstream *upstream)
{
	return pieces->own_shards >> (upstream->hash % pieces->shards) & 1;
}

bool pieces_is_usable(const struct pieces *pieces,
		      const struct pool_upstream *upstream)
{
	return pieces_is_own_upstream(pieces, upstream) &&
	       pool_is_available(pieces->options.pool, upstream);
}

int64_t pieces_time_until_idle_us(const struct pieces *pieces,
				  const struct pool_upstream *upstream)
{
	int64_t now_us = pieces_now_us(pieces);
	int64_t left_us = MAX(upstream->busy_until_us - now_us, 0);

	for (guint i = 0; i < pieces->calls->len; i++) {
		const struct pieces_call *call =
			g_ptr_array_index(pieces->calls, i);

		/* A call that takes longer than expected may end any time. */
		if (call->upstream == upstream)
			left_us = MAX(left_us,
				      MAX(call->started_us + call->expected_us -
						  now_us,
					  1));
	}
	return left_us;
}

static double expected_call_us(const struct pieces *pieces,
			       const struct pool_upstream *upstream,
			       uint32_t count)
{
	return (double)pieces_call_time_us(pieces, count) *
	       pool_upstream_time_factor(pieces->options.pool, upstream) *
	       (1.0 + 2.0 * upstream->error_rate);
}

int64_t pieces_free_memory_bytes(const struct pieces *pieces,
				 const struct pool_upstream *upstream)
{
	if (!pieces->options.result_memory_bytes)
		return G_MAXINT64;
	return pieces->options.result_memory_bytes -
	       result_memory_used_bytes(upstream->result_memory);
}

/* Whether the upstream's first memory report is still due. */
static bool awaits_memory_report(const struct pieces *pieces,
				 const struct pool_upstream *upstream)
{
	return pieces->options.result_memory_bytes &&
	       !upstream->result_memory_reported_us &&
	       !upstream->rate_limit.advertised &&
	       (!upstream->result_memory_queried_us ||
		pieces_now_us(pieces) - upstream->result_memory_queried_us <
			MEMORY_QUERY_TIMEOUT_US);
}

/* ---- groups ---- */

/* Whether the results of a whole group fit: results of an incomplete group
 * would occupy memory while they wait for the rest. A group that is larger than
 * the whole memory may be started in part. */
static bool group_fits(const struct pieces *pieces, guint start, guint end,
		       int64_t free_bytes)
{
	int64_t bytes = 0;

	for (guint i = start; i < end; i++)
		bytes += pieces_waiting(pieces, i)->result_bytes;
	return bytes <= free_bytes ||
	       bytes > pieces->options.result_memory_bytes;
}

/* Whether a group may be added to a batch of `count` pieces: it fits as a
 * whole, or the queue is long enough that the remainder will not make a small
 * call by itself. */
static bool may_join_batch(const struct pieces *pieces, uint32_t count,
			   uint32_t group)
{
	uint32_t batch_max = pieces->options.batch_max;

	return !count || count + group <= batch_max ||
	       pieces->waiting->len >= 2 * batch_max;
}

static bool any_usable_in_domain(const struct pieces *pieces,
				 const char *domain)
{
	const GPtrArray *list = pieces_upstreams(pieces);

	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (!strcmp(upstream->info.domain, domain) &&
		    pieces_is_usable(pieces, upstream))
			return true;
	}
	return false;
}

/* Whether waiting any longer would make the piece late. A piece that was late
 * when it was added is never due. */
static bool is_due_now(const struct pieces *pieces, const struct piece *piece)
{
	return pieces_lateness_cutoff_us(pieces) >= piece->due_us &&
	       piece->due_us > piece->added_us;
}

/* Whether a group may go to this upstream now. Else it waits for one in its
 * preferred domain: at most for the time that the bytes to be transferred
 * between domains are worth, and only while it would not be late. */
static bool may_use_upstream(const struct pieces *pieces, guint start,
			     guint end, const struct pool_upstream *upstream)
{
	const struct piece *first = pieces_waiting(pieces, start);
	int64_t now_us = pieces_now_us(pieces);
	int64_t fetch_cost_us;

	if (!first->preferred_domain ||
	    !strcmp(first->preferred_domain, upstream->info.domain))
		return true;
	fetch_cost_us = first->preferred_bytes * (end - start) /
			(first->has_inputs ? INPUT_FETCH_BYTES_PER_US
					   : RESULT_FETCH_BYTES_PER_US);
	return is_due_now(pieces, first) ||
	       now_us - first->added_us >=
		       MIN(fetch_cost_us, DOMAIN_WAIT_MAX_US) ||
	       !any_usable_in_domain(pieces, first->preferred_domain);
}

/*
 * Selects the waiting pieces that one call to this upstream would carry and
 * returns their number. `selected`: one cell for each waiting piece, set for
 * those selected; may be NULL.
 */
static uint32_t plan_call(const struct pieces *pieces,
			  const struct pool_upstream *upstream, bool *selected)
{
	int64_t free_bytes = pieces_free_memory_bytes(pieces, upstream);
	uint32_t count = 0;
	guint start = 0;

	while (start < pieces->waiting->len &&
	       count < pieces->options.batch_max) {
		guint end = pieces_group_end(pieces, start);
		bool exclusive = pieces_waiting(pieces, start)->exclusive;
		bool fits =
			allowed_regions_contain(
				pieces_waiting(pieces, start)->allowed_regions,
				upstream->region) &&
			(!exclusive || !count) &&
			group_fits(pieces, start, end, free_bytes) &&
			may_join_batch(pieces, count, end - start) &&
			may_use_upstream(pieces, start, end, upstream);

		for (guint i = start;
		     fits && i < end && count < pieces->options.batch_max;
		     i++) {
			if (pieces_waiting(pieces, i)->result_bytes >
			    free_bytes)
				break;
			free_bytes -= pieces_waiting(pieces, i)->result_bytes;
			count++;
			if (selected)
				selected[i] = true;
		}
		if (exclusive && fits && count)
			break;
		start = end;
	}
	return count;
}

/* ---- choice of the upstream ---- */

/* Whether a busy upstream would finish the same call much sooner than this idle
 * one, while the queue is short enough for the usable upstreams. */
static bool is_too_slow(const struct pieces *pieces,
			const struct pool_upstream *slow, uint32_t count)
{
	const GPtrArray *list = pieces_upstreams(pieces);
	double own_us = expected_call_us(pieces, slow, count);
	uint32_t usable_count = 0;
	bool any_sooner = false;

	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (!pieces_is_usable(pieces, upstream))
			continue;
		usable_count++;
		if (SLOW_CALL_FACTOR *
			    ((double)pieces_time_until_idle_us(pieces,
							       upstream) +
			     expected_call_us(pieces, upstream, count)) <
		    own_us)
			any_sooner = true;
	}
	return any_sooner &&
	       pieces->waiting->len < usable_count * pieces->options.batch_max;
}

/* The idle upstream with the shortest expected time for each piece, or NULL:
 * wait. */
static struct pool_upstream *choose_upstream(const struct pieces *pieces)
{
	const GPtrArray *list = pieces_upstreams(pieces);
	struct pool_upstream *best = NULL;
	uint32_t best_count = 0;
	double best_us = 0;

	for (guint i = 0; i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);
		uint32_t count;
		double us;

		if (!pieces_is_usable(pieces, upstream) ||
		    pieces_time_until_idle_us(pieces, upstream) ||
		    awaits_memory_report(pieces, upstream))
			continue;
		count = plan_call(pieces, upstream, NULL);
		if (!count)
			continue;
		us = expected_call_us(pieces, upstream, count) / count;
		if (best && us >= best_us)
			continue;
		best = upstream;
		best_us = us;
		best_count = count;
	}
	return best && !is_too_slow(pieces, best, best_count) ? best : NULL;
}

static bool any_upstream_idle(const struct pieces *pieces)
{
	const GPtrArray *list = pieces_upstreams(pieces);

	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (pieces_is_usable(pieces, upstream) &&
		    !pieces_time_until_idle_us(pieces, upstream))
			return true;
	}
	return false;
}

static bool has_piece_of_group(const GArray *out, const struct piece *piece)
{
	for (guint i = 0; i < out->len; i++) {
		const struct piece *other =
			&g_array_index(out, struct piece, i);

		if (other->request == piece->request &&
		    other->stage == piece->stage)
			return true;
	}
	return false;
}

static void dequeue_planned(struct pieces *pieces,
			    struct pool_upstream *upstream, GArray *out)
{
	bool *selected = g_new0(bool, pieces->waiting->len);

	plan_call(pieces, upstream, selected);
	for (guint i = 0; i < pieces->waiting->len; i++) {
		if (!selected[i])
			continue;
		result_memory_reserve(upstream->result_memory,
				      pieces_waiting(pieces, i)->result_bytes);
		g_array_append_val(out, *pieces_waiting(pieces, i));
	}
	for (guint i = pieces->waiting->len; i-- > 0;) {
		if (selected[i])
			g_array_remove_index(pieces->waiting, i);
		else if (has_piece_of_group(out, pieces_waiting(pieces, i)))
			pieces_waiting(pieces, i)->group_started = true;
	}
	g_free(selected);
}

/* Consecutive failures that each upstream of the service has. */
static uint32_t failures_everywhere(const struct pieces *pieces)
{
	const GPtrArray *list = pieces_upstreams(pieces);
	uint32_t fewest = G_MAXUINT32;

	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		fewest = MIN(fewest, upstream->consecutive_failures);
	}
	return fewest;
}

/* Another upstream is tried soon, unless none has answered lately: then they
 * may all be slow, and a call that is given up helps nobody. */
static int64_t piece_call_timeout_us(const struct pieces *pieces,
				     int64_t expected_us)
{
	uint32_t failures = failures_everywhere(pieces);
	uint32_t doublings = MIN(failures, CALL_TIMEOUT_DOUBLINGS_MAX);

	return MAX(CALL_TIMEOUT_FACTOR * expected_us, CALL_TIMEOUT_MIN_US)
	       << doublings;
}

static struct pieces_call *open_call(struct pieces *pieces,
				     struct pool_upstream *upstream)
{
	struct pieces_call *call = g_new0(struct pieces_call, 1);

	call->upstream = pool_upstream_ref(upstream);
	pool_note_sent(pieces->options.pool, upstream);
	call->pieces = g_array_new(FALSE, FALSE, sizeof(struct piece));
	result_memory_set_ttl(upstream->result_memory,
			      pieces->options.result_ttl_us);
	call->own_bytes = result_memory_tracked_bytes(upstream->result_memory);
	dequeue_planned(pieces, upstream, call->pieces);
	call->started_us = pieces_now_us(pieces);
	call->expected_us = (int64_t)((double)pieces_call_time_us(
					      pieces, call->pieces->len) *
				      pool_upstream_time_factor(
					      pieces->options.pool, upstream));
	call->timeout_us = piece_call_timeout_us(pieces, call->expected_us);
	upstream->in_flight++;
	g_ptr_array_add(pieces->calls, call);
	return call;
}

static bool has_answering_upstream(const struct pieces *pieces)
{
	const GPtrArray *list = pieces_upstreams(pieces);

	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (pieces_is_usable(pieces, upstream) &&
		    !upstream->consecutive_failures)
			return true;
	}
	return false;
}

static bool is_of_use(const struct pieces *pieces,
		      const struct pieces_call *call)
{
	for (guint i = 0; i < call->pieces->len; i++)
		if (g_array_index(call->pieces, struct piece, i).expires_us >
		    pieces_now_us(pieces))
			return true;
	return false;
}

int64_t pieces_overdue_wait_us(const struct pieces *pieces,
			       const struct pieces_call *call)
{
	if (!call->upstream->consecutive_failures ||
	    has_answering_upstream(pieces) || !is_of_use(pieces, call))
		return 0;
	return STALL_RECHECK_US;
}

/* Records whether a full call is waiting. */
static void note_backlog(struct pieces *pieces)
{
	if (pieces->waiting->len < pieces->options.batch_max)
		pieces->backlog_since_us = 0;
	else if (!pieces->backlog_since_us)
		pieces->backlog_since_us = pieces_now_us(pieces);
}

struct pieces_call *pieces_start_call(struct pieces *pieces)
{
	struct pool_upstream *upstream;

	note_backlog(pieces);
	if (!pieces->waiting->len || !any_upstream_idle(pieces))
		return NULL;
	pieces_sort(pieces);
	upstream = choose_upstream(pieces);
	if (!upstream)
		return NULL;
	return open_call(pieces, upstream);
}

int64_t pieces_next_check_us(const struct pieces *pieces)
{
	return pieces->waiting->len
		       ? pieces_now_us(pieces) + RECHECK_INTERVAL_US
		       : 0;
}

/* Records the calls of other dispatchers that the upstream has reported. */
static void record_load(struct pieces *pieces, struct pool_upstream *upstream,
			int32_t running, int32_t waiting)
{
	int64_t one_us =
		pieces_call_time_us(pieces, pieces->options.batch_max / 3);

	if (running < 0 || waiting < 0)
		return;
	pool_note_busy(pieces->options.pool, upstream,
		       pieces_now_us(pieces) + running * one_us / 2 +
			       waiting * one_us);
}

void pieces_piece_completed(struct pieces *pieces, struct pieces_call *call,
			    const struct piece *piece, const char *handle)
{
	result_memory_commit(call->upstream->result_memory, handle,
			     piece->result_bytes);
	call->completed_bytes += piece->result_bytes;
	queue_forecast_note_completed(&pieces->forecast, pieces_now_us(pieces));
}

void pieces_piece_failed(struct pieces *pieces, struct pieces_call *call,
			 const struct piece *piece, bool memory_exhausted)
{
	result_memory_cancel(call->upstream->result_memory,
			     piece->result_bytes);
	call->memory_exhausted |= memory_exhausted;
}

static void record_memory(struct pieces *pieces, const struct pieces_call *call)
{
	struct pool_upstream *upstream = call->upstream;

	result_memory_note_call(
		upstream->result_memory, pieces->options.result_memory_bytes,
		call->own_bytes, call->completed_bytes, call->memory_exhausted);
	upstream->result_memory_reported_us = pieces_now_us(pieces);
}

void pieces_end_call(struct pieces *pieces, struct pieces_call *call,
		     enum pool_outcome outcome, int32_t running,
		     int32_t waiting)
{
	struct pool_upstream *upstream = call->upstream;
	int64_t now_us = pieces_now_us(pieces);
	/* Calls of others would distort the measured time. */
	bool timed = outcome == POOL_SERVED && !running && !waiting;

	pool_record_outcome(
		pieces->options.pool, upstream, outcome,
		timed || outcome == POOL_UNREACHABLE ? now_us - call->started_us
						     : 0,
		timed ? pieces_call_time_us(pieces, call->pieces->len) : 0);
	record_load(pieces, upstream, running, waiting);
	if (outcome == POOL_SERVED)
		record_memory(pieces, call);
	upstream->in_flight--;
	g_ptr_array_remove_fast(pieces->calls, call);
	g_array_unref(call->pieces);
	pool_upstream_unref(upstream);
	g_free(call);
}

/* ---- result memory ---- */

/* An upstream is queried if it never was, or if results of other dispatchers
 * are still counted there. One that advertises a rate limit is not: queries
 * would use up its requests, and the outcomes of calls give the same
 * information. */
static bool needs_memory_query(const struct pieces *pieces,
			       const struct pool_upstream *upstream)
{
	if (!pieces_is_usable(pieces, upstream) ||
	    upstream->rate_limit.advertised)
		return false;
	if (!upstream->result_memory_queried_us)
		return true;
	return result_memory_untracked_bytes(upstream->result_memory) &&
	       pieces_now_us(pieces) - upstream->result_memory_queried_us >=
		       MEMORY_QUERY_INTERVAL_US;
}

struct pool_upstream *pieces_next_memory_query(struct pieces *pieces)
{
	const GPtrArray *list = pieces_upstreams(pieces);

	if (!pieces->options.result_memory_bytes || !pieces->waiting->len)
		return NULL;
	for (guint i = 0; i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);

		if (!needs_memory_query(pieces, upstream))
			continue;
		upstream->result_memory_queried_us = pieces_now_us(pieces);
		return upstream;
	}
	return NULL;
}

void pieces_memory_reported(struct pieces *pieces,
			    struct pool_upstream *upstream, int64_t own_bytes,
			    int64_t min_bytes, int64_t max_bytes)
{
	result_memory_note_report(upstream->result_memory,
				  pieces->options.result_memory_bytes,
				  own_bytes, min_bytes, max_bytes);
	upstream->result_memory_reported_us = pieces_now_us(pieces);
}
