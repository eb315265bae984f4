#include "tools/pe_caller.h"

#include <glib.h>

static void add(struct http_fields *out, const char *name, const char *value)
{
	if (value)
		http_fields_add(out, name, value);
}

void pe_caller_write(const struct pe_caller_request *request,
		     struct http_fields *out)
{
	g_autofree char *authorization =
		request->key ? g_strconcat("Bearer ", request->key, NULL)
			     : NULL;

	add(out, "Host", "a.example");
	add(out, "X-Attempt-Id", request->attempt);
	add(out, "Authorization", authorization);
	if (request->timeout_ms)
		http_fields_add_int(out, "X-Deadline-Ms", request->timeout_ms);
	add(out, "X-Token-Counts", request->tokens);
	add(out, "X-Prompt-Prefix", request->prompt);
	add(out, "X-Pieces", request->pieces);
	add(out, "X-Piece-Key", request->piece_key);
	add(out, "Resumes", request->resumed_attempt);
	add(out, "Last-Event-Id", request->last_event);
}
