#include "http/http_parse.h"

#include <string.h>

static struct http_parse *parse_of(struct http_parser *parser)
{
	return parser->data;
}

/* A field's entry in the list, and the headers of its two allocations. */
#define FIELD_OVERHEAD_BYTES ((int64_t)48)
#define KEPT_TEXT_BYTES_MAX 1024

const char *http_part_name(enum http_part part)
{
	static const char *const names[] = {
		[HTTP_PART_HEAD] = "head",
		[HTTP_PART_FIELDS] = "fields",
		[HTTP_PART_FRAMING] = "framing",
		[HTTP_PART_BODY] = "body",
	};

	return names[part];
}

static bool is_within(struct http_parse *parse, enum http_part part,
		      size_t received, size_t limit)
{
	if (received <= limit)
		return true;
	parse->excess = (struct http_excess){
		.part = part,
		.received = (int64_t)received,
		.limit = (int64_t)limit,
	};
	return false;
}

static bool flush_field(struct http_parse *parse)
{
	if (!parse->in_value)
		return true;
	http_fields_add(&parse->fields, parse->name->str, parse->value->str);
	g_string_truncate(parse->name, 0);
	g_string_truncate(parse->value, 0);
	parse->in_value = false;
	return is_within(parse, HTTP_PART_FIELDS, parse->fields.items->len,
			 HTTP_FIELDS_MAX);
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
	struct http_parse *parse = parse_of(parser);

	for (size_t i = 0; i < size; i++)
		if (!is_token(at[i]))
			return -1;
	if (parse->has_head)
		return 0;
	if (!flush_field(parse))
		return -1;
	g_string_append_len(parse->name, at, (gssize)size);
	return 0;
}

static int on_value(struct http_parser *parser, const char *at, size_t size)
{
	struct http_parse *parse = parse_of(parser);

	if (parse->has_head)
		return 0;
	parse->in_value = true;
	g_string_append_len(parse->value, at, (gssize)size);
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

	if (!flush_field(parse))
		return -1;
	if (is_interim(parser))
		return 0;
	parse->has_head = true;
	parse->ends_with_connection = ends_with_connection(parse);
	if (parse->head)
		parse->head(parse->userdata);
	return parse->no_body ? 1 : 0;
}

/* Counts the bytes up to `end` that are not of the body. */
static bool count_framing(struct http_parse *parse, const char *end)
{
	parse->framing_bytes += (size_t)(end - parse->framing_start);
	return is_within(parse, HTTP_PART_FRAMING, parse->framing_bytes,
			 parse->head_bytes_max);
}

static int on_body(struct http_parser *parser, const char *at, size_t size)
{
	struct http_parse *parse = parse_of(parser);

	if (!count_framing(parse, at))
		return -1;
	parse->framing_bytes = 0;
	parse->framing_start = at + size;
	if (parse->body)
		parse->body(parse->userdata, at, size);
	return 0;
}

static void expect_status_line(struct http_parse *parse)
{
	parse->line_bytes = 0;
	parse->has_status_line = false;
}

static int on_complete(struct http_parser *parser)
{
	struct http_parse *parse = parse_of(parser);

	if (is_interim(parser)) {
		g_array_set_size(parse->fields.items, 0);
		expect_status_line(parse);
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
	parse->head_bytes_max = HTTP_HEAD_BYTES_MAX;
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

/* A connection that waits for its next message keeps no large buffer. */
static void clear_text(GString **text)
{
	if ((*text)->allocated_len > KEPT_TEXT_BYTES_MAX) {
		g_string_free(*text, TRUE);
		*text = g_string_new(NULL);
	}
	g_string_truncate(*text, 0);
}

void http_parse_restart(struct http_parse *parse)
{
	enum http_parser_type type = parse->parser.type;

	http_parser_init(&parse->parser, type);
	g_array_set_size(parse->fields.items, 0);
	clear_text(&parse->target);
	clear_text(&parse->name);
	clear_text(&parse->value);
	parse->in_value = false;
	expect_status_line(parse);
	parse->head_bytes = 0;
	parse->framing_bytes = 0;
	parse->excess = (struct http_excess){ 0 };
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

/* "HTTP/1.1 200 OK": the position of the status. */
#define STATUS_AT 9
#define STATUS_DIGITS 3

/* Whether a byte of an answer's status line may stand there. The library takes
 * any number of up to three significant digits for the status. */
static bool is_valid_in_status_line(size_t at, char byte)
{
	if (at == STATUS_AT)
		return byte >= '1' && byte <= '5';
	if (at < STATUS_AT + STATUS_DIGITS)
		return at < STATUS_AT || g_ascii_isdigit(byte);
	return at > STATUS_AT + STATUS_DIGITS || byte == ' ' || byte == '\r';
}

/* Checks a slice that is a line of the head, or a part of one. */
static bool check_status_line(struct http_parse *parse, const char *bytes,
			      size_t size)
{
	bool is_empty =
		!parse->line_bytes && (bytes[0] == '\r' || bytes[0] == '\n');

	if (parse->has_status_line || is_empty)
		return true;
	for (size_t i = 0; i < size; i++)
		if (!is_valid_in_status_line(parse->line_bytes + i, bytes[i]))
			return false;
	parse->line_bytes += size;
	parse->has_status_line = bytes[size - 1] == '\n';
	return true;
}

static int check_head(struct http_parse *parse, const char *bytes, size_t size)
{
	char before = size > 1 ? bytes[size - 2] : parse->last_byte;

	if (bytes[size - 1] == '\n' && before != '\r')
		return LP_ERROR_BAD_REQUEST;
	if (parse->parser.type == HTTP_RESPONSE &&
	    !check_status_line(parse, bytes, size))
		return LP_ERROR_BAD_REQUEST;
	parse->last_byte = bytes[size - 1];
	parse->head_bytes += size;
	return is_within(parse, HTTP_PART_HEAD, parse->head_bytes,
			 parse->head_bytes_max)
		       ? LP_OK
		       : LP_ERROR_TOO_LARGE;
}

/* Parses a slice that is a part of the head or lies behind it. */
static int parse_slice(struct http_parse *parse, const char *bytes, size_t size,
		       size_t *taken)
{
	bool had_head = parse->has_head;

	parse->framing_start = bytes;
	*taken = http_parser_execute(&parse->parser, &settings, bytes, size);
	if (had_head && !parse->excess.limit)
		count_framing(parse, bytes + *taken);
	if (parse->excess.limit)
		return LP_ERROR_TOO_LARGE;
	if (!parse->is_complete && (parse->parser.http_errno ||
				    parse->parser.upgrade || *taken != size))
		return LP_ERROR_BAD_REQUEST;
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
		error = parse_slice(parse, slice, slice_size, &taken);
		if (error)
			return error;
		*used += taken;
	}
	return LP_OK;
}

void http_parse_end(struct http_parse *parse)
{
	if (parse->ends_with_connection && !parse->is_complete)
		http_parser_execute(&parse->parser, &settings, NULL, 0);
}

int64_t http_parse_held_bytes(const struct http_parse *parse)
{
	return (int64_t)parse->head_bytes +
	       FIELD_OVERHEAD_BYTES * parse->fields.items->len;
}

bool http_parse_keeps_alive(const struct http_parse *parse)
{
	if (parse->parser.http_major != 1 || parse->parser.http_minor != 1)
		return false;
	return !http_fields_has_token(&parse->fields, "Connection", "close");
}
