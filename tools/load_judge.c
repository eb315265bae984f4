/* Judging what came back: answers, marks, executions. */
#include "tools/load_private.h"

/* ---- looking at answers ---- */

static const struct cfg_stage *answer_stage(const struct cfg_pipeline *pipeline)
{
	for (uint32_t i = 0; pipeline->answer && i < pipeline->stages_count;
	     i++)
		if (!strcmp(pipeline->stages[i].name, pipeline->answer))
			return &pipeline->stages[i];
	return &pipeline->stages[pipeline->stages_count - 1];
}

static bool generates(const struct request *request)
{
	const struct cfg_service *service =
		cfg_service_find(request->load->options.doc,
				 answer_stage(request->pipeline)->service);

	return service->kind == CFG_KIND_GENERATE;
}

static char *expected_text(const struct request *request)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < request->load->options.tokens; i++)
		g_string_append_printf(text, "%s.%u ", request->mark, i);
	return g_string_free(text, FALSE);
}

static const char *generated_text(JsonObject *answer)
{
	JsonArray *choices;

	if (!json_object_has_member(answer, "choices"))
		return "";
	choices = json_object_get_array_member(answer, "choices");
	return json_object_get_string_member_with_default(
		json_array_get_object_element(choices, 0), "text", "");
}

/* Marks read "w<seed>n<number>e": another one than ours is foreign. */
static bool has_foreign_mark(const struct request *request, const char *text)
{
	g_autofree char *prefix =
		g_strdup_printf("w%un", request->load->options.seed);
	const char *at = text;

	while ((at = strstr(at, prefix))) {
		if (strncmp(at, request->mark, strlen(request->mark)) != 0)
			return true;
		at += strlen(prefix);
	}
	return false;
}

static bool is_right(const struct request *request, JsonObject *answer,
		     const char *raw)
{
	g_autofree char *expected = NULL;

	if (!generates(request))
		return strstr(raw, request->mark);
	expected = expected_text(request);
	if (strcmp(expected, generated_text(answer)) != 0)
		return false;
	return !request->stream || !request->streamed ||
	       !strcmp(expected, request->streamed);
}

static struct load_cost *get_cost(struct load *load, const char *pipeline,
				  const char *stage)
{
	struct load_cost *cost;

	for (guint i = 0; i < load->costs->len; i++) {
		cost = g_ptr_array_index(load->costs, i);
		if (!strcmp(cost->pipeline, pipeline) &&
		    !strcmp(cost->stage, stage))
			return cost;
	}
	cost = g_new0(struct load_cost, 1);
	cost->pipeline = g_strdup(pipeline);
	cost->stage = g_strdup(stage);
	g_ptr_array_add(load->costs, cost);
	return cost;
}

static void add_costs(struct request *request, JsonObject *root)
{
	JsonArray *costs = json_object_get_array_member(root, "cost");

	for (guint i = 0; i < json_array_get_length(costs); i++) {
		JsonObject *from = json_array_get_object_element(costs, i);
		struct load_cost *cost =
			get_cost(request->load, request->pipeline->name,
				 json_object_get_string_member(from, "stage"));

		cost->count += 1;
		cost->queue_us +=
			(uint64_t)json_object_get_int_member(from, "queue_us");
		cost->run_us +=
			(uint64_t)json_object_get_int_member(from, "run_us");
		cost->tokens +=
			(uint64_t)json_object_get_int_member(from, "tokens");
		cost->attempts +=
			(uint64_t)json_object_get_int_member(from, "attempts");
	}
}

/* Whole and right: note when it came. */
static void count_answer(struct request *request)
{
	int64_t took_us = g_get_monotonic_time() - request->due_us;

	request->whole = true;
	request->took_us = took_us;
	request->in_time = took_us <= request->deadline_us;
	g_array_append_val(request->load->times, took_us);
}

void load_take_answer(struct request *request, const char *text)
{
	struct load *load = request->load;
	g_autoptr(JsonNode) root = json_from_string(text, NULL);
	JsonObject *object;

	if (load->options.direct) {
		count_answer(request);
		return;
	}
	if (has_foreign_mark(request, text)) {
		load->report.foreign += 1;
		return;
	}
	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		load->report.truncated += 1;
		return;
	}
	object = json_node_get_object(root);
	request->id = g_strdup(
		json_object_get_string_member_with_default(object, "id", ""));
	if (!json_object_has_member(object, "answer") ||
	    !is_right(request, json_object_get_object_member(object, "answer"),
		      text)) {
		load->report.truncated += 1;
		return;
	}
	count_answer(request);
	add_costs(request, object);
}

static int error_number(const char *kind)
{
	for (int error = 0; error >= LP_ERROR_LAST; error--)
		if (!strcmp(lp_error_info(error)->name, kind))
			return error;
	return LP_ERROR_SYSTEM;
}

void load_take_problem(struct request *request, const char *text)
{
	g_autoptr(JsonNode) root = json_from_string(text, NULL);
	JsonObject *object;
	const char *run;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		request->load->report.truncated += 1;
		return;
	}
	object = json_node_get_object(root);
	run = json_object_get_string_member_with_default(object, "run", "");
	request->has_problem = true;
	request->error = error_number(
		json_object_get_string_member_with_default(object, "kind", ""));
	request->run = !strcmp(run, "not_run") ? LP_RUN_NOT_RUN
		       : !strcmp(run, "ran")   ? LP_RUN_RAN
					       : LP_RUN_MAY_HAVE_RUN;
	request->id = g_strdup(
		json_object_get_string_member_with_default(object, "id", ""));
}

/* ---- the report ---- */

void load_add_executions(struct load *load, const char *lines)
{
	g_auto(GStrv) list = g_strsplit(lines, "\n", -1);

	for (int i = 0; list[i]; i++) {
		const char *space = strchr(list[i], ' ');
		guint count = (guint)strtoul(list[i], NULL, 10);

		if (!space)
			continue;
		g_hash_table_insert(load->executed, g_strdup(space + 1),
				    GUINT_TO_POINTER(count));
	}
}

/* How often a stage that may not be repeated ran for this request. */
static guint executions(const struct request *request)
{
	const struct cfg_pipeline *pipeline = request->pipeline;
	guint most = 0;

	for (uint32_t i = 0; i < pipeline->stages_count; i++) {
		g_autofree char *key = NULL;
		guint count;

		if (pipeline->stages[i].repeatable)
			continue;
		if (request->key)
			key = g_strdup_printf(
				"%s/%s/%s", request->organisation->name,
				request->key, pipeline->stages[i].name);
		else
			key = g_strdup_printf("%s/%s",
					      request->id ? request->id : "",
					      pipeline->stages[i].name);
		count = GPOINTER_TO_UINT(
			g_hash_table_lookup(request->load->executed, key));
		most = MAX(most, count);
	}
	return most;
}

static void judge_executions(struct load *load, struct load_report *out)
{
	for (guint i = 0; i < load->requests->len; i++) {
		const struct request *request =
			g_ptr_array_index(load->requests, i);
		guint count;

		if (!load_changes_things(request->pipeline))
			continue;
		count = executions(request);
		if (count > 1 && !request->second)
			out->doubled += 1;
		/* A second try that did not run may have been the first's. */
		if (request->has_problem && request->run == LP_RUN_NOT_RUN &&
		    count && !request->key)
			out->false_not_run += 1;
		if (request->whole && !count)
			out->unexecuted += 1;
	}
}

/* A key none of whose tries could have run, yet which ran. */
static void judge_keys(struct load *load, struct load_report *out)
{
	g_autoptr(GHashTable) may_run =
		g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < load->requests->len; i++) {
		const struct request *request =
			g_ptr_array_index(load->requests, i);

		if (request->key &&
		    !(request->has_problem && request->run == LP_RUN_NOT_RUN))
			g_hash_table_add(may_run, request->key);
	}
	for (guint i = 0; i < load->requests->len; i++) {
		const struct request *request =
			g_ptr_array_index(load->requests, i);

		if (request->key && !request->second &&
		    !g_hash_table_contains(may_run, request->key) &&
		    executions(request))
			out->false_not_run += 1;
	}
}

static int compare_times(gconstpointer a, gconstpointer b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

static int64_t quantile(GArray *times, double share)
{
	guint index;

	if (!times->len)
		return 0;
	g_array_sort(times, compare_times);
	index = (guint)(share * (times->len - 1));
	return g_array_index(times, int64_t, index);
}

void load_get_report(struct load *load, struct load_report *out)
{
	double seconds =
		(double)load->options.requests / load->options.rate_per_s;
	uint32_t accepted;
	int64_t slowest_us = 0;

	*out = load->report;
	for (guint i = 0; i < load->requests->len; i++) {
		const struct request *request =
			g_ptr_array_index(load->requests, i);

		out->sent += 1;
		if (request->took_us > slowest_us && request->id) {
			slowest_us = request->took_us;
			out->slowest = request->id;
		}
		out->answered += request->whole;
		out->in_time += request->in_time;
		if (!request->has_problem)
			continue;
		out->refused += 1;
		out->not_run += request->run == LP_RUN_NOT_RUN;
		out->kinds[-request->error] += 1;
		if (request->id && *request->id)
			out->examples[-request->error] = request->id;
	}
	judge_executions(load, out);
	judge_keys(load, out);
	accepted = out->sent - out->not_run;
	out->attainment = (double)out->in_time / MAX(1, out->sent);
	out->useful_per_s = out->in_time / seconds;
	out->in_time_of_accepted = (double)out->in_time / MAX(1, accepted);
	out->p50_us = quantile(load->times, 0.5);
	out->p95_us = quantile(load->times, 0.95);
	out->p99_us = quantile(load->times, 0.99);
	out->first_p95_us = quantile(load->first_times, 0.95);
	out->between_p95_us = quantile(load->between_times, 0.95);
}

const GPtrArray *load_costs(const struct load *load)
{
	return load->costs;
}
