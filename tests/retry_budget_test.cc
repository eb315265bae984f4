/*
 * The retry budget of a fleet whose entries start, are killed and take retries
 * at random.
 */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace
{

const double ratio = 0.2;
const double slack = 60;
const int64_t window_us = 10 * LP_US_PER_S;
const int64_t step_us = 20 * LP_US_PER_MS;

/* Sends requests at a steady rate and takes as many retries as it gets. */
struct Fleet {
	TestClock clock;
	std::mt19937 random;
	std::vector<retry_budget *> entries;
	std::vector<int64_t> requests;
	std::vector<int64_t> retries;

	Fleet(uint32_t seed, size_t size) : random(seed), entries(size)
	{
		for (size_t i = 0; i < size; i++)
			start(i);
	}
	~Fleet()
	{
		for (auto *entry : entries)
			retry_budget_destroy(entry);
	}
	void start(size_t at)
	{
		retry_budget_options options = {};

		options.clock = &clock.clock;
		options.ratio = ratio;
		options.slack = slack / (double)entries.size();
		entries[at] = retry_budget_create(&options);
	}
	void restart(size_t at)
	{
		retry_budget_destroy(entries[at]);
		start(at);
	}
	bool draw(double probability)
	{
		return std::uniform_real_distribution<>()(random) < probability;
	}
	/* All or some of the entries are killed, 0.2 to 5 s apart. */
	void run_for(int64_t us, double kill_share)
	{
		int64_t kill_us = 0;

		for (int64_t end_us = clock.now_us + us; clock.now_us < end_us;
		     clock.now_us += step_us) {
			if (!kill_us)
				kill_us = clock.now_us + 200000 +
					  random() % 4800000;
			if (clock.now_us >= kill_us) {
				kill_us = 0;
				for (size_t i = 0; i < entries.size(); i++)
					if (draw(kill_share))
						restart(i);
			}
			step();
		}
	}
	void step()
	{
		for (auto *entry : entries) {
			retry_budget_add_request(entry, "s");
			requests.push_back(clock.now_us);
			while (retry_budget_take(entry, "s"))
				retries.push_back(clock.now_us);
		}
	}
	static size_t count(const std::vector<int64_t> &times, int64_t from_us)
	{
		return std::lower_bound(times.begin(), times.end(),
					from_us + window_us) -
		       std::lower_bound(times.begin(), times.end(), from_us);
	}
	/* Largest excess over the bound in any window. The requests are those
	 * of the window, of the one before or of the one half a window before,
	 * whichever has most. */
	double excess() const
	{
		double worst = -slack;

		for (int64_t from_us : retries) {
			size_t sent = std::max(
				{ count(requests, from_us),
				  count(requests, from_us - window_us / 2),
				  count(requests, from_us - window_us) });

			worst = std::max(worst,
					 (double)count(retries, from_us) -
						 ratio * (double)sent - slack);
		}
		return worst;
	}
};

/* Guards against a fleet that exceeds its budget because each start of a
 * process has the whole share of the slack again. */
TEST(RetryBudget, RestartsWithinAWindowDoNotRenewTheSlack)
{
	for (uint32_t seed = 1; seed <= 40; seed++) {
		Fleet fleet(seed, 1 + seed % 8);

		fleet.run_for(40 * LP_US_PER_S, seed % 2 ? 1 : 0.5);
		EXPECT_LE(fleet.excess(), 0) << "seed " << seed;
	}
}

} // namespace
