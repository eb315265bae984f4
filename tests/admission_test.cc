/*
 * Admission under load patterns: each test scripts the queue waits that a
 * dispatcher would report, and checks what is admitted, served late or refused.
 */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace
{

const int64_t ms = 1000;
const int64_t s = 1000000;

using Waits = std::array<int64_t, ADMISSION_RANKS>;

/* A request of a route with a target of 1.2 s and a deadline of 6 s. */
admission_request request_of(int64_t estimate_us, int64_t late_us)
{
	admission_request request = {};

	request.estimate_us = estimate_us;
	request.late_us = late_us;
	request.age_us = 20 * ms;
	request.target_us = 1200 * ms;
	request.left_us = 6 * s;
	request.hash = 1;
	return request;
}

admission_notice notice_of(const Waits &waits, int64_t late_us, int64_t now_us)
{
	admission_notice notice = {};

	admission_record_notice(&notice, waits.data(), late_us, now_us);
	return notice;
}

admission_stage read(const admission_notice &notice, int32_t rank,
		     int64_t now_us)
{
	const admission_piece_time none[ADMISSION_RANKS] = {};
	admission_stage stage = {};

	admission_read_notice(&notice, none, rank, now_us, &stage);
	return stage;
}

/* The bottleneck stage of two classes: a queue by rank and one of late work,
 * in seconds of its capacity, and the entries that admit to it as one entry. A
 * dispatcher that knows the commitments of entries reports waits that include
 * what was just admitted. */
struct Bottleneck {
	struct Class {
		int32_t rank;
		int64_t target_us;
		int64_t left_us;
		double load; /* of the full capacity */
		int on_time, late, refused;
		double due; /* part of the next request that has arrived */
	};
	std::vector<Class> classes;
	double capacity = 1; /* of the full one */
	double queued_s[ADMISSION_RANKS] = {};
	double late_s = 0;
	double recent_load = 0; /* of on-time work */
	admission_notice notice = {};
	admission_pressure pressure = {};
	int64_t now_us = s;
	uint64_t last_hash = 0;
	std::vector<admission_outcome> outcomes;

	void add(int32_t rank, int64_t target_us, int64_t left_us, double load)
	{
		classes.push_back(
			{ rank, target_us, left_us, load, 0, 0, 0, 0 });
	}
	void report()
	{
		Waits waits;
		double ahead_s = 0;
		double left = capacity - recent_load;

		for (int i = 0; i < ADMISSION_RANKS; i++) {
			ahead_s += queued_s[i];
			waits[i] = (int64_t)(ahead_s / capacity * s) + 200 * ms;
		}
		admission_record_notice(
			&notice, waits.data(),
			left <= 0.01
				? INT64_MAX
				: (int64_t)((ahead_s + late_s) / left * s) +
					  200 * ms,
			now_us);
	}
	void serve(double seconds)
	{
		double can_s = capacity * seconds;

		for (double &queue_s : queued_s) {
			double taken_s = std::min(queue_s, can_s);

			queue_s -= taken_s;
			can_s -= taken_s;
		}
		late_s -= std::min(late_s, can_s);
	}
	/* A request takes a hundredth of a second of the full capacity. */
	void arrive(Class &one)
	{
		admission_stage stage = read(notice, one.rank, now_us);
		int64_t done_us = 0;
		admission_path path = admission_estimate_path(
			&stage, 1, 0, 150 * ms, now_us, &done_us);
		admission_request request =
			request_of(path.first_event_us, path.late_us);

		request.target_us = one.target_us;
		request.left_us = one.left_us;
		request.hash = ++last_hash * 7919;
		request.is_under_pressure = admission_is_under_pressure(
			&pressure, one.rank, now_us);
		admission_decision decision = admission_decide(&request);

		admission_record_decision(&pressure, one.rank, &decision,
					  now_us);
		outcomes.push_back(decision.outcome);
		if (decision.outcome == ADMISSION_REFUSED) {
			one.refused++;
			EXPECT_GT(decision.retry_after_us, 0);
			EXPECT_LE(decision.retry_after_us, one.left_us / 3);
		} else if (decision.outcome == ADMISSION_LATE) {
			one.late++;
			late_s += 0.01;
		} else {
			one.on_time++;
			queued_s[one.rank] += 0.01;
			recent_load += 0.01 / 0.5;
		}
	}
	/* Runs in steps of 5 ms; reports arrive every 20 ms. */
	void run_for(int64_t us)
	{
		for (int64_t at = 0; at < us; at += 5 * ms) {
			now_us += 5 * ms;
			serve(0.005);
			recent_load -= recent_load * 0.005 / 0.5;
			if (now_us % (20 * ms) == 0)
				report();
			for (Class &one : classes) {
				one.due += one.load * 0.005 / 0.01;
				for (; one.due >= 1; one.due -= 1)
					arrive(one);
			}
		}
	}
	void forget()
	{
		outcomes.clear();
		for (Class &one : classes)
			one.on_time = one.late = one.refused = 0;
	}
};

} // namespace

/* A burst of 2.4 times of a less urgent class while a third of a later stage's
 * upstreams is gone: guards against refusing the more urgent class for it, and
 * against a bottleneck that is not used. */
TEST(Admission, BurstOfOneClassLeavesTheMoreUrgentOneAlone)
{
	Bottleneck stage;

	stage.add(0, 1200 * ms, 6 * s, 0.2);
	stage.add(1, 1500 * ms, 6 * s, 0.3);
	stage.run_for(2 * s);
	EXPECT_EQ(stage.classes[0].late + stage.classes[0].refused, 0);
	EXPECT_EQ(stage.classes[1].late + stage.classes[1].refused, 0);
	stage.forget();
	stage.capacity = 2.0 / 3;
	stage.classes[1].load = 0.72;
	stage.run_for(5 * s);
	EXPECT_EQ(stage.classes[0].late + stage.classes[0].refused, 0);
	/* Five seconds of what the first class leaves. */
	EXPECT_GE(stage.classes[1].on_time + stage.classes[1].late,
		  (int)(0.95 * 500 * (2.0 / 3 - 0.2)));
	EXPECT_GT(stage.classes[1].refused, 0);
}

/* Steady overload of 2 times: guards against a capacity that is left unused and
 * against queues that make all of the admitted requests late. */
TEST(Admission, SteadyOverloadIsServedOnTimeAtFullCapacity)
{
	Bottleneck stage;

	stage.add(0, 1200 * ms, 6 * s, 2);
	stage.run_for(5 * s);
	stage.forget();
	stage.run_for(10 * s);
	EXPECT_GE(stage.classes[0].on_time + stage.classes[0].late, 950);
	EXPECT_GE(stage.classes[0].on_time, 800);
	EXPECT_GE(stage.classes[0].refused, 900);
}

/* Steady overload: guards against entries that admit all requests for one
 * report and none for the next. In each quarter of a second some are admitted,
 * and there is no quarter without a refusal or late admission. */
TEST(Admission, SteadyOverloadDoesNotOscillate)
{
	Bottleneck stage;

	stage.add(0, 1200 * ms, 6 * s, 2);
	stage.run_for(5 * s);
	for (int i = 0; i < 20; i++) {
		stage.forget();
		stage.run_for(250 * ms);
		EXPECT_GT(stage.classes[0].on_time, 0) << i;
		EXPECT_LT(stage.classes[0].on_time, (int)stage.outcomes.size())
			<< i;
	}
}

/* After a burst: guards against refusing that outlives the queue, or that comes
 * back although the load is normal. */
TEST(Admission, RefusingEndsWithTheBurst)
{
	Bottleneck stage;

	stage.add(0, 1200 * ms, 6 * s, 0.5);
	stage.run_for(1 * s);
	stage.classes[0].load = 2.4;
	stage.run_for(5 * s);
	EXPECT_GT(stage.classes[0].refused, 0);
	stage.classes[0].load = 0.5;
	stage.run_for(1 * s);
	stage.forget();
	stage.run_for(10 * s);
	EXPECT_EQ(stage.classes[0].late + stage.classes[0].refused, 0);
}

/* Entries at the edge of overload: the estimate varies around the limit from
 * one report to the next. Guards against alternating decisions. */
TEST(Admission, RefusingEndsAtALowerEstimateThanItBegins)
{
	admission_pressure pressure = {};
	admission_request request = request_of(1300 * ms, INT64_MAX);
	admission_decision decision;

	request.estimate_us = 1150 * ms;
	EXPECT_EQ(admission_decide(&request).outcome, ADMISSION_ON_TIME);
	request.estimate_us = 1300 * ms;
	decision = admission_decide(&request);
	EXPECT_EQ(decision.outcome, ADMISSION_REFUSED);
	admission_record_decision(&pressure, 1, &decision, s);
	request.estimate_us = 1150 * ms;
	request.is_under_pressure =
		admission_is_under_pressure(&pressure, 1, s + 100 * ms);
	decision = admission_decide(&request);
	EXPECT_EQ(decision.outcome, ADMISSION_REFUSED);
	/* What only the lower limit refuses does not prolong refusing. */
	admission_record_decision(&pressure, 1, &decision, s + 400 * ms);
	EXPECT_FALSE(admission_is_under_pressure(&pressure, 1, s + 600 * ms));
	request.estimate_us = 1000 * ms;
	EXPECT_EQ(admission_decide(&request).outcome, ADMISSION_ON_TIME);
}

/* Any overload: a less urgent request of the same target is never admitted
 * where a more urgent one is refused, whatever the dispatcher reports and
 * whatever was refused before. */
TEST(Admission, LessUrgentRequestsAreRefusedFirst)
{
	for (int seed = 0; seed < 2000; seed++) {
		admission_piece_time times[ADMISSION_RANKS] = {};
		admission_pressure pressure = {};
		Waits waits;
		uint32_t random = (uint32_t)lp_hash_str(
			("seed" + std::to_string(seed)).c_str());
		auto next = [&] {
			random = random * 1664525 + 1013904223;
			return (int64_t)(random >> 12);
		};
		int previous = ADMISSION_ON_TIME;

		for (int i = 0; i < ADMISSION_RANKS; i++) {
			waits[i] = next() % (2 * s);
			if (next() % 2)
				admission_record_piece_time(
					&times[i], next() % (2 * s), 9 * s);
		}
		pressure.refused_us[next() % ADMISSION_RANKS] = 10 * s;
		admission_notice notice =
			notice_of(waits, next() % (6 * s), 10 * s);

		for (int rank = 0; rank < ADMISSION_RANKS; rank++) {
			admission_stage stage = {};
			int64_t done_us;

			admission_read_notice(&notice, times, rank,
					      10 * s + 10 * ms, &stage);
			admission_path path = admission_estimate_path(
				&stage, 1, 0, 120 * ms, 10 * s + 10 * ms,
				&done_us);
			admission_request request =
				request_of(path.first_event_us, path.late_us);

			request.is_under_pressure = admission_is_under_pressure(
				&pressure, rank, 10 * s + 10 * ms);
			int outcome = admission_decide(&request).outcome;

			EXPECT_GE(outcome, previous) << seed << " " << rank;
			previous = outcome;
		}
	}
}

/* A burst that makes requests late: those that are completed well before their
 * deadline are served late, and those that are not are refused. */
TEST(Admission, RequestsThatCanBeServedLateAreAdmitted)
{
	admission_request request = request_of(2 * s, 4 * s);

	EXPECT_EQ(admission_decide(&request).outcome, ADMISSION_LATE);
	request.late_us = 5 * s;
	EXPECT_EQ(admission_decide(&request).outcome, ADMISSION_REFUSED);
	request.late_us = INT64_MAX;
	EXPECT_EQ(admission_decide(&request).outcome, ADMISSION_REFUSED);
	/* With more time left. */
	request.late_us = 5 * s;
	request.left_us = 15 * s;
	EXPECT_EQ(admission_decide(&request).outcome, ADMISSION_LATE);
	/* A dispatcher of an older release does not report late work. */
	request.late_us = ADMISSION_UNKNOWN_US;
	EXPECT_EQ(admission_decide(&request).outcome, ADMISSION_REFUSED);
}

/* Nothing is queued, but the target is shorter than the stages take: guards
 * against refusing where there is capacity. */
TEST(Admission, EmptyQueuesDoNotRefuseForAShortTarget)
{
	admission_stage stage =
		read(notice_of({ 400 * ms, 400 * ms, 400 * ms, 400 * ms },
			       400 * ms, s),
		     0, s);
	int64_t done_us;
	admission_path path =
		admission_estimate_path(&stage, 1, 0, 120 * ms, s, &done_us);
	admission_request request =
		request_of(path.first_event_us, path.late_us);

	request.target_us = 300 * ms;
	EXPECT_EQ(admission_decide(&request).outcome, ADMISSION_LATE);
}

/* A request reaches the last stage 0.6 s from now. What is ahead of it there is
 * committed work, too, so the queue is processed meanwhile: guards against
 * refusals for work that will be over when the request arrives. */
TEST(Admission, CommittedWorkIsProcessedWhileARequestIsOnItsWay)
{
	const uint32_t first = 0;
	int64_t now_us = s;
	admission_stage stages[2] = {};
	int64_t done_us[2];

	stages[0] = read(notice_of({ 600 * ms, 600 * ms, 600 * ms, 600 * ms },
				   600 * ms, now_us),
			 0, now_us);
	stages[1] = read(notice_of({ 800 * ms, 800 * ms, 800 * ms, 800 * ms },
				   2000 * ms, now_us),
			 0, now_us);
	stages[1].inputs = &first;
	stages[1].inputs_count = 1;
	stages[1].alone_us = 150 * ms;
	EXPECT_EQ(
		admission_estimate_path(stages, 2, 0, 100 * ms, now_us, done_us)
			.first_event_us,
		(600 + 200 + 100) * ms);
	EXPECT_EQ(done_us[1], (600 + 200) * ms);
	/* Not below what the stage takes by itself. */
	stages[1].alone_us = 300 * ms;
	EXPECT_EQ(
		admission_estimate_path(stages, 2, 0, 100 * ms, now_us, done_us)
			.first_event_us,
		(600 + 300 + 100) * ms);
}

/* A dispatcher of an older release does not count committed work. After a burst
 * its queue drains: a request that reaches the last stage 0.6 s from now is not
 * refused for the queue of this moment. A queue that does not drain counts in
 * full. */
TEST(Admission, StagesAreEstimatedForTheTimeOfArrival)
{
	const uint32_t first = 0;
	admission_notice draining = {};
	admission_stage stages[2] = {};
	int64_t done_us[2];
	int64_t now_us = s;

	for (int i = 0; i <= 20; i++, now_us += 200 * ms) {
		int64_t wait_us = 4000 * ms - i * 160 * ms;
		Waits waits = { wait_us, wait_us, wait_us, wait_us };

		admission_record_notice(&draining, waits.data(),
					ADMISSION_UNKNOWN_US, now_us);
	}
	now_us -= 200 * ms;
	stages[0] = read(notice_of({ 600 * ms, 600 * ms, 600 * ms, 600 * ms },
				   ADMISSION_UNKNOWN_US, now_us),
			 0, now_us);
	stages[1] = read(draining, 0, now_us);
	stages[1].inputs = &first;
	stages[1].inputs_count = 1;
	stages[1].alone_us = 200 * ms;
	admission_path path = admission_estimate_path(stages, 2, 0, 100 * ms,
						      now_us, done_us);

	/* 0.8 s, which shrinks by 0.8 of 0.6 s. */
	EXPECT_NEAR((double)path.first_event_us,
		    (double)((600 + 320 + 100) * ms), 10.0 * ms);
	stages[1].drain = 0;
	path = admission_estimate_path(stages, 2, 0, 100 * ms, now_us, done_us);
	EXPECT_EQ(path.first_event_us, (600 + 800 + 100) * ms);
	EXPECT_EQ(path.bottleneck, 1u);
	/* Not below what the stage takes by itself. */
	stages[1].drain = 1;
	stages[1].alone_us = 500 * ms;
	path = admission_estimate_path(stages, 2, 0, 100 * ms, now_us, done_us);
	EXPECT_EQ(path.first_event_us, (600 + 500 + 100) * ms);
}

/* Estimates of a path of three stages are too long by a third. Guards against
 * refusals of requests that would be on time, and against corrections that
 * outgrow the estimate. */
TEST(Admission, EstimatesAreCorrectedByTheirObservedError)
{
	admission_error error = {};

	EXPECT_EQ(admission_correct_us(&error, 1500 * ms, s), 1500 * ms);
	for (int i = 0; i < 40; i++)
		admission_record_error(&error, 1500 * ms, 1000 * ms, s);
	EXPECT_NEAR((double)admission_correct_us(&error, 1500 * ms, s),
		    1000.0 * ms, 20.0 * ms);
	EXPECT_EQ(admission_correct_us(&error, 500 * ms, s), 300 * ms);
	for (int i = 0; i < 40; i++)
		admission_record_error(&error, 1000 * ms, 9000 * ms, s);
	EXPECT_EQ(admission_correct_us(&error, 1000 * ms, s), 1400 * ms);
	/* Forgotten without observations, or refusals would keep it. */
	EXPECT_LT(admission_correct_us(&error, 1000 * ms, 30 * s), 1100 * ms);
}

/* A graph with a stage that is skipped and two parallel ones: the longest path
 * counts, and an engine that takes nothing for longer counts instead. */
TEST(Admission, LongestPathOfTheGraphCounts)
{
	const uint32_t from_first[] = { 0 };
	const uint32_t from_both[] = { 1, 2 };
	admission_stage stages[4] = {};
	int64_t done_us[4];

	for (int i = 0; i < 4; i++)
		stages[i].wait_us = (i + 1) * 100 * ms;
	stages[1].inputs = stages[2].inputs = from_first;
	stages[1].inputs_count = stages[2].inputs_count = 1;
	stages[3].inputs = from_both;
	stages[3].inputs_count = 2;
	EXPECT_EQ(admission_estimate_path(stages, 4, 0, 50 * ms, s, done_us)
			  .first_event_us,
		  (100 + 300 + 400 + 50) * ms);
	stages[2].is_skipped = true;
	EXPECT_EQ(admission_estimate_path(stages, 4, 0, 50 * ms, s, done_us)
			  .first_event_us,
		  (100 + 200 + 400 + 50) * ms);
	EXPECT_EQ(admission_estimate_path(stages, 4, 2 * s, 50 * ms, s, done_us)
			  .first_event_us,
		  2050 * ms);
}

/* Notices are lost for two seconds during a burst: the last known wait decays,
 * and meanwhile some requests are admitted, which bring new notices. */
TEST(Admission, OldNoticesNeitherAdmitNorRefuseAll)
{
	admission_notice notice =
		notice_of({ 3 * s, 3 * s, 3 * s, 3 * s }, INT64_MAX, s);
	int admitted[20] = {};
	int at = 0;

	for (int64_t age_us = 100 * ms; age_us <= 2000 * ms;
	     age_us += 100 * ms, at++) {
		admission_stage stage = read(notice, 0, s + age_us);
		int64_t done_us;
		admission_path path = admission_estimate_path(
			&stage, 1, 0, 100 * ms, s + age_us, &done_us);

		for (uint64_t i = 0; i < 160; i++) {
			admission_request request =
				request_of(path.first_event_us, path.late_us);

			request.age_us = path.age_us;
			request.hash = i;
			admitted[at] += admission_decide(&request).outcome !=
					ADMISSION_REFUSED;
		}
	}
	EXPECT_EQ(admitted[4], 0); /* 500 ms: still valid */
	for (int i = 5; i < 11; i++) {
		EXPECT_EQ(admitted[i], 20) << i;
	}
	EXPECT_EQ(admitted[19], 160);
}

/* A request of an entry that has just started, and one of an upstream without
 * stages: nothing is known. */
TEST(Admission, RequestsAreAdmittedIfNothingIsKnown)
{
	admission_notice none = {};
	admission_stage stage = read(none, 3, s);
	int64_t done_us;
	admission_path path =
		admission_estimate_path(&stage, 1, 0, 150 * ms, s, &done_us);
	admission_request request =
		request_of(path.first_event_us, path.late_us);

	EXPECT_EQ(path.first_event_us, 150 * ms);
	EXPECT_EQ(path.age_us, ADMISSION_UNKNOWN_US);
	EXPECT_EQ(admission_decide(&request).outcome, ADMISSION_ON_TIME);
	path = admission_estimate_path(nullptr, 0, 0, 150 * ms, s, nullptr);
	EXPECT_EQ(path.first_event_us, 150 * ms);
}

/* Callers are refused for a wait of `first_us` to `last_us` and return.
 * Meanwhile the queue gets shorter by this part of the time. Returns the part
 * of them that is admitted. */
double served_on_return(int64_t first_us, int64_t last_us, double drain)
{
	int returned = 0;
	int served = 0;

	for (int64_t late_us = first_us; late_us <= last_us; late_us += 10 * ms)
		for (uint64_t hash = 1; hash < 20; hash++) {
			admission_request request = request_of(3 * s, late_us);

			request.hash =
				lp_hash_str(std::to_string(hash).c_str());
			admission_decision first = admission_decide(&request);
			int64_t waited_us = first.retry_after_us;
			auto drained_us = (int64_t)(drain * (double)waited_us);

			EXPECT_EQ(first.outcome, ADMISSION_REFUSED);
			EXPECT_LE(waited_us, 2 * s);
			request.waited_us = waited_us;
			request.left_us -= waited_us;
			request.late_us -= drained_us;
			request.estimate_us -= drained_us;
			request.has_return_share = true;
			returned++;
			served += admission_decide(&request).outcome !=
				  ADMISSION_REFUSED;
		}
	return (double)served / returned;
}

/* A burst ends while refused callers wait: when they return, the queue has got
 * shorter by the time that they waited, or by 0.85 of it. Guards against a
 * Retry-After that is too short, so that they are refused again. */
TEST(Admission, ReturningCallersGetASlotWhenTheForecastHeld)
{
	EXPECT_GE(served_on_return(4510 * ms, 5200 * ms, 0.85), 0.9);
	EXPECT_GE(served_on_return(5200 * ms, 5450 * ms, 1.0), 0.9);
}

/* Steady overload in which many callers return: they go before new ones for at
 * most a fifth of the admissions. */
TEST(Admission, ReturningCallersGetAtMostAFifthBeforeNewOnes)
{
	admission_return_share share = {};
	int preferred = 0;

	for (int i = 0; i < 1000; i++) {
		admission_request request = request_of(3 * s, 5 * s);

		/* Every other caller has been refused before. */
		request.waited_us = i % 2 ? s : 0;
		request.has_return_share =
			admission_has_return_share(&share, s + i * 5 * ms);
		admission_decision decision = admission_decide(&request);

		if (i % 2 && decision.outcome != ADMISSION_REFUSED) {
			EXPECT_TRUE(decision.is_preferred);
			preferred++;
			admission_record_admission(&share, true,
						   s + i * 5 * ms);
		} else if (i % 2 == 0) {
			EXPECT_EQ(decision.outcome, ADMISSION_REFUSED);
			/* One that is on time. */
			admission_record_admission(&share, false,
						   s + i * 5 * ms);
		}
	}
	EXPECT_GE(preferred, 100);
	EXPECT_LE(preferred, 130); /* of 500 + preferred */
}

/* A caller that returns shortly before its deadline, or with little time left:
 * the wait is a third of that at most, and positive. */
TEST(Admission, RetryAfterIsAtMostAThirdOfTheTimeLeft)
{
	for (int64_t left_us : { 10 * ms, 100 * ms, 900 * ms, 6 * s })
		for (uint64_t hash = 0; hash < 100; hash++)
			for (int64_t late_us :
			     { ADMISSION_UNKNOWN_US, 7 * s, INT64_MAX }) {
				admission_request request =
					request_of(9 * s, late_us);

				request.left_us = left_us;
				request.hash = lp_hash_str(
					std::to_string(hash).c_str());
				admission_decision decision =
					admission_decide(&request);

				EXPECT_EQ(decision.outcome, ADMISSION_REFUSED);
				EXPECT_GT(decision.retry_after_us, 0);
				EXPECT_LE(decision.retry_after_us, left_us / 3);
			}
}
