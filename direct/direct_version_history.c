#include "direct/direct_version_history.h"

#include "base/lp_id.h"
#include "direct/direct_peers.h"
#include "policy/version_history.h"

#define KIND_HISTORY 'M'
/* us since the history begins (G_MAXINT64: with the fleet), us since the last
 * list; service, version, us since it was listed */
#define HISTORY_TYPE "(xxa(ttx))"
/* Versions in a datagram: about 6 KB. */
#define HISTORY_MAX 250

struct direct_version_history {
	struct direct_version_history_options options;
	struct direct_peers *peers; /* NULL: no peers */
	struct version_history *versions;
};

/* ---- lists ---- */

static void add_upstream(void *userdata, const struct pool_upstream *upstream)
{
	struct direct_version_history *history = userdata;

	version_history_add(history->versions,
			    lp_hash_str(upstream->info.service),
			    upstream->version_id);
}

void direct_version_history_add_list(struct direct_version_history *history,
				     const struct pool *pool, int64_t read_us)
{
	version_history_begin_list(history->versions, read_us);
	pool_foreach(pool, add_upstream, history);
}

void direct_version_history_confirm_list(struct direct_version_history *history,
					 int64_t read_us)
{
	version_history_confirm_list(history->versions, read_us);
}

int64_t
direct_version_history_read_us(const struct direct_version_history *history)
{
	return version_history_read_us(history->versions);
}

uint64_t direct_version_history_sole_version(
	const struct direct_version_history *history, const char *service,
	int64_t since_us)
{
	return version_history_sole_version(history->versions,
					    lp_hash_str(service), since_us);
}

/* ---- exchange with peers ---- */

static void send_history(void *userdata, uint64_t peer)
{
	struct direct_version_history *history = userdata;
	int64_t at_us = lp_now_us(history->options.clock);
	struct version_history_view view;
	GVariantBuilder listings;
	g_autoptr(GVariant) body = NULL;

	if (!version_history_get_view(history->versions, &view) ||
	    !view.count || view.count > HISTORY_MAX)
		return;
	g_variant_builder_init(&listings, G_VARIANT_TYPE("a(ttx)"));
	for (uint32_t i = 0; i < view.count; i++)
		g_variant_builder_add(
			&listings, "(ttx)", (guint64)view.listings[i].service,
			(guint64)view.listings[i].version,
			(gint64)(at_us - view.listings[i].listed_us));
	body = g_variant_ref_sink(g_variant_new(
		"(xxa(ttx))",
		view.since_us == G_MININT64 ? (gint64)G_MAXINT64
					    : (gint64)(at_us - view.since_us),
		(gint64)(at_us - view.read_us), &listings));
	direct_peers_send(history->peers, peer, KIND_HISTORY, body);
}

static void on_history(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_version_history *history = userdata;
	g_autoptr(GArray) listings = g_array_new(
		FALSE, FALSE, sizeof(struct version_history_listing));
	int64_t at_us = lp_now_us(history->options.clock);
	struct version_history_view view = { 0 };
	GVariantIter *iter;
	guint64 service;
	guint64 version;
	gint64 since_age_us;
	gint64 read_age_us;
	gint64 age_us;

	g_variant_get(body, HISTORY_TYPE, &since_age_us, &read_age_us, &iter);
	while (g_variant_iter_next(iter, "(ttx)", &service, &version,
				   &age_us)) {
		struct version_history_listing listing = {
			service, version, at_us - MAX(age_us, 0), false
		};

		g_array_append_val(listings, listing);
	}
	g_variant_iter_free(iter);
	view.since_us = since_age_us == G_MAXINT64
				? G_MININT64
				: at_us - MAX(since_age_us, 0);
	view.read_us = at_us - MAX(read_age_us, 0);
	view.listings = (const struct version_history_listing *)listings->data;
	view.count = listings->len;
	version_history_merge(history->versions, &view);
}

/* ---- start and end ---- */

struct direct_version_history *direct_version_history_create(
	const struct direct_version_history_options *options)
{
	struct direct_version_history *history =
		g_new0(struct direct_version_history, 1);

	history->options = *options;
	history->versions = version_history_create();
	if (options->first_start_us)
		version_history_set_first_start(history->versions,
						options->first_start_us);
	return history;
}

void direct_version_history_set_peers(struct direct_version_history *history,
				      struct direct_peers *peers)
{
	history->peers = peers;
	if (!peers)
		return;
	direct_peers_listen(peers, KIND_HISTORY, HISTORY_TYPE, on_history,
			    history);
	direct_peers_on_discovered(peers, send_history, history);
}

void direct_version_history_destroy(struct direct_version_history *history)
{
	if (!history)
		return;
	version_history_destroy(history->versions);
	g_free(history);
}
