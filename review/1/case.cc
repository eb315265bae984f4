/**
 * Requesters of a stream stop reading for some seconds and go on, within the
 * time after which they would give up. The entries get SIGHUP meanwhile. Counts
 * the streams that the entry cut off although their server had not.
 */
#include "review/common/standin.h"

using namespace standin;

/* Of the sheet: its longest stream, and bounds. */
static const int EVENTS = 184;
static const int EVENT_BYTES = 270;
static const int TIMEOUT_MS = 15000;
static const int CONFIG_MS = 3000;
static const char bounds[] =
	"bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=4000\n"
	"bounds.ack_ms=6000\nbounds.catch_up_s=6\nbounds.drain_ms=3000\n"
	"bounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_ms=3000\n"
	"bounds.rollback_slack_ms=250\nbounds.outer_ms=6000\n"
	"bounds.retry_ratio=0.2\nbounds.retry_window_s=10\n"
	"bounds.retry_slack=80\nbounds.recovery_s=15\nbounds.pass_ms=200\n";

/* A requester gives up after a gap of four times the objective: 6,800 ms. */
static const int PAUSE_MS = 5000;
/* What its system holds of an answer that it hasn't read. */
static const int WINDOW_BYTES = 8192;
static const int REQUESTERS = 8;
static const int ROUNDS = 3;

static const std::vector<std::string> zones = { "gr-north-a", "gr-north-b" };

struct Stream {
	std::string id;
	int64_t sent_ms;
	int runs = 0;
	bool whole = false; /* the server wrote all of it */
};

static std::mutex streams_mutex;
static std::map<std::string, Stream> streams;
static std::atomic<int> lost{ 0 };
static std::atomic<int> whole{ 0 };
static std::atomic<int> other{ 0 };

static std::string event_of(int number)
{
	std::string text = "id: " + std::to_string(number) + "\ndata: ";

	text.resize((size_t)EVENT_BYTES - 2, 'x');
	return text + "\n\n";
}

static std::string expected_body()
{
	std::string text;

	for (int i = 1; i <= EVENTS; i++)
		text += event_of(i);
	return text;
}

static std::string run_stream(const Server &server, const Message &request,
			      int fd)
{
	std::string id = request.field("x-attempt-id");
	bool sound;

	{
		std::lock_guard<std::mutex> lock(streams_mutex);
		streams[id].runs++;
	}
	record("server %s begins the stream of %s", server.id.c_str(),
	       id.c_str());
	sound = send_all(
		fd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
			    "\r\nX-Server-Seal: s." + server.id + "." + id +
			    "\r\nX-Weight-Versions: 1\r\nContent-Type: "
			    "text/event-stream\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n");
	for (int i = 1; sound && i <= EVENTS; i++) {
		std::string event = event_of(i);
		char size[16];

		snprintf(size, sizeof(size), "%zx\r\n", event.size());
		sound = send_all(fd, size + event + "\r\n");
		std::this_thread::sleep_for(std::chrono::milliseconds(10));
	}
	sound = sound && send_all(fd, "0\r\n\r\n");
	record("server %s: the stream of %s %s", server.id.c_str(), id.c_str(),
	       sound ? "is written" : "was cut off by the entry");
	std::lock_guard<std::mutex> lock(streams_mutex);
	streams[id].whole = sound;
	return "";
}

static std::string answer_json(const std::string &body)
{
	return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	       "Content-Length: " +
	       std::to_string(body.size()) + "\r\n\r\n" + body;
}

static std::string serve_request(const Server &server, const Message &request,
				 int fd)
{
	std::string target = request.target();

	if (target.compare(0, 17, "/linepier/kv-list") == 0)
		return answer_json("{\"epoch\":1,\"next\":1,\"held\":[]}");
	if (target.compare(0, 16, "/linepier/report") == 0)
		return answer_json(
			"{\"stage\":\"both\",\"models\":[{\"name\":\"m\","
			"\"version\":1,\"adapters\":[]}],\"busy\":false,"
			"\"seq_no\":0,\"waiting\":0,\"running\":0,"
			"\"kv_used\":0,\"kv_total\":271031,\"handles\":0}");
	return run_stream(server, request, fd);
}

static void ask(Requester &requester, const Entry &entry, int number,
		Reading reading, bool is_judged)
{
	std::string id = next_attempt();
	int64_t sent_ms = now_ms();
	Answer answer;
	std::string prefix = id.substr(8);

	answer = requester.call(
		"POST /quote-chat/" + std::to_string(number) +
			" HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
			"\r\nX-Model: m\r\nX-Token-Counts: 1460,920\r\n"
			"X-Prompt-Prefix: 5c1e07a2:103," +
			prefix +
			":612\r\nX-Deadline-Ms: " + std::to_string(TIMEOUT_MS) +
			"\r\nAuthorization: Bearer key-1\r\n"
			"Content-Length: 5\r\n\r\nquote",
		sent_ms + TIMEOUT_MS + 1000, reading);
	if (!is_judged)
		return;
	record("requester %d at %s: %s sent at %lld ms: %d, %zu of %d bytes, "
	       "%s after %lld ms",
	       number, entry.name.c_str(), id.c_str(), (long long)sent_ms,
	       answer.status, answer.body.size(), EVENTS * EVENT_BYTES,
	       answer.complete ? "complete"
	       : answer.closed ? "cut off"
			       : "unanswered",
	       (long long)(now_ms() - sent_ms));
	if (answer.complete && answer.body == expected_body())
		whole++;
	else if (answer.status == 200 && answer.closed &&
		 now_ms() - sent_ms < TIMEOUT_MS - 1000)
		lost++;
	else
		other++;
}

/* Keeps one channel: a stream that is read at once, then the judged one. */
static void run_requester(const Entry &entry, int number, int64_t ask_at_ms)
{
	Requester requester;
	Reading reading;

	if (has_trouble())
		reading = { EVENT_BYTES * 10, PAUSE_MS };
	if (!requester.connect_to(entry.front, WINDOW_BYTES)) {
		other++;
		return;
	}
	ask(requester, entry, number, {}, false);
	sleep_until(ask_at_ms);
	if (requester.channel.fd < 0 &&
	    !requester.connect_to(entry.front, WINDOW_BYTES)) {
		other++;
		return;
	}
	ask(requester, entry, number, reading, true);
}

int main(int argc, char **argv)
{
	static Store store;
	static std::vector<std::unique_ptr<Server>> servers;

	if (argc < 2)
		return 2;
	begin(argv[1], 110);
	store.start({ "127.0.0.1", free_port({ "127.0.0.1" }) });
	for (int i = 0; i < 4; i++) {
		auto server = std::make_unique<Server>();
		Server *raw = server.get();

		server->id = "i-" + std::to_string(2000 + i);
		server->service = "linepier-llm";
		server->zone = zones[i % 2];
		server->start({ "127.0.0.1", free_port({ "127.0.0.1" }) },
			      [raw](const Message &request, int fd) {
				      return serve_request(*raw, request, fd);
			      });
		server->beat(store);
		servers.push_back(std::move(server));
	}
	std::thread([] {
		for (;;) {
			std::this_thread::sleep_for(
				std::chrono::milliseconds(1200));
			for (auto &server : servers)
				server->beat(store);
		}
	}).detach();
	store.put("op/config",
		  "{\"version\":7,\"routes\":[{\"name\":\"quote-chat\","
		  "\"host\":\"a.example\",\"prefix\":\"/quote-chat/\","
		  "\"kind\":\"streaming\",\"timeout_ms\":15000,"
		  "\"target_latency_ms\":1700,\"target_gap_ms\":400,"
		  "\"priority\":2,\"service\":\"linepier-llm\","
		  "\"max_attempts\":1,\"use_affinity\":true,"
		  "\"resume_streams\":false}],"
		  "\"services\":[{\"name\":\"linepier-llm\","
		  "\"engine\":{\"slots\":128,\"kv_capacity\":271031}}],"
		  "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-1\"]}],"
		  "\"limits\":{\"max_header_bytes\":16384,"
		  "\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,"
		  "\"idle_timeout_ms\":30000}}");
	add_entries(zones, zones, store, bounds);
	start_entries();
	/* In touch: nothing was started in the last contact_ms. */
	sleep_until(now_ms() + 5000);

	for (int round = 0; round < ROUNDS; round++) {
		int64_t hup_ms = now_ms() + 5000;
		std::vector<std::thread> requesters;

		for (int i = 0; i < REQUESTERS; i++)
			requesters.emplace_back(
				run_requester,
				std::cref(*all_entries()[i % zones.size()]), i,
				hup_ms + 200 + 100 * i);
		sleep_until(hup_ms);
		for (auto &entry : all_entries()) {
			kill(entry->pid, SIGHUP);
			record("SIGHUP to %s; requests sent in the next %d ms "
			       "count",
			       entry->name.c_str(), CONFIG_MS);
		}
		for (std::thread &requester : requesters)
			requester.join();
	}
	for (auto &entry : all_entries())
		if (entry->has_ended()) {
			record("%s ended by itself", entry->name.c_str());
			finish(2);
		}
	record("streams read to their end: %d, cut off by the entry: %d, "
	       "others: %d",
	       whole.load(), lost.load(), other.load());
	record("LOST: %d requests were read and passed on to a server, and "
	       "their channel ended without a complete answer",
	       lost.load());
	if (other || whole + lost != REQUESTERS * ROUNDS)
		finish(2);
	finish(lost ? 1 : 0);
}
