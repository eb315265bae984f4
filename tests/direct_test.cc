/*
 * End-to-end tests of an entry that calls upstreams directly, against the
 * emulated platform, in one process over loopback. Each test injects a fault
 * and checks a guarantee that must hold in spite of it.
 */
#include "direct_rig.h"

#include <memory>
#include <vector>

namespace
{

/* ---- without faults ---- */

TEST(Direct, ServesEachKindOfRequest)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.add(PE_ENGINE, "engine");
	rig.add(PE_STAGE, "first");
	rig.add(PE_STAGE, "second");
	rig.settle();
	CallerRequest look(rig.address, "a1", "/look/x");
	CallerRequest order(rig.address, "a2", "/order/x", {}, "one box");
	CallerRequest once(rig.address, "a3", "/once/x");
	CallerRequest staged(rig.address, "a4", "/staged/x",
			     { { "X-Pieces", "2,3" }, { "X-Piece-Key", "k" } });

	EXPECT_EQ(look.wait().body, "whole");
	EXPECT_EQ(look.seal, "mark");
	EXPECT_EQ(order.wait().body, "whole");
	EXPECT_EQ(once.wait().body, complete_stream);
	EXPECT_EQ(staged.wait().body, complete_stream);
	EXPECT_EQ(staged.error, LP_OK);
	EXPECT_EQ(pe_pieces_made(rig.platform), 5u);
	EXPECT_EQ(pe_runs(rig.platform, "a2"), 1u);
	EXPECT_TRUE(run_loop_until(
		[&] { return pe_pieces_kept(rig.platform) == 0; }));
}

TEST(Direct, RequestsAreRefusedBeforeTheFirstConfiguration)
{
	Rig rig(false);
	CallerRequest early(rig.address, "a1", "/order/x");

	EXPECT_EQ(early.wait().status, 503u);
	EXPECT_NE(early.retry_after, "");
	EXPECT_FALSE(direct_ready(rig.entry));
}

TEST(Direct, UnknownRoutesAndKeysAreRefused)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	CallerRequest unknown(rig.address, "a1", "/nowhere/x");
	CallerRequest unauthorized(rig.address, "a2", "/look/x",
				   { { "Authorization", "Bearer no" } });
	CallerRequest without_id(rig.address, "a3", "/look/x",
				 { { "X-Attempt-Id", "" } });
	CallerRequest forged(rig.address, "a4", "/look/x",
			     { { "X-Tenant", "evil" } });

	EXPECT_EQ(unknown.wait().status, 404u);
	EXPECT_EQ(unauthorized.wait().status, 401u);
	EXPECT_EQ(forged.wait().status, 200u);
	without_id.wait();
}

/* ---- at most once, and refusals as "not run" ---- */

TEST(Direct, NonIdempotentRequestsAreNotRetriedAfterFailures)
{
	const enum pe_fault faults[] = { PE_FAULT_RESET, PE_FAULT_GARBLED,
					 PE_FAULT_FOREIGN, PE_FAULT_TRUNCATED };

	for (enum pe_fault fault : faults) {
		Rig rig;
		pe_upstream *first = rig.add(PE_PLAIN, "plain");
		pe_upstream *second = rig.add(PE_PLAIN, "plain");

		pe_fault(first, fault);
		pe_fault(second, fault);
		rig.settle();
		CallerRequest order(rig.address, "a1", "/order/x", {},
				    "one box");

		EXPECT_EQ(order.wait().status, 502u) << fault;
		EXPECT_EQ(order.seal, "") << fault;
		EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u) << fault;
	}
}

TEST(Direct, RequestsThatDidNotRunAreRetried)
{
	Rig rig;
	pe_upstream *full = rig.add(PE_PLAIN, "plain");
	pe_upstream *other = rig.add(PE_PLAIN, "plain");
	pe_upstream *stale = rig.add(PE_PLAIN, "plain");

	pe_fault(full, PE_FAULT_FULL);
	pe_replace(stale);
	rig.settle();
	for (int i = 0; i < 6; i++) {
		std::string id = "a" + std::to_string(i);
		CallerRequest order(rig.address, id.c_str(), "/order/x");

		EXPECT_EQ(order.wait().status, 200u);
		EXPECT_EQ(pe_runs(rig.platform, id.c_str()), 1u);
	}
	EXPECT_GE(pe_arrivals(other), 6u);
}

TEST(Direct, RefusalsThatDidNotRunHaveRetryAfter)
{
	Rig rig;
	pe_upstream *full = rig.add(PE_PLAIN, "plain");

	pe_fault(full, PE_FAULT_FULL);
	rig.settle();
	CallerRequest order(rig.address, "a1", "/order/x");

	EXPECT_EQ(order.wait().status, 503u);
	EXPECT_NE(order.retry_after, "");
	EXPECT_LT(order.took_us, 500000);
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 0u);
}

TEST(Direct, SilentUpstreamsAreAnsweredAtTheDeadline)
{
	Rig rig;
	pe_upstream *silent = rig.add(PE_PLAIN, "plain");

	pe_fault(silent, PE_FAULT_SILENT);
	rig.settle();
	CallerRequest order(rig.address, "a1", "/order/x",
			    { { "X-Deadline-Ms", "300" } });

	EXPECT_EQ(order.wait().status, 504u);
	EXPECT_GE(order.took_us, 250000);
	EXPECT_LT(order.took_us, 600000);
}

/* ---- repeatable requests ---- */

TEST(Direct, IdempotentRequestsAreRetriedAfterFailures)
{
	const enum pe_fault faults[] = { PE_FAULT_RESET,     PE_FAULT_GARBLED,
					 PE_FAULT_FOREIGN,   PE_FAULT_ERROR,
					 PE_FAULT_TRUNCATED, PE_FAULT_SILENT };

	for (enum pe_fault fault : faults) {
		Rig rig;
		pe_upstream *bad = rig.add(PE_PLAIN, "plain");

		rig.add(PE_PLAIN, "plain");
		pe_fault(bad, fault);
		rig.settle();
		for (int i = 0; i < 4; i++) {
			std::string id = "a" + std::to_string(i);
			CallerRequest look(rig.address, id.c_str(), "/look/x");

			EXPECT_EQ(look.wait().status, 200u) << fault;
			EXPECT_EQ(look.body, "whole") << fault;
		}
	}
}

TEST(Direct, AnswersWithoutLengthAndSurplusAnswersAreDelimited)
{
	const enum pe_fault faults[] = { PE_FAULT_UNFRAMED, PE_FAULT_EXTRA };

	for (enum pe_fault fault : faults) {
		Rig rig;
		pe_upstream *odd = rig.add(PE_PLAIN, "plain");

		pe_fault(odd, fault);
		rig.settle();
		for (int i = 0; i < 3; i++) {
			std::string id = "a" + std::to_string(i);
			CallerRequest order(rig.address, id.c_str(),
					    "/order/x");

			EXPECT_EQ(order.wait().body, "whole");
			EXPECT_EQ(pe_runs(rig.platform, id.c_str()), 1u);
		}
	}
}

TEST(Direct, UpstreamErrorsAreForwarded)
{
	Rig rig;
	pe_upstream *bad = rig.add(PE_PLAIN, "plain");

	pe_fault(bad, PE_FAULT_ERROR);
	rig.settle();
	CallerRequest order(rig.address, "a1", "/order/x");

	EXPECT_EQ(order.wait().status, 500u);
	EXPECT_EQ(order.body, "failed");
	EXPECT_EQ(order.seal, "mark");
}

/* ---- streams ---- */

TEST(Direct, ResumableStreamsContinueAtAnotherUpstream)
{
	Rig rig;
	pe_upstream *bad = rig.add(PE_ENGINE, "engine");

	rig.add(PE_ENGINE, "engine");
	pe_fault(bad, PE_FAULT_CUT);
	rig.settle();
	for (int i = 0; i < 4; i++) {
		std::string id = "a" + std::to_string(i);
		CallerRequest again(rig.address, id.c_str(), "/again/x");

		EXPECT_EQ(again.wait().body, complete_stream);
		EXPECT_EQ(again.error, LP_OK);
	}
}

TEST(Direct, BrokenStreamsThatCannotResumeAreAborted)
{
	Rig rig;
	pe_upstream *bad = rig.add(PE_ENGINE, "engine");

	pe_fault(bad, PE_FAULT_CUT);
	rig.settle();
	CallerRequest once(rig.address, "a1", "/once/x");

	once.wait();
	EXPECT_EQ(once.status, 200u);
	EXPECT_NE(once.error, LP_OK);
	EXPECT_EQ(once.body,
		  "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n");
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u);
}

TEST(Direct, RequestsOfDisconnectedCallersAreCancelled)
{
	Rig rig;
	pe_upstream *slow = rig.add(PE_PLAIN, "plain");

	pe_set_work_ms(slow, 500);
	rig.settle();
	CallerRequest order(rig.address, "a1", "/order/x");

	ASSERT_TRUE(run_loop_until(
		[&] { return pe_runs(rig.platform, "a1") == 1; }));
	order.cancel();
	EXPECT_TRUE(
		run_loop_until([&] { return pe_connections(slow) == 0; }, 500));
	EXPECT_EQ(direct_open_requests(rig.entry), 0u);
}

/* ---- stages ---- */

TEST(Direct, LostResultsAreRecomputed)
{
	Rig rig;
	pe_upstream *forgetful = rig.add(PE_STAGE, "first");

	rig.add(PE_STAGE, "second");
	rig.add(PE_ENGINE, "engine");
	pe_fault(forgetful, PE_FAULT_FORGET);
	rig.settle();
	CallerRequest staged(rig.address, "a1", "/staged/x",
			     { { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(run_loop_until(
		[&] { return pe_pieces_made(rig.platform) >= 2; }));
	pe_fault(forgetful, PE_FAULT_NONE);
	EXPECT_EQ(staged.wait().body, complete_stream);
}

/* Guards against results being kept until the end of a stream, for a possible
 * resume: under bursts their producers ran out of result memory. */
TEST(Direct, ResultsAreFreedAtTheFirstEvent)
{
	Rig rig;

	rig.add(PE_STAGE, "first");
	rig.add(PE_STAGE, "second");
	rig.add(PE_ENGINE, "engine");
	rig.settle();
	CallerRequest staged(rig.address, "a1", "/restaged/x",
			     { { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(run_loop_until([&] { return !staged.body.empty(); }));
	EXPECT_TRUE(run_loop_until([&] {
		return pe_pieces_kept(rig.platform) == 0 || staged.done;
	}));
	EXPECT_FALSE(staged.done);
	EXPECT_EQ(staged.wait().body, complete_stream);
}

/* Results are freed at the first event, so a resumed stream needs new ones. */
TEST(Direct, ResumedStreamsRecomputeFreedResults)
{
	Rig rig;
	pe_upstream *bad = rig.add(PE_ENGINE, "engine");

	rig.add(PE_ENGINE, "engine");
	rig.add(PE_STAGE, "first");
	rig.add(PE_STAGE, "second");
	pe_fault(bad, PE_FAULT_CUT);
	rig.settle();
	std::vector<std::unique_ptr<CallerRequest>> requests;

	/* Several concurrent requests reach both engines. */
	for (int i = 0; i < 4; i++) {
		std::string id = "a" + std::to_string(i);

		requests.push_back(std::make_unique<CallerRequest>(
			rig.address, id.c_str(), "/restaged/x",
			Fields{ { "X-Pieces", "1,1" },
				{ "X-Piece-Key", "k" } }));
	}
	for (auto &request : requests) {
		EXPECT_EQ(request->wait().body, complete_stream);
		EXPECT_EQ(request->error, LP_OK);
	}
	EXPECT_GT(pe_pieces_made(rig.platform), 8u);
}

/* Guards against pieces that are sent without inputs: inputs were reported lost
 * by the first call of a stage while its other pieces still waited. */
TEST(Direct, PiecesAreNotSentWithoutLostInputs)
{
	Rig rig;
	pe_upstream *forgetful = rig.add(PE_STAGE, "first");

	rig.add(PE_STAGE, "second");
	rig.add(PE_ENGINE, "engine");
	pe_fault(forgetful, PE_FAULT_FORGET);
	rig.settle();
	CallerRequest staged(
		rig.address, "a1", "/staged/x",
		{ { "X-Pieces", "1,20" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(run_loop_until(
		[&] { return pe_pieces_made(rig.platform) >= 2; }));
	pe_fault(forgetful, PE_FAULT_NONE);
	EXPECT_EQ(staged.wait().body, complete_stream);
}

TEST(Direct, PiecesAreRetriedAfterConnectionResets)
{
	Rig rig;
	pe_upstream *bad = rig.add(PE_STAGE, "first");

	rig.add(PE_STAGE, "first");
	rig.add(PE_STAGE, "second");
	rig.add(PE_ENGINE, "engine");
	pe_fault(bad, PE_FAULT_RESET);
	rig.settle();
	for (int i = 0; i < 4; i++) {
		std::string id = "a" + std::to_string(i);
		CallerRequest staged(
			rig.address, id.c_str(), "/staged/x",
			{ { "X-Pieces", "2,1" }, { "X-Piece-Key", "k" } });

		EXPECT_EQ(staged.wait().body, complete_stream);
	}
}

/* Guards against a use after free: a waiting piece kept a pointer to the domain
 * name of an upstream that was freed when it was removed from the list. The
 * sanitized build fails here without the fix. */
TEST(Direct, UpstreamsCanBeRemovedWhilePiecesWaitInTheirDomain)
{
	Rig rig;
	pe_upstream *producer = rig.add(PE_STAGE, "first");
	pe_upstream *slow = rig.add(PE_STAGE, "second");

	rig.add(PE_ENGINE, "engine");
	pe_set_work_ms(slow, 900);
	rig.settle();
	CallerRequest first(rig.address, "a1", "/staged/x",
			    { { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(run_loop_until([&] { return pe_arrivals(slow) == 1; }));
	CallerRequest second(rig.address, "a2", "/staged/x",
			     { { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(run_loop_until(
		[&] { return pe_pieces_made(rig.platform) >= 2; }));
	run_loop_until([] { return false; }, 50);
	pe_remove(producer);
	first.wait();
	second.wait();
}

/* Guards against requests that are held until their deadline although the only
 * upstream of their stage is too slow to serve them: they are refused while
 * their callers can still try elsewhere, and their pieces are dropped. */
TEST(Direct, RequestsWithoutAProspectAreRefusedBeforeTheirDeadline)
{
	Rig rig;
	pe_upstream *slow = rig.add(PE_STAGE, "first");
	std::vector<std::unique_ptr<CallerRequest>> requests;
	uint32_t refused = 0;

	rig.add(PE_STAGE, "second");
	rig.add(PE_ENGINE, "engine");
	pe_set_work_ms(slow, 500);
	rig.settle();
	for (int i = 0; i < 4; i++) {
		std::string id = "a" + std::to_string(i);

		requests.push_back(std::make_unique<CallerRequest>(
			rig.address, id.c_str(), "/staged/x",
			Fields{ { "X-Pieces", "60,1" },
				{ "X-Piece-Key", "k" + id },
				{ "X-Deadline-Ms", "2500" } }));
	}
	for (auto &request : requests) {
		request->wait();
		EXPECT_EQ(request->status, 503u);
		refused += request->took_us < 2300000;
	}
	EXPECT_GE(refused, 3u);
	EXPECT_LE(pe_arrivals(slow), 6u);
}

/* No piece may be computed without its inputs, or with those of another
 * request: the emulator records each breach, and Rig fails the test. */
TEST(Direct, BatchedPiecesAreNotMixedUp)
{
	Rig rig;
	std::vector<std::unique_ptr<CallerRequest>> requests;

	for (int i = 0; i < 3; i++) {
		rig.add(PE_STAGE, "first");
		rig.add(PE_STAGE, "second");
		rig.add(PE_ENGINE, "engine");
	}
	rig.settle();
	for (int i = 0; i < 30; i++) {
		std::string id = "m" + std::to_string(i);

		requests.push_back(std::make_unique<CallerRequest>(
			rig.address, id.c_str(), "/staged/x",
			Fields{ { "X-Pieces", "3,2" },
				{ "X-Piece-Key", "k" + id } }));
	}
	for (auto &request : requests)
		EXPECT_EQ(request->wait().body, complete_stream);
	EXPECT_EQ(pe_pieces_made(rig.platform), 150u);
	EXPECT_TRUE(run_loop_until(
		[&] { return pe_pieces_kept(rig.platform) == 0; }));
}

/* Guards against connections that are reset without an answer: requests of the
 * lowest priority waited for a stage short of capacity until their entry, which
 * was shutting down, had terminated. */
TEST(Direct, UnsentRequestsAreRefusedAtShutdown)
{
	Rig rig;
	pe_upstream *stage = rig.add(PE_STAGE, "first");
	pe_upstream *plain = rig.add(PE_PLAIN, "plain");

	rig.add(PE_STAGE, "second");
	rig.add(PE_ENGINE, "engine");
	rig.settle();
	pe_fault(stage, PE_FAULT_SILENT);
	pe_set_work_ms(plain, 200);
	CallerRequest waiting(
		rig.address, "w", "/staged/x",
		{ { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });
	CallerRequest sent(rig.address, "s", "/order/x");
	ASSERT_TRUE(run_loop_until(
		[&] { return pe_calls(stage) && pe_arrivals(plain); }));
	direct_drain(rig.entry);
	direct_refuse_unsent(rig.entry);
	EXPECT_EQ(waiting.wait().status, 503u);
	EXPECT_NE(waiting.retry_after, "");
	EXPECT_EQ(sent.wait().status, 200u);
}

/* ---- the list of upstreams ---- */

TEST(Direct, DrainingUpstreamsGetNoNewRequests)
{
	Rig rig;
	pe_upstream *draining = rig.add(PE_PLAIN, "plain");
	uint32_t before;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_drain(draining);
	rig.settle();
	before = pe_arrivals(draining);
	for (int i = 0; i < 8; i++)
		EXPECT_EQ(CallerRequest(rig.address, "a", "/look/x")
				  .wait()
				  .status,
			  200u);
	EXPECT_EQ(pe_arrivals(draining), before);
}

TEST(Direct, LastUpstreamListIsUsedDuringStoreOutage)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_fault(rig.platform, PE_STORE_SILENT);
	ASSERT_TRUE(run_loop_until(
		[&] { return !plf_feed_kv_is_available(rig.feed); }));
	EXPECT_EQ(CallerRequest(rig.address, "a1", "/look/x").wait().status,
		  200u);
	pe_store_fault(rig.platform, PE_STORE_FINE);
	EXPECT_TRUE(run_loop_until(
		[&] { return plf_feed_kv_is_available(rig.feed); }));
}

/* Refused calls count against the quota and keep an overloaded service down, so
 * the entry has to back off. */
TEST(Direct, RefusedStoreCallsAreRetriedWithBackoff)
{
	Rig rig((int64_t)4000000);
	int64_t before;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_fault(rig.platform, PE_STORE_BUSY);
	ASSERT_TRUE(run_loop_until(
		[&] { return !plf_feed_kv_is_available(rig.feed); }));
	before = *lp_counter(rig.counters, "linepier_kv_failures_total",
			     nullptr);
	run_loop_until([] { return false; }, 4000);
	EXPECT_LE(*lp_counter(rig.counters, "linepier_kv_failures_total",
			      nullptr) -
			  before,
		  5);
	pe_store_fault(rig.platform, PE_STORE_FINE);
	rig.set_config(2);
	EXPECT_TRUE(run_loop_until(
		[&] { return plf_feed_kv_is_available(rig.feed); }, 2000));
	EXPECT_TRUE(run_loop_until(
		[&] { return direct_config_version(rig.entry) == 2; }, 500));
}

/* A peer that the service serves again reports it, which ends the backoff of
 * the others. */
TEST(Direct, StoreRecoverySeenByAPeerEndsTheBackoff)
{
	Rig rig((int64_t)4000000);

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_fault(rig.platform, PE_STORE_BUSY);
	ASSERT_TRUE(run_loop_until(
		[&] { return !plf_feed_kv_is_available(rig.feed); }));
	run_loop_until([] { return false; },
		       3500); /* the backoff is 1.2 s or more by now */
	pe_store_fault(rig.platform, PE_STORE_FINE);
	EXPECT_FALSE(plf_feed_handle_peer_hash(rig.feed, 7, 0));
	EXPECT_TRUE(run_loop_until(
		[&] { return plf_feed_kv_is_available(rig.feed); }, 300));
}

/* ---- the configuration ---- */

TEST(Direct, ConfigurationsApplyAtOnceAndNeverRevert)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	rig.set_config(5);
	EXPECT_TRUE(run_loop_until(
		[&] { return direct_config_version(rig.entry) == 5; }, 1000));
	CallerRequest revoked(rig.address, "a1", "/look/x",
			      { { "Authorization", "Bearer key-1" } });
	CallerRequest added(rig.address, "a2", "/look/x",
			    { { "Authorization", "Bearer key-5" } });

	EXPECT_EQ(revoked.wait().status, 401u);
	EXPECT_EQ(added.wait().status, 200u);
	rig.set_config(3);
	rig.set_config(6);
	EXPECT_TRUE(run_loop_until(
		[&] { return direct_config_version(rig.entry) == 6; }, 1000));
}

/* Guards against a change that is missed for ten seconds: the store had dropped
 * a watch without closing its connection. */
TEST(Direct, ChangesMissedByASilentWatchAreRead)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_fault(rig.platform, PE_STORE_DEAF_WATCHES);
	rig.set_config(7);
	rig.add(PE_PLAIN, "plain"); /* advances the revision */
	run_loop_until([] { return false; }, 800);
	pe_store_fault(rig.platform, PE_STORE_FINE);
	EXPECT_TRUE(run_loop_until(
		[&] { return direct_config_version(rig.entry) == 7; }, 2500));
}

/* ---- exchange between entries ---- */

/* The store may serve some hosts and refuse others, for longer than a
 * configuration may take to be applied: refused entries read it from peers. */
TEST(Direct, RefusedEntriesReadTheConfigurationFromAPeer)
{
	Rig served;
	Rig refused;
	plf_peer_sync_options options = {};
	plf_peer_sync *served_sync;
	plf_peer_sync *refused_sync;

	served.add(PE_PLAIN, "plain");
	served.settle();
	refused.settle();
	pe_store_fault(refused.platform, PE_STORE_BUSY);
	served.set_config(4);
	ASSERT_TRUE(run_loop_until([&] {
		return direct_config_version(served.entry) == 4 &&
		       !plf_feed_kv_is_available(refused.feed);
	}));
	options.clock = lp_clock_boot();
	options.log = served.log;
	options.counters = served.counters;
	options.direct = served.entry;
	options.feed = served.feed;
	options.address = "127.0.0.1:21512";
	served_sync = plf_peer_sync_create(&options);
	options.direct = refused.entry;
	options.feed = refused.feed;
	options.address = "127.0.0.2:21512";
	refused_sync = plf_peer_sync_create(&options);
	ASSERT_TRUE(served_sync && refused_sync);
	plf_peer_sync_handle_version(refused_sync, "127.0.0.1", 4);
	plf_peer_sync_handle_version(refused_sync, "127.0.0.9", 1);
	EXPECT_TRUE(run_loop_until(
		[&] { return direct_config_version(refused.entry) == 4; },
		1500));
	EXPECT_TRUE(run_loop_until([&] {
		return CallerRequest(refused.address, "a1", "/look/x")
			       .wait()
			       .status == 200;
	}));
	plf_peer_sync_destroy(served_sync);
	plf_peer_sync_destroy(refused_sync);
}

/* Guards against an entry without a list for ten seconds although three peers
 * had it: of two entries that the store refused, one always queried the peer
 * that it had received from last, which was the other one. */
TEST(Direct, RefusedEntriesReadTheListFromAPeerThatHasIt)
{
	const std::string port = std::to_string(peers_port() + 60);
	Rig served;
	Rig refused;
	Rig also_refused;
	plf_peer_sync *syncs[3];
	Rig *const rigs[] = { &served, &refused, &also_refused };

	for (Rig *rig : rigs)
		rig->settle();
	served.add(PE_PLAIN, "plain");
	pe_store_fault(refused.platform, PE_STORE_BUSY);
	pe_store_fault(also_refused.platform, PE_STORE_BUSY);
	ASSERT_TRUE(run_loop_until([&] {
		return !plf_feed_kv_is_available(refused.feed) &&
		       !plf_feed_kv_is_available(also_refused.feed);
	}));
	for (int i = 0; i < 3; i++) {
		const std::string at =
			"127.0.0." + std::to_string(i + 1) + ":" + port;
		plf_peer_sync_options options = {};

		options.clock = lp_clock_boot();
		options.log = rigs[i]->log;
		options.counters = rigs[i]->counters;
		options.direct = rigs[i]->entry;
		options.feed = rigs[i]->feed;
		options.address = at.c_str();
		syncs[i] = plf_peer_sync_create(&options);
		ASSERT_NE(syncs[i], nullptr);
	}
	EXPECT_TRUE(run_loop_until(
		[&] {
			g_autofree char *list =
				plf_feed_list_text(refused.feed);

			plf_peer_sync_handle_version(syncs[1], "127.0.0.1", 1);
			plf_peer_sync_handle_version(syncs[1], "127.0.0.3", 1);
			return *list != '\0';
		},
		3000));
	for (plf_peer_sync *sync : syncs)
		plf_peer_sync_destroy(sync);
}

/* Guards against requests to an upstream that was removed during an outage of
 * the service: it was kept until the next poll of the list, up to a second
 * longer than the drain period, and got a request 2.6 s after its drain notice.
 */
TEST(Direct, UpstreamsMissingAfterAnOutageAreRemovedOnTime)
{
	Rig rig(int64_t{ 2200000 });
	pe_upstream *draining = rig.add(PE_PLAIN, "plain");
	const std::string id = pe_name(draining);
	const int64_t *retained = lp_counter(
		rig.counters, "linepier_upstreams_retained", nullptr);
	const auto is_listed = [&] {
		g_autofree char *list = plf_feed_list_text(rig.feed);

		return strstr(list, id.c_str()) != nullptr;
	};
	const auto is_kept = [&] { return is_listed() || *retained == 1; };

	rig.add(PE_PLAIN, "plain");
	ASSERT_TRUE(run_loop_until(is_listed));
	pe_store_fault(rig.platform, PE_STORE_BUSY);
	ASSERT_TRUE(run_loop_until(
		[&] { return !plf_feed_kv_is_available(rig.feed); }));
	pe_remove(draining);
	pe_store_fault(rig.platform, PE_STORE_FINE);
	ASSERT_TRUE(run_loop_until(
		[&] { return plf_feed_kv_is_available(rig.feed); }));
	run_loop_until([] { return false; }, 2000);
	EXPECT_FALSE(is_listed());
	EXPECT_TRUE(is_kept());
	EXPECT_TRUE(run_loop_until([&] { return !is_kept(); }, 300));
}

/* ---- shutdown ---- */

/* Guards against requests that are admitted seconds after SIGTERM and cut off
 * when the grace time ends. */
TEST(Direct, RequestsThatOutlastTheShutdownAreRefused)
{
	Rig rig;
	pe_upstream *slow = rig.add(PE_PLAIN, "plain");

	pe_set_work_ms(slow, 200);
	rig.settle();
	CallerRequest before(rig.address, "a1", "/order/x");

	ASSERT_TRUE(run_loop_until(
		[&] { return pe_runs(rig.platform, "a1") == 1; }));
	direct_drain(rig.entry);
	direct_set_shutdown_time(rig.entry, lp_now_us(lp_clock_boot()) +
						    1500 * LP_US_PER_MS);
	CallerRequest after(rig.address, "a2", "/order/x");

	EXPECT_EQ(after.wait().status, 503u);
	/* Another entry can admit it at once. */
	ASSERT_NE(after.retry_after, "");
	EXPECT_LT(std::stod(after.retry_after), 0.1);
	EXPECT_EQ(before.wait().status, 200u);
	EXPECT_EQ(pe_runs(rig.platform, "a2"), 0u);
}

/* In a domain with a single entry, callers keep sending requests during its
 * shutdown; those that are short enough to end before the process are admitted.
 */
TEST(Direct, ShortRequestsAreAdmittedDuringShutdown)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	direct_drain(rig.entry);
	direct_set_shutdown_time(rig.entry, lp_now_us(lp_clock_boot()) +
						    1500 * LP_US_PER_MS);
	CallerRequest request(rig.address, "a1", "/order/x",
			      { { "X-Deadline-Ms", "600" } });

	EXPECT_EQ(request.wait().status, 200u);
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u);
}

} // namespace
