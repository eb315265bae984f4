/*
 * Which entries of a fleet call the key-value service: policy/store_reader.h.
 *
 * They guard against this failure: each entry watched the configuration and
 * read the list of upstreams by itself when it started, and while an
 * announcement of the list was on its way many others polled as well. A day of
 * 385 entries took 89 calls an entry, twice as many as one of 17 entries.
 */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <set>
#include <vector>

namespace
{

const int64_t apply_us = 5 * LP_US_PER_S;
const int64_t poll_us = LP_US_PER_S;
const int64_t list_bound_us = 5 * LP_US_PER_S;

/* ---- ranks ---- */

std::vector<dispatchers_member> some_members(uint32_t count)
{
	std::vector<dispatchers_member> members;

	for (uint32_t i = 0; i < count; i++)
		members.push_back({ lp_hash_pair(i, 7), 500 });
	return members;
}

TEST(StoreReader, RanksAreAPermutation)
{
	auto members = some_members(40);
	std::set<uint32_t> ranks;

	for (auto &member : members)
		ranks.insert(
			store_reader_rank(members.data(), 40, member.hash));
	EXPECT_EQ(ranks.size(), 40u);
	EXPECT_EQ(*ranks.rbegin(), 39u);
}

/* Weak members come after strong ones, members that take no work after both,
 * and an entry that is no member last. */
TEST(StoreReader, StrongMembersRankFirst)
{
	auto members = some_members(30);

	for (uint32_t i = 0; i < 30; i++)
		members[i].capacity = i < 10 ? 500 : i < 20 ? 90 : 0;
	for (uint32_t i = 0; i < 30; i++)
		EXPECT_EQ(
			store_reader_rank(members.data(), 30, members[i].hash) /
				10,
			i / 10);
	EXPECT_EQ(store_reader_rank(members.data(), 30, 12345), 30u);
}

/* The loss of a member moves no other member by more than one rank. */
TEST(StoreReader, LossOfAMemberMovesOthersByOneRank)
{
	auto members = some_members(30);
	auto fewer = members;

	fewer.erase(fewer.begin() + 11);
	for (auto &member : fewer) {
		uint32_t before =
			store_reader_rank(members.data(), 30, member.hash);
		uint32_t after =
			store_reader_rank(fewer.data(), 29, member.hash);

		EXPECT_TRUE(after == before || after + 1 == before);
	}
}

/* ---- one entry ---- */

struct One {
	TestClock time;
	store_reader reader;

	One(uint32_t rank, uint32_t members, bool is_bootstrap = false,
	    bool is_settled = true)
	{
		store_reader_options options = {};
		store_reader_standing standing = { rank, members, is_settled };

		options.clock = &time.clock;
		options.apply_us = apply_us;
		options.poll_us = poll_us;
		options.list_bound_us = list_bound_us;
		options.is_bootstrap_reader = is_bootstrap;
		store_reader_init(&reader, &options);
		store_reader_set_standing(&reader, &standing);
	}
	bool should_watch()
	{
		return store_reader_should_watch(&reader);
	}
	void pass(int64_t us)
	{
		time.now_us += us;
	}
	void report(uint64_t member, uint32_t rank)
	{
		store_reader_handle_report(&reader, member, rank, 0);
	}
};

TEST(StoreReader, ElectedEntriesWatchOnceMembersAreDiscovered)
{
	One one(7, 100, false, false);
	store_reader_standing settled = { 7, 100, true };

	EXPECT_FALSE(one.should_watch());
	EXPECT_EQ(store_reader_poll_age_us(&one.reader, 0),
		  6 * list_bound_us / 10);
	store_reader_set_standing(&one.reader, &settled);
	EXPECT_TRUE(one.should_watch());
	EXPECT_LT(store_reader_poll_age_us(&one.reader, 1), 2 * poll_us);
}

TEST(StoreReader, BootstrapReadersWatchAtOnce)
{
	One one(80, 100, true, false);

	EXPECT_TRUE(one.should_watch());
	EXPECT_LE(store_reader_poll_age_us(&one.reader, 1),
		  6 * list_bound_us / 10);
}

/* Every entry takes over in time for a read within the apply time, whatever its
 * rank, and not all at once. */
TEST(StoreReader, SilenceOfAllReadersIsTakenOverInTime)
{
	int64_t first_us = INT64_MAX;
	int64_t last_us = 0;

	for (uint32_t rank : { 8u, 100u, 250u, 384u }) {
		One one(rank, 385);
		int64_t waited_us = 0;

		one.report(1, 0);
		for (; !one.should_watch(); waited_us += 10000)
			one.pass(10000);
		first_us = std::min(first_us, waited_us);
		last_us = std::max(last_us, waited_us);
	}
	EXPECT_LE(last_us, apply_us / 2);
	EXPECT_GE(last_us - first_us, apply_us / 6);
}

TEST(StoreReader, ReportsOfAnyReaderDelayATakeover)
{
	One one(20, 100);

	for (int i = 0; i < 40; i++) {
		one.report(1, 0);
		EXPECT_FALSE(one.should_watch());
		one.pass(apply_us / 8);
	}
}

/* An entry that took over goes on until there are enough better readers:
 * otherwise two that took over would both stop. */
TEST(StoreReader, TakeoverEndsWhenEnoughBetterReadersReport)
{
	One one(20, 100);

	one.pass(apply_us);
	EXPECT_TRUE(one.should_watch());
	for (uint32_t i = 0; i < 7; i++)
		one.report(1 + i, i);
	for (uint32_t i = 0; i < 7; i++)
		one.report(50 + i, 30 + i);
	EXPECT_TRUE(one.should_watch());
	one.report(8, 7);
	EXPECT_FALSE(one.should_watch());
	/* Their reports are out of date. */
	one.pass(apply_us);
	EXPECT_TRUE(one.should_watch());
}

/* Guards against takeovers at rest: the calls of eight readers were answered in
 * one half of each round, and in the other half an entry took over each time.
 */
TEST(StoreReader, ReportsAreRepeatedInLongPauses)
{
	One reader(3, 100);
	One other(8, 100);
	int64_t silent_us = 0;

	EXPECT_TRUE(reader.should_watch());
	store_reader_handle_answer(&reader.reader);
	other.report(1, 3);
	for (; silent_us < apply_us / 2; silent_us += 50000) {
		EXPECT_FALSE(other.should_watch()) << silent_us;
		reader.pass(50000);
		other.pass(50000);
		if (store_reader_should_repeat_report(&reader.reader))
			other.report(1, 3);
	}
	/* It has had no answer for too long to report again. */
	reader.pass(apply_us);
	EXPECT_FALSE(store_reader_should_repeat_report(&reader.reader));
}

/* An entry that does not watch, or hears others report, does not repeat. */
TEST(StoreReader, ReportsAreNotRepeatedNeedlessly)
{
	One one(20, 100);
	One reader(3, 100);

	one.pass(apply_us / 4);
	EXPECT_FALSE(store_reader_should_repeat_report(&one.reader));
	EXPECT_TRUE(reader.should_watch());
	store_reader_handle_answer(&reader.reader);
	reader.pass(apply_us / 8);
	reader.report(1, 0);
	reader.pass(apply_us / 8);
	EXPECT_FALSE(store_reader_should_repeat_report(&reader.reader));
}

/* Refused calls cost money, too. */
TEST(StoreReader, FailedTakeoverIsNotRepeatedAtOnce)
{
	One one(20, 100);
	int64_t waited_us = 0;

	one.pass(apply_us);
	EXPECT_TRUE(one.should_watch());
	EXPECT_FALSE(store_reader_handle_watch_failure(&one.reader));
	for (; !one.should_watch(); waited_us += 10000)
		one.pass(10000);
	EXPECT_GE(waited_us, apply_us / 2);
	EXPECT_LE(waited_us, apply_us);
}

TEST(StoreReader, ElectedEntriesGoOnAfterAFailure)
{
	One one(3, 100);

	EXPECT_TRUE(one.should_watch());
	EXPECT_TRUE(store_reader_handle_watch_failure(&one.reader));
	EXPECT_TRUE(one.should_watch());
}

/* The order in which entries poll the list. */
TEST(StoreReader, ListIsPolledInTheOrderOfRanks)
{
	int64_t previous_us = 0;

	for (uint32_t rank : { 0u, 1u, 4u, 7u, 8u, 100u, 384u }) {
		One one(rank, 385);
		int64_t age_us = store_reader_poll_age_us(&one.reader, 0.5);

		EXPECT_GT(age_us, previous_us) << rank;
		EXPECT_LE(age_us, 6 * list_bound_us / 10) << rank;
		previous_us = age_us;
	}
}

/* ---- a fleet ---- */

/*
 * Many entries, on a simulated clock and a network that loses datagrams, in
 * front of a service that answers or not. The members are known to all as they
 * would be by hellos: a lost one is missed after the liveness timeout.
 */
struct FleetModel {
	struct Event {
		int64_t at_us;
		uint64_t order;
		std::function<void()> run;
		bool operator>(const Event &other) const
		{
			return at_us != other.at_us ? at_us > other.at_us
						    : order > other.order;
		}
	};
	struct Entry {
		store_reader reader;
		uint64_t hash;
		bool is_running = true;
		bool is_member = true;	 /* as the others see it */
		bool is_refused = false; /* by the service */
		bool is_cut = false;	 /* from the other entries */
		bool is_watching = false;
		int watch = 0; /* counts watches; older calls are void */
		int64_t watched_version = 0;
		int64_t version = 0;
		int64_t known_us = 0; /* when the version came into force */
		int64_t list_us = 0;  /* when the list was read */
		int polls = 0;	      /* counts poll timers */
	};

	static const int64_t wait_us = apply_us / 2;
	static const int64_t answer_us = 6 * LP_US_PER_MS;
	static const int64_t pages_us = 60 * LP_US_PER_MS;
	static const int64_t liveness_us = 3500 * LP_US_PER_MS;
	static const int64_t check_us = 250 * LP_US_PER_MS;

	TestClock time;
	std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
	uint64_t order = 0;
	std::vector<Entry> entries;
	GRand *random;
	double loss;
	bool store_answers = true;
	int64_t store_version = 1;
	uint64_t calls = 0;
	uint64_t datagrams = 0;
	std::vector<uint32_t> ranks;
	uint32_t members = 0;

	FleetModel(uint32_t count, double loss, uint32_t seed)
	    : entries(count), random(g_rand_new_with_seed(seed)), loss(loss)
	{
		for (uint32_t i = 0; i < count; i++)
			entries[i].hash = lp_hash_pair(i, seed);
		rank_members();
		for (uint32_t i = 0; i < count; i++)
			start(i, i < 3);
	}
	~FleetModel()
	{
		g_rand_free(random);
	}
	double drawn()
	{
		return g_rand_double(random);
	}
	void after(int64_t us, std::function<void()> run)
	{
		events.push({ time.now_us + us, order++, std::move(run) });
	}
	void run_for(int64_t us)
	{
		int64_t end_us = time.now_us + us;

		while (!events.empty() && events.top().at_us <= end_us) {
			Event event = events.top();

			events.pop();
			time.now_us = event.at_us;
			event.run();
		}
		time.now_us = end_us;
	}

	/* ---- members ---- */
	void rank_members()
	{
		std::vector<std::pair<uint64_t, uint32_t>> order_of;

		for (uint32_t i = 0; i < entries.size(); i++)
			if (entries[i].is_member)
				order_of.push_back({ entries[i].hash, i });
		std::sort(order_of.rbegin(), order_of.rend());
		ranks.assign(entries.size(), (uint32_t)order_of.size());
		for (uint32_t i = 0; i < order_of.size(); i++)
			ranks[order_of[i].second] = i;
		members = (uint32_t)order_of.size();
	}
	void refresh_standing(Entry &entry, uint32_t i)
	{
		/* An entry that is cut off misses all others after a while. */
		store_reader_standing standing = { ranks[i], members, true };

		store_reader_set_standing(&entry.reader, &standing);
	}
	void start(uint32_t i, bool is_bootstrap)
	{
		Entry &entry = entries[i];
		store_reader_options options = {};

		options.clock = &time.clock;
		options.apply_us = apply_us;
		options.poll_us = poll_us;
		options.list_bound_us = list_bound_us;
		options.is_bootstrap_reader = is_bootstrap;
		store_reader_init(&entry.reader, &options);
		entry.list_us = time.now_us;
		after((int64_t)(drawn() * 300000), [this, i, is_bootstrap] {
			check(i);
			set_poll_timer(i);
			if (is_bootstrap)
				poll(i);
		});
	}
	void kill(uint32_t i)
	{
		entries[i].is_running = false;
		after(liveness_us, [this, i] {
			entries[i].is_member = false;
			rank_members();
		});
	}
	void send_all(uint32_t from,
		      const std::function<void(uint32_t)> &handle)
	{
		for (uint32_t to = 0; to < entries.size(); to++) {
			if (to == from || entries[from].is_cut ||
			    entries[to].is_cut)
				continue;
			datagrams++;
			if (drawn() < loss)
				continue;
			after(2000 + (int64_t)(drawn() * 8000),
			      [this, to, handle] {
				      if (entries[to].is_running)
					      handle(to);
			      });
		}
	}

	/* ---- the watch ---- */
	void check(uint32_t i)
	{
		Entry &entry = entries[i];
		bool should_watch;

		if (!entry.is_running)
			return;
		refresh_standing(entry, i);
		should_watch = store_reader_should_watch(&entry.reader);
		if (should_watch && !entry.is_watching)
			begin_watch(i);
		if (!should_watch && entry.is_watching) {
			entry.is_watching = false;
			entry.watch++;
		}
		if (entry.is_watching &&
		    store_reader_should_repeat_report(&entry.reader))
			report(i);
		after(check_us, [this, i] { check(i); });
	}
	bool is_served(const Entry &entry) const
	{
		return store_answers && !entry.is_refused;
	}
	void begin_watch(uint32_t i)
	{
		Entry &entry = entries[i];
		int watch = ++entry.watch;

		entry.is_watching = true;
		calls++;
		after(answer_us, [this, i, watch] {
			Entry &entry = entries[i];

			if (!entry.is_running || entry.watch != watch)
				return;
			if (is_served(entry))
				handle_watch_answer(i, watch);
			else
				fail_watch(i, watch);
		});
	}
	void fail_watch(uint32_t i, int watch)
	{
		Entry &entry = entries[i];

		if (!store_reader_handle_watch_failure(&entry.reader)) {
			entry.is_watching = false;
			entry.watch++;
			return;
		}
		after(LP_US_PER_S, [this, i, watch] {
			if (entries[i].is_running && entries[i].watch == watch)
				begin_watch(i);
		});
	}
	void handle_watch_answer(uint32_t i, int watch)
	{
		Entry &entry = entries[i];
		int64_t version = store_version;

		bool had_change = version > entry.watched_version;
		double part = had_change ? 0.05 + 0.95 * drawn() : 1;

		entry.watched_version = version;
		take(entry, version);
		store_reader_handle_answer(&entry.reader);
		report(i);
		calls++;
		after((int64_t)(part * (double)wait_us),
		      [this, i, watch] { end_watch_call(i, watch); });
	}
	void report(uint32_t i)
	{
		uint64_t hash = entries[i].hash;
		uint32_t rank = ranks[i];
		int64_t version = entries[i].version;
		int64_t list_us = entries[i].list_us;

		send_all(i, [this, i, hash, rank, version,
			     list_us](uint32_t to) {
			take_list(to, list_us);
			if (version <= entries[to].version)
				store_reader_handle_report(&entries[to].reader,
							   hash, rank, 0);
			fetch(to, i, version);
		});
	}
	void end_watch_call(uint32_t i, int watch)
	{
		Entry &entry = entries[i];

		if (!entry.is_running || entry.watch != watch)
			return;
		if (is_served(entry))
			handle_watch_answer(i, watch);
		else
			fail_watch(i, watch);
	}
	void take(Entry &entry, int64_t version)
	{
		if (version <= entry.version)
			return;
		entry.version = version;
		entry.known_us = time.now_us;
	}
	void fetch(uint32_t to, uint32_t from, int64_t version)
	{
		if (version <= entries[to].version)
			return;
		after((int64_t)(drawn() * 100000) + answer_us, [this, to, from,
								version] {
			if (entries[to].is_running && entries[from].is_running)
				take(entries[to], version);
		});
	}
	/* The service answers all its watches at once. */
	void change()
	{
		store_version++;
		for (uint32_t i = 0; i < entries.size(); i++) {
			Entry &entry = entries[i];
			int watch = entry.watch + 1;

			if (!entry.is_running || !entry.is_watching ||
			    !is_served(entry))
				continue;
			entry.watch = watch;
			after(answer_us,
			      [this, i, watch] { end_watch_call(i, watch); });
		}
	}

	/* ---- polls ---- */
	void set_poll_timer(uint32_t i)
	{
		Entry &entry = entries[i];
		int timer = ++entry.polls;
		int64_t age_us = time.now_us - entry.list_us;
		int64_t wait_us =
			store_reader_poll_age_us(&entry.reader, drawn()) -
			age_us;

		after(std::max<int64_t>(wait_us, 0), [this, i, timer] {
			if (entries[i].is_running && entries[i].polls == timer)
				poll(i);
		});
	}
	void poll(uint32_t i)
	{
		int64_t sent_us = time.now_us;

		refresh_standing(entries[i], i);
		calls++;
		after(pages_us, [this, i, sent_us] {
			Entry &entry = entries[i];

			if (!entry.is_running)
				return;
			if (!is_served(entry)) {
				after(list_bound_us, [this, i] {
					if (entries[i].is_running)
						set_poll_timer(i);
				});
				return;
			}
			entry.list_us = sent_us;
			set_poll_timer(i);
			send_all(i, [this, sent_us](uint32_t to) {
				take_list(to, sent_us);
			});
		});
	}

	void take_list(uint32_t i, int64_t list_us)
	{
		if (entries[i].list_us >= list_us)
			return;
		entries[i].list_us = list_us;
		set_poll_timer(i);
	}

	/* ---- what is measured ---- */
	uint64_t calls_in(int64_t us)
	{
		uint64_t before = calls;

		run_for(us);
		return calls - before;
	}
	/* Makes a change and returns after which time all have it, except
	 * entries that are cut off; -1: some never got it. */
	int64_t spread_us()
	{
		int64_t changed_us = time.now_us;
		int64_t last_us = changed_us;

		change();
		run_for(3 * apply_us);
		for (const Entry &entry : entries) {
			if (!entry.is_running)
				continue;
			if (entry.version < store_version)
				return -1;
			last_us = std::max(last_us, entry.known_us);
		}
		return last_us - changed_us;
	}
	std::vector<uint32_t> readers() const
	{
		std::vector<uint32_t> found;

		for (uint32_t i = 0; i < entries.size(); i++)
			if (entries[i].is_running && entries[i].is_watching)
				found.push_back(i);
		return found;
	}
	int64_t oldest_list_us() const
	{
		int64_t oldest_us = 0;

		for (const Entry &entry : entries)
			if (entry.is_running)
				oldest_us = std::max(
					oldest_us, time.now_us - entry.list_us);
		return oldest_us;
	}
};

const uint32_t sizes[] = { 30, 100, 400, 1600 };

/* At rest, the calls of the whole fleet do not grow with it, nor do the
 * datagrams that an entry receives. */
TEST(StoreReaderModel, CallsAtRestDoNotGrowWithTheFleet)
{
	for (double loss : { 0.0, 0.01, 0.1 }) {
		uint64_t calls_of_100 = 0;
		uint64_t datagrams_of_100 = 0;

		for (uint32_t size : sizes) {
			FleetModel model(size, loss, 11);
			uint64_t at_start = model.calls_in(10 * LP_US_PER_S);
			uint64_t datagrams = model.datagrams;
			uint64_t calls = model.calls_in(30 * LP_US_PER_S);

			datagrams = (model.datagrams - datagrams) / size;
			printf("entries %4u loss %.2f: calls %3lu in the first "
			       "10 s, %3lu in 30 s; %3lu datagrams an entry; "
			       "%zu readers\n",
			       size, loss, (unsigned long)at_start,
			       (unsigned long)calls, (unsigned long)datagrams,
			       model.readers().size());
			fflush(stdout);
			if (size == 100) {
				calls_of_100 = calls;
				datagrams_of_100 = datagrams;
			}
			if (size < 100)
				continue;
			EXPECT_LE((double)calls, 1.3 * (double)calls_of_100);
			EXPECT_LE((double)datagrams,
				  1.3 * (double)datagrams_of_100);
			EXPECT_LE(at_start, calls);
		}
	}
}

TEST(StoreReaderModel, ChangesReachAllEntriesInTime)
{
	for (double loss : { 0.0, 0.01, 0.1 }) {
		int64_t spread_of_30_us = 0;

		for (uint32_t size : sizes) {
			FleetModel model(size, loss, 12);
			int64_t spread_us;

			model.run_for(10 * LP_US_PER_S);
			spread_us = model.spread_us();
			printf("entries %4u loss %.2f: known by all after %ld "
			       "ms\n",
			       size, loss, (long)spread_us / 1000);
			EXPECT_GE(spread_us, 0);
			if (size == sizes[0])
				spread_of_30_us = spread_us;
			EXPECT_LE(spread_us,
				  std::max(2 * spread_of_30_us, apply_us / 2));
		}
	}
}

/* All readers are killed, and at once a change is made. */
TEST(StoreReaderModel, LossOfAllReadersDelaysNoChangeBeyondItsBound)
{
	for (uint32_t size : sizes) {
		FleetModel model(size, 0.01, 13);
		uint64_t calls;
		int64_t spread_us;

		model.run_for(10 * LP_US_PER_S);
		for (uint32_t i : model.readers())
			model.kill(i);
		calls = model.calls;
		spread_us = model.spread_us();
		printf("entries %4u: known by all after %ld ms, %lu calls in "
		       "15 "
		       "s\n",
		       size, (long)spread_us / 1000,
		       (unsigned long)(model.calls - calls));
		EXPECT_GE(spread_us, 0);
		EXPECT_LE(spread_us, apply_us);
		EXPECT_EQ(model.readers().size(), (size_t)STORE_READER_COUNT);
		EXPECT_LE(model.calls - calls, 300u);
	}
}

/* The service turns the readers away, and serves the others: they take over.
 * The list stays within its bound as well. */
TEST(StoreReaderModel, RefusedReadersAreReplaced)
{
	for (uint32_t size : sizes) {
		FleetModel model(size, 0.01, 14);
		int64_t spread_us;

		model.run_for(10 * LP_US_PER_S);
		for (uint32_t i : model.readers())
			model.entries[i].is_refused = true;
		spread_us = model.spread_us();
		EXPECT_GE(spread_us, 0) << size;
		EXPECT_LE(spread_us, apply_us) << size;
		EXPECT_LE(model.oldest_list_us(), 4 * list_bound_us / 5)
			<< size;
	}
}

/* An entry that is cut off from the others, but not from the service, reads it
 * itself. */
TEST(StoreReaderModel, EntryCutOffFromOthersReadsItself)
{
	for (uint32_t size : sizes) {
		FleetModel model(size, 0, 15);
		int64_t spread_us;

		model.run_for(10 * LP_US_PER_S);
		model.entries[size - 1].is_cut = true;
		spread_us = model.spread_us();
		EXPECT_GE(spread_us, 0) << size;
		EXPECT_LE(spread_us, apply_us) << size;
		EXPECT_LE(model.oldest_list_us(), 4 * list_bound_us / 5)
			<< size;
	}
}

/* While the service is away, the calls are those of the readers and of a first
 * try by the others; all know of the next change in time once it is back. */
TEST(StoreReaderModel, OutageCostsEachEntryAFewCalls)
{
	for (uint32_t size : sizes) {
		FleetModel model(size, 0.01, 16);
		uint64_t calls;
		int64_t spread_us;

		model.run_for(10 * LP_US_PER_S);
		model.store_answers = false;
		calls = model.calls_in(5 * LP_US_PER_S);
		printf("entries %4u: %lu calls in an outage of 5 s\n", size,
		       (unsigned long)calls);
		EXPECT_LE(calls, 4u * size + 100u);
		model.store_answers = true;
		model.run_for(apply_us);
		spread_us = model.spread_us();
		EXPECT_GE(spread_us, 0) << size;
		EXPECT_LE(spread_us, apply_us) << size;
	}
}

} // namespace
