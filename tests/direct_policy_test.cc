/* Unit tests of the policies of an entry that calls upstreams directly, without
 * I/O and on a simulated clock. */
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

/* ---- retry policy ---- */

struct Budget {
	bool available = true;
	int takes = 0;

	static bool take(void *userdata)
	{
		auto *budget = static_cast<Budget *>(userdata);

		budget->takes++;
		return budget->available;
	}
};

retry_state make_state(bool repeatable)
{
	retry_state state = {};

	state.repeatable = repeatable;
	state.executions = 1;
	state.executions_max = 2;
	state.attempts = 1;
	state.has_time = true;
	return state;
}

/* Tries all states: a request that may run once is sent again only after "not
 * run", and is refused as "not run" only if no attempt can have run. */
TEST(Retry, AtMostOnceRunsAndRefusalsAreSafeInEveryState)
{
	for (int bits = 0; bits < 128; bits++)
		for (int event = RETRY_EVENT_NOT_SENT;
		     event <= RETRY_EVENT_INPUT_LOST; event++) {
			Budget budget;
			retry_state state = make_state(bits & 1);

			state.resumable = (bits & 2) && state.repeatable;
			state.response_started = bits & 4;
			state.may_have_run = bits & 8;
			state.has_time = bits & 16;
			state.attempts = bits & 32 ? 9 : 1;
			budget.available = bits & 64;
			auto step = retry_next_step(&state, (retry_event)event,
						    Budget::take, &budget);
			bool repeats = step == RETRY_STEP_RETRY ||
				       step == RETRY_STEP_RESUME;
			bool ran = event == RETRY_EVENT_BROKEN ||
				   event == RETRY_EVENT_ERROR;

			if (ran && repeats) {
				EXPECT_TRUE(state.repeatable);
				EXPECT_EQ(budget.takes, 1);
			}
			if (step == RETRY_STEP_REFUSE) {
				EXPECT_FALSE(ran || state.may_have_run);
				EXPECT_FALSE(state.response_started);
			}
			if (state.response_started &&
			    event != RETRY_EVENT_ANSWERED) {
				EXPECT_TRUE(
					step == RETRY_STEP_RESUME ||
					step == RETRY_STEP_ABORT ||
					step == RETRY_STEP_RECOMPUTE_INPUTS ||
					step == RETRY_STEP_FORWARD);
			}
			EXPECT_LE(budget.takes, 1);
		}
}

TEST(Retry, UnsentAttemptCostsNoBudget)
{
	Budget budget;
	retry_state state = make_state(false);

	EXPECT_EQ(retry_next_step(&state, RETRY_EVENT_NOT_SENT, Budget::take,
				  &budget),
		  RETRY_STEP_RETRY);
	EXPECT_EQ(budget.takes, 0);
}

/* ---- retry budget ---- */

TEST(RetryBudget, RetriesStayWithinBoundInAnyWindow)
{
	TestClock clock;
	retry_budget_options options = { &clock.clock, 0.2, 3, 0, false };
	retry_budget *budget = retry_budget_create(&options);
	std::vector<int64_t> requests;
	std::vector<int64_t> taken;

	for (int i = 0; i < 6000; i++) {
		clock.now_us += 5000;
		if (i % 3 == 0 && (i / 600) % 2 == 0) {
			retry_budget_add_request(budget, "s");
			requests.push_back(clock.now_us);
		}
		if (retry_budget_take(budget, "s"))
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
	retry_budget_destroy(budget);
}

/* ---- dispatchers ---- */

std::vector<dispatchers_task>
assign_tasks(std::vector<uint64_t> hashes,
	     std::vector<dispatchers_member> members)
{
	std::vector<dispatchers_task> tasks;

	for (uint64_t hash : hashes)
		tasks.push_back({ hash, 0 });
	dispatchers_assign(members.data(), members.size(), tasks.data(),
			   tasks.size());
	return tasks;
}

/* Entries list members and services in different orders. */
TEST(Dispatchers, AssignmentIsIndependentOfOrder)
{
	std::vector<dispatchers_member> members = {
		{ 11, 500 }, { 12, 500 }, { 13, 90 }, { 14, 400 }, { 15, 0 }
	};
	auto one = assign_tasks({ 1, 2, 3 }, members);

	std::reverse(members.begin(), members.end());
	auto two = assign_tasks({ 3, 1, 2 }, members);

	for (int i = 0; i < 3; i++) {
		EXPECT_EQ(one[i].hash, two[i].hash);
		EXPECT_EQ(one[i].dispatcher, two[i].dispatcher);
	}
}

TEST(Dispatchers, StrongMembersGetOneServiceEachFirst)
{
	std::vector<dispatchers_member> members = {
		{ 11, 500 }, { 12, 500 }, { 13, 90 }, { 14, 400 }, { 15, 0 }
	};
	std::map<uint64_t, int> task_counts;

	for (const auto &task : assign_tasks({ 1, 2, 3, 4, 5, 6 }, members))
		task_counts[task.dispatcher]++;
	EXPECT_EQ(task_counts,
		  (std::map<uint64_t, int>{ { 11, 2 }, { 12, 2 }, { 14, 2 } }));
}

TEST(Dispatchers, AnyMemberWithCapacityCanDispatch)
{
	EXPECT_EQ(assign_tasks({ 1 }, { { 15, 0 }, { 13, 90 } })[0].dispatcher,
		  13u);
	EXPECT_EQ(assign_tasks({ 1 }, { { 15, 0 } })[0].dispatcher, 0u);
	EXPECT_EQ(assign_tasks({ 1 }, {})[0].dispatcher, 0u);
}

/* An entry of a fleet of three that restarts gets answers of both others at
 * once. */
TEST(Dispatchers, DiscoveryEndsSoonAfterAllKnownMembersAnswered)
{
	const int64_t ms = 1000;
	dispatchers_discovery none_discovered = { 0, 0, false };
	dispatchers_discovery discovered = { 0, 15 * ms, false };

	EXPECT_EQ(dispatchers_discovery_left_us(&none_discovered, 40 * ms),
		  60 * ms);
	EXPECT_EQ(dispatchers_discovery_left_us(&none_discovered, 100 * ms), 0);
	EXPECT_EQ(dispatchers_discovery_left_us(&discovered, 114 * ms), 1 * ms);
	EXPECT_EQ(dispatchers_discovery_left_us(&discovered, 115 * ms), 0);
}

/* Thirty entries that start together appear one by one during 300 ms; some of
 * the configured members may be down. */
TEST(Dispatchers, DiscoveryContinuesWhileNewMembersAppear)
{
	const int64_t ms = 1000;
	dispatchers_discovery discovery = { 0, 0, true };

	EXPECT_EQ(dispatchers_discovery_left_us(&discovery, 349 * ms), 1 * ms);
	for (int64_t at_us = 10 * ms; at_us <= 300 * ms; at_us += 10 * ms) {
		int64_t later_us = at_us + 99 * ms;

		discovery.last_discovered_us = at_us;
		discovery.has_silent_members = false;
		EXPECT_GT(dispatchers_discovery_left_us(&discovery, later_us),
			  0);
		discovery.has_silent_members = true;
		EXPECT_GT(dispatchers_discovery_left_us(&discovery, later_us),
			  0);
	}
	EXPECT_EQ(dispatchers_discovery_left_us(&discovery, 400 * ms), 0);
	discovery.last_discovered_us = 690 * ms;
	EXPECT_EQ(dispatchers_discovery_left_us(&discovery, 700 * ms), 0);
}

TEST(Dispatchers, LargeServiceIsSplitIntoShards)
{
	EXPECT_EQ(dispatchers_shard_count(0), 1u);
	EXPECT_EQ(dispatchers_shard_count(32), 1u);
	EXPECT_EQ(dispatchers_shard_count(33), 2u);
	EXPECT_EQ(dispatchers_shard_count(180), 8u);
}

/* ---- events ---- */

std::string last_event_id(const std::string &text,
			  size_t *complete_size = nullptr)
{
	direct_event_stream stream = {};
	char *id = nullptr;
	size_t size = direct_event_stream_complete_size(&stream, text.data(),
							text.size(), &id);
	std::string out = id ? id : "none";

	if (complete_size)
		*complete_size = size;
	g_free(id);
	return out;
}

/* Guards against a fault found in review: the id was searched for anywhere in
 * an event, so data containing "id:" would have set the point from which a
 * stream resumes. */
TEST(Events, IdIsOnlyReadFromItsOwnLine)
{
	EXPECT_EQ(last_event_id("data: id: 9\nid: 2\n\n"), "2");
	EXPECT_EQ(last_event_id("id:7\ndata: x\nid x\n\n"), "7");
	EXPECT_EQ(last_event_id("data: id: 9\n\n"), "none");
	EXPECT_EQ(last_event_id("id: 1\n\nid: 2\r\ndata: y\n\n"), "2");
}

TEST(Events, IncompleteEventIsIgnored)
{
	size_t complete_size = 0;

	EXPECT_EQ(last_event_id("id: 1\ndata: a\n\nid: 2\ndata: b\n",
				&complete_size),
		  "1");
	EXPECT_EQ(complete_size, 15u);
	EXPECT_EQ(last_event_id("id: 3", &complete_size), "none");
	EXPECT_EQ(complete_size, 0u);
}

/* Guards against an event that is read differently when it arrives in parts,
 * also after a part of it was passed on before its end. */
TEST(Events, PartsAreReadAsTheWhole)
{
	const std::string text = "id: 1\ndata: a\n\nid: 2\r\n\r\n: c\n";
	std::string buffered;
	direct_event_stream stream = {};
	char *id = nullptr;
	size_t complete_size = 0;

	for (char c : text) {
		buffered += c;
		size_t size = direct_event_stream_complete_size(
			&stream, buffered.data(), buffered.size(), &id);
		if (size) {
			EXPECT_STREQ(id, complete_size ? "2" : "1");
		}
		direct_event_stream_remove(&stream, size);
		buffered.erase(0, size);
		complete_size += size;
	}
	EXPECT_EQ(complete_size, text.size() - 4);
	buffered += "id: 3\ndata";
	EXPECT_EQ(direct_event_stream_complete_size(&stream, buffered.data(),
						    buffered.size(), &id),
		  0u);
	direct_event_stream_remove(&stream, buffered.size() - 2);
	EXPECT_EQ(direct_event_stream_complete_size(&stream, "ta\n\n", 4, &id),
		  4u);
	EXPECT_STREQ(id, "2"); /* the line of the other id is gone */
	g_free(id);
}

/* ---- admission ---- */

/* After a burst, the measured piece times are still long but the queue is
 * empty. */
TEST(Admission, OldPieceTimesDoNotRefuseForEmptyQueue)
{
	admission_piece_time piece_time = {};
	admission_request request = {};

	admission_record_piece_time(&piece_time, 2400000, 1000000);
	request.target_us = 1100000;
	request.estimate_us =
		admission_estimate_stage_us(&piece_time, 300000, 1200000);
	request.late_us = ADMISSION_UNKNOWN_US;
	EXPECT_EQ(request.estimate_us, 600000);
	EXPECT_EQ(admission_decide(&request).outcome, ADMISSION_ON_TIME);
}

/* At the start of a burst, pieces on their way to the queue increase the
 * measured times before they increase the queue's estimate. */
TEST(Admission, PieceTimesCountUpToTwiceTheQueueEstimate)
{
	admission_piece_time piece_time = {};

	admission_record_piece_time(&piece_time, 500000, 1000000);
	EXPECT_EQ(admission_estimate_stage_us(&piece_time, 300000, 1900000),
		  500000);
	EXPECT_EQ(admission_estimate_stage_us(&piece_time, 200000, 1900000),
		  400000);
	EXPECT_EQ(admission_estimate_stage_us(&piece_time, 700000, 1900000),
		  700000);
	EXPECT_EQ(admission_estimate_stage_us(&piece_time, 300000, 2100000),
		  300000);
	admission_record_piece_time(&piece_time, 900000, 1100000);
	EXPECT_EQ(piece_time.mean_us, 600000);
	admission_record_piece_time(&piece_time, 100000, 3000000);
	EXPECT_EQ(piece_time.mean_us, 100000);
}

TEST(Admission, RetryAfterIsSpreadAndBounded)
{
	std::set<int64_t> waits;
	admission_request request = {};

	request.target_us = 1000000;
	request.estimate_us = 1000001;
	request.late_us = ADMISSION_UNKNOWN_US;
	request.left_us = 60000000;
	for (int i = 0; i < 100; i++) {
		request.hash = lp_hash_str(std::to_string(i).c_str());
		int64_t wait_us = admission_decide(&request).retry_after_us;

		EXPECT_GE(wait_us, 250000);
		EXPECT_LT(wait_us, 1750000);
		waits.insert(wait_us / 100000);
	}
	EXPECT_GE(waits.size(), 14u);
	request.estimate_us = 9000000;
	EXPECT_GE(admission_decide(&request).retry_after_us, 1500000);
	EXPECT_LT(admission_decide(&request).retry_after_us, 3000000);
	request.target_us = 0;
	EXPECT_EQ(admission_decide(&request).outcome, ADMISSION_ON_TIME);
	EXPECT_EQ(admission_decide(&request).retry_after_us, 0);
}

/* ---- elapsed client wait ---- */

/* In a burst, callers have a deadline of 6 s; refused ones retry with what is
 * left of it. */
TEST(ElapsedClientWait, RetryIsRecognisedByShorterDeadline)
{
	client_wait callers = {};

	for (int i = 0; i < 8; i++)
		EXPECT_EQ(client_wait_elapsed_us(&callers, 6000000 - i * 2000),
			  0);
	/* Deadlines are counted in steps of 20 ms. */
	EXPECT_NEAR((double)client_wait_elapsed_us(&callers, 4500000),
		    1500000.0, 40000.0);
	EXPECT_EQ(client_wait_elapsed_us(&callers, 5992000), 0);
	/* Many callers retry, each with a different remaining time. */
	for (int i = 0; i < 40; i++)
		EXPECT_NEAR((double)client_wait_elapsed_us(&callers,
							   3000000 + i * 60000),
			    3000000.0 - i * 60000, 40000.0);
}

/* Callers with two usual deadlines: the shorter one is not what remains of
 * the longer one. */
TEST(ElapsedClientWait, CommonDeadlineIsAFirstTry)
{
	client_wait callers = {};

	for (int i = 0; i < 8; i++) {
		client_wait_elapsed_us(&callers, 6000000);
		client_wait_elapsed_us(&callers, 2000000);
	}
	EXPECT_EQ(client_wait_elapsed_us(&callers, 6000000), 0);
	EXPECT_EQ(client_wait_elapsed_us(&callers, 2000000), 0);
	EXPECT_EQ(client_wait_elapsed_us(&callers, 1200000), 800000);
	EXPECT_EQ(client_wait_elapsed_us(&callers, 3000000), 3000000);
}

TEST(ElapsedClientWait, DistinctDeadlinesAllowNoConclusion)
{
	client_wait callers = {};

	for (int i = 0; i < 200; i++)
		EXPECT_EQ(client_wait_elapsed_us(
				  &callers, 9000000 - (i * 37 % 100) * 80000),
			  0);
	EXPECT_EQ(client_wait_elapsed_us(&callers, 0), 0);
}

/* ---- pool ---- */

TEST(Pool, SkipsDrainingTriedAndFailingUpstreams)
{
	Pool pool;

	pool.add("one", "a");
	pool.add("two", "a");
	pool.infos[0].draining = true;
	pool_update(pool.c_pool, pool.infos.data(), 2);
	EXPECT_STREQ(pool.pick()->info.id, "two");
	EXPECT_EQ(pool.pick({}, { "two" }), nullptr);
	pool.infos[0].draining = false;
	pool_update(pool.c_pool, pool.infos.data(), 2);
	pool_record_outcome(pool.c_pool, pool_find(pool.c_pool, "two"),
			    POOL_UNREACHABLE, 0, 0);
	EXPECT_STREQ(pool.pick()->info.id, "one");
	/* An ejected upstream is better than none. */
	EXPECT_STREQ(pool.pick({}, { "one" })->info.id, "two");
}

TEST(Pool, SlownessFadesWithTime)
{
	Pool pool;

	pool.add("one", "a");
	pool.add("two", "a");
	pool_record_outcome(pool.c_pool, pool_find(pool.c_pool, "one"),
			    POOL_SERVED, 500000, 50000);
	EXPECT_STREQ(pool.pick()->info.id, "two");
	pool.clock.now_us += 30 * LP_US_PER_S;
	pool_find(pool.c_pool, "two")->in_flight = 1;
	EXPECT_STREQ(pool.pick()->info.id, "one");
}

TEST(Pool, PrefixStaysAtItsUpstreamUnlessOverloaded)
{
	Pool pool;
	const std::vector<pool_prefix_block> prompt = { { 7, 9000 },
							{ 8, 500 } };
	pool_upstream *cached_at;

	for (const char *id : { "e1", "e2", "e3", "e4" })
		pool.add(id, "a");
	cached_at = pool.pick(prompt);
	pool_note_cached_blocks(pool.c_pool, cached_at, prompt.data(), 2,
				100000);
	EXPECT_EQ(pool_uncached_tokens(cached_at, prompt.data(), 2), 0);
	EXPECT_EQ(pool.pick({ { 7, 9000 }, { 9, 400 } }), cached_at);
	cached_at->pending_prefill_tokens = 200000;
	EXPECT_NE(pool.pick({ { 7, 9000 }, { 9, 400 } }), cached_at);
}

/* Recomputing a prefix costs less than a late answer. */
TEST(Pool, PrefixMovesIfItsUpstreamWouldBeLate)
{
	Pool pool;
	std::vector<pool_prefix_block> prompt = { { 7, 13000 }, { 8, 1000 } };
	pool_pick_args args = {};

	for (const char *id : { "one", "two", "three" })
		pool.add(id, "a");
	args.service = "s";
	args.blocks = prompt.data();
	args.blocks_count = prompt.size();
	args.target_us = 500000;
	pool_upstream *cached_at = pool_pick(pool.c_pool, &args);

	pool_note_cached_blocks(pool.c_pool, cached_at, prompt.data(), 2,
				100000);
	cached_at->pending_prefill_tokens = 20000; /* 330 ms */
	EXPECT_EQ(pool_pick(pool.c_pool, &args), cached_at);
	cached_at->pending_prefill_tokens = 40000; /* 670 ms */
	EXPECT_NE(pool_pick(pool.c_pool, &args), cached_at);
	args.target_us = 0; /* no latency target */
	EXPECT_EQ(pool_pick(pool.c_pool, &args), cached_at);
}

/* A large service has several placers, each with a shard of the engines. */
TEST(Pool, PicksOnlyFromItsShard)
{
	Pool pool;
	pool_pick_args args = {};
	int found = 0;

	for (const char *id : { "one", "two", "three", "four", "five" })
		pool.add(id, "a");
	args.service = "s";
	args.shard_count = 2;
	for (args.shard = 0; args.shard < 2; args.shard++) {
		pool_upstream *best;

		args.tried_count = 0;
		std::vector<const char *> tried;

		while ((best = pool_pick(pool.c_pool, &args))) {
			EXPECT_EQ(best->hash % 2, args.shard);
			EXPECT_EQ(pool_find_incarnation(pool.c_pool,
							best->incarnation),
				  best);
			tried.push_back(best->info.id);
			args.tried = tried.data();
			args.tried_count = tried.size();
			found++;
		}
	}
	EXPECT_EQ(found, 5);
}

TEST(Pool, EvictsOldestPrefixBlocksBeyondCapacity)
{
	Pool pool;
	pool_upstream *engine;

	pool.add("e", "a");
	engine = pool.pick();
	for (uint64_t i = 1; i <= 10; i++) {
		const pool_prefix_block part = { i, 100 };

		pool.clock.now_us++;
		pool_note_cached_blocks(pool.c_pool, engine, &part, 1, 500);
	}
	const pool_prefix_block oldest = { 5, 100 };
	const pool_prefix_block newest = { 10, 100 };

	EXPECT_EQ(pool_uncached_tokens(engine, &oldest, 1), 100);
	EXPECT_EQ(pool_uncached_tokens(engine, &newest, 1), 0);
}

/* ---- graph ---- */

struct Graph {
	uint32_t zero = 0;
	uint32_t one = 1;
	graph *c_graph;

	/* Stage 0 has no dependencies, stage 2 depends on 1, and the request
	 * takes in the results of 0 and 2. */
	Graph(uint32_t a, uint32_t b, uint32_t c)
	{
		graph_stage stages[] = { { nullptr, 0, a },
					 { nullptr, 0, b },
					 { &one, 1, c } };

		c_graph = graph_create(stages, 3);
	}
	~Graph()
	{
		graph_destroy(c_graph);
	}
	void complete_piece(uint32_t stage, uint32_t piece, const char *handle)
	{
		graph_complete_piece(c_graph, stage, piece, handle, 7, 10);
	}
	std::vector<std::string> input_handles(uint32_t stage)
	{
		g_autoptr(GPtrArray) out = g_ptr_array_new();
		std::vector<std::string> handles;

		graph_input_handles(c_graph, stage, out);
		for (guint i = 0; i < out->len; i++)
			handles.emplace_back(
				(const char *)g_ptr_array_index(out, i));
		return handles;
	}
	std::vector<std::string> take_unused(bool all)
	{
		GArray *out = g_array_new(FALSE, FALSE, sizeof(graph_result));
		std::vector<std::string> handles;

		graph_take_unused_results(c_graph, all, out);
		for (guint i = 0; i < out->len; i++) {
			auto *result = &g_array_index(out, graph_result, i);

			handles.emplace_back(result->handle);
			g_free(result->handle);
		}
		g_array_unref(out);
		return handles;
	}
};

TEST(StageGraph, StageIsReadyWhenAllInputsAreCompleted)
{
	Graph graph(1, 2, 1);

	EXPECT_TRUE(graph_stage_ready(graph.c_graph, 0));
	EXPECT_FALSE(graph_stage_ready(graph.c_graph, 2));
	graph.complete_piece(1, 0, "b0");
	EXPECT_FALSE(graph_stage_ready(graph.c_graph, 2));
	graph.complete_piece(1, 1, "b1");
	EXPECT_TRUE(graph_stage_ready(graph.c_graph, 2));
	EXPECT_EQ(graph.input_handles(2),
		  (std::vector<std::string>{ "b0", "b1" }));
	graph.complete_piece(2, 0, "c0");
	EXPECT_FALSE(graph_is_complete(graph.c_graph));
	EXPECT_EQ(graph.take_unused(false),
		  (std::vector<std::string>{ "b0", "b1" }));
	graph.complete_piece(0, 0, "a0");
	EXPECT_TRUE(graph_is_complete(graph.c_graph));
	EXPECT_EQ(graph.input_handles(3),
		  (std::vector<std::string>{ "a0", "c0" }));
	EXPECT_EQ(graph.take_unused(true),
		  (std::vector<std::string>{ "a0", "c0" }));
}

TEST(StageGraph, StageWithoutPiecesIsSkipped)
{
	Graph graph(0, 0, 1);

	EXPECT_TRUE(graph_stage_ready(graph.c_graph, 2));
	EXPECT_TRUE(graph.input_handles(2).empty());
	graph.complete_piece(2, 0, "c0");
	EXPECT_TRUE(graph_is_complete(graph.c_graph));
	EXPECT_EQ(graph.input_handles(3), (std::vector<std::string>{ "c0" }));
}

TEST(StageGraph, LostInputsAreMissingAgain)
{
	Graph graph(0, 1, 1);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(graph_result));

	graph.complete_piece(1, 0, "b0");
	graph_discard_inputs(graph.c_graph, 2, out);
	EXPECT_EQ(out->len, 1u);
	EXPECT_FALSE(graph_inputs_available(graph.c_graph, 2));
	EXPECT_EQ(graph_get_piece_state(graph.c_graph, 1, 0),
		  GRAPH_PIECE_MISSING);
	for (guint i = 0; i < out->len; i++) {
		EXPECT_EQ(g_array_index(out, graph_result, i).producer, 7u);
		g_free(g_array_index(out, graph_result, i).handle);
	}
	g_array_unref(out);
}

/* Few large results of one stage and many small ones of another lie in five
 * domains: the domain with most bytes is found. */
TEST(StageGraph, MainDomainHoldsMostBytes)
{
	const uint32_t one = 1;
	const graph_stage stages[] = { { nullptr, 0, 2 },
				       { nullptr, 0, 8 },
				       { &one, 1, 16 } };
	graph *c_graph = graph_create(stages, 3);
	graph_domain_fn domain_of = [](void *, uint64_t producer) {
		return producer ? (const char *)&"a\0b\0c\0d\0e"[2 *
								 (producer - 1)]
				: nullptr;
	};
	int64_t bytes;

	EXPECT_EQ(graph_main_domain(c_graph, domain_of, nullptr, &bytes),
		  nullptr);
	EXPECT_EQ(bytes, 0);
	for (uint32_t i = 0; i < 16; i++)
		graph_complete_piece(c_graph, 2, i, "s", 3, 6000);
	for (uint32_t i = 0; i < 8; i++) /* taken in by stage 2 only */
		graph_complete_piece(c_graph, 1, i, "i", 4, 60000);
	EXPECT_STREQ(graph_main_domain(c_graph, domain_of, nullptr, &bytes),
		     "c");
	EXPECT_EQ(bytes, 96000);
	graph_complete_piece(c_graph, 0, 0, "l", 2, 3000000);
	graph_complete_piece(c_graph, 0, 1, "l", 0,
			     3000000); /* of an unknown producer */
	EXPECT_STREQ(graph_main_domain(c_graph, domain_of, nullptr, &bytes),
		     "b");
	EXPECT_EQ(bytes, 3000000);
	graph_complete_piece(c_graph, 0, 1, "l", 2, 3000000);
	EXPECT_STREQ(graph_main_domain(c_graph, domain_of, nullptr, &bytes),
		     "b");
	EXPECT_EQ(bytes, 6000000);
	graph_destroy(c_graph);
}

/* ---- pieces ---- */

struct Pieces : Pool {
	pieces *queue;
	int requests[64];
	int results = 0;

	explicit Pieces(int64_t result_memory_bytes = 0)
	{
		pieces_options options = {};

		add("one", "a");
		add("two", "a");
		options.clock = &clock.clock;
		options.pool = c_pool;
		options.service = "s";
		options.batch_max = 8;
		options.call_us = 150000;
		options.piece_us = 10000;
		options.result_memory_bytes = result_memory_bytes;
		options.result_ttl_us = 4000000;
		queue = pieces_create(&options);
	}
	~Pieces()
	{
		pieces_destroy(queue);
	}
	void add_pieces(int request, int count, int64_t due_us,
			int32_t priority = 0, int64_t bytes = 0)
	{
		piece one = {};

		one.request = &requests[request];
		one.due_us = clock.now_us + due_us;
		one.expires_us = one.due_us + 5000000;
		one.priority = priority;
		one.result_bytes = bytes;
		for (int i = 0; i < count; i++) {
			one.index = i;
			pieces_add(queue, &one);
		}
	}
	/* Starts the next call; returns the requests of its pieces in order, or
	 * an empty list if there is no call. */
	std::vector<int> start_call(pieces_call **call)
	{
		std::vector<int> out;

		*call = pieces_start_call(queue);
		for (guint i = 0; *call && i < (*call)->pieces->len; i++)
			out.push_back(
				(int *)g_array_index((*call)->pieces, piece, i)
					.request -
				requests);
		return out;
	}
	void end_call(pieces_call *call)
	{
		complete_call(queue, call, &results);
	}
	/* Adds a piece whose preferred domain is another one, where the only
	 * upstream is busy for 400 ms. Its bytes are worth 50 ms of waiting. */
	void add_with_preferred_domain(int64_t due_us)
	{
		piece preferring = {};

		add("near", "b");
		pool_note_busy(c_pool, pool_find(c_pool, "near"),
			       clock.now_us + 400000);
		preferring.request = &requests[1];
		preferring.due_us = clock.now_us + due_us;
		preferring.expires_us = preferring.due_us + 5000000;
		preferring.preferred_domain = "b";
		preferring.preferred_bytes = 3100000;
		pieces_add(queue, &preferring);
	}
	/* Answers all memory queries with `bytes` of free memory. */
	void report_memory(int64_t bytes)
	{
		while (pool_upstream *upstream =
			       pieces_next_memory_query(queue))
			pieces_memory_reported(queue, upstream,
					       result_memory_tracked_bytes(
						       upstream->result_memory),
					       bytes, bytes);
	}
	/* Adds a completed result at an upstream. */
	void add_result(const char *id, const char *handle, int64_t bytes)
	{
		result_memory *at = pool_find(c_pool, id)->result_memory;

		result_memory_reserve(at, bytes);
		result_memory_commit(at, handle, bytes);
	}
};

TEST(PiecesQueue, PiecesAreBatchedDuringACall)
{
	Pieces rig;
	pieces_call *call;
	pieces_call *second;

	pool_note_busy(rig.c_pool, pool_find(rig.c_pool, "two"),
		       rig.clock.now_us + 900000);
	rig.add_pieces(1, 1, 900000);
	ASSERT_EQ(rig.start_call(&call), (std::vector<int>{ 1 }));
	EXPECT_STREQ(call->upstream->info.id, "one");
	rig.add_pieces(2, 2, 900000);
	rig.add_pieces(3, 1, 800000);
	ASSERT_TRUE(rig.start_call(&second).empty());
	rig.end_call(call);
	ASSERT_EQ(rig.start_call(&call), (std::vector<int>{ 3, 2, 2 }));
	rig.end_call(call);
}

/* Guards against a call to a slow upstream that is given up again and again
 * although no other upstream answers, and against one that is kept although
 * another one does, or its pieces are of no use any more. */
TEST(PiecesQueue, OverdueCallIsKeptOnlyWhileNothingElseAnswers)
{
	Pieces rig;
	pieces_call *call;
	pool_upstream *other;

	rig.add_pieces(1, 1, 900000);
	ASSERT_EQ(rig.start_call(&call).size(), 1u);
	other = pool_find(rig.c_pool, !strcmp(call->upstream->info.id, "one")
					      ? "two"
					      : "one");
	pool_record_outcome(rig.c_pool, other, POOL_UNREACHABLE, 0, 0);
	EXPECT_EQ(pieces_overdue_wait_us(rig.queue, call), 0);
	pool_record_outcome(rig.c_pool, call->upstream, POOL_UNREACHABLE, 0, 0);
	EXPECT_GT(pieces_overdue_wait_us(rig.queue, call), 0);
	rig.clock.now_us += 3000000;
	EXPECT_GT(pieces_overdue_wait_us(rig.queue, call), 0);
	pool_record_outcome(rig.c_pool, other, POOL_SERVED, 0, 0);
	EXPECT_EQ(pieces_overdue_wait_us(rig.queue, call), 0);
	pool_record_outcome(rig.c_pool, other, POOL_UNREACHABLE, 0, 0);
	rig.clock.now_us += 3000000;
	EXPECT_EQ(pieces_overdue_wait_us(rig.queue, call), 0);
	rig.end_call(call);
}

TEST(PiecesQueue, OrdersByPriorityAndPutsLatePiecesLast)
{
	Pieces rig;
	pieces_call *call;

	rig.add_pieces(1, 1, -1000);
	rig.add_pieces(2, 1, 500000, 2);
	rig.add_pieces(3, 1, 900000, 1);
	ASSERT_EQ(rig.start_call(&call), (std::vector<int>{ 3, 2, 1 }));
	rig.end_call(call);
}

/* Results of an incomplete group would occupy memory while they wait for the
 * rest. */
TEST(PiecesQueue, GroupIsSentOnlyIfItsResultsFit)
{
	Pieces rig(1000);
	pieces_call *call;

	rig.add_pieces(1, 4, 500000, 0, 200);
	rig.add_pieces(2, 4, 600000, 0, 200);
	rig.add_pieces(3, 1, 700000, 0, 200);
	rig.report_memory(1000);
	ASSERT_EQ(rig.start_call(&call), (std::vector<int>{ 1, 1, 1, 1, 3 }));
	EXPECT_EQ(result_memory_tracked_bytes(call->upstream->result_memory),
		  1000);
	rig.end_call(call);
}

/* The owner of a result may terminate without freeing it. */
TEST(PiecesQueue, UnfreedResultsCountUntilTheirTtl)
{
	Pieces rig(1000);
	pieces_call *call;

	rig.add_result("one", "1/a", 900);
	rig.add_result("two", "2/a", 900);
	rig.add_pieces(1, 1, 500000, 0, 200);
	rig.report_memory(100);
	rig.clock.now_us += 3900000;
	ASSERT_TRUE(rig.start_call(&call).empty());
	rig.clock.now_us += 200000;
	ASSERT_EQ(rig.start_call(&call).size(), 1u);
	rig.end_call(call);
}

TEST(PiecesQueue, FreedResultsReleaseMemoryAtOnce)
{
	Pieces rig(1000);
	pieces_call *call;

	rig.add_result("one", "1/a", 900);
	rig.add_result("two", "2/a", 900);
	rig.clock.now_us += 1200000;
	rig.add_result("two", "2/b", 50);
	rig.add_pieces(1, 1, 500000, 0, 200);
	rig.report_memory(50);
	ASSERT_TRUE(rig.start_call(&call).empty());
	result_memory_release(pool_find(rig.c_pool, "two")->result_memory,
			      "2/a", 900);
	EXPECT_EQ(result_memory_used_bytes(
			  pool_find(rig.c_pool, "two")->result_memory),
		  50);
	ASSERT_EQ(rig.start_call(&call).size(), 1u);
	EXPECT_STREQ(call->upstream->info.id, "two");
	rig.end_call(call);
}

TEST(PiecesQueue, DropRequestRemovesItsPieces)
{
	Pieces rig;
	pieces_call *call;

	rig.add_pieces(1, 3, 500000);
	pieces_drop_request(rig.queue, &rig.requests[1]);
	ASSERT_TRUE(rig.start_call(&call).empty());
	EXPECT_EQ(pieces_next_check_us(rig.queue), 0);
}

/* This queue is the only one to call its upstreams, so each idle one gets a
 * call while pieces wait. */
TEST(PiecesQueue, UsesAllIdleUpstreams)
{
	Pieces rig;
	pieces_call *one;
	pieces_call *two;
	pieces_call *three;

	rig.add_pieces(1, 8, 900000);
	rig.add_pieces(2, 1, 900000);
	ASSERT_EQ(rig.start_call(&one).size(), 8u);
	ASSERT_EQ(rig.start_call(&two), (std::vector<int>{ 2 }));
	EXPECT_STRNE(one->upstream->info.id, two->upstream->info.id);
	rig.add_pieces(3, 1, 900000);
	ASSERT_TRUE(rig.start_call(&three).empty());
	rig.end_call(one);
	rig.end_call(two);
}

TEST(PiecesQueue, WaitForPreferredDomainIsBoundedByTransferCost)
{
	Pieces rig;
	pieces_call *call;

	rig.add_with_preferred_domain(900000);
	ASSERT_TRUE(rig.start_call(&call).empty());
	EXPECT_GT(pieces_next_check_us(rig.queue), 0);
	rig.clock.now_us += 49000;
	ASSERT_TRUE(rig.start_call(&call).empty());
	rig.clock.now_us += 2000;
	ASSERT_EQ(rig.start_call(&call).size(), 1u);
	rig.end_call(call);
}

/* A piece that was late when it was added loses nothing by waiting. */
TEST(PiecesQueue, LatePieceWaitsForPreferredDomainToo)
{
	Pieces rig;
	pieces_call *call;

	rig.add_with_preferred_domain(-500000);
	ASSERT_TRUE(rig.start_call(&call).empty());
	rig.clock.now_us += 51000;
	ASSERT_EQ(rig.start_call(&call).size(), 1u);
	rig.end_call(call);
}

TEST(PiecesQueue, WaitForPreferredDomainEndsBeforeDueTime)
{
	Pieces rig;
	pieces_call *call;

	rig.add_with_preferred_domain(10000);
	ASSERT_TRUE(rig.start_call(&call).empty());
	rig.clock.now_us += 10000;
	ASSERT_EQ(rig.start_call(&call).size(), 1u);
	rig.end_call(call);
}

/* One upstream is ten times slower than the other, which is busy for 160 ms. */
TEST(PiecesQueue, SlowUpstreamStaysIdleWhileOthersKeepUp)
{
	Pieces rig;
	pieces_call *one;
	pieces_call *two;

	pool_find(rig.c_pool, "two")->slowness = 10;
	rig.add_pieces(1, 1, 900000);
	ASSERT_EQ(rig.start_call(&one).size(), 1u);
	EXPECT_STREQ(one->upstream->info.id, "one");
	rig.add_pieces(2, 1, 900000);
	ASSERT_TRUE(rig.start_call(&two).empty());
	for (int i = 3; i < 20; i++)
		rig.add_pieces(i, 1, 900000);
	ASSERT_EQ(rig.start_call(&two).size(), 8u);
	EXPECT_STREQ(two->upstream->info.id, "two");
	rig.end_call(one);
	rig.end_call(two);
}

TEST(PiecesQueue, UsesOnlyUpstreamsOfItsShards)
{
	Pieces rig;
	uint64_t part = pool_find(rig.c_pool, "one")->hash % 64;
	pieces_call *call;

	ASSERT_NE(part, pool_find(rig.c_pool, "two")->hash % 64);
	pieces_set_shards(rig.queue, 64, UINT64_C(1) << part);
	rig.add_pieces(1, 1, 900000);
	ASSERT_EQ(rig.start_call(&call).size(), 1u);
	EXPECT_STREQ(call->upstream->info.id, "one");
	rig.add_pieces(2, 1, 900000);
	pieces_call *second;

	ASSERT_TRUE(rig.start_call(&second).empty());
	rig.end_call(call);
}

/* ---- waits for the end of an outage ---- */

/* The key-value service answers again 1.3 s after all entries have started.
 * With a wait of 100 ms every caller of that time spent its only retry before
 * the end. */
TEST(OutageWait, MostCallersOfAnOutageReturnAfterItsEnd)
{
	const int64_t outage_us = 1300000;
	uint32_t returned_in_time = 0;

	for (int64_t at_us = 0; at_us < outage_us; at_us += 1000)
		returned_in_time +=
			at_us + outage_wait_us(at_us, lp_hash_pair(1, at_us)) >=
			outage_us;
	EXPECT_GE(returned_in_time, 1300u / 2);
}

TEST(OutageWait, IsShortAtFirstAndBounded)
{
	EXPECT_EQ(outage_wait_us(0, 0), 100000);
	EXPECT_EQ(outage_wait_us(800000, 0), 800000);
	EXPECT_LT(outage_wait_us(800000, G_MAXUINT64), 1200000);
	EXPECT_EQ(outage_wait_us(G_MAXINT64, 0), 2500000);
}

/* ---- backoff ---- */

TEST(Backoff, DelayGrowsWithFailuresUpToABound)
{
	const backoff schedule = { 400000, 1800000 };

	EXPECT_EQ(backoff_wait_us(&schedule, 0, 0), 400000);
	EXPECT_EQ(backoff_wait_us(&schedule, 1, 0), 400000);
	EXPECT_EQ(backoff_wait_us(&schedule, 2, 0), 800000);
	EXPECT_EQ(backoff_wait_us(&schedule, 3, 0), 1600000);
	EXPECT_EQ(backoff_wait_us(&schedule, 4, 0), 1800000);
	EXPECT_EQ(backoff_wait_us(&schedule, G_MAXUINT32, 0), 1800000);
	EXPECT_EQ(backoff_wait_us(&schedule, 4, 1), 1260000);
}

/* Eighty entries are refused for eight seconds: bounds all calls, and the calls
 * in each tenth of a second once their retries have spread out. */
TEST(Backoff, FleetRetriesAreFewerAndSpreadOut)
{
	const backoff schedule = { 400000, 1800000 };
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
			at_us += backoff_wait_us(&schedule, failures, draw);
		}
	}
	EXPECT_LE(calls, 80u * 8); /* at 400 ms each: 1,600 */
	for (const auto &tenth : each_tenth)
		EXPECT_LE(tenth.second, 20u) << tenth.first;
}

/* ---- watch timeout ---- */

/* All waiting calls are lost at once. Returns the mean time, over many phases,
 * until the first reader starts a new call and can report to the others. */
int64_t mean_detection_us(int64_t wait_us, uint32_t readers)
{
	const int rounds = 2000;
	std::mt19937 random(1);
	std::uniform_int_distribution<int64_t> left(0, wait_us);
	int64_t sum_us = 0;

	for (int round = 0; round < rounds; round++) {
		int64_t first_us = wait_us;

		for (uint32_t i = 0; i < readers; i++)
			first_us = std::min(first_us, left(random));
		sum_us += first_us;
	}
	return sum_us / rounds;
}

/* Returns the time until a loss of all calls is detected by readers whose calls
 * started together. Guards against a fault seen with 68 entries: their calls
 * had started together when the fleet started and at each change, and were lost
 * together. */
int64_t detection_after_start_us(int64_t wait_us, uint32_t readers,
				 int64_t lost_at_us, int seed)
{
	std::mt19937 random(seed);
	std::uniform_real_distribution<double> drawn(0, 1);
	int64_t first_us = INT64_MAX;

	for (uint32_t i = 0; i < readers; i++) {
		watch_timeout_call call = { wait_us, 0, true, false };
		int64_t at_us = 0;

		/* Members are discovered during the first call. */
		while (at_us <= lost_at_us) {
			at_us += watch_timeout_next_us(&call, drawn(random));
			call.had_change = !call.is_fleet;
			call.previous_wait_us = call.wait_us;
			call.is_fleet = true;
		}
		first_us = std::min(first_us, at_us);
	}
	return first_us - lost_at_us;
}

TEST(WatchTimeout, CallsThatStartedTogetherSpreadOut)
{
	const int64_t wait_us = 2000000;
	int64_t sum_us = 0;
	int count = 0;

	for (int seed = 1; seed <= 20; seed++)
		for (int64_t lost_at_us = 8000000; lost_at_us < 30000000;
		     lost_at_us += 1700000) {
			int64_t detection_us = detection_after_start_us(
				wait_us, STORE_READER_COUNT, lost_at_us, seed);

			EXPECT_LE(detection_us, wait_us) << seed;
			sum_us += detection_us;
			count++;
		}
	EXPECT_LE(sum_us / count, wait_us / 4);
}

/* The readers of a large fleet detect a loss sooner than a single entry does,
 * and make no more calls than as many single entries. */
TEST(WatchTimeout, ReadersDetectLossNoLaterThanASingleEntry)
{
	const int64_t wait_us = 1500000;
	const int64_t single_detection_us = mean_detection_us(wait_us, 1);

	for (uint32_t readers : { 2u, 3u, 5u, 8u })
		EXPECT_LT(mean_detection_us(wait_us, readers),
			  single_detection_us)
			<< readers;
	EXPECT_LE(mean_detection_us(wait_us, STORE_READER_COUNT), wait_us / 6);
}

} // namespace
