/*
 * The fleet of processes that scenarios and measurements start.
 *
 * The failure guarded against: a scenario's first call found no listener, as
 * the fleet counted as started as soon as its processes were spawned. Waiting
 * must not hide an entry that never listens.
 */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

/* A folder of programs as the build has them, but for linepierd. */
struct Programs {
	char *folder = g_dir_make_tmp("lp-fleet-XXXXXX", nullptr);

	explicit Programs(const char *linepierd)
	{
		g_autofree char *self =
			g_file_read_link("/proc/self/exe", nullptr);
		g_autofree char *tests = g_path_get_dirname(self);
		const std::string standin =
			std::string(tests) + "/../lp-standin";
		const std::string script = path("linepierd");

		EXPECT_EQ(symlink(standin.c_str(), path("lp-standin").c_str()),
			  0);
		EXPECT_TRUE(g_file_set_contents(script.c_str(), linepierd, -1,
						nullptr));
		EXPECT_EQ(g_chmod(script.c_str(), 0700), 0);
	}
	~Programs()
	{
		g_unlink(path("lp-standin").c_str());
		g_unlink(path("linepierd").c_str());
		g_rmdir(folder);
		g_free(folder);
	}
	std::string path(const char *name) const
	{
		return std::string(folder) + "/" + name;
	}
};

/* What a fleet with this linepierd says of its failure; "": it has started. */
std::string failure_of(const char *linepierd)
{
	Programs programs(linepierd);
	const std::string file = programs.path("a.fleet");
	g_autofree char *why = nullptr;
	fleet_options options = {};
	struct fleet *fleet;

	g_file_set_contents(file.c_str(), "domains a\nservice s plain 1\n", -1,
			    nullptr);
	options.file = file.c_str();
	options.build = programs.folder;
	options.logs = programs.folder;
	options.entries = 1;
	options.start_timeout_us = 500000;
	fleet = fleet_create(&options, &why);
	g_unlink(file.c_str());
	for (const char *log : { "standin.log", "entry-0.log", "s-0.log" })
		g_unlink(programs.path(log).c_str());
	if (!fleet)
		return why;
	fleet_destroy(fleet);
	return "";
}

TEST(Fleet, EntryThatNeverListensFailsItWithAClearLine)
{
	EXPECT_EQ(failure_of("#!/bin/sh\nexec sleep 30\n").substr(0, 40),
		  "entry-0 does not listen for callers at 1");
}

TEST(Fleet, EntryThatEndsAtOnceFailsItWithAClearLine)
{
	EXPECT_EQ(failure_of("#!/bin/sh\nexit 1\n").substr(0, 40),
		  "entry-0 does not listen for callers at 1");
}

} // namespace
