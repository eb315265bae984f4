#include "tools/pe_private.h"

#include <string.h>

/* Bytes go out this often, as from a queue in the network. */
#define TICK_MS 10
#define TICKS_PER_S (1000 / TICK_MS)

/* An answer on its way. */
struct sending {
	struct pe_conn *conn;
	char *text;
	size_t size;
	size_t sent;
	gint64 due_us; /* not sent before */
};

struct pe_link {
	uint32_t bytes_per_s; /* 0: no bound */
	uint32_t delay_ms;    /* of each answer */
	GPtrArray *sendings;  /* of struct sending */
	guint timer;	      /* runs while there is something to send */
};

static void free_sending(gpointer data)
{
	struct sending *sending = data;

	g_free(sending->text);
	g_free(sending);
}

struct pe_link *pe_link_create(void)
{
	struct pe_link *link = g_new0(struct pe_link, 1);

	link->sendings = g_ptr_array_new_with_free_func(free_sending);
	return link;
}

void pe_link_destroy(struct pe_link *link)
{
	if (link->timer)
		g_source_remove(link->timer);
	g_ptr_array_unref(link->sendings);
	g_free(link);
}

void pe_link_set_rate(struct pe_link *link, uint32_t bytes_per_s)
{
	link->bytes_per_s = bytes_per_s;
}

void pe_link_set_delay(struct pe_link *link, uint32_t delay_ms)
{
	link->delay_ms = delay_ms;
}

static bool is_due(const struct sending *sending)
{
	return g_get_monotonic_time() >= sending->due_us;
}

static guint count_due(const struct pe_link *link)
{
	guint count = 0;

	for (guint i = 0; i < link->sendings->len; i++)
		count += is_due(g_ptr_array_index(link->sendings, i));
	return count;
}

static void send_some(struct pe_link *link, guint index, size_t bytes)
{
	struct sending *sending;
	struct pe_conn *conn;
	size_t size;

	if (index >= link->sendings->len)
		return; /* a client left while another was written to */
	sending = g_ptr_array_index(link->sendings, index);
	if (!is_due(sending))
		return;
	conn = sending->conn;
	size = MIN(bytes, sending->size - sending->sent);
	http_sock_write(conn->sock, sending->text + sending->sent, size);
	sending->sent += size;
	if (sending->sent < sending->size)
		return;
	g_ptr_array_remove_index(link->sendings, index);
	pe_conn_next(conn);
}

/* What is under way shares the link evenly. */
static gboolean on_tick(gpointer userdata)
{
	struct pe_link *link = userdata;
	guint count = link->sendings->len;
	guint due = count_due(link);
	size_t bytes = link->bytes_per_s / TICKS_PER_S / MAX(due, 1);

	for (guint i = count; i-- > 0;)
		send_some(link, i,
			  link->bytes_per_s ? MAX(bytes, 1) : SIZE_MAX);
	if (link->sendings->len)
		return G_SOURCE_CONTINUE;
	link->timer = 0;
	return G_SOURCE_REMOVE;
}

void pe_link_answer(struct pe_link *link, struct pe_conn *conn, uint32_t status,
		    const char *extra, const char *body)
{
	g_autofree char *text = pe_answer_text(status, extra, body);
	struct sending *sending;

	if (conn->timer)
		g_source_remove(conn->timer); /* it is answered now */
	conn->timer = 0;
	if (conn->silent)
		return;
	if (!link->bytes_per_s && !link->delay_ms) {
		pe_conn_write(conn, text);
		pe_conn_next(conn);
		return;
	}
	sending = g_new0(struct sending, 1);
	sending->conn = conn;
	sending->due_us = g_get_monotonic_time() +
			  link->delay_ms * G_TIME_SPAN_MILLISECOND;
	sending->size = strlen(text);
	sending->text = g_steal_pointer(&text);
	g_ptr_array_add(link->sendings, sending);
	if (!link->timer)
		link->timer = g_timeout_add(TICK_MS, on_tick, link);
}

void pe_link_forget(struct pe_link *link, const struct pe_conn *conn)
{
	for (guint i = link->sendings->len; i-- > 0;) {
		struct sending *sending = g_ptr_array_index(link->sendings, i);

		if (sending->conn == conn)
			g_ptr_array_remove_index(link->sendings, i);
	}
}

void pe_link_stall(struct pe_link *link)
{
	g_ptr_array_set_size(link->sendings, 0);
}
