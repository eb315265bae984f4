/**
 * Timers on the main loop that count the time in which the host is suspended.
 *
 * GLib's own timers stand still with the steady clock while a host is
 * suspended: a deadline that passed meanwhile would be met that much later, and
 * so would everything that is to be looked at again. These are due as soon as
 * the loop has read what came meanwhile. A loop that sleeps turns no later than
 * its next timer would have been due without the suspension (200 ms in an
 * entry) or when anything comes.
 *
 * Used as g_timeout_add() is, and ended by g_source_remove(). All functions
 * belong to the thread of the default main loop.
 */
#ifndef LP_TIMER_H
#define LP_TIMER_H

#include "base/lp_clock.h"

#include <glib.h>

/** Call `callback` in so many milliseconds, and again while it returns
 * G_SOURCE_CONTINUE. Returns the source's id. */
guint lp_timer_add(guint wait_ms, GSourceFunc callback, gpointer userdata);
/** Suspensions are seen by this clock; NULL: by lp_clock_boot(). For tests. */
void lp_timer_set_clock(const struct lp_clock *clock);

#endif
