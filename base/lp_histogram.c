#include "base/lp_histogram.h"

#include "base/lp_clock.h"

/* From a plain call within a domain to the longest deadline known. */
static const int64_t bounds_ms[] = { 10,  25,	50,   100,  200,  300,	500,
				     700, 1000, 1500, 2500, 5000, 12000 };
#define BOUNDS G_N_ELEMENTS(bounds_ms)

struct lp_histogram {
	int64_t *cells[BOUNDS + 1];
	int64_t *sum_ms;
	int64_t *count;
};

static int64_t *cell(struct lp_counters *counters, const char *name,
		     const char *bound)
{
	g_autofree char *full = g_strconcat(name, "_bucket", NULL);
	g_autofree char *labels = g_strdup_printf("le=\"%s\"", bound);

	return lp_counter(counters, full, labels);
}

struct lp_histogram *lp_histogram_create(struct lp_counters *counters,
					 const char *name)
{
	struct lp_histogram *histogram = g_new0(struct lp_histogram, 1);
	g_autofree char *sum = g_strconcat(name, "_sum", NULL);
	g_autofree char *count = g_strconcat(name, "_count", NULL);

	for (size_t i = 0; i < BOUNDS; i++) {
		g_autofree char *bound = g_strdup_printf("%" G_GINT64_FORMAT,
							 (gint64)bounds_ms[i]);

		histogram->cells[i] = cell(counters, name, bound);
	}
	histogram->cells[BOUNDS] = cell(counters, name, "+Inf");
	histogram->sum_ms = lp_counter(counters, sum, NULL);
	histogram->count = lp_counter(counters, count, NULL);
	return histogram;
}

void lp_histogram_destroy(struct lp_histogram *histogram)
{
	g_free(histogram);
}

void lp_histogram_add(struct lp_histogram *histogram, int64_t time_us)
{
	int64_t time_ms = time_us / LP_US_PER_MS;

	for (size_t i = 0; i < BOUNDS; i++)
		if (time_ms <= bounds_ms[i])
			*histogram->cells[i] += 1;
	*histogram->cells[BOUNDS] += 1;
	*histogram->sum_ms += time_ms;
	*histogram->count += 1;
}
