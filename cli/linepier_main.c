/* linepier: the operators' command line. */
#include "base/lp_settings.h"
#include "cli/cli.h"

#include <stdio.h>
#include <string.h>

/* A command makes few calls and learns nothing of the service before: it waits
 * as long as a slow one may take. */
#define KV_TIMEOUT_US (10 * LP_US_PER_S)
#define KV_CALLS_PER_S 50.0
#define FIELD(name) offsetof(struct cli_settings, name)

static const struct lp_setting table[] = {
	{ "kv-url", LP_SETTING_STRING, FIELD(kv_url), "http://127.0.0.1:2379",
	  0, 0, NULL, "the platform's key-value service" },
	{ "hosts-url", LP_SETTING_STRING, FIELD(hosts_url),
	  "http://127.0.0.1:2380", 0, 0, NULL, "the platform's host list" },
	{ "who", LP_SETTING_STRING, FIELD(who), "operator", 0, 0, NULL,
	  "your name, for the audit trail" },
	{ "reason", LP_SETTING_STRING, FIELD(reason), "", 0, 0, NULL,
	  "why, for the audit trail" },
	{ "expect-revision", LP_SETTING_INT, FIELD(expect_revision), "-1", -1,
	  G_MAXINT64, NULL, "apply only over this revision" },
	{ "wait", LP_SETTING_BOOL, FIELD(wait), "no", 0, 0, NULL,
	  "apply: return when it is in force everywhere" },
	{ "wait-ms", LP_SETTING_INT, FIELD(wait_ms), "10000", 1, 3600000, NULL,
	  "longest wait of apply and watch" },
	{ "limit", LP_SETTING_INT, FIELD(limit), "20", 1, 100000, NULL,
	  "most records of history and audit" },
};

struct command {
	const char *name;
	int (*run)(struct cli *cli);
	const char *help;
};

static const struct command commands[] = {
	{ "check", cli_check, "FILE|FOLDER: is it good?" },
	{ "diff", cli_diff, "FILE|FOLDER: against what is in force" },
	{ "apply", cli_apply, "FILE|FOLDER: put it in force, as a whole" },
	{ "show", cli_show, "what is in force" },
	{ "history", cli_history, "the revisions kept" },
	{ "rollback", cli_rollback,
	  "REVISION: its text again, as a new revision" },
	{ "audit", cli_audit, "[who=NAME] [path=TEXT]: who changed what" },
	{ "status", cli_status, "every process, its revision and load" },
	{ "explain", cli_explain,
	  "REQUEST: why it waited, moved, was refused" },
	{ "watch", cli_watch, "HOST: its decisions as they are made" },
	{ "drain", cli_drain, "HOST: leave gracefully" },
};

static const struct command *find_command(const char *name)
{
	for (size_t i = 0; name && i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	return NULL;
}

static void print_commands(void)
{
	g_printerr("expected a command:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		g_printerr("  %-9s %s\n", commands[i].name, commands[i].help);
}

static int run(const struct command *command,
	       const struct cli_settings *settings, char **args)
{
	struct cli cli = {
		.settings = settings,
		.args = args,
		.counters = lp_counters_create(),
		.http = store_http_create(
			&(struct store_http_options){ .connections = 4 }),
	};
	const struct store_etcd_options options = {
		.url = settings->kv_url,
		.clock = lp_clock_boot(),
		.counters = cli.counters,
		.timeout_us = KV_TIMEOUT_US,
		.calls_per_s = KV_CALLS_PER_S,
	};
	int status;

	cli.kv = store_etcd_create(&options);
	status = command->run(&cli);
	store_kv_destroy(cli.kv);
	store_http_destroy(cli.http);
	lp_counters_destroy(cli.counters);
	return status;
}

int main(int argc, const char **argv)
{
	struct cli_settings settings = { 0 };
	struct lp_settings_rest rest = { 0 };
	const struct command *command;
	int status = CLI_USAGE;

	lp_settings_load(table, G_N_ELEMENTS(table), &settings, argc, argv,
			 "[OPTION...] COMMAND [ARGUMENT...]", &rest);
	command = find_command(rest.args[0]);
	if (rest.errors->len)
		lp_settings_print_errors(&rest);
	else if (!command)
		print_commands();
	else
		status = run(command, &settings, rest.args + 1);
	lp_settings_clear(table, G_N_ELEMENTS(table), &settings, &rest);
	return status;
}
