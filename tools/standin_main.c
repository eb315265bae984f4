/*
 * lp-standin: plays the platform and the upstreams on loopback.
 *
 * Each argument is one role:
 *   kv:IP:PORT            the key-value service
 *   hosts:IP:PORT         the host list
 *   KIND:IP:PORT:COUNT[:name=value,...]
 *                         a service of COUNT upstreams on consecutive
 *                         ports; KIND is encode, retrieve, rerank, generate
 *                         or plain; names are slots, base_us, prefill_us,
 *                         decode_us, crowd_percent, cache_entries, check_fences
 * Prints "ready" when all of them listen, and ends on SIGTERM.
 */
#include "tools/si_hosts.h"
#include "tools/si_http.h"
#include "tools/si_kv.h"
#include "tools/si_service.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_USAGE 2

static void usage(const char *argument)
{
	g_printerr("%s: expected kv:IP:PORT, hosts:IP:PORT or "
		   "KIND:IP:PORT:COUNT[:name=value,...]\n",
		   argument);
	exit(EXIT_USAGE);
}

static void open_platform(const char *argument, char **parts)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	g_autofree char *address = NULL;

	if (g_strv_length(parts) != 3)
		usage(argument);
	address = g_strdup_printf("%s:%s", parts[1], parts[2]);
	if (!strcmp(parts[0], "kv"))
		si_kv_create(server);
	else
		si_hosts_create(server);
	si_listen(server, address);
}

static void set_option(struct si_service_options *options, const char *name,
		       uint32_t value, const char *argument)
{
	if (!strcmp(name, "slots"))
		options->slots = value;
	else if (!strcmp(name, "base_us"))
		options->base_us = value;
	else if (!strcmp(name, "prefill_us"))
		options->prefill_us = value;
	else if (!strcmp(name, "decode_us"))
		options->decode_us = value;
	else if (!strcmp(name, "crowd_percent"))
		options->crowd_percent = value;
	else if (!strcmp(name, "check_fences"))
		options->check_fences = value;
	else if (!strcmp(name, "cache_entries"))
		options->cache_entries = value;
	else
		usage(argument);
}

static void read_options(struct si_service_options *options, const char *text,
			 const char *argument)
{
	g_auto(GStrv) items = g_strsplit(text, ",", -1);

	for (int i = 0; items[i]; i++) {
		char *equals = strchr(items[i], '=');

		if (!equals)
			usage(argument);
		*equals = '\0';
		set_option(options, items[i],
			   (uint32_t)strtoul(equals + 1, NULL, 10), argument);
	}
}

static void open_service(const char *argument, char **parts)
{
	static const char *const kinds[] = { "encode",	 "retrieve", "rerank",
					     "generate", "plain",    NULL };
	guint count = g_strv_length(parts);
	struct si_service_options options = {
		.slots = 8,
		.base_us = 5000,
		.prefill_us = 20000,
		.decode_us = 5000,
		.crowd_percent = 5,
		.cache_entries = 64,
	};
	int kind;

	for (kind = 0; kinds[kind]; kind++)
		if (!strcmp(kinds[kind], parts[0]))
			break;
	if (!kinds[kind] || count < 4)
		usage(argument);
	options.kind = (enum si_kind)kind;
	options.ip = g_strdup(parts[1]);
	options.port = (uint16_t)atoi(parts[2]);
	options.count = (uint32_t)atoi(parts[3]);
	if (count > 4)
		read_options(&options, parts[4], argument);
	si_service_create(&options);
}

static gboolean on_signal(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_CONTINUE;
}

int main(int argc, char **argv)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	for (int i = 1; i < argc; i++) {
		g_auto(GStrv) parts = g_strsplit(argv[i], ":", 5);

		if (!parts[0])
			usage(argv[i]);
		if (!strcmp(parts[0], "kv") || !strcmp(parts[0], "hosts"))
			open_platform(argv[i], parts);
		else
			open_service(argv[i], parts);
	}
	printf("ready\n");
	fflush(stdout);
	g_unix_signal_add(SIGTERM, on_signal, loop);
	g_unix_signal_add(SIGINT, on_signal, loop);
	g_main_loop_run(loop);
	return 0;
}
