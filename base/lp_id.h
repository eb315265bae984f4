/**
 * Identifiers: of a process's incarnation, of a request, of one call.
 *
 * A call id is 128 bits: the entry (host hash and incarnation), the
 * request's serial there, the stage and the attempt. Two calls never share
 * an id, so an answer belongs to the call whose id it carries, and to none
 * other.
 */
#ifndef LP_ID_H
#define LP_ID_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Bytes of a printed request id with its terminator. */
#define LP_REQUEST_ID_SIZE 26

struct lp_call_id {
	uint64_t entry;	 /**< host hash (high half), incarnation (low half) */
	uint32_t serial; /**< of the request at that entry */
	uint16_t stage;
	uint16_t attempt;
};

/** Random number from the system, never 0. */
uint64_t lp_random_u64(void);
/** Stable 64-bit hash of a string. */
uint64_t lp_hash_str(const char *str);
/** Stable 64-bit hash of two numbers. */
uint64_t lp_hash_pair(uint64_t a, uint64_t b);
/** The `entry` half of ids made by a process of this host. */
uint64_t lp_entry_tag(const char *host, uint32_t incarnation);
/** The high half of lp_entry_tag(): names the host in a request id. */
uint32_t lp_host_hash(const char *host);

/** GHashTable functions over struct lp_call_id. */
guint lp_call_id_hash(gconstpointer id);
gboolean lp_call_id_equal(gconstpointer a, gconstpointer b);

/** Print the request part of an id; out has LP_REQUEST_ID_SIZE bytes. */
void lp_request_id_format(const struct lp_call_id *id, char *out);
/** Parse a printed request id. Stage and attempt become 0. */
bool lp_request_id_parse(const char *str, struct lp_call_id *out);

#endif
