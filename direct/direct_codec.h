/**
 * Translation between typed values and the wire format of one deployment,
 * header fields and bodies, implemented by the adapter of an entry that calls
 * upstreams directly. The callbacks only translate: they make no decisions and
 * do not block. Times are in microseconds unless a name says otherwise.
 */
#ifndef DIRECT_CODEC_H
#define DIRECT_CODEC_H

#include "http/http_fields.h"
#include "policy/pool.h"

/** Header of a caller's request. Strings are borrowed from its fields. */
struct direct_request_info {
	const char *id; /**< of this attempt of the caller; NULL only if
			   unreadable */
	const char *host;
	const char
		*organisation_key; /**< API key of the organisation, or NULL */
	int64_t timeout_us;    /**< how long the caller waits; 0: not given */
	GArray *prefix_blocks; /**< of struct pool_prefix_block; owned by the
				  request */
	int64_t tokens_in;
	int64_t tokens_out;
	GArray *pieces; /**< of uint32_t: number of pieces of each stage; owned
			   by the request */
	const char *piece_key; /**< input of stages without inputs from other
				  stages, or NULL */
	const char *last_event_id;   /**< the caller resumes a stream after this
					event, or NULL */
	const char *resumed_attempt; /**< id of the caller's attempt that
					delivered the stream's first event, or
					NULL */
};

/** Header of a request that is sent to an upstream. All members are borrowed.
 */
struct direct_upstream_request {
	const struct http_fields *caller_fields; /**< the caller's fields */
	const char *upstream; /**< id of the only upstream that may run it */
	const char *organisation;  /**< or NULL */
	int64_t time_left_us;	   /**< until its deadline */
	int32_t priority;	   /**< 0 is the most urgent */
	const GPtrArray *inputs;   /**< handles of stage results, or NULL */
	const char *last_event_id; /**< resume after this event, or NULL */
	const char
		*copy_from; /**< address of an engine that has a longer prefix
			     * of the prompt in its prefix cache, or NULL */
};

/** Whether an answer advertises a rate limit of its upstream. */
enum direct_limit_notice {
	DIRECT_LIMIT_NONE,
	DIRECT_LIMIT_ADVERTISED,
	DIRECT_LIMIT_UNREADABLE,
};

/** Header of an upstream's answer. */
struct direct_reply {
	bool is_success;
	bool matches_request;	/**< it belongs to the request that was sent */
	bool has_upstream_seal; /**< it has the header field by which upstreams
				   mark their answers */
	bool not_run; /**< the upstream guarantees that the request did not run
		       */
	bool other_process; /**< a different process uses the address now */
	bool input_gone; /**< stage results that it needs are no longer held */
	bool is_event_stream; /**< the body is a stream of events */
	int32_t running; /**< requests or calls running there; negative: unknown
			  */
	int32_t waiting; /**< requests or calls queued there; negative: unknown
			  */
	int32_t work_time_percent; /**< how long work takes there at present, in
				      per cent of the usual time; 0: not given
				    */
	bool draining; /**< drain notice: send nothing new to the upstream */
	int64_t pushback_us; /**< pushback (Retry-After): a refusal asks this
				entry to send nothing for this time; 0: none */
	enum direct_limit_notice limit;
	double limit_per_s; /**< requests a second that the upstream accepts
			     * from all entries together; valid for
			     * DIRECT_LIMIT_ADVERTISED */
};

/** One piece in a call to a stage's upstream. */
struct direct_item {
	const char *id; /**< id of its request */
	uint32_t stage;
	uint32_t piece;
	int64_t time_left_us; /**< until the result is of no use */
	const char *key; /**< input of a stage without inputs from other stages,
			    else NULL */
	const GPtrArray *inputs; /**< handles of stage results */
};

enum direct_item_result {
	DIRECT_ITEM_COMPLETED,
	DIRECT_ITEM_LATE,
	DIRECT_ITEM_INPUT_GONE,
	DIRECT_ITEM_NO_RESULT_MEMORY,
	DIRECT_ITEM_FAILED,
	DIRECT_ITEM_LOST, /**< its call failed: the upstream may have terminated
			   */
};

struct direct_item_outcome {
	enum direct_item_result result;
	char *handle; /**< of a completed piece, else NULL; owned by the
			 receiver */
};

/** Free result memory of an upstream, as reported by it. */
struct direct_result_memory {
	int64_t min_bytes; /**< lower bound of it */
	int64_t max_bytes; /**< upper bound of it */
	int64_t born_ms;   /**< start time of the upstream; 0: unknown */
};

struct direct_codec {
	/** Read a caller's request. Returns false if it has no id, or a field
	 * that is malformed. */
	bool (*read_request)(const struct http_fields *fields,
			     struct direct_request_info *info);
	void (*write_request)(const struct direct_upstream_request *request,
			      struct http_fields *out);
	void (*read_reply)(uint32_t status, const struct http_fields *fields,
			   const char *id, struct direct_reply *reply);
	/** Write the fields of a local reply. `retry_after_us`: Retry-After; 0:
	 * none. */
	void (*write_refusal)(const char *id, int64_t retry_after_us,
			      struct http_fields *out);
	/** Path and body of a call that computes pieces. */
	const char *items_target;
	char *(*write_items)(const struct direct_item *items, uint32_t count);
	/** Read the answer of such a call into `outcomes`, of `count` items.
	 * Returns false, and no outcome is valid, unless the answer has one
	 * result for each item. `*born_ms`: start time of the upstream as
	 * reported by it; 0: unknown. */
	bool (*read_items)(const char *body, size_t size,
			   struct direct_item_outcome *outcomes, uint32_t count,
			   int64_t *born_ms);
	/** Path that queries which prefix blocks an engine has in its prefix
	 * cache, and its answer, appended to `blocks` (of struct
	 * pool_prefix_block). Returns false if the answer is malformed. */
	const char *prefix_cache_target;
	bool (*read_prefix_cache)(const char *body, size_t size,
				  GArray *blocks);
	/** Path and body of a call that frees results. */
	const char *free_target;
	char *(*write_free)(const GPtrArray *handles);
	/** Path that queries an upstream's free result memory, and its answer.
	 * Returns false if the answer does not report it. */
	const char *result_memory_target;
	bool (*read_result_memory)(const char *body, size_t size,
				   struct direct_result_memory *memory);
	/** Write the fields of the calls above. */
	void (*write_call_fields)(const char *upstream,
				  struct http_fields *out);
};

#endif
