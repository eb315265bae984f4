/* Verbs about loads. */
#include "tools/scenario_private.h"

static void on_load_done(void *userdata)
{
	struct scenario *scenario = userdata;

	scenario->load_done = true;
	if (scenario->load_loop)
		g_main_loop_quit(scenario->load_loop);
}

/* load rate=N requests=N [seed=N] ...: begins; load-wait ends it. */
void sc_verb_load(struct scenario *scenario, const struct words *words)
{
	const struct load_options options = {
		.doc = scenario->doc,
		.entries = (const char *const *)scenario->entries,
		.rate_per_s = sc_number(words, "rate", 100),
		.requests = sc_number(words, "requests", 200),
		.seed = sc_number(words, "seed", 1),
		.tokens = sc_number(words, "tokens", 4),
		.stream_percent = sc_number(words, "stream", 30),
		.key_percent = sc_number(words, "keys", 30),
		.ticket_percent = sc_number(words, "tickets", 30),
		.retry_percent = sc_number(words, "retries", 30),
		.probe_ms = sc_number(words, "probe-ms", 0),
	};

	load_destroy(scenario->load);
	scenario->load = load_create(&options);
	scenario->load_done = false;
	load_start(scenario->load, on_load_done, scenario);
}

/* load-at N: until N requests of the load are out. */
void sc_verb_load_at(struct scenario *scenario, const struct words *words)
{
	uint32_t at = (uint32_t)strtoul(sc_word(words, 1), NULL, 10);

	while (load_sent(scenario->load) < at)
		fleet_pause(POLL_US);
}

static void add_executions(struct scenario *scenario)
{
	for (uint32_t i = 0; i < scenario->doc->services_count; i++) {
		struct fleet_reply reply = sc_executions_of(
			scenario, scenario->doc->services[i].name,
			"/standin/keys");

		if (reply.body)
			load_add_executions(scenario->load, reply.body);
		else
			sc_fail(scenario, "a stand-in did not tell its keys");
		g_free(reply.body);
	}
}

static void print_verdict(const struct load_report *report)
{
	printf("lost %u, doubled %u, truncated %u, foreign %u, false not_run "
	       "%u, never executed %u\n",
	       report->lost, report->doubled, report->truncated,
	       report->foreign, report->false_not_run, report->unexecuted);
}

/*
 * load-wait [attainment=PERCENT] [all=yes]: the promises; with attainment,
 * whether at least this share was answered in time.
 */
void sc_verb_load_wait(struct scenario *scenario, const struct words *words)
{
	uint32_t wanted = sc_number(words, "attainment", 0);
	struct load_report report;

	if (!scenario->load_done) {
		scenario->load_loop = g_main_loop_new(NULL, FALSE);
		g_main_loop_run(scenario->load_loop);
		g_clear_pointer(&scenario->load_loop, g_main_loop_unref);
	}
	add_executions(scenario);
	load_get_report(scenario->load, &report);
	print_verdict(&report);
	if (wanted && report.attainment * 100 >= wanted)
		printf("at least %u in 100 were answered whole and in time\n",
		       wanted);
	else if (wanted)
		sc_fail(scenario, "attainment is lower");
	if (!strcmp(sc_option(words, "report", "no"), "yes")) {
		load_print_costs(scenario->load);
		load_print_report(&report);
	}
	/* For whoever reads the log of a failed run. */
	fprintf(stderr, "load: answered %u of %u, refused %u\n",
		report.answered, report.sent, report.refused);
}
