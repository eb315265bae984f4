/** Attempts whose upstreams send nothing: kept, moved or ended. */
#include "direct/direct_request.h"

#include "base/lp_timer.h"
#include "policy/stall.h"

static void log_stall(struct direct_request *request, const char *outcome,
		      enum retry_obstacle obstacle)
{
	struct lp_event_log *log = request->direct->options.log;

	if (!lp_event_begin(log, "stall", request->id))
		return;
	lp_event_text(log, "outcome", outcome);
	lp_event_text(log, "obstacle", retry_obstacle_name(obstacle));
	lp_event_text(log, "upstream", request->upstream->info.id);
	lp_event_int(log, "begun", request->upstream_responded);
	lp_event_int(log, "for_us",
		     direct_request_now_us(request) - request->stalled_us);
	lp_event_int(log, "left_us",
		     request->deadline_us - direct_request_now_us(request));
	lp_event_end(log);
}

static void count_stall(struct direct_request *request, const char *outcome,
			enum retry_obstacle obstacle)
{
	g_autofree char *labels =
		g_strdup_printf("outcome=\"%s\",obstacle=\"%s\"", outcome,
				retry_obstacle_name(obstacle));

	*direct_counter(request->direct, "linepier_stalls_total", labels) += 1;
	log_stall(request, outcome, obstacle);
}

/* ---- the beginning of a stall ---- */

/* An upstream whose receive window holds the request back is alive. */
static bool reads_slowly(const struct direct_request *request)
{
	return http_exchange_blocked_bytes(request->exchange) > 0;
}

/* From now on other upstreams are preferred, here and at the placer. */
static void begin_stall(struct direct_request *request)
{
	enum pool_outcome outcome =
		reads_slowly(request) ? POOL_OVERLOADED : POOL_UNREACHABLE;

	request->stalled_us = direct_request_now_us(request);
	pool_record_outcome(request->direct->pool, request->upstream, outcome,
			    0, 0);
	if (request->placement.placer)
		direct_placement_report_end(request->direct->placement,
					    &request->placement, outcome);
	request->placement = (struct direct_placement_result){ 0 };
	http_exchange_probe_peer(request->exchange);
}

/* ---- its end ---- */

void direct_stall_stay(struct direct_request *request)
{
	if (!request->is_moving)
		return;
	request->is_moving = false;
	direct_clear_timer(&request->placement_timer);
	if (request->placement_query)
		direct_placement_cancel(request->direct->placement,
					request->placement_query);
	request->placement_query = 0;
	if (request->graph)
		direct_stages_discard(request->direct->stages, request);
	request->state = DIRECT_STATE_SENT;
}

static void end_stall(struct direct_request *request, const char *outcome)
{
	direct_stall_stay(request);
	direct_clear_timer(&request->stall_timer);
	if (!request->stalled_us)
		return;
	count_stall(request, outcome, RETRY_OBSTACLE_NONE);
	request->stalled_us = 0;
}

static void end_stall_by_answer(struct direct_request *request)
{
	if (request->stalled_us)
		pool_note_recovered(request->direct->pool, request->upstream);
	end_stall(request, "continued");
}

void direct_stall_end(struct direct_request *request, enum pool_outcome outcome)
{
	switch (outcome) {
	case POOL_SERVED:
	case POOL_OVERLOADED:
	case POOL_ERROR_ANSWER:
		end_stall_by_answer(request);
		break;
	case POOL_UNREACHABLE:
	case POOL_WRONG_PROCESS:
		end_stall(request, "gone");
		break;
	case POOL_UNDETERMINED:
		end_stall(request, "ended");
		break;
	}
}

void direct_stall_leave(struct direct_request *request)
{
	bool is_slow;

	if (!request->is_moving)
		return;
	request->is_moving = false;
	is_slow = reads_slowly(request);
	if (!is_slow) {
		request->left_sendings++;
		direct_request_report_left(request);
	}
	end_stall(request, "moved");
	direct_sending_end(request, POOL_UNDETERMINED);
	direct_sending_note_possible_run(request);
	direct_sending_log_end(
		request, RETRY_EVENT_BROKEN,
		request->answer_begun ? RETRY_STEP_RESUME : RETRY_STEP_RETRY,
		RETRY_OBSTACLE_NONE, is_slow ? "reads_slowly" : "silent");
	if (request->answer_begun)
		direct_stream_resume_begin(request);
}

/* ---- decisions ---- */

/* Whether an upstream that was not tried may take the request now, and what it
 * has to be sent with can be had. */
static bool has_place(struct direct_request *request)
{
	struct pool_pick_args pick_args;

	if (request->graph && !direct_stage_plan_can_recompute(request))
		return false;
	direct_sending_fill_pick_args(request, &pick_args);
	pick_args.shard_count = 0;
	return pool_pick(request->direct->pool, &pick_args);
}

/* What a move needs is looked up only while it is allowed and none has begun.
 */
static struct stall_decision decide(struct direct_request *request)
{
	const struct retry_state retry = direct_sending_retry_state(request);
	struct direct *direct = request->direct;
	struct stall_attempt attempt = {
		.is_peer_gone = direct_terminations_is_replaced(
			direct->terminations, request->upstream),
		.retry_obstacle =
			retry_find_obstacle(&retry, RETRY_EVENT_BROKEN),
	};
	struct stall_decision decision;
	int64_t wait_us;

	if (!attempt.retry_obstacle && !attempt.is_peer_gone &&
	    !request->is_moving) {
		attempt.has_budget = retry_budget_allows(direct->retry_budget,
							 request->service);
		attempt.has_place = has_place(request);
	}
	decision = stall_decide(&attempt);
	if (decision.step != STALL_MOVE)
		return decision;
	attempt.is_blocked =
		!direct_quarantine_admit(direct->quarantine, request, &wait_us);
	return stall_decide(&attempt);
}

static void end_attempt(struct direct_request *request)
{
	direct_sending_record_lost(request);
	direct_sending_end(request, POOL_UNREACHABLE);
	direct_sending_handle_end(request, RETRY_EVENT_BROKEN, "gone");
}

/* The sending in progress ends only when the request is sent to another
 * upstream, which takes as long as its stages and its placer do. */
static void begin_move(struct direct_request *request)
{
	direct_sending_take_budget(request);
	request->is_moving = true;
	direct_sending_start(request);
}

static gboolean on_stall(gpointer userdata)
{
	struct direct_request *request = userdata;
	bool is_first = !request->stalled_us;
	struct stall_decision decision;

	if (is_first)
		begin_stall(request);
	decision = decide(request);
	if (is_first && decision.step == STALL_STAY)
		count_stall(request, "waits", decision.obstacle);
	request->stall_timer = lp_timer_add(
		(guint)(decision.recheck_us / LP_US_PER_MS), on_stall, request);
	if (decision.step == STALL_END)
		end_attempt(request);
	else if (decision.step == STALL_MOVE)
		begin_move(request);
	return G_SOURCE_REMOVE;
}

static int64_t timeout_us(const struct direct_request *request)
{
	const struct direct_route *route = request->route;
	const struct stall_times times = {
		.is_stream = route->kind == DIRECT_STREAM,
		.has_begun = request->upstream_responded,
		.target_us = route->target_us,
		.gap_us = route->gap_us,
		.expected_us = request->expected_us,
		.left_us =
			request->deadline_us - direct_request_now_us(request),
	};

	return stall_timeout_us(&times);
}

/* Whether another upstream could continue what has come so far. */
static bool may_move(const struct direct_request *request)
{
	const struct direct_route *route = request->route;

	return (route->kind == DIRECT_IDEMPOTENT || route->is_resumable) &&
	       !request->passes_through && !request->has_split_event &&
	       !request->has_long_event_id;
}

void direct_stall_watch(struct direct_request *request)
{
	end_stall_by_answer(request);
	if (request->is_upstream_paused || !may_move(request))
		return;
	request->stall_timer = lp_timer_add(
		(guint)(timeout_us(request) / LP_US_PER_MS), on_stall, request);
}
