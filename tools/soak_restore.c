#include "tools/soak_restore.h"

#include <stdio.h>

#define REWRITE_MS_MAX 1500

struct soak_restore {
	struct soak_restore_options options;
	GRand *random;
	bool has_copy;
	guint rewrite_timer;
	uint32_t restores;
};

struct soak_restore *
soak_restore_create(const struct soak_restore_options *options)
{
	struct soak_restore *restore = g_new0(struct soak_restore, 1);

	restore->options = *options;
	restore->random = g_rand_new_with_seed(options->seed);
	return restore;
}

void soak_restore_destroy(struct soak_restore *restore)
{
	if (!restore)
		return;
	if (restore->rewrite_timer)
		g_source_remove(restore->rewrite_timer);
	g_rand_free(restore->random);
	g_free(restore);
}

static void rewrite(struct soak_restore *restore)
{
	restore->options.rewrite(restore->options.userdata);
	for (guint i = 0; i < restore->options.upstreams->len; i++)
		pe_tell(g_ptr_array_index(restore->options.upstreams, i));
}

static gboolean on_rewrite_timer(gpointer userdata)
{
	struct soak_restore *restore = userdata;

	restore->rewrite_timer = 0;
	rewrite(restore);
	return G_SOURCE_REMOVE;
}

static void go_back(struct soak_restore *restore)
{
	pe_store_go_back(restore->options.platform);
	restore->restores++;
	if (!restore->rewrite_timer)
		restore->rewrite_timer = g_timeout_add(
			(guint)g_rand_int_range(restore->random, 0,
						REWRITE_MS_MAX),
			on_rewrite_timer, restore);
}

void soak_restore_disturb(struct soak_restore *restore)
{
	gint32 dice;

	if (!restore)
		return;
	dice = g_rand_int_range(restore->random, 0, 8);
	if (!restore->has_copy || dice < 2)
		pe_store_take_copy(restore->options.platform);
	else if (dice < 4)
		go_back(restore);
	restore->has_copy = true;
}

void soak_restore_end(struct soak_restore *restore)
{
	if (!restore)
		return;
	if (restore->rewrite_timer)
		g_source_remove(restore->rewrite_timer);
	restore->rewrite_timer = 0;
	rewrite(restore);
	printf("the service went back to a copy %u times\n", restore->restores);
}
