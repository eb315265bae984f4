/**
 * A server that answers from threads of its own, whatever the loop under test
 * does; and turns of that loop which take long.
 */
#ifndef THREAD_SERVER_H
#define THREAD_SERVER_H

#include "cwrap.h"

#include <functional>
#include <string>
#include <thread>
#include <vector>

/* Each request, as far as `ends_with`, gets what answer() gives for it, from
 * the thread of its connection; connections are kept. */
struct ThreadServer {
	std::string address;
	std::string ends_with;
	std::function<std::string(const std::string &request)> answer;
	GSocket *listener;
	GCancellable *over = g_cancellable_new();
	std::thread accepting;
	std::vector<std::thread> answering; /* of `accepting` */
	std::vector<GSocket *> sockets;	    /* likewise */

	ThreadServer(const char *ends_with,
		     std::function<std::string(const std::string &)> answer)
	    : ends_with(ends_with), answer(std::move(answer))
	{
		GSocketAddress *any =
			g_inet_socket_address_new_from_string("127.0.0.1", 0);

		listener =
			g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				     G_SOCKET_PROTOCOL_TCP, nullptr);
		g_socket_bind(listener, any, FALSE, nullptr);
		g_object_unref(any);
		g_socket_listen(listener, nullptr);
		GSocketAddress *at =
			g_socket_get_local_address(listener, nullptr);
		address = "127.0.0.1:" +
			  std::to_string(g_inet_socket_address_get_port(
				  G_INET_SOCKET_ADDRESS(at)));
		g_object_unref(at);
		accepting = std::thread([this] { accept_all(); });
	}

	~ThreadServer()
	{
		g_cancellable_cancel(over);
		accepting.join();
		for (GSocket *socket : sockets)
			g_socket_shutdown(socket, TRUE, TRUE, nullptr);
		for (std::thread &thread : answering)
			thread.join();
		for (GSocket *socket : sockets)
			g_object_unref(socket);
		g_object_unref(listener);
		g_object_unref(over);
	}

	void accept_all()
	{
		while (GSocket *socket =
			       g_socket_accept(listener, over, nullptr)) {
			sockets.push_back(socket);
			answering.emplace_back(
				[this, socket] { answer_all(socket); });
		}
	}

	std::string read_request(GInputStream *in) const
	{
		std::string text;
		char buffer[4096];
		gssize size;

		while (text.find(ends_with) == std::string::npos &&
		       text.find("GET ") != 0 &&
		       (size = g_input_stream_read(in, buffer, sizeof(buffer),
						   nullptr, nullptr)) > 0)
			text.append(buffer, (size_t)size);
		return text;
	}

	void answer_all(GSocket *socket)
	{
		GSocketConnection *connection =
			g_socket_connection_factory_create_connection(socket);
		GIOStream *stream = G_IO_STREAM(connection);
		std::string request;

		while (!(request = read_request(
				 g_io_stream_get_input_stream(stream)))
				.empty()) {
			const std::string text = answer(request);

			g_output_stream_write_all(
				g_io_stream_get_output_stream(stream),
				text.data(), text.size(), nullptr, nullptr,
				nullptr);
		}
		g_object_unref(connection);
	}
};

inline std::string whole_answer(const std::string &body)
{
	return "HTTP/1.1 200 OK\r\nContent-Length: " +
	       std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string begin_stream()
{
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	       "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string stream_chunk(const std::string &text)
{
	char size[16];

	g_snprintf(size, sizeof(size), "%zx\r\n", text.size());
	return size + text + "\r\n";
}

inline std::string end_stream()
{
	return "0\r\n\r\n";
}

/* Something else that the loop has to do in each turn. */
struct SlowTurns {
	int64_t turn_us;
	guint source;

	explicit SlowTurns(int64_t turn_us) : turn_us(turn_us)
	{
		source = g_timeout_add(0, turn, this);
	}

	~SlowTurns()
	{
		g_source_remove(source);
	}

	static gboolean turn(gpointer data)
	{
		g_usleep((gulong) static_cast<SlowTurns *>(data)->turn_us);
		return G_SOURCE_CONTINUE;
	}
};

#endif
