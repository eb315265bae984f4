#include "config/cfg_record.h"

#include "base/lp_error.h"
#include "base/lp_json.h"

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <string.h>

#define UNPACKED_MAX (4u << 20)

struct cfg_record *cfg_record_create(uint64_t revision, const char *apply_id,
				     const char *who, const char *text)
{
	struct cfg_record *record = g_new0(struct cfg_record, 1);

	record->revision = revision;
	record->apply_id = g_strdup(apply_id);
	record->who = g_strdup(who);
	record->when_us = g_get_real_time();
	record->text = g_strdup(text);
	return record;
}

void cfg_record_destroy(struct cfg_record *record)
{
	if (!record)
		return;
	g_free(record->apply_id);
	g_free(record->who);
	g_free(record->text);
	g_free(record);
}

char *cfg_record_print(const struct cfg_record *record)
{
	g_autoptr(JsonBuilder) builder = json_builder_new();

	json_builder_begin_object(builder);
	lp_json_int(builder, "revision", (int64_t)record->revision);
	lp_json_text(builder, "apply_id", record->apply_id);
	lp_json_text(builder, "who", record->who);
	lp_json_int(builder, "when_us", record->when_us);
	lp_json_text(builder, "text", record->text);
	json_builder_end_object(builder);
	return lp_json_print(builder);
}

int cfg_record_parse(const char *json, struct cfg_record **out)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *root;
	JsonObject *object;

	if (!lp_json_load(parser, json, -1))
		return LP_ERROR_BAD_CONFIG;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return LP_ERROR_BAD_CONFIG;
	object = json_node_get_object(root);
	*out = cfg_record_create(
		(uint64_t)json_object_get_int_member_with_default(
			object, "revision", 0),
		json_object_get_string_member_with_default(object, "apply_id",
							   ""),
		json_object_get_string_member_with_default(object, "who", ""),
		json_object_get_string_member_with_default(object, "text", ""));
	(*out)->when_us =
		json_object_get_int_member_with_default(object, "when_us", 0);
	return LP_OK;
}

/* ---- packing ---- */

/* NULL when the data does not convert, or grows past UNPACKED_MAX. */
static GBytes *convert(GConverter *converter, const void *data, size_t size)
{
	g_autoptr(GInputStream) plain =
		g_memory_input_stream_new_from_data(data, (gssize)size, NULL);
	g_autoptr(GInputStream) stream =
		g_converter_input_stream_new(plain, converter);
	g_autofree char *buffer = g_malloc(UNPACKED_MAX);
	gsize got;

	if (!g_input_stream_read_all(stream, buffer, UNPACKED_MAX, &got, NULL,
				     NULL) ||
	    got == UNPACKED_MAX)
		return NULL;
	return g_bytes_new(buffer, got);
}

static GBytes *pack(const char *json)
{
	g_autoptr(GZlibCompressor) compressor =
		g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, -1);

	return convert(G_CONVERTER(compressor), json, strlen(json));
}

static char *unpack(GBytes *packed)
{
	g_autoptr(GZlibDecompressor) decompressor =
		g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
	gsize size;
	const void *data = g_bytes_get_data(packed, &size);
	g_autoptr(GBytes) plain =
		convert(G_CONVERTER(decompressor), data, size);
	const char *text;

	if (!plain)
		return NULL;
	text = g_bytes_get_data(plain, &size);
	return text ? g_strndup(text, size) : NULL;
}

/* ---- snapshots ---- */

int cfg_snapshot_create(const struct cfg_record *record,
			struct cfg_snapshot **out)
{
	g_autoptr(GPtrArray) errors = cfg_errors_create();
	g_autofree char *json = cfg_record_print(record);
	struct cfg_doc *doc;
	int error = cfg_doc_load(record->text, strlen(record->text), CFG_KEY,
				 errors, &doc);

	if (error)
		return error;
	*out = g_new0(struct cfg_snapshot, 1);
	(*out)->refs = 1;
	(*out)->revision = record->revision;
	(*out)->since_us = g_get_real_time();
	(*out)->doc = doc;
	(*out)->packed = pack(json);
	return LP_OK;
}

int cfg_snapshot_unpack(GBytes *packed, struct cfg_snapshot **out)
{
	g_autofree char *json = unpack(packed);
	struct cfg_record *record;
	int error;

	if (!json || cfg_record_parse(json, &record))
		return LP_ERROR_BAD_CONFIG;
	error = cfg_snapshot_create(record, out);
	cfg_record_destroy(record);
	return error;
}

void cfg_snapshot_forget_doc(struct cfg_snapshot *snapshot)
{
	cfg_doc_destroy(snapshot->doc);
	snapshot->doc = NULL;
}

struct cfg_snapshot *cfg_snapshot_ref(struct cfg_snapshot *snapshot)
{
	snapshot->refs += 1;
	return snapshot;
}

void cfg_snapshot_unref(struct cfg_snapshot *snapshot)
{
	if (!snapshot || --snapshot->refs)
		return;
	if (snapshot->attached)
		snapshot->free_attached(snapshot->attached);
	cfg_doc_destroy(snapshot->doc);
	g_bytes_unref(snapshot->packed);
	g_free(snapshot);
}
