/*
 * linepier-platformd as a process that is told to end: callers whose balancer
 * has not read that it leaves still find it.
 */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstring>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

namespace
{

/* Tests run side by side, each in a process of its own. */
constexpr int first_port = 26100;
constexpr int ports_each = 3;
constexpr int processes_max = 260;
constexpr int64_t start_limit_us = 10 * LP_US_PER_S;

/* One request on a connection of its own; the status, 0: no answer. */
int ask(int port, const char *target)
{
	GSocketAddress *address =
		g_inet_socket_address_new_from_string("127.0.0.1", (guint)port);
	GSocket *socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, nullptr);
	const std::string request = std::string("GET ") + target +
				    " HTTP/1.1\r\nHost: h\r\n"
				    "Connection: close\r\n\r\n";
	char reply[256] = "";
	int status = 0;

	g_socket_set_timeout(socket, 5);
	if (g_socket_connect(socket, address, nullptr, nullptr) &&
	    g_socket_send(socket, request.c_str(), request.size(), nullptr,
			  nullptr) > 0 &&
	    g_socket_receive(socket, reply, sizeof(reply) - 1, nullptr,
			     nullptr) > 0)
		status = atoi(reply + strlen("HTTP/1.1 "));
	g_object_unref(socket);
	g_object_unref(address);
	return status;
}

/* Its key-value service is away, so it refuses every request. */
struct Entry {
	int port = first_port + getpid() % processes_max * ports_each;
	std::string settings;
	GPid pid = 0;

	explicit Entry(int grace_s)
	{
		const std::string at = "127.0.0.1:";
		g_autofree char *path = nullptr;
		std::string text;

		close(g_file_open_tmp("planned-end-XXXXXX", &path, nullptr));
		settings = path;
		text = "node_name=entry-0\nzone=a\nip=127.0.0.1\nlisten."
		       "front=" +
		       at + std::to_string(port) + "\nlisten.ready=" + at +
		       std::to_string(port + 1) + "\nlisten.control=" + at +
		       std::to_string(port + 2) +
		       "\nplatform.address=127.0.0.1:1\nbounds.grace_s=" +
		       std::to_string(grace_s) + "\n";
		g_file_set_contents(path, text.c_str(), -1, nullptr);
		start();
	}
	~Entry()
	{
		if (pid) {
			kill(pid, SIGKILL);
			waitpid(pid, nullptr, 0);
		}
		unlink(settings.c_str());
	}
	Entry(const Entry &) = delete;
	Entry &operator=(const Entry &) = delete;

	void start()
	{
		char *argv[] = { (char *)LP_PLATFORMD, nullptr };
		char **env = g_environ_setenv(g_get_environ(), "LINEPIER_BOOT",
					      settings.c_str(), TRUE);
		int64_t until_us = g_get_monotonic_time() + start_limit_us;

		ASSERT_TRUE(
			g_spawn_async(nullptr, argv, env,
				      (GSpawnFlags)(G_SPAWN_DO_NOT_REAP_CHILD |
						    G_SPAWN_STDOUT_TO_DEV_NULL),
				      nullptr, nullptr, &pid, nullptr));
		g_strfreev(env);
		while (!probe() && g_get_monotonic_time() < until_us)
			g_usleep(10000);
	}
	int probe() const
	{
		return ask(port + 1, "/linepier/readiness");
	}
	int call() const
	{
		return ask(port, "/");
	}
	bool ended()
	{
		if (pid && waitpid(pid, nullptr, WNOHANG) == pid)
			pid = 0;
		return !pid;
	}
	bool ends_within(int64_t ms)
	{
		int64_t until_us = g_get_monotonic_time() + ms * LP_US_PER_MS;

		while (!ended() && g_get_monotonic_time() < until_us)
			g_usleep(10000);
		return ended();
	}
};

} // namespace

/* An entry ended 2.8 s after SIGTERM when it was quiet, also if its balancer
 * had stood still since: connections were refused until the balancer's next two
 * probes. */
TEST(PlannedEnd, AnEntryStaysUntilItsBalancerHasProbedTwice)
{
	Entry entry(8);

	ASSERT_EQ(entry.probe(), 503);
	kill(entry.pid, SIGTERM);
	g_usleep(4 * G_USEC_PER_SEC);
	EXPECT_EQ(entry.call(), 503);
	EXPECT_EQ(entry.probe(), 503);
	g_usleep(G_USEC_PER_SEC);
	EXPECT_EQ(entry.call(), 503);
	EXPECT_EQ(entry.probe(), 503);
	EXPECT_TRUE(entry.ends_within(2000));
}

/* Found by the soak: the balancer had stood still already when the entry was
 * told to end, and after 3 s without a probe it was taken to have gone. */
TEST(PlannedEnd, ABalancerThatStoodStillBeforeIsWaitedFor)
{
	Entry entry(8);

	ASSERT_EQ(entry.probe(), 503);
	g_usleep(3500000);
	kill(entry.pid, SIGTERM);
	g_usleep(3500000);
	EXPECT_EQ(entry.call(), 503);
}

/* A balancer that never probes again does not hold it past its grace time. */
TEST(PlannedEnd, AnEntryThatNobodyProbesEndsWithinItsGraceTime)
{
	Entry entry(5);

	ASSERT_EQ(entry.probe(), 503);
	kill(entry.pid, SIGTERM);
	EXPECT_TRUE(entry.ends_within(5000));
}

/* Operators and service managers tell it more than once. */
TEST(PlannedEnd, ASecondSignalChangesNothing)
{
	Entry entry(8);

	kill(entry.pid, SIGTERM);
	g_usleep(G_USEC_PER_SEC);
	kill(entry.pid, SIGTERM);
	kill(entry.pid, SIGINT);
	EXPECT_FALSE(entry.ends_within(500));
	EXPECT_EQ(entry.call(), 503);
}
