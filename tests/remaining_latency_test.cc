/* Estimate of the latency after a stage, and its effect under load: without it,
 * a queue in front of an overloaded stage serves nearly all requests slightly
 * late. */
#include "pool_rig.h"

#include <gtest/gtest.h>

#include <vector>

namespace
{

const int64_t ms = 1000;

TEST(RemainingLatency, AllowsForMeanAndDeviation)
{
	remaining_latency latency = {};

	EXPECT_EQ(remaining_latency_us(&latency, 300 * ms), 300 * ms);
	for (int i = 0; i < 100; i++)
		remaining_latency_record(&latency, 300 * ms,
					 (i % 2 ? 400 : 440) * ms);
	EXPECT_GT(remaining_latency_us(&latency, 300 * ms), 420 * ms);
	EXPECT_LT(remaining_latency_us(&latency, 300 * ms), 460 * ms);
}

/* Faults must not raise the estimate without bound, and fast answers must not
 * lower it below the expected time. */
TEST(RemainingLatency, IsBetweenExpectedAndTwiceExpected)
{
	remaining_latency latency = {};

	for (int i = 0; i < 100; i++)
		remaining_latency_record(&latency, 300 * ms, 60000 * ms);
	EXPECT_EQ(remaining_latency_us(&latency, 300 * ms), 600 * ms);
	EXPECT_EQ(remaining_latency_us(&latency, 100 * ms), 200 * ms);
	for (int i = 0; i < 200; i++)
		remaining_latency_record(&latency, 300 * ms, 10 * ms);
	EXPECT_EQ(remaining_latency_us(&latency, 300 * ms), 300 * ms);
}

/* The effect of an outlier fades after some ten more requests. */
TEST(RemainingLatency, RecoversFromOneSlowRequest)
{
	remaining_latency latency = {};

	for (int i = 0; i < 50; i++)
		remaining_latency_record(&latency, 300 * ms, 350 * ms);
	remaining_latency_record(&latency, 300 * ms, 600 * ms);
	EXPECT_GT(remaining_latency_us(&latency, 300 * ms), 400 * ms);
	for (int i = 0; i < 20; i++)
		remaining_latency_record(&latency, 300 * ms, 350 * ms);
	EXPECT_LT(remaining_latency_us(&latency, 300 * ms), 370 * ms);
}

/*
 * For some seconds, requests of eight pieces each arrive faster than four
 * upstreams can process them. The first event is expected 300 ms after the
 * stage, but it takes 360 to 500 ms.
 */
struct Load : Pool {
	struct Request {
		int64_t arrival_us;
		uint32_t completed = 0;
	};
	const int64_t target_us = 1600 * ms;
	const int64_t expected_us = 300 * ms;
	pieces *queue;
	std::vector<pieces_call *> calls;
	std::vector<Request> requests;
	remaining_latency latency = {};
	bool uses_estimate;
	int on_time = 0;
	int just_late = 0; /* late by less than half a second */
	int results = 0;

	explicit Load(bool uses_estimate) : uses_estimate(uses_estimate)
	{
		pieces_options options = {};

		for (const char *id : { "one", "two", "three", "four" })
			add(id, "a");
		options.clock = &clock.clock;
		options.pool = c_pool;
		options.service = "s";
		options.batch_max = 18;
		options.call_us = 150 * ms;
		options.piece_us = 7100;
		queue = pieces_create(&options);
		requests.reserve(1000);
	}
	~Load()
	{
		for (pieces_call *call : calls)
			pieces_end_call(queue, call, POOL_SERVED, 0, 0);
		pieces_destroy(queue);
	}
	void add_request()
	{
		piece one = {};
		int64_t after_us =
			uses_estimate
				? remaining_latency_us(&latency, expected_us)
				: expected_us;

		requests.push_back({ clock.now_us });
		one.request = &requests.back();
		one.due_us =
			clock.now_us + target_us - after_us - 150 * ms - 7100;
		one.expires_us = clock.now_us + 8000 * ms;
		for (one.index = 0; one.index < 8; one.index++)
			pieces_add(queue, &one);
	}
	void end_request(Request *request)
	{
		int64_t after_us =
			(360 +
			 (int64_t)(lp_hash_pair(requests.size(), results) %
				   141)) *
			ms;
		int64_t took_us = clock.now_us + after_us - request->arrival_us;

		remaining_latency_record(&latency, expected_us, after_us);
		on_time += took_us <= target_us;
		just_late +=
			took_us > target_us && took_us < target_us + 500 * ms;
	}
	void end_calls()
	{
		for (size_t i = calls.size(); i-- > 0;) {
			pieces_call *call = calls[i];

			if (clock.now_us < call->started_us + call->expected_us)
				continue;
			for (guint j = 0; j < call->pieces->len; j++) {
				auto *request = (Request *)g_array_index(
							call->pieces, piece, j)
							.request;

				if (++request->completed == 8)
					end_request(request);
			}
			complete_call(queue, call, &results);
			calls.erase(calls.begin() + (long)i);
		}
	}
	/* 4 x 18 pieces in 278 ms are a capacity of 32 requests a second;
	 * twice as many arrive. */
	void run()
	{
		const int64_t start_us = clock.now_us;

		while (clock.now_us < start_us + 6000 * ms) {
			clock.now_us += ms;
			if ((clock.now_us - start_us) / ms % 15 == 0)
				add_request();
			end_calls();
			while (pieces_call *call = pieces_start_call(queue))
				calls.push_back(call);
		}
	}
};

TEST(RemainingLatency, OverloadedStageServesOnTime)
{
	Load without(false);
	Load with(true);

	without.run();
	with.run();
	/* The failure: requests are served at the last moment, slightly late.
	 */
	EXPECT_GT(without.just_late, without.on_time);
	EXPECT_GT(with.on_time, 3 * with.just_late);
	EXPECT_GT(with.on_time, 3 * without.on_time / 2);
}

} // namespace
