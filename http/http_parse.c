#include "http/http_parse.h"

#include <string.h>

static struct http_parse *parse_of(struct http_parser *parser)
{
	return parser->data;
}

static void flush_field(struct http_parse *parse)
{
	if (!parse->in_value)
		return;
	http_fields_add(&parse->fields, parse->name->str, parse->value->str);
	g_string_truncate(parse->name, 0);
	g_string_truncate(parse->value, 0);
	parse->in_value = false;
}

static int on_target(struct http_parser *parser, const char *at, size_t size)
{
	g_string_append_len(parse_of(parser)->target, at, (gssize)size);
	return 0;
}

/* A character of a token (RFC 9110, 5.6.2). */
static bool is_token(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

static int on_name(struct http_parser *parser, const char *at, size_t size)
{
	for (size_t i = 0; i < size; i++)
		if (!is_token(at[i]))
			return -1;
	flush_field(parse_of(parser));
	g_string_append_len(parse_of(parser)->name, at, (gssize)size);
	return 0;
}

static int on_value(struct http_parser *parser, const char *at, size_t size)
{
	parse_of(parser)->in_value = true;
	g_string_append_len(parse_of(parser)->value, at, (gssize)size);
	return 0;
}

static bool is_interim(const struct http_parser *parser)
{
	return parser->type == HTTP_RESPONSE && parser->status_code < 200;
}

/* The body has neither a length nor chunks, so it ends with the connection
 * (RFC 9112, 6.3). */
static bool ends_with_connection(const struct http_parse *parse)
{
	const struct http_parser *parser = &parse->parser;

	if (parser->type != HTTP_RESPONSE || parse->no_body)
		return false;
	if (parser->status_code == 204 || parser->status_code == 304)
		return false;
	return !(parser->flags & F_CHUNKED) &&
	       parser->content_length == UINT64_MAX;
}

static int on_head(struct http_parser *parser)
{
	struct http_parse *parse = parse_of(parser);

	flush_field(parse);
	if (is_interim(parser))
		return 0;
	parse->has_head = true;
	parse->ends_with_connection = ends_with_connection(parse);
	if (parse->head)
		parse->head(parse->userdata);
	return parse->no_body ? 1 : 0;
}

static int on_body(struct http_parser *parser, const char *at, size_t size)
{
	struct http_parse *parse = parse_of(parser);

	if (parse->body)
		parse->body(parse->userdata, at, size);
	return 0;
}

static int on_complete(struct http_parser *parser)
{
	struct http_parse *parse = parse_of(parser);

	if (is_interim(parser)) {
		g_array_set_size(parse->fields.items, 0);
		return 0;
	}
	parse->is_complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const struct http_parser_settings settings = {
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void http_parse_init(struct http_parse *parse, enum http_parser_type type)
{
	memset(parse, 0, sizeof(*parse));
	/* The library's limit is global; head_bytes_max limits each message
	 * instead. */
	http_parser_set_max_header_size(G_MAXINT32);
	http_parser_init(&parse->parser, type);
	parse->parser.data = parse;
	parse->target = g_string_new(NULL);
	parse->name = g_string_new(NULL);
	parse->value = g_string_new(NULL);
	http_fields_init(&parse->fields);
}

void http_parse_clear(struct http_parse *parse)
{
	http_fields_clear(&parse->fields);
	g_string_free(parse->target, TRUE);
	g_string_free(parse->name, TRUE);
	g_string_free(parse->value, TRUE);
}

void http_parse_restart(struct http_parse *parse)
{
	enum http_parser_type type = parse->parser.type;

	http_parser_init(&parse->parser, type);
	g_array_set_size(parse->fields.items, 0);
	g_string_truncate(parse->target, 0);
	g_string_truncate(parse->name, 0);
	g_string_truncate(parse->value, 0);
	parse->in_value = false;
	parse->head_bytes = 0;
	parse->has_head = false;
	parse->is_complete = false;
	parse->ends_with_connection = false;
	parse->last_byte = 0;
}

/* The head is parsed line by line, so that no byte after it is checked as a
 * part of it. */
static size_t next_slice_size(const struct http_parse *parse, const char *bytes,
			      size_t size)
{
	const char *line_end;

	if (parse->has_head)
		return size;
	line_end = memchr(bytes, '\n', size);
	return line_end ? (size_t)(line_end - bytes) + 1 : size;
}

static int check_head(struct http_parse *parse, const char *bytes, size_t size)
{
	char before = size > 1 ? bytes[size - 2] : parse->last_byte;

	if (bytes[size - 1] == '\n' && before != '\r')
		return LP_ERROR_BAD_REQUEST;
	parse->last_byte = bytes[size - 1];
	parse->head_bytes += size;
	if (parse->head_bytes_max && parse->head_bytes > parse->head_bytes_max)
		return LP_ERROR_TOO_LARGE;
	return LP_OK;
}

int http_parse_feed(struct http_parse *parse, const char *bytes, size_t size,
		    size_t *used)
{
	*used = 0;
	while (*used < size && !parse->is_complete) {
		const char *slice = bytes + *used;
		size_t slice_size = next_slice_size(parse, slice, size - *used);
		size_t taken;
		int error = LP_OK;

		if (!parse->has_head)
			error = check_head(parse, slice, slice_size);
		if (error)
			return error;
		taken = http_parser_execute(&parse->parser, &settings, slice,
					    slice_size);
		*used += taken;
		if (parse->is_complete)
			break;
		if (parse->parser.http_errno || parse->parser.upgrade ||
		    taken != slice_size)
			return LP_ERROR_BAD_REQUEST;
	}
	return LP_OK;
}

void http_parse_end(struct http_parse *parse)
{
	if (parse->ends_with_connection && !parse->is_complete)
		http_parser_execute(&parse->parser, &settings, NULL, 0);
}

bool http_parse_keeps_alive(const struct http_parse *parse)
{
	if (parse->parser.http_major != 1 || parse->parser.http_minor != 1)
		return false;
	return !http_fields_has_token(&parse->fields, "Connection", "close");
}
