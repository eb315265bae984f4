/*
 * Prompts that have one part in common, under which engines crash, while
 * nothing else of the requests is alike: bodies, last parts and entries differ.
 */
#include "direct_rig.h"

#include <memory>

namespace
{

const char *const bad_part[] = { "bad0", nullptr };
const char *const two_bad_parts[] = { "bad0", "bad1", nullptr };

pe_poison_options crash_on(const char *const *parts)
{
	pe_poison_options options = {};

	options.parts = parts;
	options.after_ms = 10;
	options.end.away_ms = 300;
	options.end.told_ms = 150;
	options.end.new_id = true;
	return options;
}

/* Entries in contact with each other, on one platform with engines. */
struct Fleet {
	pe *platform = pe_create();
	std::vector<std::unique_ptr<Rig>> rigs;
	std::vector<std::string> ips;
	std::vector<pe_upstream *> engines;

	Fleet(int size, const pe_poison_options &options, int engine_count = 16)
	{
		pe_poison(platform, &options);
		for (int i = 0; i < engine_count; i++)
			engines.push_back(
				pe_add(platform, PE_ENGINE, "engine", "a"));
		for (int i = 0; i < size; i++) {
			ips.push_back("127.0.2." + std::to_string(i + 1));
			rigs.push_back(nullptr);
			start(i);
		}
		wait_until_ready();
	}
	~Fleet()
	{
		const GPtrArray *breaches = pe_breaches(platform);

		for (guint i = 0; i < breaches->len; i++)
			ADD_FAILURE()
				<< (const char *)g_ptr_array_index(breaches, i);
		rigs.clear();
		pe_destroy(platform);
	}
	void start(size_t at)
	{
		rigs[at] = std::make_unique<Rig>(platform);
		rigs[at]->spreads_config = true;
		rigs[at]->join(ips[at].c_str(), 500,
			       { ips[at ? 0 : ips.size() - 1] }, 1);
	}
	void wait_until_ready()
	{
		ASSERT_TRUE(run_loop_until([&] {
			for (auto &rig : rigs)
				if (!direct_ready(rig->entry) ||
				    direct_peers_count(rig->peers) <
					    rigs.size())
					return false;
			return true;
		}));
		rigs[0]->settle();
	}
	void kill_all()
	{
		for (auto &rig : rigs)
			rig.reset();
		for (size_t i = 0; i < rigs.size(); i++)
			start(i);
		wait_until_ready();
	}
	pe_poison_book counts() const
	{
		pe_poison_book counts;

		pe_poison_seen(platform, &counts);
		return counts;
	}
	std::string listing(size_t at = 0) const
	{
		GString *text = g_string_new(nullptr);
		std::string listing;

		direct_print_quarantine(rigs[at]->entry, text);
		listing = text->str;
		g_string_free(text, TRUE);
		return listing;
	}
};

/* A group of requests that are sent to all entries in turn. */
struct Load {
	Fleet &fleet;
	std::string name;
	std::string target;
	/* The prompt's parts but the last; "%" stands for a number that is new
	 * with each request. */
	std::string parts;
	std::vector<std::unique_ptr<CallerRequest>> requests;

	static std::string number(const std::string &text, size_t n)
	{
		size_t at = text.find('%');

		return at == std::string::npos
			       ? text
			       : text.substr(0, at) + std::to_string(n) +
					 text.substr(at + 1);
	}
	void send()
	{
		size_t n = requests.size();
		std::string id = name + std::to_string(n);
		std::string prefix =
			number(parts, n) + ",e" + std::to_string(n) + ":20";
		const Rig &rig = *fleet.rigs[n % fleet.rigs.size()];

		requests.push_back(std::make_unique<CallerRequest>(
			rig.address, id.c_str(), target.c_str(),
			Fields{ { "X-Prompt-Prefix", prefix },
				{ "X-Model", "m" },
				{ "X-Token-Counts", "400,20" } },
			("body of " + id).c_str()));
	}
	/* How many from `first` on were answered whole. */
	int served(size_t first = 0)
	{
		int served = 0;

		for (size_t i = first; i < requests.size(); i++)
			served += requests[i]->wait().body == complete_stream;
		return served;
	}
	int refused()
	{
		int refused = 0;

		for (auto &request : requests)
			refused += request->wait().status == 503;
		return refused;
	}
};

/* Sends to all of the loads `times` times, `gap_ms` apart. */
void send_in_turn(std::vector<Load *> loads, int times, int gap_ms)
{
	for (int i = 0; i < times; i++) {
		for (auto *load : loads)
			load->send();
		run_loop_until([] { return false; }, gap_ms);
	}
}

/* Requests of the same key share the first part with the others, whether it is
 * the one under which engines crash or not. */
void expect_part_blocked(int entries, const char *target, const char *bad_parts,
			 const char *sound_parts)
{
	Fleet fleet(entries, crash_on(bad_part));
	Load bad{ fleet, "bad", target, bad_parts, {} };
	Load sound{ fleet, "sound", "/again/x", sound_parts, {} };

	send_in_turn({ &bad, &sound }, 40, 200);
	EXPECT_LE(fleet.counts().arrivals_late, 3u) << target << bad_parts;
	EXPECT_GE(sound.served(), 36) << target << bad_parts;
	EXPECT_GE(bad.refused(), 25) << target << bad_parts;
}

/* Guards against a part of a prompt that crashes one engine after the other, as
 * no two of its requests have the same content. */
TEST(PromptPart, SecondPartIsBlockedOnItsOwn)
{
	for (const char *target : { "/once/x", "/again/x" })
		expect_part_blocked(2, target, "5ead:200,bad0:100",
				    "5ead:200,a%:100");
}

TEST(PromptPart, FirstPartIsBlockedOnItsOwn)
{
	for (const char *target : { "/once/x", "/again/x" })
		expect_part_blocked(2, target, "bad0:200,a%:100",
				    "900d:200,a%:100");
}

/* Three requests at a time, at all entries in turn. */
TEST(PromptPart, IsBlockedInFleetsOfSeveralSizes)
{
	for (int size : { 5, 21 }) {
		Fleet fleet(size, crash_on(bad_part));
		Load bad{ fleet, "bad", "/once/x", "5ead:200,bad0:100", {} };
		Load sound{ fleet, "sound", "/again/x", "5ead:200,a%:100", {} };

		send_in_turn({ &bad, &bad, &bad, &sound }, 30, 250);
		EXPECT_LE(fleet.counts().arrivals_late, 3u) << size;
		EXPECT_GE(sound.served(), 27) << size;
	}
}

/* Guards against a part that is forgotten when all entries are killed. */
TEST(PromptPart, StaysBlockedAfterAKillOfAllEntries)
{
	Fleet fleet(2, crash_on(bad_part));
	Load bad{ fleet, "bad", "/once/x", "5ead:200,bad0:100", {} };
	Load sound{ fleet, "sound", "/again/x", "5ead:200,a%:100", {} };
	uint32_t arrivals;

	send_in_turn({ &bad, &sound }, 12, 200);
	/* Records are stored within some round trips. */
	run_loop_until([] { return false; }, 300);
	arrivals = fleet.counts().arrivals;
	bad.requests.clear();
	sound.requests.clear();
	fleet.kill_all();
	ASSERT_TRUE(run_loop_until([&] {
		return direct_blocked_count(fleet.rigs[0]->entry) &&
		       direct_blocked_count(fleet.rigs[1]->entry);
	}));
	bad.name = "after-bad";
	sound.name = "after-sound";
	send_in_turn({ &bad, &sound }, 12, 200);
	EXPECT_EQ(fleet.counts().arrivals, arrivals);
	EXPECT_EQ(bad.refused(), 12);
	EXPECT_EQ(sound.served(), 12);
}

/* Guards against popular parts that are blocked as all engines crash, one after
 * the other. */
TEST(PromptPart, PopularPartsAreServedWhileEnginesCrash)
{
	const pe_poison_options none = {};
	const pe_end_options end = { 300, 150, true };
	Fleet fleet(2, none, 6);
	Load popular{ fleet, "popular", "/again/x", "5ead:200,900d:100", {} };

	for (auto *engine : fleet.engines) {
		send_in_turn({ &popular }, 10, 30);
		pe_end(engine, &end);
	}
	send_in_turn({ &popular }, 10, 30);
	EXPECT_GE(popular.served(), 63);
}

TEST(PromptPart, TwoPartsAreBlockedAtATime)
{
	Fleet fleet(2, crash_on(two_bad_parts));
	Load one{ fleet, "one", "/once/x", "5ead:200,bad0:100", {} };
	Load two{ fleet, "two", "/once/x", "bad1:200,a%:100", {} };
	Load sound{ fleet, "sound", "/again/x", "5ead:200,b%:100", {} };

	send_in_turn({ &one, &two, &sound }, 40, 200);
	EXPECT_LE(fleet.counts().arrivals_late, 3u);
	EXPECT_GE(sound.served(), 36);
}

/* An engine crashes under the only request, for a reason of its own. */
void crash_under(Fleet &fleet, Load &load)
{
	const pe_end_options end = { 300, 150, true };
	std::vector<uint32_t> arrivals;
	pe_upstream *running = nullptr;

	for (auto *engine : fleet.engines) {
		pe_set_work_ms(engine, 100);
		arrivals.push_back(pe_arrivals(engine));
	}
	load.send();
	ASSERT_TRUE(run_loop_until([&] {
		for (size_t i = 0; i < arrivals.size(); i++)
			if (pe_arrivals(fleet.engines[i]) > arrivals[i])
				running = fleet.engines[i];
		return running != nullptr;
	}));
	pe_end(running, &end);
	run_loop_until([] { return false; }, 200);
}

/* Guards against a sound first part that is refused for a minute together with
 * the part that crashes engines, as an engine crashed under it by chance. */
TEST(PromptPart, SoundFirstPartIsServedAfterACrashByChance)
{
	Fleet fleet(2, crash_on(bad_part), 8);
	Load bad{ fleet, "bad", "/once/x", "5ead:200,bad0:100", {} };
	Load sound{ fleet, "sound", "/once/x", "5ead:200", {} };

	crash_under(fleet, sound);
	send_in_turn({ &bad }, 8, 200);
	send_in_turn({ &bad, &sound }, 20, 200);
	EXPECT_GE(sound.served(1), 18);
	EXPECT_LE(fleet.counts().arrivals_late, 3u);
}

/* Guards against a sound first part that is stored without the part that may be
 * the cause in its place, and refused once all entries have restarted. */
TEST(PromptPart, SoundFirstPartIsServedAfterAKillOfAllEntries)
{
	Fleet fleet(2, crash_on(bad_part), 8);
	Load bad{ fleet, "bad", "/once/x", "5ead:200,bad0:100", {} };
	Load sound{ fleet, "sound", "/once/x", "5ead:200", {} };

	crash_under(fleet, sound);
	send_in_turn({ &bad }, 8, 200);
	/* Records are stored within some round trips. */
	run_loop_until([] { return false; }, 300);
	bad.requests.clear();
	sound.requests.clear();
	fleet.kill_all();
	run_loop_until([] { return false; }, 300);
	bad.name = "after-bad";
	sound.name = "after-sound";
	send_in_turn({ &sound, &bad }, 20, 200);
	EXPECT_GE(sound.served(), 18);
	EXPECT_LE(fleet.counts().arrivals_late, 3u);
}

/* Operators see the part under a digest, and can let it in again. */
TEST(PromptPart, OperatorsSeeAndClearIt)
{
	Fleet fleet(2, crash_on(bad_part));
	Load bad{ fleet, "bad", "/once/x", "5ead:200,bad0:100", {} };
	Load sound{ fleet, "sound", "/again/x", "5ead:200,a%:100", {} };
	std::string listing;
	uint64_t digest;
	size_t at;

	send_in_turn({ &bad, &sound }, 10, 200);
	listing = fleet.listing();
	EXPECT_EQ(listing.find("bad0"), std::string::npos);
	at = listing.find("\"key\":\"part\",\"standing\":\"kept_out\"");
	ASSERT_NE(at, std::string::npos) << listing;
	digest = g_ascii_strtoull(listing.substr(at - 18, 16).c_str(), nullptr,
				  16);
	direct_unblock_request(fleet.rigs[0]->entry, digest);
	ASSERT_TRUE(run_loop_until(
		[&] { return !direct_blocked_count(fleet.rigs[1]->entry); }));
	bad.send();
	EXPECT_EQ(bad.requests.back()->wait().status, 502u);
}

} // namespace
