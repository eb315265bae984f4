/*
 * The quarantine in fleets of entries that report to each other late, before
 * engines that crash on parts of prompts, on a simulated clock.
 */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace
{

const int64_t ms = LP_US_PER_MS;
const int64_t s = LP_US_PER_S;
const int64_t tick_us = 10 * ms;
const int64_t contact_us = 3 * s;
const uint32_t crashes_allowed = 5;

struct Sent {
	int64_t sent_us;
	bool begun;
};

/* Requests of one kind. Digests of parts; 0: one that is new each time. */
struct Kind {
	std::vector<uint64_t> parts;
	double per_s = 0;
	uint64_t organisation = 1;
	uint64_t content = 0;
	int64_t period_us = 0; /* sent at this interval, not at random */
	int64_t next_us = 0;
	std::vector<Sent> log = {};
	int sent = 0; /* from twice the contact time after the fifth crash on */
	int served = 0;
};

struct Run {
	Kind *kind;
	size_t number; /* in the log of the kind */
	size_t entry;
	quarantine_keys keys;
	uint32_t trials;
	int64_t sent_us;
	int64_t begin_us;
	int64_t end_us;
	bool begun;
	bool crashes;
	bool is_counted;
};

struct Engine {
	uint64_t incarnation;
	int64_t back_us;
	std::vector<Run> runs;
};

struct Fleet {
	TestClock clock;
	std::mt19937 random;
	std::vector<quarantine *> entries;
	std::vector<Engine> engines;
	std::multimap<int64_t, std::function<void()>> messages;
	std::vector<uint64_t> bad; /* parts and contents that crash engines */
	double crash_share = 1;	   /* of the runs that hold one */
	bool crashes_late = false; /* within the stream, not when it begins */
	double other_crash_per_s = 0; /* of engines, for another reason */
	double lost_share = 0;	      /* of the reports to other entries */
	/* Engines restart under their ids, and the list does not show it. */
	bool keeps_incarnations = false;
	uint64_t last_digest = 1000000;
	std::map<uint64_t, uint32_t> crashes;
	std::map<uint64_t, uint32_t> late_arrivals;
	std::map<uint64_t, int64_t> fifth_us;

	Fleet(uint32_t seed, size_t size, size_t engine_count = 18)
	    : random(seed), engines(engine_count)
	{
		for (size_t i = 0; i < size; i++)
			entries.push_back(quarantine_create(&clock.clock));
		for (auto &engine : engines)
			engine = { ++last_digest, 0, {} };
	}
	~Fleet()
	{
		for (auto *entry : entries)
			quarantine_destroy(entry);
	}
	int64_t draw_us(int64_t from_us, int64_t to_us)
	{
		return std::uniform_int_distribution<int64_t>(from_us,
							      to_us)(random);
	}
	bool draw(double probability)
	{
		return std::uniform_real_distribution<>()(random) < probability;
	}
	/* Here at once, at other entries within 100 ms. */
	void tell(size_t from, std::function<void(quarantine *)> change)
	{
		change(entries[from]);
		for (size_t i = 0; i < entries.size(); i++)
			if (i != from && !(lost_share && draw(lost_share)))
				messages.emplace(
					clock.now_us +
						draw_us(2 * ms, 100 * ms),
					[this, i, change] {
						change(entries[i]);
					});
	}
	/* The bad key that a request holds; 0: none. */
	uint64_t bad_key(const Run &run) const
	{
		for (uint32_t i = 0; i < run.keys.count; i++)
			if (std::count(bad.begin(), bad.end(),
				       run.keys.items[i].digest))
				return run.keys.items[i].digest;
		return 0;
	}
	void send(Kind &kind)
	{
		Run run = {};
		quarantine_admission admission;

		run.kind = &kind;
		run.number = kind.log.size();
		kind.log.push_back({ clock.now_us, false });
		run.entry = random() % entries.size();
		quarantine_keys_add(&run.keys,
				    kind.content ? kind.content : ++last_digest,
				    false);
		for (uint64_t part : kind.parts)
			quarantine_keys_add(&run.keys,
					    part ? part : ++last_digest, true);
		run.keys.organisation = kind.organisation;
		run.is_counted = !fifth_us.empty() &&
				 clock.now_us > fifth_us.begin()->second +
							2 * contact_us;
		kind.sent += run.is_counted;
		admission = quarantine_admit(entries[run.entry], &run.keys,
					     clock.now_us + 8 * s);
		run.trials = admission.trials;
		if (admission.decision == QUARANTINE_REFUSE)
			return;
		share_trials(run, clock.now_us + 8 * s);
		start(run);
	}
	void share_trials(const Run &run, int64_t until_us)
	{
		for (uint32_t i = 0; i < run.keys.count; i++) {
			uint64_t digest = run.keys.items[i].digest;

			if (run.trials & (1U << i))
				tell(run.entry, [=](quarantine *entry) {
					quarantine_set_trial(entry, digest,
							     until_us);
				});
		}
	}
	void start(Run &run)
	{
		std::vector<Engine *> up;
		uint64_t key = bad_key(run);

		for (auto &engine : engines)
			if (engine.back_us <= clock.now_us)
				up.push_back(&engine);
		if (up.empty())
			return;
		for (uint32_t i = 0; i < run.keys.count; i++)
			run.keys.items[i].round = quarantine_round(
				entries[run.entry], run.keys.items[i].digest);
		if (key && fifth_us.count(key) &&
		    clock.now_us > fifth_us[key] + contact_us)
			late_arrivals[key]++;
		run.crashes = key && draw(crash_share);
		run.sent_us = clock.now_us;
		run.begin_us = clock.now_us + draw_us(50 * ms, 300 * ms);
		run.end_us = run.begin_us + draw_us(200 * ms, 2 * s);
		up[random() % up.size()]->runs.push_back(run);
	}
	/* All requests there are lost; their entries detect it. */
	void crash(Engine &engine)
	{
		std::vector<Run> lost;

		lost.swap(engine.runs);
		for (const Run &run : lost)
			messages.emplace(clock.now_us +
						 draw_us(2 * ms, 30 * ms),
					 [=, this] { note_lost(run); });
		for (Run &run : lost)
			note_lost_later(run, engine.incarnation);
		if (!keeps_incarnations)
			engine.incarnation = ++last_digest;
		engine.back_us = clock.now_us + 4 * s;
	}
	void note_lost_later(const Run &run, uint64_t incarnation)
	{
		int64_t crashed_us = clock.now_us;

		for (uint32_t i = 0; i < run.keys.count; i++) {
			quarantine_termination termination = {};

			termination.key = run.keys.items[i].digest;
			termination.incarnation = incarnation;
			termination.round = run.keys.items[i].round;
			termination.terminated_us = crashed_us;
			termination.run_us = crashed_us - run.sent_us;
			termination.is_part = run.keys.items[i].is_part;
			termination.had_begun = run.begun;
			termination.organisations[0] = run.keys.organisation;
			messages.emplace(
				clock.now_us + draw_us(2 * ms, 30 * ms),
				[this, run, termination] {
					tell(run.entry, [=](quarantine *entry) {
						quarantine_add_termination(
							entry, &termination);
					});
				});
		}
	}
	void note_lost(const Run &run)
	{
		share_trials(run, clock.now_us);
	}
	void begin(Run &run)
	{
		int64_t now_us = clock.now_us;

		run.begun = true;
		run.kind->log[run.number].begun = true;
		for (uint32_t i = 0; i < run.keys.count; i++) {
			uint64_t digest = run.keys.items[i].digest;

			if (run.keys.items[i].is_part)
				tell(run.entry, [=](quarantine *entry) {
					quarantine_clear_unbegun(entry, digest,
								 now_us);
				});
		}
	}
	void finish(const Run &run)
	{
		int64_t now_us = clock.now_us;

		for (uint32_t i = 0; i < run.keys.count; i++) {
			uint64_t digest = run.keys.items[i].digest;

			tell(run.entry, [=](quarantine *entry) {
				quarantine_clear(entry, digest, now_us);
			});
		}
		share_trials(run, now_us);
	}
	/* Returns the bad key under which the engine crashes now; 0: none. */
	uint64_t step(Engine &engine)
	{
		for (size_t i = 0; i < engine.runs.size(); i++) {
			Run &run = engine.runs[i];
			int64_t crash_us = crashes_late ? run.end_us - 50 * ms
							: run.begin_us;

			if (run.crashes && crash_us <= clock.now_us)
				return bad_key(run);
			if (!run.begun && run.begin_us <= clock.now_us) {
				begin(run);
				run.kind->served += run.is_counted;
			}
			if (run.end_us <= clock.now_us) {
				finish(run);
				engine.runs.erase(engine.runs.begin() + i--);
			}
		}
		return 0;
	}
	bool is_due(Kind &kind)
	{
		if (!kind.period_us)
			return draw(kind.per_s * tick_us / s);
		if (clock.now_us < kind.next_us)
			return false;
		kind.next_us += kind.period_us;
		return true;
	}
	void run_for(int64_t us, std::vector<Kind *> kinds)
	{
		for (int64_t end_us = clock.now_us + us; clock.now_us < end_us;
		     clock.now_us += tick_us) {
			while (!messages.empty() &&
			       messages.begin()->first <= clock.now_us) {
				auto message = messages.begin()->second;

				messages.erase(messages.begin());
				message();
			}
			for (auto *kind : kinds)
				if (is_due(*kind))
					send(*kind);
			for (auto &engine : engines)
				step_engine(engine);
		}
	}
	void step_engine(Engine &engine)
	{
		uint64_t key = step(engine);

		if (key && ++crashes[key] == crashes_allowed)
			fifth_us[key] = clock.now_us;
		if (key || draw(other_crash_per_s / (double)engines.size() *
				tick_us / s))
			crash(engine);
	}
	/* Crashes an engine that runs a request of this kind. Returns false if
	 * there is none. */
	bool crash_under(const Kind &kind)
	{
		for (auto &engine : engines)
			for (const Run &run : engine.runs)
				if (run.kind == &kind) {
					crash(engine);
					return true;
				}
		return false;
	}
	/* The last crash counts for the fifth one. */
	void expect_bounded(uint64_t key, uint32_t crashes_max)
	{
		EXPECT_LE(late_arrivals[key], 3u);
		EXPECT_LE(crashes[key], crashes_max);
	}
};

/* More crashes than the fifth happen while the entries learn of them. */
const uint32_t crashes_max = 12;

/* Guards against a part that crashes one engine after the other in a fleet of
 * any size, and against blaming what sound requests share with it. */
TEST(QuarantineFleet, BlocksAPartAndServesWhatSharesOthersWithIt)
{
	for (size_t size : { 2, 5, 21, 68 })
		for (uint32_t seed = 1; seed <= 4; seed++)
			for (size_t place : { 0, 1, 2 }) {
				Fleet fleet(seed, size);
				Kind bad = { { 11, 12, 13 }, 6 };
				Kind same = { { 11, 12, 13 }, 1 };
				Kind popular = { { 11, 0 }, 10 };

				bad.parts[place] = 666;
				same.parts[place] = 0;
				fleet.bad = { 666 };
				fleet.run_for(40 * s,
					      { &bad, &same, &popular });
				SCOPED_TRACE(testing::Message()
					     << size << " entries, seed "
					     << seed << ", place " << place);
				fleet.expect_bounded(666, crashes_max);
				if (fleet.fifth_us.empty())
					continue;
				EXPECT_GE(same.served, 0.9 * same.sent);
				EXPECT_GE(popular.served, 0.9 * popular.sent);
			}
}

/* Guards against popular parts that are blocked because engines crash for
 * another reason, one after the other or several within a second. */
TEST(QuarantineFleet, PopularPartsStayServedWhileEnginesCrash)
{
	for (double per_s : { 0.5, 1.0, 2.0 })
		for (uint32_t seed = 1; seed <= 10; seed++) {
			Fleet fleet(seed, 5);
			Kind first = { { 11, 0 }, 15 };
			Kind second = { { 12, 13, 0 }, 3 };

			fleet.other_crash_per_s = per_s;
			fleet.fifth_us[0] = 0;
			fleet.run_for(60 * s, { &first, &second });
			EXPECT_GE(first.served, 0.75 * first.sent) << per_s;
			EXPECT_GE(second.served, 0.75 * second.sent) << per_s;
		}
}

TEST(QuarantineFleet, BlocksTwoPartsAndAContentTogether)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		Fleet fleet(seed, 5);
		Kind one = { { 11, 666 }, 3 };
		Kind two = { { 11, 667 }, 3 };
		Kind content = { { 11, 12 }, 3 };
		Kind sound = { { 11, 12 }, 5 };

		content.content = 668;
		fleet.bad = { 666, 667, 668 };
		fleet.run_for(60 * s, { &one, &two, &content, &sound });
		for (uint64_t key : fleet.bad)
			fleet.expect_bounded(key, crashes_max);
		EXPECT_GE(sound.served, 0.9 * sound.sent) << seed;
	}
}

/* Guards against a part that each organisation has to learn by itself. */
TEST(QuarantineFleet, BlocksAPartOfSeveralOrganisations)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		Fleet fleet(seed, 5);
		std::vector<Kind> bad(5, Kind{ { 11, 666 }, 1 });
		std::vector<Kind *> kinds;

		for (size_t i = 0; i < bad.size(); i++) {
			bad[i].organisation = i + 1;
			kinds.push_back(&bad[i]);
		}
		fleet.bad = { 666 };
		fleet.run_for(60 * s, kinds);
		fleet.expect_bounded(666, crashes_max);
	}
}

/* A part that crashes half of its runs is blocked once three rounds in a row
 * had no answer: at most half of the runs that would crash reach an engine. */
TEST(QuarantineFleet, BlocksAPartThatCrashesSometimes)
{
	const uint32_t seeds = 20;
	const uint32_t seconds = 60;
	uint32_t crashes = 0;

	for (uint32_t seed = 1; seed <= seeds; seed++) {
		Fleet fleet(seed, 5);
		Kind bad = { { 11, 666 }, 1 };
		Kind sound = { { 11, 0 }, 10 };

		fleet.bad = { 666 };
		fleet.crash_share = 0.5;
		fleet.run_for(seconds * s, { &bad, &sound });
		crashes += fleet.crashes[666];
		EXPECT_GE(sound.served, 0.9 * sound.sent) << seed;
	}
	EXPECT_LE(crashes, seeds * seconds / 2 / 2);
}

/* A part that crashes its engines within the stream: answers that have begun do
 * not speak for it. */
TEST(QuarantineFleet, BlocksAPartThatCrashesLate)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		Fleet fleet(seed, 5);
		Kind bad = { { 11, 666 }, 2 };
		Kind sound = { { 11, 0 }, 10 };

		fleet.bad = { 666 };
		fleet.crashes_late = true;
		fleet.run_for(60 * s, { &bad, &sound });
		fleet.expect_bounded(666, 25);
		EXPECT_GE(sound.served, 0.9 * sound.sent) << seed;
	}
}

/* Requests of another organisation crash engines by their contents and name a
 * part of the owner's prompts. */
void expect_owner_served(size_t contents, double share)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		Fleet fleet(seed, 5);
		std::vector<Kind> framing(contents, Kind{ { 11, 0 }, 0.1 });
		std::vector<Kind *> kinds;
		Kind owner = { { 11, 0 }, 0.2 };
		uint64_t content = 700;

		owner.organisation = 2;
		for (auto &kind : framing) {
			kind.content = ++content;
			fleet.bad.push_back(content);
			kinds.push_back(&kind);
		}
		kinds.push_back(&owner);
		fleet.fifth_us[0] = -2 * contact_us;
		fleet.run_for(100 * s, kinds);
		EXPECT_GE(owner.served, share * owner.sent) << seed;
	}
}

/* Guards against an organisation that gets a part of another one blocked by
 * naming it in requests of its own that crash engines. */
TEST(QuarantineFleet, NamingAPartOfOthersDoesNotBlockIt)
{
	expect_owner_served(12, 0.75);
}

/* The same with so many contents that the owner's requests are lost as well. */
TEST(QuarantineFleet, NamingAPartWithManyContentsDoesNotBlockIt)
{
	expect_owner_served(30, 0.6);
}

/* ---- engines that crash by chance beside a part ---- */

const uint64_t bad_part = 666;

/* One part crashes engines, and some crash by themselves under sound requests
 * that share its first part. */
struct Course {
	std::vector<uint64_t> sound;
	std::vector<uint64_t> bad;
	/* For each crash by chance, how many of the part's crashes come before
	 * it. */
	std::vector<uint32_t> chance;
	uint32_t organisations = 1; /* that send the part */
	uint64_t content = 0;	    /* crashes engines in place of the part */
	double lost_share = 0;	    /* of reports */
};

struct Callers {
	size_t count;
	bool in_step;
};

const int64_t warm_up_us = 10 * s;
const int64_t observed_us = 36 * s;

struct CourseRun {
	Fleet fleet;
	std::vector<Kind> sound;
	std::vector<Kind> bad;
	std::vector<Kind *> kinds;
	uint64_t bad_key;

	CourseRun(const Course &course, uint32_t seed, size_t entries,
		  const Callers &callers)
	    : fleet(seed, entries, entries > 3 ? 18 : 6),
	      bad_key(course.content ? course.content : bad_part)
	{
		fleet.bad = { bad_key };
		fleet.lost_share = course.lost_share;
		for (size_t i = 0; i < callers.count; i++) {
			Kind kind = { course.sound, 0 };

			kind.period_us = 1500 * ms;
			kind.next_us =
				callers.in_step ? 0 : fleet.draw_us(0, s);
			sound.push_back(kind);
		}
		for (uint32_t i = 0; i < course.organisations; i++) {
			Kind kind = { course.bad, 2.5 / course.organisations };

			kind.organisation = i + 1;
			kind.content = course.content;
			bad.push_back(kind);
		}
		for (auto &kind : sound)
			kinds.push_back(&kind);
	}
	void crash_by_chance()
	{
		while (!fleet.crash_under(sound[0]))
			fleet.run_for(tick_us, kinds);
	}
	/* Until the part has crashed so many engines, a minute at most. */
	void run_until(uint32_t crashes)
	{
		int64_t until_us = fleet.clock.now_us + 60 * s;

		while (fleet.crashes[bad_key] < crashes &&
		       fleet.clock.now_us < until_us)
			fleet.run_for(tick_us, kinds);
	}
	void play(const Course &course)
	{
		size_t at = 0;

		fleet.run_for(warm_up_us, kinds);
		for (; at < course.chance.size() && !course.chance[at]; at++) {
			crash_by_chance();
			fleet.run_for(200 * ms, kinds);
		}
		for (auto &kind : bad)
			kinds.push_back(&kind);
		for (; at < course.chance.size(); at++) {
			run_until(course.chance[at]);
			fleet.run_for(300 * ms, kinds);
			crash_by_chance();
		}
		run_until(3);
		fleet.run_for(10 * s, kinds);
	}
	double begun_share() const
	{
		int64_t from_us = fleet.clock.now_us;
		int begun = 0;
		int sent = 0;

		for (const auto &kind : sound)
			for (const auto &request : kind.log) {
				if (request.sent_us < from_us - observed_us)
					continue;
				sent++;
				begun += request.begun;
			}
		return (double)begun / sent;
	}
};

/* What begins is counted from 10 s after the third crash under the part on. */
void expect_sound_begun(const Course &course,
			const std::vector<size_t> &sizes = { 2, 3, 24 })
{
	for (size_t entries : sizes)
		for (const Callers &callers :
		     { Callers{ 1, true }, { 5, false }, { 5, true } })
			for (uint32_t seed = 1; seed <= 3; seed++) {
				CourseRun run(course, seed, entries, callers);

				run.play(course);
				run.fleet.run_for(observed_us, run.kinds);
				SCOPED_TRACE(testing::Message()
					     << entries << " entries, "
					     << callers.count << " callers, "
					     << callers.in_step << ", seed "
					     << seed);
				EXPECT_GE(run.begun_share(), 0.5);
				/* The trial after the block crashes one more.
				 */
				run.fleet.run_for(100 * s, run.kinds);
				EXPECT_GE(run.begun_share(), 0.5);
				run.fleet.expect_bounded(run.bad_key,
							 crashes_max);
			}
}

/* Guards against a sound first part that is blocked together with the part that
 * crashes engines, as an engine that ran it crashed by chance. */
TEST(QuarantineFleet, CrashByChanceDoesNotBlockTheFirstPart)
{
	for (const std::vector<uint32_t> &chance :
	     std::vector<std::vector<uint32_t>>{
		     {}, { 0 }, { 1 }, { 2 }, { 3 } })
		expect_sound_begun({ { 11, 0 }, { 11, 666, 0 }, chance });
}

/* The same with two crashes by chance. */
TEST(QuarantineFleet, TwoCrashesByChanceDoNotBlockTheFirstPart)
{
	for (const std::vector<uint32_t> &chance :
	     std::vector<std::vector<uint32_t>>{ { 0, 0 }, { 0, 1 }, { 0, 3 } })
		expect_sound_begun({ { 11, 0 }, { 11, 666, 0 }, chance });
}

/* The same where first parts are nested. */
TEST(QuarantineFleet, CrashByChanceDoesNotBlockNestedParts)
{
	for (uint32_t chance : { 0, 1, 3 })
		expect_sound_begun(
			{ { 11, 12, 0 }, { 11, 12, 666, 0 }, { chance } });
}

/* The same where a whole content crashes engines, and where reports are lost.
 */
TEST(QuarantineFleet, CrashByChanceBesideAContentOrLostReports)
{
	for (uint32_t chance : { 0, 1, 3 }) {
		expect_sound_begun(
			{ { 11, 0 }, { 11, 0 }, { chance }, 1, 668 });
		expect_sound_begun(
			{ { 11, 0 }, { 11, 666, 0 }, { chance }, 1, 0, 0.03 });
	}
}

/* The same where two organisations send the part. */
TEST(QuarantineFleet, CrashByChanceBesideAPartOfTwoOrganisations)
{
	for (uint32_t chance : { 0, 1, 3 })
		expect_sound_begun({ { 11, 0 }, { 11, 666, 0 }, { chance }, 2 },
				   { 3, 24 });
}

/* Guards against a part of two organisations that crashes a fourth engine later
 * than the contact time, as all six crashed within a second, in few rounds. */
TEST(QuarantineFleet, PartOfTwoOrganisationsThatCrashedAllEnginesAtOnce)
{
	const Course course = { { 11, 0 }, { 11, 666, 0 }, { 0 }, 2 };
	CourseRun run(course, 2, 2, { 5, false });

	run.play(course);
	run.fleet.run_for(observed_us, run.kinds);
	run.fleet.expect_bounded(run.bad_key, crashes_max);
}

/* Guards against a part that goes on crashing engines which restart under their
 * ids: another part that shared one crash of an engine was taken for the cause
 * of all its later ones. */
TEST(QuarantineFleet, BlocksAPartWhileEnginesKeepTheirIncarnations)
{
	for (size_t entries : { 2, 3 })
		for (uint32_t seed = 1; seed <= 20; seed++) {
			Fleet fleet(seed, entries, 4);
			std::vector<Kind> bad(5, Kind{ {}, 0.6 });
			std::vector<Kind *> kinds;

			for (size_t i = 0; i < bad.size(); i++) {
				bad[i].parts = { 20 + i, 666 };
				bad[i].content = 700 + i % 2;
				kinds.push_back(&bad[i]);
			}
			fleet.bad = { 666 };
			fleet.keeps_incarnations = true;
			fleet.run_for(50 * s, kinds);
			SCOPED_TRACE(testing::Message()
				     << entries << " entries, seed " << seed);
			fleet.expect_bounded(666, crashes_max);
		}
}

/* Guards against second parts that keep a first part from being blocked which
 * crashes engines itself. */
TEST(QuarantineFleet, SecondPartsDoNotExcuseTheFirst)
{
	for (size_t entries : { 2, 3, 24 })
		for (uint64_t second_parts : { 1, 4, 1000 })
			for (uint32_t seed = 1; seed <= 5; seed++) {
				Fleet fleet(seed, entries, 18);
				std::vector<Kind> bad(
					second_parts > 4 ? 1 : second_parts);
				std::vector<Kind *> kinds;

				for (size_t i = 0; i < bad.size(); i++) {
					bad[i].parts = { 666, 50 + i, 0 };
					bad[i].per_s = 2.5 / bad.size();
					kinds.push_back(&bad[i]);
				}
				if (second_parts > 4)
					bad[0].parts[1] = 0;
				fleet.bad = { 666 };
				fleet.run_for(50 * s, kinds);
				SCOPED_TRACE(testing::Message()
					     << entries << " entries, "
					     << second_parts << ", seed "
					     << seed);
				fleet.expect_bounded(666, crashes_max);
			}
}

} // namespace
