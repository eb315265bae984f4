/** The software version of streams that have begun, which alone may serve them.
 */
#include "direct/direct_request.h"

#include <string.h>

bool direct_stream_version_needs_lookup(const struct direct_request *request)
{
	return request->route->kind == DIRECT_STREAM &&
	       (request->info.last_event_id || request->info.resumed_attempt);
}

/* The service of a route that runs a version, or NULL. A route may be split
 * among services, and each request draws one. */
static const char *find_service(const struct direct_request *request,
				uint64_t version_id)
{
	const struct direct_route *route = request->route;

	for (uint32_t i = 0; i < route->weighted_services_count; i++)
		if (pool_find_version(request->direct->pool,
				      route->weighted_services[i].service,
				      version_id))
			return route->weighted_services[i].service;
	return NULL;
}

static void set_version(struct direct_request *request, uint64_t version_id)
{
	const char *service = find_service(request, version_id);
	const struct pool_upstream *upstream;

	request->has_version = true;
	request->version_id = version_id;
	request->last_event_us = request->arrived_us;
	if (!service)
		return;
	request->service = service;
	upstream =
		pool_find_version(request->direct->pool, service, version_id);
	request->stream_version = g_strdup(upstream->info.version);
}

static const char *outcome_of(const struct direct_request *request,
			      const struct direct_stream_origin *origin)
{
	static const char *const sources[] = { "own", "peer", "sole" };

	switch (origin->status) {
	case STREAM_ORIGIN_UNKNOWN:
		return "unknown";
	case STREAM_ORIGIN_AMBIGUOUS:
		return "ambiguous";
	case STREAM_ORIGIN_KNOWN:
		break;
	}
	return request->stream_version ? sources[origin->source] : "gone";
}

static void record_outcome(struct direct_request *request,
			   const struct direct_stream_origin *origin)
{
	struct lp_event_log *log = request->direct->options.log;
	const char *outcome = outcome_of(request, origin);
	g_autofree char *labels = g_strdup_printf("outcome=\"%s\"", outcome);

	*direct_counter(request->direct, "linepier_client_resumes_total",
			labels) += 1;
	if (!lp_event_begin(log, "client_resume", request->id))
		return;
	lp_event_text(log, "outcome", outcome);
	direct_request_log_resumed(request);
	lp_event_int(log, "queried", origin->queried);
	lp_event_int(log, "answered", origin->answered);
	lp_event_int(log, "took_us",
		     direct_request_now_us(request) - request->arrived_us);
	lp_event_end(log);
}

static void on_found(void *userdata, const struct direct_stream_origin *origin)
{
	struct direct_request *request = userdata;

	request->origin_lookup = 0;
	request->state = DIRECT_STATE_STAGES;
	if (origin->status == STREAM_ORIGIN_KNOWN)
		set_version(request, origin->version);
	record_outcome(request, origin);
	if (origin->status != STREAM_ORIGIN_KNOWN)
		direct_request_refuse(request, DIRECT_RETRY_AFTER_FULL_US,
				      "version_unknown");
	else if (direct_stream_version_check(request))
		request->admit(request);
}

void direct_stream_version_look_up(
	struct direct_request *request,
	void (*admit)(struct direct_request *request))
{
	const struct direct_route *route = request->route;

	request->admit = admit;
	request->state = DIRECT_STATE_ORIGIN;
	request->origin_lookup = direct_stream_origins_lookup(
		request->direct->stream_origins,
		&(struct direct_stream_lookup){
			.attempt = request->info.resumed_attempt,
			.service = route->weighted_services_count == 1
					   ? request->service
					   : NULL,
			.on_found = on_found,
			.userdata = request,
		});
}

void direct_stream_version_cancel(struct direct_request *request)
{
	if (request->origin_lookup)
		direct_stream_origins_cancel(request->direct->stream_origins,
					     request->origin_lookup);
	request->origin_lookup = 0;
}

bool direct_stream_version_check(struct direct_request *request)
{
	const struct pool_upstream *upstream;

	if (!request->has_version)
		return true;
	upstream = pool_find_version(request->direct->pool, request->service,
				     request->version_id);
	if (upstream && pool_is_eligible(upstream))
		return true;
	direct_request_refuse(request, DIRECT_RETRY_AFTER_FULL_US,
			      "version_gone");
	return false;
}
