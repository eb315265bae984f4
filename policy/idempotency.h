/**
 * Idempotency keys: an entry's records of the keys that it owns.
 *
 * A key has one owner: the entry whose incarnation is named in a ticket, or
 * whose claim is stored in the KV. The owner's records are therefore
 * authoritative: a request with a key runs at most once, a duplicate gets the
 * answer of the first request, and a first request that certainly did not run
 * frees the key. New keys are refused when the memory limit is reached; records
 * are never dropped before they expire. Times are in microseconds.
 */
#ifndef IDEMPOTENCY_H
#define IDEMPOTENCY_H

#include "base/lp_clock.h"
#include "base/lp_error.h"

#include <stddef.h>

struct idempotency_keys;

/** The result of the first request with a key. */
struct idempotency_answer {
	int error;
	enum lp_run run;
	const char *body;
};

enum idempotency_verdict {
	IDEMPOTENCY_NEW,      /**< run it, then call idempotency_finish() */
	IDEMPOTENCY_WAIT,     /**< it runs; wake() follows */
	IDEMPOTENCY_ANSWERED, /**< the first request has ended */
	IDEMPOTENCY_MISMATCH, /**< the key belongs to another request */
	IDEMPOTENCY_FULL,     /**< the memory limit is reached */
};

struct idempotency_options {
	const struct lp_clock *clock;
	int64_t result_ttl_us; /**< retention of answers */
	size_t bytes_max;      /**< limit on all records; 0: 4 MiB */
	/** The first request ended, or the waiter's deadline passed. */
	void (*wake)(void *userdata, void *waiter,
		     const struct idempotency_answer *answer);
	void *userdata;
};

struct idempotency_keys *
idempotency_create(const struct idempotency_options *options);
void idempotency_destroy(struct idempotency_keys *keys);
/** A request with an idempotency key. */
struct idempotency_request {
	const char *key;
	uint64_t fingerprint; /**< hash of the request's content */
	int64_t deadline_us;  /**< when a waiter is woken at the latest */
	void *waiter;	      /**< passed to wake() */
};

/**
 * Begin a request. On IDEMPOTENCY_ANSWERED `answer` is filled, with strings
 * borrowed until the next call.
 */
enum idempotency_verdict
idempotency_begin(struct idempotency_keys *keys,
		  const struct idempotency_request *request,
		  struct idempotency_answer *answer);
/** End the first request: wake waiters, store its answer or free the key. */
void idempotency_finish(struct idempotency_keys *keys, const char *key,
			const struct idempotency_answer *answer);
/** Remove a waiter without waking it. */
void idempotency_remove_waiter(struct idempotency_keys *keys, void *waiter);
/** Wake waiters past their deadline; drop expired records. */
void idempotency_tick(struct idempotency_keys *keys);
uint32_t idempotency_record_count(const struct idempotency_keys *keys);

/* ---- tickets: keys minted by an entry, which name it as their owner ---- */

/** A parsed ticket. */
struct idempotency_ticket {
	char *host;
	uint64_t incarnation;
	int64_t expires_s; /**< wall clock */
};

/** Create a ticket; free with g_free(). */
char *idempotency_ticket_create(const char *host, uint64_t incarnation,
				int64_t expires_s);
/** Parse a ticket; false if the key is none. Free out->host with g_free(). */
bool idempotency_ticket_parse(const char *key, struct idempotency_ticket *out);

#endif
