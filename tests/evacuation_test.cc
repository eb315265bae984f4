/*
 * Failure domains that operators close to new work, on the whole path.
 */
#include "direct_rig.h"

namespace
{

const char whole[] = "200";

std::string ask(Rig &rig, const char *target = "/look/x")
{
	static int number = 0;

	return std::to_string(
		Ask(rig.address, std::to_string(++number).c_str(), target)
			.wait()
			.status);
}

uint32_t arrivals(const std::vector<pe_upstream *> &upstreams)
{
	uint32_t sum = 0;

	for (auto upstream : upstreams)
		sum += pe_arrivals(upstream);
	return sum;
}

/* Two domains with upstreams of each kind; "a" is the entries' own. */
struct Domains {
	Rig rig;
	std::vector<pe_upstream *> a;
	std::vector<pe_upstream *> b;

	Domains()
	{
		for (auto domain : { &a, &b }) {
			const char *name = domain == &a ? "a" : "b";

			domain->push_back(
				pe_add(rig.platform, PE_PLAIN, "plain", name));
			domain->push_back(
				pe_add(rig.platform, PE_STAGE, "first", name));
			domain->push_back(
				pe_add(rig.platform, PE_STAGE, "second", name));
			domain->push_back(pe_add(rig.platform, PE_ENGINE,
						 "engine", name));
		}
		rig.settle();
	}
};

void wait_ms(int64_t ms)
{
	turn_until([] { return false; }, ms);
}

/* One request of each kind: a call, a stream, a stream with stages. */
void ask_each(Rig &rig, int count)
{
	for (int i = 0; i < count; i++) {
		EXPECT_EQ(ask(rig), whole);
		EXPECT_EQ(ask(rig, "/once/x"), whole);
		EXPECT_EQ(ask_staged(rig, "s" + std::to_string(i)),
			  whole_stream);
	}
}

TEST(Evacuation, AClosedDomainGetsNothingNewUntilItIsTakenBack)
{
	Domains two;
	uint32_t before;

	ask_each(two.rig, 2);
	pe_evacuate(two.rig.platform, "a");
	wait_ms(300);
	before = arrivals(two.a);
	ask_each(two.rig, 5);
	EXPECT_EQ(arrivals(two.a), before);
	pe_take_back(two.rig.platform, "a");
	wait_ms(300);
	ask_each(two.rig, 5);
	EXPECT_GT(arrivals(two.a), before);
}

/* Two in a row: the one that is closed now, not the one before. */
TEST(Evacuation, TheNextOneTakesItsPlace)
{
	Domains two;
	uint32_t before;

	pe_evacuate(two.rig.platform, "a");
	wait_ms(300);
	pe_take_back(two.rig.platform, "a");
	pe_evacuate(two.rig.platform, "b");
	wait_ms(300);
	before = arrivals(two.b);
	ask_each(two.rig, 3);
	EXPECT_EQ(arrivals(two.b), before);
}

/* An answer of the service may bring changes in any order. A domain that was
 * opened when another one was closed stayed closed for good where the answer
 * had the closing first, and all requests were refused. */
TEST(Evacuation, TheOrderOfChangesInAnAnswerDoesNotMatter)
{
	Domains two;
	uint32_t before;

	pe_evacuate(two.rig.platform, "b");
	wait_ms(300);
	pe_store_fault(two.rig.platform, PE_STORE_DEAF_WATCHES);
	pe_take_back(two.rig.platform, "b");
	pe_evacuate(two.rig.platform, "a");
	pe_store_fault(two.rig.platform, PE_STORE_FINE);
	wait_ms(1500);
	before = arrivals(two.a);
	ask_each(two.rig, 2);
	EXPECT_EQ(arrivals(two.a), before);
	EXPECT_GT(arrivals(two.b), 0u);
}

/* What runs there when it is ordered goes on. */
TEST(Evacuation, WhatRunsThereIsAnswered)
{
	Rig rig;
	pe_upstream *only = rig.add(PE_PLAIN, "plain");

	pe_set_work_ms(only, 200);
	rig.settle();
	Ask under_way(rig.address, "u", "/look/x");
	ASSERT_TRUE(turn_until([&] { return pe_arrivals(only) == 1; }));
	pe_evacuate(rig.platform, "a");
	EXPECT_EQ(under_way.wait().status, 200u);
}

/* Nothing is left: refused at once, and truthfully. */
TEST(Evacuation, WithoutAnOpenDomainItIsRefusedAtOnce)
{
	Rig rig;
	pe_upstream *only = rig.add(PE_PLAIN, "plain");

	rig.add(PE_STAGE, "first");
	rig.add(PE_STAGE, "second");
	pe_add(rig.platform, PE_ENGINE, "engine", "b");
	rig.settle();
	pe_evacuate(rig.platform, "a");
	wait_ms(300);
	Ask plain(rig.address, "p", "/order/x");
	Ask staged(rig.address, "s", "/staged/x",
		   Fields{ { "X-Pieces", "3,2" }, { "X-Piece-Key", "k" } });

	for (Ask *refused : { &plain, &staged }) {
		EXPECT_EQ(refused->wait().status, 503u);
		EXPECT_NE(refused->retry_after, "");
		EXPECT_LT(refused->took_us, 200 * LP_US_PER_MS);
	}
	EXPECT_EQ(pe_arrivals(only), 0u);
}

/* An entry that the service does not serve hears of it from another one. */
TEST(Evacuation, AnEntryCutFromTheServiceHearsOfItFromAPeer)
{
	Domains two;
	Rig cut;
	uint32_t before;
	pe_upstream *there = pe_add(cut.platform, PE_PLAIN, "plain", "a");

	pe_add(cut.platform, PE_PLAIN, "plain", "b");
	cut.settle();
	two.rig.join("127.0.0.1", 500, { "127.0.0.2" });
	cut.join("127.0.0.2", 500, { "127.0.0.1" });
	pe_store_fault(cut.platform, PE_STORE_BUSY);
	ASSERT_TRUE(turn_until([&] {
		return !plf_feed_kv_is_available(cut.feed) &&
		       direct_peers_count(cut.peers) == 2;
	}));
	pe_evacuate(two.rig.platform, "a");
	wait_ms(300);
	before = pe_arrivals(there);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(ask(cut), whole);
	EXPECT_EQ(pe_arrivals(there), before);
}

/* Ordered before it started. */
TEST(Evacuation, AnEntryThatStartsKnowsItBeforeItSendsAnything)
{
	Domains two;
	uint32_t before = arrivals(two.a);

	pe_evacuate(two.rig.platform, "a");
	Rig late(&two.rig);

	late.settle();
	ask_each(late, 5);
	EXPECT_EQ(arrivals(two.a), before);
}

/* Ordered while the watch hears nothing: known by the read after it. */
TEST(Evacuation, OneThatIsTakenBackDuringAnOutageIsOver)
{
	Domains two;
	uint32_t before;

	pe_evacuate(two.rig.platform, "a");
	wait_ms(300);
	pe_store_fault(two.rig.platform, PE_STORE_BUSY);
	ASSERT_TRUE(turn_until(
		[&] { return !plf_feed_kv_is_available(two.rig.feed); }));
	before = arrivals(two.a);
	ask_each(two.rig, 2);
	EXPECT_EQ(arrivals(two.a), before);
	pe_take_back(two.rig.platform, "a");
	pe_store_fault(two.rig.platform, PE_STORE_FINE);
	ASSERT_TRUE(turn_until(
		[&] { return plf_feed_kv_is_available(two.rig.feed); }));
	EXPECT_TRUE(turn_until([&] {
		ask(two.rig);
		return arrivals(two.a) > before;
	}));
}

/* ---- cold upstreams ---- */

/* The sample with a bound for engines that have just started. */
void set_cold_config(Rig &rig, int64_t version)
{
	char *text = pe_sample_config(version);
	std::string json = text;
	const std::string engine = "{\"name\":\"engine\",";

	g_free(text);
	json.replace(json.find(engine), engine.size(),
		     engine + "\"cold_s\":2,\"cold_per_s\":4,");
	pe_set_config(rig.platform, json.c_str());
}

/* All engines are cold at once and get all traffic: no more than their bound
 * goes to each, and what cannot go is refused at once. */
TEST(ColdUpstreams, GetNoMoreThanTheirBound)
{
	Rig rig;
	pe_upstream *cold[] = { rig.add(PE_ENGINE, "engine"),
				rig.add(PE_ENGINE, "engine") };
	std::vector<std::unique_ptr<Ask>> asks;
	int refused = 0;

	set_cold_config(rig, 2);
	rig.settle(2);
	for (pe_upstream *engine : cold)
		pe_set_cold(engine, 5000);
	wait_ms(600);
	for (int i = 0; i < 100; i++) {
		asks.push_back(std::make_unique<Ask>(
			rig.address, std::to_string(i).c_str(), "/once/x",
			Fields{ { "X-Token-Counts", "10,6" },
				{ "X-Prompt-Prefix", "a:5,b:5" } }));
		wait_ms(10);
	}
	for (auto &ask : asks)
		refused += ask->wait().status == 503;
	for (pe_upstream *engine : cold) {
		EXPECT_LE(pe_arrivals(engine), 5u);
		EXPECT_GE(pe_arrivals(engine), 2u);
	}
	EXPECT_GT(refused, 80);
}

/* ... and the open and warm ones get the rest. */
TEST(ColdUpstreams, LeaveTheRestToThoseThatAreWarm)
{
	Rig rig;
	pe_upstream *cold = rig.add(PE_ENGINE, "engine");

	rig.add(PE_ENGINE, "engine");
	set_cold_config(rig, 2);
	rig.settle(2);
	pe_set_cold(cold, 5000);
	wait_ms(600);
	for (int i = 0; i < 40; i++)
		EXPECT_EQ(ask(rig, "/once/x"), whole);
}

} // namespace
