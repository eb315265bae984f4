#include "cli/cli.h"

#include "base/lp_json.h"
#include "base/lp_timer.h"

#include <string.h>

struct range_wait {
	GMainLoop *loop;
	int error;
	bool succeeded;
	GArray *values; /* of struct cli_value */
};

static void on_answer(void *userdata, const struct store_answer *answer)
{
	struct range_wait *wait = userdata;

	wait->error = answer->error;
	wait->succeeded = answer->succeeded;
	for (uint32_t i = 0; i < answer->pairs_count; i++) {
		struct cli_value value = {
			.value = g_strdup(answer->pairs[i].value),
			.mod_revision = answer->pairs[i].mod_revision,
		};

		g_array_append_val(wait->values, value);
	}
	g_main_loop_quit(wait->loop);
}

static void begin_wait(struct range_wait *wait)
{
	wait->loop = g_main_loop_new(NULL, FALSE);
	wait->values = g_array_new(FALSE, TRUE, sizeof(struct cli_value));
}

static void end_wait(struct range_wait *wait)
{
	g_main_loop_unref(wait->loop);
	for (guint i = 0; i < wait->values->len; i++)
		cli_value_clear(
			&g_array_index(wait->values, struct cli_value, i));
	g_array_unref(wait->values);
}

void cli_value_clear(struct cli_value *value)
{
	g_clear_pointer(&value->value, g_free);
}

int cli_read(struct cli *cli, const char *key, struct cli_value *out)
{
	struct range_wait wait = { 0 };

	*out = (struct cli_value){ 0 };
	begin_wait(&wait);
	cli->kv->ops->range(cli->kv, "cli", key, false, on_answer, &wait);
	g_main_loop_run(wait.loop);
	if (wait.values->len) {
		struct cli_value *first =
			&g_array_index(wait.values, struct cli_value, 0);

		*out = *first;
		first->value = NULL;
	}
	end_wait(&wait);
	return wait.error;
}

int cli_read_all(struct cli *cli, const char *prefix, GPtrArray **out)
{
	struct range_wait wait = { 0 };

	*out = g_ptr_array_new_with_free_func(g_free);
	begin_wait(&wait);
	cli->kv->ops->range(cli->kv, "cli", prefix, true, on_answer, &wait);
	g_main_loop_run(wait.loop);
	for (guint i = 0; i < wait.values->len; i++) {
		struct cli_value *value =
			&g_array_index(wait.values, struct cli_value, i);

		g_ptr_array_add(*out, g_steal_pointer(&value->value));
	}
	end_wait(&wait);
	return wait.error;
}

int cli_txn(struct cli *cli, const struct store_txn *txn)
{
	struct range_wait wait = { 0 };
	int error;

	begin_wait(&wait);
	cli->kv->ops->txn(cli->kv, "cli", txn, on_answer, &wait);
	g_main_loop_run(wait.loop);
	error = wait.error;
	if (!error && !wait.succeeded)
		error = LP_ERROR_CONFLICT;
	end_wait(&wait);
	return error;
}

struct http_wait {
	GMainLoop *loop;
	JsonNode *node;
	uint32_t status;
};

static void on_http(void *userdata, const struct store_http_answer *answer)
{
	struct http_wait *wait = userdata;

	wait->status = answer->error ? 0 : answer->status;
	if (wait->status == SOUP_STATUS_OK)
		wait->node = lp_json_node(answer->body);
	g_main_loop_quit(wait->loop);
}

static struct http_wait exchange(struct cli *cli, const char *method,
				 const char *url)
{
	struct http_wait wait = { g_main_loop_new(NULL, FALSE), NULL, 0 };
	const struct store_http_request request = {
		.method = method,
		.url = url,
		.done = on_http,
		.userdata = &wait,
	};

	store_http_send(cli->http, &request);
	g_main_loop_run(wait.loop);
	g_main_loop_unref(wait.loop);
	return wait;
}

JsonNode *cli_get(struct cli *cli, const char *url)
{
	return exchange(cli, "GET", url).node;
}

bool cli_post(struct cli *cli, const char *url)
{
	struct http_wait wait = exchange(cli, "POST", url);

	if (wait.node)
		json_node_unref(wait.node);
	return SOUP_STATUS_IS_SUCCESSFUL(wait.status);
}

JsonNode *cli_hosts(struct cli *cli)
{
	g_autofree char *url =
		g_strconcat(cli->settings->hosts_url, "/v1/hosts", NULL);
	g_autoptr(JsonNode) root = cli_get(cli, url);
	JsonNode *hosts = NULL;

	if (root && JSON_NODE_HOLDS_OBJECT(root))
		hosts = json_object_get_member(json_node_get_object(root),
					       "hosts");
	if (!hosts || !JSON_NODE_HOLDS_ARRAY(hosts)) {
		cli_error("the host list at %s cannot be read",
			  cli->settings->hosts_url);
		return NULL;
	}
	return json_node_copy(hosts);
}

void cli_error(const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list args;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_printerr("%s\n", text);
}

static gboolean on_pause(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_REMOVE;
}

void cli_pause(int64_t wait_us)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	lp_timer_add((guint)(wait_us / LP_US_PER_MS), on_pause, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
}
