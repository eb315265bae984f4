/* Peers that read slowly against peers that are gone, by reports of the system
 * on a virtual clock. */
#include "cwrap.h"

#include <gtest/gtest.h>

namespace
{

const int64_t MS = LP_US_PER_MS;
const int64_t SILENCE_MAX_US = 3000 * MS;

struct Liveness {
	peer_liveness liveness = {};
	peer_report report = {};

	/* Bytes were written at 0, and the peer was last heard before. */
	Liveness()
	{
		report.undelivered_bytes = 1000;
		report.heard_us = -60000 * MS;
	}
	peer_state at(int64_t now_ms)
	{
		report.now_us = now_ms * MS;
		return peer_liveness_update(&liveness, &report, SILENCE_MAX_US);
	}
};

/* A peer that had been idle for long was gone at once by the age of what it had
 * acknowledged last. */
TEST(PeerLiveness, IdleTimeBeforeTheWriteIsNoSilence)
{
	Liveness peer;

	peer.report.is_in_flight = true;
	EXPECT_EQ(peer.at(1000), PEER_IN_FLIGHT);
	EXPECT_EQ(peer.at(2999), PEER_IN_FLIGHT);
	EXPECT_EQ(peer.at(3000), PEER_GONE);
}

/* A slow peer must not be gone however long its window is closed. */
TEST(PeerLiveness, ClosedWindowWhoseProbesAreAcknowledgedIsSlow)
{
	for (bool often : { false, true }) {
		Liveness peer;

		peer.report.is_probed_often = often;
		for (int64_t ms = 500; ms < 60000; ms += 500) {
			peer.report.heard_us = (ms - ms % 1000) * MS;
			EXPECT_EQ(peer.at(ms), PEER_SLOW) << ms;
		}
	}
}

/* The silence of a peer with a closed window counts from its last
 * acknowledgement, as a probe follows within a second. */
TEST(PeerLiveness, SilentPeerThatIsProbedOftenIsGone)
{
	Liveness peer;

	peer.report.is_probed_often = true;
	peer.report.heard_us = 5000 * MS;
	EXPECT_EQ(peer.at(7900), PEER_SLOW);
	EXPECT_EQ(peer.at(8000), PEER_GONE);
}

/* Where probes are rare, a peer that nothing was asked of seemed silent. */
TEST(PeerLiveness, SilenceBetweenRareProbesIsNoSilence)
{
	Liveness peer;

	peer.report.heard_us = 5000 * MS;
	EXPECT_EQ(peer.at(15000), PEER_SLOW);
	peer.report.is_probe_unanswered = true;
	EXPECT_EQ(peer.at(15500), PEER_SLOW);
	EXPECT_EQ(peer.at(18000), PEER_SLOW);
	EXPECT_EQ(peer.at(18500), PEER_GONE);
}

TEST(PeerLiveness, AnsweredProbeBeginsTheNextSilence)
{
	Liveness peer;

	peer.report.is_probe_unanswered = true;
	EXPECT_EQ(peer.at(1000), PEER_SLOW);
	peer.report.heard_us = 3500 * MS;
	EXPECT_EQ(peer.at(3800), PEER_SLOW);
	EXPECT_EQ(peer.at(6700), PEER_SLOW);
	EXPECT_EQ(peer.at(6800), PEER_GONE);
}

TEST(PeerLiveness, PeerThatHasEverythingIsNeverGone)
{
	Liveness peer;

	peer.report.undelivered_bytes = 0;
	EXPECT_EQ(peer.at(60000), PEER_DELIVERED);
}

} // namespace
