#include "http/http_memory.h"

#include <glib.h>

#define SHARES_OF_FREE 4

void http_holding_set(struct http_holding *holding, int64_t bytes)
{
	if (holding->memory)
		holding->memory->held_bytes += bytes - holding->bytes;
	holding->bytes = bytes;
}

bool http_memory_fits(const struct http_memory *memory, int64_t bytes)
{
	return !memory || !memory->limit_bytes ||
	       memory->held_bytes + bytes <= memory->limit_bytes;
}

int64_t http_memory_share(const struct http_memory *memory, int64_t min_bytes,
			  int64_t max_bytes)
{
	if (!memory || !memory->limit_bytes)
		return max_bytes;
	return CLAMP((memory->limit_bytes - memory->held_bytes) /
			     SHARES_OF_FREE,
		     min_bytes, max_bytes);
}
