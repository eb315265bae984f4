#include "direct/direct_excess.h"

void direct_excess_report(struct lp_event_log *log,
			  struct lp_counters *counters, const char *peer,
			  const char *name, const char *request,
			  const struct http_excess *excess)
{
	const char *part = http_part_name(excess->part);
	g_autofree char *labels =
		g_strdup_printf("peer=\"%s\",part=\"%s\"", peer, part);

	*lp_counter(counters, "linepier_oversized_total", labels) += 1;
	if (!lp_event_begin(log, "oversized", request))
		return;
	lp_event_text(log, "peer", peer);
	lp_event_text(log, "name", name);
	lp_event_text(log, "part", part);
	lp_event_int(log, "received", excess->received);
	lp_event_int(log, "limit", excess->limit);
	lp_event_end(log);
}
