/* A balancer that hands all new connections to one entry of a fleet. */
#include "direct_rig.h"

#include <memory>

namespace
{

/* Sends one request on each of `times` new connections, `gap_ms` apart, to the
 * entries in turn; returns the share that is served at once. */
double served_share(const std::vector<Rig *> &entries, int times, int gap_ms)
{
	std::vector<std::unique_ptr<CallerRequest>> requests;
	int served = 0;

	for (int i = 0; i < times; i++) {
		requests.push_back(std::make_unique<CallerRequest>(
			entries[i % entries.size()]->address,
			("u" + std::to_string(i)).c_str(), "/again/x"));
		run_loop_until([] { return false; }, gap_ms);
	}
	for (auto &request : requests)
		served += request->wait().body == complete_stream;
	return served / (double)times;
}

/* Guards against an entry that reads requests and serves fewer of them while
 * most new connections come to it. */
TEST(UnevenConnections, EntryServesWhatItReads)
{
	Rig first;
	Rig second(&first);
	double evenly;

	for (int i = 0; i < 8; i++)
		first.add(PE_ENGINE, "engine");
	first.join("127.0.0.1", 500, { "127.0.0.2" }, 1);
	second.join("127.0.0.2", 500, { "127.0.0.1" }, 1);
	first.settle();
	second.settle();
	evenly = served_share({ &first, &second }, 100, 20);
	EXPECT_GE(evenly, 0.9);
	EXPECT_GE(served_share({ &first }, 400, 5), 0.75 * evenly);
}

} // namespace
