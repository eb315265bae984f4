/* Queues of stages whose load exceeds their capacity: order, forecast and
 * shedding, against a clock that the test controls. */
#include "pool_rig.h"

extern "C" {
#include "policy/queue_forecast.h"
}

#include <gtest/gtest.h>

#include <deque>

namespace
{

const int64_t ms = 1000;

/* The last stage of a route: 12 upstreams, 46 pieces in a call of 279 ms. This
 * is a capacity of 1,980 pieces, or 124 groups of 16, per second. */
struct Overload : Pool {
	struct Group {
		int64_t added_us;
		int64_t due_us;
		int32_t rank;
		uint32_t size;
		bool holds_memory;
		uint32_t completed;
		int64_t completed_us;
		load_shedding_reason shed;
		int64_t shed_us;
	};
	struct Load {
		int64_t every_us;
		int64_t until_us;
		piece like; /* times are relative to its arrival */
		int64_t next_us;
	};
	pieces *queue;
	std::vector<pieces_call *> calls;
	std::deque<Group> groups;
	std::vector<Load> loads;
	const int64_t start_us = clock.now_us;
	uint32_t group_size = 16;
	/* Groups whose inputs fit into the memory of the stage before. */
	uint32_t held_groups_max = UINT32_MAX;
	uint32_t held_groups = 0;
	uint32_t not_held = 0; /* groups that found no memory there */
	int results = 0;
	/* Results that are released after the next stage has run. */
	struct Result {
		pool_upstream *producer;
		std::string handle;
		int64_t release_us;
	};
	std::deque<Result> stored;
	int64_t result_time_us = 0;

	explicit Overload(int upstreams = 12, int64_t memory_bytes = 0)
	{
		pieces_options options = {};

		for (int i = 0; i < upstreams; i++)
			add(("u" + std::to_string(i)).c_str(), "a");
		options.clock = &clock.clock;
		options.pool = c_pool;
		options.service = "s";
		options.batch_max = 46;
		options.call_us = 150 * ms;
		options.piece_us = 2800;
		options.result_memory_bytes = memory_bytes;
		options.result_ttl_us = 4000 * ms;
		queue = pieces_create(&options);
	}
	~Overload()
	{
		for (pieces_call *call : calls)
			pieces_end_call(queue, call, POOL_SERVED, 0, 0);
		pieces_destroy(queue);
	}
	int64_t time_us() const
	{
		return clock.now_us - start_us;
	}
	/* Latest start 600 ms after the arrival; of use for five seconds. */
	static piece group_like(int32_t rank, bool holds_memory)
	{
		piece one = {};

		one.due_us = 600 * ms;
		one.expires_us = 5000 * ms;
		one.priority = rank;
		one.has_inputs = holds_memory;
		one.holds_memory = holds_memory;
		return one;
	}
	/* Groups like this one arrive at this part of the capacity. */
	void add_load(double load, int64_t from_us, int64_t until_us,
		      const piece &like)
	{
		double groups_per_s = load * (double)upstream_count() * 46 /
				      0.2788 / group_size;

		loads.push_back({ (int64_t)(1e6 / groups_per_s), until_us, like,
				  from_us });
	}
	int64_t upstream_count() const
	{
		return (int64_t)infos.size();
	}
	Group *add_group(const piece &like)
	{
		piece one = like;

		if (like.holds_memory && held_groups >= held_groups_max) {
			not_held++;
			return nullptr;
		}
		held_groups += like.holds_memory;
		one.due_us += clock.now_us;
		one.expires_us += clock.now_us;
		groups.push_back({ time_us(), one.due_us, one.priority,
				   group_size, one.holds_memory, 0, 0,
				   LOAD_SHEDDING_NONE, 0 });
		one.request = &groups.back();
		for (one.index = 0; one.index < group_size; one.index++)
			pieces_add(queue, &one);
		return &groups.back();
	}
	void release(const Group &group)
	{
		held_groups -= group.holds_memory;
	}
	void end_calls()
	{
		for (size_t i = calls.size(); i-- > 0;) {
			pieces_call *call = calls[i];

			if (clock.now_us < call->started_us + call->expected_us)
				continue;
			for (guint j = 0; j < call->pieces->len; j++) {
				auto *group = (Group *)g_array_index(
						      call->pieces, piece, j)
						      .request;

				if (++group->completed < group->size)
					continue;
				group->completed_us = clock.now_us;
				release(*group);
			}
			for (guint j = 0; j < call->pieces->len; j++)
				stored.push_back(
					{ call->upstream,
					  std::to_string(results + (int)j + 1),
					  clock.now_us + result_time_us });
			complete_call(queue, call, &results);
			calls.erase(calls.begin() + (long)i);
		}
	}
	void shed()
	{
		g_autoptr(GArray) out =
			g_array_new(FALSE, FALSE, sizeof(piece));

		pieces_shed(queue, out);
		for (guint i = 0; i < out->len; i++) {
			const piece *one = &g_array_index(out, piece, i);
			auto *group = (Group *)one->request;

			if (!group->shed)
				release(*group);
			group->shed = one->shed_reason;
			group->shed_us = time_us();
		}
	}
	/* Results have a byte each. */
	void release_results()
	{
		for (; !stored.empty() &&
		       stored.front().release_us <= clock.now_us;
		     stored.pop_front())
			result_memory_release(
				stored.front().producer->result_memory,
				stored.front().handle.c_str(), 1);
	}
	void answer_memory_queries()
	{
		while (pool_upstream *upstream =
			       pieces_next_memory_query(queue)) {
			int64_t tracked_bytes = result_memory_tracked_bytes(
				upstream->result_memory);

			pieces_memory_reported(queue, upstream, tracked_bytes,
					       46 - tracked_bytes,
					       46 - tracked_bytes);
		}
	}
	int64_t estimate_us(int32_t rank) const
	{
		int64_t out[4];

		pieces_estimate_by_priority_us(queue, out, 4);
		return out[rank];
	}
	void run(int64_t until_us)
	{
		for (; time_us() < until_us; clock.now_us += ms) {
			for (Load &load : loads)
				for (; load.next_us <= time_us() &&
				       load.next_us < load.until_us;
				     load.next_us += load.every_us)
					add_group(load.like);
			end_calls();
			release_results();
			answer_memory_queries();
			if (time_us() / ms % 20 == 0)
				shed();
			while (pieces_call *call = pieces_start_call(queue))
				calls.push_back(call);
		}
	}
	/* A piece that starts at its due time in a call of its own is on time.
	 */
	static bool on_time(const Group &group)
	{
		return group.completed_us &&
		       group.completed_us <= group.due_us + 152800;
	}
	template <typename Predicate>
	double share(int32_t rank, Predicate predicate) const
	{
		uint32_t all = 0;
		uint32_t matching = 0;

		for (const Group &group : groups) {
			if (group.rank != rank)
				continue;
			all++;
			matching += predicate(group);
		}
		return all ? (double)matching / all : 0;
	}
	double share_shed(int32_t rank) const
	{
		return share(rank, [](const Group &group) {
			return group.shed != LOAD_SHEDDING_NONE;
		});
	}
};

/* 1.7 times the capacity for five seconds, all inputs in scarce memory. The
 * failure: late pieces went first, so each piece started when it was already
 * too late, and almost none was on time. */
TEST(LoadShedding, OverloadedLastStageServesItsCapacityOnTime)
{
	Overload rig;

	rig.add_load(1.7, 0, 5000 * ms, Overload::group_like(0, true));
	rig.run(12000 * ms);
	RecordProperty("share",
		       std::to_string(rig.share(0, Overload::on_time)));
	EXPECT_GT(rig.share(0, Overload::on_time), 1 / 1.7);
	for (const Overload::Group &group : rig.groups)
		EXPECT_TRUE(group.completed_us || group.shed);
}

/* The same overload where the stage before has memory for a second of work. The
 * failure: late groups that only wait keep that memory full, and its upstreams
 * idle while on-time work could run. */
TEST(LoadShedding, LateGroupsReleaseMemoryOfTheStageBefore)
{
	Overload rig;
	uint32_t served = 0;

	rig.held_groups_max = 124;
	rig.add_load(1.7, 0, 5000 * ms, Overload::group_like(0, true));
	rig.run(12000 * ms);
	for (const Overload::Group &group : rig.groups)
		served += Overload::on_time(group);
	EXPECT_GT(served, 0.85 * 5 * 124);
}

/* A spike of one second at 1.5 times the capacity, after which half of the
 * capacity is free: what it makes late is served soon. */
TEST(LoadShedding, ShortSpikeShedsNothing)
{
	for (bool holds_memory : { false, true }) {
		Overload rig;
		const piece like = Overload::group_like(0, holds_memory);

		rig.add_load(0.5, 0, 8000 * ms, like);
		rig.add_load(1.0, 2000 * ms, 3000 * ms, like);
		rig.run(12000 * ms);
		EXPECT_EQ(rig.share_shed(0), 0);
		EXPECT_GT(rig.share(0, Overload::on_time), 0.9);
	}
}

/* Late work that the remaining capacity completes before it expires. The
 * failure would be to refuse requests that still earn something. */
TEST(LoadShedding, LateGroupsWithAProspectStay)
{
	Overload rig;
	piece late = Overload::group_like(0, false);

	late.due_us = -100 * ms;
	rig.add_load(0.6, 0, 6000 * ms, Overload::group_like(0, false));
	rig.add_load(0.2, 0, 6000 * ms, late);
	rig.run(12000 * ms);
	EXPECT_EQ(rig.share_shed(0), 0);
	for (const Overload::Group &group : rig.groups)
		EXPECT_TRUE(group.completed_us);
}

/* Part of the group is in a running call, whose results would be computed for
 * nothing. */
TEST(LoadShedding, GroupInARunningCallIsNotShed)
{
	Overload rig(1);
	piece like = Overload::group_like(0, false);
	Overload::Group *group;

	rig.group_size = 60; /* more than a call carries */
	like.due_us = -1000 * ms;
	like.expires_us = 300 * ms;
	group = rig.add_group(like);
	rig.run(1 * ms);
	ASSERT_EQ(rig.calls.size(), 1u);
	rig.clock.now_us += 270 * ms;
	rig.shed();
	EXPECT_EQ(group->shed, LOAD_SHEDDING_NONE);
	rig.clock.now_us += 10 * ms;
	rig.end_calls();
	EXPECT_EQ(group->completed, 46u);
	rig.shed();
	EXPECT_EQ(group->shed, LOAD_SHEDDING_EXPIRY);
}

/* The only upstream is busy for longer than the work is of use. The request is
 * refused once it is late, not held until its deadline. */
TEST(LoadShedding, GroupWithoutAProspectIsShedOnceItIsLate)
{
	Overload rig(1);
	piece like = Overload::group_like(0, false);
	Overload::Group *group;

	pool_note_busy(rig.c_pool, pool_find(rig.c_pool, "u0"),
		       rig.clock.now_us + 10000 * ms);
	group = rig.add_group(like);
	rig.run(550 * ms);
	EXPECT_EQ(group->shed, LOAD_SHEDDING_NONE);
	rig.run(621 * ms);
	EXPECT_EQ(group->shed, LOAD_SHEDDING_EXPIRY);
}

/* Without upstreams there is no forecast: they may come back at any time. */
TEST(LoadShedding, GroupWithoutUpstreamsIsKeptUntilItExpires)
{
	Overload rig(0);
	piece like = Overload::group_like(0, true);
	Overload::Group *group;

	group = rig.add_group(like);
	rig.run(4700 * ms);
	EXPECT_EQ(group->shed, LOAD_SHEDDING_NONE);
	rig.run(5000 * ms);
	EXPECT_EQ(group->shed, LOAD_SHEDDING_EXPIRY);
}

/* The caller of a stream that broke waits only a short time for the next event,
 * and the due time of its pieces is long past. The failure: they waited behind
 * all others until their callers left. */
TEST(LoadShedding, ResumedStreamsGoFirstAndAreNotShed)
{
	Overload rig;
	piece resumed = Overload::group_like(3, true);
	Overload::Group *group;

	rig.add_load(1.7, 0, 3000 * ms, Overload::group_like(0, true));
	rig.run(2000 * ms);
	resumed.due_us = -4000 * ms;
	resumed.expires_us = -1 * ms;
	resumed.resumes = true;
	group = rig.add_group(resumed);
	rig.shed();
	EXPECT_EQ(group->shed, LOAD_SHEDDING_NONE);
	rig.run(2700 * ms);
	EXPECT_EQ(group->shed, LOAD_SHEDDING_NONE);
	/* It waits for the end of one call, at most. */
	EXPECT_GT(group->completed_us, 0);
	EXPECT_LT(group->completed_us - rig.start_us, 2600 * ms);
}

/* ---- forecast ---- */

/* More urgent work takes 90% of the capacity all the time, so that a queue
 * drains at a tenth of it. The failure: the queue alone was counted, and less
 * urgent requests were admitted that had no prospect. */
TEST(QueueForecast, LessUrgentWorkWaitsForMoreUrgentArrivals)
{
	Overload rig;
	piece less_urgent = Overload::group_like(1, false);
	Overload::Group *last = nullptr;
	int64_t estimate_us;

	less_urgent.due_us = 20000 * ms;
	less_urgent.expires_us = 30000 * ms;
	rig.add_load(0.9, 0, 12000 * ms, Overload::group_like(0, false));
	rig.run(4000 * ms);
	for (int i = 0; i < 40; i++) {
		/* Groups that are due together are in no certain order. */
		less_urgent.due_us += ms;
		last = rig.add_group(less_urgent);
	}
	estimate_us = rig.estimate_us(1);
	EXPECT_LT(rig.estimate_us(0), 700 * ms);
	rig.run(12000 * ms);
	ASSERT_GT(last->completed_us, 0);
	const int64_t took_us = last->completed_us - rig.start_us - 4000 * ms;

	RecordProperty("estimate_ms", std::to_string(estimate_us / ms));
	RecordProperty("took_ms", std::to_string(took_us / ms));
	EXPECT_GT(estimate_us, took_us * 2 / 3);
	EXPECT_LT(estimate_us, took_us * 3 / 2);
}

/* A burst that admission has let through reaches the stage half a second later.
 * The failure: the stage's queue was short until then, so that admission let
 * everything through. */
TEST(QueueForecast, CommittedWorkIsAheadOfLessUrgentWork)
{
	Overload rig;
	const uint32_t committed[] = { 0, 1980 };
	const int64_t before_us = rig.estimate_us(1);

	pieces_set_committed(rig.queue, committed, 2);
	EXPECT_EQ(rig.estimate_us(0), before_us);
	/* A second of work, whose calls are full. */
	EXPECT_NEAR((double)(rig.estimate_us(1) - before_us), 1126e3, 2e3);
	EXPECT_EQ(rig.estimate_us(2), rig.estimate_us(1));
	EXPECT_EQ(pieces_late_wait_us(rig.queue), rig.estimate_us(1));
	pieces_set_committed(rig.queue, nullptr, 0);
	EXPECT_EQ(rig.estimate_us(1), before_us);
}

/* The same work is not counted as committed and again as expected arrivals. */
TEST(QueueForecast, CommittedWorkIsPartOfTheExpectedArrivals)
{
	Overload rig;
	const uint32_t committed[] = { 900 };
	int64_t before_us;

	rig.add_load(0.5, 0, 3000 * ms, Overload::group_like(0, false));
	rig.run(3000 * ms);
	before_us = rig.estimate_us(1);
	pieces_set_committed(rig.queue, committed, 1);
	EXPECT_EQ(rig.estimate_us(1), before_us);
}

/* Late work has only what on-time work leaves: in calm seconds it is served
 * soon, during an overload not before its end. */
TEST(QueueForecast, LateWorkWaitsForTheEndOfAnOverload)
{
	Overload rig;

	rig.add_load(0.5, 0, 4000 * ms, Overload::group_like(0, false));
	rig.add_load(1.0, 4000 * ms, 30000 * ms,
		     Overload::group_like(0, false));
	rig.add_load(0.7, 4000 * ms, 30000 * ms,
		     Overload::group_like(0, false));
	rig.run(3900 * ms);
	EXPECT_LT(pieces_late_wait_us(rig.queue), 600 * ms);
	rig.run(6000 * ms);
	EXPECT_GT(pieces_late_wait_us(rig.queue), 3000 * ms);
	/* Rates over ten seconds show no end of it. */
	rig.run(20000 * ms);
	EXPECT_EQ(pieces_late_wait_us(rig.queue), INT64_MAX);
}

/* After a change of the dispatcher, the next one has no rates at first, and
 * must not take a few arrivals for a rate. */
TEST(QueueForecast, NewDispatcherHasRatesAfterHalfASecond)
{
	queue_forecast forecast;
	const int64_t start_us = 20000 * ms;

	queue_forecast_init(&forecast, 0);
	for (int64_t i = 0; i < 1000; i++)
		queue_forecast_note_arrival(&forecast, 1, start_us + i * ms);
	EXPECT_EQ(queue_forecast_arrivals(&forecast, 2, start_us + 499 * ms)
			  .recent,
		  0);
	EXPECT_NEAR(queue_forecast_arrivals(&forecast, 2, start_us + 999 * ms)
			    .recent,
		    1e-3, 1e-5);
	EXPECT_NEAR(queue_forecast_arrivals(&forecast, 2, start_us + 999 * ms)
			    .average,
		    1e-3, 1e-5);
	EXPECT_EQ(queue_forecast_arrivals(&forecast, 1, start_us + 999 * ms)
			  .recent,
		  0);
}

/* Results wait a second for the next stage, and an upstream has memory for one
 * call. The failure: the estimate counted time only, a quarter of the actual
 * wait. */
TEST(QueueForecast, ResultMemoryLimitsTheCapacity)
{
	Overload rig(12, 46);
	piece like = Overload::group_like(0, false);
	Overload::Group *last;
	int64_t estimate_us;

	rig.result_time_us = 1000 * ms;
	like.due_us = 30000 * ms;
	like.expires_us = 60000 * ms;
	like.result_bytes = 1;
	rig.add_load(0.5, 0, 3000 * ms, like);
	rig.run(3000 * ms);
	last = rig.add_group(like);
	estimate_us = rig.estimate_us(0);
	rig.run(20000 * ms);
	ASSERT_GT(last->completed_us, 0);
	const int64_t took_us = last->completed_us - rig.start_us - 3000 * ms;

	RecordProperty("estimate_ms", std::to_string(estimate_us / ms));
	RecordProperty("took_ms", std::to_string(took_us / ms));
	EXPECT_GT(estimate_us, took_us * 2 / 3);
	EXPECT_LT(estimate_us, took_us * 3 / 2);
}

} // namespace
