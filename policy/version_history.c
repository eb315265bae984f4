#include "policy/version_history.h"

#include "base/lp_clock.h"

/* Upstreams that register and leave between two reads of the list would not be
 * noticed. None leaves sooner than this after it has registered. */
#define PAUSE_MAX_US (2 * LP_US_PER_S)
/* Versions that no list names are dropped after this time, which is longer than
 * any time that is asked about. */
#define RETENTION_US (3600 * LP_US_PER_S)

struct listing {
	const char *service; /* interned */
	uint64_t version;
	int64_t listed_us; /* by the last list that names it */
};

struct version_history {
	GArray *listings; /* of struct listing: a few for each service */
	int64_t since_us; /* lists were read without a long pause since then */
	int64_t read_us;  /* the last one; 0: none */
};

struct version_history *version_history_create(void)
{
	struct version_history *history = g_new0(struct version_history, 1);

	history->listings = g_array_new(FALSE, FALSE, sizeof(struct listing));
	return history;
}

void version_history_destroy(struct version_history *history)
{
	if (!history)
		return;
	g_array_unref(history->listings);
	g_free(history);
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
			    g_array_index(history->listings, struct listing, i)
				    .listed_us >
		    RETENTION_US)
			g_array_remove_index_fast(history->listings, i);
}

void version_history_begin_list(struct version_history *history,
				int64_t read_us)
{
	advance(history, read_us);
	drop_old(history);
}

void version_history_add(struct version_history *history, const char *service,
			 uint64_t version)
{
	const char *name = g_intern_string(service);
	struct listing added = { name, version, history->read_us };

	for (guint i = 0; i < history->listings->len; i++) {
		struct listing *listing =
			&g_array_index(history->listings, struct listing, i);

		if (listing->service != name || listing->version != version)
			continue;
		listing->listed_us = history->read_us;
		return;
	}
	g_array_append_val(history->listings, added);
}

void version_history_confirm_list(struct version_history *history,
				  int64_t read_us)
{
	int64_t before_us = history->read_us;

	advance(history, read_us);
	for (guint i = 0; i < history->listings->len; i++) {
		struct listing *listing =
			&g_array_index(history->listings, struct listing, i);

		if (listing->listed_us == before_us)
			listing->listed_us = history->read_us;
	}
}

int64_t version_history_read_us(const struct version_history *history)
{
	return history->read_us;
}

uint64_t version_history_sole_version(const struct version_history *history,
				      const char *service, int64_t since_us)
{
	const char *name = g_intern_string(service);
	uint64_t version = 0;
	bool found = false;

	if (!history->read_us || history->since_us > since_us)
		return 0;
	for (guint i = 0; i < history->listings->len; i++) {
		const struct listing *listing =
			&g_array_index(history->listings, struct listing, i);

		if (listing->service != name || listing->listed_us < since_us)
			continue;
		if (found)
			return 0;
		found = true;
		version = listing->version;
	}
	return version;
}
