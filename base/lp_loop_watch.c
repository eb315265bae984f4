#include "base/lp_loop_watch.h"

struct lp_loop_watch {
	GSource source;
	struct lp_loop_watch_options options;
	int64_t *slow_turns;
	int64_t *longest_us;
	int64_t polled_us; /* end of the last poll; 0: none yet */
};

static void log_slow_turn(struct lp_loop_watch *watch, int64_t took_us)
{
	if (!lp_event_begin(watch->options.log, "slow_turn", NULL))
		return;
	lp_event_int(watch->options.log, "took_us", took_us);
	lp_event_end(watch->options.log);
}

static gboolean on_prepare(GSource *source, gint *timeout_ms)
{
	struct lp_loop_watch *watch = (struct lp_loop_watch *)source;
	int64_t took_us;

	*timeout_ms = -1;
	if (!watch->polled_us)
		return FALSE;
	took_us = lp_now_us(watch->options.clock) - watch->polled_us;
	watch->polled_us = 0;
	if (took_us > *watch->longest_us)
		*watch->longest_us = took_us;
	if (took_us <= watch->options.slow_us)
		return FALSE;
	*watch->slow_turns += 1;
	log_slow_turn(watch, took_us);
	return FALSE;
}

static gboolean on_check(GSource *source)
{
	struct lp_loop_watch *watch = (struct lp_loop_watch *)source;

	watch->polled_us = lp_now_us(watch->options.clock);
	return FALSE;
}

static GSourceFuncs source_funcs = {
	.prepare = on_prepare,
	.check = on_check,
};

struct lp_loop_watch *
lp_loop_watch_create(const struct lp_loop_watch_options *options)
{
	GSource *source =
		g_source_new(&source_funcs, sizeof(struct lp_loop_watch));
	struct lp_loop_watch *watch = (struct lp_loop_watch *)source;

	watch->options = *options;
	watch->slow_turns = lp_counter(options->counters,
				       "linepier_loop_slow_turns_total", NULL);
	watch->longest_us = lp_counter(options->counters,
				       "linepier_loop_longest_turn_us", NULL);
	/* Sources are prepared by priority, and checked only as far as the
	 * first that is ready. */
	g_source_set_priority(source, G_MININT);
	g_source_attach(source, NULL);
	return watch;
}

void lp_loop_watch_destroy(struct lp_loop_watch *watch)
{
	GSource *source = (GSource *)watch;

	if (!watch)
		return;
	g_source_destroy(source);
	g_source_unref(source);
}
