/**
 * Several entries that have discovered each other, on one emulated platform
 * with two upstreams of each service.
 */
#ifndef FLEET_RIG_H
#define FLEET_RIG_H

#include "direct_rig.h"

#include <memory>

const int64_t request_interval_ms = 20;

struct Fleet {
	Rig first;
	std::vector<std::unique_ptr<Rig>> others;
	std::map<std::string, std::vector<pe_upstream *>> upstreams;
	std::vector<std::unique_ptr<CallerRequest>> requests;
	int last_id = 0;

	explicit Fleet(int size = 3)
	{
		std::vector<std::string> ips;

		add(PE_PLAIN, "plain");
		add(PE_ENGINE, "engine");
		add(PE_STAGE, "first");
		add(PE_STAGE, "second");
		for (int i = 1; i < size; i++)
			others.push_back(std::make_unique<Rig>(&first));
		for (int i = 0; i < size; i++)
			ips.push_back("127.0.0." + std::to_string(i + 1));
		for (int i = 0; i < size; i++)
			entry(i).join(ips[i].c_str(), 500, ips);
		for (int i = 0; i < size; i++)
			entry(i).settle();
		EXPECT_TRUE(run_loop_until(
			[&] { return all_have_discovered(size); }));
	}
	void add(pe_kind kind, const char *service)
	{
		for (int i = 0; i < 2; i++)
			upstreams[service].push_back(first.add(kind, service));
	}
	int size() const
	{
		return (int)others.size() + 1;
	}
	Rig &entry(int i)
	{
		return i ? *others[i - 1] : first;
	}
	bool all_have_discovered(int count)
	{
		for (int i = 0; i < size(); i++)
			if ((int)direct_peers_count(entry(i).peers) < count)
				return false;
		return true;
	}
	/* Starts another entry and waits until it has discovered the others. */
	std::unique_ptr<Rig> start_late_entry()
	{
		auto late = std::make_unique<Rig>(&first);

		late->join("127.0.0.9", 500, { "127.0.0.1", "127.0.0.2" });
		late->settle();
		EXPECT_TRUE(run_loop_until([&] {
			return (int)direct_peers_count(late->peers) ==
			       size() + 1;
		}));
		return late;
	}
	/* Sends a request to the entries in turn. */
	CallerRequest &request(const char *target)
	{
		std::string id = std::to_string(++last_id);
		Fields fields = { { "X-Token-Counts", "10,6" },
				  { "X-Prompt-Prefix", "a:5,b" + id + ":5" } };

		if (strstr(target, "staged")) {
			fields["X-Pieces"] = "1,1";
			fields["X-Piece-Key"] = "k" + id;
		}
		requests.push_back(std::make_unique<CallerRequest>(
			entry(last_id % size()).address, id.c_str(), target,
			fields));
		return *requests.back();
	}
	void request_for(const char *target, int64_t ms)
	{
		const int64_t end_us = g_get_monotonic_time() + ms * 1000;

		while (g_get_monotonic_time() < end_us) {
			request(target);
			run_loop_until([] { return false; },
				       request_interval_ms);
		}
	}
	int count(uint32_t status)
	{
		int found = 0;

		for (auto &request : requests)
			found += request->wait().status == status;
		return found;
	}
};

#endif
