/*
 * A planned stop of the process linepier-platformd in calm: callers go on to
 * send, on new and on kept connections, until the process is gone.
 */
#include "entry_process.h"

#include <memory>

namespace
{

const int64_t grace_ms = 8000;

/* A connection on which one request is sent after the other. */
struct Channel {
	http_sock *sock;
	std::string received;
	bool ended = false;

	explicit Channel(const std::string &address)
	{
		static const http_sock_events events = {
			nullptr,
			[](void *self, const char *bytes, size_t size) {
				static_cast<Channel *>(self)->received.append(
					bytes, size);
			},
			[](void *self, int) {
				static_cast<Channel *>(self)->ended = true;
			},
			nullptr,
		};

		sock = http_sock_connect(address.c_str(), &events, this);
	}
	~Channel()
	{
		http_sock_abort(sock);
	}
	Channel(const Channel &) = delete;
	void send(const std::string &text)
	{
		received.clear();
		http_sock_write(sock, text.data(), text.size());
	}
	int status() const
	{
		return received.size() > 12 ? atoi(&received[9]) : 0;
	}
	/* Whether an answer has come whole. */
	bool is_answered() const
	{
		const std::string length = "Content-Length: ";
		size_t head_end = received.find("\r\n\r\n");
		size_t at = received.find(length);

		if (head_end == std::string::npos)
			return false;
		if (at == std::string::npos || at > head_end)
			return received.find("\r\n0\r\n\r\n") !=
			       std::string::npos;
		return received.size() >=
		       head_end + 4 +
			       (size_t)atoi(&received[at + length.size()]);
	}
};

struct Request {
	std::string id;
	std::string target;
	int64_t sent_us; /* after SIGTERM */
	std::shared_ptr<Channel> channel;
	int status = 0;
	bool answered = false;
};

struct PlannedStop {
	pe *platform = pe_create();
	std::unique_ptr<EntryProcess> process;
	std::vector<Request> requests;
	int64_t term_us = 0;

	~PlannedStop()
	{
		process.reset();
		pe_destroy(platform);
	}
	void add_upstreams(uint32_t work_ms)
	{
		for (int i = 0; i < 30; i++) {
			pe_set_work_ms(pe_add(platform, PE_PLAIN, "plain", "a"),
				       i % 2 ? work_ms : 5);
			pe_set_work_ms(
				pe_add(platform, PE_ENGINE, "engine", "a"),
				i % 2 ? work_ms : 5);
		}
	}
	void send(std::shared_ptr<Channel> channel, const std::string &target,
		  int deadline_ms)
	{
		Request request = { "r" + std::to_string(requests.size()),
				    target, g_get_monotonic_time() - term_us,
				    channel };

		channel->send("POST " + target +
			      " HTTP/1.1\r\nHost: a.example\r\n"
			      "Authorization: Bearer key-always\r\n"
			      "X-Attempt-Id: " +
			      request.id + "\r\nX-Deadline-Ms: " +
			      std::to_string(deadline_ms) +
			      "\r\nContent-Length: 2\r\n\r\nhi");
		requests.push_back(request);
	}
	void note_answers()
	{
		for (auto &request : requests) {
			if (request.answered || !request.channel ||
			    !request.channel->is_answered())
				continue;
			request.answered = true;
			request.status = request.channel->status();
			request.channel = nullptr;
		}
	}
	bool is_busy(const std::shared_ptr<Channel> &channel) const
	{
		for (const auto &request : requests)
			if (request.channel == channel)
				return true;
		return false;
	}
	void start()
	{
		g_autofree char *config = pe_sample_config(1);

		pe_set_config(platform, config);
		process = std::make_unique<EntryProcess>(platform, 0, "");
		process->wait_until_served();
	}
	/* `probes`: the balancer sees that the entry is not ready. */
	void play(bool probes)
	{
		const char *const targets[] = { "/look/x", "/order/x",
						"/once/x" };
		const int deadlines_ms[] = { 800, 4000, 8000 };
		std::vector<std::shared_ptr<Channel>> kept;
		std::shared_ptr<Channel> probe;
		int number = 0;

		for (int i = 0; i < 9; i++)
			kept.push_back(
				std::make_shared<Channel>(process->front));
		run_loop_until([] { return false; }, 100);
		term_us = g_get_monotonic_time();
		kill(process->pid, SIGTERM);
		while (!process->has_exited()) {
			const char *target = targets[number % 3];
			int deadline_ms = deadlines_ms[number / 3 % 3];
			auto &channel = kept[number % 9];

			if (probes && number % 20 == 0) {
				probe = std::make_shared<Channel>(
					process->address_at(1));
				probe->send("GET /linepier/readiness HTTP/1.1"
					    "\r\nHost: a\r\n\r\n");
			}
			if (channel->ended)
				channel = std::make_shared<Channel>(
					process->front);
			if (!is_busy(channel))
				send(channel, target, deadline_ms);
			send(std::make_shared<Channel>(process->front), target,
			     deadline_ms);
			number++;
			run_loop_until([] { return false; }, 50);
			note_answers();
			ASSERT_LT(g_get_monotonic_time() - term_us,
				  (grace_ms + 500) * 1000);
		}
		run_loop_until([] { return false; }, 100);
		note_answers();
	}
	void check()
	{
		int answered = 0;

		for (const auto &request : requests) {
			uint32_t runs = pe_runs(platform, request.id.c_str());

			SCOPED_TRACE(request.id + " " + request.target + " " +
				     std::to_string(request.sent_us / 1000));
			EXPECT_TRUE(request.answered || !runs);
			if (request.status == 503) {
				EXPECT_EQ(runs, 0u);
			}
			if (request.target == "/order/x") {
				EXPECT_LE(runs, 1u);
			}
			answered += request.status == 200;
		}
		EXPECT_GE(answered, 20);
	}
};

/* Guards against requests that are passed on late in the grace time and cut at
 * its end without an answer, among them some that may not be repeated. */
TEST(PlannedStop, AnswersOrRefusesWhatComesThroughTheGraceTime)
{
	for (uint32_t work_ms : { 5u, 600u, 3000u })
		for (bool probes : { false, true }) {
			PlannedStop stop;

			SCOPED_TRACE(testing::Message()
				     << work_ms << " ms, " << probes);
			stop.add_upstreams(work_ms);
			stop.start();
			stop.play(probes);
			stop.check();
		}
}

} // namespace
