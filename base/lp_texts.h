/** Lists of texts: GPtrArray of char *, not ended by NULL. */
#ifndef LP_TEXTS_H
#define LP_TEXTS_H

#include <glib.h>

/** By bytes. */
void lp_texts_sort(GPtrArray *texts);
/** g_free(). */
char *lp_texts_join(const GPtrArray *texts, const char *separator);

#endif
