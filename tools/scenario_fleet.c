/* Verbs about fleets and processes. */
#include "tools/scenario_private.h"

void sc_verb_fleet(struct scenario *scenario, const struct words *words)
{
	const char *file = sc_word(words, 1);
	g_autofree char *why = NULL;
	g_autoptr(GPtrArray) flags = g_ptr_array_new();
	struct fleet_options options = {
		.file = file,
		.build = scenario->settings->build,
		.logs = scenario->settings->logs,
		.entries = sc_number(words, "entries", 2),
		.scale_percent = sc_number(words, "scale", 100),
		.proxied = !strcmp(sc_option(words, "proxied", "no"), "yes"),
	};

	for (int i = 2; i < words->count; i++)
		if (g_str_has_prefix(words->all[i], "--"))
			g_ptr_array_add(flags, words->all[i]);
	g_ptr_array_add(flags, NULL);
	options.flags = (const char *const *)flags->pdata;
	scenario->fleet = fleet_create(&options, &why);
	if (!scenario->fleet) {
		sc_fail(scenario, why);
		return;
	}
	scenario->entries = g_new0(char *, options.entries + 1);
	for (uint32_t i = 0; i < options.entries; i++)
		scenario->entries[i] =
			g_strdup(fleet_entry(scenario->fleet, i));
}

void sc_verb_ready(struct scenario *scenario, const struct words *words)
{
	if (fleet_ready(scenario->fleet, READY_TIMEOUT_US))
		printf("every process is ready\n");
	else
		sc_fail(scenario, "not every process became ready");
}

struct fleet_host *sc_host_of(struct scenario *scenario,
			      const struct words *words)
{
	struct fleet_host *host =
		fleet_find(scenario->fleet, sc_word(words, 1));

	if (!host)
		sc_fail(scenario, "no such host");
	return host;
}

void sc_verb_kill(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);

	if (!host)
		return;
	fleet_signal(host, SIGKILL);
	fleet_wait(host, EXIT_TIMEOUT_US);
}

void sc_verb_pause(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);

	if (host)
		fleet_signal(host, SIGSTOP);
}

void sc_verb_resume(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);

	if (host)
		fleet_signal(host, SIGCONT);
}

/* Graceful: SIGTERM, then wait for the end. */
void sc_verb_stop(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);

	if (!host)
		return;
	fleet_signal(host, SIGTERM);
	printf("%s ended with status %d\n", host->id,
	       fleet_wait(host, EXIT_TIMEOUT_US));
}

void sc_verb_term(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);

	if (host)
		fleet_signal(host, SIGTERM);
}

void sc_verb_start(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);

	if (host && (!fleet_start(scenario->fleet, host) ||
		     !fleet_wait_listening(scenario->fleet, host)))
		sc_fail(scenario, "it did not start");
}

void sc_verb_succeed(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);

	if (host && (!fleet_succeed(scenario->fleet, host) ||
		     !fleet_wait_listening(scenario->fleet, host)))
		sc_fail(scenario, "it did not start");
}

void sc_verb_unlist(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);

	if (host)
		fleet_unlist(scenario->fleet, host);
}

void sc_verb_list(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);

	if (!host)
		return;
	host->leaving = !strcmp(sc_word(words, 2), "leaving");
	fleet_list(scenario->fleet, host);
}

static bool is_reader(struct scenario *scenario, const struct fleet_host *host)
{
	g_autoptr(JsonNode) node = fleet_status(scenario->fleet, host);

	return node && json_object_get_boolean_member_with_default(
			       json_node_get_object(node), "reader", FALSE);
}

/* kill-readers: every process that watches the KV for the others. */
void sc_verb_kill_readers(struct scenario *scenario, const struct words *words)
{
	uint32_t killed = 0;

	for (uint32_t i = 0; i < fleet_count(scenario->fleet); i++) {
		struct fleet_host *host = fleet_at(scenario->fleet, i);

		if (!is_reader(scenario, host))
			continue;
		fleet_signal(host, SIGKILL);
		fleet_wait(host, EXIT_TIMEOUT_US);
		killed += 1;
	}
	printf("%u readers were killed\n", killed);
}

/* start-killed: every process that does not run. */
void sc_verb_start_killed(struct scenario *scenario, const struct words *words)
{
	for (uint32_t i = 0; i < fleet_count(scenario->fleet); i++) {
		struct fleet_host *host = fleet_at(scenario->fleet, i);

		if (!host->pid &&
		    (!fleet_start(scenario->fleet, host) ||
		     !fleet_wait_listening(scenario->fleet, host)))
			sc_fail(scenario, host->id);
	}
}

/* Replace every process, one after another, gracefully. */
void sc_verb_roll(struct scenario *scenario, const struct words *words)
{
	uint32_t count = fleet_count(scenario->fleet);

	for (uint32_t i = 0; i < count; i++) {
		struct fleet_host *host = fleet_at(scenario->fleet, i);

		fleet_signal(host, SIGTERM);
		if (fleet_wait(host, EXIT_TIMEOUT_US)) {
			sc_fail(scenario, host->id);
			return;
		}
		fleet_start(scenario->fleet, host);
		if (!fleet_ready(scenario->fleet, READY_TIMEOUT_US)) {
			sc_fail(scenario, "not ready after a replacement");
			return;
		}
	}
	printf("every process was replaced\n");
}

void sc_verb_fault(struct scenario *scenario, const struct words *words)
{
	if (!fleet_fault(scenario->fleet, sc_word(words, 1), sc_word(words, 2),
			 sc_number(words, "delay_ms", 0),
			 sc_option(words, "match", NULL)))
		sc_fail(scenario, "the proxy took no rule");
}

/* fault-domain DOMAIN MODE: for every agent there. */
void sc_verb_fault_domain(struct scenario *scenario, const struct words *words)
{
	for (uint32_t i = 0; i < fleet_count(scenario->fleet); i++) {
		const struct fleet_host *host = fleet_at(scenario->fleet, i);

		if (*host->service && !strcmp(host->domain, sc_word(words, 1)))
			fleet_fault(scenario->fleet, host->id,
				    sc_word(words, 2), 0, NULL);
	}
}

/* standin HOST JSON: control the upstream beside an agent. */
void sc_verb_standin(struct scenario *scenario, const struct words *words)
{
	struct fleet_host *host = sc_host_of(scenario, words);
	g_autofree char *url = NULL;

	if (!host)
		return;
	url = g_strdup_printf("http://%s/standin", host->upstream);
	g_free(fleet_http("POST", url, sc_word(words, 2), NULL, CALL_TIMEOUT_US)
		       .body);
}
