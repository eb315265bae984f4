#include "direct/direct_fetch.h"

struct http_fetch *direct_fetch_start(const struct direct_codec *codec,
				      const struct pool_upstream *upstream,
				      const struct http_fetch_options *options)
{
	struct http_fetch_options filled = *options;
	struct http_fetch *fetch;
	struct http_fields fields;

	http_fields_init(&fields);
	codec->write_call(upstream->entry.id, &fields);
	filled.address = upstream->entry.address;
	filled.fields = &fields;
	filled.connect_timeout_us = DIRECT_CONNECT_TIMEOUT_US;
	fetch = http_fetch_start(&filled);
	http_fields_clear(&fields);
	return fetch;
}
