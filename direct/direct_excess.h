/**
 * Reports messages of peers that are larger than allowed: a log line
 * `oversized`, and a counter by peer and by the part of the message.
 *
 *   linepier_oversized_total{peer="upstream",part="head"}
 */
#ifndef DIRECT_EXCESS_H
#define DIRECT_EXCESS_H

#include "base/lp_counter.h"
#include "base/lp_event.h"
#include "http/http_parse.h"

/** `peer`: its kind; `name`: its id or address, or "". `request`: id, or NULL
 * if it is not known. */
void direct_excess_report(struct lp_event_log *log,
			  struct lp_counters *counters, const char *peer,
			  const char *name, const char *request,
			  const struct http_excess *excess);

#endif
