#include "tools/scenario.h"

#include "tools/scenario_private.h"

const char *sc_option(const struct words *words, const char *name,
		      const char *fallback)
{
	size_t length = strlen(name);

	for (int i = 1; i < words->count; i++)
		if (!strncmp(words->all[i], name, length) &&
		    words->all[i][length] == '=')
			return words->all[i] + length + 1;
	return fallback;
}

uint32_t sc_number(const struct words *words, const char *name,
		   uint32_t fallback)
{
	const char *text = sc_option(words, name, NULL);

	return text ? (uint32_t)strtoul(text, NULL, 10) : fallback;
}

const char *sc_word(const struct words *words, int index)
{
	return index < words->count ? words->all[index] : "";
}

void sc_fail(struct scenario *scenario, const char *what)
{
	printf("FAILED: %s\n", what);
	scenario->failed = true;
}

/* ---- the language ---- */

static void verb_wait(struct scenario *scenario, const struct words *words)
{
	fleet_pause(strtoll(sc_word(words, 1), NULL, 10) * LP_US_PER_MS);
}

static void verb_end(struct scenario *scenario, const struct words *words)
{
	fleet_destroy(scenario->fleet);
	scenario->fleet = NULL;
}

struct verb {
	const char *name;
	void (*run)(struct scenario *scenario, const struct words *words);
	bool needs_fleet;
};

static const struct verb verbs[] = {
	{ "fleet", sc_verb_fleet, false },
	{ "ready", sc_verb_ready, true },
	{ "kill", sc_verb_kill, true },
	{ "pause", sc_verb_pause, true },
	{ "resume", sc_verb_resume, true },
	{ "stop", sc_verb_stop, true },
	{ "term", sc_verb_term, true },
	{ "start", sc_verb_start, true },
	{ "succeed", sc_verb_succeed, true },
	{ "list", sc_verb_list, true },
	{ "unlist", sc_verb_unlist, true },
	{ "kill-readers", sc_verb_kill_readers, true },
	{ "start-killed", sc_verb_start_killed, true },
	{ "hang-up", sc_verb_hang_up, true },
	{ "read-later", sc_verb_read_later, true },
	{ "send-raw", sc_verb_send_raw, true },
	{ "connect", sc_verb_connect, true },
	{ "send-held", sc_verb_send_held, true },
	{ "wait-closed", sc_verb_wait_closed, true },
	{ "linepierd", sc_verb_linepierd, false },
	{ "roll", sc_verb_roll, true },
	{ "fault", sc_verb_fault, true },
	{ "standin", sc_verb_standin, true },
	{ "fault-domain", sc_verb_fault_domain, true },
	{ "cli", sc_verb_cli, false },
	{ "cli-start", sc_verb_cli_start, true },
	{ "cli-wait", sc_verb_cli_wait, true },
	{ "cli-race", sc_verb_cli_race, true },
	{ "apply", sc_verb_apply, true },
	{ "explain", sc_verb_explain, true },
	{ "explain-slowest", sc_verb_explain_slowest, true },
	{ "explain-refused", sc_verb_explain_refused, true },
	{ "wait", verb_wait, false },
	{ "wait-revision", sc_verb_wait_revision, true },
	{ "metric", sc_verb_metric, true },
	{ "wait-metric", sc_verb_wait_metric, true },
	{ "wait-watching", sc_verb_wait_watching, true },
	{ "wait-model", sc_verb_wait_model, true },
	{ "wait-superseded", sc_verb_wait_superseded, true },
	{ "revision", sc_verb_revision, true },
	{ "call", sc_verb_call, true },
	{ "ticket", sc_verb_ticket, true },
	{ "executions", sc_verb_executions, true },
	{ "load", sc_verb_load, true },
	{ "load-at", sc_verb_load_at, true },
	{ "load-wait", sc_verb_load_wait, true },
	{ "end", verb_end, true },
};

static const struct verb *find_verb(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++)
		if (!strcmp(verbs[i].name, name))
			return &verbs[i];
	return NULL;
}

static void run_line(struct scenario *scenario, const char *line)
{
	g_auto(GStrv) all = NULL;
	struct words words;
	const struct verb *verb;

	if (!g_shell_parse_argv(line, &words.count, &all, NULL))
		return; /* empty, or a comment */
	words.all = all;
	printf("> %s\n", line);
	verb = find_verb(all[0]);
	if (!verb)
		sc_fail(scenario, "no such verb");
	else if (verb->needs_fleet && !scenario->fleet)
		sc_fail(scenario, "no fleet was started");
	else
		verb->run(scenario, &words);
}

static void clear(struct scenario *scenario)
{
	load_destroy(scenario->load);
	g_clear_object(&scenario->held);
	fleet_destroy(scenario->fleet);
	cfg_doc_destroy(scenario->doc);
	g_strfreev(scenario->entries);
	g_free(scenario->last_id);
	g_free(scenario->ticket);
}

int scenario_run(const struct scenario_settings *settings, const char *path)
{
	struct scenario scenario = { .settings = settings };
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		g_printerr("cannot read %s\n", path);
		return 1;
	}
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; lines[i] && !scenario.failed; i++)
		run_line(&scenario, lines[i]);
	clear(&scenario);
	return scenario.failed;
}
