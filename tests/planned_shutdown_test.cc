/*
 * Graceful shutdown of the process linepier-platformd: it keeps answering until
 * its load balancer has seen that it is not ready.
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

/* Tests run in parallel, each in a process of its own with its own ports. */
constexpr int first_port = 26100;
constexpr int ports_each = 3;
constexpr int processes_max = 260;
constexpr int64_t start_limit_us = 10 * LP_US_PER_S;

/* Sends one request on a new connection; returns the status, 0: no answer. */
int request_status(int port, const char *target)
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

/* An entry process. Its key-value service is unreachable, so it answers every
 * request and probe with 503. */
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
		return request_status(port + 1, "/linepier/readiness");
	}
	int call() const
	{
		return request_status(port, "/");
	}
	bool has_exited()
	{
		if (pid && waitpid(pid, nullptr, WNOHANG) == pid)
			pid = 0;
		return !pid;
	}
	bool exits_within(int64_t ms)
	{
		int64_t until_us = g_get_monotonic_time() + ms * LP_US_PER_MS;

		while (!has_exited() && g_get_monotonic_time() < until_us)
			g_usleep(10000);
		return has_exited();
	}
};

} // namespace

/* Guards against refused connections: an idle entry terminated 2.8 s after
 * SIGTERM although its balancer had stalled since, so that the balancer kept
 * sending callers to it until its next two probes. */
TEST(PlannedShutdown, WaitsForTwoProbesOfTheBalancer)
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
	EXPECT_TRUE(entry.exits_within(2000));
}

/* Guards against an entry that terminates too early: its balancer had stalled
 * before SIGTERM already, and after 3 s without a probe it was considered gone.
 */
TEST(PlannedShutdown, WaitsForABalancerThatStalledBefore)
{
	Entry entry(8);

	ASSERT_EQ(entry.probe(), 503);
	g_usleep(3500000);
	kill(entry.pid, SIGTERM);
	g_usleep(3500000);
	EXPECT_EQ(entry.call(), 503);
}

/* A balancer that never probes again does not delay termination past the grace
 * time. */
TEST(PlannedShutdown, EndsWithinTheGraceTimeWithoutProbes)
{
	Entry entry(5);

	ASSERT_EQ(entry.probe(), 503);
	kill(entry.pid, SIGTERM);
	EXPECT_TRUE(entry.exits_within(5000));
}

/* Operators and service managers may send the signal more than once. */
TEST(PlannedShutdown, IgnoresFurtherSignals)
{
	Entry entry(8);

	kill(entry.pid, SIGTERM);
	g_usleep(G_USEC_PER_SEC);
	kill(entry.pid, SIGTERM);
	kill(entry.pid, SIGINT);
	EXPECT_FALSE(entry.exits_within(500));
	EXPECT_EQ(entry.call(), 503);
}
