#include "policy/pieces.h"

#include "base/lp_id.h"

#include <string.h>

/* An entry stays with its home, so that entries part among upstreams; less
 * than a tenth of a call. */
#define MOVE_US (15 * LP_US_PER_MS)
/* Results that cross domains are paid for: 3 MB weigh as 95 ms. */
#define FETCH_BYTES_PER_US 62
/* Inputs more so: each piece of a stage fetches all of them. */
#define INPUT_BYTES_PER_US 31
/* Where nothing else tells, a call stays in its entry's domain. */
#define OTHER_DOMAIN_US (20 * LP_US_PER_MS)
/* When another entry takes an upstream that is idle: late enough for the word
 * that those at home there go on, and entries one after the other. */
#define TAKE_IDLE_US (10 * LP_US_PER_MS)
#define TAKE_STEPS 4
#define TAKE_STEP_US (7 * LP_US_PER_MS)
/* With a call under way already, later than those that have none. */
#define TAKE_MORE_US (30 * LP_US_PER_MS)
/* A call that is not whole goes to an upstream at work only when that will be
 * free this soon: what comes until then goes along. */
#define QUEUE_AHEAD_US (60 * LP_US_PER_MS)
/* Waiting pieces are looked at again after at most this. */
#define LOOK_AGAIN_US (8 * LP_US_PER_MS)
/* Among those that can be on time, a rank of priority goes before any due
 * time: what is less urgent must not be served more often. */
#define PRIORITY_US (20 * LP_US_PER_S)
/* Late pieces go behind all that can still be on time. */
#define LATE_US (1000 * LP_US_PER_S)
/* Calls of our own at one upstream: one is at work, none waits behind it. */
#define CALLS_EACH_MAX 1

struct pieces {
	struct pieces_options options;
	char *service;
	char *domain;
	GArray *waiting;  /* of struct piece */
	GPtrArray *calls; /* under way; owned by whoever got them */
	uint64_t home;	  /* hash of the upstream that we go to first */
};

struct pieces *pieces_create(const struct pieces_options *options)
{
	struct pieces *pieces = g_new0(struct pieces, 1);

	pieces->options = *options;
	pieces->service = g_strdup(options->service);
	pieces->domain = g_strdup(options->domain);
	pieces->waiting = g_array_new(FALSE, FALSE, sizeof(struct piece));
	pieces->calls = g_ptr_array_new();
	return pieces;
}

void pieces_destroy(struct pieces *pieces)
{
	if (!pieces)
		return;
	g_free(pieces->service);
	g_free(pieces->domain);

	g_array_unref(pieces->waiting);
	g_ptr_array_unref(pieces->calls);
	g_free(pieces);
}

void pieces_set(struct pieces *pieces, const struct pieces_options *figures)
{
	pieces->options.batch_max = figures->batch_max;
	pieces->options.call_us = figures->call_us;
	pieces->options.piece_us = figures->piece_us;
	pieces->options.room_bytes = figures->room_bytes;
}

void pieces_add(struct pieces *pieces, const struct piece *piece)
{
	g_array_append_vals(pieces->waiting, piece, 1);
}

void pieces_set_home(struct pieces *pieces, uint64_t upstream)
{
	pieces->home = upstream;
}

void pieces_drop(struct pieces *pieces, const void *request)
{
	for (guint i = pieces->waiting->len; i-- > 0;)
		if (g_array_index(pieces->waiting, struct piece, i).request ==
		    request)
			g_array_remove_index(pieces->waiting, i);
}

static int64_t now(const struct pieces *pieces)
{
	return lp_now_us(pieces->options.clock);
}

static int64_t call_time_us(const struct pieces *pieces, uint32_t count)
{
	return pieces->options.call_us + count * pieces->options.piece_us;
}

/* ---- order ---- */

/*
 * What has been begun is ended first: its results take up room meanwhile. So
 * the rest of a split group goes before all, and being late puts back only
 * what holds no scarce room.
 */
static int64_t rank_us(const struct piece *piece, int64_t now_us)
{
	int64_t rank = piece->due_us + piece->priority * PRIORITY_US;

	if (piece->split)
		return rank - LATE_US;
	if (piece->holds_room || piece->due_us >= now_us)
		return rank;
	return rank + LATE_US;
}

static int by_rank(gconstpointer a, gconstpointer b, gpointer userdata)
{
	const int64_t *now_us = userdata;
	const struct piece *first = a;
	const struct piece *second = b;
	int64_t one = rank_us(first, *now_us);
	int64_t two = rank_us(second, *now_us);

	if (one != two)
		return one < two ? -1 : 1;
	/* Pieces of one request stay together. */
	if (first->request != second->request)
		return first->request < second->request ? -1 : 1;
	return first->stage < second->stage ? -1 : first->stage > second->stage;
}

/* ---- where ---- */

static int64_t own_calls_end_us(const struct pieces *pieces,
				const struct pool_upstream *upstream,
				uint32_t *count)
{
	int64_t end_us = 0;

	*count = 0;
	for (guint i = 0; i < pieces->calls->len; i++) {
		const struct pieces_call *call =
			g_ptr_array_index(pieces->calls, i);

		if (upstream && call->upstream != upstream)
			continue;
		(*count)++;
		end_us = MAX(end_us, call->started_us + call->expected_us);
	}
	return end_us;
}

/* Until it is free of others' calls and of our own. */
static int64_t wait_us(const struct pieces *pieces,
		       const struct pool_upstream *upstream)
{
	uint32_t calls;
	int64_t own_end_us = own_calls_end_us(pieces, upstream, &calls);

	return MAX(MAX(upstream->busy_until_us, own_end_us) - now(pieces), 0);
}

/* The price, as time, of bytes that would cross domains. */
static double crossing_us(const struct pieces *pieces,
			  const struct pool_upstream *upstream, uint32_t count)
{
	double us = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct piece *piece =
			&g_array_index(pieces->waiting, struct piece, i);

		if (!piece->near ||
		    !strcmp(piece->near, upstream->entry.domain))
			continue;
		us += (double)piece->near_bytes /
		      (piece->has_inputs ? INPUT_BYTES_PER_US
					 : FETCH_BYTES_PER_US);
	}
	return us + (strcmp(upstream->entry.domain, pieces->domain)
			     ? OTHER_DOMAIN_US
			     : 0);
}

static double cost_us(const struct pieces *pieces,
		      const struct pool_upstream *upstream, uint32_t count)
{
	double cost = (double)wait_us(pieces, upstream) +
		      (double)call_time_us(pieces, count) * upstream->slowness *
			      (1.0 + 2.0 * upstream->error_share);

	cost += crossing_us(pieces, upstream, count);
	if (upstream->hash != pieces->home)
		cost += MOVE_US;
	return cost;
}

/* Room for results that is believed to be free. */
static int64_t room_bytes(const struct pieces *pieces,
			  const struct pool_upstream *upstream)
{
	if (!pieces->options.room_bytes)
		return G_MAXINT64;
	if (now(pieces) < upstream->no_room_until_us)
		return 0;
	return pieces->options.room_bytes -
	       pool_kept_bytes(pieces->options.pool, upstream);
}

static struct piece *waiting_at(const struct pieces *pieces, guint i)
{
	return &g_array_index(pieces->waiting, struct piece, i);
}

/* End of the group at this place: pieces of one stage of one request, which
 * the order has put together. */
static guint group_end(const struct pieces *pieces, guint start)
{
	const struct piece *first = waiting_at(pieces, start);
	guint end = start + 1;

	while (end < pieces->waiting->len &&
	       waiting_at(pieces, end)->request == first->request &&
	       waiting_at(pieces, end)->stage == first->stage)
		end++;
	return end;
}

/* Whether a group has room as a whole: a part of it would take up room and
 * wait for the rest. */
static bool group_fits(const struct pieces *pieces, guint start, guint end,
		       int64_t room)
{
	int64_t bytes = 0;

	for (guint i = start; i < end; i++)
		bytes += waiting_at(pieces, i)->bytes;
	return bytes <= room || bytes > pieces->options.room_bytes;
}

/* Whether a group goes whole into what is left of a batch, or in part with
 * enough behind it that the rest does not make a poor call by itself. */
static bool may_split(const struct pieces *pieces, uint32_t count,
		      uint32_t group)
{
	uint32_t batch_max = pieces->options.batch_max;

	return !count || count + group <= batch_max ||
	       pieces->waiting->len >= 2 * batch_max;
}

/*
 * The waiting pieces that one call to this upstream would carry: marks them in
 * `taken` (as many cells as pieces wait) unless it is NULL; returns how many.
 */
static uint32_t plan(const struct pieces *pieces,
		     const struct pool_upstream *upstream, bool *taken)
{
	int64_t room = room_bytes(pieces, upstream);
	uint32_t count = 0;
	guint start = 0;

	while (start < pieces->waiting->len &&
	       count < pieces->options.batch_max) {
		guint end = group_end(pieces, start);
		bool fits = group_fits(pieces, start, end, room) &&
			    may_split(pieces, count, end - start);

		for (guint i = start;
		     fits && i < end && count < pieces->options.batch_max;
		     i++) {
			if (waiting_at(pieces, i)->bytes > room)
				break;
			room -= waiting_at(pieces, i)->bytes;
			count++;
			if (taken)
				taken[i] = true;
		}
		start = end;
	}
	return count;
}

/* The calls under way end too late for the most urgent piece. */
static bool cannot_wait(const struct pieces *pieces)
{
	const struct piece *first =
		&g_array_index(pieces->waiting, struct piece, 0);
	int64_t now_us = now(pieces);
	uint32_t calls;

	return first->due_us >= now_us &&
	       first->due_us < own_calls_end_us(pieces, NULL, &calls);
}

/*
 * An entry has one call under way and gathers what comes meanwhile; only a
 * whole batch, or a piece that would be late, opens a further one.
 *
 * Entries keep apart: whose home an upstream is goes there at once, another
 * one takes it when it has been idle for a while. Behind one call of
 * others queues who has nothing under way, or a whole batch.
 */
static bool may_call(const struct pieces *pieces,
		     const struct pool_upstream *upstream, uint32_t count)
{
	int64_t idle_us = now(pieces) - upstream->busy_until_us;
	bool whole = count >= pieces->options.batch_max;
	int64_t stagger_us;
	uint32_t calls;

	own_calls_end_us(pieces, upstream, &calls);
	if (calls >= CALLS_EACH_MAX)
		return false;
	if (pieces->calls->len && !whole &&
	    (idle_us < TAKE_MORE_US && !cannot_wait(pieces)))
		return false;
	if (idle_us < 0)
		return -idle_us <=
		       (whole ? call_time_us(pieces, count) : QUEUE_AHEAD_US);
	if (upstream->hash == pieces->home)
		return true;
	stagger_us = TAKE_IDLE_US + (int64_t)(lp_hash_pair(pieces->options.self,
							   upstream->hash) %
					      TAKE_STEPS) *
					    TAKE_STEP_US;
	if (pieces->calls->len && count < pieces->options.batch_max)
		stagger_us += TAKE_MORE_US;
	return idle_us >= stagger_us;
}

/* The best upstream, if it may be called now; NULL: wait for it. */
static struct pool_upstream *choose(const struct pieces *pieces)
{
	const GPtrArray *list =
		pool_of_service(pieces->options.pool, pieces->service);
	struct pool_upstream *best = NULL;
	uint32_t best_count = 0;
	double best_cost = 0;

	for (guint i = 0; list && i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);
		uint32_t count;
		double cost;

		if (!pool_usable(pieces->options.pool, upstream))
			continue;
		count = plan(pieces, upstream, NULL);
		if (!count)
			continue;
		cost = cost_us(pieces, upstream, count);
		if (best && cost >= best_cost)
			continue;
		best = upstream;
		best_cost = cost;
		best_count = count;
	}
	return best && may_call(pieces, best, best_count) ? best : NULL;
}

static bool is_taken_of(const GArray *out, const struct piece *piece)
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

static void take_planned(struct pieces *pieces, struct pool_upstream *upstream,
			 GArray *out)
{
	bool *taken = g_new0(bool, pieces->waiting->len);

	plan(pieces, upstream, taken);
	for (guint i = 0; i < pieces->waiting->len; i++) {
		if (!taken[i])
			continue;
		upstream->kept_bytes += waiting_at(pieces, i)->bytes;
		g_array_append_val(out, *waiting_at(pieces, i));
	}
	for (guint i = pieces->waiting->len; i-- > 0;) {
		if (taken[i])
			g_array_remove_index(pieces->waiting, i);
		else if (is_taken_of(out, waiting_at(pieces, i)))
			waiting_at(pieces, i)->split = true;
	}
	g_free(taken);
}

static struct pieces_call *open_call(struct pieces *pieces,
				     struct pool_upstream *upstream)
{
	struct pieces_call *call = g_new0(struct pieces_call, 1);

	call->upstream = pool_hold(upstream);
	call->pieces = g_array_new(FALSE, FALSE, sizeof(struct piece));
	take_planned(pieces, upstream, call->pieces);
	call->started_us = now(pieces);
	call->expected_us =
		wait_us(pieces, upstream) +
		(int64_t)((double)call_time_us(pieces, call->pieces->len) *
			  upstream->slowness);
	upstream->in_flight++;
	g_ptr_array_add(pieces->calls, call);
	return call;
}

struct pieces_call *pieces_next(struct pieces *pieces)
{
	int64_t now_us = now(pieces);
	struct pool_upstream *upstream;

	if (!pieces->waiting->len)
		return NULL;
	g_array_sort_with_data(pieces->waiting, by_rank, &now_us);
	upstream = choose(pieces);
	if (!upstream)
		return NULL;
	return open_call(pieces, upstream);
}

int64_t pieces_wake_us(const struct pieces *pieces)
{
	return pieces->waiting->len ? now(pieces) + LOOK_AGAIN_US : 0;
}

/* What an upstream says of others' calls at the end of ours. */
static void learn_load(struct pieces *pieces, struct pool_upstream *upstream,
		       int32_t running, int32_t waiting)
{
	int64_t one_us = call_time_us(pieces, pieces->options.batch_max / 3);
	int64_t left_us = running * one_us / 2 + waiting * one_us;

	if (running < 0 || waiting < 0)
		return;
	if (!left_us)
		pool_heard_idle(pieces->options.pool, upstream);
	else if (upstream->busy_until_us < now(pieces) + left_us / 2)
		pool_heard_busy(pieces->options.pool, upstream, 0,
				now(pieces) + left_us, 0);
}

void pieces_end(struct pieces *pieces, struct pieces_call *call,
		enum pool_outcome outcome, int32_t running, int32_t waiting)
{
	struct pool_upstream *upstream = call->upstream;
	int64_t now_us = now(pieces);
	/* With others' calls about, the time is not the upstream's own. */
	bool timed = outcome == POOL_SERVED && !running && !waiting;

	pool_learn(pieces->options.pool, upstream, outcome,
		   timed || outcome == POOL_UNREACHABLE
			   ? now_us - call->started_us
			   : 0,
		   timed ? call_time_us(pieces, call->pieces->len) : 0);
	learn_load(pieces, upstream, running, waiting);
	upstream->in_flight--;
	g_ptr_array_remove_fast(pieces->calls, call);
	g_array_unref(call->pieces);
	pool_release(upstream);
	g_free(call);
}

static uint32_t count_before(const struct pieces *pieces, int32_t priority)
{
	uint32_t count = 0;
	int64_t now_us = now(pieces);

	for (guint i = 0; i < pieces->waiting->len; i++) {
		const struct piece *piece =
			&g_array_index(pieces->waiting, struct piece, i);

		if (piece->priority <= priority && piece->due_us >= now_us)
			count++;
	}
	return count;
}

int64_t pieces_estimate_us(const struct pieces *pieces, int32_t priority)
{
	uint32_t before = count_before(pieces, priority);
	uint32_t batch = MAX(pieces->options.batch_max, 1);
	uint32_t calls;
	int64_t free_us = own_calls_end_us(pieces, NULL, &calls);
	int64_t left_us = calls ? MAX(free_us - now(pieces), 0) : 0;
	uint32_t batches = before / batch;

	return left_us + batches * call_time_us(pieces, batch) +
	       call_time_us(pieces, before % batch + 1);
}
