#include "tools/soak_suspend.h"

#include "base/lp_clock.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>

/* Of a fault each 0.7 s, one in so many suspends an entry. */
#define SHARE 4
#define SHORT_MS 500
#define LONG_MS 5000

struct soak_suspend {
	struct soak_suspend_options options;
	GRand *random;
	char **paths;
	int64_t *suspended_us; /* an entry: in all, as its file says */
	/* the one that is suspended */
	guint timer; /* it goes on then; 0: none is */
	uint32_t entry;
	GPid pid;
	int64_t since_us;
};

static void write_file(const struct soak_suspend *suspend, uint32_t entry)
{
	FILE *file = g_fopen(suspend->paths[entry], "r+");

	/* In place: the process has it mapped. */
	if (!file)
		file = g_fopen(suspend->paths[entry], "w");
	fwrite(&suspend->suspended_us[entry], sizeof(int64_t), 1, file);
	fclose(file);
}

struct soak_suspend *
soak_suspend_create(const struct soak_suspend_options *options)
{
	struct soak_suspend *suspend = g_new0(struct soak_suspend, 1);

	suspend->options = *options;
	suspend->random = g_rand_new_with_seed(options->seed);
	suspend->paths = g_new0(char *, options->entries + 1);
	suspend->suspended_us = g_new0(int64_t, options->entries);
	for (uint32_t i = 0; i < options->entries; i++) {
		suspend->paths[i] =
			g_strdup_printf("%s/suspended-%u", options->folder, i);
		write_file(suspend, i);
	}
	return suspend;
}

const char *soak_suspend_path(const struct soak_suspend *suspend,
			      uint32_t entry)
{
	return suspend->paths[entry];
}

bool soak_suspend_holds(const struct soak_suspend *suspend, uint32_t entry)
{
	return suspend && suspend->timer && suspend->entry == entry;
}

static void resume(struct soak_suspend *suspend)
{
	suspend->timer = 0;
	suspend->suspended_us[suspend->entry] +=
		g_get_monotonic_time() - suspend->since_us;
	write_file(suspend, suspend->entry);
	kill(suspend->pid, SIGCONT);
	suspend->options.resumed(suspend->options.userdata, suspend->entry,
				 suspend->since_us);
}

static gboolean on_over(gpointer userdata)
{
	resume(userdata);
	return G_SOURCE_REMOVE;
}

void soak_suspend_disturb(struct soak_suspend *suspend)
{
	guint wait_ms;

	if (!suspend || suspend->timer ||
	    g_rand_int_range(suspend->random, 0, SHARE))
		return;
	wait_ms = g_rand_boolean(suspend->random) ? SHORT_MS : LONG_MS;
	suspend->entry = (uint32_t)g_rand_int_range(
		suspend->random, 0, (gint32)suspend->options.entries);
	suspend->pid =
		suspend->options.pid(suspend->options.userdata, suspend->entry);
	if (!suspend->pid)
		return;
	suspend->since_us = g_get_monotonic_time();
	kill(suspend->pid, SIGSTOP);
	suspend->timer = g_timeout_add(wait_ms, on_over, suspend);
}

void soak_suspend_end(struct soak_suspend *suspend)
{
	if (!suspend || !suspend->timer)
		return;
	g_source_remove(suspend->timer);
	resume(suspend);
}

void soak_suspend_destroy(struct soak_suspend *suspend)
{
	if (!suspend)
		return;
	for (uint32_t i = 0; i < suspend->options.entries; i++)
		g_unlink(suspend->paths[i]);
	g_strfreev(suspend->paths);
	g_free(suspend->suspended_us);
	g_rand_free(suspend->random);
	g_free(suspend);
}
