#include "policy/quantile.h"

#include <glib.h>
#include <math.h>

#define BUCKETS 128
#define FIRST_BUCKET_US 50.0
#define BUCKET_RATIO 1.1
#define WEIGHT_MAX 2000
#define SAMPLES_MIN 5

struct quantile {
	uint32_t weight;
	uint16_t buckets[BUCKETS];
};

struct quantile *quantile_create(void)
{
	return g_new0(struct quantile, 1);
}

void quantile_destroy(struct quantile *quantile)
{
	g_free(quantile);
}

static int bucket_index(int64_t sample_us)
{
	double steps;

	if (sample_us <= FIRST_BUCKET_US)
		return 0;
	steps = log((double)sample_us / FIRST_BUCKET_US) / log(BUCKET_RATIO);
	return steps >= BUCKETS - 1 ? BUCKETS - 1 : (int)steps + 1;
}

static void halve_buckets(struct quantile *quantile)
{
	quantile->weight = 0;
	for (int i = 0; i < BUCKETS; i++) {
		quantile->buckets[i] /= 2;
		quantile->weight += quantile->buckets[i];
	}
}

void quantile_add(struct quantile *quantile, int64_t sample_us)
{
	if (quantile->weight >= WEIGHT_MAX)
		halve_buckets(quantile);
	quantile->buckets[bucket_index(sample_us)] += 1;
	quantile->weight += 1;
}

int64_t quantile_get(const struct quantile *quantile, double share,
		     int64_t fallback_us)
{
	double target = share * quantile->weight;
	uint32_t seen = 0;

	if (quantile->weight < SAMPLES_MIN)
		return fallback_us;
	for (int i = 0; i < BUCKETS; i++) {
		seen += quantile->buckets[i];
		if (seen >= target && seen)
			return (int64_t)(FIRST_BUCKET_US *
					 pow(BUCKET_RATIO, i));
	}
	return (int64_t)(FIRST_BUCKET_US * pow(BUCKET_RATIO, BUCKETS));
}
