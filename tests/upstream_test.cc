/*
 * Decoding of upstreams' records, which any writer may have overwritten: an
 * invalid record adds no upstream and leaves the other records valid. Also the
 * list of upstreams and its text among peers.
 */
#include "direct_rig.h"

#include <string>
#include <vector>

namespace
{

const char valid_record[] =
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
	"\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,"
	"\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":4,"
	"\"born\":1764720000123}";

/* Returns the valid record with one part replaced. */
std::string replaced(const std::string &old_text, const std::string &new_text)
{
	std::string text = valid_record;
	size_t at = text.find(old_text);

	EXPECT_NE(at, std::string::npos) << old_text;
	return text.replace(at, old_text.size(), new_text);
}

bool is_decoded(const std::string &value, const char *key = "servers/i-1")
{
	pool_upstream_info entry;
	const char *field = nullptr;
	int error = plf_upstream_read(key, value.data(), value.size(), &entry,
				      &field);

	EXPECT_EQ(error == LP_OK, field == nullptr);
	EXPECT_EQ(error == LP_OK, entry.id != nullptr);
	plf_upstream_clear(&entry);
	return error == LP_OK;
}

TEST(Upstream, DecodesValidRecord)
{
	const std::string engine =
		replaced("\"seq_no\":4", "\"seq_no\":4,\"stage\":\"both\","
					 "\"models\":[{\"name\":\"m\"}],"
					 "\"later\":{}");
	pool_upstream_info entry;
	const char *field;

	ASSERT_EQ(plf_upstream_read("servers/i-1", valid_record,
				    strlen(valid_record), &entry, &field),
		  LP_OK);
	EXPECT_STREQ(entry.id, "i-1");
	EXPECT_STREQ(entry.service, "s");
	EXPECT_STREQ(entry.address, "10.0.0.1:80");
	EXPECT_STREQ(entry.domain, "a");
	EXPECT_STREQ(entry.version, "v1");
	EXPECT_EQ(entry.slots, 6u);
	EXPECT_FALSE(entry.draining);
	EXPECT_EQ(entry.born_ms, 1764720000123);
	plf_upstream_clear(&entry);
	EXPECT_TRUE(is_decoded(engine));
	EXPECT_TRUE(is_decoded(replaced(",\"born\":1764720000123", "")));
	EXPECT_TRUE(is_decoded(replaced("\"ready\"", "\"draining\"")));
}

/* Each field is tried as missing, with each other type, and out of range. */
TEST(Upstream, RejectsInvalidFields)
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
			EXPECT_FALSE(is_decoded(replaced(good, name + value)))
				<< name << value;
		EXPECT_EQ(is_decoded(replaced(good, "\"other\":1")),
			  !strcmp(row.field, "born"))
			<< "no " << row.field;
	}
	EXPECT_FALSE(is_decoded(
		replaced("\"seq_no\":4", "\"seq_no\":4,\"stage\":[]")));
	EXPECT_FALSE(is_decoded(
		replaced("\"seq_no\":4", "\"seq_no\":4,\"models\":\"m\"")));
}

/* Bytes that are not a JSON object of the required form. */
TEST(Upstream, RejectsInvalidJson)
{
	const std::string text = valid_record;
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
		replaced("\"s\"", std::string("\"s\0\"", 4)),
		replaced("\"s\"", "\"s\\u0000\""),
		replaced("\"s\"", "\"\xff\xfe\""),
		replaced("\"s\"", "\"s\n\""),
		replaced("{", "{/* a note */"),
		replaced("}", ",}"),
		replaced("\"service\"", "service"),
		replaced("\"seq_no\":4", "\"seq_no\":4,\"slots\":6"),
		replaced("\"seq_no\":4", "\"seq_no\":4,\"more\":" + deep),
		deep,
		replaced("\"s\"", "\"" + std::string(1 << 20, 's') + "\""),
		replaced("\"seq_no\":4", "\"seq_no\":4,\"more\":\"" +
						 std::string(1 << 20, 's') +
						 "\""),
	};

	for (const std::string &row : rows)
		EXPECT_FALSE(is_decoded(row)) << row.substr(0, 200);
}

/* An upstream's id is sent in a header field of each call. */
TEST(Upstream, IdMustFitInHeaderField)
{
	for (const char *key :
	     { "servers/", "servers/i 1", "servers/i\r\na: b",
	       "servers/\xc3\xa9", "servers/i\x7f", "other/i", "i-1" })
		EXPECT_FALSE(is_decoded(valid_record, key)) << key;
	EXPECT_TRUE(is_decoded(valid_record, "servers/i-1"));
}

/* ---- the list of upstreams, and its text among peers ---- */

struct List {
	lp_event_log *log;
	lp_counters *counters = lp_counters_create();
	plf_decode_errors *errors;
	std::vector<std::pair<std::string, std::string>> items;
	plf_upstream_list *list = nullptr;

	List()
	{
		lp_event_options options = {};

		options.process = "test";
		options.clock = lp_clock_boot();
		options.fd = -1;
		log = lp_event_log_create(&options);
		errors = plf_decode_errors_create(log, counters);
	}
	~List()
	{
		plf_upstream_list_destroy(list);
		plf_decode_errors_destroy(errors);
		lp_counters_destroy(counters);
		lp_event_log_destroy(log);
	}
	void add(const std::string &id, const std::string &value)
	{
		items.emplace_back("servers/" + id, value);
	}
	uint32_t decode()
	{
		std::vector<store_pair> pairs;

		for (auto &item : items)
			pairs.push_back({ item.first.data(), item.second.data(),
					  item.second.size(), 1, 1 });
		plf_upstream_list_destroy(list);
		list = plf_upstream_list_from_range(pairs.data(), pairs.size(),
						    errors);
		return plf_upstream_list_size(list);
	}
	int64_t invalid_count()
	{
		return *lp_counter(counters, "linepier_unreadable_upstreams",
				   nullptr);
	}
};

TEST(UpstreamList, InvalidRecordDoesNotAffectOthers)
{
	List list;

	list.add("i-1", valid_record);
	list.add("i-2", "\xff");
	list.add("i-3", replaced("6", "-6"));
	list.add("i-4", valid_record);
	EXPECT_EQ(list.decode(), 2u);
	EXPECT_EQ(list.invalid_count(), 2);
	list.items[1].second = valid_record;
	EXPECT_EQ(list.decode(), 3u);
	EXPECT_EQ(list.invalid_count(), 1);
}

/* After an outage, missing upstreams are kept, but not those whose record was
 * overwritten by an invalid one. */
TEST(UpstreamList, DoesNotKeepRecordThatBecameInvalid)
{
	List before;
	List now;
	plf_upstream_list *retained = plf_upstream_list_create();

	for (const char *id : { "i-1", "i-2", "i-3" })
		before.add(id, valid_record);
	before.decode();
	now.add("i-1", valid_record);
	now.add("i-2", "rubbish");
	now.decode();
	EXPECT_EQ(
		plf_upstream_list_add_missing(retained, before.list, now.list),
		1u);
	EXPECT_EQ(plf_upstream_list_size(retained), 1u);
	EXPECT_NE(plf_upstream_list_find(retained, "i-3"), nullptr);
	plf_upstream_list_destroy(retained);
}

/* One that was draining does not register again, and a row that is listed again
 * is not kept any longer. */
TEST(UpstreamList, KeepsNeitherDrainingNorListedRecords)
{
	List before;
	List now;
	plf_upstream_list *retained = plf_upstream_list_create();

	before.add("i-1", replaced("ready", "draining"));
	before.add("i-2", valid_record);
	before.add("i-3", valid_record);
	before.decode();
	now.decode();
	EXPECT_EQ(
		plf_upstream_list_add_missing(retained, before.list, now.list),
		2u);
	now.add("i-2", valid_record);
	now.add("i-3", "rubbish");
	now.decode();
	plf_upstream_list_remove_listed(retained, now.list);
	EXPECT_EQ(plf_upstream_list_size(retained), 0u);
	plf_upstream_list_destroy(retained);
}

/* A record without a start time is invalid if nearly all others have one. */
TEST(UpstreamList, RequiresStartTimeWhereNearlyAllHaveIt)
{
	const std::string no_start = replaced(",\"born\":1764720000123", "");
	List list;

	for (int i = 0; i < 9; i++)
		list.add("i-" + std::to_string(i), valid_record);
	list.add("i-x", no_start);
	EXPECT_EQ(list.decode(), 9u);
	EXPECT_EQ(list.invalid_count(), 1);
	/* During the rollout of a release that writes start times, records
	 * without one are valid. */
	for (int i = 0; i < 5; i++)
		list.items[i].second = no_start;
	EXPECT_EQ(list.decode(), 10u);
	EXPECT_EQ(list.invalid_count(), 0);
}

TEST(UpstreamList, PeerTextRoundTripsAnyBytes)
{
	List list;
	plf_upstream_list *read;
	char *text;

	list.add("i-1", replaced("\"s\"", "\"a b\\nc %20 \xc3\xa9 \\t\""));
	list.add("i-2", replaced("\"a\"", "\" \\n\\r \""));
	list.add("i-%", replaced("ready", "draining"));
	ASSERT_EQ(list.decode(), 3u);
	text = plf_upstream_list_serialize(list.list);
	read = plf_upstream_list_parse(text);
	ASSERT_NE(read, nullptr);
	EXPECT_EQ(plf_upstream_list_size(read), 3u);
	EXPECT_EQ(plf_upstream_list_hash(read),
		  plf_upstream_list_hash(list.list));
	EXPECT_NE(plf_upstream_list_hash(read), 0u);
	plf_upstream_list_destroy(read);
	g_free(text);
}

/* Changes between lists are small, and lead to the same list. */
TEST(UpstreamList, ChangesLeadFromOneListToAnother)
{
	const std::string head = "linepier-upstreams 4\n";
	const std::string kept = "i-1 s 10.0.0.1:80 a v1 6 0 5 0\n";
	plf_upstream_list *from = plf_upstream_list_parse(
		(head + kept + "i-2 s 10.0.0.2:80 a v1 6 0 5 0\n" +
		 "i%203 s 10.0.0.3:80 a v1 6 0 5 0\n")
			.c_str());
	plf_upstream_list *to = plf_upstream_list_parse(
		(head + kept + "i-2 s 10.0.0.2:80 a v1 6 1 5 0\n" +
		 "i-4 s 10.0.0.4:80 a v%202 6 0 5 0\n")
			.c_str());
	plf_upstream_list *other = plf_upstream_list_parse(
		(head + "i-1 s 10.0.0.1:80 a v1 7 0 5 0\n").c_str());
	uint64_t hash = plf_upstream_list_hash(to);
	char *text;

	ASSERT_TRUE(from && to && other);
	text = plf_list_changes_write(from, to, 4096);
	ASSERT_NE(text, nullptr);
	EXPECT_EQ(strstr(text, "i-1"), nullptr);
	EXPECT_EQ(plf_list_changes_write(from, to, strlen(text) - 1), nullptr);
	/* They do not apply to another list, nor to another result. */
	EXPECT_FALSE(plf_list_changes_apply(other, text, hash));
	EXPECT_FALSE(plf_list_changes_apply(from, text, hash + 1));
	EXPECT_EQ(plf_upstream_list_size(from), 3u);
	EXPECT_TRUE(plf_list_changes_apply(from, text, hash));
	EXPECT_EQ(plf_upstream_list_hash(from), hash);
	EXPECT_EQ(plf_upstream_list_size(from), 3u);
	EXPECT_EQ(plf_upstream_list_find(from, "i 3"), nullptr);
	EXPECT_TRUE(plf_upstream_list_find(from, "i-2")->draining);
	EXPECT_STREQ(plf_upstream_list_find(from, "i-4")->version, "v 2");
	plf_upstream_list_destroy(other);
	plf_upstream_list_destroy(from);
	plf_upstream_list_destroy(to);
	g_free(text);
}

TEST(UpstreamList, RejectsInvalidChanges)
{
	const char *const rows[] = {
		"",
		"linepier-upstream-changes 2",
		"linepier-upstream-changes 1\n",
		"linepier-upstream-changes 3\n",
		"linepier-upstream-changes 2\ni-1\n",
		"linepier-upstream-changes 2\n+i-1\n",
		"linepier-upstream-changes 2\n-i-1",
		"linepier-upstream-changes 2\n-%zz\n",
		"linepier-upstream-changes 2\n-i-1\n-i-1\n",
		"linepier-upstream-changes 2\n-i-1\n\n-i-2\n",
	};
	plf_upstream_list *list = plf_upstream_list_parse(
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a v1 6 0 5 0\n");
	plf_upstream_list *empty =
		plf_upstream_list_parse("linepier-upstreams 4\n");

	for (const char *row : rows) {
		EXPECT_FALSE(plf_list_changes_apply(
			list, row, plf_upstream_list_hash(list)))
			<< row;
		EXPECT_FALSE(plf_list_changes_apply(
			list, row, plf_upstream_list_hash(empty)))
			<< row;
	}
	EXPECT_EQ(plf_upstream_list_size(list), 1u);
	EXPECT_TRUE(plf_list_changes_apply(
		list, "linepier-upstream-changes 2\n-i-1\n",
		plf_upstream_list_hash(empty)));
	plf_upstream_list_destroy(list);
	plf_upstream_list_destroy(empty);
}

/* Text of another format version, or truncated text, is rejected as a
 * whole. */
TEST(UpstreamList, RejectsInvalidPeerText)
{
	const char *const rows[] = {
		"",
		"\n",
		"linepier-upstreams 4",
		"linepier-upstreams 3\n",
		"linepier-upstreams 3\ni-1 s 10.0.0.1:80 a 6 0 5 0\n",
		"i-1 s 10.0.0.1:80 a v1 6 0\n", /* no format line */
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a v1 6 0 5\n",
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a 6 0 5 0\n",
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a %zz 6 0 5 0\n",
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a v1 6 0 5 0 9\n",
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a v1 6 2 5 0\n",
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a v1 -6 0 5 0\n",
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a v1 6 0 -5 0\n",
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a v1 6 0 5 -1\n",
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a v1 6 0 5 86400001\n",
		"linepier-upstreams 4\ni-1 %zz 10.0.0.1:80 a v1 6 0 5 0\n",
		"linepier-upstreams 4\ni-1 %00 10.0.0.1:80 a v1 6 0 5 0\n",
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a v1 6 0 5 0",
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a v1 6 0 5 0\n\nmore",
	};
	plf_upstream_list *empty =
		plf_upstream_list_parse("linepier-upstreams 4\n");

	for (const char *row : rows)
		EXPECT_EQ(plf_upstream_list_parse(row), nullptr) << row;
	ASSERT_NE(empty, nullptr);
	EXPECT_EQ(plf_upstream_list_size(empty), 0u);
	plf_upstream_list_destroy(empty);
}

/* The text contains the remaining cold period; the hash only whether there
 * is one. */
TEST(UpstreamList, HashIncludesWhetherUpstreamIsCold)
{
	const std::string before =
		"linepier-upstreams 4\ni-1 s 10.0.0.1:80 a v1 6 "
		"0 5 ";
	plf_upstream_list *warm =
		plf_upstream_list_parse((before + "0\n").c_str());
	plf_upstream_list *cold =
		plf_upstream_list_parse((before + "900\n").c_str());
	plf_upstream_list *later =
		plf_upstream_list_parse((before + "300\n").c_str());

	ASSERT_TRUE(warm && cold && later);
	EXPECT_EQ(plf_upstream_list_entries(cold)->cold_left_us, 900000);
	EXPECT_EQ(plf_upstream_list_hash(cold), plf_upstream_list_hash(later));
	EXPECT_NE(plf_upstream_list_hash(cold), plf_upstream_list_hash(warm));
	plf_upstream_list_destroy(warm);
	plf_upstream_list_destroy(cold);
	plf_upstream_list_destroy(later);
}

} // namespace
