/*
 * Records of the versions that began streams, and the history of the versions
 * that lists of upstreams name.
 */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

extern "C" {
#include "policy/stream_origins.h"
#include "policy/version_history.h"
}

namespace
{

struct Origins {
	TestClock clock;
	stream_origins *records;
	uint64_t version = 0;

	explicit Origins(uint32_t capacity = 100)
	    : records(stream_origins_create(&clock.clock, capacity))
	{
	}
	~Origins()
	{
		stream_origins_destroy(records);
	}
	stream_origin_status find(uint64_t attempt)
	{
		return stream_origins_find(records, attempt, &version);
	}
};

TEST(StreamOrigins, RecordLivesAsLongAsItsCallerWaits)
{
	Origins origins;

	stream_origins_add(origins.records, 1, 11, 2 * LP_US_PER_S);
	EXPECT_EQ(origins.find(1), STREAM_ORIGIN_KNOWN);
	EXPECT_EQ(origins.version, 11u);
	EXPECT_EQ(origins.find(2), STREAM_ORIGIN_UNKNOWN);
	origins.clock.now_us += 2 * LP_US_PER_S - 1;
	EXPECT_EQ(origins.find(1), STREAM_ORIGIN_KNOWN);
	origins.clock.now_us += 1;
	EXPECT_EQ(origins.find(1), STREAM_ORIGIN_UNKNOWN);
}

/* Guards against a choice between two versions that were recorded for the same
 * attempt; an ambiguous record stays so, also as a peer tells it. */
TEST(StreamOrigins, TwoVersionsOfAnAttemptAreAmbiguous)
{
	Origins origins;

	stream_origins_add(origins.records, 1, 11, LP_US_PER_S);
	stream_origins_add(origins.records, 1, 11, 3 * LP_US_PER_S);
	EXPECT_EQ(origins.find(1), STREAM_ORIGIN_KNOWN);
	stream_origins_add(origins.records, 1, 12, LP_US_PER_S);
	EXPECT_EQ(origins.find(1), STREAM_ORIGIN_AMBIGUOUS);
	stream_origins_add(origins.records, 1, 11, LP_US_PER_S);
	EXPECT_EQ(origins.find(1), STREAM_ORIGIN_AMBIGUOUS);
	origins.clock.now_us += 3 * LP_US_PER_S - 1;
	EXPECT_EQ(origins.find(1), STREAM_ORIGIN_AMBIGUOUS);
	stream_origins_add(origins.records, 2, 0, LP_US_PER_S);
	EXPECT_EQ(origins.find(2), STREAM_ORIGIN_AMBIGUOUS);
}

/* Guards against memory that grows with callers' deadlines or their number. */
TEST(StreamOrigins, LifetimeAndNumberOfRecordsAreBounded)
{
	Origins origins(10);

	stream_origins_add(origins.records, 1, 11, 3600 * LP_US_PER_S);
	origins.clock.now_us += STREAM_ORIGINS_LIFETIME_US;
	EXPECT_EQ(origins.find(1), STREAM_ORIGIN_UNKNOWN);
	for (uint64_t attempt = 1; attempt <= 30; attempt++)
		stream_origins_add(origins.records, attempt, 11, LP_US_PER_S);
	EXPECT_EQ(stream_origins_count(origins.records), 10u);
	EXPECT_EQ(origins.find(20), STREAM_ORIGIN_UNKNOWN);
	EXPECT_EQ(origins.find(21), STREAM_ORIGIN_KNOWN);
	origins.clock.now_us += LP_US_PER_S;
	stream_origins_add(origins.records, 31, 11, LP_US_PER_S);
	EXPECT_EQ(stream_origins_count(origins.records), 1u);
}

/* Guards against an expired record that is used again under its old place. */
TEST(StreamOrigins, ExpiredRecordIsReplaced)
{
	Origins origins;

	stream_origins_add(origins.records, 1, 11, 9 * LP_US_PER_S);
	stream_origins_add(origins.records, 2, 11, LP_US_PER_S);
	origins.clock.now_us += LP_US_PER_S;
	stream_origins_add(origins.records, 2, 12, LP_US_PER_S);
	EXPECT_EQ(origins.find(2), STREAM_ORIGIN_KNOWN);
	EXPECT_EQ(origins.version, 12u);
}

/* Guards against records that nobody finds: entries start and terminate between
 * the record and the lookup. */
TEST(StreamOrigins, LookupReachesAReplicaAlthoughEntriesChange)
{
	std::vector<uint64_t> entries;

	for (uint64_t i = 0; i < 385; i++)
		entries.push_back(lp_hash_pair(7, i));
	std::vector<uint64_t> later(entries.begin() + 4, entries.end());
	for (uint64_t i = 0; i < 8; i++)
		later.push_back(lp_hash_pair(8, i));
	int lost = 0;
	std::set<uint64_t> used;

	for (uint64_t attempt = 0; attempt < 10000; attempt++) {
		uint64_t replicas[STREAM_ORIGINS_REPLICAS];
		uint64_t queried[STREAM_ORIGINS_QUERIED];
		std::set<uint64_t> found;
		size_t kept = 0;

		ASSERT_EQ(stream_origins_choose(lp_hash_pair(attempt, 1),
						entries.data(), entries.size(),
						STREAM_ORIGINS_REPLICAS,
						replicas),
			  (uint32_t)STREAM_ORIGINS_REPLICAS);
		ASSERT_NE(replicas[0], replicas[1]);
		used.insert(replicas[0]);
		ASSERT_EQ(stream_origins_choose(lp_hash_pair(attempt, 1),
						later.data(), later.size(),
						STREAM_ORIGINS_QUERIED,
						queried),
			  (uint32_t)STREAM_ORIGINS_QUERIED);
		found.insert(queried, queried + STREAM_ORIGINS_QUERIED);
		for (uint64_t replica : replicas)
			kept += found.count(replica);
		lost += !kept;
	}
	EXPECT_EQ(used.size(), entries.size());
	/* All replicas among the 4 of 385 that terminated: once in 2 million.
	 */
	EXPECT_EQ(lost, 0);
}

TEST(StreamOrigins, FewEntriesAreAllChosen)
{
	const uint64_t entries[] = { 5, 6, 7 };
	uint64_t chosen[STREAM_ORIGINS_QUERIED];

	EXPECT_EQ(stream_origins_choose(1, entries, 3, STREAM_ORIGINS_QUERIED,
					chosen),
		  3u);
	EXPECT_EQ(std::set<uint64_t>(chosen, chosen + 3).size(), 3u);
	EXPECT_EQ(stream_origins_choose(1, entries, 0, STREAM_ORIGINS_QUERIED,
					chosen),
		  0u);
}

struct History {
	const uint64_t service = 1;
	version_history *history = version_history_create();
	int64_t now_us = 1000 * LP_US_PER_S;

	~History()
	{
		version_history_destroy(history);
	}
	void list(std::vector<uint64_t> versions, int64_t after_ms = 500)
	{
		now_us += after_ms * LP_US_PER_MS;
		version_history_begin_list(history, now_us);
		for (uint64_t version : versions)
			version_history_add(history, service, version);
		version_history_add(history, 2, 99);
	}
	void confirm()
	{
		now_us += 500 * LP_US_PER_MS;
		version_history_confirm_list(history, now_us);
	}
	uint64_t sole(int64_t ago_s)
	{
		return version_history_sole_version(
			history, service, now_us - ago_s * LP_US_PER_S);
	}
};

TEST(VersionHistory, NamesTheSoleVersionOnlyOfACoveredTime)
{
	History history;

	EXPECT_EQ(history.sole(0), 0u);
	for (int i = 0; i < 20; i++)
		history.list({ 11, 11 });
	EXPECT_EQ(history.sole(9), 11u);
	EXPECT_EQ(history.sole(11), 0u);
	EXPECT_EQ(version_history_sole_version(history.history, 3,
					       history.now_us),
		  0u);
	EXPECT_EQ(version_history_read_us(history.history), history.now_us);
}

/* Guards against a guess after a release: a version that is not listed any more
 * may have begun the stream. */
TEST(VersionHistory, VersionThatLeftCountsUntilItIsTooOld)
{
	History history;

	for (int i = 0; i < 4; i++)
		history.list({ 11 });
	history.list({ 11, 12 });
	history.confirm();
	history.confirm();
	for (int i = 0; i < 10; i++)
		history.list({ 12 });
	EXPECT_EQ(history.sole(6), 0u);
	EXPECT_EQ(history.sole(4), 12u);
	history.list({});
	EXPECT_EQ(history.sole(4), 12u);
}

/* Guards against versions that came and went while lists were not read. */
TEST(VersionHistory, PauseBetweenListsEndsTheCoveredTime)
{
	History history;

	for (int i = 0; i < 20; i++)
		history.list({ 11 });
	history.list({ 11 }, 2500);
	for (int i = 0; i < 4; i++)
		history.confirm();
	EXPECT_EQ(history.sole(2), 11u);
	EXPECT_EQ(history.sole(3), 0u);
}

/* Guards against an upstream of unknown version that is taken for one of the
 * sole version. */
TEST(VersionHistory, UnknownVersionIsNotTheSoleOne)
{
	History history;

	for (int i = 0; i < 20; i++)
		history.list({ 0 });
	EXPECT_EQ(history.sole(5), 0u);
	for (int i = 0; i < 4; i++)
		history.list({ 11 });
	EXPECT_EQ(history.sole(5), 0u);
}

/* Guards against refusals by an entry of a fleet that has just started for the
 * first time: no stream is older than the fleet. */
TEST(VersionHistory, FirstStartOfTheFleetIsCovered)
{
	History history;
	History late;

	version_history_set_first_start(history.history, history.now_us);
	history.list({ 11 }, 1900);
	EXPECT_EQ(history.sole(3600), 11u);
	version_history_set_first_start(late.history, late.now_us);
	late.list({ 11 }, 2100);
	EXPECT_EQ(late.sole(1), 0u);
}

/* Guards against refusals by an entry that was restarted: others have read
 * lists all the while. */
TEST(VersionHistory, HistoryOfAnotherEntryCounts)
{
	History old;
	History restarted;
	version_history_view view;

	EXPECT_FALSE(version_history_get_view(old.history, &view));
	for (int i = 0; i < 40; i++)
		old.list({ 11 });
	ASSERT_TRUE(version_history_get_view(old.history, &view));
	restarted.now_us = old.now_us;
	version_history_merge(restarted.history, &view);
	restarted.list({ 11 });
	EXPECT_EQ(restarted.sole(19), 11u);
	EXPECT_EQ(restarted.sole(21), 0u);
	/* The version that it only knows from the other one counts, too. */
	old.list({ 11, 12 });
	ASSERT_TRUE(version_history_get_view(old.history, &view));
	version_history_merge(restarted.history, &view);
	EXPECT_EQ(restarted.sole(5), 0u);
}

/* Guards against a time that nobody covers: the other entry's lists ended
 * before this one's began. */
TEST(VersionHistory, HistoryThatEndedEarlierDoesNotCount)
{
	History old;
	History later;
	version_history_view view;

	for (int i = 0; i < 40; i++)
		old.list({ 11 });
	ASSERT_TRUE(version_history_get_view(old.history, &view));
	later.now_us = old.now_us + 3 * LP_US_PER_S;
	later.list({ 11 });
	version_history_merge(later.history, &view);
	for (int i = 0; i < 6; i++)
		later.confirm();
	EXPECT_EQ(later.sole(3), 11u);
	EXPECT_EQ(later.sole(4), 0u);
}

/* Guards against a listed version that is forgotten because another entry had
 * seen it a moment later. */
TEST(VersionHistory, ListedVersionCountsAfterAMerge)
{
	History history;
	History other;
	version_history_view view;

	history.list({ 11, 12 });
	other.now_us = history.now_us + 100 * LP_US_PER_MS;
	other.list({ 12 }, 0);
	ASSERT_TRUE(version_history_get_view(other.history, &view));
	version_history_merge(history.history, &view);
	for (int i = 0; i < 20; i++)
		history.confirm();
	EXPECT_EQ(history.sole(5), 0u);
}

} // namespace
