#include "direct/direct_delivery.h"

#include "direct/direct_private.h"

static const char *const peer_names[] = {
	[DIRECT_DELIVERY_CALLER] = "caller",
	[DIRECT_DELIVERY_UPSTREAM] = "upstream",
};

void direct_delivery_report(struct direct *direct,
			    enum direct_delivery_peer peer, const char *name,
			    const char *request,
			    const struct http_delivery *delivery)
{
	struct lp_event_log *log = direct->options.log;
	const char *state = http_delivery_name(delivery->state);
	g_autofree char *labels = g_strdup_printf("peer=\"%s\",state=\"%s\"",
						  peer_names[peer], state);

	*direct_counter(direct, "linepier_undelivered_total", labels) += 1;
	if (!lp_event_begin(log, "undelivered", request))
		return;
	lp_event_text(log, "peer", peer_names[peer]);
	lp_event_text(log, "name", name);
	lp_event_text(log, "state", state);
	lp_event_int(log, "bytes", delivery->undelivered_bytes);
	lp_event_int(log, "waited_us", delivery->waited_us);
	lp_event_int(log, "silent_us", delivery->silent_us);
	lp_event_end(log);
}
