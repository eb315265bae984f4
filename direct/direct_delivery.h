/**
 * Reports callers and upstreams that do not take what is sent to them: a log
 * line `undelivered`, and a counter that tells slow peers, peers that are gone
 * and passed deadlines apart.
 *
 *   linepier_undelivered_total{peer="caller",state="slow"}
 */
#ifndef DIRECT_DELIVERY_H
#define DIRECT_DELIVERY_H

#include "http/http_sock.h"

struct direct;

enum direct_delivery_peer {
	DIRECT_DELIVERY_CALLER,
	DIRECT_DELIVERY_UPSTREAM,
};

/** `name`: the caller's IP address or the upstream's id. `request`: id, or NULL
 * if it is not known. */
void direct_delivery_report(struct direct *direct,
			    enum direct_delivery_peer peer, const char *name,
			    const char *request,
			    const struct http_delivery *delivery);

#endif
