/*
 * Streams while engines of two software versions serve: a stream goes on only
 * at the version that began it, within one answer and over its caller's
 * attempts. The emulator records a breach for each stream that does not.
 */
#include "entry_process.h"

#include <memory>
#include <vector>

namespace
{

const int streams_count = 12;

/* Engines of v1 in another failure domain than the entries, and engines of v2
 * in theirs, so that v2 is preferred once it serves. */
struct TwoVersions {
	Rig first;
	std::vector<std::unique_ptr<Rig>> others;
	std::vector<pe_upstream *> v1;
	std::vector<pe_upstream *> v2;
	std::vector<std::string> bodies;
	bool has_prompts = false;

	explicit TwoVersions(int entries = 1, bool in_contact = true)
	{
		std::vector<std::string> ips;

		for (int i = 0; i < 2; i++) {
			v1.push_back(pe_add(first.platform, PE_ENGINE, "engine",
					    "b"));
			pe_set_work_ms(v1[i], 100);
		}
		for (int i = 1; i < entries; i++)
			others.push_back(std::make_unique<Rig>(&first));
		for (int i = 0; i < entries; i++)
			ips.push_back("127.0.0." + std::to_string(i + 1));
		for (int i = 0; i < entries && in_contact; i++)
			entry(i).join(ips[i].c_str(), 500, ips);
		wait_for_lists();
		for (int i = 0; i < entries && in_contact; i++)
			EXPECT_TRUE(run_loop_until([&] {
				return (int)direct_peers_count(
					       entry(i).peers) == entries;
			}));
	}
	Rig &entry(int i)
	{
		return i ? *others[i - 1] : first;
	}
	/* Waits until all entries must know the present list of upstreams. */
	void wait_for_lists()
	{
		EXPECT_TRUE(run_loop_until(
			[&] { return direct_ready(first.entry); }));
		for (auto &other : others)
			EXPECT_TRUE(run_loop_until(
				[&] { return direct_ready(other->entry); }));
		run_loop_until([] { return false; }, first.drain_us / 1000);
	}
	/* Starts engines of v2 and waits until all entries know them. */
	void release()
	{
		for (int i = 0; i < 2; i++) {
			v2.push_back(first.add(PE_ENGINE, "engine"));
			pe_set_version(v2[i], "v2");
		}
		wait_for_lists();
	}
	static std::string attempt(int stream, int number)
	{
		return "s" + std::to_string(stream) + "-" +
		       std::to_string(number);
	}
	/* Begins a stream whose engine cuts it after two events, once there was
	 * time for a release. */
	std::unique_ptr<CallerRequest> begin_stream_to_be_cut()
	{
		auto stream = std::make_unique<CallerRequest>(first.address,
							      "a1", "/again/x");

		for (pe_upstream *engine : v1) {
			pe_fault(engine, PE_FAULT_CUT);
			pe_set_work_ms(engine, 900);
		}
		EXPECT_TRUE(run_loop_until(
			[&] { return pe_runs(first.platform, "a1") == 1; }));
		return stream;
	}
	/* The engine of v1 that has no stream. */
	pe_upstream *idle_engine()
	{
		return v1[pe_arrivals(v1[0]) ? 1 : 0];
	}
	/* Begins streams at v1 through the first entry; their callers leave
	 * after the first events. */
	void begin_streams()
	{
		for (int i = 0; i < streams_count; i++) {
			CallerRequest begun(first.address,
					    attempt(i, 0).c_str(), "/again/x",
					    prompt(i));

			EXPECT_TRUE(run_loop_until(
				[&] { return !begun.body.empty(); }));
			begun.cancel();
			bodies.push_back(begun.body);
		}
	}
	/* The id of the last event in a body. */
	static std::string last_id(const std::string &body)
	{
		size_t at = body.rfind("id: ");

		return body.substr(at + 4, body.find('\n', at) - at - 4);
	}
	/* Resumes a stream, as its caller does, after the events that it has.
	 */
	std::unique_ptr<CallerRequest> resume(int stream, int number, Rig &at)
	{
		return resume(stream, number, at, attempt(stream, 0));
	}
	/* `begun`: the attempt that the caller names; empty: none. */
	std::unique_ptr<CallerRequest> resume(int stream, int number, Rig &at,
					      const std::string &begun)
	{
		Fields fields = prompt(stream);

		fields["Last-Event-Id"] = last_id(bodies[stream]);
		if (!begun.empty())
			fields["Resumes"] = begun;
		return std::make_unique<CallerRequest>(
			at.address, attempt(stream, number).c_str(), "/again/x",
			fields);
	}
	Fields prompt(int stream) const
	{
		std::string own = "b" + std::to_string(stream) + ":5";

		if (!has_prompts)
			return {};
		return { { "X-Token-Counts", "10,6" },
			 { "X-Prompt-Prefix", "a:5," + own } };
	}
	/* Resumes all streams at an entry. Returns how many were completed. */
	int complete_streams(Rig &at)
	{
		int completed = 0;

		for (int i = 0; i < streams_count; i++) {
			auto resumed = resume(i, 1, at);

			resumed->wait();
			completed +=
				resumed->error == LP_OK &&
				bodies[i] + resumed->body == complete_stream;
		}
		return completed;
	}
	uint32_t mixed()
	{
		return pe_mixed_streams(first.platform);
	}
	/* The request did not run, was refused at once, and its caller is told
	 * when to come back. */
	void expect_refused(CallerRequest &refused, const std::string &id)
	{
		refused.wait();
		EXPECT_EQ(refused.status, 503u);
		EXPECT_NE(refused.retry_after, "");
		EXPECT_LT(refused.took_us, 500000);
		EXPECT_EQ(pe_runs(first.platform, id.c_str()), 0u);
	}
};

/* Guards against an entry that resumes a broken stream at an engine of another
 * version. */
TEST(StreamVersion, EntryResumesAtVersionThatBegan)
{
	TwoVersions versions;
	auto stream = versions.begin_stream_to_be_cut();

	pe_fault(versions.idle_engine(), PE_FAULT_NONE);
	versions.release();
	EXPECT_EQ(stream->wait().body, complete_stream);
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against a stream that goes on at another version although its caller
 * could be told that no engine of its version is left. */
TEST(StreamVersion, AnswerIsAbortedWhenVersionIsGone)
{
	TwoVersions versions;
	auto stream = versions.begin_stream_to_be_cut();

	pe_drain(versions.idle_engine());
	versions.release();
	EXPECT_NE(stream->wait().error, LP_OK);
	EXPECT_EQ(stream->body,
		  "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n");
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against an entry that continues a stream of another entry at another
 * version. */
TEST(StreamVersion, CallerContinuesAtAnotherEntry)
{
	TwoVersions versions(2);

	versions.begin_streams();
	versions.release();
	EXPECT_EQ(versions.complete_streams(versions.entry(1)), streams_count);
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against a stream whose version is lost with the entry that began it.
 */
TEST(StreamVersion, CallerContinuesAfterFirstEntryTerminated)
{
	TwoVersions versions(3);

	versions.begin_streams();
	versions.release();
	versions.first.end();
	EXPECT_EQ(versions.complete_streams(versions.entry(2)), streams_count);
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against a guess by an entry that cannot know where the stream began:
 * it has no contact to any other. */
TEST(StreamVersion, UnknownStreamIsRefused)
{
	TwoVersions versions(2, false);

	versions.begin_streams();
	versions.release();
	for (int i = 0; i < streams_count; i++)
		versions.expect_refused(
			*versions.resume(i, 1, versions.entry(1)),
			TwoVersions::attempt(i, 1));
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against a stream that goes on at another version, or waits for its
 * deadline, when no engine of its version is left. */
TEST(StreamVersion, StreamOfGoneVersionIsRefused)
{
	TwoVersions versions(2);

	versions.begin_streams();
	versions.release();
	for (pe_upstream *engine : versions.v1)
		pe_remove(engine);
	versions.wait_for_lists();
	for (int i = 0; i < streams_count; i++)
		versions.expect_refused(
			*versions.resume(i, 1, versions.entry(i % 2)),
			TwoVersions::attempt(i, 1));
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against a placer that chooses an engine of another version. */
TEST(StreamVersion, PlacerChoosesVersionThatBegan)
{
	TwoVersions versions(2);

	versions.has_prompts = true;
	versions.begin_streams();
	versions.release();
	EXPECT_EQ(versions.complete_streams(versions.entry(1)), streams_count);
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against a stream whose version is lost after its first continuation:
 * its caller names the attempt of the first event each time. */
TEST(StreamVersion, LaterAttemptsContinueAtVersionThatBegan)
{
	TwoVersions versions(2);

	versions.begin_streams();
	versions.release();
	for (int i = 0; i < streams_count; i++) {
		auto resumed = versions.resume(i, 1, versions.entry(1));

		EXPECT_TRUE(run_loop_until([&] {
			return !resumed->body.empty() || resumed->done;
		}));
		versions.bodies[i] += resumed->body;
		if (!resumed->done)
			resumed->cancel();
		resumed = versions.resume(i, 2, versions.entry(i % 2));
		EXPECT_EQ(versions.bodies[i] + resumed->wait().body,
			  complete_stream);
	}
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against the version of an upstream as it is now in place of that of
 * the stream's first event: it has come back under its id with another one. */
TEST(StreamVersion, UpgradedUpstreamKeepsItsStreamsVersion)
{
	TwoVersions versions(2);
	const pe_restart_options restart = {};

	versions.begin_streams();
	pe_restart(versions.v1[0], &restart);
	pe_set_version(versions.v1[0], "v2");
	versions.wait_for_lists();
	EXPECT_EQ(versions.complete_streams(versions.entry(1)), streams_count);
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against records that are lost with the entries that keep them, when
 * these are restarted one after the other. */
TEST(StreamVersion, DrainingEntryHandsItsRecordsOver)
{
	TwoVersions versions(2);
	Rig late(&versions.first);

	versions.begin_streams();
	late.join("127.0.0.9", 500, { "127.0.0.1", "127.0.0.2" });
	versions.release();
	EXPECT_TRUE(run_loop_until([&] {
		return direct_ready(late.entry) &&
		       direct_peers_count(late.peers) == 3 &&
		       direct_peers_count(versions.entry(1).peers) == 3;
	}));
	versions.first.end();
	direct_drain(versions.entry(1).entry);
	run_loop_until([] { return false; }, 100);
	versions.entry(1).end();
	EXPECT_EQ(versions.complete_streams(late), streams_count);
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against a guess for a caller that does not say which attempt began its
 * stream, or names one that nobody has seen. */
TEST(StreamVersion, UnnamedStreamIsRefusedWhileTwoVersionsServe)
{
	const std::string unknown[] = { "", "never-seen",
					std::string(2000, 'x') };
	TwoVersions versions(2);
	int number = 0;

	versions.begin_streams();
	versions.release();
	for (const std::string &begun : unknown) {
		number++;
		versions.expect_refused(
			*versions.resume(0, number, versions.entry(1), begun),
			TwoVersions::attempt(0, number));
	}
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against refusals of streams of unknown origin where a single version
 * can have begun them: it alone was listed for as long as streams last. */
TEST(StreamVersion, UnnamedStreamContinuesAtTheSoleVersion)
{
	Rig::stream_age_max_us = LP_US_PER_S;
	TwoVersions versions;
	Rig::stream_age_max_us = 0;

	versions.begin_streams();
	versions.wait_for_lists();
	EXPECT_EQ(
		versions.bodies[0] +
			versions.resume(0, 1, versions.first, "")->wait().body,
		complete_stream);
	/* The first version has left: it may have begun the stream. */
	versions.release();
	for (pe_upstream *engine : versions.v1)
		pe_remove(engine);
	run_loop_until([] { return false; }, 400);
	versions.expect_refused(*versions.resume(0, 2, versions.first, ""),
				TwoVersions::attempt(0, 2));
	versions.wait_for_lists();
	versions.wait_for_lists();
	EXPECT_EQ(versions.resume(0, 3, versions.first, "")->wait().status,
		  200u);
}

/* Guards against entries that have all restarted and take the only version that
 * they find for the one that began a stream: both versions serve, or the first
 * one has just left. */
TEST(StreamVersion, StreamsFromBeforeAKillOfAllEntriesAreRefused)
{
	for (bool first_version_left : { false, true }) {
		TwoVersions versions(2);
		Rig first(&versions.first);
		Rig second(&versions.first);

		versions.begin_streams();
		versions.release();
		for (pe_upstream *engine : versions.v1)
			if (first_version_left)
				pe_remove(engine);
		versions.wait_for_lists();
		versions.first.end();
		versions.entry(1).end();
		first.join("127.0.0.8", 500, { "127.0.0.9" });
		second.join("127.0.0.9", 500, { "127.0.0.8" });
		EXPECT_TRUE(run_loop_until([&] {
			return direct_ready(first.entry) &&
			       direct_ready(second.entry) &&
			       direct_peers_count(first.peers) == 2 &&
			       direct_peers_count(second.peers) == 2;
		}));
		for (int i = 0; i < streams_count; i++)
			versions.expect_refused(
				*versions.resume(
					i, 1, i % 2 ? first : second,
					i % 3 ? TwoVersions::attempt(i, 0)
					      : ""),
				TwoVersions::attempt(i, 1));
		EXPECT_EQ(versions.mixed(), 0u);
	}
}

/* Streams over real processes, all of which are killed beside a release. */
struct KilledFleet {
	pe *platform = pe_create();
	std::vector<pe_upstream *> engines;
	std::vector<std::unique_ptr<EntryProcess>> entries;
	std::vector<std::string> bodies;

	KilledFleet()
	{
		g_autofree char *config = pe_sample_config(1);

		pe_set_config(platform, config);
		pe_add(platform, PE_PLAIN, "plain", "a");
		for (int i = 0; i < 3; i++)
			add_engine("v1");
		for (int i = 0; i < 2; i++)
			entries.push_back(std::make_unique<EntryProcess>(
				platform, i, "bootstrap=true\n"));
		for (auto &entry : entries)
			entry->wait_until_served();
	}
	~KilledFleet()
	{
		entries.clear();
		EXPECT_EQ(pe_mixed_streams(platform), 0u);
		pe_destroy(platform);
	}
	void add_engine(const char *version)
	{
		engines.push_back(pe_add(platform, PE_ENGINE, "engine", "a"));
		pe_set_version(engines.back(), version);
	}
	void begin_streams()
	{
		for (int i = 0; i < streams_count; i++) {
			CallerRequest begun(entries[i % 2]->front,
					    TwoVersions::attempt(i, 0).c_str(),
					    "/again/x");

			EXPECT_TRUE(run_loop_until(
				[&] { return !begun.body.empty(); }));
			bodies.push_back(begun.body);
		}
	}
	/* They come back with the settings of a later start. */
	void kill_all()
	{
		for (auto &entry : entries)
			entry->end();
		for (auto &entry : entries) {
			entry->write_settings(platform, "bootstrap=false\n");
			entry->start();
		}
	}
	/* Callers try again and again, as they may, while entries start. */
	void resume_streams(int64_t ms)
	{
		int64_t until_us = g_get_monotonic_time() + ms * 1000;

		for (int n = 1; g_get_monotonic_time() < until_us; n++)
			for (int i = 0; i < streams_count; i++) {
				Fields fields = { { "Last-Event-Id",
						    TwoVersions::last_id(
							    bodies[i]) } };

				if (i % 3)
					fields["Resumes"] =
						TwoVersions::attempt(i, 0);
				CallerRequest(
					entries[n % 2]->front,
					TwoVersions::attempt(i, n).c_str(),
					"/again/x", fields)
					.wait();
			}
	}
};

/* Guards against text joined from two versions: both serve, or the first one
 * has just left. */
TEST(StreamVersion, ProcessesKilledAtOnceJoinNoVersions)
{
	for (bool first_version_left : { false, true }) {
		KilledFleet fleet;

		fleet.begin_streams();
		for (int i = 0; i < 3; i++)
			fleet.add_engine("v2");
		if (first_version_left)
			for (int i = 0; i < 3; i++)
				pe_remove(fleet.engines[i]);
		run_loop_until([] { return false; }, 1500);
		fleet.kill_all();
		fleet.resume_streams(8000);
	}
}

/* Guards against an emulated engine that is released while it is away and comes
 * back under its id with the new version, as no engine of the platform does. */
TEST(StreamVersion, EngineReleasedWhileAwayGetsANewId)
{
	const pe_end_options crash = { 200, 100, false };
	const pe_end_options release = { 200, 100, true };
	TwoVersions versions;
	pe_upstream *engine = versions.v1[0];
	const std::string id = pe_name(engine);

	pe_end(engine, &crash);
	pe_end(engine, &release);
	pe_set_version(engine, "v2");
	EXPECT_TRUE(
		run_loop_until([&] { return id != pe_name(engine); }, 1000));
}

} // namespace
