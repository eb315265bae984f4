#include "base/lp_timer.h"

#include <stdbool.h>

/* Both clocks are read within this time, or read again: a process may be
 * stopped between the two. */
#define READ_TOGETHER_US (2 * LP_US_PER_MS)
#define READS_MAX 5
/* What lies in the sockets at the end of a suspension is read before timers are
 * due by it: an answer that is there goes before the deadline that it met. */
#define READ_FIRST_US (10 * LP_US_PER_MS)
/* A shorter suspension is left alone. */
#define JUMP_MIN_US (20 * LP_US_PER_MS)

struct timer {
	GSource source;
	int64_t wait_us;
};

static GHashTable *timers; /* of struct timer that are attached */
static GSource *watcher;   /* sees suspensions; NULL: no timer yet */
static const struct lp_clock *boot;
static int64_t offset_us; /* of the boot clock against the steady one */

/* False: the process was held up each time. */
static bool read_offset(int64_t *out)
{
	for (int i = 0; i < READS_MAX; i++) {
		int64_t before_us = g_get_monotonic_time();
		int64_t boot_us = lp_now_us(boot ? boot : lp_clock_boot());

		if (g_get_monotonic_time() - before_us > READ_TOGETHER_US)
			continue;
		*out = boot_us - before_us;
		return true;
	}
	return false;
}

static void shift_timers(int64_t by_us)
{
	int64_t soon_us = g_get_monotonic_time() + READ_FIRST_US;
	GHashTableIter iter;
	gpointer source;

	g_hash_table_iter_init(&iter, timers);
	while (g_hash_table_iter_next(&iter, &source, NULL)) {
		int64_t ready_us = g_source_get_ready_time(source);

		/* What is due without it stays due. */
		g_source_set_ready_time(
			source, MIN(ready_us, MAX(ready_us - by_us, soon_us)));
	}
}

static void look_for_jump(void)
{
	int64_t now_us;

	if (!read_offset(&now_us))
		return;
	if (now_us - offset_us >= JUMP_MIN_US)
		shift_timers(now_us - offset_us);
	else if (now_us > offset_us)
		return; /* it may grow to a jump */
	offset_us = now_us;
}

static gboolean watcher_prepare(GSource *source, gint *timeout)
{
	look_for_jump();
	*timeout = -1;
	return FALSE;
}

static GSourceFuncs watcher_funcs = {
	.prepare = watcher_prepare,
};

static gboolean timer_dispatch(GSource *source, GSourceFunc callback,
			       gpointer userdata)
{
	const struct timer *timer = (const struct timer *)source;

	g_source_set_ready_time(source,
				g_source_get_time(source) + timer->wait_us);
	return callback(userdata);
}

static void timer_finalize(GSource *source)
{
	g_hash_table_remove(timers, source);
}

static GSourceFuncs timer_funcs = {
	.dispatch = timer_dispatch,
	.finalize = timer_finalize,
};

static void start_watcher(void)
{
	timers = g_hash_table_new(NULL, NULL);
	read_offset(&offset_us);
	watcher = g_source_new(&watcher_funcs, sizeof(GSource));
	/* Before timers say how long the turn may sleep. */
	g_source_set_priority(watcher, G_PRIORITY_HIGH);
	g_source_attach(watcher, NULL);
}

void lp_timer_set_clock(const struct lp_clock *clock)
{
	boot = clock;
	if (watcher)
		read_offset(&offset_us);
}

guint lp_timer_add(guint wait_ms, GSourceFunc callback, gpointer userdata)
{
	GSource *source = g_source_new(&timer_funcs, sizeof(struct timer));
	struct timer *timer = (struct timer *)source;
	guint id;

	if (!watcher)
		start_watcher();
	timer->wait_us = (int64_t)wait_ms * LP_US_PER_MS;
	g_hash_table_add(timers, source);
	g_source_set_ready_time(source,
				g_get_monotonic_time() + timer->wait_us);
	g_source_set_callback(source, callback, userdata, NULL);
	id = g_source_attach(source, NULL);
	g_source_unref(source);
	return id;
}
