/* Closed domains and cold upstreams: the policy modules without an entry. */
#include "pool_rig.h"

#include <gtest/gtest.h>

namespace
{

const warmup_limits engine = { 3000000, 9.1, WARMUP_OWNER_SHARE, true, 0 };

/* ---- closed domains ---- */

struct ClosedDomains {
	closed_domains *set = closed_domains_create();

	~ClosedDomains()
	{
		closed_domains_destroy(set);
	}
	bool replace(int64_t revision, std::vector<const char *> domains)
	{
		return replace(1, revision, domains);
	}
	bool replace(int64_t era, int64_t revision,
		     std::vector<const char *> domains)
	{
		const store_revision at = { era, revision };

		return closed_domains_replace(set, &at, domains.data(),
					      domains.size());
	}
	bool set_one(int64_t revision, const char *domain, bool closed)
	{
		const store_revision at = { 1, revision };

		return closed_domains_set(set, &at, domain, closed);
	}
	int64_t revision()
	{
		return closed_domains_revision(set)->revision;
	}
	std::string list()
	{
		GPtrArray *names = closed_domains_list(set);
		std::string text;

		for (guint i = 0; i < names->len; i++)
			text += (const char *)g_ptr_array_index(names, i);
		g_ptr_array_unref(names);
		return text;
	}
};

std::vector<const char *> names_of(const GPtrArray *list)
{
	return { (const char **)list->pdata,
		 (const char **)list->pdata + list->len };
}

TEST(ClosedDomains, UnknownBeforeFirstUpdate)
{
	ClosedDomains domains;

	EXPECT_FALSE(closed_domains_is_known(domains.set));
	EXPECT_TRUE(domains.replace(4, {}));
	EXPECT_TRUE(closed_domains_is_known(domains.set));
	EXPECT_EQ(domains.list(), "");
}

/* All changes of one transaction of an operator have the same revision. */
TEST(ClosedDomains, ChangesWithOneRevisionAreAllApplied)
{
	ClosedDomains domains;

	EXPECT_TRUE(domains.replace(4, { "a" }));
	EXPECT_TRUE(domains.set_one(7, "a", false));
	EXPECT_TRUE(domains.set_one(7, "b", true));
	EXPECT_EQ(domains.list(), "b");
	EXPECT_EQ(domains.revision(), 7);
}

TEST(ClosedDomains, OlderRevisionIsIgnored)
{
	ClosedDomains domains;

	EXPECT_TRUE(domains.replace(4, { "a" }));
	EXPECT_TRUE(domains.set_one(7, "b", true));
	EXPECT_FALSE(domains.set_one(6, "a", false));
	EXPECT_FALSE(domains.replace(7, {}));
	EXPECT_EQ(domains.list(), "ab");
	EXPECT_TRUE(domains.set_one(8, "a", false));
	EXPECT_EQ(domains.list(), "b");
	EXPECT_TRUE(domains.replace(9, { "c" }));
	EXPECT_EQ(domains.list(), "c");
	EXPECT_EQ(domains.revision(), 9);
}

/* A revision of a later era is newer, whatever its number; evacuations under it
 * were left out after a restore. */
TEST(ClosedDomains, LaterEraIsNewer)
{
	ClosedDomains domains;

	EXPECT_TRUE(domains.replace(1, 100, {}));
	EXPECT_TRUE(domains.replace(2, 20, { "a" }));
	EXPECT_FALSE(domains.replace(1, 101, { "b" }));
	EXPECT_EQ(domains.list(), "a");
}

/* Guards against a domain being opened by a copy that lacks its closing. */
TEST(ClosedDomains, DomainsThatACopyLacksAreRetained)
{
	ClosedDomains domains;

	EXPECT_TRUE(domains.replace(1, 100, { "a", "b", "c" }));
	EXPECT_TRUE(domains.replace(2, 20, { "c" }));
	EXPECT_EQ(closed_domains_retained_count(domains.set), 2u);
	EXPECT_TRUE(closed_domains_contain(domains.set, "a"));
	EXPECT_TRUE(domains.replace(2, 21, { "a", "c" }));
	EXPECT_EQ(domains.list(), "ac");
	EXPECT_TRUE(closed_domains_contain(domains.set, "b"));
	closed_domains_drop_retained(domains.set);
	EXPECT_TRUE(closed_domains_contain(domains.set, "a"));
	EXPECT_FALSE(closed_domains_contain(domains.set, "b"));
}

/* Entries that receive updates from the key-value service and from each other
 * in any order have the state of the newest revision, never an older one. */
TEST(ClosedDomains, EntriesAgreeForAnyOrderOfUpdates)
{
	const char *const names[] = { "a", "b", "c" };

	for (uint32_t seed = 1; seed <= 500; seed++) {
		g_autoptr(GRand) random = g_rand_new_with_seed(seed);
		ClosedDomains truth;
		ClosedDomains entries[4];
		int64_t revision = 1;

		truth.replace(revision, {});
		for (auto &entry : entries)
			entry.replace(revision, {});
		for (int i = 0; i < 60; i++) {
			bool closed = g_rand_boolean(random);
			const char *name =
				names[g_rand_int_range(random, 0, 3)];
			ClosedDomains &from =
				entries[g_rand_int_range(random, 0, 4)];
			ClosedDomains &to =
				entries[g_rand_int_range(random, 0, 4)];

			truth.set_one(++revision, name, closed);
			/* One entry reads the whole set from the service, maybe
			 * after a gap; another gets it from a peer. */
			if (g_rand_boolean(random)) {
				GPtrArray *list =
					closed_domains_list(truth.set);

				from.replace(revision, names_of(list));
				g_ptr_array_unref(list);
			}
			GPtrArray *list = closed_domains_list(from.set);
			int64_t before = to.revision();

			to.replace(from.revision(), names_of(list));
			g_ptr_array_unref(list);
			ASSERT_GE(to.revision(), before);
			for (auto &entry : entries) {
				if (entry.revision() < revision)
					continue;
				ASSERT_EQ(entry.list(), truth.list())
					<< "seed " << seed;
			}
		}
	}
}

/* ---- warm-up ---- */

/* Most requests within a second of an entry that sends whenever permitted. */
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

/* An upstream fails above 1.5 times the bound plus five. The owner and thirty
 * other entries that send at the same time must stay below that together. */
TEST(Warmup, AllEntriesTogetherStayWithinBound)
{
	const int others = 30;
	warmup_limits other = engine;
	int sum = most_in_a_second(engine, engine.cold_period_us);
	int64_t interval_us;

	other.own_share = WARMUP_OTHERS_SHARE / others;
	interval_us = (int64_t)(1e6 / (other.requests_per_s * other.own_share));
	/* Each sends at most once per interval, with a phase of its own. */
	EXPECT_EQ(most_in_a_second(other, engine.cold_period_us), 1);
	sum += (int)(others * 1000000 / interval_us) + 1;
	EXPECT_LE(sum, 1.5 * engine.requests_per_s + 5);
}

TEST(Warmup, EndsAfterColdPeriod)
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
		const store_revision at = { 1, ++revision };

		closed_domains_set(closed, &at, domain, is_closed);
		pool_set_closed_domains(c_pool, closed);
	}
};

/* The affinity upstream of a prefix is in another domain while its own domain
 * is closed, and the same as before afterwards. */
TEST(PoolClosedDomains, AffinityUpstreamMovesAndReturns)
{
	ClosedPool pool;
	std::vector<pool_prefix_block> blocks = { { 1, 5000 }, { 2, 100 } };
	pool_pick_args args = {};

	for (int i = 0; i < 6; i++)
		pool.add(std::to_string(i).c_str(), i % 2 ? "a" : "b");
	args.service = "s";
	args.blocks = blocks.data();
	args.blocks_count = blocks.size();
	const pool_upstream *affinity_upstream =
		pool_affinity_upstream(pool.c_pool, &args);
	std::string domain = affinity_upstream->info.domain;

	pool.set(domain.c_str(), true);
	EXPECT_NE(pool_affinity_upstream(pool.c_pool, &args)->info.domain,
		  domain);
	EXPECT_NE(pool.pick(blocks)->info.domain, domain);
	pool.set(domain.c_str(), false);
	EXPECT_EQ(pool_affinity_upstream(pool.c_pool, &args),
		  affinity_upstream);
}

TEST(PoolClosedDomains, NoUpstreamIfAllDomainsAreClosed)
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
	/* An upstream added to a closed domain is closed, too. */
	pool.add("3", "a");
	EXPECT_EQ(pool.pick(), nullptr);
}

/* Upstreams of a reopened domain may have become cold meanwhile. */
TEST(PoolClosedDomains, ReopenedDomainIsWarmedUp)
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

/* An upstream that could not be reached may have restarted. The owner paces it
 * until the list shows its state; an entry that is not the owner continues. */
TEST(PoolClosedDomains, OnlyOwnerPacesUnreachableUpstream)
{
	for (bool is_owner : { true, false }) {
		Pool pool;
		warmup_limits limits = engine;

		limits.is_owner = is_owner;
		pool_set_warmup(pool.c_pool, "s", &limits);
		pool.add("1", "a");
		pool_record_outcome(pool.c_pool, pool.pick(), POOL_UNREACHABLE,
				    0, 0);
		pool.clock.now_us += LP_US_PER_S;
		pool_note_sent(pool.c_pool, pool.pick());
		EXPECT_EQ(pool.pick() == nullptr, is_owner);
	}
}

/* The list may mark an upstream as cold before the configuration gives a bound.
 */
TEST(PoolClosedDomains, ColdUpstreamIsPacedOnceBoundIsKnown)
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
