#include "direct/direct_closed_domains.h"

#include "base/lp_texts.h"
#include "base/lp_timer.h"

#define KIND_CLOSED_DOMAINS 'W'
/* Era of the service; era and revision of the domains; domains. */
#define CLOSED_DOMAINS_TYPE "(xxxas)"

struct direct_closed_domains {
	struct direct_closed_domains_options options;
	struct closed_domains *state;
	struct direct_peers *peers; /* NULL: no peers */
	int64_t era;		    /* the highest that is known */
	guint retained_timer;
};

/* ---- sending to peers ---- */

static GVariant *
write_closed_domains(const struct direct_closed_domains *closed_domains)
{
	g_autoptr(GPtrArray) domains =
		closed_domains_list(closed_domains->state);
	const struct store_revision *revision =
		closed_domains_revision(closed_domains->state);
	GVariantBuilder names;

	g_variant_builder_init(&names, G_VARIANT_TYPE("as"));
	for (guint i = 0; i < domains->len; i++)
		g_variant_builder_add(&names, "s",
				      g_ptr_array_index(domains, i));
	return g_variant_new(CLOSED_DOMAINS_TYPE, (gint64)closed_domains->era,
			     (gint64)revision->era, (gint64)revision->revision,
			     &names);
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
	const struct store_revision *revision =
		closed_domains_revision(closed_domains->state);
	struct lp_event_log *log = closed_domains->options.log;

	*lp_counter(closed_domains->options.counters, "linepier_closed_domains",
		    NULL) = domains->len;
	if (lp_event_begin(log, "closed_domains", NULL)) {
		g_autofree char *names = lp_texts_join(domains, ",");

		lp_event_text(log, "domains", names);
		lp_event_text(log, "source", source);
		lp_event_int(
			log, "retained",
			closed_domains_retained_count(closed_domains->state));
		lp_event_int(log, "era", revision->era);
		lp_event_int(log, "revision", revision->revision);
		lp_event_end(log);
	}
	closed_domains->options.changed(closed_domains->options.userdata);
}

static gboolean on_retained_timer(gpointer userdata)
{
	struct direct_closed_domains *closed_domains = userdata;

	closed_domains->retained_timer = 0;
	closed_domains_drop_retained(closed_domains->state);
	report_change(closed_domains, "not_closed_again");
	return G_SOURCE_REMOVE;
}

static void update_retained_timer(struct direct_closed_domains *closed_domains)
{
	if (!closed_domains->retained_timer &&
	    closed_domains_retained_count(closed_domains->state))
		closed_domains->retained_timer = lp_timer_add(
			(guint)(STORE_ERA_REWRITE_US / LP_US_PER_MS),
			on_retained_timer, closed_domains);
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
	update_retained_timer(closed_domains);
	report_change(closed_domains, "key_value");
	direct_closed_domains_share(closed_domains);
}

static void on_peer_closed_domains(void *userdata, uint64_t peer,
				   GVariant *body)
{
	struct direct_closed_domains *closed_domains = userdata;
	g_autofree const char **domains = NULL;
	struct store_revision at;
	gint64 era;
	gint64 domains_era;
	gint64 revision;

	g_variant_get(body, "(xxx^a&s)", &era, &domains_era, &revision,
		      &domains);
	direct_closed_domains_note_era(closed_domains, era);
	at = (struct store_revision){ domains_era, revision };
	if (!closed_domains_replace(closed_domains->state, &at, domains,
				    g_strv_length((char **)domains)))
		return;
	update_retained_timer(closed_domains);
	report_change(closed_domains, "peer");
}

static void report_restore(const struct direct_closed_domains *closed_domains,
			   int64_t before)
{
	struct lp_event_log *log = closed_domains->options.log;

	*lp_counter(closed_domains->options.counters,
		    "linepier_store_restores_total", NULL) += 1;
	if (!lp_event_begin(log, "store_restored", NULL))
		return;
	lp_event_int(log, "before", before);
	lp_event_int(log, "era", closed_domains->era);
	lp_event_end(log);
}

void direct_closed_domains_note_era(
	struct direct_closed_domains *closed_domains, int64_t era)
{
	int64_t before = closed_domains->era;
	bool is_first = before == STORE_ERA_UNKNOWN;

	if (era <= closed_domains->era)
		return;
	closed_domains->era = era;
	if (is_first)
		return;
	report_restore(closed_domains, before);
	direct_closed_domains_share(closed_domains);
	closed_domains->options.restored(closed_domains->options.userdata);
}

void direct_closed_domains_set_all(struct direct_closed_domains *closed_domains,
				   const struct store_revision *revision,
				   const char *const *domains, uint32_t count)
{
	direct_closed_domains_note_era(closed_domains, revision->era);
	if (closed_domains_replace(closed_domains->state, revision, domains,
				   count))
		publish_change(closed_domains);
}

void direct_closed_domains_set(struct direct_closed_domains *closed_domains,
			       const struct store_revision *revision,
			       const char *domain, bool closed)
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
	closed_domains->era = STORE_ERA_UNKNOWN;
	return closed_domains;
}

void direct_closed_domains_destroy(struct direct_closed_domains *closed_domains)
{
	if (!closed_domains)
		return;
	if (closed_domains->retained_timer)
		g_source_remove(closed_domains->retained_timer);
	closed_domains_destroy(closed_domains->state);
	g_free(closed_domains);
}
