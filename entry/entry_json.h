/** JSON input and results of stages: paths, field mappings, templates. */
#ifndef ENTRY_JSON_H
#define ENTRY_JSON_H

#include "config/cfg.h"

#include <json-glib/json-glib.h>

/** Deepest nesting of a request body. */
#define ENTRY_JSON_DEPTH_MAX 32

/** Values that a stage's input may refer to. Nodes are borrowed. */
struct entry_values {
	JsonNode *request;
	const struct cfg_pipeline *pipeline;
	JsonNode *const *results; /**< by stage; NULL: not completed */
};

/** Parse a caller's body. NULL unless it is an object, at most
 * ENTRY_JSON_DEPTH_MAX deep. */
JsonNode *entry_json_parse(const char *text, size_t size);
/** The node at "request.a.0.b" or "STAGE.a"; NULL if there is none. */
JsonNode *entry_lookup(const struct entry_values *values, const char *path);
/**
 * Build the body of a stage's call. In a template of `value`, "{{PATH}}" is
 * replaced by the node at the path. Free with json_node_unref().
 */
JsonNode *entry_stage_input(const struct entry_values *values, uint32_t stage);
/**
 * Make a completion call stream, and continue after `resume`, the text of
 * `resume_tokens` tokens that another upstream generated.
 */
void entry_enable_streaming(JsonNode *input, const char *resume,
			    uint32_t resume_tokens);
/** Build a stream's result from its text, its token count and `end`, which
 * may give the finish reason. */
JsonNode *entry_stream_result(const char *text, uint32_t tokens, JsonNode *end);

#endif
