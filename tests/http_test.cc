/* HTTP parser, server and client: malformed, incomplete, slow and
 * disconnecting peers. */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace
{

/* Iterates the main loop until `done`, for at most ten seconds. */
bool iterate_until(const std::function<bool()> &done)
{
	const gint64 end_us = g_get_monotonic_time() + 10 * G_USEC_PER_SEC;
	const guint ticks = g_timeout_add(
		5, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; },
		nullptr);

	while (!done() && g_get_monotonic_time() < end_us)
		g_main_context_iteration(nullptr, TRUE);
	g_source_remove(ticks);
	return done();
}

/* ---- the parser ---- */

struct ParserFixture {
	http_parse parse;

	explicit ParserFixture(http_parser_type type)
	{
		http_parse_init(&parse, type);
	}
	~ParserFixture()
	{
		http_parse_clear(&parse);
	}
	int feed(const std::string &text)
	{
		size_t used;

		return http_parse_feed(&parse, text.data(), text.size(), &used);
	}
};

TEST(HttpParse, ParsesARequestByteByByte)
{
	ParserFixture parser(HTTP_REQUEST);
	const std::string text = "POST /a/b?c HTTP/1.1\r\nHost: h\r\n"
				 "Content-Length: 3\r\n\r\nxyz";

	for (char c : text)
		ASSERT_EQ(parser.feed(std::string(1, c)), LP_OK);
	EXPECT_TRUE(parser.parse.is_complete);
	EXPECT_STREQ(parser.parse.target->str, "/a/b?c");
	EXPECT_STREQ(http_fields_get(&parser.parse.fields, "HOST"), "h");
}

/* Requests that two receivers may parse differently are rejected. */
TEST(HttpParse, RejectsAmbiguousRequests)
{
	const char *const bad[] = {
		"GET / HTTP/1.1\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\rX: y\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		"Content-Length: 4\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"GET / HTTP/1.1\r\nBad Name: y\r\n\r\n",
		"nonsense\r\n\r\n",
	};

	for (const char *text : bad) {
		ParserFixture parser(HTTP_REQUEST);

		EXPECT_EQ(parser.feed(text), LP_ERROR_BAD_REQUEST) << text;
	}
}

TEST(HttpParse, LimitsHeadSize)
{
	ParserFixture parser(HTTP_REQUEST);

	parser.parse.head_bytes_max = 64;
	EXPECT_EQ(parser.feed("GET / HTTP/1.1\r\nX: " + std::string(100, 'y')),
		  LP_ERROR_TOO_LARGE);
}

TEST(HttpParse, SkipsInterimAnswersAndTheirFields)
{
	ParserFixture parser(HTTP_RESPONSE);

	ASSERT_EQ(parser.feed("HTTP/1.1 103 Early\r\nX-Interim: 1\r\n\r\n"
			      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
		  LP_OK);
	EXPECT_TRUE(parser.parse.is_complete);
	EXPECT_EQ(parser.parse.parser.status_code, 200u);
	EXPECT_EQ(http_fields_get(&parser.parse.fields, "X-Interim"), nullptr);
}

/* Guards against answers whose status is none: 000 was taken for an interim
 * answer, 0200 for 200, and 600 and 999 were passed on. */
TEST(HttpParse, RejectsAStatusThatIsNone)
{
	for (const char *status : { "000", "099", "600", "999", "0200", "00200",
				    "20", "2", "2000", "20x", "-20", "" })
		for (bool byte_by_byte : { false, true })
			for (const char *before :
			     { "", "\r\n", "HTTP/1.1 100 Continue\r\n\r\n" }) {
				ParserFixture parser(HTTP_RESPONSE);
				std::string text =
					std::string(before) + "HTTP/1.1 " +
					status +
					" X\r\nContent-Length: 0\r\n\r\n";
				int error = LP_OK;

				if (!byte_by_byte)
					error = parser.feed(text);
				for (size_t i = 0;
				     byte_by_byte && !error && i < text.size();
				     i++)
					error = parser.feed(text.substr(i, 1));
				EXPECT_EQ(error, LP_ERROR_BAD_REQUEST)
					<< before << status;
			}
}

TEST(HttpParse, AcceptsEachStatusFrom200To599)
{
	for (int status = 200; status < 600; status++)
		for (const char *reason : { " OK", " ", "" }) {
			ParserFixture parser(HTTP_RESPONSE);

			EXPECT_EQ(parser.feed("HTTP/1.1 " +
					      std::to_string(status) + reason +
					      "\r\nContent-Length: 0\r\n\r\n"),
				  LP_OK);
			EXPECT_EQ(parser.parse.parser.status_code,
				  (unsigned)status);
			EXPECT_TRUE(parser.parse.is_complete);
		}
}

/* ---- the server ---- */

struct TestServer {
	http_server *server = nullptr;
	std::string address;
	std::function<void(http_call *)> answer;
	int rejections = 0;

	explicit TestServer(http_limits limits = { 1024, 1024, 0, 0 })
	{
		http_server_options options = {};
		int error;

		for (int port = 21300; !server && port < 21400; port++) {
			address = "127.0.0.1:" + std::to_string(port);
			options.address = address.c_str();
			options.clock = lp_clock_boot();
			options.limits = limits;
			options.request = [](void *self, http_call *call) {
				static_cast<TestServer *>(self)->answer(call);
			};
			options.refused = [](void *self, int, uint32_t,
					     const http_excess *) {
				static_cast<TestServer *>(self)->rejections++;
			};
			options.userdata = this;
			server = http_server_create(&options, &error);
		}
		answer = [](http_call *call) {
			http_call_answer(call, 200, nullptr, "ok", 2);
		};
	}
	~TestServer()
	{
		http_server_destroy(server);
	}
};

/* A TCP client that stores the received bytes. */
struct RawClient {
	http_sock *sock;
	std::string received;
	bool ended = false;
	int error = LP_OK;

	explicit RawClient(const std::string &address)
	{
		static const http_sock_events events = {
			nullptr,
			[](void *self, const char *bytes, size_t size) {
				static_cast<RawClient *>(self)->received.append(
					bytes, size);
			},
			[](void *self, int error) {
				static_cast<RawClient *>(self)->ended = true;
				static_cast<RawClient *>(self)->error = error;
			},
			nullptr,
		};

		sock = http_sock_connect(address.c_str(), &events, this);
	}
	~RawClient()
	{
		if (sock)
			http_sock_abort(sock);
	}
	void send(const std::string &text)
	{
		http_sock_write(sock, text.data(), text.size());
	}
	bool receives(const std::string &text)
	{
		return iterate_until([&] {
			return received.find(text) != std::string::npos;
		});
	}
	void disconnect()
	{
		http_sock_abort(sock);
		sock = nullptr;
	}
};

TEST(HttpServer, AnswersPipelinedRequestsInOrder)
{
	TestServer test_server;
	RawClient client(test_server.address);

	test_server.answer = [](http_call *call) {
		const char *target = http_call_target(call);

		http_call_answer(call, 200, nullptr, target, strlen(target));
	};
	client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
		    "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(client.receives("/2"));
	EXPECT_LT(client.received.find("/1"), client.received.find("/2"));
	EXPECT_FALSE(client.ended);
	EXPECT_EQ(http_server_busy_count(test_server.server), 0u);
}

/* Requests behind one that waited were answered recursively, each level with
 * its own copy of the rest: one caller could take an entry close to its memory
 * limit.
 */
TEST(HttpServer, PipelinedRequestsAreNotAnsweredRecursively)
{
	const int requests = 3000;
	TestServer test_server;
	RawClient client(test_server.address);
	std::string text;
	http_call *first = nullptr;
	char *top = nullptr;
	ptrdiff_t depth = 0;
	int answered = 0;

	test_server.answer = [&](http_call *call) {
		char here;

		if (!first) {
			first = call;
			return;
		}
		top = top ? top : &here;
		depth = std::max(depth, std::abs(top - &here));
		answered++;
		http_call_answer(call, 404, nullptr, nullptr, 0);
	};
	for (int i = 0; i <= requests; i++)
		text += "GET / HTTP/1.1\r\n\r\n";
	client.send(text);
	ASSERT_TRUE(iterate_until([&] { return first; }));
	for (int i = 0; i < 10; i++)
		g_main_context_iteration(nullptr, FALSE);
	http_call_answer(first, 200, nullptr, "ok", 2);
	EXPECT_TRUE(iterate_until([&] { return answered == requests; }));
	EXPECT_LT(depth, 65536);
	EXPECT_FALSE(client.ended);
}

/* Guards against a client that reads no answers taking the memory of all: its
 * requests were answered as fast as they came. */
TEST(HttpServer, ClientThatReadsNoAnswersIsNotReadFrom)
{
	const std::string body(4000, 'x');
	TestServer test_server;
	RawClient client(test_server.address);
	std::string text;
	uint32_t answered = 0;
	size_t sent = 0;

	test_server.answer = [&](http_call *call) {
		answered++;
		http_call_answer(call, 200, nullptr, body.data(), body.size());
	};
	http_sock_pause(client.sock, true);
	for (int i = 0; i < 100; i++)
		text += "GET / HTTP/1.1\r\n\r\n";
	for (; sent < 20000 && http_sock_unsent_bytes(client.sock) < 1 << 20;
	     sent += 100) {
		client.send(text);
		for (int i = 0; i < 20; i++)
			g_main_context_iteration(nullptr, FALSE);
	}
	EXPECT_LT(answered, sent);
	http_sock_pause(client.sock, false);
	EXPECT_TRUE(iterate_until([&] { return answered == sent; }));
	EXPECT_FALSE(client.ended);
}

TEST(HttpServer, RejectsMalformedAndTooLargeRequests)
{
	const struct {
		const char *text;
		const char *status;
	} cases[] = {
		{ "GET / HTTP/1.1\nHost: h\n\n", " 400 " },
		{ "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n", " 413 " },
	};

	for (const auto &row : cases) {
		TestServer test_server;
		RawClient client(test_server.address);

		client.send(row.text);
		client.send(std::string(2000, 'x'));
		EXPECT_TRUE(client.receives(row.status)) << row.text;
		EXPECT_EQ(test_server.rejections, 1);
	}
}

TEST(HttpServer, TimesOutAnIncompleteRequest)
{
	TestServer test_server({ 1024, 1024, 50000, 0 });
	RawClient client(test_server.address);

	client.send("GET / HTTP/1.1\r\nHos");
	EXPECT_TRUE(client.receives(" 408 "));
}

TEST(HttpServer, ClosesIdleConnections)
{
	TestServer test_server({ 1024, 1024, 0, 50000 });
	RawClient client(test_server.address);

	EXPECT_TRUE(iterate_until([&] { return client.ended; }));
	EXPECT_EQ(client.error, LP_OK);
}

TEST(HttpServer, ReportsClientDisconnectWhileAnswerIsPending)
{
	TestServer test_server;
	RawClient client(test_server.address);
	bool request_received = false;
	bool gone = false;

	test_server.answer = [&](http_call *call) {
		request_received = true;
		http_call_set_disconnect_handler(
			call, [](void *flag) { *(bool *)flag = true; }, &gone);
	};
	client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(iterate_until([&] { return request_received; }));
	EXPECT_EQ(http_server_busy_count(test_server.server), 1u);
	client.disconnect();
	EXPECT_TRUE(iterate_until([&] { return gone; }));
	EXPECT_EQ(http_server_busy_count(test_server.server), 0u);
}

TEST(HttpServer, AbortedAnswerIsNotTerminated)
{
	TestServer test_server;
	RawClient client(test_server.address);

	test_server.answer = [](http_call *call) {
		http_call_start(call, 200, nullptr);
		http_call_write(call, "part", 4);
		http_call_abort(call);
	};
	client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(iterate_until([&] { return client.ended; }));
	EXPECT_NE(client.received.find("part"), std::string::npos);
	EXPECT_EQ(client.received.find("0\r\n\r\n"), std::string::npos);
}

TEST(HttpServer, DrainingClosesConnectionAfterAnswer)
{
	TestServer test_server;
	RawClient client(test_server.address);

	http_server_drain(test_server.server);
	client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(iterate_until([&] { return client.ended; }));
	EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
	EXPECT_NE(client.received.find("ok"), std::string::npos);
}

/* A closing connection had two seconds in all to deliver its answer, even if
 * its client kept reading, and the server counted as idle during that time:
 * an entry that terminated truncated the answer. */
TEST(HttpServer, DeliversAnswerToSlowReaderBeforeClosing)
{
	const std::string body(24000000, 'x');
	TestServer test_server;
	RawClient client(test_server.address);
	gint64 start_us = g_get_monotonic_time();
	bool answered = false;

	http_server_drain(test_server.server);
	test_server.answer = [&](http_call *call) {
		http_call_answer(call, 200, nullptr, body.data(), body.size());
		answered = true;
	};
	client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(iterate_until([&] { return answered; }));
	while (g_get_monotonic_time() - start_us < 3 * G_USEC_PER_SEC) {
		size_t before = client.received.size();
		gint64 since_us = g_get_monotonic_time();

		http_sock_pause(client.sock, false);
		iterate_until([&] {
			return client.received.size() > before + 100000;
		});
		http_sock_pause(client.sock, true);
		EXPECT_EQ(http_server_busy_count(test_server.server), 1u);
		iterate_until([&] {
			return g_get_monotonic_time() - since_us > 50000;
		});
	}
	http_sock_pause(client.sock, false);
	EXPECT_TRUE(iterate_until([&] { return client.ended; }));
	EXPECT_EQ(client.error, LP_OK);
	EXPECT_GT(client.received.size(), body.size());
	EXPECT_EQ(http_server_busy_count(test_server.server), 0u);
}

/* Returns a socket that has connected and sent a request before the server's
 * event loop runs. */
static GSocket *connect_and_send_request(const std::string &address)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
	guint port = (guint)atoi(address.c_str() + address.find(':') + 1);
	g_autoptr(GSocketAddress) at =
		g_inet_socket_address_new_from_string("127.0.0.1", port);
	GSocket *socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, nullptr);

	EXPECT_TRUE(g_socket_connect(socket, at, nullptr, nullptr));
	g_socket_send(socket, request, strlen(request), nullptr, nullptr);
	g_socket_set_blocking(socket, FALSE);
	return socket;
}

/* An entry that terminated reset the connections that were not yet accepted. */
TEST(HttpServer, AnswersWaitingConnectionsAfterListenerCloses)
{
	TestServer test_server;
	std::vector<GSocket *> callers;
	size_t answered = 0;

	for (int i = 0; i < 200; i++)
		callers.push_back(
			connect_and_send_request(test_server.address));
	http_server_stop_listening(test_server.server);
	for (GSocket *caller : callers) {
		char reply[64];

		iterate_until([&] {
			return g_socket_condition_check(caller, G_IO_IN) != 0;
		});
		answered += g_socket_receive(caller, reply, sizeof(reply),
					     nullptr, nullptr) > 0;
		g_object_unref(caller);
	}
	EXPECT_EQ(answered, callers.size());
}

/* A reset would discard an answer that the client has not read yet. */
TEST(HttpServer, ClosesConnectionsWithoutPendingAnswerInOrder)
{
	auto test_server = std::make_unique<TestServer>();
	RawClient client(test_server->address);

	client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(client.receives("ok"));
	test_server.reset();
	ASSERT_TRUE(iterate_until([&] { return client.ended; }));
	EXPECT_EQ(client.error, LP_OK);
}

/* ---- the client ---- */

/* A server that sends fixed bytes on each connection, then closes it. On a
 * busy host its threads may outlive this object, so the bytes are owned by
 * the service, to which they hold a reference. */
struct ScriptedServer {
	struct Reply {
		std::string text;
		bool reset;
	};
	GSocketService *service = g_threaded_socket_service_new(4);
	std::string address;

	ScriptedServer(std::string bytes, bool with_reset)
	{
		auto *reply = new Reply{ std::move(bytes), with_reset };
		guint16 port = g_socket_listener_add_any_inet_port(
			G_SOCKET_LISTENER(service), nullptr, nullptr);

		address = "127.0.0.1:" + std::to_string(port);
		g_signal_connect_data(service, "run", G_CALLBACK(on_incoming),
				      reply, free_reply, (GConnectFlags)0);
	}
	~ScriptedServer()
	{
		g_object_unref(service);
	}
	static void free_reply(gpointer reply, GClosure *)
	{
		delete static_cast<Reply *>(reply);
	}
	static gboolean on_incoming(GSocketService *, GSocketConnection *conn,
				    GObject *, Reply *reply)
	{
		GSocket *socket = g_socket_connection_get_socket(conn);
		linger reset_on_close = { 1, 0 };
		char request[4096];

		g_socket_receive(socket, request, sizeof(request), nullptr,
				 nullptr);
		g_socket_send(socket, reply->text.data(), reply->text.size(),
			      nullptr, nullptr);
		if (reply->reset)
			setsockopt(g_socket_get_fd(socket), SOL_SOCKET,
				   SO_LINGER, &reset_on_close,
				   sizeof(reset_on_close));
		return FALSE;
	}
};

struct ClientExchange {
	http_exchange *exchange;
	uint32_t status = 0;
	std::string body;
	size_t body_parts = 0;
	bool done = false;
	int error = LP_OK;
	bool sent = false;

	explicit ClientExchange(const std::string &address)
	{
		static const http_exchange_events events = {
			[](void *self, uint32_t status, const http_fields *) {
				static_cast<ClientExchange *>(self)->status =
					status;
			},
			[](void *self, const char *bytes, size_t size) {
				auto *result =
					static_cast<ClientExchange *>(self);

				result->body.append(bytes, size);
				result->body_parts++;
			},
			[](void *self, int error, bool sent) {
				auto *result =
					static_cast<ClientExchange *>(self);

				result->done = true;
				result->error = error;
				result->sent = sent;
			},
		};
		http_exchange_options options = {};
		http_fields fields;

		http_fields_init(&fields);
		options.address = address.c_str();
		options.method = "GET";
		options.target = "/";
		options.fields = &fields;
		options.connect_timeout_us = 300000;
		options.events = &events;
		options.userdata = this;
		exchange = http_exchange_start(&options);
		http_fields_clear(&fields);
		if (exchange)
			iterate_until([&] { return done; });
	}
};

/* Each chunk was handled, and passed on, by itself: small ones kept the loop
 * busy. */
TEST(HttpClient, ChunksOfOneReadAreReportedTogether)
{
	const size_t chunks = 2000;
	std::string text =
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	for (size_t i = 0; i < chunks; i++)
		text += "1\r\nx\r\n";
	ScriptedServer scripted(text + "0\r\n\r\n", false);
	ClientExchange exchange(scripted.address);

	EXPECT_EQ(exchange.error, LP_OK);
	EXPECT_EQ(exchange.body, std::string(chunks, 'x'));
	EXPECT_LT(exchange.body_parts, chunks / 100);
}

TEST(HttpClient, ReportsIncompleteAnswersAsFailed)
{
	const struct {
		const char *text;
		bool reset;
		int error;
		const char *body;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false,
		  LP_OK, "ok" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 "
		  "OK\r\nContent-Length: 5\r\n\r\nextra",
		  false, LP_OK, "ok" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", false,
		  LP_ERROR_UPSTREAM_GONE, "short" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nok\r\n",
		  false, LP_ERROR_UPSTREAM_GONE, "ok" },
		{ "HTTP/1.1 200 OK\r\n\r\nwhole", false, LP_OK, "whole" },
		{ "SSH-2.0 hello\r\n", false, LP_ERROR_PROTOCOL, "" },
		{ "", false, LP_ERROR_UPSTREAM_GONE, "" },
	};

	for (const auto &row : cases) {
		ScriptedServer scripted(row.text, row.reset);
		ClientExchange exchange(scripted.address);

		EXPECT_TRUE(exchange.done) << row.text;
		EXPECT_EQ(exchange.error, row.error) << row.text;
		EXPECT_EQ(exchange.body, row.body) << row.text;
		EXPECT_TRUE(exchange.sent) << row.text;
	}
}

/* An answer without a length is completed by an orderly close, not by a
 * reset. */
TEST(HttpClient, ResetDoesNotCompleteAnAnswer)
{
	ScriptedServer scripted("HTTP/1.1 200 OK\r\n\r\nhalf", true);
	ClientExchange exchange(scripted.address);

	EXPECT_EQ(exchange.error, LP_ERROR_UPSTREAM_GONE);
}

TEST(HttpClient, ReportsRefusedConnectionWithoutSending)
{
	ClientExchange exchange("127.0.0.1:1");

	EXPECT_TRUE(
		!exchange.exchange ||
		(exchange.error == LP_ERROR_NOT_LISTENING && !exchange.sent));
}

} // namespace
