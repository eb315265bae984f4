/*
 * The key-value service is restored from an older copy: revisions go back and
 * are given out again, and what it had acknowledged since is gone.
 */
#include "direct_rig.h"

namespace
{

/* ---- the decision ---- */

/* Guards against an answer of an earlier era taking the place of a newer one,
 * and against an era that goes back for good being taken for late answers. */
TEST(StoreEra, AnswersOfEarlierErasAreStale)
{
	const struct {
		int64_t era;
		int64_t sent_us;
		store_era_verdict verdict;
		uint32_t changes;
	} answers[] = {
		{ STORE_ERA_UNKNOWN, 1, STORE_ERA_SAME, 0 },
		{ 4, 2, STORE_ERA_FIRST, 0 },
		{ 4, 3, STORE_ERA_SAME, 0 },
		{ 3, 1, STORE_ERA_STALE, 0 },
		{ 5, 4, STORE_ERA_NEW, 1 },
		{ 4, 104, STORE_ERA_STALE, 1 },
		{ STORE_ERA_UNKNOWN, 200, STORE_ERA_MISSING, 1 },
		{ STORE_ERA_UNKNOWN, 200, STORE_ERA_SAME, 1 },
		{ 5, 201, STORE_ERA_SAME, 1 },
		{ 8, 202, STORE_ERA_NEW, 2 },
		{ 2, 900, STORE_ERA_BACK, 3 },
		{ 8, 203, STORE_ERA_NEW, 4 },
	};
	int64_t now_us = 100;
	store_era state;

	store_era_init(&state);
	for (const auto &answer : answers) {
		EXPECT_EQ(store_era_handle_answer(&state, answer.era,
						  answer.sent_us, ++now_us),
			  answer.verdict)
			<< answer.era;
		EXPECT_EQ(state.changes, answer.changes) << answer.era;
	}
}

/* ---- conditions ---- */

/* Guards against a write whose condition names a revision that the service has
 * given out again, or lost. */
TEST(StoreEra, WriteWithALostRevisionIsRefused)
{
	Rig rig;
	store_compare compare = { "k", 0 };
	store_put put = { "k", "v", 0 };
	store_txn txn = {};
	int written = 0;
	auto write = [&](int64_t revision) {
		int result = -1;

		compare.mod_revision = revision;
		rig.kv->ops->txn(
			rig.kv, "test", &txn,
			[](void *result, const store_answer *answer) {
				*static_cast<int *>(result) = answer->succeeded;
			},
			&result);
		EXPECT_TRUE(run_loop_until([&] { return result >= 0; }));
		written += result;
		return result;
	};

	txn.compares = &compare;
	txn.compares_count = 1;
	txn.puts = &put;
	txn.puts_count = 1;
	pe_store_take_copy(rig.platform);
	EXPECT_EQ(write(0), 1);
	EXPECT_EQ(write(0), 0);
	pe_store_go_back(rig.platform);
	EXPECT_EQ(write(7), 0);
	EXPECT_EQ(write(0), 1);
	EXPECT_EQ(written, 2);
}

/* ---- the configuration ---- */

bool reaches_version(const Rig &rig, int64_t version, int64_t limit_ms = 3000)
{
	return run_loop_until(
		[&] { return direct_config_version(rig.entry) == version; },
		limit_ms);
}

void set_config(Rig &rig, int64_t version)
{
	char *config = pe_sample_config(version);

	pe_set_config(rig.platform, config);
	g_free(config);
}

/* Other writers take the revision past this one. */
void write_up_to(Rig &rig, int revisions)
{
	for (int i = 0; i < revisions; i++)
		pe_put(rig.platform, "other", "x", 1);
}

/* The watch went on from a revision of the earlier era, so that a version under
 * a revision that was given out again stayed out of force (review/2). */
TEST(StoreEra, NewerConfigurationUnderAReusedRevisionIsTaken)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_take_copy(rig.platform);
	set_config(rig, 2);
	ASSERT_TRUE(reaches_version(rig, 2));
	write_up_to(rig, 20);
	set_config(rig, 3);
	ASSERT_TRUE(reaches_version(rig, 3));
	pe_store_go_back(rig.platform);
	set_config(rig, 3);
	set_config(rig, 4);
	write_up_to(rig, 40);
	EXPECT_TRUE(reaches_version(rig, 4));
	set_config(rig, 5);
	EXPECT_TRUE(reaches_version(rig, 5));
}

/* Guards against the version of the copy taking the place of a newer one, also
 * with two restores in series. */
TEST(StoreEra, ConfigurationInForceStays)
{
	Rig rig;

	rig.settle();
	pe_store_take_copy(rig.platform);
	set_config(rig, 2);
	ASSERT_TRUE(reaches_version(rig, 2));
	for (int i = 0; i < 2; i++) {
		pe_store_go_back(rig.platform);
		EXPECT_FALSE(run_loop_until(
			[&] { return direct_config_version(rig.entry) != 2; },
			1500));
	}
	set_config(rig, 3);
	EXPECT_TRUE(reaches_version(rig, 3));
}

/* ---- upstreams ---- */

/* Upstreams whose records were written since the copy were dropped with the
 * first list after a restore, though they ran and wrote them again. */
TEST(StoreEra, UpstreamsThatTheCopyLacksAreRetained)
{
	Rig rig;

	rig.settle();
	pe_store_take_copy(rig.platform);
	pe_upstream *upstream = rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_go_back(rig.platform);
	run_loop_until([] { return false; }, 1000);
	for (int i = 0; i < 5; i++) {
		std::string id = "a" + std::to_string(i);

		EXPECT_EQ(CallerRequest(rig.address, id.c_str(), "/order/x")
				  .wait()
				  .status,
			  200u);
	}
	pe_tell(upstream);
	run_loop_until([] { return false; }, 2500);
	EXPECT_EQ(CallerRequest(rig.address, "b1", "/order/x").wait().status,
		  200u);
}

/* Guards against an upstream that has gone being retained for long. */
TEST(StoreEra, UpstreamThatIsNotWrittenAgainIsDropped)
{
	Rig rig;

	rig.settle();
	pe_store_take_copy(rig.platform);
	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_go_back(rig.platform);
	run_loop_until([] { return false; }, 5000);
	EXPECT_EQ(CallerRequest(rig.address, "a1", "/order/x").wait().status,
		  503u);
}

/* An upstream that was draining, and that the copy names as ready, got new
 * work.
 */
TEST(StoreEra, UpstreamThatLeavesGetsNoWorkByTheCopy)
{
	Rig rig;
	pe_upstream *leaving = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_store_take_copy(rig.platform);
	pe_drain(leaving);
	run_loop_until([] { return false; }, 1000);
	EXPECT_EQ(CallerRequest(rig.address, "a1", "/order/x").wait().status,
		  503u);
	pe_store_go_back(rig.platform);
	run_loop_until([] { return false; }, 1200);
	EXPECT_EQ(CallerRequest(rig.address, "a2", "/order/x").wait().status,
		  503u);
	EXPECT_EQ(pe_arrivals(leaving), 0u);
}

/* ---- closed domains ---- */

bool is_closed(Rig &rig, const char *id)
{
	return CallerRequest(rig.address, id, "/order/x").wait().status == 503;
}

/* Domains that operators closed after a restore were left out, as their
 * revisions were lower than the last one before it. */
TEST(StoreEra, DomainClosedUnderAReusedRevisionGetsNoWork)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_take_copy(rig.platform);
	write_up_to(rig, 20);
	pe_evacuate(rig.platform, "b");
	run_loop_until([] { return false; }, 300);
	ASSERT_FALSE(is_closed(rig, "a1"));
	pe_store_go_back(rig.platform);
	pe_evacuate(rig.platform, "a");
	run_loop_until([] { return false; }, 1500);
	EXPECT_TRUE(is_closed(rig, "a2"));
	pe_take_back(rig.platform, "a");
	run_loop_until([] { return false; }, 300);
	EXPECT_FALSE(is_closed(rig, "a3"));
}

/* Guards against new work in a closed domain while its operators have not
 * closed it again, and against it staying closed if they do not. */
TEST(StoreEra, DomainThatTheCopyLacksIsRetained)
{
	Rig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	pe_store_take_copy(rig.platform);
	pe_evacuate(rig.platform, "a");
	run_loop_until([] { return false; }, 300);
	ASSERT_TRUE(is_closed(rig, "a1"));
	pe_store_go_back(rig.platform);
	run_loop_until([] { return false; }, 1200);
	EXPECT_TRUE(is_closed(rig, "a2"));
	run_loop_until([] { return false; }, 3500);
	EXPECT_FALSE(is_closed(rig, "a3"));
}

} // namespace
