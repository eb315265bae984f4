#include "tools/si_hosts.h"

#include "base/lp_json.h"
#include "tools/si_http.h"

#include <string.h>

#define PATH "/v1/hosts"

struct si_hosts {
	GTree *hosts; /* id to JsonNode */
	guint version;
	guint64 reads;
};

static int by_id(gconstpointer a, gconstpointer b, gpointer userdata)
{
	return strcmp(a, b);
}

static void free_node(gpointer node)
{
	json_node_unref(node);
}

static gboolean add_host(gpointer key, gpointer value, gpointer userdata)
{
	json_builder_add_value(userdata, json_node_copy(value));
	return FALSE;
}

static void on_get(struct si_hosts *hosts, SoupServerMessage *msg)
{
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autofree char *etag = g_strdup_printf("\"%u\"", hosts->version);
	g_autofree char *text = NULL;
	const char *seen = soup_message_headers_get_one(
		soup_server_message_get_request_headers(msg), "If-None-Match");

	hosts->reads += 1;
	soup_message_headers_replace(
		soup_server_message_get_response_headers(msg), "ETag", etag);
	if (seen && !strcmp(seen, etag)) {
		soup_server_message_set_status(msg, SOUP_STATUS_NOT_MODIFIED,
					       NULL);
		return;
	}
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "hosts");
	json_builder_begin_array(builder);
	g_tree_foreach(hosts->hosts, add_host, builder);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	text = lp_json_print(builder);
	si_respond(msg, SOUP_STATUS_OK, text);
}

static void on_call(SoupServer *server, SoupServerMessage *msg,
		    const char *path, GHashTable *query, gpointer userdata)
{
	struct si_hosts *hosts = userdata;
	const char *method = soup_server_message_get_method(msg);
	const char *id = path + strlen(PATH);
	JsonNode *body;

	if (!strcmp(method, "GET")) {
		on_get(hosts, msg);
		return;
	}
	id += *id == '/';
	if (!strcmp(method, "PUT")) {
		body = si_body(msg);
		if (body)
			g_tree_replace(hosts->hosts, g_strdup(id), body);
	} else if (!strcmp(method, "DELETE")) {
		g_tree_remove(hosts->hosts, id);
	}
	hosts->version += 1;
	si_respond(msg, SOUP_STATUS_OK, "{}");
}

struct si_hosts *si_hosts_create(SoupServer *server)
{
	struct si_hosts *hosts = g_new0(struct si_hosts, 1);

	hosts->hosts = g_tree_new_full(by_id, NULL, g_free, free_node);
	soup_server_add_handler(server, PATH, on_call, hosts, NULL);
	return hosts;
}

void si_hosts_destroy(struct si_hosts *hosts)
{
	g_tree_destroy(hosts->hosts);
	g_free(hosts);
}
