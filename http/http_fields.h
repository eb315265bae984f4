/** Header fields of one HTTP message, in the order in which they arrived. */
#ifndef HTTP_FIELDS_H
#define HTTP_FIELDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct http_field {
	char *name;
	char *value;
};

struct http_fields {
	GArray *items; /**< of struct http_field */
};

void http_fields_init(struct http_fields *fields);
void http_fields_clear(struct http_fields *fields);
/** Append a copy of one field. */
void http_fields_add(struct http_fields *fields, const char *name,
		     const char *value);
void http_fields_add_int(struct http_fields *fields, const char *name,
			 int64_t value);
/** The value of the first field with this name, ignoring case, or NULL. */
const char *http_fields_get(const struct http_fields *fields, const char *name);
/**
 * The value as a decimal number from 0 to INT64_MAX / 2, or `fallback` if it is
 * not one or is missing.
 */
int64_t http_fields_get_int(const struct http_fields *fields, const char *name,
			    int64_t fallback);
/** Whether a comma-separated field has this token, ignoring case. */
bool http_fields_has_token(const struct http_fields *fields, const char *name,
			   const char *token);
/**
 * Copy the end-to-end fields: neither hop-by-hop fields (RFC 9110, 7.6.1) nor
 * fields that `Connection` names.
 */
void http_fields_copy_end_to_end(struct http_fields *to,
				 const struct http_fields *from);
/** Memory that the fields take, estimated. */
int64_t http_fields_held_bytes(const struct http_fields *fields);
/** Append the fields to `out`, each with its CR LF. */
void http_fields_print(const struct http_fields *fields, GString *out);

#endif
