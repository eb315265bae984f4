/**
 * Parses HTTP/1.1 messages, one at a time, from a stream of bytes, with the
 * library http-parser.
 *
 * It is stricter than the library in three points, which the next receiver of a
 * message might parse differently (request smuggling): each line of the head
 * must end with CR LF, a field's name must be a token, without a space before
 * its colon, and an answer's status must be three digits from 100 to 599.
 *
 * Everything but the body is limited here; the body is passed on, and limited
 * by who keeps it. Trailer fields are discarded (RFC 9110, 6.5.1).
 */
#ifndef HTTP_PARSE_H
#define HTTP_PARSE_H

#include "base/lp_error.h"
#include "http/http_fields.h"

#include <http_parser.h>

/** Default of `head_bytes_max`. */
#define HTTP_HEAD_BYTES_MAX 65536
/** Limit of the number of fields of a message: each of them takes memory beyond
 * its bytes. */
#define HTTP_FIELDS_MAX 1000

enum http_part {
	/** A request's head, or an answer's with the interim answers before it.
	 */
	HTTP_PART_HEAD,
	HTTP_PART_FIELDS, /**< their number */
	/** The line of a chunk, or the trailer section. */
	HTTP_PART_FRAMING,
	HTTP_PART_BODY,
};

/** A part of a message that is larger than allowed. */
struct http_excess {
	enum http_part part;
	int64_t received; /**< when it was rejected: bytes, or fields */
	int64_t limit;
};

/** "head", "fields", "framing" or "body". */
const char *http_part_name(enum http_part part);

struct http_parse {
	struct http_parser parser;
	struct http_fields fields;
	GString *target; /**< request target */
	/** Of the head, and of each part of the framing after it. */
	size_t head_bytes_max;
	/** Set if http_parse_feed() has returned LP_ERROR_TOO_LARGE. */
	struct http_excess excess;
	bool has_head;
	bool is_complete;
	/** Response only: the body ends when the connection is closed. */
	bool ends_with_connection;
	/** Response only: it answers HEAD, so no body follows. */
	bool no_body;
	void (*head)(void *userdata);
	void (*body)(void *userdata, const char *bytes, size_t size);
	void *userdata;
	/* private */
	GString *name;
	GString *value;
	bool in_value;
	char last_byte;
	size_t line_bytes;    /* of the line of the head that is parsed */
	bool has_status_line; /* response only */
	size_t head_bytes;
	size_t framing_bytes;	   /* since the last byte of the body */
	const char *framing_start; /* of those in the slice that is parsed */
};

/** `type`: HTTP_REQUEST or HTTP_RESPONSE. Set the callbacks afterwards. */
void http_parse_init(struct http_parse *parse, enum http_parser_type type);
void http_parse_clear(struct http_parse *parse);
/** Prepare for the next message of the same connection. */
void http_parse_restart(struct http_parse *parse);
/**
 * Parse bytes until the message is complete. `*used` bytes were consumed; the
 * rest belongs to the next message.
 *
 * Returns LP_OK, LP_ERROR_BAD_REQUEST (not valid HTTP) or LP_ERROR_TOO_LARGE
 * (see `excess`).
 */
int http_parse_feed(struct http_parse *parse, const char *bytes, size_t size,
		    size_t *used);
/**
 * The peer closed the connection in order: completes a body that ends with it.
 */
void http_parse_end(struct http_parse *parse);
/** Memory that the fields and the unfinished head take, estimated. */
int64_t http_parse_held_bytes(const struct http_parse *parse);
/** Whether the connection may be reused after the message. */
bool http_parse_keeps_alive(const struct http_parse *parse);

#endif
