#include "cwrap.h"

#include <gtest/gtest.h>

namespace
{

/* A caller that owns the watch, the timer and the probes and carries out the
 * returned actions. Checks after each event that the watch runs or that an
 * event is due that starts it. */
struct Caller {
	TestClock time;
	watch_keeper keeper;
	bool watching = true;
	bool timer_set = false;
	int starts = 1;

	Caller()
	{
		watch_keeper_init(&keeper, &time.clock);
	}
	void carry_out(watch_keeper_action action)
	{
		if (action == WATCH_KEEPER_START) {
			watching = true;
			timer_set = false;
			starts++;
		} else if (action == WATCH_KEEPER_DELAY) {
			EXPECT_FALSE(timer_set);
			timer_set = true;
		}
		check();
	}
	void check()
	{
		EXPECT_EQ(watching, keeper.state == WATCH_KEEPER_RUNNING);
		EXPECT_EQ(timer_set, keeper.state == WATCH_KEEPER_DELAYED);
		EXPECT_TRUE(keeper.unreachable ||
			    keeper.state != WATCH_KEEPER_SUSPENDED);
	}
	void end()
	{
		watching = false;
		carry_out(watch_keeper_on_ended(&keeper));
	}
	void fire()
	{
		timer_set = false;
		carry_out(watch_keeper_on_timer(&keeper));
	}
	void probe_fails()
	{
		watch_keeper_on_probe_failed(&keeper);
		check();
	}
	void answers(bool silent)
	{
		carry_out(watch_keeper_on_answer(&keeper, silent));
	}
};

TEST(WatchKeeper, EndAfterAnAnswerDelaysTheWatch)
{
	Caller caller;

	caller.probe_fails();
	caller.answers(false);
	caller.end();
	EXPECT_EQ(caller.keeper.state, WATCH_KEEPER_DELAYED);
	caller.answers(true);
	EXPECT_EQ(caller.keeper.state, WATCH_KEEPER_DELAYED);
	caller.fire();
	EXPECT_TRUE(caller.watching);
}

TEST(WatchKeeper, EndWhileUnreachableSuspendsTheWatch)
{
	Caller caller;

	caller.probe_fails();
	caller.end();
	EXPECT_EQ(caller.keeper.state, WATCH_KEEPER_SUSPENDED);
	caller.probe_fails();
	EXPECT_EQ(caller.keeper.state, WATCH_KEEPER_SUSPENDED);
	caller.answers(true);
	EXPECT_TRUE(caller.watching);
}

TEST(WatchKeeper, DelayedWatchStartsAtOnceWhenTheServiceIsBack)
{
	Caller caller;

	caller.end();
	caller.probe_fails();
	caller.answers(true);
	EXPECT_TRUE(caller.watching);
	EXPECT_FALSE(caller.timer_set);
}

TEST(WatchKeeper, OnlyASilentWatchIsRestartedWhileItRuns)
{
	Caller caller;

	caller.answers(true);
	EXPECT_EQ(caller.starts, 1);
	caller.probe_fails();
	caller.answers(false);
	EXPECT_EQ(caller.starts, 1);
	caller.probe_fails();
	caller.answers(true);
	EXPECT_EQ(caller.starts, 2);
}

TEST(WatchKeeper, LongWatchResetsFailures)
{
	Caller caller;

	caller.end();
	caller.fire();
	caller.end();
	EXPECT_EQ(caller.keeper.failures, 2u);
	caller.fire();
	caller.time.now_us += 2 * LP_US_PER_S;
	caller.end();
	EXPECT_EQ(caller.keeper.failures, 1u);
}

/* Random orders of events: the watch runs, or an event is due that starts it;
 * once the service answers, it runs at the latest after the retry timer. */
TEST(WatchKeeper, WatchIsAlwaysRunningOrScheduled)
{
	for (uint32_t seed = 1; seed <= 2000; seed++) {
		g_autoptr(GRand) random = g_rand_new_with_seed(seed);
		Caller caller;

		for (int i = 0; i < 200; i++) {
			caller.time.now_us +=
				g_rand_int_range(random, 0, 2000000);
			switch (g_rand_int_range(random, 0, 4)) {
			case 0:
				if (caller.watching)
					caller.end();
				break;
			case 1:
				if (caller.timer_set)
					caller.fire();
				break;
			case 2:
				caller.probe_fails();
				break;
			default:
				caller.answers(g_rand_boolean(random));
			}
			ASSERT_FALSE(testing::Test::HasFailure())
				<< "seed " << seed << ", event " << i;
		}
		caller.answers(true);
		if (caller.timer_set)
			caller.fire();
		EXPECT_TRUE(caller.watching) << "seed " << seed;
	}
}

} // namespace
