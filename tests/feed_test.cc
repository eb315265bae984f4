/*
 * Restarts of the configuration's watch while polls of the list fail and
 * answers begin and end in any order.
 *
 * The failure guarded against: of 68 entries that started together, 1 to 14
 * never received a configuration. A poll failed, the first byte of the next
 * poll's answer restarted the watch, and the watch failed before that answer
 * was complete. The end of the watch set no timer while the last poll counted
 * as failed, and the complete answer did not restart the watch since its first
 * byte had done so. Each such entry had a list, no configuration, and no call
 * of the watch under way or scheduled.
 */
#include "scripted_feed.h"

namespace
{

TEST(Feed, RestartsWatchThatFailsWhileAPollsAnswerArrives)
{
	ScriptedFeed scripted;
	ScriptedStore &store = scripted.store;
	int watch_starts;

	scripted.fail_poll();
	ASSERT_TRUE(run_loop_until([&] { return store.poll_pending(); }));
	store.begin_answer();
	store.fail_watch();
	EXPECT_EQ(*scripted.watch_running_gauge(), 0);
	store.finish_poll(LP_OK);
	watch_starts = store.watch_starts;
	EXPECT_TRUE(run_loop_until(
		[&] { return store.watch_starts > watch_starts; }, 5000));
	EXPECT_EQ(*scripted.watch_running_gauge(), 1);
}

/* A watch that fails while the service does not answer is restarted with the
 * next answer. */
TEST(Feed, RestartsWatchThatFailsDuringAnOutageWithTheNextAnswer)
{
	ScriptedFeed scripted;
	ScriptedStore &store = scripted.store;
	int watch_starts;

	scripted.fail_poll();
	store.fail_watch();
	watch_starts = store.watch_starts;
	ASSERT_TRUE(run_loop_until([&] { return store.poll_pending(); }));
	EXPECT_EQ(store.watch_starts, watch_starts);
	store.begin_answer();
	EXPECT_EQ(store.watch_starts, watch_starts + 1);
	store.finish_poll(LP_OK);
	EXPECT_EQ(store.watch_starts, watch_starts + 1);
}

} // namespace
