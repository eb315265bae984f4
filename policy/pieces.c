#include "policy/pieces.h"

#include <string.h>

/* Results that cross domains are paid for: 3 MB weigh as 95 ms of waiting. */
#define FETCH_BYTES_PER_US 62
/* Inputs more so: each piece of a stage fetches all of them. */
#define INPUT_BYTES_PER_US 10
/* ... but nothing waits longer than about a full call for a nearer upstream. */
#define FAR_WAIT_MAX_US (400 * LP_US_PER_MS)
/* Waiting pieces are looked at again after at most this. */
#define LOOK_AGAIN_US (10 * LP_US_PER_MS)
/* Among those that can be on time, a rank of priority goes before any due
 * time: what is less urgent must not be served more often. */
#define PRIORITY_US (20 * LP_US_PER_S)
/* Late pieces go behind all that can still be on time. */
#define LATE_US (1000 * LP_US_PER_S)
/* An idle upstream is left idle for one at work that would end in less than
 * this part of its time. */
#define SLOW_PART 1.5

/* An upstream where others' results take up room is asked again this often: a
 * call lasts about twice as long. */
#define ROOM_ASK_US (150 * LP_US_PER_MS)
/* ... and gets no call until it has answered, or for five round trips. */
#define ROOM_ANSWER_US (25 * LP_US_PER_MS)

struct pieces {
	struct pieces_options options;
	char *service;
	GArray *waiting;  /* of struct piece */
	GPtrArray *calls; /* under way; owned by whoever got them */
	uint32_t parts;	  /* of the service */
	uint64_t own;	  /* bits of the parts that are this queue's */
};

struct pieces *pieces_create(const struct pieces_options *options)
{
	struct pieces *pieces = g_new0(struct pieces, 1);

	pieces->options = *options;
	pieces->service = g_strdup(options->service);
	pieces->waiting = g_array_new(FALSE, FALSE, sizeof(struct piece));
	pieces->calls = g_ptr_array_new();
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
			   const struct pieces_options *figures)
{
	pieces->options.batch_max = figures->batch_max;
	pieces->options.call_us = figures->call_us;
	pieces->options.piece_us = figures->piece_us;
	pieces->options.result_memory_bytes = figures->result_memory_bytes;
	pieces->options.result_ttl_us = figures->result_ttl_us;
}

static int64_t now(const struct pieces *pieces)
{
	return lp_now_us(pieces->options.clock);
}

static const GPtrArray *upstreams_of(const struct pieces *pieces)
{
	static const GPtrArray none;
	const GPtrArray *list =
		pool_of_service(pieces->options.pool, pieces->service);

	return list ? list : &none;
}

/* Another dispatcher may have left results anywhere. */
static void forget_rooms(struct pieces *pieces)
{
	const GPtrArray *list = upstreams_of(pieces);

	for (guint i = 0; i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);

		upstream->room_asked_us = 0;
		upstream->room_heard_us = 0;
	}
}

void pieces_set_shards(struct pieces *pieces, uint32_t parts, uint64_t own)
{
	if (pieces->parts == parts && pieces->own == own)
		return;
	pieces->parts = parts;
	pieces->own = own;
	forget_rooms(pieces);
}

static struct piece *waiting_at(const struct pieces *pieces, guint i)
{
	return &g_array_index(pieces->waiting, struct piece, i);
}

void pieces_add(struct pieces *pieces, const struct piece *piece)
{
	g_array_append_vals(pieces->waiting, piece, 1);
	waiting_at(pieces, pieces->waiting->len - 1)->added_us = now(pieces);
}

uint32_t pieces_drop_request(struct pieces *pieces, const void *request)
{
	uint32_t dropped = 0;

	for (guint i = pieces->waiting->len; i-- > 0;) {
		if (waiting_at(pieces, i)->request != request)
			continue;
		g_array_remove_index(pieces->waiting, i);
		dropped++;
	}
	return dropped;
}

static int64_t call_time_us(const struct pieces *pieces, uint32_t count)
{
	return pieces->options.call_us + count * pieces->options.piece_us;
}

/* ---- order ---- */

/* What is due before it is late: a call is as full as the queue makes it, and
 * whatever goes along makes it longer. */
static int64_t late_before_us(const struct pieces *pieces)
{
	uint32_t along =
		MIN(pieces->waiting->len, pieces->options.batch_max) - 1;

	return now(pieces) + along * pieces->options.piece_us;
}

/*
 * What has been begun is ended first: its results take up room meanwhile. So
 * the rest of a split group goes before all, and being late puts back only
 * what holds no scarce room.
 */
static int64_t rank_us(const struct piece *piece, int64_t late_before_us)
{
	int64_t rank = piece->due_us + piece->priority * PRIORITY_US;

	if (piece->group_started)
		return rank - LATE_US;
	if (piece->holds_memory || piece->due_us >= late_before_us)
		return rank;
	return rank + LATE_US;
}

static int by_rank(gconstpointer a, gconstpointer b, gpointer userdata)
{
	const int64_t *late_us = userdata;
	const struct piece *first = a;
	const struct piece *second = b;
	int64_t one = rank_us(first, *late_us);
	int64_t two = rank_us(second, *late_us);

	if (one != two)
		return one < two ? -1 : 1;
	/* Pieces of one request stay together. */
	if (first->request != second->request)
		return first->request < second->request ? -1 : 1;
	return first->stage < second->stage ? -1 : first->stage > second->stage;
}

/* ---- upstreams ---- */

static bool is_own(const struct pieces *pieces,
		   const struct pool_upstream *upstream)
{
	return pieces->own >> (upstream->hash % pieces->parts) & 1;
}

static bool is_usable(const struct pieces *pieces,
		      const struct pool_upstream *upstream)
{
	return is_own(pieces, upstream) &&
	       pool_usable(pieces->options.pool, upstream);
}

/* Until it is free of others' calls and of our own; 0: it is idle. */
static int64_t wait_us(const struct pieces *pieces,
		       const struct pool_upstream *upstream)
{
	int64_t now_us = now(pieces);
	int64_t left_us = MAX(upstream->busy_until_us - now_us, 0);

	for (guint i = 0; i < pieces->calls->len; i++) {
		const struct pieces_call *call =
			g_ptr_array_index(pieces->calls, i);

		/* One that takes longer than expected may end any time. */
		if (call->upstream == upstream)
			left_us = MAX(left_us,
				      MAX(call->started_us + call->expected_us -
						  now_us,
					  1));
	}
	return left_us;
}

static double time_there_us(const struct pieces *pieces,
			    const struct pool_upstream *upstream,
			    uint32_t count)
{
	return (double)call_time_us(pieces, count) * upstream->slowness *
	       (1.0 + 2.0 * upstream->error_share);
}

/* Room for results that is believed to be free. */
static int64_t room_bytes(const struct pieces *pieces,
			  const struct pool_upstream *upstream)
{
	if (!pieces->options.result_memory_bytes)
		return G_MAXINT64;
	return pieces->options.result_memory_bytes -
	       room_taken_bytes(upstream->room);
}

/* It is being asked of its room, and may answer in a moment. */
static bool awaits_room(const struct pieces *pieces,
			const struct pool_upstream *upstream)
{
	return pieces->options.result_memory_bytes &&
	       !upstream->room_heard_us && !upstream->limit.named &&
	       (!upstream->room_asked_us ||
		now(pieces) - upstream->room_asked_us < ROOM_ANSWER_US);
}

/* ---- groups ---- */

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
		bytes += waiting_at(pieces, i)->result_bytes;
	return bytes <= room || bytes > pieces->options.result_memory_bytes;
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

static bool any_usable_in(const struct pieces *pieces, const char *domain)
{
	const GPtrArray *list = upstreams_of(pieces);

	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (!strcmp(upstream->entry.domain, domain) &&
		    is_usable(pieces, upstream))
			return true;
	}
	return false;
}

/* Waiting any longer would make it late. What came too late does not mind. */
static bool is_due(const struct pieces *pieces, const struct piece *piece)
{
	return late_before_us(pieces) >= piece->due_us &&
	       piece->due_us > piece->added_us;
}

/* Whether a group goes there now, or waits for an upstream nearer to what it
 * takes in: as long as the bytes that would cross are worth, and as it can
 * wait without being late. */
static bool may_go(const struct pieces *pieces, guint start, guint end,
		   const struct pool_upstream *upstream)
{
	const struct piece *first = waiting_at(pieces, start);
	int64_t now_us = now(pieces);
	int64_t worth_us;

	if (!first->preferred_domain ||
	    !strcmp(first->preferred_domain, upstream->entry.domain))
		return true;
	worth_us =
		first->preferred_bytes * (end - start) /
		(first->has_inputs ? INPUT_BYTES_PER_US : FETCH_BYTES_PER_US);
	return is_due(pieces, first) ||
	       now_us - first->added_us >= MIN(worth_us, FAR_WAIT_MAX_US) ||
	       !any_usable_in(pieces, first->preferred_domain);
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
		bool alone = waiting_at(pieces, start)->exclusive;
		bool fits =
			homes_have(waiting_at(pieces, start)->allowed_regions,
				   upstream->region) &&
			(!alone || !count) &&
			group_fits(pieces, start, end, room) &&
			may_split(pieces, count, end - start) &&
			may_go(pieces, start, end, upstream);

		for (guint i = start;
		     fits && i < end && count < pieces->options.batch_max;
		     i++) {
			if (waiting_at(pieces, i)->result_bytes > room)
				break;
			room -= waiting_at(pieces, i)->result_bytes;
			count++;
			if (taken)
				taken[i] = true;
		}
		if (alone && fits && count)
			break;
		start = end;
	}
	return count;
}

/* ---- where ---- */

/* While others keep up, a slow upstream that is idle is not worth its time if
 * one at work would end the same call much sooner. */
static bool is_too_slow(const struct pieces *pieces,
			const struct pool_upstream *slow, uint32_t count)
{
	const GPtrArray *list = upstreams_of(pieces);
	double own_us = time_there_us(pieces, slow, count);
	uint32_t usable = 0;
	bool sooner = false;

	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (!is_usable(pieces, upstream))
			continue;
		usable++;
		if (SLOW_PART * ((double)wait_us(pieces, upstream) +
				 time_there_us(pieces, upstream, count)) <
		    own_us)
			sooner = true;
	}
	return sooner &&
	       pieces->waiting->len < usable * pieces->options.batch_max;
}

/* The idle upstream that ends its call first, or NULL: wait. */
static struct pool_upstream *choose(const struct pieces *pieces)
{
	const GPtrArray *list = upstreams_of(pieces);
	struct pool_upstream *best = NULL;
	uint32_t best_count = 0;
	double best_us = 0;

	for (guint i = 0; i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);
		uint32_t count;
		double us;

		if (!is_usable(pieces, upstream) || wait_us(pieces, upstream) ||
		    awaits_room(pieces, upstream))
			continue;
		count = plan(pieces, upstream, NULL);
		if (!count)
			continue;
		us = time_there_us(pieces, upstream, count) / count;
		if (best && us >= best_us)
			continue;
		best = upstream;
		best_us = us;
		best_count = count;
	}
	return best && !is_too_slow(pieces, best, best_count) ? best : NULL;
}

static bool any_idle(const struct pieces *pieces)
{
	const GPtrArray *list = upstreams_of(pieces);

	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (is_usable(pieces, upstream) && !wait_us(pieces, upstream))
			return true;
	}
	return false;
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
		room_begin(upstream->room, waiting_at(pieces, i)->result_bytes);
		g_array_append_val(out, *waiting_at(pieces, i));
	}
	for (guint i = pieces->waiting->len; i-- > 0;) {
		if (taken[i])
			g_array_remove_index(pieces->waiting, i);
		else if (is_taken_of(out, waiting_at(pieces, i)))
			waiting_at(pieces, i)->group_started = true;
	}
	g_free(taken);
}

static struct pieces_call *open_call(struct pieces *pieces,
				     struct pool_upstream *upstream)
{
	struct pieces_call *call = g_new0(struct pieces_call, 1);

	call->upstream = pool_hold(upstream);
	pool_sent(pieces->options.pool, upstream);
	call->pieces = g_array_new(FALSE, FALSE, sizeof(struct piece));
	room_set_linger(upstream->room, pieces->options.result_ttl_us);
	call->own_bytes = room_own_bytes(upstream->room);
	take_planned(pieces, upstream, call->pieces);
	call->started_us = now(pieces);
	call->expected_us =
		(int64_t)((double)call_time_us(pieces, call->pieces->len) *
			  upstream->slowness);
	upstream->in_flight++;
	g_ptr_array_add(pieces->calls, call);
	return call;
}

struct pieces_call *pieces_start_call(struct pieces *pieces)
{
	struct pool_upstream *upstream;
	int64_t late_us;

	if (!pieces->waiting->len || !any_idle(pieces))
		return NULL;
	late_us = late_before_us(pieces);
	g_array_sort_with_data(pieces->waiting, by_rank, &late_us);
	upstream = choose(pieces);
	if (!upstream)
		return NULL;
	return open_call(pieces, upstream);
}

int64_t pieces_next_check_us(const struct pieces *pieces)
{
	return pieces->waiting->len ? now(pieces) + LOOK_AGAIN_US : 0;
}

/* What an upstream says of others' calls at the end of ours. */
static void learn_load(struct pieces *pieces, struct pool_upstream *upstream,
		       int32_t running, int32_t waiting)
{
	int64_t one_us = call_time_us(pieces, pieces->options.batch_max / 3);

	if (running < 0 || waiting < 0)
		return;
	pool_heard_busy(pieces->options.pool, upstream,
			now(pieces) + running * one_us / 2 + waiting * one_us);
}

void pieces_piece_completed(struct pieces *pieces, struct pieces_call *call,
			    const struct piece *piece, const char *handle)
{
	room_made(call->upstream->room, handle, piece->result_bytes);
	call->completed_bytes += piece->result_bytes;
}

void pieces_piece_failed(struct pieces *pieces, struct pieces_call *call,
			 const struct piece *piece, bool no_room)
{
	room_not_made(call->upstream->room, piece->result_bytes);
	call->memory_exhausted |= no_room;
}

static void learn_room(struct pieces *pieces, const struct pieces_call *call)
{
	struct pool_upstream *upstream = call->upstream;

	room_learn(upstream->room, pieces->options.result_memory_bytes,
		   call->own_bytes, call->completed_bytes,
		   call->memory_exhausted);
	upstream->room_heard_us = now(pieces);
}

void pieces_end_call(struct pieces *pieces, struct pieces_call *call,
		     enum pool_outcome outcome, int32_t running,
		     int32_t waiting)
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
	if (outcome == POOL_SERVED)
		learn_room(pieces, call);
	upstream->in_flight--;
	g_ptr_array_remove_fast(pieces->calls, call);
	g_array_unref(call->pieces);
	pool_release(upstream);
	g_free(call);
}

/* ---- room ---- */

/* Never asked; or others' results still count there. One that takes only so
 * many requests gets calls for them; these tell the same. */
static bool is_to_be_asked(const struct pieces *pieces,
			   const struct pool_upstream *upstream)
{
	if (!is_usable(pieces, upstream) || upstream->limit.named)
		return false;
	if (!upstream->room_asked_us)
		return true;
	return room_other_bytes(upstream->room) &&
	       now(pieces) - upstream->room_asked_us >= ROOM_ASK_US;
}

struct pool_upstream *pieces_next_memory_query(struct pieces *pieces)
{
	const GPtrArray *list = upstreams_of(pieces);

	if (!pieces->options.result_memory_bytes || !pieces->waiting->len)
		return NULL;
	for (guint i = 0; i < list->len; i++) {
		struct pool_upstream *upstream = g_ptr_array_index(list, i);

		if (!is_to_be_asked(pieces, upstream))
			continue;
		upstream->room_asked_us = now(pieces);
		return upstream;
	}
	return NULL;
}

void pieces_memory_reported(struct pieces *pieces,
			    struct pool_upstream *upstream, int64_t own_bytes,
			    int64_t least_bytes, int64_t most_bytes)
{
	room_told(upstream->room, pieces->options.result_memory_bytes,
		  own_bytes, least_bytes, most_bytes);
	upstream->room_heard_us = now(pieces);
}

/* ---- estimates ---- */

static uint32_t count_before(const struct pieces *pieces, int32_t priority)
{
	uint32_t count = 0;
	int64_t now_us = now(pieces);

	for (guint i = 0; i < pieces->waiting->len; i++) {
		const struct piece *piece = waiting_at(pieces, i);

		if (piece->priority <= priority && piece->due_us >= now_us)
			count++;
	}
	return count;
}

/* How fast upstreams are, all together, and when the first is free. */
struct outlook {
	double upstreams; /* as many at the usual speed */
	int64_t free_us;
};

/* It takes no call now for its limit alone. */
static bool awaits_slot(const struct pieces *pieces,
			const struct pool_upstream *upstream)
{
	return is_own(pieces, upstream) && pool_is_open(upstream) &&
	       pool_limit_wait_us(pieces->options.pool, upstream);
}

/* Calls that it ends in the time of one at the usual speed. */
static double speed_of(const struct pieces *pieces,
		       const struct pool_upstream *upstream)
{
	double speed = 1.0 / MAX(upstream->slowness, 0.1);
	int64_t call_us = call_time_us(pieces, pieces->options.batch_max);

	if (!upstream->limit.named)
		return speed;
	return MIN(speed, pool_limit_per_s(pieces->options.pool, upstream) *
				  (double)call_us / LP_US_PER_S);
}

static struct outlook look(const struct pieces *pieces)
{
	const GPtrArray *list = upstreams_of(pieces);
	struct outlook outlook = { .free_us = G_MAXINT64 };

	for (guint i = 0; i < list->len; i++) {
		const struct pool_upstream *upstream =
			g_ptr_array_index(list, i);

		if (!is_usable(pieces, upstream) &&
		    !awaits_slot(pieces, upstream))
			continue;
		outlook.upstreams += speed_of(pieces, upstream);
		outlook.free_us =
			MIN(outlook.free_us,
			    MAX(wait_us(pieces, upstream),
				pool_limit_wait_us(pieces->options.pool,
						   upstream)));
	}
	if (outlook.upstreams > 0)
		return outlook;
	return (struct outlook){ 1.0, call_time_us(pieces, 1) };
}

static int64_t estimate_us(const struct pieces *pieces,
			   const struct outlook *outlook, int32_t priority)
{
	uint32_t before = count_before(pieces, priority);
	uint32_t batch = MAX(pieces->options.batch_max, 1);
	double queue_us = (double)before * (double)call_time_us(pieces, batch) /
			  (batch * outlook->upstreams);

	return outlook->free_us + (int64_t)queue_us +
	       call_time_us(pieces, MIN(before + 1, batch));
}

int64_t pieces_estimate_us(const struct pieces *pieces, int32_t priority)
{
	struct outlook outlook = look(pieces);

	return estimate_us(pieces, &outlook, priority);
}

void pieces_estimate_by_priority_us(const struct pieces *pieces, int64_t *out,
				    int32_t count)
{
	struct outlook outlook = look(pieces);

	for (int32_t priority = 0; priority < count; priority++)
		out[priority] = estimate_us(pieces, &outlook, priority);
}
