/**
 * One HTTP/1.1 message at a time out of a stream of bytes, by http-parser.
 *
 * Stricter than the library in two points, where a receiver behind us might
 * read otherwise: a line of the head ends with CR LF, and the name of a field
 * is a token, with no space before its colon.
 */
#ifndef HTTP_PARSE_H
#define HTTP_PARSE_H

#include "base/lp_error.h"
#include "http/http_fields.h"

#include <http_parser.h>

struct http_parse {
	struct http_parser parser;
	struct http_fields fields;
	GString *target; /**< of a request */
	size_t head_bytes;
	size_t head_bytes_max; /**< 0: no limit */
	bool has_head;
	bool is_complete;
	/** Of a response: its body ends with the connection. */
	bool ends_with_connection;
	/** Of a response to HEAD: no body follows. */
	bool no_body;
	void (*head)(void *userdata);
	void (*body)(void *userdata, const char *bytes, size_t size);
	void *userdata;
	/* private */
	GString *name;
	GString *value;
	bool in_value;
	char last;
};

/** `type`: HTTP_REQUEST or HTTP_RESPONSE. The callbacks are set after it. */
void http_parse_init(struct http_parse *parse, enum http_parser_type type);
void http_parse_clear(struct http_parse *parse);
/** Begin the next message of the same connection. */
void http_parse_restart(struct http_parse *parse);
/**
 * Feed bytes until the message is complete. `*used` bytes were taken; those
 * beyond belong to what follows.
 *
 * Returns LP_OK, LP_ERROR_BAD_REQUEST (no HTTP) or LP_ERROR_TOO_LARGE (head).
 */
int http_parse_feed(struct http_parse *parse, const char *bytes, size_t size,
		    size_t *used);
/** The connection ended in order: completes a body that ends with it. */
void http_parse_end(struct http_parse *parse);
/** Whether the message lets its connection stand. */
bool http_parse_keeps_alive(const struct http_parse *parse);

#endif
