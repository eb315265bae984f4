/*
 * Streams while engines of two software versions serve: a stream goes on only
 * at the version that began it, within one answer and over its caller's
 * attempts. The emulator records a breach for each stream that does not.
 */
#include "direct_rig.h"

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
	/* Begins streams at v1 through the first entry; their callers leave
	 * after the first events. */
	void begin_streams()
	{
		for (int i = 0; i < streams_count; i++) {
			CallerRequest begun(first.address,
					    attempt(i, 0).c_str(), "/again/x");

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
	/* Takes a stream up, as its caller does, after the events that it has.
	 */
	std::unique_ptr<CallerRequest> take_up(int stream, int number, Rig &at)
	{
		return std::make_unique<CallerRequest>(
			at.address, attempt(stream, number).c_str(), "/again/x",
			Fields{ { "Last-Event-Id", last_id(bodies[stream]) },
				{ "Resumes", attempt(stream, 0) } });
	}
	/* Takes all streams up at an entry. Returns how many were completed. */
	int complete_streams(Rig &at)
	{
		int completed = 0;

		for (int i = 0; i < streams_count; i++) {
			auto taken = take_up(i, 1, at);

			taken->wait();
			completed += taken->error == LP_OK &&
				     bodies[i] + taken->body == complete_stream;
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
	pe_upstream *began;

	for (pe_upstream *engine : versions.v1) {
		pe_fault(engine, PE_FAULT_CUT);
		pe_set_work_ms(engine, 900);
	}
	CallerRequest stream(versions.first.address, "a1", "/again/x");
	EXPECT_TRUE(run_loop_until(
		[&] { return pe_runs(versions.first.platform, "a1") == 1; }));
	began = versions.v1[pe_arrivals(versions.v1[0]) ? 0 : 1];
	for (pe_upstream *engine : versions.v1)
		if (engine != began)
			pe_fault(engine, PE_FAULT_NONE);
	versions.release();
	EXPECT_EQ(stream.wait().body, complete_stream);
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against a stream that goes on at another version although its caller
 * could be told that no engine of its version is left. */
TEST(StreamVersion, AnswerIsAbortedWhenVersionIsGone)
{
	TwoVersions versions;

	for (pe_upstream *engine : versions.v1) {
		pe_fault(engine, PE_FAULT_CUT);
		pe_set_work_ms(engine, 900);
	}
	CallerRequest stream(versions.first.address, "a1", "/again/x");
	EXPECT_TRUE(run_loop_until(
		[&] { return pe_runs(versions.first.platform, "a1") == 1; }));
	pe_drain(versions.v1[pe_arrivals(versions.v1[0]) ? 1 : 0]);
	versions.release();
	EXPECT_NE(stream.wait().error, LP_OK);
	EXPECT_EQ(stream.body,
		  "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n");
	EXPECT_EQ(versions.mixed(), 0u);
}

/* Guards against an entry that takes up a stream of another entry at another
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
			*versions.take_up(i, 1, versions.entry(1)),
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
			*versions.take_up(i, 1, versions.entry(i % 2)),
			TwoVersions::attempt(i, 1));
	EXPECT_EQ(versions.mixed(), 0u);
}

} // namespace
