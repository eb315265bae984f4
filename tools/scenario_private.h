/** What the files of the scenario language share. Private to tools/. */
#ifndef SCENARIO_PRIVATE_H
#define SCENARIO_PRIVATE_H

#include "base/lp_clock.h"
#include "base/lp_error.h"
#include "tools/fleet.h"
#include "tools/load.h"
#include "tools/load_print.h"
#include "tools/scenario.h"

#include <gio/gio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READY_TIMEOUT_US (30 * LP_US_PER_S)
#define WAIT_TIMEOUT_US (30 * LP_US_PER_S)
#define EXIT_TIMEOUT_US (30 * LP_US_PER_S)
#define CALL_TIMEOUT_US (20 * LP_US_PER_S)
#define POLL_US (20 * LP_US_PER_MS)

struct scenario {
	const struct scenario_settings *settings;
	struct fleet *fleet;
	struct load *load;
	struct cfg_doc *doc; /* of the last apply */
	GMainLoop *load_loop;
	bool load_done;
	char *last_id; /* request of the last call */
	char *ticket;
	uint32_t calls;
	char **entries;
	GQueue running;		 /* of struct capture */
	GSocketConnection *held; /* of connect; or NULL */
	bool failed;
};

/* Words after the verb: "name=value" options, and the rest in order. */
struct words {
	char **all;
	int count;
};

/* ---- scenario.c: reading words, what failed ---- */

void sc_fail(struct scenario *scenario, const char *what);
uint32_t sc_number(const struct words *words, const char *name,
		   uint32_t fallback);
const char *sc_option(const struct words *words, const char *name,
		      const char *fallback);
const char *sc_word(const struct words *words, int index);

/* ---- scenario_fleet.c ---- */

struct fleet_host *sc_host_of(struct scenario *scenario,
			      const struct words *words);
void sc_verb_fault(struct scenario *scenario, const struct words *words);
void sc_verb_fault_domain(struct scenario *scenario, const struct words *words);
void sc_verb_fleet(struct scenario *scenario, const struct words *words);
void sc_verb_kill(struct scenario *scenario, const struct words *words);
void sc_verb_kill_readers(struct scenario *scenario, const struct words *words);
void sc_verb_list(struct scenario *scenario, const struct words *words);
void sc_verb_pause(struct scenario *scenario, const struct words *words);
void sc_verb_ready(struct scenario *scenario, const struct words *words);
void sc_verb_resume(struct scenario *scenario, const struct words *words);
void sc_verb_roll(struct scenario *scenario, const struct words *words);
void sc_verb_standin(struct scenario *scenario, const struct words *words);
void sc_verb_start(struct scenario *scenario, const struct words *words);
void sc_verb_start_killed(struct scenario *scenario, const struct words *words);
void sc_verb_stop(struct scenario *scenario, const struct words *words);
void sc_verb_succeed(struct scenario *scenario, const struct words *words);
void sc_verb_term(struct scenario *scenario, const struct words *words);
void sc_verb_unlist(struct scenario *scenario, const struct words *words);

/* ---- scenario_cli.c ---- */

void sc_verb_apply(struct scenario *scenario, const struct words *words);
void sc_verb_cli(struct scenario *scenario, const struct words *words);
void sc_verb_cli_race(struct scenario *scenario, const struct words *words);
void sc_verb_cli_start(struct scenario *scenario, const struct words *words);
void sc_verb_cli_wait(struct scenario *scenario, const struct words *words);
void sc_verb_explain(struct scenario *scenario, const struct words *words);
void sc_verb_explain_refused(struct scenario *scenario,
			     const struct words *words);
void sc_verb_explain_slowest(struct scenario *scenario,
			     const struct words *words);
void sc_verb_linepierd(struct scenario *scenario, const struct words *words);
void sc_verb_revision(struct scenario *scenario, const struct words *words);
void sc_verb_metric(struct scenario *scenario, const struct words *words);
void sc_verb_wait_metric(struct scenario *scenario, const struct words *words);
void sc_verb_wait_model(struct scenario *scenario, const struct words *words);
void sc_verb_wait_revision(struct scenario *scenario,
			   const struct words *words);
void sc_verb_wait_superseded(struct scenario *scenario,
			     const struct words *words);
void sc_verb_wait_watching(struct scenario *scenario,
			   const struct words *words);

/* ---- scenario_call.c ---- */

struct fleet_reply sc_executions_of(struct scenario *scenario,
				    const char *service, const char *path);
void sc_verb_call(struct scenario *scenario, const struct words *words);
void sc_verb_connect(struct scenario *scenario, const struct words *words);
void sc_verb_executions(struct scenario *scenario, const struct words *words);
void sc_verb_hang_up(struct scenario *scenario, const struct words *words);
void sc_verb_read_later(struct scenario *scenario, const struct words *words);
void sc_verb_send_held(struct scenario *scenario, const struct words *words);
void sc_verb_send_raw(struct scenario *scenario, const struct words *words);
void sc_verb_ticket(struct scenario *scenario, const struct words *words);
void sc_verb_wait_closed(struct scenario *scenario, const struct words *words);

/* ---- scenario_load.c ---- */

void sc_verb_load(struct scenario *scenario, const struct words *words);
void sc_verb_load_at(struct scenario *scenario, const struct words *words);
void sc_verb_load_wait(struct scenario *scenario, const struct words *words);

#endif
