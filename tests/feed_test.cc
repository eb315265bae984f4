/*
 * The watch of the configuration, among looks at the list that fail and
 * answers that begin and end in any order.
 *
 * Seen: of 68 entries that start together 1 to 14 never had a configuration.
 * How it came about: a look failed; the first byte of the next one began the
 * watch again; that watch ended with an error before the look had come whole.
 * Cause: the end of a watch set no timer while a look counted as failed, and
 * the whole look began no watch since its first byte had done so. What proved
 * it: each such entry had a list, no configuration, and no call of the watch
 * under way or due.
 */
#include "cwrap.h"

#include "direct_rig.h"

namespace
{

/* A key-value service whose answers the test gives. */
struct ScriptedStore {
	store_kv base;
	void (*range_done)(void *, const store_answer *) = nullptr;
	void *range_userdata = nullptr;
	void (*watch_ended)(void *, int) = nullptr;
	void *watch_userdata = nullptr;
	void (*answering)(void *) = nullptr;
	void *answering_userdata = nullptr;
	bool watched = false;
	int watches = 0;

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
			of(kv)->watched = true;
			of(kv)->watches++;
		};
		ops.unwatch = [](store_kv *kv) { of(kv)->watched = false; };
		ops.watch_waits = [](const store_kv *) { return true; };
		ops.tell_answering = [](store_kv *kv, void (*answering)(void *),
					void *userdata) {
			of(kv)->answering = answering;
			of(kv)->answering_userdata = userdata;
		};
		return ops;
	}
	bool looking() const
	{
		return range_done != nullptr;
	}
	void first_byte()
	{
		answering(answering_userdata);
	}
	void look_ends(int error)
	{
		auto done = range_done;
		store_answer answer = {};

		answer.error = error;
		range_done = nullptr;
		done(range_userdata, &answer);
	}
	void watch_ends()
	{
		watched = false;
		watch_ended(watch_userdata, LP_ERROR_PLATFORM_DOWN);
	}
};

/* A feed on it. */
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
		options.config_taken = [](void *, int64_t) {};
		options.list_read = [](void *, uint64_t, int64_t) {};
		feed = plf_feed_create(&options);
	}
	~ScriptedFeed()
	{
		plf_feed_destroy(feed);
	}
	int64_t *running()
	{
		return lp_counter(rig.counters, "linepier_config_watch_running",
				  nullptr);
	}
	void look_fails()
	{
		ASSERT_TRUE(run_loop_until([this] { return store.looking(); }));
		store.look_ends(LP_ERROR_PLATFORM_DOWN);
	}
};

TEST(Feed, AWatchThatEndsBetweenALooksFirstByteAndItsEndBeginsAgain)
{
	ScriptedFeed scripted;
	ScriptedStore &store = scripted.store;
	int watches;

	scripted.look_fails();
	ASSERT_TRUE(run_loop_until([&] { return store.looking(); }));
	store.first_byte();
	store.watch_ends();
	EXPECT_EQ(*scripted.running(), 0);
	store.look_ends(LP_OK);
	watches = store.watches;
	EXPECT_TRUE(
		run_loop_until([&] { return store.watches > watches; }, 5000));
	EXPECT_EQ(*scripted.running(), 1);
}

/* ... and one that ends while nothing is answered waits for the next answer. */
TEST(Feed, AWatchThatEndsWhileLooksFailBeginsWithTheNextAnswer)
{
	ScriptedFeed scripted;
	ScriptedStore &store = scripted.store;
	int watches;

	scripted.look_fails();
	store.watch_ends();
	watches = store.watches;
	ASSERT_TRUE(run_loop_until([&] { return store.looking(); }));
	EXPECT_EQ(store.watches, watches);
	store.first_byte();
	EXPECT_EQ(store.watches, watches + 1);
	store.look_ends(LP_OK);
	EXPECT_EQ(store.watches, watches + 1);
}

} // namespace
