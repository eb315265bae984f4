/* Unit tests of policy/drain.h: when a draining process may close its listener.
 */
#include "cwrap.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

constexpr int64_t wait_ms = 300;
constexpr int64_t interval_ms = 10000;
constexpr int64_t max_ms = 20300;

/* A process that starts to drain at begin(), on a simulated clock. */
struct Process {
	TestClock time;
	drain *c_drain;

	Process()
	{
		const drain_options options = {
			&time.clock,
			wait_ms * LP_US_PER_MS,
			wait_ms * LP_US_PER_MS,
			interval_ms * LP_US_PER_MS,
			interval_ms * LP_US_PER_MS,
			max_ms * LP_US_PER_MS,
		};

		c_drain = drain_create(&options);
	}
	~Process()
	{
		drain_destroy(c_drain);
	}
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;
	void advance(int64_t ms)
	{
		time.now_us += ms * LP_US_PER_MS;
	}
	void probe(const char *prober = "balancer")
	{
		drain_record_probe(c_drain, prober);
	}
	void begin()
	{
		drain_begin(c_drain);
	}
	drain_state state() const
	{
		return drain_get_state(c_drain);
	}
};

} // namespace

TEST(Drain, ListenerClosesAfterTheBalancerReadAnAnswer)
{
	Process entry;

	entry.advance(60000);
	entry.probe();
	EXPECT_EQ(entry.state(), DRAIN_NOT_DRAINING);
	entry.begin();
	entry.advance(50);
	entry.probe();
	entry.advance(50);
	entry.probe();
	EXPECT_EQ(entry.state(), DRAIN_WAITING);
	entry.advance(wait_ms - 50);
	EXPECT_EQ(entry.state(), DRAIN_INFORMED);
}

/* Guards against a failure of scenario.rolling: the balancer was suspended for
 * 450 ms from the moment at which the entry started to drain. */
TEST(Drain, SettleTimeCountsFromTheFirstNotReadyAnswer)
{
	Process entry;

	entry.advance(60000);
	entry.probe();
	entry.begin();
	entry.advance(450);
	EXPECT_EQ(entry.state(), DRAIN_WAITING);
	entry.probe();
	entry.advance(50);
	entry.probe();
	EXPECT_EQ(entry.state(), DRAIN_WAITING);
	entry.advance(wait_ms - 51);
	EXPECT_EQ(entry.state(), DRAIN_WAITING);
	entry.advance(1);
	EXPECT_EQ(entry.state(), DRAIN_INFORMED);
}

/* The prober may not have read the answer to its last probe. */
TEST(Drain, AnswerCountsOnceItsProberProbesAgain)
{
	Process entry;

	entry.advance(60000);
	entry.probe();
	entry.begin();
	entry.probe();
	entry.advance(5000);
	EXPECT_EQ(entry.state(), DRAIN_WAITING);
	entry.probe();
	EXPECT_EQ(entry.state(), DRAIN_INFORMED);
}

TEST(Drain, WaitsForEveryBalancer)
{
	Process entry;

	entry.advance(60000);
	entry.probe("a");
	entry.probe("b");
	entry.begin();
	entry.probe("a");
	entry.probe("a");
	entry.advance(1000);
	EXPECT_EQ(entry.state(), DRAIN_WAITING);
	entry.probe("b");
	entry.probe("b");
	entry.advance(wait_ms);
	EXPECT_EQ(entry.state(), DRAIN_INFORMED);
}

TEST(Drain, ProberThatStoppedProbingIsIgnored)
{
	Process entry;

	entry.probe("deployment");
	entry.advance(interval_ms + 1);
	entry.begin();
	entry.advance(wait_ms);
	EXPECT_EQ(entry.state(), DRAIN_UNPROBED);
}

TEST(Drain, YoungProcessWaitsForItsFirstProbe)
{
	Process entry;

	entry.advance(1000);
	entry.begin();
	entry.advance(interval_ms - 1001);
	EXPECT_EQ(entry.state(), DRAIN_WAITING);
	entry.probe();
	entry.advance(1);
	EXPECT_EQ(entry.state(), DRAIN_WAITING);
	entry.probe();
	entry.advance(wait_ms);
	EXPECT_EQ(entry.state(), DRAIN_INFORMED);
}

TEST(Drain, UnprobedProcessWaitsAtMostOneProbeInterval)
{
	Process entry;

	entry.begin();
	entry.advance(interval_ms);
	EXPECT_EQ(entry.state(), DRAIN_UNPROBED);
}

TEST(Drain, WaitForASilentBalancerIsBounded)
{
	Process entry;

	entry.advance(60000);
	entry.probe();
	entry.begin();
	entry.advance(max_ms - 1);
	EXPECT_EQ(entry.state(), DRAIN_WAITING);
	entry.advance(1);
	EXPECT_EQ(entry.state(), DRAIN_TIMEOUT);
}

TEST(Drain, LongestSilentProberIsDroppedBeyondTheLimit)
{
	Process entry;

	entry.advance(60000);
	for (int i = 0; i < 400; i++) {
		entry.advance(1);
		entry.probe(std::to_string(i).c_str());
	}
	entry.begin();
	for (int i = 144; i < 400; i++) {
		entry.probe(std::to_string(i).c_str());
		entry.probe(std::to_string(i).c_str());
	}
	entry.advance(wait_ms);
	EXPECT_EQ(entry.state(), DRAIN_INFORMED);
}

TEST(Drain, ViewShowsProbersAndTimes)
{
	Process entry;
	drain_view view;

	entry.advance(60000);
	entry.begin();
	drain_get_view(entry.c_drain, &view);
	EXPECT_EQ(view.probers, 0u);
	EXPECT_EQ(view.last_probe_age_us, -1);
	EXPECT_EQ(view.first_notified_us, -1);
	entry.advance(20);
	entry.probe();
	entry.advance(30);
	drain_get_view(entry.c_drain, &view);
	EXPECT_EQ(view.draining_for_us, 50 * LP_US_PER_MS);
	EXPECT_EQ(view.probers, 1u);
	EXPECT_EQ(view.notified, 1u);
	EXPECT_EQ(view.informed, 0u);
	EXPECT_EQ(view.last_probe_age_us, 30 * LP_US_PER_MS);
	EXPECT_EQ(view.first_notified_us, 20 * LP_US_PER_MS);
}

/* Random orders of probes: when the listener may close, every prober that was
 * probing is informed, or the longest time is over. */
TEST(Drain, NeverClosesBeforeAllAreInformedInAnyProbeOrder)
{
	static const char *const names[] = { "a", "b", "c" };

	for (uint32_t seed = 1; seed <= 500; seed++) {
		g_autoptr(GRand) random = g_rand_new_with_seed(seed);
		Process entry;
		int answers[3] = { 0, 0, 0 };
		bool probing[3] = { false, false, false };
		int64_t waited_ms = 0;

		for (int i = 0; i < 3; i++)
			if ((probing[i] = g_rand_boolean(random)))
				entry.probe(names[i]);
		entry.begin();
		while (entry.state() == DRAIN_WAITING) {
			int64_t step_ms = g_rand_int_range(random, 1, 4000);
			int prober = g_rand_int_range(random, 0, 3);

			entry.advance(step_ms);
			waited_ms += step_ms;
			if (!probing[prober])
				continue;
			entry.probe(names[prober]);
			answers[prober]++;
		}
		EXPECT_GE(waited_ms, wait_ms) << seed;
		for (int i = 0; i < 3; i++)
			EXPECT_TRUE(!probing[i] || answers[i] >= 2 ||
				    waited_ms >= max_ms)
				<< seed;
	}
}
