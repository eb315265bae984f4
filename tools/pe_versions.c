#include "tools/pe_private.h"

#include <string.h>

/* The attempt that delivered the first event of this stream: the caller names
 * it when it resumes the stream. */
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

const char *pe_version(const struct pe_upstream *upstream)
{
	return upstream->version;
}

bool pe_is_of(const struct pe_upstream *upstream, const char *service)
{
	return !strcmp(upstream->service, service);
}

const char *pe_stream_version(const struct pe *pe, const char *attempt)
{
	return g_hash_table_lookup(pe->stream_versions, attempt);
}

uint32_t pe_ready_count(const struct pe *pe, const char *service,
			const char *version)
{
	uint32_t count = 0;

	for (guint i = 0; i < pe->upstreams->len; i++) {
		const struct pe_upstream *upstream =
			g_ptr_array_index(pe->upstreams, i);

		count += pe_is_of(upstream, service) && !upstream->away &&
			 !upstream->draining &&
			 upstream->fault == PE_FAULT_NONE &&
			 !strcmp(upstream->version, version);
	}
	return count;
}
