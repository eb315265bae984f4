/*
 * A configuration whose transfer over an entry's link takes longer than the
 * timeout of a call.
 *
 * The failure guarded against: a change was confirmed, and a third of the
 * entries never applied it. The configuration had grown to a megabyte, which
 * takes more than a second at 10 Mbit/s. A call was aborted at its timeout
 * although bytes were arriving, and the next one began from the start with the
 * same timeout; fetches from peers failed likewise over the same link. The
 * stuck entries received at the rate of their link without end, and their calls
 * ended after one second with up to 99% of the value.
 */
#include "direct_rig.h"

namespace
{

/* The rig's calls have a timeout of 300 ms; its watch waits 500 ms and a
 * second of grace. */
const uint32_t slow_link_bytes_per_s = 40000;
/* With this many additional routes a configuration has 66 KB, and 88 KB as
 * encoded by the service: 2.2 s over the slow link. */
const uint32_t extra_routes = 500;

std::string large_config(int64_t version)
{
	char *text = pe_grown_config(version, extra_routes);
	std::string json = text;

	g_free(text);
	return json;
}

bool reaches_version(Rig &rig, int64_t version, int64_t limit_ms)
{
	return run_loop_until(
		[&] { return direct_config_version(rig.entry) == version; },
		limit_ms);
}

TEST(SlowLink, WatchDeliversConfigurationThatTakesLongerThanTheTimeout)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_set_rate(rig.platform, slow_link_bytes_per_s);
	pe_set_config(rig.platform, large_config(2).c_str());
	EXPECT_TRUE(reaches_version(rig, 2, 5000));
}

/* The same after the watch failed, so that it begins with a read. */
TEST(SlowLink, FirstReadDeliversConfigurationThatTakesLongerThanTheTimeout)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_fault(rig.platform, PE_STORE_BUSY);
	ASSERT_TRUE(run_loop_until(
		[&] { return !plf_feed_kv_is_available(rig.feed); }));
	pe_store_set_rate(rig.platform, slow_link_bytes_per_s);
	pe_set_config(rig.platform, large_config(2).c_str());
	pe_store_fault(rig.platform, PE_STORE_FINE);
	EXPECT_TRUE(reaches_version(rig, 2, 5000));
}

/* Writes another writer's key, with which a poll of the list takes 27 s. */
void write_large_key(Rig &rig)
{
	const std::string value(400000, '[');

	pe_write(rig.platform, "x-1", value.data(), value.size());
}

/*
 * Found by the soak, seed 7016: after an outage the newest configuration was
 * not in force 24 s later, though the service answered. The watch had failed,
 * and was restarted only after a complete poll of the list. A poll took 13 s,
 * due to a key of 200 KB by another writer, and was aborted after 10 s. Polls
 * ended with 216 KB received after 10.0 s, one after another, and no read of
 * the configuration among them.
 */
TEST(SlowLink, SlowPollDoesNotDelayConfiguration)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_fault(rig.platform, PE_STORE_BUSY);
	ASSERT_TRUE(run_loop_until(
		[&] { return !plf_feed_kv_is_available(rig.feed); }));
	run_loop_until([] { return false; },
		       1500); /* the watch has ended, too */
	write_large_key(rig);
	pe_store_set_rate(rig.platform, 20000);
	rig.set_config(2);
	pe_store_fault(rig.platform, PE_STORE_FINE);
	EXPECT_TRUE(reaches_version(rig, 2, 5000));
}

/* A call whose answer stops arriving is aborted at the stall timeout. */
TEST(SlowLink, StalledAnswerIsAbandoned)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_set_rate(rig.platform, slow_link_bytes_per_s);
	pe_set_config(rig.platform, large_config(2).c_str());
	run_loop_until([] { return false; }, 500);
	pe_store_silence(rig.platform);
	pe_store_set_rate(rig.platform, 0);
	EXPECT_TRUE(reaches_version(rig, 2, 1500));
}

/* ---- connections that go silent between two answers ---- */

/* Kept-alive connections to the service go silent. Later changes must be
 * known within the time of one poll, which restarts the watch. */
TEST(SlowLink, SilentKeptAliveConnectionsAreReplaced)
{
	Rig rig;
	pe_upstream *draining = rig.add(PE_PLAIN, "plain");
	pe_upstream *serving = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_store_silence(rig.platform);
	rig.set_config(2);
	pe_drain(draining);
	EXPECT_TRUE(reaches_version(rig, 2, 1500));
	run_loop_until([] { return false; }, 300);
	for (int i = 0; i < 8; i++) {
		const std::string id = "a" + std::to_string(i);

		EXPECT_EQ(CallerRequest(rig.address, id.c_str(), "/look/x")
				  .wait()
				  .status,
			  200u);
	}
	EXPECT_EQ(pe_arrivals(draining), 0u);
	EXPECT_EQ(pe_arrivals(serving), 8u);
}

/* ---- limits of a transfer's duration ---- */

TEST(SlowLink, TransferTimeoutIsTheStallTimeWhileBytesArrive)
{
	const lp_transfer transfer = { 300, 1000, 0 };

	EXPECT_EQ(lp_transfer_wait_us(&transfer, 1000), 300);
	EXPECT_EQ(lp_transfer_wait_us(&transfer, 5000000), 300);
}

/* A transfer without progress must free the link for another attempt at some
 * time. */
TEST(SlowLink, TransferWithoutProgressHasATotalLimit)
{
	const lp_transfer transfer = { 300, 1000, 0 };

	EXPECT_EQ(lp_transfer_wait_us(&transfer, 10000900), 100);
	EXPECT_EQ(lp_transfer_wait_us(&transfer, 10001000), 0);
	EXPECT_EQ(lp_transfer_wait_us(&transfer, 20000000), 0);
}

/*
 * Found by the soak, seed 7016: an entry was not ready 24 s after its start,
 * and refused all requests, as it had no list of upstreams. The list of 270 KB
 * takes 13 s over the link, and each call for it was aborted after 10 s with
 * most of it received, and repeated from the start. Both entries logged
 * kv_call_failed, purpose range, 222,074 bytes after 10.0 s, one after another.
 */
TEST(SlowLink, SteadyTransferHasNoTotalLimit)
{
	lp_transfer transfer = { 300, 1000, 0 };

	for (int64_t s = 1; s <= 60; s++) {
		transfer.received += 20000;
		EXPECT_EQ(lp_transfer_wait_us(&transfer, 1000 + s * 1000000),
			  300);
	}
}

/* A transfer of a few hundred bytes per second counts as one without
 * progress. */
TEST(SlowLink, TransferBelowMinimumRateEnds)
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

	Fetch(const char *address, const char *target,
	      const char *accept_encoding = nullptr)
	{
		http_fetch_options options = {};
		http_fields fields;

		http_fields_init(&fields);
		http_fields_add(&fields, "Host", address);
		if (accept_encoding)
			http_fields_add(&fields, "Accept-Encoding",
					accept_encoding);
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
		auto *fetch = static_cast<Fetch *>(self);

		fetch->done = true;
		fetch->error = answer->error;
		fetch->size = answer->size;
	}
};

TEST(SlowLink, FetchContinuesWhileBytesArrive)
{
	pe *platform = pe_create();

	pe_set_config(platform, large_config(2).c_str());
	pe_store_set_rate(platform, slow_link_bytes_per_s);
	Fetch fetch(pe_store_address(platform),
		    "/linepier/kv-key?key=op/config");

	ASSERT_TRUE(run_loop_until([&] { return fetch.done; }, 5000));
	EXPECT_EQ(fetch.error, LP_OK);
	EXPECT_GT(fetch.size, large_config(2).size());
	pe_destroy(platform);
}

TEST(SlowLink, StalledFetchFails)
{
	pe *platform = pe_create();

	pe_set_config(platform, large_config(2).c_str());
	pe_store_set_rate(platform, slow_link_bytes_per_s);
	Fetch fetch(pe_store_address(platform),
		    "/linepier/kv-key?key=op/config");

	run_loop_until([] { return false; }, 500);
	EXPECT_FALSE(fetch.done);
	pe_store_silence(platform);
	ASSERT_TRUE(run_loop_until([&] { return fetch.done; }, 1000));
	EXPECT_NE(fetch.error, LP_OK);
	pe_destroy(platform);
}

/* A peer's answer uses the same link as the service's, and many entries may
 * fetch from one peer. Routes are repetitive text, so the configuration is
 * sent compressed. */
TEST(SlowLink, PeerServesCompressedConfiguration)
{
	const std::string peer =
		"127.0.0.1:" + std::to_string(peers_port() + 60);
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	pe_set_config(rig.platform, large_config(2).c_str());
	rig.settle(2);
	rig.share_with("127.0.0.1");
	Fetch fetch(peer.c_str(), "/config");

	ASSERT_TRUE(run_loop_until([&] { return fetch.done; }, 5000));
	EXPECT_EQ(fetch.error, LP_OK);
	EXPECT_LT(fetch.size, large_config(2).size() / 10);
}

/* Each entry of a fleet that starts fetches the list. It is compressed for
 * those that accept it; entries of an older release do not ask for it. */
TEST(SlowLink, PeerServesCompressedListIfItIsAccepted)
{
	const std::string peer =
		"127.0.0.1:" + std::to_string(peers_port() + 60);
	const char target[] = PLF_UPSTREAM_LIST_TARGET;
	Rig rig;

	for (int i = 0; i < 40; i++)
		rig.add(PE_PLAIN, "plain");
	rig.settle();
	rig.share_with("127.0.0.1");
	Fetch plain(peer.c_str(), target);
	Fetch compressed(peer.c_str(), target, "gzip");

	ASSERT_TRUE(run_loop_until(
		[&] { return plain.done && compressed.done; }, 5000));
	EXPECT_EQ(plain.error, LP_OK);
	EXPECT_EQ(compressed.error, LP_OK);
	EXPECT_GT(plain.size, 40u * 30u);
	EXPECT_LT(compressed.size, plain.size / 2);
}

} // namespace
