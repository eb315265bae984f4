/** Members of a JSON object under construction, and its text. */
#ifndef LP_JSON_H
#define LP_JSON_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

void lp_json_text(JsonBuilder *builder, const char *name, const char *value);
void lp_json_int(JsonBuilder *builder, const char *name, int64_t value);
void lp_json_bool(JsonBuilder *builder, const char *name, bool value);
/** The object that a text holds, owned by the parser; NULL: it holds none. */
JsonObject *lp_json_read(JsonParser *parser, const char *text);
/** What was built, on one line; g_free(). */
char *lp_json_print(JsonBuilder *builder);

#endif
