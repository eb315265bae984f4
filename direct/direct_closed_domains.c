#include "direct/direct_closed_domains.h"

#include "base/lp_texts.h"

#define KIND_CLOSED_DOMAINS 'V'
#define CLOSED_DOMAINS_TYPE "(xas)" /* revision, domains */

struct direct_closed_domains {
	struct direct_closed_domains_options options;
	struct closed_domains *state;
	struct direct_peers *peers; /* NULL: no peers */
};

/* ---- sending to peers ---- */

static GVariant *
write_closed_domains(const struct direct_closed_domains *closed_domains)
{
	g_autoptr(GPtrArray) domains =
		closed_domains_list(closed_domains->state);
	GVariantBuilder names;

	g_variant_builder_init(&names, G_VARIANT_TYPE("as"));
	for (guint i = 0; i < domains->len; i++)
		g_variant_builder_add(&names, "s",
				      g_ptr_array_index(domains, i));
	return g_variant_new(
		CLOSED_DOMAINS_TYPE,
		(gint64)closed_domains_revision(closed_domains->state), &names);
}

static void on_peer_discovered(void *userdata, uint64_t peer)
{
	struct direct_closed_domains *closed_domains = userdata;
	g_autoptr(GVariant) body = NULL;

	if (!closed_domains_is_known(closed_domains->state))
		return;
	body = g_variant_ref_sink(write_closed_domains(closed_domains));
	direct_peers_send(closed_domains->peers, peer, KIND_CLOSED_DOMAINS,
			  body);
}

/* ---- receiving ---- */

static void report_change(struct direct_closed_domains *closed_domains,
			  const char *source)
{
	g_autoptr(GPtrArray) domains =
		closed_domains_list(closed_domains->state);
	struct lp_event_log *log = closed_domains->options.log;

	*lp_counter(closed_domains->options.counters, "linepier_closed_domains",
		    NULL) = domains->len;
	if (lp_event_begin(log, "closed_domains", NULL)) {
		g_autofree char *names = lp_texts_join(domains, ",");

		lp_event_text(log, "domains", names);
		lp_event_text(log, "source", source);
		lp_event_int(log, "revision",
			     closed_domains_revision(closed_domains->state));
		lp_event_end(log);
	}
	closed_domains->options.changed(closed_domains->options.userdata);
}

void direct_closed_domains_share(struct direct_closed_domains *closed_domains)
{
	if (closed_domains->peers &&
	    closed_domains_is_known(closed_domains->state))
		direct_peers_send_all(closed_domains->peers,
				      KIND_CLOSED_DOMAINS,
				      write_closed_domains(closed_domains));
}

static void publish_change(struct direct_closed_domains *closed_domains)
{
	report_change(closed_domains, "key_value");
	direct_closed_domains_share(closed_domains);
}

static void on_peer_closed_domains(void *userdata, uint64_t peer,
				   GVariant *body)
{
	struct direct_closed_domains *closed_domains = userdata;
	g_autofree const char **domains = NULL;
	gint64 revision;

	g_variant_get(body, "(x^a&s)", &revision, &domains);
	if (closed_domains_replace(closed_domains->state, revision, domains,
				   g_strv_length((char **)domains)))
		report_change(closed_domains, "peer");
}

void direct_closed_domains_set_all(struct direct_closed_domains *closed_domains,
				   int64_t revision, const char *const *domains,
				   uint32_t count)
{
	if (closed_domains_replace(closed_domains->state, revision, domains,
				   count))
		publish_change(closed_domains);
}

void direct_closed_domains_set(struct direct_closed_domains *closed_domains,
			       int64_t revision, const char *domain,
			       bool closed)
{
	if (closed_domains_set(closed_domains->state, revision, domain, closed))
		publish_change(closed_domains);
}

const struct closed_domains *
direct_closed_domains_known(const struct direct_closed_domains *closed_domains)
{
	return closed_domains->state;
}

/* ---- creation ---- */

void direct_closed_domains_set_peers(
	struct direct_closed_domains *closed_domains,
	struct direct_peers *peers)
{
	closed_domains->peers = peers;
	if (!peers)
		return;
	direct_peers_listen(peers, KIND_CLOSED_DOMAINS, CLOSED_DOMAINS_TYPE,
			    on_peer_closed_domains, closed_domains);
	direct_peers_on_discovered(peers, on_peer_discovered, closed_domains);
}

struct direct_closed_domains *direct_closed_domains_create(
	const struct direct_closed_domains_options *options)
{
	struct direct_closed_domains *closed_domains =
		g_new0(struct direct_closed_domains, 1);

	closed_domains->options = *options;
	closed_domains->state = closed_domains_create();
	return closed_domains;
}

void direct_closed_domains_destroy(struct direct_closed_domains *closed_domains)
{
	if (!closed_domains)
		return;
	closed_domains_destroy(closed_domains->state);
	g_free(closed_domains);
}
