/* Verbs that run the command line or look at processes. */
#include "tools/scenario_private.h"

#include <sys/wait.h>

/* What differs from run to run is written as a word. */
static void print_settled(const char *text)
{
	static const char *const patterns[][2] = {
		{ "apply [0-9a-f-]{36}", "apply ID" },
		{ "[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z", "TIME" },
		{ "127\\.0\\.0\\.1:[0-9]+", "ADDRESS" },
		{ "[0-9a-f]{16}-[0-9a-f]{8}", "REQUEST" },
		{ "lpt1:[^ \"]+", "TICKET" },
	};
	g_autofree char *now = g_strdup(text);

	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
		g_autoptr(GRegex) regex =
			g_regex_new(patterns[i][0], 0, 0, NULL);
		char *next = g_regex_replace_literal(regex, now, -1, 0,
						     patterns[i][1], 0, NULL);

		g_free(now);
		now = next;
	}
	fputs(now, stdout);
}

/* A command line that runs. */
struct capture {
	GMainLoop *loop; /* while someone waits */
	GSubprocess *process;
	char *text;
	bool ended;
};

static void on_captured(GObject *source, GAsyncResult *result, gpointer data)
{
	struct capture *capture = data;

	g_subprocess_communicate_utf8_finish(G_SUBPROCESS(source), result,
					     &capture->text, NULL, NULL);
	capture->ended = true;
	if (capture->loop)
		g_main_loop_quit(capture->loop);
}

static struct capture *start_cli(struct scenario *scenario, char *const *args)
{
	g_autoptr(GPtrArray) argv = g_ptr_array_new_with_free_func(g_free);
	struct capture *capture = g_new0(struct capture, 1);

	g_ptr_array_add(argv, g_build_filename(scenario->settings->build,
					       "linepier", NULL));
	if (scenario->fleet) {
		g_ptr_array_add(argv,
				g_strdup_printf("--kv-url=%s",
						fleet_kv_url(scenario->fleet)));
		g_ptr_array_add(
			argv,
			g_strdup_printf("--hosts-url=%s",
					fleet_hosts_url(scenario->fleet)));
	}
	for (int i = 0; args[i]; i++)
		g_ptr_array_add(argv, g_strdup(args[i]));
	g_ptr_array_add(argv, NULL);
	capture->process =
		g_subprocess_newv((const char *const *)argv->pdata,
				  G_SUBPROCESS_FLAGS_STDOUT_PIPE |
					  G_SUBPROCESS_FLAGS_STDERR_MERGE,
				  NULL);
	g_subprocess_communicate_utf8_async(capture->process, NULL, NULL,
					    on_captured, capture);
	return capture;
}

/* Wait for its end; its output (g_free) and status. */
static char *finish_cli(struct capture *capture, int *status)
{
	char *text;

	if (!capture->ended) {
		capture->loop = g_main_loop_new(NULL, FALSE);
		g_main_loop_run(capture->loop);
		g_main_loop_unref(capture->loop);
	}
	*status = g_subprocess_get_exit_status(capture->process);
	g_object_unref(capture->process);
	text = capture->text ? capture->text : g_strdup("");
	g_free(capture);
	return text;
}

static char *run_cli(struct scenario *scenario, char *const *args, int *status)
{
	return finish_cli(start_cli(scenario, args), status);
}

/* cli-start ARGS...: runs while the script goes on. */
void sc_verb_cli_start(struct scenario *scenario, const struct words *words)
{
	g_queue_push_tail(&scenario->running,
			  start_cli(scenario, words->all + 1));
}

static void print_status(int status)
{
	printf("status %d\n", status);
}

/* cli-wait: the oldest that was started. */
void sc_verb_cli_wait(struct scenario *scenario, const struct words *words)
{
	struct capture *capture = g_queue_pop_head(&scenario->running);
	g_autofree char *text = NULL;
	int status;

	if (!capture) {
		sc_fail(scenario, "nothing was started");
		return;
	}
	text = finish_cli(capture, &status);
	print_settled(text);
	print_status(status);
}

/* cli-race: waits for all that were started; one must win, the rest lose. */
void sc_verb_cli_race(struct scenario *scenario, const struct words *words)
{
	struct capture *capture;
	uint32_t won = 0;
	uint32_t refused = 0;

	while ((capture = g_queue_pop_head(&scenario->running))) {
		int status;
		g_autofree char *text = finish_cli(capture, &status);

		won += !status;
		refused += status && strstr(text, "refused: ");
	}
	printf("%u applied, %u refused\n", won, refused);
}

/* cli ARGS...: the command's output and status. */
void sc_verb_cli(struct scenario *scenario, const struct words *words)
{
	int status;
	g_autofree char *text = run_cli(scenario, words->all + 1, &status);

	print_settled(text);
	print_status(status);
}

static void load_doc(struct scenario *scenario, const char *file)
{
	g_autoptr(GPtrArray) errors = cfg_errors_create();
	g_autofree char *text = NULL;

	cfg_doc_destroy(scenario->doc);
	scenario->doc = NULL;
	if (cfg_files_load(file, errors, &text, &scenario->doc))
		sc_fail(scenario, "the file is not good");
}

/* linepierd ARGS...: for settings it refuses; output and status. */
void sc_verb_linepierd(struct scenario *scenario, const struct words *words)
{
	g_autoptr(GPtrArray) argv = g_ptr_array_new();
	g_autofree char *program =
		g_build_filename(scenario->settings->build, "linepierd", NULL);
	g_autofree char *out = NULL;
	g_autofree char *err = NULL;
	int status = 0;

	g_ptr_array_add(argv, program);
	for (int i = 1; i < words->count; i++)
		g_ptr_array_add(argv, words->all[i]);
	g_ptr_array_add(argv, NULL);
	g_spawn_sync(NULL, (char **)argv->pdata, NULL, G_SPAWN_DEFAULT, NULL,
		     NULL, &out, &err, &status, NULL);
	printf("%s%s", out, err);
	print_status(WEXITSTATUS(status));
}

/* apply FILE: apply and wait until it is in force everywhere. */
void sc_verb_apply(struct scenario *scenario, const struct words *words)
{
	char *args[] = { "--wait=yes", "apply", words->all[1], NULL };
	int status;
	g_autofree char *text = run_cli(scenario, args, &status);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	guint count = g_strv_length(lines);

	load_doc(scenario, sc_word(words, 1));
	/* The first lines are the whole file's diff. */
	for (guint i = count > 3 ? count - 3 : 0; i + 1 < count; i++)
		printf("%s\n", lines[i]);
	if (status)
		sc_fail(scenario, text);
}

/* explain-refused KIND: of a request that the last load saw refused so. */
void sc_verb_explain_refused(struct scenario *scenario,
			     const struct words *words)
{
	struct load_report report;

	load_get_report(scenario->load, &report);
	for (int i = 1; i < LOAD_KINDS_MAX; i++) {
		char *args[] = { "explain", (char *)report.examples[i], NULL };
		g_autofree char *text = NULL;
		int status;

		if (!report.examples[i] ||
		    strcmp(lp_error_info(-i)->name, sc_word(words, 1)) != 0)
			continue;
		text = run_cli(scenario, args, &status);
		fputs(text, stdout);
	}
}

/* explain-slowest: of the last load. */
void sc_verb_explain_slowest(struct scenario *scenario,
			     const struct words *words)
{
	struct load_report report;
	g_autofree char *text = NULL;
	int status;

	load_get_report(scenario->load, &report);
	char *args[] = { "explain", (char *)report.slowest, NULL };
	text = run_cli(scenario, args, &status);
	fputs(text, stdout);
}

/* explain: the sentences about the last call, without their figures. */
void sc_verb_explain(struct scenario *scenario, const struct words *words)
{
	char *args[] = { "explain", scenario->last_id, NULL };
	int status;
	g_autofree char *text = NULL;

	if (!scenario->last_id) {
		sc_fail(scenario, "no call had an id");
		return;
	}
	text = run_cli(scenario, args, &status);
	fputs(text, stdout);
}

/* What the KV's stand-in has counted, or NULL; g_free(). */
static char *read_counts(struct scenario *scenario, const char *path)
{
	g_autofree char *url =
		g_strdup_printf("%s%s", fleet_kv_direct(scenario->fleet), path);

	return fleet_http("GET", url, NULL, NULL, CALL_TIMEOUT_US).body;
}

static bool counts_match(struct scenario *scenario, const char *path,
			 const char *text)
{
	g_autofree char *counts = read_counts(scenario, path);

	return counts && strstr(counts, text);
}

/* wait-revision N [HOST...]: until these, or all running, have it. */
static bool has_revision(struct scenario *scenario,
			 const struct fleet_host *host, int64_t revision)
{
	g_autoptr(JsonNode) node = fleet_status(scenario->fleet, host);

	return node && json_object_get_int_member(json_node_get_object(node),
						  "revision") == revision;
}

void sc_verb_wait_revision(struct scenario *scenario, const struct words *words)
{
	int64_t revision = g_ascii_strtoll(sc_word(words, 1), NULL, 10);
	int64_t until_us = g_get_monotonic_time() + WAIT_TIMEOUT_US;

	for (uint32_t i = 0; i < fleet_count(scenario->fleet); i++) {
		struct fleet_host *host = fleet_at(scenario->fleet, i);

		if (!host->pid || (words->count > 2 &&
				   strcmp(host->id, sc_word(words, 2)) != 0))
			continue;
		while (!has_revision(scenario, host, revision)) {
			if (g_get_monotonic_time() > until_us) {
				sc_fail(scenario, host->id);
				return;
			}
			fleet_pause(POLL_US);
		}
	}
	printf("revision %s is in force\n", sc_word(words, 1));
}

/* revision HOST: what is in force there. */
void sc_verb_revision(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);
	g_autoptr(JsonNode) node =
		host ? fleet_status(scenario->fleet, host) : NULL;

	if (!node)
		sc_fail(scenario, "no answer");
	else
		printf("revision %" G_GINT64_FORMAT "\n",
		       json_object_get_int_member(json_node_get_object(node),
						  "revision"));
}

/* metric HOST NAME: the value of a counter now; 0 if there is none. */
void sc_verb_metric(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);

	if (host)
		printf("%" G_GINT64_FORMAT "\n",
		       fleet_metric(host, sc_word(words, 2)));
}

/* wait-metric HOST NAME VALUE: until a counter is at least this. */
void sc_verb_wait_metric(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);
	int64_t value = g_ascii_strtoll(sc_word(words, 3), NULL, 10);
	int64_t until_us = g_get_monotonic_time() + WAIT_TIMEOUT_US;

	while (host && fleet_metric(host, sc_word(words, 2)) < value) {
		if (g_get_monotonic_time() > until_us) {
			sc_fail(scenario, "the counter did not get there");
			return;
		}
		fleet_pause(POLL_US);
	}
}

/* wait-watching N: until the KV holds N watches. */
void sc_verb_wait_watching(struct scenario *scenario, const struct words *words)
{
	g_autofree char *text =
		g_strdup_printf("\"watching\":%s,", sc_word(words, 1));
	int64_t until_us = g_get_monotonic_time() + WAIT_TIMEOUT_US;

	while (!counts_match(scenario, "/standin/counts", text)) {
		if (g_get_monotonic_time() > until_us) {
			g_autofree char *counts =
				read_counts(scenario, "/standin/counts");

			sc_fail(scenario, "not that many watches");
			printf("the KV has %s\n", counts ? counts : "");
			return;
		}
		fleet_pause(POLL_US);
	}
	printf("%s processes watch the KV\n", sc_word(words, 1));
}

/* wait-model HOST MODEL: until the upstream beside it serves the model. */
static char *model_of(const struct fleet_host *host)
{
	g_autofree char *url =
		g_strdup_printf("http://%s/standin/model", host->upstream);

	return fleet_http("GET", url, NULL, NULL, CALL_TIMEOUT_US).body;
}

void sc_verb_wait_model(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);
	g_autofree char *wanted =
		g_strdup_printf("\"model\":\"%s\"", sc_word(words, 2));
	int64_t until_us = g_get_monotonic_time() + WAIT_TIMEOUT_US;

	while (host) {
		g_autofree char *text = model_of(host);

		if (text && strstr(text, wanted)) {
			printf("%s serves %s\n", host->id, sc_word(words, 2));
			return;
		}
		if (g_get_monotonic_time() > until_us) {
			sc_fail(scenario, text ? text : "no answer");
			return;
		}
		fleet_pause(POLL_US);
	}
}

/* wait-superseded HOST: until it knows that a successor gives the orders. */
static bool is_superseded(struct scenario *scenario,
			  const struct fleet_host *host)
{
	g_autoptr(JsonNode) node = fleet_status(scenario->fleet, host);

	return node && json_object_get_boolean_member_with_default(
			       json_node_get_object(node), "superseded", FALSE);
}

void sc_verb_wait_superseded(struct scenario *scenario,
			     const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);
	int64_t until_us = g_get_monotonic_time() + WAIT_TIMEOUT_US;

	while (host && !is_superseded(scenario, host)) {
		if (g_get_monotonic_time() > until_us) {
			sc_fail(scenario, "it still gives orders");
			return;
		}
		fleet_pause(POLL_US);
	}
	printf("%s gives no orders\n", sc_word(words, 1));
}
