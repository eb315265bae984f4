/**
 * The far end of a real TCP connection, which reads only when a test says so,
 * and can fall silent: its system then drops whatever arrives, as if the host
 * were cut off.
 */
#ifndef SLOW_PEER_H
#define SLOW_PEER_H

#include "direct_rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <linux/filter.h>
#include <memory>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

inline void run_loop_for(int64_t ms)
{
	run_loop_until([] { return false; }, ms);
}

/* What the system of a slow peer holds of bytes that are not read. */
static const int SLOW_PEER_WINDOW_BYTES = 8192;

struct SlowPeer {
	int fd = -1;
	std::string received;
	size_t x_count = 0; /* of 'x' after its head, for bodies of tests */
	size_t head_size = 0;
	bool ended = false; /* in order, or by a reset */
	int error = 0;	    /* errno of a reset */

	/* Connects to "IP:PORT". `shrinks`: its window is as large as usual at
	 * first. */
	explicit SlowPeer(const std::string &address, bool shrinks = false)
	{
		sockaddr_in to = {};

		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (!shrinks)
			set_window(fd);
		to.sin_family = AF_INET;
		to.sin_port = htons((uint16_t)atoi(address.c_str() +
						   address.find(':') + 1));
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (connect(fd, (sockaddr *)&to, sizeof(to)))
			abort();
		if (shrinks)
			set_window(fd);
	}
	/* Takes over a connection. */
	explicit SlowPeer(int accepted) : fd(accepted)
	{
	}
	SlowPeer(const SlowPeer &) = delete;
	~SlowPeer()
	{
		if (fd >= 0)
			close(fd);
	}
	static void set_window(int fd)
	{
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &SLOW_PEER_WINDOW_BYTES,
			   sizeof(SLOW_PEER_WINDOW_BYTES));
	}
	void send(const std::string &text)
	{
		if (::send(fd, text.data(), text.size(), MSG_NOSIGNAL) !=
		    (ssize_t)text.size())
			abort();
	}
	/* Reads what has arrived, this much at the most. */
	void read_some(size_t size = 1 << 20)
	{
		static char buffer[1 << 20];
		ssize_t got = recv(fd, buffer, std::min(size, sizeof(buffer)),
				   MSG_DONTWAIT);

		if (got > 0) {
			received.append(buffer, (size_t)got);
			count_body((size_t)got);
		} else if (!got) {
			ended = true;
		} else if (errno != EAGAIN && errno != EWOULDBLOCK) {
			ended = true;
			error = errno;
		}
	}
	/* Counts the last `size` bytes as far as they are of the body. */
	void count_body(size_t size)
	{
		size_t begin = received.size() - size;
		size_t head_end = received.find("\r\n\r\n");

		if (!head_size && head_end != std::string::npos)
			head_size = head_end + 4;
		if (head_size)
			x_count += (size_t)std::count(
				received.begin() +
					(long)std::max(begin, head_size),
				received.end(), 'x');
	}
	/* Its window is as large as usual from here on. */
	void open_window()
	{
		const int bytes = 4 << 20;

		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	}
	/* Reads until it has a body of so many bytes; false: the connection
	 * ended before. */
	bool read_all(size_t size)
	{
		open_window();
		run_loop_until([this, size] {
			read_some();
			return x_count >= size || ended;
		});
		return x_count == size;
	}
	size_t occurrences(const std::string &text) const
	{
		size_t count = 0;
		size_t at = 0;

		while ((at = received.find(text, at)) != std::string::npos) {
			count++;
			at += text.size();
		}
		return count;
	}
	/* No byte and no acknowledgement leaves it from here on. */
	void fall_silent()
	{
		sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
		sock_fprog program = { 1, &drop_all };

		if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
			       sizeof(program)))
			abort();
	}
	void reset()
	{
		linger reset_on_close = { 1, 0 };

		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
			   sizeof(reset_on_close));
		close(fd);
		fd = -1;
	}
};

/* A listener whose connections have small windows. */
struct SlowListener {
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	std::string address;

	SlowListener()
	{
		sockaddr_in at = {};
		socklen_t size = sizeof(at);

		SlowPeer::set_window(fd);
		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (bind(fd, (sockaddr *)&at, sizeof(at)) || listen(fd, 16) ||
		    getsockname(fd, (sockaddr *)&at, &size))
			abort();
		address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
	}
	SlowListener(const SlowListener &) = delete;
	~SlowListener()
	{
		close(fd);
	}
	/* Accepts a connection unless there is one; returns whether there is.
	 */
	bool accept_into(std::unique_ptr<SlowPeer> &peer)
	{
		int accepted = peer ? -1 : accept(fd, nullptr, nullptr);

		if (accepted >= 0)
			peer = std::make_unique<SlowPeer>(accepted);
		return peer != nullptr;
	}
};

#endif
