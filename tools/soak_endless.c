#include "tools/soak_endless.h"

#include <stdio.h>
#include <unistd.h>

struct soak_endless {
	struct soak_endless_options options;
	GRand *random;
};

struct soak_endless *
soak_endless_create(const struct soak_endless_options *options)
{
	struct soak_endless *endless = g_new0(struct soak_endless, 1);

	endless->options = *options;
	endless->random = g_rand_new_with_seed(options->seed);
	return endless;
}

void soak_endless_destroy(struct soak_endless *endless)
{
	if (!endless)
		return;
	g_rand_free(endless->random);
	g_free(endless);
}

void soak_endless_disturb(struct soak_endless *endless)
{
	const GPtrArray *upstreams;

	if (!endless || g_rand_int_range(endless->random, 0, 3))
		return;
	upstreams = endless->options.upstreams;
	pe_set_endless(
		g_ptr_array_index(upstreams,
				  g_rand_int_range(endless->random, 0,
						   (gint32)upstreams->len)),
		(enum pe_endless)g_rand_int_range(endless->random, 0,
						  PE_ENDLESS_PARTS));
}

bool soak_endless_exceeds(const struct soak_endless *endless, GPid pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/statm", (int)pid);
	g_autofree char *text = NULL;
	unsigned long long pages = 0;

	if (!endless || !g_file_get_contents(path, &text, NULL, NULL) ||
	    sscanf(text, "%*u %llu", &pages) != 1)
		return false;
	return pages * (unsigned long long)sysconf(_SC_PAGESIZE) >
	       (unsigned long long)SOAK_ENDLESS_MEMORY_MB << 20;
}
