/*
 * Feeds the HTTP parser in pieces, then with the last piece again and again:
 * what it keeps, and what it reads of a head or between parts of a body, is
 * limited.
 */
#include "../cwrap.h"

#include <cstdlib>

namespace
{

const size_t REPEATED_BYTES = 262144;
const size_t HEAD_BYTES_MAX = 2048;

struct Fuzzed {
	http_parse parse = {};
	size_t body_bytes = 0;
	size_t others_bytes = 0; /* since the last byte of the body */
};

void on_body(void *userdata, const char *, size_t size)
{
	static_cast<Fuzzed *>(userdata)->body_bytes += size;
}

/* Returns whether the message goes on. */
bool feed(Fuzzed *fuzzed, const char *bytes, size_t size)
{
	size_t body_before = fuzzed->body_bytes;
	size_t used;
	int error = http_parse_feed(&fuzzed->parse, bytes, size, &used);
	int64_t held = http_parse_held_bytes(&fuzzed->parse);

	if (used > size ||
	    held > (int64_t)HEAD_BYTES_MAX + 48 * (HTTP_FIELDS_MAX + 1))
		abort();
	if (error == LP_ERROR_TOO_LARGE && !fuzzed->parse.excess.limit)
		abort();
	if (error || fuzzed->parse.is_complete)
		return false;
	fuzzed->others_bytes = fuzzed->body_bytes == body_before
				       ? fuzzed->others_bytes + size
				       : 0;
	if (fuzzed->others_bytes > 2 * HEAD_BYTES_MAX + size)
		abort();
	return true;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	Fuzzed fuzzed;
	const char *text = (const char *)data + 2;
	size_t piece;
	bool goes_on = true;

	if (size < 3)
		return 0;
	size -= 2;
	piece = 1 + data[1] % 64;
	http_parse_init(&fuzzed.parse,
			data[0] & 1 ? HTTP_RESPONSE : HTTP_REQUEST);
	fuzzed.parse.head_bytes_max = HEAD_BYTES_MAX;
	fuzzed.parse.no_body = data[0] & 2;
	fuzzed.parse.body = on_body;
	fuzzed.parse.userdata = &fuzzed;
	for (size_t at = 0; goes_on && at < size; at += piece)
		goes_on = feed(&fuzzed, text + at, MIN(piece, size - at));
	for (size_t bytes = 0; goes_on && bytes < REPEATED_BYTES;
	     bytes += MIN(piece, size))
		goes_on = feed(&fuzzed, text + size - MIN(piece, size),
			       MIN(piece, size));
	http_parse_end(&fuzzed.parse);
	http_parse_restart(&fuzzed.parse);
	http_parse_clear(&fuzzed.parse);
	return 0;
}
