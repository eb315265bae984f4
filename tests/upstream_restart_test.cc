/*
 * Upstreams that restart under their id, and foreign writers of the key-value
 * service, against the emulated platform: the guarantees to callers hold in
 * spite of both.
 */
#include "direct_rig.h"

#include <memory>

namespace
{

const Fields pieces_of_each = { { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } };

/* All variants of a restart that the emulator has. */
const pe_restart_options restart_variants[] = {
	{ false, false, 0 }, { false, true, 0 },      { true, false, 0 },
	{ true, true, 0 },   { false, false, 60000 },
};

struct StagedRig : Rig {
	pe_upstream *first = add(PE_STAGE, "first");
	pe_upstream *second = add(PE_STAGE, "second");
	pe_upstream *engine = add(PE_ENGINE, "engine");

	StagedRig()
	{
		settle();
	}
	uint32_t completed_pieces()
	{
		return pe_pieces_made(platform);
	}
};

/* ---- incarnations ---- */

/* The results of an incarnation are lost with it, whenever the restart becomes
 * known. */
TEST(UpstreamRestart, LostResultsAreRecomputed)
{
	for (const pe_restart_options &variant : restart_variants) {
		SCOPED_TRACE(&variant - restart_variants);
		StagedRig rig;

		pe_set_work_ms(rig.second, 300);
		CallerRequest request(rig.address, "a1", "/staged/x",
				      pieces_of_each);

		ASSERT_TRUE(run_loop_until(
			[&] { return pe_calls(rig.second) == 1; }));
		pe_restart(rig.first, &variant);
		EXPECT_EQ(request.wait().body, complete_stream);
		EXPECT_GE(rig.completed_pieces(), 3u);
		rig.settle();
		EXPECT_GE(*lp_counter(rig.counters,
				      "linepier_upstream_restarts_total",
				      nullptr),
			  variant.untold ? 0 : 1);
	}
}

TEST(UpstreamRestart, PiecesOfAnInterruptedCallAreRetried)
{
	for (const pe_restart_options &variant : restart_variants) {
		SCOPED_TRACE(&variant - restart_variants);
		StagedRig rig;

		pe_set_work_ms(rig.first, 150);
		CallerRequest request(rig.address, "a1", "/staged/x",
				      pieces_of_each);

		ASSERT_TRUE(run_loop_until(
			[&] { return pe_calls(rig.first) == 1; }));
		pe_restart(rig.first, &variant);
		EXPECT_EQ(request.wait().body, complete_stream);
	}
}

/* The upstream restarts twice, the second time during the second attempt. */
TEST(UpstreamRestart, PiecesAreRetriedAfterTwoRestarts)
{
	const pe_restart_options variant = { false, false, 0 };
	StagedRig rig;

	pe_set_work_ms(rig.first, 150);
	CallerRequest request(rig.address, "a1", "/staged/x", pieces_of_each);

	for (uint32_t i = 1; i <= 2; i++) {
		ASSERT_TRUE(run_loop_until(
			[&] { return pe_calls(rig.first) == i; }));
		pe_restart(rig.first, &variant);
	}
	EXPECT_EQ(request.wait().body, complete_stream);
}

/* The request may have run, and no answer shows that it did not. */
TEST(UpstreamRestart, NonIdempotentRequestsAreNotRetried)
{
	for (const pe_restart_options &variant : restart_variants) {
		SCOPED_TRACE(&variant - restart_variants);
		Rig rig;
		pe_upstream *plain = rig.add(PE_PLAIN, "plain");

		pe_set_work_ms(plain, 200);
		rig.settle();
		CallerRequest order(rig.address, "a1", "/order/x");

		ASSERT_TRUE(run_loop_until(
			[&] { return pe_runs(rig.platform, "a1") == 1; }));
		pe_restart(plain, &variant);
		order.wait();
		EXPECT_GE(order.status, 500u);
		EXPECT_NE(order.status, 503u);
		EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u);
	}
}

TEST(UpstreamRestart, ResumableStreamsContinue)
{
	for (const pe_restart_options &variant : restart_variants) {
		SCOPED_TRACE(&variant - restart_variants);
		Rig rig;
		std::vector<pe_upstream *> engines;

		for (int i = 0; i < 2; i++)
			engines.push_back(rig.add(PE_ENGINE, "engine"));
		rig.settle();
		CallerRequest request(rig.address, "a1", "/again/x");

		ASSERT_TRUE(
			run_loop_until([&] { return !request.body.empty(); }));
		for (pe_upstream *engine : engines)
			if (pe_connections(engine))
				pe_restart(engine, &variant);
		EXPECT_EQ(request.wait().body, complete_stream);
		EXPECT_EQ(request.error, LP_OK);
	}
}

/* A new incarnation that is ready is not draining, whatever the one before was.
 */
TEST(UpstreamRestart, DrainingUpstreamServesAgain)
{
	const pe_restart_options variant = { false, false, 0 };
	Rig rig;
	pe_upstream *plain = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_drain(plain);
	rig.settle();
	EXPECT_EQ(CallerRequest(rig.address, "a1", "/look/x").wait().status,
		  503u);
	pe_restart(plain, &variant);
	rig.settle();
	EXPECT_EQ(CallerRequest(rig.address, "a2", "/look/x").wait().status,
		  200u);
}

/* The clock of the upstream was set back, so its new incarnation looks older
 * than the one before for a while. */
TEST(UpstreamRestart, UpstreamWithItsClockSetBackServesAgain)
{
	const pe_restart_options variant = { false, false, 60000 };
	Rig rig;
	pe_upstream *plain = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_restart(plain, &variant);
	rig.settle();
	EXPECT_EQ(CallerRequest(rig.address, "a1", "/look/x").wait().status,
		  200u);
	run_loop_until([] { return false; },
		       INCARNATIONS_CLOCK_SET_BACK_US / 1000);
	rig.settle();
	EXPECT_EQ(CallerRequest(rig.address, "a2", "/look/x").wait().status,
		  200u);
	pe_drain(plain);
	rig.settle();
	EXPECT_EQ(CallerRequest(rig.address, "a3", "/look/x").wait().status,
		  503u);
}

/* Upstreams that report no start time: incarnations are not distinguished. */
TEST(UpstreamRestart, UpstreamsWithoutStartTimeAreServed)
{
	const pe_restart_options variant = { false, false, 0 };
	Rig rig;

	pe_say_no_start(rig.platform);
	pe_upstream *first = rig.add(PE_STAGE, "first");
	pe_upstream *second = rig.add(PE_STAGE, "second");

	rig.add(PE_ENGINE, "engine");
	rig.settle();
	pe_set_work_ms(second, 300);
	CallerRequest request(rig.address, "a1", "/staged/x", pieces_of_each);

	ASSERT_TRUE(run_loop_until([&] { return pe_calls(second) == 1; }));
	pe_restart(first, &variant);
	EXPECT_EQ(request.wait().body, complete_stream);
}

/* ---- foreign writers ---- */

void write_record(Rig &rig, const char *id, const std::string &value)
{
	pe_write(rig.platform, id, value.data(), value.size());
}

std::string record_text(pe_upstream *upstream)
{
	char *text = pe_entry(upstream);
	std::string copy = text;

	g_free(text);
	return copy;
}

std::string replace(std::string text, const std::string &part,
		    const std::string &other)
{
	return text.replace(text.find(part), part.size(), other);
}

/* A record that becomes unreadable describes no upstream; the other records
 * stay valid. */
TEST(ForeignStoreWriter, OverwrittenUpstreamsAreNotUsed)
{
	Rig rig;
	pe_upstream *overwritten = rig.add(PE_PLAIN, "plain");
	uint32_t before;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	for (const std::string &value :
	     { std::string("rubbish"), std::string("\xff\0\x01", 3),
	       replace(record_text(overwritten), "4", "-4"),
	       replace(record_text(overwritten), "ready", "resting"),
	       std::string("{\"a\":") + std::string(200000, '['),
	       std::string(300000, ' ') }) {
		write_record(rig, pe_name(overwritten), value);
		rig.settle();
		before = pe_arrivals(overwritten);
		for (int i = 0; i < 4; i++)
			EXPECT_EQ(CallerRequest(rig.address, "a", "/look/x")
					  .wait()
					  .status,
				  200u);
		EXPECT_EQ(pe_arrivals(overwritten), before)
			<< value.substr(0, 80);
	}
	pe_tell(overwritten);
	rig.settle();
	EXPECT_EQ(*lp_counter(rig.counters, "linepier_unreadable_upstreams",
			      nullptr),
		  0);
}

TEST(ForeignStoreWriter, ErasedUpstreamsReturnWithTheirNextReport)
{
	Rig rig;
	pe_upstream *plain = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_erase(rig.platform, pe_name(plain));
	rig.settle();
	EXPECT_EQ(CallerRequest(rig.address, "a1", "/look/x").wait().status,
		  503u);
	pe_tell(plain);
	rig.settle();
	EXPECT_EQ(CallerRequest(rig.address, "a2", "/look/x").wait().status,
		  200u);
}

/* Two entries share their reads of the list; records with arbitrary bytes must
 * not stop that. */
TEST(ForeignStoreWriter, MalformedEntriesCauseNoExtraCalls)
{
	Rig first;
	std::unique_ptr<Rig> second = std::make_unique<Rig>(&first);
	pe_upstream *plain = first.add(PE_PLAIN, "plain");
	const std::string record = record_text(plain);
	int64_t before;

	first.join("127.0.0.1", 4000, { "127.0.0.2" });
	second->join("127.0.0.2", 100, { "127.0.0.1" });
	write_record(first, "x-1", replace(record, "plain", "pl ain 1"));
	write_record(first, "x-2", replace(record, "plain", "p\\nl"));
	write_record(first, "x-3", replace(record, "\"a\"", "\" a \\r\\n\""));
	write_record(first, "x-4", replace(record, "ready", "odd"));
	write_record(first, "x-5", "\x80");
	first.settle();
	second->settle();
	EXPECT_TRUE(run_loop_until([&] {
		return direct_peers_count(first.peers) == 2 &&
		       direct_peers_count(second->peers) == 2;
	}));
	run_loop_until([] { return false; }, 700);
	before = *first.range_calls() + *second->range_calls();
	/* Also while the list changes, one entry reads it and the other
	 * one fetches it from there. */
	for (int change = 0; change < 6; change++) {
		first.add(PE_PLAIN, "plain");
		run_loop_until([] { return false; }, 600);
	}
	EXPECT_LE(*first.range_calls() + *second->range_calls() - before,
		  3600 / 360 + 2);
	for (Rig *rig : { &first, second.get() })
		EXPECT_EQ(CallerRequest(rig->address, "a", "/look/x")
				  .wait()
				  .status,
			  200u);
}

} // namespace
