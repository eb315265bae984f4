/*
 * Decisions about attempts whose upstreams send nothing: alone, and in a model
 * of streams at upstreams that pause, hang and drain, on a virtual clock.
 */
#include "cwrap.h"

extern "C" {
#include "policy/retry_budget.h"
#include "policy/stall.h"
}

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace
{

const int64_t gap_us = 200 * LP_US_PER_MS;
const int64_t step_us = 10 * LP_US_PER_MS;
const int64_t window_us = 10 * LP_US_PER_S;

/* ---- one decision ---- */

/* Guards against an attempt that is given up for silence alone: it moves only
 * if nothing forbids it, and ends only if its upstream is gone. */
TEST(Stall, AttemptIsGivenUpOnlyForPlaceElsewhereOrGoneUpstream)
{
	for (int obstacle = RETRY_OBSTACLE_NONE;
	     obstacle <= RETRY_OBSTACLE_BUDGET; obstacle++)
		for (int bits = 0; bits < 16; bits++) {
			stall_attempt attempt = {};
			bool may_move;

			attempt.retry_obstacle = (retry_obstacle)obstacle;
			attempt.is_peer_gone = bits & 1;
			attempt.is_blocked = bits & 2;
			attempt.has_place = bits & 4;
			attempt.has_budget = bits & 8;
			may_move = !obstacle && !attempt.is_blocked &&
				   attempt.has_place && attempt.has_budget;
			stall_decision decision = stall_decide(&attempt);

			EXPECT_EQ(decision.step, attempt.is_peer_gone
							 ? STALL_END
						 : may_move ? STALL_MOVE
							    : STALL_STAY);
			EXPECT_EQ(decision.obstacle == RETRY_OBSTACLE_NONE,
				  decision.step != STALL_STAY);
		}
}

TEST(Stall, TimeoutFollowsWhatIsExpected)
{
	stall_times times = {};

	times.target_us = 300000;
	times.left_us = 13000000;
	EXPECT_EQ(stall_timeout_us(&times), 600000);
	times.left_us = 800000;
	EXPECT_EQ(stall_timeout_us(&times), 400000);
	times.is_stream = true;
	times.expected_us = 500000;
	EXPECT_EQ(stall_timeout_us(&times), 2000000);
	times.has_begun = true;
	times.gap_us = 200000;
	EXPECT_EQ(stall_timeout_us(&times), 600000);
}

/* ---- the model ---- */

struct Upstream {
	int version;
	bool hangs; /* each stream, after some events */
	bool is_draining;
};

struct Stream {
	uint32_t attempts_max;
	int64_t deadline_us;
	uint32_t events_left;
	int version = -1; /* of its first event */
	std::vector<size_t> tried;
	int64_t next_event_us;
	bool hangs = false;    /* at its present upstream */
	bool has_hung = false; /* at any: its deadline may pass */
	int64_t heard_us;
	int64_t asks_us; /* next decision */
	bool done = false;
	bool failed = false;
};

struct World {
	TestClock clock;
	std::mt19937 random;
	std::vector<Upstream> upstreams;
	std::vector<Stream> streams;
	std::vector<int64_t> requests;
	std::vector<int64_t> repeats;
	retry_budget *budget;
	double ratio; /* of the budget; both 0: it is always spent */
	double slack;

	explicit World(uint32_t seed) : random(seed)
	{
		retry_budget_options options = {};

		bool has_budget = draw(0, 2);

		ratio = has_budget ? 0.2 : 0;
		slack = has_budget ? (double)draw(20, 60) : 0;
		options.clock = &clock.clock;
		options.ratio = ratio;
		options.slack = retry_budget_share(slack, 1);
		options.starts_full = true;
		budget = retry_budget_create(&options);
		for (int i = draw(1, 6); i > 0; i--)
			upstreams.push_back(
				{ draw(0, 1), !draw(0, 3), !draw(0, 5) });
	}
	~World()
	{
		retry_budget_destroy(budget);
	}
	int draw(int from, int to)
	{
		return std::uniform_int_distribution<>(from, to)(random);
	}
	/* Time until the next event: mostly none to speak of, at times a pause
	 * within or beyond the stall time. */
	int64_t draw_gap_us()
	{
		return draw(0, 5) ? 20000 : draw(100, 3000) * LP_US_PER_MS;
	}
	void begin_attempt(Stream &stream, size_t at)
	{
		stream.tried.push_back(at);
		stream.heard_us = clock.now_us;
		stream.asks_us = clock.now_us + stall_us();
		stream.next_event_us = clock.now_us + draw_gap_us();
		stream.hangs = upstreams[at].hangs && draw(0, 1);
		stream.has_hung |= stream.hangs;
	}
	static int64_t stall_us()
	{
		stall_times times = {};

		times.is_stream = times.has_begun = true;
		times.gap_us = gap_us;
		return stall_timeout_us(&times);
	}
	void arrive()
	{
		Stream stream = {};

		retry_budget_add_request(budget, "s");
		requests.push_back(clock.now_us);
		stream.attempts_max = (uint32_t)draw(1, 4);
		stream.events_left = (uint32_t)draw(1, 12);
		/* Its pauses together are shorter. */
		stream.deadline_us = clock.now_us + 60 * LP_US_PER_S;
		begin_attempt(stream,
			      (size_t)draw(0, (int)upstreams.size() - 1));
		streams.push_back(stream);
	}
	/* An upstream that may take the stream, or -1. */
	int find_place(const Stream &stream) const
	{
		for (size_t i = 0; i < upstreams.size(); i++)
			if (!upstreams[i].is_draining &&
			    (stream.version < 0 ||
			     stream.version == upstreams[i].version) &&
			    std::find(stream.tried.begin(), stream.tried.end(),
				      i) == stream.tried.end())
				return (int)i;
		return -1;
	}
	stall_attempt describe(const Stream &stream) const
	{
		stall_attempt attempt = {};
		retry_state retry = {};

		retry.repeatable = retry.resumable = true;
		retry.response_started = stream.version >= 0;
		retry.executions = (uint32_t)stream.tried.size();
		retry.executions_max = stream.attempts_max;
		retry.has_time = clock.now_us < stream.deadline_us;
		attempt.retry_obstacle =
			retry_find_obstacle(&retry, RETRY_EVENT_BROKEN);
		attempt.has_place = find_place(stream) >= 0;
		attempt.has_budget = retry_budget_allows(budget, "s");
		return attempt;
	}
	void decide(Stream &stream)
	{
		const stall_attempt attempt = describe(stream);
		const bool may_move = !attempt.retry_obstacle &&
				      attempt.has_place && attempt.has_budget;
		const stall_decision decision = stall_decide(&attempt);

		EXPECT_EQ(decision.step == STALL_MOVE, may_move);
		stream.asks_us = clock.now_us + STALL_RECHECK_US;
		if (decision.step == STALL_END)
			stream.done = stream.failed = true;
		if (decision.step != STALL_MOVE)
			return;
		EXPECT_TRUE(retry_budget_take(budget, "s"));
		repeats.push_back(clock.now_us);
		begin_attempt(stream, (size_t)find_place(stream));
	}
	void receive_event(Stream &stream)
	{
		int version = upstreams[stream.tried.back()].version;

		EXPECT_TRUE(stream.version < 0 || stream.version == version);
		stream.version = version;
		stream.heard_us = clock.now_us;
		stream.asks_us = clock.now_us + stall_us();
		stream.next_event_us = clock.now_us + draw_gap_us();
		stream.done = !--stream.events_left;
	}
	void advance(Stream &stream)
	{
		if (stream.done)
			return;
		if (clock.now_us >= stream.deadline_us)
			stream.done = stream.failed = true;
		else if (!stream.hangs && clock.now_us >= stream.next_event_us)
			receive_event(stream);
		else if (clock.now_us >= stream.asks_us)
			decide(stream);
	}
	void run()
	{
		const int64_t end_us = clock.now_us + 80 * LP_US_PER_S;

		for (int64_t i = 0; clock.now_us < end_us;
		     i++, clock.now_us += step_us) {
			if (i < 2000 && !draw(0, 9))
				arrive();
			if (!draw(0, 499))
				flip_drain();
			for (auto &stream : streams)
				advance(stream);
		}
	}
	void flip_drain()
	{
		auto &upstream =
			upstreams[(size_t)draw(0, (int)upstreams.size() - 1)];

		upstream.is_draining = !upstream.is_draining;
	}
	static double count(const std::vector<int64_t> &times, int64_t from_us)
	{
		return (double)std::count_if(
			times.begin(), times.end(), [&](int64_t at_us) {
				return at_us >= from_us &&
				       at_us < from_us + window_us;
			});
	}
	/* Of the window, of the one before or of the one half a window before,
	 * whichever has most. */
	double requests_that_count(int64_t from_us) const
	{
		return std::max({ count(requests, from_us),
				  count(requests, from_us - window_us / 2),
				  count(requests, from_us - window_us) });
	}
	void check()
	{
		for (const auto &stream : streams) {
			EXPECT_TRUE(stream.done);
			EXPECT_TRUE(!stream.failed || stream.has_hung)
				<< "an answer of a sound upstream was lost";
			EXPECT_LE(stream.tried.size(), stream.attempts_max);
		}
		for (int64_t from_us : repeats)
			EXPECT_LE(count(repeats, from_us),
				  ratio * requests_that_count(from_us) + slack);
	}
};

/* Guards against answers of sound upstreams that are lost at a pause, against
 * more repeats than the budget has, and against attempts that stay at a hung
 * upstream although they may move. */
TEST(Stall, NoAnswerOfSoundUpstreamIsLostInAnySchedule)
{
	size_t moved = 0;
	size_t hung = 0;

	for (uint32_t seed = 1; seed <= 300; seed++) {
		World world(seed);

		SCOPED_TRACE(seed);
		world.run();
		world.check();
		moved += world.repeats.size();
		for (const auto &stream : world.streams)
			hung += stream.failed;
		if (HasFailure())
			return;
	}
	/* Both occur, or the model shows nothing. */
	EXPECT_GT(moved, 1000u);
	EXPECT_GT(hung, 1000u);
}

} // namespace
