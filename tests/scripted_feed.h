/** Fixture: a feed whose key-value service answers as the test says. */
#ifndef SCRIPTED_FEED_H
#define SCRIPTED_FEED_H

#include "direct_rig.h"

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
	/* Answers a poll with upstreams, each "ID STATE". */
	void finish_poll(const std::vector<std::string> &upstreams)
	{
		auto done = range_done;
		std::vector<std::string> keys;
		std::vector<std::string> values;
		std::vector<store_pair> pairs;
		store_answer answer = {};

		for (const std::string &upstream : upstreams) {
			size_t blank = upstream.find(' ');

			keys.push_back("servers/" + upstream.substr(0, blank));
			values.push_back("{\"service\":\"s\","
					 "\"address\":\"10.0.0.1:80\","
					 "\"zone\":\"a\",\"version\":\"v1\","
					 "\"slots\":6,\"state\":\"" +
					 upstream.substr(blank + 1) +
					 "\",\"cold_left_ms\":0,"
					 "\"seq_no\":4,"
					 "\"born\":1764720000123}");
		}
		for (size_t i = 0; i < keys.size(); i++)
			pairs.push_back({ keys[i].data(), values[i].data(),
					  values[i].size(), 1, 1 });
		answer.pairs = pairs.data();
		answer.pairs_count = pairs.size();
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
	TestClock clock;
	plf_feed *feed;
	/* What the entry is told of its contact with peers. */
	bool has_contact = false;
	std::string announced_changes;

	explicit ScriptedFeed(bool has_peers = false)
	{
		plf_feed_options options = {};

		options.clock = has_peers ? &clock.clock : rig.clock;
		options.log = rig.log;
		options.counters = rig.counters;
		options.kv = &store.base;
		options.direct = rig.entry;
		options.drain_us = 800000;
		options.config_taken = [](void *, int64_t, bool) {};
		options.list_read = [](void *userdata,
				       const plf_feed_list *list) {
			static_cast<ScriptedFeed *>(userdata)
				->announced_changes =
				list->changes ? list->changes : "";
		};
		if (has_peers)
			options.had_contact_since = [](void *userdata,
						       int64_t) {
				return static_cast<ScriptedFeed *>(userdata)
					->has_contact;
			};
		options.userdata = this;
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
	int64_t retained() const
	{
		return *lp_counter(rig.counters, "linepier_upstreams_retained",
				   nullptr);
	}
	/* The list as peers get it. */
	std::string list_text() const
	{
		g_autofree char *text = plf_feed_list_text(feed);

		return text;
	}
	void answer_poll(const std::vector<std::string> &upstreams)
	{
		ASSERT_TRUE(run_loop_until(
			[this] { return store.poll_pending(); }));
		store.finish_poll(upstreams);
	}
	void fail_poll()
	{
		ASSERT_TRUE(run_loop_until(
			[this] { return store.poll_pending(); }));
		store.finish_poll(LP_ERROR_PLATFORM_DOWN);
	}
};

#endif
