/* http/: what a peer may do to a connection, and what must come of it. */
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

/* Turns the main loop until `done`, for ten seconds at the most. */
bool turn_until(const std::function<bool()> &done)
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

struct Parsed {
	http_parse parse;

	explicit Parsed(http_parser_type type)
	{
		http_parse_init(&parse, type);
	}
	~Parsed()
	{
		http_parse_clear(&parse);
	}
	int feed(const std::string &text)
	{
		size_t used;

		return http_parse_feed(&parse, text.data(), text.size(), &used);
	}
};

TEST(HttpParse, TakesARequestByteByByte)
{
	Parsed parsed(HTTP_REQUEST);
	const std::string text = "POST /a/b?c HTTP/1.1\r\nHost: h\r\n"
				 "Content-Length: 3\r\n\r\nxyz";

	for (char c : text)
		ASSERT_EQ(parsed.feed(std::string(1, c)), LP_OK);
	EXPECT_TRUE(parsed.parse.is_complete);
	EXPECT_STREQ(parsed.parse.target->str, "/a/b?c");
	EXPECT_STREQ(http_fields_get(&parsed.parse.fields, "HOST"), "h");
}

/* What two receivers may read in two ways is refused. */
TEST(HttpParse, RefusesWhatCanBeReadInTwoWays)
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
		Parsed parsed(HTTP_REQUEST);

		EXPECT_EQ(parsed.feed(text), LP_ERROR_BAD_REQUEST) << text;
	}
}

TEST(HttpParse, BoundsTheHead)
{
	Parsed parsed(HTTP_REQUEST);

	parsed.parse.head_bytes_max = 64;
	EXPECT_EQ(parsed.feed("GET / HTTP/1.1\r\nX: " + std::string(100, 'y')),
		  LP_ERROR_TOO_LARGE);
}

TEST(HttpParse, SkipsInterimAnswersAndTheirFields)
{
	Parsed parsed(HTTP_RESPONSE);

	ASSERT_EQ(parsed.feed("HTTP/1.1 103 Early\r\nX-Interim: 1\r\n\r\n"
			      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
		  LP_OK);
	EXPECT_TRUE(parsed.parse.is_complete);
	EXPECT_EQ(parsed.parse.parser.status_code, 200u);
	EXPECT_EQ(http_fields_get(&parsed.parse.fields, "X-Interim"), nullptr);
}

/* ---- the server ---- */

struct Served {
	http_server *server = nullptr;
	std::string address;
	std::function<void(http_call *)> answer;
	int refusals = 0;

	explicit Served(http_limits limits = { 1024, 1024, 0, 0 })
	{
		http_server_options options = {};
		int error;

		for (int port = 21300; !server && port < 21400; port++) {
			address = "127.0.0.1:" + std::to_string(port);
			options.address = address.c_str();
			options.clock = lp_clock_boot();
			options.limits = limits;
			options.request = [](void *self, http_call *call) {
				static_cast<Served *>(self)->answer(call);
			};
			options.refused = [](void *self, int, uint32_t) {
				static_cast<Served *>(self)->refusals++;
			};
			options.userdata = this;
			server = http_server_create(&options, &error);
		}
		answer = [](http_call *call) {
			http_call_answer(call, 200, nullptr, "ok", 2);
		};
	}
	~Served()
	{
		http_server_destroy(server);
	}
};

/* A bare connection that keeps what it hears. */
struct Raw {
	http_sock *sock;
	std::string heard;
	bool ended = false;
	int error = LP_OK;

	explicit Raw(const std::string &address)
	{
		static const http_sock_events events = {
			nullptr,
			[](void *self, const char *bytes, size_t size) {
				static_cast<Raw *>(self)->heard.append(bytes,
								       size);
			},
			[](void *self, int error) {
				static_cast<Raw *>(self)->ended = true;
				static_cast<Raw *>(self)->error = error;
			},
			nullptr,
		};

		sock = http_sock_connect(address.c_str(), &events, this);
	}
	~Raw()
	{
		if (sock)
			http_sock_abort(sock);
	}
	void say(const std::string &text)
	{
		http_sock_write(sock, text.data(), text.size());
	}
	bool hears(const std::string &text)
	{
		return turn_until(
			[&] { return heard.find(text) != std::string::npos; });
	}
	void leave()
	{
		http_sock_abort(sock);
		sock = nullptr;
	}
};

TEST(HttpServer, AnswersRequestsOfOneConnectionInTurn)
{
	Served served;
	Raw raw(served.address);

	served.answer = [](http_call *call) {
		const char *target = http_call_target(call);

		http_call_answer(call, 200, nullptr, target, strlen(target));
	};
	raw.say("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
		"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(raw.hears("/2"));
	EXPECT_LT(raw.heard.find("/1"), raw.heard.find("/2"));
	EXPECT_FALSE(raw.ended);
	EXPECT_EQ(http_server_busy_count(served.server), 0u);
}

TEST(HttpServer, RefusesWhatItCannotTake)
{
	const struct {
		const char *text;
		const char *status;
	} cases[] = {
		{ "GET / HTTP/1.1\nHost: h\n\n", " 400 " },
		{ "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n", " 413 " },
	};

	for (const auto &row : cases) {
		Served served;
		Raw raw(served.address);

		raw.say(row.text);
		raw.say(std::string(2000, 'x'));
		EXPECT_TRUE(raw.hears(row.status)) << row.text;
		EXPECT_EQ(served.refusals, 1);
	}
}

TEST(HttpServer, RefusesARequestThatDoesNotArrive)
{
	Served served({ 1024, 1024, 50000, 0 });
	Raw raw(served.address);

	raw.say("GET / HTTP/1.1\r\nHos");
	EXPECT_TRUE(raw.hears(" 408 "));
}

TEST(HttpServer, EndsConnectionsThatStayIdle)
{
	Served served({ 1024, 1024, 0, 50000 });
	Raw raw(served.address);

	EXPECT_TRUE(turn_until([&] { return raw.ended; }));
	EXPECT_EQ(raw.error, LP_OK);
}

TEST(HttpServer, TellsOfAClientThatLeavesWhileItWaits)
{
	Served served;
	Raw raw(served.address);
	bool asked = false;
	bool gone = false;

	served.answer = [&](http_call *call) {
		asked = true;
		http_call_set_disconnect_handler(
			call, [](void *flag) { *(bool *)flag = true; }, &gone);
	};
	raw.say("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(turn_until([&] { return asked; }));
	EXPECT_EQ(http_server_busy_count(served.server), 1u);
	raw.leave();
	EXPECT_TRUE(turn_until([&] { return gone; }));
	EXPECT_EQ(http_server_busy_count(served.server), 0u);
}

TEST(HttpServer, AnAnswerThatIsCutDoesNotLookComplete)
{
	Served served;
	Raw raw(served.address);

	served.answer = [](http_call *call) {
		http_call_start(call, 200, nullptr);
		http_call_write(call, "part", 4);
		http_call_abort(call);
	};
	raw.say("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(turn_until([&] { return raw.ended; }));
	EXPECT_NE(raw.heard.find("part"), std::string::npos);
	EXPECT_EQ(raw.heard.find("0\r\n\r\n"), std::string::npos);
}

TEST(HttpServer, DrainingEndsEachConnectionWithItsAnswer)
{
	Served served;
	Raw raw(served.address);

	http_server_drain(served.server);
	raw.say("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(turn_until([&] { return raw.ended; }));
	EXPECT_NE(raw.heard.find("Connection: close"), std::string::npos);
	EXPECT_NE(raw.heard.find("ok"), std::string::npos);
}

/* A closed connection was given two seconds to deliver its answer, also if its
 * client was reading all the time, and the server was said to be idle
 * meanwhile: an entry that ended cut the answer. */
TEST(HttpServer, AnAnswerIsOwedUntilASlowReaderHasIt)
{
	const std::string body(24000000, 'x');
	Served served;
	Raw raw(served.address);
	gint64 begun_us = g_get_monotonic_time();
	bool answered = false;

	http_server_drain(served.server);
	served.answer = [&](http_call *call) {
		http_call_answer(call, 200, nullptr, body.data(), body.size());
		answered = true;
	};
	raw.say("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(turn_until([&] { return answered; }));
	while (g_get_monotonic_time() - begun_us < 3 * G_USEC_PER_SEC) {
		size_t before = raw.heard.size();
		gint64 since_us = g_get_monotonic_time();

		http_sock_pause(raw.sock, false);
		turn_until([&] { return raw.heard.size() > before + 100000; });
		http_sock_pause(raw.sock, true);
		EXPECT_EQ(http_server_busy_count(served.server), 1u);
		turn_until([&] {
			return g_get_monotonic_time() - since_us > 50000;
		});
	}
	http_sock_pause(raw.sock, false);
	EXPECT_TRUE(turn_until([&] { return raw.ended; }));
	EXPECT_EQ(raw.error, LP_OK);
	EXPECT_GT(raw.heard.size(), body.size());
	EXPECT_EQ(http_server_busy_count(served.server), 0u);
}

/* What it has, connected and sent, before the server had a turn. */
static GSocket *call_at_once(const std::string &address)
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

/* An entry that ended reset the connections that waited for a turn. */
TEST(HttpServer, WhatHasConnectedIsAnsweredAlsoIfTheListenerCloses)
{
	Served served;
	std::vector<GSocket *> callers;
	size_t answered = 0;

	for (int i = 0; i < 200; i++)
		callers.push_back(call_at_once(served.address));
	http_server_stop_listening(served.server);
	for (GSocket *caller : callers) {
		char reply[64];

		turn_until([&] {
			return g_socket_condition_check(caller, G_IO_IN) != 0;
		});
		answered += g_socket_receive(caller, reply, sizeof(reply),
					     nullptr, nullptr) > 0;
		g_object_unref(caller);
	}
	EXPECT_EQ(answered, callers.size());
}

/* A reset would take with it an answer that its client has not read yet. */
TEST(HttpServer, ConnectionsThatOweNothingEndInOrderWithTheServer)
{
	auto served = std::make_unique<Served>();
	Raw raw(served->address);

	raw.say("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(raw.hears("ok"));
	served.reset();
	ASSERT_TRUE(turn_until([&] { return raw.ended; }));
	EXPECT_EQ(raw.error, LP_OK);
}

/* ---- the client ---- */

/* A server that says these bytes to whoever connects, then ends. Its threads
 * may outlive it, on a busy host: what they say is the service's, which they
 * hold. */
struct Script {
	struct Reply {
		std::string text;
		bool reset;
	};
	GSocketService *service = g_threaded_socket_service_new(4);
	std::string address;

	Script(std::string bytes, bool with_reset)
	{
		auto *reply = new Reply{ std::move(bytes), with_reset };
		guint16 port = g_socket_listener_add_any_inet_port(
			G_SOCKET_LISTENER(service), nullptr, nullptr);

		address = "127.0.0.1:" + std::to_string(port);
		g_signal_connect_data(service, "run", G_CALLBACK(on_incoming),
				      reply, free_reply, (GConnectFlags)0);
	}
	~Script()
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
		linger at_once = { 1, 0 };
		char request[4096];

		g_socket_receive(socket, request, sizeof(request), nullptr,
				 nullptr);
		g_socket_send(socket, reply->text.data(), reply->text.size(),
			      nullptr, nullptr);
		if (reply->reset)
			setsockopt(g_socket_get_fd(socket), SOL_SOCKET,
				   SO_LINGER, &at_once, sizeof(at_once));
		return FALSE;
	}
};

struct Exchange {
	http_exchange *exchange;
	uint32_t status = 0;
	std::string body;
	bool done = false;
	int error = LP_OK;
	bool sent = false;

	explicit Exchange(const std::string &address)
	{
		static const http_exchange_events events = {
			[](void *self, uint32_t status, const http_fields *) {
				static_cast<Exchange *>(self)->status = status;
			},
			[](void *self, const char *bytes, size_t size) {
				static_cast<Exchange *>(self)->body.append(
					bytes, size);
			},
			[](void *self, int error, bool sent) {
				auto *it = static_cast<Exchange *>(self);

				it->done = true;
				it->error = error;
				it->sent = sent;
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
			turn_until([&] { return done; });
	}
};

TEST(HttpClient, TakesWholeAnswersOnly)
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
		Script script(row.text, row.reset);
		Exchange exchange(script.address);

		EXPECT_TRUE(exchange.done) << row.text;
		EXPECT_EQ(exchange.error, row.error) << row.text;
		EXPECT_EQ(exchange.body, row.body) << row.text;
		EXPECT_TRUE(exchange.sent) << row.text;
	}
}

/* An answer without a length ends with its connection; a reset is no end. */
TEST(HttpClient, AResetDoesNotEndAnAnswer)
{
	Script script("HTTP/1.1 200 OK\r\n\r\nhalf", true);
	Exchange exchange(script.address);

	EXPECT_EQ(exchange.error, LP_ERROR_UPSTREAM_GONE);
}

TEST(HttpClient, NothingIsSentWhereNobodyListens)
{
	Exchange exchange("127.0.0.1:1");

	EXPECT_TRUE(
		!exchange.exchange ||
		(exchange.error == LP_ERROR_NOT_LISTENING && !exchange.sent));
}

} // namespace
