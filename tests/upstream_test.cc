/*
 * What upstreams say of themselves, and what another writer puts in their
 * place: only whole entries name an upstream, and the others hold.
 */
#include "direct_rig.h"

#include <string>
#include <vector>

namespace
{

const char whole[] = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
		     "\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,"
		     "\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":4,"
		     "\"born\":1764720000123}";

/* The whole entry with something else in the place of one part. */
std::string with(const std::string &part, const std::string &other)
{
	std::string text = whole;
	size_t at = text.find(part);

	EXPECT_NE(at, std::string::npos) << part;
	return text.replace(at, part.size(), other);
}

bool names_one(const std::string &value, const char *key = "servers/i-1")
{
	pool_entry entry;
	const char *field = nullptr;
	int error = plf_read_upstream(key, value.data(), value.size(), &entry,
				      &field);

	EXPECT_EQ(error == LP_OK, field == nullptr);
	EXPECT_EQ(error == LP_OK, entry.id != nullptr);
	plf_clear_upstream(&entry);
	return error == LP_OK;
}

TEST(Upstream, AWholeEntryIsRead)
{
	const std::string engine =
		with("\"seq_no\":4", "\"seq_no\":4,\"stage\":\"both\","
				     "\"models\":[{\"name\":\"m\"}],"
				     "\"later\":{}");
	pool_entry entry;
	const char *field;

	ASSERT_EQ(plf_read_upstream("servers/i-1", whole, strlen(whole), &entry,
				    &field),
		  LP_OK);
	EXPECT_STREQ(entry.id, "i-1");
	EXPECT_STREQ(entry.service, "s");
	EXPECT_STREQ(entry.address, "10.0.0.1:80");
	EXPECT_STREQ(entry.domain, "a");
	EXPECT_EQ(entry.slots, 6u);
	EXPECT_FALSE(entry.leaving);
	EXPECT_EQ(entry.born_ms, 1764720000123);
	plf_clear_upstream(&entry);
	EXPECT_TRUE(names_one(engine));
	EXPECT_TRUE(names_one(with(",\"born\":1764720000123", "")));
	EXPECT_TRUE(names_one(with("\"ready\"", "\"draining\"")));
}

/* Each field: missing, of each other type, out of its range. */
TEST(Upstream, OnlyAWholeEntryNamesOne)
{
	const struct {
		const char *field;
		const char *good;
		std::vector<const char *> bad;
	} rows[] = {
		{ "service", "\"s\"", { "\"\"" } },
		{ "address",
		  "\"10.0.0.1:80\"",
		  { "\"10.0.0.1\"", "\"10.0.0.1:0\"", "\"10.0.0.1:65536\"",
		    "\"10.0.0.1:x\"", "\":80\"", "\"10.0.0:80\"", "\"a:80\"",
		    "\"10.0.0.1:80:1\"", "\"10.0.0.1:80 \"", "\"\"",
		    "\"10.0.0.1:+80\"", "\"[::1]:80\"" } },
		{ "zone", "\"a\"", { "\"\"" } },
		{ "version", "\"v1\"", { "\"\"" } },
		{ "slots", "6", { "0", "-6", "1e30", "6.5", "4294967302" } },
		{ "state",
		  "\"ready\"",
		  { "\"resting\"", "\"Ready\"", "\"\"" } },
		{ "cold_left_ms", "0", { "-1", "0.5", "1e30" } },
		{ "seq_no", "4", { "-4", "4.5", "1e30" } },
		{ "born",
		  "1764720000123",
		  { "0", "-1", "1.5", "1764720000123.0", "1e30" } },
	};
	const char *const types[] = { "null", "true", "[]", "{}", "[1]" };

	for (const auto &row : rows) {
		const std::string name = "\"" + std::string(row.field) + "\":";
		const std::string good = name + row.good;
		std::vector<const char *> bad = row.bad;

		bad.insert(bad.end(), std::begin(types), std::end(types));
		bad.push_back(*row.good == '"' ? "7" : "\"7\"");
		for (const char *value : bad)
			EXPECT_FALSE(names_one(with(good, name + value)))
				<< name << value;
		EXPECT_EQ(names_one(with(good, "\"other\":1")),
			  !strcmp(row.field, "born"))
			<< "no " << row.field;
	}
	EXPECT_FALSE(
		names_one(with("\"seq_no\":4", "\"seq_no\":4,\"stage\":[]")));
	EXPECT_FALSE(names_one(
		with("\"seq_no\":4", "\"seq_no\":4,\"models\":\"m\"")));
}

/* Bytes that are no entry. */
TEST(Upstream, WhatIsNoJsonNamesNone)
{
	const std::string text = whole;
	const std::string deep(100000, '[');
	const std::string rows[] = {
		"",
		"no",
		"7",
		"[]",
		"[" + text + "]",
		text.substr(0, text.size() / 2),
		text + "}",
		text + text,
		text + std::string("\0more", 5),
		std::string("\0", 1) + text,
		with("\"s\"", std::string("\"s\0\"", 4)),
		with("\"s\"", "\"s\\u0000\""),
		with("\"s\"", "\"\xff\xfe\""),
		with("\"s\"", "\"s\n\""),
		with("{", "{/* a note */"),
		with("}", ",}"),
		with("\"service\"", "service"),
		with("\"seq_no\":4", "\"seq_no\":4,\"slots\":6"),
		with("\"seq_no\":4", "\"seq_no\":4,\"more\":" + deep),
		deep,
		with("\"s\"", "\"" + std::string(1 << 20, 's') + "\""),
		with("\"seq_no\":4", "\"seq_no\":4,\"more\":\"" +
					     std::string(1 << 20, 's') + "\""),
	};

	for (const std::string &row : rows)
		EXPECT_FALSE(names_one(row)) << row.substr(0, 200);
}

/* An id goes into a field of each call. */
TEST(Upstream, AnIdStandsInAFieldByItself)
{
	for (const char *key :
	     { "servers/", "servers/i 1", "servers/i\r\na: b",
	       "servers/\xc3\xa9", "servers/i\x7f", "other/i", "i-1" })
		EXPECT_FALSE(names_one(whole, key)) << key;
	EXPECT_TRUE(names_one(whole, "servers/i-1"));
}

/* ---- the list, and what it is among peers ---- */

struct List {
	lp_event_log *log;
	lp_counters *counters = lp_counters_create();
	plf_unreadable *unreadable;
	std::vector<std::pair<std::string, std::string>> items;
	plf_upstream_list *it = nullptr;

	List()
	{
		lp_event_options options = {};

		options.process = "test";
		options.clock = lp_clock_boot();
		options.fd = -1;
		log = lp_event_log_create(&options);
		unreadable = plf_unreadable_create(log, counters);
	}
	~List()
	{
		plf_upstream_list_destroy(it);
		plf_unreadable_destroy(unreadable);
		lp_counters_destroy(counters);
		lp_event_log_destroy(log);
	}
	void add(const std::string &id, const std::string &value)
	{
		items.emplace_back("servers/" + id, value);
	}
	uint32_t take()
	{
		std::vector<store_pair> pairs;

		for (auto &item : items)
			pairs.push_back({ item.first.data(), item.second.data(),
					  item.second.size(), 1, 1 });
		plf_upstream_list_destroy(it);
		it = plf_upstream_list_from_range(pairs.data(), pairs.size(),
						  unreadable);
		return plf_upstream_list_size(it);
	}
	int64_t refused()
	{
		return *lp_counter(counters, "linepier_unreadable_upstreams",
				   nullptr);
	}
};

TEST(UpstreamList, WhatCannotBeReadLeavesTheOthersAlone)
{
	List list;

	list.add("i-1", whole);
	list.add("i-2", "\xff");
	list.add("i-3", with("6", "-6"));
	list.add("i-4", whole);
	EXPECT_EQ(list.take(), 2u);
	EXPECT_EQ(list.refused(), 2);
	list.items[1].second = whole;
	EXPECT_EQ(list.take(), 3u);
	EXPECT_EQ(list.refused(), 1);
}

/* Kept over an outage is what is missing, not what another one overwrote. */
TEST(UpstreamList, WhatBecameUnreadableIsNotKept)
{
	List before;
	List now;

	for (const char *id : { "i-1", "i-2", "i-3" })
		before.add(id, whole);
	before.take();
	now.add("i-1", whole);
	now.add("i-2", "rubbish");
	now.take();
	EXPECT_EQ(plf_upstream_list_retain_missing(now.it, before.it), 1u);
	EXPECT_EQ(plf_upstream_list_size(now.it), 2u);
}

/* Where all others say when they started, one that does not is not whole. */
TEST(UpstreamList, AStartIsMissingWhereNearlyAllSayIt)
{
	const std::string without = with(",\"born\":1764720000123", "");
	List list;

	for (int i = 0; i < 9; i++)
		list.add("i-" + std::to_string(i), whole);
	list.add("i-x", without);
	EXPECT_EQ(list.take(), 9u);
	EXPECT_EQ(list.refused(), 1);
	/* A release that brings it is half done: all of them serve. */
	for (int i = 0; i < 5; i++)
		list.items[i].second = without;
	EXPECT_EQ(list.take(), 10u);
	EXPECT_EQ(list.refused(), 0);
}

TEST(UpstreamList, AnyBytesSurviveAmongPeers)
{
	List list;
	plf_upstream_list *read;
	char *text;

	list.add("i-1", with("\"s\"", "\"a b\\nc %20 \xc3\xa9 \\t\""));
	list.add("i-2", with("\"a\"", "\" \\n\\r \""));
	list.add("i-%", with("ready", "draining"));
	ASSERT_EQ(list.take(), 3u);
	text = plf_upstream_list_serialize(list.it);
	read = plf_upstream_list_parse(text);
	ASSERT_NE(read, nullptr);
	EXPECT_EQ(plf_upstream_list_size(read), 3u);
	EXPECT_EQ(plf_upstream_list_hash(read),
		  plf_upstream_list_hash(list.it));
	EXPECT_NE(plf_upstream_list_hash(read), 0u);
	plf_upstream_list_destroy(read);
	g_free(text);
}

/* Another form, or a part of one: nothing is taken rather than a part. */
TEST(UpstreamList, ATextOfPeersIsTakenWholeOrNotAtAll)
{
	const char *const rows[] = {
		"",
		"\n",
		"linepier-upstreams 3",
		"linepier-upstreams 2\n",
		"linepier-upstreams 2\ni-1 s 10.0.0.1:80 a 6 0 5\n",
		"i-1 s 10.0.0.1:80 a 6 0\n", /* without a line for the form */
		"linepier-upstreams 3\ni-1 s 10.0.0.1:80 a 6 0 5\n",
		"linepier-upstreams 3\ni-1 s 10.0.0.1:80 a 6 0 5 0 9\n",
		"linepier-upstreams 3\ni-1 s 10.0.0.1:80 a 6 2 5 0\n",
		"linepier-upstreams 3\ni-1 s 10.0.0.1:80 a -6 0 5 0\n",
		"linepier-upstreams 3\ni-1 s 10.0.0.1:80 a 6 0 -5 0\n",
		"linepier-upstreams 3\ni-1 s 10.0.0.1:80 a 6 0 5 -1\n",
		"linepier-upstreams 3\ni-1 s 10.0.0.1:80 a 6 0 5 86400001\n",
		"linepier-upstreams 3\ni-1 %zz 10.0.0.1:80 a 6 0 5 0\n",
		"linepier-upstreams 3\ni-1 %00 10.0.0.1:80 a 6 0 5 0\n",
		"linepier-upstreams 3\ni-1 s 10.0.0.1:80 a 6 0 5 0",
		"linepier-upstreams 3\ni-1 s 10.0.0.1:80 a 6 0 5 0\n\nmore",
	};
	plf_upstream_list *none =
		plf_upstream_list_parse("linepier-upstreams 3\n");

	for (const char *row : rows)
		EXPECT_EQ(plf_upstream_list_parse(row), nullptr) << row;
	ASSERT_NE(none, nullptr);
	EXPECT_EQ(plf_upstream_list_size(none), 0u);
	plf_upstream_list_destroy(none);
}

/* How long it is cold yet is told; whether it is cold tells lists apart. */
TEST(UpstreamList, TellsWhoIsCold)
{
	const std::string before =
		"linepier-upstreams 3\ni-1 s 10.0.0.1:80 a 6 "
		"0 5 ";
	plf_upstream_list *warm =
		plf_upstream_list_parse((before + "0\n").c_str());
	plf_upstream_list *cold =
		plf_upstream_list_parse((before + "900\n").c_str());
	plf_upstream_list *later =
		plf_upstream_list_parse((before + "300\n").c_str());

	ASSERT_TRUE(warm && cold && later);
	EXPECT_EQ(plf_upstream_list_entries(cold)->cold_us, 900000);
	EXPECT_EQ(plf_upstream_list_hash(cold), plf_upstream_list_hash(later));
	EXPECT_NE(plf_upstream_list_hash(cold), plf_upstream_list_hash(warm));
	plf_upstream_list_destroy(warm);
	plf_upstream_list_destroy(cold);
	plf_upstream_list_destroy(later);
}

} // namespace
