/*
 * Calls to agents that answer neither them nor queries: a call is given up only
 * for another agent that may take it. On a virtual clock.
 */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

const flow_stage stages[] = { { "draft", "engine", true, false, false } };

/* One entry, and agents that get its calls and queries and answer none. */
struct SilentAgent : testing::Test {
	TestClock clock;
	flow *fl;
	std::vector<std::string> sent_to;
	std::vector<lp_call_id> calls;
	int finishes = 0;
	flow_outcome outcome = {};

	SilentAgent()
	{
		static const flow_ops ops = { on_send, on_query, nullptr,
					      on_stage_done, on_finish };
		flow_options options = {};

		options.clock = &clock.clock;
		options.ops = &ops;
		options.userdata = this;
		options.entry = 1;
		options.domain = "east";
		options.seed = 1;
		options.report_timeout_us = 3600 * LP_US_PER_S;
		fl = flow_create(&options);
	}
	~SilentAgent() override
	{
		flow_destroy(fl);
	}
	static int on_send(void *self, flow_request *, const flow_send *send)
	{
		auto *test = static_cast<SilentAgent *>(self);

		test->sent_to.push_back(send->attempt->agent);
		test->calls.push_back(send->attempt->id);
		return LP_OK;
	}
	static void on_query(void *, const flow_attempt *, bool)
	{
	}
	static int on_stage_done(void *, flow_request *, uint32_t, const char *)
	{
		return LP_OK;
	}
	static void on_finish(void *self, flow_request *,
			      const flow_outcome *outcome)
	{
		auto *test = static_cast<SilentAgent *>(self);

		test->finishes++;
		test->outcome = *outcome;
	}
	void add_agent(const char *name)
	{
		flow_report report = {};

		report.service = "engine";
		report.agent = name;
		report.domain = "east";
		report.load.incarnation = 1;
		report.load.agent_time_us = clock.now_us;
		report.load.revision = 1;
		report.load.limit = 100;
		report.load.run_us = 1000;
		flow_handle_report(fl, &report);
	}
	void submit(int64_t timeout_us = 15 * LP_US_PER_S)
	{
		struct flow_submit request = {};
		lp_call_id id;

		request.stages = stages;
		request.stages_count = 1;
		request.organisation = "org";
		request.weight = 1;
		request.deadline_us = clock.now_us + timeout_us;
		ASSERT_EQ(flow_submit(fl, &request, &id, &outcome), LP_OK);
	}
	void run_for(int64_t us)
	{
		for (int64_t end_us = clock.now_us + us; clock.now_us < end_us;
		     clock.now_us += 10 * LP_US_PER_MS)
			flow_tick(fl);
	}
	/* Takes retries until the budget has none. */
	void spend_budget()
	{
		while (!flow_stats(fl)->no_budget) {
			submit(10 * LP_US_PER_S);
			fail_calls();
			run_for(20 * LP_US_PER_MS);
		}
	}
	void fail_calls()
	{
		for (size_t at = 0; at < calls.size(); at++) {
			flow_result result = {};

			result.id = calls[at];
			result.error = LP_ERROR_UPSTREAM_GONE;
			result.run = LP_RUN_MAY_HAVE_RUN;
			result.body = "";
			flow_handle_result(fl, &result, nullptr);
		}
		calls.clear();
	}
	void answer_last_call()
	{
		flow_result result = {};

		result.id = calls.back();
		result.body = "whole";
		flow_handle_result(fl, &result, nullptr);
	}
};

/* A call to the only agent of a service was failed, or sent there again, after
 * it had not answered for 0.85 s. */
TEST_F(SilentAgent, CallStaysAtTheOnlyAgent)
{
	add_agent("a");
	submit();
	run_for(5 * LP_US_PER_S);
	EXPECT_EQ(finishes, 0);
	EXPECT_EQ(sent_to.size(), 1u);
	answer_last_call();
	EXPECT_EQ(finishes, 1);
	EXPECT_EQ(outcome.error, LP_OK);
	EXPECT_GT(flow_stats(fl)->stays, 0u);
}

/* A call was failed, long before its deadline, if the retry budget was spent.
 */
TEST_F(SilentAgent, CallStaysWhileBudgetIsSpent)
{
	add_agent("a");
	add_agent("b");
	spend_budget();
	finishes = 0;
	submit();
	run_for(5 * LP_US_PER_S);
	EXPECT_EQ(finishes, 0);
	answer_last_call();
	EXPECT_EQ(finishes, 1);
	EXPECT_EQ(outcome.error, LP_OK);
}

/* Guards against a call that stays at a silent agent although another one can
 * take it, or could not at first. */
TEST_F(SilentAgent, CallMovesOnceAnotherAgentCanTakeIt)
{
	add_agent("a");
	submit();
	run_for(2 * LP_US_PER_S);
	EXPECT_EQ(sent_to.size(), 1u);
	add_agent("b");
	run_for(300 * LP_US_PER_MS);
	ASSERT_EQ(sent_to.size(), 2u);
	EXPECT_EQ(sent_to.back(), "b");
	answer_last_call();
	EXPECT_EQ(outcome.error, LP_OK);
}

/* Guards against a call that leaves a silent agent later than after its
 * unanswered queries. */
TEST_F(SilentAgent, CallLeavesSilentAgentAfterUnansweredQueries)
{
	add_agent("a");
	submit();
	add_agent("b");
	run_for(900 * LP_US_PER_MS);
	ASSERT_EQ(sent_to.size(), 2u);
	EXPECT_EQ(sent_to.back(), "b");
}

} // namespace
