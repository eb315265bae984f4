/* Upstreams that restart under their id: which incarnation is taken as current,
 * and that no state of the previous one is kept. */
#include "pool_rig.h"

#include <gtest/gtest.h>

namespace
{

const int64_t second_us = LP_US_PER_S;

struct Incarnations {
	TestClock clock;
	incarnations *tracker = incarnations_create(&clock.clock);

	~Incarnations()
	{
		incarnations_destroy(tracker);
	}
	incarnation_status listed(int64_t born_ms, const char *id = "i")
	{
		return incarnations_observe_listed(tracker, id, born_ms);
	}
	incarnation_status answered(int64_t born_ms, int64_t asked_us = 0)
	{
		return incarnations_observe_answer(tracker, "i", born_ms,
						   asked_us);
	}
};

TEST(Incarnations, NewerStartReplacesOlder)
{
	Incarnations incarnations;

	EXPECT_EQ(incarnations.listed(1000), INCARNATION_NEW);
	EXPECT_EQ(incarnations.listed(1000), INCARNATION_CURRENT);
	EXPECT_EQ(incarnations.listed(1001), INCARNATION_NEW);
	EXPECT_EQ(incarnations.answered(1001), INCARNATION_CURRENT);
	EXPECT_EQ(incarnations.answered(1002), INCARNATION_NEW);
	EXPECT_EQ(incarnations.answered(1002), INCARNATION_CURRENT);
	EXPECT_EQ(incarnations.listed(1000, "other"), INCARNATION_NEW);
}

/* Lists of peers, answers and delayed writes still name the older start. */
TEST(Incarnations, OlderStartIsStale)
{
	Incarnations incarnations;

	incarnations.listed(1000);
	incarnations.answered(1001);
	EXPECT_EQ(incarnations.answered(1000), INCARNATION_STALE);
	EXPECT_EQ(incarnations.listed(1000), INCARNATION_STALE);
	incarnations.clock.now_us += INCARNATIONS_CLOCK_SET_BACK_US - 1;
	EXPECT_EQ(incarnations.listed(1000), INCARNATION_STALE);
	EXPECT_EQ(incarnations.listed(1001),
		  INCARNATION_CURRENT); /* wrote its entry again */
	incarnations.clock.now_us += second_us;
	EXPECT_EQ(incarnations.listed(1000), INCARNATION_STALE);
	incarnations.clock.now_us +=
		100 * second_us; /* only lists can confirm it */
	EXPECT_EQ(incarnations.answered(1000), INCARNATION_STALE);
}

TEST(Incarnations, OlderStartThatListsKeepNamingBecomesCurrent)
{
	Incarnations incarnations;

	incarnations.listed(9000);
	EXPECT_EQ(incarnations.listed(5000), INCARNATION_STALE);
	incarnations.clock.now_us += INCARNATIONS_CLOCK_SET_BACK_US / 2;
	EXPECT_EQ(incarnations.listed(4000),
		  INCARNATION_STALE); /* another older start: waits anew */
	incarnations.clock.now_us += INCARNATIONS_CLOCK_SET_BACK_US / 2;
	EXPECT_EQ(incarnations.listed(4000), INCARNATION_STALE);
	incarnations.clock.now_us += INCARNATIONS_CLOCK_SET_BACK_US / 2;
	EXPECT_EQ(incarnations.listed(4000), INCARNATION_NEW);
	EXPECT_EQ(incarnations.answered(4000), INCARNATION_CURRENT);
	EXPECT_EQ(incarnations.listed(4001), INCARNATION_NEW);
}

/* A process that answers a call sent after the newer start was observed is the
 * current one. */
TEST(Incarnations, OlderStartInAnswerToLaterCallBecomesCurrent)
{
	Incarnations incarnations;
	int64_t known_us = incarnations.clock.now_us;

	incarnations.listed(9000);
	incarnations.clock.now_us += second_us;
	EXPECT_EQ(incarnations.answered(5000, known_us), INCARNATION_STALE);
	EXPECT_EQ(incarnations.answered(5000, known_us + 1), INCARNATION_NEW);
	EXPECT_EQ(incarnations.listed(5000), INCARNATION_CURRENT);
	/* An answer to a later call confirms the current start. */
	EXPECT_EQ(incarnations.answered(5000, known_us + 2 * second_us),
		  INCARNATION_CURRENT);
}

TEST(Incarnations, MissingStartMatchesEveryIncarnation)
{
	Incarnations incarnations;

	EXPECT_EQ(incarnations.listed(0), INCARNATION_NEW);
	EXPECT_EQ(incarnations.listed(0), INCARNATION_CURRENT);
	EXPECT_EQ(incarnations.answered(700), INCARNATION_CURRENT);
	EXPECT_EQ(incarnations.listed(1000), INCARNATION_NEW);
	EXPECT_EQ(incarnations.listed(0), INCARNATION_CURRENT);
	EXPECT_EQ(incarnations.answered(0), INCARNATION_CURRENT);
	EXPECT_EQ(incarnations.listed(999), INCARNATION_STALE);
}

TEST(Incarnations, UnlistedIdExpires)
{
	Incarnations incarnations;

	incarnations.listed(1000);
	incarnations.clock.now_us += INCARNATIONS_RETENTION_US;
	incarnations_expire(incarnations.tracker);
	EXPECT_EQ(incarnations.listed(999), INCARNATION_STALE);
	incarnations.clock.now_us += INCARNATIONS_RETENTION_US + 1;
	incarnations_expire(incarnations.tracker);
	EXPECT_EQ(incarnations.listed(999), INCARNATION_NEW);
}

/* ---- in the pool ---- */

struct RestartingPool : Pool {
	void list(int64_t born_ms, bool draining = false)
	{
		infos[0].born_ms = born_ms;
		infos[0].draining = draining;
		pool_update(c_pool, infos.data(), infos.size());
	}
	RestartingPool()
	{
		add("i", "a");
		add("other", "a");
		list(1000);
	}
	pool_upstream *upstream()
	{
		return pool_find(c_pool, "i");
	}
};

/* The call was sent before any other incarnation was observed. */
pool_upstream *answered(RestartingPool &pool, pool_upstream *called,
			int64_t born_ms)
{
	return pool_attribute_answer(pool.c_pool, called, born_ms, 0);
}

TEST(PoolIncarnations, NewIncarnationHasNoEstimates)
{
	const pool_prefix_block block = { 5, 900 };
	RestartingPool pool;
	pool_upstream *before = pool_upstream_ref(pool.upstream());
	pool_upstream *after;

	before->in_flight = 3;
	before->pending_prefill_tokens = 5000;
	pool_note_cached_blocks(pool.c_pool, before, &block, 1, 0);
	for (int i = 0; i < 5; i++)
		pool_record_outcome(pool.c_pool, before, POOL_UNREACHABLE, 0,
				    0);
	result_memory_reserve(before->result_memory, 900);
	result_memory_commit(before->result_memory, "h", 900);
	EXPECT_EQ(pool_uncached_tokens(before, &block, 1), 0);
	pool.list(1001);
	after = pool.upstream();
	ASSERT_NE(after, before);
	EXPECT_FALSE(before->listed);
	EXPECT_EQ(after->in_flight, 0u);
	EXPECT_EQ(after->pending_prefill_tokens, 0);
	EXPECT_EQ(pool_uncached_tokens(after, &block, 1), 900);
	EXPECT_TRUE(pool_is_available(pool.c_pool, after));
	EXPECT_EQ(result_memory_used_bytes(after->result_memory), 0);
	/* The hash is stable; the incarnation distinguishes them in messages.
	 */
	EXPECT_EQ(after->hash, before->hash);
	EXPECT_NE(after->incarnation, before->incarnation);
	EXPECT_EQ(pool_find_incarnation(pool.c_pool, after->incarnation),
		  after);
	EXPECT_EQ(pool_find_incarnation(pool.c_pool, before->incarnation),
		  nullptr);
	pool_upstream_unref(before);
}

TEST(PoolIncarnations, DrainingEndsWithTheIncarnation)
{
	RestartingPool pool;

	pool.list(1000, true);
	EXPECT_TRUE(pool.upstream()->info.draining);
	pool.list(1001, false);
	EXPECT_FALSE(pool.upstream()->info.draining);
	EXPECT_FALSE(pool_needs_reapply(pool.c_pool));
	pool.list(1000, true); /* delayed */
	EXPECT_FALSE(pool.upstream()->info.draining);
	EXPECT_EQ(pool.upstream()->info.born_ms, 1001);
	EXPECT_TRUE(pool_needs_reapply(pool.c_pool));
}

/* The newer incarnation leaves the list before the older start is listed. */
TEST(PoolIncarnations, OlderStartStaysStaleAfterUnlisting)
{
	RestartingPool pool;

	pool.list(1001);
	pool_update(pool.c_pool, &pool.infos[1], 1);
	EXPECT_EQ(pool.upstream(), nullptr);
	pool.list(1000);
	EXPECT_EQ(pool.upstream(), nullptr);
	EXPECT_NE(pool_find(pool.c_pool, "other"), nullptr);
	pool.list(1001);
	EXPECT_NE(pool.upstream(), nullptr);
}

TEST(PoolIncarnations, AnswerReplacesListedIncarnation)
{
	RestartingPool pool;
	pool_upstream *called = pool_upstream_ref(pool.upstream());
	pool_upstream *newer;

	EXPECT_EQ(answered(pool, called, 0), called);
	EXPECT_EQ(answered(pool, called, 1000), called);
	newer = answered(pool, called, 1001);
	ASSERT_NE(newer, nullptr);
	EXPECT_NE(newer, called);
	EXPECT_EQ(pool.upstream(), newer);
	EXPECT_EQ(newer->info.born_ms, 1001);
	EXPECT_STREQ(newer->info.service, "s");
	/* Answers of the terminated incarnation, or possibly of it, are not
	 * attributed. */
	EXPECT_EQ(answered(pool, called, 1000), nullptr);
	EXPECT_EQ(answered(pool, called, 0), nullptr);
	EXPECT_EQ(answered(pool, called, 1001), newer);
	pool.list(1000); /* the list is outdated */
	EXPECT_EQ(pool.upstream(), newer);
	pool_upstream_unref(called);
}

/* The list has a new address for the upstream: another process may answer at
 * the former one. */
TEST(PoolIncarnations, AnswerFromFormerAddressIsNotAttributed)
{
	RestartingPool pool;
	pool_upstream *called = pool_upstream_ref(pool.upstream());

	g_free(pool.infos[0].address);
	pool.infos[0].address = g_strdup("1:2");
	pool.list(1000);
	EXPECT_NE(pool.upstream(), called);
	EXPECT_EQ(answered(pool, called, 1000), nullptr);
	EXPECT_EQ(answered(pool, called, 0), nullptr);
	EXPECT_EQ(answered(pool, pool.upstream(), 1000), pool.upstream());
	pool_upstream_unref(called);
}

/* A draining upstream keeps its results for a while. */
TEST(PoolIncarnations, AnswerOfUnlistedIncarnationIsAttributed)
{
	RestartingPool pool;
	pool_upstream *called = pool_upstream_ref(pool.upstream());

	pool_update(pool.c_pool, &pool.infos[1], 1);
	EXPECT_EQ(answered(pool, called, 1000), called);
	EXPECT_EQ(answered(pool, called, 999), nullptr);
	pool_upstream_unref(called);
}

} // namespace
