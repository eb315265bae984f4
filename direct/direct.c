#include "direct/direct_answer_flow.h"
#include "direct/direct_closed_domains.h"
#include "direct/direct_delivery.h"
#include "direct/direct_excess.h"
#include "direct/direct_placement.h"
#include "direct/direct_private.h"
#include "direct/direct_relay.h"

#include <string.h>

/* Held bytes may be this fraction of the process's memory; allocation and the
 * system's buffers add to them. */
#define MEMORY_FRACTION 4
/* Callers are refused for so long while memory is short: it is freed as soon as
 * others read their answers. */
#define MEMORY_RETRY_AFTER_US (250 * LP_US_PER_MS)

static void on_request(void *userdata, struct http_call *call)
{
	direct_request_begin(userdata, call);
}

static void on_request_unreadable(void *userdata, int error, uint32_t status,
				  const struct http_excess *excess)
{
	struct direct *direct = userdata;
	struct lp_event_log *log = direct->options.log;

	*lp_counter(direct->options.counters, "linepier_unread_total", NULL) +=
		1;
	if (error == LP_ERROR_OVERLOADED)
		*lp_counter(direct->options.counters,
			    "linepier_memory_refusals_total", NULL) += 1;
	if (excess)
		direct_excess_report(log, direct->options.counters, "caller",
				     "", NULL, excess);
	if (!lp_event_begin(log, "request_unreadable", NULL))
		return;
	lp_event_text(log, "error", lp_error_info(error)->name);
	lp_event_int(log, "status", status);
	lp_event_int(log, "held_bytes", direct->memory.held_bytes);
	lp_event_end(log);
}

static void on_caller_delivery(void *userdata, const char *client_ip,
			       const struct http_delivery *delivery)
{
	direct_delivery_report(userdata, DIRECT_DELIVERY_CALLER, client_ip,
			       NULL, delivery);
}

static void write_overload_refusal(void *userdata,
				   const struct http_fields *request,
				   struct http_fields *out)
{
	const struct direct_codec *codec =
		((const struct direct *)userdata)->options.codec;
	struct direct_request_info info = {
		.prefix_blocks = g_array_new(FALSE, FALSE,
					     sizeof(struct pool_prefix_block)),
		.pieces = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
	};

	codec->read_request(request, &info);
	codec->write_refusal(info.id, MEMORY_RETRY_AFTER_US, out);
	g_array_unref(info.prefix_blocks);
	g_array_unref(info.pieces);
}

static void on_upstream_restarted(void *userdata,
				  const struct pool_upstream *before,
				  const struct pool_upstream *after)
{
	struct direct *direct = userdata;
	struct lp_event_log *log = direct->options.log;

	*lp_counter(direct->options.counters,
		    "linepier_upstream_restarts_total", NULL) += 1;
	direct_terminations_confirm(direct->terminations, before,
				    DIRECT_TERMINATION_RESTARTED);
	if (!lp_event_begin(log, "upstream_restarted", NULL))
		return;
	lp_event_text(log, "upstream", after->info.id);
	lp_event_text(log, "service", after->info.service);
	lp_event_int(log, "born_ms", after->info.born_ms);
	lp_event_int(log, "born_before_ms", before->info.born_ms);
	lp_event_int(log, "in_flight", before->in_flight);
	lp_event_int(log, "list_age_us",
		     lp_now_us(direct->options.clock) -
			     direct->upstreams_updated_us);
	lp_event_end(log);
}

static void on_upstream_terminated(void *userdata,
				   const struct lost_request *lost, guint count)
{
	struct direct *direct = userdata;

	direct_quarantine_add_terminations(direct->quarantine, lost, count);
}

/* `act` may free the request that it is given. */
static void for_each_request(struct direct *direct,
			     void (*act)(struct direct_request *request))
{
	g_autoptr(GList) requests = g_hash_table_get_keys(direct->requests);

	for (GList *at = requests; at; at = at->next)
		act(at->data);
}

static void on_store_restored(void *userdata)
{
	const struct direct *direct = userdata;

	pool_keep_draining(direct->pool);
	if (direct->options.restored)
		direct->options.restored(direct->options.userdata);
}

static void update_peer_service(struct direct *direct);

static void on_closed_domains_changed(void *userdata)
{
	struct direct *direct = userdata;

	update_peer_service(direct);
	if (!pool_set_closed_domains(
		    direct->pool,
		    direct_closed_domains_known(direct->closed_domains)))
		return;
	for_each_request(direct, direct_request_refuse_if_closed);
	direct_calls_run(direct->calls);
}

/* Limits until the first configuration: they bound the memory and connections
 * that unknown clients can occupy. */
static const struct http_limits initial_limits = {
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
		.limits = initial_limits,
		.request = on_request,
		.refused = on_request_unreadable,
		.delivery = on_caller_delivery,
		.memory = &direct->memory,
		.answer_bytes = DIRECT_ANSWER_RESERVED_BYTES,
		.body_copies = 1, /* queued for an upstream */
		.write_refusal = write_overload_refusal,
		.userdata = direct,
	};
	const struct retry_budget_options retry_budget = {
		.clock = options->clock,
		.ratio = options->retry_ratio,
		.slack = options->retry_slack,
		.window_us = options->retry_window_us,
		.starts_full = options->retry_budget_is_unused,
	};

	direct->server = http_server_create(&server, error);
	if (!direct->server) {
		g_free(direct);
		return NULL;
	}
	direct->options = *options;
	direct_set_memory(direct, options->memory_bytes);
	direct->started_us = lp_now_us(options->clock);
	direct->domain = g_strdup(options->domain);
	direct->pool = pool_create(options->clock, options->domain);
	pool_set_restart_callback(direct->pool, on_upstream_restarted, direct);
	direct->closed_domains = direct_closed_domains_create(
		&(struct direct_closed_domains_options){
			.log = options->log,
			.counters = options->counters,
			.changed = on_closed_domains_changed,
			.restored = on_store_restored,
			.userdata = direct,
		});
	direct->notices =
		direct_notices_create(&(struct direct_notices_options){
			.clock = options->clock,
			.log = options->log,
			.counters = options->counters,
			.pool = direct->pool,
		});
	direct->retry_budget = retry_budget_create(&retry_budget);
	direct->requests = g_hash_table_new(NULL, NULL);
	direct->route_estimates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	direct->quarantine = direct_quarantine_create(direct);
	direct->terminations = direct_terminations_create(
		&(struct direct_terminations_options){
			.direct = direct,
			.terminated = on_upstream_terminated,
			.userdata = direct,
		});
	direct->calls = direct_calls_create(direct);
	direct->results = direct_results_create(direct);
	direct->prefix_cache = direct_prefix_cache_create(
		&(struct direct_prefix_cache_options){
			.clock = options->clock,
			.log = options->log,
			.counters = options->counters,
			.memory = &direct->memory,
			.codec = options->codec,
			.pool = direct->pool,
			.notices = direct->notices,
		});
	direct->stages = direct_stages_create(direct);
	direct->version_history = direct_version_history_create(&(
		struct direct_version_history_options){
		.clock = options->clock,
		.first_start_us =
			options->is_first_start ? direct->started_us : 0,
	});
	direct->stream_origins = direct_stream_origins_create(direct);
	direct->answer_times = lp_histogram_create(
		options->counters, "linepier_answer_milliseconds");
	direct->first_event_times = lp_histogram_create(
		options->counters, "linepier_first_event_milliseconds");
	return direct;
}

void direct_destroy(struct direct *direct)
{
	if (!direct)
		return;
	for_each_request(direct, direct_request_discard);
	http_server_destroy(direct->server);
	if (direct->peers)
		direct_peers_remove_listeners(direct->peers);
	direct_placement_destroy(direct->placement);
	direct_relay_destroy(direct->relay);
	direct_calls_destroy(direct->calls);
	direct_results_destroy(direct->results);
	direct_stages_destroy(direct->stages);
	direct_terminations_destroy(direct->terminations);
	direct_quarantine_destroy(direct->quarantine);
	direct_prefix_cache_destroy(direct->prefix_cache);
	direct_stream_origins_destroy(direct->stream_origins);
	direct_version_history_destroy(direct->version_history);
	direct_notices_destroy(direct->notices);
	pool_destroy(direct->pool);
	direct_closed_domains_destroy(direct->closed_domains);
	retry_budget_destroy(direct->retry_budget);
	direct_config_unref(direct->config);
	g_hash_table_unref(direct->requests);
	g_hash_table_unref(direct->route_estimates);
	lp_histogram_destroy(direct->answer_times);
	lp_histogram_destroy(direct->first_event_times);
	g_free(direct->domain);
	g_free(direct);
}

static gboolean is_route_removed(gpointer name, gpointer estimates,
				 gpointer userdata)
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

/* This entry dispatches for its peers only while it is ready to serve. */
static void update_peer_service(struct direct *direct)
{
	if (direct->peers)
		direct_peers_set_ready(direct->peers, direct_ready(direct));
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
	update_peer_service(direct);
	direct_stages_configure(direct->stages, config);
	direct_quarantine_set_part_key(direct->quarantine, config->least_key);
	g_hash_table_foreach_remove(direct->route_estimates, is_route_removed,
				    config);
	log_config(direct, before);
	return true;
}

int64_t direct_config_version(const struct direct *direct)
{
	return direct->config ? direct->config->version : -1;
}

void direct_set_upstreams(struct direct *direct,
			  const struct pool_upstream_info *entries,
			  uint32_t count, int64_t read_us)
{
	struct lp_event_log *log = direct->options.log;
	uint32_t changes = pool_update(direct->pool, entries, count);

	direct->has_upstreams = true;
	direct->upstreams_updated_us = lp_now_us(direct->options.clock);
	update_peer_service(direct);
	direct_version_history_add_list(direct->version_history, direct->pool,
					read_us);
	direct_stream_origins_check_list(direct->stream_origins);
	if (!changes)
		return;
	for_each_request(direct, direct_request_refuse_if_version_gone);
	if (lp_event_begin(log, "upstreams", NULL)) {
		lp_event_int(log, "listed", count);
		lp_event_int(log, "changes", changes);
		lp_event_end(log);
	}
	direct_calls_run(direct->calls);
}

void direct_confirm_upstreams(struct direct *direct, int64_t read_us)
{
	direct_version_history_confirm_list(direct->version_history, read_us);
	direct_stream_origins_check_list(direct->stream_origins);
}

void direct_set_region(struct direct *direct, const char *domain,
		       const char *region)
{
	pool_set_region(direct->pool, domain, region);
}

void direct_note_store_era(struct direct *direct, int64_t era)
{
	direct_closed_domains_note_era(direct->closed_domains, era);
}

void direct_set_closed_domains(struct direct *direct,
			       const struct store_revision *revision,
			       const char *const *domains, uint32_t count)
{
	direct_closed_domains_set_all(direct->closed_domains, revision, domains,
				      count);
}

void direct_set_domain_closed(struct direct *direct,
			      const struct store_revision *revision,
			      const char *domain, bool closed)
{
	direct_closed_domains_set(direct->closed_domains, revision, domain,
				  closed);
}

void direct_share_closed_domains(struct direct *direct)
{
	direct_closed_domains_share(direct->closed_domains);
}

bool direct_needs_upstream_list(const struct direct *direct)
{
	return pool_needs_reapply(direct->pool);
}

void direct_set_retry_budget(struct direct *direct, double ratio, double slack)
{
	retry_budget_set_bounds(direct->retry_budget, ratio, slack);
}

void direct_set_peers(struct direct *direct, struct direct_peers *peers)
{
	direct->peers = peers;
	if (peers)
		direct->placement = direct_placement_create(direct, peers);
	direct_closed_domains_set_peers(direct->closed_domains, peers);
	direct_notices_set_peers(direct->notices, peers);
	direct_quarantine_set_peers(direct->quarantine, peers);
	direct_version_history_set_peers(direct->version_history, peers);
	direct_stream_origins_set_peers(direct->stream_origins, peers);
	direct_stages_set_peers(direct->stages, peers);
	update_peer_service(direct);
}

void direct_report_unreachable(struct direct *direct, uint64_t upstream,
			       int64_t ejection_us)
{
	struct pool_upstream *target =
		pool_find_incarnation(direct->pool, upstream);

	if (target)
		pool_note_unreachable(direct->pool, target, ejection_us);
}

void direct_set_memory(struct direct *direct, int64_t memory_bytes)
{
	direct->memory.limit_bytes = memory_bytes / MEMORY_FRACTION;
}

struct http_memory *direct_memory(struct direct *direct)
{
	return &direct->memory;
}

void direct_enforce_quarantine(struct direct *direct, bool on)
{
	direct_quarantine_set_enabled(direct->quarantine, on);
}

void direct_unblock_request(struct direct *direct, uint64_t content)
{
	direct_quarantine_clear(direct->quarantine, content);
}

void direct_print_quarantine(const struct direct *direct, GString *out)
{
	direct_quarantine_print(direct->quarantine, out);
}

bool direct_find_suspect(const struct direct *direct, uint64_t content,
			 struct quarantine_view *out)
{
	return direct_quarantine_get_view(direct->quarantine, content, out);
}

void direct_restore_termination(
	struct direct *direct, const struct quarantine_termination *termination)
{
	direct_quarantine_restore(direct->quarantine, termination);
}

uint32_t direct_blocked_count(const struct direct *direct)
{
	return direct_quarantine_blocked_count(direct->quarantine);
}

bool direct_ready(const struct direct *direct)
{
	return direct->config && direct->has_upstreams &&
	       closed_domains_is_known(
		       direct_closed_domains_known(direct->closed_domains));
}

void direct_drain(struct direct *direct)
{
	http_server_drain(direct->server);
	if (direct->peers)
		direct_peers_drain(direct->peers);
	direct_stream_origins_hand_over(direct->stream_origins);
}

void direct_set_shutdown_time(struct direct *direct, int64_t end_us)
{
	direct->shutdown_us = end_us;
}

void direct_refuse_unsent(struct direct *direct)
{
	for_each_request(direct, direct_request_refuse_unsent);
}

void direct_stop_listening(struct direct *direct)
{
	http_server_stop_listening(direct->server);
}

uint32_t direct_stuck_requests(struct direct *direct)
{
	GHashTableIter iter;
	gpointer key;
	uint32_t stuck = 0;

	for_each_request(direct, direct_request_clear_waiting);
	direct_stages_mark_waiting(direct->stages);
	g_hash_table_iter_init(&iter, direct->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		stuck += !direct_request_is_waiting(key);
	return stuck;
}

uint32_t direct_open_requests(const struct direct *direct)
{
	return http_server_busy_count(direct->server);
}
