/*
 * lp-proxy: a TCP proxy that injects faults.
 *
 * Arguments: CONTROL_IP:PORT, then NAME=LISTEN_IP:PORT=TARGET_IP:PORT for
 * each link. POST /rule on the control port takes
 * {"name":NAME,"mode":MODE,"delay_ms":N}; NAME may end in '*'. Modes:
 *   pass          forward (after delay_ms, if given)
 *   down          cut what is open, refuse what comes
 *   blackhole     accept, forward nothing either way
 *   mute_up       drop what callers send
 *   mute_down     drop what targets answer
 *   lose_answers  forward what callers send; cut when an answer comes. With
 *                 "match":TEXT only where a caller sent TEXT
 *   cut           cut what is open, then pass
 * Prints "ready" when it listens, and ends on SIGTERM.
 */
#include "tools/si_http.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUFFER_SIZE 65536
#define EXIT_USAGE 2

enum mode {
	MODE_PASS,
	MODE_DOWN,
	MODE_BLACKHOLE,
	MODE_MUTE_UP,
	MODE_MUTE_DOWN,
	MODE_LOSE_ANSWERS,
	MODE_CUT,
};

static const char *const mode_names[] = { "pass",      "down",
					  "blackhole", "mute_up",
					  "mute_down", "lose_answers",
					  "cut",       NULL };

struct proxy_link {
	char *name;
	char *target;
	GSocketService *service;
	GPtrArray *pairs; /* open connections */
	enum mode mode;
	guint delay_ms;
	char *match; /* lose_answers: only after this was sent, or NULL */
};

struct pair;

/* One direction of a connection. */
struct pump {
	struct pair *pair;
	GInputStream *from;
	GOutputStream *to;
	bool up;
	char buffer[BUFFER_SIZE];
	gsize size;
};

struct pair {
	struct proxy_link *link;
	GSocketConnection *caller;
	GSocketConnection *target;
	GCancellable *cancel;
	struct pump up;
	struct pump down;
	bool matched; /* the caller sent the rule's text */
	int refs;
};

static GPtrArray *links;

static void close_pair(struct pair *pair)
{
	if (pair->link)
		g_ptr_array_remove_fast(pair->link->pairs, pair);
	pair->link = NULL;
	g_cancellable_cancel(pair->cancel);
	g_io_stream_close(G_IO_STREAM(pair->caller), NULL, NULL);
	if (pair->target)
		g_io_stream_close(G_IO_STREAM(pair->target), NULL, NULL);
}

static void unref_pair(struct pair *pair)
{
	if (--pair->refs)
		return;
	g_object_unref(pair->caller);
	g_clear_object(&pair->target);
	g_object_unref(pair->cancel);
	g_free(pair);
}

static void pump_read(struct pump *pump);

static void on_written(GObject *source, GAsyncResult *result, gpointer data)
{
	struct pump *pump = data;

	if (!g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result,
					      NULL, NULL))
		close_pair(pump->pair);
	if (pump->pair->link)
		pump_read(pump);
	unref_pair(pump->pair);
}

static gboolean pump_write(gpointer data)
{
	struct pump *pump = data;

	if (!pump->pair->link) {
		unref_pair(pump->pair);
		return G_SOURCE_REMOVE;
	}
	g_output_stream_write_all_async(pump->to, pump->buffer, pump->size,
					G_PRIORITY_DEFAULT, pump->pair->cancel,
					on_written, pump);
	return G_SOURCE_REMOVE;
}

static bool is_muted(const struct pump *pump)
{
	switch (pump->pair->link->mode) {
	case MODE_BLACKHOLE:
		return true;
	case MODE_MUTE_UP:
		return pump->up;
	case MODE_MUTE_DOWN:
		return !pump->up;
	default:
		return false;
	}
}

/* Is this an answer that the rule loses? Notes what callers send. */
static bool loses(struct pump *pump, gsize size)
{
	const struct proxy_link *link = pump->pair->link;

	if (link->mode != MODE_LOSE_ANSWERS)
		return false;
	if (!link->match)
		return !pump->up;
	if (pump->up &&
	    memmem(pump->buffer, size, link->match, strlen(link->match)))
		pump->pair->matched = true;
	return !pump->up && pump->pair->matched;
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct pump *pump = data;
	struct pair *pair = pump->pair;
	gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result,
						 NULL);

	if (size <= 0 || !pair->link || loses(pump, (gsize)size)) {
		if (pair->link)
			close_pair(pair);
		unref_pair(pair);
		return;
	}
	if (is_muted(pump)) {
		pump_read(pump);
		unref_pair(pair);
		return;
	}
	pump->size = (gsize)size;
	if (pair->link->delay_ms)
		g_timeout_add(pair->link->delay_ms, pump_write, pump);
	else
		pump_write(pump);
}

static void pump_read(struct pump *pump)
{
	pump->pair->refs += 1;
	g_input_stream_read_async(pump->from, pump->buffer, BUFFER_SIZE,
				  G_PRIORITY_DEFAULT, pump->pair->cancel,
				  on_read, pump);
}

static void open_pump(struct pump *pump, struct pair *pair,
		      GSocketConnection *from, GSocketConnection *to, bool up)
{
	pump->pair = pair;
	pump->up = up;
	pump->from = g_io_stream_get_input_stream(G_IO_STREAM(from));
	pump->to = g_io_stream_get_output_stream(G_IO_STREAM(to));
	pump_read(pump);
}

static void on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	struct pair *pair = data;

	pair->target = g_socket_client_connect_to_host_finish(
		G_SOCKET_CLIENT(source), result, NULL);
	if (!pair->target || !pair->link) {
		if (pair->link)
			close_pair(pair);
		unref_pair(pair);
		return;
	}
	g_tcp_connection_set_graceful_disconnect(G_TCP_CONNECTION(pair->target),
						 FALSE);
	open_pump(&pair->up, pair, pair->caller, pair->target, true);
	open_pump(&pair->down, pair, pair->target, pair->caller, false);
	unref_pair(pair);
}

static gboolean on_incoming(GSocketService *service, GSocketConnection *caller,
			    GObject *object, gpointer data)
{
	struct proxy_link *link = data;
	g_autoptr(GSocketClient) client = NULL;
	struct pair *pair;

	if (link->mode == MODE_DOWN) {
		g_io_stream_close(G_IO_STREAM(caller), NULL, NULL);
		return TRUE;
	}
	pair = g_new0(struct pair, 1);
	pair->link = link;
	pair->caller = g_object_ref(caller);
	pair->cancel = g_cancellable_new();
	pair->refs = 1;
	g_ptr_array_add(link->pairs, pair);
	client = g_socket_client_new();
	g_socket_client_connect_to_host_async(client, link->target, 0,
					      pair->cancel, on_connected, pair);
	return TRUE;
}

static void cut(struct proxy_link *link)
{
	while (link->pairs->len)
		close_pair(g_ptr_array_index(link->pairs, 0));
}

static bool matches(const struct proxy_link *link, const char *name)
{
	size_t length = strlen(name);

	if (length && name[length - 1] == '*')
		return !strncmp(link->name, name, length - 1);
	return !strcmp(link->name, name);
}

static void set_rule(const char *name, enum mode mode, guint delay_ms,
		     const char *match)
{
	for (guint i = 0; i < links->len; i++) {
		struct proxy_link *link = g_ptr_array_index(links, i);

		if (!matches(link, name))
			continue;
		link->mode = mode == MODE_CUT ? MODE_PASS : mode;
		link->delay_ms = delay_ms;
		g_free(link->match);
		link->match = g_strdup(match);
		if (mode == MODE_DOWN || mode == MODE_CUT)
			cut(link);
	}
}

static void on_rule(SoupServer *server, SoupServerMessage *msg,
		    const char *path, GHashTable *query, gpointer data)
{
	g_autoptr(JsonNode) body = si_body(msg);
	JsonObject *object = body ? json_node_get_object(body) : NULL;
	const char *name;
	const char *mode;

	if (!object) {
		si_respond(msg, SOUP_STATUS_BAD_REQUEST, "{}");
		return;
	}
	name = json_object_get_string_member_with_default(object, "name", "");
	mode = json_object_get_string_member_with_default(object, "mode",
							  "pass");
	for (int i = 0; mode_names[i]; i++)
		if (!strcmp(mode, mode_names[i]))
			set_rule(name, (enum mode)i,
				 (guint)json_object_get_int_member_with_default(
					 object, "delay_ms", 0),
				 json_object_get_string_member_with_default(
					 object, "match", NULL));
	si_respond(msg, SOUP_STATUS_OK, "{}");
}

static void open_link(const char *argument)
{
	g_auto(GStrv) parts = g_strsplit(argument, "=", 3);
	struct proxy_link *link = g_new0(struct proxy_link, 1);
	g_autoptr(GSocketAddress) address = NULL;
	g_autoptr(GError) gerror = NULL;
	char *colon;

	if (g_strv_length(parts) != 3 || !(colon = strrchr(parts[1], ':'))) {
		g_printerr("%s: expected NAME=IP:PORT=IP:PORT\n", argument);
		exit(EXIT_USAGE);
	}
	link->name = g_strdup(parts[0]);
	link->target = g_strdup(parts[2]);
	link->pairs = g_ptr_array_new();
	link->service = g_socket_service_new();
	*colon = '\0';
	address = g_inet_socket_address_new_from_string(parts[1],
							(guint)atoi(colon + 1));
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(link->service),
					   address, G_SOCKET_TYPE_STREAM,
					   G_SOCKET_PROTOCOL_TCP, NULL, NULL,
					   &gerror)) {
		g_printerr("%s: %s\n", argument, gerror->message);
		exit(1);
	}
	g_signal_connect(link->service, "incoming", G_CALLBACK(on_incoming),
			 link);
	g_ptr_array_add(links, link);
}

static gboolean on_signal(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_CONTINUE;
}

int main(int argc, char **argv)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	SoupServer *control = soup_server_new(NULL, NULL);

	if (argc < 2) {
		g_printerr("expected CONTROL_IP:PORT NAME=LISTEN=TARGET...\n");
		return EXIT_USAGE;
	}
	links = g_ptr_array_new();
	for (int i = 2; i < argc; i++)
		open_link(argv[i]);
	soup_server_add_handler(control, "/rule", on_rule, NULL, NULL);
	si_listen(control, argv[1]);
	printf("ready\n");
	fflush(stdout);
	g_unix_signal_add(SIGTERM, on_signal, loop);
	g_unix_signal_add(SIGINT, on_signal, loop);
	g_main_loop_run(loop);
	return 0;
}
