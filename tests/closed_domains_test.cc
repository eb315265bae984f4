/*
 * End-to-end tests of failure domains that operators close to new work, and of
 * cold upstreams.
 */
#include "direct_rig.h"

namespace
{

const char ok_status[] = "200";

std::string request_status(Rig &rig, const char *target = "/look/x")
{
	static int number = 0;

	return std::to_string(CallerRequest(rig.address,
					    std::to_string(++number).c_str(),
					    target)
				      .wait()
				      .status);
}

uint32_t arrivals(const std::vector<pe_upstream *> &upstreams)
{
	uint32_t sum = 0;

	for (auto upstream : upstreams)
		sum += pe_arrivals(upstream);
	return sum;
}

/* Two domains with an upstream of each kind; the entry is in "a". */
struct Domains {
	Rig rig;
	std::vector<pe_upstream *> a;
	std::vector<pe_upstream *> b;

	Domains()
	{
		for (auto domain : { &a, &b }) {
			const char *name = domain == &a ? "a" : "b";

			domain->push_back(
				pe_add(rig.platform, PE_PLAIN, "plain", name));
			domain->push_back(
				pe_add(rig.platform, PE_STAGE, "first", name));
			domain->push_back(
				pe_add(rig.platform, PE_STAGE, "second", name));
			domain->push_back(pe_add(rig.platform, PE_ENGINE,
						 "engine", name));
		}
		rig.settle();
	}
};

void wait_ms(int64_t ms)
{
	run_loop_until([] { return false; }, ms);
}

/* One request of each kind: a call, a stream, a stream with stages. */
void request_each_kind(Rig &rig, int count)
{
	for (int i = 0; i < count; i++) {
		EXPECT_EQ(request_status(rig), ok_status);
		EXPECT_EQ(request_status(rig, "/once/x"), ok_status);
		EXPECT_EQ(request_staged(rig, "s" + std::to_string(i)),
			  complete_stream);
	}
}

TEST(ClosedDomains, GetNoNewRequestsUntilReopened)
{
	Domains domains;
	uint32_t before;

	request_each_kind(domains.rig, 2);
	pe_evacuate(domains.rig.platform, "a");
	wait_ms(300);
	before = arrivals(domains.a);
	request_each_kind(domains.rig, 5);
	EXPECT_EQ(arrivals(domains.a), before);
	pe_take_back(domains.rig.platform, "a");
	wait_ms(300);
	request_each_kind(domains.rig, 5);
	EXPECT_GT(arrivals(domains.a), before);
}

/* Two domains closed one after the other: only the current one is avoided. */
TEST(ClosedDomains, OnlyTheCurrentlyClosedDomainIsAvoided)
{
	Domains domains;
	uint32_t before;

	pe_evacuate(domains.rig.platform, "a");
	wait_ms(300);
	pe_take_back(domains.rig.platform, "a");
	pe_evacuate(domains.rig.platform, "b");
	wait_ms(300);
	before = arrivals(domains.b);
	request_each_kind(domains.rig, 3);
	EXPECT_EQ(arrivals(domains.b), before);
}

/* Guards against a domain that stays closed for good: an answer of the service
 * may list changes in any order, and where the closing of one domain came
 * before the reopening of another, the latter was ignored and all requests were
 * refused. */
TEST(ClosedDomains, ChangesOfAnAnswerApplyInAnyOrder)
{
	Domains domains;
	uint32_t before;

	pe_evacuate(domains.rig.platform, "b");
	wait_ms(300);
	pe_store_fault(domains.rig.platform, PE_STORE_DEAF_WATCHES);
	pe_take_back(domains.rig.platform, "b");
	pe_evacuate(domains.rig.platform, "a");
	pe_store_fault(domains.rig.platform, PE_STORE_FINE);
	wait_ms(1500);
	before = arrivals(domains.a);
	request_each_kind(domains.rig, 2);
	EXPECT_EQ(arrivals(domains.a), before);
	EXPECT_GT(arrivals(domains.b), 0u);
}

/* Requests that run in a domain when it is closed are completed. */
TEST(ClosedDomains, RunningRequestsAreAnswered)
{
	Rig rig;
	pe_upstream *only = rig.add(PE_PLAIN, "plain");

	pe_set_work_ms(only, 200);
	rig.settle();
	CallerRequest running(rig.address, "u", "/look/x");
	ASSERT_TRUE(run_loop_until([&] { return pe_arrivals(only) == 1; }));
	pe_evacuate(rig.platform, "a");
	EXPECT_EQ(running.wait().status, 200u);
}

/* Without an open domain a request is refused at once, as not run. */
TEST(ClosedDomains, RequestsAreRefusedWithoutAnOpenDomain)
{
	Rig rig;
	pe_upstream *only = rig.add(PE_PLAIN, "plain");

	rig.add(PE_STAGE, "first");
	rig.add(PE_STAGE, "second");
	pe_add(rig.platform, PE_ENGINE, "engine", "b");
	rig.settle();
	pe_evacuate(rig.platform, "a");
	wait_ms(300);
	CallerRequest plain(rig.address, "p", "/order/x");
	CallerRequest staged(
		rig.address, "s", "/staged/x",
		Fields{ { "X-Pieces", "3,2" }, { "X-Piece-Key", "k" } });

	for (CallerRequest *refused : { &plain, &staged }) {
		EXPECT_EQ(refused->wait().status, 503u);
		EXPECT_NE(refused->retry_after, "");
		EXPECT_LT(refused->took_us, 200 * LP_US_PER_MS);
	}
	EXPECT_EQ(pe_arrivals(only), 0u);
}

/* An entry that the service refuses learns of the closing from a peer. */
TEST(ClosedDomains, AreLearntFromAPeerDuringAStoreOutage)
{
	Domains domains;
	Rig refused;
	uint32_t before;
	pe_upstream *in_closed_domain =
		pe_add(refused.platform, PE_PLAIN, "plain", "a");

	pe_add(refused.platform, PE_PLAIN, "plain", "b");
	refused.settle();
	domains.rig.join("127.0.0.1", 500, { "127.0.0.2" });
	refused.join("127.0.0.2", 500, { "127.0.0.1" });
	pe_store_fault(refused.platform, PE_STORE_BUSY);
	ASSERT_TRUE(run_loop_until([&] {
		return !plf_feed_kv_is_available(refused.feed) &&
		       direct_peers_count(refused.peers) == 2;
	}));
	pe_evacuate(domains.rig.platform, "a");
	wait_ms(300);
	before = pe_arrivals(in_closed_domain);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(request_status(refused), ok_status);
	EXPECT_EQ(pe_arrivals(in_closed_domain), before);
}

/* The domain was closed before the entry started. */
TEST(ClosedDomains, AreKnownToAnEntryThatStarts)
{
	Domains domains;
	uint32_t before = arrivals(domains.a);

	pe_evacuate(domains.rig.platform, "a");
	Rig started_later(&domains.rig);

	started_later.settle();
	request_each_kind(started_later, 5);
	EXPECT_EQ(arrivals(domains.a), before);
}

/* A domain is reopened while the service refuses the entry: the next read after
 * the outage shows it. */
TEST(ClosedDomains, ReopeningDuringAStoreOutageIsReadAfterIt)
{
	Domains domains;
	uint32_t before;

	pe_evacuate(domains.rig.platform, "a");
	wait_ms(300);
	pe_store_fault(domains.rig.platform, PE_STORE_BUSY);
	ASSERT_TRUE(run_loop_until(
		[&] { return !plf_feed_kv_is_available(domains.rig.feed); }));
	before = arrivals(domains.a);
	request_each_kind(domains.rig, 2);
	EXPECT_EQ(arrivals(domains.a), before);
	pe_take_back(domains.rig.platform, "a");
	pe_store_fault(domains.rig.platform, PE_STORE_FINE);
	ASSERT_TRUE(run_loop_until(
		[&] { return plf_feed_kv_is_available(domains.rig.feed); }));
	EXPECT_TRUE(run_loop_until([&] {
		request_status(domains.rig);
		return arrivals(domains.a) > before;
	}));
}

/* ---- cold upstreams ---- */

/* The sample configuration, with a rate limit for engines that have just
 * started. */
void set_cold_config(Rig &rig, int64_t version)
{
	char *text = pe_sample_config(version);
	std::string json = text;
	const std::string engine = "{\"name\":\"engine\",";

	g_free(text);
	json.replace(json.find(engine), engine.size(),
		     engine + "\"cold_s\":2,\"cold_per_s\":4,");
	pe_set_config(rig.platform, json.c_str());
}

/* All engines are cold: each gets requests up to the rate limit, and the others
 * are refused at once. */
TEST(ColdUpstreams, GetNoMoreThanTheirRateLimit)
{
	Rig rig;
	pe_upstream *cold[] = { rig.add(PE_ENGINE, "engine"),
				rig.add(PE_ENGINE, "engine") };
	std::vector<std::unique_ptr<CallerRequest>> requests;
	int refused = 0;

	set_cold_config(rig, 2);
	rig.settle(2);
	for (pe_upstream *engine : cold)
		pe_set_cold(engine, 5000);
	wait_ms(600);
	for (int i = 0; i < 100; i++) {
		requests.push_back(std::make_unique<CallerRequest>(
			rig.address, std::to_string(i).c_str(), "/once/x",
			Fields{ { "X-Token-Counts", "10,6" },
				{ "X-Prompt-Prefix", "a:5,b:5" } }));
		wait_ms(10);
	}
	for (auto &request : requests)
		refused += request->wait().status == 503;
	for (pe_upstream *engine : cold) {
		EXPECT_LE(pe_arrivals(engine), 5u);
		EXPECT_GE(pe_arrivals(engine), 2u);
	}
	EXPECT_GT(refused, 80);
}

/* Requests above the rate limit of cold engines go to warm ones. */
TEST(ColdUpstreams, ExcessRequestsGoToWarmUpstreams)
{
	Rig rig;
	pe_upstream *cold = rig.add(PE_ENGINE, "engine");

	rig.add(PE_ENGINE, "engine");
	set_cold_config(rig, 2);
	rig.settle(2);
	pe_set_cold(cold, 5000);
	wait_ms(600);
	for (int i = 0; i < 40; i++)
		EXPECT_EQ(request_status(rig, "/once/x"), ok_status);
}

} // namespace
