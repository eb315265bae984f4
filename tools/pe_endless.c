/** The emulator's upstreams that send a part of an answer without an end. */
#include "tools/pe_private.h"

#include <string.h>

#define INTERVAL_MS 1
/* Written at once, and left to the system before more is written. */
#define WRITE_BYTES 65536

struct shape {
	const char *framing; /* the last fields of the head */
	const char *begin;   /* what comes before the part */
	const char *unit;    /* of which it consists */
	bool is_foreign;     /* without the fields of an answer */
};

#define CHUNKED "Transfer-Encoding: chunked\r\n"

static const struct shape shapes[PE_ENDLESS_PARTS] = {
	[PE_ENDLESS_FIELD] = { "X-Long: ", "", "xxxxxxxx" },
	[PE_ENDLESS_HEAD] = { "", "", "a:b\r\n" },
	[PE_ENDLESS_INTERIM] = { NULL, "", "HTTP/1.1 103 Early\r\n\r\n" },
	[PE_ENDLESS_CHUNK_LINE] = { CHUNKED "\r\n", "1;", "x=xxxxx;" },
	[PE_ENDLESS_TRAILERS] = { CHUNKED "\r\n", "1\r\nx\r\n0\r\n",
				  "a:b\r\n" },
	[PE_ENDLESS_BODY] = { CHUNKED "\r\n", "", "8\r\nxxxxxxxx\r\n" },
	[PE_ENDLESS_FOREIGN_BODY] = { CHUNKED "\r\n", "", "8\r\nxxxxxxxx\r\n",
				      true },
	[PE_ENDLESS_EVENT] = { CHUNKED
			       "Content-Type: text/event-stream\r\n\r\n",
			       "", "8\r\nxxxxxxxx\r\n" },
};

static gboolean on_flood(gpointer userdata)
{
	struct pe_conn *conn = userdata;
	const struct pe_upstream *upstream = conn->listener->userdata;
	const char *unit = shapes[upstream->endless].unit;
	g_autoptr(GString) text = g_string_sized_new(WRITE_BYTES);

	if (http_sock_unsent_bytes(conn->sock) > WRITE_BYTES)
		return G_SOURCE_CONTINUE;
	while (text->len < WRITE_BYTES)
		g_string_append(text, unit);
	pe_conn_write(conn, text->str);
	return G_SOURCE_CONTINUE;
}

void pe_endless_begin(struct pe_upstream *upstream, struct pe_conn *conn,
		      const char *fields)
{
	const struct shape *shape = &shapes[upstream->endless];

	if (shape->framing) {
		g_autofree char *head =
			g_strdup_printf("HTTP/1.1 200 OK\r\n%s%s%s",
					shape->is_foreign ? "" : fields,
					shape->framing, shape->begin);

		pe_conn_write(conn, head);
	}
	conn->flood = g_timeout_add(INTERVAL_MS, on_flood, conn);
}

void pe_set_endless(struct pe_upstream *upstream, enum pe_endless part)
{
	upstream->fault = PE_FAULT_ENDLESS;
	upstream->endless = part;
}
