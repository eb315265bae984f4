/*
 * Upstreams that say of themselves in their answers that they leave, or that
 * they want nothing of an entry for a while.
 */
#include "fleet_rig.h"

namespace
{

const int64_t drain_ms = 2000;
const int64_t judged_ms = 1500;

struct Kind {
	const char *service;
	const char *target;
};

const Kind kinds[] = { { "plain", "/look/x" },
		       { "engine", "/once/x" },
		       { "engine", "/again/x" },
		       { "first", "/staged/x" } };

/* The reported day: an answer had told an entry that its engine leaves, and it
 * sent it more for ten seconds, until the list said so, too. */
TEST(SaidLeaving, GetsNothingNewThoughTheListNamesItReady)
{
	for (const Kind &kind : kinds) {
		Fleet fleet;
		pe_upstream *leaving = fleet.upstreams[kind.service][0];

		for (pe_upstream *upstream : fleet.upstreams[kind.service])
			pe_set_work_ms(upstream, 60);
		fleet.request_for(kind.target, 300);
		pe_say_leaving(leaving);
		fleet.request_for(kind.target, drain_ms + judged_ms);
		EXPECT_EQ(pe_late_arrivals(leaving), 0u) << kind.target;
		EXPECT_EQ(fleet.count(200), (int)fleet.requests.size())
			<< kind.target;
	}
}

/* A peer that places for others has had no such answer itself. */
TEST(SaidLeaving, IsKnownToAllEntriesAtOnce)
{
	Fleet fleet;
	pe_upstream *leaving = fleet.upstreams["engine"][0];
	uint32_t before;

	pe_say_leaving(leaving);
	fleet.request_for("/once/x", 300);
	before = pe_arrivals(leaving);
	EXPECT_GT(before, 0u);
	fleet.request_for("/once/x", 1000);
	EXPECT_EQ(pe_arrivals(leaving), before);
}

/* The list names it ready all the time, for as long as the service is away. */
TEST(SaidLeaving, IsKnownToAnEntryThatStarts)
{
	Fleet fleet;
	pe_upstream *leaving = fleet.upstreams["plain"][0];
	uint32_t before;

	pe_say_leaving(leaving);
	fleet.request_for("/look/x", 300);
	std::unique_ptr<Rig> late = fleet.start_late_entry();
	before = pe_arrivals(leaving);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(Ask(late->address, ("l" + std::to_string(i)).c_str(),
			      "/look/x")
				  .wait()
				  .status,
			  200u);
	EXPECT_EQ(pe_arrivals(leaving), before);
}

/* What runs there goes on, and is answered. */
TEST(SaidLeaving, WhatRunsThereIsAnswered)
{
	Rig rig;
	pe_upstream *only = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_set_work_ms(only, 300);
	Ask one(rig.address, "1", "/order/x");
	Ask two(rig.address, "2", "/order/x");
	ASSERT_TRUE(turn_until([&] { return pe_arrivals(only) == 2; }));
	pe_say_leaving(only);
	EXPECT_EQ(one.wait().status, 200u);
	EXPECT_EQ(two.wait().status, 200u);
}

/* Nobody is left: refused at once, and truthfully. */
TEST(SaidLeaving, WithoutAnotherItIsRefusedAtOnce)
{
	Rig rig;
	pe_upstream *only = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_say_leaving(only);
	EXPECT_EQ(Ask(rig.address, "1", "/order/x").wait().status, 200u);
	Ask refused(rig.address, "2", "/order/x");
	EXPECT_EQ(refused.wait().status, 503u);
	EXPECT_NE(refused.retry_after, "");
	EXPECT_LT(refused.took_us, 200 * LP_US_PER_MS);
	EXPECT_EQ(pe_runs(rig.platform, "2"), 0u);
}

/* It starts again under its id: what its life before said is over. */
TEST(SaidLeaving, EndsWithItsLife)
{
	Rig rig;
	pe_upstream *only = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_say_leaving(only);
	EXPECT_EQ(Ask(rig.address, "1", "/look/x").wait().status, 200u);
	EXPECT_EQ(Ask(rig.address, "2", "/look/x").wait().status, 503u);
	pe_restart_options how = {};
	pe_restart(only, &how);
	EXPECT_TRUE(turn_until([&] {
		return Ask(rig.address, "3", "/look/x").wait().status == 200;
	}));
}

/* Its entry lapses while the service is away and comes back as ready. */
TEST(SaidLeaving, OutlivesTheEntryInTheList)
{
	TestClock clock;
	pool *it = pool_create(&clock.clock, "a");
	char id[] = "1", service[] = "s", address[] = "1:1", domain[] = "a";
	pool_entry entry = { id, service, address, domain, 4, false, 7, 0 };

	pool_update(it, &entry, 1);
	EXPECT_TRUE(pool_heard_leaving(it, pool_find(it, "1")));
	EXPECT_FALSE(pool_heard_leaving(it, pool_find(it, "1")));
	pool_update(it, nullptr, 0);
	clock.now_us += 60 * LP_US_PER_S;
	pool_update(it, &entry, 1);
	EXPECT_FALSE(pool_is_open(pool_find(it, "1")));
	entry.born_ms = 8;
	pool_update(it, &entry, 1);
	EXPECT_TRUE(pool_is_open(pool_find(it, "1")));
	pool_destroy(it);
}

/* Another process has the address and says that it leaves: that is not about
 * the one that was asked. */
TEST(SaidLeaving, IsOnlyBelievedOfWhoSaysIt)
{
	Rig rig;
	direct_reply reply = {};

	reply.leaving = true;
	reply.is_ours = true;
	reply.other_process = true;
	direct_notices_options options = { rig.clock, rig.log, rig.counters,
					   pool_create(rig.clock, "a") };
	direct_notices *notices = direct_notices_create(&options);
	char id[] = "1", service[] = "s", address[] = "1:1", domain[] = "a";
	pool_entry entry = { id, service, address, domain, 4, false, 7, 0 };

	pool_update(options.pool, &entry, 1);
	pool_upstream *upstream = pool_find(options.pool, "1");
	direct_notices_hear(notices, upstream, &reply);
	EXPECT_FALSE(upstream->said_leaving);
	reply.other_process = false;
	reply.is_ours = false;
	direct_notices_hear(notices, upstream, &reply);
	EXPECT_FALSE(upstream->said_leaving);
	reply.is_ours = true;
	direct_notices_hear(notices, upstream, &reply);
	EXPECT_TRUE(upstream->said_leaving);
	direct_notices_destroy(notices);
	pool_destroy(options.pool);
}

/* ---- rest ---- */

const uint32_t rest_ms = 3000;

/* What has come meanwhile is under way, and not told yet. */
const int64_t told_ms = 500;

/* The reported day: engines that turned an entry away and asked it for three
 * seconds of rest got three to five more from it in that time; two may come. */
TEST(Rest, AnUpstreamThatAsksForItIsLeftAlone)
{
	for (const Kind &kind : kinds) {
		Fleet fleet;
		pe_upstream *resting = fleet.upstreams[kind.service][0];
		uint32_t before;

		for (pe_upstream *upstream : fleet.upstreams[kind.service])
			pe_set_work_ms(upstream, 60);
		pe_set_rest(resting, rest_ms);
		/* Each entry is told. */
		fleet.request_for(kind.target, told_ms);
		before = pe_arrivals(resting);
		EXPECT_GT(before, 0u) << kind.target;
		fleet.request_for(kind.target, rest_ms - told_ms - 200);
		EXPECT_LE(pe_arrivals(resting) - before, 2u) << kind.target;
		EXPECT_EQ(fleet.count(200), (int)fleet.requests.size())
			<< kind.target;
	}
}

/* It serves again, and gets work once its rest is over. */
TEST(Rest, IsOver)
{
	Rig rig;
	pe_upstream *only = rig.add(PE_PLAIN, "plain");
	gint64 told_us;

	rig.settle();
	pe_set_rest(only, 1000);
	EXPECT_EQ(Ask(rig.address, "1", "/look/x").wait().status, 503u);
	told_us = g_get_monotonic_time();
	pe_set_rest(only, 0);
	while (Ask(rig.address, "2", "/look/x").wait().status != 200 &&
	       g_get_monotonic_time() - told_us < 5 * LP_US_PER_S)
		;
	EXPECT_EQ(pe_arrivals(only), 2u);
	EXPECT_GE(g_get_monotonic_time() - told_us, 900 * LP_US_PER_MS);
	EXPECT_LE(g_get_monotonic_time() - told_us, 1500 * LP_US_PER_MS);
}

/* All rest: refused at once, and back when the first of them is asked again. */
TEST(Rest, WhatNobodyMayTakeIsRefusedAtOnce)
{
	for (const char *target : { "/order/x", "/once/x" }) {
		Rig rig;
		pe_upstream *both[] = { rig.add(PE_PLAIN, "plain"),
					rig.add(PE_PLAIN, "plain"),
					rig.add(PE_ENGINE, "engine"),
					rig.add(PE_ENGINE, "engine") };
		uint32_t before = 0;

		rig.settle();
		pe_set_rest(both[0], 2000);
		pe_set_rest(both[1], 5000);
		pe_set_rest(both[2], 2000);
		pe_set_rest(both[3], 5000);
		Ask(rig.address, "1", target).wait();
		Ask(rig.address, "2", target).wait();
		for (pe_upstream *upstream : both)
			before += pe_arrivals(upstream);
		for (int i = 0; i < 5; i++) {
			Ask ask(rig.address, ("r" + std::to_string(i)).c_str(),
				target);

			EXPECT_EQ(ask.wait().status, 503u) << target;
			EXPECT_LT(ask.took_us, 200 * LP_US_PER_MS) << target;
			EXPECT_GT(atof(ask.retry_after.c_str()), 1.0) << target;
			EXPECT_LE(atof(ask.retry_after.c_str()), 2.0) << target;
		}
		for (pe_upstream *upstream : both)
			before -= pe_arrivals(upstream);
		EXPECT_EQ(before, 0u) << target;
	}
}

/* The longer of two counts, and its entry in the list may lapse meanwhile. */
TEST(Rest, OutlivesTheEntryInTheList)
{
	TestClock clock;
	pool *it = pool_create(&clock.clock, "a");
	char id[] = "1", service[] = "s", address[] = "1:1", domain[] = "a";
	pool_entry entry = { id, service, address, domain, 4, false, 7, 0 };

	pool_update(it, &entry, 1);
	pool_heard_rest(it, pool_find(it, "1"), 3 * LP_US_PER_S);
	pool_heard_rest(it, pool_find(it, "1"), 1 * LP_US_PER_S);
	pool_update(it, nullptr, 0);
	clock.now_us += 2 * LP_US_PER_S;
	pool_update(it, &entry, 1);
	EXPECT_FALSE(pool_usable(it, pool_find(it, "1")));
	clock.now_us += 1 * LP_US_PER_S;
	EXPECT_TRUE(pool_usable(it, pool_find(it, "1")));
	pool_destroy(it);
}

} // namespace
