/*
 * A host that is suspended: its steady clock stands still, the time since its
 * boot and the time of day go on.
 *
 * What the tests suspend is the clock that is passed in, by a jump; all timers
 * of the loop stand still over it, as they do over a suspension.
 */
#include "direct_rig.h"

namespace
{

/* The time since boot, with suspensions. */
struct BootClock {
	int64_t suspended_us = 0;
	lp_clock clock = { read, this };

	static int64_t read(void *self)
	{
		return g_get_monotonic_time() +
		       static_cast<BootClock *>(self)->suspended_us;
	}
	void suspend(int64_t ms)
	{
		suspended_us += ms * LP_US_PER_MS;
	}
};

struct Suspend : testing::Test {
	BootClock boot;

	Suspend()
	{
		lp_timer_set_clock(&boot.clock);
	}
	~Suspend() override
	{
		lp_timer_set_clock(nullptr);
	}
};

/* How long it takes until something holds, after a suspension. */
int64_t took_ms(const std::function<bool()> &done, int64_t limit_ms)
{
	gint64 begun_us = g_get_monotonic_time();

	run_loop_until(done, limit_ms);
	return (g_get_monotonic_time() - begun_us) / LP_US_PER_MS;
}

TEST_F(Suspend, TheClockCountsIt)
{
	struct timespec boottime;
	int64_t difference_us;

	clock_gettime(CLOCK_BOOTTIME, &boottime);
	difference_us = lp_now_us(lp_clock_boot()) -
			boottime.tv_sec * LP_US_PER_S - boottime.tv_nsec / 1000;
	EXPECT_GE(difference_us, 0);
	EXPECT_LT(difference_us, LP_US_PER_S);
}

TEST_F(Suspend, TimersAreDueByIt)
{
	const struct {
		int64_t suspended_ms;
		guint wait_ms;
		bool due;
	} rows[] = {
		{ 500, 400, true },    { 500, 900, false },
		{ 5000, 4000, true },  { 5000, 9000, false },
		{ 30000, 9000, true }, { 30000, 40000, false },
	};

	for (const auto &row : rows) {
		bool done = false;
		guint id = lp_timer_add(
			row.wait_ms,
			[](gpointer done) -> gboolean {
				*static_cast<bool *>(done) = true;
				return G_SOURCE_CONTINUE;
			},
			&done);

		run_loop_until([] { return false; }, 20);
		boot.suspend(row.suspended_ms);
		run_loop_until([&] { return done; }, 100);
		EXPECT_EQ(done, row.due)
			<< row.suspended_ms << " " << row.wait_ms;
		g_source_remove(id);
	}
}

TEST_F(Suspend, TimersThatComeAgainGoOnAfterIt)
{
	int times = 0;
	guint id = lp_timer_add(
		50,
		[](gpointer times) -> gboolean {
			++*static_cast<int *>(times);
			return G_SOURCE_CONTINUE;
		},
		&times);

	boot.suspend(30000);
	run_loop_until([] { return false; }, 180);
	EXPECT_GE(times, 3);
	EXPECT_LE(times, 5);
	g_source_remove(id);
}

/* A caller's time is over while its entry is suspended: it is told at once. */
TEST_F(Suspend, DeadlinesThatPassedAreMetAtOnce)
{
	Rig rig(&boot.clock);
	pe_upstream *slow = rig.add(PE_PLAIN, "plain");

	pe_set_work_ms(slow, 8000);
	rig.settle();
	CallerRequest order(rig.address, "a1", "/order/x");

	ASSERT_TRUE(run_loop_until(
		[&] { return pe_runs(rig.platform, "a1") == 1; }));
	boot.suspend(5000);
	EXPECT_LT(took_ms([&] { return order.done; }, 3000), 400);
	EXPECT_EQ(order.status, 504u);
}

/* ... and what is shorter than the rest of its time changes nothing. */
TEST_F(Suspend, ShortOnesCutNothing)
{
	Rig rig(&boot.clock);
	pe_upstream *slow = rig.add(PE_PLAIN, "plain");

	pe_set_work_ms(slow, 600);
	rig.settle();
	CallerRequest order(rig.address, "a1", "/order/x");

	ASSERT_TRUE(run_loop_until(
		[&] { return pe_runs(rig.platform, "a1") == 1; }));
	boot.suspend(500);
	EXPECT_EQ(order.wait().status, 200u);
}

/* The answer has come while its entry was suspended, the deadline has passed.
 */
TEST_F(Suspend, AnAnswerThatIsThereGoesBeforeTheDeadline)
{
	for (int i = 0; i < 8; i++) {
		Rig rig(&boot.clock);
		pe_upstream *slow = rig.add(PE_PLAIN, "plain");

		pe_set_work_ms(slow, 300);
		rig.settle();
		CallerRequest order(rig.address, "a1", "/order/x");

		ASSERT_TRUE(run_loop_until(
			[&] { return pe_runs(rig.platform, "a1") == 1; }));
		/* The upstream has written it; the entry is yet to read. */
		ASSERT_TRUE(
			run_loop_until([&] { return !pe_connections(slow); }));
		boot.suspend(5000);
		EXPECT_EQ(order.wait().status, 200u);
	}
}

/* An upstream that began to leave meanwhile is known within one look. */
TEST_F(Suspend, TheListIsReadAtOnce)
{
	Rig rig(&boot.clock, 60 * LP_US_PER_S);
	pe_upstream *leaving = rig.add(PE_PLAIN, "plain");
	int64_t polls;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_drain(leaving);
	polls = *rig.range_calls();
	boot.suspend(5000);
	EXPECT_LT(took_ms([&] { return *rig.range_calls() > polls; }, 2000),
		  300);
}

} // namespace
