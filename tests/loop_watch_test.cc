/* What a turn of the main loop takes. */
#include "cwrap.h"

#include <gtest/gtest.h>

namespace
{

/* Guards against turns that go uncounted, and waits that count as turns. */
TEST(LoopWatch, CountsSlowTurnsWithoutTheirWaits)
{
	static int64_t now_us;
	const lp_clock clock = {
		[](void *) { return now_us; },
		nullptr,
	};
	lp_counters *counters = lp_counters_create();
	lp_event_options log_options = {};
	lp_loop_watch_options options = {};
	lp_loop_watch *watch;
	int turns = 0;

	now_us = 1;
	log_options.process = "test";
	log_options.clock = &clock;
	log_options.fd = -1;
	options.clock = &clock;
	options.log = lp_event_log_create(&log_options);
	options.counters = counters;
	options.slow_us = 100000;
	watch = lp_loop_watch_create(&options);
	g_idle_add(
		[](gpointer turns) -> gboolean {
			const int64_t took_us[] = { 100000, 150000, 120000 };

			now_us += took_us[*static_cast<int *>(turns)];
			return ++*static_cast<int *>(turns) < 3;
		},
		&turns);
	g_main_context_set_poll_func(
		nullptr, [](GPollFD *fds, guint count, gint) -> gint {
			now_us += 1000000;
			return g_poll(fds, count, 0);
		});
	while (turns < 3)
		g_main_context_iteration(nullptr, FALSE);
	g_main_context_iteration(nullptr, FALSE); /* ends the last turn */
	g_main_context_set_poll_func(nullptr, nullptr);
	lp_loop_watch_destroy(watch);
	EXPECT_EQ(*lp_counter(counters, "linepier_loop_slow_turns_total",
			      nullptr),
		  2);
	EXPECT_EQ(
		*lp_counter(counters, "linepier_loop_longest_turn_us", nullptr),
		150000);
	lp_event_log_destroy(options.log);
	lp_counters_destroy(counters);
}

} // namespace
