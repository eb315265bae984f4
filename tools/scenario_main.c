/*
 * lp-scenario: runs a script of lines against real processes.
 *
 * The transcript (each line after "> ", then what it printed) goes to
 * standard output; tests compare it with a committed one, so every verb
 * prints only what is the same each time. docs/SCENARIOS.md lists the verbs.
 * Whatever the script started is ended before the program returns.
 */
#include "base/lp_settings.h"
#include "tools/scenario.h"

#include <stdio.h>

#define EXIT_USAGE 2
#define FIELD(name) offsetof(struct scenario_settings, name)

static const struct lp_setting table[] = {
	{ "build", LP_SETTING_STRING, FIELD(build), "build", 0, 0, NULL,
	  "folder with the programs" },
	{ "logs", LP_SETTING_STRING, FIELD(logs), "build/logs", 0, 0, NULL,
	  "folder for the processes' output" },
};

int main(int argc, const char **argv)
{
	struct scenario_settings settings = { 0 };
	struct lp_settings_rest rest = { 0 };
	int status = EXIT_USAGE;

	setvbuf(stdout, NULL, _IOLBF, 0);
	lp_settings_load(table, G_N_ELEMENTS(table), &settings, argc, argv,
			 "[OPTION...] SCRIPT", &rest);
	if (rest.errors->len)
		lp_settings_print_errors(&rest);
	else if (!rest.args[0])
		g_printerr("expected a script\n");
	else
		status = scenario_run(&settings, rest.args[0]);
	lp_settings_clear(table, G_N_ELEMENTS(table), &settings, &rest);
	return status;
}
