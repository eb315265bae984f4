#include "direct/direct_traffic.h"

/* Kinds are ASCII letters; all others share a cell. */
#define KINDS 128
#define OTHER_KIND '?'

/* Cells of one kind; NULL: not counted yet. */
struct cells {
	int64_t *datagrams;
	int64_t *bytes;
};

struct direct_traffic {
	struct lp_counters *counters;
	struct cells cells[DIRECT_TRAFFIC_DIRECTIONS][KINDS];
};

static const char *const direction_names[DIRECT_TRAFFIC_DIRECTIONS] = {
	[DIRECT_TRAFFIC_SENT] = "sent",
	[DIRECT_TRAFFIC_RECEIVED] = "received",
	[DIRECT_TRAFFIC_MALFORMED] = "malformed",
};

struct direct_traffic *direct_traffic_create(struct lp_counters *counters)
{
	struct direct_traffic *traffic = g_new0(struct direct_traffic, 1);

	traffic->counters = counters;
	return traffic;
}

void direct_traffic_destroy(struct direct_traffic *traffic)
{
	g_free(traffic);
}

static void create_cells(struct direct_traffic *traffic,
			 enum direct_traffic_direction direction, char kind,
			 struct cells *cells)
{
	g_autofree char *labels =
		g_strdup_printf("direction=\"%s\",kind=\"%c\"",
				direction_names[direction], kind);

	cells->datagrams = lp_counter(traffic->counters,
				      "linepier_peer_datagrams_total", labels);
	cells->bytes = lp_counter(traffic->counters,
				  "linepier_peer_datagram_bytes_total", labels);
}

void direct_traffic_count(struct direct_traffic *traffic,
			  enum direct_traffic_direction direction, char kind,
			  size_t size)
{
	char letter = g_ascii_isalpha(kind) ? kind : OTHER_KIND;
	struct cells *cells = &traffic->cells[direction][(unsigned char)letter];

	if (!traffic->counters)
		return;
	if (!cells->datagrams)
		create_cells(traffic, direction, letter, cells);
	*cells->datagrams += 1;
	*cells->bytes += (int64_t)size;
}
