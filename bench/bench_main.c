/* lp-bench NAME: one measurement. */
#include "base/lp_settings.h"
#include "bench/bench.h"

#include <stdio.h>
#include <string.h>

#define EXIT_USAGE 2
#define FIELD(name) offsetof(struct bench_settings, name)

static const struct lp_setting table[] = {
	{ "build", LP_SETTING_STRING, FIELD(build), "build", 0, 0, NULL,
	  "folder with the programs" },
	{ "logs", LP_SETTING_STRING, FIELD(logs), "build/logs/bench", 0, 0,
	  NULL, "folder for the processes' output" },
	{ "deployment", LP_SETTING_STRING, FIELD(deployment), "kwaebibirem", 0,
	  0, NULL, "kwaebibirem or brennan" },
	{ "seeds", LP_SETTING_INT, FIELD(seeds), "3", 1, 20, NULL,
	  "runs per point" },
	{ "requests", LP_SETTING_INT, FIELD(requests), "20000", 100, 1000000,
	  NULL, "faults: requests" },
	{ "plot", LP_SETTING_STRING, FIELD(plot), "", 0, 0, NULL,
	  "surge: SVG file to write" },
	{ "report-only", LP_SETTING_BOOL, FIELD(report_only), "no", 0, 0, NULL,
	  "surge: end with 0 also if a target is missed" },
};

struct bench {
	const char *name;
	int (*run)(const struct bench_settings *settings);
};

static const struct bench benches[] = {
	{ "hop", bench_hop },	    { "overload", bench_overload },
	{ "slow", bench_slow },	    { "affinity", bench_affinity },
	{ "fair", bench_fair },	    { "faults", bench_faults },
	{ "claims", bench_claims }, { "decide", bench_decide },
	{ "config", bench_config }, { "slopes", bench_slopes },
	{ "surge", bench_surge },
};

static int run(const struct bench_settings *settings, const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(benches); i++)
		if (!strcmp(benches[i].name, name))
			return benches[i].run(settings);
	g_printerr("expected BENCH=NAME, one of:");
	for (size_t i = 0; i < G_N_ELEMENTS(benches); i++)
		g_printerr(" %s", benches[i].name);
	g_printerr("\n");
	return EXIT_USAGE;
}

int main(int argc, const char **argv)
{
	struct bench_settings settings = { 0 };
	struct lp_settings_rest rest = { 0 };
	int status = EXIT_USAGE;

	setvbuf(stdout, NULL, _IOLBF, 0);
	lp_settings_load(table, G_N_ELEMENTS(table), &settings, argc, argv,
			 "[OPTION...] NAME", &rest);
	if (rest.errors->len)
		lp_settings_print_errors(&rest);
	else
		status = run(&settings, rest.args[0] ? rest.args[0] : "");
	lp_settings_clear(table, G_N_ELEMENTS(table), &settings, &rest);
	return status;
}
