/* Unit tests of the quarantine, and of which lost requests count against it, on
 * a simulated clock. */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <vector>

namespace
{

const int64_t s = LP_US_PER_S;
const uint64_t poison = 7;

quarantine_termination make_termination(uint64_t key, uint64_t incarnation,
					uint32_t round, int64_t terminated_us)
{
	quarantine_termination termination = {};

	termination.key = key;
	termination.incarnation = incarnation;
	termination.round = round;
	termination.terminated_us = terminated_us;
	return termination;
}

struct Fleet {
	TestClock clock;
	quarantine *c_quarantine = quarantine_create(&clock.clock);
	uint64_t last_incarnation = 100;
	int64_t wait_us = 0;

	~Fleet()
	{
		quarantine_destroy(c_quarantine);
	}
	/* An upstream terminates under a run of this round. */
	void terminate(uint64_t request, uint32_t round)
	{
		quarantine_termination termination = make_termination(
			request, ++last_incarnation, round, clock.now_us);

		termination.run_us = 100;

		EXPECT_TRUE(
			quarantine_add_termination(c_quarantine, &termination));
	}
	quarantine_decision admit(uint64_t request = poison)
	{
		quarantine_keys keys = {};
		quarantine_admission admission;

		keys.count = 1;
		keys.items[0].digest = request;
		admission = quarantine_admit(c_quarantine, &keys,
					     clock.now_us + 3 * s);
		wait_us = admission.wait_us;
		return admission.decision;
	}
	/* Makes up to `most` runs, one after the other, that terminate their
	 * upstreams; returns how many were admitted. */
	int runs_until_refused(uint64_t request, int most)
	{
		for (int i = 0; i < most; i++) {
			if (admit(request) == QUARANTINE_REFUSE)
				return i;
			terminate(request,
				  quarantine_round(c_quarantine, request));
			quarantine_set_trial(c_quarantine, request,
					     clock.now_us);
			clock.now_us += 100000;
		}
		return most;
	}
	quarantine_view get_view(uint64_t request = poison)
	{
		quarantine_view view = {};

		quarantine_get_view(c_quarantine, request, &view);
		return view;
	}
};

TEST(Quarantine, BlocksAfterThreeRounds)
{
	Fleet fleet;

	EXPECT_EQ(fleet.runs_until_refused(poison, 10), 3);
	EXPECT_EQ(fleet.wait_us, QUARANTINE_BLOCK_US - 100000);
	EXPECT_EQ(fleet.admit(8), QUARANTINE_PASS);
}

TEST(Quarantine, AllowsTrialsAtGrowingIntervals)
{
	Fleet fleet;
	int64_t out_us = QUARANTINE_BLOCK_US;

	fleet.runs_until_refused(poison, 10);
	for (int i = 0; i < 6; i++) {
		fleet.clock.now_us += fleet.wait_us - 1;
		EXPECT_EQ(fleet.admit(), QUARANTINE_REFUSE);
		fleet.clock.now_us += 1;
		EXPECT_EQ(fleet.admit(), QUARANTINE_TRIAL);
		EXPECT_EQ(fleet.admit(), QUARANTINE_REFUSE);
		EXPECT_LE(fleet.wait_us, QUARANTINE_TRIAL_WAIT_MAX_US);
		fleet.terminate(poison,
				quarantine_round(fleet.c_quarantine, poison));
		EXPECT_EQ(fleet.admit(), QUARANTINE_REFUSE);
		out_us = MIN(out_us * QUARANTINE_BLOCK_FACTOR,
			     QUARANTINE_BLOCK_MAX_US);
		EXPECT_EQ(fleet.wait_us, out_us);
	}
	fleet.clock.now_us += fleet.wait_us;
	EXPECT_EQ(fleet.admit(), QUARANTINE_TRIAL);
	EXPECT_TRUE(quarantine_clear(fleet.c_quarantine, poison,
				     fleet.clock.now_us));
	EXPECT_EQ(fleet.admit(), QUARANTINE_PASS);
	EXPECT_EQ(fleet.admit(), QUARANTINE_PASS);
}

/* All upstreams of a service terminate at one moment while they run a popular
 * request: one trial is admitted, and its answer clears the others. */
TEST(Quarantine, SimultaneousTerminationsDoNotBlock)
{
	Fleet fleet;

	for (int i = 0; i < 40; i++)
		fleet.terminate(poison, 1);
	EXPECT_EQ(fleet.get_view().rounds, 1u);
	EXPECT_EQ(fleet.admit(), QUARANTINE_TRIAL);
	EXPECT_EQ(fleet.admit(), QUARANTINE_REFUSE);
	EXPECT_TRUE(quarantine_clear(fleet.c_quarantine, poison,
				     fleet.clock.now_us));
	EXPECT_EQ(fleet.admit(), QUARANTINE_PASS);
	EXPECT_EQ(fleet.get_view().terminations_count, 0u);
}

/* A request that shared an upstream with the poison one at each termination is
 * cleared by its trial. */
TEST(Quarantine, RequestSharingUpstreamsByChanceIsCleared)
{
	Fleet fleet;
	const uint64_t innocent = 9;

	for (uint32_t round = 1; round <= 2; round++) {
		fleet.terminate(poison, round);
		fleet.terminate(innocent, round);
	}
	EXPECT_EQ(fleet.admit(innocent), QUARANTINE_TRIAL);
	EXPECT_EQ(fleet.admit(poison), QUARANTINE_TRIAL);
	EXPECT_TRUE(quarantine_clear(fleet.c_quarantine, innocent,
				     fleet.clock.now_us));
	fleet.terminate(poison, 3);
	EXPECT_EQ(fleet.admit(innocent), QUARANTINE_PASS);
	EXPECT_EQ(fleet.admit(poison), QUARANTINE_REFUSE);
}

/* Reports of other entries may arrive twice, late and in any order. */
TEST(Quarantine, ReportsMayArriveInAnyOrder)
{
	const quarantine_termination terminations[] = {
		make_termination(poison, 1, 1, 1000),
		make_termination(poison, 2, 2, 2000),
		make_termination(poison, 3, 3, 3000),
	};
	const int orders[][5] = { { 0, 1, 2, 1, 0 },
				  { 2, 1, 0, 0, 2 },
				  { 1, 2, 1, 0, 1 } };

	for (const auto &order : orders) {
		Fleet fleet;

		for (int at : order)
			quarantine_add_termination(fleet.c_quarantine,
						   &terminations[at]);
		EXPECT_EQ(fleet.get_view().terminations_count, 3u);
		EXPECT_EQ(fleet.get_view().rounds, 3u);
		EXPECT_EQ(fleet.admit(), QUARANTINE_REFUSE);
		for (uint32_t i = 0; i < 3; i++)
			EXPECT_EQ(
				fleet.get_view().terminations[i].terminated_us,
				terminations[i].terminated_us);
		/* Once it is cleared, reports of earlier terminations do not
		 * count. */
		quarantine_clear(fleet.c_quarantine, poison, 3000);
		for (int at : order)
			EXPECT_FALSE(quarantine_add_termination(
				fleet.c_quarantine, &terminations[at]));
		EXPECT_EQ(fleet.admit(), QUARANTINE_PASS);
	}
}

/* An upstream restarts under its id and terminates again before the list shows
 * the new incarnation. */
TEST(Quarantine, TerminationInALaterRoundIsDistinct)
{
	Fleet fleet;
	quarantine_termination termination =
		make_termination(poison, 50, 1, 1000);

	EXPECT_TRUE(
		quarantine_add_termination(fleet.c_quarantine, &termination));
	/* the same one, as detected by another entry */
	termination.terminated_us = 1500;
	EXPECT_FALSE(
		quarantine_add_termination(fleet.c_quarantine, &termination));
	termination.round = 2;
	EXPECT_TRUE(
		quarantine_add_termination(fleet.c_quarantine, &termination));
	EXPECT_EQ(fleet.get_view().terminations_count, 2u);
}

TEST(Quarantine, UnreportedTrialExpires)
{
	Fleet fleet;

	fleet.terminate(poison, 1);
	fleet.terminate(poison, 2);
	EXPECT_EQ(fleet.admit(), QUARANTINE_TRIAL);
	quarantine_set_trial(fleet.c_quarantine, poison, fleet.clock.now_us);
	EXPECT_EQ(fleet.admit(), QUARANTINE_TRIAL); /* reported as over */
	fleet.clock.now_us += 3 * s;
	EXPECT_EQ(fleet.admit(), QUARANTINE_TRIAL); /* no report */
	quarantine_set_trial(fleet.c_quarantine, poison,
			     fleet.clock.now_us + 2 * s);
	EXPECT_EQ(fleet.admit(), QUARANTINE_REFUSE); /* another entry's */
	EXPECT_EQ(fleet.wait_us, QUARANTINE_TRIAL_WAIT_MAX_US);
}

/* Thousands of contents, each of which terminates an upstream: the number of
 * records is bounded, and the request with most rounds stays blocked. */
TEST(Quarantine, FloodDoesNotEvictBlockedRequest)
{
	Fleet fleet;
	std::vector<uint64_t> seen;

	fleet.runs_until_refused(poison, 10);
	for (uint64_t other = 1000; other < 21000; other++) {
		fleet.terminate(other, 1);
		if (other % 2)
			fleet.terminate(other, 2);
	}
	quarantine_foreach(
		fleet.c_quarantine,
		[](void *out, const quarantine_view *view) {
			static_cast<std::vector<uint64_t> *>(out)->push_back(
				view->key);
		},
		&seen);
	EXPECT_EQ(seen.size(), (size_t)QUARANTINE_RECORDS_MAX);
	EXPECT_EQ(fleet.admit(), QUARANTINE_REFUSE);
	EXPECT_EQ(fleet.admit(20999), QUARANTINE_TRIAL);
	EXPECT_EQ(fleet.admit(20998), QUARANTINE_PASS);
}

TEST(Quarantine, TerminationsOfARequestAreBounded)
{
	Fleet fleet;

	for (uint32_t i = 0; i < 100; i++) {
		fleet.terminate(poison, 1 + i / 20);
		fleet.clock.now_us += s;
	}
	EXPECT_EQ(fleet.get_view().terminations_count,
		  (uint32_t)QUARANTINE_TERMINATIONS_MAX);
	EXPECT_EQ(fleet.get_view().rounds, 5u);
	EXPECT_EQ(fleet.get_view().terminations[0].terminated_us, 1000000);
}

TEST(Quarantine, RecordsExpire)
{
	Fleet fleet;

	fleet.terminate(poison, 1);
	fleet.clock.now_us += QUARANTINE_RECORD_TTL_US;
	quarantine_expire(fleet.c_quarantine);
	EXPECT_FALSE(quarantine_is_empty(fleet.c_quarantine));
	fleet.clock.now_us += 1;
	quarantine_expire(fleet.c_quarantine);
	EXPECT_TRUE(quarantine_is_empty(fleet.c_quarantine));
	fleet.runs_until_refused(poison, 10);
	fleet.clock.now_us +=
		QUARANTINE_BLOCK_US + QUARANTINE_RECORD_TTL_US - s;
	quarantine_expire(fleet.c_quarantine);
	EXPECT_EQ(fleet.admit(), QUARANTINE_TRIAL);
}

TEST(Quarantine, DisabledQuarantineRefusesNothing)
{
	Fleet fleet;

	quarantine_set_enabled(fleet.c_quarantine, false);
	EXPECT_EQ(fleet.runs_until_refused(poison, 10), 10);
	quarantine_set_enabled(fleet.c_quarantine, true);
	EXPECT_EQ(fleet.admit(), QUARANTINE_REFUSE);
}

/* ---- lost requests ---- */

lost_request make_lost(uint64_t request, uint64_t incarnation)
{
	lost_request lost = {};

	lost.keys.count = 1;
	lost.keys.items[0].digest = request;
	lost.keys.items[0].round = 1;
	lost.incarnation = incarnation;
	return lost;
}

struct LostRequests {
	TestClock clock;
	lost_requests *c_lost = lost_requests_create(&clock.clock);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(lost_request));

	~LostRequests()
	{
		lost_requests_destroy(c_lost);
		g_array_unref(out);
	}
	lost_request_status add(uint64_t request, uint64_t incarnation)
	{
		lost_request one = make_lost(request, incarnation);

		one.sent_us = clock.now_us;
		one.lost_us = clock.now_us;
		return lost_requests_add(c_lost, &one);
	}
};

TEST(LostRequests, CountOnceTheUpstreamTerminated)
{
	LostRequests lost;

	EXPECT_EQ(lost.add(1, 50), LOST_REQUEST_PROBE_NEEDED);
	EXPECT_EQ(lost.add(2, 50), LOST_REQUEST_PROBE_PENDING);
	EXPECT_EQ(lost.add(3, 51), LOST_REQUEST_PROBE_NEEDED);
	EXPECT_TRUE(lost_requests_note_termination(lost.c_lost, 50, false,
						   lost.out));
	EXPECT_EQ(lost.out->len, 2u);
	EXPECT_FALSE(lost_requests_note_termination(lost.c_lost, 50, false,
						    lost.out));
	EXPECT_EQ(lost.out->len, 2u);
	EXPECT_EQ(lost.add(4, 50), LOST_REQUEST_UPSTREAM_TERMINATED);
}

/* A lost request that is detected after the termination gets the time of the
 * termination. */
TEST(LostRequests, LateLossIsDatedToTheTermination)
{
	LostRequests lost;
	lost_request late = make_lost(1, 50);
	int64_t terminated_us = lost.clock.now_us;

	lost_requests_note_termination(lost.c_lost, 50, false, lost.out);
	lost.clock.now_us += s;
	late.lost_us = lost.clock.now_us;
	EXPECT_EQ(lost_requests_add(lost.c_lost, &late),
		  LOST_REQUEST_UPSTREAM_TERMINATED);
	EXPECT_EQ(late.lost_us, terminated_us);
}

/* The upstream restarts before the list shows it, and terminates again. */
TEST(LostRequests, ListedIncarnationMayTerminateTwice)
{
	LostRequests lost;

	lost.add(1, 50);
	lost_requests_note_termination(lost.c_lost, 50, false, lost.out);
	lost.clock.now_us += s;
	EXPECT_EQ(lost.add(1, 50), LOST_REQUEST_PROBE_NEEDED);
	EXPECT_TRUE(lost_requests_note_termination(lost.c_lost, 50, false,
						   lost.out));
	ASSERT_EQ(lost.out->len, 2u);
}

/* A reset before a probe whose connection was accepted does not count when the
 * upstream terminates later, unless it reports that it had restarted. */
TEST(LostRequests, LossBeforeASuccessfulProbeDoesNotCount)
{
	for (bool restarted : { false, true }) {
		LostRequests lost;

		EXPECT_EQ(lost.add(1, 50), LOST_REQUEST_PROBE_NEEDED);
		lost_requests_note_undetermined(lost.c_lost, 50, true);
		EXPECT_EQ(lost.add(2, 50), LOST_REQUEST_PROBE_NEEDED);
		EXPECT_EQ(lost.add(3, 50), LOST_REQUEST_PROBE_PENDING);
		lost_requests_note_termination(lost.c_lost, 50, restarted,
					       lost.out);
		EXPECT_EQ(lost.out->len, restarted ? 3u : 2u);
	}
}

TEST(LostRequests, LossAfterAnInconclusiveProbeCounts)
{
	LostRequests lost;

	lost.add(1, 50);
	lost_requests_note_undetermined(lost.c_lost, 50, false);
	lost_requests_note_termination(lost.c_lost, 50, false, lost.out);
	EXPECT_EQ(lost.out->len, 1u);
}

TEST(LostRequests, ExpireWithoutATermination)
{
	LostRequests lost;

	lost_requests_note_termination(lost.c_lost, 50, false, lost.out);
	lost.add(1, 51);
	lost.clock.now_us += LOST_REQUESTS_RETENTION_US + 1;
	lost_requests_expire(lost.c_lost);
	EXPECT_EQ(lost.add(1, 51), LOST_REQUEST_PROBE_NEEDED);
	EXPECT_EQ(lost.add(1, 50),
		  LOST_REQUEST_PROBE_NEEDED); /* its termination has expired too
					       */
}

} // namespace
