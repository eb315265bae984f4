/**
 * Processes of the entry, linepier-platformd, before the upstreams of an
 * emulated platform.
 */
#ifndef ENTRY_PROCESS_H
#define ENTRY_PROCESS_H

#include "direct_rig.h"

#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

/* Tests run in parallel, each in a process of its own with its own addresses
 * and ports. */
struct EntryProcess {
	static constexpr int first_port = 27100;
	static constexpr int ports_each = 4;
	static constexpr int processes_max = 240;

	std::string name;
	std::string ip;
	int port = first_port + getpid() % processes_max * ports_each;
	std::string front = address_at(0);
	std::string settings;
	GPid pid = 0;

	/* The first or second entry of a fleet; `more`: further settings. */
	EntryProcess(const pe *platform, int number, const std::string &more)
	    : name("entry-" + std::to_string(number)),
	      ip("127.0.3." + std::to_string(number + 1))
	{
		g_autofree char *path = nullptr;

		close(g_file_open_tmp("entry-process-XXXXXX", &path, nullptr));
		settings = path;
		write_settings(platform, more);
		start();
	}
	~EntryProcess()
	{
		if (pid)
			end();
		unlink(settings.c_str());
	}
	EntryProcess(const EntryProcess &) = delete;
	std::string address_at(int at) const
	{
		return ip + ":" + std::to_string(port + at);
	}
	void write_settings(const pe *platform, const std::string &more) const
	{
		const std::string control = ":" + std::to_string(port + 2);
		const std::string range = std::to_string(port + 3);
		std::string text =
			"node_name=" + name + "\nzone=a\nip=" + ip +
			"\nlisten.front=" + front +
			"\nlisten.ready=" + address_at(1) +
			"\nlisten.control=" + address_at(2) +
			"\nport_range=" + range + "," + range +
			"\nseeds=127.0.3.1" + control + ",127.0.3.2" + control +
			"\nplatform.address=" + pe_store_address(platform) +
			"\nbounds.grace_s=8\n" + more;

		g_file_set_contents(settings.c_str(), text.c_str(), -1,
				    nullptr);
	}
	void start()
	{
		char *argv[] = { (char *)LP_PLATFORMD, nullptr };
		char **env = g_environ_setenv(g_get_environ(), "LINEPIER_BOOT",
					      settings.c_str(), TRUE);

		EXPECT_TRUE(
			g_spawn_async(nullptr, argv, env,
				      (GSpawnFlags)(G_SPAWN_DO_NOT_REAP_CHILD |
						    G_SPAWN_STDOUT_TO_DEV_NULL),
				      nullptr, nullptr, &pid, nullptr));
		g_strfreev(env);
	}
	/* Without notice to anybody. */
	void end()
	{
		kill(pid, SIGKILL);
		waitpid(pid, nullptr, 0);
		pid = 0;
	}
	bool has_exited()
	{
		if (pid && waitpid(pid, nullptr, WNOHANG) == pid)
			pid = 0;
		return !pid;
	}
	/* Waits until it serves requests. */
	void wait_until_served() const
	{
		int number = 0;

		EXPECT_TRUE(run_loop_until([&] {
			CallerRequest request(
				front,
				("warm-up-" + name + std::to_string(number++))
					.c_str(),
				"/look/x", { { "X-Deadline-Ms", "1000" } });

			run_loop_until([&] { return request.done; }, 1200);
			return request.status == 200;
		}));
	}
};

#endif
