/*
 * Upstreams that send nothing for a while and then go on. An attempt that may
 * still be answered is given up only for another upstream that can take the
 * request, or because its own is known to be gone.
 */
#include "direct_rig.h"

#include <memory>
#include <vector>

namespace
{

/* Three pauses of `target_gap_ms`, after which a stream is moved. */
const int64_t STALL_MS = 600;
const uint32_t PAUSE_MS = 900;
/* Beyond any timeout of a test. */
const uint32_t HANG_MS = 600000;
const int64_t TIMEOUT_MS = 15000;

std::string make_config(uint32_t attempts_max)
{
	std::string attempts = std::to_string(attempts_max);
	std::string timeout = std::to_string(TIMEOUT_MS);
	std::string pieces = "\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":8,"
			     "\"call_ms\":10,\"item_ms\":1,\"headroom_mb\":1,"
			     "\"handle_s\":4}";
	std::string stream =
		"\"host\":\"a.example\",\"kind\":\"streaming\",\"timeout_"
		"ms\":" +
		timeout +
		",\"target_latency_ms\":2500,\"target_gap_ms\":200,"
		"\"priority\":0,\"service\":\"engine\",\"max_attempts\":" +
		attempts + ",\"resume_streams\":true";

	return "{\"version\":2,\"routes\":["
	       "{\"name\":\"stream\",\"prefix\":\"/stream/\"," +
	       stream + "},{\"name\":\"staged\",\"prefix\":\"/staged/\"," +
	       stream +
	       ",\"stages\":[{\"service\":\"first\",\"after\":[],\"bytes\":"
	       "1000}]},"
	       "{\"name\":\"look\",\"host\":\"a.example\",\"prefix\":\"/look/\""
	       ",\"kind\":\"idempotent\",\"timeout_ms\":" +
	       timeout +
	       ",\"target_latency_ms\":300,\"priority\":2,\"service\":"
	       "\"plain\",\"max_attempts\":" +
	       attempts +
	       "}],\"services\":[{\"name\":\"plain\"},{\"name\":\"engine\","
	       "\"engine\":{\"slots\":64,\"kv_capacity\":100000}},"
	       "{\"name\":\"first\"," +
	       pieces +
	       "}],\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":"
	       "65536,\"header_timeout_ms\":1000,\"idle_timeout_ms\":5000},"
	       "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"key-always\"],"
	       "\"priority\":-1}]}";
}

struct SilentUpstream : testing::Test {
	Rig rig{ false };
	std::vector<std::unique_ptr<CallerRequest>> requests;

	/* `slack`: retries that the budget has, besides none for each request.
	 */
	void configure(uint32_t attempts_max, double slack)
	{
		pe_set_config(rig.platform, make_config(attempts_max).c_str());
		rig.settle(2);
		set_slack(slack);
	}
	void set_slack(double slack)
	{
		direct_set_retry_budget(rig.entry, 0, slack);
	}
	pe_upstream *add_engine(const pe_pauses &pauses)
	{
		pe_upstream *engine = rig.add(PE_ENGINE, "engine");

		pe_set_pauses(engine, &pauses);
		return engine;
	}
	void send(const char *target, int count = 1)
	{
		for (int i = 0; i < count; i++) {
			std::string id =
				"s" + std::to_string(requests.size() + 1);

			requests.push_back(std::make_unique<CallerRequest>(
				rig.address, id.c_str(), target,
				Fields{ { "X-Pieces", "2" },
					{ "X-Piece-Key", "k" + id } }));
		}
	}
	bool wait_all(int64_t limit_ms = TIMEOUT_MS)
	{
		return run_loop_until(
			[&] {
				for (const auto &request : requests)
					if (!request->done)
						return false;
				return true;
			},
			limit_ms);
	}
	/* Requests whose answer is not this body, whole. */
	size_t broken(const std::string &body)
	{
		size_t count = 0;

		wait_all();
		for (const auto &request : requests)
			count += !request->done || request->error ||
				 request->status != 200 ||
				 request->body != body;
		return count;
	}
	/* Runs the loop until a stream's first events have come and nothing
	 * more since for so long. */
	void wait_for_pause(int64_t ms)
	{
		const std::string &body = requests.back()->body;

		EXPECT_TRUE(run_loop_until([&] { return !body.empty(); }));
		run_loop_until([] { return false; }, ms);
	}
	int64_t counter(const char *name, const char *labels = nullptr)
	{
		return *lp_counter(rig.counters, name, labels);
	}
	int64_t retries_taken(const char *service)
	{
		std::string labels =
			std::string("budget=\"taken\",service=\"") + service +
			"\"";

		return counter("linepier_retries_total", labels.c_str());
	}
};

/* ---- nothing better is there ---- */

/* Streams of sound engines were cut at a pause if the retry budget was spent.
 */
TEST_F(SilentUpstream, StreamOutlastsPausesWhileBudgetIsSpent)
{
	for (int i = 0; i < 4; i++)
		add_engine({ PAUSE_MS, 2, 2 });
	configure(2, 0);
	send("/stream/x", 24);
	EXPECT_EQ(broken(complete_stream), 0u);
	EXPECT_EQ(retries_taken("engine"), 0);
}

/* Streams were cut at the second pause, as two silences count as two lost
 * sendings. */
TEST_F(SilentUpstream, StreamOutlastsSecondPauseOfSoundEngines)
{
	for (int i = 0; i < 4; i++)
		add_engine({ PAUSE_MS, 2, 2 });
	configure(3, 1000);
	send("/stream/x", 24);
	EXPECT_EQ(broken(complete_stream), 0u);
}

/* Answers not begun were failed with 502 long before their deadline. */
TEST_F(SilentUpstream, AnswerOutlastsPauseWhileBudgetIsSpent)
{
	for (int i = 0; i < 4; i++)
		pe_set_work_ms(rig.add(PE_PLAIN, "plain"), 1500);
	configure(2, 0);
	send("/look/x", 24);
	EXPECT_EQ(broken("whole"), 0u);
}

/* A stream was cut for want of a second engine although its own was sound. */
TEST_F(SilentUpstream, StreamStaysWhereItIsTheOnlyEngine)
{
	add_engine({ PAUSE_MS, 2, 2 });
	configure(3, 1000);
	send("/stream/x", 4);
	EXPECT_EQ(broken(complete_stream), 0u);
	EXPECT_EQ(retries_taken("engine"), 0);
}

/* The same for an answer that has not begun. */
TEST_F(SilentUpstream, AnswerStaysWhereItIsTheOnlyUpstream)
{
	pe_set_work_ms(rig.add(PE_PLAIN, "plain"), 1500);
	configure(3, 1000);
	send("/look/x", 4);
	EXPECT_EQ(broken("whole"), 0u);
	EXPECT_EQ(retries_taken("plain"), 0);
}

/* A stream whose stages were computed again for a move was cut near the end of
 * the grace time, although the engine that it left was sound. */
TEST_F(SilentUpstream, StreamOutlastsEndOfGraceTimeWhileStagesAreRecomputed)
{
	pe_upstream *first = rig.add(PE_STAGE, "first");

	for (int i = 0; i < 2; i++)
		add_engine({ PAUSE_MS, 1, 2 });
	configure(2, 1000);
	send("/staged/x");
	EXPECT_TRUE(
		run_loop_until([&] { return !requests.back()->body.empty(); }));
	pe_set_work_ms(first, 5000);
	wait_for_pause(STALL_MS + 100);
	direct_refuse_unsent(rig.entry);
	EXPECT_EQ(broken(complete_stream), 0u);
}

/* Guards against requests that fail because the only upstream of a stage pauses
 * for longer than a call is waited for: the call is made again. */
TEST_F(SilentUpstream, StageCallsOutlastPauseOfTheirOnlyUpstream)
{
	pe_upstream *first = rig.add(PE_STAGE, "first");

	add_engine({});
	configure(2, 0);
	for (uint32_t pause_ms : { 1500, 5000 }) {
		pe_set_work_ms(first, pause_ms);
		send("/staged/x", 8);
		run_loop_until([] { return false; }, pause_ms);
		pe_set_work_ms(first, 10);
	}
	EXPECT_EQ(broken(complete_stream), 0u);
}

/* Calls of pieces were given up and made again, each after the longest timeout
 * at most, until the request's time was over. */
TEST_F(SilentUpstream, StageCallIsKeptAtItsOnlyUpstream)
{
	pe_set_work_ms(rig.add(PE_STAGE, "first"), 4000);
	add_engine({});
	configure(2, 0);
	send("/staged/x", 2);
	EXPECT_EQ(broken(complete_stream), 0u);
}

/* ---- something better is there ---- */

/* Guards against a stream that stays at a hung engine although another one
 * could take it. */
TEST_F(SilentUpstream, StreamLeavesHungEngineAtItsStallTime)
{
	pe_upstream *hung = add_engine({ HANG_MS, 1, 2 });
	pe_upstream *other;

	configure(2, 1000);
	send("/stream/x");
	wait_for_pause(0);
	other = add_engine({});
	EXPECT_TRUE(wait_all(STALL_MS + 1000));
	EXPECT_EQ(broken(complete_stream), 0u);
	EXPECT_EQ(pe_arrivals(hung), 1u);
	EXPECT_EQ(pe_arrivals(other), 1u);
	EXPECT_EQ(retries_taken("engine"), 1);
}

/* Guards against a stream that waits on at a hung engine once the budget has a
 * retry again. */
TEST_F(SilentUpstream, StreamLeavesHungEngineOnceBudgetAllows)
{
	pe_upstream *hung = add_engine({ HANG_MS, 1, 2 });

	configure(2, 0);
	send("/stream/x");
	wait_for_pause(0);
	add_engine({});
	run_loop_until([] { return false; }, 1500);
	EXPECT_FALSE(requests.back()->done);
	set_slack(1000);
	EXPECT_TRUE(wait_all(1000));
	EXPECT_EQ(broken(complete_stream), 0u);
	EXPECT_EQ(pe_arrivals(hung), 1u);
}

/* Guards against a stream that waits on at a hung engine once another engine
 * has joined. */
TEST_F(SilentUpstream, StreamLeavesHungEngineOnceAnotherIsListed)
{
	add_engine({ HANG_MS, 1, 2 });
	configure(2, 1000);
	send("/stream/x");
	wait_for_pause(1200);
	EXPECT_FALSE(requests.back()->done);
	add_engine({});
	EXPECT_TRUE(wait_all(3000));
	EXPECT_EQ(broken(complete_stream), 0u);
}

/* Guards against a caller that waits for its deadline although its engine is
 * known to have started anew. */
TEST_F(SilentUpstream, StreamWithoutBudgetEndsOnceItsEngineHasRestarted)
{
	const pe_restart_options restart = { true, false, 0 };
	pe_upstream *engine = add_engine({ HANG_MS, 1, 2 });

	configure(2, 0);
	send("/stream/x");
	wait_for_pause(STALL_MS + 200);
	EXPECT_FALSE(requests.back()->done);
	pe_restart(engine, &restart);
	EXPECT_TRUE(wait_all(3000));
	EXPECT_NE(requests.back()->error, LP_OK);
}

/* ---- what is counted ---- */

/* A request that was moved from a silent upstream counted as lost with it. */
TEST_F(SilentUpstream, RequestThatIsMovedDoesNotCountAsLost)
{
	add_engine({ HANG_MS, 1, 2 });
	configure(2, 1000);
	send("/stream/x");
	wait_for_pause(0);
	add_engine({});
	EXPECT_EQ(broken(complete_stream), 0u);
	EXPECT_EQ(counter("linepier_requests_lost_total"), 0);
}

} // namespace
