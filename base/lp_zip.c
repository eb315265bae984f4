#include "base/lp_zip.h"

#include <gio/gio.h>
#include <string.h>

#define LEVEL 1
#define CHUNK_BYTES 65536

GBytes *lp_zip(const char *text)
{
	g_autoptr(GZlibCompressor) zip =
		g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_GZIP, LEVEL);
	g_autoptr(GOutputStream) memory =
		g_memory_output_stream_new_resizable();
	g_autoptr(GOutputStream) stream =
		g_converter_output_stream_new(memory, G_CONVERTER(zip));

	/* Writing to memory fails only as memory does: by the process's end. */
	g_output_stream_write_all(stream, text, strlen(text), NULL, NULL, NULL);
	g_output_stream_close(stream, NULL, NULL);
	return g_memory_output_stream_steal_as_bytes(
		G_MEMORY_OUTPUT_STREAM(memory));
}

char *lp_unzip(const char *bytes, gsize size, gsize size_max)
{
	g_autoptr(GZlibDecompressor) zip =
		g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_GZIP);
	g_autoptr(GInputStream) memory =
		g_memory_input_stream_new_from_data(bytes, (gssize)size, NULL);
	g_autoptr(GInputStream) stream =
		g_converter_input_stream_new(memory, G_CONVERTER(zip));
	g_autofree char *chunk = g_malloc(CHUNK_BYTES);
	GString *text = g_string_new(NULL);
	gssize read;

	do {
		read = g_input_stream_read(stream, chunk, CHUNK_BYTES, NULL,
					   NULL);
		if (read > 0)
			g_string_append_len(text, chunk, read);
	} while (read > 0 && text->len <= size_max);
	if (!read && text->len <= size_max)
		return g_string_free(text, FALSE);
	g_string_free(text, TRUE);
	return NULL;
}
