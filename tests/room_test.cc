/* Room for results, and the loads under which its count went wrong. */
#include "pool_rig.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace
{

const int64_t linger_us = 4000000;

struct Room {
	TestClock clock;
	room *it;

	Room()
	{
		room_options options = { &clock.clock, linger_us };

		it = room_create(&options);
	}
	~Room()
	{
		room_destroy(it);
	}
	void keep(const char *handle, int64_t bytes)
	{
		room_begin(it, bytes);
		room_made(it, handle, bytes);
	}
};

TEST(Room, CountsACallFromItsStartAndAResultUntilItIsGivenUp)
{
	Room rig;

	room_begin(rig.it, 300);
	EXPECT_EQ(room_taken_bytes(rig.it), 300);
	room_made(rig.it, "a", 100);
	room_made(rig.it, "b", 100);
	room_not_made(rig.it, 100);
	EXPECT_EQ(room_taken_bytes(rig.it), 200);
	room_given_up(rig.it, "a", 100);
	room_given_up(rig.it, "a", 100);
	EXPECT_EQ(room_taken_bytes(rig.it), 100);
	rig.clock.now_us += linger_us;
	EXPECT_EQ(room_taken_bytes(rig.it), 0);
}

/* A new dispatcher hears of results that the earlier one had made, one after
 * the other, while its own calls go on. */
TEST(Room, ResultsOfAnEarlierDispatcherMakeNoRoomAmongOurs)
{
	Room rig;

	rig.keep("ours", 800);
	for (int i = 0; i < 8; i++)
		room_given_up(rig.it, ("theirs" + std::to_string(i)).c_str(),
			      100);
	EXPECT_EQ(room_own_bytes(rig.it), 800);
}

TEST(Room, WhatOthersHoldShowsInACallThatWasShort)
{
	Room rig;

	rig.keep("ours", 200);
	/* 1000 in all, 200 ours, 300 had room: 500 are others'. */
	room_learn(rig.it, 1000, 200, 300, true);
	EXPECT_EQ(room_other_bytes(rig.it), 500);
	room_given_up(rig.it, "theirs", 100);
	EXPECT_EQ(room_other_bytes(rig.it), 400);
	/* More had room than there would be beside them. */
	room_learn(rig.it, 1000, 200, 700, false);
	EXPECT_EQ(room_other_bytes(rig.it), 100);
	/* A call that was not short tells of no more than it took. */
	room_learn(rig.it, 1000, 200, 10, false);
	EXPECT_EQ(room_other_bytes(rig.it), 100);
	rig.clock.now_us += linger_us;
	EXPECT_EQ(room_other_bytes(rig.it), 0);
}

TEST(Room, WhatOthersHoldIsToldWithinBounds)
{
	Room rig;

	rig.keep("ours", 200);
	room_told(rig.it, 1000, 200, 300, 400);
	EXPECT_EQ(room_other_bytes(rig.it), 400);
	room_told(rig.it, 1000, 200, 300, 500);
	EXPECT_EQ(room_other_bytes(rig.it), 400);
	room_told(rig.it, 1000, 200, 500, 600);
	EXPECT_EQ(room_other_bytes(rig.it), 300);
	room_told(rig.it, 1000, 200, 900, 1000);
	EXPECT_EQ(room_other_bytes(rig.it), 0);
}

/* ---- a restart of all entries, as a load ---- */

const int64_t all_bytes = 1000;
const int64_t piece_bytes = 50;
/* Upstreams tell of their room in such steps, rounded down. */
const int64_t step_bytes = 100;
const uint32_t upstreams = 4;

/* Upstreams as they are: a piece has room or has not. */
struct Makers {
	struct Result {
		int64_t bytes;
		int64_t until_us;
	};
	std::map<std::string, std::vector<Result>> kept;

	int64_t free_bytes(const std::string &id, int64_t now_us)
	{
		int64_t bytes = all_bytes;

		for (const Result &result : kept[id])
			if (result.until_us > now_us)
				bytes -= result.bytes;
		return bytes;
	}
	bool make(const std::string &id, int64_t now_us)
	{
		if (free_bytes(id, now_us) < piece_bytes)
			return false;
		kept[id].push_back({ piece_bytes, now_us + linger_us });
		return true;
	}
};

struct Restart : Pool {
	pieces *queue;
	Makers makers;
	int requests[32];
	int results = 0;
	uint32_t made = 0;
	uint32_t short_of_room = 0;

	Restart()
	{
		pieces_options options = {};

		for (uint32_t i = 0; i < upstreams; i++)
			add(("u" + std::to_string(i)).c_str(), "a");
		options.clock = &clock.clock;
		options.pool = it;
		options.service = "s";
		options.batch_max = 8;
		options.call_us = 200000;
		options.piece_us = 20000;
		options.result_memory_bytes = all_bytes;
		options.result_ttl_us = linger_us;
		queue = pieces_create(&options);
	}
	~Restart()
	{
		pieces_destroy(queue);
	}
	/* Whoever was killed had these made; they lapse one by one. */
	void leave_results(int count)
	{
		for (const pool_entry &entry : entries)
			for (int i = 1; i <= count; i++)
				makers.kept[entry.id].push_back(
					{ piece_bytes,
					  clock.now_us +
						  i * linger_us / count });
	}
	/* Two pieces of each of so many requests. */
	void ask(uint32_t count)
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
	void answer_questions()
	{
		while (pool_upstream *upstream =
			       pieces_next_memory_query(queue)) {
			int64_t free_bytes = makers.free_bytes(
				upstream->entry.id, clock.now_us);

			free_bytes -= free_bytes % step_bytes;
			pieces_memory_reported(
				queue, upstream, room_own_bytes(upstream->room),
				free_bytes, free_bytes + step_bytes);
		}
	}
	/* Room is taken up from a call's start. */
	struct Call {
		pieces_call *it;
		std::vector<bool> has_room;
	};
	Call start(pieces_call *call)
	{
		Call out = { call, {} };

		for (guint i = 0; i < call->pieces->len; i++)
			out.has_room.push_back(makers.make(
				call->upstream->entry.id, clock.now_us));
		return out;
	}
	void end(const Call &call)
	{
		for (guint i = 0; i < call.it->pieces->len; i++) {
			const piece *one =
				&g_array_index(call.it->pieces, piece, i);
			std::string handle = std::to_string(++results);

			if (call.has_room[i]) {
				pieces_piece_completed(queue, call.it, one,
						       handle.c_str());
				made++;
				continue;
			}
			pieces_piece_failed(queue, call.it, one, true);
			pieces_add(queue, one);
			short_of_room++;
		}
		pieces_end_call(queue, call.it, POOL_SERVED, 0, 0);
	}
	/* Calls are made and end in time for so long. */
	void run(int64_t time_us)
	{
		const int64_t step_us = 10000;
		std::vector<Call> calls;

		for (int64_t end_us = clock.now_us + time_us;
		     clock.now_us < end_us; clock.now_us += step_us) {
			answer_questions();
			while (pieces_call *call = pieces_start_call(queue))
				calls.push_back(start(call));
			for (size_t i = 0; i < calls.size();) {
				const pieces_call *call = calls[i].it;

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

/* All entries were killed: four fifths of each upstream's room is taken up by
 * results that nobody knows, and lapses over four seconds. Each upstream is
 * met short once at the most, by one step of what it tells. */
TEST(Restart, CallsCarryOnlyWhatHasRoomBesideResultsOfTheDead)
{
	Restart rig;

	rig.leave_results(16);
	rig.ask(30);
	rig.run(3000000);
	EXPECT_GE(rig.made, 48u);
	rig.run(1500000);
	EXPECT_EQ(rig.made, 60u);
	EXPECT_LE(rig.short_of_room, upstreams * step_bytes / piece_bytes);
}

/* Upstreams that do not tell: what a call met is remembered, and no call is
 * made for nothing until others' results must have lapsed. */
TEST(Restart, ACallThatWasShortIsNotRepeatedAtOnce)
{
	Restart rig;
	pieces_call *call;

	rig.leave_results(20);
	rig.ask(4);
	while (pieces_next_memory_query(rig.queue))
		;
	rig.clock.now_us += 30000;
	for (uint32_t i = 0; i < upstreams; i++) {
		call = pieces_start_call(rig.queue);
		ASSERT_NE(call, nullptr);
		rig.end(rig.start(call));
	}
	EXPECT_EQ(rig.made, 0u);
	EXPECT_EQ(pieces_start_call(rig.queue), nullptr);
	rig.clock.now_us += linger_us;
	call = pieces_start_call(rig.queue);
	ASSERT_NE(call, nullptr);
	rig.end(rig.start(call));
	EXPECT_EQ(rig.made, 8u);
}

} // namespace
