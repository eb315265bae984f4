/* lp-load: an open-loop load against running entries; prints what it saw. */
#include "base/lp_error.h"
#include "base/lp_settings.h"
#include "tools/fleet.h"
#include "tools/load.h"
#include "tools/load_print.h"

#include <stdio.h>

#define EXIT_USAGE 2
#define KEYS_TIMEOUT_US 5000000
#define FIELD(name) offsetof(struct settings, name)

struct settings {
	char *config;
	char *entries;
	char *executions;
	int64_t rate;
	int64_t requests;
	int64_t seed;
	int64_t tokens;
	int64_t stream_percent;
	int64_t key_percent;
	int64_t ticket_percent;
	int64_t retry_percent;
	int64_t subjects;
};

static const struct lp_setting table[] = {
	{ "config", LP_SETTING_STRING, FIELD(config), NULL, 0, 0, NULL,
	  "the configuration that is in force" },
	{ "entries", LP_SETTING_STRING, FIELD(entries), NULL, 0, 0, NULL,
	  "IP:PORT of entries, with commas" },
	{ "executions", LP_SETTING_STRING, FIELD(executions), "", 0, 0, NULL,
	  "IP:PORT of one stand-in of each plain service, with commas" },
	{ "rate", LP_SETTING_INT, FIELD(rate), "100", 1, 100000, NULL,
	  "requests a second" },
	{ "requests", LP_SETTING_INT, FIELD(requests), "1000", 1, 1000000, NULL,
	  "requests in all" },
	{ "seed", LP_SETTING_INT, FIELD(seed), "1", 0, G_MAXINT32, NULL,
	  "of every choice" },
	{ "tokens", LP_SETTING_INT, FIELD(tokens), "8", 1, 1000, NULL,
	  "of a generation" },
	{ "stream-percent", LP_SETTING_INT, FIELD(stream_percent), "30", 0, 100,
	  NULL, "requests as event streams" },
	{ "key-percent", LP_SETTING_INT, FIELD(key_percent), "30", 0, 100, NULL,
	  "changing requests with keys of their own" },
	{ "ticket-percent", LP_SETTING_INT, FIELD(ticket_percent), "30", 0, 100,
	  NULL, "changing requests with tickets" },
	{ "retry-percent", LP_SETTING_INT, FIELD(retry_percent), "20", 0, 100,
	  NULL, "keyed requests sent twice" },
	{ "subjects", LP_SETTING_INT, FIELD(subjects), "200", 1, 1000000, NULL,
	  "distinct prefixes" },
};

static void add_executions(struct load *load, const char *addresses)
{
	g_auto(GStrv) list = g_strsplit(addresses, ",", -1);

	for (int i = 0; list[i] && *list[i]; i++) {
		g_autofree char *url =
			g_strdup_printf("http://%s/standin/keys", list[i]);
		struct fleet_reply reply =
			fleet_http("GET", url, NULL, NULL, KEYS_TIMEOUT_US);

		if (reply.body)
			load_add_executions(load, reply.body);
		g_free(reply.body);
	}
}

static int run(const struct settings *settings)
{
	g_auto(GStrv) entries = g_strsplit(settings->entries, ",", -1);
	g_autoptr(GPtrArray) errors = cfg_errors_create();
	g_autofree char *text = NULL;
	struct load_report report;
	struct cfg_doc *doc;
	struct load *load;

	if (cfg_files_load(settings->config, errors, &text, &doc)) {
		for (guint i = 0; i < errors->len; i++)
			g_printerr("%s\n",
				   (char *)g_ptr_array_index(errors, i));
		return EXIT_USAGE;
	}
	const struct load_options options = {
		.doc = doc,
		.entries = (const char *const *)entries,
		.rate_per_s = (double)settings->rate,
		.requests = (uint32_t)settings->requests,
		.seed = (uint32_t)settings->seed,
		.tokens = (uint32_t)settings->tokens,
		.stream_percent = (uint32_t)settings->stream_percent,
		.key_percent = (uint32_t)settings->key_percent,
		.ticket_percent = (uint32_t)settings->ticket_percent,
		.retry_percent = (uint32_t)settings->retry_percent,
		.subjects = (uint32_t)settings->subjects,
	};
	load = load_create(&options);
	load_run(load);
	add_executions(load, settings->executions);
	load_get_report(load, &report);
	load_print_costs(load);
	load_print_report(&report);
	load_destroy(load);
	cfg_doc_destroy(doc);
	return load_is_clean(&report) ? 0 : 1;
}

int main(int argc, const char **argv)
{
	struct settings settings = { 0 };
	struct lp_settings_rest rest = { 0 };
	int status = EXIT_USAGE;

	lp_settings_load(table, G_N_ELEMENTS(table), &settings, argc, argv,
			 "[OPTION...]", &rest);
	if (rest.errors->len)
		lp_settings_print_errors(&rest);
	else
		status = run(&settings);
	lp_settings_clear(table, G_N_ELEMENTS(table), &settings, &rest);
	return status;
}
