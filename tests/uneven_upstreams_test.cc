/*
 * Upstreams of one service that are not equally fast: hosts shared with other
 * programs, and machines of different speed.
 */
#include "pool_rig.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

extern "C" {
#include "base/lp_id.h"
#include "policy/engine_balance.h"
}

namespace
{

/* ---- reported load of the host ---- */

/* A figure that changes every 100 ms and is 150 ms old on arrival. */
struct ChangingLoad {
	host_load load = {};
	int64_t now_us = LP_US_PER_S;
	uint32_t random = 1;
	std::vector<int32_t> figures;

	/* Next 100 ms; returns the factor after them. */
	double step(int32_t figure)
	{
		figures.push_back(figure);
		now_us += 100 * LP_US_PER_MS;
		if (figures.size() > 1)
			host_load_record(&load, figures[figures.size() - 2],
					 now_us + 50 * LP_US_PER_MS);
		return host_load_factor(&load, now_us + 50 * LP_US_PER_MS);
	}
	int32_t random_figure(int32_t min, int32_t max)
	{
		random = random * 1664525 + 1013904223;
		return min + (int32_t)((random >> 8) % (max - min + 1));
	}
};

/* Guards against a choice that follows each figure: 50 and 150 in turn mean
 * 100, and the figure at hand is that of the past. */
TEST(HostLoad, FigureThatChangesEvery100MsIsAveraged)
{
	ChangingLoad changing;

	for (int i = 0; i < 100; i++) {
		double factor = changing.step(i % 2 ? 150 : 50);

		EXPECT_GT(factor, 0.8);
		EXPECT_LT(factor, 1.2);
	}
}

TEST(HostLoad, RandomFiguresSwingTheEstimateByLessThanAThird)
{
	ChangingLoad changing;

	for (int i = 0; i < 200; i++) {
		double factor = changing.step(changing.random_figure(60, 180));

		if (i > 10) {
			EXPECT_NEAR(factor, 1.2, 0.35) << i;
		}
	}
}

/* Load that lasts for seconds, reported with each call of 400 ms. */
TEST(HostLoad, LastingLoadIsRecognisedAndForgotten)
{
	host_load load = {};
	int64_t now_us = LP_US_PER_S;

	for (int i = 0; i < 5; i++, now_us += 400 * LP_US_PER_MS)
		host_load_record(&load, 300, now_us);
	EXPECT_GT(host_load_factor(&load, now_us), 2.6);
	EXPECT_LE(host_load_factor(&load, now_us), 3);
	now_us += 2 * LP_US_PER_S;
	EXPECT_LT(host_load_factor(&load, now_us), 1.1);
	EXPECT_GE(host_load_factor(&load, now_us), 1);
}

TEST(HostLoad, ExtremeFiguresAreBounded)
{
	for (int32_t figure : { 0, 1, INT32_MAX }) {
		host_load load = {};

		for (int64_t ms = 1; ms < 5000; ms += 100)
			host_load_record(&load, figure, ms * LP_US_PER_MS);
		double factor = host_load_factor(&load, 5000 * LP_US_PER_MS);

		EXPECT_GE(factor, 0.25) << figure;
		EXPECT_LE(factor, 10) << figure;
	}
	host_load none = {};

	EXPECT_EQ(host_load_factor(&none, LP_US_PER_S), 1);
}

struct UnevenPool : Pool {
	UnevenPool()
	{
		for (const char *id : { "one", "two", "three", "four" })
			add(id, "a");
		clock.now_us += LP_US_PER_S;
	}
	pool_upstream *at(const char *id)
	{
		return pool_find(c_pool, id);
	}
	double factor(const char *id)
	{
		return pool_upstream_time_factor(c_pool, at(id));
	}
	void advance_ms(int64_t ms)
	{
		clock.now_us += ms * LP_US_PER_MS;
	}
	/* So many calls that take `times` the expected time of 100 ms. */
	void calls(const char *id, int count, double times,
		   int32_t load_percent = 0)
	{
		for (int i = 0; i < count; i++) {
			int64_t took_us = (int64_t)(times * 100000);

			clock.now_us += took_us;
			if (load_percent)
				pool_note_host_load(c_pool, at(id),
						    load_percent);
			pool_record_outcome(c_pool, at(id), POOL_SERVED,
					    took_us, 100000);
		}
	}
};

/* Guards against load that counts twice: calls that take twice as long because
 * of the reported load say nothing about the upstream itself. */
TEST(UnevenUpstreams, ReportedLoadIsNotLearntAsSlowness)
{
	UnevenPool pool;

	pool.calls("one", 20, 2, 200);
	EXPECT_NEAR(pool.factor("one"), 2, 0.1);
	EXPECT_NEAR(pool.at("one")->slowness, 1, 0.25);
	pool.advance_ms(3000);
	EXPECT_LT(pool.factor("one"), 1.25);
}

/* An upstream that always reports a false load is judged by its measured times.
 */
TEST(UnevenUpstreams, FalseReportsAreCorrectedByMeasuredTimes)
{
	for (int32_t load : { 25, 1000 }) {
		UnevenPool pool;

		pool.calls("one", 30, 1, load);
		EXPECT_NEAR(pool.factor("one"), 1, 0.1) << load;
	}
}

/* The same one after some calm seconds, in which the report fades. Guards
 * against work that all goes to it because it counts as fast for its load. */
TEST(UnevenUpstreams, FalseReportsLeaveNoFastUpstreamBehind)
{
	UnevenPool pool;

	for (const char *id : { "two", "three", "four" })
		pool.calls(id, 30, 1);
	pool.calls("one", 100, 1, 1000);
	EXPECT_NEAR(pool.factor("one"), 1, 0.1);
	pool.advance_ms(9000);
	pool.pick();
	EXPECT_GT(pool.factor("one"), 0.4);
}

/* Steady prompts with a shared prefix, engines on shared hosts: they stay at
 * their engine while its load changes every 100 ms, and leave it while the load
 * is high for a second. */
TEST(UnevenUpstreams, ChangingLoadDoesNotMovePromptsLastingLoadDoes)
{
	UnevenPool pool;
	const std::vector<pool_prefix_block> prompt = { { 7, 6300 },
							{ 8, 500 } };
	pool_upstream *engine = pool.pick(prompt);

	pool_note_cached_blocks(pool.c_pool, engine, prompt.data(), 1, 0);
	pool_set_cache_copying(pool.c_pool, "s", 163840, 137500);
	for (int i = 0; i < 100; i++) {
		pool.advance_ms(100);
		pool_note_host_load(pool.c_pool, engine, i % 2 ? 40 : 200);
		EXPECT_EQ(pool.pick(prompt), engine) << i;
	}
	engine->pending_prefill_tokens = 2000;
	EXPECT_EQ(pool.pick(prompt), engine);
	for (int i = 0; i < 20; i++) {
		pool.advance_ms(100);
		pool_note_host_load(pool.c_pool, engine, 1000);
	}
	EXPECT_NE(pool.pick(prompt), engine);
}

/* Stage calls under load: the expected time includes the reported load. */
TEST(UnevenUpstreams, ReportedLoadLengthensExpectedCallTimes)
{
	UnevenPool pool;
	int request;
	pieces_options options = {};
	piece work = {};

	for (int i = 0; i < 20; i++) {
		pool.advance_ms(100);
		for (const char *id : { "one", "two", "three", "four" })
			pool_note_host_load(pool.c_pool, pool.at(id), 200);
	}
	options.clock = &pool.clock.clock;
	options.pool = pool.c_pool;
	options.service = "s";
	options.batch_max = 8;
	options.call_us = 150000;
	options.piece_us = 10000;
	pieces *queue = pieces_create(&options);

	work.request = &request;
	work.due_us = pool.clock.now_us + LP_US_PER_S;
	work.expires_us = work.due_us + LP_US_PER_S;
	pieces_add(queue, &work);
	pieces_call *call = pieces_start_call(queue);

	ASSERT_NE(call, nullptr);
	EXPECT_GT(call->expected_us, 160000 * 3 / 2);
	int results = 0;

	complete_call(queue, call, &results);
	pieces_destroy(queue);
}

/* ---- learnt speed ---- */

/* Bursts with calm between them, on engines of which each third takes 1.3 times
 * as long. Guards against a burst that begins with all upstreams taken for
 * equal: the slower ones then get as much work as the others. */
TEST(UnevenUpstreams, LearntSpeedOutlastsCalm)
{
	UnevenPool pool;

	for (const char *id : { "one", "two", "three" })
		pool.calls(id, 40, 1);
	pool.calls("four", 40, 1.3);
	pool.advance_ms(30000);
	pool.pick();
	EXPECT_NEAR(pool.factor("four") / pool.factor("one"), 1.3, 0.1);
}

/* Only the error rate ends with time. */
TEST(UnevenUpstreams, ErrorRateFadesInCalm)
{
	UnevenPool pool;

	for (int i = 0; i < 5; i++)
		pool_record_outcome(pool.c_pool, pool.at("one"),
				    POOL_ERROR_ANSWER, 0, 0);
	EXPECT_GT(pool.at("one")->error_rate, 0.5);
	pool.advance_ms(20000);
	pool.pick();
	EXPECT_LT(pool.at("one")->error_rate, 0.01);
}

/* An upstream is 5 times slower for some seconds, and gets no work afterwards.
 * Guards against an upstream that stays unused after it has recovered. */
TEST(UnevenUpstreams, DisturbedUpstreamIsFoundWellAgain)
{
	UnevenPool pool;

	for (const char *id : { "one", "two", "three", "four" })
		pool.calls(id, 40, 1);
	pool.calls("one", 10, 5);
	EXPECT_GT(pool.factor("one"), 4);
	/* Others keep working: their outcomes let the estimate fade, as a
	 * stage's upstreams are not selected by pool_pick(). */
	for (int i = 0; i < 100; i++)
		for (const char *id : { "two", "three", "four" })
			pool.calls(id, 1, 1);
	EXPECT_LT(pool.factor("one"), 1.5);
	pool.calls("one", 30, 1);
	EXPECT_NEAR(pool.factor("one"), 1, 0.15);
}

/* An upstream that is always much slower does not lose all prospect of work. */
TEST(UnevenUpstreams, UsualSlownessIsBoundedAndFadesSlowly)
{
	UnevenPool pool;

	for (const char *id : { "two", "three", "four" })
		pool.calls(id, 40, 1);
	pool.calls("one", 200, 15);
	pool.advance_ms(30000);
	pool.pick();
	EXPECT_LT(pool.factor("one"), 3.5);
	EXPECT_GT(pool.factor("one"), 1.8);
	pool.advance_ms(600000);
	pool.pick();
	EXPECT_LT(pool.factor("one"), 2);
}

/* A burst during which upstreams restart, at a service that takes 1.6 times as
 * long as configured. Guards against new incarnations that count as the fastest
 * and get all the work. */
TEST(UnevenUpstreams, NewUpstreamBeginsAtTheMeanOfItsService)
{
	UnevenPool pool;

	for (const char *id : { "one", "two", "three", "four" })
		pool.calls(id, 60, 1.6);
	pool.add("new", "a");
	EXPECT_NEAR(pool.factor("new"), 1.6, 0.15);
	pool.infos[0].born_ms = 5000;
	pool_update(pool.c_pool, pool.infos.data(), pool.infos.size());
	EXPECT_NEAR(pool.factor("one"), 1.6, 0.15);
	pool.add("other", "a", "t");
	EXPECT_EQ(pool.factor("other"), 1);
}

/* ---- prefill rate ---- */

/* Engines that read 41.4 or 32.4 tokens per ms, where 60 are assumed. Guards
 * against prompts that are admitted and placed as if they were read in half of
 * the time that they take. */
TEST(PrefillRate, IsLearntFromLongPrompts)
{
	for (double tokens_per_ms : { 41.4, 32.4, 120.0 }) {
		UnevenPool pool;

		EXPECT_EQ(pool_prefill_us(pool.c_pool, "s", 6000), 100000);
		for (int64_t tokens = 4000; tokens < 12000; tokens += 500)
			pool_record_prefill(
				pool.c_pool, pool.at("one"), tokens,
				15000 + (int64_t)((double)tokens * 1000 /
						  tokens_per_ms));
		EXPECT_NEAR((double)pool_prefill_us(pool.c_pool, "s", 6000),
			    6000 * 1000 / tokens_per_ms,
			    600 * 1000 / tokens_per_ms);
		/* Other services are not affected. */
		EXPECT_EQ(pool_prefill_us(pool.c_pool, "t", 6000), 100000);
	}
}

/* Short prompts say nothing about the rate, and times that no engine can have
 * are bounded: a stalled engine must not make all prompts count as late. */
TEST(PrefillRate, IsBounded)
{
	UnevenPool pool;

	for (int i = 0; i < 100; i++)
		pool_record_prefill(pool.c_pool, pool.at("one"), 500, 200000);
	EXPECT_EQ(pool_prefill_us(pool.c_pool, "s", 6000), 100000);
	for (int i = 0; i < 100; i++)
		pool_record_prefill(pool.c_pool, pool.at("one"), 6000,
				    60 * LP_US_PER_S);
	EXPECT_EQ(pool_prefill_us(pool.c_pool, "s", 6000), 600000);
	for (int i = 0; i < 100; i++)
		pool_record_prefill(pool.c_pool, pool.at("one"), 6000, 15001);
	EXPECT_EQ(pool_prefill_us(pool.c_pool, "s", 6000), 30000);
}

/* One engine is 10 times slower for a while: its prompts are one in eight. */
TEST(PrefillRate, DisturbedEngineChangesItLittle)
{
	UnevenPool pool;

	for (int i = 0; i < 160; i++)
		pool_record_prefill(pool.c_pool, pool.at("one"), 6000,
				    15000 + (i % 8 ? 150000 : 1500000));
	EXPECT_NEAR((double)pool_prefill_us(pool.c_pool, "s", 6000), 150000,
		    20000);
}

/* The reported load of the host is not taken for the engines' rate. */
TEST(PrefillRate, LeavesOutReportedLoad)
{
	UnevenPool pool;

	for (int i = 0; i < 40; i++) {
		pool.advance_ms(100);
		pool_note_host_load(pool.c_pool, pool.at("one"), 200);
		pool_record_prefill(pool.c_pool, pool.at("one"), 6000, 330000);
	}
	EXPECT_NEAR((double)pool_prefill_us(pool.c_pool, "s", 6000), 150000,
		    15000);
}

/* ---- balance of engines ---- */

TEST(EngineBalance, ShareIsByCapacityAndIgnoresFewRequests)
{
	const double fast = engine_capacity(96, 1);
	const double slow = engine_capacity(96, 1.3);
	engine_balance balance = {};

	for (int i = 0; i < 10; i++)
		engine_balance_add(&balance, i % 2 ? slow : fast, 20);
	/* Fair shares of 201 requests: 22.7 and 17.5. */
	EXPECT_FALSE(engine_balance_is_exceeded(&balance, fast, 28));
	EXPECT_TRUE(engine_balance_is_exceeded(&balance, fast, 29));
	EXPECT_FALSE(engine_balance_is_exceeded(&balance, slow, 21));
	EXPECT_TRUE(engine_balance_is_exceeded(&balance, slow, 22));
	engine_balance calm = {};

	for (int i = 0; i < 10; i++)
		engine_balance_add(&calm, fast, 1);
	EXPECT_FALSE(engine_balance_is_exceeded(&calm, fast, 7));
	EXPECT_TRUE(engine_balance_is_exceeded(&calm, fast, 8));
}

/* A service of `count` engines with prompts that share prefixes of 6,300
 * tokens, placed by one placer. On every third engine work takes 1.3 times as
 * long. */
struct Engines : Pool {
	struct Running {
		pool_upstream *engine;
		int64_t read_us;
		int64_t end_us;
		int64_t tokens;
		bool is_read;
	};
	std::vector<pool_upstream *> list;
	std::vector<Running> running;
	uint32_t random = 7;
	std::set<uint64_t> prefixes;
	int64_t shared_read = 0;
	int64_t copied = 0;
	std::vector<double> load; /* per engine, by capacity; summed over time
				   */

	explicit Engines(int count, bool copies)
	{
		clock.now_us = LP_US_PER_S;
		for (int i = 0; i < count; i++)
			add(("e" + std::to_string(i)).c_str(), "a");
		for (auto &info : infos)
			info.slots = 96;
		pool_update(c_pool, infos.data(), infos.size());
		for (int i = 0; i < count; i++) {
			list.push_back(pool_find(
				c_pool, ("e" + std::to_string(i)).c_str()));
			list[i]->slowness = slowness(i);
			list[i]->usual_slowness = slowness(i);
		}
		load.resize(count);
		if (copies)
			pool_set_cache_copying(c_pool, "s", 163840, 137500);
	}
	static double slowness(int i)
	{
		return i % 3 ? 1 : 1.3;
	}
	uint32_t next(uint32_t bound)
	{
		random = random * 1664525 + 1013904223;
		return (random >> 8) % bound;
	}
	/* Some prefixes are frequent, others rare. */
	uint64_t next_prefix()
	{
		return 1 + next(1 + next(200));
	}
	void start()
	{
		uint64_t prefix = next_prefix();
		std::vector<pool_prefix_block> prompt = {
			{ prefix, 6300 },
			{ 1000 + (uint64_t)next(1u << 20), 500 }
		};
		pool_pick_args args = {};

		args.service = "s";
		args.blocks = prompt.data();
		args.blocks_count = prompt.size();
		args.target_us = LP_US_PER_S;
		pool_upstream *engine = pool_pick(c_pool, &args);
		pool_cache_copy copy =
			pool_find_cache_copy(c_pool, engine, &args);
		int64_t uncached =
			pool_uncached_tokens(engine, prompt.data(), 1);

		prefixes.insert(prefix);
		copied += copy.copied_tokens;
		shared_read += uncached - copy.copied_tokens;
		engine->in_flight++;
		engine->pending_prefill_tokens += copy.prefill_tokens;
		pool_note_cached_blocks(c_pool, engine, prompt.data(), 2,
					400000);
		running.push_back(
			{ engine,
			  clock.now_us +
				  engine->pending_prefill_tokens * 1000 / 41,
			  clock.now_us + (int64_t)(engine->slowness *
						   (2000000 + next(2000000))),
			  copy.prefill_tokens, false });
	}
	void advance(int64_t us)
	{
		clock.now_us += us;
		for (size_t i = 0; i < running.size();) {
			Running &one = running[i];

			if (!one.is_read && one.read_us <= clock.now_us) {
				one.is_read = true;
				one.engine->pending_prefill_tokens -=
					one.tokens;
			}
			if (one.is_read && one.end_us <= clock.now_us) {
				one.engine->in_flight--;
				running[i] = running.back();
				running.pop_back();
			} else {
				i++;
			}
		}
	}
	/* So many requests a second for some seconds. Returns the load of the
	 * busiest engine by capacity, as a multiple of the mean. */
	double run(int per_s, int seconds)
	{
		double sum = 0;
		double most = 0;

		for (int i = 0; i < per_s * seconds; i++) {
			start();
			advance(LP_US_PER_S / per_s);
			for (size_t j = 0; j < list.size(); j++)
				load[j] += list[j]->in_flight * slowness(j);
		}
		for (double one : load) {
			sum += one;
			most = std::max(most, one);
		}
		return most * (double)load.size() / sum;
	}
};

/* Steady load of prompts with some frequent prefixes, at 44 engines of unequal
 * speed. Guards against engines that have 1.7 to 1.9 times the mean number of
 * requests because frequent prefixes stay at them. Without the bound the
 * busiest has 3.2 times the mean here. */
TEST(EngineBalance, BusiestEngineIsWithinBoundOfTheMean)
{
	Engines engines(44, true);

	EXPECT_LT(engines.run(140, 30), 1.3);
	EXPECT_LE(engines.shared_read,
		  (int64_t)engines.prefixes.size() * 6300 * 102 / 100);
}

/* A large service with two placers, of which one has twice as many engines.
 * Guards against engines that get twice as many prompts as those of the other
 * placer. */
TEST(EngineBalance, ShardsGetPromptsInProportionToTheirEngines)
{
	Pool pool;
	uint32_t engines[2] = {};
	uint32_t prompts[2] = {};

	for (int i = 0; engines[0] < 20 || engines[1] < 10; i++) {
		const std::string id = "e" + std::to_string(i);
		uint32_t shard = lp_hash_str(id.c_str()) % 2;

		if (engines[shard] < (shard ? 10 : 20)) {
			pool.add(id.c_str(), "a");
			engines[shard]++;
		}
	}
	for (uint64_t i = 0; i < 20000; i++) {
		const pool_prefix_block blocks[] = { { i * 7919, 6300 },
						     { 1, 500 } };
		pool_pick_args args = {};

		args.service = "s";
		args.blocks = blocks;
		args.blocks_count = 1 + i % 2;
		args.shard = pool_prompt_shard(pool.c_pool, &args, 2);
		args.shard_count = 2;
		prompts[args.shard]++;
		/* The shard has the engine that all entries prefer. */
		if (args.blocks_count > 1 && i < 1000) {
			const pool_upstream *in_shard =
				pool_affinity_upstream(pool.c_pool, &args);

			args.shard_count = 0;
			EXPECT_EQ(pool_affinity_upstream(pool.c_pool, &args),
				  in_shard);
		}
	}
	EXPECT_NEAR(prompts[0] / 20000.0, 2.0 / 3, 0.02);
}

/* The same where engines copy no prefixes: the balance must not be bought by
 * reading them again. */
TEST(EngineBalance, PrefixesAreNotReadAgainWithoutCopies)
{
	Engines engines(44, false);

	engines.run(140, 30);
	EXPECT_LE(engines.shared_read,
		  (int64_t)engines.prefixes.size() * 6300 * 102 / 100);
}

/* A service with few requests, as on deployments without bursts: prompts stay
 * with their prefix and nothing is copied. */
TEST(EngineBalance, FewRequestsAreNotMoved)
{
	Engines engines(44, true);

	engines.run(10, 60);
	EXPECT_EQ(engines.copied, 0);
}

/* One engine of four has 40 requests, the others have 8 each. */
struct OneBusyEngine : Pool {
	std::vector<pool_prefix_block> prompt = { { 7, 6300 }, { 8, 500 } };
	pool_upstream *busy;

	explicit OneBusyEngine(const char *other_domain)
	{
		clock.now_us = LP_US_PER_S;
		add("one", "a");
		busy = pool_find(c_pool, "one");
		for (const char *id : { "two", "three", "four" }) {
			add(id, other_domain);
			pool_find(c_pool, id)->in_flight = 8;
		}
		busy->in_flight = 40;
		/* Prompts whose first choice is the busy engine. */
		while (affinity() != busy)
			prompt[0].id++;
	}
	const pool_upstream *affinity()
	{
		pool_pick_args args = {};

		args.service = "s";
		args.blocks = prompt.data();
		args.blocks_count = 2;
		return pool_affinity_upstream(c_pool, &args);
	}
	void cache_at_busy()
	{
		pool_note_cached_blocks(c_pool, busy, prompt.data(), 1, 0);
		clock.now_us += LP_US_PER_S;
	}
};

TEST(EngineBalance, BusyEngineTakesNoNewPrefix)
{
	OneBusyEngine pool("a");

	EXPECT_NE(pool.pick(pool.prompt), pool.busy);
	/* All others are excluded, too. */
	EXPECT_EQ(pool.pick(pool.prompt, { "two", "three", "four" }),
		  pool.busy);
	pool.busy->in_flight = 8;
	EXPECT_EQ(pool.pick(pool.prompt), pool.busy);
}

TEST(EngineBalance, BusyEngineKeepsPrefixThatOthersWouldReadAgain)
{
	OneBusyEngine pool("a");

	pool.cache_at_busy();
	EXPECT_EQ(pool.pick(pool.prompt), pool.busy);
	pool_set_cache_copying(pool.c_pool, "s", 163840, 137500);
	EXPECT_NE(pool.pick(pool.prompt), pool.busy);
}

/* Transfers between domains cost more than an uneven load. */
TEST(EngineBalance, RequestsAreNotMovedToAnotherDomain)
{
	OneBusyEngine pool("b");

	EXPECT_EQ(pool.pick(pool.prompt), pool.busy);
}

} // namespace
