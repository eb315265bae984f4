#include "tools/fleet.h"

#include "base/lp_clock.h"
#include "base/lp_id.h"

#include <errno.h>
#include <libsoup/soup.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define IP "127.0.0.1"
/* Below the range that outgoing connections take their ports from. */
#define PORT_FIRST 10000
#define PORT_LAST 31000
#define READY_TIMEOUT_US (20 * LP_US_PER_S)
#define POLL_US (20 * LP_US_PER_MS)
#define END_TIMEOUT_US (20 * LP_US_PER_S)
#define HTTP_TIMEOUT_US (5 * LP_US_PER_S)

struct service {
	char *name;
	char *kind;
	uint32_t count;
	char *options; /* for the stand-in */
	uint16_t port;
};

struct fleet {
	struct fleet_options options;
	char *build;
	char *logs;
	GPtrArray *flags;
	GPtrArray *domains;
	GPtrArray *services;
	GPtrArray *hosts;
	GPid standin;
	GPid proxy;
	char *kv_direct;
	char *kv_url;
	char *hosts_url;
	char *proxy_control;
};

/* ---- ports ---- */

static bool port_is_free(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool is_free = !bind(fd, (struct sockaddr *)&address, sizeof(address));

	close(fd);
	return is_free;
}

/* A block of free ports that no earlier call has given out. */
static uint16_t take_ports(uint32_t count)
{
	static uint32_t next;
	uint32_t run = 0;

	if (!next)
		next = PORT_FIRST +
		       (uint32_t)(lp_random_u64() % (PORT_LAST - PORT_FIRST));
	while (run < count) {
		if (next >= PORT_LAST) {
			next = PORT_FIRST;
			run = 0;
		}
		run = port_is_free((uint16_t)next) ? run + 1 : 0;
		next += 1;
	}
	return (uint16_t)(next - count);
}

static char *take_address(void)
{
	return g_strdup_printf(IP ":%u", take_ports(1));
}

/* ---- HTTP ---- */

struct exchange {
	GMainLoop *loop;
	SoupMessage *msg;
	struct fleet_reply reply;
};

static void on_reply(GObject *source, GAsyncResult *result, gpointer data)
{
	struct exchange *exchange = data;
	g_autoptr(GBytes) bytes = soup_session_send_and_read_finish(
		SOUP_SESSION(source), result, NULL);
	gsize size;
	const char *text;

	if (bytes) {
		text = g_bytes_get_data(bytes, &size);
		exchange->reply.status = soup_message_get_status(exchange->msg);
		exchange->reply.body = g_strndup(text ? text : "", size);
	}
	g_main_loop_quit(exchange->loop);
}

static gboolean on_late(gpointer cancel)
{
	g_cancellable_cancel(cancel);
	return G_SOURCE_REMOVE;
}

struct fleet_reply fleet_http(const char *method, const char *url,
			      const char *body, const char *const *headers,
			      int64_t timeout_us)
{
	struct exchange exchange = { g_main_loop_new(NULL, FALSE),
				     soup_message_new(method, url),
				     { 0, NULL } };
	g_autoptr(SoupSession) session = soup_session_new();
	g_autoptr(GCancellable) cancel = g_cancellable_new();
	guint timer = g_timeout_add((guint)(timeout_us / LP_US_PER_MS), on_late,
				    cancel);

	if (body) {
		g_autoptr(GBytes) bytes = g_bytes_new(body, strlen(body));

		soup_message_set_request_body_from_bytes(
			exchange.msg, "application/json", bytes);
	}
	for (int i = 0; headers && headers[i] && headers[i + 1]; i += 2)
		soup_message_headers_replace(
			soup_message_get_request_headers(exchange.msg),
			headers[i], headers[i + 1]);
	soup_session_send_and_read_async(session, exchange.msg,
					 G_PRIORITY_DEFAULT, cancel, on_reply,
					 &exchange);
	g_main_loop_run(exchange.loop);
	if (!g_cancellable_is_cancelled(cancel))
		g_source_remove(timer);
	g_main_loop_unref(exchange.loop);
	g_object_unref(exchange.msg);
	return exchange.reply;
}

static gboolean on_pause_over(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_REMOVE;
}

void fleet_pause(int64_t wait_us)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	g_timeout_add((guint)(wait_us / LP_US_PER_MS), on_pause_over, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
}

/* ---- processes ---- */

static GPid spawn(struct fleet *fleet, const char *name, GPtrArray *argv)
{
	g_autofree char *log = g_strdup_printf("%s/%s.log", fleet->logs, name);
	g_autoptr(GError) gerror = NULL;
	FILE *file = fopen(log, "ae");
	GPid pid = 0;
	int fd = file ? fileno(file) : -1;

	g_ptr_array_add(argv, NULL);
	if (fd < 0 || !g_spawn_async_with_fds(NULL, (char **)argv->pdata, NULL,
					      G_SPAWN_DO_NOT_REAP_CHILD, NULL,
					      NULL, &pid, -1, fd, fd, &gerror))
		g_printerr("cannot start %s: %s\n", name,
			   gerror ? gerror->message : strerror(errno));
	if (file)
		fclose(file);
	return pid;
}

static int reap(GPid pid, int64_t timeout_us)
{
	int64_t until_us = g_get_monotonic_time() + timeout_us;
	int status;

	while (waitpid(pid, &status, WNOHANG) == 0) {
		if (g_get_monotonic_time() > until_us)
			return -1;
		fleet_pause(POLL_US);
	}
	return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
}

static GPtrArray *new_argv(const struct fleet *fleet, const char *program)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);

	g_ptr_array_add(argv, g_strdup_printf("%s/%s", fleet->build, program));
	return argv;
}

static void add_flag(GPtrArray *argv, const char *name, const char *value)
{
	g_ptr_array_add(argv, g_strdup_printf("--%s=%s", name, value));
}

bool fleet_start(struct fleet *fleet, struct fleet_host *host)
{
	g_autoptr(GPtrArray) argv = new_argv(fleet, "linepierd");
	bool entry = !*host->service;

	add_flag(argv, "role", entry ? "entry" : "agent");
	add_flag(argv, "host", host->id);
	add_flag(argv, "domain", host->domain);
	add_flag(argv, "bind", host->bind);
	add_flag(argv, "admin", host->admin);
	add_flag(argv, "kv-url", fleet->kv_url);
	add_flag(argv, "hosts-url", fleet->hosts_url);
	if (entry) {
		add_flag(argv, "listen", host->listen);
	} else {
		g_autofree char *url =
			g_strdup_printf("http://%s", host->upstream);

		add_flag(argv, "service", host->service);
		add_flag(argv, "upstream-url", url);
	}
	for (guint i = 0; i < fleet->flags->len; i++)
		g_ptr_array_add(argv,
				g_strdup(g_ptr_array_index(fleet->flags, i)));
	host->pid = spawn(fleet, host->id, argv);
	return host->pid;
}

static bool has_ended(struct fleet_host *host)
{
	if (host->pid && waitpid(host->pid, NULL, WNOHANG) == host->pid)
		host->pid = 0;
	return !host->pid;
}

static bool accepts_connections(const char *address)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) conn =
		g_socket_client_connect_to_host(client, address, 0, NULL, NULL);

	return conn != NULL;
}

bool fleet_wait_listening(struct fleet *fleet, struct fleet_host *host)
{
	int64_t until_us =
		g_get_monotonic_time() + fleet->options.start_timeout_us;

	if (*host->service)
		return true;
	while (!accepts_connections(host->listen)) {
		if (has_ended(host) || g_get_monotonic_time() > until_us)
			return false;
		fleet_pause(POLL_US);
	}
	return true;
}

bool fleet_succeed(struct fleet *fleet, struct fleet_host *host)
{
	struct fleet_host *old = g_new0(struct fleet_host, 1);

	*old = *host;
	old->id = g_strdup_printf("%s.old", host->id);
	old->service = g_strdup(host->service);
	old->domain = g_strdup(host->domain);
	old->listen = g_strdup(host->listen);
	old->seen = g_strdup(host->seen);
	old->upstream = g_strdup(host->upstream);
	g_ptr_array_add(fleet->hosts, old);
	host->bind = take_address();
	host->admin = take_address();
	g_free(host->seen);
	host->seen = g_strdup(host->bind);
	fleet_list(fleet, host);
	return fleet_start(fleet, host);
}

void fleet_signal(struct fleet_host *host, int signal)
{
	if (host->pid)
		kill(host->pid, signal);
}

int fleet_wait(struct fleet_host *host, int64_t timeout_us)
{
	int status;

	if (!host->pid)
		return 0;
	status = reap(host->pid, timeout_us);
	if (status >= 0)
		host->pid = 0;
	return status;
}

/* ---- the fleet file ---- */

static void add_service(struct fleet *fleet, char **words)
{
	struct service *service = g_new0(struct service, 1);
	uint32_t percent = fleet->options.scale_percent;
	uint32_t count = (uint32_t)atoi(words[3]);

	service->name = g_strdup(words[1]);
	service->kind = g_strdup(words[2]);
	service->count = MAX(1, count * percent / 100);
	service->options = g_strjoinv(",", words + 4);
	g_ptr_array_add(fleet->services, service);
}

static bool read_line(struct fleet *fleet, const char *line)
{
	g_auto(GStrv) words = NULL;
	int count;

	if (!g_shell_parse_argv(line, &count, &words, NULL))
		return true; /* empty, or a comment */
	if (!strcmp(words[0], "domains")) {
		for (int i = 1; i < count; i++)
			g_ptr_array_add(fleet->domains, g_strdup(words[i]));
		return count > 1;
	}
	if (strcmp(words[0], "service") != 0 || count < 4)
		return false;
	add_service(fleet, words);
	return true;
}

static bool read_file(struct fleet *fleet, const char *path, char **why)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	g_autoptr(GError) gerror = NULL;

	if (!g_file_get_contents(path, &text, NULL, &gerror)) {
		*why = g_strdup(gerror->message);
		return false;
	}
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; lines[i]; i++) {
		if (read_line(fleet, lines[i]))
			continue;
		*why = g_strdup_printf("%s:%d: expected 'domains NAME...' or "
				       "'service NAME KIND COUNT ...'",
				       path, i + 1);
		return false;
	}
	return true;
}

/* ---- building the fleet ---- */

static const char *domain_of(const struct fleet *fleet, uint32_t place)
{
	return g_ptr_array_index(fleet->domains, place % fleet->domains->len);
}

static struct fleet_host *add_host(struct fleet *fleet, char *id,
				   const char *service, const char *domain)
{
	struct fleet_host *host = g_new0(struct fleet_host, 1);

	host->id = id;
	host->service = g_strdup(service);
	host->domain = g_strdup(domain);
	host->bind = take_address();
	host->admin = take_address();
	host->seen =
		fleet->options.proxied ? take_address() : g_strdup(host->bind);
	g_ptr_array_add(fleet->hosts, host);
	return host;
}

static void plan_hosts(struct fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->options.entries; i++) {
		struct fleet_host *host =
			add_host(fleet, g_strdup_printf("entry-%u", i), "",
				 domain_of(fleet, i));

		host->listen = take_address();
	}
	for (guint s = 0; s < fleet->services->len; s++) {
		struct service *service = g_ptr_array_index(fleet->services, s);

		service->port = take_ports(service->count);
		for (uint32_t i = 0; i < service->count; i++) {
			struct fleet_host *host = add_host(
				fleet,
				g_strdup_printf("%s-%u", service->name, i),
				service->name, domain_of(fleet, i));

			host->upstream =
				g_strdup_printf(IP ":%u", service->port + i);
		}
	}
}

static bool wait_answering(const char *url)
{
	int64_t until_us = g_get_monotonic_time() + READY_TIMEOUT_US;

	while (g_get_monotonic_time() < until_us) {
		struct fleet_reply reply =
			fleet_http("GET", url, NULL, NULL, HTTP_TIMEOUT_US);

		g_free(reply.body);
		if (reply.status)
			return true;
		fleet_pause(POLL_US);
	}
	return false;
}

static bool start_standin(struct fleet *fleet)
{
	g_autoptr(GPtrArray) argv = new_argv(fleet, "lp-standin");
	g_autofree char *kv = take_address();
	g_autofree char *hosts = take_address();

	fleet->kv_direct = g_strdup_printf("http://%s", kv);
	fleet->kv_url = g_strdup(fleet->kv_direct);
	fleet->hosts_url = g_strdup_printf("http://%s", hosts);
	g_ptr_array_add(argv, g_strdup_printf("kv:%s", kv));
	g_ptr_array_add(argv, g_strdup_printf("hosts:%s", hosts));
	for (guint s = 0; s < fleet->services->len; s++) {
		const struct service *service =
			g_ptr_array_index(fleet->services, s);

		g_ptr_array_add(argv,
				g_strdup_printf("%s:" IP ":%u:%u%s%s",
						service->kind, service->port,
						service->count,
						*service->options ? ":" : "",
						service->options));
	}
	fleet->standin = spawn(fleet, "standin", argv);
	return fleet->standin && wait_answering(fleet->hosts_url);
}

static bool start_proxy(struct fleet *fleet)
{
	g_autoptr(GPtrArray) argv = new_argv(fleet, "lp-proxy");
	g_autofree char *kv = NULL;

	if (!fleet->options.proxied)
		return true;
	kv = take_address();
	g_free(fleet->kv_url);
	fleet->kv_url = g_strdup_printf("http://%s", kv);
	fleet->proxy_control = take_address();
	g_ptr_array_add(argv, g_strdup(fleet->proxy_control));
	g_ptr_array_add(argv,
			g_strdup_printf("kv=%s=%s", kv,
					fleet->kv_direct + strlen("http://")));
	for (guint i = 0; i < fleet->hosts->len; i++) {
		const struct fleet_host *host = fleet_at(fleet, i);

		g_ptr_array_add(argv, g_strdup_printf("%s=%s=%s", host->id,
						      host->seen, host->bind));
	}
	fleet->proxy = spawn(fleet, "proxy", argv);
	return fleet->proxy && wait_answering(fleet->kv_url);
}

static struct fleet *allocate(const struct fleet_options *options)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->options = *options;
	if (!fleet->options.entries)
		fleet->options.entries = 2;
	if (!fleet->options.start_timeout_us)
		fleet->options.start_timeout_us = READY_TIMEOUT_US;
	if (!fleet->options.scale_percent)
		fleet->options.scale_percent = 100;
	fleet->build = g_strdup(options->build);
	fleet->logs = g_strdup(options->logs);
	fleet->flags = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; options->flags && options->flags[i]; i++)
		g_ptr_array_add(fleet->flags, g_strdup(options->flags[i]));
	fleet->domains = g_ptr_array_new_with_free_func(g_free);
	fleet->services = g_ptr_array_new();
	fleet->hosts = g_ptr_array_new();
	return fleet;
}

struct fleet *fleet_create(const struct fleet_options *options, char **why)
{
	struct fleet *fleet = allocate(options);
	bool good = read_file(fleet, options->file, why);

	g_mkdir_with_parents(fleet->logs, 0755);
	if (good && !fleet->domains->len) {
		*why = g_strdup_printf("%s: no domains", options->file);
		good = false;
	}
	if (good) {
		plan_hosts(fleet);
		good = start_standin(fleet) && start_proxy(fleet);
		if (!good)
			*why = g_strdup("the stand-ins did not start");
	}
	for (guint i = 0; good && i < fleet->hosts->len; i++)
		fleet_list(fleet, fleet_at(fleet, i));
	for (guint i = 0; good && i < fleet->hosts->len; i++)
		good = fleet_start(fleet, fleet_at(fleet, i));
	/* A caller's connection to an entry that starts slowly is refused. */
	for (guint i = 0; good && i < fleet->hosts->len; i++) {
		struct fleet_host *host = fleet_at(fleet, i);

		good = fleet_wait_listening(fleet, host);
		if (!good)
			*why = g_strdup_printf(
				"%s does not listen for callers at %s",
				host->id, host->listen);
	}
	if (good)
		return fleet;
	if (!*why)
		*why = g_strdup("a process did not start");
	fleet_destroy(fleet);
	return NULL;
}

static void end_pid(GPid pid)
{
	if (!pid)
		return;
	kill(pid, SIGCONT);
	kill(pid, SIGKILL);
	reap(pid, END_TIMEOUT_US);
}

static void free_host(struct fleet_host *host)
{
	g_free(host->id);
	g_free(host->service);
	g_free(host->domain);
	g_free(host->listen);
	g_free(host->bind);
	g_free(host->seen);
	g_free(host->admin);
	g_free(host->upstream);
	g_free(host);
}

void fleet_destroy(struct fleet *fleet)
{
	if (!fleet)
		return;
	for (guint i = 0; i < fleet->hosts->len; i++)
		end_pid(fleet_at(fleet, i)->pid);
	end_pid(fleet->proxy);
	end_pid(fleet->standin);
	for (guint i = 0; i < fleet->hosts->len; i++)
		free_host(fleet_at(fleet, i));
	for (guint i = 0; i < fleet->services->len; i++) {
		struct service *service = g_ptr_array_index(fleet->services, i);

		g_free(service->name);
		g_free(service->kind);
		g_free(service->options);
		g_free(service);
	}
	g_ptr_array_unref(fleet->hosts);
	g_ptr_array_unref(fleet->services);
	g_ptr_array_unref(fleet->domains);
	g_ptr_array_unref(fleet->flags);
	g_free(fleet->kv_direct);
	g_free(fleet->kv_url);
	g_free(fleet->hosts_url);
	g_free(fleet->proxy_control);
	g_free(fleet->build);
	g_free(fleet->logs);
	g_free(fleet);
}

/* ---- looking and telling ---- */

uint32_t fleet_count(const struct fleet *fleet)
{
	return fleet->hosts->len;
}

struct fleet_host *fleet_at(struct fleet *fleet, uint32_t index)
{
	return g_ptr_array_index(fleet->hosts, index);
}

struct fleet_host *fleet_find(struct fleet *fleet, const char *id)
{
	for (guint i = 0; i < fleet->hosts->len; i++)
		if (!strcmp(fleet_at(fleet, i)->id, id))
			return fleet_at(fleet, i);
	return NULL;
}

const char *fleet_entry(struct fleet *fleet, uint32_t index)
{
	if (index >= fleet->options.entries)
		return NULL;
	return fleet_at(fleet, index)->listen;
}

const char *fleet_kv_url(const struct fleet *fleet)
{
	return fleet->kv_url;
}

const char *fleet_kv_direct(const struct fleet *fleet)
{
	return fleet->kv_direct;
}

const char *fleet_hosts_url(const struct fleet *fleet)
{
	return fleet->hosts_url;
}

static char *host_json(const struct fleet_host *host)
{
	return g_strdup_printf(
		"{\"id\":\"%s\",\"role\":\"%s\",\"service\":\"%s\","
		"\"domain\":\"%s\",\"address\":\"%s\",\"admin\":\"%s\","
		"\"state\":\"%s\"}",
		host->id, *host->service ? "agent" : "entry", host->service,
		host->domain, host->seen, host->admin,
		host->leaving ? "leaving" : "live");
}

void fleet_list(struct fleet *fleet, struct fleet_host *host)
{
	g_autofree char *url =
		g_strdup_printf("%s/v1/hosts/%s", fleet->hosts_url, host->id);
	g_autofree char *body = host_json(host);

	g_free(fleet_http("PUT", url, body, NULL, HTTP_TIMEOUT_US).body);
}

void fleet_unlist(struct fleet *fleet, struct fleet_host *host)
{
	g_autofree char *url =
		g_strdup_printf("%s/v1/hosts/%s", fleet->hosts_url, host->id);

	g_free(fleet_http("DELETE", url, NULL, NULL, HTTP_TIMEOUT_US).body);
}

bool fleet_fault(struct fleet *fleet, const char *name, const char *mode,
		 uint32_t delay_ms, const char *match)
{
	g_autofree char *url = NULL;
	g_autofree char *body = NULL;
	struct fleet_reply reply;

	if (!fleet->proxy_control)
		return false;
	url = g_strdup_printf("http://%s/rule", fleet->proxy_control);
	body = g_strdup_printf("{\"name\":\"%s\",\"mode\":\"%s\","
			       "\"delay_ms\":%u%s%s%s}",
			       name, mode, delay_ms,
			       match ? ",\"match\":\"" : "", match ? match : "",
			       match ? "\"" : "");
	reply = fleet_http("POST", url, body, NULL, HTTP_TIMEOUT_US);
	g_free(reply.body);
	return reply.status == SOUP_STATUS_OK;
}

bool fleet_apply(struct fleet *fleet, const char *file)
{
	g_autofree char *program =
		g_build_filename(fleet->build, "linepier", NULL);
	g_autofree char *kv = g_strdup_printf("--kv-url=%s", fleet->kv_url);
	g_autofree char *hosts =
		g_strdup_printf("--hosts-url=%s", fleet->hosts_url);
	g_autofree char *out = NULL;
	g_autofree char *err = NULL;
	char *argv[] = { program, kv,		hosts, "--wait=yes",
			 "apply", (char *)file, NULL };
	int status = 0;

	if (!g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &out,
			  &err, &status, NULL))
		return false;
	if (status)
		g_printerr("%s%s", out, err);
	return !status;
}

int64_t fleet_metric(const struct fleet_host *host, const char *name)
{
	g_autofree char *url =
		g_strdup_printf("http://%s/metrics", host->admin);
	struct fleet_reply reply =
		fleet_http("GET", url, NULL, NULL, HTTP_TIMEOUT_US);
	g_autofree char *line = g_strdup_printf("%s ", name);
	const char *at = reply.body ? strstr(reply.body, line) : NULL;
	int64_t value = 0;

	if (at)
		value = g_ascii_strtoll(at + strlen(line), NULL, 10);
	g_free(reply.body);
	return value;
}

/* The nth word, from 0, of /proc/PID/FILE. */
static int64_t proc_word(GPid pid, const char *file, int nth)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/%s", pid, file);
	g_autofree char *text = NULL;
	g_auto(GStrv) words = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	words = g_strsplit(text, " ", -1);
	return (int)g_strv_length(words) > nth
		       ? g_ascii_strtoll(words[nth], NULL, 10)
		       : 0;
}

int64_t fleet_memory(const struct fleet_host *host)
{
	return proc_word(host->pid, "statm", 1) * sysconf(_SC_PAGESIZE);
}

/* Nanoseconds on a processor: the first word of a thread's schedstat. */
static int64_t thread_cpu_ns(const char *folder, const char *thread)
{
	g_autofree char *path =
		g_strdup_printf("%s/%s/schedstat", folder, thread);
	g_autofree char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	return g_ascii_strtoll(text, NULL, 10);
}

int64_t fleet_cpu_us(const struct fleet_host *host)
{
	g_autofree char *folder = g_strdup_printf("/proc/%d/task", host->pid);
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *thread;
	int64_t sum_ns = 0;

	while (dir && (thread = g_dir_read_name(dir)))
		sum_ns += thread_cpu_ns(folder, thread);
	if (dir)
		g_dir_close(dir);
	return sum_ns / 1000;
}

JsonNode *fleet_status(struct fleet *fleet, const struct fleet_host *host)
{
	g_autofree char *url =
		g_strdup_printf("http://%s/v1/status", host->admin);
	struct fleet_reply reply =
		fleet_http("GET", url, NULL, NULL, HTTP_TIMEOUT_US);
	JsonNode *node = NULL;

	if (reply.status == SOUP_STATUS_OK)
		node = json_from_string(reply.body, NULL);
	g_free(reply.body);
	return node;
}

static bool all_heard(JsonObject *status)
{
	if (strcmp(json_object_get_string_member_with_default(status, "role",
							      ""),
		   "entry") != 0)
		return true;
	return json_object_get_int_member(status, "agents") &&
	       json_object_get_int_member(status, "agents_heard") ==
		       json_object_get_int_member(status, "agents");
}

static bool host_is_ready(struct fleet *fleet, const struct fleet_host *host)
{
	g_autoptr(JsonNode) node = fleet_status(fleet, host);
	JsonObject *status;

	if (!node || !JSON_NODE_HOLDS_OBJECT(node))
		return false;
	status = json_node_get_object(node);
	return !strcmp(json_object_get_string_member(status, "state"),
		       "ready") &&
	       all_heard(status);
}

bool fleet_ready(struct fleet *fleet, int64_t timeout_us)
{
	int64_t until_us = g_get_monotonic_time() + timeout_us;

	for (guint i = 0; i < fleet->hosts->len; i++) {
		const struct fleet_host *host = fleet_at(fleet, i);

		while (host->pid && !host_is_ready(fleet, host)) {
			if (g_get_monotonic_time() > until_us)
				return false;
			fleet_pause(POLL_US);
		}
	}
	return true;
}
