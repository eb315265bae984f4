#include "store/store_serve.h"

static void on_started(SoupServer *server, SoupServerMessage *msg,
		       gpointer userdata)
{
	soup_message_headers_replace(
		soup_server_message_get_response_headers(msg), "Connection",
		"close");
}

void store_serve_once(SoupServer *server)
{
	g_signal_connect(server, "request-started", G_CALLBACK(on_started),
			 NULL);
}
