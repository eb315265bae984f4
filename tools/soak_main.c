/*
 * A soak of the real entry on the emulated platform: entries as processes,
 * faults from outside them, the promises checked from what callers and
 * upstreams see.
 *
 * Everything random comes from the seed. Prints what it did and what it saw;
 * exit 0 if no promise was broken.
 */
#include "base/lp_settings.h"
#include "tools/soak_private.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY_LIMIT_US (15 * LP_US_PER_S)
#define ASK_EVERY_MS 20
/* Once the faults are over, to see what comes of what they left. */
#define ASKS_AFTER_FAULTS 40
/* Of the upstreams of a service, this one is in the other domain. */
#define UPSTREAMS_EACH 3
#define FAULT_EVERY_MS 700
/* Ports of one soak: callers, the balancer, peers' TCP, a spare one each. */
#define PORTS_EACH 4
#define FIRST_PORT 22000
#define PORT_SPAN 4000
#define LOGS_MODE 0755
#define LOG_MODE 0644

#define FIELD(name) offsetof(struct soak_settings, name)
static const struct lp_setting table[] = {
	{ "daemon", LP_SETTING_STRING, FIELD(daemon),
	  "build/linepier-platformd", 0, 0, NULL, "the program under test" },
	{ "seed", LP_SETTING_INT, FIELD(seed), "1", 0, G_MAXINT32, NULL,
	  "of everything random" },
	{ "requests", LP_SETTING_INT, FIELD(requests), "300", 1, 1000000, NULL,
	  "callers' requests" },
	{ "faults", LP_SETTING_BOOL, FIELD(faults), "yes", 0, 0, NULL,
	  "inject faults" },
	{ "poison", LP_SETTING_BOOL, FIELD(poison), "no", 0, 0, NULL,
	  "some requests end the upstreams that begin them" },
	{ "suspend", LP_SETTING_BOOL, FIELD(suspend), "no", 0, 0, NULL,
	  "suspend hosts; their clocks stand still by what env loads" },
	{ "evacuate", LP_SETTING_BOOL, FIELD(evacuate), "no", 0, 0, NULL,
	  "close failure domains to new work, and open them again" },
	{ "notices", LP_SETTING_BOOL, FIELD(notices), "no", 0, 0, NULL,
	  "upstreams say in their answers what they take" },
	{ "balancer", LP_SETTING_BOOL, FIELD(balancer), "no", 0, 0, NULL,
	  "callers go where a balancer sends them, which may stand still" },
	{ "cut", LP_SETTING_BOOL, FIELD(cut), "no", 0, 0, NULL,
	  "cut off one of three entries while upstreams leave; by what env "
	  "loads" },
	{ "release", LP_SETTING_BOOL, FIELD(release), "no", 0, 0, NULL,
	  "release software versions of engines; callers resume streams" },
	{ "slow", LP_SETTING_BOOL, FIELD(slow), "no", 0, 0, NULL,
	  "callers and upstreams that read slowly, and large answers" },
	{ "endless", LP_SETTING_BOOL, FIELD(endless), "no", 0, 0, NULL,
	  "upstreams whose answers do not end, and a limit of memory" },
	{ "pauses", LP_SETTING_BOOL, FIELD(pauses), "no", 0, 0, NULL,
	  "sound upstreams that pause; without faults, beside planned ends" },
	{ "restores", LP_SETTING_BOOL, FIELD(restores), "no", 0, 0, NULL,
	  "a key-value service that goes back to a copy" },
	{ "env", LP_SETTING_STRING, FIELD(env), "", 0, 0, NULL,
	  "NAME=VALUE,... for the program under test" },
	{ "logs", LP_SETTING_STRING, FIELD(logs), "", 0, 0, NULL,
	  "folder for what the entries print; empty: nowhere" },
};

void soak_breach(struct soak *soak, const char *id, const char *what)
{
	soak->breaches++;
	printf("broken: %s: %s\n", id, what);
}

/* ---- entries ---- */

static void write_settings(struct soak *soak, struct entry *entry)
{
	int first = FIRST_PORT + (int)(soak->settings.seed * ENTRIES *
				       PORTS_EACH % PORT_SPAN);
	int base = first + (int)entry->number * PORTS_EACH;
	bool spends_budget = soak_pauses_spend_budget(soak->pauses);
	g_autofree char *memory = NULL;
	g_autofree char *text = NULL;

	if (soak->settings.endless)
		memory = g_strdup_printf("limits.memory_mb=%d\n",
					 SOAK_ENDLESS_MEMORY_MB);
	entry->settings = g_strdup_printf("%s/entry-%u.conf", soak->folder,
					  entry->number);
	entry->callers = g_strdup_printf("127.0.0.1:%d", base);
	entry->ready = g_strdup_printf("127.0.0.1:%d", base + 1);
	text = g_strdup_printf(
		"node_name=entry-%u\nzone=a\nip=127.0.0.%u\n"
		"listen.front=%s\nlisten.ready=%s\n"
		"listen.control=127.0.0.%u:%d\nport_range=%d,%d\n"
		"seeds=127.0.0.1:1,127.0.0.2:1\nplatform.address=%s\n"
		"bounds.grace_s=%d\nbounds.retry_ratio=%s\n"
		"bounds.retry_slack=%d\n%s",
		entry->number, entry->number + 1, entry->callers, entry->ready,
		entry->number + 1, first + 2, first + 3, first + 3,
		pe_store_address(soak->platform), (int)(GRACE_US / LP_US_PER_S),
		spends_budget ? "0" : "0.2", spends_budget ? 0 : 40,
		memory ? memory : "");
	g_file_set_contents(entry->settings, text, -1, NULL);
}

/* g_strfreev(). */
static char **write_env(const struct soak *soak, const struct entry *entry)
{
	g_auto(GStrv) more = g_strsplit(soak->settings.env, ",", -1);
	char **env = g_environ_setenv(g_get_environ(), "LINEPIER_BOOT",
				      entry->settings, TRUE);

	for (char **at = more; *at; at++) {
		g_auto(GStrv) pair = g_strsplit(*at, "=", 2);

		if (pair[0] && pair[1])
			env = g_environ_setenv(env, pair[0], pair[1], TRUE);
	}
	if (soak->suspend)
		env = g_environ_setenv(
			env, "LP_SUSPENDED",
			soak_suspend_path(soak->suspend, entry->number), TRUE);
	if (soak->cut)
		env = g_environ_setenv(env, "LP_CUT",
				       soak_cut_path(soak->cut, entry->number),
				       TRUE);
	return env;
}

/* It has stood still since then, and goes on now. */
static void note_resumed(struct entry *entry, int64_t stopped_us)
{
	const struct pause pause = { stopped_us, g_get_monotonic_time() };

	entry->stopped_us = pause.from_us;
	entry->resumed_us = pause.to_us;
	g_array_append_val(entry->pauses, pause);
}

static void resume(struct entry *entry)
{
	kill(entry->pid, SIGCONT);
	entry->paused = false;
	note_resumed(entry, entry->stopped_us);
}

/* Of this and its earlier lives; close(). */
static int open_log(const struct soak *soak, const struct entry *entry)
{
	g_autofree char *path = NULL;

	if (!*soak->settings.logs)
		return open("/dev/null", O_WRONLY | O_CLOEXEC);
	g_mkdir_with_parents(soak->settings.logs, LOGS_MODE);
	path = g_strdup_printf("%s/entry-%u.log", soak->settings.logs,
			       entry->number);
	return open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LOG_MODE);
}

static void start_entry(struct soak *soak, struct entry *entry)
{
	char *argv[] = { soak->settings.daemon, NULL };
	g_auto(GStrv) env = write_env(soak, entry);
	g_autoptr(GError) gerror = NULL;
	int log = open_log(soak, entry);

	entry->leaving = false;
	entry->paused = false;
	entry->stops++;
	note_resumed(entry, g_get_monotonic_time());
	if (!g_spawn_async_with_fds(NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD,
				    NULL, NULL, &entry->pid, -1, log, -1,
				    &gerror)) {
		fprintf(stderr, "%s: %s\n", argv[0], gerror->message);
		exit(2);
	}
	close(log);
}

static void end_entry(struct entry *entry, int signal_number)
{
	if (!entry->pid)
		return;
	if (entry->paused)
		kill(entry->pid, SIGCONT);
	kill(entry->pid, signal_number);
	waitpid(entry->pid, NULL, 0);
	entry->pid = 0;
}

static bool is_ready(const struct entry *entry)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) conn = g_socket_client_connect_to_host(
		client, entry->ready, 0, NULL, NULL);
	static const char question[] =
		"GET /linepier/readiness HTTP/1.1\r\nHost: b\r\n\r\n";
	char answer[64] = { 0 };

	if (!conn)
		return false;
	g_output_stream_write(g_io_stream_get_output_stream(G_IO_STREAM(conn)),
			      question, sizeof(question) - 1, NULL, NULL);
	g_socket_condition_timed_wait(g_socket_connection_get_socket(conn),
				      G_IO_IN, 200000, NULL, NULL);
	g_socket_set_blocking(g_socket_connection_get_socket(conn), FALSE);
	g_input_stream_read(g_io_stream_get_input_stream(G_IO_STREAM(conn)),
			    answer, sizeof(answer) - 1, NULL, NULL);
	return g_str_has_prefix(answer, "HTTP/1.1 200");
}

static bool wait_ready(struct soak *soak)
{
	int64_t end_us = g_get_monotonic_time() + READY_LIMIT_US;

	for (uint32_t i = 0; i < soak->count;) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		if (is_ready(&soak->entries[i]))
			i++;
		else if (g_get_monotonic_time() > end_us)
			return false;
	}
	return true;
}

/* ---- faults ---- */

static void add_upstreams(struct soak *soak)
{
	static const struct {
		enum pe_kind kind;
		const char *service;
	} rows[] = {
		{ PE_PLAIN, "plain" },
		{ PE_ENGINE, "engine" },
		{ PE_STAGE, "first" },
		{ PE_STAGE, "second" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows) * UPSTREAMS_EACH; i++) {
		bool elsewhere = soak->settings.evacuate &&
				 i % UPSTREAMS_EACH == UPSTREAMS_EACH - 1;

		g_ptr_array_add(
			soak->upstreams,
			pe_add(soak->platform, rows[i / UPSTREAMS_EACH].kind,
			       rows[i / UPSTREAMS_EACH].service,
			       elsewhere ? SOAK_OTHER_DOMAIN : SOAK_DOMAIN));
	}
}

static void fault_entry(struct soak *soak, uint32_t what)
{
	struct entry *entry = &soak->entries[g_rand_int_range(
		soak->random, 0, (gint32)soak->count)];

	soak_poison_excuse(soak->poison);
	soak_release_entry_disturbed(soak->release);
	pe_excuse_entry(soak->platform);
	/* It goes on first, whatever it is to be told. */
	if (soak_suspend_holds(soak->suspend, entry->number))
		soak_suspend_end(soak->suspend);
	if (entry->paused) {
		resume(entry);
	} else if (what == 0) {
		kill(entry->pid, SIGSTOP);
		entry->paused = true;
		entry->stops++;
		entry->stopped_us = g_get_monotonic_time();
	} else if (what == 1) {
		end_entry(entry, SIGKILL);
		start_entry(soak, entry);
	} else if (entry->leaving) {
		end_entry(entry, SIGKILL);
		start_entry(soak, entry);
	} else {
		kill(entry->pid, SIGTERM);
		entry->leaving = true;
		entry->term_us = g_get_monotonic_time();
		soak_balancer_entry_leaves(soak->balancer);
	}
}

/* Answers of other requests are drawn more often: few upstreams can give any,
 * and a swap must not stay unseen. */
static enum pe_fault draw_fault(struct soak *soak, uint32_t dice)
{
	if (dice < 6)
		return PE_FAULT_NONE;
	if (dice == 9)
		return PE_FAULT_FOREIGN;
	return (enum pe_fault)g_rand_int_range(soak->random, PE_FAULT_FULL,
					       PE_FAULT_FORGET + 1);
}

/* An entry that ended without being told to is a fault of its own. */
static void look_for_ended(struct soak *soak)
{
	for (uint32_t i = 0; i < soak->count; i++) {
		struct entry *entry = &soak->entries[i];

		if (entry->leaving || waitpid(entry->pid, NULL, WNOHANG) <= 0)
			continue;
		soak_breach(soak, entry->settings, "an entry ended by itself");
		start_entry(soak, entry);
	}
}

static void check_memory(struct soak *soak)
{
	for (uint32_t i = 0; i < soak->count; i++) {
		const struct entry *entry = &soak->entries[i];

		if (entry->pid &&
		    soak_endless_exceeds(soak->endless, entry->pid))
			soak_breach(soak, entry->settings,
				    "an entry exceeds its memory limit");
	}
}

static gboolean on_fault_timer(gpointer userdata)
{
	struct soak *soak = userdata;
	uint32_t dice = (uint32_t)g_rand_int_range(soak->random, 0, 10);
	guint which = (guint)g_rand_int_range(soak->random, 0,
					      (gint32)soak->upstreams->len);

	soak->faults++;
	look_for_ended(soak);
	check_memory(soak);
	soak_endless_disturb(soak->endless);
	soak_config_disturb(soak->config);
	soak_writer_disturb(soak->writer);
	soak_suspend_disturb(soak->suspend);
	soak_evacuation_disturb(soak->evacuation);
	soak_notices_disturb(soak->notices);
	soak_release_disturb(soak->release);
	soak_restore_disturb(soak->restore);
	if (dice < 3)
		fault_entry(soak, dice);
	else if (dice == 3)
		pe_store_fault(soak->platform,
			       (enum pe_store_fault)g_rand_int_range(
				       soak->random, PE_STORE_FINE,
				       PE_STORE_DEAF_WATCHES + 1));
	else
		pe_fault(g_ptr_array_index(soak->upstreams, which),
			 draw_fault(soak, dice));
	return G_SOURCE_CONTINUE;
}

/* ---- the run ---- */

static void on_breach(void *userdata, const char *id, const char *what)
{
	soak_breach(userdata, id, what);
}

static void start_config(struct soak *soak)
{
	soak->config = soak_config_create(&(struct soak_config_options){
		.platform = soak->platform,
		.seed = (uint32_t)soak->settings.seed,
		.entries = soak->addresses,
		.is_patient = soak->settings.slow,
		.breach = on_breach,
		.userdata = soak,
	});
}

static void on_rewrite(void *userdata)
{
	struct soak *soak = userdata;

	soak_config_write_again(soak->config);
	soak_evacuation_write_again(soak->evacuation);
}

static void start_restore(struct soak *soak)
{
	if (soak->settings.restores)
		soak->restore =
			soak_restore_create(&(struct soak_restore_options){
				.platform = soak->platform,
				.seed = (uint32_t)soak->settings.seed,
				.upstreams = soak->upstreams,
				.rewrite = on_rewrite,
				.userdata = soak,
			});
}

static void start_writer(struct soak *soak)
{
	soak->writer = soak_writer_create(&(struct soak_writer_options){
		.platform = soak->platform,
		.upstreams = soak->upstreams,
		.seed = (uint32_t)soak->settings.seed,
		.breach = on_breach,
		.userdata = soak,
	});
}

static void start_poison(struct soak *soak)
{
	if (!soak->settings.poison)
		return;
	soak->poison = soak_poison_create(&(struct soak_poison_options){
		.platform = soak->platform,
		.seed = (uint32_t)soak->settings.seed,
		.breach = on_breach,
		.userdata = soak,
	});
}

/* Those that are paused or leave are left alone. */
static GPid running_pid(void *userdata, uint32_t number)
{
	const struct soak *soak = userdata;
	const struct entry *entry = &soak->entries[number];

	return entry->paused || entry->leaving ? 0 : entry->pid;
}

static void on_resumed(void *userdata, uint32_t number, int64_t stopped_us)
{
	struct soak *soak = userdata;

	soak->entries[number].stops++;
	note_resumed(&soak->entries[number], stopped_us);
	soak_poison_excuse(soak->poison);
	pe_excuse_entry(soak->platform);
}

static void start_suspend(struct soak *soak)
{
	if (!soak->settings.suspend)
		return;
	soak->suspend = soak_suspend_create(&(struct soak_suspend_options){
		.folder = soak->folder,
		.entries = soak->count,
		.seed = (uint32_t)soak->settings.seed,
		.pid = running_pid,
		.resumed = on_resumed,
		.userdata = soak,
	});
}

static void ask_after_faults(void *userdata)
{
	struct soak *soak = userdata;

	soak->settings.requests += ASKS_AFTER_FAULTS;
	g_timeout_add(ASK_EVERY_MS, soak_callers_on_timer, soak);
	g_main_loop_run(soak->loop);
}

static void start_evacuation(struct soak *soak)
{
	if (!soak->settings.evacuate)
		return;
	soak->evacuation =
		soak_evacuation_create(&(struct soak_evacuation_options){
			.platform = soak->platform,
			.upstreams = soak->upstreams,
			.seed = (uint32_t)soak->settings.seed,
			.ask = ask_after_faults,
			.breach = on_breach,
			.userdata = soak,
		});
}

static void start_notices(struct soak *soak)
{
	if (!soak->settings.notices)
		return;
	soak->notices = soak_notices_create(&(struct soak_notices_options){
		.platform = soak->platform,
		.upstreams = soak->upstreams,
		.seed = (uint32_t)soak->settings.seed,
		.entries = soak->count,
		.ask = ask_after_faults,
		.breach = on_breach,
		.userdata = soak,
	});
}

static void start_balancer(struct soak *soak)
{
	if (!soak->settings.balancer)
		return;
	soak->balancer = soak_balancer_create(&(struct soak_balancer_options){
		.ready = soak->ready,
		.entries = soak->count,
		.seed = (uint32_t)soak->settings.seed,
	});
}

static void start_release(struct soak *soak)
{
	if (!soak->settings.release)
		return;
	soak->release = soak_release_create(&(struct soak_release_options){
		.platform = soak->platform,
		.upstreams = soak->upstreams,
		.seed = (uint32_t)soak->settings.seed,
		.breach = on_breach,
		.userdata = soak,
	});
}

static void start_slow(struct soak *soak)
{
	if (!soak->settings.slow)
		return;
	soak->slow = soak_slow_create(&(struct soak_slow_options){
		.upstreams = soak->upstreams,
		.seed = (uint32_t)soak->settings.seed,
		.has_faults = soak->settings.faults,
		.breach = on_breach,
		.userdata = soak,
	});
}

/* One that leaves is started again once it has ended by itself. */
static void toggle_entry(void *userdata, uint32_t number)
{
	struct soak *soak = userdata;
	struct entry *entry = &soak->entries[number];

	if (!entry->leaving) {
		kill(entry->pid, SIGTERM);
		entry->leaving = true;
		entry->term_us = g_get_monotonic_time();
	} else if (waitpid(entry->pid, NULL, WNOHANG) > 0) {
		start_entry(soak, entry);
	}
}

static void start_pauses(struct soak *soak)
{
	if (!soak->settings.pauses)
		return;
	soak->pauses = soak_pauses_create(&(struct soak_pauses_options){
		.upstreams = soak->upstreams,
		.seed = (uint32_t)soak->settings.seed,
		.toggle_entry = toggle_entry,
		.entries = soak->count,
		.has_faults = soak->settings.faults,
		.breach = on_breach,
		.userdata = soak,
	});
}

static void start_cut(struct soak *soak)
{
	if (!soak->settings.cut)
		return;
	soak->cut = soak_cut_create(&(struct soak_cut_options){
		.platform = soak->platform,
		.upstreams = soak->upstreams,
		.folder = soak->folder,
		.seed = (uint32_t)soak->settings.seed,
		.breach = on_breach,
		.userdata = soak,
	});
}

static void start(struct soak *soak)
{
	soak->count = soak->settings.cut ? ENTRIES_CUT : ENTRIES;
	soak->random = g_rand_new_with_seed((guint32)soak->settings.seed);
	soak->folder = g_dir_make_tmp("linepier-soak-XXXXXX", NULL);
	soak->platform = pe_create();
	soak->upstreams = g_ptr_array_new();
	soak->loop = g_main_loop_new(NULL, FALSE);
	start_config(soak);
	add_upstreams(soak);
	start_writer(soak);
	start_poison(soak);
	start_suspend(soak);
	start_evacuation(soak);
	start_notices(soak);
	start_cut(soak);
	start_release(soak);
	start_slow(soak);
	start_pauses(soak);
	start_restore(soak);
	if (soak->settings.endless)
		soak->endless =
			soak_endless_create(&(struct soak_endless_options){
				.seed = (uint32_t)soak->settings.seed,
				.upstreams = soak->upstreams,
			});
	for (uint32_t i = 0; i < soak->count; i++) {
		soak->entries[i].number = i;
		soak->entries[i].pauses =
			g_array_new(FALSE, FALSE, sizeof(struct pause));
		write_settings(soak, &soak->entries[i]);
		soak->addresses[i] = soak->entries[i].callers;
		soak->ready[i] = soak->entries[i].ready;
		start_entry(soak, &soak->entries[i]);
	}
	start_balancer(soak);
}

static void stop(struct soak *soak)
{
	soak_balancer_destroy(soak->balancer);
	for (uint32_t i = 0; i < soak->count; i++) {
		struct entry *entry = &soak->entries[i];

		end_entry(entry, SIGKILL);
		g_unlink(entry->settings);
		g_array_unref(entry->pauses);
		g_free(entry->settings);
		g_free(entry->callers);
		g_free(entry->ready);
	}
	soak_suspend_destroy(soak->suspend);
	soak_cut_destroy(soak->cut);
	soak_release_destroy(soak->release);
	soak_slow_destroy(soak->slow);
	soak_endless_destroy(soak->endless);
	soak_pauses_destroy(soak->pauses);
	soak_restore_destroy(soak->restore);
	g_rmdir(soak->folder);
	g_free(soak->folder);
	g_ptr_array_unref(soak->upstreams);
	soak_config_destroy(soak->config);
	soak_writer_destroy(soak->writer);
	soak_poison_destroy(soak->poison);
	soak_evacuation_destroy(soak->evacuation);
	soak_notices_destroy(soak->notices);
	pe_destroy(soak->platform);
	g_main_loop_unref(soak->loop);
	g_rand_free(soak->random);
}

/* All faults but those of the link are over; entries that leave are replaced.
 */
static void end_faults(struct soak *soak)
{
	pe_store_fault(soak->platform, PE_STORE_FINE);
	soak_suspend_end(soak->suspend);
	for (guint i = 0; i < soak->upstreams->len; i++)
		pe_fault(g_ptr_array_index(soak->upstreams, i), PE_FAULT_NONE);
	for (uint32_t i = 0; i < soak->count; i++) {
		struct entry *entry = &soak->entries[i];

		if (entry->paused)
			resume(entry);
		if (!entry->leaving)
			continue;
		end_entry(entry, SIGKILL);
		start_entry(soak, entry);
	}
}

static void report(struct soak *soak)
{
	const GPtrArray *breaches = pe_breaches(soak->platform);

	for (guint i = 0; i < breaches->len; i++)
		soak_breach(soak, "upstream", g_ptr_array_index(breaches, i));
	if (soak->balancer)
		printf("the balancer stood still %u times\n",
		       soak_balancer_pauses(soak->balancer));
	printf("seed %" G_GINT64_FORMAT
	       ": %u requests, %u answered, %u refused, %u failed or cut, "
	       "%u faults, %u promises broken\n",
	       (gint64)soak->settings.seed, soak->asked, soak->answered,
	       soak->refused, soak->failed, soak->faults, soak->breaches);
}

static int run(struct soak *soak)
{
	guint faults = 0;
	int status;

	setvbuf(stdout, NULL, _IOLBF, 0);
	start(soak);
	if (!wait_ready(soak)) {
		printf("the entries did not become ready\n");
		stop(soak);
		return 1;
	}
	g_timeout_add(ASK_EVERY_MS, soak_callers_on_timer, soak);
	soak_cut_begin(soak->cut);
	soak_pauses_begin(soak->pauses);
	if (soak->settings.faults)
		faults = g_timeout_add(FAULT_EVERY_MS, on_fault_timer, soak);
	g_main_loop_run(soak->loop);
	if (faults)
		g_source_remove(faults);
	soak_pauses_end(soak->pauses);
	soak_cut_settle(soak->cut);
	end_faults(soak);
	soak_restore_end(soak->restore);
	soak_notices_end(soak->notices);
	soak_writer_settle(soak->writer);
	soak_config_settle(soak->config);
	soak_poison_settle(soak->poison);
	soak_evacuation_settle(soak->evacuation);
	soak_release_settle(soak->release);
	soak_slow_settle(soak->slow);
	soak_pauses_settle(soak->pauses);
	/* With poison, requests that were lost with upstreams three times are
	 * kept out for a while, and reach none. */
	if (!soak->poison)
		soak_notices_settle(soak->notices);
	report(soak);
	status = soak->breaches ? 1 : 0;
	stop(soak);
	return status;
}

int main(int argc, const char **argv)
{
	struct soak soak = { 0 };
	struct lp_settings_rest rest = { 0 };
	int status = 2;

	signal(SIGPIPE, SIG_IGN);
	lp_settings_load(table, G_N_ELEMENTS(table), &soak.settings, argc, argv,
			 "[OPTION...]", &rest);
	if (rest.errors->len)
		lp_settings_print_errors(&rest);
	else
		status = run(&soak);
	lp_settings_clear(table, G_N_ELEMENTS(table), &soak.settings, &rest);
	return status;
}
