/*
 * An entry that calls upstreams directly, against the emulated platform: the
 * whole path in one process, over loopback. Each test is a fault and the
 * promise that must outlive it.
 */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace
{

bool turn_until(const std::function<bool()> &done, int64_t limit_ms = 10000)
{
	const gint64 end_us = g_get_monotonic_time() + limit_ms * 1000;
	const guint ticks = g_timeout_add(
		5, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; },
		nullptr);

	while (!done() && g_get_monotonic_time() < end_us)
		g_main_context_iteration(nullptr, TRUE);
	g_source_remove(ticks);
	return done();
}

using Fields = std::map<std::string, std::string>;

/* One request of a caller. */
struct Ask {
	http_exchange *exchange;
	uint32_t status = 0;
	std::string body;
	std::string retry_after;
	std::string seal;
	bool done = false;
	int error = LP_OK;
	int64_t begun_us = g_get_monotonic_time();
	int64_t took_us = 0;

	Ask(const std::string &address, const char *id, const char *target,
	    const Fields &more = {}, const char *body = "")
	{
		static const http_exchange_events events = { on_head, on_body,
							     on_done };
		http_exchange_options options = {};
		http_fields fields;

		http_fields_init(&fields);
		http_fields_add(&fields, "Host", "a.example");
		if (!more.count("X-Attempt-Id"))
			http_fields_add(&fields, "X-Attempt-Id", id);
		if (!more.count("Authorization"))
			http_fields_add(&fields, "Authorization",
					"Bearer key-always");
		for (const auto &field : more)
			http_fields_add(&fields, field.first.c_str(),
					field.second.c_str());
		options.address = address.c_str();
		options.method = "POST";
		options.target = target;
		options.fields = &fields;
		options.body = body;
		options.body_size = strlen(body);
		options.has_body = true;
		options.connect_timeout_us = 1000000;
		options.events = &events;
		options.userdata = this;
		exchange = http_exchange_start(&options);
		http_fields_clear(&fields);
	}
	~Ask()
	{
		if (exchange && !done)
			http_exchange_cancel(exchange);
	}
	static void on_head(void *self, uint32_t status,
			    const http_fields *fields)
	{
		auto *ask = static_cast<Ask *>(self);
		const char *after = http_fields_get(fields, "Retry-After");
		const char *seal = http_fields_get(fields, "X-Server-Seal");

		ask->status = status;
		ask->retry_after = after ? after : "";
		ask->seal = seal ? seal : "";
	}
	static void on_body(void *self, const char *bytes, size_t size)
	{
		static_cast<Ask *>(self)->body.append(bytes, size);
	}
	static void on_done(void *self, int error, bool)
	{
		auto *ask = static_cast<Ask *>(self);

		ask->done = true;
		ask->error = error;
		ask->took_us = g_get_monotonic_time() - ask->begun_us;
	}
	Ask &wait()
	{
		EXPECT_TRUE(turn_until([this] { return done; }));
		return *this;
	}
	void leave()
	{
		http_exchange_cancel(exchange);
		done = true;
	}
};

/* The platform, and one entry on it. */
struct Rig {
	pe *platform = pe_create();
	lp_event_log *log;
	lp_counters *counters = lp_counters_create();
	direct *entry = nullptr;
	store_kv *kv = nullptr;
	plf_feed *feed = nullptr;
	std::string address;

	explicit Rig(bool with_config = true)
	{
		lp_event_options log_options = {};

		log_options.process = "test";
		log_options.clock = lp_clock_monotonic();
		log_options.fd = -1;
		log = lp_event_log_create(&log_options);
		listen();
		if (with_config)
			set_config(1);
		start_feed();
	}
	~Rig()
	{
		const GPtrArray *breaches = pe_breaches(platform);

		for (guint i = 0; i < breaches->len; i++)
			ADD_FAILURE()
				<< (const char *)g_ptr_array_index(breaches, i);
		kv->ops->destroy(kv);
		plf_feed_destroy(feed);
		direct_destroy(entry);
		pe_destroy(platform);
		lp_counters_destroy(counters);
		lp_event_log_destroy(log);
	}
	void listen()
	{
		direct_options options = {};
		int error;

		options.clock = lp_clock_monotonic();
		options.codec = plf_codec();
		options.log = log;
		options.counters = counters;
		options.domain = "a";
		options.retry_ratio = 0.2;
		options.retry_slack = 20;
		for (int port = 21400; !entry && port < 21500; port++) {
			address = "127.0.0.1:" + std::to_string(port);
			options.address = address.c_str();
			entry = direct_create(&options, &error);
		}
	}
	void start_feed()
	{
		plf_kv_options kv_options = {};
		plf_feed_options options = {};

		kv_options.address = pe_store_address(platform);
		kv_options.counters = counters;
		kv_options.timeout_us = 300000;
		kv_options.wait_us = 500000;
		kv = plf_kv_create(&kv_options);
		options.clock = lp_clock_monotonic();
		options.log = log;
		options.kv = kv;
		options.direct = entry;
		options.drain_us = 800000;
		options.config_taken = [](void *, int64_t) {};
		feed = plf_feed_create(&options);
	}
	void set_config(int64_t version)
	{
		char *json = pe_sample_config(version);

		pe_set_config(platform, json);
		g_free(json);
	}
	pe_upstream *add(pe_kind kind, const char *service)
	{
		return pe_add(platform, kind, service, "a");
	}
	/* The entry knows the configuration and all upstreams. */
	void settle(int64_t version = 1)
	{
		bool ready = turn_until([&] {
			return direct_ready(entry) &&
			       direct_config_version(entry) >= version;
		});
		int64_t polls = *calls();

		EXPECT_TRUE(ready);
		turn_until([&] { return *calls() >= polls + 2; }, 3000);
	}
	int64_t *calls()
	{
		return lp_counter(counters, "linepier_kv_calls_total",
				  "purpose=\"range\"");
	}
};

const char whole_stream[] = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"
			    "id: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n"
			    "id: 5\ndata: token 5\n\nid: 6\ndata: token 6\n\n";

/* ---- a calm day ---- */

TEST(Direct, ServesEachKindOfRequest)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.add(PE_ENGINE, "engine");
	rig.add(PE_STAGE, "first");
	rig.add(PE_STAGE, "second");
	rig.settle();
	Ask look(rig.address, "a1", "/look/x");
	Ask order(rig.address, "a2", "/order/x", {}, "one box");
	Ask once(rig.address, "a3", "/once/x");
	Ask staged(rig.address, "a4", "/staged/x",
		   { { "X-Pieces", "2,3" }, { "X-Piece-Key", "k" } });

	EXPECT_EQ(look.wait().body, "whole");
	EXPECT_EQ(look.seal, "mark");
	EXPECT_EQ(order.wait().body, "whole");
	EXPECT_EQ(once.wait().body, whole_stream);
	EXPECT_EQ(staged.wait().body, whole_stream);
	EXPECT_EQ(staged.error, LP_OK);
	EXPECT_EQ(pe_pieces_made(rig.platform), 5u);
	EXPECT_EQ(pe_runs(rig.platform, "a2"), 1u);
	EXPECT_TRUE(
		turn_until([&] { return pe_pieces_kept(rig.platform) == 0; }));
}

TEST(Direct, RefusesTruthfullyUntilItIsConfigured)
{
	Rig rig(false);
	Ask early(rig.address, "a1", "/order/x");

	EXPECT_EQ(early.wait().status, 503u);
	EXPECT_NE(early.retry_after, "");
	EXPECT_FALSE(direct_ready(rig.entry));
}

TEST(Direct, KnowsRoutesAndKeys)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	Ask unknown(rig.address, "a1", "/nowhere/x");
	Ask stranger(rig.address, "a2", "/look/x",
		     { { "Authorization", "Bearer no" } });
	Ask nameless(rig.address, "a3", "/look/x", { { "X-Attempt-Id", "" } });
	Ask forged(rig.address, "a4", "/look/x", { { "X-Tenant", "evil" } });

	EXPECT_EQ(unknown.wait().status, 404u);
	EXPECT_EQ(stranger.wait().status, 401u);
	EXPECT_EQ(forged.wait().status, 200u);
	nameless.wait();
}

/* ---- at most once, and truthful refusals ---- */

TEST(Direct, WhatMayRunOnceIsNotSentAgain)
{
	const enum pe_fault faults[] = { PE_FAULT_RESET, PE_FAULT_GARBLED,
					 PE_FAULT_FOREIGN, PE_FAULT_TRUNCATED };

	for (enum pe_fault fault : faults) {
		Rig rig;
		pe_upstream *first = rig.add(PE_PLAIN, "plain");
		pe_upstream *second = rig.add(PE_PLAIN, "plain");

		pe_fault(first, fault);
		pe_fault(second, fault);
		rig.settle();
		Ask order(rig.address, "a1", "/order/x", {}, "one box");

		EXPECT_EQ(order.wait().status, 502u) << fault;
		EXPECT_EQ(order.seal, "") << fault;
		EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u) << fault;
	}
}

TEST(Direct, WhatWasNotRunGoesToAnother)
{
	Rig rig;
	pe_upstream *full = rig.add(PE_PLAIN, "plain");
	pe_upstream *other = rig.add(PE_PLAIN, "plain");
	pe_upstream *stale = rig.add(PE_PLAIN, "plain");

	pe_fault(full, PE_FAULT_FULL);
	pe_replace(stale);
	rig.settle();
	for (int i = 0; i < 6; i++) {
		std::string id = "a" + std::to_string(i);
		Ask order(rig.address, id.c_str(), "/order/x");

		EXPECT_EQ(order.wait().status, 200u);
		EXPECT_EQ(pe_runs(rig.platform, id.c_str()), 1u);
	}
	EXPECT_GE(pe_arrivals(other), 6u);
}

TEST(Direct, RefusesAtOnceWithWhenToComeBackIfNobodyRanIt)
{
	Rig rig;
	pe_upstream *full = rig.add(PE_PLAIN, "plain");

	pe_fault(full, PE_FAULT_FULL);
	rig.settle();
	Ask order(rig.address, "a1", "/order/x");

	EXPECT_EQ(order.wait().status, 503u);
	EXPECT_NE(order.retry_after, "");
	EXPECT_LT(order.took_us, 500000);
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 0u);
}

TEST(Direct, AnswersAtTheDeadlineAndNoLater)
{
	Rig rig;
	pe_upstream *silent = rig.add(PE_PLAIN, "plain");

	pe_fault(silent, PE_FAULT_SILENT);
	rig.settle();
	Ask order(rig.address, "a1", "/order/x",
		  { { "X-Deadline-Ms", "300" } });

	EXPECT_EQ(order.wait().status, 504u);
	EXPECT_GE(order.took_us, 250000);
	EXPECT_LT(order.took_us, 600000);
}

/* ---- what may be repeated ---- */

TEST(Direct, IdempotentRequestsOutliveABadUpstream)
{
	const enum pe_fault faults[] = { PE_FAULT_RESET,     PE_FAULT_GARBLED,
					 PE_FAULT_FOREIGN,   PE_FAULT_ERROR,
					 PE_FAULT_TRUNCATED, PE_FAULT_SILENT };

	for (enum pe_fault fault : faults) {
		Rig rig;
		pe_upstream *bad = rig.add(PE_PLAIN, "plain");

		rig.add(PE_PLAIN, "plain");
		pe_fault(bad, fault);
		rig.settle();
		for (int i = 0; i < 4; i++) {
			std::string id = "a" + std::to_string(i);
			Ask look(rig.address, id.c_str(), "/look/x");

			EXPECT_EQ(look.wait().status, 200u) << fault;
			EXPECT_EQ(look.body, "whole") << fault;
		}
	}
}

TEST(Direct, AnswersWithoutALengthAndExtraOnesAreTakenApart)
{
	const enum pe_fault faults[] = { PE_FAULT_UNFRAMED, PE_FAULT_EXTRA };

	for (enum pe_fault fault : faults) {
		Rig rig;
		pe_upstream *odd = rig.add(PE_PLAIN, "plain");

		pe_fault(odd, fault);
		rig.settle();
		for (int i = 0; i < 3; i++) {
			std::string id = "a" + std::to_string(i);
			Ask order(rig.address, id.c_str(), "/order/x");

			EXPECT_EQ(order.wait().body, "whole");
			EXPECT_EQ(pe_runs(rig.platform, id.c_str()), 1u);
		}
	}
}

TEST(Direct, ErrorsOfAnUpstreamArePassedOn)
{
	Rig rig;
	pe_upstream *bad = rig.add(PE_PLAIN, "plain");

	pe_fault(bad, PE_FAULT_ERROR);
	rig.settle();
	Ask order(rig.address, "a1", "/order/x");

	EXPECT_EQ(order.wait().status, 500u);
	EXPECT_EQ(order.body, "failed");
	EXPECT_EQ(order.seal, "mark");
}

/* ---- streams ---- */

TEST(Direct, AStreamThatMayResumeGoesOnAtAnother)
{
	Rig rig;
	pe_upstream *bad = rig.add(PE_ENGINE, "engine");

	rig.add(PE_ENGINE, "engine");
	pe_fault(bad, PE_FAULT_CUT);
	rig.settle();
	for (int i = 0; i < 4; i++) {
		std::string id = "a" + std::to_string(i);
		Ask again(rig.address, id.c_str(), "/again/x");

		EXPECT_EQ(again.wait().body, whole_stream);
		EXPECT_EQ(again.error, LP_OK);
	}
}

TEST(Direct, AStreamThatMayNotResumeIsSeenToBeCut)
{
	Rig rig;
	pe_upstream *bad = rig.add(PE_ENGINE, "engine");

	pe_fault(bad, PE_FAULT_CUT);
	rig.settle();
	Ask once(rig.address, "a1", "/once/x");

	once.wait();
	EXPECT_EQ(once.status, 200u);
	EXPECT_NE(once.error, LP_OK);
	EXPECT_EQ(once.body,
		  "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n");
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u);
}

TEST(Direct, ACallerThatLeavesTakesItsRequestAlong)
{
	Rig rig;
	pe_upstream *slow = rig.add(PE_PLAIN, "plain");

	pe_set_work_ms(slow, 5000);
	rig.settle();
	Ask order(rig.address, "a1", "/order/x");

	ASSERT_TRUE(
		turn_until([&] { return pe_runs(rig.platform, "a1") == 1; }));
	order.leave();
	EXPECT_TRUE(turn_until([&] { return pe_connections(slow) == 0; }, 500));
	EXPECT_EQ(direct_busy(rig.entry), 0u);
}

/* ---- stages ---- */

TEST(Direct, LostResultsAreMadeAgain)
{
	Rig rig;
	pe_upstream *forgets = rig.add(PE_STAGE, "first");

	rig.add(PE_STAGE, "second");
	rig.add(PE_ENGINE, "engine");
	pe_fault(forgets, PE_FAULT_FORGET);
	rig.settle();
	Ask staged(rig.address, "a1", "/staged/x",
		   { { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(
		turn_until([&] { return pe_pieces_made(rig.platform) >= 2; }));
	pe_fault(forgets, PE_FAULT_NONE);
	EXPECT_EQ(staged.wait().body, whole_stream);
}

/* Found on a day at Kwaebibirem: inputs were lost with the first call of a
 * stage while its other pieces waited; those went off without inputs. */
TEST(Direct, PiecesDoNotGoWithoutInputsThatWereLost)
{
	Rig rig;
	pe_upstream *forgets = rig.add(PE_STAGE, "first");

	rig.add(PE_STAGE, "second");
	rig.add(PE_ENGINE, "engine");
	pe_fault(forgets, PE_FAULT_FORGET);
	rig.settle();
	Ask staged(rig.address, "a1", "/staged/x",
		   { { "X-Pieces", "1,20" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(
		turn_until([&] { return pe_pieces_made(rig.platform) >= 2; }));
	pe_fault(forgets, PE_FAULT_NONE);
	EXPECT_EQ(staged.wait().body, whole_stream);
}

TEST(Direct, PiecesOutliveAStageServerThatResets)
{
	Rig rig;
	pe_upstream *bad = rig.add(PE_STAGE, "first");

	rig.add(PE_STAGE, "first");
	rig.add(PE_STAGE, "second");
	rig.add(PE_ENGINE, "engine");
	pe_fault(bad, PE_FAULT_RESET);
	rig.settle();
	for (int i = 0; i < 4; i++) {
		std::string id = "a" + std::to_string(i);
		Ask staged(rig.address, id.c_str(), "/staged/x",
			   { { "X-Pieces", "2,1" }, { "X-Piece-Key", "k" } });

		EXPECT_EQ(staged.wait().body, whole_stream);
	}
}

/* Found by reading: a waiting piece kept the domain's name of an upstream that
 * had left the list and was freed (the sanitized build stops here without the
 * mend). */
TEST(Direct, AnUpstreamMayLeaveWhilePiecesWaitNearIt)
{
	Rig rig;
	pe_upstream *maker = rig.add(PE_STAGE, "first");
	pe_upstream *slow = rig.add(PE_STAGE, "second");

	rig.add(PE_ENGINE, "engine");
	pe_set_work_ms(slow, 900);
	rig.settle();
	Ask one(rig.address, "a1", "/staged/x",
		{ { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(turn_until([&] { return pe_arrivals(slow) == 1; }));
	Ask two(rig.address, "a2", "/staged/x",
		{ { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(
		turn_until([&] { return pe_pieces_made(rig.platform) >= 2; }));
	turn_until([] { return false; }, 50);
	pe_remove(maker);
	one.wait();
	two.wait();
}

/* No piece is made without its inputs, and none with another's: the emulator
 * writes down each breach, and Rig fails the test. */
TEST(Direct, ManyRequestsShareCallsAndKeepTheirPiecesApart)
{
	Rig rig;
	std::vector<std::unique_ptr<Ask>> asks;

	for (int i = 0; i < 3; i++) {
		rig.add(PE_STAGE, "first");
		rig.add(PE_STAGE, "second");
		rig.add(PE_ENGINE, "engine");
	}
	rig.settle();
	for (int i = 0; i < 30; i++) {
		std::string id = "m" + std::to_string(i);

		asks.push_back(std::make_unique<Ask>(
			rig.address, id.c_str(), "/staged/x",
			Fields{ { "X-Pieces", "3,2" },
				{ "X-Piece-Key", "k" + id } }));
	}
	for (auto &ask : asks)
		EXPECT_EQ(ask->wait().body, whole_stream);
	EXPECT_EQ(pe_pieces_made(rig.platform), 150u);
	EXPECT_TRUE(
		turn_until([&] { return pe_pieces_kept(rig.platform) == 0; }));
}

/* ---- the list of upstreams ---- */

TEST(Direct, ALeavingUpstreamGetsNothingNew)
{
	Rig rig;
	pe_upstream *leaving = rig.add(PE_PLAIN, "plain");
	uint32_t before;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_drain(leaving);
	rig.settle();
	before = pe_arrivals(leaving);
	for (int i = 0; i < 8; i++)
		EXPECT_EQ(Ask(rig.address, "a", "/look/x").wait().status, 200u);
	EXPECT_EQ(pe_arrivals(leaving), before);
}

TEST(Direct, TheLastKnownListServesWhileTheStoreIsAway)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_fault(rig.platform, PE_STORE_SILENT);
	ASSERT_TRUE(turn_until([&] { return !plf_feed_in_touch(rig.feed); }));
	EXPECT_EQ(Ask(rig.address, "a1", "/look/x").wait().status, 200u);
	pe_store_fault(rig.platform, PE_STORE_FINE);
	EXPECT_TRUE(turn_until([&] { return plf_feed_in_touch(rig.feed); }));
}

/* ---- the configuration ---- */

TEST(Direct, AConfigurationIsInForceAtOnceAndNeverReverts)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	rig.set_config(5);
	EXPECT_TRUE(turn_until(
		[&] { return direct_config_version(rig.entry) == 5; }, 1000));
	Ask revoked(rig.address, "a1", "/look/x",
		    { { "Authorization", "Bearer key-1" } });
	Ask added(rig.address, "a2", "/look/x",
		  { { "Authorization", "Bearer key-5" } });

	EXPECT_EQ(revoked.wait().status, 401u);
	EXPECT_EQ(added.wait().status, 200u);
	rig.set_config(3);
	rig.set_config(6);
	EXPECT_TRUE(turn_until(
		[&] { return direct_config_version(rig.entry) == 6; }, 1000));
}

/* Found on a day on which the store's watches heard nothing while changes were
 * made: a watch that had been forgotten went on for ten seconds. */
TEST(Direct, AWatchThatHearsNothingDoesNotHideAChange)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_fault(rig.platform, PE_STORE_DEAF_WATCHES);
	rig.set_config(7);
	rig.add(PE_PLAIN, "plain"); /* the revision goes on */
	turn_until([] { return false; }, 800);
	pe_store_fault(rig.platform, PE_STORE_FINE);
	EXPECT_TRUE(turn_until(
		[&] { return direct_config_version(rig.entry) == 7; }, 2500));
}

/* ---- entries among themselves ---- */

/* A store may serve some machines and refuse others, for longer than a
 * configuration may take: those ask the others. */
TEST(Direct, AnEntryThatTheStoreRefusesAsksAPeer)
{
	Rig served;
	Rig refused;
	plf_share_options options = {};
	plf_share *one;
	plf_share *two;

	served.add(PE_PLAIN, "plain");
	served.settle();
	refused.settle();
	pe_store_fault(refused.platform, PE_STORE_BUSY);
	served.set_config(4);
	ASSERT_TRUE(turn_until([&] {
		return direct_config_version(served.entry) == 4 &&
		       !plf_feed_in_touch(refused.feed);
	}));
	options.clock = lp_clock_monotonic();
	options.log = served.log;
	options.direct = served.entry;
	options.feed = served.feed;
	options.address = "127.0.0.1:21512";
	one = plf_share_create(&options);
	options.direct = refused.entry;
	options.feed = refused.feed;
	options.address = "127.0.0.2:21512";
	two = plf_share_create(&options);
	ASSERT_TRUE(one && two);
	plf_share_heard_version(two, "127.0.0.1", 4);
	plf_share_heard_version(two, "127.0.0.9", 1);
	EXPECT_TRUE(turn_until(
		[&] { return direct_config_version(refused.entry) == 4; },
		1500));
	EXPECT_TRUE(turn_until([&] {
		return Ask(refused.address, "a1", "/look/x").wait().status ==
		       200;
	}));
	plf_share_destroy(one);
	plf_share_destroy(two);
}

/* ---- the end ---- */

/* Found on a day of restarts: a request taken seconds after SIGTERM was cut
 * when the grace time ended. */
TEST(Direct, RefusesWhatCouldNotEndBeforeTheProcess)
{
	Rig rig;
	pe_upstream *slow = rig.add(PE_PLAIN, "plain");

	pe_set_work_ms(slow, 200);
	rig.settle();
	Ask before(rig.address, "a1", "/order/x");

	ASSERT_TRUE(
		turn_until([&] { return pe_runs(rig.platform, "a1") == 1; }));
	direct_drain(rig.entry);
	direct_refuse_new(rig.entry);
	Ask after(rig.address, "a2", "/order/x");

	EXPECT_EQ(after.wait().status, 503u);
	EXPECT_NE(after.retry_after, "");
	EXPECT_EQ(before.wait().status, 200u);
	EXPECT_EQ(pe_runs(rig.platform, "a2"), 0u);
}

} // namespace
