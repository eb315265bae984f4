/*
 * Feeds the decoders of what upstreams, the key-value service, peers and
 * callers send as text: neither may read outside of it, nor overflow the stack.
 */
#include "../cwrap.h"

#include <cstdlib>

namespace
{

const uint32_t ITEMS = 3;
/* Bytes up to which a text may be repeated: nesting that a short input cannot
 * have. */
const size_t REPEATED_BYTES = 65536;

void read_json(const char *text, size_t size)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *node = entry_json_parse(text, size);

	lp_json_read(parser, text);
	if (node)
		json_node_unref(node);
}

void read_answers(const char *text, size_t size)
{
	const direct_codec *codec = plf_codec();
	direct_item_outcome items[ITEMS] = {};
	direct_result_memory memory = {};
	g_autoptr(GArray) blocks =
		g_array_new(FALSE, FALSE, sizeof(pool_prefix_block));
	int64_t born_ms;

	if (codec->read_items(text, size, items, ITEMS, &born_ms))
		for (uint32_t i = 0; i < ITEMS; i++)
			g_free(items[i].handle);
	codec->read_result_memory(text, size, &memory);
	codec->read_prefix_cache(text, size, blocks);
}

void read_records(const char *text, size_t size)
{
	pool_upstream_info info = {};
	plf_upstream_list *list = plf_upstream_list_parse(text);
	direct_config *config;
	g_autofree char *problem = nullptr;
	const char *field = nullptr;

	if (list)
		plf_upstream_list_destroy(list);
	if (!plf_upstream_read("servers/i-1", text, size, &info, &field))
		plf_upstream_clear(&info);
	config = plf_config_read(text, &problem);
	if (config)
		direct_config_unref(config);
}

void read_events(const char *text, size_t size)
{
	g_autofree char *last_id = nullptr;

	direct_event_stream stream = {};

	if (direct_event_stream_complete_size(&stream, text, size, &last_id) >
	    size)
		abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static void (*const readers[])(const char *text, size_t size) = {
		read_json, read_answers, read_records, read_events
	};
	g_autoptr(GString) text = g_string_new(nullptr);
	size_t copies;

	if (size < 2)
		return 0;
	copies = data[0] & 0x80 ? REPEATED_BYTES / size : 1;
	for (size_t i = 0; i < MAX(copies, (size_t)1); i++)
		g_string_append_len(text, (const char *)data + 1,
				    (gssize)size - 1);
	readers[data[0] % G_N_ELEMENTS(readers)](text->str, text->len);
	return 0;
}
