/* base/: errors, ids, counters, settings. */
#include "cwrap.h"

#include <gtest/gtest.h>

TEST(Error, EveryKindHasAnAnswer)
{
	for (int error = -1; error >= LP_ERROR_LAST; error--) {
		const struct lp_error_info *info = lp_error_info(error);

		EXPECT_GE(info->http_status, 400) << error;
		EXPECT_STRNE(info->name, "ok");
		EXPECT_GT(strlen(info->title), 5u);
	}
	EXPECT_STREQ(lp_error_info(-999)->name, "system");
	EXPECT_STREQ(lp_error_info(7)->name, "system");
	EXPECT_STREQ(lp_run_name(LP_RUN_NOT_RUN), "not_run");
}

TEST(Id, PrintsAndParses)
{
	lp_call_id id = { lp_entry_tag("entry-7", 0xabc), 99, 0, 0 };
	char text[LP_REQUEST_ID_SIZE];
	lp_call_id back;

	lp_request_id_format(&id, text);
	ASSERT_TRUE(lp_request_id_parse(text, &back));
	EXPECT_TRUE(lp_call_id_equal(&id, &back));
	EXPECT_EQ(back.entry >> 32, lp_host_hash("entry-7"));
	EXPECT_FALSE(lp_request_id_parse("123", &back));
	EXPECT_FALSE(lp_request_id_parse("zzzzzzzzzzzzzzzz-00000000", &back));
}

TEST(Counter, PrintsSorted)
{
	lp_counters *counters = lp_counters_create();
	GString *out = g_string_new(nullptr);

	*lp_counter(counters, "b_total", nullptr) += 2;
	*lp_counter(counters, "a_total", "kind=\"x\"") += 1;
	*lp_counter(counters, "b_total", nullptr) += 3;
	lp_counters_print(counters, out);
	EXPECT_STREQ(out->str, "a_total{kind=\"x\"} 1\nb_total 5\n");
	g_string_free(out, TRUE);
	lp_counters_destroy(counters);
}

struct Settings {
	char *name;
	int64_t size;
	int64_t color;
	int64_t fast;
};

static const lp_setting table[] = {
	{ "name", LP_SETTING_STRING, offsetof(Settings, name), nullptr, 0, 0,
	  nullptr, "a name" },
	{ "size", LP_SETTING_INT, offsetof(Settings, size), "5", 1, 10, nullptr,
	  "a size" },
	{ "color", LP_SETTING_CHOICE, offsetof(Settings, color), "red", 0, 0,
	  "red|blue", "a color" },
	{ "fast", LP_SETTING_BOOL, offsetof(Settings, fast), "no", 0, 0,
	  nullptr, "fast?" },
};

static int load(std::vector<const char *> argv, Settings *out,
		lp_settings_rest *rest)
{
	argv.insert(argv.begin(), "program");
	argv.push_back(nullptr);
	return lp_settings_load(table, G_N_ELEMENTS(table), out,
				(int)argv.size() - 1, argv.data(), "", rest);
}

TEST(Settings, FlagGoesBeforeVariableBeforeDefault)
{
	Settings settings = {};
	lp_settings_rest rest = {};

	g_setenv("LINEPIER_SIZE", "7", TRUE);
	g_setenv("LINEPIER_NAME", "from-env", TRUE);
	EXPECT_EQ(
		load({ "--name=x", "--color", "blue", "go" }, &settings, &rest),
		LP_OK);
	EXPECT_STREQ(settings.name, "x");
	EXPECT_EQ(settings.size, 7);
	EXPECT_EQ(settings.color, 1);
	EXPECT_EQ(settings.fast, 0);
	EXPECT_STREQ(rest.args[0], "go");
	lp_settings_clear(table, G_N_ELEMENTS(table), &settings, &rest);
	g_unsetenv("LINEPIER_SIZE");
	g_unsetenv("LINEPIER_NAME");
}

TEST(Settings, AllErrorsAtOnceEachNamingItsFlag)
{
	Settings settings = {};
	lp_settings_rest rest = {};

	EXPECT_EQ(
		load({ "--size=11", "--color=green", "--fast=maybe", "--none" },
		     &settings, &rest),
		LP_ERROR_BAD_CONFIG);
	ASSERT_EQ(rest.errors->len, 5u);
	EXPECT_STREQ((char *)rest.errors->pdata[0], "--none: unknown option");
	EXPECT_STREQ((char *)rest.errors->pdata[1],
		     "--name: missing; set the flag or LINEPIER_NAME");
	EXPECT_STREQ((char *)rest.errors->pdata[2],
		     "--size: got '11', expected a whole number from 1 to 10");
	EXPECT_STREQ((char *)rest.errors->pdata[3],
		     "--color: got 'green', expected one of red|blue");
	lp_settings_clear(table, G_N_ELEMENTS(table), &settings, &rest);
}

TEST(Zip, GivesBackTheTextOfWholeBytesOnly)
{
	const std::string text(100000, 'x');
	GBytes *zipped = lp_zip(text.c_str());
	gsize size;
	auto *bytes =
		static_cast<const char *>(g_bytes_get_data(zipped, &size));
	char *back = lp_unzip(bytes, size, text.size());

	ASSERT_NE(back, nullptr);
	EXPECT_EQ(text, back);
	EXPECT_EQ(lp_unzip(bytes, size - 1, text.size()), nullptr);
	EXPECT_EQ(lp_unzip(bytes, size, text.size() - 1), nullptr);
	EXPECT_EQ(lp_unzip("plain", 5, text.size()), nullptr);
	EXPECT_EQ(lp_unzip("", 0, text.size()), nullptr);
	g_free(back);
	g_bytes_unref(zipped);
}
TEST(Counter, SummaryHasNonZeroCellsOfOneName)
{
	lp_counters *counters = lp_counters_create();
	GString *out = g_string_new(nullptr);

	*lp_counter(counters, "calls_total",
		    "purpose=\"watch\",status=\"200\"") = 3;
	*lp_counter(counters, "calls_total", "purpose=\"range\"") = 1;
	*lp_counter(counters, "calls_total", "purpose=\"unused\"") = 0;
	*lp_counter(counters, "calls_total", nullptr) = 9;
	*lp_counter(counters, "calls_total_bytes", "purpose=\"range\"") = 7;
	lp_counters_summarize(counters, "calls_total", out);
	EXPECT_STREQ(out->str, "purpose=range=1 purpose=watch,status=200=3");
	g_string_free(out, TRUE);
	lp_counters_destroy(counters);
}

/* A nested text of a peer overflowed the stack, also where a comment hid the
 * nesting from a check. */
TEST(Json, DeeplyNestedTextIsRefused)
{
	const std::string deep(1 << 20, '[');

	for (const char *begin :
	     { "{\"a\":", "/*\"*/{\"a\":", "//\"\n{\"a\":", "'\"'" }) {
		g_autoptr(JsonParser) parser = json_parser_new();

		EXPECT_EQ(lp_json_read(parser, (begin + deep).c_str()),
			  nullptr);
	}
}

/* Each value of a text but the last was leaked, 2.6 MB for 64 KB of them. */
TEST(Json, SecondValueIsRefused)
{
	for (const char *bad : { "{}{}", "[\"][\"][\"]", "{} 1", "1 2",
				 "1\"a\"", "\"a\"\"b\"", "{},{}", "]", "1,2" })
		EXPECT_FALSE(lp_json_is_plain(bad, strlen(bad), 9)) << bad;
	for (const char *good : { " {\"a\":[1, -2.5e+3]} ", "\"a b\"", "12",
				  "true\n", "[]", "{\"a\":\"\\\"}\"}" })
		EXPECT_TRUE(lp_json_is_plain(good, strlen(good), 9)) << good;
}

/* Guards against a check that takes brackets in strings for nesting. */
TEST(Json, BracketsInStringsAreNoNesting)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	const std::string text = "{\"a\":\"\\\"" +
				 std::string(2 * LP_JSON_DEPTH_MAX, '[') +
				 "\",\"b\":[-1.5e+3,true,null,{}]}";

	EXPECT_NE(lp_json_read(parser, text.c_str()), nullptr);
}
