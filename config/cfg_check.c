#include "config/cfg_check.h"

#include "base/lp_error.h"

#include <string.h>

#define DEADLINE_MIN_MS 50
#define DEADLINE_MAX_MS 600000
#define CONCURRENCY_MAX 4096
#define WEIGHT_MAX 1000

struct checker {
	const struct cfg_doc *doc;
	GPtrArray *leaves;
	const char *file;
	GPtrArray *errors;
};

/* The line of a leaf, or of the first one below the path. */
static uint32_t line_of(const struct checker *checker, const char *path)
{
	size_t length = strlen(path);

	for (guint i = 0; i < checker->leaves->len; i++) {
		const struct cfg_leaf *leaf =
			g_ptr_array_index(checker->leaves, i);

		if (!strncmp(leaf->path, path, length) &&
		    (!leaf->path[length] || leaf->path[length] == '.'))
			return leaf->line;
	}
	return 1;
}

static void fail(const struct checker *checker, const char *path,
		 const char *format, ...) __attribute__((format(printf, 3, 4)));

static void fail(const struct checker *checker, const char *path,
		 const char *format, ...)
{
	g_autofree char *what = NULL;
	va_list args;

	va_start(args, format);
	what = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(checker->errors,
			g_strdup_printf("%s:%u: %s: %s", checker->file,
					line_of(checker, path), path, what));
}

static bool is_hex(const char *str)
{
	for (; *str; str++)
		if (!g_ascii_isxdigit(*str))
			return false;
	return true;
}

static void check_name(const struct checker *checker, GHashTable *seen,
		       const char *path, const char *name)
{
	for (const char *c = name; *c; c++) {
		if (g_ascii_isalnum(*c) || *c == '-' || *c == '_')
			continue;
		fail(checker, path,
		     "expected letters, digits, '-' and '_' in a name");
		break;
	}
	if (!g_hash_table_add(seen, (gpointer)name))
		fail(checker, path, "the name '%s' is used twice", name);
}

static void check_organisation(const struct checker *checker,
			       const struct cfg_organisation *organisation)
{
	g_autofree char *path =
		g_strdup_printf("organisations.%s", organisation->name);
	g_autofree char *token = g_strconcat(path, ".token_sha256", NULL);
	g_autofree char *weight = g_strconcat(path, ".weight", NULL);

	if (!is_hex(organisation->token_sha256))
		fail(checker, token, "expected 64 hexadecimal digits");
	if (organisation->weight > WEIGHT_MAX)
		fail(checker, weight, "expected at most %d", WEIGHT_MAX);
	for (uint32_t i = 0; i < organisation->pipelines_count; i++) {
		const char *name = organisation->pipelines[i];
		g_autofree char *item =
			g_strdup_printf("%s.pipelines.%s", path, name);

		if (!cfg_pipeline_find(checker->doc, name))
			fail(checker, item, "there is no pipeline '%s'", name);
	}
}

static void check_organisations(const struct checker *checker)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GHashTable) tokens =
		g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < checker->doc->organisations_count; i++) {
		const struct cfg_organisation *organisation =
			&checker->doc->organisations[i];
		g_autofree char *path =
			g_strdup_printf("organisations.%s", organisation->name);

		check_name(checker, names, path, organisation->name);
		check_organisation(checker, organisation);
		if (!g_hash_table_add(tokens, organisation->token_sha256))
			fail(checker, path,
			     "another organisation has the same token");
	}
}

/* It stands in JSON and in logs as it is. */
static void check_model(const struct checker *checker,
			const struct cfg_service *service, const char *path)
{
	g_autofree char *field = g_strconcat(path, ".model", NULL);

	for (const char *c = service->model; c && *c; c++) {
		if (g_ascii_isalnum(*c) || strchr("-_.:/@+", *c))
			continue;
		fail(checker, field, "expected letters, digits and -_.:/@+");
		return;
	}
}

static void check_services(const struct checker *checker)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < checker->doc->services_count; i++) {
		const struct cfg_service *service = &checker->doc->services[i];
		g_autofree char *path =
			g_strdup_printf("services.%s", service->name);
		g_autofree char *field =
			g_strconcat(path, ".concurrency", NULL);

		check_name(checker, names, path, service->name);
		check_model(checker, service, path);
		if (!service->concurrency ||
		    service->concurrency > CONCURRENCY_MAX)
			fail(checker, field, "expected 1 to %d",
			     CONCURRENCY_MAX);
	}
}

static bool is_earlier_stage(const struct cfg_pipeline *pipeline,
			     uint32_t before, const char *name, size_t length)
{
	for (uint32_t i = 0; i < before; i++)
		if (strlen(pipeline->stages[i].name) == length &&
		    !strncmp(pipeline->stages[i].name, name, length))
			return true;
	return false;
}

static void check_input(const struct checker *checker,
			const struct cfg_pipeline *pipeline, uint32_t stage,
			const struct cfg_input *input)
{
	g_autofree char *path = g_strdup_printf(
		"pipelines.%s.stages.%s.input.%s", pipeline->name,
		pipeline->stages[stage].name, input->field);
	size_t length;

	if (!input->from == !input->value) {
		fail(checker, path, "expected either 'from' or 'value'");
		return;
	}
	if (!input->from)
		return;
	length = strcspn(input->from, ".");
	if (length == strlen("request") &&
	    !strncmp(input->from, "request", length))
		return;
	if (!is_earlier_stage(pipeline, stage, input->from, length))
		fail(checker, path,
		     "'%s': expected 'request' or the name of an earlier stage",
		     input->from);
}

static void check_stage(const struct checker *checker,
			const struct cfg_pipeline *pipeline, uint32_t index)
{
	const struct cfg_stage *stage = &pipeline->stages[index];
	const struct cfg_service *service =
		cfg_service_find(checker->doc, stage->service);
	g_autofree char *path = g_strdup_printf("pipelines.%s.stages.%s",
						pipeline->name, stage->name);
	g_autofree char *field = g_strconcat(path, ".service", NULL);

	if (!service)
		fail(checker, field, "there is no service '%s'",
		     stage->service);
	else if (service->kind == CFG_KIND_PLAIN && !stage->path)
		fail(checker, path, "a plain service needs a 'path'");
	if (stage->path && stage->path[0] != '/')
		fail(checker, path, "'path' must start with '/'");
	for (uint32_t i = 0; i < stage->input_count; i++)
		check_input(checker, pipeline, index, &stage->input[i]);
}

static void check_deadline(const struct checker *checker,
			   const struct cfg_pipeline *pipeline)
{
	g_autofree char *path =
		g_strdup_printf("pipelines.%s.deadline_ms", pipeline->name);
	uint64_t usual_ms = 0;

	if (pipeline->deadline_ms < DEADLINE_MIN_MS ||
	    pipeline->deadline_ms > DEADLINE_MAX_MS)
		fail(checker, path, "expected %d to %d", DEADLINE_MIN_MS,
		     DEADLINE_MAX_MS);
	for (uint32_t i = 0; i < pipeline->stages_count; i++) {
		const struct cfg_service *service = cfg_service_find(
			checker->doc, pipeline->stages[i].service);

		usual_ms += service ? service->usual_ms : 0;
	}
	if (usual_ms > pipeline->deadline_ms)
		fail(checker, path,
		     "impossible: its stages usually take %" G_GUINT64_FORMAT
		     " ms together",
		     usual_ms);
}

static bool anyone_may_call(const struct cfg_doc *doc, const char *pipeline)
{
	for (uint32_t i = 0; i < doc->organisations_count; i++)
		if (cfg_may_call(&doc->organisations[i], pipeline))
			return true;
	return false;
}

static void check_pipeline(const struct checker *checker,
			   const struct cfg_pipeline *pipeline)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	g_autofree char *path = g_strdup_printf("pipelines.%s", pipeline->name);
	g_autofree char *answer = g_strconcat(path, ".answer", NULL);
	g_autofree char *affinity = g_strconcat(path, ".affinity", NULL);

	check_deadline(checker, pipeline);
	for (uint32_t i = 0; i < pipeline->stages_count; i++) {
		const char *name = pipeline->stages[i].name;
		g_autofree char *stage =
			g_strdup_printf("%s.stages.%s", path, name);

		check_name(checker, names, stage, name);
		check_stage(checker, pipeline, i);
	}
	if (pipeline->answer && !g_hash_table_contains(names, pipeline->answer))
		fail(checker, answer, "there is no stage '%s'",
		     pipeline->answer);
	if (pipeline->affinity &&
	    !g_str_has_prefix(pipeline->affinity, "request."))
		fail(checker, affinity, "expected 'request.FIELD'");
	if (!anyone_may_call(checker->doc, pipeline->name))
		fail(checker, path, "no organisation may call it");
}

static void check_pipelines(const struct checker *checker)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < checker->doc->pipelines_count; i++) {
		const struct cfg_pipeline *pipeline =
			&checker->doc->pipelines[i];
		g_autofree char *path =
			g_strdup_printf("pipelines.%s", pipeline->name);

		check_name(checker, names, path, pipeline->name);
		check_pipeline(checker, pipeline);
	}
}

int cfg_check(const struct cfg_doc *doc, GPtrArray *leaves, const char *file,
	      GPtrArray *errors)
{
	struct checker checker = { doc, leaves, file, errors };
	guint before = errors->len;

	check_organisations(&checker);
	check_services(&checker);
	check_pipelines(&checker);
	return errors->len == before ? LP_OK : LP_ERROR_BAD_CONFIG;
}
