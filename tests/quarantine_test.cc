/* Which requests are kept from upstreams that end under them, and which are
 * not, on a clock of the test's. */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <vector>

namespace
{

const int64_t s = LP_US_PER_S;
const uint64_t bad = 7;

struct Fleet {
	TestClock clock;
	quarantine *it = quarantine_create(&clock.clock);
	uint64_t lives = 100;
	int64_t wait_us = 0;

	~Fleet()
	{
		quarantine_destroy(it);
	}
	/* An upstream ends under a run that was begun in this round. */
	void end(uint64_t request, uint32_t round)
	{
		quarantine_termination end = { request, ++lives, round,
					       clock.now_us, 100 };

		EXPECT_TRUE(quarantine_add_termination(it, &end));
	}
	quarantine_decision ask(uint64_t request = bad)
	{
		return quarantine_admit(it, request, clock.now_us + 3 * s,
					&wait_us);
	}
	/* One run after the other; returns how many upstreams ended. */
	int runs_until_refused(uint64_t request, int most)
	{
		for (int i = 0; i < most; i++) {
			if (ask(request) == QUARANTINE_REFUSE)
				return i;
			end(request, quarantine_round(it, request));
			quarantine_set_trial(it, request, clock.now_us);
			clock.now_us += 100000;
		}
		return most;
	}
	quarantine_view look(uint64_t request = bad)
	{
		quarantine_view view = {};

		quarantine_get_view(it, request, &view);
		return view;
	}
};

TEST(Quarantine, KeepsOutAfterThreeRounds)
{
	Fleet fleet;

	EXPECT_EQ(fleet.runs_until_refused(bad, 10), 3);
	EXPECT_EQ(fleet.wait_us, QUARANTINE_BLOCK_US - 100000);
	EXPECT_EQ(fleet.ask(8), QUARANTINE_PASS);
}

TEST(Quarantine, LetsInAgainForOneTryAndThenLater)
{
	Fleet fleet;
	int64_t out_us = QUARANTINE_BLOCK_US;

	fleet.runs_until_refused(bad, 10);
	for (int i = 0; i < 6; i++) {
		fleet.clock.now_us += fleet.wait_us - 1;
		EXPECT_EQ(fleet.ask(), QUARANTINE_REFUSE);
		fleet.clock.now_us += 1;
		EXPECT_EQ(fleet.ask(), QUARANTINE_TRIAL);
		EXPECT_EQ(fleet.ask(), QUARANTINE_REFUSE);
		EXPECT_LE(fleet.wait_us, QUARANTINE_TRIAL_WAIT_MAX_US);
		fleet.end(bad, quarantine_round(fleet.it, bad));
		EXPECT_EQ(fleet.ask(), QUARANTINE_REFUSE);
		out_us = MIN(out_us * QUARANTINE_BLOCK_FACTOR,
			     QUARANTINE_BLOCK_MAX_US);
		EXPECT_EQ(fleet.wait_us, out_us);
	}
	fleet.clock.now_us += fleet.wait_us;
	EXPECT_EQ(fleet.ask(), QUARANTINE_TRIAL);
	EXPECT_TRUE(quarantine_clear(fleet.it, bad, fleet.clock.now_us));
	EXPECT_EQ(fleet.ask(), QUARANTINE_PASS);
	EXPECT_EQ(fleet.ask(), QUARANTINE_PASS);
}

/* All upstreams of a service end at one moment, with runs of what many ask for:
 * one goes first, and the others with its answer. */
TEST(Quarantine, EndsOfOneMomentKeepNobodyOut)
{
	Fleet fleet;

	for (int i = 0; i < 40; i++)
		fleet.end(bad, 1);
	EXPECT_EQ(fleet.look().rounds, 1u);
	EXPECT_EQ(fleet.ask(), QUARANTINE_TRIAL);
	EXPECT_EQ(fleet.ask(), QUARANTINE_REFUSE);
	EXPECT_TRUE(quarantine_clear(fleet.it, bad, fleet.clock.now_us));
	EXPECT_EQ(fleet.ask(), QUARANTINE_PASS);
	EXPECT_EQ(fleet.look().terminations_count, 0u);
}

/* It shares an upstream with the bad one at each of its ends. */
TEST(Quarantine, WhoSharesUpstreamsByChanceIsServed)
{
	Fleet fleet;
	const uint64_t good = 9;

	for (uint32_t round = 1; round <= 2; round++) {
		fleet.end(bad, round);
		fleet.end(good, round);
	}
	EXPECT_EQ(fleet.ask(good), QUARANTINE_TRIAL);
	EXPECT_EQ(fleet.ask(bad), QUARANTINE_TRIAL);
	EXPECT_TRUE(quarantine_clear(fleet.it, good, fleet.clock.now_us));
	fleet.end(bad, 3);
	EXPECT_EQ(fleet.ask(good), QUARANTINE_PASS);
	EXPECT_EQ(fleet.ask(bad), QUARANTINE_REFUSE);
}

/* Words of others come twice, late, in any order. */
TEST(Quarantine, WordsMayComeInAnyOrder)
{
	const quarantine_termination ends[] = { { bad, 1, 1, 1000, 0 },
						{ bad, 2, 2, 2000, 0 },
						{ bad, 3, 3, 3000, 0 } };
	const int orders[][5] = { { 0, 1, 2, 1, 0 },
				  { 2, 1, 0, 0, 2 },
				  { 1, 2, 1, 0, 1 } };

	for (const auto &order : orders) {
		Fleet fleet;

		for (int at : order)
			quarantine_add_termination(fleet.it, &ends[at]);
		EXPECT_EQ(fleet.look().terminations_count, 3u);
		EXPECT_EQ(fleet.look().rounds, 3u);
		EXPECT_EQ(fleet.ask(), QUARANTINE_REFUSE);
		for (uint32_t i = 0; i < 3; i++)
			EXPECT_EQ(fleet.look().terminations[i].terminated_us,
				  ends[i].terminated_us);
		/* It was served; what is said of before counts no more. */
		quarantine_clear(fleet.it, bad, 3000);
		for (int at : order)
			EXPECT_FALSE(quarantine_add_termination(fleet.it,
								&ends[at]));
		EXPECT_EQ(fleet.ask(), QUARANTINE_PASS);
	}
}

/* One that starts again under its id and ends before a list says so. */
TEST(Quarantine, ALifeThatEndsInALaterRoundIsAnother)
{
	Fleet fleet;
	quarantine_termination end = { bad, 50, 1, 1000, 0 };

	EXPECT_TRUE(quarantine_add_termination(fleet.it, &end));
	end.terminated_us = 1500; /* the same, as another entry saw it */
	EXPECT_FALSE(quarantine_add_termination(fleet.it, &end));
	end.round = 2;
	EXPECT_TRUE(quarantine_add_termination(fleet.it, &end));
	EXPECT_EQ(fleet.look().terminations_count, 2u);
}

TEST(Quarantine, ATryThatLeadsNowhereIsOverInTime)
{
	Fleet fleet;

	fleet.end(bad, 1);
	fleet.end(bad, 2);
	EXPECT_EQ(fleet.ask(), QUARANTINE_TRIAL);
	quarantine_set_trial(fleet.it, bad, fleet.clock.now_us);
	EXPECT_EQ(fleet.ask(), QUARANTINE_TRIAL); /* told to be over */
	fleet.clock.now_us += 3 * s;
	EXPECT_EQ(fleet.ask(), QUARANTINE_TRIAL); /* never told */
	quarantine_set_trial(fleet.it, bad, fleet.clock.now_us + 2 * s);
	EXPECT_EQ(fleet.ask(), QUARANTINE_REFUSE); /* another entry's */
	EXPECT_EQ(fleet.wait_us, QUARANTINE_TRIAL_WAIT_MAX_US);
}

/* Thousands of bodies, each of which ends an upstream: memory is bounded, and
 * who has ended most is still known. */
TEST(Quarantine, AFloodDoesNotHideTheWorst)
{
	Fleet fleet;
	std::vector<uint64_t> seen;

	fleet.runs_until_refused(bad, 10);
	for (uint64_t other = 1000; other < 21000; other++) {
		fleet.end(other, 1);
		if (other % 2)
			fleet.end(other, 2);
	}
	quarantine_foreach(
		fleet.it,
		[](void *out, const quarantine_view *view) {
			static_cast<std::vector<uint64_t> *>(out)->push_back(
				view->request);
		},
		&seen);
	EXPECT_EQ(seen.size(), (size_t)QUARANTINE_RECORDS_MAX);
	EXPECT_EQ(fleet.ask(), QUARANTINE_REFUSE);
	EXPECT_EQ(fleet.ask(20999), QUARANTINE_TRIAL);
	EXPECT_EQ(fleet.ask(20998), QUARANTINE_PASS);
}

TEST(Quarantine, EndsOfOneRequestAreBounded)
{
	Fleet fleet;

	for (uint32_t i = 0; i < 100; i++) {
		fleet.end(bad, 1 + i / 20);
		fleet.clock.now_us += s;
	}
	EXPECT_EQ(fleet.look().terminations_count,
		  (uint32_t)QUARANTINE_TERMINATIONS_MAX);
	EXPECT_EQ(fleet.look().rounds, 5u);
	EXPECT_EQ(fleet.look().terminations[0].terminated_us, 1000000);
}

TEST(Quarantine, ForgetsWhatIsOver)
{
	Fleet fleet;

	fleet.end(bad, 1);
	fleet.clock.now_us += QUARANTINE_RECORD_TTL_US;
	quarantine_expire(fleet.it);
	EXPECT_FALSE(quarantine_is_empty(fleet.it));
	fleet.clock.now_us += 1;
	quarantine_expire(fleet.it);
	EXPECT_TRUE(quarantine_is_empty(fleet.it));
	fleet.runs_until_refused(bad, 10);
	fleet.clock.now_us +=
		QUARANTINE_BLOCK_US + QUARANTINE_RECORD_TTL_US - s;
	quarantine_expire(fleet.it);
	EXPECT_EQ(fleet.ask(), QUARANTINE_TRIAL);
}

TEST(Quarantine, TurnedOffItRefusesNothing)
{
	Fleet fleet;

	quarantine_set_enabled(fleet.it, false);
	EXPECT_EQ(fleet.runs_until_refused(bad, 10), 10);
	quarantine_set_enabled(fleet.it, true);
	EXPECT_EQ(fleet.ask(), QUARANTINE_REFUSE);
}

/* ---- which losses count ---- */

struct Losses {
	TestClock clock;
	losses *it = losses_create(&clock.clock);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(loss));

	~Losses()
	{
		losses_destroy(it);
		g_array_unref(out);
	}
	losses_word add(uint64_t request, uint64_t life)
	{
		loss one = { request, life, 1, clock.now_us, clock.now_us };

		return losses_add(it, &one);
	}
};

TEST(Losses, CountOnceTheUpstreamHasEnded)
{
	Losses losses;

	EXPECT_EQ(losses.add(1, 50), LOSSES_ASK);
	EXPECT_EQ(losses.add(2, 50), LOSSES_WAIT);
	EXPECT_EQ(losses.add(3, 51), LOSSES_ASK);
	EXPECT_TRUE(losses_ended(losses.it, 50, false, losses.out));
	EXPECT_EQ(losses.out->len, 2u);
	EXPECT_FALSE(losses_ended(losses.it, 50, false, losses.out));
	EXPECT_EQ(losses.out->len, 2u);
	EXPECT_EQ(losses.add(4, 50), LOSSES_ENDED);
}

/* A loss that shows late is as old as the end. */
TEST(Losses, ThoseThatShowLateAreAsOldAsTheEnd)
{
	Losses losses;
	loss late = { 1, 50, 1, 0, 0 };
	int64_t ended_us = losses.clock.now_us;

	losses_ended(losses.it, 50, false, losses.out);
	losses.clock.now_us += s;
	late.lost_us = losses.clock.now_us;
	EXPECT_EQ(losses_add(losses.it, &late), LOSSES_ENDED);
	EXPECT_EQ(late.lost_us, ended_us);
}

/* It has started again before the list says so, and ends again. */
TEST(Losses, OneLifeOfTheListMayEndTwice)
{
	Losses losses;

	losses.add(1, 50);
	losses_ended(losses.it, 50, false, losses.out);
	losses.clock.now_us += s;
	EXPECT_EQ(losses.add(1, 50), LOSSES_ASK);
	EXPECT_TRUE(losses_ended(losses.it, 50, false, losses.out));
	ASSERT_EQ(losses.out->len, 2u);
}

/* A reset is not held against its request when the upstream ends later, unless
 * it says that it had started again. */
TEST(Losses, WhatSomeoneIsSeenAliveAfterDidNotEndIt)
{
	for (bool restarted : { false, true }) {
		Losses losses;

		EXPECT_EQ(losses.add(1, 50), LOSSES_ASK);
		losses_not_found(losses.it, 50, true);
		EXPECT_EQ(losses.add(2, 50), LOSSES_ASK);
		EXPECT_EQ(losses.add(3, 50), LOSSES_WAIT);
		losses_ended(losses.it, 50, restarted, losses.out);
		EXPECT_EQ(losses.out->len, restarted ? 3u : 2u);
	}
}

TEST(Losses, WhatNobodyAnsweredForMayHaveEndedIt)
{
	Losses losses;

	losses.add(1, 50);
	losses_not_found(losses.it, 50, false);
	losses_ended(losses.it, 50, false, losses.out);
	EXPECT_EQ(losses.out->len, 1u);
}

TEST(Losses, AreForgottenIfNothingIsKnown)
{
	Losses losses;

	losses_ended(losses.it, 50, false, losses.out);
	losses.add(1, 51);
	losses.clock.now_us += LOSSES_KEEP_US + 1;
	losses_forget(losses.it);
	EXPECT_EQ(losses.add(1, 51), LOSSES_ASK);
	EXPECT_EQ(losses.add(1, 50), LOSSES_ASK); /* its end is forgotten too */
}

} // namespace
