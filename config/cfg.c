#include "config/cfg.h"

#include "base/lp_error.h"
#include "config/cfg_check.h"
#include "config/cfg_schema.h"

#include <stdio.h>
#include <string.h>

#define UNEXPECTED "Unexpected key: "

GPtrArray *cfg_errors_create(void)
{
	return g_ptr_array_new_with_free_func(g_free);
}

/* libcyaml tells an error in one line and its place in the lines after. */
struct schema_error {
	char *what;
	char *where;
	uint32_t line;
};

static void gather_log(cyaml_log_t level, void *userdata, const char *format,
		       va_list args)
{
	struct schema_error *error = userdata;
	g_autofree char *text = g_strdup_vprintf(format, args);
	const char *line;
	const char *quote;

	g_strchomp(text);
	if (g_str_has_prefix(text, "Load: "))
		memmove(text, text + strlen("Load: "),
			strlen(text) - strlen("Load: ") + 1);
	line = strstr(text, "line: ");
	quote = strstr(text, "field '");
	if (strstr(text, "Backtrace"))
		return;
	if (!error->what)
		error->what = g_strdup(text);
	if (line && !error->line)
		error->line =
			(uint32_t)strtoul(line + strlen("line: "), NULL, 10);
	if (quote && !error->where && error->what &&
	    strcmp(text, error->what) != 0) {
		const char *end = strchr(quote + strlen("field '"), '\'');

		if (end)
			error->where = g_strndup(quote + strlen("field '"),
						 (gsize)(end - quote) -
							 strlen("field '"));
	}
}

static const cyaml_config_t *cyaml_config_for(struct schema_error *error,
					      cyaml_config_t *config)
{
	*config = (cyaml_config_t){
		.log_fn = gather_log,
		.log_ctx = error,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
		.flags = CYAML_CFG_DEFAULT,
	};
	return config;
}

/* libcyaml gives the line before an unexpected key; the leaves know better. */
static void place_unexpected(struct schema_error *error, const char *text,
			     size_t size)
{
	g_autoptr(GPtrArray) leaves = NULL;
	g_autofree char *tail = NULL;
	g_autofree char *inner = NULL;

	if (!error->what || !g_str_has_prefix(error->what, UNEXPECTED))
		return;
	tail = g_strdup_printf(".%s", error->what + strlen(UNEXPECTED));
	inner = g_strdup_printf("%s.", tail);
	leaves = cfg_leaves(text, size);
	for (guint i = 0; leaves && i < leaves->len; i++) {
		const struct cfg_leaf *leaf = g_ptr_array_index(leaves, i);

		if (leaf->line < error->line ||
		    (!g_str_has_suffix(leaf->path, tail) &&
		     !strstr(leaf->path, inner)))
			continue;
		error->line = leaf->line;
		g_free(error->where);
		error->where = g_strdup(leaf->path);
		return;
	}
}

static void report_schema(struct schema_error *error, const char *file,
			  cyaml_err_t code, GPtrArray *errors)
{
	const char *where = error->where ? error->where : "document";
	const char *what = error->what ? error->what : cyaml_strerror(code);

	g_ptr_array_add(errors,
			g_strdup_printf("%s:%u: %s: %s", file,
					MAX(error->line, 1), where, what));
	g_free(error->what);
	g_free(error->where);
}

static int load_schema(const char *text, size_t size, const char *file,
		       GPtrArray *errors, struct cfg_doc **out)
{
	struct schema_error error = { 0 };
	cyaml_config_t config;
	cyaml_data_t *data = NULL;
	cyaml_err_t code;

	code = cyaml_load_data((const uint8_t *)text, size,
			       cyaml_config_for(&error, &config),
			       &cfg_doc_schema, &data, NULL);
	if (code != CYAML_OK) {
		place_unexpected(&error, text, size);
		report_schema(&error, file, code, errors);
		return LP_ERROR_BAD_CONFIG;
	}
	*out = data;
	if (!*out)
		*out = calloc(1, sizeof(**out));
	return LP_OK;
}

/* Lines cost a second reading of the text: only a bad one pays for them. */
static int check_with_lines(const struct cfg_doc *doc, const char *text,
			    size_t size, const char *file, GPtrArray *errors)
{
	g_autoptr(GPtrArray) quick = cfg_errors_create();
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	g_autoptr(GPtrArray) leaves = NULL;

	if (!cfg_check(doc, none, file, quick))
		return LP_OK;
	leaves = cfg_leaves(text, size);
	return cfg_check(doc, leaves, file, errors);
}

int cfg_doc_load(const char *text, size_t size, const char *file,
		 GPtrArray *errors, struct cfg_doc **out)
{
	struct cfg_doc *doc;
	int error;

	if (size > CFG_TEXT_MAX) {
		g_ptr_array_add(errors,
				g_strdup_printf("%s:1: document: %zu bytes, "
						"expected at most %zu",
						file, size, CFG_TEXT_MAX));
		return LP_ERROR_BAD_CONFIG;
	}
	error = load_schema(text, size, file, errors, &doc);
	if (error)
		return error;
	error = check_with_lines(doc, text, size, file, errors);
	if (error) {
		cfg_doc_destroy(doc);
		return error;
	}
	*out = doc;
	return LP_OK;
}

void cfg_doc_destroy(struct cfg_doc *doc)
{
	struct schema_error error = { 0 };
	cyaml_config_t config;

	if (doc)
		cyaml_free(cyaml_config_for(&error, &config), &cfg_doc_schema,
			   doc, 0);
}

char *cfg_doc_text(const struct cfg_doc *doc)
{
	struct schema_error error = { 0 };
	cyaml_config_t config;
	char *data = NULL;
	size_t size = 0;
	char *text;

	if (cyaml_save_data(&data, &size, cyaml_config_for(&error, &config),
			    &cfg_doc_schema, doc, 0) != CYAML_OK) {
		g_free(error.what);
		g_free(error.where);
		return NULL;
	}
	text = g_strndup(data, size);
	config.mem_fn(config.mem_ctx, data, 0);
	return text;
}

/* ---- files ---- */

static void move_list(void *to, uint32_t *to_count, void *from,
		      uint32_t *from_count, size_t size)
{
	void **into = to;
	void **out_of = from;

	if (!*from_count)
		return;
	*into = realloc(*into, (*to_count + *from_count) * size);
	memcpy((char *)*into + (size_t)*to_count * size, *out_of,
	       *from_count * size);
	*to_count += *from_count;
	free(*out_of);
	*out_of = NULL;
	*from_count = 0;
}

static void merge(struct cfg_doc *into, struct cfg_doc *from)
{
	move_list(&into->organisations, &into->organisations_count,
		  &from->organisations, &from->organisations_count,
		  sizeof(*into->organisations));
	move_list(&into->services, &into->services_count, &from->services,
		  &from->services_count, sizeof(*into->services));
	move_list(&into->pipelines, &into->pipelines_count, &from->pipelines,
		  &from->pipelines_count, sizeof(*into->pipelines));
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static GPtrArray *list_files(const char *path, GPtrArray *errors)
{
	GPtrArray *files = g_ptr_array_new_with_free_func(g_free);
	const char *name;
	GDir *dir;

	if (!g_file_test(path, G_FILE_TEST_IS_DIR)) {
		g_ptr_array_add(files, g_strdup(path));
		return files;
	}
	dir = g_dir_open(path, 0, NULL);
	while (dir && (name = g_dir_read_name(dir)))
		if (g_str_has_suffix(name, ".yaml"))
			g_ptr_array_add(files,
					g_build_filename(path, name, NULL));
	if (dir)
		g_dir_close(dir);
	g_ptr_array_sort(files, compare_names);
	if (!files->len)
		g_ptr_array_add(errors,
				g_strdup_printf("%s:1: folder: expected at "
						"least one *.yaml file",
						path));
	return files;
}

static int load_one(const char *file, struct cfg_doc *whole, GPtrArray *leaves,
		    GPtrArray *errors)
{
	g_autofree char *text = NULL;
	g_autoptr(GError) gerror = NULL;
	GPtrArray *own;
	struct cfg_doc *doc;
	gsize size;
	int error;

	if (!g_file_get_contents(file, &text, &size, &gerror)) {
		g_ptr_array_add(errors, g_strdup_printf("%s:1: file: %s", file,
							gerror->message));
		return LP_ERROR_BAD_CONFIG;
	}
	error = load_schema(text, size, file, errors, &doc);
	if (error)
		return error;
	own = cfg_leaves(text, size);
	g_ptr_array_extend_and_steal(leaves, own);
	merge(whole, doc);
	cfg_doc_destroy(doc);
	return LP_OK;
}

static int check_size(const char *path, const char *text,
		      const struct cfg_doc *doc, GPtrArray *errors)
{
	size_t size = strlen(text);

	if (size <= CFG_TEXT_MAX)
		return LP_OK;
	g_ptr_array_add(errors,
			g_strdup_printf("%s:1: document: %zu bytes, expected "
					"at most %zu; it has %u organisations, "
					"%u services, %u pipelines",
					path, size, CFG_TEXT_MAX,
					doc->organisations_count,
					doc->services_count,
					doc->pipelines_count));
	return LP_ERROR_BAD_CONFIG;
}

int cfg_files_load(const char *path, GPtrArray *errors, char **text,
		   struct cfg_doc **out)
{
	g_autoptr(GPtrArray) files = list_files(path, errors);
	g_autoptr(GPtrArray) leaves = NULL;
	struct cfg_doc *doc = calloc(1, sizeof(*doc));
	guint before = errors->len;

	leaves = cfg_leaves("", 0);
	for (guint i = 0; i < files->len; i++)
		load_one(g_ptr_array_index(files, i), doc, leaves, errors);
	if (errors->len == before && files->len)
		cfg_check(doc, leaves, path, errors);
	if (errors->len == before && files->len) {
		*text = cfg_doc_text(doc);
		if (*text && !check_size(path, *text, doc, errors)) {
			*out = doc;
			return LP_OK;
		}
		g_free(*text);
	}
	cfg_doc_destroy(doc);
	return LP_ERROR_BAD_CONFIG;
}

/* ---- look-ups ---- */

const struct cfg_service *cfg_service_find(const struct cfg_doc *doc,
					   const char *name)
{
	for (uint32_t i = 0; i < doc->services_count; i++)
		if (!strcmp(doc->services[i].name, name))
			return &doc->services[i];
	return NULL;
}

const struct cfg_pipeline *cfg_pipeline_find(const struct cfg_doc *doc,
					     const char *name)
{
	for (uint32_t i = 0; i < doc->pipelines_count; i++)
		if (!strcmp(doc->pipelines[i].name, name))
			return &doc->pipelines[i];
	return NULL;
}

const struct cfg_organisation *cfg_organisation_find(const struct cfg_doc *doc,
						     const char *name)
{
	for (uint32_t i = 0; i < doc->organisations_count; i++)
		if (!strcmp(doc->organisations[i].name, name))
			return &doc->organisations[i];
	return NULL;
}

const struct cfg_organisation *
cfg_organisation_by_token(const struct cfg_doc *doc, const char *token)
{
	g_autofree char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);

	for (uint32_t i = 0; i < doc->organisations_count; i++)
		if (!g_ascii_strcasecmp(doc->organisations[i].token_sha256,
					digest))
			return &doc->organisations[i];
	return NULL;
}

bool cfg_may_call(const struct cfg_organisation *organisation,
		  const char *pipeline)
{
	for (uint32_t i = 0; i < organisation->pipelines_count; i++)
		if (!strcmp(organisation->pipelines[i], pipeline))
			return true;
	return false;
}

const char *cfg_stage_path(const struct cfg_doc *doc,
			   const struct cfg_stage *stage)
{
	static const char *const usual[] = {
		[CFG_KIND_ENCODE] = "/v1/embeddings",
		[CFG_KIND_RETRIEVE] = "/v1/retrieve",
		[CFG_KIND_RERANK] = "/v1/rerank",
		[CFG_KIND_GENERATE] = "/v1/completions",
		[CFG_KIND_PLAIN] = "/",
	};
	const struct cfg_service *service =
		cfg_service_find(doc, stage->service);

	return stage->path ? stage->path : usual[service->kind];
}
