#include "direct/direct_closures.h"

#include "base/lp_texts.h"

#define KIND_CLOSURES 'V'
#define CLOSURES_TYPE "(xas)" /* revision, domains */

struct direct_closures {
	struct direct_closures_options options;
	struct closures *known;
	struct direct_peers *peers; /* NULL: nobody */
};

/* ---- telling ---- */

static GVariant *write_known(const struct direct_closures *closures)
{
	g_autoptr(GPtrArray) domains = closures_list(closures->known);
	GVariantBuilder names;

	g_variant_builder_init(&names, G_VARIANT_TYPE("as"));
	for (guint i = 0; i < domains->len; i++)
		g_variant_builder_add(&names, "s",
				      g_ptr_array_index(domains, i));
	return g_variant_new(CLOSURES_TYPE,
			     (gint64)closures_revision(closures->known),
			     &names);
}

static void on_met(void *userdata, uint64_t peer)
{
	struct direct_closures *closures = userdata;
	g_autoptr(GVariant) body = NULL;

	if (!closures_is_known(closures->known))
		return;
	body = g_variant_ref_sink(write_known(closures));
	direct_peers_send(closures->peers, peer, KIND_CLOSURES, body);
}

/* ---- learning ---- */

static void note_change(struct direct_closures *closures, const char *source)
{
	g_autoptr(GPtrArray) domains = closures_list(closures->known);
	struct lp_event_log *log = closures->options.log;

	*lp_counter(closures->options.counters, "linepier_closed_domains",
		    NULL) = domains->len;
	if (lp_event_begin(log, "closed_domains", NULL)) {
		g_autofree char *names = lp_texts_join(domains, ",");

		lp_event_text(log, "domains", names);
		lp_event_text(log, "source", source);
		lp_event_int(log, "revision",
			     closures_revision(closures->known));
		lp_event_end(log);
	}
	closures->options.changed(closures->options.userdata);
}

static void take_from_service(struct direct_closures *closures)
{
	note_change(closures, "key_value");
	if (closures->peers)
		direct_peers_send_all(closures->peers, KIND_CLOSURES,
				      write_known(closures));
}

static void on_word(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_closures *closures = userdata;
	g_autofree const char **domains = NULL;
	gint64 revision;

	g_variant_get(body, "(x^a&s)", &revision, &domains);
	if (closures_set_all(closures->known, revision, domains,
			     g_strv_length((char **)domains)))
		note_change(closures, "peer");
}

void direct_closures_set_all(struct direct_closures *closures, int64_t revision,
			     const char *const *domains, uint32_t count)
{
	if (closures_set_all(closures->known, revision, domains, count))
		take_from_service(closures);
}

void direct_closures_set(struct direct_closures *closures, int64_t revision,
			 const char *domain, bool closed)
{
	if (closures_set(closures->known, revision, domain, closed))
		take_from_service(closures);
}

const struct closures *
direct_closures_known(const struct direct_closures *closures)
{
	return closures->known;
}

/* ---- start and end ---- */

void direct_closures_set_peers(struct direct_closures *closures,
			       struct direct_peers *peers)
{
	closures->peers = peers;
	if (!peers)
		return;
	direct_peers_listen(peers, KIND_CLOSURES, CLOSURES_TYPE, on_word,
			    closures);
	direct_peers_on_discovered(peers, on_met, closures);
}

struct direct_closures *
direct_closures_create(const struct direct_closures_options *options)
{
	struct direct_closures *closures = g_new0(struct direct_closures, 1);

	closures->options = *options;
	closures->known = closures_create();
	return closures;
}

void direct_closures_destroy(struct direct_closures *closures)
{
	if (!closures)
		return;
	closures_destroy(closures->known);
	g_free(closures);
}
