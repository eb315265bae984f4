/**
 * Stand-ins of the platform for the scripts of this review: its key-value
 * service, plain servers that register there, requesters, and the operator; and
 * the entries as processes. Everything is on loopback and on the real clock.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standin
{

/* ---- time, record ---- */

inline int64_t now_ms()
{
	static const auto began = std::chrono::steady_clock::now();

	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now() - began)
		.count();
}

inline void sleep_until(int64_t at_ms)
{
	int64_t left_ms = at_ms - now_ms();

	if (left_ms > 0)
		std::this_thread::sleep_for(std::chrono::milliseconds(left_ms));
}

struct Record {
	std::mutex mutex;
	FILE *file = nullptr;
};

inline Record &the_record()
{
	static Record record;

	return record;
}

inline void record_open(const char *path)
{
	the_record().file = fopen(path, "w");
	if (!the_record().file) {
		perror(path);
		_exit(2);
	}
	setvbuf(the_record().file, nullptr, _IOLBF, 0);
}

__attribute__((format(printf, 1, 2))) inline void record(const char *format,
							 ...)
{
	std::lock_guard<std::mutex> lock(the_record().mutex);
	va_list args;

	fprintf(the_record().file, "%7lld ms  ", (long long)now_ms());
	va_start(args, format);
	vfprintf(the_record().file, format, args);
	va_end(args);
	fputc('\n', the_record().file);
}

/* ---- sockets ---- */

struct Address {
	std::string ip;
	int port = 0;

	std::string text() const
	{
		return ip + ":" + std::to_string(port);
	}
	sockaddr_in in() const
	{
		sockaddr_in address = {};

		address.sin_family = AF_INET;
		address.sin_port = htons((uint16_t)port);
		inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
		return address;
	}
};

inline int open_listener(const Address &at)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sockaddr_in address = at.in();
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 256)) {
		close(fd);
		return -1;
	}
	return fd;
}

/* A port that is free now on each of these addresses, for TCP and UDP. */
inline int free_port(const std::vector<std::string> &ips)
{
	static std::set<int> given;

	for (int tries = 0; tries < 500; tries++) {
		int port = 12000 + (int)(((unsigned)getpid() * 131 +
					  (unsigned)tries * 17) %
					 8000);
		bool is_free = !given.count(port);

		for (const std::string &ip : ips) {
			for (int type : { SOCK_STREAM, SOCK_DGRAM }) {
				Address at{ ip, port };
				sockaddr_in address = at.in();
				int fd =
					socket(AF_INET, type | SOCK_CLOEXEC, 0);

				is_free = is_free &&
					  !bind(fd, (sockaddr *)&address,
						sizeof(address));
				close(fd);
			}
		}
		if (!is_free)
			continue;
		given.insert(port);
		return port;
	}
	fprintf(stderr, "no free port\n");
	_exit(2);
}

inline bool send_all(int fd, const std::string &text)
{
	size_t done = 0;

	while (done < text.size()) {
		ssize_t size = send(fd, text.data() + done, text.size() - done,
				    MSG_NOSIGNAL);

		if (size < 0 && errno == EINTR)
			continue;
		if (size <= 0)
			return false;
		done += (size_t)size;
	}
	return true;
}

/* ---- HTTP ---- */

struct Message {
	std::string first_line;
	std::map<std::string, std::string> fields; /* names in lower case */
	std::string body;

	std::string field(const std::string &name) const
	{
		auto found = fields.find(name);

		return found == fields.end() ? "" : found->second;
	}
	/* Of a request: its second word. */
	std::string target() const
	{
		size_t start = first_line.find(' ') + 1;

		return first_line.substr(start,
					 first_line.find(' ', start) - start);
	}
	int status() const
	{
		return first_line.size() > 12 ? atoi(first_line.c_str() + 9)
					      : 0;
	}
};

inline std::string lower(std::string text)
{
	for (char &c : text)
		c = (char)tolower(c);
	return text;
}

inline bool parse_head(const std::string &head, Message &out)
{
	size_t at = head.find("\r\n");

	if (at == std::string::npos)
		return false;
	out.first_line = head.substr(0, at);
	out.fields.clear();
	for (at += 2; at < head.size();) {
		size_t end = head.find("\r\n", at);
		size_t colon = head.find(':', at);

		if (end == std::string::npos || end == at)
			break;
		if (colon != std::string::npos && colon < end) {
			size_t value = head.find_first_not_of(" \t", colon + 1);

			out.fields[lower(head.substr(at, colon - at))] =
				value < end ? head.substr(value, end - value)
					    : "";
		}
		at = end + 2;
	}
	return true;
}

/* Bytes of one channel that were received and not used yet. */
struct Channel {
	int fd = -1;
	std::string rest;

	/* Waits until `until_ms`; 0: for good. False: nothing came, or the
	 * channel has ended. */
	bool fill(int64_t until_ms = 0)
	{
		char buffer[16384];
		pollfd wait = { fd, POLLIN, 0 };
		int64_t left_ms = until_ms ? until_ms - now_ms() : -1;
		ssize_t size;

		if (until_ms && left_ms <= 0)
			return false;
		if (poll(&wait, 1, (int)left_ms) <= 0)
			return false;
		size = recv(fd, buffer, sizeof(buffer), 0);
		if (size <= 0)
			return false;
		rest.append(buffer, (size_t)size);
		return true;
	}
};

/* Reads a request, whose body has a length. */
inline bool read_request(Channel &channel, Message &out)
{
	size_t end;
	size_t length;

	while ((end = channel.rest.find("\r\n\r\n")) == std::string::npos)
		if (!channel.fill())
			return false;
	if (!parse_head(channel.rest.substr(0, end + 4), out))
		return false;
	length = strtoul(out.field("content-length").c_str(), nullptr, 10);
	while (channel.rest.size() < end + 4 + length)
		if (!channel.fill())
			return false;
	out.body = channel.rest.substr(end + 4, length);
	channel.rest.erase(0, end + 4 + length);
	return true;
}

/* Calls `serve` in a thread of its own for each channel. */
class Listener
{
	std::atomic<int> fd{ -1 };
	std::mutex mutex;
	std::set<int> open;
	std::function<void(Channel &)> serve;
	std::thread thread;

	void run(int listener)
	{
		for (;;) {
			int accepted = accept4(listener, nullptr, nullptr,
					       SOCK_CLOEXEC);

			if (accepted < 0) {
				if (errno == EINTR || errno == ECONNABORTED)
					continue;
				return;
			}
			int on = 1;
			setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on,
				   sizeof(on));
			{
				std::lock_guard<std::mutex> lock(mutex);
				open.insert(accepted);
			}
			std::thread([this, accepted] {
				Channel channel{ accepted, "" };

				serve(channel);
				std::lock_guard<std::mutex> lock(mutex);
				open.erase(accepted);
				close(accepted);
			}).detach();
		}
	}

      public:
	Address at;

	void start(const Address &address, std::function<void(Channel &)> fn)
	{
		int listener = open_listener(address);

		if (listener < 0) {
			perror(address.text().c_str());
			_exit(2);
		}
		at = address;
		serve = std::move(fn);
		fd = listener;
		thread = std::thread([this, listener] { run(listener); });
		thread.detach();
	}
	/* Ends all channels and refuses new ones, as a process that is gone. */
	void stop()
	{
		int listener = fd.exchange(-1);

		if (listener < 0)
			return;
		shutdown(listener, SHUT_RDWR);
		close(listener);
		std::lock_guard<std::mutex> lock(mutex);
		for (int channel : open)
			shutdown(channel, SHUT_RDWR);
	}
};

/* ---- the platform's store ---- */

inline std::string base64(const std::string &bytes)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	std::string out;

	for (size_t i = 0; i < bytes.size(); i += 3) {
		unsigned three = (unsigned char)bytes[i] << 16;

		if (i + 1 < bytes.size())
			three |= (unsigned char)bytes[i + 1] << 8;
		if (i + 2 < bytes.size())
			three |= (unsigned char)bytes[i + 2];
		out += digits[three >> 18];
		out += digits[three >> 12 & 63];
		out += i + 1 < bytes.size() ? digits[three >> 6 & 63] : '=';
		out += i + 2 < bytes.size() ? digits[three & 63] : '=';
	}
	return out;
}

/* Reads, ranges, watches, leases and writes, as the page has them. Its history
 * reaches back `history_ms`. */
class Store
{
	struct Item {
		std::string value;
		long long revision;
		long long made;
	};
	struct Event {
		std::string key;
		bool tombstone;
		std::string value;
		long long revision;
		int64_t at_ms;
	};
	struct State {
		std::map<std::string, Item> items;
		std::deque<Event> history;
		long long revision = 10;
		long long forgotten = 0; /* the last change that is not kept */
	};
	std::mutex mutex;
	std::condition_variable changed;
	State state;
	State copy;
	long long era = 1;
	long long leases = 0;
	bool away = false;
	bool held = false; /* the system gets no answers */
	Listener listener;

	static std::string query(const std::string &target, const char *name)
	{
		std::string text = target.substr(target.find('?') + 1);
		std::string out;
		size_t at = 0;

		while (at <= text.size()) {
			size_t end = std::min(text.find('&', at), text.size());
			std::string pair = text.substr(at, end - at);

			if (pair.compare(0, strlen(name), name) == 0 &&
			    pair[strlen(name)] == '=') {
				pair.erase(0, strlen(name) + 1);
				for (size_t i = 0; i < pair.size(); i++) {
					if (pair[i] == '%' &&
					    i + 2 < pair.size()) {
						out += (char)strtol(
							pair.substr(i + 1, 2)
								.c_str(),
							nullptr, 16);
						i += 2;
					} else {
						out += pair[i];
					}
				}
				return out;
			}
			at = end + 1;
		}
		return out;
	}
	static bool under(const std::string &key, const std::string &prefix)
	{
		return key.compare(0, prefix.size(), prefix) == 0;
	}
	static std::string item_json(const std::string &key, const Item &item)
	{
		return "{\"key\":\"" + key + "\",\"value\":\"" +
		       base64(item.value) +
		       "\",\"revision\":" + std::to_string(item.revision) +
		       ",\"made\":" + std::to_string(item.made) +
		       ",\"lease\":0";
	}
	static std::string event_json(const Event &event)
	{
		if (event.tombstone)
			return "{\"key\":\"" + event.key + "\",\"revision\":" +
			       std::to_string(event.revision) +
			       ",\"tombstone\":true}";
		return item_json(event.key, { event.value, event.revision,
					      event.revision }) +
		       "}";
	}
	void forget()
	{
		while (!state.history.empty() &&
		       now_ms() - state.history.front().at_ms > history_ms) {
			state.forgotten = state.history.front().revision;
			state.history.pop_front();
		}
	}
	std::string answer(int status, const std::string &body)
	{
		return "HTTP/1.1 " + std::to_string(status) +
		       " Answer\r\nContent-Type: application/json\r\n"
		       "Store-Era: " +
		       std::to_string(era) +
		       "\r\nContent-Length: " + std::to_string(body.size()) +
		       "\r\n\r\n" + body;
	}
	std::string current()
	{
		return "\"current_rev\":" + std::to_string(state.revision) +
		       "}";
	}
	std::string watch(const std::string &target,
			  std::unique_lock<std::mutex> &lock)
	{
		std::string prefix = query(target, "prefix");
		long long after =
			strtoll(query(target, "after").c_str(), nullptr, 10);
		int64_t until_ms =
			now_ms() +
			strtoll(query(target, "wait_ms").c_str(), nullptr, 10);

		for (;;) {
			std::string events;

			while (held)
				changed.wait(lock);
			forget();
			if (away)
				return "";
			if (after > state.revision || after < state.forgotten)
				return answer(410, "{}");
			for (const Event &event : state.history)
				if (event.revision > after &&
				    under(event.key, prefix))
					events += (events.empty() ? "" : ",") +
						  event_json(event);
			if (!events.empty() || now_ms() >= until_ms)
				return answer(200, "{\"events\":[" + events +
							   "]," + current());
			changed.wait_for(lock, std::chrono::milliseconds(
						       until_ms - now_ms()));
		}
	}
	std::string serve_request(const Message &request)
	{
		std::unique_lock<std::mutex> lock(mutex);
		std::string target = request.target();
		std::string path = target.substr(0, target.find('?'));

		while (held)
			changed.wait(lock);
		if (away)
			return "";
		if (path == "/linepier/kv-watch")
			return watch(target, lock);
		if (path == "/linepier/kv-range") {
			std::string prefix = query(target, "prefix");
			std::string items;

			for (const auto &pair : state.items)
				if (under(pair.first, prefix))
					items += (items.empty() ? "" : ",") +
						 item_json(pair.first,
							   pair.second) +
						 "}";
			return answer(200, "{\"items\":[" + items +
						   "],\"has_more\":false," +
						   current());
		}
		if (path == "/linepier/kv-key") {
			auto found = state.items.find(query(target, "key"));

			if (found == state.items.end())
				return answer(404, "{" + current());
			return answer(200,
				      item_json(found->first, found->second) +
					      "," + current());
		}
		if (path == "/linepier/kv-lease")
			return answer(200,
				      "{\"lease\":" + std::to_string(++leases) +
					      ",\"ttl_ms\":600000}");
		/* What entries write themselves isn't read here. */
		if (path == "/linepier/kv-txn")
			return answer(200,
				      "{\"revision\":" +
					      std::to_string(++state.revision) +
					      "}");
		return answer(404, "{}");
	}
	void serve(Channel &channel)
	{
		Message request;

		while (read_request(channel, request)) {
			std::string text = serve_request(request);

			if (text.empty() || !send_all(channel.fd, text))
				return;
		}
	}
	long long change(const std::string &key, bool tombstone,
			 const std::string &value)
	{
		long long revision = ++state.revision;

		forget();
		if (tombstone) {
			state.items.erase(key);
		} else {
			auto found = state.items.find(key);

			state.items[key] = { value, revision,
					     found == state.items.end()
						     ? revision
						     : found->second.made };
		}
		state.history.push_back(
			{ key, tombstone, value, revision, now_ms() });
		changed.notify_all();
		return revision;
	}

      public:
	int64_t history_ms = 20000;

	void start(const Address &address)
	{
		listener.start(address,
			       [this](Channel &channel) { serve(channel); });
	}
	Address address() const
	{
		return listener.at;
	}
	/* Written by the operator or by a server. Returns the revision of the
	 * confirmation; 0: the store is away. */
	long long put(const std::string &key, const std::string &value)
	{
		std::lock_guard<std::mutex> lock(mutex);

		return away ? 0 : change(key, false, value);
	}
	long long remove(const std::string &key)
	{
		std::lock_guard<std::mutex> lock(mutex);

		return away ? 0 : change(key, true, "");
	}
	bool has(const std::string &key)
	{
		std::lock_guard<std::mutex> lock(mutex);

		return state.items.count(key) > 0;
	}
	long long revision()
	{
		std::lock_guard<std::mutex> lock(mutex);

		return state.revision;
	}
	void take_copy()
	{
		std::lock_guard<std::mutex> lock(mutex);

		copy = state;
	}
	/* A drill in which channels stay: the system gets no answers, while
	 * the operator and the servers write again to what the copy has; ... */
	void hold()
	{
		std::lock_guard<std::mutex> lock(mutex);

		held = true;
		state = copy;
		era++;
	}
	/* ... and then it does. */
	void release()
	{
		std::lock_guard<std::mutex> lock(mutex);

		held = false;
		changed.notify_all();
	}
	/* A drill: the store is away, ... */
	void leave()
	{
		{
			std::lock_guard<std::mutex> lock(mutex);
			away = true;
			changed.notify_all();
		}
		listener.stop();
	}
	/* ... and comes back from the copy. */
	void come_back()
	{
		Address at = listener.at;

		{
			std::lock_guard<std::mutex> lock(mutex);
			state = copy;
			era++;
			away = false;
		}
		listener.start(at,
			       [this](Channel &channel) { serve(channel); });
	}
};

/* ---- servers ---- */

/* Runs one request; returns the whole answer; "": closes the channel. */
using Handler = std::function<std::string(const Message &, int fd)>;

struct Server {
	std::string id;
	std::string service;
	std::string zone;
	Listener listener;
	Handler handler;
	long long beats = 0;

	std::string entry_json() const
	{
		return "{\"service\":\"" + service + "\",\"address\":\"" +
		       listener.at.text() + "\",\"zone\":\"" + zone +
		       "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
		       "\"cold_left_ms\":0,\"seq_no\":" +
		       std::to_string(beats) + "}";
	}
	void beat(Store &store)
	{
		beats++;
		store.put("servers/" + id, entry_json());
	}
	void serve(Channel &channel)
	{
		Message request;

		while (read_request(channel, request)) {
			std::string wanted = request.field("x-expect-instance");
			std::string text;

			if (!wanted.empty() && wanted != id) {
				text = "HTTP/1.1 421 Misdirected Request\r\n"
				       "X-Instance-Id: " +
				       id + "\r\nContent-Length: 0\r\n\r\n";
			} else {
				text = handler(request, channel.fd);
			}
			if (text.empty() || !send_all(channel.fd, text))
				return;
		}
	}
	void start(const Address &at, Handler fn)
	{
		handler = std::move(fn);
		listener.start(at,
			       [this](Channel &channel) { serve(channel); });
	}
};

/* ---- entries ---- */

struct Entry {
	std::string name;
	std::string ip;
	Address front;
	Address ready;
	std::string settings;
	std::string log;
	pid_t pid = 0;

	/* The command of the deploy file, in the repository's root. */
	void start()
	{
		std::string boot = "LINEPIER_BOOT=" + settings;
		const char *path = getenv("PATH");
		std::string path_text =
			std::string("PATH=") + (path ? path : "/usr/bin:/bin");

		pid = fork();
		if (pid)
			return;
		char *argv[] = { (char *)"target/linepier-platformd", nullptr };
		char *envp[] = { (char *)boot.c_str(),
				 (char *)path_text.c_str(), nullptr };
		int out = open(log.c_str(),
			       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

		dup2(out, 1);
		dup2(out, 2);
		signal(SIGPIPE, SIG_DFL);
		execve(argv[0], argv, envp);
		_exit(127);
	}
	void end(int signal_number)
	{
		if (pid <= 0)
			return;
		kill(pid, SIGCONT);
		kill(pid, signal_number);
		waitpid(pid, nullptr, 0);
		pid = 0;
	}
	bool has_ended()
	{
		return pid > 0 && waitpid(pid, nullptr, WNOHANG) > 0;
	}
	bool is_ready() const;
};

/* ---- requesters ---- */

struct Answer {
	int status = 0; /* 0: none */
	Message head;
	std::string body;
	bool complete = false;
	bool closed = false; /* the channel ended before the answer was whole */
};

/* How a requester reads. */
struct Reading {
	int after_bytes = 0; /* of the body, it stops reading ... */
	int pause_ms = 0;    /* ... for so long, once */
};

/* One channel to an entry, kept for many requests. */
struct Requester {
	Channel channel;

	bool connect_to(const Address &at, int receive_buffer = 0)
	{
		sockaddr_in address = at.in();

		drop();
		channel.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (receive_buffer)
			setsockopt(channel.fd, SOL_SOCKET, SO_RCVBUF,
				   &receive_buffer, sizeof(receive_buffer));
		if (!connect(channel.fd, (sockaddr *)&address, sizeof(address)))
			return true;
		drop();
		return false;
	}
	void drop()
	{
		if (channel.fd >= 0)
			close(channel.fd);
		channel.fd = -1;
		channel.rest.clear();
	}
	/* Reads the rest of a body with a length or in chunks. */
	void read_body(Answer &answer, int64_t until_ms, Reading reading)
	{
		bool chunked = lower(answer.head.field("transfer-encoding")) ==
			       "chunked";
		size_t length =
			strtoul(answer.head.field("content-length").c_str(),
				nullptr, 10);

		for (;;) {
			if (reading.pause_ms &&
			    answer.body.size() + channel.rest.size() >=
				    (size_t)reading.after_bytes) {
				std::this_thread::sleep_for(
					std::chrono::milliseconds(
						reading.pause_ms));
				reading.pause_ms = 0;
			}
			if (!chunked && channel.rest.size() >= length) {
				answer.body = channel.rest.substr(0, length);
				channel.rest.erase(0, length);
				answer.complete = true;
				return;
			}
			while (chunked) {
				size_t end = channel.rest.find("\r\n");
				size_t size;

				if (end == std::string::npos)
					break;
				size = strtoul(channel.rest.c_str(), nullptr,
					       16);
				if (channel.rest.size() < end + size + 4)
					break;
				answer.body.append(channel.rest, end + 2, size);
				channel.rest.erase(0, end + size + 4);
				if (!size) {
					answer.complete = true;
					return;
				}
			}
			if (!channel.fill(until_ms)) {
				answer.closed = now_ms() < until_ms;
				return;
			}
		}
	}
	Answer call(const std::string &text, int64_t until_ms,
		    Reading reading = {})
	{
		Answer answer;
		size_t end;

		if (!send_all(channel.fd, text)) {
			answer.closed = true;
			drop();
			return answer;
		}
		while ((end = channel.rest.find("\r\n\r\n")) ==
		       std::string::npos) {
			if (channel.fill(until_ms))
				continue;
			answer.closed = now_ms() < until_ms;
			drop();
			return answer;
		}
		parse_head(channel.rest.substr(0, end + 4), answer.head);
		channel.rest.erase(0, end + 4);
		answer.status = answer.head.status();
		read_body(answer, until_ms, reading);
		if (!answer.complete ||
		    lower(answer.head.field("connection")) == "close")
			drop();
		return answer;
	}
	~Requester()
	{
		drop();
	}
};

inline bool Entry::is_ready() const
{
	Requester prober;

	if (!prober.connect_to(ready))
		return false;
	return prober.call("GET /linepier/readiness HTTP/1.1\r\nHost: b\r\n"
			   "Connection: close\r\n\r\n",
			   now_ms() + 500)
		       .status == 200;
}

/* Ids of attempts: each its own. */
inline std::string next_attempt()
{
	static std::atomic<unsigned> count{ 0 };
	char text[32];

	snprintf(text, sizeof(text), "%08x%08x", (unsigned)getpid(), ++count);
	return text;
}

/* ---- a whole run ---- */

inline std::vector<std::unique_ptr<Entry>> &all_entries()
{
	static std::vector<std::unique_ptr<Entry>> entries;

	return entries;
}

inline std::string &temporary_folder()
{
	static std::string folder;

	return folder;
}

inline void end_everything()
{
	for (auto &entry : all_entries())
		entry->end(SIGKILL);
	if (!temporary_folder().empty()) {
		std::string command = "rm -rf '" + temporary_folder() + "'";

		if (!getenv("KEEP") && system(command.c_str()))
			return;
	}
}

[[noreturn]] inline void finish(int status)
{
	end_everything();
	record("exit %d", status);
	fflush(the_record().file);
	_exit(status);
}

/* A watchdog: a run that hangs ends with 2. */
inline void limit_run(int seconds)
{
	std::thread([seconds] {
		std::this_thread::sleep_for(std::chrono::seconds(seconds));
		record("the run took too long");
		finish(2);
	}).detach();
}

inline bool has_trouble()
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

inline void begin(const char *record_path, int limit_s)
{
	char folder[] = P_tmpdir "/linepier-review-XXXXXX";

	signal(SIGPIPE, SIG_IGN);
	now_ms();
	record_open(record_path);
	if (!mkdtemp(folder)) {
		perror("mkdtemp");
		_exit(2);
	}
	temporary_folder() = folder;
	limit_run(limit_s);
	record("trouble: %s", has_trouble() ? "yes" : "no");
}

inline void write_file(const std::string &path, const std::string &text)
{
	FILE *file = fopen(path.c_str(), "w");

	if (!file || fwrite(text.data(), 1, text.size(), file) != text.size()) {
		perror(path.c_str());
		finish(2);
	}
	fclose(file);
}

/* Adds entries in these zones, one each, with the settings of a small
 * deployment and `bounds`, lines of bounds.X=Y. */
inline void add_entries(const std::vector<std::string> &zones,
			const std::vector<std::string> &all_zones,
			const Store &store, const std::string &bounds)
{
	std::vector<std::string> ips;
	int ports[4];

	for (size_t i = 0; i < zones.size(); i++)
		ips.push_back("127.0.0." + std::to_string(21 + i));
	for (int &port : ports)
		port = free_port(ips);
	for (size_t i = 0; i < zones.size(); i++) {
		auto entry = std::make_unique<Entry>();
		std::string text;
		std::string seeds;

		entry->name = "front-" + zones[i] + "-" + std::to_string(i + 1);
		entry->ip = ips[i];
		entry->front = { ips[i], ports[0] };
		entry->ready = { ips[i], ports[1] };
		entry->settings = temporary_folder() + "/" + entry->name;
		entry->log = entry->settings + ".log";
		for (const std::string &ip : ips)
			seeds += (seeds.empty() ? "" : ",") + ip + ":" +
				 std::to_string(ports[2]);
		text = "node_name=" + entry->name +
		       "\nrole=entry\nmachine_class=front\n"
		       "serves=front,control\nip=" +
		       ips[i] + "\nzone=" + zones[i] + "\nregion=r\n";
		for (const std::string &zone : all_zones)
			text += "zones." + zone + "=r\n";
		text += "listen.front=" + entry->front.text() +
			"\nlisten.ready=" + entry->ready.text() +
			"\nlisten.control=" + ips[i] + ":" +
			std::to_string(ports[2]) +
			"\nport_range=" + std::to_string(ports[3]) + "," +
			std::to_string(ports[3] + 15) + "\nseeds=" + seeds +
			"\nbootstrap=true\ncounts_as_loss=false\n"
			"limits.cpu_share=0.19\nlimits.cores=1\n"
			"limits.memory_mb=260\nlimits.max_fds=4100\n"
			"limits.link_mbps=1000.0\nlimits.disk_mb=0\n"
			"discovery=platform\nentry=vip\nheartbeat_ms=1200\n" +
			bounds + "platform.address=" + store.address().text() +
			"\nplatform.form=kv\nplatform.writes_per_s=400\n"
			"platform.reads_per_s=2000\nplatform.history_s=20\n"
			"platform.value_bytes=1048576\n"
			"platform.min_ttl_ms=1000\n";
		write_file(entry->settings, text);
		all_entries().push_back(std::move(entry));
	}
}

/* Starts all entries and waits until they are ready. */
inline void start_entries()
{
	int64_t limit_ms = now_ms() + 20000;

	for (auto &entry : all_entries())
		entry->start();
	for (auto &entry : all_entries()) {
		while (!entry->is_ready()) {
			if (now_ms() > limit_ms || entry->has_ended()) {
				record("%s is not ready", entry->name.c_str());
				finish(2);
			}
			std::this_thread::sleep_for(
				std::chrono::milliseconds(50));
		}
	}
	record("all entries are ready");
}

} // namespace standin

#endif
