#include "policy/version_history.h"

#include "base/lp_clock.h"

/* Upstreams that register and leave between two reads of the list would not be
 * noticed. None leaves sooner than this after it has registered. */
#define PAUSE_MAX_US (2 * LP_US_PER_S)
/* Versions that no list names are dropped after this time, which is longer than
 * any time that is asked about. */
#define RETENTION_US (3600 * LP_US_PER_S)

struct version_history {
	GArray *listings; /* of struct version_history_listing: a few for each
			     service */
	int64_t since_us; /* lists were read without a long pause since then */
	int64_t read_us;  /* the last one; 0: none */
};

struct version_history *version_history_create(void)
{
	struct version_history *history = g_new0(struct version_history, 1);

	history->listings = g_array_new(FALSE, FALSE,
					sizeof(struct version_history_listing));
	return history;
}

void version_history_destroy(struct version_history *history)
{
	if (!history)
		return;
	g_array_unref(history->listings);
	g_free(history);
}

void version_history_set_first_start(struct version_history *history,
				     int64_t started_us)
{
	history->since_us = G_MININT64;
	history->read_us = started_us;
}

static void advance(struct version_history *history, int64_t read_us)
{
	if (!history->read_us || read_us - history->read_us > PAUSE_MAX_US)
		history->since_us = read_us;
	history->read_us = MAX(history->read_us, read_us);
}

static void drop_old(struct version_history *history)
{
	for (guint i = history->listings->len; i-- > 0;)
		if (history->read_us -
			    g_array_index(history->listings,
					  struct version_history_listing, i)
				    .listed_us >
		    RETENTION_US)
			g_array_remove_index_fast(history->listings, i);
}

void version_history_begin_list(struct version_history *history,
				int64_t read_us)
{
	advance(history, read_us);
	drop_old(history);
	for (guint i = 0; i < history->listings->len; i++)
		g_array_index(history->listings, struct version_history_listing,
			      i)
			.is_listed = false;
}

/* Notes that a version was listed at this time. */
static void note_listed(struct version_history *history,
			const struct version_history_listing *noted)
{
	for (guint i = 0; i < history->listings->len; i++) {
		struct version_history_listing *listing = &g_array_index(
			history->listings, struct version_history_listing, i);

		if (listing->service != noted->service ||
		    listing->version != noted->version)
			continue;
		listing->listed_us = MAX(listing->listed_us, noted->listed_us);
		listing->is_listed |= noted->is_listed;
		return;
	}
	g_array_append_val(history->listings, *noted);
}

void version_history_add(struct version_history *history, uint64_t service,
			 uint64_t version)
{
	const struct version_history_listing listing = { service, version,
							 history->read_us,
							 true };

	note_listed(history, &listing);
}

void version_history_confirm_list(struct version_history *history,
				  int64_t read_us)
{
	advance(history, read_us);
	for (guint i = 0; i < history->listings->len; i++) {
		struct version_history_listing *listing = &g_array_index(
			history->listings, struct version_history_listing, i);

		if (listing->is_listed)
			listing->listed_us =
				MAX(listing->listed_us, history->read_us);
	}
}

int64_t version_history_read_us(const struct version_history *history)
{
	return history->read_us;
}

uint64_t version_history_sole_version(const struct version_history *history,
				      uint64_t service, int64_t since_us)
{
	uint64_t version = 0;
	bool found = false;

	if (!history->read_us || history->since_us > since_us)
		return 0;
	for (guint i = 0; i < history->listings->len; i++) {
		const struct version_history_listing *listing = &g_array_index(
			history->listings, struct version_history_listing, i);

		if (listing->service != service ||
		    (!listing->is_listed && listing->listed_us < since_us))
			continue;
		if (found)
			return 0;
		found = true;
		version = listing->version;
	}
	return version;
}

bool version_history_get_view(const struct version_history *history,
			      struct version_history_view *view)
{
	*view = (struct version_history_view){
		.since_us = history->since_us,
		.read_us = history->read_us,
		.listings = (const struct version_history_listing *)
				    history->listings->data,
		.count = history->listings->len,
	};
	return history->read_us != 0;
}

/* Whether two covered times overlap, or have no long pause between them. */
static bool is_continuous(const struct version_history *history,
			  const struct version_history_view *view)
{
	return view->read_us >= history->since_us - PAUSE_MAX_US &&
	       (view->since_us == G_MININT64 ||
		history->read_us >= view->since_us - PAUSE_MAX_US);
}

static void note_listed_elsewhere(struct version_history *history,
				  const struct version_history_listing *listing)
{
	struct version_history_listing noted = *listing;

	noted.is_listed = false;
	note_listed(history, &noted);
}

void version_history_merge(struct version_history *history,
			   const struct version_history_view *view)
{
	for (uint32_t i = 0; i < view->count; i++)
		note_listed_elsewhere(history, &view->listings[i]);
	if (!history->read_us) {
		history->since_us = view->since_us;
		history->read_us = view->read_us;
	} else if (history->since_us != G_MININT64 &&
		   is_continuous(history, view)) {
		history->since_us = MIN(history->since_us, view->since_us);
	}
}
