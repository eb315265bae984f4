/** The C headers under test, for C++. */
#ifndef CWRAP_H
#define CWRAP_H

#include <gio/gio.h>
#include <glib-unix.h>
#include <glib/gstdio.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

extern "C" {
#include "base/lp_clock.h"
#include "base/lp_counter.h"
#include "base/lp_digest.h"
#include "base/lp_error.h"
#include "base/lp_event.h"
#include "base/lp_id.h"
#include "base/lp_json.h"
#include "base/lp_loop_watch.h"
#include "base/lp_settings.h"
#include "base/lp_timer.h"
#include "base/lp_transfer.h"
#include "base/lp_zip.h"
#include "config/cfg.h"
#include "config/cfg_record.h"
#include "direct/direct.h"
#include "direct/direct_commitments.h"
#include "direct/direct_event_stream.h"
#include "direct/direct_notices.h"
#include "direct/direct_peers.h"
#include "entry/entry_json.h"
#include "http/http_client.h"
#include "http/http_fetch.h"
#include "http/http_parse.h"
#include "http/http_server.h"
#include "http/http_sock.h"
#include "platform/plf_codec.h"
#include "platform/plf_feed.h"
#include "platform/plf_json.h"
#include "platform/plf_kv.h"
#include "platform/plf_list_changes.h"
#include "platform/plf_peer_sync.h"
#include "platform/plf_quarantine.h"
#include "platform/plf_records.h"
#include "platform/plf_settings.h"
#include "platform/plf_upstream.h"
#include "platform/plf_upstream_list.h"
#include "policy/admission.h"
#include "policy/allowed_regions.h"
#include "policy/backoff.h"
#include "policy/bucket.h"
#include "policy/call_timeout.h"
#include "policy/claim.h"
#include "policy/client_wait.h"
#include "policy/closed_domains.h"
#include "policy/concurrency_limit.h"
#include "policy/config_propagation.h"
#include "policy/dispatchers.h"
#include "policy/drain.h"
#include "policy/flow.h"
#include "policy/graph.h"
#include "policy/idempotency.h"
#include "policy/incarnations.h"
#include "policy/lost_requests.h"
#include "policy/order.h"
#include "policy/outage_wait.h"
#include "policy/peer_liveness.h"
#include "policy/pieces.h"
#include "policy/pool.h"
#include "policy/quantile.h"
#include "policy/quarantine.h"
#include "policy/queue.h"
#include "policy/quota.h"
#include "policy/rate_limit.h"
#include "policy/recent_max.h"
#include "policy/remaining_latency.h"
#include "policy/rendezvous.h"
#include "policy/result_memory.h"
#include "policy/retry.h"
#include "policy/retry_budget.h"
#include "policy/retry_schedule.h"
#include "policy/route.h"
#include "policy/store_era.h"
#include "policy/store_reader.h"
#include "policy/throttle.h"
#include "policy/trace.h"
#include "policy/warmup.h"
#include "policy/watch_keeper.h"
#include "policy/watch_timeout.h"
#include "policy/worker.h"
#include "store/store_http.h"
#include "tools/fleet.h"
#include "tools/pe.h"
#include "wire/wire_msg.h"
}

/** A clock that a test sets. */
struct TestClock {
	int64_t now_us = 1000000;
	lp_clock clock = { read, this };

	static int64_t read(void *userdata)
	{
		return static_cast<TestClock *>(userdata)->now_us;
	}
};

#endif
