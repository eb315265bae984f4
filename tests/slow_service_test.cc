/*
 * A key-value service that takes longer for each answer than the timeout of a
 * call.
 *
 * The failure guarded against: entries that started while the service took
 * 1.6 s for each answer had no configuration for 11 s, until it was fast again,
 * and refused every request. Each call was given up after a second, and
 * another one was sent: kv_call_failed after 1.00 s with 0 bytes, for every
 * call.
 */
#include "scripted_feed.h"

#include <memory>

namespace
{

/* The rig's calls have a timeout of 300 ms. */
const uint32_t slow_ms = 500;
const uint32_t very_slow_ms = 1200;

void wait_ms(int64_t ms)
{
	run_loop_until([] { return false; }, ms);
}

bool reaches_version(Rig &rig, int64_t version, int64_t limit_ms)
{
	return run_loop_until(
		[&] { return direct_config_version(rig.entry) >= version; },
		limit_ms);
}

/* A platform whose service is slow, and entries that start on it. */
struct SlowPlatform {
	std::unique_ptr<pe, void (*)(pe *)> platform{ pe_create(), pe_destroy };

	explicit SlowPlatform(uint32_t delay_ms)
	{
		char *json = pe_sample_config(1);

		pe_set_config(platform.get(), json);
		g_free(json);
		pe_add(platform.get(), PE_PLAIN, "plain", "a");
		pe_store_set_delay(platform.get(), delay_ms);
	}
	void set_config(int64_t version)
	{
		char *json = pe_sample_config(version);

		pe_set_config(platform.get(), json);
		g_free(json);
	}
	std::unique_ptr<Rig> start_entry()
	{
		return std::make_unique<Rig>(platform.get(), true);
	}
};

/* An entry that starts while the service is slow serves soon, and does not wait
 * until the service is fast again. */
TEST(SlowService, StartingEntryServes)
{
	for (uint32_t delay_ms : { slow_ms, very_slow_ms }) {
		SlowPlatform slow(delay_ms);
		auto entry = slow.start_entry();

		EXPECT_TRUE(run_loop_until(
			[&] { return direct_ready(entry->entry); }, 5000))
			<< delay_ms << " ms";
		EXPECT_EQ(CallerRequest(entry->address, "a", "/look/x")
				  .wait()
				  .status,
			  200u);
	}
}

/* A service that has become slow still delivers changes, and its list. */
TEST(SlowService, ChangesArrive)
{
	Rig rig;
	pe_upstream *draining = rig.add(PE_PLAIN, "plain");

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_set_delay(rig.platform, very_slow_ms);
	wait_ms(1500);
	rig.set_config(2);
	pe_drain(draining);
	EXPECT_TRUE(reaches_version(rig, 2, 6000));
	wait_ms(2 * very_slow_ms);
	for (int i = 0; i < 8; i++) {
		const std::string id = "a" + std::to_string(i);

		EXPECT_EQ(CallerRequest(rig.address, id.c_str(), "/look/x")
				  .wait()
				  .status,
			  200u);
	}
	EXPECT_EQ(pe_arrivals(draining), 0u);
}

/* While the service stays slow, each call is answered: none is given up and
 * sent again. */
TEST(SlowService, CallsAreNotRepeated)
{
	SlowPlatform slow(slow_ms);
	auto entry = slow.start_entry();
	int64_t *failures = lp_counter(entry->counters,
				       "linepier_kv_failures_total", nullptr);
	int64_t before;

	ASSERT_TRUE(reaches_version(*entry, 1, 5000));
	wait_ms(1000);
	before = *failures;
	wait_ms(3000);
	EXPECT_EQ(*failures, before);
	EXPECT_TRUE(plf_feed_kv_is_available(entry->feed));
}

/* What was learnt of a slow service does not delay the discovery of lost
 * connections once it is fast again: the bound is that of
 * SlowLink.SilentKeptAliveConnectionsAreReplaced. */
TEST(SlowService, LostConnectionsAreNoticedInTimeAfterIt)
{
	SlowPlatform slow(slow_ms);
	auto entry = slow.start_entry();

	ASSERT_TRUE(reaches_version(*entry, 1, 5000));
	wait_ms(1000);
	pe_store_set_delay(slow.platform.get(), 0);
	wait_ms(3000);
	pe_store_silence(slow.platform.get());
	slow.set_config(2);
	EXPECT_TRUE(reaches_version(*entry, 2, 1500));
}

/* A service that turns from slow to silent is noticed, and a change is in force
 * soon after it answers again. */
TEST(SlowService, OutageAfterItIsNoticed)
{
	SlowPlatform slow(slow_ms);
	auto entry = slow.start_entry();

	ASSERT_TRUE(reaches_version(*entry, 1, 5000));
	wait_ms(1000);
	pe_store_fault(slow.platform.get(), PE_STORE_SILENT);
	EXPECT_TRUE(run_loop_until(
		[&] { return !plf_feed_kv_is_available(entry->feed); }, 3000));
	wait_ms(3000);
	pe_store_set_delay(slow.platform.get(), 0);
	slow.set_config(2);
	pe_store_fault(slow.platform.get(), PE_STORE_FINE);
	EXPECT_TRUE(reaches_version(*entry, 2, 1500));
}

/* ---- what peers have meanwhile ---- */

/* Guards against an entry without a list that waits for its own poll, which may
 * take as long as the service is slow, while a peer announces the list. */
TEST(SlowService, EntryWithoutAListTakesTheOneThatAPeerAnnounces)
{
	ScriptedFeed peer;
	ScriptedFeed entry(true);

	peer.answer_poll({ "i-1 ready" });
	ASSERT_TRUE(entry.store.poll_pending());
	EXPECT_TRUE(plf_feed_handle_peer_hash(entry.feed, 7, 0));
	plf_feed_offer_announced_list(entry.feed, peer.list_text().c_str(), 0);
	EXPECT_EQ(entry.list_text(), peer.list_text());
}

/* The same while its polls fail. */
TEST(SlowService, EntryWithoutAListTakesOneWhileItsPollsFail)
{
	ScriptedFeed peer;
	ScriptedFeed entry(true);

	peer.answer_poll({ "i-1 ready" });
	entry.fail_poll();
	EXPECT_TRUE(plf_feed_handle_peer_hash(entry.feed, 7, 0));
	plf_feed_offer_announced_list(entry.feed, peer.list_text().c_str(), 0);
	EXPECT_EQ(entry.list_text(), peer.list_text());
}

/* Guards against fetches from peers that have just started, too, and have
 * nothing: of 68 entries that started while the service did not answer, each
 * sent seven in ten seconds. */
TEST(SlowService, NothingIsFetchedFromPeersWithoutAConfiguration)
{
	std::unique_ptr<pe, void (*)(pe *)> platform{ pe_create(), pe_destroy };
	std::vector<std::unique_ptr<Rig>> entries;

	pe_store_fault(platform.get(), PE_STORE_SILENT);
	for (int i = 0; i < 3; i++) {
		entries.push_back(std::make_unique<Rig>(platform.get(), true));
		entries[i]->spreads_config = true;
		entries[i]->join(("127.0.0." + std::to_string(i + 1)).c_str(),
				 500, { "127.0.0.1" });
	}
	wait_ms(3000);
	for (auto &entry : entries) {
		EXPECT_EQ(direct_peers_count(entry->peers), 3u);
		EXPECT_EQ(*lp_counter(entry->counters,
				      "linepier_peer_fetches_total",
				      "target=\"" PLF_UPSTREAM_LIST_TARGET
				      "\",outcome=\"failed\""),
			  0);
	}
}

/* ---- upstreams ---- */

/* Guards against calls of pieces that are given up and begun anew without end,
 * as all upstreams of a stage take longer than three times the expected time:
 * they are slow, not gone. */
TEST(SlowService, StageWhoseUpstreamsAreAllSlowIsCompleted)
{
	Rig rig;

	for (int i = 0; i < 2; i++) {
		pe_set_work_ms(rig.add(PE_STAGE, "first"), 1000);
		rig.add(PE_STAGE, "second");
		rig.add(PE_ENGINE, "engine");
	}
	rig.settle();
	CallerRequest request(rig.address, "a", "/staged/x",
			      Fields{ { "X-Pieces", "1,1" },
				      { "X-Piece-Key", "k" },
				      { "X-Deadline-Ms", "8000" } });
	EXPECT_EQ(request.wait().body, complete_stream);
}

/* ---- the timeout ---- */

const int64_t initial_us = 1000;

TEST(CallTimeout, IsTheInitialOneIfTheServiceIsFastOrUnknown)
{
	call_timeout timeout = {};

	EXPECT_EQ(call_timeout_us(&timeout, initial_us), initial_us);
	call_timeout_on_answer(&timeout, 40);
	EXPECT_EQ(call_timeout_us(&timeout, initial_us), initial_us);
}

/* No number of calls without an answer makes later ones wait longer. */
TEST(CallTimeout, IsNotRaisedByAServiceThatDoesNotAnswer)
{
	call_timeout timeout = {};

	for (int i = 0; i < 100; i++) {
		call_timeout_on_overdue(&timeout);
		EXPECT_EQ(call_timeout_us(&timeout, initial_us), initial_us);
	}
}

TEST(CallTimeout, IsRaisedByALateAnswer)
{
	call_timeout timeout = {};

	call_timeout_on_overdue(&timeout);
	call_timeout_on_answer(&timeout, 1600);
	EXPECT_EQ(call_timeout_us(&timeout, initial_us), 3200);
}

TEST(CallTimeout, FallsWithFasterAnswers)
{
	call_timeout timeout = {};

	call_timeout_on_answer(&timeout, 1600);
	call_timeout_on_answer(&timeout, 4);
	EXPECT_EQ(call_timeout_us(&timeout, initial_us), 1600);
	call_timeout_on_answer(&timeout, 4);
	EXPECT_EQ(call_timeout_us(&timeout, initial_us), initial_us);
}

TEST(CallTimeout, FallsWhenTheServiceStopsAnswering)
{
	call_timeout timeout = {};

	call_timeout_on_answer(&timeout, 1600);
	call_timeout_on_overdue(&timeout);
	call_timeout_on_overdue(&timeout);
	EXPECT_EQ(call_timeout_us(&timeout, initial_us), initial_us);
}

TEST(CallTimeout, IsBounded)
{
	call_timeout timeout = {};

	call_timeout_on_answer(&timeout, 9 * CALL_TIMEOUT_MAX_US);
	EXPECT_EQ(call_timeout_us(&timeout, initial_us), CALL_TIMEOUT_MAX_US);
}

} // namespace
