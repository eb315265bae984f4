/* policy/drain.h: when a process that leaves may stop listening. */
#include "cwrap.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

constexpr int64_t wait_ms = 300;
constexpr int64_t interval_ms = 10000;
constexpr int64_t most_ms = 20300;

/* A process that begins to leave long after its start, unless a test says
 * otherwise. */
struct Leaving {
	TestClock time;
	drain *it;

	Leaving()
	{
		const drain_options options = {
			&time.clock,
			wait_ms * LP_US_PER_MS,
			wait_ms * LP_US_PER_MS,
			interval_ms * LP_US_PER_MS,
			interval_ms * LP_US_PER_MS,
			most_ms * LP_US_PER_MS,
		};

		it = drain_create(&options);
	}
	~Leaving()
	{
		drain_destroy(it);
	}
	Leaving(const Leaving &) = delete;
	Leaving &operator=(const Leaving &) = delete;
	void pass(int64_t ms)
	{
		time.now_us += ms * LP_US_PER_MS;
	}
	void probe(const char *who = "balancer")
	{
		drain_record_probe(it, who);
	}
	void begin()
	{
		drain_begin(it);
	}
	drain_state look() const
	{
		return drain_get_state(it);
	}
};

} // namespace

TEST(Drain, ABalancerThatHasReadAnAnswerLetsTheListenerClose)
{
	Leaving entry;

	entry.pass(60000);
	entry.probe();
	EXPECT_EQ(entry.look(), DRAIN_NOT_DRAINING);
	entry.begin();
	entry.pass(50);
	entry.probe();
	entry.pass(50);
	entry.probe();
	EXPECT_EQ(entry.look(), DRAIN_WAITING);
	entry.pass(wait_ms - 50);
	EXPECT_EQ(entry.look(), DRAIN_INFORMED);
}

/* scenario.rolling: the balancer stood still for 450 ms from the moment at
 * which the entry began to leave. */
TEST(Drain, TimeCountsFromTheFirstAnswerThatTells)
{
	Leaving entry;

	entry.pass(60000);
	entry.probe();
	entry.begin();
	entry.pass(450);
	EXPECT_EQ(entry.look(), DRAIN_WAITING);
	entry.probe();
	entry.pass(50);
	entry.probe();
	EXPECT_EQ(entry.look(), DRAIN_WAITING);
	entry.pass(wait_ms - 51);
	EXPECT_EQ(entry.look(), DRAIN_WAITING);
	entry.pass(1);
	EXPECT_EQ(entry.look(), DRAIN_INFORMED);
}

/* An answer that was given may not have been read. */
TEST(Drain, AnAnswerCountsOnceItsProberProbesAgain)
{
	Leaving entry;

	entry.pass(60000);
	entry.probe();
	entry.begin();
	entry.probe();
	entry.pass(5000);
	EXPECT_EQ(entry.look(), DRAIN_WAITING);
	entry.probe();
	EXPECT_EQ(entry.look(), DRAIN_INFORMED);
}

TEST(Drain, EveryBalancerIsWaitedFor)
{
	Leaving entry;

	entry.pass(60000);
	entry.probe("a");
	entry.probe("b");
	entry.begin();
	entry.probe("a");
	entry.probe("a");
	entry.pass(1000);
	EXPECT_EQ(entry.look(), DRAIN_WAITING);
	entry.probe("b");
	entry.probe("b");
	entry.pass(wait_ms);
	EXPECT_EQ(entry.look(), DRAIN_INFORMED);
}

TEST(Drain, AProberThatWentAwayHasNoSay)
{
	Leaving entry;

	entry.probe("deployment");
	entry.pass(interval_ms + 1);
	entry.begin();
	entry.pass(wait_ms);
	EXPECT_EQ(entry.look(), DRAIN_UNPROBED);
}

TEST(Drain, AnEntryThatNobodyHasProbedYetWaitsForItsBalancer)
{
	Leaving entry;

	entry.pass(1000);
	entry.begin();
	entry.pass(interval_ms - 1001);
	EXPECT_EQ(entry.look(), DRAIN_WAITING);
	entry.probe();
	entry.pass(1);
	EXPECT_EQ(entry.look(), DRAIN_WAITING);
	entry.probe();
	entry.pass(wait_ms);
	EXPECT_EQ(entry.look(), DRAIN_INFORMED);
}

TEST(Drain, AnEntryThatIsNeverProbedWaitsNoLongerThanABalancerWould)
{
	Leaving entry;

	entry.begin();
	entry.pass(interval_ms);
	EXPECT_EQ(entry.look(), DRAIN_UNPROBED);
}

TEST(Drain, ABalancerThatNeverProbesAgainHoldsTheListenerForABoundedTime)
{
	Leaving entry;

	entry.pass(60000);
	entry.probe();
	entry.begin();
	entry.pass(most_ms - 1);
	EXPECT_EQ(entry.look(), DRAIN_WAITING);
	entry.pass(1);
	EXPECT_EQ(entry.look(), DRAIN_TIMEOUT);
}

TEST(Drain, OfVeryManyProbersTheMostSilentIsForgotten)
{
	Leaving entry;

	entry.pass(60000);
	for (int i = 0; i < 400; i++) {
		entry.pass(1);
		entry.probe(std::to_string(i).c_str());
	}
	entry.begin();
	for (int i = 144; i < 400; i++) {
		entry.probe(std::to_string(i).c_str());
		entry.probe(std::to_string(i).c_str());
	}
	entry.pass(wait_ms);
	EXPECT_EQ(entry.look(), DRAIN_INFORMED);
}

TEST(Drain, TellsWhatADecisionWentBy)
{
	Leaving entry;
	drain_view view;

	entry.pass(60000);
	entry.begin();
	drain_get_view(entry.it, &view);
	EXPECT_EQ(view.probers, 0u);
	EXPECT_EQ(view.last_probe_age_us, -1);
	EXPECT_EQ(view.first_notified_us, -1);
	entry.pass(20);
	entry.probe();
	entry.pass(30);
	drain_get_view(entry.it, &view);
	EXPECT_EQ(view.draining_for_us, 50 * LP_US_PER_MS);
	EXPECT_EQ(view.probers, 1u);
	EXPECT_EQ(view.notified, 1u);
	EXPECT_EQ(view.informed, 0u);
	EXPECT_EQ(view.last_probe_age_us, 30 * LP_US_PER_MS);
	EXPECT_EQ(view.first_notified_us, 20 * LP_US_PER_MS);
}

/* Any order of probes: a listener that may close has told every prober that
 * was probing, or its time is up. */
TEST(Drain, NoOrderOfProbesClosesBeforeAllAreInformed)
{
	static const char *const names[] = { "a", "b", "c" };

	for (uint32_t seed = 1; seed <= 500; seed++) {
		g_autoptr(GRand) random = g_rand_new_with_seed(seed);
		Leaving entry;
		int answers[3] = { 0, 0, 0 };
		bool probing[3] = { false, false, false };
		int64_t waited_ms = 0;

		for (int i = 0; i < 3; i++)
			if ((probing[i] = g_rand_boolean(random)))
				entry.probe(names[i]);
		entry.begin();
		while (entry.look() == DRAIN_WAITING) {
			int64_t step_ms = g_rand_int_range(random, 1, 4000);
			int who = g_rand_int_range(random, 0, 3);

			entry.pass(step_ms);
			waited_ms += step_ms;
			if (!probing[who])
				continue;
			entry.probe(names[who]);
			answers[who]++;
		}
		EXPECT_GE(waited_ms, wait_ms) << seed;
		for (int i = 0; i < 3; i++)
			EXPECT_TRUE(!probing[i] || answers[i] >= 2 ||
				    waited_ms >= most_ms)
				<< seed;
	}
}
