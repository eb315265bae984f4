/*
 * Long shared prompts, of which another engine than the one that gets a
 * request has the start in memory: it is copied, not read again.
 */
#include "direct_rig.h"
#include "pool_rig.h"

#include <gtest/gtest.h>

namespace
{

const std::vector<pool_prefix_block> prompt = { { 7, 13000 }, { 8, 1000 } };
const std::vector<pool_prefix_block> next = { { 7, 13000 }, { 9, 1000 } };

/* 160 KB a token, at 137 GB/s: 16 ms for what takes 220 to read. */
struct CopyingPool : Pool {
	pool_upstream *home;

	explicit CopyingPool(double bytes_per_us = 137500)
	{
		for (const char *id : { "one", "two", "three" })
			add(id, "a");
		pool_set_cache_copying(c_pool, "s", 163840, bytes_per_us);
		home = pick(prompt);
		pool_note_cached_blocks(c_pool, home, prompt.data(), 2, 100000);
	}
	pool_upstream *other()
	{
		for (const char *id : { "one", "two", "three" })
			if (pool_find(c_pool, id) != home)
				return pool_find(c_pool, id);
		return nullptr;
	}
	pool_cache_copy copy_to(const pool_upstream *engine)
	{
		pool_pick_args ask = {};

		ask.service = "s";
		ask.blocks = next.data();
		ask.blocks_count = next.size();
		return pool_find_cache_copy(c_pool, engine, &ask);
	}
	pool_cache_copy copy()
	{
		return copy_to(other());
	}
	void pass_ms(int64_t ms)
	{
		clock.now_us += ms * LP_US_PER_MS;
	}
};

TEST(Copy, IsTakenFromTheEngineThatHasReadIt)
{
	CopyingPool pool;

	pool.pass_ms(1000);
	EXPECT_EQ(pool.copy().source, pool.home);
	EXPECT_EQ(pool.copy().copied_tokens, 13000);
}

TEST(Copy, IsNotThereBeforeItHasBeenRead)
{
	CopyingPool pool;

	EXPECT_EQ(pool.copy().source, nullptr);
	pool.pass_ms(200);
	EXPECT_EQ(pool.copy().source, nullptr);
}

TEST(Copy, IsNotTakenByWhoHasItOrFromWhoFails)
{
	CopyingPool pool;

	pool.pass_ms(1000);
	EXPECT_EQ(pool.copy_to(pool.home).source, nullptr);
	pool_record_outcome(pool.c_pool, pool.home, POOL_UNREACHABLE, 0, 0);
	EXPECT_EQ(pool.copy().source, nullptr);
}

/* Links over which it would take longer than reading. */
TEST(Copy, IsNotTakenWhereReadingIsFaster)
{
	CopyingPool slow(5000);

	slow.pass_ms(1000);
	EXPECT_EQ(slow.copy().source, nullptr);
	EXPECT_GT(pool_cache_copy_us(slow.c_pool, "s", 13000), 13000 * 16);
}

TEST(Copy, IsNotMadeWhereEnginesDoNotCopy)
{
	CopyingPool pool;

	pool_set_cache_copying(pool.c_pool, "s", 163840, 0);
	pool.pass_ms(1000);
	EXPECT_EQ(pool.copy().source, nullptr);
	EXPECT_EQ(pool_cache_copy_us(pool.c_pool, "s", 13000), 0);
}

/* A home that is behind is left sooner, since nothing is read again. */
TEST(Copy, LetsABusyHomeBeLeft)
{
	CopyingPool pool;

	pool.pass_ms(1000);
	pool.home->pending_prefill_tokens = 30000; /* 500 ms */
	EXPECT_NE(pool.pick(next), pool.home);
	pool_set_cache_copying(pool.c_pool, "s", 163840, 0);
	EXPECT_EQ(pool.pick(next), pool.home);
}

/* The domain of a home is closed: whoever gets the prompt has it from there. */
TEST(Copy, IsTakenOutOfAClosedDomain)
{
	CopyingPool pool;
	closed_domains *closed = closed_domains_create();

	pool.add("there", "b");
	pool.pass_ms(1000);
	closed_domains_set(closed, 1, "a", true);
	pool_set_closed_domains(pool.c_pool, closed);
	EXPECT_STREQ(pool.pick(next)->info.id, "there");
	EXPECT_EQ(pool.copy_to(pool_find(pool.c_pool, "there")).source,
		  pool.home);
	pool_set_closed_domains(pool.c_pool, nullptr);
	closed_domains_destroy(closed);
}

/* ---- what engines say they have ---- */

TEST(EngineMemory, TakesThePlaceOfWhatWasBelieved)
{
	CopyingPool pool;
	const pool_prefix_block told[] = { { 9, 700 } };

	pool.pass_ms(1000);
	pool_set_cached_blocks(pool.c_pool, pool.home, told, 1);
	EXPECT_EQ(pool_uncached_tokens(pool.home, prompt.data(), 2), 14000);
	EXPECT_EQ(pool_uncached_tokens(pool.home, &told[0], 1), 0);
}

/* An answer that was on its way may not know of a prompt sent meanwhile. */
TEST(EngineMemory, LeavesWhatIsBeingRead)
{
	CopyingPool pool;

	pool_set_cached_blocks(pool.c_pool, pool.home, nullptr, 0);
	EXPECT_EQ(pool_uncached_tokens(pool.home, prompt.data(), 2), 0);
}

TEST(EngineMemory, IsReadWholeOrNotAtAll)
{
	const struct {
		const char *body;
		bool whole;
		guint parts;
	} rows[] = {
		{ "{\"held\":[[\"\",\"5c1e\",800,\"m\"],"
		  "[\"\",\"91bd\",410,\"m\"]]}",
		  true, 2 },
		{ "{\"epoch\":3,\"next\":9,\"held\":[]}", true, 0 },
		{ "", false, 0 },
		{ "{}", false, 0 },
		{ "[]", false, 0 },
		{ "{\"held\":{}}", false, 0 },
		{ "{\"held\":[7]}", false, 0 },
		{ "{\"held\":[[]]}", false, 0 },
		{ "{\"held\":[[\"\",7,800,\"m\"]]}", false, 0 },
		{ "{\"held\":[[\"\",\"5c1e\",-1,\"m\"]]}", false, 0 },
		{ "{\"held\":[[\"\",\"5c1e\",\"800\",\"m\"]]}", false, 0 },
		{ "{\"held\":[[\"\",{},800,\"m\"]]}", false, 0 },
		{ "{\"held\":[[\"\",\"5c1e\",800,\"m\"]]", false, 0 },
	};

	for (const auto &row : rows) {
		GArray *parts = g_array_new(FALSE, FALSE,
					    sizeof(struct pool_prefix_block));

		EXPECT_EQ(plf_codec()->read_memory(row.body, strlen(row.body),
						   parts),
			  row.whole)
			<< row.body;
		EXPECT_TRUE(!row.whole || parts->len == row.parts) << row.body;
		g_array_unref(parts);
	}
}

/* All entries lose power: who places prompts then learns from the engines what
 * they hold, and expects nothing of it to be read again. */
TEST(EngineMemory, IsAskedByAnEntryThatStarts)
{
	Rig before;
	const Fields fields = { { "X-Token-Counts", "9400,6" },
				{ "X-Prompt-Prefix", "aa:9000,b1:400" } };

	for (int i = 0; i < 4; i++)
		before.add(PE_ENGINE, "engine");
	before.settle();
	EXPECT_EQ(Ask(before.address, "m1", "/once/x", fields).wait().status,
		  200u);
	Rig after(&before);

	before.end();
	after.settle();
	turn_until([] { return false; }, 500);
	EXPECT_EQ(Ask(after.address, "m2", "/once/x",
		      Fields{ { "X-Token-Counts", "9400,6" },
			      { "X-Prompt-Prefix", "aa:9000,b2:400" } })
			  .wait()
			  .status,
		  200u);
	EXPECT_EQ(*lp_counter(after.counters, "linepier_prompt_tokens_total",
			      "cached=\"no\""),
		  400);
}

} // namespace
