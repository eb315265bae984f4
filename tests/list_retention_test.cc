/*
 * Retention of upstreams that the list lacks after an outage of the key-value
 * service.
 *
 * The failure guarded against: one of 24 entries was cut off for eight seconds.
 * With the first list that it read afterwards it retained 32 upstreams that had
 * left meanwhile, and announced the result as the list that it had read. All
 * entries took it over, and one of the 32 got requests for three seconds after
 * the service had acknowledged that it drains.
 */
#include "scripted_feed.h"

namespace
{

const int64_t second_us = 1000000;

/* A feed of an entry that has peers, has read two upstreams and then gets no
 * answer for five seconds. */
struct AfterOutage : ScriptedFeed {
	AfterOutage() : ScriptedFeed(true)
	{
		answer_poll({ "i-1 ready", "i-2 ready", "i-3 draining" });
		clock.now_us += second_us;
		fail_poll();
		clock.now_us += 5 * second_us;
	}
};

TEST(ListRetention, UpstreamsAreRetainedAfterAnOutageThatAllEntriesHad)
{
	AfterOutage feed;

	feed.has_contact = true;
	feed.answer_poll({ "i-1 ready" });
	EXPECT_EQ(feed.retained(), 1);
	/* Peers are told of what was read. */
	EXPECT_EQ(feed.list_text().find("i-2"), std::string::npos);
	EXPECT_NE(feed.announced_changes.find("-i-2"), std::string::npos);
	/* One that registers again is an ordinary one. */
	feed.clock.now_us += second_us;
	feed.answer_poll({ "i-1 ready", "i-2 ready" });
	EXPECT_EQ(feed.retained(), 0);
	/* What is missing later on has left. */
	feed.clock.now_us += second_us / 10;
	feed.answer_poll({ "i-2 ready" });
	EXPECT_EQ(feed.retained(), 0);
}

TEST(ListRetention, RetainedUpstreamsExpire)
{
	AfterOutage feed;

	feed.has_contact = true;
	feed.answer_poll({ "i-1 ready" });
	EXPECT_EQ(feed.retained(), 1);
	EXPECT_TRUE(run_loop_until([&] { return !feed.retained(); }, 4000));
}

TEST(ListRetention, AnEntryThatWasCutOffAloneRetainsNothing)
{
	AfterOutage feed;

	feed.has_contact = false;
	feed.answer_poll({ "i-1 ready" });
	EXPECT_EQ(feed.retained(), 0);
	EXPECT_EQ(feed.list_text().find("i-2"), std::string::npos);
}

/* A peer whose poll is answered first ends the outage, but the entry's own list
 * is still the one from before it. */
TEST(ListRetention, APeerThatReadsFirstDoesNotPreventRetention)
{
	AfterOutage feed;

	feed.has_contact = true;
	EXPECT_FALSE(plf_feed_handle_peer_hash(feed.feed, 7, 0));
	feed.clock.now_us += second_us / 10;
	feed.answer_poll({ "i-1 ready" });
	EXPECT_EQ(feed.retained(), 1);
}

/* A peer that reads the service shows that only this entry gets no answers. */
TEST(ListRetention, FrequentReadsOfPeersPreventRetention)
{
	ScriptedFeed feed(true);

	feed.has_contact = true;
	feed.answer_poll({ "i-1 ready", "i-2 ready" });
	for (int i = 0; i < 12; i++) {
		feed.clock.now_us += second_us / 2;
		if (!i)
			feed.fail_poll();
		plf_feed_handle_peer_hash(feed.feed, 7, 0);
	}
	feed.answer_poll({ "i-1 ready" });
	EXPECT_EQ(feed.retained(), 0);
}

/* Entries that started during the outage know only the upstreams that have
 * registered since: with a poll each second half of the fleet's upstreams were
 * unused for a second longer than they had to be. */
TEST(ListRetention, ReadersPollMoreOftenWhileUpstreamsRegisterAgain)
{
	ScriptedFeed feed;
	const auto polls_within_a_second = [&] {
		int polls = 0;

		run_loop_until(
			[&] {
				if (feed.store.poll_pending()) {
					polls++;
					feed.store.finish_poll(
						std::vector<std::string>());
				}
				return false;
			},
			1000);
		return polls;
	};

	int usual = polls_within_a_second();
	int recovering;

	feed.fail_poll();
	recovering = polls_within_a_second();
	EXPECT_GE(recovering, 2 * usual);
	/* A poll that nobody answers for two seconds is repeated at once. */
	polls_within_a_second();
	polls_within_a_second();
	EXPECT_LE(2 * polls_within_a_second(), recovering);
}

/* Guards against slow answers being taken for an outage, after which what has
 * left would be retained. */
TEST(ListRetention, SlowAnswersAreNoOutage)
{
	ScriptedFeed feed(true);

	feed.has_contact = true;
	for (int i = 0; i < 3; i++) {
		ASSERT_TRUE(run_loop_until(
			[&] { return feed.store.poll_pending(); }));
		feed.clock.now_us += 2 * second_us;
		feed.store.finish_poll(std::vector<std::string>(
			i < 2 ? std::vector<std::string>{ "i-1 ready",
							  "i-2 ready" }
			      : std::vector<std::string>{ "i-1 ready" }));
	}
	EXPECT_EQ(feed.retained(), 0);
}

/* A peer announces a list that this entry could not fetch, and an upstream has
 * left in it: reads of others count also if their lists are not applied. */
TEST(ListRetention, AnnouncedReadsOfOtherListsAreNoOutage)
{
	ScriptedFeed feed(true);

	feed.has_contact = true;
	feed.answer_poll({ "i-1 ready", "i-2 ready" });
	for (int i = 0; i < 6; i++) {
		feed.clock.now_us += second_us / 2;
		plf_feed_handle_peer_hash(feed.feed, 7, 0);
	}
	feed.answer_poll({ "i-1 ready" });
	EXPECT_EQ(feed.retained(), 0);
}

/* Lists of peers are compared by the time at which they were read: an older one
 * would bring back what this entry has seen leave. */
TEST(ListRetention, AnOlderListOfAPeerReplacesNoNewerOne)
{
	ScriptedFeed feed(true);
	g_autofree char *older = nullptr;

	feed.answer_poll({ "i-1 ready", "i-2 ready" });
	older = plf_feed_list_text(feed.feed);
	feed.clock.now_us += second_us;
	feed.answer_poll({ "i-1 ready" });
	feed.clock.now_us += second_us;
	feed.fail_poll();
	plf_feed_offer_fallback_list(feed.feed, older, 2 * second_us);
	EXPECT_EQ(feed.list_text().find("i-2"), std::string::npos);
	plf_feed_offer_fallback_list(feed.feed, older, -1);
	EXPECT_EQ(feed.list_text().find("i-2"), std::string::npos);
	plf_feed_offer_announced_list(feed.feed, older, 2 * second_us);
	EXPECT_EQ(feed.list_text().find("i-2"), std::string::npos);
	plf_feed_offer_fallback_list(feed.feed, older, second_us / 2);
	EXPECT_NE(feed.list_text().find("i-2"), std::string::npos);
}

} // namespace
