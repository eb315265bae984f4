/* Closed domains and cold upstreams: the decisions by themselves. */
#include "pool_rig.h"

#include <gtest/gtest.h>

namespace
{

const warmup_limits engine = { 3000000, 9.1, WARMUP_OWNER_SHARE, true, 0 };

/* ---- closures ---- */

struct Closures {
	closed_domains *it = closed_domains_create();

	~Closures()
	{
		closed_domains_destroy(it);
	}
	bool all(int64_t revision, std::vector<const char *> domains)
	{
		return closed_domains_replace(it, revision, domains.data(),
					      domains.size());
	}
	std::string list()
	{
		GPtrArray *names = closed_domains_list(it);
		std::string text;

		for (guint i = 0; i < names->len; i++)
			text += (const char *)g_ptr_array_index(names, i);
		g_ptr_array_unref(names);
		return text;
	}
};

TEST(Closures, NothingIsKnownBeforeTheFirstWord)
{
	Closures it;

	EXPECT_FALSE(closed_domains_is_known(it.it));
	EXPECT_TRUE(it.all(4, {}));
	EXPECT_TRUE(closed_domains_is_known(it.it));
	EXPECT_EQ(it.list(), "");
}

/* A transaction of an operator has one revision for all that it changes. */
TEST(Closures, ChangesOfOneRevisionAllCount)
{
	Closures it;

	EXPECT_TRUE(it.all(4, { "a" }));
	EXPECT_TRUE(closed_domains_set(it.it, 7, "a", false));
	EXPECT_TRUE(closed_domains_set(it.it, 7, "b", true));
	EXPECT_EQ(it.list(), "b");
	EXPECT_EQ(closed_domains_revision(it.it), 7);
}

TEST(Closures, WhatIsOlderChangesNothing)
{
	Closures it;

	EXPECT_TRUE(it.all(4, { "a" }));
	EXPECT_TRUE(closed_domains_set(it.it, 7, "b", true));
	EXPECT_FALSE(closed_domains_set(it.it, 6, "a", false));
	EXPECT_FALSE(it.all(7, {}));
	EXPECT_EQ(it.list(), "ab");
	EXPECT_TRUE(closed_domains_set(it.it, 8, "a", false));
	EXPECT_EQ(it.list(), "b");
	EXPECT_TRUE(it.all(9, { "c" }));
	EXPECT_EQ(it.list(), "c");
	EXPECT_EQ(closed_domains_revision(it.it), 9);
}

/* Entries that hear the service and each other in any order believe what the
 * newest word says, never an older one. */
TEST(Closures, EntriesThatHearInAnyOrderAgree)
{
	const char *const names[] = { "a", "b", "c" };

	for (uint32_t seed = 1; seed <= 500; seed++) {
		g_autoptr(GRand) random = g_rand_new_with_seed(seed);
		Closures truth;
		Closures entries[4];
		int64_t revision = 1;

		truth.all(revision, {});
		for (auto &entry : entries)
			entry.all(revision, {});
		for (int i = 0; i < 60; i++) {
			bool closed = g_rand_boolean(random);
			const char *name =
				names[g_rand_int_range(random, 0, 3)];
			Closures &from =
				entries[g_rand_int_range(random, 0, 4)];
			Closures &to = entries[g_rand_int_range(random, 0, 4)];

			closed_domains_set(truth.it, ++revision, name, closed);
			/* One entry hears the service, maybe after a gap, and
			 * reads all anew; another hears some peer. */
			if (g_rand_boolean(random)) {
				GPtrArray *list = closed_domains_list(truth.it);

				closed_domains_replace(
					from.it, revision,
					(const char **)list->pdata, list->len);
				g_ptr_array_unref(list);
			}
			GPtrArray *list = closed_domains_list(from.it);
			int64_t before = closed_domains_revision(to.it);

			closed_domains_replace(
				to.it, closed_domains_revision(from.it),
				(const char **)list->pdata, list->len);
			g_ptr_array_unref(list);
			ASSERT_GE(closed_domains_revision(to.it), before);
			for (auto &entry : entries) {
				if (closed_domains_revision(entry.it) <
				    revision)
					continue;
				ASSERT_EQ(entry.list(), truth.list())
					<< "seed " << seed;
			}
		}
	}
}

/* ---- warm-up ---- */

/* Requests sent in each second by one that sends whenever it may. */
int most_in_a_second(const warmup_limits &limits, int64_t cold_us)
{
	std::vector<int64_t> sent;
	warmup warmup = {};
	int most = 0;

	warmup_begin(&warmup, &limits, 0, cold_us);
	for (int64_t now_us = 0; now_us < cold_us; now_us += 1000) {
		if (!warmup_may_send(&warmup, now_us))
			continue;
		warmup_note_sent(&warmup, &limits, now_us);
		sent.push_back(now_us);
	}
	for (size_t i = 0; i < sent.size(); i++) {
		int count = 0;

		for (size_t j = i; j < sent.size(); j++)
			count += sent[j] < sent[i] + 1000000;
		most = MAX(most, count);
	}
	return most;
}

/* The platform breaks at 1.5 times the bound and five: one that sends for all,
 * and thirty others at the same time, stay below it together. */
TEST(Warmup, AllEntriesTogetherStayWithinTheBound)
{
	const int others = 30;
	warmup_limits other = engine;
	int sum = most_in_a_second(engine, engine.cold_period_us);
	int64_t pause_us;

	other.own_share = WARMUP_OTHERS_SHARE / others;
	pause_us = (int64_t)(1e6 / (other.requests_per_s * other.own_share));
	/* Each at most once in its pause, at moments of their own. */
	EXPECT_EQ(most_in_a_second(other, engine.cold_period_us), 1);
	sum += (int)(others * 1000000 / pause_us) + 1;
	EXPECT_LE(sum, 1.5 * engine.requests_per_s + 5);
}

TEST(Warmup, IsOverAfterItsTime)
{
	warmup warmup = {};

	EXPECT_TRUE(warmup_may_send(&warmup, 0));
	warmup_begin(&warmup, &engine, 0, engine.cold_period_us);
	warmup_note_sent(&warmup, &engine, 0);
	EXPECT_FALSE(warmup_may_send(&warmup, 1000));
	EXPECT_TRUE(warmup_may_send(&warmup, engine.cold_period_us));
	EXPECT_FALSE(warmup_is_cold(&warmup, engine.cold_period_us));
}

/* ---- the pool ---- */

struct ClosedPool : Pool {
	closed_domains *closed = closed_domains_create();
	int64_t revision = 0;

	~ClosedPool()
	{
		pool_set_closed_domains(c_pool, nullptr);
		closed_domains_destroy(closed);
	}
	void set(const char *domain, bool is_closed)
	{
		closed_domains_set(closed, ++revision, domain, is_closed);
		pool_set_closed_domains(c_pool, closed);
	}
};

/* The home of a prefix is elsewhere while its domain is closed, and there
 * again after it. */
TEST(PoolClosures, AHomeMovesAndComesBack)
{
	ClosedPool pool;
	std::vector<pool_prefix_block> parts = { { 1, 5000 }, { 2, 100 } };
	pool_pick_args ask = {};

	for (int i = 0; i < 6; i++)
		pool.add(std::to_string(i).c_str(), i % 2 ? "a" : "b");
	ask.service = "s";
	ask.blocks = parts.data();
	ask.blocks_count = parts.size();
	const pool_upstream *home = pool_affinity_upstream(pool.c_pool, &ask);
	std::string domain = home->info.domain;

	pool.set(domain.c_str(), true);
	EXPECT_NE(pool_affinity_upstream(pool.c_pool, &ask)->info.domain,
		  domain);
	EXPECT_NE(pool.pick(parts)->info.domain, domain);
	pool.set(domain.c_str(), false);
	EXPECT_EQ(pool_affinity_upstream(pool.c_pool, &ask), home);
}

TEST(PoolClosures, WithoutAnOpenDomainThereIsNothing)
{
	ClosedPool pool;

	pool.add("1", "a");
	pool.add("2", "b");
	pool.set("a", true);
	EXPECT_FALSE(
		pool_service_is_closed(pool.c_pool, "s", ALLOWED_REGIONS_ANY));
	pool.set("b", true);
	EXPECT_TRUE(
		pool_service_is_closed(pool.c_pool, "s", ALLOWED_REGIONS_ANY));
	EXPECT_EQ(pool.pick(), nullptr);
	/* One that comes there meanwhile is closed, too. */
	pool.add("3", "a");
	EXPECT_EQ(pool.pick(), nullptr);
}

/* Taken back: it may have become cold meanwhile. */
TEST(PoolClosures, ADomainThatIsTakenBackIsWarmedUp)
{
	ClosedPool pool;

	pool_set_warmup(pool.c_pool, "s", &engine);
	pool.add("1", "a");
	pool.set("a", true);
	pool.set("a", false);
	ASSERT_NE(pool.pick(), nullptr);
	pool_note_sent(pool.c_pool, pool.pick());
	EXPECT_EQ(pool.pick(), nullptr);
	pool.clock.now_us += engine.cold_period_us;
	EXPECT_NE(pool.pick(), nullptr);
}

/* One that could not be reached may have started anew: whoever sends for all
 * waits for the list to say more; a plain service goes on. */
TEST(PoolClosures, OneThatWasNotReachedIsSuspectedOnlyByWhoSendsForAll)
{
	for (bool for_all : { true, false }) {
		Pool pool;
		warmup_limits limits = engine;

		limits.is_owner = for_all;
		pool_set_warmup(pool.c_pool, "s", &limits);
		pool.add("1", "a");
		pool_record_outcome(pool.c_pool, pool.pick(), POOL_UNREACHABLE,
				    0, 0);
		pool.clock.now_us += LP_US_PER_S;
		pool_note_sent(pool.c_pool, pool.pick());
		EXPECT_EQ(pool.pick() == nullptr, for_all);
	}
}

/* The list may say so before the configuration says what follows from it. */
TEST(PoolClosures, AColdUpstreamIsPacedAsSoonAsItsBoundIsKnown)
{
	Pool pool;

	pool.add("1", "a");
	pool.infos[0].cold_left_us = engine.cold_period_us;
	pool_update(pool.c_pool, pool.infos.data(), 1);
	pool_set_warmup(pool.c_pool, "s", &engine);
	pool_note_sent(pool.c_pool, pool.pick());
	EXPECT_EQ(pool.pick(), nullptr);
}

} // namespace
