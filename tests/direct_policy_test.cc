/* Decisions of an entry that calls upstreams directly: no I/O, own time. */
#include "pool_rig.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{

/* ---- verdict ---- */

struct Budget {
	bool has = true;
	int asked = 0;

	static bool take(void *userdata)
	{
		auto *budget = static_cast<Budget *>(userdata);

		budget->asked++;
		return budget->has;
	}
};

verdict_state fresh(bool repeatable)
{
	verdict_state state = {};

	state.repeatable = repeatable;
	state.runs = 1;
	state.runs_max = 2;
	state.moves = 1;
	state.has_time = true;
	return state;
}

/* Over all states: what may run once is sent again only after "not run", and
 * "not run" is said only if nothing can have run. */
TEST(Verdict, KeepsItsTwoPromisesInEveryState)
{
	for (int bits = 0; bits < 128; bits++)
		for (int event = VERDICT_NOT_SENT; event <= VERDICT_INPUT_GONE;
		     event++) {
			Budget budget;
			verdict_state state = fresh(bits & 1);

			state.resumes = (bits & 2) && state.repeatable;
			state.begun = bits & 4;
			state.may_have_run = bits & 8;
			state.has_time = bits & 16;
			state.moves = bits & 32 ? 9 : 1;
			budget.has = bits & 64;
			auto step = verdict_next(&state, (verdict_event)event,
						 Budget::take, &budget);
			bool repeats =
				step == VERDICT_AGAIN || step == VERDICT_RESUME;
			bool ran = event == VERDICT_BROKEN ||
				   event == VERDICT_ERROR;

			if (ran && repeats) {
				EXPECT_TRUE(state.repeatable);
				EXPECT_EQ(budget.asked, 1);
			}
			if (step == VERDICT_REFUSE) {
				EXPECT_FALSE(ran || state.may_have_run);
				EXPECT_FALSE(state.begun);
			}
			if (state.begun && event != VERDICT_ANSWERED) {
				EXPECT_TRUE(step == VERDICT_RESUME ||
					    step == VERDICT_CUT ||
					    step == VERDICT_REMAKE ||
					    step == VERDICT_PASS);
			}
			EXPECT_LE(budget.asked, 1);
		}
}

TEST(Verdict, WhatNeverLeftCostsNoBudget)
{
	Budget budget;
	verdict_state state = fresh(false);

	EXPECT_EQ(verdict_next(&state, VERDICT_NOT_SENT, Budget::take, &budget),
		  VERDICT_AGAIN);
	EXPECT_EQ(budget.asked, 0);
}

/* ---- retries ---- */

TEST(Retries, KeepTheBoundInEveryWindow)
{
	TestClock clock;
	retries_options options = { &clock.clock, 0.2, 3, 0 };
	retries *budget = retries_create(&options);
	std::vector<int64_t> requests;
	std::vector<int64_t> taken;

	for (int i = 0; i < 6000; i++) {
		clock.now_us += 5000;
		if (i % 3 == 0 && (i / 600) % 2 == 0) {
			retries_saw_request(budget, "s");
			requests.push_back(clock.now_us);
		}
		if (retries_take(budget, "s"))
			taken.push_back(clock.now_us);
	}
	ASSERT_GT(taken.size(), 50u);
	for (int64_t end : taken) {
		int repeats = 0;
		int seen = 0;

		for (int64_t at : taken)
			repeats += at > end - 10000000 && at <= end;
		for (int64_t at : requests)
			seen += at > end - 10000000 && at <= end;
		EXPECT_LE(repeats, 0.2 * seen + 3);
	}
	retries_destroy(budget);
}

/* ---- dispatchers ---- */

std::vector<dispatchers_task> tasks_of(std::vector<uint64_t> hashes,
				       std::vector<dispatchers_member> members)
{
	std::vector<dispatchers_task> tasks;

	for (uint64_t hash : hashes)
		tasks.push_back({ hash, 0 });
	dispatchers_find(members.data(), members.size(), tasks.data(),
			 tasks.size());
	return tasks;
}

/* Entries list members and services in any order. */
TEST(Dispatchers, AreTheSameToAllWhoKnowTheSame)
{
	std::vector<dispatchers_member> members = {
		{ 11, 500 }, { 12, 500 }, { 13, 90 }, { 14, 400 }, { 15, 0 }
	};
	auto one = tasks_of({ 1, 2, 3 }, members);

	std::reverse(members.begin(), members.end());
	auto two = tasks_of({ 3, 1, 2 }, members);

	for (int i = 0; i < 3; i++) {
		EXPECT_EQ(one[i].hash, two[i].hash);
		EXPECT_EQ(one[i].dispatcher, two[i].dispatcher);
	}
}

TEST(Dispatchers, AreStrongMembersOneServiceEachFirst)
{
	std::vector<dispatchers_member> members = {
		{ 11, 500 }, { 12, 500 }, { 13, 90 }, { 14, 400 }, { 15, 0 }
	};
	std::map<uint64_t, int> held;

	for (const auto &task : tasks_of({ 1, 2, 3, 4, 5, 6 }, members))
		held[task.dispatcher]++;
	EXPECT_EQ(held,
		  (std::map<uint64_t, int>{ { 11, 2 }, { 12, 2 }, { 14, 2 } }));
}

TEST(Dispatchers, AreFoundAsLongAsAnyoneTakesWork)
{
	EXPECT_EQ(tasks_of({ 1 }, { { 15, 0 }, { 13, 90 } })[0].dispatcher,
		  13u);
	EXPECT_EQ(tasks_of({ 1 }, { { 15, 0 } })[0].dispatcher, 0u);
	EXPECT_EQ(tasks_of({ 1 }, {})[0].dispatcher, 0u);
}

/* One of three that is back from a restart hears both others at once. */
TEST(Dispatchers, AreAskedOnceAllThatAreKnownWereHeard)
{
	const int64_t ms = 1000;
	dispatchers_meeting alone = { 0, 0, false };
	dispatchers_meeting met = { 0, 15 * ms, false };

	EXPECT_EQ(dispatchers_meeting_left_us(&alone, 40 * ms), 60 * ms);
	EXPECT_EQ(dispatchers_meeting_left_us(&alone, 100 * ms), 0);
	EXPECT_EQ(dispatchers_meeting_left_us(&met, 114 * ms), 1 * ms);
	EXPECT_EQ(dispatchers_meeting_left_us(&met, 115 * ms), 0);
}

/* Thirty that start together turn up one after the other for 300 ms; some of
 * those that the settings name may be down. */
TEST(Dispatchers, AreNotAskedWhileNewMembersTurnUp)
{
	const int64_t ms = 1000;
	dispatchers_meeting meeting = { 0, 0, true };

	EXPECT_EQ(dispatchers_meeting_left_us(&meeting, 349 * ms), 1 * ms);
	for (int64_t at_us = 10 * ms; at_us <= 300 * ms; at_us += 10 * ms) {
		int64_t later_us = at_us + 99 * ms;

		meeting.found_us = at_us;
		meeting.knows_silent = false;
		EXPECT_GT(dispatchers_meeting_left_us(&meeting, later_us), 0);
		meeting.knows_silent = true;
		EXPECT_GT(dispatchers_meeting_left_us(&meeting, later_us), 0);
	}
	EXPECT_EQ(dispatchers_meeting_left_us(&meeting, 400 * ms), 0);
	meeting.found_us = 690 * ms;
	EXPECT_EQ(dispatchers_meeting_left_us(&meeting, 700 * ms), 0);
}

TEST(Dispatchers, ShareALargeService)
{
	EXPECT_EQ(dispatchers_parts(0), 1u);
	EXPECT_EQ(dispatchers_parts(32), 1u);
	EXPECT_EQ(dispatchers_parts(33), 2u);
	EXPECT_EQ(dispatchers_parts(180), 8u);
}

/* ---- events ---- */

std::string last_id_of(const std::string &text, size_t *whole = nullptr)
{
	char *id = nullptr;
	size_t size = direct_event_stream_complete_size(text.data(),
							text.size(), &id);
	std::string out = id ? id : "none";

	if (whole)
		*whole = size;
	g_free(id);
	return out;
}

/* Found by reading: an id was looked for anywhere in an event, so a stream
 * would have resumed after whatever its data said. */
TEST(Events, OnlyALineOfItsOwnIsAnId)
{
	EXPECT_EQ(last_id_of("data: id: 9\nid: 2\n\n"), "2");
	EXPECT_EQ(last_id_of("id:7\ndata: x\nid x\n\n"), "7");
	EXPECT_EQ(last_id_of("data: id: 9\n\n"), "none");
	EXPECT_EQ(last_id_of("id: 1\n\nid: 2\r\ndata: y\n\n"), "2");
}

TEST(Events, WhatIsNotWholeDoesNotCount)
{
	size_t whole = 0;

	EXPECT_EQ(last_id_of("id: 1\ndata: a\n\nid: 2\ndata: b\n", &whole),
		  "1");
	EXPECT_EQ(whole, 15u);
	EXPECT_EQ(last_id_of("id: 3", &whole), "none");
	EXPECT_EQ(whole, 0u);
}

/* ---- admission ---- */

/* A burst is over: pieces took long a moment ago, and nothing waits. */
TEST(Admission, AnEmptyQueueIsNotRefusedForWhatPiecesTook)
{
	admission_memory memory = {};
	admission_request request = {};

	admission_learn(&memory, 2400000, 1000000);
	request.target_us = 1100000;
	request.estimate_us = admission_stage_us(&memory, 300000, 1200000);
	EXPECT_EQ(request.estimate_us, 600000);
	EXPECT_EQ(admission_refuse_us(&request), 0);
}

/* A burst begins: what is on its way to the queue shows in what pieces take
 * before it shows in the queue. */
TEST(Admission, WhatPiecesTookCountsUpToTwiceTheQueue)
{
	admission_memory memory = {};

	admission_learn(&memory, 500000, 1000000);
	EXPECT_EQ(admission_stage_us(&memory, 300000, 1900000), 500000);
	EXPECT_EQ(admission_stage_us(&memory, 200000, 1900000), 400000);
	EXPECT_EQ(admission_stage_us(&memory, 700000, 1900000), 700000);
	EXPECT_EQ(admission_stage_us(&memory, 300000, 2100000), 300000);
	admission_learn(&memory, 900000, 1100000);
	EXPECT_EQ(memory.took_us, 600000);
	admission_learn(&memory, 100000, 3000000);
	EXPECT_EQ(memory.took_us, 100000);
}

TEST(Admission, RefusedCallersComeBackApartAndNotTooLate)
{
	std::set<int64_t> waits;
	admission_request request = {};

	request.target_us = 1000000;
	request.estimate_us = 1000001;
	for (int i = 0; i < 100; i++) {
		request.hash = lp_hash_str(std::to_string(i).c_str());
		int64_t wait_us = admission_refuse_us(&request);

		EXPECT_GE(wait_us, 250000);
		EXPECT_LT(wait_us, 1750000);
		waits.insert(wait_us / 100000);
	}
	EXPECT_GE(waits.size(), 14u);
	request.estimate_us = 9000000;
	EXPECT_GE(admission_refuse_us(&request), 1500000);
	EXPECT_LT(admission_refuse_us(&request), 3000000);
	request.target_us = 0;
	EXPECT_EQ(admission_refuse_us(&request), 0);
}

/* ---- patience ---- */

/* A burst: callers give 6 s, those that were refused come back with less. */
TEST(Patience, WhoComesBackHasWaited)
{
	patience callers = {};

	for (int i = 0; i < 8; i++)
		EXPECT_EQ(patience_waited_us(&callers, 6000000 - i * 2000), 0);
	/* Told in steps of 20 ms. */
	EXPECT_NEAR((double)patience_waited_us(&callers, 4500000), 1500000.0,
		    40000.0);
	EXPECT_EQ(patience_waited_us(&callers, 5992000), 0);
	/* Many come back, each with what it has left. */
	for (int i = 0; i < 40; i++)
		EXPECT_NEAR((double)patience_waited_us(&callers,
						       3000000 + i * 60000),
			    3000000.0 - i * 60000, 40000.0);
}

/* Callers of two kinds: the shorter time is not what is left of the longer. */
TEST(Patience, AUsualTimeIsAFirstTry)
{
	patience callers = {};

	for (int i = 0; i < 8; i++) {
		patience_waited_us(&callers, 6000000);
		patience_waited_us(&callers, 2000000);
	}
	EXPECT_EQ(patience_waited_us(&callers, 6000000), 0);
	EXPECT_EQ(patience_waited_us(&callers, 2000000), 0);
	EXPECT_EQ(patience_waited_us(&callers, 1200000), 800000);
	EXPECT_EQ(patience_waited_us(&callers, 3000000), 3000000);
}

TEST(Patience, NothingIsConcludedOfTimesThatAllDiffer)
{
	patience callers = {};

	for (int i = 0; i < 200; i++)
		EXPECT_EQ(patience_waited_us(&callers,
					     9000000 - (i * 37 % 100) * 80000),
			  0);
	EXPECT_EQ(patience_waited_us(&callers, 0), 0);
}

/* ---- pool ---- */

TEST(Pool, LeavesOutWhoIsLeavingTriedOrFailing)
{
	Pool pool;

	pool.add("one", "a");
	pool.add("two", "a");
	pool.entries[0].leaving = true;
	pool_update(pool.it, pool.entries.data(), 2);
	EXPECT_STREQ(pool.pick()->entry.id, "two");
	EXPECT_EQ(pool.pick({}, { "two" }), nullptr);
	pool.entries[0].leaving = false;
	pool_update(pool.it, pool.entries.data(), 2);
	pool_learn(pool.it, pool_find(pool.it, "two"), POOL_UNREACHABLE, 0, 0);
	EXPECT_STREQ(pool.pick()->entry.id, "one");
	/* One that is set aside is better than none. */
	EXPECT_STREQ(pool.pick({}, { "one" })->entry.id, "two");
}

TEST(Pool, ForgetsFailuresWithTime)
{
	Pool pool;

	pool.add("one", "a");
	pool.add("two", "a");
	pool_learn(pool.it, pool_find(pool.it, "one"), POOL_SERVED, 500000,
		   50000);
	EXPECT_STREQ(pool.pick()->entry.id, "two");
	pool.clock.now_us += 30 * LP_US_PER_S;
	pool_find(pool.it, "two")->in_flight = 1;
	EXPECT_STREQ(pool.pick()->entry.id, "one");
}

TEST(Pool, KeepsAPrefixAtItsHomeUnlessThatIsFarBehind)
{
	Pool pool;
	const std::vector<pool_part> prompt = { { 7, 9000 }, { 8, 500 } };
	pool_upstream *home;

	for (const char *id : { "e1", "e2", "e3", "e4" })
		pool.add(id, "a");
	home = pool.pick(prompt);
	pool_remember(pool.it, home, prompt.data(), 2, 100000);
	EXPECT_EQ(pool_cold_tokens(home, prompt.data(), 2), 0);
	EXPECT_EQ(pool.pick({ { 7, 9000 }, { 9, 400 } }), home);
	home->tokens_ahead = 200000;
	EXPECT_NE(pool.pick({ { 7, 9000 }, { 9, 400 } }), home);
}

/* Reading a prefix again costs less than an answer that is late. */
TEST(Pool, LeavesAPrefixsHomeRatherThanBeLate)
{
	Pool pool;
	std::vector<pool_part> prompt = { { 7, 13000 }, { 8, 1000 } };
	pool_ask ask = {};

	for (const char *id : { "one", "two", "three" })
		pool.add(id, "a");
	ask.service = "s";
	ask.parts = prompt.data();
	ask.parts_count = prompt.size();
	ask.target_us = 500000;
	pool_upstream *home = pool_pick(pool.it, &ask);

	pool_remember(pool.it, home, prompt.data(), 2, 100000);
	home->tokens_ahead = 20000; /* 330 ms */
	EXPECT_EQ(pool_pick(pool.it, &ask), home);
	home->tokens_ahead = 40000; /* 670 ms */
	EXPECT_NE(pool_pick(pool.it, &ask), home);
	ask.target_us = 0; /* it is late in any case */
	EXPECT_EQ(pool_pick(pool.it, &ask), home);
}

/* A large service has several placers, each with a share of the engines. */
TEST(Pool, KeepsToItsShareOfTheUpstreams)
{
	Pool pool;
	pool_ask ask = {};
	int found = 0;

	for (const char *id : { "one", "two", "three", "four", "five" })
		pool.add(id, "a");
	ask.service = "s";
	ask.share_count = 2;
	for (ask.share = 0; ask.share < 2; ask.share++) {
		pool_upstream *best;

		ask.tried_count = 0;
		std::vector<const char *> tried;

		while ((best = pool_pick(pool.it, &ask))) {
			EXPECT_EQ(best->hash % 2, ask.share);
			EXPECT_EQ(pool_find_life(pool.it, best->life), best);
			tried.push_back(best->entry.id);
			ask.tried = tried.data();
			ask.tried_count = tried.size();
			found++;
		}
	}
	EXPECT_EQ(found, 5);
}

TEST(Pool, ForgetsTheOldestPartsBeyondAnEnginesMemory)
{
	Pool pool;
	pool_upstream *engine;

	pool.add("e", "a");
	engine = pool.pick();
	for (uint64_t i = 1; i <= 10; i++) {
		const pool_part part = { i, 100 };

		pool.clock.now_us++;
		pool_remember(pool.it, engine, &part, 1, 500);
	}
	const pool_part oldest = { 5, 100 };
	const pool_part newest = { 10, 100 };

	EXPECT_EQ(pool_cold_tokens(engine, &oldest, 1), 100);
	EXPECT_EQ(pool_cold_tokens(engine, &newest, 1), 0);
}

/* ---- graph ---- */

struct Graph {
	uint32_t zero = 0;
	uint32_t one = 1;
	graph *it;

	/* 0 by itself; 1 -> 2 -> the request takes in 0 and 2. */
	Graph(uint32_t a, uint32_t b, uint32_t c)
	{
		graph_stage stages[] = { { nullptr, 0, a },
					 { nullptr, 0, b },
					 { &one, 1, c } };

		it = graph_create(stages, 3);
	}
	~Graph()
	{
		graph_destroy(it);
	}
	void make(uint32_t stage, uint32_t piece, const char *handle)
	{
		graph_made(it, stage, piece, handle, 7, 10);
	}
	std::vector<std::string> inputs(uint32_t stage)
	{
		g_autoptr(GPtrArray) out = g_ptr_array_new();
		std::vector<std::string> handles;

		graph_inputs(it, stage, out);
		for (guint i = 0; i < out->len; i++)
			handles.emplace_back(
				(const char *)g_ptr_array_index(out, i));
		return handles;
	}
	std::vector<std::string> unneeded(bool all)
	{
		GArray *out = g_array_new(FALSE, FALSE, sizeof(graph_result));
		std::vector<std::string> handles;

		graph_take_unneeded(it, all, out);
		for (guint i = 0; i < out->len; i++) {
			auto *result = &g_array_index(out, graph_result, i);

			handles.emplace_back(result->handle);
			g_free(result->handle);
		}
		g_array_unref(out);
		return handles;
	}
};

TEST(GraphOfStages, GoesOnWhenAllInputsAreMade)
{
	Graph graph(1, 2, 1);

	EXPECT_TRUE(graph_stage_ready(graph.it, 0));
	EXPECT_FALSE(graph_stage_ready(graph.it, 2));
	graph.make(1, 0, "b0");
	EXPECT_FALSE(graph_stage_ready(graph.it, 2));
	graph.make(1, 1, "b1");
	EXPECT_TRUE(graph_stage_ready(graph.it, 2));
	EXPECT_EQ(graph.inputs(2), (std::vector<std::string>{ "b0", "b1" }));
	graph.make(2, 0, "c0");
	EXPECT_FALSE(graph_complete(graph.it));
	EXPECT_EQ(graph.unneeded(false),
		  (std::vector<std::string>{ "b0", "b1" }));
	graph.make(0, 0, "a0");
	EXPECT_TRUE(graph_complete(graph.it));
	EXPECT_EQ(graph.inputs(3), (std::vector<std::string>{ "a0", "c0" }));
	EXPECT_EQ(graph.unneeded(true),
		  (std::vector<std::string>{ "a0", "c0" }));
}

TEST(GraphOfStages, PassesOverAStageOfNoPieces)
{
	Graph graph(0, 0, 1);

	EXPECT_TRUE(graph_stage_ready(graph.it, 2));
	EXPECT_TRUE(graph.inputs(2).empty());
	graph.make(2, 0, "c0");
	EXPECT_TRUE(graph_complete(graph.it));
	EXPECT_EQ(graph.inputs(3), (std::vector<std::string>{ "c0" }));
}

TEST(GraphOfStages, MakesAgainWhatIsLost)
{
	Graph graph(0, 1, 1);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(graph_result));

	graph.make(1, 0, "b0");
	graph_lost_inputs(graph.it, 2, out);
	EXPECT_EQ(out->len, 1u);
	EXPECT_FALSE(graph_inputs_kept(graph.it, 2));
	EXPECT_EQ(graph_state(graph.it, 1, 0), GRAPH_PIECE_MISSING);
	for (guint i = 0; i < out->len; i++) {
		EXPECT_EQ(g_array_index(out, graph_result, i).maker, 7u);
		g_free(g_array_index(out, graph_result, i).handle);
	}
	g_array_unref(out);
}

/* Few large results of one stage, many small ones of another, in five domains:
 * the prompt goes where the bytes are. */
TEST(GraphOfStages, KnowsWhereMostBytesLie)
{
	const uint32_t one = 1;
	const graph_stage stages[] = { { nullptr, 0, 2 },
				       { nullptr, 0, 8 },
				       { &one, 1, 16 } };
	graph *it = graph_create(stages, 3);
	graph_domain_fn domain_of = [](void *, uint64_t maker) {
		return maker ? (const char *)&"a\0b\0c\0d\0e"[2 * (maker - 1)]
			     : nullptr;
	};
	int64_t bytes;

	EXPECT_EQ(graph_main_domain(it, domain_of, nullptr, &bytes), nullptr);
	EXPECT_EQ(bytes, 0);
	for (uint32_t i = 0; i < 16; i++)
		graph_made(it, 2, i, "s", 3, 6000);
	for (uint32_t i = 0; i < 8; i++) /* only the stage after takes these */
		graph_made(it, 1, i, "i", 4, 60000);
	EXPECT_STREQ(graph_main_domain(it, domain_of, nullptr, &bytes), "c");
	EXPECT_EQ(bytes, 96000);
	graph_made(it, 0, 0, "l", 2, 3000000);
	graph_made(it, 0, 1, "l", 0, 3000000); /* its maker is not known */
	EXPECT_STREQ(graph_main_domain(it, domain_of, nullptr, &bytes), "b");
	EXPECT_EQ(bytes, 3000000);
	graph_made(it, 0, 1, "l", 2, 3000000);
	EXPECT_STREQ(graph_main_domain(it, domain_of, nullptr, &bytes), "b");
	EXPECT_EQ(bytes, 6000000);
	graph_destroy(it);
}

/* ---- pieces ---- */

struct Pieces : Pool {
	pieces *queue;
	int requests[64];
	int results = 0;

	explicit Pieces(int64_t room = 0)
	{
		pieces_options options = {};

		add("one", "a");
		add("two", "a");
		options.clock = &clock.clock;
		options.pool = it;
		options.service = "s";
		options.batch_max = 8;
		options.call_us = 150000;
		options.piece_us = 10000;
		options.room_bytes = room;
		options.linger_us = 4000000;
		queue = pieces_create(&options);
	}
	~Pieces()
	{
		pieces_destroy(queue);
	}
	void ask(int request, int count, int64_t due_us, int32_t priority = 0,
		 int64_t bytes = 0)
	{
		piece one = {};

		one.request = &requests[request];
		one.due_us = clock.now_us + due_us;
		one.until_us = one.due_us + 5000000;
		one.priority = priority;
		one.bytes = bytes;
		for (int i = 0; i < count; i++) {
			one.index = i;
			pieces_add(queue, &one);
		}
	}
	/* Requests of the next call in order, or empty. */
	std::vector<int> next(pieces_call **call)
	{
		std::vector<int> out;

		*call = pieces_next(queue);
		for (guint i = 0; *call && i < (*call)->pieces->len; i++)
			out.push_back(
				(int *)g_array_index((*call)->pieces, piece, i)
					.request -
				requests);
		return out;
	}
	void end(pieces_call *call)
	{
		end_made(queue, call, &results);
	}
	/* A piece whose input lies in another domain; the upstream there is at
	 * work for 400 ms. Its bytes weigh as 50 ms. */
	void ask_far(int64_t due_us)
	{
		piece far = {};

		add("near", "b");
		pool_heard_busy(it, pool_find(it, "near"),
				clock.now_us + 400000);
		far.request = &requests[1];
		far.due_us = clock.now_us + due_us;
		far.until_us = far.due_us + 5000000;
		far.preferred_domain = "b";
		far.preferred_bytes = 3100000;
		pieces_add(queue, &far);
	}
	/* All upstreams that are asked say that nothing else is there. */
	void tell_rooms(int64_t bytes)
	{
		while (pool_upstream *upstream = pieces_ask_room(queue))
			pieces_room_told(queue, upstream,
					 room_own_bytes(upstream->room), bytes,
					 bytes);
	}
	/* A result is kept there. */
	void keep(const char *id, const char *handle, int64_t bytes)
	{
		room *at = pool_find(it, id)->room;

		room_begin(at, bytes);
		room_made(at, handle, bytes);
	}
};

TEST(PiecesQueue, GathersWhileACallIsUnderWay)
{
	Pieces rig;
	pieces_call *call;
	pieces_call *second;

	pool_heard_busy(rig.it, pool_find(rig.it, "two"),
			rig.clock.now_us + 900000);
	rig.ask(1, 1, 900000);
	ASSERT_EQ(rig.next(&call), (std::vector<int>{ 1 }));
	EXPECT_STREQ(call->upstream->entry.id, "one");
	rig.ask(2, 2, 900000);
	rig.ask(3, 1, 800000);
	ASSERT_TRUE(rig.next(&second).empty());
	rig.end(call);
	ASSERT_EQ(rig.next(&call), (std::vector<int>{ 3, 2, 2 }));
	rig.end(call);
}

TEST(PiecesQueue, ServesTheMoreUrgentAndWhatCanBeOnTimeFirst)
{
	Pieces rig;
	pieces_call *call;

	rig.ask(1, 1, -1000);
	rig.ask(2, 1, 500000, 2);
	rig.ask(3, 1, 900000, 1);
	ASSERT_EQ(rig.next(&call), (std::vector<int>{ 3, 2, 1 }));
	rig.end(call);
}

/* A part of a group would take up room and wait for the rest. */
TEST(PiecesQueue, GroupsGoWholeAsFarAsRoomDecides)
{
	Pieces rig(1000);
	pieces_call *call;

	rig.ask(1, 4, 500000, 0, 200);
	rig.ask(2, 4, 600000, 0, 200);
	rig.ask(3, 1, 700000, 0, 200);
	rig.tell_rooms(1000);
	ASSERT_EQ(rig.next(&call), (std::vector<int>{ 1, 1, 1, 1, 3 }));
	EXPECT_EQ(room_own_bytes(call->upstream->room), 1000);
	rig.end(call);
}

/* Whoever had a result made may end without giving it up. */
TEST(PiecesQueue, WhatNobodyGaveUpCountsUntilItLapses)
{
	Pieces rig(1000);
	pieces_call *call;

	rig.keep("one", "1/a", 900);
	rig.keep("two", "2/a", 900);
	rig.ask(1, 1, 500000, 0, 200);
	rig.tell_rooms(100);
	rig.clock.now_us += 3900000;
	ASSERT_TRUE(rig.next(&call).empty());
	rig.clock.now_us += 200000;
	ASSERT_EQ(rig.next(&call).size(), 1u);
	rig.end(call);
}

TEST(PiecesQueue, WhatIsGivenUpHasRoomAtOnce)
{
	Pieces rig(1000);
	pieces_call *call;

	rig.keep("one", "1/a", 900);
	rig.keep("two", "2/a", 900);
	rig.clock.now_us += 1200000;
	rig.keep("two", "2/b", 50);
	rig.ask(1, 1, 500000, 0, 200);
	rig.tell_rooms(50);
	ASSERT_TRUE(rig.next(&call).empty());
	room_given_up(pool_find(rig.it, "two")->room, "2/a", 900);
	EXPECT_EQ(room_taken_bytes(pool_find(rig.it, "two")->room), 50);
	ASSERT_EQ(rig.next(&call).size(), 1u);
	EXPECT_STREQ(call->upstream->entry.id, "two");
	rig.end(call);
}

TEST(PiecesQueue, AnEndedRequestTakesItsPiecesAlong)
{
	Pieces rig;
	pieces_call *call;

	rig.ask(1, 3, 500000);
	pieces_drop(rig.queue, &rig.requests[1]);
	ASSERT_TRUE(rig.next(&call).empty());
	EXPECT_EQ(pieces_wake_us(rig.queue), 0);
}

/* Every idle upstream gets what waits; nobody else calls it. */
TEST(PiecesQueue, UsesAllIdleUpstreams)
{
	Pieces rig;
	pieces_call *one;
	pieces_call *two;
	pieces_call *three;

	rig.ask(1, 8, 900000);
	rig.ask(2, 1, 900000);
	ASSERT_EQ(rig.next(&one).size(), 8u);
	ASSERT_EQ(rig.next(&two), (std::vector<int>{ 2 }));
	EXPECT_STRNE(one->upstream->entry.id, two->upstream->entry.id);
	rig.ask(3, 1, 900000);
	ASSERT_TRUE(rig.next(&three).empty());
	rig.end(one);
	rig.end(two);
}

TEST(PiecesQueue, WaitsForANearUpstreamAsLongAsThatIsWorth)
{
	Pieces rig;
	pieces_call *call;

	rig.ask_far(900000);
	ASSERT_TRUE(rig.next(&call).empty());
	EXPECT_GT(pieces_wake_us(rig.queue), 0);
	rig.clock.now_us += 49000;
	ASSERT_TRUE(rig.next(&call).empty());
	rig.clock.now_us += 2000;
	ASSERT_EQ(rig.next(&call).size(), 1u);
	rig.end(call);
}

/* Late already: it is no later for waiting. */
TEST(PiecesQueue, WhatCameTooLateWaitsForANearUpstreamToo)
{
	Pieces rig;
	pieces_call *call;

	rig.ask_far(-500000);
	ASSERT_TRUE(rig.next(&call).empty());
	rig.clock.now_us += 51000;
	ASSERT_EQ(rig.next(&call).size(), 1u);
	rig.end(call);
}

TEST(PiecesQueue, DoesNotWaitForANearUpstreamAtTheCostOfBeingLate)
{
	Pieces rig;
	pieces_call *call;

	rig.ask_far(10000);
	ASSERT_TRUE(rig.next(&call).empty());
	rig.clock.now_us += 10000;
	ASSERT_EQ(rig.next(&call).size(), 1u);
	rig.end(call);
}

/* Ten times slower, while the other one is at work for 160 ms. */
TEST(PiecesQueue, LeavesASlowUpstreamIdleWhileOthersKeepUp)
{
	Pieces rig;
	pieces_call *one;
	pieces_call *two;

	pool_find(rig.it, "two")->slowness = 10;
	rig.ask(1, 1, 900000);
	ASSERT_EQ(rig.next(&one).size(), 1u);
	EXPECT_STREQ(one->upstream->entry.id, "one");
	rig.ask(2, 1, 900000);
	ASSERT_TRUE(rig.next(&two).empty());
	for (int i = 3; i < 20; i++)
		rig.ask(i, 1, 900000);
	ASSERT_EQ(rig.next(&two).size(), 8u);
	EXPECT_STREQ(two->upstream->entry.id, "two");
	rig.end(one);
	rig.end(two);
}

TEST(PiecesQueue, KeepsToItsPartsOfAService)
{
	Pieces rig;
	uint64_t part = pool_find(rig.it, "one")->hash % 64;
	pieces_call *call;

	ASSERT_NE(part, pool_find(rig.it, "two")->hash % 64);
	pieces_set_parts(rig.queue, 64, UINT64_C(1) << part);
	rig.ask(1, 1, 900000);
	ASSERT_EQ(rig.next(&call).size(), 1u);
	EXPECT_STREQ(call->upstream->entry.id, "one");
	rig.ask(2, 1, 900000);
	pieces_call *second;

	ASSERT_TRUE(rig.next(&second).empty());
	rig.end(call);
}

/* ---- asking again ---- */

TEST(Backoff, WaitsLongerAfterEachFailureUpToABound)
{
	const backoff it = { 400000, 1800000 };

	EXPECT_EQ(backoff_wait_us(&it, 0, 0), 400000);
	EXPECT_EQ(backoff_wait_us(&it, 1, 0), 400000);
	EXPECT_EQ(backoff_wait_us(&it, 2, 0), 800000);
	EXPECT_EQ(backoff_wait_us(&it, 3, 0), 1600000);
	EXPECT_EQ(backoff_wait_us(&it, 4, 0), 1800000);
	EXPECT_EQ(backoff_wait_us(&it, G_MAXUINT32, 0), 1800000);
	EXPECT_EQ(backoff_wait_us(&it, 4, 1), 1260000);
}

/* Eighty entries, of which each is refused for eight seconds: calls in all, and
 * the most of them in a tenth of a second once they have parted. */
TEST(Backoff, AFleetAsksLessOftenAndNotInStep)
{
	const backoff it = { 400000, 1800000 };
	uint32_t calls = 0;
	std::map<int64_t, uint32_t> each_tenth;

	for (int entry = 0; entry < 80; entry++) {
		int64_t at_us = 0;

		for (uint32_t failures = 1; at_us < 8000000; failures++) {
			double draw =
				(double)(lp_hash_pair(entry, failures) % 1000) /
				1000;

			calls++;
			if (at_us > 3000000)
				each_tenth[at_us / 100000]++;
			at_us += backoff_wait_us(&it, failures, draw);
		}
	}
	EXPECT_LE(calls, 80u * 8); /* at 400 ms each: 1,600 */
	for (const auto &tenth : each_tenth)
		EXPECT_LE(tenth.second, 20u) << tenth.first;
}

/* ---- the watch's pace ---- */

/* All calls that wait are forgotten at once: when the first new one begins,
 * mean over many phases; whoever begins it tells the others. */
int64_t noticed_after_us(int64_t alone_us, uint32_t members)
{
	const int64_t wait_us = watch_pace_wait_us(alone_us, members);
	const int rounds = 2000;
	std::mt19937 random(1);
	std::uniform_int_distribution<int64_t> left(0, wait_us);
	int64_t sum_us = 0;

	for (int round = 0; round < rounds; round++) {
		int64_t first_us = wait_us;

		for (uint32_t i = 0; i < members; i++)
			first_us = std::min(first_us, left(random));
		sum_us += first_us;
	}
	return sum_us / rounds;
}

/* Found on a day of 68 entries: all their calls had begun together, when the
 * fleet started and at each change, and were lost together. */
int64_t noticed_after_start_us(int64_t alone_us, uint32_t members,
			       int64_t lost_us, int seed)
{
	std::mt19937 random(seed);
	std::uniform_real_distribution<double> drawn(0, 1);
	int64_t first_us = INT64_MAX;

	for (uint32_t i = 0; i < members; i++) {
		watch_pace_call call = { alone_us, 0, true, false };
		int64_t at_us = 0;

		/* Members are met during the first call. */
		while (at_us <= lost_us) {
			at_us += watch_pace_next_us(&call, drawn(random));
			call.told = false;
			call.before_us = call.wait_us;
			call.wait_us = watch_pace_wait_us(alone_us, members);
			call.is_fleet = call.wait_us > alone_us;
		}
		first_us = std::min(first_us, at_us);
	}
	return first_us - lost_us;
}

TEST(WatchPace, CallsThatBeganTogetherPart)
{
	const int64_t alone_us = 2000000;

	for (uint32_t members : { 9u, 27u, 68u, 300u })
		for (int seed = 1; seed <= 20; seed++)
			for (int64_t lost_us = 8000000; lost_us < 30000000;
			     lost_us += 1700000)
				EXPECT_LE(noticed_after_start_us(alone_us,
								 members,
								 lost_us, seed),
					  alone_us)
					<< members << " " << seed;
}

TEST(WatchPace, AFleetCallsLessOftenAndNoticesNoLater)
{
	const int64_t alone_us = 1500000;
	const int64_t alone_noticed_us = noticed_after_us(alone_us, 1);

	EXPECT_EQ(watch_pace_wait_us(alone_us, 1), alone_us);
	for (uint32_t members : { 2u, 3u, 5u, 27u, 300u })
		EXPECT_LT(noticed_after_us(alone_us, members), alone_noticed_us)
			<< members;
	EXPECT_EQ(watch_pace_wait_us(alone_us, 27), 3 * alone_us);
}

} // namespace
