/* Upstreams that start again under their id: which life is believed in, and
 * what of the one before it ends. */
#include "pool_rig.h"

#include <gtest/gtest.h>

namespace
{

const int64_t s = LP_US_PER_S;

struct Lives {
	TestClock clock;
	incarnations *it = incarnations_create(&clock.clock);

	~Lives()
	{
		incarnations_destroy(it);
	}
	incarnation_status listed(int64_t born_ms, const char *id = "i")
	{
		return incarnations_observe_listed(it, id, born_ms);
	}
	incarnation_status answered(int64_t born_ms, int64_t asked_us = 0)
	{
		return incarnations_observe_answer(it, "i", born_ms, asked_us);
	}
};

TEST(Lives, ANewerOneTakesThePlace)
{
	Lives lives;

	EXPECT_EQ(lives.listed(1000), INCARNATION_NEW);
	EXPECT_EQ(lives.listed(1000), INCARNATION_CURRENT);
	EXPECT_EQ(lives.listed(1001), INCARNATION_NEW);
	EXPECT_EQ(lives.answered(1001), INCARNATION_CURRENT);
	EXPECT_EQ(lives.answered(1002), INCARNATION_NEW);
	EXPECT_EQ(lives.answered(1002), INCARNATION_CURRENT);
	EXPECT_EQ(lives.listed(1000, "other"), INCARNATION_NEW);
}

/* Peers' lists, answers and writes that are done late name it still. */
TEST(Lives, AnOlderOneNeverDoes)
{
	Lives lives;

	lives.listed(1000);
	lives.answered(1001);
	EXPECT_EQ(lives.answered(1000), INCARNATION_STALE);
	EXPECT_EQ(lives.listed(1000), INCARNATION_STALE);
	lives.clock.now_us += INCARNATIONS_CLOCK_SET_BACK_US - 1;
	EXPECT_EQ(lives.listed(1000), INCARNATION_STALE);
	EXPECT_EQ(lives.listed(1001),
		  INCARNATION_CURRENT); /* it has written again */
	lives.clock.now_us += s;
	EXPECT_EQ(lives.listed(1000), INCARNATION_STALE);
	lives.clock.now_us += 100 * s; /* only lists can tell */
	EXPECT_EQ(lives.answered(1000), INCARNATION_STALE);
}

TEST(Lives, AClockThatWasSetBackIsSeenByTheListsThatGoOnNamingIt)
{
	Lives lives;

	lives.listed(9000);
	EXPECT_EQ(lives.listed(5000), INCARNATION_STALE);
	lives.clock.now_us += INCARNATIONS_CLOCK_SET_BACK_US / 2;
	EXPECT_EQ(lives.listed(4000), INCARNATION_STALE); /* yet another one */
	lives.clock.now_us += INCARNATIONS_CLOCK_SET_BACK_US / 2;
	EXPECT_EQ(lives.listed(4000), INCARNATION_STALE);
	lives.clock.now_us += INCARNATIONS_CLOCK_SET_BACK_US / 2;
	EXPECT_EQ(lives.listed(4000), INCARNATION_NEW);
	EXPECT_EQ(lives.answered(4000), INCARNATION_CURRENT);
	EXPECT_EQ(lives.listed(4001), INCARNATION_NEW);
}

/* Who answers what was asked after the newer one was known is there. */
TEST(Lives, AClockThatWasSetBackIsSeenByAnAnswer)
{
	Lives lives;
	int64_t known_us = lives.clock.now_us;

	lives.listed(9000);
	lives.clock.now_us += s;
	EXPECT_EQ(lives.answered(5000, known_us), INCARNATION_STALE);
	EXPECT_EQ(lives.answered(5000, known_us + 1), INCARNATION_NEW);
	EXPECT_EQ(lives.listed(5000), INCARNATION_CURRENT);
	/* The list that still names the one before is taken as a new one. */
	EXPECT_EQ(lives.answered(5000, known_us + 2 * s), INCARNATION_CURRENT);
}

TEST(Lives, AStartThatIsNotSaidAgreesWithEveryLife)
{
	Lives lives;

	EXPECT_EQ(lives.listed(0), INCARNATION_NEW);
	EXPECT_EQ(lives.listed(0), INCARNATION_CURRENT);
	EXPECT_EQ(lives.answered(700), INCARNATION_CURRENT);
	EXPECT_EQ(lives.listed(1000), INCARNATION_NEW);
	EXPECT_EQ(lives.listed(0), INCARNATION_CURRENT);
	EXPECT_EQ(lives.answered(0), INCARNATION_CURRENT);
	EXPECT_EQ(lives.listed(999), INCARNATION_STALE);
}

TEST(Lives, WhatNoListNamesIsForgottenInTheEnd)
{
	Lives lives;

	lives.listed(1000);
	lives.clock.now_us += INCARNATIONS_RETENTION_US;
	incarnations_expire(lives.it);
	EXPECT_EQ(lives.listed(999), INCARNATION_STALE);
	lives.clock.now_us += INCARNATIONS_RETENTION_US + 1;
	incarnations_expire(lives.it);
	EXPECT_EQ(lives.listed(999), INCARNATION_NEW);
}

/* ---- in the pool ---- */

struct Born : Pool {
	void list(int64_t born_ms, bool leaving = false)
	{
		infos[0].born_ms = born_ms;
		infos[0].draining = leaving;
		pool_update(c_pool, infos.data(), infos.size());
	}
	Born()
	{
		add("i", "a");
		add("other", "a");
		list(1000);
	}
	pool_upstream *i()
	{
		return pool_find(c_pool, "i");
	}
};

/* Asked before anything was known of another one. */
pool_upstream *answered(Born &pool, pool_upstream *asked, int64_t born_ms)
{
	return pool_attribute_answer(pool.c_pool, asked, born_ms, 0);
}

/* Whatever was believed of the one before. */
TEST(PoolLives, ANewOneStartsWithNoBeliefs)
{
	const pool_prefix_block part = { 5, 900 };
	Born pool;
	pool_upstream *before = pool_upstream_ref(pool.i());
	pool_upstream *after;

	before->in_flight = 3;
	before->pending_prefill_tokens = 5000;
	pool_note_cached_blocks(pool.c_pool, before, &part, 1, 0);
	for (int i = 0; i < 5; i++)
		pool_record_outcome(pool.c_pool, before, POOL_UNREACHABLE, 0,
				    0);
	result_memory_reserve(before->result_memory, 900);
	result_memory_commit(before->result_memory, "h", 900);
	EXPECT_EQ(pool_uncached_tokens(before, &part, 1), 0);
	pool.list(1001);
	after = pool.i();
	ASSERT_NE(after, before);
	EXPECT_FALSE(before->listed);
	EXPECT_EQ(after->in_flight, 0u);
	EXPECT_EQ(after->pending_prefill_tokens, 0);
	EXPECT_EQ(pool_uncached_tokens(after, &part, 1), 900);
	EXPECT_TRUE(pool_is_available(pool.c_pool, after));
	EXPECT_EQ(result_memory_used_bytes(after->result_memory), 0);
	/* Its place among the others stays; words of peers part them. */
	EXPECT_EQ(after->hash, before->hash);
	EXPECT_NE(after->incarnation, before->incarnation);
	EXPECT_EQ(pool_find_incarnation(pool.c_pool, after->incarnation),
		  after);
	EXPECT_EQ(pool_find_incarnation(pool.c_pool, before->incarnation),
		  nullptr);
	pool_upstream_unref(before);
}

TEST(PoolLives, TheLeavingOfOneIsNotThatOfTheNext)
{
	Born pool;

	pool.list(1000, true);
	EXPECT_TRUE(pool.i()->info.draining);
	pool.list(1001, false);
	EXPECT_FALSE(pool.i()->info.draining);
	EXPECT_FALSE(pool_needs_reapply(pool.c_pool));
	pool.list(1000, true); /* late */
	EXPECT_FALSE(pool.i()->info.draining);
	EXPECT_EQ(pool.i()->info.born_ms, 1001);
	EXPECT_TRUE(pool_needs_reapply(pool.c_pool));
}

/* The one it took the place of has left the list meanwhile. */
TEST(PoolLives, AnOlderOneDoesNotComeBackAlone)
{
	Born pool;

	pool.list(1001);
	pool_update(pool.c_pool, &pool.infos[1], 1);
	EXPECT_EQ(pool.i(), nullptr);
	pool.list(1000);
	EXPECT_EQ(pool.i(), nullptr);
	EXPECT_NE(pool_find(pool.c_pool, "other"), nullptr);
	pool.list(1001);
	EXPECT_NE(pool.i(), nullptr);
}

TEST(PoolLives, AnAnswerTellsOfALifeBeforeTheListDoes)
{
	Born pool;
	pool_upstream *asked = pool_upstream_ref(pool.i());
	pool_upstream *newer;

	EXPECT_EQ(answered(pool, asked, 0), asked);
	EXPECT_EQ(answered(pool, asked, 1000), asked);
	newer = answered(pool, asked, 1001);
	ASSERT_NE(newer, nullptr);
	EXPECT_NE(newer, asked);
	EXPECT_EQ(pool.i(), newer);
	EXPECT_EQ(newer->info.born_ms, 1001);
	EXPECT_STREQ(newer->info.service, "s");
	/* What the ended one says, or one that may be it, is of no use. */
	EXPECT_EQ(answered(pool, asked, 1000), nullptr);
	EXPECT_EQ(answered(pool, asked, 0), nullptr);
	EXPECT_EQ(answered(pool, asked, 1001), newer);
	pool.list(1000); /* it has not heard yet */
	EXPECT_EQ(pool.i(), newer);
	pool_upstream_unref(asked);
}

/* The list names it at another address now: whoever answered at the old one is
 * not it. */
TEST(PoolLives, AnAnswerFromWhereItWasIsNotItsOwn)
{
	Born pool;
	pool_upstream *asked = pool_upstream_ref(pool.i());

	g_free(pool.infos[0].address);
	pool.infos[0].address = g_strdup("1:2");
	pool.list(1000);
	EXPECT_NE(pool.i(), asked);
	EXPECT_EQ(answered(pool, asked, 1000), nullptr);
	EXPECT_EQ(answered(pool, asked, 0), nullptr);
	EXPECT_EQ(answered(pool, pool.i(), 1000), pool.i());
	pool_upstream_unref(asked);
}

/* One that leaves has what it made for a while. */
TEST(PoolLives, AnAnswerOfOneThatHasLeftTheListIsItsOwn)
{
	Born pool;
	pool_upstream *asked = pool_upstream_ref(pool.i());

	pool_update(pool.c_pool, &pool.infos[1], 1);
	EXPECT_EQ(answered(pool, asked, 1000), asked);
	EXPECT_EQ(answered(pool, asked, 999), nullptr);
	pool_upstream_unref(asked);
}

} // namespace
