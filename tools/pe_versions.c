#include "tools/pe_private.h"

#include <string.h>

/* The attempt that delivered the first event of this stream: the caller names
 * it when it takes the stream up. */
static const char *first_attempt(const struct pe_conn *conn)
{
	const char *resumed = pe_conn_field(conn, "Resumes");

	return resumed ? resumed : pe_conn_field(conn, "X-Attempt-Id");
}

static void note_mixed(struct pe_upstream *upstream, const char *attempt,
		       const char *version)
{
	struct pe *pe = upstream->pe;

	pe->mixed_streams++;
	pe_breach(pe, "stream %s began at version %s and goes on at %s (%s)",
		  attempt, version, upstream->version, upstream->id);
}

void pe_versions_event(struct pe_upstream *upstream, struct pe_conn *conn)
{
	GHashTable *versions = upstream->pe->stream_versions;
	const char *attempt = first_attempt(conn);
	const char *version = g_hash_table_lookup(versions, attempt);

	if (!pe_conn_field(conn, "Last-Event-Id"))
		g_hash_table_replace(versions, g_strdup(attempt),
				     g_strdup(upstream->version));
	else if (version && strcmp(version, upstream->version) != 0)
		note_mixed(upstream, attempt, version);
}

uint32_t pe_mixed_streams(const struct pe *pe)
{
	return pe->mixed_streams;
}

void pe_set_version(struct pe_upstream *upstream, const char *version)
{
	g_free(upstream->version);
	upstream->version = g_strdup(version);
	pe_tell(upstream);
}
