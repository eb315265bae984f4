#include "entry/entry_delivery.h"

#include "base/lp_log.h"

#include "base/lp_timer.h"
#include "entry/entry_private.h"
#include "http/http_memory.h"
#include "node/node_listener.h"

#include <sys/socket.h>

#define DATA_NAME "entry-delivery"
/* Held bytes may be this fraction of the process's memory; allocation, results
 * of stages and the system's buffers add to them. */
#define MEMORY_FRACTION 4
/* A body is held by its message, by its request and in parsed form. */
#define BODY_COPIES 3
/* Reserved for each answer. */
#define ANSWER_BYTES 32768
/* An answer that is complete just before its deadline has so long. */
#define DELIVERY_MIN_US (1 * LP_US_PER_S)

struct delivery {
	struct entry *entry;
	SoupServerMessage *msg; /* owns this */
	struct http_holding body;
	struct http_holding answer; /* what is not written of it */
	guint timer;		    /* of the deadline; 0: not complete yet */
	bool is_late;
};

static void update_held(struct entry *entry)
{
	*lp_counter(node_counters(entry->node), "linepier_held_bytes", NULL) =
		entry->memory.held_bytes;
}

static void report(const struct delivery *delivery, const char *state)
{
	struct lp_counters *counters = node_counters(delivery->entry->node);
	g_autofree char *labels =
		g_strdup_printf("peer=\"caller\",state=\"%s\"", state);

	*lp_counter(counters, "linepier_undelivered_total", labels) += 1;
	lp_log(LP_LOG_WARN, "entry", NULL,
	       "undelivered: caller %s, state %s, %" G_GINT64_FORMAT " bytes",
	       soup_server_message_get_remote_host(delivery->msg), state,
	       (gint64)delivery->answer.bytes);
}

static void free_delivery(gpointer data)
{
	struct delivery *delivery = data;

	if (delivery->timer)
		g_source_remove(delivery->timer);
	http_holding_set(&delivery->body, 0);
	http_holding_reserve(&delivery->answer, 0);
	http_holding_set(&delivery->answer, 0);
	update_held(delivery->entry);
	g_free(delivery);
}

static struct delivery *delivery_of(SoupServerMessage *msg)
{
	return g_object_get_data(G_OBJECT(msg), DATA_NAME);
}

static void on_written(SoupServerMessage *msg, guint bytes, gpointer userdata)
{
	struct delivery *delivery = userdata;

	http_holding_set(&delivery->answer,
			 MAX(delivery->answer.bytes - (int64_t)bytes, 0));
	update_held(delivery->entry);
}

static void on_disconnected(SoupServerMessage *msg, gpointer userdata)
{
	struct delivery *delivery = userdata;

	if (delivery->answer.bytes && !delivery->is_late)
		report(delivery, "gone");
}

static gboolean on_deadline(gpointer userdata)
{
	struct delivery *delivery = userdata;
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	GSocket *socket = node_listener_socket(delivery->msg);

	delivery->timer = 0;
	delivery->is_late = true;
	report(delivery, "deadline");
	if (!socket)
		return G_SOURCE_REMOVE;
	setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset,
		   sizeof(reset));
	g_socket_shutdown(socket, TRUE, TRUE, NULL);
	return G_SOURCE_REMOVE;
}

void entry_delivery_set_memory(struct entry *entry, int64_t memory_bytes)
{
	entry->memory.limit_bytes = memory_bytes / MEMORY_FRACTION;
}

bool entry_delivery_begin(struct entry *entry, SoupServerMessage *msg,
			  int64_t body_bytes)
{
	struct http_memory *memory = &entry->memory;
	struct delivery *delivery;

	if (!http_memory_fits(memory,
			      BODY_COPIES * body_bytes + ANSWER_BYTES)) {
		entry_increment_counter(entry, "linepier_memory_refusals_total",
					NULL, NULL);
		return false;
	}
	delivery = g_new0(struct delivery, 1);
	delivery->entry = entry;
	delivery->msg = msg;
	delivery->body.memory = memory;
	delivery->answer.memory = memory;
	http_holding_set(&delivery->body, BODY_COPIES * body_bytes);
	http_holding_reserve(&delivery->answer, ANSWER_BYTES);
	update_held(entry);
	g_object_set_data_full(G_OBJECT(msg), DATA_NAME, delivery,
			       free_delivery);
	g_signal_connect(msg, "wrote-body-data", G_CALLBACK(on_written),
			 delivery);
	g_signal_connect(msg, "disconnected", G_CALLBACK(on_disconnected),
			 delivery);
	return true;
}

void entry_delivery_add(SoupServerMessage *msg, int64_t bytes)
{
	struct delivery *delivery = delivery_of(msg);

	if (!delivery)
		return;
	http_holding_add(&delivery->answer, bytes);
	update_held(delivery->entry);
}

void entry_delivery_complete(SoupServerMessage *msg, int64_t deadline_us)
{
	struct delivery *delivery = delivery_of(msg);
	int64_t left_us;

	if (!delivery || delivery->timer)
		return;
	left_us = MAX(deadline_us - entry_now_us(delivery->entry),
		      DELIVERY_MIN_US);
	delivery->timer = lp_timer_add((guint)(left_us / LP_US_PER_MS),
				       on_deadline, delivery);
}
