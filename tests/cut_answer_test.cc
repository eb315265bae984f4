/*
 * Answers that are none: cut off by a reset while the request is still being
 * written, or with a status that does not exist. No caller may take one for a
 * complete answer.
 */
#include "direct_rig.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace
{

const std::string large_body(8 << 20, 'x');
const char early_answer[] = "HTTP/1.1 200 OK\r\nContent-Type: "
			    "application/json\r\nX-Server-Seal: s\r\n"
			    "X-Attempt-Id: a1\r\n\r\n{\"part\":1}";

/* Answers each request after its head, and resets the connection. */
struct ResettingServer {
	std::string address;
	std::string answer;
	useconds_t reset_after_us;
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	std::thread thread;

	ResettingServer(const std::string &answer, useconds_t reset_after_us)
	    : answer(answer), reset_after_us(reset_after_us)
	{
		sockaddr_in at = {};
		socklen_t size = sizeof(at);

		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (bind(listener, (sockaddr *)&at, size) ||
		    listen(listener, 16) ||
		    getsockname(listener, (sockaddr *)&at, &size))
			abort();
		address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
		thread = std::thread([this] {
			for (int fd;
			     (fd = accept(listener, nullptr, nullptr)) >= 0;)
				serve(fd);
		});
	}
	~ResettingServer()
	{
		shutdown(listener, SHUT_RDWR);
		thread.join();
		close(listener);
	}
	void serve(int fd) const
	{
		const linger at_once = { 1, 0 };
		std::string head;
		char byte;

		while (head.find("\r\n\r\n") == std::string::npos &&
		       recv(fd, &byte, 1, 0) == 1)
			head += byte;
		send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
		usleep(reset_after_us);
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once,
			   sizeof(at_once));
		close(fd);
	}
	/* Lists it as an upstream of a service. */
	void join(pe *platform, const std::string &service) const
	{
		const std::string record =
			"{\"service\":\"" + service + "\",\"address\":\"" +
			address +
			"\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,"
			"\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":1}";

		pe_write(platform, ("raw-" + service).c_str(), record.data(),
			 record.size());
	}
};

/* An entry that takes large bodies, before one upstream of each service. */
struct CutRig : Rig {
	explicit CutRig(const ResettingServer &server)
	{
		g_autofree char *sample = pe_sample_config(2);
		std::string config = sample;
		const std::string limit = "\"max_body_bytes\":65536";

		config.replace(config.find(limit), limit.size(),
			       "\"max_body_bytes\":16777216");
		pe_set_config(platform, config.c_str());
		for (const char *service :
		     { "plain", "engine", "first", "second" })
			server.join(platform, service);
		settle();
	}
	/* Whether the caller has got what looks like a whole answer. */
	bool gets_success(const char *target, const std::string &body)
	{
		CallerRequest request(address, "a1", target,
				      { { "X-Pieces", "1,1" },
					{ "X-Piece-Key", "k1" },
					{ "X-Deadline-Ms", "2000" } },
				      body.c_str());

		request.wait();
		return request.error == LP_OK && request.status < 300;
	}
};

const char *const targets[] = { "/look/x", "/order/x", "/once/x", "/again/x",
				"/staged/x" };
const useconds_t resets_after_us[] = { 0, 1000, 30000 };

/* Guards against an answer that ends with its connection being taken for
 * complete when a reset ends it while the request is written. */
TEST(CutAnswer, EarlyOneWithoutLengthIsNotComplete)
{
	for (useconds_t reset_after_us : resets_after_us) {
		ResettingServer server(early_answer, reset_after_us);
		CutRig rig(server);

		for (const char *target : targets)
			for (const std::string &body :
			     { large_body, std::string("small") })
				EXPECT_FALSE(rig.gets_success(target, body))
					<< target << reset_after_us;
	}
}

/* Guards against statuses that do not exist reaching the caller as success. */
TEST(CutAnswer, StatusThatIsNoneIsNotPassedOn)
{
	for (const char *status : { "000", "0200", "600", "999" }) {
		std::string answer = early_answer;

		answer.replace(answer.find("200"), 3, status);
		answer.insert(answer.find("\r\n\r\n"),
			      "\r\nContent-Length: 10");
		ResettingServer server(answer, 30000);
		CutRig rig(server);

		for (const char *target : targets) {
			CallerRequest request(rig.address, "a1", target,
					      { { "X-Pieces", "1,1" },
						{ "X-Piece-Key", "k1" },
						{ "X-Deadline-Ms", "2000" } });

			request.wait();
			EXPECT_GE(request.status, 500u) << target << status;
			EXPECT_LE(request.status, 504u) << target << status;
			EXPECT_EQ(request.seal, "") << target << status;
		}
	}
}

struct StoreCall {
	bool done = false;
	int error = LP_OK;
	uint32_t status = 0;

	explicit StoreCall(const std::string &address)
	{
		store_http_options options = {};
		store_http_request request = {};
		const std::string url = "http://" + address + "/";

		options.connections = 1;
		store_http *http = store_http_create(&options);

		request.method = "POST";
		request.url = url.c_str();
		request.body = large_body.c_str();
		request.done = [](void *self, const store_http_answer *answer) {
			auto *call = static_cast<StoreCall *>(self);

			call->done = true;
			call->error = answer->error;
			call->status = answer->status;
		};
		request.userdata = this;
		store_http_send(http, &request);
		EXPECT_TRUE(run_loop_until([this] { return done; }));
		store_http_destroy(http);
	}
};

/* The same for calls of the key-value service. */
TEST(CutAnswer, OfTheServiceIsNotComplete)
{
	for (useconds_t reset_after_us : resets_after_us) {
		ResettingServer server(early_answer, reset_after_us);

		EXPECT_NE(StoreCall(server.address).error, LP_OK)
			<< reset_after_us;
	}
	for (const char *status : { "000", "0200", "2000" }) {
		std::string answer = early_answer;

		answer.replace(answer.find("200"), 3, status);
		answer.insert(answer.find("\r\n\r\n"),
			      "\r\nContent-Length: 10");
		ResettingServer server(answer, 30000);
		StoreCall call(server.address);

		EXPECT_TRUE(call.error != LP_OK || call.status != 200)
			<< status;
	}
}

} // namespace
