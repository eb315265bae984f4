#include "http/http_fields.h"

#include <string.h>

static const char *const hop_by_hop_names[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
	"Expect",
	"Proxy-Authenticate",
	"Proxy-Authorization",
};

/* The headers of a field's two allocations. */
#define ALLOCATION_BYTES 32

static void clear_field(gpointer data)
{
	struct http_field *field = data;

	g_free(field->name);
	g_free(field->value);
}

void http_fields_init(struct http_fields *fields)
{
	fields->items = g_array_new(FALSE, FALSE, sizeof(struct http_field));
	g_array_set_clear_func(fields->items, clear_field);
}

void http_fields_clear(struct http_fields *fields)
{
	if (fields->items)
		g_array_unref(fields->items);
	fields->items = NULL;
}

void http_fields_add(struct http_fields *fields, const char *name,
		     const char *value)
{
	struct http_field field = { g_strdup(name), g_strdup(value) };

	g_array_append_val(fields->items, field);
}

void http_fields_add_int(struct http_fields *fields, const char *name,
			 int64_t value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, (gint64)value);
	http_fields_add(fields, name, text);
}

static const struct http_field *field_at(const struct http_fields *fields,
					 guint i)
{
	return &g_array_index(fields->items, struct http_field, i);
}

const char *http_fields_get(const struct http_fields *fields, const char *name)
{
	for (guint i = 0; i < fields->items->len; i++)
		if (!g_ascii_strcasecmp(field_at(fields, i)->name, name))
			return field_at(fields, i)->value;
	return NULL;
}

int64_t http_fields_get_int(const struct http_fields *fields, const char *name,
			    int64_t fallback)
{
	const char *text = http_fields_get(fields, name);
	guint64 value;

	if (!text || !g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64 / 2,
						 &value, NULL))
		return fallback;
	return (int64_t)value;
}

static bool list_has_token(const char *list, const char *token)
{
	g_auto(GStrv) parts = g_strsplit(list, ",", -1);

	for (char **part = parts; *part; part++)
		if (!g_ascii_strcasecmp(g_strstrip(*part), token))
			return true;
	return false;
}

bool http_fields_has_token(const struct http_fields *fields, const char *name,
			   const char *token)
{
	for (guint i = 0; i < fields->items->len; i++) {
		const struct http_field *field = field_at(fields, i);

		if (!g_ascii_strcasecmp(field->name, name) &&
		    list_has_token(field->value, token))
			return true;
	}
	return false;
}

static bool is_hop_by_hop(const struct http_fields *fields, const char *name)
{
	for (guint i = 0; i < G_N_ELEMENTS(hop_by_hop_names); i++)
		if (!g_ascii_strcasecmp(hop_by_hop_names[i], name))
			return true;
	return http_fields_has_token(fields, "Connection", name);
}

void http_fields_copy_end_to_end(struct http_fields *to,
				 const struct http_fields *from)
{
	for (guint i = 0; i < from->items->len; i++) {
		const struct http_field *field = field_at(from, i);

		if (!is_hop_by_hop(from, field->name))
			http_fields_add(to, field->name, field->value);
	}
}

void http_fields_print(const struct http_fields *fields, GString *out)
{
	for (guint i = 0; i < fields->items->len; i++) {
		const struct http_field *field = field_at(fields, i);

		g_string_append(out, field->name);
		g_string_append(out, ": ");
		g_string_append(out, field->value);
		g_string_append(out, "\r\n");
	}
}

int64_t http_fields_held_bytes(const struct http_fields *fields)
{
	int64_t bytes = 0;

	for (guint i = 0; fields->items && i < fields->items->len; i++) {
		const struct http_field *field = field_at(fields, i);

		bytes += (int64_t)(sizeof(*field) + ALLOCATION_BYTES +
				   strlen(field->name) + strlen(field->value));
	}
	return bytes;
}
