/**
 * One request of a caller, as the files that carry it through its life share
 * it: direct_request.c (from the door to the answer), direct_prepare.c (its
 * stages), direct_sending.c (to an upstream and back).
 */
#ifndef DIRECT_REQUEST_H
#define DIRECT_REQUEST_H

#include "direct/direct_placement.h"
#include "direct/direct_private.h"

/** An entry that ends: another takes the request as soon as it is asked. */
#define DIRECT_WAIT_ELSEWHERE_US (20 * LP_US_PER_MS)
/** One that has just started is configured within about 100 ms. */
#define DIRECT_WAIT_START_US (100 * LP_US_PER_MS)
/** A queue that is full empties within about a call. */
#define DIRECT_WAIT_FULL_US (250 * LP_US_PER_MS)
/** A first event at an engine without load, about; slowness is learnt. */
#define DIRECT_ENGINE_FIRST_US (120 * LP_US_PER_MS)

enum direct_state {
	DIRECT_STATE_STAGES, /* pieces are being made */
	DIRECT_STATE_PLACED, /* a peer is asked where it goes */
	DIRECT_STATE_SENT,   /* an upstream has it */
};

struct direct_request {
	struct direct *direct;
	struct http_call *call;
	char *id;
	struct direct_config *config;
	const struct direct_route *route;
	const char *service;
	const struct direct_organisation *organisation;
	const char *homes; /* regions that may have it: policy/homes.h */
	struct direct_ask ask;
	int64_t arrived_us;
	int64_t waited_us; /* in earlier tries, about */
	int64_t give_up_us;
	int32_t priority;
	uint64_t digest; /* of its content; 0: not asked for yet */
	bool is_try;	 /* the only one of its content that may go */
	bool was_try;	 /* ... or was, before it was lost */
	guint give_up_timer;
	guint stall_timer;
	enum direct_state state;
	/* stages */
	struct graph *graph; /* NULL: none */
	uint32_t remakes;
	int64_t *asked_us; /* a stage: when its pieces were asked for first */
	int64_t *made_us;  /* and when the last of them was made */
	/* the sending under way */
	uint64_t question; /* to its placer; 0: none */
	struct direct_placement_result place;
	struct http_exchange *exchange;
	struct pool_upstream *upstream;
	const struct pool_upstream *copy_from; /* only while it is sent; or
						  NULL */
	int64_t sent_us;
	uint32_t round; /* direct_request_round() then */
	int64_t expected_us;
	int64_t cold_tokens;
	bool heard;	  /* an event, or the head of another answer */
	int64_t first_us; /* when that came first, of all sendings; 0: not yet
			   */
	uint32_t status;
	struct http_fields fields;
	struct direct_reply reply;
	bool unframed;
	GString *body; /* of an answer; of a stream: what is no event yet */
	/* over all sendings */
	GPtrArray *tried; /* ids, owned */
	uint32_t runs;
	uint32_t moves;
	uint32_t losses; /* sendings that were lost */
	bool may_have_run;
	bool begun;
	char *last_event_id;
};

static inline int64_t
direct_request_now_us(const struct direct_request *request)
{
	return lp_now_us(request->direct->options.clock);
}

/* ---- direct_request.c ---- */

/** Free it; whatever is under way for it ends. Its call must be over. */
void direct_request_free(struct direct_request *request);
/** The line of its end; counts it. `why` may be NULL. */
void direct_request_log_end(struct direct_request *request, const char *outcome,
			    uint32_t status, const char *why);
/** An answer of our own, at once. `wait_us`: come back after; 0: not told. */
void direct_request_answer_own(struct direct_request *request, uint32_t status,
			       int64_t wait_us, const char *why);
/** Refuse as "not run", or as failed if something sent may have run. */
void direct_request_refuse(struct direct_request *request, int64_t wait_us,
			   const char *why);
/** End a begun answer so that it is seen to be cut. */
void direct_request_cut(struct direct_request *request, const char *why);

/** A keyed digest of what a caller would send again: caller, path and body. It
 * is the same at all entries and in all tries, and tells nothing of them. */
uint64_t direct_request_digest(struct direct_request *request);

/** Whether it may go to an upstream. If not, it is answered and freed. */
bool direct_request_passes(struct direct_request *request);
/** The round of ends to which those under it would belong from now on. */
uint32_t direct_request_round(struct direct_request *request);
/** It, or pieces of it, were lost with an upstream or with the way there.
 * `round` and `began_us`: direct_request_round() and the time when it was sent.
 */
void direct_request_lost(struct direct_request *request,
			 const struct pool_upstream *upstream, uint32_t round,
			 int64_t began_us);

/** What is learnt of its route. */
struct direct_learnt *
direct_request_learnt(const struct direct_request *request);

/* ---- direct_prepare.c ---- */

/** Set up what its stages have to make. */
void direct_prepare_create(struct direct_request *request);
/** Time of the engine until its first event, about. */
int64_t direct_prepare_engine_us(const struct direct_request *request);
/** Its first event has come: how long it took from each of its stages. */
void direct_prepare_learn(struct direct_request *request);

/* ---- direct_sending.c ---- */

/** Send it to the best upstream; what follows is decided there. */
void direct_sending_start(struct direct_request *request);
/** End the sending under way, if any; `outcome` is learnt of the upstream. */
void direct_sending_leave(struct direct_request *request,
			  enum pool_outcome outcome);

#endif
