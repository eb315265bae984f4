/*
 * Long prompts with a shared prefix: if another engine than the selected one
 * has the prefix in its cache, the cache is copied instead of read again.
 */
#include "direct_rig.h"
#include "pool_rig.h"

#include <gtest/gtest.h>

namespace
{

const std::vector<pool_prefix_block> prompt = { { 7, 13000 }, { 8, 1000 } };
const std::vector<pool_prefix_block> next_prompt = { { 7, 13000 },
						     { 9, 1000 } };

/* 160 KB per token, at 137 GB/s: 16 ms to copy what takes 220 ms to read. */
struct CopyingPool : Pool {
	pool_upstream *source;

	explicit CopyingPool(double bytes_per_us = 137500)
	{
		for (const char *id : { "one", "two", "three" })
			add(id, "a");
		pool_set_cache_copying(c_pool, "s", 163840, bytes_per_us);
		source = pick(prompt);
		pool_note_cached_blocks(c_pool, source, prompt.data(), 2,
					100000);
	}
	pool_upstream *other()
	{
		for (const char *id : { "one", "two", "three" })
			if (pool_find(c_pool, id) != source)
				return pool_find(c_pool, id);
		return nullptr;
	}
	pool_cache_copy copy_to(const pool_upstream *engine)
	{
		pool_pick_args pick_args = {};

		pick_args.service = "s";
		pick_args.blocks = next_prompt.data();
		pick_args.blocks_count = next_prompt.size();
		return pool_find_cache_copy(c_pool, engine, &pick_args);
	}
	pool_cache_copy copy()
	{
		return copy_to(other());
	}
	void advance_ms(int64_t ms)
	{
		clock.now_us += ms * LP_US_PER_MS;
	}
};

TEST(PrefixCopy, ComesFromTheEngineThatCachedIt)
{
	CopyingPool pool;

	pool.advance_ms(1000);
	EXPECT_EQ(pool.copy().source, pool.source);
	EXPECT_EQ(pool.copy().copied_tokens, 13000);
}

/* Guards against a cache that another software version wrote: what two versions
 * write does not fit together. */
TEST(PrefixCopy, ComesOnlyFromAnEngineOfTheSameVersion)
{
	CopyingPool pool;
	pool_upstream *engine;

	pool.advance_ms(1000);
	pool.add("new", "a", "s", "v2");
	engine = pool_find(pool.c_pool, "new");
	EXPECT_EQ(pool.copy_to(engine).source, nullptr);
	EXPECT_EQ(pool.copy_to(engine).prefill_tokens, 14000);
	EXPECT_EQ(pool.copy().source, pool.source);
	pool_note_cached_blocks(pool.c_pool, engine, prompt.data(), 2, 100000);
	pool.advance_ms(1000);
	pool.add("newer", "a", "s", "v2");
	EXPECT_EQ(pool.copy_to(pool_find(pool.c_pool, "newer")).source, engine);
	EXPECT_EQ(pool.copy().source, pool.source);
}

/* Guards against a copy to or from an engine whose version is not known. */
TEST(PrefixCopy, IsNotUsedBetweenUnknownVersions)
{
	CopyingPool pool;

	pool.add("first", "a", "s", nullptr);
	pool.add("second", "a", "s", nullptr);
	pool_note_cached_blocks(pool.c_pool, pool_find(pool.c_pool, "first"),
				prompt.data(), 2, 100000);
	pool.advance_ms(1000);
	EXPECT_EQ(pool.copy_to(pool_find(pool.c_pool, "second")).source,
		  nullptr);
}

TEST(PrefixCopy, IsUnavailableBeforeTheSourceHasReadIt)
{
	CopyingPool pool;

	EXPECT_EQ(pool.copy().source, nullptr);
	pool.advance_ms(200);
	EXPECT_EQ(pool.copy().source, nullptr);
}

TEST(PrefixCopy, IsNotUsedIfCachedOrIfTheSourceFails)
{
	CopyingPool pool;

	pool.advance_ms(1000);
	EXPECT_EQ(pool.copy_to(pool.source).source, nullptr);
	pool_record_outcome(pool.c_pool, pool.source, POOL_UNREACHABLE, 0, 0);
	EXPECT_EQ(pool.copy().source, nullptr);
}

/* Over slow links a copy would take longer than reading. */
TEST(PrefixCopy, IsNotUsedWhereReadingIsFaster)
{
	CopyingPool slow(5000);

	slow.advance_ms(1000);
	EXPECT_EQ(slow.copy().source, nullptr);
	EXPECT_GT(pool_cache_copy_us(slow.c_pool, "s", 13000), 13000 * 16);
}

TEST(PrefixCopy, IsNotUsedWhereEnginesDoNotCopy)
{
	CopyingPool pool;

	pool_set_cache_copying(pool.c_pool, "s", 163840, 0);
	pool.advance_ms(1000);
	EXPECT_EQ(pool.copy().source, nullptr);
	EXPECT_EQ(pool_cache_copy_us(pool.c_pool, "s", 13000), 0);
}

/* Prompts go to another engine sooner if the source is busy, since nothing has
 * to be read again. */
TEST(PrefixCopy, AllowsAnotherEngineIfTheSourceIsBusy)
{
	CopyingPool pool;

	pool.advance_ms(1000);
	pool.source->pending_prefill_tokens = 30000; /* 500 ms */
	EXPECT_NE(pool.pick(next_prompt), pool.source);
	pool_set_cache_copying(pool.c_pool, "s", 163840, 0);
	EXPECT_EQ(pool.pick(next_prompt), pool.source);
}

/* The domain of the source is closed: the engine that gets the prompt
 * copies the prefix from the source. */
TEST(PrefixCopy, ComesFromAClosedDomain)
{
	CopyingPool pool;
	closed_domains *closed = closed_domains_create();

	pool.add("there", "b");
	pool.advance_ms(1000);
	const store_revision at = { 1, 1 };

	closed_domains_set(closed, &at, "a", true);
	pool_set_closed_domains(pool.c_pool, closed);
	EXPECT_STREQ(pool.pick(next_prompt)->info.id, "there");
	EXPECT_EQ(pool.copy_to(pool_find(pool.c_pool, "there")).source,
		  pool.source);
	pool_set_closed_domains(pool.c_pool, nullptr);
	closed_domains_destroy(closed);
}

/* ---- cache contents reported by engines ---- */

TEST(EnginePrefixCache, ReportReplacesAssumedContents)
{
	CopyingPool pool;
	const pool_prefix_block reported[] = { { 9, 700 } };

	pool.advance_ms(1000);
	pool_set_cached_blocks(pool.c_pool, pool.source, reported, 1);
	EXPECT_EQ(pool_uncached_tokens(pool.source, prompt.data(), 2), 14000);
	EXPECT_EQ(pool_uncached_tokens(pool.source, &reported[0], 1), 0);
}

/* A report that was on its way may lack a prompt that was sent in the meantime.
 */
TEST(EnginePrefixCache, ReportKeepsPromptsBeingRead)
{
	CopyingPool pool;

	pool_set_cached_blocks(pool.c_pool, pool.source, nullptr, 0);
	EXPECT_EQ(pool_uncached_tokens(pool.source, prompt.data(), 2), 0);
}

TEST(EnginePrefixCache, MalformedReportsAreRejected)
{
	const struct {
		const char *body;
		bool valid;
		guint blocks_count;
	} cases[] = {
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

	for (const auto &test_case : cases) {
		GArray *blocks = g_array_new(FALSE, FALSE,
					     sizeof(struct pool_prefix_block));

		EXPECT_EQ(plf_codec()->read_prefix_cache(test_case.body,
							 strlen(test_case.body),
							 blocks),
			  test_case.valid)
			<< test_case.body;
		EXPECT_TRUE(!test_case.valid ||
			    blocks->len == test_case.blocks_count)
			<< test_case.body;
		g_array_unref(blocks);
	}
}

/* After a power loss of all entries the new placer learns from the engines what
 * they have cached, and does not count it as tokens to be read. */
TEST(EnginePrefixCache, IsQueriedByAnEntryThatStarts)
{
	Rig old_entry;
	const Fields fields = { { "X-Token-Counts", "9400,6" },
				{ "X-Prompt-Prefix", "aa:9000,b1:400" } };

	for (int i = 0; i < 4; i++)
		old_entry.add(PE_ENGINE, "engine");
	old_entry.settle();
	EXPECT_EQ(CallerRequest(old_entry.address, "m1", "/once/x", fields)
			  .wait()
			  .status,
		  200u);
	Rig new_entry(&old_entry);

	old_entry.end();
	new_entry.settle();
	run_loop_until([] { return false; }, 500);
	EXPECT_EQ(
		CallerRequest(new_entry.address, "m2", "/once/x",
			      Fields{ { "X-Token-Counts", "9400,6" },
				      { "X-Prompt-Prefix", "aa:9000,b2:400" } })
			.wait()
			.status,
		200u);
	EXPECT_EQ(*lp_counter(new_entry.counters,
			      "linepier_prompt_tokens_total", "cached=\"no\""),
		  400);
}

} // namespace
