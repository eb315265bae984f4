/*
 * Drain notices and pushback (Retry-After) in the answers of upstreams.
 */
#include "fleet_rig.h"

namespace
{

const int64_t drain_ms = 2000;
const int64_t observed_ms = 1500;

struct RequestKind {
	const char *service;
	const char *target;
};

const RequestKind kinds[] = { { "plain", "/look/x" },
			      { "engine", "/once/x" },
			      { "engine", "/again/x" },
			      { "first", "/staged/x" } };

/* Guards against requests to an engine after its drain notice: an entry kept
 * sending them for ten seconds, until the list of upstreams had it as draining.
 */
TEST(DrainNotice, StopsNewRequestsBeforeTheListIsUpdated)
{
	for (const RequestKind &kind : kinds) {
		Fleet fleet;
		pe_upstream *draining = fleet.upstreams[kind.service][0];

		for (pe_upstream *upstream : fleet.upstreams[kind.service])
			pe_set_work_ms(upstream, 60);
		fleet.request_for(kind.target, 300);
		pe_say_leaving(draining);
		fleet.request_for(kind.target, drain_ms + observed_ms);
		EXPECT_EQ(pe_late_arrivals(draining), 0u) << kind.target;
		EXPECT_EQ(fleet.count(200), (int)fleet.requests.size())
			<< kind.target;
	}
}

/* A peer that places prompts for others may have received no such answer
 * itself. */
TEST(DrainNotice, ReachesAllEntriesAtOnce)
{
	Fleet fleet;
	pe_upstream *draining = fleet.upstreams["engine"][0];
	uint32_t before;

	pe_say_leaving(draining);
	fleet.request_for("/once/x", 300);
	before = pe_arrivals(draining);
	EXPECT_GT(before, 0u);
	fleet.request_for("/once/x", 1000);
	EXPECT_EQ(pe_arrivals(draining), before);
}

/* The list still has the upstream as ready, as during an outage of the service.
 */
TEST(DrainNotice, ReachesEntriesThatStartLater)
{
	Fleet fleet;
	pe_upstream *draining = fleet.upstreams["plain"][0];
	uint32_t before;

	pe_say_leaving(draining);
	fleet.request_for("/look/x", 300);
	std::unique_ptr<Rig> started_later = fleet.start_late_entry();
	before = pe_arrivals(draining);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(CallerRequest(started_later->address,
					("l" + std::to_string(i)).c_str(),
					"/look/x")
				  .wait()
				  .status,
			  200u);
	EXPECT_EQ(pe_arrivals(draining), before);
}

/* Requests that run at a draining upstream are completed. */
TEST(DrainNotice, RunningRequestsAreAnswered)
{
	Rig rig;
	pe_upstream *only = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_set_work_ms(only, 300);
	CallerRequest first(rig.address, "1", "/order/x");
	CallerRequest second(rig.address, "2", "/order/x");
	ASSERT_TRUE(run_loop_until([&] { return pe_arrivals(only) == 2; }));
	pe_say_leaving(only);
	EXPECT_EQ(first.wait().status, 200u);
	EXPECT_EQ(second.wait().status, 200u);
}

/* Without another upstream a request is refused at once, as not run. */
TEST(DrainNotice, RequestsAreRefusedWithoutAnotherUpstream)
{
	Rig rig;
	pe_upstream *only = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_say_leaving(only);
	EXPECT_EQ(CallerRequest(rig.address, "1", "/order/x").wait().status,
		  200u);
	CallerRequest refused(rig.address, "2", "/order/x");
	EXPECT_EQ(refused.wait().status, 503u);
	EXPECT_NE(refused.retry_after, "");
	EXPECT_LT(refused.took_us, 200 * LP_US_PER_MS);
	EXPECT_EQ(pe_runs(rig.platform, "2"), 0u);
}

/* The upstream restarts under its id: a notice of the incarnation before no
 * longer applies. */
TEST(DrainNotice, EndsWithTheIncarnation)
{
	Rig rig;
	pe_upstream *only = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_say_leaving(only);
	EXPECT_EQ(CallerRequest(rig.address, "1", "/look/x").wait().status,
		  200u);
	EXPECT_EQ(CallerRequest(rig.address, "2", "/look/x").wait().status,
		  503u);
	pe_restart_options options = {};
	pe_restart(only, &options);
	EXPECT_TRUE(run_loop_until([&] {
		return CallerRequest(rig.address, "3", "/look/x")
			       .wait()
			       .status == 200;
	}));
}

/* The upstream's record in the list expires during an outage of the service and
 * returns as ready. */
TEST(DrainNotice, OutlastsRemovalFromTheList)
{
	TestClock clock;
	pool *upstreams = pool_create(&clock.clock, "a");
	char id[] = "1", service[] = "s", address[] = "1:1", domain[] = "a";
	pool_upstream_info info = { id,	   service, address, domain, 4,
				    false, 7,	    0,	     nullptr };

	pool_update(upstreams, &info, 1);
	EXPECT_TRUE(
		pool_note_drain_notice(upstreams, pool_find(upstreams, "1")));
	EXPECT_FALSE(
		pool_note_drain_notice(upstreams, pool_find(upstreams, "1")));
	pool_update(upstreams, nullptr, 0);
	clock.now_us += 60 * LP_US_PER_S;
	pool_update(upstreams, &info, 1);
	EXPECT_FALSE(pool_is_eligible(pool_find(upstreams, "1")));
	info.born_ms = 8;
	pool_update(upstreams, &info, 1);
	EXPECT_TRUE(pool_is_eligible(pool_find(upstreams, "1")));
	pool_destroy(upstreams);
}

/* A drain notice of another process at the same address, or in an answer to
 * another request, does not concern the upstream that was called. */
TEST(DrainNotice, OfAnotherProcessIsIgnored)
{
	Rig rig;
	direct_reply reply = {};

	reply.draining = true;
	reply.matches_request = true;
	reply.other_process = true;
	direct_notices_options options = { rig.clock, rig.log, rig.counters,
					   pool_create(rig.clock, "a") };
	direct_notices *notices = direct_notices_create(&options);
	char id[] = "1", service[] = "s", address[] = "1:1", domain[] = "a";
	pool_upstream_info info = { id,	   service, address, domain, 4,
				    false, 7,	    0,	     nullptr };

	pool_update(options.pool, &info, 1);
	pool_upstream *upstream = pool_find(options.pool, "1");
	direct_notices_receive(notices, upstream, &reply);
	EXPECT_FALSE(upstream->drain_notice);
	reply.other_process = false;
	reply.matches_request = false;
	direct_notices_receive(notices, upstream, &reply);
	EXPECT_FALSE(upstream->drain_notice);
	reply.matches_request = true;
	direct_notices_receive(notices, upstream, &reply);
	EXPECT_TRUE(upstream->drain_notice);
	direct_notices_destroy(notices);
	pool_destroy(options.pool);
}

/* ---- pushback ---- */

const uint32_t pushback_ms = 3000;

/* Requests of this first period may be on their way when the first pushback
 * arrives, so they are not counted. */
const int64_t learning_ms = 500;

/* Guards against requests during pushback: engines that pushed back on an
 * entry for three seconds got three to five more requests from it in that time;
 * at most two are allowed. */
TEST(Pushback, StopsRequestsForItsPeriod)
{
	for (const RequestKind &kind : kinds) {
		Fleet fleet;
		pe_upstream *pushing_back = fleet.upstreams[kind.service][0];
		uint32_t before;

		for (pe_upstream *upstream : fleet.upstreams[kind.service])
			pe_set_work_ms(upstream, 60);
		pe_set_rest(pushing_back, pushback_ms);
		/* Each entry receives a pushback. */
		fleet.request_for(kind.target, learning_ms);
		before = pe_arrivals(pushing_back);
		EXPECT_GT(before, 0u) << kind.target;
		fleet.request_for(kind.target, pushback_ms - learning_ms - 200);
		EXPECT_LE(pe_arrivals(pushing_back) - before, 2u)
			<< kind.target;
		EXPECT_EQ(fleet.count(200), (int)fleet.requests.size())
			<< kind.target;
	}
}

/* The upstream accepts requests again and gets them once its pushback is over.
 */
TEST(Pushback, EndsAfterItsPeriod)
{
	Rig rig;
	pe_upstream *only = rig.add(PE_PLAIN, "plain");
	gint64 refused_us;

	rig.settle();
	pe_set_rest(only, 1000);
	EXPECT_EQ(CallerRequest(rig.address, "1", "/look/x").wait().status,
		  503u);
	refused_us = g_get_monotonic_time();
	pe_set_rest(only, 0);
	while (CallerRequest(rig.address, "2", "/look/x").wait().status !=
		       200 &&
	       g_get_monotonic_time() - refused_us < 5 * LP_US_PER_S)
		;
	EXPECT_EQ(pe_arrivals(only), 2u);
	EXPECT_GE(g_get_monotonic_time() - refused_us, 900 * LP_US_PER_MS);
	EXPECT_LE(g_get_monotonic_time() - refused_us, 1500 * LP_US_PER_MS);
}

/* All upstreams push back: requests are refused at once, with a Retry-After
 * until the first of them may be used again. */
TEST(Pushback, OfAllUpstreamsRefusesWithRetryAfter)
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
		CallerRequest(rig.address, "1", target).wait();
		CallerRequest(rig.address, "2", target).wait();
		for (pe_upstream *upstream : both)
			before += pe_arrivals(upstream);
		for (int i = 0; i < 5; i++) {
			CallerRequest request(rig.address,
					      ("r" + std::to_string(i)).c_str(),
					      target);

			EXPECT_EQ(request.wait().status, 503u) << target;
			EXPECT_LT(request.took_us, 200 * LP_US_PER_MS)
				<< target;
			EXPECT_GT(atof(request.retry_after.c_str()), 1.0)
				<< target;
			EXPECT_LE(atof(request.retry_after.c_str()), 2.0)
				<< target;
		}
		for (pe_upstream *upstream : both)
			before -= pe_arrivals(upstream);
		EXPECT_EQ(before, 0u) << target;
	}
}

/* The longer of two pushbacks holds, and it outlasts the expiry of the
 * upstream's record in the list. */
TEST(Pushback, OutlastsRemovalFromTheList)
{
	TestClock clock;
	pool *upstreams = pool_create(&clock.clock, "a");
	char id[] = "1", service[] = "s", address[] = "1:1", domain[] = "a";
	pool_upstream_info info = { id,	   service, address, domain, 4,
				    false, 7,	    0,	     nullptr };

	pool_update(upstreams, &info, 1);
	pool_note_pushback(upstreams, pool_find(upstreams, "1"),
			   3 * LP_US_PER_S);
	pool_note_pushback(upstreams, pool_find(upstreams, "1"),
			   1 * LP_US_PER_S);
	pool_update(upstreams, nullptr, 0);
	clock.now_us += 2 * LP_US_PER_S;
	pool_update(upstreams, &info, 1);
	EXPECT_FALSE(pool_is_available(upstreams, pool_find(upstreams, "1")));
	clock.now_us += 1 * LP_US_PER_S;
	EXPECT_TRUE(pool_is_available(upstreams, pool_find(upstreams, "1")));
	pool_destroy(upstreams);
}

} // namespace
