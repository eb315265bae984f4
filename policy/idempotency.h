/**
 * An entry's memory of idempotency keys that it owns.
 *
 * A key has one owner: the entry whose incarnation a ticket names, or whose
 * claim stands in the KV. What this memory says is therefore final: a key is
 * run at most once, a second try gets the first's answer, and a first try
 * that certainly did not run leaves the key free. When full it refuses new
 * keys; it never forgets one before its time.
 */
#ifndef IDEMPOTENCY_H
#define IDEMPOTENCY_H

#include "base/lp_clock.h"
#include "base/lp_error.h"

#include <stddef.h>

struct idempotency_keys;

/** How the first request with a key ended. */
struct idempotency_answer {
	int error;
	enum lp_run run;
	const char *body;
};

enum idempotency_verdict {
	IDEMPOTENCY_NEW,      /**< run it, then call idempotency_finish() */
	IDEMPOTENCY_WAIT,     /**< it runs; the waiter is called when it ends */
	IDEMPOTENCY_ANSWERED, /**< here is the first's answer */
	IDEMPOTENCY_MISMATCH, /**< the key was used for another request */
	IDEMPOTENCY_FULL,     /**< no memory left for new keys */
};

struct idempotency_options {
	const struct lp_clock *clock;
	int64_t result_ttl_us; /**< after the answer */
	size_t bytes_max;      /**< keys and answers together; 0: 4 MiB */
	/** The first ended, or the waiter's own deadline has passed. */
	void (*wake)(void *userdata, void *waiter,
		     const struct idempotency_answer *answer);
	void *userdata;
};

struct idempotency_keys *
idempotency_create(const struct idempotency_options *options);
void idempotency_destroy(struct idempotency_keys *keys);
/** A request with a key. */
struct idempotency_request {
	const char *key;
	uint64_t fingerprint; /**< a hash of what is asked */
	int64_t deadline_us;  /**< a waiter is woken then at the latest */
	void *waiter;
};

/** On IDEMPOTENCY_ANSWERED `answer` is borrowed until the next call. */
enum idempotency_verdict
idempotency_begin(struct idempotency_keys *keys,
		  const struct idempotency_request *request,
		  struct idempotency_answer *answer);
/** The first request ended: wake the waiters, keep or free the key. */
void idempotency_finish(struct idempotency_keys *keys, const char *key,
			const struct idempotency_answer *answer);
/** A waiter is gone. */
void idempotency_remove_waiter(struct idempotency_keys *keys, void *waiter);
/** Wake waiters past their deadline; forget what is past its time. */
void idempotency_tick(struct idempotency_keys *keys);
uint32_t idempotency_record_count(const struct idempotency_keys *keys);

/* ---- tickets: keys that name their owner ---- */

/** A parsed ticket. */
struct idempotency_ticket {
	char *host;
	uint64_t incarnation;
	int64_t expires_s; /**< wall clock */
};

/** Mint a ticket; g_free(). */
char *idempotency_ticket_create(const char *host, uint64_t incarnation,
				int64_t expires_s);
/** Is this key a ticket? If so fill `out`; free out->host. */
bool idempotency_ticket_parse(const char *key, struct idempotency_ticket *out);

#endif
