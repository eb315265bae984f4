/*
 * Messages of peers that are larger than allowed, or do not end: each is cut
 * off with bounded memory, and nothing of others is lost.
 */
#include "slow_peer.h"
#include "thread_server.h"

namespace
{

/* ---- the parser ---- */

struct Parser {
	http_parse parse;

	explicit Parser(http_parser_type type)
	{
		http_parse_init(&parse, type);
	}
	~Parser()
	{
		http_parse_clear(&parse);
	}
	int feed(const std::string &text)
	{
		size_t used;

		return http_parse_feed(&parse, text.data(), text.size(), &used);
	}
	/* Bytes of `unit` that are accepted, in reads of so many of them. */
	size_t accepted_of(const std::string &unit, size_t units_per_read)
	{
		std::string read;
		size_t accepted = 0;

		for (size_t i = 0; i < units_per_read; i++)
			read += unit;
		for (; accepted < (16 << 20); accepted += read.size())
			if (feed(read) != LP_OK)
				break;
		return accepted;
	}
};

/* The longest unit below, 1000 times: a read may end beyond the limit. */
const size_t READ_BYTES = 22000;

const struct {
	const char *name;
	const char *begin;
	const char *unit;
} endless_parts[] = {
	{ "field", "X-Long: ", "xxxxxxxx" },
	{ "head", "", "a:b\r\n" },
	{ "interim", "\r\n", "HTTP/1.1 103 Early\r\n\r\n" },
	{ "chunk line", "Transfer-Encoding: chunked\r\n\r\n1;", "x=xxxxx;" },
	{ "trailers", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
	  "a:b\r\n" },
};

/* An answer's head, interim answers, chunk lines and trailers were kept or read
 * without a limit. */
TEST(Oversized, PartsOfAnAnswerAreLimited)
{
	for (const auto &part : endless_parts) {
		for (size_t units_per_read : { 1, 1000 }) {
			Parser parser(HTTP_RESPONSE);
			bool is_interim = !strcmp(part.name, "interim");

			ASSERT_EQ(parser.feed(std::string("HTTP/1.1 ") +
					      (is_interim ? "103 Early\r\n"
							  : "200 OK\r\n") +
					      part.begin),
				  LP_OK)
				<< part.name;
			EXPECT_LE(parser.accepted_of(part.unit, units_per_read),
				  HTTP_HEAD_BYTES_MAX + READ_BYTES)
				<< part.name;
		}
	}
}

/* A caller's trailers and chunk lines were not limited with its head. */
TEST(Oversized, PartsOfARequestAreLimited)
{
	for (const auto &part : endless_parts) {
		Parser parser(HTTP_REQUEST);

		if (!strcmp(part.name, "interim"))
			continue;
		parser.parse.head_bytes_max = 4096;
		ASSERT_EQ(parser.feed(std::string("POST / HTTP/1.1\r\n") +
				      part.begin),
			  LP_OK)
			<< part.name;
		EXPECT_LE(parser.accepted_of(part.unit, 1), 4096u) << part.name;
	}
}

/* Guards against a limit of what all chunk lines of a stream take together. */
TEST(Oversized, LongStreamOfSmallChunksIsNotCutOff)
{
	for (size_t units_per_read : { 1, 1000 }) {
		Parser parser(HTTP_RESPONSE);

		parser.parse.head_bytes_max = 256;
		ASSERT_EQ(parser.feed("HTTP/1.1 200 OK\r\n"
				      "Transfer-Encoding: chunked\r\n\r\n"),
			  LP_OK);
		EXPECT_GE(parser.accepted_of("1\r\nx\r\n", units_per_read),
			  16u << 20);
		EXPECT_EQ(parser.feed("0\r\nX-Sum: 1\r\n\r\n"), LP_OK);
		EXPECT_TRUE(parser.parse.is_complete);
	}
}

/* A caller's trailer fields were taken for fields of its head. */
TEST(Oversized, TrailersAreNotFieldsOfTheHead)
{
	Parser parser(HTTP_REQUEST);

	ASSERT_EQ(parser.feed("POST / HTTP/1.1\r\nHost: h\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n"
			      "1\r\nx\r\n0\r\nAuthorization: Bearer k\r\n"
			      "Connection: close\r\n\r\n"),
		  LP_OK);
	EXPECT_TRUE(parser.parse.is_complete);
	EXPECT_EQ(http_fields_get(&parser.parse.fields, "Authorization"),
		  nullptr);
	EXPECT_TRUE(http_parse_keeps_alive(&parser.parse));
}

/* ---- upstreams ---- */

/* What an entry may hold for one answer that is cut off: the part that is
 * allowed, and a read. */
const int64_t PART_BYTES = 4 * 65536;

const pe_endless parts_of_head[] = {
	PE_ENDLESS_FIELD,      PE_ENDLESS_HEAD,	    PE_ENDLESS_INTERIM,
	PE_ENDLESS_CHUNK_LINE, PE_ENDLESS_TRAILERS,
};

struct OversizedRig : Rig {
	int64_t most_held = 0;

	int64_t oversized()
	{
		int64_t sum = 0;

		for (const char *part : { "head", "fields", "framing", "body" })
			sum += *lp_counter(
				counters, "linepier_oversized_total",
				(std::string("peer=\"upstream\",part=\"") +
				 part + "\"")
					.c_str());
		return sum;
	}
	/* Waits for the answer, and notes the most bytes that were held. */
	CallerRequest &watch(CallerRequest &request)
	{
		EXPECT_TRUE(run_loop_until([&] {
			most_held = std::max(most_held,
					     direct_memory(entry)->held_bytes);
			return request.done;
		}));
		return request;
	}
};

/* An answer whose head did not end was kept until the entry was killed, and the
 * requests of all its callers with it (review/3). */
TEST(Oversized, AnswerWithoutEndIsCutOffAndNotRepeated)
{
	for (pe_endless part : parts_of_head) {
		OversizedRig rig;
		pe_upstream *first = rig.add(PE_PLAIN, "plain");
		pe_upstream *second = rig.add(PE_PLAIN, "plain");

		pe_set_endless(first, part);
		pe_set_endless(second, part);
		rig.settle();
		CallerRequest order(rig.address, "a1", "/order/x", {},
				    "one box");

		EXPECT_EQ(rig.watch(order).status, 502u) << part;
		EXPECT_LT(order.took_us, 1000000) << part;
		EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u) << part;
		EXPECT_EQ(rig.oversized(), 1) << part;
		EXPECT_LT(rig.most_held, PART_BYTES) << part;
		EXPECT_TRUE(run_loop_until([&] {
			return !direct_memory(rig.entry)->held_bytes;
		})) << part;
	}
}

/* Guards against a repeatable request failing with one such upstream. */
TEST(Oversized, RepeatableRequestIsAnsweredByAnotherUpstream)
{
	for (pe_endless part : parts_of_head) {
		OversizedRig rig;
		pe_upstream *first = rig.add(PE_PLAIN, "plain");
		pe_upstream *second = rig.add(PE_PLAIN, "plain");

		rig.settle();
		CallerRequest before(rig.address, "b1", "/look/x");

		EXPECT_EQ(before.wait().status, 200u);
		pe_set_endless(pe_arrivals(first) ? first : second, part);
		for (int i = 0; i < 4; i++) {
			std::string id = "a" + std::to_string(i);
			CallerRequest look(rig.address, id.c_str(), "/look/x");

			EXPECT_EQ(rig.watch(look).body, "whole") << part;
		}
		EXPECT_GE(rig.oversized(), 1) << part;
	}
}

/* Guards against a limit of bodies, which are passed on as they come. */
TEST(Oversized, BodyWithoutEndIsPassedOnUntilTheDeadline)
{
	OversizedRig rig;

	pe_set_endless(rig.add(PE_PLAIN, "plain"), PE_ENDLESS_BODY);
	rig.settle();
	CallerRequest order(rig.address, "a1", "/order/x",
			    { { "X-Deadline-Ms", "800" } });

	EXPECT_NE(rig.watch(order).error, LP_OK);
	EXPECT_GT(order.took_us, 700000);
	EXPECT_LT(order.took_us, 3000000);
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u);
	EXPECT_LT(rig.most_held, (8 << 20) + (2 << 20));
}

/* Guards against bytes without an end that are no answer being kept, or passed
 * on to a caller. */
TEST(Oversized, BodyWithoutEndThatIsNoAnswerIsNotPassedOn)
{
	OversizedRig rig;

	pe_set_endless(rig.add(PE_PLAIN, "plain"), PE_ENDLESS_FOREIGN_BODY);
	rig.settle();
	CallerRequest order(rig.address, "a1", "/order/x");

	EXPECT_EQ(rig.watch(order).status, 502u);
	EXPECT_EQ(order.body, "");
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u);
	EXPECT_LT(rig.most_held, (8 << 20) + (2 << 20));
}

/* The same for a stream whose first event does not end, which may be passed on
 * but not kept. */
TEST(Oversized, EventWithoutEndIsPassedOnUntilTheDeadline)
{
	OversizedRig rig;

	pe_set_endless(rig.add(PE_ENGINE, "engine"), PE_ENDLESS_EVENT);
	rig.settle();
	CallerRequest stream(rig.address, "a1", "/again/x",
			     { { "X-Deadline-Ms", "2000" } });

	rig.watch(stream);
	/* Before it exceeds what is buffered, the answer has not begun. */
	EXPECT_TRUE(stream.error != LP_OK || stream.status == 504)
		<< stream.status;
	EXPECT_LT(stream.took_us, 4000000);
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 1u);
	EXPECT_LT(rig.most_held, (8 << 20) + (2 << 20));
}

/* Answers with one event of `lines` short lines, each in a chunk of its own. */
std::string event_of_lines(const std::string &request, int lines)
{
	const std::string name = "X-Attempt-Id: ";
	size_t at = request.find(name) + name.size();
	std::string id = request.substr(at, request.find('\r', at) - at);
	std::string text = begin_stream();

	text.insert(text.find("\r\n") + 2,
		    name + id + "\r\nX-Server-Seal: s." + id + "\r\n");
	for (int i = 0; i < lines; i++)
		text += stream_chunk("x\n");
	return text + stream_chunk("\n") + end_stream();
}

/* An event was scanned from its beginning again with each of its lines: nobody
 * was answered meanwhile. */
TEST(Oversized, EventOfManyLinesLeavesTheLoopToOtherCallers)
{
	const int lines = 100000;
	ThreadServer engine("\r\n\r\n", [](const std::string &request) {
		return event_of_lines(request, lines);
	});
	const std::string record =
		"{\"service\":\"engine\",\"address\":\"" + engine.address +
		"\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,"
		"\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":1}";
	OversizedRig rig;

	pe_write(rig.platform, "raw", record.data(), record.size());
	rig.add(PE_PLAIN, "plain");
	rig.settle();
	CallerRequest stream(rig.address, "a1", "/once/x");
	CallerRequest order(rig.address, "b1", "/order/x",
			    { { "X-Deadline-Ms", "1500" } });

	EXPECT_EQ(rig.watch(order).status, 200u);
	EXPECT_EQ(rig.watch(stream).error, LP_OK);
	EXPECT_EQ(stream.body.size(), 2u * lines + 1);
}

/* Bodies of calls of pieces were kept without a limit. */
TEST(Oversized, CallOfPiecesWithoutEndFailsOver)
{
	for (pe_endless part : { PE_ENDLESS_BODY, PE_ENDLESS_FIELD }) {
		OversizedRig rig;
		pe_upstream *bad = rig.add(PE_STAGE, "first");

		pe_set_endless(bad, part);
		rig.add(PE_STAGE, "first");
		rig.add(PE_STAGE, "second");
		rig.add(PE_ENGINE, "engine");
		rig.settle();
		for (int i = 0; i < 4; i++) {
			std::string id = "a" + std::to_string(i);
			CallerRequest staged(rig.address, id.c_str(),
					     "/staged/x",
					     { { "X-Pieces", "1,1" },
					       { "X-Piece-Key", id } });

			EXPECT_EQ(rig.watch(staged).body, complete_stream)
				<< part;
		}
		EXPECT_GE(rig.oversized(), 1) << part;
		EXPECT_LT(rig.most_held, PART_BYTES) << part;
	}
}

/* Guards against many such answers at once exceeding the process's bound: each
 * is within its own. */
TEST(Oversized, ManyAnswersWithoutEndStayWithinTheMemoryLimit)
{
	const int64_t memory_bytes = 8 << 20;
	OversizedRig rig;
	std::vector<std::unique_ptr<CallerRequest>> orders;

	direct_set_memory(rig.entry, memory_bytes);
	pe_set_endless(rig.add(PE_PLAIN, "plain"), PE_ENDLESS_FIELD);
	rig.settle();
	for (int i = 0; i < 60; i++) {
		std::string id = "a" + std::to_string(i);

		orders.push_back(std::make_unique<CallerRequest>(
			rig.address, id.c_str(), "/order/x"));
	}
	for (const auto &order : orders)
		rig.watch(*order);
	EXPECT_LE(rig.most_held, memory_bytes / 4);
}

/* An event id of any length was kept, and sent in a field that the next
 * upstream refuses. */
TEST(Oversized, StreamWithALongEventIdIsNotResumed)
{
	pe_stream_end how = {};

	how.early = true;
	how.events = 2;
	how.in_event = true;
	for (uint32_t id_digits : { 1000, 2000 }) {
		OversizedRig rig;
		pe_upstream *first = rig.add(PE_ENGINE, "engine");
		pe_upstream *second = rig.add(PE_ENGINE, "engine");

		how.id_digits = id_digits;
		pe_set_stream_end(first, &how);
		pe_set_stream_end(second, &how);
		rig.settle();
		CallerRequest request(rig.address, "a1", "/again/x");

		EXPECT_NE(rig.watch(request).error, LP_OK);
		EXPECT_EQ(pe_arrivals(first) + pe_arrivals(second),
			  id_digits > 1024 ? 1u : 2u);
	}
}

/* ---- callers ---- */

/* Sends `unit` until the entry ends the connection; the bytes it took. */
size_t send_without_end(const Rig &rig, const std::string &begin,
			const std::string &unit, std::string *answer)
{
	SlowPeer caller(rig.address);
	std::string text;
	size_t sent = 0;

	while (text.size() < 4096)
		text += unit;
	caller.send(begin);
	run_loop_until([&] {
		ssize_t size = ::send(caller.fd, text.data(), text.size(),
				      MSG_NOSIGNAL | MSG_DONTWAIT);

		sent += size > 0 ? (size_t)size : 0;
		caller.read_some();
		return caller.ended || sent > (16 << 20);
	});
	*answer = caller.received;
	return sent;
}

/* A caller's trailers were kept without a limit, whatever the limits say. */
TEST(Oversized, RequestWithoutEndIsRefused)
{
	const std::string post = "POST /order/x HTTP/1.1\r\nHost: a.example\r\n"
				 "X-Attempt-Id: a1\r\n"
				 "Authorization: Bearer key-always\r\n";
	OversizedRig rig;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	for (const auto &part : endless_parts) {
		std::string answer;

		if (!strcmp(part.name, "interim"))
			continue;
		EXPECT_LT(send_without_end(rig, post + part.begin, part.unit,
					   &answer),
			  4u << 20)
			<< part.name;
		EXPECT_EQ(answer.find("HTTP/1.1 431"), 0u)
			<< part.name << answer;
		EXPECT_TRUE(run_loop_until([&] {
			return !direct_memory(rig.entry)->held_bytes;
		})) << part.name;
	}
	EXPECT_EQ(*lp_counter(rig.counters, "linepier_oversized_total",
			      "peer=\"caller\",part=\"framing\""),
		  2);
	EXPECT_EQ(pe_runs(rig.platform, "a1"), 0u);
}

/* Heads that are being received were not counted: with many connections they
 * exceeded the memory limit. */
TEST(Oversized, UnfinishedHeadsAreCountedAndRefused)
{
	const int64_t memory_bytes = 1 << 20;
	OversizedRig rig;
	std::vector<std::unique_ptr<SlowPeer>> callers;
	size_t refused = 0;

	direct_set_memory(rig.entry, memory_bytes);
	rig.add(PE_PLAIN, "plain");
	rig.settle();
	for (int i = 0; i < 200; i++) {
		callers.push_back(std::make_unique<SlowPeer>(rig.address));
		callers.back()->send("GET /look/x HTTP/1.1\r\nX-Long: " +
				     std::string(3000, 'x'));
	}
	run_loop_until(
		[&] {
			rig.most_held =
				std::max(rig.most_held,
					 direct_memory(rig.entry)->held_bytes);
			return false;
		},
		500);
	for (const auto &caller : callers) {
		caller->read_some();
		refused += caller->received.find("HTTP/1.1 503") == 0;
	}
	EXPECT_GT(rig.most_held, memory_bytes / 8);
	EXPECT_LE(rig.most_held, memory_bytes / 4 + 4096);
	EXPECT_GT(refused, 0u);
	EXPECT_LT(refused, 200u);
}

/* ---- the key-value service ---- */

struct StoreAnswer {
	bool done = false;
	int error = LP_OK;
	size_t size = 0;

	StoreAnswer(const ThreadServer &server, size_t answer_bytes_max)
	{
		store_http_options options = {};
		store_http_request request = {};
		const std::string url = "http://" + server.address + "/";

		options.connections = 1;
		options.answer_bytes_max = answer_bytes_max;
		store_http *http = store_http_create(&options);

		request.method = "GET";
		request.url = url.c_str();
		request.done = [](void *self, const store_http_answer *answer) {
			auto *result = static_cast<StoreAnswer *>(self);

			result->done = true;
			result->error = answer->error;
			result->size = answer->size;
		};
		request.userdata = this;
		store_http_send(http, &request);
		EXPECT_TRUE(run_loop_until([this] { return done; }));
		store_http_destroy(http);
	}
};

/* An answer of the key-value service was kept without a limit. */
TEST(Oversized, AnswerOfTheServiceIsLimited)
{
	ThreadServer server("\r\n\r\n", [](const std::string &) {
		return whole_answer(std::string(8 << 20, 'x'));
	});
	StoreAnswer small(server, 65536);
	StoreAnswer large(server, 8 << 20);

	EXPECT_EQ(small.error, LP_ERROR_ANSWER_TOO_LARGE);
	EXPECT_LE(small.size, 2u * 65536);
	EXPECT_EQ(large.error, LP_OK);
}

/* Guards against a head of the service's answer that does not end. */
TEST(Oversized, HeadOfTheServiceIsLimited)
{
	ThreadServer server("\r\n\r\n", [](const std::string &) {
		return "HTTP/1.1 200 OK\r\nX-Long: " +
		       std::string(8 << 20, 'x') + "\r\n\r\n";
	});
	StoreAnswer answer(server, 65536);

	EXPECT_EQ(answer.error, LP_ERROR_PLATFORM_DOWN);
}

/* A list whose pages do not advance was read for ever, and kept. */
TEST(Oversized, ListThatDoesNotAdvanceFails)
{
	ThreadServer server("\r\n\r\n", [](const std::string &) {
		return whole_answer(
			"{\"current_rev\":5,\"has_more\":true,\"items\":[{"
			"\"key\":\"a/1\",\"value\":\"e30=\",\"revision\":4,"
			"\"made\":4,\"lease\":0}]}");
	});
	lp_counters *counters = lp_counters_create();
	lp_event_options log_options = {};
	plf_kv_options options = {};
	int result = 1;

	log_options.process = "test";
	log_options.clock = lp_clock_boot();
	log_options.fd = -1;
	options.clock = lp_clock_boot();
	options.log = lp_event_log_create(&log_options);
	options.address = server.address.c_str();
	options.counters = counters;
	store_kv *kv = plf_kv_create(&options);

	kv->ops->range(
		kv, "list", "a/", true,
		[](void *result, const store_answer *answer) {
			*static_cast<int *>(result) = answer->error;
		},
		&result);
	EXPECT_TRUE(run_loop_until([&] { return result <= 0; }, 3000));
	EXPECT_EQ(result, LP_ERROR_PLATFORM_DOWN);
	kv->ops->destroy(kv);
	lp_event_log_destroy(options.log);
	lp_counters_destroy(counters);
}

} // namespace
