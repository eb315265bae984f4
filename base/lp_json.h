/**
 * Members of a JSON object under construction, and its text; and reading of
 * texts that come from peers.
 *
 * The library's parser recurses into each array and object, so that a deeply
 * nested text overflows the stack. Texts are checked before they are parsed.
 */
#ifndef LP_JSON_H
#define LP_JSON_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Deepest nesting of a text from a peer. */
#define LP_JSON_DEPTH_MAX 64

/** Whether a text has no deeper nesting, no second value, and outside of its
 * strings no character that is not JSON: the parser also accepts comments, and
 * leaks all values but the last. */
bool lp_json_is_plain(const char *text, size_t size, uint32_t depth_max);
/** Parse a text of this size, -1: up to its zero byte, with
 * LP_JSON_DEPTH_MAX. */
bool lp_json_load(JsonParser *parser, const char *text, gssize size);
/** The node of a text, with LP_JSON_DEPTH_MAX, or NULL; json_node_unref(). */
JsonNode *lp_json_node(const char *text);
void lp_json_text(JsonBuilder *builder, const char *name, const char *value);
void lp_json_int(JsonBuilder *builder, const char *name, int64_t value);
void lp_json_bool(JsonBuilder *builder, const char *name, bool value);
/** The object that a text holds, owned by the parser; NULL: it holds none. */
JsonObject *lp_json_read(JsonParser *parser, const char *text);
/** What was built, on one line; g_free(). */
char *lp_json_print(JsonBuilder *builder);

#endif
