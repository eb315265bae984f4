/**
 * An entry that calls upstreams directly, without agents next to them.
 *
 * A caller's request arrives over HTTP, is matched to a route, waits for the
 * pieces of the route's stages, is sent to one upstream of the route's service
 * and is answered with the answer of that upstream. All state is kept in the
 * memory of one process: nothing is persisted, and entries share no storage.
 *
 * Terms:
 * - entry: a process that admits callers' requests; peer: another entry
 * - service: a set of interchangeable upstreams
 * - route: a host and path prefix, with its kind, times, services and stages
 * - stage: preliminary work for a request, done at a service of its own; piece:
 *   one unit of it, batched with others in a call
 * - engine: an upstream that runs a model and caches prefixes of prompts
 * - dispatcher: the entry that sends an upstream's calls for pieces, for all
 *   entries
 * - placer: the entry that selects engines for a service's prompts, for all
 *   entries
 * - sending: one attempt to have a request run by an upstream
 *
 * An adapter supplies the configuration and the list of upstreams, and
 * translates the wire format (direct_codec.h). All functions run on the thread
 * of the event loop. Times are in microseconds unless a name says otherwise.
 */
#ifndef DIRECT_H
#define DIRECT_H

#include "base/lp_counter.h"
#include "base/lp_event.h"
#include "direct/direct_codec.h"
#include "direct/direct_config.h"
#include "policy/quarantine.h"
#include "policy/store_era.h"

struct direct;
struct direct_peers;
struct http_memory;

struct direct_options {
	const struct lp_clock *clock;
	const struct direct_codec *codec;
	struct lp_event_log *log;
	struct lp_counters *counters;
	const char *address; /**< "IP:PORT" for callers */
	const char *domain;  /**< own failure domain */
	/** Retry budget: ratio x requests + slack in each window, fleet-wide
	 * (policy/retry_budget.h). */
	double retry_ratio;
	double retry_slack; /**< this entry's share; 0: not known yet */
	int64_t retry_window_us;
	/** No earlier process of this entry can have taken a retry. */
	bool retry_budget_is_unused;
	/** Longest time for which a caller waits for a stream, over all its
	 * attempts; 0: 60 s. */
	int64_t stream_age_max_us;
	/** The whole fleet starts for the first time: no stream has begun
	 * before. */
	bool is_first_start;
	/** Memory of this process; 0: no limit. Requests are refused before
	 * what is held for callers and upstreams exceeds a quarter of it. */
	int64_t memory_bytes;
	/** Called when this entry's own observations block a request, or
	 * extend its block. `content`: digest of the request. May be NULL. */
	void (*blocked)(void *userdata, uint64_t content);
	/** Called to have the list of upstreams read soon, as a request waits
	 * for it. May be NULL. */
	void (*needs_list)(void *userdata);
	/** Called when the key-value service is found, by this entry or by a
	 * peer, to have been restored from an older copy; may be NULL. */
	void (*restored)(void *userdata);
	void *userdata;
};

/** Returns NULL and sets `*error` to LP_ERROR_SYSTEM if the address cannot be
 * bound. */
struct direct *direct_create(const struct direct_options *options, int *error);
void direct_destroy(struct direct *direct);
/**
 * Apply a configuration if its version is newer than the current one. Returns
 * whether it was applied. Takes a reference of its own.
 */
bool direct_set_config(struct direct *direct, struct direct_config *config);
/** Version of the current configuration; negative: none yet. */
int64_t direct_config_version(const struct direct *direct);
/** Replace the list of upstreams; it was read at `read_us` by whoever read it.
 */
void direct_set_upstreams(struct direct *direct,
			  const struct pool_upstream_info *entries,
			  uint32_t count, int64_t read_us);
/** The list of upstreams was read once more, unchanged, at `read_us`. */
void direct_confirm_upstreams(struct direct *direct, int64_t read_us);
/** Set the region of a failure domain. To be called before the first list of
 * upstreams. */
void direct_set_region(struct direct *direct, const char *domain,
		       const char *region);
/** An answer of the key-value service has named this era. */
void direct_note_store_era(struct direct *direct, int64_t era);
/** Set all failure domains that operators have closed to new work, as of this
 * revision of the key-value store. All others are open. */
void direct_set_closed_domains(struct direct *direct,
			       const struct store_revision *revision,
			       const char *const *domains, uint32_t count);
/** Close or open one failure domain, as of this revision. */
void direct_set_domain_closed(struct direct *direct,
			      const struct store_revision *revision,
			      const char *domain, bool closed);
/** Send the closed failure domains to all peers again. */
void direct_share_closed_domains(struct direct *direct);
/** Change the memory limit, as in struct direct_options. */
void direct_set_memory(struct direct *direct, int64_t memory_bytes);
/** What this process holds for its peers, for servers beside this one. */
struct http_memory *direct_memory(struct direct *direct);
/** Whether the list names an incarnation that seems to have terminated, as
 * when an upstream's clock was set back: the adapter then has to pass the same
 * list again once it has confirmed that the list is unchanged. */
bool direct_needs_upstream_list(const struct direct *direct);
/** Change the retry budget, as in struct direct_options. */
void direct_set_retry_budget(struct direct *direct, double ratio, double slack);
/** Share the dispatching of stages with these peers; NULL: no peers. To be
 * called once, before any request. `peers` is borrowed and must outlive the
 * entry. */
void direct_set_peers(struct direct *direct, struct direct_peers *peers);
/** A peer reports that it cannot reach an incarnation of an upstream and has
 * ejected it for `ejection_us`. */
void direct_report_unreachable(struct direct *direct, uint64_t upstream,
			       int64_t ejection_us);
/** Whether the quarantine refuses requests under which upstreams terminated
 * (the default), or only counts them. */
void direct_enforce_quarantine(struct direct *direct, bool on);
/** Unblock a request at all entries, on behalf of an operator. `content`: its
 * digest, as printed by the log and by direct_print_quarantine(). */
void direct_unblock_request(struct direct *direct, uint64_t content);
/** Append the requests under which upstreams terminated, as one JSON object
 * per line. */
void direct_print_quarantine(const struct direct *direct, GString *out);
/** Get the quarantine's record of a request. Returns false if there is none. */
bool direct_find_suspect(const struct direct *direct, uint64_t content,
			 struct quarantine_view *out);
/** Restore a recorded termination of an upstream under a request. */
void direct_restore_termination(
	struct direct *direct,
	const struct quarantine_termination *termination);
/** Number of requests that are blocked. */
uint32_t direct_blocked_count(const struct direct *direct);
/** Whether requests can be served: the configuration, the upstreams and the
 * closed domains are known. */
bool direct_ready(const struct direct *direct);
/** Begin a graceful shutdown: from now on every answer closes its connection.
 */
void direct_drain(struct direct *direct);
/**
 * Set the time at which this process terminates. From now on only requests are
 * admitted whose deadline lies before that time and is short enough not to
 * delay the shutdown. Callers of a domain without another entry keep sending
 * requests until it terminates.
 */
void direct_set_shutdown_time(struct direct *direct, int64_t shutdown_us);
/** Refuse all requests that have not been sent to an upstream, because the
 * process is about to terminate. They are refused as "not run" if none of their
 * sendings can have run, so that their callers can try another entry. */
void direct_refuse_unsent(struct direct *direct);
/** Accept pending connections, then close the listening socket. */
void direct_stop_listening(struct direct *direct);
/** Number of requests that wait for nothing but their deadline, which is a
 * fault. The cost grows with the number of requests and submitted stages. */
uint32_t direct_stuck_requests(struct direct *direct);
/** Number of requests that are being read or served, or whose answer is not yet
 * sent completely. */
uint32_t direct_open_requests(const struct direct *direct);

#endif
