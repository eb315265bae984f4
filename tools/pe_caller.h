/**
 * The header of a caller's request on the users' platform, for tools that stand
 * for callers.
 */
#ifndef PE_CALLER_H
#define PE_CALLER_H

#include "http/http_fields.h"

#include <stdint.h>

/** Strings are borrowed; NULL and 0: the field is left out. */
struct pe_caller_request {
	const char *attempt; /**< id of this attempt */
	const char *key;     /**< of its organisation */
	int64_t timeout_ms;  /**< how long the caller waits */
	const char *tokens;  /**< "IN,OUT" */
	const char *prompt;  /**< its parts: "ID:TOKENS,..." */
	const char *pieces;  /**< of each stage: "N,N" */
	const char *piece_key;
	const char *resumed_attempt; /**< that began the stream */
	const char *last_event;	     /**< of that stream */
};

void pe_caller_write(const struct pe_caller_request *request,
		     struct http_fields *out);

#endif
