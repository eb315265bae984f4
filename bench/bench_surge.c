/*
 * surge: load beyond the capacity of the stages. Three linepier-platformd
 * processes before the emulated platform; open loop; callers have a deadline
 * and retry once, at another entry.
 */
#include "bench/bench.h"
#include "http/http_client.h"
#include "tools/pe.h"
#include "tools/pe_caller.h"

#include <fcntl.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#define ENTRIES 3
/* Ports by process id, so that measurements in two checkouts do not meet. */
#define FIRST_PORT 27000
#define PORT_BLOCKS 300
#define PORTS_EACH 10
#define READY_LIMIT_US (15 * LP_US_PER_S)
/* Members discover each other, dispatchers are chosen. */
#define SETTLE_US (1500 * LP_US_PER_MS)
#define TICK_MS 2
#define RESULT_TTL_MS 4000
#define ENGINES 6
#define ENGINE_WORK_MS 60
#define STAGE_UPSTREAMS 3
/* Service "third" has the least capacity: 3 upstreams at 46 pieces in 0.279 s,
 * and 0.25 x 8 + 0.75 x 4 pieces per request. "second" can do 109 per second,
 * "first" 115. */
#define CAPACITY_PER_S 99.0
/* Load before the measured time of a point and after a burst; stages run at
 * half of their capacity in calm seconds. */
#define LEAD_S 1.5
#define TAIL_S 3.0
#define CALM_LOAD 0.5
#define STEADY_S 6.0
#define LATE_WORTH 0.15
/* A caller waits for a retry at most this part of the time it has left. */
#define WAIT_DIVISOR 3
/* A failure this close to the deadline counts as one at the deadline. */
#define DEADLINE_SLACK_US (100 * LP_US_PER_MS)
#define KEEP_TARGET 0.95
#define SLOT_TARGET 0.9

#define CONFIG_FILE "bench/surge.json"

/* Stage services and classes of the configuration file. Calls cost what they do
 * in docs/design/overload.md; the memory of "second" is full when its results
 * wait for "third". */
static const struct {
	const char *name;
	struct pe_stage_cost cost;
} services[] = {
	{ "first", { 150, 16, 500000, 39000000, RESULT_TTL_MS } },
	{ "second", { 150, 4.6, 50000, 4900000, RESULT_TTL_MS } },
	{ "third", { 150, 2.8, 8000, 820000, RESULT_TTL_MS } },
};

static const struct caller_class {
	const char *name;
	const char *target;
	const char *pieces;
	double share;
	double worth;
	int64_t target_us;
	int64_t deadline_us;
} classes[] = {
	{ "urgent", "/urgent/x", "2,8", 0.25, 2, 1200000, 4000000 },
	{ "patient", "/patient/x", "1,3,4", 0.75, 1, 2000000, 5000000 },
};

static const struct shape {
	const char *name;
	double burst_s; /* 0: steady */
	const char *color;
} shapes[] = {
	{ "steady", 0, "blue" },
	{ "burst-3s", 3, "red" },
	{ "burst-6s", 6, "green" },
};
static const double loads[] = { 1.0, 1.5, 2.0, 3.0 };

#define CLASSES G_N_ELEMENTS(classes)
#define SHAPES G_N_ELEMENTS(shapes)
#define LOADS G_N_ELEMENTS(loads)

enum outcome { ON_TIME, LATE, REFUSED, AT_DEADLINE, FAILED, OUTCOMES };

/* Requests due within the measured time, over all seeds. */
struct point {
	uint32_t outcomes[CLASSES + 1][OUTCOMES]; /* the last: of all */
	uint32_t held;	      /* beyond the target, and ended unserved */
	uint32_t returned[2]; /* callers that retried; that were served */
	uint32_t waited[2];   /* of them, after the whole Retry-After */
	double goodput;
};

struct surge {
	const struct bench_settings *settings;
	struct pe *platform;
	GPid pids[ENTRIES];
	char *callers[ENTRIES];
	char *ready[ENTRIES];
	struct point points[SHAPES][LOADS];
	/* the point being measured */
	struct point *point;
	const struct shape *shape;
	double load;
	GRand *random;
	int64_t next_us;     /* when the next request is due */
	int64_t measured_us; /* measured from then ... */
	int64_t end_us;	     /* ... until then */
	uint32_t serial;
	uint32_t open;
};

struct call {
	struct surge *surge;
	const struct caller_class *class;
	uint32_t number;
	uint32_t attempt;
	int64_t due_us;
	int64_t sent_us;  /* this attempt */
	int64_t held_us;  /* in attempts that are over */
	int64_t first_us; /* first event; 0: none */
	bool waited;	  /* the whole Retry-After */
	uint32_t status;
	double retry_after_s; /* negative: none */
	struct http_exchange *exchange;
	guint deadline_timer;
	guint retry_timer;
};

static int64_t now_us(void)
{
	return g_get_monotonic_time();
}

/* ---- platform and entries ---- */

static void add_upstreams(struct pe *platform)
{
	for (int i = 0; i < ENGINES; i++)
		pe_set_work_ms(pe_add(platform, PE_ENGINE, "engine", "a"),
			       ENGINE_WORK_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		for (int j = 0; j < STAGE_UPSTREAMS; j++)
			pe_set_stage_cost(pe_add(platform, PE_STAGE,
						 services[i].name, "a"),
					  &services[i].cost);
}

static void start_entry(struct surge *surge, int number)
{
	const char *logs = surge->settings->logs;
	int port = FIRST_PORT + getpid() % PORT_BLOCKS * PORTS_EACH;
	int own = port + 2 * (number + 1);
	g_autofree char *path =
		g_strdup_printf("%s/surge-entry-%d.conf", logs, number);
	g_autofree char *log =
		g_strdup_printf("%s/surge-entry-%d.log", logs, number);
	g_autofree char *program = g_strdup_printf("%s/linepier-platformd",
						   surge->settings->build);
	char *argv[] = { program, NULL };
	g_auto(GStrv) env =
		g_environ_setenv(g_get_environ(), "LINEPIER_BOOT", path, TRUE);
	g_autofree char *text = g_strdup_printf(
		"node_name=entry-%d\nzone=a\nip=127.0.0.%d\n"
		"listen.front=127.0.0.1:%d\nlisten.ready=127.0.0.1:%d\n"
		"listen.control=127.0.0.%d:%d\nport_range=%d,%d\n"
		"seeds=127.0.0.1:1,127.0.0.2:1\nplatform.address=%s\n",
		number, number + 1, own, own + 1, number + 1, port, port + 1,
		port + 1, pe_store_address(surge->platform));
	int fd;

	surge->callers[number] = g_strdup_printf("127.0.0.1:%d", own);
	surge->ready[number] = g_strdup_printf(
		"http://127.0.0.1:%d/linepier/readiness", own + 1);
	g_mkdir_with_parents(logs, 0755);
	g_file_set_contents(path, text, -1, NULL);
	fd = open(log, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
	g_spawn_async_with_fds(NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD, NULL,
			       NULL, &surge->pids[number], -1, fd, -1, NULL);
	close(fd);
}

static bool is_ready(const char *url)
{
	struct fleet_reply reply =
		fleet_http("GET", url, NULL, NULL, LP_US_PER_S);

	g_free(reply.body);
	return reply.status == 200;
}

static bool start(struct surge *surge)
{
	int64_t end_us = now_us() + READY_LIMIT_US;
	g_autofree char *config = NULL;

	if (!g_file_get_contents(CONFIG_FILE, &config, NULL, NULL))
		return false;
	surge->platform = pe_create();
	pe_set_config(surge->platform, config);
	add_upstreams(surge->platform);
	for (int i = 0; i < ENTRIES; i++)
		start_entry(surge, i);
	for (int i = 0; i < ENTRIES; i++)
		while (!is_ready(surge->ready[i]))
			if (now_us() > end_us)
				return false;
	fleet_pause(SETTLE_US);
	return true;
}

static void stop(struct surge *surge)
{
	for (int i = 0; i < ENTRIES; i++) {
		if (surge->pids[i]) {
			kill(surge->pids[i], SIGKILL);
			waitpid(surge->pids[i], NULL, 0);
		}
		g_free(surge->callers[i]);
		g_free(surge->ready[i]);
	}
	if (surge->platform)
		pe_destroy(surge->platform);
}

/* ---- callers ---- */

static void count(const struct call *call, enum outcome outcome)
{
	const struct surge *surge = call->surge;
	struct point *point = surge->point;
	bool served = outcome == ON_TIME || outcome == LATE;

	/* Goodput is what is answered within the measured time; a backlog that
	 * is served after it does not add to the rate. */
	if (served && now_us() >= surge->measured_us &&
	    now_us() < surge->end_us)
		point->goodput += call->class->worth *
				  (outcome == ON_TIME ? 1 : LATE_WORTH);
	if (call->due_us < surge->measured_us)
		return;
	point->outcomes[call->class - classes][outcome]++;
	point->outcomes[CLASSES][outcome]++;
	point->held += !served && call->held_us > call->class->target_us;
	point->returned[0] += call->attempt > 0;
	point->returned[1] += call->attempt > 0 && served;
	point->waited[0] += call->attempt > 0 && call->waited;
	point->waited[1] += call->attempt > 0 && call->waited && served;
}

static void end_call(struct call *call, enum outcome outcome)
{
	count(call, outcome);
	call->surge->open--;
	if (call->deadline_timer)
		g_source_remove(call->deadline_timer);
	if (call->retry_timer)
		g_source_remove(call->retry_timer);
	g_free(call);
}

static int64_t left_us(const struct call *call)
{
	return call->due_us + call->class->deadline_us - now_us();
}

static enum outcome judge(const struct call *call, int error)
{
	if (!error && call->status == 200 && call->first_us)
		return call->first_us - call->due_us <= call->class->target_us
			       ? ON_TIME
			       : LATE;
	if (left_us(call) < DEADLINE_SLACK_US)
		return AT_DEADLINE;
	return !error && (call->status == 503 || call->status == 429 ||
			  call->status == 408 || call->status == 421)
		       ? REFUSED
		       : FAILED;
}

static void on_head(void *userdata, uint32_t status,
		    const struct http_fields *fields)
{
	struct call *call = userdata;
	const char *wait = http_fields_get(fields, "Retry-After");

	call->status = status;
	call->retry_after_s = wait ? g_ascii_strtod(wait, NULL) : -1;
}

static void on_body(void *userdata, const char *bytes, size_t size)
{
	struct call *call = userdata;

	if (call->status == 200 && !call->first_us)
		call->first_us = now_us();
}

static gboolean on_retry(gpointer userdata);

static void on_done(void *userdata, int error, bool sent)
{
	struct call *call = userdata;
	enum outcome outcome = judge(call, error);
	int64_t asked_us = (int64_t)(call->retry_after_s * LP_US_PER_S);
	int64_t most_us = left_us(call) / WAIT_DIVISOR;

	call->exchange = NULL;
	call->held_us += now_us() - call->sent_us;
	if (outcome != REFUSED || call->attempt || asked_us < 0) {
		end_call(call, outcome);
		return;
	}
	call->waited = asked_us <= most_us;
	call->retry_timer = g_timeout_add(
		(guint)(MIN(asked_us, most_us) / LP_US_PER_MS) + 1, on_retry,
		call);
}

static void send_attempt(struct call *call)
{
	static const struct http_exchange_events events = { on_head, on_body,
							    on_done };
	uint32_t entry = (call->number + call->attempt) % ENTRIES;
	g_autofree char *id =
		g_strdup_printf("r%u-%u", call->number, call->attempt);
	struct http_fields fields;

	call->sent_us = now_us();
	call->status = 0;
	http_fields_init(&fields);
	pe_caller_write(
		&(struct pe_caller_request){
			.attempt = id,
			.key = "key",
			.timeout_ms = MAX(left_us(call) / LP_US_PER_MS, 1),
			.tokens = "100,6",
			.pieces = call->class->pieces,
			.piece_key = id,
		},
		&fields);
	call->exchange = http_exchange_start(&(struct http_exchange_options){
		.address = call->surge->callers[entry],
		.method = "POST",
		.target = call->class->target,
		.fields = &fields,
		.has_body = true,
		.connect_timeout_us = LP_US_PER_S,
		.events = &events,
		.userdata = call,
	});
	http_fields_clear(&fields);
	if (!call->exchange)
		end_call(call, FAILED);
}

static gboolean on_retry(gpointer userdata)
{
	struct call *call = userdata;

	call->retry_timer = 0;
	call->attempt++;
	send_attempt(call);
	return G_SOURCE_REMOVE;
}

static gboolean on_deadline(gpointer userdata)
{
	struct call *call = userdata;

	call->deadline_timer = 0;
	if (call->exchange) {
		http_exchange_cancel(call->exchange);
		call->held_us += now_us() - call->sent_us;
	}
	end_call(call, AT_DEADLINE);
	return G_SOURCE_REMOVE;
}

static void start_call(struct surge *surge, int64_t due_us)
{
	struct call *call = g_new0(struct call, 1);
	bool is_urgent = g_rand_double(surge->random) < classes[0].share;

	call->surge = surge;
	call->class = &classes[is_urgent ? 0 : 1];
	call->number = ++surge->serial;
	call->due_us = due_us;
	call->deadline_timer =
		g_timeout_add((guint)(MAX(left_us(call), 0) / LP_US_PER_MS),
			      on_deadline, call);
	surge->open++;
	send_attempt(call);
}

/* ---- one point ---- */

static double rate_per_us(const struct surge *surge, int64_t at_us)
{
	double s = (double)(at_us - surge->measured_us) / LP_US_PER_S;
	double burst_s = surge->shape->burst_s;
	bool is_calm = burst_s > 0 && (s < 0 || s >= burst_s);

	return CAPACITY_PER_S / LP_US_PER_S *
	       (is_calm ? CALM_LOAD : surge->load);
}

/* Arrivals of a Poisson process; they wait for nothing. */
static gboolean on_tick(gpointer userdata)
{
	struct surge *surge = userdata;

	while (surge->next_us <= MIN(now_us(), surge->end_us)) {
		start_call(surge, surge->next_us);
		surge->next_us +=
			(int64_t)(-log1p(-g_rand_double(surge->random)) /
				  rate_per_us(surge, surge->next_us));
	}
	return G_SOURCE_CONTINUE;
}

static void run_point(struct surge *surge, size_t shape, size_t load)
{
	double burst_s = shapes[shape].burst_s;
	double span_s = burst_s > 0 ? burst_s + TAIL_S : STEADY_S;
	guint tick = g_timeout_add(TICK_MS, on_tick, surge);

	surge->point = &surge->points[shape][load];
	surge->point->goodput *= span_s; /* a sum while it is measured */
	surge->shape = &shapes[shape];
	surge->load = loads[load];
	surge->next_us = now_us();
	surge->measured_us = surge->next_us + (int64_t)(LEAD_S * LP_US_PER_S);
	surge->end_us = surge->measured_us + (int64_t)(span_s * LP_US_PER_S);
	while (now_us() < surge->end_us || surge->open)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(tick);
	surge->point->goodput /= span_s;
}

/* ---- table, plot, targets ---- */

static double share(const uint32_t *part_of_two)
{
	return (double)part_of_two[1] / MAX(part_of_two[0], 1);
}

static void print_shares(double load, const char *name,
			 const uint32_t *outcomes)
{
	uint32_t of_two[2] = { 0 };

	for (int i = 0; i < OUTCOMES; i++)
		of_two[0] += outcomes[i];
	printf("%-9s %4.1f %7u", name, load, of_two[0]);
	for (int i = 0; i < OUTCOMES; i++) {
		of_two[1] = outcomes[i];
		printf(" %8.3f", share(of_two));
	}
}

static void print_point(const struct point *point, const char *shape,
			double load)
{
	print_shares(load, shape, point->outcomes[CLASSES]);
	printf(" %7.1f %5u %4u/%-4u %4u/%u\n", point->goodput, point->held,
	       point->returned[1], point->returned[0], point->waited[1],
	       point->waited[0]);
	for (size_t i = 0; i < CLASSES; i++) {
		print_shares(load, classes[i].name, point->outcomes[i]);
		printf("\n");
	}
}

#define PLOT_X(load) (60 + 170 * (load))
#define PLOT_Y(goodput) (340 - 280 * (goodput) / most)

static void write_plot(const struct surge *surge, const char *path)
{
	g_autoptr(GString) svg = g_string_new(
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"640\" "
		"height=\"400\" font-family=\"sans-serif\" font-size=\"12\">\n"
		"<rect width=\"640\" height=\"400\" fill=\"white\"/>\n"
		"<path d=\"M60 60V340H600\" fill=\"none\" stroke=\"black\"/>\n"
		"<text x=\"240\" y=\"380\">offered load; 1: capacity of the "
		"stages</text>\n"
		"<text x=\"20\" y=\"20\">worth served per second</text>\n");
	double most = 1;

	for (size_t i = 0; i < SHAPES * LOADS; i++)
		most = MAX(most, surge->points[i / LOADS][i % LOADS].goodput);
	for (size_t i = 0; i < LOADS; i++)
		g_string_append_printf(
			svg,
			"<text x=\"%.0f\" y=\"356\">%.1f</text>\n"
			"<text x=\"20\" y=\"%.0f\">%.0f</text>\n",
			PLOT_X(loads[i]) - 8, loads[i],
			PLOT_Y(most * (double)i / (LOADS - 1)),
			most * (double)i / (LOADS - 1));
	for (size_t i = 0; i < SHAPES; i++) {
		g_string_append_printf(
			svg,
			"<text x=\"%zu\" y=\"40\" fill=\"%s\">%s</text>\n"
			"<polyline fill=\"none\" stroke=\"%s\" points=\"",
			60 + 100 * i, shapes[i].color, shapes[i].name,
			shapes[i].color);
		for (size_t j = 0; j < LOADS; j++)
			g_string_append_printf(
				svg, "%.1f,%.1f ", PLOT_X(loads[j]),
				PLOT_Y(surge->points[i][j].goodput));
		g_string_append(svg, "\"/>\n");
	}
	g_string_append(svg, "</svg>\n");
	if (!g_file_set_contents(path, svg->str, -1, NULL))
		g_printerr("%s: cannot be written\n", path);
}

static bool print_target(const char *what, double value, bool is_met)
{
	printf("%s: %.3f, %s\n", what, value, is_met ? "met" : "MISSED");
	return is_met;
}

/* Returns whether all targets are met. */
static bool print_targets(const struct surge *surge)
{
	const struct point *steady = surge->points[0];
	double keep = steady[LOADS - 1].goodput / MAX(steady[0].goodput, 1e-9);
	double least = keep;
	struct point sum = { 0 };
	bool is_good;

	for (size_t i = 0; i < SHAPES * LOADS; i++) {
		const struct point *point =
			&surge->points[i / LOADS][i % LOADS];

		sum.held += point->held;
		for (int j = 0; j < 2; j++) {
			sum.returned[j] += point->returned[j];
			sum.waited[j] += point->waited[j];
		}
	}
	for (size_t i = 1; i < LOADS; i++)
		least = MIN(least,
			    steady[i].goodput / MAX(steady[0].goodput, 1e-9));
	is_good = print_target("steady goodput at 3.0 over that at 1.0, at "
			       "least 0.95",
			       keep, keep >= KEEP_TARGET);
	is_good &= print_target("held beyond the target and not served, 0",
				sum.held, !sum.held);
	/* A Retry-After that no caller can wait for promises no slot: if none
	 * came back after it, the target is missed, too. */
	is_good &=
		print_target("served after the whole Retry-After, at least 0.9",
			     share(sum.waited),
			     sum.waited[0] ? share(sum.waited) >= SLOT_TARGET
					   : !sum.returned[0]);
	printf("surge capacity_per_s=%.1f keep=%.3f keep_least=%.3f held=%u "
	       "waited=%u "
	       "slots=%.3f returned=%u slots_all=%.3f\n",
	       CAPACITY_PER_S, keep, least, sum.held, sum.waited[0],
	       share(sum.waited), sum.returned[0], share(sum.returned));
	return is_good;
}

static bool report(struct surge *surge)
{
	const GPtrArray *breaches = pe_breaches(surge->platform);
	bool is_good;

	printf("%-9s %4s %7s %8s %8s %8s %8s %8s %7s %5s %9s %9s\n", "", "load",
	       "offered", "on_time", "late", "refused", "deadline", "failed",
	       "goodput", "held", "returned", "waited");
	for (size_t i = 0; i < SHAPES; i++)
		for (size_t j = 0; j < LOADS; j++)
			print_point(&surge->points[i][j], shapes[i].name,
				    loads[j]);
	for (guint i = 0; i < breaches->len; i++)
		printf("broken: %s\n", (char *)g_ptr_array_index(breaches, i));
	is_good = print_targets(surge) && !breaches->len;
	if (*surge->settings->plot)
		write_plot(surge, surge->settings->plot);
	return is_good;
}

int bench_surge(const struct bench_settings *settings)
{
	struct surge surge = { .settings = settings };
	bool is_good = false;

	signal(SIGPIPE, SIG_IGN);
	if (start(&surge)) {
		for (int64_t seed = 1; seed <= settings->seeds; seed++) {
			surge.random = g_rand_new_with_seed((guint32)seed);
			for (size_t i = 0; i < SHAPES * LOADS; i++)
				run_point(&surge, i / LOADS, i % LOADS);
			g_rand_free(surge.random);
		}
		for (size_t i = 0; i < SHAPES * LOADS; i++)
			surge.points[i / LOADS][i % LOADS].goodput /=
				(double)settings->seeds;
		is_good = report(&surge) || settings->report_only;
	} else {
		g_printerr("%s is missing, or the entries did not become "
			   "ready\n",
			   CONFIG_FILE);
	}
	stop(&surge);
	return is_good ? 0 : 1;
}
