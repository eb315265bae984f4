#include "store/store_hosts.h"

#include "base/lp_clock.h"
#include "base/lp_json.h"
#include "base/lp_timer.h"

#include <string.h>

#define DEFAULT_POLL_US (5 * LP_US_PER_S)
#define JITTER 0.1

struct store_hosts_client {
	struct store_hosts_options options;
	struct store_http *http;
	char *url;
	char *etag;
	guint timer;
};

static char *member(JsonObject *object, const char *name)
{
	return g_strdup(
		json_object_get_string_member_with_default(object, name, ""));
}

static void parse_host(JsonObject *object, struct store_host *host)
{
	const char *role = json_object_get_string_member_with_default(
		object, "role", "agent");
	const char *state = json_object_get_string_member_with_default(
		object, "state", "live");

	host->id = member(object, "id");
	host->role =
		strcmp(role, "entry") ? STORE_ROLE_AGENT : STORE_ROLE_ENTRY;
	host->service = member(object, "service");
	host->domain = member(object, "domain");
	host->address = member(object, "address");
	host->admin = member(object, "admin");
	host->leaving = !strcmp(state, "leaving");
}

static void clear_hosts(struct store_hosts *hosts)
{
	for (uint32_t i = 0; i < hosts->count; i++) {
		g_free(hosts->hosts[i].id);
		g_free(hosts->hosts[i].service);
		g_free(hosts->hosts[i].domain);
		g_free(hosts->hosts[i].address);
		g_free(hosts->hosts[i].admin);
	}
	g_free(hosts->hosts);
}

static bool parse_hosts(const char *body, struct store_hosts *out)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *root;
	JsonNode *list;
	JsonArray *array;

	if (!lp_json_load(parser, body, -1))
		return false;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return false;
	list = json_object_get_member(json_node_get_object(root), "hosts");
	if (!list || !JSON_NODE_HOLDS_ARRAY(list))
		return false;
	array = json_node_get_array(list);
	out->hosts = g_new0(struct store_host, json_array_get_length(array));
	for (guint i = 0; i < json_array_get_length(array); i++) {
		JsonNode *element = json_array_get_element(array, i);

		if (JSON_NODE_HOLDS_OBJECT(element))
			parse_host(json_node_get_object(element),
				   &out->hosts[out->count++]);
	}
	return true;
}

static gboolean poll_now(gpointer userdata);

static void schedule(struct store_hosts_client *client)
{
	int64_t poll_us = client->options.poll_us ? client->options.poll_us
						  : DEFAULT_POLL_US;
	double factor = g_random_double_range(1 - JITTER, 1 + JITTER);

	client->timer =
		lp_timer_add((guint)((double)poll_us * factor / LP_US_PER_MS),
			     poll_now, client);
}

static void on_list(void *userdata, const struct store_http_answer *answer)
{
	struct store_hosts_client *client = userdata;
	struct store_hosts hosts = { 0 };

	schedule(client);
	if (!answer->error && answer->status == SOUP_STATUS_NOT_MODIFIED)
		return;
	if (answer->error || answer->status != SOUP_STATUS_OK ||
	    !parse_hosts(answer->body, &hosts)) {
		client->options.failed(client->options.userdata);
		return;
	}
	g_free(client->etag);
	client->etag = g_strdup(answer->etag);
	client->options.changed(client->options.userdata, &hosts);
	clear_hosts(&hosts);
}

static gboolean poll_now(gpointer userdata)
{
	struct store_hosts_client *client = userdata;
	struct store_http_request request = {
		.method = "GET",
		.url = client->url,
		.etag = client->etag,
		.done = on_list,
		.userdata = client,
	};

	client->timer = 0;
	store_http_send(client->http, &request);
	return G_SOURCE_REMOVE;
}

struct store_hosts_client *
store_hosts_create(const struct store_hosts_options *options)
{
	struct store_hosts_client *client =
		g_new0(struct store_hosts_client, 1);

	client->options = *options;
	client->url = g_strconcat(options->url, "/v1/hosts", NULL);
	client->http = store_http_create(&(struct store_http_options){
		.connections = 1,
		.adapts_timeout = true,
	});
	poll_now(client);
	return client;
}

void store_hosts_destroy(struct store_hosts_client *client)
{
	if (!client)
		return;
	if (client->timer)
		g_source_remove(client->timer);
	store_http_destroy(client->http);
	g_free(client->url);
	g_free(client->etag);
	g_free(client);
}
