#include "cwrap.h"

#include <gtest/gtest.h>

namespace
{

/* A caller that carries out actions: it owns the watch, the timer, the probes,
 * and checks after each event that something is sure to begin the watch. */
struct Keeper {
	TestClock time;
	watch_keeper keeper;
	bool watching = true;
	bool timer = false;
	int starts = 1;

	Keeper()
	{
		watch_keeper_init(&keeper, &time.clock);
	}
	void act(watch_keeper_action action)
	{
		if (action == WATCH_KEEPER_START) {
			watching = true;
			timer = false;
			starts++;
		} else if (action == WATCH_KEEPER_DELAY) {
			EXPECT_FALSE(timer);
			timer = true;
		}
		check();
	}
	void check()
	{
		EXPECT_EQ(watching, keeper.state == WATCH_KEEPER_RUNNING);
		EXPECT_EQ(timer, keeper.state == WATCH_KEEPER_DELAYED);
		EXPECT_TRUE(keeper.unreachable ||
			    keeper.state != WATCH_KEEPER_SUSPENDED);
	}
	void end()
	{
		watching = false;
		act(watch_keeper_on_ended(&keeper));
	}
	void fire()
	{
		timer = false;
		act(watch_keeper_on_timer(&keeper));
	}
	void probe_fails()
	{
		watch_keeper_on_probe_failed(&keeper);
		check();
	}
	void answers(bool silent)
	{
		act(watch_keeper_on_answer(&keeper, silent));
	}
};

TEST(WatchKeeper, AWatchThatEndsAfterAFirstByteIsDelayed)
{
	Keeper it;

	it.probe_fails();
	it.answers(false);
	it.end();
	EXPECT_EQ(it.keeper.state, WATCH_KEEPER_DELAYED);
	it.answers(true);
	EXPECT_EQ(it.keeper.state, WATCH_KEEPER_DELAYED);
	it.fire();
	EXPECT_TRUE(it.watching);
}

TEST(WatchKeeper, AWatchThatEndsWhileUnreachableWaitsForAnAnswer)
{
	Keeper it;

	it.probe_fails();
	it.end();
	EXPECT_EQ(it.keeper.state, WATCH_KEEPER_SUSPENDED);
	it.probe_fails();
	EXPECT_EQ(it.keeper.state, WATCH_KEEPER_SUSPENDED);
	it.answers(true);
	EXPECT_TRUE(it.watching);
}

TEST(WatchKeeper, ADelayedWatchBeginsAtOnceWhenTheServiceIsBack)
{
	Keeper it;

	it.end();
	it.probe_fails();
	it.answers(true);
	EXPECT_TRUE(it.watching);
	EXPECT_FALSE(it.timer);
}

TEST(WatchKeeper, OnlyAWatchLostInSilenceBeginsAgainWhileItRuns)
{
	Keeper it;

	it.answers(true);
	EXPECT_EQ(it.starts, 1);
	it.probe_fails();
	it.answers(false);
	EXPECT_EQ(it.starts, 1);
	it.probe_fails();
	it.answers(true);
	EXPECT_EQ(it.starts, 2);
}

TEST(WatchKeeper, AWatchThatLastedForgetsItsFailures)
{
	Keeper it;

	it.end();
	it.fire();
	it.end();
	EXPECT_EQ(it.keeper.failures, 2u);
	it.fire();
	it.time.now_us += 2 * LP_US_PER_S;
	it.end();
	EXPECT_EQ(it.keeper.failures, 1u);
}

/* Every order of events: the watch runs, or something is due that begins it;
 * and once the service answers, it runs after the timer. */
TEST(WatchKeeper, NoOrderOfEventsLeavesItUnscheduled)
{
	for (uint32_t seed = 1; seed <= 2000; seed++) {
		g_autoptr(GRand) random = g_rand_new_with_seed(seed);
		Keeper it;

		for (int i = 0; i < 200; i++) {
			it.time.now_us += g_rand_int_range(random, 0, 2000000);
			switch (g_rand_int_range(random, 0, 4)) {
			case 0:
				if (it.watching)
					it.end();
				break;
			case 1:
				if (it.timer)
					it.fire();
				break;
			case 2:
				it.probe_fails();
				break;
			default:
				it.answers(g_rand_boolean(random));
			}
			ASSERT_FALSE(testing::Test::HasFailure())
				<< "seed " << seed << ", event " << i;
		}
		it.answers(true);
		if (it.timer)
			it.fire();
		EXPECT_TRUE(it.watching) << "seed " << seed;
	}
}

} // namespace
