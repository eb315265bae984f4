#include "node/node.h"

#include <gio/gio.h>
#include <string.h>

#define FIELD(name) offsetof(struct node_settings, name)
#define MS_MAX 3600000

const struct lp_setting node_settings_table[] = {
	{ "role", LP_SETTING_CHOICE, FIELD(role), "entry", 0, 0, "entry|agent",
	  "role of this process" },
	{ "host", LP_SETTING_STRING, FIELD(host), NULL, 0, 0, NULL,
	  "this host's id, as in the platform's host list" },
	{ "domain", LP_SETTING_STRING, FIELD(domain), NULL, 0, 0, NULL,
	  "this host's failure domain" },
	{ "service", LP_SETTING_STRING, FIELD(service), "", 0, 0, NULL,
	  "agent: the service its upstream belongs to" },
	{ "listen", LP_SETTING_STRING, FIELD(listen), "", 0, 0, NULL,
	  "entry: IP:PORT for callers" },
	{ "bind", LP_SETTING_STRING, FIELD(bind), NULL, 0, 0, NULL,
	  "IP:PORT for connections of other linepier processes" },
	{ "admin", LP_SETTING_STRING, FIELD(admin), NULL, 0, 0, NULL,
	  "IP:PORT of the admin interface" },
	{ "kv-url", LP_SETTING_STRING, FIELD(kv_url), NULL, 0, 0, NULL,
	  "http://IP:PORT of the platform's key-value service" },
	{ "hosts-url", LP_SETTING_STRING, FIELD(hosts_url), NULL, 0, 0, NULL,
	  "http://IP:PORT of the platform's host list" },
	{ "upstream-url", LP_SETTING_STRING, FIELD(upstream_url), "", 0, 0,
	  NULL, "agent: http://IP:PORT of its upstream" },
	{ "curve-public", LP_SETTING_STRING, FIELD(curve_public), "", 0, 0,
	  NULL, "the fleet's CURVE public key (40 characters of Z85)" },
	{ "curve-secret", LP_SETTING_STRING, FIELD(curve_secret), "", 0, 0,
	  NULL, "the fleet's CURVE secret key" },
	{ "log-level", LP_SETTING_CHOICE, FIELD(log_level), "info", 0, 0,
	  "error|warn|info|debug", "lowest severity that is logged" },
	{ "naive", LP_SETTING_BOOL, FIELD(naive), "no", 0, 0, NULL,
	  "measurement: baseline policies (random, FIFO, no refusal)" },
	{ "affinity", LP_SETTING_BOOL, FIELD(affinity), "yes", 0, 0, NULL,
	  "entry: prefer the upstream that got a prefix before" },
	{ "config-watch-all", LP_SETTING_BOOL, FIELD(config_watch_all), "no", 0,
	  0, NULL, "measurement: every process watches the KV" },
	{ "agents-max", LP_SETTING_INT, FIELD(agents_max), "64", 1, 4096, NULL,
	  "entry: agents connected to, per service" },
	{ "agents-total", LP_SETTING_INT, FIELD(agents_total), "160", 4, 65536,
	  NULL, "entry: agents connected to, in all" },
	{ "beat-ms", LP_SETTING_INT, FIELD(beat_ms), "2500", 50, MS_MAX, NULL,
	  "longest time between an agent's load reports" },
	{ "hosts-poll-ms", LP_SETTING_INT, FIELD(hosts_poll_ms), "5000", 50,
	  MS_MAX, NULL, "time between polls of the host list" },
	{ "drain-wait-ms", LP_SETTING_INT, FIELD(drain_wait_ms), "3000", 0,
	  MS_MAX, NULL, "entry: keep accepting this long after SIGTERM" },
	{ "drain-max-ms", LP_SETTING_INT, FIELD(drain_max_ms), "60000", 0,
	  MS_MAX, NULL, "exit this long after SIGTERM even with work left" },
	{ "probe-interval-ms", LP_SETTING_INT, FIELD(probe_interval_ms),
	  "10000", 0, MS_MAX, NULL,
	  "longest time between a balancer's probes of /readyz" },
	{ "body-max", LP_SETTING_INT, FIELD(body_max), "262144", 1024, 4194304,
	  NULL, "entry: largest request body, bytes" },
	{ "read-timeout-ms", LP_SETTING_INT, FIELD(read_timeout_ms), "5000", 10,
	  MS_MAX, NULL, "entry: time within which a request must arrive" },
	{ "age-limit-ms", LP_SETTING_INT, FIELD(age_limit_ms), "8000", 100,
	  MS_MAX, NULL, "agent: oldest call that may still run" },
	{ "queue-max", LP_SETTING_INT, FIELD(queue_max), "1000", 1, 100000,
	  NULL, "agent: most calls queued" },
	{ "kv-calls-per-s", LP_SETTING_INT, FIELD(kv_calls_per_s), "20", 1,
	  1000, NULL, "calls to the key-value service, per process" },
	{ "key-keep-ms", LP_SETTING_INT, FIELD(key_keep_ms), "600000", 1000,
	  86400000, NULL, "entry: idempotency keys are kept this long" },
	{ "trace-events", LP_SETTING_INT, FIELD(trace_events), "4096", 16,
	  1000000, NULL, "events kept for explain" },
	{ "memory-mb", LP_SETTING_INT, FIELD(memory_mb), "512", 1, 1048576,
	  NULL, "entry: memory; callers are refused at a quarter of it" },
	{ "requests-max", LP_SETTING_INT, FIELD(requests_max), "20000", 1,
	  1000000, NULL, "entry: most requests in flight" },
};

const size_t node_settings_count = G_N_ELEMENTS(node_settings_table);

static void check_address(const char *flag, const char *value,
			  GPtrArray *errors)
{
	const char *colon = strrchr(value, ':');
	g_autofree char *ip =
		colon ? g_strndup(value, (gsize)(colon - value)) : NULL;

	if (colon && g_hostname_is_ip_address(ip) && atoi(colon + 1) > 0 &&
	    atoi(colon + 1) <= G_MAXUINT16)
		return;
	g_ptr_array_add(errors, g_strdup_printf("--%s: got '%s', expected "
						"IP:PORT",
						flag, value));
}

static void check_url(const char *flag, const char *value, GPtrArray *errors)
{
	if (g_str_has_prefix(value, "http://") &&
	    g_uri_is_valid(value, G_URI_FLAGS_NONE, NULL))
		return;
	g_ptr_array_add(errors, g_strdup_printf("--%s: got '%s', expected "
						"http://IP:PORT",
						flag, value));
}

static void check_curve(const struct node_settings *settings, GPtrArray *errors)
{
	const size_t z85_length = 40;
	bool has_public = *settings->curve_public;
	bool has_secret = *settings->curve_secret;

	if (has_public != has_secret)
		g_ptr_array_add(errors,
				g_strdup("--curve-public: expected together "
					 "with --curve-secret"));
	if (has_public && strlen(settings->curve_public) != z85_length)
		g_ptr_array_add(errors, g_strdup("--curve-public: expected 40 "
						 "characters"));
	if (has_secret && strlen(settings->curve_secret) != z85_length)
		g_ptr_array_add(errors, g_strdup("--curve-secret: expected 40 "
						 "characters"));
}

void node_settings_check(const struct node_settings *settings,
			 GPtrArray *errors)
{
	if (settings->bind)
		check_address("bind", settings->bind, errors);
	if (settings->admin)
		check_address("admin", settings->admin, errors);
	if (settings->kv_url)
		check_url("kv-url", settings->kv_url, errors);
	if (settings->hosts_url)
		check_url("hosts-url", settings->hosts_url, errors);
	if (settings->role == NODE_ROLE_ENTRY)
		check_address("listen", settings->listen, errors);
	else
		check_url("upstream-url", settings->upstream_url, errors);
	if (settings->role == NODE_ROLE_AGENT && !*settings->service)
		g_ptr_array_add(errors,
				g_strdup("--service: missing for an agent"));
	check_curve(settings, errors);
}
