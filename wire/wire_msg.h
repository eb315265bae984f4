/**
 * Typed messages between linepier's own processes.
 *
 * On the wire: magic, version and type (four bytes), then one serialized
 * GVariant tuple. Encoding and checking are GVariant's; a message that is
 * not in normal form, or of another version, is an error and nothing else.
 *
 * Decoded strings belong to the message; wire_msg_clear() frees them.
 */
#ifndef WIRE_MSG_H
#define WIRE_MSG_H

#include "base/lp_error.h"
#include "base/lp_id.h"

#define WIRE_VERSION 1
/** Largest frame accepted, bytes. */
#define WIRE_FRAME_MAX (4u << 20)

enum wire_type {
	WIRE_HELLO = 1,	   /**< entry to agent: I am here */
	WIRE_BEAT,	   /**< agent to entry: load, revision, leaving */
	WIRE_CALL,	   /**< entry to agent: run this */
	WIRE_CHUNK,	   /**< agent to entry: part of a stream */
	WIRE_RESULT,	   /**< agent to entry: the call's one answer */
	WIRE_QUERY,	   /**< entry to agent: what became of this call? */
	WIRE_STATE,	   /**< agent to entry: answer to a query */
	WIRE_CONFIG_GET,   /**< either way: send me the configuration */
	WIRE_CONFIG_BODY,  /**< either way: the configuration */
	WIRE_FORWARD,	   /**< entry to entry: a keyed request for its owner */
	WIRE_FORWARD_SEEN, /**< entry to entry: the owner has it */
	WIRE_FORWARDED,	   /**< entry to entry: its answer */
	WIRE_QUOTA_ASK,	   /**< entry to quota holder: my demand */
	WIRE_QUOTA_GRANT,  /**< quota holder to entry: my share */
	WIRE_TYPE_LAST = WIRE_QUOTA_GRANT,
};

/** What a QUERY asks for besides the state. */
enum wire_query {
	WIRE_QUERY_PEEK = 0,	 /**< refuse it for good if never seen */
	WIRE_QUERY_WITHDRAW = 1, /**< also take it out if queued, cancel */
};

/** What an agent knows of a call. */
enum wire_call_state {
	WIRE_CALL_NOT_RUN = 0, /**< did not run and never will */
	WIRE_CALL_QUEUED = 1,
	WIRE_CALL_RUNNING = 2,
	WIRE_CALL_CANCELLED = 3, /**< was running and is being ended */
	WIRE_CALL_DONE = 4,	 /**< the RESULT is sent again */
	WIRE_CALL_LOST = 5,	 /**< too long ago, or another incarnation's */
};

/** An agent's load, in every BEAT and RESULT. */
struct wire_load {
	int64_t agent_time_us; /**< the agent's own clock, echoed by calls */
	uint64_t incarnation;
	uint64_t revision; /**< of the configuration in force there */
	uint32_t queued;
	uint32_t running;
	uint32_t limit;	    /**< concurrency in force */
	uint32_t wait_us;   /**< what a new call of a light caller would wait */
	uint32_t run_us;    /**< usual time of one call */
	uint32_t kv_age_ms; /**< since someone it knows of reached the KV */
	bool leaving;
};

struct wire_hello {
	uint64_t incarnation;
	uint64_t revision;
	uint32_t kv_age_ms;
};

struct wire_call {
	struct lp_call_id id;
	uint64_t incarnation; /**< of the agent this call is meant for */
	uint64_t revision;    /**< the request runs under */
	int64_t echo_us;      /**< agent_time_us last heard from the agent */
	int64_t held_us;      /**< time the entry has held it */
	int64_t left_us;      /**< time in which the answer is of use */
	char *organisation;
	uint32_t weight;
	bool repeatable;
	bool stream;
	char *pipeline;
	char *stage;
	char *key;   /**< idempotency key for the upstream, or "" */
	char *path;  /**< HTTP path at the upstream */
	char *body;  /**< JSON */
	char *trace; /**< W3C traceparent, or "" */
};

struct wire_chunk {
	struct lp_call_id id;
	uint32_t seq; /**< from 0, no gaps */
	uint32_t tokens;
	char *text;
};

struct wire_result {
	struct lp_call_id id;
	int32_t error;
	uint8_t run;	 /**< enum lp_run */
	uint32_t chunks; /**< sent before this result */
	uint32_t queue_us;
	uint32_t run_us;
	uint32_t tokens;
	uint32_t retry_us; /**< hint: worth trying again after this */
	char *body;	   /**< JSON on success, a sentence on error */
	struct wire_load load;
};

struct wire_query_msg {
	struct lp_call_id id;
	uint8_t query;	      /**< enum wire_query */
	uint64_t incarnation; /**< that the call was sent to */
	int64_t sent_us;      /**< of the call, on the agent's clock */
};

struct wire_state {
	struct lp_call_id id;
	uint64_t incarnation;
	uint8_t state; /**< enum wire_call_state */
};

struct wire_config_get {
	uint64_t have; /**< revision in force at the asker */
};

struct wire_config_body {
	uint64_t revision;
	GBytes *packed; /**< compressed document */
};

struct wire_forward {
	uint64_t serial;      /**< of the forwarding entry */
	uint64_t incarnation; /**< of the owner that the key names */
	char *pipeline;
	char *organisation;
	char *key;
	int64_t left_us;
	char *body;
};

struct wire_forward_seen {
	uint64_t serial;
};

struct wire_forwarded {
	uint64_t serial;
	int32_t error;
	uint8_t run;
	char *body;
};

struct wire_quota_ask {
	char *organisation;
	uint32_t demand_per_s;
};

struct wire_quota_grant {
	char *organisation;
	uint32_t rate_per_s;
	uint32_t lease_ms;
};

/** A message of any type. */
struct wire_msg {
	enum wire_type type;
	union {
		struct wire_hello hello;
		struct wire_load beat;
		struct wire_call call;
		struct wire_chunk chunk;
		struct wire_result result;
		struct wire_query_msg query;
		struct wire_state state;
		struct wire_config_get config_get;
		struct wire_config_body config_body;
		struct wire_forward forward;
		struct wire_forward_seen forward_seen;
		struct wire_forwarded forwarded;
		struct wire_quota_ask quota_ask;
		struct wire_quota_grant quota_grant;
	} u;
};

/** Encode a message. The caller frees the bytes. Strings may not be NULL. */
GBytes *wire_msg_encode(const struct wire_msg *msg);
/**
 * Decode a frame into `out`. Returns LP_OK or LP_ERROR_PROTOCOL; on error
 * nothing is left to free.
 */
int wire_msg_decode(const void *data, size_t size, struct wire_msg *out);
/** Free what a decoded message holds. */
void wire_msg_clear(struct wire_msg *msg);

#endif
