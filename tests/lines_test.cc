/* base/lp_lines.h: whole lines however their bytes come, all of them in a turn.
 */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "base/lp_lines.h"
}

/* A connection that is read by lines. */
struct LineReader {
	int ends[2];
	GSocketConnection *connection;
	lp_lines *lines;
	std::vector<std::string> told;
	std::string destroy_at = "no such line";
	std::string cancel_at = "no such line";
	GCancellable *cancellable;
	bool ended = false;
	bool broken = false;

	explicit LineReader(GCancellable *cancellable = nullptr)
	    : cancellable(cancellable)
	{
		EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
		GSocket *socket = g_socket_new_from_fd(ends[0], nullptr);
		connection =
			g_socket_connection_factory_create_connection(socket);
		lp_lines_options options = {};

		options.stream =
			g_io_stream_get_input_stream(G_IO_STREAM(connection));
		options.cancellable = cancellable;
		options.line = on_line;
		options.ended = on_ended;
		options.userdata = this;
		lines = lp_lines_create(&options);
		g_object_unref(socket);
	}

	~LineReader()
	{
		lp_lines_destroy(lines);
		finish();
		g_object_unref(connection);
	}

	static void on_line(void *userdata, const char *line)
	{
		auto *self = static_cast<LineReader *>(userdata);

		self->told.push_back(line);
		if (self->destroy_at == line)
			lp_lines_destroy(g_steal_pointer(&self->lines));
		if (self->cancel_at == line)
			g_cancellable_cancel(self->cancellable);
	}

	static void on_ended(void *userdata, const GError *error)
	{
		static_cast<LineReader *>(userdata)->ended = true;
		static_cast<LineReader *>(userdata)->broken = error;
	}

	void write(const std::string &text) const
	{
		EXPECT_EQ(::write(ends[1], text.data(), text.size()),
			  (ssize_t)text.size());
	}

	void finish()
	{
		if (ends[1] >= 0)
			close(ends[1]);
		ends[1] = -1;
	}

	static int turns()
	{
		int turns = 0;

		while (g_main_context_iteration(nullptr, FALSE))
			turns++;
		return turns;
	}
};

TEST(Lines, AreWholeHoweverTheyCome)
{
	LineReader reader;

	reader.write("one\ntw");
	LineReader::turns();
	EXPECT_EQ(reader.told, std::vector<std::string>({ "one" }));
	reader.write("o\n\nrest");
	LineReader::turns();
	reader.finish();
	LineReader::turns();
	EXPECT_EQ(reader.told,
		  std::vector<std::string>({ "one", "two", "", "rest" }));
	EXPECT_TRUE(reader.ended);
	EXPECT_FALSE(reader.broken);
}

TEST(Lines, GoOnAfterAZeroByte)
{
	LineReader reader;

	reader.write(std::string("o\0ne\ntwo\n", 9));
	LineReader::turns();
	EXPECT_EQ(reader.told, std::vector<std::string>({ "o", "two" }));
}

TEST(Lines, AllThatHasComeIsToldInOneTurn)
{
	LineReader reader;
	std::string text;

	for (int i = 0; i < 1000; i++)
		text += "data: a token of a stream\n";
	reader.write(text);
	EXPECT_EQ(LineReader::turns(), 1);
	EXPECT_EQ(reader.told.size(), 1000u);
}

TEST(Lines, AnswerNothingOnceDestroyed)
{
	LineReader reader;

	reader.destroy_at = "two";
	reader.write("one\ntwo\nthree\n");
	reader.finish();
	LineReader::turns();
	EXPECT_EQ(reader.told, std::vector<std::string>({ "one", "two" }));
	EXPECT_FALSE(reader.ended);
}

/* Also those that had come with the line that had it cancelled. */
TEST(Lines, AreNotToldOnceCancelled)
{
	GCancellable *cancellable = g_cancellable_new();
	LineReader reader(cancellable);

	reader.cancel_at = "two";
	reader.write("one\ntwo\nthree\n");
	LineReader::turns();
	EXPECT_EQ(reader.told, std::vector<std::string>({ "one", "two" }));
	EXPECT_TRUE(reader.broken);
	g_object_unref(cancellable);
}

TEST(Lines, EndWithAnErrorWhenCancelled)
{
	GCancellable *cancellable = g_cancellable_new();
	LineReader reader(cancellable);

	reader.write("one\ntw");
	LineReader::turns();
	g_cancellable_cancel(cancellable);
	LineReader::turns();
	EXPECT_EQ(reader.told, std::vector<std::string>({ "one" }));
	EXPECT_TRUE(reader.broken);
	g_object_unref(cancellable);
}
