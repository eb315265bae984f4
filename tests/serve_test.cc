/* store/store_serve.h: no connection outlives its request. */
#include "cwrap.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "node/node_admin.h"
#include "store/store_serve.h"
#include "tools/fleet.h"
}

static guint count_descriptors()
{
	GDir *dir = g_dir_open("/proc/self/fd", 0, nullptr);
	guint count = 0;

	while (g_dir_read_name(dir))
		count++;
	g_dir_close(dir);
	return count;
}

static void answer(SoupServer *, SoupServerMessage *msg, const char *,
		   GHashTable *, gpointer)
{
	soup_server_message_set_status(msg, 200, nullptr);
	soup_server_message_set_response(msg, "text/plain", SOUP_MEMORY_STATIC,
					 "x", 1);
}

/* Found by bench faults: the stand-ins and entries held a descriptor for
 * every connection that a client had closed after its answer. */
TEST(Serve, ConnectionsThatClientsCloseAreNotKept)
{
	SoupServer *server = soup_server_new(nullptr, nullptr);
	guint before = 0;

	store_serve_once(server);
	soup_server_add_handler(server, "/", answer, nullptr, nullptr);
	ASSERT_TRUE(soup_server_listen_local(
		server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr));
	GSList *uris = soup_server_get_uris(server);
	char *url = g_uri_to_string((GUri *)uris->data);
	for (int i = 0; i < 30; i++) {
		fleet_reply reply =
			fleet_http("GET", url, nullptr, nullptr, 5000000);

		EXPECT_EQ(reply.status, 200u);
		g_free(reply.body);
		if (i == 4)
			before = count_descriptors();
	}
	while (g_main_context_iteration(nullptr, FALSE))
		;
	EXPECT_LE(count_descriptors(), before + 4);
	g_free(url);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	soup_server_disconnect(server);
	g_object_unref(server);
}

/* Found by scenario.burst beside busy processes: more than ten connections came
 * before an entry had its turn, and their requests were reset, unanswered. */
TEST(Serve, ConnectionsWaitUntilTheyAreTaken)
{
	SoupServer *server = soup_server_new(nullptr, nullptr);
	g_autofree char *why = nullptr;
	std::string at;
	std::vector<GSocket *> clients;
	int port = 21350;
	int stand = 0;

	for (; port < 21400; port++) {
		at = "127.0.0.1:" + std::to_string(port);
		if (node_listen(server, at.c_str(), &why) == LP_OK)
			break;
		g_clear_pointer(&why, g_free);
	}
	ASSERT_LT(port, 21400);
	GSocketAddress *address =
		g_inet_socket_address_new_from_string("127.0.0.1", port);

	for (int i = 0; i < 100; i++) {
		GSocket *client =
			g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				     G_SOCKET_PROTOCOL_TCP, nullptr);

		g_socket_set_blocking(client, FALSE);
		g_socket_connect(client, address, nullptr, nullptr);
		clients.push_back(client);
	}
	/* Nobody has taken any yet. */
	for (GSocket *client : clients) {
		stand += g_socket_condition_check(client, G_IO_OUT) == G_IO_OUT;
		g_object_unref(client);
	}
	EXPECT_EQ(stand, 100);
	g_object_unref(address);
	g_object_unref(server);
}
