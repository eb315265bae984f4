/*
 * Rate limits that upstreams advertise in their answers: requests a second from
 * all entries together. The emulator records violations.
 */
#include "fleet_rig.h"

namespace
{

/* A limit is checked from three seconds after it was advertised, over any four
 * seconds. */
const int64_t until_judged_ms = 3000 + 4000 + 500;

/* Engines that advertised one request a second got thirteen in four seconds,
 * although all entries knew the limit. */
TEST(AdvertisedRateLimit, FleetStaysWithinLimitOfEngine)
{
	Fleet fleet;

	pe_set_limit(fleet.upstreams["engine"][0], 1);
	fleet.request_for("/once/x", until_judged_ms);
	EXPECT_EQ(fleet.count(200), (int)fleet.requests.size());
}

/* A plain service has no owner: each entry selects upstreams by itself. */
TEST(AdvertisedRateLimit, FleetStaysWithinLimitOfPlainUpstream)
{
	Fleet fleet;

	pe_set_limit(fleet.upstreams["plain"][0], 1);
	fleet.request_for("/look/x", until_judged_ms);
	EXPECT_EQ(fleet.count(200), (int)fleet.requests.size());
}

/* Memory queries and requests to free results count towards the limit, too. */
TEST(AdvertisedRateLimit, FleetStaysWithinLimitOfStage)
{
	Fleet fleet;

	/* So long that calls go to both upstreams. */
	for (pe_upstream *upstream : fleet.upstreams["first"])
		pe_set_work_ms(upstream, 150);
	pe_set_limit(fleet.upstreams["first"][0], 1);
	fleet.request_for("/staged/x", until_judged_ms);
	EXPECT_EQ(fleet.count(200), (int)fleet.requests.size());
}

/* Requests that the limit permits are sent; otherwise callers would wait in
 * vain. */
TEST(AdvertisedRateLimit, IsUsedToItsExtent)
{
	Fleet fleet;
	pe_upstream *limited = fleet.upstreams["engine"][0];
	uint32_t before;

	pe_set_limit(limited, 5);
	pe_set_limit(fleet.upstreams["engine"][1], 5);
	fleet.request_for("/once/x", 1000);
	before = pe_arrivals(limited);
	fleet.request_for("/once/x", 4000);
	EXPECT_GE(pe_arrivals(limited) - before, 10u);
	EXPECT_LE(pe_arrivals(limited) - before, 21u);
}

/* All upstreams are at their limits: the request is refused at once, not
 * executed, and gets a Retry-After time at which an upstream may take it. */
TEST(AdvertisedRateLimit, RequestIsRefusedAtOnceIfAllAreAtLimit)
{
	for (const char *target : { "/once/x", "/order/x" }) {
		Fleet fleet;
		const char *service =
			strstr(target, "once") ? "engine" : "plain";
		int refused = 0;

		for (pe_upstream *upstream : fleet.upstreams[service])
			pe_set_limit(upstream, 1);
		fleet.request_for(target, 2000);
		for (auto &request : fleet.requests) {
			if (request->wait().status == 200)
				continue;
			double after = atof(request->retry_after.c_str());

			refused++;
			EXPECT_EQ(request->status, 503u);
			EXPECT_GT(after, 0);
			EXPECT_LT(after, 60);
			EXPECT_LT(request->took_us, 300 * LP_US_PER_MS);
		}
		EXPECT_GT(refused, (int)fleet.requests.size() / 2);
	}
}

/* The first answer without a limit withdraws it. */
TEST(AdvertisedRateLimit, WithdrawalReachesAllEntries)
{
	for (const char *service : { "engine", "plain" }) {
		Fleet fleet;
		pe_upstream *limited = fleet.upstreams[service][0];
		const char *target =
			strcmp(service, "engine") ? "/look/x" : "/once/x";
		uint32_t before;

		pe_set_limit(limited, 2);
		fleet.request_for(target, 1500);
		pe_set_limit(limited, -1);
		fleet.request_for(target, 4000);
		before = pe_arrivals(limited);
		fleet.request_for(target, 2000);
		EXPECT_GE(pe_arrivals(limited) - before, 15u) << service;
	}
}

/* A new entry learns the limit at first contact with the others, before any
 * answer. */
TEST(AdvertisedRateLimit, NewEntryStaysWithinLimit)
{
	Fleet fleet;
	pe_upstream *limited = fleet.upstreams["plain"][0];
	uint32_t before;

	pe_set_limit(limited, 0);
	fleet.request_for("/look/x", 1000);
	std::unique_ptr<Rig> late = fleet.start_late_entry();
	before = pe_arrivals(limited);
	for (int i = 0; i < 40; i++)
		EXPECT_EQ(CallerRequest(late->address,
					("l" + std::to_string(i)).c_str(),
					"/look/x")
				  .wait()
				  .status,
			  200u);
	EXPECT_LE(pe_arrivals(limited) - before, 1u);
}

/* The upstream's entry expires while the key-value service is unavailable, and
 * returns. */
TEST(AdvertisedRateLimit, IsKeptWhileUpstreamIsUnlisted)
{
	TestClock clock;
	pool *c_pool = pool_create(&clock.clock, "a");
	char id[] = "1", service[] = "s", address[] = "1:1", domain[] = "a";
	pool_upstream_info info = { id,	   service, address, domain, 4,
				    false, 7,	    0,	     nullptr };
	rate_limit_report report = { true, 1, 5 };

	pool_update(c_pool, &info, 1);
	EXPECT_TRUE(
		pool_note_rate_limit(c_pool, pool_find(c_pool, "1"), &report));
	pool_update(c_pool, nullptr, 0);
	pool_update(c_pool, &info, 1);
	EXPECT_TRUE(pool_find(c_pool, "1")->rate_limit.advertised);
	/* The next incarnation has not advertised a limit. */
	info.born_ms = 8;
	pool_update(c_pool, &info, 1);
	EXPECT_FALSE(pool_find(c_pool, "1")->rate_limit.advertised);
	pool_destroy(c_pool);
}

/* ---- policy modules without an entry ---- */

const int64_t ms = LP_US_PER_MS;

TEST(RateLimit, NewestAnswerDecides)
{
	rate_limit limit = {};
	rate_limit_report advertised = { true, 2, 100 };
	rate_limit_report none = { false, 0, 200 };

	EXPECT_TRUE(rate_limit_update(&limit, &advertised));
	EXPECT_FALSE(rate_limit_update(&limit, &advertised));
	EXPECT_TRUE(rate_limit_update(&limit, &none));
	/* Received late, from another entry. */
	EXPECT_FALSE(rate_limit_update(&limit, &advertised));
	EXPECT_FALSE(limit.advertised);
	advertised.answered_us = 300;
	EXPECT_TRUE(rate_limit_update(&limit, &advertised));
	EXPECT_TRUE(limit.advertised);
}

TEST(RateLimit, IsBroadcastWhileAdvertisedAndForSomeTimeAfter)
{
	rate_limit limit = {};
	rate_limit_report report = { true, 2, 1000 * ms };

	EXPECT_FALSE(rate_limit_needs_broadcast(&limit, 9000 * ms));
	rate_limit_update(&limit, &report);
	limit.broadcast_us = 1000 * ms;
	EXPECT_FALSE(rate_limit_needs_broadcast(&limit, 1900 * ms));
	EXPECT_TRUE(rate_limit_needs_broadcast(&limit, 2000 * ms));
	report = { false, 0, 3000 * ms };
	rate_limit_update(&limit, &report);
	EXPECT_TRUE(rate_limit_needs_broadcast(&limit, 7000 * ms));
	EXPECT_FALSE(rate_limit_needs_broadcast(&limit, 8000 * ms));
}

/* Some requests are sent even under a limit of zero, as their answers are the
 * only way to learn of its withdrawal. */
TEST(RateLimit, ZeroLimitStillPermitsSomeRequests)
{
	rate_limit limit = { true, 0, 1, 0, 0, 0 };
	rate_limit_share share = { RATE_LIMIT_OWNER_FRACTION, 0, 0 };
	int64_t now_us = 1;

	rate_limit_note_sent(&limit, now_us);
	now_us += rate_limit_wait_us(&limit, &share, now_us) + ms;
	EXPECT_EQ(rate_limit_wait_us(&limit, &share, now_us), 0);
	EXPECT_LT(now_us, 10 * LP_US_PER_S);
}

/* An entry of a fleet, with its view of the fleet; sends whenever permitted. */
struct FleetEntry {
	rate_limit limit = {};
	rate_limit_fleet view = {};
	double phase = 0;
	double demand = 1; /* probability of a request in a step */
};

const int64_t step_us = 4 * ms;

/* Most requests that arrive at one upstream within any four seconds. */
uint32_t most_in_four_seconds(std::vector<FleetEntry> &entries, double per_s,
			      GRand *random,
			      const std::function<void(int64_t)> &change)
{
	std::vector<int64_t> sent;
	size_t first = 0;
	uint32_t most = 0;

	for (FleetEntry &entry : entries) {
		entry.limit = { true, per_s, 1, 0, 0, 0 };
		entry.phase = g_rand_double(random);
	}
	for (int64_t at = 0; at < 36 * LP_US_PER_S; at += step_us) {
		change(at);
		for (FleetEntry &entry : entries) {
			rate_limit_share share =
				rate_limit_find_share(&entry.view);

			share.phase = entry.phase;
			if (g_rand_double(random) >= entry.demand ||
			    rate_limit_wait_us(&entry.limit, &share, at + 1))
				continue;
			rate_limit_note_sent(&entry.limit, at + 1);
			sent.push_back(at);
		}
		while (first < sent.size() &&
		       sent[first] <= at - 4 * LP_US_PER_S)
			first++;
		most = MAX(most, (uint32_t)(sent.size() - first));
	}
	return most;
}

const struct {
	uint32_t entries;
	double per_s;
} fleets[] = { { 1, 1 },  { 2, 3 },   { 5, 1 },	   { 5, 5 },
	       { 30, 1 }, { 30, 20 }, { 300, 10 }, { 300, 60 } };

/* Bound of the platform over four seconds. */
double bound(double per_s)
{
	return 1.5 * per_s * 4 + 5;
}

/* Without an owner each entry has its fraction. Entries have a request in every
 * step, or rarely and so may have saved a slot. */
TEST(RateLimit, EntriesWithoutOwnerStayWithinLimit)
{
	/* Seed 34: with 30 entries, slots valid for 2 s and nine tenths of a
	 * limit of 1, 13 requests were sent. */
	for (const auto &row : fleets)
		for (uint32_t seed : { 1, 2, 3, 34 })
			for (double demand : { 1.0, 0.004 }) {
				g_autoptr(GRand) random =
					g_rand_new_with_seed(seed);
				std::vector<FleetEntry> fleet(row.entries);

				for (FleetEntry &entry : fleet) {
					entry.view.known_entries = row.entries;
					entry.view.reachable_entries =
						row.entries;
					entry.demand = demand;
				}
				EXPECT_LE(most_in_four_seconds(fleet, row.per_s,
							       random,
							       [](int64_t) {}),
					  bound(row.per_s))
					<< row.entries << " entries, seed "
					<< seed;
			}
}

/* The fleet is partitioned in two repeatedly, at random places. The owner is on
 * one side. The other side notices after a while and gets its own owner. When
 * the partition ends, both act as owners for a moment. */
TEST(RateLimit, PartitionedEntriesStayWithinLimit)
{
	const int64_t notice_us = 3500 * ms;

	for (const auto &row : fleets)
		for (uint32_t seed = 1; seed <= 10; seed++) {
			g_autoptr(GRand) random = g_rand_new_with_seed(seed);
			std::vector<FleetEntry> fleet(row.entries);
			uint32_t last_near = 0;
			int64_t cut_us = 0;
			int64_t owner_since[2] = { -60 * LP_US_PER_S, 0 };
			bool cut = false;
			uint32_t most;

			most = most_in_four_seconds(
				fleet, row.per_s, random, [&](int64_t at) {
					if (at % (9 * LP_US_PER_S) == 0) {
						cut = !cut;
						cut_us = at;
						if (cut)
							last_near = (uint32_t)g_rand_int_range(
								random, 0,
								(gint32)row
									.entries);
					}
					bool noticed =
						cut && at - cut_us >= notice_us;

					/* The other side may get its owner at
					 * once. */
					if (cut && at == cut_us)
						owner_since[1] = at;
					for (uint32_t i = 0; i < row.entries;
					     i++) {
						rate_limit_fleet &view =
							fleet[i].view;
						/* The first entry is the owner,
						 * on the side of the entries up
						 * to `last_near`. */
						bool far = i > last_near;

						view.known_entries =
							row.entries;
						view.has_owner = true;
						view.reachable_entries =
							!noticed ? row.entries
							: far	 ? row.entries -
									last_near -
									1
							      : last_near + 1;
						view.is_owner =
							i == 0 ||
							(cut &&
							 i == last_near + 1);
						view.owner_for_us =
							at -
							owner_since[far ? 1
									: 0];
					}
				});
			EXPECT_LE(most, bound(row.per_s))
				<< row.entries << " entries, seed " << seed;
		}
}

/* An entry that has just started knows only the entries in its settings. */
TEST(RateLimit, StartingEntriesStayWithinLimitBeforeDiscovery)
{
	const uint32_t configured = 3;

	for (uint32_t seed = 1; seed <= 10; seed++) {
		g_autoptr(GRand) random = g_rand_new_with_seed(seed);
		std::vector<FleetEntry> fleet(5);
		uint32_t most =
			most_in_four_seconds(fleet, 1, random, [&](int64_t at) {
				for (uint32_t i = 0; i < fleet.size(); i++) {
					bool discovered = at >= 700 * ms;
					rate_limit_fleet &view = fleet[i].view;

					view.known_entries =
						discovered ? 5 : configured;
					view.reachable_entries =
						discovered ? 5 : 1;
					view.has_owner = true;
					view.is_owner = !discovered || i == 0;
					view.owner_for_us = at;
				}
			});

		EXPECT_LE(most, bound(1)) << "seed " << seed;
	}
}

TEST(RetrySchedule, StaggersRetries)
{
	retry_schedule schedule = {};

	EXPECT_EQ(retry_schedule_next_us(&schedule, 100 * ms, 4, 0), 100 * ms);
	EXPECT_EQ(retry_schedule_next_us(&schedule, 100 * ms, 4, 0), 350 * ms);
	EXPECT_EQ(retry_schedule_next_us(&schedule, 40 * ms, 4, 60 * ms),
		  540 * ms);
	/* No retry time is more than two seconds after the first. */
	for (int i = 0; i < 20; i++)
		EXPECT_LE(
			retry_schedule_next_us(&schedule, 100 * ms, 4, 60 * ms),
			2100 * ms);
	/* Retry times in the past do not delay later ones. */
	EXPECT_EQ(retry_schedule_next_us(&schedule, 100 * ms, 4, 9000 * ms),
		  100 * ms);
}

} // namespace
