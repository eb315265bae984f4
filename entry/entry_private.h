/** What the files of entry/ share. Private to entry/. */
#ifndef ENTRY_PRIVATE_H
#define ENTRY_PRIVATE_H

#include "entry/entry.h"
#include "entry/entry_json.h"
#include "policy/claim.h"
#include "policy/drain.h"
#include "policy/flow.h"
#include "policy/keys.h"
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
	struct quota_holder *quota_holder; /* of the quotas this entry holds */
	GSource *timer;		   /* wakes the flow when it asks for it */
	uint32_t requests;	   /* in this process, in any state */
	int64_t listen_stopped_us; /* shutdown: listens no more since then; 0:
				      does */
};

static inline int64_t entry_now_us(const struct entry *entry)
{
	return lp_now_us(node_clock(entry->node));
}

/** Count under `name` with one label, or none. */
void entry_increment_counter(struct entry *entry, const char *name,
			     const char *label, const char *value);
/** `prober`, an IP address, is given an answer to its probe of our readiness.
 */
void entry_record_probe(struct entry *entry, const char *prober);
/** Call after anything that may have changed when the flow wakes next. */
void entry_rearm_timer(struct entry *entry);

/* ---- entry_request.c ---- */

/** How a request ended, as its caller is told. Borrowed. */
struct entry_answer {
	int error;
	enum lp_run run;
	int64_t retry_after_us; /**< 0: no hint */
	const char *id;		/**< of the request, or "" */
	const char *detail;	/**< a sentence, or NULL */
	const char *body;	/**< the whole answer (JSON), NULL on error */
};

struct entry_caller_ops {
	/** Text of the answer stage's stream; NULL: not wanted. */
	void (*chunk)(void *userdata, const char *id, const char *text);
	/** Exactly once; may come from inside entry_request_begin(). */
	void (*answer)(void *userdata, const struct entry_answer *answer);
};

/** A request as a caller, or another entry, makes it. Borrowed. */
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
 * Begin a request. `*handle` points to it while it lives and the caller has
 * not abandoned it, and is NULL afterwards; `handle` itself may be NULL.
 */
void entry_request_begin(struct entry *entry,
			 const struct entry_request_params *ask,
			 struct entry_request **handle);
/**
 * The caller is gone. A keyed request runs on, for its second try; any
 * other is withdrawn.
 */
void entry_request_abandon(struct entry_request *request);
/** The owner of the request's key is known: run, wait, answer or forward. */
void entry_request_begin_owned(struct entry_request *request);
/** End a request that does not run in the flow. */
void entry_request_end(struct entry_request *request,
		       const struct entry_answer *answer);
extern const struct flow_ops entry_flow_ops;
/** Build the role's tables of a configuration. */
void entry_plan_attach(struct entry *entry, struct cfg_snapshot *snapshot);

/* ---- entry_idempotency.c ---- */

/** What entry_idempotency.c needs to know of a request. */
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
void entry_idempotency_destroy(struct entry_idempotency *owners);
/** Find the owner; answers by entry_request_begin_owned() or _end(). */
void entry_idempotency_find_owner(struct entry_idempotency *owners,
				  const struct entry_keyed_request *keyed);
/** This entry owns the key. Returns true if the request is to be run. */
bool entry_idempotency_begin(struct entry_idempotency *owners,
			     const struct entry_keyed_request *keyed);
void entry_idempotency_end(struct entry_idempotency *owners, const char *scoped,
			   const struct entry_answer *answer);
void entry_idempotency_forget(struct entry_idempotency *owners,
			      struct entry_request *request);
void entry_idempotency_tick(struct entry_idempotency *owners);
/** A FORWARD, FORWARD_SEEN or FORWARDED message. */
void entry_idempotency_message(struct entry_idempotency *owners,
			       const char *peer, struct wire_msg *msg);
uint32_t entry_idempotency_key_count(const struct entry_idempotency *owners);
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
 * An agent's word, from a BEAT or a RESULT. False: no agent of ours. The
 * strings are borrowed until the connection is closed.
 */
bool entry_peers_agent_report(struct entry_peers *peers, const char *peer,
			      const struct wire_load *load,
			      struct flow_word *out);
/** Live entries, this one included. */
uint32_t entry_peers_live_entry_count(const struct entry_peers *peers);
/** The entry that holds an organisation's quota. */
const char *entry_peers_quota_holder(const struct entry_peers *peers,
				     const char *organisation);
uint32_t entry_peers_agent_count(const struct entry_peers *peers);
uint32_t entry_peers_usable_agent_count(const struct entry_peers *peers);

/* ---- entry_http.c ---- */

int entry_http_create(struct entry *entry, struct entry_http **out, char **why);
void entry_http_destroy(struct entry_http *http);
/** Stop listening; open connections stay until answered. */
void entry_http_stop_listening(struct entry_http *http);
/** Requests whose answer is owed, or is being written. */
uint32_t entry_http_unanswered(const struct entry_http *http);
/** Connections that have a request to send, or an answer to get. */
uint32_t entry_http_open(const struct entry_http *http);

#endif
