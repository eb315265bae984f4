/** JSON in and out of stages: paths, field mappings, templates. */
#ifndef ENTRY_JSON_H
#define ENTRY_JSON_H

#include "config/cfg.h"

#include <json-glib/json-glib.h>

/** Deepest nesting of a request body. */
#define ENTRY_JSON_DEPTH_MAX 32

/** What a stage's input may draw on. Nodes are borrowed. */
struct entry_values {
	JsonNode *request;
	const struct cfg_pipeline *pipeline;
	JsonNode *const *results; /**< by stage; NULL: not done yet */
};

/** Parse a caller's body: an object, not too deep. NULL if it is not. */
JsonNode *entry_json_parse(const char *text, size_t size);
/** The node at "request.a.0.b" or "STAGE.a"; NULL if there is none. */
JsonNode *entry_lookup(const struct entry_values *values, const char *path);
/**
 * The body of a stage's call. In texts of `value`, "{{PATH}}" stands for
 * what the path leads to. Free with json_node_unref().
 */
JsonNode *entry_stage_input(const struct entry_values *values, uint32_t stage);
/**
 * Make a completion call stream, and go on after `resume`, the text of
 * `resume_tokens` tokens that another upstream had made.
 */
void entry_enable_streaming(JsonNode *input, const char *resume,
			    uint32_t resume_tokens);
/** The result of a stream: the text and how many tokens it has. */
JsonNode *entry_stream_result(const char *text, uint32_t tokens, JsonNode *end);

#endif
