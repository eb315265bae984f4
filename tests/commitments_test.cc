/*
 * What entries tell dispatchers of the pieces that will come, without a
 * network: failures of entries, dispatchers and datagrams.
 */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <string>
#include <vector>

namespace
{

const int64_t ms = 1000;

using Counts = std::array<uint32_t, ADMISSION_RANKS>;
using Statement = std::map<std::string, Counts>;

/* One entry. Its clock and the assignment of shards are set by the test. */
struct Entry {
	struct Datagram {
		uint64_t peer;
		GVariant *body;
	};
	TestClock clock;
	std::map<std::string, std::vector<uint64_t>> dispatchers = {
		{ "first", { 7 } }, { "second", { 7 } }
	};
	uint32_t members = 2;
	std::vector<Datagram> sent;
	Statement queue; /* as this entry's queue was told */
	direct_commitments *commitments;

	Entry()
	{
		direct_commitments_options options = {};

		options.clock = &clock.clock;
		options.shard_count = [](void *self, const char *service) {
			return (uint32_t)of(self)->dispatchers[service].size();
		};
		options.dispatcher = [](void *self, const char *service,
					uint32_t shard) {
			return of(self)->dispatchers[service][shard];
		};
		options.members = [](void *self) { return of(self)->members; };
		options.is_dispatched = [](void *self, const char *service) {
			return of(self)->dispatchers.count(service) > 0;
		};
		options.send = [](void *self, uint64_t peer, GVariant *body) {
			of(self)->sent.push_back({ peer, g_variant_ref(body) });
		};
		options.on_changed = [](void *self, const char *service,
					const uint32_t *by_rank) {
			Counts &counts = of(self)->queue[service];

			std::copy(by_rank, by_rank + ADMISSION_RANKS,
				  counts.begin());
		};
		options.userdata = this;
		commitments = direct_commitments_create(&options);
	}
	~Entry()
	{
		direct_commitments_destroy(commitments);
		for (auto &datagram : sent)
			g_variant_unref(datagram.body);
	}
	static Entry *of(void *self)
	{
		return static_cast<Entry *>(self);
	}
	void add(const void *owner, const char *service, uint32_t stage,
		 int32_t rank, uint32_t pieces, uint64_t hash = 0)
	{
		direct_commitments_add(commitments, owner, hash, service, stage,
				       rank, pieces);
	}
	bool run_after(int64_t us)
	{
		clock.now_us += us;
		return direct_commitments_run(commitments);
	}
	void receive(uint64_t peer, GVariant *body)
	{
		direct_commitments_receive(commitments, peer, body);
	}
	uint32_t queued(const char *service, int rank)
	{
		return queue[service][rank];
	}
};

Statement read(GVariant *body)
{
	Statement out;
	GVariantIter *iter;
	guint64 sequence;
	const char *name;
	GVariant *cells;

	g_variant_get(body, "(ta(sau))", &sequence, &iter);
	while (g_variant_iter_next(iter, "(&s@au)", &name, &cells)) {
		gsize count;
		auto *values =
			static_cast<const uint32_t *>(g_variant_get_fixed_array(
				cells, &count, sizeof(uint32_t)));

		/* Ranks after the last one with pieces are left out. */
		EXPECT_LE(count, (gsize)ADMISSION_RANKS);
		EXPECT_TRUE(count && values[count - 1]);
		std::copy(values, values + count, out[name].begin());
		g_variant_unref(cells);
	}
	g_variant_iter_free(iter);
	return out;
}

/* A datagram as an entry of another release may send it. */
GVariant *write(uint64_t sequence, const char *service,
		const std::vector<uint32_t> &counts)
{
	GVariant *cells =
		g_variant_new_fixed_array(G_VARIANT_TYPE_UINT32, counts.data(),
					  counts.size(), sizeof(uint32_t));
	GVariant *entry = g_variant_new("(s@au)", service, cells);

	return g_variant_ref_sink(g_variant_new(
		"(t@a(sau))", (guint64)sequence,
		g_variant_new_array(G_VARIANT_TYPE("(sau)"), &entry, 1)));
}

void deliver(Entry &to, uint64_t peer, uint64_t sequence, const char *service,
	     const std::vector<uint32_t> &counts)
{
	GVariant *body = write(sequence, service, counts);

	to.receive(peer, body);
	g_variant_unref(body);
}

} // namespace

/* The start of a burst: requests that were admitted 0.5 s before they reach the
 * second stage are known there at once. What was submitted counts no longer. */
TEST(Commitments, DispatchersAreToldOfPiecesThatWillCome)
{
	Entry entry;
	Entry dispatcher;
	int one;
	int other;

	dispatcher.dispatchers = { { "first", { 0 } }, { "second", { 0 } } };
	entry.add(&one, "first", 0, 0, 1);
	entry.add(&one, "second", 1, 0, 8);
	entry.add(&other, "second", 1, 2, 5);
	direct_commitments_submitted(entry.commitments, &one, 0, 1);
	EXPECT_TRUE(entry.run_after(100 * ms));
	ASSERT_EQ(entry.sent.size(), 1u);
	EXPECT_EQ(entry.sent[0].peer, 7u);
	EXPECT_EQ(read(entry.sent[0].body),
		  (Statement{ { "second", { 8, 0, 5, 0 } } }));
	dispatcher.receive(1, entry.sent[0].body);
	EXPECT_EQ(dispatcher.queued("second", 0), 8u);
	EXPECT_EQ(dispatcher.queued("second", 2), 5u);
	direct_commitments_submitted(entry.commitments, &one, 1, 8);
	/* Pieces that are computed again were not committed. */
	direct_commitments_submitted(entry.commitments, &one, 1, 3);
	entry.run_after(100 * ms);
	dispatcher.receive(1, entry.sent[1].body);
	EXPECT_EQ(dispatcher.queued("second", 0), 0u);
	EXPECT_EQ(dispatcher.queued("second", 2), 5u);
}

/* Callers leave in a burst: the next datagram no longer has their pieces, and
 * then nothing is sent any more. */
TEST(Commitments, PiecesOfCallersThatLeaveAreWithdrawn)
{
	Entry entry;
	int one;

	entry.add(&one, "first", 0, 1, 4);
	entry.run_after(100 * ms);
	direct_commitments_end(entry.commitments, &one);
	direct_commitments_end(entry.commitments, &one);
	entry.run_after(100 * ms);
	ASSERT_EQ(entry.sent.size(), 2u);
	EXPECT_EQ(read(entry.sent[1].body), Statement{});
	EXPECT_FALSE(entry.run_after(100 * ms));
	EXPECT_EQ(entry.sent.size(), 2u);
}

/* Steady load: at most one datagram per dispatcher in 100 ms, fewer in a large
 * fleet, and few without a change. One that is lost is repeated before the
 * numbers expire. */
TEST(Commitments, DatagramsAreFew)
{
	Entry entry;
	int owners[2000];
	size_t unchanged;

	for (int i = 0; i < 1000; i++) {
		entry.add(&owners[i], "first", 0, i % 5, 1);
		entry.run_after(10 * ms);
	}
	EXPECT_LE(entry.sent.size(), 100u);
	EXPECT_GE(entry.sent.size(), 90u);
	/* By services and ranks, not by requests. */
	EXPECT_LE(g_variant_get_size(entry.sent.back().body), 64u);
	entry.run_after(100 * ms);
	unchanged = entry.sent.size();
	for (int i = 0; i < 100; i++)
		entry.run_after(100 * ms);
	EXPECT_LE(entry.sent.size() - unchanged, 30u);
	EXPECT_GE(entry.sent.size() - unchanged, 20u);
	/* An interval of 0.4 s for 100 members. */
	entry.members = 100;
	entry.run_after(400 * ms);
	unchanged = entry.sent.size();
	for (int i = 1000; i < 2000; i++) {
		entry.add(&owners[i], "first", 0, 0, 1);
		entry.run_after(10 * ms);
	}
	EXPECT_LE(entry.sent.size() - unchanged, 25u);
}

/* A datagram is lost, duplicated or overtaken by a newer one. */
TEST(Commitments, LostDuplicatedAndOldDatagramsDoNoHarm)
{
	Entry dispatcher;

	deliver(dispatcher, 1, 10, "first", { 3, 0, 0, 0 });
	deliver(dispatcher, 1, 10, "first", { 3, 0, 0, 0 });
	EXPECT_EQ(dispatcher.queued("first", 0), 3u);
	deliver(dispatcher, 1, 12, "first", { 9, 0, 0, 0 });
	deliver(dispatcher, 1, 11, "first", { 5, 0, 0, 0 });
	EXPECT_EQ(dispatcher.queued("first", 0), 9u);
	/* 13 is lost. A service that is not named has no pieces any more. */
	deliver(dispatcher, 1, 14, "second", { 0, 2, 0, 0 });
	EXPECT_EQ(dispatcher.queued("first", 0), 0u);
	EXPECT_EQ(dispatcher.queued("second", 1), 2u);
	/* Another entry. */
	deliver(dispatcher, 2, 1, "second", { 0, 4, 0, 0 });
	EXPECT_EQ(dispatcher.queued("second", 1), 6u);
}

/* An entry dies with admitted requests: its numbers end after a second, and
 * those of an entry that goes on stay. */
TEST(Commitments, NumbersOfADeadEntryExpire)
{
	Entry dispatcher;

	deliver(dispatcher, 1, 10, "first", { 3, 0, 0, 0 });
	deliver(dispatcher, 2, 10, "first", { 4, 0, 0, 0 });
	EXPECT_TRUE(dispatcher.run_after(900 * ms));
	EXPECT_EQ(dispatcher.queued("first", 0), 7u);
	deliver(dispatcher, 2, 11, "first", { 4, 0, 0, 0 });
	dispatcher.run_after(200 * ms);
	EXPECT_EQ(dispatcher.queued("first", 0), 4u);
	/* In a fleet whose interval is 2 s, numbers have to last longer. */
	dispatcher.members = 500;
	dispatcher.run_after(3000 * ms);
	EXPECT_EQ(dispatcher.queued("first", 0), 4u);
	EXPECT_FALSE(dispatcher.run_after(4000 * ms));
	EXPECT_EQ(dispatcher.queued("first", 0), 0u);
}

/* An entry restarts, with a clock that begins anew: its earlier numbers are
 * dropped and the new ones are read. */
TEST(Commitments, RestartedEntryIsHeard)
{
	Entry dispatcher;

	deliver(dispatcher, 1, 1000000, "first", { 3, 0, 0, 0 });
	direct_commitments_peer_restarted(dispatcher.commitments, 1);
	EXPECT_EQ(dispatcher.queued("first", 0), 0u);
	deliver(dispatcher, 1, 5, "first", { 2, 0, 0, 0 });
	EXPECT_EQ(dispatcher.queued("first", 0), 2u);
}

/* A dispatcher dies or its shard moves: the successor is told within the
 * interval, and the predecessor that nothing will come. */
TEST(Commitments, SuccessorOfADispatcherIsTold)
{
	Entry entry;
	int one;

	entry.add(&one, "first", 0, 0, 6);
	entry.run_after(100 * ms);
	entry.dispatchers["first"] = { 8 };
	direct_commitments_reassign(entry.commitments);
	entry.run_after(100 * ms);
	ASSERT_EQ(entry.sent.size(), 3u);
	for (size_t i = 1; i < 3; i++)
		EXPECT_EQ(read(entry.sent[i].body),
			  entry.sent[i].peer == 8
				  ? (Statement{ { "first", { 6, 0, 0, 0 } } })
				  : Statement{});
	/* This entry itself. */
	entry.dispatchers["first"] = { 0 };
	direct_commitments_reassign(entry.commitments);
	EXPECT_EQ(entry.queued("first", 0), 6u);
	direct_commitments_submitted(entry.commitments, &one, 0, 6);
	EXPECT_EQ(entry.queued("first", 0), 0u);
}

/* A dispatcher restarts and has lost all numbers: the next repetition, within a
 * third of a second, tells it although nothing has changed. */
TEST(Commitments, RestartedDispatcherIsToldAgain)
{
	Entry entry;
	Entry restarted;
	int one;

	entry.add(&one, "first", 0, 0, 6);
	entry.run_after(100 * ms);
	entry.run_after(100 * ms);
	EXPECT_EQ(entry.sent.size(), 1u);
	entry.run_after(100 * ms);
	entry.run_after(100 * ms);
	entry.run_after(100 * ms);
	ASSERT_EQ(entry.sent.size(), 2u);
	restarted.receive(1, entry.sent[1].body);
	EXPECT_EQ(restarted.queued("first", 0), 6u);
}

/* The upstreams of a service double, and with them its shards: each dispatcher
 * is told of the pieces that go to its own. */
TEST(Commitments, PiecesAreCountedByTheShardOfTheirRequest)
{
	Entry entry;
	int owners[4];

	for (uint64_t i = 0; i < 4; i++)
		entry.add(&owners[i], "first", 0, 0, 1u << i, i);
	entry.dispatchers["first"] = { 7, 8 };
	direct_commitments_reassign(entry.commitments);
	entry.run_after(100 * ms);
	ASSERT_EQ(entry.sent.size(), 2u);
	for (auto &datagram : entry.sent)
		EXPECT_EQ(read(datagram.body)["first"][0],
			  datagram.peer == 7 ? 5u : 10u);
	for (int &owner : owners)
		direct_commitments_end(entry.commitments, &owner);
	entry.run_after(100 * ms);
	ASSERT_EQ(entry.sent.size(), 4u);
	EXPECT_EQ(read(entry.sent[2].body), Statement{});
	EXPECT_EQ(read(entry.sent[3].body), Statement{});
}

/* Peers of another release, or with faults: further ranks count as the last,
 * numbers are bounded, and unknown services are not kept. */
TEST(Commitments, ForeignNumbersAreBounded)
{
	const int last_rank = ADMISSION_RANKS - 1;
	Entry dispatcher;

	deliver(dispatcher, 1, 1, "first",
		{ 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 4, 5 });
	EXPECT_EQ(dispatcher.queued("first", 0), 1u);
	EXPECT_EQ(dispatcher.queued("first", last_rank), 9u);
	deliver(dispatcher, 1, 2, "first", { 1, 2 });
	EXPECT_EQ(dispatcher.queued("first", 1), 2u);
	EXPECT_EQ(dispatcher.queued("first", last_rank), 0u);
	deliver(dispatcher, 1, 3, "first",
		{ UINT32_MAX, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, UINT32_MAX,
		  UINT32_MAX });
	EXPECT_EQ(dispatcher.queued("first", 0), 1000000u);
	EXPECT_EQ(dispatcher.queued("first", last_rank), 1000000u);
	deliver(dispatcher, 1, 4, "unknown", { 1, 0, 0, 0 });
	EXPECT_EQ(dispatcher.queue.count("unknown"), 0u);
	EXPECT_EQ(dispatcher.queued("first", 0), 0u);
}
