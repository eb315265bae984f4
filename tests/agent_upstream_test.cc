/* agent/agent_upstream.h: tokens of an engine's stream are passed on. */
#include "thread_server.h"

#include <gtest/gtest.h>

extern "C" {
#include "agent/agent_upstream.h"
}

#define TOKENS 50

struct Tokens {
	uint32_t count = 0;
	bool ended = false;
	int error = LP_OK;
	lp_run run = LP_RUN_NOT_RUN;

	static void on_chunk(void *userdata, const char *, uint32_t tokens)
	{
		static_cast<Tokens *>(userdata)->count += tokens;
	}

	static void on_end(void *userdata, struct upstream_run_result *result)
	{
		static_cast<Tokens *>(userdata)->ended = true;
		static_cast<Tokens *>(userdata)->error = result->error;
		static_cast<Tokens *>(userdata)->run = result->run;
		g_free(result->body);
	}
};

static const upstream_ops ops = { Tokens::on_chunk, Tokens::on_end };

static std::string engine_stream(const std::string &)
{
	std::string text = begin_stream();

	for (int i = 0; i < TOKENS; i++)
		text += stream_chunk(
			"data: {\"choices\":[{\"text\":\"t\"}]}\n\n");
	return text +
	       stream_chunk("data: {\"choices\":[{\"text\":\"\","
			    "\"finish_reason\":\"length\"}]}\n\n"
			    "data: [DONE]\n\n") +
	       end_stream();
}

/*
 * Guards against an agent that needs two event-loop iterations per token even
 * if many tokens have arrived. The agent read one line per iteration, and a
 * token has two lines: 50 tokens that arrived at once took 2.3 s in iterations
 * of 20 ms. load_test.cc tests the same cause elsewhere.
 */
TEST(AgentUpstream, PassesOnReceivedTokensWithoutLoopIterationDelays)
{
	ThreadServer engine("max_tokens", engine_stream);
	SlowTurns iterations(20 * LP_US_PER_MS);
	Tokens tokens;
	const std::string url = "http://" + engine.address;
	upstream *upstream = upstream_create(url.c_str(), &ops);
	upstream_request request = {};
	int64_t start_us = g_get_monotonic_time();

	request.path = "/v1/completions";
	request.key = "";
	request.trace = "";
	request.body = "{\"max_tokens\":50}";
	request.stream = true;
	request.repeatable = true;
	request.userdata = &tokens;
	upstream_start_run(upstream, &request);
	while (!tokens.ended)
		g_main_context_iteration(nullptr, TRUE);
	EXPECT_EQ(tokens.count, (uint32_t)TOKENS);
	EXPECT_EQ(tokens.error, LP_OK);
	/* Connecting and sending take some iterations; tokens take none. */
	EXPECT_LT(g_get_monotonic_time() - start_us,
		  (int64_t)TOKENS * iterations.turn_us);
	upstream_destroy(upstream);
}

/* Sends one request, and waits for its end. */
static void run_request(const ThreadServer &engine, bool stream, Tokens *tokens)
{
	const std::string url = "http://" + engine.address;
	upstream *upstream = upstream_create(url.c_str(), &ops);
	upstream_request request = {};

	request.path = "/v1/completions";
	request.key = "";
	request.trace = "";
	request.body = "{\"max_tokens\":50}";
	request.stream = stream;
	request.userdata = tokens;
	upstream_start_run(upstream, &request);
	while (!tokens->ended)
		g_main_context_iteration(nullptr, TRUE);
	upstream_destroy(upstream);
}

/* An answer, or a line of a stream, that did not end was kept whole. */
TEST(AgentUpstream, AnswerWithoutEndIsCutOff)
{
	const std::string filler(UPSTREAM_ANSWER_BYTES_MAX + 1000000, 'x');

	for (bool stream : { false, true }) {
		ThreadServer engine("max_tokens", [&](const std::string &) {
			return stream ? begin_stream() +
						stream_chunk("data: " + filler)
				      : whole_answer("\"" + filler + "\"");
		});
		Tokens tokens;

		run_request(engine, stream, &tokens);
		EXPECT_EQ(tokens.error, LP_ERROR_ANSWER_TOO_LARGE) << stream;
		EXPECT_EQ(tokens.run, LP_RUN_MAY_HAVE_RUN) << stream;
	}
}

/* A nested answer overflowed the agent's stack. */
TEST(AgentUpstream, DeeplyNestedAnswerIsAnError)
{
	ThreadServer engine("max_tokens", [](const std::string &) {
		return whole_answer("{\"a\":" + std::string(1 << 20, '['));
	});
	Tokens tokens;

	run_request(engine, false, &tokens);
	EXPECT_EQ(tokens.error, LP_ERROR_UPSTREAM_FAILED);
	EXPECT_EQ(tokens.run, LP_RUN_MAY_HAVE_RUN);
}
