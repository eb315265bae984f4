#include "direct/direct_closures.h"
#include "direct/direct_places.h"
#include "direct/direct_private.h"
#include "direct/direct_relay.h"

#include <string.h>

static void on_request(void *userdata, struct http_call *call)
{
	direct_request_begin(userdata, call);
}

static void on_refused(void *userdata, int error, uint32_t status)
{
	struct direct *direct = userdata;
	struct lp_event_log *log = direct->options.log;

	*lp_counter(direct->options.counters, "linepier_unread_total", NULL) +=
		1;
	if (!lp_event_begin(log, "request_unreadable", NULL))
		return;
	lp_event_text(log, "error", lp_error_info(error)->name);
	lp_event_int(log, "status", status);
	lp_event_end(log);
}

static void on_restarted(void *userdata, const struct pool_upstream *before,
			 const struct pool_upstream *after)
{
	struct direct *direct = userdata;
	struct lp_event_log *log = direct->options.log;

	*lp_counter(direct->options.counters,
		    "linepier_upstream_restarts_total", NULL) += 1;
	direct_ends_saw(direct->ends, before, DIRECT_END_RESTARTED);
	if (!lp_event_begin(log, "upstream_restarted", NULL))
		return;
	lp_event_text(log, "upstream", after->entry.id);
	lp_event_text(log, "service", after->entry.service);
	lp_event_int(log, "born_ms", after->entry.born_ms);
	lp_event_int(log, "born_before_ms", before->entry.born_ms);
	lp_event_int(log, "in_flight", before->in_flight);
	lp_event_int(log, "list_age_us",
		     lp_now_us(direct->options.clock) - direct->listed_us);
	lp_event_end(log);
}

static void on_upstream_ended(void *userdata, const struct loss *lost,
			      guint count)
{
	struct direct *direct = userdata;

	direct_quarantine_ended(direct->quarantine, lost, count);
}

/* `act` may end the request that it is given. */
static void each_request(struct direct *direct,
			 void (*act)(struct direct_request *request))
{
	g_autoptr(GList) requests = g_hash_table_get_keys(direct->requests);

	for (GList *at = requests; at; at = at->next)
		act(at->data);
}

static void open_to_peers(struct direct *direct);

static void on_closures(void *userdata)
{
	struct direct *direct = userdata;

	open_to_peers(direct);
	if (!pool_close(direct->pool, direct_closures_known(direct->closures)))
		return;
	each_request(direct, direct_request_domain_closed);
	direct_calls_run(direct->calls);
}

/* Until a configuration says more: what keeps a stranger from filling us. */
static const struct http_limits first_limits = {
	.head_bytes = 16384,
	.body_bytes = 4194304,
	.read_us = 10 * LP_US_PER_S,
	.idle_us = 60 * LP_US_PER_S,
};

struct direct *direct_create(const struct direct_options *options, int *error)
{
	struct direct *direct = g_new0(struct direct, 1);
	const struct http_server_options server = {
		.address = options->address,
		.clock = options->clock,
		.limits = first_limits,
		.request = on_request,
		.refused = on_refused,
		.userdata = direct,
	};
	const struct retries_options retries = {
		.clock = options->clock,
		.ratio = options->retry_ratio,
		.slack = options->retry_slack,
		.window_us = options->retry_window_us,
	};

	direct->server = http_server_create(&server, error);
	if (!direct->server) {
		g_free(direct);
		return NULL;
	}
	direct->options = *options;
	direct->domain = g_strdup(options->domain);
	direct->pool = pool_create(options->clock, options->domain);
	pool_hear_restarts(direct->pool, on_restarted, direct);
	direct->closures =
		direct_closures_create(&(struct direct_closures_options){
			.log = options->log,
			.counters = options->counters,
			.changed = on_closures,
			.userdata = direct,
		});
	direct->notices =
		direct_notices_create(&(struct direct_notices_options){
			.clock = options->clock,
			.log = options->log,
			.counters = options->counters,
			.pool = direct->pool,
		});
	direct->retries = retries_create(&retries);
	direct->requests = g_hash_table_new(NULL, NULL);
	direct->learnt =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	direct->quarantine = direct_quarantine_create(direct);
	direct->ends = direct_ends_create(&(struct direct_ends_options){
		.direct = direct,
		.ended = on_upstream_ended,
		.userdata = direct,
	});
	direct->calls = direct_calls_create(direct);
	direct->results = direct_results_create(direct);
	direct->memory = direct_memory_create(&(struct direct_memory_options){
		.clock = options->clock,
		.log = options->log,
		.codec = options->codec,
		.pool = direct->pool,
		.notices = direct->notices,
	});
	direct->stages = direct_stages_create(direct);
	direct->answer_times = lp_histogram_create(
		options->counters, "linepier_answer_milliseconds");
	direct->first_times = lp_histogram_create(
		options->counters, "linepier_first_event_milliseconds");
	return direct;
}

void direct_destroy(struct direct *direct)
{
	if (!direct)
		return;
	each_request(direct, direct_request_drop);
	http_server_destroy(direct->server);
	if (direct->peers)
		direct_peers_listen_none(direct->peers);
	direct_places_destroy(direct->places);
	direct_relay_destroy(direct->relay);
	direct_calls_destroy(direct->calls);
	direct_results_destroy(direct->results);
	direct_stages_destroy(direct->stages);
	direct_ends_destroy(direct->ends);
	direct_quarantine_destroy(direct->quarantine);
	direct_memory_destroy(direct->memory);
	direct_notices_destroy(direct->notices);
	pool_destroy(direct->pool);
	direct_closures_destroy(direct->closures);
	retries_destroy(direct->retries);
	direct_config_unref(direct->config);
	g_hash_table_unref(direct->requests);
	g_hash_table_unref(direct->learnt);
	lp_histogram_destroy(direct->answer_times);
	lp_histogram_destroy(direct->first_times);
	g_free(direct->domain);
	g_free(direct);
}

static gboolean is_dropped(gpointer name, gpointer learnt, gpointer userdata)
{
	const struct direct_config *config = userdata;

	for (guint i = 0; i < config->routes->len; i++) {
		const struct direct_route *route =
			g_ptr_array_index(config->routes, i);

		if (!strcmp(route->name, name))
			return FALSE;
	}
	return TRUE;
}

static void log_config(struct direct *direct, int64_t before)
{
	struct lp_event_log *log = direct->options.log;

	if (!lp_event_begin(log, "config", NULL))
		return;
	lp_event_text(log, "outcome", "in_force");
	lp_event_int(log, "version", direct->config->version);
	lp_event_int(log, "version_before", before);
	lp_event_int(log, "routes", direct->config->routes->len);
	lp_event_end(log);
}

/* We dispatch for others while we know services and upstreams. */
static void open_to_peers(struct direct *direct)
{
	if (direct->peers)
		direct_peers_open(direct->peers, direct_ready(direct));
}

bool direct_set_config(struct direct *direct, struct direct_config *config)
{
	int64_t before = direct_config_version(direct);
	struct http_limits limits = {
		.head_bytes = (size_t)config->limits.head_bytes,
		.body_bytes = (size_t)config->limits.body_bytes,
		.read_us = config->limits.read_us,
		.idle_us = config->limits.idle_us,
	};

	if (config->version <= before)
		return false;
	direct_config_unref(direct->config);
	direct->config = direct_config_ref(config);
	http_server_set_limits(direct->server, &limits);
	direct_calls_configure(direct->calls, config);
	open_to_peers(direct);
	direct_stages_configure(direct->stages, config);
	g_hash_table_foreach_remove(direct->learnt, is_dropped, config);
	log_config(direct, before);
	return true;
}

int64_t direct_config_version(const struct direct *direct)
{
	return direct->config ? direct->config->version : -1;
}

void direct_set_upstreams(struct direct *direct,
			  const struct pool_entry *entries, uint32_t count)
{
	struct lp_event_log *log = direct->options.log;
	uint32_t changes = pool_update(direct->pool, entries, count);

	direct->has_upstreams = true;
	direct->listed_us = lp_now_us(direct->options.clock);
	open_to_peers(direct);
	if (!changes)
		return;
	if (lp_event_begin(log, "upstreams", NULL)) {
		lp_event_int(log, "listed", count);
		lp_event_int(log, "changes", changes);
		lp_event_end(log);
	}
	direct_calls_run(direct->calls);
}

void direct_set_region(struct direct *direct, const char *domain,
		       const char *region)
{
	pool_set_region(direct->pool, domain, region);
}

void direct_set_closed_domains(struct direct *direct, int64_t revision,
			       const char *const *domains, uint32_t count)
{
	direct_closures_set_all(direct->closures, revision, domains, count);
}

void direct_set_domain(struct direct *direct, int64_t revision,
		       const char *domain, bool closed)
{
	direct_closures_set(direct->closures, revision, domain, closed);
}

bool direct_in_doubt(const struct direct *direct)
{
	return pool_in_doubt(direct->pool);
}

void direct_set_retries(struct direct *direct, double ratio, double slack)
{
	retries_set(direct->retries, ratio, slack);
}

void direct_set_peers(struct direct *direct, struct direct_peers *peers)
{
	direct->peers = peers;
	if (peers)
		direct->places = direct_places_create(direct, peers);
	direct_closures_set_peers(direct->closures, peers);
	direct_notices_set_peers(direct->notices, peers);
	direct_quarantine_set_peers(direct->quarantine, peers);
	direct_stages_set_peers(direct->stages, peers);
	open_to_peers(direct);
}

void direct_hear_unreachable(struct direct *direct, uint64_t upstream,
			     int64_t aside_us)
{
	struct pool_upstream *heard = pool_find_life(direct->pool, upstream);

	if (heard)
		pool_heard_unreachable(direct->pool, heard, aside_us);
}

void direct_set_quarantine(struct direct *direct, bool on)
{
	direct_quarantine_turn(direct->quarantine, on);
}

void direct_let_in(struct direct *direct, uint64_t content)
{
	direct_quarantine_let_in(direct->quarantine, content);
}

void direct_print_quarantine(const struct direct *direct, GString *out)
{
	direct_quarantine_print(direct->quarantine, out);
}

bool direct_look_at_ends(const struct direct *direct, uint64_t content,
			 struct quarantine_view *out)
{
	return direct_quarantine_look(direct->quarantine, content, out);
}

void direct_offer_end(struct direct *direct, const struct quarantine_end *end)
{
	direct_quarantine_offer(direct->quarantine, end);
}

uint32_t direct_kept_out(const struct direct *direct)
{
	return direct_quarantine_count(direct->quarantine);
}

bool direct_ready(const struct direct *direct)
{
	return direct->config && direct->has_upstreams &&
	       closures_is_known(direct_closures_known(direct->closures));
}

void direct_drain(struct direct *direct)
{
	http_server_drain(direct->server);
	if (direct->peers)
		direct_peers_end_work(direct->peers);
}

void direct_end_by(struct direct *direct, int64_t end_us)
{
	direct->end_us = end_us;
}

void direct_refuse_unsent(struct direct *direct)
{
	each_request(direct, direct_request_entry_ends);
}

void direct_stop_listening(struct direct *direct)
{
	http_server_stop_listening(direct->server);
}

uint32_t direct_busy(const struct direct *direct)
{
	return http_server_busy_count(direct->server);
}
