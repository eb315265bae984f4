/*
 * A configuration that takes longer over an entry's link than a call may last.
 *
 * Seen: a change was confirmed and a third of the entries never had it in
 * force. How it came about: the configuration had grown to a megabyte, which
 * takes more than a second at 10 Mbit/s. Cause: a call was given up when its
 * time was over, though bytes were coming, and the next one began from the
 * start with the same time; the fetch from another entry likewise, over the
 * same link. What proved it: the stuck entries received at the rate of their
 * link without end, and their calls ended after one second with up to 99% of
 * the value.
 */
#include "direct_rig.h"

namespace
{

/* The rig's calls may last 300 ms, a watch's 500 ms and a second's slack. */
const uint32_t slow_bytes_per_s = 40000;
/* With these routes more a configuration is 66 KB, and 88 KB as the service
 * sends it: 2.2 s over the slow link. */
const uint32_t many_routes = 500;

std::string grown_config(int64_t version)
{
	char *text = pe_grown_config(version, many_routes);
	std::string json = text;

	g_free(text);
	return json;
}

bool comes_into_force(Rig &rig, int64_t version, int64_t limit_ms)
{
	return turn_until(
		[&] { return direct_config_version(rig.entry) == version; },
		limit_ms);
}

TEST(SlowLink, AConfigurationLargerThanACallsTimeComes)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_set_rate(rig.platform, slow_bytes_per_s);
	pe_set_config(rig.platform, grown_config(2).c_str());
	EXPECT_TRUE(comes_into_force(rig, 2, 5000));
}

/* As above, when the watch had failed and begins with a read. */
TEST(SlowLink, AConfigurationLargerThanACallsTimeIsRead)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_fault(rig.platform, PE_STORE_BUSY);
	ASSERT_TRUE(turn_until(
		[&] { return !plf_feed_kv_is_available(rig.feed); }));
	pe_store_set_rate(rig.platform, slow_bytes_per_s);
	pe_set_config(rig.platform, grown_config(2).c_str());
	pe_store_fault(rig.platform, PE_STORE_FINE);
	EXPECT_TRUE(comes_into_force(rig, 2, 5000));
}

/* What another writer wrote: with it a look at the list takes 27 s. */
void write_large_entry(Rig &rig)
{
	const std::string value(400000, '[');

	pe_write(rig.platform, "x-1", value.data(), value.size());
}

/*
 * Found by the soak, seed 7016. What happened: after an outage the newest
 * configuration was not in force 24 s later, though the service answered. Why:
 * the watch had ended, and began again with the first look at the list that was
 * answered whole; a look took 13 s, for an entry of 200 KB that another writer
 * had written, and was given up after 10. What showed it: calls for the list
 * that ended with 216 KB received after 10.0 s, one after another, and no call
 * for the configuration among them.
 */
TEST(SlowLink, ALookThatTakesLongDoesNotHoldBackTheConfiguration)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_fault(rig.platform, PE_STORE_BUSY);
	ASSERT_TRUE(turn_until(
		[&] { return !plf_feed_kv_is_available(rig.feed); }));
	turn_until([] { return false; }, 1500); /* the watch has ended, too */
	write_large_entry(rig);
	pe_store_set_rate(rig.platform, 20000);
	rig.set_config(2);
	pe_store_fault(rig.platform, PE_STORE_FINE);
	EXPECT_TRUE(comes_into_force(rig, 2, 5000));
}

/* The other side of the bound: what no longer comes is not waited for. */
TEST(SlowLink, AnAnswerThatFallsSilentIsGivenUp)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_set_rate(rig.platform, slow_bytes_per_s);
	pe_set_config(rig.platform, grown_config(2).c_str());
	turn_until([] { return false; }, 500);
	pe_store_silence(rig.platform);
	pe_store_set_rate(rig.platform, 0);
	EXPECT_TRUE(comes_into_force(rig, 2, 1500));
}

/* ---- connections that go silent between two answers ---- */

/* Kept connections to the service are silent from now on: what is changed then
 * is known within the time of a look, the watch begins anew with it. */
TEST(SlowLink, KeptConnectionsThatFallSilentAreLeft)
{
	Rig rig;
	pe_upstream *leaving = rig.add(PE_PLAIN, "plain");
	pe_upstream *staying = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_store_silence(rig.platform);
	rig.set_config(2);
	pe_drain(leaving);
	EXPECT_TRUE(comes_into_force(rig, 2, 1500));
	turn_until([] { return false; }, 300);
	for (int i = 0; i < 8; i++) {
		const std::string id = "a" + std::to_string(i);

		EXPECT_EQ(Ask(rig.address, id.c_str(), "/look/x").wait().status,
			  200u);
	}
	EXPECT_EQ(pe_arrivals(leaving), 0u);
	EXPECT_EQ(pe_arrivals(staying), 8u);
}

/* ---- how long a transfer may go on ---- */

TEST(SlowLink, BytesThatComeAreAwaitedSilenceIsNot)
{
	const lp_transfer transfer = { 300, 1000, 0 };

	EXPECT_EQ(lp_transfer_wait_us(&transfer, 1000), 300);
	EXPECT_EQ(lp_transfer_wait_us(&transfer, 5000000), 300);
}

/* A trickle must leave the link to another try at last. */
TEST(SlowLink, NoTransferGoesOnForEver)
{
	const lp_transfer transfer = { 300, 1000, 0 };

	EXPECT_EQ(lp_transfer_wait_us(&transfer, 10000900), 100);
	EXPECT_EQ(lp_transfer_wait_us(&transfer, 10001000), 0);
	EXPECT_EQ(lp_transfer_wait_us(&transfer, 20000000), 0);
}

/*
 * Found by the soak, seed 7016. What happened: an entry that had started was
 * not ready 24 s later, and refused all. Why: it has no list of upstreams; the
 * list of 270 KB takes 13 s over the link, and each call for it ended after 10
 * s with most of it, and began anew. What showed it: kv_call_failed, purpose
 * range, 222,074 bytes after 10.0 s, one after another, at both entries.
 */
TEST(SlowLink, ATransferThatGoesOnIsNotBegunAnew)
{
	lp_transfer transfer = { 300, 1000, 0 };

	for (int64_t s = 1; s <= 60; s++) {
		transfer.received += 20000;
		EXPECT_EQ(lp_transfer_wait_us(&transfer, 1000 + s * 1000000),
			  300);
	}
}

/* A trickle may be one of some hundred bytes a second, too. */
TEST(SlowLink, ATransferThatIsHardlyOneEnds)
{
	lp_transfer transfer = { 300, 1000, 0 };

	transfer.received = 500 * 10;
	EXPECT_EQ(lp_transfer_wait_us(&transfer, 1000 + 9000000), 300);
	EXPECT_EQ(lp_transfer_wait_us(&transfer, 1000 + 10000000), 0);
	transfer.received = 20000;
	EXPECT_EQ(lp_transfer_wait_us(&transfer, 1000 + 19000000), 300);
	EXPECT_EQ(lp_transfer_wait_us(&transfer, 1000 + 20000000), 0);
}

/* ---- between entries ---- */

struct Fetch {
	http_fetch *fetch;
	bool done = false;
	int error = LP_OK;
	size_t size = 0;

	Fetch(const char *address, const char *target)
	{
		http_fetch_options options = {};
		http_fields fields;

		http_fields_init(&fields);
		http_fields_add(&fields, "Host", address);
		options.address = address;
		options.method = "GET";
		options.target = target;
		options.fields = &fields;
		options.connect_timeout_us = 300000;
		options.timeout_us = 300000;
		options.stall_us = 300000;
		options.done = on_done;
		options.userdata = this;
		fetch = http_fetch_start(&options);
		http_fields_clear(&fields);
	}
	static void on_done(void *self, const http_fetch_answer *answer)
	{
		auto *it = static_cast<Fetch *>(self);

		it->done = true;
		it->error = answer->error;
		it->size = answer->size;
	}
};

TEST(SlowLink, AFetchLastsAsLongAsBytesCome)
{
	pe *platform = pe_create();

	pe_set_config(platform, grown_config(2).c_str());
	pe_store_set_rate(platform, slow_bytes_per_s);
	Fetch fetch(pe_store_address(platform),
		    "/linepier/kv-key?key=op/config");

	ASSERT_TRUE(turn_until([&] { return fetch.done; }, 5000));
	EXPECT_EQ(fetch.error, LP_OK);
	EXPECT_GT(fetch.size, grown_config(2).size());
	pe_destroy(platform);
}

TEST(SlowLink, AFetchThatFallsSilentIsGivenUp)
{
	pe *platform = pe_create();

	pe_set_config(platform, grown_config(2).c_str());
	pe_store_set_rate(platform, slow_bytes_per_s);
	Fetch fetch(pe_store_address(platform),
		    "/linepier/kv-key?key=op/config");

	turn_until([] { return false; }, 500);
	EXPECT_FALSE(fetch.done);
	pe_store_silence(platform);
	ASSERT_TRUE(turn_until([&] { return fetch.done; }, 1000));
	EXPECT_NE(fetch.error, LP_OK);
	pe_destroy(platform);
}

/* A peer's copy goes over the same link as the service's, and many ask one
 * peer: routes repeat their words, so it is sent zipped. */
TEST(SlowLink, APeersCopyIsATenthOfTheConfiguration)
{
	const std::string peer =
		"127.0.0.1:" + std::to_string(peers_port() + 60);
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	pe_set_config(rig.platform, grown_config(2).c_str());
	rig.settle(2);
	rig.share_with("127.0.0.1");
	Fetch fetch(peer.c_str(), "/config");

	ASSERT_TRUE(turn_until([&] { return fetch.done; }, 5000));
	EXPECT_EQ(fetch.error, LP_OK);
	EXPECT_LT(fetch.size, grown_config(2).size() / 10);
}

} // namespace
