/**
 * Bytes that connections hold for their peers, and the limit of their sum.
 *
 * Held are requests that are being read or served, answers that their callers
 * have not taken yet, and what is reserved for answers to come. Who holds bytes
 * has a `struct http_holding` and keeps it up to date. The limit holds if new
 * work is refused where http_memory_fits() says no, and if each holder stays
 * within the larger of what it has reserved and http_memory_share().
 */
#ifndef HTTP_MEMORY_H
#define HTTP_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

struct http_memory {
	int64_t limit_bytes; /**< 0: no limit */
	int64_t held_bytes;
};

/** What one holder has of `memory`, which may be NULL: not counted. Its bytes
 * count only as far as they exceed those that it has reserved. */
struct http_holding {
	struct http_memory *memory;
	int64_t reserved_bytes;
	int64_t bytes;
};

/** The holder holds so many bytes more, or fewer. */
void http_holding_add(struct http_holding *holding, int64_t bytes);
/** The holder holds this many bytes now. */
void http_holding_set(struct http_holding *holding, int64_t bytes);
/** Reserve this many bytes in all. */
void http_holding_reserve(struct http_holding *holding, int64_t bytes);
/** Whether so many bytes more may be held. `memory`: may be NULL. */
bool http_memory_fits(const struct http_memory *memory, int64_t bytes);
/** What a single holder may hold: a quarter of what is free of half the limit,
 * within bounds. The other half is left to new work. `memory`: may be NULL. */
int64_t http_memory_share(const struct http_memory *memory, int64_t min_bytes,
			  int64_t max_bytes);

#endif
