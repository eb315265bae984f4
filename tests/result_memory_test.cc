/* Result memory: its accounting, and loads under which the accounting was
 * wrong. */
#include "pool_rig.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace
{

const int64_t result_ttl_us = 4000000;

struct ResultMemory {
	TestClock clock;
	result_memory *memory;

	ResultMemory()
	{
		result_memory_options options = { &clock.clock, result_ttl_us };

		memory = result_memory_create(&options);
	}
	~ResultMemory()
	{
		result_memory_destroy(memory);
	}
	void add_result(const char *handle, int64_t bytes)
	{
		result_memory_reserve(memory, bytes);
		result_memory_commit(memory, handle, bytes);
	}
};

TEST(ResultMemory, CountsCallFromStartAndResultUntilReleased)
{
	ResultMemory rig;

	result_memory_reserve(rig.memory, 300);
	EXPECT_EQ(result_memory_used_bytes(rig.memory), 300);
	result_memory_commit(rig.memory, "a", 100);
	result_memory_commit(rig.memory, "b", 100);
	result_memory_cancel(rig.memory, 100);
	EXPECT_EQ(result_memory_used_bytes(rig.memory), 200);
	result_memory_release(rig.memory, "a", 100);
	result_memory_release(rig.memory, "a", 100);
	EXPECT_EQ(result_memory_used_bytes(rig.memory), 100);
	rig.clock.now_us += result_ttl_us;
	EXPECT_EQ(result_memory_used_bytes(rig.memory), 0);
}

/* A new dispatcher learns that results of its predecessor are freed, one by
 * one, while its own calls run. That must not free memory of its own results.
 */
TEST(ResultMemory, ReleaseOfUntrackedResultKeepsTrackedBytes)
{
	ResultMemory rig;

	rig.add_result("ours", 800);
	for (int i = 0; i < 8; i++)
		result_memory_release(rig.memory,
				      ("theirs" + std::to_string(i)).c_str(),
				      100);
	EXPECT_EQ(result_memory_tracked_bytes(rig.memory), 800);
}

TEST(ResultMemory, ShortCallShowsUntrackedMemory)
{
	ResultMemory rig;

	rig.add_result("ours", 200);
	/* Of 1000, 200 are tracked and 300 were free: 500 are untracked. */
	result_memory_note_call(rig.memory, 1000, 200, 300, true);
	EXPECT_EQ(result_memory_untracked_bytes(rig.memory), 500);
	result_memory_release(rig.memory, "theirs", 100);
	EXPECT_EQ(result_memory_untracked_bytes(rig.memory), 400);
	/* The results need more than was free beside 400 untracked bytes. */
	result_memory_note_call(rig.memory, 1000, 200, 700, false);
	EXPECT_EQ(result_memory_untracked_bytes(rig.memory), 100);
	/* A call that was not short shows only a lower bound of the free
	 * memory. */
	result_memory_note_call(rig.memory, 1000, 200, 10, false);
	EXPECT_EQ(result_memory_untracked_bytes(rig.memory), 100);
	rig.clock.now_us += result_ttl_us;
	EXPECT_EQ(result_memory_untracked_bytes(rig.memory), 0);
}

TEST(ResultMemory, ReportBoundsUntrackedMemory)
{
	ResultMemory rig;

	rig.add_result("ours", 200);
	result_memory_note_report(rig.memory, 1000, 200, 300, 400);
	EXPECT_EQ(result_memory_untracked_bytes(rig.memory), 400);
	result_memory_note_report(rig.memory, 1000, 200, 300, 500);
	EXPECT_EQ(result_memory_untracked_bytes(rig.memory), 400);
	result_memory_note_report(rig.memory, 1000, 200, 500, 600);
	EXPECT_EQ(result_memory_untracked_bytes(rig.memory), 300);
	result_memory_note_report(rig.memory, 1000, 200, 900, 1000);
	EXPECT_EQ(result_memory_untracked_bytes(rig.memory), 0);
}

/* ---- load after a restart of all entries ---- */

const int64_t total_bytes = 1000;
const int64_t piece_bytes = 50;
/* Upstreams report free memory in such steps, rounded down. */
const int64_t step_bytes = 100;
const uint32_t upstreams = 4;

/* Actual memory of the upstreams. */
struct Producers {
	struct Result {
		int64_t bytes;
		int64_t until_us;
	};
	std::map<std::string, std::vector<Result>> stored;

	int64_t free_bytes(const std::string &id, int64_t now_us)
	{
		int64_t bytes = total_bytes;

		for (const Result &result : stored[id])
			if (result.until_us > now_us)
				bytes -= result.bytes;
		return bytes;
	}
	bool produce(const std::string &id, int64_t now_us)
	{
		if (free_bytes(id, now_us) < piece_bytes)
			return false;
		stored[id].push_back({ piece_bytes, now_us + result_ttl_us });
		return true;
	}
};

struct RestartLoad : Pool {
	pieces *queue;
	Producers producers;
	int requests[32];
	int results = 0;
	uint32_t completed = 0;
	uint32_t not_fitting = 0;

	RestartLoad()
	{
		pieces_options options = {};

		for (uint32_t i = 0; i < upstreams; i++)
			add(("u" + std::to_string(i)).c_str(), "a");
		options.clock = &clock.clock;
		options.pool = c_pool;
		options.service = "s";
		options.batch_max = 8;
		options.call_us = 200000;
		options.piece_us = 20000;
		options.result_memory_bytes = total_bytes;
		options.result_ttl_us = result_ttl_us;
		queue = pieces_create(&options);
	}
	~RestartLoad()
	{
		pieces_destroy(queue);
	}
	/* Results of the killed entries, which expire one by one. */
	void add_untracked_results(int count)
	{
		for (const pool_upstream_info &info : infos)
			for (int i = 1; i <= count; i++)
				producers.stored[info.id].push_back(
					{ piece_bytes,
					  clock.now_us +
						  i * result_ttl_us / count });
	}
	/* Adds two pieces for each of `count` requests. */
	void add_requests(uint32_t count)
	{
		piece one = {};

		one.due_us = clock.now_us + 1000000;
		one.expires_us = clock.now_us + 6000000;
		one.result_bytes = piece_bytes;
		for (uint32_t i = 0; i < 2 * count; i++) {
			one.request = &requests[i / 2];
			one.index = i % 2;
			pieces_add(queue, &one);
		}
	}
	void answer_memory_queries()
	{
		while (pool_upstream *upstream =
			       pieces_next_memory_query(queue)) {
			int64_t free_bytes = producers.free_bytes(
				upstream->info.id, clock.now_us);

			free_bytes -= free_bytes % step_bytes;
			pieces_memory_reported(queue, upstream,
					       result_memory_tracked_bytes(
						       upstream->result_memory),
					       free_bytes,
					       free_bytes + step_bytes);
		}
	}
	/* Memory is occupied from the start of a call. */
	struct Call {
		pieces_call *call;
		std::vector<bool> fits;
	};
	Call start(pieces_call *call)
	{
		Call out = { call, {} };

		for (guint i = 0; i < call->pieces->len; i++)
			out.fits.push_back(producers.produce(
				call->upstream->info.id, clock.now_us));
		return out;
	}
	void end(const Call &call)
	{
		for (guint i = 0; i < call.call->pieces->len; i++) {
			const piece *one =
				&g_array_index(call.call->pieces, piece, i);
			std::string handle = std::to_string(++results);

			if (call.fits[i]) {
				pieces_piece_completed(queue, call.call, one,
						       handle.c_str());
				completed++;
				continue;
			}
			pieces_piece_failed(queue, call.call, one, true);
			pieces_add(queue, one);
			not_fitting++;
		}
		pieces_end_call(queue, call.call, POOL_SERVED, 0, 0);
	}
	/* Runs calls, which end at their expected time, for `time_us`. */
	void run(int64_t time_us)
	{
		const int64_t step_us = 10000;
		std::vector<Call> calls;

		for (int64_t end_us = clock.now_us + time_us;
		     clock.now_us < end_us; clock.now_us += step_us) {
			answer_memory_queries();
			while (pieces_call *call = pieces_start_call(queue))
				calls.push_back(start(call));
			for (size_t i = 0; i < calls.size();) {
				const pieces_call *call = calls[i].call;

				if (clock.now_us <
				    call->started_us + call->expected_us) {
					i++;
					continue;
				}
				end(calls[i]);
				calls.erase(calls.begin() + (ptrdiff_t)i);
			}
		}
		while (!calls.empty()) {
			end(calls.back());
			calls.pop_back();
		}
	}
};

/* All entries were killed. Results that no entry tracks occupy four fifths of
 * each upstream's memory and expire over four seconds. At most one call per
 * upstream may be short, by one step of the upstream's reports. */
TEST(DispatcherRestart, CallsFitBesideUntrackedResults)
{
	RestartLoad rig;

	rig.add_untracked_results(16);
	rig.add_requests(30);
	rig.run(3000000);
	EXPECT_GE(rig.completed, 48u);
	rig.run(1500000);
	EXPECT_EQ(rig.completed, 60u);
	EXPECT_LE(rig.not_fitting, upstreams * step_bytes / piece_bytes);
}

/* Upstreams that do not report their memory: after a call that did not fit, no
 * further call is sent in vain until the untracked results have expired. */
TEST(DispatcherRestart, ShortCallIsNotRepeatedBeforeExpiry)
{
	RestartLoad rig;
	pieces_call *call;

	rig.add_untracked_results(20);
	rig.add_requests(4);
	while (pieces_next_memory_query(rig.queue))
		;
	rig.clock.now_us += 30000;
	for (uint32_t i = 0; i < upstreams; i++) {
		call = pieces_start_call(rig.queue);
		ASSERT_NE(call, nullptr);
		rig.end(rig.start(call));
	}
	EXPECT_EQ(rig.completed, 0u);
	EXPECT_EQ(pieces_start_call(rig.queue), nullptr);
	rig.clock.now_us += result_ttl_us;
	call = pieces_start_call(rig.queue);
	ASSERT_NE(call, nullptr);
	rig.end(rig.start(call));
	EXPECT_EQ(rig.completed, 8u);
}

} // namespace
