/* Peers that are there but slow, and peers that are gone, in each state of a
 * connection, over real sockets. */
#include "direct_rig.h"
#include "slow_peer.h"

#include <memory>

namespace
{

/* Longer than the time after which a silent peer is gone. */
const int64_t PAUSE_MS = 5000;
/* A peer that is gone is noticed within this time, as with TCP_USER_TIMEOUT of
 * three seconds: its first unanswered segment may leave a second later. */
const int64_t NOTICE_MS = 4500;
/* More than a peer's window, less than what the system buffers ... */
const size_t SMALL_BYTES = 50000;
/* ... and more than that. */
const size_t LARGE_BYTES = 8 << 20;

const char request_text[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/* What a server or client reported of a connection. */
struct Deliveries {
	int count[HTTP_DELIVERY_STATES] = {};
	int64_t reported_us[HTTP_DELIVERY_STATES] = {};

	void add(const http_delivery *delivery)
	{
		count[delivery->state]++;
		reported_us[delivery->state] = g_get_monotonic_time();
	}
};

/* How a server ends an answer. */
enum class Answer {
	WHOLE,	   /* with its length, the connection is kept */
	CLOSED,	   /* with its length, the connection is closed */
	STREAM,	   /* in chunks that come for a second */
	UNFINISHED /* in chunks, without the last one */
};

struct Server {
	http_server *server = nullptr;
	std::string address;
	std::string body;
	Answer answer;
	int64_t deadline_us = 0; /* after the request */
	http_call *call = nullptr;
	bool client_gone = false;
	int64_t gone_us = 0;
	Deliveries deliveries;

	Server(Answer answer, size_t size, http_limits limits = {})
	    : body(size, 'x'), answer(answer)
	{
		http_server_options options = {};
		int error;

		options.clock = lp_clock_boot();
		options.limits = limits;
		options.request = [](void *self, http_call *call) {
			static_cast<Server *>(self)->handle(call);
		};
		options.delivery = [](void *self, const char *,
				      const http_delivery *delivery) {
			static_cast<Server *>(self)->deliveries.add(delivery);
		};
		options.userdata = this;
		for (int port = 21300; !server && port < 21400; port++) {
			address = "127.0.0.1:" + std::to_string(port);
			options.address = address.c_str();
			server = http_server_create(&options, &error);
		}
		if (answer == Answer::CLOSED)
			http_server_drain(server);
	}
	~Server()
	{
		http_server_destroy(server);
	}
	void handle(http_call *received)
	{
		call = received;
		if (deadline_us)
			http_call_set_deadline(
				call, lp_now_us(lp_clock_boot()) + deadline_us);
		http_call_set_disconnect_handler(
			call,
			[](void *self) {
				auto *server = static_cast<Server *>(self);

				server->client_gone = true;
				server->gone_us = g_get_monotonic_time();
			},
			this);
		if (answer == Answer::WHOLE || answer == Answer::CLOSED) {
			http_call_answer(call, 200, nullptr, body.data(),
					 body.size());
			return;
		}
		http_call_start(call, 200, nullptr);
		http_call_write(call, body.data(), body.size() / 2);
		if (answer == Answer::STREAM)
			g_timeout_add(1000, finish, this);
	}
	static gboolean finish(gpointer self)
	{
		auto *server = static_cast<Server *>(self);
		size_t half = server->body.size() / 2;

		if (server->client_gone)
			return G_SOURCE_REMOVE;
		http_call_write(server->call, server->body.data() + half,
				server->body.size() - half);
		http_call_finish(server->call);
		return G_SOURCE_REMOVE;
	}
	bool becomes_idle()
	{
		return run_loop_until(
			[this] { return !http_server_busy_count(server); });
	}
};

struct ServerAndCaller {
	Server server;
	SlowPeer caller;

	ServerAndCaller(Answer answer, size_t size, http_limits limits = {})
	    : server(answer, size, limits), caller(server.address)
	{
	}
};

/* ---- callers ---- */

/* A caller that read nothing for three seconds was reset with its answer
 * undelivered, although it acknowledged each probe of its closed window. */
TEST(SlowPeer, CallerThatPausesGetsItsWholeAnswer)
{
	std::vector<std::unique_ptr<ServerAndCaller>> pairs;

	for (Answer answer : { Answer::WHOLE, Answer::CLOSED, Answer::STREAM })
		for (size_t size : { SMALL_BYTES, LARGE_BYTES })
			pairs.push_back(std::make_unique<ServerAndCaller>(
				answer, size));
	for (auto &pair : pairs)
		pair->caller.send(request_text);
	run_loop_for(PAUSE_MS);
	for (auto &pair : pairs) {
		Server &server = pair->server;
		SlowPeer &caller = pair->caller;

		EXPECT_TRUE(caller.read_all(server.body.size()));
		EXPECT_EQ(caller.error, 0);
		EXPECT_EQ(server.deliveries.count[HTTP_DELIVERY_SLOW], 1);
		EXPECT_EQ(server.deliveries.count[HTTP_DELIVERY_GONE], 0);
		EXPECT_TRUE(server.becomes_idle());
	}
}

/* A window that shrinks leaves bytes in flight, which are sent again at longer
 * and longer intervals: the caller seemed silent between two of them. */
TEST(SlowPeer, CallerWhoseWindowShrinksGetsItsWholeAnswer)
{
	Server server(Answer::CLOSED, 200000);
	std::vector<std::unique_ptr<SlowPeer>> callers;

	for (int i = 0; i < 4; i++) {
		callers.push_back(
			std::make_unique<SlowPeer>(server.address, true));
		callers.back()->send(request_text);
		run_loop_for(100);
		callers.back()->read_some(16384);
	}
	run_loop_for(PAUSE_MS);
	for (auto &caller : callers) {
		run_loop_until(
			[&] {
				caller->read_some(16384);
				return caller->x_count >= 200000 ||
				       caller->ended;
			},
			20000);
		EXPECT_EQ(caller->x_count, 200000u);
		EXPECT_EQ(caller->error, 0);
	}
}

/* The idle timeout ran while a caller was still reading its answer, and closed
 * its connection. */
TEST(SlowPeer, CallerThatReadsIsNotIdle)
{
	http_limits limits = {};

	limits.idle_us = 1 * LP_US_PER_S;
	for (size_t size : { SMALL_BYTES, LARGE_BYTES }) {
		ServerAndCaller pair(Answer::WHOLE, size, limits);
		SlowPeer &caller = pair.caller;

		pair.server.deadline_us = 20 * LP_US_PER_S;
		caller.send(request_text);
		run_loop_for(3000);
		EXPECT_TRUE(caller.read_all(size));
		EXPECT_FALSE(caller.ended);
		/* It is idle from now on. */
		EXPECT_TRUE(run_loop_until([&] {
			caller.read_some();
			return caller.ended;
		}));
	}
}

/* The system of an entry that had ended gave a caller up while it paused,
 * without a word. */
TEST(SlowPeer, AnswerInTheSystemOutlivesItsServer)
{
	auto server = std::make_unique<Server>(Answer::WHOLE, SMALL_BYTES);
	SlowPeer caller(server->address);

	caller.send(request_text);
	run_loop_for(2500);
	server.reset();
	run_loop_for(8000);
	EXPECT_TRUE(caller.read_all(SMALL_BYTES));
	EXPECT_EQ(caller.error, 0);
}

/* Without a time limit a caller that never reads would hold its answer for
 * ever. */
TEST(SlowPeer, DeadlineEndsAnAnswerThatIsNotRead)
{
	for (Answer answer : { Answer::WHOLE, Answer::CLOSED }) {
		Server server(answer, LARGE_BYTES);
		SlowPeer caller(server.address);
		gint64 begun_us = g_get_monotonic_time();

		server.deadline_us = 2 * LP_US_PER_S;
		caller.send(request_text);
		EXPECT_TRUE(run_loop_until([&] {
			return server.deliveries
				       .count[HTTP_DELIVERY_DEADLINE] == 1;
		}));
		EXPECT_GE(g_get_monotonic_time() - begun_us, 1900000);
		EXPECT_LE(g_get_monotonic_time() - begun_us, 3000000);
		EXPECT_EQ(server.deliveries.count[HTTP_DELIVERY_GONE], 0);
		EXPECT_TRUE(server.becomes_idle());
	}
}

/* A caller that is cut off must be noticed as soon as with TCP_USER_TIMEOUT,
 * with its window open or closed, whatever the connection does. */
TEST(SlowPeer, SilentCallerIsGone)
{
	const struct {
		Answer answer;
		size_t size;
		int64_t silent_after_ms;
	} rows[] = {
		{ Answer::WHOLE, LARGE_BYTES, 0 },
		{ Answer::UNFINISHED, SMALL_BYTES, 500 },
		{ Answer::UNFINISHED, SMALL_BYTES, 2200 },
		{ Answer::WHOLE, LARGE_BYTES, 2200 },
		{ Answer::CLOSED, LARGE_BYTES, 2200 },
		{ Answer::CLOSED, SMALL_BYTES, 2200 },
		{ Answer::UNFINISHED, LARGE_BYTES, 6000 },
	};
	std::vector<std::unique_ptr<ServerAndCaller>> pairs;
	std::vector<gint64> silent_us;
	int64_t waited_ms = 0;

	for (const auto &row : rows) {
		pairs.push_back(std::make_unique<ServerAndCaller>(row.answer,
								  row.size));
		pairs.back()->caller.send(request_text);
	}
	for (size_t i = 0; i < pairs.size(); i++) {
		run_loop_until([&] { return pairs[i]->server.call; });
		run_loop_for(rows[i].silent_after_ms - waited_ms);
		waited_ms = rows[i].silent_after_ms;
		pairs[i]->caller.fall_silent();
		silent_us.push_back(g_get_monotonic_time());
	}
	for (size_t i = 0; i < pairs.size(); i++) {
		const Deliveries &deliveries = pairs[i]->server.deliveries;

		EXPECT_TRUE(run_loop_until([&] {
			return deliveries.count[HTTP_DELIVERY_GONE] == 1;
		})) << i;
		EXPECT_LE(deliveries.reported_us[HTTP_DELIVERY_GONE] -
				  silent_us[i],
			  NOTICE_MS * 1000)
			<< i;
		EXPECT_TRUE(pairs[i]->server.becomes_idle()) << i;
	}
}

/* The same for a caller that is silent before anything is sent to it. */
TEST(SlowPeer, SilentCallerIsGoneOnceItIsWrittenTo)
{
	Server server(Answer::UNFINISHED, 2);
	SlowPeer caller(server.address);
	gint64 silent_us;

	caller.send(request_text);
	run_loop_until([&] { return server.call; });
	run_loop_for(1500);
	caller.fall_silent();
	http_call_write(server.call, "more", 4);
	silent_us = g_get_monotonic_time();
	EXPECT_TRUE(run_loop_until([&] { return server.client_gone; }));
	EXPECT_LE(g_get_monotonic_time() - silent_us, NOTICE_MS * 1000);
	EXPECT_EQ(server.deliveries.count[HTTP_DELIVERY_GONE], 1);
	EXPECT_EQ(server.deliveries.count[HTTP_DELIVERY_SLOW], 0);
}

/* A caller whose window is closed and that resets its connection must be
 * noticed at once. */
TEST(SlowPeer, CallerThatResetsIsGoneAtOnce)
{
	for (int64_t after_ms : { 0, 2000, 5000 }) {
		Server server(Answer::UNFINISHED, LARGE_BYTES);
		SlowPeer caller(server.address);
		gint64 reset_us;

		caller.send(request_text);
		run_loop_until([&] { return server.call; });
		run_loop_for(after_ms);
		reset_us = g_get_monotonic_time();
		caller.reset();
		EXPECT_TRUE(run_loop_until([&] { return server.client_gone; }));
		EXPECT_LE(server.gone_us - reset_us, 200000);
		EXPECT_EQ(server.deliveries.count[HTTP_DELIVERY_GONE], 1);
	}
}

/* A closed connection spun on the hang-up of a caller that had shut its side
 * down, or dropped what the caller had not read. */
TEST(SlowPeer, CallerThatHasShutItsSideDownGetsItsWholeAnswer)
{
	Server server(Answer::CLOSED, SMALL_BYTES);
	SlowPeer caller(server.address);
	uint32_t turns = 0;

	caller.send(request_text);
	run_loop_until([&] { return server.call; });
	shutdown(caller.fd, SHUT_WR);
	run_loop_until(
		[&] {
			turns++;
			return false;
		},
		PAUSE_MS);
	EXPECT_LE(turns, PAUSE_MS / 5 + 200);
	EXPECT_TRUE(run_loop_until([&] {
		caller.read_some();
		return caller.ended;
	}));
	EXPECT_EQ(caller.x_count, SMALL_BYTES);
	EXPECT_EQ(caller.error, 0);
}

/* ---- upstreams ---- */

/* An exchange whose request is larger than what the system buffers. */
struct Exchange {
	http_exchange *exchange = nullptr;
	std::string body;
	uint32_t status = 0;
	bool done = false;
	int error = LP_OK;
	Deliveries deliveries;

	Exchange(const std::string &address, size_t size) : body(size, 'x')
	{
		static const http_exchange_events events = {
			[](void *self, uint32_t status, const http_fields *) {
				static_cast<Exchange *>(self)->status = status;
			},
			[](void *, const char *, size_t) {},
			[](void *self, int error, bool) {
				auto *exchange = static_cast<Exchange *>(self);

				exchange->done = true;
				exchange->error = error;
			},
		};
		http_exchange_options options = {};
		http_fields fields;

		http_fields_init(&fields);
		options.address = address.c_str();
		options.method = "POST";
		options.target = "/";
		options.fields = &fields;
		options.body = body.data();
		options.body_size = body.size();
		options.has_body = true;
		options.connect_timeout_us = 1000000;
		options.events = &events;
		options.delivery = [](void *self,
				      const http_delivery *delivery) {
			static_cast<Exchange *>(self)->deliveries.add(delivery);
		};
		options.userdata = this;
		exchange = http_exchange_start(&options);
		http_fields_clear(&fields);
	}
	~Exchange()
	{
		if (!done)
			http_exchange_cancel(exchange);
	}
};

struct ExchangeAndUpstream {
	SlowListener listener;
	Exchange exchange;
	std::unique_ptr<SlowPeer> upstream;

	explicit ExchangeAndUpstream(size_t size)
	    : exchange(listener.address, size)
	{
		EXPECT_TRUE(run_loop_until(
			[this] { return listener.accept_into(upstream); }));
	}
};

/* An upstream that read nothing of a body for three seconds was reset. */
TEST(SlowPeer, UpstreamThatPausesGetsTheWholeBody)
{
	ExchangeAndUpstream small(SMALL_BYTES);
	ExchangeAndUpstream large(LARGE_BYTES);

	run_loop_for(PAUSE_MS);
	for (ExchangeAndUpstream *pair : { &small, &large }) {
		Exchange &exchange = pair->exchange;

		EXPECT_FALSE(exchange.done);
		ASSERT_TRUE(pair->upstream->read_all(exchange.body.size()));
		EXPECT_EQ(exchange.deliveries.count[HTTP_DELIVERY_SLOW], 1);
		EXPECT_EQ(exchange.deliveries.count[HTTP_DELIVERY_GONE], 0);
		pair->upstream->send(
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
		EXPECT_TRUE(run_loop_until([&] { return exchange.done; }));
		EXPECT_EQ(exchange.error, LP_OK);
	}
}

/* An upstream that is cut off must be noticed while it has not taken its
 * request, with its window open or closed. */
TEST(SlowPeer, SilentUpstreamIsGone)
{
	for (int64_t after_ms : { 0, 2200 }) {
		ExchangeAndUpstream pair(LARGE_BYTES);
		Exchange &exchange = pair.exchange;
		gint64 silent_us;

		run_loop_for(after_ms);
		pair.upstream->fall_silent();
		silent_us = g_get_monotonic_time();
		EXPECT_TRUE(run_loop_until([&] { return exchange.done; }));
		EXPECT_LE(g_get_monotonic_time() - silent_us, NOTICE_MS * 1000);
		EXPECT_EQ(exchange.error, LP_ERROR_UPSTREAM_GONE);
		EXPECT_EQ(exchange.deliveries.count[HTTP_DELIVERY_GONE], 1);
	}
}

/* A failed send took the error of the connection, and the end that was read
 * after it seemed to be in order: an answer without a length counted as whole.
 */
TEST(SlowPeer, ResetWhileTheRequestIsSentDoesNotCompleteAnAnswer)
{
	ExchangeAndUpstream pair(LARGE_BYTES);
	Exchange &exchange = pair.exchange;

	run_loop_for(100);
	pair.upstream->send("HTTP/1.1 200 OK\r\n\r\npart");
	EXPECT_TRUE(run_loop_until([&] { return exchange.status == 200; }));
	pair.upstream->reset();
	EXPECT_TRUE(run_loop_until([&] { return exchange.done; }));
	EXPECT_EQ(exchange.error, LP_ERROR_UPSTREAM_GONE);
}

} // namespace
