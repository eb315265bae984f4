/*
 * Behaviour after a suspension of the host, during which its monotonic clock
 * stands still while the time since boot and the time of day go on.
 *
 * The tests simulate a suspension by a jump of the clock that is passed in.
 * The timers of the event loop stand still during the jump, as they do during
 * a suspension.
 */
#include "direct_rig.h"

namespace
{

/* The time since boot, which includes suspensions. */
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

/* Runs the event loop until `done` holds, at most `limit_ms`, and returns how
 * long that took. */
int64_t wait_duration_ms(const std::function<bool()> &done, int64_t limit_ms)
{
	gint64 start_us = g_get_monotonic_time();

	run_loop_until(done, limit_ms);
	return (g_get_monotonic_time() - start_us) / LP_US_PER_MS;
}

TEST_F(Suspend, BootClockCountsSuspension)
{
	struct timespec boottime;
	int64_t difference_us;

	clock_gettime(CLOCK_BOOTTIME, &boottime);
	difference_us = lp_now_us(lp_clock_boot()) -
			boottime.tv_sec * LP_US_PER_S - boottime.tv_nsec / 1000;
	EXPECT_GE(difference_us, 0);
	EXPECT_LT(difference_us, LP_US_PER_S);
}

TEST_F(Suspend, TimersExpireDuringSuspension)
{
	const struct {
		int64_t suspended_ms;
		guint wait_ms;
		bool expired;
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
		EXPECT_EQ(done, row.expired)
			<< row.suspended_ms << " " << row.wait_ms;
		g_source_remove(id);
	}
}

TEST_F(Suspend, PeriodicTimersContinueAfterSuspension)
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

/* The deadline of a caller passes during a suspension of its entry: the caller
 * gets a 504 at once. */
TEST_F(Suspend, ExpiredDeadlinesAreAnsweredAtOnce)
{
	Rig rig(&boot.clock);
	pe_upstream *slow = rig.add(PE_PLAIN, "plain");

	pe_set_work_ms(slow, 8000);
	rig.settle();
	CallerRequest order(rig.address, "a1", "/order/x");

	ASSERT_TRUE(run_loop_until(
		[&] { return pe_runs(rig.platform, "a1") == 1; }));
	boot.suspend(5000);
	EXPECT_LT(wait_duration_ms([&] { return order.done; }, 3000), 400);
	EXPECT_EQ(order.status, 504u);
}

/* A suspension that is shorter than the remaining time changes nothing. */
TEST_F(Suspend, ShortSuspensionsKeepRequests)
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

/* The upstream's answer arrived during the suspension, and the deadline
 * passed: the caller gets the answer, not a 504. */
TEST_F(Suspend, ReceivedAnswerPrecedesExpiredDeadline)
{
	for (int i = 0; i < 8; i++) {
		Rig rig(&boot.clock);
		pe_upstream *slow = rig.add(PE_PLAIN, "plain");

		pe_set_work_ms(slow, 300);
		rig.settle();
		CallerRequest order(rig.address, "a1", "/order/x");

		ASSERT_TRUE(run_loop_until(
			[&] { return pe_runs(rig.platform, "a1") == 1; }));
		/* The upstream has written its answer; the entry has not read
		 * it yet. */
		ASSERT_TRUE(
			run_loop_until([&] { return !pe_connections(slow); }));
		boot.suspend(5000);
		EXPECT_EQ(order.wait().status, 200u);
	}
}

/* An upstream that began to drain during the suspension is noticed at
 * once: the entry reads the list again. */
TEST_F(Suspend, UpstreamListIsReadAtOnce)
{
	Rig rig(&boot.clock, 60 * LP_US_PER_S);
	pe_upstream *draining = rig.add(PE_PLAIN, "plain");
	int64_t calls_before;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_drain(draining);
	calls_before = *rig.range_calls();
	boot.suspend(5000);
	EXPECT_LT(wait_duration_ms(
			  [&] { return *rig.range_calls() > calls_before; },
			  2000),
		  300);
}

} // namespace
