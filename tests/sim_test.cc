/*
 * Simulation of one flow and its workers on a virtual clock.
 *
 * The network delays, reorders, duplicates and loses messages, and agents are
 * killed, paused and slowed. Thousands of seeded fault schedules are run, and
 * the guarantees are checked as invariants: each request is answered once, no
 * call that is not repeatable runs twice, streams have no gap or repeat, and
 * outcomes state correctly what ran. A failing schedule is reduced to the
 * faults that it needs.
 */
#include "cwrap.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
constexpr int AGENTS = 4; /* per service; there are two services */
constexpr int REQUESTS = 30;
constexpr int TOKENS = 5;
constexpr int64_t DEADLINE = 4 * S;
constexpr int64_t AGE_LIMIT = 3 * S;

struct Fault {
	enum Kind { KILL, PAUSE, LOSE, DELAY, FAIL, SLOW, ENTRY_PAUSE } kind;
	int agent;
	int64_t at;
	int64_t length;
};

struct World;

struct Agent {
	World *world = nullptr;
	std::string name;
	std::string service;
	int index = 0;
	uint64_t incarnation = 0;
	int64_t clock_offset = 0;
	lp_clock clock{};
	worker *work = nullptr;
	int64_t paused_until = 0;
	int64_t lossy_until = 0;
	int64_t delayed_until = 0;
	int64_t failing_until = 0;
	int64_t slow_until = 0;
};

struct Request {
	int number = 0;
	int64_t submitted = 0;
	int64_t deadline = 0;
	int finishes = 0;
	bool accepted = false;
	flow_outcome outcome{};
	std::string streamed;
	lp_call_id id{};
	std::vector<std::string> results;
};

struct World {
	std::mt19937_64 random;
	int64_t now = 10 * S;
	std::multimap<int64_t, std::function<void()>> events;
	std::vector<std::unique_ptr<Agent>> agents;
	flow *fl = nullptr;
	lp_clock entry_clock{};
	int64_t entry_paused_until = 0;
	std::vector<std::unique_ptr<Request>> requests;
	std::map<std::string, int> executions; /* by "request/stage" */
	std::set<std::string> failures;
	int64_t last_tick = 0;

	void fail(const std::string &what)
	{
		failures.insert(what);
	}
	int64_t random_between(int64_t low, int64_t high)
	{
		return low + (int64_t)(random() % (uint64_t)(high - low + 1));
	}
	bool chance(int percent)
	{
		return random_between(0, 99) < percent;
	}
	void at(int64_t when, std::function<void()> what)
	{
		events.emplace(when, std::move(what));
	}
};

const flow_stage stages[] = {
	{ "encode", "a", true, false, false },
	{ "draft", "b", true, true, true },
	{ "order", "a", false, false, false },
};

std::string exec_key(const lp_call_id &id)
{
	return std::to_string(id.serial) + "/" + std::to_string(id.stage);
}

std::string answer_of(const lp_call_id &id)
{
	return "answer " + exec_key(id);
}

/* ---- network: each message is an event at its receiver ---- */

/* Delivers to the agent as it is on arrival, or when its pause ends. */
void send_to_agent(World &world, Agent &agent,
		   std::function<void(Agent &)> message,
		   bool may_duplicate = true)
{
	int64_t delay = world.random_between(100, 900);

	if (world.now < agent.lossy_until && world.chance(60))
		return;
	if (world.now < agent.delayed_until)
		delay += world.random_between(0, world.chance(30) ? 6 * S : S);
	auto deliver = [&world, &agent, message]() {
		if (world.now < agent.paused_until) {
			world.at(agent.paused_until + 1,
				 [&agent, message]() { message(agent); });
			return;
		}
		message(agent);
	};
	world.at(world.now + delay, deliver);
	if (may_duplicate && world.now < agent.delayed_until &&
	    world.chance(20))
		world.at(world.now + delay + world.random_between(0, 500 * MS),
			 deliver);
}

void send_to_entry(World &world, Agent &agent, std::function<void()> message)
{
	int64_t delay = world.random_between(100, 900);

	if (world.now < agent.lossy_until && world.chance(60))
		return;
	if (world.now < agent.delayed_until)
		delay += world.random_between(0, world.chance(30) ? 6 * S : S);
	auto deliver = [&world, message]() {
		if (world.now < world.entry_paused_until)
			world.at(world.entry_paused_until + 1, message);
		else
			message();
	};
	world.at(world.now + delay, deliver);
	if (world.now < agent.delayed_until && world.chance(20))
		world.at(world.now + delay + world.random_between(0, 900 * MS),
			 deliver);
}

route_report make_load(const Agent &agent)
{
	worker_load load;
	route_report load_report{};

	worker_get_load(agent.work, &load);
	load_report.incarnation = agent.incarnation;
	load_report.agent_time_us = lp_now_us(&agent.clock);
	load_report.queued = load.queued;
	load_report.running = load.running;
	load_report.limit = load.limit;
	load_report.wait_us = load.wait_us;
	load_report.run_us = load.run_us;
	load_report.draining = load.draining;
	return load_report;
}

flow_report make_report(const Agent &agent, const route_report &load_report)
{
	return { agent.service.c_str(), agent.name.c_str(),
		 agent.index % 2 ? "east" : "west", load_report };
}

void send_report(World &world, Agent &agent)
{
	route_report load_report = make_load(agent);

	send_to_entry(world, agent, [&world, &agent, load_report]() {
		flow_report report = make_report(agent, load_report);

		flow_handle_report(world.fl, &report);
	});
}

/* ---- agents ---- */

struct Payload {
	lp_call_id id;
	uint32_t resume_tokens;
	bool stream;
};

void send_result(World &world, Agent &agent, const lp_call_id &id,
		 const worker_result &result)
{
	route_report load_report = make_load(agent);
	std::string body = result.body ? result.body : "";
	worker_result copy = result;

	send_to_entry(
		world, agent, [&world, &agent, load_report, body, copy, id]() {
			struct flow_result out {
			};

			out.id = id;
			out.error = copy.error;
			out.run = copy.run;
			out.chunks = copy.chunks;
			out.body = body.c_str();
			flow_report report = make_report(agent, load_report);

			flow_handle_result(world.fl, &out, &report);
		});
}

void finish_run(World &world, Agent &agent, uint64_t incarnation,
		const lp_call_id &id, worker_call *call, bool succeeds)
{
	worker_result result{};

	if (agent.incarnation != incarnation)
		return; /* the agent was killed after the start */
	if (world.now < agent.paused_until) {
		world.at(agent.paused_until + 1, [=, &world, &agent]() {
			finish_run(world, agent, incarnation, id, call,
				   succeeds);
		});
		return;
	}
	result.error = succeeds ? LP_OK : LP_ERROR_UPSTREAM_FAILED;
	result.run = succeeds ? LP_RUN_RAN : LP_RUN_MAY_HAVE_RUN;
	result.body = g_strdup(answer_of(id).c_str());
	worker_finished(agent.work, call, &result);
}

void send_token(World &world, Agent &agent, uint64_t incarnation,
		worker_call *call, uint32_t token, uint32_t last)
{
	if (agent.incarnation != incarnation)
		return;
	if (world.now < agent.paused_until) {
		world.at(agent.paused_until + 1, [=, &world, &agent]() {
			send_token(world, agent, incarnation, call, token,
				   last);
		});
		return;
	}
	if (call->state != WORKER_RUNNING) {
		finish_run(world, agent, incarnation, call->id, call, false);
		return;
	}
	lp_call_id id = call->id;
	uint32_t seq = call->chunks++;
	std::string text =
		std::to_string(id.serial) + "." + std::to_string(token) + " ";

	send_to_entry(world, agent, [&world, id, seq, text]() {
		flow_handle_chunk(world.fl, &id, seq, text.c_str(), 1);
	});
	if (token + 1 < last)
		world.at(world.now + 5 * MS, [=, &world, &agent]() {
			send_token(world, agent, incarnation, call, token + 1,
				   last);
		});
	else
		world.at(world.now + MS, [=, &world, &agent]() {
			finish_run(world, agent, incarnation, id, call, true);
		});
}

void op_start(void *userdata, worker_call *call)
{
	Agent &agent = *static_cast<Agent *>(userdata);
	World &world = *agent.world;
	auto *payload = static_cast<Payload *>(call->payload);
	uint64_t incarnation = agent.incarnation;
	lp_call_id id = call->id;
	int64_t run = world.random_between(3 * MS, 30 * MS);
	bool succeeds = !(world.now < agent.failing_until && world.chance(70));

	if (world.now < agent.slow_until)
		run *= 40;
	world.executions[exec_key(id)] += 1;
	if (!payload->stream || !succeeds) {
		world.at(world.now + run, [=, &world, &agent]() {
			finish_run(world, agent, incarnation, id, call,
				   succeeds);
		});
		return;
	}
	uint32_t first = payload->resume_tokens;
	if (first >= TOKENS) {
		world.at(world.now + MS, [=, &world, &agent]() {
			finish_run(world, agent, incarnation, id, call, true);
		});
		return;
	}
	world.at(world.now + run, [=, &world, &agent]() {
		send_token(world, agent, incarnation, call, first, TOKENS);
	});
}

void op_cancel(void *, worker_call *)
{
	/* send_token() checks the call's state; other runs end normally. */
}

void op_reply(void *userdata, const worker_call *call)
{
	Agent &agent = *static_cast<Agent *>(userdata);

	send_result(*agent.world, agent, call->id, call->result);
}

void op_refuse(void *userdata, const char *, const lp_call_id *id,
	       const worker_result *result)
{
	Agent &agent = *static_cast<Agent *>(userdata);

	send_result(*agent.world, agent, *id, *result);
}

void op_state(void *userdata, const char *, const lp_call_id *id,
	      worker_state state)
{
	static const enum flow_state states[] = {
		FLOW_STATE_NOT_RUN,   FLOW_STATE_QUEUED, FLOW_STATE_RUNNING,
		FLOW_STATE_CANCELLED, FLOW_STATE_DONE,	 FLOW_STATE_LOST,
	};
	Agent &agent = *static_cast<Agent *>(userdata);
	World &world = *agent.world;
	lp_call_id copy = *id;

	send_to_entry(world, agent, [&world, copy, state]() {
		flow_handle_state(world.fl, &copy, states[state]);
	});
}

void op_free_payload(void *payload)
{
	delete static_cast<Payload *>(payload);
}

const worker_ops agent_ops = { op_start,  op_cancel, op_reply,
			       op_refuse, op_state,  op_free_payload };

int64_t read_agent_clock(void *userdata)
{
	const Agent &agent = *static_cast<Agent *>(userdata);

	return agent.world->now + agent.clock_offset;
}

void start_agent(World &world, Agent &agent)
{
	worker_options options{};

	worker_destroy(agent.work);
	agent.incarnation = world.random() | 1;
	agent.clock_offset = world.random_between(-1000 * S, 1000 * S);
	agent.clock = { read_agent_clock, &agent };
	options.clock = &agent.clock;
	options.ops = &agent_ops;
	options.userdata = &agent;
	options.incarnation = agent.incarnation;
	options.concurrency = 3;
	options.age_limit_us = AGE_LIMIT;
	options.result_ttl_us = 2 * S;
	agent.work = worker_create(&options);
	send_report(world, agent);
}

/* ---- the entry ---- */

Agent *find_agent(World &world, const char *name)
{
	for (auto &agent : world.agents)
		if (agent->name == name)
			return agent.get();
	return nullptr;
}

int op_send(void *userdata, flow_request *request, const flow_send *send)
{
	World &world = *static_cast<World *>(userdata);
	Agent &agent = *find_agent(world, send->attempt->agent);
	const flow_stage &stage = stages[request->stage];
	struct worker_submit submit {
	};
	uint32_t resume_tokens = send->resume_tokens;
	bool stream = stage.stream;

	submit.id = send->attempt->id;
	submit.incarnation = send->attempt->incarnation;
	submit.echo_us = send->echo_us;
	submit.held_us = send->held_us;
	submit.left_us = send->left_us;
	submit.repeatable = stage.repeatable;
	send_to_agent(
		world, agent, [submit, resume_tokens, stream](Agent &receiver) {
			struct worker_submit copy = submit;

			copy.peer = "entry";
			copy.organisation = "org";
			copy.weight = 1;
			copy.payload =
				new Payload{ submit.id, resume_tokens, stream };
			worker_submit(receiver.work, &copy);
		});
	return LP_OK;
}

void op_query(void *userdata, const flow_attempt *attempt, bool withdraw)
{
	World &world = *static_cast<World *>(userdata);
	Agent &agent = *find_agent(world, attempt->agent);
	worker_state_query query{};

	query.id = attempt->id;
	query.peer = "entry";
	query.incarnation = attempt->incarnation;
	query.sent_us = attempt->agent_sent_us;
	query.withdraw = withdraw;
	send_to_agent(world, agent, [query](Agent &receiver) {
		worker_query(receiver.work, &query);
	});
}

void op_chunk(void *, flow_request *request, const char *text, uint32_t)
{
	static_cast<Request *>(request->owner)->streamed += text;
}

int op_stage_done(void *userdata, flow_request *request, uint32_t stage,
		  const char *body)
{
	World &world = *static_cast<World *>(userdata);
	auto *own = static_cast<Request *>(request->owner);
	lp_call_id id = request->id;

	id.stage = (uint16_t)stage;
	if (answer_of(id) != body)
		world.fail("answer of another request");
	own->results.push_back(body);
	return LP_OK;
}

void op_finish(void *, flow_request *request, const flow_outcome *outcome)
{
	auto *own = static_cast<Request *>(request->owner);

	own->finishes += 1;
	own->outcome = *outcome;
}

const flow_ops entry_ops = { op_send, op_query, op_chunk, op_stage_done,
			     op_finish };

int64_t read_entry_clock(void *userdata)
{
	return static_cast<World *>(userdata)->now + 77 * S;
}

/* ---- simulation ---- */

void submit_request(World &world, int number)
{
	auto own = std::make_unique<Request>();
	struct flow_submit submit {
	};
	int error;

	own->number = number;
	own->submitted = world.now;
	own->deadline = world.now + DEADLINE;
	submit.stages = stages;
	submit.stages_count = G_N_ELEMENTS(stages);
	submit.organisation = "org";
	submit.weight = 1;
	submit.affinity = (uint64_t)number % 5 + 1;
	submit.deadline_us = lp_now_us(&world.entry_clock) + DEADLINE;
	submit.owner = own.get();
	world.requests.push_back(std::move(own));
	Request &request = *world.requests.back();
	flow_outcome outcome{};
	error = flow_submit(world.fl, &submit, &request.id, &outcome);
	request.accepted = !error;
	if (error) {
		request.finishes += 1;
		request.outcome = outcome;
	}
}

void apply_fault(World &world, const Fault &fault)
{
	Agent &agent = *world.agents[(size_t)fault.agent];
	int64_t until = world.now + fault.length;

	switch (fault.kind) {
	case Fault::KILL:
		agent.paused_until = 0;
		start_agent(world, agent);
		break;
	case Fault::PAUSE:
		agent.paused_until = until;
		break;
	case Fault::LOSE:
		agent.lossy_until = until;
		break;
	case Fault::DELAY:
		agent.delayed_until = until;
		break;
	case Fault::FAIL:
		agent.failing_until = until;
		break;
	case Fault::SLOW:
		agent.slow_until = until;
		break;
	case Fault::ENTRY_PAUSE:
		world.entry_paused_until = until;
		break;
	}
}

void tick(World &world)
{
	for (auto &agent : world.agents) {
		if (world.now < agent->paused_until)
			continue;
		worker_tick(agent->work);
		if (world.now / (500 * MS) != world.last_tick / (500 * MS))
			send_report(world, *agent);
	}
	if (world.now >= world.entry_paused_until)
		flow_tick(world.fl);
	world.last_tick = world.now;
	world.at(world.now + 10 * MS, [&world]() { tick(world); });
}

void check_invariants(World &world)
{
	for (auto &request : world.requests) {
		int runs = 0;
		std::string order = std::to_string(request->id.serial) + "/2";
		std::string expected;

		for (auto &entry : world.executions)
			if (entry.first.rfind(
				    std::to_string(request->id.serial) + "/",
				    0) == 0)
				runs += entry.second;
		if (world.executions[order] > 1)
			world.fail("a non-repeatable stage ran twice");
		if (request->finishes != 1)
			world.fail(request->finishes ? "answered twice"
						     : "never answered");
		for (int i = 0; i < TOKENS; i++)
			expected += std::to_string(request->id.serial) + "." +
				    std::to_string(i) + " ";
		if (expected.compare(0, request->streamed.size(),
				     request->streamed) != 0)
			world.fail("stream with a gap or a repeat");
		if (!request->outcome.error && request->finishes) {
			if (request->streamed != expected)
				world.fail("incomplete stream reported as "
					   "complete");
			if (world.executions[order] != 1)
				world.fail("answered without running");
		} else if (request->outcome.run == LP_RUN_NOT_RUN && runs) {
			world.fail("reported not_run, but a stage ran");
		} else if (request->outcome.run == LP_RUN_RAN &&
			   world.executions[order] != 1) {
			world.fail("reported ran, but the stage did not run");
		}
	}
}

std::vector<Fault> make_faults(uint64_t seed, int count)
{
	std::mt19937_64 random(seed * 7919 + 13);
	std::vector<Fault> faults;

	for (int i = 0; i < count; i++) {
		Fault fault;

		fault.kind = (Fault::Kind)(random() % 7);
		fault.agent = (int)(random() % (2 * AGENTS));
		fault.at = (int64_t)(random() % (uint64_t)(3 * S));
		fault.length = (int64_t)(random() % (uint64_t)(4 * S)) + MS;
		faults.push_back(fault);
	}
	return faults;
}

struct RunResult {
	std::set<std::string> failures;
	int answered = 0;
};

RunResult run(uint64_t seed, const std::vector<Fault> &faults)
{
	World world;
	flow_options options{};
	RunResult result;

	world.random.seed(seed);
	world.entry_clock = { read_entry_clock, &world };
	options.clock = &world.entry_clock;
	options.ops = &entry_ops;
	options.userdata = &world;
	options.entry = 42;
	options.domain = "east";
	options.seed = seed;
	world.fl = flow_create(&options);
	for (int i = 0; i < 2 * AGENTS; i++) {
		auto agent = std::make_unique<Agent>();

		agent->world = &world;
		agent->index = i;
		agent->service = i < AGENTS ? "a" : "b";
		agent->name = agent->service + std::to_string(i);
		world.agents.push_back(std::move(agent));
		start_agent(world, *world.agents.back());
	}
	int64_t start = world.now + 100 * MS;
	for (int i = 0; i < REQUESTS; i++)
		world.at(start + i * 100 * MS, [&world, i]() {
			if (world.now >= world.entry_paused_until)
				submit_request(world, i);
		});
	for (const Fault &fault : faults)
		world.at(start + fault.at,
			 [&world, fault]() { apply_fault(world, fault); });
	world.at(world.now, [&world]() { tick(world); });
	int64_t end = start + REQUESTS * 100 * MS + DEADLINE + 12 * S;
	while (!world.events.empty() && world.now < end) {
		auto first = world.events.begin();
		auto what = std::move(first->second);

		world.now = std::max(world.now, first->first);
		world.events.erase(first);
		what();
	}
	check_invariants(world);
	result.failures = world.failures;
	for (auto &request : world.requests)
		result.answered += !request->outcome.error;
	world.events.clear();
	flow_destroy(world.fl);
	for (auto &agent : world.agents)
		worker_destroy(agent->work);
	return result;
}

std::string describe(uint64_t seed, const std::vector<Fault> &faults,
		     const std::set<std::string> &failures)
{
	static const char *const names[] = { "kill",	   "pause", "lose",
					     "delay",	   "fail",  "slow",
					     "entry pause" };
	std::string text = "seed " + std::to_string(seed);

	for (const std::string &failure : failures)
		text += "; " + failure;
	for (const Fault &fault : faults)
		text += std::string("\n  ") + names[fault.kind] + " agent " +
			std::to_string(fault.agent) + " at " +
			std::to_string(fault.at / MS) + " ms for " +
			std::to_string(fault.length / MS) + " ms";
	return text;
}

/* Removes faults one by one as long as the run still fails. */
std::vector<Fault> shrink(uint64_t seed, std::vector<Fault> faults)
{
	for (size_t i = faults.size(); i > 0; i--) {
		std::vector<Fault> fewer = faults;

		fewer.erase(fewer.begin() + (long)i - 1);
		if (!run(seed, fewer).failures.empty())
			faults = fewer;
	}
	return faults;
}

void run_seeds(uint64_t first, uint64_t count, int faults_count)
{
	int answered = 0;

	for (uint64_t seed = first; seed < first + count; seed++) {
		std::vector<Fault> faults = make_faults(seed, faults_count);
		RunResult result = run(seed, faults);

		answered += result.answered;
		if (result.failures.empty())
			continue;
		faults = shrink(seed, faults);
		FAIL() << describe(seed, faults, run(seed, faults).failures);
	}
	/* Without answered requests the invariants would hold trivially. */
	EXPECT_GT(answered, (int)count * REQUESTS / 4);
}

} // namespace

TEST(FlowSimulation, NoFaults)
{
	RunResult result = run(1, {});

	EXPECT_TRUE(result.failures.empty())
		<< describe(1, {}, result.failures);
	EXPECT_EQ(result.answered, REQUESTS);
}

TEST(FlowSimulation, OneFault)
{
	run_seeds(1000, 400, 1);
}

TEST(FlowSimulation, TwoFaults)
{
	run_seeds(2000, 800, 2);
}

TEST(FlowSimulation, ManyFaults)
{
	run_seeds(3000, 800, 8);
}
