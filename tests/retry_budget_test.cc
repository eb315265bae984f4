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
	std::vector<int64_t> started_us;
	std::vector<int64_t> requests;
	std::vector<int64_t> retries;

	Fleet(uint32_t seed, size_t size)
	    : random(seed), entries(size), started_us(size)
	{
		for (size_t i = 0; i < size; i++)
			start(i, slack / (double)size);
	}
	~Fleet()
	{
		for (auto *entry : entries)
			retry_budget_destroy(entry);
	}
	void start(size_t at, double share)
	{
		retry_budget_options options = {};

		options.clock = &clock.clock;
		options.ratio = ratio;
		options.slack = share;
		entries[at] = retry_budget_create(&options);
		started_us[at] = clock.now_us;
	}
	void restart(size_t at, double share)
	{
		retry_budget_destroy(entries[at]);
		start(at, share);
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
						restart(i,
							slack / (double)entries
									.size());
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

/* Guards against an excess while entries are added, some of them are killed,
 * and each entry learns the size of the fleet late. */
TEST(RetryBudget, GrowingFleetStaysWithinItsBudget)
{
	const int64_t learn_us = 2 * LP_US_PER_S;

	for (uint32_t seed = 1; seed <= 20; seed++) {
		Fleet fleet(seed, 2 + seed % 5);
		size_t size = fleet.entries.size();
		std::vector<int64_t> grown_us;

		for (int i = 0; i < 2000; i++) {
			if (fleet.draw(0.003) && fleet.entries.size() < 40) {
				fleet.entries.push_back(nullptr);
				fleet.started_us.push_back(0);
				fleet.start(fleet.entries.size() - 1, 0);
				grown_us.push_back(fleet.clock.now_us);
			}
			while (!grown_us.empty() &&
			       fleet.clock.now_us - grown_us[0] > learn_us) {
				grown_us.erase(grown_us.begin());
				size++;
			}
			for (size_t at = 0; at < fleet.entries.size(); at++) {
				if (fleet.draw(0.005))
					fleet.restart(at, 0);
				if (fleet.clock.now_us - fleet.started_us[at] >
				    learn_us)
					retry_budget_set_bounds(
						fleet.entries[at], ratio,
						retry_budget_share(
							slack, (uint32_t)size));
			}
			fleet.step();
			fleet.clock.now_us += step_us;
		}
		EXPECT_LE(fleet.excess(), 0) << "seed " << seed;
	}
}

/* Guards against an entry that spends the share of a fleet whose size it does
 * not know yet. */
TEST(RetryBudget, WithoutAShareRetriesAreOnlyPaidFromRequests)
{
	TestClock clock;
	retry_budget_options options = { &clock.clock, ratio, 0, 0, true };
	retry_budget *budget = retry_budget_create(&options);

	clock.now_us += 3 * window_us;
	EXPECT_FALSE(retry_budget_take(budget, "s"));
	for (int i = 0; i < 5; i++)
		retry_budget_add_request(budget, "s");
	EXPECT_TRUE(retry_budget_take(budget, "s"));
	EXPECT_FALSE(retry_budget_take(budget, "s"));
	EXPECT_EQ(retry_budget_share(slack, 0), 0);
	retry_budget_destroy(budget);
}

/* Guards against an entry that keeps what it saved under a larger share. */
TEST(RetryBudget, SmallerShareAppliesToWhatWasSaved)
{
	TestClock clock;
	retry_budget_options options = { &clock.clock, 0, 20, 0, true };
	retry_budget *budget = retry_budget_create(&options);
	int taken = 0;

	retry_budget_set_bounds(budget, 0, 4);
	while (retry_budget_take(budget, "s"))
		taken++;
	EXPECT_EQ(taken, 2);
	retry_budget_destroy(budget);
}

TEST(RetryBudget, WholeShareIsUsableInAWindow)
{
	TestClock clock;
	retry_budget_options options = { &clock.clock, 0, 20, 0, true };
	retry_budget *budget = retry_budget_create(&options);
	int taken = 0;

	for (int i = 0; i < 100; i++) {
		while (retry_budget_take(budget, "s"))
			taken++;
		clock.now_us += window_us / 100;
	}
	EXPECT_GE(taken, 19);
	EXPECT_LE(taken, 20);
	retry_budget_destroy(budget);
}

TEST(RecentMax, ForgetsAfterOneToTwoPeriods)
{
	recent_max highest = { 100, 0, 0, 0 };

	EXPECT_EQ(recent_max_update(&highest, 7, 1), 7u);
	EXPECT_EQ(recent_max_update(&highest, 3, 100), 7u);
	EXPECT_EQ(recent_max_update(&highest, 2, 150), 7u);
	EXPECT_EQ(recent_max_update(&highest, 1, 210), 2u);
	EXPECT_EQ(recent_max_update(&highest, 1, 900), 1u);
}

} // namespace
