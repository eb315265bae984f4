#include "policy/admission.h"

#include "base/lp_clock.h"

#include <glib.h>
#include <math.h>

/* Measured piece times predict those of the next ones for about four calls; the
 * newest one has a weight of a quarter. */
#define PIECE_TIME_TTL_US (1 * LP_US_PER_S)
#define SMOOTHING_DIVISOR 4
/* Measured times count up to this many times the queue's estimate. */
#define QUEUE_FACTOR_MAX 2

/* Dispatchers report at each submission and result. Without a report for this
 * long, the queue may have been emptied: at half its length in each further
 * period, no wait of a few seconds outlasts a burst. */
#define NOTICE_VALID_US (500 * LP_US_PER_MS)
#define NOTICE_HALF_LIFE_US (500 * LP_US_PER_MS)
/* The change of a wait is taken over at least this time: a wait falls and rises
 * by up to a call's time (some 0.3 s) as calls begin and end. */
#define SAMPLE_INTERVAL_US (200 * LP_US_PER_MS)
/* An older sample says nothing of the present change. */
#define SAMPLE_TTL_US (2 * LP_US_PER_S)

/* Weight of one request in the mean error of its route's estimates. A weak
 * entry gets a few of each route in a second. */
#define ERROR_DIVISOR 8
/* A correction beyond this part of the estimate would follow the error of a
 * time that has passed: queues grow and shrink within seconds. */
#define ERROR_MAX 0.4
/* Without new observations the error is forgotten: only requests that are
 * admitted as on time are observed, so that an error by which all are refused
 * would stay. */
#define ERROR_HALF_LIFE_US (4.0 * LP_US_PER_S)

/* A full queue is emptied within about one call. */
#define RETRY_AFTER_MIN_US (250 * LP_US_PER_MS)
/* Longest retry delay before the spread: bursts last some seconds. */
#define RETRY_AFTER_MAX_US (1500 * LP_US_PER_MS)
/* Spreads the retries of callers that were refused in the same burst. */
#define RETRY_AFTER_SPREAD_US (1500 * LP_US_PER_MS)
/* Callers wait for at most this part of the time that they have left. */
#define RETRY_AFTER_LEFT_DIVISOR 3

/* Part of the remaining time by which late work must have its first event. The
 * rest covers the answer itself and the error of the forecast. */
#define LATE_LIMIT 0.75
/* For returning callers. The difference covers an error of the forecast by
 * which Retry-After was chosen. */
#define LATE_LIMIT_RETURNING 0.875
/* Factor of the limits while requests are refused. */
#define HYSTERESIS 0.875
/* How long a refusal lowers the limits. With a lasting effect, a request whose
 * target is just above the time without any queue would always be refused. */
#define PRESSURE_TTL_US (500 * LP_US_PER_MS)
/* Part of the admissions that returning callers get before new ones. */
#define RETURN_SHARE 0.2
/* Period over which this part is measured, about that of a burst. */
#define RETURN_SHARE_US (4.0 * LP_US_PER_S)
/* One in so many requests is admitted if only an old notice speaks against it.
 * Its pieces bring a new notice. */
#define PROBE_DIVISOR 8

/* ---- measured times ---- */

static bool is_fresh(const struct admission_piece_time *piece_time,
		     int64_t now_us)
{
	return piece_time->updated_us &&
	       now_us - piece_time->updated_us <= PIECE_TIME_TTL_US;
}

void admission_record_piece_time(struct admission_piece_time *piece_time,
				 int64_t took_us, int64_t now_us)
{
	if (is_fresh(piece_time, now_us))
		piece_time->mean_us +=
			(took_us - piece_time->mean_us) / SMOOTHING_DIVISOR;
	else
		piece_time->mean_us = took_us;
	piece_time->updated_us = now_us;
}

int64_t
admission_estimate_stage_us(const struct admission_piece_time *piece_time,
			    int64_t queue_us, int64_t now_us)
{
	if (!is_fresh(piece_time, now_us))
		return queue_us;
	return MAX(queue_us,
		   MIN(piece_time->mean_us, QUEUE_FACTOR_MAX * queue_us));
}

/* ---- notices ---- */

static int32_t rank_of_priority(int32_t priority)
{
	return CLAMP(priority, 0, ADMISSION_RANKS - 1);
}

/* Samples the waits for their rate of change. */
static void sample_notice(struct admission_notice *notice, int64_t now_us)
{
	int64_t elapsed_us = now_us - notice->sampled_us;
	bool has_sample = notice->sampled_us && elapsed_us <= SAMPLE_TTL_US;

	if (has_sample && elapsed_us < SAMPLE_INTERVAL_US)
		return;
	for (uint32_t i = 0; i <= ADMISSION_RANKS; i++) {
		double growth = 0;

		if (has_sample && notice->waits_us[i] >= 0 &&
		    notice->sampled_waits_us[i] >= 0)
			growth = (double)(notice->waits_us[i] -
					  notice->sampled_waits_us[i]) /
				 (double)elapsed_us;
		if (has_sample)
			notice->growth[i] += (growth - notice->growth[i]) /
					     SMOOTHING_DIVISOR;
		else
			notice->growth[i] = 0;
		notice->sampled_waits_us[i] = notice->waits_us[i];
	}
	notice->sampled_us = now_us;
}

void admission_record_notice(struct admission_notice *notice,
			     const int64_t waits_us[ADMISSION_RANKS],
			     int64_t late_wait_us, int64_t now_us)
{
	for (uint32_t i = 0; i < ADMISSION_RANKS; i++)
		notice->waits_us[i] =
			CLAMP(waits_us[i], 0, ADMISSION_WAIT_MAX_US);
	notice->waits_us[ADMISSION_RANKS] = CLAMP(
		late_wait_us, ADMISSION_UNKNOWN_US, ADMISSION_WAIT_MAX_US);
	notice->received_us = now_us;
	sample_notice(notice, now_us);
}

static int64_t decayed_us(int64_t wait_us, int64_t age_us)
{
	if (wait_us <= 0 || age_us <= NOTICE_VALID_US)
		return wait_us;
	return (int64_t)((double)wait_us *
			 exp2((double)(NOTICE_VALID_US - age_us) /
			      NOTICE_HALF_LIFE_US));
}

/* A dispatcher that reports the wait of late work counts committed pieces and
 * more urgent arrivals in its waits. All that is ahead of a request is in the
 * wait then, and is processed while the request is on its way. Others count
 * what waits there, so their queues drain as far as they were seen to. */
static double drain_of(const struct admission_notice *notice, uint32_t rank)
{
	if (notice->waits_us[ADMISSION_RANKS] >= 0)
		return 1;
	return CLAMP(-notice->growth[rank], 0.0, 1.0);
}

void admission_read_notice(
	const struct admission_notice *notice,
	const struct admission_piece_time piece_times[ADMISSION_RANKS],
	int32_t priority, int64_t now_us, struct admission_stage *out)
{
	int32_t rank = rank_of_priority(priority);

	out->wait_us = 0;
	out->measured = (struct admission_piece_time){ 0 };
	for (int32_t i = 0; i <= rank; i++) {
		out->wait_us = MAX(out->wait_us, notice->waits_us[i]);
		if (is_fresh(&piece_times[i], now_us) &&
		    piece_times[i].mean_us > out->measured.mean_us)
			out->measured = piece_times[i];
	}
	out->late_wait_us = ADMISSION_UNKNOWN_US;
	out->age_us = ADMISSION_UNKNOWN_US;
	if (!notice->received_us)
		return;
	out->age_us = now_us - notice->received_us;
	if (notice->waits_us[ADMISSION_RANKS] >= 0)
		out->late_wait_us = decayed_us(
			MAX(notice->waits_us[ADMISSION_RANKS], out->wait_us),
			out->age_us);
	out->wait_us = decayed_us(out->wait_us, out->age_us);
	out->drain = drain_of(notice, (uint32_t)rank);
	out->late_drain = drain_of(notice, ADMISSION_RANKS);
}

/* ---- error of estimates ---- */

static int64_t mean_error_us(const struct admission_error *error,
			     int64_t now_us)
{
	return (int64_t)((double)error->mean_us *
			 exp2(-(double)(now_us - error->updated_us) /
			      ERROR_HALF_LIFE_US));
}

void admission_record_error(struct admission_error *error, int64_t estimate_us,
			    int64_t took_us, int64_t now_us)
{
	error->mean_us = mean_error_us(error, now_us);
	error->mean_us +=
		(took_us - estimate_us - error->mean_us) / ERROR_DIVISOR;
	error->updated_us = now_us;
}

int64_t admission_correct_us(const struct admission_error *error,
			     int64_t estimate_us, int64_t now_us)
{
	int64_t bound_us = (int64_t)(ERROR_MAX * (double)estimate_us);

	return estimate_us +
	       CLAMP(mean_error_us(error, now_us), -bound_us, bound_us);
}

/* ---- estimate of the path ---- */

/* The wait of a queue when the request gets there `after_us` from now. */
static int64_t wait_then_us(int64_t wait_us, double drain, int64_t alone_us,
			    int64_t after_us)
{
	int64_t then_us = wait_us - (int64_t)(drain * (double)after_us);

	return MAX(then_us, MIN(wait_us, alone_us));
}

static int64_t inputs_done_us(const struct admission_stage *stage,
			      const int64_t *done_us)
{
	int64_t longest_us = 0;

	for (uint32_t i = 0; i < stage->inputs_count; i++)
		longest_us = MAX(longest_us, done_us[stage->inputs[i]]);
	return longest_us;
}

static int64_t stage_us(const struct admission_stage *stage, bool is_late,
			int64_t after_us, int64_t now_us)
{
	int64_t wait_us;

	if (is_late && stage->late_wait_us >= 0)
		return wait_then_us(stage->late_wait_us, stage->late_drain,
				    stage->alone_us, after_us);
	wait_us = wait_then_us(stage->wait_us, stage->drain, stage->alone_us,
			       after_us);
	/* Nothing bounds the measured time where no recent notice does. */
	if (stage->age_us < 0 || stage->age_us > NOTICE_VALID_US)
		return is_fresh(&stage->measured, now_us)
			       ? MAX(wait_us, stage->measured.mean_us)
			       : wait_us;
	return admission_estimate_stage_us(&stage->measured, wait_us, now_us);
}

/* Time until the engine begins. `longest_stage`: the stage that takes longest;
 * may be NULL. */
static int64_t estimate_stages_us(const struct admission_stage *stages,
				  uint32_t count, bool is_late, int64_t now_us,
				  int64_t *done_us, uint32_t *longest_stage)
{
	int64_t total_us = 0;
	int64_t longest_us = 0;

	for (uint32_t i = 0; i < count; i++) {
		int64_t took_us;

		done_us[i] = inputs_done_us(&stages[i], done_us);
		if (stages[i].is_skipped)
			continue;
		took_us = stage_us(&stages[i], is_late, done_us[i], now_us);
		done_us[i] += took_us;
		total_us = MAX(total_us, done_us[i]);
		if (!longest_stage || took_us <= longest_us)
			continue;
		longest_us = took_us;
		*longest_stage = i;
	}
	return total_us;
}

/* Whether a dispatcher that knows the wait of late work has reported for each
 * stage from which there are reports. */
static bool is_late_wait_known(const struct admission_stage *stages,
			       uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (!stages[i].is_skipped && stages[i].age_us >= 0 &&
		    stages[i].late_wait_us < 0)
			return false;
	return true;
}

struct admission_path
admission_estimate_path(const struct admission_stage *stages, uint32_t count,
			int64_t engine_wait_us, int64_t engine_us,
			int64_t now_us, int64_t *done_us)
{
	struct admission_path path = { .late_us = ADMISSION_UNKNOWN_US,
				       .age_us = ADMISSION_UNKNOWN_US };

	if (is_late_wait_known(stages, count))
		path.late_us = MAX(estimate_stages_us(stages, count, true,
						      now_us, done_us, NULL),
				   engine_wait_us) +
			       engine_us;
	path.first_event_us =
		MAX(estimate_stages_us(stages, count, false, now_us, done_us,
				       &path.bottleneck),
		    engine_wait_us) +
		engine_us;
	if (count)
		path.age_us = stages[path.bottleneck].age_us;
	return path;
}

/* ---- state ---- */

bool admission_is_under_pressure(const struct admission_pressure *pressure,
				 int32_t priority, int64_t now_us)
{
	for (int32_t i = 0; i <= rank_of_priority(priority); i++)
		if (pressure->refused_us[i] &&
		    now_us - pressure->refused_us[i] <= PRESSURE_TTL_US)
			return true;
	return false;
}

void admission_record_decision(struct admission_pressure *pressure,
			       int32_t priority,
			       const struct admission_decision *decision,
			       int64_t now_us)
{
	if (decision->is_refused_by_full_limits)
		pressure->refused_us[rank_of_priority(priority)] = now_us;
}

static double fade_factor(const struct admission_return_share *share,
			  int64_t now_us)
{
	return exp2(-(double)(now_us - share->updated_us) / RETURN_SHARE_US);
}

bool admission_has_return_share(const struct admission_return_share *share,
				int64_t now_us)
{
	double fade = fade_factor(share, now_us);

	/* The one that is admitted counts among the admissions. */
	return share->preferred * fade + 1 <=
	       RETURN_SHARE * (share->admitted * fade + 1) + 1 - RETURN_SHARE;
}

void admission_record_admission(struct admission_return_share *share,
				bool is_preferred, int64_t now_us)
{
	double fade = fade_factor(share, now_us);

	share->admitted = share->admitted * fade + 1;
	share->preferred = share->preferred * fade + (is_preferred ? 1 : 0);
	share->updated_us = now_us;
}

/* ---- decision ---- */

/* Whether the request will be on time. Without an estimate for late work, a
 * returning caller counts as a new one: it would be refused for what it has
 * waited, although it can still be served. */
static bool is_on_time(const struct admission_request *request, double factor)
{
	int64_t within_us = request->target_us;

	if (request->late_us >= 0)
		within_us -= request->waited_us;
	return (double)request->estimate_us <= factor * (double)within_us;
}

static bool is_served_late(const struct admission_request *request,
			   double factor)
{
	return request->late_us >= 0 &&
	       (double)request->late_us <= factor * (double)request->left_us;
}

/* Time until the request can be served. A request that waits before it is sent
 * again is not nearer to its target, as its target is counted from the first
 * attempt. For late work, the queue gets shorter by the time waited, and the
 * limit by a part of that. */
static int64_t time_until_slot_us(const struct admission_request *request)
{
	double excess_us;

	if (request->late_us < 0 || request->late_us >= ADMISSION_WAIT_MAX_US)
		return CLAMP(request->estimate_us - request->target_us,
			     RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US);
	excess_us = (double)request->late_us -
		    LATE_LIMIT * (double)request->left_us;
	return MAX((int64_t)(excess_us / (1 - LATE_LIMIT)), RETRY_AFTER_MIN_US);
}

int64_t admission_retry_after_us(const struct admission_request *request)
{
	int64_t max_us =
		MAX(request->left_us / RETRY_AFTER_LEFT_DIVISOR, LP_US_PER_MS);
	int64_t wait_us = time_until_slot_us(request);
	/* Some spread remains where the wait takes all of the time. */
	int64_t spread_us =
		CLAMP(max_us - wait_us, max_us / 8, RETRY_AFTER_SPREAD_US);

	return MIN(wait_us, max_us - spread_us) +
	       (int64_t)(request->hash % (uint64_t)MAX(spread_us, 1));
}

static bool is_notice_old(const struct admission_request *request)
{
	return request->age_us > NOTICE_VALID_US;
}

struct admission_decision
admission_decide(const struct admission_request *request)
{
	struct admission_decision decision = { .outcome = ADMISSION_ON_TIME };
	double factor = request->is_under_pressure ? HYSTERESIS : 1.0;

	if (!request->target_us || is_on_time(request, factor))
		return decision;
	decision.outcome = ADMISSION_LATE;
	if (is_served_late(request, factor * LATE_LIMIT))
		return decision;
	decision.is_preferred = request->waited_us &&
				request->has_return_share &&
				is_served_late(request, LATE_LIMIT_RETURNING);
	if (decision.is_preferred)
		return decision;
	decision.is_probe =
		is_notice_old(request) && request->hash % PROBE_DIVISOR == 0;
	if (decision.is_probe)
		return decision;
	decision.outcome = ADMISSION_REFUSED;
	decision.is_refused_by_full_limits =
		!is_on_time(request, 1.0) &&
		!is_served_late(request, LATE_LIMIT);
	decision.retry_after_us = admission_retry_after_us(request);
	return decision;
}

const char *admission_outcome_name(enum admission_outcome outcome)
{
	static const char *const names[] = {
		[ADMISSION_ON_TIME] = "on_time",
		[ADMISSION_LATE] = "late",
		[ADMISSION_REFUSED] = "refused",
	};

	return names[outcome];
}
