/*
 * An entry between upstreams and callers of which one reads slowly: flow
 * control in place of failures, bounded memory, and time limits. Over real
 * sockets.
 */
#include "slow_peer.h"

namespace
{

/* More than the system and the entry buffer for one caller. */
const uint32_t ANSWER_BYTES = 32 << 20;
/* More than the system buffers for one caller. */
const uint32_t CROWD_ANSWER_BYTES = 8 << 20;
const uint32_t EVENT_BYTES = 4 << 20;
const uint32_t EVENTS = 6;
/* What an entry may buffer of one answer, and be given at once. */
const int64_t BUFFERED_BYTES = (8 << 20) + (1 << 20) + 65536;
/* An answer is whole if its caller has it by its request's deadline. */
const uint32_t TIMEOUT_MS = 60000;

struct SlowRig : Rig {
	SlowRig() : Rig(false)
	{
		char *json = pe_patient_config(1, 0, TIMEOUT_MS);

		pe_set_config(platform, json);
		g_free(json);
	}
	pe_upstream *add_paced(pe_kind kind, pe_pace pace)
	{
		pe_upstream *upstream =
			add(kind, kind == PE_ENGINE ? "engine" : "plain");

		pe_set_pace(upstream, &pace);
		return upstream;
	}
	int64_t held_bytes()
	{
		return direct_memory(entry)->held_bytes;
	}
	int64_t undelivered(const char *labels)
	{
		return *lp_counter(counters, "linepier_undelivered_total",
				   labels);
	}
};

/* Writes a request's head, and a body of so many bytes. */
std::string request_text(const char *id, const char *target, size_t body_bytes,
			 int64_t deadline_ms = 0)
{
	std::string text =
		std::string("POST ") + target +
		" HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
		"\r\nAuthorization: Bearer key-always\r\n";

	if (deadline_ms)
		text += "X-Deadline-Ms: " + std::to_string(deadline_ms) +
			"\r\n";
	return text + "Content-Length: " + std::to_string(body_bytes) +
	       "\r\n\r\n" + std::string(body_bytes, 'y');
}

bool ends_with_last_chunk(const SlowPeer &caller)
{
	const std::string end = "0\r\n\r\n";

	return caller.received.size() > end.size() &&
	       !caller.received.compare(caller.received.size() - end.size(),
					end.size(), end);
}

/* Reads the rest of a chunked answer. */
bool read_to_end(SlowPeer &caller)
{
	caller.open_window();
	return run_loop_until(
		       [&] {
			       caller.read_some();
			       return ends_with_last_chunk(caller) ||
				      caller.ended;
		       },
		       TIMEOUT_MS) &&
	       ends_with_last_chunk(caller);
}

/* Runs the loop for so long; returns the most bytes that were held. */
int64_t watch_held_bytes(SlowRig &rig, int64_t ms)
{
	int64_t most = 0;

	run_loop_until(
		[&] {
			most = std::max(most, rig.held_bytes());
			return false;
		},
		ms);
	return most;
}

/* ---- callers that read slowly ---- */

/* An answer larger than what an entry buffers failed with 502, although its
 * upstream had run it. */
TEST(SlowAnswer, LargeAnswerWaitsForItsCaller)
{
	SlowRig rig;

	rig.add_paced(PE_PLAIN, { ANSWER_BYTES, 0, 0 });
	rig.settle();
	SlowPeer caller(rig.address);

	caller.send(request_text("a1", "/order/x", 0));
	EXPECT_LE(watch_held_bytes(rig, 4000), BUFFERED_BYTES);
	EXPECT_TRUE(read_to_end(caller));
	EXPECT_EQ(caller.x_count, ANSWER_BYTES);
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u);
	EXPECT_TRUE(run_loop_until([&] { return !rig.held_bytes(); }));
}

/* A stream of which the caller left more than 1 MB unread was aborted. While
 * its upstream was not read from, it seemed to be silent. */
TEST(SlowAnswer, StreamWaitsForItsCaller)
{
	SlowRig rig;

	rig.add_paced(PE_ENGINE, { EVENT_BYTES, 0, 0 });
	rig.settle();
	SlowPeer once(rig.address);
	SlowPeer again(rig.address);

	once.send(request_text("a1", "/once/x", 0));
	again.send(request_text("a2", "/again/x", 0));
	EXPECT_LE(watch_held_bytes(rig, 4000),
		  2 * (BUFFERED_BYTES + EVENT_BYTES));
	for (SlowPeer *caller : { &once, &again }) {
		EXPECT_TRUE(read_to_end(*caller));
		EXPECT_EQ(caller->x_count, EVENTS * EVENT_BYTES);
	}
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u);
	EXPECT_EQ(pe_runs(rig.platform, "a2"), 1u);
}

/* An upstream that ends an answer as it stays unread seemed to have ended
 * itself, and its stream was resumed, or given up, before the caller read on.
 */
TEST(SlowAnswer, StreamThatItsUpstreamCutsIsResumedOnceTheCallerReads)
{
	SlowRig rig;

	rig.add_paced(PE_ENGINE, { EVENT_BYTES, 0, 1500 });
	rig.add_paced(PE_ENGINE, { EVENT_BYTES, 0, 0 });
	rig.settle();
	std::vector<std::unique_ptr<SlowPeer>> callers;

	for (const char *id : { "a1", "a2" }) {
		callers.push_back(std::make_unique<SlowPeer>(rig.address));
		callers.back()->send(request_text(id, "/again/x", 0));
	}
	run_loop_for(4000);
	run_loop_until(
		[&] {
			bool all_ended = true;

			for (auto &caller : callers) {
				caller->open_window();
				caller->read_some();
				all_ended &= ends_with_last_chunk(*caller) ||
					     caller->ended;
			}
			return all_ended;
		},
		TIMEOUT_MS);
	for (auto &caller : callers) {
		EXPECT_TRUE(ends_with_last_chunk(*caller));
		EXPECT_EQ(caller->x_count, EVENTS * EVENT_BYTES);
		for (uint32_t event = 1; event <= EVENTS; event++)
			EXPECT_EQ(caller->occurrences("id: " +
						      std::to_string(event)),
				  1u);
	}
}

/* A draining entry that ends closes its connections, so it has to wait for what
 * its callers have not read. */
TEST(SlowAnswer, DrainWaitsForASlowCaller)
{
	SlowRig rig;

	rig.add_paced(PE_PLAIN, { 200000, 0, 0 });
	rig.settle();
	SlowPeer caller(rig.address);

	caller.send(request_text("a1", "/order/x", 0));
	run_loop_until([&] { return pe_runs(rig.platform, "a1") == 1; });
	direct_drain(rig.entry);
	run_loop_for(4000);
	EXPECT_EQ(direct_open_requests(rig.entry), 1u);
	EXPECT_TRUE(caller.read_all(200000));
	EXPECT_EQ(caller.error, 0);
	EXPECT_TRUE(run_loop_until(
		[&] { return !direct_open_requests(rig.entry); }));
}

/* A caller that never reads held its answer for ever. */
TEST(SlowAnswer, DeadlineEndsASlowCaller)
{
	SlowRig rig;

	rig.add_paced(PE_PLAIN, { 7 << 20, 0, 0 });
	rig.add_paced(PE_ENGINE, { EVENT_BYTES, 0, 0 });
	rig.settle();
	SlowPeer whole(rig.address);
	SlowPeer stream(rig.address);

	whole.send(request_text("a1", "/order/x", 0, 2000));
	stream.send(request_text("a2", "/once/x", 0, 2000));
	run_loop_for(1500);
	EXPECT_GT(rig.held_bytes(), 1 << 20);
	EXPECT_EQ(direct_open_requests(rig.entry), 2u);
	run_loop_for(1500);
	EXPECT_EQ(rig.held_bytes(), 0);
	EXPECT_EQ(direct_open_requests(rig.entry), 0u);
	EXPECT_EQ(rig.undelivered("peer=\"caller\",state=\"deadline\""), 2);
	EXPECT_EQ(rig.undelivered("peer=\"caller\",state=\"gone\""), 0);
}

/* ---- upstreams that read slowly ---- */

/* An upstream that read a body slowly was reset, and a request that may not be
 * repeated failed. */
TEST(SlowAnswer, UpstreamMayReadABodySlowly)
{
	SlowRig rig;

	rig.add_paced(PE_PLAIN, { 0, 5000, 0 });
	rig.settle();
	SlowPeer caller(rig.address);

	caller.send(request_text("a1", "/order/x", 60000));
	EXPECT_TRUE(run_loop_until([&] {
		caller.read_some();
		return caller.received.find("whole") != std::string::npos;
	}));
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u);
	EXPECT_EQ(rig.undelivered("peer=\"upstream\",state=\"slow\""), 1);
	EXPECT_EQ(rig.undelivered("peer=\"upstream\",state=\"gone\""), 0);
}

/* Sends a repeatable request with a large body; returns its status. */
uint32_t look(const SlowRig &rig, const char *id)
{
	CallerRequest request(rig.address, id, "/look/x", {},
			      std::string(60000, 'y').c_str());

	return request.wait().status;
}

/* A repeatable request may leave an upstream that reads it slowly, but that one
 * counted as ended under the request. */
TEST(SlowAnswer, UpstreamThatReadsSlowlyIsNotLost)
{
	SlowRig rig;
	pe_upstream *slow = rig.add_paced(PE_PLAIN, { 0, 5000, 0 });

	rig.settle();
	rig.add(PE_PLAIN, "plain");
	rig.settle();
	for (const char *id : { "a1", "a2", "a3", "a4", "a5", "a6" })
		EXPECT_EQ(look(rig, id), 200u);
	EXPECT_EQ(*lp_counter(rig.counters, "linepier_requests_lost_total",
			      nullptr),
		  0);
	EXPECT_EQ(pe_arrivals(slow), 0u); /* none was read whole */
}

/* A request was failed at an upstream that reads it slowly although no other
 * one could take it. */
TEST(SlowAnswer, OnlyUpstreamMayReadARepeatableRequestSlowly)
{
	SlowRig rig;

	rig.add_paced(PE_PLAIN, { 0, 5000, 0 });
	rig.settle();
	EXPECT_EQ(look(rig, "a1"), 200u);
	EXPECT_EQ(*lp_counter(rig.counters, "linepier_requests_lost_total",
			      nullptr),
		  0);
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u);
}

/* ---- memory ---- */

/* What was held for slow callers had no bound over all of them; with one, each
 * admitted answer could exceed what was reserved for it. */
TEST(SlowAnswer, MemoryForSlowCallersIsBounded)
{
	const int64_t memory_bytes = 2 << 20;
	const pe_pace crowd_pace = { CROWD_ANSWER_BYTES, 0, 0 };
	SlowRig rig;
	std::vector<std::unique_ptr<SlowPeer>> callers;
	pe_upstream *upstream = rig.add_paced(PE_PLAIN, { ANSWER_BYTES, 0, 0 });
	int64_t most;

	rig.add_paced(PE_ENGINE, { EVENT_BYTES, 0, 0 });
	rig.settle();
	direct_set_memory(rig.entry, memory_bytes);
	for (int i = 0; i < 40; i++) {
		std::string id = "a" + std::to_string(i);

		callers.push_back(std::make_unique<SlowPeer>(rig.address));
		callers.back()->send(request_text(
			id.c_str(), i % 2 ? "/once/x" : "/order/x", 0));
		if (i)
			continue;
		EXPECT_TRUE(run_loop_until([&] {
			callers[0]->read_some(1);
			return !callers[0]->received.empty();
		}));
		pe_set_pace(upstream, &crowd_pace);
	}
	EXPECT_TRUE(run_loop_until([&] {
		return !http_memory_fits(direct_memory(rig.entry), 60000);
	}));
	most = watch_held_bytes(rig, 3000);
	EXPECT_LE(most, memory_bytes / 4);

	/* Refused before the limit, truthfully, and with a time to return. */
	CallerRequest refused(rig.address, "b1", "/order/x", {},
			      std::string(60000, 'y').c_str());
	EXPECT_EQ(refused.wait().status, 503u);
	EXPECT_NE(refused.retry_after, "");
	EXPECT_EQ(pe_runs(rig.platform, "b1"), 0u);
	EXPECT_LE(rig.held_bytes(), memory_bytes / 4);

	/* None of those that were admitted is cut off for it. */
	EXPECT_TRUE(read_to_end(*callers[0]));
	EXPECT_EQ(callers[0]->x_count, ANSWER_BYTES);
	EXPECT_TRUE(read_to_end(*callers[1]));
	EXPECT_EQ(callers[1]->x_count, EVENTS * EVENT_BYTES);
	EXPECT_LE(rig.held_bytes(), memory_bytes / 4);
	callers.clear();
	EXPECT_TRUE(run_loop_until([&] { return !rig.held_bytes(); }));
	CallerRequest served(rig.address, "b2", "/order/x", {},
			     std::string(60000, 'y').c_str());
	EXPECT_EQ(served.wait().status, 200u);
}

/* Callers were refused for want of memory that a few slow ones had filled with
 * their answers. */
TEST(SlowAnswer, FewSlowCallersLeaveRoomForOthers)
{
	SlowRig rig;
	std::vector<std::unique_ptr<SlowPeer>> callers;
	pe_upstream *upstream =
		rig.add_paced(PE_PLAIN, { CROWD_ANSWER_BYTES, 0, 0 });
	const pe_pace small_pace = {};

	rig.settle();
	direct_set_memory(rig.entry, 8 << 20);
	for (int i = 0; i < 20; i++) {
		std::string id = "a" + std::to_string(i);

		callers.push_back(std::make_unique<SlowPeer>(rig.address));
		callers.back()->send(request_text(id.c_str(), "/order/x", 0));
	}
	watch_held_bytes(rig, 3000);
	pe_set_pace(upstream, &small_pace);
	for (const char *id : { "b1", "b2", "b3", "b4", "b5" }) {
		CallerRequest served(rig.address, id, "/order/x", {},
				     std::string(60000, 'y').c_str());

		EXPECT_EQ(served.wait().status, 200u);
	}
}

/* Guards against a stream that ends inside an event of which a part has been
 * passed on, and goes on at another upstream, or is completed. */
TEST(SlowAnswer, StreamThatEndsInsideASplitEventIsCut)
{
	const pe_stream_end how = { false, true, 2, true, 0 };
	SlowRig rig;
	std::vector<pe_upstream *> engines;

	for (int i = 0; i < 2; i++) {
		engines.push_back(
			rig.add_paced(PE_ENGINE, { EVENT_BYTES, 0, 0 }));
		pe_set_stream_end(engines.back(), &how);
	}
	rig.settle();
	direct_set_memory(rig.entry, 1 << 20);
	SlowPeer caller(rig.address);

	caller.send(request_text("a1", "/again/x", 0));
	EXPECT_FALSE(read_to_end(caller));
	EXPECT_TRUE(caller.ended);
	EXPECT_GT(caller.x_count, 2 * EVENT_BYTES);
	EXPECT_EQ(caller.occurrences("id: "), 3u);
	EXPECT_EQ(pe_arrivals(engines[0]) + pe_arrivals(engines[1]), 1u);
}

/* Bodies that callers send slowly are held, too. */
TEST(SlowAnswer, MemoryForBodiesIsBounded)
{
	const int64_t memory_bytes = 2 << 20;
	SlowRig rig;
	std::vector<std::unique_ptr<SlowPeer>> callers;
	size_t refused = 0;

	rig.add_paced(PE_PLAIN, {});
	rig.settle();
	direct_set_memory(rig.entry, memory_bytes);
	for (int i = 0; i < 20; i++) {
		std::string text = request_text("a", "/order/x", 60000);

		callers.push_back(std::make_unique<SlowPeer>(rig.address));
		callers.back()->send(text.substr(0, text.size() - 1));
	}
	EXPECT_LE(watch_held_bytes(rig, 500), memory_bytes / 2);
	for (auto &caller : callers) {
		caller->read_some();
		refused += caller->received.find("503") != std::string::npos &&
			   caller->received.find("Retry-After") !=
				   std::string::npos;
	}
	EXPECT_GT(refused, 0u);
	EXPECT_LT(refused, callers.size());
}

} // namespace
