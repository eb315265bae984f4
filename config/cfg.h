/**
 * The configuration: one document for organisations, services, pipelines.
 *
 * Files are YAML, checked against a schema and then as a whole. Errors name
 * file, line and field. A document is immutable once loaded; a snapshot adds
 * the revision under which it is in force and is shared by reference count.
 */
#ifndef CFG_H
#define CFG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Largest stored document, bytes: the platform's value limit is 1 MiB. */
#define CFG_TEXT_MAX ((size_t)900 * 1024)
#define CFG_STAGES_MAX 6

enum cfg_kind {
	CFG_KIND_ENCODE,
	CFG_KIND_RETRIEVE,
	CFG_KIND_RERANK,
	CFG_KIND_GENERATE,
	CFG_KIND_PLAIN,
};

enum cfg_fencing {
	CFG_FENCING_CHECKED, /**< the upstream refuses old numbers */
	CFG_FENCING_IGNORED,
};

struct cfg_organisation {
	char *name;
	char *token_sha256;  /**< hex digest of the bearer token */
	uint32_t weight;     /**< share of a busy upstream; 0: 1 */
	uint32_t rate_per_s; /**< fleet-wide; 0: no limit */
	char **pipelines;
	uint32_t pipelines_count;
};

struct cfg_service {
	char *name;
	enum cfg_kind kind;
	uint32_t concurrency; /**< most calls at once at one upstream */
	uint32_t usual_ms;    /**< for checking deadlines; 0: unknown */
	enum cfg_fencing fencing;
	char *model; /**< its upstreams are ordered to serve; NULL: none */
	uint32_t order_timeout_ms; /**< an order may act this long; 0: 10 s */
};

/** One field of a stage's input. */
struct cfg_input {
	char *field; /**< dotted path in the stage's request body */
	char *from;  /**< "request.PATH" or "STAGE.PATH"; or NULL */
	char *value; /**< literal JSON, when `from` is NULL */
};

struct cfg_stage {
	char *name;
	char *service;
	bool repeatable;
	char *path; /**< HTTP path; NULL: usual for the service's kind */
	struct cfg_input *input;
	uint32_t input_count;
};

struct cfg_pipeline {
	char *name;
	uint32_t deadline_ms;
	char *affinity; /**< "request.PATH" whose value names the prefix */
	char *answer;	/**< stage whose result is the answer; NULL: last */
	struct cfg_stage *stages;
	uint32_t stages_count;
};

struct cfg_doc {
	struct cfg_organisation *organisations;
	uint32_t organisations_count;
	struct cfg_service *services;
	uint32_t services_count;
	struct cfg_pipeline *pipelines;
	uint32_t pipelines_count;
};

/** A list of error lines, "FILE:LINE: FIELD: what was expected". */
GPtrArray *cfg_errors_create(void);

/**
 * Load and check one text. `file` stands in errors. Returns LP_OK or
 * LP_ERROR_BAD_CONFIG with lines added to `errors`. Free with
 * cfg_doc_destroy().
 */
int cfg_doc_load(const char *text, size_t size, const char *file,
		 GPtrArray *errors, struct cfg_doc **out);
/**
 * Load a file, or every *.yaml of a folder, as one document in canonical
 * text. Nothing is checked less than by cfg_doc_load().
 */
int cfg_files_load(const char *path, GPtrArray *errors, char **text,
		   struct cfg_doc **out);
void cfg_doc_destroy(struct cfg_doc *doc);
/** Canonical YAML; g_free(). */
char *cfg_doc_text(const struct cfg_doc *doc);

const struct cfg_service *cfg_service_find(const struct cfg_doc *doc,
					   const char *name);
const struct cfg_pipeline *cfg_pipeline_find(const struct cfg_doc *doc,
					     const char *name);
const struct cfg_organisation *
cfg_organisation_by_token(const struct cfg_doc *doc, const char *token);
const struct cfg_organisation *cfg_organisation_find(const struct cfg_doc *doc,
						     const char *name);
bool cfg_may_call(const struct cfg_organisation *organisation,
		  const char *pipeline);
/** HTTP path of a stage. */
const char *cfg_stage_path(const struct cfg_doc *doc,
			   const struct cfg_stage *stage);

/** One leaf of a document: "pipelines.NAME.deadline_ms" and its value. */
struct cfg_leaf {
	char *path;
	char *value;
	uint32_t line;
};

/** The leaves of a YAML text, struct cfg_leaf *; NULL if it can't be read. */
GPtrArray *cfg_leaves(const char *text, size_t size);
/** Lines "+ path: value", "- path: value", "~ path: old -> new". */
GPtrArray *cfg_diff(const char *from, const char *to);

#endif
