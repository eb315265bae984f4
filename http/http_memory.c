#include "http/http_memory.h"

#include <glib.h>

#define SHARES_OF_FREE 4

static void update(struct http_holding *holding, int64_t reserved_bytes,
		   int64_t bytes)
{
	int64_t before = MAX(holding->reserved_bytes, holding->bytes);

	holding->reserved_bytes = reserved_bytes;
	holding->bytes = bytes;
	if (holding->memory)
		holding->memory->held_bytes +=
			MAX(reserved_bytes, bytes) - before;
}

void http_holding_add(struct http_holding *holding, int64_t bytes)
{
	update(holding, holding->reserved_bytes, holding->bytes + bytes);
}

void http_holding_set(struct http_holding *holding, int64_t bytes)
{
	update(holding, holding->reserved_bytes, bytes);
}

void http_holding_reserve(struct http_holding *holding, int64_t bytes)
{
	update(holding, bytes, holding->bytes);
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
	return CLAMP((memory->limit_bytes / 2 - memory->held_bytes) /
			     SHARES_OF_FREE,
		     min_bytes, max_bytes);
}
