/*
 * Limits that upstreams name in their answers: requests a second that they take
 * of all entries together. The emulator writes down who does not keep to them.
 */
#include "fleet_rig.h"

namespace
{

/* A limit holds three seconds after it was named, over any four. */
const int64_t until_judged_ms = 3000 + 4000 + 500;

/* The reported day: engines that had named one request a second got thirteen in
 * four seconds, though all entries had been told. */
TEST(NamedLimit, AFleetKeepsToThatOfAnEngine)
{
	Fleet fleet;

	pe_set_limit(fleet.upstreams["engine"][0], 1);
	fleet.request_for("/once/x", until_judged_ms);
	EXPECT_EQ(fleet.count(200), (int)fleet.requests.size());
}

/* Nobody places for a plain service: each entry chooses for itself. */
TEST(NamedLimit, AFleetKeepsToThatOfAPlainUpstream)
{
	Fleet fleet;

	pe_set_limit(fleet.upstreams["plain"][0], 1);
	fleet.request_for("/look/x", until_judged_ms);
	EXPECT_EQ(fleet.count(200), (int)fleet.requests.size());
}

/* Calls of pieces, questions and results that are given up count, too. */
TEST(NamedLimit, AFleetKeepsToThatOfAStage)
{
	Fleet fleet;

	/* Long enough that calls go to both. */
	for (pe_upstream *upstream : fleet.upstreams["first"])
		pe_set_work_ms(upstream, 150);
	pe_set_limit(fleet.upstreams["first"][0], 1);
	fleet.request_for("/staged/x", until_judged_ms);
	EXPECT_EQ(fleet.count(200), (int)fleet.requests.size());
}

/* What a limit leaves is used: those that call it may have to wait else. */
TEST(NamedLimit, IsUsed)
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

/* Nobody may take it: refused at once, not run, with a time at which one may.
 */
TEST(NamedLimit, WhatNobodyMayTakeIsRefusedAtOnce)
{
	for (const char *target : { "/once/x", "/order/x" }) {
		Fleet fleet;
		const char *service =
			strstr(target, "once") ? "engine" : "plain";
		int refused = 0;

		for (pe_upstream *upstream : fleet.upstreams[service])
			pe_set_limit(upstream, 1);
		fleet.request_for(target, 2000);
		for (auto &ask : fleet.requests) {
			if (ask->wait().status == 200)
				continue;
			double after = atof(ask->retry_after.c_str());

			refused++;
			EXPECT_EQ(ask->status, 503u);
			EXPECT_GT(after, 0);
			EXPECT_LT(after, 60);
			EXPECT_LT(ask->took_us, 300 * LP_US_PER_MS);
		}
		EXPECT_GT(refused, (int)fleet.requests.size() / 2);
	}
}

/* It ends with the first answer that names none. */
TEST(NamedLimit, EndsForAllEntriesWhenItIsNotNamedAnyMore)
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

/* It hears of the limit when it meets the others, before any answer. */
TEST(NamedLimit, AnEntryThatStartsKeepsToIt)
{
	Fleet fleet;
	pe_upstream *limited = fleet.upstreams["plain"][0];
	uint32_t before;

	pe_set_limit(limited, 0);
	fleet.request_for("/look/x", 1000);
	std::unique_ptr<Rig> late = fleet.start_late_entry();
	before = pe_arrivals(limited);
	for (int i = 0; i < 40; i++)
		EXPECT_EQ(Ask(late->address, ("l" + std::to_string(i)).c_str(),
			      "/look/x")
				  .wait()
				  .status,
			  200u);
	EXPECT_LE(pe_arrivals(limited) - before, 1u);
}

/* It lapses in the list while the service is away, and is back. */
TEST(NamedLimit, OutlivesTheEntryInTheList)
{
	TestClock clock;
	pool *it = pool_create(&clock.clock, "a");
	char id[] = "1", service[] = "s", address[] = "1:1", domain[] = "a";
	pool_entry entry = { id, service, address, domain, 4, false, 7, 0 };
	rate_limit_word word = { true, 1, 5 };

	pool_update(it, &entry, 1);
	EXPECT_TRUE(pool_heard_limit(it, pool_find(it, "1"), &word));
	pool_update(it, nullptr, 0);
	pool_update(it, &entry, 1);
	EXPECT_TRUE(pool_find(it, "1")->limit.named);
	/* Its next life has named none. */
	entry.born_ms = 8;
	pool_update(it, &entry, 1);
	EXPECT_FALSE(pool_find(it, "1")->limit.named);
	pool_destroy(it);
}

/* ---- the decisions by themselves ---- */

const int64_t ms = LP_US_PER_MS;

TEST(RateLimit, TheNewestAnswerCounts)
{
	rate_limit limit = {};
	rate_limit_word named = { true, 2, 100 };
	rate_limit_word none = { false, 0, 200 };

	EXPECT_TRUE(rate_limit_hear(&limit, &named));
	EXPECT_FALSE(rate_limit_hear(&limit, &named));
	EXPECT_TRUE(rate_limit_hear(&limit, &none));
	/* Heard late, from another entry. */
	EXPECT_FALSE(rate_limit_hear(&limit, &named));
	EXPECT_FALSE(limit.named);
	named.heard_us = 300;
	EXPECT_TRUE(rate_limit_hear(&limit, &named));
	EXPECT_TRUE(limit.named);
}

TEST(RateLimit, IsToldAgainWhileItHoldsAndAWhileAfter)
{
	rate_limit limit = {};
	rate_limit_word word = { true, 2, 1000 * ms };

	EXPECT_FALSE(rate_limit_is_to_be_told(&limit, 9000 * ms));
	rate_limit_hear(&limit, &word);
	limit.told_us = 1000 * ms;
	EXPECT_FALSE(rate_limit_is_to_be_told(&limit, 1900 * ms));
	EXPECT_TRUE(rate_limit_is_to_be_told(&limit, 2000 * ms));
	word = { false, 0, 3000 * ms };
	rate_limit_hear(&limit, &word);
	EXPECT_TRUE(rate_limit_is_to_be_told(&limit, 7000 * ms));
	EXPECT_FALSE(rate_limit_is_to_be_told(&limit, 8000 * ms));
}

/* Even one that takes nothing is asked now and then, or its end is not heard.
 */
TEST(RateLimit, NoneIsGivenUp)
{
	rate_limit limit = { true, 0, 1, 0, 0, 0 };
	rate_limit_share share = { RATE_LIMIT_OWNER, 0, 0 };
	int64_t now_us = 1;

	rate_limit_sent(&limit, now_us);
	now_us += rate_limit_wait_us(&limit, &share, now_us) + ms;
	EXPECT_EQ(rate_limit_wait_us(&limit, &share, now_us), 0);
	EXPECT_LT(now_us, 10 * LP_US_PER_S);
}

/* One of a fleet: its own view of it, sending whenever it may. */
struct Member {
	rate_limit limit = {};
	rate_limit_fleet view = {};
	double phase = 0;
	double demand = 1; /* part of the steps in which it has a request */
};

const int64_t step_us = 4 * ms;

/* The most that arrive in any four seconds at one upstream. */
uint32_t most_in_span(std::vector<Member> &members, double per_s, GRand *random,
		      const std::function<void(int64_t)> &change)
{
	std::vector<int64_t> sent;
	size_t first = 0;
	uint32_t most = 0;

	for (Member &member : members) {
		member.limit = { true, per_s, 1, 0, 0, 0 };
		member.phase = g_rand_double(random);
	}
	for (int64_t at = 0; at < 36 * LP_US_PER_S; at += step_us) {
		change(at);
		for (Member &member : members) {
			rate_limit_share share =
				rate_limit_find_share(&member.view);

			share.phase = member.phase;
			if (g_rand_double(random) >= member.demand ||
			    rate_limit_wait_us(&member.limit, &share, at + 1))
				continue;
			rate_limit_sent(&member.limit, at + 1);
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

/* The platform's bound. */
double bound(double per_s)
{
	return 1.5 * per_s * 4 + 5;
}

/* Where nobody places, each has its part; they are busy, or have saved up. */
TEST(RateLimit, EntriesThatAllSendKeepToItTogether)
{
	/* 34: of 30 entries, slots of 2 s for nine tenths of a limit of 1 let
	 * 13 in. */
	for (const auto &row : fleets)
		for (uint32_t seed : { 1, 2, 3, 34 })
			for (double demand : { 1.0, 0.004 }) {
				g_autoptr(GRand) random =
					g_rand_new_with_seed(seed);
				std::vector<Member> fleet(row.entries);

				for (Member &member : fleet) {
					member.view.known = row.entries;
					member.view.heard = row.entries;
					member.demand = demand;
				}
				EXPECT_LE(most_in_span(fleet, row.per_s, random,
						       [](int64_t) {}),
					  bound(row.per_s))
					<< row.entries << " entries, seed "
					<< seed;
			}
}

/* Cut in two, again and again, at any place: the owner is on one side; the
 * other one notices after a while and has an owner of its own, then they meet
 * again, and both think for a moment that they send for all. */
TEST(RateLimit, EntriesThatAreCutOffFromEachOtherKeepToItTogether)
{
	const int64_t notice_us = 3500 * ms;

	for (const auto &row : fleets)
		for (uint32_t seed = 1; seed <= 10; seed++) {
			g_autoptr(GRand) random = g_rand_new_with_seed(seed);
			std::vector<Member> fleet(row.entries);
			uint32_t apart = 0;
			int64_t cut_us = 0;
			int64_t owner_since[2] = { -60 * LP_US_PER_S, 0 };
			bool cut = false;
			uint32_t most;

			most = most_in_span(fleet, row.per_s, random, [&](int64_t at) {
				if (at % (9 * LP_US_PER_S) == 0) {
					cut = !cut;
					cut_us = at;
					if (cut)
						apart = (uint32_t)
							g_rand_int_range(
								random, 0,
								(gint32)row
									.entries);
				}
				bool noticed = cut && at - cut_us >= notice_us;

				/* The other side may find its owner at once. */
				if (cut && at == cut_us)
					owner_since[1] = at;
				for (uint32_t i = 0; i < row.entries; i++) {
					rate_limit_fleet &view = fleet[i].view;
					/* The first one owns, and is cut off
					 * with those up to `apart`. */
					bool far = i > apart;

					view.known = row.entries;
					view.has_owner = true;
					view.heard =
						!noticed ? row.entries
						: far ? row.entries - apart - 1
						      : apart + 1;
					view.is_owner = i == 0 ||
							(cut && i == apart + 1);
					view.owner_us =
						at - owner_since[far ? 1 : 0];
				}
			});
			EXPECT_LE(most, bound(row.per_s))
				<< row.entries << " entries, seed " << seed;
		}
}

/* One that has just started knows only those that its settings name. */
TEST(RateLimit, EntriesThatStartTogetherKeepToItBeforeTheyMeet)
{
	const uint32_t named = 3;

	for (uint32_t seed = 1; seed <= 10; seed++) {
		g_autoptr(GRand) random = g_rand_new_with_seed(seed);
		std::vector<Member> fleet(5);
		uint32_t most = most_in_span(fleet, 1, random, [&](int64_t at) {
			for (uint32_t i = 0; i < fleet.size(); i++) {
				bool met = at >= 700 * ms;
				rate_limit_fleet &view = fleet[i].view;

				view.known = met ? 5 : named;
				view.heard = met ? 5 : 1;
				view.has_owner = true;
				view.is_owner = !met || i == 0;
				view.owner_us = at;
			}
		});

		EXPECT_LE(most, bound(1)) << "seed " << seed;
	}
}

TEST(Turns, CallersComeBackOneAfterTheOther)
{
	turns it = {};

	EXPECT_EQ(turns_next_us(&it, 100 * ms, 4, 0), 100 * ms);
	EXPECT_EQ(turns_next_us(&it, 100 * ms, 4, 0), 350 * ms);
	EXPECT_EQ(turns_next_us(&it, 40 * ms, 4, 60 * ms), 540 * ms);
	/* Beyond two seconds nobody is told. */
	for (int i = 0; i < 20; i++)
		EXPECT_LE(turns_next_us(&it, 100 * ms, 4, 60 * ms), 2100 * ms);
	/* Turns that have passed are over. */
	EXPECT_EQ(turns_next_us(&it, 100 * ms, 4, 9000 * ms), 100 * ms);
}

} // namespace
