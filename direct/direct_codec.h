/**
 * What an adapter translates for an entry that calls upstreams directly:
 * header fields and bodies of one deployment's wire from and to typed values.
 * No decision is made behind these callbacks, and none of them blocks.
 */
#ifndef DIRECT_CODEC_H
#define DIRECT_CODEC_H

#include "http/http_fields.h"
#include "policy/pool.h"

/** What a caller's request says. Strings are borrowed from its fields. */
struct direct_request_info {
	const char *id; /**< of this attempt of the caller; never NULL */
	const char *host;
	const char
		*organisation_key; /**< that names the organisation, or NULL */
	int64_t timeout_us;    /**< how long the caller waits; 0: not said */
	GArray *prefix_blocks; /**< of struct pool_part; owned by the request */
	int64_t tokens_in;
	int64_t tokens_out;
	GArray *pieces; /**< uint32_t a stage: pieces it has; owned likewise */
	const char *piece_key;	   /**< what first stages are made from */
	const char *last_event_id; /**< the caller resumes after it, or NULL */
};

/** A request as it goes to an upstream. */
struct direct_upstream_request {
	const struct http_fields *caller_fields; /**< the caller's fields */
	const char *upstream;	   /**< id of the one that may run it */
	const char *organisation;  /**< or NULL */
	int64_t left_us;	   /**< until nobody waits any more */
	int32_t priority;	   /**< 0 goes first */
	const GPtrArray *inputs;   /**< handles, or NULL */
	const char *last_event_id; /**< resume after it, or NULL */
	const char *copy_from; /**< address of an engine that has more of the
				  prompt in memory, or NULL */
};

/** What an answer says of its upstream's limit. */
enum direct_limit_notice {
	DIRECT_LIMIT_NONE,
	DIRECT_LIMIT_ADVERTISED,
	DIRECT_LIMIT_UNREADABLE,
};

/** What the head of an upstream's answer says. */
struct direct_reply {
	bool is_success;
	bool matches_request;	/**< it names the request that we sent */
	bool has_upstream_seal; /**< it bears the upstream's mark */
	bool not_run;		/**< the upstream promises so */
	bool other_process;	/**< another process has the address now */
	bool input_gone;	/**< results that it needs are gone */
	bool is_events;		/**< a stream of events follows */
	int32_t running; /**< requests or calls at work there; negative: not
			    said */
	int32_t waiting;
	bool draining;	     /**< the upstream leaves: nothing new goes there */
	int64_t pushback_us; /**< a refusal: the upstream wants nothing of this
			    entry for so long; 0: it does not say */
	enum direct_limit_notice limit;
	double limit_per_s; /**< requests a second that the upstream takes of
			       all entries; only if it names a limit */
};

/** One piece of a call of stages. */
struct direct_item {
	const char *id; /**< of the request */
	uint32_t stage;
	uint32_t piece;
	int64_t left_us;
	const char *key;	 /**< for a stage without inputs, else NULL */
	const GPtrArray *inputs; /**< handles */
};

enum direct_item_result {
	DIRECT_ITEM_COMPLETED,
	DIRECT_ITEM_LATE,
	DIRECT_ITEM_INPUT_GONE,
	DIRECT_ITEM_NO_RESULT_MEMORY,
	DIRECT_ITEM_FAILED,
	DIRECT_ITEM_LOST, /**< its call broke off: its upstream may have ended
			   */
};

struct direct_item_outcome {
	enum direct_item_result result;
	char *handle; /**< of a made one; the receiver's */
};

/** What an upstream says of its room for results. */
struct direct_result_memory {
	int64_t min_bytes; /**< it has at least so much */
	int64_t max_bytes; /**< and at most so much */
	int64_t born_ms;   /**< when it was started; 0: it does not say */
};

struct direct_codec {
	/** False: it carries no id or a field that cannot be read. */
	bool (*read_request)(const struct http_fields *fields,
			     struct direct_request_info *ask);
	void (*write_request)(const struct direct_upstream_request *offer,
			      struct http_fields *out);
	void (*read_reply)(uint32_t status, const struct http_fields *fields,
			   const char *id, struct direct_reply *reply);
	/** Fields of an answer of our own. `wait_us`: come back after; 0: none.
	 */
	void (*write_refusal)(const char *id, int64_t wait_us,
			      struct http_fields *out);
	/** Path and body of a call for pieces. */
	const char *items_target;
	char *(*write_items)(const struct direct_item *items, uint32_t count);
	/** False unless there is one result for each of `count` items, and
	 * nothing is made then. `*born_ms`: when the upstream says that it was
	 * started; 0: it does not say. */
	bool (*read_items)(const char *body, size_t size,
			   struct direct_item_outcome *made, uint32_t count,
			   int64_t *born_ms);
	/** Path that asks an engine which parts of prompts it has in memory,
	 * and the answer: appended, of struct pool_part. False: it cannot be
	 * read. */
	const char *prefix_cache_target;
	bool (*read_prefix_cache)(const char *body, size_t size, GArray *parts);
	/** Path and body of a call that gives results up. */
	const char *free_target;
	char *(*write_free)(const GPtrArray *handles);
	/** Path of a question about an upstream's room for results, and its
	 * answer. False: not said. */
	const char *result_memory_target;
	bool (*read_result_memory)(const char *body, size_t size,
				   struct direct_result_memory *room);
	/** Fields of these calls. */
	void (*write_call_fields)(const char *upstream,
				  struct http_fields *out);
};

#endif
