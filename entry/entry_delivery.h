/**
 * What the entry holds for a caller, from the head of its request until its
 * answer is written: counts it against the memory of the process, and ends an
 * answer that its caller has not read by the request's deadline.
 *
 * A message has at most one delivery, which ends with it.
 *
 *   linepier_undelivered_total{peer="caller",state="gone"}
 */
#ifndef ENTRY_DELIVERY_H
#define ENTRY_DELIVERY_H

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

struct entry;

/** Set the memory of this process. Requests are refused while they would take
 * what is held for callers over a quarter of it; streams that are under way may
 * exceed that, as they are not made to wait for their callers. */
void entry_delivery_set_memory(struct entry *entry, int64_t memory_bytes);
/** Begin a delivery, for a request whose body has at most so many bytes.
 * Returns false if there is no room: the request is to be refused. */
bool entry_delivery_begin(struct entry *entry, SoupServerMessage *msg,
			  int64_t body_bytes);
/** So many bytes were added to the body of the answer. */
void entry_delivery_add(SoupServerMessage *msg, int64_t bytes);
/** The answer is complete. What the caller has not taken at `deadline_us` of
 * the entry's clock is dropped, and its connection reset. */
void entry_delivery_complete(SoupServerMessage *msg, int64_t deadline_us);

#endif
