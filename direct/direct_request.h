/**
 * One request of a caller, shared by the files that process it:
 * direct_request.c (admission, deadline, local replies), direct_stage_plan.c
 * (its stages), direct_sending.c (sending it to upstreams),
 * direct_stall.c (attempts whose upstreams send nothing),
 * direct_stream_resume.c (streams that have begun and lost their upstream),
 * direct_stream_version.c (the version that may serve a stream).
 *
 * A request is owned by the entry's table of requests from
 * direct_request_begin() on and freed by direct_request_free(). Functions that
 * answer, refuse or abort a request free it.
 */
#ifndef DIRECT_REQUEST_H
#define DIRECT_REQUEST_H

#include "direct/direct_event_stream.h"
#include "direct/direct_placement.h"
#include "direct/direct_private.h"

/** Retry-After of an entry that shuts down: another entry can admit the request
 * at once. */
#define DIRECT_RETRY_AFTER_DRAINING_US (20 * LP_US_PER_MS)
/** Retry-After where no upstream has capacity: a full queue drains within about
 * one call. */
#define DIRECT_RETRY_AFTER_FULL_US (250 * LP_US_PER_MS)
/** Approximate time to the first event of an engine without load. Slower
 * services are accounted for by the learnt estimates. */
#define DIRECT_ENGINE_FIRST_EVENT_US (120 * LP_US_PER_MS)

enum direct_state {
	DIRECT_STATE_STAGES,  /* its pieces are being computed */
	DIRECT_STATE_ORIGIN,  /* lookup of the version that began its stream */
	DIRECT_STATE_PLACING, /* its placer was asked for an engine */
	DIRECT_STATE_SENT,    /* it was sent to an upstream */
};

struct direct_request {
	struct direct *direct;
	struct http_call *call;
	char *id;
	struct direct_config *config;
	const struct direct_route *route;
	const char *service;
	const struct direct_organisation *organisation;
	const char *allowed_regions; /* policy/allowed_regions.h */
	struct direct_request_info info;
	int64_t arrived_us;
	int64_t client_waited_us; /* estimate: in caller's earlier attempts */
	int64_t deadline_us;
	bool is_admitted_late; /* behind all that can be on time */
	int64_t estimated_us;  /* to its first event, at admission, not
				  corrected; 0: not admitted by an estimate */
	int32_t priority;
	uint64_t digest; /* direct_request_digest(); 0: not computed yet */
	struct quarantine_keys quarantine_keys; /* direct_quarantine_keys();
						   none: not computed yet */
	uint32_t trials; /* of its keys, as bits: it is the single run that the
			    quarantine allows */
	bool was_trial;	 /* it is or was a trial, also after it was lost */
	guint deadline_timer;
	guint stall_timer;
	guint placement_timer; /* a resumed stream waits for an engine */
	enum direct_state state;
	/* stages */
	struct graph *graph; /* NULL: the route has no stages */
	uint32_t recomputations;
	uint64_t waiting_stages; /* direct_request_mark_waiting(): bit mask */
	int64_t *requested_us;	 /* per stage: first request for its pieces */
	int64_t *completed_us;	 /* per stage: completion of its last piece */
	/* the sending in progress */
	uint64_t placement_query; /* query to its placer; 0: none */
	struct direct_placement_result placement;
	struct http_exchange *exchange;
	struct pool_upstream *upstream;
	const struct pool_upstream *copy_from; /* borrowed; valid only while the
						  request is written; or NULL */
	int64_t sent_us;
	int64_t expected_us; /* estimate: from sent_us to the first response */
	int64_t cold_tokens; /* prompt tokens that the engine has to read */
	int64_t stalled_us;  /* its upstream has sent nothing for its stall time
				since; 0: it has not */
	bool is_moving; /* another upstream is sought; the state is that of the
			   search, and the sending in progress goes on */
	bool is_upstream_paused;  /* its caller does not keep up */
	bool has_upstream_waited; /* it was paused in this sending */
	bool passes_through;  /* not an event stream, and passed on before its
				 end */
	bool has_split_event; /* one was passed on before its end */
	bool has_long_event_id;
	bool upstream_responded; /* with an event or a complete answer */
	int64_t first_event_us;	 /* first response of all sendings; 0: none yet
				  */
	uint32_t status;
	struct http_fields fields;
	struct direct_reply reply;
	bool ends_with_connection; /* the answer has neither length nor chunks
				    */
	GString *body; /* of an answer; of a stream: an incomplete event */
	struct direct_event_stream event_stream; /* position in it */
	/* totals of all sendings */
	GPtrArray *tried_upstreams; /* ids of upstreams, owned */
	uint32_t possible_runs;	    /* sendings that may have run */
	uint32_t sendings;
	uint32_t lost_sendings; /* sendings lost with their upstream or
				   connection */
	uint32_t left_sendings; /* sendings that were left for another upstream
				 */
	bool may_have_run;
	bool answer_begun;
	/* a stream that has begun, in this answer or an earlier one */
	uint64_t origin_lookup;			       /* 0: none */
	void (*admit)(struct direct_request *request); /* after the lookup */
	bool has_version;     /* only version_id may serve it */
	uint64_t version_id;  /* of its first event; 0: unknown */
	char *stream_version; /* its name, for log lines, or NULL */
	char *last_event_id;
	int64_t last_event_us; /* when it was sent to the caller; of a stream
				  that its caller resumes: arrival of the
				  request; 0: none yet */
	/* a stream that has begun and lost its upstream */
	int64_t resume_began_us; /* 0: it has not, or has continued since */
	guint resume_timer;	 /* ends at the time limit */
};

static inline int64_t
direct_request_now_us(const struct direct_request *request)
{
	return lp_now_us(request->direct->options.clock);
}

/** Whether its stream has begun and lost its upstream, in this answer or in an
 * earlier one that its caller resumes. Its caller waits for the next event,
 * not for the first one. */
static inline bool
direct_request_is_resumed(const struct direct_request *request)
{
	return request->resume_began_us ||
	       (request->is_moving && request->answer_begun) ||
	       (request->has_version && !request->answer_begun);
}

/** Whether it is the trial of its content, the first of its keys. */
static inline bool
direct_request_is_content_trial(const struct direct_request *request)
{
	return request->trials & 1;
}

/* ---- direct_request.c ---- */

/** Free a request and cancel its sending and its stages. Its HTTP call must
 * have been answered, aborted or lost before, unless the entry is destroyed. */
void direct_request_free(struct direct_request *request);
/** Log and count the outcome of a request. `why`: the reason; may be NULL. */
void direct_request_log_end(struct direct_request *request, const char *outcome,
			    uint32_t status, const char *why);
/** Add what tells a resumed stream from other requests to a log line. */
void direct_request_log_resumed(const struct direct_request *request);
/** Answer with a status of this entry's own, and free the request. An answer
 * that has begun is aborted instead. `retry_after_us`: Retry-After; 0: none. */
void direct_request_reply_locally(struct direct_request *request,
				  uint32_t status, int64_t retry_after_us,
				  const char *why);
/** Refuse a request as "not run" (503), or as failed (502) if one of its
 * sendings may have run. An answer that has begun is aborted instead. Frees it.
 * While it is moving, only the move ends, and it stays at its upstream. */
void direct_request_refuse(struct direct_request *request,
			   int64_t retry_after_us, const char *why);
/** Retry-After of a request that this entry cannot serve since it has started:
 * it is not configured, or knows no upstream of a service. */
int64_t direct_request_recovery_wait_us(const struct direct_request *request);
/** Abort an answer that has begun, so that the caller sees it to be incomplete.
 * Frees the request. */
void direct_request_abort(struct direct_request *request, const char *why);

/** Keyed digest of a request: its method, host, target and body, under the
 * caller's key. A repeat of the request has the same digest at every entry, and
 * the digest does not reveal the content. */
uint64_t direct_request_digest(struct direct_request *request);

/** Whether the quarantine allows a request to be sent to an upstream. If not,
 * the request is answered and freed. */
bool direct_request_check_quarantine(struct direct_request *request);
/** The quarantine round to which terminations under pieces of this request
 * count from now on. */
uint32_t direct_request_quarantine_round(struct direct_request *request);
/** Report that a request was lost with its upstream or with the connection to
 * it. */
void direct_request_report_lost(struct direct_request *request);
/** Report that a request was left at a silent upstream: it counts against the
 * request only if the upstream turns out to have terminated. */
void direct_request_report_left(struct direct_request *request);
/** Report that pieces of a request were lost with an upstream or with the
 * connection to it. `round` and `began_us`: direct_request_quarantine_round()
 * and the time at which the pieces were sent. */
void direct_request_report_lost_pieces(struct direct_request *request,
				       const struct pool_upstream *upstream,
				       uint32_t round, int64_t began_us);

/** Estimates of the route of a request; created if there are none. */
struct direct_route_estimates *
direct_request_estimates(const struct direct_request *request);

/* ---- direct_stage_plan.c ---- */

/** Create the graph of the pieces that the stages of a request compute. */
void direct_stage_plan_create(struct direct_request *request);
/** Estimated time of a stage of a request by itself. */
int64_t direct_stage_plan_stage_us(const struct direct_request *request,
				   uint32_t stage);
/** Estimated time from sending a request to an engine until its first event. */
int64_t direct_stage_plan_engine_us(const struct direct_request *request);
/** Record, at the first event of a request, the time since the completion of
 * each of its stages. */
void direct_stage_plan_learn(struct direct_request *request);

/** Whether its stages may be computed once more. */
bool direct_stage_plan_can_recompute(const struct direct_request *request);
/** Least time that the stages whose results the request lacks take without
 * any load. */
int64_t direct_stage_plan_least_us(const struct direct_request *request);

/* ---- direct_stream_version.c ---- */

/** Whether its caller resumes a stream that an earlier answer began. */
bool direct_stream_version_needs_lookup(const struct direct_request *request);
/** Find the version that began the stream that a request resumes, then call
 * `admit`. If the version is unknown or gone, the request is refused and freed
 * instead. */
void direct_stream_version_look_up(
	struct direct_request *request,
	void (*admit)(struct direct_request *request));
/** Cancel the lookup, if any. */
void direct_stream_version_cancel(struct direct_request *request);
/** Whether an upstream may serve the request: any, or one of the version that
 * began its stream. If there is none, it is refused, or its answer aborted, and
 * it is freed. */
bool direct_stream_version_check(struct direct_request *request);

/* ---- direct_stream_resume.c ---- */

/** Start the time limit of a stream that has begun and lost its upstream. */
void direct_stream_resume_begin(struct direct_request *request);
/** A resumed stream has continued, or ends. No effect on other requests.
 * `why`: of an outcome other than "continued"; may be NULL. */
void direct_stream_resume_end(struct direct_request *request,
			      const char *outcome, const char *why);
/** The time by which the next event of a stream that has begun must be sent. */
int64_t direct_stream_resume_limit_us(const struct direct_request *request);
/** Whether a stream that has begun can continue within its time limit. */
bool direct_stream_resume_is_possible(const struct direct_request *request);
/** Whether a request is not a resumed stream, or can still continue in time.
 * If not, its answer is aborted and it is freed. */
bool direct_stream_resume_check(struct direct_request *request);

/* ---- direct_sending.c ---- */

/** Send a request to the best upstream. Handles retries, resumption and the
 * answer, and may free the request. */
void direct_sending_start(struct direct_request *request);
/** Criteria for the selection of its upstream. */
void direct_sending_fill_pick_args(const struct direct_request *request,
				   struct pool_pick_args *pick_args);
/** The state by which is decided whether it is sent again. */
struct retry_state
direct_sending_retry_state(const struct direct_request *request);
/** Take one retry out of the budget of its service. */
bool direct_sending_take_budget(void *userdata);
/** Log the end of a sending and what follows. */
void direct_sending_log_end(struct direct_request *request,
			    enum retry_event event, enum retry_step step,
			    enum retry_obstacle obstacle, const char *why);
/** Perform the step that follows a sending which has ended. May free it. */
void direct_sending_handle_end(struct direct_request *request,
			       enum retry_event event, const char *why);
/** The sending in progress is lost with its upstream or connection. */
void direct_sending_record_lost(struct direct_request *request);
/** The sending may have run, and it is not known to have been answered. */
void direct_sending_note_possible_run(struct direct_request *request);
/** End the sending in progress, if any, and report `outcome` of its upstream to
 * the pool. */
void direct_sending_end(struct direct_request *request,
			enum pool_outcome outcome);

/* ---- direct_stall.c ---- */

/** The upstream of the sending in progress has sent something, or nothing yet:
 * start its stall time (policy/stall.h). It does not run while the upstream is
 * paused. */
void direct_stall_watch(struct direct_request *request);
/** The sending in progress ends with this outcome of its upstream: so does its
 * stall. */
void direct_stall_end(struct direct_request *request,
		      enum pool_outcome outcome);
/** End the search for another upstream, if any; the sending in progress goes
 * on. */
void direct_stall_stay(struct direct_request *request);
/** If it is moving, end the sending in progress, as it is sent to another
 * upstream now. */
void direct_stall_leave(struct direct_request *request);

#endif
