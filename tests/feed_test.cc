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
#include "cwrap.h"

#include "direct_rig.h"

namespace
{

/* A key-value service whose answers are given by the test. */
struct ScriptedStore {
	store_kv base;
	void (*range_done)(void *, const store_answer *) = nullptr;
	void *range_userdata = nullptr;
	void (*watch_ended)(void *, int) = nullptr;
	void *watch_userdata = nullptr;
	void (*answering)(void *) = nullptr;
	void *answering_userdata = nullptr;
	bool watch_running = false;
	int watch_starts = 0;

	ScriptedStore()
	{
		static const store_kv_ops ops = make_ops();

		base.ops = &ops;
	}
	static ScriptedStore *of(store_kv *kv)
	{
		return reinterpret_cast<ScriptedStore *>(kv);
	}
	static store_kv_ops make_ops()
	{
		store_kv_ops ops = {};

		ops.range = [](store_kv *kv, const char *, const char *, bool,
			       void (*done)(void *, const store_answer *),
			       void *userdata) {
			of(kv)->range_done = done;
			of(kv)->range_userdata = userdata;
		};
		ops.watch = [](store_kv *kv, const char *,
			       const store_watch *watch) {
			of(kv)->watch_ended = watch->ended;
			of(kv)->watch_userdata = watch->userdata;
			of(kv)->watch_running = true;
			of(kv)->watch_starts++;
		};
		ops.unwatch = [](store_kv *kv) {
			of(kv)->watch_running = false;
		};
		ops.watch_waits = [](const store_kv *) { return true; };
		ops.tell_answering = [](store_kv *kv, void (*answering)(void *),
					void *userdata) {
			of(kv)->answering = answering;
			of(kv)->answering_userdata = userdata;
		};
		return ops;
	}
	bool poll_pending() const
	{
		return range_done != nullptr;
	}
	void begin_answer()
	{
		answering(answering_userdata);
	}
	void finish_poll(int error)
	{
		auto done = range_done;
		store_answer answer = {};

		answer.error = error;
		range_done = nullptr;
		done(range_userdata, &answer);
	}
	void fail_watch()
	{
		watch_running = false;
		watch_ended(watch_userdata, LP_ERROR_PLATFORM_DOWN);
	}
};

/* A feed that uses a ScriptedStore. */
struct ScriptedFeed {
	Rig rig;
	ScriptedStore store;
	plf_feed *feed;

	ScriptedFeed()
	{
		plf_feed_options options = {};

		options.clock = rig.clock;
		options.log = rig.log;
		options.counters = rig.counters;
		options.kv = &store.base;
		options.direct = rig.entry;
		options.drain_us = 800000;
		options.config_taken = [](void *, int64_t, bool) {};
		options.list_read = [](void *, const plf_feed_list *) {};
		feed = plf_feed_create(&options);
	}
	~ScriptedFeed()
	{
		plf_feed_destroy(feed);
	}
	int64_t *watch_running_gauge()
	{
		return lp_counter(rig.counters, "linepier_config_watch_running",
				  nullptr);
	}
	void fail_poll()
	{
		ASSERT_TRUE(run_loop_until(
			[this] { return store.poll_pending(); }));
		store.finish_poll(LP_ERROR_PLATFORM_DOWN);
	}
};

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
