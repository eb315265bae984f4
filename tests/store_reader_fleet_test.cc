/*
 * Entries of a fleet that is larger than the number of readers, end to end:
 * most of them never call the key-value service, and know all that it holds in
 * time.
 */
#include "direct_rig.h"

#include <algorithm>
#include <memory>

namespace
{

const int fleet_size = 12;

struct ReaderFleet {
	std::unique_ptr<pe, void (*)(pe *)> platform{ pe_create(), pe_destroy };
	std::vector<std::unique_ptr<Rig>> entries;

	explicit ReaderFleet(enum pe_store_fault fault = PE_STORE_FINE)
	{
		set_config(1);
		add_upstreams();
		pe_store_fault(platform.get(), fault);
		start_all();
		if (fault == PE_STORE_FINE)
			settle();
	}
	void start_all()
	{
		for (int i = 0; i < fleet_size; i++)
			start(i, i < 2);
	}
	void settle()
	{
		EXPECT_TRUE(run_loop_until([&] { return all_ready(); }));
		EXPECT_TRUE(run_loop_until([&] {
			return all_know(fleet_size) &&
			       watchers().size() == STORE_READER_COUNT;
		}));
	}
	int64_t calls()
	{
		int64_t sum = 0;

		for (auto &rig : entries)
			sum += calls_of(*rig);
		return sum;
	}
	~ReaderFleet()
	{
		const GPtrArray *breaches = pe_breaches(platform.get());

		for (guint i = 0; i < breaches->len; i++)
			ADD_FAILURE()
				<< (const char *)g_ptr_array_index(breaches, i);
	}
	void add_upstreams()
	{
		pe_add(platform.get(), PE_PLAIN, "plain", "a");
		pe_add(platform.get(), PE_PLAIN, "plain", "b");
	}
	void set_config(int64_t version)
	{
		char *json = pe_sample_config(version);

		pe_set_config(platform.get(), json);
		g_free(json);
	}
	Rig &start(int i, bool is_bootstrap_reader, int64_t slow_start_us = 1)
	{
		std::string ip = "127.0.0." + std::to_string(i + 1);

		entries.push_back(std::make_unique<Rig>(platform.get(),
							is_bootstrap_reader));
		entries.back()->spreads_config = true;
		entries.back()->join(ip.c_str(), 500,
				     { "127.0.0.1", "127.0.0.2" },
				     slow_start_us);
		plf_kv_set_wait(entries.back()->kv, LP_US_PER_S, true);
		return *entries.back();
	}
	bool all_ready()
	{
		for (auto &rig : entries)
			if (!direct_ready(rig->entry))
				return false;
		return true;
	}
	bool all_know(uint32_t members)
	{
		for (auto &rig : entries)
			if (direct_peers_count(rig->peers) < members)
				return false;
		return true;
	}
	bool all_have(int64_t version)
	{
		for (auto &rig : entries)
			if (direct_config_version(rig->entry) < version)
				return false;
		return true;
	}
	bool all_list(const char *id, bool listed)
	{
		for (auto &rig : entries) {
			g_autofree char *list = plf_feed_list_text(rig->feed);

			if ((strstr(list, id) != nullptr) != listed)
				return false;
		}
		return true;
	}
	std::vector<Rig *> watchers()
	{
		std::vector<Rig *> found;

		for (auto &rig : entries)
			if (plf_feed_is_watching(rig->feed))
				found.push_back(rig.get());
		return found;
	}
	/* Ends these entries abruptly. */
	void end(const std::vector<Rig *> &ended)
	{
		for (Rig *rig : ended)
			for (size_t i = 0; i < entries.size(); i++)
				if (entries[i].get() == rig)
					entries.erase(entries.begin() +
						      (long)i);
	}
	static int64_t calls_of(Rig &rig)
	{
		int64_t calls = 0;

		for (const char *purpose :
		     { "range", "watch", "watch_read", "kept_out" }) {
			std::string label =
				std::string("purpose=\"") + purpose + "\"";

			calls += *lp_counter(rig.counters,
					     "linepier_kv_calls_total",
					     label.c_str());
		}
		return calls;
	}
};

void wait_ms(int64_t ms)
{
	run_loop_until([] { return false; }, ms);
}

/* Changes of the configuration and of the list reach all entries, and those
 * that are not readers make no call. */
TEST(StoreReaderFleet, OnlyReadersCallTheService)
{
	ReaderFleet fleet;
	std::map<Rig *, int64_t> calls;
	auto readers = fleet.watchers();

	wait_ms(300);
	for (auto &rig : fleet.entries)
		calls[rig.get()] = ReaderFleet::calls_of(*rig);
	fleet.set_config(2);
	EXPECT_TRUE(run_loop_until([&] { return fleet.all_have(2); }, 1000));
	pe_upstream *added =
		pe_add(fleet.platform.get(), PE_PLAIN, "plain", "b");
	const std::string id = pe_name(added);
	EXPECT_TRUE(run_loop_until(
		[&] { return fleet.all_list(id.c_str(), true); }, 1000));
	wait_ms(1500);
	for (auto &rig : fleet.entries) {
		if (std::count(readers.begin(), readers.end(), rig.get()))
			continue;
		EXPECT_EQ(ReaderFleet::calls_of(*rig), calls[rig.get()]);
	}
}

/* Changes of the list are announced with it: each entry fetched a list of a
 * hundred kilobytes from the one that had polled it, at each change. */
TEST(StoreReaderFleet, ListChangesAreNotFetched)
{
	ReaderFleet fleet;
	const char labels[] =
		"target=\"" PLF_UPSTREAM_LIST_TARGET "\",outcome=\"ok\"";
	auto fetches = [&] {
		int64_t sum = 0;

		for (auto &rig : fleet.entries)
			sum += *lp_counter(rig->counters,
					   "linepier_peer_fetches_total",
					   labels);
		return sum;
	};
	int64_t before;

	wait_ms(700);
	before = fetches();
	for (int i = 0; i < 3; i++) {
		pe_upstream *added =
			pe_add(fleet.platform.get(), PE_PLAIN, "plain", "b");
		const std::string id = pe_name(added);

		EXPECT_TRUE(run_loop_until(
			[&] { return fleet.all_list(id.c_str(), true); },
			1000));
		pe_remove(added);
		EXPECT_TRUE(run_loop_until(
			[&] { return fleet.all_list(id.c_str(), false); },
			1000));
	}
	EXPECT_LE(fetches() - before, 3);
}

/* An entry that starts takes configuration, list and closed domains from a
 * member, and serves at once. */
TEST(StoreReaderFleet, StartingEntryGetsAllFromMembers)
{
	ReaderFleet fleet;

	pe_evacuate(fleet.platform.get(), "a");
	wait_ms(300);
	Rig &late = fleet.start(fleet_size, false, 60 * LP_US_PER_S);
	pe_upstream *closed =
		pe_add(fleet.platform.get(), PE_PLAIN, "plain", "a");

	EXPECT_TRUE(
		run_loop_until([&] { return direct_ready(late.entry); }, 600));
	wait_ms(700);
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(CallerRequest(late.address,
					("r" + std::to_string(i)).c_str(),
					"/look/x")
				  .wait()
				  .status,
			  200u);
	EXPECT_EQ(pe_arrivals(closed), 0u);
	EXPECT_EQ(ReaderFleet::calls_of(late), 0);
}

/* All readers end at once: a change that is made then is in force in time. */
TEST(StoreReaderFleet, ReadersThatEndAreReplaced)
{
	ReaderFleet fleet;

	fleet.end(fleet.watchers());
	fleet.set_config(2);
	EXPECT_TRUE(run_loop_until([&] { return fleet.all_have(2); }, 2000));
	EXPECT_EQ(fleet.entries.size(),
		  (size_t)fleet_size - STORE_READER_COUNT);
}

/* Reports of a version that a member cannot fetch do not keep it from reading
 * the service: here the peers' fetches are off. */
TEST(StoreReaderFleet, EntryThatCannotFetchFromPeersReadsTheService)
{
	ReaderFleet fleet;
	Rig *cut = nullptr;

	for (auto &rig : fleet.entries)
		if (!plf_feed_is_watching(rig->feed))
			cut = rig.get();
	ASSERT_NE(cut, nullptr);
	cut->spreads_config = false;
	fleet.set_config(2);
	EXPECT_TRUE(run_loop_until([&] { return fleet.all_have(2); }, 2000));
}

/* No member runs: an entry that is no bootstrap reader, and whose seeds are
 * silent, reads the service itself. */
TEST(StoreReaderFleet, EntryWithoutMembersReadsTheService)
{
	std::unique_ptr<pe, void (*)(pe *)> platform{ pe_create(), pe_destroy };
	char *json = pe_sample_config(1);

	pe_set_config(platform.get(), json);
	g_free(json);
	pe_add(platform.get(), PE_PLAIN, "plain", "a");
	Rig rig(platform.get(), false);

	rig.spreads_config = true;
	rig.join("127.0.0.1", 500, { "127.0.0.8", "127.0.0.9" });
	EXPECT_TRUE(
		run_loop_until([&] { return direct_ready(rig.entry); }, 1500));
}

/* ---- faults of the service ---- */

/* The service is away while all entries start. */
TEST(StoreReaderFleet, AllServeSoonAfterAnOutageInWhichTheyStarted)
{
	ReaderFleet fleet(PE_STORE_BUSY);

	wait_ms(3000);
	pe_store_fault(fleet.platform.get(), PE_STORE_FINE);
	EXPECT_TRUE(run_loop_until([&] { return fleet.all_ready(); }, 2500));
}

/* All entries end at once and start again: each has all it needs soon, and the
 * service gets no more calls than those of the bootstrap readers and of the
 * elected ones. */
TEST(StoreReaderFleet, AllServeSoonAfterAllHaveEnded)
{
	ReaderFleet fleet;

	fleet.entries.clear();
	fleet.start_all();
	EXPECT_TRUE(run_loop_until([&] { return fleet.all_ready(); }, 1000));
	EXPECT_LE(fleet.calls(), 4 * (STORE_READER_COUNT + 2));
}

/* The service refuses all for a while, and changes meanwhile. */
TEST(StoreReaderFleet, ChangeDuringAnOutageIsInForceSoonAfterIt)
{
	ReaderFleet fleet;

	pe_store_fault(fleet.platform.get(), PE_STORE_BUSY);
	wait_ms(2500);
	fleet.set_config(2);
	pe_store_fault(fleet.platform.get(), PE_STORE_FINE);
	EXPECT_TRUE(run_loop_until([&] { return fleet.all_have(2); }, 2000));
}

/* The service has forgotten all watches: it answers none of them. */
TEST(StoreReaderFleet, ChangeIsInForceInTimeThoughAllWatchesAreForgotten)
{
	ReaderFleet fleet;

	pe_store_fault(fleet.platform.get(), PE_STORE_DEAF_WATCHES);
	fleet.set_config(2);
	wait_ms(100);
	pe_store_fault(fleet.platform.get(), PE_STORE_FINE);
	EXPECT_TRUE(run_loop_until([&] { return fleet.all_have(2); }, 2000));
}

/* All open connections to the service go silent for good. */
TEST(StoreReaderFleet, ChangeIsInForceInTimeThoughAllConnectionsAreSilent)
{
	ReaderFleet fleet;

	pe_store_silence(fleet.platform.get());
	fleet.set_config(2);
	EXPECT_TRUE(run_loop_until([&] { return fleet.all_have(2); }, 2500));
}

} // namespace
