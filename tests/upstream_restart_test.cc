/*
 * Upstreams that start again under their id, and another writer in the
 * key-value service, against the emulated platform: what callers are owed
 * outlives both.
 */
#include "direct_rig.h"

#include <memory>

namespace
{

const Fields pieces_of_each = { { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } };

/* All ways in which an upstream starts again. */
const pe_restart_options ways[] = {
	{ false, false, 0 }, { false, true, 0 },      { true, false, 0 },
	{ true, true, 0 },   { false, false, 60000 },
};

struct Staged : Rig {
	pe_upstream *first = add(PE_STAGE, "first");
	pe_upstream *second = add(PE_STAGE, "second");
	pe_upstream *engine = add(PE_ENGINE, "engine");

	Staged()
	{
		settle();
	}
	uint32_t made()
	{
		return pe_pieces_made(platform);
	}
};

/* ---- lives ---- */

/* Its results end with it, whoever knows of it and when. */
TEST(NewLife, ResultsOfALifeThatEndedAreMadeAgain)
{
	for (const pe_restart_options &way : ways) {
		SCOPED_TRACE(&way - ways);
		Staged rig;

		pe_set_work_ms(rig.second, 300);
		CallerRequest ask(rig.address, "a1", "/staged/x",
				  pieces_of_each);

		ASSERT_TRUE(run_loop_until(
			[&] { return pe_calls(rig.second) == 1; }));
		pe_restart(rig.first, &way);
		EXPECT_EQ(ask.wait().body, complete_stream);
		EXPECT_GE(rig.made(), 3u);
		rig.settle();
		EXPECT_GE(*lp_counter(rig.counters,
				      "linepier_upstream_restarts_total",
				      nullptr),
			  way.untold ? 0 : 1);
	}
}

TEST(NewLife, PiecesOutliveAnUpstreamThatStartsAgainInACall)
{
	for (const pe_restart_options &way : ways) {
		SCOPED_TRACE(&way - ways);
		Staged rig;

		pe_set_work_ms(rig.first, 150);
		CallerRequest ask(rig.address, "a1", "/staged/x",
				  pieces_of_each);

		ASSERT_TRUE(run_loop_until(
			[&] { return pe_calls(rig.first) == 1; }));
		pe_restart(rig.first, &way);
		EXPECT_EQ(ask.wait().body, complete_stream);
	}
}

/* Twice in a row, in the middle of the second try. */
TEST(NewLife, PiecesOutliveTwoInARow)
{
	const pe_restart_options way = { false, false, 0 };
	Staged rig;

	pe_set_work_ms(rig.first, 150);
	CallerRequest ask(rig.address, "a1", "/staged/x", pieces_of_each);

	for (uint32_t i = 1; i <= 2; i++) {
		ASSERT_TRUE(run_loop_until(
			[&] { return pe_calls(rig.first) == i; }));
		pe_restart(rig.first, &way);
	}
	EXPECT_EQ(ask.wait().body, complete_stream);
}

/* It may have run, and nobody says that it has not. */
TEST(NewLife, WhatMayRunOnceIsNotSentToTheNextLife)
{
	for (const pe_restart_options &way : ways) {
		SCOPED_TRACE(&way - ways);
		Rig rig;
		pe_upstream *plain = rig.add(PE_PLAIN, "plain");

		pe_set_work_ms(plain, 200);
		rig.settle();
		CallerRequest order(rig.address, "a1", "/order/x");

		ASSERT_TRUE(run_loop_until(
			[&] { return pe_runs(rig.platform, "a1") == 1; }));
		pe_restart(plain, &way);
		order.wait();
		EXPECT_GE(order.status, 500u);
		EXPECT_NE(order.status, 503u);
		EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u);
	}
}

TEST(NewLife, AStreamThatMayResumeGoesOn)
{
	for (const pe_restart_options &way : ways) {
		SCOPED_TRACE(&way - ways);
		Rig rig;
		std::vector<pe_upstream *> engines;

		for (int i = 0; i < 2; i++)
			engines.push_back(rig.add(PE_ENGINE, "engine"));
		rig.settle();
		CallerRequest ask(rig.address, "a1", "/again/x");

		ASSERT_TRUE(run_loop_until([&] { return !ask.body.empty(); }));
		for (pe_upstream *engine : engines)
			if (pe_connections(engine))
				pe_restart(engine, &way);
		EXPECT_EQ(ask.wait().body, complete_stream);
		EXPECT_EQ(ask.error, LP_OK);
	}
}

/* A new life that is ready is not leaving. */
TEST(NewLife, OneThatWasLeavingServesAgain)
{
	const pe_restart_options way = { false, false, 0 };
	Rig rig;
	pe_upstream *plain = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_drain(plain);
	rig.settle();
	EXPECT_EQ(CallerRequest(rig.address, "a1", "/look/x").wait().status,
		  503u);
	pe_restart(plain, &way);
	rig.settle();
	EXPECT_EQ(CallerRequest(rig.address, "a2", "/look/x").wait().status,
		  200u);
}

/* Its clock is wrong, and so it stays the older one for a while. */
TEST(NewLife, OneWhoseClockWasSetBackServesAgain)
{
	const pe_restart_options way = { false, false, 60000 };
	Rig rig;
	pe_upstream *plain = rig.add(PE_PLAIN, "plain");

	rig.settle();
	pe_restart(plain, &way);
	rig.settle();
	EXPECT_EQ(CallerRequest(rig.address, "a1", "/look/x").wait().status,
		  200u);
	run_loop_until([] { return false; }, LIVES_SET_BACK_US / 1000);
	rig.settle();
	EXPECT_EQ(CallerRequest(rig.address, "a2", "/look/x").wait().status,
		  200u);
	pe_drain(plain);
	rig.settle();
	EXPECT_EQ(CallerRequest(rig.address, "a3", "/look/x").wait().status,
		  503u);
}

/* As before starts were said: no life is told from another. */
TEST(NewLife, UpstreamsThatSayNoStartAreServedAsBefore)
{
	const pe_restart_options way = { false, false, 0 };
	Rig rig;

	pe_say_no_start(rig.platform);
	pe_upstream *first = rig.add(PE_STAGE, "first");
	pe_upstream *second = rig.add(PE_STAGE, "second");

	rig.add(PE_ENGINE, "engine");
	rig.settle();
	pe_set_work_ms(second, 300);
	CallerRequest ask(rig.address, "a1", "/staged/x", pieces_of_each);

	ASSERT_TRUE(run_loop_until([&] { return pe_calls(second) == 1; }));
	pe_restart(first, &way);
	EXPECT_EQ(ask.wait().body, complete_stream);
}

/* ---- another writer ---- */

void write(Rig &rig, const char *id, const std::string &value)
{
	pe_write(rig.platform, id, value.data(), value.size());
}

std::string entry_of(pe_upstream *upstream)
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

/* One that was good names nobody while it cannot be read; the others hold. */
TEST(OtherWriter, WhatItOverwritesIsNotUsedAndTheOthersAre)
{
	Rig rig;
	pe_upstream *overwritten = rig.add(PE_PLAIN, "plain");
	uint32_t before;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	for (const std::string &value :
	     { std::string("rubbish"), std::string("\xff\0\x01", 3),
	       replace(entry_of(overwritten), "4", "-4"),
	       replace(entry_of(overwritten), "ready", "resting"),
	       std::string("{\"a\":") + std::string(200000, '['),
	       std::string(300000, ' ') }) {
		write(rig, pe_name(overwritten), value);
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

TEST(OtherWriter, WhatItErasesComesBackWithItsOwner)
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

/* Two entries share their reads; entries with any bytes in them do not end
 * that. */
TEST(OtherWriter, ItsEntriesCostNoCalls)
{
	Rig first;
	std::unique_ptr<Rig> second = std::make_unique<Rig>(&first);
	pe_upstream *plain = first.add(PE_PLAIN, "plain");
	const std::string entry = entry_of(plain);
	int64_t before;

	first.join("127.0.0.1", 4000, { "127.0.0.2" });
	second->join("127.0.0.2", 100, { "127.0.0.1" });
	write(first, "x-1", replace(entry, "plain", "pl ain 1"));
	write(first, "x-2", replace(entry, "plain", "p\\nl"));
	write(first, "x-3", replace(entry, "\"a\"", "\" a \\r\\n\""));
	write(first, "x-4", replace(entry, "ready", "odd"));
	write(first, "x-5", "\x80");
	first.settle();
	second->settle();
	EXPECT_TRUE(run_loop_until([&] {
		return direct_peers_count(first.peers) == 2 &&
		       direct_peers_count(second->peers) == 2;
	}));
	run_loop_until([] { return false; }, 700);
	before = *first.range_calls() + *second->range_calls();
	/* As Relay.OneEntryReadsAListThatDoesNotChangeForAll, also while the
	 * list changes: one reads it, the other has it from there. */
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
