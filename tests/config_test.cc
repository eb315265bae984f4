/* config/: schema and whole-document errors, diff, records, snapshots. */
#include "cwrap.h"

#include <gtest/gtest.h>
#include <string>

static const char good[] =
	"organisations:\n"
	"  - name: org\n"
	"    token_sha256: "
	"0123456789012345678901234567890123456789012345678901234567890123\n"
	"    pipelines: [p]\n"
	"services:\n"
	"  - name: s\n"
	"    kind: plain\n"
	"    concurrency: 4\n"
	"    usual_ms: 20\n"
	"pipelines:\n"
	"  - name: p\n"
	"    deadline_ms: 1000\n"
	"    stages:\n"
	"      - name: a\n"
	"        service: s\n"
	"        repeatable: true\n"
	"        path: /x\n"
	"        input:\n"
	"          - field: f\n"
	"            from: request.text\n";

/* The first error of the text with one part replaced. */
static std::string error_of(const std::string &what, const std::string &with)
{
	std::string text = good;
	GPtrArray *errors = cfg_errors_create();
	cfg_doc *doc = nullptr;
	std::string first;

	if (text.find(what) == std::string::npos)
		return "no such text: " + what;
	text.replace(text.find(what), what.size(), with);
	if (!cfg_doc_load(text.c_str(), text.size(), "f.yaml", errors, &doc))
		cfg_doc_destroy(doc);
	if (errors->len)
		first = (char *)errors->pdata[0];
	g_ptr_array_unref(errors);
	return first;
}

TEST(Config, GoodLoads)
{
	EXPECT_EQ(error_of("name: org", "name: org"), "");
}

TEST(Config, ErrorsNameFileLineAndField)
{
	EXPECT_EQ(error_of("service: s", "service: t"),
		  "f.yaml:15: pipelines.p.stages.a.service: there is no "
		  "service 't'");
	EXPECT_EQ(error_of("from: request.text", "from: later.text"),
		  "f.yaml:19: pipelines.p.stages.a.input.f: 'later.text': "
		  "expected 'request' or the name of an earlier stage");
	EXPECT_EQ(error_of("deadline_ms: 1000", "deadline_ms: 10"),
		  "f.yaml:12: pipelines.p.deadline_ms: expected 50 to 600000");
	EXPECT_EQ(error_of("usual_ms: 20", "usual_ms: 2000"),
		  "f.yaml:12: pipelines.p.deadline_ms: impossible: its stages "
		  "usually take 2000 ms together");
	EXPECT_EQ(error_of("pipelines: [p]", "pipelines: []"),
		  "f.yaml:11: pipelines.p: no organisation may call it");
	EXPECT_EQ(error_of("concurrency: 4", "concurrency: 0"),
		  "f.yaml:8: services.s.concurrency: expected 1 to 4096");
	EXPECT_EQ(error_of("        path: /x\n", ""),
		  "f.yaml:14: pipelines.p.stages.a: a plain service needs a "
		  "'path'");
}

TEST(Config, SchemaErrorsNameLineAndField)
{
	std::string error = error_of("concurrency: 4", "concurrency: many");

	EXPECT_EQ(error.rfind("f.yaml:8: ", 0), 0u) << error;
	EXPECT_NE(error.find("concurrency"), std::string::npos) << error;
	error = error_of("kind: plain", "kind: odd");
	EXPECT_EQ(error.rfind("f.yaml:7: ", 0), 0u) << error;
	error = error_of("repeatable: true", "repeat: true");
	EXPECT_NE(error.find("f.yaml:16:"), std::string::npos) << error;
	error = error_of("organisations:", "organisations: [");
	EXPECT_NE(error, "");
}

TEST(Config, TooLargeIsRefusedWithItsSize)
{
	std::string text(CFG_TEXT_MAX + 1, '#');
	GPtrArray *errors = cfg_errors_create();
	cfg_doc *doc;

	EXPECT_EQ(cfg_doc_load(text.c_str(), text.size(), "f", errors, &doc),
		  LP_ERROR_BAD_CONFIG);
	EXPECT_NE(strstr((char *)errors->pdata[0], "921601 bytes"), nullptr);
	g_ptr_array_unref(errors);
}

TEST(Config, CanonicalTextIsStable)
{
	GPtrArray *errors = cfg_errors_create();
	cfg_doc *doc;
	cfg_doc *again;

	ASSERT_EQ(cfg_doc_load(good, strlen(good), "f", errors, &doc), LP_OK);
	char *text = cfg_doc_text(doc);
	ASSERT_EQ(cfg_doc_load(text, strlen(text), "f", errors, &again), LP_OK)
		<< text << (char *)(errors->len ? errors->pdata[0] : nullptr);
	char *second = cfg_doc_text(again);
	EXPECT_STREQ(text, second);
	g_free(text);
	g_free(second);
	cfg_doc_destroy(doc);
	cfg_doc_destroy(again);
	g_ptr_array_unref(errors);
}

TEST(Config, DiffIsOneLineAChange)
{
	GPtrArray *lines = cfg_diff("a: 1\nl:\n  - name: x\n    v: 2\n",
				    "a: 3\nl:\n  - name: y\n    v: 2\n");

	ASSERT_EQ(lines->len, 5u);
	EXPECT_STREQ((char *)lines->pdata[0], "- l.x.name: x");
	EXPECT_STREQ((char *)lines->pdata[1], "- l.x.v: 2");
	EXPECT_STREQ((char *)lines->pdata[2], "~ a: 1 -> 3");
	EXPECT_STREQ((char *)lines->pdata[3], "+ l.y.name: y");
	EXPECT_STREQ((char *)lines->pdata[4], "+ l.y.v: 2");
	g_ptr_array_unref(lines);
}

/* Found with the first real fleet: one read is not the whole stream. */
TEST(Config, SnapshotPacksAndUnpacksAtEverySize)
{
	for (int more : { 0, 100, 5000 }) {
		std::string text = good;
		cfg_snapshot *snapshot;
		cfg_snapshot *back;

		for (int i = 0; i < more; i++)
			text += "# " + std::to_string(i * 7919) + "\n";
		cfg_record *record =
			cfg_record_create(9, "id", "who", text.c_str());
		ASSERT_EQ(cfg_snapshot_create(record, &snapshot), LP_OK);
		ASSERT_EQ(cfg_snapshot_unpack(snapshot->packed, &back), LP_OK)
			<< more;
		EXPECT_EQ(back->revision, 9u);
		EXPECT_EQ(back->doc->pipelines_count, 1u);
		cfg_snapshot_unref(snapshot);
		cfg_snapshot_unref(back);
		cfg_record_destroy(record);
	}
}

TEST(Config, GarbageDoesNotUnpack)
{
	GBytes *garbage = g_bytes_new("garbage", 7);
	cfg_snapshot *snapshot;

	EXPECT_EQ(cfg_snapshot_unpack(garbage, &snapshot), LP_ERROR_BAD_CONFIG);
	g_bytes_unref(garbage);
}

/* ---- entry_map: JSON in and out of stages ---- */

TEST(Map, DeepAndBrokenBodiesAreRefused)
{
	std::string deep(ENTRY_JSON_DEPTH_MAX + 1, '[');

	deep = "{\"a\":" + deep;
	EXPECT_EQ(entry_json_parse(deep.c_str(), deep.size()), nullptr);
	/* A quote in a comment hid the nesting after it. */
	deep = "/*\"*/" + deep;
	EXPECT_EQ(entry_json_parse(deep.c_str(), deep.size()), nullptr);
	EXPECT_EQ(entry_json_parse("[1]", 3), nullptr);
	EXPECT_EQ(entry_json_parse("{\"a\"", 4), nullptr);
	EXPECT_EQ(entry_json_parse("{\"\xff\":1}", 7), nullptr);
	JsonNode *node = entry_json_parse("{\"a\":\"[[[\"}", 11);
	ASSERT_NE(node, nullptr);
	json_node_unref(node);
}

TEST(Map, InputsAreBuiltAndStreamsResumed)
{
	char field_a[] = "a.b", from[] = "request.x.1";
	char field_p[] = "prompt", value[] = "hi {{request.x.0}}!";
	char field_m[] = "max_tokens", ten[] = "10", name[] = "s";
	cfg_input inputs[] = { { field_a, from, nullptr },
			       { field_p, nullptr, value },
			       { field_m, nullptr, ten } };
	cfg_stage stage = { name, name, true, nullptr, inputs, 3 };
	cfg_pipeline pipeline = { name, 1, nullptr, nullptr, &stage, 1 };
	JsonNode *request = entry_json_parse("{\"x\":[\"one\",2]}", 15);
	JsonNode *results[1] = { nullptr };
	entry_values values = { request, &pipeline, results };
	JsonNode *input = entry_stage_input(&values, 0);
	char *text = json_to_string(input, FALSE);

	EXPECT_STREQ(text, "{\"a\":{\"b\":2},\"prompt\":\"hi one!\","
			   "\"max_tokens\":10}");
	g_free(text);
	entry_enable_streaming(input, " and", 4);
	text = json_to_string(input, FALSE);
	EXPECT_STREQ(text, "{\"a\":{\"b\":2},\"prompt\":\"hi one! and\","
			   "\"max_tokens\":6,\"stream\":true}");
	g_free(text);
	json_node_unref(input);
	json_node_unref(request);
}
