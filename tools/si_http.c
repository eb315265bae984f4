#include "tools/si_http.h"

#include "store/store_serve.h"

#include <stdlib.h>
#include <string.h>

void si_respond(SoupServerMessage *msg, guint status, const char *json)
{
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, "application/json",
					 SOUP_MEMORY_COPY, json, strlen(json));
}

JsonNode *si_body(SoupServerMessage *msg)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	g_autoptr(GBytes) bytes = soup_message_body_flatten(body);
	g_autoptr(JsonParser) parser = json_parser_new_immutable();
	gsize size;
	const char *data = g_bytes_get_data(bytes, &size);
	JsonNode *root;

	if (!data ||
	    !json_parser_load_from_data(parser, data, (gssize)size, NULL))
		return NULL;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return NULL;
	return json_node_ref(root);
}

void si_listen(SoupServer *server, const char *address)
{
	const char *colon = strrchr(address, ':');
	g_autofree char *ip = g_strndup(address, (gsize)(colon - address));
	g_autoptr(GSocketAddress) socket =
		g_inet_socket_address_new_from_string(ip,
						      (guint)atoi(colon + 1));
	g_autoptr(GError) gerror = NULL;

	store_serve_once(server);
	if (socket && soup_server_listen(server, socket, 0, &gerror))
		return;
	g_printerr("cannot listen on %s: %s\n", address,
		   gerror ? gerror->message : "bad address");
	exit(1);
}
