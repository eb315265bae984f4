/**
 * Parses HTTP/1.1 messages, one at a time, from a stream of bytes, with the
 * library http-parser.
 *
 * It is stricter than the library in two points, which the next receiver of a
 * message might parse differently (request smuggling): each line of the head
 * must end with CR LF, and a field's name must be a token, without a space
 * before its colon.
 */
#ifndef HTTP_PARSE_H
#define HTTP_PARSE_H

#include "base/lp_error.h"
#include "http/http_fields.h"

#include <http_parser.h>

struct http_parse {
	struct http_parser parser;
	struct http_fields fields;
	GString *target; /**< request target */
	size_t head_bytes;
	size_t head_bytes_max; /**< 0: no limit */
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
 * (head).
 */
int http_parse_feed(struct http_parse *parse, const char *bytes, size_t size,
		    size_t *used);
/**
 * The peer closed the connection in order: completes a body that ends with it.
 */
void http_parse_end(struct http_parse *parse);
/** Whether the connection may be reused after the message. */
bool http_parse_keeps_alive(const struct http_parse *parse);

#endif
