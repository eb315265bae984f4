/** Declarations shared by the files of entry/. Private to entry/. */
#ifndef ENTRY_PRIVATE_H
#define ENTRY_PRIVATE_H

#include "entry/entry.h"
#include "entry/entry_json.h"
#include "http/http_memory.h"
#include "policy/claim.h"
#include "policy/drain.h"
#include "policy/flow.h"
#include "policy/idempotency.h"
#include "policy/quota.h"

struct entry_peers;
struct entry_http;
struct entry_idempotency;
struct entry_request;

struct entry {
	const struct node_settings *settings;
	struct node *node;
	struct flow *flow;
	struct entry_peers *peers;
	struct entry_http *http;
	struct entry_idempotency *idempotency;
	struct quota *quota;
	struct drain *drain;
	struct quota_holder *quota_holder; /* quotas granted by this entry */
	GSource *timer;			   /* fires at flow_next_us() */
	uint32_t requests;	   /* requests that exist, in any state */
	struct http_memory memory; /* held for callers */
	int64_t listen_stopped_us; /* 0: still listening */
};

static inline int64_t entry_now_us(const struct entry *entry)
{
	return lp_now_us(node_clock(entry->node));
}

/** Increment the counter `name`, with one label or none (`label` NULL). */
void entry_increment_counter(struct entry *entry, const char *name,
			     const char *label, const char *value);
/** Record that `prober`, an IP address, gets an answer to its readiness probe.
 */
void entry_record_probe(struct entry *entry, const char *prober);
/** Set the timer to flow_next_us(); call after anything that may change it. */
void entry_rearm_timer(struct entry *entry);

/* ---- entry_request.c ---- */

/** The answer to a request, as sent to its caller. Borrowed. */
struct entry_answer {
	int error;
	enum lp_run run;
	int64_t retry_after_us; /**< 0: no hint */
	const char *id;		/**< of the request, or "" */
	const char *detail;	/**< a sentence, or NULL */
	const char *body;	/**< the whole answer (JSON), NULL on error */
};

struct entry_caller_ops {
	/** Receives text of the answer stage's stream; NULL: not wanted. */
	void (*chunk)(void *userdata, const char *id, const char *text);
	/** Called exactly once, unless the request is abandoned; may be called
	 * from inside entry_request_begin(). */
	void (*answer)(void *userdata, const struct entry_answer *answer);
};

/** Parameters of a request from a caller or another entry. Borrowed. */
struct entry_request_params {
	const char *pipeline;
	const char *organisation;
	const char *key;    /**< "" for none */
	const char *trace;  /**< traceparent, or "" */
	int64_t timeout_us; /**< 0: the pipeline's deadline */
	const char *body;
	size_t body_size;
	bool key_owned; /**< forwarded: this entry owns the key */
	const struct entry_caller_ops *ops;
	void *userdata;
};

/**
 * Begin a request. `*handle` points to the request until it is answered or
 * abandoned, and is NULL afterwards; `handle` itself may be NULL.
 */
void entry_request_begin(struct entry *entry,
			 const struct entry_request_params *params,
			 struct entry_request **handle);
/**
 * The caller disconnected. A request with an idempotency key continues, so
 * that a retry gets its answer; any other is cancelled.
 */
void entry_request_abandon(struct entry_request *request);
/** This entry owns the request's key: run the request, wait for the run in
 * progress, or answer from the stored result. */
void entry_request_begin_owned(struct entry_request *request);
/** Answer and free a request that is not, or no longer, in the flow. */
void entry_request_end(struct entry_request *request,
		       const struct entry_answer *answer);
extern const struct flow_ops entry_flow_ops;
/** Build this entry's pipeline tables and attach them to the snapshot. */
void entry_plan_attach(struct entry *entry, struct cfg_snapshot *snapshot);

/* ---- entry_idempotency.c ---- */

/** The parts of a request that entry_idempotency.c uses. Borrowed. */
struct entry_keyed_request {
	struct entry_request *request;
	const char *pipeline;
	const char *organisation;
	const char *key;	/**< the caller's */
	const char *scoped_key; /**< organisation and key */
	uint64_t fingerprint;
	int64_t deadline_us;
	bool needs_claim; /**< some stage may not be repeated */
	const char *body;
};

struct entry_idempotency *entry_idempotency_create(struct entry *entry);
void entry_idempotency_destroy(struct entry_idempotency *idempotency);
/** Find the key's owner. Calls entry_request_begin_owned() if it is this
 * entry; else forwards the request to the owner, or ends it with an error. */
void entry_idempotency_find_owner(struct entry_idempotency *idempotency,
				  const struct entry_keyed_request *keyed);
/** Register a request whose key this entry owns. Returns true if the caller
 * must run it; else it waits, or has been answered. */
bool entry_idempotency_begin(struct entry_idempotency *idempotency,
			     const struct entry_keyed_request *keyed);
void entry_idempotency_end(struct entry_idempotency *idempotency,
			   const char *scoped,
			   const struct entry_answer *answer);
void entry_idempotency_forget(struct entry_idempotency *idempotency,
			      struct entry_request *request);
void entry_idempotency_tick(struct entry_idempotency *idempotency);
/** A FORWARD, FORWARD_SEEN or FORWARDED message. */
void entry_idempotency_message(struct entry_idempotency *idempotency,
			       const char *peer, struct wire_msg *msg);
uint32_t
entry_idempotency_key_count(const struct entry_idempotency *idempotency);
char *entry_ticket_mint(struct entry *entry);

/* ---- entry_peers.c ---- */

struct entry_peers *entry_peers_create(struct entry *entry);
void entry_peers_destroy(struct entry_peers *peers);
void entry_peers_set_hosts(struct entry_peers *peers,
			   const struct store_hosts *hosts);
void entry_peers_tick(struct entry_peers *peers);
void entry_peers_send_hellos(struct entry_peers *peers);
/** Send to an agent by host id. */
int entry_peers_send_agent(struct entry_peers *peers, const char *host,
			   const struct wire_msg *msg);
/** Send to another entry by host id; LP_ERROR_UPSTREAM_GONE if unknown. */
int entry_peers_send_entry(struct entry_peers *peers, const char *host,
			   const struct wire_msg *msg);
/**
 * Convert the load report of an agent's BEAT or RESULT. False if `peer` is
 * not a connected agent. The strings are borrowed until the connection is
 * closed.
 */
bool entry_peers_agent_report(struct entry_peers *peers, const char *peer,
			      const struct wire_load *load,
			      struct flow_report *out);
/** Number of entries that are not draining; at least 1. */
uint32_t entry_peers_live_entry_count(const struct entry_peers *peers);
/** Host id of the entry that grants an organisation's quota. */
const char *entry_peers_quota_holder(const struct entry_peers *peers,
				     const char *organisation);
uint32_t entry_peers_agent_count(const struct entry_peers *peers);
uint32_t entry_peers_usable_agent_count(const struct entry_peers *peers);

/* ---- entry_http.c ---- */

int entry_http_create(struct entry *entry, struct entry_http **out, char **why);
void entry_http_destroy(struct entry_http *http);
/** Stop listening; open connections stay until answered. */
void entry_http_stop_listening(struct entry_http *http);
/** Number of requests whose answer is not completely written. */
uint32_t entry_http_unanswered(const struct entry_http *http);
/** Number of connections with a request to send or an answer to receive. */
uint32_t entry_http_open(const struct entry_http *http);

#endif
