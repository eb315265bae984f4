/* Tests of the platform adapter: the settings file, the stored configuration
 * and the codec of the wire; and of the event log. */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

/* ---- settings ---- */

struct Settings {
	plf_settings values;
	int error;
	std::vector<std::string> errors;

	explicit Settings(const std::string &text)
	{
		g_autofree char *path = nullptr;
		g_autoptr(GPtrArray) list =
			g_ptr_array_new_with_free_func(g_free);
		int fd = g_file_open_tmp("settings-XXXXXX", &path, nullptr);

		g_close(fd, nullptr);
		g_file_set_contents(path, text.data(), (gssize)text.size(),
				    nullptr);
		error = plf_settings_read(&values, path, list);
		for (guint i = 0; i < list->len; i++) {
			std::string line =
				(const char *)g_ptr_array_index(list, i);

			errors.push_back(line.substr(strlen(path)));
		}
		g_unlink(path);
	}
	~Settings()
	{
		plf_settings_clear(&values);
	}
};

const char valid_settings[] =
	"node_name=front-1\nzone=a\nip=10.0.0.1\n"
	"listen.front=10.0.0.1:80\nlisten.ready=10.0.0.1:81\n"
	"platform.address=10.0.0.9:90\nport_range=7740,7755\n"
	"seeds=10.0.0.1:82,10.0.0.2:82\nbounds.drain_ms=1500\n"
	"bounds.retry_ratio=0.25\nsomething.new=1\n\n";

TEST(PlfSettings, DecodesTypedFields)
{
	Settings settings(valid_settings);

	EXPECT_EQ(settings.error, LP_OK);
	EXPECT_STREQ(settings.values.host, "front-1");
	EXPECT_STREQ(settings.values.domain, "a");
	EXPECT_EQ(settings.values.drain_us, 1500000);
	EXPECT_DOUBLE_EQ(settings.values.retry_ratio, 0.25);
	EXPECT_EQ(settings.values.peers_port, 7740);
	EXPECT_EQ(g_strv_length(settings.values.seeds), 2u);
}

TEST(PlfSettings, ErrorsNameLineAndSetting)
{
	Settings settings(std::string(valid_settings) +
			  "bounds.grace_s=soon\nnonsense\n");

	EXPECT_EQ(settings.error, LP_ERROR_BAD_CONFIG);
	EXPECT_EQ(settings.errors,
		  (std::vector<std::string>{
			  ":14: expected name=value",
			  ":13: bounds.grace_s: \"soon\" is not a number of 0 "
			  "or more" }));
}

TEST(PlfSettings, DecodesQuarantineSettings)
{
	Settings explicit_values(std::string(valid_settings) +
				 "quarantine.enabled=false\n"
				 "quarantine.let_in=00000000000000ff,"
				 "0123456789abcdef\n");
	Settings absent(valid_settings);
	Settings invalid(std::string(valid_settings) +
			 "quarantine.enabled=no\n"
			 "quarantine.let_in=ff\n");

	EXPECT_EQ(explicit_values.error, LP_OK);
	EXPECT_FALSE(explicit_values.values.quarantine_enabled);
	ASSERT_EQ(explicit_values.values.unblocked->len, 2u);
	EXPECT_EQ(g_array_index(explicit_values.values.unblocked, uint64_t, 1),
		  0x0123456789abcdefu);
	EXPECT_TRUE(absent.values.quarantine_enabled);
	EXPECT_EQ(absent.values.unblocked->len, 0u);
	EXPECT_EQ(invalid.errors,
		  (std::vector<std::string>{
			  ":13: quarantine.enabled: \"no\" is not true or "
			  "false",
			  ":14: quarantine.let_in: \"ff\" is not a list of 16 "
			  "hexadecimal digits each" }));
}

TEST(PlfSettings, ReportsMissingSettings)
{
	Settings settings("zone=a\n");

	EXPECT_EQ(settings.error, LP_ERROR_BAD_CONFIG);
	EXPECT_EQ(settings.errors.size(), 5u);
	EXPECT_EQ(settings.errors[0], ": node_name is missing");
}

/* ---- records ---- */

TEST(PlfRecords, DecodesConfiguration)
{
	g_autofree char *json = pe_sample_config(9);
	g_autofree char *problem = nullptr;
	direct_config *config = plf_config_read(json, &problem);
	const direct_route *route;

	ASSERT_NE(config, nullptr) << problem;
	EXPECT_EQ(config->version, 9);
	route = direct_config_route(config, "A.example", "/staged/x");
	ASSERT_NE(route, nullptr);
	EXPECT_EQ(route->kind, DIRECT_STREAM);
	EXPECT_EQ(route->stages_count, 2u);
	EXPECT_EQ(route->stages[1].input_stages[0], 0u);
	EXPECT_EQ(route->timeout_us, 3000000);
	EXPECT_EQ(direct_config_service(config, "first")->batch_max, 8u);
	EXPECT_EQ(direct_config_route(config, "b.example", "/look/x"), nullptr);
	EXPECT_NE(g_hash_table_lookup(config->keys, "key-9"), nullptr);
	direct_config_unref(config);
}

/* Of several routes with the same host and prefix, the first is used. */
TEST(PlfRecords, FirstRouteWinsForEqualHostAndPrefix)
{
	direct_config *config = direct_config_create();

	for (const char *name : { "first", "second" }) {
		direct_route *route = direct_config_add_route(config);

		route->name = g_strdup(name);
		route->host = g_strdup("h");
		route->prefix = g_strdup("/");
	}
	direct_config_seal(config);
	EXPECT_STREQ(direct_config_route(config, "h", "/x")->name, "first");
	direct_config_unref(config);
}

TEST(PlfRecords, SelectsRouteWithLongestPrefix)
{
	const char json[] =
		"{\"version\":1,\"routes\":[{\"name\":\"short\",\"host\":\"h\","
		"\"prefix\":\"/a/\",\"kind\":\"idempotent\",\"service\":\"s\"},"
		"{\"name\":\"long\",\"host\":\"h\",\"prefix\":\"/a/b/\","
		"\"kind\":\"idempotent\",\"traffic_split\":[{\"service\":\"s\","
		"\"weight\":9},{\"service\":\"t\",\"weight\":1}]}]}";
	g_autofree char *problem = nullptr;
	direct_config *config = plf_config_read(json, &problem);
	const direct_route *route;
	int others = 0;

	ASSERT_NE(config, nullptr);
	EXPECT_STREQ(direct_config_route(config, "h", "/a/c")->name, "short");
	route = direct_config_route(config, "h", "/a/b/c");
	EXPECT_STREQ(route->name, "long");
	EXPECT_EQ(direct_config_route(config, "h", "/a"), nullptr);
	EXPECT_STREQ(direct_config_route(config, "h", "/a/")->name, "short");
	EXPECT_STREQ(direct_config_route(config, "H", "/a/b/")->name, "long");
	EXPECT_STREQ(direct_config_route(config, "h", "/a/b?c")->name, "short");
	EXPECT_EQ(direct_config_route(config, "h", ""), nullptr);
	EXPECT_EQ(direct_config_route(config, "h", "a/"), nullptr);
	EXPECT_EQ(direct_config_route(config, "h/a", "/"), nullptr);
	for (uint64_t i = 0; i < 100; i++)
		others += !strcmp(direct_route_pick_service(route, i), "t");
	EXPECT_EQ(others, 10);
	EXPECT_FALSE(config->needs_keys);
	direct_config_unref(config);
}

/* Ranks order requests by the organisation's priority first, then by the
 * route's. Guards against losing the route's priority where all organisations
 * have the same one. */
TEST(PlfRecords, RanksByOrganisationThenRoute)
{
	g_autofree char *problem = nullptr;
	direct_config *config = plf_config_read(
		"{\"version\":1,\"routes\":["
		"{\"name\":\"a\",\"prefix\":\"/a/\",\"kind\":\"idempotent\","
		"\"service\":\"s\",\"priority\":2},"
		"{\"name\":\"b\",\"prefix\":\"/b/\",\"kind\":\"idempotent\","
		"\"service\":\"s\",\"priority\":0},"
		"{\"name\":\"c\",\"prefix\":\"/c/\",\"kind\":\"idempotent\","
		"\"service\":\"s\",\"priority\":1,\"public\":true}],"
		"\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"k\"],"
		"\"priority\":1},"
		"{\"name\":\"two\",\"api_keys\":[\"l\"],\"priority\":1},"
		"{\"name\":\"low\",\"api_keys\":[\"m\"],\"priority\":3},"
		"{\"name\":\"none\",\"api_keys\":[\"n\"]}]}",
		&problem);
	ASSERT_NE(config, nullptr) << problem;
	auto route = [&](guint i) {
		return (const direct_route *)g_ptr_array_index(config->routes,
							       i);
	};
	auto rank = [&](guint i, const char *key) {
		return direct_config_rank(
			config, route(i),
			(const direct_organisation *)g_hash_table_lookup(
				config->keys, key));
	};

	EXPECT_EQ(rank(1, "n"), 0); /* (0, 0): only the route's */
	EXPECT_EQ(rank(1, "k"), 1); /* (1, 0) */
	EXPECT_EQ(rank(1, "l"), 1);
	EXPECT_EQ(direct_config_rank(config, route(2), nullptr),
		  2);		    /* (1, 1) */
	EXPECT_EQ(rank(0, "k"), 3); /* (1, 2) */
	EXPECT_EQ(rank(0, "n"), 4); /* (2, 2) */
	EXPECT_EQ(rank(1, "m"), 5); /* (3, 0) */
	EXPECT_EQ(rank(0, "m"), 6);
	direct_config_unref(config);
}

TEST(PlfRecords, ErrorsNameInvalidField)
{
	const struct {
		const char *json;
		const char *problem;
	} cases[] = {
		{ "[]", "not a JSON object" },
		{ "{\"routes\":[]}", "version: missing" },
		{ "{\"version\":1}", "routes: missing" },
		{ "{\"version\":1,\"routes\":[{\"name\":\"r\",\"prefix\":"
		  "\"/a/\",\"kind\":\"odd\",\"service\":\"s\"}]}",
		  "routes[0]: r" },
		{ "{\"version\":1,\"routes\":[{\"name\":\"r\",\"prefix\":"
		  "\"/a/\",\"kind\":\"streaming\",\"service\":\"s\",\"stages\":"
		  "[{\"service\":\"t\",\"after\":[0]}]}]}",
		  "routes[0]: r" },
	};

	for (const auto &row : cases) {
		g_autofree char *problem = nullptr;

		EXPECT_EQ(plf_config_read(row.json, &problem), nullptr);
		EXPECT_STREQ(problem, row.problem) << row.json;
	}
}

/* ---- the wire ---- */

struct Fields {
	http_fields list;

	Fields(std::vector<std::pair<const char *, const char *>> pairs = {})
	{
		http_fields_init(&list);
		for (const auto &field : pairs)
			http_fields_add(&list, field.first, field.second);
	}
	~Fields()
	{
		http_fields_clear(&list);
	}
	std::string get(const char *name)
	{
		const char *value = http_fields_get(&list, name);

		return value ? value : "-";
	}
};

TEST(PlfCodec, DropsSystemFieldsOfCallers)
{
	Fields from({ { "Host", "h" },
		      { "X-Attempt-Id", "a" },
		      { "Authorization", "Bearer secret" },
		      { "X-Tenant", "evil" },
		      { "X-Expect-Instance", "i-0" },
		      { "X-Inputs", "1:2/3" },
		      { "X-Deadline-Ms", "9000" },
		      { "Connection", "X-Private" },
		      { "X-Private", "1" },
		      { "X-Other", "kept" } });
	Fields out;
	direct_upstream_request offer = {};

	offer.caller_fields = &from.list;
	offer.upstream = "i-1";
	offer.organisation = "acme";
	offer.time_left_us = 1234567;
	offer.priority = 1;
	plf_codec()->write_request(&offer, &out.list);
	EXPECT_EQ(out.get("X-Tenant"), "acme");
	EXPECT_EQ(out.get("X-Expect-Instance"), "i-1");
	EXPECT_EQ(out.get("X-Deadline-Ms"), "1234");
	EXPECT_EQ(out.get("X-Request-Urgency"), "4");
	EXPECT_EQ(out.get("X-Attempt-Id"), "a");
	EXPECT_EQ(out.get("X-Other"), "kept");
	EXPECT_EQ(out.get("Host"), "h");
	for (const char *dropped :
	     { "Authorization", "X-Inputs", "X-Private", "Connection" })
		EXPECT_EQ(out.get(dropped), "-") << dropped;
}

TEST(PlfCodec, ClassifiesAnswersByStatusAndFields)
{
	const struct {
		uint32_t status;
		std::vector<std::pair<const char *, const char *>> fields;
		bool is_ours, is_genuine, not_run, other;
	} cases[] = {
		{ 200,
		  { { "X-Attempt-Id", "a" }, { "X-Server-Seal", "s" } },
		  true,
		  true,
		  false,
		  false },
		{ 200,
		  { { "X-Attempt-Id", "b" } },
		  false,
		  false,
		  false,
		  false },
		{ 200, {}, false, false, false, false },
		{ 503, { { "X-Not-Run", "1" } }, true, false, true, false },
		{ 503, {}, true, false, false, false },
		{ 421, {}, true, false, true, true },
	};

	for (const auto &row : cases) {
		Fields fields(row.fields);
		direct_reply reply = {};

		plf_codec()->read_reply(row.status, &fields.list, "a", &reply);
		EXPECT_EQ(reply.matches_request, row.is_ours) << row.status;
		EXPECT_EQ(reply.has_upstream_seal, row.is_genuine)
			<< row.status;
		EXPECT_EQ(reply.not_run, row.not_run) << row.status;
		EXPECT_EQ(reply.other_process, row.other) << row.status;
	}
}

TEST(PlfCodec, ReadsDrainNotice)
{
	const struct {
		const char *value;
		bool draining;
	} cases[] = { { "1", true }, { "0", false }, { "", false } };

	for (const auto &row : cases) {
		const std::vector<std::pair<const char *, const char *>>
			field = { { "Server-Leaving", row.value } };
		Fields fields(field);
		direct_reply reply = {};

		plf_codec()->read_reply(503, &fields.list, "a", &reply);
		EXPECT_EQ(reply.draining, row.draining) << row.value;
	}
}

/* Guards against a malformed fourth figure that hides the others, and against
 * load that is assumed where none is reported. */
TEST(PlfCodec, ReadsLoadOfThreeOrFourFigures)
{
	const struct {
		const char *value;
		int32_t running, waiting, percent;
	} cases[] = {
		{ "3,1,96", 3, 1, 0 },
		{ "3,1,96,130", 3, 1, 130 },
		{ " 3 , 1 , 96 , 80 ", 3, 1, 80 },
		{ "3,1,96,0", 3, 1, 0 },
		{ "3,1,96,", 3, 1, 0 },
		{ "3,1,96,-5", 3, 1, 0 },
		{ "3,1,96,1.3", 3, 1, 0 },
		{ "3,1,96,130%", 3, 1, 0 },
		{ "3,1,96,99999999999", 3, 1, 0 },
		{ "3,1,x,130", 3, 1, 0 },
		{ "3,1,96,130,7", 3, 1, 0 },
		{ "3,1", 3, 1, 0 },
		{ "3", -1, -1, 0 },
		{ "x,1,96,130", -1, -1, 0 },
		{ "", -1, -1, 0 },
	};

	for (const auto &row : cases) {
		const std::vector<std::pair<const char *, const char *>>
			field = { { "X-Server-Load", row.value } };
		Fields fields(field);
		direct_reply reply = {};

		plf_codec()->read_reply(200, &fields.list, "a", &reply);
		EXPECT_EQ(reply.running, row.running) << row.value;
		EXPECT_EQ(reply.waiting, row.waiting) << row.value;
		EXPECT_EQ(reply.work_time_percent, row.percent) << row.value;
	}
}

TEST(PlfCodec, ReadsPushbackOfRefusals)
{
	const struct {
		uint32_t status;
		const char *value;
		int64_t pushback_us;
	} cases[] = {
		{ 503, "3", 3000000 },
		{ 503, "0.25", 250000 },
		{ 429, "1", 1000000 },
		{ 503, "0", 0 },
		{ 200, "3", 0 },
		{ 503, "-1", 0 },
		{ 503, "soon", 0 },
		{ 503, "99999999999", 86400000000 },
		{ 503, "Thu, 03 Dec 2026 10:00:00 GMT", 0 },
	};

	for (const auto &row : cases) {
		const std::vector<std::pair<const char *, const char *>>
			field = { { "Retry-After", row.value } };
		Fields fields(field);
		direct_reply reply = {};

		plf_codec()->read_reply(row.status, &fields.list, "a", &reply);
		EXPECT_EQ(reply.pushback_us, row.pushback_us) << row.value;
	}
}

TEST(PlfCodec, AdvertisedRateLimitIsDecimal)
{
	const struct {
		const char *value;
		direct_limit_notice limit;
		double per_s;
	} cases[] = {
		{ "1", DIRECT_LIMIT_ADVERTISED, 1 },
		{ "0", DIRECT_LIMIT_ADVERTISED, 0 },
		{ "2.75", DIRECT_LIMIT_ADVERTISED, 2.75 },
		{ "", DIRECT_LIMIT_UNREADABLE, 0 },
		{ ".", DIRECT_LIMIT_UNREADABLE, 0 },
		{ "-1", DIRECT_LIMIT_UNREADABLE, 0 },
		{ "1e3", DIRECT_LIMIT_UNREADABLE, 0 },
		{ "nan", DIRECT_LIMIT_UNREADABLE, 0 },
		{ "1.2.3", DIRECT_LIMIT_UNREADABLE, 0 },
		{ "5 a second", DIRECT_LIMIT_UNREADABLE, 0 },
		{ "000000000000000000001", DIRECT_LIMIT_UNREADABLE, 0 },
	};
	Fields none;
	direct_reply reply = {};

	plf_codec()->read_reply(200, &none.list, "a", &reply);
	EXPECT_EQ(reply.limit, DIRECT_LIMIT_NONE);
	for (const auto &row : cases) {
		const std::vector<std::pair<const char *, const char *>>
			field = { { "Server-Limit", row.value } };
		Fields fields(field);

		reply = {};
		plf_codec()->read_reply(503, &fields.list, "a", &reply);
		EXPECT_EQ(reply.limit, row.limit) << row.value;
		if (row.limit == DIRECT_LIMIT_ADVERTISED) {
			EXPECT_EQ(reply.limit_per_s, row.per_s) << row.value;
		}
	}
}

TEST(PlfCodec, RejectsInvalidCallerFields)
{
	const struct {
		const char *name;
		const char *value;
		bool valid;
	} cases[] = {
		{ "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410", true },
		{ "X-Prompt-Prefix", "5c1e07a2", false },
		{ "X-Prompt-Prefix", "5c1e07a2:many", false },
		{ "X-Pieces", "1,0,8", true },
		{ "X-Pieces", "1,x", false },
		{ "X-Pieces", "70000", false },
		{ "X-Token-Counts", "1460,80", true },
		{ "X-Token-Counts", "1460", false },
	};

	for (const auto &row : cases) {
		Fields fields({ { "Host", "h" },
				{ "X-Attempt-Id", "a" },
				{ row.name, row.value } });
		direct_request_info info = {};

		info.prefix_blocks =
			g_array_new(FALSE, FALSE, sizeof(pool_prefix_block));
		info.pieces = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		EXPECT_EQ(plf_codec()->read_request(&fields.list, &info),
			  row.valid)
			<< row.name << " " << row.value;
		g_array_unref(info.prefix_blocks);
		g_array_unref(info.pieces);
	}
}

TEST(PlfCodec, CallAnswerMustMatchPieces)
{
	direct_item_outcome outcomes[2] = {};
	int64_t born_ms = -1;
	auto read = [&](const std::string &body, uint32_t count) {
		return plf_codec()->read_items(body.data(), body.size(),
					       outcomes, count, &born_ms);
	};
	const char valid_answer[] = "{\"items\":[{\"handle\":\"1:2/3\"},"
				    "{\"reason\":\"gone\"}]}";

	ASSERT_TRUE(read(valid_answer, 2));
	EXPECT_EQ(born_ms, 0);
	EXPECT_EQ(outcomes[0].result, DIRECT_ITEM_COMPLETED);
	EXPECT_STREQ(outcomes[0].handle, "1:2/3");
	EXPECT_EQ(outcomes[1].result, DIRECT_ITEM_INPUT_GONE);
	g_free(outcomes[0].handle);
	EXPECT_FALSE(read(valid_answer, 1));
	EXPECT_FALSE(read("no", 2));
	EXPECT_FALSE(read("{\"items\":7}", 2));
	/* One item that cannot be decoded invalidates the whole answer. */
	for (const char *item :
	     { "7", "{}", "{\"handle\":7}", "{\"handle\":\"\"}",
	       "{\"handle\":\"1:2/3,1:2/4\"}",
	       "{\"handle\":\"1:2/3\\r\\na: b\"}", "{\"reason\":null}" })
		EXPECT_FALSE(read("{\"items\":[{\"handle\":\"1:2/3\"}," +
					  std::string(item) + "]}",
				  2))
			<< item;
	ASSERT_TRUE(read("{\"born\":1764720000123,\"items\":[]}", 0));
	EXPECT_EQ(born_ms, 1764720000123);
	for (const char *born :
	     { "\"1764720000123\"", "1.5", "-1", "0", "null", "[]", "true" })
		EXPECT_FALSE(read(
			"{\"born\":" + std::string(born) + ",\"items\":[]}", 0))
			<< born;
}

TEST(PlfCodec, ResultMemoryIsInWholeMegabytes)
{
	direct_result_memory memory = {};
	auto read = [&](const char *body) {
		return plf_codec()->read_result_memory(body, strlen(body),
						       &memory);
	};

	ASSERT_TRUE(read("{\"waiting\":0,\"busy\":1,\"free_mb\":17}"));
	EXPECT_EQ(memory.min_bytes, 17000000);
	EXPECT_EQ(memory.max_bytes, 18000000);
	EXPECT_EQ(memory.born_ms, 0);
	ASSERT_TRUE(read("{\"free_mb\":-3,\"born\":5}"));
	EXPECT_EQ(memory.min_bytes, 0);
	EXPECT_EQ(memory.born_ms, 5);
	for (const char *bad :
	     { "", "no", "{}", "{\"free_mb\":\"17\"}", "{\"free_mb\":[17]}",
	       "{\"free_mb\":null}", "{\"free_mb\":17,\"born\":\"5\"}" })
		EXPECT_FALSE(read(bad)) << bad;
	/* A value larger than any upstream's memory does not overflow. */
	ASSERT_TRUE(read("{\"free_mb\":9000000000000000000}"));
	EXPECT_GT(memory.max_bytes, memory.min_bytes);
}

/* ---- the log ---- */

TEST(EventLog, CountsLostLines)
{
	TestClock clock;
	int pipe[2];
	lp_event_options options = { "p", &clock.clock, 0, 3 };
	char text[4096] = {};
	lp_event_log *log;

	ASSERT_TRUE(g_unix_open_pipe(pipe, 0, nullptr));
	options.fd = pipe[1];
	log = lp_event_log_create(&options);
	for (int i = 0; i < 5; i++)
		if (lp_event_begin(log, "decided", "r\"1")) {
			lp_event_int(log, "n", i);
			lp_event_end(log);
		}
	EXPECT_EQ(lp_event_log_lost(log), 2);
	clock.now_us += 2 * LP_US_PER_S;
	lp_event_begin(log, "later", nullptr);
	lp_event_end(log);
	lp_event_log_destroy(log);
	ASSERT_GT(read(pipe[0], text, sizeof(text) - 1), 0);
	EXPECT_STREQ(
		text,
		"{\"t_us\":1000000,\"process\":\"p\",\"event\":\"decided\","
		"\"request\":\"r\\\"1\",\"n\":0}\n"
		"{\"t_us\":1000000,\"process\":\"p\",\"event\":\"decided\","
		"\"request\":\"r\\\"1\",\"n\":1}\n"
		"{\"t_us\":1000000,\"process\":\"p\",\"event\":\"decided\","
		"\"request\":\"r\\\"1\",\"n\":2}\n"
		"{\"t_us\":3000000,\"process\":\"p\",\"event\":\"later\","
		"\"lines_lost\":2}\n");
	close(pipe[0]);
	close(pipe[1]);
}

/* A reader that does not read causes lost lines, never a blocked writer. */
TEST(EventLog, DoesNotBlockOnSlowReader)
{
	TestClock clock;
	int pipe[2];
	lp_event_options options = { "p", &clock.clock, 0, 1000000 };
	gint64 start_us = g_get_monotonic_time();
	lp_event_log *log;

	ASSERT_TRUE(g_unix_open_pipe(pipe, 0, nullptr));
	options.fd = pipe[1];
	log = lp_event_log_create(&options);
	for (int i = 0; i < 20000; i++) {
		if (lp_event_begin(log, "decided", "request")) {
			lp_event_int(log, "number", i);
			lp_event_end(log);
		}
		if (i % 100 == 0)
			lp_event_log_flush(log);
	}
	EXPECT_GT(lp_event_log_lost(log), 0);
	EXPECT_LT(g_get_monotonic_time() - start_us, 3000000);
	lp_event_log_destroy(log);
	close(pipe[0]);
	close(pipe[1]);
}

} // namespace
